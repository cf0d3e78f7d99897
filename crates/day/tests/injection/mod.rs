//! Breaches injected into the record of a whole run, for any driver.

use baydrift_audit::{rules, RecordEntry, RecordEvent, RuleLimits};

fn broken_rules(lines: &[RecordEntry]) -> Vec<u8> {
    let mut rules: Vec<_> = rules(lines, RuleLimits::default()).breaches.iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

/// Checks that the audit finds a breach of each rule injected into the record of a run without breaches.
pub fn assert_injected_breaches_found(lines: Vec<RecordEntry>) {
    assert!(broken_rules(&lines).is_empty());
    let first = |matches: &dyn Fn(&RecordEvent) -> bool| {
        lines.iter().position(|line| matches(&line.event)).expect("an event of that kind")
    };
    let broken_with = |at: usize, event: RecordEvent| {
        let mut lines = lines.clone();
        let at = lines[at].at;
        let index = lines.partition_point(|line| line.at <= at);
        lines.insert(index, RecordEntry { at, event });
        broken_rules(&lines)
    };
    // Rule 1: an answer is missing; a second answer follows.
    let answer = first(
        &|event| matches!(event, RecordEvent::Answer { code: 2001, call, .. } if !call.starts_with('<')),
    );
    let RecordEvent::Answer { front, call, .. } = lines[answer].event.clone() else { unreachable!() };
    let mut without = lines.clone();
    without.retain(|line| !matches!(&line.event, RecordEvent::Answer { call: other, .. } if *other == call));
    assert_eq!(broken_rules(&without), [1]);
    assert_eq!(broken_with(answer, RecordEvent::Answer { front, call, code: 5012 }), [1]);
    // Rule 2: a second attempt of the same call while the first is in flight.
    let set_up = first(&|event| matches!(event, RecordEvent::SetUp { .. }));
    let RecordEvent::SetUp { server, front, call, .. } = lines[set_up].event.clone() else { unreachable!() };
    let attempt = "injected".to_owned();
    let second = RecordEvent::SetUp { server, front, call, attempt, redirected: false };
    assert!(broken_with(set_up, second).contains(&2));
    // Rule 3: the drain of a server is reported 1.1 s, more than the grace period, before the last set-up.
    // The servers of earlier set-ups depend on the run.
    let is_set_up = |line: &&RecordEntry| matches!(line.event, RecordEvent::SetUp { .. });
    let last = lines.iter().rfind(is_set_up).expect("a set-up");
    let RecordEvent::SetUp { server, front, .. } = last.event else { unreachable!() };
    let drain = RecordEntry {
        at: last.at - 1_100_000,
        event: RecordEvent::ReadinessReported { server, front, ready: false, by_list: true },
    };
    let others = |line: &&RecordEntry| !matches!(&line.event, RecordEvent::ReadinessReported { server: other, .. } if *other == server);
    let mut with_drain: Vec<RecordEntry> = lines.iter().filter(others).cloned().collect();
    with_drain.push(drain);
    with_drain.sort_by_key(|line| line.at);
    assert!(broken_rules(&with_drain).contains(&3));
    // Rule 4: a cold server failed under overload.
    assert_eq!(broken_with(set_up, RecordEvent::ServerOverloaded { server }), [4]);
    assert_lost_and_late_releases_found(&lines);
}

/// Injects a second attempt at another server after a front cancelled the first one, since whether and when
/// the run itself retried depends on the machine. There is no breach if the release was read in time.
/// Without the release and any other end of the first attempt rule 2 is broken; with a late release rule 5.
fn assert_lost_and_late_releases_found(lines: &[RecordEntry]) {
    let set_ups = lines.iter().enumerate().filter_map(|(i, line)| match &line.event {
        RecordEvent::SetUp { attempt, call, server, front, .. } => Some((i, attempt, call, *server, *front)),
        _ => None,
    });
    let ends = |event: &RecordEvent, ended: &str| match event {
        RecordEvent::Release { attempt, .. }
        | RecordEvent::Reply { attempt, .. }
        | RecordEvent::Abort { attempt, .. } => attempt == ended,
        _ => false,
    };
    let mut cancelled = set_ups.filter_map(|(from, attempt, call, server, front)| {
        let end = from + lines[from..].iter().position(|line| ends(&line.event, attempt))?;
        matches!(lines[end].event, RecordEvent::Release { .. }).then_some((end, attempt, call, server, front))
    });
    let (end, first, call, server, front) =
        cancelled.next_back().expect("a cancelled attempt at the server that hangs");
    let released = lines[end].at;
    let retried = released + 400_000;
    // The record up to the second set-up, without later events of the same call.
    let mut before: Vec<RecordEntry> = lines.iter().filter(|line| line.at < retried).cloned().collect();
    before.retain(|line| match &line.event {
        RecordEvent::SetUp { call: other, .. } => other != call || line.at <= released,
        RecordEvent::Answer { call: other, .. } | RecordEvent::CallerTimeout { call: other, .. } => {
            other != call
        }
        RecordEvent::Hangup { call: other, .. } => other != call,
        // These events end all attempts at a server.
        RecordEvent::Disconnected { .. } | RecordEvent::ServerExited { .. } => false,
        _ => true,
    });
    let attempt = "injected".to_owned();
    let second =
        RecordEvent::SetUp { server: server + 1, front, call: call.clone(), attempt, redirected: false };
    let broken_after = |change: &dyn Fn(&mut Vec<RecordEntry>)| {
        let mut lines = before.clone();
        change(&mut lines);
        lines.push(RecordEntry { at: retried, event: second.clone() });
        lines.sort_by_key(|line| line.at);
        let breaches = rules(&lines, RuleLimits::default()).breaches;
        let of_call = breaches.iter().filter(|b| {
            let rest = b.text.strip_prefix(call.as_str());
            matches!(b.rule, 2 | 5) && rest.is_some_and(|rest| rest.starts_with([':', ' ']))
        });
        of_call.map(|b| b.rule).collect::<Vec<_>>()
    };
    assert_eq!(broken_after(&|_| {}), [0u8; 0]);
    assert_eq!(broken_after(&|lines| lines.retain(|line| !ends(&line.event, first))), [2]);
    let late = |lines: &mut Vec<RecordEntry>| {
        lines.retain(|line| !ends(&line.event, first));
        let release = RecordEvent::Release { server, attempt: first.clone() };
        lines.push(RecordEntry { at: released + 290_000, event: release });
    };
    assert_eq!(broken_after(&late), [5]);
}
