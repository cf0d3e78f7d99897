//! Faults of processes and of the network between them in virtual time: the counterpart of what
//! `baydrift day --processes` does to real processes.

use std::collections::BTreeSet;

use baydrift::interface::Micros;
use baydrift_audit::RecordEvent;
use baydrift_desk::PoolList;
use baydrift_diameter::credit::{Ccr, RequestType};
use baydrift_diameter::{dict, PeerInput};

use super::{Event, Task, World};
use crate::front::Front;
use crate::link::{Delivery, Endpoint, LinkFault, FORWARD};

/// Delay before a list that did not reach its front is pushed again, microseconds.
const LIST_RETRY_DELAY: Micros = 400_000;
/// Retransmission delay of the first packet of a connection, microseconds.
const SYN_RETRY_DELAY: Micros = 1_000_000;
/// Minimum start-up time of a process, microseconds.
const START_TIME: Micros = 5_000;

/// A process whose network paths to other processes can be blocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessId {
    /// A front, by its ordinal.
    Front(usize),
    /// A server, by its number.
    Server(usize),
    /// The list service.
    List,
}

/// Blocked network paths, and the latest list of each front.
#[derive(Debug, Default)]
pub(super) struct FaultState {
    /// Blocked paths, each from one process to another.
    blocked_paths: BTreeSet<(ProcessId, ProcessId)>,
    lists: Vec<Option<(PoolList, Vec<RecordEvent>)>>,
}

impl World {
    pub(super) fn is_blocked(&self, from: ProcessId, to: ProcessId) -> bool {
        self.fault_state.blocked_paths.contains(&(from, to))
    }

    /// The fault of a connection's link, with the blocked paths between its front and server added.
    pub(super) fn with_blocked_paths(&self, id: u64, fault: LinkFault) -> LinkFault {
        if self.fault_state.blocked_paths.is_empty() {
            return fault;
        }
        let ends = self.connections.get(id).map(|connection| (connection.initiator, connection.responder));
        let Some((Endpoint::FrontServer(front, _), Endpoint::Server(server))) = ends else { return fault };
        let (front, server) = (ProcessId::Front(front), ProcessId::Server(server));
        LinkFault {
            stalled: fault.stalled || self.is_blocked(front, server),
            stalled_back: fault.stalled_back || self.is_blocked(server, front),
            ..fault
        }
    }

    /// Blocks the path from one process to another, or unblocks it and delivers what it held back.
    pub fn set_blocked(&mut self, from: ProcessId, to: ProcessId, blocked: bool) {
        if blocked {
            self.fault_state.blocked_paths.insert((from, to));
            return;
        }
        self.fault_state.blocked_paths.remove(&(from, to));
        let (ProcessId::Front(front), ProcessId::Server(server)) = (from.min(to), from.max(to)) else {
            return;
        };
        // Includes connections that the server has closed meanwhile: the front has yet to be notified.
        for id in self.connections.of_front(front) {
            if self
                .connections
                .get(id)
                .is_none_or(|connection| connection.responder != Endpoint::Server(server))
            {
                continue;
            }
            let now = self.current_fault(id);
            for (direction, delivery) in self.connections.release_unblocked(id, now) {
                self.transmit(id, direction, delivery);
            }
        }
    }

