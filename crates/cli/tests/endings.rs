//! Endings on sockets: callers that leave, connections that the kernel holds, restarts, descriptors that run short. The
//! front node is a process, the rest own stand-ins on loopback.

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
use common::{listed, set_up, signal, soon, until, Node, LONG, WAIT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Two servers, their list, and a front node between them and its callers.
struct Stage {
    recorder: Arc<Recorder>,
    servers: Vec<PlatformServer>,
    list: Vec<Listed>,
    names: NameServer,
    node: Node,
}

impl Stage {
    async fn new(test: &str, hold: Duration) -> Self {
        Self::with(test, hold, str::to_owned).await
    }

    /// The configuration as `change` makes it.
    async fn with(test: &str, hold: Duration, change: impl Fn(&str) -> String) -> Self {
        let recorder = Arc::new(Recorder::default());
        let mut servers = Vec::new();
        for number in 0..2 {
            servers.push(PlatformServer::start(number, hold, recorder.clone()).await.expect("a server"));
        }
        let list: Vec<_> = (0u16..).zip(&servers).map(|(n, s)| listed(&format!("s-{n}"), s, n)).collect();
        let names = NameServer::start(1, list.clone()).await.expect("a name server");
        let node = Node::start(test, &change(&config(names.addr, &list))).await;
        Self { recorder, servers, list, names, node }
    }

    fn pid(&self) -> u32 {
        self.node.child.id().expect("it runs")
    }

    /// When each call's set-ups came to the servers, by the record's clock.
    fn sent(&self) -> BTreeMap<String, Vec<u64>> {
        let mut sent: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for line in self.recorder.lines() {
            if let RecordEvent::SetUp { call, .. } = line.event {
                sent.entry(call).or_default().push(line.at);
            }
        }
        sent
    }

    /// Nothing is left of the process: it ends in order when told to.
    async fn ends(mut self) {
        self.node.signal("-TERM");
        assert_eq!(self.node.ended().await.code(), Some(0));
    }
}

fn name(id: u64) -> String {
    format!("caller|{}", CallId(id.to_be_bytes()))
}

fn bytes(messages: impl IntoIterator<Item = Message>) -> Vec<u8> {
    messages.into_iter().flat_map(|message| message.to_bytes().expect("short")).collect()
}

/// All that comes until the connection ends or `enough` have come.
async fn answers(stream: &mut TcpStream, enough: usize) -> Vec<Message> {
    let (mut frames, mut buffer, mut got) = (MessageDecoder::default(), vec![0; 4096], Vec::new());
    while got.len() < enough {
        match soon(stream.read(&mut buffer)).await {
            Ok(n) if n > 0 => frames.push(&buffer[..n]),
            _ => break,
        }
        while let Ok(Some(message)) = frames.next_message() {
            got.push(message);
        }
    }
    got
}

/// What of the process's memory is its own: not the program's pages, which differ by how it was built.
fn memory_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("it runs");
    let own = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("its memory");
    own.trim().trim_end_matches(" kB").parse().expect("a figure")
}

async fn ready(addr: SocketAddr) -> Result<(), std::io::Error> {
    let mut stream = TcpStream::connect(addr).await?;
    stream
        .write_all(&bytes([
            Message::new(MessageType::HealthCheck, CallId([1; 8])).with(ParameterCode::CAUSE, vec![0])
        ]))
        .await?;
    let mut buffer = [0; 64];
    match stream.read(&mut buffer).await? {
        n if n > 2 && buffer[2] == 53 => Ok(()),
        _ => Err(std::io::ErrorKind::InvalidData.into()),
    }
}

/// A port that is free just now.
fn free_port() -> SocketAddr {
    let listener = StdListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("its address")
}

fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).expect("it runs").count()
}

