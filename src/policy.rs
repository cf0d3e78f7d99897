//! All routing and admission decisions of baydrift. Input and output types are in `src/interface.rs`.
//!
//! Steps 1 to 5 in the comments below are those of the design page, `docs/design.md`, which lists what
//! the controller keeps of the published algorithm, what it adds and when each addition takes effect.

use std::collections::{BTreeMap, VecDeque};

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::first_dialled::FirstDialled;
use crate::gossip::{self, LoadHint};
use crate::interface::*;
use crate::measure::{low_pass_step, micros, seconds, uniform, valid, RateMeter};
use crate::state::{AttemptEnd, PendingCall, Server};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Interval of the control loop; well below the age of load reports, which dominates the loop's delay.
const TICK_INTERVAL: Micros = 50 * MS;
/// A tick later than this means that this front's own process was stalled.
const STALL_THRESHOLD: Micros = 150 * MS;
/// Time constant of the low-pass filter on reported load; the published algorithm uses the same 0.1 s.
const REPORT_FILTER_S: f64 = 0.1;
/// Set-point of a reported utilisation. The design allows no more; everything below it is idle capacity.
const TARGET_UTILISATION: f64 = 0.9;
/// Set-point Tq of the wait at a processor; below the 0.5 s after which set-ups are retransmitted.
const TARGET_WAIT_S: f64 = 0.3;
/// Gains Kpc and Kic (1/s) on a wait or queue error, which is relative to the set-point. They give a
/// crossover at 0.6 rad/s with a loop delay of about 0.8 s.
const WAIT_GAINS: (f64, f64) = (0.18, 0.04);
/// Gains Kpc and Kic (1/s) on a utilisation error, which is at most 1 minus the set-point and so does not
/// show the size of an overload.
const UTILISATION_GAINS: (f64, f64) = (1.0, 0.5);
/// Gains Kpc and Kic (1/s) on a rate error, which is a fraction of the requested rate.
const RATE_GAINS: (f64, f64) = (0.7, 0.2);
/// Factor by which a negative error unwinds the integral faster than a positive error winds it up.
const UNWIND_FACTOR: f64 = 6.0;
/// How long a wait stays in use that this front observed itself.
const OBSERVED_WAIT_LIFETIME: Micros = SECOND;
/// Number of unanswered set-ups that is normal and not counted as a backlog.
const BACKLOG_ALLOWANCE: f64 = 3.0;
/// Least wait assumed at a processor that answers 'full'; it may state a shorter wait, or none.
const FULL_DEFAULT_WAIT_S: f64 = 2.0;
/// How long after its last positive error a server counts as overloaded.
const OVERLOAD_HOLD: Micros = 8 * SECOND;
/// Rate admitted to an overloaded server, as a multiple of the rate recently established there.
const ADMITTED_MULTIPLE: f64 = 1.4;
/// Set-ups a second of all fronts together that are admitted to an overloaded server beyond that multiple,
/// so that a server at which nothing was established receives some.
const ADMITTED_BASE_PER_S: f64 = 3.0;
/// Time in which the admitted rate doubles while there is no positive error. A gradual release keeps the
/// fronts from all sending at the same moment.
const ADMITTED_DOUBLING_S: f64 = 2.0;
/// Upper bound on a relative wait or queue error, so that one wrong report does not reject all calls.
const ERROR_MAX: f64 = 4.0;
/// Lower bound, in set-ups, on the queue set-point; it matters where the server reports no rate.
const QUEUE_TARGET_MIN: f64 = 3.0;
/// Age from which a report is ignored: the loop stops integrating and its reject fraction decays.
const REPORT_LIFETIME: Micros = 1_500 * MS;
/// Time constant of the decay of the reject fraction without reports. Calls are admitted again, and their
/// answers carry new reports.
const REJECT_DECAY_S: f64 = 2.0;
/// Time constant of the arrival rate that paces sends; one front sees only a few calls a second.
const ARRIVAL_FILTER_S: f64 = 2.0;
/// Gains Kpq (1/s) and Kiq (1/s^2) of the pacing loop.
const PACE_GAINS: (f64, f64) = (0.5, 0.1);
/// Depth of the token bucket that paces set-ups to a warm server.
const PACE_BUCKET_DEPTH: f64 = 2.0;
/// Time constant of the rate that a warm server carries from this front; a cold server's rate derives from
/// it.
const CARRIED_FILTER_S: f64 = 10.0;
/// Rate sent to a cold server, as a fraction of the rate at which it would fail. The margin allows for uneven
/// traffic of the fronts, in addition to the server's own control loop.
const WARM_UP_SHARE: f64 = 0.7;
/// Depth of a cold server's token bucket beyond one set-up, as the time whose tokens it may hold.
const WARM_UP_BURST_S: f64 = 0.3;
/// Lifetime of a saved token of a cold server that no call has used.
const WARM_UP_TOKEN_LIFETIME: Micros = 2 * SECOND;
/// Fewest load hints from peers that make their mean of the carried rate usable.
const PEER_SAMPLES_MIN: f64 = 3.0;
/// Number of the latest load hints that this mean covers.
const PEER_SAMPLES_MAX: f64 = 20.0;
/// Maximum number of dialled numbers that are remembered.
const FIRST_DIALLED_MAX: usize = 16_384;
/// Number of recent calls against which a call's worth is ranked.
const RECENT_CALLS: usize = 200;
/// Time constant of a tenant's arrival rate.
const TENANT_FILTER_S: f64 = 5.0;
/// Mean pause after a failed connect; randomised, so that the fronts do not reconnect in step.
const CONNECT_PAUSE_S: f64 = 1.0;
/// Final answers are given this long before the caller's timeout.
const ANSWER_MARGIN: Micros = 30 * MS;
/// Least remaining time with which a set-up is sent.
const MIN_ATTEMPT_TIME: Micros = 100 * MS;
/// Timeout of a set-up while answers are being lost, as a fraction of its class's target time.
const LOST_TIMEOUT_FRACTION: f64 = 0.5;
/// Weight of the latest timeout in the share of timeouts that were lost answers.
const LOST_WEIGHT: f64 = 0.4;
/// Share of lost answers among the timeouts above which the shorter timeout applies.
const LOST_SHARE_THRESHOLD: f64 = 0.5;
/// Added to the retry hold-off to allow for rounding of clocks.
const HOLDOFF_SLACK: Micros = 2 * MS;
/// Probes a second that one server receives from all fronts, where reports come only with probe results.
const PROBES_PER_S: f64 = 8.0;
/// Least time between two probes of one server by this front.
const PROBE_INTERVAL_MIN: Micros = SECOND;
/// Delay before a failed subscription is retried.
const SUBSCRIBE_RETRY: Micros = SECOND;
/// Mean time between gossip messages; each goes to one peer drawn at random.
const GOSSIP_INTERVAL_S: f64 = 0.125;
/// A server counts as idle if its reject fraction is zero and its load error is below this or unknown.
const IDLE_ERROR: f64 = -0.5;
/// Share of gossip messages that also cover idle servers.
const IDLE_GOSSIP_SHARE: f64 = 0.15;
/// Least time between two log lines.
const LOG_INTERVAL: Micros = SECOND;

