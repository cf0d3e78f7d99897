//! Stand-ins of the platform for the cases of this review: name server, signalling servers and callers, and
//! the start of a front node by the command of the deploy file. Standard library only. Each case includes
//! this file and adds the order of its events and its check.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{mpsc, Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SET_UP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const RELEASE_HEARD: u8 = 16;
pub const GROUP_STATE: u8 = 43;
pub const TEST: u8 = 52;
pub const TEST_RESULT: u8 = 53;

const CLASS: u8 = 129;
const WAIT: u8 = 132;
const TENANT: u8 = 135;
const NUMBER: u8 = 141;
const FIGURES: u8 = 144;
const REPORT: u8 = 156;
const CAUSE: u8 = 171;
const DESCRIPTION: u8 = 174;

/// Longest run of a case.
const RUN_MAX: Duration = Duration::from_secs(110);

/// Processes to be ended with the run.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends a signal, such as `-STOP`, to a process of this run.
pub fn signal(process: u32, which: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill {which} {process}")]).status();
}

/// Ends the run and all its processes.
fn exit(code: i32) -> ! {
    for process in std::mem::take(&mut *lock(&PROCESSES)) {
        signal(process, "-KILL");
    }
    std::process::exit(code)
}

/// Kills a process of this run and waits for its end.
fn end(child: &mut Child) {
    lock(&PROCESSES).retain(|process| *process != child.id());
    let _ = child.kill();
    let _ = child.wait();
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn sleep(n: u64) {
    thread::sleep(ms(n));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Polls a condition; false once the time is over.
pub fn wait_until(limit: u64, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + ms(limit);
    while !condition() {
        if Instant::now() >= end {
            return false;
        }
        sleep(2);
    }
    true
}

/// What was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn put(&self, text: impl Display) {
        let line = format!("{:>6} {text}\n", self.now());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }
}

// --- messages ---

#[derive(Debug, Clone, Default)]
pub struct Message {
    pub kind: u8,
    pub call: u64,
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    pub fn new(kind: u8, call: u64) -> Self {
        Self { kind, call, parameters: Vec::new() }
    }

    pub fn with(mut self, code: u8, value: impl AsRef<[u8]>) -> Self {
        self.parameters.push((code, value.as_ref().to_vec()));
        self
    }

    pub fn release(call: u64, cause: u8) -> Self {
        Self::new(RELEASE, call).with(CAUSE, [cause])
    }

    pub fn get(&self, code: u8) -> &[u8] {
        self.parameters.iter().find(|(c, _)| *c == code).map_or(&[], |(_, value)| value)
    }

    pub fn cause(&self) -> u8 {
        self.get(CAUSE).first().copied().unwrap_or(0)
    }

    pub fn description(&self) -> String {
        String::from_utf8_lossy(self.get(DESCRIPTION)).into_owned()
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut body = vec![self.kind];
        body.extend(self.call.to_be_bytes());
        for (code, value) in &self.parameters {
            body.push(*code);
            body.extend((value.len() as u16).to_be_bytes());
            body.extend(value);
        }
        let mut out = (body.len() as u16).to_be_bytes().to_vec();
        out.extend(body);
        out
    }

    fn read(stream: &mut TcpStream) -> Option<Self> {
        let mut length = [0; 2];
        stream.read_exact(&mut length).ok()?;
        let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
        stream.read_exact(&mut body).ok()?;
        Self::of(&body)
    }

    /// Reads a message without its length.
    fn of(body: &[u8]) -> Option<Self> {
        let (kind, call) = (*body.first()?, u64::from_be_bytes(body.get(1..9)?.try_into().ok()?));
        let (mut parameters, mut rest) = (Vec::new(), body.get(9..)?);
        while let [code, high, low, tail @ ..] = rest {
            let length = usize::from(u16::from_be_bytes([*high, *low]));
            parameters.push((*code, tail.get(..length)?.to_vec()));
            rest = &tail[length..];
        }
        Some(Self { kind, call, parameters })
    }
}

