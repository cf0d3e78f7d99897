//! The memory of a front node as a process, while clients send at full speed what costs them little. A regular
//! caller must be answered all the while.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift_audit::Recorder;
use baydrift_platform::{Message, ParameterCode};
use baydrift_standin::{relay_config, NameServer, PlatformCaller, PlatformServer, SetUpOutcome};
use common::{listed, set_up, within_timeout, Node, CALLER_TIMEOUT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

/// The least memory that the platform gives a front node.
const MEMORY_MAX_KIB: u64 = 32 * 1_024;
/// How long the clients send.
const DURATION: Duration = Duration::from_secs(3);
/// Pause of a client after each burst, so that the regular caller in this process is not starved.
const BURST_PAUSE: Duration = Duration::from_millis(2);
/// Interval between two calls of the regular caller.
const CALL_INTERVAL: Duration = Duration::from_millis(50);
/// How long an established call lasts.
const CALL_DURATION: Duration = Duration::from_millis(200);
/// Call ids of the regular caller begin here; those of the others lie above.
const REGULAR_IDS: u64 = 1;
/// Call ids that each of the other clients may use.
const IDS_PER_CLIENT: u64 = 1 << 32;

/// One test at a time, since each of them loads the machine.
static MACHINE: Mutex<()> = Mutex::const_new(());

/// What a client sends at once, with call ids from the given one on.
type Burst = fn(u64) -> Vec<Message>;

/// Sends one burst after another, reconnecting when closed, and reads and discards all replies.
fn spawn_client(to: SocketAddr, first_id: u64, burst: Burst) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut id = first_id;
        while let Ok(stream) = TcpStream::connect(to).await {
            let (mut reader, mut writer) = stream.into_split();
            let discard = tokio::spawn(async move {
                let mut buffer = vec![0; 16_384];
                while reader.read(&mut buffer).await.is_ok_and(|n| n > 0) {}
            });
            loop {
                let messages = burst(id);
                id += messages.len() as u64;
                let mut bytes = Vec::new();
                messages.iter().for_each(|message| message.write(&mut bytes).expect("short enough"));
                if writer.write_all(&bytes).await.is_err() {
                    break;
                }
                tokio::time::sleep(BURST_PAUSE).await;
            }
            discard.abort();
        }
    })
}

/// Anonymous memory of a process in KiB.
fn memory_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("a line on memory");
    line.split_whitespace().next().and_then(|kib| kib.parse().ok()).expect("a number")
}

/// Lets clients send for [`DURATION`]. Asserts that the node stays within its memory and answers every call of the
/// regular caller; returns how many of those are established, and their number.
async fn flood(test: &str, clients: u64, burst: Burst) -> (usize, usize) {
    let _alone = MACHINE.lock().await;
    let recorder = Arc::new(Recorder::default());
    let server = |number| PlatformServer::start(number, CALL_DURATION, recorder.clone());
    let (one, two) = (server(0).await.expect("a server"), server(1).await.expect("a server"));
    let list = vec![listed("s-one", &one, 0), listed("s-two", &two, 1)];
    let name_server = NameServer::start(1, list.clone()).await.expect("a name server");
    let node = Node::start(test, &relay_config(name_server.addr, &list)).await;
    let process = node.child.id().expect("it runs");
    let regular = PlatformCaller::connect(node.addr, recorder.clone()).await.expect("listening");
    let senders: Vec<_> =
        (1..=clients).map(|client| spawn_client(node.addr, client * IDS_PER_CLIENT, burst)).collect();
    let (mut answers, mut most) = (Vec::new(), 0);
    let calls = (DURATION.as_millis() / CALL_INTERVAL.as_millis()) as u64;
    for id in REGULAR_IDS..REGULAR_IDS + calls {
        answers.push(regular.offer(&set_up(id), CALLER_TIMEOUT));
        tokio::time::sleep(CALL_INTERVAL).await;
        most = most.max(memory_kib(process));
    }
    let mut established = 0;
    for (answer, _end) in answers {
        match within_timeout(answer).await.expect("an answer") {
            SetUpOutcome::Established(_) => established += 1,
            SetUpOutcome::Rejected(_) => {}
            SetUpOutcome::Disconnected => panic!("the regular caller's connection ended"),
        }
        most = most.max(memory_kib(process));
    }
    senders.iter().for_each(JoinHandle::abort);
    println!("{test}: at most {most} KiB, {established} of {calls} calls established");
    assert!(most <= MEMORY_MAX_KIB, "{most} KiB");
    (established, calls as usize)
}

fn with(id: u64, code: u8, value: impl Into<String>) -> Message {
    let mut message = set_up(id);
    message.parameters.retain(|(own, _)| *own != code);
    message.with(code, value.into())
}

/// Guards against messages that take many times their size in memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn memory_is_bounded_while_set_ups_have_thousands_of_short_parameters() {
    flood("memory-parameters", 80, |id| {
        let mut message = set_up(id);
        message.parameters.extend((0..5_000).map(|_| (7, Vec::new().into())));
        vec![message]
    })
    .await;
}

/// Guards against set-ups whose attributes take most of the time, so that others wait for their answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn memory_is_bounded_while_set_ups_have_thousands_of_short_attributes() {
    let (established, calls) =
        flood("memory-attributes", 40, |id| vec![with(id, ParameterCode::ATTRIBUTES, "x:1;".repeat(3_900))])
            .await;
    assert!(established * 2 > calls, "{established} of {calls}");
}
