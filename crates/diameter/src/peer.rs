//! The peer state machine of RFC 6733, section 5.6, for one configured peer: capabilities exchange,
//! watchdog, disconnection, and the election when both peers connect at once.
//!
//! The driver owns the transport connections, one for each [`Side`], and carries out every [`PeerOutput`].
//! After a DPR the state machine still delivers answers and session terminations until the transport closes,
//! so that a draining peer can finish its open sessions; it starts nothing new.

use std::net::IpAddr;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::avp::Avp;
use crate::codec::Frame;
use crate::dict;
use crate::fault::{result, Fault};
use crate::message::{code, Message};
use crate::watchdog::{Watchdog, WatchdogAction, WatchdogEvent};
use crate::Micros;

/// The relay Application-Id (section 2.4), which is in common with every application.
const RELAY_APPLICATION: u32 = 0xffff_ffff;

/// Disconnect-Cause values (section 5.4.3).
pub mod cause {
    /// REBOOTING: the peer is about to restart.
    pub const REBOOTING: u32 = 0;
    /// BUSY: the peer's resources are constrained.
    pub const BUSY: u32 = 1;
    /// DO_NOT_WANT_TO_TALK_TO_YOU: the peer expects no further messages on this connection.
    pub const DO_NOT_WANT_TO_TALK_TO_YOU: u32 = 2;
}

/// Identity and capabilities of the local node, sent in CER and CEA.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Local {
    /// Origin-Host.
    pub host: String,
    /// Origin-Realm.
    pub realm: String,
    /// Host-IP-Address.
    pub addresses: Vec<IpAddr>,
    /// Vendor-Id; 0 if there is none.
    pub vendor: u32,
    /// Product-Name.
    pub product: String,
    /// Origin-State-Id; increases with every restart.
    pub state_id: u32,
    /// Auth-Application-Ids that the local node supports.
    pub applications: Vec<u32>,
    /// Supported requests as (Application-Id, command code), in addition to those of the base protocol.
    pub commands: Vec<(u32, u32)>,
}

/// Identity of the remote peer, from its CER or CEA.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Remote {
    /// Origin-Host.
    pub host: String,
    /// Origin-Realm.
    pub realm: String,
    /// Origin-State-Id, if the peer sent one.
    pub state_id: Option<u32>,
}

/// Which peer opened a transport connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// The local node (`I-` in section 5.6).
    Initiator,
    /// The remote peer (`R-` in section 5.6).
    Responder,
}

/// States of the peer state machine, named as in section 5.6.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum State {
    Closed,
    WaitConnAck,
    WaitICea,
    WaitConnAckElect,
    WaitReturns,
    Open(Side),
    Closing(Side),
}

/// Why a transport connection or a peer was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// The transport connection closed or could not be established.
    #[error("the transport closed")]
    Transport,
    /// No response within the time-out while connecting or closing.
    #[error("no answer in time")]
    Timeout,
    /// The capabilities exchange failed, with this Result-Code.
    #[error("capabilities exchange failed ({0})")]
    Capabilities(u32),
    /// Another message arrived where a CEA was expected, or a connection came up that was not expected.
    #[error("a message before the capabilities were exchanged")]
    Unexpected,
    /// The election kept the other transport connection (section 5.6.4).
    #[error("the election chose the other transport")]
    Election,
    /// Watchdog requests went unanswered (RFC 3539).
    #[error("watchdogs unanswered")]
    Watchdog,
    /// The local node stopped the peer, or the disconnection by DPR and DPA is complete.
    #[error("orderly disconnection")]
    Disconnected,
}

/// Input from the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerInput {
    /// Connect to the peer if it is closed and the watchdog's timer is due.
    Start,
    /// The transport connection that this node opened is established.
    Connected,
    /// The transport connection could not be established.
    ConnectFailed,
    /// A transport connection was accepted; its first message was this CER from the peer.
    Accepted(Message),
    /// A message was received.
    Received(Side, Frame),
    /// A transport connection closed.
    Disconnected(Side),
    /// Send a DPR with this Disconnect-Cause, or close at once if the peer is not open.
    Stop(u32),
    /// The time given by [`Peer::due`] may have been reached.
    Tick,
}

