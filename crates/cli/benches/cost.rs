//! Cost of the front against a plain TCP relay: `cargo bench -p baydrift-cli`.
//!
//! The front and the relay run as processes of their own between the same clients and the same server, which
//! answers immediately. Measurements of the two alternate, so that load from elsewhere affects both.

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

/// Arguments: `relay ADDRESS` runs the relay process; `throughput` and `parts` limit the benchmark.
fn main() {
    let args: Vec<_> = std::env::args().collect();
    let runtime = || tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    if let Some(at) = args.iter().position(|arg| arg == "relay") {
        return runtime().block_on(relay(args[at + 1].parse().expect("an address")));
    }
    println!("cores: {}", std::thread::available_parallelism().map_or(0, usize::from));
    // `-- throughput` runs only the throughput benchmark, for a profiler.
    let throughput_only = args.iter().any(|arg| arg == "throughput");
    if !throughput_only {
        component_benchmarks();
    }
    // `-- parts` runs only the components in this process.
    if !args.iter().any(|arg| arg == "parts") {
        runtime().block_on(process_benchmarks(throughput_only));
    }
}

// --- the server and the relay ---

/// Starts the server and returns its address.
async fn start_server() -> SocketAddr {
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

/// Answers every request on a connection; flushes when no further request has arrived.
async fn serve(mut wire: Framed<TcpStream, Codec>) {
    while let Some(Ok(frame)) = wire.next().await {
        let mut pending = Some(frame);
        while let Some(Frame::Valid(request)) = pending {
            if request.header.flags.request {
                let answer = match request.header.code {
                    code::CREDIT_CONTROL => credit::answer(&request, result::SUCCESS, "s0.test", "test"),
                    _ => with_capabilities(Message::answer(&request, result::SUCCESS), "s0.test"),
                };
                let _ = wire.feed(answer).await;
            }
            pending = match futures_util::FutureExt::now_or_never(wire.next()) {
                Some(Some(Ok(frame))) => Some(frame),
                _ => None,
            };
        }
        let _ = wire.flush().await;
    }
}

/// Adds the AVPs of a capabilities exchange.
fn with_capabilities(message: Message, host: &str) -> Message {
    message
        .with(Avp::text(dict::ORIGIN_HOST, host))
        .with(Avp::text(dict::ORIGIN_REALM, "test"))
        .with(Avp::address(dict::HOST_IP_ADDRESS, [127, 0, 0, 1].into()))
        .with(Avp::u32(dict::VENDOR_ID, 0))
        .with(Avp::text(dict::PRODUCT_NAME, "bench"))
        .with(Avp::u32(dict::ORIGIN_STATE_ID, 1))
        .with(Avp::u32(dict::AUTH_APPLICATION_ID, 4))
}

/// Copies bytes between each client and the address `to`.
async fn relay(to: SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    println!("{{\"addr\":\"{}\"}}", listener.local_addr().expect("bound"));
    while let Ok((mut client, _)) = listener.accept().await {
        tokio::spawn(async move {
            let Ok(mut upstream) = TcpStream::connect(to).await else { return };
            let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
            let _ = tokio::io::copy_bidirectional(&mut client, &mut upstream).await;
            let _ = client.shutdown().await;
        });
    }
}

/// A child process that is killed on drop.
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

/// Starts a program whose first line of output is JSON with its address.
fn start(mut command: Command) -> Process {
    let mut child = command.stdout(Stdio::piped()).spawn().expect("started");
    let mut line = String::new();
    let mut stdout = BufReader::new(child.stdout.take().expect("piped"));
    stdout.read_line(&mut line).expect("a line");
    let line: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    let addr = line["addr"].as_str().and_then(|addr| addr.parse().ok()).expect("an address");
    // Drains further output, so that the process never blocks on a full pipe.
    std::thread::spawn(move || stdout.lines().for_each(drop));
    Process { child, addr }
}

fn start_front(server: SocketAddr) -> Process {
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

/// CPU time (user and system) of a process in seconds, and its resident memory in MiB.
fn cpu_and_memory(process: &Process) -> (f64, f64) {
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

/// A Credit-Control-Request of a session.
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

/// Connects and exchanges capabilities.
async fn open(addr: SocketAddr, host: &str) -> Framed<TcpStream, Codec> {
    let stream = TcpStream::connect(addr).await.expect("listening");
    let _ = stream.set_nodelay(true);
    let mut wire = Framed::new(stream, Codec::default());
    wire.send(with_capabilities(Message::request(code::CAPABILITIES, 0), host)).await.expect("sent");
    let _ = wire.next().await;
    wire
}

/// Runs calls over all connections with `outstanding` concurrent calls on each, for `span`; returns the calls
/// a second.
async fn throughput(addr: SocketAddr, outstanding: usize, span: Duration, round: usize) -> f64 {
    let mut tasks = Vec::new();
    for connection in 0..CONNECTIONS {
        tasks.push(tokio::spawn(async move {
            let mut wire = open(addr, "c.test").await;
            let (mut next, mut done, started) = (0u32, 0u64, Instant::now());
            let request = |n: u32, kind: RequestType| {
                let mut message = ccr(&format!("c;{round};{connection};{n}"), kind);
                message.header.hop_by_hop = n << 1 | u32::from(kind != RequestType::Initial);
                message.header.end_to_end = message.header.hop_by_hop;
                message
            };
            for _ in 0..outstanding {
                wire.feed(request(next, RequestType::Initial)).await.expect("sent");
                next += 1;
            }
            wire.flush().await.expect("sent");
            while started.elapsed() < span {
                let mut frame = wire.next().await;
                while let Some(Some(Ok(Frame::Valid(answer)))) = Some(frame.take()) {
                    let id = answer.header.hop_by_hop;
                    if answer.header.flags.request {
                        let dwa = with_capabilities(Message::answer(&answer, result::SUCCESS), "c.test");
                        wire.feed(dwa).await.expect("sent");
                    } else if id & 1 == 0 && answer.result() == result::SUCCESS {
                        wire.feed(request(id >> 1, RequestType::Termination)).await.expect("sent");
                    } else {
                        done += u64::from(id & 1);
                        wire.feed(request(next, RequestType::Initial)).await.expect("sent");
                        next += 1;
                    }
                    frame = futures_util::FutureExt::now_or_never(wire.next()).flatten();
                }
                wire.flush().await.expect("sent");
            }
            done as f64 / started.elapsed().as_secs_f64()
        }));
    }
    let mut total = 0.0;
    for task in tasks {
        total += task.await.expect("no panic");
    }
    total
}

/// Latency of set-ups at 700 evenly spaced calls a second over all connections: p50 and p99 in µs.
async fn latency(addr: SocketAddr, span: Duration, round: usize) -> (u64, u64) {
    let mut tasks = Vec::new();
    for connection in 0..CONNECTIONS {
        tasks.push(tokio::spawn(async move {
            let mut wire = open(addr, "c.test").await;
            let interval = Duration::from_micros(1_000_000 * CONNECTIONS as u64 / 700);
            let mut latencies = Histogram::<u64>::new(3).expect("a histogram");
            let (mut due, mut n) = (tokio::time::Instant::now() + interval * connection as u32 / 4, 0u32);
            let mut sent: Vec<Instant> = Vec::new();
            let started = Instant::now();
            while started.elapsed() < span {
                tokio::select! {
                    () = tokio::time::sleep_until(due) => {
                        let mut message = ccr(&format!("l;{round};{connection};{n}"), RequestType::Initial);
                        (message.header.hop_by_hop, message.header.end_to_end) = (n << 1, n << 1);
                        sent.push(Instant::now());
                        wire.send(message).await.expect("sent");
                        n += 1;
                        due += interval;
                    }
                    frame = wire.next() => {
                        let Some(Ok(Frame::Valid(answer))) = frame else { break };
                        let id = answer.header.hop_by_hop;
                        if answer.header.flags.request {
                            let dwa = with_capabilities(Message::answer(&answer, result::SUCCESS), "c.test");
                            wire.send(dwa).await.expect("sent");
                        } else if id & 1 == 0 {
                            let latency = sent[(id >> 1) as usize].elapsed().as_micros() as u64;
                            latencies.record(latency).expect("in range");
                            let session = format!("l;{round};{connection};{}", id >> 1);
                            let mut termination = ccr(&session, RequestType::Termination);
                            (termination.header.hop_by_hop, termination.header.end_to_end) = (id | 1, id | 1);
                            wire.send(termination).await.expect("sent");
                        }
                    }
                }
            }
            latencies
        }));
    }
    let mut merged = Histogram::<u64>::new(3).expect("a histogram");
    for task in tasks {
        merged.add(task.await.expect("no panic")).expect("same shape");
    }
    (merged.value_at_quantile(0.5), merged.value_at_quantile(0.99))
}

/// Formats the median and range of the values.
fn format_spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (least, most) = (values.first().copied().unwrap_or(0.0), values.last().copied().unwrap_or(0.0));
    format!("median {:.3} ({least:.3} to {most:.3})", values[values.len() / 2])
}

async fn process_benchmarks(throughput_only: bool) {
    let server = start_server().await;
    let front = start_front(server);
    let relay = {
        let mut command = Command::new(std::env::current_exe().expect("this program"));
        command.arg("relay").arg(server.to_string());
        start(command)
    };
    // Lets the connection to the server come up; the first calls are not counted.
    tokio::time::sleep(Duration::from_millis(300)).await;
    throughput(front.addr, 16, Duration::from_millis(500), 0).await;
    throughput(relay.addr, 16, Duration::from_millis(500), 0).await;

    for outstanding in [1, 8, 32] {
        let (mut through_front, mut through_relay, mut ratio, mut per_call) =
            (vec![], vec![], vec![], vec![]);
        for round in 1..=ROUNDS {
            let (span, round) = (Duration::from_millis(1_500), outstanding * 100 + round);
            let before = cpu_and_memory(&front).0;
            let by_front = throughput(front.addr, outstanding, span, round).await;
            per_call.push((cpu_and_memory(&front).0 - before) * 1e6 / (by_front * span.as_secs_f64()));
            let by_relay = throughput(relay.addr, outstanding, span, round).await;
            through_front.push(by_front);
            through_relay.push(by_relay);
            ratio.push(by_front / by_relay);
        }
        println!("{CONNECTIONS} connections, {outstanding} outstanding on each:");
        println!("  calls/s through the front: {}", format_spread(through_front));
        println!("  calls/s through a plain relay: {}", format_spread(through_relay));
        println!("  ratio: {}", format_spread(ratio));
        println!("  CPU of the front's process a call, us: {}", format_spread(per_call));
    }
    if throughput_only {
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
    println!("at 700 calls/s through the front, us: p50 {}; p99 {}", format_spread(p50), format_spread(p99));
    println!(
        "added to calling the server directly, us: p50 {}; p99 {}",
        format_spread(added50),
        format_spread(added99)
    );

    let before = cpu_and_memory(&front).1;
    let mut held = 0usize;
    let mut wires = Vec::new();
    for connection in 0..CONNECTIONS {
        wires.push((connection, open(front.addr, "c.test").await));
    }
    for target in [10_000usize, 100_000] {
        while held < target {
            for (connection, wire) in &mut wires {
                // In batches of 100, so that the decision module sees no load surge.
                for n in held..held + 100 {
                    wire.feed(ccr(&format!("m;{connection};{n}"), RequestType::Initial)).await.expect("sent");
                }
                wire.flush().await.expect("sent");
                let mut established = 0;
                let mut answered = 0;
                while answered < 100 {
                    let Some(Ok(Frame::Valid(answer))) = wire.next().await else { break };
                    if answer.header.flags.request {
                        let dwa = with_capabilities(Message::answer(&answer, result::SUCCESS), "c.test");
                        wire.send(dwa).await.expect("sent");
                        continue;
                    }
                    answered += 1;
                    established += usize::from(answer.result() == result::SUCCESS);
                }
                held += established;
                if held >= target {
                    break;
                }
            }
        }
        let now = cpu_and_memory(&front).1;
        println!(
            "memory of the front with {held} calls held: {now:.0} MiB, {:.0} bytes a call over {before:.0} MiB",
            (now - before) * 1048576.0 / held as f64
        );
    }
}

// --- components in this process ---

/// Prints the time per call of each component. For a call the front reads four messages and writes four.
fn component_benchmarks() {
    let request = ccr("c;1;2;3", RequestType::Initial);
    let answer = credit::answer(&request, result::SUCCESS, "s0.test", "test");
    let median_ns = |work: &mut dyn FnMut()| {
        let mut times: Vec<f64> = (0..ROUNDS)
            .map(|_| {
                let started = Instant::now();
                (0..20_000).for_each(|_| work());
                started.elapsed().as_nanos() as f64 / 20_000.0
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
    let decode = median_ns(&mut || {
        let mut from = bytes.clone();
        while let Ok(Some(Frame::Valid(message))) = codec.decode(&mut from) {
            std::hint::black_box(&message);
        }
    });
    let check = median_ns(&mut || drop(std::hint::black_box(dict::check(&request))));
    let mut to = BytesMut::with_capacity(4_096);
    let encode = median_ns(&mut || {
        to.clear();
        codec.encode(request.clone(), &mut to).expect("short");
        codec.encode(request.clone(), &mut to).expect("short");
    });
    // Per call, two requests and two answers are read and as many written; only the requests are checked.
    println!(
        "codec a call, ns: read {:.0}, check {:.0}, write {:.0}",
        decode * 2.0,
        check * 2.0,
        encode * 2.0
    );
    let add = text_add(7);
    let parsed = median_ns(&mut || drop(std::hint::black_box(baydrift_h248::parse(&add))));
    println!(
        "text: a set-up of {} bytes is read in {parsed:.0} ns, {:.0} MB/s",
        add.len(),
        add.len() as f64 / parsed * 1e3
    );
    let text = text_session_layer();
    let (session_layer, with_policy) = (session_layer(), engine(&mut || None));
    let without_policy = engine(&mut || Some(Box::new(FixedPolicy)));
    println!(
        "desk, engine and module a call, ns: {session_layer:.0}; engine and module {with_policy:.0}; engine {without_policy:.0}"
    );
    println!("desk, engine and module a call by text, parsing in it, ns: {text:.0}");
}

/// Time per call through the session layer in ns: a request and a release by a client, each answered by a
/// server.
fn session_layer() -> f64 {
    use baydrift_call::LinkId;
    use baydrift_desk::{AdmittedClient, ProcessIdentity, SessionInput, SessionLayer, SessionOutput};
    use baydrift_diameter::Remote;
    let text = "front \"f\" realm=\"r\" { listen \"127.0.0.1:0\"; serves \"test\"; }\nclass \"g\" { context \"grid@test\"; \
                gives-up \"3s\"; }\nclient \"c.test\" realm=\"test\"\nserver \"s\" realm=\"r\" number=0 addr=\"127.0.0.1:1\"\n";
    let config = baydrift_config::parse("bench", text).expect("good");
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        let mut session_layer =
            SessionLayer::new(&config, ProcessIdentity::numbered(1), 1).expect("good settings");
        let mut out = Vec::new();
        let remote = Remote { host: "c.test".into(), realm: "test".into(), state_id: None };
        session_layer.handle(0, SessionInput::ServerUp { server: 0, state_id: Some(1) }, &mut out);
        session_layer.handle(
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
        let started = Instant::now();
        for pair in requests {
            for message in pair {
                now += 700;
                out.clear();
                session_layer.handle(now, SessionInput::ClientRequest { link: LinkId(1), message }, &mut out);
                let sent = out.iter().find_map(|o| match o {
                    SessionOutput::ToServer { attempt, kind, message, .. } => {
                        Some((*attempt, *kind, message))
                    }
                    _ => None,
                });
                if let Some((attempt, kind, message)) = sent {
                    // Includes the cost of building the server's answers.
                    let message = credit::answer(message, result::SUCCESS, "s", "r");
                    session_layer.handle(
                        now,
                        SessionInput::ServerAnswer { server: 0, attempt, kind, message },
                        &mut out,
                    );
                }
                session_layer.handle(now, SessionInput::Tick, &mut out);
            }
        }
        times.push(started.elapsed().as_nanos() as f64 / calls as f64);
    }
    times.sort_by(f64::total_cmp);
    times[ROUNDS / 2]
}

/// An Add that sets up a call, in H.248 text.
fn text_add(id: u32) -> String {
    format!("!/1 <c.test> T={id}{{C=${{A=trunk/${{M{{O{{bdc/ctx=\"grid@test\",bdc/num=5550100}}}}}}}}}}")
}

/// Time per call through the session layer by H.248 text in ns: an Add and a Subtract, each answered by a
/// server.
fn text_session_layer() -> f64 {
    use baydrift_call::LinkId;
    use baydrift_desk::{ProcessIdentity, SessionInput, SessionLayer, SessionOutput};
    let text = "front \"f\" realm=\"r\" { listen \"127.0.0.1:0\"; serves \"test\"; }\nclass \"g\" { context \"grid@test\"; \
                gives-up \"3s\"; }\ntext udp=\"127.0.0.1:0\"\ntext-client \"<c.test>\" realm=\"test\"\nserver \"s\" realm=\"r\" \
                number=0 addr=\"127.0.0.1:1\"\n";
    let config = baydrift_config::parse("bench", text).expect("good");
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        let mut session_layer =
            SessionLayer::new(&config, ProcessIdentity::numbered(1), 1).expect("good settings");
        let mut out = Vec::new();
        let text_input =
            |text: String| SessionInput::Text { link: LinkId(1), reliable: true, bytes: text.into_bytes() };
        session_layer.handle(0, SessionInput::ServerUp { server: 0, state_id: Some(1) }, &mut out);
        session_layer.handle(
            0,
            text_input("!/1 <c.test> T=9000000{C=-{SC=ROOT{SV{MT=RS}}}}".into()),
            &mut out,
        );
        let (calls, mut now, mut done) = (20_000u32, 10_000u64, 0u32);
        let started = Instant::now();
        for n in 1..=calls {
            // Acknowledges the responses, as clients do, so that the session layer can free their
            // transactions.
            if n % 100 == 0 {
                session_layer.handle(now, text_input("!/1 <c.test> K{1-4294967295}".into()), &mut out);
            }
            let texts = [text_add(n), format!("!/1 <c.test> T={}{{C={n}{{S=trunk/{n}}}}}", 1_000_000 + n)];
            for text in texts {
                now += 700;
                out.clear();
                session_layer.handle(now, text_input(text), &mut out);
                let sent = out.iter().find_map(|o| match o {
                    SessionOutput::ToServer { attempt, kind, message, .. } => {
                        Some((*attempt, *kind, message))
                    }
                    _ => None,
                });
                if let Some((attempt, kind, message)) = sent {
                    done += 1;
                    let message = credit::answer(message, result::SUCCESS, "s", "r");
                    session_layer.handle(
                        now,
                        SessionInput::ServerAnswer { server: 0, attempt, kind, message },
                        &mut out,
                    );
                }
                session_layer.handle(now, SessionInput::Tick, &mut out);
            }
        }
        times.push(started.elapsed().as_nanos() as f64 / f64::from(calls));
        assert!(done > calls, "calls were set up and released");
    }
    times.sort_by(f64::total_cmp);
    times[ROUNDS / 2]
}

/// Sends every call to server 0, to measure the engine without the decision module.
#[derive(Debug)]
struct FixedPolicy;

impl baydrift_call::Policy for FixedPolicy {
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

/// Time per call through the engine in ns, at 700 calls a second in simulated time with a holding time of 1 s
/// each.
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
        let mut established = std::collections::VecDeque::new();
        let started = Instant::now();
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
                established.push_back((session, attempt));
            }
            if established.len() > 700 {
                if let Some((session, attempt)) = established.pop_front() {
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
        times.push(started.elapsed().as_nanos() as f64 / calls as f64);
    }
    times.sort_by(f64::total_cmp);
    times[ROUNDS / 2]
}
