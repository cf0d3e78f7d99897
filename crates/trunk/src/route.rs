//! What is decided between a call and the groups that lead to its far end: which group, what the way a call ended
//! means to who decides on routes, and what that is told of circuits. No state.

use baydrift::interface::{Note, Outcome, Report};

use crate::types::{End, GroupId, Usage};

/// Cause values (Q.850) that mean more than "failed" to who decides on routes, and those that are said from here.
pub mod cause {
    /// The caller is done, or a call that stood is over.
    pub const NORMAL_CLEARING: u8 = 16;
    /// The number is busy.
    pub const USER_BUSY: u8 = 17;
    /// Normal, unspecified.
    pub const NORMAL_UNSPECIFIED: u8 = 31;
    /// No circuit or channel available.
    pub const NO_CIRCUIT: u8 = 34;
    /// Network out of order.
    pub const NETWORK_OUT_OF_ORDER: u8 = 38;
    /// Temporary failure: a call that was taken could not be set up.
    pub const TEMPORARY_FAILURE: u8 = 41;
    /// Switching equipment congestion: turned away, never ran.
    pub const SWITCHING_CONGESTION: u8 = 42;
    /// Requested circuit not available.
    pub const CIRCUIT_NOT_AVAILABLE: u8 = 44;
    /// Resource unavailable.
    pub const RESOURCE_UNAVAILABLE: u8 = 47;
    /// Recovery on timer expiry.
    pub const RECOVERY_ON_TIMER_EXPIRY: u8 = 102;
}

/// The group that a call tries next: of those not tried yet the one with most free circuits, the first of equals. A
/// group without a free one is not tried: that would be known at once, and cost the call a decision. `None`: the far
/// end cannot take the call now.
pub fn next_group(groups: &[(GroupId, Usage)], tried: &[GroupId]) -> Option<GroupId> {
    let open = groups.iter().filter(|(group, usage)| usage.free > 0 && !tried.contains(group));
    open.max_by_key(|(group, usage)| (usage.free, std::cmp::Reverse(*group))).map(|(group, _)| *group)
}

/// Whether a call whose try of a group ended so tries the far end's next group: only where the far end has nothing of
/// it, by the rule for dual seizure or since nothing was sent. All else is for who decides on routes, who keeps the
/// release guard.
pub fn tries_next_group(end: End) -> bool {
    matches!(end, End::NoCircuit | End::Yielded)
}

/// What the end of a set-up means to who decides on routes.
///
/// No circuit, and a call that yielded, are "no line": it never ran, and may go elsewhere at once. A seizure that was
/// not answered in time, or was reset, may have run; so may one that was released without a cause that says why the
/// far end does not want it.
pub fn meaning(end: End) -> (Outcome, Note) {
    match end {
        End::NoCircuit | End::Yielded => (Outcome::Full, Note::NoLine),
        End::Unreachable => (Outcome::ConnectFailed, Note::None),
        End::NoAnswer => (Outcome::Timeout, Note::None),
        End::Reset => (Outcome::Reset, Note::None),
        End::Released(cause::USER_BUSY) => (Outcome::Error, Note::NumberBusy),
        End::Released(cause::NO_CIRCUIT | cause::CIRCUIT_NOT_AVAILABLE) => (Outcome::Full, Note::NoLine),
        End::Released(cause::SWITCHING_CONGESTION | cause::RESOURCE_UNAVAILABLE) => {
            (Outcome::Full, Note::ProcessorFull(0))
        }
        // The far end had it and let go of it: it may have stood there, and its answer been lost on the way.
        End::Released(
            cause::NORMAL_CLEARING
            | cause::NORMAL_UNSPECIFIED
            | cause::NETWORK_OUT_OF_ORDER
            | cause::TEMPORARY_FAILURE
            | cause::RECOVERY_ON_TIMER_EXPIRY,
        ) => (Outcome::Reset, Note::None),
        End::Released(_) => (Outcome::Error, Note::None),
    }
}

/// What is told of a far end: its free lines, and lines in all. Blocked circuits are no lines; one that awaits its
/// release or reset is a line, but not free.
pub fn report(groups: &[(GroupId, Usage)]) -> Report {
    let sum = |of: fn(&Usage) -> usize| groups.iter().map(|(_, usage)| of(usage)).sum::<usize>() as f64;
    Report {
        free: Some(sum(|u| u.free)),
        circuits: Some(sum(|u| u.free + u.outgoing + u.incoming + u.clearing)),
        ..Report::default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn usage(free: usize) -> Usage {
        Usage { free, outgoing: 3, incoming: 2, clearing: 1, blocked: 4 }
    }

    #[test]
    fn the_group_with_most_free_circuits_comes_first_and_none_twice() {
        let groups =
            [(GroupId(0), usage(2)), (GroupId(1), usage(5)), (GroupId(2), usage(5)), (GroupId(3), usage(0))];
        let mut tried = Vec::new();
        while let Some(group) = next_group(&groups, &tried) {
            tried.push(group);
        }
        assert_eq!(tried, [GroupId(1), GroupId(2), GroupId(0)]);
    }

    #[test]
    fn only_what_left_nothing_at_the_far_end_goes_on_at_once() {
        let all = [
            End::Released(16),
            End::Released(34),
            End::NoCircuit,
            End::Yielded,
            End::NoAnswer,
            End::Reset,
            End::Unreachable,
        ];
        for end in all {
            let (outcome, _) = meaning(end);
            if tries_next_group(end) {
                assert_eq!(outcome, Outcome::Full);
            }
            // What may have run must not count as "never ran".
            let may_have_run = matches!(outcome, Outcome::Timeout | Outcome::Reset);
            assert_eq!(may_have_run, matches!(end, End::NoAnswer | End::Reset | End::Released(16)));
        }
        assert_eq!(meaning(End::Released(17)), (Outcome::Error, Note::NumberBusy));
        assert_eq!(meaning(End::Released(42)), (Outcome::Full, Note::ProcessorFull(0)));
    }

    #[test]
    fn blocked_circuits_are_no_lines() {
        let told = report(&[(GroupId(0), usage(2)), (GroupId(1), usage(5))]);
        assert_eq!((told.free, told.circuits), (Some(7.0), Some(19.0)));
    }
}
