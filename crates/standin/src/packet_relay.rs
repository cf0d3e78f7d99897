//! A relay of M3UA packets that loses some and doubles others, one by one.

use std::net::SocketAddr;

use baydrift_isup::{Codec, Packet};
use futures_util::{SinkExt, StreamExt};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{FramedRead, FramedWrite};

/// A running relay; it ends when this is dropped.
pub struct PacketRelay {
    /// Where it listens.
    pub addr: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for PacketRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PacketRelay {
    /// A relay to an address that loses and doubles these shares, each way.
    ///
    /// # Errors
    /// Where the socket cannot be bound.
    pub async fn start(to: SocketAddr, lost: f64, doubled: f64, seed: u64) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let task = tokio::spawn(async move {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(to).await else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
                let there = carry(near_in, far_out, lost, doubled, rng.random());
                let back = carry(far_in, near_out, lost, doubled, rng.random());
                tokio::spawn(async move {
                    tokio::select! {
                        () = there => {}
                        () = back => {}
                    }
                });
            }
        });
        Ok(Self { addr, task })
    }
}

async fn carry(from: OwnedReadHalf, to: OwnedWriteHalf, lost: f64, doubled: f64, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (mut from, mut to) = (FramedRead::new(from, Codec), FramedWrite::new(to, Codec));
    while let Some(Ok(packet)) = from.next().await {
        // Only traffic is lost: the link's own words come by a transport that repeats them.
        let draw = if matches!(packet, Packet::Data(_)) { rng.random::<f64>() } else { 1.0 };
        if draw < lost {
            continue;
        }
        if draw < lost + doubled && to.feed(packet.clone()).await.is_err() {
            return;
        }
        if to.send(packet).await.is_err() {
            return;
        }
    }
}
