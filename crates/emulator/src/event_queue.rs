//! Priority queue of events in order of time; events at equal times keep their order of insertion.

use std::collections::BTreeMap;

use baydrift::interface::Micros;

/// Event queue of a simulation. Its clock is the time of the last event taken.
#[derive(Debug)]
pub struct EventQueue<E> {
    events: BTreeMap<(Micros, u64), E>,
    inserted: u64,
    now: Micros,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { events: BTreeMap::new(), inserted: 0, now: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event; one in the past is due now.
    pub fn schedule(&mut self, at: Micros, event: E) {
        self.inserted += 1;
        self.events.insert((at.max(self.now), self.inserted), event);
    }

    /// Takes the next event that is due by `until`. Without one, the clock advances to `until`.
    pub fn pop_until(&mut self, until: Micros) -> Option<E> {
        let first = self.events.first_entry().filter(|first| first.key().0 <= until);
        let Some(first) = first else {
            self.now = self.now.max(until);
            return None;
        };
        self.now = first.key().0;
        Some(first.remove())
    }

    /// Current time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Number of pending events.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Whether no event is pending.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}
