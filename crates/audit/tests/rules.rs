//! Each check detects a planted breach, and a clean record passes all of them.

use baydrift_audit::{
    read_record, rules, service, write_record, ClassConfig, Excuse, RecordEntry, RecordEvent, Recorder,
    RuleLimits,
};

const MS: u64 = 1_000;
const NONE: [u8; 0] = [];

fn offer(call: &str) -> RecordEvent {
    let call = call.to_owned();
    RecordEvent::Offer {
        front: 0,
        call,
        first: None,
        class: 0,
        publisher: 0,
        hot: false,
        caller_timeout_us: 3_000 * MS,
    }
}

fn answer(call: &str, code: u32) -> RecordEvent {
    RecordEvent::Answer { front: 0, call: call.into(), code }
}

fn set_up(server: u16, call: &str, attempt: &str) -> RecordEvent {
    RecordEvent::SetUp { server, front: 0, call: call.into(), attempt: attempt.into(), redirected: false }
}

fn reply(server: u16, attempt: &str, code: u32) -> RecordEvent {
    RecordEvent::Reply { server, attempt: attempt.into(), code, lost: false }
}

fn release(server: u16, attempt: &str) -> RecordEvent {
    RecordEvent::Release { server, attempt: attempt.into() }
}

/// Builds a record from events and their times in milliseconds.
fn record(events: Vec<(u64, RecordEvent)>) -> Vec<RecordEntry> {
    events.into_iter().map(|(ms, event)| RecordEntry { at: ms * MS, event }).collect()
}

/// A call that times out at one server and is established at another, after the retry hold-off.
fn clean() -> Vec<(u64, RecordEvent)> {
    vec![
        (0, offer("c|1")),
        (1, set_up(0, "c|1", "a1")),
        (900, release(0, "a1")),
        (1_250, set_up(1, "c|1", "a2")),
        (1_300, reply(1, "a2", 2001)),
        (1_301, answer("c|1", 2001)),
        (9_000, release(1, "a2")),
    ]
}

/// The numbers of the rules that are broken.
fn broken(events: Vec<(u64, RecordEvent)>) -> Vec<u8> {
    let verdict = rules(&record(events), RuleLimits::default());
    verdict.breaches.iter().map(|breach| breach.rule).collect()
}

/// The rules that the clean record breaks after a change.
fn broken_after(change: impl Fn(&mut Vec<(u64, RecordEvent)>)) -> Vec<u8> {
    let mut events = clean();
    change(&mut events);
    events.sort_by_key(|(at, _)| *at);
    broken(events)
}

#[test]
fn clean_record_passes() {
    let verdict = rules(&record(clean()), RuleLimits::default());
    assert_eq!((verdict.passed(), verdict.calls, verdict.answered), (true, 1, 1), "{:?}", verdict.breaches);
    assert_eq!(verdict.shortest_holdoff, Some(350 * MS));
}

#[test]
fn rule_1_detects_missing_conflicting_and_late_answers() {
    assert_eq!(broken_after(|m| m.retain(|(_, x)| !matches!(x, RecordEvent::Answer { .. }))), [1]);
    assert_eq!(broken_after(|m| m.push((1_400, answer("c|1", 3004)))), [1]);
    assert_eq!(broken_after(|m| m.push((1_400, answer("c|1", 2001)))), NONE);
    assert_eq!(broken_after(|m| m[5] = (3_100, answer("c|1", 2001))), [1]);
    assert_eq!(broken_after(|m| m.push((2_000, set_up(0, "c|1", "a3")))), [1]);
    assert_eq!(broken_after(|m| m.push((2_000, answer("c|9", 2001)))), [1]);
    // Excused: the front was suspended at the caller's time-out, or the connection ended.
    let stall = RecordEvent::Stall { front: 0, us: 2_000_000 };
    assert_eq!(broken_after(|m| m.extend([(2_000, stall.clone()), (4_100, answer("c|1", 2001))])), NONE);
    // A call that is offered while the front is suspended is excused; one that is offered before is not.
    let before = RecordEvent::Stall { front: 0, us: 50_000 };
    let late = |at: u64| {
        broken_after(|m| {
            m[5] = (3_100, answer("c|1", 2001));
            m.insert(0, (at, before.clone()));
        })
    };
    assert_eq!((late(0), late(100)), (NONE.to_vec(), vec![1]));
    let disconnected = RecordEvent::ClientDisconnected { front: 0, client: "c".into() };
    assert_eq!(
        broken_after(|m| {
            m[5] = (1_301, disconnected.clone());
        }),
        NONE
    );
}

