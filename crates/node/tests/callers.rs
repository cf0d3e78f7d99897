//! What callers send, and what they are told.

mod common;

use baydrift_call::LinkId;
use baydrift_node::state::Input;
use baydrift_platform::{Cause, Message, MessageType, ParameterCode};
use common::{answer, call, config, one, set_up, two, Rig, MS, SECOND};

#[test]
fn a_set_up_passes_on_and_its_answer_comes_back_unchanged() {
    let mut rig = Rig::serving();
    rig.says(1, set_up(7, "1500"));
    let conn = rig.set_up_of(7).expect("a set-up");
    let (_, sent) = rig.to_servers.iter().rfind(|(_, m)| m.kind == MessageType::SetUp).cloned().expect("it");
    assert_eq!(sent.text(ParameterCode::CLASS), Ok(Some("load")));
    assert_eq!(sent.text(ParameterCode::CALLED_NUMBER), Ok(Some("7f3a9c21e0b4d655")));
    assert_eq!(
        sent.required(ParameterCode::DESCRIPTION).map(|d| &d[..]),
        Ok(&b"v=0 what the caller offers"[..])
    );
    let left: u64 =
        sent.text(ParameterCode::TIMEOUT).ok().flatten().and_then(|t| t.parse().ok()).expect("a wait");
    assert!((1_000..=1_500).contains(&left), "{left}");
    rig.server_says(conn, answer(7));
    assert_eq!(rig.told(7), [(1, MessageType::Answer, None)]);
    assert_eq!(rig.to_callers[0].1, answer(7), "the description is the server's own");
}

#[test]
fn what_cannot_be_used_is_refused_and_goes_no_further() {
    let with = |code: u8, value: &str| {
        let mut message = set_up(9, "1500");
        message.parameters.retain(|(own, _)| *own != code);
        message.with(code, value.to_owned())
    };
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
        let mut rig = Rig::serving();
        let id = u64::from_be_bytes(message.call.0);
        rig.says(1, message.clone());
        assert_eq!(rig.told(id), [(1, MessageType::Release, Some(Cause::INVALID))], "{message:?}");
        assert_eq!(rig.set_ups(id), 0, "{message:?}");
    }
}

/// Guards against two set-ups that one answer could be claimed by.
#[test]
fn the_id_of_an_open_call_again_disturbs_nobody_else() {
    let mut rig = Rig::serving();
    rig.caller(2);
    rig.says(1, set_up(7, "1500"));
    let conn = rig.set_up_of(7).expect("a set-up");
    rig.says(2, set_up(7, "1500").with(ParameterCode::LOAD_REPORT, "x"));
    assert_eq!(rig.told(7), [(2, MessageType::Release, Some(Cause::INVALID))]);
    assert_eq!(rig.set_ups(7), 1);
    rig.server_says(conn, answer(7));
    assert_eq!(rig.told(7).last(), Some(&(1, MessageType::Answer, None)));

    rig.says(1, set_up(8, "1500"));
    rig.says(1, set_up(8, "1500"));
    assert_eq!(rig.closed_callers, [LinkId(1)], "on one connection nobody could tell the two apart");
    assert!(rig.told(8).is_empty());
}

/// Guards against the engine's memory of answers, which is for repeats: a used id is never answered 'stands'.
#[test]
fn a_used_id_never_stands() {
    let mut rig = Rig::serving();
    rig.standing(7);
    rig.says(1, set_up(7, "1500"));
    assert_eq!(rig.told(7).last(), Some(&(1, MessageType::Release, Some(Cause::INVALID))));
    let mut rig = Rig::serving();
    let conn = rig.standing(7);
    rig.server_says(conn, Message::release(call(7), Cause::NORMAL));
    rig.says(1, set_up(7, "1500"));
    assert_eq!(rig.told(7).last(), Some(&(1, MessageType::Release, Some(Cause::INVALID))));
    assert_eq!(rig.set_ups(7), 1);
}

