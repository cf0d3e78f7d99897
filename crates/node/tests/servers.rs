//! What signalling servers send, and what becomes of those that fail.

mod common;

use baydrift_call::LinkId;
use baydrift_node::state::{ConnId, Input};
use baydrift_platform::{Cause, Code, Id, Kind, Message};
use common::{answer, call, config, server_one, server_two, set_up, Harness, MS, SECOND};

/// One server, and a call whose first attempt there was reset and has been set up there again.
fn after_a_reset() -> (Harness, ConnId) {
    let mut harness = Harness::new(&config(&[server_one()]));
    harness.connect_all();
    harness.caller(1);
    harness.caller_sends(1, set_up(7, "3000"));
    let first = harness.set_up_conn(7).expect("a set-up");
    harness.server_sends(first, Message::release(call(7), Cause::TEMPORARY));
    harness.advance(500 * MS);
    (harness, first)
}

/// Guards against a late word on an attempt that was given up, taken for one on the next.
#[test]
fn a_late_reply_is_not_the_next_attempts() {
    let (mut harness, first) = after_a_reset();
    let second = harness.set_up_conn(7).expect("another");
    assert_eq!(harness.set_up_count(7), 2);
    assert_ne!(first, second, "never on the same connection again");
    harness.server_sends(first, answer(7));
    harness.server_sends(first, Message::release(call(7), Cause::BUSY));
    assert!(harness.sent_to_caller(7).is_empty());
    harness.server_sends(second, answer(7));
    assert_eq!(harness.sent_to_caller(7), [(1, Kind::Answer, None)]);
    // Nor does it end the call that stands.
    harness.server_sends(first, Message::release(call(7), Cause::TEMPORARY));
    assert_eq!(harness.sent_to_caller(7).len(), 1);
    harness.server_sends(second, Message::release(call(7), Cause::NORMAL));
    assert_eq!(harness.sent_to_caller(7).len(), 2);
}

#[test]
fn second_copies_and_unknown_ids_mean_nothing() {
    let mut harness = Harness::connected();
    let conn = harness.establish(7);
    harness.server_sends(conn, answer(7));
    harness.server_sends(conn, answer(99));
    harness.server_sends(conn, Message::release(call(98), Cause::NORMAL));
    assert_eq!(harness.to_callers.len(), 1);
    assert!(harness.closed_servers.is_empty());
}

/// Rules 2 and 5: what broke is over, and waits out the guard.
#[test]
fn an_answer_that_cannot_be_used_closes_the_connection_and_the_call_goes_on_after_the_guard() {
    let mut harness = Harness::connected();
    let stands = harness.establish(6);
    harness.caller_sends(1, set_up(7, "3000"));
    let conn = harness.set_up_conn(7).expect("a set-up");
    harness.server_sends(conn, Message::new(Kind::Answer, call(7)));
    assert_eq!(harness.closed_servers, [conn]);
    harness.advance(290 * MS);
    assert_eq!(harness.set_up_count(7), 1, "not within the guard");
    harness.advance(100 * MS);
    assert_eq!(harness.set_up_count(7), 2);
    assert!(harness.releases_sent(7).is_empty(), "its connection took the first along");
    assert!(harness.sent_to_caller(7).is_empty());
    // The call that stood there is not touched; its end comes by any connection of the server.
    assert_eq!(harness.sent_to_caller(6).len(), 1);
    let other = harness.set_up_conn(7).filter(|other| *other != stands);
    assert!(other.is_some());
}

/// Guards against a set-up that is taken off its connection before the rest of the message proves unusable: nobody
/// would end it, and its call would wait for its time-out.
#[test]
fn a_report_or_a_note_that_is_no_text_breaks_the_connection_with_all_its_set_ups() {
    let release = |cause| Message::release(call(7), cause);
    let bad = [
        answer(7).with(Code::REPORT, &[0xff][..]),
        release(Cause::NO_CIRCUIT).with(Code::REPORT, &[0xff][..]),
        release(Cause::NO_CIRCUIT).with(Code::NOTE, &[0xff][..]),
    ];
    for message in bad {
        let mut harness = Harness::connected();
        harness.caller_sends(1, set_up(7, "3000"));
        let conn = harness.set_up_conn(7).expect("a set-up");
        harness.server_sends(conn, message.clone());
        assert_eq!(harness.closed_servers, [conn], "{message:?}");
        harness.advance(400 * MS);
        assert_eq!(harness.set_up_count(7), 2, "reset, and set up again after the guard: {message:?}");
    }
}

