//! Breaches planted in the record of a whole day, whoever drove it.

use baydrift_audit::{rules, RecordEntry, RecordEvent, RuleLimits};

fn broken(lines: &[RecordEntry]) -> Vec<u8> {
    let mut rules: Vec<_> = rules(lines, RuleLimits::default()).breaches.iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

/// A breach of each rule, planted in a day's record, is found in it.
pub fn every_planted_breach_is_found(lines: Vec<RecordEntry>) {
    assert!(broken(&lines).is_empty());
    let place =
        |is: &dyn Fn(&RecordEvent) -> bool| lines.iter().position(|line| is(&line.event)).expect("one");
    let with = |at: usize, moment: RecordEvent| {
        let mut lines = lines.clone();
        let at = lines[at].at;
        let place = lines.partition_point(|line| line.at <= at);
        lines.insert(place, RecordEntry { at, event: moment });
        broken(&lines)
    };
    // Rule 1: an answer is missing; another one follows.
    let answer =
        place(&|m| matches!(m, RecordEvent::Answer { code: 2001, call, .. } if !call.starts_with('<')));
    let RecordEvent::Answer { front, call, .. } = lines[answer].event.clone() else { unreachable!() };
    let mut without = lines.clone();
    without.retain(|line| !matches!(&line.event, RecordEvent::Answer { call: other, .. } if *other == call));
    assert_eq!(broken(&without), [1]);
    assert_eq!(with(answer, RecordEvent::Answer { front, call, code: 5012 }), [1]);
    // Rule 2: the same call goes out again at once.
    let set_up = place(&|m| matches!(m, RecordEvent::SetUp { .. }));
    let RecordEvent::SetUp { server, front, call, .. } = lines[set_up].event.clone() else { unreachable!() };
    let attempt = "planted".to_owned();
    let second = RecordEvent::SetUp { server, front, call, attempt, redirected: false };
    assert!(with(set_up, second).contains(&2));
    // Rule 3: told of a drain longer than the grace before the last set-up; which servers are set up at earlier depends
    // on the day.
    let is_set_up = |line: &&RecordEntry| matches!(line.event, RecordEvent::SetUp { .. });
    let last = lines.iter().rfind(is_set_up).expect("one");
    let RecordEvent::SetUp { server, front, .. } = last.event else { unreachable!() };
    let told = RecordEntry {
        at: last.at - 1_100_000,
        event: RecordEvent::ReadinessReported { server, front, ready: false, by_list: true },
    };
    let others = |line: &&RecordEntry| !matches!(&line.event, RecordEvent::ReadinessReported { server: of, .. } if *of == server);
    let mut early: Vec<RecordEntry> = lines.iter().filter(others).cloned().collect();
    early.push(told);
    early.sort_by_key(|line| line.at);
    assert!(broken(&early).contains(&3));
    // Rule 4: a server fell.
    assert_eq!(with(set_up, RecordEvent::ServerOverloaded { server }), [4]);
    releases_that_get_lost_and_come_late(&lines);
}

/// An attempt that its front gave up, and one that is planted at another server after it: nothing is wrong while the
/// release was read in time. Without the release, and whatever else ended the attempt, rule 2 breaks; with a late one
/// rule 5. Whether the day itself asked again, and when, depends on its machine: so that is planted too.
fn releases_that_get_lost_and_come_late(lines: &[RecordEntry]) {
    let set_ups = lines.iter().enumerate().filter_map(|(i, line)| match &line.event {
        RecordEvent::SetUp { attempt, call, server, front, .. } => Some((i, attempt, call, *server, *front)),
        _ => None,
    });
    let ends = |moment: &RecordEvent, of: &str| match moment {
        RecordEvent::Release { attempt, .. }
        | RecordEvent::Reply { attempt, .. }
        | RecordEvent::Abort { attempt, .. } => attempt == of,
        _ => false,
    };
    let mut given_up = set_ups.filter_map(|(from, attempt, call, server, front)| {
        let end = from + lines[from..].iter().position(|line| ends(&line.event, attempt))?;
        matches!(lines[end].event, RecordEvent::Release { .. }).then_some((end, attempt, call, server, front))
    });
    let (end, gone, call, server, front) =
        given_up.next_back().expect("a server that hangs has attempts that are given up");
    let released = lines[end].at;
    let again = released + 400_000;
    // Up to the second set-up, without what else is known of the call then.
    let mut before: Vec<RecordEntry> = lines.iter().filter(|line| line.at < again).cloned().collect();
    before.retain(|line| match &line.event {
        RecordEvent::SetUp { call: other, .. } => other != call || line.at <= released,
        RecordEvent::Answer { call: other, .. } | RecordEvent::CallerTimeout { call: other, .. } => {
            other != call
        }
        RecordEvent::Hangup { call: other, .. } => other != call,
        // These end all that a server has.
        RecordEvent::Disconnected { .. } | RecordEvent::ServerExited { .. } => false,
        _ => true,
    });
    let attempt = "planted".to_owned();
    let second =
        RecordEvent::SetUp { server: server + 1, front, call: call.clone(), attempt, redirected: false };
    let broken = |change: &dyn Fn(&mut Vec<RecordEntry>)| {
        let mut lines = before.clone();
        change(&mut lines);
        lines.push(RecordEntry { at: again, event: second.clone() });
        lines.sort_by_key(|line| line.at);
        let breaches = rules(&lines, RuleLimits::default()).breaches;
        let of_it = breaches.iter().filter(|b| {
            let rest = b.text.strip_prefix(call.as_str());
            matches!(b.rule, 2 | 5) && rest.is_some_and(|rest| rest.starts_with([':', ' ']))
        });
        of_it.map(|b| b.rule).collect::<Vec<_>>()
    };
    assert_eq!(broken(&|_| {}), [0u8; 0]);
    assert_eq!(broken(&|lines| lines.retain(|line| !ends(&line.event, gone))), [2]);
    let late = |lines: &mut Vec<RecordEntry>| {
        lines.retain(|line| !ends(&line.event, gone));
        let release = RecordEvent::Release { server, attempt: gone.clone() };
        lines.push(RecordEntry { at: released + 290_000, event: release });
    };
    assert_eq!(broken(&late), [5]);
}
