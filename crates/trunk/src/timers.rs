//! Timers, named as in Q.764, annex A.

use std::collections::BTreeSet;

use baydrift::interface::Micros;

use crate::types::Cic;

const SECOND: Micros = 1_000_000;

/// Timer values in microseconds; the defaults are the minimum values of Q.764, annex A.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TimerSettings {
    /// REL unanswered: repeat it.
    pub t1: Micros,
    /// REL still unanswered: reset the circuit.
    pub t5: Micros,
    /// Maximum wait for ACM or ANM after an IAM.
    pub t7: Micros,
    /// Maximum wait for ANM after an ACM (Q.118).
    pub t9: Micros,
    /// BLO (T12), UBL (T14), CGB (T18) or CGU (T20) unanswered: repeat it.
    pub t12: Micros,
    /// Blocking or unblocking still unanswered (T13, T15, T19, T21): report it, and repeat it at this
    /// interval.
    pub t13: Micros,
    /// RSC (T16) or GRS (T22) unanswered: repeat it.
    pub t16: Micros,
    /// RSC or GRS still unanswered (T17, T23): report it, and repeat it at this interval.
    pub t17: Micros,
    /// Maximum wait for the answer to a CQM (T28).
    pub t28: Micros,
}

impl Default for TimerSettings {
    fn default() -> Self {
        Self {
            t1: 15 * SECOND,
            t5: 300 * SECOND,
            t7: 20 * SECOND,
            t9: 90 * SECOND,
            t12: 15 * SECOND,
            t13: 300 * SECOND,
            t16: 15 * SECOND,
            t17: 300 * SECOND,
            t28: 10 * SECOND,
        }
    }
}

/// Kind of a circuit's timer. A circuit has at most one timer of each kind; its state tells which Q.764 timer
/// runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum TimerKind {
    /// T1, T5, T7, T9, T16, T17, T22, T23.
    State,
    /// T12 to T15, T18 to T21.
    Blocking,
}

/// Expiry times of all circuit timers, earliest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct TimerQueue {
    due: BTreeSet<(Micros, usize, Cic, TimerKind)>,
}

impl TimerQueue {
    pub(crate) fn set(&mut self, old: &mut Micros, at: Micros, group: usize, cic: Cic, what: TimerKind) {
        if *old != Micros::MAX {
            self.due.remove(&(*old, group, cic, what));
        }
        *old = at;
        if at != Micros::MAX {
            self.due.insert((at, group, cic, what));
        }
    }

    pub(crate) fn next(&self) -> Option<Micros> {
        self.due.first().map(|due| due.0)
    }

    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<(usize, Cic, TimerKind)> {
        let (at, group, cic, what) = *self.due.first()?;
        (at <= now).then(|| {
            self.due.pop_first();
            (group, cic, what)
        })
    }
}
