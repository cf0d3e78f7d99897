//! Runs a scenario with every front and stand-in as a separate process, and relays with faults between them.
//!
//! The callers run in the driver. Each server and the list service is a process that runs its [`role`]; each
//! front is the program itself, started as an operator would start it. The record is judged as that of every
//! other driver.

mod child;
mod process_run;
mod relays;
mod role;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift_audit::{RecordEvent, Recorder};
use baydrift_standin::{Caller, DatagramRelay as ClientRelay, TextCaller};
use tokio::sync::watch;

pub use child::Program;
pub use role::{run_stand_in, StandInError};

use self::process_run::{FrontProcess, ProcessRun, StandInProcess};
use self::relays::{GossipRelay, RecordedLink, RelayFaults, StreamRelay};
use self::role::{Role, StandInSpec};
use crate::error::ScenarioError;
use crate::run::{drive_schedule, outcome, settle_time, Outcome};
use crate::scenario::{Scenario, Start};
use crate::topology::{
    config_text_at, diameter_callers, diameter_server_count, normal_load, text_caller_specs, FrontAddrs,
};

/// A process that is not ready within this time has failed to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// A process that has not exited this long after being asked to is killed and reported.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Wait before the first call, in which the links to servers come up.
const LINK_SETUP_TIME: Duration = Duration::from_millis(300);

/// Starts the processes of a run.
pub(crate) struct Launcher {
    program: Program,
    day: Scenario,
    recorder: Arc<Recorder>,
}

impl Launcher {
    /// Starts a stand-in; returns it with the address where it listens, if it does.
    async fn start_stand_in(
        &self,
        name: &str,
        role: Role,
    ) -> Result<(StandInProcess, Option<SocketAddr>), ScenarioError> {
        let spec = StandInSpec { origin: self.recorder.origin(), day: self.day.clone(), role };
        StandInProcess::start(&self.program, name, &spec, self.recorder.clone()).await
    }

    /// Starts a front at the given addresses, where port 0 is any free port; returns it with its actual
    /// addresses.
    async fn start_front(
        &self,
        ordinal: u32,
        servers: &[SocketAddr],
        places: &FrontAddrs,
        start: Start,
    ) -> Result<(FrontProcess, FrontAddrs), ScenarioError> {
        let text = config_text_at(&self.day, ordinal, servers, self.day.fronts > 1, places);
        let name = format!("front{ordinal}");
        let path = self.program.log_dir.join(format!("{name}.kdl"));
        std::fs::write(&path, text)?;
        FrontProcess::start(&self.program, &name, &path, self.day.fronts > 1, places, start).await
    }
}

