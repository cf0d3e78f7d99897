//! Text commands, run one by one: what each does to the engine, and what it is answered.

use std::sync::Arc;

use baydrift::interface::Micros;
use baydrift_call::{Final, Input, LinkId, Offer, ReleaseResult, Request, Retransmission, Session};
use baydrift_diameter::credit::{self, Ccr, Endpoints, RequestType};
use baydrift_diameter::{dict, Avp, Fault};
use baydrift_exchange::{ExchangeAction, ExchangeInput, QueueDecision};
use baydrift_h248::{
    code, parse, ActionReply, Body, Command, CommandKind, Context, ErrorDescriptor, Item, Message, ReplyBody,
    Style, Transaction,
};
use tracing::{debug, debug_span};

use crate::desk::{Desk, DeskOutput, Payload};
use crate::text::{is_trunk, property, Entry, Job, Step, Told};

/// What a command came to.
enum Done {
    /// Its reply: the termination that it was about, and descriptors.
    Replied(String, Vec<Item>),
    /// The engine has it, for this context.
    Waits(u32),
}

/// A transaction that took longer asks for its reply's acknowledgement at once (RFC 3525, section 8.2.3).
const TOOK_LONG: Micros = 300_000;
/// Over datagrams a call is decided so long before its caller gives up, so that three copies of its reply may be
/// said in time: at 20% loss one answer in 125 given at the last moment is lost then, not one in five.
const RESERVE: Micros = 460_000;
/// The reply of any other transaction that took long is said again for at most so long.
const REPLY_AGAIN: Micros = 10_000_000;

fn no<T>(code: u16, text: &str) -> Result<T, ErrorDescriptor> {
    Err(ErrorDescriptor::new(code, text))
}

impl Desk {
    /// A datagram or packet came.
    pub(crate) fn text_heard(
        &mut self,
        now: Micros,
        link: LinkId,
        reliable: bool,
        bytes: &[u8],
        out: &mut Vec<DeskOutput>,
    ) {
        let read = match std::str::from_utf8(bytes) {
            Ok(text) => parse(text),
            Err(_) => parse("\u{0}"),
        };
        let message = match read {
            Ok(message) => message,
            Err(error) => return self.text_unread(link, &error, out),
        };
        if let Err(error) = self.text.admit(now, link, &message.mid, reliable) {
            self.faults += 1;
            debug!(mid = message.mid, code = error.code, "{}", error.text);
            let Body::Transactions(all) = message.body else { return };
            for transaction in all {
                if let Transaction::Request { id, .. } = transaction {
                    let text = self.text.reply(id, false, ReplyBody::Error(error.clone()));
                    out.push(DeskOutput::Text { link, text });
                }
            }
            return;
        }
        if let Body::Transactions(all) = message.body {
            all.into_iter().for_each(|transaction| self.transaction(now, link, transaction, out));
        }
    }

    /// A text that is none: the transaction is told where it could be read, else the sender, if it is known.
    fn text_unread(&mut self, link: LinkId, error: &baydrift_h248::Error, out: &mut Vec<DeskOutput>) {
        self.faults += 1;
        debug!(link = link.0, "{error}");
        if !self.text.clients.contains_key(&link) {
            return;
        }
        let text = match error.transaction {
            Some(id) => self.text.reply(id, false, ReplyBody::Error(error.descriptor())),
            None => {
                let body = Body::Error(error.descriptor());
                Message { version: 1, mid: self.text.mid.clone(), body }.write(Style::Compact).into()
            }
        };
        out.push(DeskOutput::Text { link, text });
    }

