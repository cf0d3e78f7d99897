//! Signalling servers: the connections to each, the attempts on them, and detection of dead servers.
//!
//! Messages from a server are matched to an attempt by the connection of its set-up until the call is
//! established, and by the server afterwards. A call never uses a connection twice, so that a late message on
//! a released attempt is not matched to the next one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Display;
use std::net::SocketAddr;

use baydrift::interface::{Micros, Note, Outcome, Report, ServerId, ServerState};
use baydrift_call::{AttemptEnd, AttemptId, Input as EngineInput};
use baydrift_platform::server_list::server_id;
use baydrift_platform::{
    report, CallId, Cause, Message, MessageType, ParameterCode, PlatformError, ServerList,
};

use super::expiring::ExpiringQueue;
use super::pool_limit::{PoolLimit, CONNS_PER_SERVER_MAX};
use super::{wire, Attempt, Node, Output, Payload, PendingSetUp};
use crate::config::Config;

/// File descriptors for other uses than TCP connections: listener, UDP sockets (up to 9 towards the name
/// server), signals, log, configuration.
const RESERVED_DESCRIPTORS: usize = 32;
/// Idle time after which a connection is health-checked with a ping.
const PING_AFTER_IDLE: Micros = 1_000_000;
/// Time after which a connection is considered dead when the ping is unanswered.
const PING_TIMEOUT: Micros = 1_000_000;
/// Time within which a partly received message must be complete: messages are small,
/// and a stalled one blocks all that follow.
const PARTIAL_MESSAGE_TIMEOUT: Micros = 500_000;
/// Pause after the first failed dial; it doubles with each further failure.
const REDIAL_PAUSE_MIN: Micros = 100_000;
/// Maximum pause after a failed dial.
const REDIAL_PAUSE_MAX: Micros = 1_000_000;
/// Time after which the calls at an unreachable server are considered lost:
/// callers must be notified within 8 s.
const UNREACHABLE_TIMEOUT: Micros = 3_500_000;
/// The same for a server that is no longer on the list, which is never this far behind.
const DELISTED_UNREACHABLE_TIMEOUT: Micros = 1_500_000;
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
/// Maximum number of releases that a connection remembers.
const SENT_RELEASES_MAX: usize = 512;
/// How long a connection remembers a release: longer than a silent connection is kept, since one that was
/// written to a connection which then breaks may not have been read.
const SENT_RELEASES_TTL: Micros = PING_AFTER_IDLE + PING_TIMEOUT + 200_000;
/// Maximum number of releases that wait for a connection to one server.
const PENDING_RELEASES_MAX: usize = 1_000;

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

#[derive(Debug)]
struct Conn {
    server: ServerId,
    /// The address that was dialled.
    address: SocketAddr,
    up: bool,
    /// Unanswered set-ups.
    unanswered: BTreeMap<CallId, AttemptId>,
    /// Calls that finished on this connection.
    finished: ExpiringQueue<CallId>,
    /// Calls released on this connection.
    releases: ExpiringQueue<CallId>,
    /// Time of the last message received.
    received_at: Micros,
    /// Time of the unanswered ping.
    pinged_at: Option<Micros>,
    /// Start of the partly received message.
    partial_since: Option<Micros>,
}

impl Conn {
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
    /// Calls whose releases wait for a connection.
    pending_releases: VecDeque<CallId>,
    dial_failures: u32,
    /// The last dial was refused while no connection was established.
    refuses: bool,
    /// Limit on its connections; `None` until it refuses one.
    pool_limit: Option<PoolLimit>,
    /// Earliest time of the next dial.
    dial_at: Micros,
    /// Start of the time without an established connection.
    down_since: Option<Micros>,
    /// A connection broke, and no connection dialled since then has come up: the lowest id of one that was.
    replacement_from: Option<ConnId>,
}

impl Server {
    /// Queues a release for the next connection; beyond the limit the oldest is dropped.
    fn queue_release(&mut self, call: CallId) {
        if self.pending_releases.len() >= PENDING_RELEASES_MAX {
            self.pending_releases.pop_front();
        }
        self.pending_releases.push_back(call);
    }

    /// Whether a broken connection has no replacement yet, not even one that is being dialled.
    fn lacks_replacement(&self) -> bool {
        self.replacement_from.is_some_and(|from| self.conns.range(from..).next().is_none())
    }