#[test]
fn a_set_up_given_up_is_owed_no_answer_and_is_released() {
    let mut rig = Rig::serving();
    rig.says(1, set_up(7, "1500"));
    let conn = rig.set_up_of(7).expect("a set-up");
    rig.says(1, Message::release(call(7), Cause::NORMAL));
    assert_eq!(rig.released(7), [conn]);
    rig.server_says(conn, answer(7));
    rig.pass(2 * SECOND);
    assert!(rig.told(7).is_empty(), "{:?}", rig.told(7));
}

#[test]
fn a_standing_call_ends_from_any_connection_and_from_either_side() {
    let mut rig = Rig::serving();
    rig.caller(2);
    let conn = rig.standing(7);
    rig.says(2, Message::release(call(7), Cause::NORMAL));
    assert_eq!(rig.released(7), [conn]);
    let conn = rig.standing(8);
    rig.server_says(conn, Message::release(call(8), Cause::NORMAL));
    assert_eq!(rig.told(8).last(), Some(&(1, MessageType::Release, Some(Cause::NORMAL))));
    let conn = rig.standing(9);
    rig.server_says(conn, Message::release(call(9), Cause::TEMPORARY));
    assert_eq!(rig.told(9).last(), Some(&(1, MessageType::Release, Some(Cause::TEMPORARY))));
    assert_eq!(rig.node.held()[3], 0, "none stands");
}

#[test]
fn a_connection_takes_its_open_set_ups_along_but_no_standing_call() {
    let mut rig = Rig::serving();
    let stands = rig.standing(7);
    rig.says(1, set_up(8, "1500"));
    let open = rig.set_up_of(8).expect("a set-up");
    rig.hear(Input::CallerDown(LinkId(1)));
    assert_eq!((rig.released(8), rig.released(7)), (vec![open], vec![]));
    // Its end waits for a connection of the same caller.
    rig.server_says(stands, Message::release(call(7), Cause::NORMAL));
    rig.caller_from(2, [10, 0, 0, 99].into());
    assert_eq!(rig.told(7).len(), 1);
    rig.pass(SECOND);
    rig.caller(3);
    assert_eq!(rig.told(7).last(), Some(&(3, MessageType::Release, Some(Cause::NORMAL))));
}

#[test]
fn a_call_that_stands_already_is_taken_over() {
    let mut rig = Rig::serving();
    let at = |id| set_up(id, "1500").with(ParameterCode::ATTRIBUTES, "x");
    let at = |id| {
        let mut message = at(id);
        message.parameters.retain(|(code, _)| *code != ParameterCode::ATTRIBUTES);
        message.with(ParameterCode::ATTRIBUTES, "dest:0;width:1;via:-1;at:s-two")
    };
    rig.says(1, at(7));
    rig.says(1, at(8));
    rig.pass(100 * MS);
    assert!(rig.told(7).is_empty() && rig.set_ups(7) == 0);
    rig.says(1, Message::release(call(7), Cause::NORMAL));
    assert_eq!(rig.released(7).len(), 1, "a release passes to the server that was named");
    let conn = rig.released(7)[0];
    rig.server_says(conn, Message::release(call(8), Cause::NORMAL));
    assert_eq!(rig.told(8), [(1, MessageType::Release, Some(Cause::NORMAL))]);
    // One that the node holds already is told on the connection that names it last.
    let conn = rig.standing(9);
    rig.caller(2);
    rig.says(2, at(9));
    rig.server_says(conn, Message::release(call(9), Cause::NORMAL));
    assert_eq!(rig.told(9).last(), Some(&(2, MessageType::Release, Some(Cause::NORMAL))));
}

