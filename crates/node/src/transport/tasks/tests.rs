//! Tests of the listener and of the socket to the name server.

use std::io::Write;
use std::net::TcpStream as StdStream;

use super::super::input::input_queue;
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
        let (core, mut inputs) = input_queue(1_000);
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
        let (core, mut inputs) = input_queue(1_000);
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

/// A name server's socket, and a resolver that queries it.
async fn resolver(core: &InputSender) -> (UdpSocket, Resolver) {
    let server = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let resolver = Resolver::new(server.local_addr().expect("its address"), core).expect("a socket");
    (server, resolver)
}

/// Sends a query and returns the port that it came from.
async fn query_port(server: &UdpSocket, resolver: &mut Resolver, new_port: bool) -> SocketAddr {
    resolver.send_query(b"question", new_port);
    server.recv_from(&mut [0; 64]).await.expect("queried").1
}

/// The next `count` discovery answers, sorted.
async fn answers(inputs: &mut mpsc::Receiver<Arrival>, count: usize) -> Vec<Vec<u8>> {
    let mut answers = Vec::new();
    while answers.len() < count {
        match inputs.recv().await.map(|arrival| arrival.input) {
            Some(Input::DiscoveryAnswer(bytes)) => answers.push(bytes),
            other => panic!("{other:?}"),
        }
    }
    answers.sort();
    answers
}

/// Guards against a dropped flow to the name server, since a query with `new_port` is sent from another port,
/// and against the loss of slow answers: those to the former port are received as well.
#[test]
fn new_port_query_is_sent_from_another_port() {
    run(async {
        let (core, mut inputs) = input_queue(10);
        let (server, mut resolver) = resolver(&core).await;
        let mut ports = Vec::new();
        for new_port in [false, false, true] {
            ports.push(query_port(&server, &mut resolver, new_port).await);
        }
        assert!(ports[0] == ports[1] && ports[1].port() != ports[2].port(), "{ports:?}");
        server.send_to(b"late", ports[0]).await.expect("sent");
        server.send_to(b"new", ports[2]).await.expect("sent");
        assert_eq!(answers(&mut inputs, 2).await, [b"late".to_vec(), b"new".to_vec()]);
        // Datagrams from other addresses are ignored, whatever port they come to.
        let other = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        for port in [ports[0], ports[2]] {
            other.send_to(b"wrong", port).await.expect("sent");
            server.send_to(b"right", port).await.expect("sent");
        }
        assert_eq!(answers(&mut inputs, 2).await, [b"right".to_vec(), b"right".to_vec()]);
    });
}

/// Guards against descriptors that run out while the name server is silent: the oldest ports are closed.
#[test]
fn number_of_open_resolver_ports_is_bounded() {
    run(async {
        let (core, mut inputs) = input_queue(100);
        let (server, mut resolver) = resolver(&core).await;
        let mut ports = Vec::new();
        for _ in 0..3 * RESOLVER_PORTS_MAX {
            ports.push(query_port(&server, &mut resolver, true).await);
        }
        for (number, port) in (0u8..).zip(&ports) {
            server.send_to(&[number], *port).await.expect("sent");
        }
        let newest: Vec<_> = (0u8..).map(|n| vec![n]).take(ports.len()).collect();
        let newest = &newest[ports.len() - RESOLVER_PORTS_MAX..];
        assert_eq!(answers(&mut inputs, RESOLVER_PORTS_MAX).await, newest);
    });
}

/// Guards against memory that grows with the length of the messages that wait, since they were bounded in number alone.
#[test]
fn waiting_messages_are_bounded_in_memory() {
    run(async {
        let (core, mut inputs) = input_queue(1_000);
        let large = || Input::DiscoveryAnswer(vec![0; 1 << 20]);
        let sent = async {
            for _ in 0..100 {
                core.send(large()).await.expect("the core is there");
            }
        };
        assert!(tokio::time::timeout(Duration::from_millis(50), sent).await.is_err(), "the sender waits");
        let mut waiting: Vec<_> = std::iter::from_fn(|| inputs.try_recv().ok()).collect();
        assert_eq!(waiting.len(), 3);
        // One that is processed makes room for another.
        waiting.pop();
        core.send(large()).await.expect("the core is there");
    });
}
