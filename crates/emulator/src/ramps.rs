//! A fleet at a server that starts cold, in virtual time: what its fronts send there together, by the decision module of
//! each, held against what pushes such a server over.

use std::collections::VecDeque;

use baydrift::interface::{
    Action, Call, CallId, Class, Entry, Event, ListKind, Micros, Outcome, Repeat, Report, ReportPath,
    ServerId, ServerState, Settings,
};
use baydrift::Controller;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::event_queue::EventQueue;

const S: Micros = 1_000_000;
/// Servers, by number; the first one is started anew.
const SERVERS: u16 = 4;
/// A call stands after so long.
const ANSWERED: Micros = 30_000;
/// A word between fronts takes up to so long.
const WORD: Micros = 20_000;
/// Fronts learn of a start within this.
const LEARNT: Micros = 1_500_000;
/// Time at rest before a start: the module's memory of what a server takes is 10 s long.
const REST: Micros = 20 * S;

/// A fleet and its servers.
#[derive(Debug, Clone)]
pub struct RampSpec {
    /// Fronts that run.
    pub fronts: u32,
    /// Fronts by the settings.
    pub stated: u32,
    /// Set-ups a second that a warm server can do.
    pub rate: f64,
    /// What is asked for of that, over all servers.
    pub load: f64,
    /// What is asked for in the first 3 s after a start, as a multiple.
    pub surge: f64,
    /// The busiest front has so many times the traffic of the quietest.
    pub skew: f64,
    /// Share of fronts that start anew within a second before the server does.
    pub restarted: f64,
    /// A cold server can do this share of what it will.
    pub cold_from: f64,
    /// Time from cold to warm.
    pub ramp: Micros,
    /// It falls over beyond so many times what it can do ...
    pub multiple: f64,
    /// ... in this time.
    pub window: Micros,
    /// Starts to play.
    pub starts: u32,
    /// Draws all chance.
    pub seed: u64,
}

/// What came of each start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RampStart {
    /// The most beyond the budget of N calls in any window, in roots of N.
    pub excess: f64,
    /// Whether any window held more than N and `roots` x root of N and as many calls.
    pub over: bool,
    /// Whether that was so by the terms of 3 roots and 3 as well.
    pub far_over: bool,
    /// Calls sent over the ramp, of all that the budgets allow.
    pub used: f64,
    /// Of those that asked for the server.
    pub served: f64,
}

/// Beyond the budget only so many roots of it, and as many calls, are chance.
const ROOTS: f64 = 2.0;

enum Happens {
    Asks(u32),
    Timer(u32, u32, u64),
    Stands(u32, u32, CallId, u16, ServerId),
    Word(u32, u32, Vec<u8>),
    Learns(u32),
    Restarts(u32),
    Starts,
}

struct Front {
    controller: Controller,
    /// Its process: what belongs to one before counts no more.
    process: u32,
    /// Calls a second that it is asked for.
    asked: f64,
}

struct Fleet<'a> {
    spec: &'a RampSpec,
    rng: Pcg64Mcg,
    queue: EventQueue<Happens>,
    fronts: Vec<Front>,
    /// The first server's process, and when it started; long ago for the first one.
    process: u64,
    started: Option<Micros>,
    next_call: CallId,
    /// Set-ups at it within the window.
    recent: VecDeque<Micros>,
    now_at: RampStart,
    sent: u64,
    wanted: u64,
}

fn settings(spec: &RampSpec, ordinal: u32) -> Settings {
    let class = Class {
        worth: 1.0,
        late_worth: 0.25,
        aim: 2 * S,
        deadline: 9 * S,
        repeat: Repeat::Safe,
        servers: None,
    };
    Settings {
        fronts: spec.stated,
        ordinal,
        own_number: None,
        classes: vec![class],
        tenants: Vec::new(),
        over_share_worth: 1.0,
        max_attempts: 5,
        may_cancel: true,
        may_probe: false,
        may_gossip: true,
        max_retry_after: 0,
        reports: ReportPath::Answers,
        subscribe: false,
        retransmit_after: 500_000,
        retry_holdoff: 300_000,
        cold_from: spec.cold_from,
        warm_up_time: spec.ramp,
        fall_multiple: spec.multiple,
        fall_time: spec.window,
    }
}

