//! Attempts at signalling servers: their set-ups and releases.

use baydrift::interface::{Micros, Outcome, Report, ServerId};
use baydrift_call::{AttemptEnd, AttemptId, Input as EngineInput};
use baydrift_platform::{CallId, Cause, Message, MessageType, ParameterCode};

use super::{write, ConnId, OwedRelease};
use crate::state::{wire, Attempt, Node, Output, Payload, PendingSetUp};

impl Node {
    /// Starts an attempt on an established connection, or queues it for the next one within the dial timeout.
    pub(in crate::state) fn start_attempt(
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
            origin: None,
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

    pub(super) fn write_set_up(&mut self, attempt: AttemptId, conn: ConnId, out: &mut Vec<Output>) {
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
            state.origin = Some(conn.origin());
            conn.unanswered.insert(state.call, attempt);
        }
        out.push(Output::ToServer(conn, bytes));
    }

    /// Cancels an attempt, or releases the call established by it.
    pub(in crate::state) fn release_attempt(&mut self, attempt: AttemptId, out: &mut Vec<Output>) {
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
        self.send_release(server, OwedRelease::new(call), own_conn, out);
    }

    /// Releases a call at a server: on `preferred` if given, else on any established connection, else on the
    /// next one that comes up.
    pub(super) fn send_release(
        &mut self,
        server: ServerId,
        release: OwedRelease,
        preferred: Option<ConnId>,
        out: &mut Vec<Output>,
    ) {
        if let Some(conn) = preferred.or_else(|| self.servers.any_up_conn(server)) {
            return self.write_release(conn, release, out);
        }
        if let Some(known) = self.servers.by_id.get_mut(&server) {
            known.queue_release(release);
        }
    }

    pub(super) fn write_release(&mut self, id: ConnId, release: OwedRelease, out: &mut Vec<Output>) {
        let writes = release.writes + 1;
        if let Some(conn) = self.servers.conns.get_mut(&id) {
            conn.unread_releases.push(self.now, OwedRelease { writes, ..release });
        }
        write(out, id, &Message::release(release.call, Cause::NORMAL));
    }

    /// Reports to the engine an attempt that ended without establishing its call.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd, out: &mut Vec<Output>) {
        // Removed first: the server holds nothing that the engine's release would end.
        if let Some(state) = self.attempts.remove(&attempt) {
            tracing::trace!("{} at {:x}: {:?} {:?}", state.call, state.server, end.outcome, end.note);
            self.attempt_counts.record_ended(state.server, end.outcome);
        }
        self.apply_to_engine(EngineInput::Ended { attempt, end }, out);
    }

    /// Ends a server's attempts and calls from before a time, lost with their process.
    /// Returns the calls that were established.
    pub(in crate::state) fn process_lost(
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
}
