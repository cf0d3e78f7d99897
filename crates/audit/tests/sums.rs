//! Sums over all fronts: each bound catches what is planted beyond it.

use baydrift_audit::{sums, RecordEntry, RecordEvent, ServerCapacity, SumLimits};

const MS: u64 = 1_000;

fn terms() -> SumLimits {
    let server = ServerCapacity {
        rate: 100.0,
        cold_from: 0.5,
        ramp: 4_000 * MS,
        fall_multiple: 2.0,
        fall_time: 1_000 * MS,
    };
    SumLimits { servers: vec![server; 2], fronts: 2, ..SumLimits::default() }
}

fn record(moments: impl IntoIterator<Item = (u64, RecordEvent)>) -> Vec<RecordEntry> {
    let mut lines: Vec<_> =
        moments.into_iter().map(|(ms, moment)| RecordEntry { at: ms * MS, event: moment }).collect();
    lines.sort_by_key(|line| line.at);
    lines
}

fn set_up(at: u64, server: u16) -> (u64, RecordEvent) {
    let attempt = format!("a{at}");
    (at, RecordEvent::SetUp { server, front: 0, call: format!("c|{at}"), attempt, redirected: false })
}

fn offer(at: u64) -> (u64, RecordEvent) {
    let call = format!("c|{at}");
    let moment = RecordEvent::Offer {
        front: 0,
        call,
        first: None,
        class: 0,
        publisher: 0,
        hot: false,
        caller_timeout_us: 3_000 * MS,
    };
    (at, moment)
}

fn answer(at: u64, of: u64, code: u32) -> (u64, RecordEvent) {
    (at, RecordEvent::Answer { front: 0, call: format!("c|{of}"), code })
}

#[test]
fn connections_and_words_are_counted_over_all_fronts() {
    let linked = |at: u64, front: u32| (at, RecordEvent::LinkUp { server: 1, front });
    let parting = |at: u64, front: u32| (at, RecordEvent::LinkDown { server: 1, front });
    let mut moments = vec![linked(0, 0), linked(10, 1), parting(500, 0), linked(900, 0), linked(1_500, 1)];
    moments.extend((0..6).map(|n| (n * 100, RecordEvent::GossipSent { from: 0, to: 1, bytes: 60 })));
    let seen = sums(&record(moments.clone()), &terms());
    // Three at once; three within the second from 0 on; six words of two fronts.
    assert_eq!((seen.open, seen.opened, seen.gossip_rate), (3, 3, 3.0));
    assert!(seen.exceeded.is_empty());
    let tight = SumLimits { open: Some(2), opened: Some(2), gossip_rate: Some(2.5), ..terms() };
    assert_eq!(sums(&record(moments), &tight).exceeded.len(), 3);
}

#[test]
fn fronts_that_ignore_their_share_of_a_cold_server_are_seen_before_it_falls() {
    let cold = (0, RecordEvent::ServerStarted { server: 0, cold: true });
    let load = |all: u64| record((0..all).map(|n| set_up(1 + n * 900 / all, 0)).chain([cold.clone()]));
    // It starts at half of 100 a second and falls at twice that within a second.
    assert!(sums(&load(99), &terms()).exceeded.is_empty());
    let seen = sums(&load(101), &terms());
    assert!(seen.cold > 1.0 && seen.exceeded.len() == 1, "{seen:?}");
    // A warm one is no matter of this bound, but of the overshoot.
    let warm = record((0..150).map(|n| set_up(1 + n * 6, 1)));
    let seen = sums(&warm, &SumLimits { overshoot: Some(1.2), ..terms() });
    assert_eq!((seen.cold, seen.exceeded.len()), (0.0, 1));
    assert!((seen.overshoot - 1.5).abs() < 0.01, "{seen:?}");
}

#[test]
fn attempts_count_for_each_first_try() {
    let lines =
        record([offer(0), set_up(1, 0), set_up(400, 1), set_up(800, 0), offer(1_000), set_up(1_001, 0)]);
    let seen = sums(&lines, &SumLimits { attempts: Some(1.9), ..terms() });
    assert_eq!((seen.attempts, seen.exceeded.len()), (2.0, 1));
}

#[test]
fn service_is_back_when_two_seconds_are_as_good_as_before() {
    // Ten calls a second, all stand, but for the seconds in which they do not.
    let day = |bad: std::ops::Range<u64>| {
        let mut moments = vec![(3_500, RecordEvent::Fault { what: "kill".into(), over: 4_000 * MS })];
        for n in 0..120 {
            let at = n * 100;
            let code = if bad.contains(&(at / 1_000)) { 3004 } else { 2001 };
            moments.extend([offer(at), answer(at + 20, at, code)]);
        }
        record(moments)
    };
    // Over as it began, and on record a moment later.
    let mut at_once = day(3..4);
    for line in &mut at_once {
        if let RecordEvent::Fault { over, .. } = &mut line.event {
            *over = line.at - 1;
        }
    }
    let back = |lines: &[RecordEntry]| sums(lines, &terms()).recoveries[0].back;
    assert_eq!(back(&day(3..4)), Some(0));
    assert_eq!(back(&at_once), Some(500 * MS + 1));
    assert_eq!(back(&day(3..6)), Some(2_000 * MS));
    assert_eq!(back(&day(3..12)), None);
    let bound = SumLimits { back_within: Some(1_000 * MS), ..terms() };
    assert!(sums(&day(3..5), &bound).exceeded.is_empty());
    assert_eq!(sums(&day(3..6), &bound).exceeded.len(), 1);
}

#[test]
fn set_ups_at_a_cold_server_count_from_when_they_entered_the_net_and_once() {
    let start = (0, RecordEvent::ServerStarted { server: 0, cold: true });
    let sent = |at: u64, name: u64| {
        let (call, attempt) = (Some(format!("c|{name}")), format!("a{name}"));
        (at, RecordEvent::Sent { server: 0, front: 0, call, attempt })
    };
    // Five in a second, over two fronts or one; and five sent over five seconds that a frozen server reads at once.
    let at_once: Vec<_> = [vec![start.clone()], (0..5).map(|n| set_up(100 + n * 200, 0)).collect()].concat();
    let read_late = [
        vec![start],
        (0..5).map(|n| sent(100 + n * 1_000, 4_200 + n)).collect(),
        (0..5).map(|n| set_up(4_200 + n, 0)).collect(),
    ];
    let bound = SumLimits { cold_rate: Some(4.0), ..terms() };
    let judged = |moments: Vec<(u64, RecordEvent)>| sums(&record(moments), &bound);
    let (over, within) = (judged(at_once), judged(read_late.concat()));
    assert_eq!((over.cold_peak, over.exceeded.len()), (5, 1), "{:?}", over.exceeded);
    assert_eq!((within.cold_peak, within.exceeded.len()), (1, 0), "{:?}", within.exceeded);
}
