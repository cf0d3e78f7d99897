//! The signalling servers: connections to each, attempts on them, and who is taken for dead.
//!
//! What a server says is matched to the attempt: by the connection of its set-up until the call stands, by the
//! server afterwards. A call comes to no connection a second time, so that a late word on an attempt that was
//! given up is never taken for one on the next.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Display;
use std::net::SocketAddr;

use baydrift::interface::{Micros, Note, Outcome, Report, ServerId, ServerState};
use baydrift_call::{AttemptEnd, AttemptId, Input as Moment};
use baydrift_platform::server_list::server_id;
use baydrift_platform::{
    report, CallId, Cause, Message, MessageType, ParameterCode, PlatformError, ServerList,
};

use super::aged::Aged;
use super::spread::{Spread, MOST};
use super::{wire, Flight, Node, Output, Payload, Unsent};
use crate::config::Config;

/// Descriptors for all that is no connection: listener, datagrams, signals, log, configuration.
const OTHERS: usize = 24;
/// A connection that has said nothing for so long is tested ...
const TEST_AFTER: Micros = 1_000_000;
/// ... and taken for dead when the test is unanswered for so long.
const TEST_WITHIN: Micros = 1_000_000;
/// The rest of a message must come within this: a message is small, and what waits behind it waits for nothing.
const PART_WITHIN: Micros = 500_000;
/// Pause after a failed dial; it doubles up to the second.
const REDIAL: (Micros, Micros) = (100_000, 1_000_000);
/// A server that cannot be reached for so long has lost its calls: their callers are owed word within 8 s.
const LOST_AFTER: Micros = 3_500_000;
/// And one that the list does not name, sooner: the list is never so far behind.
const GONE_AFTER: Micros = 1_500_000;
/// A connection remembers calls that are over on it for so long, and so many.
const PAST: (usize, Micros) = (512, 20_000_000);
/// Ends of calls that are not known here are kept, so many and for so long. Guards against a start of this process
/// in the midst of calls: a server tells what is over on the first connection, and the caller names the call, as
/// one that stands, only after it.
const UNNAMED: (usize, Micros) = (1_024, 8_000_000);
/// Releases that wait for a connection to their server.
const OWED_MAX: usize = 1_000;

/// One connection to a signalling server. Never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// How many connections there may be.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bounds {
    all: usize,
    /// To one server, as long as it has refused none.
    spread: Spread,
}

impl Bounds {
    /// Three eighths of the descriptors, since callers hold a third.
    pub(super) fn of(config: &Config) -> Self {
        Self { all: (config.sockets * 3 / 8).min(8 * MOST), spread: Spread::of_fleet(config.settings.fronts) }
    }

    /// Descriptors that callers may not have.
    pub(super) fn kept_back(self) -> usize {
        self.all + OTHERS
    }
}

#[derive(Debug)]
struct Conn {
    server: ServerId,
    /// Where it was dialled.
    address: SocketAddr,
    up: bool,
    /// Set-ups without their answer.
    open: BTreeMap<CallId, AttemptId>,
    /// Calls that are over on it.
    past: Aged<CallId>,
    heard_at: Micros,
    tested_at: Option<Micros>,
    part_since: Option<Micros>,
}

impl Conn {
    fn is_over(&self, call: CallId) -> bool {
        self.past.any(|past| *past == call)
    }
}

#[derive(Debug, Default)]
struct Server {
    address: Option<SocketAddr>,
    /// `None`: it is on the list no longer.
    listed: Option<ServerState>,
    started_at: Option<Micros>,
    conns: BTreeSet<ConnId>,
    /// Calls that stand there.
    standing: BTreeMap<CallId, AttemptId>,
    /// Set-ups that wait for a connection.
    waiting: VecDeque<AttemptId>,
    /// Releases that wait for one.
    owed: VecDeque<CallId>,
    failures: u32,
    /// How many connections it is worth; `None` until it refuses one.
    spread: Option<Spread>,
    dial_at: Micros,
    /// Since when no connection is up.
    down_since: Option<Micros>,
    /// A connection broke and none was opened since.
    renew: bool,
}

impl Server {
    /// A release waits for the next connection.
    fn owe(&mut self, call: CallId) {
        if self.owed.len() >= OWED_MAX {
            self.owed.pop_front();
        }
        self.owed.push_back(call);
    }
}

