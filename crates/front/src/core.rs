//! The core task, which owns the desk: passes inputs and timers to it and dispatches its outputs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use baydrift::interface::{Micros, ServerId};
use baydrift_call::{AttemptId, LinkId};
use baydrift_desk::{
    AdmittedClient, PoolError, PoolList, RequestKind, SessionInput, SessionLayer, SessionOutput,
    StallMonitor, CATCH_UP,
};
use baydrift_diameter::Message;
use baydrift_isup::Data;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};

use crate::text::Datagram;
use crate::{fleet, Shared, Snapshot, Spent};

/// Messages from the other tasks to the core.
pub(crate) enum CoreMessage {
    /// A client connection is open; the sender takes messages for it.
    ClientUp(LinkId, AdmittedClient, mpsc::Sender<LinkMessage>),
    /// A text client's TCP connection is open; the sender takes texts for it.
    TextUp(LinkId, mpsc::Sender<Arc<str>>),
    /// An input that is passed to the desk.
    Desk(SessionInput),
    /// A pushed pool list; the result is returned to the list service.
    Pool(PoolList, oneshot::Sender<Result<(), PoolError>>),
    /// Requests the state of the trunk groups.
    Circuits(oneshot::Sender<serde_json::Value>),
    /// Requests the membership of the fleet and the shared budgets.
    Fleet(oneshot::Sender<serde_json::Value>),
    /// Requests the counters and current state.
    Snapshot(oneshot::Sender<Snapshot>),
    /// Requests a graceful shutdown.
    Stop {
        /// Time limit of the shutdown.
        timeout: Duration,
        /// Notified when the links are closed or the time limit is reached.
        done: oneshot::Sender<()>,
    },
}

/// Messages from the core to the task of a client or server link.
pub(crate) enum LinkMessage {
    /// Sends a message; a request gets a new Hop-by-Hop Identifier.
    Send(Message),
    /// Sends an attempt's request that the desk issued at this time.
    Request(Micros, (AttemptId, RequestKind), Message),
    /// Sends DPR and closes the link.
    Stop,
}

/// Inputs handled at most before timers and outputs are processed.
const BATCH: usize = 256;

/// State of the core task.
struct Core {
    shared: Arc<Shared>,
    desk: SessionLayer,
    clients: BTreeMap<LinkId, mpsc::Sender<LinkMessage>>,
    servers: BTreeMap<ServerId, mpsc::Sender<LinkMessage>>,
    text_connections: BTreeMap<LinkId, mpsc::Sender<Arc<str>>>,
    /// Signalling links, by the point code of the far end.
    far_end_links: BTreeMap<u32, mpsc::Sender<Data>>,
    datagrams: Option<mpsc::Sender<Datagram>>,
    fleet: Option<Arc<UdpSocket>>,
    out: Vec<SessionOutput>,
    stopping: Option<(Instant, Option<oneshot::Sender<()>>)>,
    spent: Spent,
}

pub(crate) async fn run(
    shared: Arc<Shared>,
    desk: SessionLayer,
    mut inputs: mpsc::Receiver<CoreMessage>,
    servers: BTreeMap<ServerId, mpsc::Sender<LinkMessage>>,
    far_end_links: BTreeMap<u32, mpsc::Sender<Data>>,
    datagrams: Option<mpsc::Sender<Datagram>>,
    fleet: Option<Arc<UdpSocket>>,
) {
    let clock = shared.clock;
    let spent = Spent::default();
    let mut core = Core {
        shared,
        desk,
        clients: BTreeMap::new(),
        servers,
        text_connections: BTreeMap::new(),
        far_end_links,
        datagrams,
        fleet,
        out: Vec::new(),
        stopping: None,
        spent,
    };
    let mut batch = Vec::with_capacity(BATCH);
    let mut stalls = StallMonitor::default();
    loop {
        let wake = stalls.due(&core.desk);
        tokio::select! {
            biased;
            count = inputs.recv_many(&mut batch, BATCH) => {
                if count == 0 {
                    return;
                }
            }
            () = tokio::time::sleep_until(clock.at(wake)) => {}
        }
        if stalls.record_wake_up(clock.now(), &mut core.desk) {
            tokio::time::sleep(Duration::from_micros(CATCH_UP)).await;
            while let Ok(input) = inputs.try_recv() {
                batch.push(input);
                if batch.len() >= 16 * BATCH {
                    break;
                }
            }
        }
        let (now, started) = (clock.now(), Instant::now());
        core.spent.inputs += batch.len() as u64;
        for input in batch.drain(..) {
            core.handle_input(now, input);
        }
        core.desk.handle(now, SessionInput::Tick, &mut core.out);
        core.spent.desk_ns += started.elapsed().as_nanos() as u64;
        core.dispatch();
        if core.advance_shutdown(now) {
            return;
        }
    }
}

