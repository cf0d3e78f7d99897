//! The processes of a run in progress, and the application of the fault schedule to them.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use baydrift::interface::Micros;
use baydrift_audit::{RecordEvent, Recorder};
use baydrift_emulator::{Command, LinkFault, OfferedLoad};
use serde_json::Value;
use tokio::io::{AsyncWriteExt, BufReader, Lines};
use tokio::process::ChildStdout;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};

use super::child::{Child, Program};
use super::relays::{GossipRelay, StreamRelay};
use super::role::{DriverCommand, Role, StandInMessage, StandInSpec};
use super::{Launcher, START_TIMEOUT, STOP_TIMEOUT};
use crate::error::ScenarioError;
use crate::scenario::{Participant, ResourceLimit, Start as NextStart};
use crate::timeline::{FaultInjector, Pool, ProcessFault, CRASH_INTERVAL};
use crate::topology::FrontAddrs;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads the next line that a starting process prints.
async fn next_line(
    lines: &mut Lines<BufReader<ChildStdout>>,
    child: &Child,
) -> Result<String, ScenarioError> {
    let failed = |why: String| ScenarioError::Start { name: child.name.clone(), why };
    let line = tokio::time::timeout(START_TIMEOUT, lines.next_line()).await;
    let line = line.map_err(|_| failed(format!("no output within {} s", START_TIMEOUT.as_secs())))??;
    if let Some(line) = line {
        return Ok(line);
    }
    child.wait().await;
    Err(failed(child.crash().unwrap_or_else(|| "its standard output was closed".to_owned())))
}

/// A process that runs one stand-in.
pub(crate) struct StandInProcess {
    child: Arc<Child>,
    commands: mpsc::UnboundedSender<DriverCommand>,
    /// Finishes once everything the process sent has been recorded.
    recorded: JoinHandle<()>,
}

impl StandInProcess {
    pub(crate) async fn start(
        program: &Program,
        name: &str,
        spec: &StandInSpec,
        recorder: Arc<Recorder>,
    ) -> Result<(Self, Option<SocketAddr>), ScenarioError> {
        let failed = |why: String| ScenarioError::Start { name: name.to_owned(), why };
        let mut child = Child::start(program, name, &["stand-in"])?;
        let mut stdin = child.stdin.take().ok_or(ScenarioError::Ended)?;
        let mut lines = child.lines().ok_or(ScenarioError::Ended)?;
        let mut text = serde_json::to_string(spec).map_err(|e| failed(e.to_string()))?;
        text.push('\n');
        stdin.write_all(text.as_bytes()).await?;
        let mut early_entries = Vec::new();
        let addr = loop {
            match serde_json::from_str(&next_line(&mut lines, &child).await?) {
                Ok(StandInMessage::Ready(addr)) => break addr,
                Ok(StandInMessage::Record(entry)) => early_entries.push(entry),
                Err(error) => return Err(failed(error.to_string())),
            }
        };
        early_entries.into_iter().for_each(|entry| recorder.add(entry));
        let recorded = tokio::spawn(async move {
            while let Ok(Some(text)) = lines.next_line().await {
                // A killed process may leave an incomplete last line, which is discarded.
                if let Ok(StandInMessage::Record(entry)) = serde_json::from_str(&text) {
                    recorder.add(entry);
                }
            }
        });
        let (commands, mut pending) = mpsc::unbounded_channel::<DriverCommand>();
        tokio::spawn(async move {
            while let Some(command) = pending.recv().await {
                let Ok(mut text) = serde_json::to_string(&command) else { continue };
                text.push('\n');
                if stdin.write_all(text.as_bytes()).await.is_err() || stdin.flush().await.is_err() {
                    return;
                }
            }
        });
        Ok((Self { child: Arc::new(child), commands, recorded }, addr))
    }

    fn send(&self, command: DriverCommand) {
        let _ = self.commands.send(command);
    }

    /// Closes its standard input, on which it exits. Returns a description of the fault if it had crashed or
    /// does not exit in time.
    async fn stop(self) -> Option<String> {
        let Self { child, commands, recorded } = self;
        let crash = child.crash();
        child.freeze(false);
        child.expect_end();
        drop(commands);
        let in_time = child.wait_or_kill(STOP_TIMEOUT).await;
        let _ = recorded.await;
        crash.or_else(|| (!in_time).then(|| format!("{} did not end with its input", child.name)))
    }
}

/// A process that runs one front.
pub(crate) struct FrontProcess {
    child: Arc<Child>,
}

