//! Runs the front node on sockets: a single-threaded tokio transport around [`crate::state::Node`].

mod connection;
mod input;
mod tasks;

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

use self::connection::{ConnKey, Connection};
use self::input::{input_queue, Arrival, InputSender};
use self::tasks::{Peers, Resolver};
use crate::config::{Config, ConfigError};
use crate::state::{sort_batch, ConnId, Input, Node, Output};

/// Capacity of the queue of inputs to the core; readers wait when it is full.
const QUEUE_INPUTS: usize = 512;
/// Maximum number of inputs that are sorted together: more than one caller may have in set-up, so that its
/// disconnect is seen behind them.
const BATCH_INPUTS_MAX: usize = 2_048;
/// Maximum payload of the inputs that are sorted together, in bytes.
const BATCH_BYTES_MAX: usize = 2 << 20;
/// Pause in which the runtime polls the sockets and runs the readers.
const POLL_PAUSE: Duration = Duration::from_millis(1);
/// Maximum number of polls before timers fire regardless.
const READ_ROUNDS_MAX: usize = 64;
/// Age at which inputs are stale: before anything new is sent, the sockets are polled again for callers that
/// have left and calls that were answered.
const INPUT_FRESHNESS: Duration = Duration::from_millis(10);
/// Age below which the first input of a batch is recent. If it is, and the batch is small,
/// the sockets have just been polled and everything they had is in the batch, so a further
/// poll, which costs as much as a call, is skipped.
const RECENT_READ: Duration = Duration::from_millis(2);
/// Number of inputs from which a batch is not small.
const SMALL_BATCH: usize = 32;
/// Number of consecutive batches that may be cut short before one is processed completely.
const CUT_SHORT_MAX: u32 = 4;
/// Number of connections accepted beyond the callers' limit; each of them
/// makes the node close the oldest idle one.
const ACCEPT_AHEAD: usize = 8;
/// Time within which a caller must read pending bytes before its connection is closed.
const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The same for a signalling server; it is shorter since a set-up that is
/// read late has already been cancelled.
const SERVER_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time at exit for the last bytes to be sent and for the peers to close their connections.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(250);

/// Why a front node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Its configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// Its settings are invalid.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// An address cannot be bound.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The system refused a resource.
    #[error("{0}: {1}")]
    System(&'static str, std::io::Error),
}

/// Monotonic clock that starts at the Unix time.
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

/// The main loop: feeds inputs to the node in batches and executes its outputs.
struct Core {
    node: Node,
    clock: Clock,
    to_core: InputSender,
    inputs: mpsc::Receiver<Arrival>,
    /// Inputs that were read and not processed yet, in processing order.
    batch: Vec<Arrival>,
    /// Time up to which every input that had arrived is in `batch`.
    read_at: Instant,
    callers: BTreeMap<LinkId, Rc<Connection>>,
    servers: BTreeMap<ConnId, Rc<Connection>>,
    /// Dial tasks in progress.
    dials: BTreeMap<ConnId, AbortHandle>,
    /// The reader tasks, which own the connections.
    readers: TaskTracker,
    dial_timeout: Duration,
    resolver: Resolver,
    peers: Option<Rc<Peers>>,
    config_path: PathBuf,
    stop_accepting: Rc<Notify>,
    out: Vec<Output>,
    /// Number of consecutive batches that were cut short.
    cut_short: u32,
    /// The node has requested its exit.
    ended: bool,
}

