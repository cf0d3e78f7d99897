//! Relays that inject faults. [`Link`] relays TCP connections and delays, stalls or closes them, also after a
//! given number of bytes; [`DatagramRelay`] relays UDP datagrams and loses some.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift_audit::Recorder;
use baydrift_emulator::{datagram_events, LinkFault};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};

/// A running TCP relay; it stops and closes its connections when this is dropped.
pub struct Link {
    /// Its listening address.
    pub addr: SocketAddr,
    fault: watch::Sender<LinkFault>,
}

impl Link {
    /// Starts a relay to an address.
    ///
    /// # Errors
    /// If the socket cannot be bound.
    pub async fn start(to: SocketAddr, fault: LinkFault) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (fault, faults) = watch::channel(fault);
        tokio::spawn(async move {
            let mut ended = faults.clone();
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => stream,
                        Err(_) => continue,
                    },
                    dropped = ended.changed() => match dropped {
                        Ok(()) => continue,
                        Err(_) => return,
                    },
                };
                tokio::spawn(relay(stream, to, faults.clone()));
            }
        });
        Ok(Self { addr, fault })
    }

    /// Replaces the injected fault.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

/// Relays one connection until it ends, reaches the fault's byte limit or the link goes down.
async fn relay(near: TcpStream, to: SocketAddr, faults: watch::Receiver<LinkFault>) {
    if faults.borrow().down {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    let byte_limit = faults.borrow().cut_after;
    let (close, mut closed) = mpsc::channel::<()>(1);
    let close = Arc::new(close);
    let mut down = faults.clone();
    let forward = tokio::spawn(pump(
        near_in,
        far_out,
        faults.clone(),
        |fault| fault.stalled,
        byte_limit,
        close.clone(),
    ));
    let backward = tokio::spawn(pump(far_in, near_out, faults, |fault| fault.stalled_back, None, close));
    tokio::select! {
        _ = closed.recv() => {}
        _ = down.wait_for(|fault| fault.down) => {}
    }
    forward.abort();
    backward.abort();
}

/// Relays one direction: bytes leave in order, at the earliest after the fault's delay.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<LinkFault>,
    stalled: fn(&LinkFault) -> bool,
    mut byte_limit: Option<u64>,
    close: Arc<mpsc::Sender<()>>,
) {
    // The queue is bounded, so that a stalled link fills up and then blocks its sender.
    let (queue, mut queued) = mpsc::channel::<(tokio::time::Instant, Vec<u8>)>(64);
    let mut clock = faults.clone();
    let reader = async move {
        let mut buffer = vec![0u8; 16 * 1024];
        while let Ok(size @ 1..) = from.read(&mut buffer).await {
            let due = tokio::time::Instant::now() + Duration::from_micros(clock.borrow_and_update().delay);
            if queue.send((due, buffer[..size].to_vec())).await.is_err() {
                break;
            }
        }
    };
    let writer = async {
        while let Some((due, bytes)) = queued.recv().await {
            tokio::time::sleep_until(due).await;
            if faults.wait_for(|fault| !stalled(fault)).await.is_err() {
                break;
            }
            let size = byte_limit.map_or(bytes.len(), |left| bytes.len().min(left as usize));
            if to.write_all(&bytes[..size]).await.is_err() {
                break;
            }
            byte_limit = byte_limit.map(|left| left - size as u64);
            if byte_limit == Some(0) {
                break;
            }
        }
    };
    tokio::join!(reader, async {
        writer.await;
        let _ = close.send(()).await;
    });
}

/// A running UDP relay between two ends that loses a share of the datagrams. Each end knows the other by the
/// relay's address.
pub struct DatagramRelay {
    /// Its own address.
    pub addr: SocketAddr,
    ends: watch::Sender<Option<(SocketAddr, SocketAddr)>>,
    lost: watch::Sender<f64>,
}

/// The client whose datagrams a relay puts on record.
pub struct RecordedClient {
    /// The client's name.
    pub client: String,
    /// Receives the datagrams' events.
    pub recorder: Arc<Recorder>,
}

impl DatagramRelay {
    /// Starts a relay. It discards datagrams until [`DatagramRelay::to`] or [`DatagramRelay::between`] sets
    /// its ends; `seed` determines which datagrams are lost.
    ///
    /// # Errors
    /// If the socket cannot be bound.
    pub async fn start(seed: u64, recorded: Option<RecordedClient>) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let addr = socket.local_addr()?;
        let (ends, known) = watch::channel(None);
        let (lost, share) = watch::channel(0.0);
        tokio::spawn(async move {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut buffer = vec![0u8; 65_536];
            let mut changes = known.clone();
            let mut last_sender = None;
            loop {
                let received = tokio::select! {
                    received = socket.recv_from(&mut buffer) => received,
                    changed = changes.changed() => match changed {
                        Ok(()) => continue,
                        Err(_) => return,
                    },
                };
                let (Ok((size, from)), Some((a, b))) = (received, *known.borrow()) else { continue };
                let a =
                    if a == b && from != b { *last_sender.insert(from) } else { last_sender.unwrap_or(a) };
                let to = if from == a { b } else { a };
                let lost = rng.random::<f64>() < *share.borrow();
                if let Some(recorded) = &recorded {
                    // Recorded before it is forwarded, so that its effects are recorded after it.
                    let text = String::from_utf8_lossy(&buffer[..size]);
                    let events = datagram_events(&recorded.client, to == b, &text, lost);
                    events.into_iter().for_each(|event| recorded.recorder.put(event));
                }
                if !lost {
                    let _ = socket.send_to(&buffer[..size], to).await;
                }
            }
        });
        Ok(Self { addr, ends, lost })
    }

    /// Relays between this end and the latest other sender.
    pub fn to(&self, b: SocketAddr) {
        self.ends.send_replace(Some((b, b)));
    }

    /// Relays between these two ends.
    pub fn between(&self, a: SocketAddr, b: SocketAddr) {
        self.ends.send_replace(Some((a, b)));
    }

    /// Sets the share of datagrams that are lost.
    pub fn lose(&self, share: f64) {
        self.lost.send_replace(share);
    }
}
