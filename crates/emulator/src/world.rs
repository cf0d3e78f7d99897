//! Discrete-event simulation of fronts, servers, callers and the links between them, driven by one event
//! queue.
//!
//! Network and task delays are random, so that events which can occur in either order do so, depending on the
//! seed.

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
use crate::event_queue::EventQueue;
use crate::far_end::{FarEnd, FarEndInput, FarEndOutput, FarEndSpec};
use crate::front::{CoreInput, Front, TaskAction};
use crate::link::{Connections, Delivery, Endpoint, LinkFault, FORWARD, REVERSE};
use crate::offered_load::OfferedLoad;
use crate::server::{Command, ServerInput, ServerOutput, ServerSpec, SessionServer};
use crate::text::{datagram_events, TextCallers, TextOutput, TextSpec};

pub use faults::ProcessId;

/// Distribution of the delay of a network hop or of the scheduling of a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DelayModel {
    /// Minimum delay, microseconds.
    pub min: Micros,
    /// Upper bound of the uniformly distributed part that is added to `min`, microseconds.
    pub spread: Micros,
    /// One delay in this many is extended by up to `max_lateness`; 0 disables it.
    pub late_one_in: u32,
    /// Upper bound of the uniformly distributed extension of a late delay, microseconds.
    pub max_lateness: Micros,
}

impl Default for DelayModel {
    fn default() -> Self {
        Self { min: 5, spread: 150, late_one_in: 200, max_lateness: 8_000 }
    }
}

/// Components of a [`World`]. Fronts, callers and text callers are indexed by the ordinal of their front.
#[derive(Debug)]
pub struct WorldSpec {
    /// Configuration of each front, and the policy that replaces the default one, if any.
    pub fronts: Vec<(Config, Option<Box<dyn Policy>>)>,
    /// Session servers, in the order in which the fronts' configurations list them.
    pub servers: Vec<ServerSpec>,
    /// Far ends of trunk groups, in configuration order. Server indices continue from the session servers to
    /// these.
    pub far_ends: Vec<FarEndSpec>,
    /// Diameter callers, each with its seed.
    pub callers: Vec<(CallerSpec, u64)>,
    /// Text callers, each with its seed.
    pub text_callers: Vec<(TextSpec, u64)>,
    /// Initial offered load of all callers.
    pub offered_load: OfferedLoad,
    /// Indices of the servers whose links can be faulted.
    pub faulty_links: BTreeSet<usize>,
    /// One-way delay of those links, microseconds.
    pub link_delay: Micros,
    /// Share of text datagrams lost in each direction, 0 to 1.
    pub datagram_loss: f64,
    /// Seed of the world's random numbers.
    pub seed: u64,
    /// Delays of network hops and tasks.
    pub delays: DelayModel,
}

/// A component with timers: a process, or a task within a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    Server(usize),
    Callers(usize),
    Text(usize),
    Core(usize),
    ServerLink(usize, usize),
    ClientLink(usize, LinkId),
    FarEnd(usize),
    TrunkLink(usize, usize),
}

#[derive(Debug)]
enum Event {
    Wake(Task),
    /// A delivery arrives: connection, direction, epoch.
    Arrive(u64, usize, u32, Delivery),
    /// A connection attempt reaches the responder: connection.
    Connect(u64),
    /// A front reconnects to a far end: front, far end.
    ReconnectFarEnd(usize, usize),
    /// A connection was broken by a fault and closes at one end: connection, end.
    ForcedClose(u64, usize),
    /// The core of a front takes an input: front, process generation, input.
    CoreInput(usize, u32, Box<CoreInput>),
    /// An output of the core leaves a link's queue: front, process generation, output.
    CoreOutput(usize, u32, Box<SessionOutput>),
    /// A new process of a front starts.
    StartFront(usize),
    /// A datagram arrives: text caller, whether it goes to the front, text.
    Datagram(usize, bool, Arc<str>),
    /// A server list reaches a front; the events are recorded if the front applies it.
    PushList(usize, Box<PoolList>, Vec<RecordEvent>),
}

/// The simulation state; see the module documentation.
#[derive(Debug)]
pub struct World {
    queue: EventQueue<Event>,
    fronts: Vec<Front>,
    servers: Vec<SessionServer>,
    /// Far ends and their point codes.
    far_ends: Vec<(FarEnd, u32)>,
    callers: Vec<Callers>,
    /// Text callers, the index of their front, and their MID.
    text_callers: Vec<(TextCallers, usize, String)>,
    connections: Connections,
    /// Faults of links by server index.
    link_faults: BTreeMap<usize, LinkFault>,
    fault_state: faults::FaultState,
    /// Earliest pending wake-up of each task.
    wake_ups: BTreeMap<Task, Micros>,
    /// When the last entry of each queue between a front's tasks leaves; keeps the queues in order. The key
    /// is the front, the task, and whether the queue leads to the core.
    last_departure: BTreeMap<(usize, Option<Task>, bool), Micros>,
    datagram_loss: f64,
    gossip_loss: f64,
    rng: Pcg64Mcg,
    delays: DelayModel,
    record: Vec<RecordEntry>,
    event_count: u64,
}

