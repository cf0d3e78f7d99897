//! The types a front exchanges with the decision module: settings, events and actions.
//!
//! They are independent of any wire format and hold no decision logic.

/// A point in time or a time span, in whole microseconds. Each front chooses its own origin.
pub type Micros = u64;

/// Identifies one signalling server. Opaque: equal ids mean the same machine, nothing more.
pub type ServerId = u64;

/// Identifies one call at this front; never reused.
pub type CallId = u32;

/// Largest size of a message between fronts, in bytes.
pub const MESSAGE_MAX: usize = 256;

/// Effect of repeating a set-up that may already have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// No effect: the call may be set up again at any time.
    Safe,
    /// Every server discards repeats within this time of the first send.
    Within(Micros),
    /// A repeat would take effect twice, for example because servers do not share their record of repeats.
    Never,
}

/// One class of calls.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Value of a call that is established within its target time.
    pub worth: f64,
    /// Fraction of that value for a call that is established later.
    pub late_worth: f64,
    /// Target time within which a call should be established.
    pub aim: Micros,
    /// How long a caller keeps trying, counted from the first try.
    pub deadline: Micros,
    /// Effect of repeated set-ups.
    pub repeat: Repeat,
    /// Numbers of the servers that may take calls of the class; `None` for all servers.
    pub servers: Option<Vec<u16>>,
}

/// One tenant and its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Calls a second over all fronts that count with their full worth.
    pub quota_per_s: f64,
}

/// How load reports reach a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportPath {
    /// With answers to set-ups and with probe results.
    Answers,
    /// With probe results only.
    Probes,
    /// Not at all.
    None,
}

/// The configuration of a controller.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of fronts that share the servers, this one included.
    pub fronts: u32,
    /// Index of this front among them, from 0.
    pub ordinal: u32,
    /// This front's own server number if it is an exchange itself; no call is sent there.
    pub own_number: Option<u16>,
    /// The classes, indexed by [`Call::class`].
    pub classes: Vec<Class>,
    /// The tenants, indexed by [`Call::tenant`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// Fraction of its worth that a call beyond its tenant's quota keeps.
    pub over_share_worth: f64,
    /// Largest number of attempts of one call.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether servers may be probed.
    pub may_probe: bool,
    /// Whether fronts may exchange gossip messages.
    pub may_gossip: bool,
    /// Longest retry-after time given to callers, in microseconds; 0 if none may be given.
    pub max_retry_after: Micros,
    /// How load reports reach this front.
    pub reports: ReportPath,
    /// Whether the server list is delivered only on subscription.
    pub subscribe: bool,
    /// Time after which the transport retransmits an unanswered set-up; 0 for never.
    pub retransmit_after: Micros,
    /// Time that must pass after a timeout, reset or cancel before the call is sent again, so that the
    /// earlier attempt is released first.
    pub retry_holdoff: Micros,
    /// Least fraction of its capacity with which a cold server starts.
    pub cold_from: f64,
    /// Longest time until a cold server has warmed up.
    pub warm_up_time: Micros,
    /// Multiple of its current capacity above which a cold server fails, if the load lasts for `fall_time`.
    pub fall_multiple: f64,
    /// How long a load above `fall_multiple` must last for a cold server to fail.
    pub fall_time: Micros,
}

impl Settings {
    /// The longest deadline of a class.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or(0)
    }

    /// Validates the settings.
    ///
    /// # Errors
    /// Names the first setting that is out of its range.
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
            ("a tenant's quota", self.tenants.iter().all(|t| sane(t.quota_per_s))),
            ("the over-share worth", sane(self.over_share_worth)),
            ("the cold-start fraction", (0.0..=1.0).contains(&self.cold_from)),
            ("the cold-start multiple", sane(self.fall_multiple)),
        ];
        match ranges.iter().find(|(_, good)| !good) {
            Some((what, _)) => Err(SettingsError::OutOfRange(what)),
            None => Ok(()),
        }
    }
}

/// Reports invalid settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// A count that must be at least 1 is 0.
    Zero(&'static str),
    /// A value is negative, not finite or out of its range.
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

/// A server's state in the server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ServerState {
    /// Accepts calls.
    #[default]
    Ready,
    /// Completes its calls and receives no new ones.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the server list.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The server.
    pub server: ServerId,
    /// Its server number, to which [`Call::first_choice`] refers.
    pub number: u16,
    /// Its state.
    pub state: ServerState,
    /// When its process last started; `None` if that is long ago.
    pub started_at: Option<Micros>,
}

/// Meaning of the entries in a list event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Delta,
    /// The complete list: servers missing from it are gone.
    Full,
    /// A subscription or request failed; the previous list remains valid.
    Failed,
}

