//! The one task that owns the desk.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use baydrift::interface::{Micros, ServerId};
use baydrift_call::{AttemptId, LinkId};
use baydrift_desk::{Desk, DeskInput, DeskOutput, Kind, Opened, PoolError, PoolList, Stalls, CATCH_UP};
use baydrift_diameter::Message;
use baydrift_isup::Data;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};

use crate::text::Datagram;
use crate::{fleet, Shared, Snapshot, Spent};

/// What tasks tell the core.
pub(crate) enum ToCore {
    /// A client's link is open; messages for it go here.
    ClientUp(LinkId, Opened, mpsc::Sender<ToLink>),
    /// A text client's connection is open; texts for it go here.
    TextUp(LinkId, mpsc::Sender<Arc<str>>),
    /// Anything else for the desk.
    Desk(DeskInput),
    /// A pushed list; the answer goes back to who pushed it.
    Pool(PoolList, oneshot::Sender<Result<(), PoolError>>),
    /// What are the trunk groups like?
    Circuits(oneshot::Sender<serde_json::Value>),
    /// Who of the fleet lives, and what is shared?
    Fleet(oneshot::Sender<serde_json::Value>),
    /// What is held?
    Snapshot(oneshot::Sender<Snapshot>),
    /// Stop in order.
    Stop {
        /// At most so long.
        within: Duration,
        /// Told when all is said.
        done: oneshot::Sender<()>,
    },
}

/// What the core tells a link's task.
pub(crate) enum ToLink {
    /// Send as it is, or a request with a new id.
    Send(Message),
    /// Send a request for an attempt, said at this time.
    Request(Micros, (AttemptId, Kind), Message),
    /// Say good-bye.
    Stop,
}

/// Inputs handled before timers and outputs get their turn.
const BATCH: usize = 256;
struct Core {
    shared: Arc<Shared>,
    desk: Desk,
    clients: BTreeMap<LinkId, mpsc::Sender<ToLink>>,
    servers: BTreeMap<ServerId, mpsc::Sender<ToLink>>,
    texts: BTreeMap<LinkId, mpsc::Sender<Arc<str>>>,
    /// Signalling links, by the far end's point code.
    fars: BTreeMap<u32, mpsc::Sender<Data>>,
    datagrams: Option<mpsc::Sender<Datagram>>,
    fleet: Option<Arc<UdpSocket>>,
    out: Vec<DeskOutput>,
    stopping: Option<(Instant, Option<oneshot::Sender<()>>)>,
    spent: Spent,
}

pub(crate) async fn run(
    shared: Arc<Shared>,
    desk: Desk,
    mut inputs: mpsc::Receiver<ToCore>,
    servers: BTreeMap<ServerId, mpsc::Sender<ToLink>>,
    fars: BTreeMap<u32, mpsc::Sender<Data>>,
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
        texts: BTreeMap::new(),
        fars,
        datagrams,
        fleet,
        out: Vec::new(),
        stopping: None,
        spent,
    };
    let mut batch = Vec::with_capacity(BATCH);
    let mut stalls = Stalls::default();
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
        if stalls.woke(clock.now(), &mut core.desk) {
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
            core.take(now, input);
        }
        core.desk.hear(now, DeskInput::Tick, &mut core.out);
        core.spent.desk_ns += started.elapsed().as_nanos() as u64;
        core.dispatch();
        if core.stopped(now) {
            return;
        }
    }
}

impl Core {
    fn take(&mut self, now: Micros, input: ToCore) {
        match input {
            ToCore::ClientUp(link, opened, sender) => {
                self.clients.insert(link, sender);
                self.desk.hear(now, DeskInput::ClientUp { link, opened }, &mut self.out);
            }
            ToCore::TextUp(link, sender) => {
                self.texts.insert(link, sender);
            }
            ToCore::Desk(input) => {
                if let DeskInput::TextGone(link) = &input {
                    self.texts.remove(link);
                }
                if let DeskInput::ClientDown(link) = &input {
                    self.clients.remove(link);
                }
                self.desk.hear(now, input, &mut self.out);
            }
            ToCore::Pool(list, reply) => {
                let taken = self.desk.pool(now, &list, &mut self.out);
                match &taken {
                    Ok(()) => info!(version = list.version, servers = list.servers.len(), "pool list"),
                    Err(error) => warn!(%error, "pool list turned down"),
                }
                let _ = reply.send(taken);
            }
            ToCore::Circuits(reply) => {
                let _ = reply.send(crate::admin::circuits(&self.desk, now));
            }
            ToCore::Fleet(reply) => {
                let _ = reply.send(crate::admin::fleet(&self.desk, now));
            }
            ToCore::Snapshot(reply) => {
                let _ = reply.send(self.snapshot());
            }
            ToCore::Stop { within, done } => {
                self.desk.hear(now, DeskInput::Stop, &mut self.out);
                self.stopping = Some((Instant::now() + within, Some(done)));
            }
        }
    }

