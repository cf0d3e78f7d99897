//! ISUP messages and M3UA packets: encodings given by the specification, round trips, and malformed input.

use baydrift_isup::{
    cause, param, CalledNumber, CircuitState, Codec, Data, Error, Iam, Message, MessageType, Packet, Param,
    Processing, Range, MESSAGE_MAX,
};
use bytes::BytesMut;
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};

fn iam() -> Iam {
    let called = CalledNumber { nature: 3, digits: vec![5, 5, 5, 0, 1, 9, 9] };
    Iam { called, category: 10, continuity: false, reference: b"c|1".to_vec() }
}

#[test]
fn encodings_match_the_specification() {
    let message = Message::iam(0x123, &iam());
    let octets = message.write().unwrap();
    let fixed = [0x23, 0x01, 0x01, 0x00, 0x20, 0x01, 0x0a, 0x00];
    let variable = [0x02, 0x08, 0x06, 0x83, 0x10, 0x55, 0x05, 0x91, 0x09];
    let optional = [0x20, 0x03, b'c', b'|', b'1', 0x00];
    assert_eq!(octets, [&fixed[..], &variable, &optional].concat());
    assert_eq!(Message::read(&octets).unwrap().as_iam(), Some(iam()));
    assert_eq!(Message::new(MessageType::Rlc, 5).write().unwrap(), [5, 0, 0x10, 0]);
    assert_eq!(Message::new(MessageType::Rsc, 5).write().unwrap(), [5, 0, 0x12]);
    let rel = Message::with_cause(MessageType::Rel, 5, cause::NORMAL_CLEARING).write().unwrap();
    assert_eq!(rel, [5, 0, 0x0c, 0x02, 0x00, 0x02, 0x82, 0x90]);
    assert_eq!(Message::read(&rel).unwrap().cause(), Some(cause::NORMAL_CLEARING));
}

#[test]
fn range_status_has_one_bit_per_circuit() {
    let status = vec![true, false, false, true, false, false, false, false, true];
    let message = Message::with_range(MessageType::Cgb, 32, &Range { range: 8, status });
    let octets = message.write().unwrap();
    assert_eq!(octets, [32, 0, 0x18, 0, 1, 3, 8, 0b0000_1001, 1]);
    assert_eq!(Message::read(&octets).unwrap(), message);
    // A status of the wrong length, and a status in a message type that has none.
    let wrong = [32, 0, 0x18, 0, 1, 2, 8, 0];
    assert_eq!(Message::read(&wrong), Err(Error::Status { range: 8, wanted: 2, got: 1 }));
    assert!(matches!(Message::read(&[32, 0, 0x17, 1, 2, 8, 0]), Err(Error::Length { .. })));
    let states =
        [Processing::Idle, Processing::IncomingBusy, Processing::OutgoingBusy, Processing::Transient];
    let states = states.map(|processing| CircuitState {
        processing,
        locally_blocked: processing == Processing::Idle,
        remotely_blocked: false,
    });
    let cqr = Message::cqr(7, &states);
    assert_eq!(cqr.find(param::CIRCUIT_STATE), Some(&[0b1101, 0b0100, 0b1000, 0][..]));
    assert_eq!(Message::read(&cqr.write().unwrap()).unwrap().circuit_states().unwrap(), states);
}

#[test]
fn unknown_type_returns_compatibility_information() {
    // Type 0x7f, one pointer, message compatibility information: release call, send notification.
    let octets = [9, 0, 0x7f, 1, 0x38, 1, 0b0000_0110, 0];
    assert_eq!(Message::read(&octets), Err(Error::Type(0x7f)));
    let (cic, code, wanted) = Message::read_unknown(&octets).unwrap();
    let wanted = wanted.unwrap();
    assert_eq!(
        (cic, code, wanted.release, wanted.notify, wanted.discard_message),
        (9, 0x7f, true, true, false)
    );
    assert_eq!(Message::read_unknown(&[9, 0, 0x7f]).unwrap().2, None);
    // Unknown parameters are kept unchanged.
    let rlc = [5, 0, 0x10, 1, 0xee, 2, 7, 8, 0x39, 2, 0xee, 0x80, 0];
    let read = Message::read(&rlc).unwrap();
    assert_eq!(read.params[0], Param::new(0xee, [7, 8]));
    assert_eq!(read.write().unwrap(), rlc);
}

