//! The engine's records of active calls and attempts.

use baydrift::interface::{Call, CallId, Micros, ServerId};

use crate::types::{AttemptId, Request, Session};

/// Requests for one call that may wait for its answer at once; beyond it the oldest is dropped unanswered.
pub(crate) const MAX_WAITING_REQUESTS: usize = 4;

/// State of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No attempt is in flight; the policy decides what comes next.
    Deciding,
    /// One attempt is in flight.
    InFlight(AttemptId),
    /// Established by this attempt.
    Established(AttemptId),
}

/// A call from its offer until it ends.
#[derive(Debug)]
pub(crate) struct ActiveCall<P> {
    pub(crate) session: Session,
    /// Requests that wait for the answer; empty once it is sent.
    pub(crate) waiting: Vec<Request>,
    pub(crate) phase: Phase,
    pub(crate) class: usize,
    /// Time by which the answer must be sent.
    pub(crate) answer_by: Micros,
    /// Set-ups requested by the policy, whether sent or not.
    pub(crate) requested: u16,
    /// Set-ups sent.
    pub(crate) sent: u32,
    /// End of the latest attempt that its server may still hold.
    pub(crate) unconfirmed_end_at: Option<Micros>,
    /// Set-ups blocked by the guard.
    pub(crate) blocked: u8,
    /// `None` once the call is answered.
    pub(crate) payload: Option<P>,
    /// Since when the owner has no link.
    pub(crate) client_absent_since: Option<Micros>,
    /// A call not yet passed to the policy, and since when it is deferred.
    pub(crate) deferred: Option<(Micros, Call)>,
}

impl<P> ActiveCall<P> {
    /// A call without waiting requests or payload.
    pub(crate) fn new(session: Session, class: usize, phase: Phase, answer_by: Micros) -> Self {
        Self {
            session,
            waiting: Vec::new(),
            phase,
            class,
            answer_by,
            requested: 0,
            sent: 0,
            unconfirmed_end_at: None,
            blocked: 0,
            payload: None,
            client_absent_since: None,
            deferred: None,
        }
    }
}

impl<P> ActiveCall<P> {
    /// Whether it was taken over from another process: it is established, and no set-up was sent.
    pub(crate) fn is_adopted(&self) -> bool {
        self.sent == 0 && matches!(self.phase, Phase::Established(_))
    }
}

/// State of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Awaiting the server's answer.
    InFlight,
    /// Established.
    Established,
    /// The attempt is given up or its call has ended, and its release is unanswered.
    Releasing {
        /// Whether the policy still has to receive `Ended(Ok)` for the attempt.
        report_end: bool,
    },
}

/// One set-up at one server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) call: CallId,
    pub(crate) index: u16,
    pub(crate) server: ServerId,
    pub(crate) class: usize,
    pub(crate) sent_at: Micros,
    pub(crate) stage: Stage,
    /// Taken over from another process: unknown to the policy.
    pub(crate) adopted: bool,
}
