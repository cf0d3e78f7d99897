//! Calls over trunk groups: set-ups that seize circuits, and calls that far ends offer by seizing circuits.
//!
//! [`TrunkSide`] owns the [`SignallingPoint`] and the state of its calls. It turns circuit events into
//! [`TrunkEvent`]s, which the session layer passes to the engine. It makes no decisions:
//! [`baydrift_trunk::route`] selects the group, interprets how a call ended and builds reports; the engine
//! decides everything else.
//!
//! State is bounded by the number of circuits: each call holds one, and an attempt is kept only while it
//! holds one.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use baydrift::interface::{Micros, Report, ServerId};
use baydrift_call::{AttemptEnd, AttemptId, LinkId, Request};
use baydrift_config::{Config, Incoming};
use baydrift_isup::Data;
use baydrift_signalling::SignallingPoint;
use baydrift_trunk::route::{cause, far_end_report, may_try_next_group, next_group, outcome_of};
use baydrift_trunk::rules::RouteChoice;
use baydrift_trunk::{
    AuditSettings, CallKey, End, GroupId, GroupView, Maintenance, Output, Processing, Setup, TimerSettings,
    Trunks, Usage,
};
use tracing::{debug, warn};

/// First link id of far ends; keeps them distinct from the links of other clients.
const FAR_END_LINK_BASE: u64 = 1 << 48;

/// An event on a circuit, for the engine.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum TrunkEvent {
    /// A set-up was answered.
    Established(AttemptId, Report),
    /// A set-up ended unanswered.
    Ended(AttemptId, AttemptEnd),
    /// An established call ended.
    Cut(AttemptId, Report),
    /// The far end has released an attempt.
    Released(AttemptId, Report),
    /// A far end offers a call.
    Incoming(Box<IncomingCall>),
    /// A far end cleared a call that it had offered: the call, the index of the far end, and the request.
    Cleared(CallKey, usize, Request),
}

/// A call that a far end offers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct IncomingCall {
    pub(crate) call: CallKey,
    pub(crate) request: Request,
    /// Index of the far end.
    pub(crate) far_end: usize,
    /// Called digits, as text.
    pub(crate) number: String,
    /// The far end's reference for the call, if it sent one.
    pub(crate) reference: Option<Arc<str>>,
    /// Class and publisher of calls from this far end.
    pub(crate) config: Incoming,
}

#[derive(Debug)]
struct FarEnd {
    host: Arc<str>,
    number: ServerId,
    point: u32,
    groups: Vec<GroupId>,
    incoming: Option<Incoming>,
}

/// A set-up that holds or seeks a circuit.
#[derive(Debug)]
struct Attempt {
    far: usize,
    setup: Setup,
    choice: RouteChoice,
    tried: Vec<GroupId>,
    established: bool,
}

/// A trunk group, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TrunkGroupView {
    /// Host name of its far end.
    pub far_end: Arc<str>,
    /// Point code of its far end.
    pub point: u32,
    /// Its configured name.
    pub name: String,
    /// Its index among all groups.
    pub id: GroupId,
    /// Its current state.
    pub view: GroupView,
}

/// The trunk part of the session layer.
#[derive(Debug)]
pub(crate) struct TrunkSide {
    signalling_point: SignallingPoint,
    far_ends: Vec<FarEnd>,
    /// Index of the far end of each group.
    group_far_ends: Vec<usize>,
    names: Vec<String>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Releases that the far end has not completed, by far end, group and circuit.
    releasing: BTreeMap<(usize, GroupId, u16), AttemptId>,
    /// Incoming calls, with the index of their far end.
    incoming: BTreeMap<CallKey, usize>,
    last_clear_ticket: u64,
    buffers: (Vec<Data>, Vec<Output>),
    pub(crate) packets: Vec<Data>,
    pub(crate) events: VecDeque<TrunkEvent>,
}