#[test]
fn a_broken_connection_ends_no_standing_call_and_a_refused_one_ends_all() {
    let mut harness = Harness::connected();
    let conn = harness.establish(7);
    harness.handle(Input::ServerDown(conn));
    harness.advance(200 * MS);
    assert_eq!(harness.sent_to_caller(7).len(), 1);
    // All its connections break, and the next is refused: nothing runs there.
    let mut harness = Harness::connected();
    let conn = harness.establish(7);
    for other in (1..=4).map(ConnId).collect::<Vec<_>>() {
        harness.handle(Input::ServerDown(other));
    }
    let dialled: Vec<_> = harness.dialled.keys().copied().collect();
    assert!(!dialled.is_empty() && dialled.iter().all(|other| *other != conn));
    for other in dialled {
        harness.handle(Input::DialFailed(other, true));
    }
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(1, Kind::Release, Some(Cause::TEMPORARY))));
}

/// A set-up that never left is told apart from one that may have run.
#[test]
fn a_set_up_waits_for_a_connection_and_goes_elsewhere_when_refused() {
    let mut harness = Harness::new(&config(&[server_one(), server_two()]));
    harness.caller(1);
    harness.caller_sends(1, set_up(7, "3000"));
    assert_eq!(harness.set_up_count(7), 0);
    let to_one: Vec<_> =
        harness.dialled.iter().filter(|(_, at)| at.ip().to_string() == "10.1.0.1").map(|d| *d.0).collect();
    let to_two: Vec<_> =
        harness.dialled.iter().filter(|(_, at)| at.ip().to_string() == "10.1.0.2").map(|d| *d.0).collect();
    harness.handle(Input::ServerUp(to_two[0]));
    for conn in to_one {
        harness.handle(Input::DialFailed(conn, true));
    }
    assert_eq!(harness.set_up_conn(7), Some(to_two[0]), "at once: it never ran");
}

#[test]
fn nothing_is_written_on_a_connection_that_comes_up_after_the_call_was_given_up() {
    let mut harness = Harness::new(&config(&[server_one(), server_two()]));
    harness.caller(1);
    harness.caller_sends(1, set_up(7, "3000"));
    harness.caller_sends(1, Message::release(call(7), Cause::NORMAL));
    harness.connect_all();
    harness.advance(SECOND);
    assert_eq!((harness.set_up_count(7), harness.releases_sent(7).len()), (0, 0));
}

/// A machine that vanishes says nothing: its connections are tested, then it is dialled, then its calls are over.
#[test]
fn a_silent_server_is_found_and_its_calls_end_within_8_s() {
    let mut harness = Harness::connected();
    let conn = harness.establish(7);
    let from = harness.now;
    let mut ended = None;
    while harness.now < from + 8 * SECOND && ended.is_none() {
        harness.advance(50 * MS);
        if harness.sent_to_caller(7).len() > 1 {
            ended = Some(harness.now - from);
        }
    }
    assert!(harness.closed_servers.contains(&conn));
    assert!(ended.is_some_and(|after| (2 * SECOND..8 * SECOND).contains(&after)), "{ended:?}");
    // Should it come back, it is told to let go of the call.
    let dialled: Vec<_> = harness.dialled.keys().copied().collect();
    harness.handle(Input::ServerUp(*dialled.last().expect("it is dialled on")));
    assert_eq!(harness.releases_sent(7).len(), 1);
}

#[test]
fn half_a_message_is_waited_for_no_longer_than_half_a_second() {
    let mut harness = Harness::connected();
    harness.caller_sends(1, set_up(7, "3000"));
    let conn = harness.set_up_conn(7).expect("a set-up");
    harness.handle(Input::ServerPartial(conn));
    harness.advance(400 * MS);
    assert!(harness.closed_servers.is_empty());
    harness.advance(200 * MS);
    assert_eq!(harness.closed_servers, [conn]);
}

/// Unasked news of a group reaches the module: a server without free lines is not the first choice any more.
#[test]
fn the_state_of_a_group_reaches_the_module() {
    let mut harness = Harness::connected();
    harness.caller_sends(1, set_up(6, "3000"));
    let one = harness.set_up_conn(6).expect("a set-up");
    let news =
        Message::new(Kind::State, Id::default()).with(Code::REPORT, "idle:0;circuits:40;unknown:x;lat_ms:-1");
    harness.server_sends(one, news);
    harness.caller_sends(1, set_up(7, "3000"));
    let two = harness.set_up_conn(7).expect("a set-up");
    assert!((1..=2).contains(&one.0) != (1..=2).contains(&two.0), "{one:?} {two:?}");
}

