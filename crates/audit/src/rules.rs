//! Checks a record against the five rules.

use std::collections::{BTreeMap, BTreeSet};

use crate::datagram_loss::{LateCall, Losses};
use crate::record::{RecordEntry, RecordEvent};
use crate::verdict::{Excuse, Verdict};

/// Tolerance for the interval between two events that were recorded at different sockets, in microseconds.
pub const SLACK: u64 = 25_000;

/// A request that is retransmitted over a new connection less than this before its caller's time-out is not
/// owed an answer, in microseconds.
const LAST_RETRANSMIT_MARGIN: u64 = 200_000;

/// The limits that the rules check.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RuleLimits {
    /// Rule 3: time after the notification of a drain in which set-ups may still be sent, in microseconds.
    pub grace: u64,
    /// Rule 5: minimum time from the uncertain end of an attempt to the next one, in microseconds.
    pub retry_holdoff: u64,
    /// Maximum number of attempts of a call.
    pub max_attempts: usize,
}

impl Default for RuleLimits {
    fn default() -> Self {
        Self { grace: 1_000_000, retry_holdoff: 300_000, max_attempts: 5 }
    }
}

/// What was recorded of one call.
#[derive(Default)]
struct Call {
    front: u32,
    offered: u64,
    /// When the caller's time-out passes.
    deadline: u64,
    code: Option<u32>,
    answered: Option<u64>,
    /// When its caller released it or its time-out passed.
    abandoned: Option<u64>,
    /// The attempt that is in flight.
    in_flight: Option<String>,
    /// When the last attempt ended whose server may still hold the call.
    uncertain_since: Option<u64>,
    attempts: usize,
    /// The client's connection ended before the answer, and the request was not retransmitted.
    disconnected: bool,
    /// Offered while the path from its client held back messages.
    held: bool,
}

/// One attempt of a call at a server.
struct Attempt {
    call: String,
    server: u16,
    front: u32,
    open: bool,
}

/// The state of the check while it reads the record.
struct RuleChecker {
    limits: RuleLimits,
    calls: BTreeMap<String, Call>,
    attempts: BTreeMap<String, Attempt>,
    /// Open attempts by server and front.
    open: BTreeMap<(u16, u32), BTreeSet<String>>,
    /// When a front was notified that a server drains, by server, front and whether the pool list said so.
    drains: BTreeMap<(u16, u32, bool), u64>,
    /// Suspensions of fronts: the front, start and end.
    stalls: Vec<(u32, u64, u64)>,
    /// Outages of fronts: the front, when it was killed and when it served again.
    outages: Vec<(u32, u64, u64)>,
    /// Clients whose transport loses messages.
    lossy: BTreeSet<String>,
    /// Clients whose path to the front holds back messages.
    held: BTreeSet<String>,
    losses: Losses,
    verdict: Verdict,
}

/// Checks a whole record against the rules.
pub fn rules(lines: &[RecordEntry], limits: RuleLimits) -> Verdict {
    let mut checker = RuleChecker {
        limits,
        calls: BTreeMap::new(),
        attempts: BTreeMap::new(),
        open: BTreeMap::new(),
        drains: BTreeMap::new(),
        stalls: Vec::new(),
        outages: Vec::new(),
        lossy: BTreeSet::new(),
        held: BTreeSet::new(),
        losses: Losses::default(),
        verdict: Verdict::default(),
    };
    for entry in lines {
        checker.handle(entry.at, &entry.event);
    }
    let end = lines.last().map_or(0, |entry| entry.at);
    checker.finish(end);
    checker.verdict
}

impl RuleChecker {
    fn breach(&mut self, rule: u8, at: u64, text: String) {
        self.verdict.breach(rule, at, text);
    }