/// All signalling servers.
#[derive(Debug)]
pub(super) struct Servers {
    known: BTreeMap<ServerId, Server>,
    conns: BTreeMap<ConnId, Conn>,
    next_conn: u64,
    bounds: Bounds,
    restarted: Vec<(ServerId, Micros)>,
    /// Ends of calls that no caller has named here yet.
    unnamed: Aged<(ServerId, CallId, Outcome)>,
}

impl Servers {
    pub(super) fn new(bounds: Bounds) -> Self {
        Self {
            known: BTreeMap::new(),
            conns: BTreeMap::new(),
            next_conn: 1,
            bounds,
            restarted: Vec::new(),
            unnamed: Aged::new(UNNAMED),
        }
    }

    pub(super) fn open(&self) -> usize {
        self.conns.len()
    }

    /// Takes the list; the servers that are new on it.
    pub(super) fn listed(&mut self, now: Micros, fleet: &ServerList) -> Vec<ServerId> {
        let mut fresh = Vec::new();
        for server in self.known.values_mut() {
            server.listed = None;
        }
        for line in fleet.servers() {
            let id = server_id(&line.name);
            tracing::debug!("listed: {} {id:x} {:?} {}", line.name, line.state, line.address);
            let server = self.known.entry(id).or_insert_with(|| {
                fresh.push(id);
                Server { started_at: line.started_at, down_since: Some(now), ..Server::default() }
            });
            if let Some(at) = line.started_at.filter(|_| server.started_at != line.started_at) {
                self.restarted.push((id, at));
            }
            (server.started_at, server.listed) = (line.started_at, Some(line.state));
            if server.address != Some(line.address) {
                (server.address, server.dial_at) = (Some(line.address), now);
            }
        }
        // Guards against a new server at the address of one that is gone: whatever answers there now knows none of
        // the old one's calls, and a dial that succeeds proves nothing.
        let taken: BTreeSet<_> = fleet.servers().map(|line| line.address).collect();
        for (id, server) in self.known.iter_mut().filter(|(_, server)| server.listed.is_none()) {
            if server.address.is_some_and(|address| taken.contains(&address)) {
                server.address = None;
                server.owed.clear();
                self.restarted.push((*id, Micros::MAX));
            }
        }
        fresh
    }

    /// Servers whose process the list showed to be another than before, and since when.
    pub(super) fn take_restarted(&mut self) -> Vec<(ServerId, Micros)> {
        std::mem::take(&mut self.restarted)
    }

    /// Whether a release waits for a connection to its server.
    pub(super) fn is_owing(&self) -> bool {
        self.known.values().any(|server| server.listed.is_some() && !server.owed.is_empty())
    }

    /// A call stands at a server, which need not be on the list.
    pub(super) fn stands(&mut self, now: Micros, server: ServerId, call: CallId, attempt: AttemptId) {
        let fresh = || Server { down_since: Some(now), ..Server::default() };
        self.known.entry(server).or_insert_with(fresh).standing.insert(call, attempt);
    }

    /// How a call ended whose caller names it only now.
    pub(super) fn take_unnamed(&mut self, now: Micros, server: ServerId, call: CallId) -> Option<Outcome> {
        let ends = self.unnamed.take(now, |(at, id, _)| (*at, *id) == (server, call));
        ends.first().map(|(.., outcome)| *outcome)
    }

    /// Part of a message has come.
    pub(super) fn part(&mut self, conn: ConnId, now: Micros) {
        if let Some(conn) = self.conns.get_mut(&conn) {
            conn.part_since.get_or_insert(now);
        }
    }

    fn up(&self, server: ServerId) -> impl Iterator<Item = (ConnId, &Conn)> {
        let ids = self.known.get(&server).into_iter().flat_map(|server| &server.conns);
        ids.filter_map(|id| Some((*id, self.conns.get(id)?))).filter(|(_, conn)| conn.up)
    }

    /// The connection for a set-up: the one with the fewest open, and never one that the call was on already.
    fn choose(&self, server: ServerId, call: CallId) -> Option<ConnId> {
        let free = self.up(server).filter(|(_, conn)| !conn.is_over(call) && !conn.open.contains_key(&call));
        free.min_by_key(|(id, conn)| (conn.open.len(), *id)).map(|(id, _)| id)
    }

    fn any_up(&self, server: ServerId) -> Option<ConnId> {
        self.up(server).next().map(|(id, _)| id)
    }

