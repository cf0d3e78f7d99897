//! Simulation, in virtual time, of a fleet that shares one budget: hundreds of fronts whose messages are
//! lost, duplicated and delayed, and fronts that pause, restart, are isolated or whose clocks jump. The
//! simulation itself counts the units that the whole fleet spends.

use std::collections::{BTreeSet, VecDeque};

use baydrift::interface::Micros;
use baydrift_budget::{Borrower, BorrowerConfig, BudgetId, BudgetMessage, Escrow, EscrowConfig, Share};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use crate::event_queue::EventQueue;
use crate::network_path::{NetworkPath, NetworkPathSpec};

/// The scheme by which the fronts share the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetSharing {
    /// Each front has the share that its settings give it.
    Fixed,
    /// Each front divides the budget by the number of live fronts, which are those heard from within a
    /// second.
    LiveCount,
    /// The fronts lend units to each other.
    Escrow,
    /// A single counter that every front sees without delay; the upper limit for the other schemes.
    Oracle,
}

/// A fault of a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetFault {
    /// The process exits; a new one starts after this delay, if given.
    Crash(Option<Micros>),
    /// The process is suspended for this long.
    Pause(Micros),
    /// The clock jumps by this many microseconds; backwards if negative.
    ClockJump(i64),
    /// All messages to the front are lost for this long.
    InboundLoss(Micros),
    /// All messages from the front are lost for this long.
    OutboundLoss(Micros),
}

/// Parameters of a simulated fleet and its budget.
#[derive(Debug, Clone)]
pub struct BudgetSpec {
    /// Number of configured fronts.
    pub fronts: u32,
    /// Units of the budget per window.
    pub units: u32,
    /// Escrow parameters, the same on all fronts.
    pub config: EscrowConfig,
    /// How a front borrows units.
    pub borrower: BorrowerConfig,
    /// Delay and loss on the links between fronts.
    pub way: NetworkPathSpec,
    /// Sharing scheme.
    pub sharing: BudgetSharing,
    /// Demand of each front, in units per second.
    pub demand: Vec<f64>,
    /// Simulated time.
    pub duration: Micros,
    /// The budget starts at time 0, with a cold start of its server; each front learns of it after a random
    /// delay of at most this.
    pub start_spread: Micros,
    /// Faults, each with its time and front.
    pub faults: Vec<(Micros, u32, BudgetFault)>,
    /// Maximum drift of each front's clock, in parts per million.
    pub drift_ppm: u32,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Result of a simulation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BudgetTally {
    /// Units spent by all fronts.
    pub spent: u64,
    /// Units that fronts asked for.
    pub requested: u64,
    /// Maximum number of units that the whole fleet spent in any window.
    pub max_in_window: usize,
    /// Messages sent.
    pub messages: u64,
    /// Total size of the messages.
    pub bytes: u64,
    /// Units spent as a share of those that were both available and asked for, over whole windows. The oracle
    /// reaches 1.
    pub utilization: f64,
}

/// Interval between timer events of a front.
const TICK_INTERVAL: Micros = 50_000;
/// With [`BudgetSharing::LiveCount`], a front not heard from for this long counts as down.
const LIVENESS_TIMEOUT: Micros = 1_000_000;
/// With [`BudgetSharing::LiveCount`], interval between a front's heartbeats, each to a tenth of the fleet.
const HEARTBEAT_INTERVAL: Micros = 100_000;

enum Event {
    BudgetStarted(u32),
    Demand(u32, u32),
    Tick(u32, u32),
    Arrival(u32, u32, Datagram),
    Fault(u32, BudgetFault),
    FrontStart(u32),
}

#[derive(Clone)]
enum Datagram {
    Message(Vec<u8>),
    Heartbeat,
}

struct Front {
    /// Number of the current process; events of earlier ones are ignored.
    process: u32,
    down: bool,
    paused_until: Micros,
    inbound_lost_until: Micros,
    outbound_lost_until: Micros,
    /// Clock drift, in parts per million.
    drift_ppm: i64,
    /// Sum of the clock's jumps, in microseconds.
    clock_offset: i64,
    /// Whether the process was already running when the budget started.
    predates_budget: bool,
    escrow: Option<(Escrow, Borrower)>,
    /// When it spent units within the window, with fixed shares or shares by live count.
    spent: VecDeque<Micros>,
    /// Time of the last heartbeat from each front; 0 for none.
    last_heartbeat: Vec<Micros>,
}

struct Fleet<'a> {
    spec: &'a BudgetSpec,
    share: Share,
    queue: EventQueue<Event>,
    rng: Pcg64Mcg,
    links: Vec<NetworkPath>,
    fronts: Vec<Front>,
    /// When any front spent a unit, within the window.
    spent: VecDeque<Micros>,
    /// Units asked for and spent, per whole window.
    windows: Vec<(u64, u64)>,
    tally: BudgetTally,
}

