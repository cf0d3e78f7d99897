//! What the name server says, and what it means for calls.

mod common;

use baydrift_node::state::{ConnId, Input};
use baydrift_platform::{Cause, Kind, Message as Call};
use baydrift_standin::{list_answer, Listed};
use common::{call, config, server_one, server_two, set_up, Harness, MS, SECOND};

/// The answer to the node's last question.
fn answer(harness: &Harness, serial: u32, servers: &[Listed]) -> Vec<u8> {
    list_answer(harness.queries.last().expect("it asks"), serial, servers).expect("it is a query")
}

/// The same server, draining.
fn draining(server: Listed) -> Listed {
    Listed { drains: true, ..server }
}

fn deliver_list(harness: &mut Harness, serial: u32, servers: &[Listed]) {
    harness.advance(300 * MS);
    let bytes = answer(harness, serial, servers);
    harness.handle(Input::DiscoveryAnswer(bytes));
}

#[test]
fn the_list_is_asked_for_well_within_a_second_and_again_when_no_answer_comes() {
    let mut harness = Harness::connected();
    harness.advance(SECOND);
    assert!((4..=8).contains(&harness.queries.len()), "{}", harness.queries.len());
    let before = harness.queries.len();
    for serial in 2..7 {
        deliver_list(&mut harness, serial, &[server_one(), server_two()]);
    }
    assert!(harness.queries.len() >= before + 5);
}

#[test]
fn a_draining_server_gets_nothing_new_once_that_is_told() {
    let mut harness = Harness::connected();
    deliver_list(&mut harness, 2, &[draining(server_one()), server_two()]);
    for id in 1..=20 {
        harness.caller_sends(1, set_up(id, "3000"));
        let conn = harness.set_up_conn(id).expect("a set-up");
        harness.server_sends(conn, common::answer(id));
    }
    let one = harness.conns_to_server_one();
    assert!((1..=20).all(|id| harness.set_up_conn(id).is_some_and(|conn| !one.contains(&conn))));
}

/// Older lists, other ids and failures change nothing; the list is never emptied by one.
#[test]
fn what_is_no_newer_list_changes_nothing() {
    let mut harness = Harness::connected();
    deliver_list(&mut harness, 5, &[server_one(), server_two()]);
    deliver_list(&mut harness, 4, &[]);
    deliver_list(&mut harness, 5, &[]);
    harness.advance(300 * MS);
    let mut other = answer(&harness, 9, &[]);
    other[1] ^= 0x55;
    harness.handle(Input::DiscoveryAnswer(other));
    let mut failed = answer(&harness, 9, &[]);
    failed[3] |= 2;
    harness.handle(Input::DiscoveryAnswer(failed));
    harness.handle(Input::DiscoveryAnswer(vec![1]));
    harness.caller_sends(1, set_up(7, "3000"));
    assert_eq!(harness.set_up_count(7), 1);
}

/// Guards against a new server at the address of one that is gone: dials succeed there, and no call of the old one
/// will ever be ended by it.
#[test]
fn a_server_whose_address_another_one_has_is_gone_with_its_calls() {
    let mut harness = Harness::connected();
    let conn = harness.establish(7);
    let (gone, left) = if harness.conns_to_server_one().contains(&conn) {
        (server_one(), server_two())
    } else {
        (server_two(), server_one())
    };
    let new = Listed { name: "s-new".to_owned(), ..gone };
    // All its connections break, and what answers at its address now is the new one.
    for conn in (1..=9).map(ConnId) {
        harness.handle(Input::ServerDown(conn));
    }
    harness.connect_all();
    assert_eq!(harness.sent_to_caller(7).len(), 1);
    deliver_list(&mut harness, 2, &[left, new]);
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(1, Kind::Release, Some(Cause::TEMPORARY))));
}

#[test]
fn a_server_that_is_gone_ends_its_calls_once_it_cannot_be_reached() {
    let mut harness = Harness::connected();
    let conn = harness.establish(7);
    let left = if harness.conns_to_server_one().contains(&conn) { server_two() } else { server_one() };
    deliver_list(&mut harness, 2, &[left]);
    assert_eq!(harness.sent_to_caller(7).len(), 1, "it may finish what it has");
    for conn in (1..=9).map(ConnId) {
        harness.handle(Input::ServerDown(conn));
    }
    harness.advance(2 * SECOND);
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(1, Kind::Release, Some(Cause::TEMPORARY))));
}

/// A process that started new_port has forgotten the calls from before, and those alone.
#[test]
fn a_restart_that_the_list_tells_ends_the_calls_from_before() {
    let mut harness = Harness::connected();
    let conn = harness.establish(7);
    let at_one = harness.conns_to_server_one().contains(&conn);
    harness.advance(SECOND);
    let started_ms = harness.now / 1_000;
    harness.advance(SECOND);
    let since = |server: Listed| Listed { started_ms, ..server };
    let list = if at_one { [since(server_one()), server_two()] } else { [server_one(), since(server_two())] };
    harness.connect_all();
    deliver_list(&mut harness, 2, &list);
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(1, Kind::Release, Some(Cause::TEMPORARY))));
}

/// Rule 3 is checked again at the moment of writing.
#[test]
fn a_set_up_that_waits_for_a_connection_is_not_written_after_a_drain_was_told() {
    let mut harness = Harness::new(&config(&[server_one(), server_two()]));
    harness.caller(1);
    harness.caller_sends(1, set_up(7, "3000"));
    let bytes = answer(&harness, 2, &[draining(server_one()), draining(server_two())]);
    harness.handle(Input::DiscoveryAnswer(bytes));
    harness.connect_all();
    harness.advance(SECOND);
    assert_eq!(harness.set_up_count(7), 0);
    assert_eq!(harness.sent_to_caller(7).len(), 1, "refused, not left waiting");
}

#[test]
fn a_name_server_at_another_address_is_asked_at_once() {
    let mut harness = Harness::connected();
    deliver_list(&mut harness, 2, &[server_one(), server_two()]);
    let (asked, stale) = (harness.queries.len(), answer(&harness, 3, &[]));
    harness.handle(Input::NameServerChanged);
    harness.handle(Input::Tick);
    assert_eq!(harness.queries.len(), asked + 1);
    harness.handle(Input::DiscoveryAnswer(stale));
    harness.caller_sends(1, set_up(7, "3000"));
    assert_eq!(harness.set_up_count(7), 1);
    harness.caller_sends(1, Call::release(call(7), Cause::NORMAL));
}
