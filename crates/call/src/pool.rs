//! The servers as this front knows them, from several sources that may disagree.
//!
//! Order of belief: a server's own word that it drains (DPR) or the list's holds at once, whichever comes
//! first; it ends when the list shows the server ready *and* the server has spoken to us anew. A start is
//! told by the list (late) or seen on the link (a changed origin state): both tell of one start when they
//! are nearer than a ramp, so that a server is not ramped twice.

use std::collections::BTreeMap;

use baydrift::interface::{Entry, ListKind, Micros, ServerId, ServerState};

use crate::types::LinkState;

/// What is known of one server.
#[derive(Debug, Clone, PartialEq)]
struct Known {
    listed: Entry,
    /// It said itself that it drains.
    left_itself: bool,
    /// Since when it drains or is gone, by whatever source told first.
    left_at: Option<Micros>,
    started_at: Option<Micros>,
}

impl Known {
    fn entry(&self) -> Entry {
        let state = match self.listed.state {
            ServerState::Ready if self.left_itself => ServerState::Draining,
            state => state,
        };
        Entry { state, started_at: self.started_at, ..self.listed.clone() }
    }
}

/// The pool; see the module's page.
#[derive(Debug)]
pub struct Pool {
    servers: BTreeMap<ServerId, Known>,
    links: BTreeMap<ServerId, LinkState>,
    ramp: Micros,
    most: usize,
}

impl Pool {
    /// An empty pool of at most so many servers; `ramp` is how long a cold server takes to be warm.
    pub fn new(ramp: Micros, most: usize) -> Self {
        Self { servers: BTreeMap::new(), links: BTreeMap::new(), ramp, most }
    }

    /// Takes a list; what the module is to be told of it: the entries that changed. Servers beyond the
    /// bound are left out, and their number is returned beside.
    pub fn list(&mut self, now: Micros, kind: ListKind, entries: &[Entry]) -> (Vec<Entry>, usize) {
        let mut changed = Vec::new();
        let mut over = 0;
        if kind == ListKind::Failed {
            return (changed, over);
        }
        if kind == ListKind::Full {
            for (id, known) in &mut self.servers {
                if known.listed.state != ServerState::Gone && entries.iter().all(|e| e.server != *id) {
                    known.listed.state = ServerState::Gone;
                    known.left_at.get_or_insert(now);
                    changed.push(known.entry());
                }
            }
        }
        for entry in entries {
            if !self.servers.contains_key(&entry.server) {
                if self.servers.len() >= self.most && !self.forget_one() {
                    over += 1;
                    continue;
                }
                let known = Known {
                    listed: entry.clone(),
                    left_itself: false,
                    left_at: (entry.state != ServerState::Ready).then_some(now),
                    started_at: entry.started_at,
                };
                changed.push(known.entry());
                self.servers.insert(entry.server, known);
                continue;
            }
            let Some(known) = self.servers.get_mut(&entry.server) else { continue };
            let before = known.entry();
            known.listed = entry.clone();
            if let Some(at) = entry.started_at {
                let one_start = known.started_at.is_some_and(|old| old.abs_diff(at) < self.ramp);
                if !one_start {
                    known.started_at = Some(at);
                }
            }
            Self::settle(now, known);
            if known.entry() != before {
                changed.push(known.entry());
            }
        }
        (changed, over)
    }

    /// A server said that it drains. The changed entry, if that is news.
    pub fn drains(&mut self, now: Micros, server: ServerId) -> Option<Entry> {
        let known = self.servers.get_mut(&server)?;
        let before = known.entry();
        known.left_itself = true;
        Self::settle(now, known);
        Some(known.entry()).filter(|entry| *entry != before)
    }

    /// A server's link changed. The changed entry, if it tells of more than the link.
    pub fn link(&mut self, now: Micros, server: ServerId, state: LinkState) -> Option<Entry> {
        self.links.insert(server, state);
        let known = self.servers.get_mut(&server)?;
        let before = known.entry();
        if let LinkState::Up { restarted } = state {
            known.left_itself = false;
            let told = known.started_at.is_some_and(|at| now.saturating_sub(at) < self.ramp);
            if restarted && !told {
                known.started_at = Some(now);
            }
        }
        Self::settle(now, known);
        Some(known.entry()).filter(|entry| *entry != before)
    }

    /// The link's state; down while nothing was heard of it.
    pub fn link_state(&self, server: ServerId) -> LinkState {
        self.links.get(&server).copied().unwrap_or(LinkState::Down)
    }

    /// When this front was first told that the server drains or is gone; `None` while it is ready.
    /// A server that was never listed counts as gone for ever.
    pub fn left_at(&self, server: ServerId) -> Option<Micros> {
        self.servers.get(&server).map_or(Some(0), |known| known.left_at)
    }

    /// Whether the list says that it is there no longer.
    pub fn is_gone(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|known| known.listed.state == ServerState::Gone)
    }

    /// Whether its processor ramps.
    pub fn is_cold(&self, now: Micros, server: ServerId) -> bool {
        let started = self.servers.get(&server).and_then(|known| known.started_at);
        started.is_some_and(|at| now.saturating_sub(at) < self.ramp)
    }

    fn settle(now: Micros, known: &mut Known) {
        if known.entry().state == ServerState::Ready {
            known.left_at = None;
        } else {
            known.left_at.get_or_insert(now);
        }
    }

    /// Makes room: a server that is gone is forgotten.
    fn forget_one(&mut self) -> bool {
        let gone = self.servers.iter().find(|(_, known)| known.listed.state == ServerState::Gone);
        let Some(id) = gone.map(|(id, _)| *id) else { return false };
        self.servers.remove(&id);
        self.links.remove(&id);
        true
    }
}
