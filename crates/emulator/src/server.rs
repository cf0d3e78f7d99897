//! A session server: the processor behind real Diameter peers, and troubles on command. Free of I/O and time.

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

/// What a server is.
#[derive(Debug, Clone)]
pub struct ServerSpec {
    /// Origin-Host.
    pub host: String,
    /// Origin-Realm.
    pub realm: String,
    /// Its number.
    pub number: u16,
    /// Its processor.
    pub processor: ProcessorSpec,
    /// Its load is measured this often ...
    pub report_period: Micros,
    /// ... known so much later ...
    pub report_delay: Micros,
    /// ... and off by up to this fraction.
    pub report_noise: f64,
    /// Values of the report that are told.
    pub reported_values: fn(Report) -> Report,
    /// Connections at once.
    pub max_connections: usize,
    /// Tw.
    pub watchdog: Micros,
    /// Fronts by Origin-Host, and their ordinals.
    pub fronts: BTreeMap<String, u32>,
}

/// Troubles on command.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Work takes so many times as long.
    Slow(f64),
    /// The processor stands still for so long.
    Pause(Micros),
    /// Nothing is answered, not even watchdogs, until `Hang(false)`.
    Hang(bool),
    /// This share of answers is lost.
    LoseAnswers(f64),
    /// The process ends; after so long another starts, cold.
    Die(Option<Micros>),
    /// Says that it drains, by DPR if asked; its process ends after so long.
    Drain {
        /// Whether fronts hear of it by DPR.
        by_dpr: bool,
        /// When the process ends.
        stop_after: Micros,
        /// Another starts after that, if at all.
        back_after: Option<Micros>,
    },
    /// This share of the standing calls is cut.
    Cut(f64),
}

/// One transport of a front's; never used twice.
pub type ConnId = u64;

/// What a server hears.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerInput {
    /// A transport was accepted.
    Accepted(ConnId),
    /// A message came.
    Received(ConnId, Frame),
    /// A transport is gone.
    Closed(ConnId),
    /// A trouble.
    Command(Command),
    /// Time has passed.
    Tick,
}

/// What a server wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerOutput {
    /// Send on a transport.
    Send(ConnId, Message),
    /// Close a transport once what was sent is out.
    Close(ConnId),
    /// Something was seen.
    Record(RecordEvent),
    /// The process has ended: it listens no more and all its transports close.
    Stopped,
    /// Another process has started, and listens.
    Started,
}

#[derive(Debug)]
struct Conn {
    /// `None` until its capabilities are exchanged.
    front: Option<u32>,
    peer: Peer,
    /// This end said its DPR; `Some(true)` once that was answered.
    bye: Option<bool>,
}

#[derive(Debug)]
struct Asked {
    conn: ConnId,
    attempt: String,
    request: Message,
}

/// See the module's page.
#[derive(Debug)]
pub struct SessionServer {
    spec: ServerSpec,
    local: Arc<Local>,
    rng: Pcg64Mcg,
    cpu: Processor,
    conns: BTreeMap<ConnId, Conn>,
    asked: BTreeMap<u64, Asked>,
    next_key: u64,
    /// Standing calls: attempt to its front.
    standing: BTreeMap<String, u32>,
    /// Released before they stood.
    gone: BTreeSet<String>,
    /// Measured load, oldest first.
    measured: VecDeque<(Micros, Report)>,
    measure_at: Micros,
    lose: f64,
    sequence: u64,
    hung: bool,
    /// When the process ends, and after how long another starts.
    ends: Option<(Micros, Option<Micros>)>,
    /// No process runs; the next starts then.
    down: Option<Micros>,
}

