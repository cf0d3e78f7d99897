//! The processes of a day under way, and what troubles do to them.

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
use super::net::{Datagrams, Streams};
use super::role::{Hello, Order, Role, Word};
use super::{Cast, ENDS_WITHIN, STARTS_WITHIN};
use crate::cast::Places;
use crate::course::{Hands, Pool, Process, SERVES_FOR};
use crate::error::DayError;
use crate::script::{Party, Start as NextStart, Starved};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn next(lines: &mut Lines<BufReader<ChildStdout>>, child: &Child) -> Result<String, DayError> {
    let failed = |why: String| DayError::Start { name: child.name.clone(), why };
    let line = tokio::time::timeout(STARTS_WITHIN, lines.next_line()).await;
    let line = line.map_err(|_| failed(format!("it said nothing for {} s", STARTS_WITHIN.as_secs())))??;
    if let Some(line) = line {
        return Ok(line);
    }
    child.ended().await;
    Err(failed(child.crash().unwrap_or_else(|| "it ended".to_owned())))
}

/// A stand-in's process.
pub(crate) struct Actor {
    child: Arc<Child>,
    orders: mpsc::UnboundedSender<Order>,
    /// Ends once all that it told is on record.
    heard: JoinHandle<()>,
}

impl Actor {
    pub(crate) async fn start(
        program: &Program,
        name: &str,
        hello: &Hello,
        recorder: Arc<Recorder>,
    ) -> Result<(Self, Option<SocketAddr>), DayError> {
        let failed = |why: String| DayError::Start { name: name.to_owned(), why };
        let mut child = Child::start(program, name, &["stand-in"])?;
        let mut stdin = child.stdin.take().ok_or(DayError::Ended)?;
        let mut lines = child.lines().ok_or(DayError::Ended)?;
        let mut text = serde_json::to_string(hello).map_err(|e| failed(e.to_string()))?;
        text.push('\n');
        stdin.write_all(text.as_bytes()).await?;
        let mut before = Vec::new();
        let addr = loop {
            match serde_json::from_str(&next(&mut lines, &child).await?) {
                Ok(Word::Ready(addr)) => break addr,
                Ok(Word::Line(line)) => before.push(line),
                Err(error) => return Err(failed(error.to_string())),
            }
        };
        before.into_iter().for_each(|line| recorder.add(line));
        let heard = tokio::spawn(async move {
            while let Ok(Some(text)) = lines.next_line().await {
                // A line that its process could not finish before it was killed tells nothing.
                if let Ok(Word::Line(line)) = serde_json::from_str(&text) {
                    recorder.add(line);
                }
            }
        });
        let (orders, mut told) = mpsc::unbounded_channel::<Order>();
        tokio::spawn(async move {
            while let Some(order) = told.recv().await {
                let Ok(mut text) = serde_json::to_string(&order) else { continue };
                text.push('\n');
                if stdin.write_all(text.as_bytes()).await.is_err() || stdin.flush().await.is_err() {
                    return;
                }
            }
        });
        Ok((Self { child: Arc::new(child), orders, heard }, addr))
    }

    fn order(&self, order: Order) {
        let _ = self.orders.send(order);
    }

    /// Its input ends, and so does it. `None` where it did as it should.
    async fn end(self) -> Option<String> {
        let Self { child, orders, heard } = self;
        let crash = child.crash();
        child.freeze(false);
        child.expect_end();
        drop(orders);
        let by_itself = child.ended_within(ENDS_WITHIN).await;
        let _ = heard.await;
        crash.or_else(|| (!by_itself).then(|| format!("{} did not end with its input", child.name)))
    }
}

/// A front's process.
pub(crate) struct Front {
    child: Arc<Child>,
}

