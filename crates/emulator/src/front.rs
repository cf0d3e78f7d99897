//! A front in virtual time: the production session layer, peers and admission, with the service's tasks
//! around them modelled as queues with random delays.

use std::collections::BTreeMap;
use std::sync::Arc;

use baydrift::interface::Micros;
use baydrift_audit::RecordEvent;
use baydrift_call::{EngineError, LinkId, Policy};
use baydrift_config::Config;
use baydrift_desk::{
    local_capabilities, Admission, ClientLink, LinkOutput, PoolList, ProcessIdentity, SendDecision,
    ServerLink, SessionInput, SessionLayer, SessionOutput, StallMonitor, CATCH_UP,
};
use baydrift_diameter::{Frame, Local, Message, PeerInput, Side};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Input of a front's core.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CoreInput {
    /// An input of the session layer.
    Session(SessionInput),
    /// A server list, and the events to record if it is applied.
    PoolList(PoolList, Vec<RecordEvent>),
}

/// Connection of a client to the front.
#[derive(Debug)]
struct Client {
    connection: u64,
    /// `None` until the client's CER is accepted.
    link: Option<ClientLink>,
}

/// Link to a server, and its current connection.
#[derive(Debug)]
pub(crate) struct Server {
    link: ServerLink,
    pub(crate) connection: Option<u64>,
}

/// Action that a link's task requests.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum TaskAction {
    /// Open a connection to the server.
    Connect,
    /// Send a message on a connection.
    Send(u64, Message),
    /// Close a connection.
    Close(u64),
    /// Pass an input to the core.
    NotifyCore(SessionInput),
}

/// The state of one front's process; see the module documentation.
#[derive(Debug)]
pub(crate) struct Front {
    config: Config,
    local: Arc<Local>,
    session_layer: SessionLayer,
    stall_monitor: StallMonitor,
    /// After a stall of the process, the core only queues its inputs until this time.
    catch_up_until: Option<Micros>,
    pending_inputs: Vec<CoreInput>,
    admission: Admission,
    pub(crate) servers: Vec<Server>,
    clients: BTreeMap<LinkId, Client>,
    next_link: u64,
    pub(crate) stalled_until: Micros,
    /// Number of processes started so far, including the current one.
    generation: u32,
    /// Whether no process runs.
    down: bool,
}

impl Front {
    pub(crate) fn new(
        config: Config,
        policy: Option<Box<dyn Policy>>,
        boot: u32,
        rng: &mut Pcg64Mcg,
    ) -> Result<Self, EngineError> {
        let seed = config.seed.unwrap_or_else(|| rng.random());
        let session_layer = match policy {
            Some(policy) => SessionLayer::with_policy(&config, ProcessIdentity::numbered(boot), policy)?,
            None => SessionLayer::new(&config, ProcessIdentity::numbered(boot), seed)?,
        };
        let local = local_capabilities(&config, config.listen.ip(), boot);
        let link =
            |server| ServerLink::new(server, local.clone(), config.watchdog, rng.random(), rng.random());
        let links: Vec<_> = config.servers.iter().map(link).collect();
        Ok(Self {
            servers: links.into_iter().map(|link| Server { link, connection: None }).collect(),
            admission: Admission::new(&config),
            config,
            local,
            session_layer,
            stall_monitor: StallMonitor::default(),
            catch_up_until: None,
            pending_inputs: Vec::new(),
            clients: BTreeMap::new(),
            next_link: 1,
            stalled_until: 0,
            generation: boot,
            down: false,
        })
    }

    /// Generation of the current or last process.
    pub(crate) fn generation(&self) -> u32 {
        self.generation
    }

    /// Whether the process of this generation is running.
    pub(crate) fn is_running(&self, generation: u32) -> bool {
        !self.down && self.generation == generation
    }

    pub(crate) fn is_down(&self) -> bool {
        self.down
    }

    /// Kills the process.
    pub(crate) fn terminate(&mut self) {
        (self.down, self.stalled_until) = (true, 0);
    }

    /// Starts a new process without any state of the previous one.
    pub(crate) fn restart(&mut self, now: Micros, rng: &mut Pcg64Mcg) -> Result<(), EngineError> {
        *self = Self::new(self.config.clone(), None, self.generation + 1, rng)?;
        self.session_layer.set_start_time(now);
        Ok(())
    }

    pub(crate) fn session_layer(&self) -> &SessionLayer {
        &self.session_layer
    }

    // --- the core ---

    /// When the core needs its next wake-up.
    pub(crate) fn core_due(&self) -> Micros {
        self.catch_up_until.unwrap_or_else(|| self.stall_monitor.due(&self.session_layer))
    }

    /// Runs the core with an input, or without one at a wake-up.
    pub(crate) fn run_core(
        &mut self,
        now: Micros,
        input: Option<CoreInput>,
        out: &mut Vec<SessionOutput>,
        events: &mut Vec<RecordEvent>,
    ) {
        self.pending_inputs.extend(input);
        if self.catch_up_until.is_some_and(|until| now < until) {
            return;
        }
        if self.catch_up_until.take().is_none()
            && self.stall_monitor.record_wake_up(now, &mut self.session_layer)
        {
            self.catch_up_until = Some(now + CATCH_UP);
            return;
        }
        for input in std::mem::take(&mut self.pending_inputs) {
            match input {
                CoreInput::Session(input) => self.session_layer.handle(now, input, out),
                // A rejected list, such as an outdated one, leaves the last valid one in effect.
                CoreInput::PoolList(list, list_events) => {
                    if self.session_layer.apply_pool_list(now, &list, out).is_ok() {
                        events.extend(list_events);
                    }
                }
            }
        }
        self.session_layer.handle(now, SessionInput::Tick, out);
    }

