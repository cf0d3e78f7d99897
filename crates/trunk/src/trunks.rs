//! All trunk groups of one exchange.

use std::collections::BTreeMap;

use baydrift::interface::Micros;

use crate::audit::{Audit, AuditSettings, Query, QUERY_MAX};
use crate::circuit::{Circuit, CircuitState};
use crate::group::{Group, GroupSpec, SpecError};
use crate::route::cause;
use crate::rules::{
    answers_release, blocking_mismatch, blocking_rejects_seizure, compare_states, indicates_unknown_call,
    may_reseize, may_seize, Comparison, RouteChoice, RLC_GRACE_US,
};
use crate::timers::{TimerKind, TimerQueue, TimerSettings};
use crate::types::{
    CallKey, Cic, CircuitView, End, GroupId, GroupView, Maintenance, Output, ReportedState, Setup, Signal,
    Usage,
};

/// Event counters since start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Counts {
    /// Circuits seized by this end.
    pub seized: u64,
    /// Circuits seized by the far end.
    pub incoming: u64,
    /// Dual seizures in which this end's call proceeded.
    pub glare_won: u64,
    /// Dual seizures in which this end's call yielded.
    pub glare_lost: u64,
    /// Circuits that this end reset with an RSC.
    pub resets: u64,
    /// Circuits found stuck by audits.
    pub stuck: u64,
    /// Audit queries sent.
    pub queries: u64,
    /// Audit queries left unanswered.
    pub queries_lost: u64,
    /// Signals unexpected in their circuit's state.
    pub odd: u64,
    /// Signals for circuits that no group has.
    pub strange: u64,
}

/// An outgoing call, with what is needed to seize another circuit if it yields.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Outgoing {
    group: usize,
    cic: Cic,
    setup: Setup,
    choice: RouteChoice,
    yields: u8,
}

/// All trunk groups of one exchange, with their circuits, calls, timers and audits.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Trunks {
    groups: Vec<Group>,
    audits: Vec<Audit>,
    outgoing: BTreeMap<CallKey, Outgoing>,
    incoming: BTreeMap<CallKey, (usize, Cic)>,
    next_incoming: u64,
    timers: TimerSettings,
    audit: AuditSettings,
    timer_queue: TimerQueue,
    counts: Counts,
}

impl Trunks {
    /// Creates all groups with idle circuits. If far ends may still hold calls of a previous process, call
    /// [`Trunks::reset`] first.
    ///
    /// # Errors
    /// Index of the first group with an invalid configuration, and the reason.
    pub fn new(
        specs: Vec<GroupSpec>,
        timers: TimerSettings,
        audit: AuditSettings,
    ) -> Result<Self, (usize, SpecError)> {
        let mut groups = Vec::new();
        for (index, spec) in specs.into_iter().enumerate() {
            groups.push(Group::new(spec).map_err(|error| (index, error))?);
        }
        let audits = groups.iter().enumerate().map(|(index, group)| {
            // Staggered, so that the far ends are not all queried at the same time.
            let due = if audit.query_interval > 0 {
                audit.query_interval + index as Micros * 1_000
            } else {
                Micros::MAX
            };
            Audit::new(group.spec.first, due)
        });
        Ok(Self {
            audits: audits.collect(),
            groups,
            outgoing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            next_incoming: CallKey::FIRST_INCOMING.0,
            timers,
            audit,
            timer_queue: TimerQueue::default(),
            counts: Counts::default(),
        })
    }

    /// Event counters since start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of a group's circuits by use.
    pub fn usage(&self, group: GroupId) -> Option<Usage> {
        self.groups.get(usize::from(group.0)).map(Group::usage)
    }

    /// Number of calls that hold a circuit.
    pub fn calls(&self) -> usize {
        self.outgoing.len() + self.incoming.len()
    }

    /// The circuit that a call holds.
    pub fn circuit_of(&self, call: CallKey) -> Option<(GroupId, Cic)> {
        let index = self.locate(call)?;
        Some((GroupId(index.0 as u16), index.1))
    }

    /// Snapshot of a circuit.
    pub fn view(&self, group: GroupId, cic: Cic) -> Option<CircuitView> {
        let circuit = self.circuit(usize::from(group.0), cic)?;
        Some(CircuitView { state: circuit.reported_state(), call: circuit.call(), since: circuit.since })
    }

