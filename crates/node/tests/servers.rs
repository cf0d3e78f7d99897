//! Messages from signalling servers, and the handling of failed servers.

mod common;

use baydrift_call::LinkId;
use baydrift_node::state::{ConnId, Input};
use baydrift_platform::{CallId, Cause, Message, MessageType, ParameterCode};
use baydrift_standin::Listed;
use common::{
    answer, call, config, config_of_large_fleet, server_one, server_two, set_up, Harness, MS, SECOND,
};

/// Starts a node with one server and a call that is set up again there after its first attempt was reset.
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

/// Guards against a late message on a released attempt that is matched to the next one.
#[test]
fn late_reply_is_not_matched_to_the_next_attempt() {
    let (mut harness, first) = after_a_reset();
    let second = harness.set_up_conn(7).expect("another");
    assert_eq!(harness.set_up_count(7), 2);
    assert_ne!(first, second, "a call uses a connection only once");
    harness.server_sends(first, answer(7));
    harness.server_sends(first, Message::release(call(7), Cause::BUSY));
    assert!(harness.sent_to_caller(7).is_empty());
    harness.server_sends(second, answer(7));
    assert_eq!(harness.sent_to_caller(7), [(1, MessageType::Answer, None)]);
    // Nor does it end the established call.
    harness.server_sends(first, Message::release(call(7), Cause::TEMPORARY));
    assert_eq!(harness.sent_to_caller(7).len(), 1);
    harness.server_sends(second, Message::release(call(7), Cause::NORMAL));
    assert_eq!(harness.sent_to_caller(7).len(), 2);
}

#[test]
fn duplicates_and_unknown_ids_are_ignored() {
    let mut harness = Harness::connected();
    let conn = harness.establish(7);
    harness.server_sends(conn, answer(7));
    harness.server_sends(conn, answer(99));
    harness.server_sends(conn, Message::release(call(98), Cause::NORMAL));
    assert_eq!(harness.to_callers.len(), 1);
    assert!(harness.closed_servers.is_empty());
}

/// Rules 2 and 5: the broken attempt has ended, and the next one waits for the retry hold-off.
#[test]
fn invalid_answer_closes_the_connection_and_the_call_is_retried_after_the_holdoff() {
    let mut harness = Harness::connected();
    let established_on = harness.establish(6);
    harness.caller_sends(1, set_up(7, "3000"));
    let conn = harness.set_up_conn(7).expect("a set-up");
    harness.server_sends(conn, Message::new(MessageType::Answer, call(7)));
    assert_eq!(harness.closed_servers, [conn]);
    harness.advance(290 * MS);
    assert_eq!(harness.set_up_count(7), 1, "not within the hold-off");
    harness.advance(100 * MS);
    assert_eq!(harness.set_up_count(7), 2);
    // The request has run: the call may be established there, and no connection owns an established call.
    let released_on = harness.releases_sent(7);
    assert!(released_on.len() == 1 && released_on[0] != conn, "{released_on:?}, set up on {conn:?}");
    assert_eq!(harness.all_dials[&released_on[0]], harness.all_dials[&conn], "released at the same server");
    assert!(harness.sent_to_caller(7).is_empty());
    // The call established there is not affected; its end is accepted on any connection of the server.
    assert_eq!(harness.sent_to_caller(6).len(), 1);
    let other = harness.set_up_conn(7).filter(|other| *other != established_on);
    assert!(other.is_some());
}

/// Guards against a call that runs at two servers: its answer was lost with the connection, so it is
/// established at the first one, which must be told before the call is set up again.
#[test]
fn call_whose_answer_was_lost_with_its_connection_is_released() {
    let mut harness = Harness::connected();
    harness.caller_sends(1, set_up(7, "3000"));
    let conn = harness.set_up_conn(7).expect("a set-up");
    harness.handle(Input::ServerDown(conn));
    let released_on = harness.releases_sent(7);
    assert!(released_on.len() == 1 && released_on[0] != conn, "{released_on:?}, set up on {conn:?}");
    assert_eq!(harness.all_dials[&released_on[0]], harness.all_dials[&conn], "released at the same server");
    harness.advance(400 * MS);
    assert_eq!((harness.set_up_count(7), harness.releases_sent(7).len()), (2, 1));
}