    fn transaction(
        &mut self,
        now: Micros,
        link: LinkId,
        transaction: Transaction,
        out: &mut Vec<DeskOutput>,
    ) {
        let Some(client) = self.text.clients.get_mut(&link) else { return };
        let mut dos = Vec::new();
        let actions = match transaction {
            Transaction::Request { id, actions } => {
                client.exchange.handle(now, ExchangeInput::Request(id), &mut dos);
                actions
            }
            Transaction::Reply { id, immediate_ack, .. } => {
                client.exchange.handle(now, ExchangeInput::Reply { id, immediate_ack }, &mut dos);
                Vec::new()
            }
            Transaction::Pending(id) => {
                client.exchange.handle(now, ExchangeInput::Pending(id), &mut dos);
                Vec::new()
            }
            Transaction::Ack(ranges) => {
                client.exchange.handle(now, ExchangeInput::Ack(ranges), &mut dos);
                Vec::new()
            }
        };
        let mut actions = Some(actions);
        for what in dos {
            match what {
                ExchangeAction::Execute(id) => {
                    self.begin(now, link, id, actions.take().unwrap_or_default(), out)
                }
                what => self.text_do(now, link, what, out),
            }
        }
    }

    fn text_do(&mut self, now: Micros, link: LinkId, what: ExchangeAction, out: &mut Vec<DeskOutput>) {
        let text = match what {
            ExchangeAction::Send(text) => text,
            ExchangeAction::Pending(id) => self.text.message(Transaction::Pending(id)).into(),
            ExchangeAction::Ack(id) => self.text.message(Transaction::Ack(vec![(id, id)])).into(),
            ExchangeAction::Refuse(id) => {
                let error = ErrorDescriptor::new(code::INSUFFICIENT_RESOURCES, "too many transactions");
                self.text.reply(id, false, ReplyBody::Error(error))
            }
            ExchangeAction::Lost(_) => return self.text_gone(now, link, out),
            ExchangeAction::Execute(_) | ExchangeAction::Delivered(_) => return,
        };
        out.push(DeskOutput::Text { link, text });
    }

    /// Pendings and repeats that are due.
    pub(crate) fn text_tick(&mut self, now: Micros, out: &mut Vec<DeskOutput>) {
        let due: Vec<_> = self
            .text
            .clients
            .iter()
            .filter(|(_, client)| client.exchange.next_wake().is_some_and(|at| at <= now))
            .map(|(link, _)| *link)
            .collect();
        let left =
            self.text.clients.iter().filter(|(_, client)| client.leaves_at.is_some_and(|at| at <= now));
        let left: Vec<_> = left.map(|(link, client)| (*link, client.mid.clone())).collect();
        for (link, owner) in left {
            if let Some(client) = self.text.clients.get_mut(&link) {
                (client.registered, client.leaving, client.leaves_at) = (false, false, None);
            }
            self.text.forget_work(link);
            self.engine(now, Input::ClientUp { link, owner, restarted: true }, out);
        }
        for link in due {
            let mut dos = Vec::new();
            if let Some(client) = self.text.clients.get_mut(&link) {
                client.exchange.tick(now, &mut dos);
            }
            dos.into_iter().for_each(|what| self.text_do(now, link, what, out));
        }
    }

    /// A client is gone: its link closed, or it does not answer. Its calls go with the association: nobody can name
    /// their contexts any more, and a set-up that went on would be a second one beside what its caller asks anew.
    pub(crate) fn text_gone(&mut self, now: Micros, link: LinkId, out: &mut Vec<DeskOutput>) {
        if let Some(owner) = self.text.clients.get(&link).map(|client| client.mid.clone()) {
            self.text.drop_client(link);
            self.engine(now, Input::ClientUp { link, owner, restarted: true }, out);
            self.engine(now, Input::ClientDown(link), out);
        }
    }

    fn begin(
        &mut self,
        now: Micros,
        link: LinkId,
        id: u32,
        actions: Vec<baydrift_h248::Action>,
        out: &mut Vec<DeskOutput>,
    ) {
        let (turn, _) = self.text.turns.submit(&link, (link, id));
        if turn == QueueDecision::Refused {
            let error = ErrorDescriptor::new(code::INSUFFICIENT_RESOURCES, "too many transactions wait");
            return self.answer_transaction(now, link, id, None, ReplyBody::Error(error), out);
        }
        self.text.jobs.insert((link, id), Job::new(link, actions, now));
        if turn == QueueDecision::Run {
            self.text.steps.push_back(Step::Run(link, id));
        }
    }

