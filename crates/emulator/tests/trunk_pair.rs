//! Two simulated exchanges and their trunk groups: dual seizure, lost signals, audits, restarts.

use baydrift_emulator::{TrunkPair, TrunkPairSpec};
use baydrift_trunk::rules::Selection;
use baydrift_trunk::AuditSettings;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

fn pair(spec: TrunkPairSpec) -> TrunkPair {
    TrunkPair::new(spec).expect("valid trunk groups")
}

/// Checks that every outgoing call ended in exactly one way, and that no invariant was violated.
fn assert_consistent(pair: &TrunkPair) {
    let tally = pair.tally();
    assert!(tally.violations.is_empty(), "{:?}", tally.violations);
    for end in 0..2 {
        let ended: u64 = tally.ended[end].values().sum();
        assert_eq!(
            tally.offered[end],
            tally.answered[end] + ended + tally.caller_timeouts[end],
            "end {end}: {tally:?}"
        );
    }
}

#[test]
fn dual_seizure_of_last_circuit_is_fair() {
    let spec = TrunkPairSpec {
        circuits: 1,
        jitter: 0,
        mean_hold: 50 * MS,
        mean_answer_time: 10 * MS,
        ..TrunkPairSpec::default()
    };
    let mut single = pair(spec.clone());
    for round in 1..=1_000 {
        single.offer_both();
        assert!(single.run_until_idle(single.now() + 10 * S).is_some(), "round {round}");
        // One call is answered; the other one yields or finds no circuit, as there is only one.
        assert_eq!(single.tally().answered.iter().sum::<u64>(), round);
    }
    assert_consistent(&single);
    // The end that controls the circuit wins a dual seizure, and leaves the circuit to the other end the next
    // time.
    assert_eq!(single.tally().answered, [500, 500]);
    let won = single.counts(0).glare_won + single.counts(1).glare_won;
    let lost = single.counts(0).glare_lost + single.counts(1).glare_lost;
    assert_eq!((won, lost), (500, 500));
    let mut pair = pair(TrunkPairSpec { circuits: 2, selection: Selection::Sequential, ..spec });
    for _ in 0..1_000 {
        pair.offer_both();
        assert!(pair.run_until_idle(pair.now() + 10 * S).is_some());
    }
    assert_consistent(&pair);
    assert_eq!(pair.tally().answered, [1_000, 1_000], "the call that yields is retried on the other circuit");
}

#[test]
fn opposite_selection_makes_glare_rare() {
    let glare = |selection| {
        let spec = TrunkPairSpec {
            circuits: 64,
            rates: [40.0, 40.0],
            selection,
            delay: 20 * MS,
            ..TrunkPairSpec::default()
        };
        let mut pair = pair(TrunkPairSpec { mean_hold: 500 * MS, ..spec });
        pair.start_callers();
        pair.run_until(60 * S);
        pair.stop_callers();
        assert!(pair.run_until_idle(pair.now() + 60 * S).is_some());
        assert_consistent(&pair);
        pair.counts(0).glare_won + pair.counts(1).glare_won
    };
    let (plain, opposite) = (glare(Selection::Sequential), glare(Selection::Opposite));
    assert!(
        plain > 100 && opposite < plain / 10,
        "{plain} with sequential, {opposite} with opposite selection"
    );
}

#[test]
fn circuits_are_freed_despite_lost_and_duplicated_signals() {
    for seed in 1..=6 {
        let spec = TrunkPairSpec {
            circuits: 40,
            rates: [12.0, 12.0],
            lost: 0.01,
            doubled: 0.01,
            selection: if seed % 2 == 0 { Selection::Sequential } else { Selection::Opposite },
            audit: AuditSettings { query_interval: 500 * MS, ..AuditSettings::default() },
            seed,
            ..TrunkPairSpec::default()
        };
        let mut pair = pair(spec);
        pair.start_callers();
        pair.run_until(120 * S);
        pair.stop_callers();
        let free = pair.run_until_idle(pair.now() + 900 * S);
        assert!(free.is_some(), "seed {seed}: {} busy, {:?}", pair.busy(), pair.tally());
        assert_consistent(&pair);
    }
}

#[test]
fn restarted_ends_leave_no_circuit_busy() {
    for seed in 1..=4 {
        let mut pair = pair(TrunkPairSpec {
            circuits: 70,
            rates: [15.0, 15.0],
            lost: 0.005,
            seed,
            ..TrunkPairSpec::default()
        });
        pair.restart_at(20 * S, 0);
        pair.restart_at(30 * S, 1);
        pair.restart_at(30 * S + 5 * MS, 0);
        pair.start_callers();
        pair.run_until(60 * S);
        pair.stop_callers();
        assert!(pair.run_until_idle(pair.now() + 900 * S).is_some(), "seed {seed}: {:?}", pair.tally());
        assert!(pair.tally().violations.is_empty(), "{:?}", pair.tally().violations);
        assert!(pair.tally().dropped > 0);
    }
}
