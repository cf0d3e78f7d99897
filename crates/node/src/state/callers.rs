//! Callers' connections: the set-ups and releases received on them, and the replies.
//!
//! A connection's unanswered set-ups end with it. Established calls belong to no connection and outlive it.

use std::collections::BTreeSet;
use std::net::IpAddr;

use baydrift::interface::{Micros, Outcome, ServerId};
use baydrift_call::{CallStatus, Input as EngineInput, LinkId, Offer, Request, Retransmission};
use baydrift_platform::server_list::server_id;
use baydrift_platform::setup::SetUp;
use baydrift_platform::{CallId, Cause, Message, MessageType, ParameterCode, PlatformError};
use bytes::Bytes;

use super::expiring::ExpiringQueue;
use super::{wire, Caller, Node, Output, Payload};

/// Time within which a new connection must bring a useful message. One that sends nothing, an incomplete
/// message or only irrelevant messages must be closed within 3 s.
const FIRST_USE_TIMEOUT: Micros = 2_000_000;
/// Number of invalid set-ups after which a connection is closed, so that it
/// does not go on sending at full speed.
const UNUSABLE_SET_UPS_MAX: usize = 4;
/// Maximum memory of unanswered set-ups, in bytes. Guards against thousands with descriptions of maximum
/// length, which would exhaust a small machine's memory; a usual set-up has a few hundred bytes.
const SET_UP_BYTES_MAX: usize = 6 << 20;
/// Maximum number of established calls that one connection has announced.
const ANNOUNCED_PER_LINK_MAX: usize = 1_000;
/// Maximum number of call ends that wait for a connection of their caller.
pub(super) const UNDELIVERED_ENDS_MAX: usize = 1_000;
/// How long a call end waits for a connection of its caller, which must be notified within 8 s.
pub(super) const UNDELIVERED_ENDS_TTL: Micros = 7_000_000;

/// One caller's connection.
#[derive(Debug)]
pub(super) struct Link {
    ip: IpAddr,
    opened_at: Micros,
    /// Calls in set-up on this connection.
    in_set_up: BTreeSet<CallId>,
    /// Number of established calls that were set up or announced on this connection.
    established: usize,
    /// Number of those that were announced.
    announced: usize,
    /// It has brought a useful message.
    useful: bool,
    /// Calls whose set-ups on this connection were refused as invalid.
    invalid_set_ups: Vec<CallId>,
    /// The last data received was an incomplete message.
    partial: bool,
}

impl Link {
    /// Whether the rest of a message is still expected.
    pub(super) fn has_partial_message(&self) -> bool {
        self.partial
    }
}

/// Ends of calls whose caller has no connection at present: the caller's address, the call and the cause.
pub(super) type UndeliveredEnds = ExpiringQueue<(IpAddr, CallId, u8)>;

impl Node {
    pub(super) fn caller_up(&mut self, link: LinkId, ip: IpAddr, out: &mut Vec<Output>) {
        if self.links.len() >= self.links_max {
            // At the limit the oldest idle connection is closed, so that new callers are still accepted:
            // preferably one without a useful message so far, then one without calls, then one with
            // established calls only, whose ends can be delivered on another connection.
            let oldest = |fits: &dyn Fn(&Link) -> bool| {
                let mut idle = self.links.iter().filter(|(_, link)| link.in_set_up.is_empty() && fits(link));
                idle.next().map(|(id, _)| *id)
            };
            let victim = oldest(&|link| !link.useful).or_else(|| oldest(&|link| link.established == 0));
            match victim.or_else(|| oldest(&|_| true)) {
                Some(old) => self.close_caller(old, out),
                None => return out.push(Output::CloseCaller(link)),
            }
        }
        let new_link = Link {
            ip,
            opened_at: self.now,
            in_set_up: BTreeSet::new(),
            established: 0,
            announced: 0,
            useful: false,
            invalid_set_ups: Vec::new(),
            partial: false,
        };
        self.links.insert(link, new_link);
        for (_, call, cause) in self.undelivered_ends.take_matching(self.now, |(whose, ..)| *whose == ip) {
            write(out, link, &Message::release(call, cause));
        }
    }