    /// All that can be done now. Steps are taken from a queue, not by recursion: a transaction may have thousands
    /// of commands.
    pub(crate) fn text_steps(&mut self, now: Micros, out: &mut Vec<DeskOutput>) {
        while let Some(step) = self.text.steps.pop_front() {
            match step {
                Step::Run(link, id) => self.run_job(now, link, id, out),
                Step::Told(link, id, told) => {
                    self.told(now, link, id, told, out);
                    self.text.steps.push_back(Step::Run(link, id));
                }
                Step::Cut(link, session) => self.notify_cut(now, link, &session, out),
            }
        }
    }

    fn run_job(&mut self, now: Micros, link: LinkId, id: u32, out: &mut Vec<DeskOutput>) {
        loop {
            let Some(job) = self.text.jobs.get_mut(&(link, id)).filter(|job| job.waits.is_none()) else {
                return;
            };
            let Some(command) = job.commands.pop_front() else {
                let Some(action) = job.actions.pop_front() else { return self.finish(now, link, id, out) };
                job.context = action.context;
                job.commands = action.commands.into();
                job.replies.push(ActionReply { context: action.context, replies: Vec::new(), error: None });
                continue;
            };
            let context = job.context;
            let done = self.execute(now, link, id, context, &command, out);
            let Some(job) = self.text.jobs.get_mut(&(link, id)) else { return };
            match done {
                Ok(Done::Replied(termination, descriptors)) => {
                    job.put(command.kind, &termination, descriptors)
                }
                Ok(Done::Waits(context)) => {
                    job.context = Context::Id(context);
                    job.waits = Some((command, context));
                    return;
                }
                Err(error) => job.fail(&command, error),
            }
        }
    }

    fn finish(&mut self, now: Micros, link: LinkId, id: u32, out: &mut Vec<DeskOutput>) {
        let Some(job) = self.text.jobs.remove(&(link, id)) else { return };
        let long = now.saturating_sub(job.began) > TOOK_LONG;
        // A call's answer that is lost is worth nothing: over datagrams it is said until it is acknowledged, or
        // its caller has given up. Repeats of the request alone lose one answer in some thousands at 20% loss.
        let reliable = self.text.clients.get(&link).is_none_or(|client| client.exchange.is_reliable());
        let wanted = job.wanted_until.saturating_sub(now);
        let again_for = match (reliable, wanted) {
            (false, 1..) => Some(wanted),
            _ if long => Some(REPLY_AGAIN),
            _ => None,
        };
        self.answer_transaction(now, link, id, again_for, ReplyBody::Actions(job.replies), out);
        if let Some((_, (link, id))) = self.text.turns.finish(&job.link) {
            self.text.steps.push_back(Step::Run(link, id));
        }
    }

    fn answer_transaction(
        &mut self,
        now: Micros,
        link: LinkId,
        id: u32,
        again_for: Option<Micros>,
        body: ReplyBody,
        out: &mut Vec<DeskOutput>,
    ) {
        let text = self.text.reply(id, again_for.is_some(), body);
        let mut dos = Vec::new();
        if let Some(client) = self.text.clients.get_mut(&link) {
            client.exchange.reply(now, id, text, again_for.unwrap_or(0), &mut dos);
        }
        dos.into_iter().for_each(|what| self.text_do(now, link, what, out));
    }

