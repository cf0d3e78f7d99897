//! The task of one server: its peer state machine and up to two transports while an election is open.

use std::sync::Arc;
use std::time::Duration;

use baydrift_config::Server;
use baydrift_desk::{LinkOutput, SendDecision, ServerLink, SessionInput};
use baydrift_diameter::{cause, Frame, Message, PeerInput, Side, StreamError};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tracing::{debug, info, warn};

use crate::core::{CoreMessage, LinkMessage};
use crate::link::{feed, flush, read, read_now, transport, Transport, MAX_BURST};
use crate::{Inbound, Shared};

pub(crate) async fn run(
    shared: Arc<Shared>,
    server: Server,
    from_core: mpsc::Receiver<LinkMessage>,
    inbound: mpsc::Receiver<Inbound>,
) {
    let (local, watchdog) = (shared.local.clone(), shared.config.watchdog);
    let peer = ServerLink::new(&server, local, watchdog, shared.initial_end_to_end_id(), rand::random());
    let mut task = ServerTask {
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
    task.serve().await;
}

type Connecting = tokio::task::JoinHandle<std::io::Result<TcpStream>>;

/// State of a server's task.
struct ServerTask {
    shared: Arc<Shared>,
    server: Server,
    peer: ServerLink,
    initiated: Option<Transport>,
    accepted: Option<Transport>,
    connecting: Option<Connecting>,
    out: Vec<LinkOutput>,
    from_core: mpsc::Receiver<LinkMessage>,
    inbound: mpsc::Receiver<Inbound>,
    stopping: bool,
}

async fn connect_result(connecting: &mut Option<Connecting>) -> std::io::Result<TcpStream> {
    match connecting {
        Some(task) => task.await.unwrap_or_else(|error| Err(std::io::Error::other(error))),
        None => std::future::pending().await,
    }
}

impl ServerTask {
    async fn serve(&mut self) {
        self.handle(PeerInput::Start).await;
        loop {
            self.flush().await;
            if self.stopping && self.peer.side().is_none() {
                return;
            }
            let due = self.shared.clock.at(self.peer.due());
            tokio::select! {
                frame = read(&mut self.initiated) => self.handle_frames(Side::Initiator, frame).await,
                frame = read(&mut self.accepted) => self.handle_frames(Side::Responder, frame).await,
                message = self.from_core.recv() => match message {
                    Some(message) => self.handle_outgoing(message).await,
                    None => return,
                },
                stream = connect_result(&mut self.connecting) => self.handle_connected(stream).await,
                Some((transport, cer)) = self.inbound.recv() => {
                    // At most one accepted transport: a second one is dropped, and the server connects again.
                    if self.accepted.is_none() {
                        self.accepted = Some(transport);
                        self.handle(PeerInput::Accepted(cer)).await;
                    }
                }
                () = tokio::time::sleep_until(due) => self.handle(PeerInput::Tick).await,
            }
        }
    }

    fn transport(&mut self, side: Side) -> &mut Option<Transport> {
        match side {
            Side::Initiator => &mut self.initiated,
            Side::Responder => &mut self.accepted,
        }
    }

    async fn handle_connected(&mut self, stream: std::io::Result<TcpStream>) {
        self.connecting = None;
        match stream {
            Ok(stream) => {
                self.initiated = Some(transport(stream, self.shared.config.links.message_bytes));
                self.handle(PeerInput::Connected).await;
            }
            Err(error) => {
                debug!(server = self.peer.id(), %error, "connection failed");
                self.handle(PeerInput::ConnectFailed).await;
            }
        }
    }

    /// Handles a received frame and those already buffered behind it, in one burst ([`MAX_BURST`]).
    async fn handle_frames(&mut self, side: Side, first: Option<Result<Frame, StreamError>>) {
        let mut next = Some(first);
        for _ in 0..MAX_BURST {
            match next {
                Some(Some(Ok(frame))) => self.handle(PeerInput::Received(side, frame)).await,
                Some(Some(Err(error))) => return self.handle_disconnect(side, Some(error)).await,
                Some(None) => return self.handle_disconnect(side, None).await,
                None => return,
            }
            next = self.transport(side).as_mut().and_then(read_now);
        }
        match next {
            Some(Some(Ok(frame))) => self.handle(PeerInput::Received(side, frame)).await,
            Some(Some(Err(error))) => self.handle_disconnect(side, Some(error)).await,
            Some(None) => self.handle_disconnect(side, None).await,
            None => {}
        }
    }

    async fn handle_disconnect(&mut self, side: Side, error: Option<StreamError>) {
        if let Some(error) = error {
            warn!(server = self.peer.id(), %error, "server's link closed");
        }
        *self.transport(side) = None;
        self.handle(PeerInput::Disconnected(side)).await;
    }

    /// Sends a message from the core and those queued behind it.
    async fn handle_outgoing(&mut self, first: LinkMessage) {
        let mut next = Some(first);
        for _ in 0..MAX_BURST {
            match next {
                Some(LinkMessage::Request(at, attempt, message)) => {
                    match self.peer.request(self.shared.clock.now(), at, attempt, message) {
                        SendDecision::Send(side, message) => self.send(side, message).await,
                        SendDecision::NoTransport => return,
                        SendDecision::Expired(input) => {
                            let _ = self.shared.core.send(CoreMessage::Desk(input)).await;
                        }
                    }
                }
                Some(LinkMessage::Send(message)) => {
                    if let Some(side) = self.peer.side() {
                        self.send(side, message).await;
                    }
                }
                Some(LinkMessage::Stop) => {
                    self.stopping = true;
                    self.handle(PeerInput::Stop(cause::REBOOTING)).await;
                }
                None => return,
            }
            if self.from_core.is_empty() {
                return;
            }
            next = self.from_core.try_recv().ok();
        }
        if let Some(last) = next {
            Box::pin(self.handle_outgoing(last)).await;
        }
    }

    async fn send(&mut self, side: Side, message: Message) {
        let timeout = Duration::from_micros(self.shared.config.links.write);
        let failed = match self.transport(side) {
            Some(transport) => feed(transport, message, timeout).await.err(),
            None => None,
        };
        if let Some(error) = failed {
            Box::pin(self.handle_disconnect(side, Some(error))).await;
        }
    }

    async fn flush(&mut self) {
        let timeout = Duration::from_micros(self.shared.config.links.write);
        for side in [Side::Initiator, Side::Responder] {
            let failed = match self.transport(side) {
                Some(transport) => flush(transport, timeout).await.err(),
                None => None,
            };
            if let Some(error) = failed {
                self.handle_disconnect(side, Some(error)).await;
            }
        }
    }

    /// Passes an input to the peer state machine and carries out its outputs.
    async fn handle(&mut self, input: PeerInput) {
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
                LinkOutput::Session(input) => self.notify_core(input).await,
                LinkOutput::Refused(code) => debug!(server = self.peer.id(), code, "message rejected"),
            }
        }
        self.out = out;
    }

    async fn close(&mut self, side: Side) {
        let timeout = Duration::from_millis(100);
        if let Some(mut transport) = self.transport(side).take() {
            let _ = flush(&mut transport, timeout).await;
        }
    }

    async fn notify_core(&self, input: SessionInput) {
        let (server, host) = (self.peer.id(), &self.server.host);
        match &input {
            SessionInput::ServerUp { .. } => info!(server, host, "server in use"),
            SessionInput::ServerSuspect(_) => warn!(server, host, "server does not answer the watchdog"),
            SessionInput::ServerDraining(_) => info!(server, host, "server drains"),
            _ => {}
        }
        let _ = self.shared.core.send(CoreMessage::Desk(input)).await;
    }
}
