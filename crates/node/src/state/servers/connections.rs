//! Connections to signalling servers: opened, failed, broken, and checked for timeouts.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Display;

use baydrift::interface::{Micros, Outcome, ServerId, ServerState};
use baydrift_call::{AttemptEnd, AttemptId};
use baydrift_platform::CallId;

use super::{Conn, ConnId, OwedRelease, RELEASE_READ_AFTER, RELEASE_WRITES_MAX};
use crate::state::{Node, Output};

/// Time after which the calls at an unreachable server are considered lost:
/// callers must be notified within 8 s.
const UNREACHABLE_TIMEOUT: Micros = 3_500_000;
/// The same for a server that is no longer on the list, which is never this far behind.
const DELISTED_UNREACHABLE_TIMEOUT: Micros = 1_500_000;

/// Time without a message after which a connection may be closed as surplus.
const SURPLUS_AFTER_IDLE: Micros = 1_000_000;

impl Node {
    pub(in crate::state) fn server_up(&mut self, id: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(conn) = self.servers.conns.get_mut(&id) else { return out.push(Output::CloseServer(id)) };
        (conn.up, conn.up_at, conn.received_at) = (true, now, now);
        tracing::debug!("{:x}: connection {} up", conn.server, id.0);
        let owner = conn.server;
        let Some(server) = self.servers.by_id.get_mut(&owner) else { return };
        (server.dial_failures, server.refuses) = (0, false);
        if server.down_since.take().is_some() {
            server.restored_at = Some(now);
        }
        server.accepted_at = now;
        server.record_replacement(id);
        let (waiting, releases) =
            (std::mem::take(&mut server.waiting), std::mem::take(&mut server.pending_releases));
        let ready = server.listed == Some(ServerState::Ready);
        for release in releases {
            self.write_release(id, release, out);
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

    pub(in crate::state) fn dial_failed(&mut self, id: ConnId, refused: bool, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(conn) = self.servers.remove(now, id) else { return };
        tracing::debug!("{:x}: connection {} not up, refused {refused}", conn.server, id.0);
        let silent = self.servers.conns_of_silent_server(conn.server);
        if let Some(server) = self.servers.by_id.get_mut(&conn.server) {
            server.record_failed_dial(now);
        }
        // The server does not hang: it cannot be reached.
        for silent in silent {
            self.close_broken(silent, &"ping timed out, and a dial failed", out);
        }
        let up = self.servers.up_conns(conn.server).count();
        let pool_limit = self.servers.conn_limits.pool_limit;
        let Some(server) = self.servers.by_id.get_mut(&conn.server) else { return };
        if up > 0 {
            // The server works but accepts no further connection.
            server.pool_limit.get_or_insert(pool_limit).record_refusal(now, up);
        }
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

    /// Handles the end of an established connection: unanswered set-ups on it end as reset, and are released,
    /// since a call whose answer was lost is established and outlives the connection. Releases that may not
    /// have been read are repeated. Calls known to be established are not affected.
    pub(in crate::state) fn server_down(&mut self, id: ConnId, out: &mut Vec<Output>) {
        let Some(mut conn) = self.servers.remove(self.now, id) else { return };
        tracing::debug!(
            "{:x}: connection {} down, {} set-ups unanswered",
            conn.server,
            id.0,
            conn.unanswered.len()
        );
        self.counts.broken += u64::from(!conn.unanswered.is_empty());
        if conn.up {
            self.servers.record_break(conn.server);
        }
        self.repeat_unread_releases(&mut conn);
        self.reset_set_ups(conn.server, conn.unanswered, None, out);
    }

    /// Releases unanswered set-ups, on `silent` if their connection is still open, and ends their attempts as reset.
    pub(super) fn reset_set_ups(
        &mut self,
        server: ServerId,
        unanswered: BTreeMap<CallId, AttemptId>,
        silent: Option<ConnId>,
        out: &mut Vec<Output>,
    ) {
        // Guards against a call that is established here while it is set up at another server.
        for call in unanswered.keys() {
            self.send_release(server, OwedRelease::new(*call), silent, out);
        }
        // Dialled before the engine retries the set-ups, so that they find a connection; without a pause for a
        // release, which must arrive before the call is set up elsewhere, and to probe a silent server.
        let at_once = silent.is_some() || self.servers.owes_release(server);
        self.servers.dial(self.now, server, at_once, out);
        for attempt in unanswered.into_values() {
            self.end_attempt(attempt, AttemptEnd::plain(Outcome::Reset), out);
        }
    }

    /// Queues the releases that may not have been read on a broken connection for the one that replaces it, but
    /// for calls that have been set up at the server again. The other connections may be breaking as well.
    fn repeat_unread_releases(&mut self, conn: &mut Conn) {
        conn.unread_releases.remove_before(conn.received_at.saturating_sub(RELEASE_READ_AFTER));
        for release in conn.unread_releases.take_matching(self.now, |_| true) {
            let call = release.call;
            let is_set_up = conn.unanswered.contains_key(&call) || self.servers.has_set_up(conn.server, call);
            let Some(server) = self.servers.by_id.get_mut(&conn.server) else { return };
            if release.writes < RELEASE_WRITES_MAX && !is_set_up {
                server.queue_release(release);
            }
        }
    }

    pub(super) fn close_broken(&mut self, id: ConnId, why: &dyn Display, out: &mut Vec<Output>) {
        tracing::debug!("connection {} to a signalling server is closed: {why}", id.0);
        out.push(Output::CloseServer(id));
        self.server_down(id, out);
    }

    pub(in crate::state) fn check_servers(&mut self, out: &mut Vec<Output>) {
        for id in self.servers.by_id.keys().copied().collect::<Vec<_>>() {
            self.check_server(id, out);
        }
        for (id, why) in self.misplaced_conns() {
            self.close_broken(id, &why, out);
        }
        self.check_health(out);
    }

    /// Connections to another address than their server's. Guards against a server whose address has changed
    /// or now belongs to another server: the process at the dialled address is not this server.
    fn misplaced_conns(&self) -> Vec<(ConnId, &'static str)> {
        let address = |server| self.servers.by_id.get(&server).and_then(|server| server.address);
        let conns = self.servers.conns.iter();
        let misplaced = conns.filter(|(_, conn)| address(conn.server) != Some(conn.address));
        misplaced.map(|(id, _)| (*id, "the server's address has changed")).collect()
    }

    fn check_server(&mut self, id: ServerId, out: &mut Vec<Output>) {
        self.expire_waiting_set_ups(id, out);
        self.check_reachable(id, out);
        if !self.remove_if_unused(id, out) {
            self.close_surplus(id, out);
            self.servers.dial(self.now, id, false, out);
        }
    }

    /// Ends the attempts whose set-ups have waited too long for a connection.
    fn expire_waiting_set_ups(&mut self, id: ServerId, out: &mut Vec<Output>) {
        let (now, dial_timeout) = (self.now, self.dial_timeout);
        let Some(server) = self.servers.by_id.get_mut(&id) else { return };
        let has_expired = |attempt: &AttemptId| {
            let pending = self.attempts.get(attempt).and_then(|state| state.pending.as_ref());
            pending.is_none_or(|pending| now >= (pending.queued_at + dial_timeout).min(pending.begin_by))
        };
        let (expired, waiting): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut server.waiting).into_iter().partition(has_expired);
        server.waiting = waiting;
        // Guards against a working server that is considered unreachable, and so put into warm-up, since it
        // accepted no further connection for this call in time.
        let outcome = match self.servers.any_up_conn(id) {
            Some(_) => Outcome::Moot,
            None => Outcome::ConnectFailed,
        };
        for attempt in expired {
            self.end_attempt(attempt, AttemptEnd::plain(outcome), out);
        }
    }

    /// Ends the calls at a server that has been unreachable for too long: partitioned, or gone without closing.
    /// Should it come back, calls that it may still hold are released.
    fn check_reachable(&mut self, id: ServerId, out: &mut Vec<Output>) {
        let Some(server) = self.servers.by_id.get(&id) else { return };
        let timeout =
            if server.listed.is_some() { UNREACHABLE_TIMEOUT } else { DELISTED_UNREACHABLE_TIMEOUT };
        if server.down_since.is_none_or(|since| self.now < since + timeout) {
            return;
        }
        let established = self.process_lost(id, Micros::MAX, out);
        if let Some(server) = self.servers.by_id.get_mut(&id) {
            established.into_iter().for_each(|call| server.queue_release(OwedRelease::new(call)));
        }
    }

    /// Removes a server that is off the list and has no calls; returns whether it did.
    fn remove_if_unused(&mut self, id: ServerId, out: &mut Vec<Output>) -> bool {
        let Some(server) = self.servers.by_id.get(&id) else { return true };
        let has_unanswered =
            |conn: &ConnId| self.servers.conns.get(conn).is_some_and(|conn| !conn.unanswered.is_empty());
        let used = server.listed.is_some()
            || !server.established.is_empty()
            || !server.waiting.is_empty()
            || server.conns.iter().any(has_unanswered);
        if used {
            return false;
        }
        for conn in server.conns.clone() {
            out.push(Output::CloseServer(conn));
            self.servers.remove(self.now, conn);
        }
        self.servers.by_id.remove(&id);
        true
    }

    /// Closes one connection above the server's limit: the oldest without an unanswered set-up or a call
    /// established on it, since ends of calls come first by the connection of their set-up. Guards against a
    /// replacement that is closed before the ends which its server repeats on it have arrived, and against the close
    /// of one whose server may hang.
    fn close_surplus(&mut self, id: ServerId, out: &mut Vec<Output>) {
        let Some(server) = self.servers.by_id.get(&id) else { return };
        let max = self.servers.pool_limit(server).current_max(self.now);
        let limit = max.min(self.servers.conns_share()).max(1);
        let is_idle = |conn: &Conn| {
            conn.unanswered.is_empty()
                && conn.pinged_at.is_none()
                && self.now >= conn.received_at + SURPLUS_AFTER_IDLE
        };
        let up: Vec<_> = self.servers.up_conns(id).map(|(id, conn)| (id, is_idle(conn))).collect();
        let used = |conn: &ConnId| self.attempts.values().any(|state| state.conn == Some(*conn));
        if up.len() <= limit {
            return;
        }
        let Some((surplus, _)) = up.into_iter().find(|(conn, idle)| *idle && !used(conn)) else { return };
        // It did not break: no message is lost with it, and it needs no replacement.
        out.push(Output::CloseServer(surplus));
        self.servers.remove(self.now, surplus);
    }
}