/// Runs the front node with this configuration file until a signal stops it. Requires a
/// current-thread runtime within a `LocalSet`. `clock_off` is the offset of the wall clock in
/// microseconds: 0 except in tests of a wrong clock.
///
/// # Errors
/// When it cannot start; once it has started, only a signal ends it.
pub async fn run(path: PathBuf, clock_off: i64) -> Result<(), StartError> {
    let config = Config::load(&path)?;
    let system = |what| move |e| StartError::System(what, e);
    let node = Node::new(&config)?;
    let (to_core, mut inputs) = input_queue(QUEUE_INPUTS);
    tasks::signals(&to_core).map_err(system("signals"))?;
    let Some(listener) = tasks::bind(config.listen, &mut inputs).await? else { return Ok(()) };
    let at = listener.local_addr().map_err(|e| StartError::Listen(config.listen, e))?;
    let resolver = Resolver::new(config.names, &to_core).map_err(system("a socket for the name server"))?;
    let peers = match config.peer_listen {
        Some(at) => Some(Peers::start(at, config.peers.clone().into(), &to_core).await?),
        None => None,
    };
    let stop_accepting = Rc::new(Notify::new());
    let slots = Arc::new(Semaphore::new(node.callers_max() + ACCEPT_AHEAD));
    spawn_local(tasks::listen(listener, to_core.clone(), slots, stop_accepting.clone()));
    let clock = Clock::new(clock_off);
    let mut core = Core {
        node,
        clock,
        to_core,
        inputs,
        batch: Vec::new(),
        read_at: Instant::now(),
        callers: BTreeMap::new(),
        servers: BTreeMap::new(),
        dials: BTreeMap::new(),
        readers: TaskTracker::new(),
        dial_timeout: Duration::from_micros(config.dial_timeout()),
        resolver,
        peers,
        config_path: path,
        stop_accepting,
        out: Vec::new(),
        cut_short: 0,
        ended: false,
    };
    core.node.start(clock.now(), &mut core.out);
    core.execute();
    tracing::info!("{} listens on {at}", config.name);
    while !core.ended {
        if !core.wait().await {
            core.read_pending().await;
        }
        sort_batch(&mut core.batch);
        core.handle();
    }
    core.finish().await;
    Ok(())
}

impl Core {
    /// Waits for an input or a timer. Returns `true` if it, and every input
    /// that arrived with it, was read just now.
    async fn wait(&mut self) -> bool {
        if !self.batch.is_empty() {
            return false;
        }
        let wake = self.clock.at(self.node.next_wake());
        let since = tokio::select! {
            biased;
            arrival = self.inputs.recv() => {
                let at = arrival.as_ref().map_or_else(Instant::now, |arrival| arrival.at);
                self.batch.extend(arrival);
                at
            }
            () = tokio::time::sleep_until(wake) => wake.into_std(),
        };
        self.collect();
        self.read_at = since;
        // Guards against a stall that shows only in a late timer: the first input was read just now, but
        // disconnects of other callers are unread, and retries for them are due.
        let on_time = wake.elapsed() < RECENT_READ;
        on_time && since.elapsed() < RECENT_READ && self.batch.len() < SMALL_BATCH
    }

    /// Moves queued inputs to the batch, within its limits.
    fn collect(&mut self) {
        let mut bytes: usize = self.batch.iter().map(|arrival| arrival.input.size()).sum();
        while self.batch.len() < BATCH_INPUTS_MAX && bytes < BATCH_BYTES_MAX {
            let Ok(arrival) = self.inputs.try_recv() else { break };
            bytes += arrival.input.size();
            self.batch.push(arrival);
        }
    }

    /// Reads everything that has arrived before anything is sent or timers fire. Guards against a core
    /// starved of CPU time: an answer or a drain that arrived in time precedes the timer that it beats, and a
    /// caller's disconnect precedes the set-up that the caller sent before it.
    async fn read_pending(&mut self) {
        for _ in 0..READ_ROUNDS_MAX {
            // Taken before the sockets are polled. Guards against a stall between the poll and this line.
            self.read_at = Instant::now();
            // The runtime polls the sockets and runs all readers meanwhile. `yield_now` would return as soon
            // as anything else wakes this task, possibly before some readers or the sockets were polled.
            tokio::time::sleep(POLL_PAUSE).await;
            let before = self.batch.len();
            self.collect();
            if self.batch.len() == before {
                break;
            }
        }
    }

