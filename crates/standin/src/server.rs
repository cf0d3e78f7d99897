//! A session server on a socket: the model behind real Diameter, and troubles on command.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift::interface::{Micros, Report};
use baydrift_audit::{Moment, Recorder};
use baydrift_diameter::credit::{self, Ccr, Ends, RequestType, APPLICATION};
use baydrift_diameter::{
    cause, code, dict, load, result, Codec, Frame, Local, Message, Peer, PeerInput, PeerOutput, Side,
};
use futures_util::{SinkExt, StreamExt};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

use crate::model::{Processor, ProcessorSpec, Taken, Work};

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
    pub tells: fn(Report) -> Report,
    /// Connections at once.
    pub connections: usize,
    /// Tw.
    pub watchdog: Micros,
    /// Fronts by Origin-Host, and their ordinals.
    pub fronts: BTreeMap<String, u32>,
}

/// Troubles on command.
#[derive(Debug, Clone, Copy, PartialEq)]
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

/// A running server; it ends when this is dropped.
pub struct Server {
    /// Where it listens.
    pub addr: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
}

enum FromConn {
    Up(u64, u32, mpsc::UnboundedSender<Message>),
    Request(u64, Message),
    Down(u64),
    Drained(u64),
}

impl Server {
    /// Listens on loopback and runs on the current runtime.
    ///
    /// # Errors
    /// Where the socket cannot be bound.
    pub async fn start(spec: ServerSpec, recorder: Arc<Recorder>, seed: u64) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (commands, received) = mpsc::unbounded_channel();
        recorder.put(Moment::Start { server: spec.number, cold: false });
        let rng = Pcg64Mcg::seed_from_u64(seed);
        tokio::spawn(async move {
            let mut life = Life::new(Arc::new(spec), recorder, rng, addr, received);
            let mut listener = Some(listener);
            let mut started = None;
            loop {
                let Some(back) = life.run(listener.take(), started).await else { return };
                tokio::time::sleep(Duration::from_micros(back)).await;
                listener = listen_again(addr).await;
                started = Some(life.recorder.now());
                life.recorder.put(Moment::Start { server: life.spec.number, cold: true });
                life.state_id += 1;
            }
        });
        Ok(Self { addr, commands })
    }

    /// Causes a trouble.
    pub fn command(&self, command: Command) {
        let _ = self.commands.send(command);
    }
}

