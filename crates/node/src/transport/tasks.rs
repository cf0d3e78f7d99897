//! The tasks around the core: signals, the listener, dials and datagram sockets.

#[cfg(test)]
mod tests;

use std::cell::{Cell, OnceCell};
use std::collections::VecDeque;
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

use super::connection::Connection;
use super::input::{Arrival, InputSender};
use super::{StartError, CALLER_WRITE_TIMEOUT, SERVER_WRITE_TIMEOUT};
use crate::state::{ConnId, Input};

/// Pause after a failed accept, for want of a descriptor, or a failed receive.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// Interval of attempts to bind an address that another process holds.
const BIND_RETRY: Duration = Duration::from_millis(20);
/// Time after which binding has failed: the previous process ends within 4 s of its SIGTERM, and a front node
/// that is not ready after 30 s counts as failed.
const BIND_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of ports on which answers of the name server are received: the present one, and those that
/// it replaced within the 4.8 s for which answers are accepted, one in 0.6 s.
const RESOLVER_PORTS_MAX: usize = 9;

/// SIGHUP reloads, SIGTERM and SIGINT stop.
pub(super) fn signals(core: &InputSender) -> io::Result<()> {
    let kinds = [SignalKind::hangup(), SignalKind::terminate(), SignalKind::interrupt()];
    for kind in kinds {
        let (mut signals, core) = (signal(kind)?, core.clone());
        spawn_local(async move {
            while signals.recv().await.is_some() {
                let stop = kind != SignalKind::hangup();
                let input = if stop { Input::Stop } else { Input::NameServerChanged };
                if core.send(input).await.is_err() {
                    return;
                }
            }
        });
    }
    Ok(())
}

/// Listens for callers; `None` if stopped before the address was bound. Guards against a start while the
/// previous process still answers its set-ups: the address is bound as soon as it is free.
pub(super) async fn bind(
    at: SocketAddr,
    inputs: &mut mpsc::Receiver<Arrival>,
) -> Result<Option<TcpListener>, StartError> {
    let until = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(at).await {
            Ok(listener) => return Ok(Some(listener)),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < until => {}
            Err(e) => return Err(StartError::Listen(at, e)),
        }
        tokio::select! {
            input = inputs.recv() => if matches!(input, Some(Arrival { input: Input::Stop, .. })) {
                return Ok(None);
            },
            () = tokio::time::sleep(BIND_RETRY) => {}
        }
    }
}

