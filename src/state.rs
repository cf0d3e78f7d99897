//! What one front keeps of servers, calls and attempts. Fields and their first values; what is made of them
//! is decided in `src/policy.rs`.

use crate::interface::*;
use crate::measure::{Meter, Pi};

/// What this front knows of one server.
#[derive(Debug, Default)]
pub struct Server {
    pub number: u16,
    pub state: ServerState,
    pub started_at: Option<Micros>,
    /// It may be cold from this time on: told, or the last time nothing could be reached there.
    pub cold_since: Option<Micros>,
    /// Set-ups a second that are this front's part while it is cold, where fronts share a budget.
    pub share: Option<f64>,
    pub free: Option<f64>,
    pub lines: Option<f64>,
    /// The newest load report, whoever heard it, and when it was heard.
    pub report: Report,
    pub reported_at: Micros,
    /// This front knows of the process since then; older news is of another one.
    pub known_at: Micros,
    /// The shortest and the latest set-up time that this front saw itself; the difference is waiting.
    pub least_lag: Micros,
    pub seen_wait_s: f64,
    pub seen_at: Micros,
    /// When an answer, or what was unanswered, last showed a wait, here or at another front, and which.
    pub answer: (Micros, f64),
    /// The lagged error.
    pub error: Option<f64>,
    pub pi: Pi,
    /// A fresh report shows a load under the set-point.
    pub told_easy: bool,
    /// The reject fraction.
    pub alpha: f64,
    pub unanswered: u32,
    pub arrivals: Meter,
    pub stood: Meter,
    pub pressed_at: Option<Micros>,
    pub pace: Pi,
    pub pace_rate: f64,
    pub bucket: f64,
    pub bucket_at: Micros,
    pub full_at: Micros,
    pub down_until: Micros,
    pub probe_at: Micros,
}

impl Server {
    /// A server as the list names it; nothing is learnt of it yet.
    pub fn new(entry: &Entry, now: Micros) -> Self {
        Self {
            number: entry.number,
            state: entry.state,
            started_at: entry.started_at,
            cold_since: entry.started_at,
            least_lag: Micros::MAX,
            known_at: now,
            bucket_at: now,
            ..Self::default()
        }
    }

    /// Whether its process may still be warming up.
    pub fn is_cold(&self, now: Micros, ramp: Micros) -> bool {
        self.cold_since.is_some_and(|since| now < since.saturating_add(ramp))
    }

    /// A wait at its processor was seen.
    pub fn see_wait(&mut self, now: Micros, wait_s: f64) {
        self.seen_wait_s = wait_s;
        self.seen_at = now;
    }
}

/// How an attempt ended.
pub struct Ending {
    pub outcome: Outcome,
    pub lag: Micros,
    pub note: Note,
}

/// A call that is owed an answer.
#[derive(Debug, Default)]
pub struct Pending {
    pub call: Call,
    pub worth: f64,
    pub aim_at: Micros,
    pub answer_by: Micros,
    pub attempts: u32,
    pub out: Option<(u16, ServerId)>,
    pub last: Option<ServerId>,
    pub held_at: Option<ServerId>,
    pub not_before: Micros,
    /// When the first attempt that may have run was sent.
    pub may_have_run: Option<Micros>,
    pub sent_at: Micros,
}
