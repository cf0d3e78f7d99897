//! The record: one line of JSON for each moment.

use std::io::{BufRead, Write};
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// One line: when, and what.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// Microseconds since the record began.
    pub at: u64,
    /// What.
    #[serde(flatten)]
    pub event: RecordEvent,
}

/// What stand-ins see. A call is named by its owner and session, "owner|session", at both ends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "moment", rename_all = "kebab-case")]
#[allow(missing_docs)]
pub enum RecordEvent {
    /// A caller offers a call to a front. `first` is the call that it repeats, if it is dialled again.
    Offer {
        front: u32,
        call: String,
        first: Option<String>,
        class: usize,
        publisher: usize,
        hot: bool,
        #[serde(rename = "gives_up_us")]
        caller_timeout_us: u64,
    },
    /// The caller says the same request again.
    #[serde(rename = "again")]
    Retransmit { front: u32, call: String },
    /// A caller reads its final answer.
    Answer { front: u32, call: String, code: u32 },
    /// A caller gives up unanswered.
    #[serde(rename = "give-up")]
    CallerTimeout { front: u32, call: String },
    /// A caller releases.
    Hangup { front: u32, call: String },
    /// A caller is told that its call was cut.
    #[serde(rename = "cut")]
    Dropped { front: u32, call: String },
    /// A caller's connection ended.
    #[serde(rename = "parted")]
    ClientDisconnected { front: u32, client: String },
    /// A server reads a set-up.
    SetUp { server: u16, front: u32, call: String, attempt: String, redirected: bool },
    /// A server answers a set-up.
    Reply { server: u16, attempt: String, code: u32, lost: bool },
    /// A server cuts a call, or what it takes for one.
    Abort { server: u16, attempt: String },
    /// A server reads a release.
    Release { server: u16, attempt: String },
    /// A server reads a watchdog request that it will not answer, or a link begins to hold its answers.
    #[serde(rename = "mute")]
    Unresponsive { server: u16, front: u32 },
    /// A server, or the link that held its answers, goes on.
    #[serde(rename = "speaks")]
    Responsive { server: u16, front: u32 },
    /// A client's way to its front begins to hold what it carries, or goes on and delivers it.
    Held { client: String, held: bool },
    /// The connection between a front and a server ended.
    #[serde(rename = "unlinked")]
    Disconnected { server: u16, front: u32 },
    /// A front was told that a server is ready, or not: by the list, or by the server itself.
    #[serde(rename = "told")]
    ReadinessReported { server: u16, front: u32, ready: bool, by_list: bool },
    /// A server's process starts.
    #[serde(rename = "start")]
    ServerStarted { server: u16, cold: bool },
    /// A server's process ends.
    #[serde(rename = "die")]
    ServerExited { server: u16 },
    /// A cold server was sent more than it can do: rule 4.
    #[serde(rename = "fall")]
    ServerOverloaded { server: u16 },
    /// A front's process stands still from now on for so long.
    Stall { front: u32, us: u64 },
    /// A client's transport loses messages: an answer given in time may be read late.
    Lossy { client: String },
    /// A caller's request goes under this transaction, by a transport that may lose it.
    #[serde(rename = "asks")]
    RequestSent { call: String, transaction: u32 },
    /// A datagram with a client's request, or with a reply to it, was carried or lost.
    Datagram { client: String, to_front: bool, transaction: u32, lost: bool },
    /// The record ends here, whole.
    End,
    /// A front's process is killed.
    #[serde(rename = "killed")]
    FrontKilled { front: u32 },
    /// A front's process serves, after one that was killed or told to end.
    #[serde(rename = "started")]
    FrontStarted { front: u32 },
    /// A front's set-up of a call, or without one its release of an attempt, entered a way to a server; read there
    /// later.
    Sent { server: u16, front: u32, call: Option<String>, attempt: String },
    /// A set-up entered a way that holds nothing; read at the server, if it runs.
    Entered { server: u16, attempt: String },
    /// A connection from a front to a server came up on the net between them.
    #[serde(rename = "linked")]
    LinkUp { server: u16, front: u32 },
    /// Such a connection is no more, on the net.
    #[serde(rename = "parting")]
    LinkDown { server: u16, front: u32 },
    /// A datagram from one front to another entered the net.
    #[serde(rename = "word")]
    GossipSent { from: u32, to: u32, bytes: usize },
    /// A fault of the day begins, and is over at a time.
    Fault { what: String, over: u64 },
}

/// The machine's monotonic clock, in microseconds: the same for all its processes, whatever their own clocks say.
pub fn monotonic() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// Who takes lines out of a process as they come.
type Tap = Box<dyn FnMut(&RecordEntry) + Send>;

/// Where a recorder's lines go.
enum Kept {
    Here(Vec<RecordEntry>),
    Told(Tap),
}

