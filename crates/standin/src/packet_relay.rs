//! A relay of M3UA packets that loses some and duplicates others.

use std::net::SocketAddr;

use baydrift_isup::{Codec, Packet};
use futures_util::{SinkExt, StreamExt};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{FramedRead, FramedWrite};

/// A running relay; it stops accepting when this is dropped.
pub struct PacketRelay {
    /// Its listening address.
    pub addr: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for PacketRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PacketRelay {
    /// Starts a relay to an address. It loses and duplicates the given shares of the packets, in each
    /// direction.
    ///
    /// # Errors
    /// If the socket cannot be bound.
    pub async fn start(to: SocketAddr, lost: f64, duplicated: f64, seed: u64) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let task = tokio::spawn(async move {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(to).await else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
                let forward = relay(near_in, far_out, lost, duplicated, rng.random());
                let backward = relay(far_in, near_out, lost, duplicated, rng.random());
                tokio::spawn(async move {
                    tokio::select! {
                        () = forward => {}
                        () = backward => {}
                    }
                });
            }
        });
        Ok(Self { addr, task })
    }
}

/// Relays one direction.
async fn relay(from: OwnedReadHalf, to: OwnedWriteHalf, lost: f64, duplicated: f64, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (mut from, mut to) = (FramedRead::new(from, Codec), FramedWrite::new(to, Codec));
    while let Some(Ok(packet)) = from.next().await {
        // Only traffic is lost or duplicated: link management runs over a reliable transport.
        let draw = if matches!(packet, Packet::Data(_)) { rng.random::<f64>() } else { 1.0 };
        if draw < lost {
            continue;
        }
        if draw < lost + duplicated && to.feed(packet.clone()).await.is_err() {
            return;
        }
        if to.send(packet).await.is_err() {
            return;
        }
    }
}
