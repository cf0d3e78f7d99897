//! The front node's state machine: takes timestamped inputs and returns outputs. It does no I/O, reads no
//! clock and draws random numbers only from a seeded generator.
//!
//! `callers` holds callers' connections and the set-ups received on them, `servers` the
//! connections to signalling servers and the attempts on them, `discovery` the queries to the name
//! server. Every decision is made by the call engine and the decision module behind it; this
//! module routes messages to and from the right connection.

mod batch;
mod callers;
mod diagnostics;
mod discovery;
mod expiring;
mod pool_limit;
mod servers;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use baydrift::interface::{ListKind, Micros, ServerId};
use baydrift_call::{
    AttemptId, Engine, EngineError, Final, Input as EngineInput, Limits, LinkId, Output as EngineOutput,
    Session,
};
use baydrift_platform::{CallId, Message, ServerList};
use bytes::Bytes;

pub use batch::sort_batch;
pub use servers::ConnId;

use crate::config::Config;

/// Interval between checks of connections for timeouts.
const CHECK_INTERVAL: Micros = 50_000;
/// Time after SIGTERM during which new connections and set-ups are still accepted, where the deadline for the
/// kill allows it. The platform redirects callers within 0.6 s.
const ACCEPT_AFTER_STOP: Micros = 900_000;
/// Time between the longest class deadline after SIGTERM and the earliest SIGKILL by the platform.
const KILL_GRACE: Micros = 700_000;
/// Upper bound of the class deadline that counts towards the time of the SIGKILL.
const COUNTED_DEADLINE_MAX: Micros = 3_000_000;
/// Time before the SIGKILL at which open set-ups are answered, so that the last bytes can still be sent.
const FINAL_ANSWER_LEAD: Micros = 300_000;
/// Minimum time between the end of accepting and the exit, in which connections
/// from the kernel's accept queue are read.
const POST_LISTEN_TIME: Micros = 100_000;
/// Maximum number of answered calls that are remembered, so that a reused call id is refused.
const ANSWER_CACHE_MAX: usize = 4_096;
/// How long an answered call is remembered.
const ANSWER_CACHE_TTL: Micros = 10_000_000;
/// Maximum number of calls held at once, in set-up or established, whatever
/// the settings allow: a few megabytes.
const CALLS_MAX: u32 = 6_000;
/// Maximum number of established calls that callers have announced. Separate from [`CALLS_MAX`]: callers may announce
/// calls that no server knows, which must not use up the room for new calls.
const ANNOUNCED_CALLS_MAX: usize = 3_000;
/// Maximum number of calls in set-up on one caller's connection.
const SET_UPS_PER_LINK_MAX: usize = 1_000;

/// An event for the front node.
#[derive(Debug)]
pub enum Input {
    /// A caller connected.
    CallerUp(LinkId, IpAddr),
    /// A caller sent a message.
    FromCaller(LinkId, Message),
    /// A caller sent a set-up, and released it or disconnected before it was processed.
    Withdrawn(LinkId),
    /// An incomplete message was received from a caller.
    CallerPartial(LinkId),
    /// A caller's connection ended, or its data cannot be parsed.
    CallerDown(LinkId),
    /// A connection to a signalling server is up.
    ServerUp(ConnId),
    /// A dial failed. `true`: the connection was refused, so no process is listening there.
    DialFailed(ConnId, bool),
    /// A signalling server sent a message.
    FromServer(ConnId, Message),
    /// An incomplete message was received from a signalling server.
    ServerPartial(ConnId),
    /// An established connection to a signalling server ended, or its data cannot be parsed.
    ServerDown(ConnId),
    /// A datagram from the name server.
    DiscoveryAnswer(Vec<u8>),
    /// A datagram from another front node.
    Peer(u32, Vec<u8>),
    /// The name server's address has changed.
    NameServerChanged,
    /// SIGTERM was received.
    Stop,
    /// A timer is due.
    Tick,
}

impl AsRef<Self> for Input {
    fn as_ref(&self) -> &Self {
        self
    }
}

impl AsMut<Self> for Input {
    fn as_mut(&mut self) -> &mut Self {
        self
    }
}

/// An action for the transport, to be executed in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Write to a caller.
    ToCaller(LinkId, Vec<u8>),
    /// Close a caller's connection.
    CloseCaller(LinkId),
    /// Connect to a signalling server.
    Dial(ConnId, SocketAddr),
    /// Write to a signalling server.
    ToServer(ConnId, Vec<u8>),
    /// Close a signalling server's connection, or stop dialling it.
    CloseServer(ConnId),
    /// Send a query to the name server.
    Query {
        /// The encoded query.
        query: Vec<u8>,
        /// Send it from a new port, since queries from the present one stay unanswered.
        new_port: bool,
    },
    /// Send a datagram to another front node.
    ToPeer(u32, Vec<u8>),
    /// Accept no new connections.
    StopAccepting,
    /// Every set-up is answered: end the process.
    Exit,
}