impl Core {
    fn handle_input(&mut self, now: Micros, input: CoreMessage) {
        match input {
            CoreMessage::ClientUp(link, opened, sender) => {
                self.clients.insert(link, sender);
                self.desk.handle(now, SessionInput::ClientUp { link, client: opened }, &mut self.out);
            }
            CoreMessage::TextUp(link, sender) => {
                self.text_connections.insert(link, sender);
            }
            CoreMessage::Desk(input) => {
                if let SessionInput::TextClosed(link) = &input {
                    self.text_connections.remove(link);
                }
                if let SessionInput::ClientDown(link) = &input {
                    self.clients.remove(link);
                }
                self.desk.handle(now, input, &mut self.out);
            }
            CoreMessage::Pool(list, reply) => {
                let result = self.desk.apply_pool_list(now, &list, &mut self.out);
                match &result {
                    Ok(()) => info!(version = list.version, servers = list.servers.len(), "pool list"),
                    Err(error) => warn!(%error, "pool list rejected"),
                }
                let _ = reply.send(result);
            }
            CoreMessage::Circuits(reply) => {
                let _ = reply.send(crate::admin::circuits(&self.desk, now));
            }
            CoreMessage::Fleet(reply) => {
                let _ = reply.send(crate::admin::fleet(&self.desk, now));
            }
            CoreMessage::Snapshot(reply) => {
                let _ = reply.send(self.snapshot());
            }
            CoreMessage::Stop { timeout, done } => {
                self.desk.handle(now, SessionInput::Stop, &mut self.out);
                self.stopping = Some((Instant::now() + timeout, Some(done)));
            }
        }
    }

    fn snapshot(&self) -> Snapshot {
        Snapshot {
            counts: self.desk.counts().clone(),
            held: self.desk.held(),
            held_back: self.desk.held_back(),
            faults: self.desk.faults(),
            connections: self.shared.admission().count(),
            spent: self.spent,
        }
    }

    /// Passes the pending outputs of the desk to the tasks of their recipients.
    fn dispatch(&mut self) {
        for output in self.out.drain(..) {
            match output {
                SessionOutput::ToClient { link, message } => {
                    let queue_full = self
                        .clients
                        .get(&link)
                        .is_some_and(|to| to.try_send(LinkMessage::Send(message)).is_err());
                    if queue_full {
                        // Dropping its queue closes the link; the task then reports it like any other lost
                        // link.
                        warn!(link = link.0, "client does not read what it is sent: link closed");
                        self.clients.remove(&link);
                    }
                }
                SessionOutput::ToServer { server, attempt, kind, message, at } => {
                    send(&self.servers, server, LinkMessage::Request(at, (attempt, kind), message));
                }
                SessionOutput::Text { link, text } => {
                    match (self.text_connections.get(&link), &self.datagrams) {
                        // A full queue closes a TCP connection; a datagram is dropped, and the client
                        // retransmits.
                        (Some(to), _) if to.try_send(text.clone()).is_err() => {
                            warn!(link = link.0, "text client does not read what it is sent: link closed");
                            self.text_connections.remove(&link);
                        }
                        (Some(_), _) => {}
                        (None, Some(datagrams)) => drop(datagrams.try_send((link, text))),
                        (None, None) => {}
                    }
                }
                // A packet is dropped when the queue is full because the far end does not read; protocol
                // timers retransmit it.
                SessionOutput::ToFarEnd(data) => {
                    drop(self.far_end_links.get(&data.dpc).map(|to| to.try_send(data)));
                }
                SessionOutput::Reply { server, message } => {
                    send(&self.servers, server, LinkMessage::Send(message))
                }
                SessionOutput::ToFront { to, payload } => {
                    if let (Some(socket), Some(config)) = (&self.fleet, &self.shared.config.fleet) {
                        fleet::send(socket, config, self.shared.config.settings.ordinal, to, &payload);
                    }
                }
            }
        }
    }

    /// Advances a graceful shutdown; returns true when the core task may end.
    fn advance_shutdown(&mut self, now: Micros) -> bool {
        let Some((deadline, done)) = &mut self.stopping else { return false };
        let held = self.desk.held();
        // The last quarter of the time is reserved for dropping the remaining calls and for DPR.
        let remaining = deadline.saturating_duration_since(Instant::now());
        let reserved = Duration::from_micros(self.shared.config.shutdown_timeout) / 4;
        if held.calls > 0 && remaining > reserved {
            return false;
        }
        let done = done.take();
        self.stopping = None;
        self.desk.handle(now, SessionInput::CutAll, &mut self.out);
        self.dispatch();
        for to in self.clients.values().chain(self.servers.values()) {
            let _ = to.try_send(LinkMessage::Stop);
        }
        // Links close when their queues are empty and their DPR is answered.
        let all: Vec<_> = self.clients.values().chain(self.servers.values()).cloned().collect();
        tokio::spawn(async move {
            let closed = async {
                for to in all {
                    to.closed().await;
                }
            };
            let _ = tokio::time::timeout(remaining, closed).await;
            if let Some(done) = done {
                let _ = done.send(());
            }
        });
        true
    }
}

fn send(servers: &BTreeMap<ServerId, mpsc::Sender<LinkMessage>>, server: ServerId, message: LinkMessage) {
    // The queue is full: the message is dropped, and the attempt ends when the server's link is closed.
    if servers.get(&server).is_some_and(|to| to.try_send(message).is_err()) {
        warn!(server, "server does not read what it is sent");
    }
}
