//! H.248 text commands over UDP datagrams, and over TCP as TPKT packets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use baydrift_call::LinkId;
use baydrift_desk::SessionInput;
use baydrift_h248::{frame, unframe, TEXT_MAX, TPKT_MAX};
use bytes::{Buf, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, Semaphore};
use tracing::{debug, info, warn};

use crate::core::CoreMessage;
use crate::link::accept;
use crate::Shared;

/// Next link id of a text client. Text clients start at 2^32; the ids of Diameter clients are below.
static NEXT_LINK: AtomicU64 = AtomicU64::new(1 << 32);

fn next_link() -> LinkId {
    LinkId(NEXT_LINK.fetch_add(1, Ordering::Relaxed))
}

/// Sender addresses kept at most; beyond it the least recently active one is evicted.
const MAX_ADDRESSES: usize = 4_096;
/// Concurrent TCP connections; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 256;
/// Capacity in texts of one connection's write queue.
const WRITE_QUEUE: usize = 4_096;

/// A text to be sent as a datagram to a link's address.
pub(crate) type Datagram = (LinkId, Arc<str>);

/// Sender addresses of datagrams and their links.
#[derive(Default)]
struct Addresses {
    /// Link of an address, and the sequence number of its last datagram.
    links: BTreeMap<SocketAddr, (LinkId, u64)>,
    addrs: BTreeMap<LinkId, SocketAddr>,
    /// Number of datagrams received.
    received: u64,
}

impl Addresses {
    /// Returns the link of an address, creating it if needed, and the link that was evicted for it.
    fn link(&mut self, addr: SocketAddr) -> (LinkId, Option<LinkId>) {
        self.received += 1;
        if let Some((link, last)) = self.links.get_mut(&addr) {
            *last = self.received;
            return (*link, None);
        }
        let mut evicted = None;
        if self.links.len() >= MAX_ADDRESSES {
            let oldest = self.links.iter().min_by_key(|(_, (_, last))| *last).map(|(addr, _)| *addr);
            evicted = oldest.and_then(|addr| self.links.remove(&addr)).map(|(link, _)| link);
            if let Some(link) = evicted {
                self.addrs.remove(&link);
            }
        }
        let link = next_link();
        self.links.insert(addr, (link, self.received));
        self.addrs.insert(link, addr);
        (link, evicted)
    }
}

/// Passes received datagrams to the core and sends those of the core.
pub(crate) async fn datagrams(shared: Arc<Shared>, socket: UdpSocket, mut to_send: mpsc::Receiver<Datagram>) {
    let mut buffer = vec![0u8; TEXT_MAX + 1];
    let mut addresses = Addresses::default();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((size, addr)) = received else {
                    // An ICMP error from a peer's closed port is reported by the next read and can be
                    // ignored.
                    tokio::task::yield_now().await;
                    continue;
                };
                let (link, evicted) = addresses.link(addr);
                if let Some(evicted) = evicted {
                    let _ = shared.core.send(CoreMessage::Desk(SessionInput::TextClosed(evicted))).await;
                }
                let bytes = buffer[..size].to_vec();
                // The datagram is dropped when the core's queue is full; the client retransmits it.
                let input = SessionInput::Text { link, reliable: false, bytes };
                if shared.core.try_send(CoreMessage::Desk(input)).is_err() {
                    debug!(%addr, "datagram dropped: the core's queue is full");
                }
            }
            datagram = to_send.recv() => {
                let Some((link, text)) = datagram else { return };
                if let Some(addr) = addresses.addrs.get(&link) {
                    if let Err(error) = socket.send_to(text.as_bytes(), addr).await {
                        debug!(%addr, %error, "datagram not sent");
                    }
                }
            }
        }
    }
}

/// Accepts and serves TCP connections.
pub(crate) async fn packets(shared: Arc<Shared>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut closing = shared.closing.clone();
    while let Some((stream, addr, permit)) = accept(&listener, &slots, &mut closing).await {
        let shared = shared.clone();
        tokio::spawn(async move {
            let link = next_link();
            info!(link = link.0, %addr, "text client connected");
            if let Err(error) = connection(&shared, stream, link).await {
                warn!(link = link.0, %error, "text client connection closed");
            }
            let _ = shared.core.send(CoreMessage::Desk(SessionInput::TextClosed(link))).await;
            drop(permit);
        });
    }
}

async fn connection(shared: &Arc<Shared>, mut stream: TcpStream, link: LinkId) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let (to_link, mut from_core) = mpsc::channel::<Arc<str>>(WRITE_QUEUE);
    if shared.core.send(CoreMessage::TextUp(link, to_link)).await.is_err() {
        return Ok(());
    }
    let write_timeout = Duration::from_micros(shared.config.links.write);
    let mut buffer = BytesMut::with_capacity(4_096);
    loop {
        // Handles all complete packets, so that at most one partial packet stays in the buffer.
        while let Some((bytes, size)) =
            unframe(&buffer).map_err(std::io::Error::other)?.map(|(text, size)| (text.to_vec(), size))
        {
            buffer.advance(size);
            let input = SessionInput::Text { link, reliable: true, bytes };
            if shared.core.send(CoreMessage::Desk(input)).await.is_err() {
                return Ok(());
            }
        }
        buffer.reserve(TPKT_MAX.min(4_096));
        tokio::select! {
            read = stream.read_buf(&mut buffer) => if read? == 0 {
                return Ok(());
            },
            text = from_core.recv() => {
                let Some(text) = text else { return Ok(()) };
                let packet = frame(text.as_bytes()).map_err(std::io::Error::other)?;
                match tokio::time::timeout(write_timeout, stream.write_all(&packet)).await {
                    Ok(written) => written?,
                    Err(_) => {
                        let kind = std::io::ErrorKind::TimedOut;
                        let error = std::io::Error::new(kind, "the text client does not read");
                        return Err(error);
                    },
                }
            }
        }
    }
}
