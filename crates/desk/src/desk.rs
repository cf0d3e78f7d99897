//! The desk: messages in, messages out, the engine between them.

use std::collections::BTreeMap;
use std::sync::Arc;

use baydrift::interface::{ListKind, Micros, Outcome, ServerId};
use baydrift_budget::Holdings;
use baydrift_call::guard::Breach;
use baydrift_call::Process;
use baydrift_call::{
    AttemptEnd, AttemptId, BudgetSharing, Counts, Engine, EngineError, Final, Input, LinkId, LinkState,
    Offer, Output, Policy, ReleaseResult, Request, Retransmission, Session,
};
use baydrift_config::Config;
use baydrift_diameter::credit::{self, Ccr, Endpoints, RequestType};
use baydrift_diameter::{code, dict, load, result, Avp, Fault, Message, Remote};
use baydrift_isup::Data;
use baydrift_signalling::SignallingPoint;
use baydrift_trunk::rules::RouteChoice;
use baydrift_trunk::{CallKey, Setup};
use tracing::{debug, debug_span, Span};

use crate::boot::Boot;
use crate::doors::Opened;
use crate::facts::{number_of, Table};
use crate::meaning::{cause_of, code_of, end_of};
use crate::pool::{PoolError, PoolList, Roster};
use crate::text::{Step, Text, Told};
use crate::transit::Kind;
use crate::trunk::{News, Offered, TrunkGroupView, TrunkSide};

/// Longest number of an IAM.
const DIGITS_MAX: usize = 32;
/// Longest user-to-user information (Q.763, 3.60).
const REFERENCE_MAX: usize = 129;

/// Room that is made for what a caller's CCR adds to a set-up.
const USUAL: usize = 24;

/// AVPs of a caller's CCR that do not go on to the server: they belong to one hop or one session.
const OF_ONE_HOP: [u32; 14] = [
    dict::SESSION_ID,
    dict::ORIGIN_HOST,
    dict::ORIGIN_REALM,
    dict::ORIGIN_STATE_ID,
    dict::DESTINATION_HOST,
    dict::DESTINATION_REALM,
    dict::AUTH_APPLICATION_ID,
    dict::SERVICE_CONTEXT_ID,
    dict::CC_REQUEST_TYPE,
    dict::CC_REQUEST_NUMBER,
    dict::CC_CORRELATION_ID,
    dict::PROXY_INFO,
    dict::OC_SUPPORTED_FEATURES,
    dict::INBAND_SECURITY_ID,
];

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum DeskInput {
    /// A client's capabilities were exchanged.
    ClientUp {
        /// Its link.
        link: LinkId,
        /// Who it is.
        opened: Opened,
    },
    /// A client's link is gone.
    ClientDown(LinkId),
    /// A client's request of the application.
    ClientRequest {
        /// Its link.
        link: LinkId,
        /// The request.
        message: Message,
    },
    /// A server's link may be used.
    ServerUp {
        /// The server.
        server: ServerId,
        /// Its Origin-State-Id.
        state_id: Option<u32>,
    },
    /// A server's watchdog is unanswered.
    ServerSuspect(ServerId),
    /// A server's link is gone.
    ServerDown(ServerId),
    /// A server said that it leaves.
    ServerDrains(ServerId),
    /// A set-up that a link did not send: it had lain there while the process stood still.
    Unsent(AttemptId),
    /// A server answered a request.
    ServerAnswer {
        /// The server.
        server: ServerId,
        /// Of which attempt.
        attempt: AttemptId,
        /// Which request.
        kind: Kind,
        /// The answer.
        message: Message,
    },
    /// A server's request of the application.
    ServerRequest {
        /// The server.
        server: ServerId,
        /// The request.
        message: Message,
    },
    /// A datagram or packet of H.248 text.
    Text {
        /// The address it came from, or its connection.
        link: LinkId,
        /// Whether the transport loses nothing.
        reliable: bool,
        /// The text.
        bytes: Vec<u8>,
    },
    /// A connection of text commands is gone.
    TextGone(LinkId),
    /// The signalling link to a far end, by its point code, may be used.
    TrunkUp(u32),
    /// It is gone.
    TrunkDown(u32),
    /// A packet came by it.
    Trunk(Data),
    /// A message from another front.
    Fleet {
        /// Its ordinal.
        from: u32,
        /// What it said.
        payload: Vec<u8>,
    },
    /// Time has passed.
    Tick,
    /// The front stops: what is undecided is answered, nothing new is taken.
    Stop,
    /// The front cannot wait for its standing calls any longer.
    CutAll,
}

