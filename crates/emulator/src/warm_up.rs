//! Simulation, in virtual time, of a fleet whose server starts cold: the calls that all fronts send to it
//! together, each front through its own decision module, are compared with the number that overloads such a
//! server.

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
/// Number of servers; the first one is restarted.
const SERVERS: u16 = 4;
/// Time until a call is established.
const ESTABLISH_DELAY: Micros = 30_000;
/// Maximum delay of a message between fronts.
const MAX_PEER_DELAY: Micros = 20_000;
/// Maximum time until a front learns of a server's start.
const MAX_DISCOVERY_DELAY: Micros = 1_500_000;
/// Time between the end of a warm-up and the next start; the decision module remembers a server's load for 10
/// s.
const REST_TIME: Micros = 20 * S;

/// Parameters of a simulated fleet and its servers.
#[derive(Debug, Clone)]
pub struct WarmUpSpec {
    /// Number of running fronts.
    pub fronts: u32,
    /// Number of configured fronts.
    pub configured_fronts: u32,
    /// Capacity of a warm server, in set-ups per second.
    pub rate: f64,
    /// Offered load as a share of the capacity of all servers.
    pub load: f64,
    /// Factor on the offered load in the first 3 s after a start.
    pub surge: f64,
    /// Ratio of the busiest front's traffic to the quietest front's.
    pub skew: f64,
    /// Share of fronts that restart within the second before the server does.
    pub restarted: f64,
    /// Capacity of a cold server as a share of its warm capacity.
    pub cold_from: f64,
    /// Time from cold to warm.
    pub warm_up_time: Micros,
    /// The server fails when the set-ups in `overload_window` exceed this multiple of its capacity.
    pub overload_multiple: f64,
    /// Window over which set-ups are counted for `overload_multiple`.
    pub overload_window: Micros,
    /// Number of server starts to simulate.
    pub starts: u32,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Result of one server start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpStart {
    /// Largest excess over the budget of N calls in any window, in units of the square root of N.
    pub excess: f64,
    /// Whether any window held more than N + 2 sqrt(N) + 2 calls.
    pub over_limit: bool,
    /// Whether any window held more than N + 3 sqrt(N) + 3 calls.
    pub over_wide_limit: bool,
    /// Calls sent during the warm-up as a share of those that the budgets allow.
    pub utilization: f64,
    /// Calls sent during the warm-up as a share of those whose first choice was this server.
    pub served_share: f64,
}

/// Allowance for chance: this many square roots of the budget, plus as many calls.
const LIMIT_SQRT_FACTOR: f64 = 2.0;

enum SimEvent {
    Offer(u32),
    Timer(u32, u32, u64),
    Established(u32, u32, CallId, u16, ServerId),
    PeerMessage(u32, u32, Vec<u8>),
    ListUpdate(u32),
    FrontRestart(u32),
    ServerStart,
}

struct Front {
    controller: Controller,
    /// Number of the current process; events of earlier ones are ignored.
    process: u32,
    /// Offered calls per second.
    call_rate: f64,
}

struct Fleet<'a> {
    spec: &'a WarmUpSpec,
    rng: Pcg64Mcg,
    queue: EventQueue<SimEvent>,
    fronts: Vec<Front>,
    /// Process number of the first server.
    server_process: u64,
    /// When the first server's process started; `None` for the initial one, which is warm.
    started_at: Option<Micros>,
    next_call: CallId,
    /// Times of the set-ups sent to the first server within the window.
    recent_setups: VecDeque<Micros>,
    current: WarmUpStart,
    /// Calls sent to the first server during its warm-up.
    sent: u64,
    /// Calls offered during the warm-up whose first choice is the first server.
    offered: u64,
}

fn settings(spec: &WarmUpSpec, ordinal: u32) -> Settings {
    let class = Class {
        worth: 1.0,
        late_worth: 0.25,
        aim: 2 * S,
        deadline: 9 * S,
        repeat: Repeat::Safe,
        servers: None,
    };
    Settings {
        fronts: spec.configured_fronts,
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
        warm_up_time: spec.warm_up_time,
        fall_multiple: spec.overload_multiple,
        fall_time: spec.overload_window,
    }
}

