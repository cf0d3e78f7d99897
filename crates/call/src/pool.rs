//! The servers known to this front, merged from several sources that may disagree.
//!
//! A drain takes effect as soon as either the server itself (DPR) or the list reports it. It ends when the
//! list shows the server as ready *and* the server, if it announced the drain itself, has come up again: as
//! another process, or as the same one `DRAIN_EXPIRY` after the drain began. A start is reported by the list
//! (late) or observed on the link (a changed origin state). Both denote the same start if they are less than
//! one ramp time apart and the listed one is not much later, so that a server is not warmed up twice for one
//! start.
//!
//! A server whose link is suspect or down is reported to the policy as draining, since no set-up can be sent
//! there. If the policy had to infer this from failed connects, it would have to assume that the next answer
//! comes from a cold process; the link tells whether the process is the same (a lost connection, a hang) or
//! another.

use std::collections::BTreeMap;

use baydrift::interface::{Entry, ListKind, Micros, ServerId, ServerState};

use crate::types::{LinkState, Process};

/// State of one server.
#[derive(Debug, Clone, PartialEq)]
struct Server {
    listed: Entry,
    /// The server announced on its link that it drains.
    announced_drain: bool,
    /// Since when the server drains or is gone, by the source that reported it first.
    unavailable_since: Option<Micros>,
    started_at: Option<Micros>,
    /// The link has come up since the start at `started_at`.
    seen_on_link: bool,
    /// Latest possible start, as far as this front knows; set until a source reports the start.
    assumed_start: Option<Micros>,
}

impl Server {
    fn new(now: Micros, entry: &Entry) -> Self {
        Self {
            listed: entry.clone(),
            announced_drain: false,
            unavailable_since: (entry.state != ServerState::Ready).then_some(now),
            started_at: entry.started_at,
            seen_on_link: false,
            assumed_start: None,
        }
    }

    /// The state according to the list and the server itself.
    fn state(&self) -> ServerState {
        match self.listed.state {
            ServerState::Ready if self.announced_drain => ServerState::Draining,
            state => state,
        }
    }

    /// The entry reported to the policy.
    fn entry(&self, link: LinkState) -> Entry {
        let state = match (self.state(), link) {
            (ServerState::Ready, LinkState::Suspect | LinkState::Down) => ServerState::Draining,
            (state, _) => state,
        };
        Entry { state, started_at: self.start(), ..self.listed.clone() }
    }

    /// Start of the process: as reported, otherwise as assumed.
    fn start(&self) -> Option<Micros> {
        self.started_at.or(self.assumed_start)
    }

    /// Whether the server is cold by a reported start; assumed starts do not count.
    fn is_known_cold(&self, now: Micros, ramp: Micros) -> bool {
        is_cold(self.started_at, now, ramp)
    }

    fn update_unavailable_since(&mut self, now: Micros) {
        if self.state() == ServerState::Ready {
            self.unavailable_since = None;
        } else {
            self.unavailable_since.get_or_insert(now);
        }
    }
}

/// Whether a process is still warming up; `false` if its start is unknown.
fn is_cold(started_at: Option<Micros>, now: Micros, ramp: Micros) -> bool {
    started_at.is_some_and(|at| now.saturating_sub(at) < ramp)
}

/// How long a recent start is assumed of servers whose start is not reported. A list service that pushes to
/// starting fronts does so within this time. Without the limit, a service that pushes only changes would make
/// its fronts treat warm servers as cold for a whole ramp time (`baydrift demo`: service 0.38).
pub(crate) const ASSUMED_START_TTL: Micros = 1_000_000;
/// A listed start later than the known one by at least this much denotes another start. Listed ages are as of
/// the push, and a pushed list is not older than this unless the network delays it.
const MAX_LIST_AGE: Micros = 1_000_000;
/// A server that announced a drain and still runs the same process after this time is assumed to have
/// cancelled the drain.
const DRAIN_EXPIRY: Micros = 60_000_000;

/// The pool of servers; see the module documentation.
#[derive(Debug)]
pub struct Pool {
    servers: BTreeMap<ServerId, Server>,
    links: BTreeMap<ServerId, LinkState>,
    ramp: Micros,
    capacity: usize,
}

impl Pool {
    /// An empty pool of at most `capacity` servers; `ramp` is the warm-up time of a cold server.
    pub fn new(ramp: Micros, capacity: usize) -> Self {
        Self { servers: BTreeMap::new(), links: BTreeMap::new(), ramp, capacity }
    }

    /// Applies a list. Returns the changed entries, which are reported to the policy, and the number of
    /// servers left out because the pool is full.
    pub fn apply_list(&mut self, now: Micros, kind: ListKind, entries: &[Entry]) -> (Vec<Entry>, usize) {
        let mut changed = Vec::new();
        let mut left_out = 0;
        if kind == ListKind::Failed {
            return (changed, left_out);
        }
        if kind == ListKind::Full {
            let missing = |id: &ServerId| entries.iter().all(|entry| entry.server != *id);
            let gone: Vec<_> = self.servers.keys().copied().filter(missing).collect();
            for id in gone {
                changed.extend(self.change(id, |server| {
                    server.listed.state = ServerState::Gone;
                    server.update_unavailable_since(now);
                }));
            }
        }
        let ramp = self.ramp;
        for entry in entries {
            if !self.servers.contains_key(&entry.server) {
                if self.servers.len() >= self.capacity && !self.evict_gone() {
                    left_out += 1;
                    continue;
                }
                let server = Server::new(now, entry);
                changed.push(server.entry(self.link_state(entry.server)));
                self.servers.insert(entry.server, server);
                continue;
            }
            changed.extend(self.change(entry.server, |server| {
                server.listed = entry.clone();
                server.assumed_start = None;
                let same_start = |at: Micros| {
                    server.started_at.is_some_and(|old| old.abs_diff(at) < ramp && at < old + MAX_LIST_AGE)
                };
                if let Some(at) = entry.started_at.filter(|at| !same_start(*at)) {
                    server.started_at = Some(at);
                    server.seen_on_link = false;
                }
                server.update_unavailable_since(now);
            }));
        }
        (changed, left_out)
    }

