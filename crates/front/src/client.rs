//! The task of one client connection.

use std::sync::Arc;
use std::time::Duration;

use baydrift_call::LinkId;
use baydrift_desk::{AdmittedClient, ClientLink, LinkOutput, SessionInput};
use baydrift_diameter::{cause, code, Frame, Message, PeerInput, Side, StreamError};
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tracing::{debug, info, warn};

use crate::core::{CoreMessage, LinkMessage};
use crate::link::{feed, flush, read_now, transport, Transport, MAX_BURST};
use crate::Shared;

/// Time for a rejected client to read the final answer: closing at once could discard it.
const FINAL_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

pub(crate) async fn run(shared: Arc<Shared>, stream: TcpStream, link: LinkId) {
    let mut transport = transport(stream, shared.config.links.message_bytes);
    let timeout = Duration::from_micros(shared.config.links.handshake);
    let first = tokio::time::timeout(timeout, transport.next()).await;
    match first {
        Ok(Some(Ok(Frame::Valid(cer))))
            if cer.header.code == code::CAPABILITIES && cer.header.flags.request =>
        {
            open_client(&shared, transport, link, cer).await;
        }
        Ok(Some(Ok(Frame::Invalid(message, fault)))) => {
            let answer = Message::error_answer(&message, &fault, &shared.local.host, &shared.local.realm);
            send_final_answer(transport, answer).await;
        }
        Ok(Some(Ok(_))) => info!(link = link.0, "connection closed: first message is not a CER"),
        Ok(Some(Err(error))) => info!(link = link.0, %error, "connection closed"),
        Ok(None) => debug!(link = link.0, "connection closed before the capabilities exchange"),
        Err(_) => info!(link = link.0, "connection closed: no CER within the handshake timeout"),
    }
    shared.admission().close(link);
}

/// Sends a final answer, waits for the client to read it, and closes the connection.
async fn send_final_answer(mut transport: Transport, answer: Message) {
    if feed(&mut transport, answer, FINAL_ANSWER_TIMEOUT).await.is_ok()
        && flush(&mut transport, FINAL_ANSWER_TIMEOUT).await.is_ok()
    {
        let _ = tokio::time::timeout(FINAL_ANSWER_TIMEOUT, transport.next()).await;
    }
}

/// Handles the CER of a new connection: opens a client link, or passes a server's transport to its task.
async fn open_client(shared: &Arc<Shared>, transport: Transport, link: LinkId, cer: Message) {
    // A configured server opened this connection: its transport is handed to that server's task.
    let host = cer.text(baydrift_diameter::dict::ORIGIN_HOST).unwrap_or("");
    if let Some(server) = shared.inbound.get(host) {
        let _ = server.try_send((transport, cer));
        return;
    }
    let opened = shared.admission().admit(link, &cer, &shared.local);
    match opened {
        Ok(opened) => {
            info!(link = link.0, peer = opened.remote.host, "client connected");
            let (to_link, from_core) = mpsc::channel(shared.config.links.queue);
            let (local, watchdog) = (shared.local.clone(), shared.config.watchdog);
            let peer = ClientLink::new(link, local, watchdog, shared.initial_end_to_end_id(), rand::random());
            let up = CoreMessage::ClientUp(link, opened.clone(), to_link);
            if shared.core.send(up).await.is_ok() {
                let mut client = ClientTask { shared, transport, link, peer, out: Vec::new(), from_core };
                let result = client.serve(cer).await;
                log_end(link, &opened, result);
                let _ = shared.core.send(CoreMessage::Desk(SessionInput::ClientDown(link))).await;
            }
        }
        Err(fault) => {
            warn!(link = link.0, peer = host, code = fault.code, "client rejected: {}", fault.text);
            let answer = Message::error_answer(&cer, &fault, &shared.local.host, &shared.local.realm);
            send_final_answer(transport, answer).await;
        }
    }
}

fn log_end(link: LinkId, opened: &AdmittedClient, result: Result<(), StreamError>) {
    match result {
        Ok(()) => info!(link = link.0, peer = opened.remote.host, "client disconnected"),
        Err(error) => warn!(link = link.0, peer = opened.remote.host, %error, "client's link closed"),
    }
}

