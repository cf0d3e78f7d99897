//! Two exchanges and the trunk groups between them, in virtual time: callers at both ends, signals that get lost,
//! doubled, late and out of order, ends that restart and forget. What must never happen is looked for at each event.

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

/// Two exchanges as they are tried.
#[derive(Debug, Clone, PartialEq)]
pub struct TwoEndsSpec {
    /// Trunk groups, and circuits of each.
    pub groups: u16,
    /// Circuits of a group.
    pub circuits: u16,
    /// How each end chooses.
    pub selection: Selection,
    /// Circuits kept back for first choices.
    pub reserve: usize,
    /// Calls a second from each end.
    pub rates: [f64; 2],
    /// Share of calls whose group is not their first choice.
    pub overflow: f64,
    /// Mean time that a call stands.
    pub hold: Micros,
    /// An incoming call is answered after this on average.
    pub answer: Micros,
    /// A caller gives up after this.
    pub patience: Micros,
    /// Share of signals lost.
    pub lost: f64,
    /// Share of signals that come twice.
    pub doubled: f64,
    /// A signal takes at least this ...
    pub delay: Micros,
    /// ... and up to so much more; by itself, so that signals can pass each other.
    pub jitter: Micros,
    /// Timers of both ends.
    pub timers: TimerSettings,
    /// Audits of both ends.
    pub audit: AuditSettings,
    /// Seed of all that is drawn.
    pub seed: u64,
}

