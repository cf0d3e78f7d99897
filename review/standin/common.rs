//! Parts that all cases share: the record, the platform's messages, the node's process, the name server,
//! signalling servers, callers and a TCP proxy. Everything is on loopback and on the real clock.

#![allow(dead_code)] // Not every case uses every part.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SET_UP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const TEST: u8 = 52;
pub const TEST_RESULT: u8 = 53;
pub const STATE: u8 = 43;

pub const NORMAL: u8 = 16;
pub const RESET: u8 = 41;

pub type Res<T> = Result<T, String>;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// The record: each line has the milliseconds since the start, who, and what.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Res<Self> {
        let file = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn put(&self, who: &str, what: &str) {
        let mut file = lock(&self.file);
        let _ = writeln!(file, "{:10.1} {who:<10} {what}", self.now());
    }

    /// A line for the record and for the terminal.
    pub fn say(&self, what: &str) {
        println!("{what}");
        self.put("result", what);
    }
}

/// One message of the platform's protocol.
#[derive(Clone, Debug)]
pub struct Message {
    pub kind: u8,
    pub call: u64,
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    pub fn new(kind: u8, call: u64) -> Self {
        Self { kind, call, parameters: Vec::new() }
    }

    pub fn with(mut self, code: u8, value: &[u8]) -> Self {
        self.parameters.push((code, value.to_vec()));
        self
    }

    pub fn release(call: u64, cause: u8) -> Self {
        Self::new(RELEASE, call).with(171, &[cause])
    }

    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|(known, _)| *known == code).map(|(_, value)| value.as_slice())
    }

    pub fn cause(&self) -> u8 {
        self.get(171).and_then(|value| value.first().copied()).unwrap_or(0)
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut body = vec![self.kind];
        body.extend(self.call.to_be_bytes());
        for (code, value) in &self.parameters {
            body.push(*code);
            body.extend((value.len() as u16).to_be_bytes());
            body.extend(value);
        }
        let mut all = (body.len() as u16).to_be_bytes().to_vec();
        all.extend(body);
        all
    }
}

/// Splits a byte stream into messages.
#[derive(Default)]
pub struct Decoder {
    buffer: Vec<u8>,
}

impl Decoder {
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    pub fn next(&mut self) -> Option<Message> {
        let length = usize::from(u16::from_be_bytes([*self.buffer.first()?, *self.buffer.get(1)?]));
        if self.buffer.len() < 2 + length || length < 9 {
            return None;
        }
        let body: Vec<u8> = self.buffer.drain(..2 + length).skip(2).collect();
        let mut call = [0; 8];
        call.copy_from_slice(&body[1..9]);
        let mut message = Message::new(body[0], u64::from_be_bytes(call));
        let mut rest = &body[9..];
        while rest.len() >= 3 {
            let size = usize::from(u16::from_be_bytes([rest[1], rest[2]])).min(rest.len() - 3);
            message.parameters.push((rest[0], rest[3..3 + size].to_vec()));
            rest = &rest[3 + size..];
        }
        Some(message)
    }
}

/// A set-up as callers send it.
pub fn set_up(call: u64, class: &str, wait_ms: u64, attributes: &str) -> Message {
    Message::new(SET_UP, call)
        .with(129, class.as_bytes())
        .with(132, wait_ms.to_string().as_bytes())
        .with(135, b"gulf-gazette")
        .with(141, format!("{:016x}", call.wrapping_mul(0x9e37_79b9_7f4a_7c15)).as_bytes())
        .with(144, attributes.as_bytes())
        .with(174, format!("offer of {call:016x}").as_bytes())
}

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, size: u32) -> i32;
}

/// Ends a connection with a TCP reset.
pub fn reset(stream: &TcpStream) {
    let linger: [i32; 2] = [1, 0];
    // SOL_SOCKET and SO_LINGER of Linux; the option has two ints.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr().cast(), 8) };
}

/// A free port of a loopback address.
pub fn free_address() -> Res<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

// --- the list of signalling servers ---

