//! What the front costs, in one run on the same cores: `cargo bench -p baydrift-cli`.
//!
//! The front and a plain relay of bytes are processes of their own between the same clients and the same
//! server, which answers at once. Figures alternate between the two, so that a noisy machine hits both.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use baydrift_diameter::credit::{self, Endpoints, RequestType};
use baydrift_diameter::{code, dict, result, Avp, Codec, Frame, Message};
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use hdrhistogram::Histogram;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Decoder, Encoder, Framed};

const CONNECTIONS: usize = 4;
const ROUNDS: usize = 5;

fn main() {
    let args: Vec<_> = std::env::args().collect();
    let runtime = || tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    if let Some(at) = args.iter().position(|arg| arg == "relay") {
        return runtime().block_on(relay(args[at + 1].parse().expect("an address")));
    }
    println!("cores: {}", std::thread::available_parallelism().map_or(0, usize::from));
    // `-- throughput` leaves the rest out, for a profiler.
    let short = args.iter().any(|arg| arg == "throughput");
    if !short {
        in_process();
    }
    // `-- parts` leaves out what needs other processes.
    if !args.iter().any(|arg| arg == "parts") {
        runtime().block_on(between_processes(short));
    }
}

// --- the server and the relay ---

async fn server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let addr = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(serve(Framed::new(stream, Codec::default())));
        }
    });
    addr
}

async fn serve(mut wire: Framed<TcpStream, Codec>) {
    while let Some(Ok(frame)) = wire.next().await {
        let mut next = Some(frame);
        while let Some(Frame::Valid(request)) = next {
            if request.header.flags.request {
                let answer = match request.header.code {
                    code::CREDIT_CONTROL => credit::answer(&request, result::SUCCESS, "s0.test", "test"),
                    _ => introduce(Message::answer(&request, result::SUCCESS), "s0.test"),
                };
                let _ = wire.feed(answer).await;
            }
            next = match futures_util::FutureExt::now_or_never(wire.next()) {
                Some(Some(Ok(frame))) => Some(frame),
                _ => None,
            };
        }
        let _ = wire.flush().await;
    }
}

fn introduce(message: Message, host: &str) -> Message {
    message
        .with(Avp::text(dict::ORIGIN_HOST, host))
        .with(Avp::text(dict::ORIGIN_REALM, "test"))
        .with(Avp::address(dict::HOST_IP_ADDRESS, [127, 0, 0, 1].into()))
        .with(Avp::u32(dict::VENDOR_ID, 0))
        .with(Avp::text(dict::PRODUCT_NAME, "bench"))
        .with(Avp::u32(dict::ORIGIN_STATE_ID, 1))
        .with(Avp::u32(dict::AUTH_APPLICATION_ID, 4))
}

async fn relay(to: SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    println!("{{\"addr\":\"{}\"}}", listener.local_addr().expect("bound"));
    while let Ok((mut near, _)) = listener.accept().await {
        tokio::spawn(async move {
            let Ok(mut far) = TcpStream::connect(to).await else { return };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
            let _ = near.shutdown().await;
        });
    }
}

struct Process {
    child: Child,
    addr: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a program whose first line of output names its address.
fn start(mut command: Command) -> Process {
    let mut child = command.stdout(Stdio::piped()).spawn().expect("started");
    let mut line = String::new();
    let mut out = BufReader::new(child.stdout.take().expect("piped"));
    out.read_line(&mut line).expect("a line");
    let line: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    let addr = line["addr"].as_str().and_then(|addr| addr.parse().ok()).expect("an address");
    // What else it says is read, so that it never waits for us.
    std::thread::spawn(move || out.lines().for_each(drop));
    Process { child, addr }
}

fn front(server: SocketAddr) -> Process {
    let text = format!(
        "front \"front.test\" realm=\"test\" {{\n listen \"127.0.0.1:0\"\n serves \"test\"\n watchdog \"6s\"\n}}\n\
         class \"grid\" {{ context \"grid@test\"; gives-up \"3s\"; }}\n\
         client \"*\" realm=\"*\" connections=64\n\
         limits {{ calls 300000; calls-in-set-up-per-link 100000; }}\n\
         server \"s0.test\" realm=\"test\" number=0 addr=\"{server}\"\n"
    );
    let path = std::env::temp_dir().join(format!("baydrift-cost-{}.kdl", std::process::id()));
    std::fs::write(&path, text).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_baydrift"));
    command.arg("front").arg(&path);
    start(command)
}

/// User and system time of a process, seconds; resident memory, MiB.
fn used(process: &Process) -> (f64, f64) {
    let read = |file: &str| {
        std::fs::read_to_string(format!("/proc/{}/{file}", process.child.id())).unwrap_or_default()
    };
    let stat = read("stat");
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    let status = read("status");
    let rss = status.lines().find(|l| l.starts_with("VmRSS")).and_then(|l| l.split_whitespace().nth(1));
    let rss = rss.and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0);
    ((ticks(11) + ticks(12)) / 100.0, rss / 1024.0)
}