/// Action for the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerOutput {
    /// Open a transport connection.
    Connect,
    /// Send on a transport connection.
    Send(Side, Message),
    /// Close a transport connection after flushing pending messages.
    Close(Side, Reason),
    /// Send this answer on the newly accepted transport connection and close it: another one is in use.
    Reject(Message),
    /// The capabilities exchange succeeded.
    Up(Remote),
    /// The peer may be used (watchdog state OKAY).
    Usable,
    /// A watchdog request is unanswered: fail over the pending requests.
    Suspect,
    /// The peer sent a DPR with this Disconnect-Cause.
    Draining(u32),
    /// The peer is closed.
    Down(Reason),
    /// A request for the application, already checked against base protocol and dictionary.
    Request(Message),
    /// An answer for the application.
    Answer(Message),
    /// A message was rejected with this Result-Code; the error answer, if any, is in a `Send` or `Reject`.
    Refused(u32),
}

/// State machine of one peer.
#[derive(Debug, Clone)]
pub struct Peer {
    local: Arc<Local>,
    /// Origin-Host and Origin-Realm that the CEA must have, if this node is to connect.
    expected_remote: Option<(String, String)>,
    state: State,
    watchdog: Watchdog,
    /// Time-out for a transport connection, a CEA or a DPA.
    handshake_timeout: Micros,
    timeout_at: Micros,
    /// The remote peer's CER, until it is answered or the election is decided.
    cer: Option<Message>,
    usable: bool,
    hop_by_hop: u32,
    end_to_end: u32,
    rng: Pcg64Mcg,
    /// Buffer reused between calls of [`Watchdog::handle`].
    watchdog_actions: Vec<WatchdogAction>,
}

/// Upper bound of the time-out for a transport connection, a CEA or a DPA.
pub const HANDSHAKE_TIMEOUT: Micros = 5_000_000;

/// Time a peer has to finish its open sessions and close the transport after its DPR.
const DRAIN_TIMEOUT: Micros = 60_000_000;

impl Peer {
    /// A closed peer. `expected_remote` is the Origin-Host and Origin-Realm to connect to, or `None` if this
    /// node only accepts; `watchdog` is Tw without jitter; End-to-End Identifiers count up from `end_to_end`
    /// (section 3: the current time in its high bits); `seed` is for identifiers and jitter.
    pub fn new(
        local: Arc<Local>,
        expected_remote: Option<(String, String)>,
        watchdog: Micros,
        end_to_end: u32,
        seed: u64,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        Self {
            local,
            expected_remote,
            state: State::Closed,
            watchdog: Watchdog::new(watchdog),
            handshake_timeout: HANDSHAKE_TIMEOUT.min(watchdog.saturating_mul(2).max(1)),
            timeout_at: Micros::MAX,
            cer: None,
            usable: false,
            hop_by_hop: rng.random(),
            end_to_end,
            rng,
            watchdog_actions: Vec::new(),
        }
    }

    /// Current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// When the next [`PeerInput::Tick`] is needed.
    pub fn due(&self) -> Micros {
        let watched = matches!(self.state, State::Open(_))
            || self.state == State::Closed && self.expected_remote.is_some();
        let watchdog = if watched { self.watchdog.due() } else { Micros::MAX };
        watchdog.min(self.timeout_at)
    }

    /// Side of the transport connection that is open or closing.
    pub fn side(&self) -> Option<Side> {
        match self.state {
            State::Open(side) | State::Closing(side) => Some(side),
            _ => None,
        }
    }

    /// Assigns a new Hop-by-Hop Identifier to a request, and a new End-to-End Identifier if it has none (0).
    /// Returns the Hop-by-Hop Identifier.
    pub fn assign_ids(&mut self, message: &mut Message) -> u32 {
        self.hop_by_hop = self.hop_by_hop.wrapping_add(1);
        message.header.hop_by_hop = self.hop_by_hop;
        if message.header.end_to_end == 0 {
            self.end_to_end = self.end_to_end.wrapping_add(1);
            message.header.end_to_end = self.end_to_end;
        }
        self.hop_by_hop
    }

