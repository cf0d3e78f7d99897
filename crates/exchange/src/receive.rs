//! Requests of the peer, each executed at most once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use baydrift::interface::Micros;

use crate::{Counts, ExchangeAction, Settings};

/// State of a request.
#[derive(Debug)]
enum Stage {
    /// Being executed; the number of pendings sent, and when the next is due.
    Executing { pendings: u32, next: Micros },
    /// Answered; the reply is kept for duplicates of the request until `until`. If its acknowledgement was
    /// requested, it is retransmitted at `next`; `interval` doubles each time, and no retransmission is later
    /// than `last`.
    Answered { reply: Arc<str>, until: Micros, next: Micros, interval: Micros, last: Micros },
    /// The reply was acknowledged; only the id is kept, so that a late duplicate of the request is ignored.
    Acknowledged { until: Micros },
}

#[derive(Debug)]
pub(crate) struct Receiver {
    settings: Settings,
    known: BTreeMap<u32, Stage>,
    /// Timers of all known requests: pendings, retransmissions of replies, and the end of LONG-TIMER.
    due: BTreeSet<(Micros, u32)>,
}

impl Receiver {
    pub(crate) fn new(settings: Settings) -> Self {
        Self { settings, known: BTreeMap::new(), due: BTreeSet::new() }
    }

    pub(crate) fn is_reliable(&self) -> bool {
        self.settings.reliable
    }

    pub(crate) fn request(
        &mut self,
        now: Micros,
        id: u32,
        counts: &mut Counts,
        out: &mut Vec<ExchangeAction>,
    ) {
        self.expire(now);
        match self.known.get_mut(&id) {
            Some(Stage::Executing { pendings, next }) => {
                counts.duplicates += 1;
                // A duplicate is answered with a pending at once, and the limit on pendings also guards
                // against a peer that duplicates its datagrams.
                if !self.settings.reliable && *pendings < self.settings.max_pendings {
                    *pendings += 1;
                    counts.pendings += 1;
                    self.due.remove(&(*next, id));
                    *next = now.saturating_add(self.settings.execution_time);
                    self.due.insert((*next, id));
                    out.push(ExchangeAction::Pending(id));
                }
            }
            Some(Stage::Answered { reply, .. }) => {
                counts.duplicates += 1;
                counts.replies_resent += 1;
                out.push(ExchangeAction::Send(reply.clone()));
            }
            Some(Stage::Acknowledged { .. }) => counts.duplicates += 1,
            None => self.new_request(now, id, counts, out),
        }
    }

    fn new_request(&mut self, now: Micros, id: u32, counts: &mut Counts, out: &mut Vec<ExchangeAction>) {
        if self.known.len() >= self.settings.max_known_requests && !self.evict_one() {
            counts.refused += 1;
            return out.push(ExchangeAction::Refuse(id));
        }
        let next = now.saturating_add(self.settings.execution_time);
        self.known.insert(id, Stage::Executing { pendings: 0, next });
        self.due.insert((next, id));
        counts.executed += 1;
        out.push(ExchangeAction::Execute(id));
    }

    /// Evicts the acknowledged request that would expire first. A request being executed is never evicted,
    /// and an unacknowledged reply only goes when it expires.
    fn evict_one(&mut self) -> bool {
        let evicted =
            self.due.iter().find(|(_, id)| matches!(self.known.get(id), Some(Stage::Acknowledged { .. })));
        let Some(key) = evicted.copied() else { return false };
        self.due.remove(&key);
        self.known.remove(&key.1);
        true
    }

    pub(crate) fn reply(
        &mut self,
        now: Micros,
        id: u32,
        reply: Arc<str>,
        retransmit_for: Micros,
        out: &mut Vec<ExchangeAction>,
    ) {
        let Some(stage) = self.known.get_mut(&id) else { return };
        let Stage::Executing { next, .. } = stage else { return };
        self.due.remove(&(*next, id));
        let until = now.saturating_add(self.settings.long_timer);
        let retransmit_for = if self.settings.reliable { 0 } else { retransmit_for };
        let last = now.saturating_add(retransmit_for).min(until);
        let interval =
            self.settings.initial_retransmit_interval.min(self.settings.max_reply_retransmit_interval);
        let next = next_retransmission(now, interval, last, until);
        *stage = Stage::Answered { reply: reply.clone(), until, next, interval, last };
        self.due.insert((next, id));
        out.push(ExchangeAction::Send(reply));
    }

    /// Handles acknowledged replies. A range may span billions of ids, so only known requests are visited.
    pub(crate) fn acknowledged(&mut self, ranges: &[(u32, u32)], counts: &mut Counts) {
        for (from, to) in ranges {
            if from > to {
                counts.stray += 1;
                continue;
            }
            let mut any = false;
            for (id, stage) in self.known.range_mut(from..=to) {
                if let Stage::Answered { until, next, .. } = stage {
                    any = true;
                    // LONG-TIMER still counts from the reply: duplicates of the request may be in transit.
                    self.due.remove(&(*next, *id));
                    self.due.insert((*until, *id));
                    *stage = Stage::Acknowledged { until: *until };
                }
            }
            counts.stray += u64::from(!any);
        }
    }

    fn expire(&mut self, now: Micros) {
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            match self.known.get(&id) {
                Some(Stage::Answered { until, .. } | Stage::Acknowledged { until }) if *until <= now => {
                    self.known.remove(&id);
                    self.due.remove(&(at, id));
                }
                // Another timer is due, which the next tick handles.
                _ => return,
            }
        }
    }

    pub(crate) fn next_wake(&self) -> Option<Micros> {
        self.due.first().map(|(at, _)| *at)
    }

    pub(crate) fn tick(&mut self, now: Micros, counts: &mut Counts, out: &mut Vec<ExchangeAction>) {
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, id));
            match self.known.get_mut(&id) {
                Some(Stage::Executing { pendings, next }) => {
                    if *pendings < self.settings.max_pendings {
                        *pendings += 1;
                        counts.pendings += 1;
                        *next = now.saturating_add(self.settings.execution_time);
                        self.due.insert((*next, id));
                        out.push(ExchangeAction::Pending(id));
                    } else {
                        *next = Micros::MAX;
                    }
                }
                Some(Stage::Answered { reply, until, next, interval, last }) if *until > now => {
                    *interval = interval.saturating_mul(2).min(self.settings.max_reply_retransmit_interval);
                    *next = next_retransmission(now, *interval, *last, *until);
                    self.due.insert((*next, id));
                    counts.replies_resent += 1;
                    out.push(ExchangeAction::Send(reply.clone()));
                }
                Some(Stage::Answered { .. } | Stage::Acknowledged { .. }) => {
                    self.known.remove(&id);
                }
                None => {}
            }
        }
    }

    pub(crate) fn clear_except(&mut self, keep: u32) {
        self.known.retain(|id, _| *id == keep);
        self.due.retain(|(_, id)| *id == keep);
    }

    pub(crate) fn len(&self) -> usize {
        self.known.len()
    }
}

/// When a reply is due for retransmission, or `until`, when it expires, if that would be later than `last`.
fn next_retransmission(now: Micros, interval: Micros, last: Micros, until: Micros) -> Micros {
    let next = now.saturating_add(interval);
    if next <= last {
        next
    } else {
        until
    }
}
