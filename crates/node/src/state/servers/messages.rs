//! Messages from signalling servers.

use baydrift::interface::{Note, Outcome, Report, ServerId};
use baydrift_call::{AttemptEnd, Input as EngineInput};
use baydrift_platform::{report, Cause, Message, MessageType, ParameterCode, PlatformError};

use super::{write, ConnId};
use crate::state::{Node, Output};

impl Node {
    pub(in crate::state) fn handle_server_message(
        &mut self,
        id: ConnId,
        message: &Message,
        out: &mut Vec<Output>,
    ) {
        let Some(conn) = self.servers.conns.get_mut(&id) else { return };
        conn.record_message(self.now);
        let server = conn.server;
        if let Some(server) = self.servers.by_id.get_mut(&server) {
            server.record_message(self.now);
        }
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
            conn.record_read(state.started_at);
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
            if let Some(state) = self.attempts.get(&attempt) {
                conn.record_read(state.started_at);
            }
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
