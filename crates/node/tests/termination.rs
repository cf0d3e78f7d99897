//! Ends of attempts, of connections and of the process, and the messages still to be sent then.

mod common;

use baydrift_call::LinkId;
use baydrift_node::state::{ConnId, Input, Output};
use baydrift_platform::{Cause, Message, MessageType, ParameterCode};
use baydrift_standin::{list_answer, Listed};
use common::{
    answer, call, config, config_of_large_fleet, config_with, server_one, server_two, set_up, set_up_with,
    Harness, MS, SECOND,
};

// --- attempts that wait for a connection ---

/// Guards against a call refused by each server whose next attempt there waits for a connection that is never
/// dialled: the attempt ended as connect failure, which put the server into warm-up.
#[test]
fn second_attempt_at_a_server_gets_its_own_connection() {
    let mut harness = Harness::new(&config_of_large_fleet(&[server_one()]));
    harness.connect_all();
    harness.caller(1);
    harness.caller_sends(1, set_up(7, "3000"));
    let first = harness.set_up_conn(7).expect("a set-up");
    assert_eq!(harness.all_dials.len(), 1, "one of 300 holds one connection");
    harness.server_sends(first, Message::release(call(7), Cause::NO_CIRCUIT));
    assert_eq!(harness.dialled.len(), 1, "dialled at once");
    harness.advance(20 * MS);
    harness.connect_all();
    let second = harness.set_up_conn(7).expect("another");
    assert!(first != second && harness.set_up_count(7) == 2);
    harness.server_sends(second, answer(7));
    assert_eq!(harness.sent_to_caller(7), [(1, MessageType::Answer, None)]);
    // The surplus connection is closed once it has no unanswered set-up.
    harness.advance(SECOND);
    assert_eq!((harness.closed_servers.as_slice(), harness.node.resource_counts()[1]), (&[first][..], 1));
}

/// Guards against the same where the further connection is not established:
/// the server works and needs no warm-up.
#[test]
fn missing_extra_connection_does_not_start_a_warm_up() {
    let mut harness = Harness::new(&config_of_large_fleet(&[server_one()]));
    harness.connect_all();
    harness.caller(1);
    harness.caller_sends(1, set_up(7, "3000"));
    let first = harness.set_up_conn(7).expect("a set-up");
    harness.server_sends(first, Message::release(call(7), Cause::NO_CIRCUIT));
    harness.advance(SECOND);
    assert_eq!(harness.set_up_count(7), 1);
    for id in 20..40 {
        harness.caller_sends(1, set_up(id, "3000"));
        harness.server_sends(first, answer(id));
        assert_eq!(
            harness.sent_to_caller(id),
            [(1, MessageType::Answer, None)],
            "a server in warm-up or paused would get few or none"
        );
    }
}

/// Guards against a set-up that is written on a late connection after its latest start time.
#[test]
fn expired_attempt_is_not_written_on_a_late_connection() {
    let changes = [("\"dial-timeout-s\":0.5", "\"dial-timeout-s\":5.0")];
    let mut harness = Harness::new(&config_with(&[server_one()], &changes));
    harness.caller(1);
    harness.caller_sends(1, set_up(7, "400"));
    // The process stalls; then the connection is reported before any timer fires.
    harness.now += 600 * MS;
    harness.connect_all();
    assert_eq!(harness.set_up_count(7), 0);
    harness.advance(100 * MS);
    assert_eq!((harness.set_up_count(7), harness.sent_to_caller(7).len()), (0, 1));
}

/// Guards against a retry outside its class's window: it was decided in time, but waited for a connection.
#[test]
fn waiting_retry_does_not_start_after_its_window() {
    let effect = "{\"name\":\"load\",\"effect\":\"dedup\",\"group\":\"all\",\"window-s\":0.6";
    let changes = [
        ("{\"name\":\"load\",\"effect\":\"retryable\"", effect),
        ("\"dial-timeout-s\":0.5", "\"dial-timeout-s\":1.0"),
    ];
    for (up_after, sent) in [(200 * MS, 2), (400 * MS, 1)] {
        let mut harness = Harness::new(&config_with(&[server_one()], &changes));
        harness.connect_all();
        harness.caller(1);
        harness.caller_sends(1, set_up(7, "3000"));
        assert_eq!(harness.set_up_count(7), 1);
        for conn in (1..=4).map(ConnId) {
            harness.handle(Input::ServerDown(conn));
        }
        // The retry hold-off of 0.3 s, then the connection is established late.
        harness.advance(310 * MS + up_after - 100 * MS);
        harness.connect_all();
        harness.advance(SECOND);
        assert_eq!(harness.set_up_count(7), sent, "up {} ms after the reset", 210 + up_after / MS);
        assert_eq!(
            harness.sent_to_caller(7).len(),
            usize::from(sent == 1),
            "refused once its window is over"
        );
    }
}