impl Default for TwoEndsSpec {
    fn default() -> Self {
        Self {
            groups: 1,
            circuits: 32,
            selection: Selection::Opposite,
            reserve: 0,
            rates: [5.0, 5.0],
            overflow: 0.0,
            hold: 2_000_000,
            answer: 100_000,
            patience: 3_000_000,
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

/// What came of it so far.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tally {
    /// Calls offered, of each end.
    pub offered: [u64; 2],
    /// Outgoing calls that stood, of each end.
    pub answered: [u64; 2],
    /// Outgoing calls that ended otherwise, by how, of each end.
    pub ended: [BTreeMap<&'static str, u64>; 2],
    /// Callers that gave up.
    pub gave_up: [u64; 2],
    /// Standing calls that were cut by a reset.
    pub cut: u64,
    /// Signals sent.
    pub signals: u64,
    /// Signals of audits among them.
    pub audit_signals: u64,
    /// Circuits that audits found stuck.
    pub stuck: u64,
    /// What must never happen, in words; at most some hundred.
    pub violations: Vec<String>,
}

#[derive(Debug)]
enum Event {
    Arrive(usize, GroupId, Cic, Signal),
    Offer(usize),
    Answer(usize, CallKey),
    Hangup(usize, CallKey),
    GiveUp(usize, CallKey),
    Wake(usize),
    Restart(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Asked,
    Stands,
}

#[derive(Debug)]
struct Call {
    reference: u64,
    state: State,
    incoming: bool,
}

/// See the module's page.
#[derive(Debug)]
pub struct TwoEnds {
    spec: TwoEndsSpec,
    queue: EventQueue<Event>,
    ends: [Trunks; 2],
    /// Calls held at each end.
    calls: [BTreeMap<CallKey, Call>; 2],
    armed: [Micros; 2],
    next: u64,
    rng: Pcg64Mcg,
    tally: Tally,
    offering: bool,
}

const TOLD: usize = 100;

fn trunks(spec: &TwoEndsSpec, end: usize) -> Result<Trunks, (usize, SpecError)> {
    let points = [2, 1];
    let group = |_| GroupSpec {
        own_point: points[end],
        far_point: points[1 - end],
        first: 1,
        circuits: spec.circuits,
        selection: spec.selection,
        reserve: spec.reserve,
    };
    Trunks::new((0..spec.groups).map(group).collect(), spec.timers, spec.audit)
}

impl TwoEnds {
    /// Both ends, idle; callers begin with [`TwoEnds::begin`].
    ///
    /// # Errors
    /// Where a group cannot be.
    pub fn new(spec: TwoEndsSpec) -> Result<Self, (usize, SpecError)> {
        let ends = [trunks(&spec, 0)?, trunks(&spec, 1)?];
        let mut two = Self {
            rng: Pcg64Mcg::seed_from_u64(spec.seed),
            queue: EventQueue::default(),
            ends,
            calls: Default::default(),
            armed: [Micros::MAX; 2],
            next: 1,
            tally: Tally::default(),
            offering: false,
            spec,
        };
        (0..2).for_each(|end| two.arm(end));
        Ok(two)
    }

    /// The clock.
    pub fn now(&self) -> Micros {
        self.queue.now()
    }

    /// What came of it.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// An end's own counts.
    pub fn counts(&self, end: usize) -> Counts {
        self.ends[end].counts()
    }

    /// An end.
    pub fn end(&self, end: usize) -> &Trunks {
        &self.ends[end]
    }

    /// Callers of both ends begin.
    pub fn begin(&mut self) {
        self.offering = true;
        for end in 0..2 {
            if self.spec.rates[end] > 0.0 {
                self.next_offer(end);
            }
        }
    }

    /// No more calls.
    pub fn close(&mut self) {
        self.offering = false;
    }

    /// Both ends offer a call at the same moment.
    pub fn offer_both(&mut self) {
        (0..2).for_each(|end| self.offer(end));
    }

    /// An end restarts at a time: it forgets all, and resets its groups.
    pub fn restart_at(&mut self, at: Micros, end: usize) {
        self.queue.schedule(at, Event::Restart(end));
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(event) = self.queue.pop_until(until) {
            self.take(event);
        }
    }

    /// Runs until neither end has a call or a busy circuit, at most until then; when that was.
    pub fn run_until_idle(&mut self, most: Micros) -> Option<Micros> {
        loop {
            if self.busy() == 0 && self.calls.iter().all(BTreeMap::is_empty) {
                return Some(self.queue.now());
            }
            let event = self.queue.pop_until(most)?;
            self.take(event);
        }
    }

    /// Circuits that either end does not hold for idle.
    pub fn busy(&self) -> usize {
        let groups = (0..self.spec.groups).map(GroupId);
        let of = |end: &Trunks| -> usize {
            let usage = groups.clone().filter_map(|group| end.usage(group));
            usage.map(|usage| usage.outgoing + usage.incoming + usage.clearing).sum()
        };
        self.ends.iter().map(of).max().unwrap_or(0)
    }

    /// Circuits on which one end has held a call for at least so long, and the other end does not hold the same one.
    pub fn stuck_for(&self, least: Micros) -> usize {
        let mut stuck = 0;
        for group in (0..self.spec.groups).map(GroupId) {
            for cic in 1..=self.spec.circuits {
                let views = [0, 1].map(|end| self.ends[end].view(group, cic));
                let held = [0, 1].map(|end| self.reference_on(end, group, cic));
                let long = views.iter().zip(held).any(|(view, held)| {
                    held.is_some() && view.is_some_and(|v| v.since + least <= self.queue.now())
                });
                stuck += usize::from(long && held[0] != held[1]);
            }
        }
        stuck
    }

    /// The call that an end holds on a circuit.
    fn reference_on(&self, end: usize, group: GroupId, cic: Cic) -> Option<u64> {
        let call = self.ends[end].view(group, cic)?.call?;
        self.calls[end].get(&call).map(|call| call.reference)
    }

    // --- events ---

    fn take(&mut self, event: Event) {
        let now = self.queue.now();
        let mut out = Vec::new();
        let end = match event {
            Event::Arrive(end, group, cic, signal) => {
                self.ends[end].handle_signal(now, group, cic, signal, &mut out);
                end
            }
            Event::Offer(end) => {
                if self.offering {
                    self.offer(end);
                    self.next_offer(end);
                }
                return;
            }
            Event::Answer(end, call) => {
                if let Some(held) = self.calls[end].get_mut(&call) {
                    held.state = State::Stands;
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
            Event::GiveUp(end, call) => {
                if self.calls[end].get(&call).is_some_and(|held| held.state == State::Asked) {
                    self.calls[end].remove(&call);
                    self.tally.gave_up[end] += 1;
                    self.ends[end].release(now, call, 19, &mut out);
                }
                end
            }
            Event::Wake(end) => {
                if self.armed[end] <= now {
                    self.armed[end] = Micros::MAX;
                }
                self.ends[end].tick(now, &mut out);
                end
            }
            Event::Restart(end) => {
                self.calls[end].clear();
                // The same specification made the one before.
                if let Ok(fresh) = trunks(&self.spec, end) {
                    self.ends[end] = fresh;
                }
                (0..self.spec.groups).for_each(|group| self.ends[end].reset(now, GroupId(group), &mut out));
                end
            }
        };
        self.outputs(end, out);
    }

    fn arm(&mut self, end: usize) {
        let due = self.ends[end].next_wake().unwrap_or(Micros::MAX);
        if due < self.armed[end] {
            self.armed[end] = due;
            self.queue.schedule(due, Event::Wake(end));
        }
    }

    fn next_offer(&mut self, end: usize) {
        let wait = sample_exponential(&mut self.rng, 1e6 / self.spec.rates[end]);
        self.queue.schedule(self.queue.now() + wait, Event::Offer(end));
    }

    fn offer(&mut self, end: usize) {
        let now = self.queue.now();
        let (call, group) = (CallKey(self.next), GroupId(self.rng.random_range(0..self.spec.groups)));
        let claim = if self.rng.random::<f64>() < self.spec.overflow {
            RouteChoice::Overflow
        } else {
            RouteChoice::First
        };
        self.next += 1;
        self.tally.offered[end] += 1;
        let setup = Setup { number: Arc::from([5u8, 5, 5]), reference: Arc::from(call.0.to_be_bytes()) };
        self.calls[end].insert(call, Call { reference: call.0, state: State::Asked, incoming: false });
        self.queue.schedule(now + self.spec.patience, Event::GiveUp(end, call));
        let mut out = Vec::new();
        self.ends[end].seize(now, call, group, setup, claim, &mut out);
        self.outputs(end, out);
    }

    fn outputs(&mut self, end: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { group, cic, signal } => self.carry(1 - end, group, cic, &signal),
                Output::Incoming { call, group: _, setup } => self.incoming(end, call, &setup),
                Output::Accepted(_) => {}
                Output::Answered(call) => self.answered(end, call),
                Output::Ended(call, how) => self.ended(end, call, how),
                Output::Report { group, cic, what: Maintenance::Stuck } => self.found_stuck(end, group, cic),
                Output::Report { .. } => {}
            }
        }
        self.arm(end);
    }

    /// A signal is on its way, lost, or on its way twice.
    fn carry(&mut self, to: usize, group: GroupId, cic: Cic, signal: &Signal) {
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
            self.queue.schedule(at, Event::Arrive(to, group, cic, signal.clone()));
        }
    }

    fn incoming(&mut self, end: usize, call: CallKey, setup: &Setup) {
        let reference = setup.reference.as_ref().try_into().map_or(0, u64::from_be_bytes);
        self.calls[end].insert(call, Call { reference, state: State::Asked, incoming: true });
        let mut out = Vec::new();
        self.ends[end].accept(call, &mut out);
        let wait = sample_exponential(&mut self.rng, self.spec.answer as f64);
        self.queue.schedule(self.queue.now() + wait, Event::Answer(end, call));
        self.outputs(end, out);
    }

    fn answered(&mut self, end: usize, call: CallKey) {
        let Some(held) = self.calls[end].get_mut(&call) else {
            return self.violation(format!("call {} stands after its end", call.0));
        };
        if std::mem::replace(&mut held.state, State::Stands) == State::Stands {
            return self.violation(format!("call {} stands twice", call.0));
        }
        self.tally.answered[end] += 1;
        let hold = sample_exponential(&mut self.rng, self.spec.hold as f64);
        self.queue.schedule(self.queue.now() + hold, Event::Hangup(end, call));
        // It stands on one circuit, and the other end holds this very call there.
        let Some((group, cic)) = self.ends[end].circuit_of(call) else { return };
        let (ours, theirs) = (self.reference_on(end, group, cic), self.reference_on(1 - end, group, cic));
        if theirs.is_some() && ours != theirs && self.spec.jitter == 0 {
            self.violation(format!("circuit {cic}: {ours:?} stands here, {theirs:?} there"));
        }
    }

    fn ended(&mut self, end: usize, call: CallKey, how: End) {
        let Some(held) = self.calls[end].remove(&call) else {
            return self.violation(format!("call {} ends twice: {how:?}", call.0));
        };
        self.tally.cut += u64::from(held.state == State::Stands && how == End::Reset);
        if !held.incoming && held.state == State::Asked {
            let name = match how {
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

    /// An audit resets a circuit: no call may stand on it at both ends.
    fn found_stuck(&mut self, end: usize, group: GroupId, cic: Cic) {
        self.tally.stuck += 1;
        let views = [0, 1].map(|end| self.ends[end].view(group, cic).map(|view| view.state.processing));
        let calls = [self.reference_on(end, group, cic), self.reference_on(1 - end, group, cic)];
        if calls[0].is_some() && calls[0] == calls[1] {
            self.violation(format!("circuit {cic}: a live call is cut by an audit: {views:?}"));
        }
        debug_assert!(views.iter().all(|view| *view != Some(Processing::Unequipped)));
    }

    fn violation(&mut self, what: String) {
        if self.tally.violations.len() < TOLD {
            self.tally.violations.push(format!("at {} us: {what}", self.queue.now()));
        }
    }
}
