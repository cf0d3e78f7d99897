//! Faults of processes and of the net between them in virtual time: what `baydrift day --processes` does to real ones.

use std::collections::BTreeSet;

use baydrift::interface::Micros;
use baydrift_audit::RecordEvent;
use baydrift_desk::PoolList;
use baydrift_diameter::credit::{Ccr, RequestType};
use baydrift_diameter::{dict, PeerInput};

use super::{Event, Node, World};
use crate::front::Front;
use crate::link::{End, LinkFault, Parcel, THERE};

/// A list that could not be pushed is pushed again after this.
const PUSHED_AGAIN: Micros = 400_000;
/// The first packet of a connection that is lost is sent again after this.
const SYN_AGAIN: Micros = 1_000_000;
/// A process that starts takes this at the least.
const STARTS: Micros = 5_000;

/// A process between which and others ways can be severed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessId {
    /// A front, by its ordinal.
    Front(usize),
    /// A server, by its number.
    Server(usize),
    /// The list service.
    List,
}

/// Ways that pass nothing, the last list of each front, and which process of a front runs.
#[derive(Debug, Default)]
pub(super) struct Faulty {
    severed: BTreeSet<(ProcessId, ProcessId)>,
    lists: Vec<Option<(PoolList, Vec<RecordEvent>)>>,
}

impl World {
    pub(super) fn is_severed(&self, from: ProcessId, to: ProcessId) -> bool {
        self.faulty.severed.contains(&(from, to))
    }

    /// What the ways between a front and a server do to a transport, on top of its link's fault.
    pub(super) fn severed_of(&self, id: u64, fault: LinkFault) -> LinkFault {
        if self.faulty.severed.is_empty() {
            return fault;
        }
        let ends = self.conns.get(id).map(|conn| (conn.initiator, conn.responder));
        let Some((End::FrontServer(front, _), End::Server(server))) = ends else { return fault };
        let (front, server) = (ProcessId::Front(front), ProcessId::Server(server));
        LinkFault {
            stalled: fault.stalled || self.is_severed(front, server),
            stalled_back: fault.stalled_back || self.is_severed(server, front),
            ..fault
        }
    }

    /// Nothing passes that way from now on, or what it held passes.
    pub fn set_blocked(&mut self, from: ProcessId, to: ProcessId, severed: bool) {
        if severed {
            self.faulty.severed.insert((from, to));
            return;
        }
        self.faulty.severed.remove(&(from, to));
        let (ProcessId::Front(front), ProcessId::Server(server)) = (from.min(to), from.max(to)) else {
            return;
        };
        // Those too that the server let go of meanwhile: its front is still to hear of it.
        for id in self.conns.of_front(front) {
            if self.conns.get(id).is_none_or(|conn| conn.responder != End::Server(server)) {
                continue;
            }
            let now = self.fault(id);
            for (direction, parcel) in self.conns.freed(id, now) {
                self.post(id, direction, parcel);
            }
        }
    }

    /// What a front sends into a severed way is on record when it enters it: it may be given up before it arrives. Into
    /// others a set-up is, for sums alone: a server that stands still reads at once what was sent over seconds.
    pub(super) fn enters(&mut self, id: u64, direction: usize, parcel: &Parcel, fault: LinkFault) {
        let ends = self.conns.get(id).map(|conn| (conn.initiator, conn.responder));
        let Some((End::FrontServer(front, _), End::Server(server))) = ends else { return };
        if direction != THERE {
            return;
        }
        let (front, server) = (front as u32, server as u16);
        match parcel {
            Parcel::Closed if fault.stalled => self.record(RecordEvent::Disconnected { server, front }),
            Parcel::Message(message) => {
                let Ok(ccr) = Ccr::read(message) else { return };
                let (first, attempt) = (ccr.request_type == RequestType::Initial, ccr.session.to_owned());
                if fault.stalled {
                    let call = first.then(|| message.text(dict::CC_CORRELATION_ID).unwrap_or("").to_owned());
                    self.record(RecordEvent::Sent { server, front, call, attempt });
                } else if first {
                    self.record(RecordEvent::Entered { server, attempt });
                }
            }
            _ => {}
        }
    }

    /// Whether a new connection hangs, since its first packets are lost; it is tried again.
    pub(super) fn hangs(&mut self, id: u64) -> bool {
        let fault = self.fault(id);
        let waits = self.conns.get(id).is_some_and(|conn| conn.open[0]);
        let hangs = waits && (fault.stalled || fault.stalled_back) && !self.linked_fault(id);
        if hangs {
            self.queue.schedule(self.queue.now() + SYN_AGAIN, Event::Connecting(id));
        }
        hangs
    }

    /// All connections of a server are reset, at both ends.
    pub fn reset_connections(&mut self, server: usize) {
        for (id, _) in self.conns.reset(End::Server(server)) {
            for end in [0, 1] {
                let at = self.queue.now() + self.turn();
                self.queue.schedule(at, Event::Severed(id, end));
            }
        }
    }

    /// A front's process ends without a word; another one starts after so long, if at all, and knows nothing.
    pub fn kill_front(&mut self, front: usize, back_after: Option<Micros>) {
        if self.fronts.get(front).is_none_or(Front::is_down) {
            return;
        }
        self.record(RecordEvent::FrontKilled { front: front as u32 });
        for id in self.conns.of_front(front) {
            let ends = self.conns.get(id).map(|conn| (conn.initiator, conn.responder));
            let Some((initiator, responder)) = ends else { continue };
            if let (End::FrontServer(..), End::Server(server)) = (initiator, responder) {
                // Whatever is on its way there still: its front is no more.
                self.record(RecordEvent::Disconnected { server: server as u16, front: front as u32 });
            }
            self.close(id, usize::from(matches!(responder, End::FrontClient(_))));
        }
        self.fronts[front].go_down();
        if let Some(back) = back_after {
            let at = self.queue.now() + STARTS + back + self.turn();
            self.queue.schedule(at, Event::Starts(front));
        }
    }

    /// Another process of a front serves.
    pub(super) fn starts(&mut self, front: usize) {
        let now = self.queue.now();
        if self.fronts[front].start_anew(now, &mut self.rng).is_err() {
            return;
        }
        self.record(RecordEvent::FrontStarted { front: front as u32 });
        for server in 0..self.fronts[front].servers.len() {
            self.server_input(front, server, PeerInput::Start);
        }
        for far in 0..self.fars.len() {
            self.connect(End::FrontFar(front, far), End::Far(far));
        }
        self.arm(Node::Core(front));
        if let Some((list, told)) = self.faulty.lists.get(front).cloned().flatten() {
            self.push_list(self.queue.now() + PUSHED_AGAIN, front, list, told);
        }
    }

    /// A list that a front does not hear now comes again, unless a newer one did. `None` where it waits.
    pub(super) fn heard_list(
        &mut self,
        front: usize,
        list: PoolList,
        told: Vec<RecordEvent>,
    ) -> Option<(PoolList, Vec<RecordEvent>)> {
        if self.faulty.lists.len() <= front {
            self.faulty.lists.resize(front + 1, None);
        }
        let newest = &mut self.faulty.lists[front];
        if newest.as_ref().is_some_and(|(newest, _)| newest.version > list.version) {
            return None;
        }
        *newest = Some((list.clone(), told.clone()));
        if self.is_severed(ProcessId::List, ProcessId::Front(front)) || self.fronts[front].is_down() {
            self.push_list(self.queue.now() + PUSHED_AGAIN, front, list, told);
            return None;
        }
        Some((list, told))
    }
}