/// Offers calls from this number on until one stands; how many.
async fn served(caller: &PlatformCaller, from: u64) -> usize {
    for n in 0..200 {
        let (answer, _) = caller.offer(&set_up(from + n as u64), WAIT);
        if matches!(soon(answer).await, Ok(SetUpOutcome::Established(_))) {
            return n + 1;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("none of 200 calls is served");
}

/// Callers that leave: 100 at a time, so many each. They close or give up at a drawn instant: before, while and after their
/// set-up is out, and while its repeat waits for the guard. For each that anything was sent for, how long after it had left
/// the last set-up came to a server; and how many were set up again.
async fn leave(stage: &Stage, each: u64) -> (Vec<u64>, usize) {
    // Half of the answers break their connections, so that calls are set up again 0.3 s later.
    let manners = {
        let servers = stage.servers.clone();
        tokio::spawn(async move {
            for turn in 0.. {
                for (n, server) in servers.iter().enumerate() {
                    server.set_behaviour(if (turn + n) % 2 == 0 {
                        ServerBehaviour::Normal
                    } else {
                        ServerBehaviour::Malformed
                    });
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        })
    };
    let (addr, recorder) = (stage.node.addr, stage.recorder.clone());
    let leaving = |caller: u64| {
        let recorder = recorder.clone();
        async move {
            let mut left = Vec::new();
            let mut stream = TcpStream::connect(addr).await.expect("it listens");
            for n in 0..each {
                let id = 1_000_000 + caller * each + n;
                // Up to the guard and a little over, on a pattern that needs no chance.
                let patience = Duration::from_millis(id.wrapping_mul(0x9e37_79b9) % 340);
                stream.write_all(&bytes([set_up(id)])).await.expect("it listens");
                tokio::time::sleep(patience).await;
                // What it was told meanwhile is read, lest its own close is a reset.
                let mut told = [0; 4096];
                while stream.try_read(&mut told).is_ok_and(|n| n > 0) {}
                left.push((id, recorder.now()));
                if n % 2 == 0 {
                    let release = Message::release(CallId(id.to_be_bytes()), Cause::NORMAL);
                    stream.write_all(&bytes([release])).await.expect("it listens");
                } else {
                    stream.shutdown().await.expect("closed");
                    stream = TcpStream::connect(addr).await.expect("it listens");
                }
            }
            left
        }
    };
    let tasks: Vec<_> = (0..100).map(|caller| tokio::spawn(leaving(caller))).collect();
    let mut left = Vec::new();
    for task in tasks {
        left.extend(tokio::time::timeout(LONG * 6, task).await.expect("in time").expect("it left"));
    }
    manners.abort();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let sent = stage.sent();
    let after = left.iter().filter_map(|(id, at)| Some(sent.get(&name(*id))?.last()?.saturating_sub(*at)));
    let again = sent.values().filter(|times| times.len() > 1).count();
    (after.collect(), again)
}

/// Guards against attempts for callers that have left: 10,000 of them, and the last thing that comes to a server for any
/// comes within 0.1 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_begins_more_than_a_tenth_of_a_second_after_a_caller_has_left() {
    let stage = Stage::new("endings-cancels", Duration::from_millis(200)).await;
    let (after, again) = leave(&stage, 100).await;
    let worst = after.iter().max().copied().expect("some were sent");
    println!("10000 left, {} were sent, {again} set up again; the last set-up {worst} us after", after.len());
    assert!(after.len() > 2_000 && again > 50, "{} were sent, {again} set up again", after.len());
    assert!(worst < 100_000, "a set-up began {worst} us after its caller had left");
    stage.ends().await;
}

/// The same at a process that stands still for a while, again and again, as one does that shares its core: what its
/// callers did meanwhile lies unread behind what they asked for before. One standstill in many falls between the last
/// look and the write itself: two cases are what the terms allow.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_that_stood_still_looks_who_has_left_before_it_sends() {
    let stage = Stage::new("endings-stalls", Duration::from_millis(200)).await;
    let pid = stage.pid();
    let stalls = tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(300)).await;
            signal(pid, "-STOP");
            tokio::time::sleep(Duration::from_millis(250)).await;
            signal(pid, "-CONT");
        }
    });
    let (after, again) = leave(&stage, 10).await;
    stalls.abort();
    signal(pid, "-CONT");
    let late = after.iter().filter(|after| **after >= 100_000).count();
    println!("1000 left, {} were sent, {again} set up again; {late} over 0.1 s after", after.len());
    assert!(after.len() > 150, "{} were sent", after.len());
    assert!(late <= 2, "{late} set-ups began over 0.1 s after their callers had left");
    stage.ends().await;
}

