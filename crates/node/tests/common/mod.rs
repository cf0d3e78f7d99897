//! A front node without sockets: its connections are numbers here, its time is given.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use baydrift::interface::Micros;
use baydrift_call::LinkId;
use baydrift_node::state::{ConnId, Input, Node, Output};
use baydrift_node::Config;
use baydrift_platform::{CallId, Message, MessageDecoder, MessageType, ParameterCode};
use baydrift_standin::{relay_config, Listed};

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// Server one: ready for long.
pub fn one() -> Listed {
    Listed::ready("s-one", ([10, 1, 0, 1], 5080).into(), 0)
}

/// Server two: the same.
pub fn two() -> Listed {
    Listed::ready("s-two", ([10, 1, 0, 2], 5080).into(), 1)
}

/// A configuration with these servers.
pub fn config(servers: &[Listed]) -> Config {
    let text = relay_config(([127, 0, 0, 1], 9).into(), servers);
    Config::read(text.as_bytes()).expect("the test's configuration")
}

/// What a caller offers.
pub fn set_up(id: u64, wait_ms: &str) -> Message {
    Message::new(MessageType::SetUp, call(id))
        .with(ParameterCode::CLASS, "load")
        .with(ParameterCode::TIMEOUT, wait_ms.to_owned())
        .with(ParameterCode::TENANT, "acme")
        .with(ParameterCode::CALLED_NUMBER, "7f3a9c21e0b4d655")
        .with(ParameterCode::ATTRIBUTES, "dest:0;width:1;via:-1")
        .with(ParameterCode::DESCRIPTION, &b"v=0 what the caller offers"[..])
}

pub fn call(id: u64) -> CallId {
    CallId(id.to_be_bytes())
}

pub fn answer(id: u64) -> Message {
    Message::new(MessageType::Answer, call(id))
        .with(ParameterCode::DESCRIPTION, &b"v=0 what the server gave"[..])
}

/// The node and what it has said; nothing of it is lost until it is taken.
pub struct Rig {
    pub node: Node,
    pub now: Micros,
    pub dialled: BTreeMap<ConnId, SocketAddr>,
    pub dialled_ever: BTreeMap<ConnId, SocketAddr>,
    pub to_callers: Vec<(LinkId, Message)>,
    pub to_servers: Vec<(ConnId, Message)>,
    pub closed_callers: Vec<LinkId>,
    pub closed_servers: Vec<ConnId>,
    pub asked: Vec<Vec<u8>>,
    pub to_peers: Vec<(u32, Vec<u8>)>,
    pub deaf: bool,
    pub ended: bool,
}

impl Rig {
    /// A started node; what it dials is not up yet.
    pub fn new(config: &Config) -> Self {
        let node = Node::new(config).expect("a node");
        let mut rig = Self {
            node,
            now: 1_000 * SECOND,
            dialled: BTreeMap::new(),
            dialled_ever: BTreeMap::new(),
            to_callers: Vec::new(),
            to_servers: Vec::new(),
            closed_callers: Vec::new(),
            closed_servers: Vec::new(),
            asked: Vec::new(),
            to_peers: Vec::new(),
            deaf: false,
            ended: false,
        };
        let mut out = Vec::new();
        rig.node.start(rig.now, &mut out);
        rig.note(out);
        rig
    }

    /// One with all its connections up and a caller at link 1.
    pub fn serving() -> Self {
        let mut rig = Self::new(&config(&[one(), two()]));
        rig.all_up();
        rig.caller(1);
        rig
    }

    fn note(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::ToCaller(link, bytes) => self.to_callers.push((link, message(&bytes))),
                Output::CloseCaller(link) => self.closed_callers.push(link),
                Output::Dial(conn, address) => {
                    self.dialled.insert(conn, address);
                    self.dialled_ever.insert(conn, address);
                }
                Output::ToServer(conn, bytes) => self.to_servers.push((conn, message(&bytes))),
                Output::CloseServer(conn) => {
                    self.dialled.remove(&conn);
                    self.closed_servers.push(conn);
                }
                Output::Ask { query, .. } => self.asked.push(query),
                Output::ToPeer(to, payload) => self.to_peers.push((to, payload)),
                Output::Deaf => self.deaf = true,
                Output::End => self.ended = true,
            }
        }
    }

    pub fn hear(&mut self, input: Input) {
        let mut out = Vec::new();
        self.node.hear(self.now, input, &mut out);
        self.note(out);
    }

    /// Lets time pass, timer by timer.
    pub fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.node.next_wake().clamp(self.now + 1, end);
            self.hear(Input::Tick);
        }
    }

    /// All dials succeed.
    pub fn all_up(&mut self) {
        for (conn, _) in std::mem::take(&mut self.dialled) {
            self.hear(Input::ServerUp(conn));
        }
    }

    pub fn caller(&mut self, link: u64) {
        self.caller_from(link, [10, 0, 0, 1].into());
    }

    pub fn caller_from(&mut self, link: u64, ip: IpAddr) {
        self.hear(Input::CallerUp(LinkId(link), ip));
    }

    pub fn says(&mut self, link: u64, message: Message) {
        self.hear(Input::FromCaller(LinkId(link), message));
    }

    pub fn server_says(&mut self, conn: ConnId, message: Message) {
        self.hear(Input::FromServer(conn, message));
    }

    /// Where the last set-up of a call went.
    pub fn set_up_of(&self, id: u64) -> Option<ConnId> {
        let sent = self.to_servers.iter().rev();
        sent.filter(|(_, m)| m.kind == MessageType::SetUp && m.call == call(id)).map(|(conn, _)| *conn).next()
    }

    /// The connections that were ever dialled to the first server.
    pub fn to_one(&self) -> Vec<ConnId> {
        let one = self.dialled_ever.iter().filter(|(_, at)| at.ip().to_string() == "10.1.0.1");
        one.map(|(conn, _)| *conn).collect()
    }

    pub fn set_ups(&self, id: u64) -> usize {
        self.to_servers.iter().filter(|(_, m)| m.kind == MessageType::SetUp && m.call == call(id)).count()
    }

    /// All that was said of a call to its callers.
    pub fn told(&self, id: u64) -> Vec<(u64, MessageType, Option<u8>)> {
        let of = self.to_callers.iter().filter(|(_, m)| m.call == call(id));
        of.map(|(link, m)| (link.0, m.kind, m.cause().ok())).collect()
    }

    /// Causes of the releases that servers were sent for a call, with their connections.
    pub fn released(&self, id: u64) -> Vec<ConnId> {
        let of = self.to_servers.iter().filter(|(_, m)| m.kind == MessageType::Release && m.call == call(id));
        of.map(|(conn, _)| *conn).collect()
    }

    /// A call set up and standing by link 1; its connection.
    pub fn standing(&mut self, id: u64) -> ConnId {
        self.says(1, set_up(id, "3000"));
        let conn = self.set_up_of(id).expect("a set-up");
        self.pass(20 * MS);
        self.server_says(conn, answer(id));
        assert_eq!(self.told(id), [(1, MessageType::Answer, None)]);
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
