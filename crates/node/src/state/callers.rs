//! Callers' connections: what is offered on them, and what is said back.
//!
//! No connection owns a call that stands. A connection's open set-ups end with it, its standing calls do not.

use std::collections::BTreeSet;
use std::net::IpAddr;

use baydrift::interface::{Micros, Outcome};
use baydrift_call::{CallStatus, Input as Moment, LinkId, Offer, Request, Retransmission};
use baydrift_platform::server_list::server_id;
use baydrift_platform::setup::SetUp;
use baydrift_platform::{CallId, Cause, Message, MessageType, ParameterCode, PlatformError};
use bytes::Bytes;

use super::aged::Aged;
use super::{wire, Caller, Node, Output, Payload};

/// A connection that has brought nothing of use by then is closed: callers connect to say something, and one that
/// says nothing, half a message or only what means nothing here is owed a close within 3 s.
const USEFUL_WITHIN: Micros = 2_000_000;
/// Messages that cannot be used before a connection is closed, lest it sends on at full speed.
const FAULTS_MAX: u32 = 4;
/// Bytes of set-ups without an answer. Guards against thousands with the longest descriptions, which would not fit
/// into a small machine's memory: a usual one has some hundred bytes.
const SET_UP_BYTES_MAX: usize = 6 << 20;
/// Ends of calls that wait for a connection of their caller, and for how long: 8 s at most are allowed.
pub(super) const OWED: (usize, Micros) = (1_000, 7_000_000);

/// One caller's connection.
#[derive(Debug)]
pub(super) struct Link {
    ip: IpAddr,
    opened: Micros,
    /// Its calls in set-up.
    open: BTreeSet<CallId>,
    /// Calls that stand and were set up or named here.
    standing: usize,
    useful: bool,
    faults: u32,
    /// Part of a message has come, and no whole one since.
    amid: bool,
}

impl Link {
    /// Whether the rest of a message is on its way.
    pub(super) fn is_amid(&self) -> bool {
        self.amid
    }
}

/// Ends of calls whose caller has no connection just now.
pub(super) type Owed = Aged<(IpAddr, CallId, u8)>;

impl Node {
    pub(super) fn caller_up(&mut self, link: LinkId, ip: IpAddr, out: &mut Vec<Output>) {
        if self.links.len() >= self.links_max {
            // At the bound the oldest idle connection goes, so that callers still get in: first one that brought
            // nothing yet, then one without calls, then one whose calls stand (their ends are told elsewhere).
            let oldest = |fits: &dyn Fn(&Link) -> bool| {
                let mut idle = self.links.iter().filter(|(_, link)| link.open.is_empty() && fits(link));
                idle.next().map(|(id, _)| *id)
            };
            let spare = oldest(&|link| !link.useful).or_else(|| oldest(&|link| link.standing == 0));
            match spare.or_else(|| oldest(&|_| true)) {
                Some(old) => self.close_caller(old, out),
                None => return out.push(Output::CloseCaller(link)),
            }
        }
        let fresh = Link {
            ip,
            opened: self.now,
            open: BTreeSet::new(),
            standing: 0,
            useful: false,
            faults: 0,
            amid: false,
        };
        self.links.insert(link, fresh);
        for (_, call, cause) in self.owed.take(self.now, |(whose, ..)| *whose == ip) {
            write(out, link, &Message::release(call, cause));
        }
    }

    pub(super) fn caller_said(&mut self, link: LinkId, message: Message, out: &mut Vec<Output>) {
        let Some(own) = self.links.get_mut(&link) else { return };
        own.amid = false;
        match message.kind {
            MessageType::SetUp => {
                if let Err(fault) = self.offered(link, &message, out) {
                    tracing::debug!("set-up {}: {fault}", message.call);
                    self.unusable(link, message.call, out);
                }
            }
            MessageType::Release => self.released(link, message.call, out),
            MessageType::HealthCheck => {
                if let Some(link) = self.links.get_mut(&link) {
                    link.useful = true;
                }
                write(out, link, &Message::health_check_passed(message.call));
            }
            MessageType::Progress | MessageType::ReleaseAck => {}
            // Only a front node or a signalling server sends these.
            MessageType::Answer | MessageType::HealthCheckResult | MessageType::LoadReport => {
                self.close_caller(link, out)
            }
        }
    }

