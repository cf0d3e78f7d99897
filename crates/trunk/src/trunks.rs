//! All trunk groups of one exchange.

use std::collections::BTreeMap;

use baydrift::interface::Micros;

use crate::audit::{Audit, AuditSettings, Query, QUERY_MAX};
use crate::circuit::{Circuit, Use};
use crate::group::{Group, GroupSpec, SpecError};
use crate::route::cause;
use crate::rules::{
    blocking_refuses, blocking_unknown_there, compare, completes_a_release, may_seize, shows_a_lost_call,
    tries_another, Look, RouteChoice, COMPLETION_FOLLOWS,
};
use crate::timers::{Agenda, Due, TimerSettings};
use crate::types::{
    CallKey, Cic, End, GroupId, GroupView, Maintenance, Output, Setup, Signal, Told, Usage, View,
};

/// What has happened so far; each only grows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Counts {
    /// Circuits seized from here.
    pub seized: u64,
    /// Circuits seized by the far end.
    pub incoming: u64,
    /// Dual seizures in which this end's call went on.
    pub glare_won: u64,
    /// Dual seizures in which this end's call yielded.
    pub glare_lost: u64,
    /// Circuits reset by RSC from here.
    pub resets: u64,
    /// Circuits found stuck by audits.
    pub stuck: u64,
    /// Queries sent.
    pub queries: u64,
    /// Queries unanswered.
    pub queries_lost: u64,
    /// Signals that made no sense on their circuit.
    pub odd: u64,
    /// Signals for circuits that are none of a group's.
    pub strange: u64,
}

/// An outgoing call: what is wanted again if it yields.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Outgoing {
    group: usize,
    cic: Cic,
    setup: Setup,
    claim: RouteChoice,
    yields: u8,
}

/// See the crate's page.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Trunks {
    groups: Vec<Group>,
    audits: Vec<Audit>,
    outgoing: BTreeMap<CallKey, Outgoing>,
    incoming: BTreeMap<CallKey, (usize, Cic)>,
    next_incoming: u64,
    timers: TimerSettings,
    audit: AuditSettings,
    agenda: Agenda,
    counts: Counts,
}