    fn handle(&mut self, at: u64, event: &RecordEvent) {
        match event {
            RecordEvent::Offer { front, call, caller_timeout_us, .. } => {
                let held = call.split('|').next().is_some_and(|client| self.held.contains(client));
                let offered = Call {
                    front: *front,
                    offered: at,
                    deadline: at + caller_timeout_us,
                    held,
                    ..Call::default()
                };
                if self.calls.insert(call.clone(), offered).is_some() {
                    self.breach(1, at, format!("the record offers {call} twice"));
                }
            }
            RecordEvent::Answer { call, code, .. } => self.answer(at, call, *code),
            RecordEvent::CallerTimeout { call, .. } | RecordEvent::Hangup { call, .. } => {
                if let Some(call) = self.calls.get_mut(call) {
                    call.abandoned.get_or_insert(at);
                }
            }
            RecordEvent::ClientDisconnected { client, .. } => {
                let calls = self.calls.iter_mut().filter(|(name, _)| name.split('|').next() == Some(client));
                calls.for_each(|(_, call)| call.disconnected |= call.answered.is_none());
            }
            RecordEvent::SetUp { server, front, call, attempt, redirected: _ } => {
                self.verdict.set_ups += 1;
                // If its sending is on record, the set-up was counted then.
                if !self.attempts.contains_key(attempt) {
                    self.set_up(at, *server, *front, call, attempt);
                }
            }
            RecordEvent::Reply { attempt, code, lost, .. } => {
                // A lost answer ends no attempt, since its front does not receive it. A refusal leaves
                // nothing at the server, so that the call may be set up again at once; an established call is
                // not set up again.
                if !lost {
                    self.end(at, attempt, *code == 2001);
                    let call = self.attempts.get(attempt).map(|a| a.call.clone());
                    if let Some(call) = call.and_then(|c| self.calls.get_mut(&c)).filter(|_| *code != 2001) {
                        call.uncertain_since = None;
                    }
                }
            }
            RecordEvent::Release { attempt, .. } | RecordEvent::Abort { attempt, .. } => {
                self.end(at, attempt, true)
            }
            // A server that does not answer the watchdog still receives: its attempts end once it receives
            // the release.
            RecordEvent::Unresponsive { .. } | RecordEvent::Responsive { .. } => {}
            RecordEvent::Disconnected { server, front } => {
                for attempt in self.open.get(&(*server, *front)).cloned().unwrap_or_default() {
                    self.end(at, &attempt, true);
                }
            }
            RecordEvent::ServerExited { server } => {
                let fronts: Vec<_> = self.open.keys().filter(|key| key.0 == *server).copied().collect();
                for key in fronts {
                    for attempt in self.open.get(&key).cloned().unwrap_or_default() {
                        self.end(at, &attempt, true);
                    }
                }
            }
            RecordEvent::ReadinessReported { server, front, ready, by_list } => {
                let key = (*server, *front, *by_list);
                if *ready {
                    self.drains.remove(&key);
                } else {
                    self.drains.entry(key).or_insert(at);
                }
            }
            // A drain that a server announced itself ends with its process.
            RecordEvent::ServerStarted { server, .. } => {
                self.drains.retain(|key, _| key.0 != *server || key.2)
            }
            RecordEvent::ServerOverloaded { server } => {
                self.breach(4, at, format!("server {server} was pushed over while cold"));
            }
            RecordEvent::Stall { front, us } => self.stalls.push((*front, at, at + us)),
            RecordEvent::Held { client, held: true } => {
                self.held.insert(client.clone());
                // A call that was offered just before may not have reached the front yet.
                let calls = self.calls.iter_mut().filter(|(name, _)| name.split('|').next() == Some(client));
                let open = calls.filter(|(_, call)| call.answered.is_none() && at <= call.offered + SLACK);
                open.for_each(|(_, call)| call.held = true);
            }
            RecordEvent::Held { client, held: false } => drop(self.held.remove(client)),
            RecordEvent::Lossy { client } => drop(self.lossy.insert(client.clone())),
            RecordEvent::FrontKilled { front } => {
                self.outages.push((*front, at, u64::MAX));
                // The next process has not received what this one was notified of. A request that is
                // retransmitted to it is a new one, so the attempts are counted anew.
                self.drains.retain(|key, _| key.1 != *front);
                let calls = self.calls.values_mut().filter(|call| call.front == *front);
                calls.for_each(|call| call.attempts = 0);
            }
            RecordEvent::FrontStarted { front } => {
                let mut outages = self.outages.iter_mut().rev();
                let outage = outages.find(|outage| outage.0 == *front && outage.2 == u64::MAX);
                outage.into_iter().for_each(|outage| outage.2 = at);
            }
            // The time of sending counts: a path that holds back messages may deliver the set-up much later,
            // when the front has long abandoned it.
            RecordEvent::Sent { server, front, call: Some(call), attempt } => {
                if !self.attempts.contains_key(attempt) {
                    self.set_up(at, *server, *front, call, attempt);
                }
            }
            RecordEvent::Sent { call: None, attempt, .. } => self.end(at, attempt, true),
            RecordEvent::Retransmit { call, .. } => {
                if let Some(call) =
                    self.calls.get_mut(call).filter(|call| at + LAST_RETRANSMIT_MARGIN < call.deadline)
                {
                    call.disconnected = false;
                }
            }
            RecordEvent::RequestSent { .. } | RecordEvent::Datagram { .. } => self.losses.handle(at, event),
            RecordEvent::Dropped { .. }
            | RecordEvent::End
            | RecordEvent::Entered { .. }
            | RecordEvent::LinkUp { .. }
            | RecordEvent::LinkDown { .. }
            | RecordEvent::GossipSent { .. }
            | RecordEvent::Fault { .. } => {}
        }
    }

