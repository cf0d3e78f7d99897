//! Timer queue, ordered by due time and then by insertion, so that timers due at the same time fire in a
//! stable order.

use std::collections::BTreeMap;

use baydrift::interface::{CallId, Micros};

use crate::types::AttemptId;

/// The purpose of a timer. Timers are not cancelled: the handler checks whether one still applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Timer {
    /// A timer of the policy, with its token.
    Policy(u64),
    /// An attempt times out.
    Attempt(AttemptId),
    /// A call's answer is due.
    Deadline(CallId),
    /// A deferred call starts: no previous process can have it in flight any more.
    Deferred(CallId),
    /// A release times out.
    Release(AttemptId),
    /// The owner of an established call may have been absent for too long.
    ClientAbsent(CallId),
    /// Membership messages are due.
    Membership,
    /// The next batch of detached attempts may be released.
    Detached,
    /// The first server list is overdue.
    FirstList,
    /// Shared budgets are updated.
    Budgets,
}

#[derive(Debug, Default)]
pub(crate) struct Timers {
    queue: BTreeMap<(Micros, u64), Timer>,
    /// Sequence number of the next timer.
    sequence: u64,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Micros, timer: Timer) {
        self.queue.insert((at, self.sequence), timer);
        self.sequence += 1;
    }

    pub(crate) fn next(&self) -> Option<Micros> {
        self.queue.keys().next().map(|key| key.0)
    }

    /// Removes and returns the earliest timer that is due.
    pub(crate) fn due(&mut self, now: Micros) -> Option<Timer> {
        let first = self.queue.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }

    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }
}