/// What is to be sent.
#[derive(Debug, Clone, PartialEq)]
pub enum DeskOutput {
    /// To a client.
    ToClient {
        /// Its link.
        link: LinkId,
        /// The message; a request still wants its hop-by-hop id.
        message: Message,
    },
    /// A request to a server.
    ToServer {
        /// The server.
        server: ServerId,
        /// For which attempt.
        attempt: AttemptId,
        /// Which request.
        kind: Kind,
        /// The message; it still wants its hop-by-hop id.
        message: Message,
        /// When it was said.
        at: Micros,
    },
    /// H.248 text to a client.
    Text {
        /// Its address or connection.
        link: LinkId,
        /// The text.
        text: Arc<str>,
    },
    /// A packet to the far end whose point code it names.
    ToFarEnd(Data),
    /// An answer to a server's request.
    Reply {
        /// The server.
        server: ServerId,
        /// The answer.
        message: Message,
    },
    /// To another front.
    ToFront {
        /// Its ordinal.
        to: u32,
        /// What to say.
        payload: Vec<u8>,
    },
}

/// What the desk holds, for logs and tests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Held {
    /// Calls, in set-up or standing.
    pub calls: usize,
    /// Of them, without their answer.
    pub in_set_up: usize,
    /// Attempts to be released.
    pub orphans: usize,
    /// Requests that wait for an answer.
    pub tickets: usize,
    /// Answers remembered.
    pub remembered: usize,
}

/// What goes with a call until its answer.
#[derive(Debug, Clone)]
pub(crate) struct Payload {
    pub(crate) request: Arc<Message>,
    /// The caller's own name for the call, where its session is not one that it chose.
    pub(crate) name: Option<Arc<str>>,
    pub(crate) span: Span,
}

impl PartialEq for Payload {
    fn eq(&self, other: &Self) -> bool {
        self.request == other.request
    }
}

#[derive(Debug)]
struct ClientLink {
    remote: Remote,
    relay: bool,
    owner: Arc<str>,
}

/// A server, and what every request to it says: made once, since building messages is most of a call's cost.
#[derive(Debug)]
struct Far {
    host: String,
    to: [Avp; 2],
}

/// AVPs that are the same in all requests to servers.
#[derive(Debug)]
struct Fixed {
    application: Avp,
    initial: [Avp; 2],
    termination: [Avp; 3],
    features: Avp,
}

impl Fixed {
    fn new() -> Self {
        let kind = |kind: RequestType, number| {
            [Avp::u32(dict::CC_REQUEST_TYPE, kind.value()), Avp::u32(dict::CC_REQUEST_NUMBER, number)]
        };
        let [ends, number] = kind(RequestType::Termination, 1);
        Self {
            application: Avp::u32(dict::AUTH_APPLICATION_ID, credit::APPLICATION),
            initial: kind(RequestType::Initial, 0),
            // DIAMETER_LOGOUT (RFC 6733, section 8.15): the caller or this front is done with it.
            termination: [ends, number, Avp::u32(dict::TERMINATION_CAUSE, 1)],
            features: Avp::group(dict::OC_SUPPORTED_FEATURES, &[Avp::u64(dict::OC_FEATURE_VECTOR, 1)]),
        }
    }
}

/// See the crate's page.
#[derive(Debug)]
pub struct Desk {
    pub(crate) host: String,
    realm: String,
    pub(crate) boot: Boot,
    /// What its Session-Ids begin with.
    process: String,
    pub(crate) table: Table,
    pub(crate) text: Text,
    trunk: TrunkSide,
    roster: Roster,
    /// Origin-Host and Origin-Realm of this front.
    origin: [Avp; 2],
    /// Service-Context-Id of each class.
    contexts: Vec<Avp>,
    servers: BTreeMap<ServerId, Far>,
    fixed: Fixed,
    engine: Engine<Payload>,
    clients: BTreeMap<LinkId, ClientLink>,
    tickets: BTreeMap<Request, (Arc<Message>, Span)>,
    pub(crate) next_ticket: u64,
    /// Origin-State-Ids by host; only configured hosts get here.
    state_ids: BTreeMap<String, u32>,
    outputs: Vec<Output<Payload>>,
    pub(crate) faults: u64,
}