/// The clean call by datagrams: offered at 0 as transaction 7, its answer not read. Copies: when, towards the
/// front, lost.
fn by_datagrams(
    copies: &[(u64, bool, bool)],
    more: &[(u64, RecordEvent)],
) -> (Vec<u8>, Vec<(Excuse, usize)>) {
    let mut events = clean();
    events.remove(5);
    let client = "c".to_owned();
    events.push((0, RecordEvent::Lossy { client: client.clone() }));
    events.push((0, RecordEvent::RequestSent { call: "c|1".into(), transaction: 7 }));
    events.extend(copies.iter().map(|(at, to_front, lost)| {
        let (client, to_front, lost) = (client.clone(), *to_front, *lost);
        (*at, RecordEvent::Datagram { client, to_front, transaction: 7, lost })
    }));
    events.extend(more.iter().cloned());
    events.push((9_000, RecordEvent::Unresponsive { server: 9, front: 9 }));
    events.sort_by_key(|(at, _)| *at);
    let verdict = rules(&record(events), RuleLimits::default());
    (verdict.breaches.iter().map(|b| b.rule).collect(), verdict.excused.into_iter().collect())
}

#[test]
fn lost_datagrams_excuse_only_missing_answers_they_explain() {
    let (arrives, lost) = ((1, true, false), (1, true, true));
    // Every copy of the request or of the reply was lost.
    assert_eq!(by_datagrams(&[lost], &[]), (vec![], vec![(Excuse::RequestsLost, 1)]));
    let lost_replies = |times: &[u64]| {
        let copies = times.iter().map(|at| (*at, false, true));
        [arrives].into_iter().chain(copies).collect::<Vec<_>>()
    };
    let often_enough = lost_replies(&[1_300, 1_700, 2_150, 2_600]);
    assert_eq!(by_datagrams(&often_enough, &[]), (vec![], vec![(Excuse::RepliesLost, 1)]));
    // A gap of more than 500 ms between retransmissions; no reply sent; a reply delivered; no datagram
    // recorded.
    assert_eq!(by_datagrams(&lost_replies(&[1_300, 1_700, 2_300, 2_700]), &[]).0, [1]);
    assert_eq!(by_datagrams(&lost_replies(&[1_300, 1_700]), &[]).0, [1]);
    assert_eq!(by_datagrams(&[arrives], &[]).0, [1]);
    assert_eq!(by_datagrams(&[arrives, (1_300, false, false)], &[]).0, [1]);
    assert_eq!(by_datagrams(&[], &[]).0, [1]);
    // A late answer is excused if all replies in time were lost or the request arrived late. Otherwise it is
    // a breach.
    let read = [(3_100, answer("c|1", 2001))];
    let late = |copies: &[(u64, bool, bool)]| by_datagrams(copies, &read);
    assert_eq!(late(&often_enough), (vec![], vec![(Excuse::RepliesLost, 1)]));
    let came_late = [(0, true, true), (100, true, false), (3_050, false, false)];
    assert_eq!(late(&came_late), (vec![], vec![(Excuse::LateArrival, 1)]));
    assert_eq!(late(&[arrives, (3_050, false, false)]).0, [1]);
    // Two different answers are a breach even if the first one is excused.
    let two = [(3_100, answer("c|1", 2001)), (3_200, answer("c|1", 3004))];
    assert_eq!(by_datagrams(&often_enough, &two).0, [1]);
}

#[test]
fn retransmission_after_disconnect_is_owed_an_answer() {
    let disconnected = |at| (at, RecordEvent::ClientDisconnected { front: 0, client: "c".into() });
    let again = |at| (at, RecordEvent::Retransmit { front: 0, call: "c|1".into() });
    let without =
        |m: &mut Vec<(u64, RecordEvent)>| m.retain(|(_, x)| !matches!(x, RecordEvent::Answer { .. }));
    let with_these = |these: Vec<(u64, RecordEvent)>| {
        broken_after(|m| {
            without(m);
            m.extend(these.clone());
        })
    };
    assert_eq!(with_these(vec![disconnected(1_290)]), NONE);
    assert_eq!(with_these(vec![disconnected(1_290), again(1_320)]), [1]);
    assert_eq!(with_these(vec![disconnected(1_290), again(2_900)]), NONE);
}