    pub(super) fn handle_caller_message(&mut self, link: LinkId, message: Message, out: &mut Vec<Output>) {
        let Some(own) = self.links.get_mut(&link) else { return };
        own.partial = false;
        match message.kind {
            MessageType::SetUp => {
                if let Err(fault) = self.handle_set_up(link, &message, out) {
                    tracing::debug!("set-up {}: {fault}", message.call);
                    self.refuse_unusable(link, message.call, out);
                }
            }
            MessageType::Release => self.handle_caller_release(link, message.call, out),
            MessageType::HealthCheck => {
                if let Some(link) = self.links.get_mut(&link) {
                    link.useful = true;
                }
                write(out, link, &Message::health_check_passed(message.call));
            }
            MessageType::Progress | MessageType::ReleaseAck => {}
            // Sent only by front nodes and signalling servers.
            MessageType::Answer | MessageType::HealthCheckResult | MessageType::LoadReport => {
                self.close_caller(link, out)
            }
        }
    }

    fn handle_set_up(
        &mut self,
        link: LinkId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), PlatformError> {
        let call = message.call;
        let setup = SetUp::read(message, self.longest_wait)?;
        let invalid = |code, what| PlatformError::InvalidValue { code, what };
        if call == CallId::default() {
            return Err(invalid(0, "the call id is all zeros"));
        }
        let class = self.site.classes.iter().position(|name| *name == setup.class);
        let class = class.ok_or(invalid(ParameterCode::CLASS, "unknown class"))?;
        let tenant = match &setup.tenant {
            Some(name) => self.site.tenants.iter().position(|own| own == name),
            None => self.site.tenants.is_empty().then_some(0),
        };
        let tenant = tenant.ok_or(invalid(ParameterCode::TENANT, "unknown tenant"))?;
        let session = self.session(call);
        if let Some(at) = &setup.current_server {
            self.handle_announcement(link, call, class, server_id(at), out);
            return Ok(());
        }
        if setup.width < 1.0 || self.site.circuits_by_class.get(class).is_some_and(|most| setup.width > *most)
        {
            return Err(invalid(ParameterCode::ATTRIBUTES, "width out of range"));
        }
        match self.engine.call_status(&session) {
            // Guards against two set-ups with one id on one connection, whose
            // answers could not be told apart.
            Some(CallStatus::InSetUp) if self.calls.get(&call).is_some_and(|own| own.link == link) => {
                self.close_caller(link, out);
                return Ok(());
            }
            Some(_) => return Err(invalid(0, "the call id is in use or was used")),
            None => {}
        }
        if let Some(link) = self.links.get_mut(&link) {
            link.useful = true;
            link.in_set_up.insert(call);
        }
        let ip = self.links.get(&link).map(|link| link.ip);
        let bytes = message.memory_size();
        self.set_up_bytes += bytes;
        self.calls.insert(call, Caller { link, ip, established: false, announced: false, bytes });
        if self.set_up_bytes > SET_UP_BYTES_MAX {
            self.send_refusal(call, true, out);
            return Ok(());
        }
        let payload = Payload {
            class: Bytes::from(setup.class),
            number: setup.number.0,
            description: setup.description,
        };
        let offer = Offer {
            session,
            request: Request { link, ticket: 0 },
            class,
            tenant,
            number: setup.number.1,
            first_choice: setup.destination,
            caller_timeout: setup.caller_timeout,
            redial: self.site.marks_redials.then_some(setup.redial),
            was_dropped: setup.was_dropped,
            // Each set-up has its own id, including a caller's repeated one.
            retransmission: Retransmission::First,
            payload,
        };
        self.apply_to_engine(EngineInput::Offered(offer), out);
        Ok(())
    }

