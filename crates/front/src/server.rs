//! One server: its peer, up to two transports while an election is open, and what it was sent.

use std::sync::Arc;
use std::time::Duration;

use baydrift::interface::ServerId;
use baydrift_config::Server;
use baydrift_desk::{DeskInput, Transit};
use baydrift_diameter::{cause, Frame, Message, Peer, PeerInput, PeerOutput, Side, StreamError};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tracing::{debug, info, warn};

use crate::core::{ToCore, ToLink};
use crate::link::{feed, flush, read, read_now, wire, Wire, BURST};
use crate::{Inbound, Shared};

/// Requests to one server without their answer; beyond it the oldest's answer counts as unasked.
const TRANSIT: usize = 65_536;

pub(crate) async fn run(
    shared: Arc<Shared>,
    server: Server,
    from_core: mpsc::Receiver<ToLink>,
    inbound: mpsc::Receiver<Inbound>,
) {
    let expect = Some((server.host.clone(), server.realm.clone()));
    let peer =
        Peer::new(shared.local.clone(), expect, shared.config.watchdog, shared.end_to_end(), rand::random());
    let id = u64::from(server.number);
    let mut link = Link {
        shared,
        server,
        id,
        peer,
        initiated: None,
        accepted: None,
        connecting: None,
        transit: Transit::new(TRANSIT),
        state_id: None,
        out: Vec::new(),
        from_core,
        inbound,
        stopping: false,
    };
    link.serve().await;
}

type Connecting = tokio::task::JoinHandle<std::io::Result<TcpStream>>;

struct Link {
    shared: Arc<Shared>,
    server: Server,
    id: ServerId,
    peer: Peer,
    initiated: Option<Wire>,
    accepted: Option<Wire>,
    connecting: Option<Connecting>,
    transit: Transit,
    state_id: Option<u32>,
    out: Vec<PeerOutput>,
    from_core: mpsc::Receiver<ToLink>,
    inbound: mpsc::Receiver<Inbound>,
    stopping: bool,
}

async fn connected(connecting: &mut Option<Connecting>) -> std::io::Result<TcpStream> {
    match connecting {
        Some(task) => task.await.unwrap_or_else(|error| Err(std::io::Error::other(error))),
        None => std::future::pending().await,
    }
}

impl Link {
    async fn serve(&mut self) {
        self.give(PeerInput::Start).await;
        loop {
            self.flush().await;
            if self.stopping && self.peer.side().is_none() {
                return;
            }
            let due = self.shared.clock.at(self.peer.due());
            tokio::select! {
                frame = read(&mut self.initiated) => self.frames(Side::Initiator, frame).await,
                frame = read(&mut self.accepted) => self.frames(Side::Responder, frame).await,
                message = self.from_core.recv() => match message {
                    Some(message) => self.outgoing(message).await,
                    None => return,
                },
                stream = connected(&mut self.connecting) => self.connected(stream).await,
                Some((wire, cer)) = self.inbound.recv() => {
                    // One transport a side: a second one of the server's waits until it tries again.
                    if self.accepted.is_none() {
                        self.accepted = Some(wire);
                        self.give(PeerInput::Accepted(cer)).await;
                    }
                }
                () = tokio::time::sleep_until(due) => self.give(PeerInput::Tick).await,
            }
        }
    }

    fn wire(&mut self, side: Side) -> &mut Option<Wire> {
        match side {
            Side::Initiator => &mut self.initiated,
            Side::Responder => &mut self.accepted,
        }
    }

    async fn connected(&mut self, stream: std::io::Result<TcpStream>) {
        self.connecting = None;
        match stream {
            Ok(stream) => {
                self.initiated = Some(wire(stream, self.shared.config.links.message_bytes));
                self.give(PeerInput::Connected).await;
            }
            Err(error) => {
                debug!(server = self.id, %error, "no connection");
                self.give(PeerInput::ConnectFailed).await;
            }
        }
    }

    async fn frames(&mut self, side: Side, first: Option<Result<Frame, StreamError>>) {
        let mut next = Some(first);
        for _ in 0..BURST {
            match next {
                Some(Some(Ok(frame))) => self.give(PeerInput::Received(side, frame)).await,
                Some(Some(Err(error))) => return self.lost(side, Some(error)).await,
                Some(None) => return self.lost(side, None).await,
                None => return,
            }
            next = self.wire(side).as_mut().and_then(read_now);
        }
        match next {
            Some(Some(Ok(frame))) => self.give(PeerInput::Received(side, frame)).await,
            Some(Some(Err(error))) => self.lost(side, Some(error)).await,
            Some(None) => self.lost(side, None).await,
            None => {}
        }
    }