/// Guards against a flood whose sender has gone: 1,000 set-ups in one write and a close behind them, or 500 that are
/// given up at once, come to no server later than 0.1 s after; memory holds, and others are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_flood_that_is_taken_back_ends_at_once() {
    let stage = Stage::new("endings-flood", Duration::from_millis(50)).await;
    let caller = PlatformCaller::connect(stage.node.addr, stage.recorder.clone()).await.expect("it listens");
    let before = memory_kib(stage.pid());
    let mut gone = Vec::new();
    for round in 0..5u64 {
        let ids = |from: u64, n: u64| (from + round * 10_000)..(from + round * 10_000 + n);
        let mut closes = TcpStream::connect(stage.node.addr).await.expect("it listens");
        closes.write_all(&bytes(ids(100_000, 1_000).map(set_up))).await.expect("sent");
        gone.extend(ids(100_000, 1_000).map(|id| (id, stage.recorder.now())));
        drop(closes);
        let mut gives_up = TcpStream::connect(stage.node.addr).await.expect("it listens");
        let releases = ids(500_000, 500).map(|id| Message::release(CallId(id.to_be_bytes()), Cause::NORMAL));
        gives_up.write_all(&bytes(ids(500_000, 500).map(set_up).chain(releases))).await.expect("sent");
        gone.extend(ids(500_000, 500).map(|id| (id, stage.recorder.now())));
        // Others are answered in it, and served once it is over: a flood looks like a wait at the servers.
        let (answer, _) = caller.offer(&set_up(1 + round), WAIT);
        assert!(
            matches!(soon(answer).await, Ok(SetUpOutcome::Established(_) | SetUpOutcome::Rejected(_))),
            "round {round}"
        );
    }
    let others = 5 + served(&caller, 10).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let sent = stage.sent();
    let after = gone.iter().filter_map(|(id, at)| Some(sent.get(&name(*id))?.last()?.saturating_sub(*at)));
    let worst = after.max().unwrap_or(0);
    println!("{} of {} were sent, the last {worst} us after", sent.len().saturating_sub(others), gone.len());
    assert!(worst < 100_000, "a set-up began {worst} us after its caller had left");
    let after = memory_kib(stage.pid());
    println!("memory {before} KiB before, {after} KiB after");
    assert!(
        after < before + 12 * 1024,
        "{before} KiB grew to {after} KiB by a flood; 32 MiB are all there may be"
    );
    stage.ends().await;
}

/// A caller that sends 1,000 set-ups in one write and waits has each answered, once, and on time.
#[tokio::test]
async fn a_flood_whose_sender_waits_is_answered_whole() {
    let stage = Stage::new("endings-patient", Duration::from_secs(60)).await;
    let mut stream = TcpStream::connect(stage.node.addr).await.expect("it listens");
    stream.write_all(&bytes((0..1_000).map(|n| set_up(100 + n)))).await.expect("sent");
    let from = Instant::now();
    let got = answers(&mut stream, 1_000).await;
    assert!(from.elapsed() < WAIT, "{:?}", from.elapsed());
    let mut ids: Vec<_> = got.iter().map(|message| u64::from_be_bytes(message.call.0)).collect();
    ids.sort_unstable();
    assert_eq!(ids, (100..1_100).collect::<Vec<_>>());
    assert!(got.iter().all(|message| matches!(message.kind, MessageType::Answer | MessageType::Release)));
    stage.ends().await;
}