const BUDGET: BudgetId = BudgetId(1);
/// Initial value of a front's clock, so that it can jump back without becoming negative.
const CLOCK_START_US: i64 = 3_600_000_000;

/// Runs the simulation.
pub fn simulate_budget(spec: &BudgetSpec) -> BudgetTally {
    let mut rng = Pcg64Mcg::seed_from_u64(spec.seed);
    let drift = i64::from(spec.drift_ppm);
    let front = |rng: &mut Pcg64Mcg| Front {
        process: 0,
        down: false,
        paused_until: 0,
        inbound_lost_until: 0,
        outbound_lost_until: 0,
        drift_ppm: rng.random_range(-drift..=drift),
        clock_offset: 0,
        predates_budget: true,
        escrow: None,
        spent: VecDeque::new(),
        last_heartbeat: vec![0; spec.fronts as usize],
    };
    let fronts: Vec<_> = (0..spec.fronts).map(|_| front(&mut rng)).collect();
    let links =
        (0..spec.fronts).map(|n| NetworkPath::new(spec.way, spec.seed ^ u64::from(n) << 20)).collect();
    let mut fleet = Fleet {
        spec,
        share: Share::new(BUDGET, spec.units, spec.fronts),
        queue: EventQueue::default(),
        rng,
        links,
        fronts,
        spent: VecDeque::new(),
        windows: Vec::new(),
        tally: BudgetTally::default(),
    };
    for front in 0..spec.fronts {
        let learns_at = fleet.rng.random_range(0..=spec.start_spread);
        fleet.queue.schedule(learns_at, Event::BudgetStarted(front));
        fleet.schedule_demand(front, 0);
    }
    for (at, front, fault) in &spec.faults {
        fleet.queue.schedule(*at, Event::Fault(*front, *fault));
    }
    while let Some(event) = fleet.queue.pop_until(spec.duration) {
        fleet.handle(event);
    }
    fleet.tally.utilization = fleet.utilization();
    fleet.tally
}

