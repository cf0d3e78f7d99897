//! Execution of H.248 text commands: the engine inputs of each command, and its reply.

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

use crate::session_layer::{Payload, SessionLayer, SessionOutput};
use crate::text::{is_trunk, property, EngineReply, Job, Step, TextCall};

/// The result of executing a command.
enum CommandResult {
    /// Completed: the termination and descriptors of the reply.
    Done(String, Vec<Item>),
    /// Awaits the engine's reply about the call of this context.
    Pending(u32),
}

/// Duration in microseconds after which the reply to a transaction requests an immediate acknowledgement (RFC
/// 3525, section 8.2.3).
const IMMEDIATE_ACK_AFTER: Micros = 300_000;
/// Time in microseconds that is reserved before the caller timeout for sending three copies of a reply over
/// datagrams: at 20% loss this loses one in 125 of the answers given at the last moment, instead of one in
/// five.
const DATAGRAM_REPLY_RESERVE: Micros = 460_000;
/// Time in microseconds for which the reply to any other slow transaction is retransmitted at most.
const REPLY_RETRANSMIT_TIME: Micros = 10_000_000;

fn reject<T>(code: u16, text: &str) -> Result<T, ErrorDescriptor> {
    Err(ErrorDescriptor::new(code, text))
}

impl SessionLayer {
    /// Handles an H.248 text message.
    pub(crate) fn handle_text(
        &mut self,
        now: Micros,
        link: LinkId,
        reliable: bool,
        bytes: &[u8],
        out: &mut Vec<SessionOutput>,
    ) {
        let parsed = match std::str::from_utf8(bytes) {
            Ok(text) => parse(text),
            Err(_) => parse("\u{0}"),
        };
        let message = match parsed {
            Ok(message) => message,
            Err(error) => return self.reject_text(link, &error, out),
        };
        if let Err(error) = self.text.admit(now, link, &message.mid, reliable) {
            self.faults += 1;
            debug!(mid = message.mid, code = error.code, "{}", error.text);
            let Body::Transactions(all) = message.body else { return };
            for transaction in all {
                if let Transaction::Request { id, .. } = transaction {
                    let text = self.text.reply(id, false, ReplyBody::Error(error.clone()));
                    out.push(SessionOutput::Text { link, text });
                }
            }
            return;
        }
        if let Body::Transactions(all) = message.body {
            all.into_iter().for_each(|transaction| self.transaction(now, link, transaction, out));
        }
    }

    /// Rejects a message that cannot be parsed: by an error reply to its transaction if the id could be read,
    /// otherwise by a message error. Unknown senders get no answer.
    fn reject_text(&mut self, link: LinkId, error: &baydrift_h248::Error, out: &mut Vec<SessionOutput>) {
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
        out.push(SessionOutput::Text { link, text });
    }

    fn transaction(
        &mut self,
        now: Micros,
        link: LinkId,
        transaction: Transaction,
        out: &mut Vec<SessionOutput>,
    ) {
        let Some(client) = self.text.clients.get_mut(&link) else { return };
        let mut exchange_actions = Vec::new();
        let actions = match transaction {
            Transaction::Request { id, actions } => {
                client.exchange.handle(now, ExchangeInput::Request(id), &mut exchange_actions);
                actions
            }
            Transaction::Reply { id, immediate_ack, .. } => {
                client.exchange.handle(
                    now,
                    ExchangeInput::Reply { id, immediate_ack },
                    &mut exchange_actions,
                );
                Vec::new()
            }
            Transaction::Pending(id) => {
                client.exchange.handle(now, ExchangeInput::Pending(id), &mut exchange_actions);
                Vec::new()
            }
            Transaction::Ack(ranges) => {
                client.exchange.handle(now, ExchangeInput::Ack(ranges), &mut exchange_actions);
                Vec::new()
            }
        };
        let mut actions = Some(actions);
        for action in exchange_actions {
            match action {
                ExchangeAction::Execute(id) => {
                    self.start_transaction(now, link, id, actions.take().unwrap_or_default(), out)
                }
                action => self.apply_exchange_action(now, link, action, out),
            }
        }
    }