impl Desk {
    /// A desk by a configuration. `boot` tells this process from all others in Session-Ids.
    ///
    /// # Errors
    /// Where the engine cannot be made of the settings.
    pub fn new(config: &Config, boot: Boot, seed: u64) -> Result<Self, EngineError> {
        Ok(Self::with_engine(
            config,
            boot,
            Engine::new(config.settings.clone(), config.limits.clone(), seed)?,
        ))
    }

    /// A desk with another policy than the module, for comparisons.
    ///
    /// # Errors
    /// As [`Desk::new`].
    pub fn with_policy(config: &Config, boot: Boot, policy: Box<dyn Policy>) -> Result<Self, EngineError> {
        let engine = Engine::with_policy(config.settings.clone(), config.limits.clone(), policy)?;
        Ok(Self::with_engine(config, boot, engine))
    }

    fn with_engine(config: &Config, boot: Boot, mut engine: Engine<Payload>) -> Self {
        engine.handle(0, Input::List(ListKind::Full, Roster::first(config)), &mut Vec::new());
        if config.pool.is_some() {
            engine.expect_server_list(0);
        }
        let (fronts, ordinal) = (config.settings.fronts, config.settings.ordinal);
        let fleet = config.fleet.as_ref();
        if let Some(units) =
            config.limits.cold_rate.filter(|_| fleet.is_some_and(|fleet| fleet.budget_leases))
        {
            engine.enable_budget_sharing(BudgetSharing {
                units: units as u32,
                fronts,
                ordinal,
                incarnation: boot.incarnation,
            });
        }
        if fleet.is_some_and(|fleet| fleet.membership) {
            let (incarnation, seed) = (boot.state_id, boot.incarnation);
            engine.enable_membership(baydrift_fleet::LocalFront { ordinal, fronts, incarnation, seed });
        }
        let trunk = TrunkSide::new(config);
        for (link, owner) in trunk.links() {
            engine.handle(0, Input::ClientUp { link, owner, restarted: false }, &mut Vec::new());
        }
        Self {
            trunk,
            host: config.host.clone(),
            realm: config.realm.clone(),
            process: format!("{};{boot}", config.host),
            boot,
            table: Table::new(config),
            text: Text::new(config, boot.incarnation),
            roster: Roster::new(config),
            origin: [
                Avp::text(dict::ORIGIN_HOST, &config.host),
                Avp::text(dict::ORIGIN_REALM, &config.realm),
            ],
            contexts: config
                .classes
                .iter()
                .map(|c| Avp::text(dict::SERVICE_CONTEXT_ID, c.contexts.first().map_or("", String::as_str)))
                .collect(),
            fixed: Fixed::new(),
            servers: config
                .servers
                .iter()
                .map(|s| {
                    let to = [
                        Avp::text(dict::DESTINATION_REALM, &s.realm),
                        Avp::text(dict::DESTINATION_HOST, &s.host),
                    ];
                    (u64::from(s.number), Far { host: s.host.clone(), to })
                })
                .collect(),
            engine,
            clients: BTreeMap::new(),
            tickets: BTreeMap::new(),
            next_ticket: 0,
            state_ids: BTreeMap::new(),
            outputs: Vec::new(),
            faults: 0,
        }
    }

