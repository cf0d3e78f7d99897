//! One front's account in a shared budget: own, lent and borrowed units.

use std::collections::BTreeMap;

use baydrift::interface::Micros;

use crate::clock::StallDetector;
use crate::message::{BudgetId, BudgetMessage, RequestId};
use crate::share::Share;

/// Parameters that must be the same at all fronts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EscrowConfig {
    /// Each unit may be spent once in this time.
    pub window: Micros,
    /// Duration of a loan on the borrower's clock, counted from its request.
    pub lease: Micros,
    /// A longer interval between two clock readings is treated as a stall or a clock jump.
    pub max_step: Micros,
    /// Maximum drift between two clocks, in parts per million.
    pub drift_ppm: u32,
}

impl Default for EscrowConfig {
    /// Units per second, on the system's monotonic clock, for a process that wakes every 50 ms.
    fn default() -> Self {
        Self { window: 1_000_000, lease: 4_000_000, max_step: 100_000, drift_ppm: 200 }
    }
}

/// Why a configuration is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EscrowConfigError {
    /// A duration is zero.
    #[error("the budgets' window, lease and longest step must be above 0")]
    ZeroDuration,
    /// A loan would expire before any of it could be spent.
    #[error("a lease of {lease} us must be longer than the longest step of {step} us")]
    LeaseTooShort {
        /// The configured lease.
        lease: Micros,
        /// The configured maximum step.
        step: Micros,
    },
    /// The drift is implausibly large.
    #[error("a drift of {0} ppm is more than 100,000 ppm")]
    DriftTooLarge(u32),
}

impl EscrowConfig {
    /// Validates the parameters.
    ///
    /// # Errors
    /// The first violation found.
    pub fn check(&self) -> Result<(), EscrowConfigError> {
        if self.window == 0 || self.lease == 0 || self.max_step == 0 {
            return Err(EscrowConfigError::ZeroDuration);
        }
        if self.lease <= self.max_step {
            return Err(EscrowConfigError::LeaseTooShort { lease: self.lease, step: self.max_step });
        }
        if self.drift_ppm > 100_000 {
            return Err(EscrowConfigError::DriftTooLarge(self.drift_ppm));
        }
        Ok(())
    }

    /// `span` extended by `times` the maximum drift.
    fn with_drift(&self, span: Micros, times: u64) -> Micros {
        span + (span * u64::from(self.drift_ppm) * times).div_ceil(1_000_000)
    }

    /// Time after which a spent unit is free again, allowing for a local clock that runs fast.
    fn respend_delay(&self) -> Micros {
        self.with_drift(self.window, 1)
    }

    /// Time after which a loan has expired on the lender's clock. Longer than the lease, because the
    /// borrower's clock may run slow while the lender's runs fast, or may jump by less than `max_step`, which
    /// is not detected.
    fn lender_lease(&self) -> Micros {
        self.with_drift(self.lease, 3) + self.max_step
    }
}

/// Own units that are lent to another front.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LentLoan {
    units: u16,
    /// On the time scale of [`StallDetector::elapsed`].
    expires_at: Micros,
}

/// Units borrowed from another front.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct BorrowedLoan {
    lender: u32,
    /// On the local clock.
    expires_at: Micros,
    /// When each unit is free, on the time scale of [`StallDetector::elapsed`].
    units: Vec<Micros>,
}

/// A request that has not been answered yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingRequest {
    to: u32,
    sent_at: Micros,
    /// The loan to be renewed, if this is a renewal.
    renews: Option<u32>,
}

/// Number of units that a front currently has of a budget, by state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Holdings {
    /// Own units that can be spent now.
    pub free: u32,
    /// Own units that were spent within the window.
    pub spent: u32,
    /// Own units withheld after a restart, because the previous process may have spent or lent them.
    pub withheld: u32,
    /// Own units lent to other fronts.
    pub lent: u32,
    /// Borrowed units that can be spent now.
    pub borrowed_free: u32,
    /// Borrowed units that were spent within the window.
    pub borrowed_spent: u32,
}

