//! The world: fronts, servers, callers and the links between them, driven by one queue of events.
//!
//! Delays of networks and of tasks are drawn, so that what can happen in either order does, by the seed.

mod faults;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use baydrift::interface::Micros;
use baydrift_audit::{RecordEntry, RecordEvent};
use baydrift_call::{EngineError, LinkId, Policy};
use baydrift_config::Config;
use baydrift_desk::{PoolList, SessionInput, SessionLayer, SessionOutput};
use baydrift_diameter::{Frame, Message, PeerInput, Side};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::caller::{CallerInput, CallerOutput, CallerSpec, Callers};
use crate::far_end::{FarEnd, FarEndInput, FarEndOutput, FarEndSpec};
use crate::front::{Did, Front, ToCore};
use crate::link::{Conns, End, Fault, Parcel, BACK, THERE};
use crate::offers::Offers;
use crate::queue::Queue;
use crate::server::{Command, ServerInput, ServerOutput, ServerSpec, SessionServer};
use crate::text::{datagram_events, TextCallers, TextOutput, TextSpec};

pub use faults::Place;

/// How uneven the machine is that all this runs on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Roughness {
    /// A hop, or a task's turn, takes at least this.
    pub least: Micros,
    /// Usually at most so much more.
    pub usual: Micros,
    /// Of so many turns one is late ...
    pub late_of: u32,
    /// ... by up to this.
    pub late: Micros,
}

impl Default for Roughness {
    fn default() -> Self {
        Self { least: 5, usual: 150, late_of: 200, late: 8_000 }
    }
}

/// What is in a world. Fronts, callers and text callers go by the ordinal of their front.
#[derive(Debug)]
pub struct WorldSpec {
    /// One a front, with the policy that is compared, if any.
    pub fronts: Vec<(Config, Option<Box<dyn Policy>>)>,
    /// Session servers, in the order of the fronts' configurations.
    pub servers: Vec<ServerSpec>,
    /// Far ends of trunk groups, in that order. Where servers go by place they come after those.
    pub far_ends: Vec<FarEndSpec>,
    /// Diameter callers.
    pub callers: Vec<(CallerSpec, u64)>,
    /// Text callers.
    pub texts: Vec<(TextSpec, u64)>,
    /// What all are told to offer at first.
    pub offers: Offers,
    /// Servers that are reached over a link with faults.
    pub linked: BTreeSet<usize>,
    /// One-way delay of those links.
    pub link_delay: Micros,
    /// Share of text datagrams lost, each way.
    pub datagrams_lost: f64,
    /// Seed of all that is drawn here.
    pub seed: u64,
    /// Delays of hops and tasks.
    pub roughness: Roughness,
}

/// Who can be woken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Node {
    Server(usize),
    Callers(usize),
    Text(usize),
    Core(usize),
    ToServer(usize, usize),
    ToClient(usize, LinkId),
    Far(usize),
    ToFar(usize, usize),
}

#[derive(Debug)]
enum Event {
    Wake(Node),
    /// A parcel arrives: transport, direction, epoch.
    Arrive(u64, usize, u32, Parcel),
    /// A server's or client's attempt to connect gets there.
    Connecting(u64),
    /// A front dials a far end again.
    Redial(usize, usize),
    /// A link went down: its transport closes at this end.
    Severed(u64, usize),
    /// The core of a front's process, by its count, takes an input.
    Core(usize, u32, Box<ToCore>),
    /// What the core sent leaves a link's queue.
    Out(usize, u32, Box<SessionOutput>),
    /// Another process of a front starts.
    Starts(usize),
    /// A datagram of text caller so-and-so, towards its front or back.
    Datagram(usize, bool, Arc<str>),
    /// A list is pushed; what is told.
    List(usize, Box<PoolList>, Vec<RecordEvent>),
}

/// See the module's page.
#[derive(Debug)]
pub struct World {
    queue: Queue<Event>,
    fronts: Vec<Front>,
    servers: Vec<SessionServer>,
    /// Far ends, and their point codes.
    fars: Vec<(FarEnd, u32)>,
    callers: Vec<Callers>,
    /// Text callers, and their front.
    texts: Vec<(TextCallers, usize, String)>,
    conns: Conns,
    faults: BTreeMap<usize, Fault>,
    faulty: faults::Faulty,
    armed: BTreeMap<Node, Micros>,
    /// Queues between tasks keep their order: when the last entry of each leaves.
    last: BTreeMap<(usize, Option<Node>, bool), Micros>,
    datagrams_lost: f64,
    messages_lost: f64,
    rng: Pcg64Mcg,
    rough: Roughness,
    lines: Vec<RecordEntry>,
    events: u64,
}

