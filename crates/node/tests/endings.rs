//! Endings of attempts, connections and of the process, and what is still owed in them.

mod common;

use baydrift_call::LinkId;
use baydrift_node::state::{ConnId, Input, Output};
use baydrift_node::Config;
use baydrift_platform::{Cause, Message, MessageType, ParameterCode};
use baydrift_standin::{list_answer, relay_config, Listed};
use common::{answer, call, config, one, set_up, two, Rig, MS, SECOND};

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
fn of_many(servers: &[Listed]) -> Config {
    config_with(servers, &[("\"balancers\":1", "\"balancers\":300")])
}

fn tell(rig: &mut Rig, serial: u32, servers: &[Listed]) {
    rig.pass(300 * MS);
    let query = rig.asked.last().expect("it asks").clone();
    rig.hear(Input::Names(list_answer(&query, serial, servers).expect("it is a query")));
}

/// Lets time pass while all servers answer the connections' tests.
fn alive(rig: &mut Rig, span: u64) {
    for _ in 0..span / (500 * MS) {
        rig.pass(500 * MS);
        let conns: Vec<_> = rig.dialled_ever.keys().copied().collect();
        conns.into_iter().for_each(|conn| rig.server_says(conn, Message::health_check_passed(call(0))));
    }
}

// --- attempts that wait for a connection ---

/// Guards against a call refused by the only server, or by each of two, whose next attempt there waited for a connection
/// that nobody dialled: it ended as 'not reached', and the server counted as cold for the ramp's time.
#[test]
fn a_further_attempt_at_a_server_with_one_connection_gets_one_of_its_own() {
    let mut rig = Rig::new(&of_many(&[one()]));
    rig.all_up();
    rig.caller(1);
    rig.says(1, set_up(7, "3000"));
    let first = rig.set_up_of(7).expect("a set-up");
    assert_eq!(rig.dialled_ever.len(), 1, "one of 300 holds one connection");
    rig.server_says(first, Message::release(call(7), Cause::NO_CIRCUIT));
    assert_eq!(rig.dialled.len(), 1, "dialled at once");
    rig.pass(20 * MS);
    rig.all_up();
    let second = rig.set_up_of(7).expect("another");
    assert!(first != second && rig.set_ups(7) == 2);
    rig.server_says(second, answer(7));
    assert_eq!(rig.told(7), [(1, MessageType::Answer, None)]);
    // What is over its worth goes once nothing is open there.
    rig.pass(SECOND);
    assert_eq!((rig.closed_servers.as_slice(), rig.node.held()[1]), (&[first][..], 1));
}

/// Guards against the same where the further connection does not come up: the server serves, and is not cold.
#[test]
fn a_server_that_gives_a_call_no_further_connection_is_not_taken_for_cold() {
    let mut rig = Rig::new(&of_many(&[one()]));
    rig.all_up();
    rig.caller(1);
    rig.says(1, set_up(7, "3000"));
    let first = rig.set_up_of(7).expect("a set-up");
    rig.server_says(first, Message::release(call(7), Cause::NO_CIRCUIT));
    rig.pass(SECOND);
    assert_eq!(rig.set_ups(7), 1);
    for id in 20..40 {
        rig.says(1, set_up(id, "3000"));
        rig.server_says(first, answer(id));
        assert_eq!(
            rig.told(id),
            [(1, MessageType::Answer, None)],
            "a cold or paused server would take none or few"
        );
    }
}