// --- clients ---

fn ccr(session: &str, kind: RequestType) -> Message {
    let ends = Endpoints {
        origin_host: "c.test",
        origin_realm: "test",
        destination_realm: "test",
        destination_host: None,
    };
    credit::request(ends, session, "grid@test", kind, u32::from(kind != RequestType::Initial))
        .with(Avp::text(dict::CALLED_STATION_ID, "5550100"))
}

async fn open(addr: SocketAddr, host: &str) -> Framed<TcpStream, Codec> {
    let stream = TcpStream::connect(addr).await.expect("listening");
    let _ = stream.set_nodelay(true);
    let mut wire = Framed::new(stream, Codec::default());
    wire.send(introduce(Message::request(code::CAPABILITIES, 0), host)).await.expect("sent");
    let _ = wire.next().await;
    wire
}

/// Calls by so many connections with so many outstanding each, for a while; calls a second.
async fn throughput(addr: SocketAddr, outstanding: usize, span: Duration, round: usize) -> f64 {
    let mut tasks = Vec::new();
    for connection in 0..CONNECTIONS {
        tasks.push(tokio::spawn(async move {
            let mut wire = open(addr, "c.test").await;
            let (mut next, mut done, begun) = (0u32, 0u64, Instant::now());
            let ask = |n: u32, kind: RequestType| {
                let mut message = ccr(&format!("c;{round};{connection};{n}"), kind);
                message.header.hop_by_hop = n << 1 | u32::from(kind != RequestType::Initial);
                message.header.end_to_end = message.header.hop_by_hop;
                message
            };
            for _ in 0..outstanding {
                wire.feed(ask(next, RequestType::Initial)).await.expect("sent");
                next += 1;
            }
            wire.flush().await.expect("sent");
            while begun.elapsed() < span {
                let mut frame = wire.next().await;
                while let Some(Some(Ok(Frame::Valid(answer)))) = Some(frame.take()) {
                    let id = answer.header.hop_by_hop;
                    if answer.header.flags.request {
                        let dwa = introduce(Message::answer(&answer, result::SUCCESS), "c.test");
                        wire.feed(dwa).await.expect("sent");
                    } else if id & 1 == 0 && answer.result() == result::SUCCESS {
                        wire.feed(ask(id >> 1, RequestType::Termination)).await.expect("sent");
                    } else {
                        done += u64::from(id & 1);
                        wire.feed(ask(next, RequestType::Initial)).await.expect("sent");
                        next += 1;
                    }
                    frame = futures_util::FutureExt::now_or_never(wire.next()).flatten();
                }
                wire.flush().await.expect("sent");
            }
            done as f64 / begun.elapsed().as_secs_f64()
        }));
    }
    let mut all = 0.0;
    for task in tasks {
        all += task.await.expect("no panic");
    }
    all
}

