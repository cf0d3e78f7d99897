//! The result of the rule checks.

use std::collections::BTreeMap;

/// One breach of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// The number of the rule, 1 to 5; 0 for the limit on attempts.
    pub rule: u8,
    /// Time since the record began, in microseconds.
    pub at: u64,
    /// What was observed, for a reader.
    pub text: String,
}

/// Why a call that was not answered in time is not a breach of rule 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Excuse {
    /// The front was suspended when the caller's time-out passed, or when the call was offered.
    Stalled,
    /// The front was killed.
    Killed,
    /// The client's connection ended, and the request was not retransmitted.
    Parted,
    /// The record ends before the caller's time-out.
    RecordEnds,
    /// The path to the front held back messages when the call was offered: the front received it later, and
    /// cannot know when its caller began to wait.
    Held,
    /// Every copy of the request was lost in transit.
    RequestsLost,
    /// Copies of the request were lost, and the next one arrived so late that the answer was late too.
    LateArrival,
    /// Every copy of the reply was lost in transit, and it was retransmitted as often as required.
    RepliesLost,
}

impl Excuse {
    /// A short description for the verdict's table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Stalled => "front stood still",
            Self::Killed => "front killed",
            Self::Parted => "connection ended",
            Self::RecordEnds => "record ends",
            Self::Held => "request held on its way",
            Self::RequestsLost => "all requests lost",
            Self::LateArrival => "request arrived late",
            Self::RepliesLost => "all replies lost",
        }
    }
}

/// The result of checking a record against the rules.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Verdict {
    /// Breaches, in order of time; at most 100 of each rule.
    pub breaches: Vec<Breach>,
    /// Calls offered.
    pub calls: usize,
    /// Calls that received a final answer.
    pub answered: usize,
    /// Number of calls excused from rule 1, by reason.
    pub excused: BTreeMap<Excuse, usize>,
    /// Descriptions of calls that were excused as datagrams were lost; at most 100.
    pub lost: Vec<String>,
    /// Set-ups received by servers.
    pub set_ups: usize,
    /// Longest time from a front's notification of a drain to a set-up at that server, in microseconds;
    /// `None` without such a set-up.
    pub latest_after_drain: Option<u64>,
    /// Shortest time from an attempt's end by time-out, reset or cancel to the call's next set-up, in
    /// microseconds.
    pub shortest_holdoff: Option<u64>,
}

/// Maximum number of breaches of one rule, and of excused calls, that are listed individually.
const MAX_LISTED: usize = 100;

impl Verdict {
    /// Whether no breach was found.
    pub fn passed(&self) -> bool {
        self.breaches.is_empty()
    }

    /// Number of listed breaches of one rule.
    pub fn breaches_of(&self, rule: u8) -> usize {
        self.breaches.iter().filter(|breach| breach.rule == rule).count()
    }

    /// Number of calls excused from rule 1.
    pub fn excused(&self) -> usize {
        self.excused.values().sum()
    }

    pub(crate) fn breach(&mut self, rule: u8, at: u64, text: String) {
        if self.breaches_of(rule) < MAX_LISTED {
            self.breaches.push(Breach { rule, at, text });
        }
    }

    pub(crate) fn excuse(&mut self, reason: Excuse, text: Option<String>) {
        *self.excused.entry(reason).or_default() += 1;
        if self.lost.len() < MAX_LISTED {
            self.lost.extend(text);
        }
    }
}