/// Guards against set-ups that lie whole in connections which nobody has accepted when the listener closes. The process
/// stands still over that instant, so that they are there.
#[tokio::test]
async fn what_the_kernel_had_taken_when_the_listener_closes_is_answered() {
    let stage = Stage::new("endings-backlog", Duration::from_millis(50)).await;
    until(|| stage.names.query_count() > 1).await;
    stage.node.signal("-TERM");
    tokio::time::sleep(Duration::from_millis(300)).await;
    stage.node.signal("-STOP");
    let mut streams = Vec::new();
    for n in 0..100 {
        let mut stream = soon(TcpStream::connect(stage.node.addr)).await.expect("the kernel accepts");
        stream.write_all(&bytes([set_up(100 + n)])).await.expect("sent");
        streams.push((100 + n, stream));
    }
    // Well after the hand-over's end, and before anything is given up.
    tokio::time::sleep(Duration::from_millis(800)).await;
    stage.node.signal("-CONT");
    for (id, mut stream) in streams {
        let got = answers(&mut stream, 1).await;
        let answered =
            got.first().is_some_and(|m| m.call == CallId(id.to_be_bytes()) && m.kind == MessageType::Answer);
        assert!(answered, "call {id}: {got:?}");
    }
    let mut stage = stage;
    assert_eq!(stage.node.ended().await.code(), Some(0));
}

/// Guards against answers that are written in the last moment of a process and go down with it, their caller having sent
/// what nobody reads any more; and against a release that never leaves.
#[tokio::test]
async fn the_last_answers_and_releases_arrive_before_the_process_ends() {
    let mut stage = Stage::new("endings-last", Duration::from_secs(60)).await;
    let caller = PlatformCaller::connect(stage.node.addr, stage.recorder.clone()).await.expect("it listens");
    for id in 1..=20 {
        let (answer, _) = caller.offer(&set_up(id), WAIT);
        assert!(matches!(soon(answer).await, Ok(SetUpOutcome::Established(_))));
    }
    // Those sent from now on are answered by nobody.
    stage.servers.iter().for_each(|server| server.set_behaviour(ServerBehaviour::Silent));
    let waits: Vec<_> = (21..=24).map(|id| caller.offer(&set_up(id), WAIT).0).collect();
    until(|| stage.servers.iter().map(PlatformServer::set_ups).sum::<u64>() >= 24).await;
    stage.node.signal("-TERM");
    let from = Instant::now();
    // Noise behind, all the time: the process never has all of it read.
    let noise = bytes((0..50).map(|n| Message::new(MessageType::Progress, CallId([n; 8]))));
    let mut answered = tokio::spawn(async move {
        let mut told = Vec::new();
        for wait in waits {
            told.push(soon(wait).await.expect("an answer"));
        }
        told
    });
    // Released by their callers while the process ends: the servers hear of it.
    caller.send(bytes((1..=20).map(|id| Message::release(CallId(u64::to_be_bytes(id)), Cause::NORMAL))));
    let told = loop {
        tokio::select! {
            told = &mut answered => break told.expect("all"),
            () = tokio::time::sleep(Duration::from_millis(1)) => caller.send(noise.clone()),
        }
    };
    assert!(told.iter().all(|told| matches!(told, SetUpOutcome::Rejected(_))), "{told:?}");
    let standing = || stage.servers.iter().map(PlatformServer::established_calls).sum::<usize>();
    until(|| standing() == 0).await;
    assert_eq!(stage.node.ended().await.code(), Some(0));
    assert!(from.elapsed() < Duration::from_millis(3_700), "killed by then: {:?}", from.elapsed());
}

