//! One connection on loopback: what is written to it, and how it ends.

use std::future::Future;
use std::sync::mpsc as std_mpsc;
use std::time::Duration;

use baydrift_platform::{CallId, Cause, MessageType, ParameterCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

/// Nothing here takes longer, unless it never comes.
const LONG: Duration = Duration::from_secs(20);

/// Runs it on a thread of its own, so that one that stands still is seen.
fn run<F: Future<Output = ()>>(what: impl FnOnce() -> F + Send + 'static) {
    let (done, finished) = std_mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, what());
        done.send(()).expect("the test waits");
    });
    match finished.recv_timeout(LONG) {
        Ok(()) => {}
        Err(std_mpsc::RecvTimeoutError::Timeout) => panic!("the thread stands still"),
        Err(std_mpsc::RecvTimeoutError::Disconnected) => panic!("the thread has failed"),
    }
}

/// A line and the other side of it.
async fn connected() -> (Rc<Line>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let stream = TcpStream::connect(listener.local_addr().expect("its address")).await.expect("up");
    let (peer, _) = listener.accept().await.expect("accepted");
    (Line::new(stream, Duration::from_secs(60), None), peer)
}

fn set_up(id: u64) -> Message {
    Message::new(MessageType::SetUp, CallId(id.to_be_bytes()))
        .with(ParameterCode::DESCRIPTION, vec![b'x'; 100])
}

fn bytes(messages: impl IntoIterator<Item = Message>) -> Vec<u8> {
    messages.into_iter().flat_map(|message| message.to_bytes().expect("short")).collect()
}

/// Guards against a write to a connection that was reset a moment ago, before its reader saw it: the socket is
/// 'writable' for ever, and a flush that tried again on an error stood the whole node still.
#[test]
fn a_write_after_a_reset_holds_up_nobody() {
    run(|| async {
        let (line, peer) = connected().await;
        line.stream.writable().await.expect("it is writable");
        line.write(b"not read");
        peer.readable().await.expect("it has come");
        // What it has not read makes its end a reset.
        drop(peer);
        // Not awaited: nobody may see the reset before the write.
        while line.stream.take_error().expect("its state").is_none() {
            std::thread::yield_now();
        }
        line.write(b"too late");
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
    });
}

/// Guards against a close with unread bytes, which is a reset: it takes along what was written and not read yet.
#[test]
fn what_was_written_arrives_before_the_end_though_bytes_lie_unread() {
    run(|| async {
        let (line, mut peer) = connected().await;
        // The core takes one message and no more: the others lie in the socket and in the reader.
        let (core, _inputs) = mpsc::channel(1);
        let reader = tokio::task::spawn_local(line.clone().read(LinkId(1), core));
        peer.write_all(&bytes((0..2_000).map(set_up))).await.expect("sent");
        // More than a socket takes at once, in part.
        let answers: Vec<u8> =
            (0..u32::try_from(UNSENT_MAX / 4).expect("small")).flat_map(u32::to_be_bytes).collect();
        for part in answers.chunks(10_000) {
            line.write(part);
        }
        let inputs = _inputs;
        line.close();
        drop(inputs);
        let mut got = Vec::new();
        let read = tokio::time::timeout(LONG, peer.read_to_end(&mut got)).await.expect("an end");
        assert!(read.is_ok(), "an orderly end: {read:?}");
        assert!(got == answers, "{} of {} bytes", got.len(), answers.len());
        reader.await.expect("it let go");
    });
}

/// Guards against input that cannot be read while answers are on their way: it ends its connection, and not them.
#[test]
fn spoilt_input_ends_a_connection_without_a_reset() {
    run(|| async {
        let (line, mut peer) = connected().await;
        let (core, mut inputs) = mpsc::channel(100);
        let reader = tokio::task::spawn_local(line.clone().read(LinkId(1), core));
        let answers = vec![7; UNSENT_MAX];
        answers.chunks(10_000).for_each(|part| line.write(part));
        peer.write_all(&[0xff; 100_000]).await.expect("sent");
        assert!(matches!(inputs.recv().await.map(|arrival| arrival.input), Some(Input::CallerDown(_))));
        let mut got = Vec::new();
        let read = tokio::time::timeout(LONG, peer.read_to_end(&mut got)).await.expect("an end");
        assert!(read.is_ok() && got == answers, "{read:?}, {} bytes", got.len());
        drop(peer);
        reader.await.expect("it let go");
    });
}

/// Guards against descriptors held by those who never close: a closed connection is let go of within a bounded time,
/// whether its other side sends on or is silent, and at once where nothing was written lately.
#[test]
fn a_closed_connection_is_let_go_of_in_time() {
    run(|| async {
        for (lately, sends) in [(true, false), (true, true), (false, false), (false, true)] {
            let (line, mut peer) = connected().await;
            let (core, _inputs) = mpsc::channel(1);
            let reader = tokio::task::spawn_local(line.clone().read(LinkId(1), core));
            if lately {
                line.write(b"an answer");
            }
            let sender = tokio::task::spawn_local(async move {
                while sends && peer.write_all(&[1; 1_000]).await.is_ok() {
                    tokio::task::yield_now().await;
                }
                // Held open until the end of the test.
                std::future::pending::<()>().await;
            });
            drop(_inputs);
            let from = Instant::now();
            line.close();
            tokio::time::timeout(LONG, reader).await.expect("in time").expect("it let go");
            let took = from.elapsed();
            assert!(took < LINGER * 3, "lately {lately}, sends {sends}: {took:?}");
            assert!(lately || took < LINGER / 2, "sends {sends}: {took:?}");
            sender.abort();
        }
    });
}

/// Guards against set-ups that are read one by one though their caller has closed behind them: what it releases counts,
/// what it asks for does not.
#[test]
fn a_close_counts_before_the_bytes_in_front_of_it_have_been_read() {
    run(|| async {
        let (line, mut peer) = connected().await;
        let (core, mut inputs) = mpsc::channel(1);
        let reader = tokio::task::spawn_local(line.clone().read(LinkId(1), core));
        let release = Message::release(CallId([7; 8]), Cause::NORMAL);
        // Within what a socket takes before any is read, so that the close is there as well.
        peer.write_all(&bytes((0..400).map(set_up).chain([release.clone()]))).await.expect("sent");
        peer.shutdown().await.expect("closed");
        // It has come here, unread as it is.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let (mut offers, mut releases) = (0, 0);
        while let Some(arrival) = inputs.recv().await {
            match arrival.input {
                Input::FromCaller(_, message) if message == release => releases += 1,
                Input::FromCaller(..) => offers += 1,
                Input::CallerPart(_) => {}
                Input::CallerDown(_) => break,
                other => panic!("{other:?}"),
            }
        }
        assert!(offers <= READ / 100, "{offers} of 400: those of one read");
        assert_eq!(releases, 1);
        reader.await.expect("it let go");
    });
}
