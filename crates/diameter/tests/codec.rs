//! Encoding and decoding: round trips, comparison with an independent implementation (the `diameter`
//! crate), and malformed input.

use std::io::Cursor;
use std::sync::Arc;

use baydrift_diameter::credit::{self, Endpoints, RequestType};
use baydrift_diameter::{dict, load, result, Avp, Codec, Frame, Header, Message, StreamError};
use bytes::{BufMut, BytesMut};
use diameter::avp::flags::M;
use diameter::avp::{Enumerated, Identity, UTF8String, Unsigned32, Unsigned64};
use diameter::dictionary::{Dictionary, DEFAULT_DICT_XML};
use diameter::{ApplicationId, CommandCode, DiameterMessage};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio_util::codec::{Decoder, Encoder};

fn encode(message: &Message) -> BytesMut {
    let mut to = BytesMut::new();
    Codec::default().encode(message.clone(), &mut to).expect("within the maximum length");
    to
}

fn decode(mut from: BytesMut) -> Result<Option<Frame>, StreamError> {
    Codec::default().decode(&mut from)
}

fn sample_ccr() -> Message {
    let endpoints = Endpoints {
        origin_host: "client.test",
        origin_realm: "test",
        destination_realm: "core.test",
        destination_host: Some("s1.core.test"),
    };
    let mut message = credit::request(endpoints, "client.test;1;2", "grid@test", RequestType::Initial, 0);
    (message.header.hop_by_hop, message.header.end_to_end) = (7, 9);
    message.with(Avp::text(dict::CALLED_STATION_ID, "5550100"))
}

fn check_fault(message: &Message) -> u32 {
    dict::check(message).expect_err("faulty").code
}

#[test]
fn round_trip_split_at_every_byte() {
    let message = sample_ccr();
    let encoded = encode(&message);
    for cut in 0..encoded.len() {
        let mut part = BytesMut::from(&encoded[..cut]);
        assert!(Codec::default().decode(&mut part).expect("no error").is_none(), "cut at {cut}");
        part.extend_from_slice(&encoded[cut..]);
        assert_eq!(Codec::default().decode(&mut part).unwrap(), Some(Frame::Valid(message.clone())));
        assert!(part.is_empty());
    }
    assert_eq!(dict::check(&message), Ok(()));
}

#[test]
fn reference_implementation_decodes_our_encoding() {
    let dict = Arc::new(Dictionary::new(&[&DEFAULT_DICT_XML]));
    let reference =
        DiameterMessage::decode_from(&mut Cursor::new(&encode(&sample_ccr())[..]), dict).expect("readable");
    assert_eq!(reference.get_command_code(), CommandCode::CreditControl);
    assert_eq!((reference.get_hop_by_hop_id(), reference.get_end_to_end_id()), (7, 9));
    assert_eq!(reference.get_avps().len(), sample_ccr().avps.len());
    assert_eq!(reference.get_avp(dict::ORIGIN_HOST).unwrap().get_identity().unwrap().value(), "client.test");
    assert_eq!(
        reference.get_avp(dict::SESSION_ID).unwrap().get_utf8string().unwrap().value(),
        "client.test;1;2"
    );
    let mut re_encoded = Vec::new();
    reference.encode_to(&mut re_encoded).unwrap();
    assert_eq!(re_encoded, encode(&sample_ccr()));
}

#[test]
fn decodes_reference_implementation_encoding() {
    let dict = Arc::new(Dictionary::new(&[&DEFAULT_DICT_XML]));
    let (code, app) = (CommandCode::CreditControl, ApplicationId::CreditControl);
    let mut reference = DiameterMessage::new(code, app, 0xc0, 1123158610, 3102381851, dict.clone());
    reference.add_avp(dict::SESSION_ID, None, M, UTF8String::new("oracle;1;3").into());
    reference.add_avp(dict::ORIGIN_HOST, None, M, Identity::new("oracle.test").into());
    reference.add_avp(dict::ORIGIN_REALM, None, M, Identity::new("test").into());
    reference.add_avp(dict::DESTINATION_REALM, None, M, Identity::new("core.test").into());
    reference.add_avp(dict::AUTH_APPLICATION_ID, None, M, Unsigned32::new(4).into());
    reference.add_avp(dict::SERVICE_CONTEXT_ID, None, M, UTF8String::new("grid@test").into());
    reference.add_avp(dict::CC_REQUEST_TYPE, None, M, Enumerated::new(1).into());
    reference.add_avp(dict::CC_REQUEST_NUMBER, None, M, Unsigned32::new(0).into());
    reference.add_avp(dict::CC_TOTAL_OCTETS, None, M, Unsigned64::new(1 << 40).into());
    let mut raw = Vec::new();
    reference.encode_to(&mut raw).unwrap();
    let Ok(Some(Frame::Valid(decoded))) = decode(BytesMut::from(&raw[..])) else { panic!("not read") };
    assert_eq!(dict::check(&decoded), Ok(()));
    let ccr = credit::Ccr::read(&decoded).expect("complete");
    assert_eq!((ccr.session, ccr.request_type), ("oracle;1;3", RequestType::Initial));
    assert_eq!(decoded.find(dict::CC_TOTAL_OCTETS).unwrap().as_u64(), Some(1 << 40));
    assert_eq!(&encode(&decoded)[..], &raw[..]);
}

