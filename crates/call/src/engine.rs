//! The engine itself. The crate's page has the table from moments to events.

mod fleet;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use baydrift::interface::{
    Action, Call, CallId, Entry, Event, ListKind, Micros, Note, Outcome, Repeat, Report, ServerId,
    ServerState, ServerView, Settings, SettingsError,
};
use baydrift::Controller;
use baydrift_fleet::Lives;

use crate::guard::{Before, Breach, Guard};
use crate::held::{Attempt, Held, Phase, Stage, WAITING_MAX};
use crate::memory::Memory;
use crate::orphans::{Orphan, Orphans};
use crate::pool::{Pool, PRESUMED_FOR};
use crate::shared::Shared;
use crate::timers::{Timer, Timers};
use crate::types::{
    AttemptEnd, AttemptId, Final, Input, Known, LinkId, LinkState, Offer, Output, Process, Refusal,
    ReleaseResult, Request, Said, Session,
};

/// The engine answers a call itself so long before its caller gives up, should the module not have.
const LAST_ANSWER: Micros = 10_000;
/// Set-ups of one call that the guard holds back before the engine ends it.
const HELD_BACK_MAX: u8 = 16;
/// Orphans released at once to a server, and the pause until the next so many.
const ORPHAN_BATCH: (usize, Micros) = (16, 50_000);

/// What decides: the module, or something simple that it is compared with.
pub trait Policy: std::fmt::Debug + Send {
    /// Takes one event, at a time that never goes back; appends what is to be done.
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>);

    /// What it believes of each server, for logs.
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

/// Bounds and times that are no decisions.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Calls held at once, in set-up or standing; more are refused.
    pub calls: usize,
    /// Calls in set-up from one link at once; more are refused.
    pub in_set_up_per_link: usize,
    /// Answered calls remembered.
    pub memory: usize,
    /// For so long.
    pub memory_keep: Micros,
    /// Attempts that wait for a release.
    pub orphans: usize,
    /// Servers in the pool.
    pub servers: usize,
    /// A release unanswered for so long counts as done.
    pub release_timeout: Micros,
    /// A standing call whose owner has no link for so long is released.
    pub away: Micros,
    /// Rule 3: nothing new later than this after a drain was told.
    pub grace: Micros,
    /// Rule 4's last line: set-ups a second that a cold server may be sent, by all fronts together.
    pub cold_rate: Option<f64>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            calls: 200_000,
            in_set_up_per_link: 5_000,
            memory: 100_000,
            memory_keep: 60_000_000,
            orphans: 50_000,
            servers: 256,
            release_timeout: 2_000_000,
            away: 30_000_000,
            grace: 1_000_000,
            cold_rate: None,
        }
    }
}

/// Why an engine cannot be made.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The module's settings cannot be used.
    #[error("the decision module refuses its settings: {0}")]
    Settings(#[from] SettingsError),
    /// A bound that must be at least one is nought.
    #[error("limits: {0} must be at least 1")]
    Zero(&'static str),
}

/// What has happened so far; each only grows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls taken.
    pub taken: u64,
    /// Final answers: it stands.
    pub stands: u64,
    /// Final answers: refused.
    pub refused: u64,
    /// Final answers: failed.
    pub failed: u64,
    /// Set-ups sent.
    pub set_ups: u64,
    /// Releases sent.
    pub releases: u64,
    /// Requests that repeated one already taken.
    pub repeats: u64,
    /// Answers from servers that came too late to matter.
    pub late: u64,
    /// Calls refused because a bound was reached.
    pub bound: u64,
    /// Memories forgotten before their time.
    pub forgotten: u64,
    /// Orphans given up at the bound.
    pub given_up: u64,
    /// Standing calls cut by their server, or lost with it.
    pub cut: u64,
    /// Standing calls released since their owner stayed away.
    pub away: u64,
}

/// The call engine of one front. `P` is what the driver wants back with each set-up.
#[derive(Debug)]
pub struct Engine<P> {
    policy: Box<dyn Policy>,
    guard: Guard,
    pool: Pool,
    limits: Limits,
    now: Micros,
    /// When this process heard of anything first.
    started: Option<Micros>,
    /// What is heard now may have waited so long to be read: this process stood still.
    waited: Micros,
    /// What cold servers may be sent, where the fleet shares it.
    shared: Option<Shared>,
    /// Who of the fleet lives.
    lives: Option<Lives>,
    calls: BTreeMap<CallId, Held<P>>,
    sessions: BTreeMap<Session, CallId>,
    attempts: BTreeMap<AttemptId, Attempt>,
    by_server: BTreeMap<ServerId, BTreeSet<AttemptId>>,
    by_owner: BTreeMap<Arc<str>, BTreeSet<CallId>>,
    links: BTreeMap<LinkId, Arc<str>>,
    in_set_up: BTreeMap<LinkId, usize>,
    memory: Memory,
    orphans: Orphans,
    orphans_at: Option<Micros>,
    timers: Timers,
    /// By class: whether its calls must not be set up twice.
    once: Vec<bool>,
    next_call: u64,
    next_attempt: u64,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    counts: Counts,
    stopping: bool,
}