#[derive(Clone)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub number: u16,
    pub draining: bool,
    pub started_ms: u64,
}

impl Listed {
    pub fn new(name: &str, address: SocketAddr, number: u16) -> Self {
        Self {
            name: name.to_owned(),
            address,
            zone: "austin".to_owned(),
            number,
            draining: false,
            started_ms: 0,
        }
    }

    pub fn in_zone(self, zone: &str) -> Self {
        Self { zone: zone.to_owned(), ..self }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The name server: answers each query, after a delay, with the list as it is when the answer is sent.
pub struct NameServer {
    pub address: SocketAddr,
    pub list: Arc<Mutex<(u32, Vec<Listed>)>>,
    pub delay_ms: Arc<AtomicU64>,
    /// While set, queries get no answer.
    pub silent: Arc<AtomicBool>,
    /// For each serial, the time at which the first answer with it was sent, in ms of the record.
    pub told: Arc<Mutex<BTreeMap<u32, f64>>>,
}

fn dns_name(name: &str, out: &mut Vec<u8>) {
    for label in name.split('.') {
        out.push(label.len() as u8);
        out.extend(label.as_bytes());
    }
    out.push(0);
}

fn dns_record(name: &str, kind: u16, data: &[u8], out: &mut Vec<u8>) {
    dns_name(name, out);
    out.extend(kind.to_be_bytes());
    out.extend([0, 1, 0, 0, 0, 1]);
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
}

fn dns_answer(query: &[u8], serial: u32, servers: &[Listed]) -> Option<Vec<u8>> {
    let question_end = query.get(12..)?.iter().position(|byte| *byte == 0)? + 12 + 5;
    let question = query.get(12..question_end)?;
    let count = servers.len() as u16;
    let mut out = query.get(..2)?.to_vec();
    out.extend([0x84, 0x00, 0, 1]);
    out.extend(count.to_be_bytes());
    out.extend([0, 1]);
    out.extend((2 * count).to_be_bytes());
    out.extend(question);
    let host = |server: &Listed| format!("{}.{}.hosts", server.name, server.zone);
    for server in servers {
        let mut data = u16::from(server.draining).to_be_bytes().to_vec();
        data.extend(10u16.to_be_bytes());
        data.extend(server.address.port().to_be_bytes());
        dns_name(&host(server), &mut data);
        dns_record("_work._tcp.fleet.local", 33, &data, &mut out);
    }
    let mut soa = Vec::new();
    dns_name("ns.fleet.local", &mut soa);
    dns_name("admin.fleet.local", &mut soa);
    for value in [serial, 1, 1, 1, 1] {
        soa.extend(value.to_be_bytes());
    }
    dns_record("fleet.local", 6, &soa, &mut out);
    for server in servers {
        let std::net::IpAddr::V4(ip) = server.address.ip() else { return None };
        dns_record(&host(server), 1, &ip.octets(), &mut out);
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
        dns_record(&host(server), 16, &txt, &mut out);
    }
    Some(out)
}

impl NameServer {
    pub fn start(record: &Record, servers: Vec<Listed>) -> Res<Self> {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").map_err(|e| e.to_string())?);
        let address = socket.local_addr().map_err(|e| e.to_string())?;
        let own = Self {
            address,
            list: Arc::new(Mutex::new((1, servers))),
            delay_ms: Arc::default(),
            silent: Arc::default(),
            told: Arc::default(),
        };
        let (record, list, delay) = (record.clone(), own.list.clone(), own.delay_ms.clone());
        let (silent, told) = (own.silent.clone(), own.told.clone());
        std::thread::spawn(move || {
            let mut buffer = [0; 512];
            while let Ok((size, from)) = socket.recv_from(&mut buffer) {
                if silent.load(SeqCst) {
                    continue;
                }
                let query = buffer[..size].to_vec();
                let (socket, record, list, told) =
                    (socket.clone(), record.clone(), list.clone(), told.clone());
                let wait = delay.load(SeqCst);
                let came = record.now();
                let send = move || {
                    sleep_ms(wait);
                    let (serial, servers) = lock(&list).clone();
                    let Some(answer) = dns_answer(&query, serial, &servers) else { return };
                    let sent = socket.send_to(&answer, from).is_ok();
                    let now = record.now();
                    lock(&told).entry(serial).or_insert(now);
                    if wait > 0 {
                        let port = from.port();
                        record.put(
                            "names",
                            &format!("query of {came:.1} from port {port}: serial {serial} sent {sent}"),
                        );
                    }
                };
                if wait == 0 {
                    send();
                } else {
                    std::thread::spawn(send);
                }
            }
        });
        Ok(own)
    }

    /// Changes the list: an event with the next number.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Listed>)) -> u32 {
        let mut list = lock(&self.list);
        change(&mut list.1);
        list.0 += 1;
        list.0
    }
}

// --- the front node ---

/// A folder that is removed at the end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn new(case: &str) -> Res<Self> {
        let path = std::env::temp_dir().join(format!("baydrift-{case}-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|e| e.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A front node, started with `run` of the deploy file.
pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    config: PathBuf,
    child: Child,
}

/// The command `run` of the deploy file.
fn run_command() -> Res<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("deploy file: {e}"))?;
    let line = text.lines().find(|line| line.starts_with("run ") || line.starts_with("run="));
    let command = line.and_then(|line| line.split('"').nth(1));
    command.map(str::to_owned).ok_or_else(|| "no `run` in the deploy file".to_owned())
}

