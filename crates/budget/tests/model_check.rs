//! Exhaustive model check of the escrow protocol with three fronts and four units: messages are lost,
//! duplicated and delayed, a front restarts, and a front stalls. The units spent by all fronts in any window
//! never exceed the budget.

use std::collections::BTreeMap;

use baydrift::interface::Micros;
use baydrift_budget::{BudgetId, BudgetMessage, Escrow, EscrowConfig, Share};
use stateright::{Checker, Model, Property};

const FRONTS: u32 = 3;
const UNITS: u32 = 4;
const BUDGET: BudgetId = BudgetId(7);
const CONFIG: EscrowConfig = EscrowConfig { window: 2, lease: 2, max_step: 1, drift_ppm: 0 };

/// A defect injected into the implementation, which the check must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// The lender keeps the units that it has lent.
    DoubleGrant,
    /// The borrower counts the lease from the response instead of from its request.
    LeaseFromResponse,
    /// A restarted process uses its share at once, although the previous process may have lent it.
    NoRestartHold,
}

#[derive(Debug, Clone, Copy)]
struct EscrowModel {
    defect: Defect,
    ticks: Micros,
    requests: u8,
    /// Renewals and returns.
    loan_updates: u8,
    losses: u8,
    duplicates: u8,
    restarts: u8,
    stalls: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    escrows: Vec<Escrow>,
    /// Lag of each front's clock behind real time.
    clock_lag: Vec<Micros>,
    stalled: Vec<bool>,
    /// Messages in transit as sender, recipient and message, with the number of copies.
    in_transit: BTreeMap<(u32, u32, BudgetMessage), u8>,
    /// When units were spent within the current window.
    spent: Vec<Micros>,
    /// Actions left: requests, loan updates, losses, duplicates, restarts, stalls.
    left: [u8; 6],
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Spend(u32),
    Request(u32, u32),
    Renew(u32, u32),
    Return(u32, u32),
    Deliver(u32, u32, BudgetMessage),
    Lose(u32, u32, BudgetMessage),
    Duplicate(u32, u32, BudgetMessage),
    Restart(u32),
    Stall(u32),
    Resume(u32),
}

fn share() -> Share {
    Share::new(BUDGET, UNITS, FRONTS)
}

impl State {
    fn clock(&self, front: u32) -> Micros {
        self.now - self.clock_lag[front as usize]
    }

    fn send(&mut self, from: u32, to: u32, message: BudgetMessage) {
        *self.in_transit.entry((from, to, message)).or_default() += 1;
    }

    fn remove(&mut self, from: u32, to: u32, message: BudgetMessage) {
        if let Some(copies) = self.in_transit.get_mut(&(from, to, message)) {
            *copies -= 1;
            if *copies == 0 {
                self.in_transit.remove(&(from, to, message));
            }
        }
    }
}