    fn apply_exchange_action(
        &mut self,
        now: Micros,
        link: LinkId,
        action: ExchangeAction,
        out: &mut Vec<SessionOutput>,
    ) {
        let text = match action {
            ExchangeAction::Send(text) => text,
            ExchangeAction::Pending(id) => self.text.message(Transaction::Pending(id)).into(),
            ExchangeAction::Ack(id) => self.text.message(Transaction::Ack(vec![(id, id)])).into(),
            ExchangeAction::Refuse(id) => {
                let error = ErrorDescriptor::new(code::INSUFFICIENT_RESOURCES, "too many transactions");
                self.text.reply(id, false, ReplyBody::Error(error))
            }
            ExchangeAction::Lost(_) => return self.close_text_client(now, link, out),
            ExchangeAction::Execute(_) | ExchangeAction::Delivered(_) => return,
        };
        out.push(SessionOutput::Text { link, text });
    }

    /// Sends pending notifications and retransmissions that are due, and releases the calls of clients whose
    /// graceful period is over.
    pub(crate) fn tick_text(&mut self, now: Micros, out: &mut Vec<SessionOutput>) {
        let due: Vec<_> = self
            .text
            .clients
            .iter()
            .filter(|(_, client)| client.exchange.next_wake().is_some_and(|at| at <= now))
            .map(|(link, _)| *link)
            .collect();
        let drained =
            self.text.clients.iter().filter(|(_, client)| client.drain_deadline.is_some_and(|at| at <= now));
        let drained: Vec<_> = drained.map(|(link, client)| (*link, client.mid.clone())).collect();
        for (link, owner) in drained {
            if let Some(client) = self.text.clients.get_mut(&link) {
                (client.registered, client.draining, client.drain_deadline) = (false, false, None);
            }
            self.text.discard_work(link);
            self.run_engine(now, Input::ClientUp { link, owner, restarted: true }, out);
        }
        for link in due {
            let mut exchange_actions = Vec::new();
            if let Some(client) = self.text.clients.get_mut(&link) {
                client.exchange.tick(now, &mut exchange_actions);
            }
            exchange_actions
                .into_iter()
                .for_each(|action| self.apply_exchange_action(now, link, action, out));
        }
    }

    /// Removes a client whose link closed or that does not answer. Its calls are released with the
    /// association: their contexts can no longer be addressed, and a set-up that continued would duplicate
    /// the caller's next request.
    pub(crate) fn close_text_client(&mut self, now: Micros, link: LinkId, out: &mut Vec<SessionOutput>) {
        if let Some(owner) = self.text.clients.get(&link).map(|client| client.mid.clone()) {
            self.text.drop_client(link);
            self.run_engine(now, Input::ClientUp { link, owner, restarted: true }, out);
            self.run_engine(now, Input::ClientDown(link), out);
        }
    }

    fn start_transaction(
        &mut self,
        now: Micros,
        link: LinkId,
        id: u32,
        actions: Vec<baydrift_h248::Action>,
        out: &mut Vec<SessionOutput>,
    ) {
        let (decision, _) = self.text.queue.submit(&link, (link, id));
        if decision == QueueDecision::Refused {
            let error = ErrorDescriptor::new(code::INSUFFICIENT_RESOURCES, "too many transactions wait");
            return self.answer_transaction(now, link, id, None, ReplyBody::Error(error), out);
        }
        self.text.jobs.insert((link, id), Job::new(link, actions, now));
        if decision == QueueDecision::Run {
            self.text.steps.push_back(Step::Run(link, id));
        }
    }

    /// Runs all queued steps. They are queued instead of recursive because a transaction may have thousands
    /// of commands.
    pub(crate) fn run_text_steps(&mut self, now: Micros, out: &mut Vec<SessionOutput>) {
        while let Some(step) = self.text.steps.pop_front() {
            match step {
                Step::Run(link, id) => self.run_job(now, link, id, out),
                Step::Completed(link, id, reply) => {
                    self.complete_command(now, link, id, reply, out);
                    self.text.steps.push_back(Step::Run(link, id));
                }
                Step::Cut(link, session) => self.notify_call_cut(now, link, &session, out),
            }
        }
    }

    fn run_job(&mut self, now: Micros, link: LinkId, id: u32, out: &mut Vec<SessionOutput>) {
        loop {
            let Some(job) = self.text.jobs.get_mut(&(link, id)).filter(|job| job.pending.is_none()) else {
                return;
            };
            let Some(command) = job.commands.pop_front() else {
                let Some(action) = job.actions.pop_front() else {
                    return self.finish_transaction(now, link, id, out);
                };
                job.context = action.context;
                job.commands = action.commands.into();
                job.replies.push(ActionReply { context: action.context, replies: Vec::new(), error: None });
                continue;
            };
            let context = job.context;
            let result = self.execute(now, link, id, context, &command, out);
            let Some(job) = self.text.jobs.get_mut(&(link, id)) else { return };
            match result {
                Ok(CommandResult::Done(termination, descriptors)) => {
                    job.push_reply(command.kind, &termination, descriptors)
                }
                Ok(CommandResult::Pending(context)) => {
                    job.context = Context::Id(context);
                    job.pending = Some((command, context));
                    return;
                }
                Err(error) => job.fail(&command, error),
            }
        }
    }