/// Latency of set-ups at 700 calls a second, evenly spaced, over four connections; p50 and p99 in µs.
async fn latency(addr: SocketAddr, span: Duration, round: usize) -> (u64, u64) {
    let mut tasks = Vec::new();
    for connection in 0..CONNECTIONS {
        tasks.push(tokio::spawn(async move {
            let mut wire = open(addr, "c.test").await;
            let every = Duration::from_micros(1_000_000 * CONNECTIONS as u64 / 700);
            let mut seen = Histogram::<u64>::new(3).expect("a histogram");
            let (mut due, mut n) = (tokio::time::Instant::now() + every * connection as u32 / 4, 0u32);
            let mut sent: Vec<Instant> = Vec::new();
            let begun = Instant::now();
            while begun.elapsed() < span {
                tokio::select! {
                    () = tokio::time::sleep_until(due) => {
                        let mut message = ccr(&format!("l;{round};{connection};{n}"), RequestType::Initial);
                        (message.header.hop_by_hop, message.header.end_to_end) = (n << 1, n << 1);
                        sent.push(Instant::now());
                        wire.send(message).await.expect("sent");
                        n += 1;
                        due += every;
                    }
                    frame = wire.next() => {
                        let Some(Ok(Frame::Valid(answer))) = frame else { break };
                        let id = answer.header.hop_by_hop;
                        if answer.header.flags.request {
                            let dwa = introduce(Message::answer(&answer, result::SUCCESS), "c.test");
                            wire.send(dwa).await.expect("sent");
                        } else if id & 1 == 0 {
                            seen.record(sent[(id >> 1) as usize].elapsed().as_micros() as u64).expect("in range");
                            let mut bye = ccr(&format!("l;{round};{connection};{}", id >> 1), RequestType::Termination);
                            (bye.header.hop_by_hop, bye.header.end_to_end) = (id | 1, id | 1);
                            wire.send(bye).await.expect("sent");
                        }
                    }
                }
            }
            seen
        }));
    }
    let mut all = Histogram::<u64>::new(3).expect("a histogram");
    for task in tasks {
        all.add(task.await.expect("no panic")).expect("same shape");
    }
    (all.value_at_quantile(0.5), all.value_at_quantile(0.99))
}

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (least, most) = (values.first().copied().unwrap_or(0.0), values.last().copied().unwrap_or(0.0));
    format!("median {:.3} ({least:.3} to {most:.3})", values[values.len() / 2])
}

async fn between_processes(short: bool) {
    let server = server().await;
    let front = front(server);
    let relay = {
        let mut command = Command::new(std::env::current_exe().expect("this program"));
        command.arg("relay").arg(server.to_string());
        start(command)
    };
    // Server links come up; the first calls are not counted.
    tokio::time::sleep(Duration::from_millis(300)).await;
    throughput(front.addr, 16, Duration::from_millis(500), 0).await;
    throughput(relay.addr, 16, Duration::from_millis(500), 0).await;

    for outstanding in [1, 8, 32] {
        let (mut through, mut plain, mut ratio, mut per_call) = (vec![], vec![], vec![], vec![]);
        for round in 1..=ROUNDS {
            let (span, round) = (Duration::from_millis(1_500), outstanding * 100 + round);
            let before = used(&front).0;
            let by_front = throughput(front.addr, outstanding, span, round).await;
            per_call.push((used(&front).0 - before) * 1e6 / (by_front * span.as_secs_f64()));
            let by_relay = throughput(relay.addr, outstanding, span, round).await;
            through.push(by_front);
            plain.push(by_relay);
            ratio.push(by_front / by_relay);
        }
        println!("{CONNECTIONS} connections, {outstanding} outstanding on each:");
        println!("  calls/s through the front: {}", spread(through));
        println!("  calls/s through a plain relay: {}", spread(plain));
        println!("  ratio: {}", spread(ratio));
        println!("  CPU of the front's process a call, us: {}", spread(per_call));
    }
    if short {
        return;
    }

    let (mut p50, mut p99, mut added50, mut added99) = (vec![], vec![], vec![], vec![]);
    for round in 0..ROUNDS {
        let direct = latency(server, Duration::from_secs(2), round).await;
        let by_front = latency(front.addr, Duration::from_secs(2), round + 100).await;
        p50.push(by_front.0 as f64);
        p99.push(by_front.1 as f64);
        added50.push(by_front.0 as f64 - direct.0 as f64);
        added99.push(by_front.1 as f64 - direct.1 as f64);
    }
    println!("at 700 calls/s through the front, us: p50 {}; p99 {}", spread(p50), spread(p99));
    println!("added to calling the server directly, us: p50 {}; p99 {}", spread(added50), spread(added99));

    let before = used(&front).1;
    let mut held = 0usize;
    let mut wires = Vec::new();
    for connection in 0..CONNECTIONS {
        wires.push((connection, open(front.addr, "c.test").await));
    }
    for target in [10_000usize, 100_000] {
        while held < target {
            for (connection, wire) in &mut wires {
                // In hands of 100, so that the module sees no surge.
                for n in held..held + 100 {
                    wire.feed(ccr(&format!("m;{connection};{n}"), RequestType::Initial)).await.expect("sent");
                }
                wire.flush().await.expect("sent");
                let mut stood = 0;
                let mut answered = 0;
                while answered < 100 {
                    let Some(Ok(Frame::Valid(answer))) = wire.next().await else { break };
                    if answer.header.flags.request {
                        let dwa = introduce(Message::answer(&answer, result::SUCCESS), "c.test");
                        wire.send(dwa).await.expect("sent");
                        continue;
                    }
                    answered += 1;
                    stood += usize::from(answer.result() == result::SUCCESS);
                }
                held += stood;
                if held >= target {
                    break;
                }
            }
        }
        let now = used(&front).1;
        println!(
            "memory of the front with {held} calls held: {now:.0} MiB, {:.0} bytes a call over {before:.0} MiB",
            (now - before) * 1048576.0 / held as f64
        );
    }
}

