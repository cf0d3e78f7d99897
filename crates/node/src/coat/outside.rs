//! The tasks around the core: signals, the listener, dials and datagrams.

#[cfg(test)]
mod tests;

use std::cell::{Cell, OnceCell};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use baydrift::interface::MESSAGE_MAX;
use baydrift_call::LinkId;
use baydrift_platform::dns::ANSWER_MAX;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, Notify, Semaphore};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::Instant;

use super::line::Line;
use super::{Arrival, StartError, CALLER_PATIENCE, SERVER_PATIENCE};
use crate::state::{ConnId, Input};

/// Pause after the system gave no descriptor for a connection that waits.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// Pause until an address that another process holds is tried again ...
const BIND_AGAIN: Duration = Duration::from_millis(20);
/// ... and how long: the process before this one ends within 4 s of its SIGTERM, and a front node that is not ready
/// after 30 s has failed.
const BIND_WITHIN: Duration = Duration::from_secs(20);

/// SIGHUP reloads, SIGTERM and SIGINT stop.
pub(super) fn signals(core: &mpsc::Sender<Arrival>) -> io::Result<()> {
    let kinds = [SignalKind::hangup(), SignalKind::terminate(), SignalKind::interrupt()];
    for kind in kinds {
        let (mut signals, core) = (signal(kind)?, core.clone());
        spawn_local(async move {
            while signals.recv().await.is_some() {
                let stop = kind != SignalKind::hangup();
                let told = if stop { Input::Stop } else { Input::Moved };
                if core.send(told.into()).await.is_err() {
                    return;
                }
            }
        });
    }
    Ok(())
}

/// Listens for callers; `None` when told to stop before it could. Guards against a start while the process before this
/// one still answers what it had taken: its address is taken over as soon as it is free.
pub(super) async fn bind(
    at: SocketAddr,
    inputs: &mut mpsc::Receiver<Arrival>,
) -> Result<Option<TcpListener>, StartError> {
    let until = Instant::now() + BIND_WITHIN;
    loop {
        match TcpListener::bind(at).await {
            Ok(listener) => return Ok(Some(listener)),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < until => {}
            Err(e) => return Err(StartError::Listen(at, e)),
        }
        tokio::select! {
            told = inputs.recv() => if matches!(told, Some(Arrival { input: Input::Stop, .. })) {
                return Ok(None);
            },
            () = tokio::time::sleep(BIND_AGAIN) => {}
        }
    }
}

/// Takes connections until `deaf` is told, and with that those that the kernel has taken already. Each holds a slot
/// until its socket is closed, so that callers never take the descriptors that servers and discovery need.
pub(super) async fn listen(
    listener: TcpListener,
    core: mpsc::Sender<Arrival>,
    slots: Arc<Semaphore>,
    deaf: Rc<Notify>,
) {
    let mut next = 0;
    let mut up = |stream, from: SocketAddr, slot| {
        next += 1;
        let line = Line::new(stream, CALLER_PATIENCE, slot);
        Arrival::new(Input::CallerUp(LinkId(next), from.ip()), Some(line))
    };
    loop {
        let accepted = async {
            let slot = slots.clone().acquire_owned().await.ok();
            Ok::<_, io::Error>((listener.accept().await?, slot))
        };
        tokio::select! {
            biased;
            () = deaf.notified() => break,
            accepted = accepted => match accepted {
                Ok(((stream, from), slot)) => {
                    if core.send(up(stream, from, slot)).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    tracing::debug!("accept: {error}");
                    tokio::time::sleep(ACCEPT_AGAIN).await;
                }
            },
        }
    }
    // Guards against set-ups that lie whole in connections which nobody has accepted yet: closing the listener would
    // reset them.
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, from)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        let Ok(stream) = stream else { continue };
        if core.send(up(stream, from, slots.clone().try_acquire_owned().ok())).await.is_err() {
            return;
        }
    }
}

/// Connects to a signalling server.
pub(super) async fn dial(conn: ConnId, to: SocketAddr, within: Duration, core: mpsc::Sender<Arrival>) {
    let told = match tokio::time::timeout(within, TcpStream::connect(to)).await {
        Ok(Ok(stream)) => Arrival::new(Input::ServerUp(conn), Some(Line::new(stream, SERVER_PATIENCE, None))),
        Ok(Err(error)) => Input::DialFailed(conn, error.kind() == io::ErrorKind::ConnectionRefused).into(),
        Err(_) => Input::DialFailed(conn, false).into(),
    };
    let _ = core.send(told).await;
}