    fn finish_transaction(&mut self, now: Micros, link: LinkId, id: u32, out: &mut Vec<SessionOutput>) {
        let Some(job) = self.text.jobs.remove(&(link, id)) else { return };
        let slow = now.saturating_sub(job.started_at) > IMMEDIATE_ACK_AFTER;
        // Over datagrams, the answer to a call is retransmitted until it is acknowledged or the caller
        // timeout: with retransmissions of the request alone, one answer in several thousand is lost at 20%
        // loss.
        let reliable = self.text.clients.get(&link).is_none_or(|client| client.exchange.is_reliable());
        let remaining = job.caller_deadline.saturating_sub(now);
        let retransmit_time = match (reliable, remaining) {
            (false, 1..) => Some(remaining),
            _ if slow => Some(REPLY_RETRANSMIT_TIME),
            _ => None,
        };
        self.answer_transaction(now, link, id, retransmit_time, ReplyBody::Actions(job.replies), out);
        if let Some((_, (link, id))) = self.text.queue.finish(&job.link) {
            self.text.steps.push_back(Step::Run(link, id));
        }
    }

    fn answer_transaction(
        &mut self,
        now: Micros,
        link: LinkId,
        id: u32,
        retransmit_time: Option<Micros>,
        body: ReplyBody,
        out: &mut Vec<SessionOutput>,
    ) {
        let text = self.text.reply(id, retransmit_time.is_some(), body);
        let mut exchange_actions = Vec::new();
        if let Some(client) = self.text.clients.get_mut(&link) {
            client.exchange.reply(now, id, text, retransmit_time.unwrap_or(0), &mut exchange_actions);
        }
        exchange_actions.into_iter().for_each(|action| self.apply_exchange_action(now, link, action, out));
    }

    fn execute(
        &mut self,
        now: Micros,
        link: LinkId,
        id: u32,
        context: Context,
        command: &Command,
        out: &mut Vec<SessionOutput>,
    ) -> Result<CommandResult, ErrorDescriptor> {
        let Some(client) = self.text.clients.get(&link) else { return reject(code::INTERNAL, "gone") };
        if !client.registered && command.kind != CommandKind::ServiceChange {
            return reject(code::BEFORE_SERVICE_CHANGE, "ServiceChange comes first");
        }
        match command.kind {
            CommandKind::Add if is_trunk(&command.termination) => {
                self.add(now, link, id, context, command, out)
            }
            CommandKind::Add => self.add_caller_side(link, id, context, command),
            CommandKind::Subtract => self.subtract(now, link, id, context, command, out),
            CommandKind::AuditValue => self.audit(now, link, id, context, command),
            CommandKind::AuditCapability => {
                let packages = ["bdc-1", "ocp-1"].map(Item::new).to_vec();
                Ok(CommandResult::Done(
                    command.termination.clone(),
                    vec![Item::new("Packages").with_group(packages)],
                ))
            }
            CommandKind::Modify => self.modify(link, context, command),
            CommandKind::ServiceChange => self.service_change(now, link, id, command, out),
            CommandKind::Move => reject(code::NOT_IMPLEMENTED, "a call stays in its context"),
            CommandKind::Notify => reject(code::UNKNOWN_COMMAND, "nothing is notified here"),
        }
    }

    /// Adds a termination of the caller's side, which is only named.
    fn add_caller_side(
        &mut self,
        link: LinkId,
        id: u32,
        context: Context,
        command: &Command,
    ) -> Result<CommandResult, ErrorDescriptor> {
        let context = match context {
            Context::Choose => self.text.new_context(link),
            Context::Id(context) => context,
            Context::Null | Context::All => {
                return reject(code::UNKNOWN_CONTEXT, "a call has a context of its own")
            }
        };
        if let Some(job) = self.text.jobs.get_mut(&(link, id)) {
            job.context = Context::Id(context);
        }
        Ok(CommandResult::Done(command.termination.replace('$', &context.to_string()), Vec::new()))
    }

