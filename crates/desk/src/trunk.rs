//! Calls over trunk groups: set-ups that seize circuits, and circuits that far ends seize, which are calls like others.
//!
//! This counter owns the exchange's [`SignallingPoint`] and what it knows of its calls. It turns what becomes of circuits into
//! [`News`], in words of its own; the desk hands those to the engine. It decides nothing: which group, what an end
//! means and what is reported are [`baydrift_trunk::route`]'s, all else the engine's.
//!
//! What grows is bounded by circuits: a call holds one, and an attempt is known here while it holds one.

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

/// Links of far ends, apart from all others'.
const LINKS: u64 = 1 << 48;

/// What became of circuits, for the engine.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum News {
    /// A set-up stands.
    Stands(AttemptId, Report),
    /// A set-up ended.
    Ended(AttemptId, AttemptEnd),
    /// A call that stood is over.
    Over(AttemptId, Report),
    /// The far end has nothing of an attempt any more.
    Released(AttemptId, Report),
    /// A far end offers a call.
    Offered(Box<Offered>),
    /// A far end is done with a call that it offered.
    Left(CallKey, usize, Request),
}

/// A call that a far end offers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Offered {
    pub(crate) call: CallKey,
    pub(crate) request: Request,
    /// The far end's place among all.
    pub(crate) far: usize,
    /// Digits called, as text.
    pub(crate) number: String,
    /// The far end's own name for it, where it tells one.
    pub(crate) reference: Option<Arc<str>>,
    pub(crate) what: Incoming,
}

#[derive(Debug)]
struct Far {
    host: Arc<str>,
    number: ServerId,
    point: u32,
    groups: Vec<GroupId>,
    incoming: Option<Incoming>,
}

/// A set-up that has, or is looking for, a circuit.
#[derive(Debug)]
struct Attempt {
    far: usize,
    setup: Setup,
    claim: RouteChoice,
    tried: Vec<GroupId>,
    stands: bool,
}

/// A trunk group, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TrunkGroupView {
    /// Its far end's name.
    pub far_end: Arc<str>,
    /// Its far end's point code.
    pub point: u32,
    /// Its own name.
    pub name: String,
    /// Its place.
    pub id: GroupId,
    /// What it is like.
    pub view: GroupView,
}

/// See the module's page.
#[derive(Debug)]
pub(crate) struct TrunkSide {
    office: SignallingPoint,
    fars: Vec<Far>,
    /// The far end of each group.
    of_group: Vec<usize>,
    names: Vec<String>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Releases that the far end has not completed, by far end and circuit.
    releasing: BTreeMap<(usize, GroupId, u16), AttemptId>,
    /// Incoming calls, and their far end.
    incoming: BTreeMap<CallKey, usize>,
    tickets: u64,
    done: (Vec<Data>, Vec<Output>),
    pub(crate) packets: Vec<Data>,
    pub(crate) news: VecDeque<News>,
}

/// One who holds no circuits has nothing that could be wrong with them.
fn office(config: &Config) -> SignallingPoint {
    let own = config.point.unwrap_or(0);
    let groups =
        || config.far_ends.iter().flat_map(|far| far.groups.iter().map(move |group| (far.point, group)));
    let specs: Vec<_> = groups().map(|(_, group)| group.spec.clone()).collect();
    let places =
        groups().map(|(point, g)| (point, g.spec.first..g.spec.first.saturating_add(g.spec.circuits)));
    let (timers, audit) = (TimerSettings::default(), AuditSettings::default());
    // The configuration's checks leave nothing that is refused here.
    match Trunks::new(specs, timers, audit) {
        Ok(trunks) => SignallingPoint::new(own, places.collect(), trunks),
        Err((place, error)) => {
            warn!(place, %error, "trunk groups are out of use");
            let none =
                Trunks::new(Vec::new(), timers, audit).unwrap_or_else(|_| unreachable!("no group is wrong"));
            SignallingPoint::new(own, Vec::new(), none)
        }
    }
}

impl TrunkSide {
    pub(crate) fn new(config: &Config) -> Self {
        let (mut fars, mut of_group) = (Vec::new(), Vec::new());
        for far in &config.far_ends {
            let first = of_group.len() as u16;
            of_group.extend(far.groups.iter().map(|_| fars.len()));
            fars.push(Far {
                host: Arc::from(far.host.as_str()),
                number: u64::from(far.number),
                point: far.point,
                groups: (first..of_group.len() as u16).map(GroupId).collect(),
                incoming: far.incoming,
            });
        }
        let names = config.far_ends.iter().flat_map(|far| far.groups.iter().map(|group| group.name.clone()));
        let mut side = Self {
            names: names.collect(),
            office: office(config),
            fars,
            of_group,
            attempts: BTreeMap::new(),
            releasing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            tickets: 0,
            done: Default::default(),
            packets: Vec::new(),
            news: VecDeque::new(),
        };
        // Links come up later; until then nothing is seized. What far ends hold of a former process is reset then.
        for place in 0..side.fars.len() {
            let point = side.fars[place].point;
            side.office.set_reachable(0, point, false, &mut side.done);
            for group in side.fars[place].groups.clone() {
                side.office.reset(0, group, &mut side.done);
            }
        }
        side.done = Default::default();
        side
    }

