//! Runs a scenario in virtual time: the same scenario, session layers, peers and models as on sockets,
//! without sockets.

use baydrift::interface::{Micros, ServerState};
use baydrift_audit::RecordEvent;
use baydrift_desk::{PoolEntry, PoolList};
use baydrift_emulator::{Command, DelayModel, LinkFault, OfferedLoad, ProcessId, World, WorldSpec};
use baydrift_front::{FrontError, Snapshot};

use crate::error::ScenarioError;
use crate::run::{outcome, policy_of, settle_time, Outcome};
use crate::scenario::{Participant, Policy, Scenario};
use crate::timeline::{FaultInjector, ListedState, Pool, ProcessFault, Timeline, CRASH_INTERVAL};
use crate::topology::{
    diameter_callers, diameter_server_count, far_end_specs, front_config, linked_servers, normal_load,
    server_host, server_spec, text_caller_specs,
};

/// Virtual time before the first call, in which the links to servers come up.
const LINK_SETUP_TIME: Micros = 200_000;

/// A run in virtual time and the kills that are still due.
struct VirtualRun {
    world: World,
    version: u64,
    fronts: usize,
    /// Times of the kills still due, each with its front, in order.
    pending_kills: Vec<(Micros, usize)>,
}

impl VirtualRun {
    /// Advances to a time, executing the kills due on the way.
    fn run_until(&mut self, until: Micros) {
        while let Some((at, front)) = self.pending_kills.first().copied().filter(|(at, _)| *at <= until) {
            self.pending_kills.remove(0);
            self.world.run_until(at);
            self.world.kill_front(front, Some(0));
        }
        self.world.run_until(until);
    }
}

impl FaultInjector for VirtualRun {
    fn command(&mut self, server: usize, command: Command) {
        self.world.command(server, command);
    }

    fn set_link_fault(&mut self, server: usize, fault: LinkFault) {
        self.world.set_link_fault(server, fault);
    }

    fn set_offered_load(&mut self, front: usize, offers: &OfferedLoad) {
        self.world.set_offered_load(Some(front), offers);
    }

    fn stall(&mut self, front: usize, span: Micros) {
        self.world.stall_front(front, span);
    }

    fn lose_messages(&mut self, share: f64) {
        self.world.set_gossip_loss(share);
    }

    fn publish_list(&mut self, due: Micros, pool: &Pool) {
        self.version += 1;
        let entry = |(number, (state, started)): (usize, &(ListedState, Option<Micros>))| PoolEntry {
            host: server_host(number),
            state: match *state {
                ListedState::Ready => ServerState::Ready,
                ListedState::Draining => ServerState::Draining,
                ListedState::Gone => ServerState::Gone,
            },
            started_ago: started.map(|at| due.saturating_sub(at)),
        };
        let list = PoolList {
            version: self.version,
            full: true,
            servers: pool.iter().enumerate().map(entry).collect(),
        };
        for front in 0..self.fronts {
            let events = pool.iter().enumerate().map(|(server, (state, _))| RecordEvent::ReadinessReported {
                server: server as u16,
                front: front as u32,
                ready: *state == ListedState::Ready,
                by_list: true,
            });
            self.world.push_list(due, front, list.clone(), events.collect());
        }
    }

    fn record(&mut self, event: RecordEvent) {
        self.world.record(event);
    }

    fn apply_process_fault(&mut self, fault: ProcessFault) {
        let place = |party| match party {
            Participant::Front(front) => ProcessId::Front(front),
            Participant::Server(server) => ProcessId::Server(server),
            Participant::List => ProcessId::List,
        };
        match fault {
            // In virtual time an orderly stop is a kill: graceful shutdown belongs to the transport.
            ProcessFault::Stop { front, back_after, start, .. } => {
                self.world.kill_front(front, back_after.map(|back| back + start.slow));
            }
            // A front in virtual time has no descriptors, and shares its memory with the driver.
            ProcessFault::Starve { .. } => {}
            ProcessFault::Crash { front, times } => {
                self.pending_kills
                    .extend((0..times).map(|n| (self.world.now() + u64::from(n) * CRASH_INTERVAL, front)));
                self.pending_kills.sort_unstable();
            }
            // A stopped process reads nothing; in virtual time the server answers nothing instead.
            ProcessFault::Freeze { server, frozen } => self.world.command(server, Command::Hang(frozen)),
            ProcessFault::Sever { from, to, severed } => {
                self.world.set_blocked(place(from), place(to), severed)
            }
            ProcessFault::Reset { server } => self.world.reset_connections(server),
        }
    }
}

/// Runs a scenario in virtual time; equal scenarios give byte-identical records. `progress` is called for
/// each fault.
///
/// # Errors
/// If the scenario does not give a valid configuration for the fronts.
pub fn run_virtual(day: &Scenario, mut progress: impl FnMut(f64, &str)) -> Result<Outcome, ScenarioError> {
    if day.policy == Policy::RoundRobin {
        day.reject_process_faults()?;
    }
    let addrs: Vec<_> = (0..day.servers.rates.len())
        .map(|number| std::net::SocketAddr::from(([127, 0, 0, 1], 20_000 + number as u16)))
        .collect();
    let mut fronts = Vec::new();
    for ordinal in 0..day.fronts {
        let config = front_config(day, ordinal, &addrs)?;
        let policy = policy_of(day, &config);
        fronts.push((config, policy));
    }
    let world = World::new(WorldSpec {
        fronts,
        servers: (0..diameter_server_count(day)).map(|number| server_spec(day, number)).collect(),
        far_ends: far_end_specs(day),
        callers: (0..day.fronts).map(|ordinal| diameter_callers(day, ordinal)).collect(),
        text_callers: (0..day.fronts).flat_map(|ordinal| text_caller_specs(day, ordinal)).collect(),
        offered_load: normal_load(day),
        faulty_links: linked_servers(day),
        link_delay: day.servers.link_delay,
        datagram_loss: day.datagrams_lost,
        seed: day.seed,
        delays: DelayModel::default(),
    });
    let world = world.map_err(FrontError::Engine)?;
    let mut run = VirtualRun { world, version: 0, fronts: day.fronts as usize, pending_kills: Vec::new() };
    run.world.run_until(LINK_SETUP_TIME);
    run.world.start_callers();
    let mut course = Timeline::new(day, LINK_SETUP_TIME);
    while run.world.now() < course.end() {
        run.run_until(course.next_due());
        let now = run.world.now();
        course.apply_due(now, &mut run, &mut progress);
    }
    course.stop_calls(&mut run);
    let end = run.world.now() + settle_time(day);
    run.run_until(end);
    let snapshots = (0..run.fronts).filter_map(|front| {
        let desk = run.world.session_layer(front)?;
        Some(Snapshot {
            counts: desk.counts().clone(),
            held: desk.held(),
            held_back: desk.held_back(),
            faults: desk.faults(),
            ..Snapshot::default()
        })
    });
    let snapshots = snapshots.collect();
    Ok(outcome(day, run.world.into_record(), snapshots))
}