const TOKEN_TICK: u64 = 0;
const TOKEN_SUBSCRIBE: u64 = 1;
/// Kind of a call's deadline timer, in the low two bits of its token; the call id is in the bits above.
const TOKEN_DEADLINE: u64 = 2;
/// Kind of the timer that sends a held call; its token is built like that of the deadline.
const TOKEN_RESEND: u64 = 3;

/// A timer of a call, of the given kind.
fn call_timer(at: Micros, call: CallId, kind: u64) -> Action {
    Action::Timer { at, token: u64::from(call) << 2 | kind, call: Some(call) }
}

/// The reported value that drives a server's reject fraction, in order of preference.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Signal {
    Reduction(f64),
    Wait(f64),
    Queue(f64),
    Rate(f64),
    Utilisation(f64),
}

impl Signal {
    /// Takes the value closest to what the loop controls: the reduction itself, then the wait, then the queue
    /// that causes the wait. A rate or a utilisation shows a busy processor, but not the size of an overload.
    fn of(report: &Report) -> Option<Self> {
        valid(report.reduction)
            .map(Self::Reduction)
            .or(valid(report.wait_s).map(Self::Wait))
            .or(valid(report.queue).map(Self::Queue))
            .or(valid(report.rate).map(Self::Rate))
            .or(valid(report.busy).map(Self::Utilisation))
    }
}

impl Server {
    /// Whether this front or a peer has since then seen an answer with a wait below the set-point.
    fn answered_promptly_since(&self, at: Micros) -> bool {
        self.answered_wait.0 > at && self.answered_wait.1 < TARGET_WAIT_S
    }

    /// Records a wait shown by an answer or by this front's unanswered set-ups. Only such waits are passed on
    /// to peers: a timeout may be a lost answer, and fronts that gossip about timeouts would confirm each
    /// other's error.
    fn observe_answered_wait(&mut self, now: Micros, wait_s: f64) {
        self.answered_wait = (now, wait_s);
        self.observe_wait(now, wait_s);
    }

    /// Records the wait shown by a set-up time: its excess over the shortest one observed.
    fn observe_setup_time(&mut self, now: Micros, lag: Micros) {
        self.min_setup_time = self.min_setup_time.min(lag);
        self.observe_answered_wait(now, seconds(lag - self.min_setup_time));
    }

    fn record_report(&mut self, now: Micros, report: &Report) {
        if report.free.is_some() {
            (self.free, self.circuits) = (report.free, report.circuits);
        }
        if Signal::of(report).is_some() {
            self.report = *report;
            self.reported_at = now;
        }
    }

    /// Whether the server's load is so low that gossip about it can be rare.
    fn is_idle(&self) -> bool {
        self.alpha == 0.0 && self.error.is_none_or(|error| error < IDLE_ERROR)
    }

    /// Whether sends are paced: only where the server reports both its rate and its queue.
    fn is_paced(&self) -> bool {
        valid(self.report.rate).is_some() && valid(self.report.queue).is_some()
    }

    /// The load hint on this server for a peer, with the rate that its number carried from this front.
    fn load_hint(&self, now: Micros, id: ServerId, carried_per_s: Option<f64>) -> LoadHint {
        let age = |at: Micros| if at == 0 { Micros::MAX } else { now.saturating_sub(at) };
        LoadHint {
            server_key: gossip::server_key(id),
            report: self.report,
            age: age(self.reported_at),
            observed_wait_s: self.answered_wait.1,
            observed_age: age(self.answered_wait.0),
            carried_per_s,
        }
    }

    /// Merges a peer's load hint; the newest value wins. State and warm-up are never taken from a peer.
    fn merge_hint(&mut self, now: Micros, hint: &LoadHint) {
        let newer = |age: Micros, than: Micros| {
            Some(now.saturating_sub(age)).filter(|at| *at > than.max(self.discovered_at))
        };
        let (report_at, observed_at) =
            (newer(hint.age, self.reported_at), newer(hint.observed_age, self.answered_wait.0));
        if let Some(at) = report_at {
            (self.report, self.reported_at) = (hint.report, at);
        }
        if let Some(at) = observed_at {
            self.observe_answered_wait(at, hint.observed_wait_s);
        }
    }

    /// Circuits that one call from each front would take, at most the square root of all circuits, which is
    /// the variation of the number in use: hundreds of fronts do not send at the same instant.
    fn circuits_of_one_call_per_front(&self, fronts: f64) -> f64 {
        self.circuits.map_or(fronts, |circuits| fronts.min(circuits.sqrt()))
    }

