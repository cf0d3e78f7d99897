//! One signalling link on a socket: M3UA packets over TCP, in place of SCTP.
//!
//! The link is up once the far end has acknowledged this end's ASPUP (RFC 4666, 4.3.4.1). A TCP connection
//! alone does not show that the far end is there, because a relay in between may have accepted it.
//!
//! While the link is not up, outgoing packets are discarded, and the sender's protocol timers retransmit
//! them. A far end that does not read within the time limit is disconnected.

use std::net::SocketAddr;
use std::time::Duration;

use baydrift_isup::{Codec, Data, Packet};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::Framed;
use tracing::{debug, info, warn};

/// Which end opens the connection.
#[derive(Debug)]
pub enum SignallingRole {
    /// This end connects to the address, and reconnects when the connection is lost.
    Connect(SocketAddr),
    /// The far end connects; a later connection replaces an earlier one.
    Listen(TcpListener),
}

/// An event of a signalling link.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    Up,
    Down,
    Packet(Data),
}

/// Delay before a failed connection or handshake is retried.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Time limit of the handshake and of each write; a far end that exceeds it is disconnected.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Packets written at most per flush.
const BATCH: usize = 64;

type Transport = Framed<TcpStream, Codec>;

/// Serves a link until the sender of packets or the receiver of events is gone. `far` is the point code of
/// the far end; `wrap` converts events for the receiver.
pub(crate) async fn serve<T: Send>(
    far: u32,
    role: SignallingRole,
    mut outgoing: mpsc::Receiver<Data>,
    events: mpsc::Sender<T>,
    wrap: fn(u32, LinkEvent) -> T,
) {
    let mut next = None;
    loop {
        let stream = match next.take() {
            Some(stream) => stream,
            None => tokio::select! {
                stream = open(&role) => stream,
                () = discard(&mut outgoing) => return,
            },
        };
        let _ = stream.set_nodelay(true);
        let mut transport = Framed::new(stream, Codec);
        let acknowledged = tokio::select! {
            acknowledged = handshake(&mut transport) => acknowledged,
            () = discard(&mut outgoing) => return,
        };
        if !acknowledged {
            debug!(far, "far end did not acknowledge ASPUP");
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        }
        info!(far, "signalling link up");
        if events.send(wrap(far, LinkEvent::Up)).await.is_err() {
            return;
        }
        let why = loop {
            let outcome = tokio::select! {
                outcome = transfer(&mut transport, &mut outgoing) => outcome,
                stream = replacement(&role) => {
                    next = Some(stream);
                    Outcome::Lost("replaced by a new connection of the far end".into())
                }
            };
            match outcome {
                Outcome::Packet(data) => {
                    if events.send(wrap(far, LinkEvent::Packet(data))).await.is_err() {
                        return;
                    }
                }
                Outcome::Continue => {}
                Outcome::Lost(why) => break why,
                Outcome::End => return,
            }
        };
        warn!(far, why, "signalling link lost");
        if events.send(wrap(far, LinkEvent::Down)).await.is_err() {
            return;
        }
    }
}

/// Sends ASPUP and waits for the acknowledgement; acknowledges an ASPUP of the far end meanwhile.
async fn handshake(transport: &mut Transport) -> bool {
    let exchange = async {
        transport.send(Packet::AspUp).await.ok()?;
        loop {
            match transport.next().await?.ok()? {
                Packet::AspUpAck => return Some(()),
                Packet::AspUp => transport.send(Packet::AspUpAck).await.ok()?,
                // Traffic before the acknowledgement is ignored (RFC 4666, 4.3.4.1).
                Packet::Data(_) | Packet::Other(..) => {}
            }
        }
    };
    matches!(tokio::time::timeout(IO_TIMEOUT, exchange).await, Ok(Some(())))
}

/// Result of one step of [`transfer`].
enum Outcome {
    Packet(Data),
    /// Nothing to report.
    Continue,
    /// The connection is lost, for this reason.
    Lost(String),
    /// The sender of packets is gone.
    End,
}

/// Receives one packet, or writes a batch of outgoing ones.
async fn transfer(transport: &mut Transport, outgoing: &mut mpsc::Receiver<Data>) -> Outcome {
    let mut batch = Vec::new();
    tokio::select! {
        packet = transport.next() => match packet {
            Some(Ok(Packet::Data(data))) => return Outcome::Packet(data),
            // The far end restarted its state, or its ASPUP came late.
            Some(Ok(Packet::AspUp)) => return match transport.send(Packet::AspUpAck).await {
                Ok(()) => Outcome::Continue,
                Err(error) => Outcome::Lost(error.to_string()),
            },
            Some(Ok(Packet::AspUpAck)) => return Outcome::Continue,
            Some(Ok(Packet::Other(class, kind))) => {
                debug!(class, kind, "packet ignored");
                return Outcome::Continue;
            }
            Some(Err(error)) => return Outcome::Lost(error.to_string()),
            None => return Outcome::Lost("closed".into()),
        },
        count = outgoing.recv_many(&mut batch, BATCH) => if count == 0 {
            return Outcome::End;
        },
    }
    let sent = async {
        for data in batch {
            transport.feed(Packet::Data(data)).await?;
        }
        transport.flush().await
    };
    match tokio::time::timeout(IO_TIMEOUT, sent).await {
        Ok(Ok(())) => Outcome::Continue,
        Ok(Err(error)) => Outcome::Lost(error.to_string()),
        Err(_) => Outcome::Lost("write timed out: the far end does not read".into()),
    }
}

/// Connects or accepts, retrying until it succeeds.
async fn open(role: &SignallingRole) -> TcpStream {
    loop {
        let opened = match role {
            SignallingRole::Listen(listener) => listener.accept().await.map(|(stream, _)| stream),
            SignallingRole::Connect(addr) => TcpStream::connect(addr).await,
        };
        match opened {
            Ok(stream) => return stream,
            Err(_) => tokio::time::sleep(RECONNECT_DELAY).await,
        }
    }
}

/// Waits for a further connection of the far end; never completes if this end connects.
async fn replacement(role: &SignallingRole) -> TcpStream {
    match role {
        SignallingRole::Listen(_) => open(role).await,
        SignallingRole::Connect(_) => std::future::pending().await,
    }
}

/// Discards outgoing packets until the sender is gone.
async fn discard(outgoing: &mut mpsc::Receiver<Data>) {
    while outgoing.recv().await.is_some() {}
}