    fn offered(
        &mut self,
        link: LinkId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), PlatformError> {
        let call = message.call;
        let setup = SetUp::read(message, self.longest_wait)?;
        let wrong = |code, what| PlatformError::InvalidValue { code, what };
        if call == CallId::default() {
            return Err(wrong(0, "no id"));
        }
        let class = self.site.classes.iter().position(|name| *name == setup.class);
        let class = class.ok_or(wrong(ParameterCode::CLASS, "unknown class"))?;
        let tenant = match &setup.tenant {
            Some(name) => self.site.tenants.iter().position(|own| own == name),
            None => self.site.tenants.is_empty().then_some(0),
        };
        let tenant = tenant.ok_or(wrong(ParameterCode::TENANT, "unknown tenant"))?;
        let session = self.session(call);
        if let Some(at) = &setup.current_server {
            let known = self.engine.call_status(&session);
            if known == Some(CallStatus::Established) || known.is_none() {
                self.stands_already(link, call);
            }
            let server = server_id(at);
            let over = self.servers.take_unnamed(self.now, server, call);
            match (known, over) {
                (None, Some(outcome)) => self.call_over(call, outcome, out),
                (None, None) => self.engine(Moment::Adopted { session, class, server }, out),
                _ => {}
            }
            return Ok(());
        }
        if setup.width < 1.0 || self.site.circuits_by_class.get(class).is_some_and(|most| setup.width > *most)
        {
            return Err(wrong(ParameterCode::ATTRIBUTES, "width out of range"));
        }
        match self.engine.call_status(&session) {
            // Guards against an answer that two set-ups could claim: on one connection nobody can tell them apart.
            Some(CallStatus::InSetUp) if self.calls.get(&call).is_some_and(|own| own.link == link) => {
                self.close_caller(link, out);
                return Ok(());
            }
            Some(_) => return Err(wrong(0, "the id is in use or was used")),
            None => {}
        }
        if let Some(link) = self.links.get_mut(&link) {
            link.useful = true;
            link.open.insert(call);
        }
        let ip = self.links.get(&link).map(|link| link.ip);
        let bytes = setup.description.len() + setup.class.len();
        self.set_up_bytes += bytes;
        self.calls.insert(call, Caller { link, ip, stands: false, bytes });
        if self.set_up_bytes > SET_UP_BYTES_MAX {
            self.tell_refused(call, true, out);
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
            // Each set-up has an id of its own, also a caller's second one.
            retransmission: Retransmission::First,
            payload,
        };
        self.engine(Moment::Offered(offer), out);
        Ok(())
    }

    /// A set-up that nothing can be done with.
    fn unusable(&mut self, link: LinkId, call: CallId, out: &mut Vec<Output>) {
        self.counts.unusable += 1;
        write(out, link, &Message::release(call, Cause::INVALID));
        let Some(own) = self.links.get_mut(&link) else { return };
        own.faults += 1;
        if own.faults >= FAULTS_MAX {
            self.close_caller(link, out);
        }
    }

    /// A caller names a call that stands: its end is told here from now on.
    fn stands_already(&mut self, link: LinkId, call: CallId) {
        self.leave(call);
        let Some(own) = self.links.get_mut(&link) else { return };
        own.useful = true;
        own.standing += 1;
        self.calls.insert(call, Caller { link, ip: Some(own.ip), stands: true, bytes: 0 });
    }

    /// A caller gives a set-up up, or releases a call that stands.
    fn released(&mut self, link: LinkId, call: CallId, out: &mut Vec<Output>) {
        let Some(caller) = self.calls.get(&call).copied() else { return };
        tracing::trace!("{call}: released by its caller, standing {}", caller.stands);
        if let Some(own) = self.links.get_mut(&link) {
            own.useful |= caller.stands;
        }
        // Forgotten before the engine hears of it: no answer is owed any more.
        self.leave(call);
        let (session, request) = (self.session(call), Request { link, ticket: 0 });
        self.engine(Moment::Released { session, request }, out);
    }