impl FrontProcess {
    pub(crate) async fn start(
        program: &Program,
        name: &str,
        config: &Path,
        has_peers: bool,
        places: &FrontAddrs,
        start: NextStart,
    ) -> Result<(Self, FrontAddrs), ScenarioError> {
        let config = config.to_string_lossy();
        let clock_offset = start.clock_off.to_string();
        let front_program = program.front_program.as_deref().map(Path::to_string_lossy);
        // An older build may not support `--tied`: a tied process of this build replaces itself with it
        // (`become`).
        let mut args = front_program.as_ref().map_or(Vec::new(), |path| vec!["become", path.as_ref(), "--"]);
        args.extend(["front", &config]);
        if start.clock_off != 0 {
            args.extend(["--clock-off", &clock_offset]);
        }
        let mut child = Child::start(program, name, &args)?;
        if start.slow > 0 {
            child.freeze(true);
            tokio::time::sleep(Duration::from_micros(start.slow)).await;
            child.freeze(false);
        }
        let mut lines = child.lines().ok_or(ScenarioError::Ended)?;
        let mut places = places.clone();
        let mut missing_listeners = 3 + usize::from(has_peers);
        while missing_listeners > 0 {
            let line: Value = serde_json::from_str(&next_line(&mut lines, &child).await?).unwrap_or_default();
            let addr = line["addr"].as_str().and_then(|addr| addr.parse().ok());
            let place = match line["listen"].as_str() {
                Some("diameter") => &mut places.clients,
                Some("pool") => &mut places.pool,
                Some("fleet") => &mut places.fleet,
                Some("h248-udp") => &mut places.text,
                _ => continue,
            };
            *place = addr.unwrap_or(*place);
            missing_listeners -= 1;
        }
        // Drains its standard output, so that it never blocks on a full pipe.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok((Self { child: Arc::new(child) }, places))
    }
}

/// A front of the run: its current process, if any, and what is needed to restart it.
struct FrontSlot {
    ordinal: u32,
    process: Mutex<Option<Arc<Child>>>,
    places: FrontAddrs,
    servers: Vec<SocketAddr>,
}

/// A server of the run, across restarts of its process.
struct ServerSlot {
    process: Mutex<Option<StandInProcess>>,
    addr: SocketAddr,
    /// Origin-State-Id of the current process.
    state: Mutex<u32>,
}

/// All processes of a run and the relays between them.
pub(crate) struct ProcessRun {
    launcher: Arc<Launcher>,
    servers: Vec<Arc<ServerSlot>>,
    fronts: Vec<Arc<FrontSlot>>,
    list: StandInProcess,
    /// Relays from fronts to servers, by front and server.
    server_relays: Vec<Vec<StreamRelay>>,
    /// Relays from the list service, by front.
    list_relays: Vec<StreamRelay>,
    /// The relay between each pair of fronts.
    gossip_relays: Vec<(usize, usize, GossipRelay)>,
    offers: Vec<watch::Sender<OfferedLoad>>,
    /// Faults and restarts in progress.
    tasks: JoinSet<()>,
    faults: Arc<Mutex<Vec<String>>>,
}

impl ProcessRun {
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn new(
        launcher: Arc<Launcher>,
        servers: Vec<StandInProcess>,
        addrs: Vec<SocketAddr>,
        fronts: Vec<(FrontProcess, FrontAddrs, Vec<SocketAddr>)>,
        list: StandInProcess,
        server_relays: Vec<Vec<StreamRelay>>,
        list_relays: Vec<StreamRelay>,
        gossip_relays: Vec<(usize, usize, GossipRelay)>,
        offers: Vec<watch::Sender<OfferedLoad>>,
    ) -> Self {
        let server_slot = |(stand_in, addr)| {
            Arc::new(ServerSlot { process: Mutex::new(Some(stand_in)), addr, state: Mutex::new(1) })
        };
        let front_slot =
            |(ordinal, (front, places, servers)): (usize, (FrontProcess, FrontAddrs, Vec<SocketAddr>))| {
                let process = Mutex::new(Some(front.child));
                Arc::new(FrontSlot { ordinal: ordinal as u32, process, places, servers })
            };
        Self {
            launcher,
            servers: servers.into_iter().zip(addrs).map(server_slot).collect(),
            fronts: fronts.into_iter().enumerate().map(front_slot).collect(),
            list,
            server_relays,
            list_relays,
            gossip_relays,
            offers,
            tasks: JoinSet::new(),
            faults: Arc::default(),
        }
    }

