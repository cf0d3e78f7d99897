//! The types a front exchanges with the decision module: settings, events and actions.
//!
//! They are the module's own, free of any wire format. Nothing here decides anything.

/// A point in time or a span, in whole microseconds. The origin is the front's own.
pub type Micros = u64;

/// Names one signalling server. Opaque: equal ids mean the same machine, nothing more.
pub type ServerId = u64;

/// Names one call at this front; never used twice.
pub type CallId = u32;

/// Most bytes of a message between fronts.
pub const MESSAGE_MAX: usize = 256;

/// What a repeat of a set-up that may have run already would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Nothing bad: a call may be set up again at will.
    Safe,
    /// Repeats are thrown away by every server within this time of the first send.
    Within(Micros),
    /// A repeat would take effect twice; also when servers share no memory of repeats.
    Never,
}

/// One class of calls.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Worth of a call that stands within its aim.
    pub worth: f64,
    /// Fraction of the worth when it stands later than that.
    pub late_worth: f64,
    /// The call is wanted to stand within this time.
    pub aim: Micros,
    /// Its caller keeps trying for so long, counted from the first try.
    pub deadline: Micros,
    /// What repeats do.
    pub repeat: Repeat,
    /// Numbers of the servers that may take the class; `None` means any.
    pub servers: Option<Vec<u16>>,
}

/// One customer and what is within its share.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Calls a second, over all fronts, that count in full.
    pub quota_per_s: f64,
}

/// How load reports reach a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportPath {
    /// With answers and probe results.
    Answers,
    /// With probe results alone.
    Probes,
    /// Not at all.
    None,
}

/// All that a front tells its controller at start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How many fronts share the servers, this one included.
    pub fronts: u32,
    /// This front's own place among them, from 0.
    pub ordinal: u32,
    /// This front's own number where it is an exchange: never a target.
    pub own_number: Option<u16>,
    /// The classes, in the order that calls name them.
    pub classes: Vec<Class>,
    /// The customers, in the order that calls name them; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a call beyond its customer's share, as a fraction.
    pub over_share_worth: f64,
    /// Attempts that one call may have in all.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether servers may be probed.
    pub may_probe: bool,
    /// Whether fronts may send each other messages.
    pub may_tell_peers: bool,
    /// Longest stay-away advice that callers are given; 0 where none may be given.
    pub max_retry_after: Micros,
    /// How load reports arrive.
    pub reports: ReportPath,
    /// Whether the server list must be subscribed to.
    pub subscribe: bool,
    /// After this, a set-up that waits is repeated by the transport; 0 for never.
    pub resend_after: Micros,
    /// Time that must pass after a time-out, reset or cancel before a call is sent again.
    pub release_guard: Micros,
    /// A cold server starts at this fraction of its capacity or above.
    pub cold_from: f64,
    /// A cold server is warm after this time at most.
    pub ramp_time: Micros,
    /// A cold server sent more than this multiple of its capacity ...
    pub fall_multiple: f64,
    /// ... for this long falls over.
    pub fall_time: Micros,
}

impl Settings {
    /// Whether the figures are such that a controller can work with them.
    ///
    /// # Errors
    /// Names the first figure that is out of its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let sane = |v: f64| v.is_finite() && v >= 0.0;
        let counts = [
            ("fronts", self.fronts as usize),
            ("classes", self.classes.len()),
            ("max attempts", self.max_attempts as usize),
        ];
        if let Some((what, _)) = counts.iter().find(|(_, count)| *count == 0) {
            return Err(SettingsError::Zero(what));
        }
        let ranges = [
            ("a class's worth", self.classes.iter().all(|c| sane(c.worth) && sane(c.late_worth))),
            ("a customer's quota", self.tenants.iter().all(|t| sane(t.quota_per_s))),
            ("the worth over a share", sane(self.over_share_worth)),
            ("the cold start's fraction", (0.0..=1.0).contains(&self.cold_from)),
            ("the cold start's multiple", sane(self.fall_multiple)),
        ];
        match ranges.iter().find(|(_, good)| !good) {
            Some((what, _)) => Err(SettingsError::OutOfRange(what)),
            None => Ok(()),
        }
    }
}

/// Why settings cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// A count that must be at least one is nought.
    Zero(&'static str),
    /// A figure is negative, not finite or out of its range.
    OutOfRange(&'static str),
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Zero(what) => write!(f, "settings: {what} must be at least 1"),
            Self::OutOfRange(what) => write!(f, "settings: {what} is out of range"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// A server's state as the list tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ServerState {
    /// Takes calls.
    #[default]
    Ready,
    /// Finishes what it has; nothing new goes there.
    Draining,
    /// No longer there.
    Gone,
}

/// One line of the server list.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The server.
    pub server: ServerId,
    /// Its number among the servers; calls name their first choice by it.
    pub number: u16,
    /// Its state.
    pub state: ServerState,
    /// When its process last started; `None` when long ago.
    pub started_at: Option<Micros>,
}

/// How to read a list event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Delta,
    /// The whole list: what it lacks is gone.
    Full,
    /// A subscription or request failed; the old list holds.
    Failed,
}

