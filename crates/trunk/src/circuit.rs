//! State of one circuit at this end.

use baydrift::interface::Micros;

use crate::rules::LocalState;
use crate::types::{CallKey, Processing, ReportedState};

/// Call and reset state of a circuit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum CircuitState {
    Idle,
    /// IAM sent, no backward signal yet. Dual seizure is possible only in this state.
    OutSeized(CallKey),
    /// ACM received.
    OutAccepted(CallKey),
    /// ANM received.
    OutAnswered(CallKey),
    /// Seized by the far end: an incoming call.
    In(CallKey),
    /// REL sent, waiting for RLC.
    Releasing,
    /// RSC sent, waiting for RLC.
    Resetting,
    /// Covered by a GRS, waiting for GRA.
    GroupResetting,
    /// The far end has no such circuit.
    Unequipped,
}

/// The field of [`crate::Usage`] that a circuit is counted in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum UsageKind {
    Free,
    Blocked,
    Outgoing,
    Incoming,
    Clearing,
}

/// A circuit with its timers and blocking state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Circuit {
    pub(crate) state: CircuitState,
    /// Incremented at each state change, so that an audit detects changes between two queries.
    pub(crate) changes: u32,
    /// Time of the last state change.
    pub(crate) since: Micros,
    /// Expiry of the state timer; `MAX` while none runs.
    pub(crate) due: Micros,
    /// Expiry of the blocking timer; `MAX` while none runs.
    pub(crate) blocking_due: Micros,
    /// Time of the last blocking or unblocking request at this end.
    pub(crate) blocking_since: Micros,
    /// Key in the group's list of free circuits; 0 while not listed.
    pub(crate) free_key: u64,
    pub(crate) locally_blocked: bool,
    pub(crate) remotely_blocked: bool,
    /// The far end has not acknowledged the last blocking or unblocking.
    pub(crate) blocking_unacknowledged: bool,
    /// An unanswered reset has been reported to operators.
    pub(crate) unanswered_reported: bool,
    /// Field of the group's usage that currently counts this circuit.
    pub(crate) counted_as: UsageKind,
    /// This end won the last dual seizure of the circuit.
    pub(crate) won_last_glare: bool,
}

impl Circuit {
    pub(crate) fn new() -> Self {
        Self {
            state: CircuitState::Idle,
            changes: 0,
            since: 0,
            due: Micros::MAX,
            blocking_due: Micros::MAX,
            blocking_since: 0,
            free_key: 0,
            locally_blocked: false,
            remotely_blocked: false,
            blocking_unacknowledged: false,
            unanswered_reported: false,
            counted_as: UsageKind::Blocked,
            won_last_glare: false,
        }
    }

    /// The call that holds the circuit.
    pub(crate) fn call(&self) -> Option<CallKey> {
        match self.state {
            CircuitState::OutSeized(call)
            | CircuitState::OutAccepted(call)
            | CircuitState::OutAnswered(call)
            | CircuitState::In(call) => Some(call),
            _ => None,
        }
    }

    /// The usage field that matches the current state.
    pub(crate) fn usage_kind(&self) -> UsageKind {
        match self.state {
            CircuitState::Idle if self.is_free() => UsageKind::Free,
            CircuitState::Idle | CircuitState::Unequipped => UsageKind::Blocked,
            CircuitState::OutSeized(_) | CircuitState::OutAccepted(_) | CircuitState::OutAnswered(_) => {
                UsageKind::Outgoing
            }
            CircuitState::In(_) => UsageKind::Incoming,
            CircuitState::Releasing | CircuitState::Resetting | CircuitState::GroupResetting => {
                UsageKind::Clearing
            }
        }
    }

    pub(crate) fn is_free(&self) -> bool {
        self.state == CircuitState::Idle && !self.locally_blocked && !self.remotely_blocked
    }

    /// Whether a REL, RSC or GRS is unanswered and its timer runs on this circuit.
    pub(crate) fn awaits_completion(&self) -> bool {
        let pending = matches!(
            self.state,
            CircuitState::Releasing | CircuitState::Resetting | CircuitState::GroupResetting
        );
        pending && self.due != Micros::MAX
    }

    pub(crate) fn local_state(&self) -> LocalState {
        match self.state {
            CircuitState::Idle => LocalState::Idle,
            CircuitState::OutSeized(_) | CircuitState::OutAccepted(_) | CircuitState::OutAnswered(_) => {
                LocalState::Outgoing
            }
            CircuitState::In(_) => LocalState::Incoming,
            CircuitState::Releasing
            | CircuitState::Resetting
            | CircuitState::GroupResetting
            | CircuitState::Unequipped => LocalState::Transient,
        }
    }

    /// The state to report to the far end in a CQR.
    pub(crate) fn reported_state(&self) -> ReportedState {
        let processing = match self.state {
            CircuitState::Idle => Processing::Idle,
            CircuitState::OutSeized(_) | CircuitState::OutAccepted(_) | CircuitState::OutAnswered(_) => {
                Processing::OutgoingBusy
            }
            CircuitState::In(_) => Processing::IncomingBusy,
            CircuitState::Releasing | CircuitState::Resetting | CircuitState::GroupResetting => {
                Processing::Transient
            }
            CircuitState::Unequipped => Processing::Unequipped,
        };
        ReportedState {
            processing,
            locally_blocked: self.locally_blocked,
            remotely_blocked: self.remotely_blocked,
        }
    }
}