    /// Steps 1 and 2: computes the reject fraction from the reported load.
    fn tick(&mut self, now: Micros, dt_s: f64, fronts: f64, carried: f64) {
        let (requested, established) =
            (self.arrivals.read(now, ARRIVAL_FILTER_S), self.established.read(now, ARRIVAL_FILTER_S));
        // Detects surges that no report shows yet, such as dropped calls that redial or a flood at this
        // front: the unanswered set-ups divided by the rate carried from here give a wait. A few unanswered
        // set-ups are no evidence.
        let backlog_s = (f64::from(self.unanswered) - BACKLOG_ALLOWANCE) / carried.max(0.1);
        if backlog_s > self.observed_wait_s.max(TARGET_WAIT_S) {
            self.observe_answered_wait(now, backlog_s);
        }
        let reported =
            Signal::of(&self.report).filter(|_| now.saturating_sub(self.reported_at) <= REPORT_LIFETIME);
        let observed_recently =
            self.observed_at > 0 && now.saturating_sub(self.observed_at) <= OBSERVED_WAIT_LIFETIME;
        let Some(signal) = reported.or(observed_recently.then_some(Signal::Wait(self.observed_wait_s)))
        else {
            // Without feedback the reject fraction decays, rather than being frozen or wound up further: at a
            // high reject fraction nothing is sent, so nothing is answered, so nothing is reported.
            self.pi.integral *= (-dt_s / REJECT_DECAY_S).exp();
            if self.pi.integral < 0.01 {
                self.pi.integral = 0.0;
            }
            self.alpha = self.pi.integral.min(self.alpha);
            (self.error, self.reported_underload) = (None, false);
            self.pace_rate = requested;
            return;
        };
        let (error, gains) = match signal {
            Signal::Reduction(share) => (share, (1.0, 0.0)),
            Signal::Wait(wait) => ((wait / TARGET_WAIT_S - 1.0).min(ERROR_MAX), WAIT_GAINS),
            Signal::Queue(queue) => {
                let rate = valid(self.report.rate).unwrap_or(carried * fronts);
                let target = (TARGET_WAIT_S * rate).max(QUEUE_TARGET_MIN);
                ((queue / target - 1.0).min(ERROR_MAX), WAIT_GAINS)
            }
            // Relative to the requested rate. Relative to the highest reported rate the error would never be
            // negative, so that noise alone would wind up the integral, and a processor that was too small
            // from the start would go unnoticed.
            Signal::Rate(rate) => (1.0 - rate / (requested * fronts).max(rate / 2.0).max(0.01), RATE_GAINS),
            Signal::Utilisation(busy) => (busy.min(1.0) - TARGET_UTILISATION, UTILISATION_GAINS),
        };
        // Set-up times observed here drive the loop where they show more load than the report: reports can be
        // wrong or late, and a rate or a utilisation does not show the size of an overload.
        self.reported_underload = reported.is_some() && error < 0.0;
        let observed = (self.observed_wait_s / TARGET_WAIT_S - 1.0).min(ERROR_MAX);
        let use_observed = match signal {
            Signal::Reduction(_) => false,
            Signal::Rate(_) => observed_recently,
            _ => observed_recently && observed > 0.0 && observed * WAIT_GAINS.0 > error * gains.0,
        };
        let (error, gains) = if use_observed { (observed, WAIT_GAINS) } else { (error, gains) };
        let previous = self.error.unwrap_or(error);
        let error = previous + (error - previous) * low_pass_step(dt_s, REPORT_FILTER_S);
        self.error = Some(error);
        self.alpha = match signal {
            Signal::Reduction(_) => error.clamp(0.0, 1.0),
            _ => self.pi.step(error, dt_s, gains, (0.0, 1.0), UNWIND_FACTOR),
        };
        // Prevents oscillation under heavy overload, when redials request many times the capacity and a small
        // decrease of alpha overloads the processor again: the rate recently established bounds the admitted
        // rate. Drawback: capacity that returns all at once is used with a delay.
        if error > 0.0 && !matches!(signal, Signal::Reduction(_)) {
            self.overloaded_at = Some(now);
        }
        let since_overload = self.overloaded_at.map_or(OVERLOAD_HOLD, |at| now.saturating_sub(at));
        if since_overload < OVERLOAD_HOLD && requested > 0.0 {
            let growth = (seconds(since_overload) / ADMITTED_DOUBLING_S).exp2();
            let bound = established * ADMITTED_MULTIPLE * growth + ADMITTED_BASE_PER_S / fronts;
            self.alpha = self.alpha.max(1.0 - bound / requested);
        }
        // Step 4: the pace. The reported queue and rate cover all fronts; this front corrects its share.
        if let (Some(rate), Some(queue)) = (valid(self.report.rate), valid(self.report.queue)) {
            let error = (TARGET_WAIT_S * rate - queue) / fronts;
            let paced = requested + self.pacing.step(error, dt_s, PACE_GAINS, (-requested, rate), 1.0);
            self.pace_rate = if self.alpha > 0.0 { paced } else { paced.max(requested) };
        }
    }

    /// Refills the token bucket at `rate` up to `depth`.
    fn refill(&mut self, now: Micros, rate: f64, depth: f64) {
        let dt_s = seconds(now.saturating_sub(self.refilled_at));
        if self.tokens < 1.0 {
            self.below_one_token_at = now;
        }
        self.tokens = (self.tokens + rate * dt_s).min(depth);
        self.refilled_at = now;
    }

    /// Refills a cold server's bucket. The bucket starts at a random level, and unused tokens expire:
    /// hundreds of fronts that each had a token saved would otherwise spend it at the same instant.
    fn refill_cold(&mut self, now: Micros, rate: f64, level: f64) {
        let expired = now.saturating_sub(self.below_one_token_at) > WARM_UP_TOKEN_LIFETIME;
        if self.tokens >= 1.0 && expired {
            self.tokens = level;
        }
        self.refill(now, rate, 1.0 + rate * WARM_UP_BURST_S);
    }
}

