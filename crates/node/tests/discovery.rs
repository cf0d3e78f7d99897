//! Answers of the name server, and their effect on calls.

mod common;

use std::collections::VecDeque;

use baydrift::interface::Micros;
use baydrift_node::state::{ConnId, Input};
use baydrift_platform::{Cause, Message, MessageType};
use baydrift_standin::{list_answer, Listed};
use common::{call, config, server_one, server_two, set_up, Harness, MS, SECOND};

/// Builds the answer to the node's last query.
fn answer(harness: &Harness, serial: u32, servers: &[Listed]) -> Vec<u8> {
    list_answer(harness.queries.last().expect("a query was sent"), serial, servers).expect("it is a query")
}

/// Returns the same server, draining.
fn draining(server: Listed) -> Listed {
    Listed { drains: true, ..server }
}

#[test]
fn list_is_queried_within_a_second_and_after_lost_answers() {
    let mut harness = Harness::connected();
    harness.advance(SECOND);
    assert!((4..=8).contains(&harness.queries.len()), "{}", harness.queries.len());
    let before = harness.queries.len();
    for serial in 2..7 {
        harness.deliver_list(serial, &[server_one(), server_two()]);
    }
    assert!(harness.queries.len() >= before + 5);
}

/// A name server that answers each query after a delay, with the list as it is then.
struct SlowNameServer {
    delay: Micros,
    /// Queries and the times at which they are answered.
    queries: VecDeque<(Micros, Vec<u8>)>,
    /// Number of queries of the harness that were taken over.
    received: usize,
    serial: u32,
    list: Vec<Listed>,
}

impl SlowNameServer {
    fn run(&mut self, harness: &mut Harness, span: Micros) {
        let end = harness.now + span;
        while harness.now < end {
            harness.advance_with_ping_replies(10 * MS);
            let answered_at = harness.now + self.delay;
            let new = harness.queries[self.received..].iter().map(|query| (answered_at, query.clone()));
            self.queries.extend(new);
            self.received = harness.queries.len();
            while self.queries.front().is_some_and(|(at, _)| *at <= harness.now) {
                let (_, query) = self.queries.pop_front().expect("a query");
                let bytes = list_answer(&query, self.serial, &self.list).expect("it is a query");
                harness.handle(Input::DiscoveryAnswer(bytes));
            }
        }
    }
}

/// Guards against a list that is never read, and a drain that is never noticed, because the name server takes
/// longer to answer than the node waits before it asks again.
#[test]
fn drain_is_learned_from_a_slow_name_server() {
    for delay in [0, 100 * MS, 180 * MS, 700 * MS, 1_500 * MS, 4 * SECOND] {
        let mut harness = Harness::connected();
        let list = vec![server_one(), server_two()];
        let mut name_server =
            SlowNameServer { delay, queries: VecDeque::new(), received: 0, serial: 2, list };
        name_server.run(&mut harness, 10 * SECOND);
        let queries = harness.queries.len();
        (name_server.serial, name_server.list) = (3, vec![draining(server_one()), server_two()]);
        // An answer with the new list is sent at the latest one interval between queries later.
        name_server.run(&mut harness, 200 * MS + 150 * MS);
        harness.caller(2);
        for id in 1..=20 {
            harness.caller_sends(2, set_up(id, "3000"));
            let conn = harness.set_up_conn(id).expect("a set-up");
            assert!(!harness.conns_to_server_one().contains(&conn), "{delay} us: drained");
            harness.server_sends(conn, common::answer(id));
        }
        let most = 10 * SECOND / (150 * MS) + 1;
        assert!(queries <= most as usize, "{delay} us: {queries} queries in 10 s");
    }
}

#[test]
fn draining_server_gets_no_new_set_ups() {
    let mut harness = Harness::connected();
    harness.deliver_list(2, &[draining(server_one()), server_two()]);
    for id in 1..=20 {
        harness.caller_sends(1, set_up(id, "3000"));
        let conn = harness.set_up_conn(id).expect("a set-up");
        harness.server_sends(conn, common::answer(id));
    }
    let one = harness.conns_to_server_one();
    assert!((1..=20).all(|id| harness.set_up_conn(id).is_some_and(|conn| !one.contains(&conn))));
}

/// Older lists, unknown query ids and error answers change nothing; none of them empties the list.
#[test]
fn stale_and_invalid_answers_are_ignored() {
    let mut harness = Harness::connected();
    harness.deliver_list(5, &[server_one(), server_two()]);
    harness.deliver_list(4, &[]);
    harness.deliver_list(5, &[]);
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

/// Guards against a new server at the address of a removed one: dials succeed there, but the new server never
/// ends a call of the old one.
#[test]
fn calls_end_when_another_server_takes_the_address() {
    let mut harness = Harness::connected();
    let conn = harness.establish(7);
    let (gone, left) = if harness.conns_to_server_one().contains(&conn) {
        (server_one(), server_two())
    } else {
        (server_two(), server_one())
    };
    let new = Listed { name: "s-new".to_owned(), ..gone };
    // All its connections break, and the new server accepts the next ones.
    for conn in (1..=9).map(ConnId) {
        harness.handle(Input::ServerDown(conn));
    }
    harness.connect_all();
    assert_eq!(harness.sent_to_caller(7).len(), 1);
    harness.deliver_list(2, &[left, new]);
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(1, MessageType::Release, Some(Cause::TEMPORARY))));
}

