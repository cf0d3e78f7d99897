//! Which front is a unit's home.

use crate::word::BudgetId;

/// How a budget's units are shared out among all fronts that the settings name, alive or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Share {
    units: u32,
    fronts: u32,
    first: u32,
}

impl Share {
    /// A budget's units, all fronts of the settings. Where the first unit lies follows from the budget's name, so that of
    /// many small budgets not all lie at the same fronts.
    pub fn new(budget: BudgetId, units: u32, fronts: u32) -> Self {
        let fronts = fronts.max(1);
        let mixed = (budget.0 ^ (budget.0 >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Self { units, fronts, first: ((mixed >> 32) % u64::from(fronts)) as u32 }
    }

    /// How many units are at home at a front. Over all fronts they come to all units.
    pub fn of(&self, front: u32) -> u32 {
        if front >= self.fronts {
            return 0;
        }
        let (units, fronts) = (u64::from(self.units), u64::from(self.fronts));
        let place = u64::from((front + self.fronts - self.first) % self.fronts);
        // Evenly spread: the units up to this place, less those up to the one before.
        ((place + 1) * units / fronts - place * units / fronts) as u32
    }

    /// All units.
    pub fn units(&self) -> u32 {
        self.units
    }

    /// The fronts that are home to any, from the one after `front` on and around.
    pub fn homes_after(&self, front: u32) -> impl Iterator<Item = u32> + '_ {
        let fronts = self.fronts;
        let others = (1..fronts).map(move |step| (front % fronts + step) % fronts);
        others.filter(|other| self.of(*other) > 0)
    }
}