/// The port of a process that died is taken again, though old connections linger.
async fn listen_again(addr: SocketAddr) -> Option<TcpListener> {
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

struct Conn {
    front: u32,
    to: mpsc::UnboundedSender<Message>,
}

struct Asked {
    conn: u64,
    attempt: String,
    request: Message,
}

struct Life {
    spec: Arc<ServerSpec>,
    recorder: Arc<Recorder>,
    rng: Pcg64Mcg,
    addr: SocketAddr,
    commands: mpsc::UnboundedReceiver<Command>,
    state_id: u32,
    cpu: Processor,
    conns: BTreeMap<u64, Conn>,
    asked: BTreeMap<u64, Asked>,
    next_key: u64,
    /// Standing calls: attempt to its front.
    standing: BTreeMap<String, u32>,
    /// Released before they stood.
    gone: BTreeSet<String>,
    /// Measured load, oldest first.
    measured: std::collections::VecDeque<(Micros, Report)>,
    lose: f64,
    sequence: u64,
    hung: Arc<std::sync::atomic::AtomicBool>,
}

impl Life {
    fn new(
        spec: Arc<ServerSpec>,
        recorder: Arc<Recorder>,
        rng: Pcg64Mcg,
        addr: SocketAddr,
        commands: mpsc::UnboundedReceiver<Command>,
    ) -> Self {
        let cpu = Processor::new(spec.processor, None);
        Self {
            spec,
            recorder,
            rng,
            addr,
            commands,
            state_id: 1,
            cpu,
            conns: BTreeMap::new(),
            asked: BTreeMap::new(),
            next_key: 0,
            standing: BTreeMap::new(),
            gone: BTreeSet::new(),
            measured: std::collections::VecDeque::new(),
            lose: 0.0,
            sequence: 0,
            hung: Arc::default(),
        }
    }

    /// One process, until it ends; after how long another starts, `None` for never.
    async fn run(&mut self, listener: Option<TcpListener>, started: Option<Micros>) -> Option<Micros> {
        let listener = listener?;
        self.cpu = Processor::new(self.spec.processor, started);
        (self.conns, self.asked, self.standing) = Default::default();
        self.hung = Arc::default();
        self.lose = 0.0;
        let (to_life, mut from_conns) = mpsc::unbounded_channel();
        let (quit, quitting) = tokio::sync::watch::channel(None::<Option<u32>>);
        let mut next_conn = 0u64;
        let mut ends: Option<(Micros, Option<Micros>)> = None;
        loop {
            let now = self.recorder.now();
            let due = [self.cpu.next().filter(|_| !self.is_hung()), ends.map(|(at, _)| at)];
            let due = due.into_iter().flatten().min().unwrap_or(now + 10_000_000);
            let measure = self.measured.back().map_or(0, |(at, _)| at + self.spec.report_period);
            let due = due.min(measure.max(now + 1_000));
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    if self.conns.len() < self.spec.connections {
                        let conn = Connection {
                            id: next_conn,
                            spec: self.spec.clone(),
                            recorder: self.recorder.clone(),
                            local: self.local(),
                            to_life: to_life.clone(),
                            quit: quitting.clone(),
                            hung: self.hung.clone(),
                            seed: self.rng.random(),
                        };
                        next_conn += 1;
                        tokio::spawn(conn.run(stream));
                    }
                },
                Some(event) = from_conns.recv() => self.event(event),
                command = self.commands.recv() => match command {
                    None => return None,
                    Some(Command::Die(back)) => ends = Some((self.recorder.now(), back)),
                    Some(Command::Drain { by_dpr, stop_after, back_after }) => {
                        if by_dpr {
                            let _ = quit.send(Some(Some(cause::REBOOTING)));
                        }
                        ends = Some((self.recorder.now() + stop_after, back_after));
                    }
                    Some(command) => self.command(command),
                },
                () = tokio::time::sleep(Duration::from_micros(due.saturating_sub(now))) => {}
            }
            let now = self.recorder.now();
            self.measure(now);
            while let Some(work) =
                self.cpu.next().filter(|_| !self.is_hung()).and_then(|_| self.cpu.done(now))
            {
                self.done(now, work);
            }
            if let Some((_, back)) = ends.filter(|(at, _)| *at <= now) {
                self.recorder.put(Moment::Die { server: self.spec.number });
                let _ = quit.send(Some(None));
                return back;
            }
        }
    }

    fn local(&self) -> Arc<Local> {
        Arc::new(Local {
            host: self.spec.host.clone(),
            realm: self.spec.realm.clone(),
            addresses: vec![self.addr.ip()],
            vendor: 0,
            product: "stand-in".into(),
            state_id: self.state_id,
            applications: vec![APPLICATION],
            commands: vec![(APPLICATION, code::CREDIT_CONTROL)],
        })
    }

    fn is_hung(&self) -> bool {
        self.hung.load(std::sync::atomic::Ordering::Relaxed)
    }

    fn measure(&mut self, now: Micros) {
        let last = self.measured.back().map(|(at, _)| *at);
        if last.is_none_or(|at| now >= at + self.spec.report_period) {
            let noise = 1.0 + self.spec.report_noise * (self.rng.random::<f64>() * 2.0 - 1.0);
            let mut report = (self.spec.tells)(self.cpu.report(now));
            for value in [&mut report.wait_s, &mut report.queue, &mut report.rate, &mut report.busy] {
                *value = value.map(|v| v * noise);
            }
            self.measured.push_back((now, report));
        }
        while self.measured.get(1).is_some_and(|(at, _)| at + self.spec.report_delay <= now) {
            self.measured.pop_front();
        }
    }

    fn told(&self, now: Micros) -> Report {
        let known = self.measured.front().filter(|(at, _)| at + self.spec.report_delay <= now);
        known.map(|(_, report)| *report).unwrap_or_default()
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Slow(factor) => self.cpu.set_slow(factor),
            Command::Pause(span) => self.cpu.pause(self.recorder.now() + span),
            Command::Hang(hung) => {
                self.hung.store(hung, std::sync::atomic::Ordering::Relaxed);
                for conn in self.conns.values().filter(|_| !hung) {
                    self.recorder.put(Moment::Speaks { server: self.spec.number, front: conn.front });
                }
            }
            Command::LoseAnswers(share) => self.lose = share,
            Command::Cut(share) => {
                let cut: Vec<_> =
                    self.standing.keys().filter(|_| self.rng.random::<f64>() < share).cloned().collect();
                for attempt in cut {
                    let front = self.standing.remove(&attempt);
                    let conn = self.conns.values().find(|conn| Some(conn.front) == front);
                    let ends =
                        Ends { host: &self.spec.host, realm: &self.spec.realm, to_realm: "", to_host: None };
                    if let Some(conn) = conn {
                        let server = self.spec.number;
                        self.recorder.put(Moment::Abort { server, attempt: attempt.clone() });
                        let _ = conn.to.send(credit::abort(ends, &attempt));
                    }
                }
            }
            Command::Die(_) | Command::Drain { .. } => {}
        }
    }

    fn event(&mut self, event: FromConn) {
        match event {
            FromConn::Up(id, front, to) => {
                self.conns.insert(id, Conn { front, to });
            }
            FromConn::Down(id) => {
                if let Some(conn) = self.conns.remove(&id) {
                    self.recorder.put(Moment::Unlinked { server: self.spec.number, front: conn.front });
                }
            }
            FromConn::Drained(id) => {
                if let Some(conn) = self.conns.get(&id) {
                    let (server, front) = (self.spec.number, conn.front);
                    self.recorder.put(Moment::Told { server, front, ready: false, by_list: false });
                }
            }
            FromConn::Request(id, request) => self.request(id, request),
        }
    }

    fn request(&mut self, id: u64, request: Message) {
        let Ok(ccr) = Ccr::read(&request) else { return };
        let now = self.recorder.now();
        let (kind, attempt) = (ccr.request_type, ccr.session.to_owned());
        let key = self.next_key;
        self.next_key += 1;
        let server = self.spec.number;
        match kind {
            RequestType::Initial => {
                let front = self.conns.get(&id).map_or(u32::MAX, |conn| conn.front);
                let call = request.text(dict::CC_CORRELATION_ID).unwrap_or("").to_owned();
                let moment =
                    Moment::SetUp { server, front, call, attempt: attempt.clone(), redirected: false };
                self.recorder.put(moment);
                self.asked.insert(key, Asked { conn: id, attempt, request });
                if self.cpu.set_up(now, key) == Taken::Fell {
                    self.recorder.put(Moment::Fall { server });
                }
            }
            _ => {
                self.recorder.put(Moment::Release { server, attempt: attempt.clone() });
                if self.standing.remove(&attempt).is_none() {
                    // Released before it stood: what waits in line is dropped when its turn comes.
                    self.gone.insert(attempt.clone());
                }
                self.asked.insert(key, Asked { conn: id, attempt, request });
                self.cpu.release(now, key);
            }
        }
    }

    fn done(&mut self, now: Micros, work: Work) {
        let (key, result) = match work {
            Work::SetUp(key) => (key, result::SUCCESS),
            Work::Refuse(key) => (key, result::TOO_BUSY),
            Work::Release(key) => (key, result::SUCCESS),
        };
        let Some(asked) = self.asked.remove(&key) else { return };
        let sets_up = !matches!(work, Work::Release(_));
        if !sets_up {
            self.gone.remove(&asked.attempt);
        } else if self.gone.contains(&asked.attempt) {
            return;
        } else if result == result::SUCCESS {
            let front = self.conns.get(&asked.conn).map_or(u32::MAX, |conn| conn.front);
            self.standing.insert(asked.attempt.clone(), front);
        }
        let lost = sets_up && self.rng.random::<f64>() < self.lose;
        if sets_up {
            let (server, attempt) = (self.spec.number, asked.attempt.clone());
            self.recorder.put(Moment::Reply { server, attempt, code: result, lost });
        }
        let mut answer = credit::answer(&asked.request, result, &self.spec.host, &self.spec.realm);
        self.sequence += 1;
        let mut report = self.told(now);
        if result == result::TOO_BUSY {
            report.wait_s = Some(self.cpu.wait(now) as f64 / 1e6);
        }
        load::write(&report, &self.spec.host, self.sequence, &mut answer);
        if let Some(conn) = self.conns.get(&asked.conn).filter(|_| !lost) {
            let _ = conn.to.send(answer);
        }
    }
}

