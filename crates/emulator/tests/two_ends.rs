//! Two ends of a trunk group: dual seizure, lost signals, audits, restarts.

use baydrift_emulator::{TwoEnds, TwoEndsSpec};
use baydrift_trunk::rules::Selection;
use baydrift_trunk::AuditSettings;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

fn two(spec: TwoEndsSpec) -> TwoEnds {
    TwoEnds::new(spec).expect("groups")
}

/// Every outgoing call ended in exactly one way.
fn balance(two: &TwoEnds) {
    let tally = two.tally();
    assert!(tally.violations.is_empty(), "{:?}", tally.violations);
    for end in 0..2 {
        let ended: u64 = tally.ended[end].values().sum();
        assert_eq!(
            tally.offered[end],
            tally.answered[end] + ended + tally.gave_up[end],
            "end {end}: {tally:?}"
        );
    }
}

#[test]
fn of_two_that_seize_the_last_circuit_one_proceeds_and_neither_end_starves() {
    let spec =
        TwoEndsSpec { circuits: 1, jitter: 0, hold: 50 * MS, answer: 10 * MS, ..TwoEndsSpec::default() };
    let mut alone = two(spec.clone());
    for round in 1..=1_000 {
        alone.offer_both();
        assert!(alone.run_until_idle(alone.now() + 10 * S).is_some(), "round {round}");
        // One stood, the other yielded or found no circuit: there is no other one.
        assert_eq!(alone.tally().answered.iter().sum::<u64>(), round);
    }
    balance(&alone);
    // The rule gives a dual seizure to the end that controls the circuit; that end gives way the next time.
    assert_eq!(alone.tally().answered, [500, 500]);
    let won = alone.counts(0).glare_won + alone.counts(1).glare_won;
    let lost = alone.counts(0).glare_lost + alone.counts(1).glare_lost;
    assert_eq!((won, lost), (500, 500));
    let mut two = two(TwoEndsSpec { circuits: 2, selection: Selection::Sequential, ..spec });
    for _ in 0..1_000 {
        two.offer_both();
        assert!(two.run_until_idle(two.now() + 10 * S).is_some());
    }
    balance(&two);
    assert_eq!(two.tally().answered, [1_000, 1_000], "who yields goes on by the other circuit");
}

#[test]
fn opposite_selection_makes_glare_rare() {
    let glare = |selection| {
        let spec = TwoEndsSpec {
            circuits: 64,
            rates: [40.0, 40.0],
            selection,
            delay: 20 * MS,
            ..TwoEndsSpec::default()
        };
        let mut two = two(TwoEndsSpec { hold: 500 * MS, ..spec });
        two.begin();
        two.run_until(60 * S);
        two.close();
        assert!(two.run_until_idle(two.now() + 60 * S).is_some());
        balance(&two);
        two.counts(0).glare_won + two.counts(1).glare_won
    };
    let (plain, opposite) = (glare(Selection::Sequential), glare(Selection::Opposite));
    assert!(
        plain > 100 && opposite < plain / 10,
        "{plain} with sequential, {opposite} with opposite selection"
    );
}

#[test]
fn with_losses_and_copies_each_call_ends_once_and_every_circuit_comes_free() {
    for seed in 1..=6 {
        let spec = TwoEndsSpec {
            circuits: 40,
            rates: [12.0, 12.0],
            lost: 0.01,
            doubled: 0.01,
            selection: if seed % 2 == 0 { Selection::Sequential } else { Selection::Opposite },
            audit: AuditSettings { query_interval: 500 * MS, ..AuditSettings::default() },
            seed,
            ..TwoEndsSpec::default()
        };
        let mut two = two(spec);
        two.begin();
        two.run_until(120 * S);
        two.close();
        let free = two.run_until_idle(two.now() + 900 * S);
        assert!(free.is_some(), "seed {seed}: {} busy, {:?}", two.busy(), two.tally());
        balance(&two);
    }
}

#[test]
fn an_end_that_forgot_all_is_believed_and_nothing_stays_busy() {
    for seed in 1..=4 {
        let mut two = two(TwoEndsSpec {
            circuits: 70,
            rates: [15.0, 15.0],
            lost: 0.005,
            seed,
            ..TwoEndsSpec::default()
        });
        two.restart_at(20 * S, 0);
        two.restart_at(30 * S, 1);
        two.restart_at(30 * S + 5 * MS, 0);
        two.begin();
        two.run_until(60 * S);
        two.close();
        assert!(two.run_until_idle(two.now() + 900 * S).is_some(), "seed {seed}: {:?}", two.tally());
        assert!(two.tally().violations.is_empty(), "{:?}", two.tally().violations);
        assert!(two.tally().cut > 0);
    }
}
