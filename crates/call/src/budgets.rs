//! Set-up budgets of cold servers that the fleet's fronts share: the engine's use of `baydrift-budget`.

use std::collections::BTreeMap;

use baydrift::interface::{Micros, ServerId};
use baydrift_budget::{
    Borrower, BorrowerConfig, BudgetId, BudgetMessage, Escrow, EscrowConfig, Holdings, Share,
};

/// Window of the default budget terms: one unit is one set-up per window.
const WINDOW: Micros = 1_000_000;
/// Interval of budget updates; shorter than the longest time step that the budgets allow.
pub(crate) const UPDATE_INTERVAL: Micros = 50_000;

/// How the fronts of a fleet share the budgets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSharing {
    /// Set-ups per second that a cold server may be sent by all fronts together.
    pub units: u32,
    /// Configured number of fronts.
    pub fronts: u32,
    /// Ordinal of this front.
    pub ordinal: u32,
    /// Identifies this process; drawn at random at its start.
    pub incarnation: u64,
}

/// This front's share of a server's budget as reported to the policy, with the state of the server at that
/// time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReportedShare {
    here: u32,
    ready: bool,
    cold: bool,
}

/// The budget of one server.
#[derive(Debug)]
struct ServerBudget {
    escrow: Escrow,
    borrower: Borrower,
    /// The latest report to the policy.
    reported: Option<ReportedShare>,
}

/// The result of a periodic update.
#[derive(Debug, Default)]
pub(crate) struct BudgetUpdate {
    /// Messages to other fronts.
    pub(crate) messages: Vec<(u32, Vec<u8>)>,
    /// Changed shares to be reported to the policy: this front's part of each server's budget, in set-ups per
    /// second.
    pub(crate) shares: Vec<(ServerId, f64)>,
}

/// The budgets at this front, one per server.
#[derive(Debug)]
pub(crate) struct SharedBudgets {
    sharing: BudgetSharing,
    budgets: BTreeMap<ServerId, ServerBudget>,
    /// Calls offered in the last window, by tenth of the window.
    offered: [u32; 10],
    tenth: u64,
}

impl SharedBudgets {
    pub(crate) fn new(sharing: BudgetSharing) -> Self {
        Self { sharing, budgets: BTreeMap::new(), offered: [0; 10], tenth: 0 }
    }

    /// What this front holds of each server's budget.
    pub(crate) fn holdings(&self) -> impl Iterator<Item = (ServerId, Holdings)> + '_ {
        self.budgets.iter().map(|(server, budget)| (*server, budget.escrow.holdings()))
    }

    /// Counts an offered call towards the demand.
    pub(crate) fn offered(&mut self, now: Micros) {
        self.advance(now);
        self.offered[(self.tenth % 10) as usize] += 1;
    }

    fn advance(&mut self, now: Micros) {
        let tenth = now / (WINDOW / 10);
        for passed in self.tenth.max(tenth.saturating_sub(10)) + 1..=tenth {
            self.offered[(passed % 10) as usize] = 0;
        }
        self.tenth = tenth.max(self.tenth);
    }

    fn budget(&mut self, now: Micros, server: ServerId) -> &mut ServerBudget {
        let BudgetSharing { units, fronts, ordinal, incarnation } = self.sharing;
        self.budgets.entry(server).or_insert_with(|| {
            let budget = BudgetId(server);
            let share = Share::new(budget, units, fronts);
            // `false`: a previous process may have spent or lent units, which are withheld until that has
            // expired.
            let escrow =
                Escrow::new(EscrowConfig::default(), budget, share, ordinal, incarnation, now, false);
            ServerBudget {
                escrow,
                borrower: Borrower::new(BorrowerConfig::default(), share, ordinal),
                reported: None,
            }
        })
    }

    /// Spends one unit for a set-up to a cold server; `false` if there is none.
    pub(crate) fn spend(&mut self, now: Micros, server: ServerId) -> bool {
        self.budget(now, server).escrow.spend(now)
    }

    /// Handles a message of another front; returns the reply, if any.
    pub(crate) fn handle(&mut self, now: Micros, from: u32, message: &[u8]) -> Option<Vec<u8>> {
        let message = BudgetMessage::decode(message).ok()?;
        // Messages of other fronts create no budgets: only those of servers in this front's pool exist.
        let budget = self.budgets.get_mut(&message.budget().0)?;
        let reserve = budget.borrower.reserve(now, &budget.escrow);
        budget.escrow.handle(now, from, &message, reserve).map(|reply| reply.encode())
    }

    /// Advances time; returns messages to other fronts and changed shares. `servers` are all servers in the
    /// pool, each with whether it is ready and whether it is cold. Fronts for which `may_live` is false are
    /// not asked for units.
    pub(crate) fn update(
        &mut self,
        now: Micros,
        servers: &[(ServerId, bool, bool)],
        may_live: impl Fn(u32) -> bool,
    ) -> BudgetUpdate {
        self.advance(now);
        // A server that is temporarily unavailable keeps its budget: its units may be lent out, and a new
        // budget would have to wait until they have expired.
        self.budgets.retain(|server, _| servers.iter().any(|(known, ..)| known == server));
        let ready = servers.iter().filter(|(_, ready, _)| *ready).count();
        let per_server = f64::from(self.offered.iter().sum::<u32>()) / ready.max(1) as f64;
        let mut update = BudgetUpdate::default();
        for (server, ready, cold) in servers {
            let ServerBudget { escrow, borrower, reported } = self.budget(now, *server);
            borrower.set_demand(now, if *ready && *cold { per_server } else { 0.0 }, escrow);
            let messages = borrower.poll(now, escrow, &may_live);
            update.messages.extend(messages.into_iter().map(|(to, message)| (to, message.encode())));
            // A restarted process is a new server to the policy, so its share is reported again.
            let share = ReportedShare { here: escrow.holdings().spendable(), ready: *ready, cold: *cold };
            if *reported != Some(share) {
                *reported = Some(share);
                update.shares.push((*server, f64::from(share.here) * 1e6 / WINDOW as f64));
            }
        }
        update
    }
}
