//! Plays a day in virtual time: the same script, desks, peers and models, without sockets.

use baydrift::interface::{Micros, ServerState};
use baydrift_audit::RecordEvent;
use baydrift_desk::{PoolEntry, PoolList};
use baydrift_emulator::{Command, DelayModel, LinkFault, OfferedLoad, ProcessId, World, WorldSpec};
use baydrift_front::{FrontError, Snapshot};

use crate::cast::{callers, config_of, far_ends, host_of, linked, server_spec, sessions, texts, usual};
use crate::course::{Course, Hands, Listed, Pool, Process, SERVES_FOR};
use crate::error::DayError;
use crate::run::{aftermath, outcome, policy_of, Outcome};
use crate::script::{Day, Party, Policy};

/// Server links come up before the first call does.
const WARM_UP: Micros = 200_000;

struct Stage {
    world: World,
    version: u64,
    fronts: usize,
    /// Kills still to come, and of which front.
    crashes: Vec<(Micros, usize)>,
}

impl Stage {
    /// Runs until a time, with the kills on the way.
    fn run_until(&mut self, until: Micros) {
        while let Some((at, front)) = self.crashes.first().copied().filter(|(at, _)| *at <= until) {
            self.crashes.remove(0);
            self.world.run_until(at);
            self.world.kill_front(front, Some(0));
        }
        self.world.run_until(until);
    }
}

impl Hands for Stage {
    fn command(&mut self, server: usize, command: Command) {
        self.world.command(server, command);
    }

    fn link(&mut self, server: usize, fault: LinkFault) {
        self.world.set_link_fault(server, fault);
    }

    fn offer(&mut self, front: usize, offers: &OfferedLoad) {
        self.world.set_offered_load(Some(front), offers);
    }

    fn stall(&mut self, front: usize, span: Micros) {
        self.world.stall_front(front, span);
    }

    fn lose_messages(&mut self, share: f64) {
        self.world.set_gossip_loss(share);
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
            let told = pool.iter().enumerate().map(|(server, (state, _))| RecordEvent::ReadinessReported {
                server: server as u16,
                front: front as u32,
                ready: *state == Listed::Ready,
                by_list: true,
            });
            self.world.push_list(due, front, list.clone(), told.collect());
        }
    }

    fn record(&mut self, moment: RecordEvent) {
        self.world.record(moment);
    }

    fn process(&mut self, trouble: Process) {
        let place = |party| match party {
            Party::Front(front) => ProcessId::Front(front),
            Party::Server(server) => ProcessId::Server(server),
            Party::List => ProcessId::List,
        };
        match trouble {
            // In virtual time a process that is told to end is killed: an orderly stop is the coat's.
            Process::Stop { front, back_after, start, .. } => {
                self.world.kill_front(front, back_after.map(|back| back + start.slow));
            }
            // A front in virtual time holds no descriptors, and its memory is the driver's.
            Process::Starve { .. } => {}
            Process::Crash { front, times } => {
                self.crashes
                    .extend((0..times).map(|n| (self.world.now() + u64::from(n) * SERVES_FOR, front)));
                self.crashes.sort_unstable();
            }
            // It reads nothing either on processes; here it answers nothing.
            Process::Freeze { server, frozen } => self.world.command(server, Command::Hang(frozen)),
            Process::Sever { from, to, severed } => self.world.set_blocked(place(from), place(to), severed),
            Process::Reset { server } => self.world.reset_connections(server),
        }
    }
}

/// Plays a day in virtual time; equal days give equal records, to the byte.
///
/// # Errors
/// Where the fronts' configuration cannot be made of the script.
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
        text_callers: (0..day.fronts).flat_map(|ordinal| texts(day, ordinal)).collect(),
        offered_load: usual(day),
        faulty_links: linked(day),
        link_delay: day.servers.link_delay,
        datagram_loss: day.datagrams_lost,
        seed: day.seed,
        delays: DelayModel::default(),
    });
    let world = world.map_err(FrontError::Engine)?;
    let mut stage = Stage { world, version: 0, fronts: day.fronts as usize, crashes: Vec::new() };
    stage.world.run_until(WARM_UP);
    stage.world.start_callers();
    let mut course = Course::new(day, WARM_UP);
    while stage.world.now() < course.end() {
        stage.run_until(course.next());
        let now = stage.world.now();
        course.act(now, &mut stage, &mut progress);
    }
    course.close(&mut stage);
    let end = stage.world.now() + aftermath(day);
    stage.run_until(end);
    let snapshots = (0..stage.fronts).filter_map(|front| {
        let desk = stage.world.session_layer(front)?;
        Some(Snapshot {
            counts: desk.counts().clone(),
            held: desk.held(),
            held_back: desk.held_back(),
            faults: desk.faults(),
            ..Snapshot::default()
        })
    });
    let snapshots = snapshots.collect();
    Ok(outcome(day, stage.world.into_record(), snapshots))
}