/// Guards against calls of a new process that are ended at their callers and left standing at the process: it took
/// the address of one that had died, and was taken for that one until the list told of it.
#[test]
fn calls_that_a_new_server_accepted_at_the_address_are_kept() {
    // By the list, the new process has started at an unknown time, before it accepted a connection, or after.
    for started_at in [None, Some(10 * MS), Some(250 * MS)] {
        let mut harness = Harness::new(&config(&[server_one()]));
        harness.connect_all();
        harness.caller(1);
        harness.establish(7);
        harness.advance(SECOND / 2);
        for conn in (1..=9).map(ConnId) {
            harness.handle(Input::ServerDown(conn));
        }
        let died_at = harness.now;
        harness.advance(100 * MS);
        harness.connect_all();
        harness.establish(8);
        let conn = harness.establish(9);
        harness.caller_sends(1, set_up(10, "3000"));
        let in_flight = harness.set_up_conn(10).expect("a set-up");
        let started_ms = started_at.map_or(0, |after| (died_at + after) / 1_000);
        let new = Listed { name: "s-new".to_owned(), started_ms, ..server_one() };
        harness.deliver_list(2, &[new]);
        let over = (1, MessageType::Release, Some(Cause::TEMPORARY));
        assert_eq!(harness.sent_to_caller(7).last(), Some(&over), "its process has died: {started_at:?}");
        assert_eq!(harness.sent_to_caller(8).len(), 1, "it goes on: {started_at:?}");
        // Its end, a release by its caller and an answer take the usual way.
        harness.server_sends(conn, Message::release(call(8), Cause::NORMAL));
        assert_eq!(harness.sent_to_caller(8).last(), Some(&(1, MessageType::Release, Some(Cause::NORMAL))));
        harness.caller_sends(1, Message::release(call(9), Cause::NORMAL));
        assert_eq!(harness.releases_sent(9), [conn]);
        harness.server_sends(in_flight, common::answer(10));
        assert_eq!(harness.sent_to_caller(10), [(1, MessageType::Answer, None)]);
        assert_eq!(harness.set_up_count(10), 1);
    }
}

/// Guards against calls that stand for ever: their process has died, and the list tells of another one at the address
/// before a connection to that has come up.
#[test]
fn calls_of_a_dead_server_end_when_the_list_comes_before_a_new_connection() {
    for known_start in [false, true] {
        let mut harness = Harness::new(&config(&[server_one()]));
        harness.connect_all();
        harness.caller(1);
        harness.establish(7);
        harness.advance(SECOND / 2);
        for conn in (1..=9).map(ConnId) {
            harness.handle(Input::ServerDown(conn));
        }
        let started_ms = if known_start { harness.now / 1_000 } else { 0 };
        harness.deliver_list(2, &[Listed { name: "s-new".to_owned(), started_ms, ..server_one() }]);
        let over = (1, MessageType::Release, Some(Cause::TEMPORARY));
        assert_eq!(harness.sent_to_caller(7).last(), Some(&over), "known start: {known_start}");
    }
}

/// Guards against the opposite: a machine has vanished, and its connections stay open and silent while another server
/// takes its address.
#[test]
fn calls_of_a_vanished_server_end_when_another_takes_the_address() {
    for known_start in [false, true] {
        let mut harness = Harness::new(&config(&[server_one()]));
        harness.connect_all();
        harness.caller(1);
        harness.establish(7);
        harness.advance(SECOND / 2);
        let started_ms = if known_start { harness.now / 1_000 } else { 0 };
        harness.deliver_list(2, &[Listed { name: "s-new".to_owned(), started_ms, ..server_one() }]);
        let over = (1, MessageType::Release, Some(Cause::TEMPORARY));
        assert_eq!(harness.sent_to_caller(7).last(), Some(&over), "known start: {known_start}");
    }
}

#[test]
fn calls_at_a_removed_server_end_once_it_is_unreachable() {
    let mut harness = Harness::connected();
    let conn = harness.establish(7);
    let left = if harness.conns_to_server_one().contains(&conn) { server_two() } else { server_one() };
    harness.deliver_list(2, &[left]);
    assert_eq!(harness.sent_to_caller(7).len(), 1, "its established calls may continue");
    for conn in (1..=9).map(ConnId) {
        harness.handle(Input::ServerDown(conn));
    }
    harness.advance(2 * SECOND);
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(1, MessageType::Release, Some(Cause::TEMPORARY))));
}

/// A restarted process does not know the calls from before its start; later calls are not affected.
#[test]
fn listed_restart_ends_earlier_calls() {
    let mut harness = Harness::connected();
    let conn = harness.establish(7);
    let at_one = harness.conns_to_server_one().contains(&conn);
    harness.advance(SECOND);
    let started_ms = harness.now / 1_000;
    harness.advance(SECOND);
    let since = |server: Listed| Listed { started_ms, ..server };
    let list = if at_one { [since(server_one()), server_two()] } else { [server_one(), since(server_two())] };
    harness.connect_all();
    harness.deliver_list(2, &list);
    assert_eq!(harness.sent_to_caller(7).last(), Some(&(1, MessageType::Release, Some(Cause::TEMPORARY))));
}

/// Rule 3 is checked again before writing.
#[test]
fn waiting_set_up_is_not_written_after_a_drain() {
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
fn changed_name_server_is_queried_at_once() {
    let mut harness = Harness::connected();
    harness.deliver_list(2, &[server_one(), server_two()]);
    let (asked, stale) = (harness.queries.len(), answer(&harness, 3, &[]));
    harness.handle(Input::NameServerChanged);
    harness.handle(Input::Tick);
    assert_eq!(harness.queries.len(), asked + 1);
    harness.handle(Input::DiscoveryAnswer(stale));
    harness.caller_sends(1, set_up(7, "3000"));
    assert_eq!(harness.set_up_count(7), 1);
    harness.caller_sends(1, Message::release(call(7), Cause::NORMAL));
}
