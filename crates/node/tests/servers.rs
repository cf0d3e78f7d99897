//! What signalling servers send, and what becomes of those that fail.

mod common;

use baydrift_call::LinkId;
use baydrift_node::state::{ConnId, Input};
use baydrift_platform::{CallId, Cause, Message, MessageType, ParameterCode};
use common::{answer, call, config, one, set_up, two, Rig, MS, SECOND};

/// One server, and a call whose first attempt there was reset and has been set up there again.
fn after_a_reset() -> (Rig, ConnId) {
    let mut rig = Rig::new(&config(&[one()]));
    rig.all_up();
    rig.caller(1);
    rig.says(1, set_up(7, "3000"));
    let first = rig.set_up_of(7).expect("a set-up");
    rig.server_says(first, Message::release(call(7), Cause::TEMPORARY));
    rig.pass(500 * MS);
    (rig, first)
}

/// Guards against a late word on an attempt that was given up, taken for one on the next.
#[test]
fn a_late_reply_is_not_the_next_attempts() {
    let (mut rig, first) = after_a_reset();
    let second = rig.set_up_of(7).expect("another");
    assert_eq!(rig.set_ups(7), 2);
    assert_ne!(first, second, "never on the same connection again");
    rig.server_says(first, answer(7));
    rig.server_says(first, Message::release(call(7), Cause::BUSY));
    assert!(rig.told(7).is_empty());
    rig.server_says(second, answer(7));
    assert_eq!(rig.told(7), [(1, MessageType::Answer, None)]);
    // Nor does it end the call that stands.
    rig.server_says(first, Message::release(call(7), Cause::TEMPORARY));
    assert_eq!(rig.told(7).len(), 1);
    rig.server_says(second, Message::release(call(7), Cause::NORMAL));
    assert_eq!(rig.told(7).len(), 2);
}

#[test]
fn second_copies_and_unknown_ids_mean_nothing() {
    let mut rig = Rig::serving();
    let conn = rig.standing(7);
    rig.server_says(conn, answer(7));
    rig.server_says(conn, answer(99));
    rig.server_says(conn, Message::release(call(98), Cause::NORMAL));
    assert_eq!(rig.to_callers.len(), 1);
    assert!(rig.closed_servers.is_empty());
}

/// Rules 2 and 5: what broke is over, and waits out the guard.
#[test]
fn an_answer_that_cannot_be_used_closes_the_connection_and_the_call_goes_on_after_the_guard() {
    let mut rig = Rig::serving();
    let stands = rig.standing(6);
    rig.says(1, set_up(7, "3000"));
    let conn = rig.set_up_of(7).expect("a set-up");
    rig.server_says(conn, Message::new(MessageType::Answer, call(7)));
    assert_eq!(rig.closed_servers, [conn]);
    rig.pass(290 * MS);
    assert_eq!(rig.set_ups(7), 1, "not within the guard");
    rig.pass(100 * MS);
    assert_eq!(rig.set_ups(7), 2);
    assert!(rig.released(7).is_empty(), "its connection took the first along");
    assert!(rig.told(7).is_empty());
    // The call that stood there is not touched; its end comes by any connection of the server.
    assert_eq!(rig.told(6).len(), 1);
    let other = rig.set_up_of(7).filter(|other| *other != stands);
    assert!(other.is_some());
}

/// Guards against a set-up that is taken off its connection before the rest of the message proves unusable: nobody
/// would end it, and its call would wait for its time-out.
#[test]
fn a_report_or_a_note_that_is_no_text_breaks_the_connection_with_all_its_set_ups() {
    let release = |cause| Message::release(call(7), cause);
    let bad = [
        answer(7).with(ParameterCode::LOAD_REPORT, &[0xff][..]),
        release(Cause::NO_CIRCUIT).with(ParameterCode::LOAD_REPORT, &[0xff][..]),
        release(Cause::NO_CIRCUIT).with(ParameterCode::NOTE, &[0xff][..]),
    ];
    for message in bad {
        let mut rig = Rig::serving();
        rig.says(1, set_up(7, "3000"));
        let conn = rig.set_up_of(7).expect("a set-up");
        rig.server_says(conn, message.clone());
        assert_eq!(rig.closed_servers, [conn], "{message:?}");
        rig.pass(400 * MS);
        assert_eq!(rig.set_ups(7), 2, "reset, and set up again after the guard: {message:?}");
    }
}