/// The connection to which messages on a call are sent.
#[derive(Debug, Clone, Copy)]
struct Caller {
    link: LinkId,
    ip: Option<IpAddr>,
    established: bool,
    /// The call was announced as established.
    announced: bool,
    /// Memory held by its set-up until it is answered.
    bytes: usize,
}

/// An in-flight attempt at a signalling server, or the call established by it.
#[derive(Debug)]
struct Attempt {
    server: ServerId,
    call: CallId,
    /// The connection that its set-up was written on; `None` while it waits for one.
    conn: Option<ConnId>,
    /// What that connection tells of the server's process; `None` before, and for a call that was announced.
    origin: Option<servers::ConnOrigin>,
    established: bool,
    /// When its set-up was written, or the call was adopted.
    started_at: Micros,
    /// The set-up, until it is written.
    pending: Option<PendingSetUp>,
}

/// A set-up that waits for a connection.
#[derive(Debug)]
struct PendingSetUp {
    payload: Payload,
    queued_at: Micros,
    /// When the attempt times out.
    timeout_at: Micros,
    /// The latest time at which the attempt may start.
    begin_by: Micros,
}

/// The parts of an offer that the engine stores and returns with each attempt.
#[derive(Debug, Clone, PartialEq)]
struct Payload {
    class: Bytes,
    number: Option<Bytes>,
    description: Bytes,
}

/// Counts for the log.
#[derive(Debug, Default)]
struct Counts {
    /// Set-ups refused as invalid.
    unusable: u64,
    /// Callers' connections closed by this node.
    closed: u64,
    /// Connections to signalling servers that broke with unanswered set-ups on them.
    broken: u64,
    /// Signalling servers' processes that were considered dead.
    lost: u64,
}

/// The front node.
pub struct Node {
    engine: Engine<Payload>,
    now: Micros,
    site: baydrift::config::SiteConfig,
    /// The longest class deadline.
    longest_wait: Micros,
    owner: Arc<str>,
    fleet: ServerList,
    calls: BTreeMap<CallId, Caller>,
    /// Memory held by all unanswered set-ups.
    set_up_bytes: usize,
    links: BTreeMap<LinkId, callers::Link>,
    /// Maximum number of callers' connections.
    links_max: usize,
    undelivered_ends: callers::UndeliveredEnds,
    attempts: BTreeMap<AttemptId, Attempt>,
    servers: servers::Servers,
    discovery: discovery::Discovery,
    /// Time after which a dial has failed.
    dial_timeout: Micros,
    /// The session description of the answer that is being handled.
    answer: Option<Bytes>,
    /// Time of SIGTERM.
    stopped_at: Option<Micros>,
    /// When accepting of connections was stopped.
    accept_stopped_at: Option<Micros>,
    /// Time of the last periodic checks.
    checked_at: Micros,
    counts: Counts,
    attempt_counts: diagnostics::AttemptCounts,
}

impl Node {
    /// Creates a front node without connections.
    ///
    /// # Errors
    /// When a setting is out of range.
    pub fn new(config: &Config) -> Result<Self, EngineError> {
        let max_open = if config.site.max_open == 0 { CALLS_MAX } else { config.site.max_open };
        let limits = Limits {
            calls: max_open.min(CALLS_MAX) as usize,
            adopted_calls: (max_open as usize).min(ANNOUNCED_CALLS_MAX),
            in_set_up_per_link: SET_UPS_PER_LINK_MAX,
            cached_answers: ANSWER_CACHE_MAX,
            cached_answer_ttl: ANSWER_CACHE_TTL,
            servers: baydrift_platform::server_list::SERVERS_MAX,
            // A server's reply to a release has no meaning.
            release_timeout: 0,
            drain_grace: config.site.grace,
            ..Limits::default()
        };
        let conn_limits = servers::ConnLimits::of(config);
        Ok(Self {
            engine: Engine::new(config.settings.clone(), limits, config.seed)?,
            now: 0,
            longest_wait: config.settings.longest_deadline(),
            site: config.site.clone(),
            owner: Arc::from("callers"),
            fleet: config.known.clone(),
            calls: BTreeMap::new(),
            set_up_bytes: 0,
            links: BTreeMap::new(),
            links_max: config.sockets - conn_limits.reserved(),
            undelivered_ends: callers::UndeliveredEnds::new((
                callers::UNDELIVERED_ENDS_MAX,
                callers::UNDELIVERED_ENDS_TTL,
            )),
            attempts: BTreeMap::new(),
            servers: servers::Servers::new(conn_limits),
            discovery: discovery::Discovery::new(config.seed),
            dial_timeout: config.dial_timeout(),
            answer: None,
            stopped_at: None,
            accept_stopped_at: None,
            checked_at: 0,
            counts: Counts::default(),
            attempt_counts: diagnostics::AttemptCounts::default(),
        })
    }

