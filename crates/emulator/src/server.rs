//! Model of a session server: a [`Processor`] behind production Diameter peers, with faults on command.
//! Performs no I/O and reads no clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use baydrift::interface::{Micros, Report};
use baydrift_audit::RecordEvent;
use baydrift_diameter::credit::{self, Ccr, Endpoints, RequestType, APPLICATION};
use baydrift_diameter::{
    cause, code, dict, load, result, Frame, Local, Message, Peer, PeerInput, PeerOutput, Side,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::processor::{EnqueueOutcome, Processor, ProcessorSpec, Work};

/// Configuration of a [`SessionServer`].
#[derive(Debug, Clone)]
pub struct ServerSpec {
    /// Origin-Host.
    pub host: String,
    /// Origin-Realm.
    pub realm: String,
    /// Server number in the record.
    pub number: u16,
    /// Parameters of the processor.
    pub processor: ProcessorSpec,
    /// Interval between measurements of the load, microseconds.
    pub report_period: Micros,
    /// Delay until a measurement is reported, microseconds.
    pub report_delay: Micros,
    /// Largest relative error of a measurement.
    pub report_noise: f64,
    /// Selects the values of a measurement that are reported.
    pub reported_values: fn(Report) -> Report,
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Diameter watchdog interval Tw, microseconds.
    pub watchdog: Micros,
    /// Ordinals of the fronts by Origin-Host.
    pub fronts: BTreeMap<String, u32>,
}

/// Faults that can be injected into a server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Multiplies the processing time of all work by this factor.
    Slow(f64),
    /// Suspends the processor for this time, microseconds.
    Pause(Micros),
    /// Stops all answers, including those to watchdogs, until `Hang(false)`.
    Hang(bool),
    /// Share of set-up answers that is lost, 0 to 1.
    LoseAnswers(f64),
    /// The process exits; if a time is given, a cold one starts after it, microseconds.
    Die(Option<Micros>),
    /// Drains the server; its process exits after `stop_after`.
    Drain {
        /// Whether the fronts are notified by DPR.
        by_dpr: bool,
        /// Time until the process exits, microseconds.
        stop_after: Micros,
        /// Time from the exit until a new process starts, microseconds; `None` for never.
        back_after: Option<Micros>,
    },
    /// Aborts this share of the established calls, 0 to 1.
    Cut(f64),
}

/// Identifier of a front's connection; never reused.
pub type ConnId = u64;

/// Input of a [`SessionServer`].
#[derive(Debug, Clone, PartialEq)]
pub enum ServerInput {
    /// A connection was accepted.
    Accepted(ConnId),
    /// A message was received.
    Received(ConnId, Frame),
    /// A connection was closed.
    Closed(ConnId),
    /// A fault is injected.
    Command(Command),
    /// Timers may be due.
    Tick,
}

/// Action that a [`SessionServer`] requests.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerOutput {
    /// Send a message on a connection.
    Send(ConnId, Message),
    /// Close a connection after the messages sent on it are flushed.
    Close(ConnId),
    /// Add an event to the record.
    Record(RecordEvent),
    /// The process has exited: the listener and all connections close.
    Stopped,
    /// A new process has started and listens.
    Started,
}

#[derive(Debug)]
struct Connection {
    /// Ordinal of the front; `None` until capabilities are exchanged.
    front: Option<u32>,
    peer: Peer,
    /// Set once this end has sent a DPR; `Some(true)` once it is answered.
    disconnect_answered: Option<bool>,
}

#[derive(Debug)]
struct PendingRequest {
    connection: ConnId,
    attempt: String,
    request: Message,
}

/// The server model; see the module documentation.
#[derive(Debug)]
pub struct SessionServer {
    spec: ServerSpec,
    local: Arc<Local>,
    rng: Pcg64Mcg,
    processor: Processor,
    connections: BTreeMap<ConnId, Connection>,
    pending: BTreeMap<u64, PendingRequest>,
    next_key: u64,
    /// Established calls: front of each attempt.
    established: BTreeMap<String, u32>,
    /// Attempts released before they were established.
    released_early: BTreeSet<String>,
    /// Load measurements with their times, oldest first.
    measurements: VecDeque<(Micros, Report)>,
    next_measurement: Micros,
    answer_loss: f64,
    sequence: u64,
    hung: bool,
    /// When the process exits, and after what time a new one starts.
    exit: Option<(Micros, Option<Micros>)>,
    /// Start time of the next process while none runs.
    restart_at: Option<Micros>,
}