/// The configuration with settings of the small deployment austin-main.
pub fn config(
    name: &str,
    listen: SocketAddr,
    names: SocketAddr,
    ordinal: u32,
    fronts: u32,
    known: &[Listed],
) -> String {
    let endpoints: Vec<_> = known
        .iter()
        .map(|s| {
            let status = if s.draining { "terminating" } else { "in_service" };
            format!(
                r#"{{"name":"{}","address":"{}","zone":"{}","type":"std-1","group":{},"status":"{status}","weight":1,"since_ms":{}}}"#,
                s.name, s.address, s.zone, s.number, s.started_ms
            )
        })
        .collect();
    let numbers: BTreeSet<_> = (0..4u16).collect();
    let numbers: Vec<_> = numbers.iter().map(u16::to_string).collect();
    let pools = format!("[{}]", numbers.join(","));
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"names":"{names}",
"known":{{"seq":1,"results":[{{"seq":1,"fleet":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}},
"settings":{{"balancers":{fronts},"ordinal":{ordinal},
"classes":[
{{"effect":"retryable","group":"all","hard-limit-s":9.0,"late-value":0.25,"name":"grid-load","slo-s":2.0,"streaming":true,"window-s":5.0,"worth":1.0}},
{{"effect":"retryable","group":"all","hard-limit-s":9.0,"late-value":0.25,"name":"answer-check","slo-s":1.5,"streaming":true,"window-s":5.0,"worth":2.0}},
{{"effect":"retryable","group":"all","hard-limit-s":9.0,"late-value":0.1,"name":"progress-save","slo-s":2.5,"streaming":true,"window-s":5.0,"worth":1.0}}],
"clients":{{"marks-retry":false}},"discovery":"automatic","domain-type":"trunks",
"family-info":{{"circuits-by-class":[1,1,1],"far-reports":"piggyback","guard-s":0.3,"hints-route":false,"mean-hold-s":[8.7,6.9,4.3],"own-number":-1,"retry-hint":false,"skilled-pools":[{pools},{pools},{pools}],"t1-s":0.5,"topology":"skills"}},
"kinds":["std-1"],"over-share-worth":0.2,
"policy-limits":{{"cancelling":true,"conn-idle-s":600.0,"cpu-us-per-request":0.0,"cpu-us-per-s":300000,"dial-timeout-s":0.5,"max-attempts":5,"max-open":20000,"max-retry-after-s":2.0,"may-duplicate":false,"peers":false,"probes":false,"retry-after":false,"streams-per-conn":1048576}},
"prices":{{"late-fail":0.08,"peer":0.01,"waste":0.02}},
"rules":{{"answer-slack-s":0.02,"ask-within-s":10.0,"cold-from":0.33,"fall-multiple":2.0,"fall-s":1.5,"ramp-time-s":13.0,"stop-sending-within-s":1.0}},
"stats":{{"fields":["idle","circuits","lat_ms"],"how":"piggyback"}},"step-s":0.005,
"tenants":[{{"name":"gulf-gazette","quota-per-s":21.0,"share":0.64}},{{"name":"brazos-post","quota-per-s":7.0,"share":0.22}},{{"name":"pecos-weekly","quota-per-s":5.0,"share":0.14}}],
"tier":0,"tiers":["session-fleet"],"value-by":"request","weights":"silent","zone":0,"zones":["austin","dallas","houston"]}}}}"#,
        unix_ms() ^ 0x5bd1_e995,
        endpoints.join(",")
    )
}