/// The words for a message in the record.
pub fn name(message: &Message) -> String {
    let call = message.call;
    match message.kind {
        SET_UP => format!("set-up {call:x}"),
        ANSWER => format!("answer {call:x} '{}'", message.description()),
        RELEASE => format!("release {call:x} cause {}", message.cause()),
        RELEASE_HEARD => format!("release heard {call:x}"),
        TEST => "test".to_owned(),
        TEST_RESULT => format!("test result {}", message.cause()),
        kind => format!("message {kind}"),
    }
}

// --- name server ---

#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    pub name: String,
    pub addr: SocketAddr,
    pub number: u16,
    pub draining: bool,
    pub started_ms: u64,
}

impl Listed {
    pub fn ready(name: &str, addr: SocketAddr, number: u16, started_ms: u64) -> Self {
        Self { name: name.to_owned(), addr, number, draining: false, started_ms }
    }
}

/// The name server: DNS over UDP, the whole list in each answer.
#[derive(Clone)]
pub struct Names {
    pub addr: SocketAddr,
    list: Arc<Mutex<(u32, Vec<Listed>)>>,
    answers: Arc<Mutex<bool>>,
    /// The highest number that an answer has told.
    told: Arc<Mutex<u32>>,
}

impl Names {
    pub fn start(record: &Record, servers: Vec<Listed>) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        let addr = socket.local_addr().expect("bound");
        let names = Self {
            addr,
            list: Arc::new(Mutex::new((1, servers))),
            answers: Arc::new(Mutex::new(true)),
            told: Arc::new(Mutex::new(1)),
        };
        let (own, record) = (names.clone(), record.clone());
        thread::spawn(move || {
            let mut buffer = [0; 512];
            while let Ok((size, from)) = socket.recv_from(&mut buffer) {
                if !*lock(&own.answers) {
                    continue;
                }
                let (serial, servers) = lock(&own.list).clone();
                if let Some(answer) = dns_answer(&buffer[..size], serial, &servers) {
                    let mut told = lock(&own.told);
                    if serial > *told {
                        *told = serial;
                        record.put(format!("names: event {serial} told"));
                    }
                    let _ = socket.send_to(&answer, from);
                }
            }
        });
        names
    }

    /// A new event.
    pub fn set(&self, record: &Record, servers: Vec<Listed>) {
        let mut list = lock(&self.list);
        let texts = servers
            .iter()
            .map(|s| format!("{} {} {}", s.name, s.addr, if s.draining { "draining" } else { "ready" }));
        let texts: Vec<_> = texts.collect();
        *list = (list.0 + 1, servers);
        record.put(format!("names: event {} happens: {}", list.0, texts.join(", ")));
    }

    pub fn set_answering(&self, record: &Record, answering: bool) {
        *lock(&self.answers) = answering;
        record.put(format!("names: answers {}", if answering { "arrive" } else { "get lost" }));
    }

    pub fn told(&self) -> u32 {
        *lock(&self.told)
    }
}

fn dns_name(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for label in text.split('.').filter(|label| !label.is_empty()) {
        out.push(label.len() as u8);
        out.extend(label.as_bytes());
    }
    out.push(0);
    out
}

fn dns_record(owner: &str, kind: u16, data: &[u8]) -> Vec<u8> {
    let mut out = dns_name(owner);
    out.extend(kind.to_be_bytes());
    out.extend(1u16.to_be_bytes());
    out.extend(0u32.to_be_bytes());
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
    out
}

fn dns_answer(query: &[u8], serial: u32, servers: &[Listed]) -> Option<Vec<u8>> {
    let list = "_work._tcp.fleet.local";
    let question_end = 12 + query.get(12..)?.iter().position(|byte| *byte == 0)? + 5;
    let question = query.get(12..question_end)?;
    let (mut answers, mut additional) = (Vec::new(), Vec::new());
    for server in servers {
        let host = format!("{}.east.hosts", server.name);
        let mut srv = Vec::new();
        for value in [u16::from(server.draining), 10, server.addr.port()] {
            srv.extend(value.to_be_bytes());
        }
        srv.extend(dns_name(&host));
        answers.extend(dns_record(list, 33, &srv));
        let SocketAddr::V4(v4) = server.addr else { return None };
        additional.extend(dns_record(&host, 1, &v4.ip().octets()));
        let mut txt = Vec::new();
        let texts = [
            "kind=std-1".to_owned(),
            format!("cell={}", server.number),
            format!("started={}", server.started_ms),
        ];
        for text in texts {
            txt.push(text.len() as u8);
            txt.extend(text.as_bytes());
        }
        additional.extend(dns_record(&host, 16, &txt));
    }
    let mut soa = [dns_name("ns.fleet.local"), dns_name("ops.fleet.local")].concat();
    for value in [serial, 1, 1, 1, 0] {
        soa.extend(value.to_be_bytes());
    }
    let count = servers.len() as u16;
    let mut out = query.get(..2)?.to_vec();
    for value in [0x8400, 1, count, 1, 2 * count] {
        out.extend(u16::to_be_bytes(value));
    }
    out.extend(question);
    out.extend(answers);
    out.extend(dns_record(list, 6, &soa));
    out.extend(additional);
    Some(out)
}

