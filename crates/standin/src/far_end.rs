//! The far end of trunk groups on TCP sockets. It has one listener per front, and identifies a front by the
//! port to which the front connects.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift_audit::{RecordEvent, Recorder};
use baydrift_emulator::{Command, FarEndInput, FarEndOutput, FarEndSpec};
use baydrift_isup::{Codec, Data, Packet};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_util::codec::Framed;

use crate::server::listen_again;

/// A running far end; it stops when this is dropped.
pub struct FarEnd {
    /// Its listening address for each front.
    pub addrs: BTreeMap<u32, SocketAddr>,
    inputs: mpsc::UnboundedSender<FarEndInput>,
}

/// An input from a connection. A front's connections are numbered, since one may close after the next was
/// opened.
enum ConnectionInput {
    Model(FarEndInput),
    Opened(u32, u64, mpsc::UnboundedSender<Data>),
    Closed(u32, u64),
}

impl FarEnd {
    /// Listens on loopback and runs on the current runtime.
    ///
    /// # Errors
    /// If a socket cannot be bound.
    pub async fn start(spec: FarEndSpec, recorder: Arc<Recorder>, seed: u64) -> std::io::Result<Self> {
        let (inputs, received) = mpsc::unbounded_channel();
        let (to_model, from_connections) = mpsc::unbounded_channel();
        let (listens, listening) = watch::channel(true);
        let mut addrs = BTreeMap::new();
        for front in spec.fronts.values() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addrs.insert(*front, listener.local_addr()?);
            tokio::spawn(accept(*front, listener, listening.clone(), to_model.clone()));
        }
        recorder.put(RecordEvent::ServerStarted { server: spec.number, cold: false });
        let model = baydrift_emulator::FarEnd::new(spec, seed);
        tokio::spawn(run(model, from_connections, received, listens, recorder));
        Ok(Self { addrs, inputs })
    }

    /// Injects a fault.
    pub fn command(&self, command: Command) {
        let _ = self.inputs.send(FarEndInput::Command(command));
    }

    /// Multiplies the configured rate of its own calls by `factor`; 0 stops them.
    pub fn offer(&self, factor: f64) {
        let _ = self.inputs.send(FarEndInput::Offer(factor));
    }
}

/// Accepts connections of a front while the far end's process runs.
async fn accept(
    front: u32,
    listener: TcpListener,
    mut listening: watch::Receiver<bool>,
    to_model: mpsc::UnboundedSender<ConnectionInput>,
) {
    let Ok(addr) = listener.local_addr() else { return };
    let (mut listener, mut next) = (Some(listener), 0);
    loop {
        let Some(open) = &listener else {
            if listening.wait_for(|listens| *listens).await.is_err() {
                return;
            }
            listener = listen_again(addr).await;
            continue;
        };
        let stream = tokio::select! {
            accepted = open.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
            ended = listening.wait_for(|listens| !listens) => match ended {
                Ok(_) => {
                    listener = None;
                    continue;
                }
                Err(_) => return,
            },
        };
        next += 1;
        tokio::spawn(run_connection(front, next, stream, to_model.clone()));
    }
}

async fn run(
    mut model: baydrift_emulator::FarEnd,
    mut from_connections: mpsc::UnboundedReceiver<ConnectionInput>,
    mut inputs: mpsc::UnboundedReceiver<FarEndInput>,
    listens: watch::Sender<bool>,
    recorder: Arc<Recorder>,
) {
    let mut connections: BTreeMap<u32, (u64, mpsc::UnboundedSender<Data>)> = BTreeMap::new();
    let mut outputs = Vec::new();
    loop {
        let wait = Duration::from_micros(model.due().saturating_sub(recorder.now()).min(10_000_000));
        let input = tokio::select! {
            input = from_connections.recv() => match input {
                Some(ConnectionInput::Model(input)) => input,
                Some(ConnectionInput::Opened(front, id, to_connection)) => {
                    if connections.insert(front, (id, to_connection)).is_some() {
                        model.handle(recorder.now(), FarEndInput::Down(front), &mut outputs);
                    }
                    FarEndInput::Up(front)
                }
                Some(ConnectionInput::Closed(front, id)) => {
                    if connections.get(&front).is_none_or(|(known, _)| *known != id) {
                        continue;
                    }
                    connections.remove(&front);
                    FarEndInput::Down(front)
                }
                None => return,
            },
            input = inputs.recv() => match input {
                Some(input) => input,
                None => return,
            },
            () = tokio::time::sleep(wait) => FarEndInput::Tick,
        };
        model.handle(recorder.now(), input, &mut outputs);
        for output in outputs.drain(..) {
            match output {
                FarEndOutput::Send(front, data) => {
                    if let Some((_, connection)) = connections.get(&front) {
                        let _ = connection.send(data);
                    }
                }
                FarEndOutput::Record(moment) => recorder.put(moment),
                FarEndOutput::Stopped => {
                    listens.send_replace(false);
                    connections.clear();
                }
                FarEndOutput::Started => drop(listens.send_replace(true)),
            }
        }
    }
}

/// Runs one connection until its peer closes it or the model closes its queue.
async fn run_connection(
    front: u32,
    id: u64,
    stream: TcpStream,
    to_model: mpsc::UnboundedSender<ConnectionInput>,
) {
    let _ = stream.set_nodelay(true);
    let mut connection = Framed::new(stream, Codec);
    // Packets before the front's ASP Up are ignored.
    loop {
        match connection.next().await {
            Some(Ok(Packet::AspUp)) => break,
            Some(Ok(_)) => {}
            Some(Err(_)) | None => return,
        }
    }
    let (to_connection, mut from_model) = mpsc::unbounded_channel();
    if connection.send(Packet::AspUpAck).await.is_err()
        || to_model.send(ConnectionInput::Opened(front, id, to_connection)).is_err()
    {
        return;
    }
    loop {
        tokio::select! {
            packet = connection.next() => match packet {
                Some(Ok(Packet::Data(data))) => {
                    let _ = to_model.send(ConnectionInput::Model(FarEndInput::Received(front, data)));
                }
                Some(Ok(Packet::AspUp)) => drop(connection.send(Packet::AspUpAck).await),
                Some(Ok(Packet::AspUpAck | Packet::Other(..))) => {}
                Some(Err(_)) | None => {
                    let _ = to_model.send(ConnectionInput::Closed(front, id));
                    return;
                }
            },
            data = from_model.recv() => {
                let Some(data) = data else { return };
                let _ = connection.feed(Packet::Data(data)).await;
                while let Ok(data) = from_model.try_recv() {
                    let _ = connection.feed(Packet::Data(data)).await;
                }
                let _ = connection.flush().await;
            }
        }
    }
}
