//! One front's hand in a budget.

use std::collections::BTreeMap;

use baydrift::interface::Micros;

use crate::clock::Steps;
use crate::share::Share;
use crate::word::{Ask, BudgetId, Word};

/// What all fronts agree on; by the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Terms {
    /// A unit is spent once in such a time.
    pub window: Micros,
    /// A loan lasts so long by the borrower's clock, from when it asked.
    pub lease: Micros,
    /// Longer steps of a clock are standstills or jumps.
    pub step_most: Micros,
    /// Clocks run apart by at most so many millionths.
    pub drift_ppm: u32,
}

impl Default for Terms {
    /// A rate a second, on the system's monotonic clock of a process that wakes every 50 ms.
    fn default() -> Self {
        Self { window: 1_000_000, lease: 4_000_000, step_most: 100_000, drift_ppm: 200 }
    }
}

/// Why terms are turned down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TermsError {
    /// A time of nothing.
    #[error("the budgets' window, lease and longest step must be above 0")]
    Zero,
    /// A unit would be back from a loan before it could be spent.
    #[error("a lease of {lease} us is shorter than a step of {step} us, so that none would outlast a wait")]
    Short {
        /// The lease.
        lease: Micros,
        /// The longest step.
        step: Micros,
    },
    /// No clock is that bad.
    #[error("a drift of {0} millionths is more than 100,000")]
    Drift(u32),
}

impl Terms {
    /// Checks them.
    ///
    /// # Errors
    /// What is wrong first.
    pub fn check(&self) -> Result<(), TermsError> {
        if self.window == 0 || self.lease == 0 || self.step_most == 0 {
            return Err(TermsError::Zero);
        }
        if self.lease <= self.step_most {
            return Err(TermsError::Short { lease: self.lease, step: self.step_most });
        }
        if self.drift_ppm > 100_000 {
            return Err(TermsError::Drift(self.drift_ppm));
        }
        Ok(())
    }

    fn drifted(&self, span: Micros, times: u64) -> Micros {
        span + (span * u64::from(self.drift_ppm) * times).div_ceil(1_000_000)
    }

    /// A unit that was spent is free after this by a clock that runs ahead.
    fn spent_for(&self) -> Micros {
        self.drifted(self.window, 1)
    }

    /// A loan is over after this by the lender's clock. Guards against a borrower whose clock runs behind while the
    /// lender's runs ahead, or jumps by what no step shows.
    fn lent_for(&self) -> Micros {
        self.drifted(self.lease, 3) + self.step_most
    }
}

/// Units that another front has.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Lent {
    units: u16,
    /// By [`Steps::sure`].
    over: Micros,
}

/// Units of another front.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Borrowed {
    from: u32,
    /// By the clock itself.
    over: Micros,
    /// When each is free, by [`Steps::sure`].
    units: Vec<Micros>,
}

/// An ask without an answer yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Pending {
    to: u32,
    at: Micros,
    keeps: Option<u32>,
}

/// What a front has of a budget now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Holdings {
    /// Own units that can be spent now.
    pub free: u32,
    /// Own units that were spent within the window.
    pub spent: u32,
    /// Own units that the process before may have spent or lent.
    pub barred: u32,
    /// Own units at other fronts.
    pub lent: u32,
    /// Others' units here that can be spent now.
    pub borrowed_free: u32,
    /// Others' units here, spent within the window.
    pub borrowed_spent: u32,
}

impl Holdings {
    /// Units that this front can spend once in each window as things are.
    pub fn here(&self) -> u32 {
        self.free + self.spent + self.borrowed_free + self.borrowed_spent
    }
}

/// How many of these units, soonest free first, are free by then.
fn free_of(units: &[Micros], sure: Micros) -> u32 {
    units.partition_point(|free| *free <= sure) as u32
}

/// One front's hand in a budget; see the crate's page for what it promises.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Escrow {
    terms: Terms,
    budget: BudgetId,
    me: u32,
    incarnation: u64,
    steps: Steps,
    own: Vec<Micros>,
    /// Own units that may be at others at once at most: a process that starts anew knows that the rest is here.
    lendable: usize,
    lent: BTreeMap<Ask, Lent>,
    /// The last ask of each front that was granted: a copy of it gets the same answer, or none.
    granted: BTreeMap<u32, Ask>,
    borrowed: BTreeMap<u32, Borrowed>,
    pending: BTreeMap<u32, Pending>,
    next: u32,
}

/// A home keeps one of so many of its units, whoever asks.
const KEPT: usize = 4;
/// Asks without an answer at most; more are not made.
const PENDING_MAX: usize = 16;
/// Loans held at once at most.
const BORROWED_MAX: usize = 64;