impl<P: Clone> Engine<P> {
    /// An engine that knows no servers yet.
    ///
    /// # Errors
    /// When the settings or limits hold a figure that nothing sensible can be done with.
    pub fn new(settings: Settings, limits: Limits, seed: u64) -> Result<Self, EngineError> {
        let policy = Box::new(Controller::new(settings.clone(), seed)?);
        Self::with_policy(settings, limits, policy)
    }

    /// An engine with another policy than the module, for comparisons.
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
            guard: Guard::new(&settings, limits.grace, limits.cold_rate),
            once: settings.classes.iter().map(|class| class.repeat == Repeat::Never).collect(),
            pool: Pool::new(settings.warm_up_time, limits.servers),
            policy,
            now: 0,
            started: None,
            waited: 0,
            shared: None,
            lives: None,
            calls: BTreeMap::new(),
            sessions: BTreeMap::new(),
            attempts: BTreeMap::new(),
            by_server: BTreeMap::new(),
            by_owner: BTreeMap::new(),
            links: BTreeMap::new(),
            in_set_up: BTreeMap::new(),
            memory: Memory::new(limits.memory, limits.memory_keep),
            orphans: Orphans::new(limits.orphans),
            orphans_at: None,
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

    /// The process starts now, by a clock that did not start with it. Otherwise its first input is its start.
    pub fn starts(&mut self, now: Micros) {
        self.started = Some(now);
        if self.pool.presumes() {
            self.awaits_list(now);
        }
    }

    /// What is heard from now on may have waited so long to be read, since this process stood still; 0 when it is over.
    pub fn set_waited(&mut self, span: Micros) {
        self.waited = span;
    }

    /// How long what is heard now may have waited to be read.
    pub fn waited(&self) -> Micros {
        self.waited
    }

    /// A list that tells of starts will be pushed to this process: until it comes, any server may have just started.
    pub fn awaits_list(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let changed = self.pool.presume(self.now);
        self.tell_list(changed);
        self.timers.set(self.now.saturating_add(PRESUMED_FOR), Timer::FirstList);
    }

