//! Static assignment of a budget's units to owning fronts.

use crate::message::BudgetId;

/// How a budget's units are divided among all configured fronts, whether alive or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Share {
    units: u32,
    fronts: u32,
    first_front: u32,
}

impl Share {
    /// Divides `units` among `fronts` configured fronts. The front that owns the first unit is derived from
    /// the budget's id, so that the units of many small budgets are not all owned by the same fronts.
    pub fn new(budget: BudgetId, units: u32, fronts: u32) -> Self {
        let fronts = fronts.max(1);
        let mixed = (budget.0 ^ (budget.0 >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Self { units, fronts, first_front: ((mixed >> 32) % u64::from(fronts)) as u32 }
    }

    /// Number of units that `front` owns. The sum over all fronts is the whole budget.
    pub fn of(&self, front: u32) -> u32 {
        if front >= self.fronts {
            return 0;
        }
        let (units, fronts) = (u64::from(self.units), u64::from(self.fronts));
        let position = u64::from((front + self.fronts - self.first_front) % self.fronts);
        // Even distribution: the units up to and including this position, less those before it.
        ((position + 1) * units / fronts - position * units / fronts) as u32
    }

    /// Number of units of the whole budget.
    pub fn units(&self) -> u32 {
        self.units
    }

    /// The other fronts that own units, in cyclic order starting after `front`.
    pub fn owners_after(&self, front: u32) -> impl Iterator<Item = u32> + '_ {
        let fronts = self.fronts;
        let others = (1..fronts).map(move |step| (front % fronts + step) % fronts);
        others.filter(|other| self.of(*other) > 0)
    }
}