impl<'a> Fleet<'a> {
    fn new(spec: &'a RampSpec) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(spec.seed);
        // Evenly from the quietest to the busiest, so that their mean is one.
        let place = |n: u32| f64::from(n) / f64::from(spec.fronts.max(2) - 1);
        let weights: Vec<_> = (0..spec.fronts).map(|n| 1.0 + place(n) * (spec.skew - 1.0)).collect();
        let all = spec.rate * f64::from(SERVERS) * spec.load / weights.iter().sum::<f64>();
        let mut fleet = Self {
            spec,
            queue: EventQueue::default(),
            fronts: Vec::new(),
            process: 0,
            started: None,
            next_call: 1,
            recent: VecDeque::new(),
            now_at: RampStart { excess: f64::MIN, over: false, far_over: false, used: 0.0, served: 0.0 },
            sent: 0,
            wanted: 0,
            rng: Pcg64Mcg::seed_from_u64(rng.random()),
        };
        for (n, weight) in (0..).zip(weights) {
            let controller = fleet.controller(n);
            fleet.fronts.push(Front { controller, process: 0, asked: weight * all });
            fleet.queue.schedule(rng.random_range(0..S), Happens::Learns(n));
            fleet.queue.schedule(rng.random_range(S..2 * S), Happens::Asks(n));
        }
        fleet
    }

    fn controller(&mut self, ordinal: u32) -> Controller {
        let made = Controller::new(settings(self.spec, ordinal), self.rng.random());
        made.unwrap_or_else(|error| unreachable!("a model's own settings: {error}"))
    }

    fn server(&self, number: u16) -> ServerId {
        u64::from(number) + 1 + if number == 0 { self.process << 16 } else { 0 }
    }

    fn list(&self) -> Vec<Entry> {
        let entry = |number| Entry {
            server: self.server(number),
            number,
            state: ServerState::Ready,
            started_at: if number == 0 { self.started } else { None },
        };
        (0..SERVERS).map(entry).collect()
    }

    fn tell(&mut self, front: u32, event: Event) {
        let now = self.queue.now();
        let Some(of) = self.fronts.get_mut(front as usize) else { return };
        let mut actions = Vec::new();
        of.controller.handle(now, event, &mut actions);
        let process = of.process;
        for action in actions {
            match action {
                Action::Send { call, server, .. } => self.sends(front, call, server),
                Action::Timer { at, token } => self.queue.schedule(at, Happens::Timer(front, process, token)),
                Action::SendPeerMessage { to, payload } => {
                    let after = self.rng.random_range(0..WORD);
                    self.queue.schedule(now + after, Happens::Word(to, front, payload));
                }
                _ => {}
            }
        }
    }

