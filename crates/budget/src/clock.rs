//! Detection of process stalls and clock jumps, and a lower bound on the time that has elapsed.

use baydrift::interface::Micros;

/// Detects stalls and clock jumps between two readings of a process's clock. A process wakes often, so an
/// interval above `max_step` means that either the process stalled or its clock jumped; the two cannot be
/// told apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StallDetector {
    max_step: Micros,
    last_reading: Option<Micros>,
    elapsed: Micros,
}

impl StallDetector {
    /// Creates a detector that accepts intervals of at most `max_step` between readings.
    pub fn new(max_step: Micros) -> Self {
        Self { max_step, last_reading: None, elapsed: 0 }
    }

    /// Records the clock reading `now`. Returns `false` if the clock cannot be relied on since the previous
    /// reading: it went backwards, or forwards by more than `max_step`.
    pub fn observe(&mut self, now: Micros) -> bool {
        let step = self.last_reading.map(|last| now.checked_sub(last));
        self.last_reading = Some(now);
        match step {
            None => true,
            Some(Some(step)) if step <= self.max_step => {
                self.elapsed += step;
                true
            }
            // The real time may be shorter than the jump, so no more than `max_step` is counted.
            Some(Some(_)) => {
                self.elapsed += self.max_step;
                false
            }
            Some(None) => false,
        }
    }

    /// Time that has certainly elapsed since the first reading: never more than the clock shows, and less
    /// after a jump or a stall.
    pub fn elapsed(&self) -> Micros {
        self.elapsed
    }
}
