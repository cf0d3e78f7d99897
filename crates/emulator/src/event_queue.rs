//! Events in order of time, equal ones in the order of setting.

use std::collections::BTreeMap;

use baydrift::interface::Micros;

/// The queue; its clock is the time of the last event taken.
#[derive(Debug)]
pub struct EventQueue<E> {
    events: BTreeMap<(Micros, u64), E>,
    set: u64,
    now: Micros,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { events: BTreeMap::new(), set: 0, now: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Sets an event; one in the past happens now.
    pub fn schedule(&mut self, at: Micros, event: E) {
        self.set += 1;
        self.events.insert((at.max(self.now), self.set), event);
    }

    /// The next event up to a time. Without one the clock goes on to that time.
    pub fn pop_until(&mut self, until: Micros) -> Option<E> {
        let first = self.events.first_entry().filter(|first| first.key().0 <= until);
        let Some(first) = first else {
            self.now = self.now.max(until);
            return None;
        };
        self.now = first.key().0;
        Some(first.remove())
    }

    /// The clock.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Events that wait.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}
