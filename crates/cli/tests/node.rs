//! The front node as a process, with stand-in servers and callers on loopback: calls, faults and signals,
//! with the five rules audited from the recorded traffic.

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
use common::{listed, set_up, wait_until, within_timeout, Node, CALLER_TIMEOUT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Offers calls at intervals of 3 ms and returns the number that are established. Each must be answered, and
/// the end of each established call must reach its caller.
async fn offer_calls(caller: &PlatformCaller, ids: std::ops::Range<u64>) -> usize {
    let mut answers = Vec::new();
    for id in ids {
        answers.push((id, caller.offer(&set_up(id), CALLER_TIMEOUT)));
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
    let mut established = 0;
    for (id, (answer, end)) in answers {
        match within_timeout(answer).await.expect("an answer") {
            SetUpOutcome::Established(description) => {
                assert_eq!(
                    description,
                    format!("from call {id}").into_bytes(),
                    "the server's description, unchanged"
                );
                established += 1;
                // Reported even if the connection to the server has failed meanwhile.
                within_timeout(end).await.expect("the end of the call");
            }
            SetUpOutcome::Rejected(_) => {}
            SetUpOutcome::Disconnected => panic!("call {id}: the connection ended"),
        }
    }
    established
}

fn audit(recorder: &Recorder, calls: usize) {
    let verdict = rules(&recorder.lines(), RuleLimits::default());
    assert_eq!(verdict.breaches, [], "{:#?}", verdict.breaches);
    assert_eq!((verdict.calls, verdict.answered), (calls, calls));
}

#[tokio::test]
async fn rules_hold_under_faults_and_signals() {
    let recorder = Arc::new(Recorder::default());
    let hold = Duration::from_millis(300);
    let server = |number| PlatformServer::start(number, hold, recorder.clone());
    let (one, two, three) = (server(0).await, server(1).await, server(2).await);
    let (one, two, three) = (one.expect("one"), two.expect("two"), three.expect("three"));
    let both = vec![listed("s-one", &one, 0), listed("s-two", &two, 1)];
    let name_server = NameServer::start(1, both.clone()).await.expect("a name server");
    let mut node = Node::start("node-calls", &config(name_server.addr, &both)).await;
    let caller = PlatformCaller::connect(node.addr, recorder.clone()).await.expect("listening");

    // Without faults, all calls are established, at both servers.
    assert_eq!(offer_calls(&caller, 1..101).await, 100);
    assert!(one.set_ups() > 20 && two.set_ups() > 20);
    // Broken connections and malformed answers: every call is still answered.
    let (established, ()) = tokio::join!(offer_calls(&caller, 101..201), async {
        for _ in 0..5 {
            tokio::time::sleep(Duration::from_millis(40)).await;
            one.close_connections();
        }
        one.set_behaviour(ServerBehaviour::Malformed);
        let before = one.set_ups();
        wait_until(|| one.set_ups() > before + 3).await;
        one.set_behaviour(ServerBehaviour::Normal);
    });
    assert!(established > 80, "{established} of 100 established");
    // A server that stops answering while calls are offered.
    let (established, ()) = tokio::join!(offer_without_ends(&caller, 201..301), async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        two.set_behaviour(ServerBehaviour::Silent);
    });
    assert!(established > 20, "{established} of 100 established");
    // SIGHUP changes to another name server, whose list has a third server instead of the silent one.
    let new_list = vec![listed("s-one", &one, 0), listed("s-three", &three, 2)];
    let other_name_server = NameServer::start(2, new_list.clone()).await.expect("another name server");
    std::fs::write(&node.config, config(other_name_server.addr, &both)).expect("a new configuration");
    node.signal("-HUP");
    wait_until(|| other_name_server.query_count() > 2).await;
    let established = offer_calls(&caller, 301..401).await;
    assert!(
        established > 80 && three.set_ups() > 0,
        "{established} of 100 established, {} at the third",
        three.set_ups()
    );
    // An invalid configuration file is ignored.
    std::fs::write(&node.config, "{").expect("a broken configuration");
    node.signal("-HUP");
    assert!(offer_calls(&caller, 401..451).await > 40);
    // SIGTERM: calls that arrive during the drain are served, and then the process exits.
    let (established, ()) = tokio::join!(offer_without_ends(&caller, 451..501), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        node.signal("-TERM");
    });
    assert!(established > 40, "{established} of 50 established");
    assert_eq!(node.exited().await.code(), Some(0));
    audit(&recorder, 500);
}