/// Runs a scenario with processes of `program`; `progress` is called once a second and for each fault.
///
/// # Errors
/// If a process or relay cannot start, or the scenario needs what only the other drivers support.
pub async fn run_processes(
    day: &Scenario,
    program: Program,
    mut progress: impl FnMut(f64, &str),
) -> Result<Outcome, ScenarioError> {
    if day.servers.trunked > 0 {
        return Err(ScenarioError::Start {
            name: "far ends of trunk groups".to_owned(),
            why: "trunk groups are supported on sockets and in virtual time, not with --processes".to_owned(),
        });
    }
    let recorder = Arc::new(Recorder::default());
    let relay_faults = Arc::new(RelayFaults::default());
    let launcher = Arc::new(Launcher { program, day: day.clone(), recorder: recorder.clone() });
    let mut servers = Vec::new();
    let mut server_addrs = Vec::new();
    for number in 0..diameter_server_count(day) {
        let role = Role::Server { number, restart: None };
        let (server, addr) = launcher.start_stand_in(&format!("server{number}"), role).await?;
        server_addrs.push(addr.ok_or(ScenarioError::Ended)?);
        servers.push(server);
    }
    let relay_seed = |kind: u64, a: usize, b: usize| day.seed ^ kind << 48 ^ (a as u64) << 24 ^ b as u64;
    let mut server_relays: Vec<Vec<StreamRelay>> = Vec::new();
    for front in 0..day.fronts as usize {
        let mut front_relays = Vec::new();
        for (server, addr) in server_addrs.iter().enumerate() {
            let link = RecordedLink { front: front as u32, server: server as u16 };
            let seed = relay_seed(1, front, server);
            let relay =
                StreamRelay::start(*addr, day.net, seed, Some(link), recorder.clone(), relay_faults.clone());
            front_relays.push(relay.await?);
        }
        server_relays.push(front_relays);
    }
    // Each pair of fronts communicates over one relay; each reaches the other at the relay's address.
    let mut others = vec![Vec::new(); day.fronts as usize];
    let mut gossip_relays = Vec::new();
    for a in 0..day.fronts as usize {
        for b in a + 1..day.fronts as usize {
            let relay = GossipRelay::start(
                day.net,
                relay_seed(2, a, b),
                [a as u32, b as u32],
                recorder.clone(),
                relay_faults.clone(),
            )
            .await?;
            others[a].push((b as u32, relay.addr));
            others[b].push((a as u32, relay.addr));
            gossip_relays.push((a, b, relay));
        }
    }
    let (mut fronts, mut list_relays) = (Vec::new(), Vec::new());
    for (ordinal, others) in others.into_iter().enumerate() {
        let addrs: Vec<_> = server_relays[ordinal].iter().map(|relay| relay.addr).collect();
        let places =
            FrontAddrs { peers: others, ..FrontAddrs::for_process(std::process::id(), ordinal as u32) };
        let (front, places) = launcher.start_front(ordinal as u32, &addrs, &places, Start::default()).await?;
        let seed = relay_seed(3, ordinal, 0);
        list_relays.push(
            StreamRelay::start(places.pool, day.net, seed, None, recorder.clone(), relay_faults.clone())
                .await?,
        );
        fronts.push((front, places, addrs));
    }
    for (a, b, relay) in &gossip_relays {
        relay.between(fronts[*a].1.fleet, fronts[*b].1.fleet);
    }
    let role = Role::List { fronts: list_relays.iter().map(|relay| relay.addr).collect() };
    let (list, _) = launcher.start_stand_in("list", role).await?;

    tokio::time::sleep(LINK_SETUP_TIME).await;
    let (mut session_callers, mut offers) = (Vec::new(), Vec::new());
    let mut text_callers = Vec::new();
    for (ordinal, (_, places, _)) in fronts.iter().enumerate() {
        let (offers_tx, offers_rx) = watch::channel(normal_load(day));
        for (spec, seed) in text_caller_specs(day, ordinal as u32) {
            let relay = ClientRelay::start(seed, None).await?;
            relay.to(places.text);
            let (offers_rx, recorder) = (offers_rx.clone(), recorder.clone());
            text_callers.push((TextCaller::start(spec, relay.addr, offers_rx, recorder, seed).await?, relay));
        }
        let (spec, seed) = diameter_callers(day, ordinal as u32);
        session_callers.push(Caller::start(spec, places.clients, offers_rx, recorder.clone(), seed));
        offers.push(offers_tx);
    }
    let mut run = ProcessRun::new(
        launcher.clone(),
        servers,
        server_addrs,
        fronts,
        list,
        server_relays,
        list_relays,
        gossip_relays,
        offers,
    );
    drive_schedule(day, &recorder, &mut run, &mut progress).await;
    tokio::time::sleep(Duration::from_micros(settle_time(day))).await;
    // Restarts in progress are completed before the processes are stopped; what they record after this is
    // discarded.
    recorder.put(RecordEvent::End);
    let ended = recorder.now();
    drop((session_callers, text_callers));
    let (notes, process_faults) = run.close().await;
    let mut lines = recorder.lines();
    lines.retain(|entry| entry.at <= ended && entry.event != RecordEvent::End);
    let driver_notes = notes.into_iter().chain(relay_faults.summary()).collect();
    Ok(Outcome { process_faults, driver_notes, ..outcome(day, lines, Vec::new()) })
}
