//! Simulation, in virtual time, of a fleet's membership protocol: fronts that crash, restart, pause, lose
//! inbound or outbound messages, are partitioned, or restart with clocks that were set back. The view of each
//! front is compared with the actual state of the fleet.

use baydrift::interface::Micros;
use baydrift_fleet::{LocalFront, Membership, MembershipConfig};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::event_queue::EventQueue;
use crate::network_path::{NetworkPath, NetworkPathSpec};

/// A fault of a front or of the network.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipFault {
    /// The process exits; a new one starts after this delay, if given, with its clock off by this many tenths
    /// of a second.
    Crash(Option<Micros>, i32),
    /// The process is suspended for this long.
    Pause(Micros),
    /// All messages to the front are lost for this long.
    InboundLoss(Micros),
    /// All messages from the front are lost for this long.
    OutboundLoss(Micros),
    /// The fronts below this one are partitioned from the others for this long.
    Partition(Micros),
}

/// Parameters of a simulated fleet.
#[derive(Debug, Clone)]
pub struct MembershipSpec {
    /// Number of configured fronts.
    pub fronts: u32,
    /// Timing of the membership protocol.
    pub config: MembershipConfig,
    /// Delay and loss on the links between fronts.
    pub way: NetworkPathSpec,
    /// Simulated time.
    pub duration: Micros,
    /// Faults, each with its time and front.
    pub faults: Vec<(Micros, u32, MembershipFault)>,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Result of a simulation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MembershipTally {
    /// Messages sent.
    pub messages: u64,
    /// Total size of the messages.
    pub bytes: u64,
    /// Size of the largest message.
    pub max_message_bytes: usize,
    /// Ten samples per second: the time, the number of running fronts, and the correct share of their views
    /// of the others.
    pub samples: Vec<(Micros, u32, f64)>,
    /// Pairs of fronts of which one takes the other for down although it runs and is reachable, summed over
    /// samples.
    pub false_positives: u64,
    /// Messages that a receiver rejected as malformed.
    pub rejected_messages: u64,
}

impl MembershipTally {
    /// Time from `moment` until all views were correct and stayed so; `None` if some were wrong in the last
    /// sample.
    pub fn converged_after(&self, moment: Micros) -> Option<Micros> {
        let wrong = self.samples.iter().rev().find(|(at, _, correct)| *at >= moment && *correct < 1.0);
        match wrong {
            None => Some(0),
            Some((at, ..)) if *at == self.samples.last()?.0 => None,
            Some((at, ..)) => Some(at + SAMPLE_INTERVAL - moment),
        }
    }
}

/// Maximum interval between timer events of a front.
const MAX_TICK_INTERVAL: Micros = 50_000;
/// Interval between samples of the views.
const SAMPLE_INTERVAL: Micros = 100_000;
/// Value of all clocks at the start of the simulation, in tenths of a second.
const CLOCK_START_TENTHS: u32 = 2_000_000_000;

enum Event {
    Tick(u32, u32),
    Arrival(u32, u32, Vec<u8>),
    Fault(u32, MembershipFault),
    FrontStart(u32, i32),
    Sample,
}

struct Front {
    /// Number of the current process; timer events of earlier ones are ignored.
    process: u32,
    membership: Option<Membership>,
    paused_until: Micros,
    inbound_lost_until: Micros,
    outbound_lost_until: Micros,
}

struct Fleet<'a> {
    spec: &'a MembershipSpec,
    queue: EventQueue<Event>,
    rng: Pcg64Mcg,
    links: Vec<NetworkPath>,
    fronts: Vec<Front>,
    /// The fronts below this ordinal are partitioned from the others until this time.
    partition: (u32, Micros),
    tally: MembershipTally,
}

/// Runs the simulation.
pub fn simulate_membership(spec: &MembershipSpec) -> MembershipTally {
    let front = |_| Front {
        process: 0,
        membership: None,
        paused_until: 0,
        inbound_lost_until: 0,
        outbound_lost_until: 0,
    };
    let mut fleet = Fleet {
        spec,
        queue: EventQueue::default(),
        rng: Pcg64Mcg::seed_from_u64(spec.seed),
        links: (0..spec.fronts).map(|n| NetworkPath::new(spec.way, spec.seed ^ u64::from(n) << 20)).collect(),
        fronts: (0..spec.fronts).map(front).collect(),
        partition: (0, 0),
        tally: MembershipTally::default(),
    };
    for front in 0..spec.fronts {
        let at = fleet.rng.random_range(0..1_000_000);
        fleet.queue.schedule(at, Event::FrontStart(front, 0));
    }
    for (at, front, fault) in &spec.faults {
        fleet.queue.schedule(*at, Event::Fault(*front, *fault));
    }
    fleet.queue.schedule(SAMPLE_INTERVAL, Event::Sample);
    while let Some(event) = fleet.queue.pop_until(spec.duration) {
        fleet.handle(event);
    }
    fleet.tally
}