/// As [`offer_calls`], but does not wait for the ends of calls, which may come late or reach the next
/// process.
async fn offer_without_ends(caller: &PlatformCaller, ids: std::ops::Range<u64>) -> usize {
    let mut answers = Vec::new();
    for id in ids {
        answers.push(caller.offer(&set_up(id), CALLER_TIMEOUT));
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
    let mut established = 0;
    for (answer, _end) in answers {
        established += usize::from(matches!(
            within_timeout(answer).await.expect("an answer"),
            SetUpOutcome::Established(_)
        ));
    }
    established
}

#[tokio::test]
async fn malformed_clients_are_closed_within_3_s_without_harm_to_others() {
    let recorder = Arc::new(Recorder::default());
    let one = PlatformServer::start(0, Duration::from_millis(50), recorder.clone()).await.expect("a server");
    let list = vec![listed("s-one", &one, 0)];
    let name_server = NameServer::start(1, list.clone()).await.expect("a name server");
    let mut node = Node::start("node-bad", &config(name_server.addr, &list)).await;
    let regular = PlatformCaller::connect(node.addr, recorder.clone()).await.expect("listening");
    assert_eq!(offer_calls(&regular, 1..11).await, 10);
    let no_id = set_up(0).to_bytes().expect("short");
    let huge = [&[0x40, 0x00, 1][..], &vec![b'x'; 60_000_000]].concat();
    let inputs: Vec<(&str, Vec<u8>)> = vec![
        ("no bytes", vec![]),
        ("half a message", no_id[..20].to_vec()),
        ("noise", vec![0xee; 500]),
        ("a length of zero", vec![0, 0, 0, 0]),
        ("no id", no_id),
        ("60 MB", huge),
    ];
    let clients = inputs.into_iter().map(|(input, bytes)| {
        let addr = node.addr;
        tokio::spawn(async move {
            let mut stream = TcpStream::connect(addr).await.expect("listening");
            // The node may close the connection while this is still being sent.
            let _ = stream.write_all(&bytes).await;
            let mut got = Vec::new();
            let read = tokio::time::timeout(Duration::from_secs(3), stream.read_to_end(&mut got)).await;
            assert!(read.is_ok(), "{input}: no close within 3 s");
            assert!(!got.windows(3).any(|bytes| bytes[2] == 9 && bytes[0] == 0), "{input}: answered {got:?}");
        })
    });
    let clients: Vec<_> = clients.collect();
    // More idle connections than descriptors: the regular caller is still served, and can connect again.
    let mut idle = Vec::new();
    for _ in 0..400 {
        idle.push(TcpStream::connect(node.addr).await.expect("listening"));
    }
    assert_eq!(offer_calls(&regular, 11..51).await, 40);
    let reconnected = PlatformCaller::connect(node.addr, recorder.clone()).await.expect("still listening");
    assert_eq!(offer_calls(&reconnected, 51..101).await, 50);
    for task in clients {
        task.await.expect("closed");
    }
    drop(idle);
    node.signal("-TERM");
    assert_eq!(node.exited().await.code(), Some(0));
    audit(&recorder, 100);
}

/// Guards against a panic, or a node that starts but serves nobody, on an invalid configuration.
#[test]
fn invalid_configuration_exits_with_code_2_and_names_the_key() {
    let name_server: SocketAddr = ([127, 0, 0, 1], 9).into();
    let valid = config(name_server, &[]);
    let cases = [
        (None, "RELAY_CONFIG is not set"),
        (Some("{".to_owned()), "RELAY_CONFIG"),
        (Some(valid.replace("\"127.0.0.1:0\"", "\"nowhere\"")), "key 'listen'"),
        (Some(valid.replace("8c1f30d27a5be964", "seed?")), "key 'seed'"),
        (Some(valid.replace("\"sockets\":256", "\"sockets\":3")), "limits.sockets"),
        (Some(valid.replace("127.0.0.1:9", "x")), "key 'names'"),
        (Some(valid.replace("\"worth\":1.0", "\"worth\":-1.0")), "key 'settings'"),
        (Some(valid.replace("\"max-attempts\":5", "\"max-attempts\":0")), "key 'settings'"),
        (Some(valid.replace("\"endpoints\":[]", "\"endpoints\":7")), "key 'known'"),
    ];
    for (i, (text, expected)) in cases.into_iter().enumerate() {
        let mut command = Command::new(env!("CARGO_BIN_EXE_baydrift"));
        command.arg("node").env_remove("RELAY_CONFIG");
        if let Some(text) = text {
            let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("wrong-{i}.json"));
            std::fs::write(&path, text).expect("a file");
            command.env("RELAY_CONFIG", path);
        }
        let output = command.output().expect("the program");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{expected}: {stderr}");
        assert!(stderr.contains(expected), "{expected}: {stderr}");
    }
}
