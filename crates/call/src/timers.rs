//! Timer queue, ordered by due time and then by insertion, so that timers due at the same time fire in a
//! stable order.

use std::collections::{BTreeMap, BTreeSet};

use baydrift::interface::{CallId, Micros};

use crate::types::AttemptId;

/// The purpose of a timer. One that no longer applies may still fire: the handler checks it.
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

/// Due time and sequence number of a timer.
type TimerKey = (Micros, u64);

/// A timer, and the call that it belongs to.
#[derive(Debug, Clone, Copy)]
struct Entry {
    timer: Timer,
    call: Option<CallId>,
}

#[derive(Debug, Default)]
pub(crate) struct Timers {
    queue: BTreeMap<TimerKey, Entry>,
    /// The timers that are cancelled with their call.
    by_call: BTreeSet<(CallId, TimerKey)>,
    /// Sequence number of the next timer.
    sequence: u64,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Micros, timer: Timer) {
        self.insert(at, Entry { timer, call: None });
    }

    /// Sets a timer that [`Self::cancel`] removes.
    pub(crate) fn set_for_call(&mut self, at: Micros, timer: Timer, call: CallId) {
        self.by_call.insert((call, (at, self.sequence)));
        self.insert(at, Entry { timer, call: Some(call) });
    }

    fn insert(&mut self, at: Micros, entry: Entry) {
        self.queue.insert((at, self.sequence), entry);
        self.sequence += 1;
    }

    /// Removes the timers of a call. Guards against timers of ended calls that use up the memory: a caller may
    /// cancel its calls much faster than their timers fire.
    pub(crate) fn cancel(&mut self, call: CallId) {
        let all = (call, (Micros::MIN, u64::MIN))..=(call, (Micros::MAX, u64::MAX));
        let cancelled: Vec<_> = self.by_call.range(all).copied().collect();
        for entry in cancelled {
            self.by_call.remove(&entry);
            self.queue.remove(&entry.1);
        }
    }

    pub(crate) fn next(&self) -> Option<Micros> {
        self.queue.keys().next().map(|key| key.0)
    }

    /// Removes and returns the earliest timer that is due.
    pub(crate) fn due(&mut self, now: Micros) -> Option<Timer> {
        let first = self.queue.first_entry()?;
        if first.key().0 > now {
            return None;
        }
        let (key, Entry { timer, call }) = first.remove_entry();
        if let Some(call) = call {
            self.by_call.remove(&(call, key));
        }
        Some(timer)
    }

    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }
}
