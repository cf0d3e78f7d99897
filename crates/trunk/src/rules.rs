//! Decisions about circuits, as pure functions: control, selection, dual seizure, release, blocking and
//! audits.

use crate::types::{Cic, Processing, ReportedState};

/// Returns whether this end controls a circuit, so that its call proceeds on dual seizure. The exchange with
/// the higher signalling point code controls the even circuits, the other one the odd circuits (Q.764,
/// 2.9.1.4).
pub fn controls(own_point: u32, far_point: u32, cic: Cic) -> bool {
    (own_point > far_point) == (cic % 2 == 0)
}

/// Circuit selection method.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Selection {
    /// First the circuits that this end controls, longest idle first; then those that the far end controls,
    /// most recently released first (Q.764, 2.9.1.3, method 2). The two ends select in opposite order, which
    /// makes dual seizure rare.
    Opposite,
    /// The lowest free circuit, as simple exchanges select it. Dual seizure is frequent.
    Sequential,
}

/// How a call was routed to a trunk group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteChoice {
    /// The group is the call's first choice.
    First,
    /// The call overflowed from another group or server and may not use the circuits reserved for
    /// first-choice calls.
    Overflow,
}

/// Returns whether a call may seize one of `free` circuits, of which `reserve` are reserved for first-choice
/// calls (trunk reservation): in a nearly full group an overflow call would displace a call that has no other
/// route.
pub fn may_seize(choice: RouteChoice, free: usize, reserve: usize) -> bool {
    match choice {
        RouteChoice::First => free > 0,
        RouteChoice::Overflow => free > reserve,
    }
}

/// After winning a dual seizure of a circuit, an end leaves the idle circuit to the far end for this time, in
/// microseconds. It is longer than an IAM is in transit. Without it the end that controls the last free
/// circuit would win every dual seizure of it and starve the other end's calls.
pub const POST_GLARE_HOLDOFF_US: u64 = 200_000;

/// Returns whether a circuit that has been idle for `idle_us` is left to the far end.
pub fn leaves_to_far_end(won_last_glare: bool, idle_us: u64) -> bool {
    won_last_glare && idle_us < POST_GLARE_HOLDOFF_US
}

/// Maximum number of dual seizures that one call may lose in a group. The exchange that controls the circuit
/// has discarded the yielding call, so another circuit may be seized at once. A call that has reached the
/// limit is returned to call control, which may route it elsewhere.
pub const MAX_YIELDS: u8 = 3;

/// Returns whether a call that yielded `yielded` times may seize another circuit of the same group.
pub fn may_reseize(yielded: u8) -> bool {
    yielded < MAX_YIELDS
}

/// A backward signal on a circuit that has been idle for less than this time, in microseconds, may be a
/// delayed duplicate of the previous call's. It is longer than a signal is in transit.
pub const LATE_SIGNAL_WINDOW_US: u64 = 1_000_000;

/// Returns whether a backward signal on an idle circuit shows that the far end holds a call that does not
/// exist here; the circuit is then reset (Q.764, 2.9.5.1). Shortly after a release the signal may be a
/// delayed duplicate, and a reset would cut the far end's next call, so an audit checks the circuit instead.
pub fn indicates_unknown_call(idle_us: u64) -> bool {
    idle_us >= LATE_SIGNAL_WINDOW_US
}

/// State of a circuit at this end, as compared by an audit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LocalState {
    /// Idle.
    Idle,
    /// Busy with an outgoing call.
    Outgoing,
    /// Busy with an incoming call.
    Incoming,
    /// Being released or reset, which is supervised by timers; or unequipped.
    Transient,
}

/// Result of comparing one circuit's state at both ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Comparison {
    /// Both ends agree.
    Consistent,
    /// The state is changing at one end: nothing can be concluded.
    Inconclusive,
    /// The states contradict each other, which is possible only while a message is in transit.
    Mismatch,
    /// The far end has no such circuit.
    Unequipped,
}

/// Compares a circuit's state at this end with the state that the far end reports.
pub fn compare_states(local: LocalState, remote: ReportedState) -> Comparison {
    use Processing::{Idle, IncomingBusy, OutgoingBusy, Transient, Unequipped};
    match (local, remote.processing) {
        (_, Unequipped) => Comparison::Unequipped,
        (LocalState::Transient, _) | (_, Transient) => Comparison::Inconclusive,
        (LocalState::Idle, Idle)
        | (LocalState::Outgoing, IncomingBusy)
        | (LocalState::Incoming, OutgoingBusy) => Comparison::Consistent,
        _ => Comparison::Mismatch,
    }
}

/// Returns whether a circuit with mismatching states is stuck. A single mismatch proves nothing, as a seizure
/// or release may be in transit. Two mismatches further apart than any message's transit time, with no change
/// at this end in between, prove that only one end holds a call: no call is established, and the circuit may
/// be reset.
pub fn is_stuck(
    first_mismatch: u64,
    changes_then: u32,
    now: u64,
    changes_now: u32,
    recheck_after: u64,
) -> bool {
    changes_then == changes_now && now >= first_mismatch.saturating_add(recheck_after)
}