impl Front {
    pub(crate) async fn start(
        program: &Program,
        name: &str,
        config: &Path,
        fleet: bool,
        places: &Places,
        start: NextStart,
    ) -> Result<(Self, Places), DayError> {
        let config = config.to_string_lossy();
        let off = start.clock_off.to_string();
        let other = program.fronts_by.as_deref().map(Path::to_string_lossy);
        // An older build may not know what ties it to the driver: it takes the place of a process that is tied.
        let mut words = other.as_ref().map_or(Vec::new(), |other| vec!["become", other.as_ref(), "--"]);
        words.extend(["front", &config]);
        if start.clock_off != 0 {
            words.extend(["--clock-off", &off]);
        }
        let mut child = Child::start(program, name, &words)?;
        if start.slow > 0 {
            child.freeze(true);
            tokio::time::sleep(Duration::from_micros(start.slow)).await;
            child.freeze(false);
        }
        let mut lines = child.lines().ok_or(DayError::Ended)?;
        let mut places = places.clone();
        let mut missing = 3 + usize::from(fleet);
        while missing > 0 {
            let line: Value = serde_json::from_str(&next(&mut lines, &child).await?).unwrap_or_default();
            let addr = line["addr"].as_str().and_then(|addr| addr.parse().ok());
            let place = match line["listen"].as_str() {
                Some("diameter") => &mut places.clients,
                Some("pool") => &mut places.pool,
                Some("fleet") => &mut places.fleet,
                Some("h248-udp") => &mut places.text,
                _ => continue,
            };
            *place = addr.unwrap_or(*place);
            missing -= 1;
        }
        // Whatever it says further is read, lest it waits for a reader.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok((Self { child: Arc::new(child) }, places))
    }
}

/// A front's place: its process, if one runs, and what a later one needs.
struct Slot {
    ordinal: u32,
    now: Mutex<Option<Arc<Child>>>,
    places: Places,
    servers: Vec<SocketAddr>,
}

/// A server's place.
struct Seat {
    now: Mutex<Option<Actor>>,
    addr: SocketAddr,
    /// Origin state of the process that runs.
    state: Mutex<u32>,
}

/// All of a day's processes and the net between them.
pub(crate) struct Stage {
    cast: Arc<Cast>,
    servers: Vec<Arc<Seat>>,
    fronts: Vec<Arc<Slot>>,
    list: Actor,
    /// By front and server.
    streams: Vec<Vec<Streams>>,
    /// From the list service, by front.
    lists: Vec<Streams>,
    /// Between two fronts.
    pairs: Vec<(usize, usize, Datagrams)>,
    offers: Vec<watch::Sender<OfferedLoad>>,
    /// What goes on beside the course.
    tasks: JoinSet<()>,
    faults: Arc<Mutex<Vec<String>>>,
}

impl Stage {
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn new(
        cast: Arc<Cast>,
        servers: Vec<Actor>,
        addrs: Vec<SocketAddr>,
        fronts: Vec<(Front, Places, Vec<SocketAddr>)>,
        list: Actor,
        streams: Vec<Vec<Streams>>,
        lists: Vec<Streams>,
        pairs: Vec<(usize, usize, Datagrams)>,
        offers: Vec<watch::Sender<OfferedLoad>>,
    ) -> Self {
        let seat =
            |(actor, addr)| Arc::new(Seat { now: Mutex::new(Some(actor)), addr, state: Mutex::new(1) });
        let slot = |(ordinal, (front, places, servers)): (usize, (Front, Places, Vec<SocketAddr>))| {
            let now = Mutex::new(Some(front.child));
            Arc::new(Slot { ordinal: ordinal as u32, now, places, servers })
        };
        Self {
            cast,
            servers: servers.into_iter().zip(addrs).map(seat).collect(),
            fronts: fronts.into_iter().enumerate().map(slot).collect(),
            list,
            streams,
            lists,
            pairs,
            offers,
            tasks: JoinSet::new(),
            faults: Arc::default(),
        }
    }

