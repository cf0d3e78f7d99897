//! The peer state machine of RFC 6733, section 5.6, for one configured peer: capabilities exchange,
//! watchdog, disconnection, and the election when both ends connect at once.
//!
//! The driver owns the transports, one for each [`Side`], and carries out [`PeerOutput`]s. After a DPR the
//! machine goes on handing over answers and requests to end sessions until the transport closes, so that a
//! peer that drains can finish what it holds; it starts nothing new.

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

/// The relay application (section 2.4): common with every other.
const RELAY: u32 = 0xffff_ffff;

/// Disconnect-Cause (section 5.4.3).
pub mod cause {
    /// REBOOTING: to come back.
    pub const REBOOTING: u32 = 0;
    /// BUSY.
    pub const BUSY: u32 = 1;
    /// DO_NOT_WANT_TO_TALK_TO_YOU.
    pub const DO_NOT_WANT_TO_TALK_TO_YOU: u32 = 2;
}

/// What this end says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Local {
    /// Origin-Host.
    pub host: String,
    /// Origin-Realm.
    pub realm: String,
    /// Host-IP-Address.
    pub addresses: Vec<IpAddr>,
    /// Vendor-Id; 0 for none.
    pub vendor: u32,
    /// Product-Name.
    pub product: String,
    /// Origin-State-Id: grows with each start.
    pub state_id: u32,
    /// Auth-Application-Ids.
    pub applications: Vec<u32>,
    /// Commands taken, as (application, code), beside the base protocol's own.
    pub commands: Vec<(u32, u32)>,
}

/// What the other end said of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Remote {
    /// Origin-Host.
    pub host: String,
    /// Origin-Realm.
    pub realm: String,
    /// Origin-State-Id.
    pub state_id: Option<u32>,
}

/// Who opened a transport.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// This end (I-).
    Initiator,
    /// The other end (R-).
    Responder,
}

/// States, by the names of section 5.6.
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

/// Why a transport or a peer is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// The transport closed or never came about.
    #[error("the transport closed")]
    Transport,
    /// No answer in time while connecting or closing.
    #[error("no answer in time")]
    Timeout,
    /// The capabilities exchange failed, with this Result-Code.
    #[error("capabilities exchange failed ({0})")]
    Capabilities(u32),
    /// Something else came where a CEA was due.
    #[error("a message before the capabilities were exchanged")]
    Unexpected,
    /// The election chose the other transport.
    #[error("the election chose the other transport")]
    Election,
    /// Watchdogs went unanswered (RFC 3539).
    #[error("watchdogs unanswered")]
    Watchdog,
    /// This end stopped, or answered the other's DPR.
    #[error("disconnected by word")]
    Disconnected,
}

/// What the driver tells.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerInput {
    /// Connect.
    Start,
    /// The initiated transport is up.
    Connected,
    /// It did not come about.
    ConnectFailed,
    /// A transport was accepted and this, a CER of this peer, came first.
    Accepted(Message),
    /// A message came.
    Received(Side, Frame),
    /// A transport is gone.
    Disconnected(Side),
    /// Say good-bye with a cause.
    Stop(u32),
    /// Time has passed.
    Tick,
}

/// What the driver does.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerOutput {
    /// Open a transport.
    Connect,
    /// Send on a transport.
    Send(Side, Message),
    /// Close a transport once what was sent is out.
    Close(Side, Reason),
    /// Answer an accepted transport with this and close it: another one is in use.
    Reject(Message),
    /// Capabilities are exchanged.
    Up(Remote),
    /// The peer may be used (watchdog OKAY).
    Usable,
    /// A watchdog is unanswered: what is out there goes elsewhere.
    Suspect,
    /// The peer said that it leaves, with this cause.
    Draining(u32),
    /// The peer is closed.
    Down(Reason),
    /// A request for the application; base protocol and dictionary are checked.
    Request(Message),
    /// An answer.
    Answer(Message),
    /// A message was turned down with this Result-Code; the answer, if any, is in a `Send`.
    Refused(u32),
}

/// One peer.
#[derive(Debug, Clone)]
pub struct Peer {
    local: Arc<Local>,
    /// Host and realm that the other end must be, where this end connects.
    expect: Option<(String, String)>,
    state: State,
    watchdog: Watchdog,
    /// How long to wait for a connection, a CEA or a DPA.
    patience: Micros,
    timeout_at: Micros,
    /// The other end's CER, while an election is open.
    cer: Option<Message>,
    usable: bool,
    hop_by_hop: u32,
    end_to_end: u32,
    rng: Pcg64Mcg,
    seen: Vec<WatchdogAction>,
}

/// Time for a connection, a CEA or a DPA.
pub const HANDSHAKE_TIMEOUT: Micros = 5_000_000;