    /// Takes one input without looking at timers: all that waits is heard before time is let pass
    /// ([`DeskInput::Tick`]), so that after an own stall drains come before set-ups.
    pub fn hear(&mut self, now: Micros, input: DeskInput, out: &mut Vec<DeskOutput>) {
        match input {
            DeskInput::ClientUp { link, opened } => self.client_up(now, link, opened, out),
            DeskInput::ClientDown(link) => self.client_down(now, link, out),
            DeskInput::ClientRequest { link, message } => self.client_request(now, link, message, out),
            DeskInput::ServerUp { server, state_id } => {
                let host = self.servers.get(&server).map(|far| far.host.clone()).unwrap_or_default();
                let process = match state_id {
                    None => Process::Unknown,
                    Some(_) if self.restarted(&host, state_id) => Process::New,
                    Some(_) => Process::Same,
                };
                self.link(now, server, LinkState::Up(process), out);
            }
            DeskInput::ServerSuspect(server) => self.link(now, server, LinkState::Suspect, out),
            DeskInput::ServerDown(server) => self.link(now, server, LinkState::Down, out),
            // It never left, and nothing ran.
            DeskInput::Unsent(attempt) => {
                let end = AttemptEnd::plain(Outcome::Moot);
                self.engine(now, Input::Ended { attempt, end }, out);
            }
            DeskInput::ServerDrains(server) => self.engine(now, Input::DrainAnnounced(server), out),
            DeskInput::ServerAnswer { server, attempt, kind, message } => {
                self.server_answer(now, server, attempt, kind, &message, out);
            }
            DeskInput::ServerRequest { server, message } => self.server_request(now, server, &message, out),
            DeskInput::Text { link, reliable, bytes } => self.text_heard(now, link, reliable, &bytes, out),
            DeskInput::TextGone(link) => self.text_gone(now, link, out),
            DeskInput::TrunkUp(point) => self.trunk_link(now, point, true, out),
            DeskInput::TrunkDown(point) => self.trunk_link(now, point, false, out),
            DeskInput::Trunk(data) => self.faults += u64::from(!self.trunk.heard(now, &data)),
            DeskInput::Fleet { from, payload } => self.engine(now, Input::Peer { from, payload }, out),
            DeskInput::Tick => {
                self.engine(now, Input::Tick, out);
                self.text_tick(now, out);
                self.trunk.tick(now);
            }
            DeskInput::Stop => self.engine(now, Input::Stop, out),
            DeskInput::CutAll => self.engine(now, Input::CutAll, out),
        }
        self.settle(now, out);
    }

    /// All that counters still have for the engine, until nothing is left.
    fn settle(&mut self, now: Micros, out: &mut Vec<DeskOutput>) {
        loop {
            self.text_steps(now, out);
            out.extend(self.trunk.packets.drain(..).map(DeskOutput::ToFarEnd));
            let Some(news) = self.trunk.news.pop_front() else { return };
            self.trunk_news(now, news, out);
        }
    }

    /// What is heard from now on may have waited so long to be read, since this process stood still: its callers'
    /// patience has run meanwhile.
    pub fn set_waited(&mut self, span: Micros) {
        self.engine.set_input_delay(span);
    }

    pub(crate) fn waited(&self) -> Micros {
        self.engine.input_delay()
    }

    /// Takes a pushed pool list.
    ///
    /// # Errors
    /// Why it is not taken; the last good one holds.
    pub fn pool(&mut self, now: Micros, list: &PoolList, out: &mut Vec<DeskOutput>) -> Result<(), PoolError> {
        let (kind, entries) = self.roster.take(now, list)?;
        self.engine(now, Input::List(kind, entries), out);
        self.settle(now, out);
        Ok(())
    }

    /// When [`DeskInput::Tick`] is wanted at the latest.
    pub fn next_wake(&self) -> Option<Micros> {
        let text = self
            .text
            .clients
            .values()
            .flat_map(|client| [client.exchange.next_wake(), client.leaves_at])
            .flatten();
        self.engine.next_wake().into_iter().chain(text).chain(self.trunk.next_wake()).min()
    }

    /// What the engine has counted.
    pub fn counts(&self) -> &Counts {
        self.engine.counts()
    }

    /// The process starts now, by a clock that did not start with it: virtual time's.
    pub fn starts(&mut self, now: Micros) {
        self.engine.set_start_time(now);
    }

    /// How often the engine held back what would have broken a rule.
    pub fn held_back(&self) -> Vec<(&'static str, u64)> {
        Breach::ALL.iter().map(|breach| (breach.name(), self.engine.held_back(*breach))).collect()
    }

    /// Requests turned down with a fault.
    pub fn faults(&self) -> u64 {
        self.faults
    }

    /// Its trunk groups.
    pub fn trunk_groups(&self) -> Vec<TrunkGroupView> {
        self.trunk.groups()
    }

    /// Who of the fleet is believed alive, where the settings let fronts tell.
    pub fn lives(&self) -> Option<&baydrift_fleet::Membership> {
        self.engine.membership()
    }

