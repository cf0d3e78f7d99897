//! Requests of the other end, each executed at most once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use baydrift::interface::Micros;

use crate::{Counts, Do, Settings};

/// Where a request is.
#[derive(Debug)]
enum Stage {
    /// Being executed; pendings sent so far, and when the next is due.
    Executing { pendings: u32, next: Micros },
    /// Answered; the reply is kept for repeats until `until`. Where its acknowledgement was asked for, it is said
    /// again by itself at `next`, after `wait` and then after doubling times, up to `last`.
    Answered { reply: Arc<str>, until: Micros, next: Micros, wait: Micros, last: Micros },
    /// Answered, and the reply arrived: only the id is kept, so that a late copy of the request does nothing.
    Acknowledged { until: Micros },
}

#[derive(Debug)]
pub(crate) struct Receiver {
    settings: Settings,
    known: BTreeMap<u32, Stage>,
    /// What is due when: pendings and ends of LONG-TIMER.
    due: BTreeSet<(Micros, u32)>,
}

impl Receiver {
    pub(crate) fn new(settings: Settings) -> Self {
        Self { settings, known: BTreeMap::new(), due: BTreeSet::new() }
    }

    pub(crate) fn is_reliable(&self) -> bool {
        self.settings.reliable
    }

    pub(crate) fn request(&mut self, now: Micros, id: u32, counts: &mut Counts, out: &mut Vec<Do>) {
        self.expire(now);
        match self.known.get_mut(&id) {
            Some(Stage::Executing { pendings, next }) => {
                counts.repeats += 1;
                // A repeat is told at once, but no faster than it could have been repeated for good reason:
                // guards against a sender that doubles its datagrams.
                if !self.settings.reliable && *pendings < self.settings.pendings {
                    *pendings += 1;
                    counts.pendings += 1;
                    self.due.remove(&(*next, id));
                    *next = now.saturating_add(self.settings.execution);
                    self.due.insert((*next, id));
                    out.push(Do::Pending(id));
                }
            }
            Some(Stage::Answered { reply, .. }) => {
                counts.repeats += 1;
                counts.said_again += 1;
                out.push(Do::Send(reply.clone()));
            }
            Some(Stage::Acknowledged { .. }) => counts.repeats += 1,
            None => self.first(now, id, counts, out),
        }
    }

    fn first(&mut self, now: Micros, id: u32, counts: &mut Counts, out: &mut Vec<Do>) {
        if self.known.len() >= self.settings.known && !self.forget_one() {
            counts.refused += 1;
            return out.push(Do::Refuse(id));
        }
        let next = now.saturating_add(self.settings.execution);
        self.known.insert(id, Stage::Executing { pendings: 0, next });
        self.due.insert((next, id));
        counts.executed += 1;
        out.push(Do::Execute(id));
    }

    /// Makes room: of what is only remembered, the one that would be forgotten first goes. A request that is
    /// executed is never forgotten, and a reply that was not acknowledged only when it is over.
    fn forget_one(&mut self) -> bool {
        let gone =
            self.due.iter().find(|(_, id)| matches!(self.known.get(id), Some(Stage::Acknowledged { .. })));
        let Some(key) = gone.copied() else { return false };
        self.due.remove(&key);
        self.known.remove(&key.1);
        true
    }

    pub(crate) fn answer(
        &mut self,
        now: Micros,
        id: u32,
        reply: Arc<str>,
        again_for: Micros,
        out: &mut Vec<Do>,
    ) {
        let Some(stage) = self.known.get_mut(&id) else { return };
        let Stage::Executing { next, .. } = stage else { return };
        self.due.remove(&(*next, id));
        let until = now.saturating_add(self.settings.long_timer);
        let again_for = if self.settings.reliable { 0 } else { again_for };
        let last = now.saturating_add(again_for).min(until);
        let wait = self.settings.first_repeat.min(self.settings.longest_reply_repeat);
        let next = next_copy(now, wait, last, until);
        *stage = Stage::Answered { reply: reply.clone(), until, next, wait, last };
        self.due.insert((next, id));
        out.push(Do::Send(reply));
    }

    /// Replies arrived. Ranges may span billions of ids: only those that are known are looked at.
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
                    // LONG-TIMER runs on from the answer: copies of the request may still be under way.
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
                // Not over yet: the next tick's affair.
                _ => return,
            }
        }
    }

    pub(crate) fn due(&self) -> Option<Micros> {
        self.due.first().map(|(at, _)| *at)
    }

    pub(crate) fn tick(&mut self, now: Micros, counts: &mut Counts, out: &mut Vec<Do>) {
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, id));
            match self.known.get_mut(&id) {
                Some(Stage::Executing { pendings, next }) => {
                    if *pendings < self.settings.pendings {
                        *pendings += 1;
                        counts.pendings += 1;
                        *next = now.saturating_add(self.settings.execution);
                        self.due.insert((*next, id));
                        out.push(Do::Pending(id));
                    } else {
                        *next = Micros::MAX;
                    }
                }
                Some(Stage::Answered { reply, until, next, wait, last }) if *until > now => {
                    *wait = wait.saturating_mul(2).min(self.settings.longest_reply_repeat);
                    *next = next_copy(now, *wait, *last, *until);
                    self.due.insert((*next, id));
                    counts.said_again += 1;
                    out.push(Do::Send(reply.clone()));
                }
                Some(Stage::Answered { .. } | Stage::Acknowledged { .. }) => {
                    self.known.remove(&id);
                }
                None => {}
            }
        }
    }

    pub(crate) fn clear_but(&mut self, keep: u32) {
        self.known.retain(|id, _| *id == keep);
        self.due.retain(|(_, id)| *id == keep);
    }

    pub(crate) fn len(&self) -> usize {
        self.known.len()
    }
}

/// When a reply is said again by itself; at `until`, when it is forgotten, once `last` is over.
fn next_copy(now: Micros, wait: Micros, last: Micros, until: Micros) -> Micros {
    let next = now.saturating_add(wait);
    if next <= last {
        next
    } else {
        until
    }
}