    /// Handles one input; appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, input: PeerInput, out: &mut Vec<PeerOutput>) {
        match input {
            PeerInput::Start => {
                if self.state == State::Closed {
                    self.run_watchdog(now, WatchdogEvent::Tick, out);
                }
            }
            PeerInput::Connected => self.connected(now, out),
            PeerInput::ConnectFailed => self.connect_failed(now, out),
            PeerInput::Accepted(cer) => self.accepted(now, cer, out),
            PeerInput::Received(side, frame) => self.received(now, side, frame, out),
            PeerInput::Disconnected(side) => self.disconnected(now, side, out),
            PeerInput::Stop(cause) => self.stop(now, cause, out),
            PeerInput::Tick => self.tick(now, out),
        }
    }

    /// Enters a state and sets its time-out.
    fn set_state(&mut self, now: Micros, state: State) {
        self.state = state;
        self.timeout_at = match state {
            State::Closed | State::Open(_) => Micros::MAX,
            _ => now.saturating_add(self.handshake_timeout),
        };
    }

    fn connected(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        match self.state {
            State::WaitConnAck => {
                self.send_cer(out);
                self.set_state(now, State::WaitICea);
            }
            State::WaitConnAckElect => {
                self.send_cer(out);
                self.election(now, out);
            }
            _ => out.push(PeerOutput::Close(Side::Initiator, Reason::Unexpected)),
        }
    }

    fn connect_failed(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        match self.state {
            State::WaitConnAck => self.enter_closed(now, Reason::Transport, out),
            State::WaitConnAckElect => self.answer_cer(now, out),
            _ => {}
        }
    }

    fn accepted(&mut self, now: Micros, cer: Message, out: &mut Vec<PeerOutput>) {
        match self.state {
            State::Closed => {
                self.cer = Some(cer);
                self.answer_cer(now, out);
            }
            State::WaitConnAck => {
                self.cer = Some(cer);
                self.set_state(now, State::WaitConnAckElect);
            }
            State::WaitICea => {
                self.cer = Some(cer);
                self.election(now, out);
            }
            _ => {
                let text = "another transport of this peer is in use";
                let fault = Fault::new(result::UNABLE_TO_COMPLY, text);
                out.push(PeerOutput::Reject(self.error_answer(&cer, &fault)));
                out.push(PeerOutput::Refused(fault.code));
            }
        }
    }

    /// Both peers connected: the one with the higher Origin-Host keeps the transport connection that the
    /// other opened (section 5.6.4).
    fn election(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        let theirs = self.cer.as_ref().and_then(|cer| cer.text(dict::ORIGIN_HOST)).unwrap_or("");
        if wins_election(&self.local.host, theirs) {
            out.push(PeerOutput::Close(Side::Initiator, Reason::Election));
            self.answer_cer(now, out);
        } else {
            self.set_state(now, State::WaitReturns);
        }
    }

    fn send_cer(&mut self, out: &mut Vec<PeerOutput>) {
        let mut cer = Message::request(code::CAPABILITIES, 0);
        self.push_capabilities(&mut cer);
        self.assign_ids(&mut cer);
        out.push(PeerOutput::Send(Side::Initiator, cer));
    }

    /// Appends the AVPs that CER and CEA have in common (sections 5.3.1 and 5.3.2).
    fn push_capabilities(&self, message: &mut Message) {
        let local = &self.local;
        message.push(Avp::text(dict::ORIGIN_HOST, &local.host));
        message.push(Avp::text(dict::ORIGIN_REALM, &local.realm));
        local.addresses.iter().for_each(|ip| message.push(Avp::address(dict::HOST_IP_ADDRESS, *ip)));
        message.push(Avp::u32(dict::VENDOR_ID, local.vendor));
        message.push(Avp::text(dict::PRODUCT_NAME, &local.product));
        message.push(Avp::u32(dict::ORIGIN_STATE_ID, local.state_id));
        local.applications.iter().for_each(|id| message.push(Avp::u32(dict::AUTH_APPLICATION_ID, *id)));
    }

    /// Process-CER and R-Snd-CEA (section 5.6.3).
    fn answer_cer(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        let Some(cer) = self.cer.take() else { return };
        match read_capabilities(&cer, &self.local) {
            Ok(remote) => {
                let mut cea = Message::answer(&cer, result::SUCCESS);
                self.push_capabilities(&mut cea);
                out.push(PeerOutput::Send(Side::Responder, cea));
                self.open(now, Side::Responder, remote, out);
            }
            Err(fault) => {
                out.push(PeerOutput::Send(Side::Responder, self.error_answer(&cer, &fault)));
                out.push(PeerOutput::Refused(fault.code));
                out.push(PeerOutput::Close(Side::Responder, Reason::Capabilities(fault.code)));
                self.enter_closed(now, Reason::Capabilities(fault.code), out);
            }
        }
    }

    fn open(&mut self, now: Micros, side: Side, remote: Remote, out: &mut Vec<PeerOutput>) {
        self.set_state(now, State::Open(side));
        out.push(PeerOutput::Up(remote));
        self.run_watchdog(now, WatchdogEvent::ConnectionUp, out);
        if !self.usable && self.watchdog.state() == crate::WatchdogState::Okay {
            self.usable = true;
            out.push(PeerOutput::Usable);
        }
    }

    fn received(&mut self, now: Micros, side: Side, frame: Frame, out: &mut Vec<PeerOutput>) {
        let awaiting_cea =
            matches!(self.state, State::WaitICea | State::WaitReturns) && side == Side::Initiator;
        if awaiting_cea {
            return self.received_cea(now, frame, out);
        }
        if self.side() != Some(side) {
            return;
        }
        let message = match frame {
            Frame::Valid(message) => message,
            Frame::Invalid(message, fault) => return self.reject(side, &message, &fault, out),
        };
        let is_dwa = message.header.code == code::WATCHDOG && !message.header.flags.request;
        if matches!(self.state, State::Open(_)) {
            self.run_watchdog(now, if is_dwa { WatchdogEvent::Answer } else { WatchdogEvent::Other }, out);
        }
        if message.header.flags.request {
            self.received_request(now, side, message, out);
        } else if message.header.code == code::DISCONNECT {
            if matches!(self.state, State::Closing(_)) {
                out.push(PeerOutput::Close(side, Reason::Disconnected));
                self.enter_closed(now, Reason::Disconnected, out);
            }
        } else if message.header.application != 0 {
            out.push(PeerOutput::Answer(message));
        }
    }

    fn received_cea(&mut self, now: Micros, frame: Frame, out: &mut Vec<PeerOutput>) {
        let reason = match frame {
            Frame::Valid(cea) if cea.header.code == code::CAPABILITIES && !cea.header.flags.request => {
                match self.read_cea(&cea) {
                    Ok(remote) => {
                        if self.state == State::WaitReturns {
                            self.cer = None;
                            out.push(PeerOutput::Close(Side::Responder, Reason::Election));
                        }
                        return self.open(now, Side::Initiator, remote, out);
                    }
                    Err(code) => Reason::Capabilities(code),
                }
            }
            _ => Reason::Unexpected,
        };
        out.push(PeerOutput::Close(Side::Initiator, reason));
        if self.state == State::WaitReturns {
            return self.answer_cer(now, out);
        }
        self.enter_closed(now, reason, out);
    }

    fn read_cea(&self, cea: &Message) -> Result<Remote, u32> {
        match cea.result() {
            result::SUCCESS => {}
            code => return Err(code),
        }
        let remote = read_capabilities(cea, &self.local).map_err(|fault| fault.code)?;
        match &self.expected_remote {
            Some((host, realm)) if *host != remote.host || *realm != remote.realm => {
                Err(result::UNKNOWN_PEER)
            }
            _ => Ok(remote),
        }
    }

    fn received_request(&mut self, now: Micros, side: Side, message: Message, out: &mut Vec<PeerOutput>) {
        if let Err(fault) = dict::check(&message) {
            return self.reject(side, &message, &fault, out);
        }
        let closing = matches!(self.state, State::Closing(_));
        let (application, command) = (message.header.application, message.header.code);
        match (application, command) {
            (0, code::WATCHDOG) => {
                let dwa = self.with_origin(Message::answer(&message, result::SUCCESS));
                out.push(PeerOutput::Send(side, dwa));
            }
            (0, code::DISCONNECT) => {
                let dpa = self.with_origin(Message::answer(&message, result::SUCCESS));
                out.push(PeerOutput::Send(side, dpa));
                let cause = message.number(dict::DISCONNECT_CAUSE).unwrap_or(cause::REBOOTING);
                out.push(PeerOutput::Draining(cause));
                if !closing {
                    // The remote peer closes the transport when it has finished, or the time-out does.
                    self.state = State::Closing(side);
                    self.timeout_at = now.saturating_add(DRAIN_TIMEOUT);
                }
            }
            (0, code::CAPABILITIES) => {
                let fault = Fault::new(result::UNABLE_TO_COMPLY, "capabilities were exchanged already");
                self.reject(side, &message, &fault, out);
            }
            (app, command) if self.local.commands.contains(&(app, command)) => {
                let looped = message.all(dict::ROUTE_RECORD).any(|r| r.as_text() == Some(&self.local.host));
                if looped {
                    let fault = Fault::new(result::LOOP_DETECTED, "this host is in Route-Record");
                    return self.reject(side, &message, &fault, out);
                }
                out.push(PeerOutput::Request(message));
            }
            (app, _) if app != 0 && !self.local.applications.contains(&app) => {
                let fault =
                    Fault::new(result::APPLICATION_UNSUPPORTED, format!("application {app} is not served"));
                self.reject(side, &message, &fault, out);
            }
            (_, command) => {
                let fault =
                    Fault::new(result::COMMAND_UNSUPPORTED, format!("command {command} is not served"));
                self.reject(side, &message, &fault, out);
            }
        }
    }

    /// Rejects a message: a request gets an error answer, an invalid answer is dropped.
    fn reject(&self, side: Side, message: &Message, fault: &Fault, out: &mut Vec<PeerOutput>) {
        out.push(PeerOutput::Refused(fault.code));
        if message.header.flags.request {
            out.push(PeerOutput::Send(side, self.error_answer(message, fault)));
        }
    }

    fn error_answer(&self, message: &Message, fault: &Fault) -> Message {
        Message::error_answer(message, fault, &self.local.host, &self.local.realm)
    }

    /// Appends Origin-Host, Origin-Realm and Origin-State-Id.
    fn with_origin(&self, message: Message) -> Message {
        message
            .with(Avp::text(dict::ORIGIN_HOST, &self.local.host))
            .with(Avp::text(dict::ORIGIN_REALM, &self.local.realm))
            .with(Avp::u32(dict::ORIGIN_STATE_ID, self.local.state_id))
    }

    fn disconnected(&mut self, now: Micros, side: Side, out: &mut Vec<PeerOutput>) {
        match (self.state, side) {
            (State::WaitICea, Side::Initiator) => self.enter_closed(now, Reason::Transport, out),
            (State::WaitConnAckElect, Side::Responder) => {
                self.cer = None;
                self.set_state(now, State::WaitConnAck);
            }
            (State::WaitReturns, Side::Initiator) => self.answer_cer(now, out),
            (State::WaitReturns, Side::Responder) => {
                self.cer = None;
                self.set_state(now, State::WaitICea);
            }
            (State::Open(open) | State::Closing(open), side) if open == side => {
                self.enter_closed(now, Reason::Transport, out);
            }
            _ => {}
        }
    }

    fn stop(&mut self, now: Micros, cause: u32, out: &mut Vec<PeerOutput>) {
        self.expected_remote = None;
        match self.state {
            State::Open(side) => {
                let mut dpr = self.with_origin(Message::request(code::DISCONNECT, 0));
                dpr.push(Avp::u32(dict::DISCONNECT_CAUSE, cause));
                self.assign_ids(&mut dpr);
                out.push(PeerOutput::Send(side, dpr));
                self.set_state(now, State::Closing(side));
            }
            State::Closing(side) => {
                out.push(PeerOutput::Close(side, Reason::Disconnected));
                self.enter_closed(now, Reason::Disconnected, out);
            }
            State::Closed => {}
            _ => self.abort(now, Reason::Disconnected, out),
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        if now >= self.timeout_at {
            return self.abort(now, Reason::Timeout, out);
        }
        if matches!(self.state, State::Open(_))
            || self.state == State::Closed && self.expected_remote.is_some()
        {
            self.run_watchdog(now, WatchdogEvent::Tick, out);
        }
    }

    /// Closes every transport connection of the current state and the peer.
    fn abort(&mut self, now: Micros, reason: Reason, out: &mut Vec<PeerOutput>) {
        match self.state {
            State::WaitConnAck | State::WaitICea => out.push(PeerOutput::Close(Side::Initiator, reason)),
            State::WaitConnAckElect | State::WaitReturns => {
                out.push(PeerOutput::Close(Side::Initiator, reason));
                out.push(PeerOutput::Close(Side::Responder, reason));
            }
            State::Open(side) | State::Closing(side) => out.push(PeerOutput::Close(side, reason)),
            State::Closed => return,
        }
        self.enter_closed(now, reason, out);
    }

    /// Passes an event to the watchdog and carries out its actions.
    fn run_watchdog(&mut self, now: Micros, event: WatchdogEvent, out: &mut Vec<PeerOutput>) {
        let mut actions = std::mem::take(&mut self.watchdog_actions);
        actions.clear();
        self.watchdog.handle(now, self.rng.random(), event, &mut actions);
        for action in actions.drain(..) {
            match (action, self.side()) {
                (WatchdogAction::SendWatchdog, Some(side)) => {
                    let mut dwr = self.with_origin(Message::request(code::WATCHDOG, 0));
                    self.assign_ids(&mut dwr);
                    out.push(PeerOutput::Send(side, dwr));
                }
                (WatchdogAction::Failover, _) if event != WatchdogEvent::ConnectionDown => {
                    self.usable = false;
                    out.push(PeerOutput::Suspect);
                }
                (WatchdogAction::Failback, _) => {
                    self.usable = true;
                    out.push(PeerOutput::Usable);
                }
                (WatchdogAction::Close, Some(side)) => {
                    out.push(PeerOutput::Close(side, Reason::Watchdog));
                    self.usable = false;
                    self.set_state(now, State::Closed);
                    out.push(PeerOutput::Down(Reason::Watchdog));
                }
                (WatchdogAction::AttemptOpen, None) => {
                    out.push(PeerOutput::Connect);
                    self.set_state(now, State::WaitConnAck);
                }
                _ => {}
            }
        }
        self.watchdog_actions = actions;
    }

    /// Enters `Closed` and reports the peer down; an open peer's watchdog gets `ConnectionDown`.
    fn enter_closed(&mut self, now: Micros, reason: Reason, out: &mut Vec<PeerOutput>) {
        let was_open = matches!(self.state, State::Open(_) | State::Closing(_));
        self.cer = None;
        if was_open {
            self.run_watchdog(now, WatchdogEvent::ConnectionDown, out);
        }
        self.usable = false;
        self.set_state(now, State::Closed);
        out.push(PeerOutput::Down(reason));
    }
}