// --- signalling servers ---

#[derive(Default)]
struct ServerState {
    next: u64,
    /// Open connections, for writing.
    conns: BTreeMap<u64, TcpStream>,
    /// Set-ups without an end, with their connection.
    open: BTreeMap<u64, u64>,
    /// Calls that stand, with the connection of their set-up.
    standing: BTreeMap<u64, u64>,
    /// Calls that the front node has released, with the time.
    released: BTreeMap<u64, u64>,
    /// Calls that the server has ended, with the time.
    ended: BTreeMap<u64, u64>,
    /// Releases that also go out on the next connection.
    repeat: Vec<Message>,
    set_ups: u64,
}

#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub number: u16,
    pub addr: SocketAddr,
    state: Arc<Mutex<ServerState>>,
    record: Record,
    answer_after: Duration,
}

impl Server {
    /// Listens at `at`; answers each set-up after `answer_after` milliseconds. Calls stand until they are
    /// ended by [`Server::end_call`] or released.
    pub fn start(record: &Record, name: &str, number: u16, at: &str, answer_after: u64) -> Self {
        let end = Instant::now() + ms(2_000);
        let listener = loop {
            match TcpListener::bind(at) {
                Ok(listener) => break listener,
                Err(e) if Instant::now() >= end => panic!("cannot listen on {at}: {e}"),
                Err(_) => sleep(2),
            }
        };
        let addr = listener.local_addr().expect("bound");
        let server = Self {
            name: name.to_owned(),
            number,
            addr,
            state: Arc::default(),
            record: record.clone(),
            answer_after: ms(answer_after),
        };
        record.put(format!("{name}: listens on {addr}"));
        let own = server.clone();
        thread::spawn(move || own.accept_all(listener));
        server
    }

    pub fn listed(&self, started_ms: u64) -> Listed {
        Listed::ready(&self.name, self.addr, self.number, started_ms)
    }

    fn put(&self, text: impl Display) {
        self.record.put(format!("{}: {text}", self.name));
    }

    fn accept_all(&self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept() {
            if let Some(id) = self.open(&stream) {
                let own = self.clone();
                thread::spawn(move || own.serve(id, stream));
            }
        }
    }

    fn open(&self, stream: &TcpStream) -> Option<u64> {
        let _ = stream.set_nodelay(true);
        let mut state = lock(&self.state);
        state.next += 1;
        let id = state.next;
        let writer = stream.try_clone().ok()?;
        let report = Message::new(GROUP_STATE, 0).with(REPORT, "idle:1000;circuits:1000;lat_ms:5");
        let _ = (&writer).write_all(&report.bytes());
        for release in std::mem::take(&mut state.repeat) {
            self.put(format!("sends on connection {id}, the next that was opened: {}", name(&release)));
            let _ = (&writer).write_all(&release.bytes());
        }
        state.conns.insert(id, writer);
        Some(id)
    }

    fn serve(&self, id: u64, mut stream: TcpStream) {
        self.put(format!("connection {id} up"));
        while let Some(message) = Message::read(&mut stream) {
            self.handle(id, &message);
        }
        let mut state = lock(&self.state);
        state.conns.remove(&id);
        let given_up: Vec<_> = state.open.iter().filter(|(_, conn)| **conn == id).map(|(c, _)| *c).collect();
        for call in given_up {
            state.open.remove(&call);
            self.put(format!("set-up {call:x} given up with connection {id}"));
        }
        self.put(format!("connection {id} over"));
    }

