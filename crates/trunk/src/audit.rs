//! Circuit audits: paced circuit group queries (CQM), and detection of stuck circuits from their answers.

use std::collections::{BTreeMap, VecDeque};

use baydrift::interface::Micros;

use crate::rules::is_stuck;
use crate::types::Cic;

/// Maximum number of circuits in one query (Q.763, 3.43: the range field of a CQM is 0 to 31).
pub(crate) const QUERY_MAX: u16 = 32;

/// Pacing of audits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AuditSettings {
    /// Minimum interval between queries of a group, in microseconds; 0 disables audits.
    pub query_interval: Micros,
    /// Minimum delay before a mismatch is confirmed by a second query, in microseconds: longer than any
    /// message is in transit.
    pub recheck_after: Micros,
}

impl Default for AuditSettings {
    fn default() -> Self {
        Self { query_interval: 1_000_000, recheck_after: 4_000_000 }
    }
}

/// An outstanding query.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Query {
    pub(crate) first: Cic,
    pub(crate) sent_at: Micros,
    /// Change counter of each circuit when the query was sent.
    pub(crate) changes: Vec<u32>,
}

/// A circuit whose first query showed a mismatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Suspect {
    first_seen: Micros,
    /// Change counter of the circuit at that query.
    changes: u32,
}

/// Audit state of one group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Audit {
    /// First circuit of the next regular query.
    next: Cic,
    /// Earliest time of the next query; `MAX` where audits are disabled.
    pub(crate) due: Micros,
    pub(crate) query: Option<Query>,
    /// Time of the last answered query.
    pub(crate) answered_at: Option<Micros>,
    suspects: BTreeMap<Cic, Suspect>,
    /// Circuits to query individually before the regular order, with the earliest time for each.
    out_of_turn: VecDeque<(Micros, Cic)>,
}

/// Maximum number of queued individual queries; further circuits wait for their regular query.
const OUT_OF_TURN_MAX: usize = 256;

impl Audit {
    pub(crate) fn new(first: Cic, due: Micros) -> Self {
        Self { next: first, due, ..Self::default() }
    }

    /// First circuit and number of circuits of the next query: a queued individual circuit, or the next
    /// regular range.
    pub(crate) fn next_range(&mut self, now: Micros, cics: std::ops::Range<Cic>) -> (Cic, u16) {
        if let Some((_, cic)) = self.out_of_turn.front().copied().filter(|(at, _)| *at <= now) {
            self.out_of_turn.pop_front();
            return (cic, 1);
        }
        if !cics.contains(&self.next) {
            self.next = cics.start;
        }
        let (first, count) = (self.next, QUERY_MAX.min(cics.end - self.next));
        self.next += count;
        (first, count)
    }

    /// Queues an individual query of a circuit.
    pub(crate) fn request_check(&mut self, at: Micros, cic: Cic) {
        if self.out_of_turn.len() < OUT_OF_TURN_MAX && self.out_of_turn.iter().all(|(_, other)| *other != cic)
        {
            self.out_of_turn.push_back((at, cic));
        }
    }

    /// Drops a suspicion: both ends agree, or the circuit's state is changing.
    pub(crate) fn clear(&mut self, cic: Cic) {
        self.suspects.remove(&cic);
    }

    /// Records a mismatch between both ends and returns whether the circuit is stuck.
    pub(crate) fn confirms_stuck(
        &mut self,
        now: Micros,
        cic: Cic,
        changes: u32,
        settings: AuditSettings,
    ) -> bool {
        match self.suspects.get(&cic) {
            Some(first)
                if is_stuck(first.first_seen, first.changes, now, changes, settings.recheck_after) =>
            {
                self.suspects.remove(&cic);
                true
            }
            Some(first) if first.changes == changes => false,
            _ => {
                self.suspects.insert(cic, Suspect { first_seen: now, changes });
                self.request_check(now + settings.recheck_after, cic);
                false
            }
        }
    }
}