impl Trunks {
    /// All groups, idle. Where the far end may still hold calls of a former process, [`Trunks::reset`] comes first.
    ///
    /// # Errors
    /// The first group that cannot be, by its place.
    pub fn new(
        specs: Vec<GroupSpec>,
        timers: TimerSettings,
        audit: AuditSettings,
    ) -> Result<Self, (usize, SpecError)> {
        let mut groups = Vec::new();
        for (place, spec) in specs.into_iter().enumerate() {
            groups.push(Group::new(spec).map_err(|error| (place, error))?);
        }
        let audits = groups.iter().enumerate().map(|(place, group)| {
            // Groups take turns: all at once would ask every far end in one moment.
            let due = if audit.query_interval > 0 {
                audit.query_interval + place as Micros * 1_000
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
            agenda: Agenda::default(),
            counts: Counts::default(),
        })
    }

    /// What has happened.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// What a group's circuits are used for.
    pub fn usage(&self, group: GroupId) -> Option<Usage> {
        self.groups.get(usize::from(group.0)).map(Group::usage)
    }

    /// Calls held.
    pub fn calls(&self) -> usize {
        self.outgoing.len() + self.incoming.len()
    }

    /// The circuit of a call.
    pub fn circuit_of(&self, call: CallKey) -> Option<(GroupId, Cic)> {
        let place = self.place(call)?;
        Some((GroupId(place.0 as u16), place.1))
    }

    /// A circuit as it is.
    pub fn view(&self, group: GroupId, cic: Cic) -> Option<View> {
        let circuit = self.circuit(usize::from(group.0), cic)?;
        Some(View { state: circuit.told(), call: circuit.call(), since: circuit.since })
    }

    /// A group as a whole.
    pub fn group_view(&self, group: GroupId) -> Option<GroupView> {
        let place = usize::from(group.0);
        let (found, audit) = (self.groups.get(place)?, self.audits.get(place)?);
        Some(GroupView {
            first: found.spec.first,
            circuits: found.spec.circuits,
            reachable: found.reachable,
            audited_at: audit.answered_at,
            usage: found.usage(),
        })
    }

    /// When [`Trunks::tick`] is wanted at the latest.
    pub fn next_wake(&self) -> Option<Micros> {
        let audits = self.audits.iter().map(|audit| audit.due).filter(|due| *due != Micros::MAX);
        self.agenda.next().into_iter().chain(audits).min()
    }

    // --- the call side ---

    /// Seizes a circuit for a call. What becomes of it comes as outputs; at once, where there is none.
    pub fn seize(
        &mut self,
        now: Micros,
        call: CallKey,
        group: GroupId,
        setup: Setup,
        claim: RouteChoice,
        out: &mut Vec<Output>,
    ) {
        let place = usize::from(group.0);
        let Some(found) = self.groups.get(place).filter(|_| !self.outgoing.contains_key(&call)) else {
            return out.push(Output::Ended(call, End::Unreachable));
        };
        if !found.reachable {
            return out.push(Output::Ended(call, End::Unreachable));
        }
        let room = may_seize(claim, found.free(), found.spec.reserve);
        let Some(cic) = found.choose(now).filter(|_| room) else {
            return out.push(Output::Ended(call, End::NoCircuit));
        };
        self.outgoing.insert(call, Outgoing { group: place, cic, setup, claim, yields: 0 });
        self.send_seizure(now, call, place, cic, out);
    }

    fn send_seizure(&mut self, now: Micros, call: CallKey, group: usize, cic: Cic, out: &mut Vec<Output>) {
        let Some(outgoing) = self.outgoing.get_mut(&call) else { return };
        outgoing.cic = cic;
        let setup = outgoing.setup.clone();
        self.counts.seized += 1;
        self.used(now, group, cic, Use::OutSeized(call), now + self.timers.t7);
        say(group, cic, Signal::Seize(setup), out);
    }

    /// The call side takes an incoming call (ACM).
    pub fn accept(&mut self, call: CallKey, out: &mut Vec<Output>) {
        if let Some((group, cic)) = self.incoming.get(&call).copied() {
            say(group, cic, Signal::Accepted, out);
        }
    }

    /// An incoming call stands (ANM).
    pub fn answer(&mut self, call: CallKey, out: &mut Vec<Output>) {
        if let Some((group, cic)) = self.incoming.get(&call).copied() {
            say(group, cic, Signal::Answered, out);
        }
    }

    /// The call side is done with a call, or refuses it. Nothing more is heard of it.
    pub fn release(&mut self, now: Micros, call: CallKey, cause: u8, out: &mut Vec<Output>) {
        let Some((group, cic)) = self.place(call) else { return };
        self.forget(call);
        self.send_release(now, group, cic, cause, out);
    }

    fn send_release(&mut self, now: Micros, group: usize, cic: Cic, cause: u8, out: &mut Vec<Output>) {
        self.used(now, group, cic, Use::Releasing, now + self.timers.t1);
        say(group, cic, Signal::Release(cause), out);
    }

    fn place(&self, call: CallKey) -> Option<(usize, Cic)> {
        let outgoing = self.outgoing.get(&call).map(|outgoing| (outgoing.group, outgoing.cic));
        outgoing.or_else(|| self.incoming.get(&call).copied())
    }

    fn forget(&mut self, call: CallKey) {
        self.outgoing.remove(&call);
        self.incoming.remove(&call);
    }

    // --- maintenance ---

    /// Blocks a circuit, or ends that. A call on it goes on (Q.764, 2.8.2).
    pub fn block(&mut self, now: Micros, group: GroupId, cic: Cic, blocked: bool, out: &mut Vec<Output>) {
        let place = usize::from(group.0);
        let Some(circuit) = self.circuit_mut(place, cic) else { return };
        circuit.blocked_here = blocked;
        circuit.blocking_open = true;
        circuit.blocking_since = now;
        self.settle(place, cic);
        self.say_blocking(now, place, cic, out);
    }

    fn say_blocking(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        let (t12, t13) = (self.timers.t12, self.timers.t13);
        let Some(circuit) = self.groups.get_mut(group).and_then(|group| group.get_mut(cic)) else { return };
        let long = now.saturating_sub(circuit.blocking_since) >= t13;
        let signal = if circuit.blocked_here { Signal::Block } else { Signal::Unblock };
        let at = now + if long { t13 } else { t12 };
        self.agenda.set(&mut circuit.blocking_due, at, group, cic, Due::Blocking);
        say(group, cic, signal, out);
        if long {
            report(group, cic, Maintenance::BlockingUnanswered, out);
        }
    }

    /// Resets all circuits of a group, as after a start: calls on them end.
    pub fn reset(&mut self, now: Micros, group: GroupId, out: &mut Vec<Output>) {
        let place = usize::from(group.0);
        let Some(cics) = self.groups.get(place).map(Group::cics) else { return };
        for first in cics.clone().step_by(usize::from(QUERY_MAX)) {
            let count = QUERY_MAX.min(cics.end - first);
            for cic in first..first + count {
                self.end_on(place, cic, End::Reset, out);
                // The range's first circuit keeps its timer.
                let due = if cic == first { now + self.timers.t16 } else { Micros::MAX };
                self.used(now, place, cic, Use::GroupResetting, due);
            }
            say(place, first, Signal::GroupReset(count), out);
        }
    }

    /// The far end can be reached, or cannot: then nothing new is seized, and calls whose seizure it never
    /// acknowledged end. Once it can be reached again, releases and resets that are unanswered are said again at once:
    /// the first ones may have been lost with the link, and the far end's calls stand until T1 runs out.
    pub fn set_reachable(&mut self, now: Micros, group: GroupId, reachable: bool, out: &mut Vec<Output>) {
        let place = usize::from(group.0);
        let Some(found) = self.groups.get_mut(place) else { return };
        let came_back = reachable && !found.reachable;
        found.reachable = reachable;
        if came_back {
            let open = found.cics().filter(|cic| found.get(*cic).is_some_and(Circuit::awaits_completion));
            for cic in open.collect::<Vec<_>>() {
                if let Some(circuit) = self.circuit_mut(place, cic) {
                    circuit.since = now;
                }
                self.set_due(now, place, cic);
            }
        }
        if reachable {
            return;
        }
        let seized: Vec<_> =
            self.outgoing.iter().filter(|(_, o)| o.group == place).map(|(c, o)| (*c, o.cic)).collect();
        for (call, cic) in seized {
            if self.circuit(place, cic).is_some_and(|c| c.used == Use::OutSeized(call)) {
                out.push(Output::Ended(call, End::Unreachable));
                self.release(now, call, cause::RECOVERY_ON_TIMER_EXPIRY, out);
            }
        }
    }

    // --- the far end ---

    /// A signal came.
    pub fn handle_signal(
        &mut self,
        now: Micros,
        group: GroupId,
        cic: Cic,
        signal: Signal,
        out: &mut Vec<Output>,
    ) {
        let place = usize::from(group.0);
        if self.circuit(place, cic).is_none() {
            self.counts.strange += 1;
            // A circuit that is none here is told so; the answer to that is not answered (Q.764, 2.12).
            if self.groups.get(place).is_some() && matches!(signal, Signal::Seize(_) | Signal::Reset) {
                say(place, cic, Signal::Unequipped, out);
            }
            return;
        }
        match signal {
            Signal::Seize(setup) => self.seized(now, place, cic, setup, out),
            Signal::Accepted => self.accepted(now, place, cic, out),
            Signal::Answered => self.answered(now, place, cic, out),
            Signal::Progress => self.unless_idle(now, place, cic, out),
            Signal::Release(cause) => self.released(now, place, cic, cause, out),
            Signal::ReleaseComplete => self.release_complete(now, place, cic),
            Signal::Reset => self.reset_there(now, place, cic, out),
            Signal::Block | Signal::Unblock => {
                self.blocked_there(now, place, cic, signal == Signal::Block, out)
            }
            Signal::BlockAck | Signal::UnblockAck => {
                self.blocking_known(place, cic, signal == Signal::BlockAck);
            }
            Signal::GroupReset(count) => self.group_reset_there(now, place, cic, count, out),
            Signal::GroupResetAck(status) => self.group_reset_done(now, place, cic, &status),
            Signal::GroupBlock(status) => {
                self.group_blocked_there(now, place, cic, &status, true, out);
                say(place, cic, Signal::GroupBlockAck(status), out);
            }
            Signal::GroupUnblock(status) => {
                self.group_blocked_there(now, place, cic, &status, false, out);
                say(place, cic, Signal::GroupUnblockAck(status), out);
            }
            Signal::GroupBlockAck(status) => self.group_blocking_known(place, cic, &status, true),
            Signal::GroupUnblockAck(status) => self.group_blocking_known(place, cic, &status, false),
            Signal::Query(count) => self.queried(place, cic, count, out),
            Signal::QueryReply(states) => self.told(now, place, cic, &states, out),
            Signal::Unequipped => self.unequipped(now, place, cic, out),
        }
    }

    fn seized(&mut self, now: Micros, group: usize, cic: Cic, setup: Setup, out: &mut Vec<Output>) {
        let Some(circuit) = self.circuit(group, cic) else { return };
        match circuit.used {
            Use::Idle if circuit.blocked_here => say(group, cic, Signal::Block, out),
            Use::Idle => self.take(now, group, cic, setup, out),
            Use::OutSeized(call) => {
                if self.groups.get(group).is_some_and(|group| group.controls(cic)) {
                    // The far end yields by the same rule: its IAM is as if it had never been (Q.764, 2.9.1.4).
                    self.counts.glare_won += 1;
                    if let Some(circuit) = self.circuit_mut(group, cic) {
                        circuit.won = true;
                    }
                    return;
                }
                self.counts.glare_lost += 1;
                self.take(now, group, cic, setup, out);
                self.yields(now, call, out);
            }
            Use::Releasing | Use::Resetting => {
                let due = circuit.due.min(now.saturating_add(COMPLETION_FOLLOWS));
                self.set_due(due, group, cic);
            }
            // A copy of an IAM, or the far end forgot its call: an audit will tell.
            _ => self.odd(now, group, cic),
        }
    }

    /// The circuit is the far end's call's.
    fn take(&mut self, now: Micros, group: usize, cic: Cic, setup: Setup, out: &mut Vec<Output>) {
        let call = CallKey(self.next_incoming);
        self.next_incoming += 1;
        self.counts.incoming += 1;
        self.incoming.insert(call, (group, cic));
        self.used(now, group, cic, Use::In(call), Micros::MAX);
        if let Some(circuit) = self.circuit_mut(group, cic) {
            circuit.won = false;
        }
        out.push(Output::Incoming { call, group: GroupId(group as u16), setup });
    }

    /// A call lost its circuit before the far end had anything of it.
    fn yields(&mut self, now: Micros, call: CallKey, out: &mut Vec<Output>) {
        let Some(outgoing) = self.outgoing.get_mut(&call) else { return };
        outgoing.yields = outgoing.yields.saturating_add(1);
        let (place, claim, yields) = (outgoing.group, outgoing.claim, outgoing.yields);
        let Some(group) = self.groups.get(place) else { return };
        let room = may_seize(claim, group.free(), group.spec.reserve);
        match group.choose(now).filter(|_| room && tries_another(yields)) {
            Some(cic) => self.send_seizure(now, call, place, cic, out),
            None => {
                self.outgoing.remove(&call);
                out.push(Output::Ended(call, End::Yielded));
            }
        }
    }

    fn accepted(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        match self.circuit(group, cic).map(|circuit| circuit.used) {
            Some(Use::OutSeized(call)) => {
                self.used(now, group, cic, Use::OutAccepted(call), now + self.timers.t9);
                out.push(Output::Accepted(call));
            }
            _ => self.unless_idle(now, group, cic, out),
        }
    }

    fn answered(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        match self.circuit(group, cic).map(|circuit| circuit.used) {
            Some(Use::OutSeized(call) | Use::OutAccepted(call)) => {
                self.used(now, group, cic, Use::OutAnswered(call), Micros::MAX);
                out.push(Output::Answered(call));
            }
            _ => self.unless_idle(now, group, cic, out),
        }
    }

    /// A backward signal that belongs to no call here: on an idle circuit the far end holds what is none, and the
    /// circuit is reset (Q.764, 2.9.5.1); on others it is late, or a copy.
    fn unless_idle(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        let Some(circuit) = self.circuit(group, cic) else { return };
        match circuit.used {
            Use::Idle if shows_a_lost_call(now.saturating_sub(circuit.since)) => {
                self.send_reset(now, group, cic, out);
            }
            Use::Idle | Use::In(_) => self.odd(now, group, cic),
            _ => {}
        }
    }

    fn released(&mut self, now: Micros, group: usize, cic: Cic, cause: u8, out: &mut Vec<Output>) {
        let Some(circuit) = self.circuit(group, cic) else { return };
        if circuit.call().is_some() {
            self.end_on(group, cic, End::Released(cause), out);
            self.used(now, group, cic, Use::Idle, Micros::MAX);
        }
        // Two REL that cross are each answered, and each end still awaits its own RLC (Q.764, 2.3.1).
        if completes_a_release(self.is_resetting(group, cic)) {
            say(group, cic, Signal::ReleaseComplete, out);
        }
    }

    /// A reset of this end's is out.
    fn is_resetting(&self, group: usize, cic: Cic) -> bool {
        let used = self.circuit(group, cic).map(|circuit| circuit.used);
        matches!(used, Some(Use::Resetting | Use::GroupResetting))
    }

    fn release_complete(&mut self, now: Micros, group: usize, cic: Cic) {
        match self.circuit(group, cic).map(|circuit| circuit.used) {
            Some(Use::Releasing | Use::Resetting) => self.used(now, group, cic, Use::Idle, Micros::MAX),
            Some(Use::Idle | Use::GroupResetting | Use::Unequipped) | None => {}
            // Not awaited on a circuit with a call: a late copy, or the far end has let go. No call is cut for it.
            Some(_) => self.odd(now, group, cic),
        }
    }

    fn reset_there(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        self.cleared_there(now, group, cic, out);
        if self.circuit(group, cic).is_some_and(|circuit| circuit.blocked_here) {
            say(group, cic, Signal::Block, out);
        }
        say(group, cic, Signal::ReleaseComplete, out);
    }

    /// The far end knows nothing of a circuit any more, not even its own blocking (Q.764, 2.9.3.1).
    fn cleared_there(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        let Some(circuit) = self.circuit_mut(group, cic) else { return };
        circuit.blocked_there = false;
        let used = circuit.used;
        // Where this end's own reset is out too, its completion is still to come, and would otherwise be taken for
        // that of the next call's release.
        if used == Use::Unequipped || self.is_resetting(group, cic) {
            return;
        }
        self.used(now, group, cic, Use::Idle, Micros::MAX);
        match used {
            // Nothing of it was heard there: it goes on by another circuit.
            Use::OutSeized(call) => self.yields(now, call, out),
            Use::OutAccepted(call) | Use::OutAnswered(call) | Use::In(call) => {
                self.forget(call);
                out.push(Output::Ended(call, End::Reset));
            }
            _ => {}
        }
    }

    fn blocked_there(&mut self, now: Micros, group: usize, cic: Cic, blocked: bool, out: &mut Vec<Output>) {
        if self.circuit(group, cic).is_none() {
            return;
        }
        say(group, cic, if blocked { Signal::BlockAck } else { Signal::UnblockAck }, out);
        self.block_there(now, group, cic, blocked, out);
    }

    /// The far end blocks a circuit, or ends that. A seizure under way shows by it whether it was taken: see
    /// [`blocking_refuses`].
    fn block_there(&mut self, now: Micros, group: usize, cic: Cic, blocked: bool, out: &mut Vec<Output>) {
        let Some(circuit) = self.circuit_mut(group, cic) else { return };
        let refuses = blocking_refuses(blocked, circuit.blocked_there);
        circuit.blocked_there = blocked;
        let used = circuit.used;
        self.settle(group, cic);
        if let (Use::OutSeized(call), true) = (used, refuses) {
            self.used(now, group, cic, Use::Idle, Micros::MAX);
            self.yields(now, call, out);
        }
    }

    fn blocking_known(&mut self, group: usize, cic: Cic, blocked: bool) {
        let Some(circuit) = self.groups.get_mut(group).and_then(|group| group.get_mut(cic)) else { return };
        // The acknowledgement of another word than the last one says nothing of that.
        if circuit.blocked_here == blocked {
            circuit.blocking_open = false;
            self.agenda.set(&mut circuit.blocking_due, Micros::MAX, group, cic, Due::Blocking);
        }
    }

    fn group_reset_there(
        &mut self,
        now: Micros,
        group: usize,
        first: Cic,
        count: u16,
        out: &mut Vec<Output>,
    ) {
        let mut status = Vec::new();
        for cic in first..first.saturating_add(count.clamp(1, QUERY_MAX)) {
            self.cleared_there(now, group, cic, out);
            status.push(self.circuit(group, cic).is_some_and(|circuit| circuit.blocked_here));
        }
        say(group, first, Signal::GroupResetAck(status), out);
    }

    fn group_reset_done(&mut self, now: Micros, group: usize, first: Cic, status: &[bool]) {
        // One that answers another range than was asked for is passed over: T22 asks again.
        let Some(cics) = self.groups.get(group).map(Group::cics) else { return };
        let asked = usize::from(QUERY_MAX.min(cics.end.saturating_sub(first)));
        let awaited = self.circuit(group, first).is_some_and(|c| c.used == Use::GroupResetting);
        if status.len() != asked || !awaited {
            self.counts.odd += 1;
            return;
        }
        for (cic, blocked) in (first..).zip(status) {
            if self.circuit(group, cic).is_some_and(|circuit| circuit.used == Use::GroupResetting) {
                if let Some(circuit) = self.circuit_mut(group, cic) {
                    circuit.blocked_there = *blocked;
                }
                self.used(now, group, cic, Use::Idle, Micros::MAX);
            }
        }
    }

    fn group_blocked_there(
        &mut self,
        now: Micros,
        group: usize,
        first: Cic,
        status: &[bool],
        blocked: bool,
        out: &mut Vec<Output>,
    ) {
        for (cic, _) in (first..).zip(status).filter(|(_, named)| **named) {
            self.block_there(now, group, cic, blocked, out);
        }
    }

    fn group_blocking_known(&mut self, group: usize, first: Cic, status: &[bool], blocked: bool) {
        for (cic, _) in (first..).zip(status).filter(|(_, named)| **named) {
            self.blocking_known(group, cic, blocked);
        }
    }

    fn unequipped(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        let Some(used) = self.circuit(group, cic).map(|circuit| circuit.used) else { return };
        if used == Use::Unequipped {
            return;
        }
        self.used(now, group, cic, Use::Unequipped, Micros::MAX);
        report(group, cic, Maintenance::Unequipped, out);
        match used {
            Use::OutSeized(call) => self.yields(now, call, out),
            Use::OutAccepted(call) | Use::OutAnswered(call) | Use::In(call) => {
                self.forget(call);
                out.push(Output::Ended(call, End::Reset));
            }
            _ => {}
        }
    }

    // --- audits ---

    fn queried(&mut self, group: usize, first: Cic, count: u16, out: &mut Vec<Output>) {
        let unequipped = Told {
            processing: crate::Processing::Unequipped,
            locally_blocked: false,
            remotely_blocked: false,
        };
        let states = (first..first.saturating_add(count.clamp(1, QUERY_MAX)))
            .map(|cic| self.circuit(group, cic).map_or(unequipped, Circuit::told));
        let states = states.collect();
        say(group, first, Signal::QueryReply(states), out);
    }

    fn query(&mut self, now: Micros, group: usize, out: &mut Vec<Output>) {
        let (t28, every) = (self.timers.t28, self.audit.query_interval);
        let (Some(audit), Some(found)) = (self.audits.get_mut(group), self.groups.get(group)) else { return };
        audit.due = now + every;
        if let Some(query) = &audit.query {
            if now < query.sent_at + t28 {
                return;
            }
            self.counts.queries_lost += 1;
        }
        audit.query = None;
        if !found.reachable {
            return;
        }
        let (first, count) = audit.range(now, found.cics());
        let changes = (first..first + count).map(|cic| found.get(cic).map_or(0, |c| c.changes)).collect();
        audit.query = Some(Query { first, sent_at: now, changes });
        self.counts.queries += 1;
        say(group, first, Signal::Query(count), out);
    }

    fn told(&mut self, now: Micros, group: usize, first: Cic, states: &[Told], out: &mut Vec<Output>) {
        let Some(audit) = self.audits.get_mut(group) else { return };
        let asked = |query: &Query| query.first == first && query.changes.len() == states.len();
        // Late, a copy, or of another length than was asked for: nothing is concluded from it.
        if !audit.query.as_ref().is_some_and(asked) {
            self.counts.odd += 1;
            return;
        }
        let Some(query) = audit.query.take() else { return };
        audit.answered_at = Some(now);
        for ((cic, told), changes) in (first..).zip(states).zip(query.changes) {
            self.look(now, group, cic, *told, changes, out);
        }
    }

    /// One circuit as the far end tells it. `changes` is where it stood here when that was asked.
    fn look(&mut self, now: Micros, group: usize, cic: Cic, told: Told, changes: u32, out: &mut Vec<Output>) {
        let Some(circuit) = self.circuit(group, cic).cloned() else { return };
        let settings = self.audit;
        let moved = circuit.changes != changes;
        let look = if moved { Look::Open } else { compare(circuit.ours(), told) };
        let Some(audit) = self.audits.get_mut(group) else { return };
        match look {
            Look::Agree | Look::Open => audit.clear(cic),
            Look::Unequipped => return self.unequipped(now, group, cic, out),
            Look::Differ => {
                if audit.differs(now, cic, changes, settings) {
                    self.counts.stuck += 1;
                    report(group, cic, Maintenance::Stuck, out);
                    self.end_on(group, cic, End::Reset, out);
                    return self.send_reset(now, group, cic, out);
                }
            }
        }
        if told.processing == crate::Processing::Transient || moved {
            return;
        }
        // Each end is believed about its own blocking.
        if told.locally_blocked != circuit.blocked_there {
            if let Some(circuit) = self.circuit_mut(group, cic) {
                circuit.blocked_there = told.locally_blocked;
            }
            self.settle(group, cic);
        }
        if blocking_unknown_there(circuit.blocked_here, told) && !circuit.blocking_open {
            self.say_blocking(now, group, cic, out);
        }
    }

    /// Something that makes no sense: no call is cut for it, but an audit looks.
    fn odd(&mut self, now: Micros, group: usize, cic: Cic) {
        self.counts.odd += 1;
        if let Some(audit) = self.audits.get_mut(group) {
            audit.want(now, cic);
        }
    }

    fn send_reset(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        self.counts.resets += 1;
        self.used(now, group, cic, Use::Resetting, now + self.timers.t16);
        say(group, cic, Signal::Reset, out);
    }

    // --- time ---

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some((group, cic, what)) = self.agenda.take(now) {
            match what {
                Due::Use => self.use_due(now, group, cic, out),
                Due::Blocking => {
                    if let Some(circuit) = self.circuit_mut(group, cic) {
                        circuit.blocking_due = Micros::MAX;
                    }
                    self.say_blocking(now, group, cic, out);
                }
            }
        }
        for group in 0..self.audits.len() {
            if self.audits[group].due <= now {
                self.query(now, group, out);
            }
        }
    }

