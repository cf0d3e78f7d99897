//! When each number was first dialled, bounded in number and age; the oldest entries are evicted first.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::Micros;

/// The first time at which each recently dialled number was dialled.
#[derive(Debug)]
pub struct FirstDialled {
    first_at: BTreeMap<u64, Micros>,
    /// The entries by age, among them some that were removed since.
    order: VecDeque<(Micros, u64)>,
    ttl: Micros,
    capacity: usize,
}

impl FirstDialled {
    /// Creates an empty table that keeps each number for `ttl`, and at most `capacity` of them.
    pub fn new(ttl: Micros, capacity: usize) -> Self {
        Self { first_at: BTreeMap::new(), order: VecDeque::new(), ttl, capacity }
    }

    /// Returns when the number was first dialled, which is now if it is not in the table.
    pub fn get_or_insert(&mut self, now: Micros, number: u64) -> Micros {
        if let Some(at) = self.first_at.get(&number) {
            return *at;
        }
        while self.order.len() >= self.capacity {
            self.remove_oldest();
        }
        self.first_at.insert(number, now);
        self.order.push_back((now, number));
        now
    }

    /// Removes a number: its next call counts as the first.
    pub fn remove(&mut self, number: u64) {
        self.first_at.remove(&number);
    }

    /// Removes the numbers whose time is over.
    pub fn expire(&mut self, now: Micros) {
        while self.order.front().is_some_and(|(at, _)| now >= at.saturating_add(self.ttl)) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((at, number)) = self.order.pop_front() else { return };
        if self.first_at.get(&number) == Some(&at) {
            self.first_at.remove(&number);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against memory that grows with the rate of calls to ever new numbers.
    #[test]
    fn table_is_bounded_and_evicts_the_oldest_number() {
        let mut table = FirstDialled::new(9_000_000, 100);
        for number in 0..10_000 {
            assert_eq!(table.get_or_insert(number, number), number);
        }
        assert_eq!((table.first_at.len(), table.order.len()), (100, 100));
        assert_eq!(table.get_or_insert(20_000, 9_900), 9_900, "the latest hundred are kept");
        assert_eq!(table.get_or_insert(20_000, 9_899), 20_000);
    }

    #[test]
    fn removed_and_expired_numbers_count_as_new() {
        let mut table = FirstDialled::new(9_000_000, 100);
        table.get_or_insert(1, 7);
        table.remove(7);
        assert_eq!(table.get_or_insert(5, 7), 5);
        table.expire(9_000_002);
        assert_eq!(
            table.get_or_insert(9_000_002, 7),
            5,
            "the expiry of the removed entry leaves the new one"
        );
        table.expire(9_000_005);
        assert_eq!(table.get_or_insert(9_000_006, 7), 9_000_006);
    }
}
