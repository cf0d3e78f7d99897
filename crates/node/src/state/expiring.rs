//! A queue with bounded length and age, which evicts its oldest entries first.

use std::collections::VecDeque;

use baydrift::interface::Micros;

/// Items with the time of their insertion, oldest first.
#[derive(Debug)]
pub(super) struct ExpiringQueue<T> {
    entries: VecDeque<(Micros, T)>,
    capacity: usize,
    ttl: Micros,
}

impl<T> ExpiringQueue<T> {
    /// Creates a queue from the maximum number of items and the time for which an item is kept.
    pub(super) fn new((capacity, ttl): (usize, Micros)) -> Self {
        Self { entries: VecDeque::new(), capacity, ttl }
    }

    fn expire(&mut self, now: Micros) {
        while self.entries.front().is_some_and(|(at, _)| now >= at + self.ttl) {
            self.entries.pop_front();
        }
    }

    /// Appends an item; evicts expired items and, beyond the capacity, the oldest ones.
    pub(super) fn push(&mut self, now: Micros, item: T) {
        self.expire(now);
        while self.entries.len() >= self.capacity {
            self.entries.pop_front();
        }
        self.entries.push_back((now, item));
    }

    /// Removes the items that were inserted before this time.
    pub(super) fn remove_before(&mut self, time: Micros) {
        while self.entries.front().is_some_and(|(at, _)| *at < time) {
            self.entries.pop_front();
        }
    }

    /// Whether an item matches. Expired items count until the next [`Self::push`] or [`Self::take_matching`].
    pub(super) fn any(&self, matches: impl Fn(&T) -> bool) -> bool {
        self.entries.iter().any(|(_, item)| matches(item))
    }

    /// Removes and returns all matching items, oldest first.
    pub(super) fn take_matching(&mut self, now: Micros, matches: impl Fn(&T) -> bool) -> Vec<T> {
        self.expire(now);
        let (taken, kept) =
            std::mem::take(&mut self.entries).into_iter().partition(|(_, item)| matches(item));
        self.entries = kept;
        let taken: VecDeque<(Micros, T)> = taken;
        taken.into_iter().map(|(_, item)| item).collect()
    }
}
