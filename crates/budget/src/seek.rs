//! Whom to ask for units, when, and for how many.

use baydrift::interface::Micros;

use crate::escrow::Escrow;
use crate::share::Share;
use crate::word::Word;

/// How a front seeks units; by the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seeking {
    /// It asks at most once in such a time.
    pub every: Micros,
    /// So many fronts at once.
    pub at_once: usize,
}

impl Default for Seeking {
    /// For budgets of a second.
    fn default() -> Self {
        Self { every: 100_000, at_once: 3 }
    }
}

/// Windows. Lag of what a front wants in one.
const DEMAND_LAG: f64 = 2.0;
/// A loan is given back where the front wants so much less than what it would have without it. One want alone keeps a
/// unit for about a window and a half.
const SPARE: f64 = 0.25;

/// Units that serve so much demand in a window.
fn units(demand: f64) -> u32 {
    (demand - SPARE).max(0.0).ceil() as u32
}

/// One front's search for units of one budget.
#[derive(Debug, Clone)]
pub struct Seeker {
    seeking: Seeking,
    share: Share,
    /// Homes from here on and around are asked next.
    next: u32,
    next_at: Micros,
    /// Units wanted in a window, lagged, and as of when.
    demand: (f64, Micros),
    /// Units that were wanted and not there since it asked last.
    short: u16,
    /// When one was wanted and not there last.
    short_at: Option<Micros>,
}

impl Seeker {
    /// A search by front `me`; it begins with the homes after its own, so that not all ask the same.
    pub fn new(seeking: Seeking, share: Share, me: u32) -> Self {
        Self { seeking, share, next: me, next_at: 0, demand: (0.0, 0), short: 0, short_at: None }
    }

    /// A unit was wanted; whether one was there.
    pub fn wanted(&mut self, now: Micros, there: bool, escrow: &Escrow) {
        self.demand = (self.demand(now, escrow) + 1.0 / DEMAND_LAG, now);
        if !there {
            self.short = self.short.saturating_add(1);
            self.short_at = Some(now);
        }
    }

    /// So many units are wanted in a window, by whoever knows: instead of [`Seeker::wanted`].
    pub fn demands(&mut self, now: Micros, in_a_window: f64, escrow: &Escrow) {
        self.demand = (in_a_window.max(0.0), now);
        let lacks = units(in_a_window).saturating_sub(escrow.holdings().here());
        self.short = lacks.min(u32::from(u16::MAX)) as u16;
        if lacks > 0 {
            self.short_at = Some(now);
        }
    }

    fn demand(&self, now: Micros, escrow: &Escrow) -> f64 {
        let windows = now.saturating_sub(self.demand.1) as f64 / escrow.terms().window as f64;
        self.demand.0 * (-windows / DEMAND_LAG).exp()
    }

    /// How many of its own units this front keeps when others ask: all while it lacks some itself, else what it wants in a
    /// window. An idle front lends all that it has.
    pub fn reserve(&self, now: Micros, escrow: &Escrow) -> u32 {
        let lacks = self.short_at.is_some_and(|at| now.saturating_sub(at) < escrow.terms().window);
        if lacks {
            u32::MAX
        } else {
            units(self.demand(now, escrow))
        }
    }

    /// What to say now, and to whom; called at each of the process's wake-ups, which come more often than the longest
    /// step. `lives` is whether a front is believed to.
    pub fn words(
        &mut self,
        now: Micros,
        escrow: &mut Escrow,
        lives: impl Fn(u32) -> bool,
    ) -> Vec<(u32, Word)> {
        // Each time, whether anything is to be said: time that is not stepped through does not count as passed.
        escrow.advance(now);
        let mut words = Vec::new();
        if now < self.next_at {
            return words;
        }
        self.next_at = now.saturating_add(self.seeking.every);
        let demand = units(self.demand(now, escrow));
        let half = escrow.terms().lease / 2;
        let mut has = escrow.holdings().here();
        let loans: Vec<_> = escrow.loans().collect();
        for (loan, over, units) in loans {
            if has.saturating_sub(units) >= demand {
                has -= units;
                words.extend(escrow.give_back(now, loan));
            } else if over.saturating_sub(now) < half {
                words.extend(escrow.keep(now, loan));
            }
        }
        // Only what would have been there with more: a front does not gather units for a day that may come.
        let wanted =
            std::mem::take(&mut self.short).min(demand.saturating_sub(has).min(u32::from(u16::MAX)) as u16);
        if wanted > 0 {
            let at_once = self.seeking.at_once.min(usize::from(wanted));
            let each = wanted.div_ceil(at_once as u16);
            let homes: Vec<_> =
                self.share.homes_after(self.next).filter(|home| lives(*home)).take(at_once).collect();
            for home in homes {
                self.next = home;
                words.extend(escrow.ask(now, home, each).map(|word| (home, word)));
            }
        }
        words
    }
}