    fn answer(&mut self, at: u64, name: &str, code: u32) {
        let Some(call) = self.calls.get_mut(name) else {
            return self.breach(1, at, format!("an answer to {name}, which was never offered"));
        };
        let (previous, deadline, front, offered) = (call.code, call.deadline, call.front, call.offered);
        let held = call.held;
        let lossy = name.split('|').next().is_some_and(|client| self.lossy.contains(client));
        call.code.get_or_insert(code);
        call.answered.get_or_insert(at);
        match previous {
            Some(previous) if previous != code => {
                self.breach(1, at, format!("{name} was answered {previous} and then {code}"));
            }
            // Offered while its front was suspended: a retransmitted datagram does not show when the caller
            // first sent it. The call is still owed one answer.
            None if at > deadline + SLACK && self.is_stalled(front, offered) => {
                self.verdict.excuse(Excuse::Stalled, None);
            }
            None if at > deadline + SLACK && held => self.verdict.excuse(Excuse::Held, None),
            None if at > deadline + SLACK => {
                let late = format!("{name} was answered {} us after its caller gave up", at - deadline);
                let late_call = LateCall { name, offered, deadline };
                let observed = if lossy { self.losses.excuse(late_call) } else { Err(String::new()) };
                match (self.excuse(front, offered, deadline), observed) {
                    (Some(_), _) => {}
                    (None, Ok((reason, text))) => self.verdict.excuse(reason, Some(text)),
                    (None, Err(observed)) => {
                        self.breach(1, at, format!("{late} {observed}").trim_end().to_owned())
                    }
                }
            }
            _ => {}
        }
    }

    fn is_stalled(&self, front: u32, at: u64) -> bool {
        self.stalls.iter().any(|(f, from, to)| *f == front && (*from..=*to).contains(&at))
    }

    /// The excuse for a call if its front was suspended at this time, or was down at some time since the
    /// call's offer. A call that is offered after the front serves again is owed its answer like any other.
    fn excuse(&self, front: u32, offered: u64, at: u64) -> Option<Excuse> {
        let stalled =
            self.stalls.iter().any(|(f, from, to)| *f == front && (*from..=*to + 200_000).contains(&at));
        let overlaps = |(f, from, to): &(u32, u64, u64)| *f == front && at >= *from && offered <= *to;
        let killed = self.outages.iter().any(overlaps);
        stalled.then_some(Excuse::Stalled).or(killed.then_some(Excuse::Killed))
    }

