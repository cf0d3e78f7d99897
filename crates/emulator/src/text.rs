//! Model of callers behind a client that uses H.248 text over datagrams; they make the same calls as
//! [`crate::Callers`]. Does no I/O and reads no clock.

use std::collections::BTreeMap;
use std::sync::Arc;

use baydrift::interface::Micros;
use baydrift_audit::RecordEvent;
use baydrift_exchange::{Exchange, ExchangeAction, ExchangeInput, Settings};
use baydrift_h248::code::BEFORE_SERVICE_CHANGE;
use baydrift_h248::{parse, Body, ReplyBody, Transaction};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::call_schedule::{choose_weighted, sample_exponential, CallSchedule};
use crate::offered_load::{Flow, OfferedLoad};

/// Parameters of the callers of one text client.
#[derive(Debug, Clone)]
pub struct TextSpec {
    /// Message identifier (MId) of the client.
    pub mid: String,
    /// Ordinal of the front.
    pub front: u32,
    /// Servers that calls name as first choice, with their weights.
    pub servers: Vec<(String, f64)>,
    /// Call flows that the callers generate.
    pub flows: Vec<Flow>,
}

/// Output of text callers.
#[derive(Debug, Clone, PartialEq)]
pub enum TextOutput {
    /// Send a datagram.
    Send(Arc<str>),
    /// Add an event to the record.
    Record(RecordEvent),
}

/// A sent transaction that is not answered yet, by its purpose.
#[derive(Debug)]
enum PendingRequest {
    Register,
    SetUp {
        name: String,
        flow: usize,
        first: Option<String>,
        tries: u32,
        choice: usize,
        caller_waiting: bool,
    },
    Release,
}

#[derive(Debug)]
enum Due {
    CallerTimeout(u32),
    Hangup(u32),
    Redial { flow: usize, first: String, tries: u32, choice: usize },
}

/// The model; see the module documentation.
#[derive(Debug)]
pub struct TextCallers {
    spec: TextSpec,
    offers: OfferedLoad,
    exchange: Exchange,
    rng: Pcg64Mcg,
    schedule: CallSchedule<Due>,
    pending: BTreeMap<u32, PendingRequest>,
    /// Established calls by context: name and flow.
    established: BTreeMap<u32, (String, usize)>,
    call_count: u64,
    /// Factor on the call rate after overload notifications.
    throttle: f64,
    /// When the throttle last recovered by a step.
    throttled_at: Micros,
    /// Whether the registration was sent.
    registration_sent: bool,
    /// Whether a registration was sent to this front before.
    has_registered_before: bool,
    registered: bool,
    overload_events_requested: bool,
}

/// Factor on the call rate for each overload notification.
const THROTTLE_FACTOR: f64 = 0.8;
/// Factor by which a throttled call rate recovers in each `RECOVERY_INTERVAL`.
const RECOVERY_FACTOR: f64 = 1.02;
const RECOVERY_INTERVAL: Micros = 100_000;

/// Maximum interval between ticks.
const MAX_TICK_INTERVAL: Micros = 100_000;
/// Maximum interval between copies of a request. By the table in `docs/notes/rules.md`, all but one in some
/// millions of requests then get a reply within the caller's 3 s at 30% loss.
const MAX_RETRANSMIT_INTERVAL: Micros = 250_000;

impl TextCallers {
    /// Creates callers that register with their first tick; `seed` determines all random draws.
    pub fn new(spec: TextSpec, offers: OfferedLoad, seed: u64) -> Self {
        // The caller's timeout ends a set-up, so its transaction is repeated until then and not given up as
        // lost before.
        let settings = Settings {
            lost_after_sends: 64,
            lost_after: 0,
            max_retransmit_interval: MAX_RETRANSMIT_INTERVAL,
            ..Settings::default()
        };
        Self {
            schedule: CallSchedule::new(spec.flows.len()),
            exchange: Exchange::new(settings, seed),
            rng: Pcg64Mcg::seed_from_u64(seed),
            spec,
            offers,
            pending: BTreeMap::new(),
            established: BTreeMap::new(),
            call_count: 0,
            throttle: 1.0,
            throttled_at: 0,
            registration_sent: false,
            has_registered_before: false,
            registered: false,
            overload_events_requested: false,
        }
    }

    /// Replaces the offered load.
    pub fn set_offered_load(&mut self, offers: OfferedLoad) {
        self.offers = offers;
    }

