//! Property tests of the escrow protocol with twenty fronts under arbitrary schedules: messages are lost,
//! duplicated, delayed or invalid, processes stall and restart, and clocks jump. The units spent by all
//! fronts in any window never exceed the budget.

use baydrift::interface::Micros;
use baydrift_budget::{
    Borrower, BorrowerConfig, BudgetId, BudgetMessage, Escrow, EscrowConfig, MessageError, Share,
    MAX_MESSAGE_BYTES,
};
use proptest::prelude::*;

const FRONTS: u32 = 20;
const BUDGET: BudgetId = BudgetId(3);
const S: Micros = 1_000_000;
const CONFIG: EscrowConfig = EscrowConfig { window: S, lease: 2 * S, max_step: S / 10, drift_ppm: 0 };

#[derive(Debug, Clone)]
enum Step {
    /// All running fronts wake this many times, 50 ms apart.
    Advance(u8),
    /// A front spends all units that it can.
    Spend(u32),
    Request(u32, u32, u16),
    Renew(u32, usize),
    Return(u32, usize),
    Deliver(usize),
    Lose(usize),
    Duplicate(usize),
    Restart(u32),
    Stall(u32),
    Resume(u32),
    /// A front's clock jumps by this many microseconds.
    ClockJump(u32, i64),
    /// Arbitrary bytes arrive from one front at another.
    Noise(u32, u32, Vec<u8>),
}

fn step() -> impl Strategy<Value = Step> {
    let front = 0..FRONTS;
    let index = any::<usize>();
    prop_oneof![
        6 => (1_u8..30).prop_map(Step::Advance),
        6 => front.clone().prop_map(Step::Spend),
        6 => (front.clone(), front.clone(), 1_u16..9).prop_map(|(a, b, n)| Step::Request(a, b, n)),
        2 => (front.clone(), index).prop_map(|(a, n)| Step::Renew(a, n)),
        2 => (front.clone(), index).prop_map(|(a, n)| Step::Return(a, n)),
        10 => index.prop_map(Step::Deliver),
        1 => index.prop_map(Step::Lose),
        2 => index.prop_map(Step::Duplicate),
        1 => front.clone().prop_map(Step::Restart),
        1 => front.clone().prop_map(Step::Stall),
        1 => front.clone().prop_map(Step::Resume),
        1 => (front.clone(), prop_oneof![Just(5_000_000_i64), Just(-5_000_000)])
            .prop_map(|(a, by)| Step::ClockJump(a, by)),
        1 => (front.clone(), front, proptest::collection::vec(any::<u8>(), 0..80))
            .prop_map(|(a, b, bytes)| Step::Noise(a, b, bytes)),
    ]
}

struct World {
    now: Micros,
    units: u32,
    escrows: Vec<Escrow>,
    /// Offset of each front's clock from real time.
    clock_offsets: Vec<i64>,
    stalled: Vec<bool>,
    /// Messages in transit: sender, recipient, message.
    in_transit: Vec<(u32, u32, BudgetMessage)>,
    /// When units were spent within the current window.
    spent: Vec<Micros>,
    last_incarnation: u64,
    total_spent: usize,
}

impl World {
    fn new(units: u32) -> Self {
        let share = Share::new(BUDGET, units, FRONTS);
        let escrow = |front| Escrow::new(CONFIG, BUDGET, share, front, u64::from(front), 100 * S, true);
        Self {
            now: 100 * S,
            units,
            escrows: (0..FRONTS).map(escrow).collect(),
            clock_offsets: vec![0; FRONTS as usize],
            stalled: vec![false; FRONTS as usize],
            in_transit: Vec::new(),
            spent: Vec::new(),
            last_incarnation: 100,
            total_spent: 0,
        }
    }

    fn clock(&self, front: u32) -> Micros {
        (self.now as i64 + self.clock_offsets[front as usize]) as Micros
    }

    fn escrow(&mut self, front: u32) -> Option<(Micros, &mut Escrow)> {
        let clock = self.clock(front);
        (!self.stalled[front as usize]).then(|| (clock, &mut self.escrows[front as usize]))
    }

