//! The front node's state: inputs with the time in, outputs out. No I/O, no clock, no chance but seeded.
//!
//! `callers` has callers' connections and what they offer, `servers` the signalling servers' connections and the
//! attempts on them, `names` the asking of the name server. All that is decided comes from the call engine and
//! the module behind it; here it is only brought to the right connection.

mod aged;
mod belief;
mod callers;
mod names;
mod servers;
mod spread;
mod turn;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use baydrift::interface::{ListKind, Micros, ServerId};
use baydrift_call::{
    AttemptId, Engine, EngineError, Final, Input as Moment, Limits, LinkId, Output as Order, Session,
};
use baydrift_platform::{CallId, Message, ServerList};
use bytes::Bytes;

pub use servers::ConnId;
pub use turn::in_order;

use crate::config::Config;

/// Time between looks at connections that should have said something.
const LOOK: Micros = 50_000;
/// After SIGTERM new connections and set-ups are taken for so long, where there is time: the platform hands over within
/// 0.6 s ...
const HAND_OVER: Micros = 900_000;
/// ... and may kill this long after the longest deadline has passed, which counts as so much at the most.
const KILL_AFTER: (Micros, Micros) = (700_000, 3_000_000);
/// What is still open is answered so long before that, and the last bytes leave ...
const LAST_ANSWER: Micros = 300_000;
/// ... while no more connections are taken for at least this long, in which what the kernel had taken is read.
const LAST_LOOK: Micros = 100_000;
/// Answered calls are remembered for so long, so that an id that is used again is refused.
const MEMORY: (usize, Micros) = (4_096, 10_000_000);
/// Calls held at once, in set-up or standing, whatever the settings allow: a few megabytes.
const CALLS_MAX: u32 = 6_000;
/// Calls in set-up of one connection.
const PER_LINK_MAX: usize = 1_000;

/// What came.
#[derive(Debug)]
pub enum Input {
    /// A caller connected.
    CallerUp(LinkId, IpAddr),
    /// A caller sent a message.
    FromCaller(LinkId, Message),
    /// A caller asked for a call, and gave it up or left before that was looked at.
    Withdrawn(LinkId),
    /// Part of a caller's message has come.
    CallerPart(LinkId),
    /// A caller's connection ended, or what it sent cannot be read.
    CallerDown(LinkId),
    /// A connection to a signalling server is up.
    ServerUp(ConnId),
    /// It never came up. `true`: it was refused, so nothing runs there.
    DialFailed(ConnId, bool),
    /// A signalling server sent a message.
    FromServer(ConnId, Message),
    /// Part of a message has come.
    Part(ConnId),
    /// A connection that was up ended, or what came on it cannot be read.
    ServerDown(ConnId),
    /// A datagram of the name server.
    Names(Vec<u8>),
    /// A datagram of another front node.
    Peer(u32, Vec<u8>),
    /// The name server is at another address from now on.
    Moved,
    /// SIGTERM.
    Stop,
    /// Time has passed.
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

/// What is to be done, in order.
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
    /// Ask the name server.
    Ask {
        /// The question.
        query: Vec<u8>,
        /// From another port: what went by the present one stays unanswered.
        anew: bool,
    },
    /// A datagram for another front node.
    ToPeer(u32, Vec<u8>),
    /// Take no new connections.
    Deaf,
    /// All is answered: end the process.
    End,
}

/// Where the caller of a call is reached.
#[derive(Debug, Clone, Copy)]
struct Caller {
    link: LinkId,
    ip: Option<IpAddr>,
    stands: bool,
    /// What its set-up holds in memory until it is answered.
    bytes: usize,
}

/// A set-up on its way to a server, or standing there.
#[derive(Debug)]
struct Flight {
    server: ServerId,
    call: CallId,
    /// The connection that it was written on; `None` while it waits for one.
    conn: Option<ConnId>,
    stands: bool,
    /// When it was written, or taken over.
    at: Micros,
    /// Until it is written: the message.
    unsent: Option<Unsent>,
}

/// A set-up that waits for a connection.
#[derive(Debug)]
struct Unsent {
    payload: Payload,
    since: Micros,
    /// When the attempt is given up.
    until: Micros,
    /// When it is not worth beginning any more.
    begin_by: Micros,
}

/// What the engine keeps of an offer for us.
#[derive(Debug, Clone, PartialEq)]
struct Payload {
    class: Bytes,
    number: Option<Bytes>,
    description: Bytes,
}

/// Counts for the log.
#[derive(Debug, Default)]
struct Counts {
    /// Set-ups refused since they cannot be used.
    unusable: u64,
    /// Callers' connections closed by this node.
    closed: u64,
    /// Signalling servers' connections lost with set-ups on them.
    broken: u64,
    /// Processes of signalling servers taken for gone.
    lost: u64,
}

