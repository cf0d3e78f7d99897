//! Writing to a peer with a bound on its patience, and reading from one that may not be there.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift_diameter::{Codec, Frame, Message, StreamError};
use futures_util::{FutureExt, SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio_util::codec::Framed;

/// A connection as messages.
pub(crate) type Wire = Framed<TcpStream, Codec>;

/// Messages read or written before others get a turn and what was written is flushed.
pub(crate) const BURST: usize = 64;

/// A connection of a peer.
pub(crate) fn wire(stream: TcpStream, max_message: usize) -> Wire {
    // Answers are small and waited for.
    let _ = stream.set_nodelay(true);
    Framed::new(stream, Codec { max_message })
}

/// The next connection once there is room for it; `None` when the front stops. Its permit is its room.
pub(crate) async fn accept(
    listener: &TcpListener,
    room: &Arc<Semaphore>,
    closing: &mut watch::Receiver<bool>,
) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let permit = room.clone().acquire_owned().await.ok()?;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return None,
        };
        match accepted {
            Ok((stream, addr)) => return Some((stream, addr, permit)),
            // Out of descriptors or the like: it may pass, and must not spin.
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Queues a message; it is out after [`flush`].
pub(crate) async fn feed(wire: &mut Wire, message: Message, patience: Duration) -> Result<(), StreamError> {
    in_time(patience, wire.feed(message)).await
}

/// Writes what is queued.
pub(crate) async fn flush(wire: &mut Wire, patience: Duration) -> Result<(), StreamError> {
    in_time(patience, wire.flush()).await
}

/// Guards against a peer that never reads: its link is closed instead of kept.
async fn in_time(
    patience: Duration,
    work: impl std::future::Future<Output = Result<(), StreamError>>,
) -> Result<(), StreamError> {
    match tokio::time::timeout(patience, work).await {
        Ok(done) => done,
        Err(_) => Err(io::Error::new(io::ErrorKind::TimedOut, "the peer does not read").into()),
    }
}

/// The next message; `None` at the end. Waits for ever where there is no connection.
pub(crate) async fn read(wire: &mut Option<Wire>) -> Option<Result<Frame, StreamError>> {
    match wire {
        Some(wire) => wire.next().await,
        None => std::future::pending().await,
    }
}

/// A message that has come already.
pub(crate) fn read_now(wire: &mut Wire) -> Option<Option<Result<Frame, StreamError>>> {
    wire.next().now_or_never()
}