    fn snapshot(&self) -> Snapshot {
        Snapshot {
            counts: self.desk.counts().clone(),
            held: self.desk.held(),
            held_back: self.desk.held_back(),
            faults: self.desk.faults(),
            connections: self.shared.doors().count(),
            spent: self.spent,
        }
    }

    fn dispatch(&mut self) {
        for output in self.out.drain(..) {
            match output {
                DeskOutput::ToClient { link, message } => {
                    let full =
                        self.clients.get(&link).is_some_and(|to| to.try_send(ToLink::Send(message)).is_err());
                    if full {
                        // Dropping its queue closes the link; the task tells of it as of any other loss.
                        warn!(link = link.0, "client does not read what it is sent: link closed");
                        self.clients.remove(&link);
                    }
                }
                DeskOutput::ToServer { server, attempt, kind, message, at } => {
                    send(&self.servers, server, ToLink::Request(at, (attempt, kind), message));
                }
                DeskOutput::Text { link, text } => match (self.texts.get(&link), &self.datagrams) {
                    // A full queue closes a connection; a datagram is lost, as a network loses some.
                    (Some(to), _) if to.try_send(text.clone()).is_err() => {
                        warn!(link = link.0, "text client does not read what it is sent: link closed");
                        self.texts.remove(&link);
                    }
                    (Some(_), _) => {}
                    (None, Some(datagrams)) => drop(datagrams.try_send((link, text))),
                    (None, None) => {}
                },
                // Without room it is lost, as a network loses some: the far end does not read, and timers say it again.
                DeskOutput::ToFarEnd(data) => {
                    drop(self.fars.get(&data.dpc).map(|to| to.try_send(data)));
                }
                DeskOutput::Reply { server, message } => send(&self.servers, server, ToLink::Send(message)),
                DeskOutput::ToFront { to, payload } => {
                    if let (Some(socket), Some(config)) = (&self.fleet, &self.shared.config.fleet) {
                        fleet::send(socket, config, self.shared.config.settings.ordinal, to, &payload);
                    }
                }
            }
        }
    }

    /// Goes on with a stop; whether it is done.
    fn stopped(&mut self, now: Micros) -> bool {
        let Some((until, done)) = &mut self.stopping else { return false };
        let held = self.desk.held();
        // The last of the time is kept for cutting what still stands, and for good-byes.
        let left = until.saturating_duration_since(Instant::now());
        let share = Duration::from_micros(self.shared.config.shutdown_timeout) / 4;
        if held.calls > 0 && left > share {
            return false;
        }
        let done = done.take();
        self.stopping = None;
        self.desk.hear(now, DeskInput::CutAll, &mut self.out);
        self.dispatch();
        for to in self.clients.values().chain(self.servers.values()) {
            let _ = to.try_send(ToLink::Stop);
        }
        // Links close when their queues are empty and their good-bye is answered.
        let all: Vec<_> = self.clients.values().chain(self.servers.values()).cloned().collect();
        tokio::spawn(async move {
            let closed = async {
                for to in all {
                    to.closed().await;
                }
            };
            let _ = tokio::time::timeout(left, closed).await;
            if let Some(done) = done {
                let _ = done.send(());
            }
        });
        true
    }
}

fn send(servers: &BTreeMap<ServerId, mpsc::Sender<ToLink>>, server: ServerId, what: ToLink) {
    // A full queue: the task gives its link up when it sees no room left, and the attempt ends with it.
    if servers.get(&server).is_some_and(|to| to.try_send(what).is_err()) {
        warn!(server, "server does not read what it is sent");
    }
}
