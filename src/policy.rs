//! Every decision of baydrift. The types it takes and gives are in `src/interface.rs`.
//!
//! Steps 1 to 5 named below are those of the design page; `docs/design.md` tells what is kept, what
//! was added and when each addition acts.

use std::collections::{BTreeMap, VecDeque};

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::interface::*;
use crate::measure::{chance, lagged, micros, sane, seconds, Meter};
use crate::state::{Ending, Pending, Server};
use crate::word::{self, Word};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Time between loop ticks: well under the age of reports, which is the loop's real delay.
const TICK: Micros = 50 * MS;
/// A tick so late means that this front itself stood still.
const STALLED: Micros = 150 * MS;
/// s. Lag of the low-pass filter on reported load (the paper's 0.1 s).
const LOAD_LAG_S: f64 = 0.1;
/// Set-point of a told utilisation; the most the design allows, since all below it is idle capacity.
const TARGET_BUSY: f64 = 0.9;
/// s. Set-point Tq of the wait at a processor: under the 0.5 s at which set-ups are repeated.
const TARGET_WAIT_S: f64 = 0.3;
/// Kpc and Kic (1/s) on a wait or queue error, which is relative to the set-point: crossover of 0.6 rad/s
/// at a delay of about 0.8 s.
const WAIT_GAINS: (f64, f64) = (0.18, 0.04);
/// Kpc and Kic (1/s) on a utilisation error, which is at most 1 - target and says nothing of the excess.
const BUSY_GAINS: (f64, f64) = (1.0, 0.5);
/// Kpc and Kic (1/s) on a rate error, a fraction of the rate that is asked for.
const RATE_GAINS: (f64, f64) = (0.7, 0.2);
/// A negative error unwinds the integral so much faster than a positive one winds it.
const UNWIND: f64 = 6.0;
/// A wait seen by this front itself counts for so long.
const SEEN_FRESH: Micros = SECOND;
/// So many unanswered set-ups are no sign of a wait.
const BACKLOG_NOISE: f64 = 3.0;
/// s. Wait taken for granted at a processor that answers 'full' without naming one.
const FULL_WAIT_S: f64 = 2.0;
/// For so long after its last positive error a server counts as pressed ...
const PRESSED: Micros = 8 * SECOND;
/// ... and may be let through so many times what stood there, plus so many set-ups a second, of all fronts
/// together, to start from.
const STOOD_LIMIT: (f64, f64) = (1.4, 3.0);
/// s. Without a positive error that doubles in this time: no cliff at which all fronts send at once.
const STOOD_DOUBLES_S: f64 = 2.0;
/// Largest relative wait or queue error that the loop believes: one bad report must not refuse all.
const ERROR_MAX: f64 = 4.0;
/// Queue set-point where no rate is told: at least so many set-ups.
const QUEUE_FLOOR: f64 = 3.0;
/// With no report for so long, a loop stops integrating and its reject fraction fades ...
const STALE: Micros = 1_500 * MS;
/// s. ... with this time constant, so that calls (and with them reports) come through again.
const FADE_S: f64 = 2.0;
/// s. Lag of the arrival rate that paces sends; a front sees a few calls a second.
const ARRIVAL_LAG_S: f64 = 2.0;
/// Kpq (1/s) and Kiq (1/s^2) of the pacing loop.
const PACE_GAINS: (f64, f64) = (0.5, 0.1);
/// Set-ups that a pacing bucket can save up.
const BUCKET: f64 = 2.0;
/// s. Lag of the rate that a warm server takes from this front, the measure for a cold one.
const CARRIED_LAG_S: f64 = 10.0;
/// A cold server gets this share of what would push it over: room for uneven fronts, and its loop holds it.
const RAMP_SHARE: f64 = 0.7;
/// s. A cold server's bucket saves up one set-up and as many as fall due in this time ...
const RAMP_BURST_S: f64 = 0.3;
/// ... and a set-up that was saved up and found no call is forgotten after this.
const RAMP_KEEP: Micros = 2 * SECOND;
/// What a number took from other fronts is a mean over so many words at the least, and the latest so many.
const TOLD_LEAST: f64 = 3.0;
const TOLD_WORDS: f64 = 20.0;
/// Calls that the order of worth is judged on.
const RECENT_CALLS: usize = 200;
/// s. Lag of a customer's arrival rate.
const TENANT_LAG_S: f64 = 5.0;
/// Mean pause after a failed connect; drawn by chance, so that fronts do not come back in step.
const DOWN_PAUSE_S: f64 = 1.0;
/// Answers are given so long before the caller's time is up.
const MARGIN: Micros = 30 * MS;
/// A set-up with less time than this left is not sent.
const LEAST_TIME: Micros = 100 * MS;
/// While answers get lost, a set-up is given up after this fraction of its class's aim.
const LOST_AFTER: f64 = 0.5;
/// Weight of the last time-out in the share of those that were lost answers, and the share that counts.
const LOST_WEIGHT: f64 = 0.4;
const LOST_MOSTLY: f64 = 0.5;
/// Slack on the release guard, for rounding of clocks.
const GUARD_SLACK: Micros = 2 * MS;
/// Probes a second that one server gets of all fronts where reports come only by probe, and the shortest
/// time between two of one front.
const PROBES: (f64, Micros) = (8.0, SECOND);
/// Time until a failed subscription is asked for again.
const WATCH_AGAIN: Micros = SECOND;
/// A front tells one other, drawn by chance, what it knows of the servers; mean time between messages.
const TELL_EVERY_S: f64 = 0.125;
/// A server at rest, with its error under this and alpha at nought, is told of in this share of messages.
const REST: (f64, f64) = (-0.5, 0.15);
/// Least time between log lines.
const LOG_EVERY: Micros = SECOND;