    pub(crate) fn office(&self) -> &SignallingPoint {
        &self.office
    }

    /// All groups, with their names and those of their far ends.
    pub(crate) fn groups(&self) -> Vec<TrunkGroupView> {
        let group = |(place, name): (usize, &String)| {
            let (id, far) = (GroupId(place as u16), self.fars.get(*self.of_group.get(place)?)?);
            let view = self.office.trunks().group_view(id)?;
            Some(TrunkGroupView { far_end: far.host.clone(), point: far.point, name: name.clone(), id, view })
        };
        self.names.iter().enumerate().filter_map(group).collect()
    }

    /// The links under which the engine knows far ends, with their names.
    pub(crate) fn links(&self) -> impl Iterator<Item = (LinkId, Arc<str>)> + '_ {
        self.fars.iter().enumerate().map(|(place, far)| (link_of(place), far.host.clone()))
    }

    fn place_of(&self, server: ServerId) -> Option<usize> {
        self.fars.iter().position(|far| far.number == server)
    }

    pub(crate) fn leads_to(&self, server: ServerId) -> bool {
        self.place_of(server).is_some()
    }

    /// The server with a point code.
    pub(crate) fn server_at(&self, point: u32) -> Option<ServerId> {
        self.fars.iter().find(|far| far.point == point).map(|far| far.number)
    }

    /// The incoming call of a link and a session id that ends with its key.
    pub(crate) fn call_of(&self, link: LinkId, session: &str) -> Option<CallKey> {
        let call = CallKey(session.rsplit(';').next()?.parse().ok()?);
        self.incoming.get(&call).filter(|far| link_of(**far) == link).map(|_| call)
    }

    fn usages(&self, far: usize) -> Vec<(GroupId, Usage)> {
        let groups = self.fars.get(far).into_iter().flat_map(|far| &far.groups);
        groups.filter_map(|group| Some((*group, self.office.trunks().usage(*group)?))).collect()
    }

    fn report(&self, far: usize) -> Report {
        far_end_report(&self.usages(far))
    }

    // --- the engine's wishes ---

    /// Seizes a circuit for a set-up.
    pub(crate) fn set_up(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        server: ServerId,
        setup: Setup,
        claim: RouteChoice,
    ) {
        let Some(far) = self.place_of(server) else { return };
        self.attempts.insert(attempt, Attempt { far, setup, claim, tried: Vec::new(), stands: false });
        self.try_next(now, attempt, End::NoCircuit);
    }

    /// The next group, or the end of it, which was the last one's.
    fn try_next(&mut self, now: Micros, id: AttemptId, last: End) {
        let Some(far) = self.attempts.get(&id).map(|attempt| attempt.far) else { return };
        let usages = self.usages(far);
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        match next_group(&usages, &attempt.tried) {
            Some(group) => {
                attempt.tried.push(group);
                let (setup, claim) = (attempt.setup.clone(), attempt.claim);
                self.office.seize(now, CallKey(id.0), group, setup, claim, &mut self.done);
                self.settle(now);
            }
            None => self.end(id, last),
        }
    }

    fn end(&mut self, id: AttemptId, end: End) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        let (far, report) = (attempt.far, self.report(attempt.far));
        let (outcome, note) = outcome_of(end);
        debug!(attempt = id.0, far = &*self.fars[far].host, ?end, "trunk call ended");
        self.news.push_back(if attempt.stands {
            News::Over(id, report)
        } else {
            News::Ended(id, AttemptEnd { outcome, note, report })
        });
    }

    /// Releases an attempt. It is done once the circuit is free again: until the RLC the far end may hold the call.
    pub(crate) fn release(&mut self, now: Micros, id: AttemptId, server: ServerId) {
        let Some(far) = self.place_of(server) else { return };
        self.attempts.remove(&id);
        match self.office.trunks().circuit_of(CallKey(id.0)) {
            Some((group, cic)) => {
                self.releasing.insert((far, group, cic), id);
                self.office.release(now, CallKey(id.0), cause::NORMAL_CLEARING, &mut self.done);
                self.settle(now);
            }
            None => self.news.push_back(News::Released(id, self.report(far))),
        }
    }

    /// An incoming call has its answer.
    pub(crate) fn answer(&mut self, now: Micros, call: CallKey, cause: Option<u8>) {
        match cause {
            None => self.office.answer(call, &mut self.done),
            Some(cause) => self.drop_incoming(now, call, cause),
        }
        self.settle(now);
    }

    /// An incoming call that stood was cut.
    pub(crate) fn cut(&mut self, now: Micros, call: CallKey) {
        self.drop_incoming(now, call, cause::TEMPORARY_FAILURE);
        self.settle(now);
    }

    fn drop_incoming(&mut self, now: Micros, call: CallKey, cause: u8) {
        self.incoming.remove(&call);
        self.office.release(now, call, cause, &mut self.done);
    }

    /// The incoming call that a request belongs to.
    pub(crate) fn asked_by(&self, request: Request) -> Option<CallKey> {
        let call = CallKey(request.ticket);
        self.incoming.get(&call).filter(|far| link_of(**far) == request.link).map(|_| call)
    }

    // --- the far ends ---

    pub(crate) fn heard(&mut self, now: Micros, data: &Data) -> bool {
        let taken = self.office.handle_packet(now, data, &mut self.done);
        if let Err(error) = &taken {
            debug!(from = data.opc, %error, "packet turned down");
        }
        self.settle(now);
        self.completed(data.opc);
        taken.is_ok()
    }

    /// Set-ups that hold a circuit, or look for one.
    pub(crate) fn attempts(&self) -> Vec<(AttemptId, ServerId)> {
        self.attempts.iter().map(|(id, attempt)| (*id, self.fars[attempt.far].number)).collect()
    }

    pub(crate) fn reachable(&mut self, now: Micros, point: u32, reachable: bool) {
        self.office.set_reachable(now, point, reachable, &mut self.done);
        self.settle(now);
    }

    pub(crate) fn next_wake(&self) -> Option<Micros> {
        self.office.next_wake().filter(|_| !self.fars.is_empty())
    }

    pub(crate) fn tick(&mut self, now: Micros) {
        self.office.tick(now, &mut self.done);
        self.settle(now);
    }

    /// Sees to what the office has done.
    fn settle(&mut self, now: Micros) {
        loop {
            let (packets, outputs) = std::mem::take(&mut self.done);
            self.packets.extend(packets);
            if outputs.is_empty() {
                break;
            }
            outputs.into_iter().for_each(|output| self.output(now, output));
        }
    }

    /// Releases that a far end has completed just now.
    fn completed(&mut self, point: u32) {
        let Some(far) = self.fars.iter().position(|far| far.point == point) else { return };
        let trunks = self.office.trunks();
        let changing = |group, cic| trunks.view(group, cic).map(|view| view.state.processing);
        let of_far = (far, GroupId(0), 0)..=(far, GroupId(u16::MAX), u16::MAX);
        let over = self.releasing.range(of_far);
        let over = over.filter(|((_, group, cic), _)| changing(*group, *cic) != Some(Processing::Transient));
        let over: Vec<_> = over.map(|(key, _)| *key).collect();
        for key in over {
            if let Some(id) = self.releasing.remove(&key) {
                self.news.push_back(News::Released(id, self.report(far)));
            }
        }
    }

    fn output(&mut self, now: Micros, output: Output) {
        match output {
            Output::Send { .. } | Output::Accepted(_) => {}
            Output::Answered(call) => {
                let id = AttemptId(call.0);
                let Some(attempt) = self.attempts.get_mut(&id) else { return };
                attempt.stands = true;
                let far = attempt.far;
                self.news.push_back(News::Stands(id, self.report(far)));
            }
            Output::Ended(call, _) if call.is_incoming() => self.left(call),
            Output::Ended(call, end) if may_try_next_group(end) => self.try_next(now, AttemptId(call.0), end),
            Output::Ended(call, end) => self.end(AttemptId(call.0), end),
            Output::Incoming { call, group, setup } => self.seized(now, call, group, &setup),
            Output::Report { group, cic, what } => {
                let far = self.of_group.get(usize::from(group.0)).and_then(|far| self.fars.get(*far));
                let far = far.map_or("", |far| &*far.host);
                match what {
                    Maintenance::Stuck => warn!(far, group = group.0, cic, "circuit was stuck, and is reset"),
                    what => warn!(far, group = group.0, cic, ?what, "circuit"),
                }
            }
        }
    }

    fn seized(&mut self, now: Micros, call: CallKey, group: GroupId, setup: &Setup) {
        let Some(far) = self.of_group.get(usize::from(group.0)).copied() else { return };
        let Some(what) = self.fars[far].incoming else {
            return self.office.release(now, call, cause::SWITCHING_CONGESTION, &mut self.done);
        };
        self.incoming.insert(call, far);
        // Taken: the far end's T7 stops, and its caller's patience is what counts from now on.
        self.office.accept(call, &mut self.done);
        let number =
            setup.number.iter().filter(|digit| **digit < 10).map(|digit| char::from(b'0' + digit)).collect();
        let reference = std::str::from_utf8(&setup.reference).ok().filter(|text| !text.is_empty());
        let request = Request { link: link_of(far), ticket: call.0 };
        let reference = reference.map(Arc::from);
        self.news.push_back(News::Offered(Box::new(Offered { call, request, far, number, reference, what })));
    }

    fn left(&mut self, call: CallKey) {
        let Some(far) = self.incoming.remove(&call) else { return };
        self.tickets += 1;
        // A ticket of no call: the answer to this goes nowhere.
        self.news.push_back(News::Left(call, far, Request { link: link_of(far), ticket: self.tickets }));
    }

    pub(crate) fn host(&self, far: usize) -> Arc<str> {
        self.fars.get(far).map_or_else(|| Arc::from(""), |far| far.host.clone())
    }
}

fn link_of(far: usize) -> LinkId {
    LinkId(LINKS + far as u64)
}