impl World {
    /// Creates a world at time 0.
    ///
    /// # Errors
    /// If a front's engine rejects its configuration.
    pub fn new(spec: WorldSpec) -> Result<Self, EngineError> {
        let mut rng = Pcg64Mcg::seed_from_u64(spec.seed);
        let mut fronts = Vec::new();
        for (config, policy) in spec.fronts {
            fronts.push(Front::new(config, policy, 1, &mut rng)?);
        }
        let addresses = vec![[127, 0, 0, 1].into()];
        let fault = LinkFault { delay: spec.link_delay, ..LinkFault::default() };
        let (offered_load, lossy) = (spec.offered_load, spec.datagram_loss > 0.0);
        let mut world = Self {
            queue: EventQueue::default(),
            fronts,
            servers: Vec::new(),
            far_ends: Vec::new(),
            callers: Vec::new(),
            text_callers: Vec::new(),
            connections: Connections::default(),
            link_faults: spec.faulty_links.into_iter().map(|server| (server, fault)).collect(),
            fault_state: faults::FaultState::default(),
            wake_ups: BTreeMap::new(),
            last_departure: BTreeMap::new(),
            datagram_loss: spec.datagram_loss,
            gossip_loss: 0.0,
            delays: spec.delays,
            record: Vec::new(),
            event_count: 0,
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
            world.far_ends.push((FarEnd::new(far, seed), point));
        }
        for (caller, seed) in spec.callers {
            world.callers.push(Callers::new(caller, offered_load.clone(), seed));
        }
        for (text, seed) in spec.text_callers {
            let (front, mid) = (text.front as usize, text.mid.clone());
            if lossy {
                world.record(RecordEvent::Lossy { client: mid.clone() });
            }
            world.text_callers.push((TextCallers::new(text, offered_load.clone(), seed), front, mid));
        }
        for front in 0..world.fronts.len() {
            for server in 0..world.fronts[front].servers.len() {
                world.server_link_input(front, server, PeerInput::Start);
            }
            for far in 0..world.far_ends.len() {
                world.connect(Endpoint::FrontFarEnd(front, far), Endpoint::FarEnd(far));
            }
            world.arm(Task::Core(front));
        }
        (0..world.servers.len()).for_each(|server| world.arm(Task::Server(server)));
        Ok(world)
    }

    /// Starts the callers and the calls of the far ends.
    pub fn start_callers(&mut self) {
        (0..self.callers.len()).for_each(|callers| self.arm(Task::Callers(callers)));
        (0..self.text_callers.len()).for_each(|text| self.arm(Task::Text(text)));
        (0..self.far_ends.len()).for_each(|far| self.far_end_input(far, FarEndInput::Offer(1.0)));
    }

    /// Current virtual time.
    pub fn now(&self) -> Micros {
        self.queue.now()
    }

    /// Number of events processed so far.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Session layer of a front, for its counters.
    pub fn session_layer(&self, front: usize) -> Option<&SessionLayer> {
        self.fronts.get(front).map(Front::session_layer)
    }

    /// Record entries so far.
    pub fn record_entries(&self) -> &[RecordEntry] {
        &self.record
    }

    /// Consumes the world and returns its record.
    pub fn into_record(self) -> Vec<RecordEntry> {
        self.record
    }

    /// Appends an event to the record at the current time.
    pub fn record(&mut self, event: RecordEvent) {
        self.record.push(RecordEntry { at: self.queue.now(), event });
    }

