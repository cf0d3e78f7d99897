//! Input and output types of [`crate::Trunks`].

use std::sync::Arc;

/// Circuit identification code.
pub type Cic = u16;

/// A trunk group, identified by its index in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u16);

/// Identifies a call over a trunk. The call-control side assigns the keys of outgoing calls; keys of incoming
/// calls are assigned here, from 2^63 on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u64);

impl CallKey {
    pub(crate) const FIRST_INCOMING: Self = Self(1 << 63);

    /// Returns whether the far end set the call up.
    pub fn is_incoming(self) -> bool {
        self >= Self::FIRST_INCOMING
    }
}

/// Contents of an initial address message (IAM).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Setup {
    /// Digits of the called number.
    pub number: Arc<[u8]>,
    /// Call reference assigned by the calling side.
    pub reference: Arc<[u8]>,
}

/// Signals on a circuit, or on a range of circuits that starts at it (Q.764, clause 2). A status list has one
/// entry per circuit of the range.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Signal {
    /// IAM.
    Seize(Setup),
    /// ACM: the far end has received the complete address.
    Accepted,
    /// ANM or CON: the call is answered.
    Answered,
    /// CPG.
    Progress,
    /// REL, with its cause value.
    Release(u8),
    /// RLC.
    ReleaseComplete,
    /// RSC.
    Reset,
    /// BLO.
    Block,
    /// BLA.
    BlockAck,
    /// UBL.
    Unblock,
    /// UBA.
    UnblockAck,
    /// GRS, with the number of circuits.
    GroupReset(u16),
    /// GRA: which circuits the far end has blocked for maintenance.
    GroupResetAck(Vec<bool>),
    /// CGB.
    GroupBlock(Vec<bool>),
    /// CGBA.
    GroupBlockAck(Vec<bool>),
    /// CGU.
    GroupUnblock(Vec<bool>),
    /// CGUA.
    GroupUnblockAck(Vec<bool>),
    /// CQM, with the number of circuits.
    Query(u16),
    /// CQR.
    QueryReply(Vec<ReportedState>),
    /// UCIC.
    Unequipped,
}

/// Call processing state of a circuit, as one end reports it to the other (Q.763, 3.14).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Processing {
    /// In transition: nothing can be concluded from it.
    Transient,
    /// No such circuit.
    Unequipped,
    /// Busy with a call that the receiver of the report set up.
    IncomingBusy,
    /// Busy with a call that the reporting end set up.
    OutgoingBusy,
    /// Idle.
    Idle,
}

/// A circuit's state as one end reports it (Q.763, 3.14).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReportedState {
    /// Call processing state.
    pub processing: Processing,
    /// Blocked by the reporting end.
    pub locally_blocked: bool,
    /// Blocked by the end that receives the report.
    pub remotely_blocked: bool,
}

/// How a call over a trunk ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum End {
    /// The far end released it, with this cause value.
    Released(u8),
    /// No circuit was free for it.
    NoCircuit,
    /// It lost dual seizures to the far end as often as allowed.
    Yielded,
    /// The far end did not answer the seizure in time (T7, T9).
    NoAnswer,
    /// The circuit was reset during the call: the far end lost the call or never had it.
    Reset,
    /// The group's far end is unreachable.
    Unreachable,
}

/// Faults reported to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Maintenance {
    /// REL unanswered until T5 expired: the circuit is reset.
    ReleaseUnanswered,
    /// RSC or GRS unanswered until T17 or T23 expired: the circuit is blocked at this end.
    ResetUnanswered,
    /// Blocking or unblocking unanswered until T13, T15, T19 or T21 expired.
    BlockingUnanswered,
    /// The far end has no such circuit: it is not seized from this end.
    Unequipped,
    /// An audit found the circuit stuck and reset it.
    Stuck,
}

/// Signals to send and events for the call-control side.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a signal.
    Send {
        /// Trunk group.
        group: GroupId,
        /// Circuit, or the first circuit of a range.
        cic: Cic,
        /// Signal to send.
        signal: Signal,
    },
    /// The far end seized a circuit; the call-control side accepts, answers or releases the call.
    Incoming {
        /// Key assigned to the call.
        call: CallKey,
        /// Trunk group that it arrived on.
        group: GroupId,
        /// Contents of its IAM.
        setup: Setup,
    },
    /// The far end accepted an outgoing call (ACM).
    Accepted(CallKey),
    /// An outgoing call was answered (ANM or CON).
    Answered(CallKey),
    /// A call has ended and no longer holds its circuit.
    Ended(CallKey, End),
    /// A fault to report to operators.
    Report {
        /// Trunk group.
        group: GroupId,
        /// Circuit.
        cic: Cic,
        /// Kind of fault.
        what: Maintenance,
    },
}

/// Snapshot of a circuit's state at this end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CircuitView {
    /// State as reported to the far end.
    pub state: ReportedState,
    /// The call that holds it.
    pub call: Option<CallKey>,
    /// Time of the last change of use, in microseconds.
    pub since: u64,
}

/// Number of a group's circuits by use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Usage {
    /// Available for seizure by this end.
    pub free: usize,
    /// Idle but blocked by either end, or unequipped.
    pub blocked: usize,
    /// Busy with outgoing calls.
    pub outgoing: usize,
    /// Busy with incoming calls.
    pub incoming: usize,
    /// Waiting for a release or reset to complete.
    pub clearing: usize,
}

/// Snapshot of a trunk group's state at this end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupView {
    /// CIC of the first circuit.
    pub first: Cic,
    /// Number of circuits.
    pub circuits: u16,
    /// Whether the far end is reachable.
    pub reachable: bool,
    /// Time of the last answered audit query, in microseconds.
    pub audited_at: Option<u64>,
    /// Number of circuits by use.
    pub usage: Usage,
}