/// Guards against a set-up on a late connection after the time in which it was of use.
#[test]
fn a_connection_that_comes_up_after_the_attempts_time_gets_nothing_of_it() {
    let changes = [("\"dial-timeout-s\":0.5", "\"dial-timeout-s\":5.0")];
    let mut rig = Rig::new(&config_with(&[one()], &changes));
    rig.caller(1);
    rig.says(1, set_up(7, "400"));
    // The process stands still; then the connection is heard of before any timer fires.
    rig.now += 600 * MS;
    rig.all_up();
    assert_eq!(rig.set_ups(7), 0);
    rig.pass(100 * MS);
    assert_eq!((rig.set_ups(7), rig.told(7).len()), (0, 1));
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
        let mut rig = Rig::new(&config_with(&[one()], &changes));
        rig.all_up();
        rig.caller(1);
        rig.says(1, set_up(7, "3000"));
        assert_eq!(rig.set_ups(7), 1);
        for conn in (1..=4).map(ConnId) {
            rig.hear(Input::ServerDown(conn));
        }
        // The guard of 0.3 s, then the connection is late.
        rig.pass(310 * MS + up_after - 100 * MS);
        rig.all_up();
        rig.pass(SECOND);
        assert_eq!(rig.set_ups(7), sent, "up {} ms after the reset", 210 + up_after / MS);
        assert_eq!(rig.told(7).len(), usize::from(sent == 1), "refused once its window is over");
    }
}

/// Guards against set-ups at whatever has a server's old address: connected, dialling, and told under way.
#[test]
fn a_server_that_has_moved_is_dialled_anew_and_its_old_address_left() {
    let moved = Listed { addr: ([10, 1, 0, 7], 5080).into(), ..one() };
    let mut rig = Rig::new(&config(&[one()]));
    rig.caller(1);
    rig.says(1, set_up(7, "3000"));
    let old: Vec<_> = rig.dialled.keys().copied().collect();
    let query = rig.asked.last().expect("it asks").clone();
    rig.hear(Input::Names(list_answer(&query, 2, &[moved]).expect("an answer")));
    assert_eq!(rig.closed_servers, old);
    for conn in old {
        rig.hear(Input::ServerUp(conn));
    }
    assert_eq!(rig.set_ups(7), 0, "nothing at the old address");
    rig.all_up();
    let conn = rig.set_up_of(7).expect("a set-up");
    assert_eq!(rig.dialled_ever[&conn].to_string(), "10.1.0.7:5080");
}

// --- callers ---

/// Guards against idle callers that push out one whose set-up came in the same moment: at the bound, what open
/// connections have sent is taken before new connections are.
#[test]
fn at_the_bound_a_set_up_that_came_with_a_new_connection_keeps_its_own() {
    let mut rig = Rig::new(&config(&[one(), two()]));
    rig.all_up();
    let most = rig.node.callers_max() as u64;
    (1..=most).for_each(|link| rig.caller(link));
    let mut inputs = vec![
        Input::CallerUp(LinkId(most + 1), [10, 0, 0, 1].into()),
        Input::FromCaller(LinkId(1), set_up(7, "3000")),
    ];
    baydrift_node::state::in_order(&mut inputs);
    inputs.into_iter().for_each(|input| rig.hear(input));
    assert_eq!((rig.set_ups(7), rig.closed_callers.as_slice()), (1, &[LinkId(2)][..]));
}

/// Guards against what follows a caller's close: its waiting set-up, its attempt, its repeat after the guard.
#[test]
fn nothing_begins_for_a_caller_that_has_left() {
    // While it waits for a connection.
    let mut rig = Rig::new(&config(&[one(), two()]));
    rig.caller(1);
    rig.says(1, set_up(7, "3000"));
    rig.hear(Input::CallerDown(LinkId(1)));
    rig.all_up();
    rig.pass(SECOND);
    assert_eq!(rig.set_ups(7), 0);
    // While its repeat waits for the guard.
    let mut rig = Rig::serving();
    rig.says(1, set_up(7, "3000"));
    let conn = rig.set_up_of(7).expect("a set-up");
    rig.hear(Input::ServerDown(conn));
    rig.pass(100 * MS);
    rig.hear(Input::CallerDown(LinkId(1)));
    rig.pass(SECOND);
    assert_eq!((rig.set_ups(7), rig.told(7).len()), (1, 0));
}

// --- the list ---

