//! The five rules.

use std::collections::{BTreeMap, BTreeSet};

use crate::loss::{Losses, Wanted};
use crate::record::{RecordEntry, RecordEvent};
use crate::verdict::{Excuse, Verdict};

/// Microseconds by which two moments at two sockets may be seen nearer or farther than they were.
pub const SLACK: u64 = 25_000;

/// Who asks again by another connection less than this before giving up cannot count on an answer.
const LAST_ASKED: u64 = 200_000;

/// The rules' figures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RuleLimits {
    /// Rule 3, microseconds.
    pub grace: u64,
    /// Rule 5, microseconds.
    pub retry_holdoff: u64,
    /// Attempts that a call may have.
    pub max_attempts: usize,
}

impl Default for RuleLimits {
    fn default() -> Self {
        Self { grace: 1_000_000, retry_holdoff: 300_000, max_attempts: 5 }
    }
}

#[derive(Default)]
struct Call {
    front: u32,
    offered: u64,
    gives_up: u64,
    code: Option<u32>,
    answered: Option<u64>,
    /// Its caller released it or gave up.
    left: Option<u64>,
    out: Option<String>,
    /// When the last attempt ended that may still hold something.
    unsure: Option<u64>,
    attempts: usize,
    parted: bool,
    /// Offered while its client's way held what it carried.
    held: bool,
}

struct Attempt {
    call: String,
    server: u16,
    front: u32,
    open: bool,
}

struct Reader {
    terms: RuleLimits,
    calls: BTreeMap<String, Call>,
    attempts: BTreeMap<String, Attempt>,
    /// Open attempts by server and front.
    at: BTreeMap<(u16, u32), BTreeSet<String>>,
    /// By server, front, and whether the list told.
    told: BTreeMap<(u16, u32, bool), u64>,
    stalls: Vec<(u32, u64, u64)>,
    /// When fronts were killed, and when they served again.
    downs: Vec<(u32, u64, u64)>,
    lossy: BTreeSet<String>,
    /// Clients whose way holds what it carries.
    held: BTreeSet<String>,
    losses: Losses,
    verdict: Verdict,
}

/// Checks a whole record.
pub fn rules(lines: &[RecordEntry], terms: RuleLimits) -> Verdict {
    let mut reader = Reader {
        terms,
        calls: BTreeMap::new(),
        attempts: BTreeMap::new(),
        at: BTreeMap::new(),
        told: BTreeMap::new(),
        stalls: Vec::new(),
        downs: Vec::new(),
        lossy: BTreeSet::new(),
        held: BTreeSet::new(),
        losses: Losses::default(),
        verdict: Verdict::default(),
    };
    for line in lines {
        reader.take(line.at, &line.event);
    }
    let end = lines.last().map_or(0, |line| line.at);
    reader.finish(end);
    reader.verdict
}

impl Reader {
    fn breach(&mut self, rule: u8, at: u64, text: String) {
        self.verdict.breach(rule, at, text);
    }