    /// Stops all processes. Returns notes on the network and resource usage, and the faults of processes that
    /// exited by themselves or did not exit when asked to.
    pub(crate) async fn close(mut self) -> (Vec<String>, Vec<String>) {
        while self.tasks.join_next().await.is_some() {}
        let mut faults = std::mem::take(&mut *lock(&self.faults));
        let fronts: Vec<_> = self.fronts.iter().filter_map(|slot| lock(&slot.process).take()).collect();
        let usage: Vec<_> = fronts.iter().filter_map(|front| front.usage()).collect();
        for front in &fronts {
            faults.extend(front.crash());
            front.freeze(false);
            front.terminate();
        }
        for front in fronts {
            if !front.wait_or_kill(STOP_TIMEOUT).await {
                faults.push(format!(
                    "{} did not end within {} s of SIGTERM",
                    front.name,
                    STOP_TIMEOUT.as_secs()
                ));
            }
        }
        faults.extend(self.list.stop().await);
        let stand_ins: Vec<_> = self.servers.iter().filter_map(|slot| lock(&slot.process).take()).collect();
        for server in stand_ins {
            faults.extend(server.stop().await);
        }
        let opened: u64 =
            self.server_relays.iter().flatten().chain(&self.list_relays).map(StreamRelay::opened).sum();
        let datagrams: u64 = self.gossip_relays.iter().map(|(.., relay)| relay.datagrams()).sum();
        let traffic = format!("{opened} connections and {datagrams} datagrams crossed the net");
        let (cores, memory): (Vec<f64>, Vec<f64>) = usage.into_iter().unzip();
        let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
        let max = |all: &[f64]| all.iter().copied().fold(0.0, f64::max);
        let usage = format!(
            "a front used {:.4} of a core on the mean and {:.4} at most, {:.1} and {:.1} MB; {} still ran",
            mean(&cores),
            max(&cores),
            mean(&memory),
            max(&memory),
            cores.len()
        );
        (vec![traffic, usage], faults)
    }

    fn front(&self, front: usize) -> Option<Arc<Child>> {
        lock(&self.fronts[front].process).clone().filter(|child| child.is_running())
    }

    fn stop_front(&mut self, front: usize, kill: bool, back_after: Option<Micros>, start: NextStart) {
        let (slot, launcher, faults) =
            (self.fronts[front].clone(), self.launcher.clone(), self.faults.clone());
        // Taken immediately, so that later faults find no process to act on.
        let Some(child) = lock(&slot.process).take() else { return };
        record_crash(&child, &faults);
        self.tasks.spawn(async move {
            stop_front_process(&launcher, &slot, child, kill, &faults).await;
            if let Some(back) = back_after {
                tokio::time::sleep(Duration::from_micros(back)).await;
                start_front_process(&launcher, &slot, start, &faults).await;
            }
        });
    }

    /// Limits a resource of a front's process, or lifts the limit. A process that exits because of it counts
    /// as a crash.
    fn limit_front(&mut self, front: usize, of: ResourceLimit, starved: bool) {
        let Some(child) = self.front(front) else { return };
        if let Err(error) = child.limit(of, starved) {
            lock(&self.faults).push(format!("{}: its limit cannot be set: {error}", child.name));
        }
    }

    fn crash_front(&mut self, front: usize, times: u32) {
        let (slot, launcher, faults) =
            (self.fronts[front].clone(), self.launcher.clone(), self.faults.clone());
        self.tasks.spawn(async move {
            for _ in 0..times {
                let Some(child) = lock(&slot.process).take() else { return };
                stop_front_process(&launcher, &slot, child, true, &faults).await;
                start_front_process(&launcher, &slot, NextStart::default(), &faults).await;
                tokio::time::sleep(Duration::from_micros(CRASH_INTERVAL)).await;
            }
        });
    }

    fn kill_server(&mut self, server: usize, back_after: Option<Micros>) {
        let (slot, launcher, faults) =
            (self.servers[server].clone(), self.launcher.clone(), self.faults.clone());
        let Some(stand_in) = lock(&slot.process).take() else { return };
        self.tasks.spawn(async move {
            stand_in.child.kill();
            stand_in.child.wait().await;
            // All its events are recorded before its exit.
            let _ = stand_in.recorded.await;
            launcher.recorder.put(RecordEvent::ServerExited { server: server as u16 });
            let Some(back) = back_after else { return };
            tokio::time::sleep(Duration::from_micros(back)).await;
            let state = {
                let mut state = lock(&slot.state);
                *state += 1;
                *state
            };
            let role = Role::Server { number: server, restart: Some((slot.addr, state)) };
            match launcher.start_stand_in(&format!("server{server}"), role).await {
                Ok((stand_in, _)) => *lock(&slot.process) = Some(stand_in),
                Err(error) => lock(&faults).push(error.to_string()),
            }
        });
    }

