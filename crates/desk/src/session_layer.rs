//! The session layer: passes messages of clients, servers, trunks and fronts to the engine and sends its
//! outputs.

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

use crate::admission::AdmittedClient;
use crate::classification::{number_of, CallClassifier};
use crate::outstanding::RequestKind;
use crate::pool::{PoolError, PoolList, ServerPool};
use crate::process_identity::ProcessIdentity;
use crate::result_codes::{attempt_end, release_cause, result_code};
use crate::text::{EngineReply, Step, TextState};
use crate::trunk::{IncomingCall, TrunkEvent, TrunkGroupView, TrunkSide};

/// Most digits of a number in an IAM.
const MAX_NUMBER_DIGITS: usize = 32;
/// Longest user-to-user information in bytes (Q.763, section 3.60).
const MAX_REFERENCE_BYTES: usize = 129;

/// AVPs for which a CCR reserves room; a set-up adds those of the caller's CCR.
const TYPICAL_AVP_COUNT: usize = 24;

/// AVPs of a caller's CCR that are not forwarded to the server: they belong to one hop or one session.
const HOP_SPECIFIC_AVPS: [u32; 14] = [
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

/// An event for the session layer.
#[derive(Debug, Clone, PartialEq)]
pub enum SessionInput {
    /// A client completed its capabilities exchange.
    ClientUp {
        /// The link of the client.
        link: LinkId,
        /// The client.
        client: AdmittedClient,
    },
    /// The link of a client is down.
    ClientDown(LinkId),
    /// An application request from a client.
    ClientRequest {
        /// The link of the client.
        link: LinkId,
        /// The request.
        message: Message,
    },
    /// The link to a server is usable.
    ServerUp {
        /// The server.
        server: ServerId,
        /// Its Origin-State-Id.
        state_id: Option<u32>,
    },
    /// A server did not answer a watchdog request.
    ServerSuspect(ServerId),
    /// The link to a server is down.
    ServerDown(ServerId),
    /// A server announced that it drains.
    ServerDraining(ServerId),
    /// A set-up expired in the queue of its link while the process was stalled and was not sent.
    SetUpNotSent(AttemptId),
    /// A server answered a request.
    ServerAnswer {
        /// The server.
        server: ServerId,
        /// The attempt that the request belonged to.
        attempt: AttemptId,
        /// Kind of the request.
        kind: RequestKind,
        /// The answer.
        message: Message,
    },
    /// An application request from a server.
    ServerRequest {
        /// The server.
        server: ServerId,
        /// The request.
        message: Message,
    },
    /// An H.248 text message.
    Text {
        /// The source address or the connection.
        link: LinkId,
        /// Whether the transport is reliable.
        reliable: bool,
        /// The text.
        bytes: Vec<u8>,
    },
    /// A connection of H.248 text closed.
    TextClosed(LinkId),
    /// The signalling link to the far end with this point code is usable.
    TrunkUp(u32),
    /// The signalling link to the far end with this point code is down.
    TrunkDown(u32),
    /// A packet from a far end.
    TrunkPacket(Data),
    /// A message from another front.
    PeerMessage {
        /// Ordinal of the sender.
        from: u32,
        /// The message.
        payload: Vec<u8>,
    },
    /// Timers may be due.
    Tick,
    /// The front stops: calls in set-up are answered and new ones are refused.
    Stop,
    /// The drain grace is over: the remaining established calls are cut.
    CutAll,
}

/// A message that the driver sends.
#[derive(Debug, Clone, PartialEq)]
pub enum SessionOutput {
    /// A message to a client.
    ToClient {
        /// The link of the client.
        link: LinkId,
        /// The message; the link assigns the ids of a request.
        message: Message,
    },
    /// A request to a server.
    ToServer {
        /// The server.
        server: ServerId,
        /// The attempt that the request belongs to.
        attempt: AttemptId,
        /// Kind of the request.
        kind: RequestKind,
        /// The message; the link assigns its ids.
        message: Message,
        /// When the request was issued.
        at: Micros,
    },
    /// H.248 text to a client.
    Text {
        /// The address or connection of the client.
        link: LinkId,
        /// The text.
        text: Arc<str>,
    },
    /// A packet to the far end that its destination point code names.
    ToFarEnd(Data),
    /// An answer to a server's request.
    Reply {
        /// The server.
        server: ServerId,
        /// The answer.
        message: Message,
    },
    /// A message to another front.
    ToFront {
        /// Ordinal of the receiver.
        to: u32,
        /// The message.
        payload: Vec<u8>,
    },
}

/// Numbers of objects that the session layer holds, for logs and tests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Held {
    /// Calls, in set-up or established.
    pub calls: usize,
    /// Calls without their final answer.
    pub in_set_up: usize,
    /// Detached attempts that await their release.
    pub orphans: usize,
    /// Client requests that await an answer.
    pub tickets: usize,
    /// Cached final answers.
    pub remembered: usize,
}