impl Holdings {
    /// Units that this front can currently spend once per window.
    pub fn spendable(&self) -> u32 {
        self.free + self.spent + self.borrowed_free + self.borrowed_spent
    }
}

/// Counts the units that are free at `elapsed`; `units` is sorted by the time at which each becomes free.
fn count_free(units: &[Micros], elapsed: Micros) -> u32 {
    units.partition_point(|free_at| *free_at <= elapsed) as u32
}

/// One front's account in a budget; the crate documentation states its guarantees.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Escrow {
    config: EscrowConfig,
    budget: BudgetId,
    own_ordinal: u32,
    incarnation: u64,
    clock: StallDetector,
    /// When each own unit is free, sorted, on the time scale of [`StallDetector::elapsed`].
    own: Vec<Micros>,
    /// Maximum number of own units lent at once. A restarted process knows that the others were never lent.
    lendable: usize,
    lent: BTreeMap<RequestId, LentLoan>,
    /// The last granted request of each front: a duplicate of it gets the same response, or none.
    last_granted: BTreeMap<u32, RequestId>,
    /// By the sequence number of the request that opened the loan.
    borrowed: BTreeMap<u32, BorrowedLoan>,
    /// By the sequence number of the request.
    pending: BTreeMap<u32, PendingRequest>,
    next_request: u32,
}

/// A front never lends one in this many of its own units.
const UNLENDABLE_DIVISOR: usize = 4;
/// Maximum number of unanswered requests; further ones are not sent.
const MAX_PENDING_REQUESTS: usize = 16;
/// Maximum number of borrowed loans, including requests for loans that are pending.
const MAX_BORROWED_LOANS: usize = 64;

impl Escrow {
    /// Creates the account of front `own_ordinal` at `now`. `predates_budget` states that this process has
    /// been running since before the budget began, so that no earlier process can have spent or lent its
    /// units. Otherwise units are withheld until all that an earlier process may have spent or lent is free
    /// again; the front starts with its own share or less, never with more.
    pub fn new(
        config: EscrowConfig,
        budget: BudgetId,
        share: Share,
        own_ordinal: u32,
        incarnation: u64,
        now: Micros,
        predates_budget: bool,
    ) -> Self {
        let mut clock = StallDetector::new(config.max_step);
        clock.observe(now);
        let owned = share.of(own_ordinal) as usize;
        let mut own = vec![0; owned];
        if !predates_budget {
            // The previous process may have spent its unlendable units just before it ended, and lent all
            // others.
            own.fill(config.lender_lease() + config.respend_delay());
            own[..owned / UNLENDABLE_DIVISOR].fill(config.respend_delay());
        }
        Self {
            config,
            budget,
            own_ordinal,
            incarnation,
            clock,
            own,
            lendable: owned - owned / UNLENDABLE_DIVISOR,
            lent: BTreeMap::new(),
            last_granted: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            pending: BTreeMap::new(),
            next_request: 0,
        }
    }

    /// Advances the account to `now` and expires loans and requests.
    pub fn advance(&mut self, now: Micros) {
        if !self.clock.observe(now) {
            // After a stall or a clock jump the front cannot know how much time the lenders have counted, so
            // its loans may have expired.
            self.borrowed.clear();
            self.pending.clear();
        }
        self.borrowed.retain(|_, loan| now < loan.expires_at);
        self.pending.retain(|_, request| now < request.sent_at.saturating_add(self.config.lease));
        let elapsed = self.clock.elapsed();
        let expired: Vec<_> = self
            .lent
            .iter()
            .filter(|(_, loan)| loan.expires_at <= elapsed)
            .map(|(request, _)| *request)
            .collect();
        for request in expired {
            // The borrower may have spent the units just before the loan expired.
            self.reclaim(&request, self.config.respend_delay());
        }
    }