impl Node {
    /// Starts a front node and waits until it passes a test, as the platform does.
    pub fn start(record: &Record, dir: &TempDir, name: &str, address: SocketAddr, text: &str) -> Res<Self> {
        let config = dir.0.join(format!("{name}.json"));
        std::fs::write(&config, text).map_err(|e| e.to_string())?;
        let child = Self::spawn(dir, name, address, &config)?;
        let mut node = Self { name: name.to_owned(), address, config, child };
        node.wait_ready(record)?;
        Ok(node)
    }

    fn spawn(dir: &TempDir, name: &str, address: SocketAddr, config: &Path) -> Res<Child> {
        let log = File::options().create(true).append(true).open(dir.0.join(format!("{name}.log")));
        let log = log.map_err(|e| e.to_string())?;
        let output = log.try_clone().map_err(|e| e.to_string())?;
        let tmp = dir.0.join(format!("{name}.tmp"));
        std::fs::create_dir_all(&tmp).map_err(|e| e.to_string())?;
        Command::new("/bin/sh")
            .args(["-c", &run_command()?])
            .env("RELAY_NAME", name)
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_CONFIG", config)
            .env("TMPDIR", tmp)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("the front node does not start: {e}"))
    }

    fn wait_ready(&mut self, record: &Record) -> Res<()> {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(format!("the front node ended: {status}"));
            }
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
                let test = Message::new(TEST, 7).with(171, &[0]).bytes();
                let mut buffer = [0; 64];
                if stream.write_all(&test).is_ok()
                    && stream.read(&mut buffer).is_ok_and(|n| n > 2 && buffer[2] == TEST_RESULT)
                {
                    record.put(&self.name, "ready");
                    return Ok(());
                }
            }
            sleep_ms(20);
        }
        Err("the front node is not ready after 30 s".to_owned())
    }

    pub fn running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn kill(&mut self, record: &Record) {
        record.put(&self.name, "killed");
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM and waits for the exit, with SIGKILL after the time that the platform allows.
    pub fn term(&mut self, record: &Record) {
        record.put(&self.name, "SIGTERM");
        let _ = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
        let until = Instant::now() + Duration::from_millis(3_700);
        while Instant::now() < until && self.running() {
            sleep_ms(5);
        }
        let _ = self.child.kill();
        let status = self.child.wait();
        record.put(&self.name, &format!("ended: {status:?}"));
    }

    /// Starts the process again under the same name and address.
    pub fn restart(&mut self, record: &Record, dir: &TempDir, text: &str) -> Res<()> {
        std::fs::write(&self.config, text).map_err(|e| e.to_string())?;
        self.child = Self::spawn(dir, &self.name, self.address, &self.config)?;
        self.wait_ready(record)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// --- signalling servers ---

/// Why an attempt at a signalling server was over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// The signalling server wrote its release.
    Written,
    /// The front node released it.
    Released,
    /// Its connection closed before it was answered.
    GivenUp,
    /// The process stopped.
    Stopped,
}

/// What one signalling server saw of one attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub call: u64,
    pub conn: u64,
    pub came: f64,
    pub answered: Option<f64>,
    pub end: Option<(f64, End)>,
}