    fn handle(&self, id: u64, message: &Message) {
        let call = message.call;
        match message.kind {
            TEST => self.send(id, &Message::new(TEST_RESULT, call).with(CAUSE, [1])),
            SET_UP => {
                self.put(format!("receives set-up {call:x} on connection {id}"));
                let mut state = lock(&self.state);
                state.set_ups += 1;
                state.open.insert(call, id);
                drop(state);
                if self.answer_after.is_zero() {
                    return self.answer(id, call);
                }
                let own = self.clone();
                thread::spawn(move || {
                    thread::sleep(own.answer_after);
                    own.answer(id, call);
                });
            }
            RELEASE => {
                let mut state = lock(&self.state);
                let standing = state.standing.remove(&call).is_some();
                let open = state.open.remove(&call).is_some();
                state.released.insert(call, self.record.now());
                drop(state);
                self.put(format!("receives {}, standing {standing}, in set-up {open}", name(message)));
                self.send(id, &Message::new(RELEASE_HEARD, call));
            }
            _ => {}
        }
    }

    fn answer(&self, id: u64, call: u64) {
        let mut state = lock(&self.state);
        if state.open.get(&call) != Some(&id) {
            return;
        }
        state.open.remove(&call);
        state.standing.insert(call, id);
        drop(state);
        let answer = Message::new(ANSWER, call)
            .with(DESCRIPTION, format!("{} {call:x}", self.name))
            .with(REPORT, "idle:1000;circuits:1000;lat_ms:5");
        self.put(format!("sends {}", name(&answer)));
        self.send(id, &answer);
    }

    fn send(&self, id: u64, message: &Message) {
        if let Some(mut conn) = lock(&self.state).conns.get(&id) {
            let _ = conn.write_all(&message.bytes());
        }
    }

    /// Ends a call: the release goes out on the connection of its set-up, else on any open one, and also on
    /// the next one that is opened.
    pub fn end_call(&self, call: u64) {
        let mut state = lock(&self.state);
        let Some(own) = state.standing.remove(&call) else { return };
        let release = Message::release(call, 16);
        let on = if state.conns.contains_key(&own) { Some(own) } else { state.conns.keys().next().copied() };
        state.ended.insert(call, self.record.now());
        state.repeat.push(release.clone());
        drop(state);
        self.put(format!("the call {call:x} has come to its end; {} on {on:?}", name(&release)));
        if let Some(on) = on {
            self.send(on, &release);
        }
    }

    /// A call that another front node has set up here stands.
    pub fn holds(&self, call: u64) {
        lock(&self.state).standing.insert(call, 0);
        self.put(format!("call {call:x} stands, set up by another front node"));
    }

    pub fn conns(&self) -> usize {
        lock(&self.state).conns.len()
    }

    pub fn set_ups(&self) -> u64 {
        lock(&self.state).set_ups
    }

    pub fn standing(&self) -> BTreeSet<u64> {
        lock(&self.state).standing.keys().copied().collect()
    }

    pub fn released_at(&self, call: u64) -> Option<u64> {
        lock(&self.state).released.get(&call).copied()
    }

    pub fn ended_at(&self, call: u64) -> Option<u64> {
        lock(&self.state).ended.get(&call).copied()
    }
}

// --- a signalling server as a process ---

/// A signalling server in a process of its own, which can be stopped and continued. It runs the case's program
/// again with the argument `server`, see [`serve_alone`]. What it does comes to the record through its output.
pub struct ServerProcess {
    child: Child,
    pub name: String,
    pub number: u16,
    pub addr: SocketAddr,
    /// When each call came to its end there.
    ended: Arc<Mutex<BTreeMap<u64, u64>>>,
    record: Record,
}

