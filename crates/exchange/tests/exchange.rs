//! Unit tests of the association and the fair queue, and a property test of two peers over a link that loses,
//! duplicates, delays and reorders messages.

use std::collections::BTreeMap;
use std::sync::Arc;

use baydrift_exchange::{
    Exchange, ExchangeAction, ExchangeInput, FairQueue, IdAllocator, QueueDecision, Settings,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

fn receive(end: &mut Exchange, now: u64, input: ExchangeInput) -> Vec<ExchangeAction> {
    let mut out = Vec::new();
    end.handle(now, input, &mut out);
    out
}

fn reply(end: &mut Exchange, now: u64, id: u32, text: &str) -> Vec<ExchangeAction> {
    let mut out = Vec::new();
    end.reply(now, id, Arc::from(text), 0, &mut out);
    out
}

fn tick(end: &mut Exchange, now: u64) -> Vec<ExchangeAction> {
    let mut out = Vec::new();
    end.tick(now, &mut out);
    out
}

#[test]
fn duplicate_requests_are_executed_once() {
    let mut end = Exchange::new(Settings::default(), 1);
    assert_eq!(receive(&mut end, 0, ExchangeInput::Request(7)), [ExchangeAction::Execute(7)]);
    // During execution a duplicate is answered with a pending, afterwards with the same reply.
    assert_eq!(receive(&mut end, 10 * MS, ExchangeInput::Request(7)), [ExchangeAction::Pending(7)]);
    let sent = ExchangeAction::Send(Arc::from("reply"));
    assert_eq!(reply(&mut end, 50 * MS, 7, "reply"), std::slice::from_ref(&sent));
    assert_eq!(reply(&mut end, 51 * MS, 7, "another"), []);
    assert_eq!(receive(&mut end, 90 * MS, ExchangeInput::Request(7)), [sent]);
    // After the acknowledgement only the id is kept: a duplicate is neither answered nor executed.
    assert_eq!(receive(&mut end, 100 * MS, ExchangeInput::Ack(vec![(1, u32::MAX)])), []);
    assert_eq!(receive(&mut end, 110 * MS, ExchangeInput::Request(7)), []);
    assert_eq!(end.counts().executed, 1);
    // After LONG-TIMER the id is free.
    tick(&mut end, 31 * S);
    assert_eq!(
        (end.open_counts(), receive(&mut end, 31 * S, ExchangeInput::Request(7))),
        ((0, 0), vec![ExchangeAction::Execute(7)])
    );
}

#[test]
fn reply_is_retransmitted_until_acknowledged() {
    let mut end = Exchange::new(Settings::default(), 1);
    receive(&mut end, 0, ExchangeInput::Request(1));
    let mut out = Vec::new();
    end.reply(10 * MS, 1, Arc::from("late"), 10 * S, &mut out);
    let resent = ExchangeAction::Send(Arc::from("late"));
    for at in [210 * MS, 460 * MS, 710 * MS] {
        assert_eq!(end.next_wake(), Some(at));
        assert_eq!(tick(&mut end, at), std::slice::from_ref(&resent));
    }
    receive(&mut end, 1_500 * MS, ExchangeInput::Ack(vec![(1, 1)]));
    assert_eq!((end.next_wake(), tick(&mut end, 5 * S)), (Some(30_010 * MS), vec![]));
}

#[test]
fn pendings_for_a_long_request_are_limited() {
    let settings = Settings { max_pendings: 3, ..Settings::default() };
    let mut end = Exchange::new(settings, 1);
    receive(&mut end, 0, ExchangeInput::Request(1));
    let mut pendings = 0;
    while let Some(due) = end.next_wake() {
        pendings +=
            tick(&mut end, due).iter().filter(|action| **action == ExchangeAction::Pending(1)).count();
    }
    assert_eq!(pendings, 3);
    assert!(matches!(reply(&mut end, 10 * S, 1, "late")[..], [ExchangeAction::Send(_)]));
}

#[test]
fn full_association_refuses_requests_and_keeps_running_ones() {
    let mut end = Exchange::new(Settings { max_known_requests: 3, ..Settings::default() }, 1);
    (1..=3).for_each(|id| drop(receive(&mut end, 0, ExchangeInput::Request(id))));
    assert_eq!(receive(&mut end, 0, ExchangeInput::Request(4)), [ExchangeAction::Refuse(4)]);
    reply(&mut end, 0, 2, "x");
    assert_eq!(receive(&mut end, 0, ExchangeInput::Request(4)), [ExchangeAction::Refuse(4)]);
    receive(&mut end, 0, ExchangeInput::Ack(vec![(2, 2)]));
    assert_eq!(receive(&mut end, 0, ExchangeInput::Request(4)), [ExchangeAction::Execute(4)]);
    assert_eq!(end.open_counts().0, 3);
}

#[test]
fn own_requests_are_retransmitted_by_round_trip_time_until_lost() {
    let mut end = Exchange::new(Settings::default(), 1);
    let mut out = Vec::new();
    // After two round trips of 20 ms the retransmission interval is shorter than the initial one.
    for at in [0, S] {
        let id = end.send(at, |id| format!("T={id}"), &mut out).unwrap();
        receive(&mut end, at + 20 * MS, ExchangeInput::Reply { id, immediate_ack: false });
    }
    assert_eq!(end.round_trip(), Some(20 * MS));
    let id = end.send(2 * S, |id| format!("T={id}"), &mut out).unwrap();
    let first = end.next_wake().unwrap() - 2 * S;
    assert!((20 * MS..100 * MS).contains(&first), "{first}");
    let (mut sends, mut gaps, mut last) = (0, Vec::new(), 2 * S);
    loop {
        let due = end.next_wake().unwrap();
        gaps.push(due - last);
        last = due;
        match &tick(&mut end, due)[..] {
            [ExchangeAction::Send(_)] => sends += 1,
            [ExchangeAction::Lost(lost)] => break assert_eq!(*lost, id),
            other => panic!("{other:?}"),
        }
    }
    // Not lost before LONG-TIMER, however short the round-trip time: at 20% loss, seven losses in a row are
    // common.
    assert_eq!((sends, last - 2 * S >= 30 * S), (13, true));
    assert!(gaps[..6].windows(2).all(|w| w[1] as f64 > w[0] as f64 * 1.5), "{gaps:?}");
    // A late reply is acknowledged, but otherwise ignored.
    assert_eq!(
        receive(&mut end, last + 1, ExchangeInput::Reply { id, immediate_ack: true }),
        [ExchangeAction::Ack(id)]
    );
    assert_eq!(end.counts().stray, 1);
}

#[test]
fn pending_postpones_retransmission() {
    let mut end = Exchange::new(Settings::default(), 1);
    let id = end.send(0, |id| id.to_string(), &mut Vec::new()).unwrap();
    receive(&mut end, 100 * MS, ExchangeInput::Pending(id));
    assert_eq!(end.next_wake(), Some(4_100 * MS));
}

#[test]
fn ids_wrap_and_skip_zero_and_used_ids() {
    let mut ids = IdAllocator::after(u32::MAX - 1);
    assert_eq!([ids.next(|_| false), ids.next(|id| id == 1), ids.next(|_| false)], [u32::MAX, 2, 3]);
}

#[test]
fn queued_requests_are_served_round_robin_by_client() {
    let mut queue = FairQueue::new(2, 3);
    assert_eq!(queue.submit(&"a", 1).0, QueueDecision::Run);
    assert_eq!(queue.submit(&"a", 2).0, QueueDecision::Run);
    let decisions: Vec<_> = (3..8).map(|n| queue.submit(&"a", n).0).collect();
    assert_eq!(
        decisions,
        [
            QueueDecision::Queued,
            QueueDecision::Queued,
            QueueDecision::Queued,
            QueueDecision::Refused,
            QueueDecision::Refused
        ]
    );
    assert_eq!(queue.submit(&"b", 20).0, QueueDecision::Queued);
    // Client "a" is served first, then "b", although three requests of "a" were queued before it.
    assert_eq!([queue.finish(&"a"), queue.finish(&"a")], [Some(("a", 3)), Some(("b", 20))]);
    assert_eq!(queue.remove_queued(&"a"), [4, 5]);
    assert_eq!((queue.finish(&"a"), queue.finish(&"b"), queue.finish(&"b")), (None, None, None));
    assert_eq!(queue.counts(), (0, 0));
}

#[derive(Debug, Clone)]
enum Message {
    Request(u32),
    Reply(u32),
    Pending(u32),
    Ack(u32),
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Default::default()
    })]

    /// Whatever the link does, each request is executed at most once, and is either answered or reported as
    /// lost.
    #[test]
    fn requests_are_executed_at_most_once_over_any_link(
        fates in proptest::collection::vec((0u8..10, 1u64..200, any::<bool>()), 60..200),
        execution_ms in proptest::collection::vec(0u64..900, 20),
        immediate in any::<bool>(),
    ) {
        let (mut a, mut b) = (Exchange::new(Settings::default(), 1), Exchange::new(Settings::default(), 2));
        let mut in_transit: BTreeMap<(u64, u64), (bool, Message)> = BTreeMap::new();
        let mut executing: BTreeMap<(u64, u32), ()> = BTreeMap::new();
        let mut executions = BTreeMap::<u32, u32>::new();
        let mut deliveries = BTreeMap::<u32, u32>::new();
        let mut lost = Vec::new();
        let (mut now, mut order, mut next_fate, mut sent) = (0u64, 0u64, fates.iter().cycle(), Vec::new());
        for round in 0..100_000u32 {
            let mut out = Vec::new();
            if (round as usize) < execution_ms.len() {
                sent.extend(a.send(now, |id| format!("q{id}"), &mut out));
            }
            let mut outs = vec![(true, out)];
            let next = [
                a.next_wake(),
                b.next_wake(),
                in_transit.keys().next().map(|k| k.0),
                executing.keys().next().map(|k| k.0),
            ];
            let Some(at) = next.into_iter().flatten().min() else { break };
            if (round as usize) >= execution_ms.len() {
                now = now.max(at);
                if let Some(entry) = in_transit.first_entry().filter(|e| e.key().0 <= now) {
                    let (to_b, message) = entry.remove();
                    let input = match message {
                        Message::Request(id) => ExchangeInput::Request(id),
                        Message::Reply(id) => ExchangeInput::Reply { id, immediate_ack: immediate },
                        Message::Pending(id) => ExchangeInput::Pending(id),
                        Message::Ack(id) => ExchangeInput::Ack(vec![(id, id)]),
                    };
                    let mut out = Vec::new();
                    if to_b { &mut b } else { &mut a }.handle(now, input, &mut out);
                    outs.push((!to_b, out));
                }
                while let Some(entry) = executing.first_entry().filter(|e| e.key().0 <= now) {
                    let ((_, id), ()) = entry.remove_entry();
                    let mut out = Vec::new();
                    let retransmit_for = if immediate { 10 * S } else { 0 };
                    b.reply(now, id, Arc::from(format!("r{id}")), retransmit_for, &mut out);
                    outs.push((false, out));
                }
                let (mut from_a, mut from_b) = (Vec::new(), Vec::new());
                a.tick(now, &mut from_a);
                b.tick(now, &mut from_b);
                outs.extend([(true, from_a), (false, from_b)]);
            }
            for (from_a_to_b, out) in outs {
                for action in out {
                    let message = match action {
                        ExchangeAction::Send(text) => match (text.as_bytes()[0], text[1..].parse().unwrap()) {
                            (b'q', id) => Message::Request(id),
                            (_, id) => Message::Reply(id),
                        },
                        ExchangeAction::Pending(id) => Message::Pending(id),
                        ExchangeAction::Ack(id) => Message::Ack(id),
                        ExchangeAction::Execute(id) => {
                            *executions.entry(id).or_default() += 1;
                            let duration = execution_ms[id as usize % execution_ms.len()] * MS;
                            executing.insert((now + duration, id), ());
                            continue;
                        }
                        ExchangeAction::Delivered(id) => {
                            *deliveries.entry(id).or_default() += 1;
                            continue;
                        }
                        ExchangeAction::Lost(id) => {
                            lost.push(id);
                            continue;
                        }
                        ExchangeAction::Refuse(_) => panic!("the limit is never reached"),
                    };
                    let (draw, delay, duplicated) = next_fate.next().unwrap();
                    for copy in 0..=u64::from(*duplicated) {
                        // 30% of the messages are lost.
                        if *draw >= 3 || copy > 0 {
                            order += 1;
                            let arrives_at = now + (delay + copy * 70) * MS;
                            in_transit.insert((arrives_at, order), (from_a_to_b, message.clone()));
                        }
                    }
                }
            }
        }
        prop_assert!(executions.values().all(|n| *n == 1), "{:?}", executions);
        prop_assert!(deliveries.values().all(|n| *n == 1));
        for id in &sent {
            let completed = deliveries.contains_key(id) || lost.contains(id);
            prop_assert!(completed, "{} was neither answered nor reported as lost", id);
        }
        prop_assert_eq!((a.open_counts().1, b.open_counts().0), (0, 0));
    }
}
