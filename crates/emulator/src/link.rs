//! Transports: two directions in order, with the faults of the link between them.

use std::collections::BTreeMap;

use baydrift::interface::Micros;
use baydrift_diameter::Message;
use baydrift_isup::Data;

/// What a link does to what crosses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkFault {
    /// One way, microseconds.
    pub delay: Micros,
    /// Nothing passes from the initiator, and nothing is lost.
    pub stalled: bool,
    /// Nothing comes back to the initiator, and nothing is lost.
    pub stalled_back: bool,
    /// Connections are closed, and new ones too.
    pub down: bool,
    /// Each connection is cut after so many bytes from the initiator; on sockets only.
    pub cut_after: Option<u64>,
}

/// What crosses a transport.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Parcel {
    /// The transport is up, as its initiator hears.
    Connected,
    /// A message.
    Message(Box<Message>),
    /// A packet of signalling.
    Packet(Data),
    /// The other end closed it, or it never came about.
    Closed,
}

/// Who is at an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum End {
    /// A session server.
    Server(usize),
    /// A front's link to a server.
    FrontServer(usize, usize),
    /// Callers.
    Callers(usize),
    /// A front's link of a client.
    FrontClient(usize),
    /// A far end of trunk groups.
    Far(usize),
    /// A front's signalling link to it.
    FrontFar(usize, usize),
}

/// One transport.
#[derive(Debug)]
pub(crate) struct Conn {
    pub(crate) initiator: End,
    pub(crate) responder: End,
    /// The server whose link with faults it crosses.
    pub(crate) link: Option<usize>,
    /// Whether initiator and responder still hold it.
    pub(crate) open: [bool; 2],
    /// When the last parcel of each direction arrives: order is kept.
    last: [Micros; 2],
    /// What waits for a stalled direction.
    held: [Vec<Parcel>; 2],
    /// Parcels under way when the link went down are lost.
    pub(crate) epoch: u32,
}

/// A direction: towards the responder, or back.
pub(crate) const THERE: usize = 0;
pub(crate) const BACK: usize = 1;

/// All transports.
#[derive(Debug, Default)]
pub(crate) struct Conns {
    conns: BTreeMap<u64, Conn>,
    next: u64,
}

/// A parcel that arrives: transport, direction, when, and the transport's epoch.
pub(crate) type Arrival = (Micros, u64, usize, u32, Parcel);

impl Conns {
    pub(crate) fn open(&mut self, initiator: End, responder: End, link: Option<usize>) -> u64 {
        self.next += 1;
        let (open, last, held) = ([true, true], [0, 0], [Vec::new(), Vec::new()]);
        self.conns.insert(self.next, Conn { initiator, responder, link, open, last, held, epoch: 0 });
        self.next
    }

    pub(crate) fn get(&self, id: u64) -> Option<&Conn> {
        self.conns.get(&id)
    }

    /// Transports that an end still holds, oldest first.
    pub(crate) fn of(&self, end: End) -> Vec<u64> {
        let holds =
            |conn: &Conn| conn.initiator == end && conn.open[0] || conn.responder == end && conn.open[1];
        self.conns.iter().filter(|(_, conn)| holds(conn)).map(|(id, _)| *id).collect()
    }

    /// Puts a parcel on its way, `delay` from now; `None` where it waits or is of no use to anybody.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        id: u64,
        direction: usize,
        parcel: Parcel,
        fault: LinkFault,
        delay: Micros,
    ) -> Option<Arrival> {
        let conn = self.conns.get_mut(&id)?;
        let stalled = if direction == THERE { fault.stalled } else { fault.stalled_back };
        if stalled || !conn.held[direction].is_empty() {
            conn.held[direction].push(parcel);
            return None;
        }
        let at = (now + delay).max(conn.last[direction]);
        conn.last[direction] = at;
        Some((at, id, direction, conn.epoch, parcel))
    }

    /// An end lets go; `true` where the other end is to hear of it.
    pub(crate) fn close(&mut self, id: u64, end: usize) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else { return false };
        let was = std::mem::replace(&mut conn.open[end], false);
        let other = conn.open[1 - end];
        if !other {
            self.conns.remove(&id);
        }
        was && other
    }

    /// What waited for a stalled link, in order.
    pub(crate) fn unstall(&mut self, link: usize) -> Vec<(u64, usize, Parcel)> {
        let mut freed = Vec::new();
        for (id, conn) in self.conns.iter_mut().filter(|(_, conn)| conn.link == Some(link)) {
            for direction in [THERE, BACK] {
                let held = std::mem::take(&mut conn.held[direction]);
                freed.extend(held.into_iter().map(|parcel| (*id, direction, parcel)));
            }
        }
        freed
    }

    /// What waited on one transport and now passes, in order.
    pub(crate) fn freed(&mut self, id: u64, fault: LinkFault) -> Vec<(usize, Parcel)> {
        let Some(conn) = self.conns.get_mut(&id) else { return Vec::new() };
        let mut freed = Vec::new();
        for (direction, stalled) in [(THERE, fault.stalled), (BACK, fault.stalled_back)] {
            if !stalled {
                freed.extend(std::mem::take(&mut conn.held[direction]).into_iter().map(|p| (direction, p)));
            }
        }
        freed
    }

    /// Transports at a front, either way.
    pub(crate) fn of_front(&self, front: usize) -> Vec<u64> {
        let of = |end: &End| match end {
            End::FrontServer(own, _) | End::FrontClient(own) | End::FrontFar(own, _) => *own == front,
            _ => false,
        };
        self.conns.iter().filter(|(_, c)| of(&c.initiator) || of(&c.responder)).map(|(id, _)| *id).collect()
    }

    /// All transports of an end break, and what is under way is lost.
    pub(crate) fn reset(&mut self, end: End) -> Vec<(u64, u32)> {
        let theirs = |conn: &Conn| conn.initiator == end || conn.responder == end;
        self.broken(theirs)
    }

    /// A link went down: all its transports close at both ends, and what is under way is lost.
    pub(crate) fn down(&mut self, link: usize) -> Vec<(u64, u32)> {
        self.broken(|conn| conn.link == Some(link))
    }

    fn broken(&mut self, which: impl Fn(&Conn) -> bool) -> Vec<(u64, u32)> {
        let mut gone = Vec::new();
        for (id, conn) in self.conns.iter_mut().filter(|(_, conn)| which(conn)) {
            conn.epoch += 1;
            conn.held = Default::default();
            gone.push((*id, conn.epoch));
        }
        gone
    }
}
