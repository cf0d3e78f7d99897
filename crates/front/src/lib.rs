//! A front on sockets: a thin coat of tokio around [`baydrift_desk::Desk`].
//!
//! One task owns the desk ([`core`]); each client connection and each server is a task of its own
//! ([`client`], [`server`]) with a bounded queue towards it. A task that reads waits while the core is
//! behind, so that a client which sends too fast is held by TCP; a peer that does not read loses its link
//! when its queue is full. No task decides anything.

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
use baydrift_desk::{local, Boot, Desk, DeskInput, Doors, Held};
use baydrift_diameter::{Codec, Local, Message};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::codec::Framed;
use tracing::{info, warn};

use crate::core::ToCore;
use crate::signalling::Linked;

pub use admin::{query_admin, AdminError};
pub use exchange::{Exchange, ExchangeCommand, ExchangeState};
pub use signalling::Role;

/// Why a front cannot start.
#[derive(Debug, thiserror::Error)]
pub enum FrontError {
    /// A socket cannot be bound.
    #[error("cannot listen for {what} on {addr}: {error}")]
    Bind {
        /// For what.
        what: &'static str,
        /// Where.
        addr: SocketAddr,
        /// Why.
        error: std::io::Error,
    },
    /// The operators' socket cannot be made.
    #[error("cannot listen for operators on {}: {error}", path.display())]
    Admin {
        /// Where.
        path: std::path::PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// The engine refuses its settings.
    #[error(transparent)]
    Engine(#[from] EngineError),
}

/// Addresses that are bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addrs {
    /// Clients.
    pub diameter: SocketAddr,
    /// The pool list.
    pub pool: Option<SocketAddr>,
    /// Messages between fronts.
    pub fleet: Option<SocketAddr>,
    /// H.248 text in datagrams.
    pub text_udp: Option<SocketAddr>,
    /// H.248 text in TPKT over TCP.
    pub text_tcp: Option<SocketAddr>,
}

/// What a front has done and holds.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The engine's counts.
    pub counts: Counts,
    /// What is held.
    pub held: Held,
    /// Actions held back, by the rule that they would have broken.
    pub held_back: Vec<(&'static str, u64)>,
    /// Requests turned down with a fault.
    pub faults: u64,
    /// Client connections, and half-open ones among them.
    pub connections: (usize, usize),
    /// Time spent in codec, desk (engine and module), by the core and links; microseconds.
    pub spent: Spent,
}

/// CPU-side time by part, in nanoseconds of wall time inside the part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Spent {
    /// In the desk: translation, engine and module.
    pub desk_ns: u64,
    /// Messages into the desk.
    pub inputs: u64,
}

/// One clock for all tasks of a front: microseconds since its start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn now(&self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }

    /// When a time is, for a timer; far away for never.
    pub(crate) fn at(&self, micros: Micros) -> tokio::time::Instant {
        const FAR: Micros = 86_400_000_000;
        let ahead = micros.saturating_sub(self.now()).min(FAR);
        tokio::time::Instant::now() + Duration::from_micros(ahead)
    }
}

/// A transport that another peer opened, with the CER that came first.
pub(crate) type Inbound = (Framed<TcpStream, Codec>, Message);

/// What all tasks share.
pub(crate) struct Shared {
    pub(crate) config: Config,
    pub(crate) local: Arc<Local>,
    pub(crate) clock: Clock,
    pub(crate) doors: Mutex<Doors>,
    pub(crate) core: mpsc::Sender<ToCore>,
    /// Servers' tasks by host, for transports that servers open themselves.
    pub(crate) inbound: BTreeMap<String, mpsc::Sender<Inbound>>,
    /// Turns true when the front stops taking connections.
    pub(crate) closing: watch::Receiver<bool>,
}

impl Shared {
    pub(crate) fn doors(&self) -> std::sync::MutexGuard<'_, Doors> {
        self.doors.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The first End-to-End Identifier of a peer: time in the high bits (RFC 6733, section 3).
    pub(crate) fn end_to_end(&self) -> u32 {
        self.local.state_id << 20 | rand::random::<u32>() >> 12
    }
}

/// A front whose sockets are bound and that does nothing yet.
pub struct Bound {
    config: Config,
    listener: TcpListener,
    pool: Option<TcpListener>,
    fleet: Option<UdpSocket>,
    text_udp: Option<UdpSocket>,
    text_tcp: Option<TcpListener>,
    /// Signalling links, by the far end's point code.
    signalling: BTreeMap<u32, Role>,
    admin: Option<admin::Socket>,
    addrs: Addrs,
    /// The wall clock is so many microseconds off.
    clock_off: i64,
}

/// Messages that wait for the core; beyond it readers wait.
const CORE_QUEUE: usize = 4_096;

