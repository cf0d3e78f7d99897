//! Endings of attempts, connections and of the process, and what is still owed in them.

mod common;

use baydrift_call::LinkId;
use baydrift_node::state::{ConnId, Input, Output};
use baydrift_node::Config;
use baydrift_platform::{Cause, Code, Kind, Message};
use baydrift_standin::{list_answer, relay_config, Listed};
use common::{answer, call, config, server_one, server_two, set_up, Harness, MS, SECOND};

/// A configuration in which something reads otherwise.
fn config_with(servers: &[Listed], changes: &[(&str, &str)]) -> Config {
    let mut text = relay_config(([127, 0, 0, 1], 9).into(), servers);
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    Config::read(text.as_bytes()).expect("the test's configuration")
}

/// One of 300 front nodes: a connection a server.
fn config_of_large_fleet(servers: &[Listed]) -> Config {
    config_with(servers, &[("\"balancers\":1", "\"balancers\":300")])
}

fn deliver_list(harness: &mut Harness, serial: u32, servers: &[Listed]) {
    harness.advance(300 * MS);
    let query = harness.queries.last().expect("it asks").clone();
    harness.handle(Input::DiscoveryAnswer(list_answer(&query, serial, servers).expect("it is a query")));
}

/// Lets time pass while all servers answer the connections' tests.
fn advance_with_ping_replies(harness: &mut Harness, span: u64) {
    for _ in 0..span / (500 * MS) {
        harness.advance(500 * MS);
        let conns: Vec<_> = harness.all_dials.keys().copied().collect();
        conns.into_iter().for_each(|conn| harness.server_sends(conn, Message::tested(call(0))));
    }
}

// --- attempts that wait for a connection ---

/// Guards against a call refused by the only server, or by each of two, whose next attempt there waited for a connection
/// that nobody dialled: it ended as 'not reached', and the server counted as cold for the ramp's time.
#[test]
fn a_further_attempt_at_a_server_with_one_connection_gets_one_of_its_own() {
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
    assert_eq!(harness.sent_to_caller(7), [(1, Kind::Answer, None)]);
    // What is over its worth goes once nothing is open there.
    harness.advance(SECOND);
    assert_eq!((harness.closed_servers.as_slice(), harness.node.resource_counts()[1]), (&[first][..], 1));
}

/// Guards against the same where the further connection does not come up: the server serves, and is not cold.
#[test]
fn a_server_that_gives_a_call_no_further_connection_is_not_taken_for_cold() {
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
            [(1, Kind::Answer, None)],
            "a cold or paused server would take none or few"
        );
    }
}

/// Guards against a set-up on a late connection after the time in which it was of use.
#[test]
fn a_connection_that_comes_up_after_the_attempts_time_gets_nothing_of_it() {
    let changes = [("\"dial-timeout-s\":0.5", "\"dial-timeout-s\":5.0")];
    let mut harness = Harness::new(&config_with(&[server_one()], &changes));
    harness.caller(1);
    harness.caller_sends(1, set_up(7, "400"));
    // The process stands still; then the connection is heard of before any timer fires.
    harness.now += 600 * MS;
    harness.connect_all();
    assert_eq!(harness.set_up_count(7), 0);
    harness.advance(100 * MS);
    assert_eq!((harness.set_up_count(7), harness.sent_to_caller(7).len()), (0, 1));
}