const TOKEN_TICK: u64 = 0;
const TOKEN_WATCH: u64 = 1;
/// Low bits of a call's timer tokens; the id stands above them.
const TOKEN_DEADLINE: u64 = 2;
const TOKEN_RESEND: u64 = 3;

/// What drives a server's reject fraction, in order of choice where several values are told.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Signal {
    HoldBack(f64),
    Wait(f64),
    Queue(f64),
    Rate(f64),
    Busy(f64),
}

impl Signal {
    /// The nearest to what the loop must hold comes first: the share itself, then the wait, then the queue
    /// that makes it; a rate or utilisation says only that the processor is busy, not by how much too much.
    fn of(report: &Report) -> Option<Self> {
        sane(report.hold_back)
            .map(Self::HoldBack)
            .or(sane(report.wait_s).map(Self::Wait))
            .or(sane(report.queue).map(Self::Queue))
            .or(sane(report.rate).map(Self::Rate))
            .or(sane(report.busy).map(Self::Busy))
    }
}

impl Server {
    /// Whether a set-up was seen, here or by another front, to stand without a wait since then.
    fn stood_since(&self, at: Micros) -> bool {
        self.answer.0 > at && self.answer.1 < TARGET_WAIT_S
    }

    /// A wait shown by an answer or by what is unanswered here. Only such are told on: a time-out may be a
    /// lost answer, and fronts that pass on time-outs confirm each other.
    fn see_answer(&mut self, now: Micros, wait_s: f64) {
        self.answer = (now, wait_s);
        self.see_wait(now, wait_s);
    }

    fn see_lag(&mut self, now: Micros, lag: Micros) {
        self.least_lag = self.least_lag.min(lag);
        self.see_answer(now, seconds(lag - self.least_lag));
    }

    fn note_report(&mut self, now: Micros, report: &Report) {
        if report.free.is_some() {
            (self.free, self.lines) = (report.free, report.lines);
        }
        if Signal::of(report).is_some() {
            self.report = *report;
            self.reported_at = now;
        }
    }

    fn is_at_rest(&self) -> bool {
        self.alpha == 0.0 && self.error.is_none_or(|error| error < REST.0)
    }

    fn is_paced(&self) -> bool {
        sane(self.report.rate).is_some() && sane(self.report.queue).is_some()
    }

    /// What this front tells another of the server, and of what its number took from here.
    fn word(&self, now: Micros, id: ServerId, took: Option<f64>) -> Word {
        let age = |at: Micros| if at == 0 { Micros::MAX } else { now.saturating_sub(at) };
        Word {
            key: word::key(id),
            report: self.report,
            age: age(self.reported_at),
            seen_wait_s: self.answer.1,
            seen_age: age(self.answer.0),
            took,
        }
    }

    /// What another front said of the server. Newest wins; it says nothing of its state or warmth.
    fn note_word(&mut self, now: Micros, word: &Word) {
        let newer = |age: Micros, than: Micros| {
            Some(now.saturating_sub(age)).filter(|at| *at > than.max(self.known_at))
        };
        let (report_at, seen_at) = (newer(word.age, self.reported_at), newer(word.seen_age, self.answer.0));
        if let Some(at) = report_at {
            (self.report, self.reported_at) = (word.report, at);
        }
        if let Some(at) = seen_at {
            self.see_answer(at, word.seen_wait_s);
        }
    }

    /// Lines that one call at each front would take; at most the root of all, by which lines in use vary:
    /// hundreds of fronts do not send in the same instant.
    fn lines_of_all(&self, fronts: f64) -> f64 {
        self.lines.map_or(fronts, |lines| fronts.min(lines.sqrt()))
    }