/// Guards against a start that fails, or waits for seconds, since the process before it still answers what it had taken.
#[tokio::test]
async fn a_process_takes_over_the_address_of_one_that_still_ends() {
    let (addr, gossip) = (free_port(), free_port());
    let at = move |text: &str| {
        let peers = format!("\"peer_listen\":\"{gossip}\",\"peers\":[\"{gossip}\"],\"names\"");
        text.replace("\"127.0.0.1:0\"", &format!("\"{addr}\"")).replacen("\"names\"", &peers, 1)
    };
    let mut stage = Stage::with("endings-before", Duration::from_millis(50), at).await;
    assert_eq!(stage.node.addr, addr);
    let caller = PlatformCaller::connect(addr, stage.recorder.clone()).await.expect("it listens");
    stage.servers.iter().for_each(|server| server.set_behaviour(ServerBehaviour::Silent));
    let (answer, _) = caller.offer(&set_up(1), WAIT);
    until(|| stage.servers.iter().map(PlatformServer::set_ups).sum::<u64>() > 0).await;
    stage.node.signal("-TERM");
    let from = Instant::now();
    let text = at(&config(stage.names.addr, &stage.list));
    let next = soon(Node::start("endings-after", &text)).await;
    soon(ready(next.addr)).await.expect("it is ready");
    let took = from.elapsed();
    println!("ready {took:?} after the SIGTERM of the process before");
    assert!(took < Duration::from_secs(2), "ready only {took:?} after the SIGTERM of the one before");
    assert!(stage.node.child.try_wait().expect("known").is_none(), "the one before ends still");
    assert!(matches!(soon(answer).await, Ok(SetUpOutcome::Rejected(_))), "and answers what it had taken");
    assert_eq!(stage.node.ended().await.code(), Some(0));
    stage.node = next;
    stage.ends().await;
}