#[test]
fn set_ups_are_spread_over_connections_so_that_one_bad_answer_spoils_few() {
    let mut harness = Harness::connected();
    for id in 1..=8 {
        harness.caller_sends(1, set_up(id, "3000"));
        harness.connect_all();
    }
    let bad = harness.set_up_conn(8).expect("a set-up");
    harness.server_sends(bad, Message::new(Kind::SetUp, call(1)));
    assert_eq!(harness.closed_servers, [bad]);
    harness.advance(400 * MS);
    let again = (1..=8).filter(|id| harness.set_up_count(*id) > 1).count();
    assert!((1..=2).contains(&again), "{again} of 8");
}

#[test]
fn after_sigterm_calls_are_served_through_the_hand_over_and_all_is_answered_before_the_end() {
    let mut harness = Harness::connected();
    harness.establish(6);
    harness.handle(Input::Stop);
    harness.advance(600 * MS);
    assert!(!harness.stopped_accepting);
    harness.caller(2);
    harness.caller_sends(2, set_up(7, "9000"));
    let conn = harness.set_up_conn(7).expect("taken");
    harness.caller_sends(2, set_up(8, "9000"));
    harness.advance(500 * MS);
    assert!(harness.stopped_accepting && !harness.exited);
    harness.server_sends(conn, answer(7));
    assert_eq!(harness.sent_to_caller(7), [(2, Kind::Answer, None)]);
    harness.advance(2_400 * MS);
    assert_eq!(harness.sent_to_caller(8).len(), 1, "answered before the kill at 3.7 s");
    assert!(harness.exited);
    assert!(
        harness.releases_sent(6).is_empty() && harness.sent_to_caller(6).len() == 1,
        "what stands is left to the next process"
    );
    assert!(!harness.closed_callers.contains(&LinkId(1)));
}

/// Guards against the end of a call that went down with a connection: its server tells it again on the next one.
#[test]
fn a_connection_that_breaks_is_replaced_at_once_though_none_is_needed() {
    let mut harness = Harness::connected();
    for id in 1..=6 {
        harness.caller_sends(1, set_up(id, "3000"));
        harness.connect_all();
    }
    for id in 1..=6 {
        let conn = harness.set_up_conn(id).expect("a set-up");
        harness.server_sends(conn, answer(id));
    }
    let (before, conn) = (harness.all_dials.len(), harness.set_up_conn(6).expect("a set-up"));
    harness.handle(Input::ServerDown(conn));
    assert_eq!(harness.all_dials.len(), before + 1);
    let next = *harness.dialled.keys().last().expect("dialled");
    harness.handle(Input::ServerUp(next));
    harness.server_sends(next, Message::release(call(6), Cause::NORMAL));
    assert_eq!(harness.sent_to_caller(6).last(), Some(&(1, Kind::Release, Some(Cause::NORMAL))));
    harness.advance(SECOND);
    assert_eq!(harness.all_dials.len(), before + 1, "one for one");
}

#[test]
fn the_end_of_a_call_counts_on_a_connection_that_an_earlier_attempt_was_on() {
    let (mut harness, first) = after_a_reset();
    let second = harness.set_up_conn(7).expect("another");
    harness.server_sends(second, answer(7));
    harness.server_sends(first, Message::release(call(7), Cause::TEMPORARY));
    assert_eq!(harness.sent_to_caller(7).len(), 1, "late, on the attempt that broke");
    harness.server_sends(first, Message::release(call(7), Cause::NORMAL));
    assert_eq!(harness.sent_to_caller(7).len(), 2);
}

/// Guards against a call that ends twice: its answer was lost, and its end comes while the answer is awaited.
#[test]
fn the_end_of_a_call_whose_answer_was_lost_is_its_end() {
    let mut harness = Harness::connected();
    harness.caller_sends(1, set_up(7, "3000"));
    let conn = harness.set_up_conn(7).expect("a set-up");
    harness.advance(500 * MS);
    harness.server_sends(conn, Message::release(call(7), Cause::NORMAL));
    assert_eq!(harness.sent_to_caller(7), [(1, Kind::Release, Some(Cause::TEMPORARY))], "failed, at once");
    harness.advance(3 * SECOND);
    assert_eq!((harness.set_up_count(7), harness.sent_to_caller(7).len()), (1, 1), "and never set up again");
}