    /// Steps 1 and 2: reported load to reject fraction.
    fn tick(&mut self, now: Micros, dt_s: f64, fronts: f64, carried: f64) {
        let (asked, stood) = (self.arrivals.read(now, ARRIVAL_LAG_S), self.stood.read(now, ARRIVAL_LAG_S));
        // Guards against surges that no report shows yet (cut calls coming back, a flood at this front): what
        // is unanswered here, over what the server took from here, is a wait. Few set-ups prove nothing.
        let backlog_s = (f64::from(self.unanswered) - BACKLOG_NOISE) / carried.max(0.1);
        if backlog_s > self.seen_wait_s.max(TARGET_WAIT_S) {
            self.see_answer(now, backlog_s);
        }
        let told = Signal::of(&self.report).filter(|_| now.saturating_sub(self.reported_at) <= STALE);
        let fresh = self.seen_at > 0 && now.saturating_sub(self.seen_at) <= SEEN_FRESH;
        let Some(signal) = told.or(fresh.then_some(Signal::Wait(self.seen_wait_s))) else {
            // Guards against feedback that went missing: at a high reject fraction nothing is sent, so
            // nothing is answered, so nothing is reported. Neither frozen nor wound further: it fades.
            self.pi.integral *= (-dt_s / FADE_S).exp();
            if self.pi.integral < 0.01 {
                self.pi.integral = 0.0;
            }
            self.alpha = self.pi.integral.min(self.alpha);
            (self.error, self.told_easy) = (None, false);
            self.pace_rate = asked;
            return;
        };
        let (error, gains) = match signal {
            Signal::HoldBack(share) => (share, (1.0, 0.0)),
            Signal::Wait(wait) => ((wait / TARGET_WAIT_S - 1.0).min(ERROR_MAX), WAIT_GAINS),
            Signal::Queue(queue) => {
                let rate = sane(self.report.rate).unwrap_or(carried * fronts);
                let target = (TARGET_WAIT_S * rate).max(QUEUE_FLOOR);
                ((queue / target - 1.0).min(ERROR_MAX), WAIT_GAINS)
            }
            // Against the rate asked for, not its own highest: that error is never negative, so noise alone
            // winds it, and it is blind to a processor that was too small from the start.
            Signal::Rate(rate) => (1.0 - rate / (asked * fronts).max(rate / 2.0).max(0.01), RATE_GAINS),
            Signal::Busy(busy) => (busy.min(1.0) - TARGET_BUSY, BUSY_GAINS),
        };
        // Guards against reports that lie, lag or say too little (a rate or utilisation does not tell by how
        // much a processor is overrun): where the set-up times seen here are worse, they drive the loop.
        self.told_easy = told.is_some() && error < 0.0;
        let seen = (self.seen_wait_s / TARGET_WAIT_S - 1.0).min(ERROR_MAX);
        let worse = match signal {
            Signal::HoldBack(_) => false,
            Signal::Rate(_) => fresh,
            _ => fresh && seen > 0.0 && seen * WAIT_GAINS.0 > error * gains.0,
        };
        let (error, gains) = if worse { (seen, WAIT_GAINS) } else { (error, gains) };
        let before = self.error.unwrap_or(error);
        let error = before + (error - before) * lagged(dt_s, LOAD_LAG_S);
        self.error = Some(error);
        self.alpha = match signal {
            Signal::HoldBack(_) => error.clamp(0.0, 1.0),
            _ => self.pi.step(error, dt_s, gains, (0.0, 1.0), UNWIND),
        };
        // Guards against swings under heavy overload, when redials ask for many times the capacity and a
        // small fall of alpha overruns the processor again: while pressed, what stood lately bounds what is
        // let through. Could hurt where capacity comes back at a stroke.
        if error > 0.0 && !matches!(signal, Signal::HoldBack(_)) {
            self.pressed_at = Some(now);
        }
        let rest = self.pressed_at.map_or(PRESSED, |at| now.saturating_sub(at));
        if rest < PRESSED && asked > 0.0 {
            let growth = (seconds(rest) / STOOD_DOUBLES_S).exp2();
            let bound = stood * STOOD_LIMIT.0 * growth + STOOD_LIMIT.1 / fronts;
            self.alpha = self.alpha.max(1.0 - bound / asked);
        }
        // Step 4: the pace. Queue and rate belong to all fronts; this one corrects its share.
        if let (Some(rate), Some(queue)) = (sane(self.report.rate), sane(self.report.queue)) {
            let error = (TARGET_WAIT_S * rate - queue) / fronts;
            let paced = asked + self.pace.step(error, dt_s, PACE_GAINS, (-asked, rate), 1.0);
            self.pace_rate = if self.alpha > 0.0 { paced } else { paced.max(asked) };
        }
    }

    fn fill(&mut self, now: Micros, rate: f64, most: f64) {
        let dt_s = seconds(now.saturating_sub(self.bucket_at));
        if self.bucket < 1.0 {
            self.full_at = now;
        }
        self.bucket = (self.bucket + rate * dt_s).min(most);
        self.bucket_at = now;
    }

    /// The bucket of a cold server. It starts at a random level and forgets what no call came for. Guards
    /// against hundreds of fronts that each have saved up one set-up and spend it in the same instant.
    fn fill_cold(&mut self, now: Micros, rate: f64, chance: f64) {
        let overslept = now.saturating_sub(self.full_at) > RAMP_KEEP;
        if self.bucket >= 1.0 && overslept {
            self.bucket = chance;
        }
        self.fill(now, rate, 1.0 + rate * RAMP_BURST_S);
    }
}

/// The decisions of one front. See the crate's page for how to embed it.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    rng: Pcg64Mcg,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, Pending>,
    unanswered: BTreeMap<(CallId, u16), ServerId>,
    tenants: Vec<Meter>,
    arrivals: Meter,
    /// Set-ups a second that stood at warm servers, by number: as of the last one, so a pause keeps it.
    carried: BTreeMap<u16, Meter>,
    /// The same at other fronts, as they told it: the mean, and of how many words.
    told: BTreeMap<u16, (f64, f64)>,
    /// When the first tick was.
    born: Option<Micros>,
    /// Worth of the latest calls.
    recent: VecDeque<f64>,
    /// When a number was dialled first, for as long as its caller may still try.
    dialled: BTreeMap<u64, Micros>,
    ticked_at: Option<Micros>,
    /// This turn, and since when what it finds may have waited: earlier after an own stall.
    turn: (Micros, Micros),
    /// Share of the latest time-outs that were answers lost.
    lost: f64,
    tell_at: Micros,
    logged_at: Option<Micros>,
}