#[derive(Default)]
struct ServerState {
    conns: BTreeMap<u64, Arc<Mutex<TcpStream>>>,
    attempts: Vec<Attempt>,
    /// Open or standing attempts by call.
    current: HashMap<u64, usize>,
    /// Releases that are sent once more on the next connection that is opened.
    repeat: Vec<Message>,
    next_conn: u64,
}

/// A signalling server: it answers each set-up, keeps the call for its time, and releases it.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub hold_ms: Arc<dyn Fn(u64) -> u64 + Send + Sync>,
    state: Arc<Mutex<ServerState>>,
    record: Record,
    stopped: Arc<AtomicBool>,
}

const REPORT: &[u8] = b"idle:990;circuits:1000;lat_ms:12";
/// Time between a set-up and its answer.
const ANSWER_MS: u64 = 20;

impl Server {
    pub fn start(
        record: &Record,
        name: &str,
        hold_ms: impl Fn(u64) -> u64 + Send + Sync + 'static,
    ) -> Res<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let own = Self {
            name: name.to_owned(),
            address,
            hold_ms: Arc::new(hold_ms),
            state: Arc::default(),
            record: record.clone(),
            stopped: Arc::default(),
        };
        let server = own.clone();
        listener.set_nonblocking(true).map_err(|e| e.to_string())?;
        std::thread::spawn(move || {
            while !server.stopped.load(SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let server = server.clone();
                        std::thread::spawn(move || server.serve(stream));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
        Ok(own)
    }

    pub fn attempts(&self) -> Vec<Attempt> {
        lock(&self.state).attempts.clone()
    }

    fn write(&self, conn: u64, message: &Message) -> bool {
        let stream = lock(&self.state).conns.get(&conn).cloned();
        stream.is_some_and(|stream| lock(&stream).write_all(&message.bytes()).is_ok())
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(writer) = stream.try_clone() else { return };
        let (conn, repeat) = {
            let mut state = lock(&self.state);
            state.next_conn += 1;
            let conn = state.next_conn;
            state.conns.insert(conn, Arc::new(Mutex::new(writer)));
            (conn, std::mem::take(&mut state.repeat))
        };
        self.record.put(&self.name, &format!("connection {conn} opened"));
        self.write(conn, &Message::new(STATE, 0).with(156, REPORT));
        for message in repeat {
            self.write(conn, &message);
        }
        let (mut decoder, mut buffer) = (Decoder::default(), [0; 4096]);
        loop {
            match stream.read(&mut buffer) {
                Ok(n) if n > 0 => decoder.push(&buffer[..n]),
                _ => break,
            }
            while let Some(message) = decoder.next() {
                self.handle(conn, &message);
            }
        }
        let now = self.record.now();
        let mut given_up = Vec::new();
        let mut state = lock(&self.state);
        state.conns.remove(&conn);
        let open: Vec<_> = state.current.iter().map(|(call, at)| (*call, *at)).collect();
        for (call, at) in open {
            let attempt = &mut state.attempts[at];
            if attempt.conn == conn && attempt.answered.is_none() {
                attempt.end = Some((now, End::GivenUp));
                given_up.push(call);
            }
        }
        for call in &given_up {
            state.current.remove(call);
        }
        drop(state);
        self.record
            .put(&self.name, &format!("connection {conn} closed, {} open set-ups given up", given_up.len()));
    }

    fn handle(&self, conn: u64, message: &Message) {
        let (call, now) = (message.call, self.record.now());
        match message.kind {
            SET_UP => {
                let text = |code| String::from_utf8_lossy(message.get(code).unwrap_or_default()).into_owned();
                self.record.put(
                    &self.name,
                    &format!("set-up {call:016x} on {conn}: class {} wait {} ms", text(129), text(132)),
                );
                let mut state = lock(&self.state);
                state.attempts.push(Attempt { call, conn, came: now, answered: None, end: None });
                let at = state.attempts.len() - 1;
                state.current.insert(call, at);
                drop(state);
                let (server, offer) = (self.clone(), message.get(174).unwrap_or_default().to_vec());
                std::thread::spawn(move || server.run(conn, call, at, &offer));
            }
            RELEASE => {
                self.record.put(
                    &self.name,
                    &format!("release {call:016x} from the front node, cause {}", message.cause()),
                );
                let mut state = lock(&self.state);
                if let Some(at) = state.current.remove(&call) {
                    state.attempts[at].end = Some((now, End::Released));
                }
            }
            TEST => {
                self.write(conn, &Message::new(TEST_RESULT, call).with(171, &[1]));
            }
            _ => {}
        }
    }

    /// One call: answers it, lets it stand for its time, and releases it.
    fn run(&self, conn: u64, call: u64, at: usize, offer: &[u8]) {
        sleep_ms(ANSWER_MS);
        {
            let mut state = lock(&self.state);
            if state.current.get(&call) != Some(&at) {
                return;
            }
            state.attempts[at].answered = Some(self.record.now());
        }
        self.record.put(&self.name, &format!("answer {call:016x} on {conn}: the call stands"));
        let description = [self.name.as_bytes(), b": ", offer].concat();
        self.write(conn, &Message::new(ANSWER, call).with(174, &description).with(156, REPORT));
        sleep_ms((self.hold_ms)(call));
        if !self.stopped.load(SeqCst) {
            self.end(call, at, NORMAL, End::Written);
        }
    }

    /// Releases a standing call: on the connection of its set-up, or else on any open one, and again on the
    /// next that is opened.
    fn end(&self, call: u64, at: usize, cause: u8, end: End) {
        let mut state = lock(&self.state);
        if state.current.get(&call) != Some(&at) {
            return;
        }
        state.current.remove(&call);
        state.attempts[at].end = Some((self.record.now(), end));
        let own = state.attempts[at].conn;
        let conn =
            if state.conns.contains_key(&own) { Some(own) } else { state.conns.keys().next().copied() };
        let message = Message::release(call, cause).with(156, REPORT);
        state.repeat.push(message.clone());
        drop(state);
        self.record
            .put(&self.name, &format!("release {call:016x} cause {cause} on {conn:?}: the call has ended"));
        if let Some(conn) = conn {
            self.write(conn, &message);
        }
    }

    /// Stops the process: the calls that stand are cut and the connections reset.
    pub fn stop(&self) {
        self.stopped.store(true, SeqCst);
        let standing: Vec<_> = lock(&self.state).current.iter().map(|(call, at)| (*call, *at)).collect();
        self.record.put(&self.name, &format!("stops; {} calls are cut", standing.len()));
        for (call, at) in standing {
            self.end(call, at, RESET, End::Stopped);
        }
        sleep_ms(50);
        for stream in std::mem::take(&mut lock(&self.state).conns).into_values() {
            let _ = lock(&stream).shutdown(Shutdown::Both);
        }
    }
}

// --- callers ---

/// What a caller saw of one call.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub sent: f64,
    /// The answer: when, and the name of the signalling server in its description.
    pub stands: Option<(f64, String)>,
    /// A release instead of an answer: when, and its cause.
    pub refused: Option<(f64, u8)>,
    /// The release after the answer.
    pub over: Option<(f64, u8)>,
}

/// A caller with one connection to a front node.
#[derive(Clone)]
pub struct Caller {
    pub name: String,
    record: Record,
    writer: Arc<Mutex<Option<TcpStream>>>,
    pub seen: Arc<Mutex<BTreeMap<u64, Seen>>>,
    /// Releases of calls that this caller never made.
    pub foreign: Arc<Mutex<Vec<(f64, u64)>>>,
    pub connected: Arc<AtomicBool>,
}

impl Caller {
    pub fn connect(record: &Record, name: &str, to: SocketAddr) -> Res<Self> {
        let own = Self {
            name: name.to_owned(),
            record: record.clone(),
            writer: Arc::default(),
            seen: Arc::default(),
            foreign: Arc::default(),
            connected: Arc::default(),
        };
        own.reconnect(to)?;
        Ok(own)
    }

