//! Signalling servers: the connections to each, the attempts on them, and detection of dead servers. This file
//! has the tables; `attempts`, `connections` and `messages` handle the events.
//!
//! Messages from a server are matched to an attempt by the connection of its set-up until the call is
//! established, and by the server afterwards. A call never uses a connection twice, so that a late message on
//! a released attempt is not matched to the next one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use baydrift::interface::{Micros, Outcome, ServerId, ServerState};
use baydrift_call::AttemptId;
use baydrift_platform::server_list::server_id;
use baydrift_platform::{CallId, Message, ServerList};

mod attempts;
mod connections;
mod health;
mod messages;
mod takeover;

pub(super) use takeover::{ConnOrigin, Takeover};

use super::expiring::ExpiringQueue;
use super::pool_limit::{PoolLimit, CONNS_PER_SERVER_MAX};
use super::{wire, Output};
use crate::config::Config;

/// File descriptors for other uses than TCP connections: listener, UDP sockets (up to 9 towards the name
/// server), signals, log, configuration.
const RESERVED_DESCRIPTORS: usize = 32;
/// Idle time after which a connection is health-checked with a ping.
const PING_AFTER_IDLE: Micros = 1_000_000;
/// Time after which a connection is considered dead when the ping is unanswered.
const PING_TIMEOUT: Micros = 1_000_000;
/// Pause after the first failed dial; it doubles with each further failure.
const REDIAL_PAUSE_MIN: Micros = 100_000;
/// Maximum pause after a failed dial.
const REDIAL_PAUSE_MAX: Micros = 1_000_000;
/// Maximum number of finished calls that a connection remembers.
const FINISHED_CALLS_MAX: usize = 512;
/// How long a connection remembers a finished call.
const FINISHED_CALLS_TTL: Micros = 20_000_000;
/// Maximum number of ends of unknown calls that are kept. Guards against a start of this
/// process while calls are established: a server reports their ends on the first connection,
/// possibly before the caller announces the call.
const UNCLAIMED_ENDS_MAX: usize = 1_024;
/// How long the end of an unknown call is kept.
const UNCLAIMED_ENDS_TTL: Micros = 8_000_000;
/// Maximum number of releases that a connection remembers until they are known to be read.
const UNREAD_RELEASES_MAX: usize = 512;
/// How long a connection remembers a release.
const UNREAD_RELEASES_TTL: Micros = 60_000_000;
/// A release is taken for read if a message was received on its connection this long after it.
const RELEASE_READ_AFTER: Micros = PING_AFTER_IDLE + PING_TIMEOUT + 200_000;
/// Maximum number of times that a release is written. Guards against releases that multiply while connections
/// break again and again.
const RELEASE_WRITES_MAX: u32 = 3;
/// Maximum number of releases that wait for a connection to one server.
const PENDING_RELEASES_MAX: usize = 1_000;

/// Maximum number of servers that are known only by calls announced there. Such a server may come onto the list
/// soon; callers may name any number of others.
const UNLISTED_SERVERS_MAX: usize = 64;

/// Identifies a connection to a signalling server; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// Limits on the number of connections to signalling servers.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConnLimits {
    /// Limit over all servers.
    total: usize,
    /// Limit per server that has refused no connection yet.
    pool_limit: PoolLimit,
}

impl ConnLimits {
    /// Allows three eighths of the descriptors, since callers may hold a third.
    pub(super) fn of(config: &Config) -> Self {
        Self {
            total: (config.sockets * 3 / 8).min(8 * CONNS_PER_SERVER_MAX),
            pool_limit: PoolLimit::for_fleet(config.settings.fronts),
        }
    }

    /// Number of descriptors that are not available to callers.
    pub(super) fn reserved(self) -> usize {
        self.total + RESERVED_DESCRIPTORS
    }
}

/// A release that a server may not have read.
#[derive(Debug, Clone, Copy)]
struct OwedRelease {
    call: CallId,
    /// Number of times that it was written.
    writes: u32,
}

