//! Conversion of signals to messages and back, and packet exchange between two signalling points.

use std::sync::Arc;

use baydrift_isup::{Data, Error, Message, MessageType};
use baydrift_signalling::{
    message_to_signal, signal_to_message, Decoded, MapError, SignallingError, SignallingPoint,
};
use baydrift_trunk::rules::{RouteChoice, Selection};
use baydrift_trunk::{
    AuditSettings, CallKey, End, GroupId, GroupSpec, Output, Processing, ReportedState, Setup, Signal,
    TimerSettings, Trunks,
};

fn setup() -> Setup {
    Setup { number: Arc::from([5u8, 5, 5]), reference: Arc::from(*b"c|1") }
}

#[test]
fn every_signal_round_trips_as_message() {
    let reported = |processing| ReportedState { processing, locally_blocked: false, remotely_blocked: true };
    let states =
        [Processing::Idle, Processing::IncomingBusy, Processing::OutgoingBusy].map(reported).to_vec();
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
    for original in all {
        let octets = signal_to_message(77, &original).unwrap().write().unwrap();
        let read = Message::read(&octets).unwrap();
        assert_eq!((read.cic, message_to_signal(&read).unwrap()), (77, Decoded::Signal(original)));
    }
    for invalid in [Signal::GroupReset(0), Signal::Query(33), Signal::GroupBlock(Vec::new())] {
        assert!(matches!(signal_to_message(1, &invalid), Err(MapError::Range(_))));
    }
    assert_eq!(
        message_to_signal(&Message::new(MessageType::Lpa, 1)).unwrap(),
        Decoded::Ignored(MessageType::Lpa)
    );
}

fn signalling_point(own_point: u32, far_point: u32) -> SignallingPoint {
    let spec =
        GroupSpec { own_point, far_point, first: 1, circuits: 4, selection: Selection::Opposite, reserve: 0 };
    let trunks = Trunks::new(vec![spec], TimerSettings::default(), AuditSettings::default()).unwrap();
    SignallingPoint::new(own_point, vec![(far_point, 1..5)], trunks)
}

#[test]
fn two_signalling_points_set_up_and_release_a_call() {
    let (mut one, mut two) = (signalling_point(1, 2), signalling_point(2, 1));
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
    for point in [&one, &two] {
        assert_eq!(point.trunks().usage(GroupId(0)).unwrap().free, 4);
    }
}

#[test]
fn invalid_packets_change_nothing_and_unknown_types_are_notified() {
    let mut one = signalling_point(1, 2);
    let mut outputs: (Vec<Data>, Vec<Output>) = Default::default();
    let data = |opc, dpc, message: &[u8]| Data { opc, dpc, sls: 0, message: message.to_vec() };
    let iam = signal_to_message(1, &Signal::Seize(setup())).unwrap().write().unwrap();
    for (opc, dpc) in [(3, 1), (2, 7)] {
        let result = one.handle_packet(0, &data(opc, dpc, &iam), &mut outputs);
        assert_eq!(result, Err(SignallingError::UnknownRoute { opc, dpc }));
    }
    assert!(matches!(
        one.handle_packet(0, &data(2, 1, &iam[..6]), &mut outputs),
        Err(SignallingError::Message(_))
    ));
    assert!(outputs.0.is_empty() && outputs.1.is_empty());
    // An unknown type without compatibility information is answered with CFN; one that asks for no
    // notification is not.
    assert_eq!(
        one.handle_packet(0, &data(2, 1, &[1, 0, 0x7f]), &mut outputs),
        Err(SignallingError::Message(Error::Type(0x7f)))
    );
    assert_eq!(Message::read(&outputs.0.remove(0).message).unwrap().kind, MessageType::Cfn);
    assert!(one.handle_packet(0, &data(2, 1, &[1, 0, 0x7f, 1, 0x38, 1, 0, 0]), &mut outputs).is_err());
    assert!(outputs.0.is_empty());
    // An unequipped circuit is answered with UCIC, and a UCIC is not answered.
    let unequipped = signal_to_message(90, &Signal::Seize(setup())).unwrap().write().unwrap();
    one.handle_packet(0, &data(2, 1, &unequipped), &mut outputs).unwrap();
    let ucic = outputs.0.remove(0);
    assert_eq!(Message::read(&ucic.message).unwrap().kind, MessageType::Ucic);
    one.handle_packet(0, &data(2, 1, &ucic.message), &mut outputs).unwrap();
    assert!(outputs.0.is_empty());
    assert_eq!((one.counts().refused, one.counts().confusions), (5, 1));
}