impl World {
    /// A world at time 0.
    ///
    /// # Errors
    /// Where a front's engine refuses its settings.
    pub fn new(spec: WorldSpec) -> Result<Self, EngineError> {
        let mut rng = Pcg64Mcg::seed_from_u64(spec.seed);
        let mut fronts = Vec::new();
        for (config, policy) in spec.fronts {
            fronts.push(Front::new(config, policy, 1, &mut rng)?);
        }
        let addresses = vec![[127, 0, 0, 1].into()];
        let fault = Fault { delay: spec.link_delay, ..Fault::default() };
        let (offers, lossy) = (spec.offers, spec.datagrams_lost > 0.0);
        let mut world = Self {
            queue: Queue::default(),
            fronts,
            servers: Vec::new(),
            fars: Vec::new(),
            callers: Vec::new(),
            texts: Vec::new(),
            conns: Conns::default(),
            faults: spec.linked.into_iter().map(|server| (server, fault)).collect(),
            faulty: faults::Faulty::default(),
            armed: BTreeMap::new(),
            last: BTreeMap::new(),
            datagrams_lost: spec.datagrams_lost,
            messages_lost: 0.0,
            rough: spec.roughness,
            lines: Vec::new(),
            events: 0,
            rng,
        };
        for server in spec.servers {
            world.record(RecordEvent::ServerStarted { server: server.number, cold: false });
            let seed = world.rng.random();
            world.servers.push(SessionServer::new(server, addresses.clone(), seed));
        }
        for far in spec.far_ends {
            world.record(RecordEvent::ServerStarted { server: far.number, cold: false });
            let (seed, point) = (world.rng.random(), far.point_code);
            world.fars.push((FarEnd::new(far, seed), point));
        }
        for (caller, seed) in spec.callers {
            world.callers.push(Callers::new(caller, offers.clone(), seed));
        }
        for (text, seed) in spec.texts {
            let (front, mid) = (text.front as usize, text.mid.clone());
            if lossy {
                world.record(RecordEvent::Lossy { client: mid.clone() });
            }
            world.texts.push((TextCallers::new(text, offers.clone(), seed), front, mid));
        }
        for front in 0..world.fronts.len() {
            for server in 0..world.fronts[front].servers.len() {
                world.server_input(front, server, PeerInput::Start);
            }
            for far in 0..world.fars.len() {
                world.connect(End::FrontFar(front, far), End::Far(far));
            }
            world.arm(Node::Core(front));
        }
        (0..world.servers.len()).for_each(|server| world.arm(Node::Server(server)));
        Ok(world)
    }

    /// Callers begin.
    pub fn begin(&mut self) {
        (0..self.callers.len()).for_each(|callers| self.arm(Node::Callers(callers)));
        (0..self.texts.len()).for_each(|text| self.arm(Node::Text(text)));
        (0..self.fars.len()).for_each(|far| self.far(far, FarEndInput::Offer(1.0)));
    }

    /// The clock.
    pub fn now(&self) -> Micros {
        self.queue.now()
    }

    /// Events handled so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// A front's desk, for its counts.
    pub fn desk(&self, front: usize) -> Option<&SessionLayer> {
        self.fronts.get(front).map(Front::desk)
    }

    /// The record so far.
    pub fn lines(&self) -> &[RecordEntry] {
        &self.lines
    }

    /// The record, whole.
    pub fn into_lines(self) -> Vec<RecordEntry> {
        self.lines
    }

    /// Puts a moment on record, now.
    pub fn record(&mut self, moment: RecordEvent) {
        self.lines.push(RecordEntry { at: self.queue.now(), event: moment });
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(event) = self.queue.next(until) {
            self.events += 1;
            self.take(event);
        }
    }

    // --- troubles ---

    /// A trouble of a server.
    pub fn command(&mut self, server: usize, command: Command) {
        match server.checked_sub(self.servers.len()) {
            Some(far) => self.far(far, FarEndInput::Command(command)),
            None => self.server(server, ServerInput::Command(command)),
        }
    }