    /// A set-up that was taken back before it was looked at: no answer is owed, but its connection was of use.
    pub(super) fn withdrawn(&mut self, link: LinkId) {
        if let Some(own) = self.links.get_mut(&link) {
            (own.useful, own.amid) = (true, false);
        }
    }

    /// Part of a message has come.
    pub(super) fn caller_part(&mut self, link: LinkId) {
        if let Some(own) = self.links.get_mut(&link) {
            own.amid = true;
        }
    }

    pub(super) fn caller_down(&mut self, link: LinkId, out: &mut Vec<Output>) {
        let Some(own) = self.links.remove(&link) else { return };
        tracing::trace!("link {} down: {} open, {} stand", link.0, own.open.len(), own.standing);
        for call in own.open {
            self.leave(call);
            let (session, request) = (self.session(call), Request { link, ticket: 0 });
            self.engine(Moment::Released { session, request }, out);
        }
    }

    fn close_caller(&mut self, link: LinkId, out: &mut Vec<Output>) {
        self.counts.closed += 1;
        out.push(Output::CloseCaller(link));
        self.caller_down(link, out);
    }

    pub(super) fn tell_stands(&mut self, call: CallId, description: Bytes, out: &mut Vec<Output>) {
        let Some(caller) = self.calls.get_mut(&call) else { return };
        caller.stands = true;
        self.set_up_bytes -= std::mem::take(&mut caller.bytes);
        let link = caller.link;
        if let Some(own) = self.links.get_mut(&link) {
            own.open.remove(&call);
            own.standing += 1;
        }
        write(
            out,
            link,
            &Message::new(MessageType::Answer, call).with(ParameterCode::DESCRIPTION, description),
        );
    }

    pub(super) fn tell_refused(&mut self, call: CallId, harmless: bool, out: &mut Vec<Output>) {
        let Some(caller) = self.leave(call) else { return };
        let cause = if harmless { Cause::NO_CIRCUIT } else { Cause::TEMPORARY };
        write(out, caller.link, &Message::release(call, cause));
    }

    /// A call that stood is over: its caller hears it on the connection of its set-up, or else on the newest one
    /// from the same address, or on the next.
    pub(super) fn call_over(&mut self, call: CallId, outcome: Outcome, out: &mut Vec<Output>) {
        let Some(caller) = self.leave(call) else {
            return tracing::trace!("{call}: over, and nobody to tell");
        };
        let cause = if outcome == Outcome::Ok { Cause::NORMAL } else { Cause::TEMPORARY };
        let near = |link: &Link| Some(link.ip) == caller.ip;
        let own = self.links.contains_key(&caller.link).then_some(caller.link);
        let link = own.or_else(|| self.links.iter().rev().find(|(_, l)| near(l)).map(|(id, _)| *id));
        tracing::trace!("{call}: {outcome:?} told, own link {} now {link:?}", caller.link.0);
        match (link, caller.ip) {
            (Some(link), _) => write(out, link, &Message::release(call, cause)),
            (None, Some(ip)) => self.owed.put(self.now, (ip, call, cause)),
            (None, None) => {}
        }
    }

    /// Forgets where a call's caller is.
    fn leave(&mut self, call: CallId) -> Option<Caller> {
        let caller = self.calls.remove(&call)?;
        self.set_up_bytes -= caller.bytes;
        if let Some(link) = self.links.get_mut(&caller.link) {
            link.open.remove(&call);
            link.standing -= usize::from(caller.stands && link.standing > 0);
        }
        Some(caller)
    }

    pub(super) fn look_at_callers(&mut self, out: &mut Vec<Output>) {
        let late = |link: &Link| !link.useful && self.now >= link.opened + USEFUL_WITHIN;
        let late: Vec<_> = self.links.iter().filter(|(_, link)| late(link)).map(|(id, _)| *id).collect();
        for link in late {
            self.close_caller(link, out);
        }
    }
}

fn write(out: &mut Vec<Output>, link: LinkId, message: &Message) {
    out.extend(wire(message).map(|bytes| Output::ToCaller(link, bytes)));
}
