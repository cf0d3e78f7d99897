//! One signalling link on a socket: M3UA packets over TCP, in place of SCTP. Nothing is decided here.
//!
//! A link is up once the far end has acknowledged that this one is (ASPUP and its ACK, RFC 4666, 4.3.4.1): a
//! connection alone, which a relay on the way may have taken, says nothing of the far end.
//!
//! While there is no connection, what is to be sent is dropped: who sends it has timers for that. A far end that does
//! not read in time loses its connection.

use std::net::SocketAddr;
use std::time::Duration;

use baydrift_isup::{Codec, Data, Packet};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::Framed;
use tracing::{debug, info, warn};

/// Who opens the connection.
#[derive(Debug)]
pub enum Role {
    /// This end, to there; again and again.
    Connect(SocketAddr),
    /// The far end; a later connection takes an earlier one's place.
    Listen(TcpListener),
}

/// What a link tells.
#[derive(Debug)]
pub(crate) enum Linked {
    Up,
    Down,
    Packet(Data),
}

/// A connection that does not come about is tried again after this.
const RETRY: Duration = Duration::from_millis(100);
/// A far end that does not read for so long loses its connection.
const PATIENCE: Duration = Duration::from_secs(2);
/// Packets written at once.
const BATCH: usize = 64;

type Wire = Framed<TcpStream, Codec>;

/// Serves a link until nobody sends or listens any more. `far` is the point code there; `wrap` says what is told.
pub(crate) async fn serve<T: Send>(
    far: u32,
    role: Role,
    mut outgoing: mpsc::Receiver<Data>,
    tell: mpsc::Sender<T>,
    wrap: fn(u32, Linked) -> T,
) {
    let mut next = None;
    loop {
        let stream = match next.take() {
            Some(stream) => stream,
            None => tokio::select! {
                stream = open(&role) => stream,
                () = drain(&mut outgoing) => return,
            },
        };
        let _ = stream.set_nodelay(true);
        let mut wire = Framed::new(stream, Codec);
        let greeted = tokio::select! {
            greeted = greet(&mut wire) => greeted,
            () = drain(&mut outgoing) => return,
        };
        if !greeted {
            debug!(far, "no acknowledgement of the link");
            tokio::time::sleep(RETRY).await;
            continue;
        }
        info!(far, "signalling link up");
        if tell.send(wrap(far, Linked::Up)).await.is_err() {
            return;
        }
        let why = loop {
            let heard = tokio::select! {
                heard = hear(&mut wire, &mut outgoing) => heard,
                stream = replaced(&role) => {
                    next = Some(stream);
                    Heard::Lost("the far end connected anew".into())
                }
            };
            match heard {
                Heard::Packet(data) => {
                    if tell.send(wrap(far, Linked::Packet(data))).await.is_err() {
                        return;
                    }
                }
                Heard::Nothing => {}
                Heard::Lost(why) => break why,
                Heard::End => return,
            }
        };
        warn!(far, why, "signalling link lost");
        if tell.send(wrap(far, Linked::Down)).await.is_err() {
            return;
        }
    }
}

/// Says that this end is up and waits for the far end's word that it knows; its own such word is acknowledged.
async fn greet(wire: &mut Wire) -> bool {
    let greeting = async {
        wire.send(Packet::AspUp).await.ok()?;
        loop {
            match wire.next().await?.ok()? {
                Packet::AspUpAck => return Some(()),
                Packet::AspUp => wire.send(Packet::AspUpAck).await.ok()?,
                // Traffic before the acknowledgement is none (RFC 4666, 4.3.4.1).
                Packet::Data(_) | Packet::Other(..) => {}
            }
        }
    };
    matches!(tokio::time::timeout(PATIENCE, greeting).await, Ok(Some(())))
}

enum Heard {
    Packet(Data),
    Nothing,
    Lost(String),
    End,
}

async fn hear(wire: &mut Wire, outgoing: &mut mpsc::Receiver<Data>) -> Heard {
    let mut batch = Vec::new();
    tokio::select! {
        packet = wire.next() => match packet {
            Some(Ok(Packet::Data(data))) => return Heard::Packet(data),
            // The far end began anew, or says it late.
            Some(Ok(Packet::AspUp)) => return match wire.send(Packet::AspUpAck).await {
                Ok(()) => Heard::Nothing,
                Err(error) => Heard::Lost(error.to_string()),
            },
            Some(Ok(Packet::AspUpAck)) => return Heard::Nothing,
            Some(Ok(Packet::Other(class, kind))) => {
                debug!(class, kind, "packet passed over");
                return Heard::Nothing;
            }
            Some(Err(error)) => return Heard::Lost(error.to_string()),
            None => return Heard::Lost("closed".into()),
        },
        count = outgoing.recv_many(&mut batch, BATCH) => if count == 0 {
            return Heard::End;
        },
    }
    let sent = async {
        for data in batch {
            wire.feed(Packet::Data(data)).await?;
        }
        wire.flush().await
    };
    match tokio::time::timeout(PATIENCE, sent).await {
        Ok(Ok(())) => Heard::Nothing,
        Ok(Err(error)) => Heard::Lost(error.to_string()),
        Err(_) => Heard::Lost("it does not read".into()),
    }
}

async fn open(role: &Role) -> TcpStream {
    loop {
        let opened = match role {
            Role::Listen(listener) => listener.accept().await.map(|(stream, _)| stream),
            Role::Connect(addr) => TcpStream::connect(addr).await,
        };
        match opened {
            Ok(stream) => return stream,
            Err(_) => tokio::time::sleep(RETRY).await,
        }
    }
}

/// A later connection of a far end that connects by itself.
async fn replaced(role: &Role) -> TcpStream {
    match role {
        Role::Listen(_) => open(role).await,
        Role::Connect(_) => std::future::pending().await,
    }
}

async fn drain(outgoing: &mut mpsc::Receiver<Data>) {
    while outgoing.recv().await.is_some() {}
}