    fn execute(
        &mut self,
        now: Micros,
        link: LinkId,
        id: u32,
        context: Context,
        command: &Command,
        out: &mut Vec<DeskOutput>,
    ) -> Result<Done, ErrorDescriptor> {
        let Some(client) = self.text.clients.get(&link) else { return no(code::INTERNAL, "gone") };
        if !client.registered && command.kind != CommandKind::ServiceChange {
            return no(code::BEFORE_SERVICE_CHANGE, "ServiceChange comes first");
        }
        match command.kind {
            CommandKind::Add if is_trunk(&command.termination) => {
                self.add(now, link, id, context, command, out)
            }
            CommandKind::Add => self.add_own(link, id, context, command),
            CommandKind::Subtract => self.subtract(now, link, id, context, command, out),
            CommandKind::AuditValue => self.audit(now, link, id, context, command),
            CommandKind::AuditCapability => {
                let packages = ["bdc-1", "ocp-1"].map(Item::new).to_vec();
                Ok(Done::Replied(
                    command.termination.clone(),
                    vec![Item::new("Packages").with_group(packages)],
                ))
            }
            CommandKind::Modify => self.modify(link, context, command),
            CommandKind::ServiceChange => self.service_change(now, link, id, command, out),
            CommandKind::Move => no(code::NOT_IMPLEMENTED, "a call stays in its context"),
            CommandKind::Notify => no(code::UNKNOWN_COMMAND, "nothing is notified here"),
        }
    }

    /// A termination of the caller's own side: it is named and no more.
    fn add_own(
        &mut self,
        link: LinkId,
        id: u32,
        context: Context,
        command: &Command,
    ) -> Result<Done, ErrorDescriptor> {
        let context = match context {
            Context::Choose => self.text.new_context(link),
            Context::Id(context) => context,
            Context::Null | Context::All => {
                return no(code::UNKNOWN_CONTEXT, "a call has a context of its own")
            }
        };
        if let Some(job) = self.text.jobs.get_mut(&(link, id)) {
            job.context = Context::Id(context);
        }
        Ok(Done::Replied(command.termination.replace('$', &context.to_string()), Vec::new()))
    }

    /// Sets a call up: its reply waits for the final answer.
    fn add(
        &mut self,
        now: Micros,
        link: LinkId,
        id: u32,
        context: Context,
        command: &Command,
        out: &mut Vec<DeskOutput>,
    ) -> Result<Done, ErrorDescriptor> {
        if self.text.clients.get(&link).is_some_and(|client| client.leaving) {
            return no(code::INSUFFICIENT_RESOURCES, "the client leaves");
        }
        let context = match context {
            Context::Choose => self.text.new_context(link),
            // Chosen by an earlier command of the same action.
            Context::Id(context)
                if self.text.jobs.get(&(link, id)).is_some_and(|job| chose(job, context)) =>
            {
                context
            }
            Context::Id(context) if self.text.contexts.contains_key(&(link, context)) => {
                return no(code::INSUFFICIENT_RESOURCES, "the context has its call");
            }
            _ => return no(code::UNKNOWN_CONTEXT, "calls are set up in a context that is chosen"),
        };
        let (offer, patience) = self
            .offer(link, context, command)
            .map_err(|fault| ErrorDescriptor::new(code::UNKNOWN_VALUE, fault.text))?;
        self.text.waiting.insert(offer.request, (link, id));
        if let Some(job) = self.text.jobs.get_mut(&(link, id)) {
            job.wanted_until = job.wanted_until.max(now.saturating_add(patience));
        }
        let entry = Entry { session: offer.session.clone(), since: now, stands: false };
        self.text.contexts.insert((link, context), entry);
        self.engine(now, Input::Offered(offer), out);
        Ok(Done::Waits(context))
    }

