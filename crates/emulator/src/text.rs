//! Callers that speak H.248 text over datagrams, and make the same calls as [`crate::Callers`]. Free of I/O and time.

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

/// One text client's callers.
#[derive(Debug, Clone)]
pub struct TextSpec {
    /// MId.
    pub mid: String,
    /// The front's ordinal.
    pub front: u32,
    /// Servers, to name as first choice, each as often as its weight says.
    pub servers: Vec<(String, f64)>,
    /// Calls.
    pub flows: Vec<Flow>,
}

/// What text callers want done.
#[derive(Debug, Clone, PartialEq)]
pub enum TextOutput {
    /// Send a datagram.
    Send(Arc<str>),
    /// Something was seen.
    Record(RecordEvent),
}

/// A transaction that was sent, and what it asked for.
#[derive(Debug)]
enum Asked {
    Register,
    SetUp { name: String, flow: usize, first: Option<String>, tries: u32, choice: usize, waits: bool },
    Release,
}

#[derive(Debug)]
enum Due {
    GiveUp(u32),
    Hangup(u32),
    Redial { flow: usize, first: String, tries: u32, choice: usize },
}

/// See the module's page.
#[derive(Debug)]
pub struct TextCallers {
    spec: TextSpec,
    offers: OfferedLoad,
    exchange: Exchange,
    rng: Pcg64Mcg,
    schedule: CallSchedule<Due>,
    asked: BTreeMap<u32, Asked>,
    /// Standing calls by context.
    standing: BTreeMap<u32, (String, usize)>,
    count: u64,
    /// What is left of the rate after notices of overload.
    throttle: f64,
    throttled_at: Micros,
    greeted: bool,
    /// It greeted the front before.
    known: bool,
    registered: bool,
    asked_events: bool,
}

/// Each notice takes this much of the rate; it comes back by `RECOVERS` in each `STEP`.
const TAKES: f64 = 0.8;
const RECOVERS: f64 = 1.02;
const STEP: Micros = 100_000;

/// Callers look at least this often.
const LOOK: Micros = 100_000;
/// A request is repeated no later than this after the last copy: by the table in `docs/notes/rules.md` a request
/// and its reply then both get through within a caller's 3 s but for one in some millions at 30% loss.
const REPEAT: Micros = 250_000;

impl TextCallers {
    /// Callers that register with their first tick; `seed` draws everything.
    pub fn new(spec: TextSpec, offers: OfferedLoad, seed: u64) -> Self {
        // The client gives a set-up up by itself: its transaction is repeated for as long as that takes.
        let settings = Settings {
            lost_after_sends: 64,
            lost_after: 0,
            max_retransmit_interval: REPEAT,
            ..Settings::default()
        };
        Self {
            schedule: CallSchedule::new(spec.flows.len()),
            exchange: Exchange::new(settings, seed),
            rng: Pcg64Mcg::seed_from_u64(seed),
            spec,
            offers,
            asked: BTreeMap::new(),
            standing: BTreeMap::new(),
            count: 0,
            throttle: 1.0,
            throttled_at: 0,
            greeted: false,
            known: false,
            registered: false,
            asked_events: false,
        }
    }

    /// What is offered from now on.
    pub fn set_offered_load(&mut self, offers: OfferedLoad) {
        self.offers = offers;
    }

    /// When a tick is wanted at the latest.
    pub fn due(&self, now: Micros) -> Micros {
        if !self.greeted {
            return now;
        }
        let calls = if self.registered { self.schedule.next_due() } else { Micros::MAX };
        calls.min(self.exchange.next_wake().unwrap_or(Micros::MAX)).min(now.saturating_add(LOOK))
    }

    /// A datagram came.
    pub fn received(&mut self, now: Micros, text: &str, out: &mut Vec<TextOutput>) {
        let mut dos = Vec::new();
        self.registered |= self.heard(now, text, &mut dos, out);
        if self.registered
            && self.offers.honours_overload_notices
            && !std::mem::replace(&mut self.asked_events, true)
        {
            let mid = &self.spec.mid;
            let events = |id| format!("!/1 {mid} T={id}{{C=-{{MF=ROOT{{E=1{{ocp/mg_overload}}}}}}}}");
            let sent = self.exchange.send(now, events, &mut dos);
            self.asked.extend(sent.map(|id| (id, Asked::Release)));
        }
        self.carry(dos, out);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<TextOutput>) {
        let mut dos = Vec::new();
        if !std::mem::replace(&mut self.greeted, true) {
            let mid = &self.spec.mid;
            // A front that lost it is greeted as one whose client was there all the time: its transactions go on, and
            // a late copy of one that was answered must not be executed.
            let method = if std::mem::replace(&mut self.known, true) { "DC" } else { "RS" };
            let hello = |id| format!("!/1 {mid} T={id}{{C=-{{SC=ROOT{{SV{{MT={method}}}}}}}}}");
            if let Some(id) = self.exchange.send(now, hello, &mut dos) {
                self.asked.insert(id, Asked::Register);
            }
        }
        self.exchange.tick(now, &mut dos);
        if self.registered {
            self.act(now, &mut dos, out);
        }
        self.carry(dos, out);
    }