    fn deliver(&mut self, from: u32, to: u32, message: &BudgetMessage) {
        let Some((clock, escrow)) = self.escrow(to) else { return };
        if let Some(response) = escrow.handle(clock, from, message, 0) {
            self.in_transit.push((to, from, response));
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Advance(wakes) => {
                for _ in 0..*wakes {
                    self.now += 50_000;
                    (0..FRONTS).for_each(|front| {
                        if let Some((clock, escrow)) = self.escrow(front) {
                            escrow.advance(clock);
                        }
                    });
                }
            }
            Step::Spend(front) => {
                let now = self.now;
                while self.escrow(*front).is_some_and(|(clock, escrow)| escrow.spend(clock)) {
                    self.spent.push(now);
                    self.total_spent += 1;
                }
                self.spent.retain(|at| at + CONFIG.window > now);
            }
            Step::Request(front, to, wanted) => {
                let sent =
                    self.escrow(*front).and_then(|(clock, escrow)| escrow.request(clock, *to, *wanted));
                self.in_transit.extend(sent.map(|message| (*front, *to, message)));
            }
            Step::Renew(front, index) | Step::Return(front, index) => {
                let renews = matches!(step, Step::Renew(..));
                let sent = self.escrow(*front).and_then(|(clock, escrow)| {
                    let loans: Vec<_> = escrow.loans().map(|loan| loan.0).collect();
                    let loan = *loans.get(index % loans.len().max(1))?;
                    if renews {
                        escrow.renew(clock, loan)
                    } else {
                        escrow.return_loan(clock, loan)
                    }
                });
                self.in_transit.extend(sent.map(|(to, message)| (*front, to, message)));
            }
            Step::Deliver(index) if !self.in_transit.is_empty() => {
                let (from, to, message) = self.in_transit.swap_remove(index % self.in_transit.len());
                self.deliver(from, to, &message);
            }
            Step::Lose(index) if !self.in_transit.is_empty() => {
                self.in_transit.swap_remove(index % self.in_transit.len());
            }
            Step::Duplicate(index) if !self.in_transit.is_empty() => {
                self.in_transit.push(self.in_transit[index % self.in_transit.len()])
            }
            Step::Restart(front) => {
                self.last_incarnation += 1;
                let (clock, share) = (self.clock(*front), Share::new(BUDGET, self.units, FRONTS));
                self.stalled[*front as usize] = false;
                self.escrows[*front as usize] =
                    Escrow::new(CONFIG, BUDGET, share, *front, self.last_incarnation, clock, false);
            }
            Step::Stall(front) => self.stalled[*front as usize] = true,
            Step::Resume(front) => self.stalled[*front as usize] = false,
            Step::ClockJump(front, by) => self.clock_offsets[*front as usize] += by,
            Step::Noise(from, to, bytes) => {
                if let Ok(message) = BudgetMessage::decode(bytes) {
                    self.deliver(*from, *to, &message);
                }
            }
            Step::Deliver(_) | Step::Lose(_) | Step::Duplicate(_) => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn no_schedule_exceeds_the_budget(
        units in 1_u32..50,
        steps in proptest::collection::vec(step(), 50..400),
    ) {
        let mut world = World::new(units);
        for step in &steps {
            world.apply(step);
            let spent = world.spent.len();
            prop_assert!(spent <= units as usize, "{spent} of {units} after {step:?}");
        }
    }

    #[test]
    fn shares_sum_to_the_budget(units in 0_u32..500, fronts in 1_u32..400, budget in any::<u64>()) {
        let share = Share::new(BudgetId(budget), units, fronts);
        let owned: Vec<_> = (0..fronts + 3).map(|front| share.of(front)).collect();
        prop_assert_eq!(owned.iter().sum::<u32>(), units);
        // Even distribution: no two fronts differ by more than one unit.
        let of_fleet = &owned[..fronts as usize];
        let (least, most) = (of_fleet.iter().min(), of_fleet.iter().max());
        prop_assert!(most.zip(least).is_some_and(|(most, least)| most - least <= 1));
        prop_assert!(share.owners_after(0).all(|owner| share.of(owner) > 0 && owner != 0));
    }

    #[test]
    fn decoded_noise_round_trips(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        match BudgetMessage::decode(&bytes) {
            Ok(message) => prop_assert_eq!(BudgetMessage::decode(&message.encode()), Ok(message)),
            Err(MessageError::TooLong(size)) => prop_assert!(size > MAX_MESSAGE_BYTES),
            Err(MessageError::Malformed) => prop_assert!(bytes.len() <= MAX_MESSAGE_BYTES),
        }
    }
}

/// Guards against tests above that pass because no unit is ever lent: units must move to the front that wants
/// them, be spent there, and return to their owners.
#[test]
fn units_are_lent_on_demand_and_returned() {
    let share = Share::new(BUDGET, 6, 3);
    let config = BorrowerConfig { interval: S / 10, fan_out: 2 };
    let mut escrows: Vec<_> = (0..3)
        .map(|front| {
            (Escrow::new(CONFIG, BUDGET, share, front, 1, 0, true), Borrower::new(config, share, front))
        })
        .collect();
    let mut spent = Vec::new();
    let mut run = |escrows: &mut Vec<(Escrow, Borrower)>, from: Micros, wanted: bool| {
        for now in (from..from + 10 * S).step_by(50_000) {
            let (escrow, borrower) = &mut escrows[0];
            if wanted {
                let available = escrow.spend(now);
                borrower.record_demand(now, available, escrow);
                spent.extend(available.then_some(now));
            }
            for front in 0..3_usize {
                let (escrow, borrower) = &mut escrows[front];
                for (to, message) in borrower.poll(now, escrow, |_| true) {
                    let (other, their) = &mut escrows[to as usize];
                    let response = other.handle(now, front as u32, &message, their.reserve(now, other));
                    response.map(|response| escrows[front].0.handle(now, to, &response, 0));
                }
            }
        }
    };
    // Each front owns two units; front 0 wants all six for ten seconds.
    run(&mut escrows, 0, true);
    assert_eq!(escrows[0].0.holdings().borrowed_free + escrows[0].0.holdings().borrowed_spent, 4);
    run(&mut escrows, 10 * S, false);
    run(&mut escrows, 20 * S, false);
    let lent = |escrow: &Escrow| escrow.holdings().lent;
    assert_eq!(
        escrows.iter().map(|(escrow, _)| lent(escrow)).sum::<u32>(),
        0,
        "unwanted units are returned to their owners"
    );
    assert!(spent.len() > 50, "{} of 60", spent.len());
}

#[test]
fn duplicate_grants_open_one_loan_and_misdirected_grants_none() {
    let share = Share::new(BUDGET, 8, 2);
    let [mut a, mut b] = [0, 1].map(|front| Escrow::new(CONFIG, BUDGET, share, front, 5, 0, true));
    let request = a.request(0, 1, 3).expect("a request");
    let grants: Vec<_> = (0..100).filter_map(|_| b.handle(1_000, 0, &request, 0)).collect();
    assert!(grants.windows(2).all(|two| two[0] == two[1]));
    assert_eq!((grants.len(), b.holdings().lent, b.holdings().free), (100, 3, 1));
    // A grant from another front, or for another incarnation, has no effect.
    assert_eq!(a.handle(2_000, 3, &grants[0], 0), None);
    let mut restarted = Escrow::new(CONFIG, BUDGET, share, 0, 6, 0, true);
    restarted.request(0, 1, 3);
    restarted.handle(2_000, 1, &grants[0], 0);
    assert_eq!((a.holdings().borrowed_free, restarted.holdings().borrowed_free), (0, 0));
    grants.iter().for_each(|grant| {
        a.handle(2_000, 1, grant, 0);
    });
    assert_eq!(a.holdings().borrowed_free, 3);
    // After the loan was returned, a late duplicate opens no loan on either side.
    let (_, returned) = a.return_loan(3_000, 0).expect("a loan");
    b.handle(4_000, 0, &returned, 0);
    a.handle(5_000, 1, &grants[0], 0);
    assert_eq!(
        (a.holdings().borrowed_free, b.holdings().lent, b.handle(5_000, 0, &request, 0)),
        (0, 0, None)
    );
    assert_eq!(b.holdings().free, 4);
}

#[test]
fn invalid_config_is_rejected() {
    assert!(CONFIG.check().is_ok());
    let wrong = [
        EscrowConfig { window: 0, ..CONFIG },
        EscrowConfig { lease: S / 20, ..CONFIG },
        EscrowConfig { drift_ppm: 200_000, ..CONFIG },
    ];
    assert!(wrong.iter().all(|config| config.check().is_err()));
}

/// Guards against an unsorted list of units: after a restart, the unlendable unit was filed behind the units
/// withheld until the previous process's loans expire once it had been spent, so it could not be spent again
/// before then.
#[test]
fn unlendable_units_are_spent_in_each_window_after_a_restart() {
    let share = Share::new(BUDGET, 5, 1);
    let mut escrow = Escrow::new(CONFIG, BUDGET, share, 0, 2, 0, false);
    let spent: Vec<_> = (0..3 * S).step_by(50_000).filter(|now| escrow.spend(*now)).collect();
    assert_eq!(spent, [S, 2 * S]);
    // From then on all five units, each once per window.
    let spent = (3 * S..6 * S).step_by(50_000).filter(|now| escrow.spend(*now)).count();
    assert!(spent > 10, "{spent}");
}