impl ServerProcess {
    /// Each call stands for `hold` milliseconds.
    pub fn start(record: &Record, name: &str, number: u16, hold: u64) -> Self {
        let addr = free_tcp();
        let mut child = Command::new(std::env::current_exe().expect("this program"))
            .args(["server", name, &addr.to_string(), &hold.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        lock(&PROCESSES).push(child.id());
        let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
        if !matches!(lines.next(), Some(Ok(line)) if line == "listens") {
            unable(record, "a signalling server does not listen");
        }
        let ended: Arc<Mutex<BTreeMap<u64, u64>>> = Arc::default();
        let (own, ends, server) = (record.clone(), ended.clone(), name.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some((_, call)) = line.split_once("the end of call ") {
                    let call = u64::from_str_radix(call.split(' ').next().unwrap_or_default(), 16);
                    lock(&ends).insert(call.unwrap_or_default(), own.now());
                }
                own.put(format!("{server}: {line}"));
            }
        });
        record.put(format!("{name}: process {} listens on {addr}", child.id()));
        Self { child, name: name.to_owned(), number, addr, ended, record: record.clone() }
    }

    pub fn listed(&self, started_ms: u64) -> Listed {
        Listed::ready(&self.name, self.addr, self.number, started_ms)
    }

    pub fn stop(&self) {
        signal(self.child.id(), "-STOP");
        self.record.put(format!("{}: stopped, it hangs", self.name));
    }

    pub fn go_on(&self) {
        self.record.put(format!("{}: goes on", self.name));
        signal(self.child.id(), "-CONT");
    }

    pub fn ended_at(&self, call: u64) -> Option<u64> {
        lock(&self.ended).get(&call).copied()
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        end(&mut self.child);
    }
}

/// One connection of the server process.
struct Conn {
    stream: TcpStream,
    read: Vec<u8>,
}

/// If this process is to be a signalling server, runs it: one thread, which in turn does what is due, takes new
/// connections, and reads.
pub fn serve_alone() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, kind, name, addr, hold] = &arguments[..] else { return };
    if kind != "server" {
        return;
    }
    let listener = TcpListener::bind(addr).expect("a free port");
    listener.set_nonblocking(true).expect("a socket");
    println!("listens");
    let hold = ms(hold.parse().expect("milliseconds"));
    let (mut next, mut conns) = (0, BTreeMap::<u64, Conn>::new());
    // When each standing call ends, and the connection of its set-up.
    let mut standing = BTreeMap::<u64, (Instant, u64)>::new();
    let mut repeat = Vec::<Message>::new();
    let send = |conns: &mut BTreeMap<u64, Conn>, on: u64, message: &Message| {
        if let Some(conn) = conns.get_mut(&on) {
            let _ = conn.stream.write_all(&message.bytes());
        }
    };
    loop {
        let now = Instant::now();
        let due: Vec<_> = standing.iter().filter(|(_, (at, _))| *at <= now).map(|(c, s)| (*c, s.1)).collect();
        for (call, own) in due {
            standing.remove(&call);
            let on = if conns.contains_key(&own) { Some(own) } else { conns.keys().next().copied() };
            println!("the end of call {call:x} goes out on connection {on:?}, its set-up came on {own}");
            let release = Message::release(call, 16);
            if let Some(on) = on {
                send(&mut conns, on, &release);
            }
            repeat.push(release);
        }
        while let Ok((stream, _)) = listener.accept() {
            next += 1;
            let _ = (stream.set_nodelay(true), stream.set_nonblocking(true));
            conns.insert(next, Conn { stream, read: Vec::new() });
            println!("connection {next} up");
            let report = Message::new(GROUP_STATE, 0).with(REPORT, "idle:1000;circuits:1000;lat_ms:5");
            send(&mut conns, next, &report);
            for release in repeat.drain(..) {
                println!("sends on connection {next}, the next that was opened: {}", self::name(&release));
                send(&mut conns, next, &release);
            }
        }
        for id in conns.keys().copied().collect::<Vec<_>>() {
            let Some(conn) = conns.get_mut(&id) else { continue };
            let (mut buffer, mut over) = ([0; 4096], false);
            loop {
                match conn.stream.read(&mut buffer) {
                    Ok(0) => over = true,
                    Ok(n) => {
                        conn.read.extend(&buffer[..n]);
                        continue;
                    }
                    Err(e) => over |= e.kind() != std::io::ErrorKind::WouldBlock,
                }
                break;
            }
            let mut messages = Vec::new();
            while let Some(length) = conn.read.get(..2).map(|l| usize::from(u16::from_be_bytes([l[0], l[1]])))
            {
                if conn.read.len() < 2 + length {
                    break;
                }
                let bytes: Vec<u8> = conn.read.drain(..2 + length).collect();
                messages.extend(Message::of(&bytes[2..]));
            }
            for message in messages {
                let call = message.call;
                match message.kind {
                    TEST => send(&mut conns, id, &Message::new(TEST_RESULT, call).with(CAUSE, [1])),
                    SET_UP => {
                        println!("receives set-up {call:x} on connection {id}, answers");
                        standing.insert(call, (Instant::now() + hold, id));
                        let answer = Message::new(ANSWER, call).with(DESCRIPTION, format!("{name} {call:x}"));
                        send(&mut conns, id, &answer);
                    }
                    RELEASE => {
                        println!("receives release {call:x}, standing {}", standing.remove(&call).is_some());
                        send(&mut conns, id, &Message::new(RELEASE_HEARD, call));
                    }
                    _ => {}
                }
            }
            if over {
                conns.remove(&id);
                println!("connection {id} over");
            }
        }
        sleep(1);
    }
}

