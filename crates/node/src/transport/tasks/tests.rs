//! The listener's end, and the ways to the name server and to others.

use std::io::Write;
use std::net::TcpStream as StdStream;

use super::*;

/// Nothing here takes longer, unless it never comes.
const LONG: Duration = Duration::from_secs(20);

fn run(what: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let what = async { tokio::time::timeout(LONG, what).await.expect("in time") };
    tokio::task::LocalSet::new().block_on(&runtime, what);
}

/// Connections that the kernel has taken, with bytes in them.
fn connected(listener: &TcpListener, count: usize) -> Vec<StdStream> {
    let addr = listener.local_addr().expect("its address");
    let connect = |_| {
        let mut stream = StdStream::connect(addr).expect("the kernel takes it");
        stream.write_all(b"a whole set-up").expect("sent");
        stream
    };
    (0..count).map(connect).collect()
}

/// Guards against a listener that closes with connections in the kernel's queue: they and what was sent on
/// them would be reset. More than there are slots for, and nearly as many as a kernel may hold.
#[test]
fn a_listener_that_ends_takes_what_the_kernel_had_taken() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let addr = listener.local_addr().expect("its address");
        let _callers = connected(&listener, 100);
        let (core, mut inputs) = mpsc::channel(1_000);
        let stop_accepting = Rc::new(Notify::new());
        // Told before the listener has had one look.
        stop_accepting.notify_one();
        listen(listener, core, Arc::new(Semaphore::new(3)), stop_accepting).await;
        let mut taken = Vec::new();
        while let Ok(Arrival { input: Input::CallerUp(link, _), conn: Some(conn), .. }) = inputs.try_recv() {
            taken.push((link, conn));
        }
        assert_eq!(taken.len(), 100);
        assert!(TcpStream::connect(addr).await.is_err(), "and nothing after it");
    });
}

/// Guards against callers who take all descriptors at once: no more are accepted than there are slots, and
/// one that ends makes room for the next.
#[test]
fn a_listener_accepts_no_more_than_there_are_slots() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let _callers = connected(&listener, 50);
        let (core, mut inputs) = mpsc::channel(1_000);
        let slots = Arc::new(Semaphore::new(7));
        spawn_local(listen(listener, core, slots.clone(), Rc::new(Notify::new())));
        let mut taken = Vec::new();
        for _ in 0..7 {
            taken.push(inputs.recv().await.expect("accepted"));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(inputs.try_recv().is_err(), "the eighth waits");
        for _ in 0..43 {
            drop(taken.remove(0));
            taken.push(inputs.recv().await.expect("accepted"));
        }
    });
}

/// Guards against a way to the name server that stays quiet: what is asked new_port leaves from another port,
/// and what comes to the old one counts no more.
#[test]
fn a_question_that_is_asked_anew_leaves_from_another_port() {
    run(async {
        let server = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let (core, mut inputs) = mpsc::channel(10);
        let mut resolver = Resolver::new(server.local_addr().expect("its address"), &core).expect("a socket");
        let mut buffer = [0; 64];
        let mut ports = Vec::new();
        for new_port in [false, false, true] {
            resolver.send_query(b"question", new_port);
            ports.push(server.recv_from(&mut buffer).await.expect("asked").1);
        }
        assert!(ports[0] == ports[1] && ports[1].port() != ports[2].port(), "{ports:?}");
        server.send_to(b"old", ports[0]).await.expect("sent");
        server.send_to(b"new", ports[2]).await.expect("sent");
        let input = inputs.recv().await.map(|arrival| arrival.input);
        assert!(matches!(&input, Some(Input::DiscoveryAnswer(bytes)) if bytes == b"new"), "{input:?}");
        // Nor does anything count that comes from elsewhere.
        let other = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        other.send_to(b"wrong", ports[2]).await.expect("sent");
        server.send_to(b"right", ports[2]).await.expect("sent");
        let input = inputs.recv().await.map(|arrival| arrival.input);
        assert!(matches!(&input, Some(Input::DiscoveryAnswer(bytes)) if bytes == b"right"), "{input:?}");
    });
}
