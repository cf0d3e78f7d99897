//! A front in virtual time: the real desk, peers and doors, with the tasks that a service has around them as
//! queues whose delays are drawn.

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

/// What the core is told.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ToCore {
    Desk(SessionInput),
    /// A list, and what it makes true if it is taken.
    Pool(PoolList, Vec<RecordEvent>),
}

/// A client's link as the front holds it.
#[derive(Debug)]
struct Client {
    conn: u64,
    /// `None` until its CER came.
    link: Option<ClientLink>,
}

/// A server's link, and its transport.
#[derive(Debug)]
pub(crate) struct Server {
    link: ServerLink,
    pub(crate) conn: Option<u64>,
}

/// What a link's task did.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Did {
    /// Opened a transport to its server.
    Connect,
    /// Sent.
    Send(u64, Message),
    /// Closed.
    Close(u64),
    /// Told the core.
    Tell(SessionInput),
}

/// See the module's page.
#[derive(Debug)]
pub(crate) struct Front {
    config: Config,
    local: Arc<Local>,
    desk: SessionLayer,
    stalls: StallMonitor,
    /// Until then the core only reads, after an own stall.
    catching: Option<Micros>,
    read: Vec<ToCore>,
    doors: Admission,
    pub(crate) servers: Vec<Server>,
    clients: BTreeMap<LinkId, Client>,
    next_link: u64,
    pub(crate) stalled_until: Micros,
    /// How many processes there were, and whether one runs.
    process: u32,
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
        let desk = match policy {
            Some(policy) => SessionLayer::with_policy(&config, ProcessIdentity::numbered(boot), policy)?,
            None => SessionLayer::new(&config, ProcessIdentity::numbered(boot), seed)?,
        };
        let local = local_capabilities(&config, config.listen.ip(), boot);
        let link =
            |server| ServerLink::new(server, local.clone(), config.watchdog, rng.random(), rng.random());
        let links: Vec<_> = config.servers.iter().map(link).collect();
        Ok(Self {
            servers: links.into_iter().map(|link| Server { link, conn: None }).collect(),
            doors: Admission::new(&config),
            config,
            local,
            desk,
            stalls: StallMonitor::default(),
            catching: None,
            read: Vec::new(),
            clients: BTreeMap::new(),
            next_link: 1,
            stalled_until: 0,
            process: boot,
            down: false,
        })
    }

    /// The count of the process that runs, or ran last.
    pub(crate) fn process(&self) -> u32 {
        self.process
    }

    /// Whether this process still runs.
    pub(crate) fn runs(&self, process: u32) -> bool {
        !self.down && self.process == process
    }

    pub(crate) fn is_down(&self) -> bool {
        self.down
    }

    /// The process is killed.
    pub(crate) fn go_down(&mut self) {
        (self.down, self.stalled_until) = (true, 0);
    }

    /// Another process, which knows nothing of the one before.
    pub(crate) fn start_anew(&mut self, now: Micros, rng: &mut Pcg64Mcg) -> Result<(), EngineError> {
        *self = Self::new(self.config.clone(), None, self.process + 1, rng)?;
        self.desk.set_start_time(now);
        Ok(())
    }

    pub(crate) fn desk(&self) -> &SessionLayer {
        &self.desk
    }

    // --- the core ---

    /// When the core wants to wake.
    pub(crate) fn core_due(&self) -> Micros {
        self.catching.unwrap_or_else(|| self.stalls.due(&self.desk))
    }

    /// The core takes an input, or wakes.
    pub(crate) fn core(
        &mut self,
        now: Micros,
        input: Option<ToCore>,
        out: &mut Vec<SessionOutput>,
        told: &mut Vec<RecordEvent>,
    ) {
        self.read.extend(input);
        if self.catching.is_some_and(|until| now < until) {
            return;
        }
        if self.catching.take().is_none() && self.stalls.record_wake_up(now, &mut self.desk) {
            self.catching = Some(now + CATCH_UP);
            return;
        }
        for input in std::mem::take(&mut self.read) {
            match input {
                ToCore::Desk(input) => self.desk.handle(now, input, out),
                // One that is turned down, as an older one is, leaves the last good one.
                ToCore::Pool(list, moments) => {
                    if self.desk.apply_pool_list(now, &list, out).is_ok() {
                        told.extend(moments);
                    }
                }
            }
        }
        self.desk.handle(now, SessionInput::Tick, out);
    }

    // --- server links ---

    pub(crate) fn server_due(&self, server: usize) -> Micros {
        self.servers.get(server).map_or(Micros::MAX, |s| s.link.due())
    }

    pub(crate) fn server_input(&mut self, now: Micros, server: usize, input: PeerInput, did: &mut Vec<Did>) {
        let Some(server) = self.servers.get_mut(server) else { return };
        if matches!(input, PeerInput::Disconnected(_) | PeerInput::ConnectFailed) {
            server.conn = None;
        }
        let mut out = Vec::new();
        server.link.handle(now, input, &mut out);
        for output in out {
            match (output, server.conn) {
                (LinkOutput::Connect, _) => did.push(Did::Connect),
                (LinkOutput::Send(Side::Initiator, message), Some(conn)) => {
                    did.push(Did::Send(conn, message));
                }
                (LinkOutput::Close(Side::Initiator, _) | LinkOutput::Down, Some(conn)) => {
                    server.conn = None;
                    did.push(Did::Close(conn));
                }
                (LinkOutput::Session(input), _) => did.push(Did::Tell(input)),
                _ => {}
            }
        }
    }

    /// What the core sends to a server leaves its task's queue.
    pub(crate) fn out_to_server(&mut self, now: Micros, output: SessionOutput, did: &mut Vec<Did>) {
        let (server, message) = match output {
            SessionOutput::ToServer { server, attempt, kind, message, at } => {
                let Some(place) = self.place(server) else { return };
                match self.servers[place].link.request(now, at, (attempt, kind), message) {
                    SendDecision::Send(_, message) => (place, Some(message)),
                    SendDecision::NoTransport => (place, None),
                    SendDecision::Expired(input) => return did.push(Did::Tell(input)),
                }
            }
            SessionOutput::Reply { server, message } => {
                let Some(place) = self.place(server) else { return };
                (place, self.servers[place].link.side().map(|_| message))
            }
            _ => return,
        };
        if let (Some(message), Some(conn)) = (message, self.servers[server].conn) {
            did.push(Did::Send(conn, message));
        }
    }

    pub(crate) fn place(&self, server: u64) -> Option<usize> {
        self.servers.iter().position(|s| s.link.id() == server)
    }

    // --- client links ---

    /// A client's transport was accepted: its link, or nothing where there is no room.
    pub(crate) fn accepted(&mut self, conn: u64) -> Option<LinkId> {
        let link = LinkId(self.next_link);
        self.next_link += 1;
        self.doors.accept(link).then(|| {
            self.clients.insert(link, Client { conn, link: None });
            link
        })
    }

    pub(crate) fn link_of(&self, conn: u64) -> Option<LinkId> {
        self.clients.iter().find(|(_, client)| client.conn == conn).map(|(link, _)| *link)
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
        did: &mut Vec<Did>,
    ) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.link.is_some() {
            return self.client_input(
                now,
                id,
                PeerInput::Received(Side::Responder, Frame::Valid(message)),
                did,
            );
        }
        match self.doors.admit(id, &message, &self.local) {
            Ok(opened) => {
                let (local, seed) = (self.local.clone(), rng.random());
                client.link = Some(ClientLink::new(id, local, self.config.watchdog, rng.random(), seed));
                did.push(Did::Tell(SessionInput::ClientUp { link: id, client: opened }));
                self.client_input(now, id, PeerInput::Accepted(message), did);
            }
            Err(fault) => {
                let refusal = Message::error_answer(&message, &fault, &self.local.host, &self.local.realm);
                did.push(Did::Send(client.conn, refusal));
                did.push(Did::Close(client.conn));
                self.clients.remove(&id);
                self.doors.close(id);
            }
        }
    }

    pub(crate) fn client_input(&mut self, now: Micros, id: LinkId, input: PeerInput, did: &mut Vec<Did>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let Some(link) = &mut client.link else {
            if matches!(input, PeerInput::Disconnected(_)) {
                self.clients.remove(&id);
                self.doors.close(id);
            }
            return;
        };
        let mut out = Vec::new();
        link.handle(now, input, &mut out);
        for output in out {
            match output {
                LinkOutput::Send(_, message) => did.push(Did::Send(client.conn, message)),
                LinkOutput::Session(input) => did.push(Did::Tell(input)),
                _ => {}
            }
        }
        if !link.is_open() {
            did.push(Did::Close(client.conn));
            did.push(Did::Tell(SessionInput::ClientDown(id)));
            self.clients.remove(&id);
            self.doors.close(id);
        }
    }

    /// What the core sends to a client leaves its task's queue.
    pub(crate) fn out_to_client(&mut self, id: LinkId, message: Message, did: &mut Vec<Did>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if let Some(link) = &mut client.link {
            did.push(Did::Send(client.conn, link.outgoing(message)));
        }
    }
}