    /// Processes all events up to the given time.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(event) = self.queue.pop_until(until) {
            self.event_count += 1;
            self.dispatch(event);
        }
    }

    // --- faults ---

    /// Applies a fault command to a server or far end.
    pub fn command(&mut self, server: usize, command: Command) {
        match server.checked_sub(self.servers.len()) {
            Some(far) => self.far_end_input(far, FarEndInput::Command(command)),
            None => self.server_input(server, ServerInput::Command(command)),
        }
    }

    /// Replaces the fault of the link to a server.
    pub fn set_link_fault(&mut self, server: usize, fault: LinkFault) {
        let Some(old) = self.link_faults.insert(server, fault) else { return };
        let far = server.checked_sub(self.servers.len()).and_then(|far| self.far_ends.get(far));
        if let (Some((far, _)), true) = (far, old.stalled_back != fault.stalled_back) {
            let (client, held) = (far.host().to_owned(), fault.stalled_back);
            self.record(RecordEvent::Held { client, held });
        }
        if fault.down && !old.down {
            for (id, _) in self.connections.take_link_down(server) {
                for end in [0, 1] {
                    let at = self.queue.now() + self.sample_delay();
                    self.queue.schedule(at, Event::ForcedClose(id, end));
                }
            }
        }
        if (old.stalled && !fault.stalled) || (old.stalled_back && !fault.stalled_back) {
            for (id, direction, delivery) in self.connections.release_stalled(server) {
                self.transmit(id, direction, delivery);
            }
        }
    }

    /// Changes the offered load of one front's callers, or of all callers.
    pub fn set_offered_load(&mut self, front: Option<usize>, offered_load: &OfferedLoad) {
        for (index, callers) in self.callers.iter_mut().enumerate() {
            if front.is_none_or(|front| front == index) {
                callers.set_offered_load(offered_load.clone());
            }
        }
        for (text, of, _) in &mut self.text_callers {
            if front.is_none_or(|front| front == *of) {
                text.set_offered_load(offered_load.clone());
            }
        }
        // A far end has one flow for all fronts, which follows the load of the first front.
        if front.is_none_or(|front| front == 0) {
            (0..self.far_ends.len())
                .for_each(|far| self.far_end_input(far, FarEndInput::Offer(offered_load.factor)));
        }
    }

    /// A far end, for its counters.
    pub fn far_end(&self, far: usize) -> Option<&FarEnd> {
        self.far_ends.get(far).map(|(far, _)| far)
    }

    /// Suspends a front's process for a time.
    pub fn stall_front(&mut self, front: usize, span: Micros) {
        if self.fronts.get(front).is_none_or(Front::is_down) {
            return;
        }
        self.record(RecordEvent::Stall { front: front as u32, us: span });
        let until = self.queue.now() + span;
        if let Some(front) = self.fronts.get_mut(front) {
            front.stalled_until = front.stalled_until.max(until);
        }
    }

    /// Sets the share of messages between fronts that is lost, 0 to 1.
    pub fn set_gossip_loss(&mut self, share: f64) {
        self.gossip_loss = share;
    }

    /// Schedules the arrival of a server list at a front; the events are recorded if the front applies it.
    pub fn push_list(&mut self, at: Micros, front: usize, list: PoolList, events: Vec<RecordEvent>) {
        self.queue.schedule(at, Event::PushList(front, Box::new(list), events));
    }

    // --- events ---

    /// Draws the delay of one network hop or one scheduling of a task.
    fn sample_delay(&mut self) -> Micros {
        let DelayModel { min, spread, late_one_in, max_lateness } = self.delays;
        let delay = min + self.rng.random_range(0..=spread);
        if late_one_in > 0 && self.rng.random_range(0..late_one_in) == 0 {
            return delay + self.rng.random_range(0..=max_lateness);
        }
        delay
    }

    /// When an entry added now leaves the queue between a front's task and its core. Entries keep their
    /// order.
    fn next_departure(&mut self, front: usize, task: Option<Task>, to_core: bool) -> Micros {
        let at = self.queue.now() + self.sample_delay();
        let last = self.last_departure.entry((front, task, to_core)).or_insert(0);
        *last = at.max(*last);
        *last
    }

    /// The front whose process handles an event, if any.
    fn target_front(&self, event: &Event) -> Option<usize> {
        let of_end = |end: Endpoint| match end {
            Endpoint::FrontServer(front, _)
            | Endpoint::FrontClient(front)
            | Endpoint::FrontFarEnd(front, _) => Some(front),
            Endpoint::Server(_) | Endpoint::Callers(_) | Endpoint::FarEnd(_) => None,
        };
        match event {
            Event::Wake(Task::Core(front) | Task::ServerLink(front, _) | Task::ClientLink(front, _)) => {
                Some(*front)
            }
            Event::CoreInput(front, ..) | Event::CoreOutput(front, ..) | Event::PushList(front, ..) => {
                Some(*front)
            }
            Event::ReconnectFarEnd(front, _) => Some(*front),
            Event::Datagram(text, true, _) => self.text_callers.get(*text).map(|(_, front, _)| *front),
            Event::Arrive(id, direction, ..) => {
                let connection = self.connections.get(*id)?;
                of_end(if *direction == FORWARD { connection.responder } else { connection.initiator })
            }
            Event::ForcedClose(id, end) => {
                let connection = self.connections.get(*id)?;
                of_end(if *end == 0 { connection.initiator } else { connection.responder })
            }
            Event::Wake(_) | Event::Connect(_) | Event::Datagram(..) | Event::StartFront(_) => None,
        }
    }

    /// Handles an event, or defers it while its front's process is suspended.
    fn dispatch(&mut self, event: Event) {
        let now = self.queue.now();
        // A suspended process handles nothing. What arrives meanwhile is handled in any order afterwards,
        // except that each connection and each queue keeps its own order.
        let stalled_until =
            self.target_front(&event).and_then(|front| self.fronts.get(front)).map(|f| f.stalled_until);
        if let Some(until) = stalled_until.filter(|until| now < *until) {
            let spread = match &event {
                Event::Arrive(id, ..) | Event::ForcedClose(id, _) => {
                    id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 53
                }
                Event::CoreInput(..) | Event::CoreOutput(..) => 0,
                _ => self.rng.random_range(0..2_048),
            };
            // A datagram waits in the socket buffer of the suspended process and is lost if that process is
            // killed.
            if let Event::Datagram(text, true, datagram) = &event {
                if let Some((front, input)) = self.text_input(*text, datagram) {
                    self.schedule_core_input(until + spread, front, input);
                }
                return;
            }
            return self.queue.schedule(until + spread, event);
        }
        match event {
            Event::Wake(task) => self.wake(task),
            Event::Arrive(id, direction, epoch, delivery) => self.arrive(id, direction, epoch, delivery),
            Event::Connect(id) => self.complete_connect(id),
            Event::ReconnectFarEnd(front, _) if self.fronts[front].is_down() => {}
            Event::ReconnectFarEnd(front, far) => {
                self.connect(Endpoint::FrontFarEnd(front, far), Endpoint::FarEnd(far));
            }
            Event::ForcedClose(id, end) => {
                let Some(connection) = self.connections.get(id).filter(|connection| connection.open[end])
                else {
                    return;
                };
                let at = if end == 0 { connection.initiator } else { connection.responder };
                self.close_end(id, end);
                self.connection_closed(id, at);
            }
            // The queues of a killed process are lost with it.
            Event::CoreInput(front, process, input) => {
                if self.fronts[front].is_running(process) {
                    self.run_core(front, Some(*input));
                }
            }
            Event::CoreOutput(front, process, output) => {
                if self.fronts[front].is_running(process) {
                    self.carry_core_output(front, *output);
                }
            }
            Event::StartFront(front) => self.start_front(front),
            Event::Datagram(text, to_front, datagram) => self.deliver_datagram(text, to_front, &datagram),
            Event::PushList(front, list, events) => {
                if let Some((list, events)) = self.accept_list(front, *list, events) {
                    self.run_core(front, Some(CoreInput::PoolList(list, events)));
                }
            }
        }
    }

    /// When a task's next timer is due.
    fn due(&self, task: Task) -> Micros {
        let now = self.queue.now();
        match task {
            Task::Server(server) => self.servers.get(server).map_or(Micros::MAX, SessionServer::due),
            Task::Callers(callers) => self.callers.get(callers).map_or(Micros::MAX, |c| c.due(now)),
            Task::Text(text) => self.text_callers.get(text).map_or(Micros::MAX, |(t, ..)| t.due(now)),
            Task::Core(front) => self.fronts[front].core_due(),
            Task::ServerLink(front, server) => self.fronts[front].server_due(server),
            Task::ClientLink(front, link) => self.fronts[front].client_due(link),
            Task::FarEnd(far) => self.far_ends.get(far).map_or(Micros::MAX, |(far, _)| far.due()),
            Task::TrunkLink(..) => Micros::MAX,
        }
    }

    /// Schedules a task's wake-up unless an earlier or equal one is pending.
    fn arm(&mut self, task: Task) {
        let due = self.due(task);
        if due == Micros::MAX || self.wake_ups.get(&task).is_some_and(|at| *at <= due) {
            return;
        }
        let at = due.max(self.queue.now());
        self.wake_ups.insert(task, at);
        self.queue.schedule(at, Event::Wake(task));
    }

    fn wake(&mut self, task: Task) {
        let now = self.queue.now();
        if self.wake_ups.get(&task).is_some_and(|at| *at <= now) {
            self.wake_ups.remove(&task);
        }
        if let Task::Core(front) | Task::ServerLink(front, _) | Task::ClientLink(front, _) = task {
            if self.fronts[front].is_down() {
                return;
            }
        }
        if self.due(task) > now {
            return self.arm(task);
        }
        match task {
            Task::Server(server) => self.server_input(server, ServerInput::Tick),
            Task::Callers(callers) => self.caller_input(callers, CallerInput::Tick),
            Task::Text(text) => self.with_text_callers(text, |callers, out| callers.tick(now, out)),
            Task::Core(front) => self.run_core(front, None),
            Task::ServerLink(front, server) => self.server_link_input(front, server, PeerInput::Tick),
            Task::ClientLink(front, link) => self.client_link_input(front, link, PeerInput::Tick),
            Task::FarEnd(far) => self.far_end_input(far, FarEndInput::Tick),
            Task::TrunkLink(..) => {}
        }
    }

    // --- connections ---

    fn current_fault(&self, id: u64) -> LinkFault {
        let link = self.connections.get(id).and_then(|connection| connection.link);
        self.with_blocked_paths(
            id,
            link.and_then(|link| self.link_faults.get(&link)).copied().unwrap_or_default(),
        )
    }

    /// Whether the connection's link itself is stalled, regardless of blocked paths.
    fn is_link_stalled(&self, id: u64) -> bool {
        let link = self.connections.get(id).and_then(|connection| connection.link);
        link.and_then(|link| self.link_faults.get(&link))
            .is_some_and(|fault| fault.stalled || fault.stalled_back)
    }

    /// Puts a delivery onto a connection.
    fn transmit(&mut self, id: u64, direction: usize, delivery: Delivery) {
        let (now, fault) = (self.queue.now(), self.current_fault(id));
        let delay = self.sample_delay() + fault.delay;
        self.record_entry(id, direction, &delivery, fault);
        if let Some((at, id, direction, epoch, delivery)) =
            self.connections.send(now, id, direction, delivery, fault, delay)
        {
            self.queue.schedule(at, Event::Arrive(id, direction, epoch, delivery));
        }
    }

    fn send(&mut self, id: u64, direction: usize, message: Message) {
        self.transmit(id, direction, Delivery::Message(Box::new(message)));
    }

    /// Closes one end; the other end is notified after everything sent before.
    fn close(&mut self, id: u64, end: usize) {
        if self.connections.get(id).is_some_and(|connection| connection.open[end]) {
            self.transmit(id, if end == 0 { FORWARD } else { REVERSE }, Delivery::Closed);
            self.close_end(id, end);
        }
    }

    /// Marks one end of a connection as closed. Records the server's link as down when it is the server's
    /// end.
    fn close_end(&mut self, id: u64, end: usize) {
        let ends = self
            .connections
            .get(id)
            .filter(|_| end == 1)
            .map(|connection| (connection.initiator, connection.responder));
        if let Some((Endpoint::FrontServer(front, _), Endpoint::Server(server))) = ends {
            self.record(RecordEvent::LinkDown { server: server as u16, front: front as u32 });
        }
        self.connections.close(id, end);
    }

    fn connect(&mut self, initiator: Endpoint, responder: Endpoint) -> u64 {
        let link = match responder {
            Endpoint::Server(server) if self.link_faults.contains_key(&server) => Some(server),
            Endpoint::FarEnd(far) => {
                Some(self.servers.len() + far).filter(|server| self.link_faults.contains_key(server))
            }
            _ => None,
        };
        let id = self.connections.open(initiator, responder, link);
        let at = self.queue.now() + self.sample_delay();
        self.queue.schedule(at, Event::Connect(id));
        id
    }

    fn complete_connect(&mut self, id: u64) {
        if self.retry_blocked_connect(id) {
            return;
        }
        let Some(connection) = self.connections.get(id) else { return };
        let (responder, open) = (connection.responder, connection.open[0]);
        let down = self.current_fault(id).down;
        let accepted = match responder {
            Endpoint::Server(server) => {
                !down && self.servers.get(server).is_some_and(SessionServer::is_listening)
            }
            Endpoint::FrontClient(front) => {
                !self.fronts[front].is_down() && self.fronts[front].accepted(id).is_some()
            }
            Endpoint::FarEnd(far) => !down && self.far_ends.get(far).is_some_and(|(far, _)| far.listens()),
            Endpoint::FrontServer(..) | Endpoint::Callers(_) | Endpoint::FrontFarEnd(..) => false,
        };
        let initiator = connection.initiator;
        if !accepted || !open {
            self.transmit(id, REVERSE, Delivery::Closed);
            self.connections.close(id, 1);
            return;
        }
        self.transmit(id, REVERSE, Delivery::Connected);
        if let (Endpoint::FrontServer(front, _), Endpoint::Server(server)) = (initiator, responder) {
            self.record(RecordEvent::LinkUp { server: server as u16, front: front as u32 });
            self.server_input(server, ServerInput::Accepted(id));
        }
        if let (Endpoint::FarEnd(far), Endpoint::FrontFarEnd(front, _)) = (responder, initiator) {
            self.far_end_input(far, FarEndInput::Up(front as u32));
        }
    }

    fn arrive(&mut self, id: u64, direction: usize, epoch: u32, delivery: Delivery) {
        let Some(connection) = self.connections.get(id) else { return };
        // The responder is end 1, the initiator end 0.
        let receiver = if direction == FORWARD { 1 } else { 0 };
        if !connection.open[receiver] || connection.epoch != epoch {
            return;
        }
        let at = if receiver == 1 { connection.responder } else { connection.initiator };
        match delivery {
            Delivery::Connected => match at {
                Endpoint::FrontServer(front, server) => {
                    self.server_link_input(front, server, PeerInput::Connected)
                }
                Endpoint::Callers(callers) => self.caller_input(callers, CallerInput::Connected),
                Endpoint::FrontFarEnd(front, far) => {
                    let point = self.far_ends[far].1;
                    self.notify_core(front, Task::TrunkLink(front, far), SessionInput::TrunkUp(point));
                }
                Endpoint::Server(_) | Endpoint::FrontClient(_) | Endpoint::FarEnd(_) => {}
            },
            Delivery::Packet(data) => match (at, connection.initiator) {
                (Endpoint::FarEnd(far), Endpoint::FrontFarEnd(front, _)) => {
                    self.far_end_input(far, FarEndInput::Received(front as u32, data));
                }
                (Endpoint::FrontFarEnd(front, far), _) => {
                    self.notify_core(front, Task::TrunkLink(front, far), SessionInput::TrunkPacket(data));
                }
                _ => {}
            },
            Delivery::Message(message) => self.deliver_message(id, at, *message),
            Delivery::Closed => {
                self.close_end(id, receiver);
                self.connection_closed(id, at);
            }
        }
    }

    fn deliver_message(&mut self, id: u64, at: Endpoint, message: Message) {
        let now = self.queue.now();
        match at {
            Endpoint::Server(server) => {
                self.server_input(server, ServerInput::Received(id, Frame::Valid(message)))
            }
            Endpoint::Callers(callers) => {
                self.caller_input(callers, CallerInput::Received(Frame::Valid(message)))
            }
            Endpoint::FrontServer(front, server) => {
                let input = PeerInput::Received(Side::Initiator, Frame::Valid(message));
                self.server_link_input(front, server, input);
            }
            Endpoint::FrontClient(front) => {
                let Some(link) = self.fronts[front].client_of_connection(id) else { return };
                let mut actions = Vec::new();
                self.fronts[front].client_message(now, link, message, &mut self.rng, &mut actions);
                self.run_actions(front, Task::ClientLink(front, link), actions);
            }
            Endpoint::FarEnd(_) | Endpoint::FrontFarEnd(..) => {}
        }
    }

    fn connection_closed(&mut self, id: u64, at: Endpoint) {
        match at {
            Endpoint::Server(server) => self.server_input(server, ServerInput::Closed(id)),
            Endpoint::Callers(callers) => self.caller_input(callers, CallerInput::Closed),
            Endpoint::FrontServer(front, server) => {
                let is_current =
                    self.fronts[front].servers.get(server).is_some_and(|s| s.connection == Some(id));
                if is_current {
                    // Recorded when the front learns of it: the server's process may have ended, and with it
                    // what was in transit to it.
                    self.record(RecordEvent::Disconnected { server: server as u16, front: front as u32 });
                    self.server_link_input(front, server, PeerInput::Disconnected(Side::Initiator));
                    self.server_link_input(front, server, PeerInput::ConnectFailed);
                }
            }
            Endpoint::FrontClient(front) => {
                if let Some(link) = self.fronts[front].client_of_connection(id) {
                    self.client_link_input(front, link, PeerInput::Disconnected(Side::Responder));
                }
            }
            Endpoint::FarEnd(far) => {
                // The far end's side is already closed: the affected fronts are those without another open
                // connection.
                let remaining = self.connections.held_by(Endpoint::FarEnd(far));
                let fronts = remaining.iter().filter_map(|id| match self.connections.get(*id)?.initiator {
                    Endpoint::FrontFarEnd(front, _) => Some(front),
                    _ => None,
                });
                let fronts: BTreeSet<_> = fronts.collect();
                for front in (0..self.fronts.len()).filter(|front| !fronts.contains(front)) {
                    self.far_end_input(far, FarEndInput::Down(front as u32));
                }
            }
            Endpoint::FrontFarEnd(front, far) => {
                let point = self.far_ends[far].1;
                self.notify_core(front, Task::TrunkLink(front, far), SessionInput::TrunkDown(point));
                let at = self.queue.now() + RECONNECT_DELAY + self.sample_delay();
                self.queue.schedule(at, Event::ReconnectFarEnd(front, far));
            }
        }
    }

    // --- models at the endpoints ---

    fn server_input(&mut self, server: usize, input: ServerInput) {
        let now = self.queue.now();
        let mut out = Vec::new();
        let Some(model) = self.servers.get_mut(server) else { return };
        model.handle(now, input, &mut out);
        for output in out {
            match output {
                ServerOutput::Send(id, message) => self.send(id, REVERSE, message),
                ServerOutput::Close(id) => self.close(id, 1),
                ServerOutput::Record(event) => self.record(event),
                ServerOutput::Stopped => {
                    self.connections
                        .held_by(Endpoint::Server(server))
                        .into_iter()
                        .for_each(|id| self.close(id, 1));
                }
                ServerOutput::Started => {}
            }
        }
        self.arm(Task::Server(server));
    }

    fn far_end_of_point(&self, point: u32) -> Option<usize> {
        self.far_ends.iter().position(|(_, other)| *other == point)
    }

    fn far_end_input(&mut self, far: usize, input: FarEndInput) {
        let now = self.queue.now();
        let mut out = Vec::new();
        let Some((model, _)) = self.far_ends.get_mut(far) else { return };
        model.handle(now, input, &mut out);
        for output in out {
            match output {
                FarEndOutput::Send(front, data) => {
                    let to = Endpoint::FrontFarEnd(front as usize, far);
                    let ids = self.connections.held_by(Endpoint::FarEnd(far));
                    let id = ids.into_iter().rev().find(|id| {
                        self.connections.get(*id).is_some_and(|connection| connection.initiator == to)
                    });
                    if let Some(id) = id {
                        self.transmit(id, REVERSE, Delivery::Packet(data));
                    }
                }
                FarEndOutput::Record(event) => self.record(event),
                FarEndOutput::Stopped => {
                    self.connections
                        .held_by(Endpoint::FarEnd(far))
                        .into_iter()
                        .for_each(|id| self.close(id, 1));
                }
                FarEndOutput::Started => {}
            }
        }
        self.arm(Task::FarEnd(far));
    }

    fn caller_input(&mut self, callers: usize, input: CallerInput) {
        let now = self.queue.now();
        let mut out = Vec::new();
        let Some(model) = self.callers.get_mut(callers) else { return };
        model.handle(now, input, &mut out);
        for output in out {
            let connection = self.connections.held_by(Endpoint::Callers(callers)).last().copied();
            match (output, connection) {
                (CallerOutput::Connect, _) => {
                    self.connect(Endpoint::Callers(callers), Endpoint::FrontClient(callers));
                }
                (CallerOutput::Send(message), Some(id)) => self.send(id, FORWARD, message),
                (CallerOutput::Close, Some(id)) => self.close(id, 0),
                (CallerOutput::Record(event), _) => self.record(event),
                (CallerOutput::Send(_) | CallerOutput::Close, None) => {}
            }
        }
        self.arm(Task::Callers(callers));
    }

    fn with_text_callers(&mut self, text: usize, act: impl FnOnce(&mut TextCallers, &mut Vec<TextOutput>)) {
        let mut out = Vec::new();
        let Some((callers, ..)) = self.text_callers.get_mut(text) else { return };
        act(callers, &mut out);
        for output in out {
            match output {
                TextOutput::Send(datagram) => self.send_datagram(text, true, datagram),
                TextOutput::Record(event) => self.record(event),
            }
        }
        self.arm(Task::Text(text));
    }

    /// Sends a datagram or loses it, and records which if losses are configured.
    fn send_datagram(&mut self, text: usize, to_front: bool, datagram: Arc<str>) {
        let lost = self.rng.random::<f64>() < self.datagram_loss;
        if self.datagram_loss > 0.0 {
            let Some((_, _, client)) = self.text_callers.get(text) else { return };
            for event in datagram_events(client, to_front, &datagram, lost) {
                self.record(event);
            }
        }
        if !lost {
            let at = self.queue.now() + self.sample_delay() + self.sample_delay();
            self.queue.schedule(at, Event::Datagram(text, to_front, datagram));
        }
    }

    fn deliver_datagram(&mut self, text: usize, to_front: bool, datagram: &str) {
        let now = self.queue.now();
        if !to_front {
            return self.with_text_callers(text, |callers, out| callers.received(now, datagram, out));
        }
        let Some((front, input)) = self.text_input(text, datagram) else { return };
        let at = self.next_departure(front, Some(Task::Text(text)), true);
        self.schedule_core_input(at, front, input);
    }

    /// Core input for a datagram from a text caller; `None` if its front is down.
    fn text_input(&self, text: usize, datagram: &str) -> Option<(usize, SessionInput)> {
        let front = self.text_callers.get(text).map(|(_, front, _)| *front)?;
        let bytes = datagram.as_bytes().to_vec();
        let input = SessionInput::Text { link: text_link(text), reliable: false, bytes };
        (!self.fronts[front].is_down()).then_some((front, input))
    }

    // --- fronts ---

    fn server_link_input(&mut self, front: usize, server: usize, input: PeerInput) {
        let now = self.queue.now();
        let mut actions = Vec::new();
        self.fronts[front].server_input(now, server, input, &mut actions);
        self.run_actions(front, Task::ServerLink(front, server), actions);
    }

    fn client_link_input(&mut self, front: usize, link: LinkId, input: PeerInput) {
        let now = self.queue.now();
        let mut actions = Vec::new();
        self.fronts[front].client_input(now, link, input, &mut actions);
        self.run_actions(front, Task::ClientLink(front, link), actions);
    }

    /// Queues an input from a link's task to the core.
    fn notify_core(&mut self, front: usize, task: Task, input: SessionInput) {
        let at = self.next_departure(front, Some(task), true);
        self.schedule_core_input(at, front, input);
    }

    /// Schedules a core input for the front's current process; it is dropped if that process has ended by
    /// then.
    fn schedule_core_input(&mut self, at: Micros, front: usize, input: SessionInput) {
        let process = self.fronts[front].generation();
        self.queue.schedule(at, Event::CoreInput(front, process, Box::new(CoreInput::Session(input))));
    }

    /// Performs the actions of a link's task.
    fn run_actions(&mut self, front: usize, task: Task, actions: Vec<TaskAction>) {
        let (end, direction) = if matches!(task, Task::ServerLink(..)) { (0, FORWARD) } else { (1, REVERSE) };
        for action in actions {
            match (action, task) {
                (TaskAction::Connect, Task::ServerLink(_, server)) => {
                    let id = self.connect(Endpoint::FrontServer(front, server), Endpoint::Server(server));
                    self.fronts[front].servers[server].connection = Some(id);
                }
                (TaskAction::Connect, _) => {}
                (TaskAction::Send(id, message), _) => self.send(id, direction, message),
                (TaskAction::Close(id), _) => self.close(id, end),
                (TaskAction::NotifyCore(input), _) => self.notify_core(front, task, input),
            }
        }
        self.arm(task);
    }

    fn run_core(&mut self, front: usize, input: Option<CoreInput>) {
        if self.fronts[front].is_down() {
            return;
        }
        let now = self.queue.now();
        let (mut out, mut events) = (Vec::new(), Vec::new());
        self.fronts[front].run_core(now, input, &mut out, &mut events);
        events.into_iter().for_each(|event| self.record(event));
        for output in out {
            let task = match &output {
                SessionOutput::ToClient { link, .. } => Some(Task::ClientLink(front, *link)),
                SessionOutput::ToServer { server, .. } | SessionOutput::Reply { server, .. } => {
                    self.fronts[front].server_index(*server).map(|server| Task::ServerLink(front, server))
                }
                SessionOutput::ToFarEnd(data) => {
                    let far = self.far_end_of_point(data.dpc);
                    far.map(|far| Task::TrunkLink(front, far))
                }
                SessionOutput::Text { .. } | SessionOutput::ToFront { .. } => None,
            };
            let at = self.next_departure(front, task, false);
            self.queue
                .schedule(at, Event::CoreOutput(front, self.fronts[front].generation(), Box::new(output)));
        }
        self.arm(Task::Core(front));
    }

    /// Performs an output of the core as it leaves its link's queue.
    fn carry_core_output(&mut self, front: usize, output: SessionOutput) {
        let mut actions = Vec::new();
        match output {
            SessionOutput::ToClient { link, message } => {
                self.fronts[front].send_to_client(link, message, &mut actions);
                self.run_actions(front, Task::ClientLink(front, link), actions);
            }
            SessionOutput::ToServer { server, .. } | SessionOutput::Reply { server, .. } => {
                let Some(index) = self.fronts[front].server_index(server) else { return };
                self.fronts[front].send_to_server(self.queue.now(), output, &mut actions);
                self.run_actions(front, Task::ServerLink(front, index), actions);
            }
            SessionOutput::ToFarEnd(data) => {
                let Some(far) = self.far_end_of_point(data.dpc) else { return };
                if let Some(id) = self.connections.held_by(Endpoint::FrontFarEnd(front, far)).last().copied()
                {
                    self.transmit(id, FORWARD, Delivery::Packet(data));
                }
            }
            SessionOutput::Text { link, text } => {
                if let Some(index) = (0..self.text_callers.len()).find(|index| text_link(*index) == link) {
                    self.send_datagram(index, false, text);
                }
            }
            SessionOutput::ToFront { to, payload } => {
                let peer = to as usize;
                self.record(RecordEvent::GossipSent { from: front as u32, to, bytes: payload.len() });
                let delivered = peer < self.fronts.len() && self.rng.random::<f64>() >= self.gossip_loss;
                if delivered && !self.is_blocked(ProcessId::Front(front), ProcessId::Front(peer)) {
                    let input = SessionInput::PeerMessage { from: front as u32, payload };
                    let at = self.queue.now() + self.sample_delay() + self.sample_delay();
                    self.schedule_core_input(at, peer, input);
                }
            }
        }
    }
}

/// Delay before a front reconnects to a far end, microseconds.
const RECONNECT_DELAY: Micros = 100_000;

/// Link id of a text caller, disjoint from those of Diameter clients.
fn text_link(text: usize) -> LinkId {
    LinkId((1 << 32) + text as u64)
}