#[test]
fn invalid_version_or_length_ends_the_stream() {
    let start = |bytes: &[u8]| decode(BytesMut::from(bytes));
    assert!(matches!(start(&[2, 0, 0, 20]), Err(StreamError::Version(2))));
    assert!(matches!(start(&[1, 0, 0, 16]), Err(StreamError::Length(16))));
    assert!(matches!(start(&[1, 0, 0, 21]), Err(StreamError::Length(21))));
    // A length of 16 MB is rejected after four bytes, before memory is reserved for it.
    assert!(matches!(start(&[1, 0xff, 0xff, 0xfc]), Err(StreamError::TooLong { length: 0xff_fffc, .. })));
    assert!(matches!(start(&[1, 0, 0]), Ok(None)));
}

#[test]
fn malformed_message_does_not_end_the_stream() {
    let good = encode(&sample_ccr());
    type Case = (&'static str, fn(&mut BytesMut), u32);
    let cases: [Case; 5] = [
        ("reserved flag", |m| m[4] |= 0x04, result::INVALID_BIT_IN_HEADER),
        ("error flag on a request", |m| m[4] |= 0x20, result::INVALID_HDR_BITS),
        ("AVP past the end", |m| m[25..28].copy_from_slice(&[0, 0xff, 0xf0]), result::INVALID_AVP_LENGTH),
        (
            "AVP shorter than its header",
            |m| m[25..28].copy_from_slice(&[0, 0, 7]),
            result::INVALID_AVP_LENGTH,
        ),
        (
            "half an AVP header at the end",
            |m| {
                m.put_u32(263);
                let length = m.len() as u32;
                m[..4].copy_from_slice(&(1 << 24 | length).to_be_bytes());
            },
            result::INVALID_AVP_LENGTH,
        ),
    ];
    for (case, corrupt, code) in cases {
        let mut raw = good.clone();
        corrupt(&mut raw);
        raw.extend_from_slice(&good);
        let mut codec = Codec::default();
        let Some(Frame::Invalid(header_only, fault)) = codec.decode(&mut raw).expect("no stream error")
        else {
            panic!("{case}")
        };
        assert_eq!((header_only.header.hop_by_hop, fault.code), (7, code), "{case}");
        assert_eq!(fault.failed.is_some(), code == result::INVALID_AVP_LENGTH, "{case}");
        assert_eq!(codec.decode(&mut raw).unwrap(), Some(Frame::Valid(sample_ccr())), "{case}");
        // The error answer for the fault is itself well-formed.
        let error_answer = Message::error_answer(&header_only, &fault, "front.test", "test");
        assert_eq!(error_answer.header.flags.error, result::is_protocol_error(code));
        assert!(matches!(decode(encode(&error_answer)), Ok(Some(Frame::Valid(_)))));
    }
}

#[test]
fn dictionary_check_rejects_invalid_avps() {
    let with = |avp: Avp| sample_ccr().with(avp);
    let unknown = Avp { mandatory: true, ..Avp::vendor_specific(9999, 1, vec![1]) };
    assert_eq!(check_fault(&with(unknown.clone())), result::AVP_UNSUPPORTED);
    assert_eq!(dict::check(&with(Avp { mandatory: false, ..unknown.clone() })), Ok(()));
    assert_eq!(check_fault(&with(Avp::new(dict::CC_TIME, vec![1, 2]))), result::INVALID_AVP_LENGTH);
    assert_eq!(check_fault(&with(Avp::new(dict::USER_NAME, vec![0xff, 0xfe]))), result::INVALID_AVP_VALUE);
    // Grouped AVPs are checked recursively, and rejected beyond the maximum nesting depth.
    let inside = Avp::group(dict::SUBSCRIPTION_ID, &[unknown]);
    assert_eq!(check_fault(&with(inside)), result::AVP_UNSUPPORTED);
    let mut nested = Avp::u32(dict::CC_TIME, 1);
    for _ in 0..2_000 {
        nested = Avp::group(dict::GRANTED_SERVICE_UNIT, &[nested]);
    }
    assert_eq!(check_fault(&with(nested)), result::INVALID_AVP_VALUE);
}

#[test]
fn ccr_reports_missing_and_repeated_avps() {
    let needed = [
        dict::SESSION_ID,
        dict::ORIGIN_HOST,
        dict::ORIGIN_REALM,
        dict::DESTINATION_REALM,
        dict::AUTH_APPLICATION_ID,
        dict::SERVICE_CONTEXT_ID,
        dict::CC_REQUEST_TYPE,
        dict::CC_REQUEST_NUMBER,
    ];
    for code in needed {
        let mut message = sample_ccr();
        message.avps.retain(|avp| avp.code != code);
        let fault = credit::Ccr::read(&message).expect_err("incomplete");
        assert_eq!((fault.code, fault.failed.unwrap().code), (result::MISSING_AVP, code));
        let twice = sample_ccr().with(sample_ccr().find(code).unwrap().clone());
        assert_eq!(credit::Ccr::read(&twice).unwrap_err().code, result::AVP_OCCURS_TOO_MANY_TIMES);
    }
}

#[test]
fn answer_returns_proxy_info_in_order() {
    let state = |n| Avp::group(dict::PROXY_INFO, &[Avp::text(dict::PROXY_HOST, n)]);
    let request = sample_ccr().with(state("a.test")).with(state("b.test"));
    let answer = credit::answer(&request, result::SUCCESS, "front.test", "test");
    let back: Vec<_> = answer.all(dict::PROXY_INFO).cloned().collect();
    assert_eq!(back, [state("a.test"), state("b.test")]);
    assert_eq!(answer.avps[0].code, dict::SESSION_ID);
}

#[test]
fn load_report_round_trip() {
    let report = baydrift::interface::Report {
        free: Some(12.0),
        circuits: Some(40.0),
        in_flight: Some(3.0),
        queue: Some(7.0),
        busy: Some(0.75),
        wait_s: Some(0.125),
        rate: Some(31.5),
        reduction: Some(0.2),
    };
    let mut message = credit::answer(&sample_ccr(), result::SUCCESS, "s1.core.test", "core.test");
    load::write(&report, "s1.core.test", 1, &mut message);
    assert_eq!(dict::check(&message), Ok(()));
    let back = load::read(&message);
    assert!((back.busy.unwrap() - 0.75).abs() < 1e-4, "{back:?}");
    assert_eq!(baydrift::interface::Report { busy: report.busy, ..back }, report);
    // RFC 8583: a high Load-Value means little load.
    let value = |v| Avp::group(dict::LOAD, &[Avp::u64(dict::LOAD_VALUE, v)]);
    let busy = |v| load::read(&sample_ccr().with(value(v))).busy;
    assert_eq!((busy(65_535), busy(0), busy(65_536)), (Some(0.0), Some(1.0), None));
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..Default::default()
    }
}

