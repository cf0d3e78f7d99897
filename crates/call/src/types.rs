//! What a driver tells the engine and what the engine asks of it.

use std::sync::Arc;

use baydrift::interface::{CallId, Entry, ListKind, Micros, Note, Outcome, Report, ServerId};

/// One transport connection of a client. Never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// One set-up of a call at one server. Never used twice by a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// A call as its caller names it: the caller's identity and the id that it chose.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Session {
    /// Who owns the call. Only it may release or repeat it.
    pub owner: Arc<str>,
    /// Its id for the call, unique with it for ever.
    pub id: Arc<str>,
}

/// Where one request waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request {
    /// The link it came by.
    pub link: LinkId,
    /// The driver's own mark of it.
    pub ticket: u64,
}

/// A call that a client offers.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer<P> {
    /// Its name.
    pub session: Session,
    /// Where the answer goes.
    pub request: Request,
    /// Index of its class.
    pub class: usize,
    /// Index of its customer.
    pub tenant: usize,
    /// The number dialled; 0 for none.
    pub number: u64,
    /// Number of the server of first choice.
    pub first_choice: Option<u16>,
    /// The caller gives up after so long.
    pub caller_timeout: Micros,
    /// Whether it is dialled again, where callers mark that.
    pub redial: Option<bool>,
    /// It stood, was cut and comes again.
    pub was_dropped: bool,
    /// It may have been said before, perhaps to a process that ran here before this one.
    pub said: Said,
    /// What the driver wants back with each set-up; dropped with the final answer.
    pub payload: P,
}

/// Whether an offer may have been made to a process that ran here before this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Said {
    /// It is made for the first time.
    Once,
    /// Its client marks it as made before. It says so when its caller leaves.
    Again,
    /// Nobody can tell, and nothing is said when its caller leaves.
    Perhaps,
}

/// How an attempt ended without standing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptEnd {
    /// How.
    pub outcome: Outcome,
    /// A further word.
    pub note: Note,
    /// The load report that came along.
    pub report: Report,
}

/// Whether a server that came up is the process that it was (RFC 6733, section 8.16).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Process {
    /// It tells the same origin state as before, or this is the first time.
    Same,
    /// It tells another: it forgot all calls, and is cold.
    New,
    /// It tells none: its calls may stand, but it may be cold.
    Unknown,
}

/// A server's link as the watchdog and the transport see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// Usable.
    Up(Process),
    /// A watchdog is unanswered: nothing new is sent, what is out goes elsewhere (RFC 3539, section 3.4.1).
    Suspect,
    /// No connection.
    Down,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Input<P> {
    /// A client offers a call, or the same call again.
    Offered(Offer<P>),
    /// A caller releases a call, standing or still in set-up.
    Released {
        /// The call.
        session: Session,
        /// Where the answer goes.
        request: Request,
    },
    /// A caller asks whether a call stands.
    Refreshed {
        /// The call.
        session: Session,
        /// Where the answer goes.
        request: Request,
    },
    /// A client's link came up. All calls of an owner that `restarted` are released.
    ClientUp {
        /// The link.
        link: LinkId,
        /// Whose.
        owner: Arc<str>,
        /// Its process is another than before.
        restarted: bool,
    },
    /// A client's link is lost, with whatever waited there.
    ClientDown(LinkId),
    /// A set-up stands.
    Stands {
        /// Which.
        attempt: AttemptId,
        /// The load report on the answer.
        report: Report,
    },
    /// A set-up ended otherwise.
    Ended {
        /// Which.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
    },
    /// The server cuts a call that stands, or a set-up.
    Cut {
        /// Which.
        attempt: AttemptId,
        /// The load report on it.
        report: Report,
    },
    /// The server ends a call that stands, as it should end.
    Over {
        /// Which.
        attempt: AttemptId,
        /// The load report on it.
        report: Report,
    },
    /// A call that stands at a server already, set up by another process, is taken over from here.
    Adopted {
        /// The call.
        session: Session,
        /// Index of its class.
        class: usize,
        /// Where it stands.
        server: ServerId,
    },
    /// The server answered a release.
    ReleaseDone {
        /// Of which attempt.
        attempt: AttemptId,
        /// The load report on the answer.
        report: Report,
    },
    /// A server's link changed.
    ServerLink {
        /// The server.
        server: ServerId,
        /// To what.
        state: LinkState,
    },
    /// A server said itself that it drains.
    Drains(ServerId),
    /// Unasked news of a server's load.
    News {
        /// The server.
        server: ServerId,
        /// The report.
        report: Report,
    },
    /// The pool list.
    List(ListKind, Vec<Entry>),
    /// A message from another front.
    Peer {
        /// Its ordinal.
        from: u32,
        /// What it said.
        payload: Vec<u8>,
    },
    /// Time has passed.
    Tick,
    /// The front stops: what is undecided is answered, nothing new is taken.
    Stop,
    /// The front can wait no longer: calls that stand are cut at both ends.
    CutAll,
}

