//! The servers as this front knows them, from several sources that may disagree.
//!
//! Order of belief: a server's own word that it drains (DPR) or the list's holds at once, whichever comes
//! first; it ends when the list shows the server ready *and* the server has spoken to us anew. A start is
//! told by the list (late) or seen on the link (a changed origin state): both tell of one start when they
//! are nearer than a ramp and the list's is not the later one by far, so that a server is not ramped twice for one.
//!
//! A server whose link is suspect or down is told to the module as one that drains, since nothing new can go
//! there. Left to find out by failed connects, the module takes whatever answers next for a cold process,
//! as it must where it knows no better; here the link tells whether the process is the same (a lost
//! connection, a hang) or another.

use std::collections::BTreeMap;

use baydrift::interface::{Entry, ListKind, Micros, ServerId, ServerState};

use crate::types::{LinkState, Process};

/// What is known of one server.
#[derive(Debug, Clone, PartialEq)]
struct Known {
    listed: Entry,
    /// It said itself that it drains.
    left_itself: bool,
    /// Since when it drains or is gone, by whatever source told first.
    left_at: Option<Micros>,
    started_at: Option<Micros>,
    /// Its link has come up since.
    seen: bool,
    /// Nobody has told of its start yet: it may have started at this time, for all that this front knows.
    presumed: Option<Micros>,
}

impl Known {
    fn new(now: Micros, entry: &Entry) -> Self {
        Self {
            listed: entry.clone(),
            left_itself: false,
            left_at: (entry.state != ServerState::Ready).then_some(now),
            started_at: entry.started_at,
            seen: false,
            presumed: None,
        }
    }

    /// Its state by all who tell of it.
    fn state(&self) -> ServerState {
        match self.listed.state {
            ServerState::Ready if self.left_itself => ServerState::Draining,
            state => state,
        }
    }

    /// What the module is told.
    fn entry(&self, link: LinkState) -> Entry {
        let state = match (self.state(), link) {
            (ServerState::Ready, LinkState::Suspect | LinkState::Down) => ServerState::Draining,
            (state, _) => state,
        };
        Entry { state, started_at: self.start(), ..self.listed.clone() }
    }

    /// When its process started, as told or as must be presumed.
    fn start(&self) -> Option<Micros> {
        self.started_at.or(self.presumed)
    }

    /// Whether its processor ramps as somebody told, not as must be presumed.
    fn is_told_cold(&self, now: Micros, ramp: Micros) -> bool {
        is_cold(self.started_at, now, ramp)
    }

    fn settle(&mut self, now: Micros) {
        if self.state() == ServerState::Ready {
            self.left_at = None;
        } else {
            self.left_at.get_or_insert(now);
        }
    }
}

/// Whether a process that started then, if it is known when, still ramps.
fn is_cold(started_at: Option<Micros>, now: Micros, ramp: Micros) -> bool {
    started_at.is_some_and(|at| now.saturating_sub(at) < ramp)
}

