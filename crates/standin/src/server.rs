//! A Diameter session server on a TCP socket.

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

/// The restart of a server: its new process listens at the previous address and starts cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Restart {
    /// The address of the previous process.
    pub addr: SocketAddr,
    /// Its Origin-State-Id, which differs from that of every earlier process.
    pub state_id: u32,
}

/// A running server; it ends when this is dropped.
pub struct Server {
    /// Its listening address.
    pub addr: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
}

impl Server {
    /// Listens on loopback and runs on the current runtime.
    ///
    /// # Errors
    /// If the socket cannot be bound.
    pub async fn start(spec: ServerSpec, recorder: Arc<Recorder>, seed: u64) -> std::io::Result<Self> {
        Self::start_at(spec, recorder, seed, None).await
    }

    /// Starts a server as [`Server::start`] does, or as the next process of a server that exited.
    ///
    /// # Errors
    /// If the socket cannot be bound, or the previous address remains in use.
    pub async fn start_at(
        spec: ServerSpec,
        recorder: Arc<Recorder>,
        seed: u64,
        restart: Option<Restart>,
    ) -> std::io::Result<Self> {
        let listener = match restart {
            None => TcpListener::bind("127.0.0.1:0").await?,
            Some(restart) => listen_again(restart.addr).await.ok_or(std::io::ErrorKind::AddrInUse)?,
        };
        let addr = listener.local_addr()?;
        let (commands, received) = mpsc::unbounded_channel();
        recorder.put(RecordEvent::ServerStarted { server: spec.number, cold: restart.is_some() });
        let model = SessionServer::new(spec, vec![addr.ip()], seed);
        let model = match restart {
            None => model,
            Some(restart) => model.cold(recorder.now(), restart.state_id),
        };
        tokio::spawn(run(model, listener, addr, received, recorder));
        Ok(Self { addr, commands })
    }

    /// Injects a fault.
    pub fn command(&self, command: Command) {
        let _ = self.commands.send(command);
    }
}

/// Listens again on the port of a process that exited. Retries for up to 4 s, since old connections may
/// linger.
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
    let mut connections: BTreeMap<ConnId, mpsc::UnboundedSender<Message>> = BTreeMap::new();
    let (to_model, mut from_connections) = mpsc::unbounded_channel::<ServerInput>();
    let (mut next, mut outputs) = (0, Vec::new());
    loop {
        let now = recorder.now();
        let wait = Duration::from_micros(model.due().saturating_sub(now).min(10_000_000));
        let input = tokio::select! {
            stream = accept(&listener) => match stream {
                Ok(stream) => {
                    let (to_connection, from_model) = mpsc::unbounded_channel();
                    next += 1;
                    connections.insert(next, to_connection);
                    tokio::spawn(run_connection(next, stream, from_model, to_model.clone()));
                    ServerInput::Accepted(next)
                }
                Err(_) => continue,
            },
            Some(input) = from_connections.recv() => input,
            command = commands.recv() => match command {
                Some(command) => ServerInput::Command(command),
                None => return,
            },
            () = tokio::time::sleep(wait) => ServerInput::Tick,
        };
        if let ServerInput::Closed(id) = &input {
            connections.remove(id);
        }
        model.handle(recorder.now(), input, &mut outputs);
        for output in outputs.drain(..) {
            match output {
                ServerOutput::Send(id, message) => {
                    if let Some(connection) = connections.get(&id) {
                        let _ = connection.send(message);
                    }
                }
                ServerOutput::Close(id) => drop(connections.remove(&id)),
                ServerOutput::Record(moment) => recorder.put(moment),
                ServerOutput::Stopped => {
                    listener = None;
                    connections.clear();
                }
                ServerOutput::Started => listener = listen_again(addr).await,
            }
        }
    }
}

/// Runs one connection until its peer closes it or the model closes its queue.
async fn run_connection(
    id: ConnId,
    stream: TcpStream,
    mut from_model: mpsc::UnboundedReceiver<Message>,
    to_model: mpsc::UnboundedSender<ServerInput>,
) {
    let _ = stream.set_nodelay(true);
    let mut connection = Framed::new(stream, Codec::default());
    loop {
        tokio::select! {
            frame = connection.next() => match frame {
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
                    let _ = connection.flush().await;
                    return;
                };
                let _ = connection.feed(message).await;
                while let Ok(message) = from_model.try_recv() {
                    let _ = connection.feed(message).await;
                }
                let _ = connection.flush().await;
            }
        }
    }
}