impl<'a> Fleet<'a> {
    fn new(spec: &'a WarmUpSpec) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(spec.seed);
        // Spread evenly from the quietest to the busiest front.
        let position = |n: u32| f64::from(n) / f64::from(spec.fronts.max(2) - 1);
        let weights: Vec<_> = (0..spec.fronts).map(|n| 1.0 + position(n) * (spec.skew - 1.0)).collect();
        let rate_per_weight = spec.rate * f64::from(SERVERS) * spec.load / weights.iter().sum::<f64>();
        let mut fleet = Self {
            spec,
            queue: EventQueue::default(),
            fronts: Vec::new(),
            server_process: 0,
            started_at: None,
            next_call: 1,
            recent_setups: VecDeque::new(),
            current: WarmUpStart {
                excess: f64::MIN,
                over_limit: false,
                over_wide_limit: false,
                utilization: 0.0,
                served_share: 0.0,
            },
            sent: 0,
            offered: 0,
            rng: Pcg64Mcg::seed_from_u64(rng.random()),
        };
        for (n, weight) in (0..).zip(weights) {
            let controller = fleet.controller(n);
            fleet.fronts.push(Front { controller, process: 0, call_rate: weight * rate_per_weight });
            fleet.queue.schedule(rng.random_range(0..S), SimEvent::ListUpdate(n));
            fleet.queue.schedule(rng.random_range(S..2 * S), SimEvent::Offer(n));
        }
        fleet
    }

    fn controller(&mut self, ordinal: u32) -> Controller {
        let controller = Controller::new(settings(self.spec, ordinal), self.rng.random());
        controller.unwrap_or_else(|error| unreachable!("settings of the simulation are invalid: {error}"))
    }

    fn server(&self, number: u16) -> ServerId {
        u64::from(number) + 1 + if number == 0 { self.server_process << 16 } else { 0 }
    }

    fn list(&self) -> Vec<Entry> {
        let entry = |number| Entry {
            server: self.server(number),
            number,
            state: ServerState::Ready,
            started_at: if number == 0 { self.started_at } else { None },
        };
        (0..SERVERS).map(entry).collect()
    }