    /// Takes one input, at a time that never goes back, then lets time pass; appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input<P>, out: &mut Vec<Output<P>>) {
        self.hear(now, input, out);
        self.fire(out);
    }

    /// Takes one input and leaves what is due to a later [`Input::Tick`]. Where several inputs wait, all
    /// are heard first: after an own stall a drain, or an answer that came in time, counts before a timer.
    pub fn hear(&mut self, now: Micros, input: Input<P>, out: &mut Vec<Output<P>>) {
        self.now = self.now.max(now);
        self.started.get_or_insert(self.now);
        match input {
            Input::Offered(offer) => self.offered(offer, out),
            Input::Released { session, request } => self.released(session, request, out),
            Input::Refreshed { session, request } => {
                let id = self.sessions.get(&session);
                let held = id.and_then(|id| self.calls.get(id));
                let stands = held.is_some_and(|held| matches!(held.phase, Phase::Standing(_)));
                let result = if stands { ReleaseResult::Done } else { ReleaseResult::Unknown };
                out.push(Output::AnswerRelease { request, session, result });
            }
            Input::ClientUp { link, owner, restarted } => self.client_up(link, owner, restarted, out),
            Input::ClientDown(link) => self.client_down(link),
            Input::Stands { attempt, report } => self.stands(attempt, report, out),
            Input::Ended { attempt, end } => self.ended(attempt, end, out),
            Input::Cut { attempt, report } => self.over(attempt, Outcome::Reset, report, out),
            Input::Over { attempt, report } => self.over(attempt, Outcome::Ok, report, out),
            Input::Adopted { session, class, server } => self.adopt(session, class, server, out),
            Input::ReleaseDone { attempt, report } => self.release_done(attempt, report),
            Input::ServerLink { server, state } => self.server_link(server, state, out),
            Input::Drains(server) => {
                let entry = self.pool.drains(self.now, server);
                self.tell_list(entry.into_iter().collect());
            }
            Input::News { server, report } => self.news(server, report),
            Input::List(kind, entries) => self.list(kind, &entries, out),
            Input::Peer { from, payload } => self.peer(from, payload, out),
            Input::Tick => {}
            Input::Stop => self.stop(out),
            Input::CutAll => self.cut_all(out),
        }
        self.run(out);
    }

    /// When to call with [`Input::Tick`] at the latest.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// What has happened so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// How often an action that would have broken a rule was held back.
    pub fn held_back(&self, breach: Breach) -> u64 {
        self.guard.held_back(breach)
    }

    /// Whether an attempt is held still: out, standing, or to be released.
    pub fn holds(&self, attempt: AttemptId) -> bool {
        self.attempts.contains_key(&attempt)
    }

    /// What is known of a call by its name. Drivers whose callers never repeat a name ask this first, so that the
    /// memory of answers gives no 'stands' to a name that is used again.
    pub fn knows(&mut self, session: &Session) -> Option<Known> {
        let held = self.sessions.get(session).and_then(|id| self.calls.get(id));
        match held.map(|held| held.phase) {
            Some(Phase::Standing(_)) => Some(Known::Standing),
            Some(_) => Some(Known::InSetUp),
            None => self.memory.get(self.now, session).map(|_| Known::Over),
        }
    }

    /// What the module believes of each server, for logs.
    pub fn server_views(&self) -> Vec<ServerView> {
        self.policy.server_views()
    }

    /// Whether a server's processor ramps, as far as this front knows.
    pub fn is_cold(&self, server: ServerId) -> bool {
        self.pool.is_cold(self.now, server)
    }

    /// Calls held, in set-up or standing.
    pub fn calls_held(&self) -> usize {
        self.calls.len()
    }

    /// Calls without their final answer.
    pub fn calls_in_set_up(&self) -> usize {
        self.in_set_up.values().sum()
    }

    /// Attempts that wait for a release, and those whose release is unanswered.
    pub fn orphans(&self) -> usize {
        let releasing = |a: &&Attempt| matches!(a.stage, Stage::Releasing { owed: false });
        self.orphans.len() + self.attempts.values().filter(releasing).count()
    }

    /// Answers remembered.
    pub fn remembered(&self) -> usize {
        self.memory.len()
    }

    /// Timers set.
    pub fn timers(&self) -> usize {
        self.timers.len()
    }

    // --- the module ---

    /// Hands the module what waits and carries out what it asks, until neither is left. Each round either
    /// ends a call or uses up one of its bounded set-ups, so it ends.
    fn run(&mut self, out: &mut Vec<Output<P>>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            actions.clear();
            self.policy.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action, out);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, action: Action, out: &mut Vec<Output<P>>) {
        match action {
            Action::Send { call, server, timeout, begin_within } => {
                self.send(call, server, (timeout, begin_within), out);
            }
            Action::Refuse { call, retry_after } => {
                self.answer_decided(call, Final::Refused { retry_after, why: Refusal::Decided }, out);
            }
            Action::Fail(call) => self.answer_decided(call, Final::Failed, out),
            Action::Cancel { call, attempt } => self.cancel(call, attempt, out),
            // Servers are not probed over this path: settings forbid it, and reports ride on answers.
            Action::Probe(server) => self.events.push_back(Event::Probed {
                server,
                outcome: Outcome::Moot,
                lag: 0,
                report: Report::default(),
            }),
            Action::SendPeerMessage { to, payload } => out.push(Output::Tell { to, payload }),
            Action::Subscribe => out.push(Output::Watch),
            Action::Timer { at, token } => self.timers.set(at, Timer::Module(token)),
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
        let Some(held) = self.calls.get_mut(&id) else {
            return self.guard.count(Breach::Answered);
        };
        let index = held.asked;
        held.asked = held.asked.saturating_add(1);
        let (Some(payload), false) = (held.payload.clone(), matches!(held.phase, Phase::Standing(_))) else {
            self.guard.count(Breach::Answered);
            return self.not_sent(id, index, server, Outcome::Moot);
        };
        let before =
            Before { out: matches!(held.phase, Phase::Out(_)), sent: held.sent, unsure_at: held.unsure_at };
        let left_at = self.pool.left_at(server);
        let shared = self.shared.is_some() && self.pool.is_told_cold(now, server);
        let cold = self.pool.is_cold(now, server) && !shared;
        if let Err(breach) = self.guard.check(now, before, server, left_at, cold) {
            let name = breach.name();
            out.push(Output::Log(format!(
                "set-up {index} of call {id} at server {server} held back: {name}"
            )));
            held.held_back += 1;
            if held.held_back >= HELD_BACK_MAX {
                self.abandoned(id);
                return self.answer(id, Final::Failed, out);
            }
            return self.not_sent(id, index, server, Outcome::Moot);
        }
        match self.pool.link_state(server) {
            LinkState::Up(_) => {}
            LinkState::Suspect => return self.not_sent(id, index, server, Outcome::Moot),
            LinkState::Down => return self.not_sent(id, index, server, Outcome::ConnectFailed),
        }
        // Last of all: a unit of the fleet's is spent with it. Without one the call goes elsewhere.
        if shared && self.shared.as_mut().is_some_and(|hands| !hands.spend(now, server)) {
            return self.not_sent(id, index, server, Outcome::Moot);
        }
        held.sent += 1;
        let (class, session) = (held.class, held.session.clone());
        let stage = Stage::Out;
        let attempt =
            self.add_attempt(Attempt { call: id, index, server, class, sent_at: now, stage, adopted: false });
        if let Some(held) = self.calls.get_mut(&id) {
            held.phase = Phase::Out(attempt);
        }
        self.timers.set(now.saturating_add(timeout), Timer::Attempt(attempt));
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

    /// A set-up that was never sent ends at once.
    fn not_sent(&mut self, call: CallId, attempt: u16, server: ServerId, outcome: Outcome) {
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
        let Some(Phase::Out(attempt)) = self.calls.get(&id).map(|held| held.phase) else { return };
        if self.attempts.get(&attempt).is_some_and(|a| a.index == index) {
            self.give_up_attempt(attempt, AttemptEnd::plain(Outcome::Cancelled), true, out);
        }
    }

    // --- callers ---

    fn offered(&mut self, offer: Offer<P>, out: &mut Vec<Output<P>>) {
        let Offer { session, request, .. } = &offer;
        if let Some(id) = self.sessions.get(session) {
            self.counts.repeats += 1;
            let Some(held) = self.calls.get_mut(id) else { return };
            held.away_since = None;
            if matches!(held.phase, Phase::Standing(_)) {
                let (request, session) = (*request, session.clone());
                return out.push(Output::Answer { request, session, answer: Final::Stands });
            }
            if held.waiting.contains(request) {
                return;
            }
            if held.waiting.len() >= WAITING_MAX {
                let oldest = held.waiting.remove(0);
                leave(&mut self.in_set_up, oldest.link);
                out.push(Output::Dropped(oldest));
            }
            held.waiting.push(*request);
            *self.in_set_up.entry(request.link).or_default() += 1;
            return;
        }
        if let Some(known) = self.memory.get(self.now, session) {
            self.counts.repeats += 1;
            let (request, session) = (*request, session.clone());
            return out.push(Output::Answer { request, session, answer: known.answer });
        }
        self.counts.taken += 1;
        if let Some(shared) = self.shared.as_mut() {
            shared.offered(self.now);
        }
        let of_link = self.in_set_up.get(&request.link).copied().unwrap_or(0);
        let full = self.calls.len() >= self.limits.calls || of_link >= self.limits.in_set_up_per_link;
        if full || self.stopping {
            let why = if self.stopping { Refusal::Stopping } else { Refusal::Bound };
            self.counts.bound += u64::from(full);
            return self.turn_away(*request, session.clone(), 0, why, out);
        }
        let unsure_for = self.sure_at().saturating_sub(self.now);
        // Guards against one that was made long before, to a process that was killed, and lay here while this one stood
        // still: how long its caller still waits nobody here knows, and word that it left may come behind.
        let patience = offer.caller_timeout.saturating_add(self.waited);
        let young = self.now < self.started.unwrap_or(self.now).saturating_add(patience);
        let lay = self.waited > 0 && young && offer.said != Said::Once;
        if offer.said == Said::Perhaps && unsure_for > 0 || lay {
            // It cannot wait as a marked one does: its caller may leave meanwhile, and nobody would hear of it.
            let why = Refusal::JustStarted;
            return self.turn_away(*request, session.clone(), unsure_for, why, out);
        }
        self.take(offer);
    }

    /// A call that is not taken gets its one answer, which is remembered for copies of it.
    fn turn_away(
        &mut self,
        request: Request,
        session: Session,
        retry_after: Micros,
        why: Refusal,
        out: &mut Vec<Output<P>>,
    ) {
        let answer = Final::Refused { retry_after, why };
        self.counts.refused += 1;
        self.counts.forgotten += self.memory.put(self.now, session.clone(), answer);
        out.push(Output::Answer { request, session, answer });
    }

    /// From then on no process before this one can have a call out: the guard after its start, since an end that nobody
    /// here saw is as sure as a reset is.
    fn sure_at(&self) -> Micros {
        self.started.unwrap_or(self.now).saturating_add(self.guard.retry_holdoff())
    }

    /// A new call, within all bounds.
    fn take(&mut self, offer: Offer<P>) {
        let id = self.new_call_id();
        let answer_by =
            self.now.saturating_add(offer.caller_timeout).saturating_sub(LAST_ANSWER).max(self.now);
        self.timers.set(answer_by, Timer::Deadline(id));
        *self.in_set_up.entry(offer.request.link).or_default() += 1;
        let held = Held {
            waiting: vec![offer.request],
            payload: Some(offer.payload),
            ..Held::new(offer.session, offer.class, Phase::Deciding, answer_by)
        };
        self.hold(id, held);
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
        // Guards against a process that was killed with this call out, and came back at once: the one before may
        // have set it up until it ended.
        let sure_at = self.sure_at();
        if offer.said == Said::Again && self.now < sure_at {
            self.timers.set(sure_at, Timer::Sure(id));
            if let Some(held) = self.calls.get_mut(&id) {
                held.untold = Some((self.now, call));
            }
            return;
        }
        self.events.push_back(Event::Call(call));
    }

    /// No other process can have the call out any more: the module hears of it.
    fn sure(&mut self, id: CallId, out: &mut Vec<Output<P>>) {
        if self.waited > 0 && self.calls.get(&id).is_some_and(|held| held.untold.is_some()) {
            // As one that lay unread: what its caller has left is not known, and its leave may not be read yet.
            return self.answer(id, Final::Refused { retry_after: 0, why: Refusal::JustStarted }, out);
        }
        let untold = self.calls.get_mut(&id).and_then(|held| held.untold.take());
        let Some((since, call)) = untold else { return };
        let caller_timeout = call.caller_timeout.saturating_sub(self.now.saturating_sub(since));
        self.events.push_back(Event::Call(Call { caller_timeout, ..call }));
    }

    /// The module is done with a call, if it ever heard of it.
    fn abandoned(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|held| held.untold.is_none()) {
            self.events.push_back(Event::Abandoned(id));
        }
    }

    /// A call is held from now on.
    fn hold(&mut self, id: CallId, held: Held<P>) {
        self.by_owner.entry(held.session.owner.clone()).or_default().insert(id);
        self.sessions.insert(held.session.clone(), id);
        self.calls.insert(id, held);
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
            let known = self.memory.get(self.now, &session).is_some();
            let result = if known { ReleaseResult::Done } else { ReleaseResult::Unknown };
            return out.push(Output::AnswerRelease { request, session, result });
        };
        match self.calls.get(&id).map(|held| held.phase) {
            Some(Phase::Standing(attempt)) => self.release_standing(id, attempt, out),
            Some(Phase::Out(_) | Phase::Deciding) => {
                // The caller gave up before its answer; what it still hears is that the call failed.
                self.abandoned(id);
                self.answer(id, Final::Failed, out);
            }
            None => {}
        }
        out.push(Output::AnswerRelease { request, session, result: ReleaseResult::Done });
    }

    fn release_standing(&mut self, id: CallId, attempt: AttemptId, out: &mut Vec<Output<P>>) {
        self.forget_call(id, Final::Stands);
        self.release(attempt, true, out);
    }

    fn client_up(&mut self, link: LinkId, owner: Arc<str>, restarted: bool, out: &mut Vec<Output<P>>) {
        let ids: Vec<_> = self.by_owner.get(&owner).into_iter().flatten().copied().collect();
        for id in ids {
            if !restarted {
                if let Some(held) = self.calls.get_mut(&id) {
                    held.away_since = None;
                }
                continue;
            }
            match self.calls.get(&id).map(|held| held.phase) {
                Some(Phase::Standing(attempt)) => self.release_standing(id, attempt, out),
                Some(_) => {
                    self.abandoned(id);
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
        let alone = self.links.values().all(|other| *other != owner);
        let ids = self.by_owner.get(&owner).into_iter().flatten().copied();
        for id in ids {
            let Some(held) = self.calls.get_mut(&id) else { continue };
            // Calls in set-up go on: their callers may ask again by another link, and get that answer.
            held.waiting.retain(|request| request.link != link);
            if alone {
                held.away_since = Some(self.now);
                self.timers.set(self.now.saturating_add(self.limits.away), Timer::Away(id));
            }
        }
    }

    // --- answers ---

    fn answer_decided(&mut self, id: CallId, answer: Final, out: &mut Vec<Output<P>>) {
        match self.calls.get(&id) {
            Some(held) if !matches!(held.phase, Phase::Standing(_)) => self.answer(id, answer, out),
            _ => self.guard.count(Breach::Answered),
        }
    }

    /// The final answer, for all requests that wait; what is out for the call is released.
    fn answer(&mut self, id: CallId, answer: Final, out: &mut Vec<Output<P>>) {
        if let Some(Phase::Out(attempt)) = self.calls.get(&id).map(|held| held.phase) {
            self.give_up_attempt(attempt, AttemptEnd::plain(Outcome::Cancelled), true, out);
        }
        self.give(id, answer, out);
        self.forget_call(id, answer);
    }

    fn give(&mut self, id: CallId, answer: Final, out: &mut Vec<Output<P>>) {
        let Some(held) = self.calls.get_mut(&id) else { return };
        match answer {
            Final::Stands => self.counts.stands += 1,
            Final::Refused { .. } => self.counts.refused += 1,
            Final::Failed => self.counts.failed += 1,
        }
        held.payload = None;
        for request in std::mem::take(&mut held.waiting) {
            leave(&mut self.in_set_up, request.link);
            out.push(Output::Answer { request, session: held.session.clone(), answer });
        }
    }

    /// The call is over; its answer is remembered.
    fn forget_call(&mut self, id: CallId, answer: Final) {
        let Some(held) = self.calls.remove(&id) else { return };
        self.sessions.remove(&held.session);
        if let Some(ids) = self.by_owner.get_mut(&held.session.owner) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_owner.remove(&held.session.owner);
            }
        }
        self.counts.forgotten += self.memory.put(self.now, held.session, answer);
    }

    // --- attempts ---

    fn stands(&mut self, id: AttemptId, report: Report, out: &mut Vec<Output<P>>) {
        let Some(attempt) = self.attempts.get_mut(&id).filter(|a| a.stage == Stage::Out) else {
            self.counts.late += 1;
            return;
        };
        attempt.stage = Stage::Standing;
        let Attempt { call, index, server, sent_at, .. } = *attempt;
        let lag = self.now.saturating_sub(sent_at);
        self.events.push_back(Event::Established { call, attempt: index, server, lag });
        self.news(server, report);
        if let Some(held) = self.calls.get_mut(&call) {
            held.phase = Phase::Standing(id);
        }
        self.give(call, Final::Stands, out);
    }

    fn ended(&mut self, id: AttemptId, end: AttemptEnd, out: &mut Vec<Output<P>>) {
        match self.attempts.get(&id).map(|a| a.stage) {
            Some(Stage::Out) => {
                let holds = matches!(end.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
                if holds {
                    self.give_up_attempt(id, end, false, out);
                } else {
                    self.end_attempt(id, end, false);
                }
            }
            Some(Stage::Standing) => self.over(id, Outcome::Reset, end.report, out),
            Some(Stage::Releasing { .. }) | None => self.counts.late += 1,
        }
    }

    /// The server has nothing of the attempt any more: it is forgotten and the module hears its end.
    fn end_attempt(&mut self, id: AttemptId, end: AttemptEnd, complete: bool) {
        let Some(attempt) = self.remove_attempt(id) else { return };
        let now = self.now;
        if let Some(held) = self.calls.get_mut(&attempt.call).filter(|held| held.phase == Phase::Out(id)) {
            held.phase = Phase::Deciding;
            if matches!(end.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
                held.unsure_at = Some(now);
            }
        }
        self.tell_end(&attempt, end, complete);
    }

    /// The attempt is over for its call, but its server may hold it still: a release is owed.
    fn give_up_attempt(&mut self, id: AttemptId, end: AttemptEnd, complete: bool, out: &mut Vec<Output<P>>) {
        let Some(attempt) = self.attempts.get(&id).copied() else { return };
        self.release(id, false, out);
        let now = self.now;
        if let Some(held) = self.calls.get_mut(&attempt.call).filter(|held| held.phase == Phase::Out(id)) {
            held.phase = Phase::Deciding;
            held.unsure_at = Some(now);
        }
        self.tell_end(&attempt, end, complete);
    }

    fn tell_end(&mut self, attempt: &Attempt, end: AttemptEnd, complete: bool) {
        if attempt.adopted {
            return self.news(attempt.server, end.report);
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

    /// Releases an attempt now, or as soon as its server has a link. `owed`: the module hears of its end
    /// only then, as that of a call that ended well.
    ///
    /// A suspect link still has its transport, and is told: else a server that only seemed dead would hold the
    /// attempt, or set it up, beside the next one (rule 2 as sockets show it).
    fn release(&mut self, id: AttemptId, owed: bool, out: &mut Vec<Output<P>>) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.stage = Stage::Releasing { owed };
        let Attempt { server, class, .. } = *attempt;
        if self.pool.link_state(server) != LinkState::Down {
            self.timers.set(self.now.saturating_add(self.limits.release_timeout), Timer::Release(id));
            self.counts.releases += 1;
            out.push(Output::Release { attempt: id, server, class });
            return;
        }
        if owed {
            self.end_owed(id, Report::default());
        }
        self.remove_attempt(id);
        self.keep_orphan(server, Orphan { attempt: id, class });
    }

    fn keep_orphan(&mut self, server: ServerId, orphan: Orphan) {
        if !self.orphans.put(server, orphan) {
            self.counts.given_up += 1;
        }
    }

    fn release_done(&mut self, id: AttemptId, report: Report) {
        match self.attempts.get(&id).map(|a| (a.stage, a.server)) {
            Some((Stage::Releasing { owed: true }, _)) => self.end_owed(id, report),
            Some((Stage::Releasing { owed: false }, server)) => self.news(server, report),
            _ => {
                self.counts.late += 1;
                return;
            }
        }
        self.remove_attempt(id);
    }

    /// A release went unanswered: the server is slow or gone. On this link it is not said again; where the link
    /// is suspect it may never have been read, and is said again once that is up.
    fn release_unanswered(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id).copied() else { return };
        if matches!(attempt.stage, Stage::Releasing { .. }) {
            self.release_done(id, Report::default());
            if self.pool.link_state(attempt.server) == LinkState::Suspect {
                self.keep_orphan(attempt.server, Orphan { attempt: id, class: attempt.class });
            }
        }
    }

    /// Tells the module that a call that stood is over.
    fn end_owed(&mut self, id: AttemptId, report: Report) {
        if let Some(attempt) = self.attempts.get(&id).copied() {
            let end = AttemptEnd { outcome: Outcome::Ok, note: Note::None, report };
            self.tell_end(&attempt, end, true);
        }
    }

    /// The server's word that an attempt is over.
    fn over(&mut self, id: AttemptId, outcome: Outcome, report: Report, out: &mut Vec<Output<P>>) {
        let end = AttemptEnd { report, ..AttemptEnd::plain(outcome) };
        match self.attempts.get(&id).map(|a| (a.stage, a.call)) {
            Some((Stage::Standing, call)) => {
                self.counts.cut += u64::from(outcome != Outcome::Ok);
                self.tell_over(call, outcome, out);
                self.forget_call(call, Final::Stands);
                self.end_attempt(id, end, true);
            }
            // It stood there and came to its end, only its answer was lost: over is over. Guards against setting up
            // anew what its server has told the end of, so that one call ends twice.
            Some((Stage::Out, call)) if outcome == Outcome::Ok => {
                self.end_attempt(id, end, true);
                self.answer(call, Final::Failed, out);
            }
            Some((Stage::Out, _)) => self.end_attempt(id, end, false),
            Some((Stage::Releasing { .. }, _)) => self.release_done(id, report),
            None => self.counts.late += 1,
        }
    }

    fn tell_over(&mut self, id: CallId, outcome: Outcome, out: &mut Vec<Output<P>>) {
        let Some(held) = self.calls.get(&id) else { return };
        let owner = &held.session.owner;
        let session = held.session.clone();
        match self.links.iter().rev().find(|(_, other)| *other == owner) {
            Some((link, _)) => out.push(Output::Cut { link: *link, session, class: held.class }),
            None => out.push(Output::Over { session, outcome }),
        }
    }

    /// A call that another process set up. The module hears nothing of it: it was never asked.
    fn adopt(&mut self, session: Session, class: usize, server: ServerId, out: &mut Vec<Output<P>>) {
        if self.sessions.contains_key(&session) {
            return;
        }
        if self.calls.len() >= self.limits.calls {
            self.counts.bound += 1;
            return out.push(Output::Over { session, outcome: Outcome::Reset });
        }
        let (call, now) = (self.new_call_id(), self.now);
        let stage = Stage::Standing;
        let attempt =
            self.add_attempt(Attempt { call, index: 0, server, class, sent_at: now, stage, adopted: true });
        self.hold(call, Held::new(session.clone(), class, Phase::Standing(attempt), now));
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

    fn news(&mut self, server: ServerId, report: Report) {
        if report != Report::default() {
            self.events.push_back(Event::Probed { server, outcome: Outcome::Ok, lag: 0, report });
        }
    }

    fn tell_list(&mut self, entries: Vec<Entry>) {
        if !entries.is_empty() {
            self.events.push_back(Event::List(ListKind::Delta, entries));
        }
    }

    fn list(&mut self, kind: ListKind, entries: &[Entry], out: &mut Vec<Output<P>>) {
        if kind == ListKind::Failed {
            return self.events.push_back(Event::List(kind, Vec::new()));
        }
        let (changed, over) = self.pool.list(self.now, kind, entries);
        if over > 0 {
            out.push(Output::Log(format!(
                "the pool's bound is reached: {over} servers of the list left out"
            )));
        }
        let gone = changed.iter().filter(|entry| entry.state == ServerState::Gone);
        let gone: Vec<_> = gone.map(|entry| entry.server).collect();
        self.tell_list(changed);
        for server in gone {
            self.guard.forget(server);
            // While its link is up it still finishes what it has, whatever a late list says.
            if self.pool.link_state(server) == LinkState::Down {
                self.lose_server(server, out);
            }
        }
    }

    fn server_link(&mut self, server: ServerId, state: LinkState, out: &mut Vec<Output<P>>) {
        let changed = self.pool.link(self.now, server, state);
        // Before what is out ends: it shall not go where it comes from.
        self.tell_list(changed.into_iter().collect());
        match state {
            LinkState::Up(process) => {
                if process == Process::New {
                    self.guard.forget(server);
                    self.lose_server(server, out);
                }
                self.release_orphans(out);
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

    /// What is out at a server is out no more; calls that stand there go on.
    fn fail_over(&mut self, server: ServerId, outcome: Outcome, out: &mut Vec<Output<P>>) {
        for id in self.attempts_at(server) {
            match self.attempts.get(&id).map(|a| a.stage) {
                Some(Stage::Out) => self.give_up_attempt(id, AttemptEnd::plain(outcome), false, out),
                // Its release may have gone down with the link: it is said again on the next.
                Some(Stage::Releasing { owed }) if outcome == Outcome::Reset => self.release(id, owed, out),
                _ => {}
            }
        }
    }

    /// The server's process is gone, and all its calls with it.
    fn lose_server(&mut self, server: ServerId, out: &mut Vec<Output<P>>) {
        self.orphans.forget(server);
        for id in self.attempts_at(server) {
            match self.attempts.get(&id).map(|a| a.stage) {
                Some(Stage::Releasing { .. }) => self.release_done(id, Report::default()),
                Some(_) => self.over(id, Outcome::Reset, Report::default(), out),
                None => {}
            }
        }
    }

    fn attempts_at(&self, server: ServerId) -> Vec<AttemptId> {
        self.by_server.get(&server).into_iter().flatten().copied().collect()
    }

    /// Releases some orphans of each server whose link is up: paced, since each is work for it.
    fn release_orphans(&mut self, out: &mut Vec<Output<P>>) {
        if self.orphans_at.is_some_and(|at| self.now < at) {
            return;
        }
        let mut left = false;
        for server in self.orphans.servers() {
            if !matches!(self.pool.link_state(server), LinkState::Up(_)) {
                continue;
            }
            let batch = self.orphans.take(server, ORPHAN_BATCH.0);
            left |= batch.len() == ORPHAN_BATCH.0;
            for Orphan { attempt, class } in batch {
                self.counts.releases += 1;
                out.push(Output::Release { attempt, server, class });
            }
        }
        self.orphans_at = left.then(|| self.now.saturating_add(ORPHAN_BATCH.1));
        if let Some(at) = self.orphans_at {
            self.timers.set(at, Timer::Orphans);
        }
    }

    // --- time ---

    fn fire(&mut self, out: &mut Vec<Output<P>>) {
        while let Some(timer) = self.timers.due(self.now) {
            match timer {
                Timer::Module(token) => self.events.push_back(Event::Timer(token)),
                Timer::Attempt(id) => {
                    if self.attempts.get(&id).is_some_and(|a| a.stage == Stage::Out) {
                        self.give_up_attempt(id, AttemptEnd::plain(Outcome::Timeout), false, out);
                    }
                }
                Timer::Deadline(id) => self.deadline(id, out),
                Timer::FirstList => {
                    let changed = self.pool.presume_no_more(self.now);
                    self.tell_list(changed);
                }
                Timer::Budgets => self.share(out),
                Timer::Lives => self.tell_lives(out),
                Timer::Sure(id) => self.sure(id, out),
                Timer::Release(id) => self.release_unanswered(id),
                Timer::Away(id) => self.away(id, out),
                Timer::Orphans => self.release_orphans(out),
            }
            self.run(out);
        }
    }

    /// The last resort: the module should have answered by now.
    fn deadline(&mut self, id: CallId, out: &mut Vec<Output<P>>) {
        let due = self
            .calls
            .get(&id)
            .is_some_and(|held| !matches!(held.phase, Phase::Standing(_)) && self.now >= held.answer_by);
        if due {
            self.guard.count(Breach::Unanswered);
            self.abandoned(id);
            self.answer(id, Final::Failed, out);
        }
    }

    fn away(&mut self, id: CallId, out: &mut Vec<Output<P>>) {
        let Some(held) = self.calls.get(&id) else { return };
        let long = held.away_since.is_some_and(|at| self.now >= at.saturating_add(self.limits.away));
        if let (Phase::Standing(attempt), true) = (held.phase, long) {
            self.counts.away += 1;
            self.release_standing(id, attempt, out);
        }
    }

    fn stop(&mut self, out: &mut Vec<Output<P>>) {
        self.stopping = true;
        let undecided = |held: &Held<P>| !matches!(held.phase, Phase::Standing(_));
        let ids: Vec<_> = self.calls.iter().filter(|(_, held)| undecided(held)).map(|(id, _)| *id).collect();
        for id in ids {
            // Guards against word that trying again is harmless for a call that may run already and must not run twice.
            let never = |held: &Held<P>| self.once.get(held.class).is_some_and(|once| *once);
            let sent = self.calls.get(&id).is_some_and(|held| held.sent > 0 && never(held));
            let refused = Final::Refused { retry_after: 0, why: Refusal::Stopping };
            self.abandoned(id);
            self.answer(id, if sent { Final::Failed } else { refused }, out);
        }
    }
}

impl<P: Clone> Engine<P> {
    fn cut_all(&mut self, out: &mut Vec<Output<P>>) {
        let standing = |held: &Held<P>| match held.phase {
            Phase::Standing(attempt) => Some(attempt),
            _ => None,
        };
        let all: Vec<_> = self.calls.iter().filter_map(|(id, held)| Some((*id, standing(held)?))).collect();
        for (id, attempt) in all {
            self.counts.cut += 1;
            self.tell_over(id, Outcome::Reset, out);
            self.release_standing(id, attempt, out);
        }
    }
}

/// One request fewer waits on a link.
fn leave(in_set_up: &mut BTreeMap<LinkId, usize>, link: LinkId) {
    if let Some(count) = in_set_up.get_mut(&link) {
        *count -= 1;
        if *count == 0 {
            in_set_up.remove(&link);
        }
    }
}

impl AttemptEnd {
    /// An end without a further word or report.
    pub fn plain(outcome: Outcome) -> Self {
        Self { outcome, note: Note::None, report: Report::default() }
    }
}
