//! What the name server says, and what it means for calls.

mod common;

use baydrift_node::state::{ConnId, Input};
use baydrift_platform::{Cause, Message as Call, MessageType};
use baydrift_standin::{list_answer, Listed};
use common::{call, config, one, set_up, two, Rig, MS, SECOND};

/// The answer to the node's last question.
fn answer(rig: &Rig, serial: u32, servers: &[Listed]) -> Vec<u8> {
    list_answer(rig.asked.last().expect("it asks"), serial, servers).expect("it is a query")
}

/// The same server, draining.
fn draining(server: Listed) -> Listed {
    Listed { drains: true, ..server }
}

fn tell(rig: &mut Rig, serial: u32, servers: &[Listed]) {
    rig.pass(300 * MS);
    let bytes = answer(rig, serial, servers);
    rig.hear(Input::Names(bytes));
}

#[test]
fn the_list_is_asked_for_well_within_a_second_and_again_when_no_answer_comes() {
    let mut rig = Rig::serving();
    rig.pass(SECOND);
    assert!((4..=8).contains(&rig.asked.len()), "{}", rig.asked.len());
    let before = rig.asked.len();
    for serial in 2..7 {
        tell(&mut rig, serial, &[one(), two()]);
    }
    assert!(rig.asked.len() >= before + 5);
}

#[test]
fn a_draining_server_gets_nothing_new_once_that_is_told() {
    let mut rig = Rig::serving();
    tell(&mut rig, 2, &[draining(one()), two()]);
    for id in 1..=20 {
        rig.says(1, set_up(id, "3000"));
        let conn = rig.set_up_of(id).expect("a set-up");
        rig.server_says(conn, common::answer(id));
    }
    let one = rig.to_one();
    assert!((1..=20).all(|id| rig.set_up_of(id).is_some_and(|conn| !one.contains(&conn))));
}

/// Older lists, other ids and failures change nothing; the list is never emptied by one.
#[test]
fn what_is_no_newer_list_changes_nothing() {
    let mut rig = Rig::serving();
    tell(&mut rig, 5, &[one(), two()]);
    tell(&mut rig, 4, &[]);
    tell(&mut rig, 5, &[]);
    rig.pass(300 * MS);
    let mut other = answer(&rig, 9, &[]);
    other[1] ^= 0x55;
    rig.hear(Input::Names(other));
    let mut failed = answer(&rig, 9, &[]);
    failed[3] |= 2;
    rig.hear(Input::Names(failed));
    rig.hear(Input::Names(vec![1]));
    rig.says(1, set_up(7, "3000"));
    assert_eq!(rig.set_ups(7), 1);
}

/// Guards against a new server at the address of one that is gone: dials succeed there, and no call of the old one
/// will ever be ended by it.
#[test]
fn a_server_whose_address_another_one_has_is_gone_with_its_calls() {
    let mut rig = Rig::serving();
    let conn = rig.standing(7);
    let (gone, left) = if rig.to_one().contains(&conn) { (one(), two()) } else { (two(), one()) };
    let new = Listed { name: "s-new".to_owned(), ..gone };
    // All its connections break, and what answers at its address now is the new one.
    for conn in (1..=9).map(ConnId) {
        rig.hear(Input::ServerDown(conn));
    }
    rig.all_up();
    assert_eq!(rig.told(7).len(), 1);
    tell(&mut rig, 2, &[left, new]);
    assert_eq!(rig.told(7).last(), Some(&(1, MessageType::Release, Some(Cause::TEMPORARY))));
}

#[test]
fn a_server_that_is_gone_ends_its_calls_once_it_cannot_be_reached() {
    let mut rig = Rig::serving();
    let conn = rig.standing(7);
    let left = if rig.to_one().contains(&conn) { two() } else { one() };
    tell(&mut rig, 2, &[left]);
    assert_eq!(rig.told(7).len(), 1, "it may finish what it has");
    for conn in (1..=9).map(ConnId) {
        rig.hear(Input::ServerDown(conn));
    }
    rig.pass(2 * SECOND);
    assert_eq!(rig.told(7).last(), Some(&(1, MessageType::Release, Some(Cause::TEMPORARY))));
}

/// A process that started anew has forgotten the calls from before, and those alone.
#[test]
fn a_restart_that_the_list_tells_ends_the_calls_from_before() {
    let mut rig = Rig::serving();
    let conn = rig.standing(7);
    let at_one = rig.to_one().contains(&conn);
    rig.pass(SECOND);
    let started_ms = rig.now / 1_000;
    rig.pass(SECOND);
    let since = |server: Listed| Listed { started_ms, ..server };
    let list = if at_one { [since(one()), two()] } else { [one(), since(two())] };
    rig.all_up();
    tell(&mut rig, 2, &list);
    assert_eq!(rig.told(7).last(), Some(&(1, MessageType::Release, Some(Cause::TEMPORARY))));
}

/// Rule 3 is checked again at the moment of writing.
#[test]
fn a_set_up_that_waits_for_a_connection_is_not_written_after_a_drain_was_told() {
    let mut rig = Rig::new(&config(&[one(), two()]));
    rig.caller(1);
    rig.says(1, set_up(7, "3000"));
    let bytes = answer(&rig, 2, &[draining(one()), draining(two())]);
    rig.hear(Input::Names(bytes));
    rig.all_up();
    rig.pass(SECOND);
    assert_eq!(rig.set_ups(7), 0);
    assert_eq!(rig.told(7).len(), 1, "refused, not left waiting");
}

#[test]
fn a_name_server_at_another_address_is_asked_at_once() {
    let mut rig = Rig::serving();
    tell(&mut rig, 2, &[one(), two()]);
    let (asked, stale) = (rig.asked.len(), answer(&rig, 3, &[]));
    rig.hear(Input::Moved);
    rig.hear(Input::Tick);
    assert_eq!(rig.asked.len(), asked + 1);
    rig.hear(Input::Names(stale));
    rig.says(1, set_up(7, "3000"));
    assert_eq!(rig.set_ups(7), 1);
    rig.says(1, Call::release(call(7), Cause::NORMAL));
}
