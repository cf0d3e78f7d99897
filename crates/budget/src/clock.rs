//! Time as one process may rely on it for what others do meanwhile.

use baydrift::interface::Micros;

/// Counts a clock's steps. A process wakes often; a longer step than `most` means that it stood still or that its clock
/// jumped, and nobody knows which.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Steps {
    most: Micros,
    last: Option<Micros>,
    sure: Micros,
}

impl Steps {
    /// Steps of at most so long are believed.
    pub fn new(most: Micros) -> Self {
        Self { most, last: None, sure: 0 }
    }

    /// The clock says `now`. `false` where it cannot be relied on since the last time: it went back, or further than a
    /// process that ran would let it.
    pub fn step(&mut self, now: Micros) -> bool {
        let step = self.last.map(|last| now.checked_sub(last));
        self.last = Some(now);
        match step {
            None => true,
            Some(Some(step)) if step <= self.most => {
                self.sure += step;
                true
            }
            // At least nothing says that more time than that has passed for others.
            Some(Some(_)) => {
                self.sure += self.most;
                false
            }
            Some(None) => false,
        }
    }

    /// Time that has passed for sure: never more than by the clock, and less after a jump or a standstill.
    pub fn sure(&self) -> Micros {
        self.sure
    }
}
