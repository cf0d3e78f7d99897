//! Totals over all fronts: each bound detects a record that exceeds it.

use baydrift_audit::{sums, RecordEntry, RecordEvent, ServerCapacity, SumLimits};

const MS: u64 = 1_000;

fn limits() -> SumLimits {
    let server = ServerCapacity {
        rate: 100.0,
        cold_from: 0.5,
        ramp: 4_000 * MS,
        fall_multiple: 2.0,
        fall_time: 1_000 * MS,
    };
    SumLimits { servers: vec![server; 2], fronts: 2, ..SumLimits::default() }
}

fn record(events: impl IntoIterator<Item = (u64, RecordEvent)>) -> Vec<RecordEntry> {
    let mut lines: Vec<_> =
        events.into_iter().map(|(ms, event)| RecordEntry { at: ms * MS, event }).collect();
    lines.sort_by_key(|line| line.at);
    lines
}

fn set_up(at: u64, server: u16) -> (u64, RecordEvent) {
    let attempt = format!("a{at}");
    (at, RecordEvent::SetUp { server, front: 0, call: format!("c|{at}"), attempt, redirected: false })
}

fn offer(at: u64) -> (u64, RecordEvent) {
    let call = format!("c|{at}");
    let event = RecordEvent::Offer {
        front: 0,
        call,
        first: None,
        class: 0,
        publisher: 0,
        hot: false,
        caller_timeout_us: 3_000 * MS,
    };
    (at, event)
}

fn answer(at: u64, of: u64, code: u32) -> (u64, RecordEvent) {
    (at, RecordEvent::Answer { front: 0, call: format!("c|{of}"), code })
}

#[test]
fn connections_and_gossip_count_over_all_fronts() {
    let link_up = |at: u64, front: u32| (at, RecordEvent::LinkUp { server: 1, front });
    let link_down = |at: u64, front: u32| (at, RecordEvent::LinkDown { server: 1, front });
    let mut events =
        vec![link_up(0, 0), link_up(10, 1), link_down(500, 0), link_up(900, 0), link_up(1_500, 1)];
    events.extend((0..6).map(|n| (n * 100, RecordEvent::GossipSent { from: 0, to: 1, bytes: 60 })));
    let found = sums(&record(events.clone()), &limits());
    // Three open at once; three opened within the first second; six gossip datagrams of two fronts.
    assert_eq!((found.open, found.opened, found.gossip_rate), (3, 3, 3.0));
    assert!(found.exceeded.is_empty());
    let tight = SumLimits { open: Some(2), opened: Some(2), gossip_rate: Some(2.5), ..limits() };
    assert_eq!(sums(&record(events), &tight).exceeded.len(), 3);
}

#[test]
fn overload_of_cold_server_is_detected_before_collapse() {
    let cold = (0, RecordEvent::ServerStarted { server: 0, cold: true });
    let load = |all: u64| record((0..all).map(|n| set_up(1 + n * 900 / all, 0)).chain([cold.clone()]));
    // It starts at half of 100 set-ups per second and collapses at twice that within a second.
    assert!(sums(&load(99), &limits()).exceeded.is_empty());
    let found = sums(&load(101), &limits());
    assert!(found.cold > 1.0 && found.exceeded.len() == 1, "{found:?}");
    // The bound for cold servers does not apply to a warm one, but the one on the overshoot does.
    let warm = record((0..150).map(|n| set_up(1 + n * 6, 1)));
    let found = sums(&warm, &SumLimits { overshoot: Some(1.2), ..limits() });
    assert_eq!((found.cold, found.exceeded.len()), (0.0, 1));
    assert!((found.overshoot - 1.5).abs() < 0.01, "{found:?}");
}

#[test]
fn attempts_are_counted_per_first_offer() {
    let lines =
        record([offer(0), set_up(1, 0), set_up(400, 1), set_up(800, 0), offer(1_000), set_up(1_001, 0)]);
    let found = sums(&lines, &SumLimits { attempts: Some(1.9), ..limits() });
    assert_eq!((found.attempts, found.exceeded.len()), (2.0, 1));
}

#[test]
fn service_recovers_after_two_seconds_at_previous_level() {
    // Ten calls per second, all established except in the seconds of `bad`.
    let day = |bad: std::ops::Range<u64>| {
        let mut events = vec![(3_500, RecordEvent::Fault { what: "kill".into(), over: 4_000 * MS })];
        for n in 0..120 {
            let at = n * 100;
            let code = if bad.contains(&(at / 1_000)) { 3004 } else { 2001 };
            events.extend([offer(at), answer(at + 20, at, code)]);
        }
        record(events)
    };
    // The fault ends as it begins, and is recorded 1 us later.
    let mut at_once = day(3..4);
    for line in &mut at_once {
        if let RecordEvent::Fault { over, .. } = &mut line.event {
            *over = line.at - 1;
        }
    }
    let back = |lines: &[RecordEntry]| sums(lines, &limits()).recoveries[0].back;
    assert_eq!(back(&day(3..4)), Some(0));
    assert_eq!(back(&at_once), Some(500 * MS + 1));
    assert_eq!(back(&day(3..6)), Some(2_000 * MS));
    assert_eq!(back(&day(3..12)), None);
    let bound = SumLimits { back_within: Some(1_000 * MS), ..limits() };
    assert!(sums(&day(3..5), &bound).exceeded.is_empty());
    assert_eq!(sums(&day(3..6), &bound).exceeded.len(), 1);
}

#[test]
fn set_ups_at_cold_server_count_once_from_sending() {
    let start = (0, RecordEvent::ServerStarted { server: 0, cold: true });
    let sent = |at: u64, name: u64| {
        let (call, attempt) = (Some(format!("c|{name}")), format!("a{name}"));
        (at, RecordEvent::Sent { server: 0, front: 0, call, attempt })
    };
    // Five set-ups in a second; and five that are sent over five seconds and received at once by a suspended
    // server.
    let at_once: Vec<_> = [vec![start.clone()], (0..5).map(|n| set_up(100 + n * 200, 0)).collect()].concat();
    let read_late = [
        vec![start],
        (0..5).map(|n| sent(100 + n * 1_000, 4_200 + n)).collect(),
        (0..5).map(|n| set_up(4_200 + n, 0)).collect(),
    ];
    let bound = SumLimits { cold_rate: Some(4.0), ..limits() };
    let totals = |events: Vec<(u64, RecordEvent)>| sums(&record(events), &bound);
    let (over, within) = (totals(at_once), totals(read_late.concat()));
    assert_eq!((over.cold_peak, over.exceeded.len()), (5, 1), "{:?}", over.exceeded);
    assert_eq!((within.cold_peak, within.exceeded.len()), (1, 0), "{:?}", within.exceeded);
}
