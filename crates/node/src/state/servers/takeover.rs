//! Another server at the address of one that is gone. Until the list tells, its process is taken for the old one, and
//! gets set-ups of its own; the calls that it has accepted are its own as well, and go on.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use baydrift::interface::{Micros, ServerId};

use super::{Server, Servers};
use crate::state::Node;

/// Time for which the loss of all connections to a server explains that another one has its address: what the
/// name server has to tell may be late by several seconds.
const LOSS_RELEVANT_FOR: Micros = 10_000_000;

/// A connection as far as it shows which process accepted a set-up.
#[derive(Debug, Clone, Copy)]
pub(in crate::state) struct ConnOrigin {
    pub(super) address: SocketAddr,
    /// When the connection came up.
    pub(super) up_at: Micros,
}

/// A server's address has passed to another one.
#[derive(Debug, Clone, Copy)]
pub(in crate::state) struct Takeover {
    pub(super) from: ServerId,
    to: ServerId,
    address: SocketAddr,
    /// Connections that came up from then on are those of the new process; `None` if nothing shows that one is.
    since: Option<Micros>,
}

impl Takeover {
    fn includes(&self, origin: ConnOrigin) -> bool {
        origin.address == self.address && self.since.is_some_and(|since| origin.up_at >= since)
    }
}

impl Server {
    /// Since when the connections to this server's address were accepted by the process that has it now, which
    /// started at `started_at` by the list; `None` if nothing shows that a connection is one of the new process.
    fn address_taken_since(&self, now: Micros, started_at: Option<Micros>) -> Option<Micros> {
        let explains =
            |lost: Micros, restored: Micros| lost <= restored && now < lost.saturating_add(LOSS_RELEVANT_FOR);
        let restored_at = self.restored_at.filter(|at| self.lost_at.is_some_and(|lost| explains(lost, *at)));
        restored_at.into_iter().chain(started_at).min()
    }
}

impl Servers {
    /// The addresses of the servers that have one.
    pub(super) fn addresses(&self) -> BTreeMap<ServerId, SocketAddr> {
        self.by_id.iter().filter_map(|(id, server)| Some((*id, server.address?))).collect()
    }

    /// The servers whose former address belongs to another server of the list now.
    pub(super) fn takeovers(&self, now: Micros, former: &BTreeMap<ServerId, SocketAddr>) -> Vec<Takeover> {
        let owner = |address: SocketAddr| {
            let has_address = |server: &Server| server.listed.is_some() && server.address == Some(address);
            self.by_id.iter().find(|(_, server)| has_address(server))
        };
        let takeover = |(from, address): (&ServerId, &SocketAddr)| {
            let (to, new) = owner(*address).filter(|(to, _)| *to != from)?;
            let since = self.by_id.get(from)?.address_taken_since(now, new.started_at);
            Some(Takeover { from: *from, to: *to, address: *address, since })
        };
        former.iter().filter_map(takeover).collect()
    }

    /// Forgets the address of a server that is off the list, since another one has it now. The new server knows none
    /// of the old one's calls, so a successful dial says nothing about them.
    pub(super) fn forget_address(&mut self, id: ServerId) {
        let Some(server) = self.by_id.get_mut(&id).filter(|server| server.listed.is_none()) else { return };
        server.address = None;
        server.pending_releases.clear();
        self.restarted.push((id, Micros::MAX));
    }
}

impl Node {
    /// Moves the connections that the new process accepted to its server, with the attempts and calls on them.
    pub(in crate::state) fn apply_takeover(&mut self, takeover: Takeover) {
        let Takeover { from, to, .. } = takeover;
        for (id, conn) in self.servers.conns.iter_mut().filter(|(_, conn)| conn.server == from && conn.up) {
            if !takeover.includes(conn.origin()) {
                continue;
            }
            conn.server = to;
            if let Some(old) = self.servers.by_id.get_mut(&from) {
                old.conns.remove(id);
            }
            if let Some(new) = self.servers.by_id.get_mut(&to) {
                new.conns.insert(*id);
                new.down_since = None;
                new.accepted_at = new.accepted_at.max(conn.up_at);
            }
        }
        let (mut in_flight, mut established) = (0, 0);
        for (id, attempt) in self.attempts.iter_mut().filter(|(_, attempt)| attempt.server == from) {
            if !attempt.origin.is_some_and(|origin| takeover.includes(origin)) {
                continue;
            }
            attempt.server = to;
            if !attempt.established {
                in_flight += 1;
                continue;
            }
            established += 1;
            if let Some(old) = self.servers.by_id.get_mut(&from) {
                old.established.remove(&attempt.call);
            }
            if let Some(new) = self.servers.by_id.get_mut(&to) {
                new.established.insert(attempt.call, *id);
            }
        }
        tracing::debug!(
            "{to:x} has the address of {from:x}: {in_flight} attempts, {established} calls are its own"
        );
    }
}