impl Escrow {
    /// The hand of front `me` at `now`. `since_before`: this process ran before the budget began, so that none before it
    /// can have spent or lent of its units. Otherwise nothing is spent until all that it may have lent is over: what may
    /// be spent before anybody is heard is this front's own share or nothing.
    pub fn new(
        terms: Terms,
        budget: BudgetId,
        share: Share,
        me: u32,
        incarnation: u64,
        now: Micros,
        since_before: bool,
    ) -> Self {
        let mut steps = Steps::new(terms.step_most);
        steps.step(now);
        let all = share.of(me) as usize;
        let mut own = vec![0; all];
        if !since_before {
            // The process before spent those that it never lends a moment ago at the latest, and lent the rest.
            own.fill(terms.lent_for() + terms.spent_for());
            own[..all / KEPT].fill(terms.spent_for());
        }
        Self {
            terms,
            budget,
            me,
            incarnation,
            steps,
            own,
            lendable: all - all / KEPT,
            lent: BTreeMap::new(),
            granted: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            pending: BTreeMap::new(),
            next: 0,
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Micros) {
        if !self.steps.step(now) {
            // Guards against a front that stood still past the end of what it borrowed, or whose clock went back before
            // it: how long others have waited it cannot know.
            self.borrowed.clear();
            self.pending.clear();
        }
        self.borrowed.retain(|_, loan| now < loan.over);
        self.pending.retain(|_, ask| now < ask.at.saturating_add(self.terms.lease));
        let sure = self.steps.sure();
        let over: Vec<_> =
            self.lent.iter().filter(|(_, loan)| loan.over <= sure).map(|(ask, _)| *ask).collect();
        for ask in over {
            // Whoever had it may have spent it a moment ago.
            self.reclaim(&ask, self.terms.spent_for());
        }
    }

    /// Spends one unit, if there is one to spend: a borrowed one first, of the loan that ends first.
    pub fn spend(&mut self, now: Micros) -> bool {
        self.advance(now);
        let (sure, free_at) = (self.steps.sure(), self.steps.sure() + self.terms.spent_for());
        let loans =
            self.borrowed.values_mut().filter(|loan| loan.units.first().is_some_and(|free| *free <= sure));
        let units = loans.min_by_key(|loan| loan.over).map_or(&mut self.own, |loan| &mut loan.units);
        if units.first().is_none_or(|free| *free > sure) {
            return false;
        }
        units.remove(0);
        // In order: those that are barred after a start are so for longer.
        units.insert(units.partition_point(|free| *free <= free_at), free_at);
        true
    }

    /// Asks another front; what to send it, unless too many asks are unanswered.
    pub fn ask(&mut self, now: Micros, to: u32, wanted: u16) -> Option<Word> {
        self.advance(now);
        let full = self.pending.len() + self.borrowed.len() >= BORROWED_MAX;
        if full || self.pending.len() >= PENDING_MAX || to == self.me || wanted == 0 {
            return None;
        }
        let ask = self.asked(now, to, None);
        Some(Word::Ask { budget: self.budget, ask, wanted })
    }

    /// Asks that a loan lasts longer.
    pub fn keep(&mut self, now: Micros, loan: u32) -> Option<(u32, Word)> {
        self.advance(now);
        let to = self.borrowed.get(&loan)?.from;
        let asked = self.pending.values().any(|ask| ask.keeps == Some(loan));
        if asked || self.pending.len() >= PENDING_MAX {
            return None;
        }
        let ask = self.asked(now, to, Some(loan));
        Some((to, Word::Keep { budget: self.budget, ask, loan }))
    }

    /// Gives a loan back: from now on it is not here.
    pub fn give_back(&mut self, now: Micros, loan: u32) -> Option<(u32, Word)> {
        self.advance(now);
        let Borrowed { from, units, .. } = self.borrowed.remove(&loan)?;
        let ask = Ask { front: self.me, incarnation: self.incarnation, number: loan };
        let busy = units.last().map_or(0, |free| free.saturating_sub(self.steps.sure()));
        Some((from, Word::Back { budget: self.budget, ask, busy }))
    }

    fn asked(&mut self, now: Micros, to: u32, keeps: Option<u32>) -> Ask {
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        self.pending.insert(number, Pending { to, at: now, keeps });
        Ask { front: self.me, incarnation: self.incarnation, number }
    }

    /// Takes a word of front `from`, known by the address that it came from; what to answer. `reserve`: so many of its own
    /// units this front wants to keep. Words of another budget, or in another's name, change nothing.
    pub fn hear(&mut self, now: Micros, from: u32, word: &Word, reserve: u32) -> Option<Word> {
        self.advance(now);
        if word.budget() != self.budget || from == self.me {
            return None;
        }
        match *word {
            Word::Ask { ask, wanted, .. } if ask.front == from => self.lend(ask, wanted, reserve),
            Word::Keep { ask, loan, .. } if ask.front == from => self.prolong(ask, loan, reserve),
            Word::Back { ask, busy, .. } if ask.front == from => {
                // The word has been on its way since it was true: waiting all of it is enough.
                self.reclaim(&ask, self.terms.drifted(busy.min(self.terms.spent_for()), 2));
                None
            }
            Word::Grant { ask, units, .. } if ask.front == self.me && ask.incarnation == self.incarnation => {
                self.granted(now, from, ask.number, units);
                None
            }
            _ => None,
        }
    }

    fn lend(&mut self, ask: Ask, wanted: u16, reserve: u32) -> Option<Word> {
        let budget = self.budget;
        if self.granted.get(&ask.front) == Some(&ask) {
            // A copy: the same answer while the loan stands, none once it was given back or is over.
            return self.lent.get(&ask).map(|loan| Word::Grant { budget, ask, units: loan.units });
        }
        // Lent already under a name that only a copy can have: one loan has one life.
        if self.lent.contains_key(&ask) {
            return None;
        }
        let lent: usize = self.lent.values().map(|loan| usize::from(loan.units)).sum();
        let lendable = self.lendable.saturating_sub(lent) as u32;
        let units = self.own_free().saturating_sub(reserve).min(lendable).min(u32::from(wanted)) as u16;
        if units == 0 {
            return None;
        }
        self.own.drain(..usize::from(units));
        let over = self.steps.sure() + self.terms.lent_for();
        self.lent.insert(ask, Lent { units, over });
        self.granted.insert(ask.front, ask);
        Some(Word::Grant { budget, ask, units })
    }

    fn prolong(&mut self, ask: Ask, number: u32, reserve: u32) -> Option<Word> {
        if self.own_free() < reserve {
            return None;
        }
        let over = self.steps.sure() + self.terms.lent_for();
        let loan = self.lent.get_mut(&Ask { number, ..ask })?;
        loan.over = loan.over.max(over);
        Some(Word::Grant { budget: self.budget, ask, units: loan.units })
    }

    /// Own units that can be spent now.
    fn own_free(&self) -> u32 {
        free_of(&self.own, self.steps.sure())
    }

    /// A loan is back, or over; its units can be spent again after `busy`.
    fn reclaim(&mut self, ask: &Ask, busy: Micros) {
        let Some(loan) = self.lent.remove(ask) else { return };
        let free_at = self.steps.sure() + busy;
        self.own.extend(std::iter::repeat_n(free_at, usize::from(loan.units)));
        self.own.sort_unstable();
    }

    fn granted(&mut self, now: Micros, from: u32, number: u32, units: u16) {
        if self.pending.get(&number).is_none_or(|ask| ask.to != from) {
            return;
        }
        let Some(ask) = self.pending.remove(&number) else { return };
        // From when it was asked: the lender counts from later.
        let over = ask.at.saturating_add(self.terms.lease);
        if over <= now {
            return;
        }
        match ask.keeps {
            Some(loan) => {
                if let Some(loan) = self.borrowed.get_mut(&loan) {
                    loan.over = loan.over.max(over);
                }
            }
            None => {
                let units = vec![self.steps.sure(); usize::from(units)];
                self.borrowed.insert(number, Borrowed { from, over, units });
            }
        }
    }

    /// What it has now.
    pub fn holdings(&self) -> Holdings {
        let sure = self.steps.sure();
        let own = self.own_free();
        let soon = sure + self.terms.spent_for();
        let barred = self.own.iter().filter(|free| **free > soon).count() as u32;
        let (mut here, mut here_free) = (0, 0);
        for loan in self.borrowed.values() {
            here += loan.units.len() as u32;
            here_free += free_of(&loan.units, sure);
        }
        Holdings {
            free: own,
            spent: self.own.len() as u32 - own - barred,
            barred,
            lent: self.lent.values().map(|loan| u32::from(loan.units)).sum(),
            borrowed_free: here_free,
            borrowed_spent: here - here_free,
        }
    }

    /// Its loans from others: which, until when, and of how many units.
    pub fn loans(&self) -> impl Iterator<Item = (u32, Micros, u32)> + '_ {
        self.borrowed.iter().map(|(number, loan)| (*number, loan.over, loan.units.len() as u32))
    }

    /// The terms.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }
}
