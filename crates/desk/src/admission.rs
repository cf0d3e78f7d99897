//! Admission of client connections: which hosts may connect, and how many connections each.

use std::collections::BTreeMap;

use baydrift_call::LinkId;
use baydrift_config::{Client, Config};
use baydrift_diameter::{read_capabilities, result, Fault, Local, Message, Remote};

/// Host and realm of a configured client entry that matches any client, for closed networks and
/// demonstrations.
const WILDCARD: &str = "*";

/// A client that completed its capabilities exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmittedClient {
    /// Its identity and capabilities.
    pub remote: Remote,
    /// Whether it may forward requests of other hosts.
    pub relay: bool,
}

/// Admits connections within the limits for all, for half-open ones and for each client.
#[derive(Debug)]
pub struct Admission {
    clients: BTreeMap<String, Client>,
    connections: BTreeMap<LinkId, Option<String>>,
    half_open: usize,
    max_connections: usize,
    max_half_open: usize,
}

impl Admission {
    /// Creates the admission of a front from its configuration.
    pub fn new(config: &Config) -> Self {
        Self {
            clients: config.clients.iter().map(|client| (client.host.clone(), client.clone())).collect(),
            connections: BTreeMap::new(),
            half_open: 0,
            max_connections: config.links.connections,
            max_half_open: config.links.half_open,
        }
    }

    /// Counts an accepted transport connection; `false` if a limit is reached and it is to be closed.
    pub fn accept(&mut self, link: LinkId) -> bool {
        let room = self.connections.len() < self.max_connections && self.half_open < self.max_half_open;
        if room {
            self.connections.insert(link, None);
            self.half_open += 1;
        }
        room
    }

    /// Admits a client by its CER. On success the connection counts towards the limit of the client.
    ///
    /// # Errors
    /// 3010 for a host that is not configured or has another realm; 5012 if the client has reached its limit
    /// of connections or the capabilities were already exchanged; otherwise as [`read_capabilities`].
    pub fn admit(&mut self, link: LinkId, cer: &Message, local: &Local) -> Result<AdmittedClient, Fault> {
        let remote = read_capabilities(cer, local)?;
        let unknown = |text: String| Fault::new(result::UNKNOWN_PEER, text);
        let client = self.clients.get(&remote.host).or_else(|| self.clients.get(WILDCARD));
        let client = client.ok_or_else(|| unknown(format!("{} is not known here", remote.host)))?;
        if client.realm != remote.realm && client.realm != WILDCARD {
            return Err(unknown(format!("{} is of another realm than {}", remote.host, remote.realm)));
        }
        let open = self.connections.values().flatten().filter(|host| **host == remote.host).count();
        if open >= client.connections {
            let text = format!("{} has {open} connections, as many as it may", remote.host);
            return Err(Fault::new(result::UNABLE_TO_COMPLY, text));
        }
        let Some(owner @ None) = self.connections.get_mut(&link) else {
            return Err(Fault::new(result::UNABLE_TO_COMPLY, "capabilities were exchanged already"));
        };
        *owner = Some(remote.host.clone());
        self.half_open -= 1;
        Ok(AdmittedClient { relay: client.relay, remote })
    }

    /// Removes a closed connection.
    pub fn close(&mut self, link: LinkId) {
        if let Some(None) = self.connections.remove(&link) {
            self.half_open -= 1;
        }
    }

    /// Number of connections, and of the half-open ones among them.
    pub fn count(&self) -> (usize, usize) {
        (self.connections.len(), self.half_open)
    }
}