/// One connection from a front.
struct Connection {
    id: u64,
    spec: Arc<ServerSpec>,
    recorder: Arc<Recorder>,
    local: Arc<Local>,
    to_life: mpsc::UnboundedSender<FromConn>,
    /// `Some(Some(cause))`: say good-bye; `Some(None)`: the process has ended.
    quit: tokio::sync::watch::Receiver<Option<Option<u32>>>,
    hung: Arc<std::sync::atomic::AtomicBool>,
    seed: u64,
}

impl Connection {
    /// What a hung process does not send; an unanswered watchdog shows in the record.
    fn swallow(&self, message: &Message, front: u32) {
        if message.header.code == code::WATCHDOG && !message.header.flags.request {
            self.recorder.put(Moment::Mute { server: self.spec.number, front });
        }
    }

    async fn run(mut self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut wire = Framed::new(stream, Codec::default());
        let Some(Ok(Frame::Good(cer))) = wire.next().await else { return };
        let host = cer.text(dict::ORIGIN_HOST).unwrap_or("").to_owned();
        let Some(front) = self.spec.fronts.get(&host).copied() else { return };
        let mut peer = Peer::new(self.local.clone(), None, self.spec.watchdog, 1, self.seed);
        let (to, mut from_life) = mpsc::unbounded_channel();
        let _ = self.to_life.send(FromConn::Up(self.id, front, to));
        let mut input = Some(PeerInput::Accepted(cer));
        let mut said_bye = false;
        loop {
            let mut out = Vec::new();
            if let Some(input) = input.take() {
                peer.handle(self.recorder.now(), input, &mut out);
            }
            let hung = self.hung.load(std::sync::atomic::Ordering::Relaxed);
            for output in out {
                match output {
                    PeerOutput::Send(_, message) if hung => self.swallow(&message, front),
                    PeerOutput::Send(_, message) => drop(wire.feed(message).await),
                    PeerOutput::Request(message) => {
                        let _ = self.to_life.send(FromConn::Request(self.id, message));
                    }
                    // A front that left the DPR unanswered for long, or a transport that is gone.
                    PeerOutput::Close(..) if !said_bye => {
                        let _ = self.to_life.send(FromConn::Down(self.id));
                        return;
                    }
                    _ => {}
                }
            }
            let _ = wire.flush().await;
            // After the DPA the connection stays until the process ends: what it holds may be released.
            let due = if said_bye || peer.side().is_none() { Micros::MAX } else { peer.due() };
            let due = Duration::from_micros(due.saturating_sub(self.recorder.now()).min(60_000_000));
            tokio::select! {
                frame = wire.next() => match frame {
                    Some(Ok(Frame::Good(message))) if said_bye && message.header.code != code::DISCONNECT => {
                        if message.header.flags.request && message.header.code == code::CREDIT_CONTROL {
                            let _ = self.to_life.send(FromConn::Request(self.id, message));
                        }
                    }
                    Some(Ok(_)) if said_bye => {
                        let _ = self.to_life.send(FromConn::Drained(self.id));
                    }
                    Some(Ok(frame)) => input = Some(PeerInput::Received(Side::Responder, frame)),
                    _ => {
                        let _ = self.to_life.send(FromConn::Down(self.id));
                        return;
                    }
                },
                Some(mut message) = from_life.recv() => {
                    if message.header.flags.request {
                        peer.stamp(&mut message);
                    }
                    if !hung {
                        let _ = wire.feed(message).await;
                    }
                }
                changed = self.quit.changed() => {
                    let quit = *self.quit.borrow_and_update();
                    match (changed, quit) {
                        (Ok(()), Some(Some(cause))) => {
                            said_bye = true;
                            let mut out = Vec::new();
                            peer.handle(self.recorder.now(), PeerInput::Stop(cause), &mut out);
                            for output in out {
                                if let PeerOutput::Send(_, message) = output {
                                    let _ = wire.feed(message).await;
                                }
                            }
                        }
                        _ => return,
                    }
                }
                () = tokio::time::sleep(due) => input = Some(PeerInput::Tick),
            }
        }
    }
}
