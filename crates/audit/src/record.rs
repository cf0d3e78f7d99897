//! The record: one line of JSON per event.

use std::io::{BufRead, Write};
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// One line of the record: an event and its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// Microseconds since the record began.
    pub at: u64,
    /// The event; its fields are written beside `at`.
    #[serde(flatten)]
    pub event: RecordEvent,
}

/// An event that a test double observed. Both ends name a call by its owner and session, "owner|session".
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "moment", rename_all = "kebab-case")]
#[allow(missing_docs)]
pub enum RecordEvent {
    /// A caller offers a call to a front. For a redial, `first` is the caller's first call.
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
    /// A caller retransmits a request.
    #[serde(rename = "again")]
    Retransmit { front: u32, call: String },
    /// A caller receives its final answer.
    Answer { front: u32, call: String, code: u32 },
    /// A caller's time-out passes without an answer.
    #[serde(rename = "give-up")]
    CallerTimeout { front: u32, call: String },
    /// A caller releases its call.
    Hangup { front: u32, call: String },
    /// A caller is notified that its established call was dropped.
    #[serde(rename = "cut")]
    Dropped { front: u32, call: String },
    /// A client's connection to its front ended.
    #[serde(rename = "parted")]
    ClientDisconnected { front: u32, client: String },
    /// A server receives a set-up.
    SetUp { server: u16, front: u32, call: String, attempt: String, redirected: bool },
    /// A server answers a set-up; `lost` marks an answer that never reaches its front.
    Reply { server: u16, attempt: String, code: u32, lost: bool },
    /// A server drops a call, or an attempt that it considers a call.
    Abort { server: u16, attempt: String },
    /// A server receives a release.
    Release { server: u16, attempt: String },
    /// A server receives a watchdog request that it will not answer, or a link begins to hold back its
    /// answers.
    #[serde(rename = "mute")]
    Unresponsive { server: u16, front: u32 },
    /// A server answers again, or the link that held back its answers delivers them.
    #[serde(rename = "speaks")]
    Responsive { server: u16, front: u32 },
    /// The path from a client to its front begins to hold back messages, or delivers them again.
    Held { client: String, held: bool },
    /// The connection between a front and a server ended, as seen by the server.
    #[serde(rename = "unlinked")]
    Disconnected { server: u16, front: u32 },
    /// A front received the readiness of a server, from the pool list or from the server itself.
    #[serde(rename = "told")]
    ReadinessReported { server: u16, front: u32, ready: bool, by_list: bool },
    /// A server's process starts; `cold` if it has to warm up.
    #[serde(rename = "start")]
    ServerStarted { server: u16, cold: bool },
    /// A server's process exits.
    #[serde(rename = "die")]
    ServerExited { server: u16 },
    /// A cold server collapsed, as it received more set-ups than it can process: a breach of rule 4.
    #[serde(rename = "fall")]
    ServerOverloaded { server: u16 },
    /// A front's process is suspended for `us` microseconds from now on.
    Stall { front: u32, us: u64 },
    /// A client's transport loses messages, so that an answer sent in time may be received late.
    Lossy { client: String },
    /// A caller's request is sent with this transaction number over a transport that may lose it.
    #[serde(rename = "asks")]
    RequestSent { call: String, transaction: u32 },
    /// A datagram with a client's request, or with a reply to it, was delivered or lost.
    Datagram { client: String, to_front: bool, transaction: u32, lost: bool },
    /// The end of the record; a record without it is truncated.
    End,
    /// A front's process was killed.
    #[serde(rename = "killed")]
    FrontKilled { front: u32 },
    /// A front's process serves again, after the one before was killed or asked to shut down.
    #[serde(rename = "started")]
    FrontStarted { front: u32 },
    /// A front's set-up (with `call`) or release (without) entered the network path to a server, which
    /// receives it later.
    Sent { server: u16, front: u32, call: Option<String>, attempt: String },
    /// A set-up entered a network path that holds back nothing; the server receives it if it runs.
    Entered { server: u16, attempt: String },
    /// A connection from a front to a server was opened, as seen by the network between them.
    #[serde(rename = "linked")]
    LinkUp { server: u16, front: u32 },
    /// A connection from a front to a server was closed, as seen by the network between them.
    #[serde(rename = "parting")]
    LinkDown { server: u16, front: u32 },
    /// A gossip datagram from one front to another entered the network.
    #[serde(rename = "word")]
    GossipSent { from: u32, to: u32, bytes: usize },
    /// A scheduled fault begins; `over` is the time of its end in microseconds.
    Fault { what: String, over: u64 },
}