/// A peer that said it leaves may finish what it holds for so long.
const LINGER: Micros = 60_000_000;

impl Peer {
    /// A peer that is closed. `expect` names the other end where this one connects; `watchdog` is Tw;
    /// `end_to_end` the first End-to-End Identifier (section 3: time in its high bits).
    pub fn new(
        local: Arc<Local>,
        expect: Option<(String, String)>,
        watchdog: Micros,
        end_to_end: u32,
        seed: u64,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        Self {
            local,
            expect,
            state: State::Closed,
            watchdog: Watchdog::new(watchdog),
            patience: HANDSHAKE_TIMEOUT.min(watchdog.saturating_mul(2).max(1)),
            timeout_at: Micros::MAX,
            cer: None,
            usable: false,
            hop_by_hop: rng.random(),
            end_to_end,
            rng,
            seen: Vec::new(),
        }
    }

    /// Its state.
    pub fn state(&self) -> State {
        self.state
    }

    /// When [`PeerInput::Tick`] is wanted.
    pub fn due(&self) -> Micros {
        let watched =
            matches!(self.state, State::Open(_)) || self.state == State::Closed && self.expect.is_some();
        let watchdog = if watched { self.watchdog.due() } else { Micros::MAX };
        watchdog.min(self.timeout_at)
    }

    /// Side of the open transport.
    pub fn side(&self) -> Option<Side> {
        match self.state {
            State::Open(side) | State::Closing(side) => Some(side),
            _ => None,
        }
    }

    /// Gives a request its ids: a new hop-by-hop one, and a new end-to-end one where it has none.
    pub fn assign_ids(&mut self, message: &mut Message) -> u32 {
        self.hop_by_hop = self.hop_by_hop.wrapping_add(1);
        message.header.hop_by_hop = self.hop_by_hop;
        if message.header.end_to_end == 0 {
            self.end_to_end = self.end_to_end.wrapping_add(1);
            message.header.end_to_end = self.end_to_end;
        }
        self.hop_by_hop
    }