/// Guards against the same where no other connection is up: the release is the first message on the next one,
/// which is dialled at once, also where the server drains.
#[test]
fn lost_answer_is_released_first_on_the_next_connection() {
    for drains in [false, true] {
        let mut harness = Harness::new(&config_of_large_fleet(&[server_one()]));
        harness.connect_all();
        harness.caller(1);
        harness.caller_sends(1, set_up(7, "3000"));
        let conn = harness.set_up_conn(7).expect("a set-up");
        harness.deliver_list(2, &[Listed { drains, ..server_one() }]);
        harness.handle(Input::ServerDown(conn));
        let sent_before = harness.to_servers.len();
        let (next, _) = harness.dialled.pop_first().expect("dialled at once");
        harness.handle(Input::ServerUp(next));
        assert_eq!(
            harness.to_servers.get(sent_before),
            Some(&(next, Message::release(call(7), Cause::NORMAL)))
        );
        harness.advance(400 * MS);
        assert_eq!(harness.releases_sent(7), [next]);
    }
}

/// Guards against a release that waits for the pause after an earlier failed dial: it would arrive after the
/// hold-off, when the call is set up elsewhere.
#[test]
fn release_of_a_lost_answer_skips_the_redial_pause() {
    let mut harness = Harness::new(&config(&[server_one()]));
    harness.connect_all();
    harness.caller(1);
    for id in 1..=2 {
        harness.caller_sends(1, set_up(id, "3000"));
    }
    let (third, _) = harness.dialled.pop_first().expect("one connection is kept spare");
    harness.handle(Input::DialFailed(third, true));
    for conn in [ConnId(1), ConnId(2)] {
        harness.handle(Input::ServerDown(conn));
    }
    let (next, _) = harness.dialled.pop_first().expect("dialled at once");
    harness.handle(Input::ServerUp(next));
    assert_eq!(
        (harness.releases_sent(1).last(), harness.releases_sent(2).last()),
        (Some(&next), Some(&next))
    );
}

/// Guards against a release that is lost with the connection it was written to: all connections to the
/// server are reset, and the first reset's release is written to the second one.
#[test]
fn release_is_repeated_when_its_connection_breaks() {
    let mut harness = Harness::new(&config(&[server_one()]));
    harness.connect_all();
    harness.caller(1);
    harness.caller_sends(1, set_up(7, "3000"));
    harness.break_all_conns();
    let (next, _) = harness.dialled.pop_first().expect("dialled");
    harness.handle(Input::ServerUp(next));
    assert_eq!(harness.to_servers.last(), Some(&(next, Message::release(call(7), Cause::NORMAL))));
    harness.handle(Input::ServerDown(next));
    harness.connect_all();
    assert_ne!(harness.releases_sent(7).last(), Some(&next));
}

/// Guards against a caller's release that is lost in the same way; one that was written long enough before to
/// have been read is not repeated.
#[test]
fn callers_release_is_repeated_when_its_connection_breaks() {
    for (breaks_after, releases) in [(0, 2), (2 * SECOND, 2), (4 * SECOND, 1)] {
        let mut harness = Harness::new(&config(&[server_one()]));
        harness.connect_all();
        harness.caller(1);
        let conn = harness.establish(7);
        harness.caller_sends(1, Message::release(call(7), Cause::NORMAL));
        harness.advance_with_ping_replies(breaks_after);
        harness.handle(Input::ServerDown(conn));
        harness.connect_all();
        assert_eq!(harness.releases_sent(7).len(), releases, "{breaks_after} us");
    }
}