    /// Changes what the link to a server does.
    pub fn set_link(&mut self, server: usize, fault: Fault) {
        let Some(old) = self.faults.insert(server, fault) else { return };
        let far = server.checked_sub(self.servers.len()).and_then(|far| self.fars.get(far));
        if let (Some((far, _)), true) = (far, old.stalled_back != fault.stalled_back) {
            let (client, held) = (far.host().to_owned(), fault.stalled_back);
            self.record(RecordEvent::Held { client, held });
        }
        if fault.down && !old.down {
            for (id, _) in self.conns.down(server) {
                for end in [0, 1] {
                    let at = self.queue.now() + self.turn();
                    self.queue.at(at, Event::Severed(id, end));
                }
            }
        }
        if (old.stalled && !fault.stalled) || (old.stalled_back && !fault.stalled_back) {
            for (id, direction, parcel) in self.conns.unstall(server) {
                self.post(id, direction, parcel);
            }
        }
    }

    /// Changes what one front's callers offer, or all.
    pub fn offer(&mut self, front: Option<usize>, offers: &Offers) {
        for (place, callers) in self.callers.iter_mut().enumerate() {
            if front.is_none_or(|front| front == place) {
                callers.offer_so(offers.clone());
            }
        }
        for (text, of, _) in &mut self.texts {
            if front.is_none_or(|front| front == *of) {
                text.offer_so(offers.clone());
            }
        }
        // A far end has one flow for all fronts: it changes with the first one's.
        if front.is_none_or(|front| front == 0) {
            (0..self.fars.len()).for_each(|far| self.far(far, FarEndInput::Offer(offers.factor)));
        }
    }

    /// A far end, for its counts.
    pub fn far_end(&self, far: usize) -> Option<&FarEnd> {
        self.fars.get(far).map(|(far, _)| far)
    }

    /// A front's whole process stands still.
    pub fn stall(&mut self, front: usize, span: Micros) {
        if self.fronts.get(front).is_none_or(Front::is_down) {
            return;
        }
        self.record(RecordEvent::Stall { front: front as u32, us: span });
        let until = self.queue.now() + span;
        if let Some(front) = self.fronts.get_mut(front) {
            front.stalled_until = front.stalled_until.max(until);
        }
    }

    /// This share of messages between fronts is lost from now on.
    pub fn lose_messages(&mut self, share: f64) {
        self.messages_lost = share;
    }

    /// A list reaches a front at a time, which makes the moments true.
    pub fn push_list(&mut self, at: Micros, front: usize, list: PoolList, told: Vec<RecordEvent>) {
        self.queue.at(at, Event::List(front, Box::new(list), told));
    }

    // --- events ---

    /// What one hop or one turn of a task takes.
    fn turn(&mut self) -> Micros {
        let Roughness { least, usual, late_of, late } = self.rough;
        let usually = least + self.rng.random_range(0..=usual);
        if late_of > 0 && self.rng.random_range(0..late_of) == 0 {
            return usually + self.rng.random_range(0..=late);
        }
        usually
    }

    /// An entry of a queue between a front's tasks: when it leaves.
    fn queued(&mut self, front: usize, task: Option<Node>, to_core: bool) -> Micros {
        let at = self.queue.now() + self.turn();
        let last = self.last.entry((front, task, to_core)).or_insert(0);
        *last = at.max(*last);
        *last
    }