    /// Whether a set-up waits though connections are up: its call was on each of them. Guards against a second attempt
    /// at the same server that waits for a connection which nobody dials.
    fn is_stuck(&self, server: &Server) -> bool {
        let up = server.conns.iter().any(|id| self.conns.get(id).is_some_and(|conn| conn.up));
        up && !server.waiting.is_empty() && server.conns.len() < 2 * MOST
    }

    /// How many connections a server should have now.
    fn wanted(&self, now: Micros, server: &Server) -> usize {
        let open = server.conns.iter().filter_map(|id| self.conns.get(id)).map(|conn| conn.open.len());
        let busy = open.sum::<usize>() + server.waiting.len();
        match server.listed {
            Some(ServerState::Ready) => {
                let share = self.bounds.all / self.known.len().max(1);
                let spread = server.spread.unwrap_or(self.bounds.spread);
                spread.wanted(now, busy, share)
            }
            // Whatever answers there now is not the process that is gone.
            None => 0,
            // What stands or is owed there is told on any connection, or on the next.
            Some(_) => usize::from(busy > 0 || !server.standing.is_empty() || !server.owed.is_empty()),
        }
    }

    /// Dials what is missing; with `at_once` the pause after a failure is cut short, for a set-up that waits.
    fn dial(&mut self, now: Micros, id: ServerId, at_once: bool, out: &mut Vec<Output>) {
        let Some(server) = self.known.get(&id) else { return };
        let dialling = server.conns.iter().any(|conn| self.conns.get(conn).is_some_and(|conn| !conn.up));
        let due = now >= server.dial_at || at_once && !dialling;
        let room = self.conns.len() < self.bounds.all || server.conns.is_empty();
        let wanted = if server.failures > 0 { 1 } else { self.wanted(now, server) };
        // Guards against ends of calls that went down with a connection: their server tells them again, but only on
        // the next connection that is opened, and no set-up may need one for long.
        let renewed = usize::from(server.renew && server.listed.is_some() && server.conns.len() < 2 * MOST);
        let renewed = renewed.max(usize::from(!dialling && self.is_stuck(server)));
        let missing = wanted.saturating_sub(server.conns.len()).max(renewed).min(2);
        let Some(address) = server.address.filter(|_| due && room) else { return };
        for _ in 0..missing {
            let conn = ConnId(self.next_conn);
            self.next_conn += 1;
            let fresh = Conn {
                server: id,
                address,
                up: false,
                open: BTreeMap::new(),
                past: Aged::new(PAST),
                heard_at: now,
                tested_at: None,
                part_since: None,
            };
            self.conns.insert(conn, fresh);
            if let Some(server) = self.known.get_mut(&id) {
                server.conns.insert(conn);
                server.renew = false;
            }
            out.push(Output::Dial(conn, address));
        }
    }

    /// Forgets a connection.
    fn remove(&mut self, now: Micros, id: ConnId) -> Option<Conn> {
        let conn = self.conns.remove(&id)?;
        let none_up = self.any_up(conn.server).is_none();
        if let Some(server) = self.known.get_mut(&conn.server) {
            server.conns.remove(&id);
            server.renew |= conn.up;
            if none_up {
                server.down_since.get_or_insert(now);
            }
        }
        Some(conn)
    }
}

impl Node {
    /// The engine sets a call up: on a connection that is up, or on the next one within the dial's time.
    pub(super) fn set_up(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        call: CallId,
        payload: Payload,
        (timeout, begin_within): (Micros, Micros),
        out: &mut Vec<Output>,
    ) {
        let (since, until) = (self.now, self.now + timeout);
        let begin_by = self.now.saturating_add(begin_within).min(until);
        let unsent = Unsent { payload, since, until, begin_by };
        let flight = Flight { server, call, conn: None, stands: false, at: self.now, unsent: Some(unsent) };
        self.flights.insert(attempt, flight);
        match self.servers.choose(server, call) {
            Some(conn) => self.write_set_up(attempt, conn, out),
            None => {
                if let Some(server) = self.servers.known.get_mut(&server) {
                    server.waiting.push_back(attempt);
                }
            }
        }
        self.servers.dial(self.now, server, true, out);
    }