/// Guards against a repeated release that waits for a connection which is never dialled again.
#[test]
fn replacement_for_a_release_is_dialled_again() {
    let mut harness = Harness::new(&config(&[server_one()]));
    harness.connect_all();
    harness.caller(1);
    let conn = harness.establish(7);
    harness.caller_sends(1, Message::release(call(7), Cause::NORMAL));
    harness.handle(Input::ServerDown(conn));
    let (failed, _) = harness.dialled.pop_first().expect("dialled");
    harness.handle(Input::DialFailed(failed, false));
    harness.advance_with_ping_replies(SECOND);
    harness.connect_all();
    assert_eq!(harness.releases_sent(7).len(), 2);
}

/// Guards against releases that multiply and keep the node from its work while connections break again and
/// again: each is written three times at most, and not again once the server has replied to a later set-up on the
/// same connection.
#[test]
fn releases_are_not_repeated_without_end() {
    let mut harness = Harness::new(&config_of_large_fleet(&[server_one()]));
    harness.connect_all();
    harness.caller(1);
    harness.caller_sends(1, set_up(7, "3000"));
    harness.caller_sends(1, Message::release(call(7), Cause::NORMAL));
    for _ in 0..50 {
        harness.advance(100 * MS);
        harness.break_all_conns();
        harness.connect_all();
    }
    assert_eq!(harness.releases_sent(7).len(), 3);
    // A reply to a later set-up shows that the release was read.
    harness.caller_sends(1, set_up(8, "3000"));
    harness.caller_sends(1, Message::release(call(8), Cause::NORMAL));
    harness.advance(10 * MS);
    harness.caller_sends(1, set_up(9, "3000"));
    let conn = harness.set_up_conn(9).expect("a set-up");
    assert_eq!(harness.releases_sent(8), [conn]);
    harness.server_sends(conn, answer(9));
    harness.break_all_conns();
    harness.connect_all();
    assert_eq!(harness.releases_sent(8), [conn]);
}

/// Guards against a repeated release that ends the next attempt of the call at the same server.
#[test]
fn release_is_not_repeated_once_the_call_is_set_up_there_again() {
    let mut harness = Harness::new(&config(&[server_one()]));
    harness.connect_all();
    harness.caller(1);
    harness.caller_sends(1, set_up(7, "3000"));
    let first = harness.set_up_conn(7).expect("a set-up");
    harness.handle(Input::ServerDown(first));
    harness.connect_all();
    let [released_on] = harness.releases_sent(7)[..] else { panic!("one release") };
    // Other set-ups occupy that connection, so that the next attempt gets another one.
    for id in 20..23 {
        harness.caller_sends(1, set_up(id, "3000"));
        harness.connect_all();
    }
    harness.advance(400 * MS);
    let second = harness.set_up_conn(7).expect("another");
    assert_eq!((harness.set_up_count(7), second != released_on), (2, true));
    harness.handle(Input::ServerDown(released_on));
    assert_eq!(harness.releases_sent(7).len(), 1);
    harness.server_sends(second, answer(7));
    assert_eq!(harness.sent_to_caller(7), [(1, MessageType::Answer, None)]);
}

/// Guards against an exit that is delayed by a release that a dead server can never read.
#[test]
fn release_for_a_dead_process_does_not_delay_the_exit() {
    for (refused, exited) in [(true, true), (false, false)] {
        let mut harness = Harness::new(&config_of_large_fleet(&[server_one()]));
        harness.connect_all();
        harness.caller(1);
        harness.caller_sends(1, set_up(7, "3000"));
        let conn = harness.set_up_conn(7).expect("a set-up");
        harness.handle(Input::Stop);
        harness.handle(Input::ServerDown(conn));
        harness.caller_sends(1, Message::release(call(7), Cause::NORMAL));
        harness.advance(500 * MS);
        for (conn, _) in std::mem::take(&mut harness.dialled) {
            harness.handle(Input::DialFailed(conn, refused));
        }
        harness.advance(700 * MS);
        assert!(harness.stopped_accepting);
        assert_eq!(harness.exited, exited, "refused: {refused}");
    }
}

