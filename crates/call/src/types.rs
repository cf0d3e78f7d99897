//! The engine's interface to its driver: inputs, outputs and the types they carry.

use std::sync::Arc;

use baydrift::interface::{CallId, Entry, ListKind, Micros, Note, Outcome, Report, ServerId};

/// One transport connection of a client; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// One set-up of a call at one server; never reused within a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// The caller's name for a call: the client's identity and the id it chose.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Session {
    /// The client that owns the call. Only this client may release or repeat it.
    pub owner: Arc<str>,
    /// The client's id for the call, never reused by that client.
    pub id: Arc<str>,
}

/// A pending request of a client, to which an answer is addressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request {
    /// The link on which the request arrived.
    pub link: LinkId,
    /// The driver's own tag for the request.
    pub ticket: u64,
}

/// A call offered by a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer<P> {
    /// The caller's name for the call.
    pub session: Session,
    /// The request to be answered.
    pub request: Request,
    /// Index of the call's class.
    pub class: usize,
    /// Index of the call's tenant.
    pub tenant: usize,
    /// The dialled number; 0 if there is none.
    pub number: u64,
    /// Number of the preferred server.
    pub first_choice: Option<u16>,
    /// Time until the caller cancels an unanswered call.
    pub caller_timeout: Micros,
    /// Whether the number is being redialled, if the protocol reports it.
    pub redial: Option<bool>,
    /// Whether the call was established before and is offered again because it was cut.
    pub was_dropped: bool,
    /// Whether the offer may be a retransmission, possibly of one sent to a previous process of this front.
    pub retransmission: Retransmission,
    /// Data that the driver gets back with each set-up; dropped once the call has its final answer.
    pub payload: P,
}

/// Whether an offer may have been sent already to a previous process of this front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retransmission {
    /// The offer is sent for the first time.
    First,
    /// The client marks the offer as a retransmission. The client reports when its caller cancels.
    Repeated,
    /// The protocol cannot tell, and a cancelling caller is not reported.
    Unknown,
}

/// How an attempt ended without being established.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptEnd {
    /// The result.
    pub outcome: Outcome,
    /// Further detail on the result.
    pub note: Note,
    /// The load report on the answer.
    pub report: Report,
}

/// Whether the process behind a server's link is the one seen before (RFC 6733, section 8.16).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Process {
    /// The origin state is unchanged, or this is the first connection.
    Same,
    /// The origin state changed: the server has lost all calls and is cold.
    New,
    /// The server sends no origin state: its calls may still exist, but it may be cold.
    Unknown,
}

/// State of a server's link according to the transport and the watchdog.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// Usable.
    Up(Process),
    /// A watchdog request is unanswered: no new set-ups are sent, and in-flight ones fail over (RFC 3539,
    /// section 3.4.1).
    Suspect,
    /// Not connected.
    Down,
}

/// An event that the driver reports to the engine.
#[derive(Debug, Clone, PartialEq)]
pub enum Input<P> {
    /// A client offers a call, or repeats an offer.
    Offered(Offer<P>),
    /// A caller releases a call, established or still in set-up.
    Released {
        /// The call.
        session: Session,
        /// The request to be answered.
        request: Request,
    },
    /// A caller asks whether a call is still established.
    Refreshed {
        /// The call.
        session: Session,
        /// The request to be answered.
        request: Request,
    },
    /// A client's link came up. If the client `restarted`, all of its calls are released.
    ClientUp {
        /// The link.
        link: LinkId,
        /// The client.
        owner: Arc<str>,
        /// Whether the client's process differs from the one seen before.
        restarted: bool,
    },
    /// A client's link was lost, with all requests pending on it.
    ClientDown(LinkId),
    /// The server confirmed a set-up.
    Established {
        /// The attempt.
        attempt: AttemptId,
        /// The load report on the answer.
        report: Report,
    },
    /// A set-up ended without being established.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// The result.
        end: AttemptEnd,
    },
    /// The server cut an established call, or ended a set-up.
    Cut {
        /// The attempt.
        attempt: AttemptId,
        /// The load report on the message.
        report: Report,
    },
    /// The server cleared an established call in the regular way.
    Cleared {
        /// The attempt.
        attempt: AttemptId,
        /// The load report on the message.
        report: Report,
    },
    /// A call established by another process is taken over by this front.
    Adopted {
        /// The call.
        session: Session,
        /// Index of the call's class.
        class: usize,
        /// The server that holds the call.
        server: ServerId,
    },
    /// The server answered a release.
    ReleaseDone {
        /// The released attempt.
        attempt: AttemptId,
        /// The load report on the answer.
        report: Report,
    },
    /// A server's link changed state.
    ServerLink {
        /// The server.
        server: ServerId,
        /// The new state.
        state: LinkState,
    },
    /// A server announced on its link that it drains.
    DrainAnnounced(ServerId),
    /// A server sent an unsolicited load report.
    LoadReport {
        /// The server.
        server: ServerId,
        /// The report.
        report: Report,
    },
    /// The server list, or changes to it.
    List(ListKind, Vec<Entry>),
    /// A message from another front.
    Peer {
        /// Ordinal of the sending front.
        from: u32,
        /// The message.
        payload: Vec<u8>,
    },
    /// Time has passed.
    Tick,
    /// The front shuts down: undecided calls get an answer, new ones are refused.
    Stop,
    /// The shutdown deadline has passed: established calls are cut at both ends.
    CutAll,
}