/// The front node.
pub struct Node {
    engine: Engine<Payload>,
    now: Micros,
    site: baydrift::config::SiteConfig,
    longest_wait: Micros,
    owner: Arc<str>,
    fleet: ServerList,
    calls: BTreeMap<CallId, Caller>,
    /// Bytes of all set-ups that are not answered yet.
    set_up_bytes: usize,
    links: BTreeMap<LinkId, callers::Link>,
    links_max: usize,
    owed: callers::Owed,
    flights: BTreeMap<AttemptId, Flight>,
    servers: servers::Servers,
    names: names::Names,
    /// A connection that is not up by then has failed.
    dial_timeout: Micros,
    /// The description on the answer that is being handled.
    answer: Option<Bytes>,
    stopped_at: Option<Micros>,
    deaf_at: Option<Micros>,
    looked_at: Micros,
    counts: Counts,
    belief: belief::Seen,
}

impl Node {
    /// A front node that has connected to nothing yet.
    ///
    /// # Errors
    /// When the settings hold a figure that nothing sensible can be done with.
    pub fn new(config: &Config) -> Result<Self, EngineError> {
        let max_open = if config.site.max_open == 0 { CALLS_MAX } else { config.site.max_open };
        let limits = Limits {
            calls: max_open.min(CALLS_MAX) as usize,
            in_set_up_per_link: PER_LINK_MAX,
            cached_answers: MEMORY.0,
            cached_answer_ttl: MEMORY.1,
            servers: baydrift_platform::server_list::SERVERS_MAX,
            drain_grace: config.site.grace,
            ..Limits::default()
        };
        let bounds = servers::Bounds::of(config);
        Ok(Self {
            engine: Engine::new(config.settings.clone(), limits, config.seed)?,
            now: 0,
            longest_wait: config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0),
            site: config.site.clone(),
            owner: Arc::from("callers"),
            fleet: config.known.clone(),
            calls: BTreeMap::new(),
            set_up_bytes: 0,
            links: BTreeMap::new(),
            links_max: config.sockets - bounds.kept_back(),
            owed: callers::Owed::new(callers::OWED),
            flights: BTreeMap::new(),
            servers: servers::Servers::new(bounds),
            names: names::Names::new(config.seed),
            dial_timeout: config.dial_timeout(),
            answer: None,
            stopped_at: None,
            deaf_at: None,
            looked_at: 0,
            counts: Counts::default(),
            belief: belief::Seen::default(),
        })
    }

    /// Tells the module the list of the start and connects to what is ready.
    pub fn start(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.now = now;
        self.told_list(out);
        self.look(out);
    }

    /// Takes one input and leaves what is due to a later [`Input::Tick`]: what has arrived is heard before
    /// timers fire.
    pub fn hear(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::CallerUp(link, ip) => self.caller_up(link, ip, out),
            Input::FromCaller(link, message) => self.caller_said(link, message, out),
            Input::Withdrawn(link) => self.withdrawn(link),
            Input::CallerPart(link) => self.caller_part(link),
            Input::CallerDown(link) => self.caller_down(link, out),
            Input::ServerUp(conn) => self.server_up(conn, out),
            Input::DialFailed(conn, refused) => self.dial_failed(conn, refused, out),
            Input::FromServer(conn, message) => self.server_said(conn, &message, out),
            Input::Part(conn) => self.servers.part(conn, self.now),
            Input::ServerDown(conn) => self.server_down(conn, out),
            Input::Names(bytes) => {
                if let Some(listed) = self.names.read(self.now, &bytes) {
                    if self.fleet.update(listed) {
                        self.told_list(out);
                    }
                }
            }
            Input::Peer(from, payload) => self.engine(Moment::Peer { from, payload }, out),
            Input::Moved => self.names.moved(self.now),
            Input::Stop => {
                self.stopped_at.get_or_insert(self.now);
            }
            Input::Tick => {
                let mut orders = Vec::new();
                self.engine.handle(self.now, Moment::Tick, &mut orders);
                self.carry_out(orders, out);
                self.look(out);
            }
        }
    }

    /// When to come back with [`Input::Tick`] at the latest.
    pub fn next_wake(&self) -> Micros {
        let engine = self.engine.next_wake().unwrap_or(Micros::MAX);
        engine.min(self.looked_at + LOOK).min(self.names.due())
    }

    /// Connections that callers may hold.
    pub fn callers_max(&self) -> usize {
        self.links_max
    }

    /// What is held: callers' connections, signalling servers' connections, calls in set-up, calls that stand,
    /// answers remembered, timers.
    pub fn held(&self) -> [usize; 6] {
        let in_set_up = self.engine.calls_in_set_up();
        let stand = self.calls.values().filter(|caller| caller.stands).count();
        [
            self.links.len(),
            self.servers.open(),
            in_set_up,
            stand,
            self.engine.cached_answers(),
            self.engine.pending_timers(),
        ]
    }

    /// Looks at all that should have happened by now.
    fn look(&mut self, out: &mut Vec<Output>) {
        if let Some((query, anew)) = self.names.ask(self.now) {
            out.push(Output::Ask { query, anew });
        }
        if self.now < self.looked_at + LOOK && self.looked_at > 0 {
            return;
        }
        self.looked_at = self.now;
        self.look_at_servers(out);
        self.look_at_callers(out);
        self.tell_beliefs();
        self.look_at_the_end(out);
    }

    /// The end after SIGTERM: callers are taken for a while, what was taken is answered, what is owed to servers leaves.
    fn look_at_the_end(&mut self, out: &mut Vec<Output>) {
        let Some(since) = self.stopped_at.map(|at| self.now.saturating_sub(at)) else { return };
        let kill = KILL_AFTER.0 + self.longest_wait.min(KILL_AFTER.1);
        let last_answer = kill - LAST_ANSWER;
        if since >= HAND_OVER.min(last_answer - LAST_LOOK) && self.deaf_at.is_none() {
            self.deaf_at = Some(self.now);
            out.push(Output::Deaf);
        }
        if since >= last_answer {
            self.engine(Moment::Stop, out);
        }
        let looked = self.deaf_at.is_some_and(|at| self.now >= at + LAST_LOOK);
        let owing = self.links.values().any(callers::Link::is_amid) || self.servers.is_owing();
        if looked && self.engine.calls_in_set_up() == 0 && (!owing || since >= last_answer) {
            out.push(Output::End);
        }
    }

    /// The list has changed, or is told for the first time.
    fn told_list(&mut self, out: &mut Vec<Output>) {
        // The engine takes links as up: whether a server can be reached is told by each attempt's own end, as
        // the simulator does. A broken connection is not a drained server.
        for server in self.servers.listed(self.now, &self.fleet) {
            let state = baydrift_call::LinkState::Up(baydrift_call::Process::Same);
            self.engine(Moment::ServerLink { server, state }, out);
        }
        self.engine(Moment::List(ListKind::Full, self.fleet.entries()), out);
        self.look_at_servers(out);
        // A process that has started anew has forgotten the calls of the one before.
        for (server, at) in self.servers.take_restarted() {
            self.lose(server, at, out);
        }
    }

    /// Hands the engine a moment and carries out what it orders.
    fn engine(&mut self, moment: Moment<Payload>, out: &mut Vec<Output>) {
        let mut orders = Vec::new();
        self.engine.apply(self.now, moment, &mut orders);
        self.carry_out(orders, out);
    }

    fn carry_out(&mut self, orders: Vec<Order<Payload>>, out: &mut Vec<Output>) {
        for order in orders {
            match order {
                Order::SetUp { attempt, server, session, payload, timeout, begin_within, .. } => {
                    if let Some(call) = id_of(&session) {
                        self.set_up(attempt, server, call, payload, (timeout, begin_within), out);
                    }
                }
                Order::Release { attempt, .. } => self.release(attempt, out),
                Order::Answer { session, answer, .. } => {
                    if let Some(call) = id_of(&session) {
                        self.answered(call, answer, out);
                    }
                }
                Order::Cleared { session, outcome } => {
                    if let Some(call) = id_of(&session) {
                        self.call_over(call, outcome, out);
                    }
                }
                Order::Adopted { attempt, server, session } => {
                    if let Some(call) = id_of(&session) {
                        let at = self.now;
                        let flight = Flight { server, call, conn: None, stands: true, at, unsent: None };
                        self.servers.stands(at, server, call, attempt);
                        self.flights.insert(attempt, flight);
                    }
                }
                Order::SendToPeer { to, payload } => out.push(Output::ToPeer(to, payload)),
                Order::Log(text) => tracing::info!("{text}"),
                // The list is polled, callers are told by their calls, and a name is never asked for twice.
                Order::Subscribe | Order::Cut { .. } | Order::AnswerRelease { .. } | Order::Dropped(_) => {}
            }
        }
    }

    fn session(&self, call: CallId) -> Session {
        Session { owner: self.owner.clone(), id: Arc::from(call.to_string()) }
    }

    /// The final answer on its way to the caller.
    fn answered(&mut self, call: CallId, answer: Final, out: &mut Vec<Output>) {
        match (answer, self.answer.take()) {
            (Final::Established, Some(description)) => self.tell_stands(call, description, out),
            (Final::Established, None) => self.tell_refused(call, false, out),
            (Final::Refused { .. }, _) => self.tell_refused(call, true, out),
            (Final::Failed, _) => self.tell_refused(call, false, out),
        }
    }
}

/// A message's bytes. It was made here, and so is never too long but for a description that came too long.
fn wire(message: &Message) -> Option<Vec<u8>> {
    let bytes = message.to_bytes();
    bytes.inspect_err(|fault| tracing::warn!("{} is not written: {fault}", message.call)).ok()
}

/// The wire's id of a call that the engine names.
fn id_of(session: &Session) -> Option<CallId> {
    u64::from_str_radix(&session.id, 16).ok().map(|id| CallId(id.to_be_bytes()))
}