#[test]
fn a_broken_connection_ends_no_standing_call_and_a_refused_one_ends_all() {
    let mut rig = Rig::serving();
    let conn = rig.standing(7);
    rig.hear(Input::ServerDown(conn));
    rig.pass(200 * MS);
    assert_eq!(rig.told(7).len(), 1);
    // All its connections break, and the next is refused: nothing runs there.
    let mut rig = Rig::serving();
    let conn = rig.standing(7);
    for other in (1..=4).map(ConnId).collect::<Vec<_>>() {
        rig.hear(Input::ServerDown(other));
    }
    let dialled: Vec<_> = rig.dialled.keys().copied().collect();
    assert!(!dialled.is_empty() && dialled.iter().all(|other| *other != conn));
    for other in dialled {
        rig.hear(Input::DialFailed(other, true));
    }
    assert_eq!(rig.told(7).last(), Some(&(1, MessageType::Release, Some(Cause::TEMPORARY))));
}

/// A set-up that never left is told apart from one that may have run.
#[test]
fn a_set_up_waits_for_a_connection_and_goes_elsewhere_when_refused() {
    let mut rig = Rig::new(&config(&[one(), two()]));
    rig.caller(1);
    rig.says(1, set_up(7, "3000"));
    assert_eq!(rig.set_ups(7), 0);
    let to_one: Vec<_> =
        rig.dialled.iter().filter(|(_, at)| at.ip().to_string() == "10.1.0.1").map(|d| *d.0).collect();
    let to_two: Vec<_> =
        rig.dialled.iter().filter(|(_, at)| at.ip().to_string() == "10.1.0.2").map(|d| *d.0).collect();
    rig.hear(Input::ServerUp(to_two[0]));
    for conn in to_one {
        rig.hear(Input::DialFailed(conn, true));
    }
    assert_eq!(rig.set_up_of(7), Some(to_two[0]), "at once: it never ran");
}

#[test]
fn nothing_is_written_on_a_connection_that_comes_up_after_the_call_was_given_up() {
    let mut rig = Rig::new(&config(&[one(), two()]));
    rig.caller(1);
    rig.says(1, set_up(7, "3000"));
    rig.says(1, Message::release(call(7), Cause::NORMAL));
    rig.all_up();
    rig.pass(SECOND);
    assert_eq!((rig.set_ups(7), rig.released(7).len()), (0, 0));
}

/// A machine that vanishes says nothing: its connections are tested, then it is dialled, then its calls are over.
#[test]
fn a_silent_server_is_found_and_its_calls_end_within_8_s() {
    let mut rig = Rig::serving();
    let conn = rig.standing(7);
    let from = rig.now;
    let mut ended = None;
    while rig.now < from + 8 * SECOND && ended.is_none() {
        rig.pass(50 * MS);
        if rig.told(7).len() > 1 {
            ended = Some(rig.now - from);
        }
    }
    assert!(rig.closed_servers.contains(&conn));
    assert!(ended.is_some_and(|after| (2 * SECOND..8 * SECOND).contains(&after)), "{ended:?}");
    // Should it come back, it is told to let go of the call.
    let dialled: Vec<_> = rig.dialled.keys().copied().collect();
    rig.hear(Input::ServerUp(*dialled.last().expect("it is dialled on")));
    assert_eq!(rig.released(7).len(), 1);
}

#[test]
fn half_a_message_is_waited_for_no_longer_than_half_a_second() {
    let mut rig = Rig::serving();
    rig.says(1, set_up(7, "3000"));
    let conn = rig.set_up_of(7).expect("a set-up");
    rig.hear(Input::Part(conn));
    rig.pass(400 * MS);
    assert!(rig.closed_servers.is_empty());
    rig.pass(200 * MS);
    assert_eq!(rig.closed_servers, [conn]);
}

/// Unasked news of a group reaches the module: a server without free lines is not the first choice any more.
#[test]
fn the_state_of_a_group_reaches_the_module() {
    let mut rig = Rig::serving();
    rig.says(1, set_up(6, "3000"));
    let one = rig.set_up_of(6).expect("a set-up");
    let news = Message::new(MessageType::LoadReport, CallId::default())
        .with(ParameterCode::LOAD_REPORT, "idle:0;circuits:40;unknown:x;lat_ms:-1");
    rig.server_says(one, news);
    rig.says(1, set_up(7, "3000"));
    let two = rig.set_up_of(7).expect("a set-up");
    assert!((1..=2).contains(&one.0) != (1..=2).contains(&two.0), "{one:?} {two:?}");
}