/// Guards against connections by the hundred that say nothing: closed by a timer, not by the next byte.
#[test]
fn a_connection_that_brings_nothing_of_use_is_closed_within_3_s() {
    let mut rig = Rig::serving();
    rig.says(1, Message::release(call(77), Cause::NORMAL));
    rig.caller(2);
    rig.says(2, Message::new(MessageType::HealthCheck, call(0)));
    rig.caller(3);
    rig.pass(2_500 * MS);
    assert_eq!(rig.closed_callers, [LinkId(1), LinkId(3)]);
    assert_eq!(rig.told(0), [(2, MessageType::HealthCheckResult, Some(Cause::PASSED))]);
}

#[test]
fn what_only_a_server_sends_and_faults_again_and_again_close_the_connection() {
    let mut rig = Rig::serving();
    rig.says(1, answer(7));
    rig.caller(2);
    for id in 0..10 {
        rig.says(2, set_up(20 + id, "abc"));
    }
    assert_eq!(rig.closed_callers, [LinkId(1), LinkId(2)]);
    assert_eq!(rig.to_callers.len(), 4, "no more than that is answered");
}

#[test]
fn at_the_bound_of_descriptors_the_oldest_idle_connection_goes() {
    let mut rig = Rig::new(&config(&[one(), two()]));
    rig.all_up();
    rig.caller(1);
    rig.standing(7);
    rig.caller(2);
    rig.says(2, Message::new(MessageType::HealthCheck, call(0)));
    let mut link = 2;
    while rig.closed_callers.is_empty() {
        link += 1;
        rig.caller(link);
    }
    assert_eq!(
        rig.closed_callers,
        [LinkId(3)],
        "neither the one with a call that stands nor one that was of use"
    );
    assert!(link > 256 / 3, "callers hold at most a third: {link}");
    let [links, conns, ..] = rig.node.held();
    assert!(links + conns < 256);
}

/// Guards against a start in the midst of calls: the server tells what is over before the caller names it.
#[test]
fn a_call_whose_end_came_before_its_caller_named_it_is_over_at_once() {
    let mut rig = Rig::serving();
    let two =
        rig.dialled_ever.iter().find(|(_, at)| at.ip().to_string() == "10.1.0.2").map(|(conn, _)| *conn);
    rig.server_says(two.expect("a connection"), Message::release(call(7), Cause::NORMAL));
    let mut named = set_up(7, "1500");
    named.parameters.retain(|(code, _)| *code != ParameterCode::ATTRIBUTES);
    rig.says(1, named.with(ParameterCode::ATTRIBUTES, "dest:0;width:1;via:-1;at:s-two"));
    assert_eq!(rig.told(7), [(1, MessageType::Release, Some(Cause::NORMAL))]);
    assert_eq!(rig.node.held()[3], 0);
}

/// Guards against thousands of set-ups with the longest descriptions: memory has a bound in bytes, not only in calls.
#[test]
fn set_ups_hold_bounded_memory_and_are_refused_beyond_it() {
    let mut rig = Rig::serving();
    let long = |id| {
        let mut message = set_up(id, "3000");
        message.parameters.retain(|(code, _)| *code != ParameterCode::DESCRIPTION);
        message.with(ParameterCode::DESCRIPTION, vec![b'x'; 15_000])
    };
    let refused = |rig: &Rig, id| rig.told(id) == [(1, MessageType::Release, Some(Cause::NO_CIRCUIT))];
    // They wait for the next connection, so that none is answered.
    let mut taken = Vec::new();
    for id in 1..=900 {
        rig.says(1, long(id));
        if rig.told(id).is_empty() {
            taken.push(id);
        }
    }
    assert!(taken.len() <= 420, "{}", taken.len());
    assert!(refused(&rig, 900));
    // What is given up makes room again.
    for id in taken {
        rig.says(1, Message::release(call(id), Cause::NORMAL));
    }
    assert_eq!(rig.node.held()[2], 0);
    rig.says(1, long(1_000));
    assert_eq!((rig.set_ups(1_000), rig.told(1_000).len()), (1, 0));
}
