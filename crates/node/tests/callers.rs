//! Messages from callers, and the replies to them.

mod common;

use baydrift_call::LinkId;
use baydrift_node::state::{ConnId, Input};
use baydrift_platform::{Cause, Message, MessageType, ParameterCode};
use common::{
    announcement, answer, call, config, server_one, server_two, set_up, set_up_with, Harness, MS, SECOND,
};

#[test]
fn set_up_is_forwarded_and_answer_returned_unchanged() {
    let mut harness = Harness::connected();
    harness.caller_sends(1, set_up(7, "1500"));
    let conn = harness.set_up_conn(7).expect("a set-up");
    let (_, sent) =
        harness.to_servers.iter().rfind(|(_, m)| m.kind == MessageType::SetUp).cloned().expect("it");
    assert_eq!(sent.text(ParameterCode::CLASS), Ok(Some("load")));
    assert_eq!(sent.text(ParameterCode::CALLED_NUMBER), Ok(Some("7f3a9c21e0b4d655")));
    assert_eq!(
        sent.required(ParameterCode::DESCRIPTION).map(|d| &d[..]),
        Ok(&b"v=0 what the caller offers"[..])
    );
    let left: u64 =
        sent.text(ParameterCode::TIMEOUT).ok().flatten().and_then(|t| t.parse().ok()).expect("a wait");
    assert!((1_000..=1_500).contains(&left), "{left}");
    harness.server_sends(conn, answer(7));
    assert_eq!(harness.sent_to_caller(7), [(1, MessageType::Answer, None)]);
    assert_eq!(harness.to_callers[0].1, answer(7), "the description is the server's own");
}

#[test]
fn invalid_set_ups_are_refused_and_not_forwarded() {
    let with = |code: u8, value: &str| set_up_with(9, "1500", code, value);
    let without = |code: u8| {
        let mut message = set_up(9, "1500");
        message.parameters.retain(|(own, _)| *own != code);
        message
    };
    let mut bad = vec![
        with(ParameterCode::CLASS, "no-such"),
        with(ParameterCode::TENANT, "no-such"),
        with(ParameterCode::CALLED_NUMBER, "not hex"),
        with(ParameterCode::CALLED_NUMBER, "7f3a9c21e0b4d6557f"),
        without(ParameterCode::CLASS),
        without(ParameterCode::TENANT),
        without(ParameterCode::TIMEOUT),
        without(ParameterCode::DESCRIPTION),
        set_up(9, "1500").with(ParameterCode::CLASS, "check"),
        set_up(0, "1500"),
    ];
    bad.extend(
        ["", "abc", "-5", "0", "NaN", "inf", "1e300", "99999999999"]
            .map(|wait| with(ParameterCode::TIMEOUT, wait)),
    );
    for figures in
        ["dest:x", "dest:NaN", "dest:-7", "dest:1e9", "width:0", "width:7", "width:-1", "again:7", "width"]
    {
        bad.push(with(ParameterCode::ATTRIBUTES, figures));
    }
    bad.push(set_up(9, "1500").with(ParameterCode::TENANT, vec![0xff, 0xfe]));
    for message in bad {
        let mut harness = Harness::connected();
        let id = u64::from_be_bytes(message.call.0);
        harness.caller_sends(1, message.clone());
        assert_eq!(
            harness.sent_to_caller(id),
            [(1, MessageType::Release, Some(Cause::INVALID))],
            "{message:?}"
        );
        assert_eq!(harness.set_up_count(id), 0, "{message:?}");
    }
}

/// Lets another client on this link send a set-up with the id of the caller's open one; asserts that it is refused, and
/// returns the connection of the open one.
fn send_duplicate(harness: &mut Harness, link: u64, id: u64) -> ConnId {
    harness.caller(link);
    harness.caller_sends(1, set_up(id, "1500"));
    let conn = harness.set_up_conn(id).expect("a set-up");
    harness.caller_sends(link, set_up(id, "1500").with(ParameterCode::LOAD_REPORT, "x"));
    assert_eq!(harness.sent_to_caller(id), [(link, MessageType::Release, Some(Cause::INVALID))]);
    conn
}

/// Guards against two set-ups that could both claim one answer.
#[test]
fn duplicate_call_id_does_not_affect_the_first_call() {
    let mut harness = Harness::connected();
    let conn = send_duplicate(&mut harness, 2, 7);
    assert_eq!(harness.set_up_count(7), 1);
    harness.server_sends(conn, answer(7));
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(1, MessageType::Answer, None)));

    harness.caller_sends(1, set_up(8, "1500"));
    harness.caller_sends(1, set_up(8, "1500"));
    assert_eq!(harness.closed_callers, [LinkId(1)], "on one connection the answers could not be told apart");
    assert!(harness.sent_to_caller(8).is_empty());
}

