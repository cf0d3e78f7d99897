//! A front's configuration.
//!
//! [`parse`] turns a KDL document into a [`Config`] or into *all* that is wrong with it, each problem with its
//! place and, where there is one, a hint. `docs/operate/front.md` lists the settings for operators.

mod check;
mod front;
mod reader;
mod trunk;

use std::net::SocketAddr;

use baydrift::interface::{Class, Micros, ServerState, Settings};
use baydrift_call::Limits;

pub use front::parse;
pub use reader::{parse_document, span_of, ConfigError, Node, Problem, Problems};
pub use trunk::{Dial, FarEnd, Incoming, TrunkGroup};

/// All settings of one front, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Origin-Host.
    pub host: String,
    /// Origin-Realm.
    pub realm: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Realms that are served.
    pub serves: Vec<String>,
    /// Tw of the watchdog.
    pub watchdog: Micros,
    /// An orderly stop takes no longer.
    pub shutdown_timeout: Micros,
    /// Seed of the module's chance; `None` for one drawn at start.
    pub seed: Option<u64>,
    /// Bounds of the call engine.
    pub limits: Limits,
    /// Bounds of links.
    pub links: LinkLimits,
    /// Classes, in the module's order.
    pub classes: Vec<ClassEntry>,
    /// Publishers, in the module's order.
    pub publishers: Vec<Publisher>,
    /// Who may connect.
    pub clients: Vec<Client>,
    /// Where H.248 text commands are taken.
    pub text: Option<Text>,
    /// Who may send them.
    pub text_clients: Vec<TextClient>,
    /// Where calls are set up.
    pub servers: Vec<Server>,
    /// Signalling point code of this exchange, where it has trunk groups.
    pub point: Option<u32>,
    /// Servers that are reached over trunk groups.
    pub far_ends: Vec<FarEnd>,
    /// Path of the Unix socket on which operators ask; who may is a matter of the file's directory.
    pub admin: Option<std::path::PathBuf>,
    /// Where the list service pushes the pool.
    pub pool: Option<Pool>,
    /// The other fronts.
    pub fleet: Option<Fleet>,
    /// What the module is told at start.
    pub settings: Settings,
}

/// Bounds of links and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkLimits {
    /// Client connections in all.
    pub connections: usize,
    /// Of them, those that have not exchanged capabilities yet.
    pub half_open: usize,
    /// Time for a client's CER.
    pub handshake: Micros,
    /// Longest message.
    pub message_bytes: usize,
    /// Messages that wait to be written to one peer; beyond it the link is closed.
    pub queue: usize,
    /// Time that a peer may take to read what was written.
    pub write: Micros,
}

/// A class, and by which Service-Context-Ids calls belong to it.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassEntry {
    /// Its name in logs and tables.
    pub name: String,
    /// Service-Context-Ids.
    pub contexts: Vec<String>,
    /// Callers give a try up after so long.
    pub caller_timeout: Micros,
    /// What the module is told.
    pub class: Class,
}

/// A publisher, and which calls are its.
#[derive(Debug, Clone, PartialEq)]
pub struct Publisher {
    /// Its name.
    pub name: String,
    /// Calls a second that count in full.
    pub quota: f64,
    /// Origin-Realms.
    pub realms: Vec<String>,
    /// Beginnings of Subscription-Id-Data; they go before realms.
    pub subscriptions: Vec<String>,
}

/// A client peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Client {
    /// Origin-Host.
    pub host: String,
    /// Origin-Realm.
    pub realm: String,
    /// Connections at once.
    pub connections: usize,
    /// Whether it forwards requests of other hosts.
    pub relay: bool,
}

/// Where H.248 text commands are taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Text {
    /// Datagrams.
    pub udp: SocketAddr,
    /// TPKT over TCP.
    pub tcp: Option<SocketAddr>,
}

/// A client that sends text commands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TextClient {
    /// Its MId, as it writes it: `<domain>`, `[address]` or a device's name, with its port if any.
    pub mid: String,
    /// Its realm, for publishers.
    pub realm: String,
}

/// A server peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Origin-Host.
    pub host: String,
    /// Origin-Realm.
    pub realm: String,
    /// Its number; also its id for the module.
    pub number: u16,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its state until the list says otherwise.
    pub state: ServerState,
}

/// Where the pool list is taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// The HTTP listener.
    pub listen: SocketAddr,
    /// What the list service must show.
    pub token: String,
}

/// Messages between fronts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// This front's own socket.
    pub bind: SocketAddr,
    /// The others', by ordinal.
    pub fronts: Vec<(u32, SocketAddr)>,
    /// What cold servers may be sent is shared by lending, by the policy's `cold-rate`.
    pub budget_leases: bool,
    /// Fronts tell each other who of them lives.
    pub membership: bool,
}

impl Config {
    /// All members of the pool, however they are reached: name, number, and state until the list says otherwise.
    pub fn members(&self) -> impl Iterator<Item = (&str, u16, ServerState)> {
        let servers = self.servers.iter().map(|s| (s.host.as_str(), s.number, s.state));
        servers.chain(self.far_ends.iter().map(|f| (f.host.as_str(), f.number, f.state)))
    }
}