    /// Sets up a call; the command is pending until the final answer.
    fn add(
        &mut self,
        now: Micros,
        link: LinkId,
        id: u32,
        context: Context,
        command: &Command,
        out: &mut Vec<SessionOutput>,
    ) -> Result<CommandResult, ErrorDescriptor> {
        if self.text.clients.get(&link).is_some_and(|client| client.draining) {
            return reject(code::INSUFFICIENT_RESOURCES, "the client leaves");
        }
        let context = match context {
            Context::Choose => self.text.new_context(link),
            // The context was created by an earlier command of the same action.
            Context::Id(context)
                if self.text.jobs.get(&(link, id)).is_some_and(|job| is_current_context(job, context)) =>
            {
                context
            }
            Context::Id(context) if self.text.contexts.contains_key(&(link, context)) => {
                return reject(code::INSUFFICIENT_RESOURCES, "the context has its call");
            }
            _ => return reject(code::UNKNOWN_CONTEXT, "calls are set up in a context that is chosen"),
        };
        let (offer, caller_timeout) = self
            .offer(link, context, command)
            .map_err(|fault| ErrorDescriptor::new(code::UNKNOWN_VALUE, fault.text))?;
        self.text.pending_requests.insert(offer.request, (link, id));
        if let Some(job) = self.text.jobs.get_mut(&(link, id)) {
            job.caller_deadline = job.caller_deadline.max(now.saturating_add(caller_timeout));
        }
        let call = TextCall { session: offer.session.clone(), since: now, established: false };
        self.text.contexts.insert((link, context), call);
        self.run_engine(now, Input::Offered(offer), out);
        Ok(CommandResult::Pending(context))
    }

    /// The offer for an Add, and its caller timeout in microseconds. The command is converted to a CCR, so
    /// that both protocols are classified alike.
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
        let session = format!("{};{};{context}", client.mid, self.identity);
        let ends = Endpoints {
            origin_host: &self.host,
            origin_realm: &client.realm,
            destination_realm: get("bdc/realm").unwrap_or(self.classifier.first_realm()),
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
        let attributes = self.classifier.classify(&message, &ccr)?;
        let session = Session { owner: client.mid.clone(), id: Arc::from(session) };
        let span = debug_span!("call", session = &*session.id);
        let caller_timeout = attributes.caller_timeout.saturating_sub(self.input_delay());
        let reserve = if client.exchange.is_reliable() {
            0
        } else {
            DATAGRAM_REPLY_RESERVE.min(attributes.caller_timeout / 4)
        };
        self.next_ticket += 1;
        let offer = Offer {
            session,
            request: Request { link, ticket: self.next_ticket },
            class: attributes.class,
            tenant: attributes.tenant,
            number: attributes.number,
            first_choice: attributes.first_choice,
            caller_timeout: caller_timeout.saturating_sub(reserve),
            redial: None,
            was_dropped: false,
            // Over datagrams a retransmission cannot be distinguished from the first transmission.
            retransmission: if client.exchange.is_reliable() {
                Retransmission::First
            } else {
                Retransmission::Unknown
            },
            payload: Payload {
                request: Arc::new(message),
                caller_reference: get("bdc/ref").map(Arc::from),
                span,
            },
        };
        Ok((offer, caller_timeout))
    }

    fn find_context(&self, link: LinkId, context: Context) -> Result<(u32, TextCall), ErrorDescriptor> {
        let Context::Id(id) = context else { return reject(code::UNKNOWN_CONTEXT, "one context is wanted") };
        match self.text.contexts.get(&(link, id)) {
            Some(call) => Ok((id, call.clone())),
            None => reject(code::UNKNOWN_CONTEXT, "no such context"),
        }
    }

    fn subtract(
        &mut self,
        now: Micros,
        link: LinkId,
        id: u32,
        context: Context,
        command: &Command,
        out: &mut Vec<SessionOutput>,
    ) -> Result<CommandResult, ErrorDescriptor> {
        let (context, call) = self.find_context(link, context)?;
        let all = command.termination == "*" || command.termination.eq_ignore_ascii_case("trunk/*");
        if !all && !command.termination.eq_ignore_ascii_case(&format!("trunk/{context}")) {
            if is_trunk(&command.termination) {
                return reject(code::NOT_IN_CONTEXT, "not in this context");
            }
            return Ok(CommandResult::Done(command.termination.clone(), Vec::new()));
        }
        self.next_ticket += 1;
        let request = Request { link, ticket: self.next_ticket };
        self.text.pending_requests.insert(request, (link, id));
        self.run_engine(now, Input::Released { session: call.session, request }, out);
        Ok(CommandResult::Pending(context))
    }

