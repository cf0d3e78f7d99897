//! What the rules' reader comes to.

use std::collections::BTreeMap;

/// One breach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// Which rule, 1 to 5; 0 for the bound on attempts.
    pub rule: u8,
    /// When, microseconds.
    pub at: u64,
    /// What was seen.
    pub text: String,
}

/// Why a call without its answer in time is no breach of rule 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Excuse {
    /// Its front stood still when its caller gave up, or when it was offered.
    Stalled,
    /// Its front was killed.
    Killed,
    /// Its connection ended, and it was not asked for again.
    Parted,
    /// The record ends before its caller gave up.
    RecordEnds,
    /// It was offered while its way to the front held what it carried: the front read it later, and cannot know when
    /// its caller began to wait.
    Held,
    /// Every copy of its request was lost on the way.
    RequestsLost,
    /// Copies of its request were lost, and the next came so late that its answer did.
    LateArrival,
    /// Every copy of its reply was lost on the way, and it was said as often as is owed.
    RepliesLost,
}

impl Excuse {
    /// In a few words.
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

/// What the record shows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Verdict {
    /// Breaches, in order of time; at most some hundred of each rule.
    pub breaches: Vec<Breach>,
    /// Calls offered.
    pub calls: usize,
    /// Calls with their one final answer.
    pub answered: usize,
    /// Calls excused from rule 1, by why.
    pub excused: BTreeMap<Excuse, usize>,
    /// Calls excused since datagrams were lost, by name and in words; at most some hundred.
    pub lost: Vec<String>,
    /// Set-ups read by servers.
    pub set_ups: usize,
    /// Latest set-up after a front was told of a drain, microseconds; `None` without any.
    pub latest_after_drain: Option<u64>,
    /// Shortest time from an attempt's end by time-out, reset or cancel to the call's next set-up.
    pub shortest_holdoff: Option<u64>,
}

/// Breaches of one rule, and excused calls, that are told one by one.
const TOLD: usize = 100;

impl Verdict {
    /// Whether no rule was broken.
    pub fn passed(&self) -> bool {
        self.breaches.is_empty()
    }

    /// Breaches of one rule.
    pub fn breaches_of(&self, rule: u8) -> usize {
        self.breaches.iter().filter(|breach| breach.rule == rule).count()
    }

    /// Calls excused from rule 1.
    pub fn excused(&self) -> usize {
        self.excused.values().sum()
    }

    pub(crate) fn breach(&mut self, rule: u8, at: u64, text: String) {
        if self.breaches_of(rule) < TOLD {
            self.breaches.push(Breach { rule, at, text });
        }
    }

    pub(crate) fn excuse(&mut self, why: Excuse, text: Option<String>) {
        *self.excused.entry(why).or_default() += 1;
        if self.lost.len() < TOLD {
            self.lost.extend(text);
        }
    }
}
