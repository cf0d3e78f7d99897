//! Test harness: a front node without sockets, with numbered connections and a simulated clock.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use baydrift::interface::Micros;
use baydrift_call::LinkId;
use baydrift_node::state::{ConnId, Input, Node, Output};
use baydrift_node::Config;
use baydrift_platform::{CallId, Message, MessageDecoder, MessageType, ParameterCode};
use baydrift_standin::{list_answer, relay_config, Listed};

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// The first server, ready since long ago.
pub fn server_one() -> Listed {
    Listed::ready("s-one", ([10, 1, 0, 1], 5080).into(), 0)
}

/// The second server, ready since long ago.
pub fn server_two() -> Listed {
    Listed::ready("s-two", ([10, 1, 0, 2], 5080).into(), 1)
}

/// Builds a configuration with these servers.
pub fn config(servers: &[Listed]) -> Config {
    let text = relay_config(([127, 0, 0, 1], 9).into(), servers);
    Config::read(text.as_bytes()).expect("a valid test configuration")
}

/// Builds a configuration with text replacements.
pub fn config_with(servers: &[Listed], changes: &[(&str, &str)]) -> Config {
    let mut text = relay_config(([127, 0, 0, 1], 9).into(), servers);
    for (from, to) in changes {
        assert!(text.contains(from), "{from} is not in the configuration");
        text = text.replace(from, to);
    }
    Config::read(text.as_bytes()).expect("the test's configuration")
}

/// Builds the configuration of one of 300 front nodes, which keeps one connection per server.
pub fn config_of_large_fleet(servers: &[Listed]) -> Config {
    config_with(servers, &[("\"balancers\":1", "\"balancers\":300")])
}

/// Builds a caller's set-up.
pub fn set_up(id: u64, wait_ms: &str) -> Message {
    Message::new(MessageType::SetUp, call(id))
        .with(ParameterCode::CLASS, "load")
        .with(ParameterCode::TIMEOUT, wait_ms.to_owned())
        .with(ParameterCode::TENANT, "acme")
        .with(ParameterCode::CALLED_NUMBER, "7f3a9c21e0b4d655")
        .with(ParameterCode::ATTRIBUTES, "dest:0;width:1;via:-1")
        .with(ParameterCode::DESCRIPTION, &b"v=0 what the caller offers"[..])
}

/// Builds a set-up with another value of one parameter.
pub fn set_up_with(id: u64, wait_ms: &str, code: u8, value: impl AsRef<[u8]>) -> Message {
    let mut message = set_up(id, wait_ms);
    message.parameters.retain(|(own, _)| *own != code);
    message.with(code, value.as_ref().to_vec())
}

/// Builds a set-up for a call that is established at a server.
pub fn announcement(id: u64, server: &str) -> Message {
    set_up_with(id, "3000", ParameterCode::ATTRIBUTES, format!("dest:0;width:1;via:-1;at:{server}"))
}

pub fn call(id: u64) -> CallId {
    CallId(id.to_be_bytes())
}

pub fn answer(id: u64) -> Message {
    Message::new(MessageType::Answer, call(id))
        .with(ParameterCode::DESCRIPTION, &b"v=0 what the server gave"[..])
}

/// The node, the clock and everything that the node has output so far.
pub struct Harness {
    pub node: Node,
    pub now: Micros,
    pub dialled: BTreeMap<ConnId, SocketAddr>,
    pub all_dials: BTreeMap<ConnId, SocketAddr>,
    pub to_callers: Vec<(LinkId, Message)>,
    pub to_servers: Vec<(ConnId, Message)>,
    pub closed_callers: Vec<LinkId>,
    pub closed_servers: Vec<ConnId>,
    pub queries: Vec<Vec<u8>>,
    pub to_peers: Vec<(u32, Vec<u8>)>,
    pub stopped_accepting: bool,
    pub exited: bool,
}

impl Harness {
    /// Starts a node; its dials stay pending.
    pub fn new(config: &Config) -> Self {
        let node = Node::new(config).expect("a node");
        let mut harness = Self {
            node,
            now: 1_000 * SECOND,
            dialled: BTreeMap::new(),
            all_dials: BTreeMap::new(),
            to_callers: Vec::new(),
            to_servers: Vec::new(),
            closed_callers: Vec::new(),
            closed_servers: Vec::new(),
            queries: Vec::new(),
            to_peers: Vec::new(),
            stopped_accepting: false,
            exited: false,
        };
        let mut out = Vec::new();
        harness.node.start(harness.now, &mut out);
        harness.record(out);
        harness
    }

    /// Starts a node with all connections established and a caller on link 1.
    pub fn connected() -> Self {
        let mut harness = Self::new(&config(&[server_one(), server_two()]));
        harness.connect_all();
        harness.caller(1);
        harness
    }