    /// What this front has of the fleet's budget of each server, where the settings let fronts share.
    pub fn holdings(&self) -> impl Iterator<Item = (ServerId, Holdings)> + '_ {
        self.engine.holdings()
    }

    /// Its exchange.
    pub fn office(&self) -> &SignallingPoint {
        self.trunk.office()
    }

    /// What is held.
    pub fn held(&self) -> Held {
        Held {
            calls: self.engine.active_calls(),
            in_set_up: self.engine.calls_in_set_up(),
            orphans: self.engine.detached_attempts(),
            tickets: self.tickets.len(),
            remembered: self.engine.cached_answers(),
        }
    }

    /// Whether a host's process is another than the last one that was seen (RFC 6733, section 8.16).
    fn restarted(&mut self, host: &str, state_id: Option<u32>) -> bool {
        let Some(new) = state_id else { return false };
        match self.state_ids.insert(host.to_owned(), new) {
            Some(old) if old > new => {
                self.state_ids.insert(host.to_owned(), old);
                false
            }
            Some(old) => old < new,
            None => false,
        }
    }

    fn link(&mut self, now: Micros, server: ServerId, state: LinkState, out: &mut Vec<DeskOutput>) {
        self.engine(now, Input::ServerLink { server, state }, out);
    }

    // --- clients ---

    fn client_up(&mut self, now: Micros, link: LinkId, opened: Opened, out: &mut Vec<DeskOutput>) {
        let Opened { remote, relay } = opened;
        let restarted = self.restarted(&remote.host, remote.state_id);
        let owner: Arc<str> = Arc::from(remote.host.as_str());
        self.clients.insert(link, ClientLink { remote, relay, owner: owner.clone() });
        self.engine(now, Input::ClientUp { link, owner, restarted }, out);
    }

    fn client_down(&mut self, now: Micros, link: LinkId, out: &mut Vec<DeskOutput>) {
        if self.clients.remove(&link).is_none() {
            return;
        }
        let first = Request { link, ticket: 0 };
        let last = Request { link, ticket: u64::MAX };
        let gone: Vec<_> = self.tickets.range(first..=last).map(|(request, _)| *request).collect();
        for request in gone {
            self.tickets.remove(&request);
        }
        self.engine(now, Input::ClientDown(link), out);
    }

    fn client_request(&mut self, now: Micros, link: LinkId, message: Message, out: &mut Vec<DeskOutput>) {
        let Some(client) = self.clients.get(&link) else { return };
        let request = Request { link, ticket: self.next_ticket };
        self.next_ticket += 1;
        let message = Arc::new(message);
        let waited = self.waited();
        let input = match read_request(&self.table, client, request, waited, &message) {
            Ok(input) => input,
            Err(fault) => {
                self.faults += 1;
                debug!(peer = client.remote.host, code = fault.code, "{}", fault.text);
                let message = Message::error_answer(&message, &fault, &self.host, &self.realm);
                return out.push(DeskOutput::ToClient { link, message });
            }
        };
        let payload = match &input {
            Input::Offered(offer) => offer.payload.clone(),
            _ => Payload { request: message, name: None, span: Span::none() },
        };
        self.tickets.insert(request, (payload.request, payload.span));
        self.engine(now, input, out);
    }

    // --- servers ---

    fn server_answer(
        &mut self,
        now: Micros,
        server: ServerId,
        attempt: AttemptId,
        kind: Kind,
        message: &Message,
        out: &mut Vec<DeskOutput>,
    ) {
        debug!(server, attempt = attempt.0, ?kind, result = message.result(), "answer");
        let input = match (kind, end_of(message)) {
            (Kind::Release, _) => Input::ReleaseDone { attempt, report: load::read(message) },
            (Kind::SetUp, None) => Input::Established { attempt, report: load::read(message) },
            (Kind::SetUp, Some(end)) => Input::Ended { attempt, end },
        };
        self.engine(now, input, out);
    }

    fn server_request(
        &mut self,
        now: Micros,
        server: ServerId,
        message: &Message,
        out: &mut Vec<DeskOutput>,
    ) {
        let session = message.text(dict::SESSION_ID).unwrap_or("");
        let attempt = self.attempt_of(session);
        let (code, attempt) = match (message.header.code, attempt) {
            (code::ABORT_SESSION, Some(attempt)) => (result::SUCCESS, Some(attempt)),
            (code::ABORT_SESSION, None) => (result::UNKNOWN_SESSION_ID, None),
            _ => (result::COMMAND_UNSUPPORTED, None),
        };
        let answer = Message::answer(message, code)
            .with(Avp::text(dict::ORIGIN_HOST, &self.host))
            .with(Avp::text(dict::ORIGIN_REALM, &self.realm));
        out.push(DeskOutput::Reply { server, message: answer });
        if let Some(attempt) = attempt {
            self.engine(now, Input::Cut { attempt, report: load::read(message) }, out);
        }
    }

    /// Session-Id towards servers: this host, this boot, the attempt (RFC 6733, section 8.8).
    fn session_of(&self, attempt: AttemptId) -> String {
        format!("{};{}", self.process, attempt.0)
    }

    fn attempt_of(&self, session: &str) -> Option<AttemptId> {
        let (process, attempt) = session.rsplit_once(';')?;
        (process == self.process).then_some(AttemptId(attempt.parse().ok()?))
    }

    // --- trunks ---

    fn trunk_link(&mut self, now: Micros, point: u32, up: bool, out: &mut Vec<DeskOutput>) {
        let Some(server) = self.trunk.server_at(point) else { return };
        if up {
            self.trunk.reachable(now, point, true);
            // Whether its processor restarted is not told by a link: it may be cold.
            self.link(now, server, LinkState::Up(Process::Unknown), out);
            // What the engine gave up while the far end was out of reach still has its circuit at both ends.
            for (attempt, server) in self.trunk.attempts() {
                if !self.engine.has_attempt(attempt) {
                    self.trunk.release(now, attempt, server);
                }
            }
        } else {
            self.link(now, server, LinkState::Down, out);
            self.trunk.reachable(now, point, false);
        }
    }

    fn trunk_news(&mut self, now: Micros, news: News, out: &mut Vec<DeskOutput>) {
        let input = match news {
            News::Stands(attempt, report) => Input::Established { attempt, report },
            News::Ended(attempt, end) => Input::Ended { attempt, end },
            News::Over(attempt, report) => Input::Cut { attempt, report },
            News::Released(attempt, report) => Input::ReleaseDone { attempt, report },
            News::Offered(offered) => Input::Offered(self.offer_of_trunk(&offered)),
            News::Left(call, far, request) => {
                Input::Released { session: self.session_of_trunk(self.trunk.host(far), call), request }
            }
        };
        self.engine(now, input, out);
    }

    /// A name that is this process's own: what a far end says of its calls may repeat.
    fn session_of_trunk(&self, owner: Arc<str>, call: CallKey) -> Session {
        Session { owner, id: Arc::from(format!("{};{}", self.boot, call.0)) }
    }

    /// A far end's call, said as a client's would be.
    fn offer_of_trunk(&self, offered: &Offered) -> Offer<Payload> {
        let Offered { call, request, far, number, reference, what } = offered;
        let session = self.session_of_trunk(self.trunk.host(*far), *call);
        let class = self.table.class(what.class);
        let ends = Endpoints {
            origin_host: &self.host,
            origin_realm: &self.realm,
            destination_realm: self.table.first_realm(),
            destination_host: None,
        };
        let mut message = credit::request(ends, &session.id, class.0, RequestType::Initial, 0);
        if !number.is_empty() {
            message.push(Avp::text(dict::CALLED_STATION_ID, number));
        }
        let span = debug_span!("call", session = &*session.id);
        Offer {
            session,
            request: *request,
            class: what.class,
            tenant: what.publisher,
            number: number_of(number),
            first_choice: None,
            caller_timeout: class.1.saturating_sub(self.waited()),
            redial: None,
            was_dropped: false,
            retransmission: Retransmission::First,
            payload: Payload { request: Arc::new(message), name: reference.clone(), span },
        }
    }

    /// What an IAM says of a set-up: the number, and both names of it for who reads the far end's records.
    fn seizure(&self, attempt: AttemptId, session: &Session, payload: &Payload) -> Setup {
        let called = payload.request.text(dict::CALLED_STATION_ID).unwrap_or("");
        let number = called.bytes().filter(u8::is_ascii_digit).take(DIGITS_MAX).map(|digit| digit - b'0');
        let mut reference =
            format!("{} {}", self.session_of(attempt), name_of(session, payload)).into_bytes();
        reference.truncate(REFERENCE_MAX);
        Setup { number: number.collect(), reference: Arc::from(reference) }
    }

    // --- the engine ---

    pub(crate) fn engine(&mut self, now: Micros, input: Input<Payload>, out: &mut Vec<DeskOutput>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        outputs.clear();
        if input == Input::Tick {
            self.engine.handle(now, input, &mut outputs);
        } else {
            self.engine.apply(now, input, &mut outputs);
        }
        for output in outputs.drain(..) {
            self.carry_out(now, output, out);
        }
        self.outputs = outputs;
    }

    fn carry_out(&mut self, now: Micros, output: Output<Payload>, out: &mut Vec<DeskOutput>) {
        match output {
            Output::SetUp { attempt, server, call, index, session, payload, .. }
                if self.trunk.leads_to(server) =>
            {
                payload.span.in_scope(|| debug!(call, index, server, attempt = attempt.0, "seize"));
                let setup = self.seizure(attempt, &session, &payload);
                // Circuits that are kept back are for calls that come here first.
                let claim = if index == 0 { RouteChoice::First } else { RouteChoice::Overflow };
                self.trunk.set_up(now, attempt, server, setup, claim);
            }
            Output::Release { attempt, server, .. } if self.trunk.leads_to(server) => {
                self.trunk.release(now, attempt, server);
            }
            Output::SetUp { attempt, server, call, index, class, session, payload, .. } => {
                payload.span.in_scope(|| debug!(call, index, server, attempt = attempt.0, "set up"));
                let message = self.set_up(attempt, server, class, &session, &payload);
                out.push(DeskOutput::ToServer { server, attempt, kind: Kind::SetUp, message, at: now });
            }
            Output::Release { attempt, server, class } => {
                let message = self.ccr(attempt, server, class, &self.fixed.termination);
                out.push(DeskOutput::ToServer { server, attempt, kind: Kind::Release, message, at: now });
            }
            Output::Answer { request, session: _, answer } => match self.trunk.asked_by(request) {
                Some(call) => self.trunk.answer(now, call, cause_of(answer)),
                None => self.answer(request, answer, out),
            },
            Output::AnswerRelease { request, result, .. } => {
                if let Some((link, id)) = self.text.waiting.remove(&request) {
                    return self.text.steps.push_back(Step::Told(link, id, Told::Released(result)));
                }
                let code = match result {
                    ReleaseResult::Done => result::SUCCESS,
                    ReleaseResult::Unknown => result::UNKNOWN_SESSION_ID,
                };
                if let Some((asked, _)) = self.tickets.remove(&request) {
                    let message = credit::answer_with_origin(&asked, code, &self.origin);
                    out.push(DeskOutput::ToClient { link: request.link, message });
                }
            }
            Output::Dropped(request) => {
                self.text.waiting.remove(&request);
                self.tickets.remove(&request);
            }
            Output::Cut { link, session, class: _ } => {
                if let Some(call) = self.trunk.call_of(link, &session.id) {
                    return self.trunk.cut(now, call);
                }
                if self.text.clients.contains_key(&link) {
                    return self.text.steps.push_back(Step::Cut(link, session));
                }
                let Some(client) = self.clients.get(&link) else { return };
                // A relay's callers are behind it: a Session-Id begins with its origin's name.
                let origin = session.id.split(';').next().filter(|_| client.relay);
                let ends = Endpoints {
                    origin_host: &self.host,
                    origin_realm: &self.realm,
                    destination_realm: &client.remote.realm,
                    destination_host: Some(origin.unwrap_or(&session.owner)),
                };
                out.push(DeskOutput::ToClient { link, message: credit::abort(ends, &session.id) });
            }
            // Callers here are told by their links, and no call is taken over.
            Output::Cleared { .. } | Output::Adopted { .. } => {}
            Output::SendToPeer { to, payload } => out.push(DeskOutput::ToFront { to, payload }),
            // Lists are pushed: there is nothing to subscribe to.
            Output::Subscribe => {}
            Output::Log(text) => tracing::info!("{text}"),
        }
    }

    fn answer(&mut self, request: Request, answer: Final, out: &mut Vec<DeskOutput>) {
        if let Some((link, id)) = self.text.waiting.remove(&request) {
            return self.text.steps.push_back(Step::Told(link, id, Told::Answer(answer)));
        }
        let Some((asked, span)) = self.tickets.remove(&request) else { return };
        let (code, text) = code_of(answer);
        span.in_scope(|| debug!(code, "final answer"));
        let mut message = credit::answer_with_origin(&asked, code, &self.origin);
        message.avps.extend(text.map(|text| Avp::text(dict::ERROR_MESSAGE, text)));
        if let Final::Refused { retry_after, .. } = answer {
            if retry_after > 0 {
                message.push(load::retry_after(retry_after));
            }
        }
        out.push(DeskOutput::ToClient { link: request.link, message });
    }

    /// A CCR with what RFC 8506, section 3.1 wants in it.
    fn ccr(&self, attempt: AttemptId, server: ServerId, class: usize, kind: &[Avp]) -> Message {
        let mut message = Message::request(code::CREDIT_CONTROL, credit::APPLICATION);
        message.avps.reserve(USUAL);
        message.push(Avp::new(dict::SESSION_ID, self.session_of(attempt).into_bytes()));
        message.avps.extend(self.origin.iter().cloned());
        message.avps.extend(self.servers.get(&server).into_iter().flat_map(|far| far.to.iter().cloned()));
        message.push(self.fixed.application.clone());
        message.avps.extend(self.contexts.get(class).cloned());
        message.avps.extend(kind.iter().cloned());
        message
    }

    /// A set-up for a server: a session of its own, what the caller said of the call, where it came from.
    fn set_up(
        &self,
        attempt: AttemptId,
        server: ServerId,
        class: usize,
        session: &Session,
        payload: &Payload,
    ) -> Message {
        let asked = &payload.request;
        let mut message = self.ccr(attempt, server, class, &self.fixed.initial);
        message
            .avps
            .extend(asked.avps.iter().filter(|a| a.vendor != 0 || !OF_ONE_HOP.contains(&a.code)).cloned());
        message.push(Avp::text(dict::ROUTE_RECORD, &session.owner));
        message.push(Avp::new(dict::CC_CORRELATION_ID, name_of(session, payload).into_bytes()));
        message.push(self.fixed.features.clone());
        message
    }
}