/// Guards against set-ups at a server's old address, on an established connection as on one that is being
/// dialled when the new list arrives.
#[test]
fn changed_address_replaces_the_connections() {
    let moved = Listed { addr: ([10, 1, 0, 7], 5080).into(), ..server_one() };
    let mut harness = Harness::new(&config(&[server_one()]));
    harness.caller(1);
    harness.caller_sends(1, set_up(7, "3000"));
    let old: Vec<_> = harness.dialled.keys().copied().collect();
    let query = harness.queries.last().expect("a query was sent").clone();
    harness.handle(Input::DiscoveryAnswer(list_answer(&query, 2, &[moved]).expect("an answer")));
    assert_eq!(harness.closed_servers, old);
    for conn in old {
        harness.handle(Input::ServerUp(conn));
    }
    assert_eq!(harness.set_up_count(7), 0, "nothing at the old address");
    harness.connect_all();
    let conn = harness.set_up_conn(7).expect("a set-up");
    assert_eq!(harness.all_dials[&conn].to_string(), "10.1.0.7:5080");
}

// --- callers ---

/// Guards against a new connection that displaces a caller whose set-up arrived at the same time: at the
/// limit, messages on open connections are processed before new connections.
#[test]
fn set_up_beats_a_new_connection_at_the_limit() {
    let mut harness = Harness::new(&config(&[server_one(), server_two()]));
    harness.connect_all();
    let most = harness.node.callers_max() as u64;
    (1..=most).for_each(|link| harness.caller(link));
    let mut inputs = vec![
        Input::CallerUp(LinkId(most + 1), [10, 0, 0, 1].into()),
        Input::FromCaller(LinkId(1), set_up(7, "3000")),
    ];
    baydrift_node::state::sort_batch(&mut inputs);
    inputs.into_iter().for_each(|input| harness.handle(input));
    assert_eq!((harness.set_up_count(7), harness.closed_callers.as_slice()), (1, &[LinkId(2)][..]));
}

/// Guards against work for a disconnected caller: its waiting set-up, its
/// attempt, its retry after the hold-off.
#[test]
fn no_attempt_starts_for_a_disconnected_caller() {
    // While it waits for a connection.
    let mut harness = Harness::new(&config(&[server_one(), server_two()]));
    harness.caller(1);
    harness.caller_sends(1, set_up(7, "3000"));
    harness.handle(Input::CallerDown(LinkId(1)));
    harness.connect_all();
    harness.advance(SECOND);
    assert_eq!(harness.set_up_count(7), 0);
    // While its retry waits for the hold-off.
    let mut harness = Harness::connected();
    harness.caller_sends(1, set_up(7, "3000"));
    let conn = harness.set_up_conn(7).expect("a set-up");
    harness.handle(Input::ServerDown(conn));
    harness.advance(100 * MS);
    harness.handle(Input::CallerDown(LinkId(1)));
    harness.advance(SECOND);
    assert_eq!((harness.set_up_count(7), harness.sent_to_caller(7).len()), (1, 0));
}

// --- the list ---

