//! The list of signalling servers and its numbered versions.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use baydrift::interface::{Entry, Micros, ServerId, ServerState};
use serde::Deserialize;

use crate::PlatformError;

/// Maximum number of servers in a list.
pub const SERVERS_MAX: usize = 256;

/// Derives the numeric id of a server from its name.
///
/// Uses the FNV-1a hash, so that all front nodes assign the same id.
pub fn server_id(name: &str) -> ServerId {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// A signalling server of the list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedServer {
    /// Server name, unique within the list.
    pub name: String,
    /// Address that the server accepts connections on.
    pub address: SocketAddr,
    /// Server number, by which a set-up names its preferred server.
    pub number: u16,
    /// Server state; a terminated server is not in the list.
    pub state: ServerState,
    /// Start time of the server process in Unix microseconds; `None` if it started long ago.
    pub started_at: Option<Micros>,
}

impl ListedServer {
    /// Converts the server to a list entry of the decision module.
    pub fn entry(&self) -> Entry {
        Entry {
            server: server_id(&self.name),
            number: self.number,
            state: self.state,
            started_at: self.started_at,
        }
    }
}

/// The complete list as of one event.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ListSnapshot {
    /// Sequence number of the event.
    pub seq: u32,
    /// Servers by name.
    pub servers: BTreeMap<String, ListedServer>,
}

/// The most recent list known to this front node.
#[derive(Debug, Clone, Default)]
pub struct ServerList {
    snapshot: ListSnapshot,
}

#[derive(Deserialize)]
struct RawList {
    seq: u32,
    results: Vec<RawEvent>,
}

#[derive(Deserialize)]
struct RawEvent {
    #[serde(default)]
    fleet: Option<RawChanges>,
}

#[derive(Deserialize)]
struct RawChanges {
    #[serde(default)]
    snapshot: bool,
    #[serde(default)]
    endpoints: Vec<RawServer>,
}

#[derive(Deserialize)]
struct RawServer {
    name: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    group: i64,
    status: String,
    #[serde(default)]
    since_ms: f64,
}

/// Converts a start time from Unix milliseconds to microseconds; `None` for 0 and for invalid values.
pub(crate) fn started_at(ms: f64) -> Option<Micros> {
    (ms.is_finite() && ms > 0.0).then_some((ms * 1e3) as Micros)
}

impl ServerList {
    /// Reads the list from the value of the configuration key `known` by applying its events in order.
    ///
    /// # Errors
    /// If the value is malformed, has an invalid entry, or lists more than [`SERVERS_MAX`] servers.
    pub fn from_config(known: serde_json::Value) -> Result<Self, PlatformError> {
        let raw: RawList =
            serde_json::from_value(known).map_err(|e| PlatformError::InvalidList(e.to_string()))?;
        let mut servers = BTreeMap::new();
        for (first, changes) in
            raw.results.into_iter().filter_map(|r| r.fleet).enumerate().map(|(i, c)| (i == 0, c))
        {
            if changes.snapshot || first {
                servers.clear();
            }
            for endpoint in changes.endpoints {
                let state = match endpoint.status.as_str() {
                    "in_service" => ServerState::Ready,
                    "terminating" => ServerState::Draining,
                    "terminated" => {
                        servers.remove(&endpoint.name);
                        continue;
                    }
                    other => {
                        return Err(PlatformError::InvalidList(format!(
                            "{}: unknown status '{other}'",
                            endpoint.name
                        )))
                    }
                };
                let address = endpoint.address.parse();
                let address = address.map_err(|_| {
                    PlatformError::InvalidList(format!(
                        "{}: invalid address '{}'",
                        endpoint.name, endpoint.address
                    ))
                })?;
                let number = u16::try_from(endpoint.group);
                let number = number.map_err(|_| {
                    PlatformError::InvalidList(format!("{}: invalid group {}", endpoint.name, endpoint.group))
                })?;
                let name = endpoint.name;
                let server = ListedServer {
                    name: name.clone(),
                    address,
                    number,
                    state,
                    started_at: started_at(endpoint.since_ms),
                };
                servers.insert(name, server);
            }
            if servers.len() > SERVERS_MAX {
                return Err(PlatformError::InvalidList(format!(
                    "more than {SERVERS_MAX} signalling servers"
                )));
            }
        }
        Ok(Self { snapshot: ListSnapshot { seq: raw.seq, servers } })
    }

    /// Replaces the list by one with a higher sequence number; returns whether it was replaced.
    ///
    /// Older lists are ignored, whatever their source.
    pub fn update(&mut self, snapshot: ListSnapshot) -> bool {
        let newer = snapshot.seq > self.snapshot.seq;
        if newer {
            self.snapshot = snapshot;
        }
        newer
    }

    /// Sequence number of the last event.
    pub fn seq(&self) -> u32 {
        self.snapshot.seq
    }

    /// Servers in the order of their names.
    pub fn servers(&self) -> impl Iterator<Item = &ListedServer> {
        self.snapshot.servers.values()
    }

    /// Converts the complete list to entries of the decision module.
    pub fn entries(&self) -> Vec<Entry> {
        self.servers().map(ListedServer::entry).collect()
    }
}
