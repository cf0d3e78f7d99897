//! The engine. The crate documentation has the table from inputs to the policy's events.

mod fleet;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use baydrift::interface::{
    Action, Call, CallId, Entry, Event, ListKind, Micros, Note, Outcome, Repeat, Report, ServerId,
    ServerState, ServerView, Settings, SettingsError,
};
use baydrift::Controller;
use baydrift_fleet::Membership;

use crate::active::{ActiveCall, Attempt, Phase, Stage, MAX_WAITING_REQUESTS};
use crate::answer_cache::{AnswerCache, CachedAnswer};
use crate::budgets::SharedBudgets;
use crate::detached::{DetachedAttempt, DetachedAttempts};
use crate::guard::{Breach, CallProgress, Guard};
use crate::pool::{Pool, ASSUMED_START_TTL};
use crate::timers::{Timer, Timers};
use crate::types::{
    AttemptEnd, AttemptId, CallStatus, Final, Input, LinkId, LinkState, Offer, Output, Process, Refusal,
    ReleaseResult, Request, Retransmission, Session,
};

/// The engine fails a call that the policy has not answered this long before the caller's deadline.
const ANSWER_MARGIN: Micros = 10_000;
/// A call fails once the guard has blocked this many of its set-ups.
const MAX_BLOCKED_SET_UPS: u8 = 16;
/// Detached attempts released to a server in one batch.
const RELEASE_BATCH: usize = 16;
/// Interval between batches of releases.
const RELEASE_BATCH_INTERVAL: Micros = 50_000;

/// Makes the routing decisions: the decision module, or a simple policy to compare it with.
pub trait Policy: std::fmt::Debug + Send {
    /// Handles one event and appends the resulting actions. `now` never decreases.
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>);

    /// The policy's estimate of each server, for logs.
    fn server_views(&self) -> Vec<ServerView> {
        Vec::new()
    }
}

impl Policy for Controller {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        Self::handle(self, now, event, actions);
    }

    fn server_views(&self) -> Vec<ServerView> {
        Self::server_views(self)
    }
}

/// Bounds and timeouts of the engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Concurrent calls, in set-up or established; more are refused. Adopted calls are not counted.
    pub calls: usize,
    /// Concurrent adopted calls; more are reported as ended.
    pub adopted_calls: usize,
    /// Concurrent calls in set-up from one link; more are refused.
    pub in_set_up_per_link: usize,
    /// Final answers cached for repeated requests: as many for calls of which a set-up was sent as for others.
    pub cached_answers: usize,
    /// How long a final answer stays cached.
    pub cached_answer_ttl: Micros,
    /// Detached attempts that wait for a link to be released.
    pub detached_attempts: usize,
    /// Servers in the pool.
    pub servers: usize,
    /// A release that is unanswered for this long counts as done; 0 where the protocol has no reply to a
    /// release, which is done once it is sent.
    pub release_timeout: Micros,
    /// An established call whose owner has had no link for this long is released.
    pub client_absence: Micros,
    /// Rule 3: grace period after a drain was reported; no set-ups are sent after it.
    pub drain_grace: Micros,
    /// Rule 4: set-ups per second that a cold server may be sent by all fronts together.
    pub cold_rate: Option<f64>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            calls: 200_000,
            adopted_calls: 200_000,
            in_set_up_per_link: 5_000,
            cached_answers: 100_000,
            cached_answer_ttl: 60_000_000,
            detached_attempts: 50_000,
            servers: 256,
            release_timeout: 2_000_000,
            client_absence: 30_000_000,
            drain_grace: 1_000_000,
            cold_rate: None,
        }
    }
}

/// Why an engine cannot be created.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The policy's settings are invalid.
    #[error("invalid settings of the decision module: {0}")]
    Settings(#[from] SettingsError),
    /// A limit that must be at least 1 is 0.
    #[error("limits: {0} must be at least 1")]
    Zero(&'static str),
}

/// Counters since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls offered, without repeated requests.
    pub taken: u64,
    /// Final answers: established.
    pub stands: u64,
    /// Final answers: refused.
    pub refused: u64,
    /// Final answers: failed.
    pub failed: u64,
    /// Set-ups sent.
    pub set_ups: u64,
    /// Releases sent.
    pub releases: u64,
    /// Repeated requests.
    pub repeats: u64,
    /// Messages from servers about attempts that were already given up or ended.
    pub late: u64,
    /// Calls refused because a limit was reached.
    pub bound: u64,
    /// Cached answers evicted before they expired.
    pub forgotten: u64,
    /// Detached attempts discarded because their limit was reached.
    pub given_up: u64,
    /// Established calls cut by their server or by shutdown, or lost with the server.
    pub cut: u64,
    /// Established calls released because their owner was absent for too long.
    pub away: u64,
}

/// The call engine of one front. `P` is the driver's payload of an offer, returned with each set-up.
#[derive(Debug)]
pub struct Engine<P> {
    policy: Box<dyn Policy>,
    guard: Guard,
    pool: Pool,
    limits: Limits,
    now: Micros,
    /// Start of the process, or the time of the first input if the start was not set.
    started: Option<Micros>,
    /// Upper bound on how long the current inputs waited to be read because the process stalled.
    input_delay: Micros,
    /// Budgets of cold servers, if the fleet shares them.
    budgets: Option<SharedBudgets>,
    /// Membership of the fleet, if enabled.
    membership: Option<Membership>,
    calls: BTreeMap<CallId, ActiveCall<P>>,
    /// Number of adopted calls in `calls`.
    adopted: usize,
    sessions: BTreeMap<Session, CallId>,
    attempts: BTreeMap<AttemptId, Attempt>,
    by_server: BTreeMap<ServerId, BTreeSet<AttemptId>>,
    by_owner: BTreeMap<Arc<str>, BTreeSet<CallId>>,
    links: BTreeMap<LinkId, Arc<str>>,
    in_set_up: BTreeMap<LinkId, usize>,
    /// Answers to calls of which a set-up was sent, or which another process established.
    answers: AnswerCache,
    /// Answers to all other calls.
    unsent_answers: AnswerCache,
    detached: DetachedAttempts,
    /// Earliest time of the next batch of releases, if one is pending.
    next_batch_at: Option<Micros>,
    timers: Timers,
    /// Whether the calls of each class must not be set up twice.
    never_repeat: Vec<bool>,
    next_call: u64,
    next_attempt: u64,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    counts: Counts,
    stopping: bool,
}

