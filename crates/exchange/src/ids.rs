//! Allocation of transaction ids, which wrap around and skip the reserved id 0 (RFC 3525, section 8.1).

/// Allocates ids that are not in use.
#[derive(Debug, Clone)]
pub struct IdAllocator(u32);

impl IdAllocator {
    /// Creates an allocator whose first candidate is the id after `last`.
    pub fn after(last: u32) -> Self {
        Self(last)
    }

    /// The next id for which `used` is false. Loops forever unless at least one id other than 0 is free.
    pub fn next(&mut self, used: impl Fn(u32) -> bool) -> u32 {
        loop {
            self.0 = self.0.wrapping_add(1);
            if self.0 != 0 && !used(self.0) {
                return self.0;
            }
        }
    }
}
