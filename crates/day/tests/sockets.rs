//! A short day on sockets, and breaches planted in its record.

mod planting;

use baydrift_day::{parse, run_on_sockets};

const DAY: &str = "day seconds=4 fronts=1 watchdog=\"400ms\" list-lag=\"300ms\"
servers count=2 rate=60 most-wait=\"2.5s\"
calls per-second=60 redials=1 redial-wait=\"500ms\"
class \"c\" hold=\"500ms\" aim=\"2s\" gives-up=\"3s\"
publisher \"p\"
hang at=\"500ms\" server=0 for=\"2s\"
";

#[tokio::test]
async fn a_breach_planted_in_a_record_of_sockets_is_found() {
    let day = parse("day.kdl", DAY).expect("a script");
    let outcome = run_on_sockets(&day, |_, _| {}).await.expect("a day");
    assert!(outcome.verdict.passed(), "{:?}", outcome.verdict.breaches);
    planting::every_planted_breach_is_found(outcome.lines);
}