/// A call's name at both ends: its owner, and the caller's own name for it.
fn name_of(session: &Session, payload: &Payload) -> String {
    format!("{}|{}", session.owner, payload.name.as_ref().unwrap_or(&session.id))
}

/// What a client's request asks of the engine.
fn read_request(
    table: &Table,
    client: &ClientLink,
    request: Request,
    waited: Micros,
    message: &Arc<Message>,
) -> Result<Input<Payload>, Fault> {
    if message.header.code != code::CREDIT_CONTROL {
        return Err(Fault::new(result::COMMAND_UNSUPPORTED, "only credit control is served"));
    }
    let ccr = Ccr::read(message)?;
    if ccr.origin_host != client.remote.host && !client.relay {
        let text = format!("{} speaks for {}, and is no relay", client.remote.host, ccr.origin_host);
        return Err(Fault::new(result::UNKNOWN_PEER, text));
    }
    // The owner is the peer that shows the session, and the peer is known by its connection: no other client
    // can release it. A Session-Id begins with its origin's name, so relayed ones do not collide.
    let session = Session { owner: client.owner.clone(), id: Arc::from(ccr.session) };
    match ccr.request_type {
        RequestType::Initial => {
            let facts = table.facts(message, &ccr)?;
            let span = debug_span!("call", session = ccr.session);
            Ok(Input::Offered(Offer {
                session,
                request,
                class: facts.class,
                tenant: facts.tenant,
                number: facts.number,
                first_choice: facts.first_choice,
                caller_timeout: facts.gives_up.saturating_sub(waited),
                redial: None,
                was_dropped: false,
                retransmission: if message.header.flags.retransmitted {
                    Retransmission::Repeated
                } else {
                    Retransmission::First
                },
                payload: Payload { request: message.clone(), name: None, span },
            }))
        }
        RequestType::Termination => Ok(Input::Released { session, request }),
        RequestType::Update => Ok(Input::Refreshed { session, request }),
        RequestType::Event => {
            let text = "one-time events are not served: a call is set up and released";
            let avp = message.find(dict::CC_REQUEST_TYPE).cloned();
            let fault = Fault::new(result::UNABLE_TO_COMPLY, text);
            Err(avp.into_iter().fold(fault, Fault::with))
        }
    }
}
