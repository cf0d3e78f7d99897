//! Transaction ids of one end: they wrap, and 0 is none (RFC 3525, section 8.1).

/// Hands out ids that are not in use.
#[derive(Debug, Clone)]
pub struct Ids(u32);

impl Ids {
    /// Starts after this id.
    pub fn after(last: u32) -> Self {
        Self(last)
    }

    /// The next id that `used` does not know. Fewer than 2^32 - 1 may be in use.
    pub fn next(&mut self, used: impl Fn(u32) -> bool) -> u32 {
        loop {
            self.0 = self.0.wrapping_add(1);
            if self.0 != 0 && !used(self.0) {
                return self.0;
            }
        }
    }
}