    fn write_set_up(&mut self, attempt: AttemptId, conn: ConnId, out: &mut Vec<Output>) {
        let Some(flight) = self.flights.get_mut(&attempt) else { return };
        let Some(Unsent { payload, until, .. }) = flight.unsent.take() else { return };
        let left_ms = until.saturating_sub(self.now).max(1_000) / 1_000;
        let mut message = Message::new(MessageType::SetUp, flight.call)
            .with(ParameterCode::CLASS, payload.class)
            .with(ParameterCode::TIMEOUT, left_ms.to_string());
        if let Some(number) = payload.number {
            message = message.with(ParameterCode::CALLED_NUMBER, number);
        }
        message = message.with(ParameterCode::DESCRIPTION, payload.description);
        let Some(bytes) = wire(&message) else {
            return self.end(attempt, AttemptEnd::plain(Outcome::Moot), out);
        };
        flight.conn = Some(conn);
        flight.at = self.now;
        tracing::trace!("{} at {:x}: set-up on {}", flight.call, flight.server, conn.0);
        self.belief.sent(flight.server);
        if let Some(conn) = self.servers.conns.get_mut(&conn) {
            conn.open.insert(flight.call, attempt);
        }
        out.push(Output::ToServer(conn, bytes));
    }

    /// An attempt is given up, or a call that stands is released.
    pub(super) fn release(&mut self, attempt: AttemptId, out: &mut Vec<Output>) {
        let Some(flight) = self.flights.remove(&attempt) else { return };
        let Flight { server, call, conn, stands, unsent, .. } = flight;
        tracing::trace!("{call} at {server:x}: released, standing {stands}");
        if !stands && unsent.is_none() {
            self.belief.ended(server, Outcome::Timeout);
        }
        let home = conn.filter(|conn| self.servers.conns.get(conn).is_some_and(|conn| conn.up));
        if unsent.is_some() {
            if let Some(server) = self.servers.known.get_mut(&server) {
                server.waiting.retain(|other| *other != attempt);
            }
            return;
        }
        if !stands {
            // Without its connection the set-up has ended with that.
            let Some(conn) = home else { return };
            if let Some(conn) = self.servers.conns.get_mut(&conn) {
                conn.open.remove(&call);
                conn.past.put(self.now, call);
            }
            return write(out, conn, &Message::release(call, Cause::NORMAL));
        }
        let any = home.or_else(|| self.servers.any_up(server));
        let Some(known) = self.servers.known.get_mut(&server) else { return };
        known.standing.remove(&call);
        match any {
            Some(conn) => write(out, conn, &Message::release(call, Cause::NORMAL)),
            None => known.owe(call),
        }
    }

    /// An attempt has ended without standing.
    fn end(&mut self, attempt: AttemptId, end: AttemptEnd, out: &mut Vec<Output>) {
        // Forgotten first: nothing is left at the server that a release would end.
        if let Some(flight) = self.flights.remove(&attempt) {
            tracing::trace!("{} at {:x}: {:?} {:?}", flight.call, flight.server, end.outcome, end.note);
            self.belief.ended(flight.server, end.outcome);
        }
        self.engine(Moment::Ended { attempt, end }, out);
    }

    pub(super) fn server_up(&mut self, id: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(conn) = self.servers.conns.get_mut(&id) else { return out.push(Output::CloseServer(id)) };
        (conn.up, conn.heard_at) = (true, now);
        tracing::debug!("{:x}: connection {} up", conn.server, id.0);
        let of = conn.server;
        let Some(server) = self.servers.known.get_mut(&of) else { return };
        (server.failures, server.down_since) = (0, None);
        let (waiting, owed) = (std::mem::take(&mut server.waiting), std::mem::take(&mut server.owed));
        let ready = server.listed == Some(ServerState::Ready);
        for call in owed {
            write(out, id, &Message::release(call, Cause::NORMAL));
        }
        for attempt in waiting {
            // Checked again at the moment of writing: the server's drain may have been told meanwhile, and the time in
            // which the set-up was of use may have passed.
            let unsent = self.flights.get(&attempt).and_then(|flight| flight.unsent.as_ref());
            if ready && unsent.is_some_and(|unsent| now < unsent.begin_by) {
                self.write_set_up(attempt, id, out);
            } else {
                self.end(attempt, AttemptEnd::plain(Outcome::Moot), out);
            }
        }
    }

