//! Who may connect, and how many at once.

use std::collections::BTreeMap;

use baydrift_call::LinkId;
use baydrift_config::{Client, Config};
use baydrift_diameter::{read_capabilities, result, Fault, Local, Message, Remote};

/// Host and realm of the configured client that stands for every other: an operator's choice, for closed
/// networks and demonstrations.
const ANYONE: &str = "*";

/// A connection that may go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmittedClient {
    /// Who it is.
    pub remote: Remote,
    /// Whether it forwards requests of other hosts.
    pub relay: bool,
}

/// Counts connections: all, half-open, and each client's own.
#[derive(Debug)]
pub struct Admission {
    clients: BTreeMap<String, Client>,
    open: BTreeMap<LinkId, Option<String>>,
    half_open: usize,
    most: usize,
    most_half_open: usize,
}

impl Admission {
    /// By a configuration.
    pub fn new(config: &Config) -> Self {
        Self {
            clients: config.clients.iter().map(|client| (client.host.clone(), client.clone())).collect(),
            open: BTreeMap::new(),
            half_open: 0,
            most: config.links.connections,
            most_half_open: config.links.half_open,
        }
    }

    /// A transport was accepted; `false` when there is no room and it is to be closed at once.
    pub fn accept(&mut self, link: LinkId) -> bool {
        let room = self.open.len() < self.most && self.half_open < self.most_half_open;
        if room {
            self.open.insert(link, None);
            self.half_open += 1;
        }
        room
    }

    /// A CER came first. On success the connection counts as its client's.
    ///
    /// # Errors
    /// 3010 for a host that is not configured, or of another realm; 5012 where a client has as many
    /// connections as it may; else as [`read_capabilities`].
    pub fn admit(&mut self, link: LinkId, cer: &Message, local: &Local) -> Result<AdmittedClient, Fault> {
        let remote = read_capabilities(cer, local)?;
        let unknown = |text: String| Fault::new(result::UNKNOWN_PEER, text);
        let client = self.clients.get(&remote.host).or_else(|| self.clients.get(ANYONE));
        let client = client.ok_or_else(|| unknown(format!("{} is not known here", remote.host)))?;
        if client.realm != remote.realm && client.realm != ANYONE {
            return Err(unknown(format!("{} is of another realm than {}", remote.host, remote.realm)));
        }
        let theirs = self.open.values().flatten().filter(|host| **host == remote.host).count();
        if theirs >= client.connections {
            let text = format!("{} has {theirs} connections, as many as it may", remote.host);
            return Err(Fault::new(result::UNABLE_TO_COMPLY, text));
        }
        let Some(owner @ None) = self.open.get_mut(&link) else {
            return Err(Fault::new(result::UNABLE_TO_COMPLY, "capabilities were exchanged already"));
        };
        *owner = Some(remote.host.clone());
        self.half_open -= 1;
        Ok(AdmittedClient { relay: client.relay, remote })
    }

    /// A transport is gone.
    pub fn close(&mut self, link: LinkId) {
        if let Some(None) = self.open.remove(&link) {
            self.half_open -= 1;
        }
    }

    /// Connections in all, and half-open ones among them.
    pub fn count(&self) -> (usize, usize) {
        (self.open.len(), self.half_open)
    }
}