/// A load report of a server; values that were not reported are `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Report {
    /// Free circuits towards the server.
    pub free: Option<f64>,
    /// All circuits towards the server.
    pub circuits: Option<f64>,
    /// Set-ups in progress.
    pub in_flight: Option<f64>,
    /// Set-ups waiting at the processor.
    pub queue: Option<f64>,
    /// Utilisation of the processor, 0 to 1.
    pub busy: Option<f64>,
    /// Wait at the processor, in seconds.
    pub wait_s: Option<f64>,
    /// New set-ups a second that the server can accept from all senders together.
    pub rate: Option<f64>,
    /// Fraction by which each sender is asked to reduce its new set-ups, 0 to 1.
    pub reduction: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The call ended normally, or the probe was answered.
    Ok,
    /// The number was busy, or signalling failed.
    Error,
    /// Refused for lack of a circuit or because the processor was full. Never ran.
    Full,
    /// No answer within the timeout; may have run.
    Timeout,
    /// No connection could be established. Never ran.
    ConnectFailed,
    /// The connection was reset; may have run.
    Reset,
    /// Cancelled by this front; may have run.
    Cancelled,
    /// Never sent, and so never ran.
    Moot,
}

/// Details of an outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    /// No details.
    None,
    /// No circuit was free.
    NoLine,
    /// The server's processor was full; with the wait that it reports, or 0.
    ProcessorFull(Micros),
    /// Every line of the dialled number is busy.
    NumberBusy,
}

/// A call as it arrives at the front.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Call {
    /// Identifier of the call.
    pub id: CallId,
    /// Index of its class in [`Settings::classes`].
    pub class: usize,
    /// Index of its tenant in [`Settings::tenants`].
    pub tenant: usize,
    /// The dialled number; 0 for none.
    pub number: u64,
    /// Time until the caller abandons this call.
    pub caller_timeout: Micros,
    /// Number of the preferred server, or of the destination.
    pub first_choice: Option<u16>,
    /// Whether the call is a redial; `None` where callers do not mark redials.
    pub redial: Option<bool>,
    /// Whether the call is in transit, so that only its destination may take it.
    pub in_transit: bool,
    /// Whether the call was established, then dropped, and is now being set up again.
    pub was_dropped: bool,
}

/// Input of a controller.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The server list, or changes to it.
    List(ListKind, Vec<Entry>),
    /// A new call.
    Call(Call),
    /// A call was established.
    Established {
        /// The call.
        call: CallId,
        /// Index of the attempt, from 0.
        attempt: u16,
        /// The server of the attempt.
        server: ServerId,
        /// Time since the attempt was sent.
        lag: Micros,
    },
    /// An attempt ended; reported exactly once for each attempt.
    Ended {
        /// The call.
        call: CallId,
        /// Index of the attempt.
        attempt: u16,
        /// The server of the attempt.
        server: ServerId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Time since the attempt was sent.
        lag: Micros,
        /// Whether the caller already has its final answer.
        complete: bool,
        /// Details of the outcome.
        note: Note,
        /// The load report that came with it.
        report: Report,
    },
    /// The caller disconnected or the call is over; no answer is due.
    Abandoned(CallId),
    /// The result of a probe, or an unsolicited load report.
    Probed {
        /// The server.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// Time since the probe was sent; 0 if unsolicited.
        lag: Micros,
        /// The load report.
        report: Report,
    },
    /// A gossip message from another front.
    PeerMessage {
        /// Index of that front.
        from: u32,
        /// The message.
        payload: Vec<u8>,
    },
    /// This front's remaining part of a cold server's budget, where fronts share one. Valid until the next.
    BudgetShare {
        /// The server.
        server: ServerId,
        /// Set-ups a second.
        per_s: f64,
    },
    /// A timer set by [`Action::Timer`] is due; with its token.
    Timer(u64),
}

/// A controller's view of one server, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerView {
    /// The server.
    pub server: ServerId,
    /// Its number.
    pub number: u16,
    /// Its state in the server list.
    pub state: ServerState,
    /// The reject fraction.
    pub alpha: f64,
    /// Number of set-ups sent and not yet answered.
    pub unanswered: u32,
    /// The newest load report and the time of its receipt; 0 for never.
    pub report: (Report, Micros),
    /// The wait last observed from set-up times, in seconds, and the time of that observation.
    pub seen: (f64, Micros),
    /// Start of its warm-up.
    pub cold_since: Option<Micros>,
}

/// Output of a controller, to be carried out by the front.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The call.
        call: CallId,
        /// The server to send to.
        server: ServerId,
        /// Time after which the attempt is abandoned as timed out.
        timeout: Micros,
        /// Longest time that the attempt may wait for a connection before it is sent; after that it ends with
        /// [`Outcome::Moot`].
        begin_within: Micros,
    },
    /// Final answer: refused.
    Refuse {
        /// The call.
        call: CallId,
        /// Time after which the caller is advised to retry; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed.
    Fail(CallId),
    /// Cancel an attempt.
    Cancel {
        /// The call.
        call: CallId,
        /// Index of the attempt.
        attempt: u16,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Send a gossip message to another front.
    SendPeerMessage {
        /// Index of that front.
        to: u32,
        /// The message.
        payload: Vec<u8>,
    },
    /// Subscribe to the server list.
    Subscribe,
    /// Wake the controller at a time, with a token.
    Timer {
        /// The wake-up time.
        at: Micros,
        /// Returned with [`Event::Timer`].
        token: u64,
        /// The call that the timer is for. Once that call has its final answer, the timer has no effect and
        /// may be dropped.
        call: Option<CallId>,
    },
    /// Write a line to the log.
    Log(String),
}