    /// The call of an Add, by the same table as a CCR: what it says is said as one; and when its caller gives up.
    fn offer(
        &mut self,
        link: LinkId,
        context: u32,
        command: &Command,
    ) -> Result<(Offer<Payload>, Micros), Fault> {
        let Some(client) = self.text.clients.get(&link) else {
            return Err(Fault::new(0, "no such client"));
        };
        let get = |name| property(command, name);
        let session = format!("{};{};{context}", client.mid, self.boot);
        let ends = Endpoints {
            origin_host: &self.host,
            origin_realm: &client.realm,
            destination_realm: get("bdc/realm").unwrap_or(self.table.first_realm()),
            destination_host: get("bdc/srv"),
        };
        let service = get("bdc/ctx").unwrap_or("");
        let mut message = credit::request(ends, &session, service, RequestType::Initial, 0);
        message.avps.extend(get("bdc/num").map(|number| Avp::text(dict::CALLED_STATION_ID, number)));
        if let Some(subscription) = get("bdc/sub") {
            let inner = [
                Avp::u32(dict::SUBSCRIPTION_ID_TYPE, 4),
                Avp::text(dict::SUBSCRIPTION_ID_DATA, subscription),
            ];
            message.push(Avp::group(dict::SUBSCRIPTION_ID, &inner));
        }
        let ccr = Ccr::read(&message)?;
        let facts = self.table.facts(&message, &ccr)?;
        let session = Session { owner: client.mid.clone(), id: Arc::from(session) };
        let span = debug_span!("call", session = &*session.id);
        let patience = facts.gives_up.saturating_sub(self.waited());
        let reserve = if client.exchange.is_reliable() { 0 } else { RESERVE.min(facts.gives_up / 4) };
        self.next_ticket += 1;
        let offer = Offer {
            session,
            request: Request { link, ticket: self.next_ticket },
            class: facts.class,
            tenant: facts.tenant,
            number: facts.number,
            first_choice: facts.first_choice,
            caller_timeout: patience.saturating_sub(reserve),
            redial: None,
            was_dropped: false,
            // Over datagrams a transaction is said again, and looks as it did the first time.
            retransmission: if client.exchange.is_reliable() {
                Retransmission::First
            } else {
                Retransmission::Unknown
            },
            payload: Payload { request: Arc::new(message), name: get("bdc/ref").map(Arc::from), span },
        };
        Ok((offer, patience))
    }

    fn known(&self, link: LinkId, context: Context) -> Result<(u32, Entry), ErrorDescriptor> {
        let Context::Id(id) = context else { return no(code::UNKNOWN_CONTEXT, "one context is wanted") };
        match self.text.contexts.get(&(link, id)) {
            Some(entry) => Ok((id, entry.clone())),
            None => no(code::UNKNOWN_CONTEXT, "no such context"),
        }
    }

    fn subtract(
        &mut self,
        now: Micros,
        link: LinkId,
        id: u32,
        context: Context,
        command: &Command,
        out: &mut Vec<DeskOutput>,
    ) -> Result<Done, ErrorDescriptor> {
        let (context, entry) = self.known(link, context)?;
        let all = command.termination == "*" || command.termination.eq_ignore_ascii_case("trunk/*");
        if !all && !command.termination.eq_ignore_ascii_case(&format!("trunk/{context}")) {
            if is_trunk(&command.termination) {
                return no(code::NOT_IN_CONTEXT, "not in this context");
            }
            return Ok(Done::Replied(command.termination.clone(), Vec::new()));
        }
        self.next_ticket += 1;
        let request = Request { link, ticket: self.next_ticket };
        self.text.waiting.insert(request, (link, id));
        self.engine(now, Input::Released { session: entry.session, request }, out);
        Ok(Done::Waits(context))
    }

    fn audit(
        &mut self,
        now: Micros,
        link: LinkId,
        id: u32,
        context: Context,
        command: &Command,
    ) -> Result<Done, ErrorDescriptor> {
        if context == Context::Null && command.termination.eq_ignore_ascii_case("ROOT") {
            return Ok(Done::Replied(command.termination.clone(), Vec::new()));
        }
        if context != Context::All {
            let (context, entry) = self.known(link, context)?;
            return Ok(Done::Replied(format!("trunk/{context}"), vec![statistics(now, &entry)]));
        }
        // All calls of this client, each in its context.
        let all = self.text.contexts.range((link, 0)..=(link, u32::MAX));
        let all: Vec<_> = all.map(|((_, context), entry)| (*context, statistics(now, entry))).collect();
        let Some(((last, told), before)) = all.split_last() else {
            return no(code::NO_MATCH, "nothing matches");
        };
        if let Some(job) = self.text.jobs.get_mut(&(link, id)) {
            for (context, told) in before {
                job.context = Context::Id(*context);
                job.put(command.kind, &format!("trunk/{context}"), vec![told.clone()]);
                job.replies.push(ActionReply { context: Context::Null, replies: Vec::new(), error: None });
            }
            job.context = Context::Id(*last);
        }
        Ok(Done::Replied(format!("trunk/{last}"), vec![told.clone()]))
    }

