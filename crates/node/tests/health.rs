//! Connections to signalling servers that stay silent: broken ones, and those of a server that hangs.

mod common;

use baydrift::interface::Micros;
use baydrift_node::state::{ConnId, Input};
use baydrift_platform::{Cause, Message, MessageType};
use common::{
    answer, call, config, config_of_large_fleet, server_one, server_two, set_up, Harness, MS, SECOND,
};

/// Lets time pass while all servers hang: they say nothing, but their machines accept connections.
fn hang(harness: &mut Harness, span: Micros) {
    let end = harness.now + span;
    while harness.now < end {
        harness.advance(50 * MS);
        harness.connect_all();
    }
}

/// Guards against ends of calls that are never told to their callers: a server that hung sends them on the
/// connections that it had before, and repeats them on the first one that it accepts, and both were closed.
#[test]
fn connections_to_a_server_that_hangs_stay_open() {
    for seconds in [3, 5, 20] {
        let mut harness = Harness::connected();
        let own = harness.establish(7);
        harness.establish(8);
        harness.connect_all();
        harness.advance_with_ping_replies(500 * MS);
        let known = harness.all_dials.len() as u64;
        hang(&mut harness, seconds * SECOND);
        harness.server_sends(own, Message::release(call(7), Cause::NORMAL));
        assert_eq!(
            harness.sent_to_caller(7).last(),
            Some(&(1, MessageType::Release, Some(Cause::NORMAL))),
            "{seconds} s"
        );
        let accepted_first = harness.all_dials.keys().find(|conn| conn.0 > known).copied();
        let accepted_first = accepted_first.expect("a connection shows that the machine works");
        assert!(!harness.closed_servers.contains(&accepted_first), "{seconds} s");
        assert!(harness.node.resource_counts()[1] <= known as usize + 4, "{seconds} s");
    }
}

/// Guards against calls that stand for ever: their server hangs, and then its machine vanishes.
#[test]
fn calls_end_when_a_machine_vanishes_whose_server_hung() {
    let mut harness = Harness::connected();
    harness.establish(7);
    hang(&mut harness, 4 * SECOND);
    let vanished_at = harness.now;
    while harness.sent_to_caller(7).len() == 1 && harness.now < vanished_at + 8 * SECOND {
        harness.advance(500 * MS);
        for (conn, _) in std::mem::take(&mut harness.dialled) {
            harness.handle(Input::DialFailed(conn, false));
        }
    }
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(1, MessageType::Release, Some(Cause::TEMPORARY))));
}

/// Guards against a broken connection that is kept because its server might hang: the server answers elsewhere.
#[test]
fn silent_connection_is_closed_while_its_server_is_active() {
    let mut harness = Harness::connected();
    let broken = harness.establish(7);
    harness.connect_all();
    for _ in 0..5 {
        harness.advance(500 * MS);
        for conn in harness.all_dials.keys().copied().collect::<Vec<_>>() {
            if conn != broken {
                harness.server_sends(conn, Message::health_check_passed(call(0)));
            }
        }
    }
    assert_eq!(harness.closed_servers, [broken]);
}

/// Guards against a server that hung and is active again, and whose connection is closed before its messages there
/// are read: it has as long as a ping has.
#[test]
fn silent_connection_is_kept_while_its_server_resumes() {
    let mut harness = Harness::new(&config_of_large_fleet(&[server_one()]));
    harness.connect_all();
    harness.caller(1);
    let own = harness.establish(7);
    hang(&mut harness, 3 * SECOND);
    let newest = *harness.all_dials.keys().last().expect("dialled");
    assert_ne!(newest, own);
    harness.server_sends(newest, Message::health_check_passed(call(0)));
    harness.advance(900 * MS);
    harness.server_sends(own, Message::release(call(7), Cause::NORMAL));
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(1, MessageType::Release, Some(Cause::NORMAL))));
}

/// Guards against set-ups that wait for a server that hangs: they are released there and set up elsewhere, as if
/// the connection had broken.
#[test]
fn set_ups_on_a_silent_connection_are_given_up() {
    let mut harness = Harness::connected();
    harness.caller_sends(1, set_up(7, "9000"));
    let silent = harness.set_up_conn(7).expect("a set-up");
    harness.advance(1_950 * MS);
    assert_eq!((harness.set_up_count(7), harness.releases_sent(7).len()), (1, 0));
    harness.advance(500 * MS);
    assert_eq!((harness.set_up_count(7), harness.releases_sent(7)), (2, vec![silent]));
    // A late answer establishes nothing.
    harness.server_sends(silent, answer(7));
    assert!(harness.sent_to_caller(7).is_empty());
}

/// Guards against a release that is lost with a connection which has been silent for long.
#[test]
fn release_on_a_silent_connection_is_repeated_on_the_next() {
    let mut harness = Harness::new(&config(&[server_one(), server_two()]));
    harness.connect_all();
    harness.caller(1);
    let own = harness.establish(7);
    harness.advance(500 * MS);
    harness.caller_sends(1, Message::release(call(7), Cause::NORMAL));
    assert_eq!(harness.releases_sent(7), [own]);
    hang(&mut harness, 4 * SECOND);
    for conn in harness.all_dials.keys().copied().collect::<Vec<ConnId>>() {
        harness.handle(Input::ServerDown(conn));
    }
    harness.connect_all();
    assert_eq!(harness.releases_sent(7).len(), 2, "{:?}", harness.releases_sent(7));
}