/// Guards against an open set-up that is dropped without an answer: another client has sent a set-up of the same
/// id, which was refused, and cancels it, or disconnects.
#[test]
fn release_by_another_client_does_not_cancel_a_set_up() {
    let mut harness = Harness::connected();
    let conn = send_duplicate(&mut harness, 2, 7);
    harness.caller_sends(2, Message::release(call(7), Cause::NORMAL));
    harness.handle(Input::CallerDown(LinkId(2)));
    assert!(harness.releases_sent(7).is_empty(), "the attempt goes on");
    harness.server_sends(conn, answer(7));
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(1, MessageType::Answer, None)));
    // Nor when it comes once the call is established: it is about the set-up that was refused.
    let conn = send_duplicate(&mut harness, 3, 9);
    harness.server_sends(conn, answer(9));
    harness.caller_sends(3, Message::release(call(9), Cause::NORMAL));
    assert!(harness.releases_sent(9).is_empty(), "the call goes on");
    // Its own caller may still cancel.
    harness.caller_sends(1, set_up(8, "1500"));
    harness.caller_sends(1, Message::release(call(8), Cause::NORMAL));
    assert_eq!(harness.releases_sent(8).len(), 1);
}

/// Guards against the engine's answer cache, which serves retransmissions: a set-up with a used id is never
/// answered from it as established.
#[test]
fn reused_call_id_is_refused() {
    let mut harness = Harness::connected();
    harness.establish(7);
    harness.caller_sends(1, set_up(7, "1500"));
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(1, MessageType::Release, Some(Cause::INVALID))));
    let mut harness = Harness::connected();
    let conn = harness.establish(7);
    harness.server_sends(conn, Message::release(call(7), Cause::NORMAL));
    harness.caller_sends(1, set_up(7, "1500"));
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(1, MessageType::Release, Some(Cause::INVALID))));
    assert_eq!(harness.set_up_count(7), 1);
}

#[test]
fn cancelled_set_up_is_released_without_an_answer() {
    let mut harness = Harness::connected();
    harness.caller_sends(1, set_up(7, "1500"));
    let conn = harness.set_up_conn(7).expect("a set-up");
    harness.caller_sends(1, Message::release(call(7), Cause::NORMAL));
    assert_eq!(harness.releases_sent(7), [conn]);
    harness.server_sends(conn, answer(7));
    harness.advance(2 * SECOND);
    assert!(harness.sent_to_caller(7).is_empty(), "{:?}", harness.sent_to_caller(7));
}

#[test]
fn established_call_can_be_released_on_any_connection() {
    let mut harness = Harness::connected();
    harness.caller(2);
    let conn = harness.establish(7);
    harness.caller_sends(2, Message::release(call(7), Cause::NORMAL));
    assert_eq!(harness.releases_sent(7), [conn]);
    let conn = harness.establish(8);
    harness.server_sends(conn, Message::release(call(8), Cause::NORMAL));
    assert_eq!(harness.sent_to_caller(8).last(), Some(&(1, MessageType::Release, Some(Cause::NORMAL))));
    let conn = harness.establish(9);
    harness.server_sends(conn, Message::release(call(9), Cause::TEMPORARY));
    assert_eq!(harness.sent_to_caller(9).last(), Some(&(1, MessageType::Release, Some(Cause::TEMPORARY))));
    assert_eq!(harness.node.resource_counts()[3], 0, "no call is established");
}

#[test]
fn disconnect_cancels_set_ups_but_not_established_calls() {
    let mut harness = Harness::connected();
    let established_on = harness.establish(7);
    harness.caller_sends(1, set_up(8, "1500"));
    let set_up_on = harness.set_up_conn(8).expect("a set-up");
    harness.handle(Input::CallerDown(LinkId(1)));
    assert_eq!((harness.releases_sent(8), harness.releases_sent(7)), (vec![set_up_on], vec![]));
    // The end of the call waits for a connection of the same caller.
    harness.server_sends(established_on, Message::release(call(7), Cause::NORMAL));
    harness.caller_from(2, [10, 0, 0, 99].into());
    assert_eq!(harness.sent_to_caller(7).len(), 1);
    harness.advance(SECOND);
    harness.caller(3);
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(3, MessageType::Release, Some(Cause::NORMAL))));
}

#[test]
fn announced_established_call_is_adopted() {
    let mut harness = Harness::connected();
    let at = |id| announcement(id, "s-two");
    harness.caller_sends(1, at(7));
    harness.caller_sends(1, at(8));
    harness.advance(100 * MS);
    assert!(harness.sent_to_caller(7).is_empty() && harness.set_up_count(7) == 0);
    harness.caller_sends(1, Message::release(call(7), Cause::NORMAL));
    assert_eq!(harness.releases_sent(7).len(), 1, "the release is forwarded to the announced server");
    let conn = harness.releases_sent(7)[0];
    harness.server_sends(conn, Message::release(call(8), Cause::NORMAL));
    assert_eq!(harness.sent_to_caller(8), [(1, MessageType::Release, Some(Cause::NORMAL))]);
    // The end of a call that the node holds already is sent on the connection that announced it last.
    let conn = harness.establish(9);
    harness.caller(2);
    harness.caller_sends(2, at(9));
    harness.server_sends(conn, Message::release(call(9), Cause::NORMAL));
    assert_eq!(harness.sent_to_caller(9).last(), Some(&(2, MessageType::Release, Some(Cause::NORMAL))));
}

