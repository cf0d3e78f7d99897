//! Borrowing policy: which fronts to ask for units, when, and for how many.

use baydrift::interface::Micros;

use crate::escrow::Escrow;
use crate::message::BudgetMessage;
use crate::share::Share;

/// Configuration of the borrowing policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BorrowerConfig {
    /// Minimum interval between two rounds of requests.
    pub interval: Micros,
    /// Maximum number of fronts asked in one round.
    pub fan_out: usize,
}

impl Default for BorrowerConfig {
    /// Suits budgets with a window of one second.
    fn default() -> Self {
        Self { interval: 100_000, fan_out: 3 }
    }
}

/// Time constant of the exponential average of demand, in windows.
const DEMAND_TIME_CONSTANT_WINDOWS: f64 = 2.0;
/// Units of demand below which a unit is not worth holding, so that a loan is returned. A single request for
/// a unit keeps that unit for about a window and a half.
const DEMAND_HYSTERESIS_UNITS: f64 = 0.25;

/// Units needed to serve a demand given in units per window.
fn units_for(demand: f64) -> u32 {
    (demand - DEMAND_HYSTERESIS_UNITS).max(0.0).ceil() as u32
}

/// One front's borrowing state for one budget.
#[derive(Debug, Clone)]
pub struct Borrower {
    config: BorrowerConfig,
    share: Share,
    /// The next round of requests starts with the owner after this front.
    cursor: u32,
    next_round_at: Micros,
    /// Smoothed demand in units per window, and the time at which it was computed.
    demand: (f64, Micros),
    /// Units that were wanted and not available since the last round of requests.
    shortage: u16,
    /// When a unit was last wanted and not available.
    shortage_at: Option<Micros>,
}

impl Borrower {
    /// Creates the borrower of front `own`. It starts with the owners after its own ordinal, so that not all
    /// fronts ask the same ones.
    pub fn new(config: BorrowerConfig, share: Share, own: u32) -> Self {
        Self {
            config,
            share,
            cursor: own,
            next_round_at: 0,
            demand: (0.0, 0),
            shortage: 0,
            shortage_at: None,
        }
    }

    /// Records that a unit was wanted, and whether one was available.
    pub fn record_demand(&mut self, now: Micros, available: bool, escrow: &Escrow) {
        self.demand = (self.demand(now, escrow) + 1.0 / DEMAND_TIME_CONSTANT_WINDOWS, now);
        if !available {
            self.shortage = self.shortage.saturating_add(1);
            self.shortage_at = Some(now);
        }
    }

    /// Sets the demand directly, in units per window, for callers that know it; replaces
    /// [`Borrower::record_demand`].
    pub fn set_demand(&mut self, now: Micros, units_per_window: f64, escrow: &Escrow) {
        self.demand = (units_per_window.max(0.0), now);
        let missing = units_for(units_per_window).saturating_sub(escrow.holdings().spendable());
        self.shortage = missing.min(u32::from(u16::MAX)) as u16;
        if missing > 0 {
            self.shortage_at = Some(now);
        }
    }

    fn demand(&self, now: Micros, escrow: &Escrow) -> f64 {
        let windows = now.saturating_sub(self.demand.1) as f64 / escrow.config().window as f64;
        self.demand.0 * (-windows / DEMAND_TIME_CONSTANT_WINDOWS).exp()
    }

    /// Number of own units that this front does not lend: all of them if it was short of units within the
    /// last window, otherwise its demand per window. An idle front lends everything it can.
    pub fn reserve(&self, now: Micros, escrow: &Escrow) -> u32 {
        let short = self.shortage_at.is_some_and(|at| now.saturating_sub(at) < escrow.config().window);
        if short {
            u32::MAX
        } else {
            units_for(self.demand(now, escrow))
        }
    }

    /// Returns the messages to send now, each with the ordinal of its recipient. Must be called at every
    /// wake-up of the process, more often than the maximum clock step. `is_alive` tells whether a front is
    /// believed to be alive.
    pub fn poll(
        &mut self,
        now: Micros,
        escrow: &mut Escrow,
        is_alive: impl Fn(u32) -> bool,
    ) -> Vec<(u32, BudgetMessage)> {
        // Needed at every call, even if nothing is sent: an interval above the maximum step does not count as
        // elapsed.
        escrow.advance(now);
        let mut messages = Vec::new();
        if now < self.next_round_at {
            return messages;
        }
        self.next_round_at = now.saturating_add(self.config.interval);
        let demand = units_for(self.demand(now, escrow));
        let half_lease = escrow.config().lease / 2;
        let mut spendable = escrow.holdings().spendable();
        let loans: Vec<_> = escrow.loans().collect();
        for (loan, expires_at, units) in loans {
            if spendable.saturating_sub(units) >= demand {
                spendable -= units;
                messages.extend(escrow.return_loan(now, loan));
            } else if expires_at.saturating_sub(now) < half_lease {
                messages.extend(escrow.renew(now, loan));
            }
        }
        // Requests only cover a shortage that occurred: a front does not accumulate units for future demand.
        let wanted = std::mem::take(&mut self.shortage)
            .min(demand.saturating_sub(spendable).min(u32::from(u16::MAX)) as u16);
        if wanted > 0 {
            let fan_out = self.config.fan_out.min(usize::from(wanted));
            let each = wanted.div_ceil(fan_out as u16);
            let owners: Vec<_> =
                self.share.owners_after(self.cursor).filter(|owner| is_alive(*owner)).take(fan_out).collect();
            for owner in owners {
                self.cursor = owner;
                messages.extend(escrow.request(now, owner, each).map(|message| (owner, message)));
            }
        }
        messages
    }
}