    fn modify(&mut self, link: LinkId, context: Context, command: &Command) -> Result<Done, ErrorDescriptor> {
        let root = command.termination.eq_ignore_ascii_case("ROOT");
        if !root {
            self.known(link, context)?;
        }
        for descriptor in &command.descriptors {
            if !descriptor.is("Events", "E") {
                return no(code::UNKNOWN_DESCRIPTOR, "only events can be asked for");
            }
            for event in descriptor.items() {
                let known = if root { "ocp/mg_overload" } else { "bdc/cut" };
                if !event.name.eq_ignore_ascii_case(known) {
                    return no(code::UNKNOWN_EVENT, "no such event here");
                }
            }
            let request = descriptor.text().unwrap_or("1").to_owned();
            if let Some(client) = self.text.clients.get_mut(&link).filter(|_| root) {
                // An empty list takes back what was asked for.
                client.overload = (!descriptor.items().is_empty()).then_some(request);
            }
        }
        Ok(Done::Replied(command.termination.clone(), Vec::new()))
    }

    fn service_change(
        &mut self,
        now: Micros,
        link: LinkId,
        id: u32,
        command: &Command,
        out: &mut Vec<DeskOutput>,
    ) -> Result<Done, ErrorDescriptor> {
        if !command.termination.eq_ignore_ascii_case("ROOT") {
            return no(code::NOT_IMPLEMENTED, "a client registers as a whole");
        }
        let services = command.descriptors.iter().find(|item| item.is("Services", "SV"));
        let method =
            services.and_then(|services| services.find("Method", "MT")).and_then(Item::text).unwrap_or("");
        let is =
            |long: &str, short: &str| method.eq_ignore_ascii_case(long) || method.eq_ignore_ascii_case(short);
        let Some(client) = self.text.clients.get_mut(&link) else { return no(code::INTERNAL, "gone") };
        let owner = client.mid.clone();
        let restarted = is("Restart", "RS");
        let leaves = is("Forced", "FO");
        if is("Graceful", "GR") {
            // Without a delay its calls end when they end (RFC 3525, section 7.2.8).
            let delay = services.and_then(|services| services.find("Delay", "DL")).and_then(Item::text);
            let delay =
                delay.and_then(|seconds| seconds.parse::<Micros>().ok()).filter(|seconds| *seconds > 0);
            client.leaving = true;
            client.leaves_at = delay.map(|seconds| now.saturating_add(seconds.saturating_mul(1_000_000)));
        } else if restarted || leaves {
            (client.registered, client.leaving, client.leaves_at) = (!leaves, false, None);
            client.overload = None;
            // Its ids start anew: an old reply must not answer a new request.
            client.exchange.peer_restarted(id);
            let job = self.text.jobs.remove(&(link, id));
            self.text.forget_work(link);
            self.text.jobs.extend(job.map(|job| ((link, id), job)));
            self.engine(now, Input::ClientUp { link, owner, restarted: true }, out);
        } else if is("Disconnected", "DC") || is("Handoff", "HO") || is("Failover", "FL") {
            (client.registered, client.leaving, client.leaves_at) = (true, false, None);
            self.engine(now, Input::ClientUp { link, owner, restarted: false }, out);
        } else {
            return no(code::UNKNOWN_VALUE, "no such method of ServiceChange");
        }
        Ok(Done::Replied("ROOT".into(), Vec::new()))
    }

