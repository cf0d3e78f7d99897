//! The front node as a process, between own stand-ins on loopback: calls, faults, signals, and the five rules audited
//! from what crossed the sockets.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

use baydrift_audit::{rules, Recorder, RuleLimits};
use baydrift_standin::{
    relay_config as config, NameServer, PlatformCaller, PlatformServer, ServerBehaviour, SetUpOutcome,
};
use common::{listed, set_up, soon, until, Node, WAIT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Offers calls a few milliseconds apart; how many stand. Each must be answered.
async fn offer(caller: &PlatformCaller, ids: std::ops::Range<u64>) -> usize {
    let mut answers = Vec::new();
    for id in ids {
        answers.push((id, caller.offer(&set_up(id), WAIT)));
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
    let mut stand = 0;
    for (id, (answer, ended)) in answers {
        match soon(answer).await.expect("an answer") {
            SetUpOutcome::Established(description) => {
                assert_eq!(
                    description,
                    format!("from call {id}").into_bytes(),
                    "the server's own, unchanged"
                );
                stand += 1;
                // Each end comes to its caller, whatever became of its connection.
                soon(ended).await.expect("its end");
            }
            SetUpOutcome::Rejected(_) => {}
            SetUpOutcome::Disconnected => panic!("call {id}: the connection ended"),
        }
    }
    stand
}

fn audit(recorder: &Recorder, calls: usize) {
    let verdict = rules(&recorder.lines(), RuleLimits::default());
    assert_eq!(verdict.breaches, [], "{:#?}", verdict.breaches);
    assert_eq!((verdict.calls, verdict.answered), (calls, calls));
}

#[tokio::test]
async fn calls_faults_and_signals_with_the_rules_audited_from_the_sockets() {
    let recorder = Arc::new(Recorder::default());
    let hold = Duration::from_millis(300);
    let server = |number| PlatformServer::start(number, hold, recorder.clone());
    let (one, two, three) = (server(0).await, server(1).await, server(2).await);
    let (one, two, three) = (one.expect("one"), two.expect("two"), three.expect("three"));
    let both = vec![listed("s-one", &one, 0), listed("s-two", &two, 1)];
    let names = NameServer::start(1, both.clone()).await.expect("a name server");
    let mut node = Node::start("node-calls", &config(names.addr, &both)).await;
    let caller = PlatformCaller::connect(node.addr, recorder.clone()).await.expect("it listens");

    // A calm stretch: all stand, at both servers.
    assert_eq!(offer(&caller, 1..101).await, 100);
    assert!(one.set_ups() > 20 && two.set_ups() > 20);
    // Connections that break, and answers that cannot be read: every call is answered all the same.
    let (some, ()) = tokio::join!(offer(&caller, 101..201), async {
        for _ in 0..5 {
            tokio::time::sleep(Duration::from_millis(40)).await;
            one.close_connections();
        }
        one.set_behaviour(ServerBehaviour::Malformed);
        let before = one.set_ups();
        until(|| one.set_ups() > before + 3).await;
        one.set_behaviour(ServerBehaviour::Normal);
    });
    assert!(some > 80, "{some} of 100 stood");
    // A server that falls silent under way.
    let (some, ()) = tokio::join!(offer_unended(&caller, 201..301), async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        two.set_behaviour(ServerBehaviour::Silent);
    });
    assert!(some > 20, "{some} of 100 stood");
    // Another name server by SIGHUP; its list has a third server, and not the silent one.
    let moved = vec![listed("s-one", &one, 0), listed("s-three", &three, 2)];
    let other = NameServer::start(2, moved.clone()).await.expect("another name server");
    std::fs::write(&node.config, config(other.addr, &both)).expect("a new configuration");
    node.signal("-HUP");
    until(|| other.query_count() > 2).await;
    let stand = offer(&caller, 301..401).await;
    assert!(stand > 80 && three.set_ups() > 0, "{stand} of 100 stood, {} at the third", three.set_ups());
    // A configuration that cannot be read changes nothing.
    std::fs::write(&node.config, "{").expect("a broken configuration");
    node.signal("-HUP");
    assert!(offer(&caller, 401..451).await > 40);
    // SIGTERM: what comes in the hand-over is served, and the process ends by itself.
    let (stand, ()) = tokio::join!(offer_unended(&caller, 451..501), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        node.signal("-TERM");
    });
    assert!(stand > 40, "{stand} of 50 stood");
    assert_eq!(node.ended().await.code(), Some(0));
    audit(&recorder, 500);
}

