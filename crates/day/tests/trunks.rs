//! Days with trunk groups in virtual time: both ends offer calls over the same circuits, and the five rules hold.

mod planting;

use baydrift_audit::{Excuse, RecordEvent};
use baydrift_day::{drawn, parse, run_on_sockets, run_virtual, Day, Outcome};

fn day(seed: u64) -> Day {
    Day { seed, ..parse("trunks.kdl", include_str!("../../../days/trunks.kdl")).expect("a script") }
}

fn play(day: &Day) -> Outcome {
    run_virtual(day, |_, _| {}).expect("a day")
}

#[test]
fn the_rules_hold_on_calls_over_trunks() {
    for seed in 1..=3 {
        for day in [day(seed), drawn(&day(seed))] {
            let verdict = play(&day).verdict;
            assert!(verdict.passed(), "seed {seed}, {:?}: {:?}", day.troubles, verdict.breaches);
            // All that is excused shows its reason in the record.
            let known = [Excuse::Parted, Excuse::Held, Excuse::Stalled, Excuse::RecordEnds];
            assert!(verdict.excused.keys().all(|why| known.contains(why)), "{:?}", verdict.excused);
        }
    }
}

#[test]
fn calls_go_both_ways_over_the_same_circuits() {
    let outcome = play(&Day { troubles: Vec::new(), ..day(1) });
    let (mut there, mut from_there, mut stand) = (0, 0, 0);
    for line in &outcome.lines {
        match &line.event {
            RecordEvent::SetUp { server, .. } if *server >= 2 => there += 1,
            RecordEvent::Offer { call, .. } if call.starts_with("s2.") || call.starts_with("s3.") => {
                from_there += 1
            }
            RecordEvent::Answer { call, code: 2001, .. } if call.starts_with("s") => stand += 1,
            _ => {}
        }
    }
    assert!(there > 200 && from_there > 200 && stand > from_there / 2, "{there} {from_there} {stand}");
    assert!(outcome.verdict.passed() && outcome.verdict.excused.is_empty(), "{:?}", outcome.verdict.excused);
}

#[test]
fn equal_days_give_equal_records() {
    assert_eq!(play(&day(4)).lines, play(&day(4)).lines);
}

#[test]
fn a_breach_planted_in_a_day_over_trunks_is_found() {
    planting::every_planted_breach_is_found(play(&day(5)).lines);
}

#[tokio::test]
async fn the_rules_hold_on_sockets() {
    let text = "day seconds=4 seed=2 fronts=2 watchdog=\"400ms\" list-lag=\"300ms\"\n\
                servers count=3 rate=60 most-wait=\"2.5s\" trunked=2 circuits=12 incoming=20\n\
                calls per-second=50 redials=1 redial-wait=\"500ms\"\n\
                class \"c\" hold=\"400ms\" aim=\"2s\" gives-up=\"3s\"\npublisher \"p\"\n\
                link-down at=\"1s\" server=1 for=\"400ms\"\n\
                die at=\"2s\" server=2 back-after=\"300ms\"\n";
    let outcome =
        run_on_sockets(&parse("trunks.kdl", text).expect("a script"), |_, _| {}).await.expect("a day");
    assert!(outcome.verdict.passed(), "{:?}", outcome.verdict.breaches);
    let over = |m: &RecordEvent| matches!(m, RecordEvent::SetUp { server: 1 | 2, .. });
    assert!(outcome.lines.iter().filter(|line| over(&line.event)).count() > 20);
}
