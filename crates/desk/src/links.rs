//! A link's two machines in one, without I/O: the Diameter peer, and what its messages mean to the desk.
//!
//! Whoever drives a front, on sockets or in virtual time, owns the transports and carries out [`LinkOutput`]s.

use std::net::IpAddr;
use std::sync::Arc;

use baydrift::interface::{Micros, ServerId};
use baydrift_call::{AttemptId, LinkId};
use baydrift_config::{Config, Server};
use baydrift_diameter::credit::APPLICATION;
use baydrift_diameter::{code, Local, Message, Peer, PeerInput, PeerOutput, Reason, Side};

use crate::outstanding::{OutstandingRequests, RequestKind};
use crate::session_layer::SessionInput;
use crate::stall_monitor::STALLED;

/// What a front says of itself to its peers. `state_id` is its Origin-State-Id.
pub fn local_capabilities(config: &Config, address: IpAddr, state_id: u32) -> Arc<Local> {
    Arc::new(Local {
        host: config.host.clone(),
        realm: config.realm.clone(),
        addresses: vec![address],
        vendor: 0,
        product: "baydrift".into(),
        state_id,
        applications: vec![APPLICATION],
        commands: vec![(APPLICATION, code::CREDIT_CONTROL), (APPLICATION, code::ABORT_SESSION)],
    })
}

/// Requests to one server without their answer; beyond it the oldest's answer counts as unasked.
const TRANSIT: usize = 65_536;

/// What a link wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum LinkOutput {
    /// Open a transport.
    Connect,
    /// Send on a transport.
    Send(Side, Message),
    /// Close a transport once what was sent is out.
    Close(Side, Reason),
    /// Tell the desk.
    Session(SessionInput),
    /// The link is down: whatever transport or attempt to connect is left is of no use.
    Down,
    /// A message was turned down with this Result-Code.
    Refused(u32),
}

/// What becomes of a request to a server.
#[derive(Debug, Clone, PartialEq)]
pub enum SendDecision {
    /// Send it on this transport.
    Send(Side, Message),
    /// There is no transport: the desk hears of that by itself.
    NoTransport,
    /// It is too old to go out; tell the desk.
    Expired(SessionInput),
}

/// One server's link.
#[derive(Debug)]
pub struct ServerLink {
    id: ServerId,
    peer: Peer,
    transit: OutstandingRequests,
    state_id: Option<u32>,
    seen: Vec<PeerOutput>,
}

impl ServerLink {
    /// A link that is down; `end_to_end` as for [`Peer::new`].
    pub fn new(server: &Server, local: Arc<Local>, watchdog: Micros, end_to_end: u32, seed: u64) -> Self {
        let expect = Some((server.host.clone(), server.realm.clone()));
        Self {
            id: u64::from(server.number),
            peer: Peer::new(local, expect, watchdog, end_to_end, seed),
            transit: OutstandingRequests::new(TRANSIT),
            state_id: None,
            seen: Vec::new(),
        }
    }

    /// The server.
    pub fn id(&self) -> ServerId {
        self.id
    }

    /// When [`PeerInput::Tick`] is wanted.
    pub fn due(&self) -> Micros {
        self.peer.due()
    }

    /// Side of the open transport.
    pub fn side(&self) -> Option<Side> {
        self.peer.side()
    }

    /// A request for an attempt, said by the desk at `said_at`, with its ids.
    ///
    /// Guards against a process that stood still while a set-up lay between the desk and its link: on waking it would go
    /// out seconds late, to a server that may drain by then, for a caller that may have left.
    pub fn request(
        &mut self,
        now: Micros,
        said_at: Micros,
        (attempt, kind): (AttemptId, RequestKind),
        mut message: Message,
    ) -> SendDecision {
        let Some(side) = self.peer.side() else { return SendDecision::NoTransport };
        if kind == RequestKind::SetUp && now > said_at.saturating_add(STALLED) {
            return SendDecision::Expired(SessionInput::SetUpNotSent(attempt));
        }
        let hop_by_hop = self.peer.assign_ids(&mut message);
        self.transit.sent(hop_by_hop, attempt, kind);
        SendDecision::Send(side, message)
    }