/// Guards against a flow to the name server that is dropped for good while the name server itself answers.
#[test]
fn unanswered_queries_change_the_port() {
    let mut harness = Harness::connected();
    let ask = |harness: &mut Harness| {
        let mut out = Vec::new();
        harness.now = harness.node.next_wake().max(harness.now + 1);
        harness.node.handle(harness.now, Input::Tick, &mut out);
        out.into_iter().find_map(|output| match output {
            Output::Query { query, new_port } => Some((query, new_port)),
            _ => None,
        })
    };
    let mut new_port = Vec::new();
    let mut last = Vec::new();
    while new_port.len() < 12 {
        if let Some((query, other)) = ask(&mut harness) {
            new_port.push(other);
            last = query;
        }
    }
    let fourth = new_port.iter().enumerate().filter(|(_, new_port)| **new_port).map(|(i, _)| i);
    let fourth: Vec<_> = fourth.collect();
    assert!(fourth.len() >= 2 && fourth.windows(2).all(|pair| pair[1] - pair[0] == 4), "{new_port:?}");
    // After an answer the port is kept.
    harness.handle(Input::DiscoveryAnswer(
        list_answer(&last, 1, &[server_one(), server_two()]).expect("an answer"),
    ));
    let after: Vec<_> = std::iter::repeat_with(|| ask(&mut harness)).flatten().take(3).collect();
    assert!(after.iter().all(|(_, new_port)| !new_port));
}

/// Guards against a list that is emptied when answers stop: the last one
/// stays valid and calls are still served.
#[test]
fn last_list_stays_valid_until_a_new_one_arrives() {
    let mut harness = Harness::connected();
    let conn = harness.establish(6);
    harness.advance_with_ping_replies(30 * SECOND);
    harness.caller_sends(1, set_up(7, "3000"));
    let served = harness.set_up_conn(7).expect("served by the last list");
    harness.server_sends(served, answer(7));
    let three = Listed::ready("s-three", ([10, 1, 0, 3], 5080).into(), 2);
    harness.deliver_list(9, &[three]);
    harness.connect_all();
    harness.caller_sends(1, set_up(8, "3000"));
    let at = harness.set_up_conn(8).expect("a set-up");
    assert_eq!(harness.all_dials[&at].to_string(), "10.1.0.3:5080");
    assert_eq!(harness.sent_to_caller(6).len(), 1, "calls established at a removed server may continue");
    harness.server_sends(conn, Message::release(call(6), Cause::NORMAL));
    assert_eq!(harness.sent_to_caller(6).last(), Some(&(1, MessageType::Release, Some(Cause::NORMAL))));
}

// --- one configuration and another ---

/// Guards against state shared between configurations: two front nodes in one process have classes in swapped
/// positions, other tenants and other deadlines.
#[test]
fn front_nodes_in_one_process_share_no_state() {
    let changes = [
        ("{\"name\":\"load\"", "{\"name\":\"x\""),
        ("{\"name\":\"check\"", "{\"name\":\"load\""),
        ("\"acme\"", "\"other co.; \\u00e9\""),
        ("\"hard-limit-s\":9.0", "\"hard-limit-s\":0.4"),
    ];
    let (mut here, mut there) =
        (Harness::connected(), Harness::new(&config_with(&[server_one(), server_two()], &changes)));
    there.connect_all();
    there.caller(1);
    let with = |id, code, value: &str| set_up_with(id, "400", code, value);
    let refused = |harness: &Harness, id| {
        harness.sent_to_caller(id) == [(1, MessageType::Release, Some(Cause::INVALID))]
    };
    // The tenant of one node is unknown to the other, whatever characters its name has.
    there.caller_sends(1, set_up(7, "400"));
    here.caller_sends(1, with(7, ParameterCode::TENANT, "other co.; \u{e9}"));
    assert!(refused(&here, 7) && refused(&there, 7));
    there.caller_sends(1, with(8, ParameterCode::TENANT, "other co.; \u{e9}"));
    assert_eq!(there.set_up_count(8), 1);
    // A wait that one node allows and the other does not.
    here.caller_sends(1, set_up(9, "3000"));
    there.caller_sends(1, with(9, ParameterCode::TIMEOUT, "3000").with(ParameterCode::LOAD_REPORT, ""));
    assert_eq!((here.set_up_count(9), there.set_up_count(9)), (1, 0));
}

// --- the end of the process ---