    /// Records that a connection came up; one dialled after the last break replaces the broken ones.
    fn record_replacement(&mut self, conn: ConnId) {
        self.replacement_from = self.replacement_from.filter(|from| conn < *from);
    }

    /// Records that a dial failed; a replacement is given up if no established call needs it.
    fn record_failed_dial(&mut self, now: Micros) {
        self.dial_at = now + (REDIAL_PAUSE_MIN << self.dial_failures.min(8)).min(REDIAL_PAUSE_MAX);
        self.dial_failures += 1;
        self.replacement_from = self.replacement_from.filter(|_| !self.established.is_empty());
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

    /// Applies the server list and returns the servers that are new on it.
    pub(super) fn apply_list(&mut self, now: Micros, fleet: &ServerList) -> Vec<ServerId> {
        let mut added = Vec::new();
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
        // Guards against a new server at the address of a removed one: it knows none of the old server's
        // calls, so a successful dial says nothing about them.
        let taken: BTreeSet<_> = fleet.servers().map(|line| line.address).collect();
        for (id, server) in self.by_id.iter_mut().filter(|(_, server)| server.listed.is_none()) {
            if server.address.is_some_and(|address| taken.contains(&address)) {
                server.address = None;
                server.pending_releases.clear();
                self.restarted.push((*id, Micros::MAX));
            }
        }
        added
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
    /// set-ups that this call has not used yet.
    fn conn_for_set_up(&self, server: ServerId, call: CallId) -> Option<ConnId> {
        let free = self
            .up_conns(server)
            .filter(|(_, conn)| !conn.has_finished(call) && !conn.unanswered.contains_key(&call));
        free.min_by_key(|(id, conn)| (conn.unanswered.len(), *id)).map(|(id, _)| id)
    }

    /// Whether a set-up of this call is unanswered or established at the server.
    fn has_set_up(&self, server: ServerId, call: CallId) -> bool {
        let established =
            self.by_id.get(&server).is_some_and(|server| server.established.contains_key(&call));
        established || self.up_conns(server).any(|(_, conn)| conn.unanswered.contains_key(&call))
    }

    fn any_up_conn(&self, server: ServerId) -> Option<ConnId> {
        self.up_conns(server).next().map(|(id, _)| id)
    }

    /// Whether a set-up waits although connections are up, since its call has used each of them. Guards
    /// against a second attempt at the same server that waits for a connection that is never dialled.
    fn needs_extra_conn(&self, server: &Server) -> bool {
        let up = server.conns.iter().any(|id| self.conns.get(id).is_some_and(|conn| conn.up));
        up && !server.waiting.is_empty() && server.conns.len() < 2 * CONNS_PER_SERVER_MAX
    }

    /// Number of connections that a server should have now.
    fn target_conns(&self, now: Micros, server: &Server) -> usize {
        let unanswered =
            server.conns.iter().filter_map(|id| self.conns.get(id)).map(|conn| conn.unanswered.len());
        let busy = unanswered.sum::<usize>() + server.waiting.len();
        match server.listed {
            Some(ServerState::Ready) => {
                let share = self.conn_limits.total / self.by_id.len().max(1);
                let pool_limit = server.pool_limit.unwrap_or(self.conn_limits.pool_limit);
                pool_limit.target(now, busy, share)
            }
            // A process that answers there now is not the removed server.
            None => 0,
            // Ends of established calls and pending releases need one connection.
            Some(_) => {
                usize::from(busy > 0 || !server.established.is_empty() || !server.pending_releases.is_empty())
            }
        }
    }

    /// Dials the missing connections. `at_once` skips the pause after a failed dial, for a waiting set-up.
    fn dial(&mut self, now: Micros, id: ServerId, at_once: bool, out: &mut Vec<Output>) {
        let Some(server) = self.by_id.get(&id) else { return };
        let dialling = server.conns.iter().any(|conn| self.conns.get(conn).is_some_and(|conn| !conn.up));
        let due = now >= server.dial_at || at_once && !dialling;
        let room = self.conns.len() < self.conn_limits.total || server.conns.is_empty();
        let target = if server.dial_failures > 0 { 1 } else { self.target_conns(now, server) };
        // Guards against ends of calls that were lost with a connection: their server repeats them only on
        // the next connection that is opened, and it may be long until a set-up needs one.
        let replacements = usize::from(
            server.lacks_replacement()
                && server.listed.is_some()
                && server.conns.len() < 2 * CONNS_PER_SERVER_MAX,
        );
        let replacements = replacements.max(usize::from(!dialling && self.needs_extra_conn(server)));
        let missing = target.saturating_sub(server.conns.len()).max(replacements).min(2);
        let Some(address) = server.address.filter(|_| due && room) else { return };
        for _ in 0..missing {
            let conn = ConnId(self.next_conn);
            self.next_conn += 1;
            let new_conn = Conn {
                server: id,
                address,
                up: false,
                unanswered: BTreeMap::new(),
                finished: ExpiringQueue::new((FINISHED_CALLS_MAX, FINISHED_CALLS_TTL)),
                releases: ExpiringQueue::new((SENT_RELEASES_MAX, SENT_RELEASES_TTL)),
                received_at: now,
                pinged_at: None,
                partial_since: None,
            };
            self.conns.insert(conn, new_conn);
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
            if conn.up {
                server.replacement_from = Some(ConnId(self.next_conn));
            }
            if none_up {
                server.down_since.get_or_insert(now);
            }
        }
        Some(conn)
    }
}

impl Node {
    /// Starts an attempt on an established connection, or queues it for the next one within the dial timeout.
    pub(super) fn start_attempt(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        call: CallId,
        payload: Payload,
        (timeout, begin_within): (Micros, Micros),
        out: &mut Vec<Output>,
    ) {
        let (queued_at, timeout_at) = (self.now, self.now + timeout);
        let begin_by = self.now.saturating_add(begin_within).min(timeout_at);
        let pending = PendingSetUp { payload, queued_at, timeout_at, begin_by };
        let state = Attempt {
            server,
            call,
            conn: None,
            established: false,
            started_at: self.now,
            pending: Some(pending),
        };
        self.attempts.insert(attempt, state);
        match self.servers.conn_for_set_up(server, call) {
            Some(conn) => self.write_set_up(attempt, conn, out),
            None => {
                if let Some(server) = self.servers.by_id.get_mut(&server) {
                    server.waiting.push_back(attempt);
                }
            }
        }
        self.servers.dial(self.now, server, true, out);
    }

    fn write_set_up(&mut self, attempt: AttemptId, conn: ConnId, out: &mut Vec<Output>) {
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        let Some(PendingSetUp { payload, timeout_at, .. }) = state.pending.take() else { return };
        let left_ms = timeout_at.saturating_sub(self.now).max(1_000) / 1_000;
        let mut message = Message::new(MessageType::SetUp, state.call)
            .with(ParameterCode::CLASS, payload.class)
            .with(ParameterCode::TIMEOUT, left_ms.to_string());
        if let Some(number) = payload.number {
            message = message.with(ParameterCode::CALLED_NUMBER, number);
        }
        message = message.with(ParameterCode::DESCRIPTION, payload.description);
        let Some(bytes) = wire(&message) else {
            return self.end_attempt(attempt, AttemptEnd::plain(Outcome::Moot), out);
        };
        state.conn = Some(conn);
        state.started_at = self.now;
        tracing::trace!("{} at {:x}: set-up on {}", state.call, state.server, conn.0);
        self.attempt_counts.record_sent(state.server);
        if let Some(conn) = self.servers.conns.get_mut(&conn) {
            conn.unanswered.insert(state.call, attempt);
        }
        out.push(Output::ToServer(conn, bytes));
    }

    /// Cancels an attempt, or releases the call established by it.
    pub(super) fn release_attempt(&mut self, attempt: AttemptId, out: &mut Vec<Output>) {
        let Some(state) = self.attempts.remove(&attempt) else { return };
        let Attempt { server, call, conn, established, pending, .. } = state;
        tracing::trace!("{call} at {server:x}: released, established {established}");
        if !established && pending.is_none() {
            self.attempt_counts.record_ended(server, Outcome::Timeout);
        }
        let own_conn = conn.filter(|conn| self.servers.conns.get(conn).is_some_and(|conn| conn.up));
        if pending.is_some() {
            if let Some(server) = self.servers.by_id.get_mut(&server) {
                server.waiting.retain(|other| *other != attempt);
            }
            return;
        }
        if established {
            if let Some(known) = self.servers.by_id.get_mut(&server) {
                known.established.remove(&call);
            }
        } else if let Some(conn) = own_conn.and_then(|conn| self.servers.conns.get_mut(&conn)) {
            conn.unanswered.remove(&call);
            conn.finished.push(self.now, call);
        }
        self.send_release(server, call, own_conn, out);
    }

    /// Releases a call at a server: on `preferred` if given, else on any established connection, else on the
    /// next one that comes up.
    fn send_release(
        &mut self,
        server: ServerId,
        call: CallId,
        preferred: Option<ConnId>,
        out: &mut Vec<Output>,
    ) {
        if let Some(conn) = preferred.or_else(|| self.servers.any_up_conn(server)) {
            return self.write_release(conn, call, out);
        }
        if let Some(known) = self.servers.by_id.get_mut(&server) {
            known.queue_release(call);
        }
    }

    fn write_release(&mut self, id: ConnId, call: CallId, out: &mut Vec<Output>) {
        if let Some(conn) = self.servers.conns.get_mut(&id) {
            conn.releases.push(self.now, call);
        }
        write(out, id, &Message::release(call, Cause::NORMAL));
    }

    /// Reports to the engine an attempt that ended without establishing its call.
    fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd, out: &mut Vec<Output>) {
        // Removed first: the server holds nothing that the engine's release would end.
        if let Some(state) = self.attempts.remove(&attempt) {
            tracing::trace!("{} at {:x}: {:?} {:?}", state.call, state.server, end.outcome, end.note);
            self.attempt_counts.record_ended(state.server, end.outcome);
        }
        self.apply_to_engine(EngineInput::Ended { attempt, end }, out);
    }

    pub(super) fn server_up(&mut self, id: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(conn) = self.servers.conns.get_mut(&id) else { return out.push(Output::CloseServer(id)) };
        (conn.up, conn.received_at) = (true, now);
        tracing::debug!("{:x}: connection {} up", conn.server, id.0);
        let owner = conn.server;
        let Some(server) = self.servers.by_id.get_mut(&owner) else { return };
        (server.dial_failures, server.refuses, server.down_since) = (0, false, None);
        server.record_replacement(id);
        let (waiting, releases) =
            (std::mem::take(&mut server.waiting), std::mem::take(&mut server.pending_releases));
        let ready = server.listed == Some(ServerState::Ready);
        for call in releases {
            self.write_release(id, call, out);
        }
        for attempt in waiting {
            // Checked again before writing: the server may have announced its drain meanwhile, and the latest
            // start time of the attempt may have passed.
            let pending = self.attempts.get(&attempt).and_then(|state| state.pending.as_ref());
            if ready && pending.is_some_and(|pending| now < pending.begin_by) {
                self.write_set_up(attempt, id, out);
            } else {
                self.end_attempt(attempt, AttemptEnd::plain(Outcome::Moot), out);
            }
        }
    }

    pub(super) fn dial_failed(&mut self, id: ConnId, refused: bool, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(conn) = self.servers.remove(now, id) else { return };
        tracing::debug!("{:x}: connection {} not up, refused {refused}", conn.server, id.0);
        let up = self.servers.up_conns(conn.server).count();
        let pool_limit = self.servers.conn_limits.pool_limit;
        let Some(server) = self.servers.by_id.get_mut(&conn.server) else { return };
        if up > 0 {
            // The server works but accepts no further connection.
            server.pool_limit.get_or_insert(pool_limit).record_refusal(now, up);
        }
        server.record_failed_dial(now);
        server.refuses = refused && up == 0;
        if up > 0 {
            return;
        }
        for attempt in std::mem::take(&mut server.waiting) {
            self.end_attempt(attempt, AttemptEnd::plain(Outcome::ConnectFailed), out);
        }
        // No process listens where a connection is refused: the server is dead, with all its calls.
        if refused {
            self.process_lost(conn.server, Micros::MAX, out);
        }
    }

    /// Ends a server's attempts and calls from before a time, lost with their process.
    /// Returns the calls that were established.
    pub(super) fn process_lost(
        &mut self,
        server: ServerId,
        before: Micros,
        out: &mut Vec<Output>,
    ) -> Vec<CallId> {
        let affected =
            |state: &Attempt| state.server == server && state.pending.is_none() && state.started_at < before;
        let lost: Vec<_> =
            self.attempts.iter().filter(|(_, state)| affected(state)).map(|(id, _)| *id).collect();
        self.counts.lost += u64::from(!lost.is_empty());
        tracing::debug!("{server:x}: its process is gone, with {} calls", lost.len());
        let mut established = Vec::new();
        for attempt in lost {
            let Some(state) = self.attempts.remove(&attempt) else { continue };
            established.extend(state.established.then_some(state.call));
            if let Some(conn) = state.conn.and_then(|conn| self.servers.conns.get_mut(&conn)) {
                conn.unanswered.remove(&state.call);
            }
            if let Some(known) = self.servers.by_id.get_mut(&server) {
                known.established.remove(&state.call);
            }
            self.apply_to_engine(EngineInput::Cut { attempt, report: Report::default() }, out);
        }
        established
    }

    /// Handles the end of an established connection: unanswered set-ups on it end as reset, and are released,
    /// since a call whose answer was lost is established and outlives the connection. Releases that may not
    /// have been read are repeated. Calls known to be established are not affected.
    pub(super) fn server_down(&mut self, id: ConnId, out: &mut Vec<Output>) {
        let Some(mut conn) = self.servers.remove(self.now, id) else { return };
        tracing::debug!(
            "{:x}: connection {} down, {} set-ups unanswered",
            conn.server,
            id.0,
            conn.unanswered.len()
        );
        self.counts.broken += u64::from(!conn.unanswered.is_empty());
        // Guards against a call that is established here while it is set up at another server.
        let unread =
            conn.releases.take_matching(self.now, |call| !self.servers.has_set_up(conn.server, *call));
        let owed: BTreeSet<_> = conn.unanswered.keys().copied().chain(unread).collect();
        for call in owed {
            self.send_release(conn.server, call, None, out);
        }
        // Dialled before the engine retries the unanswered set-ups, so that they find a connection.
        self.servers.dial(self.now, conn.server, false, out);
        for attempt in conn.unanswered.into_values() {
            self.end_attempt(attempt, AttemptEnd::plain(Outcome::Reset), out);
        }
    }

    fn close_broken(&mut self, id: ConnId, why: &dyn Display, out: &mut Vec<Output>) {
        tracing::debug!("connection {} to a signalling server is closed: {why}", id.0);
        out.push(Output::CloseServer(id));
        self.server_down(id, out);
    }

    pub(super) fn handle_server_message(&mut self, id: ConnId, message: &Message, out: &mut Vec<Output>) {
        let Some(conn) = self.servers.conns.get_mut(&id) else { return };
        (conn.received_at, conn.pinged_at, conn.partial_since) = (self.now, None, None);
        let server = conn.server;
        let result = match message.kind {
            MessageType::LoadReport => self.read_report(message).map(|report| {
                self.apply_to_engine(EngineInput::LoadReport { server, report }, out);
            }),
            MessageType::Answer => self.handle_answer(id, message, out),
            MessageType::Release => self.handle_release(id, server, message, out),
            MessageType::HealthCheck => {
                write(out, id, &Message::health_check_passed(message.call));
                Ok(())
            }
            MessageType::Progress | MessageType::ReleaseAck | MessageType::HealthCheckResult => Ok(()),
            MessageType::SetUp => Err(PlatformError::UnknownType(1)),
        };
        if let Err(fault) = result {
            self.close_broken(id, &fault, out);
        }
    }

    fn read_report(&self, message: &Message) -> Result<Report, PlatformError> {
        let text = message.text(ParameterCode::LOAD_REPORT)?;
        Ok(text.map(|text| report::read(text, &self.site.fields)).unwrap_or_default())
    }

    /// Handles an answer: the call is established. Valid only on the connection of its set-up; duplicates and
    /// answers to unknown set-ups are ignored.
    fn handle_answer(
        &mut self,
        id: ConnId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), PlatformError> {
        // Parsed completely before any state changes: an invalid message closes the connection and resets all
        // its set-ups, this one included.
        let (call, report) = (message.call, self.read_report(message)?);
        let conn = self.servers.conns.get_mut(&id);
        let Some((conn, attempt)) =
            conn.and_then(|conn| conn.unanswered.get(&call).copied().map(|a| (conn, a)))
        else {
            return Ok(());
        };
        let description = message.required(ParameterCode::DESCRIPTION)?.clone();
        conn.unanswered.remove(&call);
        let server = conn.server;
        if let Some(state) = self.attempts.get_mut(&attempt) {
            state.established = true;
        }
        tracing::trace!("{call} at {server:x}: established");
        self.attempt_counts.record_ended(server, Outcome::Ok);
        self.servers.add_established(self.now, server, call, attempt);
        self.answer = Some(description);
        self.apply_to_engine(EngineInput::Established { attempt, report }, out);
        self.answer = None;
        Ok(())
    }

    /// Handles a release by a signalling server, which ends a set-up or an established call.
    fn handle_release(
        &mut self,
        id: ConnId,
        server: ServerId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), PlatformError> {
        // Parsed completely before any state changes, as in `handle_answer`.
        let (call, cause, report) = (message.call, message.cause()?, self.read_report(message)?);
        let note = message.text(ParameterCode::NOTE)?.map_or(Note::None, note);
        let Some(conn) = self.servers.conns.get_mut(&id) else { return Ok(()) };
        if let Some(attempt) = conn.unanswered.remove(&call) {
            tracing::trace!("{call} at {server:x}: released with cause {cause} before its answer");
            conn.finished.push(self.now, call);
            if cause == Cause::NORMAL {
                // The answer was lost, and this release ends the established call.
                self.attempts.remove(&attempt);
                self.apply_to_engine(EngineInput::Cleared { attempt, report }, out);
                return Ok(());
            }
            let outcome = match cause {
                Cause::NO_CIRCUIT => Outcome::Full,
                Cause::BUSY | Cause::RESOURCE => Outcome::Error,
                Cause::TIMER => Outcome::Moot,
                _ => Outcome::Reset,
            };
            self.end_attempt(attempt, AttemptEnd { outcome, note, report }, out);
        } else {
            let had_finished = conn.has_finished(call);
            let outcome = if cause == Cause::NORMAL { Outcome::Ok } else { Outcome::Reset };
            let Some(known) = self.servers.by_id.get(&server) else { return Ok(()) };
            let Some(attempt) = known.established.get(&call).copied() else {
                if !had_finished {
                    self.servers.unclaimed_ends.push(self.now, (server, call, outcome));
                }
                return Ok(());
            };
            let own_conn = self.attempts.get(&attempt).and_then(|state| state.conn);
            tracing::trace!(
                "{call} at {server:x}: ended with cause {cause} on {}, set up on {own_conn:?}, \
                 finished here before: {had_finished}",
                id.0
            );
            // A late release of an earlier attempt on this connection: one of the call itself would come by
            // the connection of its set-up while that is open. A normal release only ends established calls.
            let is_late = had_finished && outcome != Outcome::Ok;
            if is_late && own_conn.is_some_and(|own_conn| self.servers.conns.contains_key(&own_conn)) {
                return Ok(());
            }
            self.attempts.remove(&attempt);
            if let Some(known) = self.servers.by_id.get_mut(&server) {
                known.established.remove(&call);
            }
            let input = match outcome {
                Outcome::Ok => EngineInput::Cleared { attempt, report },
                _ => EngineInput::Cut { attempt, report },
            };
            self.apply_to_engine(input, out);
        }
        Ok(())
    }

    pub(super) fn check_servers(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        for id in self.servers.by_id.keys().copied().collect::<Vec<_>>() {
            self.check_server(id, out);
        }
        let mut broken = Vec::new();
        let at = |server| self.servers.by_id.get(&server).map(|server| server.address);
        let misplaced =
            self.servers.conns.iter().filter(|(_, conn)| at(conn.server) != Some(Some(conn.address)));
        // Guards against a server whose address has changed or now belongs to another server: the process at
        // the dialled address is not this server.
        broken.extend(misplaced.map(|(id, _)| (*id, "the server's address has changed")));
        for (id, conn) in self.servers.conns.iter_mut().filter(|(_, conn)| conn.up) {
            let stuck = conn.partial_since.is_some_and(|at| now >= at + PARTIAL_MESSAGE_TIMEOUT);
            let silent = conn.pinged_at.is_some_and(|at| now >= at + PING_TIMEOUT);
            if stuck || silent {
                broken.push((*id, if stuck { "incomplete message timed out" } else { "ping timed out" }));
            } else if conn.pinged_at.is_none() && now >= conn.received_at + PING_AFTER_IDLE {
                conn.pinged_at = Some(now);
                let ping = Message::new(MessageType::HealthCheck, CallId::default())
                    .with(ParameterCode::CAUSE, vec![0]);
                write(out, *id, &ping);
            }
        }
        for (id, why) in broken {
            self.close_broken(id, &why, out);
        }
    }

    fn check_server(&mut self, id: ServerId, out: &mut Vec<Output>) {
        let (now, dial_timeout) = (self.now, self.dial_timeout);
        let Some(server) = self.servers.by_id.get_mut(&id) else { return };
        let expired: Vec<_> = server
            .waiting
            .iter()
            .filter(|attempt| {
                let pending = self.attempts.get(attempt).and_then(|state| state.pending.as_ref());
                pending.is_none_or(|pending| now >= (pending.queued_at + dial_timeout).min(pending.begin_by))
            })
            .copied()
            .collect();
        server.waiting.retain(|attempt| !expired.contains(attempt));
        let after = if server.listed.is_some() { UNREACHABLE_TIMEOUT } else { DELISTED_UNREACHABLE_TIMEOUT };
        let down = server.down_since.is_some_and(|at| now >= at + after);
        let idle = server.listed.is_none() && server.established.is_empty() && server.waiting.is_empty();
        let conns: Vec<_> = server.conns.iter().copied().collect();
        // Guards against a working server that is considered unreachable, and so put into warm-up, since it
        // accepted no further connection for this call in time.
        let outcome = match self.servers.any_up_conn(id) {
            Some(_) => Outcome::Moot,
            None => Outcome::ConnectFailed,
        };
        for attempt in expired {
            self.end_attempt(attempt, AttemptEnd::plain(outcome), out);
        }
        if down {
            // Partitioned, or gone without closing. Should it come back, calls
            // that it may still hold are released.
            let established = self.process_lost(id, Micros::MAX, out);
            if let Some(server) = self.servers.by_id.get_mut(&id) {
                established.into_iter().for_each(|call| server.queue_release(call));
            }
        }
        let has_unanswered =
            |conn: &ConnId| self.servers.conns.get(conn).is_some_and(|conn| !conn.unanswered.is_empty());
        if idle && !conns.iter().any(has_unanswered) {
            for conn in conns {
                out.push(Output::CloseServer(conn));
                self.servers.remove(now, conn);
            }
            self.servers.by_id.remove(&id);
            return;
        }
        self.close_surplus(id, out);
        self.servers.dial(now, id, false, out);
    }

    /// Closes one connection above the server's limit: the oldest without an unanswered set-up or a call
    /// established on it, since ends of calls come first by the connection of their set-up.
    fn close_surplus(&mut self, id: ServerId, out: &mut Vec<Output>) {
        let Some(server) = self.servers.by_id.get(&id) else { return };
        let share = self.servers.conn_limits.total / self.servers.by_id.len().max(1);
        let limit = server
            .pool_limit
            .unwrap_or(self.servers.conn_limits.pool_limit)
            .current_max(self.now)
            .min(share)
            .max(1);
        let up: Vec<_> =
            self.servers.up_conns(id).map(|(id, conn)| (id, conn.unanswered.is_empty())).collect();
        let used = |conn: &ConnId| self.attempts.values().any(|state| state.conn == Some(*conn));
        if up.len() <= limit {
            return;
        }
        let Some((surplus, _)) = up.into_iter().find(|(conn, idle)| *idle && !used(conn)) else { return };
        let replacement_from = server.replacement_from;
        out.push(Output::CloseServer(surplus));
        self.servers.remove(self.now, surplus);
        if let Some(server) = self.servers.by_id.get_mut(&id) {
            // It did not break: no message was lost with it.
            server.replacement_from = replacement_from;
        }
    }
}

/// Parses a server's note on a refusal.
fn note(text: &str) -> Note {
    let wait_ms = text.split_once(':').and_then(|(_, ms)| ms.trim().parse::<u32>().ok()).unwrap_or(0);
    match text.split(':').next().unwrap_or_default().trim() {
        "atb" => Note::NoLine,
        "acc" => Note::ProcessorFull(u64::from(wait_ms) * 1_000),
        "racc" => Note::ProcessorFull(0),
        "sub" => Note::NumberBusy,
        _ => Note::None,
    }
}

fn write(out: &mut Vec<Output>, conn: ConnId, message: &Message) {
    out.extend(wire(message).map(|bytes| Output::ToServer(conn, bytes)));
}