    /// Latest time for the next tick.
    pub fn due(&self, now: Micros) -> Micros {
        if !self.registration_sent {
            return now;
        }
        let calls = if self.registered { self.schedule.next_due() } else { Micros::MAX };
        calls.min(self.exchange.next_wake().unwrap_or(Micros::MAX)).min(now.saturating_add(MAX_TICK_INTERVAL))
    }

    /// Handles a received datagram.
    pub fn received(&mut self, now: Micros, text: &str, out: &mut Vec<TextOutput>) {
        let mut exchange_actions = Vec::new();
        self.registered |= self.handle_datagram(now, text, &mut exchange_actions, out);
        if self.registered
            && self.offers.honours_overload_notices
            && !std::mem::replace(&mut self.overload_events_requested, true)
        {
            let mid = &self.spec.mid;
            let events = |id| format!("!/1 {mid} T={id}{{C=-{{MF=ROOT{{E=1{{ocp/mg_overload}}}}}}}}");
            let sent = self.exchange.send(now, events, &mut exchange_actions);
            self.pending.extend(sent.map(|id| (id, PendingRequest::Release)));
        }
        self.emit(exchange_actions, out);
    }

    /// Handles all events that are due at `now`.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<TextOutput>) {
        let mut exchange_actions = Vec::new();
        if !std::mem::replace(&mut self.registration_sent, true) {
            let mid = &self.spec.mid;
            // After the loss of the registration the method is "disconnected" instead of "restart": the
            // client's transactions continue, and the front must not execute a late copy of one that was
            // already answered.
            let method = if std::mem::replace(&mut self.has_registered_before, true) { "DC" } else { "RS" };
            let registration = |id| format!("!/1 {mid} T={id}{{C=-{{SC=ROOT{{SV{{MT={method}}}}}}}}}");
            if let Some(id) = self.exchange.send(now, registration, &mut exchange_actions) {
                self.pending.insert(id, PendingRequest::Register);
            }
        }
        self.exchange.tick(now, &mut exchange_actions);
        if self.registered {
            self.run_due(now, &mut exchange_actions, out);
        }
        self.emit(exchange_actions, out);
    }

    fn emit(&mut self, exchange_actions: Vec<ExchangeAction>, out: &mut Vec<TextOutput>) {
        for action in exchange_actions {
            match action {
                ExchangeAction::Send(text) => out.push(TextOutput::Send(text)),
                ExchangeAction::Ack(id) => {
                    out.push(TextOutput::Send(format!("!/1 {} K{{{id}}}", self.spec.mid).into()));
                }
                ExchangeAction::Lost(id) => drop(self.pending.remove(&id)),
                _ => {}
            }
        }
    }

    fn run_due(
        &mut self,
        now: Micros,
        exchange_actions: &mut Vec<ExchangeAction>,
        out: &mut Vec<TextOutput>,
    ) {
        let OfferedLoad { factor, flood, honours_overload_notices: heeds, .. } = self.offers;
        if now >= self.throttled_at + RECOVERY_INTERVAL {
            self.throttled_at = now;
            self.throttle = (self.throttle * RECOVERY_FACTOR).min(1.0);
        }
        let throttle = if heeds { self.throttle } else { 1.0 };
        for flow in 0..self.spec.flows.len() {
            let publisher = self.spec.flows[flow].publisher;
            let flooding = flood.filter(|(who, _)| *who == publisher).map_or(1.0, |(_, times)| times);
            let rate = self.spec.flows[flow].rate * factor * flooding * throttle;
            for _ in 0..self.schedule.arrivals(now, flow, rate, &mut self.rng) {
                let choice = choose_weighted(&mut self.rng, &self.spec.servers);
                self.offer(now, flow, None, 0, choice, exchange_actions, out);
            }
        }
        while let Some(due) = self.schedule.pop_due(now) {
            match due {
                Due::CallerTimeout(id) => self.caller_timeout(now, id, out),
                Due::Hangup(context) => {
                    if let Some((name, _)) = self.established.remove(&context) {
                        out.push(TextOutput::Record(RecordEvent::Hangup {
                            front: self.spec.front,
                            call: name,
                        }));
                        self.release(now, context, exchange_actions);
                    }
                }
                Due::Redial { flow, first, tries, choice } if factor > 0.0 => {
                    self.offer(now, flow, Some(first), tries, choice, exchange_actions, out);
                }
                Due::Redial { .. } => {}
            }
        }
    }

    fn release(&mut self, now: Micros, context: u32, exchange_actions: &mut Vec<ExchangeAction>) {
        let mid = &self.spec.mid;
        let text = |id| format!("!/1 {mid} T={id}{{C={context}{{S=trunk/{context}}}}}");
        if let Some(id) = self.exchange.send(now, text, exchange_actions) {
            self.pending.insert(id, PendingRequest::Release);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn offer(
        &mut self,
        now: Micros,
        flow: usize,
        first: Option<String>,
        tries: u32,
        choice: usize,
        exchange_actions: &mut Vec<ExchangeAction>,
        out: &mut Vec<TextOutput>,
    ) {
        self.call_count += 1;
        let Flow { class, publisher, context, subscription, caller_timeout: patience, .. } =
            self.spec.flows[flow].clone();
        let (mid, count) = (self.spec.mid.clone(), self.call_count);
        let number = 6_000_000 + self.rng.random_range(0..1_000_000);
        let server = self.spec.servers.get(choice).map_or("", |(host, _)| host.as_str());
        let text = |id| {
            format!(
                "!/1 {mid} T={id}{{C=${{A=trunk/${{M{{O{{bdc/ctx=\"{context}\",bdc/num={number},\
                 bdc/sub=\"{subscription}\",bdc/srv={server},bdc/ref={count}}}}}}}}}}}"
            )
        };
        let Some(id) = self.exchange.send(now, text, exchange_actions) else { return };
        let name = format!("{mid}|{count}");
        out.push(TextOutput::Record(RecordEvent::Offer {
            front: self.spec.front,
            call: name.clone(),
            first: first.clone(),
            class,
            publisher,
            hot: false,
            caller_timeout_us: patience,
        }));
        out.push(TextOutput::Record(RecordEvent::RequestSent { call: name, transaction: id }));
        let name = format!("{mid}|{count}");
        self.schedule.add(now + patience, Due::CallerTimeout(id));
        self.pending
            .insert(id, PendingRequest::SetUp { name, flow, first, tries, choice, caller_waiting: true });
    }

    fn caller_timeout(&mut self, now: Micros, id: u32, out: &mut Vec<TextOutput>) {
        let front = self.spec.front;
        let Some(PendingRequest::SetUp { name, flow, first, tries, choice, caller_waiting }) =
            self.pending.get_mut(&id)
        else {
            return;
        };
        if std::mem::take(caller_waiting) {
            out.push(TextOutput::Record(RecordEvent::CallerTimeout { front, call: name.clone() }));
            // A later process of the front cannot know that the caller has left, and must not execute the
            // set-up.
            self.exchange.abandon(now, id);
            let first = first.clone().unwrap_or_else(|| name.clone());
            let (flow, tries, choice) = (*flow, *tries, *choice);
            self.redial(now, flow, first, tries, choice);
        }
    }

    fn redial(&mut self, now: Micros, flow: usize, first: String, tries: u32, choice: usize) {
        let (redials, wait) = (self.offers.redials, self.offers.redial_wait as f64);
        if tries < redials {
            let delay = sample_exponential(&mut self.rng, wait);
            self.schedule.add(now + delay, Due::Redial { flow, first, tries: tries + 1, choice });
        }
    }

    /// Handles a datagram; returns whether it contained the reply that accepts the registration.
    fn handle_datagram(
        &mut self,
        now: Micros,
        text: &str,
        exchange_actions: &mut Vec<ExchangeAction>,
        out: &mut Vec<TextOutput>,
    ) -> bool {
        let Ok(message) = parse(text) else { return false };
        let Body::Transactions(all) = message.body else { return false };
        let mut registered = false;
        for transaction in all {
            match transaction {
                Transaction::Reply { id, immediate_ack, body } => {
                    let previous_len = exchange_actions.len();
                    self.exchange.handle(now, ExchangeInput::Reply { id, immediate_ack }, exchange_actions);
                    let is_first = exchange_actions[previous_len..].contains(&ExchangeAction::Delivered(id));
                    if is_first {
                        registered |= self.handle_reply(now, id, &body, exchange_actions, out);
                    }
                }
                Transaction::Pending(id) => {
                    self.exchange.handle(now, ExchangeInput::Pending(id), exchange_actions)
                }
                Transaction::Ack(ranges) => {
                    self.exchange.handle(now, ExchangeInput::Ack(ranges), exchange_actions)
                }
                Transaction::Request { id, actions } => {
                    let previous_len = exchange_actions.len();
                    self.exchange.handle(now, ExchangeInput::Request(id), exchange_actions);
                    if exchange_actions[previous_len..].contains(&ExchangeAction::Execute(id)) {
                        let mut descriptors =
                            actions.iter().flat_map(|a| &a.commands).flat_map(|c| &c.descriptors);
                        if descriptors.any(|d| d.find("ocp/mg_overload", "").is_some()) {
                            self.throttle = (self.throttle * THROTTLE_FACTOR).max(0.01);
                        }
                        let context = actions.first().map(|action| action.context);
                        if let Some(baydrift_h248::Context::Id(context)) = context {
                            if let Some((call, flow)) = self.established.remove(&context) {
                                let front = self.spec.front;
                                out.push(TextOutput::Record(RecordEvent::Dropped {
                                    front,
                                    call: call.clone(),
                                }));
                                let choice = self.rng.random_range(0..self.spec.servers.len().max(1));
                                self.redial(now, flow, call, 0, choice);
                            }
                        }
                        let reply = format!("!/1 {} P={id}{{C=-{{N=ROOT}}}}", self.spec.mid);
                        self.exchange.reply(now, id, reply.into(), 0, exchange_actions);
                    }
                }
            }
        }
        registered
    }

    /// Handles the first reply to a transaction; returns whether it accepts the registration.
    fn handle_reply(
        &mut self,
        now: Micros,
        id: u32,
        body: &ReplyBody,
        exchange_actions: &mut Vec<ExchangeAction>,
        out: &mut Vec<TextOutput>,
    ) -> bool {
        let (call, flow, first, tries, choice, caller_waiting) = match self.pending.remove(&id) {
            Some(PendingRequest::Register) => return matches!(body, ReplyBody::Actions(_)),
            Some(PendingRequest::SetUp { name, flow, first, tries, choice, caller_waiting }) => {
                (name, flow, first, tries, choice, caller_waiting)
            }
            Some(PendingRequest::Release) | None => return false,
        };
        let error = match body {
            ReplyBody::Error(error) => Some(error.code),
            ReplyBody::Actions(actions) => {
                let items =
                    actions.iter().flat_map(|action| &action.replies).flat_map(|reply| &reply.descriptors);
                items.filter(|item| item.is("Error", "ER")).find_map(|item| item.text()?.parse().ok())
            }
        };
        let context = match body {
            ReplyBody::Actions(actions) => actions.first().map(|action| action.context),
            ReplyBody::Error(_) => None,
        };
        // The front has restarted and does not know this client, so the client registers again (RFC 3525,
        // section 11.5). Without that, the front would reject its callers forever after a crash.
        if error == Some(BEFORE_SERVICE_CHANGE) {
            (self.registered, self.registration_sent) = (false, false);
        }
        // The record uses one set of result codes for both protocols.
        let code = match error {
            None => 2001,
            Some(510) => 3004,
            Some(_) => 5012,
        };
        let front = self.spec.front;
        out.push(TextOutput::Record(RecordEvent::Answer { front, call: call.clone(), code }));
        match (code, context) {
            (2001, Some(baydrift_h248::Context::Id(context))) if caller_waiting => {
                let hold = self.spec.flows[flow].hold as f64;
                let hold = sample_exponential(&mut self.rng, hold);
                self.established.insert(context, (call, flow));
                self.schedule.add(now + hold, Due::Hangup(context));
            }
            // Established after the caller has left.
            (2001, Some(baydrift_h248::Context::Id(context))) => self.release(now, context, exchange_actions),
            _ if caller_waiting => self.redial(now, flow, first.unwrap_or(call), tries, choice),
            _ => {}
        }
        false
    }
}

/// Record events for the transactions in a datagram: the requests in one to the front, the replies in one
/// from it.
pub fn datagram_events(client: &str, to_front: bool, datagram: &str, lost: bool) -> Vec<RecordEvent> {
    let Ok(message) = parse(datagram) else { return Vec::new() };
    let Body::Transactions(all) = message.body else { return Vec::new() };
    let ids = all.into_iter().filter_map(|transaction| match transaction {
        Transaction::Request { id, .. } if to_front => Some(id),
        Transaction::Reply { id, .. } if !to_front => Some(id),
        _ => None,
    });
    ids.map(|transaction| RecordEvent::Datagram { client: client.to_owned(), to_front, transaction, lost })
        .collect()
}