#[derive(Debug)]
struct Conn {
    server: ServerId,
    /// The address that was dialled.
    address: SocketAddr,
    up: bool,
    /// When it came up.
    up_at: Micros,
    /// Unanswered set-ups.
    unanswered: BTreeMap<CallId, AttemptId>,
    /// Calls that finished on this connection.
    finished: ExpiringQueue<CallId>,
    /// Releases written on this connection that the server may not have read yet.
    unread_releases: ExpiringQueue<OwedRelease>,
    /// Time of the last message received, or when the connection came up.
    received_at: Micros,
    /// A message was received.
    heard: bool,
    /// Time of the unanswered ping.
    pinged_at: Option<Micros>,
    /// The ping has timed out: when the unanswered set-ups were given up last.
    given_up_at: Option<Micros>,
    /// Start of the partly received message.
    partial_since: Option<Micros>,
}

impl OwedRelease {
    /// A release that was not written yet.
    fn new(call: CallId) -> Self {
        Self { call, writes: 0 }
    }
}

impl Conn {
    /// A connection that is being dialled.
    fn new(server: ServerId, address: SocketAddr, now: Micros) -> Self {
        Self {
            server,
            address,
            up: false,
            up_at: now,
            unanswered: BTreeMap::new(),
            finished: ExpiringQueue::new((FINISHED_CALLS_MAX, FINISHED_CALLS_TTL)),
            unread_releases: ExpiringQueue::new((UNREAD_RELEASES_MAX, UNREAD_RELEASES_TTL)),
            received_at: now,
            heard: false,
            pinged_at: None,
            given_up_at: None,
            partial_since: None,
        }
    }

    fn origin(&self) -> ConnOrigin {
        ConnOrigin { address: self.address, up_at: self.up_at }
    }

    /// Records that the server has read all that was written before a set-up, since it has replied to that.
    fn record_read(&mut self, set_up_at: Micros) {
        self.unread_releases.remove_before(set_up_at);
    }

    /// Records that a message was received.
    fn record_message(&mut self, now: Micros) {
        self.received_at = now;
        self.heard = true;
        self.pinged_at = None;
        self.given_up_at = None;
        self.partial_since = None;
    }

    /// Whether its ping has timed out.
    fn is_silent(&self) -> bool {
        self.given_up_at.is_some()
    }

    fn has_finished(&self, call: CallId) -> bool {
        self.finished.any(|finished| *finished == call)
    }
}

#[derive(Debug, Default)]
struct Server {
    address: Option<SocketAddr>,
    /// State on the server list; `None` once the server is off the list.
    listed: Option<ServerState>,
    started_at: Option<Micros>,
    conns: BTreeSet<ConnId>,
    /// Calls established at this server.
    established: BTreeMap<CallId, AttemptId>,
    /// Attempts whose set-ups wait for a connection.
    waiting: VecDeque<AttemptId>,
    /// Releases that wait for a connection.
    pending_releases: VecDeque<OwedRelease>,
    dial_failures: u32,
    /// The last dial was refused while no connection was established.
    refuses: bool,
    /// Limit on its connections; `None` until it refuses one.
    pool_limit: Option<PoolLimit>,
    /// Earliest time of the next dial.
    dial_at: Micros,
    /// Start of the time without an established connection.
    down_since: Option<Micros>,
    /// When the last of its connections was lost.
    lost_at: Option<Micros>,
    /// When a connection came up after a time without any.
    restored_at: Option<Micros>,
    /// When a connection to it came up last.
    accepted_at: Micros,
    /// Time of the last message received from it.
    heard_at: Micros,
    /// Start of the time in which messages were received from it without a long pause.
    active_since: Micros,
    /// A connection broke, and no connection dialled since then has come up: the lowest id of one that was.
    replacement_from: Option<ConnId>,
}