// --- callers ---

#[derive(Default)]
struct CallerState {
    received: Vec<(u64, Message)>,
    closed_at: Option<u64>,
}

/// One connection of a caller.
pub struct Caller {
    name: String,
    /// `None` once it is closed.
    stream: Mutex<Option<TcpStream>>,
    state: Arc<Mutex<CallerState>>,
    record: Record,
}

impl Caller {
    pub fn connect(record: &Record, name: &str, to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("the front node listens");
        let _ = stream.set_nodelay(true);
        record.put(format!("{name}: connects from {}", stream.local_addr().expect("connected")));
        let state: Arc<Mutex<CallerState>> = Arc::default();
        let (own, mut reader) = (state.clone(), stream.try_clone().expect("a descriptor"));
        let (caller, to_record) = (name.to_owned(), record.clone());
        thread::spawn(move || {
            while let Some(message) = Message::read(&mut reader) {
                to_record.put(format!("{caller}: receives {}", self::name(&message)));
                lock(&own).received.push((to_record.now(), message));
            }
            to_record.put(format!("{caller}: connection over"));
            lock(&own).closed_at = Some(to_record.now());
        });
        Self { name: name.to_owned(), stream: Mutex::new(Some(stream)), state, record: record.clone() }
    }

    pub fn send(&self, messages: &[Message]) {
        let bytes: Vec<u8> = messages.iter().flat_map(Message::bytes).collect();
        for message in messages {
            self.record.put(format!("{}: sends {}", self.name, name(message)));
        }
        if let Some(stream) = &mut *lock(&self.stream) {
            let _ = stream.write_all(&bytes);
        }
    }

    pub fn set_up(&self, call: u64, wait_ms: u64) {
        self.send(&[set_up(call, wait_ms, "offer")]);
    }

    /// Announces a call that stands at a server already.
    pub fn announce(&self, call: u64, server: &str) {
        self.record.put(format!("{}: the next set-up has at:{server}", self.name));
        self.send(&[announcement(call, server)]);
    }

    pub fn release(&self, call: u64) {
        self.send(&[Message::release(call, 16)]);
    }

    /// Whether a message of this kind came for this call; the time of the first one.
    pub fn got(&self, kind: u8, call: u64) -> Option<u64> {
        let state = lock(&self.state);
        state.received.iter().find(|(_, m)| m.kind == kind && m.call == call).map(|(at, _)| *at)
    }

    /// When the answer or release for this call came.
    pub fn ended(&self, call: u64) -> Option<u64> {
        self.got(RELEASE, call)
    }

    pub fn final_answers(&self, call: u64) -> usize {
        let state = lock(&self.state);
        state
            .received
            .iter()
            .filter(|(_, m)| (m.kind == ANSWER || m.kind == RELEASE) && m.call == call)
            .count()
    }

