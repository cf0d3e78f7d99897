//! Enforcement of the five rules: an action of the policy that would violate one is not carried out.
//!
//! The policy keeps the rules by design, so a non-zero count here means that it has a bug. A blocked set-up
//! is reported to the policy as not sent (`Moot`), and the call still gets its answer.

use std::collections::BTreeMap;

use baydrift::interface::{Micros, ServerId, Settings};

/// The rule that an action would violate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Breach {
    /// Rule 1: a set-up or a second answer for a call that is answered or unknown.
    Answered,
    /// Rule 1: no answer by the caller's deadline.
    Unanswered,
    /// Rule 2: a set-up while another attempt is in flight.
    SecondAttempt,
    /// Rule 3: a set-up to a draining or removed server after the grace period.
    Drained,
    /// Rule 4: more set-ups to a cold server than this front's share.
    Cold,
    /// Rule 5: a set-up within the retry hold-off.
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

    /// The name used in logs and metrics.
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

/// The state of a call against which a set-up is checked.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallProgress {
    /// Whether another attempt is in flight.
    pub in_flight: bool,
    /// Set-ups sent so far.
    pub sent: u32,
    /// End of the latest attempt that the server may still hold.
    pub unconfirmed_end_at: Option<Micros>,
}

/// Checks set-ups against the rules and limits the rate to cold servers.
#[derive(Debug)]
pub struct Guard {
    retry_hold_off: Micros,
    max_attempts: u32,
    drain_grace: Micros,
    /// Set-ups per second that this front may send to a cold server; `None` if no limit is configured.
    cold_rate: Option<f64>,
    /// Token bucket of each cold server: time of the last refill, tokens left.
    buckets: BTreeMap<ServerId, (Micros, f64)>,
    counts: BTreeMap<Breach, u64>,
}

/// Capacity of a cold server's token bucket, in seconds at its rate; one token is added on top.
const COLD_BURST_S: f64 = 1.0;

impl Guard {
    /// A guard for the policy's settings. `drain_grace` is the grace period of rule 3, `cold_rate` the limit
    /// of rule 4 over all fronts, in set-ups per second.
    pub fn new(settings: &Settings, drain_grace: Micros, cold_rate: Option<f64>) -> Self {
        Self {
            retry_hold_off: settings.retry_holdoff,
            max_attempts: settings.max_attempts,
            drain_grace,
            cold_rate: cold_rate.map(|rate| rate / f64::from(settings.fronts.max(1))),
            buckets: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Checks whether a set-up may be sent now. `unavailable_since` is when this front learned that the
    /// server drains or is gone; `cold` is whether the server is still warming up.
    ///
    /// # Errors
    /// The first rule that the set-up would violate, in the order of the checks; the violation is counted.
    pub fn check(
        &mut self,
        now: Micros,
        progress: CallProgress,
        server: ServerId,
        unavailable_since: Option<Micros>,
        cold: bool,
    ) -> Result<(), Breach> {
        let breach = if progress.in_flight {
            Some(Breach::SecondAttempt)
        } else if progress.sent >= self.max_attempts {
            Some(Breach::TooMany)
        } else if unavailable_since.is_some_and(|at| now > at.saturating_add(self.drain_grace)) {
            Some(Breach::Drained)
        } else if progress.unconfirmed_end_at.is_some_and(|at| now < at.saturating_add(self.retry_hold_off)) {
            Some(Breach::TooSoon)
        } else if cold && !self.take_token(now, server) {
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

    /// Rule 5: the wait before a call may be sent again when a server may still hold its last attempt.
    pub fn retry_hold_off(&self) -> Micros {
        self.retry_hold_off
    }

    /// Counts a violation that was detected elsewhere.
    pub fn count(&mut self, breach: Breach) {
        *self.counts.entry(breach).or_default() += 1;
    }

    /// How often a violation was prevented.
    pub fn held_back(&self, breach: Breach) -> u64 {
        self.counts.get(&breach).copied().unwrap_or(0)
    }

    /// Drops a server's token bucket, for a server that is gone or runs a new process.
    pub fn forget(&mut self, server: ServerId) {
        self.buckets.remove(&server);
    }

    fn take_token(&mut self, now: Micros, server: ServerId) -> bool {
        let Some(rate) = self.cold_rate else { return true };
        let capacity = 1.0 + rate * COLD_BURST_S;
        let bucket = self.buckets.entry(server).or_insert((now, capacity));
        let filled = bucket.1 + rate * now.saturating_sub(bucket.0) as f64 / 1e6;
        *bucket = (now, filled.min(capacity));
        let available = bucket.1 >= 1.0;
        if available {
            bucket.1 -= 1.0;
        }
        available
    }
}
