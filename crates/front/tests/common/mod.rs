//! A front with stand-in servers on loopback, and a minimal Diameter client.

#![allow(dead_code)] // Each test file uses a part of this module.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift::interface::Report;
use baydrift_audit::{RecordEvent, Recorder};
use baydrift_diameter::credit::{self, Endpoints, RequestType};
use baydrift_diameter::{code, dict, result, Avp, Codec, Frame, Message};
use baydrift_front::{Bound, Front, Snapshot};
use baydrift_standin::{ProcessorSpec, Server, ServerSpec};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

pub struct Fixture {
    pub front: Front,
    pub servers: Vec<Server>,
    pub recorder: Arc<Recorder>,
    pub addr: SocketAddr,
}

/// Starts a front and the given number of servers, each of which sets a call up in 20 ms. `more` is appended
/// to the configuration. A client `c1.test` of realm `test` may open two connections.
pub async fn fixture(servers: u16, more: &str) -> Fixture {
    let recorder = Arc::new(Recorder::default());
    let mut text = "front \"front.test\" realm=\"test\" {\n listen \"127.0.0.1:0\"\n serves \"core.test\"\n watchdog \
                    \"500ms\"\n stop-within \"800ms\"\n seed 5\n}\nclass \"grid\" { context \"grid@test\"; gives-up \
                    \"3s\"; }\nclient \"c1.test\" realm=\"test\" connections=2\n"
        .to_owned();
    text += more;
    let mut all = Vec::new();
    for number in 0..servers {
        let server = Server::start(spec(number), recorder.clone(), 1).await.expect("a socket");
        text += &format!(
            "\nserver \"s{number}.test\" realm=\"core.test\" number={number} addr=\"{}\"",
            server.addr
        );
        all.push(server);
    }
    let config = baydrift_config::parse("test.kdl", &text).unwrap_or_else(|e| panic!("{:?}", e.problems));
    let front = Bound::bind(config).await.expect("sockets").start().expect("good settings");
    let addr = front.addrs().diameter;
    Fixture { front, servers: all, recorder, addr }
}

fn spec(number: u16) -> ServerSpec {
    ServerSpec {
        host: format!("s{number}.test"),
        realm: "core.test".into(),
        number,
        processor: ProcessorSpec {
            rate: 50.0,
            release_work: 0.1,
            rejection_work: 0.2,
            max_wait: 2_500_000,
            cold_from: 0.5,
            warm_up_time: 4_000_000,
            fall_multiple: 2.0,
            fall_time: 1_500_000,
        },
        report_period: 200_000,
        report_delay: 50_000,
        report_noise: 0.0,
        reported_values: |report| Report { wait_s: report.wait_s, ..Report::default() },
        max_connections: 16,
        watchdog: 30_000_000,
        fronts: BTreeMap::from([("front.test".to_owned(), 0)]),
    }
}

impl Fixture {
    /// Waits until the front's state satisfies `good`; fails after 2000 polls at 10 ms.
    pub async fn wait_until(&self, what: &str, good: impl Fn(&Snapshot) -> bool) -> Snapshot {
        for _ in 0..2_000 {
            let snapshot = self.front.snapshot().await.expect("the front runs");
            if good(&snapshot) {
                return snapshot;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("state not reached: {what}: {:?}", self.front.snapshot().await);
    }

    /// Waits until an event that satisfies `good` is in the record; fails after 2000 polls at 10 ms.
    pub async fn wait_recorded(&self, what: &str, good: impl Fn(&RecordEvent) -> bool) {
        for _ in 0..2_000 {
            if self.recorder.lines().iter().any(|line| good(&line.event)) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("event not recorded: {what}");
    }

    /// Retries a first call until it is established, which shows that a server link is up, and releases it.
    pub async fn ready(&self) {
        let mut client = Client::open(self.addr).await;
        for session in 0..500 {
            let name = format!("ready;{session}");
            client.send(ccr(&name, RequestType::Initial)).await;
            if client.answer(&name).await.result() == result::SUCCESS {
                client.send(ccr(&name, RequestType::Termination)).await;
                client.answer(&name).await;
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("no server took a call");
    }

    pub fn set_ups(&self) -> usize {
        let is = |moment: &RecordEvent| matches!(moment, RecordEvent::SetUp { .. });
        self.recorder.lines().iter().filter(|line| is(&line.event)).count()
    }
}

pub struct Client {
    pub transport: Framed<TcpStream, Codec>,
    ids: u32,
}

pub fn cer(host: &str, realm: &str) -> Message {
    Message::request(code::CAPABILITIES, 0)
        .with(Avp::text(dict::ORIGIN_HOST, host))
        .with(Avp::text(dict::ORIGIN_REALM, realm))
        .with(Avp::address(dict::HOST_IP_ADDRESS, [127, 0, 0, 1].into()))
        .with(Avp::u32(dict::VENDOR_ID, 0))
        .with(Avp::text(dict::PRODUCT_NAME, "test"))
        .with(Avp::u32(dict::AUTH_APPLICATION_ID, 4))
}

pub fn ccr(session: &str, kind: RequestType) -> Message {
    let ends = Endpoints {
        origin_host: "c1.test",
        origin_realm: "test",
        destination_realm: "core.test",
        destination_host: None,
    };
    credit::request(ends, session, "grid@test", kind, u32::from(kind != RequestType::Initial))
}

impl Client {
    pub async fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).await.expect("listening");
        Self { transport: Framed::new(stream, Codec::default()), ids: 0 }
    }

    /// Connects and exchanges capabilities as `c1.test`.
    pub async fn open(addr: SocketAddr) -> Self {
        let mut client = Self::connect(addr).await;
        client.send(cer("c1.test", "test")).await;
        assert_eq!(client.read().await.expect("a CEA").result(), result::SUCCESS);
        client
    }

    /// Sends a message with a new Hop-by-Hop Identifier, which is also its End-to-End Identifier unless it
    /// has one.
    pub async fn send(&mut self, mut message: Message) {
        self.ids += 1;
        message.header.hop_by_hop = self.ids;
        if message.header.end_to_end == 0 {
            message.header.end_to_end = self.ids;
        }
        self.transport.send(message).await.expect("sent");
    }

    /// Reads the next message, answering watchdog requests; `None` once the connection is closed.
    pub async fn read(&mut self) -> Option<Message> {
        loop {
            let next =
                tokio::time::timeout(Duration::from_secs(20), self.transport.next()).await.expect("in time");
            let Some(Ok(Frame::Valid(message))) = next else { return None };
            if message.header.code == code::WATCHDOG && message.header.flags.request {
                let dwa = Message::answer(&message, result::SUCCESS)
                    .with(Avp::text(dict::ORIGIN_HOST, "c1.test"))
                    .with(Avp::text(dict::ORIGIN_REALM, "test"));
                self.transport.send(dwa).await.expect("sent");
                continue;
            }
            return Some(message);
        }
    }

    /// Reads up to the next answer for a session.
    pub async fn answer(&mut self, session: &str) -> Message {
        loop {
            let message = self.read().await.expect("an answer");
            if !message.header.flags.request && message.text(dict::SESSION_ID) == Some(session) {
                return message;
            }
        }
    }
}
