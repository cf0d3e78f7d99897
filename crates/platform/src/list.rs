//! The list of signalling servers, from its numbered events.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use baydrift::interface::{Entry, Micros, ServerId, ServerState};
use serde::Deserialize;

use crate::Fault;

/// Most servers that a list may have.
pub const SERVERS_MAX: usize = 256;

/// The module's name for a server: a hash of its id (FNV-1a), so that all front nodes name it alike.
pub fn server_id(name: &str) -> ServerId {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// One signalling server as it is listed.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
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

impl Line {
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
pub struct Listed {
    /// The event's number.
    pub seq: u32,
    /// The servers, by id.
    pub lines: BTreeMap<String, Line>,
}

/// The list as this front node knows it.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    listed: Listed,
}

#[derive(Deserialize)]
struct RawKnown {
    seq: u32,
    results: Vec<RawResult>,
}

#[derive(Deserialize)]
struct RawResult {
    #[serde(default)]
    fleet: Option<RawFleet>,
}

#[derive(Deserialize)]
struct RawFleet {
    #[serde(default)]
    snapshot: bool,
    #[serde(default)]
    endpoints: Vec<RawLine>,
}

#[derive(Deserialize)]
struct RawLine {
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

impl Fleet {
    /// The list that a configuration holds under `known`.
    ///
    /// # Errors
    /// When it cannot be read, or an event of it makes no sense.
    pub fn from_known(known: serde_json::Value) -> Result<Self, Fault> {
        let raw: RawKnown = serde_json::from_value(known).map_err(|e| Fault::List(e.to_string()))?;
        let mut lines = BTreeMap::new();
        for (first, fleet) in
            raw.results.into_iter().filter_map(|r| r.fleet).enumerate().map(|(i, f)| (i == 0, f))
        {
            if fleet.snapshot || first {
                lines.clear();
            }
            for line in fleet.endpoints {
                let state = match line.status.as_str() {
                    "in_service" => ServerState::Ready,
                    "terminating" => ServerState::Draining,
                    "terminated" => {
                        lines.remove(&line.name);
                        continue;
                    }
                    other => return Err(Fault::List(format!("{}: unknown status '{other}'", line.name))),
                };
                let address = line.address.parse();
                let address = address
                    .map_err(|_| Fault::List(format!("{}: no address '{}'", line.name, line.address)))?;
                let number = u16::try_from(line.group);
                let number =
                    number.map_err(|_| Fault::List(format!("{}: group {}", line.name, line.group)))?;
                let name = line.name;
                let line = Line {
                    name: name.clone(),
                    address,
                    number,
                    state,
                    started_at: started_at(line.since_ms),
                };
                lines.insert(name, line);
            }
            if lines.len() > SERVERS_MAX {
                return Err(Fault::List(format!("more than {SERVERS_MAX} signalling servers")));
            }
        }
        Ok(Self { listed: Listed { seq: raw.seq, lines } })
    }

    /// Takes a newer list. `false` where it is none: an older one is never believed, whoever sends it.
    pub fn take(&mut self, listed: Listed) -> bool {
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
    pub fn lines(&self) -> impl Iterator<Item = &Line> {
        self.listed.lines.values()
    }

    /// What the module is told: the whole list.
    pub fn entries(&self) -> Vec<Entry> {
        self.lines().map(Line::entry).collect()
    }
}