/// Data kept with a call until its final answer.
#[derive(Debug, Clone)]
pub(crate) struct Payload {
    pub(crate) request: Arc<Message>,
    /// The caller's reference for the call, if its session id was not chosen by the caller.
    pub(crate) caller_reference: Option<Arc<str>>,
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

/// A server, with the destination AVPs of every request to it. They are built once, because building messages
/// is most of the cost of a call.
#[derive(Debug)]
struct Destination {
    host: String,
    avps: [Avp; 2],
}

/// AVPs that are the same in all requests to servers, built once.
#[derive(Debug)]
struct ConstantAvps {
    application: Avp,
    initial: [Avp; 2],
    termination: [Avp; 3],
    features: Avp,
}

impl ConstantAvps {
    fn new() -> Self {
        let kind = |kind: RequestType, number| {
            [Avp::u32(dict::CC_REQUEST_TYPE, kind.value()), Avp::u32(dict::CC_REQUEST_NUMBER, number)]
        };
        let [request_type, number] = kind(RequestType::Termination, 1);
        Self {
            application: Avp::u32(dict::AUTH_APPLICATION_ID, credit::APPLICATION),
            initial: kind(RequestType::Initial, 0),
            // 1 is DIAMETER_LOGOUT (RFC 6733, section 8.15): the caller or this front ended the session.
            termination: [request_type, number, Avp::u32(dict::TERMINATION_CAUSE, 1)],
            features: Avp::group(dict::OC_SUPPORTED_FEATURES, &[Avp::u64(dict::OC_FEATURE_VECTOR, 1)]),
        }
    }
}

/// Maps the messages of all protocols to calls of the engine, and its outputs to messages. See the crate
/// documentation.
#[derive(Debug)]
pub struct SessionLayer {
    pub(crate) host: String,
    realm: String,
    pub(crate) identity: ProcessIdentity,
    /// Prefix of the Session-Ids towards servers.
    session_prefix: String,
    pub(crate) classifier: CallClassifier,
    pub(crate) text: TextState,
    trunk: TrunkSide,
    pool: ServerPool,
    /// Origin-Host and Origin-Realm of this front.
    origin: [Avp; 2],
    /// Service-Context-Id of each class.
    service_contexts: Vec<Avp>,
    servers: BTreeMap<ServerId, Destination>,
    constant_avps: ConstantAvps,
    engine: Engine<Payload>,
    clients: BTreeMap<LinkId, ClientLink>,
    pending_requests: BTreeMap<Request, (Arc<Message>, Span)>,
    pub(crate) next_ticket: u64,
    /// Last Origin-State-Id of each host; bounded, since only configured hosts are admitted.
    state_ids: BTreeMap<String, u32>,
    outputs: Vec<Output<Payload>>,
    pub(crate) faults: u64,
}

impl SessionLayer {
    /// Creates the session layer of a front. `identity` distinguishes its Session-Ids from those of other
    /// processes.
    ///
    /// # Errors
    /// If the engine rejects the settings.
    pub fn new(config: &Config, identity: ProcessIdentity, seed: u64) -> Result<Self, EngineError> {
        Ok(Self::with_engine(
            config,
            identity,
            Engine::new(config.settings.clone(), config.limits.clone(), seed)?,
        ))
    }