impl Controller {
    /// A controller that knows no servers yet.
    ///
    /// # Errors
    /// When the settings hold a figure that nothing sensible can be done with.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            tenants: vec![Meter::default(); settings.tenants.len()],
            arrivals: Meter::default(),
            carried: BTreeMap::new(),
            told: BTreeMap::new(),
            born: None,
            recent: VecDeque::new(),
            dialled: BTreeMap::new(),
            ticked_at: None,
            turn: (0, 0),
            lost: 0.0,
            tell_at: 0,
            logged_at: None,
            settings,
        })
    }

    /// Takes one event at a time that never goes back, and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if self.settings.subscribe && self.ticked_at.is_none() {
            actions.push(Action::Watch);
        }
        if self.turn.0 != now {
            self.turn = (now, now);
        }
        if self.ticked_at.is_none_or(|at| now >= at.saturating_add(TICK)) {
            let late = self.ticked_at.map_or(0, |at| now.saturating_sub(at + TICK));
            if late > STALLED {
                self.wake(now, late, actions);
            } else {
                self.tick(now, actions);
            }
        }
        let told_at = self.turn.1;
        match event {
            Event::List(kind, entries) => self.list(now, kind, &entries, actions),
            Event::Call(call) => self.call(now, call, actions),
            Event::Stands { call, attempt, server, lag } => {
                if let Some(pending) = self.calls.remove(&call) {
                    self.dialled.remove(&pending.call.number);
                }
                self.answered(call, attempt);
                if let Some(server) = self.servers.get_mut(&server) {
                    if told_at == now {
                        server.see_lag(now, lag);
                    }
                    server.stood.count(now, ARRIVAL_LAG_S);
                    if !server.is_cold(now, self.settings.ramp_time) {
                        self.carried.entry(server.number).or_default().count(now, CARRIED_LAG_S);
                    }
                }
            }
            Event::Ended { call, attempt, server, outcome, lag, complete, note, report } => {
                self.answered(call, attempt);
                if let Some(server) = self.servers.get_mut(&server) {
                    server.note_report(told_at, &report);
                }
                let end = Ending { outcome, lag, note };
                self.attempt_ended(now, server, &end, actions);
                let ours = self.calls.get(&call).is_some_and(|p| p.out == Some((attempt, server)));
                if complete {
                    self.calls.remove(&call);
                } else if ours {
                    self.after_failure(now, call, &end, actions);
                }
            }
            Event::Abandoned(call) => {
                self.calls.remove(&call);
            }
            Event::Probed { server, report, .. } => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.note_report(told_at, &report);
                }
            }
            Event::Peer { from, payload } if from < self.settings.fronts => {
                for word in word::read(&payload).unwrap_or_default() {
                    let mut named = self.servers.iter_mut().filter(|(id, _)| word::key(**id) == word.key);
                    if let Some((_, server)) = named.next() {
                        server.note_word(told_at, &word);
                        if let Some(took) = word.took {
                            let (mean, words) = self.told.entry(server.number).or_default();
                            *words = (*words + 1.0).min(TOLD_WORDS);
                            *mean += (took - *mean) / *words;
                        }
                    }
                }
            }
            Event::Share { server, per_s } => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.share = sane(Some(per_s));
                }
            }
            Event::Peer { .. } | Event::Timer(TOKEN_TICK) => {}
            Event::Timer(TOKEN_WATCH) => actions.push(Action::Watch),
            Event::Timer(token) => self.timer(now, (token >> 2) as CallId, token & 3, actions),
        }
    }

    /// What is believed of each server, for logs; decides nothing.
    pub fn beliefs(&self) -> Vec<Belief> {
        let belief = |(server, s): (&ServerId, &Server)| Belief {
            server: *server,
            number: s.number,
            state: s.state,
            alpha: s.alpha,
            unanswered: s.unanswered,
            report: (s.report, s.reported_at),
            seen: (s.seen_wait_s, s.seen_at),
            cold_since: s.cold_since,
        };
        self.servers.iter().map(belief).collect()
    }

    fn log(&mut self, now: Micros, text: String, actions: &mut Vec<Action>) {
        if self.logged_at.is_none_or(|at| now >= at.saturating_add(LOG_EVERY)) {
            self.logged_at = Some(now);
            actions.push(Action::Log(text));
        }
    }

    /// This front itself stood still, as the lateness of its own tick tells. Guards against learning from it:
    /// set-up times are no waits, buckets are not refilled, loops do not integrate, and all that the turn
    /// finds is heard, drains above all, before anything is sent.
    fn wake(&mut self, now: Micros, late: Micros, actions: &mut Vec<Action>) {
        (self.turn.1, self.ticked_at) = (now - late, Some(now));
        actions.push(Action::Timer { at: now + TICK, token: TOKEN_TICK });
        for server in self.servers.values_mut() {
            server.bucket_at = now;
        }
    }

    fn probe_every(&self) -> Micros {
        PROBES.1.max(micros(f64::from(self.settings.fronts) / PROBES.0))
    }

    fn has_slept(&self) -> bool {
        self.turn.1 < self.turn.0
    }

    fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let dt_s = self.ticked_at.map_or(0.0, |at| seconds(now.saturating_sub(at)));
        self.ticked_at = Some(now);
        self.born.get_or_insert(now);
        actions.push(Action::Timer { at: now + TICK, token: TOKEN_TICK });
        let ramp = self.settings.ramp_time;
        let cold = self.servers.iter().filter(|(_, server)| server.is_cold(now, ramp));
        let rates: Vec<_> = cold.map(|(id, server)| (*id, self.ramp_rate(now, server))).collect();
        for (id, rate) in rates {
            let drawn = chance(&mut self.rng);
            if let Some(server) = self.servers.get_mut(&id) {
                server.fill_cold(now, rate, drawn);
            }
        }
        let probing = self.settings.reports == ReportPath::Probes && self.settings.may_probe;
        let probe_every = self.probe_every();
        for (id, server) in &mut self.servers {
            let warm = server.state == ServerState::Ready && !server.is_cold(now, ramp);
            if warm && seconds(now.saturating_sub(server.known_at)) >= CARRIED_LAG_S {
                // Known for long: one that took nothing from here took nought, which is told as well.
                self.carried.entry(server.number).or_default();
            }
            let carried = self.carried.get(&server.number).map_or(0.0, |meter| meter.rate);
            server.tick(now, dt_s, f64::from(self.settings.fronts), carried);
            if probing && server.state == ServerState::Ready && now >= server.probe_at {
                server.probe_at = now + probe_every;
                actions.push(Action::Probe(*id));
            }
        }
        let longest = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        self.dialled.retain(|_, at| now < at.saturating_add(longest));
        self.tell(now, actions);
    }

    /// Guards against reports that starve: they ride on call ends, and with hundreds of fronts one front
    /// hears of a server every few seconds. Fronts pass on the newest they know.
    fn tell(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let others = self.settings.fronts - 1;
        if !self.settings.may_tell_peers || others == 0 || now < self.tell_at {
            return;
        }
        let (first, drawn) = (self.tell_at == 0, chance(&mut self.rng));
        self.tell_at = now + micros(TELL_EVERY_S * if first { drawn } else { 0.5 + drawn });
        let of_rest = chance(&mut self.rng) < REST.1;
        let due = |server: &Server| server.state == ServerState::Ready && (of_rest || !server.is_at_rest());
        // From a place drawn by chance: a message holds a dozen words, and of a longer list those at its
        // end would never be told of.
        let from = (chance(&mut self.rng) * self.servers.len() as f64) as usize;
        let all = self.servers.iter().skip(from).chain(self.servers.iter().take(from));
        let words = all.filter(|(_, server)| due(server));
        let took = |server: &Server| self.took(now, server.number);
        let payload = word::write(words.map(|(id, s)| s.word(now, *id, took(s))), MESSAGE_MAX);
        if let Some(payload) = payload.filter(|_| !first) {
            let to = (chance(&mut self.rng) * f64::from(others)) as u32;
            let to = if to >= self.settings.ordinal { to + 1 } else { to };
            actions.push(Action::TellPeer { to, payload });
        }
    }

    fn list(&mut self, now: Micros, kind: ListKind, entries: &[Entry], actions: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            return actions.push(Action::Timer { at: now + WATCH_AGAIN, token: TOKEN_WATCH });
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
            // A new process: nothing learnt of the old one holds.
            let drawn = chance(&mut self.rng);
            let probe_at = now + micros(drawn * seconds(self.probe_every()));
            let fresh = Server { bucket: drawn, probe_at, ..Server::new(entry, now) };
            self.servers.insert(entry.server, fresh);
            if entry.started_at.is_some_and(|at| now < at + self.settings.ramp_time) {
                self.log(now, format!("cold start: server number {} ramps", entry.number), actions);
            }
        }
        for id in leaving {
            self.servers.remove(&id);
        }
    }

    fn call(&mut self, now: Micros, call: Call, actions: &mut Vec<Action>) {
        let id = call.id;
        if self.calls.contains_key(&id) {
            return;
        }
        self.arrivals.count(now, ARRIVAL_LAG_S);
        let Some(class) = self.settings.classes.get(call.class) else {
            return actions.push(Action::Refuse { call: id, retry_after: 0 });
        };
        let answer_by = now.saturating_add(call.gives_up_in).saturating_sub(MARGIN);
        // Guards against work for callers whose time has gone: a number dialled again here is most likely the
        // same caller, whose aim counts from the first try. A cut call's counts anew.
        if call.redial == Some(false) || call.was_cut || call.number == 0 {
            self.dialled.remove(&call.number);
        }
        let first_at = *self.dialled.entry(call.number).or_insert(now);
        let aim_at = first_at + class.aim;
        let mut worth = self.worth_of(now, &call);
        if aim_at <= now {
            worth *= self.settings.classes[call.class].late_worth;
        }
        let aim_at = aim_at.max(now).min(answer_by);
        self.recent.push_back(worth);
        if self.recent.len() > RECENT_CALLS {
            self.recent.pop_front();
        }
        let pending = Pending { call, worth, aim_at, answer_by, not_before: now, ..Pending::default() };
        self.calls.insert(id, pending);
        actions.push(Action::Timer { at: answer_by.max(now), token: u64::from(id) << 2 | TOKEN_DEADLINE });
        self.place(now, id, actions);
    }

    /// What a call is worth, as far as settings and this front's own traffic tell.
    fn worth_of(&mut self, now: Micros, call: &Call) -> f64 {
        let mut worth = self.settings.classes.get(call.class).map_or(0.0, |class| class.worth);
        if let Some(meter) = self.tenants.get_mut(call.tenant) {
            meter.count(now, TENANT_LAG_S);
            let rate = meter.read(now, TENANT_LAG_S) * f64::from(self.settings.fronts);
            let quota = self.settings.tenants.get(call.tenant).map_or(rate, |t| t.quota_per_s);
            if rate > quota {
                let mean = (quota + self.settings.over_share_worth * (rate - quota)) / rate;
                // In quarters, so that calls of about the same worth count as equal.
                worth *= (mean * 4.0).round() / 4.0;
            }
        }
        worth
    }

    /// Shares of recent calls that are worth less than this, and as much.
    fn rank(&self, worth: f64) -> (f64, f64) {
        let total = self.recent.len().max(1) as f64;
        let share =
            |those: &dyn Fn(f64) -> bool| self.recent.iter().filter(|w| those(**w)).count() as f64 / total;
        (share(&|w| w < worth), share(&|w| w == worth).max(1.0 / total))
    }

    /// The reject fraction, spent on calls of low worth first; its mean over recent calls stays alpha.
    fn refusal(&self, alpha: f64, worth: f64) -> f64 {
        let (below, equal) = self.rank(worth);
        ((alpha - below) / equal).clamp(0.0, 1.0)
    }

    /// Set-ups a second that a number took from here while warm, once this front has lived long enough to
    /// know: without the last one's own weight, which at a few set-ups a minute would double the estimate.
    fn took(&self, now: Micros, number: u16) -> Option<f64> {
        let lived = now.saturating_sub(self.born.unwrap_or(now));
        let meter = self.carried.get(&number).filter(|_| seconds(lived) >= CARRIED_LAG_S)?;
        // The meter began at nought with this front.
        Some((meter.rate / lagged(seconds(lived), CARRIED_LAG_S) - 1.0 / CARRIED_LAG_S).max(0.0))
    }

    /// Set-ups a second that this front may send to a cold server: its own share of what the server's number
    /// took while warm (servers differ a hundredfold, others are no guide), so that the
    /// fronts together keep to what it can do, whoever has how much of the traffic. A told rate is best.
    /// Guards against a fleet most of which has just started, which would leave cold servers idle: such a
    /// front goes by the mean of what others say that they took, those with nothing included.
    /// Where fronts share a budget, its part of that, which fronts with more to send hold more of.
    fn ramp_rate(&self, now: Micros, server: &Server) -> f64 {
        if let Some(share) = server.share {
            return share;
        }
        if let Some(rate) =
            sane(server.report.rate).filter(|_| now.saturating_sub(server.reported_at) <= STALE)
        {
            return rate * self.settings.fall_multiple * RAMP_SHARE / f64::from(self.settings.fronts);
        }
        let carried = |meter: &Meter| (meter.rate - 1.0 / CARRIED_LAG_S).max(0.0);
        let met = self.carried.values().filter(|meter| meter.rate > 0.0);
        let least = met.map(carried).fold(f64::INFINITY, f64::min);
        let own = self.arrivals.read(now, ARRIVAL_LAG_S) / self.servers.len().max(1) as f64;
        let young = self.carried.get(&server.number).filter(|meter| meter.rate > 0.0).map(carried);
        let told = self.told.get(&server.number).filter(|told| told.1 >= TOLD_LEAST).map(|told| told.0);
        let full = self.took(now, server.number).or(told).or(young).unwrap_or(least.min(own));
        let age = seconds(now.saturating_sub(server.cold_since.unwrap_or(now)));
        let warmth = age / seconds(self.settings.ramp_time.max(1));
        let warmth = self.settings.cold_from + (1.0 - self.settings.cold_from) * warmth.min(1.0);
        full * warmth * self.settings.fall_multiple * RAMP_SHARE
    }

    /// Servers that may take the call now.
    fn allowed(&self, now: Micros, id: CallId) -> Vec<ServerId> {
        let ramp = self.settings.ramp_time;
        let Some(pending) = self.calls.get(&id) else { return Vec::new() };
        // The last lines are kept for calls of more worth than most.
        let lowly = 1.0 - self.rank(pending.worth).0;
        let reserve = if lowly < 0.5 { 0.0 } else { lowly };
        let fronts = f64::from(self.settings.fronts);
        let call = &pending.call;
        let skilled = self.settings.classes.get(call.class).and_then(|class| class.servers.as_ref());
        let fits = |server: &Server| {
            server.state == ServerState::Ready
                && self.settings.own_number != Some(server.number)
                && skilled.is_none_or(|numbers| numbers.contains(&server.number))
                && (!call.in_transit || call.first_choice == Some(server.number))
                && now >= server.down_until
                && (!server.is_cold(now, ramp) || server.bucket >= 1.0)
                && server.free.is_none_or(|free| free > reserve * server.lines_of_all(fronts))
        };
        let mut allowed: Vec<_> = self.servers.iter().filter(|(_, s)| fits(s)).map(|(id, _)| *id).collect();
        if let Some(last) = pending.last.filter(|_| allowed.len() > 1) {
            allowed.retain(|server| *server != last);
        }
        allowed
    }

    fn clear(&self, id: &ServerId) -> bool {
        self.servers.get(id).is_some_and(|server| server.alpha == 0.0)
    }

    /// Step 5: which server the call goes to. All that are allowed show free lines.
    fn choose(&mut self, now: Micros, id: CallId) -> Option<ServerId> {
        let allowed = self.allowed(now, id);
        let first = self.calls.get(&id)?.call.first_choice;
        let lookup = |id: &ServerId| self.servers.get(id).map(|s| s.number);
        let direct = allowed.iter().find(|id| lookup(id) == first && self.clear(id));
        direct.copied().or_else(|| self.emptier(&allowed))
    }

    /// Of two random servers the one with fewer of our set-ups unanswered. At a few set-ups a minute both
    /// have none: then the one that refuses less.
    fn emptier(&mut self, among: &[ServerId]) -> Option<ServerId> {
        let n = among.len();
        let one = (chance(&mut self.rng) * n as f64) as usize;
        let step = 1 + (chance(&mut self.rng) * n.saturating_sub(1) as f64) as usize;
        let two = [*among.get(one)?, among[(one + step) % n]];
        let load = |id: &ServerId| self.servers.get(id).map_or((u32::MAX, 1.0), |s| (s.unanswered, s.alpha));
        Some(if load(&two[1]) < load(&two[0]) { two[1] } else { two[0] })
    }

    /// Counts a call that is meant for the server; its reject fraction.
    fn ask(&mut self, now: Micros, id: ServerId) -> f64 {
        let Some(server) = self.servers.get_mut(&id) else { return 1.0 };
        server.arrivals.count(now, ARRIVAL_LAG_S);
        server.alpha
    }

    /// Finds the call a server and sends it, holds it for its pace, or refuses it.
    fn place(&mut self, now: Micros, id: CallId, actions: &mut Vec<Action>) {
        let Some(pending) = self.calls.get(&id) else { return };
        let (worth, tries) = (pending.worth, pending.attempts);
        let late = now + LEAST_TIME > pending.answer_by;
        if late || tries >= self.settings.max_attempts {
            return self.turn_away(id, actions);
        }
        if self.has_slept() {
            return actions.push(Action::Timer { at: now + 1, token: u64::from(id) << 2 | TOKEN_RESEND });
        }
        let Some(choice) = self.choose(now, id) else {
            return self.turn_away(id, actions);
        };
        let alpha = self.ask(now, choice);
        // Step 3. Later attempts draw as well: the processor does not care which attempt loads it.
        let refusal = self.refusal(alpha, worth);
        if chance(&mut self.rng) < refusal {
            return self.turn_away(id, actions);
        }
        self.pace(now, id, choice, actions);
    }

    /// Step 4: a call is sent as its server's pace has room, or refused once past its aim.
    fn pace(&mut self, now: Micros, id: CallId, choice: ServerId, actions: &mut Vec<Action>) {
        let ramp = self.settings.ramp_time;
        let (Some(pending), Some(server)) = (self.calls.get_mut(&id), self.servers.get_mut(&choice)) else {
            return;
        };
        if server.is_paced() && !server.is_cold(now, ramp) {
            server.fill(now, server.pace_rate, BUCKET);
            if server.bucket < 1.0 && now >= pending.aim_at {
                return self.turn_away(id, actions);
            } else if server.bucket < 1.0 {
                (pending.held_at, pending.not_before) = (Some(choice), now + TICK);
                return actions
                    .push(Action::Timer { at: now + TICK, token: u64::from(id) << 2 | TOKEN_RESEND });
            }
            server.bucket -= 1.0;
        }
        self.send(now, id, choice, actions);
    }

    fn send(&mut self, now: Micros, id: CallId, choice: ServerId, actions: &mut Vec<Action>) {
        let ramp = self.settings.ramp_time;
        let (Some(pending), Some(server)) = (self.calls.get_mut(&id), self.servers.get_mut(&choice)) else {
            return;
        };
        let class = self.settings.classes.get(pending.call.class);
        // Guards against a repeat that was in time when it was decided on, and waited for a pace or a
        // connection: its window counts where it begins.
        let window = match (pending.may_have_run, class.map(|class| class.repeat)) {
            (Some(at), Some(Repeat::Within(window))) => at.saturating_add(window).saturating_sub(now),
            _ => Micros::MAX,
        };
        if window == 0 {
            return self.turn_away(id, actions);
        }
        let attempt = pending.attempts.min(u32::from(u16::MAX)) as u16;
        pending.attempts += 1;
        pending.out = Some((attempt, choice));
        pending.last = Some(choice);
        pending.sent_at = now;
        if server.is_cold(now, ramp) {
            server.bucket -= 1.0;
        }
        server.unanswered += 1;
        self.unanswered.insert((id, attempt), choice);
        let full = pending.answer_by.saturating_sub(now + MS).max(1);
        // Guards against answers that get lost, while most time-outs are of that kind: a set-up stands soon
        // or never, and a class that is safe to repeat has time for another. Could hurt where a processor
        // slows in between: the work of the first is lost.
        let class = class.filter(|c| c.repeat == Repeat::Safe && self.lost > LOST_MOSTLY);
        let soon = class.map_or(full, |class| (class.aim as f64 * LOST_AFTER) as Micros);
        let again = pending.attempts < self.settings.max_attempts
            && full > soon + self.settings.release_guard + LEAST_TIME;
        let timeout = if again { soon } else { full };
        let begin_within = full.min(window);
        actions.push(Action::Send { call: id, server: choice, timeout, begin_within });
    }

    /// An attempt is no longer out, or stands.
    fn answered(&mut self, call: CallId, attempt: u16) {
        if let Some(server) = self.unanswered.remove(&(call, attempt)) {
            if let Some(server) = self.servers.get_mut(&server) {
                server.unanswered = server.unanswered.saturating_sub(1);
            }
        }
    }

    /// What an attempt's end says of its server.
    fn attempt_ended(&mut self, now: Micros, id: ServerId, end: &Ending, actions: &mut Vec<Action>) {
        let Ending { outcome, lag, note } = *end;
        let (slept, drawn) = (self.has_slept(), chance(&mut self.rng));
        let Some(server) = self.servers.get_mut(&id) else { return };
        if note == Note::NoLine {
            server.free = Some(0.0);
        }
        if let Note::ProcessorFull(wait) = note {
            server.see_answer(now, seconds(wait).max(FULL_WAIT_S));
        }
        match outcome {
            Outcome::ConnectFailed => {
                // Nothing runs there: whatever answers next has just started, told or not. A pause,
                // since each try costs its call the dial time.
                let text = format!("not reached: server number {} counts as cold", server.number);
                server.cold_since = Some(now);
                server.bucket = drawn;
                server.down_until = now + micros(DOWN_PAUSE_S * (0.5 + drawn));
                self.log(now, text, actions);
            }
            // Answers get lost too: where a set-up sent no earlier stood at once, it is no sign of load.
            Outcome::Timeout if !slept => {
                let lost = server.told_easy || server.stood_since(now.saturating_sub(lag));
                self.lost += (f64::from(u8::from(lost)) - self.lost) * LOST_WEIGHT;
                if !lost {
                    server.see_wait(now, seconds(lag));
                }
            }
            _ => {}
        }
    }

    /// What becomes of a call whose attempt failed.
    fn after_failure(&mut self, now: Micros, id: CallId, end: &Ending, actions: &mut Vec<Action>) {
        let Ending { outcome, note, .. } = *end;
        let guard = self.settings.release_guard;
        let Some(pending) = self.calls.get_mut(&id) else { return };
        pending.out = None;
        let never_ran = matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot);
        if !never_ran && pending.may_have_run.is_none() {
            pending.may_have_run = Some(pending.sent_at);
        }
        let repeat = self.settings.classes.get(pending.call.class).map_or(Repeat::Never, |c| c.repeat);
        let again = match (pending.may_have_run, repeat) {
            (None, _) | (_, Repeat::Safe) => true,
            (Some(at), Repeat::Within(window)) => now + guard < at.saturating_add(window),
            (Some(_), Repeat::Never) => false,
        };
        if !again || note == Note::NumberBusy || now + LEAST_TIME > pending.answer_by {
            return self.turn_away(id, actions);
        }
        if never_ran || outcome == Outcome::Error {
            return self.place(now, id, actions);
        }
        pending.not_before = now + guard + GUARD_SLACK;
        actions.push(Action::Timer { at: pending.not_before, token: u64::from(id) << 2 | TOKEN_RESEND });
    }

    /// The final answer: refused while no attempt may have run or repeats are safe, else failed.
    fn turn_away(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(pending) = self.calls.remove(&id) else { return };
        let repeat = self.settings.classes.get(pending.call.class).map_or(Repeat::Never, |c| c.repeat);
        if pending.may_have_run.is_some() && repeat == Repeat::Never {
            actions.push(Action::Fail(id));
        } else {
            // Spread over the time that callers heed, so that a wave of redials does not come back as one.
            let retry_after = micros(chance(&mut self.rng) * seconds(self.settings.max_retry_after));
            actions.push(Action::Refuse { call: id, retry_after });
        }
    }

    fn timer(&mut self, now: Micros, id: CallId, kind: u64, actions: &mut Vec<Action>) {
        let Some(pending) = self.calls.get_mut(&id) else { return };
        match kind {
            TOKEN_DEADLINE if now + MS >= pending.answer_by => {
                // The last resort of every held call, whatever it waits for.
                if let Some((attempt, _)) = pending.out {
                    if self.settings.may_cancel {
                        actions.push(Action::Cancel { call: id, attempt });
                    }
                    self.calls.remove(&id);
                    actions.push(Action::Fail(id));
                } else {
                    self.turn_away(id, actions);
                }
            }
            TOKEN_RESEND if now >= pending.not_before && pending.out.is_none() => {
                let held_at = pending.held_at.take();
                let ready =
                    |id: &ServerId| self.servers.get(id).is_some_and(|s| s.state == ServerState::Ready);
                match held_at.filter(ready) {
                    Some(server) if !self.has_slept() => self.pace(now, id, server, actions),
                    _ => self.place(now, id, actions),
                }
            }
            _ => {}
        }
    }
}