    /// Snapshot of a group.
    pub fn group_view(&self, group: GroupId) -> Option<GroupView> {
        let index = usize::from(group.0);
        let (trunk_group, audit) = (self.groups.get(index)?, self.audits.get(index)?);
        Some(GroupView {
            first: trunk_group.spec.first,
            circuits: trunk_group.spec.circuits,
            reachable: trunk_group.reachable,
            audited_at: audit.answered_at,
            usage: trunk_group.usage(),
        })
    }

    /// Latest time at which [`Trunks::tick`] must be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        let audits = self.audits.iter().map(|audit| audit.due).filter(|due| *due != Micros::MAX);
        self.timer_queue.next().into_iter().chain(audits).min()
    }

    // --- requests of call control ---

    /// Seizes a circuit for a call. Later events of the call arrive as outputs; [`Output::Ended`] is returned
    /// at once if no circuit can be seized.
    pub fn seize(
        &mut self,
        now: Micros,
        call: CallKey,
        group: GroupId,
        setup: Setup,
        choice: RouteChoice,
        out: &mut Vec<Output>,
    ) {
        let index = usize::from(group.0);
        let Some(trunk_group) = self.groups.get(index).filter(|_| !self.outgoing.contains_key(&call)) else {
            return out.push(Output::Ended(call, End::Unreachable));
        };
        if !trunk_group.reachable {
            return out.push(Output::Ended(call, End::Unreachable));
        }
        let allowed = may_seize(choice, trunk_group.free_count(), trunk_group.spec.reserve);
        let Some(cic) = trunk_group.choose(now).filter(|_| allowed) else {
            return out.push(Output::Ended(call, End::NoCircuit));
        };
        self.outgoing.insert(call, Outgoing { group: index, cic, setup, choice, yields: 0 });
        self.send_seizure(now, call, index, cic, out);
    }

    fn send_seizure(&mut self, now: Micros, call: CallKey, group: usize, cic: Cic, out: &mut Vec<Output>) {
        let Some(outgoing) = self.outgoing.get_mut(&call) else { return };
        outgoing.cic = cic;
        let setup = outgoing.setup.clone();
        self.counts.seized += 1;
        self.set_state(now, group, cic, CircuitState::OutSeized(call), now + self.timers.t7);
        send(group, cic, Signal::Seize(setup), out);
    }

    /// Accepts an incoming call: sends ACM.
    pub fn accept(&mut self, call: CallKey, out: &mut Vec<Output>) {
        if let Some((group, cic)) = self.incoming.get(&call).copied() {
            send(group, cic, Signal::Accepted, out);
        }
    }

    /// Answers an incoming call: sends ANM.
    pub fn answer(&mut self, call: CallKey, out: &mut Vec<Output>) {
        if let Some((group, cic)) = self.incoming.get(&call).copied() {
            send(group, cic, Signal::Answered, out);
        }
    }

    /// Releases or rejects a call. No further outputs follow for it.
    pub fn release(&mut self, now: Micros, call: CallKey, cause: u8, out: &mut Vec<Output>) {
        let Some((group, cic)) = self.locate(call) else { return };
        self.remove_call(call);
        self.send_release(now, group, cic, cause, out);
    }

    fn send_release(&mut self, now: Micros, group: usize, cic: Cic, cause: u8, out: &mut Vec<Output>) {
        self.set_state(now, group, cic, CircuitState::Releasing, now + self.timers.t1);
        send(group, cic, Signal::Release(cause), out);
    }

    fn locate(&self, call: CallKey) -> Option<(usize, Cic)> {
        let outgoing = self.outgoing.get(&call).map(|outgoing| (outgoing.group, outgoing.cic));
        outgoing.or_else(|| self.incoming.get(&call).copied())
    }

    fn remove_call(&mut self, call: CallKey) {
        self.outgoing.remove(&call);
        self.incoming.remove(&call);
    }

    // --- maintenance ---

    /// Blocks or unblocks a circuit. A call on it continues (Q.764, 2.8.2).
    pub fn block(&mut self, now: Micros, group: GroupId, cic: Cic, blocked: bool, out: &mut Vec<Output>) {
        let index = usize::from(group.0);
        let Some(circuit) = self.circuit_mut(index, cic) else { return };
        circuit.locally_blocked = blocked;
        circuit.blocking_unacknowledged = true;
        circuit.blocking_since = now;
        self.refresh_free_list(index, cic);
        self.send_blocking(now, index, cic, out);
    }

    fn send_blocking(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        let (t12, t13) = (self.timers.t12, self.timers.t13);
        let Some(circuit) = self.groups.get_mut(group).and_then(|group| group.get_mut(cic)) else { return };
        let overdue = now.saturating_sub(circuit.blocking_since) >= t13;
        let signal = if circuit.locally_blocked { Signal::Block } else { Signal::Unblock };
        let at = now + if overdue { t13 } else { t12 };
        self.timer_queue.set(&mut circuit.blocking_due, at, group, cic, TimerKind::Blocking);
        send(group, cic, signal, out);
        if overdue {
            report(group, cic, Maintenance::BlockingUnanswered, out);
        }
    }

    /// Resets all circuits of a group, as after a restart. Calls on them end.
    pub fn reset(&mut self, now: Micros, group: GroupId, out: &mut Vec<Output>) {
        let index = usize::from(group.0);
        let Some(cics) = self.groups.get(index).map(Group::cics) else { return };
        for first in cics.clone().step_by(usize::from(QUERY_MAX)) {
            let count = QUERY_MAX.min(cics.end - first);
            for cic in first..first + count {
                self.end_call_on(index, cic, End::Reset, out);
                // The timer of a range runs on its first circuit.
                let due = if cic == first { now + self.timers.t16 } else { Micros::MAX };
                self.set_state(now, index, cic, CircuitState::GroupResetting, due);
            }
            send(index, first, Signal::GroupReset(count), out);
        }
    }

    /// Records whether the far end is reachable. While it is not, no circuit is seized, and calls whose IAM
    /// is unanswered end. Once it is reachable again, unanswered releases and resets are repeated at once:
    /// the first ones may have been lost with the link, and the far end would hold its calls until T1
    /// expires.
    pub fn set_reachable(&mut self, now: Micros, group: GroupId, reachable: bool, out: &mut Vec<Output>) {
        let index = usize::from(group.0);
        let Some(trunk_group) = self.groups.get_mut(index) else { return };
        let recovered = reachable && !trunk_group.reachable;
        trunk_group.reachable = reachable;
        if recovered {
            let unanswered = trunk_group
                .cics()
                .filter(|cic| trunk_group.get(*cic).is_some_and(Circuit::awaits_completion));
            for cic in unanswered.collect::<Vec<_>>() {
                if let Some(circuit) = self.circuit_mut(index, cic) {
                    circuit.since = now;
                }
                self.set_due(now, index, cic);
            }
        }
        if reachable {
            return;
        }
        let seized: Vec<_> =
            self.outgoing.iter().filter(|(_, o)| o.group == index).map(|(c, o)| (*c, o.cic)).collect();
        for (call, cic) in seized {
            if self.circuit(index, cic).is_some_and(|c| c.state == CircuitState::OutSeized(call)) {
                out.push(Output::Ended(call, End::Unreachable));
                self.release(now, call, cause::RECOVERY_ON_TIMER_EXPIRY, out);
            }
        }
    }

    // --- signals from the far end ---

    /// Handles a signal from the far end.
    pub fn handle_signal(
        &mut self,
        now: Micros,
        group: GroupId,
        cic: Cic,
        signal: Signal,
        out: &mut Vec<Output>,
    ) {
        let index = usize::from(group.0);
        if self.circuit(index, cic).is_none() {
            self.counts.strange += 1;
            // IAM and RSC for an unequipped circuit are answered with UCIC; other signals, among them UCIC,
            // are not (Q.764, 2.12).
            if self.groups.get(index).is_some() && matches!(signal, Signal::Seize(_) | Signal::Reset) {
                send(index, cic, Signal::Unequipped, out);
            }
            return;
        }
        match signal {
            Signal::Seize(setup) => self.on_seizure(now, index, cic, setup, out),
            Signal::Accepted => self.on_accepted(now, index, cic, out),
            Signal::Answered => self.on_answered(now, index, cic, out),
            Signal::Progress => self.on_unmatched_backward_signal(now, index, cic, out),
            Signal::Release(cause) => self.on_release(now, index, cic, cause, out),
            Signal::ReleaseComplete => self.on_release_complete(now, index, cic),
            Signal::Reset => self.on_reset(now, index, cic, out),
            Signal::Block | Signal::Unblock => {
                self.on_blocking(now, index, cic, signal == Signal::Block, out)
            }
            Signal::BlockAck | Signal::UnblockAck => {
                self.on_blocking_ack(index, cic, signal == Signal::BlockAck);
            }
            Signal::GroupReset(count) => self.on_group_reset(now, index, cic, count, out),
            Signal::GroupResetAck(status) => self.on_group_reset_ack(now, index, cic, &status),
            Signal::GroupBlock(status) => {
                self.on_group_blocking(now, index, cic, &status, true, out);
                send(index, cic, Signal::GroupBlockAck(status), out);
            }
            Signal::GroupUnblock(status) => {
                self.on_group_blocking(now, index, cic, &status, false, out);
                send(index, cic, Signal::GroupUnblockAck(status), out);
            }
            Signal::GroupBlockAck(status) => self.on_group_blocking_ack(index, cic, &status, true),
            Signal::GroupUnblockAck(status) => self.on_group_blocking_ack(index, cic, &status, false),
            Signal::Query(count) => self.on_query(index, cic, count, out),
            Signal::QueryReply(states) => self.on_query_reply(now, index, cic, &states, out),
            Signal::Unequipped => self.on_unequipped(now, index, cic, out),
        }
    }

    fn on_seizure(&mut self, now: Micros, group: usize, cic: Cic, setup: Setup, out: &mut Vec<Output>) {
        let Some(circuit) = self.circuit(group, cic) else { return };
        match circuit.state {
            CircuitState::Idle if circuit.locally_blocked => send(group, cic, Signal::Block, out),
            CircuitState::Idle => self.start_incoming(now, group, cic, setup, out),
            CircuitState::OutSeized(call) => {
                if self.groups.get(group).is_some_and(|group| group.controls(cic)) {
                    // The far end yields by the same rule, so its IAM is ignored (Q.764, 2.9.1.4).
                    self.counts.glare_won += 1;
                    if let Some(circuit) = self.circuit_mut(group, cic) {
                        circuit.won_last_glare = true;
                    }
                    return;
                }
                self.counts.glare_lost += 1;
                self.start_incoming(now, group, cic, setup, out);
                self.yield_circuit(now, call, out);
            }
            CircuitState::Releasing | CircuitState::Resetting => {
                let due = circuit.due.min(now.saturating_add(RLC_GRACE_US));
                self.set_due(due, group, cic);
            }
            // A duplicate IAM, or the far end lost its call: an audit finds out.
            _ => self.note_unexpected(now, group, cic),
        }
    }

    /// Creates an incoming call on a circuit.
    fn start_incoming(&mut self, now: Micros, group: usize, cic: Cic, setup: Setup, out: &mut Vec<Output>) {
        let call = CallKey(self.next_incoming);
        self.next_incoming += 1;
        self.counts.incoming += 1;
        self.incoming.insert(call, (group, cic));
        self.set_state(now, group, cic, CircuitState::In(call), Micros::MAX);
        if let Some(circuit) = self.circuit_mut(group, cic) {
            circuit.won_last_glare = false;
        }
        out.push(Output::Incoming { call, group: GroupId(group as u16), setup });
    }

    /// Handles an outgoing call that lost its circuit before the far end processed its IAM: seizes another
    /// circuit, or ends the call.
    fn yield_circuit(&mut self, now: Micros, call: CallKey, out: &mut Vec<Output>) {
        let Some(outgoing) = self.outgoing.get_mut(&call) else { return };
        outgoing.yields = outgoing.yields.saturating_add(1);
        let (index, choice, yields) = (outgoing.group, outgoing.choice, outgoing.yields);
        let Some(group) = self.groups.get(index) else { return };
        let allowed = may_seize(choice, group.free_count(), group.spec.reserve);
        match group.choose(now).filter(|_| allowed && may_reseize(yields)) {
            Some(cic) => self.send_seizure(now, call, index, cic, out),
            None => {
                self.outgoing.remove(&call);
                out.push(Output::Ended(call, End::Yielded));
            }
        }
    }

    fn on_accepted(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        match self.circuit(group, cic).map(|circuit| circuit.state) {
            Some(CircuitState::OutSeized(call)) => {
                self.set_state(now, group, cic, CircuitState::OutAccepted(call), now + self.timers.t9);
                out.push(Output::Accepted(call));
            }
            _ => self.on_unmatched_backward_signal(now, group, cic, out),
        }
    }

    fn on_answered(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        match self.circuit(group, cic).map(|circuit| circuit.state) {
            Some(CircuitState::OutSeized(call) | CircuitState::OutAccepted(call)) => {
                self.set_state(now, group, cic, CircuitState::OutAnswered(call), Micros::MAX);
                out.push(Output::Answered(call));
            }
            _ => self.on_unmatched_backward_signal(now, group, cic, out),
        }
    }

    /// Handles a backward signal that matches no outgoing call. On an idle circuit it shows that the far end
    /// holds an unknown call, and the circuit is reset (Q.764, 2.9.5.1); on other circuits it is late or a
    /// duplicate.
    fn on_unmatched_backward_signal(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        let Some(circuit) = self.circuit(group, cic) else { return };
        match circuit.state {
            CircuitState::Idle if indicates_unknown_call(now.saturating_sub(circuit.since)) => {
                self.send_reset(now, group, cic, out);
            }
            CircuitState::Idle | CircuitState::In(_) => self.note_unexpected(now, group, cic),
            _ => {}
        }
    }

    fn on_release(&mut self, now: Micros, group: usize, cic: Cic, cause: u8, out: &mut Vec<Output>) {
        let Some(circuit) = self.circuit(group, cic) else { return };
        if circuit.call().is_some() {
            self.end_call_on(group, cic, End::Released(cause), out);
            self.set_state(now, group, cic, CircuitState::Idle, Micros::MAX);
        }
        // Each of two crossing RELs is answered, and each end still waits for its own RLC (Q.764, 2.3.1).
        if answers_release(self.is_resetting(group, cic)) {
            send(group, cic, Signal::ReleaseComplete, out);
        }
    }

    /// Whether a reset by this end is unanswered.
    fn is_resetting(&self, group: usize, cic: Cic) -> bool {
        let state = self.circuit(group, cic).map(|circuit| circuit.state);
        matches!(state, Some(CircuitState::Resetting | CircuitState::GroupResetting))
    }

    fn on_release_complete(&mut self, now: Micros, group: usize, cic: Cic) {
        match self.circuit(group, cic).map(|circuit| circuit.state) {
            Some(CircuitState::Releasing | CircuitState::Resetting) => {
                self.set_state(now, group, cic, CircuitState::Idle, Micros::MAX)
            }
            Some(CircuitState::Idle | CircuitState::GroupResetting | CircuitState::Unequipped) | None => {}
            // Unexpected on a circuit with a call: a late duplicate, or the far end released the call. The
            // call is kept.
            Some(_) => self.note_unexpected(now, group, cic),
        }
    }

    fn on_reset(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        self.clear_after_far_end_reset(now, group, cic, out);
        if self.circuit(group, cic).is_some_and(|circuit| circuit.locally_blocked) {
            send(group, cic, Signal::Block, out);
        }
        send(group, cic, Signal::ReleaseComplete, out);
    }

    /// Clears a circuit that the far end has reset; the reset also ends the far end's blocking (Q.764,
    /// 2.9.3.1).
    fn clear_after_far_end_reset(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        let Some(circuit) = self.circuit_mut(group, cic) else { return };
        circuit.remotely_blocked = false;
        let state = circuit.state;
        // A pending reset of this end stays pending: if the circuit became idle now, the completion still to
        // come would be taken for that of the next call's release.
        if state == CircuitState::Unequipped || self.is_resetting(group, cic) {
            return;
        }
        self.set_state(now, group, cic, CircuitState::Idle, Micros::MAX);
        match state {
            // The far end holds nothing of the call, so it may seize another circuit.
            CircuitState::OutSeized(call) => self.yield_circuit(now, call, out),
            CircuitState::OutAccepted(call) | CircuitState::OutAnswered(call) | CircuitState::In(call) => {
                self.remove_call(call);
                out.push(Output::Ended(call, End::Reset));
            }
            _ => {}
        }
    }

    fn on_blocking(&mut self, now: Micros, group: usize, cic: Cic, blocked: bool, out: &mut Vec<Output>) {
        if self.circuit(group, cic).is_none() {
            return;
        }
        send(group, cic, if blocked { Signal::BlockAck } else { Signal::UnblockAck }, out);
        self.set_remote_blocking(now, group, cic, blocked, out);
    }

    /// Records blocking or unblocking by the far end. Repeated blocking rejects an unanswered seizure: see
    /// [`blocking_rejects_seizure`].
    fn set_remote_blocking(
        &mut self,
        now: Micros,
        group: usize,
        cic: Cic,
        blocked: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(circuit) = self.circuit_mut(group, cic) else { return };
        let rejected = blocking_rejects_seizure(blocked, circuit.remotely_blocked);
        circuit.remotely_blocked = blocked;
        let state = circuit.state;
        self.refresh_free_list(group, cic);
        if let (CircuitState::OutSeized(call), true) = (state, rejected) {
            self.set_state(now, group, cic, CircuitState::Idle, Micros::MAX);
            self.yield_circuit(now, call, out);
        }
    }

    fn on_blocking_ack(&mut self, group: usize, cic: Cic, blocked: bool) {
        let Some(circuit) = self.groups.get_mut(group).and_then(|group| group.get_mut(cic)) else { return };
        // An acknowledgement of an earlier request does not acknowledge the last one.
        if circuit.locally_blocked == blocked {
            circuit.blocking_unacknowledged = false;
            self.timer_queue.set(&mut circuit.blocking_due, Micros::MAX, group, cic, TimerKind::Blocking);
        }
    }

    fn on_group_reset(&mut self, now: Micros, group: usize, first: Cic, count: u16, out: &mut Vec<Output>) {
        let mut status = Vec::new();
        for cic in first..first.saturating_add(count.clamp(1, QUERY_MAX)) {
            self.clear_after_far_end_reset(now, group, cic, out);
            status.push(self.circuit(group, cic).is_some_and(|circuit| circuit.locally_blocked));
        }
        send(group, first, Signal::GroupResetAck(status), out);
    }

    fn on_group_reset_ack(&mut self, now: Micros, group: usize, first: Cic, status: &[bool]) {
        // A GRA for another range than the GRS's is ignored; the GRS is repeated when T22 expires.
        let Some(cics) = self.groups.get(group).map(Group::cics) else { return };
        let expected = usize::from(QUERY_MAX.min(cics.end.saturating_sub(first)));
        let awaited = self.circuit(group, first).is_some_and(|c| c.state == CircuitState::GroupResetting);
        if status.len() != expected || !awaited {
            self.counts.odd += 1;
            return;
        }
        for (cic, blocked) in (first..).zip(status) {
            if self.circuit(group, cic).is_some_and(|circuit| circuit.state == CircuitState::GroupResetting) {
                if let Some(circuit) = self.circuit_mut(group, cic) {
                    circuit.remotely_blocked = *blocked;
                }
                self.set_state(now, group, cic, CircuitState::Idle, Micros::MAX);
            }
        }
    }

    fn on_group_blocking(
        &mut self,
        now: Micros,
        group: usize,
        first: Cic,
        status: &[bool],
        blocked: bool,
        out: &mut Vec<Output>,
    ) {
        for (cic, _) in (first..).zip(status).filter(|(_, named)| **named) {
            self.set_remote_blocking(now, group, cic, blocked, out);
        }
    }

    fn on_group_blocking_ack(&mut self, group: usize, first: Cic, status: &[bool], blocked: bool) {
        for (cic, _) in (first..).zip(status).filter(|(_, named)| **named) {
            self.on_blocking_ack(group, cic, blocked);
        }
    }

    fn on_unequipped(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        let Some(state) = self.circuit(group, cic).map(|circuit| circuit.state) else { return };
        if state == CircuitState::Unequipped {
            return;
        }
        self.set_state(now, group, cic, CircuitState::Unequipped, Micros::MAX);
        report(group, cic, Maintenance::Unequipped, out);
        match state {
            CircuitState::OutSeized(call) => self.yield_circuit(now, call, out),
            CircuitState::OutAccepted(call) | CircuitState::OutAnswered(call) | CircuitState::In(call) => {
                self.remove_call(call);
                out.push(Output::Ended(call, End::Reset));
            }
            _ => {}
        }
    }

    // --- audits ---

    fn on_query(&mut self, group: usize, first: Cic, count: u16, out: &mut Vec<Output>) {
        let unequipped = ReportedState {
            processing: crate::Processing::Unequipped,
            locally_blocked: false,
            remotely_blocked: false,
        };
        let states = (first..first.saturating_add(count.clamp(1, QUERY_MAX)))
            .map(|cic| self.circuit(group, cic).map_or(unequipped, Circuit::reported_state));
        let states = states.collect();
        send(group, first, Signal::QueryReply(states), out);
    }

    fn send_query(&mut self, now: Micros, group: usize, out: &mut Vec<Output>) {
        let (t28, interval) = (self.timers.t28, self.audit.query_interval);
        let (Some(audit), Some(trunk_group)) = (self.audits.get_mut(group), self.groups.get(group)) else {
            return;
        };
        audit.due = now + interval;
        if let Some(query) = &audit.query {
            if now < query.sent_at + t28 {
                return;
            }
            self.counts.queries_lost += 1;
        }
        audit.query = None;
        if !trunk_group.reachable {
            return;
        }
        let (first, count) = audit.next_range(now, trunk_group.cics());
        let changes =
            (first..first + count).map(|cic| trunk_group.get(cic).map_or(0, |c| c.changes)).collect();
        audit.query = Some(Query { first, sent_at: now, changes });
        self.counts.queries += 1;
        send(group, first, Signal::Query(count), out);
    }

    fn on_query_reply(
        &mut self,
        now: Micros,
        group: usize,
        first: Cic,
        states: &[ReportedState],
        out: &mut Vec<Output>,
    ) {
        let Some(audit) = self.audits.get_mut(group) else { return };
        let matches_query = |query: &Query| query.first == first && query.changes.len() == states.len();
        // Late, a duplicate, or of another length than the query's: ignored.
        if !audit.query.as_ref().is_some_and(matches_query) {
            self.counts.odd += 1;
            return;
        }
        let Some(query) = audit.query.take() else { return };
        audit.answered_at = Some(now);
        for ((cic, reported), changes) in (first..).zip(states).zip(query.changes) {
            self.check_reported_state(now, group, cic, *reported, changes, out);
        }
    }

    /// Compares a circuit with the state that the far end reports. `changes` is the circuit's change counter
    /// at the time of the query.
    fn check_reported_state(
        &mut self,
        now: Micros,
        group: usize,
        cic: Cic,
        reported: ReportedState,
        changes: u32,
        out: &mut Vec<Output>,
    ) {
        let Some(circuit) = self.circuit(group, cic).cloned() else { return };
        let settings = self.audit;
        let changed = circuit.changes != changes;
        let comparison =
            if changed { Comparison::Inconclusive } else { compare_states(circuit.local_state(), reported) };
        let Some(audit) = self.audits.get_mut(group) else { return };
        match comparison {
            Comparison::Consistent | Comparison::Inconclusive => audit.clear(cic),
            Comparison::Unequipped => return self.on_unequipped(now, group, cic, out),
            Comparison::Mismatch => {
                if audit.confirms_stuck(now, cic, changes, settings) {
                    self.counts.stuck += 1;
                    report(group, cic, Maintenance::Stuck, out);
                    self.end_call_on(group, cic, End::Reset, out);
                    return self.send_reset(now, group, cic, out);
                }
            }
        }
        if reported.processing == crate::Processing::Transient || changed {
            return;
        }
        // Each end is authoritative about its own blocking.
        if reported.locally_blocked != circuit.remotely_blocked {
            if let Some(circuit) = self.circuit_mut(group, cic) {
                circuit.remotely_blocked = reported.locally_blocked;
            }
            self.refresh_free_list(group, cic);
        }
        if blocking_mismatch(circuit.locally_blocked, reported) && !circuit.blocking_unacknowledged {
            self.send_blocking(now, group, cic, out);
        }
    }

    /// Counts an unexpected signal. No call is cut; an audit checks the circuit.
    fn note_unexpected(&mut self, now: Micros, group: usize, cic: Cic) {
        self.counts.odd += 1;
        if let Some(audit) = self.audits.get_mut(group) {
            audit.request_check(now, cic);
        }
    }

    fn send_reset(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        self.counts.resets += 1;
        self.set_state(now, group, cic, CircuitState::Resetting, now + self.timers.t16);
        send(group, cic, Signal::Reset, out);
    }

    // --- timers ---

    /// Handles all timers that have expired.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some((group, cic, what)) = self.timer_queue.pop_due(now) {
            match what {
                TimerKind::State => self.on_state_timer(now, group, cic, out),
                TimerKind::Blocking => {
                    if let Some(circuit) = self.circuit_mut(group, cic) {
                        circuit.blocking_due = Micros::MAX;
                    }
                    self.send_blocking(now, group, cic, out);
                }
            }
        }
        for group in 0..self.audits.len() {
            if self.audits[group].due <= now {
                self.send_query(now, group, out);
            }
        }
    }

    fn on_state_timer(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        let TimerSettings { t1, t5, t16, t17, .. } = self.timers;
        let Some(circuit) = self.circuit_mut(group, cic) else { return };
        circuit.due = Micros::MAX;
        let (state, since) = (circuit.state, circuit.since);
        // An outage of the link does not count as unanswered time: otherwise an outage longer than T5 and T17
        // would leave all circuits of the group blocked for maintenance.
        if !self.groups.get(group).is_some_and(|group| group.reachable)
            && matches!(
                state,
                CircuitState::Releasing | CircuitState::Resetting | CircuitState::GroupResetting
            )
        {
            return self.set_due(now + t1, group, cic);
        }
        let elapsed = now.saturating_sub(since);
        match state {
            CircuitState::OutSeized(call) | CircuitState::OutAccepted(call) => {
                self.remove_call(call);
                out.push(Output::Ended(call, End::NoAnswer));
                self.send_release(now, group, cic, cause::RECOVERY_ON_TIMER_EXPIRY, out);
            }
            CircuitState::Releasing if elapsed >= t5 => {
                report(group, cic, Maintenance::ReleaseUnanswered, out);
                self.send_reset(now, group, cic, out);
            }
            CircuitState::Releasing => {
                self.set_due(now + t1, group, cic);
                send(group, cic, Signal::Release(cause::RECOVERY_ON_TIMER_EXPIRY), out);
            }
            CircuitState::Resetting | CircuitState::GroupResetting => {
                let report_now =
                    elapsed >= t17 && self.circuit(group, cic).is_some_and(|c| !c.unanswered_reported);
                if report_now {
                    if let Some(circuit) = self.circuit_mut(group, cic) {
                        circuit.unanswered_reported = true;
                        circuit.locally_blocked = true;
                    }
                    report(group, cic, Maintenance::ResetUnanswered, out);
                }
                self.set_due(now + if elapsed >= t17 { t17 } else { t16 }, group, cic);
                let signal = if state == CircuitState::Resetting {
                    Signal::Reset
                } else {
                    let end = self.groups.get(group).map_or(cic + 1, |group| group.cics().end);
                    Signal::GroupReset(QUERY_MAX.min(end - cic))
                };
                send(group, cic, signal, out);
            }
            CircuitState::Idle
            | CircuitState::OutAnswered(_)
            | CircuitState::In(_)
            | CircuitState::Unequipped => {}
        }
    }

    // --- circuits ---

    fn circuit(&self, group: usize, cic: Cic) -> Option<&Circuit> {
        self.groups.get(group)?.get(cic)
    }

    fn circuit_mut(&mut self, group: usize, cic: Cic) -> Option<&mut Circuit> {
        self.groups.get_mut(group)?.get_mut(cic)
    }

    fn refresh_free_list(&mut self, group: usize, cic: Cic) {
        if let Some(group) = self.groups.get_mut(group) {
            group.refresh_free(cic);
        }
    }

    /// Changes a circuit's state and starts its state timer, which expires at `due`.
    fn set_state(&mut self, now: Micros, group: usize, cic: Cic, state: CircuitState, due: Micros) {
        let Some(circuit) = self.circuit_mut(group, cic) else { return };
        circuit.state = state;
        circuit.changes = circuit.changes.wrapping_add(1);
        circuit.since = now;
        circuit.unanswered_reported = false;
        self.set_due(due, group, cic);
        self.refresh_free_list(group, cic);
    }

    fn set_due(&mut self, due: Micros, group: usize, cic: Cic) {
        if let Some(circuit) = self.groups.get_mut(group).and_then(|group| group.get_mut(cic)) {
            self.timer_queue.set(&mut circuit.due, due, group, cic, TimerKind::State);
        }
    }

    /// Ends the call on a circuit, if any.
    fn end_call_on(&mut self, group: usize, cic: Cic, end: End, out: &mut Vec<Output>) {
        if let Some(call) = self.circuit(group, cic).and_then(Circuit::call) {
            self.remove_call(call);
            out.push(Output::Ended(call, end));
        }
    }
}

fn send(group: usize, cic: Cic, signal: Signal, out: &mut Vec<Output>) {
    out.push(Output::Send { group: GroupId(group as u16), cic, signal });
}

fn report(group: usize, cic: Cic, what: Maintenance, out: &mut Vec<Output>) {
    out.push(Output::Report { group: GroupId(group as u16), cic, what });
}