/// Whether the local node wins an election: its Origin-Host is the higher one, compared octet by octet
/// (section 5.6.4).
pub fn wins_election(ours: &str, theirs: &str) -> bool {
    ours.as_bytes() > theirs.as_bytes()
}

/// Reads a CER or CEA: identifies the remote peer and checks that there is a common application.
///
/// # Errors
/// Those of [`dict::check`] and [`dict::require`] (5005 for a missing AVP), 5010 without a common
/// application, 5017 if the remote peer requires in-band security.
pub fn read_capabilities(message: &Message, local: &Local) -> Result<Remote, Fault> {
    dict::check(message)?;
    let host = dict::require(message, dict::ORIGIN_HOST)?.as_text().unwrap_or("").to_owned();
    let realm = dict::require(message, dict::ORIGIN_REALM)?.as_text().unwrap_or("").to_owned();
    dict::require(message, dict::VENDOR_ID)?;
    dict::require(message, dict::PRODUCT_NAME)?;
    if message.find(dict::HOST_IP_ADDRESS).is_none() {
        dict::require(message, dict::HOST_IP_ADDRESS)?;
    }
    let mut theirs: Vec<u32> = message.all(dict::AUTH_APPLICATION_ID).filter_map(Avp::as_u32).collect();
    for group in message.all(dict::VENDOR_SPECIFIC_APPLICATION_ID) {
        let inner = group.as_group()?;
        theirs.extend(inner.iter().filter(|a| a.code == dict::AUTH_APPLICATION_ID).filter_map(Avp::as_u32));
    }
    let relay = message.all(dict::ACCT_APPLICATION_ID).any(|a| a.as_u32() == Some(RELAY_APPLICATION));
    let common = relay || theirs.iter().any(|id| *id == RELAY_APPLICATION || local.applications.contains(id));
    if !common {
        return Err(Fault::new(result::NO_COMMON_APPLICATION, "no application in common"));
    }
    let mut security = message.all(dict::INBAND_SECURITY_ID).peekable();
    if security.peek().is_some() && !security.any(|a| a.as_u32() == Some(0)) {
        return Err(Fault::new(result::NO_COMMON_SECURITY, "security within the stream is not spoken"));
    }
    Ok(Remote { host, realm, state_id: message.number(dict::ORIGIN_STATE_ID) })
}
