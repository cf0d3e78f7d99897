//! The front service: runs [`baydrift_desk::SessionLayer`] on tokio sockets and timers.
//!
//! One task, [`core`], owns the desk. Each client connection ([`client`]) and each server ([`server`]) has
//! its own task and a bounded queue from the core to that task. Tasks that read from sockets wait while the
//! core's input queue is full, so TCP flow control slows down a client that sends too fast. A peer that does
//! not read is disconnected when its queue is full. The tasks only move messages; all call decisions are made
//! by the desk.

mod admin;
mod client;
mod core;
mod exchange;
mod fleet;
mod link;
mod pool;
mod server;
mod signalling;
mod text;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use baydrift::interface::Micros;
use baydrift_call::{Counts, EngineError, LinkId, Policy};
use baydrift_config::{Config, Dial};
use baydrift_desk::{local_capabilities, Admission, Held, ProcessIdentity, SessionInput, SessionLayer};
use baydrift_diameter::{Codec, Local, Message};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::codec::Framed;
use tracing::{info, warn};

use crate::core::CoreMessage;
use crate::signalling::LinkEvent;

pub use admin::{query_admin, AdminError};
pub use exchange::{Exchange, ExchangeCommand, ExchangeState};
pub use signalling::SignallingRole;

/// Why a front cannot start.
#[derive(Debug, thiserror::Error)]
pub enum FrontError {
    /// A socket cannot be bound.
    #[error("cannot listen for {what} on {addr}: {error}")]
    Bind {
        /// Purpose of the socket.
        what: &'static str,
        /// Address that was requested.
        addr: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The admin socket cannot be created.
    #[error("cannot listen for operators on {}: {error}", path.display())]
    Admin {
        /// Path of the socket.
        path: std::path::PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The call engine rejects its settings.
    #[error(transparent)]
    Engine(#[from] EngineError),
}

/// Addresses of the bound listeners and sockets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addrs {
    /// Diameter clients.
    pub diameter: SocketAddr,
    /// HTTP listener for the pool list.
    pub pool: Option<SocketAddr>,
    /// UDP socket for messages between fronts.
    pub fleet: Option<SocketAddr>,
    /// H.248 text over UDP.
    pub text_udp: Option<SocketAddr>,
    /// H.248 text over TCP, framed as TPKT packets.
    pub text_tcp: Option<SocketAddr>,
}

/// Counters and current state of a front.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Counters of the call engine.
    pub counts: Counts,
    /// Calls, attempts and other objects currently held.
    pub held: Held,
    /// Number of suppressed policy actions, by the rule that each would have violated.
    pub held_back: Vec<(&'static str, u64)>,
    /// Number of requests rejected with a fault.
    pub faults: u64,
    /// Client connections: total, and those that have not yet exchanged capabilities.
    pub connections: (usize, usize),
    /// Processing time of the core task.
    pub spent: Spent,
}

/// Processing time of the core task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Spent {
    /// Wall time spent in the desk (message translation, call engine and policy module), in nanoseconds.
    pub desk_ns: u64,
    /// Number of inputs passed to the desk.
    pub inputs: u64,
}

/// Monotonic clock shared by all tasks of a front, in microseconds since its start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn now(&self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock to a tokio instant, at most one day ahead so that "never" does not
    /// overflow.
    pub(crate) fn at(&self, micros: Micros) -> tokio::time::Instant {
        const MAX_AHEAD: Micros = 86_400_000_000;
        let ahead = micros.saturating_sub(self.now()).min(MAX_AHEAD);
        tokio::time::Instant::now() + Duration::from_micros(ahead)
    }
}

/// A transport opened by the peer, with the CER received on it.
pub(crate) type Inbound = (Framed<TcpStream, Codec>, Message);

/// State shared by all tasks.
pub(crate) struct Shared {
    pub(crate) config: Config,
    pub(crate) local: Arc<Local>,
    pub(crate) clock: Clock,
    pub(crate) admission: Mutex<Admission>,
    pub(crate) core: mpsc::Sender<CoreMessage>,
    /// Queues to the servers' tasks, by Origin-Host, for transports that servers open themselves.
    pub(crate) inbound: BTreeMap<String, mpsc::Sender<Inbound>>,
    /// Becomes true when the front stops accepting connections.
    pub(crate) closing: watch::Receiver<bool>,
}

