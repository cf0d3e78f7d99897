//! Simulated fleets and their membership protocol: each front's view of which fronts are alive.

use baydrift_emulator::{
    random_membership_faults, simulate_membership, MembershipFault, MembershipSpec, NetworkPathSpec,
};
use baydrift_fleet::MembershipConfig;

const S: u64 = 1_000_000;

fn spec(fronts: u32, seconds: u64, lost: f64, faults: Vec<(u64, u32, MembershipFault)>) -> MembershipSpec {
    let way = NetworkPathSpec { delay: 5_000, jitter: 10_000, lost, doubled: 0.02, reordered: 0.05, rate: 0 };
    MembershipSpec {
        fronts,
        config: MembershipConfig::default(),
        way,
        duration: seconds * S,
        faults,
        seed: 7,
    }
}

#[test]
fn membership_converges_without_false_positives_under_loss() {
    let tally = simulate_membership(&spec(30, 60, 0.1, Vec::new()));
    assert!(tally.converged_after(0).is_some_and(|us| us < 15 * S), "{:?}", tally.converged_after(0));
    assert_eq!((tally.false_positives, tally.rejected_messages), (0, 0));
    assert!(tally.max_message_bytes <= 255);
}

#[test]
fn mass_crash_and_restart_are_detected() {
    let mut faults: Vec<_> = (0..21).map(|front| (20 * S, front, MembershipFault::Crash(None, 0))).collect();
    let dead = simulate_membership(&spec(30, 60, 0.1, faults.clone()));
    assert!(dead.converged_after(20 * S).is_some_and(|us| us < 20 * S), "{:?}", dead.converged_after(20 * S));
    faults.iter_mut().for_each(|fault| fault.2 = MembershipFault::Crash(Some(50_000), 0));
    let back = simulate_membership(&spec(30, 60, 0.1, faults));
    assert!(back.converged_after(20 * S).is_some_and(|us| us < 12 * S), "{:?}", back.converged_after(20 * S));
}

#[test]
fn restart_with_clock_set_back_rejoins() {
    let faults = vec![(20 * S, 3, MembershipFault::Crash(Some(50_000), -36_000))];
    let tally = simulate_membership(&spec(12, 60, 0.0, faults));
    assert!(
        tally.converged_after(20 * S).is_some_and(|us| us < 20 * S),
        "{:?}",
        tally.converged_after(20 * S)
    );
}

#[test]
fn paused_front_does_not_declare_others_down() {
    let short = simulate_membership(&spec(12, 40, 0.0, vec![(20 * S, 3, MembershipFault::Pause(2 * S))]));
    assert_eq!(short.false_positives, 0);
    // A front that pauses longer than the suspicion timeout counts as down until it sends messages again.
    let long = simulate_membership(&spec(12, 60, 0.0, vec![(20 * S, 4, MembershipFault::Pause(8 * S))]));
    assert!(long.converged_after(28 * S).is_some_and(|us| us < 6 * S), "{:?}", long.converged_after(28 * S));
}

#[test]
fn partitioned_fleet_merges_again() {
    let tally =
        simulate_membership(&spec(20, 90, 0.05, vec![(20 * S, 8, MembershipFault::Partition(20 * S))]));
    assert!(
        tally.converged_after(40 * S).is_some_and(|us| us < 30 * S),
        "{:?}",
        tally.converged_after(40 * S)
    );
}

#[test]
fn views_converge_within_a_minute_after_random_faults() {
    for seed in 0..40 {
        let faults = random_membership_faults(12, 30 * S, seed);
        let tally = simulate_membership(&MembershipSpec { seed, ..spec(12, 100, 0.1, faults.clone()) });
        assert!(tally.converged_after(38 * S).is_some(), "seed {seed}: {faults:?}");
    }
}