    pub(super) fn dial_failed(&mut self, id: ConnId, refused: bool, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(conn) = self.servers.remove(now, id) else { return };
        tracing::debug!("{:x}: connection {} not up, refused {refused}", conn.server, id.0);
        let up = self.servers.up(conn.server).count();
        let spread = self.servers.bounds.spread;
        let Some(server) = self.servers.known.get_mut(&conn.server) else { return };
        if up > 0 {
            // It serves, and takes no more.
            server.spread.get_or_insert(spread).refused(now, up);
        }
        server.dial_at = now + (REDIAL.0 << server.failures.min(8)).min(REDIAL.1);
        server.failures += 1;
        if up > 0 {
            return;
        }
        for attempt in std::mem::take(&mut server.waiting) {
            self.end(attempt, AttemptEnd::plain(Outcome::ConnectFailed), out);
        }
        // Nothing runs where a connection is refused: the process is gone, with all its calls.
        if refused {
            self.lose(conn.server, Micros::MAX, out);
        }
    }

    /// A server's calls from before a time are gone with their process; those that stood.
    pub(super) fn lose(&mut self, server: ServerId, before: Micros, out: &mut Vec<Output>) -> Vec<CallId> {
        let here = |flight: &Flight| flight.server == server && flight.unsent.is_none() && flight.at < before;
        let gone: Vec<_> = self.flights.iter().filter(|(_, f)| here(f)).map(|(id, _)| *id).collect();
        self.counts.lost += u64::from(!gone.is_empty());
        tracing::debug!("{server:x}: its process is gone, with {} calls", gone.len());
        let mut stood = Vec::new();
        for attempt in gone {
            let Some(flight) = self.flights.remove(&attempt) else { continue };
            stood.extend(flight.stands.then_some(flight.call));
            if let Some(conn) = flight.conn.and_then(|conn| self.servers.conns.get_mut(&conn)) {
                conn.open.remove(&flight.call);
            }
            if let Some(known) = self.servers.known.get_mut(&server) {
                known.standing.remove(&flight.call);
            }
            self.engine(Moment::Cut { attempt, report: Report::default() }, out);
        }
        stood
    }

    /// A connection that was up has ended: what is open on it may have run. Calls that stand are not touched.
    pub(super) fn server_down(&mut self, id: ConnId, out: &mut Vec<Output>) {
        let Some(conn) = self.servers.remove(self.now, id) else { return };
        tracing::debug!("{:x}: connection {} down, {} open", conn.server, id.0, conn.open.len());
        self.counts.broken += u64::from(!conn.open.is_empty());
        // Dialled before what was open is placed again, so that it finds a connection.
        self.servers.dial(self.now, conn.server, false, out);
        for attempt in conn.open.into_values() {
            self.end(attempt, AttemptEnd::plain(Outcome::Reset), out);
        }
    }

    fn broken(&mut self, id: ConnId, why: &dyn Display, out: &mut Vec<Output>) {
        tracing::debug!("a signalling server's connection is closed: {why}");
        out.push(Output::CloseServer(id));
        self.server_down(id, out);
    }

    pub(super) fn server_said(&mut self, id: ConnId, message: &Message, out: &mut Vec<Output>) {
        let Some(conn) = self.servers.conns.get_mut(&id) else { return };
        (conn.heard_at, conn.tested_at, conn.part_since) = (self.now, None, None);
        let server = conn.server;
        let done = match message.kind {
            MessageType::LoadReport => self.report_of(message).map(|report| {
                self.engine(Moment::LoadReport { server, report }, out);
            }),
            MessageType::Answer => self.stands(id, message, out),
            MessageType::Release => self.ended(id, server, message, out),
            MessageType::HealthCheck => {
                write(out, id, &Message::health_check_passed(message.call));
                Ok(())
            }
            MessageType::Progress | MessageType::ReleaseAck | MessageType::HealthCheckResult => Ok(()),
            MessageType::SetUp => Err(PlatformError::UnknownType(1)),
        };
        if let Err(fault) = done {
            self.broken(id, &fault, out);
        }
    }

    fn report_of(&self, message: &Message) -> Result<Report, PlatformError> {
        let text = message.text(ParameterCode::LOAD_REPORT)?;
        Ok(text.map(|text| report::read(text, &self.site.fields)).unwrap_or_default())
    }