    fn carry(&mut self, dos: Vec<ExchangeAction>, out: &mut Vec<TextOutput>) {
        for what in dos {
            match what {
                ExchangeAction::Send(text) => out.push(TextOutput::Send(text)),
                ExchangeAction::Ack(id) => {
                    out.push(TextOutput::Send(format!("!/1 {} K{{{id}}}", self.spec.mid).into()));
                }
                ExchangeAction::Lost(id) => drop(self.asked.remove(&id)),
                _ => {}
            }
        }
    }

    fn act(&mut self, now: Micros, dos: &mut Vec<ExchangeAction>, out: &mut Vec<TextOutput>) {
        let OfferedLoad { factor, flood, honours_overload_notices: heeds, .. } = self.offers;
        if now >= self.throttled_at + STEP {
            self.throttled_at = now;
            self.throttle = (self.throttle * RECOVERS).min(1.0);
        }
        let throttle = if heeds { self.throttle } else { 1.0 };
        for flow in 0..self.spec.flows.len() {
            let publisher = self.spec.flows[flow].publisher;
            let flooding = flood.filter(|(who, _)| *who == publisher).map_or(1.0, |(_, times)| times);
            let rate = self.spec.flows[flow].rate * factor * flooding * throttle;
            for _ in 0..self.schedule.arrivals(now, flow, rate, &mut self.rng) {
                let choice = choose_weighted(&mut self.rng, &self.spec.servers);
                self.offer(now, flow, None, 0, choice, dos, out);
            }
        }
        while let Some(due) = self.schedule.pop_due(now) {
            match due {
                Due::GiveUp(id) => self.give_up(now, id, out),
                Due::Hangup(context) => {
                    if let Some((name, _)) = self.standing.remove(&context) {
                        out.push(TextOutput::Record(RecordEvent::Hangup {
                            front: self.spec.front,
                            call: name,
                        }));
                        self.release(now, context, dos);
                    }
                }
                Due::Redial { flow, first, tries, choice } if factor > 0.0 => {
                    self.offer(now, flow, Some(first), tries, choice, dos, out);
                }
                Due::Redial { .. } => {}
            }
        }
    }

