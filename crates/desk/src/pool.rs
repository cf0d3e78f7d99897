//! The pool list as a list service pushes it: hosts by name, states, and how long ago each started.

use std::collections::BTreeMap;

use baydrift::interface::{Entry, ListKind, Micros, ServerState};
use baydrift_config::Config;

/// One line of a pushed list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolEntry {
    /// Origin-Host of a configured server.
    pub host: String,
    /// Its state.
    pub state: ServerState,
    /// How long ago its process started, where that is known.
    pub started_ago: Option<Micros>,
}

/// A pushed list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolList {
    /// Grows with each list; an older one than the last is not taken.
    pub version: u64,
    /// Whether servers that it lacks are gone.
    pub full: bool,
    /// Its lines.
    pub servers: Vec<PoolEntry>,
}

/// Why a list is not taken; the last good one holds.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PoolError {
    /// A list as new or newer was taken already.
    #[error("version {got} after version {known}: only newer lists are taken")]
    Old {
        /// This list's.
        got: u64,
        /// The last one taken.
        known: u64,
    },
    /// A host that the configuration lacks: where it listens is not known.
    #[error("server {0} is not configured here")]
    Unknown(String),
    /// One host twice.
    #[error("server {0} is named twice")]
    Twice(String),
}

/// The configured servers by host, and the last version taken.
#[derive(Debug, Clone)]
pub(crate) struct Roster {
    numbers: BTreeMap<String, u16>,
    version: Option<u64>,
}

impl Roster {
    pub(crate) fn new(config: &Config) -> Self {
        let numbers = config.pool_members().map(|(host, number, _)| (host.to_owned(), number)).collect();
        Self { numbers, version: None }
    }

    /// The configured pool, to start from.
    pub(crate) fn first(config: &Config) -> Vec<Entry> {
        let entry = |(_, number, state): (&str, u16, ServerState)| Entry {
            server: u64::from(number),
            number,
            state,
            started_at: None,
        };
        config.pool_members().map(entry).collect()
    }

    /// A pushed list as entries; all of it or nothing.
    pub(crate) fn take(&mut self, now: Micros, list: &PoolList) -> Result<(ListKind, Vec<Entry>), PoolError> {
        if let Some(known) = self.version.filter(|known| list.version <= *known) {
            return Err(PoolError::Old { got: list.version, known });
        }
        let mut entries: Vec<Entry> = Vec::new();
        for line in &list.servers {
            let Some(number) = self.numbers.get(&line.host).copied() else {
                return Err(PoolError::Unknown(line.host.clone()));
            };
            if entries.iter().any(|entry| entry.number == number) {
                return Err(PoolError::Twice(line.host.clone()));
            }
            let started_at = line.started_ago.map(|ago| now.saturating_sub(ago));
            entries.push(Entry { server: u64::from(number), number, state: line.state, started_at });
        }
        self.version = Some(list.version);
        Ok((if list.full { ListKind::Full } else { ListKind::Delta }, entries))
    }
}
