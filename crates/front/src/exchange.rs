//! Runs a [`baydrift_signalling::SignallingPoint`] on tokio, with one signalling link to a far point.
//!
//! One task owns the signalling point, another one the connection to the far point. They only move messages
//! and run timers. The queues are bounded: a sender of commands waits while the command queue is full, and
//! the task waits while the receiver of events is behind.

use std::time::{Duration, Instant};

use baydrift::interface::Micros;
use baydrift_isup::Data;
use baydrift_signalling::{SignallingCounts, SignallingPoint};
use baydrift_trunk::rules::RouteChoice;
use baydrift_trunk::{CallKey, Counts, GroupId, Output, Setup, Usage};
use tokio::sync::{mpsc, oneshot};
use tracing::debug;

use crate::signalling::{self, LinkEvent, SignallingRole};

/// A command to an exchange.
#[derive(Debug)]
pub enum ExchangeCommand {
    /// Seizes a circuit for a call.
    Seize(CallKey, GroupId, Setup, RouteChoice),
    /// Accepts an incoming call.
    Accept(CallKey),
    /// Answers an incoming call.
    Answer(CallKey),
    /// Releases a call with this cause value.
    Release(CallKey, u8),
    /// Requests the exchange's state.
    State(oneshot::Sender<ExchangeState>),
}

/// Circuit usage and counters of an exchange.
#[derive(Debug, Clone, Default)]
pub struct ExchangeState {
    /// Circuit usage, by trunk group.
    pub usage: Vec<Usage>,
    /// Counters of the trunk groups.
    pub counts: Counts,
    /// Counters of the signalling point.
    pub signalling: SignallingCounts,
}

/// A running exchange; dropping it stops its task.
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

/// Capacity of the command queue; when it is full, senders wait.
const COMMAND_QUEUE: usize = 1_024;
/// Capacity of the packet queues. An outgoing packet is dropped when its queue is full; protocol timers
/// retransmit it.
const PACKET_QUEUE: usize = 4_096;

impl Exchange {
    /// Starts the exchange on the current runtime. `far` is the point code of the far end; the outcomes of
    /// calls are sent to `events`.
    pub fn start(
        point: SignallingPoint,
        far: u32,
        role: SignallingRole,
        events: mpsc::Sender<Output>,
    ) -> Self {
        let (commands, command_queue) = mpsc::channel(COMMAND_QUEUE);
        let started = Instant::now();
        let (link, outgoing) = mpsc::channel(PACKET_QUEUE);
        let (link_events, received) = mpsc::channel(PACKET_QUEUE);
        tokio::spawn(signalling::serve(far, role, outgoing, link_events, |_, event| event));
        let task = ExchangeTask {
            point,
            far,
            link,
            link_events: received,
            events,
            commands: command_queue,
            started,
            output: Default::default(),
        };
        Self { commands, task: tokio::spawn(task.run()) }
    }

    /// Sends a command; returns `false` once the exchange has ended.
    pub async fn send(&self, command: ExchangeCommand) -> bool {
        self.commands.send(command).await.is_ok()
    }

    /// Circuit usage and counters; `None` once the exchange has ended.
    pub async fn state(&self) -> Option<ExchangeState> {
        let (reply, state) = oneshot::channel();
        self.commands.send(ExchangeCommand::State(reply)).await.ok()?;
        state.await.ok()
    }
}

/// State of the task that owns the signalling point.
struct ExchangeTask {
    point: SignallingPoint,
    far: u32,
    link: mpsc::Sender<Data>,
    link_events: mpsc::Receiver<LinkEvent>,
    events: mpsc::Sender<Output>,
    commands: mpsc::Receiver<ExchangeCommand>,
    started: Instant,
    /// Packets to send, and outcomes of calls to report.
    output: (Vec<Data>, Vec<Output>),
}

impl ExchangeTask {
    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    async fn run(mut self) {
        self.point.set_reachable(0, self.far, false, &mut self.output);
        loop {
            let due = self.point.next_wake().unwrap_or(Micros::MAX);
            let wait = Duration::from_micros(due.saturating_sub(self.now()).min(60_000_000));
            tokio::select! {
                event = self.link_events.recv() => match event {
                    Some(event) => self.handle_link_event(event),
                    None => return,
                },
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                () = tokio::time::sleep(wait) => {
                    let now = self.now();
                    self.point.tick(now, &mut self.output);
                }
            }
            if !self.dispatch().await {
                return;
            }
        }
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        let now = self.now();
        match event {
            LinkEvent::Packet(data) => {
                if let Err(error) = self.point.handle_packet(now, &data, &mut self.output) {
                    debug!(far = self.far, %error, "packet rejected");
                }
            }
            LinkEvent::Up => self.point.set_reachable(now, self.far, true, &mut self.output),
            LinkEvent::Down => self.point.set_reachable(now, self.far, false, &mut self.output),
        }
    }

    fn handle_command(&mut self, command: ExchangeCommand) {
        let now = self.now();
        match command {
            ExchangeCommand::Seize(call, group, setup, route) => {
                self.point.seize(now, call, group, setup, route, &mut self.output);
            }
            ExchangeCommand::Accept(call) => self.point.accept(call, &mut self.output),
            ExchangeCommand::Answer(call) => self.point.answer(call, &mut self.output),
            ExchangeCommand::Release(call, cause) => self.point.release(now, call, cause, &mut self.output),
            ExchangeCommand::State(reply) => {
                let trunks = self.point.trunks();
                let usage = (0..).map_while(|group| trunks.usage(GroupId(group))).collect();
                let (counts, signalling) = (trunks.counts(), self.point.counts());
                let _ = reply.send(ExchangeState { usage, counts, signalling });
            }
        }
    }

    /// Sends the pending packets and reports the outcomes of calls; `false` once the event receiver is gone.
    async fn dispatch(&mut self) -> bool {
        let (packets, events) = std::mem::take(&mut self.output);
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
