//! An exchange's signalling link on a socket: a thin coat around [`baydrift_signalling::SignallingPoint`].
//!
//! One task owns the office, another one the connection to one far point. Nothing is decided here. Queues are bounded:
//! who commands waits, and events are waited for.

use std::time::{Duration, Instant};

use baydrift::interface::Micros;
use baydrift_isup::Data;
use baydrift_signalling::{SignallingCounts, SignallingPoint};
use baydrift_trunk::rules::RouteChoice;
use baydrift_trunk::{CallKey, Counts, GroupId, Output, Setup, Usage};
use tokio::sync::{mpsc, oneshot};
use tracing::debug;

use crate::signalling::{self, Linked, Role};

/// What an exchange is told.
#[derive(Debug)]
pub enum ExchangeCommand {
    /// Seize a circuit for a call.
    Seize(CallKey, GroupId, Setup, RouteChoice),
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
    pub office: SignallingCounts,
}

/// A running exchange; it ends when this is dropped.
#[derive(Debug)]
pub struct Exchange {
    commands: mpsc::Sender<ExchangeCommand>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Commands that wait; whoever has more waits.
const COMMANDS: usize = 1_024;
/// Packets that wait to be sent; one that finds no room is dropped, as a network loses some, and timers say it again.
const PACKETS: usize = 4_096;

impl Exchange {
    /// Starts on the current runtime. `far` is the point code at the other end; what becomes of calls goes to
    /// `events`.
    pub fn start(office: SignallingPoint, far: u32, role: Role, events: mpsc::Sender<Output>) -> Self {
        let (commands, received) = mpsc::channel(COMMANDS);
        let began = Instant::now();
        let (link, outgoing) = mpsc::channel(PACKETS);
        let (tell, linked) = mpsc::channel(PACKETS);
        tokio::spawn(signalling::serve(far, role, outgoing, tell, |_, linked| linked));
        let run = Run { office, far, link, linked, events, received, began, done: Default::default() };
        Self { commands, task: tokio::spawn(run.run()) }
    }

    /// Tells it something; `false` once it has ended.
    pub async fn send(&self, what: ExchangeCommand) -> bool {
        self.commands.send(what).await.is_ok()
    }

    /// What it is like.
    pub async fn state(&self) -> Option<ExchangeState> {
        let (tell, told) = oneshot::channel();
        self.commands.send(ExchangeCommand::State(tell)).await.ok()?;
        told.await.ok()
    }
}

struct Run {
    office: SignallingPoint,
    far: u32,
    link: mpsc::Sender<Data>,
    linked: mpsc::Receiver<Linked>,
    events: mpsc::Sender<Output>,
    received: mpsc::Receiver<ExchangeCommand>,
    began: Instant,
    done: (Vec<Data>, Vec<Output>),
}

impl Run {
    fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    async fn run(mut self) {
        self.office.set_reachable(0, self.far, false, &mut self.done);
        loop {
            let due = self.office.next_wake().unwrap_or(Micros::MAX);
            let wait = Duration::from_micros(due.saturating_sub(self.now()).min(60_000_000));
            tokio::select! {
                linked = self.linked.recv() => match linked {
                    Some(linked) => self.link(linked),
                    None => return,
                },
                command = self.received.recv() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
                () = tokio::time::sleep(wait) => {
                    let now = self.now();
                    self.office.tick(now, &mut self.done);
                }
            }
            if !self.carry_out().await {
                return;
            }
        }
    }

    fn link(&mut self, linked: Linked) {
        let now = self.now();
        match linked {
            Linked::Packet(data) => {
                if let Err(error) = self.office.handle_packet(now, &data, &mut self.done) {
                    debug!(far = self.far, %error, "packet turned down");
                }
            }
            Linked::Up => self.office.set_reachable(now, self.far, true, &mut self.done),
            Linked::Down => self.office.set_reachable(now, self.far, false, &mut self.done),
        }
    }

    fn command(&mut self, command: ExchangeCommand) {
        let now = self.now();
        match command {
            ExchangeCommand::Seize(call, group, setup, claim) => {
                self.office.seize(now, call, group, setup, claim, &mut self.done);
            }
            ExchangeCommand::Accept(call) => self.office.accept(call, &mut self.done),
            ExchangeCommand::Answer(call) => self.office.answer(call, &mut self.done),
            ExchangeCommand::Release(call, cause) => self.office.release(now, call, cause, &mut self.done),
            ExchangeCommand::State(reply) => {
                let trunks = self.office.trunks();
                let usage = (0..).map_while(|group| trunks.usage(GroupId(group))).collect();
                let (counts, office) = (trunks.counts(), self.office.counts());
                let _ = reply.send(ExchangeState { usage, counts, office });
            }
        }
    }

    /// Sends what is to be sent and tells what became of calls; `false` where nobody listens any more.
    async fn carry_out(&mut self) -> bool {
        let (packets, events) = std::mem::take(&mut self.done);
        for data in packets {
            let _ = self.link.try_send(data);
        }
        for event in events {
            if self.events.send(event).await.is_err() {
                return false;
            }
        }
        true
    }
}