/// Returns whether the far end's view of this end's blocking is wrong. The end that blocks is authoritative:
/// on a mismatch it sends its blocking state again.
pub fn blocking_mismatch(locally_blocked: bool, remote: ReportedState) -> bool {
    locally_blocked != remote.remotely_blocked
}

/// Maximum wait for the RLC, in microseconds, after an IAM arrived on a circuit whose release or reset is
/// incomplete. Such an IAM shows that the far end has the circuit idle. If the IAM crossed the REL or is a
/// duplicate, the RLC follows it and the far end's call ended with the REL. If the RLC was lost, the far
/// end's call and its caller would wait until T1 expires. Repeating the REL at once could hit the far end's
/// next call after the first release completes, so the IAM is neither accepted nor answered, and the REL or
/// RSC is repeated before T1 only if no RLC arrives within this time.
pub const RLC_GRACE_US: u64 = 200_000;

/// Returns whether an REL is answered with an RLC: not while this end's reset of the circuit is pending. The
/// reset ends the far end's release, so the far end would take a later RLC for the completion of its next
/// call's release, and signals of that call for signals of the one after.
pub fn answers_release(resetting: bool) -> bool {
    !resetting
}

/// Returns whether a blocking signal received while an IAM is unanswered rejects the IAM. The first BLO or
/// CGB does not: it may have been sent after the IAM was processed, and the call then proceeds at the far end
/// (Q.764, 2.8.2). Reattempting on another circuit at once, as Q.764, 2.8.2.3 allows, could leave two
/// attempts in progress. An exchange that receives an IAM on a circuit that it has blocked repeats the
/// blocking, and that repetition rejects the IAM.
pub fn blocking_rejects_seizure(blocked: bool, already_blocked: bool) -> bool {
    blocked && already_blocked
}

#[cfg(test)]
mod tests {
    use super::*;

    fn reported(processing: Processing) -> ReportedState {
        ReportedState { processing, locally_blocked: false, remotely_blocked: false }
    }

    #[test]
    fn exactly_one_end_controls_each_circuit() {
        for cic in 0..64 {
            for (one, other) in [(1, 2), (7, 3), (0x3fff, 0)] {
                assert_ne!(controls(one, other, cic), controls(other, one, cic));
            }
            assert_eq!(controls(2, 1, cic), cic % 2 == 0);
        }
    }

    #[test]
    fn only_repeated_blocking_rejects_seizure() {
        assert!(blocking_rejects_seizure(true, true));
        assert!(!blocking_rejects_seizure(true, false) && !blocking_rejects_seizure(false, true));
    }

    #[test]
    fn glare_winner_leaves_circuit_to_far_end() {
        assert!(leaves_to_far_end(true, 0) && leaves_to_far_end(true, POST_GLARE_HOLDOFF_US - 1));
        assert!(!leaves_to_far_end(true, POST_GLARE_HOLDOFF_US) && !leaves_to_far_end(false, 0));
    }

    #[test]
    fn early_backward_signal_does_not_trigger_reset() {
        assert!(
            !indicates_unknown_call(0)
                && !indicates_unknown_call(LATE_SIGNAL_WINDOW_US - 1)
                && indicates_unknown_call(LATE_SIGNAL_WINDOW_US)
        );
    }

    #[test]
    fn reserved_circuits_exclude_overflow_calls() {
        assert!(may_seize(RouteChoice::First, 1, 4) && !may_seize(RouteChoice::First, 0, 0));
        assert!(!may_seize(RouteChoice::Overflow, 4, 4) && may_seize(RouteChoice::Overflow, 5, 4));
    }

    #[test]
    fn states_are_consistent_only_when_mirrored() {
        use Processing::{Idle, IncomingBusy, OutgoingBusy, Transient};
        let consistent = [
            (LocalState::Idle, Idle),
            (LocalState::Outgoing, IncomingBusy),
            (LocalState::Incoming, OutgoingBusy),
        ];
        for local in [LocalState::Idle, LocalState::Outgoing, LocalState::Incoming] {
            for remote in [Idle, IncomingBusy, OutgoingBusy] {
                let expected = if consistent.contains(&(local, remote)) {
                    Comparison::Consistent
                } else {
                    Comparison::Mismatch
                };
                assert_eq!(compare_states(local, reported(remote)), expected);
            }
            assert_eq!(compare_states(local, reported(Transient)), Comparison::Inconclusive);
        }
        assert_eq!(compare_states(LocalState::Transient, reported(Idle)), Comparison::Inconclusive);
    }

    #[test]
    fn stuck_requires_two_unchanged_mismatches_apart() {
        assert!(is_stuck(0, 5, 4_000_000, 5, 4_000_000));
        assert!(!is_stuck(0, 5, 3_999_999, 5, 4_000_000));
        assert!(!is_stuck(0, 5, 9_000_000, 6, 4_000_000));
    }
}
