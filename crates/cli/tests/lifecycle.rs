//! Life cycle of the front node on real sockets: client disconnects, floods, drain, restart, reload, and
//! descriptor exhaustion. The node is a process; servers, name server and callers are stand-ins on loopback.

mod common;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use baydrift_audit::{RecordEvent, Recorder};
use baydrift_platform::{CallId, Cause, Message, MessageDecoder, MessageType, ParameterCode};
use baydrift_standin::{
    relay_config as config, Listed, NameServer, PlatformCaller, PlatformServer, ServerBehaviour, SetUpOutcome,
};
use common::{listed, set_up, signal, wait_until, within_timeout, Node, CALLER_TIMEOUT, TEST_TIMEOUT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Two servers, the name server that lists them, and a front node.
struct Fixture {
    recorder: Arc<Recorder>,
    servers: Vec<PlatformServer>,
    list: Vec<Listed>,
    name_server: NameServer,
    node: Node,
}

impl Fixture {
    async fn new(test: &str, hold: Duration) -> Self {
        Self::with(test, hold, str::to_owned).await
    }

    /// Starts the node with the configuration that `change` returns.
    async fn with(test: &str, hold: Duration, change: impl Fn(&str) -> String) -> Self {
        let recorder = Arc::new(Recorder::default());
        let mut servers = Vec::new();
        for number in 0..2 {
            servers.push(PlatformServer::start(number, hold, recorder.clone()).await.expect("a server"));
        }
        let list: Vec<_> = (0u16..).zip(&servers).map(|(n, s)| listed(&format!("s-{n}"), s, n)).collect();
        let name_server = NameServer::start(1, list.clone()).await.expect("a name server");
        let node = Node::start(test, &change(&config(name_server.addr, &list))).await;
        Self { recorder, servers, list, name_server, node }
    }

    fn pid(&self) -> u32 {
        self.node.child.id().expect("running")
    }

    /// Times at which set-ups reached the servers, in microseconds of the recorder's clock, for each call.
    fn set_up_times(&self) -> BTreeMap<String, Vec<u64>> {
        let mut times: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for line in self.recorder.lines() {
            if let RecordEvent::SetUp { call, .. } = line.event {
                times.entry(call).or_default().push(line.at);
            }
        }
        times
    }

    /// Stops the node with SIGTERM and checks that it exits with code 0.
    async fn shut_down(mut self) {
        self.node.signal("-TERM");
        assert_eq!(self.node.exited().await.code(), Some(0));
    }
}

/// The call's id in the record.
fn record_id(id: u64) -> String {
    format!("caller|{}", CallId(id.to_be_bytes()))
}

fn encode(messages: impl IntoIterator<Item = Message>) -> Vec<u8> {
    messages.into_iter().flat_map(|message| message.to_bytes().expect("short")).collect()
}

/// Reads messages until `limit` have arrived or the connection ends.
async fn read_messages(stream: &mut TcpStream, limit: usize) -> Vec<Message> {
    let (mut decoder, mut buffer, mut messages) = (MessageDecoder::default(), vec![0; 4096], Vec::new());
    while messages.len() < limit {
        match within_timeout(stream.read(&mut buffer)).await {
            Ok(n) if n > 0 => decoder.push(&buffer[..n]),
            _ => break,
        }
        while let Ok(Some(message)) = decoder.next_message() {
            messages.push(message);
        }
    }
    messages
}

/// Anonymous resident memory of a process in KiB. Excludes the pages of the program file, which depend on the
/// build.
fn memory_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("running");
    let rss_anon = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("RssAnon");
    rss_anon.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// Connects and sends a health check; succeeds if it is answered.
async fn check_health(addr: SocketAddr) -> Result<(), std::io::Error> {
    let mut stream = TcpStream::connect(addr).await?;
    stream
        .write_all(&encode([
            Message::new(MessageType::HealthCheck, CallId([1; 8])).with(ParameterCode::CAUSE, vec![0])
        ]))
        .await?;
    let mut buffer = [0; 64];
    match stream.read(&mut buffer).await? {
        n if n > 2 && buffer[2] == 53 => Ok(()),
        _ => Err(std::io::ErrorKind::InvalidData.into()),
    }
}

/// A port that is free at the moment.
fn free_port() -> SocketAddr {
    let listener = StdListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("bound")
}

fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).expect("running").count()
}

