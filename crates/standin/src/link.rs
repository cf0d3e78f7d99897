//! A link with faults: a relay of bytes that delays, stalls, cuts at a chosen byte or drops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift_audit::Recorder;
use baydrift_emulator::{said, Fault};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};

/// A running link; it ends when this is dropped.
pub struct Link {
    /// Where it listens.
    pub addr: SocketAddr,
    fault: watch::Sender<Fault>,
}

impl Link {
    /// A link to an address.
    ///
    /// # Errors
    /// Where the socket cannot be bound.
    pub async fn start(to: SocketAddr, fault: Fault) -> std::io::Result<Self> {
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
                    gone = ended.changed() => match gone {
                        Ok(()) => continue,
                        Err(_) => return,
                    },
                };
                tokio::spawn(carry(stream, to, faults.clone()));
            }
        });
        Ok(Self { addr, fault })
    }

    /// Changes what it does from now on.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

async fn carry(near: TcpStream, to: SocketAddr, faults: watch::Receiver<Fault>) {
    if faults.borrow().down {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    let budget = faults.borrow().cut_after;
    let (cut, mut is_cut) = mpsc::channel::<()>(1);
    let cut = Arc::new(cut);
    let mut down = faults.clone();
    let there =
        tokio::spawn(pump(near_in, far_out, faults.clone(), |fault| fault.stalled, budget, cut.clone()));
    let back = tokio::spawn(pump(far_in, near_out, faults, |fault| fault.stalled_back, None, cut));
    tokio::select! {
        _ = is_cut.recv() => {}
        _ = down.wait_for(|fault| fault.down) => {}
    }
    there.abort();
    back.abort();
}

/// One direction: bytes leave no sooner than the delay after they came, in order.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<Fault>,
    stalled: fn(&Fault) -> bool,
    mut budget: Option<u64>,
    cut: Arc<mpsc::Sender<()>>,
) {
    // Bounded: a stalled link fills up and then holds its sender.
    let (hold, mut held) = mpsc::channel::<(tokio::time::Instant, Vec<u8>)>(64);
    let mut clock = faults.clone();
    let reader = async move {
        let mut buffer = vec![0u8; 16 * 1024];
        while let Ok(size @ 1..) = from.read(&mut buffer).await {
            let due = tokio::time::Instant::now() + Duration::from_micros(clock.borrow_and_update().delay);
            if hold.send((due, buffer[..size].to_vec())).await.is_err() {
                break;
            }
        }
    };
    let writer = async {
        while let Some((due, bytes)) = held.recv().await {
            tokio::time::sleep_until(due).await;
            if faults.wait_for(|fault| !stalled(fault)).await.is_err() {
                break;
            }
            let size = budget.map_or(bytes.len(), |left| bytes.len().min(left as usize));
            if to.write_all(&bytes[..size]).await.is_err() {
                break;
            }
            budget = budget.map(|left| left - size as u64);
            if budget == Some(0) {
                break;
            }
        }
    };
    tokio::join!(reader, async {
        writer.await;
        let _ = cut.send(()).await;
    });
}

/// A relay of datagrams between two fronts that can lose them. Each front knows the other by this address.
pub struct DatagramRelay {
    /// Its address.
    pub addr: SocketAddr,
    ends: watch::Sender<Option<(SocketAddr, SocketAddr)>>,
    lost: watch::Sender<f64>,
}

/// Whose datagrams a relay puts on record: the client that is not `front`.
pub struct RecordedClient {
    /// The client's name.
    pub client: String,
    /// The record.
    pub recorder: Arc<Recorder>,
}

impl DatagramRelay {
    /// A relay that knows its ends only once [`DatagramRelay::between`] tells them; `seed` draws what is lost.
    ///
    /// # Errors
    /// Where the socket cannot be bound.
    pub async fn start(seed: u64, watched: Option<RecordedClient>) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let addr = socket.local_addr()?;
        let (ends, known) = watch::channel(None);
        let (lost, share) = watch::channel(0.0);
        tokio::spawn(async move {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut buffer = vec![0u8; 65_536];
            let mut gone = known.clone();
            let mut spoke = None;
            loop {
                let received = tokio::select! {
                    received = socket.recv_from(&mut buffer) => received,
                    changed = gone.changed() => match changed {
                        Ok(()) => continue,
                        Err(_) => return,
                    },
                };
                let (Ok((size, from)), Some((a, b))) = (received, *known.borrow()) else { continue };
                let a = if a == b && from != b { *spoke.insert(from) } else { spoke.unwrap_or(a) };
                let to = if from == a { b } else { a };
                let lost = rng.random::<f64>() < *share.borrow();
                if let Some(watched) = &watched {
                    // On record before it is on its way: what it causes is seen later.
                    let text = String::from_utf8_lossy(&buffer[..size]);
                    let moments = said(&watched.client, to == b, &text, lost);
                    moments.into_iter().for_each(|moment| watched.recorder.put(moment));
                }
                if !lost {
                    let _ = socket.send_to(&buffer[..size], to).await;
                }
            }
        });
        Ok(Self { addr, ends, lost })
    }

    /// Relays between this end and the first other that speaks.
    pub fn to(&self, b: SocketAddr) {
        self.ends.send_replace(Some((b, b)));
    }

    /// Relays between these two.
    pub fn between(&self, a: SocketAddr, b: SocketAddr) {
        self.ends.send_replace(Some((a, b)));
    }

    /// Loses this share from now on.
    pub fn lose(&self, share: f64) {
        self.lost.send_replace(share);
    }
}
