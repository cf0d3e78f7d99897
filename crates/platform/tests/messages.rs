//! The codec: round trips, any bytes, any split.

use baydrift_platform::message::{MAX_LENGTH, MIN_LENGTH};
use baydrift_platform::{CallId, Cause, Message, MessageDecoder, MessageType, ParameterCode, PlatformError};
use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;

fn kinds() -> impl Strategy<Value = MessageType> {
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
    (kinds(), any::<[u8; 8]>(), parameters).prop_map(|(kind, id, parameters)| Message {
        kind,
        call: CallId(id),
        parameters,
    })
}

fn read_all(frames: &mut MessageDecoder, bytes: &[u8], out: &mut Vec<Message>) -> Result<(), PlatformError> {
    frames.push(bytes);
    while let Some(message) = frames.next_message()? {
        out.push(message);
    }
    Ok(())
}

proptest! {
    #[test]
    fn what_is_written_is_read_however_it_is_split(
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
        let (mut frames, mut got) = (MessageDecoder::default(), Vec::new());
        for pair in cuts.windows(2) {
            read_all(&mut frames, &bytes[pair[0]..pair[1]], &mut got).expect("readable");
        }
        prop_assert_eq!(got, sent);
        prop_assert!(!frames.has_partial_message());
    }

    #[test]
    fn any_bytes_are_read_or_named_wrong(pieces in vec(vec(any::<u8>(), 0..300), 0..8)) {
        let (mut frames, mut got) = (MessageDecoder::default(), Vec::new());
        for piece in pieces {
            if read_all(&mut frames, &piece, &mut got).is_err() {
                break;
            }
        }
        for message in got {
            let mut bytes = Vec::new();
            message.write(&mut bytes).expect("it was short enough to be read");
        }
    }

    #[test]
    fn lengths_out_of_bounds_are_seen_before_anything_else_comes(length in any::<u16>()) {
        let mut frames = MessageDecoder::default();
        frames.push(&length.to_be_bytes());
        let good = (MIN_LENGTH..=MAX_LENGTH).contains(&usize::from(length));
        prop_assert_eq!(frames.next_message().is_ok(), good);
    }
}

/// As the protocol's page lays a message out, byte by byte.
#[test]
fn a_release_is_laid_out_as_the_page_says() {
    let mut bytes = Vec::new();
    let message =
        Message::release(CallId([0x7f, 0xab, 0x30, 0x77, 0xf2, 0x81, 0x01, 0x14]), Cause::NO_CIRCUIT);
    message.write(&mut bytes).expect("short");
    let want = [0, 13, 12, 0x7f, 0xab, 0x30, 0x77, 0xf2, 0x81, 0x01, 0x14, 171, 0, 1, 34];
    assert_eq!(bytes, want);
    assert_eq!(message.call.to_string(), "7fab3077f2810114");
}

#[test]
fn a_parameter_past_its_message_and_unknown_types_are_faults() {
    let mut frames = MessageDecoder::default();
    frames.push(&[0, 13, 12, 1, 2, 3, 4, 5, 6, 7, 8, 171, 0, 9, 34]);
    assert_eq!(frames.next_message(), Err(PlatformError::ParameterOverrun { code: 171, at: 9 }));
    let mut frames = MessageDecoder::default();
    frames.push(&[0, 13, 200]);
    assert_eq!(frames.next_message(), Err(PlatformError::UnknownType(200)), "before the rest has come");
    let long = Message::new(MessageType::Answer, CallId::default())
        .with(ParameterCode::DESCRIPTION, vec![0; MAX_LENGTH]);
    assert!(matches!(long.write(&mut Vec::new()), Err(PlatformError::InvalidLength(_))));
}

#[test]
fn causes_and_texts_are_read_strictly() {
    let message = Message::new(MessageType::Release, CallId::default());
    assert_eq!(message.cause(), Err(PlatformError::MissingParameter(ParameterCode::CAUSE)));
    assert!(message.clone().with(ParameterCode::CAUSE, vec![1, 2]).cause().is_err());
    let twice = message.with(ParameterCode::CAUSE, vec![1]).with(ParameterCode::CAUSE, vec![1]);
    assert_eq!(twice.cause(), Err(PlatformError::DuplicateParameter(ParameterCode::CAUSE)));
}
