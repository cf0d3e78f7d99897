//! The server list pushed by a list service: host names, states, and the age of each process.

use std::collections::BTreeMap;

use baydrift::interface::{Entry, ListKind, Micros, ServerState};
use baydrift_config::Config;

/// An entry of a pushed list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolEntry {
    /// Origin-Host of a configured server.
    pub host: String,
    /// State of the server.
    pub state: ServerState,
    /// How long ago its process started, in microseconds, if known.
    pub started_ago: Option<Micros>,
}

/// A pushed server list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolList {
    /// Increases with each list; a list is rejected unless it is newer than the last one.
    pub version: u64,
    /// Whether servers missing from the list are removed.
    pub full: bool,
    /// The entries.
    pub servers: Vec<PoolEntry>,
}

/// Why a list was rejected; the last valid one stays in force.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PoolError {
    /// The list is not newer than the last one applied.
    #[error("version {got} after version {known}: only newer lists are taken")]
    Outdated {
        /// Version of the rejected list.
        got: u64,
        /// Version of the last list applied.
        known: u64,
    },
    /// A host that is not configured, so its address is unknown.
    #[error("server {0} is not configured here")]
    Unknown(String),
    /// A host occurs twice.
    #[error("server {0} is named twice")]
    Duplicate(String),
}

/// The configured servers by host, and the version of the last list applied.
#[derive(Debug, Clone)]
pub(crate) struct ServerPool {
    server_numbers: BTreeMap<String, u16>,
    version: Option<u64>,
}

impl ServerPool {
    pub(crate) fn new(config: &Config) -> Self {
        let server_numbers =
            config.pool_members().map(|(host, number, _)| (host.to_owned(), number)).collect();
        Self { server_numbers, version: None }
    }

    /// Entries of the configured servers, in force until the first pushed list.
    pub(crate) fn initial_entries(config: &Config) -> Vec<Entry> {
        let entry = |(_, number, state): (&str, u16, ServerState)| Entry {
            server: u64::from(number),
            number,
            state,
            started_at: None,
        };
        config.pool_members().map(entry).collect()
    }

    /// Converts a pushed list to entries and records its version; a list with any invalid entry is rejected
    /// whole.
    pub(crate) fn apply(
        &mut self,
        now: Micros,
        list: &PoolList,
    ) -> Result<(ListKind, Vec<Entry>), PoolError> {
        if let Some(known) = self.version.filter(|known| list.version <= *known) {
            return Err(PoolError::Outdated { got: list.version, known });
        }
        let mut entries: Vec<Entry> = Vec::new();
        for item in &list.servers {
            let Some(number) = self.server_numbers.get(&item.host).copied() else {
                return Err(PoolError::Unknown(item.host.clone()));
            };
            if entries.iter().any(|entry| entry.number == number) {
                return Err(PoolError::Duplicate(item.host.clone()));
            }
            let started_at = item.started_ago.map(|ago| now.saturating_sub(ago));
            entries.push(Entry { server: u64::from(number), number, state: item.state, started_at });
        }
        self.version = Some(list.version);
        Ok((if list.full { ListKind::Full } else { ListKind::Delta }, entries))
    }
}