impl Model for EscrowModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let escrow = |front| Escrow::new(CONFIG, BUDGET, share(), front, 1, 0, true);
        vec![State {
            now: 0,
            escrows: (0..FRONTS).map(escrow).collect(),
            clock_lag: vec![0; FRONTS as usize],
            stalled: vec![false; FRONTS as usize],
            in_transit: BTreeMap::new(),
            spent: Vec::new(),
            left: [
                self.requests,
                self.loan_updates,
                self.losses,
                self.duplicates,
                self.restarts,
                self.stalls,
            ],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.now < self.ticks {
            actions.push(Step::Tick);
        }
        let [requests, loan_updates, losses, duplicates, restarts, stalls] = state.left;
        for front in 0..FRONTS {
            if state.stalled[front as usize] {
                actions.push(Step::Resume(front));
                continue;
            }
            actions.push(Step::Spend(front));
            // Only front 0 borrows; the fronts are symmetric, so checking one of them is sufficient.
            if requests > 0 && front == 0 {
                actions.extend((1..FRONTS).map(|other| Step::Request(front, other)));
            }
            if loan_updates > 0 {
                for (loan, ..) in state.escrows[front as usize].loans() {
                    actions.extend([Step::Renew(front, loan), Step::Return(front, loan)]);
                }
            }
            if restarts > 0 {
                actions.push(Step::Restart(front));
            }
            if stalls > 0 {
                actions.push(Step::Stall(front));
            }
        }
        for (from, to, message) in state.in_transit.keys().copied() {
            if !state.stalled[to as usize] {
                actions.push(Step::Deliver(from, to, message));
            }
            if losses > 0 {
                actions.push(Step::Lose(from, to, message));
            }
            if duplicates > 0 {
                actions.push(Step::Duplicate(from, to, message));
            }
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Tick => {
                state.now += 1;
                let now = state.now;
                state.spent.retain(|at| at + CONFIG.window > now);
                for front in 0..FRONTS {
                    let index = front as usize;
                    let awaited = |message: &BudgetMessage| {
                        matches!(message,
                            BudgetMessage::Request { request, .. } | BudgetMessage::Grant { request, .. }
                            if request.front == front)
                    };
                    if self.defect == Defect::LeaseFromResponse
                        && state.in_transit.keys().any(|(.., message)| awaited(message))
                    {
                        state.clock_lag[index] += 1;
                    }
                    // A process that is not stalled wakes at every tick.
                    if !state.stalled[index] {
                        let clock = state.clock(front);
                        state.escrows[index].advance(clock);
                    }
                }
            }
            Step::Spend(front) => {
                let clock = state.clock(front);
                let mut spent_any = false;
                while state.escrows[front as usize].spend(clock) {
                    state.spent.push(state.now);
                    spent_any = true;
                }
                if !spent_any {
                    return None;
                }
            }
            Step::Request(front, to) => {
                let clock = state.clock(front);
                let message = state.escrows[front as usize].request(clock, to, 2)?;
                state.left[0] -= 1;
                state.send(front, to, message);
            }
            Step::Renew(front, loan) => {
                let clock = state.clock(front);
                let (to, message) = state.escrows[front as usize].renew(clock, loan)?;
                state.left[1] -= 1;
                state.send(front, to, message);
            }
            Step::Return(front, loan) => {
                let clock = state.clock(front);
                let (to, message) = state.escrows[front as usize].return_loan(clock, loan)?;
                state.left[1] -= 1;
                state.send(front, to, message);
            }
            Step::Deliver(from, to, message) => {
                state.remove(from, to, message);
                let clock = state.clock(to);
                let previous = state.escrows[to as usize].clone();
                let response = state.escrows[to as usize].handle(clock, from, &message, 0);
                if self.defect == Defect::DoubleGrant && response.is_some() {
                    state.escrows[to as usize] = previous;
                }
                if let Some(response) = response {
                    state.send(to, from, response);
                }
            }
            Step::Lose(from, to, message) => {
                state.left[2] -= 1;
                state.remove(from, to, message);
            }
            Step::Duplicate(from, to, message) => {
                state.left[3] -= 1;
                state.send(from, to, message);
            }
            Step::Restart(front) => {
                state.left[4] -= 1;
                let predates_budget = self.defect == Defect::NoRestartHold;
                let clock = state.clock(front);
                state.escrows[front as usize] =
                    Escrow::new(CONFIG, BUDGET, share(), front, 2, clock, predates_budget);
            }
            Step::Stall(front) => {
                state.left[5] -= 1;
                state.stalled[front as usize] = true;
            }
            Step::Resume(front) => state.stalled[front as usize] = false,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never over budget", |_, state: &State| state.spent.len() <= UNITS as usize),
            Property::sometimes("a front spends borrowed units", |_, state: &State| {
                state.escrows.iter().any(|escrow| escrow.holdings().borrowed_spent > 0)
            }),
            Property::sometimes("the whole budget is spent in one window", |_, state: &State| {
                state.spent.len() == UNITS as usize
            }),
        ]
    }
}

fn model(defect: Defect) -> EscrowModel {
    EscrowModel {
        defect,
        ticks: 6,
        requests: 1,
        loan_updates: 0,
        losses: 1,
        duplicates: 1,
        restarts: 1,
        stalls: 1,
    }
}

/// Number of ticks to check, 3 by default. `TICKS=7` covers the whole lifetime of a loan and takes minutes.
fn ticks() -> Micros {
    std::env::var("TICKS").ok().and_then(|ticks| ticks.parse().ok()).unwrap_or(3)
}

fn check(model: EscrowModel) {
    let started = std::time::Instant::now();
    let checker = model.checker().threads(2).spawn_bfs().join();
    println!(
        "{model:?}: {} states, {} unique, depth {}, {:.1} s",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
        started.elapsed().as_secs_f64()
    );
    checker.assert_properties();
}

#[test]
fn budget_is_never_exceeded() {
    check(EscrowModel { ticks: ticks(), ..model(Defect::None) });
}

#[test]
fn budget_is_never_exceeded_with_renewals_and_returns() {
    check(EscrowModel {
        ticks: ticks().max(6),
        loan_updates: 1,
        restarts: 0,
        stalls: 0,
        ..model(Defect::None)
    });
}

/// Verifies that the model can detect a violation at all.
#[test]
fn injected_defects_are_detected() {
    for defect in [Defect::DoubleGrant, Defect::LeaseFromResponse, Defect::NoRestartHold] {
        let model =
            EscrowModel { ticks: 8, losses: 0, duplicates: 0, loan_updates: 0, stalls: 0, ..model(defect) };
        let checker = model
            .checker()
            .threads(2)
            .finish_when(stateright::HasDiscoveries::AnyFailures)
            .spawn_bfs()
            .join();
        assert!(checker.discovery("never over budget").is_some(), "{defect:?}");
    }
}