    /// FIRST: a call stands. Only on the connection of its set-up; a second copy, or an answer to what nobody
    /// asked, means nothing.
    fn stands(&mut self, id: ConnId, message: &Message, out: &mut Vec<Output>) -> Result<(), PlatformError> {
        // All is read before anything is changed: what cannot be read ends with its connection, whole.
        let (call, report) = (message.call, self.report_of(message)?);
        let conn = self.servers.conns.get_mut(&id);
        let Some((conn, attempt)) = conn.and_then(|conn| conn.open.get(&call).copied().map(|a| (conn, a)))
        else {
            return Ok(());
        };
        let description = message.required(ParameterCode::DESCRIPTION)?.clone();
        conn.open.remove(&call);
        let server = conn.server;
        if let Some(flight) = self.flights.get_mut(&attempt) {
            flight.stands = true;
        }
        tracing::trace!("{call} at {server:x}: stands");
        self.belief.ended(server, Outcome::Ok);
        self.servers.stands(self.now, server, call, attempt);
        self.answer = Some(description);
        self.engine(Moment::Established { attempt, report }, out);
        self.answer = None;
        Ok(())
    }

    /// A release by a signalling server: a set-up's end, or that of a call that stands.
    fn ended(
        &mut self,
        id: ConnId,
        server: ServerId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), PlatformError> {
        // As above: all is read first.
        let (call, cause, report) = (message.call, message.cause()?, self.report_of(message)?);
        let note = message.text(ParameterCode::NOTE)?.map_or(Note::None, note);
        let Some(conn) = self.servers.conns.get_mut(&id) else { return Ok(()) };
        if let Some(attempt) = conn.open.remove(&call) {
            tracing::trace!("{call} at {server:x}: released with cause {cause} before its answer");
            conn.past.put(self.now, call);
            if cause == Cause::NORMAL {
                // Its answer was lost on the way, and this is the call's own end.
                self.flights.remove(&attempt);
                self.engine(Moment::Cleared { attempt, report }, out);
                return Ok(());
            }
            let outcome = match cause {
                Cause::NO_CIRCUIT => Outcome::Full,
                Cause::BUSY | Cause::RESOURCE => Outcome::Error,
                Cause::TIMER => Outcome::Moot,
                _ => Outcome::Reset,
            };
            self.end(attempt, AttemptEnd { outcome, note, report }, out);
        } else {
            let was_here = conn.is_over(call);
            let outcome = if cause == Cause::NORMAL { Outcome::Ok } else { Outcome::Reset };
            let Some(known) = self.servers.known.get(&server) else { return Ok(()) };
            let Some(attempt) = known.standing.get(&call).copied() else {
                if !was_here {
                    self.servers.unnamed.put(self.now, (server, call, outcome));
                }
                return Ok(());
            };
            let home = self.flights.get(&attempt).and_then(|flight| flight.conn);
            tracing::trace!(
                "{call} at {server:x}: over, cause {cause}, on {}, set up on {home:?}, {was_here}",
                id.0
            );
            // A late word on an attempt that was given up here; one on the call would come by its own connection.
            // Only the end of one that stood is never meant for an attempt that did not.
            let late = was_here && outcome != Outcome::Ok;
            if late && home.is_some_and(|home| self.servers.conns.contains_key(&home)) {
                return Ok(());
            }
            self.flights.remove(&attempt);
            if let Some(known) = self.servers.known.get_mut(&server) {
                known.standing.remove(&call);
            }
            let moment = match outcome {
                Outcome::Ok => Moment::Cleared { attempt, report },
                _ => Moment::Cut { attempt, report },
            };
            self.engine(moment, out);
        }
        Ok(())
    }

    pub(super) fn look_at_servers(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        for id in self.servers.known.keys().copied().collect::<Vec<_>>() {
            self.look_at_server(id, out);
        }
        let mut broken = Vec::new();
        let at = |server| self.servers.known.get(&server).map(|server| server.address);
        let misplaced =
            self.servers.conns.iter().filter(|(_, conn)| at(conn.server) != Some(Some(conn.address)));
        // Guards against a server that has moved, and one whose address is another's by now: what was dialled there is
        // somebody else, or nobody.
        broken.extend(misplaced.map(|(id, _)| (*id, "the server is elsewhere")));
        for (id, conn) in self.servers.conns.iter_mut().filter(|(_, conn)| conn.up) {
            let stuck = conn.part_since.is_some_and(|at| now >= at + PART_WITHIN);
            let silent = conn.tested_at.is_some_and(|at| now >= at + TEST_WITHIN);
            if stuck || silent {
                broken.push((*id, if stuck { "half a message" } else { "a test unanswered" }));
            } else if conn.tested_at.is_none() && now >= conn.heard_at + TEST_AFTER {
                conn.tested_at = Some(now);
                let test = Message::new(MessageType::HealthCheck, CallId::default())
                    .with(ParameterCode::CAUSE, vec![0]);
                write(out, *id, &test);
            }
        }
        for (id, why) in broken {
            self.broken(id, &why, out);
        }
    }

