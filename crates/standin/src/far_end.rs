//! A far end of trunk groups on sockets: one listener a front, so that it knows each by the port that it dials.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift_audit::{RecordEvent, Recorder};
use baydrift_emulator::{Command, FarEndSpec, FarInput, FarOutput};
use baydrift_isup::{Codec, Data, Packet};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_util::codec::Framed;

use crate::server::listen_again;

/// A running far end; it ends when this is dropped.
pub struct FarEnd {
    /// Where it listens, by front.
    pub addrs: BTreeMap<u32, SocketAddr>,
    inputs: mpsc::UnboundedSender<FarInput>,
}

/// A connection and its front: numbered, since an old one may end after the next has begun.
enum Heard {
    Model(FarInput),
    Opened(u32, u64, mpsc::UnboundedSender<Data>),
    Closed(u32, u64),
}

impl FarEnd {
    /// Listens on loopback and runs on the current runtime.
    ///
    /// # Errors
    /// Where a socket cannot be bound.
    pub async fn start(spec: FarEndSpec, recorder: Arc<Recorder>, seed: u64) -> std::io::Result<Self> {
        let (inputs, received) = mpsc::unbounded_channel();
        let (to_model, heard) = mpsc::unbounded_channel();
        let (listens, listening) = watch::channel(true);
        let mut addrs = BTreeMap::new();
        for front in spec.fronts.values() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addrs.insert(*front, listener.local_addr()?);
            tokio::spawn(accept(*front, listener, listening.clone(), to_model.clone()));
        }
        recorder.put(RecordEvent::ServerStarted { server: spec.number, cold: false });
        let model = baydrift_emulator::FarEnd::new(spec, seed);
        tokio::spawn(run(model, heard, received, listens, recorder));
        Ok(Self { addrs, inputs })
    }

    /// Causes a trouble.
    pub fn command(&self, command: Command) {
        let _ = self.inputs.send(FarInput::Command(command));
    }

    /// Its own calls come at so many times their rate; 0 ends them.
    pub fn offer(&self, factor: f64) {
        let _ = self.inputs.send(FarInput::Offer(factor));
    }
}

/// Takes connections of a front while a process runs.
async fn accept(
    front: u32,
    listener: TcpListener,
    mut listening: watch::Receiver<bool>,
    to_model: mpsc::UnboundedSender<Heard>,
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
        tokio::spawn(carry(front, next, stream, to_model.clone()));
    }
}

async fn run(
    mut model: baydrift_emulator::FarEnd,
    mut heard: mpsc::UnboundedReceiver<Heard>,
    mut inputs: mpsc::UnboundedReceiver<FarInput>,
    listens: watch::Sender<bool>,
    recorder: Arc<Recorder>,
) {
    let mut conns: BTreeMap<u32, (u64, mpsc::UnboundedSender<Data>)> = BTreeMap::new();
    let mut out = Vec::new();
    loop {
        let wait = Duration::from_micros(model.due().saturating_sub(recorder.now()).min(10_000_000));
        let input = tokio::select! {
            what = heard.recv() => match what {
                Some(Heard::Model(input)) => input,
                Some(Heard::Opened(front, id, to_conn)) => {
                    if conns.insert(front, (id, to_conn)).is_some() {
                        model.handle(recorder.now(), FarInput::Down(front), &mut out);
                    }
                    FarInput::Up(front)
                }
                Some(Heard::Closed(front, id)) => {
                    if conns.get(&front).is_none_or(|(known, _)| *known != id) {
                        continue;
                    }
                    conns.remove(&front);
                    FarInput::Down(front)
                }
                None => return,
            },
            input = inputs.recv() => match input {
                Some(input) => input,
                None => return,
            },
            () = tokio::time::sleep(wait) => FarInput::Tick,
        };
        model.handle(recorder.now(), input, &mut out);
        for output in out.drain(..) {
            match output {
                FarOutput::Send(front, data) => {
                    if let Some((_, conn)) = conns.get(&front) {
                        let _ = conn.send(data);
                    }
                }
                FarOutput::Record(moment) => recorder.put(moment),
                FarOutput::Stopped => {
                    listens.send_replace(false);
                    conns.clear();
                }
                FarOutput::Started => drop(listens.send_replace(true)),
            }
        }
    }
}

/// One connection; it closes when its queue from the model does.
async fn carry(front: u32, id: u64, stream: TcpStream, to_model: mpsc::UnboundedSender<Heard>) {
    let _ = stream.set_nodelay(true);
    let mut wire = Framed::new(stream, Codec);
    // Nothing is traffic before the front's word that it is up.
    loop {
        match wire.next().await {
            Some(Ok(Packet::AspUp)) => break,
            Some(Ok(_)) => {}
            Some(Err(_)) | None => return,
        }
    }
    let (to_conn, mut from_model) = mpsc::unbounded_channel();
    if wire.send(Packet::AspUpAck).await.is_err() || to_model.send(Heard::Opened(front, id, to_conn)).is_err()
    {
        return;
    }
    loop {
        tokio::select! {
            packet = wire.next() => match packet {
                Some(Ok(Packet::Data(data))) => {
                    let _ = to_model.send(Heard::Model(FarInput::Received(front, data)));
                }
                Some(Ok(Packet::AspUp)) => drop(wire.send(Packet::AspUpAck).await),
                Some(Ok(Packet::AspUpAck | Packet::Other(..))) => {}
                Some(Err(_)) | None => {
                    let _ = to_model.send(Heard::Closed(front, id));
                    return;
                }
            },
            data = from_model.recv() => {
                let Some(data) = data else { return };
                let _ = wire.feed(Packet::Data(data)).await;
                while let Ok(data) = from_model.try_recv() {
                    let _ = wire.feed(Packet::Data(data)).await;
                }
                let _ = wire.flush().await;
            }
        }
    }
}
