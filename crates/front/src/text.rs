//! H.248 text commands on sockets: datagrams, and TPKT over TCP.

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

use crate::core::ToCore;
use crate::link::accept;
use crate::Shared;

/// Links of text clients are numbered from here, those of Diameter clients below.
static NEXT: AtomicU64 = AtomicU64::new(1 << 32);

fn next_link() -> LinkId {
    LinkId(NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Addresses that datagrams came from; the one that was silent longest makes room for a new one.
const ADDRESSES: usize = 4_096;
/// Connections at once; more wait.
const CONNECTIONS: usize = 256;
/// Texts that wait to be written to one connection.
const QUEUE: usize = 4_096;

/// What is to be sent as a datagram.
pub(crate) type Datagram = (LinkId, Arc<str>);

/// Who is behind which address.
#[derive(Default)]
struct Addresses {
    links: BTreeMap<SocketAddr, (LinkId, u64)>,
    addrs: BTreeMap<LinkId, SocketAddr>,
    heard: u64,
}

impl Addresses {
    /// The link of an address, and the one that had to make room.
    fn link(&mut self, addr: SocketAddr) -> (LinkId, Option<LinkId>) {
        self.heard += 1;
        if let Some((link, heard)) = self.links.get_mut(&addr) {
            *heard = self.heard;
            return (*link, None);
        }
        let mut gone = None;
        if self.links.len() >= ADDRESSES {
            let oldest = self.links.iter().min_by_key(|(_, (_, heard))| *heard).map(|(addr, _)| *addr);
            gone = oldest.and_then(|addr| self.links.remove(&addr)).map(|(link, _)| link);
            if let Some(link) = gone {
                self.addrs.remove(&link);
            }
        }
        let link = next_link();
        self.links.insert(addr, (link, self.heard));
        self.addrs.insert(link, addr);
        (link, gone)
    }
}

pub(crate) async fn datagrams(shared: Arc<Shared>, socket: UdpSocket, mut to_send: mpsc::Receiver<Datagram>) {
    let mut buffer = vec![0u8; TEXT_MAX + 1];
    let mut addresses = Addresses::default();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((size, addr)) = received else {
                    // A peer's closed port shows as an error of the next read.
                    tokio::task::yield_now().await;
                    continue;
                };
                let (link, gone) = addresses.link(addr);
                if let Some(gone) = gone {
                    let _ = shared.core.send(ToCore::Desk(SessionInput::TextClosed(gone))).await;
                }
                let bytes = buffer[..size].to_vec();
                // A core that is behind loses datagrams, as a network does: they come again.
                let input = SessionInput::Text { link, reliable: false, bytes };
                if shared.core.try_send(ToCore::Desk(input)).is_err() {
                    debug!(%addr, "datagram lost: the core is behind");
                }
            }
            datagram = to_send.recv() => {
                let Some((link, text)) = datagram else { return };
                if let Some(addr) = addresses.addrs.get(&link) {
                    if let Err(error) = socket.send_to(text.as_bytes(), addr).await {
                        debug!(%addr, %error, "datagram lost");
                    }
                }
            }
        }
    }
}

pub(crate) async fn packets(shared: Arc<Shared>, listener: TcpListener) {
    let room = Arc::new(Semaphore::new(CONNECTIONS));
    let mut closing = shared.closing.clone();
    while let Some((stream, addr, permit)) = accept(&listener, &room, &mut closing).await {
        let shared = shared.clone();
        tokio::spawn(async move {
            let link = next_link();
            info!(link = link.0, %addr, "text client connected");
            if let Err(error) = connection(&shared, stream, link).await {
                warn!(link = link.0, %error, "text client's link closed");
            }
            let _ = shared.core.send(ToCore::Desk(SessionInput::TextClosed(link))).await;
            drop(permit);
        });
    }
}

async fn connection(shared: &Arc<Shared>, mut stream: TcpStream, link: LinkId) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let (to_link, mut from_core) = mpsc::channel::<Arc<str>>(QUEUE);
    if shared.core.send(ToCore::TextUp(link, to_link)).await.is_err() {
        return Ok(());
    }
    let patience = Duration::from_micros(shared.config.links.write);
    let mut buffer = BytesMut::with_capacity(4_096);
    loop {
        // At most one packet beyond what was read waits here.
        while let Some((bytes, size)) =
            unframe(&buffer).map_err(std::io::Error::other)?.map(|(text, size)| (text.to_vec(), size))
        {
            buffer.advance(size);
            let input = SessionInput::Text { link, reliable: true, bytes };
            if shared.core.send(ToCore::Desk(input)).await.is_err() {
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
                match tokio::time::timeout(patience, stream.write_all(&packet)).await {
                    Ok(written) => written?,
                    Err(_) => return Err(std::io::Error::new(std::io::ErrorKind::TimedOut, "it does not read")),
                }
            }
        }
    }
}