impl SessionServer {
    /// Creates a warm, listening server; `seed` determines its measurement errors and losses.
    pub fn new(spec: ServerSpec, addresses: Vec<std::net::IpAddr>, seed: u64) -> Self {
        let local = Local {
            host: spec.host.clone(),
            realm: spec.realm.clone(),
            addresses,
            vendor: 0,
            product: "stand-in".into(),
            state_id: 1,
            applications: vec![APPLICATION],
            commands: vec![(APPLICATION, code::CREDIT_CONTROL)],
        };
        Self {
            local: Arc::new(local),
            rng: Pcg64Mcg::seed_from_u64(seed),
            processor: Processor::new(spec.processor, None),
            connections: BTreeMap::new(),
            pending: BTreeMap::new(),
            next_key: 0,
            established: BTreeMap::new(),
            released_early: BTreeSet::new(),
            measurements: VecDeque::new(),
            next_measurement: 0,
            answer_loss: 0.0,
            sequence: 0,
            hung: false,
            exit: None,
            restart_at: None,
            spec,
        }
    }

    /// Turns this into a later process of the same server: cold since `now`, with a new Origin-State-Id.
    pub fn cold(mut self, now: Micros, state_id: u32) -> Self {
        self.processor = Processor::new(self.spec.processor, Some(now));
        self.local = Arc::new(Local { state_id, ..(*self.local).clone() });
        self
    }

    /// Whether a process is running and listening.
    pub fn is_listening(&self) -> bool {
        self.restart_at.is_none()
    }

    /// Time by which the next [`ServerInput::Tick`] is needed.
    pub fn due(&self) -> Micros {
        if let Some(at) = self.restart_at {
            return at;
        }
        let processor = self.processor.next_completion().filter(|_| !self.hung).unwrap_or(Micros::MAX);
        let exit = self.exit.map_or(Micros::MAX, |(at, _)| at);
        let peers = self.connections.values().map(Connection::due).min().unwrap_or(Micros::MAX);
        processor.min(exit).min(peers).min(self.next_measurement)
    }

    /// Handles one input, then all due timers; appends the requested actions.
    pub fn handle(&mut self, now: Micros, input: ServerInput, out: &mut Vec<ServerOutput>) {
        if let Some(at) = self.restart_at {
            if now < at {
                return;
            }
            self.start(now, out);
        }
        match input {
            ServerInput::Accepted(id) => self.accepted(id, out),
            ServerInput::Received(id, frame) => self.received(now, id, frame, out),
            ServerInput::Closed(id) => self.closed(id, out),
            ServerInput::Command(command) => self.command(now, command, out),
            ServerInput::Tick => {}
        }
        self.measure(now);
        while let Some(work) = self
            .processor
            .next_completion()
            .filter(|_| !self.hung)
            .and_then(|_| self.processor.pop_completed(now))
        {
            self.complete(now, work, out);
        }
        let due: Vec<_> =
            self.connections.iter().filter(|(_, c)| c.due() <= now).map(|(id, _)| *id).collect();
        due.into_iter().for_each(|id| self.peer_input(now, id, PeerInput::Tick, out));
        if let Some((_, restart_after)) = self.exit.filter(|(at, _)| *at <= now) {
            self.stop(now, restart_after, out);
        }
    }

    fn start(&mut self, now: Micros, out: &mut Vec<ServerOutput>) {
        self.restart_at = None;
        self.processor = Processor::new(self.spec.processor, Some(now));
        let local = Local { state_id: self.local.state_id + 1, ..(*self.local).clone() };
        self.local = Arc::new(local);
        out.push(ServerOutput::Record(RecordEvent::ServerStarted { server: self.spec.number, cold: true }));
        out.push(ServerOutput::Started);
    }

    fn stop(&mut self, now: Micros, restart_after: Option<Micros>, out: &mut Vec<ServerOutput>) {
        out.push(ServerOutput::Record(RecordEvent::ServerExited { server: self.spec.number }));
        out.push(ServerOutput::Stopped);
        (self.connections, self.pending, self.established, self.released_early) = Default::default();
        self.measurements.clear();
        self.next_measurement = 0;
        (self.hung, self.answer_loss, self.exit) = (false, 0.0, None);
        self.restart_at =
            Some(restart_after.map_or(Micros::MAX, |restart_after| now.saturating_add(restart_after)));
    }

    fn measure(&mut self, now: Micros) {
        if now >= self.next_measurement {
            let noise = 1.0 + self.spec.report_noise * (self.rng.random::<f64>() * 2.0 - 1.0);
            let mut report = (self.spec.reported_values)(self.processor.report(now));
            for value in [&mut report.wait_s, &mut report.queue, &mut report.rate, &mut report.busy] {
                *value = value.map(|v| v * noise);
            }
            self.measurements.push_back((now, report));
            self.next_measurement = now + self.spec.report_period.max(1_000);
        }
        while self.measurements.get(1).is_some_and(|(at, _)| at + self.spec.report_delay <= now) {
            self.measurements.pop_front();
        }
    }