/// State of a call, looked up by its session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStatus {
    /// Awaiting its final answer.
    InSetUp,
    /// Established.
    Established,
    /// Answered or ended, with the answer still cached.
    Ended,
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The policy decided so.
    ByPolicy,
    /// A limit of the engine is reached.
    LimitReached,
    /// The front is shutting down.
    Stopping,
    /// The front has just started and cannot know whether a previous process has the call in flight.
    JustStarted,
}

/// The final answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Final {
    /// The call is established.
    Established,
    /// The call is refused.
    Refused {
        /// How long the caller should wait before it tries again; 0 for no advice.
        retry_after: Micros,
        /// The reason.
        why: Refusal,
    },
    /// The call failed.
    Failed,
}

/// The answer to a release request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseResult {
    /// The call is released.
    Done,
    /// The call is not known.
    Unknown,
}

/// An action that the driver carries out for the engine.
#[derive(Debug, Clone, PartialEq)]
pub enum Output<P> {
    /// Set up a call at a server.
    SetUp {
        /// The attempt.
        attempt: AttemptId,
        /// The server.
        server: ServerId,
        /// The call, for logs.
        call: CallId,
        /// Index of the attempt within the call, from 0.
        index: u16,
        /// Index of the call's class.
        class: usize,
        /// The attempt times out after this span.
        timeout: Micros,
        /// An attempt that waits for a connection must be sent within this span.
        begin_within: Micros,
        /// The caller's name for the call.
        session: Session,
        /// The payload of the offer.
        payload: P,
    },
    /// Release an attempt at its server.
    Release {
        /// The attempt.
        attempt: AttemptId,
        /// The server.
        server: ServerId,
        /// Index of the call's class.
        class: usize,
    },
    /// Send a request its final answer.
    Answer {
        /// The request.
        request: Request,
        /// The caller's name for the call.
        session: Session,
        /// The answer.
        answer: Final,
    },
    /// Answer a release request.
    AnswerRelease {
        /// The request.
        request: Request,
        /// The caller's name for the call.
        session: Session,
        /// The answer.
        result: ReleaseResult,
    },
    /// The request will not be answered: too many requests for the same call are pending.
    Dropped(Request),
    /// Notify a caller that its established call has ended at the server.
    Cut {
        /// A link of the call's owner.
        link: LinkId,
        /// The call.
        session: Session,
        /// Index of the call's class.
        class: usize,
    },
    /// An established call has ended and the engine knows no link of its owner: a driver that routes by call
    /// notifies the caller.
    Cleared {
        /// The call.
        session: Session,
        /// `Ok` if the call ended in the regular way, otherwise it was cut.
        outcome: Outcome,
    },
    /// A call was taken over and is established as this attempt.
    Adopted {
        /// The attempt.
        attempt: AttemptId,
        /// The server.
        server: ServerId,
        /// The caller's name for the call.
        session: Session,
    },
    /// Send a message to another front.
    SendToPeer {
        /// Ordinal of the receiving front.
        to: u32,
        /// The message.
        payload: Vec<u8>,
    },
    /// Subscribe to the server list, or renew the subscription.
    Subscribe,
    /// Write a line to the log.
    Log(String),
}