    fn use_due(&mut self, now: Micros, group: usize, cic: Cic, out: &mut Vec<Output>) {
        let TimerSettings { t1, t5, t16, t17, .. } = self.timers;
        let Some(circuit) = self.circuit_mut(group, cic) else { return };
        circuit.due = Micros::MAX;
        let (used, since) = (circuit.used, circuit.since);
        // Nobody hears it, and the time of a link's loss is none in which a far end left something unanswered: else
        // an outage of T5 and T17 would leave every circuit of it blocked for maintenance.
        if !self.groups.get(group).is_some_and(|group| group.reachable)
            && matches!(used, Use::Releasing | Use::Resetting | Use::GroupResetting)
        {
            return self.set_due(now + t1, group, cic);
        }
        let long = now.saturating_sub(since);
        match used {
            Use::OutSeized(call) | Use::OutAccepted(call) => {
                self.forget(call);
                out.push(Output::Ended(call, End::NoAnswer));
                self.send_release(now, group, cic, cause::RECOVERY_ON_TIMER_EXPIRY, out);
            }
            Use::Releasing if long >= t5 => {
                report(group, cic, Maintenance::ReleaseUnanswered, out);
                self.send_reset(now, group, cic, out);
            }
            Use::Releasing => {
                self.set_due(now + t1, group, cic);
                say(group, cic, Signal::Release(cause::RECOVERY_ON_TIMER_EXPIRY), out);
            }
            Use::Resetting | Use::GroupResetting => {
                let first_time = long >= t17 && self.circuit(group, cic).is_some_and(|c| !c.reported);
                if first_time {
                    if let Some(circuit) = self.circuit_mut(group, cic) {
                        circuit.reported = true;
                        circuit.blocked_here = true;
                    }
                    report(group, cic, Maintenance::ResetUnanswered, out);
                }
                self.set_due(now + if long >= t17 { t17 } else { t16 }, group, cic);
                let signal = if used == Use::Resetting {
                    Signal::Reset
                } else {
                    let end = self.groups.get(group).map_or(cic + 1, |group| group.cics().end);
                    Signal::GroupReset(QUERY_MAX.min(end - cic))
                };
                say(group, cic, signal, out);
            }
            Use::Idle | Use::OutAnswered(_) | Use::In(_) | Use::Unequipped => {}
        }
    }

