//! An exchange's signalling link on a socket: a thin coat around [`baydrift_signalling::Office`].
//!
//! One task owns the office and one connection to one far point. Nothing is decided here. Queues are bounded: who
//! commands waits, packets that the far end does not read in time close the connection, and events are waited for.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use baydrift::interface::Micros;
use baydrift_isup::{Codec, Data, Packet};
use baydrift_signalling::{Office, OfficeCounts};
use baydrift_trunk::decide::Claim;
use baydrift_trunk::{CallKey, Counts, GroupId, Output, Setup, Usage};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::Framed;
use tracing::{debug, info, warn};

/// What an exchange is told.
#[derive(Debug)]
pub enum ToExchange {
    /// Seize a circuit for a call.
    Seize(CallKey, GroupId, Setup, Claim),
    /// Take an incoming call.
    Accept(CallKey),
    /// An incoming call stands.
    Answer(CallKey),
    /// Done with a call, for this cause.
    Release(CallKey, u8),
    /// What is it like?
    State(oneshot::Sender<ExchangeState>),
}

/// What an exchange is like.
#[derive(Debug, Clone, Default)]
pub struct ExchangeState {
    /// What its circuits are used for, by group.
    pub usage: Vec<Usage>,
    /// What its trunks have counted.
    pub counts: Counts,
    /// What its office has counted.
    pub office: OfficeCounts,
}

/// Who opens the connection.
#[derive(Debug)]
pub enum Role {
    /// This end, to there; again and again.
    Connect(SocketAddr),
    /// The far end; a later connection takes an earlier one's place.
    Listen(TcpListener),
}

/// A running exchange; it ends when this is dropped.
#[derive(Debug)]
pub struct Exchange {
    commands: mpsc::Sender<ToExchange>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Commands that wait; whoever has more waits.
const COMMANDS: usize = 1_024;
/// A connection that does not come about is tried again after this.
const RETRY: Duration = Duration::from_millis(100);
/// A far end that does not read for so long loses its connection.
const PATIENCE: Duration = Duration::from_secs(2);

impl Exchange {
    /// Starts on the current runtime. `far` is the point code at the other end; what becomes of calls goes to
    /// `events`.
    pub fn start(office: Office, far: u32, role: Role, events: mpsc::Sender<Output>) -> Self {
        let (commands, received) = mpsc::channel(COMMANDS);
        let began = Instant::now();
        let run = Run { office, far, role, events, received, wire: None, began, done: Default::default() };
        Self { commands, task: tokio::spawn(run.run()) }
    }

    /// Tells it something; `false` once it has ended.
    pub async fn tell(&self, what: ToExchange) -> bool {
        self.commands.send(what).await.is_ok()
    }

    /// What it is like.
    pub async fn state(&self) -> Option<ExchangeState> {
        let (tell, told) = oneshot::channel();
        self.commands.send(ToExchange::State(tell)).await.ok()?;
        told.await.ok()
    }
}

type Wire = Framed<TcpStream, Codec>;

struct Run {
    office: Office,
    far: u32,
    role: Role,
    events: mpsc::Sender<Output>,
    received: mpsc::Receiver<ToExchange>,
    wire: Option<Wire>,
    began: Instant,
    done: (Vec<Data>, Vec<Output>),
}

enum Heard {
    Packet(Packet),
    Lost(String),
    Opened(TcpStream),
    Command(ToExchange),
    Tick,
    End,
}

impl Run {
    fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    async fn run(mut self) {
        self.office.reachable(0, self.far, false, &mut self.done);
        loop {
            match self.hear().await {
                Heard::Packet(Packet::Data(data)) => {
                    let now = self.now();
                    if let Err(error) = self.office.hear(now, &data, &mut self.done) {
                        debug!(far = self.far, %error, "packet turned down");
                    }
                }
                Heard::Packet(Packet::Other(class, kind)) => debug!(class, kind, "packet passed over"),
                Heard::Lost(why) => self.lost(&why),
                Heard::Opened(stream) => {
                    let _ = stream.set_nodelay(true);
                    self.wire = Some(Framed::new(stream, Codec));
                    info!(far = self.far, "signalling link up");
                    let now = self.now();
                    self.office.reachable(now, self.far, true, &mut self.done);
                }
                Heard::Command(command) => self.command(command),
                Heard::Tick => {
                    let now = self.now();
                    self.office.tick(now, &mut self.done);
                }
                Heard::End => return,
            }
            if !self.carry_out().await {
                return;
            }
        }
    }

    async fn hear(&mut self) -> Heard {
        let due = self.office.next_wake().unwrap_or(Micros::MAX);
        let wait = Duration::from_micros(due.saturating_sub(self.now()).min(60_000_000));
        let connected = self.wire.is_some();
        let opened = async {
            match &self.role {
                Role::Listen(listener) => match listener.accept().await {
                    Ok((stream, _)) => stream,
                    Err(_) => std::future::pending().await,
                },
                Role::Connect(_) if connected => std::future::pending().await,
                Role::Connect(addr) => loop {
                    match TcpStream::connect(addr).await {
                        Ok(stream) => break stream,
                        Err(_) => tokio::time::sleep(RETRY).await,
                    }
                },
            }
        };
        let packet = async {
            match &mut self.wire {
                Some(wire) => wire.next().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            packet = packet => match packet {
                Some(Ok(packet)) => Heard::Packet(packet),
                Some(Err(error)) => Heard::Lost(error.to_string()),
                None => Heard::Lost("closed".into()),
            },
            command = self.received.recv() => command.map_or(Heard::End, Heard::Command),
            stream = opened => Heard::Opened(stream),
            () = tokio::time::sleep(wait) => Heard::Tick,
        }
    }

    fn command(&mut self, command: ToExchange) {
        let now = self.now();
        match command {
            ToExchange::Seize(call, group, setup, claim) => {
                self.office.seize(now, call, group, setup, claim, &mut self.done);
            }
            ToExchange::Accept(call) => self.office.accept(call, &mut self.done),
            ToExchange::Answer(call) => self.office.answer(call, &mut self.done),
            ToExchange::Release(call, cause) => self.office.release(now, call, cause, &mut self.done),
            ToExchange::State(reply) => {
                let trunks = self.office.trunks();
                let usage = (0..).map_while(|group| trunks.usage(GroupId(group))).collect();
                let (counts, office) = (trunks.counts(), self.office.counts());
                let _ = reply.send(ExchangeState { usage, counts, office });
            }
        }
    }

    fn lost(&mut self, why: &str) {
        warn!(far = self.far, why, "signalling link lost");
        self.wire = None;
        let now = self.now();
        self.office.reachable(now, self.far, false, &mut self.done);
    }

    /// Sends what is to be sent and tells what became of calls; `false` where nobody listens any more.
    async fn carry_out(&mut self) -> bool {
        while !self.done.0.is_empty() || !self.done.1.is_empty() {
            let (packets, events) = std::mem::take(&mut self.done);
            for event in events {
                if self.events.send(event).await.is_err() {
                    return false;
                }
            }
            let Some(wire) = &mut self.wire else { continue };
            let sent = async {
                for data in packets {
                    wire.feed(data).await?;
                }
                wire.flush().await
            };
            match tokio::time::timeout(PATIENCE, sent).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => self.lost(&error.to_string()),
                Err(_) => self.lost("it does not read"),
            }
        }
        true
    }
}
