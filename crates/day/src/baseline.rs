//! Plain round robin, for comparison only: sends each call to the next ready server, and to another one if
//! it fails.

use std::collections::BTreeMap;

use baydrift::interface::{
    Action, Call, CallId, Event, ListKind, Micros, Note, Outcome, ServerId, ServerState, Settings,
};
use baydrift_call::Policy;

/// Time before the caller's timeout at which a call must be answered, in microseconds.
const ANSWER_MARGIN: Micros = 30_000;

#[derive(Debug)]
struct Pending {
    answer_by: Micros,
    attempts: u32,
    /// Earliest time of the next attempt.
    not_before: Micros,
    /// Number of the in-flight attempt.
    in_flight: Option<u16>,
}

/// The round-robin policy.
#[derive(Debug)]
pub struct RoundRobin {
    settings: Settings,
    servers: BTreeMap<ServerId, ServerState>,
    /// Server of the latest attempt.
    last: ServerId,
    calls: BTreeMap<CallId, Pending>,
}

impl RoundRobin {
    /// Starts without servers.
    pub fn new(settings: Settings) -> Self {
        Self { settings, servers: BTreeMap::new(), last: 0, calls: BTreeMap::new() }
    }

    fn send_next(&mut self, now: Micros, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let candidates = self.servers.range(self.last + 1..).chain(self.servers.range(..=self.last));
        let next = candidates.filter(|(_, state)| **state == ServerState::Ready).map(|(id, _)| *id).next();
        match next
            .filter(|_| call.attempts < self.settings.max_attempts && now + ANSWER_MARGIN < call.answer_by)
        {
            Some(server) => {
                self.last = server;
                call.in_flight = Some(call.attempts as u16);
                call.attempts += 1;
                actions.push(Action::Send {
                    call: id,
                    server,
                    timeout: call.answer_by - now,
                    begin_within: call.answer_by - now,
                });
            }
            None => {
                self.calls.remove(&id);
                actions.push(Action::Refuse { call: id, retry_after: 0 });
            }
        }
    }

    fn accept(&mut self, now: Micros, call: &Call, actions: &mut Vec<Action>) {
        let answer_by = now + call.caller_timeout.saturating_sub(ANSWER_MARGIN);
        self.calls.insert(call.id, Pending { answer_by, attempts: 0, not_before: now, in_flight: None });
        actions.push(Action::Timer { at: answer_by, token: u64::from(call.id), call: Some(call.id) });
        self.send_next(now, call.id, actions);
    }
}

impl Policy for RoundRobin {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List(kind, entries) => {
                if kind == ListKind::Full {
                    self.servers.clear();
                }
                self.servers.extend(entries.iter().map(|entry| (entry.server, entry.state)));
            }
            Event::Call(call) => self.accept(now, &call, actions),
            Event::Established { call, .. } | Event::Abandoned(call) => drop(self.calls.remove(&call)),
            Event::Ended { call, attempt, outcome, complete, note, .. } => {
                let Some(pending) = self.calls.get_mut(&call).filter(|p| p.in_flight == Some(attempt)) else {
                    return;
                };
                pending.in_flight = None;
                if complete || note == Note::NumberBusy {
                    self.calls.remove(&call);
                    if !complete {
                        actions.push(Action::Refuse { call, retry_after: 0 });
                    }
                } else if matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
                    let at = now + self.settings.retry_holdoff + 2_000;
                    pending.not_before = at;
                    actions.push(Action::Timer { at, token: u64::from(call), call: Some(call) });
                } else {
                    self.send_next(now, call, actions);
                }
            }
            Event::Timer(token) => {
                let id = token as CallId;
                let Some(pending) = self.calls.get(&id) else { return };
                if now >= pending.answer_by {
                    if let Some(attempt) = pending.in_flight {
                        actions.push(Action::Cancel { call: id, attempt });
                    }
                    self.calls.remove(&id);
                    actions.push(Action::Fail(id));
                } else if pending.in_flight.is_none() && now >= pending.not_before {
                    self.send_next(now, id, actions);
                }
            }
            Event::Probed { .. } | Event::PeerMessage { .. } | Event::BudgetShare { .. } => {}
        }
    }
}