    async fn lost(&mut self, side: Side, error: Option<StreamError>) {
        if let Some(error) = error {
            warn!(server = self.id, %error, "server's link closed");
        }
        *self.wire(side) = None;
        self.give(PeerInput::Disconnected(side)).await;
    }

    async fn outgoing(&mut self, first: ToLink) {
        let mut next = Some(first);
        for _ in 0..BURST {
            match next {
                Some(ToLink::Request(attempt, kind, mut message)) => {
                    // Without a transport nothing can be sent; the desk hears of that by itself.
                    let Some(side) = self.peer.side() else { return };
                    let hop_by_hop = self.peer.stamp(&mut message);
                    self.transit.sent(hop_by_hop, attempt, kind);
                    self.send(side, message).await;
                }
                Some(ToLink::Send(message)) => {
                    if let Some(side) = self.peer.side() {
                        self.send(side, message).await;
                    }
                }
                Some(ToLink::Stop) => {
                    self.stopping = true;
                    self.give(PeerInput::Stop(cause::REBOOTING)).await;
                }
                None => return,
            }
            if self.from_core.is_empty() {
                return;
            }
            next = self.from_core.try_recv().ok();
        }
        if let Some(last) = next {
            Box::pin(self.outgoing(last)).await;
        }
    }

    async fn send(&mut self, side: Side, message: Message) {
        let patience = Duration::from_micros(self.shared.config.links.write);
        let failed = match self.wire(side) {
            Some(wire) => feed(wire, message, patience).await.err(),
            None => None,
        };
        if let Some(error) = failed {
            Box::pin(self.lost(side, Some(error))).await;
        }
    }

    async fn flush(&mut self) {
        let patience = Duration::from_micros(self.shared.config.links.write);
        for side in [Side::Initiator, Side::Responder] {
            let failed = match self.wire(side) {
                Some(wire) => flush(wire, patience).await.err(),
                None => None,
            };
            if let Some(error) = failed {
                self.lost(side, Some(error)).await;
            }
        }
    }

    async fn give(&mut self, input: PeerInput) {
        let now = self.shared.clock.now();
        let mut out = std::mem::take(&mut self.out);
        out.clear();
        self.peer.handle(now, input, &mut out);
        for output in out {
            match output {
                PeerOutput::Connect => {
                    let addr = self.server.addr;
                    self.connecting = Some(tokio::spawn(TcpStream::connect(addr)));
                }
                PeerOutput::Send(side, message) => self.send(side, message).await,
                PeerOutput::Close(side, reason) => {
                    info!(server = self.id, %reason, "transport closed");
                    self.close(side).await;
                }
                PeerOutput::Reject(message) => {
                    self.send(Side::Responder, message).await;
                    self.close(Side::Responder).await;
                }
                PeerOutput::Up(remote) => self.state_id = remote.state_id,
                PeerOutput::Usable => {
                    info!(server = self.id, host = self.server.host, "server in use");
                    self.tell(DeskInput::ServerUp { server: self.id, state_id: self.state_id }).await;
                }
                PeerOutput::Suspect => {
                    warn!(server = self.id, host = self.server.host, "server's watchdog is unanswered");
                    self.tell(DeskInput::ServerSuspect(self.id)).await;
                }
                PeerOutput::Draining(cause) => {
                    info!(server = self.id, host = self.server.host, cause, "server drains");
                    self.tell(DeskInput::ServerDrains(self.id)).await;
                }
                PeerOutput::Down(reason) => {
                    debug!(server = self.id, %reason, "server down");
                    self.transit.clear();
                    self.connecting = None;
                    self.initiated = None;
                    self.tell(DeskInput::ServerDown(self.id)).await;
                }
                PeerOutput::Request(message) => {
                    self.tell(DeskInput::ServerRequest { server: self.id, message }).await;
                }
                PeerOutput::Answer(message) => self.answer(message).await,
                PeerOutput::Refused(code) => debug!(server = self.id, code, "message turned down"),
            }
        }
    }

    async fn answer(&mut self, message: Message) {
        match self.transit.answered(message.header.hop_by_hop) {
            Some((attempt, kind)) => {
                self.tell(DeskInput::ServerAnswer { server: self.id, attempt, kind, message }).await;
            }
            None => debug!(server = self.id, "an answer that nothing asked for"),
        }
    }

    async fn close(&mut self, side: Side) {
        let patience = Duration::from_millis(100);
        if let Some(mut wire) = self.wire(side).take() {
            let _ = flush(&mut wire, patience).await;
        }
    }

    async fn tell(&self, input: DeskInput) {
        let _ = self.shared.core.send(ToCore::Desk(input)).await;
    }
}
