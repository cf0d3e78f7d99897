//! What is decided about circuits. No state: each is a rule that can be read, tested and argued about alone.

use crate::types::{Cic, Processing, Told};

/// Which of two ends controls a circuit, whose call proceeds when both seize it: the exchange with the higher
/// signalling point code the even ones, the other the odd ones (Q.764, 2.9.1.4).
pub fn controls(own_point: u32, far_point: u32, cic: Cic) -> bool {
    (own_point > far_point) == (cic % 2 == 0)
}

/// How a free circuit is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Selection {
    /// Own circuits first, the one that was free longest; then those that the far end controls, the one that was
    /// freed last (Q.764, 2.9.1.3, method 2). Each end begins where the other one comes last.
    Opposite,
    /// The lowest number: what a plain exchange does, and what makes glare common.
    Sequential,
}

/// How a call came to a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteChoice {
    /// The group is its first choice.
    First,
    /// Another group or server had no room: it must leave some circuits to first choices.
    Overflow,
}

/// Whether a call may seize one of `free` circuits, of which `reserve` are kept back for first choices: in a group
/// that is nearly full an overflow call takes the place of one that has nowhere else to go.
pub fn may_seize(claim: RouteChoice, free: usize, reserve: usize) -> bool {
    match claim {
        RouteChoice::First => free > 0,
        RouteChoice::Overflow => free > reserve,
    }
}

/// An end that won the last dual seizure of a circuit leaves it to the far end for so long once it is idle again,
/// microseconds: longer than a seizure is under way. By the fixed rule alone the end that controls the last free
/// circuit would win it every time, and the other end's calls would starve.
pub const GIVES_WAY: u64 = 200_000;

/// Whether a circuit that has been idle for so long is left to the far end.
pub fn gives_way(won_the_last: bool, idle_for: u64) -> bool {
    won_the_last && idle_for < GIVES_WAY
}

/// Seizures of one call that may lose to the far end's in one group. Each was settled by the exchange that controls
/// the circuit, so nothing of the call is left there and the next circuit may be tried at once; but a call that lost
/// so often is better sent elsewhere, by who decides on routes.
pub const YIELDS_MAX: u8 = 3;

/// Whether a call that yielded tries another circuit of the same group.
pub fn tries_another(yielded: u8) -> bool {
    yielded < YIELDS_MAX
}

/// A backward signal on a circuit that has been idle for less than this may be a late copy of the last call's,
/// microseconds: longer than a signal is under way.
pub const LATE: u64 = 1_000_000;

/// Whether a backward signal on an idle circuit shows that the far end holds what is no call: the circuit is reset
/// then (Q.764, 2.9.5.1). Right after a release it may be a copy, and the reset would cut the far end's next call: an
/// audit looks instead.
pub fn shows_a_lost_call(idle_for: u64) -> bool {
    idle_for >= LATE
}

/// What this end uses a circuit for, as an audit compares it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ours {
    /// Idle.
    Idle,
    /// Busy by a call from here.
    Outgoing,
    /// Busy by the far end's call.
    Incoming,
    /// Being released or reset: its own timers see to it.
    Changing,
}

/// What an audit concludes of one look at one circuit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Look {
    /// Both ends say the same.
    Agree,
    /// One of them is changing: nothing can be concluded.
    Open,
    /// They say what cannot both be true for long.
    Differ,
    /// The far end has no such circuit.
    Unequipped,
}

/// Compares what both ends say of a circuit.
pub fn compare(ours: Ours, told: Told) -> Look {
    use Processing::{Idle, IncomingBusy, OutgoingBusy, Transient, Unequipped};
    match (ours, told.processing) {
        (_, Unequipped) => Look::Unequipped,
        (Ours::Changing, _) | (_, Transient) => Look::Open,
        (Ours::Idle, Idle) | (Ours::Outgoing, IncomingBusy) | (Ours::Incoming, OutgoingBusy) => Look::Agree,
        _ => Look::Differ,
    }
}