/// A load report; each value only where it was told.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Report {
    /// Free lines towards the server.
    pub free: Option<f64>,
    /// Lines in all.
    pub lines: Option<f64>,
    /// Set-ups in work.
    pub in_work: Option<f64>,
    /// Set-ups waiting at the processor.
    pub queue: Option<f64>,
    /// How busy the processor is, 0 to 1.
    pub busy: Option<f64>,
    /// Wait at the processor, in seconds.
    pub wait_s: Option<f64>,
    /// New set-ups a second that the server can take from all senders.
    pub rate: Option<f64>,
    /// Share of new set-ups that each sender is asked to hold back, 0 to 1.
    pub hold_back: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The call ended as it should; a probe was answered.
    Ok,
    /// The number was busy, or signalling failed.
    Error,
    /// Turned away: no line, or the processor was full. Never ran.
    Full,
    /// No reply in time; may have run.
    Timeout,
    /// No connection. Never ran.
    ConnectFailed,
    /// Cut.
    Reset,
    /// Called off.
    Cancelled,
    /// Not sent at all. Never ran.
    Moot,
}

/// A further word on an outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    /// Nothing further.
    None,
    /// No free line.
    NoLine,
    /// A server's processor was full; with the wait it names, or 0.
    ProcessorFull(Micros),
    /// Every line of the number dialled is busy.
    NumberBusy,
}

/// A call as it is handed to the front.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Call {
    /// Its id.
    pub id: CallId,
    /// Index of its class.
    pub class: usize,
    /// Index of its customer.
    pub tenant: usize,
    /// The number dialled; 0 for none.
    pub number: u64,
    /// The caller gives this try up after so long.
    pub gives_up_in: Micros,
    /// Number of the server of first choice, or of the destination.
    pub first_choice: Option<u16>,
    /// Whether it is dialled again, where callers mark that.
    pub redial: Option<bool>,
    /// In transit: only its destination may take it.
    pub in_transit: bool,
    /// It stood, was cut and comes again.
    pub was_cut: bool,
}

/// What a front tells its controller.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The server list, or changes to it.
    List(ListKind, Vec<Entry>),
    /// A new call.
    Call(Call),
    /// A call stands.
    Stands {
        /// The call.
        call: CallId,
        /// Which attempt, counted from 0.
        attempt: u16,
        /// At which server.
        server: ServerId,
        /// Time since it was sent.
        lag: Micros,
    },
    /// An attempt ended; once for each attempt.
    Ended {
        /// The call.
        call: CallId,
        /// Which attempt.
        attempt: u16,
        /// At which server.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// Time since it was sent.
        lag: Micros,
        /// The caller has its final answer already.
        complete: bool,
        /// A further word.
        note: Note,
        /// The load report that came along.
        report: Report,
    },
    /// The caller left, or the call is over; nothing is owed for it.
    Abandoned(CallId),
    /// A probe's result, or news of a server's lines.
    Probed {
        /// The server.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// Time since it was sent; 0 when unasked.
        lag: Micros,
        /// The load report.
        report: Report,
    },
    /// A message from another front.
    Peer {
        /// Its ordinal.
        from: u32,
        /// What it said.
        payload: Vec<u8>,
    },
    /// What is left to this front of a cold server's budget, where fronts share one: it holds until the next.
    Share {
        /// The server.
        server: ServerId,
        /// Set-ups a second.
        per_s: f64,
    },
    /// A timer that the controller asked for.
    Timer(u64),
}

/// What a controller believes of one server, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Belief {
    /// The server.
    pub server: ServerId,
    /// Its number.
    pub number: u16,
    /// Its state as told.
    pub state: ServerState,
    /// The reject fraction.
    pub alpha: f64,
    /// Set-ups sent and unanswered.
    pub unanswered: u32,
    /// The newest load report, and when it was heard; 0 for never.
    pub report: (Report, Micros),
    /// The wait last seen by set-up times, in seconds, and when.
    pub seen: (f64, Micros),
    /// Since when it counts as cold.
    pub cold_since: Option<Micros>,
}

/// What the controller asks of the front.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The call.
        call: CallId,
        /// Where to.
        server: ServerId,
        /// Give it up after so long.
        timeout: Micros,
        /// Do not begin it later than this, should it have to wait for a connection: it ends as moot then.
        begin_within: Micros,
    },
    /// Final answer: turned away, with advice to stay away so long (0: none).
    Refuse {
        /// The call.
        call: CallId,
        /// Stay-away advice.
        retry_after: Micros,
    },
    /// Final answer: failed.
    Fail(CallId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The call.
        call: CallId,
        /// Which attempt.
        attempt: u16,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Send a message to another front.
    TellPeer {
        /// Its ordinal.
        to: u32,
        /// What to say.
        payload: Vec<u8>,
    },
    /// Subscribe to the server list.
    Watch,
    /// Wake the controller at a time, with a token.
    Timer {
        /// When.
        at: Micros,
        /// Returned with [`Event::Timer`].
        token: u64,
    },
    /// A line for the log.
    Log(String),
}