#[test]
fn only_calls_held_back_in_transit_are_excused() {
    let held = |at, client: &str, held| (at, RecordEvent::Held { client: client.into(), held });
    let unanswered = |these: Vec<(u64, RecordEvent)>| {
        broken_after(|m| {
            m.retain(|(_, x)| !matches!(x, RecordEvent::Answer { .. }));
            let rest = std::mem::take(m);
            m.extend(these.clone());
            m.extend(rest);
            m.sort_by_key(|(at, _)| *at);
        })
    };
    assert_eq!(unanswered(vec![]), [1]);
    assert_eq!(unanswered(vec![held(0, "c", true), held(900, "c", false)]), NONE);
    // Not excused: another client's path, a hold that was over or began later, and two different answers.
    assert_eq!(unanswered(vec![held(0, "d", true)]), [1]);
    assert_eq!(unanswered(vec![held(0, "c", true), held(0, "c", false)]), [1]);
    assert_eq!(unanswered(vec![held(1_000, "c", true)]), [1]);
    let two = broken_after(|m| {
        m.insert(0, held(0, "c", true));
        m.push((2_000, answer("c|1", 5012)));
    });
    assert_eq!(two, [1]);
}

#[test]
fn rule_2_detects_concurrent_attempts() {
    assert_eq!(broken_after(|m| m[2] = (1_260, release(0, "a1"))), [2]);
    // Neither a lost answer nor an unanswered watchdog ends an attempt: the server still receives and may set
    // up.
    let lost = RecordEvent::Reply { server: 0, attempt: "a1".into(), code: 3004, lost: true };
    assert_eq!(broken_after(|m| m[2] = (900, lost.clone())), [2]);
    assert_eq!(broken_after(|m| m[2] = (900, RecordEvent::Unresponsive { server: 0, front: 0 })), [2]);
    // A release that is lost, and one that arrives after the next set-up.
    assert_eq!(
        broken_after(|m| m.retain(|(_, x)| !matches!(x, RecordEvent::Release { server: 0, .. }))),
        [2]
    );
    assert_eq!(broken_after(|m| m[2] = (1_251, release(0, "a1"))), [2]);
    assert_eq!(broken_after(|m| m[2] = (900, RecordEvent::Disconnected { server: 0, front: 0 })), NONE);
    // A server that answers the watchdog again does not end its attempts either.
    let watchdog = [
        (0, RecordEvent::Unresponsive { server: 0, front: 0 }),
        (1, RecordEvent::Responsive { server: 0, front: 0 }),
    ];
    let again = |m: &mut Vec<(u64, RecordEvent)>| {
        m.splice(1..1, watchdog.clone());
        m.retain(|(_, x)| !matches!(x, RecordEvent::Release { server: 0, .. }));
    };
    assert_eq!(broken_after(again), [2]);
}

#[test]
fn rule_3_detects_set_up_after_drain() {
    let readiness = |ready| RecordEvent::ReadinessReported { server: 1, front: 0, ready, by_list: true };
    assert_eq!(broken_after(|m| m.push((200, readiness(false)))), [3]);
    assert_eq!(broken_after(|m| m.push((300, readiness(false)))), NONE);
    assert_eq!(broken_after(|m| m.extend([(100, readiness(false)), (1_000, readiness(true))])), NONE);
}

#[test]
fn rule_4_detects_overload_of_cold_server() {
    assert_eq!(broken_after(|m| m.push((200, RecordEvent::ServerOverloaded { server: 1 }))), [4]);
}

#[test]
fn rule_5_detects_early_retry_and_attempt_limit() {
    assert_eq!(broken_after(|m| m[2] = (1_000, release(0, "a1"))), [5]);
    // A refused attempt holds nothing at its server, so the call may be set up elsewhere at once.
    assert_eq!(broken_after(|m| m[2] = (1_249, reply(0, "a1", 3004))), NONE);
    let mut many = vec![(0, offer("c|1"))];
    for n in 0..6u64 {
        many.push((n * 10 + 1, set_up(0, "c|1", &format!("a{n}"))));
        many.push((n * 10 + 2, reply(0, &format!("a{n}"), 3004)));
    }
    many.push((100, answer("c|1", 3004)));
    many.push((5_000, offer("c|2")));
    many.push((5_001, answer("c|2", 3004)));
    assert_eq!(broken(many), [0]);
}

fn sent(server: u16, attempt: &str, call: Option<&str>) -> RecordEvent {
    RecordEvent::Sent { server, front: 0, call: call.map(str::to_owned), attempt: attempt.into() }
}