    fn set_up(&mut self, at: u64, server: u16, front: u32, name: &str, attempt: &str) {
        let notified =
            [true, false].into_iter().filter_map(|by_list| self.drains.get(&(server, front, by_list)));
        if let Some(notified) = notified.min().copied() {
            let after = at.saturating_sub(notified);
            self.verdict.latest_after_drain = self.verdict.latest_after_drain.max(Some(after));
            if after > self.limits.grace {
                self.breach(
                    3,
                    at,
                    format!("{name} was set up at {server} {after} us after front {front} was told"),
                );
            }
        }
        let RuleLimits { retry_holdoff, max_attempts, .. } = self.limits;
        if let Some(open) = self.calls.get(name).and_then(|call| call.in_flight.clone()) {
            self.breach(2, at, format!("{name}: {attempt} is set up while {open} is out"));
        }
        let record = Attempt { call: name.to_owned(), server, front, open: true };
        self.attempts.insert(attempt.to_owned(), record);
        self.open.entry((server, front)).or_default().insert(attempt.to_owned());
        let Some(call) = self.calls.get_mut(name) else {
            return self.breach(1, at, format!("{attempt} is set up for {name}, which was never offered"));
        };
        call.attempts += 1;
        call.in_flight = Some(attempt.to_owned());
        // A call that was held back reaches its front together with its release, so the release forbids no
        // set-up.
        let abandoned = call.abandoned.filter(|_| !call.held);
        let (uncertain_since, ended, attempts) =
            (call.uncertain_since, call.answered.or(abandoned), call.attempts);
        if let Some(gap) = uncertain_since.map(|since| at.saturating_sub(since)) {
            let shortest = self.verdict.shortest_holdoff;
            self.verdict.shortest_holdoff = Some(shortest.map_or(gap, |shortest| shortest.min(gap)));
            if gap + SLACK < retry_holdoff {
                self.breach(5, at, format!("{name} is set up again {gap} us after its last attempt ended"));
            }
        }
        if ended.is_some_and(|ended| at > ended + SLACK) {
            self.breach(1, at, format!("{name} is set up after its answer"));
        }
        if attempts > max_attempts {
            self.breach(0, at, format!("{name} has {attempts} attempts"));
        }
    }

    /// Ends an attempt. `uncertain` means that its server may still hold the call.
    fn end(&mut self, at: u64, name: &str, uncertain: bool) {
        let Some(attempt) = self.attempts.get_mut(name).filter(|attempt| attempt.open) else { return };
        attempt.open = false;
        let place = (attempt.server, attempt.front);
        if let Some(open) = self.open.get_mut(&place) {
            open.remove(name);
        }
        let call = attempt.call.clone();
        if let Some(call) = self.calls.get_mut(&call).filter(|call| call.in_flight.as_deref() == Some(name)) {
            call.in_flight = None;
            if uncertain {
                call.uncertain_since = Some(at);
            }
        }
    }

    fn finish(&mut self, end: u64) {
        let calls = std::mem::take(&mut self.calls);
        for (name, call) in &calls {
            self.verdict.calls += 1;
            if call.code.is_some() {
                self.verdict.answered += 1;
                continue;
            }
            let ends = (call.deadline + SLACK > end).then_some(Excuse::RecordEnds);
            let transport = call.disconnected.then_some(Excuse::Parted).or(call.held.then_some(Excuse::Held));
            if let Some(reason) =
                transport.or(ends).or_else(|| self.excuse(call.front, call.offered, call.deadline))
            {
                self.verdict.excuse(reason, None);
                continue;
            }
            let lossy = name.split('|').next().is_some_and(|client| self.lossy.contains(client));
            let late_call = LateCall { name, offered: call.offered, deadline: call.deadline };
            let observed = if lossy { self.losses.excuse(late_call) } else { Err(String::new()) };
            match observed {
                Ok((reason, text)) => self.verdict.excuse(reason, Some(text)),
                Err(observed) => {
                    let left_early = call.abandoned.is_some_and(|abandoned| abandoned < call.deadline);
                    let how = if left_early { "after its caller left early" } else { "" };
                    let text =
                        format!("{name}, offered at {} us, has no answer {how} {observed}", call.offered);
                    self.breach(1, call.deadline, text.trim_end().to_owned());
                }
            }
        }
        self.verdict.breaches.sort_by_key(|breach| breach.at);
    }
}