impl<P: Clone> Engine<P> {
    /// An engine without servers, with the decision module as its policy.
    ///
    /// # Errors
    /// When the settings or limits are out of range.
    pub fn new(settings: Settings, limits: Limits, seed: u64) -> Result<Self, EngineError> {
        let policy = Box::new(Controller::new(settings.clone(), seed)?);
        Self::with_policy(settings, limits, policy)
    }

    /// An engine with another policy than the decision module, for comparisons.
    ///
    /// # Errors
    /// As [`Engine::new`].
    pub fn with_policy(
        settings: Settings,
        limits: Limits,
        policy: Box<dyn Policy>,
    ) -> Result<Self, EngineError> {
        settings.check()?;
        if limits.calls == 0 {
            return Err(EngineError::Zero("calls"));
        }
        if limits.servers == 0 {
            return Err(EngineError::Zero("servers"));
        }
        Ok(Self {
            guard: Guard::new(&settings, limits.drain_grace, limits.cold_rate),
            never_repeat: settings.classes.iter().map(|class| class.repeat == Repeat::Never).collect(),
            pool: Pool::new(settings.warm_up_time, limits.servers),
            policy,
            now: 0,
            started: None,
            input_delay: 0,
            budgets: None,
            membership: None,
            calls: BTreeMap::new(),
            adopted: 0,
            sessions: BTreeMap::new(),
            attempts: BTreeMap::new(),
            by_server: BTreeMap::new(),
            by_owner: BTreeMap::new(),
            links: BTreeMap::new(),
            in_set_up: BTreeMap::new(),
            answers: AnswerCache::new(limits.cached_answers, limits.cached_answer_ttl),
            unsent_answers: AnswerCache::new(limits.cached_answers, limits.cached_answer_ttl),
            detached: DetachedAttempts::new(limits.detached_attempts),
            next_batch_at: None,
            timers: Timers::default(),
            next_call: 1,
            next_attempt: 1,
            events: VecDeque::new(),
            actions: Vec::new(),
            counts: Counts::default(),
            stopping: false,
            limits,
        })
    }

    /// Sets the start of the process, for clocks that did not start with it. By default the first input
    /// counts as the start.
    pub fn set_start_time(&mut self, now: Micros) {
        self.started = Some(now);
        if self.pool.has_assumed_starts() {
            self.expect_server_list(now);
        }
    }

    /// Sets how long inputs may have waited to be read because the process stalled; 0 once the backlog is
    /// read.
    pub fn set_input_delay(&mut self, span: Micros) {
        self.input_delay = span;
    }

    /// How long current inputs may have waited to be read.
    pub fn input_delay(&self) -> Micros {
        self.input_delay
    }

    /// Announces that a server list with start times will be pushed to this process. Until it arrives, every
    /// server is treated as if it had just started.
    pub fn expect_server_list(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let changed = self.pool.assume_recent_starts(self.now);
        self.report_list(changed);
        self.timers.set(self.now.saturating_add(ASSUMED_START_TTL), Timer::FirstList);
    }

    /// Handles one input, then all timers that are due, and appends the resulting outputs. `now` never
    /// decreases.
    pub fn handle(&mut self, now: Micros, input: Input<P>, out: &mut Vec<Output<P>>) {
        self.apply(now, input, out);
        self.fire_timers(out);
    }

    /// Handles one input without firing timers, which wait for the next [`Input::Tick`] through
    /// [`Self::handle`]. A driver with several queued inputs applies all of them first, so that after a stall
    /// of this process a drain, or an answer that arrived in time, takes effect before any timer.
    pub fn apply(&mut self, now: Micros, input: Input<P>, out: &mut Vec<Output<P>>) {
        self.now = self.now.max(now);
        self.started.get_or_insert(self.now);
        match input {
            Input::Offered(offer) => self.offered(offer, out),
            Input::Released { session, request } => self.released(session, request, out),
            Input::Refreshed { session, request } => {
                let id = self.sessions.get(&session);
                let active = id.and_then(|id| self.calls.get(id));
                let established = active.is_some_and(|active| matches!(active.phase, Phase::Established(_)));
                let result = if established { ReleaseResult::Done } else { ReleaseResult::Unknown };
                out.push(Output::AnswerRelease { request, session, result });
            }
            Input::ClientUp { link, owner, restarted } => self.client_up(link, owner, restarted, out),
            Input::ClientDown(link) => self.client_down(link),
            Input::Established { attempt, report } => self.established(attempt, report, out),
            Input::Ended { attempt, end } => self.ended(attempt, end, out),
            Input::Cut { attempt, report } => self.ended_by_server(attempt, Outcome::Reset, report, out),
            Input::Cleared { attempt, report } => self.ended_by_server(attempt, Outcome::Ok, report, out),
            Input::Adopted { session, class, server } => self.adopt(session, class, server, out),
            Input::ReleaseDone { attempt, report } => self.release_done(attempt, report),
            Input::ServerLink { server, state } => self.server_link(server, state, out),
            Input::DrainAnnounced(server) => {
                let entry = self.pool.announce_drain(self.now, server);
                self.report_list(entry.into_iter().collect());
            }
            Input::LoadReport { server, report } => self.report_load(server, report),
            Input::List(kind, entries) => self.list(kind, &entries, out),
            Input::Peer { from, payload } => self.peer(from, payload, out),
            Input::Tick => {}
            Input::Stop => self.stop(out),
            Input::CutAll => self.cut_all(out),
        }
        self.run_policy(out);
    }

