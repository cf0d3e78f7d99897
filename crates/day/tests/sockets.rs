//! A short run on sockets, and breaches injected into its record.

mod injection;

use baydrift_day::{parse, run_on_sockets};

const SCENARIO: &str = "day seconds=4 fronts=1 watchdog=\"400ms\" list-lag=\"300ms\"
servers count=2 rate=60 most-wait=\"2.5s\"
calls per-second=60 redials=1 redial-wait=\"500ms\"
class \"c\" hold=\"500ms\" aim=\"2s\" gives-up=\"3s\"
publisher \"p\"
hang at=\"500ms\" server=0 for=\"2s\"
";

#[tokio::test]
async fn injected_breaches_are_found_on_sockets() {
    let scenario = parse("day.kdl", SCENARIO).expect("a valid scenario");
    let outcome = run_on_sockets(&scenario, |_, _| {}).await.expect("a run");
    assert!(outcome.verdict.passed(), "{:?}", outcome.verdict.breaches);
    injection::assert_injected_breaches_found(outcome.lines);
}