/// Guards against a set-up that is removed from its connection before the rest of the message proves invalid:
/// it would never be reset, and its call would wait for its time-out.
#[test]
fn invalid_report_or_note_resets_all_set_ups_of_the_connection() {
    let release = |cause| Message::release(call(7), cause);
    let bad = [
        answer(7).with(ParameterCode::LOAD_REPORT, &[0xff][..]),
        release(Cause::NO_CIRCUIT).with(ParameterCode::LOAD_REPORT, &[0xff][..]),
        release(Cause::NO_CIRCUIT).with(ParameterCode::NOTE, &[0xff][..]),
    ];
    for message in bad {
        let mut harness = Harness::connected();
        harness.caller_sends(1, set_up(7, "3000"));
        let conn = harness.set_up_conn(7).expect("a set-up");
        harness.server_sends(conn, message.clone());
        assert_eq!(harness.closed_servers, [conn], "{message:?}");
        harness.advance(400 * MS);
        assert_eq!(harness.set_up_count(7), 2, "reset, and set up again after the hold-off: {message:?}");
    }
}

#[test]
fn refused_dial_ends_established_calls_but_a_broken_connection_does_not() {
    let mut harness = Harness::connected();
    let conn = harness.establish(7);
    harness.handle(Input::ServerDown(conn));
    harness.advance(200 * MS);
    assert_eq!(harness.sent_to_caller(7).len(), 1);
    // All its connections break, and the next dial is refused: the process is gone.
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
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(1, MessageType::Release, Some(Cause::TEMPORARY))));
}

/// A set-up that was never written may move at once, unlike one that may have taken effect.
#[test]
fn waiting_set_up_moves_to_another_server_after_a_refused_dial() {
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
    assert_eq!(harness.set_up_conn(7), Some(to_two[0]), "at once, since it was never written");
}

#[test]
fn cancelled_set_up_is_not_written_on_a_later_connection() {
    let mut harness = Harness::new(&config(&[server_one(), server_two()]));
    harness.caller(1);
    harness.caller_sends(1, set_up(7, "3000"));
    harness.caller_sends(1, Message::release(call(7), Cause::NORMAL));
    harness.connect_all();
    harness.advance(SECOND);
    assert_eq!((harness.set_up_count(7), harness.releases_sent(7).len()), (0, 0));
}

/// A vanished machine closes no connection: the pings time out, then the dials fail, then its calls end.
#[test]
fn calls_at_a_silent_server_end_within_8_s() {
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
    // Should it come back, the call is released there.
    let dialled: Vec<_> = harness.dialled.keys().copied().collect();
    harness.handle(Input::ServerUp(*dialled.last().expect("it is still dialled")));
    assert_eq!(harness.releases_sent(7).len(), 1);
}

#[test]
fn incomplete_message_times_out_after_500_ms() {
    let mut harness = Harness::connected();
    harness.caller_sends(1, set_up(7, "3000"));
    let conn = harness.set_up_conn(7).expect("a set-up");
    harness.handle(Input::ServerPartial(conn));
    harness.advance(400 * MS);
    assert!(harness.closed_servers.is_empty());
    harness.advance(200 * MS);
    assert_eq!(harness.closed_servers, [conn]);
}

/// An unsolicited load report reaches the module: a server without free
/// circuits is no longer the first choice.
#[test]
fn trunk_group_state_reaches_the_module() {
    let mut harness = Harness::connected();
    harness.caller_sends(1, set_up(6, "3000"));
    let one = harness.set_up_conn(6).expect("a set-up");
    let report = Message::new(MessageType::LoadReport, CallId::default())
        .with(ParameterCode::LOAD_REPORT, "idle:0;circuits:40;unknown:x;lat_ms:-1");
    harness.server_sends(one, report);
    harness.caller_sends(1, set_up(7, "3000"));
    let two = harness.set_up_conn(7).expect("a set-up");
    assert!((1..=2).contains(&one.0) != (1..=2).contains(&two.0), "{one:?} {two:?}");
}