    /// Spends one unit and returns whether one was free. Borrowed units are spent first, from the loan that
    /// expires soonest.
    pub fn spend(&mut self, now: Micros) -> bool {
        self.advance(now);
        let (elapsed, free_at) = (self.clock.elapsed(), self.clock.elapsed() + self.config.respend_delay());
        let loans =
            self.borrowed.values_mut().filter(|loan| loan.units.first().is_some_and(|free| *free <= elapsed));
        let units = loans.min_by_key(|loan| loan.expires_at).map_or(&mut self.own, |loan| &mut loan.units);
        if units.first().is_none_or(|free| *free > elapsed) {
            return false;
        }
        units.remove(0);
        // The list stays sorted: units withheld after a start may become free later than the one just spent.
        units.insert(units.partition_point(|free| *free <= free_at), free_at);
        true
    }

    /// Requests up to `wanted` units from front `to`. Returns the message to send, or `None` if too many
    /// requests or loans are open.
    pub fn request(&mut self, now: Micros, to: u32, wanted: u16) -> Option<BudgetMessage> {
        self.advance(now);
        let full = self.pending.len() + self.borrowed.len() >= MAX_BORROWED_LOANS;
        if full || self.pending.len() >= MAX_PENDING_REQUESTS || to == self.own_ordinal || wanted == 0 {
            return None;
        }
        let request = self.add_pending(now, to, None);
        Some(BudgetMessage::Request { budget: self.budget, request, wanted })
    }

    /// Requests an extension of a borrowed loan. Returns the lender and the message to send to it.
    pub fn renew(&mut self, now: Micros, loan: u32) -> Option<(u32, BudgetMessage)> {
        self.advance(now);
        let to = self.borrowed.get(&loan)?.lender;
        let already_pending = self.pending.values().any(|request| request.renews == Some(loan));
        if already_pending || self.pending.len() >= MAX_PENDING_REQUESTS {
            return None;
        }
        let request = self.add_pending(now, to, Some(loan));
        Some((to, BudgetMessage::Renew { budget: self.budget, request, loan }))
    }

    /// Returns a borrowed loan: its units cannot be spent here any more. Returns the lender and the message
    /// to send to it.
    pub fn return_loan(&mut self, now: Micros, loan: u32) -> Option<(u32, BudgetMessage)> {
        self.advance(now);
        let BorrowedLoan { lender, units, .. } = self.borrowed.remove(&loan)?;
        let request = RequestId { front: self.own_ordinal, incarnation: self.incarnation, number: loan };
        let busy = units.last().map_or(0, |free| free.saturating_sub(self.clock.elapsed()));
        Some((lender, BudgetMessage::Return { budget: self.budget, request, busy }))
    }

    fn add_pending(&mut self, now: Micros, to: u32, renews: Option<u32>) -> RequestId {
        let number = self.next_request;
        self.next_request = self.next_request.wrapping_add(1);
        self.pending.insert(number, PendingRequest { to, sent_at: now, renews });
        RequestId { front: self.own_ordinal, incarnation: self.incarnation, number }
    }

    /// Handles a message of front `from`, which is identified by the source address, and returns the response
    /// to send, if any. `reserve` is the number of own units that this front does not want to lend. A message
    /// about another budget, or one that names another front than its sender, has no effect.
    pub fn handle(
        &mut self,
        now: Micros,
        from: u32,
        message: &BudgetMessage,
        reserve: u32,
    ) -> Option<BudgetMessage> {
        self.advance(now);
        if message.budget() != self.budget || from == self.own_ordinal {
            return None;
        }
        match *message {
            BudgetMessage::Request { request, wanted, .. } if request.front == from => {
                self.lend(request, wanted, reserve)
            }
            BudgetMessage::Renew { request, loan, .. } if request.front == from => {
                self.extend_loan(request, loan, reserve)
            }
            BudgetMessage::Return { request, busy, .. } if request.front == from => {
                // `busy` was computed when the message was sent, so waiting all of it from now on is
                // sufficient.
                self.reclaim(&request, self.config.with_drift(busy.min(self.config.respend_delay()), 2));
                None
            }
            BudgetMessage::Grant { request, units, .. }
                if request.front == self.own_ordinal && request.incarnation == self.incarnation =>
            {
                self.accept_grant(now, from, request.number, units);
                None
            }
            _ => None,
        }
    }