    fn record(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::ToCaller(link, bytes) => self.to_callers.push((link, message(&bytes))),
                Output::CloseCaller(link) => self.closed_callers.push(link),
                Output::Dial(conn, address) => {
                    self.dialled.insert(conn, address);
                    self.all_dials.insert(conn, address);
                }
                Output::ToServer(conn, bytes) => self.to_servers.push((conn, message(&bytes))),
                Output::CloseServer(conn) => {
                    self.dialled.remove(&conn);
                    self.closed_servers.push(conn);
                }
                Output::Query { query, .. } => self.queries.push(query),
                Output::ToPeer(to, payload) => self.to_peers.push((to, payload)),
                Output::StopAccepting => self.stopped_accepting = true,
                Output::Exit => self.exited = true,
            }
        }
    }

    pub fn handle(&mut self, input: Input) {
        let mut out = Vec::new();
        self.node.handle(self.now, input, &mut out);
        self.record(out);
    }

    /// Advances the clock, stopping at each timer.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.node.next_wake().clamp(self.now + 1, end);
            self.handle(Input::Tick);
        }
    }

    /// Advances the clock while all servers answer pings.
    pub fn advance_with_ping_replies(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.advance((500 * MS).min(end - self.now));
            for conn in self.all_dials.keys().copied().collect::<Vec<_>>() {
                self.server_sends(conn, Message::health_check_passed(call(0)));
            }
        }
    }

    /// Lets the name server answer the last query after 300 ms with this list.
    pub fn deliver_list(&mut self, serial: u32, servers: &[Listed]) {
        self.advance(300 * MS);
        let query = self.queries.last().expect("a query was sent");
        let bytes = list_answer(query, serial, servers).expect("it is a query");
        self.handle(Input::DiscoveryAnswer(bytes));
    }

    /// Lets all pending dials succeed.
    pub fn connect_all(&mut self) {
        for (conn, _) in std::mem::take(&mut self.dialled) {
            self.handle(Input::ServerUp(conn));
        }
    }

    /// Breaks all established connections to servers.
    pub fn break_all_conns(&mut self) {
        let dialling = |conn: &ConnId| self.dialled.contains_key(conn);
        let up: Vec<_> = self.all_dials.keys().copied().filter(|conn| !dialling(conn)).collect();
        for conn in up {
            self.handle(Input::ServerDown(conn));
        }
    }

    pub fn caller(&mut self, link: u64) {
        self.caller_from(link, [10, 0, 0, 1].into());
    }

    pub fn caller_from(&mut self, link: u64, ip: IpAddr) {
        self.handle(Input::CallerUp(LinkId(link), ip));
    }

    pub fn caller_sends(&mut self, link: u64, message: Message) {
        self.handle(Input::FromCaller(LinkId(link), message));
    }

    pub fn server_sends(&mut self, conn: ConnId, message: Message) {
        self.handle(Input::FromServer(conn, message));
    }

    /// Connection of the last set-up sent for a call.
    pub fn set_up_conn(&self, id: u64) -> Option<ConnId> {
        let sent = self.to_servers.iter().rev();
        sent.filter(|(_, m)| m.kind == MessageType::SetUp && m.call == call(id)).map(|(conn, _)| *conn).next()
    }

    /// All connections ever dialled to the first server.
    pub fn conns_to_server_one(&self) -> Vec<ConnId> {
        let conns = self.all_dials.iter().filter(|(_, at)| at.ip().to_string() == "10.1.0.1");
        conns.map(|(conn, _)| *conn).collect()
    }

    pub fn set_up_count(&self, id: u64) -> usize {
        self.to_servers.iter().filter(|(_, m)| m.kind == MessageType::SetUp && m.call == call(id)).count()
    }

    /// All messages on a call that were sent to callers: link, kind and cause.
    pub fn sent_to_caller(&self, id: u64) -> Vec<(u64, MessageType, Option<u8>)> {
        let messages = self.to_callers.iter().filter(|(_, m)| m.call == call(id));
        messages.map(|(link, m)| (link.0, m.kind, m.cause().ok())).collect()
    }

    /// Connections on which servers were sent a release of the call.
    pub fn releases_sent(&self, id: u64) -> Vec<ConnId> {
        let messages =
            self.to_servers.iter().filter(|(_, m)| m.kind == MessageType::Release && m.call == call(id));
        messages.map(|(conn, _)| *conn).collect()
    }

    /// Establishes a call from link 1 and returns the connection of its set-up.
    pub fn establish(&mut self, id: u64) -> ConnId {
        self.caller_sends(1, set_up(id, "3000"));
        let conn = self.set_up_conn(id).expect("a set-up");
        self.advance(20 * MS);
        self.server_sends(conn, answer(id));
        assert_eq!(self.sent_to_caller(id), [(1, MessageType::Answer, None)]);
        conn
    }
}

pub fn message(bytes: &[u8]) -> Message {
    let mut frames = MessageDecoder::default();
    frames.push(bytes);
    let message = frames.next_message().expect("readable").expect("whole");
    assert!(!frames.has_partial_message(), "one message a write");
    message
}
