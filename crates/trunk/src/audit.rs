//! Looking for circuits that are stuck: queries by ranges, paced, and what the answers add up to.

use std::collections::{BTreeMap, VecDeque};

use baydrift::interface::Micros;

use crate::rules::is_stuck;
use crate::types::Cic;

/// Circuits of one query at most (Q.763, 3.43: a CQM's range is 0 to 31).
pub(crate) const QUERY_MAX: u16 = 32;

/// How much auditing there is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AuditSettings {
    /// A query of a group is sent no sooner than this after the one before; 0 for no audits.
    pub query_interval: Micros,
    /// A second look is no sooner than this after the first: longer than any message stays under way.
    pub recheck_after: Micros,
}

impl Default for AuditSettings {
    fn default() -> Self {
        Self { query_interval: 1_000_000, recheck_after: 4_000_000 }
    }
}

/// A query that is out.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Query {
    pub(crate) first: Cic,
    pub(crate) sent_at: Micros,
    /// The changes of each circuit when it was sent.
    pub(crate) changes: Vec<u32>,
}

/// A first look that found a difference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Suspect {
    seen_at: Micros,
    changes: u32,
}

/// One group's audit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Audit {
    /// The next circuit of the round.
    next: Cic,
    pub(crate) due: Micros,
    pub(crate) query: Option<Query>,
    /// When a query was last answered.
    pub(crate) answered_at: Option<Micros>,
    suspects: BTreeMap<Cic, Suspect>,
    /// Circuits that want a look of their own, out of turn.
    wanted: VecDeque<(Micros, Cic)>,
}

/// Circuits that want a look out of turn at once; beyond it they wait for the round.
const WANTED_MAX: usize = 256;

impl Audit {
    pub(crate) fn new(first: Cic, due: Micros) -> Self {
        Self { next: first, due, ..Self::default() }
    }

    /// The range to ask for now: one that wants a look, or the next of the round.
    pub(crate) fn range(&mut self, now: Micros, cics: std::ops::Range<Cic>) -> (Cic, u16) {
        if let Some((_, cic)) = self.wanted.front().copied().filter(|(at, _)| *at <= now) {
            self.wanted.pop_front();
            return (cic, 1);
        }
        if !cics.contains(&self.next) {
            self.next = cics.start;
        }
        let (first, count) = (self.next, QUERY_MAX.min(cics.end - self.next));
        self.next += count;
        (first, count)
    }

    /// Something odd was seen on a circuit: it wants a look.
    pub(crate) fn want(&mut self, at: Micros, cic: Cic) {
        if self.wanted.len() < WANTED_MAX && self.wanted.iter().all(|(_, other)| *other != cic) {
            self.wanted.push_back((at, cic));
        }
    }

    /// Both ends say the same of a circuit, or it changes.
    pub(crate) fn clear(&mut self, cic: Cic) {
        self.suspects.remove(&cic);
    }

    /// Both ends differ; whether that makes it stuck.
    pub(crate) fn differs(&mut self, now: Micros, cic: Cic, changes: u32, settings: AuditSettings) -> bool {
        match self.suspects.get(&cic) {
            Some(first) if is_stuck(first.seen_at, first.changes, now, changes, settings.recheck_after) => {
                self.suspects.remove(&cic);
                true
            }
            Some(first) if first.changes == changes => false,
            _ => {
                self.suspects.insert(cic, Suspect { seen_at: now, changes });
                self.want(now + settings.recheck_after, cic);
                false
            }
        }
    }
}