/// Time to ready over 200 starts of one front node, killed in the midst of calls each time, at its own address.
#[tokio::test]
async fn restarts_in_the_midst_of_calls_are_ready_soon() {
    const STARTS: usize = 200;
    let addr = free_port();
    let at = move |text: &str| text.replace("\"127.0.0.1:0\"", &format!("\"{addr}\""));
    let mut stage = Stage::with("endings-starts", Duration::from_secs(1), at).await;
    // Discovery is down from the second start on: what the configuration holds is enough.
    let silent = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let text = at(&config(silent.local_addr().expect("its address"), &stage.list));
    let mut took = Vec::new();
    for n in 0..STARTS as u64 {
        let caller = PlatformCaller::connect(addr, stage.recorder.clone()).await.expect("it listens");
        let (answer, _) = caller.offer(&set_up(1 + n), WAIT);
        if n % 2 == 0 {
            assert!(matches!(soon(answer).await, Ok(SetUpOutcome::Established(_))), "start {n}");
        }
        stage.node.signal("-KILL");
        stage.node.ended().await;
        let from = Instant::now();
        let child = Node::spawn("endings-starts", &text);
        while ready(addr).await.is_err() {
            assert!(from.elapsed() < LONG, "start {n} is never ready");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        took.push(from.elapsed());
        stage.node = Node::at(child, addr, &stage.node.config);
    }
    took.sort();
    let (median, nine, worst) = (took[STARTS / 2], took[STARTS * 9 / 10], took[STARTS - 1]);
    println!("{STARTS} starts: ready after {median:?} in the median, nine in ten {nine:?}, worst {worst:?}");
    assert!(nine < Duration::from_secs(10) && worst < Duration::from_secs(30), "{nine:?}, {worst:?}");
    stage.ends().await;
}

/// Guards against idle callers that take the descriptors which servers and discovery need, while discovery is down and
/// while servers have to be dialled: those idle longest go, who calls gets in, and SIGHUP's file is read.
#[tokio::test]
async fn idle_callers_never_take_the_descriptors_that_servers_and_discovery_need() {
    let silent = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let quiet = silent.local_addr().expect("its address");
    let stage = Stage::with("endings-idle", Duration::from_millis(50), move |text| {
        let names = text.find("\"names\":\"").expect("it names one") + 9;
        let end = names + text[names..].find('"').expect("it ends");
        format!("{}{quiet}{}", &text[..names], &text[end..])
    })
    .await;
    let (addr, pid) = (stage.node.addr, stage.pid());
    let mut idle = Vec::new();
    let mut most = 0;
    for round in 0..5u64 {
        // All at once, as the process finds them, and all servers are to be dialled anew under it.
        stage.node.signal("-STOP");
        for _ in 0..100 {
            idle.push(soon(TcpStream::connect(addr)).await.expect("it listens"));
        }
        stage.servers.iter().for_each(PlatformServer::close_connections);
        stage.node.signal("-CONT");
        most = most.max(open_descriptors(pid));
        let caller = soon(PlatformCaller::connect(addr, stage.recorder.clone())).await.expect("it listens");
        for n in 0..5 {
            let (answer, _) = caller.offer(&set_up(1 + round * 5 + n), WAIT);
            assert!(
                matches!(soon(answer).await, Ok(SetUpOutcome::Established(_))),
                "round {round}, call {n}"
            );
        }
        most = most.max(open_descriptors(pid));
    }
    println!("{most} descriptors at the most, of 256");
    assert!(most <= 256, "{most} descriptors of 256");
    // Discovery is back, elsewhere; its list has one server more.
    let third = PlatformServer::start(2, Duration::from_millis(50), stage.recorder.clone()).await;
    let third = third.expect("a server");
    let mut list = stage.list.clone();
    list.push(listed("s-2", &third, 2));
    let names = NameServer::start(2, list).await.expect("a name server");
    std::fs::write(&stage.node.config, config(names.addr, &stage.list)).expect("a configuration");
    stage.node.signal("-HUP");
    until(|| names.query_count() > 1).await;
    let caller = PlatformCaller::connect(addr, stage.recorder.clone()).await.expect("it listens");
    let mut id = 1_000;
    while third.set_ups() == 0 {
        id += 1;
        assert!(id < 1_200, "the third server is never used");
        let mut to_third = set_up(id);
        to_third.parameters.retain(|(code, _)| *code != ParameterCode::ATTRIBUTES);
        let to_third = to_third.with(ParameterCode::ATTRIBUTES, "dest:2;width:1;via:-1");
        soon(caller.offer(&to_third, WAIT).0).await.expect("an answer");
    }
    drop(idle);
    stage.ends().await;
}

/// Guards against a configuration that shows through another: SIGHUP moves discovery, and no class, tenant or limit of
/// the new file is seen before the process starts anew; indices into the tables of one are never used with the other.
#[tokio::test]
async fn sighup_moves_discovery_and_nothing_else() {
    let stage = Stage::new("endings-reload", Duration::from_millis(50)).await;
    let caller = PlatformCaller::connect(stage.node.addr, stage.recorder.clone()).await.expect("it listens");
    let names = NameServer::start(2, stage.list.clone()).await.expect("another name server");
    let other = config(names.addr, &stage.list)
        .replace("\"name\":\"load\"", "\"name\":\"x\"")
        .replace("\"name\":\"check\"", "\"name\":\"load\"")
        .replace("\"acme\"", "\"other\"")
        .replace("\"hard-limit-s\":9.0", "\"hard-limit-s\":0.2");
    std::fs::write(&stage.node.config, other).expect("a configuration");
    stage.node.signal("-HUP");
    until(|| names.query_count() > 2).await;
    let before = stage.names.query_count();
    let (answer, _) = caller.offer(&set_up(1), WAIT);
    assert!(
        matches!(soon(answer).await, Ok(SetUpOutcome::Established(_))),
        "class, tenant and time of the start's settings"
    );
    for (id, code, value) in [(2, ParameterCode::CLASS, "x"), (3, ParameterCode::TENANT, "other")] {
        let mut wrong = set_up(id);
        wrong.parameters.retain(|(own, _)| *own != code);
        let (answer, _) = caller.offer(&wrong.with(code, value), WAIT);
        assert_eq!(
            soon(answer).await,
            Ok(SetUpOutcome::Rejected(Cause::INVALID)),
            "{value} is the new file's"
        );
    }
    let asked = names.query_count();
    until(|| names.query_count() > asked + 2).await;
    assert_eq!(stage.names.query_count(), before, "the old one is asked no more");
    stage.ends().await;
}