    fn take(&mut self, at: u64, moment: &RecordEvent) {
        match moment {
            RecordEvent::Offer { front, call, caller_timeout_us, .. } => {
                let held = call.split('|').next().is_some_and(|client| self.held.contains(client));
                let offered = Call {
                    front: *front,
                    offered: at,
                    gives_up: at + caller_timeout_us,
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
                    call.left.get_or_insert(at);
                }
            }
            RecordEvent::ClientDisconnected { client, .. } => {
                let theirs = self.calls.iter_mut().filter(|(name, _)| name.split('|').next() == Some(client));
                theirs.for_each(|(_, call)| call.parted |= call.answered.is_none());
            }
            RecordEvent::SetUp { server, front, call, attempt, redirected: _ } => {
                self.verdict.set_ups += 1;
                // Where the way there was watched, it counted when it was sent.
                if !self.attempts.contains_key(attempt) {
                    self.set_up(at, *server, *front, call, attempt);
                }
            }
            RecordEvent::Reply { attempt, code, lost, .. } => {
                // A lost answer ends nothing: its front does not see it. One that stands leaves nothing to repeat.
                if !lost {
                    self.end(at, attempt, *code == 2001);
                    let call = self.attempts.get(attempt).map(|a| a.call.clone());
                    if let Some(call) = call.and_then(|c| self.calls.get_mut(&c)).filter(|_| *code != 2001) {
                        call.unsure = None;
                    }
                }
            }
            RecordEvent::Release { attempt, .. } | RecordEvent::Abort { attempt, .. } => {
                self.end(at, attempt, true)
            }
            // A server that answers no watchdog still reads: what it had is over once it reads the release.
            RecordEvent::Unresponsive { .. } | RecordEvent::Responsive { .. } => {}
            RecordEvent::Disconnected { server, front } => {
                for attempt in self.at.get(&(*server, *front)).cloned().unwrap_or_default() {
                    self.end(at, &attempt, true);
                }
            }
            RecordEvent::ServerExited { server } => {
                let fronts: Vec<_> = self.at.keys().filter(|key| key.0 == *server).copied().collect();
                for key in fronts {
                    for attempt in self.at.get(&key).cloned().unwrap_or_default() {
                        self.end(at, &attempt, true);
                    }
                }
            }
            RecordEvent::ReadinessReported { server, front, ready, by_list } => {
                let key = (*server, *front, *by_list);
                if *ready {
                    self.told.remove(&key);
                } else {
                    self.told.entry(key).or_insert(at);
                }
            }
            // What a server said of itself ended with its process.
            RecordEvent::ServerStarted { server, .. } => self.told.retain(|key, _| key.0 != *server || key.2),
            RecordEvent::ServerOverloaded { server } => {
                self.breach(4, at, format!("server {server} was pushed over while cold"));
            }
            RecordEvent::Stall { front, us } => self.stalls.push((*front, at, at + us)),
            RecordEvent::Held { client, held: true } => {
                self.held.insert(client.clone());
                // What was offered just before may not have passed yet.
                let theirs = self.calls.iter_mut().filter(|(name, _)| name.split('|').next() == Some(client));
                let open = theirs.filter(|(_, call)| call.answered.is_none() && at <= call.offered + SLACK);
                open.for_each(|(_, call)| call.held = true);
            }
            RecordEvent::Held { client, held: false } => drop(self.held.remove(client)),
            RecordEvent::Lossy { client } => drop(self.lossy.insert(client.clone())),
            RecordEvent::FrontKilled { front } => {
                self.downs.push((*front, at, u64::MAX));
                // What was told to that process is nothing that the next one was told, nor are its attempts the next
                // one's: a call that its caller says again is a new request there.
                self.told.retain(|key, _| key.1 != *front);
                let theirs = self.calls.values_mut().filter(|call| call.front == *front);
                theirs.for_each(|call| call.attempts = 0);
            }
            RecordEvent::FrontStarted { front } => {
                let down = self.downs.iter_mut().rev().find(|down| down.0 == *front && down.2 == u64::MAX);
                down.into_iter().for_each(|down| down.2 = at);
            }
            // What counts is when a front sent: a way that holds what it carries may give it on much later, when it
            // was given up long before.
            RecordEvent::Sent { server, front, call: Some(call), attempt } => {
                if !self.attempts.contains_key(attempt) {
                    self.set_up(at, *server, *front, call, attempt);
                }
            }
            RecordEvent::Sent { call: None, attempt, .. } => self.end(at, attempt, true),
            RecordEvent::Retransmit { call, .. } => {
                if let Some(call) = self.calls.get_mut(call).filter(|call| at + LAST_ASKED < call.gives_up) {
                    call.parted = false;
                }
            }
            RecordEvent::RequestSent { .. } | RecordEvent::Datagram { .. } => self.losses.take(at, moment),
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
        let (before, due, front, offered) = (call.code, call.gives_up, call.front, call.offered);
        let held = call.held;
        let lossy = name.split('|').next().is_some_and(|client| self.lossy.contains(client));
        call.code.get_or_insert(code);
        call.answered.get_or_insert(at);
        match before {
            Some(before) if before != code => {
                self.breach(1, at, format!("{name} was answered {before} and then {code}"));
            }
            // Offered while its front stood still: not taken by a running front, and when it was sent shows
            // nowhere in a datagram that came again later. One answer is owed all the same.
            None if at > due + SLACK && self.stood_still(front, offered) => {
                self.verdict.excuse(Excuse::Stalled, None);
            }
            None if at > due + SLACK && held => self.verdict.excuse(Excuse::Held, None),
            None if at > due + SLACK => {
                let late = format!("{name} was answered {} us after its caller gave up", at - due);
                let wanted = Wanted { name, offered, gives_up: due };
                let seen = if lossy { self.losses.judge(wanted) } else { Err(String::new()) };
                match (self.excuse(front, offered, due), seen) {
                    (Some(_), _) => {}
                    (None, Ok((why, text))) => self.verdict.excuse(why, Some(text)),
                    (None, Err(seen)) => self.breach(1, at, format!("{late} {seen}").trim_end().to_owned()),
                }
            }
            _ => {}
        }
    }

    fn stood_still(&self, front: u32, at: u64) -> bool {
        self.stalls.iter().any(|(f, from, to)| *f == front && (*from..=*to).contains(&at))
    }

    /// A front that stood still at the time, or was killed between a call's offer and then: one offered after it
    /// served again is owed its answer as any other.
    fn excuse(&self, front: u32, offered: u64, at: u64) -> Option<Excuse> {
        let still =
            self.stalls.iter().any(|(f, from, to)| *f == front && (*from..=*to + 200_000).contains(&at));
        let down = |(f, from, to): &(u32, u64, u64)| *f == front && at >= *from && offered <= *to;
        let killed = self.downs.iter().any(down);
        still.then_some(Excuse::Stalled).or(killed.then_some(Excuse::Killed))
    }

    fn set_up(&mut self, at: u64, server: u16, front: u32, name: &str, attempt: &str) {
        let told = [true, false].into_iter().filter_map(|by_list| self.told.get(&(server, front, by_list)));
        if let Some(told) = told.min().copied() {
            let after = at.saturating_sub(told);
            self.verdict.latest_after_drain = self.verdict.latest_after_drain.max(Some(after));
            if after > self.terms.grace {
                self.breach(
                    3,
                    at,
                    format!("{name} was set up at {server} {after} us after front {front} was told"),
                );
            }
        }
        let RuleLimits { retry_holdoff, max_attempts, .. } = self.terms;
        if let Some(open) = self.calls.get(name).and_then(|call| call.out.clone()) {
            self.breach(2, at, format!("{name}: {attempt} is set up while {open} is out"));
        }
        let record = Attempt { call: name.to_owned(), server, front, open: true };
        self.attempts.insert(attempt.to_owned(), record);
        self.at.entry((server, front)).or_default().insert(attempt.to_owned());
        let Some(call) = self.calls.get_mut(name) else {
            return self.breach(1, at, format!("{attempt} is set up for {name}, which was never offered"));
        };
        call.attempts += 1;
        call.out = Some(attempt.to_owned());
        // A front hears that the caller left after it hears of the call: one that was held comes with its end.
        let left = call.left.filter(|_| !call.held);
        let (unsure, answered, attempts) = (call.unsure, call.answered.or(left), call.attempts);
        if let Some(gap) = unsure.map(|unsure| at.saturating_sub(unsure)) {
            let shortest = self.verdict.shortest_holdoff;
            self.verdict.shortest_holdoff = Some(shortest.map_or(gap, |shortest| shortest.min(gap)));
            if gap + SLACK < retry_holdoff {
                self.breach(5, at, format!("{name} is set up again {gap} us after its last attempt ended"));
            }
        }
        if answered.is_some_and(|answered| at > answered + SLACK) {
            self.breach(1, at, format!("{name} is set up after its answer"));
        }
        if attempts > max_attempts {
            self.breach(0, at, format!("{name} has {attempts} attempts"));
        }
    }

    /// An attempt is out no more. `unsure`: its server may hold it still.
    fn end(&mut self, at: u64, name: &str, unsure: bool) {
        let Some(attempt) = self.attempts.get_mut(name).filter(|attempt| attempt.open) else { return };
        attempt.open = false;
        let place = (attempt.server, attempt.front);
        if let Some(open) = self.at.get_mut(&place) {
            open.remove(name);
        }
        let call = attempt.call.clone();
        if let Some(call) = self.calls.get_mut(&call).filter(|call| call.out.as_deref() == Some(name)) {
            call.out = None;
            if unsure {
                call.unsure = Some(at);
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
            let ends = (call.gives_up + SLACK > end).then_some(Excuse::RecordEnds);
            let parted = call.parted.then_some(Excuse::Parted).or(call.held.then_some(Excuse::Held));
            if let Some(why) =
                parted.or(ends).or_else(|| self.excuse(call.front, call.offered, call.gives_up))
            {
                self.verdict.excuse(why, None);
                continue;
            }
            let lossy = name.split('|').next().is_some_and(|client| self.lossy.contains(client));
            let wanted = Wanted { name, offered: call.offered, gives_up: call.gives_up };
            let seen = if lossy { self.losses.judge(wanted) } else { Err(String::new()) };
            match seen {
                Ok((why, text)) => self.verdict.excuse(why, Some(text)),
                Err(seen) => {
                    let gave_up = call.left.is_some_and(|left| left < call.gives_up);
                    let how = if gave_up { "after its caller left early" } else { "" };
                    let text = format!("{name}, offered at {} us, has no answer {how} {seen}", call.offered);
                    self.breach(1, call.gives_up, text.trim_end().to_owned());
                }
            }
        }
        self.verdict.breaches.sort_by_key(|breach| breach.at);
    }
}