/// Guards against a way to the name server that has gone quiet for good, while the name server itself answers.
#[test]
fn a_list_that_goes_quiet_is_asked_for_from_another_port() {
    let mut rig = Rig::serving();
    let ask = |rig: &mut Rig| {
        let mut out = Vec::new();
        rig.now = rig.node.next_wake().max(rig.now + 1);
        rig.node.hear(rig.now, Input::Tick, &mut out);
        out.into_iter().find_map(|output| match output {
            Output::Ask { query, anew } => Some((query, anew)),
            _ => None,
        })
    };
    let mut anew = Vec::new();
    let mut last = Vec::new();
    while anew.len() < 12 {
        if let Some((query, other)) = ask(&mut rig) {
            anew.push(other);
            last = query;
        }
    }
    let fourth = anew.iter().enumerate().filter(|(_, anew)| **anew).map(|(i, _)| i);
    let fourth: Vec<_> = fourth.collect();
    assert!(fourth.len() >= 2 && fourth.windows(2).all(|pair| pair[1] - pair[0] == 4), "{anew:?}");
    // An answer, and the port is as good as any.
    rig.hear(Input::Names(list_answer(&last, 1, &[one(), two()]).expect("an answer")));
    let after: Vec<_> = std::iter::repeat_with(|| ask(&mut rig)).flatten().take(3).collect();
    assert!(after.iter().all(|(_, anew)| !anew));
}

/// Guards against a list that is emptied by silence: what was told last holds, and a call there is served.
#[test]
fn a_list_that_stays_quiet_holds_and_one_that_returns_changed_is_taken_whole() {
    let mut rig = Rig::serving();
    let conn = rig.standing(6);
    alive(&mut rig, 30 * SECOND);
    rig.says(1, set_up(7, "3000"));
    let served = rig.set_up_of(7).expect("served by what was told last");
    rig.server_says(served, answer(7));
    let three = Listed::ready("s-three", ([10, 1, 0, 3], 5080).into(), 2);
    tell(&mut rig, 9, &[three]);
    rig.all_up();
    rig.says(1, set_up(8, "3000"));
    let at = rig.set_up_of(8).expect("a set-up");
    assert_eq!(rig.dialled_ever[&at].to_string(), "10.1.0.3:5080");
    assert_eq!(rig.told(6).len(), 1, "what stands at a server that left the list may finish");
    rig.server_says(conn, Message::release(call(6), Cause::NORMAL));
    assert_eq!(rig.told(6).last(), Some(&(1, MessageType::Release, Some(Cause::NORMAL))));
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
    let (mut here, mut there) = (Rig::serving(), Rig::new(&config_with(&[one(), two()], &changes)));
    there.all_up();
    there.caller(1);
    let with = |id, code, value: &str| {
        let mut message = set_up(id, "400");
        message.parameters.retain(|(own, _)| *own != code);
        message.with(code, value.to_owned())
    };
    let refused = |rig: &Rig, id| rig.told(id) == [(1, MessageType::Release, Some(Cause::INVALID))];
    // The tenant of one is no tenant of the other, however the name reads.
    there.says(1, set_up(7, "400"));
    here.says(1, with(7, ParameterCode::TENANT, "other co.; \u{e9}"));
    assert!(refused(&here, 7) && refused(&there, 7));
    there.says(1, with(8, ParameterCode::TENANT, "other co.; \u{e9}"));
    assert_eq!(there.set_ups(8), 1);
    // A time that one allows and the other does not.
    here.says(1, set_up(9, "3000"));
    there.says(1, with(9, ParameterCode::TIMEOUT, "3000").with(ParameterCode::LOAD_REPORT, ""));
    assert_eq!((here.set_ups(9), there.set_ups(9)), (1, 0));
}

// --- the end of the process ---