/// The way to the name server.
pub(super) struct Resolver {
    socket: Rc<UdpSocket>,
    at: Rc<Cell<SocketAddr>>,
    core: mpsc::Sender<Arrival>,
    reader: JoinHandle<()>,
}

impl Resolver {
    pub(super) fn new(at: SocketAddr, core: &mpsc::Sender<Arrival>) -> io::Result<Self> {
        let (socket, at) = (Rc::new(Self::socket(at)?), Rc::new(Cell::new(at)));
        let reader = spawn_local(names(socket.clone(), at.clone(), core.clone()));
        Ok(Self { socket, at, core: core.clone(), reader })
    }

    fn socket(to: SocketAddr) -> io::Result<UdpSocket> {
        let any: SocketAddr = match to.ip() {
            IpAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
            IpAddr::V6(_) => ([0u16; 8], 0).into(),
        };
        let socket = std::net::UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    }

    /// Asks at another address from now on.
    pub(super) fn asks(&self, at: SocketAddr) {
        self.at.set(at);
    }

    /// Sends a question; `anew`: from another port. A datagram that the system does not take is one that got lost.
    pub(super) fn ask(&mut self, query: &[u8], anew: bool) {
        // Without a descriptor to spare the old one serves on.
        if let Some(socket) = anew.then(|| Self::socket(self.at.get()).ok()).flatten() {
            self.reader.abort();
            self.socket = Rc::new(socket);
            self.reader = spawn_local(names(self.socket.clone(), self.at.clone(), self.core.clone()));
        }
        // Not by the runtime, which knows a new socket for writable only later: the first question would be lost.
        drop(SockRef::from(&*self.socket).send_to(query, &self.at.get().into()));
    }
}

/// Hands the core what comes from the name server's present address, and from nowhere else.
async fn names(socket: Rc<UdpSocket>, at: Rc<Cell<SocketAddr>>, core: mpsc::Sender<Arrival>) {
    let mut buffer = vec![0; ANSWER_MAX + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((size, from)) if from == at.get() => {
                if core.send(Input::Names(buffer[..size].to_vec()).into()).await.is_err() {
                    return;
                }
            }
            Ok(_) => {}
            // An ICMP word on an earlier datagram; the next question asks again.
            Err(_) => tokio::time::sleep(ACCEPT_AGAIN).await,
        }
    }
}

/// The way to other front nodes, as soon as its own address is free.
pub(super) struct Peers {
    socket: OnceCell<UdpSocket>,
    all: Rc<[SocketAddr]>,
}

impl Peers {
    /// Binds and reads in the background: no caller waits for it.
    pub(super) async fn start(
        at: SocketAddr,
        all: Rc<[SocketAddr]>,
        core: &mpsc::Sender<Arrival>,
    ) -> Result<Rc<Self>, StartError> {
        let peers = Rc::new(Self { socket: OnceCell::new(), all });
        peers.bind(at).await?;
        let (reader, core) = (peers.clone(), core.clone());
        spawn_local(async move { reader.read(at, core).await });
        Ok(peers)
    }

    /// `false` while another process holds the address.
    async fn bind(&self, at: SocketAddr) -> Result<bool, StartError> {
        match UdpSocket::bind(at).await {
            Ok(socket) => Ok(self.socket.set(socket).is_ok()),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => Ok(false),
            Err(e) => Err(StartError::Listen(at, e)),
        }
    }

    /// Sends one a datagram; one that cannot be sent is lost.
    pub(super) fn tell(&self, to: u32, payload: &[u8]) {
        if let (Some(socket), Some(at)) = (self.socket.get(), self.all.get(to as usize)) {
            drop(socket.try_send_to(payload, *at));
        }
    }

    /// Hands the core what comes from other front nodes' addresses.
    async fn read(&self, at: SocketAddr, core: mpsc::Sender<Arrival>) {
        let socket = loop {
            if let Some(socket) = self.socket.get() {
                break socket;
            }
            tokio::time::sleep(BIND_AGAIN).await;
            if let Err(error) = self.bind(at).await {
                return tracing::error!("other front nodes are not heard: {error}");
            }
        };
        let mut buffer = [0; MESSAGE_MAX + 1];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((size, from)) if size <= MESSAGE_MAX => {
                    let Some(number) = self.all.iter().position(|at| *at == from) else { continue };
                    let told = Input::Peer(number as u32, buffer[..size].to_vec());
                    if core.send(told.into()).await.is_err() {
                        return;
                    }
                }
                Ok(_) => {}
                Err(_) => tokio::time::sleep(ACCEPT_AGAIN).await,
            }
        }
    }
}