    /// Ends all processes. What crossed the net, and the program's faults: ended by itself, or stayed behind.
    pub(crate) async fn close(mut self) -> (Vec<String>, Vec<String>) {
        while self.tasks.join_next().await.is_some() {}
        let mut faults = std::mem::take(&mut *lock(&self.faults));
        let fronts: Vec<_> = self.fronts.iter().filter_map(|slot| lock(&slot.now).take()).collect();
        let used: Vec<_> = fronts.iter().filter_map(|front| front.used()).collect();
        for front in &fronts {
            faults.extend(front.crash());
            front.freeze(false);
            front.terminate();
        }
        for front in fronts {
            if !front.ended_within(ENDS_WITHIN).await {
                faults.push(format!(
                    "{} did not end within {} s of SIGTERM",
                    front.name,
                    ENDS_WITHIN.as_secs()
                ));
            }
        }
        faults.extend(self.list.end().await);
        let seats: Vec<_> = self.servers.iter().filter_map(|seat| lock(&seat.now).take()).collect();
        for server in seats {
            faults.extend(server.end().await);
        }
        let opened: u64 = self.streams.iter().flatten().chain(&self.lists).map(Streams::opened).sum();
        let datagrams: u64 = self.pairs.iter().map(|(.., relay)| relay.carried()).sum();
        let crossed = format!("{opened} connections and {datagrams} datagrams crossed the net");
        let (cores, memory): (Vec<f64>, Vec<f64>) = used.into_iter().unzip();
        let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
        let most = |all: &[f64]| all.iter().copied().fold(0.0, f64::max);
        let used = format!(
            "a front used {:.4} of a core on the mean and {:.4} at most, {:.1} and {:.1} MB; {} still ran",
            mean(&cores),
            most(&cores),
            mean(&memory),
            most(&memory),
            cores.len()
        );
        (vec![crossed, used], faults)
    }

    fn front(&self, front: usize) -> Option<Arc<Child>> {
        lock(&self.fronts[front].now).clone().filter(|child| child.runs())
    }

    fn stop_front(&mut self, front: usize, kill: bool, back_after: Option<Micros>, start: NextStart) {
        let (slot, cast, faults) = (self.fronts[front].clone(), self.cast.clone(), self.faults.clone());
        // Taken at once: whatever comes next for it finds it gone.
        let Some(child) = lock(&slot.now).take() else { return };
        faults_of(&child, &faults);
        self.tasks.spawn(async move {
            end_front(&cast, &slot, child, kill, &faults).await;
            if let Some(back) = back_after {
                tokio::time::sleep(Duration::from_micros(back)).await;
                start_front(&cast, &slot, start, &faults).await;
            }
        });
    }

    /// A front's process runs short of something, or no more. One that ends of it ended by itself.
    fn starve(&mut self, front: usize, of: Starved, starved: bool) {
        let Some(child) = self.front(front) else { return };
        if let Err(error) = child.limit(of, starved) {
            lock(&self.faults).push(format!("{}: its limit cannot be set: {error}", child.name));
        }
    }

    fn crash(&mut self, front: usize, times: u32) {
        let (slot, cast, faults) = (self.fronts[front].clone(), self.cast.clone(), self.faults.clone());
        self.tasks.spawn(async move {
            for _ in 0..times {
                let Some(child) = lock(&slot.now).take() else { return };
                end_front(&cast, &slot, child, true, &faults).await;
                start_front(&cast, &slot, NextStart::default(), &faults).await;
                tokio::time::sleep(Duration::from_micros(SERVES_FOR)).await;
            }
        });
    }

    fn die(&mut self, server: usize, back_after: Option<Micros>) {
        let (seat, cast, faults) = (self.servers[server].clone(), self.cast.clone(), self.faults.clone());
        let Some(actor) = lock(&seat.now).take() else { return };
        self.tasks.spawn(async move {
            actor.child.kill();
            actor.child.ended().await;
            // All that it told is on record before its end is.
            let _ = actor.heard.await;
            cast.recorder.put(RecordEvent::ServerExited { server: server as u16 });
            let Some(back) = back_after else { return };
            tokio::time::sleep(Duration::from_micros(back)).await;
            let state = {
                let mut state = lock(&seat.state);
                *state += 1;
                *state
            };
            let role = Role::Server { number: server, again: Some((seat.addr, state)) };
            match cast.actor(&format!("server{server}"), role).await {
                Ok((actor, _)) => *lock(&seat.now) = Some(actor),
                Err(error) => lock(&faults).push(error.to_string()),
            }
        });
    }