    pub fn reconnect(&self, to: SocketAddr) -> Res<()> {
        let mut stream = TcpStream::connect(to).map_err(|e| format!("{}: {e}", self.name))?;
        let _ = stream.set_nodelay(true);
        *lock(&self.writer) = Some(stream.try_clone().map_err(|e| e.to_string())?);
        self.connected.store(true, SeqCst);
        self.record.put(&self.name, "connected");
        let own = self.clone();
        std::thread::spawn(move || {
            let (mut decoder, mut buffer) = (Decoder::default(), [0; 4096]);
            while let Ok(n) = stream.read(&mut buffer) {
                if n == 0 {
                    break;
                }
                decoder.push(&buffer[..n]);
                while let Some(message) = decoder.next() {
                    own.handle(&message);
                }
            }
            own.record.put(&own.name, "connection ended");
            own.connected.store(false, SeqCst);
        });
        Ok(())
    }

    fn handle(&self, message: &Message) {
        let (call, now) = (message.call, self.record.now());
        let mut seen = lock(&self.seen);
        match (message.kind, seen.get_mut(&call)) {
            (ANSWER, Some(own)) => {
                let text = String::from_utf8_lossy(message.get(174).unwrap_or_default()).into_owned();
                self.record.put(&self.name, &format!("answer {call:016x}: {text}"));
                let server = text.split(':').next().unwrap_or_default().to_owned();
                own.stands = Some((now, server));
            }
            (RELEASE, Some(own)) => {
                self.record.put(&self.name, &format!("release {call:016x} cause {}", message.cause()));
                if own.stands.is_some() {
                    own.over.get_or_insert((now, message.cause()));
                } else {
                    own.refused.get_or_insert((now, message.cause()));
                }
            }
            (RELEASE, None) => {
                self.record.put(
                    &self.name,
                    &format!("release {call:016x} cause {} of a call of somebody else", message.cause()),
                );
                lock(&self.foreign).push((now, call));
            }
            _ => {}
        }
    }