/// Guards against a kill that comes sooner where all deadlines are short: it may come 0.7 s after the longest.
#[test]
fn with_short_deadlines_all_is_answered_before_the_kill() {
    let changes = [("\"hard-limit-s\":9.0", "\"hard-limit-s\":0.4")];
    let mut rig = Rig::new(&config_with(&[one(), two()], &changes));
    rig.all_up();
    rig.caller(1);
    rig.hear(Input::Stop);
    rig.pass(590 * MS);
    assert!(!rig.deaf, "the platform hands over for 0.6 s");
    rig.pass(190 * MS);
    rig.says(1, set_up(7, "400"));
    rig.pass(100 * MS);
    assert!(rig.deaf && rig.ended, "killed at 1.1 s");
    assert_eq!(rig.told(7).len(), 1);
}

/// Guards against a release that waits for a connection when its process ends: it is dialled for, until the last moment.
#[test]
fn the_end_waits_for_releases_that_are_owed_and_for_half_a_set_up() {
    let mut rig = Rig::new(&config(&[one()]));
    rig.all_up();
    rig.caller(1);
    rig.standing(6);
    rig.hear(Input::Stop);
    rig.pass(SECOND / 2);
    for conn in (1..=4).map(ConnId) {
        rig.hear(Input::ServerDown(conn));
    }
    rig.says(1, Message::release(call(6), Cause::NORMAL));
    rig.pass(SECOND);
    assert!(rig.deaf && !rig.ended, "owed still");
    rig.all_up();
    assert_eq!(rig.released(6).len(), 1);
    // Half a set-up has come.
    rig.hear(Input::CallerPart(LinkId(1)));
    rig.pass(200 * MS);
    assert!(!rig.ended, "the rest is on its way");
    rig.says(1, set_up(7, "3000"));
    let conn = rig.set_up_of(7).expect("taken");
    rig.server_says(conn, answer(7));
    rig.pass(100 * MS);
    assert!(rig.ended);
    // Neither holds the end up for ever.
    let mut rig = Rig::new(&config(&[one()]));
    rig.all_up();
    rig.caller(1);
    rig.says(1, Message::new(MessageType::HealthCheck, call(0)));
    rig.hear(Input::CallerPart(LinkId(1)));
    rig.hear(Input::Stop);
    rig.pass(3_300 * MS);
    assert!(!rig.ended);
    rig.pass(200 * MS);
    assert!(rig.ended);
}

/// Guards against an end in the instant in which the listener closes: connections that the kernel had taken are read.
#[test]
fn the_end_comes_no_sooner_than_what_the_kernel_had_taken_is_read() {
    let mut rig = Rig::serving();
    rig.hear(Input::Stop);
    while !rig.deaf {
        rig.pass(10 * MS);
    }
    assert!(!rig.ended);
    rig.pass(60 * MS);
    rig.caller(2);
    rig.says(2, set_up(7, "3000"));
    let conn = rig.set_up_of(7).expect("taken");
    rig.pass(500 * MS);
    assert!(!rig.ended);
    rig.server_says(conn, answer(7));
    assert_eq!(rig.told(7), [(2, MessageType::Answer, None)]);
    rig.pass(100 * MS);
    assert!(rig.ended);
}

/// Guards against 'refused', which says that trying again is harmless, for a call that may run and must not run twice.
#[test]
fn at_the_last_moment_a_call_that_must_not_run_twice_has_failed_if_it_was_sent() {
    for (effect, cause) in [("fragile", Cause::TEMPORARY), ("retryable", Cause::NO_CIRCUIT)] {
        let changes = [("\"effect\":\"retryable\"", &*format!("\"effect\":\"{effect}\""))];
        let mut rig = Rig::new(&config_with(&[one(), two()], &changes));
        rig.all_up();
        rig.caller(1);
        rig.says(1, set_up(7, "9000"));
        assert_eq!(rig.set_ups(7), 1);
        rig.hear(Input::Stop);
        alive(&mut rig, 3 * SECOND);
        assert!(rig.told(7).is_empty());
        alive(&mut rig, SECOND);
        assert_eq!(rig.told(7), [(1, MessageType::Release, Some(cause))], "{effect}");
        assert_eq!(rig.released(7).len(), 1);
    }
}