/// What nobody told of is presumed no longer than this. A list service that pushes to fronts that start does so within
/// it. Guards against one that pushes changes alone: its fronts would ramp warm servers for a whole ramp
/// (`baydrift demo`: service 0.38).
pub(crate) const PRESUMED_FOR: Micros = 1_000_000;
/// A start that the list tells is another one where it is later by this than the one known: its age is of when it was
/// pushed, and pushed lists are not older than this but for ways that hold them.
const LATE: Micros = 1_000_000;
/// A process that said that it leaves and is the same after this has thought better of it.
const STILL_LEAVES: Micros = 60_000_000;

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
            let missing = |id: &ServerId| entries.iter().all(|entry| entry.server != *id);
            let gone: Vec<_> = self.servers.keys().copied().filter(missing).collect();
            for id in gone {
                changed.extend(self.change(id, |known| {
                    known.listed.state = ServerState::Gone;
                    known.settle(now);
                }));
            }
        }
        let ramp = self.ramp;
        for entry in entries {
            if !self.servers.contains_key(&entry.server) {
                if self.servers.len() >= self.most && !self.forget_one() {
                    over += 1;
                    continue;
                }
                let known = Known::new(now, entry);
                changed.push(known.entry(self.link_state(entry.server)));
                self.servers.insert(entry.server, known);
                continue;
            }
            changed.extend(self.change(entry.server, |known| {
                known.listed = entry.clone();
                known.presumed = None;
                let one_start = |at: Micros| {
                    known.started_at.is_some_and(|old| old.abs_diff(at) < ramp && at < old + LATE)
                };
                if let Some(at) = entry.started_at.filter(|at| !one_start(*at)) {
                    known.started_at = Some(at);
                    known.seen = false;
                }
                known.settle(now);
            }));
        }
        (changed, over)
    }

    /// This front has started, and a list that tells of starts will be pushed to it: until the list names a server, its
    /// process may be as young as this one. The entries that changed. Guards against a server that started while this
    /// front was down: with the servers of the configuration taken for warm, the calls that had waited for the front
    /// went there at once (`days/fleet.kdl --virtual --drawn --fleet`, seed 2741).
    pub fn presume(&mut self, now: Micros) -> Vec<Entry> {
        self.change_all(|known| known.presumed = Some(now))
    }

    /// What was presumed for long, and no list told of, is so no more. The entries that changed.
    pub fn presume_no_more(&mut self, now: Micros) -> Vec<Entry> {
        self.change_all(|known| {
            known.presumed = known.presumed.filter(|at| now < at.saturating_add(PRESUMED_FOR));
        })
    }

    /// Whether a start is presumed of any server.
    pub fn presumes(&self) -> bool {
        self.servers.values().any(|known| known.presumed.is_some())
    }

    /// A server said that it drains. The changed entry, if that is news.
    pub fn drains(&mut self, now: Micros, server: ServerId) -> Option<Entry> {
        self.change(server, |known| {
            known.left_itself = true;
            known.settle(now);
        })
    }

    /// A server's link changed. The changed entry, if that is news.
    pub fn link(&mut self, now: Micros, server: ServerId, state: LinkState) -> Option<Entry> {
        let before = self.servers.get(&server).map(|known| known.entry(self.link_state(server)));
        let was_down = self.links.insert(server, state) == Some(LinkState::Down);
        let known = self.servers.get_mut(&server)?;
        if let LinkState::Up(process) = state {
            // A process that said that it leaves, and whose link is lost and opened again by this end, still leaves.
            // Another process is back; so is one that has not left for a minute.
            let long = known.left_at.is_some_and(|at| now >= at.saturating_add(STILL_LEAVES));
            if process != Process::Same || long {
                known.left_itself = false;
            }
            let told = known.is_told_cold(now, self.ramp);
            let another = match process {
                // The list may have told of this start before the link did; once the link has seen it, this is another.
                // Guards against a server that starts twice within a ramp: taken for warm when the first one's was over,
                // it was sent 33 set-ups in a second where 28 were its budget (days/lends.kdl, drawn, seed 73).
                Process::New => !told || known.seen,
                Process::Unknown => was_down && !told,
                Process::Same => false,
            };
            if another {
                known.started_at = Some(now);
            }
            known.seen = true;
            known.settle(now);
        }
        Some(known.entry(state)).filter(|entry| Some(entry) != before.as_ref())
    }

    /// Changes what is known of a server; the entry, if the module is to hear of it.
    fn change(&mut self, server: ServerId, how: impl FnOnce(&mut Known)) -> Option<Entry> {
        let link = self.link_state(server);
        let known = self.servers.get_mut(&server)?;
        let before = known.entry(link);
        how(known);
        Some(known.entry(link)).filter(|entry| *entry != before)
    }

    /// Changes what is known of all servers; the entries that the module is to hear of.
    fn change_all(&mut self, how: impl Fn(&mut Known)) -> Vec<Entry> {
        let ids: Vec<_> = self.servers.keys().copied().collect();
        ids.into_iter().filter_map(|id| self.change(id, &how)).collect()
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
        is_cold(self.servers.get(&server).and_then(Known::start), now, self.ramp)
    }

    /// Whether its processor ramps as somebody told, not as must be presumed.
    pub fn is_told_cold(&self, now: Micros, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|known| known.is_told_cold(now, self.ramp))
    }

    /// All servers, each with whether it is ready and whether it is told to be cold.
    pub fn temperatures(&self, now: Micros) -> Vec<(ServerId, bool, bool)> {
        let of = |(id, known): (&ServerId, &Known)| {
            (*id, known.state() == ServerState::Ready, known.is_told_cold(now, self.ramp))
        };
        self.servers.iter().map(of).collect()
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