impl Server {
    /// Queues a release for the next connection; beyond the limit the oldest is dropped.
    fn queue_release(&mut self, release: OwedRelease) {
        if self.pending_releases.len() >= PENDING_RELEASES_MAX {
            self.pending_releases.pop_front();
        }
        self.pending_releases.push_back(release);
    }

    /// Records that a message was received.
    fn record_message(&mut self, now: Micros) {
        if now >= self.heard_at + PING_AFTER_IDLE + PING_TIMEOUT {
            self.active_since = now;
        }
        self.heard_at = now;
    }

    /// Whether a broken connection has no replacement yet, not even one that is being dialled.
    fn lacks_replacement(&self) -> bool {
        self.replacement_from.is_some_and(|from| self.conns.range(from..).next().is_none())
    }

    /// Records that a connection came up; one dialled after the last break replaces the broken ones.
    fn record_replacement(&mut self, conn: ConnId) {
        self.replacement_from = self.replacement_from.filter(|from| conn < *from);
    }

    /// Records that a dial failed; a replacement is given up if no established call and no release needs it.
    fn record_failed_dial(&mut self, now: Micros) {
        self.dial_at = now + (REDIAL_PAUSE_MIN << self.dial_failures.min(8)).min(REDIAL_PAUSE_MAX);
        self.dial_failures += 1;
        let needed = !self.established.is_empty() || !self.pending_releases.is_empty();
        self.replacement_from = self.replacement_from.filter(|_| needed);
    }
}

/// All signalling servers and the connections to them.
#[derive(Debug)]
pub(super) struct Servers {
    by_id: BTreeMap<ServerId, Server>,
    conns: BTreeMap<ConnId, Conn>,
    next_conn: u64,
    conn_limits: ConnLimits,
    /// Servers whose process was replaced, and the start time of the new one.
    restarted: Vec<(ServerId, Micros)>,
    /// Ends of calls that no caller has announced yet.
    unclaimed_ends: ExpiringQueue<(ServerId, CallId, Outcome)>,
}

impl Servers {
    pub(super) fn new(conn_limits: ConnLimits) -> Self {
        Self {
            by_id: BTreeMap::new(),
            conns: BTreeMap::new(),
            next_conn: 1,
            conn_limits,
            restarted: Vec::new(),
            unclaimed_ends: ExpiringQueue::new((UNCLAIMED_ENDS_MAX, UNCLAIMED_ENDS_TTL)),
        }
    }

    pub(super) fn conn_count(&self) -> usize {
        self.conns.len()
    }

    /// Applies the server list. Returns the servers that are new on it, and the addresses that have passed from
    /// one server to another.
    pub(super) fn apply_list(&mut self, now: Micros, fleet: &ServerList) -> (Vec<ServerId>, Vec<Takeover>) {
        let mut added = Vec::new();
        let former_addresses = self.addresses();
        for server in self.by_id.values_mut() {
            server.listed = None;
        }
        for line in fleet.servers() {
            let id = server_id(&line.name);
            tracing::debug!("listed: {} {id:x} {:?} {}", line.name, line.state, line.address);
            let server = self.by_id.entry(id).or_insert_with(|| {
                added.push(id);
                Server { started_at: line.started_at, down_since: Some(now), ..Server::default() }
            });
            if let Some(at) = line.started_at.filter(|_| server.started_at != line.started_at) {
                self.restarted.push((id, at));
            }
            (server.started_at, server.listed) = (line.started_at, Some(line.state));
            if server.address != Some(line.address) {
                (server.address, server.dial_at) = (Some(line.address), now);
            }
        }
        let takeovers = self.takeovers(now, &former_addresses);
        for takeover in &takeovers {
            self.forget_address(takeover.from);
        }
        (added, takeovers)
    }

    /// Takes the servers whose process has restarted according to the list,
    /// with the start time of the new process.
    pub(super) fn take_restarted(&mut self) -> Vec<(ServerId, Micros)> {
        std::mem::take(&mut self.restarted)
    }