    /// Processes the batch while it is fresh, so that no attempt is started that an unread input
    /// withdraws. Timers fire once every input that could precede them is processed. Guards against
    /// stalls, within a batch as between two. [`CUT_SHORT_MAX`] guards against a machine so slow
    /// that no batch would ever be processed completely.
    fn handle(&mut self) {
        let mut inputs = std::mem::take(&mut self.batch).into_iter().peekable();
        let may_stop = self.cut_short < CUT_SHORT_MAX;
        let is_stale = |core: &Self| may_stop && core.read_at.elapsed() > INPUT_FRESHNESS;
        while let Some(next) = inputs.peek() {
            if next.input.may_start_attempt() && is_stale(self) {
                break;
            }
            if let Some(arrival) = inputs.next() {
                self.deliver(arrival);
            }
        }
        self.batch = inputs.collect();
        if is_stale(self) {
            self.cut_short += 1;
            return;
        }
        self.cut_short = 0;
        self.node.handle(self.clock.now(), Input::Tick, &mut self.out);
        self.execute();
    }

    fn deliver(&mut self, arrival: Arrival) {
        let now = self.clock.now();
        let Arrival { input, conn, .. } = arrival;
        match (&input, conn) {
            (Input::CallerUp(link, _), Some(conn)) => {
                self.callers.insert(*link, conn.clone());
                self.spawn_reader(conn, *link);
            }
            (Input::ServerUp(id), Some(conn)) => {
                self.dials.remove(id);
                self.servers.insert(*id, conn.clone());
                self.spawn_reader(conn, *id);
            }
            (Input::DialFailed(conn, _), _) => drop(self.dials.remove(conn)),
            (Input::CallerDown(link), _) => drop(self.callers.remove(link)),
            (Input::ServerDown(conn), _) => drop(self.servers.remove(conn)),
            (Input::NameServerChanged, _) => match Config::load(&self.config_path) {
                Ok(config) => self.resolver.set_address(config.names),
                Err(error) => tracing::error!(
                    "SIGHUP: configuration not reloaded, the previous one stays in use: {error}"
                ),
            },
            _ => {}
        }
        self.node.handle(now, input, &mut self.out);
        self.execute();
    }

    fn spawn_reader<K: ConnKey + 'static>(&self, conn: Rc<Connection>, key: K) {
        self.readers.spawn_local(conn.read(key, self.to_core.clone()));
    }

    fn execute(&mut self) {
        let mut out = std::mem::take(&mut self.out);
        for output in out.drain(..) {
            match output {
                Output::ToCaller(link, bytes) => {
                    if let Some(conn) = self.callers.get(&link) {
                        conn.write(&bytes);
                    }
                }
                Output::CloseCaller(link) => {
                    if let Some(conn) = self.callers.remove(&link) {
                        conn.close();
                    }
                }
                Output::ToServer(conn, bytes) => {
                    if let Some(conn) = self.servers.get(&conn) {
                        conn.write(&bytes);
                    }
                }
                Output::CloseServer(conn) => {
                    if let Some(dial) = self.dials.remove(&conn) {
                        dial.abort();
                    }
                    if let Some(conn) = self.servers.remove(&conn) {
                        conn.close();
                    }
                }
                Output::Dial(conn, address) => {
                    let dial = tasks::dial(conn, address, self.dial_timeout, self.to_core.clone());
                    self.dials.insert(conn, spawn_local(dial).abort_handle());
                }
                Output::Query { query, new_port } => self.resolver.send_query(&query, new_port),
                Output::ToPeer(to, payload) => {
                    if let Some(peers) = &self.peers {
                        peers.send(to, &payload);
                    }
                }
                Output::StopAccepting => self.stop_accepting.notify_one(),
                Output::Exit => self.ended = true,
            }
        }
        self.out = out;
    }

    /// Closes all connections in an orderly way, so that the last answers to
    /// callers and releases to servers arrive.
    async fn finish(mut self) {
        self.inputs.close();
        for conn in self.callers.values().chain(self.servers.values()) {
            conn.close();
        }
        self.readers.close();
        let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, self.readers.wait()).await;
    }
}