/// Offers calls with ids from `from` on until one is established; returns the number of calls.
async fn calls_until_established(caller: &PlatformCaller, from: u64) -> usize {
    for n in 0..200 {
        let (answer, _) = caller.offer(&set_up(from + n as u64), CALLER_TIMEOUT);
        if matches!(within_timeout(answer).await, Ok(SetUpOutcome::Established(_))) {
            return n + 1;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("none of 200 calls established");
}

/// Runs 100 concurrent callers that abandon `calls_per_caller` calls each, alternately by a release and by
/// closing the connection, at instants before, during and after the set-up is sent, and while its retry waits
/// for the hold-off.
///
/// Returns, for each call with a set-up, the microseconds from its abandonment to the last set-up at a server
/// (0 if that came before), and the number of calls that were retried.
async fn abandon_calls(fixture: &Fixture, calls_per_caller: u64) -> (Vec<u64>, usize) {
    // Malformed answers break the connection of one server at a time, so that calls are retried 0.3 s later.
    let behaviour_task = {
        let servers = fixture.servers.clone();
        tokio::spawn(async move {
            for round in 0.. {
                for (n, server) in servers.iter().enumerate() {
                    server.set_behaviour(if (round + n) % 2 == 0 {
                        ServerBehaviour::Normal
                    } else {
                        ServerBehaviour::Malformed
                    });
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        })
    };
    let (addr, recorder) = (fixture.node.addr, fixture.recorder.clone());
    let run_caller = |caller: u64| {
        let recorder = recorder.clone();
        async move {
            let mut abandoned = Vec::new();
            let mut stream = TcpStream::connect(addr).await.expect("listening");
            for n in 0..calls_per_caller {
                let id = 1_000_000 + caller * calls_per_caller + n;
                // Spread deterministically over 0 to 339 ms, a little more than the retry hold-off.
                let delay = Duration::from_millis(id.wrapping_mul(0x9e37_79b9) % 340);
                stream.write_all(&encode([set_up(id)])).await.expect("listening");
                tokio::time::sleep(delay).await;
                // Reads the answers that have arrived: closing with unread data would send a reset.
                let mut buffer = [0; 4096];
                while stream.try_read(&mut buffer).is_ok_and(|n| n > 0) {}
                abandoned.push((id, recorder.now()));
                if n % 2 == 0 {
                    let release = Message::release(CallId(id.to_be_bytes()), Cause::NORMAL);
                    stream.write_all(&encode([release])).await.expect("listening");
                } else {
                    stream.shutdown().await.expect("closed");
                    stream = TcpStream::connect(addr).await.expect("listening");
                }
            }
            abandoned
        }
    };
    let tasks: Vec<_> = (0..100).map(|caller| tokio::spawn(run_caller(caller))).collect();
    let mut abandoned = Vec::new();
    for task in tasks {
        abandoned
            .extend(tokio::time::timeout(TEST_TIMEOUT * 6, task).await.expect("in time").expect("no panic"));
    }
    behaviour_task.abort();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let sent = fixture.set_up_times();
    let delays =
        abandoned.iter().filter_map(|(id, at)| Some(sent.get(&record_id(*id))?.last()?.saturating_sub(*at)));
    let retried = sent.values().filter(|times| times.len() > 1).count();
    (delays.collect(), retried)
}

/// Guards against attempts for callers that have disconnected: of 10,000 abandoned calls, none has a set-up
/// that reaches a server more than 0.1 s later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_set_up_later_than_100_ms_after_disconnect() {
    let fixture = Fixture::new("lifecycle-cancels", Duration::from_millis(200)).await;
    let (delays, retried) = abandon_calls(&fixture, 100).await;
    let worst = delays.iter().max().copied().expect("some were sent");
    println!("10000 abandoned, {} set up, {retried} retried; the last set-up {worst} us later", delays.len());
    assert!(delays.len() > 2_000 && retried > 50, "{} set up, {retried} retried", delays.len());
    assert!(worst < 100_000, "a set-up arrived {worst} us after its caller had left");
    fixture.shut_down().await;
}

/// Guards against the same in a process that is stopped repeatedly, as one is that shares its core: when it
/// resumes, disconnects and releases lie unread behind the set-ups. A stall can fall between the last read
/// and the write itself, which is why two late set-ups are allowed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_node_reads_disconnects_before_sending() {
    let fixture = Fixture::new("lifecycle-stalls", Duration::from_millis(200)).await;
    let pid = fixture.pid();
    let stalls = tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(300)).await;
            signal(pid, "-STOP");
            tokio::time::sleep(Duration::from_millis(250)).await;
            signal(pid, "-CONT");
        }
    });
    let (delays, retried) = abandon_calls(&fixture, 10).await;
    stalls.abort();
    signal(pid, "-CONT");
    let late = delays.iter().filter(|delay| **delay >= 100_000).count();
    println!("1000 abandoned, {} set up, {retried} retried; {late} over 0.1 s later", delays.len());
    assert!(delays.len() > 150, "{} set up", delays.len());
    assert!(late <= 2, "{late} set-ups arrived over 0.1 s after their callers had left");
    fixture.shut_down().await;
}