    fn handle(&mut self, front: u32, event: Event) {
        let now = self.queue.now();
        let Some(state) = self.fronts.get_mut(front as usize) else { return };
        let mut actions = Vec::new();
        state.controller.handle(now, event, &mut actions);
        let process = state.process;
        for action in actions {
            match action {
                Action::Send { call, server, .. } => self.send(front, call, server),
                Action::Timer { at, token, .. } => {
                    self.queue.schedule(at, SimEvent::Timer(front, process, token))
                }
                Action::SendPeerMessage { to, payload } => {
                    let after = self.rng.random_range(0..MAX_PEER_DELAY);
                    self.queue.schedule(now + after, SimEvent::PeerMessage(to, front, payload));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, front: u32, call: CallId, server: ServerId) {
        let now = self.queue.now();
        let process = self.fronts[front as usize].process;
        let established = SimEvent::Established(front, process, call, 0, server);
        self.queue.schedule(now + ESTABLISH_DELAY, established);
        let Some(started_at) = self.started_at.filter(|_| server == self.server(0)) else { return };
        let age = now - started_at;
        if age >= self.spec.warm_up_time {
            return;
        }
        self.recent_setups.push_back(now);
        while self.recent_setups.front().is_some_and(|at| now - at >= self.spec.overload_window) {
            self.recent_setups.pop_front();
        }
        self.sent += 1;
        let (budget, count) = (self.budget(age), self.recent_setups.len() as f64);
        let exceeds = |factor: f64| count > budget + factor * budget.sqrt() + factor;
        self.current.over_limit |= exceeds(LIMIT_SQRT_FACTOR);
        self.current.over_wide_limit |= exceeds(3.0);
        self.current.excess = self.current.excess.max((count - budget) / budget.sqrt());
    }

    /// Calls that a server of this age may receive in a window.
    fn budget(&self, age: Micros) -> f64 {
        let spec = self.spec;
        let warm = (age as f64 / spec.warm_up_time as f64).min(1.0);
        let warm = spec.cold_from + (1.0 - spec.cold_from) * warm;
        spec.overload_multiple * spec.rate * warm * spec.overload_window as f64 / 1e6
    }

    fn run_event(&mut self, event: SimEvent) {
        let now = self.queue.now();
        match event {
            SimEvent::Offer(front) => {
                let age = self.started_at.map_or(Micros::MAX, |at| now - at);
                let surge = if age < 3 * S { self.spec.surge } else { 1.0 };
                let call_rate = self.fronts[front as usize].call_rate * surge;
                let pause = -(1.0 - self.rng.random::<f64>()).ln() / call_rate;
                self.queue.schedule(now + (pause * 1e6) as Micros, SimEvent::Offer(front));
                let first_choice = self.rng.random_range(0..SERVERS);
                self.offered += u64::from(first_choice == 0 && age < self.spec.warm_up_time);
                self.next_call = self.next_call.wrapping_add(1).max(1);
                let call = Call {
                    id: self.next_call,
                    caller_timeout: 3 * S,
                    first_choice: Some(first_choice),
                    ..Call::default()
                };
                self.handle(front, Event::Call(call));
            }
            SimEvent::Timer(front, process, token) => {
                if self.fronts[front as usize].process == process {
                    self.handle(front, Event::Timer(token));
                }
            }
            SimEvent::Established(front, process, call, attempt, server) => {
                if self.fronts[front as usize].process == process {
                    self.handle(front, Event::Established { call, attempt, server, lag: ESTABLISH_DELAY });
                    let report = Report { wait_s: Some(0.01), ..Report::default() };
                    let outcome = Outcome::Ok;
                    self.handle(front, Event::Probed { server, outcome, lag: 0, report });
                }
            }
            SimEvent::PeerMessage(to, from, payload) => {
                if to < self.spec.fronts {
                    self.handle(to, Event::PeerMessage { from, payload });
                }
            }
            SimEvent::ListUpdate(front) => {
                let list = self.list();
                self.handle(front, Event::List(ListKind::Full, list));
            }
            SimEvent::FrontRestart(front) => {
                let controller = self.controller(front);
                let state = &mut self.fronts[front as usize];
                (state.controller, state.process) = (controller, state.process + 1);
                let list = self.list();
                self.handle(front, Event::List(ListKind::Full, list));
            }
            SimEvent::ServerStart => {
                (self.server_process, self.started_at) = (self.server_process + 1, Some(now));
                self.recent_setups.clear();
                (self.sent, self.offered) = (0, 0);
                let fresh = WarmUpStart {
                    excess: f64::MIN,
                    over_limit: false,
                    over_wide_limit: false,
                    utilization: 0.0,
                    served_share: 0.0,
                };
                self.current = fresh;
                for front in 0..self.spec.fronts {
                    let after = self.rng.random_range(0..MAX_DISCOVERY_DELAY);
                    self.queue.schedule(now + after, SimEvent::ListUpdate(front));
                }
            }
        }
    }

    fn run_until(&mut self, end: Micros) {
        while let Some(event) = self.queue.pop_until(end) {
            self.run_event(event);
        }
    }

    /// Simulates one server start and its warm-up, after the rest time.
    fn simulate_start(&mut self) -> WarmUpStart {
        let at = self.queue.now() + REST_TIME;
        for front in 0..self.spec.fronts {
            if self.rng.random::<f64>() < self.spec.restarted {
                let before = self.rng.random_range(0..S);
                self.queue.schedule(at - before, SimEvent::FrontRestart(front));
            }
        }
        self.queue.schedule(at, SimEvent::ServerStart);
        self.run_until(at + self.spec.warm_up_time);
        let mean = (self.budget(0) + self.budget(self.spec.warm_up_time)) / 2.0;
        let allowed = mean * self.spec.warm_up_time as f64 / self.spec.overload_window as f64;
        self.current.utilization = self.sent as f64 / allowed;
        self.current.served_share = self.sent as f64 / self.offered.max(1) as f64;
        self.current
    }
}

/// Simulates the server starts one after the other, each after a rest time, and returns their results.
pub fn simulate_warm_up(spec: &WarmUpSpec) -> Vec<WarmUpStart> {
    let mut fleet = Fleet::new(spec);
    (0..spec.starts).map(|_| fleet.simulate_start()).collect()
}
