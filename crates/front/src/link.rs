//! Diameter transports: reads, writes with a time limit, and the accept loop with a connection limit.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift_diameter::{Codec, Frame, Message, StreamError};
use futures_util::{FutureExt, SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio_util::codec::Framed;

/// A TCP connection framed as Diameter messages.
pub(crate) type Transport = Framed<TcpStream, Codec>;

/// Messages read or written in a row before the task flushes and polls its other sources.
pub(crate) const MAX_BURST: usize = 64;

/// Frames a connection of a peer.
pub(crate) fn transport(stream: TcpStream, max_message: usize) -> Transport {
    // Messages are small and the peer waits for them, so Nagle's algorithm would only add delay.
    let _ = stream.set_nodelay(true);
    Framed::new(stream, Codec { max_message })
}

/// Accepts the next connection once a slot is free; `None` when the front stops. The permit holds the slot.
pub(crate) async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
    closing: &mut watch::Receiver<bool>,
) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let permit = slots.clone().acquire_owned().await.ok()?;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return None,
        };
        match accepted {
            Ok((stream, addr)) => return Some((stream, addr, permit)),
            // Errors such as running out of file descriptors may be temporary; the pause avoids a busy loop.
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Queues a message; [`flush`] writes it.
pub(crate) async fn feed(
    transport: &mut Transport,
    message: Message,
    timeout: Duration,
) -> Result<(), StreamError> {
    with_timeout(timeout, transport.feed(message)).await
}

/// Writes the queued messages.
pub(crate) async fn flush(transport: &mut Transport, timeout: Duration) -> Result<(), StreamError> {
    with_timeout(timeout, transport.flush()).await
}

/// Fails a write that takes too long, so that the link of a peer that never reads is closed.
async fn with_timeout(
    limit: Duration,
    work: impl std::future::Future<Output = Result<(), StreamError>>,
) -> Result<(), StreamError> {
    match tokio::time::timeout(limit, work).await {
        Ok(done) => done,
        Err(_) => Err(io::Error::new(io::ErrorKind::TimedOut, "the peer does not read").into()),
    }
}

/// Reads the next message; `None` at end of stream. Never completes if there is no connection.
pub(crate) async fn read(transport: &mut Option<Transport>) -> Option<Result<Frame, StreamError>> {
    match transport {
        Some(transport) => transport.next().await,
        None => std::future::pending().await,
    }
}

/// Reads a message that is already buffered; `None` if there is none.
pub(crate) fn read_now(transport: &mut Transport) -> Option<Option<Result<Frame, StreamError>>> {
    transport.next().now_or_never()
}