/// Guards against a repeat outside its class's window: it was in time when decided on, and waited for a connection.
#[test]
fn a_repeat_that_waits_for_a_connection_does_not_begin_after_its_window() {
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
        // The guard of 0.3 s, then the connection is late.
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

/// Guards against set-ups at whatever has a server's old address: connected, dialling, and told under way.
#[test]
fn a_server_that_has_moved_is_dialled_anew_and_its_old_address_left() {
    let moved = Listed { addr: ([10, 1, 0, 7], 5080).into(), ..server_one() };
    let mut harness = Harness::new(&config(&[server_one()]));
    harness.caller(1);
    harness.caller_sends(1, set_up(7, "3000"));
    let old: Vec<_> = harness.dialled.keys().copied().collect();
    let query = harness.queries.last().expect("it asks").clone();
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

/// Guards against idle callers that push out one whose set-up came in the same moment: at the bound, what open
/// connections have sent is taken before new connections are.
#[test]
fn at_the_bound_a_set_up_that_came_with_a_new_connection_keeps_its_own() {
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

/// Guards against what follows a caller's close: its waiting set-up, its attempt, its repeat after the guard.
#[test]
fn nothing_begins_for_a_caller_that_has_left() {
    // While it waits for a connection.
    let mut harness = Harness::new(&config(&[server_one(), server_two()]));
    harness.caller(1);
    harness.caller_sends(1, set_up(7, "3000"));
    harness.handle(Input::CallerDown(LinkId(1)));
    harness.connect_all();
    harness.advance(SECOND);
    assert_eq!(harness.set_up_count(7), 0);
    // While its repeat waits for the guard.
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

/// Guards against a way to the name server that has gone quiet for good, while the name server itself answers.
#[test]
fn a_list_that_goes_quiet_is_asked_for_from_another_port() {
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
    // An answer, and the port is as good as any.
    harness.handle(Input::DiscoveryAnswer(
        list_answer(&last, 1, &[server_one(), server_two()]).expect("an answer"),
    ));
    let after: Vec<_> = std::iter::repeat_with(|| ask(&mut harness)).flatten().take(3).collect();
    assert!(after.iter().all(|(_, new_port)| !new_port));
}

/// Guards against a list that is emptied by silence: what was told last holds, and a call there is served.
#[test]
fn a_list_that_stays_quiet_holds_and_one_that_returns_changed_is_taken_whole() {
    let mut harness = Harness::connected();
    let conn = harness.establish(6);
    advance_with_ping_replies(&mut harness, 30 * SECOND);
    harness.caller_sends(1, set_up(7, "3000"));
    let served = harness.set_up_conn(7).expect("served by what was told last");
    harness.server_sends(served, answer(7));
    let three = Listed::ready("s-three", ([10, 1, 0, 3], 5080).into(), 2);
    deliver_list(&mut harness, 9, &[three]);
    harness.connect_all();
    harness.caller_sends(1, set_up(8, "3000"));
    let at = harness.set_up_conn(8).expect("a set-up");
    assert_eq!(harness.all_dials[&at].to_string(), "10.1.0.3:5080");
    assert_eq!(harness.sent_to_caller(6).len(), 1, "what stands at a server that left the list may finish");
    harness.server_sends(conn, Message::release(call(6), Cause::NORMAL));
    assert_eq!(harness.sent_to_caller(6).last(), Some(&(1, Kind::Release, Some(Cause::NORMAL))));
}

// --- one configuration and another ---

/// Guards against anything of one configuration that is seen under another: two front nodes in one process, whose
/// classes have each other's places, tenants and worths.
#[test]
fn two_front_nodes_in_one_process_share_nothing() {
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
    let with = |id, code, value: &str| {
        let mut message = set_up(id, "400");
        message.parameters.retain(|(own, _)| *own != code);
        message.with(code, value.to_owned())
    };
    let refused =
        |harness: &Harness, id| harness.sent_to_caller(id) == [(1, Kind::Release, Some(Cause::INVALID))];
    // The tenant of one is no tenant of the other, however the name reads.
    there.caller_sends(1, set_up(7, "400"));
    here.caller_sends(1, with(7, Code::TENANT, "other co.; \u{e9}"));
    assert!(refused(&here, 7) && refused(&there, 7));
    there.caller_sends(1, with(8, Code::TENANT, "other co.; \u{e9}"));
    assert_eq!(there.set_up_count(8), 1);
    // A time that one allows and the other does not.
    here.caller_sends(1, set_up(9, "3000"));
    there.caller_sends(1, with(9, Code::WAIT, "3000").with(Code::REPORT, ""));
    assert_eq!((here.set_up_count(9), there.set_up_count(9)), (1, 0));
}

// --- the end of the process ---

/// Guards against a kill that comes sooner where all deadlines are short: it may come 0.7 s after the longest.
#[test]
fn with_short_deadlines_all_is_answered_before_the_kill() {
    let changes = [("\"hard-limit-s\":9.0", "\"hard-limit-s\":0.4")];
    let mut harness = Harness::new(&config_with(&[server_one(), server_two()], &changes));
    harness.connect_all();
    harness.caller(1);
    harness.handle(Input::Stop);
    harness.advance(590 * MS);
    assert!(!harness.stopped_accepting, "the platform hands over for 0.6 s");
    harness.advance(190 * MS);
    harness.caller_sends(1, set_up(7, "400"));
    harness.advance(100 * MS);
    assert!(harness.stopped_accepting && harness.exited, "killed at 1.1 s");
    assert_eq!(harness.sent_to_caller(7).len(), 1);
}

/// Guards against a release that waits for a connection when its process ends: it is dialled for, until the last moment.
#[test]
fn the_end_waits_for_releases_that_are_owed_and_for_half_a_set_up() {
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
    assert!(harness.stopped_accepting && !harness.exited, "owed still");
    harness.connect_all();
    assert_eq!(harness.releases_sent(6).len(), 1);
    // Half a set-up has come.
    harness.handle(Input::CallerPartial(LinkId(1)));
    harness.advance(200 * MS);
    assert!(!harness.exited, "the rest is on its way");
    harness.caller_sends(1, set_up(7, "3000"));
    let conn = harness.set_up_conn(7).expect("taken");
    harness.server_sends(conn, answer(7));
    harness.advance(100 * MS);
    assert!(harness.exited);
    // Neither holds the end up for ever.
    let mut harness = Harness::new(&config(&[server_one()]));
    harness.connect_all();
    harness.caller(1);
    harness.caller_sends(1, Message::new(Kind::Test, call(0)));
    harness.handle(Input::CallerPartial(LinkId(1)));
    harness.handle(Input::Stop);
    harness.advance(3_300 * MS);
    assert!(!harness.exited);
    harness.advance(200 * MS);
    assert!(harness.exited);
}

/// Guards against an end in the instant in which the listener closes: connections that the kernel had taken are read.
#[test]
fn the_end_comes_no_sooner_than_what_the_kernel_had_taken_is_read() {
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
    assert_eq!(harness.sent_to_caller(7), [(2, Kind::Answer, None)]);
    harness.advance(100 * MS);
    assert!(harness.exited);
}

/// Guards against 'refused', which says that trying again is harmless, for a call that may run and must not run twice.
#[test]
fn at_the_last_moment_a_call_that_must_not_run_twice_has_failed_if_it_was_sent() {
    for (effect, cause) in [("fragile", Cause::TEMPORARY), ("retryable", Cause::NO_CIRCUIT)] {
        let changes = [("\"effect\":\"retryable\"", &*format!("\"effect\":\"{effect}\""))];
        let mut harness = Harness::new(&config_with(&[server_one(), server_two()], &changes));
        harness.connect_all();
        harness.caller(1);
        harness.caller_sends(1, set_up(7, "9000"));
        assert_eq!(harness.set_up_count(7), 1);
        harness.handle(Input::Stop);
        advance_with_ping_replies(&mut harness, 3 * SECOND);
        assert!(harness.sent_to_caller(7).is_empty());
        advance_with_ping_replies(&mut harness, SECOND);
        assert_eq!(harness.sent_to_caller(7), [(1, Kind::Release, Some(cause))], "{effect}");
        assert_eq!(harness.releases_sent(7).len(), 1);
    }
}