    fn audit(
        &mut self,
        now: Micros,
        link: LinkId,
        id: u32,
        context: Context,
        command: &Command,
    ) -> Result<CommandResult, ErrorDescriptor> {
        if context == Context::Null && command.termination.eq_ignore_ascii_case("ROOT") {
            return Ok(CommandResult::Done(command.termination.clone(), Vec::new()));
        }
        if context != Context::All {
            let (context, call) = self.find_context(link, context)?;
            return Ok(CommandResult::Done(format!("trunk/{context}"), vec![statistics(now, &call)]));
        }
        // ALL contexts: reports every call of this client in its own context.
        let all = self.text.contexts.range((link, 0)..=(link, u32::MAX));
        let all: Vec<_> = all.map(|((_, context), call)| (*context, statistics(now, call))).collect();
        let Some(((last, statistics), before)) = all.split_last() else {
            return reject(code::NO_MATCH, "nothing matches");
        };
        if let Some(job) = self.text.jobs.get_mut(&(link, id)) {
            for (context, statistics) in before {
                job.context = Context::Id(*context);
                job.push_reply(command.kind, &format!("trunk/{context}"), vec![statistics.clone()]);
                job.replies.push(ActionReply { context: Context::Null, replies: Vec::new(), error: None });
            }
            job.context = Context::Id(*last);
        }
        Ok(CommandResult::Done(format!("trunk/{last}"), vec![statistics.clone()]))
    }

    fn modify(
        &mut self,
        link: LinkId,
        context: Context,
        command: &Command,
    ) -> Result<CommandResult, ErrorDescriptor> {
        let root = command.termination.eq_ignore_ascii_case("ROOT");
        if !root {
            self.find_context(link, context)?;
        }
        for descriptor in &command.descriptors {
            if !descriptor.is("Events", "E") {
                return reject(code::UNKNOWN_DESCRIPTOR, "only events can be asked for");
            }
            for event in descriptor.items() {
                let supported = if root { "ocp/mg_overload" } else { "bdc/cut" };
                if !event.name.eq_ignore_ascii_case(supported) {
                    return reject(code::UNKNOWN_EVENT, "no such event here");
                }
            }
            let request = descriptor.text().unwrap_or("1").to_owned();
            if let Some(client) = self.text.clients.get_mut(&link).filter(|_| root) {
                // An empty list cancels the subscription.
                client.overload_request = (!descriptor.items().is_empty()).then_some(request);
            }
        }
        Ok(CommandResult::Done(command.termination.clone(), Vec::new()))
    }

    fn service_change(
        &mut self,
        now: Micros,
        link: LinkId,
        id: u32,
        command: &Command,
        out: &mut Vec<SessionOutput>,
    ) -> Result<CommandResult, ErrorDescriptor> {
        if !command.termination.eq_ignore_ascii_case("ROOT") {
            return reject(code::NOT_IMPLEMENTED, "a client registers as a whole");
        }
        let services = command.descriptors.iter().find(|item| item.is("Services", "SV"));
        let method =
            services.and_then(|services| services.find("Method", "MT")).and_then(Item::text).unwrap_or("");
        let is =
            |long: &str, short: &str| method.eq_ignore_ascii_case(long) || method.eq_ignore_ascii_case(short);
        let Some(client) = self.text.clients.get_mut(&link) else { return reject(code::INTERNAL, "gone") };
        let owner = client.mid.clone();
        let restarts = is("Restart", "RS");
        let leaves = is("Forced", "FO");
        if is("Graceful", "GR") {
            // Without a delay, its calls continue until they end (RFC 3525, section 7.2.8).
            let delay = services.and_then(|services| services.find("Delay", "DL")).and_then(Item::text);
            let delay =
                delay.and_then(|seconds| seconds.parse::<Micros>().ok()).filter(|seconds| *seconds > 0);
            client.draining = true;
            client.drain_deadline =
                delay.map(|seconds| now.saturating_add(seconds.saturating_mul(1_000_000)));
        } else if restarts || leaves {
            (client.registered, client.draining, client.drain_deadline) = (!leaves, false, None);
            client.overload_request = None;
            // Its transaction ids start over: a cached reply must not answer a new request.
            client.exchange.peer_restarted(id);
            let job = self.text.jobs.remove(&(link, id));
            self.text.discard_work(link);
            self.text.jobs.extend(job.map(|job| ((link, id), job)));
            self.run_engine(now, Input::ClientUp { link, owner, restarted: true }, out);
        } else if is("Disconnected", "DC") || is("Handoff", "HO") || is("Failover", "FL") {
            (client.registered, client.draining, client.drain_deadline) = (true, false, None);
            self.run_engine(now, Input::ClientUp { link, owner, restarted: false }, out);
        } else {
            return reject(code::UNKNOWN_VALUE, "no such method of ServiceChange");
        }
        Ok(CommandResult::Done("ROOT".into(), Vec::new()))
    }