    /// Whether a release waits for a connection to a listed server that may still hold calls.
    pub(super) fn has_pending_releases(&self) -> bool {
        let may_hold_calls = |server: &Server| server.listed.is_some() && !server.refuses;
        self.by_id.values().any(|server| may_hold_calls(server) && !server.pending_releases.is_empty())
    }

    /// Whether a release waits for a connection to this server.
    fn owes_release(&self, server: ServerId) -> bool {
        self.by_id.get(&server).is_some_and(|server| !server.pending_releases.is_empty())
    }

    /// Records an established call at a server, which need not be on the list.
    pub(super) fn add_established(
        &mut self,
        now: Micros,
        server: ServerId,
        call: CallId,
        attempt: AttemptId,
    ) {
        let new_server = || Server { down_since: Some(now), ..Server::default() };
        self.by_id.entry(server).or_insert_with(new_server).established.insert(call, attempt);
    }

    /// Whether calls may be announced at a server: at one that is known, or at a limited number of others.
    pub(super) fn has_room_for(&self, server: ServerId) -> bool {
        let without_address = || self.by_id.values().filter(|server| server.address.is_none()).count();
        self.by_id.contains_key(&server) || without_address() < UNLISTED_SERVERS_MAX
    }

    /// Takes the outcome of a call that ended before its caller announced it.
    pub(super) fn take_unclaimed_end(
        &mut self,
        now: Micros,
        server: ServerId,
        call: CallId,
    ) -> Option<Outcome> {
        let ends = self.unclaimed_ends.take_matching(now, |(at, id, _)| (*at, *id) == (server, call));
        ends.first().map(|(.., outcome)| *outcome)
    }

    /// Starts the timeout for the rest of a partly received message.
    pub(super) fn partial_message(&mut self, conn: ConnId, now: Micros) {
        if let Some(conn) = self.conns.get_mut(&conn) {
            conn.partial_since.get_or_insert(now);
        }
    }

    fn up_conns(&self, server: ServerId) -> impl Iterator<Item = (ConnId, &Conn)> {
        let ids = self.by_id.get(&server).into_iter().flat_map(|server| &server.conns);
        ids.filter_map(|id| Some((*id, self.conns.get(id)?))).filter(|(_, conn)| conn.up)
    }

    /// Chooses the connection for a set-up: the one with the fewest unanswered
    /// set-ups that this call has not used yet, a silent one last.
    fn conn_for_set_up(&self, server: ServerId, call: CallId) -> Option<ConnId> {
        let free = self
            .up_conns(server)
            .filter(|(_, conn)| !conn.has_finished(call) && !conn.unanswered.contains_key(&call));
        free.min_by_key(|(id, conn)| (conn.is_silent(), conn.unanswered.len(), *id)).map(|(id, _)| id)
    }

    /// Whether a set-up of this call is unanswered or established at the server.
    fn has_set_up(&self, server: ServerId, call: CallId) -> bool {
        let established =
            self.by_id.get(&server).is_some_and(|server| server.established.contains_key(&call));
        established || self.up_conns(server).any(|(_, conn)| conn.unanswered.contains_key(&call))
    }

    /// An established connection, if there is one: a silent one last.
    fn any_up_conn(&self, server: ServerId) -> Option<ConnId> {
        self.up_conns(server).min_by_key(|(id, conn)| (conn.is_silent(), *id)).map(|(id, _)| id)
    }

    /// Whether a set-up waits although connections are up, since its call has used each of them. Guards
    /// against a second attempt at the same server that waits for a connection that is never dialled.
    fn needs_extra_conn(&self, server: &Server) -> bool {
        let up = server.conns.iter().any(|id| self.conns.get(id).is_some_and(|conn| conn.up));
        up && !server.waiting.is_empty() && server.conns.len() < 2 * CONNS_PER_SERVER_MAX
    }

    /// Number of connections that each server with an address may have of the total.
    fn conns_share(&self) -> usize {
        let servers = self.by_id.values().filter(|server| server.address.is_some()).count();
        self.conn_limits.total / servers.max(1)
    }