    fn sever(&mut self, from: Party, to: Party, severed: bool) {
        match (from, to) {
            (Party::Front(front), Party::Server(server)) => {
                self.streams[front][server].shape(|shape| shape.there = severed);
            }
            (Party::Server(server), Party::Front(front)) => {
                self.streams[front][server].shape(|shape| shape.back = severed);
                let (server, front) = (server as u16, front as u32);
                let moment = if severed {
                    RecordEvent::Unresponsive { server, front }
                } else {
                    RecordEvent::Responsive { server, front }
                };
                self.cast.recorder.put(moment);
            }
            (Party::List, Party::Front(front)) => self.lists[front].shape(|shape| shape.there = severed),
            (Party::Front(front), Party::List) => self.lists[front].shape(|shape| shape.back = severed),
            (Party::Front(a), Party::Front(b)) => {
                for (first, second, relay) in &self.pairs {
                    if (*first, *second) == (a, b) {
                        relay.sever(0, severed);
                    } else if (*first, *second) == (b, a) {
                        relay.sever(1, severed);
                    }
                }
            }
            // Servers and the list service have nothing to say to each other.
            _ => {}
        }
    }
}

/// Puts down what a process did that nobody asked of it.
fn faults_of(child: &Child, faults: &Mutex<Vec<String>>) {
    lock(faults).extend(child.crash());
}

async fn end_front(cast: &Cast, slot: &Slot, child: Arc<Child>, kill: bool, faults: &Mutex<Vec<String>>) {
    let front = slot.ordinal;
    if kill {
        cast.recorder.put(RecordEvent::FrontKilled { front });
        child.kill();
        child.ended().await;
        return;
    }
    child.terminate();
    if !child.ended_within(ENDS_WITHIN).await {
        let text = format!("{} did not end within {} s of SIGTERM", child.name, ENDS_WITHIN.as_secs());
        lock(faults).push(text);
    }
    // Until then it owed answers to what it had taken.
    cast.recorder.put(RecordEvent::FrontKilled { front });
}

async fn start_front(cast: &Cast, slot: &Slot, start: NextStart, faults: &Mutex<Vec<String>>) {
    match cast.front(slot.ordinal, &slot.servers, &slot.places, start).await {
        Ok((front, _)) => {
            cast.recorder.put(RecordEvent::FrontStarted { front: slot.ordinal });
            *lock(&slot.now) = Some(front.child);
        }
        Err(error) => lock(faults).push(error.to_string()),
    }
}

impl Hands for Stage {
    fn command(&mut self, server: usize, command: Command) {
        if let Command::Die(back_after) = command {
            return self.die(server, back_after);
        }
        if let Some(actor) = &*lock(&self.servers[server].now) {
            actor.order(Order::Command(command));
        }
    }

    fn link(&mut self, server: usize, fault: LinkFault) {
        for front in &self.streams {
            front[server].shape(|shape| (shape.down, shape.back) = (fault.down, fault.stalled_back));
        }
    }

    fn offer(&mut self, front: usize, offers: &OfferedLoad) {
        self.offers[front].send_replace(offers.clone());
    }

    fn stall(&mut self, front: usize, span: Micros) {
        let Some(child) = self.front(front) else { return };
        let recorder = self.cast.recorder.clone();
        recorder.put(RecordEvent::Stall { front: front as u32, us: span });
        child.freeze(true);
        self.tasks.spawn(async move {
            tokio::time::sleep(Duration::from_micros(span)).await;
            child.freeze(false);
        });
    }

    fn lose_messages(&mut self, share: f64) {
        self.pairs.iter().for_each(|(.., relay)| relay.lose(share));
    }

    fn list(&mut self, due: Micros, pool: &Pool) {
        self.list.order(Order::List { due, pool: pool.clone() });
    }

    fn record(&mut self, moment: RecordEvent) {
        self.cast.recorder.put(moment);
    }

    fn process(&mut self, trouble: Process) {
        match trouble {
            Process::Stop { front, kill, back_after, start } => {
                self.stop_front(front, kill, back_after, start);
            }
            Process::Starve { front, of, starved } => self.starve(front, of, starved),
            Process::Crash { front, times } => self.crash(front, times),
            Process::Freeze { server, frozen } => {
                if let Some(actor) = &*lock(&self.servers[server].now) {
                    actor.child.freeze(frozen);
                }
            }
            Process::Sever { from, to, severed } => self.sever(from, to, severed),
            Process::Reset { server } => {
                self.streams.iter().for_each(|front| front[server].shape(|shape| shape.resets += 1));
            }
        }
    }
}