/// The machine's monotonic clock, in microseconds. All processes share it, even those with a skewed clock of
/// their own.
pub fn monotonic() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// Receives each entry as it is recorded, to send it to another process.
type EntrySink = Box<dyn FnMut(&RecordEntry) + Send>;

/// Where a recorder puts its entries.
enum Storage {
    Local(Vec<RecordEntry>),
    Forwarded(EntrySink),
}

/// Collects the entries of all test doubles of a run, with one clock.
pub struct Recorder {
    origin: u64,
    storage: Mutex<Storage>,
}

impl std::fmt::Debug for Recorder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Recorder").field("origin", &self.origin).finish_non_exhaustive()
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Self { origin: monotonic(), storage: Mutex::new(Storage::Local(Vec::new())) }
    }
}

impl Recorder {
    /// A recorder that stores nothing and passes each entry to `sink`, before the recorded message is
    /// processed further. The entries of a process that is killed are then kept by another process.
    pub fn forwarding(origin: u64, sink: impl FnMut(&RecordEntry) + Send + 'static) -> Self {
        Self { origin, storage: Mutex::new(Storage::Forwarded(Box::new(sink))) }
    }

    /// The value of [`monotonic`] at which the record began.
    pub fn origin(&self) -> u64 {
        self.origin
    }

    /// Microseconds since the record began.
    pub fn now(&self) -> u64 {
        monotonic().saturating_sub(self.origin)
    }

    /// Records an event at the current time.
    pub fn put(&self, event: RecordEvent) {
        let mut storage = self.storage.lock().unwrap_or_else(PoisonError::into_inner);
        // The clock is read under the lock, so that the entries are in order of time.
        let entry = RecordEntry { at: self.now(), event };
        match &mut *storage {
            Storage::Local(entries) => entries.push(entry),
            Storage::Forwarded(sink) => sink(&entry),
        }
    }

    /// Adds an entry that another process recorded with the same clock.
    pub fn add(&self, entry: RecordEntry) {
        match &mut *self.storage.lock().unwrap_or_else(PoisonError::into_inner) {
            Storage::Local(entries) => entries.push(entry),
            Storage::Forwarded(sink) => sink(&entry),
        }
    }

    /// All entries so far, in order of time; empty for a recorder that forwards its entries.
    pub fn lines(&self) -> Vec<RecordEntry> {
        let mut entries = match &*self.storage.lock().unwrap_or_else(PoisonError::into_inner) {
            Storage::Local(entries) => entries.clone(),
            Storage::Forwarded(_) => Vec::new(),
        };
        // A stable sort: entries of one process with the same time stay in order.
        entries.sort_by_key(|entry| entry.at);
        entries
    }
}

/// Writes a record, one line of JSON per entry, and the closing [`RecordEvent::End`].
///
/// # Errors
/// The errors of the writer.
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
        /// Line number, from 1.
        line: usize,
        /// The cause.
        error: std::io::Error,
    },
    /// A line is not a valid entry.
    #[error("line {line}: {error}")]
    Line {
        /// Line number, from 1.
        line: usize,
        /// The cause.
        error: serde_json::Error,
    },
    /// The record has no call, so that it proves nothing.
    #[error("the record is empty: it has no call, so no rule can be checked")]
    Empty,
    /// The closing entry is missing.
    #[error("the record is truncated after line {line}: its closing `end` entry is missing")]
    Truncated {
        /// Line number, from 1.
        line: usize,
    },
    /// An entry is earlier than the one before it.
    #[error("line {line}: earlier than the line before")]
    Order {
        /// Line number, from 1.
        line: usize,
    },
}

/// Reads a record.
///
/// # Errors
/// The first line that cannot be read, is not a valid entry or is out of order; a record without a call, or a
/// truncated one.
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