impl Fleet<'_> {
    fn clock(&self, front: u32) -> Micros {
        let (now, front) = (self.queue.now() as i64, &self.fronts[front as usize]);
        let clock = CLOCK_START_US + now + now / 1_000 * front.drift_ppm / 1_000 + front.clock_offset;
        clock.max(0) as Micros
    }

    /// Draws the time of a front's next demand for a unit.
    fn schedule_demand(&mut self, front: u32, process: u32) {
        let rate = self.spec.demand.get(front as usize).copied().unwrap_or(0.0);
        let Ok(gap) = Exp::new(rate / 1e6) else { return };
        if rate > 0.0 {
            let at = self.queue.now() + gap.sample(&mut self.rng) as Micros;
            self.queue.schedule(at, Event::Demand(front, process));
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.queue.now();
        let (front, process) = match &event {
            Event::BudgetStarted(front) | Event::Arrival(_, front, _) => (*front, None),
            Event::Demand(front, process) | Event::Tick(front, process) => (*front, Some(*process)),
            Event::Fault(front, fault) => return self.apply_fault(*front, *fault),
            Event::FrontStart(front) => return self.start_front(*front),
        };
        let state = &self.fronts[front as usize];
        if process.is_some_and(|process| process != state.process) {
            return;
        }
        if state.down {
            // Demand resumes with the next process.
            return;
        }
        if now < state.paused_until {
            // Handled after the pause, in random order with other deferred events.
            let later = state.paused_until + self.rng.random_range(0..500);
            return self.queue.schedule(later, event);
        }
        match event {
            Event::BudgetStarted(front) => self.budget_started(front),
            Event::Demand(front, process) => {
                self.request_unit(front);
                self.schedule_demand(front, process);
            }
            Event::Tick(front, process) => {
                self.tick(front);
                self.queue.schedule(now + TICK_INTERVAL, Event::Tick(front, process));
            }
            Event::Arrival(from, to, datagram) => self.receive(from, to, &datagram),
            Event::Fault(..) | Event::FrontStart(_) => {}
        }
    }

    /// A front learns that the budget has started.
    fn budget_started(&mut self, front: u32) {
        let clock = self.clock(front);
        let (spec, share, incarnation) = (self.spec, self.share, self.rng.random());
        let state = &mut self.fronts[front as usize];
        if state.escrow.is_some() {
            return;
        }
        let escrow =
            Escrow::new(spec.config, BUDGET, share, front, incarnation, clock, state.predates_budget);
        state.escrow = Some((escrow, Borrower::new(spec.borrower, share, front)));
        let process = state.process;
        let delay = self.rng.random_range(0..TICK_INTERVAL);
        self.queue.schedule(self.queue.now() + delay, Event::Tick(front, process));
    }

    fn start_front(&mut self, front: u32) {
        let state = &mut self.fronts[front as usize];
        state.down = false;
        state.predates_budget = false;
        state.last_heartbeat.fill(0);
        let process = state.process;
        let learns_at = self.queue.now() + self.rng.random_range(0..=self.spec.start_spread);
        self.queue.schedule(learns_at, Event::BudgetStarted(front));
        self.schedule_demand(front, process);
    }

    fn apply_fault(&mut self, front: u32, fault: BudgetFault) {
        let now = self.queue.now();
        let Some(state) = self.fronts.get_mut(front as usize) else { return };
        match fault {
            BudgetFault::Crash(restart_after) => {
                if state.down {
                    return;
                }
                state.process += 1;
                (state.down, state.escrow, state.paused_until) = (true, None, 0);
                state.spent.clear();
                if let Some(delay) = restart_after {
                    self.queue.schedule(now + delay, Event::FrontStart(front));
                }
            }
            BudgetFault::Pause(span) => state.paused_until = state.paused_until.max(now + span),
            BudgetFault::ClockJump(by) => state.clock_offset += by,
            BudgetFault::InboundLoss(span) => {
                state.inbound_lost_until = state.inbound_lost_until.max(now + span)
            }
            BudgetFault::OutboundLoss(span) => {
                state.outbound_lost_until = state.outbound_lost_until.max(now + span)
            }
        }
    }

    /// A front asks for one unit, and spends it if the sharing scheme grants it.
    fn request_unit(&mut self, front: u32) {
        let (now, clock) = (self.queue.now(), self.clock(front));
        self.tally.requested += 1;
        let window_index = (now / self.spec.config.window) as usize;
        if self.windows.len() <= window_index {
            self.windows.resize(window_index + 1, (0, 0));
        }
        self.windows[window_index].0 += 1;
        let window = self.spec.config.window;
        let live_fronts = self.live_fronts(front);
        let state = &mut self.fronts[front as usize];
        let Some((escrow, borrower)) = state.escrow.as_mut() else { return };
        let spent = match self.spec.sharing {
            BudgetSharing::Escrow => {
                let spent = escrow.spend(clock);
                borrower.record_demand(clock, spent, escrow);
                spent
            }
            BudgetSharing::Oracle => {
                expire(&mut self.spent, now, window);
                self.spent.len() < self.spec.units as usize
            }
            BudgetSharing::Fixed | BudgetSharing::LiveCount => {
                let share = if self.spec.sharing == BudgetSharing::Fixed {
                    self.share.of(front) as usize
                } else {
                    (self.spec.units / live_fronts.max(1)) as usize
                };
                expire(&mut state.spent, now, window);
                let available = state.spent.len() < share;
                if available {
                    state.spent.push_back(now);
                }
                available
            }
        };
        if spent {
            self.count_spent(now, window_index);
        }
    }

    /// Counts a spent unit, and the units that the whole fleet spent in the window that ends now.
    fn count_spent(&mut self, now: Micros, window_index: usize) {
        self.tally.spent += 1;
        self.windows[window_index].1 += 1;
        self.spent.push_back(now);
        expire(&mut self.spent, now, self.spec.config.window);
        self.tally.max_in_window = self.tally.max_in_window.max(self.spent.len());
    }

    /// Number of live fronts as this front sees it, itself included.
    fn live_fronts(&self, front: u32) -> u32 {
        let now = self.queue.now();
        let state = &self.fronts[front as usize];
        let others =
            state.last_heartbeat.iter().filter(|last| **last > 0 && now - **last < LIVENESS_TIMEOUT).count()
                as u32;
        // Heartbeats are incomplete during the first second, so the configured number applies.
        if now < LIVENESS_TIMEOUT {
            self.spec.fronts
        } else {
            others + 1
        }
    }

    fn tick(&mut self, front: u32) {
        let (now, clock) = (self.queue.now(), self.clock(front));
        match self.spec.sharing {
            BudgetSharing::Escrow => {
                let state = &mut self.fronts[front as usize];
                let Some((escrow, borrower)) = state.escrow.as_mut() else { return };
                for (to, message) in borrower.poll(clock, escrow, |_| true) {
                    self.send(front, to, Datagram::Message(message.encode()));
                }
            }
            BudgetSharing::LiveCount
                if now / HEARTBEAT_INTERVAL != (now + TICK_INTERVAL) / HEARTBEAT_INTERVAL =>
            {
                // To a tenth of the fleet at a time, so that each front reaches every other one within a
                // second.
                let fronts = self.spec.fronts;
                let first = ((now / HEARTBEAT_INTERVAL) as u32 + front) % 10;
                for to in (0..fronts).filter(|to| to % 10 == first && *to != front) {
                    self.send(front, to, Datagram::Heartbeat);
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, from: u32, to: u32, datagram: Datagram) {
        let now = self.queue.now();
        let size = match &datagram {
            Datagram::Message(bytes) => bytes.len(),
            Datagram::Heartbeat => 8,
        };
        self.tally.messages += 1;
        self.tally.bytes += size as u64;
        if now < self.fronts[from as usize].outbound_lost_until {
            return;
        }
        for at in self.links[from as usize].datagram(now, size) {
            self.queue.schedule(at, Event::Arrival(from, to, datagram.clone()));
        }
    }

    fn receive(&mut self, from: u32, to: u32, datagram: &Datagram) {
        let (now, clock) = (self.queue.now(), self.clock(to));
        let state = &mut self.fronts[to as usize];
        if now < state.inbound_lost_until {
            return;
        }
        match datagram {
            Datagram::Heartbeat => state.last_heartbeat[from as usize] = now,
            Datagram::Message(bytes) => {
                let (Ok(message), Some((escrow, borrower))) =
                    (BudgetMessage::decode(bytes), state.escrow.as_mut())
                else {
                    return;
                };
                let reserve = borrower.reserve(clock, escrow);
                if let Some(answer) = escrow.handle(clock, from, &message, reserve) {
                    self.send(to, from, Datagram::Message(answer.encode()));
                }
            }
        }
    }

    fn utilization(&self) -> f64 {
        let spendable = |requested: u64| requested.min(u64::from(self.spec.units));
        let spendable: u64 = self.windows.iter().map(|(requested, _)| spendable(*requested)).sum();
        let spent: u64 = self.windows.iter().map(|(_, spent)| (*spent).min(u64::from(self.spec.units))).sum();
        spent as f64 / spendable.max(1) as f64
    }
}

/// Removes what was spent before the window that ends now.
fn expire(spent: &mut VecDeque<Micros>, now: Micros, window: Micros) {
    while spent.front().is_some_and(|at| at + window <= now) {
        spent.pop_front();
    }
}

/// Random faults for a fleet: crashes, pauses of about a lease's length, inbound or outbound loss, clock
/// jumps.
pub fn random_budget_faults(
    fronts: u32,
    duration: Micros,
    lease: Micros,
    seed: u64,
) -> Vec<(Micros, u32, BudgetFault)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xb0d9e7);
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(2..=8) {
        let at = rng.random_range(0..duration.max(1));
        // One front, a third of them, or all but a few.
        let share = [1.0 / f64::from(fronts), 0.33, 0.9][rng.random_range(0..3)];
        let outage = rng.random_range(lease / 2..lease * 3 / 2);
        let kind = rng.random_range(0..6);
        let affected: BTreeSet<u32> = (0..fronts).filter(|_| rng.random_bool(share)).collect();
        for front in affected {
            let fault = match kind {
                0 => BudgetFault::Crash(Some(rng.random_range(0..2_000_000))),
                1 => BudgetFault::Pause(outage),
                2 => BudgetFault::InboundLoss(outage * 3),
                3 => BudgetFault::OutboundLoss(outage * 3),
                4 => BudgetFault::ClockJump(5_000_000),
                _ => BudgetFault::ClockJump(-5_000_000),
            };
            faults.push((at + rng.random_range(0..100_000), front, fault));
        }
    }
    faults
}