impl Shared {
    pub(crate) fn admission(&self) -> std::sync::MutexGuard<'_, Admission> {
        self.admission.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Initial End-to-End Identifier of a peer: start time in the high 12 bits, random below (RFC 6733,
    /// section 3).
    pub(crate) fn initial_end_to_end_id(&self) -> u32 {
        self.local.state_id << 20 | rand::random::<u32>() >> 12
    }
}

/// A front whose sockets are bound but whose tasks are not started yet.
pub struct Bound {
    config: Config,
    listener: TcpListener,
    pool: Option<TcpListener>,
    fleet: Option<UdpSocket>,
    text_udp: Option<UdpSocket>,
    text_tcp: Option<TcpListener>,
    /// Signalling links, by the point code of the far end.
    signalling: BTreeMap<u32, SignallingRole>,
    admin: Option<admin::Socket>,
    addrs: Addrs,
    /// Offset added to the wall clock, in microseconds.
    clock_offset: i64,
}

/// Capacity of the core's input queue; when it is full, the tasks that read from sockets wait.
const CORE_QUEUE: usize = 4_096;

impl Bound {
    /// Binds all sockets of a configuration.
    ///
    /// # Errors
    /// The first socket that cannot be bound.
    pub async fn bind(config: Config) -> Result<Self, FrontError> {
        let bind_error = |what, addr| move |error| FrontError::Bind { what, addr, error };
        let listener =
            TcpListener::bind(config.listen).await.map_err(bind_error("clients", config.listen))?;
        let pool = match &config.pool {
            Some(pool) => {
                Some(TcpListener::bind(pool.listen).await.map_err(bind_error("the pool list", pool.listen))?)
            }
            None => None,
        };
        let fleet = match &config.fleet {
            Some(fleet) => {
                Some(UdpSocket::bind(fleet.bind).await.map_err(bind_error("other fronts", fleet.bind))?)
            }
            None => None,
        };
        let (mut text_udp, mut text_tcp) = (None, None);
        if let Some(text) = &config.text {
            text_udp = Some(UdpSocket::bind(text.udp).await.map_err(bind_error("text commands", text.udp))?);
            if let Some(tcp) = text.tcp {
                text_tcp = Some(TcpListener::bind(tcp).await.map_err(bind_error("text commands", tcp))?);
            }
        }
        let mut signalling = BTreeMap::new();
        for far in &config.far_ends {
            let role = match far.dial {
                Dial::Connect(addr) => SignallingRole::Connect(addr),
                Dial::Listen(addr) => {
                    let what = "a far end's signalling";
                    SignallingRole::Listen(TcpListener::bind(addr).await.map_err(bind_error(what, addr))?)
                }
            };
            signalling.insert(far.point, role);
        }
        let admin = match &config.admin {
            Some(path) => Some(
                admin::Socket::bind(path).map_err(|error| FrontError::Admin { path: path.clone(), error })?,
            ),
            None => None,
        };
        let addrs = Addrs {
            text_udp: text_udp.as_ref().and_then(|socket| socket.local_addr().ok()),
            text_tcp: text_tcp.as_ref().and_then(|socket| socket.local_addr().ok()),
            diameter: listener.local_addr().map_err(bind_error("clients", config.listen))?,
            pool: pool.as_ref().and_then(|socket| socket.local_addr().ok()),
            fleet: fleet.as_ref().and_then(|socket| socket.local_addr().ok()),
        };
        Ok(Self {
            config,
            listener,
            pool,
            fleet,
            text_udp,
            text_tcp,
            signalling,
            admin,
            addrs,
            clock_offset: 0,
        })
    }

    /// Addresses of the bound sockets.
    pub fn addrs(&self) -> Addrs {
        self.addrs
    }

    /// Replaces the addresses of the other fronts, for ports that are known only after binding.
    pub fn set_fleet_addrs(&mut self, fronts: Vec<(u32, SocketAddr)>) {
        if let Some(fleet) = &mut self.config.fleet {
            fleet.fronts = fronts;
        }
    }

    /// Adds an offset in microseconds to the wall clock, to inject a clock fault in test scenarios.
    pub fn set_clock_offset(&mut self, micros: i64) {
        self.clock_offset = micros;
    }

    /// Starts all tasks on the current runtime.
    ///
    /// # Errors
    /// If the call engine rejects its settings.
    pub fn start(self) -> Result<Front, FrontError> {
        self.start_with_policy(None)
    }