    /// Latest time at which the engine must be called with [`Input::Tick`].
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Counters since the start of the process.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// How often an action was blocked because it would have violated a rule.
    pub fn held_back(&self, breach: Breach) -> u64 {
        self.guard.held_back(breach)
    }

    /// Whether the engine tracks an attempt: in flight, established, or awaiting the answer to its release.
    pub fn has_attempt(&self, attempt: AttemptId) -> bool {
        self.attempts.contains_key(&attempt)
    }

    /// Status of a call. Drivers whose callers never repeat a request check it before an offer, so that a
    /// reused name does not get the cached answer of an earlier call.
    pub fn call_status(&mut self, session: &Session) -> Option<CallStatus> {
        let active = self.sessions.get(session).and_then(|id| self.calls.get(id));
        match active.map(|active| active.phase) {
            Some(Phase::Established(_)) => Some(CallStatus::Established),
            Some(_) => Some(CallStatus::InSetUp),
            None => self.cached_answer(session).map(|_| CallStatus::Ended),
        }
    }

    /// The policy's estimate of each server, for logs.
    pub fn server_views(&self) -> Vec<ServerView> {
        self.policy.server_views()
    }

    /// Whether a server is still warming up, as far as this front knows.
    pub fn is_cold(&self, server: ServerId) -> bool {
        self.pool.is_cold(self.now, server)
    }

    /// Calls in set-up or established.
    pub fn active_calls(&self) -> usize {
        self.calls.len()
    }

    /// Calls without their final answer.
    pub fn calls_in_set_up(&self) -> usize {
        self.in_set_up.values().sum()
    }

    /// Detached attempts: those waiting for a link to be released, and those whose release is unanswered.
    pub fn detached_attempts(&self) -> usize {
        let releasing = |a: &&Attempt| matches!(a.stage, Stage::Releasing { report_end: false });
        self.detached.len() + self.attempts.values().filter(releasing).count()
    }

    /// Cached final answers.
    pub fn cached_answers(&self) -> usize {
        self.answers.len() + self.unsent_answers.len()
    }

    /// Timers in the queue.
    pub fn pending_timers(&self) -> usize {
        self.timers.len()
    }

    // --- policy ---