/// Guards against hundreds of silent connections: they are closed by a timer, not on the next byte.
#[test]
fn useless_connection_is_closed_within_3_s() {
    let mut harness = Harness::connected();
    harness.caller_sends(1, Message::release(call(77), Cause::NORMAL));
    harness.caller(2);
    harness.caller_sends(2, Message::new(MessageType::HealthCheck, call(0)));
    harness.caller(3);
    harness.advance(2_500 * MS);
    assert_eq!(harness.closed_callers, [LinkId(1), LinkId(3)]);
    assert_eq!(harness.sent_to_caller(0), [(2, MessageType::HealthCheckResult, Some(Cause::PASSED))]);
}

#[test]
fn protocol_violations_close_the_connection() {
    let mut harness = Harness::connected();
    harness.caller_sends(1, answer(7));
    harness.caller(2);
    for id in 0..10 {
        harness.caller_sends(2, set_up(20 + id, "abc"));
    }
    assert_eq!(harness.closed_callers, [LinkId(1), LinkId(2)]);
    assert_eq!(harness.to_callers.len(), 4, "only that many set-ups are answered");
}

#[test]
fn oldest_idle_connection_is_closed_at_the_descriptor_limit() {
    let mut harness = Harness::new(&config(&[server_one(), server_two()]));
    harness.connect_all();
    harness.caller(1);
    harness.establish(7);
    harness.caller(2);
    harness.caller_sends(2, Message::new(MessageType::HealthCheck, call(0)));
    let mut link = 2;
    while harness.closed_callers.is_empty() {
        link += 1;
        harness.caller(link);
    }
    assert_eq!(
        harness.closed_callers,
        [LinkId(3)],
        "neither the one with an established call nor the one that was useful"
    );
    assert!(link > 256 / 3, "callers hold at most a third: {link}");
    let [links, conns, ..] = harness.node.resource_counts();
    assert!(links + conns < 256);
}

/// Guards against a start while calls are established: the server reports an
/// end before the caller announces the call.
#[test]
fn end_received_before_the_announcement_is_delivered() {
    let mut harness = Harness::connected();
    let two =
        harness.all_dials.iter().find(|(_, at)| at.ip().to_string() == "10.1.0.2").map(|(conn, _)| *conn);
    harness.server_sends(two.expect("a connection"), Message::release(call(7), Cause::NORMAL));
    harness.caller_sends(1, announcement(7, "s-two"));
    assert_eq!(harness.sent_to_caller(7), [(1, MessageType::Release, Some(Cause::NORMAL))]);
    assert_eq!(harness.node.resource_counts()[3], 0);
}

/// Guards against thousands of set-ups with descriptions of maximum length: their
/// memory is bounded, not only their number.
#[test]
fn set_up_memory_is_bounded() {
    let mut harness = Harness::connected();
    let long = |id| set_up_with(id, "3000", ParameterCode::DESCRIPTION, vec![b'x'; 15_000]);
    let refused = |harness: &Harness, id| {
        harness.sent_to_caller(id) == [(1, MessageType::Release, Some(Cause::NO_CIRCUIT))]
    };
    // No server answers, so all set-ups stay open.
    let mut taken = Vec::new();
    for id in 1..=900 {
        harness.caller_sends(1, long(id));
        if harness.sent_to_caller(id).is_empty() {
            taken.push(id);
        }
    }
    assert!(taken.len() <= 420, "{}", taken.len());
    assert!(refused(&harness, 900));
    // Cancelled set-ups free their memory.
    for id in taken {
        harness.caller_sends(1, Message::release(call(id), Cause::NORMAL));
    }
    assert_eq!(harness.node.resource_counts()[2], 0);
    harness.caller_sends(1, long(1_000));
    assert_eq!((harness.set_up_count(1_000), harness.sent_to_caller(1_000).len()), (1, 0));
}

/// Guards against other callers' calls that are refused, and time spent on servers that do not exist, while a client
/// announces calls at servers under ever new names, or unknown calls at a known one.
#[test]
fn announcements_of_unknown_calls_leave_room_for_others() {
    for server in [None, Some("s-two")] {
        let mut harness = Harness::connected();
        harness.caller(2);
        for id in 10_000..18_000 {
            let name = server.map_or(format!("s-{id:x}"), str::to_owned);
            harness.caller_sends(2, announcement(id, &name));
        }
        let established = harness.node.resource_counts()[3];
        assert!(established <= 1_000, "{established} taken for calls");
        let refused = harness.sent_to_caller(17_999);
        assert_eq!(refused, [(2, MessageType::Release, Some(Cause::TEMPORARY))], "over for its caller");
        let conns = harness.node.resource_counts()[1];
        for id in 1..=20 {
            harness.caller_sends(1, announcement(100 + id, "s-one"));
            assert!(
                harness.sent_to_caller(100 + id).is_empty(),
                "an announcement by another caller is taken"
            );
            harness.establish(id);
        }
        harness.connect_all();
        harness.advance_with_ping_replies(5 * SECOND);
        assert!(harness.node.resource_counts()[1] >= conns, "connections to the servers are kept");
    }
}