    /// Completes a pending command with the reply of the engine.
    fn complete_command(
        &mut self,
        now: Micros,
        link: LinkId,
        id: u32,
        reply: EngineReply,
        out: &mut Vec<SessionOutput>,
    ) {
        let pending = self.text.jobs.get_mut(&(link, id)).and_then(|job| job.pending.take());
        let Some((command, context)) = pending else { return };
        let termination = format!("trunk/{context}");
        let key = (link, context);
        let mut refused = false;
        let result = match reply {
            EngineReply::Answer(Final::Established) => {
                if let Some(call) = self.text.contexts.get_mut(&key) {
                    (call.established, call.since) = (true, now);
                }
                Ok(Vec::new())
            }
            EngineReply::Answer(Final::Refused { retry_after, .. }) => {
                refused = true;
                self.text.contexts.remove(&key);
                let advice = match retry_after {
                    0 => "refused".to_owned(),
                    span => format!("refused, again after {} ms", span / 1_000),
                };
                Err(ErrorDescriptor::new(code::INSUFFICIENT_RESOURCES, advice))
            }
            EngineReply::Answer(Final::Failed) => {
                self.text.contexts.remove(&key);
                Err(ErrorDescriptor::new(code::INTERNAL, "failed"))
            }
            EngineReply::Released(ReleaseResult::Done) => {
                let call = self.text.contexts.remove(&key);
                Ok(call.map(|call| statistics(now, &call)).into_iter().collect())
            }
            EngineReply::Released(ReleaseResult::Unknown) => {
                self.text.contexts.remove(&key);
                Err(ErrorDescriptor::new(code::UNKNOWN_TERMINATION, "the call is over"))
            }
        };
        if let Some(job) = self.text.jobs.get_mut(&(link, id)) {
            match result {
                Ok(descriptors) => job.push_reply(command.kind, &termination, descriptors),
                Err(error) => job.fail(&command, error),
            }
        }
        if refused {
            if let Some(request) = self.text.overload_due(now, link) {
                self.notify(now, link, Context::Null, "ROOT", &request, "ocp/mg_overload", out);
            }
        }
    }

    fn notify_call_cut(
        &mut self,
        now: Micros,
        link: LinkId,
        session: &Session,
        out: &mut Vec<SessionOutput>,
    ) {
        let Some(context) = self.text.context_for_session(link, session) else { return };
        self.text.contexts.remove(&(link, context));
        self.notify(now, link, Context::Id(context), &format!("trunk/{context}"), "1", "bdc/cut", out);
    }

    /// Sends a Notify command with one observed event.
    #[allow(clippy::too_many_arguments)] // One for each part of a notification.
    fn notify(
        &mut self,
        now: Micros,
        link: LinkId,
        context: Context,
        termination: &str,
        request: &str,
        event: &str,
        out: &mut Vec<SessionOutput>,
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
        let mut exchange_actions = Vec::new();
        if let Some(client) = self.text.clients.get_mut(&link) {
            client.exchange.send(now, text, &mut exchange_actions);
        }
        exchange_actions.into_iter().for_each(|action| self.apply_exchange_action(now, link, action, out));
    }
}

/// Whether the current action is in this context and has completed a command, such as one that created the
/// context.
fn is_current_context(job: &Job, context: u32) -> bool {
    job.replies
        .last()
        .is_some_and(|action| action.context == Context::Id(context) && !action.replies.is_empty())
}

/// Statistics of a call: the time since it was established, in milliseconds.
fn statistics(now: Micros, call: &TextCall) -> Item {
    let ms = if call.established { now.saturating_sub(call.since) / 1_000 } else { 0 };
    Item::new("Statistics").with_group(vec![Item::new("bdc/dur").with(ms.to_string())])
}
