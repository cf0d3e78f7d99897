//! Simulation, in virtual time, of two exchanges and the trunk groups between them: callers at both ends,
//! signals that are lost, duplicated, delayed and reordered, and ends that restart and lose their state.
//! Invariants are checked at each event.

use std::collections::BTreeMap;
use std::sync::Arc;

use baydrift::interface::Micros;
use baydrift_trunk::rules::{RouteChoice, Selection};
use baydrift_trunk::{
    AuditSettings, CallKey, Cic, Counts, End, GroupId, GroupSpec, Maintenance, Output, Processing, Setup,
    Signal, SpecError, TimerSettings, Trunks,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::call_schedule::sample_exponential;
use crate::event_queue::EventQueue;

/// Parameters of the simulated exchanges.
#[derive(Debug, Clone, PartialEq)]
pub struct TrunkPairSpec {
    /// Number of trunk groups.
    pub groups: u16,
    /// Circuits per group.
    pub circuits: u16,
    /// Circuit selection method of both ends.
    pub selection: Selection,
    /// Circuits per group reserved for first-choice calls.
    pub reserve: usize,
    /// Offered calls per second, per end.
    pub rates: [f64; 2],
    /// Share of calls for which the group is an overflow choice.
    pub overflow: f64,
    /// Mean holding time of an answered call.
    pub mean_hold: Micros,
    /// Mean time until an incoming call is answered.
    pub mean_answer_time: Micros,
    /// Time after which a caller abandons an unanswered call.
    pub caller_timeout: Micros,
    /// Share of signals lost.
    pub lost: f64,
    /// Share of signals that are duplicated.
    pub doubled: f64,
    /// Minimum delay of a signal.
    pub delay: Micros,
    /// Maximum additional delay, drawn for each signal separately, so that signals can overtake each other.
    pub jitter: Micros,
    /// Timer settings of both ends.
    pub timers: TimerSettings,
    /// Audit settings of both ends.
    pub audit: AuditSettings,
    /// Seed of all random draws.
    pub seed: u64,
}

impl Default for TrunkPairSpec {
    fn default() -> Self {
        Self {
            groups: 1,
            circuits: 32,
            selection: Selection::Opposite,
            reserve: 0,
            rates: [5.0, 5.0],
            overflow: 0.0,
            mean_hold: 2_000_000,
            mean_answer_time: 100_000,
            caller_timeout: 3_000_000,
            lost: 0.0,
            doubled: 0.0,
            delay: 2_000,
            jitter: 6_000,
            timers: TimerSettings::default(),
            audit: AuditSettings::default(),
            seed: 1,
        }
    }
}

/// Counts since the start of the simulation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TrunkTally {
    /// Calls offered, per end.
    pub offered: [u64; 2],
    /// Outgoing calls that were answered, per end.
    pub answered: [u64; 2],
    /// Outgoing calls that ended without an answer, by reason, per end.
    pub ended: [BTreeMap<&'static str, u64>; 2],
    /// Outgoing calls abandoned at the caller's timeout, per end.
    pub caller_timeouts: [u64; 2],
    /// Answered calls dropped by a reset.
    pub dropped: u64,
    /// Signals sent.
    pub signals: u64,
    /// Audit signals among them.
    pub audit_signals: u64,
    /// Stuck circuits found by audits.
    pub stuck: u64,
    /// Descriptions of invariant violations; the first 100 are kept.
    pub violations: Vec<String>,
}

#[derive(Debug)]
enum Event {
    SignalArrival(usize, GroupId, Cic, Signal),
    Offer(usize),
    Answer(usize, CallKey),
    Hangup(usize, CallKey),
    CallerTimeout(usize, CallKey),
    Timer(usize),
    Restart(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Pending,
    Answered,
}

#[derive(Debug)]
struct Call {
    reference: u64,
    state: State,
    incoming: bool,
}

/// The simulation of both exchanges; see the module documentation.
#[derive(Debug)]
pub struct TrunkPair {
    spec: TrunkPairSpec,
    queue: EventQueue<Event>,
    ends: [Trunks; 2],
    /// Calls held at each end.
    calls: [BTreeMap<CallKey, Call>; 2],
    /// Earliest scheduled timer event of each end.
    timer_at: [Micros; 2],
    next_call: u64,
    rng: Pcg64Mcg,
    tally: TrunkTally,
    callers_active: bool,
}

/// Maximum number of violations that are kept.
const MAX_VIOLATIONS: usize = 100;

/// Creates the trunk groups of one end.
fn new_trunks(spec: &TrunkPairSpec, end: usize) -> Result<Trunks, (usize, SpecError)> {
    let point_codes = [2, 1];
    let group = |_| GroupSpec {
        own_point: point_codes[end],
        far_point: point_codes[1 - end],
        first: 1,
        circuits: spec.circuits,
        selection: spec.selection,
        reserve: spec.reserve,
    };
    Trunks::new((0..spec.groups).map(group).collect(), spec.timers, spec.audit)
}

impl TrunkPair {
    /// Creates two idle ends. [`TrunkPair::start_callers`] starts the callers.
    ///
    /// # Errors
    /// Returns the index of a trunk group whose specification is invalid, and the error.
    pub fn new(spec: TrunkPairSpec) -> Result<Self, (usize, SpecError)> {
        let ends = [new_trunks(&spec, 0)?, new_trunks(&spec, 1)?];
        let mut pair = Self {
            rng: Pcg64Mcg::seed_from_u64(spec.seed),
            queue: EventQueue::default(),
            ends,
            calls: Default::default(),
            timer_at: [Micros::MAX; 2],
            next_call: 1,
            tally: TrunkTally::default(),
            callers_active: false,
            spec,
        };
        (0..2).for_each(|end| pair.schedule_timer(end));
        Ok(pair)
    }

    /// Current virtual time.
    pub fn now(&self) -> Micros {
        self.queue.now()
    }

    /// Counts since the start of the simulation.
    pub fn tally(&self) -> &TrunkTally {
        &self.tally
    }

    /// Counts that an end keeps itself.
    pub fn counts(&self, end: usize) -> Counts {
        self.ends[end].counts()
    }

    /// The trunk groups of an end.
    pub fn end(&self, end: usize) -> &Trunks {
        &self.ends[end]
    }

    /// Starts the callers of both ends.
    pub fn start_callers(&mut self) {
        self.callers_active = true;
        for end in 0..2 {
            if self.spec.rates[end] > 0.0 {
                self.schedule_offer(end);
            }
        }
    }

    /// Stops offering new calls.
    pub fn stop_callers(&mut self) {
        self.callers_active = false;
    }

    /// Offers a call from both ends at the same time.
    pub fn offer_both(&mut self) {
        (0..2).for_each(|end| self.offer(end));
    }

    /// Schedules a restart of an end, which loses its state and resets its groups.
    pub fn restart_at(&mut self, at: Micros, end: usize) {
        self.queue.schedule(at, Event::Restart(end));
    }

    /// Runs until the given time.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(event) = self.queue.pop_until(until) {
            self.handle(event);
        }
    }

    /// Runs until neither end has a call or a busy circuit, and returns that time; `None` if they are not
    /// idle by `deadline`.
    pub fn run_until_idle(&mut self, deadline: Micros) -> Option<Micros> {
        loop {
            if self.busy() == 0 && self.calls.iter().all(BTreeMap::is_empty) {
                return Some(self.queue.now());
            }
            let event = self.queue.pop_until(deadline)?;
            self.handle(event);
        }
    }

    /// Number of circuits that are not idle, at the end that has more of them.
    pub fn busy(&self) -> usize {
        let groups = (0..self.spec.groups).map(GroupId);
        let busy = |end: &Trunks| -> usize {
            let usage = groups.clone().filter_map(|group| end.usage(group));
            usage.map(|usage| usage.outgoing + usage.incoming + usage.clearing).sum()
        };
        self.ends.iter().map(busy).max().unwrap_or(0)
    }

    /// Number of circuits on which one end has held a call for at least `min_age`, and the other end does not
    /// hold the same call.
    pub fn stuck_circuits(&self, min_age: Micros) -> usize {
        let mut stuck = 0;
        for group in (0..self.spec.groups).map(GroupId) {
            for cic in 1..=self.spec.circuits {
                let views = [0, 1].map(|end| self.ends[end].view(group, cic));
                let held = [0, 1].map(|end| self.reference_on(end, group, cic));
                let long = views.iter().zip(held).any(|(view, held)| {
                    held.is_some() && view.is_some_and(|v| v.since + min_age <= self.queue.now())
                });
                stuck += usize::from(long && held[0] != held[1]);
            }
        }
        stuck
    }

    /// Reference of the call that an end holds on a circuit.
    fn reference_on(&self, end: usize, group: GroupId, cic: Cic) -> Option<u64> {
        let call = self.ends[end].view(group, cic)?.call?;
        self.calls[end].get(&call).map(|call| call.reference)
    }

    // --- events ---

    fn handle(&mut self, event: Event) {
        let now = self.queue.now();
        let mut out = Vec::new();
        let end = match event {
            Event::SignalArrival(end, group, cic, signal) => {
                self.ends[end].handle_signal(now, group, cic, signal, &mut out);
                end
            }
            Event::Offer(end) => {
                if self.callers_active {
                    self.offer(end);
                    self.schedule_offer(end);
                }
                return;
            }
            Event::Answer(end, call) => {
                if let Some(held) = self.calls[end].get_mut(&call) {
                    held.state = State::Answered;
                    self.ends[end].answer(call, &mut out);
                }
                end
            }
            Event::Hangup(end, call) => {
                if self.calls[end].remove(&call).is_some() {
                    self.ends[end].release(now, call, 16, &mut out);
                }
                end
            }
            Event::CallerTimeout(end, call) => {
                if self.calls[end].get(&call).is_some_and(|held| held.state == State::Pending) {
                    self.calls[end].remove(&call);
                    self.tally.caller_timeouts[end] += 1;
                    self.ends[end].release(now, call, 19, &mut out);
                }
                end
            }
            Event::Timer(end) => {
                if self.timer_at[end] <= now {
                    self.timer_at[end] = Micros::MAX;
                }
                self.ends[end].tick(now, &mut out);
                end
            }
            Event::Restart(end) => {
                self.calls[end].clear();
                // Valid: the same specification was accepted in `new`.
                if let Ok(fresh) = new_trunks(&self.spec, end) {
                    self.ends[end] = fresh;
                }
                (0..self.spec.groups).for_each(|group| self.ends[end].reset(now, GroupId(group), &mut out));
                end
            }
        };
        self.handle_outputs(end, out);
    }

    fn schedule_timer(&mut self, end: usize) {
        let due = self.ends[end].next_wake().unwrap_or(Micros::MAX);
        if due < self.timer_at[end] {
            self.timer_at[end] = due;
            self.queue.schedule(due, Event::Timer(end));
        }
    }

    fn schedule_offer(&mut self, end: usize) {
        let wait = sample_exponential(&mut self.rng, 1e6 / self.spec.rates[end]);
        self.queue.schedule(self.queue.now() + wait, Event::Offer(end));
    }

    fn offer(&mut self, end: usize) {
        let now = self.queue.now();
        let (call, group) = (CallKey(self.next_call), GroupId(self.rng.random_range(0..self.spec.groups)));
        let choice = if self.rng.random::<f64>() < self.spec.overflow {
            RouteChoice::Overflow
        } else {
            RouteChoice::First
        };
        self.next_call += 1;
        self.tally.offered[end] += 1;
        let setup = Setup { number: Arc::from([5u8, 5, 5]), reference: Arc::from(call.0.to_be_bytes()) };
        self.calls[end].insert(call, Call { reference: call.0, state: State::Pending, incoming: false });
        self.queue.schedule(now + self.spec.caller_timeout, Event::CallerTimeout(end, call));
        let mut out = Vec::new();
        self.ends[end].seize(now, call, group, setup, choice, &mut out);
        self.handle_outputs(end, out);
    }

    fn handle_outputs(&mut self, end: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { group, cic, signal } => self.send_signal(1 - end, group, cic, &signal),
                Output::Incoming { call, group: _, setup } => self.incoming(end, call, &setup),
                Output::Accepted(_) => {}
                Output::Answered(call) => self.answered(end, call),
                Output::Ended(call, reason) => self.ended(end, call, reason),
                Output::Report { group, cic, what: Maintenance::Stuck } => self.found_stuck(end, group, cic),
                Output::Report { .. } => {}
            }
        }
        self.schedule_timer(end);
    }

    /// Schedules the arrival of a signal; loses or duplicates it at random.
    fn send_signal(&mut self, to: usize, group: GroupId, cic: Cic, signal: &Signal) {
        self.tally.signals += 1;
        self.tally.audit_signals += u64::from(matches!(signal, Signal::Query(_) | Signal::QueryReply(_)));
        let draw = self.rng.random::<f64>();
        let copies = match draw {
            _ if draw < self.spec.lost => 0,
            _ if draw < self.spec.lost + self.spec.doubled => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let at = self.queue.now() + self.spec.delay + self.rng.random_range(0..=self.spec.jitter);
            self.queue.schedule(at, Event::SignalArrival(to, group, cic, signal.clone()));
        }
    }

    fn incoming(&mut self, end: usize, call: CallKey, setup: &Setup) {
        let reference = setup.reference.as_ref().try_into().map_or(0, u64::from_be_bytes);
        self.calls[end].insert(call, Call { reference, state: State::Pending, incoming: true });
        let mut out = Vec::new();
        self.ends[end].accept(call, &mut out);
        let wait = sample_exponential(&mut self.rng, self.spec.mean_answer_time as f64);
        self.queue.schedule(self.queue.now() + wait, Event::Answer(end, call));
        self.handle_outputs(end, out);
    }

    fn answered(&mut self, end: usize, call: CallKey) {
        let Some(held) = self.calls[end].get_mut(&call) else {
            return self.violation(format!("call {} stands after its end", call.0));
        };
        if std::mem::replace(&mut held.state, State::Answered) == State::Answered {
            return self.violation(format!("call {} stands twice", call.0));
        }
        self.tally.answered[end] += 1;
        let hold = sample_exponential(&mut self.rng, self.spec.mean_hold as f64);
        self.queue.schedule(self.queue.now() + hold, Event::Hangup(end, call));
        // The other end must hold the same call on this circuit. Only checked without jitter, as reordered
        // signals may leave the ends in disagreement for a while.
        let Some((group, cic)) = self.ends[end].circuit_of(call) else { return };
        let (local, remote) = (self.reference_on(end, group, cic), self.reference_on(1 - end, group, cic));
        if remote.is_some() && local != remote && self.spec.jitter == 0 {
            self.violation(format!("circuit {cic}: {local:?} stands here, {remote:?} there"));
        }
    }

    fn ended(&mut self, end: usize, call: CallKey, reason: End) {
        let Some(held) = self.calls[end].remove(&call) else {
            return self.violation(format!("call {} ends twice: {reason:?}", call.0));
        };
        self.tally.dropped += u64::from(held.state == State::Answered && reason == End::Reset);
        if !held.incoming && held.state == State::Pending {
            let name = match reason {
                End::Released(_) => "released",
                End::NoCircuit => "no circuit",
                End::Yielded => "yielded",
                End::NoAnswer => "no answer",
                End::Reset => "reset",
                End::Unreachable => "unreachable",
            };
            *self.tally.ended[end].entry(name).or_default() += 1;
        }
    }

    /// An audit is about to reset a circuit; both ends must not hold the same call on it.
    fn found_stuck(&mut self, end: usize, group: GroupId, cic: Cic) {
        self.tally.stuck += 1;
        let views = [0, 1].map(|end| self.ends[end].view(group, cic).map(|view| view.state.processing));
        let calls = [self.reference_on(end, group, cic), self.reference_on(1 - end, group, cic)];
        if calls[0].is_some() && calls[0] == calls[1] {
            self.violation(format!("circuit {cic}: a live call is cut by an audit: {views:?}"));
        }
        debug_assert!(views.iter().all(|view| *view != Some(Processing::Unequipped)));
    }

    fn violation(&mut self, description: String) {
        if self.tally.violations.len() < MAX_VIOLATIONS {
            self.tally.violations.push(format!("at {} us: {description}", self.queue.now()));
        }
    }
}