    fn sends(&mut self, front: u32, call: CallId, server: ServerId) {
        let now = self.queue.now();
        let of = &self.fronts[front as usize];
        let stands = Happens::Stands(front, of.process, call, 0, server);
        self.queue.schedule(now + ANSWERED, stands);
        let Some(started) = self.started.filter(|_| server == self.server(0)) else { return };
        let age = now - started;
        if age >= self.spec.ramp {
            return;
        }
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|at| now - at >= self.spec.window) {
            self.recent.pop_front();
        }
        self.sent += 1;
        let (budget, count) = (self.budget(age), self.recent.len() as f64);
        let beyond = |roots: f64| count > budget + roots * budget.sqrt() + roots;
        self.now_at.over |= beyond(ROOTS);
        self.now_at.far_over |= beyond(3.0);
        self.now_at.excess = self.now_at.excess.max((count - budget) / budget.sqrt());
    }

    /// Calls that a server of this age may get in a window.
    fn budget(&self, age: Micros) -> f64 {
        let spec = self.spec;
        let warm = (age as f64 / spec.ramp as f64).min(1.0);
        let warm = spec.cold_from + (1.0 - spec.cold_from) * warm;
        spec.multiple * spec.rate * warm * spec.window as f64 / 1e6
    }

    fn happens(&mut self, event: Happens) {
        let now = self.queue.now();
        match event {
            Happens::Asks(front) => {
                let since = self.started.map_or(Micros::MAX, |at| now - at);
                let surge = if since < 3 * S { self.spec.surge } else { 1.0 };
                let asked = self.fronts[front as usize].asked * surge;
                let pause = -(1.0 - self.rng.random::<f64>()).ln() / asked;
                self.queue.schedule(now + (pause * 1e6) as Micros, Happens::Asks(front));
                let first = self.rng.random_range(0..SERVERS);
                self.wanted += u64::from(first == 0 && since < self.spec.ramp);
                self.next_call = self.next_call.wrapping_add(1).max(1);
                let call = Call {
                    id: self.next_call,
                    caller_timeout: 3 * S,
                    first_choice: Some(first),
                    ..Call::default()
                };
                self.tell(front, Event::Call(call));
            }
            Happens::Timer(front, process, token) => {
                if self.fronts[front as usize].process == process {
                    self.tell(front, Event::Timer(token));
                }
            }
            Happens::Stands(front, process, call, attempt, server) => {
                if self.fronts[front as usize].process == process {
                    self.tell(front, Event::Established { call, attempt, server, lag: ANSWERED });
                    let report = Report { wait_s: Some(0.01), ..Report::default() };
                    let outcome = Outcome::Ok;
                    self.tell(front, Event::Probed { server, outcome, lag: 0, report });
                }
            }
            Happens::Word(to, from, payload) => {
                if to < self.spec.fronts {
                    self.tell(to, Event::PeerMessage { from, payload });
                }
            }
            Happens::Learns(front) => {
                let list = self.list();
                self.tell(front, Event::List(ListKind::Full, list));
            }
            Happens::Restarts(front) => {
                let controller = self.controller(front);
                let of = &mut self.fronts[front as usize];
                (of.controller, of.process) = (controller, of.process + 1);
                let list = self.list();
                self.tell(front, Event::List(ListKind::Full, list));
            }
            Happens::Starts => {
                (self.process, self.started) = (self.process + 1, Some(now));
                self.recent.clear();
                (self.sent, self.wanted) = (0, 0);
                let fresh =
                    RampStart { excess: f64::MIN, over: false, far_over: false, used: 0.0, served: 0.0 };
                self.now_at = fresh;
                for front in 0..self.spec.fronts {
                    let after = self.rng.random_range(0..LEARNT);
                    self.queue.schedule(now + after, Happens::Learns(front));
                }
            }
        }
    }

    fn until(&mut self, end: Micros) {
        while let Some(event) = self.queue.pop_until(end) {
            self.happens(event);
        }
    }

    /// One start, after a rest.
    fn start(&mut self) -> RampStart {
        let at = self.queue.now() + REST;
        for front in 0..self.spec.fronts {
            if self.rng.random::<f64>() < self.spec.restarted {
                let before = self.rng.random_range(0..S);
                self.queue.schedule(at - before, Happens::Restarts(front));
            }
        }
        self.queue.schedule(at, Happens::Starts);
        self.until(at + self.spec.ramp);
        let mean = (self.budget(0) + self.budget(self.spec.ramp)) / 2.0;
        let allowed = mean * self.spec.ramp as f64 / self.spec.window as f64;
        self.now_at.used = self.sent as f64 / allowed;
        self.now_at.served = self.sent as f64 / self.wanted.max(1) as f64;
        self.now_at
    }
}

/// Plays the starts, one after the other, each after a rest.
pub fn ramp(spec: &RampSpec) -> Vec<RampStart> {
    let mut fleet = Fleet::new(spec);
    (0..spec.starts).map(|_| fleet.start()).collect()
}
