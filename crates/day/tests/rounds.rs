//! Two exchanges on loopback that seize the same circuits at the same moments.

use std::time::Duration;

use baydrift_day::{run_rounds, RoundsSpec};
use baydrift_trunk::rules::Selection;

#[tokio::test]
async fn two_exchanges_on_sockets_seize_the_same_circuits_and_every_one_comes_free() {
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
