//! A session server on a socket.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift_audit::{RecordEvent, Recorder};
use baydrift_diameter::{Codec, Frame, Message};
use baydrift_emulator::{Command, ConnId, ServerInput, ServerOutput, ServerSpec, SessionServer};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

/// Where a server's process starts: at an address that it had before, and then cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Restart {
    /// Where it listens again.
    pub addr: SocketAddr,
    /// Its origin state: another than that of any process before it.
    pub state_id: u32,
}

/// A running server; it ends when this is dropped.
pub struct Server {
    /// Where it listens.
    pub addr: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
}

impl Server {
    /// Listens on loopback and runs on the current runtime.
    ///
    /// # Errors
    /// Where the socket cannot be bound.
    pub async fn start(spec: ServerSpec, recorder: Arc<Recorder>, seed: u64) -> std::io::Result<Self> {
        Self::start_at(spec, recorder, seed, None).await
    }

    /// As [`Server::start`], or as a later process of the server.
    ///
    /// # Errors
    /// As there; also where the address stays taken.
    pub async fn start_at(
        spec: ServerSpec,
        recorder: Arc<Recorder>,
        seed: u64,
        again: Option<Restart>,
    ) -> std::io::Result<Self> {
        let listener = match again {
            None => TcpListener::bind("127.0.0.1:0").await?,
            Some(again) => listen_again(again.addr).await.ok_or(std::io::ErrorKind::AddrInUse)?,
        };
        let addr = listener.local_addr()?;
        let (commands, received) = mpsc::unbounded_channel();
        recorder.put(RecordEvent::ServerStarted { server: spec.number, cold: again.is_some() });
        let model = SessionServer::new(spec, vec![addr.ip()], seed);
        let model = match again {
            None => model,
            Some(again) => model.cold(recorder.now(), again.state_id),
        };
        tokio::spawn(run(model, listener, addr, received, recorder));
        Ok(Self { addr, commands })
    }

    /// Causes a trouble.
    pub fn command(&self, command: Command) {
        let _ = self.commands.send(command);
    }
}

/// The port of a process that died is taken again, though old connections linger.
pub(crate) async fn listen_again(addr: SocketAddr) -> Option<TcpListener> {
    for _ in 0..200 {
        let socket = TcpSocket::new_v4().ok()?;
        let _ = socket.set_reuseaddr(true);
        if let Ok(listener) = socket.bind(addr).and_then(|()| socket.listen(1024)) {
            return Some(listener);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    None
}

async fn accept(listener: &Option<TcpListener>) -> std::io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn run(
    mut model: SessionServer,
    listener: TcpListener,
    addr: SocketAddr,
    mut commands: mpsc::UnboundedReceiver<Command>,
    recorder: Arc<Recorder>,
) {
    let mut listener = Some(listener);
    let mut conns: BTreeMap<ConnId, mpsc::UnboundedSender<Message>> = BTreeMap::new();
    let (to_model, mut from_conns) = mpsc::unbounded_channel::<ServerInput>();
    let (mut next, mut out) = (0, Vec::new());
    loop {
        let now = recorder.now();
        let wait = Duration::from_micros(model.due().saturating_sub(now).min(10_000_000));
        let input = tokio::select! {
            stream = accept(&listener) => match stream {
                Ok(stream) => {
                    let (to_conn, from_model) = mpsc::unbounded_channel();
                    next += 1;
                    conns.insert(next, to_conn);
                    tokio::spawn(carry(next, stream, from_model, to_model.clone()));
                    ServerInput::Accepted(next)
                }
                Err(_) => continue,
            },
            Some(input) = from_conns.recv() => input,
            command = commands.recv() => match command {
                Some(command) => ServerInput::Command(command),
                None => return,
            },
            () = tokio::time::sleep(wait) => ServerInput::Tick,
        };
        if let ServerInput::Closed(id) = &input {
            conns.remove(id);
        }
        model.handle(recorder.now(), input, &mut out);
        for output in out.drain(..) {
            match output {
                ServerOutput::Send(id, message) => {
                    if let Some(conn) = conns.get(&id) {
                        let _ = conn.send(message);
                    }
                }
                ServerOutput::Close(id) => drop(conns.remove(&id)),
                ServerOutput::Record(moment) => recorder.put(moment),
                ServerOutput::Stopped => {
                    listener = None;
                    conns.clear();
                }
                ServerOutput::Started => listener = listen_again(addr).await,
            }
        }
    }
}

/// One connection; it closes when its queue from the model does.
async fn carry(
    id: ConnId,
    stream: TcpStream,
    mut from_model: mpsc::UnboundedReceiver<Message>,
    to_model: mpsc::UnboundedSender<ServerInput>,
) {
    let _ = stream.set_nodelay(true);
    let mut wire = Framed::new(stream, Codec::default());
    loop {
        tokio::select! {
            frame = wire.next() => match frame {
                Some(Ok(frame @ (Frame::Valid(_) | Frame::Invalid(..)))) => {
                    let _ = to_model.send(ServerInput::Received(id, frame));
                }
                _ => {
                    let _ = to_model.send(ServerInput::Closed(id));
                    return;
                }
            },
            message = from_model.recv() => {
                let Some(message) = message else {
                    let _ = wire.flush().await;
                    return;
                };
                let _ = wire.feed(message).await;
                while let Ok(message) = from_model.try_recv() {
                    let _ = wire.feed(message).await;
                }
                let _ = wire.flush().await;
            }
        }
    }
}