// --- parts, in this process ---

/// ns of CPU-bound work a call: a call is four messages read and four written by the front.
fn in_process() {
    let request = ccr("c;1;2;3", RequestType::Initial);
    let answer = credit::answer(&request, result::SUCCESS, "s0.test", "test");
    let each = |work: &mut dyn FnMut()| {
        let mut times: Vec<f64> = (0..ROUNDS)
            .map(|_| {
                let begun = Instant::now();
                (0..20_000).for_each(|_| work());
                begun.elapsed().as_nanos() as f64 / 20_000.0
            })
            .collect();
        times.sort_by(f64::total_cmp);
        times[ROUNDS / 2]
    };
    let mut codec = Codec::default();
    let mut wire = BytesMut::new();
    codec.encode(request.clone(), &mut wire).expect("short");
    codec.encode(answer, &mut wire).expect("short");
    let bytes = wire.clone();
    let decode = each(&mut || {
        let mut from = bytes.clone();
        while let Ok(Some(Frame::Valid(message))) = codec.decode(&mut from) {
            std::hint::black_box(&message);
        }
    });
    let check = each(&mut || drop(std::hint::black_box(dict::check(&request))));
    let mut to = BytesMut::with_capacity(4_096);
    let encode = each(&mut || {
        to.clear();
        codec.encode(request.clone(), &mut to).expect("short");
        codec.encode(request.clone(), &mut to).expect("short");
    });
    // Two requests and two answers are read, as many written; requests are checked.
    println!(
        "codec a call, ns: read {:.0}, check {:.0}, write {:.0}",
        decode * 2.0,
        check * 2.0,
        encode * 2.0
    );
    let add = text_add(7);
    let parsed = each(&mut || drop(std::hint::black_box(baydrift_h248::parse(&add))));
    println!(
        "text: a set-up of {} bytes is read in {parsed:.0} ns, {:.0} MB/s",
        add.len(),
        add.len() as f64 / parsed * 1e3
    );
    let text = text_desk();
    let (desk, whole) = (desk(), engine(&mut || None));
    let trivial = engine(&mut || Some(Box::new(Always)));
    println!(
        "desk, engine and module a call, ns: {desk:.0}; engine and module {whole:.0}; engine {trivial:.0}"
    );
    println!("desk, engine and module a call by text, parsing in it, ns: {text:.0}");
}

