//! The front node on sockets: a thin coat on tokio, in one thread.

mod line;
mod outside;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use baydrift::interface::Micros;
use baydrift_call::{EngineError, LinkId};
use tokio::sync::{mpsc, Notify, Semaphore};
use tokio::task::{spawn_local, AbortHandle};
use tokio_util::task::TaskTracker;

use self::line::{Key, Line};
use self::outside::{Peers, Resolver};
use crate::config::{Config, ConfigError};
use crate::state::{in_order, ConnId, Input, Node, Output};

/// Inputs that wait for the core; readers wait beyond it.
const QUEUE: usize = 512;
/// Inputs that are put in order at once, and their bytes: more than one caller may have in set-up, so that its close is
/// seen behind them.
const TURN: (usize, usize) = (2_048, 2 << 20);
/// A look at the sockets, where one is needed, takes so long.
const LOOK_FOR: Duration = Duration::from_millis(1);
/// Rounds of reading at the most before timers fire after all.
const ROUNDS: usize = 64;
/// What was read is good for so long: then it is looked again whether a caller has left or a call was answered, before
/// anything new is sent.
const GOOD_FOR: Duration = Duration::from_millis(10);
/// What a turn begins with was read so lately, and is so little: then the sockets have just been looked at, and all that
/// they had is here. Each further look costs as much as a call does.
const LATELY: (Duration, usize) = (Duration::from_millis(2), 32);
/// Turns in a row that may end early before one is carried through.
const LATE_TURNS: u32 = 4;
/// Connections accepted beyond what callers may hold: each makes the oldest idle one go.
const ACCEPT_AHEAD: usize = 8;
/// What waits for a caller that does not read is dropped with its connection after this ...
const CALLER_PATIENCE: Duration = Duration::from_secs(5);
/// ... and for a signalling server sooner: a set-up that is read late has been given up.
const SERVER_PATIENCE: Duration = Duration::from_millis(500);
/// Time for the last bytes to leave at the end, and for the other sides to close.
const LAST_WORDS: Duration = Duration::from_millis(250);

/// Why a front node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Its configuration is of no use.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// Its settings are.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// An address cannot be used.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// Something that the system must give.
    #[error("{0}: {1}")]
    System(&'static str, std::io::Error),
}

/// What a task tells the core; with the connection, where it is one that has come up.
struct Arrival {
    input: Input,
    line: Option<Rc<Line>>,
    /// When it was read.
    at: Instant,
}

impl Arrival {
    fn new(input: Input, line: Option<Rc<Line>>) -> Self {
        Self { input, line, at: Instant::now() }
    }
}

impl From<Input> for Arrival {
    fn from(input: Input) -> Self {
        Self::new(input, None)
    }
}

impl AsRef<Input> for Arrival {
    fn as_ref(&self) -> &Input {
        &self.input
    }
}

impl AsMut<Input> for Arrival {
    fn as_mut(&mut self) -> &mut Input {
        &mut self.input
    }
}

/// Unix time that never goes back while the process lives.
#[derive(Clone, Copy)]
struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    fn new(off: i64) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), unix: (unix.as_micros() as Micros).saturating_add_signed(off) }
    }

    fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    fn at(&self, time: Micros) -> tokio::time::Instant {
        const FAR: Micros = 3_600_000_000;
        let ahead = time.saturating_sub(self.now()).min(FAR);
        tokio::time::Instant::now() + Duration::from_micros(ahead)
    }
}

struct Core {
    node: Node,
    clock: Clock,
    to_core: mpsc::Sender<Arrival>,
    inputs: mpsc::Receiver<Arrival>,
    /// What has been read and not been handled, in the order in which it will be.
    turn: Vec<Arrival>,
    /// As of when all that had come was in `turn`.
    read_at: Instant,
    callers: BTreeMap<LinkId, Rc<Line>>,
    servers: BTreeMap<ConnId, Rc<Line>>,
    dials: BTreeMap<ConnId, AbortHandle>,
    /// The tasks that hold connections.
    readers: TaskTracker,
    dial_timeout: Duration,
    resolver: Resolver,
    peers: Option<Rc<Peers>>,
    path: PathBuf,
    deaf: Rc<Notify>,
    out: Vec<Output>,
    late_turns: u32,
    ended: bool,
}

