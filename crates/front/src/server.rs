//! One server: its peer, up to two transports while an election is open, and what it was sent.

use std::sync::Arc;
use std::time::Duration;

use baydrift_config::Server;
use baydrift_desk::{LinkOutput, SendDecision, ServerLink, SessionInput};
use baydrift_diameter::{cause, Frame, Message, PeerInput, Side, StreamError};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tracing::{debug, info, warn};

use crate::core::{ToCore, ToLink};
use crate::link::{feed, flush, read, read_now, wire, Wire, BURST};
use crate::{Inbound, Shared};

pub(crate) async fn run(
    shared: Arc<Shared>,
    server: Server,
    from_core: mpsc::Receiver<ToLink>,
    inbound: mpsc::Receiver<Inbound>,
) {
    let (local, watchdog) = (shared.local.clone(), shared.config.watchdog);
    let peer = ServerLink::new(&server, local, watchdog, shared.end_to_end(), rand::random());
    let mut link = Link {
        shared,
        server,
        peer,
        initiated: None,
        accepted: None,
        connecting: None,
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
    peer: ServerLink,
    initiated: Option<Wire>,
    accepted: Option<Wire>,
    connecting: Option<Connecting>,
    out: Vec<LinkOutput>,
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
                debug!(server = self.peer.id(), %error, "no connection");
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
            warn!(server = self.peer.id(), %error, "server's link closed");
        }
        *self.wire(side) = None;
        self.give(PeerInput::Disconnected(side)).await;
    }

    async fn outgoing(&mut self, first: ToLink) {
        let mut next = Some(first);
        for _ in 0..BURST {
            match next {
                Some(ToLink::Request(at, what, message)) => {
                    match self.peer.request(self.shared.clock.now(), at, what, message) {
                        SendDecision::Send(side, message) => self.send(side, message).await,
                        SendDecision::NoTransport => return,
                        SendDecision::Expired(input) => {
                            let _ = self.shared.core.send(ToCore::Desk(input)).await;
                        }
                    }
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
        for output in out.drain(..) {
            match output {
                LinkOutput::Connect => {
                    let addr = self.server.addr;
                    self.connecting = Some(tokio::spawn(TcpStream::connect(addr)));
                }
                LinkOutput::Send(side, message) => self.send(side, message).await,
                LinkOutput::Close(side, reason) => {
                    info!(server = self.peer.id(), %reason, "transport closed");
                    self.close(side).await;
                }
                LinkOutput::Down => {
                    debug!(server = self.peer.id(), "server down");
                    self.connecting = None;
                    self.initiated = None;
                }
                LinkOutput::Session(input) => self.tell(input).await,
                LinkOutput::Refused(code) => debug!(server = self.peer.id(), code, "message turned down"),
            }
        }
        self.out = out;
    }

    async fn close(&mut self, side: Side) {
        let patience = Duration::from_millis(100);
        if let Some(mut wire) = self.wire(side).take() {
            let _ = flush(&mut wire, patience).await;
        }
    }

    async fn tell(&self, input: SessionInput) {
        let (server, host) = (self.peer.id(), &self.server.host);
        match &input {
            SessionInput::ServerUp { .. } => info!(server, host, "server in use"),
            SessionInput::ServerSuspect(_) => warn!(server, host, "server's watchdog is unanswered"),
            SessionInput::ServerDraining(_) => info!(server, host, "server drains"),
            _ => {}
        }
        let _ = self.shared.core.send(ToCore::Desk(input)).await;
    }
}