    pub fn close(&self) {
        self.record.put(format!("{}: closes its connection", self.name));
        if let Some(stream) = lock(&self.stream).take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

pub fn set_up_with(call: u64, wait_ms: u64, description: &str, figures: &str) -> Message {
    Message::new(SET_UP, call)
        .with(CLASS, "grid-load")
        .with(WAIT, wait_ms.to_string())
        .with(TENANT, "gulf-gazette")
        .with(NUMBER, format!("{call:016x}"))
        .with(FIGURES, figures)
        .with(DESCRIPTION, description)
}

pub fn set_up(call: u64, wait_ms: u64, description: &str) -> Message {
    set_up_with(call, wait_ms, description, "dest:0;width:1;via:-1")
}

/// A set-up for a call that stands at this server already.
pub fn announcement(call: u64, server: &str) -> Message {
    set_up_with(call, 9_000, "offer", &format!("dest:0;width:1;via:-1;at:{server}"))
}

// --- a network path ---

/// A path to the front node on which everything takes `delay` milliseconds one way, the end of a connection
/// included.
pub fn delayed_path(to: SocketAddr, delay: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("bound");
    thread::spawn(move || {
        while let Ok((from_caller, _)) = listener.accept() {
            let Ok(to_node) = TcpStream::connect(to) else { continue };
            for (from, onto) in [(&from_caller, &to_node), (&to_node, &from_caller)] {
                let _ = from.set_nodelay(true);
                if let (Ok(from), Ok(onto)) = (from.try_clone(), onto.try_clone()) {
                    pass(from, onto, delay);
                }
            }
        }
    });
    addr
}

fn pass(mut from: TcpStream, mut onto: TcpStream, delay: u64) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = [0; 16 * 1024];
        while let Ok(n) = from.read(&mut buffer) {
            // An empty read is the end of the connection.
            if sender.send((Instant::now() + ms(delay), buffer[..n].to_vec())).is_err() || n == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (at, bytes) in receiver {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || onto.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = onto.shutdown(Shutdown::Write);
    });
}

// --- the front node ---

pub struct Node {
    child: Child,
    pub addr: SocketAddr,
    dir: PathBuf,
}

fn free_tcp() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

fn free_udp() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()).expect("a free port")
}

/// The settings: those of the sample on the users' wire page, five front nodes.
fn config(listen: SocketAddr, names: SocketAddr, servers: &[Listed], memory_mb: u64) -> String {
    let endpoints = servers.iter().map(|s| {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"east","type":"std-1","group":{},"status":"{}","weight":1,"since_ms":{}}}"#,
            s.name,
            s.addr,
            s.number,
            if s.draining { "terminating" } else { "in_service" },
            s.started_ms
        )
    });
    let endpoints: Vec<_> = endpoints.collect();
    let class = |name, aim, late, worth| {
        format!(
            r#"{{"effect":"retryable","group":"all","hard-limit-s":9.0,"late-value":{late},"name":"{name}","slo-s":{aim},"streaming":true,"window-s":5.0,"worth":{worth}}}"#
        )
    };
    let classes = [
        class("grid-load", 2.0, 0.25, 1.0),
        class("answer-check", 1.5, 0.25, 2.0),
        class("progress-save", 2.5, 0.1, 1.0),
    ];
    let peers: Vec<_> = (0..5).map(|_| free_udp()).collect();
    let peer_texts: Vec<_> = peers.iter().map(|p| format!("\"{p}\"")).collect();
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"{:016x}",
 "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":256}},
 "peer_listen":"{}","peers":[{}],"names":"{names}",
 "known":{{"seq":1,"results":[{{"seq":1,"fleet":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}},
 "settings":{{"balancers":5,"ordinal":0,"classes":[{}],"clients":{{"marks-retry":false}},"discovery":"automatic",
  "domain-type":"trunks",
  "family-info":{{"circuits-by-class":[1,1,1],"far-reports":"piggyback","guard-s":0.3,"hints-route":false,
   "mean-hold-s":[8.7,6.9,4.3],"own-number":-1,"retry-hint":false,"skilled-pools":[[0,1,2],[0,1,2],[0,1,2]],
   "t1-s":0.5,"topology":"skills"}},
  "kinds":["std-1"],"over-share-worth":0.2,
  "policy-limits":{{"cancelling":true,"conn-idle-s":600.0,"cpu-us-per-request":0.0,"cpu-us-per-s":300000,
   "dial-timeout-s":0.5,"max-attempts":5,"max-open":20000,"max-retry-after-s":2.0,"may-duplicate":false,
   "peers":true,"probes":false,"retry-after":false,"streams-per-conn":1048576}},
  "rules":{{"answer-slack-s":0.02,"ask-within-s":10.0,"cold-from":0.33,"fall-multiple":2.0,"fall-s":1.5,
   "ramp-time-s":13.0,"stop-sending-within-s":1.0}},
  "stats":{{"fields":["idle","circuits","lat_ms"],"how":"piggyback"}},"step-s":0.005,
  "tenants":[{{"name":"gulf-gazette","quota-per-s":500.0,"share":1.0}}],"tier":0,"tiers":["session-fleet"],
  "value-by":"request","weights":"silent","zone":0,"zones":["east"]}}}}"#,
        unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15),
        peers[0],
        peer_texts.join(","),
        endpoints.join(","),
        classes.join(",")
    )
}

