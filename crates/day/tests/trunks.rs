//! Runs with trunk groups: both ends offer calls over the same circuits, and the five audit rules hold.

mod injection;

use baydrift_audit::{Excuse, RecordEvent};
use baydrift_day::{parse, run_on_sockets, run_virtual, with_random_faults, Outcome, Scenario};

fn scenario(seed: u64) -> Scenario {
    Scenario {
        seed,
        ..parse("trunks.kdl", include_str!("../../../days/trunks.kdl")).expect("a valid scenario")
    }
}

fn play(scenario: &Scenario) -> Outcome {
    run_virtual(scenario, |_, _| {}).expect("a run")
}

#[test]
fn rules_hold_on_calls_over_trunks() {
    for seed in 1..=3 {
        for scenario in [scenario(seed), with_random_faults(&scenario(seed))] {
            let verdict = play(&scenario).verdict;
            assert!(verdict.passed(), "seed {seed}, {:?}: {:?}", scenario.faults, verdict.breaches);
            // Calls are excused only for events that the record shows.
            let expected = [Excuse::Parted, Excuse::Held, Excuse::Stalled, Excuse::RecordEnds];
            assert!(verdict.excused.keys().all(|excuse| expected.contains(excuse)), "{:?}", verdict.excused);
        }
    }
}

#[test]
fn both_ends_offer_calls_over_the_same_circuits() {
    let outcome = play(&Scenario { faults: Vec::new(), ..scenario(1) });
    let (mut outgoing, mut incoming, mut established) = (0, 0, 0);
    for line in &outcome.lines {
        match &line.event {
            RecordEvent::SetUp { server, .. } if *server >= 2 => outgoing += 1,
            RecordEvent::Offer { call, .. } if call.starts_with("s2.") || call.starts_with("s3.") => {
                incoming += 1
            }
            RecordEvent::Answer { call, code: 2001, .. } if call.starts_with("s") => established += 1,
            _ => {}
        }
    }
    assert!(
        outgoing > 200 && incoming > 200 && established > incoming / 2,
        "{outgoing} {incoming} {established}"
    );
    assert!(outcome.verdict.passed() && outcome.verdict.excused.is_empty(), "{:?}", outcome.verdict.excused);
}

#[test]
fn same_seed_gives_identical_record_over_trunks() {
    assert_eq!(play(&scenario(4)).lines, play(&scenario(4)).lines);
}

#[test]
fn injected_breaches_are_found_in_record_with_trunks() {
    injection::assert_injected_breaches_found(play(&scenario(5)).lines);
}

#[tokio::test]
async fn rules_hold_over_trunks_on_sockets() {
    let text = "day seconds=4 seed=2 fronts=2 watchdog=\"400ms\" list-lag=\"300ms\"\n\
                servers count=3 rate=60 most-wait=\"2.5s\" trunked=2 circuits=12 incoming=20\n\
                calls per-second=50 redials=1 redial-wait=\"500ms\"\n\
                class \"c\" hold=\"400ms\" aim=\"2s\" gives-up=\"3s\"\npublisher \"p\"\n\
                link-down at=\"1s\" server=1 for=\"400ms\"\n\
                die at=\"2s\" server=2 back-after=\"300ms\"\n";
    let outcome = run_on_sockets(&parse("trunks.kdl", text).expect("a valid scenario"), |_, _| {})
        .await
        .expect("a run");
    assert!(outcome.verdict.passed(), "{:?}", outcome.verdict.breaches);
    let over_trunk = |event: &RecordEvent| matches!(event, RecordEvent::SetUp { server: 1 | 2, .. });
    assert!(outcome.lines.iter().filter(|line| over_trunk(&line.event)).count() > 20);
}
