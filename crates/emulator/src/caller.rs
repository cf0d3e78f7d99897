//! Model of the callers behind one Diameter client: open-loop arrivals, caller timeouts, redials and
//! retransmissions. Performs no I/O and reads no clock.

use std::collections::BTreeMap;
use std::sync::Arc;

use baydrift::interface::Micros;
use baydrift_audit::RecordEvent;
use baydrift_diameter::credit::{self, Endpoints, RequestType, APPLICATION};
use baydrift_diameter::{
    code, dict, load, result, Avp, Frame, Local, Message, Peer, PeerInput, PeerOutput, Side,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::call_schedule::{choose_weighted, sample_exponential, CallSchedule};
use crate::offered_load::{Flow, OfferedLoad};

/// Configuration of [`Callers`].
#[derive(Debug, Clone)]
pub struct CallerSpec {
    /// Origin-Host.
    pub host: String,
    /// Origin-Realm.
    pub realm: String,
    /// Ordinal, Origin-Host and Origin-Realm of the front.
    pub front: (u32, String, String),
    /// Destination-Realm of the calls.
    pub destination_realm: String,
    /// Host and weight of each server, in order of number; first choices are drawn by weight.
    pub servers: Vec<(String, f64)>,
    /// Flows of calls.
    pub flows: Vec<Flow>,
    /// Diameter watchdog interval Tw, microseconds.
    pub watchdog: Micros,
}

/// Input of [`Callers`].
#[derive(Debug, Clone, PartialEq)]
pub enum CallerInput {
    /// The connection is established.
    Connected,
    /// A message was received.
    Received(Frame),
    /// The connection was closed or could not be established.
    Closed,
    /// Timers may be due.
    Tick,
}

/// Action that [`Callers`] request.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerOutput {
    /// Connect to the front.
    Connect,
    /// Send a message.
    Send(Message),
    /// Close the connection after the messages sent on it are flushed.
    Close,
    /// Add an event to the record.
    Record(RecordEvent),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallState {
    Pending,
    Established,
    Ended,
}

#[derive(Debug)]
struct Call {
    flow: usize,
    first: Option<String>,
    redials: u32,
    state: CallState,
    answered: bool,
    hot: bool,
    choice: usize,
    request: Message,
}

/// A timer of a call, identified by its session.
#[derive(Debug)]
enum Timer {
    CallerTimeout(String),
    Hangup(String),
    Redial { flow: usize, first: String, redials: u32, hot: bool, choice: usize },
    Forget(String),
}

/// State of the connection.
#[derive(Debug)]
enum ConnectionState {
    /// Closed; the time of the next connection attempt.
    Down(Micros),
    Connecting,
    /// Open; whether capabilities are exchanged.
    Open(Box<Peer>, bool),
    /// All calls have ended and the peer is disconnected for good.
    Finished,
}

/// The callers of one client; see the module documentation.
#[derive(Debug)]
pub struct Callers {
    spec: CallerSpec,
    local: Arc<Local>,
    offered_load: OfferedLoad,
    rng: Pcg64Mcg,
    schedule: CallSchedule<Timer>,
    calls: BTreeMap<String, Call>,
    /// Session of each outstanding request by its hop-by-hop id.
    by_id: BTreeMap<u32, String>,
    /// Number of calls offered so far.
    call_count: u64,
    /// Value of [`OfferedLoad::reconnects`] that was last acted upon.
    reconnects_done: u32,
    connection: ConnectionState,
    /// Number of connections established so far.
    connection_count: u32,
}

/// Called number of hot calls.
const HOT_NUMBER: &str = "5550199";
/// How long a call is kept after it ended, so that late answers are recognised, microseconds.
const CALL_RETENTION: Micros = 2_000_000;
/// Delay before a closed connection is re-established, microseconds.
const RECONNECT_DELAY: Micros = 20_000;
/// Longest interval between two ticks, microseconds.
const MAX_TICK_INTERVAL: Micros = 1_000_000;

impl Callers {
    /// Creates callers that connect at their first [`CallerInput::Tick`]; `seed` determines all random
    /// choices.
    pub fn new(spec: CallerSpec, offered_load: OfferedLoad, seed: u64) -> Self {
        let local = Local {
            host: spec.host.clone(),
            realm: spec.realm.clone(),
            addresses: vec![[127, 0, 0, 1].into()],
            vendor: 0,
            product: "stand-in".into(),
            state_id: 1,
            applications: vec![APPLICATION],
            commands: vec![(APPLICATION, code::ABORT_SESSION)],
        };
        Self {
            local: Arc::new(local),
            schedule: CallSchedule::new(spec.flows.len()),
            spec,
            offered_load,
            rng: Pcg64Mcg::seed_from_u64(seed),
            calls: BTreeMap::new(),
            by_id: BTreeMap::new(),
            call_count: 0,
            reconnects_done: 0,
            connection: ConnectionState::Down(0),
            connection_count: 0,
        }
    }

    /// Replaces the offered load.
    pub fn set_offered_load(&mut self, offered_load: OfferedLoad) {
        self.offered_load = offered_load;
    }

    /// Whether all calls have ended and no more will be offered.
    pub fn is_finished(&self) -> bool {
        matches!(self.connection, ConnectionState::Finished)
    }

    fn is_drained(&self) -> bool {
        let open = self.calls.values().any(|call| call.state != CallState::Ended);
        self.offered_load.factor <= 0.0 && !open
    }

    /// Time by which the next [`CallerInput::Tick`] is needed.
    pub fn due(&self, now: Micros) -> Micros {
        match &self.connection {
            ConnectionState::Down(at) => *at,
            ConnectionState::Connecting | ConnectionState::Finished => Micros::MAX,
            ConnectionState::Open(peer, up) => {
                let calls = if *up { self.schedule.next_due() } else { Micros::MAX };
                peer.due().min(calls).min(now.saturating_add(MAX_TICK_INTERVAL))
            }
        }
    }

    /// Handles one input; appends the requested actions.
    pub fn handle(&mut self, now: Micros, input: CallerInput, out: &mut Vec<CallerOutput>) {
        match input {
            CallerInput::Connected => self.connected(now, out),
            CallerInput::Received(Frame::Valid(message)) => {
                let frame = Frame::Valid(message);
                self.peer_input(now, PeerInput::Received(Side::Initiator, frame), out);
            }
            CallerInput::Received(Frame::Invalid(..)) => self.disconnect(now, out),
            CallerInput::Closed => self.connection_lost(now, out),
            CallerInput::Tick => self.tick(now, out),
        }
    }

    fn connected(&mut self, now: Micros, out: &mut Vec<CallerOutput>) {
        self.connection_count += 1;
        let expect = Some((self.spec.front.1.clone(), self.spec.front.2.clone()));
        let (local, watchdog, seed) = (self.local.clone(), self.spec.watchdog, self.rng.random());
        let mut peer = Peer::new(local, expect, watchdog, (now as u32) << 12, seed);
        peer.handle(now, PeerInput::Start, &mut Vec::new());
        self.connection = ConnectionState::Open(Box::new(peer), false);
        self.peer_input(now, PeerInput::Connected, out);
    }

    /// Closes the connection from this end.
    fn disconnect(&mut self, now: Micros, out: &mut Vec<CallerOutput>) {
        out.push(CallerOutput::Close);
        self.connection_lost(now, out);
    }

    fn connection_lost(&mut self, now: Micros, out: &mut Vec<CallerOutput>) {
        if matches!(self.connection, ConnectionState::Open(..)) {
            let (front, client) = (self.spec.front.0, self.spec.host.clone());
            out.push(CallerOutput::Record(RecordEvent::ClientDisconnected { front, client }));
        }
        if !self.is_finished() {
            self.connection = if self.is_drained() {
                ConnectionState::Finished
            } else {
                ConnectionState::Down(now + RECONNECT_DELAY)
            };
        }
    }

    fn peer_input(&mut self, now: Micros, input: PeerInput, out: &mut Vec<CallerOutput>) {
        let mut outputs = Vec::new();
        if let ConnectionState::Open(peer, _) = &mut self.connection {
            peer.handle(now, input, &mut outputs);
        }
        for output in outputs {
            match output {
                PeerOutput::Send(_, message) => out.push(CallerOutput::Send(message)),
                PeerOutput::Up(_) => self.connection_up(out),
                PeerOutput::Answer(message) => self.answer(now, &message, out),
                PeerOutput::Request(message) => {
                    let answer = self.abort(now, &message, out);
                    out.push(CallerOutput::Send(answer));
                }
                PeerOutput::Close(..) | PeerOutput::Down(_) => return self.disconnect(now, out),
                _ => {}
            }
        }
    }

    /// Retransmits pending set-ups on a new connection, with the T flag and their original End-to-End id.
    fn connection_up(&mut self, out: &mut Vec<CallerOutput>) {
        let ConnectionState::Open(peer, up) = &mut self.connection else { return };
        *up = true;
        if self.connection_count < 2 {
            return;
        }
        for (session, call) in self.calls.iter().filter(|(_, call)| call.state == CallState::Pending) {
            let mut retransmission = call.request.clone();
            retransmission.header.flags.retransmitted = true;
            self.by_id.insert(peer.assign_ids(&mut retransmission), session.clone());
            let (front, call) = (self.spec.front.0, format!("{}|{session}", self.spec.host));
            out.push(CallerOutput::Record(RecordEvent::Retransmit { front, call }));
            out.push(CallerOutput::Send(retransmission));
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<CallerOutput>) {
        match &self.connection {
            ConnectionState::Down(at) if *at <= now => {
                if self.is_drained() && self.connection_count > 0 {
                    self.connection = ConnectionState::Finished;
                } else {
                    self.connection = ConnectionState::Connecting;
                    out.push(CallerOutput::Connect);
                }
                return;
            }
            ConnectionState::Down(_) | ConnectionState::Connecting | ConnectionState::Finished => return,
            ConnectionState::Open(..) => {}
        }
        self.peer_input(now, PeerInput::Tick, out);
        if !matches!(self.connection, ConnectionState::Open(_, true)) {
            return;
        }
        if self.is_drained() {
            self.peer_input(now, PeerInput::Stop(2), out);
            out.push(CallerOutput::Close);
            self.connection = ConnectionState::Finished;
            return;
        }
        let mut messages = Vec::new();
        self.run_due(now, &mut messages, out);
        messages.into_iter().for_each(|message| self.send(message, out));
        if self.offered_load.reconnects != self.reconnects_done {
            self.reconnects_done = self.offered_load.reconnects;
            self.disconnect(now, out);
        }
    }

    fn send(&mut self, mut message: Message, out: &mut Vec<CallerOutput>) {
        let ConnectionState::Open(peer, _) = &mut self.connection else { return };
        let session = message.text(dict::SESSION_ID).unwrap_or("").to_owned();
        self.by_id.insert(peer.assign_ids(&mut message), session.clone());
        if let Some(call) = self.calls.get_mut(&session).filter(|c| c.request.header.end_to_end == 0) {
            call.request.header = message.header;
        }
        let first = message.number(dict::CC_REQUEST_TYPE) == Some(RequestType::Initial.value());
        out.push(CallerOutput::Send(message.clone()));
        if first && self.rng.random::<f64>() < self.offered_load.retransmit_share {
            message.header.flags.retransmitted = true;
            let (front, call) = (self.spec.front.0, self.record_name(&session));
            out.push(CallerOutput::Record(RecordEvent::Retransmit { front, call }));
            if let ConnectionState::Open(peer, _) = &mut self.connection {
                self.by_id.insert(peer.assign_ids(&mut message), session);
            }
            out.push(CallerOutput::Send(message));
        }
    }

    /// Identifier of a call in the record.
    fn record_name(&self, session: &str) -> String {
        format!("{}|{session}", self.spec.host)
    }

    /// Offers the calls that have arrived and handles the due timers.
    fn run_due(&mut self, now: Micros, messages: &mut Vec<Message>, out: &mut Vec<CallerOutput>) {
        let front = self.spec.front.0;
        for flow in 0..self.spec.flows.len() {
            let rate = self.spec.flows[flow].rate * self.offered_load.factor;
            for _ in 0..self.schedule.arrivals(now, flow, rate, &mut self.rng) {
                let choice = choose_weighted(&mut self.rng, &self.spec.servers);
                let hot = self.rng.random::<f64>() < self.offered_load.hot_number_share;
                messages.push(self.offer(now, flow, None, 0, hot, choice, out));
            }
        }
        while let Some(due) = self.schedule.pop_due(now) {
            match due {
                Timer::CallerTimeout(session) if self.is_in_state(&session, CallState::Pending) => {
                    out.push(CallerOutput::Record(RecordEvent::CallerTimeout {
                        front,
                        call: self.record_name(&session),
                    }));
                    messages.extend(self.end(&session));
                    self.redial(now, &session);
                    self.schedule.add(now + CALL_RETENTION, Timer::Forget(session));
                }
                Timer::Hangup(session) if self.is_in_state(&session, CallState::Established) => {
                    out.push(CallerOutput::Record(RecordEvent::Hangup {
                        front,
                        call: self.record_name(&session),
                    }));
                    messages.extend(self.end(&session));
                    self.schedule.add(now + CALL_RETENTION, Timer::Forget(session));
                }
                Timer::Redial { flow, first, redials, hot, choice } if self.offered_load.factor > 0.0 => {
                    messages.push(self.offer(now, flow, Some(first), redials, hot, choice, out));
                }
                Timer::CallerTimeout(_) | Timer::Hangup(_) | Timer::Redial { .. } => {}
                Timer::Forget(session) => {
                    self.calls.remove(&session);
                    self.by_id.retain(|_, other| *other != session);
                }
            }
        }
    }

    fn is_in_state(&self, session: &str, state: CallState) -> bool {
        self.calls.get(session).is_some_and(|call| call.state == state)
    }

    #[allow(clippy::too_many_arguments)]
    fn offer(
        &mut self,
        now: Micros,
        flow: usize,
        first: Option<String>,
        redials: u32,
        hot: bool,
        choice: usize,
        out: &mut Vec<CallerOutput>,
    ) -> Message {
        self.call_count += 1;
        let session = format!("{};{};{}", self.spec.host, self.local.state_id, self.call_count);
        let Flow { class, publisher, context, subscription, caller_timeout, .. } =
            self.spec.flows[flow].clone();
        let ends = Endpoints {
            origin_host: &self.spec.host,
            origin_realm: &self.spec.realm,
            destination_realm: &self.spec.destination_realm,
            destination_host: self.spec.servers.get(choice).map(|(host, _)| host.as_str()),
        };
        let number = if hot {
            HOT_NUMBER.to_owned()
        } else {
            format!("{}", 6_000_000 + self.rng.random_range(0..1_000_000))
        };
        let request = credit::request(ends, &session, &context, RequestType::Initial, 0)
            .with(Avp::text(dict::CALLED_STATION_ID, &number))
            .with(Avp::group(
                dict::SUBSCRIPTION_ID,
                &[
                    Avp::u32(dict::SUBSCRIPTION_ID_TYPE, 4),
                    Avp::text(dict::SUBSCRIPTION_ID_DATA, &subscription),
                ],
            ));
        out.push(CallerOutput::Record(RecordEvent::Offer {
            front: self.spec.front.0,
            call: self.record_name(&session),
            first: first.clone(),
            class,
            publisher,
            hot,
            caller_timeout_us: caller_timeout,
        }));
        self.schedule.add(now + caller_timeout, Timer::CallerTimeout(session.clone()));
        let (state, answered, request_copy) = (CallState::Pending, false, request.clone());
        let call = Call { flow, first, redials, state, answered, hot, choice, request: request_copy };
        self.calls.insert(session, call);
        request
    }

    /// Ends a call from the caller's side; returns its release request.
    fn end(&mut self, session: &str) -> Option<Message> {
        let call = self.calls.get_mut(session)?;
        call.state = CallState::Ended;
        let context = &self.spec.flows[call.flow].context;
        let ends = Endpoints {
            origin_host: &self.spec.host,
            origin_realm: &self.spec.realm,
            destination_realm: &self.spec.destination_realm,
            destination_host: None,
        };
        Some(credit::request(ends, session, context, RequestType::Termination, 1))
    }

    fn answer(&mut self, now: Micros, message: &Message, out: &mut Vec<CallerOutput>) {
        let Some(session) = self.by_id.remove(&message.header.hop_by_hop) else { return };
        if message.number(dict::CC_REQUEST_TYPE) != Some(RequestType::Initial.value()) {
            return;
        }
        let (front, code, call) = (self.spec.front.0, message.result(), self.record_name(&session));
        out.push(CallerOutput::Record(RecordEvent::Answer { front, call, code }));
        let Some(call) = self.calls.get_mut(&session).filter(|call| !call.answered) else { return };
        call.answered = true;
        if call.state != CallState::Pending {
            return;
        }
        if code == result::SUCCESS {
            call.state = CallState::Established;
            let hold = self.spec.flows[call.flow].hold as f64;
            let hold = sample_exponential(&mut self.rng, hold);
            self.schedule.add(now + hold, Timer::Hangup(session));
        } else {
            call.state = CallState::Ended;
            let retry_after = load::read_retry_after(message).unwrap_or(0);
            self.redial(now + retry_after, &session);
            self.schedule.add(now + CALL_RETENTION, Timer::Forget(session));
        }
    }

    fn redial(&mut self, now: Micros, session: &str) {
        let wait = sample_exponential(&mut self.rng, self.offered_load.redial_wait as f64);
        let Some(call) = self.calls.get(session) else { return };
        if call.redials < self.offered_load.redials {
            let first = call.first.clone().unwrap_or_else(|| self.record_name(session));
            let (flow, redials, hot, choice) = (call.flow, call.redials + 1, call.hot, call.choice);
            self.schedule.add(now + wait, Timer::Redial { flow, first, redials, hot, choice });
        }
    }

    fn abort(&mut self, now: Micros, request: &Message, out: &mut Vec<CallerOutput>) -> Message {
        let session = request.text(dict::SESSION_ID).unwrap_or("").to_owned();
        let (front, call_name) = (self.spec.front.0, self.record_name(&session));
        let known = self.calls.get_mut(&session).filter(|call| call.state != CallState::Ended);
        let code = match known {
            Some(call) => {
                call.state = CallState::Ended;
                out.push(CallerOutput::Record(RecordEvent::Dropped { front, call: call_name }));
                self.redial(now, &session);
                self.schedule.add(now + CALL_RETENTION, Timer::Forget(session));
                result::SUCCESS
            }
            None => result::UNKNOWN_SESSION_ID,
        };
        Message::answer(request, code)
            .with(Avp::text(dict::ORIGIN_HOST, &self.spec.host))
            .with(Avp::text(dict::ORIGIN_REALM, &self.spec.realm))
    }
}
