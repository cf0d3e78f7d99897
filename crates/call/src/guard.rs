//! The five rules as a last line: an action of the module that would break one is not carried out.
//!
//! The module keeps the rules by its own design, and a run with a count here above nought has a bug in it.
//! What was held back is told to the module as not sent (`Moot`), so the call still gets its answer.

use std::collections::BTreeMap;

use baydrift::interface::{Micros, ServerId, Settings};

/// What an action would have broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Breach {
    /// Rule 1: a set-up or a second answer for a call that is answered or unknown.
    Answered,
    /// Rule 1: no answer when the caller's time was up.
    Unanswered,
    /// Rule 2: a set-up while another is out.
    SecondAttempt,
    /// Rule 3: a set-up to a server that drains or is gone, after the grace.
    Drained,
    /// Rule 4: more set-ups to a cold server than this front's part.
    Cold,
    /// Rule 5: a set-up within the release guard.
    TooSoon,
    /// More attempts than a call may have.
    TooMany,
}

impl Breach {
    /// All kinds, in the order of the rules.
    pub const ALL: [Self; 7] = [
        Self::Answered,
        Self::Unanswered,
        Self::SecondAttempt,
        Self::Drained,
        Self::Cold,
        Self::TooSoon,
        Self::TooMany,
    ];

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Unanswered => "unanswered",
            Self::SecondAttempt => "second-attempt",
            Self::Drained => "drained",
            Self::Cold => "cold",
            Self::TooSoon => "too-soon",
            Self::TooMany => "too-many",
        }
    }
}

/// The state of a call that a set-up is checked against.
#[derive(Debug, Clone, Copy, Default)]
pub struct Before {
    /// Another attempt is out.
    pub out: bool,
    /// Set-ups carried out so far.
    pub sent: u32,
    /// When the last one ended that may still hold something.
    pub unsure_at: Option<Micros>,
}

/// Checks set-ups; remembers what cold servers were sent.
#[derive(Debug)]
pub struct Guard {
    retry_holdoff: Micros,
    max_attempts: u32,
    grace: Micros,
    /// Set-ups a second that this front may send a cold server, where a figure is configured.
    cold_rate: Option<f64>,
    buckets: BTreeMap<ServerId, (Micros, f64)>,
    counts: BTreeMap<Breach, u64>,
}

/// s. A cold server's bucket holds what its rate gives in this time, and one more.
const COLD_BURST_S: f64 = 1.0;

impl Guard {
    /// A guard by the module's own settings; `grace` is rule 3's, `cold_rate` rule 4's over all fronts.
    pub fn new(settings: &Settings, grace: Micros, cold_rate: Option<f64>) -> Self {
        Self {
            retry_holdoff: settings.retry_holdoff,
            max_attempts: settings.max_attempts,
            grace,
            cold_rate: cold_rate.map(|rate| rate / f64::from(settings.fronts.max(1))),
            buckets: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Whether a set-up may be sent now. `left_at` is when this front was told that the server drains or is
    /// gone; `cold` whether its processor ramps.
    ///
    /// # Errors
    /// The first rule that it would break, in the order of the rules; it is counted.
    pub fn check(
        &mut self,
        now: Micros,
        before: Before,
        server: ServerId,
        left_at: Option<Micros>,
        cold: bool,
    ) -> Result<(), Breach> {
        let breach = if before.out {
            Some(Breach::SecondAttempt)
        } else if before.sent >= self.max_attempts {
            Some(Breach::TooMany)
        } else if left_at.is_some_and(|at| now > at.saturating_add(self.grace)) {
            Some(Breach::Drained)
        } else if before.unsure_at.is_some_and(|at| now < at.saturating_add(self.retry_holdoff)) {
            Some(Breach::TooSoon)
        } else if cold && !self.take_cold(now, server) {
            Some(Breach::Cold)
        } else {
            None
        };
        match breach {
            Some(breach) => {
                self.count(breach);
                Err(breach)
            }
            None => Ok(()),
        }
    }

    /// Rule 5's time.
    pub fn retry_holdoff(&self) -> Micros {
        self.retry_holdoff
    }

    /// Counts a breach that is met elsewhere.
    pub fn count(&mut self, breach: Breach) {
        *self.counts.entry(breach).or_default() += 1;
    }

    /// How often a breach was held back.
    pub fn held_back(&self, breach: Breach) -> u64 {
        self.counts.get(&breach).copied().unwrap_or(0)
    }

    /// A server is warm or another process: its bucket is forgotten.
    pub fn forget(&mut self, server: ServerId) {
        self.buckets.remove(&server);
    }

    fn take_cold(&mut self, now: Micros, server: ServerId) -> bool {
        let Some(rate) = self.cold_rate else { return true };
        let most = 1.0 + rate * COLD_BURST_S;
        let bucket = self.buckets.entry(server).or_insert((now, most));
        let filled = bucket.1 + rate * now.saturating_sub(bucket.0) as f64 / 1e6;
        *bucket = (now, filled.min(most));
        let room = bucket.1 >= 1.0;
        if room {
            bucket.1 -= 1.0;
        }
        room
    }
}
