//! Twenty fronts under arbitrary schedules: whatever is said, lost, doubled, late, stopped, started anew or set to another
//! time, the sum over all fronts passes the bound in no window.

use baydrift::interface::Micros;
use baydrift_budget::{BudgetId, Escrow, Seeker, Seeking, Share, Terms, Word, WordError, WORD_MAX};
use proptest::prelude::*;

const FRONTS: u32 = 20;
const BUDGET: BudgetId = BudgetId(3);
const S: Micros = 1_000_000;
const TERMS: Terms = Terms { window: S, lease: 2 * S, step_most: S / 10, drift_ppm: 0 };

#[derive(Debug, Clone)]
enum Act {
    /// All that run wake so often, 50 ms apart.
    Pass(u8),
    /// A front spends all that it can.
    Spend(u32),
    Ask(u32, u32, u16),
    Keep(u32, usize),
    Back(u32, usize),
    Deliver(usize),
    Lose(usize),
    Double(usize),
    Restart(u32),
    Stop(u32),
    Wake(u32),
    Jump(u32, i64),
    Noise(u32, u32, Vec<u8>),
}

fn act() -> impl Strategy<Value = Act> {
    let front = 0..FRONTS;
    let place = any::<usize>();
    prop_oneof![
        6 => (1_u8..30).prop_map(Act::Pass),
        6 => front.clone().prop_map(Act::Spend),
        6 => (front.clone(), front.clone(), 1_u16..9).prop_map(|(a, b, n)| Act::Ask(a, b, n)),
        2 => (front.clone(), place).prop_map(|(a, n)| Act::Keep(a, n)),
        2 => (front.clone(), place).prop_map(|(a, n)| Act::Back(a, n)),
        10 => place.prop_map(Act::Deliver),
        1 => place.prop_map(Act::Lose),
        2 => place.prop_map(Act::Double),
        1 => front.clone().prop_map(Act::Restart),
        1 => front.clone().prop_map(Act::Stop),
        1 => front.clone().prop_map(Act::Wake),
        1 => (front.clone(), prop_oneof![Just(5_000_000_i64), Just(-5_000_000)]).prop_map(|(a, by)| Act::Jump(a, by)),
        1 => (front.clone(), front, proptest::collection::vec(any::<u8>(), 0..80)).prop_map(|(a, b, bytes)| Act::Noise(a, b, bytes)),
    ]
}

struct World {
    now: Micros,
    units: u32,
    hands: Vec<Escrow>,
    ahead: Vec<i64>,
    stopped: Vec<bool>,
    net: Vec<(u32, u32, Word)>,
    spent: Vec<Micros>,
    incarnations: u64,
    ever: usize,
}

impl World {
    fn new(units: u32) -> Self {
        let share = Share::new(BUDGET, units, FRONTS);
        let hand = |front| Escrow::new(TERMS, BUDGET, share, front, u64::from(front), 100 * S, true);
        Self {
            now: 100 * S,
            units,
            hands: (0..FRONTS).map(hand).collect(),
            ahead: vec![0; FRONTS as usize],
            stopped: vec![false; FRONTS as usize],
            net: Vec::new(),
            spent: Vec::new(),
            incarnations: 100,
            ever: 0,
        }
    }

    fn clock(&self, front: u32) -> Micros {
        (self.now as i64 + self.ahead[front as usize]) as Micros
    }

    fn hand(&mut self, front: u32) -> Option<(Micros, &mut Escrow)> {
        let clock = self.clock(front);
        (!self.stopped[front as usize]).then(|| (clock, &mut self.hands[front as usize]))
    }

    fn hear(&mut self, from: u32, to: u32, word: &Word) {
        let Some((clock, hand)) = self.hand(to) else { return };
        if let Some(answer) = hand.hear(clock, from, word, 0) {
            self.net.push((to, from, answer));
        }
    }