    fn release(&mut self, now: Micros, context: u32, dos: &mut Vec<ExchangeAction>) {
        let mid = &self.spec.mid;
        let text = |id| format!("!/1 {mid} T={id}{{C={context}{{S=trunk/{context}}}}}");
        if let Some(id) = self.exchange.send(now, text, dos) {
            self.asked.insert(id, Asked::Release);
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
        dos: &mut Vec<ExchangeAction>,
        out: &mut Vec<TextOutput>,
    ) {
        self.count += 1;
        let Flow { class, publisher, context, subscription, caller_timeout: patience, .. } =
            self.spec.flows[flow].clone();
        let (mid, count) = (self.spec.mid.clone(), self.count);
        let number = 6_000_000 + self.rng.random_range(0..1_000_000);
        let server = self.spec.servers.get(choice).map_or("", |(host, _)| host.as_str());
        let text = |id| {
            format!(
                "!/1 {mid} T={id}{{C=${{A=trunk/${{M{{O{{bdc/ctx=\"{context}\",bdc/num={number},\
                 bdc/sub=\"{subscription}\",bdc/srv={server},bdc/ref={count}}}}}}}}}}}"
            )
        };
        let Some(id) = self.exchange.send(now, text, dos) else { return };
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
        self.schedule.add(now + patience, Due::GiveUp(id));
        self.asked.insert(id, Asked::SetUp { name, flow, first, tries, choice, waits: true });
    }

    fn give_up(&mut self, now: Micros, id: u32, out: &mut Vec<TextOutput>) {
        let front = self.spec.front;
        let Some(Asked::SetUp { name, flow, first, tries, choice, waits }) = self.asked.get_mut(&id) else {
            return;
        };
        if std::mem::take(waits) {
            out.push(TextOutput::Record(RecordEvent::CallerTimeout { front, call: name.clone() }));
            // Guards against a set-up by a front's later process, which cannot know that its caller left.
            self.exchange.abandon(now, id);
            let first = first.clone().unwrap_or_else(|| name.clone());
            let (flow, tries, choice) = (*flow, *tries, *choice);
            self.redial(now, flow, first, tries, choice);
        }
    }

    fn redial(&mut self, now: Micros, flow: usize, first: String, tries: u32, choice: usize) {
        let (redials, wait) = (self.offers.redials, self.offers.redial_wait as f64);
        if tries < redials {
            let wait = sample_exponential(&mut self.rng, wait);
            self.schedule.add(now + wait, Due::Redial { flow, first, tries: tries + 1, choice });
        }
    }

    /// Takes a datagram; whether it was the answer to the registration.
    fn heard(
        &mut self,
        now: Micros,
        text: &str,
        dos: &mut Vec<ExchangeAction>,
        out: &mut Vec<TextOutput>,
    ) -> bool {
        let Ok(message) = parse(text) else { return false };
        let Body::Transactions(all) = message.body else { return false };
        let mut registered = false;
        for transaction in all {
            match transaction {
                Transaction::Reply { id, immediate_ack, body } => {
                    let before = dos.len();
                    self.exchange.handle(now, ExchangeInput::Reply { id, immediate_ack }, dos);
                    let first = dos[before..].contains(&ExchangeAction::Delivered(id));
                    if first {
                        registered |= self.replied(now, id, &body, dos, out);
                    }
                }
                Transaction::Pending(id) => self.exchange.handle(now, ExchangeInput::Pending(id), dos),
                Transaction::Ack(ranges) => self.exchange.handle(now, ExchangeInput::Ack(ranges), dos),
                Transaction::Request { id, actions } => {
                    let before = dos.len();
                    self.exchange.handle(now, ExchangeInput::Request(id), dos);
                    if dos[before..].contains(&ExchangeAction::Execute(id)) {
                        let mut notified =
                            actions.iter().flat_map(|a| &a.commands).flat_map(|c| &c.descriptors);
                        if notified.any(|d| d.find("ocp/mg_overload", "").is_some()) {
                            self.throttle = (self.throttle * TAKES).max(0.01);
                        }
                        let context = actions.first().map(|action| action.context);
                        if let Some(baydrift_h248::Context::Id(context)) = context {
                            if let Some((call, flow)) = self.standing.remove(&context) {
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
                        self.exchange.reply(now, id, reply.into(), 0, dos);
                    }
                }
            }
        }
        registered
    }

    fn replied(
        &mut self,
        now: Micros,
        id: u32,
        body: &ReplyBody,
        dos: &mut Vec<ExchangeAction>,
        out: &mut Vec<TextOutput>,
    ) -> bool {
        let (call, flow, first, tries, choice, waits) = match self.asked.remove(&id) {
            Some(Asked::Register) => return matches!(body, ReplyBody::Actions(_)),
            Some(Asked::SetUp { name, flow, first, tries, choice, waits }) => {
                (name, flow, first, tries, choice, waits)
            }
            Some(Asked::Release) | None => return false,
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
        // The front's process is another one, which knows no client: it is greeted anew (RFC 3525, section 11.5).
        // Guards against callers of text that are turned away for ever after a front was killed.
        if error == Some(BEFORE_SERVICE_CHANGE) {
            (self.registered, self.greeted) = (false, false);
        }
        // The record has one set of codes for both protocols.
        let code = match error {
            None => 2001,
            Some(510) => 3004,
            Some(_) => 5012,
        };
        let front = self.spec.front;
        out.push(TextOutput::Record(RecordEvent::Answer { front, call: call.clone(), code }));
        match (code, context) {
            (2001, Some(baydrift_h248::Context::Id(context))) if waits => {
                let hold = self.spec.flows[flow].hold as f64;
                let hold = sample_exponential(&mut self.rng, hold);
                self.standing.insert(context, (call, flow));
                self.schedule.add(now + hold, Due::Hangup(context));
            }
            // It stands for a caller that is gone.
            (2001, Some(baydrift_h248::Context::Id(context))) => self.release(now, context, dos),
            _ if waits => self.redial(now, flow, first.unwrap_or(call), tries, choice),
            _ => {}
        }
        false
    }
}

/// What a datagram says of transactions, for the record: requests towards the front, replies back.
pub fn said(client: &str, to_front: bool, datagram: &str, lost: bool) -> Vec<RecordEvent> {
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