    /// Passes pending events to the policy and executes its actions until no events are left. This terminates
    /// because each round either ends a call or uses up one of its bounded set-ups.
    fn run_policy(&mut self, out: &mut Vec<Output<P>>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            actions.clear();
            self.policy.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action, out);
            }
            self.actions = actions;
        }
    }

    fn execute(&mut self, action: Action, out: &mut Vec<Output<P>>) {
        match action {
            Action::Send { call, server, timeout, begin_within } => {
                self.send(call, server, (timeout, begin_within), out);
            }
            Action::Refuse { call, retry_after } => {
                self.answer_decided(call, Final::Refused { retry_after, why: Refusal::ByPolicy }, out);
            }
            Action::Fail(call) => self.answer_decided(call, Final::Failed, out),
            Action::Cancel { call, attempt } => self.cancel(call, attempt, out),
            // Probes are not supported here: the settings forbid them, and load reports come with answers.
            Action::Probe(server) => self.events.push_back(Event::Probed {
                server,
                outcome: Outcome::Moot,
                lag: 0,
                report: Report::default(),
            }),
            Action::SendPeerMessage { to, payload } => out.push(Output::SendToPeer { to, payload }),
            Action::Subscribe => out.push(Output::Subscribe),
            Action::Timer { at, token, call: None } => self.timers.set(at, Timer::Policy(token)),
            Action::Timer { at, token, call: Some(call) } => {
                if self.calls.contains_key(&call) {
                    self.timers.set_for_call(at, Timer::Policy(token), call);
                }
            }
            Action::Log(text) => out.push(Output::Log(text)),
        }
    }

    fn send(
        &mut self,
        id: CallId,
        server: ServerId,
        (timeout, begin_within): (Micros, Micros),
        out: &mut Vec<Output<P>>,
    ) {
        let now = self.now;
        let Some(active) = self.calls.get_mut(&id) else {
            return self.guard.count(Breach::Answered);
        };
        let index = active.requested;
        active.requested = active.requested.saturating_add(1);
        let (Some(payload), false) = (active.payload.clone(), matches!(active.phase, Phase::Established(_)))
        else {
            self.guard.count(Breach::Answered);
            return self.report_unsent(id, index, server, Outcome::Moot);
        };
        let progress = CallProgress {
            in_flight: matches!(active.phase, Phase::InFlight(_)),
            sent: active.sent,
            unconfirmed_end_at: active.unconfirmed_end_at,
        };
        let unavailable_since = self.pool.unavailable_since(server);
        let shared = self.budgets.is_some() && self.pool.is_known_cold(now, server);
        let cold = self.pool.is_cold(now, server) && !shared;
        if let Err(breach) = self.guard.check(now, progress, server, unavailable_since, cold) {
            let name = breach.name();
            out.push(Output::Log(format!(
                "set-up {index} of call {id} at server {server} blocked by rule {name}"
            )));
            active.blocked += 1;
            if active.blocked >= MAX_BLOCKED_SET_UPS {
                self.report_abandoned(id);
                return self.answer(id, Final::Failed, out);
            }
            return self.report_unsent(id, index, server, Outcome::Moot);
        }
        match self.pool.link_state(server) {
            LinkState::Up(_) => {}
            LinkState::Suspect => return self.report_unsent(id, index, server, Outcome::Moot),
            LinkState::Down => return self.report_unsent(id, index, server, Outcome::ConnectFailed),
        }
        // This check is last because it spends a unit of the shared budget. Without a unit the call goes to
        // another server.
        if shared && self.budgets.as_mut().is_some_and(|budgets| !budgets.spend(now, server)) {
            return self.report_unsent(id, index, server, Outcome::Moot);
        }
        active.sent += 1;
        let (class, session) = (active.class, active.session.clone());
        let stage = Stage::InFlight;
        let attempt =
            self.add_attempt(Attempt { call: id, index, server, class, sent_at: now, stage, adopted: false });
        if let Some(active) = self.calls.get_mut(&id) {
            active.phase = Phase::InFlight(attempt);
        }
        self.timers.set_for_call(now.saturating_add(timeout), Timer::Attempt(attempt), id);
        self.counts.set_ups += 1;
        let call = id;
        out.push(Output::SetUp {
            attempt,
            server,
            call,
            index,
            class,
            timeout,
            begin_within,
            session,
            payload,
        });
    }

    /// Reports the immediate end of a set-up that was not sent.
    fn report_unsent(&mut self, call: CallId, attempt: u16, server: ServerId, outcome: Outcome) {
        self.events.push_back(Event::Ended {
            call,
            attempt,
            server,
            outcome,
            lag: 0,
            complete: false,
            note: Note::None,
            report: Report::default(),
        });
    }

    fn cancel(&mut self, id: CallId, index: u16, out: &mut Vec<Output<P>>) {
        let Some(Phase::InFlight(attempt)) = self.calls.get(&id).map(|active| active.phase) else { return };
        if self.attempts.get(&attempt).is_some_and(|a| a.index == index) {
            self.abandon_attempt(attempt, AttemptEnd::plain(Outcome::Cancelled), true, out);
        }
    }

    // --- callers ---

    fn offered(&mut self, offer: Offer<P>, out: &mut Vec<Output<P>>) {
        let Offer { session, request, .. } = &offer;
        if let Some(id) = self.sessions.get(session) {
            self.counts.repeats += 1;
            let Some(active) = self.calls.get_mut(id) else { return };
            active.client_absent_since = None;
            if matches!(active.phase, Phase::Established(_)) {
                let (request, session) = (*request, session.clone());
                return out.push(Output::Answer { request, session, answer: Final::Established });
            }
            if active.waiting.contains(request) {
                return;
            }
            if active.waiting.len() >= MAX_WAITING_REQUESTS {
                let oldest = active.waiting.remove(0);
                remove_waiting(&mut self.in_set_up, oldest.link);
                out.push(Output::Dropped(oldest));
            }
            active.waiting.push(*request);
            *self.in_set_up.entry(request.link).or_default() += 1;
            return;
        }
        if let Some(cached) = self.cached_answer(session) {
            self.counts.repeats += 1;
            let (request, session) = (*request, session.clone());
            return out.push(Output::Answer { request, session, answer: cached.answer });
        }
        self.counts.taken += 1;
        if let Some(budgets) = self.budgets.as_mut() {
            budgets.offered(self.now);
        }
        let on_link = self.in_set_up.get(&request.link).copied().unwrap_or(0);
        let full =
            self.calls.len() - self.adopted >= self.limits.calls || on_link >= self.limits.in_set_up_per_link;
        if full || self.stopping {
            let why = if self.stopping { Refusal::Stopping } else { Refusal::LimitReached };
            self.counts.bound += u64::from(full);
            return self.reject(*request, session.clone(), 0, why, out);
        }
        let hold_off = self.previous_process_gone_at().saturating_sub(self.now);
        // Guards against an offer sent long ago to a killed process and queued here while this process
        // stalled: the caller's remaining wait is unknown, and its cancellation may be queued behind the
        // offer.
        let longest_wait = offer.caller_timeout.saturating_add(self.input_delay);
        let just_started = self.now < self.started.unwrap_or(self.now).saturating_add(longest_wait);
        let may_be_stale =
            self.input_delay > 0 && just_started && offer.retransmission != Retransmission::First;
        if offer.retransmission == Retransmission::Unknown && hold_off > 0 || may_be_stale {
            // The offer cannot be deferred like one that is marked as repeated: its caller might cancel
            // meanwhile without notice.
            let why = Refusal::JustStarted;
            return self.reject(*request, session.clone(), hold_off, why, out);
        }
        self.accept(offer);
    }

    /// Refuses a call that is not accepted, and caches the answer for repeated requests.
    fn reject(
        &mut self,
        request: Request,
        session: Session,
        retry_after: Micros,
        why: Refusal,
        out: &mut Vec<Output<P>>,
    ) {
        let answer = Final::Refused { retry_after, why };
        self.counts.refused += 1;
        self.counts.forgotten += self.unsent_answers.put(self.now, session.clone(), answer);
        out.push(Output::Answer { request, session, answer });
    }

    /// Time from which no previous process of this front can have a call in flight: the retry hold-off after
    /// the start, because an attempt whose end was not observed is treated like one that was reset.
    fn previous_process_gone_at(&self) -> Micros {
        self.started.unwrap_or(self.now).saturating_add(self.guard.retry_hold_off())
    }

    /// Accepts a new call that is within all limits.
    fn accept(&mut self, offer: Offer<P>) {
        let id = self.new_call_id();
        let answer_by =
            self.now.saturating_add(offer.caller_timeout).saturating_sub(ANSWER_MARGIN).max(self.now);
        self.timers.set_for_call(answer_by, Timer::Deadline(id), id);
        *self.in_set_up.entry(offer.request.link).or_default() += 1;
        let active = ActiveCall {
            waiting: vec![offer.request],
            payload: Some(offer.payload),
            ..ActiveCall::new(offer.session, offer.class, Phase::Deciding, answer_by)
        };
        self.insert_call(id, active);
        let call = Call {
            id,
            class: offer.class,
            tenant: offer.tenant,
            number: offer.number,
            caller_timeout: offer.caller_timeout,
            first_choice: offer.first_choice,
            redial: offer.redial,
            in_transit: false,
            was_dropped: offer.was_dropped,
        };
        // Guards against a second set-up of a call that a previous process had in flight when it was killed
        // and restarted at once.
        let gone_at = self.previous_process_gone_at();
        if offer.retransmission == Retransmission::Repeated && self.now < gone_at {
            self.timers.set_for_call(gone_at, Timer::Deferred(id), id);
            if let Some(active) = self.calls.get_mut(&id) {
                active.deferred = Some((self.now, call));
            }
            return;
        }
        self.events.push_back(Event::Call(call));
    }

    /// Passes a deferred call to the policy once no previous process can have it in flight.
    fn start_deferred(&mut self, id: CallId, out: &mut Vec<Output<P>>) {
        if self.input_delay > 0 && self.calls.get(&id).is_some_and(|active| active.deferred.is_some()) {
            // As for a stale offer: the caller's remaining wait is unknown, and its cancellation may still be
            // unread.
            return self.answer(id, Final::Refused { retry_after: 0, why: Refusal::JustStarted }, out);
        }
        let deferred = self.calls.get_mut(&id).and_then(|active| active.deferred.take());
        let Some((since, call)) = deferred else { return };
        let caller_timeout = call.caller_timeout.saturating_sub(self.now.saturating_sub(since));
        self.events.push_back(Event::Call(Call { caller_timeout, ..call }));
    }

    /// Reports to the policy that a call is abandoned, unless the call is still deferred.
    fn report_abandoned(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|active| active.deferred.is_none()) {
            self.events.push_back(Event::Abandoned(id));
        }
    }

    /// Adds a call to all indexes.
    fn insert_call(&mut self, id: CallId, active: ActiveCall<P>) {
        self.by_owner.entry(active.session.owner.clone()).or_default().insert(id);
        self.sessions.insert(active.session.clone(), id);
        self.calls.insert(id, active);
    }

    fn new_call_id(&mut self) -> CallId {
        loop {
            let id = self.next_call as CallId;
            self.next_call += 1;
            if id != 0 && !self.calls.contains_key(&id) {
                return id;
            }
        }
    }

    fn released(&mut self, session: Session, request: Request, out: &mut Vec<Output<P>>) {
        let Some(id) = self.sessions.get(&session).copied() else {
            let known = self.cached_answer(&session).is_some();
            let result = if known { ReleaseResult::Done } else { ReleaseResult::Unknown };
            return out.push(Output::AnswerRelease { request, session, result });
        };
        match self.calls.get(&id).map(|active| active.phase) {
            Some(Phase::Established(attempt)) => self.release_established(id, attempt, out),
            Some(Phase::InFlight(_) | Phase::Deciding) => {
                // The caller cancelled before the answer, so its pending requests are answered with a
                // failure.
                self.report_abandoned(id);
                self.answer(id, Final::Failed, out);
            }
            None => {}
        }
        out.push(Output::AnswerRelease { request, session, result: ReleaseResult::Done });
    }

    fn release_established(&mut self, id: CallId, attempt: AttemptId, out: &mut Vec<Output<P>>) {
        self.forget_call(id, Final::Established);
        self.release(attempt, true, out);
    }

    fn client_up(&mut self, link: LinkId, owner: Arc<str>, restarted: bool, out: &mut Vec<Output<P>>) {
        let ids: Vec<_> = self.by_owner.get(&owner).into_iter().flatten().copied().collect();
        for id in ids {
            if !restarted {
                if let Some(active) = self.calls.get_mut(&id) {
                    active.client_absent_since = None;
                }
                continue;
            }
            match self.calls.get(&id).map(|active| active.phase) {
                Some(Phase::Established(attempt)) => self.release_established(id, attempt, out),
                Some(_) => {
                    self.report_abandoned(id);
                    self.answer(id, Final::Failed, out);
                }
                None => {}
            }
        }
        self.links.insert(link, owner);
    }

    fn client_down(&mut self, link: LinkId) {
        let Some(owner) = self.links.remove(&link) else { return };
        self.in_set_up.remove(&link);
        let last_link = self.links.values().all(|other| *other != owner);
        let ids = self.by_owner.get(&owner).into_iter().flatten().copied();
        for id in ids {
            let Some(active) = self.calls.get_mut(&id) else { continue };
            // Calls in set-up continue: callers may repeat their requests on another link and get the answer
            // there.
            active.waiting.retain(|request| request.link != link);
            if last_link {
                active.client_absent_since = Some(self.now);
                let due = self.now.saturating_add(self.limits.client_absence);
                self.timers.set_for_call(due, Timer::ClientAbsent(id), id);
            }
        }
    }

    // --- answers ---

    fn answer_decided(&mut self, id: CallId, answer: Final, out: &mut Vec<Output<P>>) {
        match self.calls.get(&id) {
            Some(active) if !matches!(active.phase, Phase::Established(_)) => self.answer(id, answer, out),
            _ => self.guard.count(Breach::Answered),
        }
    }

    /// Sends the final answer to all waiting requests, releases an attempt in flight and removes the call.
    fn answer(&mut self, id: CallId, answer: Final, out: &mut Vec<Output<P>>) {
        if let Some(Phase::InFlight(attempt)) = self.calls.get(&id).map(|active| active.phase) {
            self.abandon_attempt(attempt, AttemptEnd::plain(Outcome::Cancelled), true, out);
        }
        self.send_answer(id, answer, out);
        self.forget_call(id, answer);
    }

    fn send_answer(&mut self, id: CallId, answer: Final, out: &mut Vec<Output<P>>) {
        let Some(active) = self.calls.get_mut(&id) else { return };
        match answer {
            Final::Established => self.counts.stands += 1,
            Final::Refused { .. } => self.counts.refused += 1,
            Final::Failed => self.counts.failed += 1,
        }
        active.payload = None;
        self.timers.cancel(id);
        for request in std::mem::take(&mut active.waiting) {
            remove_waiting(&mut self.in_set_up, request.link);
            out.push(Output::Answer { request, session: active.session.clone(), answer });
        }
    }

    /// Removes a call and caches its answer.
    fn forget_call(&mut self, id: CallId, answer: Final) {
        let Some(active) = self.calls.remove(&id) else { return };
        self.adopted -= usize::from(active.is_adopted());
        self.timers.cancel(id);
        self.sessions.remove(&active.session);
        if let Some(ids) = self.by_owner.get_mut(&active.session.owner) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_owner.remove(&active.session.owner);
            }
        }
        // Kept apart. Guards against a second run of a call whose client left and comes again, while a flood of calls
        // that are never sent would evict its answer.
        let unsent = active.sent == 0 && !active.is_adopted();
        let cache = if unsent { &mut self.unsent_answers } else { &mut self.answers };
        self.counts.forgotten += cache.put(self.now, active.session, answer);
    }

    fn cached_answer(&mut self, session: &Session) -> Option<CachedAnswer> {
        let now = self.now;
        self.answers.get(now, session).or_else(|| self.unsent_answers.get(now, session))
    }

    // --- attempts ---

    fn established(&mut self, id: AttemptId, report: Report, out: &mut Vec<Output<P>>) {
        let Some(attempt) = self.attempts.get_mut(&id).filter(|a| a.stage == Stage::InFlight) else {
            self.counts.late += 1;
            return;
        };
        attempt.stage = Stage::Established;
        let Attempt { call, index, server, sent_at, .. } = *attempt;
        let lag = self.now.saturating_sub(sent_at);
        self.events.push_back(Event::Established { call, attempt: index, server, lag });
        self.report_load(server, report);
        if let Some(active) = self.calls.get_mut(&call) {
            active.phase = Phase::Established(id);
        }
        self.send_answer(call, Final::Established, out);
    }

    fn ended(&mut self, id: AttemptId, end: AttemptEnd, out: &mut Vec<Output<P>>) {
        match self.attempts.get(&id).map(|a| a.stage) {
            Some(Stage::InFlight) => {
                let may_be_held =
                    matches!(end.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
                if may_be_held {
                    self.abandon_attempt(id, end, false, out);
                } else {
                    self.end_attempt(id, end, false);
                }
            }
            Some(Stage::Established) => self.ended_by_server(id, Outcome::Reset, end.report, out),
            Some(Stage::Releasing { .. }) | None => self.counts.late += 1,
        }
    }

    /// Ends an attempt that its server no longer holds, and reports the end to the policy.
    fn end_attempt(&mut self, id: AttemptId, end: AttemptEnd, complete: bool) {
        let Some(attempt) = self.remove_attempt(id) else { return };
        let now = self.now;
        if let Some(active) =
            self.calls.get_mut(&attempt.call).filter(|active| active.phase == Phase::InFlight(id))
        {
            active.phase = Phase::Deciding;
            if matches!(end.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
                active.unconfirmed_end_at = Some(now);
            }
        }
        self.report_end(&attempt, end, complete);
    }

    /// Ends an attempt that its server may still hold: it is released, and the end is reported to the policy.
    fn abandon_attempt(&mut self, id: AttemptId, end: AttemptEnd, complete: bool, out: &mut Vec<Output<P>>) {
        let Some(attempt) = self.attempts.get(&id).copied() else { return };
        self.release(id, false, out);
        let now = self.now;
        if let Some(active) =
            self.calls.get_mut(&attempt.call).filter(|active| active.phase == Phase::InFlight(id))
        {
            active.phase = Phase::Deciding;
            active.unconfirmed_end_at = Some(now);
        }
        self.report_end(&attempt, end, complete);
    }

    fn report_end(&mut self, attempt: &Attempt, end: AttemptEnd, complete: bool) {
        if attempt.adopted {
            return self.report_load(attempt.server, end.report);
        }
        self.events.push_back(Event::Ended {
            call: attempt.call,
            attempt: attempt.index,
            server: attempt.server,
            outcome: end.outcome,
            lag: self.now.saturating_sub(attempt.sent_at),
            complete,
            note: end.note,
            report: end.report,
        });
    }

    /// Releases an attempt now, or as soon as its server has a link. With `report_end` the policy gets
    /// `Ended(Ok)` when the release is done, or at once if the server has no link.
    ///
    /// A suspect link still has its transport, so the release is sent: otherwise a server that only appeared
    /// dead would hold the attempt, or establish it, beside the next one (rule 2, as visible on the sockets).
    fn release(&mut self, id: AttemptId, report_end: bool, out: &mut Vec<Output<P>>) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.stage = Stage::Releasing { report_end };
        let Attempt { server, class, .. } = *attempt;
        if self.pool.link_state(server) != LinkState::Down {
            self.counts.releases += 1;
            out.push(Output::Release { attempt: id, server, class });
            if self.limits.release_timeout == 0 {
                return self.release_done(id, Report::default());
            }
            let due = self.now.saturating_add(self.limits.release_timeout);
            self.timers.set(due, Timer::Release(id));
            return;
        }
        if report_end {
            self.report_completed(id, Report::default());
        }
        self.remove_attempt(id);
        self.queue_detached(server, DetachedAttempt { attempt: id, class });
    }

    fn queue_detached(&mut self, server: ServerId, detached: DetachedAttempt) {
        if !self.detached.put(server, detached) {
            self.counts.given_up += 1;
        }
    }

    fn release_done(&mut self, id: AttemptId, report: Report) {
        match self.attempts.get(&id).map(|a| (a.stage, a.server)) {
            Some((Stage::Releasing { report_end: true }, _)) => self.report_completed(id, report),
            Some((Stage::Releasing { report_end: false }, server)) => self.report_load(server, report),
            _ => {
                self.counts.late += 1;
                return;
            }
        }
        self.remove_attempt(id);
    }

    /// A release timed out: the server is slow or gone. The release is not repeated on the same link unless
    /// the link is suspect: then it may not have been read, and is sent again once the link is up.
    fn release_unanswered(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id).copied() else { return };
        if matches!(attempt.stage, Stage::Releasing { .. }) {
            self.release_done(id, Report::default());
            if self.pool.link_state(attempt.server) == LinkState::Suspect {
                self.queue_detached(attempt.server, DetachedAttempt { attempt: id, class: attempt.class });
            }
        }
    }

    /// Reports the regular end of an established call to the policy.
    fn report_completed(&mut self, id: AttemptId, report: Report) {
        if let Some(attempt) = self.attempts.get(&id).copied() {
            let end = AttemptEnd { outcome: Outcome::Ok, note: Note::None, report };
            self.report_end(&attempt, end, true);
        }
    }

    /// Handles the end of an attempt on the server's side.
    fn ended_by_server(&mut self, id: AttemptId, outcome: Outcome, report: Report, out: &mut Vec<Output<P>>) {
        let end = AttemptEnd { report, ..AttemptEnd::plain(outcome) };
        match self.attempts.get(&id).map(|a| (a.stage, a.call)) {
            Some((Stage::Established, call)) => {
                self.counts.cut += u64::from(outcome != Outcome::Ok);
                self.notify_ended(call, outcome, out);
                self.forget_call(call, Final::Established);
                self.end_attempt(id, end, true);
            }
            // The call was established and cleared, and only the answer to its set-up was lost. Guards
            // against setting up again a call that its server has cleared, which would make it end twice.
            Some((Stage::InFlight, call)) if outcome == Outcome::Ok => {
                self.end_attempt(id, end, true);
                self.answer(call, Final::Failed, out);
            }
            Some((Stage::InFlight, _)) => self.end_attempt(id, end, false),
            Some((Stage::Releasing { .. }, _)) => self.release_done(id, report),
            None => self.counts.late += 1,
        }
    }

    fn notify_ended(&mut self, id: CallId, outcome: Outcome, out: &mut Vec<Output<P>>) {
        let Some(active) = self.calls.get(&id) else { return };
        let owner = &active.session.owner;
        let session = active.session.clone();
        match self.links.iter().rev().find(|(_, other)| *other == owner) {
            Some((link, _)) => out.push(Output::Cut { link: *link, session, class: active.class }),
            None => out.push(Output::Cleared { session, outcome }),
        }
    }

    /// Takes over a call that another process established. The policy is not notified: it did not route the
    /// call.
    fn adopt(&mut self, session: Session, class: usize, server: ServerId, out: &mut Vec<Output<P>>) {
        if self.sessions.contains_key(&session) {
            return;
        }
        if self.adopted >= self.limits.adopted_calls {
            self.counts.bound += 1;
            return out.push(Output::Cleared { session, outcome: Outcome::Reset });
        }
        let (call, now) = (self.new_call_id(), self.now);
        let stage = Stage::Established;
        let attempt =
            self.add_attempt(Attempt { call, index: 0, server, class, sent_at: now, stage, adopted: true });
        self.insert_call(call, ActiveCall::new(session.clone(), class, Phase::Established(attempt), now));
        self.adopted += 1;
        out.push(Output::Adopted { attempt, server, session });
    }

    fn add_attempt(&mut self, attempt: Attempt) -> AttemptId {
        let id = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        self.by_server.entry(attempt.server).or_default().insert(id);
        self.attempts.insert(id, attempt);
        id
    }

    fn remove_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        if let Some(ids) = self.by_server.get_mut(&attempt.server) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_server.remove(&attempt.server);
            }
        }
        Some(attempt)
    }

    // --- servers ---

    fn report_load(&mut self, server: ServerId, report: Report) {
        if report != Report::default() {
            self.events.push_back(Event::Probed { server, outcome: Outcome::Ok, lag: 0, report });
        }
    }

    fn report_list(&mut self, entries: Vec<Entry>) {
        if !entries.is_empty() {
            self.events.push_back(Event::List(ListKind::Delta, entries));
        }
    }

    fn list(&mut self, kind: ListKind, entries: &[Entry], out: &mut Vec<Output<P>>) {
        if kind == ListKind::Failed {
            return self.events.push_back(Event::List(kind, Vec::new()));
        }
        let (changed, left_out) = self.pool.apply_list(self.now, kind, entries);
        if left_out > 0 {
            out.push(Output::Log(format!("server pool full: {left_out} servers of the list ignored")));
        }
        let gone = changed.iter().filter(|entry| entry.state == ServerState::Gone);
        let gone: Vec<_> = gone.map(|entry| entry.server).collect();
        self.report_list(changed);
        for server in gone {
            self.guard.forget(server);
            // While its link is up, the server still finishes its calls, even if the list shows it as gone.
            if self.pool.link_state(server) == LinkState::Down {
                self.lose_server(server, out);
            }
        }
    }

    fn server_link(&mut self, server: ServerId, state: LinkState, out: &mut Vec<Output<P>>) {
        let changed = self.pool.set_link_state(self.now, server, state);
        // Reported before in-flight attempts end, so that the policy does not send them back to this server.
        self.report_list(changed.into_iter().collect());
        match state {
            LinkState::Up(process) => {
                if process == Process::New {
                    self.guard.forget(server);
                    self.lose_server(server, out);
                }
                self.release_detached(out);
            }
            LinkState::Suspect => self.fail_over(server, Outcome::Timeout, out),
            LinkState::Down => {
                self.fail_over(server, Outcome::Reset, out);
                if self.pool.is_gone(server) {
                    self.lose_server(server, out);
                }
            }
        }
    }

    /// Ends the in-flight attempts at a server; its established calls continue.
    fn fail_over(&mut self, server: ServerId, outcome: Outcome, out: &mut Vec<Output<P>>) {
        for id in self.attempts_at(server) {
            match self.attempts.get(&id).map(|a| a.stage) {
                Some(Stage::InFlight) => self.abandon_attempt(id, AttemptEnd::plain(outcome), false, out),
                // The release may have been lost with the connection and is sent again on the next one.
                Some(Stage::Releasing { report_end }) if outcome == Outcome::Reset => {
                    self.release(id, report_end, out)
                }
                _ => {}
            }
        }
    }

    /// Ends all attempts of a server whose process is gone.
    fn lose_server(&mut self, server: ServerId, out: &mut Vec<Output<P>>) {
        self.detached.forget(server);
        for id in self.attempts_at(server) {
            match self.attempts.get(&id).map(|a| a.stage) {
                Some(Stage::Releasing { .. }) => self.release_done(id, Report::default()),
                Some(_) => self.ended_by_server(id, Outcome::Reset, Report::default(), out),
                None => {}
            }
        }
    }

    fn attempts_at(&self, server: ServerId) -> Vec<AttemptId> {
        self.by_server.get(&server).into_iter().flatten().copied().collect()
    }

    /// Releases one batch of detached attempts at each server whose link is up. Releases are paced because
    /// each is work for the server.
    fn release_detached(&mut self, out: &mut Vec<Output<P>>) {
        if self.next_batch_at.is_some_and(|at| self.now < at) {
            return;
        }
        let mut more = false;
        for server in self.detached.servers() {
            if !matches!(self.pool.link_state(server), LinkState::Up(_)) {
                continue;
            }
            let batch = self.detached.take(server, RELEASE_BATCH);
            more |= batch.len() == RELEASE_BATCH;
            for DetachedAttempt { attempt, class } in batch {
                self.counts.releases += 1;
                out.push(Output::Release { attempt, server, class });
            }
        }
        self.next_batch_at = more.then(|| self.now.saturating_add(RELEASE_BATCH_INTERVAL));
        if let Some(at) = self.next_batch_at {
            self.timers.set(at, Timer::Detached);
        }
    }

    // --- time ---

    fn fire_timers(&mut self, out: &mut Vec<Output<P>>) {
        while let Some(timer) = self.timers.due(self.now) {
            match timer {
                Timer::Policy(token) => self.events.push_back(Event::Timer(token)),
                Timer::Attempt(id) => {
                    if self.attempts.get(&id).is_some_and(|a| a.stage == Stage::InFlight) {
                        self.abandon_attempt(id, AttemptEnd::plain(Outcome::Timeout), false, out);
                    }
                }
                Timer::Deadline(id) => self.deadline(id, out),
                Timer::FirstList => {
                    let changed = self.pool.expire_assumed_starts(self.now);
                    self.report_list(changed);
                }
                Timer::Budgets => self.update_budgets(out),
                Timer::Membership => self.update_membership(out),
                Timer::Deferred(id) => self.start_deferred(id, out),
                Timer::Release(id) => self.release_unanswered(id),
                Timer::ClientAbsent(id) => self.client_absent(id, out),
                Timer::Detached => self.release_detached(out),
            }
            self.run_policy(out);
        }
    }

    /// Fails a call that the policy has not answered in time.
    fn deadline(&mut self, id: CallId, out: &mut Vec<Output<P>>) {
        let due = self.calls.get(&id).is_some_and(|active| {
            !matches!(active.phase, Phase::Established(_)) && self.now >= active.answer_by
        });
        if due {
            self.guard.count(Breach::Unanswered);
            self.report_abandoned(id);
            self.answer(id, Final::Failed, out);
        }
    }

    fn client_absent(&mut self, id: CallId, out: &mut Vec<Output<P>>) {
        let Some(active) = self.calls.get(&id) else { return };
        let expired = active
            .client_absent_since
            .is_some_and(|at| self.now >= at.saturating_add(self.limits.client_absence));
        if let (Phase::Established(attempt), true) = (active.phase, expired) {
            self.counts.away += 1;
            self.release_established(id, attempt, out);
        }
    }

    fn stop(&mut self, out: &mut Vec<Output<P>>) {
        self.stopping = true;
        let undecided = |active: &ActiveCall<P>| !matches!(active.phase, Phase::Established(_));
        let ids: Vec<_> =
            self.calls.iter().filter(|(_, active)| undecided(active)).map(|(id, _)| *id).collect();
        for id in ids {
            // A refusal invites a retry, so a call that must not run twice and may already run is failed
            // instead.
            let never_repeat =
                |active: &ActiveCall<P>| self.never_repeat.get(active.class).is_some_and(|never| *never);
            let sent = self.calls.get(&id).is_some_and(|active| active.sent > 0 && never_repeat(active));
            let refused = Final::Refused { retry_after: 0, why: Refusal::Stopping };
            self.report_abandoned(id);
            self.answer(id, if sent { Final::Failed } else { refused }, out);
        }
    }
}

impl<P: Clone> Engine<P> {
    fn cut_all(&mut self, out: &mut Vec<Output<P>>) {
        let established = |active: &ActiveCall<P>| match active.phase {
            Phase::Established(attempt) => Some(attempt),
            _ => None,
        };
        let all: Vec<_> =
            self.calls.iter().filter_map(|(id, active)| Some((*id, established(active)?))).collect();
        for (id, attempt) in all {
            self.counts.cut += 1;
            self.notify_ended(id, Outcome::Reset, out);
            self.release_established(id, attempt, out);
        }
    }
}

/// Decrements the number of requests that wait on a link.
fn remove_waiting(in_set_up: &mut BTreeMap<LinkId, usize>, link: LinkId) {
    if let Some(count) = in_set_up.get_mut(&link) {
        *count -= 1;
        if *count == 0 {
            in_set_up.remove(&link);
        }
    }
}

impl AttemptEnd {
    /// An end without note or load report.
    pub fn plain(outcome: Outcome) -> Self {
        Self { outcome, note: Note::None, report: Report::default() }
    }
}