    // --- circuits ---

    fn circuit(&self, group: usize, cic: Cic) -> Option<&Circuit> {
        self.groups.get(group)?.get(cic)
    }

    fn circuit_mut(&mut self, group: usize, cic: Cic) -> Option<&mut Circuit> {
        self.groups.get_mut(group)?.get_mut(cic)
    }

    fn settle(&mut self, group: usize, cic: Cic) {
        if let Some(group) = self.groups.get_mut(group) {
            group.settle(cic);
        }
    }

    /// Changes what a circuit is used for; its timer is due then.
    fn used(&mut self, now: Micros, group: usize, cic: Cic, used: Use, due: Micros) {
        let Some(circuit) = self.circuit_mut(group, cic) else { return };
        circuit.used = used;
        circuit.changes = circuit.changes.wrapping_add(1);
        circuit.since = now;
        circuit.reported = false;
        self.set_due(due, group, cic);
        self.settle(group, cic);
    }

    fn set_due(&mut self, due: Micros, group: usize, cic: Cic) {
        if let Some(circuit) = self.groups.get_mut(group).and_then(|group| group.get_mut(cic)) {
            self.agenda.set(&mut circuit.due, due, group, cic, Due::Use);
        }
    }

    /// The call on a circuit is over.
    fn end_on(&mut self, group: usize, cic: Cic, end: End, out: &mut Vec<Output>) {
        if let Some(call) = self.circuit(group, cic).and_then(Circuit::call) {
            self.forget(call);
            out.push(Output::Ended(call, end));
        }
    }
}

fn say(group: usize, cic: Cic, signal: Signal, out: &mut Vec<Output>) {
    out.push(Output::Send { group: GroupId(group as u16), cic, signal });
}

fn report(group: usize, cic: Cic, what: Maintenance, out: &mut Vec<Output>) {
    out.push(Output::Report { group: GroupId(group as u16), cic, what });
}