    fn sever(&mut self, from: Participant, to: Participant, severed: bool) {
        match (from, to) {
            (Participant::Front(front), Participant::Server(server)) => {
                self.server_relays[front][server].update(|state| state.forward_severed = severed);
            }
            (Participant::Server(server), Participant::Front(front)) => {
                self.server_relays[front][server].update(|state| state.backward_severed = severed);
                let (server, front) = (server as u16, front as u32);
                let event = if severed {
                    RecordEvent::Unresponsive { server, front }
                } else {
                    RecordEvent::Responsive { server, front }
                };
                self.launcher.recorder.put(event);
            }
            (Participant::List, Participant::Front(front)) => {
                self.list_relays[front].update(|state| state.forward_severed = severed)
            }
            (Participant::Front(front), Participant::List) => {
                self.list_relays[front].update(|state| state.backward_severed = severed)
            }
            (Participant::Front(a), Participant::Front(b)) => {
                for (first, second, relay) in &self.gossip_relays {
                    if (*first, *second) == (a, b) {
                        relay.sever(0, severed);
                    } else if (*first, *second) == (b, a) {
                        relay.sever(1, severed);
                    }
                }
            }
            // Servers and the list service do not communicate.
            _ => {}
        }
    }
}

/// Adds a description of the child's crash to `faults`, if it crashed.
fn record_crash(child: &Child, faults: &Mutex<Vec<String>>) {
    lock(faults).extend(child.crash());
}

async fn stop_front_process(
    launcher: &Launcher,
    slot: &FrontSlot,
    child: Arc<Child>,
    kill: bool,
    faults: &Mutex<Vec<String>>,
) {
    let front = slot.ordinal;
    if kill {
        launcher.recorder.put(RecordEvent::FrontKilled { front });
        child.kill();
        child.wait().await;
        return;
    }
    child.terminate();
    if !child.wait_or_kill(STOP_TIMEOUT).await {
        let text = format!("{} did not end within {} s of SIGTERM", child.name, STOP_TIMEOUT.as_secs());
        lock(faults).push(text);
    }
    // Recorded only now: until its exit it had to answer the calls that it had accepted.
    launcher.recorder.put(RecordEvent::FrontKilled { front });
}

async fn start_front_process(
    launcher: &Launcher,
    slot: &FrontSlot,
    start: NextStart,
    faults: &Mutex<Vec<String>>,
) {
    match launcher.start_front(slot.ordinal, &slot.servers, &slot.places, start).await {
        Ok((front, _)) => {
            launcher.recorder.put(RecordEvent::FrontStarted { front: slot.ordinal });
            *lock(&slot.process) = Some(front.child);
        }
        Err(error) => lock(faults).push(error.to_string()),
    }
}

impl FaultInjector for ProcessRun {
    fn command(&mut self, server: usize, command: Command) {
        if let Command::Die(back_after) = command {
            return self.kill_server(server, back_after);
        }
        if let Some(stand_in) = &*lock(&self.servers[server].process) {
            stand_in.send(DriverCommand::Command(command));
        }
    }

    fn set_link_fault(&mut self, server: usize, fault: LinkFault) {
        for front in &self.server_relays {
            front[server]
                .update(|state| (state.down, state.backward_severed) = (fault.down, fault.stalled_back));
        }
    }

    fn set_offered_load(&mut self, front: usize, offers: &OfferedLoad) {
        self.offers[front].send_replace(offers.clone());
    }

    fn stall(&mut self, front: usize, span: Micros) {
        let Some(child) = self.front(front) else { return };
        let recorder = self.launcher.recorder.clone();
        recorder.put(RecordEvent::Stall { front: front as u32, us: span });
        child.freeze(true);
        self.tasks.spawn(async move {
            tokio::time::sleep(Duration::from_micros(span)).await;
            child.freeze(false);
        });
    }

    fn lose_messages(&mut self, share: f64) {
        self.gossip_relays.iter().for_each(|(.., relay)| relay.lose(share));
    }

    fn publish_list(&mut self, due: Micros, pool: &Pool) {
        self.list.send(DriverCommand::List { due, pool: pool.clone() });
    }

    fn record(&mut self, event: RecordEvent) {
        self.launcher.recorder.put(event);
    }

    fn apply_process_fault(&mut self, fault: ProcessFault) {
        match fault {
            ProcessFault::Stop { front, kill, back_after, start } => {
                self.stop_front(front, kill, back_after, start);
            }
            ProcessFault::Starve { front, of, starved } => self.limit_front(front, of, starved),
            ProcessFault::Crash { front, times } => self.crash_front(front, times),
            ProcessFault::Freeze { server, frozen } => {
                if let Some(stand_in) = &*lock(&self.servers[server].process) {
                    stand_in.child.freeze(frozen);
                }
            }
            ProcessFault::Sever { from, to, severed } => self.sever(from, to, severed),
            ProcessFault::Reset { server } => {
                self.server_relays.iter().for_each(|front| front[server].update(|state| state.resets += 1));
            }
        }
    }
}
