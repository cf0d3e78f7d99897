//! Pure functions between call routing and trunk groups: selection of the next group, mapping of a call's end
//! to a routing outcome, and the load report of a far end.

use baydrift::interface::{Note, Outcome, Report};

use crate::types::{End, GroupId, Usage};

/// Cause values (Q.850) that call routing distinguishes, and those that this end sends.
pub mod cause {
    /// Normal call clearing: the caller or the called party ended the call.
    pub const NORMAL_CLEARING: u8 = 16;
    /// User busy.
    pub const USER_BUSY: u8 = 17;
    /// Normal, unspecified.
    pub const NORMAL_UNSPECIFIED: u8 = 31;
    /// No circuit or channel available.
    pub const NO_CIRCUIT: u8 = 34;
    /// Network out of order.
    pub const NETWORK_OUT_OF_ORDER: u8 = 38;
    /// Temporary failure: a call was accepted but could not be set up.
    pub const TEMPORARY_FAILURE: u8 = 41;
    /// Switching equipment congestion: the call was rejected before any processing.
    pub const SWITCHING_CONGESTION: u8 = 42;
    /// Requested circuit not available.
    pub const CIRCUIT_NOT_AVAILABLE: u8 = 44;
    /// Resource unavailable.
    pub const RESOURCE_UNAVAILABLE: u8 = 47;
    /// Recovery on timer expiry.
    pub const RECOVERY_ON_TIMER_EXPIRY: u8 = 102;
}

/// Selects the group that a call tries next: of the untried groups the one with the most free circuits, the
/// lowest id among equals. Groups without a free circuit are skipped: the seizure would fail at once and use
/// up one of the call's routing decisions. `None` means that the far end cannot take the call now.
pub fn next_group(groups: &[(GroupId, Usage)], tried: &[GroupId]) -> Option<GroupId> {
    let available = groups.iter().filter(|(group, usage)| usage.free > 0 && !tried.contains(group));
    available.max_by_key(|(group, usage)| (usage.free, std::cmp::Reverse(*group))).map(|(group, _)| *group)
}

/// Returns whether a call whose attempt on one group ended this way may try the far end's next group: only if
/// the far end holds nothing of it, because nothing was sent or because it yielded on dual seizure. All other
/// endings go to call routing, which applies the retry hold-off.
pub fn may_try_next_group(end: End) -> bool {
    matches!(end, End::NoCircuit | End::Yielded)
}

/// Maps the end of a set-up to the outcome and note reported to call routing.
///
/// A call that found no circuit or yielded never ran at the far end and may be routed elsewhere at once. A
/// seizure that timed out or was reset may have run, and so may a call released with a cause that does not
/// say that the far end rejected it.
pub fn outcome_of(end: End) -> (Outcome, Note) {
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
        // The far end accepted the call and then released it: the call may have been answered there, and the
        // ANM lost.
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

/// Builds the load report of a far end: free circuits, and circuits in service. Blocked circuits are not in
/// service; a circuit that is being released or reset is in service but not free.
pub fn far_end_report(groups: &[(GroupId, Usage)]) -> Report {
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
    fn next_group_prefers_most_free_circuits_without_repeats() {
        let groups =
            [(GroupId(0), usage(2)), (GroupId(1), usage(5)), (GroupId(2), usage(5)), (GroupId(3), usage(0))];
        let mut tried = Vec::new();
        while let Some(group) = next_group(&groups, &tried) {
            tried.push(group);
        }
        assert_eq!(tried, [GroupId(1), GroupId(2), GroupId(0)]);
    }

    #[test]
    fn only_calls_unknown_to_far_end_try_next_group() {
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
            let (outcome, _) = outcome_of(end);
            if may_try_next_group(end) {
                assert_eq!(outcome, Outcome::Full);
            }
            // A call that may have run must not be reported as one that never ran.
            let may_have_run = matches!(outcome, Outcome::Timeout | Outcome::Reset);
            assert_eq!(may_have_run, matches!(end, End::NoAnswer | End::Reset | End::Released(16)));
        }
        assert_eq!(outcome_of(End::Released(17)), (Outcome::Error, Note::NumberBusy));
        assert_eq!(outcome_of(End::Released(42)), (Outcome::Full, Note::ProcessorFull(0)));
    }

    #[test]
    fn load_report_excludes_blocked_circuits() {
        let report = far_end_report(&[(GroupId(0), usage(2)), (GroupId(1), usage(5))]);
        assert_eq!((report.free, report.circuits), (Some(7.0), Some(19.0)));
    }
}