    /// The engine has answered a command that waited.
    fn told(&mut self, now: Micros, link: LinkId, id: u32, told: Told, out: &mut Vec<DeskOutput>) {
        let waits = self.text.jobs.get_mut(&(link, id)).and_then(|job| job.waits.take());
        let Some((command, context)) = waits else { return };
        let termination = format!("trunk/{context}");
        let key = (link, context);
        let mut refused = false;
        let result = match told {
            Told::Answer(Final::Established) => {
                if let Some(entry) = self.text.contexts.get_mut(&key) {
                    (entry.stands, entry.since) = (true, now);
                }
                Ok(Vec::new())
            }
            Told::Answer(Final::Refused { retry_after, .. }) => {
                refused = true;
                self.text.contexts.remove(&key);
                let advice = match retry_after {
                    0 => "refused".to_owned(),
                    span => format!("refused, again after {} ms", span / 1_000),
                };
                Err(ErrorDescriptor::new(code::INSUFFICIENT_RESOURCES, advice))
            }
            Told::Answer(Final::Failed) => {
                self.text.contexts.remove(&key);
                Err(ErrorDescriptor::new(code::INTERNAL, "failed"))
            }
            Told::Released(ReleaseResult::Done) => {
                let entry = self.text.contexts.remove(&key);
                Ok(entry.map(|entry| statistics(now, &entry)).into_iter().collect())
            }
            Told::Released(ReleaseResult::Unknown) => {
                self.text.contexts.remove(&key);
                Err(ErrorDescriptor::new(code::UNKNOWN_TERMINATION, "the call is over"))
            }
        };
        if let Some(job) = self.text.jobs.get_mut(&(link, id)) {
            match result {
                Ok(descriptors) => job.put(command.kind, &termination, descriptors),
                Err(error) => job.fail(&command, error),
            }
        }
        if refused {
            if let Some(request) = self.text.overload_due(now, link) {
                self.notify(now, link, Context::Null, "ROOT", &request, "ocp/mg_overload", out);
            }
        }
    }

    fn notify_cut(&mut self, now: Micros, link: LinkId, session: &Session, out: &mut Vec<DeskOutput>) {
        let Some(context) = self.text.context_of(link, session) else { return };
        self.text.contexts.remove(&(link, context));
        self.notify(now, link, Context::Id(context), &format!("trunk/{context}"), "1", "bdc/cut", out);
    }

    #[allow(clippy::too_many_arguments)] // A notification has as many parts.
    fn notify(
        &mut self,
        now: Micros,
        link: LinkId,
        context: Context,
        termination: &str,
        request: &str,
        event: &str,
        out: &mut Vec<DeskOutput>,
    ) {
        let observed = Item::new("ObservedEvents").with(request).with_group(vec![Item::new(event)]);
        let command = Command {
            kind: CommandKind::Notify,
            optional: false,
            wildcard: false,
            termination: termination.to_owned(),
            descriptors: vec![observed],
        };
        let action = baydrift_h248::Action { context, commands: vec![command] };
        let mid = self.text.mid.clone();
        let text = |id| {
            let body = Body::Transactions(vec![Transaction::Request { id, actions: vec![action] }]);
            Message { version: 1, mid, body }.write(Style::Compact)
        };
        let mut dos = Vec::new();
        if let Some(client) = self.text.clients.get_mut(&link) {
            client.exchange.send(now, text, &mut dos);
        }
        dos.into_iter().for_each(|what| self.text_do(now, link, what, out));
    }
}

/// Whether a context was chosen by this transaction's own action, and has no call yet.
fn chose(job: &Job, context: u32) -> bool {
    job.replies
        .last()
        .is_some_and(|action| action.context == Context::Id(context) && !action.replies.is_empty())
}

/// How long a call has stood, ms.
fn statistics(now: Micros, entry: &Entry) -> Item {
    let ms = if entry.stands { now.saturating_sub(entry.since) / 1_000 } else { 0 };
    Item::new("Statistics").with_group(vec![Item::new("bdc/dur").with(ms.to_string())])
}