    pub fn send(&self, message: &Message) -> bool {
        lock(&self.writer).as_mut().is_some_and(|stream| stream.write_all(&message.bytes()).is_ok())
    }

    /// Sends the set-up of a new call.
    pub fn call(&self, call: u64, class: &str, wait_ms: u64, dest: u16) {
        lock(&self.seen).insert(call, Seen { sent: self.record.now(), ..Seen::default() });
        self.record.put(&self.name, &format!("set-up {call:016x} class {class} dest {dest}"));
        self.send(&set_up(call, class, wait_ms, &format!("dest:{dest};width:1;via:-1")));
    }

    /// Names a call that stands at a signalling server already.
    pub fn announce(&self, call: u64, class: &str, server: &str) {
        self.record.put(&self.name, &format!("set-up {call:016x} at:{server}: it stands there already"));
        self.send(&set_up(call, class, 3_000, &format!("dest:0;width:1;via:-1;at:{server}")));
    }
}

// --- a proxy ---

/// Decides about one message that passes a proxy.
pub enum Verdict {
    Pass,
    /// The message is lost and both sides are reset.
    LoseAndReset,
}

/// Forwards connections to `to`; `judge` sees each whole message that `to` sends back.
pub fn proxy(
    record: &Record,
    name: &str,
    to: SocketAddr,
    judge: impl Fn(&Message) -> Verdict + Send + Sync + 'static,
) -> Res<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let (record, name, judge) = (record.clone(), name.to_owned(), Arc::new(judge));
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else {
                reset(&near);
                continue;
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_out), Ok(far_out)) = (near.try_clone(), far.try_clone()) else { continue };
            let dead = Arc::new(AtomicBool::new(false));
            let (record, name, judge, dead_back) =
                (record.clone(), name.clone(), judge.clone(), dead.clone());
            std::thread::spawn(move || forward(near, far_out, &dead));
            std::thread::spawn(move || back(&record, &name, far, near_out, &dead_back, &*judge));
        }
    });
    Ok(address)
}