/// Runs the front node of this configuration file until it is told to stop, on a current-thread runtime within a `LocalSet`.
/// The wall clock is taken for `clock_off` microseconds off: nought, but where a test wants a wrong one.
///
/// # Errors
/// When it cannot start; once it serves, nothing ends it but a signal.
pub async fn run(path: PathBuf, clock_off: i64) -> Result<(), StartError> {
    let config = Config::load(&path)?;
    let system = |what| move |e| StartError::System(what, e);
    let node = Node::new(&config)?;
    let (to_core, mut inputs) = mpsc::channel(QUEUE);
    outside::signals(&to_core).map_err(system("signals"))?;
    let Some(listener) = outside::bind(config.listen, &mut inputs).await? else { return Ok(()) };
    let at = listener.local_addr().map_err(|e| StartError::Listen(config.listen, e))?;
    let resolver = Resolver::new(config.names, &to_core).map_err(system("a socket for the name server"))?;
    let peers = match config.peer_listen {
        Some(at) => Some(Peers::start(at, config.peers.clone().into(), &to_core).await?),
        None => None,
    };
    let deaf = Rc::new(Notify::new());
    let slots = Arc::new(Semaphore::new(node.callers_max() + ACCEPT_AHEAD));
    spawn_local(outside::listen(listener, to_core.clone(), slots, deaf.clone()));
    let clock = Clock::new(clock_off);
    let mut core = Core {
        node,
        clock,
        to_core,
        inputs,
        turn: Vec::new(),
        read_at: Instant::now(),
        callers: BTreeMap::new(),
        servers: BTreeMap::new(),
        dials: BTreeMap::new(),
        readers: TaskTracker::new(),
        dial_timeout: Duration::from_micros(config.dial_timeout()),
        resolver,
        peers,
        path,
        deaf,
        out: Vec::new(),
        late_turns: 0,
        ended: false,
    };
    core.node.start(clock.now(), &mut core.out);
    core.carry_out();
    tracing::info!("{} listens on {at}", config.name);
    while !core.ended {
        if !core.wait().await {
            core.read_on().await;
        }
        in_order(&mut core.turn);
        core.handle();
    }
    core.finish().await;
    Ok(())
}

impl Core {
    /// Until something has come or is due. `true` when that, and all that came with it, has been read just now.
    async fn wait(&mut self) -> bool {
        if !self.turn.is_empty() {
            return false;
        }
        let wake = self.clock.at(self.node.next_wake());
        let since = tokio::select! {
            biased;
            arrival = self.inputs.recv() => {
                let at = arrival.as_ref().map_or_else(Instant::now, |arrival| arrival.at);
                self.turn.extend(arrival);
                at
            }
            () = tokio::time::sleep_until(wake) => wake.into_std(),
        };
        self.collect();
        self.read_at = since;
        // Guards against a standstill that is told by nothing but a timer's lateness: what comes first after it was read
        // just now, and the closes of other callers lie unread, with repeats for them due.
        let on_time = wake.elapsed() < LATELY.0;
        on_time && since.elapsed() < LATELY.0 && self.turn.len() < LATELY.1
    }

    /// Takes over what readers have told, within bounds.
    fn collect(&mut self) {
        let mut bytes: usize = self.turn.iter().map(|arrival| arrival.input.size()).sum();
        while self.turn.len() < TURN.0 && bytes < TURN.1 {
            let Ok(arrival) = self.inputs.try_recv() else { break };
            bytes += arrival.input.size();
            self.turn.push(arrival);
        }
    }

    /// Reads what has arrived before anything is sent or timers fire, and puts it in order. Guards against a starved
    /// core: an answer or a drain that came in time counts before the timer that it beats, and a caller that has left
    /// before the set-up that it left behind.
    async fn read_on(&mut self) {
        for _ in 0..ROUNDS {
            // Before the sockets are looked at: guards against a standstill between that look and this line.
            self.read_at = Instant::now();
            // The sockets are looked at and all their readers run meanwhile. Not a yield, which ends as soon as anything
            // else wakes this task, with some readers or the sockets themselves not looked at yet.
            tokio::time::sleep(LOOK_FOR).await;
            let before = self.turn.len();
            self.collect();
            if self.turn.len() == before {
                break;
            }
        }
    }

