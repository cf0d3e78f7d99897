//! One circuit at one end.

use baydrift::interface::Micros;

use crate::rules::Ours;
use crate::types::{CallKey, Processing, Told};

/// What it is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Use {
    Idle,
    /// Seized from here: IAM sent, nothing back yet. Only now can both ends have seized it.
    OutSeized(CallKey),
    /// ACM came.
    OutAccepted(CallKey),
    /// ANM came.
    OutAnswered(CallKey),
    /// Seized by the far end; accepted or answered by the call side.
    In(CallKey),
    /// REL sent; RLC is awaited.
    Releasing,
    /// RSC sent; RLC is awaited.
    Resetting,
    /// Within a GRS; GRA is awaited.
    GroupResetting,
    /// The far end has no such circuit.
    Unequipped,
}

/// What it is counted as, for who asks how full a group is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Tally {
    Free,
    Blocked,
    Outgoing,
    Incoming,
    Clearing,
}

/// See the module's page.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Circuit {
    pub(crate) used: Use,
    /// Grows with each change of use, so that an audit sees whether anything moved.
    pub(crate) changes: u32,
    /// Since when it is so.
    pub(crate) since: Micros,
    /// When its timer is due; `MAX` for none.
    pub(crate) due: Micros,
    pub(crate) blocking_due: Micros,
    /// Since when a blocking or its end is unanswered.
    pub(crate) blocking_since: Micros,
    /// Key of its place among free circuits; 0 for none.
    pub(crate) free: u64,
    pub(crate) blocked_here: bool,
    pub(crate) blocked_there: bool,
    /// The far end has not confirmed the last blocking or its end.
    pub(crate) blocking_open: bool,
    pub(crate) reported: bool,
    /// As what it is counted.
    pub(crate) tallied: Tally,
    /// This end won the last dual seizure of it.
    pub(crate) won: bool,
}

impl Circuit {
    pub(crate) fn new() -> Self {
        Self {
            used: Use::Idle,
            changes: 0,
            since: 0,
            due: Micros::MAX,
            blocking_due: Micros::MAX,
            blocking_since: 0,
            free: 0,
            blocked_here: false,
            blocked_there: false,
            blocking_open: false,
            reported: false,
            tallied: Tally::Blocked,
            won: false,
        }
    }

    pub(crate) fn call(&self) -> Option<CallKey> {
        match self.used {
            Use::OutSeized(call) | Use::OutAccepted(call) | Use::OutAnswered(call) | Use::In(call) => {
                Some(call)
            }
            _ => None,
        }
    }

    /// As what it is to be counted.
    pub(crate) fn tally(&self) -> Tally {
        match self.used {
            Use::Idle if self.is_free() => Tally::Free,
            Use::Idle | Use::Unequipped => Tally::Blocked,
            Use::OutSeized(_) | Use::OutAccepted(_) | Use::OutAnswered(_) => Tally::Outgoing,
            Use::In(_) => Tally::Incoming,
            Use::Releasing | Use::Resetting | Use::GroupResetting => Tally::Clearing,
        }
    }

    pub(crate) fn is_free(&self) -> bool {
        self.used == Use::Idle && !self.blocked_here && !self.blocked_there
    }

    /// A release or reset is out, and its timer runs here.
    pub(crate) fn awaits_completion(&self) -> bool {
        let out = matches!(self.used, Use::Releasing | Use::Resetting | Use::GroupResetting);
        out && self.due != Micros::MAX
    }

    pub(crate) fn ours(&self) -> Ours {
        match self.used {
            Use::Idle => Ours::Idle,
            Use::OutSeized(_) | Use::OutAccepted(_) | Use::OutAnswered(_) => Ours::Outgoing,
            Use::In(_) => Ours::Incoming,
            Use::Releasing | Use::Resetting | Use::GroupResetting | Use::Unequipped => Ours::Changing,
        }
    }

    /// What the far end is told of it.
    pub(crate) fn told(&self) -> Told {
        let processing = match self.used {
            Use::Idle => Processing::Idle,
            Use::OutSeized(_) | Use::OutAccepted(_) | Use::OutAnswered(_) => Processing::OutgoingBusy,
            Use::In(_) => Processing::IncomingBusy,
            Use::Releasing | Use::Resetting | Use::GroupResetting => Processing::Transient,
            Use::Unequipped => Processing::Unequipped,
        };
        Told { processing, locally_blocked: self.blocked_here, remotely_blocked: self.blocked_there }
    }
}
