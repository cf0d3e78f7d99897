//! The list of signalling servers, from its numbered events.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use baydrift::interface::{Entry, Micros, ServerId, ServerState};
use serde::Deserialize;

use crate::PlatformError;

/// Most servers that a list may have.
pub const SERVERS_MAX: usize = 256;

/// The module's name for a server: a hash of its id (FNV-1a), so that all front nodes name it alike.
pub fn server_id(name: &str) -> ServerId {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// One signalling server as it is listed.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedServer {
    /// Its id.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its number: calls name their first choice by it.
    pub number: u16,
    /// Its state; never gone: a server that is gone has no line.
    pub state: ServerState,
    /// When its process started, in Unix microseconds; `None` when long ago.
    pub started_at: Option<Micros>,
}

impl ListedServer {
    /// What the module is told of it.
    pub fn entry(&self) -> Entry {
        Entry {
            server: server_id(&self.name),
            number: self.number,
            state: self.state,
            started_at: self.started_at,
        }
    }
}

/// The whole list as of one event.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ListSnapshot {
    /// The event's number.
    pub seq: u32,
    /// The servers, by id.
    pub servers: BTreeMap<String, ListedServer>,
}

/// The list as this front node knows it.
#[derive(Debug, Clone, Default)]
pub struct ServerList {
    listed: ListSnapshot,
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

/// Unix milliseconds of a late start to microseconds; 0 for none.
pub(crate) fn started_at(ms: f64) -> Option<Micros> {
    (ms.is_finite() && ms > 0.0).then_some((ms * 1e3) as Micros)
}

impl ServerList {
    /// The list that a configuration holds under `known`.
    ///
    /// # Errors
    /// When it cannot be read, or an event of it makes no sense.
    pub fn from_config(known: serde_json::Value) -> Result<Self, PlatformError> {
        let raw: RawList =
            serde_json::from_value(known).map_err(|e| PlatformError::InvalidList(e.to_string()))?;
        let mut servers = BTreeMap::new();
        for (first, fleet) in
            raw.results.into_iter().filter_map(|r| r.fleet).enumerate().map(|(i, f)| (i == 0, f))
        {
            if fleet.snapshot || first {
                servers.clear();
            }
            for line in fleet.endpoints {
                let state = match line.status.as_str() {
                    "in_service" => ServerState::Ready,
                    "terminating" => ServerState::Draining,
                    "terminated" => {
                        servers.remove(&line.name);
                        continue;
                    }
                    other => {
                        return Err(PlatformError::InvalidList(format!(
                            "{}: unknown status '{other}'",
                            line.name
                        )))
                    }
                };
                let address = line.address.parse();
                let address = address.map_err(|_| {
                    PlatformError::InvalidList(format!("{}: no address '{}'", line.name, line.address))
                })?;
                let number = u16::try_from(line.group);
                let number = number.map_err(|_| {
                    PlatformError::InvalidList(format!("{}: group {}", line.name, line.group))
                })?;
                let name = line.name;
                let line = ListedServer {
                    name: name.clone(),
                    address,
                    number,
                    state,
                    started_at: started_at(line.since_ms),
                };
                servers.insert(name, line);
            }
            if servers.len() > SERVERS_MAX {
                return Err(PlatformError::InvalidList(format!(
                    "more than {SERVERS_MAX} signalling servers"
                )));
            }
        }
        Ok(Self { listed: ListSnapshot { seq: raw.seq, servers } })
    }

    /// Takes a newer list. `false` where it is none: an older one is never believed, whoever sends it.
    pub fn update(&mut self, listed: ListSnapshot) -> bool {
        let newer = listed.seq > self.listed.seq;
        if newer {
            self.listed = listed;
        }
        newer
    }

    /// The number of the last event.
    pub fn seq(&self) -> u32 {
        self.listed.seq
    }

    /// The servers, by id.
    pub fn servers(&self) -> impl Iterator<Item = &ListedServer> {
        self.listed.servers.values()
    }

    /// What the module is told: the whole list.
    pub fn entries(&self) -> Vec<Entry> {
        self.servers().map(ListedServer::entry).collect()
    }
}