/// State of a client connection's task.
struct ClientTask<'a> {
    shared: &'a Arc<Shared>,
    transport: Transport,
    link: LinkId,
    peer: ClientLink,
    out: Vec<LinkOutput>,
    from_core: mpsc::Receiver<LinkMessage>,
}

impl ClientTask<'_> {
    async fn serve(&mut self, cer: Message) -> Result<(), StreamError> {
        self.handle(PeerInput::Accepted(cer)).await?;
        loop {
            self.flush().await?;
            if !self.peer.is_open() {
                return Ok(());
            }
            let due = self.shared.clock.at(self.peer.due());
            tokio::select! {
                frame = self.transport.next() => self.handle_frames(frame).await?,
                message = self.from_core.recv() => match message {
                    Some(message) => self.handle_outgoing(message).await?,
                    None => return Ok(()),
                },
                () = tokio::time::sleep_until(due) => self.handle(PeerInput::Tick).await?,
            }
        }
    }

    /// Handles a received frame and those already buffered behind it, in one burst ([`MAX_BURST`]).
    async fn handle_frames(&mut self, first: Option<Result<Frame, StreamError>>) -> Result<(), StreamError> {
        let mut next = Some(first);
        for _ in 0..MAX_BURST {
            match next {
                Some(Some(frame)) => self.handle(PeerInput::Received(Side::Responder, frame?)).await?,
                Some(None) => return self.handle(PeerInput::Disconnected(Side::Responder)).await,
                None => return Ok(()),
            }
            next = if self.peer.is_open() { read_now(&mut self.transport) } else { None };
        }
        match next {
            Some(Some(frame)) => self.handle(PeerInput::Received(Side::Responder, frame?)).await,
            Some(None) => self.handle(PeerInput::Disconnected(Side::Responder)).await,
            None => Ok(()),
        }
    }

    /// Sends a message from the core and those queued behind it, in one burst ([`MAX_BURST`]).
    async fn handle_outgoing(&mut self, first: LinkMessage) -> Result<(), StreamError> {
        let mut next = Some(first);
        for _ in 0..MAX_BURST {
            match next {
                Some(LinkMessage::Send(message)) => {
                    let message = self.peer.outgoing(message);
                    self.feed(message).await?;
                }
                Some(LinkMessage::Stop) => {
                    self.handle(PeerInput::Stop(cause::REBOOTING)).await?;
                }
                Some(LinkMessage::Request(..)) | None => return Ok(()),
            }
            next = self.from_core.try_recv().ok();
        }
        match next {
            Some(LinkMessage::Send(message)) => {
                let message = self.peer.outgoing(message);
                self.feed(message).await
            }
            Some(LinkMessage::Stop) => self.handle(PeerInput::Stop(cause::REBOOTING)).await,
            _ => Ok(()),
        }
    }

    /// Passes an input to the peer state machine and carries out its outputs.
    async fn handle(&mut self, input: PeerInput) -> Result<(), StreamError> {
        let now = self.shared.clock.now();
        let mut out = std::mem::take(&mut self.out);
        self.peer.handle(now, input, &mut out);
        for output in out.drain(..) {
            match output {
                LinkOutput::Send(_, message) => self.feed(message).await?,
                LinkOutput::Session(input) => drop(self.shared.core.send(CoreMessage::Desk(input)).await),
                LinkOutput::Refused(code) => debug!(link = self.link.0, code, "message rejected"),
                // A closed link shows in the peer's state, which `serve` checks.
                _ => {}
            }
        }
        self.out = out;
        Ok(())
    }

    async fn feed(&mut self, message: Message) -> Result<(), StreamError> {
        let timeout = Duration::from_micros(self.shared.config.links.write);
        feed(&mut self.transport, message, timeout).await
    }

    async fn flush(&mut self) -> Result<(), StreamError> {
        let timeout = Duration::from_micros(self.shared.config.links.write);
        flush(&mut self.transport, timeout).await
    }
}
