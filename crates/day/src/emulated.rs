//! Runs a scenario in virtual time: the same scenario, session layers, peers and models as on sockets,
//! without sockets.

use baydrift::interface::{Micros, ServerState};
use baydrift_audit::RecordEvent;
use baydrift_desk::{PoolEntry, PoolList};
use baydrift_emulator::{Command, Fault, Offers, Place, Roughness, World, WorldSpec};
use baydrift_front::{FrontError, Snapshot};

use crate::cast::{callers, config_of, far_ends, host_of, linked, server_spec, sessions, texts, usual};
use crate::course::{Course, Hands, Listed, Pool, Process, SERVES_FOR};
use crate::error::DayError;
use crate::run::{outcome, policy_of, settle_time, Outcome};
use crate::script::{Day, Party, Policy};

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
            self.world.kill(front, Some(0));
        }
        self.world.run_until(until);
    }
}

impl Hands for VirtualRun {
    fn command(&mut self, server: usize, command: Command) {
        self.world.command(server, command);
    }

    fn link(&mut self, server: usize, fault: Fault) {
        self.world.set_link(server, fault);
    }

    fn offer(&mut self, front: usize, offers: &Offers) {
        self.world.offer(Some(front), offers);
    }

    fn stall(&mut self, front: usize, span: Micros) {
        self.world.stall(front, span);
    }

    fn lose_messages(&mut self, share: f64) {
        self.world.lose_messages(share);
    }

    fn list(&mut self, due: Micros, pool: &Pool) {
        self.version += 1;
        let entry = |(number, (state, started)): (usize, &(Listed, Option<Micros>))| PoolEntry {
            host: host_of(number),
            state: match *state {
                Listed::Ready => ServerState::Ready,
                Listed::Draining => ServerState::Draining,
                Listed::Gone => ServerState::Gone,
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
                ready: *state == Listed::Ready,
                by_list: true,
            });
            self.world.push_list(due, front, list.clone(), events.collect());
        }
    }

    fn record(&mut self, event: RecordEvent) {
        self.world.record(event);
    }

    fn process(&mut self, fault: Process) {
        let place = |party| match party {
            Party::Front(front) => Place::Front(front),
            Party::Server(server) => Place::Server(server),
            Party::List => Place::List,
        };
        match fault {
            // In virtual time an orderly stop is a kill: graceful shutdown belongs to the transport.
            Process::Stop { front, back_after, start, .. } => {
                self.world.kill(front, back_after.map(|back| back + start.slow));
            }
            // A front in virtual time has no descriptors, and shares its memory with the driver.
            Process::Starve { .. } => {}
            Process::Crash { front, times } => {
                self.pending_kills
                    .extend((0..times).map(|n| (self.world.now() + u64::from(n) * SERVES_FOR, front)));
                self.pending_kills.sort_unstable();
            }
            // A stopped process reads nothing; in virtual time the server answers nothing instead.
            Process::Freeze { server, frozen } => self.world.command(server, Command::Hang(frozen)),
            Process::Sever { from, to, severed } => self.world.sever(place(from), place(to), severed),
            Process::Reset { server } => self.world.reset(server),
        }
    }
}

/// Runs a scenario in virtual time; equal scenarios give byte-identical records. `progress` is called for
/// each fault.
///
/// # Errors
/// If the scenario does not give a valid configuration for the fronts.
pub fn run_virtual(day: &Day, mut progress: impl FnMut(f64, &str)) -> Result<Outcome, DayError> {
    if day.policy == Policy::RoundRobin {
        day.without_processes()?;
    }
    let addrs: Vec<_> = (0..day.servers.rates.len())
        .map(|number| std::net::SocketAddr::from(([127, 0, 0, 1], 20_000 + number as u16)))
        .collect();
    let mut fronts = Vec::new();
    for ordinal in 0..day.fronts {
        let config = config_of(day, ordinal, &addrs)?;
        let policy = policy_of(day, &config);
        fronts.push((config, policy));
    }
    let world = World::new(WorldSpec {
        fronts,
        servers: (0..sessions(day)).map(|number| server_spec(day, number)).collect(),
        far_ends: far_ends(day),
        callers: (0..day.fronts).map(|ordinal| callers(day, ordinal)).collect(),
        texts: (0..day.fronts).flat_map(|ordinal| texts(day, ordinal)).collect(),
        offers: usual(day),
        linked: linked(day),
        link_delay: day.servers.link_delay,
        datagrams_lost: day.datagrams_lost,
        seed: day.seed,
        roughness: Roughness::default(),
    });
    let world = world.map_err(FrontError::Engine)?;
    let mut run = VirtualRun { world, version: 0, fronts: day.fronts as usize, pending_kills: Vec::new() };
    run.world.run_until(LINK_SETUP_TIME);
    run.world.begin();
    let mut course = Course::new(day, LINK_SETUP_TIME);
    while run.world.now() < course.end() {
        run.run_until(course.next());
        let now = run.world.now();
        course.act(now, &mut run, &mut progress);
    }
    course.close(&mut run);
    let end = run.world.now() + settle_time(day);
    run.run_until(end);
    let snapshots = (0..run.fronts).filter_map(|front| {
        let desk = run.world.desk(front)?;
        Some(Snapshot {
            counts: desk.counts().clone(),
            held: desk.held(),
            held_back: desk.held_back(),
            faults: desk.faults(),
            ..Snapshot::default()
        })
    });
    let snapshots = snapshots.collect();
    Ok(outcome(day, run.world.into_lines(), snapshots))
}