    fn look_at_server(&mut self, id: ServerId, out: &mut Vec<Output>) {
        let (now, dial_timeout) = (self.now, self.dial_timeout);
        let Some(server) = self.servers.known.get_mut(&id) else { return };
        let late: Vec<_> = server
            .waiting
            .iter()
            .filter(|attempt| {
                let unsent = self.flights.get(attempt).and_then(|flight| flight.unsent.as_ref());
                unsent.is_none_or(|unsent| now >= (unsent.since + dial_timeout).min(unsent.begin_by))
            })
            .copied()
            .collect();
        server.waiting.retain(|attempt| !late.contains(attempt));
        let after = if server.listed.is_some() { LOST_AFTER } else { GONE_AFTER };
        let down = server.down_since.is_some_and(|at| now >= at + after);
        let idle = server.listed.is_none() && server.standing.is_empty() && server.waiting.is_empty();
        let conns: Vec<_> = server.conns.iter().copied().collect();
        // Guards against a server that serves and is taken for one that cannot be reached, and so for cold, since it gave
        // this call no further connection in time.
        let outcome = match self.servers.any_up(id) {
            Some(_) => Outcome::Moot,
            None => Outcome::ConnectFailed,
        };
        for attempt in late {
            self.end(attempt, AttemptEnd::plain(outcome), out);
        }
        if down {
            // Cut off, or gone without a word. Should it come back, it is told what it may hold still.
            let stood = self.lose(id, Micros::MAX, out);
            if let Some(server) = self.servers.known.get_mut(&id) {
                stood.into_iter().for_each(|call| server.owe(call));
            }
        }
        let open = |conn: &ConnId| self.servers.conns.get(conn).is_some_and(|conn| !conn.open.is_empty());
        if idle && !conns.iter().any(open) {
            for conn in conns {
                out.push(Output::CloseServer(conn));
                self.servers.remove(now, conn);
            }
            self.servers.known.remove(&id);
            return;
        }
        self.close_spare(id, out);
        self.servers.dial(now, id, false, out);
    }

    /// Closes a connection beyond what the server is worth, the oldest on which nothing is open and nothing stands: no end
    /// of a call comes by it first.
    fn close_spare(&mut self, id: ServerId, out: &mut Vec<Output>) {
        let Some(server) = self.servers.known.get(&id) else { return };
        let share = self.servers.bounds.all / self.servers.known.len().max(1);
        let most = server.spread.unwrap_or(self.servers.bounds.spread).most(self.now).min(share).max(1);
        let up: Vec<_> = self.servers.up(id).map(|(conn, of)| (conn, of.open.is_empty())).collect();
        let used = |conn: &ConnId| self.flights.values().any(|flight| flight.conn == Some(*conn));
        if up.len() <= most {
            return;
        }
        let Some((spare, _)) = up.into_iter().find(|(conn, idle)| *idle && !used(conn)) else { return };
        let renew = server.renew;
        out.push(Output::CloseServer(spare));
        self.servers.remove(self.now, spare);
        if let Some(server) = self.servers.known.get_mut(&id) {
            // It did not break: nothing went down with it.
            server.renew = renew;
        }
    }
}

/// A server's further word on a refusal.
fn note(text: &str) -> Note {
    let wait_ms = text.split_once(':').and_then(|(_, ms)| ms.trim().parse::<u32>().ok()).unwrap_or(0);
    match text.split(':').next().unwrap_or_default().trim() {
        "atb" => Note::NoLine,
        "acc" => Note::ProcessorFull(u64::from(wait_ms) * 1_000),
        "racc" => Note::ProcessorFull(0),
        "sub" => Note::NumberBusy,
        _ => Note::None,
    }
}

fn write(out: &mut Vec<Output>, conn: ConnId, message: &Message) {
    out.extend(wire(message).map(|bytes| Output::ToServer(conn, bytes)));
}