/// Guards against work on an abandoned flood: of 1,000 set-ups in one write that are followed by a close, or
/// 500 that are released at once, none reaches a server more than 0.1 s later, memory growth is bounded, and
/// other callers are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn abandoned_flood_stops_within_100_ms() {
    let fixture = Fixture::new("lifecycle-flood", Duration::from_millis(50)).await;
    let caller =
        PlatformCaller::connect(fixture.node.addr, fixture.recorder.clone()).await.expect("listening");
    let memory_before = memory_kib(fixture.pid());
    let mut abandoned = Vec::new();
    for round in 0..5u64 {
        let ids = |from: u64, n: u64| (from + round * 10_000)..(from + round * 10_000 + n);
        let mut closing = TcpStream::connect(fixture.node.addr).await.expect("listening");
        closing.write_all(&encode(ids(100_000, 1_000).map(set_up))).await.expect("sent");
        abandoned.extend(ids(100_000, 1_000).map(|id| (id, fixture.recorder.now())));
        drop(closing);
        let mut releasing = TcpStream::connect(fixture.node.addr).await.expect("listening");
        let releases = ids(500_000, 500).map(|id| Message::release(CallId(id.to_be_bytes()), Cause::NORMAL));
        releasing.write_all(&encode(ids(500_000, 500).map(set_up).chain(releases))).await.expect("sent");
        abandoned.extend(ids(500_000, 500).map(|id| (id, fixture.recorder.now())));
        // Other callers are answered during the flood, perhaps with a rejection because it looks like
        // queueing at the servers, and served after it.
        let (answer, _) = caller.offer(&set_up(1 + round), CALLER_TIMEOUT);
        assert!(
            matches!(
                within_timeout(answer).await,
                Ok(SetUpOutcome::Established(_) | SetUpOutcome::Rejected(_))
            ),
            "round {round}"
        );
    }
    let other_calls = 5 + calls_until_established(&caller, 10).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let sent = fixture.set_up_times();
    let delays =
        abandoned.iter().filter_map(|(id, at)| Some(sent.get(&record_id(*id))?.last()?.saturating_sub(*at)));
    let worst = delays.max().unwrap_or(0);
    println!(
        "{} of {} set up, the last {worst} us later",
        sent.len().saturating_sub(other_calls),
        abandoned.len()
    );
    assert!(worst < 100_000, "a set-up arrived {worst} us after its caller had left");
    let memory_after = memory_kib(fixture.pid());
    println!("memory {memory_before} KiB before, {memory_after} KiB after");
    assert!(
        memory_after < memory_before + 12 * 1024,
        "memory grew from {memory_before} KiB to {memory_after} KiB in a flood; the limit of the process is 32 MiB"
    );
    fixture.shut_down().await;
}

