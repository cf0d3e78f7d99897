//! Callers behind one Diameter client: open-loop arrivals, patience, redials, repeats. Free of I/O and time.

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

/// One client's callers.
#[derive(Debug, Clone)]
pub struct CallerSpec {
    /// Origin-Host.
    pub host: String,
    /// Origin-Realm.
    pub realm: String,
    /// The front: ordinal, Origin-Host and Origin-Realm.
    pub front: (u32, String, String),
    /// Destination-Realm of calls.
    pub destination_realm: String,
    /// Servers by number, to name as first choice, each as often as its weight says.
    pub servers: Vec<(String, f64)>,
    /// Calls.
    pub flows: Vec<Flow>,
    /// Tw.
    pub watchdog: Micros,
}

/// What callers hear.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerInput {
    /// Their connection is up.
    Connected,
    /// A message came.
    Received(Frame),
    /// Their connection is gone, or did not come about.
    Closed,
    /// Time has passed.
    Tick,
}

/// What callers want done.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerOutput {
    /// Connect.
    Connect,
    /// Send.
    Send(Message),
    /// Close the connection once what was sent is out.
    Close,
    /// Something was seen.
    Record(RecordEvent),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Asked,
    Stands,
    Over,
}

#[derive(Debug)]
struct Call {
    flow: usize,
    first: Option<String>,
    tries: u32,
    state: State,
    answered: bool,
    hot: bool,
    choice: usize,
    request: Message,
}

/// What a time is for.
#[derive(Debug)]
enum Due {
    GiveUp(String),
    Hangup(String),
    Redial { flow: usize, first: String, tries: u32, hot: bool, choice: usize },
    Forget(String),
}

/// Where the connection is.
#[derive(Debug)]
enum Line {
    /// Closed; tried again then.
    Down(Micros),
    Connecting,
    /// Open, and whether capabilities are exchanged.
    Open(Box<Peer>, bool),
    /// All is over, and good-bye is said.
    Over,
}

/// See the module's page.
#[derive(Debug)]
pub struct Callers {
    spec: CallerSpec,
    local: Arc<Local>,
    offers: OfferedLoad,
    rng: Pcg64Mcg,
    schedule: CallSchedule<Due>,
    calls: BTreeMap<String, Call>,
    by_id: BTreeMap<u32, String>,
    count: u64,
    served: u32,
    line: Line,
    connections: u32,
}

/// The hot number.
const HOT: &str = "5550199";
/// A call's answer may still come so long after its caller gave up.
const LINGER: Micros = 2_000_000;
/// A connection that ended is tried again after this.
const RETRY: Micros = 20_000;
/// Callers look at least this often.
const LOOK: Micros = 1_000_000;