fn avp() -> impl Strategy<Value = Avp> {
    let data = proptest::collection::vec(any::<u8>(), 0..40);
    (0u32..1 << 24, prop_oneof![Just(0u32), any::<u32>()], any::<[bool; 2]>(), data).prop_map(
        |(code, vendor, [mandatory, protected], data)| Avp {
            code,
            vendor,
            mandatory,
            protected,
            data: data.into(),
        },
    )
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_message_round_trips(avps in proptest::collection::vec(avp(), 0..12), ids in any::<[u32; 3]>()) {
        let header = Header {
            code: 272,
            application: ids[0],
            hop_by_hop: ids[1],
            end_to_end: ids[2],
            ..Header::default()
        };
        let message = Message { header, avps };
        prop_assert_eq!(decode(encode(&message)).unwrap(), Some(Frame::Valid(message)));
    }

    #[test]
    fn arbitrary_bytes_keep_the_buffer_bounded(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
        valid_header in any::<bool>(),
    ) {
        let mut from = BytesMut::from(&bytes[..]);
        if valid_header && from.len() >= 20 {
            let length = (from.len() / 4 * 4) as u32;
            from[..4].copy_from_slice(&(1 << 24 | length).to_be_bytes());
        }
        let mut codec = Codec { max_message: 4096 };
        for _ in 0..20 {
            match codec.decode(&mut from) {
                Ok(Some(Frame::Valid(message))) => drop(dict::check(&message)),
                Ok(Some(Frame::Invalid(_, fault))) => prop_assert!(fault.code >= 3000),
                Ok(None) | Err(_) => break,
            }
        }
        prop_assert!(from.capacity() <= 3 * 4096);
    }
}
