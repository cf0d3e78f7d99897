//! Connections: two ordered directions, subject to the faults of the link between the endpoints.

use std::collections::BTreeMap;

use baydrift::interface::Micros;
use baydrift_diameter::Message;
use baydrift_isup::Data;

/// Fault state of a link. The default is a link without faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkFault {
    /// One-way delay, microseconds.
    pub delay: Micros,
    /// Holds back data from the initiator, without loss.
    pub stalled: bool,
    /// Holds back data to the initiator, without loss.
    pub stalled_back: bool,
    /// Closes existing connections and refuses new ones.
    pub down: bool,
    /// Cuts each connection after this many bytes from the initiator; on real sockets only.
    pub cut_after: Option<u64>,
}

/// What a connection carries.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Delivery {
    /// Notifies the initiator that the connection is established.
    Connected,
    /// A Diameter message.
    Message(Box<Message>),
    /// A signalling packet.
    Packet(Data),
    /// The other end closed the connection, or it was not established.
    Closed,
}

/// Component at an end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Endpoint {
    /// A session server.
    Server(usize),
    /// A front's link to a server: front, server.
    FrontServer(usize, usize),
    /// Callers.
    Callers(usize),
    /// A front's link of a client.
    FrontClient(usize),
    /// A far end of trunk groups.
    FarEnd(usize),
    /// A front's signalling link to a far end: front, far end.
    FrontFarEnd(usize, usize),
}

/// One connection.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) initiator: Endpoint,
    pub(crate) responder: Endpoint,
    /// Index of the server whose faulty link the connection uses.
    pub(crate) link: Option<usize>,
    /// Whether the initiator's and the responder's ends are open.
    pub(crate) open: [bool; 2],
    /// When the last delivery of each direction arrives; keeps them in order.
    last: [Micros; 2],
    /// Deliveries held back by a stall, for each direction.
    held: [Vec<Delivery>; 2],
    /// Incremented when the link breaks; deliveries of an earlier epoch are lost.
    pub(crate) epoch: u32,
}

/// Direction from the initiator to the responder.
pub(crate) const FORWARD: usize = 0;
/// Direction from the responder to the initiator.
pub(crate) const REVERSE: usize = 1;

/// All connections by id.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    connections: BTreeMap<u64, Connection>,
    next: u64,
}

/// Scheduled arrival: time, connection, direction, epoch of the connection, delivery.
pub(crate) type Arrival = (Micros, u64, usize, u32, Delivery);

impl Connections {
    pub(crate) fn open(&mut self, initiator: Endpoint, responder: Endpoint, link: Option<usize>) -> u64 {
        self.next += 1;
        let (open, last, held) = ([true, true], [0, 0], [Vec::new(), Vec::new()]);
        self.connections
            .insert(self.next, Connection { initiator, responder, link, open, last, held, epoch: 0 });
        self.next
    }

    pub(crate) fn get(&self, id: u64) -> Option<&Connection> {
        self.connections.get(&id)
    }

    /// Connections whose end at `end` is open, oldest first.
    pub(crate) fn held_by(&self, end: Endpoint) -> Vec<u64> {
        let holds = |connection: &Connection| {
            connection.initiator == end && connection.open[0]
                || connection.responder == end && connection.open[1]
        };
        self.connections.iter().filter(|(_, connection)| holds(connection)).map(|(id, _)| *id).collect()
    }

    /// Schedules a delivery to arrive after `delay`. `None` if it is held back or the connection is gone.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        id: u64,
        direction: usize,
        delivery: Delivery,
        fault: LinkFault,
        delay: Micros,
    ) -> Option<Arrival> {
        let connection = self.connections.get_mut(&id)?;
        let stalled = if direction == FORWARD { fault.stalled } else { fault.stalled_back };
        if stalled || !connection.held[direction].is_empty() {
            connection.held[direction].push(delivery);
            return None;
        }
        let at = (now + delay).max(connection.last[direction]);
        connection.last[direction] = at;
        Some((at, id, direction, connection.epoch, delivery))
    }

    /// Closes an end; `true` if the other end has to be notified.
    pub(crate) fn close(&mut self, id: u64, end: usize) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        let was_open = std::mem::replace(&mut connection.open[end], false);
        let other_open = connection.open[1 - end];
        if !other_open {
            self.connections.remove(&id);
        }
        was_open && other_open
    }

    /// Takes the deliveries held back on a stalled link, in order.
    pub(crate) fn release_stalled(&mut self, link: usize) -> Vec<(u64, usize, Delivery)> {
        let mut released = Vec::new();
        for (id, connection) in
            self.connections.iter_mut().filter(|(_, connection)| connection.link == Some(link))
        {
            for direction in [FORWARD, REVERSE] {
                let held = std::mem::take(&mut connection.held[direction]);
                released.extend(held.into_iter().map(|delivery| (*id, direction, delivery)));
            }
        }
        released
    }

    /// Takes the deliveries of one connection that the given fault no longer holds back, in order.
    pub(crate) fn release_unblocked(&mut self, id: u64, fault: LinkFault) -> Vec<(usize, Delivery)> {
        let Some(connection) = self.connections.get_mut(&id) else { return Vec::new() };
        let mut released = Vec::new();
        for (direction, stalled) in [(FORWARD, fault.stalled), (REVERSE, fault.stalled_back)] {
            if !stalled {
                released.extend(
                    std::mem::take(&mut connection.held[direction]).into_iter().map(|p| (direction, p)),
                );
            }
        }
        released
    }

    /// Connections of a front, as initiator or responder.
    pub(crate) fn of_front(&self, front: usize) -> Vec<u64> {
        let of = |end: &Endpoint| match end {
            Endpoint::FrontServer(own, _) | Endpoint::FrontClient(own) | Endpoint::FrontFarEnd(own, _) => {
                *own == front
            }
            _ => false,
        };
        self.connections
            .iter()
            .filter(|(_, c)| of(&c.initiator) || of(&c.responder))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Breaks all connections of an endpoint; what is in transit is lost.
    pub(crate) fn reset_endpoint(&mut self, end: Endpoint) -> Vec<(u64, u32)> {
        let at_endpoint =
            |connection: &Connection| connection.initiator == end || connection.responder == end;
        self.break_matching(at_endpoint)
    }

    /// Breaks all connections of a link that went down; what is in transit is lost.
    pub(crate) fn take_link_down(&mut self, link: usize) -> Vec<(u64, u32)> {
        self.break_matching(|connection| connection.link == Some(link))
    }

    fn break_matching(&mut self, which: impl Fn(&Connection) -> bool) -> Vec<(u64, u32)> {
        let mut broken = Vec::new();
        for (id, connection) in self.connections.iter_mut().filter(|(_, connection)| which(connection)) {
            connection.epoch += 1;
            connection.held = Default::default();
            broken.push((*id, connection.epoch));
        }
        broken
    }
}
