//! What one front stores about servers, calls and attempts: fields and their initial values. The decisions
//! based on them are in `src/policy.rs`.

use crate::interface::*;
use crate::measure::{PiController, RateMeter};

/// What this front knows about one server.
#[derive(Debug, Default)]
pub struct Server {
    pub number: u16,
    pub state: ServerState,
    pub started_at: Option<Micros>,
    /// Start of the warm-up: the start of its process by the list, or the latest failed connect.
    pub cold_since: Option<Micros>,
    /// Set-ups a second that are this front's part of the cold server's budget, where fronts share one.
    pub budget_share: Option<f64>,
    /// Free circuits as last reported; 0 after an answer of 'no circuit'.
    pub free: Option<f64>,
    pub circuits: Option<f64>,
    /// The newest load report, received by this front or by a peer, and the time of its receipt.
    pub report: Report,
    pub reported_at: Micros,
    /// When this front learnt of the process; older load hints are about its predecessor.
    pub discovered_at: Micros,
    /// The shortest set-up time that this front observed; anything above it is waiting time.
    pub min_setup_time: Micros,
    /// The latest wait that was observed, and when.
    pub observed_wait_s: f64,
    pub observed_at: Micros,
    /// Time and seconds of the latest wait shown by an answer or by unanswered set-ups, here or at a peer.
    pub answered_wait: (Micros, f64),
    /// The low-pass filtered error of the control loop; `None` without feedback.
    pub error: Option<f64>,
    pub pi: PiController,
    /// Whether a current report shows a load below the set-point.
    pub reported_underload: bool,
    /// The reject fraction.
    pub alpha: f64,
    /// Set-ups sent by this front and not yet answered.
    pub unanswered: u32,
    /// Calls routed to the server, rejected ones included.
    pub arrivals: RateMeter,
    /// Calls established at the server.
    pub established: RateMeter,
    /// Time of the last positive error.
    pub overloaded_at: Option<Micros>,
    pub pacing: PiController,
    /// Set-ups a second at which the token bucket of a paced server is refilled.
    pub pace_rate: f64,
    /// Level of the token bucket, in set-ups.
    pub tokens: f64,
    pub refilled_at: Micros,
    /// The last refill at which the bucket held less than one token.
    pub below_one_token_at: Micros,
    /// End of the pause after a failed connect.
    pub down_until: Micros,
    /// Time of the next probe.
    pub probe_at: Micros,
}

impl Server {
    /// Creates a server from its list entry.
    pub fn new(entry: &Entry, now: Micros) -> Self {
        Self {
            number: entry.number,
            state: entry.state,
            started_at: entry.started_at,
            cold_since: entry.started_at,
            min_setup_time: Micros::MAX,
            discovered_at: now,
            refilled_at: now,
            ..Self::default()
        }
    }

    /// Whether its process may still be warming up.
    pub fn is_cold(&self, now: Micros, warm_up_time: Micros) -> bool {
        self.cold_since.is_some_and(|since| now < since.saturating_add(warm_up_time))
    }

    /// Records a wait at its processor.
    pub fn observe_wait(&mut self, now: Micros, wait_s: f64) {
        self.observed_wait_s = wait_s;
        self.observed_at = now;
    }
}

/// How an attempt ended.
pub struct AttemptEnd {
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub lag: Micros,
    pub note: Note,
}

/// A call without a final answer.
#[derive(Debug, Default)]
pub struct PendingCall {
    pub call: Call,
    pub worth: f64,
    /// End of the class's target time, or `answer_by` if that is earlier.
    pub target_at: Micros,
    /// When the final answer is due.
    pub answer_by: Micros,
    /// Number of attempts so far.
    pub attempts: u32,
    /// The attempt in flight and its server.
    pub in_flight: Option<(u16, ServerId)>,
    /// Server of the latest attempt; avoided by the next one where another is eligible.
    pub last_server: Option<ServerId>,
    /// The server for whose pacing the call is held.
    pub held_for: Option<ServerId>,
    /// Nothing is sent for the call before this time.
    pub not_before: Micros,
    /// When the first attempt that may have run was sent.
    pub may_have_run_at: Option<Micros>,
    /// When the latest attempt was sent.
    pub sent_at: Micros,
}