/// Collects lines from all stand-ins of a run, with one clock.
pub struct Recorder {
    origin: u64,
    kept: Mutex<Kept>,
}

impl std::fmt::Debug for Recorder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Recorder").field("origin", &self.origin).finish_non_exhaustive()
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Self { origin: monotonic(), kept: Mutex::new(Kept::Here(Vec::new())) }
    }
}

impl Recorder {
    /// One of a process whose lines another one keeps: `tap` hears each as it is put, before what it tells of goes
    /// on. Guards against a record that a killed process takes with it.
    pub fn forwarding(origin: u64, tap: impl FnMut(&RecordEntry) + Send + 'static) -> Self {
        Self { origin, kept: Mutex::new(Kept::Told(Box::new(tap))) }
    }

    /// The moment of [`monotonic`] that its times count from.
    pub fn origin(&self) -> u64 {
        self.origin
    }

    /// Microseconds since the record began.
    pub fn now(&self) -> u64 {
        monotonic().saturating_sub(self.origin)
    }

    /// Adds a moment, now.
    pub fn put(&self, moment: RecordEvent) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        // The clock is read under the lock: lines are in order of time.
        let line = RecordEntry { at: self.now(), event: moment };
        match &mut *kept {
            Kept::Here(lines) => lines.push(line),
            Kept::Told(tap) => tap(&line),
        }
    }

    /// Adds a line that another process put, by the same clock.
    pub fn add(&self, line: RecordEntry) {
        match &mut *self.kept.lock().unwrap_or_else(PoisonError::into_inner) {
            Kept::Here(lines) => lines.push(line),
            Kept::Told(tap) => tap(&line),
        }
    }

    /// All lines so far, in order of time; none where they are told elsewhere.
    pub fn lines(&self) -> Vec<RecordEntry> {
        let mut lines = match &*self.kept.lock().unwrap_or_else(PoisonError::into_inner) {
            Kept::Here(lines) => lines.clone(),
            Kept::Told(_) => Vec::new(),
        };
        // Stable: what one process put in one microsecond stays in its order.
        lines.sort_by_key(|line| line.at);
        lines
    }
}

/// Writes a record, a line of JSON for each moment, and a last one that says that it is whole.
///
/// # Errors
/// Those of the writer.
pub fn write_record(lines: &[RecordEntry], to: impl Write) -> std::io::Result<()> {
    let mut to = std::io::BufWriter::new(to);
    for line in lines {
        serde_json::to_writer(&mut to, line)?;
        to.write_all(b"\n")?;
    }
    if lines.last().is_none_or(|line| line.event != RecordEvent::End) {
        let at = lines.last().map_or(0, |line| line.at);
        serde_json::to_writer(&mut to, &RecordEntry { at, event: RecordEvent::End })?;
        to.write_all(b"\n")?;
    }
    to.flush()
}

/// Why a record cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The file cannot be read.
    #[error("line {line}: {error}")]
    Io {
        /// From 1.
        line: usize,
        /// Why.
        error: std::io::Error,
    },
    /// A line is none of a record's.
    #[error("line {line}: {error}")]
    Line {
        /// From 1.
        line: usize,
        /// Why.
        error: serde_json::Error,
    },
    /// There is no call in it: nothing was shown.
    #[error("the record is empty: it shows no call, and so no rule kept")]
    Empty,
    /// Its last line is not there.
    #[error(
        "the record is truncated after line {line}: its last line, which says that it is whole, is missing"
    )]
    Truncated {
        /// From 1.
        line: usize,
    },
    /// A line is earlier than the one before.
    #[error("line {line}: earlier than the line before")]
    Order {
        /// From 1.
        line: usize,
    },
}

/// Reads a record.
///
/// # Errors
/// The first line that is none, or out of order; a record that is empty, or not whole.
pub fn read_record(from: impl BufRead) -> Result<Vec<RecordEntry>, RecordError> {
    let mut lines: Vec<RecordEntry> = Vec::new();
    for (index, text) in from.lines().enumerate() {
        let line = index + 1;
        let text = text.map_err(|error| RecordError::Io { line, error })?;
        if text.trim().is_empty() {
            continue;
        }
        let next: RecordEntry =
            serde_json::from_str(&text).map_err(|error| RecordError::Line { line, error })?;
        if lines.last().is_some_and(|last| next.at < last.at) {
            return Err(RecordError::Order { line });
        }
        lines.push(next);
    }
    match lines.pop() {
        None => Err(RecordError::Empty),
        Some(RecordEntry { event: RecordEvent::End, .. }) => {
            let calls = lines.iter().any(|line| matches!(line.event, RecordEvent::Offer { .. }));
            calls.then_some(lines).ok_or(RecordError::Empty)
        }
        Some(_) => Err(RecordError::Truncated { line: lines.len() + 1 }),
    }
}
