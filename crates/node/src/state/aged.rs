//! What is remembered for a time and up to a number; the oldest go first.

use std::collections::VecDeque;

use baydrift::interface::Micros;

/// Things with the time at which they were put here, oldest first.
#[derive(Debug)]
pub(super) struct Aged<T> {
    held: VecDeque<(Micros, T)>,
    most: usize,
    keep: Micros,
}

impl<T> Aged<T> {
    /// At most so many, for so long.
    pub(super) fn new((most, keep): (usize, Micros)) -> Self {
        Self { held: VecDeque::new(), most, keep }
    }

    fn expire(&mut self, now: Micros) {
        while self.held.front().is_some_and(|(at, _)| now >= at + self.keep) {
            self.held.pop_front();
        }
    }

    /// Remembers one more.
    pub(super) fn put(&mut self, now: Micros, what: T) {
        self.expire(now);
        while self.held.len() >= self.most {
            self.held.pop_front();
        }
        self.held.push_back((now, what));
    }

    /// Whether one of them is such.
    pub(super) fn any(&self, fits: impl Fn(&T) -> bool) -> bool {
        self.held.iter().any(|(_, what)| fits(what))
    }

    /// Takes out all that are such, oldest first.
    pub(super) fn take(&mut self, now: Micros, fits: impl Fn(&T) -> bool) -> Vec<T> {
        self.expire(now);
        let (taken, left) = std::mem::take(&mut self.held).into_iter().partition(|(_, what)| fits(what));
        self.held = left;
        let taken: VecDeque<(Micros, T)> = taken;
        taken.into_iter().map(|(_, what)| what).collect()
    }
}