    fn lend(&mut self, request: RequestId, wanted: u16, reserve: u32) -> Option<BudgetMessage> {
        let budget = self.budget;
        if self.last_granted.get(&request.front) == Some(&request) {
            // A duplicate: the same response while the loan is open, none once it was returned or has
            // expired.
            return self.lent.get(&request).map(|loan| BudgetMessage::Grant {
                budget,
                request,
                units: loan.units,
            });
        }
        // The loan is open already, so the message is a duplicate of an older request: a loan is granted only
        // once.
        if self.lent.contains_key(&request) {
            return None;
        }
        let lent: usize = self.lent.values().map(|loan| usize::from(loan.units)).sum();
        let lendable = self.lendable.saturating_sub(lent) as u32;
        let units = self.own_free().saturating_sub(reserve).min(lendable).min(u32::from(wanted)) as u16;
        if units == 0 {
            return None;
        }
        self.own.drain(..usize::from(units));
        let expires_at = self.clock.elapsed() + self.config.lender_lease();
        self.lent.insert(request, LentLoan { units, expires_at });
        self.last_granted.insert(request.front, request);
        Some(BudgetMessage::Grant { budget, request, units })
    }

    fn extend_loan(&mut self, request: RequestId, number: u32, reserve: u32) -> Option<BudgetMessage> {
        if self.own_free() < reserve {
            return None;
        }
        let expires_at = self.clock.elapsed() + self.config.lender_lease();
        let loan = self.lent.get_mut(&RequestId { number, ..request })?;
        loan.expires_at = loan.expires_at.max(expires_at);
        Some(BudgetMessage::Grant { budget: self.budget, request, units: loan.units })
    }

    /// Own units that can be spent now.
    fn own_free(&self) -> u32 {
        count_free(&self.own, self.clock.elapsed())
    }

    /// Takes back the units of a loan that was returned or has expired; they can be spent again after `busy`.
    fn reclaim(&mut self, request: &RequestId, busy: Micros) {
        let Some(loan) = self.lent.remove(request) else { return };
        let free_at = self.clock.elapsed() + busy;
        self.own.extend(std::iter::repeat_n(free_at, usize::from(loan.units)));
        self.own.sort_unstable();
    }

    fn accept_grant(&mut self, now: Micros, from: u32, number: u32, units: u16) {
        if self.pending.get(&number).is_none_or(|request| request.to != from) {
            return;
        }
        let Some(request) = self.pending.remove(&number) else { return };
        // Counted from the request: the lender starts counting later, so the loan ends here first.
        let expires_at = request.sent_at.saturating_add(self.config.lease);
        if expires_at <= now {
            return;
        }
        match request.renews {
            Some(loan) => {
                if let Some(loan) = self.borrowed.get_mut(&loan) {
                    loan.expires_at = loan.expires_at.max(expires_at);
                }
            }
            None => {
                let units = vec![self.clock.elapsed(); usize::from(units)];
                self.borrowed.insert(number, BorrowedLoan { lender: from, expires_at, units });
            }
        }
    }

    /// Current number of units by state.
    pub fn holdings(&self) -> Holdings {
        let elapsed = self.clock.elapsed();
        let free = self.own_free();
        let latest_respend = elapsed + self.config.respend_delay();
        let withheld = self.own.iter().filter(|free_at| **free_at > latest_respend).count() as u32;
        let (mut borrowed, mut borrowed_free) = (0, 0);
        for loan in self.borrowed.values() {
            borrowed += loan.units.len() as u32;
            borrowed_free += count_free(&loan.units, elapsed);
        }
        Holdings {
            free,
            spent: self.own.len() as u32 - free - withheld,
            withheld,
            lent: self.lent.values().map(|loan| u32::from(loan.units)).sum(),
            borrowed_free,
            borrowed_spent: borrowed - borrowed_free,
        }
    }

    /// The borrowed loans: number, expiry on the local clock, and number of units.
    pub fn loans(&self) -> impl Iterator<Item = (u32, Micros, u32)> + '_ {
        self.borrowed.iter().map(|(number, loan)| (*number, loan.expires_at, loan.units.len() as u32))
    }

    /// The parameters of the budget.
    pub fn config(&self) -> &EscrowConfig {
        &self.config
    }
}