/// As [`offer`], where ends may come late or to the next process.
async fn offer_unended(caller: &PlatformCaller, ids: std::ops::Range<u64>) -> usize {
    let mut answers = Vec::new();
    for id in ids {
        answers.push(caller.offer(&set_up(id), WAIT));
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
    let mut stand = 0;
    for (answer, _ended) in answers {
        stand += usize::from(matches!(soon(answer).await.expect("an answer"), SetUpOutcome::Established(_)));
    }
    stand
}

#[tokio::test]
async fn bad_clients_are_turned_away_within_3_s_and_disturb_nobody() {
    let recorder = Arc::new(Recorder::default());
    let one = PlatformServer::start(0, Duration::from_millis(50), recorder.clone()).await.expect("a server");
    let list = vec![listed("s-one", &one, 0)];
    let names = NameServer::start(1, list.clone()).await.expect("a name server");
    let mut node = Node::start("node-bad", &config(names.addr, &list)).await;
    let good = PlatformCaller::connect(node.addr, recorder.clone()).await.expect("it listens");
    assert_eq!(offer(&good, 1..11).await, 10);
    let no_id = set_up(0).to_bytes().expect("short");
    let huge = [&[0x40, 0x00, 1][..], &vec![b'x'; 60_000_000]].concat();
    let sent: Vec<(&str, Vec<u8>)> = vec![
        ("nothing", vec![]),
        ("half a message", no_id[..20].to_vec()),
        ("noise", vec![0xee; 500]),
        ("a length of nought", vec![0, 0, 0, 0]),
        ("no id", no_id),
        ("60 MB", huge),
    ];
    let bad = sent.into_iter().map(|(what, bytes)| {
        let addr = node.addr;
        tokio::spawn(async move {
            let mut stream = TcpStream::connect(addr).await.expect("it listens");
            // Its end may come while this is still being sent.
            let _ = stream.write_all(&bytes).await;
            let mut got = Vec::new();
            let read = tokio::time::timeout(Duration::from_secs(3), stream.read_to_end(&mut got)).await;
            assert!(read.is_ok(), "{what}: no close within 3 s");
            assert!(!got.windows(3).any(|bytes| bytes[2] == 9 && bytes[0] == 0), "{what}: answered {got:?}");
        })
    });
    let bad: Vec<_> = bad.collect();
    // More connections than there are descriptors; the usual caller goes on, and gets in anew.
    let mut idle = Vec::new();
    for _ in 0..400 {
        idle.push(TcpStream::connect(node.addr).await.expect("it listens"));
    }
    assert_eq!(offer(&good, 11..51).await, 40);
    let anew = PlatformCaller::connect(node.addr, recorder.clone()).await.expect("it listens still");
    assert_eq!(offer(&anew, 51..101).await, 50);
    for task in bad {
        task.await.expect("turned away");
    }
    drop(idle);
    node.signal("-TERM");
    assert_eq!(node.ended().await.code(), Some(0));
    audit(&recorder, 100);
}

/// Guards against a panic, or a node that serves nobody, where what it is told is of no use.
#[test]
fn a_wrong_configuration_ends_with_code_2_and_names_the_key() {
    let names: SocketAddr = ([127, 0, 0, 1], 9).into();
    let good = config(names, &[]);
    let wrong = [
        (None, "RELAY_CONFIG is not set"),
        (Some("{".to_owned()), "RELAY_CONFIG"),
        (Some(good.replace("\"127.0.0.1:0\"", "\"nowhere\"")), "key 'listen'"),
        (Some(good.replace("8c1f30d27a5be964", "seed?")), "key 'seed'"),
        (Some(good.replace("\"sockets\":256", "\"sockets\":3")), "limits.sockets"),
        (Some(good.replace("127.0.0.1:9", "x")), "key 'names'"),
        (Some(good.replace("\"worth\":1.0", "\"worth\":-1.0")), "key 'settings'"),
        (Some(good.replace("\"max-attempts\":5", "\"max-attempts\":0")), "key 'settings'"),
        (Some(good.replace("\"endpoints\":[]", "\"endpoints\":7")), "key 'known'"),
    ];
    for (i, (text, names)) in wrong.into_iter().enumerate() {
        let mut command = Command::new(env!("CARGO_BIN_EXE_baydrift"));
        command.arg("node").env_remove("RELAY_CONFIG");
        if let Some(text) = text {
            let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("wrong-{i}.json"));
            std::fs::write(&path, text).expect("a file");
            command.env("RELAY_CONFIG", path);
        }
        let output = command.output().expect("the program");
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{names}: {said}");
        assert!(said.contains(names), "{names}: {said}");
    }
}
