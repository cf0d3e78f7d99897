//! Tests of one connection on loopback: writes, and graceful closes.

use std::future::Future;
use std::sync::mpsc as std_mpsc;
use std::time::Duration;

use baydrift_platform::{CallId, Cause, MessageType, ParameterCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::super::input::input_queue;
use super::*;

/// Time-out of each test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test on its own thread, so that a blocked runtime is detected.
fn run<F: Future<Output = ()>>(test: impl FnOnce() -> F + Send + 'static) {
    let (done, finished) = std_mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, test());
        done.send(()).expect("the test waits");
    });
    match finished.recv_timeout(TEST_TIMEOUT) {
        Ok(()) => {}
        Err(std_mpsc::RecvTimeoutError::Timeout) => panic!("the test thread is blocked"),
        Err(std_mpsc::RecvTimeoutError::Disconnected) => panic!("the test thread has failed"),
    }
}

/// Opens a connection and returns it with the peer's stream.
async fn connected() -> (Rc<Connection>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let stream = TcpStream::connect(listener.local_addr().expect("its address")).await.expect("up");
    let (peer, _) = listener.accept().await.expect("accepted");
    (Connection::new(stream, Duration::from_secs(60), None), peer)
}

fn set_up(id: u64) -> Message {
    Message::new(MessageType::SetUp, CallId(id.to_be_bytes()))
        .with(ParameterCode::DESCRIPTION, vec![b'x'; 100])
}

fn bytes(messages: impl IntoIterator<Item = Message>) -> Vec<u8> {
    messages.into_iter().flat_map(|message| message.to_bytes().expect("short")).collect()
}

/// Guards against a write to a connection that was reset before its reader noticed: the socket stays
/// writable, and a flush that retried on errors blocked the whole node.
#[test]
fn write_after_a_reset_does_not_block() {
    run(|| async {
        let (conn, peer) = connected().await;
        conn.stream.writable().await.expect("it is writable");
        conn.write(b"not read");
        peer.readable().await.expect("it has come");
        // Unread data turns the close into a reset.
        drop(peer);
        // Polled without await, so that no task sees the reset before the write.
        while conn.stream.take_error().expect("its state").is_none() {
            std::thread::yield_now();
        }
        conn.write(b"too late");
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
    });
}

/// Guards against the reset that a close with unread bytes causes, which
/// destroys data that the peer has not read.
#[test]
fn written_data_arrives_despite_unread_input() {
    run(|| async {
        let (conn, mut peer) = connected().await;
        // The core's queue holds one message: the others stay in the socket and in the reader.
        let (core, _inputs) = input_queue(1);
        let reader = tokio::task::spawn_local(conn.clone().read(LinkId(1), core));
        peer.write_all(&bytes((0..2_000).map(set_up))).await.expect("sent");
        // Partly more than the socket accepts at once.
        let answers: Vec<u8> =
            (0..u32::try_from(UNSENT_MAX / 4).expect("small")).flat_map(u32::to_be_bytes).collect();
        for part in answers.chunks(10_000) {
            conn.write(part);
        }
        let inputs = _inputs;
        conn.close();
        drop(inputs);
        let mut got = Vec::new();
        let read = tokio::time::timeout(TEST_TIMEOUT, peer.read_to_end(&mut got)).await.expect("an end");
        assert!(read.is_ok(), "not a graceful close: {read:?}");
        assert!(got == answers, "{} of {} bytes", got.len(), answers.len());
        reader.await.expect("the reader ends");
    });
}

/// Guards against invalid input that destroys answers in flight: it closes the connection gracefully.
#[test]
fn invalid_input_closes_gracefully() {
    run(|| async {
        let (conn, mut peer) = connected().await;
        let (core, mut inputs) = input_queue(100);
        let reader = tokio::task::spawn_local(conn.clone().read(LinkId(1), core));
        let answers = vec![7; UNSENT_MAX];
        answers.chunks(10_000).for_each(|part| conn.write(part));
        peer.write_all(&[0xff; 100_000]).await.expect("sent");
        assert!(matches!(inputs.recv().await.map(|arrival| arrival.input), Some(Input::CallerDown(_))));
        let mut got = Vec::new();
        let read = tokio::time::timeout(TEST_TIMEOUT, peer.read_to_end(&mut got)).await.expect("an end");
        assert!(read.is_ok() && got == answers, "{read:?}, {} bytes", got.len());
        drop(peer);
        reader.await.expect("the reader ends");
    });
}

/// Guards against descriptors held by peers that never close: a closed connection is dropped within a bounded
/// time, whether the peer keeps sending or is silent, and at once if nothing was written recently.
#[test]
fn closed_connection_is_dropped_in_time() {
    run(|| async {
        for (recent, sends) in [(true, false), (true, true), (false, false), (false, true)] {
            let (conn, mut peer) = connected().await;
            let (core, _inputs) = input_queue(1);
            let reader = tokio::task::spawn_local(conn.clone().read(LinkId(1), core));
            if recent {
                conn.write(b"an answer");
            }
            let sender = tokio::task::spawn_local(async move {
                while sends && peer.write_all(&[1; 1_000]).await.is_ok() {
                    tokio::task::yield_now().await;
                }
                // Keeps the peer's end open until the end of the test.
                std::future::pending::<()>().await;
            });
            drop(_inputs);
            let from = Instant::now();
            conn.close();
            tokio::time::timeout(TEST_TIMEOUT, reader).await.expect("in time").expect("the reader ends");
            let took = from.elapsed();
            assert!(took < LINGER_TIMEOUT * 3, "recent {recent}, sends {sends}: {took:?}");
            assert!(recent || took < LINGER_TIMEOUT / 2, "sends {sends}: {took:?}");
            sender.abort();
        }
    });
}

/// Guards against set-ups that are processed although their caller has closed the connection: its releases
/// are processed, its set-ups are not.
#[test]
fn peer_close_makes_unread_set_ups_obsolete() {
    run(|| async {
        let (conn, mut peer) = connected().await;
        let (core, mut inputs) = input_queue(1);
        let reader = tokio::task::spawn_local(conn.clone().read(LinkId(1), core));
        let release = Message::release(CallId([7; 8]), Cause::NORMAL);
        // Fits into the socket's buffer before anything is read, so that the close has arrived as well.
        peer.write_all(&bytes((0..400).map(set_up).chain([release.clone()]))).await.expect("sent");
        peer.shutdown().await.expect("closed");
        // Everything has arrived, but nothing is read yet.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let (mut offers, mut releases) = (0, 0);
        while let Some(arrival) = inputs.recv().await {
            match arrival.input {
                Input::FromCaller(_, message) if message == release => releases += 1,
                Input::FromCaller(..) => offers += 1,
                Input::CallerPartial(_) => {}
                Input::CallerDown(_) => break,
                other => panic!("{other:?}"),
            }
        }
        assert!(offers <= READ_BYTES / 100, "{offers} of 400 set-ups, more than one read returns");
        assert_eq!(releases, 1);
        reader.await.expect("the reader ends");
    });
}