/// What is known of a call by its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Known {
    /// In set-up.
    InSetUp,
    /// It stands.
    Standing,
    /// Answered or over, and still remembered.
    Over,
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The module's decision.
    Decided,
    /// A bound of the engine's is reached.
    Bound,
    /// The front stops.
    Stopping,
    /// The front has just started, and cannot know whether the call is out already.
    JustStarted,
}

/// The final answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Final {
    /// It stands.
    Stands,
    /// Turned away, with advice to stay away so long (0: none).
    Refused {
        /// Stay-away advice.
        retry_after: Micros,
        /// Why.
        why: Refusal,
    },
    /// Failed.
    Failed,
}

/// What a request to release is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseResult {
    /// It is over.
    Done,
    /// No such call.
    Unknown,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output<P> {
    /// Set a call up at a server.
    SetUp {
        /// The attempt.
        attempt: AttemptId,
        /// Where.
        server: ServerId,
        /// Which call, for logs.
        call: CallId,
        /// Which attempt of the call, from 0.
        index: u16,
        /// Index of its class.
        class: usize,
        /// It is given up after so long.
        timeout: Micros,
        /// And not begun later than this, should it have to wait for a connection.
        begin_within: Micros,
        /// The caller's name for it.
        session: Session,
        /// The offer's payload.
        payload: P,
    },
    /// Release an attempt at its server.
    Release {
        /// The attempt.
        attempt: AttemptId,
        /// Where.
        server: ServerId,
        /// Index of its class.
        class: usize,
    },
    /// Give a request its final answer.
    Answer {
        /// Which.
        request: Request,
        /// The caller's name for the call.
        session: Session,
        /// The answer.
        answer: Final,
    },
    /// Answer a request to release.
    AnswerRelease {
        /// Which.
        request: Request,
        /// The caller's name for the call.
        session: Session,
        /// The answer.
        result: ReleaseResult,
    },
    /// A request will not be answered: the same call was asked for too often at once.
    Dropped(Request),
    /// Tell a caller that its standing call was cut.
    Cut {
        /// Its link.
        link: LinkId,
        /// The call.
        session: Session,
        /// Index of its class.
        class: usize,
    },
    /// A standing call has come to its end, and its owner has no link that the engine knows: whoever routes by
    /// call tells the caller.
    Over {
        /// The call.
        session: Session,
        /// `Ok` where it ended as it should, else cut.
        outcome: Outcome,
    },
    /// A call was taken over; it stands as this attempt.
    Adopted {
        /// The attempt.
        attempt: AttemptId,
        /// Where.
        server: ServerId,
        /// The caller's name for the call.
        session: Session,
    },
    /// Send a message to another front.
    Tell {
        /// Its ordinal.
        to: u32,
        /// What to say.
        payload: Vec<u8>,
    },
    /// Subscribe to the pool list, again if need be.
    Watch,
    /// A line for the log.
    Log(String),
}