    /// Latest measurement that is old enough to be reported.
    fn current_report(&self, now: Micros) -> Report {
        let reportable = self.measurements.front().filter(|(at, _)| at + self.spec.report_delay <= now);
        reportable.map(|(_, report)| *report).unwrap_or_default()
    }

    // --- connections ---

    fn accepted(&mut self, id: ConnId, out: &mut Vec<ServerOutput>) {
        if self.connections.len() >= self.spec.max_connections {
            return out.push(ServerOutput::Close(id));
        }
        let peer = Peer::new(self.local.clone(), None, self.spec.watchdog, 1, self.rng.random());
        self.connections.insert(id, Connection { front: None, peer, disconnect_answered: None });
    }

    fn closed(&mut self, id: ConnId, out: &mut Vec<ServerOutput>) {
        if let Some(front) = self.connections.remove(&id).and_then(|connection| connection.front) {
            out.push(ServerOutput::Record(RecordEvent::Disconnected { server: self.spec.number, front }));
        }
    }

    fn drop_connection(&mut self, id: ConnId, out: &mut Vec<ServerOutput>) {
        self.closed(id, out);
        out.push(ServerOutput::Close(id));
    }

    fn received(&mut self, now: Micros, id: ConnId, frame: Frame, out: &mut Vec<ServerOutput>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Frame::Valid(message) = frame else { return self.drop_connection(id, out) };
        let (code, request) = (message.header.code, message.header.flags.request);
        if connection.front.is_none() {
            let host = message.text(dict::ORIGIN_HOST).unwrap_or("");
            connection.front = self.spec.fronts.get(host).copied();
            if connection.front.is_none() {
                return self.drop_connection(id, out);
            }
            return self.peer_input(now, id, PeerInput::Accepted(message), out);
        }
        match connection.disconnect_answered {
            Some(_) if code == code::DISCONNECT && !request => {
                connection.disconnect_answered = Some(true);
                let (server, front) = (self.spec.number, connection.front.unwrap_or(u32::MAX));
                out.push(ServerOutput::Record(RecordEvent::ReadinessReported {
                    server,
                    front,
                    ready: false,
                    by_list: false,
                }));
            }
            // After the DPA the connection stays open until the process exits, so that its calls can be
            // released.
            Some(_) if request && code == code::CREDIT_CONTROL => self.request(now, id, message, out),
            Some(_) => {}
            None => {
                self.peer_input(now, id, PeerInput::Received(Side::Responder, Frame::Valid(message)), out)
            }
        }
    }