fn forward(mut from: TcpStream, mut to: TcpStream, dead: &AtomicBool) {
    let mut buffer = [0; 4096];
    while let Ok(n) = from.read(&mut buffer) {
        if n == 0 || dead.load(SeqCst) || to.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

fn back(
    record: &Record,
    name: &str,
    mut from: TcpStream,
    mut to: TcpStream,
    dead: &AtomicBool,
    judge: &dyn Fn(&Message) -> Verdict,
) {
    let (mut decoder, mut buffer) = (Decoder::default(), [0; 4096]);
    while let Ok(n) = from.read(&mut buffer) {
        if n == 0 {
            break;
        }
        decoder.push(&buffer[..n]);
        while let Some(message) = decoder.next() {
            if let Verdict::LoseAndReset = judge(&message) {
                record.put(name, &format!("answer {:016x} is lost, connection reset", message.call));
                dead.store(true, SeqCst);
                for stream in [&from, &to] {
                    reset(stream);
                    // Ends the other thread's read; the descriptors close, and the reset is sent, when both end.
                    let _ = stream.shutdown(Shutdown::Read);
                }
                return;
            }
            if to.write_all(&message.bytes()).is_err() {
                return;
            }
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

/// Whether the disruption is on: off with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// --- a network that can be cut ---

extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
}

/// Carries connections to `to`. While it is cut, open connections stay open and silent, and new ones never come up.
#[derive(Clone)]
pub struct Network {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    listener: Arc<TcpListener>,
    record: Record,
}

impl Network {
    pub fn start(record: &Record, to: SocketAddr) -> Res<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        listener.set_nonblocking(true).map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let own = Self { address, cut: Arc::default(), listener: Arc::new(listener), record: record.clone() };
        let network = own.clone();
        std::thread::spawn(move || loop {
            if network.cut.load(SeqCst) {
                sleep_ms(1);
                continue;
            }
            let Ok((near, _)) = network.listener.accept() else {
                sleep_ms(1);
                continue;
            };
            let _ = near.set_nonblocking(false);
            let Ok(far) = TcpStream::connect(to) else {
                reset(&near);
                continue;
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_back), Ok(far_back)) = (near.try_clone(), far.try_clone()) else { continue };
            let (there, back) = (network.cut.clone(), network.cut.clone());
            std::thread::spawn(move || carry(near, far, &there));
            std::thread::spawn(move || carry(far_back, near_back, &back));
        });
        Ok(own)
    }

    /// Cuts the network, waits, and heals it. What was sent meanwhile arrives then, where the connection is still open.
    pub fn cut_for(&self, ms: u64) -> Res<()> {
        self.cut.store(true, SeqCst);
        let from = self.record.now();
        // The system drops connection requests once the queue of the listener is full.
        sleep_ms(3);
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&self.address, Duration::from_millis(30)) {
            fillers.push(filler);
            if fillers.len() > 8 {
                return Err("connections still come up in a cut network".to_owned());
            }
        }
        self.record.put("network", &format!("cut to {} since {from:.1} ms", self.address));
        while self.record.now() < from + ms as f64 {
            sleep_ms(1);
        }
        // Removes what is in the queue: connections that never came up.
        while let Ok((stream, _)) = self.listener.accept() {
            reset(&stream);
        }
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        self.cut.store(false, SeqCst);
        self.record.put("network", &format!("healed after {:.1} ms", self.record.now() - from));
        Ok(())
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = [0; 8192];
    loop {
        let read = from.read(&mut buffer);
        while cut.load(SeqCst) {
            sleep_ms(1);
        }
        match read {
            Ok(n) if n > 0 && to.write_all(&buffer[..n]).is_ok() => {}
            _ => break,
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