    /// Starts all tasks with `policy` in place of the decision module, for comparisons; `None` uses the
    /// module.
    ///
    /// # Errors
    /// As [`Bound::start`].
    pub fn start_with_policy(self, policy: Option<Box<dyn Policy>>) -> Result<Front, FrontError> {
        let Self {
            config,
            listener,
            pool,
            fleet,
            text_udp,
            text_tcp,
            signalling,
            admin,
            addrs,
            clock_offset,
        } = self;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        let boot = ProcessIdentity::started_at(unix.saturating_add_signed(clock_offset), rand::random());
        let seed = config.seed.unwrap_or_else(rand::random);
        let desk = match policy {
            Some(policy) => SessionLayer::with_policy(&config, boot, policy)?,
            None => SessionLayer::new(&config, boot, seed)?,
        };
        let local = local_capabilities(&config, addrs.diameter.ip(), boot.state_id);
        let (core_queue, from_links) = mpsc::channel(CORE_QUEUE);
        let (closing, closed) = watch::channel(false);
        let (mut inbound, mut servers) = (BTreeMap::new(), Vec::new());
        for server in &config.servers {
            let (open, opened) = mpsc::channel(1);
            inbound.insert(server.host.clone(), open);
            servers.push((server.clone(), opened));
        }
        let shared = Arc::new(Shared {
            admission: Mutex::new(Admission::new(&config)),
            clock: Clock(Instant::now()),
            core: core_queue.clone(),
            closing: closed,
            inbound,
            config,
            local,
        });
        let mut links = BTreeMap::new();
        for (server, opened) in servers {
            let (to_link, from_core) = mpsc::channel(shared.config.links.queue);
            links.insert(u64::from(server.number), to_link);
            tokio::spawn(server::run(shared.clone(), server, from_core, opened));
        }
        let mut far_end_links = BTreeMap::new();
        for (point, role) in signalling {
            let (to_link, from_core) = mpsc::channel(shared.config.links.queue);
            far_end_links.insert(point, to_link);
            let events = shared.core.clone();
            tokio::spawn(signalling::serve(point, role, from_core, events, |far, event| {
                CoreMessage::Desk(match event {
                    LinkEvent::Up => SessionInput::TrunkUp(far),
                    LinkEvent::Down => SessionInput::TrunkDown(far),
                    LinkEvent::Packet(data) => SessionInput::TrunkPacket(data),
                })
            }));
        }
        let fleet = fleet.map(Arc::new);
        if let Some(socket) = &fleet {
            tokio::spawn(fleet::receive(shared.clone(), socket.clone()));
        }
        if let Some(socket) = admin {
            tokio::spawn(admin::serve(shared.clone(), socket));
        }
        if let Some(listener) = pool {
            tokio::spawn(pool::serve(shared.clone(), listener));
        }
        let mut datagrams = None;
        if let Some(socket) = text_udp {
            let (to_socket, to_send) = mpsc::channel(shared.config.links.queue);
            datagrams = Some(to_socket);
            tokio::spawn(text::datagrams(shared.clone(), socket, to_send));
        }
        if let Some(listener) = text_tcp {
            tokio::spawn(text::packets(shared.clone(), listener));
        }
        tokio::spawn(accept(shared.clone(), listener));
        let core =
            tokio::spawn(core::run(shared.clone(), desk, from_links, links, far_end_links, datagrams, fleet));
        info!(host = shared.config.host, addr = %addrs.diameter, "front runs");
        Ok(Front { addrs, shared, core_queue, closing, core })
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let mut closing = shared.closing.clone();
    let mut next = 1u64;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, addr)) => {
                let link = LinkId(next);
                next += 1;
                if shared.admission().accept(link) {
                    tokio::spawn(client::run(shared.clone(), stream, link));
                } else {
                    warn!(%addr, "connection limit reached: connection closed");
                }
            }
            // Errors such as running out of file descriptors may be temporary; the pause avoids a busy loop.
            Err(error) => {
                warn!(%error, "accept");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// A running front.
pub struct Front {
    addrs: Addrs,
    shared: Arc<Shared>,
    core_queue: mpsc::Sender<CoreMessage>,
    closing: watch::Sender<bool>,
    core: tokio::task::JoinHandle<()>,
}

impl Front {
    /// Addresses of the bound sockets.
    pub fn addrs(&self) -> Addrs {
        self.addrs
    }

    /// Counters and current state; `None` once the front has stopped.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        let (reply, snapshot) = oneshot::channel();
        self.core_queue.send(CoreMessage::Snapshot(reply)).await.ok()?;
        snapshot.await.ok()
    }

    /// Shuts the front down gracefully: accepts no new connections or calls, answers pending requests, lets
    /// established calls end until the time is nearly up and then drops them, and sends DPR to all peers.
    /// Takes at most the `stop-within` time plus one second.
    pub async fn stop(self) {
        let timeout = Duration::from_micros(self.shared.config.shutdown_timeout);
        let _ = self.closing.send(true);
        let (done, stopped) = oneshot::channel();
        if self.core_queue.send(CoreMessage::Stop { timeout, done }).await.is_ok() {
            let _ = tokio::time::timeout(timeout + Duration::from_secs(1), stopped).await;
        }
        self.core.abort();
        info!(host = self.shared.config.host, "front stopped");
    }
}