    /// Assumes that every server may have started just now, until the list names it. For a front that has
    /// just started and will be sent a list with start times. Returns the changed entries.
    ///
    /// Guards against servers that started while this front was down: if the configured servers counted as
    /// warm, the calls that had waited for the front went to them at once (`days/fleet.kdl --virtual --drawn
    /// --fleet`, seed 2741).
    pub fn assume_recent_starts(&mut self, now: Micros) -> Vec<Entry> {
        self.change_all(|server| server.assumed_start = Some(now))
    }

    /// Drops assumed starts that no list has confirmed within `ASSUMED_START_TTL`. Returns the changed
    /// entries.
    pub fn expire_assumed_starts(&mut self, now: Micros) -> Vec<Entry> {
        self.change_all(|server| {
            server.assumed_start =
                server.assumed_start.filter(|at| now < at.saturating_add(ASSUMED_START_TTL));
        })
    }

    /// Whether a recent start is assumed of any server.
    pub fn has_assumed_starts(&self) -> bool {
        self.servers.values().any(|server| server.assumed_start.is_some())
    }

    /// Records that a server announced a drain. Returns its entry if that changed.
    pub fn announce_drain(&mut self, now: Micros, server: ServerId) -> Option<Entry> {
        self.change(server, |server| {
            server.announced_drain = true;
            server.update_unavailable_since(now);
        })
    }

    /// Records the state of a server's link. Returns the server's entry if that changed.
    pub fn set_link_state(&mut self, now: Micros, id: ServerId, state: LinkState) -> Option<Entry> {
        let before = self.servers.get(&id).map(|server| server.entry(self.link_state(id)));
        let was_down = self.links.insert(id, state) == Some(LinkState::Down);
        let server = self.servers.get_mut(&id)?;
        if let LinkState::Up(process) = state {
            // A process that announced a drain still drains if its connection is lost and this front reopens
            // it. Another process is available again, as is one that has not exited within the expiry.
            let expired = server.unavailable_since.is_some_and(|at| now >= at.saturating_add(DRAIN_EXPIRY));
            if process != Process::Same || expired {
                server.announced_drain = false;
            }
            let known_cold = server.is_known_cold(now, self.ramp);
            let new_start = match process {
                // The list may have reported this start before the link came up; if the link was already up
                // since the reported start, this is another one. Guards against a server that starts twice
                // within a ramp time: counted as warm when the first ramp was over, it was sent 33 set-ups in
                // one second with a budget of 28 (days/lends.kdl, drawn, seed 73).
                Process::New => !known_cold || server.seen_on_link,
                Process::Unknown => was_down && !known_cold,
                Process::Same => false,
            };
            if new_start {
                server.started_at = Some(now);
            }
            server.seen_on_link = true;
            server.update_unavailable_since(now);
        }
        Some(server.entry(state)).filter(|entry| Some(entry) != before.as_ref())
    }

    /// Changes a server's state. Returns its entry if the policy has to be notified.
    fn change(&mut self, id: ServerId, update: impl FnOnce(&mut Server)) -> Option<Entry> {
        let link = self.link_state(id);
        let server = self.servers.get_mut(&id)?;
        let before = server.entry(link);
        update(server);
        Some(server.entry(link)).filter(|entry| *entry != before)
    }

    /// Changes the state of all servers. Returns the entries of which the policy has to be notified.
    fn change_all(&mut self, update: impl Fn(&mut Server)) -> Vec<Entry> {
        let ids: Vec<_> = self.servers.keys().copied().collect();
        ids.into_iter().filter_map(|id| self.change(id, &update)).collect()
    }

    /// State of a server's link; `Down` if it was never reported.
    pub fn link_state(&self, server: ServerId) -> LinkState {
        self.links.get(&server).copied().unwrap_or(LinkState::Down)
    }

    /// When this front first learned that the server drains or is gone; `None` while it is ready. A server
    /// that was never listed counts as gone since time 0.
    pub fn unavailable_since(&self, server: ServerId) -> Option<Micros> {
        self.servers.get(&server).map_or(Some(0), |server| server.unavailable_since)
    }

    /// Whether the list shows the server as gone.
    pub fn is_gone(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|server| server.listed.state == ServerState::Gone)
    }

    /// Whether the server is warming up, by a reported or assumed start.
    pub fn is_cold(&self, now: Micros, server: ServerId) -> bool {
        is_cold(self.servers.get(&server).and_then(Server::start), now, self.ramp)
    }

    /// Whether the server is warming up, by a reported start.
    pub fn is_known_cold(&self, now: Micros, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|server| server.is_known_cold(now, self.ramp))
    }

    /// All servers, each with whether it is ready and whether it is cold by a reported start.
    pub fn warm_up_states(&self, now: Micros) -> Vec<(ServerId, bool, bool)> {
        let of = |(id, server): (&ServerId, &Server)| {
            (*id, server.state() == ServerState::Ready, server.is_known_cold(now, self.ramp))
        };
        self.servers.iter().map(of).collect()
    }

    /// Makes room by removing one server that is gone; `false` if there is none.
    fn evict_gone(&mut self) -> bool {
        let gone = self.servers.iter().find(|(_, server)| server.listed.state == ServerState::Gone);
        let Some(id) = gone.map(|(id, _)| *id) else { return false };
        self.servers.remove(&id);
        self.links.remove(&id);
        true
    }
}