    fn front_of(&self, event: &Event) -> Option<usize> {
        let of_end = |end: End| match end {
            End::FrontServer(front, _) | End::FrontClient(front) | End::FrontFar(front, _) => Some(front),
            End::Server(_) | End::Callers(_) | End::Far(_) => None,
        };
        match event {
            Event::Wake(Node::Core(front) | Node::ToServer(front, _) | Node::ToClient(front, _)) => {
                Some(*front)
            }
            Event::Core(front, ..) | Event::Out(front, ..) | Event::List(front, ..) => Some(*front),
            Event::Redial(front, _) => Some(*front),
            Event::Datagram(text, true, _) => self.texts.get(*text).map(|(_, front, _)| *front),
            Event::Arrive(id, direction, ..) => {
                let conn = self.conns.get(*id)?;
                of_end(if *direction == THERE { conn.responder } else { conn.initiator })
            }
            Event::Severed(id, end) => {
                let conn = self.conns.get(*id)?;
                of_end(if *end == 0 { conn.initiator } else { conn.responder })
            }
            Event::Wake(_) | Event::Connecting(_) | Event::Datagram(..) | Event::Starts(_) => None,
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.queue.now();
        // A process that stands still takes nothing; what came meanwhile it finds in any order afterwards, but
        // for the order within one transport or queue.
        let still = self.front_of(&event).and_then(|front| self.fronts.get(front)).map(|f| f.stalled_until);
        if let Some(until) = still.filter(|until| now < *until) {
            let spread = match &event {
                Event::Arrive(id, ..) | Event::Severed(id, _) => id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 53,
                Event::Core(..) | Event::Out(..) => 0,
                _ => self.rng.random_range(0..2_048),
            };
            // A datagram lies at the process that stands still: killed, it takes that along.
            if let Event::Datagram(text, true, said) = &event {
                if let Some((front, input)) = self.text_input(*text, said) {
                    self.tell_process(until + spread, front, input);
                }
                return;
            }
            return self.queue.at(until + spread, event);
        }
        match event {
            Event::Wake(node) => self.wake(node),
            Event::Arrive(id, direction, epoch, parcel) => self.arrive(id, direction, epoch, parcel),
            Event::Connecting(id) => self.connecting(id),
            Event::Redial(front, _) if self.fronts[front].is_down() => {}
            Event::Redial(front, far) => {
                self.connect(End::FrontFar(front, far), End::Far(far));
            }
            Event::Severed(id, end) => {
                let Some(conn) = self.conns.get(id).filter(|conn| conn.open[end]) else { return };
                let at = if end == 0 { conn.initiator } else { conn.responder };
                self.shut(id, end);
                self.closed(id, at);
            }
            // What a process that was killed had in its queues went with it.
            Event::Core(front, process, input) => {
                if self.fronts[front].runs(process) {
                    self.core(front, Some(*input));
                }
            }
            Event::Out(front, process, output) => {
                if self.fronts[front].runs(process) {
                    self.out(front, *output);
                }
            }
            Event::Starts(front) => self.starts(front),
            Event::Datagram(text, to_front, said) => self.datagram(text, to_front, &said),
            Event::List(front, list, told) => {
                if let Some((list, told)) = self.heard_list(front, *list, told) {
                    self.core(front, Some(ToCore::Pool(list, told)));
                }
            }
        }
    }

    fn due(&self, node: Node) -> Micros {
        let now = self.queue.now();
        match node {
            Node::Server(server) => self.servers.get(server).map_or(Micros::MAX, SessionServer::due),
            Node::Callers(callers) => self.callers.get(callers).map_or(Micros::MAX, |c| c.due(now)),
            Node::Text(text) => self.texts.get(text).map_or(Micros::MAX, |(t, ..)| t.due(now)),
            Node::Core(front) => self.fronts[front].core_due(),
            Node::ToServer(front, server) => self.fronts[front].server_due(server),
            Node::ToClient(front, link) => self.fronts[front].client_due(link),
            Node::Far(far) => self.fars.get(far).map_or(Micros::MAX, |(far, _)| far.due()),
            Node::ToFar(..) => Micros::MAX,
        }
    }

    /// Sets a node's wake-up, if there is none as early.
    fn arm(&mut self, node: Node) {
        let due = self.due(node);
        if due == Micros::MAX || self.armed.get(&node).is_some_and(|at| *at <= due) {
            return;
        }
        let at = due.max(self.queue.now());
        self.armed.insert(node, at);
        self.queue.at(at, Event::Wake(node));
    }

    fn wake(&mut self, node: Node) {
        let now = self.queue.now();
        if self.armed.get(&node).is_some_and(|at| *at <= now) {
            self.armed.remove(&node);
        }
        if let Node::Core(front) | Node::ToServer(front, _) | Node::ToClient(front, _) = node {
            if self.fronts[front].is_down() {
                return;
            }
        }
        if self.due(node) > now {
            return self.arm(node);
        }
        match node {
            Node::Server(server) => self.server(server, ServerInput::Tick),
            Node::Callers(callers) => self.caller(callers, CallerInput::Tick),
            Node::Text(text) => self.text(text, |callers, out| callers.tick(now, out)),
            Node::Core(front) => self.core(front, None),
            Node::ToServer(front, server) => self.server_input(front, server, PeerInput::Tick),
            Node::ToClient(front, link) => self.client_input(front, link, PeerInput::Tick),
            Node::Far(far) => self.far(far, FarEndInput::Tick),
            Node::ToFar(..) => {}
        }
    }

    // --- transports ---

    fn fault(&self, id: u64) -> Fault {
        let link = self.conns.get(id).and_then(|conn| conn.link);
        self.severed_of(id, link.and_then(|link| self.faults.get(&link)).copied().unwrap_or_default())
    }

    /// Whether a transport's own link holds what crosses it, whatever is severed.
    fn linked_fault(&self, id: u64) -> bool {
        let link = self.conns.get(id).and_then(|conn| conn.link);
        link.and_then(|link| self.faults.get(&link)).is_some_and(|fault| fault.stalled || fault.stalled_back)
    }

    /// Sends a parcel on its way.
    fn post(&mut self, id: u64, direction: usize, parcel: Parcel) {
        let (now, fault) = (self.queue.now(), self.fault(id));
        let delay = self.turn() + fault.delay;
        self.enters(id, direction, &parcel, fault);
        if let Some((at, id, direction, epoch, parcel)) =
            self.conns.send(now, id, direction, parcel, fault, delay)
        {
            self.queue.at(at, Event::Arrive(id, direction, epoch, parcel));
        }
    }

    fn send(&mut self, id: u64, direction: usize, message: Message) {
        self.post(id, direction, Parcel::Message(Box::new(message)));
    }

    /// One end closes: the other hears of it after what was sent.
    fn close(&mut self, id: u64, end: usize) {
        if self.conns.get(id).is_some_and(|conn| conn.open[end]) {
            self.post(id, if end == 0 { THERE } else { BACK }, Parcel::Closed);
            self.shut(id, end);
        }
    }

    /// One end of an open transport lets go of it; what a server holds is on record.
    fn shut(&mut self, id: u64, end: usize) {
        let ends = self.conns.get(id).filter(|_| end == 1).map(|conn| (conn.initiator, conn.responder));
        if let Some((End::FrontServer(front, _), End::Server(server))) = ends {
            self.record(RecordEvent::LinkDown { server: server as u16, front: front as u32 });
        }
        self.conns.close(id, end);
    }

    fn connect(&mut self, initiator: End, responder: End) -> u64 {
        let link = match responder {
            End::Server(server) if self.faults.contains_key(&server) => Some(server),
            End::Far(far) => Some(self.servers.len() + far).filter(|place| self.faults.contains_key(place)),
            _ => None,
        };
        let id = self.conns.open(initiator, responder, link);
        let at = self.queue.now() + self.turn();
        self.queue.at(at, Event::Connecting(id));
        id
    }

    fn connecting(&mut self, id: u64) {
        if self.hangs(id) {
            return;
        }
        let Some(conn) = self.conns.get(id) else { return };
        let (responder, open) = (conn.responder, conn.open[0]);
        let down = self.fault(id).down;
        let there = match responder {
            End::Server(server) => !down && self.servers.get(server).is_some_and(SessionServer::listens),
            End::FrontClient(front) => {
                !self.fronts[front].is_down() && self.fronts[front].accepted(id).is_some()
            }
            End::Far(far) => !down && self.fars.get(far).is_some_and(|(far, _)| far.listens()),
            End::FrontServer(..) | End::Callers(_) | End::FrontFar(..) => false,
        };
        let initiator = conn.initiator;
        if !there || !open {
            self.post(id, BACK, Parcel::Closed);
            self.conns.close(id, 1);
            return;
        }
        self.post(id, BACK, Parcel::Connected);
        if let (End::FrontServer(front, _), End::Server(server)) = (initiator, responder) {
            self.record(RecordEvent::LinkUp { server: server as u16, front: front as u32 });
            self.server(server, ServerInput::Accepted(id));
        }
        if let (End::Far(far), End::FrontFar(front, _)) = (responder, initiator) {
            self.far(far, FarEndInput::Up(front as u32));
        }
    }

    fn arrive(&mut self, id: u64, direction: usize, epoch: u32, parcel: Parcel) {
        let Some(conn) = self.conns.get(id) else { return };
        // Towards the responder the receiving end is 1, back it is 0.
        let receiving = if direction == THERE { 1 } else { 0 };
        if !conn.open[receiving] || conn.epoch != epoch {
            return;
        }
        let at = if receiving == 1 { conn.responder } else { conn.initiator };
        match parcel {
            Parcel::Connected => match at {
                End::FrontServer(front, server) => self.server_input(front, server, PeerInput::Connected),
                End::Callers(callers) => self.caller(callers, CallerInput::Connected),
                End::FrontFar(front, far) => {
                    let point = self.fars[far].1;
                    self.tell_core(front, Node::ToFar(front, far), SessionInput::TrunkUp(point));
                }
                End::Server(_) | End::FrontClient(_) | End::Far(_) => {}
            },
            Parcel::Packet(data) => match (at, conn.initiator) {
                (End::Far(far), End::FrontFar(front, _)) => {
                    self.far(far, FarEndInput::Received(front as u32, data));
                }
                (End::FrontFar(front, far), _) => {
                    self.tell_core(front, Node::ToFar(front, far), SessionInput::TrunkPacket(data));
                }
                _ => {}
            },
            Parcel::Message(message) => self.message(id, at, *message),
            Parcel::Closed => {
                self.shut(id, receiving);
                self.closed(id, at);
            }
        }
    }

    fn message(&mut self, id: u64, at: End, message: Message) {
        let now = self.queue.now();
        match at {
            End::Server(server) => self.server(server, ServerInput::Received(id, Frame::Valid(message))),
            End::Callers(callers) => self.caller(callers, CallerInput::Received(Frame::Valid(message))),
            End::FrontServer(front, server) => {
                let input = PeerInput::Received(Side::Initiator, Frame::Valid(message));
                self.server_input(front, server, input);
            }
            End::FrontClient(front) => {
                let Some(link) = self.fronts[front].link_of(id) else { return };
                let mut did = Vec::new();
                self.fronts[front].client_message(now, link, message, &mut self.rng, &mut did);
                self.did(front, Node::ToClient(front, link), did);
            }
            End::Far(_) | End::FrontFar(..) => {}
        }
    }

    fn closed(&mut self, id: u64, at: End) {
        match at {
            End::Server(server) => self.server(server, ServerInput::Closed(id)),
            End::Callers(callers) => self.caller(callers, CallerInput::Closed),
            End::FrontServer(front, server) => {
                let of_it = self.fronts[front].servers.get(server).is_some_and(|s| s.conn == Some(id));
                if of_it {
                    // On record as the front hears of it: its server may be gone, with what was on its way there.
                    self.record(RecordEvent::Disconnected { server: server as u16, front: front as u32 });
                    self.server_input(front, server, PeerInput::Disconnected(Side::Initiator));
                    self.server_input(front, server, PeerInput::ConnectFailed);
                }
            }
            End::FrontClient(front) => {
                if let Some(link) = self.fronts[front].link_of(id) {
                    self.client_input(front, link, PeerInput::Disconnected(Side::Responder));
                }
            }
            End::Far(far) => {
                // Both ends let go: which front's link it was shows by what is left.
                let left = self.conns.of(End::Far(far));
                let fronts = left.iter().filter_map(|id| match self.conns.get(*id)?.initiator {
                    End::FrontFar(front, _) => Some(front),
                    _ => None,
                });
                let fronts: BTreeSet<_> = fronts.collect();
                for front in (0..self.fronts.len()).filter(|front| !fronts.contains(front)) {
                    self.far(far, FarEndInput::Down(front as u32));
                }
            }
            End::FrontFar(front, far) => {
                let point = self.fars[far].1;
                self.tell_core(front, Node::ToFar(front, far), SessionInput::TrunkDown(point));
                let at = self.queue.now() + REDIAL + self.turn();
                self.queue.at(at, Event::Redial(front, far));
            }
        }
    }

    // --- who is at the ends ---

    fn server(&mut self, server: usize, input: ServerInput) {
        let now = self.queue.now();
        let mut out = Vec::new();
        let Some(model) = self.servers.get_mut(server) else { return };
        model.handle(now, input, &mut out);
        for output in out {
            match output {
                ServerOutput::Send(id, message) => self.send(id, BACK, message),
                ServerOutput::Close(id) => self.close(id, 1),
                ServerOutput::Record(moment) => self.record(moment),
                ServerOutput::Stopped => {
                    self.conns.of(End::Server(server)).into_iter().for_each(|id| self.close(id, 1));
                }
                ServerOutput::Started => {}
            }
        }
        self.arm(Node::Server(server));
    }

    fn far_at(&self, point: u32) -> Option<usize> {
        self.fars.iter().position(|(_, other)| *other == point)
    }

    fn far(&mut self, far: usize, input: FarEndInput) {
        let now = self.queue.now();
        let mut out = Vec::new();
        let Some((model, _)) = self.fars.get_mut(far) else { return };
        model.handle(now, input, &mut out);
        for output in out {
            match output {
                FarEndOutput::Send(front, data) => {
                    let to = End::FrontFar(front as usize, far);
                    let ids = self.conns.of(End::Far(far));
                    let id = ids
                        .into_iter()
                        .rev()
                        .find(|id| self.conns.get(*id).is_some_and(|conn| conn.initiator == to));
                    if let Some(id) = id {
                        self.post(id, BACK, Parcel::Packet(data));
                    }
                }
                FarEndOutput::Record(moment) => self.record(moment),
                FarEndOutput::Stopped => {
                    self.conns.of(End::Far(far)).into_iter().for_each(|id| self.close(id, 1));
                }
                FarEndOutput::Started => {}
            }
        }
        self.arm(Node::Far(far));
    }

    fn caller(&mut self, callers: usize, input: CallerInput) {
        let now = self.queue.now();
        let mut out = Vec::new();
        let Some(model) = self.callers.get_mut(callers) else { return };
        model.handle(now, input, &mut out);
        for output in out {
            let conn = self.conns.of(End::Callers(callers)).last().copied();
            match (output, conn) {
                (CallerOutput::Connect, _) => {
                    self.connect(End::Callers(callers), End::FrontClient(callers));
                }
                (CallerOutput::Send(message), Some(id)) => self.send(id, THERE, message),
                (CallerOutput::Close, Some(id)) => self.close(id, 0),
                (CallerOutput::Record(moment), _) => self.record(moment),
                (CallerOutput::Send(_) | CallerOutput::Close, None) => {}
            }
        }
        self.arm(Node::Callers(callers));
    }

    fn text(&mut self, text: usize, act: impl FnOnce(&mut TextCallers, &mut Vec<TextOutput>)) {
        let mut out = Vec::new();
        let Some((callers, ..)) = self.texts.get_mut(text) else { return };
        act(callers, &mut out);
        for output in out {
            match output {
                TextOutput::Send(said) => self.relay(text, true, said),
                TextOutput::Record(moment) => self.record(moment),
            }
        }
        self.arm(Node::Text(text));
    }

    /// A datagram is on its way, or lost; the record tells which.
    fn relay(&mut self, text: usize, to_front: bool, datagram: Arc<str>) {
        let lost = self.rng.random::<f64>() < self.datagrams_lost;
        if self.datagrams_lost > 0.0 {
            let Some((_, _, client)) = self.texts.get(text) else { return };
            for moment in datagram_events(client, to_front, &datagram, lost) {
                self.record(moment);
            }
        }
        if !lost {
            let at = self.queue.now() + self.turn() + self.turn();
            self.queue.at(at, Event::Datagram(text, to_front, datagram));
        }
    }

    fn datagram(&mut self, text: usize, to_front: bool, said: &str) {
        let now = self.queue.now();
        if !to_front {
            return self.text(text, |callers, out| callers.received(now, said, out));
        }
        let Some((front, input)) = self.text_input(text, said) else { return };
        let at = self.queued(front, Some(Node::Text(text)), true);
        self.tell_process(at, front, input);
    }

    /// What a front's core is told of a datagram of a text caller, if it runs.
    fn text_input(&self, text: usize, said: &str) -> Option<(usize, SessionInput)> {
        let front = self.texts.get(text).map(|(_, front, _)| *front)?;
        let bytes = said.as_bytes().to_vec();
        let input = SessionInput::Text { link: text_link(text), reliable: false, bytes };
        (!self.fronts[front].is_down()).then_some((front, input))
    }

    // --- fronts ---

    fn server_input(&mut self, front: usize, server: usize, input: PeerInput) {
        let now = self.queue.now();
        let mut did = Vec::new();
        self.fronts[front].server_input(now, server, input, &mut did);
        self.did(front, Node::ToServer(front, server), did);
    }

    fn client_input(&mut self, front: usize, link: LinkId, input: PeerInput) {
        let now = self.queue.now();
        let mut did = Vec::new();
        self.fronts[front].client_input(now, link, input, &mut did);
        self.did(front, Node::ToClient(front, link), did);
    }

    /// A link's task tells the core something.
    fn tell_core(&mut self, front: usize, task: Node, input: SessionInput) {
        let at = self.queued(front, Some(task), true);
        self.tell_process(at, front, input);
    }

    /// The front's process that runs now takes an input at a time, if it still runs then.
    fn tell_process(&mut self, at: Micros, front: usize, input: SessionInput) {
        let process = self.fronts[front].process();
        self.queue.at(at, Event::Core(front, process, Box::new(ToCore::Desk(input))));
    }

    /// Carries out what a link's task did.
    fn did(&mut self, front: usize, task: Node, did: Vec<Did>) {
        let (end, direction) = if matches!(task, Node::ToServer(..)) { (0, THERE) } else { (1, BACK) };
        for what in did {
            match (what, task) {
                (Did::Connect, Node::ToServer(_, server)) => {
                    let id = self.connect(End::FrontServer(front, server), End::Server(server));
                    self.fronts[front].servers[server].conn = Some(id);
                }
                (Did::Connect, _) => {}
                (Did::Send(id, message), _) => self.send(id, direction, message),
                (Did::Close(id), _) => self.close(id, end),
                (Did::Tell(input), _) => self.tell_core(front, task, input),
            }
        }
        self.arm(task);
    }

    fn core(&mut self, front: usize, input: Option<ToCore>) {
        if self.fronts[front].is_down() {
            return;
        }
        let now = self.queue.now();
        let (mut out, mut told) = (Vec::new(), Vec::new());
        self.fronts[front].core(now, input, &mut out, &mut told);
        told.into_iter().for_each(|moment| self.record(moment));
        for output in out {
            let task = match &output {
                SessionOutput::ToClient { link, .. } => Some(Node::ToClient(front, *link)),
                SessionOutput::ToServer { server, .. } | SessionOutput::Reply { server, .. } => {
                    self.fronts[front].place(*server).map(|server| Node::ToServer(front, server))
                }
                SessionOutput::ToFarEnd(data) => {
                    let far = self.far_at(data.dpc);
                    far.map(|far| Node::ToFar(front, far))
                }
                SessionOutput::Text { .. } | SessionOutput::ToFront { .. } => None,
            };
            let at = self.queued(front, task, false);
            self.queue.at(at, Event::Out(front, self.fronts[front].process(), Box::new(output)));
        }
        self.arm(Node::Core(front));
    }

    /// What the core sent leaves its link's queue.
    fn out(&mut self, front: usize, output: SessionOutput) {
        let mut did = Vec::new();
        match output {
            SessionOutput::ToClient { link, message } => {
                self.fronts[front].out_to_client(link, message, &mut did);
                self.did(front, Node::ToClient(front, link), did);
            }
            SessionOutput::ToServer { server, .. } | SessionOutput::Reply { server, .. } => {
                let Some(place) = self.fronts[front].place(server) else { return };
                self.fronts[front].out_to_server(self.queue.now(), output, &mut did);
                self.did(front, Node::ToServer(front, place), did);
            }
            SessionOutput::ToFarEnd(data) => {
                let Some(far) = self.far_at(data.dpc) else { return };
                if let Some(id) = self.conns.of(End::FrontFar(front, far)).last().copied() {
                    self.post(id, THERE, Parcel::Packet(data));
                }
            }
            SessionOutput::Text { link, text } => {
                if let Some(place) = (0..self.texts.len()).find(|place| text_link(*place) == link) {
                    self.relay(place, false, text);
                }
            }
            SessionOutput::ToFront { to, payload } => {
                let place = to as usize;
                self.record(RecordEvent::GossipSent { from: front as u32, to, bytes: payload.len() });
                let heard = place < self.fronts.len() && self.rng.random::<f64>() >= self.messages_lost;
                if heard && !self.is_severed(Place::Front(front), Place::Front(place)) {
                    let input = SessionInput::PeerMessage { from: front as u32, payload };
                    let at = self.queue.now() + self.turn() + self.turn();
                    self.tell_process(at, place, input);
                }
            }
        }
    }
}

/// A front dials a far end again after this.
const REDIAL: Micros = 100_000;

/// The link of a text caller's address, apart from Diameter's.
fn text_link(text: usize) -> LinkId {
    LinkId((1 << 32) + text as u64)
}