    /// Records what a front sends as it enters the network. On a blocked path all of it is recorded, since it
    /// may be abandoned before it arrives. On other paths only set-ups are, for the rate limits of the audit:
    /// a suspended server later reads at once what was sent over seconds.
    pub(super) fn record_entry(&mut self, id: u64, direction: usize, delivery: &Delivery, fault: LinkFault) {
        let ends = self.connections.get(id).map(|connection| (connection.initiator, connection.responder));
        let Some((Endpoint::FrontServer(front, _), Endpoint::Server(server))) = ends else { return };
        if direction != FORWARD {
            return;
        }
        let (front, server) = (front as u32, server as u16);
        match delivery {
            Delivery::Closed if fault.stalled => self.record(RecordEvent::Disconnected { server, front }),
            Delivery::Message(message) => {
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

    /// Whether a new connection cannot be established because a blocked path loses its first packets. If so,
    /// schedules the next try.
    pub(super) fn retry_blocked_connect(&mut self, id: u64) -> bool {
        let fault = self.current_fault(id);
        let is_waiting = self.connections.get(id).is_some_and(|connection| connection.open[0]);
        let is_blocked = is_waiting && (fault.stalled || fault.stalled_back) && !self.is_link_stalled(id);
        if is_blocked {
            self.queue.schedule(self.queue.now() + SYN_RETRY_DELAY, Event::Connect(id));
        }
        is_blocked
    }

    /// Resets all connections of a server, at both ends.
    pub fn reset_connections(&mut self, server: usize) {
        for (id, _) in self.connections.reset_endpoint(Endpoint::Server(server)) {
            for end in [0, 1] {
                let at = self.queue.now() + self.sample_delay();
                self.queue.schedule(at, Event::ForcedClose(id, end));
            }
        }
    }

    /// Kills a front's process without a graceful shutdown. If `back_after` is given, a new process without
    /// state starts after that time.
    pub fn kill_front(&mut self, front: usize, back_after: Option<Micros>) {
        if self.fronts.get(front).is_none_or(Front::is_down) {
            return;
        }
        self.record(RecordEvent::FrontKilled { front: front as u32 });
        for id in self.connections.of_front(front) {
            let ends =
                self.connections.get(id).map(|connection| (connection.initiator, connection.responder));
            let Some((initiator, responder)) = ends else { continue };
            if let (Endpoint::FrontServer(..), Endpoint::Server(server)) = (initiator, responder) {
                // What is still in transit to the server no longer has a front.
                self.record(RecordEvent::Disconnected { server: server as u16, front: front as u32 });
            }
            self.close(id, usize::from(matches!(responder, Endpoint::FrontClient(_))));
        }
        self.fronts[front].terminate();
        if let Some(back) = back_after {
            let at = self.queue.now() + START_TIME + back + self.sample_delay();
            self.queue.schedule(at, Event::StartFront(front));
        }
    }

    /// Starts a new process of a front, and pushes the latest list to it again.
    pub(super) fn start_front(&mut self, front: usize) {
        let now = self.queue.now();
        if self.fronts[front].restart(now, &mut self.rng).is_err() {
            return;
        }
        self.record(RecordEvent::FrontStarted { front: front as u32 });
        for server in 0..self.fronts[front].servers.len() {
            self.server_link_input(front, server, PeerInput::Start);
        }
        for far in 0..self.far_ends.len() {
            self.connect(Endpoint::FrontFarEnd(front, far), Endpoint::FarEnd(far));
        }
        self.arm(Task::Core(front));
        if let Some((list, events)) = self.fault_state.lists.get(front).cloned().flatten() {
            self.push_list(self.queue.now() + LIST_RETRY_DELAY, front, list, events);
        }
    }

    /// Returns the list if the front can receive it now. Otherwise schedules it again and returns `None`;
    /// also `None` if a newer list was pushed before.
    pub(super) fn accept_list(
        &mut self,
        front: usize,
        list: PoolList,
        events: Vec<RecordEvent>,
    ) -> Option<(PoolList, Vec<RecordEvent>)> {
        if self.fault_state.lists.len() <= front {
            self.fault_state.lists.resize(front + 1, None);
        }
        let latest = &mut self.fault_state.lists[front];
        if latest.as_ref().is_some_and(|(newest, _)| newest.version > list.version) {
            return None;
        }
        *latest = Some((list.clone(), events.clone()));
        if self.is_blocked(ProcessId::List, ProcessId::Front(front)) || self.fronts[front].is_down() {
            self.push_list(self.queue.now() + LIST_RETRY_DELAY, front, list, events);
            return None;
        }
        Some((list, events))
    }
}