    /// Refuses an invalid set-up, and closes the connection after [`UNUSABLE_SET_UPS_MAX`] of them.
    fn refuse_unusable(&mut self, link: LinkId, call: CallId, out: &mut Vec<Output>) {
        self.counts.unusable += 1;
        write(out, link, &Message::release(call, Cause::INVALID));
        let Some(own) = self.links.get_mut(&link) else { return };
        own.invalid_set_ups.push(call);
        if own.invalid_set_ups.len() >= UNUSABLE_SET_UPS_MAX {
            self.close_caller(link, out);
        }
    }

    /// Handles a caller's announcement of a call that is established at a server. Beyond the limits it is over for
    /// its caller, so that calls which no server knows leave room for others.
    fn handle_announcement(
        &mut self,
        link: LinkId,
        call: CallId,
        class: usize,
        server: ServerId,
        out: &mut Vec<Output>,
    ) {
        let session = self.session(call);
        let known = self.engine.call_status(&session);
        if known.is_none() && !self.accepts_announcement(link, server) {
            return write(out, link, &Message::release(call, Cause::TEMPORARY));
        }
        if known == Some(CallStatus::Established) || known.is_none() {
            self.bind_established(link, call);
        }
        let ended = self.servers.take_unclaimed_end(self.now, server, call);
        match (known, ended) {
            (None, Some(outcome)) => self.call_ended(call, outcome, out),
            (None, None) => self.apply_to_engine(EngineInput::Adopted { session, class, server }, out),
            _ => {}
        }
    }

    /// Whether another call at this server may be announced on this connection.
    fn accepts_announcement(&self, link: LinkId, server: ServerId) -> bool {
        let on_link = self.links.get(&link).map_or(0, |link| link.announced);
        on_link < ANNOUNCED_PER_LINK_MAX && self.servers.has_room_for(server)
    }

    /// Binds an established call to the connection that announced it: its end is sent there from now on.
    fn bind_established(&mut self, link: LinkId, call: CallId) {
        self.forget_call(call);
        let Some(own) = self.links.get_mut(&link) else { return };
        own.useful = true;
        own.established += 1;
        own.announced += 1;
        let caller = Caller { link, ip: Some(own.ip), established: true, announced: true, bytes: 0 };
        self.calls.insert(call, caller);
    }

    /// Whether a release on this connection is about the call of that id: an established one may be released on any
    /// connection, but a set-up belongs to its own, and so does one that was refused. Guards against a client that
    /// uses the id of another caller's call, and cancels its own.
    fn may_release(&self, link: LinkId, call: CallId, caller: &Caller) -> bool {
        let was_refused_here =
            || self.links.get(&link).is_some_and(|link| link.invalid_set_ups.contains(&call));
        caller.link == link || caller.established && !was_refused_here()
    }

    /// Handles a caller's release, which cancels a set-up or ends an established call.
    fn handle_caller_release(&mut self, link: LinkId, call: CallId, out: &mut Vec<Output>) {
        let Some(caller) = self.calls.get(&call).copied() else { return };
        if !self.may_release(link, call, &caller) {
            return tracing::debug!("{call}: release on link {} ignored, not its caller's", link.0);
        }
        tracing::trace!("{call}: released by its caller, established {}", caller.established);
        if let Some(own) = self.links.get_mut(&link) {
            own.useful |= caller.established;
        }
        // Removed before the engine is notified: no answer is to be sent any more.
        self.forget_call(call);
        let (session, request) = (self.session(call), Request { link, ticket: 0 });
        self.apply_to_engine(EngineInput::Released { session, request }, out);
    }

    /// Handles a set-up that was withdrawn before it was processed: it needs no answer, but it counts as a
    /// useful message of its connection.
    pub(super) fn withdrawn(&mut self, link: LinkId) {
        if let Some(own) = self.links.get_mut(&link) {
            (own.useful, own.partial) = (true, false);
        }
    }

    /// Records that an incomplete message was received.
    pub(super) fn caller_partial(&mut self, link: LinkId) {
        if let Some(own) = self.links.get_mut(&link) {
            own.partial = true;
        }
    }