    fn act(&mut self, act: &Act) {
        match act {
            Act::Pass(beats) => {
                for _ in 0..*beats {
                    self.now += 50_000;
                    (0..FRONTS).for_each(|front| {
                        if let Some((clock, hand)) = self.hand(front) {
                            hand.advance(clock);
                        }
                    });
                }
            }
            Act::Spend(front) => {
                let now = self.now;
                while self.hand(*front).is_some_and(|(clock, hand)| hand.spend(clock)) {
                    self.spent.push(now);
                    self.ever += 1;
                }
                self.spent.retain(|at| at + TERMS.window > now);
            }
            Act::Ask(front, to, wanted) => {
                let said = self.hand(*front).and_then(|(clock, hand)| hand.ask(clock, *to, *wanted));
                self.net.extend(said.map(|word| (*front, *to, word)));
            }
            Act::Keep(front, place) | Act::Back(front, place) => {
                let keeps = matches!(act, Act::Keep(..));
                let said = self.hand(*front).and_then(|(clock, hand)| {
                    let loans: Vec<_> = hand.loans().map(|loan| loan.0).collect();
                    let loan = *loans.get(place % loans.len().max(1))?;
                    if keeps {
                        hand.keep(clock, loan)
                    } else {
                        hand.give_back(clock, loan)
                    }
                });
                self.net.extend(said.map(|(to, word)| (*front, to, word)));
            }
            Act::Deliver(place) if !self.net.is_empty() => {
                let (from, to, word) = self.net.swap_remove(place % self.net.len());
                self.hear(from, to, &word);
            }
            Act::Lose(place) if !self.net.is_empty() => {
                self.net.swap_remove(place % self.net.len());
            }
            Act::Double(place) if !self.net.is_empty() => self.net.push(self.net[place % self.net.len()]),
            Act::Restart(front) => {
                self.incarnations += 1;
                let (clock, share) = (self.clock(*front), Share::new(BUDGET, self.units, FRONTS));
                self.stopped[*front as usize] = false;
                self.hands[*front as usize] =
                    Escrow::new(TERMS, BUDGET, share, *front, self.incarnations, clock, false);
            }
            Act::Stop(front) => self.stopped[*front as usize] = true,
            Act::Wake(front) => self.stopped[*front as usize] = false,
            Act::Jump(front, by) => self.ahead[*front as usize] += by,
            Act::Noise(from, to, bytes) => {
                if let Ok(word) = Word::read(bytes) {
                    self.hear(*from, *to, &word);
                }
            }
            Act::Deliver(_) | Act::Lose(_) | Act::Double(_) => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn no_schedule_passes_the_bound(units in 1_u32..50, acts in proptest::collection::vec(act(), 50..400)) {
        let mut world = World::new(units);
        for act in &acts {
            world.act(act);
            prop_assert!(world.spent.len() <= units as usize, "{} of {units} after {act:?}", world.spent.len());
        }
    }

    #[test]
    fn shares_come_to_all_units(units in 0_u32..500, fronts in 1_u32..400, budget in any::<u64>()) {
        let share = Share::new(BudgetId(budget), units, fronts);
        let parts: Vec<_> = (0..fronts + 3).map(|front| share.of(front)).collect();
        prop_assert_eq!(parts.iter().sum::<u32>(), units);
        // Even: no two fronts differ by more than one.
        let of_fleet = &parts[..fronts as usize];
        let (least, most) = (of_fleet.iter().min(), of_fleet.iter().max());
        prop_assert!(most.zip(least).is_some_and(|(most, least)| most - least <= 1));
        prop_assert!(share.homes_after(0).all(|home| share.of(home) > 0 && home != 0));
    }

    #[test]
    fn noise_is_no_word_or_reads_back_the_same(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        match Word::read(&bytes) {
            Ok(word) => prop_assert_eq!(Word::read(&word.write()), Ok(word)),
            Err(WordError::Long(size)) => prop_assert!(size > WORD_MAX),
            Err(WordError::Form) => prop_assert!(bytes.len() <= WORD_MAX),
        }
    }
}

/// What a check finds must be there: schedules in which units move at all, and are spent where they are not at home.
#[test]
fn units_move_to_who_wants_them_and_back() {
    let share = Share::new(BUDGET, 6, 3);
    let seeking = Seeking { every: S / 10, at_once: 2 };
    let mut hands: Vec<_> = (0..3)
        .map(|front| {
            (Escrow::new(TERMS, BUDGET, share, front, 1, 0, true), Seeker::new(seeking, share, front))
        })
        .collect();
    let mut spent = Vec::new();
    let mut run = |hands: &mut Vec<(Escrow, Seeker)>, from: Micros, wants: bool| {
        for now in (from..from + 10 * S).step_by(50_000) {
            let (hand, seeker) = &mut hands[0];
            if wants {
                let there = hand.spend(now);
                seeker.wanted(now, there, hand);
                spent.extend(there.then_some(now));
            }
            for front in 0..3_usize {
                let (hand, seeker) = &mut hands[front];
                for (to, word) in seeker.words(now, hand, |_| true) {
                    let (other, their) = &mut hands[to as usize];
                    let answer = other.hear(now, front as u32, &word, their.reserve(now, other));
                    answer.map(|answer| hands[front].0.hear(now, to, &answer, 0));
                }
            }
        }
    };
    // Two at home; one front wants all six, ten seconds long.
    run(&mut hands, 0, true);
    assert_eq!(hands[0].0.holdings().borrowed_free + hands[0].0.holdings().borrowed_spent, 4);
    run(&mut hands, 10 * S, false);
    run(&mut hands, 20 * S, false);
    let lent = |hand: &Escrow| hand.holdings().lent;
    assert_eq!(hands.iter().map(|(hand, _)| lent(hand)).sum::<u32>(), 0, "what nobody wants is at home");
    assert!(spent.len() > 50, "{} of 60", spent.len());
}

#[test]
fn a_grant_said_a_hundred_times_is_one_loan_and_one_in_anothers_name_is_none() {
    let share = Share::new(BUDGET, 8, 2);
    let [mut a, mut b] = [0, 1].map(|front| Escrow::new(TERMS, BUDGET, share, front, 5, 0, true));
    let ask = a.ask(0, 1, 3).expect("an ask");
    let grants: Vec<_> = (0..100).filter_map(|_| b.hear(1_000, 0, &ask, 0)).collect();
    assert!(grants.windows(2).all(|two| two[0] == two[1]));
    assert_eq!((grants.len(), b.holdings().lent, b.holdings().free), (100, 3, 1));
    // From another front, to another process, of another budget: nothing.
    assert_eq!(a.hear(2_000, 3, &grants[0], 0), None);
    let mut anew = Escrow::new(TERMS, BUDGET, share, 0, 6, 0, true);
    anew.ask(0, 1, 3);
    anew.hear(2_000, 1, &grants[0], 0);
    assert_eq!((a.holdings().borrowed_free, anew.holdings().borrowed_free), (0, 0));
    grants.iter().for_each(|grant| {
        a.hear(2_000, 1, grant, 0);
    });
    assert_eq!(a.holdings().borrowed_free, 3);
    // It has gone back: a late copy brings nothing here, and nothing there.
    let (_, back) = a.give_back(3_000, 0).expect("a loan");
    b.hear(4_000, 0, &back, 0);
    a.hear(5_000, 1, &grants[0], 0);
    assert_eq!((a.holdings().borrowed_free, b.holdings().lent, b.hear(5_000, 0, &ask, 0)), (0, 0, None));
    assert_eq!(b.holdings().free, 4);
}

#[test]
fn terms_that_cannot_hold_are_turned_down() {
    assert!(TERMS.check().is_ok());
    let wrong = [
        Terms { window: 0, ..TERMS },
        Terms { lease: S / 20, ..TERMS },
        Terms { drift_ppm: 200_000, ..TERMS },
    ];
    assert!(wrong.iter().all(|terms| terms.check().is_err()));
}

/// Guards against units out of order: spent, the one that a restarted home may spend went behind those that are barred
/// until the lease of the process before is over, and was not found again until then.
#[test]
fn what_a_home_never_lends_is_spent_in_each_window_after_a_restart() {
    let share = Share::new(BUDGET, 5, 1);
    let mut hand = Escrow::new(TERMS, BUDGET, share, 0, 2, 0, false);
    let spent: Vec<_> = (0..3 * S).step_by(50_000).filter(|now| hand.spend(*now)).collect();
    assert_eq!(spent, [S, 2 * S]);
    // Then all five, once a window each.
    let spent = (3 * S..6 * S).step_by(50_000).filter(|now| hand.spend(*now)).count();
    assert!(spent > 10, "{spent}");
}