    // --- server links ---

    pub(crate) fn server_due(&self, server: usize) -> Micros {
        self.servers.get(server).map_or(Micros::MAX, |s| s.link.due())
    }

    pub(crate) fn server_input(
        &mut self,
        now: Micros,
        server: usize,
        input: PeerInput,
        actions: &mut Vec<TaskAction>,
    ) {
        let Some(server) = self.servers.get_mut(server) else { return };
        if matches!(input, PeerInput::Disconnected(_) | PeerInput::ConnectFailed) {
            server.connection = None;
        }
        let mut out = Vec::new();
        server.link.handle(now, input, &mut out);
        for output in out {
            match (output, server.connection) {
                (LinkOutput::Connect, _) => actions.push(TaskAction::Connect),
                (LinkOutput::Send(Side::Initiator, message), Some(connection)) => {
                    actions.push(TaskAction::Send(connection, message));
                }
                (LinkOutput::Close(Side::Initiator, _) | LinkOutput::Down, Some(connection)) => {
                    server.connection = None;
                    actions.push(TaskAction::Close(connection));
                }
                (LinkOutput::Session(input), _) => actions.push(TaskAction::NotifyCore(input)),
                _ => {}
            }
        }
    }

    /// Sends a core output to a server as it leaves the task's queue.
    pub(crate) fn send_to_server(
        &mut self,
        now: Micros,
        output: SessionOutput,
        actions: &mut Vec<TaskAction>,
    ) {
        let (server, message) = match output {
            SessionOutput::ToServer { server, attempt, kind, message, at } => {
                let Some(index) = self.server_index(server) else { return };
                match self.servers[index].link.request(now, at, (attempt, kind), message) {
                    SendDecision::Send(_, message) => (index, Some(message)),
                    SendDecision::NoTransport => (index, None),
                    SendDecision::Expired(input) => return actions.push(TaskAction::NotifyCore(input)),
                }
            }
            SessionOutput::Reply { server, message } => {
                let Some(index) = self.server_index(server) else { return };
                (index, self.servers[index].link.side().map(|_| message))
            }
            _ => return,
        };
        if let (Some(message), Some(connection)) = (message, self.servers[server].connection) {
            actions.push(TaskAction::Send(connection, message));
        }
    }

    /// Index of a server by its link id.
    pub(crate) fn server_index(&self, server: u64) -> Option<usize> {
        self.servers.iter().position(|s| s.link.id() == server)
    }

    // --- client links ---

    /// Registers an accepted client connection; `None` if the connection limit is reached.
    pub(crate) fn accepted(&mut self, connection: u64) -> Option<LinkId> {
        let link = LinkId(self.next_link);
        self.next_link += 1;
        self.admission.accept(link).then(|| {
            self.clients.insert(link, Client { connection, link: None });
            link
        })
    }

    pub(crate) fn client_of_connection(&self, connection: u64) -> Option<LinkId> {
        self.clients.iter().find(|(_, client)| client.connection == connection).map(|(link, _)| *link)
    }

    pub(crate) fn client_due(&self, link: LinkId) -> Micros {
        let link = self.clients.get(&link).and_then(|client| client.link.as_ref());
        link.map_or(Micros::MAX, ClientLink::due)
    }

    pub(crate) fn client_message(
        &mut self,
        now: Micros,
        id: LinkId,
        message: Message,
        rng: &mut Pcg64Mcg,
        actions: &mut Vec<TaskAction>,
    ) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.link.is_some() {
            return self.client_input(
                now,
                id,
                PeerInput::Received(Side::Responder, Frame::Valid(message)),
                actions,
            );
        }
        match self.admission.admit(id, &message, &self.local) {
            Ok(opened) => {
                let (local, seed) = (self.local.clone(), rng.random());
                client.link = Some(ClientLink::new(id, local, self.config.watchdog, rng.random(), seed));
                actions.push(TaskAction::NotifyCore(SessionInput::ClientUp { link: id, client: opened }));
                self.client_input(now, id, PeerInput::Accepted(message), actions);
            }
            Err(fault) => {
                let answer = Message::error_answer(&message, &fault, &self.local.host, &self.local.realm);
                actions.push(TaskAction::Send(client.connection, answer));
                actions.push(TaskAction::Close(client.connection));
                self.clients.remove(&id);
                self.admission.close(id);
            }
        }
    }

    pub(crate) fn client_input(
        &mut self,
        now: Micros,
        id: LinkId,
        input: PeerInput,
        actions: &mut Vec<TaskAction>,
    ) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let Some(link) = &mut client.link else {
            if matches!(input, PeerInput::Disconnected(_)) {
                self.clients.remove(&id);
                self.admission.close(id);
            }
            return;
        };
        let mut out = Vec::new();
        link.handle(now, input, &mut out);
        for output in out {
            match output {
                LinkOutput::Send(_, message) => actions.push(TaskAction::Send(client.connection, message)),
                LinkOutput::Session(input) => actions.push(TaskAction::NotifyCore(input)),
                _ => {}
            }
        }
        if !link.is_open() {
            actions.push(TaskAction::Close(client.connection));
            actions.push(TaskAction::NotifyCore(SessionInput::ClientDown(id)));
            self.clients.remove(&id);
            self.admission.close(id);
        }
    }

    /// Sends a core output to a client as it leaves the task's queue.
    pub(crate) fn send_to_client(&mut self, id: LinkId, message: Message, actions: &mut Vec<TaskAction>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if let Some(link) = &mut client.link {
            actions.push(TaskAction::Send(client.connection, link.outgoing(message)));
        }
    }
}