/// Builds the signalling point from the configuration; without valid trunk groups it has none.
fn build_signalling_point(config: &Config) -> SignallingPoint {
    let own = config.point.unwrap_or(0);
    let groups =
        || config.far_ends.iter().flat_map(|far| far.groups.iter().map(move |group| (far.point, group)));
    let specs: Vec<_> = groups().map(|(_, group)| group.spec.clone()).collect();
    let places =
        groups().map(|(point, g)| (point, g.spec.first..g.spec.first.saturating_add(g.spec.circuits)));
    let (timers, audit) = (TimerSettings::default(), AuditSettings::default());
    // The configuration check already rejects whatever would fail here.
    match Trunks::new(specs, timers, audit) {
        Ok(trunks) => SignallingPoint::new(own, places.collect(), trunks),
        Err((place, error)) => {
            warn!(place, %error, "trunk groups are out of use");
            let none = Trunks::new(Vec::new(), timers, audit)
                .unwrap_or_else(|_| unreachable!("an empty list of groups is valid"));
            SignallingPoint::new(own, Vec::new(), none)
        }
    }
}

impl TrunkSide {
    pub(crate) fn new(config: &Config) -> Self {
        let (mut far_ends, mut group_far_ends) = (Vec::new(), Vec::new());
        for far in &config.far_ends {
            let first = group_far_ends.len() as u16;
            group_far_ends.extend(far.groups.iter().map(|_| far_ends.len()));
            far_ends.push(FarEnd {
                host: Arc::from(far.host.as_str()),
                number: u64::from(far.number),
                point: far.point,
                groups: (first..group_far_ends.len() as u16).map(GroupId).collect(),
                incoming: far.incoming,
            });
        }
        let names = config.far_ends.iter().flat_map(|far| far.groups.iter().map(|group| group.name.clone()));
        let mut side = Self {
            names: names.collect(),
            signalling_point: build_signalling_point(config),
            far_ends,
            group_far_ends,
            attempts: BTreeMap::new(),
            releasing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            last_clear_ticket: 0,
            buffers: Default::default(),
            packets: Vec::new(),
            events: VecDeque::new(),
        };
        // Links come up later; until then no circuit is seized. The resets clear circuits that far ends still
        // hold for an earlier process.
        for place in 0..side.far_ends.len() {
            let point = side.far_ends[place].point;
            side.signalling_point.set_reachable(0, point, false, &mut side.buffers);
            for group in side.far_ends[place].groups.clone() {
                side.signalling_point.reset(0, group, &mut side.buffers);
            }
        }
        side.buffers = Default::default();
        side
    }

    pub(crate) fn signalling_point(&self) -> &SignallingPoint {
        &self.signalling_point
    }

    /// All trunk groups, with their names and those of their far ends.
    pub(crate) fn groups(&self) -> Vec<TrunkGroupView> {
        let group = |(place, name): (usize, &String)| {
            let (id, far) = (GroupId(place as u16), self.far_ends.get(*self.group_far_ends.get(place)?)?);
            let view = self.signalling_point.trunks().group_view(id)?;
            Some(TrunkGroupView { far_end: far.host.clone(), point: far.point, name: name.clone(), id, view })
        };
        self.names.iter().enumerate().filter_map(group).collect()
    }