    fn peer_input(&mut self, now: Micros, id: ConnId, input: PeerInput, out: &mut Vec<ServerOutput>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let front = connection.front.unwrap_or(u32::MAX);
        let mut outputs = Vec::new();
        connection.peer.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                // A hung process sends nothing; an unanswered watchdog is recorded.
                PeerOutput::Send(_, message) if self.hung => {
                    let dwa = message.header.code == code::WATCHDOG && !message.header.flags.request;
                    let event = RecordEvent::Unresponsive { server: self.spec.number, front };
                    out.extend(dwa.then_some(ServerOutput::Record(event)));
                }
                PeerOutput::Send(_, message) => out.push(ServerOutput::Send(id, message)),
                PeerOutput::Request(message) => self.request(now, id, message, out),
                PeerOutput::Close(..) => return self.drop_connection(id, out),
                _ => {}
            }
        }
    }

    fn send(&mut self, id: ConnId, mut message: Message, out: &mut Vec<ServerOutput>) {
        let Some(connection) = self.connections.get_mut(&id).filter(|_| !self.hung) else { return };
        if message.header.flags.request {
            connection.peer.assign_ids(&mut message);
        }
        out.push(ServerOutput::Send(id, message));
    }

    // --- faults ---

    fn command(&mut self, now: Micros, command: Command, out: &mut Vec<ServerOutput>) {
        let server = self.spec.number;
        match command {
            Command::Slow(factor) => self.processor.set_slowdown(factor),
            Command::Pause(span) => self.processor.pause(now + span),
            Command::Hang(hung) => {
                self.hung = hung;
                let fronts =
                    self.connections.values().filter_map(|connection| connection.front).filter(|_| !hung);
                out.extend(
                    fronts.map(|front| ServerOutput::Record(RecordEvent::Responsive { server, front })),
                );
            }
            Command::LoseAnswers(share) => self.answer_loss = share,
            Command::Cut(share) => self.abort_calls(share, out),
            Command::Die(restart_after) => self.exit = Some((now, restart_after)),
            Command::Drain { by_dpr, stop_after, back_after } => {
                self.exit = Some((now + stop_after, back_after));
                let ids: Vec<_> = self.connections.keys().copied().filter(|_| by_dpr).collect();
                for id in ids {
                    let Some(connection) = self.connections.get_mut(&id) else { continue };
                    connection.disconnect_answered = Some(false);
                    let mut outputs = Vec::new();
                    connection.peer.handle(now, PeerInput::Stop(cause::REBOOTING), &mut outputs);
                    for output in outputs {
                        if let PeerOutput::Send(_, message) = output {
                            out.push(ServerOutput::Send(id, message));
                        }
                    }
                }
            }
        }
    }

    fn abort_calls(&mut self, share: f64, out: &mut Vec<ServerOutput>) {
        let rng = &mut self.rng;
        let aborted: Vec<_> =
            self.established.keys().filter(|_| rng.random::<f64>() < share).cloned().collect();
        for attempt in aborted {
            let front = self.established.remove(&attempt);
            let connection = self
                .connections
                .iter()
                .find(|(_, connection)| connection.front.is_some() && connection.front == front);
            let Some((id, _)) = connection else { continue };
            let id = *id;
            let server = self.spec.number;
            out.push(ServerOutput::Record(RecordEvent::Abort { server, attempt: attempt.clone() }));
            let ends = Endpoints {
                origin_host: &self.spec.host,
                origin_realm: &self.spec.realm,
                destination_realm: "",
                destination_host: None,
            };
            let abort = credit::abort(ends, &attempt);
            self.send(id, abort, out);
        }
    }

    // --- calls ---

    fn request(&mut self, now: Micros, id: ConnId, request: Message, out: &mut Vec<ServerOutput>) {
        let Ok(ccr) = Ccr::read(&request) else { return };
        let (kind, attempt) = (ccr.request_type, ccr.session.to_owned());
        let (key, server) = (self.next_key, self.spec.number);
        self.next_key += 1;
        if kind == RequestType::Initial {
            let front = self.connections.get(&id).and_then(|connection| connection.front).unwrap_or(u32::MAX);
            let call = request.text(dict::CC_CORRELATION_ID).unwrap_or("").to_owned();
            let event =
                RecordEvent::SetUp { server, front, call, attempt: attempt.clone(), redirected: false };
            out.push(ServerOutput::Record(event));
            self.pending.insert(key, PendingRequest { connection: id, attempt, request });
            if self.processor.set_up(now, key) == EnqueueOutcome::Overloaded {
                self.pending.remove(&key);
                out.push(ServerOutput::Record(RecordEvent::ServerOverloaded { server }));
            }
            return;
        }
        out.push(ServerOutput::Record(RecordEvent::Release { server, attempt: attempt.clone() }));
        if self.established.remove(&attempt).is_none()
            && self.pending.values().any(|pending| pending.attempt == attempt)
        {
            // Released before it was established: the queued work is dropped when it completes.
            self.released_early.insert(attempt.clone());
        }
        self.pending.insert(key, PendingRequest { connection: id, attempt, request });
        self.processor.release(now, key);
    }

    fn complete(&mut self, now: Micros, work: Work, out: &mut Vec<ServerOutput>) {
        let (key, result) = match work {
            Work::SetUp(key) | Work::Release(key) => (key, result::SUCCESS),
            Work::Reject(key) => (key, result::TOO_BUSY),
        };
        let Some(pending) = self.pending.remove(&key) else { return };
        let is_set_up = !matches!(work, Work::Release(_));
        if !is_set_up {
            self.released_early.remove(&pending.attempt);
        } else if self.released_early.contains(&pending.attempt) {
            return;
        } else if result == result::SUCCESS {
            let front = self
                .connections
                .get(&pending.connection)
                .and_then(|connection| connection.front)
                .unwrap_or(u32::MAX);
            self.established.insert(pending.attempt.clone(), front);
        }
        let lost = is_set_up && self.rng.random::<f64>() < self.answer_loss;
        if is_set_up {
            let (server, attempt) = (self.spec.number, pending.attempt.clone());
            out.push(ServerOutput::Record(RecordEvent::Reply { server, attempt, code: result, lost }));
        }
        if lost {
            return;
        }
        let mut answer = credit::answer(&pending.request, result, &self.spec.host, &self.spec.realm);
        self.sequence += 1;
        let mut report = self.current_report(now);
        if result == result::TOO_BUSY {
            report.wait_s = Some(self.processor.wait(now) as f64 / 1e6);
        }
        load::write(&report, &self.spec.host, self.sequence, &mut answer);
        self.send(pending.connection, answer, out);
    }
}

impl Connection {
    fn due(&self) -> Micros {
        if self.front.is_none() || self.disconnect_answered.is_some() || self.peer.side().is_none() {
            return Micros::MAX;
        }
        self.peer.due()
    }
}
