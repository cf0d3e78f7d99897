//! Breaches planted in the record of a whole day, whoever drove it.

use baydrift_audit::{rules, Line, Moment, Terms};

fn broken(lines: &[Line]) -> Vec<u8> {
    let mut rules: Vec<_> = rules(lines, Terms::default()).breaches.iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

/// A breach of each rule, planted in a day's record, is found in it.
pub fn every_planted_breach_is_found(lines: Vec<Line>) {
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
