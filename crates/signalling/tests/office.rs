//! Signals as messages and back, and two offices that speak packets.

use std::sync::Arc;

use baydrift_isup::{Data, Error, Message, MessageType};
use baydrift_signalling::{message, signal, MapError, Meant, SignallingError, SignallingPoint};
use baydrift_trunk::rules::{RouteChoice, Selection};
use baydrift_trunk::{
    AuditSettings, CallKey, End, GroupId, GroupSpec, Output, Processing, Setup, Signal, TimerSettings, Told,
    Trunks,
};

fn setup() -> Setup {
    Setup { number: Arc::from([5u8, 5, 5]), reference: Arc::from(*b"c|1") }
}

#[test]
fn every_signal_is_a_message_and_reads_back() {
    let told = |processing| Told { processing, locally_blocked: false, remotely_blocked: true };
    let states = [Processing::Idle, Processing::IncomingBusy, Processing::OutgoingBusy].map(told).to_vec();
    let status = vec![true, false, true];
    let all = [
        Signal::Seize(setup()),
        Signal::Accepted,
        Signal::Answered,
        Signal::Progress,
        Signal::Release(16),
        Signal::ReleaseComplete,
        Signal::Reset,
        Signal::Block,
        Signal::BlockAck,
        Signal::Unblock,
        Signal::UnblockAck,
        Signal::GroupReset(32),
        Signal::GroupResetAck(status.clone()),
        Signal::GroupBlock(status.clone()),
        Signal::GroupBlockAck(status.clone()),
        Signal::GroupUnblock(status.clone()),
        Signal::GroupUnblockAck(status),
        Signal::Query(1),
        Signal::QueryReply(states),
        Signal::Unequipped,
    ];
    for said in all {
        let octets = message(77, &said).unwrap().write().unwrap();
        let read = Message::read(&octets).unwrap();
        assert_eq!((read.cic, signal(&read).unwrap()), (77, Meant::Signal(said)));
    }
    for wrong in [Signal::GroupReset(0), Signal::Query(33), Signal::GroupBlock(Vec::new())] {
        assert!(matches!(message(1, &wrong), Err(MapError::Range(_))));
    }
    assert_eq!(signal(&Message::new(MessageType::Lpa, 1)).unwrap(), Meant::Nothing(MessageType::Lpa));
}

fn office(own_point: u32, far_point: u32) -> SignallingPoint {
    let spec =
        GroupSpec { own_point, far_point, first: 1, circuits: 4, selection: Selection::Opposite, reserve: 0 };
    let trunks = Trunks::new(vec![spec], TimerSettings::default(), AuditSettings::default()).unwrap();
    SignallingPoint::new(own_point, vec![(far_point, 1..5)], trunks)
}

#[test]
fn two_offices_set_a_call_up_and_release_it() {
    let (mut one, mut two) = (office(1, 2), office(2, 1));
    let mut from_one = Default::default();
    one.seize(0, CallKey(9), GroupId(0), setup(), RouteChoice::First, &mut from_one);
    let mut from_two: (Vec<Data>, Vec<Output>) = Default::default();
    two.handle_packet(1, &from_one.0.remove(0), &mut from_two).unwrap();
    let Output::Incoming { call, setup: asked, .. } = from_two.1.remove(0) else { panic!() };
    assert_eq!(asked, setup());
    two.accept(call, &mut from_two);
    two.answer(call, &mut from_two);
    for data in from_two.0.drain(..) {
        one.handle_packet(2, &data, &mut from_one).unwrap();
    }
    assert_eq!(from_one.1, [Output::Accepted(CallKey(9)), Output::Answered(CallKey(9))]);
    two.release(3, call, 16, &mut from_two);
    one.handle_packet(4, &from_two.0.remove(0), &mut from_one).unwrap();
    assert_eq!(from_one.1.last(), Some(&Output::Ended(CallKey(9), End::Released(16))));
    two.handle_packet(5, &from_one.0.remove(0), &mut from_two).unwrap();
    for office in [&one, &two] {
        assert_eq!(office.trunks().usage(GroupId(0)).unwrap().free, 4);
    }
}

#[test]
fn strangers_and_nonsense_change_nothing_and_what_is_not_known_is_told() {
    let mut one = office(1, 2);
    let mut done: (Vec<Data>, Vec<Output>) = Default::default();
    let data = |opc, dpc, message: &[u8]| Data { opc, dpc, sls: 0, message: message.to_vec() };
    let iam = message(1, &Signal::Seize(setup())).unwrap().write().unwrap();
    for (opc, dpc) in [(3, 1), (2, 7)] {
        let stranger = one.handle_packet(0, &data(opc, dpc, &iam), &mut done);
        assert_eq!(stranger, Err(SignallingError::Stranger { opc, dpc }));
    }
    assert!(matches!(
        one.handle_packet(0, &data(2, 1, &iam[..6]), &mut done),
        Err(SignallingError::Message(_))
    ));
    assert!(done.0.is_empty() && done.1.is_empty());
    // A type that is not known and says nothing of itself is told by CFN; one that wants silence is not.
    assert_eq!(
        one.handle_packet(0, &data(2, 1, &[1, 0, 0x7f]), &mut done),
        Err(SignallingError::Message(Error::Type(0x7f)))
    );
    assert_eq!(Message::read(&done.0.remove(0).message).unwrap().kind, MessageType::Cfn);
    assert!(one.handle_packet(0, &data(2, 1, &[1, 0, 0x7f, 1, 0x38, 1, 0, 0]), &mut done).is_err());
    assert!(done.0.is_empty());
    // A circuit that is none is told so, and that is not answered in turn.
    let ninety = message(90, &Signal::Seize(setup())).unwrap().write().unwrap();
    one.handle_packet(0, &data(2, 1, &ninety), &mut done).unwrap();
    let ucic = done.0.remove(0);
    assert_eq!(Message::read(&ucic.message).unwrap().kind, MessageType::Ucic);
    one.handle_packet(0, &data(2, 1, &ucic.message), &mut done).unwrap();
    assert!(done.0.is_empty());
    assert_eq!((one.counts().refused, one.counts().confusions), (5, 1));
}
