//! How many connections a signalling server is worth to this front node. Decides only; dials are `servers`'.
//!
//! Spread is good for one front node: an answer that cannot be read, or a reset, spoils what is open on one connection
//! only. It is bad for a fleet: what each keeps to spare adds up, and a signalling server holds few connections. So the
//! fleet's size bounds it from the start, and a server's own refusals bound it further.

use baydrift::interface::Micros;

/// Connections to one server at the most: beyond it a further one spares next to nothing.
pub(super) const MOST: usize = 16;
/// Connections that all front nodes together keep to one server as long as it refuses none. How many a server holds is
/// told nowhere; a small fleet's days want spread and never met a refusal at this number.
const OF_FLEET: usize = 64;
/// After a refusal one more is tried no sooner.
const RAISED_AFTER: Micros = 10_000_000;

/// One server's allowance.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spread {
    /// By the fleet's size.
    most: usize,
    /// By the server's refusals, and since when.
    held: Option<(usize, Micros)>,
}

impl Spread {
    /// For one of so many front nodes.
    pub(super) fn of_fleet(fronts: u32) -> Self {
        let fronts = usize::try_from(fronts).unwrap_or(usize::MAX).max(1);
        Self { most: (OF_FLEET / fronts).clamp(1, MOST), held: None }
    }

    /// A further connection was not taken while `up` others were: the server is full.
    pub(super) fn refused(&mut self, now: Micros, up: usize) {
        self.held = Some((up.max(1), now));
    }

    /// Connections at the most now.
    pub(super) fn most(&self, now: Micros) -> usize {
        let Some((held, since)) = self.held else { return self.most };
        let raised = now.saturating_sub(since) / RAISED_AFTER;
        held.saturating_add(usize::try_from(raised).unwrap_or(usize::MAX)).min(self.most)
    }

    /// Connections that are wanted with so many set-ups open or waiting: one to spare, where that is within bounds,
    /// since one may break while the other serves.
    pub(super) fn wanted(&self, now: Micros, busy: usize, share: usize) -> usize {
        let most = self.most(now).min(share).max(1);
        (busy + 1).clamp(most.min(2), most)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_small_fleet_spreads_and_a_large_one_keeps_one_each() {
        let few = Spread::of_fleet(4);
        assert_eq!((few.wanted(0, 0, MOST), few.wanted(0, 5, MOST), few.wanted(0, 99, MOST)), (2, 6, 16));
        let many = Spread::of_fleet(300);
        assert_eq!((many.wanted(0, 0, MOST), many.wanted(0, 99, MOST)), (1, 1));
        // A share of the descriptors below that bounds it as well.
        assert_eq!(few.wanted(0, 99, 3), 3);
        assert_eq!(Spread::of_fleet(0).most(0), MOST);
    }

    #[test]
    fn refusals_lower_what_is_kept_and_time_raises_it_by_one_each() {
        let mut spread = Spread::of_fleet(4);
        spread.refused(1_000_000, 3);
        assert_eq!(spread.most(1_000_000), 3);
        assert_eq!(spread.most(1_000_000 + RAISED_AFTER), 4);
        assert_eq!(spread.most(1_000_000 + 100 * RAISED_AFTER), MOST);
        // None was up: one is tried for ever.
        spread.refused(2_000_000, 0);
        assert_eq!(spread.wanted(2_000_000, 9, MOST), 1);
    }
}
