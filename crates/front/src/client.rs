//! One client connection.

use std::sync::Arc;
use std::time::Duration;

use baydrift_call::LinkId;
use baydrift_desk::{AdmittedClient, ClientLink, LinkOutput, SessionInput};
use baydrift_diameter::{cause, code, Frame, Message, PeerInput, Side, StreamError};
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tracing::{debug, info, warn};

use crate::core::{ToCore, ToLink};
use crate::link::{feed, flush, read_now, wire, Wire, BURST};
use crate::Shared;

/// Time to read the last answer after it was refused: closing at once would throw it away.
const LINGER: Duration = Duration::from_millis(200);

pub(crate) async fn run(shared: Arc<Shared>, stream: TcpStream, link: LinkId) {
    let mut wire = wire(stream, shared.config.links.message_bytes);
    let patience = Duration::from_micros(shared.config.links.handshake);
    let first = tokio::time::timeout(patience, wire.next()).await;
    match first {
        Ok(Some(Ok(Frame::Valid(cer))))
            if cer.header.code == code::CAPABILITIES && cer.header.flags.request =>
        {
            greeted(&shared, wire, link, cer).await;
        }
        Ok(Some(Ok(Frame::Invalid(message, fault)))) => {
            let answer = Message::error_answer(&message, &fault, &shared.local.host, &shared.local.realm);
            part(wire, answer).await;
        }
        Ok(Some(Ok(_))) => info!(link = link.0, "a message before the capabilities were exchanged: closed"),
        Ok(Some(Err(error))) => info!(link = link.0, %error, "closed"),
        Ok(None) => debug!(link = link.0, "closed before it said anything"),
        Err(_) => info!(link = link.0, "no capabilities in time: closed"),
    }
    shared.doors().close(link);
}

/// Gives a last answer and closes.
async fn part(mut wire: Wire, answer: Message) {
    if feed(&mut wire, answer, LINGER).await.is_ok() && flush(&mut wire, LINGER).await.is_ok() {
        let _ = tokio::time::timeout(LINGER, wire.next()).await;
    }
}

async fn greeted(shared: &Arc<Shared>, wire: Wire, link: LinkId, cer: Message) {
    // A server that connects by itself: the transport belongs to its own task.
    let host = cer.text(baydrift_diameter::dict::ORIGIN_HOST).unwrap_or("");
    if let Some(server) = shared.inbound.get(host) {
        let _ = server.try_send((wire, cer));
        return;
    }
    let opened = shared.doors().admit(link, &cer, &shared.local);
    match opened {
        Ok(opened) => {
            info!(link = link.0, peer = opened.remote.host, "client connected");
            let (to_link, from_core) = mpsc::channel(shared.config.links.queue);
            let (local, watchdog) = (shared.local.clone(), shared.config.watchdog);
            let peer = ClientLink::new(link, local, watchdog, shared.end_to_end(), rand::random());
            let up = ToCore::ClientUp(link, opened.clone(), to_link);
            if shared.core.send(up).await.is_ok() {
                let mut client = Client { shared, wire, link, peer, out: Vec::new(), from_core };
                let why = client.serve(cer).await;
                ended(link, &opened, why);
                let _ = shared.core.send(ToCore::Desk(SessionInput::ClientDown(link))).await;
            }
        }
        Err(fault) => {
            warn!(link = link.0, peer = host, code = fault.code, "turned away: {}", fault.text);
            let answer = Message::error_answer(&cer, &fault, &shared.local.host, &shared.local.realm);
            part(wire, answer).await;
        }
    }
}

fn ended(link: LinkId, opened: &AdmittedClient, why: Result<(), StreamError>) {
    match why {
        Ok(()) => info!(link = link.0, peer = opened.remote.host, "client gone"),
        Err(error) => warn!(link = link.0, peer = opened.remote.host, %error, "client's link closed"),
    }
}

struct Client<'a> {
    shared: &'a Arc<Shared>,
    wire: Wire,
    link: LinkId,
    peer: ClientLink,
    out: Vec<LinkOutput>,
    from_core: mpsc::Receiver<ToLink>,
}

impl Client<'_> {
    async fn serve(&mut self, cer: Message) -> Result<(), StreamError> {
        self.give(PeerInput::Accepted(cer)).await?;
        loop {
            self.flush().await?;
            if !self.peer.is_open() {
                return Ok(());
            }
            let due = self.shared.clock.at(self.peer.due());
            tokio::select! {
                frame = self.wire.next() => self.frames(frame).await?,
                message = self.from_core.recv() => match message {
                    Some(message) => self.outgoing(message).await?,
                    None => return Ok(()),
                },
                () = tokio::time::sleep_until(due) => self.give(PeerInput::Tick).await?,
            }
        }
    }

    /// A message, and those that have come with it.
    async fn frames(&mut self, first: Option<Result<Frame, StreamError>>) -> Result<(), StreamError> {
        let mut next = Some(first);
        for _ in 0..BURST {
            match next {
                Some(Some(frame)) => self.give(PeerInput::Received(Side::Responder, frame?)).await?,
                Some(None) => return self.give(PeerInput::Disconnected(Side::Responder)).await,
                None => return Ok(()),
            }
            next = if self.peer.is_open() { read_now(&mut self.wire) } else { None };
        }
        match next {
            Some(Some(frame)) => self.give(PeerInput::Received(Side::Responder, frame?)).await,
            Some(None) => self.give(PeerInput::Disconnected(Side::Responder)).await,
            None => Ok(()),
        }
    }

    async fn outgoing(&mut self, first: ToLink) -> Result<(), StreamError> {
        let mut next = Some(first);
        for _ in 0..BURST {
            match next {
                Some(ToLink::Send(message)) => {
                    let message = self.peer.outgoing(message);
                    self.feed(message).await?;
                }
                Some(ToLink::Stop) => {
                    self.give(PeerInput::Stop(cause::REBOOTING)).await?;
                }
                Some(ToLink::Request(..)) | None => return Ok(()),
            }
            next = self.from_core.try_recv().ok();
        }
        match next {
            Some(ToLink::Send(message)) => {
                let message = self.peer.outgoing(message);
                self.feed(message).await
            }
            Some(ToLink::Stop) => self.give(PeerInput::Stop(cause::REBOOTING)).await,
            _ => Ok(()),
        }
    }

    async fn give(&mut self, input: PeerInput) -> Result<(), StreamError> {
        let now = self.shared.clock.now();
        let mut out = std::mem::take(&mut self.out);
        self.peer.handle(now, input, &mut out);
        for output in out.drain(..) {
            match output {
                LinkOutput::Send(_, message) => self.feed(message).await?,
                LinkOutput::Session(input) => drop(self.shared.core.send(ToCore::Desk(input)).await),
                LinkOutput::Refused(code) => debug!(link = self.link.0, code, "message turned down"),
                // Its state tells when the link is over.
                _ => {}
            }
        }
        self.out = out;
        Ok(())
    }

    async fn feed(&mut self, message: Message) -> Result<(), StreamError> {
        let patience = Duration::from_micros(self.shared.config.links.write);
        feed(&mut self.wire, message, patience).await
    }

    async fn flush(&mut self) -> Result<(), StreamError> {
        let patience = Duration::from_micros(self.shared.config.links.write);
        flush(&mut self.wire, patience).await
    }
}