    fn pool_limit(&self, server: &Server) -> PoolLimit {
        server.pool_limit.unwrap_or(self.conn_limits.pool_limit)
    }

    /// Records that an established connection to a server broke: one that is dialled from now on replaces it.
    fn record_break(&mut self, server: ServerId) {
        let next = ConnId(self.next_conn);
        if let Some(server) = self.by_id.get_mut(&server) {
            server.replacement_from = Some(next);
        }
    }

    /// Number of connections that a server should have now.
    fn target_conns(&self, now: Micros, server: &Server) -> usize {
        let unanswered =
            server.conns.iter().filter_map(|id| self.conns.get(id)).map(|conn| conn.unanswered.len());
        let busy = unanswered.sum::<usize>() + server.waiting.len();
        match server.listed {
            Some(ServerState::Ready) => self.pool_limit(server).target(now, busy, self.conns_share()),
            // A process that answers there now is not the removed server.
            None => 0,
            // Ends of established calls and pending releases need one connection.
            Some(_) => {
                usize::from(busy > 0 || !server.established.is_empty() || !server.pending_releases.is_empty())
            }
        }
    }

    /// Number of connections that a server lacks: for its set-ups, to replace a broken one, for a set-up whose
    /// call has used all the others, or to show whether a silent server can be reached.
    fn missing_conns(&self, now: Micros, id: ServerId, server: &Server) -> usize {
        // One connection shows whether a server works that has none; otherwise the pool's limit applies.
        let down = server.dial_failures > 0 && self.any_up_conn(id).is_none();
        let target = if down { 1 } else { self.target_conns(now, server) };
        // Guards against ends of calls that were lost with a connection: their server repeats them only on
        // the next connection that is opened, and it may be long until a set-up needs one.
        let needs_replacement = server.lacks_replacement()
            && server.listed.is_some()
            && server.conns.len() < 2 * CONNS_PER_SERVER_MAX;
        let needs_other = self.needs_extra_conn(server) || server.listed.is_some() && self.needs_probe(id);
        let needs_other = needs_other && !self.is_dialling(server);
        target.saturating_sub(server.conns.len()).max(usize::from(needs_replacement || needs_other))
    }

    fn is_dialling(&self, server: &Server) -> bool {
        server.conns.iter().any(|conn| self.conns.get(conn).is_some_and(|conn| !conn.up))
    }

    /// Dials the missing connections, at most two at a time. `at_once` skips the pause after a failed dial, for
    /// a waiting set-up or release.
    fn dial(&mut self, now: Micros, id: ServerId, at_once: bool, out: &mut Vec<Output>) {
        let Some(server) = self.by_id.get(&id) else { return };
        let due = now >= server.dial_at || at_once && !self.is_dialling(server);
        let room = self.conns.len() < self.conn_limits.total || server.conns.is_empty();
        let Some(address) = server.address.filter(|_| due && room) else { return };
        for _ in 0..self.missing_conns(now, id, server).min(2) {
            let conn = ConnId(self.next_conn);
            self.next_conn += 1;
            self.conns.insert(conn, Conn::new(id, address, now));
            if let Some(server) = self.by_id.get_mut(&id) {
                server.conns.insert(conn);
            }
            out.push(Output::Dial(conn, address));
        }
    }

    /// Removes a connection from the tables.
    fn remove(&mut self, now: Micros, id: ConnId) -> Option<Conn> {
        let conn = self.conns.remove(&id)?;
        let none_up = self.any_up_conn(conn.server).is_none();
        if let Some(server) = self.by_id.get_mut(&conn.server) {
            server.conns.remove(&id);
            if none_up {
                server.down_since.get_or_insert(now);
                if conn.up {
                    server.lost_at = Some(now);
                }
            }
        }
        Some(conn)
    }
}

fn write(out: &mut Vec<Output>, conn: ConnId, message: &Message) {
    out.extend(wire(message).map(|bytes| Output::ToServer(conn, bytes)));
}