    /// Takes one input; appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: PeerInput, out: &mut Vec<LinkOutput>) {
        let mut seen = std::mem::take(&mut self.seen);
        seen.clear();
        self.peer.handle(now, input, &mut seen);
        let server = self.id;
        for output in seen.drain(..) {
            match output {
                PeerOutput::Connect => out.push(LinkOutput::Connect),
                PeerOutput::Send(side, message) => out.push(LinkOutput::Send(side, message)),
                PeerOutput::Close(side, reason) => out.push(LinkOutput::Close(side, reason)),
                PeerOutput::Reject(message) => {
                    out.push(LinkOutput::Send(Side::Responder, message));
                    out.push(LinkOutput::Close(Side::Responder, Reason::Election));
                }
                PeerOutput::Up(remote) => self.state_id = remote.state_id,
                PeerOutput::Usable => {
                    let state_id = self.state_id;
                    out.push(LinkOutput::Session(SessionInput::ServerUp { server, state_id }));
                }
                PeerOutput::Suspect => out.push(LinkOutput::Session(SessionInput::ServerSuspect(server))),
                PeerOutput::Draining(_) => {
                    out.push(LinkOutput::Session(SessionInput::ServerDraining(server)))
                }
                PeerOutput::Down(_) => {
                    self.transit.clear();
                    out.push(LinkOutput::Down);
                    out.push(LinkOutput::Session(SessionInput::ServerDown(server)));
                }
                PeerOutput::Request(message) => {
                    out.push(LinkOutput::Session(SessionInput::ServerRequest { server, message }));
                }
                PeerOutput::Answer(message) => {
                    if let Some((attempt, kind)) = self.transit.answered(message.header.hop_by_hop) {
                        out.push(LinkOutput::Session(SessionInput::ServerAnswer {
                            server,
                            attempt,
                            kind,
                            message,
                        }));
                    }
                }
                PeerOutput::Refused(code) => out.push(LinkOutput::Refused(code)),
            }
        }
        self.seen = seen;
    }
}

/// One client's link, from its CER on.
#[derive(Debug)]
pub struct ClientLink {
    link: LinkId,
    peer: Peer,
    seen: Vec<PeerOutput>,
}

impl ClientLink {
    /// A link whose transport was accepted; its CER is to be handed in as [`PeerInput::Accepted`].
    pub fn new(link: LinkId, local: Arc<Local>, watchdog: Micros, end_to_end: u32, seed: u64) -> Self {
        Self { link, peer: Peer::new(local, None, watchdog, end_to_end, seed), seen: Vec::new() }
    }

    /// When [`PeerInput::Tick`] is wanted.
    pub fn due(&self) -> Micros {
        self.peer.due()
    }

    /// Whether the transport is in use.
    pub fn is_open(&self) -> bool {
        self.peer.side().is_some()
    }

    /// A message for the client: a request gets its ids.
    pub fn outgoing(&mut self, mut message: Message) -> Message {
        if message.header.flags.request {
            self.peer.assign_ids(&mut message);
        }
        message
    }

    /// Takes one input; appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: PeerInput, out: &mut Vec<LinkOutput>) {
        let mut seen = std::mem::take(&mut self.seen);
        seen.clear();
        self.peer.handle(now, input, &mut seen);
        for output in seen.drain(..) {
            match output {
                PeerOutput::Send(side, message) => out.push(LinkOutput::Send(side, message)),
                PeerOutput::Request(message) => {
                    out.push(LinkOutput::Session(SessionInput::ClientRequest { link: self.link, message }));
                }
                PeerOutput::Close(side, reason) => out.push(LinkOutput::Close(side, reason)),
                PeerOutput::Down(_) => out.push(LinkOutput::Down),
                PeerOutput::Refused(code) => out.push(LinkOutput::Refused(code)),
                // Answers of clients (to ASR) change nothing; the rest shows in the machine's state.
                _ => {}
            }
        }
        self.seen = seen;
    }
}