    /// Handles what was read, as long as it is good: then nothing is begun that a later read takes back. Timers fire once
    /// all is handled that they could beat. Guards against standstills, within a turn as between two, and against a
    /// machine so slow that every turn takes longer, which would never get to its end.
    fn handle(&mut self) {
        let mut left = std::mem::take(&mut self.turn).into_iter().peekable();
        let patient = self.late_turns < LATE_TURNS;
        let is_late = |core: &Self| patient && core.read_at.elapsed() > GOOD_FOR;
        while let Some(next) = left.peek() {
            if next.input.may_begin() && is_late(self) {
                break;
            }
            if let Some(arrival) = left.next() {
                self.take(arrival);
            }
        }
        self.turn = left.collect();
        if is_late(self) {
            self.late_turns += 1;
            return;
        }
        self.late_turns = 0;
        self.node.hear(self.clock.now(), Input::Tick, &mut self.out);
        self.carry_out();
    }

    fn take(&mut self, arrival: Arrival) {
        let now = self.clock.now();
        let Arrival { input, line, .. } = arrival;
        match (&input, line) {
            (Input::CallerUp(link, _), Some(line)) => {
                self.callers.insert(*link, line.clone());
                self.reads(line, *link);
            }
            (Input::ServerUp(conn), Some(line)) => {
                self.dials.remove(conn);
                self.servers.insert(*conn, line.clone());
                self.reads(line, *conn);
            }
            (Input::DialFailed(conn, _), _) => drop(self.dials.remove(conn)),
            (Input::CallerDown(link), _) => drop(self.callers.remove(link)),
            (Input::ServerDown(conn), _) => drop(self.servers.remove(conn)),
            (Input::Moved, _) => match Config::load(&self.path) {
                Ok(config) => self.resolver.asks(config.names),
                Err(error) => tracing::error!("SIGHUP: the configuration of before holds: {error}"),
            },
            _ => {}
        }
        self.node.hear(now, input, &mut self.out);
        self.carry_out();
    }

    fn reads<K: Key + 'static>(&self, line: Rc<Line>, key: K) {
        self.readers.spawn_local(line.read(key, self.to_core.clone()));
    }

    fn carry_out(&mut self) {
        let mut out = std::mem::take(&mut self.out);
        for order in out.drain(..) {
            match order {
                Output::ToCaller(link, bytes) => {
                    if let Some(line) = self.callers.get(&link) {
                        line.write(&bytes);
                    }
                }
                Output::CloseCaller(link) => {
                    if let Some(line) = self.callers.remove(&link) {
                        line.close();
                    }
                }
                Output::ToServer(conn, bytes) => {
                    if let Some(line) = self.servers.get(&conn) {
                        line.write(&bytes);
                    }
                }
                Output::CloseServer(conn) => {
                    if let Some(dial) = self.dials.remove(&conn) {
                        dial.abort();
                    }
                    if let Some(line) = self.servers.remove(&conn) {
                        line.close();
                    }
                }
                Output::Dial(conn, address) => {
                    let dial = outside::dial(conn, address, self.dial_timeout, self.to_core.clone());
                    self.dials.insert(conn, spawn_local(dial).abort_handle());
                }
                Output::Ask { query, anew } => self.resolver.ask(&query, anew),
                Output::ToPeer(to, payload) => {
                    if let Some(peers) = &self.peers {
                        peers.tell(to, &payload);
                    }
                }
                Output::Deaf => self.deaf.notify_one(),
                Output::End => self.ended = true,
            }
        }
        self.out = out;
    }

    /// Closes all connections, so that what was written last still arrives: answers to callers, releases to servers.
    async fn finish(mut self) {
        self.inputs.close();
        for line in self.callers.values().chain(self.servers.values()) {
            line.close();
        }
        self.readers.close();
        let _ = tokio::time::timeout(LAST_WORDS, self.readers.wait()).await;
    }
}