    /// Applies the server list of the configuration and dials the servers that are ready.
    pub fn start(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.now = now;
        self.apply_list(out);
        self.run_checks(out);
    }

    /// Handles one input. Timers that are due wait for the next [`Input::Tick`], so that inputs that have
    /// arrived are handled before timers fire.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::CallerUp(link, ip) => self.caller_up(link, ip, out),
            Input::FromCaller(link, message) => self.handle_caller_message(link, message, out),
            Input::Withdrawn(link) => self.withdrawn(link),
            Input::CallerPartial(link) => self.caller_partial(link),
            Input::CallerDown(link) => self.caller_down(link, out),
            Input::ServerUp(conn) => self.server_up(conn, out),
            Input::DialFailed(conn, refused) => self.dial_failed(conn, refused, out),
            Input::FromServer(conn, message) => self.handle_server_message(conn, &message, out),
            Input::ServerPartial(conn) => self.servers.partial_message(conn, self.now),
            Input::ServerDown(conn) => self.server_down(conn, out),
            Input::DiscoveryAnswer(bytes) => {
                if let Some(listed) = self.discovery.read_answer(self.now, &bytes) {
                    if self.fleet.update(listed) {
                        self.apply_list(out);
                    }
                }
            }
            Input::Peer(from, payload) => self.apply_to_engine(EngineInput::Peer { from, payload }, out),
            Input::NameServerChanged => self.discovery.name_server_changed(self.now),
            Input::Stop => {
                self.stopped_at.get_or_insert(self.now);
            }
            Input::Tick => {
                let mut outputs = Vec::new();
                self.engine.handle(self.now, EngineInput::Tick, &mut outputs);
                self.execute(outputs, out);
                self.run_checks(out);
            }
        }
    }

    /// The time at which the next [`Input::Tick`] is due at the latest.
    pub fn next_wake(&self) -> Micros {
        let engine = self.engine.next_wake().unwrap_or(Micros::MAX);
        engine.min(self.checked_at + CHECK_INTERVAL).min(self.discovery.due())
    }

    /// Maximum number of callers' connections.
    pub fn callers_max(&self) -> usize {
        self.links_max
    }

    /// Number of callers' connections, signalling servers' connections, calls in set-up, established calls,
    /// cached answers and pending timers, in this order.
    pub fn resource_counts(&self) -> [usize; 6] {
        let in_set_up = self.engine.calls_in_set_up();
        let established = self.calls.values().filter(|caller| caller.established).count();
        [
            self.links.len(),
            self.servers.conn_count(),
            in_set_up,
            established,
            self.engine.cached_answers(),
            self.engine.pending_timers(),
        ]
    }

    /// Sends a discovery query that is due, and checks connections and the shutdown once per
    /// [`CHECK_INTERVAL`].
    fn run_checks(&mut self, out: &mut Vec<Output>) {
        if let Some((query, new_port)) = self.discovery.next_query(self.now) {
            out.push(Output::Query { query, new_port });
        }
        if self.now < self.checked_at + CHECK_INTERVAL && self.checked_at > 0 {
            return;
        }
        self.checked_at = self.now;
        self.check_servers(out);
        self.check_callers(out);
        self.log_server_views();
        self.check_shutdown(out);
    }

    /// Graceful shutdown after SIGTERM: accepts callers for a while, waits until accepted set-ups are
    /// answered and pending releases are sent, then exits.
    fn check_shutdown(&mut self, out: &mut Vec<Output>) {
        let Some(since) = self.stopped_at.map(|at| self.now.saturating_sub(at)) else { return };
        let kill_at = KILL_GRACE + self.longest_wait.min(COUNTED_DEADLINE_MAX);
        let last_answer = kill_at - FINAL_ANSWER_LEAD;
        if since >= ACCEPT_AFTER_STOP.min(last_answer - POST_LISTEN_TIME) && self.accept_stopped_at.is_none()
        {
            self.accept_stopped_at = Some(self.now);
            out.push(Output::StopAccepting);
        }
        if since >= last_answer {
            self.apply_to_engine(EngineInput::Stop, out);
        }
        let queue_read = self.accept_stopped_at.is_some_and(|at| self.now >= at + POST_LISTEN_TIME);
        let pending_work = self.links.values().any(callers::Link::has_partial_message)
            || self.servers.has_pending_releases();
        if queue_read && self.engine.calls_in_set_up() == 0 && (!pending_work || since >= last_answer) {
            out.push(Output::Exit);
        }
    }

    /// Applies a server list that is new or has changed.
    fn apply_list(&mut self, out: &mut Vec<Output>) {
        // The engine considers every link up: whether a server can be reached is reported by the end of each
        // attempt, as in the simulator. A broken connection does not mean that the server drains.
        let (added, takeovers) = self.servers.apply_list(self.now, &self.fleet);
        for takeover in takeovers {
            self.apply_takeover(takeover);
        }
        for server in added {
            let state = baydrift_call::LinkState::Up(baydrift_call::Process::Same);
            self.apply_to_engine(EngineInput::ServerLink { server, state }, out);
        }
        self.apply_to_engine(EngineInput::List(ListKind::Full, self.fleet.entries()), out);
        self.check_servers(out);
        // A restarted process does not know the calls of its predecessor.
        for (server, at) in self.servers.take_restarted() {
            self.process_lost(server, at, out);
        }
    }

    /// Passes an input to the engine and executes its outputs.
    fn apply_to_engine(&mut self, input: EngineInput<Payload>, out: &mut Vec<Output>) {
        let mut outputs = Vec::new();
        self.engine.apply(self.now, input, &mut outputs);
        self.execute(outputs, out);
    }

    fn execute(&mut self, outputs: Vec<EngineOutput<Payload>>, out: &mut Vec<Output>) {
        for output in outputs {
            match output {
                EngineOutput::SetUp { attempt, server, session, payload, timeout, begin_within, .. } => {
                    if let Some(call) = id_of(&session) {
                        self.start_attempt(attempt, server, call, payload, (timeout, begin_within), out);
                    }
                }
                EngineOutput::Release { attempt, .. } => self.release_attempt(attempt, out),
                EngineOutput::Answer { session, answer, .. } => {
                    if let Some(call) = id_of(&session) {
                        self.call_answered(call, answer, out);
                    }
                }
                EngineOutput::Cleared { session, outcome } => {
                    if let Some(call) = id_of(&session) {
                        self.call_ended(call, outcome, out);
                    }
                }
                EngineOutput::Adopted { attempt, server, session } => {
                    if let Some(call) = id_of(&session) {
                        let now = self.now;
                        let state = Attempt {
                            server,
                            call,
                            conn: None,
                            origin: None,
                            established: true,
                            started_at: now,
                            pending: None,
                        };
                        self.servers.add_established(now, server, call, attempt);
                        self.attempts.insert(attempt, state);
                    }
                }
                EngineOutput::SendToPeer { to, payload } => out.push(Output::ToPeer(to, payload)),
                EngineOutput::Log(text) => tracing::info!("{text}"),
                // The list is polled, callers learn of changes by their calls,
                // and each call id is used only once.
                EngineOutput::Subscribe
                | EngineOutput::Cut { .. }
                | EngineOutput::AnswerRelease { .. }
                | EngineOutput::Dropped(_) => {}
            }
        }
    }

    fn session(&self, call: CallId) -> Session {
        Session { owner: self.owner.clone(), id: Arc::from(call.to_string()) }
    }

    /// Sends a call's final answer to its caller.
    fn call_answered(&mut self, call: CallId, answer: Final, out: &mut Vec<Output>) {
        match (answer, self.answer.take()) {
            (Final::Established, Some(description)) => self.send_answer(call, description, out),
            (Final::Established, None) => self.send_refusal(call, false, out),
            (Final::Refused { .. }, _) => self.send_refusal(call, true, out),
            (Final::Failed, _) => self.send_refusal(call, false, out),
        }
    }
}

/// Encodes a message. Since it was built here, only a description that was
/// received too long can make it too long.
fn wire(message: &Message) -> Option<Vec<u8>> {
    let bytes = message.to_bytes();
    bytes
        .inspect_err(|fault| tracing::warn!("message for call {} cannot be encoded: {fault}", message.call))
        .ok()
}

/// Converts the engine's session id to the call id on the wire.
fn id_of(session: &Session) -> Option<CallId> {
    u64::from_str_radix(&session.id, 16).ok().map(|id| CallId(id.to_be_bytes()))
}