#[test]
fn invalid_message_resets_only_a_few_set_ups() {
    let mut harness = Harness::connected();
    for id in 1..=8 {
        harness.caller_sends(1, set_up(id, "3000"));
        harness.connect_all();
    }
    let bad = harness.set_up_conn(8).expect("a set-up");
    harness.server_sends(bad, Message::new(MessageType::SetUp, call(1)));
    assert_eq!(harness.closed_servers, [bad]);
    harness.advance(400 * MS);
    let again = (1..=8).filter(|id| harness.set_up_count(*id) > 1).count();
    assert!((1..=2).contains(&again), "{again} of 8");
}

#[test]
fn calls_are_accepted_after_sigterm_and_answered_before_exit() {
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
    assert_eq!(harness.sent_to_caller(7), [(2, MessageType::Answer, None)]);
    harness.advance(2_400 * MS);
    assert_eq!(harness.sent_to_caller(8).len(), 1, "answered before the SIGKILL at 3.7 s");
    assert!(harness.exited);
    assert!(
        harness.releases_sent(6).is_empty() && harness.sent_to_caller(6).len() == 1,
        "established calls are left to the next process"
    );
    assert!(!harness.closed_callers.contains(&LinkId(1)));
}

/// Guards against the end of a call that was lost with a connection: the server repeats it on the next one.
#[test]
fn broken_connection_is_replaced_at_once() {
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
    assert_eq!(harness.sent_to_caller(6).last(), Some(&(1, MessageType::Release, Some(Cause::NORMAL))));
    harness.advance(SECOND);
    assert_eq!(harness.all_dials.len(), before + 1, "each is replaced once");
}

/// Guards against ends of calls that are never fetched after a partition: a replacement that does not come up
/// is dialled again, also while other connections to the server work, until one is up.
#[test]
fn replacement_that_does_not_come_up_is_dialled_again() {
    let mut harness = Harness::connected();
    let broken = harness.establish(7);
    harness.connect_all();
    harness.handle(Input::ServerDown(broken));
    for round in 0..4 {
        let (replacement, _) = harness.dialled.pop_first().unwrap_or_else(|| panic!("dial {round}"));
        harness.advance_with_ping_replies(500 * MS);
        harness.handle(Input::DialFailed(replacement, false));
        // The pause after a failed dial is at most 1 s.
        harness.advance_with_ping_replies(1_100 * MS);
    }
    assert!(harness.closed_servers.is_empty(), "the other connections work: {:?}", harness.closed_servers);
    let (replacement, _) = harness.dialled.pop_first().expect("dialled until one is up");
    harness.handle(Input::ServerUp(replacement));
    harness.server_sends(replacement, Message::release(call(7), Cause::NORMAL));
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(1, MessageType::Release, Some(Cause::NORMAL))));
}

/// Guards against ends of calls that are lost with their replacement connection: above the limit that the failed
/// dials have lowered, it was closed as surplus before the ends that the server repeats on it had arrived.
#[test]
fn replacement_is_not_closed_before_the_repeated_ends_arrive() {
    let mut harness = Harness::new(&config(&[server_one()]));
    harness.connect_all();
    harness.caller(1);
    for id in [7, 8] {
        harness.caller_sends(1, set_up(id, "3000"));
    }
    let conns = [7, 8].map(|id| harness.set_up_conn(id).expect("a set-up"));
    for (id, conn) in [7, 8].into_iter().zip(conns) {
        harness.server_sends(conn, answer(id));
    }
    let (spare, _) = harness.dialled.pop_first().expect("one connection is kept spare");
    harness.handle(Input::DialFailed(spare, false));
    harness.advance_with_ping_replies(500 * MS);
    harness.handle(Input::ServerDown(conns[0]));
    let (failed, _) = harness.dialled.pop_first().expect("dialled");
    harness.handle(Input::DialFailed(failed, false));
    harness.advance_with_ping_replies(500 * MS);
    let (replacement, _) = harness.dialled.pop_first().expect("dialled again");
    harness.handle(Input::ServerUp(replacement));
    harness.advance(200 * MS);
    harness.server_sends(replacement, Message::release(call(7), Cause::NORMAL));
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(1, MessageType::Release, Some(Cause::NORMAL))));
    // It is surplus once nothing more arrives.
    harness.advance(1_100 * MS);
    assert_eq!(harness.closed_servers, [replacement]);
}