/// Guards against lost or repeated answers: a caller that sends 1,000 set-ups in one write gets one answer to
/// each before its timeout.
#[tokio::test]
async fn every_set_up_of_a_flood_is_answered_once() {
    let fixture = Fixture::new("lifecycle-patient", Duration::from_secs(60)).await;
    let mut stream = TcpStream::connect(fixture.node.addr).await.expect("listening");
    stream.write_all(&encode((0..1_000).map(|n| set_up(100 + n)))).await.expect("sent");
    let started = Instant::now();
    let messages = read_messages(&mut stream, 1_000).await;
    assert!(started.elapsed() < CALLER_TIMEOUT, "{:?}", started.elapsed());
    let mut ids: Vec<_> = messages.iter().map(|message| u64::from_be_bytes(message.call.0)).collect();
    ids.sort_unstable();
    assert_eq!(ids, (100..1_100).collect::<Vec<_>>());
    assert!(messages
        .iter()
        .all(|message| matches!(message.kind, MessageType::Answer | MessageType::Release)));
    fixture.shut_down().await;
}

/// Guards against set-ups that are lost in connections which the kernel has established but the node has not
/// accepted when its listener closes. The process is stopped over that instant, so that such connections
/// exist.
#[tokio::test]
async fn set_ups_in_the_accept_backlog_are_answered_during_drain() {
    let fixture = Fixture::new("lifecycle-backlog", Duration::from_millis(50)).await;
    wait_until(|| fixture.name_server.query_count() > 1).await;
    fixture.node.signal("-TERM");
    tokio::time::sleep(Duration::from_millis(300)).await;
    fixture.node.signal("-STOP");
    let mut streams = Vec::new();
    for n in 0..100 {
        let mut stream =
            within_timeout(TcpStream::connect(fixture.node.addr)).await.expect("the kernel accepts");
        stream.write_all(&encode([set_up(100 + n)])).await.expect("sent");
        streams.push((100 + n, stream));
    }
    // Well after the listener was due to close, and before any caller times out.
    tokio::time::sleep(Duration::from_millis(800)).await;
    fixture.node.signal("-CONT");
    for (id, mut stream) in streams {
        let messages = read_messages(&mut stream, 1).await;
        let answered = messages
            .first()
            .is_some_and(|m| m.call == CallId(id.to_be_bytes()) && m.kind == MessageType::Answer);
        assert!(answered, "call {id}: {messages:?}");
    }
    let mut fixture = fixture;
    assert_eq!(fixture.node.exited().await.code(), Some(0));
}

/// Guards against answers that are lost because the process exits with unread input, so that its connection
/// is reset, and against releases that are never sent to the servers.
#[tokio::test]
async fn last_answers_and_releases_are_delivered_before_exit() {
    let mut fixture = Fixture::new("lifecycle-last", Duration::from_secs(60)).await;
    let caller =
        PlatformCaller::connect(fixture.node.addr, fixture.recorder.clone()).await.expect("listening");
    for id in 1..=20 {
        let (answer, _) = caller.offer(&set_up(id), CALLER_TIMEOUT);
        assert!(matches!(within_timeout(answer).await, Ok(SetUpOutcome::Established(_))));
    }
    // Set-ups sent from now on get no answer from a server.
    fixture.servers.iter().for_each(|server| server.set_behaviour(ServerBehaviour::Silent));
    let pending: Vec<_> = (21..=24).map(|id| caller.offer(&set_up(id), CALLER_TIMEOUT).0).collect();
    wait_until(|| fixture.servers.iter().map(PlatformServer::set_ups).sum::<u64>() >= 24).await;
    fixture.node.signal("-TERM");
    let started = Instant::now();
    // A steady stream of further messages, so that the process always has unread input.
    let noise = encode((0..50).map(|n| Message::new(MessageType::Progress, CallId([n; 8]))));
    let mut collecting = tokio::spawn(async move {
        let mut outcomes = Vec::new();
        for answer in pending {
            outcomes.push(within_timeout(answer).await.expect("an answer"));
        }
        outcomes
    });
    // Releases by the callers during the drain must reach the servers.
    caller.send(encode((1..=20).map(|id| Message::release(CallId(u64::to_be_bytes(id)), Cause::NORMAL))));
    let outcomes = loop {
        tokio::select! {
            outcomes = &mut collecting => break outcomes.expect("all"),
            () = tokio::time::sleep(Duration::from_millis(1)) => caller.send(noise.clone()),
        }
    };
    assert!(outcomes.iter().all(|outcome| matches!(outcome, SetUpOutcome::Rejected(_))), "{outcomes:?}");
    let established = || fixture.servers.iter().map(PlatformServer::established_calls).sum::<usize>();
    wait_until(|| established() == 0).await;
    assert_eq!(fixture.node.exited().await.code(), Some(0));
    assert!(
        started.elapsed() < Duration::from_millis(3_700),
        "still running when the platform kills it: {:?}",
        started.elapsed()
    );
}