/// The routing and admission controller of one front. The crate documentation shows how to embed it.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    rng: Pcg64Mcg,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, PendingCall>,
    unanswered: BTreeMap<(CallId, u16), ServerId>,
    tenants: Vec<RateMeter>,
    arrivals: RateMeter,
    /// Rate of established calls at warm servers, by server number, as of the last call: it does not decay
    /// while no calls come.
    carried: BTreeMap<u16, RateMeter>,
    /// The carried rate that peers report, by server number: its mean, and the number of load hints in it.
    peer_carried: BTreeMap<u16, (f64, f64)>,
    /// Time of the first tick.
    first_tick_at: Option<Micros>,
    /// Worth of the most recent calls.
    recent_worths: VecDeque<f64>,
    /// When each number was first dialled, kept for as long as its caller may still retry.
    first_dialled: FirstDialled,
    last_tick_at: Option<Micros>,
    /// Time of the current turn.
    turn_at: Micros,
    /// Earliest time at which the input of the current turn may have arrived; before `turn_at` only after a
    /// stall of this front.
    received_from: Micros,
    /// Share of recent timeouts that were lost answers.
    lost_share: f64,
    next_gossip_at: Micros,
    last_log_at: Option<Micros>,
}

impl Controller {
    /// Creates a controller without servers.
    ///
    /// # Errors
    /// Returns an error when a setting is out of its range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            tenants: vec![RateMeter::default(); settings.tenants.len()],
            arrivals: RateMeter::default(),
            carried: BTreeMap::new(),
            peer_carried: BTreeMap::new(),
            first_tick_at: None,
            recent_worths: VecDeque::new(),
            first_dialled: FirstDialled::new(settings.longest_deadline(), FIRST_DIALLED_MAX),
            last_tick_at: None,
            turn_at: 0,
            received_from: 0,
            lost_share: 0.0,
            next_gossip_at: 0,
            last_log_at: None,
            settings,
        })
    }

    /// Handles one event and appends the resulting actions. `now` must never decrease.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if self.settings.subscribe && self.last_tick_at.is_none() {
            actions.push(Action::Subscribe);
        }
        if self.turn_at != now {
            (self.turn_at, self.received_from) = (now, now);
        }
        if self.last_tick_at.is_none_or(|at| now >= at.saturating_add(TICK_INTERVAL)) {
            let late = self.last_tick_at.map_or(0, |at| now.saturating_sub(at + TICK_INTERVAL));
            if late > STALL_THRESHOLD {
                self.resume_after_stall(now, late, actions);
            } else {
                self.tick(now, actions);
            }
        }
        let received_at = self.received_from;
        match event {
            Event::List(kind, entries) => self.update_servers(now, kind, &entries, actions),
            Event::Call(call) => self.admit(now, call, actions),
            Event::Established { call, attempt, server, lag } => {
                if let Some(pending) = self.calls.remove(&call) {
                    self.first_dialled.remove(pending.call.number);
                }
                self.remove_unanswered(call, attempt);
                if let Some(server) = self.servers.get_mut(&server) {
                    if received_at == now {
                        server.observe_setup_time(now, lag);
                    }
                    server.established.count(now, ARRIVAL_FILTER_S);
                    if !server.is_cold(now, self.settings.warm_up_time) {
                        self.carried.entry(server.number).or_default().count(now, CARRIED_FILTER_S);
                    }
                }
            }
            Event::Ended { call, attempt, server, outcome, lag, complete, note, report } => {
                self.remove_unanswered(call, attempt);
                if let Some(server) = self.servers.get_mut(&server) {
                    server.record_report(received_at, &report);
                }
                let end = AttemptEnd { outcome, lag, note };
                self.attempt_ended(now, server, &end, actions);
                let is_current =
                    self.calls.get(&call).is_some_and(|p| p.in_flight == Some((attempt, server)));
                if complete {
                    self.calls.remove(&call);
                } else if is_current {
                    self.retry_or_reject(now, call, &end, actions);
                }
            }
            Event::Abandoned(call) => {
                self.calls.remove(&call);
            }
            Event::Probed { server, report, .. } => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.record_report(received_at, &report);
                }
            }
            Event::PeerMessage { from, payload } if from < self.settings.fronts => {
                for hint in gossip::decode(&payload).unwrap_or_default() {
                    let mut named =
                        self.servers.iter_mut().filter(|(id, _)| gossip::server_key(**id) == hint.server_key);
                    if let Some((_, server)) = named.next() {
                        server.merge_hint(received_at, &hint);
                        if let Some(carried_per_s) = hint.carried_per_s {
                            let (mean, samples) = self.peer_carried.entry(server.number).or_default();
                            *samples = (*samples + 1.0).min(PEER_SAMPLES_MAX);
                            *mean += (carried_per_s - *mean) / *samples;
                        }
                    }
                }
            }
            Event::BudgetShare { server, per_s } => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.budget_share = valid(Some(per_s));
                }
            }
            Event::PeerMessage { .. } | Event::Timer(TOKEN_TICK) => {}
            Event::Timer(TOKEN_SUBSCRIBE) => actions.push(Action::Subscribe),
            Event::Timer(token) => self.handle_call_timer(now, (token >> 2) as CallId, token & 3, actions),
        }
    }

    /// The controller's view of each server, for logs.
    pub fn server_views(&self) -> Vec<ServerView> {
        let view = |(server, s): (&ServerId, &Server)| ServerView {
            server: *server,
            number: s.number,
            state: s.state,
            alpha: s.alpha,
            unanswered: s.unanswered,
            report: (s.report, s.reported_at),
            seen: (s.observed_wait_s, s.observed_at),
            cold_since: s.cold_since,
        };
        self.servers.iter().map(view).collect()
    }

    fn log(&mut self, now: Micros, text: String, actions: &mut Vec<Action>) {
        if self.last_log_at.is_none_or(|at| now >= at.saturating_add(LOG_INTERVAL)) {
            self.last_log_at = Some(now);
            actions.push(Action::Log(text));
        }
    }

    /// Resumes after a stall of this front itself, which its own late tick shows. Nothing is learnt from the
    /// stall: set-up times do not count as waits, buckets are not refilled and loops do not integrate. All
    /// pending input, drains above all, is handled before anything is sent.
    fn resume_after_stall(&mut self, now: Micros, late: Micros, actions: &mut Vec<Action>) {
        (self.received_from, self.last_tick_at) = (now - late, Some(now));
        actions.push(Action::Timer { at: now + TICK_INTERVAL, token: TOKEN_TICK, call: None });
        for server in self.servers.values_mut() {
            server.refilled_at = now;
        }
    }

    fn probe_interval(&self) -> Micros {
        PROBE_INTERVAL_MIN.max(micros(f64::from(self.settings.fronts) / PROBES_PER_S))
    }

    /// Whether the current turn follows a stall of this front.
    fn is_resuming(&self) -> bool {
        self.received_from < self.turn_at
    }

    fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let dt_s = self.last_tick_at.map_or(0.0, |at| seconds(now.saturating_sub(at)));
        self.last_tick_at = Some(now);
        self.first_tick_at.get_or_insert(now);
        actions.push(Action::Timer { at: now + TICK_INTERVAL, token: TOKEN_TICK, call: None });
        let warm_up_time = self.settings.warm_up_time;
        let cold = self.servers.iter().filter(|(_, server)| server.is_cold(now, warm_up_time));
        let rates: Vec<_> = cold.map(|(id, server)| (*id, self.warm_up_rate(now, server))).collect();
        for (id, rate) in rates {
            let drawn = uniform(&mut self.rng);
            if let Some(server) = self.servers.get_mut(&id) {
                server.refill_cold(now, rate, drawn);
            }
        }
        let probing = self.settings.reports == ReportPath::Probes && self.settings.may_probe;
        let probe_interval = self.probe_interval();
        for (id, server) in &mut self.servers {
            let warm = server.state == ServerState::Ready && !server.is_cold(now, warm_up_time);
            if warm && seconds(now.saturating_sub(server.discovered_at)) >= CARRIED_FILTER_S {
                // A server known this long that has carried nothing from here counts with a rate of zero,
                // which goes into the gossip as well.
                self.carried.entry(server.number).or_default();
            }
            let carried = self.carried.get(&server.number).map_or(0.0, |meter| meter.rate);
            server.tick(now, dt_s, f64::from(self.settings.fronts), carried);
            if probing && server.state == ServerState::Ready && now >= server.probe_at {
                server.probe_at = now + probe_interval;
                actions.push(Action::Probe(*id));
            }
        }
        self.first_dialled.expire(now);
        self.gossip(now, actions);
    }

    /// Sends the newest load hints to a random peer. Reports come with call ends, and among hundreds of
    /// fronts a single front would receive a report on a server only every few seconds.
    fn gossip(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let others = self.settings.fronts - 1;
        if !self.settings.may_gossip || others == 0 || now < self.next_gossip_at {
            return;
        }
        let (first, drawn) = (self.next_gossip_at == 0, uniform(&mut self.rng));
        self.next_gossip_at = now + micros(GOSSIP_INTERVAL_S * if first { drawn } else { 0.5 + drawn });
        let include_idle = uniform(&mut self.rng) < IDLE_GOSSIP_SHARE;
        let due = |server: &Server| server.state == ServerState::Ready && (include_idle || !server.is_idle());
        // Starts at a random server: a message holds about a dozen hints, so that the servers at the end of a
        // longer list would never be covered.
        let from = (uniform(&mut self.rng) * self.servers.len() as f64) as usize;
        let all = self.servers.iter().skip(from).chain(self.servers.iter().take(from));
        let included = all.filter(|(_, server)| due(server));
        let carried_per_s = |server: &Server| self.carried_rate(now, server.number);
        let payload =
            gossip::encode(included.map(|(id, s)| s.load_hint(now, *id, carried_per_s(s))), MESSAGE_MAX);
        if let Some(payload) = payload.filter(|_| !first) {
            let to = (uniform(&mut self.rng) * f64::from(others)) as u32;
            let to = if to >= self.settings.ordinal { to + 1 } else { to };
            actions.push(Action::SendPeerMessage { to, payload });
        }
    }

    /// Applies the server list or changes to it.
    fn update_servers(&mut self, now: Micros, kind: ListKind, entries: &[Entry], actions: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            return actions.push(Action::Timer {
                at: now + SUBSCRIBE_RETRY,
                token: TOKEN_SUBSCRIBE,
                call: None,
            });
        }
        let mut leaving = Vec::new();
        if kind == ListKind::Full {
            leaving.extend(self.servers.keys().filter(|id| entries.iter().all(|e| e.server != **id)));
        }
        for entry in entries {
            if entry.state == ServerState::Gone {
                leaving.push(entry.server);
                continue;
            }
            let known = self.servers.get_mut(&entry.server);
            if let Some(server) = known.filter(|server| server.started_at == entry.started_at) {
                (server.number, server.state) = (entry.number, entry.state);
                continue;
            }
            // A new process: nothing learnt about its predecessor applies.
            let drawn = uniform(&mut self.rng);
            let probe_at = now + micros(drawn * seconds(self.probe_interval()));
            let fresh = Server { tokens: drawn, probe_at, ..Server::new(entry, now) };
            self.servers.insert(entry.server, fresh);
            if entry.started_at.is_some_and(|at| now < at + self.settings.warm_up_time) {
                self.log(now, format!("cold start: server number {} ramps", entry.number), actions);
            }
        }
        for id in leaving {
            self.servers.remove(&id);
        }
    }

    /// Registers a new call and routes it.
    fn admit(&mut self, now: Micros, call: Call, actions: &mut Vec<Action>) {
        let id = call.id;
        if self.calls.contains_key(&id) {
            return;
        }
        self.arrivals.count(now, ARRIVAL_FILTER_S);
        let Some(class) = self.settings.classes.get(call.class) else {
            return actions.push(Action::Refuse { call: id, retry_after: 0 });
        };
        let answer_by = now.saturating_add(call.caller_timeout).saturating_sub(ANSWER_MARGIN);
        // Avoids work for callers past their target time: a number dialled again at this front is most likely
        // the same caller, whose target time runs from the first try. It starts anew for a dropped call.
        if call.redial == Some(false) || call.was_dropped || call.number == 0 {
            self.first_dialled.remove(call.number);
        }
        let first_at = self.first_dialled.get_or_insert(now, call.number);
        let target_at = first_at + class.aim;
        let mut worth = self.worth_of(now, &call);
        if target_at <= now {
            worth *= self.settings.classes[call.class].late_worth;
        }
        let target_at = target_at.max(now).min(answer_by);
        self.recent_worths.push_back(worth);
        if self.recent_worths.len() > RECENT_CALLS {
            self.recent_worths.pop_front();
        }
        let pending =
            PendingCall { call, worth, target_at, answer_by, not_before: now, ..PendingCall::default() };
        self.calls.insert(id, pending);
        actions.push(call_timer(answer_by.max(now), id, TOKEN_DEADLINE));
        self.route(now, id, actions);
    }

    /// A call's worth by the settings and by this front's own traffic of its tenant.
    fn worth_of(&mut self, now: Micros, call: &Call) -> f64 {
        let mut worth = self.settings.classes.get(call.class).map_or(0.0, |class| class.worth);
        if let Some(meter) = self.tenants.get_mut(call.tenant) {
            meter.count(now, TENANT_FILTER_S);
            let rate = meter.read(now, TENANT_FILTER_S) * f64::from(self.settings.fronts);
            let quota = self.settings.tenants.get(call.tenant).map_or(rate, |t| t.quota_per_s);
            if rate > quota {
                let mean = (quota + self.settings.over_share_worth * (rate - quota)) / rate;
                // Rounded to quarters, so that calls of about the same worth rank as equal.
                worth *= (mean * 4.0).round() / 4.0;
            }
        }
        worth
    }

    /// The shares of recent calls that are worth less than `worth`, and exactly as much.
    fn rank(&self, worth: f64) -> (f64, f64) {
        let total = self.recent_worths.len().max(1) as f64;
        let share = |matches: &dyn Fn(f64) -> bool| {
            self.recent_worths.iter().filter(|w| matches(**w)).count() as f64 / total
        };
        (share(&|w| w < worth), share(&|w| w == worth).max(1.0 / total))
    }

    /// Probability of rejecting a call of this worth. Calls of low worth are rejected first; the mean over
    /// recent calls stays alpha.
    fn reject_probability(&self, alpha: f64, worth: f64) -> f64 {
        let (below, equal) = self.rank(worth);
        ((alpha - below) / equal).clamp(0.0, 1.0)
    }

    /// Set-ups a second that a server number carried from this front while warm; `None` until this front has
    /// run long enough to know. The last set-up's own weight is taken off, since it would double the estimate
    /// at a few set-ups a minute.
    fn carried_rate(&self, now: Micros, number: u16) -> Option<f64> {
        let uptime = now.saturating_sub(self.first_tick_at.unwrap_or(now));
        let meter = self.carried.get(&number).filter(|_| seconds(uptime) >= CARRIED_FILTER_S)?;
        // Corrects for the meter's start at zero together with this front.
        Some(
            (meter.rate / low_pass_step(seconds(uptime), CARRIED_FILTER_S) - 1.0 / CARRIED_FILTER_S).max(0.0),
        )
    }

    /// Set-ups a second that this front may send to a cold server, so that the fronts together stay within
    /// its capacity however the traffic is spread over them. In order of preference:
    ///
    /// 1. This front's part of a budget that the fronts share; fronts with more traffic hold more of it.
    /// 2. The rate that the server reports, divided among the fronts.
    /// 3. The rate that the server's number carried from this front while warm. Servers differ in capacity by
    ///    a factor of a hundred, so that another server's rate is no measure.
    /// 4. The mean of the rates that peers report, those that carried nothing included. Without it a fleet of
    ///    which most fronts have just started would leave cold servers idle.
    /// 5. This front's own carried rate of its short run so far; where there is none, the lower of the least
    ///    rate carried at any server and this front's mean arrival rate per server.
    fn warm_up_rate(&self, now: Micros, server: &Server) -> f64 {
        if let Some(share) = server.budget_share {
            return share;
        }
        if let Some(rate) =
            valid(server.report.rate).filter(|_| now.saturating_sub(server.reported_at) <= REPORT_LIFETIME)
        {
            return rate * self.settings.fall_multiple * WARM_UP_SHARE / f64::from(self.settings.fronts);
        }
        let carried = |meter: &RateMeter| (meter.rate - 1.0 / CARRIED_FILTER_S).max(0.0);
        let measured = self.carried.values().filter(|meter| meter.rate > 0.0);
        let least = measured.map(carried).fold(f64::INFINITY, f64::min);
        let mean_arrivals = self.arrivals.read(now, ARRIVAL_FILTER_S) / self.servers.len().max(1) as f64;
        let early = self.carried.get(&server.number).filter(|meter| meter.rate > 0.0).map(carried);
        let from_peers = self
            .peer_carried
            .get(&server.number)
            .filter(|samples| samples.1 >= PEER_SAMPLES_MIN)
            .map(|samples| samples.0);
        let warm_rate = self
            .carried_rate(now, server.number)
            .or(from_peers)
            .or(early)
            .unwrap_or(least.min(mean_arrivals));
        let age = seconds(now.saturating_sub(server.cold_since.unwrap_or(now)));
        let capacity_fraction = age / seconds(self.settings.warm_up_time.max(1));
        let capacity_fraction =
            self.settings.cold_from + (1.0 - self.settings.cold_from) * capacity_fraction.min(1.0);
        warm_rate * capacity_fraction * self.settings.fall_multiple * WARM_UP_SHARE
    }

    /// The servers to which the call may be sent now.
    fn eligible_servers(&self, now: Micros, id: CallId) -> Vec<ServerId> {
        let warm_up_time = self.settings.warm_up_time;
        let Some(pending) = self.calls.get(&id) else { return Vec::new() };
        // The last free circuits are reserved for calls that are worth more than most.
        let share_at_or_above = 1.0 - self.rank(pending.worth).0;
        let reserve = if share_at_or_above < 0.5 { 0.0 } else { share_at_or_above };
        let fronts = f64::from(self.settings.fronts);
        let call = &pending.call;
        let allowed_numbers = self.settings.classes.get(call.class).and_then(|class| class.servers.as_ref());
        let fits = |server: &Server| {
            server.state == ServerState::Ready
                && self.settings.own_number != Some(server.number)
                && allowed_numbers.is_none_or(|numbers| numbers.contains(&server.number))
                && (!call.in_transit || call.first_choice == Some(server.number))
                && now >= server.down_until
                && (!server.is_cold(now, warm_up_time) || server.tokens >= 1.0)
                && server
                    .free
                    .is_none_or(|free| free > reserve * server.circuits_of_one_call_per_front(fronts))
        };
        let mut eligible: Vec<_> = self.servers.iter().filter(|(_, s)| fits(s)).map(|(id, _)| *id).collect();
        if let Some(last) = pending.last_server.filter(|_| eligible.len() > 1) {
            eligible.retain(|server| *server != last);
        }
        eligible
    }

    fn rejects_nothing(&self, id: &ServerId) -> bool {
        self.servers.get(id).is_some_and(|server| server.alpha == 0.0)
    }

    /// Step 5: chooses the call's server. Eligible servers have free circuits as far as they report them.
    fn choose_server(&mut self, now: Micros, id: CallId) -> Option<ServerId> {
        let eligible = self.eligible_servers(now, id);
        let first = self.calls.get(&id)?.call.first_choice;
        let lookup = |id: &ServerId| self.servers.get(id).map(|s| s.number);
        let preferred = eligible.iter().find(|id| lookup(id) == first && self.rejects_nothing(id));
        preferred.copied().or_else(|| self.less_loaded_of_two(&eligible))
    }

    /// Of two random servers, the one with fewer unanswered set-ups of this front. At a few set-ups a minute
    /// both have none; then the one with the lower reject fraction.
    fn less_loaded_of_two(&mut self, among: &[ServerId]) -> Option<ServerId> {
        let n = among.len();
        let one = (uniform(&mut self.rng) * n as f64) as usize;
        let step = 1 + (uniform(&mut self.rng) * n.saturating_sub(1) as f64) as usize;
        let two = [*among.get(one)?, among[(one + step) % n]];
        let load = |id: &ServerId| self.servers.get(id).map_or((u32::MAX, 1.0), |s| (s.unanswered, s.alpha));
        Some(if load(&two[1]) < load(&two[0]) { two[1] } else { two[0] })
    }

    /// Counts a call routed to the server and returns the server's reject fraction.
    fn count_arrival(&mut self, now: Micros, id: ServerId) -> f64 {
        let Some(server) = self.servers.get_mut(&id) else { return 1.0 };
        server.arrivals.count(now, ARRIVAL_FILTER_S);
        server.alpha
    }

    /// Chooses a server for the call, then sends the call, holds it for pacing, or rejects it.
    fn route(&mut self, now: Micros, id: CallId, actions: &mut Vec<Action>) {
        let Some(pending) = self.calls.get(&id) else { return };
        let (worth, attempts) = (pending.worth, pending.attempts);
        let late = now + MIN_ATTEMPT_TIME > pending.answer_by;
        if late || attempts >= self.settings.max_attempts {
            return self.reject(id, actions);
        }
        if self.is_resuming() {
            return actions.push(call_timer(now + 1, id, TOKEN_RESEND));
        }
        let Some(choice) = self.choose_server(now, id) else {
            return self.reject(id, actions);
        };
        let alpha = self.count_arrival(now, choice);
        // Step 3. Later attempts are subject to rejection too, since each attempt loads the processor
        // equally.
        let reject_probability = self.reject_probability(alpha, worth);
        if uniform(&mut self.rng) < reject_probability {
            return self.reject(id, actions);
        }
        self.send_paced(now, id, choice, actions);
    }

    /// Step 4: sends the call when its server's token bucket allows, or rejects it once past its target time.
    fn send_paced(&mut self, now: Micros, id: CallId, choice: ServerId, actions: &mut Vec<Action>) {
        let warm_up_time = self.settings.warm_up_time;
        let (Some(pending), Some(server)) = (self.calls.get_mut(&id), self.servers.get_mut(&choice)) else {
            return;
        };
        if server.is_paced() && !server.is_cold(now, warm_up_time) {
            server.refill(now, server.pace_rate, PACE_BUCKET_DEPTH);
            if server.tokens < 1.0 && now >= pending.target_at {
                return self.reject(id, actions);
            } else if server.tokens < 1.0 {
                (pending.held_for, pending.not_before) = (Some(choice), now + TICK_INTERVAL);
                return actions.push(call_timer(now + TICK_INTERVAL, id, TOKEN_RESEND));
            }
            server.tokens -= 1.0;
        }
        self.send(now, id, choice, actions);
    }

    fn send(&mut self, now: Micros, id: CallId, choice: ServerId, actions: &mut Vec<Action>) {
        let warm_up_time = self.settings.warm_up_time;
        let (Some(pending), Some(server)) = (self.calls.get_mut(&id), self.servers.get_mut(&choice)) else {
            return;
        };
        let class = self.settings.classes.get(pending.call.class);
        // A repeat that was within its window when decided may have waited for pacing or for a connection
        // since. The window must hold when the repeat begins.
        let window = match (pending.may_have_run_at, class.map(|class| class.repeat)) {
            (Some(at), Some(Repeat::Within(window))) => at.saturating_add(window).saturating_sub(now),
            _ => Micros::MAX,
        };
        if window == 0 {
            return self.reject(id, actions);
        }
        let attempt = pending.attempts.min(u32::from(u16::MAX)) as u16;
        pending.attempts += 1;
        pending.in_flight = Some((attempt, choice));
        pending.last_server = Some(choice);
        pending.sent_at = now;
        if server.is_cold(now, warm_up_time) {
            server.tokens -= 1.0;
        }
        server.unanswered += 1;
        self.unanswered.insert((id, attempt), choice);
        let full_timeout = pending.answer_by.saturating_sub(now + MS).max(1);
        // While most timeouts are lost answers, a set-up is established soon or never, and a class that is
        // safe to repeat has time for another attempt. Drawback: if the processor slows down in between, the
        // work of the first attempt is lost.
        let class = class.filter(|c| c.repeat == Repeat::Safe && self.lost_share > LOST_SHARE_THRESHOLD);
        let short_timeout =
            class.map_or(full_timeout, |class| (class.aim as f64 * LOST_TIMEOUT_FRACTION) as Micros);
        let retry_fits = pending.attempts < self.settings.max_attempts
            && full_timeout > short_timeout + self.settings.retry_holdoff + MIN_ATTEMPT_TIME;
        let timeout = if retry_fits { short_timeout } else { full_timeout };
        let begin_within = full_timeout.min(window);
        actions.push(Action::Send { call: id, server: choice, timeout, begin_within });
    }

    /// Removes an attempt that was established or has ended from the unanswered set-ups.
    fn remove_unanswered(&mut self, call: CallId, attempt: u16) {
        if let Some(server) = self.unanswered.remove(&(call, attempt)) {
            if let Some(server) = self.servers.get_mut(&server) {
                server.unanswered = server.unanswered.saturating_sub(1);
            }
        }
    }

    /// Updates the server's state from the end of an attempt.
    fn attempt_ended(&mut self, now: Micros, id: ServerId, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let AttemptEnd { outcome, lag, note } = *end;
        let (resuming, drawn) = (self.is_resuming(), uniform(&mut self.rng));
        let Some(server) = self.servers.get_mut(&id) else { return };
        if note == Note::NoLine {
            server.free = Some(0.0);
        }
        if let Note::ProcessorFull(wait) = note {
            server.observe_answered_wait(now, seconds(wait).max(FULL_DEFAULT_WAIT_S));
        }
        match outcome {
            Outcome::ConnectFailed => {
                // No process runs there: whatever answers next has just started, whether the list says so or
                // not. The pause is there because each try costs its call the time to connect.
                let text = format!("not reached: server number {} counts as cold", server.number);
                server.cold_since = Some(now);
                server.tokens = drawn;
                server.down_until = now + micros(CONNECT_PAUSE_S * (0.5 + drawn));
                self.log(now, text, actions);
            }
            // A timeout counts as a lost answer, not as a sign of load, if the server reports a load below
            // the set-point or if a set-up has been answered without a wait since this one was sent.
            Outcome::Timeout if !resuming => {
                let lost =
                    server.reported_underload || server.answered_promptly_since(now.saturating_sub(lag));
                self.lost_share += (f64::from(u8::from(lost)) - self.lost_share) * LOST_WEIGHT;
                if !lost {
                    server.observe_wait(now, seconds(lag));
                }
            }
            _ => {}
        }
    }

    /// Retries or rejects a call whose attempt failed.
    fn retry_or_reject(&mut self, now: Micros, id: CallId, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let AttemptEnd { outcome, note, .. } = *end;
        let holdoff = self.settings.retry_holdoff;
        let Some(pending) = self.calls.get_mut(&id) else { return };
        pending.in_flight = None;
        let never_ran = matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot);
        if !never_ran && pending.may_have_run_at.is_none() {
            pending.may_have_run_at = Some(pending.sent_at);
        }
        let repeat = self.settings.classes.get(pending.call.class).map_or(Repeat::Never, |c| c.repeat);
        let may_repeat = match (pending.may_have_run_at, repeat) {
            (None, _) | (_, Repeat::Safe) => true,
            (Some(at), Repeat::Within(window)) => now + holdoff < at.saturating_add(window),
            (Some(_), Repeat::Never) => false,
        };
        if !may_repeat || note == Note::NumberBusy || now + MIN_ATTEMPT_TIME > pending.answer_by {
            return self.reject(id, actions);
        }
        if never_ran || outcome == Outcome::Error {
            return self.route(now, id, actions);
        }
        pending.not_before = now + holdoff + HOLDOFF_SLACK;
        actions.push(call_timer(pending.not_before, id, TOKEN_RESEND));
    }

    /// Gives the final answer: failed if an attempt may have run and the class must not repeat, else refused.
    fn reject(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(pending) = self.calls.remove(&id) else { return };
        let repeat = self.settings.classes.get(pending.call.class).map_or(Repeat::Never, |c| c.repeat);
        if pending.may_have_run_at.is_some() && repeat == Repeat::Never {
            actions.push(Action::Fail(id));
        } else {
            // Spread over the longest time that callers honour, so that redials do not return in one wave.
            let retry_after = micros(uniform(&mut self.rng) * seconds(self.settings.max_retry_after));
            actions.push(Action::Refuse { call: id, retry_after });
        }
    }

    fn handle_call_timer(&mut self, now: Micros, id: CallId, kind: u64, actions: &mut Vec<Action>) {
        let Some(pending) = self.calls.get_mut(&id) else { return };
        match kind {
            TOKEN_DEADLINE if now + MS >= pending.answer_by => {
                // Final deadline of every held call, whatever it waits for.
                if let Some((attempt, _)) = pending.in_flight {
                    if self.settings.may_cancel {
                        actions.push(Action::Cancel { call: id, attempt });
                    }
                    self.calls.remove(&id);
                    actions.push(Action::Fail(id));
                } else {
                    self.reject(id, actions);
                }
            }
            TOKEN_RESEND if now >= pending.not_before && pending.in_flight.is_none() => {
                let held_for = pending.held_for.take();
                let ready =
                    |id: &ServerId| self.servers.get(id).is_some_and(|s| s.state == ServerState::Ready);
                match held_for.filter(ready) {
                    Some(server) if !self.is_resuming() => self.send_paced(now, id, server, actions),
                    _ => self.route(now, id, actions),
                }
            }
            _ => {}
        }
    }
}
