//! Property tests with arbitrary event orders: no panic, one answer and one attempt in flight per call, and
//! deterministic actions.

mod common;
use std::collections::BTreeMap;

use baydrift::interface::*;
use baydrift::Controller;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn report() -> impl Strategy<Value = Report> {
    let value = || prop_oneof![Just(None), any::<f64>().prop_map(Some), (0.0..200.0f64).prop_map(Some)];
    (value(), value(), value(), value(), value()).prop_map(|(free, queue, busy, wait_s, rate)| Report {
        free,
        queue,
        busy,
        wait_s,
        rate,
        ..Report::default()
    })
}

fn event() -> impl Strategy<Value = Event> {
    let outcome = prop_oneof![
        Just(Outcome::Ok),
        Just(Outcome::Error),
        Just(Outcome::Full),
        Just(Outcome::Timeout),
        Just(Outcome::ConnectFailed),
        Just(Outcome::Reset),
        Just(Outcome::Moot)
    ];
    let note = prop_oneof![
        Just(Note::None),
        Just(Note::NoLine),
        Just(Note::NumberBusy),
        Just(Note::ProcessorFull(9))
    ];
    let state = prop_oneof![Just(ServerState::Ready), Just(ServerState::Draining), Just(ServerState::Gone)];
    let entry = (0..5u64, 0..4u16, state, prop_oneof![Just(None), (0..9_000_000u64).prop_map(Some)]);
    let entry =
        entry.prop_map(|(server, number, state, started_at)| Entry { server, number, state, started_at });
    let kind = prop_oneof![Just(ListKind::Delta), Just(ListKind::Full), Just(ListKind::Failed)];
    let call = (0..60u32, 0..3usize, 0..5u64, 0..4_000_000u64, prop::option::of(0..4u16), any::<bool>());
    let call = call.prop_map(|(id, class, number, caller_timeout, first_choice, in_transit)| {
        Event::Call(Call {
            id,
            class,
            tenant: 0,
            number,
            caller_timeout,
            first_choice,
            redial: None,
            in_transit,
            was_dropped: false,
        })
    });
    let established = (0..60u32, 0..3u16, 0..5u64, any::<u64>());
    let established = established.prop_map(|(call, attempt, server, lag)| Event::Established {
        call,
        attempt,
        server,
        lag,
    });
    let ended = (0..60u32, 0..3u16, 0..5u64, outcome.clone(), any::<u64>(), any::<bool>(), note, report());
    let ended = ended.prop_map(|(call, attempt, server, outcome, lag, complete, note, report)| {
        Event::Ended { call, attempt, server, outcome, lag, complete, note, report }
    });
    let probed = (0..5u64, outcome, any::<u64>(), report());
    let probed =
        probed.prop_map(|(server, outcome, lag, report)| Event::Probed { server, outcome, lag, report });
    prop_oneof![
        2 => (kind, prop::collection::vec(entry, 0..4)).prop_map(|(kind, list)| Event::List(kind, list)),
        8 => call,
        4 => established,
        6 => ended,
        2 => probed,
        1 => (0..60u32).prop_map(Event::Abandoned),
        4 => (0..300u64).prop_map(Event::Timer),
        1 => (0..9u32, prop::collection::vec(any::<u8>(), 0..20)).prop_map(|(from, payload)| Event::PeerMessage { from, payload }),
    ]
}

fn run(events: &[(u64, Event)]) -> Vec<Vec<Action>> {
    let mut controller = Controller::new(settings(), 5).expect("usable");
    let mut now = 0;
    let step = |(gap, event): &(u64, Event)| {
        now += gap;
        let mut actions = Vec::new();
        controller.handle(now, event.clone(), &mut actions);
        actions
    };
    events.iter().map(step).collect()
}

#[test]
fn arbitrary_event_orders_keep_rules() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec((0..400_000u64, event()), 1..200);
    let outcome = runner.run(&events, |events| {
        let replies = run(&events);
        prop_assert_eq!(&replies, &run(&events), "the same events give the same actions");
        // The open calls, each with its attempt in flight and the index of the next attempt.
        let mut open: BTreeMap<CallId, (Option<u16>, u16)> = BTreeMap::new();
        let mut ready: BTreeMap<ServerId, bool> = BTreeMap::new();
        for ((_, event), actions) in events.iter().zip(&replies) {
            match event {
                Event::List(ListKind::Failed, _) => {}
                Event::List(kind, list) => {
                    if *kind == ListKind::Full {
                        ready.clear();
                    }
                    for entry in list {
                        ready.insert(entry.server, entry.state == ServerState::Ready);
                    }
                }
                Event::Call(call) => {
                    open.entry(call.id).or_insert((None, 0));
                }
                Event::Established { call, .. } | Event::Abandoned(call) => {
                    open.remove(call);
                }
                Event::Ended { call, attempt, complete, .. } => {
                    if *complete {
                        open.remove(call);
                    } else if let Some(state) = open.get_mut(call).filter(|s| s.0 == Some(*attempt)) {
                        state.0 = None;
                    }
                }
                _ => {}
            }
            for action in actions {
                match action {
                    Action::Send { call, server, .. } => {
                        let state = open.get_mut(call);
                        prop_assert!(state.is_some(), "sent for a call that is over");
                        let Some(state) = state else { continue };
                        prop_assert!(state.0.is_none(), "two attempts in flight");
                        prop_assert_eq!(ready.get(server), Some(&true), "sent to a server that is not ready");
                        *state = (Some(state.1), state.1 + 1);
                        prop_assert!(u32::from(state.1) <= settings().max_attempts);
                    }
                    Action::Refuse { call, .. } | Action::Fail(call) => {
                        prop_assert!(open.remove(call).is_some(), "a second answer");
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    });
    outcome.expect("rules kept");
}

#[test]
fn invalid_settings_are_rejected() {
    let bad = Settings { fronts: 0, ..settings() };
    assert_eq!(Controller::new(bad, 1).err(), Some(SettingsError::Zero("fronts")));
    let bad = Settings { cold_from: f64::NAN, ..settings() };
    assert!(matches!(Controller::new(bad, 1).err(), Some(SettingsError::OutOfRange(_))));
}

#[test]
fn memory_stays_bounded_over_a_long_stream() {
    let mut front = Front::new(settings(), &[entry(10, 0), entry(11, 1)]);
    let mut size = 0;
    for i in 0..20_000u64 {
        let (id, actions) = front.call_with(|call| call.number = i);
        if let Some((server, _)) = sent(&actions) {
            front.established(id, server, 20 * MS);
        }
        if i % 100 == 0 {
            let fresh = Entry { started_at: Some(front.now), ..entry(1000 + i, 2) };
            let old = Entry { state: ServerState::Gone, ..entry(1000 + i.saturating_sub(100), 2) };
            front.event(Event::List(ListKind::Delta, vec![fresh, old]));
        }
        front.now += 10 * MS;
        if i == 2_000 {
            size = format!("{:?}", front.controller).len();
        }
    }
    let end = format!("{:?}", front.controller).len();
    assert!(end < size * 3 / 2, "{size} grew to {end}");
}
