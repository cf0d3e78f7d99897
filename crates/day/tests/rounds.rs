//! Two exchanges on loopback that seize the same circuits at the same time.

use std::time::Duration;

use baydrift_day::{run_rounds, RoundsSpec};
use baydrift_trunk::rules::Selection;

#[tokio::test]
async fn all_circuits_are_idle_after_dual_seizures() {
    let spec = RoundsSpec {
        rounds: 150,
        circuits: 3,
        selection: Selection::Sequential,
        lost: 0.01,
        duplicated: 0.01,
        caller_timeout: Duration::from_secs(2),
        timer_divisor: 100,
        seed: 7,
    };
    let tally = run_rounds(&spec, |_| {}).await.expect("exchanges");
    assert!(tally.violations.is_empty(), "{:?}", tally.violations);
    assert!(tally.idle_after.is_some(), "{:?}", tally.states);
    let ended: u64 = tally.ended.values().sum();
    assert_eq!(tally.answered.iter().sum::<u64>() + ended + tally.timed_out, 300, "{tally:?}");
    assert!(tally.answered.iter().sum::<u64>() > 200, "{tally:?}");
}