#[test]
fn set_ups_held_in_transit_count_from_sending() {
    // Sent in time, held back for more than two seconds, meanwhile abandoned and set up elsewhere: no breach.
    let held = |given_up: u64, second: u64| {
        let mut events = vec![
            (0, offer("c|1")),
            (1, sent(0, "a1", Some("c|1"))),
            (given_up, sent(0, "a1", None)),
            (second, sent(1, "a2", Some("c|1"))),
            (second + 1, set_up(1, "c|1", "a2")),
            (second + 10, reply(1, "a2", 2001)),
            (second + 11, answer("c|1", 2001)),
            (2_500, set_up(0, "c|1", "a1")),
            (2_500, release(0, "a1")),
            (9_000, release(1, "a2")),
        ];
        events.sort_by_key(|(at, _)| *at);
        broken(events)
    };
    assert_eq!(held(900, 1_250), NONE);
    // A set-up within the retry hold-off after the abandonment, or before it, is a breach as for any other
    // attempt.
    assert_eq!(held(900, 1_100), [5]);
    assert_eq!(held(900, 800), [2]);
    // A connection that ends while the set-up is in transit ends the attempt.
    let disconnected = |second: u64| {
        broken(vec![
            (0, offer("c|1")),
            (1, sent(0, "a1", Some("c|1"))),
            (20, RecordEvent::Disconnected { server: 0, front: 0 }),
            (200, set_up(0, "c|1", "a1")),
            (201, RecordEvent::Disconnected { server: 0, front: 0 }),
            (second, set_up(1, "c|1", "a2")),
            (second + 10, reply(1, "a2", 2001)),
            (second + 11, answer("c|1", 2001)),
        ])
    };
    assert_eq!(disconnected(330), NONE);
}

#[test]
fn killed_front_owes_answers_once_it_serves_again() {
    let killed = |offered: u64| {
        broken(vec![
            (100, RecordEvent::FrontKilled { front: 0 }),
            (200, RecordEvent::FrontStarted { front: 0 }),
            (offered, offer("c|1")),
            (9_000, offer("c|2")),
            (9_001, answer("c|2", 3004)),
        ])
    };
    assert_eq!(killed(150), NONE);
    assert_eq!(killed(250), [1]);
}

#[test]
fn service_counts_value_of_calls_in_time_and_not_dropped() {
    let classes =
        [ClassConfig { name: "grid".into(), worth: 2.0, late_worth: 0.25, aim: 1_000 * MS, hot_worth: 0.1 }];
    let again = |call: &str, first: &str| match offer(call) {
        RecordEvent::Offer { front, call, class, publisher, hot, caller_timeout_us, .. } => {
            RecordEvent::Offer {
                front,
                call,
                first: Some(first.into()),
                class,
                publisher,
                hot,
                caller_timeout_us,
            }
        }
        other => other,
    };
    let lines = record(vec![
        (0, offer("c|1")),
        (0, offer("c|2")),
        (0, offer("c|3")),
        (0, offer("c|4")),
        (500, answer("c|1", 2001)),
        (600, answer("c|2", 3004)),
        (700, answer("c|4", 2001)),
        (800, RecordEvent::Dropped { front: 0, call: "c|4".into() }),
        (900, again("c|5", "c|2")),
        (1_500, answer("c|5", 2001)),
        (2_000, answer("c|3", 5012)),
    ]);
    let seen = service(&lines, &classes, &["gulf".into()]);
    // Earned of 8: in time 2, late 0.5, failed 0, dropped 0.
    assert_eq!((seen.total.calls, seen.total.service()), (4, 2.5 / 8.0));
    assert_eq!((seen.established, seen.refused, seen.failed, seen.dropped), (3, 1, 1, 1));
    assert!(seen.latency.p50 >= 599 * MS && seen.latency.max >= 699 * MS);
}

#[test]
fn record_round_trip_and_invalid_lines() {
    let recorder = Recorder::default();
    recorder.put(offer("c|1"));
    recorder.put(RecordEvent::Unresponsive { server: 3, front: 1 });
    let mut bytes = Vec::new();
    write_record(&recorder.lines(), &mut bytes).unwrap();
    assert_eq!(read_record(&bytes[..]).unwrap(), recorder.lines());
    // Truncated by a line, within a line and to nothing; and complete, but without a call.
    let lines: Vec<_> = bytes.split_inclusive(|byte| *byte == b'\n').collect();
    let error = read_record(&lines[..2].concat()[..]).unwrap_err().to_string();
    assert!(error.starts_with("the record is truncated after line 2"), "{error}");
    assert!(read_record(&bytes[..bytes.len() - 3]).is_err());
    let error = read_record(&[][..]).unwrap_err().to_string();
    assert!(error.starts_with("the record is empty"), "{error}");
    assert_eq!(read_record(&lines[1..].concat()[..]).unwrap_err().to_string(), error);
    bytes.extend_from_slice(b"{\"at\":1,\"moment\":\"dance\"}\n");
    let error = read_record(&bytes[..]).unwrap_err().to_string();
    assert!(error.starts_with("line 4: unknown variant"), "{error}");
    let early = b"{\"at\":5,\"moment\":\"die\",\"server\":1}\n{\"at\":4,\"moment\":\"die\",\"server\":1}\n";
    assert_eq!(read_record(&early[..]).unwrap_err().to_string(), "line 2: earlier than the line before");
}