    /// The links that represent far ends at the engine, with their host names.
    pub(crate) fn links(&self) -> impl Iterator<Item = (LinkId, Arc<str>)> + '_ {
        self.far_ends.iter().enumerate().map(|(place, far)| (far_end_link(place), far.host.clone()))
    }

    fn far_end_index(&self, server: ServerId) -> Option<usize> {
        self.far_ends.iter().position(|far| far.number == server)
    }

    pub(crate) fn is_far_end(&self, server: ServerId) -> bool {
        self.far_end_index(server).is_some()
    }

    /// The server with a point code.
    pub(crate) fn server_at(&self, point: u32) -> Option<ServerId> {
        self.far_ends.iter().find(|far| far.point == point).map(|far| far.number)
    }

    /// The incoming call of a link, by a session id that ends with the call key.
    pub(crate) fn call_for_session(&self, link: LinkId, session: &str) -> Option<CallKey> {
        let call = CallKey(session.rsplit(';').next()?.parse().ok()?);
        self.incoming.get(&call).filter(|far| far_end_link(**far) == link).map(|_| call)
    }

    fn usages(&self, far: usize) -> Vec<(GroupId, Usage)> {
        let groups = self.far_ends.get(far).into_iter().flat_map(|far| &far.groups);
        groups.filter_map(|group| Some((*group, self.signalling_point.trunks().usage(*group)?))).collect()
    }

    fn report(&self, far: usize) -> Report {
        far_end_report(&self.usages(far))
    }

    // --- requests of the engine ---

    /// Seizes a circuit for a set-up.
    pub(crate) fn set_up(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        server: ServerId,
        setup: Setup,
        choice: RouteChoice,
    ) {
        let Some(far) = self.far_end_index(server) else { return };
        self.attempts.insert(attempt, Attempt { far, setup, choice, tried: Vec::new(), established: false });
        self.try_next(now, attempt, End::NoCircuit);
    }

    /// Tries the next group; when none is left, the attempt ends with the end on the last group.
    fn try_next(&mut self, now: Micros, id: AttemptId, last: End) {
        let Some(far) = self.attempts.get(&id).map(|attempt| attempt.far) else { return };
        let usages = self.usages(far);
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        match next_group(&usages, &attempt.tried) {
            Some(group) => {
                attempt.tried.push(group);
                let (setup, choice) = (attempt.setup.clone(), attempt.choice);
                self.signalling_point.seize(now, CallKey(id.0), group, setup, choice, &mut self.buffers);
                self.process_outputs(now);
            }
            None => self.end_attempt(id, last),
        }
    }

    fn end_attempt(&mut self, id: AttemptId, end: End) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        let (far, report) = (attempt.far, self.report(attempt.far));
        let (outcome, note) = outcome_of(end);
        debug!(attempt = id.0, far = &*self.far_ends[far].host, ?end, "trunk call ended");
        self.events.push_back(if attempt.established {
            TrunkEvent::Cut(id, report)
        } else {
            TrunkEvent::Ended(id, AttemptEnd { outcome, note, report })
        });
    }

    /// Releases an attempt. The release completes once the circuit is free: until the RLC the far end may
    /// still hold the call.
    pub(crate) fn release(&mut self, now: Micros, id: AttemptId, server: ServerId) {
        let Some(far) = self.far_end_index(server) else { return };
        self.attempts.remove(&id);
        match self.signalling_point.trunks().circuit_of(CallKey(id.0)) {
            Some((group, cic)) => {
                self.releasing.insert((far, group, cic), id);
                self.signalling_point.release(now, CallKey(id.0), cause::NORMAL_CLEARING, &mut self.buffers);
                self.process_outputs(now);
            }
            None => self.events.push_back(TrunkEvent::Released(id, self.report(far))),
        }
    }

    /// Sends the final answer to an incoming call; `cause` is `None` when it is established.
    pub(crate) fn answer(&mut self, now: Micros, call: CallKey, cause: Option<u8>) {
        match cause {
            None => self.signalling_point.answer(call, &mut self.buffers),
            Some(cause) => self.drop_incoming(now, call, cause),
        }
        self.process_outputs(now);
    }

    /// Releases an established incoming call that was cut.
    pub(crate) fn cut(&mut self, now: Micros, call: CallKey) {
        self.drop_incoming(now, call, cause::TEMPORARY_FAILURE);
        self.process_outputs(now);
    }

    fn drop_incoming(&mut self, now: Micros, call: CallKey, cause: u8) {
        self.incoming.remove(&call);
        self.signalling_point.release(now, call, cause, &mut self.buffers);
    }

    /// The incoming call that a request belongs to.
    pub(crate) fn call_for_request(&self, request: Request) -> Option<CallKey> {
        let call = CallKey(request.ticket);
        self.incoming.get(&call).filter(|far| far_end_link(**far) == request.link).map(|_| call)
    }

    // --- the far ends ---

    /// Handles a packet; returns whether it was valid.
    pub(crate) fn handle_packet(&mut self, now: Micros, data: &Data) -> bool {
        let result = self.signalling_point.handle_packet(now, data, &mut self.buffers);
        if let Err(error) = &result {
            debug!(from = data.opc, %error, "packet rejected");
        }
        self.process_outputs(now);
        self.collect_releases(data.opc);
        result.is_ok()
    }

    /// Set-ups that hold or seek a circuit.
    pub(crate) fn attempts(&self) -> Vec<(AttemptId, ServerId)> {
        self.attempts.iter().map(|(id, attempt)| (*id, self.far_ends[attempt.far].number)).collect()
    }

    pub(crate) fn set_reachable(&mut self, now: Micros, point: u32, reachable: bool) {
        self.signalling_point.set_reachable(now, point, reachable, &mut self.buffers);
        self.process_outputs(now);
    }

    pub(crate) fn next_wake(&self) -> Option<Micros> {
        self.signalling_point.next_wake().filter(|_| !self.far_ends.is_empty())
    }

    pub(crate) fn tick(&mut self, now: Micros) {
        self.signalling_point.tick(now, &mut self.buffers);
        self.process_outputs(now);
    }

    /// Processes the outputs of the signalling point until none are left.
    fn process_outputs(&mut self, now: Micros) {
        loop {
            let (packets, outputs) = std::mem::take(&mut self.buffers);
            self.packets.extend(packets);
            if outputs.is_empty() {
                break;
            }
            outputs.into_iter().for_each(|output| self.handle_output(now, output));
        }
    }

    /// Reports the releases that the far end with this point code has completed.
    fn collect_releases(&mut self, point: u32) {
        let Some(far) = self.far_ends.iter().position(|far| far.point == point) else { return };
        let trunks = self.signalling_point.trunks();
        let processing = |group, cic| trunks.view(group, cic).map(|view| view.state.processing);
        let keys = (far, GroupId(0), 0)..=(far, GroupId(u16::MAX), u16::MAX);
        let completed = self.releasing.range(keys);
        let completed =
            completed.filter(|((_, group, cic), _)| processing(*group, *cic) != Some(Processing::Transient));
        let completed: Vec<_> = completed.map(|(key, _)| *key).collect();
        for key in completed {
            if let Some(id) = self.releasing.remove(&key) {
                self.events.push_back(TrunkEvent::Released(id, self.report(far)));
            }
        }
    }

    fn handle_output(&mut self, now: Micros, output: Output) {
        match output {
            Output::Send { .. } | Output::Accepted(_) => {}
            Output::Answered(call) => {
                let id = AttemptId(call.0);
                let Some(attempt) = self.attempts.get_mut(&id) else { return };
                attempt.established = true;
                let far = attempt.far;
                self.events.push_back(TrunkEvent::Established(id, self.report(far)));
            }
            Output::Ended(call, _) if call.is_incoming() => self.incoming_cleared(call),
            Output::Ended(call, end) if may_try_next_group(end) => self.try_next(now, AttemptId(call.0), end),
            Output::Ended(call, end) => self.end_attempt(AttemptId(call.0), end),
            Output::Incoming { call, group, setup } => self.incoming_seizure(now, call, group, &setup),
            Output::Report { group, cic, what } => {
                let far =
                    self.group_far_ends.get(usize::from(group.0)).and_then(|far| self.far_ends.get(*far));
                let far = far.map_or("", |far| &*far.host);
                match what {
                    Maintenance::Stuck => warn!(far, group = group.0, cic, "stuck circuit reset"),
                    what => warn!(far, group = group.0, cic, ?what, "circuit"),
                }
            }
        }
    }

    fn incoming_seizure(&mut self, now: Micros, call: CallKey, group: GroupId, setup: &Setup) {
        let Some(far) = self.group_far_ends.get(usize::from(group.0)).copied() else { return };
        let Some(config) = self.far_ends[far].incoming else {
            return self.signalling_point.release(now, call, cause::SWITCHING_CONGESTION, &mut self.buffers);
        };
        self.incoming.insert(call, far);
        // The ACM stops the far end's T7; from here on the caller timeout applies.
        self.signalling_point.accept(call, &mut self.buffers);
        let number =
            setup.number.iter().filter(|digit| **digit < 10).map(|digit| char::from(b'0' + digit)).collect();
        let reference = std::str::from_utf8(&setup.reference).ok().filter(|text| !text.is_empty());
        let request = Request { link: far_end_link(far), ticket: call.0 };
        let reference = reference.map(Arc::from);
        self.events.push_back(TrunkEvent::Incoming(Box::new(IncomingCall {
            call,
            request,
            far_end: far,
            number,
            reference,
            config,
        })));
    }

    fn incoming_cleared(&mut self, call: CallKey) {
        let Some(far) = self.incoming.remove(&call) else { return };
        self.last_clear_ticket += 1;
        // This ticket belongs to no call, so the answer to the request is dropped.
        self.events.push_back(TrunkEvent::Cleared(
            call,
            far,
            Request { link: far_end_link(far), ticket: self.last_clear_ticket },
        ));
    }

    pub(crate) fn host(&self, far: usize) -> Arc<str> {
        self.far_ends.get(far).map_or_else(|| Arc::from(""), |far| far.host.clone())
    }
}

fn far_end_link(far: usize) -> LinkId {
    LinkId(FAR_END_LINK_BASE + far as u64)
}