/// Guards against a pool that never grows again after one failed dial: the limit that a refusal lowers rises by
/// one connection in 10 s, and the next one is dialled then.
#[test]
fn pool_grows_again_after_a_failed_dial() {
    let mut harness = Harness::new(&config(&[server_one()]));
    harness.connect_all();
    harness.caller(1);
    for id in 1..=2 {
        harness.caller_sends(1, set_up(id, "9000"));
    }
    let (third, _) = harness.dialled.pop_first().expect("one connection is kept spare");
    harness.handle(Input::DialFailed(third, true));
    for id in 1..=2 {
        let conn = harness.set_up_conn(id).expect("a set-up");
        harness.server_sends(conn, answer(id));
    }
    harness.advance_with_ping_replies(9 * SECOND);
    assert!(harness.dialled.is_empty(), "not while the limit is reached: {:?}", harness.dialled);
    harness.advance_with_ping_replies(2 * SECOND);
    for id in 3..=5 {
        harness.caller_sends(1, set_up(id, "9000"));
    }
    harness.advance(100 * MS);
    assert_eq!(harness.dialled.len(), 1, "the limit has risen by one");
}

/// Guards against endless dials to a server at its connection cap: a replacement that does not come up is
/// given up when no call is established there, since no end can have been lost.
#[test]
fn replacement_that_no_call_needs_is_dialled_once() {
    let mut harness = Harness::connected();
    harness.handle(Input::ServerDown(ConnId(1)));
    let (replacement, _) = harness.dialled.pop_first().expect("dialled");
    harness.handle(Input::DialFailed(replacement, true));
    harness.advance_with_ping_replies(3 * SECOND);
    assert!(harness.dialled.is_empty(), "{:?}", harness.dialled);
}

#[test]
fn end_of_call_is_accepted_on_the_connection_of_an_earlier_attempt() {
    let (mut harness, first) = after_a_reset();
    let second = harness.set_up_conn(7).expect("another");
    harness.server_sends(second, answer(7));
    harness.server_sends(first, Message::release(call(7), Cause::TEMPORARY));
    assert_eq!(harness.sent_to_caller(7).len(), 1, "late release of the attempt that was reset");
    harness.server_sends(first, Message::release(call(7), Cause::NORMAL));
    assert_eq!(harness.sent_to_caller(7).len(), 2);
}

/// Guards against a call that ends twice: its answer was lost, and its end
/// arrives while the answer is expected.
#[test]
fn release_after_a_lost_answer_ends_the_call() {
    let mut harness = Harness::connected();
    harness.caller_sends(1, set_up(7, "3000"));
    let conn = harness.set_up_conn(7).expect("a set-up");
    harness.advance(500 * MS);
    harness.server_sends(conn, Message::release(call(7), Cause::NORMAL));
    assert_eq!(
        harness.sent_to_caller(7),
        [(1, MessageType::Release, Some(Cause::TEMPORARY))],
        "failed at once"
    );
    harness.advance(3 * SECOND);
    assert_eq!((harness.set_up_count(7), harness.sent_to_caller(7).len()), (1, 1), "and never set up again");
}
