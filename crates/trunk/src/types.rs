//! What is said to and by [`crate::Trunks`].

use std::sync::Arc;

/// Circuit identification code.
pub type Cic = u16;

/// A trunk group: its place in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u16);

/// A call over a trunk, as the call side names it. Incoming ones are named here, from 2^63 on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u64);

impl CallKey {
    pub(crate) const FIRST_INCOMING: Self = Self(1 << 63);

    /// Whether the far end set it up.
    pub fn is_incoming(self) -> bool {
        self >= Self::FIRST_INCOMING
    }
}

/// What an initial address message asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Setup {
    /// Digits of the number called.
    pub number: Arc<[u8]>,
    /// A reference of the caller's side.
    pub reference: Arc<[u8]>,
}

/// Signals on a circuit, or on a range from it on (Q.764, clause 2); `status` has a bit a circuit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Signal {
    /// IAM.
    Seize(Setup),
    /// ACM: the far side has it.
    Accepted,
    /// ANM or CON: it stands.
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
    /// GRS, for so many circuits.
    GroupReset(u16),
    /// GRA: which circuits are blocked for maintenance at the far end.
    GroupResetAck(Vec<bool>),
    /// CGB.
    GroupBlock(Vec<bool>),
    /// CGBA.
    GroupBlockAck(Vec<bool>),
    /// CGU.
    GroupUnblock(Vec<bool>),
    /// CGUA.
    GroupUnblockAck(Vec<bool>),
    /// CQM, for so many circuits.
    Query(u16),
    /// CQR.
    QueryReply(Vec<Told>),
    /// UCIC.
    Unequipped,
}

/// What a circuit is used for, as one end tells the other (Q.763, 3.14).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Processing {
    /// Changing just now: nothing can be concluded.
    Transient,
    /// No such circuit.
    Unequipped,
    /// Busy by a call from the end that is told.
    IncomingBusy,
    /// Busy by a call of the end that tells.
    OutgoingBusy,
    /// Idle.
    Idle,
}

/// A circuit's state as its end tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Told {
    /// Its use.
    pub processing: Processing,
    /// Blocked by the end that tells.
    pub locally_blocked: bool,
    /// Blocked by the end that is told.
    pub remotely_blocked: bool,
}

/// How a call over a trunk ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum End {
    /// The far end released it, with this cause value.
    Released(u8),
    /// No circuit was free for it.
    NoCircuit,
    /// It yielded to calls of the far end as often as it may.
    Yielded,
    /// The far end did not answer the seizure in time (T7, T9).
    NoAnswer,
    /// The circuit was reset under it: the far end lost or never had it.
    Reset,
    /// The group's far end cannot be reached.
    Unreachable,
}

/// What people are to hear of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Maintenance {
    /// A release went unanswered for T5: the circuit is reset.
    ReleaseUnanswered,
    /// A reset went unanswered for T17 or T23: the circuit is blocked here.
    ResetUnanswered,
    /// A blocking or its end went unanswered for T13, T15, T19 or T21.
    BlockingUnanswered,
    /// The far end has no such circuit: it is blocked here.
    Unequipped,
    /// An audit found it stuck, and reset it.
    Stuck,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a signal.
    Send {
        /// On which group.
        group: GroupId,
        /// On which circuit.
        cic: Cic,
        /// What.
        signal: Signal,
    },
    /// The far end seized a circuit: accept, answer or release this call.
    Incoming {
        /// The call, by a name made here.
        call: CallKey,
        /// Its group.
        group: GroupId,
        /// What it asks for.
        setup: Setup,
    },
    /// The far side has an outgoing call.
    Accepted(CallKey),
    /// An outgoing call stands.
    Answered(CallKey),
    /// A call is over, and its circuit no longer its own.
    Ended(CallKey, End),
    /// People are to hear of it.
    Report {
        /// Its group.
        group: GroupId,
        /// Its circuit.
        cic: Cic,
        /// What.
        what: Maintenance,
    },
}

/// A circuit as it is at one end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct View {
    /// As the far end is told.
    pub state: Told,
    /// Its call.
    pub call: Option<CallKey>,
    /// Since when it is used so, microseconds.
    pub since: u64,
}

/// What a group's circuits are used for, counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Usage {
    /// Free to be seized from here.
    pub free: usize,
    /// Idle but blocked, by either end.
    pub blocked: usize,
    /// Busy by calls from here.
    pub outgoing: usize,
    /// Busy by calls of the far end.
    pub incoming: usize,
    /// Awaiting a release's or a reset's completion.
    pub clearing: usize,
}

/// A group as it is at one end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupView {
    /// Its first circuit.
    pub first: Cic,
    /// How many there are.
    pub circuits: u16,
    /// Whether its far end can be reached.
    pub reachable: bool,
    /// When an audit's query was last answered, microseconds.
    pub audited_at: Option<u64>,
    /// What its circuits are used for.
    pub usage: Usage,
}
