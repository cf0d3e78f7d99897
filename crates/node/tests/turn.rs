//! What comes together is taken in an order in which nothing is begun that has been taken back.

mod common;

use baydrift_call::LinkId;
use baydrift_node::state::{in_order, ConnId, Input};
use baydrift_platform::{Cause, Message, MessageType, ParameterCode};
use common::{call, set_up, Rig};

fn offers(link: u64, id: u64) -> Input {
    Input::FromCaller(LinkId(link), set_up(id, "3000"))
}

fn gives_up(link: u64, id: u64) -> Input {
    Input::FromCaller(LinkId(link), Message::release(call(id), Cause::NORMAL))
}

fn names_standing(link: u64, id: u64) -> Input {
    let mut message = set_up(id, "3000");
    message.parameters.retain(|(code, _)| *code != ParameterCode::ATTRIBUTES);
    Input::FromCaller(
        LinkId(link),
        message.with(ParameterCode::ATTRIBUTES, "dest:0;width:1; at : s-two;via:-1"),
    )
}

/// A short word for each, to compare orders by.
fn told(inputs: &[Input]) -> Vec<String> {
    let word = |input: &Input| match input {
        Input::FromCaller(link, m) if m.kind == MessageType::SetUp => {
            format!("{} asks {}", link.0, m.call.0[7])
        }
        Input::FromCaller(link, m) => format!("{} releases {}", link.0, m.call.0[7]),
        Input::Withdrawn(link) => format!("{} withdraws", link.0),
        Input::CallerDown(link) => format!("{} leaves", link.0),
        Input::CallerUp(link, _) => format!("{} comes", link.0),
        Input::Names(_) => "list".to_owned(),
        Input::FromServer(conn, _) => format!("server {}", conn.0),
        other => format!("{other:?}"),
    };
    inputs.iter().map(word).collect()
}

#[test]
fn callers_that_leave_come_first_then_the_list_then_servers_and_new_calls_last() {
    let mut inputs = vec![
        Input::CallerUp(LinkId(9), [10, 0, 0, 1].into()),
        offers(1, 1),
        Input::FromServer(ConnId(4), common::answer(7)),
        offers(2, 2),
        Input::Names(vec![]),
        gives_up(3, 8),
        Input::CallerDown(LinkId(5)),
        names_standing(3, 6),
    ];
    in_order(&mut inputs);
    let order =
        ["3 releases 8", "5 leaves", "3 asks 6", "list", "server 4", "1 asks 1", "2 asks 2", "9 comes"];
    assert_eq!(told(&inputs), order);
    assert!(inputs[4].may_begin() && !inputs[3].may_begin());
}

/// Guards against an attempt for a caller that had left when its set-up was read: its close or its cancel lay behind.
#[test]
fn a_set_up_is_withdrawn_by_a_close_or_a_release_behind_it_and_by_no_other() {
    let mut inputs = vec![
        gives_up(1, 3),
        offers(1, 1),
        offers(1, 2),
        offers(1, 3),
        offers(2, 4),
        offers(3, 5),
        names_standing(2, 6),
        gives_up(4, 1),
        Input::CallerDown(LinkId(2)),
    ];
    in_order(&mut inputs);
    let order = [
        "1 releases 3",
        "1 withdraws",
        "2 withdraws",
        "2 asks 6",
        "4 releases 1",
        "2 leaves",
        "1 asks 2",
        "1 asks 3",
        "3 asks 5",
    ];
    assert_eq!(told(&inputs), order);
}

#[test]
fn what_is_withdrawn_is_never_sent_and_its_connection_lives_on() {
    let mut rig = Rig::serving();
    let mut inputs = vec![offers(1, 7), gives_up(1, 7)];
    in_order(&mut inputs);
    inputs.into_iter().for_each(|input| rig.hear(input));
    rig.pass(3 * common::SECOND);
    assert_eq!((rig.set_ups(7), rig.told(7).len()), (0, 0), "no answer is owed");
    assert!(rig.closed_callers.is_empty(), "it was of use");
    rig.all_up();
    rig.says(1, set_up(8, "3000"));
    assert_eq!(rig.set_ups(8), 1);
}
