//! Tests of the listener and of the socket to the name server.

use std::io::Write;
use std::net::TcpStream as StdStream;

use super::*;

/// Time-out of each test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let test = async { tokio::time::timeout(TEST_TIMEOUT, test).await.expect("in time") };
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Opens connections that stay in the kernel's accept queue, with data in them.
fn connected(listener: &TcpListener, count: usize) -> Vec<StdStream> {
    let addr = listener.local_addr().expect("its address");
    let connect = |_| {
        let mut stream = StdStream::connect(addr).expect("the kernel accepts it");
        stream.write_all(b"a whole set-up").expect("sent");
        stream
    };
    (0..count).map(connect).collect()
}

/// Guards against a listener that closes with connections in the kernel's accept queue, which would be reset
/// with their data. There are more than slots, and nearly as many as the queue may hold.
#[test]
fn stopping_listener_drains_the_accept_queue() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let addr = listener.local_addr().expect("its address");
        let _callers = connected(&listener, 100);
        let (core, mut inputs) = mpsc::channel(1_000);
        let stop_accepting = Rc::new(Notify::new());
        // Notified before the listener has accepted anything.
        stop_accepting.notify_one();
        listen(listener, core, Arc::new(Semaphore::new(3)), stop_accepting).await;
        let mut taken = Vec::new();
        while let Ok(Arrival { input: Input::CallerUp(link, _), conn: Some(conn), .. }) = inputs.try_recv() {
            taken.push((link, conn));
        }
        assert_eq!(taken.len(), 100);
        assert!(TcpStream::connect(addr).await.is_err(), "no further connection is accepted");
    });
}

/// Guards against callers that use up all descriptors: no more are accepted than there are slots, and a
/// closed connection frees its slot for the next.
#[test]
fn listener_accepts_no_more_connections_than_slots() {
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

/// Guards against a dropped flow to the name server: a query with `new_port` is sent from another port, and
/// datagrams to the old port are ignored.
#[test]
fn new_port_query_is_sent_from_another_port() {
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
        // Datagrams from other addresses are ignored as well.
        let other = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        other.send_to(b"wrong", ports[2]).await.expect("sent");
        server.send_to(b"right", ports[2]).await.expect("sent");
        let input = inputs.recv().await.map(|arrival| arrival.input);
        assert!(matches!(&input, Some(Input::DiscoveryAnswer(bytes)) if bytes == b"right"), "{input:?}");
    });
}