impl Fleet<'_> {
    fn handle(&mut self, event: Event) {
        let now = self.queue.now();
        match event {
            Event::Fault(front, fault) => self.apply_fault(front, fault),
            Event::FrontStart(front, clock_offset) => self.start_front(front, clock_offset),
            Event::Sample => {
                self.sample();
                self.queue.schedule(now + SAMPLE_INTERVAL, Event::Sample);
            }
            Event::Tick(front, process) => {
                let state = &mut self.fronts[front as usize];
                let Some(membership) = state.membership.as_mut().filter(|_| state.process == process) else {
                    return;
                };
                if now < state.paused_until {
                    return self.queue.schedule(state.paused_until, Event::Tick(front, process));
                }
                let messages = membership.poll(now);
                let wake = membership.next_wake().clamp(now + 1_000, now + MAX_TICK_INTERVAL);
                self.queue.schedule(wake, Event::Tick(front, process));
                messages.into_iter().for_each(|(to, message)| self.send(front, to, message));
            }
            Event::Arrival(from, to, message) => {
                let state = &mut self.fronts[to as usize];
                if now < state.paused_until {
                    // Read shortly after the pause, by chance before or after the front's next tick.
                    let later = state.paused_until + self.rng.random_range(0..500);
                    return self.queue.schedule(later, Event::Arrival(from, to, message));
                }
                if let Some(membership) =
                    state.membership.as_mut().filter(|_| now >= state.inbound_lost_until)
                {
                    self.tally.rejected_messages +=
                        u64::from(membership.handle(now, from, &message).is_err());
                    let messages = membership.poll(now);
                    messages.into_iter().for_each(|(next, message)| self.send(to, next, message));
                }
            }
        }
    }

    fn send(&mut self, from: u32, to: u32, message: Vec<u8>) {
        let now = self.queue.now();
        self.tally.messages += 1;
        self.tally.bytes += message.len() as u64;
        self.tally.max_message_bytes = self.tally.max_message_bytes.max(message.len());
        let (border, until) = self.partition;
        let partitioned = now < until && (from < border) != (to < border);
        if partitioned || now < self.fronts[from as usize].outbound_lost_until {
            return;
        }
        for at in self.links[from as usize].datagram(now, message.len()) {
            self.queue.schedule(at, Event::Arrival(from, to, message.clone()));
        }
    }

    fn start_front(&mut self, front: u32, clock_offset: i32) {
        let now = self.queue.now();
        let tenths = CLOCK_START_TENTHS + (now / 100_000) as u32;
        let spec = LocalFront {
            ordinal: front,
            fronts: self.spec.fronts,
            incarnation: tenths.saturating_add_signed(clock_offset),
            seed: self.rng.random(),
        };
        let state = &mut self.fronts[front as usize];
        state.membership = Some(Membership::new(self.spec.config, spec, now));
        self.queue.schedule(now, Event::Tick(front, state.process));
    }

    fn apply_fault(&mut self, front: u32, fault: MembershipFault) {
        let now = self.queue.now();
        if let MembershipFault::Partition(span) = fault {
            self.partition = (front, now + span);
            return;
        }
        let Some(state) = self.fronts.get_mut(front as usize) else { return };
        match fault {
            MembershipFault::Crash(restart_after, clock_offset) => {
                if state.membership.take().is_some() {
                    state.process += 1;
                    state.paused_until = 0;
                    restart_after.into_iter().for_each(|delay| {
                        self.queue.schedule(now + delay, Event::FrontStart(front, clock_offset))
                    });
                }
            }
            MembershipFault::Pause(span) => state.paused_until = state.paused_until.max(now + span),
            MembershipFault::InboundLoss(span) => {
                state.inbound_lost_until = state.inbound_lost_until.max(now + span)
            }
            MembershipFault::OutboundLoss(span) => {
                state.outbound_lost_until = state.outbound_lost_until.max(now + span)
            }
            MembershipFault::Partition(_) => {}
        }
    }

    /// Compares the views of running fronts with the actual state.
    fn sample(&mut self) {
        let now = self.queue.now();
        let running: Vec<_> = self.fronts.iter().map(|state| state.membership.is_some()).collect();
        let reachable = |state: &Front| {
            now >= state.paused_until.max(state.inbound_lost_until).max(state.outbound_lost_until)
        };
        let (mut correct, mut all) = (0_u64, 0_u64);
        for (front, state) in self.fronts.iter().enumerate() {
            let Some(membership) = state.membership.as_ref().filter(|_| reachable(state)) else { continue };
            let mut view = vec![None; running.len()];
            membership.members().for_each(|(member, alive, _)| view[member.ordinal as usize] = Some(alive));
            for other in (0..running.len()).filter(|other| *other != front) {
                all += 1;
                correct += u64::from((view[other] == Some(true)) == running[other]);
                let is_up = running[other] && reachable(&self.fronts[other]) && now >= self.partition.1;
                self.tally.false_positives += u64::from(is_up && view[other] == Some(false));
            }
        }
        let share = if all == 0 { 1.0 } else { correct as f64 / all as f64 };
        self.tally.samples.push((now, running.iter().filter(|running| **running).count() as u32, share));
    }
}

/// Random faults for a fleet: crashes with and without a restart, some with clocks set back, pauses, inbound
/// or outbound loss, and partitions.
pub fn random_membership_faults(
    fronts: u32,
    within: Micros,
    seed: u64,
) -> Vec<(Micros, u32, MembershipFault)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x11fe);
    let count = rng.random_range(3..=8);
    let one = |rng: &mut Pcg64Mcg| {
        let (at, front) = (rng.random_range(3_000_000..within), rng.random_range(0..fronts));
        let span = rng.random_range(100_000..8_000_000);
        let fault = match rng.random_range(0..9) {
            0..=2 => {
                let clock_offset = if rng.random_bool(0.3) { rng.random_range(-3_000..=50) } else { 0 };
                MembershipFault::Crash(rng.random_bool(0.8).then_some(span), clock_offset)
            }
            3..=4 => MembershipFault::Pause(span),
            5 => MembershipFault::InboundLoss(span),
            6 => MembershipFault::OutboundLoss(span),
            _ => MembershipFault::Partition(span),
        };
        (at, front, fault)
    };
    (0..count).map(|_| one(&mut rng)).collect()
}