/// Guards against an early SIGKILL where all deadlines are short: it may
/// come 0.7 s after the longest deadline.
#[test]
fn set_ups_are_answered_before_an_early_sigkill() {
    let changes = [("\"hard-limit-s\":9.0", "\"hard-limit-s\":0.4")];
    let mut harness = Harness::new(&config_with(&[server_one(), server_two()], &changes));
    harness.connect_all();
    harness.caller(1);
    harness.handle(Input::Stop);
    harness.advance(590 * MS);
    assert!(!harness.stopped_accepting, "the platform redirects callers for 0.6 s");
    harness.advance(190 * MS);
    harness.caller_sends(1, set_up(7, "400"));
    harness.advance(100 * MS);
    assert!(harness.stopped_accepting && harness.exited, "killed at 1.1 s");
    assert_eq!(harness.sent_to_caller(7).len(), 1);
}

/// Guards against an exit with a release that waits for a connection: the
/// server is dialled until the last moment.
#[test]
fn exit_waits_for_pending_releases_and_incomplete_set_ups() {
    let mut harness = Harness::new(&config(&[server_one()]));
    harness.connect_all();
    harness.caller(1);
    harness.establish(6);
    harness.handle(Input::Stop);
    harness.advance(SECOND / 2);
    for conn in (1..=4).map(ConnId) {
        harness.handle(Input::ServerDown(conn));
    }
    harness.caller_sends(1, Message::release(call(6), Cause::NORMAL));
    harness.advance(SECOND);
    assert!(harness.stopped_accepting && !harness.exited, "a release is still pending");
    harness.connect_all();
    assert_eq!(harness.releases_sent(6).len(), 1);
    // An incomplete set-up was received.
    harness.handle(Input::CallerPartial(LinkId(1)));
    harness.advance(200 * MS);
    assert!(!harness.exited, "the rest is still expected");
    harness.caller_sends(1, set_up(7, "3000"));
    let conn = harness.set_up_conn(7).expect("taken");
    harness.server_sends(conn, answer(7));
    harness.advance(100 * MS);
    assert!(harness.exited);
    // Neither delays the exit for ever.
    let mut harness = Harness::new(&config(&[server_one()]));
    harness.connect_all();
    harness.caller(1);
    harness.caller_sends(1, Message::new(MessageType::HealthCheck, call(0)));
    harness.handle(Input::CallerPartial(LinkId(1)));
    harness.handle(Input::Stop);
    harness.advance(3_300 * MS);
    assert!(!harness.exited);
    harness.advance(200 * MS);
    assert!(harness.exited);
}

/// Guards against an exit as soon as the listener closes: connections in the
/// kernel's accept queue are read first.
#[test]
fn exit_waits_until_the_accept_queue_is_read() {
    let mut harness = Harness::connected();
    harness.handle(Input::Stop);
    while !harness.stopped_accepting {
        harness.advance(10 * MS);
    }
    assert!(!harness.exited);
    harness.advance(60 * MS);
    harness.caller(2);
    harness.caller_sends(2, set_up(7, "3000"));
    let conn = harness.set_up_conn(7).expect("taken");
    harness.advance(500 * MS);
    assert!(!harness.exited);
    harness.server_sends(conn, answer(7));
    assert_eq!(harness.sent_to_caller(7), [(2, MessageType::Answer, None)]);
    harness.advance(100 * MS);
    assert!(harness.exited);
}

/// Guards against a refusal, which says that a retry is safe, for a call that may run and must not run twice.
#[test]
fn sent_fragile_call_fails_instead_of_being_refused_at_exit() {
    for (effect, cause) in [("fragile", Cause::TEMPORARY), ("retryable", Cause::NO_CIRCUIT)] {
        let changes = [("\"effect\":\"retryable\"", &*format!("\"effect\":\"{effect}\""))];
        let mut harness = Harness::new(&config_with(&[server_one(), server_two()], &changes));
        harness.connect_all();
        harness.caller(1);
        harness.caller_sends(1, set_up(7, "9000"));
        assert_eq!(harness.set_up_count(7), 1);
        harness.handle(Input::Stop);
        harness.advance_with_ping_replies(3 * SECOND);
        assert!(harness.sent_to_caller(7).is_empty());
        harness.advance_with_ping_replies(SECOND);
        assert_eq!(harness.sent_to_caller(7), [(1, MessageType::Release, Some(cause))], "{effect}");
        assert_eq!(harness.releases_sent(7).len(), 1);
    }
}