/// ns a call through the desk: a request and a release of a client, an answer to each of a server.
fn desk() -> f64 {
    use baydrift_call::LinkId;
    use baydrift_desk::{AdmittedClient, ProcessIdentity, SessionInput, SessionLayer, SessionOutput};
    use baydrift_diameter::Remote;
    let text = "front \"f\" realm=\"r\" { listen \"127.0.0.1:0\"; serves \"test\"; }\nclass \"g\" { context \"grid@test\"; \
                gives-up \"3s\"; }\nclient \"c.test\" realm=\"test\"\nserver \"s\" realm=\"r\" number=0 addr=\"127.0.0.1:1\"\n";
    let config = baydrift_config::parse("bench", text).expect("good");
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        let mut desk = SessionLayer::new(&config, ProcessIdentity::numbered(1), 1).expect("good settings");
        let mut out = Vec::new();
        let remote = Remote { host: "c.test".into(), realm: "test".into(), state_id: None };
        desk.handle(0, SessionInput::ServerUp { server: 0, state_id: Some(1) }, &mut out);
        desk.handle(
            0,
            SessionInput::ClientUp { link: LinkId(1), client: AdmittedClient { remote, relay: false } },
            &mut out,
        );
        let calls = 20_000u64;
        let requests: Vec<_> = (0..calls)
            .map(|n| {
                [RequestType::Initial, RequestType::Termination].map(|kind| ccr(&format!("c;{n}"), kind))
            })
            .collect();
        let mut now = 10_000u64;
        let begun = Instant::now();
        for pair in requests {
            for message in pair {
                now += 700;
                out.clear();
                desk.handle(now, SessionInput::ClientRequest { link: LinkId(1), message }, &mut out);
                let sent = out.iter().find_map(|o| match o {
                    SessionOutput::ToServer { attempt, kind, message, .. } => {
                        Some((*attempt, *kind, message))
                    }
                    _ => None,
                });
                if let Some((attempt, kind, message)) = sent {
                    // The server's own work is in here too: two answers made.
                    let message = credit::answer(message, result::SUCCESS, "s", "r");
                    desk.handle(
                        now,
                        SessionInput::ServerAnswer { server: 0, attempt, kind, message },
                        &mut out,
                    );
                }
                desk.handle(now, SessionInput::Tick, &mut out);
            }
        }
        times.push(begun.elapsed().as_nanos() as f64 / calls as f64);
    }
    times.sort_by(f64::total_cmp);
    times[ROUNDS / 2]
}

fn text_add(id: u32) -> String {
    format!("!/1 <c.test> T={id}{{C=${{A=trunk/${{M{{O{{bdc/ctx=\"grid@test\",bdc/num=5550100}}}}}}}}}}")
}

/// ns a call through the desk by H.248 text: an Add and a Subtract, an answer to each of a server.
fn text_desk() -> f64 {
    use baydrift_call::LinkId;
    use baydrift_desk::{ProcessIdentity, SessionInput, SessionLayer, SessionOutput};
    let text = "front \"f\" realm=\"r\" { listen \"127.0.0.1:0\"; serves \"test\"; }\nclass \"g\" { context \"grid@test\"; \
                gives-up \"3s\"; }\ntext udp=\"127.0.0.1:0\"\ntext-client \"<c.test>\" realm=\"test\"\nserver \"s\" realm=\"r\" \
                number=0 addr=\"127.0.0.1:1\"\n";
    let config = baydrift_config::parse("bench", text).expect("good");
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        let mut desk = SessionLayer::new(&config, ProcessIdentity::numbered(1), 1).expect("good settings");
        let mut out = Vec::new();
        let say =
            |text: String| SessionInput::Text { link: LinkId(1), reliable: true, bytes: text.into_bytes() };
        desk.handle(0, SessionInput::ServerUp { server: 0, state_id: Some(1) }, &mut out);
        desk.handle(0, say("!/1 <c.test> T=9000000{C=-{SC=ROOT{SV{MT=RS}}}}".into()), &mut out);
        let (calls, mut now, mut done) = (20_000u32, 10_000u64, 0u32);
        let begun = Instant::now();
        for n in 1..=calls {
            // As clients do: what was answered is acknowledged, so that it makes room.
            if n % 100 == 0 {
                desk.handle(now, say("!/1 <c.test> K{1-4294967295}".into()), &mut out);
            }
            let texts = [text_add(n), format!("!/1 <c.test> T={}{{C={n}{{S=trunk/{n}}}}}", 1_000_000 + n)];
            for text in texts {
                now += 700;
                out.clear();
                desk.handle(now, say(text), &mut out);
                let sent = out.iter().find_map(|o| match o {
                    SessionOutput::ToServer { attempt, kind, message, .. } => {
                        Some((*attempt, *kind, message))
                    }
                    _ => None,
                });
                if let Some((attempt, kind, message)) = sent {
                    done += 1;
                    let message = credit::answer(message, result::SUCCESS, "s", "r");
                    desk.handle(
                        now,
                        SessionInput::ServerAnswer { server: 0, attempt, kind, message },
                        &mut out,
                    );
                }
                desk.handle(now, SessionInput::Tick, &mut out);
            }
        }
        times.push(begun.elapsed().as_nanos() as f64 / f64::from(calls));
        assert!(done > calls, "calls were set up and released");
    }
    times.sort_by(f64::total_cmp);
    times[ROUNDS / 2]
}