/// Accepts connections until `stop_accepting` is notified, and then those that the kernel has
/// already accepted. Each holds a slot until its socket is closed, so that callers never use
/// up the descriptors for servers and discovery.
pub(super) async fn listen(
    listener: TcpListener,
    core: InputSender,
    slots: Arc<Semaphore>,
    stop_accepting: Rc<Notify>,
) {
    let mut next = 0;
    let mut up = |stream, from: SocketAddr, slot| {
        next += 1;
        let conn = Connection::new(stream, CALLER_WRITE_TIMEOUT, slot);
        Arrival::new(Input::CallerUp(LinkId(next), from.ip()), Some(conn))
    };
    loop {
        let accepted = async {
            let slot = slots.clone().acquire_owned().await.ok();
            Ok::<_, io::Error>((listener.accept().await?, slot))
        };
        tokio::select! {
            biased;
            () = stop_accepting.notified() => break,
            accepted = accepted => match accepted {
                Ok(((stream, from), slot)) => {
                    if core.send(up(stream, from, slot)).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    tracing::debug!("accept: {error}");
                    tokio::time::sleep(ACCEPT_RETRY).await;
                }
            },
        }
    }
    // Guards against set-ups in connections that are still in the kernel's accept
    // queue: closing the listener would reset them.
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
pub(super) async fn dial(conn: ConnId, to: SocketAddr, within: Duration, core: InputSender) {
    let arrival = match tokio::time::timeout(within, TcpStream::connect(to)).await {
        Ok(Ok(stream)) => {
            Arrival::new(Input::ServerUp(conn), Some(Connection::new(stream, SERVER_WRITE_TIMEOUT, None)))
        }
        Ok(Err(error)) => Input::DialFailed(conn, error.kind() == io::ErrorKind::ConnectionRefused).into(),
        Err(_) => Input::DialFailed(conn, false).into(),
    };
    let _ = core.send(arrival).await;
}

/// The UDP sockets for queries to the name server and its answers.
pub(super) struct Resolver {
    /// The socket of the present port, which sends the queries.
    socket: Rc<UdpSocket>,
    at: Rc<Cell<SocketAddr>>,
    core: InputSender,
    /// The readers of all ports, oldest first; each owns its socket.
    readers: VecDeque<JoinHandle<()>>,
}

impl Resolver {
    pub(super) fn new(at: SocketAddr, core: &InputSender) -> io::Result<Self> {
        let (socket, at) = (Rc::new(Self::socket(at)?), Rc::new(Cell::new(at)));
        let mut resolver = Self { socket, at, core: core.clone(), readers: VecDeque::new() };
        resolver.spawn_reader();
        Ok(resolver)
    }

    /// Starts to read from the present port; the oldest one is closed beyond [`RESOLVER_PORTS_MAX`].
    fn spawn_reader(&mut self) {
        let reader = read_answers(self.socket.clone(), self.at.clone(), self.core.clone());
        self.readers.push_back(spawn_local(reader));
        if self.readers.len() > RESOLVER_PORTS_MAX {
            if let Some(oldest) = self.readers.pop_front() {
                oldest.abort();
            }
        }
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

    /// Changes the name server's address.
    pub(super) fn set_address(&self, at: SocketAddr) {
        self.at.set(at);
    }

    /// Sends a query, with `new_port` from a new port. Answers to the former ones are still received: the name
    /// server may be slow. A datagram that the system does not accept counts as lost.
    pub(super) fn send_query(&mut self, query: &[u8], new_port: bool) {
        // If no socket can be opened, the old one stays in use.
        if let Some(socket) = new_port.then(|| Self::socket(self.at.get()).ok()).flatten() {
            self.socket = Rc::new(socket);
            self.spawn_reader();
        }
        // Bypasses the runtime, which considers a new socket writable only
        // later: the first query would be lost.
        drop(SockRef::from(&*self.socket).send_to(query, &self.at.get().into()));
    }
}

/// Passes datagrams from the name server's present address to the core and drops all others.
async fn read_answers(socket: Rc<UdpSocket>, at: Rc<Cell<SocketAddr>>, core: InputSender) {
    let mut buffer = vec![0; ANSWER_MAX + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((size, from)) if from == at.get() => {
                if core.send(Input::DiscoveryAnswer(buffer[..size].to_vec())).await.is_err() {
                    return;
                }
            }
            Ok(_) => {}
            // An ICMP error for an earlier datagram; the next query follows in any case.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
        }
    }
}

/// The UDP socket for other front nodes, which opens as soon as its address is free.
pub(super) struct Peers {
    socket: OnceCell<UdpSocket>,
    all: Rc<[SocketAddr]>,
}

impl Peers {
    /// Starts reading in the background; while the address is in use,
    /// callers are served without waiting for it.
    pub(super) async fn start(
        at: SocketAddr,
        all: Rc<[SocketAddr]>,
        core: &InputSender,
    ) -> Result<Rc<Self>, StartError> {
        let peers = Rc::new(Self { socket: OnceCell::new(), all });
        peers.bind(at).await?;
        let (reader, core) = (peers.clone(), core.clone());
        spawn_local(async move { reader.read(at, core).await });
        Ok(peers)
    }

    /// Binds the socket; returns `false` while another process holds the address.
    async fn bind(&self, at: SocketAddr) -> Result<bool, StartError> {
        match UdpSocket::bind(at).await {
            Ok(socket) => Ok(self.socket.set(socket).is_ok()),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => Ok(false),
            Err(e) => Err(StartError::Listen(at, e)),
        }
    }

    /// Sends a datagram to a front node; one that cannot be sent is lost.
    pub(super) fn send(&self, to: u32, payload: &[u8]) {
        if let (Some(socket), Some(at)) = (self.socket.get(), self.all.get(to as usize)) {
            drop(socket.try_send_to(payload, *at));
        }
    }

    /// Passes datagrams from the other front nodes' addresses to the core.
    async fn read(&self, at: SocketAddr, core: InputSender) {
        let socket = loop {
            if let Some(socket) = self.socket.get() {
                break socket;
            }
            tokio::time::sleep(BIND_RETRY).await;
            if let Err(error) = self.bind(at).await {
                return tracing::error!("no datagrams from other front nodes will be received: {error}");
            }
        };
        let mut buffer = [0; MESSAGE_MAX + 1];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((size, from)) if size <= MESSAGE_MAX => {
                    let Some(number) = self.all.iter().position(|at| *at == from) else { continue };
                    let input = Input::Peer(number as u32, buffer[..size].to_vec());
                    if core.send(input).await.is_err() {
                        return;
                    }
                }
                Ok(_) => {}
                Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
            }
        }
    }
}