impl SessionServer {
    /// A warm process that listens; `seed` draws its noise and losses.
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
            cpu: Processor::new(spec.processor, None),
            conns: BTreeMap::new(),
            asked: BTreeMap::new(),
            next_key: 0,
            standing: BTreeMap::new(),
            gone: BTreeSet::new(),
            measured: VecDeque::new(),
            measure_at: 0,
            lose: 0.0,
            sequence: 0,
            hung: false,
            ends: None,
            down: None,
            spec,
        }
    }

    /// The same as a later process of this server: cold since `now`, under another origin state than those before.
    pub fn cold(mut self, now: Micros, state_id: u32) -> Self {
        self.cpu = Processor::new(self.spec.processor, Some(now));
        self.local = Arc::new(Local { state_id, ..(*self.local).clone() });
        self
    }

    /// Whether a process runs and listens.
    pub fn listens(&self) -> bool {
        self.down.is_none()
    }

    /// When [`ServerInput::Tick`] is wanted at the latest.
    pub fn due(&self) -> Micros {
        if let Some(at) = self.down {
            return at;
        }
        let cpu = self.cpu.next_completion().filter(|_| !self.hung).unwrap_or(Micros::MAX);
        let ends = self.ends.map_or(Micros::MAX, |(at, _)| at);
        let peers = self.conns.values().map(Conn::due).min().unwrap_or(Micros::MAX);
        cpu.min(ends).min(peers).min(self.measure_at)
    }

    /// Takes one input, then lets time pass; appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: ServerInput, out: &mut Vec<ServerOutput>) {
        if let Some(at) = self.down {
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
        while let Some(work) =
            self.cpu.next_completion().filter(|_| !self.hung).and_then(|_| self.cpu.pop_completed(now))
        {
            self.done(now, work, out);
        }
        let due: Vec<_> = self.conns.iter().filter(|(_, c)| c.due() <= now).map(|(id, _)| *id).collect();
        due.into_iter().for_each(|id| self.give(now, id, PeerInput::Tick, out));
        if let Some((_, back)) = self.ends.filter(|(at, _)| *at <= now) {
            self.stop(now, back, out);
        }
    }

    fn start(&mut self, now: Micros, out: &mut Vec<ServerOutput>) {
        self.down = None;
        self.cpu = Processor::new(self.spec.processor, Some(now));
        let local = Local { state_id: self.local.state_id + 1, ..(*self.local).clone() };
        self.local = Arc::new(local);
        out.push(ServerOutput::Record(RecordEvent::ServerStarted { server: self.spec.number, cold: true }));
        out.push(ServerOutput::Started);
    }

    fn stop(&mut self, now: Micros, back: Option<Micros>, out: &mut Vec<ServerOutput>) {
        out.push(ServerOutput::Record(RecordEvent::ServerExited { server: self.spec.number }));
        out.push(ServerOutput::Stopped);
        (self.conns, self.asked, self.standing, self.gone) = Default::default();
        self.measured.clear();
        self.measure_at = 0;
        (self.hung, self.lose, self.ends) = (false, 0.0, None);
        self.down = Some(back.map_or(Micros::MAX, |back| now.saturating_add(back)));
    }

    fn measure(&mut self, now: Micros) {
        if now >= self.measure_at {
            let noise = 1.0 + self.spec.report_noise * (self.rng.random::<f64>() * 2.0 - 1.0);
            let mut report = (self.spec.reported_values)(self.cpu.report(now));
            for value in [&mut report.wait_s, &mut report.queue, &mut report.rate, &mut report.busy] {
                *value = value.map(|v| v * noise);
            }
            self.measured.push_back((now, report));
            self.measure_at = now + self.spec.report_period.max(1_000);
        }
        while self.measured.get(1).is_some_and(|(at, _)| at + self.spec.report_delay <= now) {
            self.measured.pop_front();
        }
    }

    fn told(&self, now: Micros) -> Report {
        let known = self.measured.front().filter(|(at, _)| at + self.spec.report_delay <= now);
        known.map(|(_, report)| *report).unwrap_or_default()
    }

    // --- transports ---

    fn accepted(&mut self, id: ConnId, out: &mut Vec<ServerOutput>) {
        if self.conns.len() >= self.spec.max_connections {
            return out.push(ServerOutput::Close(id));
        }
        let peer = Peer::new(self.local.clone(), None, self.spec.watchdog, 1, self.rng.random());
        self.conns.insert(id, Conn { front: None, peer, bye: None });
    }

    fn closed(&mut self, id: ConnId, out: &mut Vec<ServerOutput>) {
        if let Some(front) = self.conns.remove(&id).and_then(|conn| conn.front) {
            out.push(ServerOutput::Record(RecordEvent::Disconnected { server: self.spec.number, front }));
        }
    }

    fn drop_conn(&mut self, id: ConnId, out: &mut Vec<ServerOutput>) {
        self.closed(id, out);
        out.push(ServerOutput::Close(id));
    }

    fn received(&mut self, now: Micros, id: ConnId, frame: Frame, out: &mut Vec<ServerOutput>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let Frame::Valid(message) = frame else { return self.drop_conn(id, out) };
        let (code, request) = (message.header.code, message.header.flags.request);
        if conn.front.is_none() {
            let host = message.text(dict::ORIGIN_HOST).unwrap_or("");
            conn.front = self.spec.fronts.get(host).copied();
            if conn.front.is_none() {
                return self.drop_conn(id, out);
            }
            return self.give(now, id, PeerInput::Accepted(message), out);
        }
        match conn.bye {
            Some(_) if code == code::DISCONNECT && !request => {
                conn.bye = Some(true);
                let (server, front) = (self.spec.number, conn.front.unwrap_or(u32::MAX));
                out.push(ServerOutput::Record(RecordEvent::ReadinessReported {
                    server,
                    front,
                    ready: false,
                    by_list: false,
                }));
            }
            // After the DPA the transport stays until the process ends: what it holds may be released.
            Some(_) if request && code == code::CREDIT_CONTROL => self.request(now, id, message, out),
            Some(_) => {}
            None => self.give(now, id, PeerInput::Received(Side::Responder, Frame::Valid(message)), out),
        }
    }

    fn give(&mut self, now: Micros, id: ConnId, input: PeerInput, out: &mut Vec<ServerOutput>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let front = conn.front.unwrap_or(u32::MAX);
        let mut seen = Vec::new();
        conn.peer.handle(now, input, &mut seen);
        for output in seen {
            match output {
                // What a hung process does not send; an unanswered watchdog shows in the record.
                PeerOutput::Send(_, message) if self.hung => {
                    let dwa = message.header.code == code::WATCHDOG && !message.header.flags.request;
                    let moment = RecordEvent::Unresponsive { server: self.spec.number, front };
                    out.extend(dwa.then_some(ServerOutput::Record(moment)));
                }
                PeerOutput::Send(_, message) => out.push(ServerOutput::Send(id, message)),
                PeerOutput::Request(message) => self.request(now, id, message, out),
                PeerOutput::Close(..) => return self.drop_conn(id, out),
                _ => {}
            }
        }
    }

    fn send(&mut self, id: ConnId, mut message: Message, out: &mut Vec<ServerOutput>) {
        let Some(conn) = self.conns.get_mut(&id).filter(|_| !self.hung) else { return };
        if message.header.flags.request {
            conn.peer.assign_ids(&mut message);
        }
        out.push(ServerOutput::Send(id, message));
    }

    // --- troubles ---

    fn command(&mut self, now: Micros, command: Command, out: &mut Vec<ServerOutput>) {
        let server = self.spec.number;
        match command {
            Command::Slow(factor) => self.cpu.set_slowdown(factor),
            Command::Pause(span) => self.cpu.pause(now + span),
            Command::Hang(hung) => {
                self.hung = hung;
                let fronts = self.conns.values().filter_map(|conn| conn.front).filter(|_| !hung);
                out.extend(
                    fronts.map(|front| ServerOutput::Record(RecordEvent::Responsive { server, front })),
                );
            }
            Command::LoseAnswers(share) => self.lose = share,
            Command::Cut(share) => self.cut(share, out),
            Command::Die(back) => self.ends = Some((now, back)),
            Command::Drain { by_dpr, stop_after, back_after } => {
                self.ends = Some((now + stop_after, back_after));
                let ids: Vec<_> = self.conns.keys().copied().filter(|_| by_dpr).collect();
                for id in ids {
                    let Some(conn) = self.conns.get_mut(&id) else { continue };
                    conn.bye = Some(false);
                    let mut seen = Vec::new();
                    conn.peer.handle(now, PeerInput::Stop(cause::REBOOTING), &mut seen);
                    for output in seen {
                        if let PeerOutput::Send(_, message) = output {
                            out.push(ServerOutput::Send(id, message));
                        }
                    }
                }
            }
        }
    }

    fn cut(&mut self, share: f64, out: &mut Vec<ServerOutput>) {
        let rng = &mut self.rng;
        let cut: Vec<_> = self.standing.keys().filter(|_| rng.random::<f64>() < share).cloned().collect();
        for attempt in cut {
            let front = self.standing.remove(&attempt);
            let conn = self.conns.iter().find(|(_, conn)| conn.front.is_some() && conn.front == front);
            let Some((id, _)) = conn else { continue };
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
            let front = self.conns.get(&id).and_then(|conn| conn.front).unwrap_or(u32::MAX);
            let call = request.text(dict::CC_CORRELATION_ID).unwrap_or("").to_owned();
            let moment =
                RecordEvent::SetUp { server, front, call, attempt: attempt.clone(), redirected: false };
            out.push(ServerOutput::Record(moment));
            self.asked.insert(key, Asked { conn: id, attempt, request });
            if self.cpu.set_up(now, key) == EnqueueOutcome::Overloaded {
                self.asked.remove(&key);
                out.push(ServerOutput::Record(RecordEvent::ServerOverloaded { server }));
            }
            return;
        }
        out.push(ServerOutput::Record(RecordEvent::Release { server, attempt: attempt.clone() }));
        if self.standing.remove(&attempt).is_none() && self.asked.values().any(|a| a.attempt == attempt) {
            // Released before it stood: what waits in line is dropped when its turn comes.
            self.gone.insert(attempt.clone());
        }
        self.asked.insert(key, Asked { conn: id, attempt, request });
        self.cpu.release(now, key);
    }

    fn done(&mut self, now: Micros, work: Work, out: &mut Vec<ServerOutput>) {
        let (key, result) = match work {
            Work::SetUp(key) | Work::Release(key) => (key, result::SUCCESS),
            Work::Reject(key) => (key, result::TOO_BUSY),
        };
        let Some(asked) = self.asked.remove(&key) else { return };
        let sets_up = !matches!(work, Work::Release(_));
        if !sets_up {
            self.gone.remove(&asked.attempt);
        } else if self.gone.contains(&asked.attempt) {
            return;
        } else if result == result::SUCCESS {
            let front = self.conns.get(&asked.conn).and_then(|conn| conn.front).unwrap_or(u32::MAX);
            self.standing.insert(asked.attempt.clone(), front);
        }
        let lost = sets_up && self.rng.random::<f64>() < self.lose;
        if sets_up {
            let (server, attempt) = (self.spec.number, asked.attempt.clone());
            out.push(ServerOutput::Record(RecordEvent::Reply { server, attempt, code: result, lost }));
        }
        if lost {
            return;
        }
        let mut answer = credit::answer(&asked.request, result, &self.spec.host, &self.spec.realm);
        self.sequence += 1;
        let mut report = self.told(now);
        if result == result::TOO_BUSY {
            report.wait_s = Some(self.cpu.wait(now) as f64 / 1e6);
        }
        load::write(&report, &self.spec.host, self.sequence, &mut answer);
        self.send(asked.conn, answer, out);
    }
}

impl Conn {
    fn due(&self) -> Micros {
        if self.front.is_none() || self.bye.is_some() || self.peer.side().is_none() {
            return Micros::MAX;
        }
        self.peer.due()
    }
}
