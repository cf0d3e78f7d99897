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
    // Rule 3: told of a drain longer than the grace before the last set-up; which servers are set up at earlier depends
    // on the day.
    let is_set_up = |line: &&Line| matches!(line.moment, Moment::SetUp { .. });
    let last = lines.iter().rfind(is_set_up).expect("one");
    let Moment::SetUp { server, front, .. } = last.moment else { unreachable!() };
    let told =
        Line { at: last.at - 1_100_000, moment: Moment::Told { server, front, ready: false, by_list: true } };
    let others = |line: &&Line| !matches!(&line.moment, Moment::Told { server: of, .. } if *of == server);
    let mut early: Vec<Line> = lines.iter().filter(others).cloned().collect();
    early.push(told);
    early.sort_by_key(|line| line.at);
    assert!(broken(&early).contains(&3));
    // Rule 4: a server fell.
    assert_eq!(with(set_up, Moment::Fall { server }), [4]);
    releases_that_get_lost_and_come_late(&lines);
}

/// An attempt that its front gave up, and one that is planted at another server after it: nothing is wrong while the
/// release was read in time. Without the release, and whatever else ended the attempt, rule 2 breaks; with a late one
/// rule 5. Whether the day itself asked again, and when, depends on its machine: so that is planted too.
fn releases_that_get_lost_and_come_late(lines: &[Line]) {
    let set_ups = lines.iter().enumerate().filter_map(|(i, line)| match &line.moment {
        Moment::SetUp { attempt, call, server, front, .. } => Some((i, attempt, call, *server, *front)),
        _ => None,
    });
    let ends = |moment: &Moment, of: &str| match moment {
        Moment::Release { attempt, .. } | Moment::Reply { attempt, .. } | Moment::Abort { attempt, .. } => {
            attempt == of
        }
        _ => false,
    };
    let mut given_up = set_ups.filter_map(|(from, attempt, call, server, front)| {
        let end = from + lines[from..].iter().position(|line| ends(&line.moment, attempt))?;
        matches!(lines[end].moment, Moment::Release { .. }).then_some((end, attempt, call, server, front))
    });
    let (end, gone, call, server, front) =
        given_up.next_back().expect("a server that hangs has attempts that are given up");
    let released = lines[end].at;
    let again = released + 400_000;
    // Up to the second set-up, without what else is known of the call then.
    let mut before: Vec<Line> = lines.iter().filter(|line| line.at < again).cloned().collect();
    before.retain(|line| match &line.moment {
        Moment::SetUp { call: other, .. } => other != call || line.at <= released,
        Moment::Answer { call: other, .. } | Moment::GiveUp { call: other, .. } => other != call,
        Moment::Hangup { call: other, .. } => other != call,
        // These end all that a server has.
        Moment::Unlinked { .. } | Moment::Die { .. } => false,
        _ => true,
    });
    let attempt = "planted".to_owned();
    let second = Moment::SetUp { server: server + 1, front, call: call.clone(), attempt, redirected: false };
    let broken = |change: &dyn Fn(&mut Vec<Line>)| {
        let mut lines = before.clone();
        change(&mut lines);
        lines.push(Line { at: again, moment: second.clone() });
        lines.sort_by_key(|line| line.at);
        let breaches = rules(&lines, Terms::default()).breaches;
        let of_it = breaches.iter().filter(|b| {
            let rest = b.text.strip_prefix(call.as_str());
            matches!(b.rule, 2 | 5) && rest.is_some_and(|rest| rest.starts_with([':', ' ']))
        });
        of_it.map(|b| b.rule).collect::<Vec<_>>()
    };
    assert_eq!(broken(&|_| {}), [0u8; 0]);
    assert_eq!(broken(&|lines| lines.retain(|line| !ends(&line.moment, gone))), [2]);
    let late = |lines: &mut Vec<Line>| {
        lines.retain(|line| !ends(&line.moment, gone));
        let release = Moment::Release { server, attempt: gone.clone() };
        lines.push(Line { at: released + 290_000, moment: release });
    };
    assert_eq!(broken(&late), [5]);
}