    /// Creates a session layer with another policy than the decision module, for comparisons.
    ///
    /// # Errors
    /// As [`SessionLayer::new`].
    pub fn with_policy(
        config: &Config,
        identity: ProcessIdentity,
        policy: Box<dyn Policy>,
    ) -> Result<Self, EngineError> {
        let engine = Engine::with_policy(config.settings.clone(), config.limits.clone(), policy)?;
        Ok(Self::with_engine(config, identity, engine))
    }

    fn with_engine(config: &Config, identity: ProcessIdentity, mut engine: Engine<Payload>) -> Self {
        engine.handle(0, Input::List(ListKind::Full, ServerPool::initial_entries(config)), &mut Vec::new());
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
                incarnation: identity.incarnation,
            });
        }
        if fleet.is_some_and(|fleet| fleet.membership) {
            let (incarnation, seed) = (identity.state_id, identity.incarnation);
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
            session_prefix: format!("{};{identity}", config.host),
            identity,
            classifier: CallClassifier::new(config),
            text: TextState::new(config, identity.incarnation),
            pool: ServerPool::new(config),
            origin: [
                Avp::text(dict::ORIGIN_HOST, &config.host),
                Avp::text(dict::ORIGIN_REALM, &config.realm),
            ],
            service_contexts: config
                .classes
                .iter()
                .map(|c| Avp::text(dict::SERVICE_CONTEXT_ID, c.contexts.first().map_or("", String::as_str)))
                .collect(),
            constant_avps: ConstantAvps::new(),
            servers: config
                .servers
                .iter()
                .map(|s| {
                    let avps = [
                        Avp::text(dict::DESTINATION_REALM, &s.realm),
                        Avp::text(dict::DESTINATION_HOST, &s.host),
                    ];
                    (u64::from(s.number), Destination { host: s.host.clone(), avps })
                })
                .collect(),
            engine,
            clients: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            next_ticket: 0,
            state_ids: BTreeMap::new(),
            outputs: Vec::new(),
            faults: 0,
        }
    }

    /// Handles one input without running timers. The driver passes all queued input before
    /// [`SessionInput::Tick`], so that after a stall of this process drain announcements take effect before
    /// set-ups.
    pub fn handle(&mut self, now: Micros, input: SessionInput, out: &mut Vec<SessionOutput>) {
        match input {
            SessionInput::ClientUp { link, client } => self.client_up(now, link, client, out),
            SessionInput::ClientDown(link) => self.client_down(now, link, out),
            SessionInput::ClientRequest { link, message } => self.client_request(now, link, message, out),
            SessionInput::ServerUp { server, state_id } => {
                let host =
                    self.servers.get(&server).map(|destination| destination.host.clone()).unwrap_or_default();
                let process = match state_id {
                    None => Process::Unknown,
                    Some(_) if self.record_state_id(&host, state_id) => Process::New,
                    Some(_) => Process::Same,
                };
                self.set_server_link(now, server, LinkState::Up(process), out);
            }
            SessionInput::ServerSuspect(server) => self.set_server_link(now, server, LinkState::Suspect, out),
            SessionInput::ServerDown(server) => self.set_server_link(now, server, LinkState::Down, out),
            // The set-up was not sent, so nothing ran.
            SessionInput::SetUpNotSent(attempt) => {
                let end = AttemptEnd::plain(Outcome::Moot);
                self.run_engine(now, Input::Ended { attempt, end }, out);
            }
            SessionInput::ServerDraining(server) => self.run_engine(now, Input::DrainAnnounced(server), out),
            SessionInput::ServerAnswer { server, attempt, kind, message } => {
                self.server_answer(now, server, attempt, kind, &message, out);
            }
            SessionInput::ServerRequest { server, message } => {
                self.server_request(now, server, &message, out)
            }
            SessionInput::Text { link, reliable, bytes } => {
                self.handle_text(now, link, reliable, &bytes, out)
            }
            SessionInput::TextClosed(link) => self.close_text_client(now, link, out),
            SessionInput::TrunkUp(point) => self.set_trunk_link(now, point, true, out),
            SessionInput::TrunkDown(point) => self.set_trunk_link(now, point, false, out),
            SessionInput::TrunkPacket(data) => {
                self.faults += u64::from(!self.trunk.handle_packet(now, &data))
            }
            SessionInput::PeerMessage { from, payload } => {
                self.run_engine(now, Input::Peer { from, payload }, out)
            }
            SessionInput::Tick => {
                self.run_engine(now, Input::Tick, out);
                self.tick_text(now, out);
                self.trunk.tick(now);
            }
            SessionInput::Stop => self.run_engine(now, Input::Stop, out),
            SessionInput::CutAll => self.run_engine(now, Input::CutAll, out),
        }
        self.process_queues(now, out);
    }

    /// Processes the queued steps of text transactions and trunk events until none are left.
    fn process_queues(&mut self, now: Micros, out: &mut Vec<SessionOutput>) {
        loop {
            self.run_text_steps(now, out);
            out.extend(self.trunk.packets.drain(..).map(SessionOutput::ToFarEnd));
            let Some(event) = self.trunk.events.pop_front() else { return };
            self.handle_trunk_event(now, event, out);
        }
    }

    /// Sets for how long following input may have been queued while this process was stalled, in
    /// microseconds. The caller timeouts of new calls are shortened by it.
    pub fn set_input_delay(&mut self, span: Micros) {
        self.engine.set_input_delay(span);
    }

    pub(crate) fn input_delay(&self) -> Micros {
        self.engine.input_delay()
    }

    /// Applies a pushed server list.
    ///
    /// # Errors
    /// If the list is rejected; the last valid one stays in force.
    pub fn apply_pool_list(
        &mut self,
        now: Micros,
        list: &PoolList,
        out: &mut Vec<SessionOutput>,
    ) -> Result<(), PoolError> {
        let (kind, entries) = self.pool.apply(now, list)?;
        self.run_engine(now, Input::List(kind, entries), out);
        self.process_queues(now, out);
        Ok(())
    }

    /// When [`SessionInput::Tick`] is due next.
    pub fn next_wake(&self) -> Option<Micros> {
        let text = self
            .text
            .clients
            .values()
            .flat_map(|client| [client.exchange.next_wake(), client.drain_deadline])
            .flatten();
        self.engine.next_wake().into_iter().chain(text).chain(self.trunk.next_wake()).min()
    }

    /// Counters of the engine.
    pub fn counts(&self) -> &Counts {
        self.engine.counts()
    }

    /// Sets the start time of the process, for clocks that did not start with it, as in virtual time.
    pub fn set_start_time(&mut self, now: Micros) {
        self.engine.set_start_time(now);
    }

    /// How often the engine suppressed an action that would have violated a rule, by rule name.
    pub fn held_back(&self) -> Vec<(&'static str, u64)> {
        Breach::ALL.iter().map(|breach| (breach.name(), self.engine.held_back(*breach))).collect()
    }

    /// Number of requests and packets rejected as faulty.
    pub fn faults(&self) -> u64 {
        self.faults
    }

    /// The trunk groups and their state.
    pub fn trunk_groups(&self) -> Vec<TrunkGroupView> {
        self.trunk.groups()
    }

    /// The membership of the fleet, if enabled by the configuration.
    pub fn membership(&self) -> Option<&baydrift_fleet::Membership> {
        self.engine.membership()
    }

    /// This front's share of the fleet budget of each server, if budget sharing is enabled.
    pub fn holdings(&self) -> impl Iterator<Item = (ServerId, Holdings)> + '_ {
        self.engine.holdings()
    }

    /// The signalling point of the trunk groups.
    pub fn signalling_point(&self) -> &SignallingPoint {
        self.trunk.signalling_point()
    }

    /// Numbers of calls, requests and answers held.
    pub fn held(&self) -> Held {
        Held {
            calls: self.engine.active_calls(),
            in_set_up: self.engine.calls_in_set_up(),
            orphans: self.engine.detached_attempts(),
            tickets: self.pending_requests.len(),
            remembered: self.engine.cached_answers(),
        }
    }

    /// Records the Origin-State-Id of a host; returns whether it shows a restart (RFC 6733, section 8.16).
    fn record_state_id(&mut self, host: &str, state_id: Option<u32>) -> bool {
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

    fn set_server_link(
        &mut self,
        now: Micros,
        server: ServerId,
        state: LinkState,
        out: &mut Vec<SessionOutput>,
    ) {
        self.run_engine(now, Input::ServerLink { server, state }, out);
    }

    // --- clients ---

    fn client_up(&mut self, now: Micros, link: LinkId, client: AdmittedClient, out: &mut Vec<SessionOutput>) {
        let AdmittedClient { remote, relay } = client;
        let restarted = self.record_state_id(&remote.host, remote.state_id);
        let owner: Arc<str> = Arc::from(remote.host.as_str());
        self.clients.insert(link, ClientLink { remote, relay, owner: owner.clone() });
        self.run_engine(now, Input::ClientUp { link, owner, restarted }, out);
    }

    fn client_down(&mut self, now: Micros, link: LinkId, out: &mut Vec<SessionOutput>) {
        if self.clients.remove(&link).is_none() {
            return;
        }
        let first = Request { link, ticket: 0 };
        let last = Request { link, ticket: u64::MAX };
        let removed: Vec<_> =
            self.pending_requests.range(first..=last).map(|(request, _)| *request).collect();
        for request in removed {
            self.pending_requests.remove(&request);
        }
        self.run_engine(now, Input::ClientDown(link), out);
    }

    fn client_request(&mut self, now: Micros, link: LinkId, message: Message, out: &mut Vec<SessionOutput>) {
        let Some(client) = self.clients.get(&link) else { return };
        let request = Request { link, ticket: self.next_ticket };
        self.next_ticket += 1;
        let message = Arc::new(message);
        let input_delay = self.input_delay();
        let input = match read_request(&self.classifier, client, request, input_delay, &message) {
            Ok(input) => input,
            Err(fault) => {
                self.faults += 1;
                debug!(peer = client.remote.host, code = fault.code, "{}", fault.text);
                let message = Message::error_answer(&message, &fault, &self.host, &self.realm);
                return out.push(SessionOutput::ToClient { link, message });
            }
        };
        let payload = match &input {
            Input::Offered(offer) => offer.payload.clone(),
            _ => Payload { request: message, caller_reference: None, span: Span::none() },
        };
        self.pending_requests.insert(request, (payload.request, payload.span));
        self.run_engine(now, input, out);
    }

    // --- servers ---

    fn server_answer(
        &mut self,
        now: Micros,
        server: ServerId,
        attempt: AttemptId,
        kind: RequestKind,
        message: &Message,
        out: &mut Vec<SessionOutput>,
    ) {
        debug!(server, attempt = attempt.0, ?kind, result = message.result(), "answer");
        let input = match (kind, attempt_end(message)) {
            (RequestKind::Release, _) => Input::ReleaseDone { attempt, report: load::read(message) },
            (RequestKind::SetUp, None) => Input::Established { attempt, report: load::read(message) },
            (RequestKind::SetUp, Some(end)) => Input::Ended { attempt, end },
        };
        self.run_engine(now, input, out);
    }

    fn server_request(
        &mut self,
        now: Micros,
        server: ServerId,
        message: &Message,
        out: &mut Vec<SessionOutput>,
    ) {
        let session = message.text(dict::SESSION_ID).unwrap_or("");
        let attempt = self.attempt_for_session(session);
        let (code, attempt) = match (message.header.code, attempt) {
            (code::ABORT_SESSION, Some(attempt)) => (result::SUCCESS, Some(attempt)),
            (code::ABORT_SESSION, None) => (result::UNKNOWN_SESSION_ID, None),
            _ => (result::COMMAND_UNSUPPORTED, None),
        };
        let answer = Message::answer(message, code)
            .with(Avp::text(dict::ORIGIN_HOST, &self.host))
            .with(Avp::text(dict::ORIGIN_REALM, &self.realm));
        out.push(SessionOutput::Reply { server, message: answer });
        if let Some(attempt) = attempt {
            self.run_engine(now, Input::Cut { attempt, report: load::read(message) }, out);
        }
    }

    /// Session-Id towards servers: host, process identity and attempt (RFC 6733, section 8.8).
    fn attempt_session_id(&self, attempt: AttemptId) -> String {
        format!("{};{}", self.session_prefix, attempt.0)
    }

    fn attempt_for_session(&self, session: &str) -> Option<AttemptId> {
        let (prefix, attempt) = session.rsplit_once(';')?;
        (prefix == self.session_prefix).then_some(AttemptId(attempt.parse().ok()?))
    }

    // --- trunks ---

    fn set_trunk_link(&mut self, now: Micros, point: u32, up: bool, out: &mut Vec<SessionOutput>) {
        let Some(server) = self.trunk.server_at(point) else { return };
        if up {
            self.trunk.set_reachable(now, point, true);
            // The link does not show whether the far end restarted, so it may need a warm-up.
            self.set_server_link(now, server, LinkState::Up(Process::Unknown), out);
            // Attempts that the engine dropped while the far end was unreachable still hold a circuit at both
            // ends.
            for (attempt, server) in self.trunk.attempts() {
                if !self.engine.has_attempt(attempt) {
                    self.trunk.release(now, attempt, server);
                }
            }
        } else {
            self.set_server_link(now, server, LinkState::Down, out);
            self.trunk.set_reachable(now, point, false);
        }
    }

    fn handle_trunk_event(&mut self, now: Micros, event: TrunkEvent, out: &mut Vec<SessionOutput>) {
        let input = match event {
            TrunkEvent::Established(attempt, report) => Input::Established { attempt, report },
            TrunkEvent::Ended(attempt, end) => Input::Ended { attempt, end },
            TrunkEvent::Cut(attempt, report) => Input::Cut { attempt, report },
            TrunkEvent::Released(attempt, report) => Input::ReleaseDone { attempt, report },
            TrunkEvent::Incoming(call) => Input::Offered(self.incoming_offer(&call)),
            TrunkEvent::Cleared(call, far, request) => {
                Input::Released { session: self.incoming_session(self.trunk.host(far), call), request }
            }
        };
        self.run_engine(now, input, out);
    }

    /// Session of an incoming trunk call. The id is generated here, because references of far ends may
    /// repeat.
    fn incoming_session(&self, owner: Arc<str>, call: CallKey) -> Session {
        Session { owner, id: Arc::from(format!("{};{}", self.identity, call.0)) }
    }

    /// Offer for an incoming trunk call, with the CCR that a Diameter client would send.
    fn incoming_offer(&self, incoming: &IncomingCall) -> Offer<Payload> {
        let IncomingCall { call, request, far_end, number, reference, config } = incoming;
        let session = self.incoming_session(self.trunk.host(*far_end), *call);
        let class = self.classifier.class(config.class);
        let ends = Endpoints {
            origin_host: &self.host,
            origin_realm: &self.realm,
            destination_realm: self.classifier.first_realm(),
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
            class: config.class,
            tenant: config.publisher,
            number: number_of(number),
            first_choice: None,
            caller_timeout: class.1.saturating_sub(self.input_delay()),
            redial: None,
            was_dropped: false,
            retransmission: Retransmission::First,
            payload: Payload { request: Arc::new(message), caller_reference: reference.clone(), span },
        }
    }

    /// Contents of the IAM of a set-up: the number, and the ids of both sessions for correlation with the
    /// records of the far end.
    fn trunk_setup(&self, attempt: AttemptId, session: &Session, payload: &Payload) -> Setup {
        let called = payload.request.text(dict::CALLED_STATION_ID).unwrap_or("");
        let number =
            called.bytes().filter(u8::is_ascii_digit).take(MAX_NUMBER_DIGITS).map(|digit| digit - b'0');
        let mut reference =
            format!("{} {}", self.attempt_session_id(attempt), correlation_id(session, payload)).into_bytes();
        reference.truncate(MAX_REFERENCE_BYTES);
        Setup { number: number.collect(), reference: Arc::from(reference) }
    }

    // --- the engine ---

    pub(crate) fn run_engine(&mut self, now: Micros, input: Input<Payload>, out: &mut Vec<SessionOutput>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        outputs.clear();
        if input == Input::Tick {
            self.engine.handle(now, input, &mut outputs);
        } else {
            self.engine.apply(now, input, &mut outputs);
        }
        for output in outputs.drain(..) {
            self.apply_output(now, output, out);
        }
        self.outputs = outputs;
    }

    fn apply_output(&mut self, now: Micros, output: Output<Payload>, out: &mut Vec<SessionOutput>) {
        match output {
            Output::SetUp { attempt, server, call, index, session, payload, .. }
                if self.trunk.is_far_end(server) =>
            {
                payload.span.in_scope(|| debug!(call, index, server, attempt = attempt.0, "seize"));
                let setup = self.trunk_setup(attempt, &session, &payload);
                // Reserved circuits are for calls whose first attempt this is.
                let choice = if index == 0 { RouteChoice::First } else { RouteChoice::Overflow };
                self.trunk.set_up(now, attempt, server, setup, choice);
            }
            Output::Release { attempt, server, .. } if self.trunk.is_far_end(server) => {
                self.trunk.release(now, attempt, server);
            }
            Output::SetUp { attempt, server, call, index, class, session, payload, .. } => {
                payload.span.in_scope(|| debug!(call, index, server, attempt = attempt.0, "set up"));
                let message = self.set_up(attempt, server, class, &session, &payload);
                out.push(SessionOutput::ToServer {
                    server,
                    attempt,
                    kind: RequestKind::SetUp,
                    message,
                    at: now,
                });
            }
            Output::Release { attempt, server, class } => {
                let message = self.ccr(attempt, server, class, &self.constant_avps.termination);
                out.push(SessionOutput::ToServer {
                    server,
                    attempt,
                    kind: RequestKind::Release,
                    message,
                    at: now,
                });
            }
            Output::Answer { request, session: _, answer } => match self.trunk.call_for_request(request) {
                Some(call) => self.trunk.answer(now, call, release_cause(answer)),
                None => self.answer(request, answer, out),
            },
            Output::AnswerRelease { request, result, .. } => {
                if let Some((link, id)) = self.text.pending_requests.remove(&request) {
                    return self.text.steps.push_back(Step::Completed(
                        link,
                        id,
                        EngineReply::Released(result),
                    ));
                }
                let code = match result {
                    ReleaseResult::Done => result::SUCCESS,
                    ReleaseResult::Unknown => result::UNKNOWN_SESSION_ID,
                };
                if let Some((original, _)) = self.pending_requests.remove(&request) {
                    let message = credit::answer_with_origin(&original, code, &self.origin);
                    out.push(SessionOutput::ToClient { link: request.link, message });
                }
            }
            Output::Dropped(request) => {
                self.text.pending_requests.remove(&request);
                self.pending_requests.remove(&request);
            }
            Output::Cut { link, session, class: _ } => {
                if let Some(call) = self.trunk.call_for_session(link, &session.id) {
                    return self.trunk.cut(now, call);
                }
                if self.text.clients.contains_key(&link) {
                    return self.text.steps.push_back(Step::Cut(link, session));
                }
                let Some(client) = self.clients.get(&link) else { return };
                // Behind a relay, the destination is the origin host, with which a Session-Id begins.
                let origin = session.id.split(';').next().filter(|_| client.relay);
                let ends = Endpoints {
                    origin_host: &self.host,
                    origin_realm: &self.realm,
                    destination_realm: &client.remote.realm,
                    destination_host: Some(origin.unwrap_or(&session.owner)),
                };
                out.push(SessionOutput::ToClient { link, message: credit::abort(ends, &session.id) });
            }
            // Callers learn this from their links, and no call is taken over from another front.
            Output::Cleared { .. } | Output::Adopted { .. } => {}
            Output::SendToPeer { to, payload } => out.push(SessionOutput::ToFront { to, payload }),
            // Server lists are pushed, so no subscription is needed.
            Output::Subscribe => {}
            Output::Log(text) => tracing::info!("{text}"),
        }
    }

    fn answer(&mut self, request: Request, answer: Final, out: &mut Vec<SessionOutput>) {
        if let Some((link, id)) = self.text.pending_requests.remove(&request) {
            return self.text.steps.push_back(Step::Completed(link, id, EngineReply::Answer(answer)));
        }
        let Some((original, span)) = self.pending_requests.remove(&request) else { return };
        let (code, text) = result_code(answer);
        span.in_scope(|| debug!(code, "final answer"));
        let mut message = credit::answer_with_origin(&original, code, &self.origin);
        message.avps.extend(text.map(|text| Avp::text(dict::ERROR_MESSAGE, text)));
        if let Final::Refused { retry_after, .. } = answer {
            if retry_after > 0 {
                message.push(load::retry_after(retry_after));
            }
        }
        out.push(SessionOutput::ToClient { link: request.link, message });
    }

    /// A CCR with the AVPs that RFC 8506, section 3.1 requires.
    fn ccr(&self, attempt: AttemptId, server: ServerId, class: usize, type_avps: &[Avp]) -> Message {
        let mut message = Message::request(code::CREDIT_CONTROL, credit::APPLICATION);
        message.avps.reserve(TYPICAL_AVP_COUNT);
        message.push(Avp::new(dict::SESSION_ID, self.attempt_session_id(attempt).into_bytes()));
        message.avps.extend(self.origin.iter().cloned());
        message.avps.extend(
            self.servers.get(&server).into_iter().flat_map(|destination| destination.avps.iter().cloned()),
        );
        message.push(self.constant_avps.application.clone());
        message.avps.extend(self.service_contexts.get(class).cloned());
        message.avps.extend(type_avps.iter().cloned());
        message
    }

    /// A set-up for a server: a new session, the end-to-end AVPs of the caller's CCR and the route.
    fn set_up(
        &self,
        attempt: AttemptId,
        server: ServerId,
        class: usize,
        session: &Session,
        payload: &Payload,
    ) -> Message {
        let original = &payload.request;
        let mut message = self.ccr(attempt, server, class, &self.constant_avps.initial);
        message.avps.extend(
            original.avps.iter().filter(|a| a.vendor != 0 || !HOP_SPECIFIC_AVPS.contains(&a.code)).cloned(),
        );
        message.push(Avp::text(dict::ROUTE_RECORD, &session.owner));
        message.push(Avp::new(dict::CC_CORRELATION_ID, correlation_id(session, payload).into_bytes()));
        message.push(self.constant_avps.features.clone());
        message
    }
}