#[test]
fn malformed_messages_are_rejected() {
    assert_eq!(Message::read(&[1, 0]), Err(Error::Short(2)));
    assert_eq!(Message::read(&[0; MESSAGE_MAX + 1]), Err(Error::Long(MESSAGE_MAX + 1)));
    // Pointers: past the end, into the pointers, zero for a mandatory parameter, to a part that is cut short.
    assert_eq!(Message::read(&[5, 0, 0x0c, 9, 0, 2, 0x82, 0x90]), Err(Error::Pointer(3)));
    assert_eq!(Message::read(&[5, 0, 0x0c, 1, 0, 2, 0x82, 0x90]), Err(Error::Pointer(3)));
    assert_eq!(Message::read(&[5, 0, 0x0c, 0, 0, 2, 0x82, 0x90]), Err(Error::Pointer(3)));
    assert_eq!(Message::read(&[5, 0, 0x0c, 2, 0, 3, 0x82, 0x90]), Err(Error::Short(8)));
    assert_eq!(Message::new(MessageType::Iam, 1).write(), Err(Error::Missing(param::NATURE_OF_CONNECTION)));
    assert_eq!(Message::new(MessageType::Rsc, 0x1000).write(), Err(Error::Circuit(0x1000)));
}

/// A message of any type, with optional parameters if its format allows them.
fn any_message() -> impl Strategy<Value = Message> {
    let kinds: Vec<_> = MessageType::all().collect();
    let optional = prop::collection::vec((0x40u8..=0xff, prop::collection::vec(any_octet(), 0..20)), 0..4);
    (prop::sample::select(kinds), 0u16..4_096, any_octet(), optional, 0u8..32).prop_map(
        |(kind, cic, fill, optional, range)| {
            let sized = |length: usize| vec![fill; length];
            let status = vec![fill & 1 == 1; usize::from(range) + 1];
            let range = Range { range, status: if kind.has_status() { status } else { Vec::new() } };
            let base = match kind {
                MessageType::Iam => Message::iam(cic, &iam()),
                MessageType::Sam => Message::new(kind, cic).with(param::SUBSEQUENT_NUMBER, sized(4)),
                MessageType::Cot => Message::new(kind, cic).with(param::CONTINUITY, sized(1)),
                MessageType::Acm | MessageType::Con => {
                    Message::new(kind, cic).with(param::BACKWARD_CALL, sized(2))
                }
                MessageType::Sus | MessageType::Res => {
                    Message::new(kind, cic).with(param::SUSPEND_RESUME, sized(1))
                }
                MessageType::Cpg => Message::new(kind, cic).with(param::EVENT, sized(1)),
                MessageType::Rel | MessageType::Cfn => Message::with_cause(kind, cic, fill & 0x7f),
                MessageType::Cqr => {
                    Message::with_range(kind, cic, &range).with(param::CIRCUIT_STATE, sized(range.circuits()))
                }
                MessageType::Grs
                | MessageType::Gra
                | MessageType::Cgb
                | MessageType::Cgu
                | MessageType::Cgba
                | MessageType::Cgua
                | MessageType::Cqm => Message::with_range(kind, cic, &range),
                _ => Message::new(kind, cic),
            };
            let has_optional_part = base.clone().with(0xee, []).write().is_ok();
            optional
                .into_iter()
                .filter(|_| has_optional_part)
                .fold(base, |m, (code, octets)| m.with(code, octets))
        },
    )
}

fn any_octet() -> impl Strategy<Value = u8> {
    0u8..=255
}

proptest! {
    #[test]
    fn round_trip_and_truncation_without_panic(message in any_message()) {
        let octets = message.write().unwrap();
        prop_assert_eq!(Message::read(&octets).unwrap(), message);
        for end in 0..octets.len() {
            let _ = Message::read(&octets[..end]);
            let _ = Message::read_unknown(&octets[..end]);
        }
    }

    #[test]
    fn arbitrary_octets_decode_or_fail(octets in prop::collection::vec(any_octet(), 0..300)) {
        if let Ok(message) = Message::read(&octets) {
            prop_assert_eq!(Message::read(&message.write().unwrap()).unwrap(), message);
        }
    }

    #[test]
    fn packets_decode_at_any_split(
        messages in prop::collection::vec(any_message(), 1..5),
        cut in 1usize..40,
    ) {
        let mut codec = Codec;
        let mut all = BytesMut::new();
        let data: Vec<_> = messages
            .iter()
            .map(|m| Data { opc: 1, dpc: 2, sls: m.cic as u8, message: m.write().unwrap() })
            .collect();
        let mut packets = vec![Packet::AspUp, Packet::AspUpAck, Packet::Other(0, 1)];
        packets.extend(data.into_iter().map(Packet::Data));
        for packet in packets.clone() {
            codec.encode(packet, &mut all).unwrap();
        }
        let (mut from, mut decoded) = (BytesMut::new(), Vec::new());
        for part in all.chunks(cut) {
            from.extend_from_slice(part);
            while let Some(packet) = codec.decode(&mut from).unwrap() {
                decoded.push(packet);
            }
        }
        prop_assert_eq!(decoded, packets);
    }

    #[test]
    fn arbitrary_stream_does_not_panic(octets in prop::collection::vec(any_octet(), 0..200)) {
        let mut from = BytesMut::from(&octets[..]);
        let mut codec = Codec;
        for _ in 0..octets.len() {
            if !matches!(codec.decode(&mut from), Ok(Some(_))) {
                break;
            }
        }
    }
}
