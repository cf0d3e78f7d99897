//! Configuration of a front.
//!
//! [`parse`] turns a KDL document into a checked [`Config`], or reports *all* problems found in it, each with
//! its position and, where possible, a hint. `docs/operate/front.md` lists the settings for operators.

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

/// All settings of one front, after validation.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Origin-Host.
    pub host: String,
    /// Origin-Realm.
    pub realm: String,
    /// Address on which Diameter clients connect.
    pub listen: SocketAddr,
    /// Realms served, matched with the Destination-Realm of calls.
    pub served_realms: Vec<String>,
    /// Interval of the Diameter watchdog (Tw of RFC 3539).
    pub watchdog: Micros,
    /// Time limit of a graceful shutdown (`stop-within`).
    pub shutdown_timeout: Micros,
    /// Seed of the module's random numbers; `None` for a random seed at start.
    pub seed: Option<u64>,
    /// Limits of the call engine.
    pub limits: Limits,
    /// Limits of links.
    pub links: LinkLimits,
    /// Classes, in the module's order.
    pub classes: Vec<ClassEntry>,
    /// Publishers, in the module's order.
    pub publishers: Vec<Publisher>,
    /// Diameter clients that may connect.
    pub clients: Vec<Client>,
    /// Listeners for H.248 text commands.
    pub text: Option<Text>,
    /// Clients that may send H.248 text commands.
    pub text_clients: Vec<TextClient>,
    /// Diameter servers on which calls are set up.
    pub servers: Vec<Server>,
    /// Signalling point code of this exchange, if it has trunk groups.
    pub point: Option<u32>,
    /// Servers reached over trunk groups.
    pub far_ends: Vec<FarEnd>,
    /// Path of the admin socket. Who may use it depends on the permissions of the file and its directory.
    pub admin: Option<std::path::PathBuf>,
    /// HTTP endpoint to which the list service pushes the pool list.
    pub pool: Option<Pool>,
    /// Communication with the other fronts.
    pub fleet: Option<Fleet>,
    /// Settings passed to the module at start.
    pub settings: Settings,
}

/// Limits of links and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkLimits {
    /// Maximum number of client connections.
    pub connections: usize,
    /// Maximum number of client connections that have not yet exchanged capabilities.
    pub half_open: usize,
    /// Time limit for a client's CER.
    pub handshake: Micros,
    /// Maximum length of a Diameter message, in bytes.
    pub message_bytes: usize,
    /// Capacity, in messages, of the write queue of each peer; when it overflows, a client's link is closed.
    pub queue: usize,
    /// Time limit of a write to a peer.
    pub write: Micros,
}

/// A class of calls, and the Service-Context-Ids by which calls are assigned to it.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassEntry {
    /// Name of the class in logs and tables.
    pub name: String,
    /// Service-Context-Ids.
    pub contexts: Vec<String>,
    /// Time after which a caller abandons a call attempt (`gives-up`).
    pub caller_timeout: Micros,
    /// Settings of the class for the module.
    pub class: Class,
}

/// A publisher (a tenant of the module), and the rules by which calls are assigned to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Publisher {
    /// Name of the publisher.
    pub name: String,
    /// Calls per second that count with their full value.
    pub quota: f64,
    /// Origin-Realms of its calls.
    pub realms: Vec<String>,
    /// Prefixes of the Subscription-Id-Data of its calls; they take precedence over realms.
    pub subscriptions: Vec<String>,
}

/// A client peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Client {
    /// Origin-Host.
    pub host: String,
    /// Origin-Realm.
    pub realm: String,
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Whether it relays requests of other hosts.
    pub relay: bool,
}

/// Listeners for H.248 text commands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Text {
    /// UDP address.
    pub udp: SocketAddr,
    /// TCP address, for TPKT packets.
    pub tcp: Option<SocketAddr>,
}

/// A client that sends H.248 text commands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TextClient {
    /// Its MId as it appears in messages: `<domain>`, `[address]` or a device name, with its port if any.
    pub mid: String,
    /// Its realm, used to assign calls to publishers.
    pub realm: String,
}

/// A server peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Origin-Host.
    pub host: String,
    /// Origin-Realm.
    pub realm: String,
    /// Its number, which is also its id in the module.
    pub number: u16,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Its state until the pool list changes it.
    pub state: ServerState,
}

/// HTTP endpoint for the pool list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Address of the HTTP listener.
    pub listen: SocketAddr,
    /// Bearer token that the list service must present.
    pub token: String,
}

/// Communication between fronts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// Address of this front's own UDP socket.
    pub bind: SocketAddr,
    /// Ordinals and addresses of the other fronts.
    pub fronts: Vec<(u32, SocketAddr)>,
    /// Whether fronts share the set-up budget of servers in warm-up (the policy's `cold-rate`) by leases
    /// (`lends`).
    pub budget_leases: bool,
    /// Whether fronts run the membership protocol to detect failed fronts (`lives`).
    pub membership: bool,
}

impl Config {
    /// All members of the pool, servers and far ends: name, number, and state until the pool list changes it.
    pub fn pool_members(&self) -> impl Iterator<Item = (&str, u16, ServerState)> {
        let servers = self.servers.iter().map(|s| (s.host.as_str(), s.number, s.state));
        servers.chain(self.far_ends.iter().map(|f| (f.host.as_str(), f.number, f.state)))
    }
}