/// Guards against a node that never reads the list again, and sends new calls to a draining server, because the
/// name server takes longer to answer than the node keeps its port.
#[tokio::test]
async fn drain_reaches_the_process_through_a_slow_name_server() {
    let fixture = Fixture::new("lifecycle-slow-list", Duration::from_secs(60)).await;
    wait_until(|| fixture.name_server.query_count() > 1).await;
    fixture.name_server.set_delay(Duration::from_millis(700));
    tokio::time::sleep(Duration::from_secs(2)).await;
    fixture
        .name_server
        .set_list(fixture.list.iter().map(|s| Listed { drains: s.number == 0, ..s.clone() }).collect());
    let drained_at = fixture.recorder.now();
    // An event counts as known 1.5 s after it happened, and 1 s later nothing new may be sent.
    let last_allowed_at = drained_at + (1_500 + 1_000 + 50) * 1_000;
    let caller =
        PlatformCaller::connect(fixture.node.addr, fixture.recorder.clone()).await.expect("listening");
    let mut id = 0;
    while fixture.recorder.now() < last_allowed_at + 1_000_000 {
        id += 1;
        let (answer, _) = caller.offer(&set_up(id), CALLER_TIMEOUT);
        assert!(matches!(within_timeout(answer).await, Ok(SetUpOutcome::Established(_))), "call {id}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let entries = fixture.recorder.lines();
    let at_drained = |line: &&baydrift_audit::RecordEntry| {
        matches!(line.event, RecordEvent::SetUp { server: 0, .. }) && line.at > last_allowed_at
    };
    let late = entries.iter().filter(at_drained).count();
    assert_eq!(late, 0, "{late} of {id} calls were set up at the drained server after the grace");
    assert!(fixture.servers[0].set_ups() > 0, "it was in use before");
    fixture.shut_down().await;
}

/// Guards against a start that fails, or takes seconds, because the previous process still drains at the same
/// address.
#[tokio::test]
async fn restart_takes_over_the_address_of_a_draining_process() {
    let (addr, gossip) = (free_port(), free_port());
    let set_addr = move |text: &str| {
        let peers = format!("\"peer_listen\":\"{gossip}\",\"peers\":[\"{gossip}\"],\"names\"");
        text.replace("\"127.0.0.1:0\"", &format!("\"{addr}\"")).replacen("\"names\"", &peers, 1)
    };
    let mut fixture = Fixture::with("lifecycle-before", Duration::from_millis(50), set_addr).await;
    assert_eq!(fixture.node.addr, addr);
    let caller = PlatformCaller::connect(addr, fixture.recorder.clone()).await.expect("listening");
    fixture.servers.iter().for_each(|server| server.set_behaviour(ServerBehaviour::Silent));
    let (answer, _) = caller.offer(&set_up(1), CALLER_TIMEOUT);
    wait_until(|| fixture.servers.iter().map(PlatformServer::set_ups).sum::<u64>() > 0).await;
    fixture.node.signal("-TERM");
    let started = Instant::now();
    let text = set_addr(&config(fixture.name_server.addr, &fixture.list));
    let next = within_timeout(Node::start("lifecycle-after", &text)).await;
    within_timeout(check_health(next.addr)).await.expect("healthy");
    let took = started.elapsed();
    println!("ready {took:?} after the SIGTERM of the previous process");
    assert!(took < Duration::from_secs(2), "ready only {took:?} after the SIGTERM of the previous process");
    assert!(fixture.node.child.try_wait().expect("known").is_none(), "the previous process still drains");
    assert!(
        matches!(within_timeout(answer).await, Ok(SetUpOutcome::Rejected(_))),
        "the previous process answers its calls"
    );
    assert_eq!(fixture.node.exited().await.code(), Some(0));
    fixture.node = next;
    fixture.shut_down().await;
}

/// Guards against slow starts: time until healthy over 200 starts at the same address, each after a SIGKILL
/// during calls.
#[tokio::test]
async fn restarts_during_calls_are_ready_in_time() {
    const STARTS: usize = 200;
    let addr = free_port();
    let set_addr = move |text: &str| text.replace("\"127.0.0.1:0\"", &format!("\"{addr}\""));
    let mut fixture = Fixture::with("lifecycle-starts", Duration::from_secs(1), set_addr).await;
    // Discovery is down from the second start on: the endpoints in the configuration are enough.
    let silent = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let text = set_addr(&config(silent.local_addr().expect("bound"), &fixture.list));
    let mut took = Vec::new();
    for n in 0..STARTS as u64 {
        let caller = PlatformCaller::connect(addr, fixture.recorder.clone()).await.expect("listening");
        let (answer, _) = caller.offer(&set_up(1 + n), CALLER_TIMEOUT);
        if n % 2 == 0 {
            assert!(matches!(within_timeout(answer).await, Ok(SetUpOutcome::Established(_))), "start {n}");
        }
        fixture.node.signal("-KILL");
        fixture.node.exited().await;
        let started = Instant::now();
        let child = Node::spawn("lifecycle-starts", &text);
        while check_health(addr).await.is_err() {
            assert!(started.elapsed() < TEST_TIMEOUT, "start {n} did not become ready");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        took.push(started.elapsed());
        fixture.node = Node::at(child, addr, &fixture.node.config);
    }
    took.sort();
    let (median, percentile_90, worst) = (took[STARTS / 2], took[STARTS * 9 / 10], took[STARTS - 1]);
    println!("{STARTS} starts: ready after {median:?} (median), {percentile_90:?} (90th percentile), {worst:?} (worst)");
    assert!(
        percentile_90 < Duration::from_secs(10) && worst < Duration::from_secs(30),
        "{percentile_90:?}, {worst:?}"
    );
    fixture.shut_down().await;
}

/// Guards against idle callers that use up the descriptors for servers and discovery, while discovery is down
/// and servers must be reconnected: the longest-idle connections are closed, active callers are accepted, and
/// SIGHUP can still read the configuration file.
#[tokio::test]
async fn idle_callers_do_not_exhaust_descriptors_for_servers_and_discovery() {
    let silent = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let silent_addr = silent.local_addr().expect("bound");
    let fixture = Fixture::with("lifecycle-idle", Duration::from_millis(50), move |text| {
        let start = text.find("\"names\":\"").expect("the key") + 9;
        let end = start + text[start..].find('"').expect("the closing quote");
        format!("{}{silent_addr}{}", &text[..start], &text[end..])
    })
    .await;
    let (addr, pid) = (fixture.node.addr, fixture.pid());
    let mut idle = Vec::new();
    let mut most_open = 0;
    for round in 0..5u64 {
        // The process finds all connections at once, and must reconnect to all servers at the same time.
        fixture.node.signal("-STOP");
        for _ in 0..100 {
            idle.push(within_timeout(TcpStream::connect(addr)).await.expect("listening"));
        }
        fixture.servers.iter().for_each(PlatformServer::close_connections);
        fixture.node.signal("-CONT");
        most_open = most_open.max(open_descriptors(pid));
        let caller =
            within_timeout(PlatformCaller::connect(addr, fixture.recorder.clone())).await.expect("listening");
        for n in 0..5 {
            let (answer, _) = caller.offer(&set_up(1 + round * 5 + n), CALLER_TIMEOUT);
            assert!(
                matches!(within_timeout(answer).await, Ok(SetUpOutcome::Established(_))),
                "round {round}, call {n}"
            );
        }
        most_open = most_open.max(open_descriptors(pid));
    }
    println!("at most {most_open} of 256 descriptors open");
    assert!(most_open <= 256, "{most_open} of 256 descriptors open");
    // Discovery is available again at another address; its list has a third server.
    let third = PlatformServer::start(2, Duration::from_millis(50), fixture.recorder.clone()).await;
    let third = third.expect("a server");
    let mut list = fixture.list.clone();
    list.push(listed("s-2", &third, 2));
    let name_server = NameServer::start(2, list).await.expect("a name server");
    std::fs::write(&fixture.node.config, config(name_server.addr, &fixture.list)).expect("a configuration");
    fixture.node.signal("-HUP");
    wait_until(|| name_server.query_count() > 1).await;
    let caller = PlatformCaller::connect(addr, fixture.recorder.clone()).await.expect("listening");
    let mut id = 1_000;
    while third.set_ups() == 0 {
        id += 1;
        assert!(id < 1_200, "no call reached the third server");
        let mut to_third = set_up(id);
        to_third.parameters.retain(|(code, _)| *code != ParameterCode::ATTRIBUTES);
        let to_third = to_third.with(ParameterCode::ATTRIBUTES, "dest:2;width:1;via:-1");
        within_timeout(caller.offer(&to_third, CALLER_TIMEOUT).0).await.expect("an answer");
    }
    drop(idle);
    fixture.shut_down().await;
}

/// Guards against a mix of two configurations: SIGHUP applies only the new file's name server. Its classes,
/// tenants and limits take effect at a restart, so that indices into the tables of one file are never used
/// with the other's.
#[tokio::test]
async fn sighup_changes_only_discovery() {
    let fixture = Fixture::new("lifecycle-reload", Duration::from_millis(50)).await;
    let caller =
        PlatformCaller::connect(fixture.node.addr, fixture.recorder.clone()).await.expect("listening");
    let name_server = NameServer::start(2, fixture.list.clone()).await.expect("another name server");
    let other = config(name_server.addr, &fixture.list)
        .replace("\"name\":\"load\"", "\"name\":\"x\"")
        .replace("\"name\":\"check\"", "\"name\":\"load\"")
        .replace("\"acme\"", "\"other\"")
        .replace("\"hard-limit-s\":9.0", "\"hard-limit-s\":0.2");
    std::fs::write(&fixture.node.config, other).expect("a configuration");
    fixture.node.signal("-HUP");
    wait_until(|| name_server.query_count() > 2).await;
    let old_queries = fixture.name_server.query_count();
    let (answer, _) = caller.offer(&set_up(1), CALLER_TIMEOUT);
    assert!(
        matches!(within_timeout(answer).await, Ok(SetUpOutcome::Established(_))),
        "class, tenant and time limit of the first configuration"
    );
    for (id, code, value) in [(2, ParameterCode::CLASS, "x"), (3, ParameterCode::TENANT, "other")] {
        let mut wrong = set_up(id);
        wrong.parameters.retain(|(other, _)| *other != code);
        let (answer, _) = caller.offer(&wrong.with(code, value), CALLER_TIMEOUT);
        assert_eq!(
            within_timeout(answer).await,
            Ok(SetUpOutcome::Rejected(Cause::INVALID)),
            "{value} is only in the new configuration"
        );
    }
    let queries = name_server.query_count();
    wait_until(|| name_server.query_count() > queries + 2).await;
    assert_eq!(fixture.name_server.query_count(), old_queries, "the old name server gets no more queries");
    fixture.shut_down().await;
}