#[test]
fn set_ups_are_spread_over_connections_so_that_one_bad_answer_spoils_few() {
    let mut rig = Rig::serving();
    for id in 1..=8 {
        rig.says(1, set_up(id, "3000"));
        rig.all_up();
    }
    let bad = rig.set_up_of(8).expect("a set-up");
    rig.server_says(bad, Message::new(MessageType::SetUp, call(1)));
    assert_eq!(rig.closed_servers, [bad]);
    rig.pass(400 * MS);
    let again = (1..=8).filter(|id| rig.set_ups(*id) > 1).count();
    assert!((1..=2).contains(&again), "{again} of 8");
}

#[test]
fn after_sigterm_calls_are_served_through_the_hand_over_and_all_is_answered_before_the_end() {
    let mut rig = Rig::serving();
    rig.standing(6);
    rig.hear(Input::Stop);
    rig.pass(600 * MS);
    assert!(!rig.deaf);
    rig.caller(2);
    rig.says(2, set_up(7, "9000"));
    let conn = rig.set_up_of(7).expect("taken");
    rig.says(2, set_up(8, "9000"));
    rig.pass(500 * MS);
    assert!(rig.deaf && !rig.ended);
    rig.server_says(conn, answer(7));
    assert_eq!(rig.told(7), [(2, MessageType::Answer, None)]);
    rig.pass(2_400 * MS);
    assert_eq!(rig.told(8).len(), 1, "answered before the kill at 3.7 s");
    assert!(rig.ended);
    assert!(rig.released(6).is_empty() && rig.told(6).len() == 1, "what stands is left to the next process");
    assert!(!rig.closed_callers.contains(&LinkId(1)));
}

/// Guards against the end of a call that went down with a connection: its server tells it again on the next one.
#[test]
fn a_connection_that_breaks_is_replaced_at_once_though_none_is_needed() {
    let mut rig = Rig::serving();
    for id in 1..=6 {
        rig.says(1, set_up(id, "3000"));
        rig.all_up();
    }
    for id in 1..=6 {
        let conn = rig.set_up_of(id).expect("a set-up");
        rig.server_says(conn, answer(id));
    }
    let (before, conn) = (rig.dialled_ever.len(), rig.set_up_of(6).expect("a set-up"));
    rig.hear(Input::ServerDown(conn));
    assert_eq!(rig.dialled_ever.len(), before + 1);
    let next = *rig.dialled.keys().last().expect("dialled");
    rig.hear(Input::ServerUp(next));
    rig.server_says(next, Message::release(call(6), Cause::NORMAL));
    assert_eq!(rig.told(6).last(), Some(&(1, MessageType::Release, Some(Cause::NORMAL))));
    rig.pass(SECOND);
    assert_eq!(rig.dialled_ever.len(), before + 1, "one for one");
}

#[test]
fn the_end_of_a_call_counts_on_a_connection_that_an_earlier_attempt_was_on() {
    let (mut rig, first) = after_a_reset();
    let second = rig.set_up_of(7).expect("another");
    rig.server_says(second, answer(7));
    rig.server_says(first, Message::release(call(7), Cause::TEMPORARY));
    assert_eq!(rig.told(7).len(), 1, "late, on the attempt that broke");
    rig.server_says(first, Message::release(call(7), Cause::NORMAL));
    assert_eq!(rig.told(7).len(), 2);
}

/// Guards against a call that ends twice: its answer was lost, and its end comes while the answer is awaited.
#[test]
fn the_end_of_a_call_whose_answer_was_lost_is_its_end() {
    let mut rig = Rig::serving();
    rig.says(1, set_up(7, "3000"));
    let conn = rig.set_up_of(7).expect("a set-up");
    rig.pass(500 * MS);
    rig.server_says(conn, Message::release(call(7), Cause::NORMAL));
    assert_eq!(rig.told(7), [(1, MessageType::Release, Some(Cause::TEMPORARY))], "failed, at once");
    rig.pass(3 * SECOND);
    assert_eq!((rig.set_ups(7), rig.told(7).len()), (1, 1), "and never set up again");
}
