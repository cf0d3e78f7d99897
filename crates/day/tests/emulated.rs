//! Days in virtual time: they repeat, they keep the rules, and what breaks one shows.

use baydrift_audit::{rules, write_record, Line, Moment, Terms};
use baydrift_day::{drawn, parse, run_virtual, Day, Outcome};

fn day(name: &str, text: &str, seed: u64) -> Day {
    Day { seed, ..parse(name, text).expect("a script") }
}

fn short(seed: u64) -> Day {
    day("short.kdl", include_str!("../../../days/short.kdl"), seed)
}

fn both(seed: u64) -> Day {
    day("both.kdl", include_str!("../../../days/both.kdl"), seed)
}

fn play(day: &Day) -> Outcome {
    run_virtual(day, |_, _| {}).expect("a day")
}

fn bytes(outcome: &Outcome) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_record(&outcome.lines, &mut bytes).expect("memory");
    bytes
}

#[test]
fn the_same_seed_gives_the_same_record_to_the_byte() {
    let record = |seed| bytes(&play(&both(seed)));
    assert_eq!(record(3), record(3));
    assert_ne!(record(3), record(4));
}

#[test]
fn the_rules_hold_under_the_script_and_under_drawn_troubles() {
    for seed in 1..=3 {
        for day in [short(seed), both(seed), drawn(&short(seed)), drawn(&both(seed))] {
            let verdict = play(&day).verdict;
            assert!(verdict.kept(), "seed {seed}, {:?}: {:?}", day.troubles, verdict.breaches);
            assert!(verdict.calls > 500);
        }
    }
}

/// What made rule 2 break on sockets in one run of thirty: a server that hung and came back, a quiet spell hours
/// later, and a watchdog counted as unanswered that was sent in the hang. By the seeds that show it.
#[test]
fn a_server_that_only_seems_dead_is_told_before_another_is_asked() {
    let text = "day seconds=9 fronts=1 watchdog=\"600ms\"\n\
                servers count=2 rate=40 most-wait=\"2.5s\"\n\
                calls per-second=12 redials=0\n\
                class \"c\" hold=\"1s\" aim=\"2s\" gives-up=\"3s\"\npublisher \"p\"\n\
                hang at=\"1s\" server=0 for=\"900ms\"\n\
                hang at=\"3s\" server=1 for=\"1200ms\"\n\
                link-stalled at=\"5s\" server=0 for=\"1500ms\"\n\
                pause at=\"7s\" server=0 for=\"1300ms\"\n";
    let (mut releases, mut mute) = (0, 0);
    for seed in 1..=10 {
        let outcome = play(&day("seems-dead.kdl", text, seed));
        assert!(outcome.verdict.kept(), "seed {seed}: {:?}", outcome.verdict.breaches);
        releases += outcome.lines.iter().filter(|l| matches!(l.moment, Moment::Release { .. })).count();
        mute += outcome.lines.iter().filter(|l| matches!(l.moment, Moment::Mute { .. })).count();
    }
    assert!(releases > 0 && mute > 0);
}

fn broken(lines: &[Line]) -> Vec<u8> {
    let mut rules: Vec<_> = rules(lines, Terms::default()).breaches.iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

/// A breach of each rule, planted in the record of a whole day, is found in it and alone.
#[test]
fn a_breach_planted_in_a_days_record_is_found() {
    let lines = play(&both(5)).lines;
    assert!(broken(&lines).is_empty());
    let place = |is: &dyn Fn(&Moment) -> bool| lines.iter().position(|line| is(&line.moment)).expect("one");
    let with = |at: usize, moment: Moment| {
        let mut lines = lines.clone();
        let at = lines[at].at;
        let place = lines.partition_point(|line| line.at <= at);
        lines.insert(place, Line { at, moment });
        broken(&lines)
    };
    // Rule 1: an answer is missing; another one follows.
    let answer = place(&|m| matches!(m, Moment::Answer { code: 2001, call, .. } if !call.starts_with('<')));
    let Moment::Answer { front, call, .. } = lines[answer].moment.clone() else { unreachable!() };
    let mut without = lines.clone();
    without.retain(|line| !matches!(&line.moment, Moment::Answer { call: other, .. } if *other == call));
    assert_eq!(broken(&without), [1]);
    assert_eq!(with(answer, Moment::Answer { front, call, code: 5012 }), [1]);
    // Rule 2: the same call goes out again at once.
    let set_up = place(&|m| matches!(m, Moment::SetUp { .. }));
    let Moment::SetUp { server, front, call, .. } = lines[set_up].moment.clone() else { unreachable!() };
    let attempt = "planted".to_owned();
    let second = Moment::SetUp { server, front, call, attempt, redirected: false };
    assert!(with(set_up, second).contains(&2));
    // Rule 3: told of a drain long before.
    let told = Line { at: 0, moment: Moment::Told { server, front, ready: false, by_list: true } };
    let early = [&[told], &lines[..]].concat();
    assert!(broken(&early).contains(&3));
    // Rule 4: a server fell.
    assert_eq!(with(set_up, Moment::Fall { server }), [4]);
    // Rules 2 and 5: releases get lost, and come late.
    let is_early = |line: &&Line| matches!(line.moment, Moment::Release { .. });
    let mut lost = lines.clone();
    lost.retain(|line| !is_early(&line));
    assert!(broken(&lost).contains(&2), "{:?}", broken(&lost));
    let mut late = lines.clone();
    for line in late.iter_mut().filter(|line| matches!(line.moment, Moment::Release { .. })) {
        line.at += 290_000;
    }
    late.sort_by_key(|line| line.at);
    let late = broken(&late);
    assert!(late.contains(&5) || late.contains(&2), "{late:?}");
}