/// Whether a circuit whose ends differ is stuck. One look proves nothing: a seizure or a release may be under way.
/// Two looks, longer apart than any message stays under way, with no change here between them, prove that what one
/// end holds the other one does not: no call stands on it, whichever end is right, and it may be reset.
pub fn is_stuck(
    first_look: u64,
    changes_then: u32,
    now: u64,
    changes_now: u32,
    second_look_after: u64,
) -> bool {
    changes_then == changes_now && now >= first_look.saturating_add(second_look_after)
}

/// Who is believed about blocking: the end that blocks. `true`: say our own blocking again.
pub fn blocking_unknown_there(own_block: bool, told: Told) -> bool {
    own_block != told.remotely_blocked
}

/// An IAM on a circuit whose release or reset is still to be completed here shows that the far end has it idle. Either
/// the IAM crossed the REL, or is a copy: then the RLC follows it, and the far end's call ended with the REL. Or the
/// RLC was lost: then the far end's call waits, and its caller with it, until T1 runs out. So it is neither taken nor
/// answered at once, for an REL said again would meet the far end's next call when it has completed the first one; but
/// where the RLC does not follow within this, microseconds, the release is said again before T1.
pub const COMPLETION_FOLLOWS: u64 = 200_000;

/// Whether an REL is answered by an RLC: not where this end's reset of the circuit is out. The far end is done with the
/// circuit once it reads that, and awaits no RLC then; one that it reads later it would take for the completion of its
/// next call's release, and signals of that call for those of the one after.
pub fn completes_a_release(resetting: bool) -> bool {
    !resetting
}

/// Whether a blocking that comes while an IAM is unanswered says that the IAM was not taken. The first one does not:
/// it may have been sent after the IAM was read, and then the call goes on there (Q.764, 2.8.2). To go on by another
/// circuit at once, as Q.764, 2.8.2.3 allows, would have two attempts out. An exchange that reads an IAM on a circuit
/// that it has blocked says the blocking again, and that is an answer.
pub fn blocking_refuses(blocked: bool, blocked_before: bool) -> bool {
    blocked && blocked_before
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told(processing: Processing) -> Told {
        Told { processing, locally_blocked: false, remotely_blocked: false }
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
    fn only_a_blocking_said_again_answers_a_seizure() {
        assert!(blocking_refuses(true, true));
        assert!(!blocking_refuses(true, false) && !blocking_refuses(false, true));
    }

    #[test]
    fn who_won_gives_way_for_a_while() {
        assert!(gives_way(true, 0) && gives_way(true, GIVES_WAY - 1));
        assert!(!gives_way(true, GIVES_WAY) && !gives_way(false, 0));
    }

    #[test]
    fn a_signal_right_after_a_release_proves_nothing() {
        assert!(!shows_a_lost_call(0) && !shows_a_lost_call(LATE - 1) && shows_a_lost_call(LATE));
    }

    #[test]
    fn the_last_circuits_are_for_first_choices() {
        assert!(may_seize(RouteChoice::First, 1, 4) && !may_seize(RouteChoice::First, 0, 0));
        assert!(!may_seize(RouteChoice::Overflow, 4, 4) && may_seize(RouteChoice::Overflow, 5, 4));
    }

    #[test]
    fn ends_agree_only_where_each_is_the_others_mirror() {
        use Processing::{Idle, IncomingBusy, OutgoingBusy, Transient};
        let agree = [(Ours::Idle, Idle), (Ours::Outgoing, IncomingBusy), (Ours::Incoming, OutgoingBusy)];
        for ours in [Ours::Idle, Ours::Outgoing, Ours::Incoming] {
            for theirs in [Idle, IncomingBusy, OutgoingBusy] {
                let wanted = if agree.contains(&(ours, theirs)) { Look::Agree } else { Look::Differ };
                assert_eq!(compare(ours, told(theirs)), wanted);
            }
            assert_eq!(compare(ours, told(Transient)), Look::Open);
        }
        assert_eq!(compare(Ours::Changing, told(Idle)), Look::Open);
    }

    #[test]
    fn a_circuit_is_stuck_only_when_nothing_moved_between_two_looks_far_enough_apart() {
        assert!(is_stuck(0, 5, 4_000_000, 5, 4_000_000));
        assert!(!is_stuck(0, 5, 3_999_999, 5, 4_000_000));
        assert!(!is_stuck(0, 5, 9_000_000, 6, 4_000_000));
    }
}
