//! Order of inputs that arrive together: no attempt is started that a later input of the batch withdraws.

mod common;

use baydrift_call::LinkId;
use baydrift_node::state::{sort_batch, ConnId, Input};
use baydrift_platform::{Cause, Message, MessageType, ParameterCode};
use common::{call, set_up, set_up_with, Harness};

fn set_up_input(link: u64, id: u64) -> Input {
    Input::FromCaller(LinkId(link), set_up(id, "3000"))
}

fn release_input(link: u64, id: u64) -> Input {
    Input::FromCaller(LinkId(link), Message::release(call(id), Cause::NORMAL))
}

fn announce_input(link: u64, id: u64) -> Input {
    let attributes = "dest:0;width:1; at : s-two;via:-1";
    Input::FromCaller(LinkId(link), set_up_with(id, "3000", ParameterCode::ATTRIBUTES, attributes))
}

/// Describes each input by a short text, for comparing orders.
fn describe(inputs: &[Input]) -> Vec<String> {
    let text = |input: &Input| match input {
        Input::FromCaller(link, m) if m.kind == MessageType::SetUp => {
            format!("{} asks {}", link.0, m.call.0[7])
        }
        Input::FromCaller(link, m) => format!("{} releases {}", link.0, m.call.0[7]),
        Input::Withdrawn(link) => format!("{} withdraws", link.0),
        Input::CallerDown(link) => format!("{} leaves", link.0),
        Input::CallerUp(link, _) => format!("{} comes", link.0),
        Input::DiscoveryAnswer(_) => "list".to_owned(),
        Input::FromServer(conn, _) => format!("server {}", conn.0),
        other => format!("{other:?}"),
    };
    inputs.iter().map(text).collect()
}

#[test]
fn inputs_are_sorted_by_priority() {
    let mut inputs = vec![
        Input::CallerUp(LinkId(9), [10, 0, 0, 1].into()),
        set_up_input(1, 1),
        Input::FromServer(ConnId(4), common::answer(7)),
        set_up_input(2, 2),
        Input::DiscoveryAnswer(vec![]),
        release_input(3, 8),
        Input::CallerDown(LinkId(5)),
        announce_input(3, 6),
    ];
    sort_batch(&mut inputs);
    let order =
        ["3 releases 8", "5 leaves", "3 asks 6", "list", "server 4", "1 asks 1", "2 asks 2", "9 comes"];
    assert_eq!(describe(&inputs), order);
    assert!(inputs[4].may_start_attempt() && !inputs[3].may_start_attempt());
}

/// Guards against an attempt for a caller that had left when its set-up was read, with its disconnect or
/// release next in the queue; and against a set-up that another client's release of the same id withdraws.
#[test]
fn set_up_is_withdrawn_by_a_later_disconnect_or_release() {
    let mut inputs = vec![
        release_input(1, 3),
        set_up_input(1, 1),
        set_up_input(1, 2),
        set_up_input(1, 3),
        set_up_input(2, 4),
        set_up_input(3, 5),
        announce_input(2, 6),
        release_input(1, 1),
        release_input(4, 2),
        Input::CallerDown(LinkId(2)),
    ];
    sort_batch(&mut inputs);
    let order = [
        "1 releases 3",
        "1 withdraws",
        "2 withdraws",
        "2 asks 6",
        "1 releases 1",
        "4 releases 2",
        "2 leaves",
        "1 asks 2",
        "1 asks 3",
        "3 asks 5",
    ];
    assert_eq!(describe(&inputs), order);
}

#[test]
fn withdrawn_set_up_is_not_sent_and_its_connection_stays_open() {
    let mut harness = Harness::connected();
    let mut inputs = vec![set_up_input(1, 7), release_input(1, 7)];
    sort_batch(&mut inputs);
    inputs.into_iter().for_each(|input| harness.handle(input));
    harness.advance(3 * common::SECOND);
    assert_eq!((harness.set_up_count(7), harness.sent_to_caller(7).len()), (0, 0), "no answer is sent");
    assert!(harness.closed_callers.is_empty(), "the set-up counts as useful");
    harness.connect_all();
    harness.caller_sends(1, set_up(8, "3000"));
    assert_eq!(harness.set_up_count(8), 1);
}
