//! Health of the connections to signalling servers: idle ones are pinged, and those that stay silent are closed.
//!
//! A silent connection may be broken, or its server may hang. A server that hangs still holds its calls, and sends
//! what concerns them on the connections that it has once it goes on; what it writes to a closed one is lost. So a
//! silent connection is kept while new connections to the server come up but stay silent as well. Its unanswered
//! set-ups do not wait for it.

use baydrift::interface::{Micros, ServerId};
use baydrift_platform::{CallId, Message, MessageType, ParameterCode};

use super::{write, Conn, ConnId, Servers, PING_AFTER_IDLE, PING_TIMEOUT};
use crate::state::{Node, Output, CHECK_INTERVAL};

/// Time within which a partly received message must be complete: messages are small,
/// and a stalled one blocks all that follow.
const PARTIAL_MESSAGE_TIMEOUT: Micros = 500_000;
/// Time from the start of a connection until a ping on it has timed out, if nothing is received.
const SILENT_AFTER: Micros = PING_AFTER_IDLE + PING_TIMEOUT;

/// What is to be done with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    /// Nothing.
    Good,
    /// It is idle and to be pinged.
    Idle,
    /// It stays open, and its unanswered set-ups are given up.
    Silent,
    /// It is to be closed, for this reason.
    Broken(&'static str),
}

impl Node {
    /// Checks the health of all connections.
    pub(super) fn check_health(&mut self, out: &mut Vec<Output>) {
        let up: Vec<_> = self.servers.conns.iter().filter(|(_, conn)| conn.up).map(|(id, _)| *id).collect();
        for id in up {
            match self.servers.health(self.now, id, self.dial_timeout) {
                Health::Good => {}
                Health::Idle => self.ping(id, out),
                Health::Silent => self.give_up_set_ups(id, out),
                Health::Broken(why) => self.close_broken(id, &why, out),
            }
        }
    }

    fn ping(&mut self, id: ConnId, out: &mut Vec<Output>) {
        let Some(conn) = self.servers.conns.get_mut(&id) else { return };
        conn.pinged_at = Some(self.now);
        let ping =
            Message::new(MessageType::HealthCheck, CallId::default()).with(ParameterCode::CAUSE, vec![0]);
        write(out, id, &ping);
    }

    /// Releases the unanswered set-ups of a silent connection, on that connection, and ends their attempts.
    fn give_up_set_ups(&mut self, id: ConnId, out: &mut Vec<Output>) {
        let Some(conn) = self.servers.conns.get_mut(&id) else { return };
        let server = conn.server;
        conn.given_up_at = Some(self.now);
        let unanswered = std::mem::take(&mut conn.unanswered);
        for call in unanswered.keys() {
            conn.finished.push(self.now, *call);
        }
        tracing::debug!("{server:x}: connection {} is silent, {} set-ups given up", id.0, unanswered.len());
        self.reset_set_ups(server, unanswered, Some(id), out);
    }
}

impl Servers {
    fn health(&self, now: Micros, id: ConnId, dial_timeout: Micros) -> Health {
        let Some(conn) = self.conns.get(&id) else { return Health::Good };
        if conn.partial_since.is_some_and(|at| now >= at + PARTIAL_MESSAGE_TIMEOUT) {
            return Health::Broken("incomplete message timed out");
        }
        let Some(pinged_at) = conn.pinged_at else {
            return if now >= conn.received_at + PING_AFTER_IDLE { Health::Idle } else { Health::Good };
        };
        if now < pinged_at + PING_TIMEOUT {
            return Health::Good;
        }
        if !self.may_hang(now, conn, pinged_at, dial_timeout) || self.is_second_unheard(id, conn) {
            return Health::Broken("ping timed out");
        }
        if conn.given_up_at.is_some_and(|at| now < at + SILENT_AFTER) {
            return Health::Good;
        }
        Health::Silent
    }

    /// Whether the server of a silent connection may hang, so that the connection is kept.
    fn may_hang(&self, now: Micros, conn: &Conn, pinged_at: Micros, dial_timeout: Micros) -> bool {
        let Some(server) = self.by_id.get(&conn.server).filter(|server| server.listed.is_some()) else {
            return false;
        };
        // The server has been active elsewhere for long enough to answer the ping.
        if server.heard_at >= pinged_at && now >= pinged_at.max(server.active_since) + PING_TIMEOUT {
            return false;
        }
        // Time within which a new connection must come up: the next is dialled once the last one is silent too.
        let dialled_by = (pinged_at + PING_TIMEOUT).max(server.accepted_at + SILENT_AFTER);
        now < dialled_by + dial_timeout + 2 * CHECK_INTERVAL
    }

    /// Whether nothing was received on a connection, nor on an older one to the same server. One of them is kept:
    /// on the first one that the server accepts, it repeats the ends of calls.
    fn is_second_unheard(&self, id: ConnId, conn: &Conn) -> bool {
        let mut older = self.up_conns(conn.server).filter(|(other, _)| *other < id);
        !conn.heard && older.any(|(_, other)| !other.heard)
    }

    /// Whether all connections to a server are silent, so that another one is to show whether it can be reached.
    pub(super) fn needs_probe(&self, id: ServerId) -> bool {
        let mut up = self.up_conns(id).peekable();
        up.peek().is_some() && up.all(|(_, conn)| conn.is_silent())
    }

    /// The silent connections to a server, if all that are up are silent.
    pub(super) fn conns_of_silent_server(&self, id: ServerId) -> Vec<ConnId> {
        if !self.needs_probe(id) {
            return Vec::new();
        }
        self.up_conns(id).map(|(conn, _)| conn).collect()
    }
}