    /// Takes one input; appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: PeerInput, out: &mut Vec<PeerOutput>) {
        match input {
            PeerInput::Start => {
                if self.state == State::Closed {
                    self.watch(now, WatchdogEvent::Tick, out);
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

    fn go(&mut self, now: Micros, state: State) {
        self.state = state;
        self.timeout_at = match state {
            State::Closed | State::Open(_) => Micros::MAX,
            _ => now.saturating_add(self.patience),
        };
    }

    fn connected(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        match self.state {
            State::WaitConnAck => {
                self.send_cer(out);
                self.go(now, State::WaitICea);
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
            State::WaitConnAck => self.close(now, Reason::Transport, out),
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
                self.go(now, State::WaitConnAckElect);
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

    /// Both ends connect: the one whose name is higher keeps the transport that the other opened
    /// (section 5.6.4).
    fn election(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        let theirs = self.cer.as_ref().and_then(|cer| cer.text(dict::ORIGIN_HOST)).unwrap_or("");
        if wins_election(&self.local.host, theirs) {
            out.push(PeerOutput::Close(Side::Initiator, Reason::Election));
            self.answer_cer(now, out);
        } else {
            self.go(now, State::WaitReturns);
        }
    }

    fn send_cer(&mut self, out: &mut Vec<PeerOutput>) {
        let mut cer = Message::request(code::CAPABILITIES, 0);
        self.introduce(&mut cer);
        self.assign_ids(&mut cer);
        out.push(PeerOutput::Send(Side::Initiator, cer));
    }

    /// What CER and CEA say (sections 5.3.1 and 5.3.2).
    fn introduce(&self, message: &mut Message) {
        let local = &self.local;
        message.push(Avp::text(dict::ORIGIN_HOST, &local.host));
        message.push(Avp::text(dict::ORIGIN_REALM, &local.realm));
        local.addresses.iter().for_each(|ip| message.push(Avp::address(dict::HOST_IP_ADDRESS, *ip)));
        message.push(Avp::u32(dict::VENDOR_ID, local.vendor));
        message.push(Avp::text(dict::PRODUCT_NAME, &local.product));
        message.push(Avp::u32(dict::ORIGIN_STATE_ID, local.state_id));
        local.applications.iter().for_each(|id| message.push(Avp::u32(dict::AUTH_APPLICATION_ID, *id)));
    }

    /// Process-CER and R-Snd-CEA.
    fn answer_cer(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        let Some(cer) = self.cer.take() else { return };
        match read_capabilities(&cer, &self.local) {
            Ok(remote) => {
                let mut cea = Message::answer(&cer, result::SUCCESS);
                self.introduce(&mut cea);
                out.push(PeerOutput::Send(Side::Responder, cea));
                self.open(now, Side::Responder, remote, out);
            }
            Err(fault) => {
                out.push(PeerOutput::Send(Side::Responder, self.error_answer(&cer, &fault)));
                out.push(PeerOutput::Refused(fault.code));
                out.push(PeerOutput::Close(Side::Responder, Reason::Capabilities(fault.code)));
                self.close(now, Reason::Capabilities(fault.code), out);
            }
        }
    }

    fn open(&mut self, now: Micros, side: Side, remote: Remote, out: &mut Vec<PeerOutput>) {
        self.go(now, State::Open(side));
        out.push(PeerOutput::Up(remote));
        self.watch(now, WatchdogEvent::ConnectionUp, out);
        if !self.usable && self.watchdog.state() == crate::WatchdogState::Okay {
            self.usable = true;
            out.push(PeerOutput::Usable);
        }
    }

    fn received(&mut self, now: Micros, side: Side, frame: Frame, out: &mut Vec<PeerOutput>) {
        let waits = matches!(self.state, State::WaitICea | State::WaitReturns) && side == Side::Initiator;
        if waits {
            return self.received_cea(now, frame, out);
        }
        if self.side() != Some(side) {
            return;
        }
        let message = match frame {
            Frame::Valid(message) => message,
            Frame::Invalid(message, fault) => return self.refuse(side, &message, &fault, out),
        };
        let is_dwa = message.header.code == code::WATCHDOG && !message.header.flags.request;
        if matches!(self.state, State::Open(_)) {
            self.watch(now, if is_dwa { WatchdogEvent::Answer } else { WatchdogEvent::Other }, out);
        }
        if message.header.flags.request {
            self.received_request(now, side, message, out);
        } else if message.header.code == code::DISCONNECT {
            if matches!(self.state, State::Closing(_)) {
                out.push(PeerOutput::Close(side, Reason::Disconnected));
                self.close(now, Reason::Disconnected, out);
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
        self.close(now, reason, out);
    }

    fn read_cea(&self, cea: &Message) -> Result<Remote, u32> {
        match cea.result() {
            result::SUCCESS => {}
            code => return Err(code),
        }
        let remote = read_capabilities(cea, &self.local).map_err(|fault| fault.code)?;
        match &self.expect {
            Some((host, realm)) if *host != remote.host || *realm != remote.realm => {
                Err(result::UNKNOWN_PEER)
            }
            _ => Ok(remote),
        }
    }

    fn received_request(&mut self, now: Micros, side: Side, message: Message, out: &mut Vec<PeerOutput>) {
        if let Err(fault) = dict::check(&message) {
            return self.refuse(side, &message, &fault, out);
        }
        let closing = matches!(self.state, State::Closing(_));
        let (application, command) = (message.header.application, message.header.code);
        match (application, command) {
            (0, code::WATCHDOG) => {
                let dwa = self.signed(Message::answer(&message, result::SUCCESS));
                out.push(PeerOutput::Send(side, dwa));
            }
            (0, code::DISCONNECT) => {
                let dpa = self.signed(Message::answer(&message, result::SUCCESS));
                out.push(PeerOutput::Send(side, dpa));
                let cause = message.number(dict::DISCONNECT_CAUSE).unwrap_or(cause::REBOOTING);
                out.push(PeerOutput::Draining(cause));
                if !closing {
                    // The other end closes the transport when it is ready; not for ever.
                    self.state = State::Closing(side);
                    self.timeout_at = now.saturating_add(LINGER);
                }
            }
            (0, code::CAPABILITIES) => {
                let fault = Fault::new(result::UNABLE_TO_COMPLY, "capabilities were exchanged already");
                self.refuse(side, &message, &fault, out);
            }
            (app, command) if self.local.commands.contains(&(app, command)) => {
                let looped = message.all(dict::ROUTE_RECORD).any(|r| r.as_text() == Some(&self.local.host));
                if looped {
                    let fault = Fault::new(result::LOOP_DETECTED, "this host is in Route-Record");
                    return self.refuse(side, &message, &fault, out);
                }
                out.push(PeerOutput::Request(message));
            }
            (app, _) if app != 0 && !self.local.applications.contains(&app) => {
                let fault =
                    Fault::new(result::APPLICATION_UNSUPPORTED, format!("application {app} is not served"));
                self.refuse(side, &message, &fault, out);
            }
            (_, command) => {
                let fault =
                    Fault::new(result::COMMAND_UNSUPPORTED, format!("command {command} is not served"));
                self.refuse(side, &message, &fault, out);
            }
        }
    }

    /// Answers a request that cannot be taken; a broken answer is dropped.
    fn refuse(&self, side: Side, message: &Message, fault: &Fault, out: &mut Vec<PeerOutput>) {
        out.push(PeerOutput::Refused(fault.code));
        if message.header.flags.request {
            out.push(PeerOutput::Send(side, self.error_answer(message, fault)));
        }
    }

    fn error_answer(&self, message: &Message, fault: &Fault) -> Message {
        Message::error_answer(message, fault, &self.local.host, &self.local.realm)
    }

    fn signed(&self, message: Message) -> Message {
        message
            .with(Avp::text(dict::ORIGIN_HOST, &self.local.host))
            .with(Avp::text(dict::ORIGIN_REALM, &self.local.realm))
            .with(Avp::u32(dict::ORIGIN_STATE_ID, self.local.state_id))
    }

    fn disconnected(&mut self, now: Micros, side: Side, out: &mut Vec<PeerOutput>) {
        match (self.state, side) {
            (State::WaitICea, Side::Initiator) => self.close(now, Reason::Transport, out),
            (State::WaitConnAckElect, Side::Responder) => {
                self.cer = None;
                self.go(now, State::WaitConnAck);
            }
            (State::WaitReturns, Side::Initiator) => self.answer_cer(now, out),
            (State::WaitReturns, Side::Responder) => {
                self.cer = None;
                self.go(now, State::WaitICea);
            }
            (State::Open(open) | State::Closing(open), side) if open == side => {
                self.close(now, Reason::Transport, out);
            }
            _ => {}
        }
    }

    fn stop(&mut self, now: Micros, cause: u32, out: &mut Vec<PeerOutput>) {
        self.expect = None;
        match self.state {
            State::Open(side) => {
                let mut dpr = self.signed(Message::request(code::DISCONNECT, 0));
                dpr.push(Avp::u32(dict::DISCONNECT_CAUSE, cause));
                self.assign_ids(&mut dpr);
                out.push(PeerOutput::Send(side, dpr));
                self.go(now, State::Closing(side));
            }
            State::Closing(side) => {
                out.push(PeerOutput::Close(side, Reason::Disconnected));
                self.close(now, Reason::Disconnected, out);
            }
            State::Closed => {}
            _ => self.abort(now, Reason::Disconnected, out),
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        if now >= self.timeout_at {
            return self.abort(now, Reason::Timeout, out);
        }
        if matches!(self.state, State::Open(_)) || self.state == State::Closed && self.expect.is_some() {
            self.watch(now, WatchdogEvent::Tick, out);
        }
    }

    /// Closes whatever is there.
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
        self.close(now, reason, out);
    }

    /// Runs the watchdog and carries out what it wants.
    fn watch(&mut self, now: Micros, event: WatchdogEvent, out: &mut Vec<PeerOutput>) {
        let mut actions = std::mem::take(&mut self.seen);
        actions.clear();
        self.watchdog.handle(now, self.rng.random(), event, &mut actions);
        for action in actions.drain(..) {
            match (action, self.side()) {
                (WatchdogAction::SendWatchdog, Some(side)) => {
                    let mut dwr = self.signed(Message::request(code::WATCHDOG, 0));
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
                    self.go(now, State::Closed);
                    out.push(PeerOutput::Down(Reason::Watchdog));
                }
                (WatchdogAction::AttemptOpen, None) => {
                    out.push(PeerOutput::Connect);
                    self.go(now, State::WaitConnAck);
                }
                _ => {}
            }
        }
        self.seen = actions;
    }

    fn close(&mut self, now: Micros, reason: Reason, out: &mut Vec<PeerOutput>) {
        let was_open = matches!(self.state, State::Open(_) | State::Closing(_));
        self.cer = None;
        if was_open {
            self.watch(now, WatchdogEvent::ConnectionDown, out);
        }
        self.usable = false;
        self.go(now, State::Closed);
        out.push(PeerOutput::Down(reason));
    }
}

/// Whether this end wins an election: its name is the higher one, octet by octet (section 5.6.4).
pub fn wins_election(ours: &str, theirs: &str) -> bool {
    ours.as_bytes() > theirs.as_bytes()
}

/// Reads a CER or CEA: who the other end is, and whether there is an application in common.
///
/// # Errors
/// 5005 and the like where something is missing, 5010 without a common application, 5017 where the other
/// end wants security within the stream.
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
    let relays = message.all(dict::ACCT_APPLICATION_ID).any(|a| a.as_u32() == Some(RELAY));
    let common = relays || theirs.iter().any(|id| *id == RELAY || local.applications.contains(id));
    if !common {
        return Err(Fault::new(result::NO_COMMON_APPLICATION, "no application in common"));
    }
    let mut security = message.all(dict::INBAND_SECURITY_ID).peekable();
    if security.peek().is_some() && !security.any(|a| a.as_u32() == Some(0)) {
        return Err(Fault::new(result::NO_COMMON_SECURITY, "security within the stream is not spoken"));
    }
    Ok(Remote { host, realm, state_id: message.number(dict::ORIGIN_STATE_ID) })
}
