//! Encoding and decoding of call messages: round trips, arbitrary input and arbitrary segmentation.

use baydrift_platform::message::{MAX_LENGTH, MIN_LENGTH};
use baydrift_platform::{CallId, Cause, Message, MessageDecoder, MessageType, ParameterCode, PlatformError};
use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;

fn message_types() -> impl Strategy<Value = MessageType> {
    use MessageType::*;
    prop::sample::select(vec![
        SetUp,
        Progress,
        Answer,
        Release,
        ReleaseAck,
        HealthCheck,
        HealthCheckResult,
        LoadReport,
    ])
}

fn messages() -> impl Strategy<Value = Message> {
    let parameters = vec((any::<u8>(), vec(any::<u8>(), 0..200).prop_map(Bytes::from)), 0..8);
    (message_types(), any::<[u8; 8]>(), parameters).prop_map(|(kind, id, parameters)| Message {
        kind,
        call: CallId(id),
        parameters,
    })
}

fn decode_all(
    decoder: &mut MessageDecoder,
    bytes: &[u8],
    out: &mut Vec<Message>,
) -> Result<(), PlatformError> {
    decoder.push(bytes);
    while let Some(message) = decoder.next_message()? {
        out.push(message);
    }
    Ok(())
}

proptest! {
    #[test]
    fn round_trip_with_any_segmentation(
        sent in vec(messages(), 1..6),
        cuts in vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let mut bytes = Vec::new();
        for message in &sent {
            message.write(&mut bytes).expect("short enough");
        }
        let mut cuts: Vec<_> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let (mut decoder, mut decoded) = (MessageDecoder::default(), Vec::new());
        for pair in cuts.windows(2) {
            decode_all(&mut decoder, &bytes[pair[0]..pair[1]], &mut decoded).expect("readable");
        }
        prop_assert_eq!(decoded, sent);
        prop_assert!(!decoder.has_partial_message());
    }

    #[test]
    fn arbitrary_bytes_never_panic(pieces in vec(vec(any::<u8>(), 0..300), 0..8)) {
        let (mut decoder, mut decoded) = (MessageDecoder::default(), Vec::new());
        for piece in pieces {
            if decode_all(&mut decoder, &piece, &mut decoded).is_err() {
                break;
            }
        }
        for message in decoded {
            let mut bytes = Vec::new();
            message.write(&mut bytes).expect("a decoded message can be encoded");
        }
    }

    #[test]
    fn invalid_length_reported_from_length_field_alone(length in any::<u16>()) {
        let mut decoder = MessageDecoder::default();
        decoder.push(&length.to_be_bytes());
        let good = (MIN_LENGTH..=MAX_LENGTH).contains(&usize::from(length));
        prop_assert_eq!(decoder.next_message().is_ok(), good);
    }
}

/// Checks the byte layout of the protocol specification.
#[test]
fn release_wire_layout() {
    let mut bytes = Vec::new();
    let message =
        Message::release(CallId([0x7f, 0xab, 0x30, 0x77, 0xf2, 0x81, 0x01, 0x14]), Cause::NO_CIRCUIT);
    message.write(&mut bytes).expect("short");
    let want = [0, 13, 12, 0x7f, 0xab, 0x30, 0x77, 0xf2, 0x81, 0x01, 0x14, 171, 0, 1, 34];
    assert_eq!(bytes, want);
    assert_eq!(message.call.to_string(), "7fab3077f2810114");
}

#[test]
fn parameter_overrun_and_unknown_type_rejected() {
    let mut decoder = MessageDecoder::default();
    decoder.push(&[0, 13, 12, 1, 2, 3, 4, 5, 6, 7, 8, 171, 0, 9, 34]);
    assert_eq!(decoder.next_message(), Err(PlatformError::ParameterOverrun { code: 171, at: 9 }));
    let mut decoder = MessageDecoder::default();
    decoder.push(&[0, 13, 200]);
    assert_eq!(
        decoder.next_message(),
        Err(PlatformError::UnknownType(200)),
        "reported before the rest of the message arrives"
    );
    let long = Message::new(MessageType::Answer, CallId::default())
        .with(ParameterCode::DESCRIPTION, vec![0; MAX_LENGTH]);
    assert!(matches!(long.write(&mut Vec::new()), Err(PlatformError::InvalidLength(_))));
}

#[test]
fn cause_must_be_single_byte_and_unique() {
    let message = Message::new(MessageType::Release, CallId::default());
    assert_eq!(message.cause(), Err(PlatformError::MissingParameter(ParameterCode::CAUSE)));
    assert!(message.clone().with(ParameterCode::CAUSE, vec![1, 2]).cause().is_err());
    let twice = message.with(ParameterCode::CAUSE, vec![1]).with(ParameterCode::CAUSE, vec![1]);
    assert_eq!(twice.cause(), Err(PlatformError::DuplicateParameter(ParameterCode::CAUSE)));
}

/// Guards against messages that take many times their size in memory: thousands of parameters without a value.
#[test]
fn many_short_parameters_take_no_more_memory_than_the_message() {
    let mut message = Message::new(MessageType::SetUp, CallId::default()).with(ParameterCode::CLASS, "load");
    for _ in 0..2_000 {
        message = message.with(7, "").with(ParameterCode::NOTE, "");
    }
    let bytes = message.with(ParameterCode::DESCRIPTION, "v=0").to_bytes().expect("short enough");
    let mut frames = MessageDecoder::default();
    frames.push(&bytes);
    let decoded = frames.next_message().expect("valid").expect("whole");
    assert!(decoded.memory_size() < 300, "{} bytes", decoded.memory_size());
    assert_eq!(decoded.text(ParameterCode::CLASS), Ok(Some("load")));
    assert_eq!(decoded.text(ParameterCode::DESCRIPTION), Ok(Some("v=0")));
    assert!(decoded.optional(ParameterCode::NOTE).is_err(), "it still occurs more than once");
}

/// The limit on parameters does not hide one that is longer than its message.
#[test]
fn overrun_behind_many_parameters_is_rejected() {
    let mut message = Message::new(MessageType::SetUp, CallId::default());
    for _ in 0..100 {
        message = message.with(7, "");
    }
    let mut bytes = message.with(7, "x").to_bytes().expect("short enough");
    let length = bytes.len() - 2;
    bytes[length] = 2;
    let mut frames = MessageDecoder::default();
    frames.push(&bytes);
    let at = 9 + 100 * 3;
    assert_eq!(frames.next_message(), Err(PlatformError::ParameterOverrun { code: 7, at }));
}
