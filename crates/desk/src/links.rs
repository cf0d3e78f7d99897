//! Diameter links of clients and servers, without I/O: the peer state machine, and the conversion of its
//! outputs to inputs of the session layer.
//!
//! The driver of a front, on sockets or in virtual time, owns the transports and carries out [`LinkOutput`]s.

use std::net::IpAddr;
use std::sync::Arc;

use baydrift::interface::{Micros, ServerId};
use baydrift_call::{AttemptId, LinkId};
use baydrift_config::{Config, Server};
use baydrift_diameter::credit::APPLICATION;
use baydrift_diameter::{code, Local, Message, Peer, PeerInput, PeerOutput, Reason, Side};

use crate::outstanding::{OutstandingRequests, RequestKind};
use crate::session_layer::SessionInput;
use crate::stall_monitor::STALL_THRESHOLD;

/// Identity and capabilities of this front towards its Diameter peers. `state_id` is its Origin-State-Id.
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

/// Requests to one server that await an answer. Beyond this the oldest is dropped, and its answer ignored.
const MAX_OUTSTANDING: usize = 65_536;

/// An action for the driver of a link.
#[derive(Debug, Clone, PartialEq)]
pub enum LinkOutput {
    /// Open a transport connection.
    Connect,
    /// Send a message on a transport connection.
    Send(Side, Message),
    /// Close a transport connection after sending what is queued.
    Close(Side, Reason),
    /// Pass an input to the session layer.
    Session(SessionInput),
    /// The link is down: discard any transport connection or connection attempt.
    Down,
    /// A message was rejected with this Result-Code.
    Refused(u32),
}

/// What to do with a request to a server.
#[derive(Debug, Clone, PartialEq)]
pub enum SendDecision {
    /// Send it on this transport connection.
    Send(Side, Message),
    /// Drop it: there is no transport connection. The session layer learns this from
    /// [`SessionInput::ServerDown`].
    NoTransport,
    /// Drop the expired request and pass this input to the session layer.
    Expired(SessionInput),
}

/// The link to a server.
#[derive(Debug)]
pub struct ServerLink {
    id: ServerId,
    peer: Peer,
    outstanding: OutstandingRequests,
    state_id: Option<u32>,
    peer_outputs: Vec<PeerOutput>,
}

impl ServerLink {
    /// Creates a link that is down; `end_to_end` as for [`Peer::new`].
    pub fn new(server: &Server, local: Arc<Local>, watchdog: Micros, end_to_end: u32, seed: u64) -> Self {
        let expect = Some((server.host.clone(), server.realm.clone()));
        Self {
            id: u64::from(server.number),
            peer: Peer::new(local, expect, watchdog, end_to_end, seed),
            outstanding: OutstandingRequests::new(MAX_OUTSTANDING),
            state_id: None,
            peer_outputs: Vec::new(),
        }
    }

    /// Id of the server.
    pub fn id(&self) -> ServerId {
        self.id
    }

    /// When [`PeerInput::Tick`] is due next.
    pub fn due(&self) -> Micros {
        self.peer.due()
    }

    /// Side of the open transport connection.
    pub fn side(&self) -> Option<Side> {
        self.peer.side()
    }

    /// Prepares a request that the session layer issued at `issued_at`: assigns its ids and records it as
    /// outstanding.
    ///
    /// A set-up that was queued while the process was stalled expires. It would otherwise be sent seconds
    /// late, to a server that may be draining, for a caller that may have disconnected.
    pub fn request(
        &mut self,
        now: Micros,
        issued_at: Micros,
        (attempt, kind): (AttemptId, RequestKind),
        mut message: Message,
    ) -> SendDecision {
        let Some(side) = self.peer.side() else { return SendDecision::NoTransport };
        if kind == RequestKind::SetUp && now > issued_at.saturating_add(STALL_THRESHOLD) {
            return SendDecision::Expired(SessionInput::SetUpNotSent(attempt));
        }
        let hop_by_hop = self.peer.assign_ids(&mut message);
        self.outstanding.sent(hop_by_hop, attempt, kind);
        SendDecision::Send(side, message)
    }

    /// Handles one input and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, input: PeerInput, out: &mut Vec<LinkOutput>) {
        let mut peer_outputs = std::mem::take(&mut self.peer_outputs);
        peer_outputs.clear();
        self.peer.handle(now, input, &mut peer_outputs);
        let server = self.id;
        for output in peer_outputs.drain(..) {
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
                    self.outstanding.clear();
                    out.push(LinkOutput::Down);
                    out.push(LinkOutput::Session(SessionInput::ServerDown(server)));
                }
                PeerOutput::Request(message) => {
                    out.push(LinkOutput::Session(SessionInput::ServerRequest { server, message }));
                }
                PeerOutput::Answer(message) => {
                    if let Some((attempt, kind)) = self.outstanding.answered(message.header.hop_by_hop) {
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
        self.peer_outputs = peer_outputs;
    }
}

/// The link of a client, from its CER on.
#[derive(Debug)]
pub struct ClientLink {
    link: LinkId,
    peer: Peer,
    peer_outputs: Vec<PeerOutput>,
}

impl ClientLink {
    /// Creates a link on an accepted transport connection; pass its CER as [`PeerInput::Accepted`].
    pub fn new(link: LinkId, local: Arc<Local>, watchdog: Micros, end_to_end: u32, seed: u64) -> Self {
        Self { link, peer: Peer::new(local, None, watchdog, end_to_end, seed), peer_outputs: Vec::new() }
    }

    /// When [`PeerInput::Tick`] is due next.
    pub fn due(&self) -> Micros {
        self.peer.due()
    }

    /// Whether the transport connection is in use.
    pub fn is_open(&self) -> bool {
        self.peer.side().is_some()
    }

    /// Prepares a message for the client; a request is assigned its ids.
    pub fn outgoing(&mut self, mut message: Message) -> Message {
        if message.header.flags.request {
            self.peer.assign_ids(&mut message);
        }
        message
    }

    /// Handles one input and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, input: PeerInput, out: &mut Vec<LinkOutput>) {
        let mut peer_outputs = std::mem::take(&mut self.peer_outputs);
        peer_outputs.clear();
        self.peer.handle(now, input, &mut peer_outputs);
        for output in peer_outputs.drain(..) {
            match output {
                PeerOutput::Send(side, message) => out.push(LinkOutput::Send(side, message)),
                PeerOutput::Request(message) => {
                    out.push(LinkOutput::Session(SessionInput::ClientRequest { link: self.link, message }));
                }
                PeerOutput::Close(side, reason) => out.push(LinkOutput::Close(side, reason)),
                PeerOutput::Down(_) => out.push(LinkOutput::Down),
                PeerOutput::Refused(code) => out.push(LinkOutput::Refused(code)),
                // Answers of clients (to ASR) have no effect; the other outputs show in the state of the
                // peer.
                _ => {}
            }
        }
        self.peer_outputs = peer_outputs;
    }
}