impl Node {
    /// Starts a front node with `run` of the deploy file, and waits until it has passed a test.
    pub fn start(record: &Record, names: &Names, servers: &[Listed], memory_mb: u64) -> Self {
        let run = std::fs::read_to_string("deploy/balancer.toml")
            .expect("started from the root")
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.split('"').next().map(str::to_owned))
            .expect("'run' in the deploy file");
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let addr = free_tcp();
        let path = dir.join("config.json");
        std::fs::write(&path, config(addr, names.addr, servers, memory_mb)).expect("a file");
        let log = File::create(dir.join("node.log")).expect("a file");
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("RELAY_NAME", "n0")
            .env("RELAY_LISTEN", addr.to_string())
            .env("RELAY_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a process");
        lock(&PROCESSES).push(child.id());
        let mut node = Self { child, addr, dir };
        let end = Instant::now() + ms(30_000);
        loop {
            if let Ok(Some(status)) = node.child.try_wait() {
                let log = std::fs::read_to_string(node.dir.join("node.log")).unwrap_or_default();
                drop(node);
                unable(record, &format!("the front node ended at its start: {status}\n{log}"));
            }
            if let Ok(mut stream) = TcpStream::connect(addr) {
                let _ = stream.write_all(&Message::new(TEST, 0).with(CAUSE, [0]).bytes());
                if Message::read(&mut stream).is_some_and(|m| m.kind == TEST_RESULT && m.cause() == 1) {
                    record.put(format!("node: passed a test at {addr}"));
                    return node;
                }
            }
            if Instant::now() >= end {
                drop(node);
                unable(record, "the front node is not ready after 30 s");
            }
            sleep(10);
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The anonymous memory of the process in KiB: less than what counts, since code pages are left out.
    pub fn memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Kills the process, as the platform does.
    pub fn kill(&mut self) {
        end(&mut self.child);
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        end(&mut self.child);
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

// --- the run ---

/// Ends the run: the case could not run.
pub fn unable(record: &Record, why: &str) -> ! {
    record.put(format!("NOT RUN: {why}"));
    eprintln!("not run: {why}");
    exit(2)
}

/// Runs a case. `play` gets whether the disruption takes place, and returns what breaks the rule.
pub fn run(play: impl FnOnce(&Record, bool) -> Vec<String> + std::panic::UnwindSafe) -> ! {
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let file = File::create(&path).expect("the record");
    let record = Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.put(format!("start at {} ms Unix time, disruption {trouble}", unix_ms()));
    let own = record.clone();
    thread::spawn(move || {
        thread::sleep(RUN_MAX);
        own.put("NOT RUN: over the time limit");
        exit(2);
    });
    let to_play = std::panic::AssertUnwindSafe(|| play(&record, trouble));
    let code = match std::panic::catch_unwind(to_play) {
        Err(_) => {
            record.put("NOT RUN: a stand-in failed");
            2
        }
        Ok(breaches) if breaches.is_empty() => {
            record.put("HELD");
            println!("held");
            0
        }
        Ok(breaches) => {
            for breach in &breaches {
                record.put(format!("BROKEN: {breach}"));
                println!("broken: {breach}");
            }
            1
        }
    };
    exit(code)
}