impl Callers {
    /// Callers that begin with their first [`CallerInput::Tick`]; `seed` draws everything.
    pub fn new(spec: CallerSpec, offers: OfferedLoad, seed: u64) -> Self {
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
            offers,
            rng: Pcg64Mcg::seed_from_u64(seed),
            calls: BTreeMap::new(),
            by_id: BTreeMap::new(),
            count: 0,
            served: 0,
            line: Line::Down(0),
            connections: 0,
        }
    }

    /// What is offered from now on.
    pub fn set_offered_load(&mut self, offers: OfferedLoad) {
        self.offers = offers;
    }

    /// Whether all calls are over and none will come.
    pub fn is_finished(&self) -> bool {
        matches!(self.line, Line::Over)
    }

    fn no_more(&self) -> bool {
        let open = self.calls.values().any(|call| call.state != State::Over);
        self.offers.factor <= 0.0 && !open
    }

    /// When [`CallerInput::Tick`] is wanted at the latest.
    pub fn due(&self, now: Micros) -> Micros {
        match &self.line {
            Line::Down(at) => *at,
            Line::Connecting | Line::Over => Micros::MAX,
            Line::Open(peer, up) => {
                let calls = if *up { self.schedule.next_due() } else { Micros::MAX };
                peer.due().min(calls).min(now.saturating_add(LOOK))
            }
        }
    }

    /// Takes one input; appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: CallerInput, out: &mut Vec<CallerOutput>) {
        match input {
            CallerInput::Connected => self.connected(now, out),
            CallerInput::Received(Frame::Valid(message)) => {
                let frame = Frame::Valid(message);
                self.give(now, PeerInput::Received(Side::Initiator, frame), out);
            }
            CallerInput::Received(Frame::Invalid(..)) => self.part(now, out),
            CallerInput::Closed => self.lost(now, out),
            CallerInput::Tick => self.tick(now, out),
        }
    }

    fn connected(&mut self, now: Micros, out: &mut Vec<CallerOutput>) {
        self.connections += 1;
        let expect = Some((self.spec.front.1.clone(), self.spec.front.2.clone()));
        let (local, watchdog, seed) = (self.local.clone(), self.spec.watchdog, self.rng.random());
        let mut peer = Peer::new(local, expect, watchdog, (now as u32) << 12, seed);
        peer.handle(now, PeerInput::Start, &mut Vec::new());
        self.line = Line::Open(Box::new(peer), false);
        self.give(now, PeerInput::Connected, out);
    }

    /// This end closes the connection.
    fn part(&mut self, now: Micros, out: &mut Vec<CallerOutput>) {
        out.push(CallerOutput::Close);
        self.lost(now, out);
    }

    fn lost(&mut self, now: Micros, out: &mut Vec<CallerOutput>) {
        if matches!(self.line, Line::Open(..)) {
            let (front, client) = (self.spec.front.0, self.spec.host.clone());
            out.push(CallerOutput::Record(RecordEvent::ClientDisconnected { front, client }));
        }
        if !self.is_finished() {
            self.line = if self.no_more() { Line::Over } else { Line::Down(now + RETRY) };
        }
    }

    fn give(&mut self, now: Micros, input: PeerInput, out: &mut Vec<CallerOutput>) {
        let mut seen = Vec::new();
        if let Line::Open(peer, _) = &mut self.line {
            peer.handle(now, input, &mut seen);
        }
        for output in seen {
            match output {
                PeerOutput::Send(_, message) => out.push(CallerOutput::Send(message)),
                PeerOutput::Up(_) => self.up(out),
                PeerOutput::Answer(message) => self.answer(now, &message, out),
                PeerOutput::Request(message) => {
                    let answer = self.aborted(now, &message, out);
                    out.push(CallerOutput::Send(answer));
                }
                PeerOutput::Close(..) | PeerOutput::Down(_) => return self.part(now, out),
                _ => {}
            }
        }
    }

    /// Whoever still waits asks again on a new connection, with the T flag and the same end-to-end id.
    fn up(&mut self, out: &mut Vec<CallerOutput>) {
        let Line::Open(peer, up) = &mut self.line else { return };
        *up = true;
        if self.connections < 2 {
            return;
        }
        for (name, call) in self.calls.iter().filter(|(_, call)| call.state == State::Asked) {
            let mut again = call.request.clone();
            again.header.flags.retransmitted = true;
            self.by_id.insert(peer.assign_ids(&mut again), name.clone());
            let (front, call) = (self.spec.front.0, format!("{}|{name}", self.spec.host));
            out.push(CallerOutput::Record(RecordEvent::Retransmit { front, call }));
            out.push(CallerOutput::Send(again));
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<CallerOutput>) {
        match &self.line {
            Line::Down(at) if *at <= now => {
                if self.no_more() && self.connections > 0 {
                    self.line = Line::Over;
                } else {
                    self.line = Line::Connecting;
                    out.push(CallerOutput::Connect);
                }
                return;
            }
            Line::Down(_) | Line::Connecting | Line::Over => return,
            Line::Open(..) => {}
        }
        self.give(now, PeerInput::Tick, out);
        if !matches!(self.line, Line::Open(_, true)) {
            return;
        }
        if self.no_more() {
            self.give(now, PeerInput::Stop(2), out);
            out.push(CallerOutput::Close);
            self.line = Line::Over;
            return;
        }
        let mut messages = Vec::new();
        self.act(now, &mut messages, out);
        messages.into_iter().for_each(|message| self.send(message, out));
        if self.offers.reconnects != self.served {
            self.served = self.offers.reconnects;
            self.part(now, out);
        }
    }

    fn send(&mut self, mut message: Message, out: &mut Vec<CallerOutput>) {
        let Line::Open(peer, _) = &mut self.line else { return };
        let name = message.text(dict::SESSION_ID).unwrap_or("").to_owned();
        self.by_id.insert(peer.assign_ids(&mut message), name.clone());
        if let Some(call) = self.calls.get_mut(&name).filter(|c| c.request.header.end_to_end == 0) {
            call.request.header = message.header;
        }
        let first = message.number(dict::CC_REQUEST_TYPE) == Some(RequestType::Initial.value());
        out.push(CallerOutput::Send(message.clone()));
        if first && self.rng.random::<f64>() < self.offers.retransmit_share {
            message.header.flags.retransmitted = true;
            let (front, call) = (self.spec.front.0, self.name(&name));
            out.push(CallerOutput::Record(RecordEvent::Retransmit { front, call }));
            if let Line::Open(peer, _) = &mut self.line {
                self.by_id.insert(peer.assign_ids(&mut message), name);
            }
            out.push(CallerOutput::Send(message));
        }
    }

    /// A call's name in the record.
    fn name(&self, session: &str) -> String {
        format!("{}|{session}", self.spec.host)
    }

    /// All that is due now.
    fn act(&mut self, now: Micros, messages: &mut Vec<Message>, out: &mut Vec<CallerOutput>) {
        let front = self.spec.front.0;
        for flow in 0..self.spec.flows.len() {
            let rate = self.spec.flows[flow].rate * self.offers.factor;
            for _ in 0..self.schedule.arrivals(now, flow, rate, &mut self.rng) {
                let choice = choose_weighted(&mut self.rng, &self.spec.servers);
                let hot = self.rng.random::<f64>() < self.offers.hot_number_share;
                messages.push(self.offer(now, flow, None, 0, hot, choice, out));
            }
        }
        while let Some(due) = self.schedule.pop_due(now) {
            match due {
                Due::GiveUp(name) if self.is(&name, State::Asked) => {
                    out.push(CallerOutput::Record(RecordEvent::CallerTimeout {
                        front,
                        call: self.name(&name),
                    }));
                    messages.extend(self.end(&name));
                    self.redial(now, &name);
                    self.schedule.add(now + LINGER, Due::Forget(name));
                }
                Due::Hangup(name) if self.is(&name, State::Stands) => {
                    out.push(CallerOutput::Record(RecordEvent::Hangup { front, call: self.name(&name) }));
                    messages.extend(self.end(&name));
                    self.schedule.add(now + LINGER, Due::Forget(name));
                }
                Due::Redial { flow, first, tries, hot, choice } if self.offers.factor > 0.0 => {
                    messages.push(self.offer(now, flow, Some(first), tries, hot, choice, out));
                }
                Due::GiveUp(_) | Due::Hangup(_) | Due::Redial { .. } => {}
                Due::Forget(name) => {
                    self.calls.remove(&name);
                    self.by_id.retain(|_, other| *other != name);
                }
            }
        }
    }

    fn is(&self, name: &str, state: State) -> bool {
        self.calls.get(name).is_some_and(|call| call.state == state)
    }

    #[allow(clippy::too_many_arguments)]
    fn offer(
        &mut self,
        now: Micros,
        flow: usize,
        first: Option<String>,
        tries: u32,
        hot: bool,
        choice: usize,
        out: &mut Vec<CallerOutput>,
    ) -> Message {
        self.count += 1;
        let session = format!("{};{};{}", self.spec.host, self.local.state_id, self.count);
        let Flow { class, publisher, context, subscription, caller_timeout: patience, .. } =
            self.spec.flows[flow].clone();
        let ends = Endpoints {
            origin_host: &self.spec.host,
            origin_realm: &self.spec.realm,
            destination_realm: &self.spec.destination_realm,
            destination_host: self.spec.servers.get(choice).map(|(host, _)| host.as_str()),
        };
        let number =
            if hot { HOT.to_owned() } else { format!("{}", 6_000_000 + self.rng.random_range(0..1_000_000)) };
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
            call: self.name(&session),
            first: first.clone(),
            class,
            publisher,
            hot,
            caller_timeout_us: patience,
        }));
        self.schedule.add(now + patience, Due::GiveUp(session.clone()));
        let (state, answered, copy) = (State::Asked, false, request.clone());
        let call = Call { flow, first, tries, state, answered, hot, choice, request: copy };
        self.calls.insert(session, call);
        request
    }

    /// The caller is done with a call: its release.
    fn end(&mut self, name: &str) -> Option<Message> {
        let call = self.calls.get_mut(name)?;
        call.state = State::Over;
        let context = &self.spec.flows[call.flow].context;
        let ends = Endpoints {
            origin_host: &self.spec.host,
            origin_realm: &self.spec.realm,
            destination_realm: &self.spec.destination_realm,
            destination_host: None,
        };
        Some(credit::request(ends, name, context, RequestType::Termination, 1))
    }

    fn answer(&mut self, now: Micros, message: &Message, out: &mut Vec<CallerOutput>) {
        let Some(name) = self.by_id.remove(&message.header.hop_by_hop) else { return };
        if message.number(dict::CC_REQUEST_TYPE) != Some(RequestType::Initial.value()) {
            return;
        }
        let (front, code, call) = (self.spec.front.0, message.result(), self.name(&name));
        out.push(CallerOutput::Record(RecordEvent::Answer { front, call, code }));
        let Some(call) = self.calls.get_mut(&name).filter(|call| !call.answered) else { return };
        call.answered = true;
        if call.state != State::Asked {
            return;
        }
        if code == result::SUCCESS {
            call.state = State::Stands;
            let hold = self.spec.flows[call.flow].hold as f64;
            let hold = sample_exponential(&mut self.rng, hold);
            self.schedule.add(now + hold, Due::Hangup(name));
        } else {
            call.state = State::Over;
            let advice = load::read_retry_after(message).unwrap_or(0);
            self.redial(now + advice, &name);
            self.schedule.add(now + LINGER, Due::Forget(name));
        }
    }

    fn redial(&mut self, now: Micros, name: &str) {
        let wait = sample_exponential(&mut self.rng, self.offers.redial_wait as f64);
        let Some(call) = self.calls.get(name) else { return };
        if call.tries < self.offers.redials {
            let first = call.first.clone().unwrap_or_else(|| self.name(name));
            let (flow, tries, hot, choice) = (call.flow, call.tries + 1, call.hot, call.choice);
            self.schedule.add(now + wait, Due::Redial { flow, first, tries, hot, choice });
        }
    }

    fn aborted(&mut self, now: Micros, request: &Message, out: &mut Vec<CallerOutput>) -> Message {
        let session = request.text(dict::SESSION_ID).unwrap_or("").to_owned();
        let (front, name) = (self.spec.front.0, self.name(&session));
        let known = self.calls.get_mut(&session).filter(|call| call.state != State::Over);
        let code = match known {
            Some(call) => {
                call.state = State::Over;
                out.push(CallerOutput::Record(RecordEvent::Dropped { front, call: name }));
                self.redial(now, &session);
                self.schedule.add(now + LINGER, Due::Forget(session));
                result::SUCCESS
            }
            None => result::UNKNOWN_SESSION_ID,
        };
        Message::answer(request, code)
            .with(Avp::text(dict::ORIGIN_HOST, &self.spec.host))
            .with(Avp::text(dict::ORIGIN_REALM, &self.spec.realm))
    }
}