#[derive(Debug)]
struct Always;

impl baydrift_call::Policy for Always {
    fn handle(
        &mut self,
        _: u64,
        event: baydrift::interface::Event,
        actions: &mut Vec<baydrift::interface::Action>,
    ) {
        if let baydrift::interface::Event::Call(call) = event {
            actions.push(baydrift::interface::Action::Send {
                call: call.id,
                server: 0,
                timeout: 1_000_000,
                begin_within: 1_000_000,
            });
        }
    }
}

/// ns a call through the engine, at 700 calls a second of its own time, each standing for 1 s.
fn engine(policy: &mut dyn FnMut() -> Option<Box<dyn baydrift_call::Policy>>) -> f64 {
    use baydrift::interface::{Entry, ListKind, Report, ServerState};
    use baydrift_call::{Engine, Input, LinkId, LinkState, Offer, Output, Process, Request, Session};
    let text = "front \"f\" realm=\"r\" { listen \"127.0.0.1:0\"; serves \"r\"; }\nclass \"g\" { context \"g\"; gives-up \
                \"3s\"; }\nclient \"c\" realm=\"r\"\nserver \"s\" realm=\"r\" number=0 addr=\"127.0.0.1:1\"\n";
    let config = baydrift_config::parse("bench", text).expect("good");
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        let mut engine: Engine<()> = match policy() {
            Some(policy) => Engine::with_policy(config.settings.clone(), config.limits.clone(), policy),
            None => Engine::new(config.settings.clone(), config.limits.clone(), 1),
        }
        .expect("good settings");
        let mut out = Vec::new();
        let entry = Entry { server: 0, number: 0, state: ServerState::Ready, started_at: None };
        engine.handle(0, Input::List(ListKind::Full, vec![entry]), &mut out);
        engine.handle(0, Input::ServerLink { server: 0, state: LinkState::Up(Process::Same) }, &mut out);
        let (calls, mut now) = (20_000u64, 1_000_000u64);
        let mut standing = std::collections::VecDeque::new();
        let begun = Instant::now();
        for n in 0..calls {
            now += 1_428;
            let session = Session { owner: "c".into(), id: format!("c;{n}").into() };
            out.clear();
            engine.handle(
                now,
                Input::Offered(Offer {
                    session: session.clone(),
                    request: Request { link: LinkId(1), ticket: n },
                    class: 0,
                    tenant: 0,
                    number: n,
                    first_choice: Some(0),
                    caller_timeout: 3_000_000,
                    redial: None,
                    was_dropped: false,
                    retransmission: baydrift_call::Retransmission::First,
                    payload: (),
                }),
                &mut out,
            );
            let attempt = out.iter().find_map(|o| match o {
                Output::SetUp { attempt, .. } => Some(*attempt),
                _ => None,
            });
            if let Some(attempt) = attempt {
                engine.handle(now + 100, Input::Established { attempt, report: Report::default() }, &mut out);
                standing.push_back((session, attempt));
            }
            if standing.len() > 700 {
                if let Some((session, attempt)) = standing.pop_front() {
                    let request = Request { link: LinkId(1), ticket: n };
                    engine.handle(now + 200, Input::Released { session, request }, &mut out);
                    engine.handle(
                        now + 300,
                        Input::ReleaseDone { attempt, report: Report::default() },
                        &mut out,
                    );
                }
            }
        }
        times.push(begun.elapsed().as_nanos() as f64 / calls as f64);
    }
    times.sort_by(f64::total_cmp);
    times[ROUNDS / 2]
}