    pub(super) fn caller_down(&mut self, link: LinkId, out: &mut Vec<Output>) {
        let Some(own) = self.links.remove(&link) else { return };
        tracing::trace!(
            "link {} down: {} in set-up, {} established",
            link.0,
            own.in_set_up.len(),
            own.established
        );
        for call in own.in_set_up {
            self.forget_call(call);
            let (session, request) = (self.session(call), Request { link, ticket: 0 });
            self.apply_to_engine(EngineInput::Released { session, request }, out);
        }
    }

    fn close_caller(&mut self, link: LinkId, out: &mut Vec<Output>) {
        self.counts.closed += 1;
        out.push(Output::CloseCaller(link));
        self.caller_down(link, out);
    }

    pub(super) fn send_answer(&mut self, call: CallId, description: Bytes, out: &mut Vec<Output>) {
        let Some(caller) = self.calls.get_mut(&call) else { return };
        caller.established = true;
        self.set_up_bytes -= std::mem::take(&mut caller.bytes);
        let link = caller.link;
        if let Some(own) = self.links.get_mut(&link) {
            own.in_set_up.remove(&call);
            own.established += 1;
        }
        write(
            out,
            link,
            &Message::new(MessageType::Answer, call).with(ParameterCode::DESCRIPTION, description),
        );
    }

    pub(super) fn send_refusal(&mut self, call: CallId, retry_is_safe: bool, out: &mut Vec<Output>) {
        let Some(caller) = self.forget_call(call) else { return };
        let cause = if retry_is_safe { Cause::NO_CIRCUIT } else { Cause::TEMPORARY };
        write(out, caller.link, &Message::release(call, cause));
    }

    /// Sends the end of an established call to its caller: on the connection that the call was set up or
    /// announced on, else on the newest one from the same address, else on the next one.
    pub(super) fn call_ended(&mut self, call: CallId, outcome: Outcome, out: &mut Vec<Output>) {
        let Some(caller) = self.forget_call(call) else {
            return tracing::trace!("{call}: ended, caller unknown");
        };
        let cause = if outcome == Outcome::Ok { Cause::NORMAL } else { Cause::TEMPORARY };
        let same_ip = |link: &Link| Some(link.ip) == caller.ip;
        let own = self.links.contains_key(&caller.link).then_some(caller.link);
        let link = own.or_else(|| self.links.iter().rev().find(|(_, l)| same_ip(l)).map(|(id, _)| *id));
        tracing::trace!("{call}: ended with {outcome:?}, own link {}, sent on {link:?}", caller.link.0);
        match (link, caller.ip) {
            (Some(link), _) => write(out, link, &Message::release(call, cause)),
            (None, Some(ip)) => self.undelivered_ends.push(self.now, (ip, call, cause)),
            (None, None) => {}
        }
    }

    /// Removes a call from the tables.
    fn forget_call(&mut self, call: CallId) -> Option<Caller> {
        let caller = self.calls.remove(&call)?;
        self.set_up_bytes -= caller.bytes;
        if let Some(link) = self.links.get_mut(&caller.link) {
            link.in_set_up.remove(&call);
            link.established -= usize::from(caller.established && link.established > 0);
            link.announced -= usize::from(caller.announced && link.announced > 0);
        }
        Some(caller)
    }

    pub(super) fn check_callers(&mut self, out: &mut Vec<Output>) {
        let is_unused = |link: &Link| !link.useful && self.now >= link.opened_at + FIRST_USE_TIMEOUT;
        let unused: Vec<_> =
            self.links.iter().filter(|(_, link)| is_unused(link)).map(|(id, _)| *id).collect();
        for link in unused {
            self.close_caller(link, out);
        }
    }
}

fn write(out: &mut Vec<Output>, link: LinkId, message: &Message) {
    out.extend(wire(message).map(|bytes| Output::ToCaller(link, bytes)));
}