impl Bound {
    /// Binds all sockets of a configuration.
    ///
    /// # Errors
    /// The first that cannot be bound.
    pub async fn bind(config: Config) -> Result<Self, FrontError> {
        let fail = |what, addr| move |error| FrontError::Bind { what, addr, error };
        let listener = TcpListener::bind(config.listen).await.map_err(fail("clients", config.listen))?;
        let pool = match &config.pool {
            Some(pool) => {
                Some(TcpListener::bind(pool.listen).await.map_err(fail("the pool list", pool.listen))?)
            }
            None => None,
        };
        let fleet = match &config.fleet {
            Some(fleet) => Some(UdpSocket::bind(fleet.bind).await.map_err(fail("other fronts", fleet.bind))?),
            None => None,
        };
        let (mut text_udp, mut text_tcp) = (None, None);
        if let Some(text) = &config.text {
            text_udp = Some(UdpSocket::bind(text.udp).await.map_err(fail("text commands", text.udp))?);
            if let Some(tcp) = text.tcp {
                text_tcp = Some(TcpListener::bind(tcp).await.map_err(fail("text commands", tcp))?);
            }
        }
        let mut signalling = BTreeMap::new();
        for far in &config.far_ends {
            let role = match far.dial {
                Dial::Connect(addr) => Role::Connect(addr),
                Dial::Listen(addr) => {
                    let what = "a far end's signalling";
                    Role::Listen(TcpListener::bind(addr).await.map_err(fail(what, addr))?)
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
            diameter: listener.local_addr().map_err(fail("clients", config.listen))?,
            pool: pool.as_ref().and_then(|socket| socket.local_addr().ok()),
            fleet: fleet.as_ref().and_then(|socket| socket.local_addr().ok()),
        };
        Ok(Self { config, listener, pool, fleet, text_udp, text_tcp, signalling, admin, addrs, clock_off: 0 })
    }

    /// What is bound.
    pub fn addrs(&self) -> Addrs {
        self.addrs
    }

    /// Names the other fronts' addresses anew, where their ports were not known before.
    pub fn set_fleet_addrs(&mut self, fronts: Vec<(u32, SocketAddr)>) {
        if let Some(fleet) = &mut self.config.fleet {
            fleet.fronts = fronts;
        }
    }

    /// Takes the wall clock for so many microseconds off: a fault, for days that want one.
    pub fn set_clock_offset(&mut self, micros: i64) {
        self.clock_off = micros;
    }

    /// Starts all tasks on the current runtime.
    ///
    /// # Errors
    /// Where the engine refuses its settings.
    pub fn start(self) -> Result<Front, FrontError> {
        self.start_with_policy(None)
    }

    /// The same with another policy than the module, for comparisons.
    ///
    /// # Errors
    /// As [`Bound::start`].
    pub fn start_with_policy(self, policy: Option<Box<dyn Policy>>) -> Result<Front, FrontError> {
        let Self { config, listener, pool, fleet, text_udp, text_tcp, signalling, admin, addrs, clock_off } =
            self;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        let boot = Boot::at(unix.saturating_add_signed(clock_off), rand::random());
        let seed = config.seed.unwrap_or_else(rand::random);
        let desk = match policy {
            Some(policy) => Desk::with_policy(&config, boot, policy)?,
            None => Desk::new(&config, boot, seed)?,
        };
        let local = local(&config, addrs.diameter.ip(), boot.state_id);
        let (to_core, from_links) = mpsc::channel(CORE_QUEUE);
        let (closing, closed) = watch::channel(false);
        let (mut inbound, mut servers) = (BTreeMap::new(), Vec::new());
        for server in &config.servers {
            let (open, opened) = mpsc::channel(1);
            inbound.insert(server.host.clone(), open);
            servers.push((server.clone(), opened));
        }
        let shared = Arc::new(Shared {
            doors: Mutex::new(Doors::new(&config)),
            clock: Clock(Instant::now()),
            core: to_core.clone(),
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
        let mut fars = BTreeMap::new();
        for (point, role) in signalling {
            let (to_link, from_core) = mpsc::channel(shared.config.links.queue);
            fars.insert(point, to_link);
            let tell = shared.core.clone();
            tokio::spawn(signalling::serve(point, role, from_core, tell, |far, linked| {
                ToCore::Desk(match linked {
                    Linked::Up => DeskInput::TrunkUp(far),
                    Linked::Down => DeskInput::TrunkDown(far),
                    Linked::Packet(data) => DeskInput::Trunk(data),
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
        let core = tokio::spawn(core::run(shared.clone(), desk, from_links, links, fars, datagrams, fleet));
        info!(host = shared.config.host, addr = %addrs.diameter, "front runs");
        Ok(Front { addrs, shared, to_core, closing, core })
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
                if shared.doors().accept(link) {
                    tokio::spawn(client::run(shared.clone(), stream, link));
                } else {
                    warn!(%addr, "no room for another connection: closed");
                }
            }
            // Out of descriptors or the like: it may pass, and must not spin.
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
    to_core: mpsc::Sender<ToCore>,
    closing: watch::Sender<bool>,
    core: tokio::task::JoinHandle<()>,
}

impl Front {
    /// What is bound.
    pub fn addrs(&self) -> Addrs {
        self.addrs
    }

    /// What it has done and holds; nothing once it has stopped.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        let (tell, told) = oneshot::channel();
        self.to_core.send(ToCore::Snapshot(tell)).await.ok()?;
        told.await.ok()
    }

    /// An orderly stop: no new connections or calls; what is undecided is answered; calls that stand may end
    /// for a while and are cut then; DPR to all peers. Takes no longer than `stop-within` and a second.
    pub async fn stop(self) {
        let within = Duration::from_micros(self.shared.config.shutdown_timeout);
        let _ = self.closing.send(true);
        let (done, stopped) = oneshot::channel();
        if self.to_core.send(ToCore::Stop { within, done }).await.is_ok() {
            let _ = tokio::time::timeout(within + Duration::from_secs(1), stopped).await;
        }
        self.core.abort();
        info!(host = self.shared.config.host, "front stopped");
    }
}
