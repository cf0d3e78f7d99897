//! The front node on sockets: a thin coat on tokio, in one thread.

mod line;
mod outside;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use baydrift::interface::Micros;
use baydrift_call::{EngineError, LinkId};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use self::line::Line;
use crate::config::{Config, ConfigError};
use crate::state::{ConnId, Input, Node, Output};

/// Inputs that wait for the core; readers wait beyond it.
const QUEUE: usize = 512;
/// Inputs handled before timers and outputs get their turn.
const BATCH: usize = 128;
/// The core woke so much later than it wanted: it stood still, and what has come meanwhile is read first.
const STALLED: Micros = 20_000;
/// Rounds of reading at the most before timers fire after all.
const ROUNDS: usize = 64;
/// What waits for a caller that does not read is dropped with its connection after this ...
const CALLER_PATIENCE: Duration = Duration::from_secs(5);
/// ... and for a signalling server sooner: a set-up that is read late has been given up.
const SERVER_PATIENCE: Duration = Duration::from_millis(500);
/// Time for the last answers to leave at the end.
const LAST_WORDS: Duration = Duration::from_millis(300);

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

/// What tasks tell the core.
enum ToCore {
    Caller(Rc<Line>, IpAddr),
    Server(ConnId, Rc<Line>),
    State(Input),
    Reload,
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
    to_core: mpsc::Sender<ToCore>,
    callers: BTreeMap<LinkId, Rc<Line>>,
    servers: BTreeMap<ConnId, Rc<Line>>,
    next_link: u64,
    dial_timeout: Duration,
    names: Rc<UdpSocket>,
    names_at: Rc<Cell<SocketAddr>>,
    peers: Option<Rc<UdpSocket>>,
    peers_at: Rc<[SocketAddr]>,
    path: PathBuf,
    listening: Option<tokio::task::JoinHandle<()>>,
    out: Vec<Output>,
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
    let any: SocketAddr = match config.names.ip() {
        IpAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        IpAddr::V6(_) => ([0u16; 8], 0).into(),
    };
    let names = Rc::new(UdpSocket::bind(any).await.map_err(system("a socket for the name server"))?);
    let names_at = Rc::new(Cell::new(config.names));
    spawn_local(outside::names(names.clone(), names_at.clone(), to_core.clone()));
    let peers_at: Rc<[SocketAddr]> = config.peers.clone().into();
    let peers = match config.peer_listen {
        Some(at) => Some(Rc::new(UdpSocket::bind(at).await.map_err(|e| StartError::Listen(at, e))?)),
        None => None,
    };
    if let Some(peers) = &peers {
        spawn_local(outside::peers(peers.clone(), peers_at.clone(), to_core.clone()));
    }
    let listener =
        TcpListener::bind(config.listen).await.map_err(|e| StartError::Listen(config.listen, e))?;
    let at = listener.local_addr().map_err(|e| StartError::Listen(config.listen, e))?;
    tracing::info!("{} listens on {at}", config.name);
    let listening = spawn_local(outside::listen(listener, to_core.clone()));
    let clock = Clock::new(clock_off);
    let mut core = Core {
        node,
        clock,
        to_core,
        callers: BTreeMap::new(),
        servers: BTreeMap::new(),
        next_link: 1,
        dial_timeout: Duration::from_micros(config.dial_timeout()),
        names,
        names_at,
        peers,
        peers_at,
        path,
        listening: Some(listening),
        out: Vec::new(),
        ended: false,
    };
    core.node.start(clock.now(), &mut core.out);
    core.carry_out();
    let mut batch = Vec::with_capacity(BATCH);
    while !core.ended {
        let wake = core.node.next_wake();
        tokio::select! {
            biased;
            _ = inputs.recv_many(&mut batch, BATCH) => {}
            () = tokio::time::sleep_until(clock.at(wake)) => {}
        }
        if clock.now() > wake + STALLED || batch.is_empty() {
            core.catch_up(&mut inputs, &mut batch).await;
        }
        for input in batch.drain(..) {
            core.take(input);
        }
        core.node.hear(clock.now(), Input::Tick, &mut core.out);
        core.carry_out();
    }
    let lines: Vec<_> = core.callers.values().cloned().collect();
    let flushed = async {
        while !lines.iter().all(|line| line.is_flushed()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let _ = tokio::time::timeout(LAST_WORDS, flushed).await;
    Ok(())
}

impl Core {
    /// Reads what has arrived before timers fire. Guards against a starved core: an answer or a drain that
    /// came in time counts before the timer that it beats.
    async fn catch_up(&mut self, inputs: &mut mpsc::Receiver<ToCore>, batch: &mut Vec<ToCore>) {
        for _ in 0..ROUNDS {
            // Once for the sockets to be looked at, once for their readers to run.
            tokio::task::yield_now().await;
            tokio::task::yield_now().await;
            let mut more = false;
            while let Ok(input) = inputs.try_recv() {
                batch.push(input);
                more = true;
            }
            if !more {
                return;
            }
            for input in batch.drain(..) {
                self.take(input);
            }
        }
    }

    fn take(&mut self, input: ToCore) {
        let now = self.clock.now();
        match input {
            ToCore::Caller(line, ip) => {
                let link = LinkId(self.next_link);
                self.next_link += 1;
                self.callers.insert(link, line.clone());
                spawn_local(line.read(link, self.to_core.clone()));
                self.node.hear(now, Input::CallerUp(link, ip), &mut self.out);
            }
            ToCore::Server(conn, line) => {
                self.servers.insert(conn, line.clone());
                spawn_local(line.read(conn, self.to_core.clone()));
                self.node.hear(now, Input::ServerUp(conn), &mut self.out);
            }
            ToCore::Reload => {
                match Config::load(&self.path) {
                    Ok(config) => self.names_at.set(config.names),
                    Err(error) => tracing::error!("SIGHUP: the configuration of before holds: {error}"),
                }
                self.node.hear(now, Input::Moved, &mut self.out);
            }
            ToCore::State(input) => {
                match &input {
                    Input::CallerDown(link) => drop(self.callers.remove(link)),
                    Input::ServerDown(conn) => drop(self.servers.remove(conn)),
                    _ => {}
                }
                self.node.hear(now, input, &mut self.out);
            }
        }
        self.carry_out();
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
                    if let Some(line) = self.servers.remove(&conn) {
                        line.close();
                    }
                }
                Output::Dial(conn, address) => {
                    spawn_local(outside::dial(conn, address, self.dial_timeout, self.to_core.clone()));
                }
                // A datagram that the system does not take is one that got lost.
                Output::Ask(query) => drop(self.names.try_send_to(&query, self.names_at.get())),
                Output::ToPeer(to, payload) => {
                    if let (Some(socket), Some(at)) = (&self.peers, self.peers_at.get(to as usize)) {
                        drop(socket.try_send_to(&payload, *at));
                    }
                }
                Output::Deaf => {
                    if let Some(listening) = self.listening.take() {
                        listening.abort();
                    }
                }
                Output::End => self.ended = true,
            }
        }
        self.out = out;
    }
}