/// CC-Correlation-Id of a call: its owner and the caller's reference for it.
fn correlation_id(session: &Session, payload: &Payload) -> String {
    format!("{}|{}", session.owner, payload.caller_reference.as_ref().unwrap_or(&session.id))
}

/// Converts a client's request to an input of the engine.
fn read_request(
    classifier: &CallClassifier,
    client: &ClientLink,
    request: Request,
    input_delay: Micros,
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
    // The owner of a session is the peer on whose connection it arrived, so no other client can release it.
    // Relayed sessions do not collide, since a Session-Id begins with the name of its origin.
    let session = Session { owner: client.owner.clone(), id: Arc::from(ccr.session) };
    match ccr.request_type {
        RequestType::Initial => {
            let attributes = classifier.classify(message, &ccr)?;
            let span = debug_span!("call", session = ccr.session);
            Ok(Input::Offered(Offer {
                session,
                request,
                class: attributes.class,
                tenant: attributes.tenant,
                number: attributes.number,
                first_choice: attributes.first_choice,
                caller_timeout: attributes.caller_timeout.saturating_sub(input_delay),
                redial: None,
                was_dropped: false,
                retransmission: if message.header.flags.retransmitted {
                    Retransmission::Repeated
                } else {
                    Retransmission::First
                },
                payload: Payload { request: message.clone(), caller_reference: None, span },
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
