//! Parsing and writing of text messages: round trips, errors with position and code, limits and TPKT framing.

use baydrift_h248::{
    code, frame, parse, unframe, Action, ActionReply, Body, Command, CommandKind, CommandReply, Context,
    ErrorDescriptor, Item, Message, ReplyBody, Style, TpktError, Transaction, TEXT_MAX,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SETUP: &str = "MEGACO/1 [127.0.0.1]:2944 ; a comment to the line's end
Transaction = 9998 {
    Context = $ {
        Add = trunk/$ {
            Media { LocalControl { bdc/ctx = \"grid@test\", bdc/num=5550100 } },
            Events = 4 { bdc/cut }
        },
        O-W-Subtract = trunk/* { Audit { Statistics } }
    }
}";

fn transactions(message: &Message) -> &[Transaction] {
    match &message.body {
        Body::Transactions(all) => all,
        other => panic!("{other:?}"),
    }
}

#[test]
fn long_and_short_tokens_are_equivalent() {
    let long = parse(SETUP).unwrap();
    let short = "!/1 [127.0.0.1]:2944 T=9998{C=${A=trunk/${M{O{bdc/ctx=\"grid@test\",bdc/num=5550100}},E=4{bdc/cut}},\
                 O-W-S=trunk/*{AT{SA}}}}";
    let short = parse(short).unwrap();
    let Transaction::Request { id: 9998, actions } = &transactions(&long)[0] else { panic!() };
    let [Action { context: Context::Choose, commands }] = &actions[..] else { panic!() };
    assert_eq!((commands[0].kind, commands[0].termination.as_str()), (CommandKind::Add, "trunk/$"));
    assert_eq!(
        (commands[1].kind, commands[1].optional, commands[1].wildcard),
        (CommandKind::Subtract, true, true)
    );
    let media = commands[0].descriptors[0].find("LocalControl", "O").unwrap();
    assert_eq!(media.find("bdc/ctx", "").unwrap().text(), Some("grid@test"));
    // The style is chosen by the writer and does not depend on the input.
    assert_eq!(long.write(Style::Compact), short.write(Style::Compact));
    assert_eq!(long.write(Style::Pretty), short.write(Style::Pretty));
}

#[test]
fn all_transaction_types_parsed() {
    let text = "MEGACO/1 <gw.test>:55 Reply = 7 { ImmAckRequired, Context = 12 { Add = trunk/1 } } \
                Reply=8{Context=-{ServiceChange=ROOT{Error=510{\"full\"}}}} P=9{ER=403{\"1:2: x\"}} Pending = 10 {} \
                TransactionResponseAck { 3, 5-9 }";
    let message = parse(text).unwrap();
    let all = transactions(&message);
    assert!(matches!(&all[0], Transaction::Reply { id: 7, immediate_ack: true, .. }));
    let Transaction::Reply { body: ReplyBody::Actions(actions), .. } = &all[1] else { panic!() };
    assert_eq!(actions[0].replies[0].descriptors[0].text(), Some("510"));
    let Transaction::Reply { body: ReplyBody::Error(error), .. } = &all[2] else { panic!() };
    assert_eq!(error, &ErrorDescriptor::new(403, "1:2: x"));
    assert_eq!(all[3], Transaction::Pending(10));
    assert_eq!(all[4], Transaction::Ack(vec![(3, 3), (5, 9)]));
    // A range is not expanded, so one of four billion ids takes no memory.
    assert!(parse("!/1 a K{1-4294967295}").is_ok());
    let Body::Error(error) = parse("MEGACO/1 [1.2.3.4] Error = 400 { \"no\" }").unwrap().body else {
        panic!()
    };
    assert_eq!(error.code, 400);
}

#[test]
fn errors_have_position_and_code() {
    let cases = [
        ("HELLO", 1, 1, code::SYNTAX_IN_MESSAGE, "expected MEGACO or !"),
        ("MEGACO/9 a T=1{C=-{}}", 1, 1, code::VERSION, "version 9 is not spoken"),
        ("!/1 a", 1, 6, code::SYNTAX_IN_MESSAGE, "expected a transaction"),
        ("!/1 a\nT=0{C=-{}}", 2, 1, code::SYNTAX_IN_TRANSACTION, "0 is no TransactionID"),
        ("!/1 a T=4294967296{C=-{}}", 1, 7, code::SYNTAX_IN_TRANSACTION, "4294967296 is no TransactionID"),
        ("!/1 a T=1{}", 1, 7, code::SYNTAX_IN_TRANSACTION, "a transaction has an action"),
        ("!/1 a T=1{X=1{}}", 1, 11, code::SYNTAX_IN_ACTION, "expected a context, not X"),
        ("!/1 a T=1{C=0{}}", 1, 11, code::SYNTAX_IN_ACTION, "0 is no ContextID"),
        ("!/1 a T=1{C=1{Sing=a}}", 1, 15, code::UNKNOWN_COMMAND, "Sing is no command"),
        ("!/1 a T=1{C=1{A}}", 1, 15, code::SYNTAX_IN_COMMAND, "A wants = and a value"),
        ("!/1 a T=1{C=1{A=t{M{},M{}}}}", 1, 23, code::DUPLICATE_DESCRIPTOR, "Media appears twice"),
        ("!/1 a K{9-3}", 1, 9, code::SYNTAX_IN_TRANSACTION, "9-3 is no range of ids"),
        ("!/1 a SM=1{}", 1, 7, code::NOT_IMPLEMENTED, "segments are not taken"),
    ];
    for (text, line, column, code, what) in cases {
        let error = parse(text).expect_err(text);
        assert_eq!(
            (error.line, error.column, error.code, error.text.as_str()),
            (line, column, code, what),
            "{text}"
        );
    }
    // If the TransactionID could be parsed, the reply to it can carry the error.
    assert_eq!(parse("!/1 a T=77{C=1{Sing=a}}").unwrap_err().transaction, Some(77));
    for broken in ["!/1 a T=1{C=1{A=t}", "!/1 a T=1{C=\"x}", "!/1 a T=1{C=1{A=t{L{v=0"] {
        let error = parse(broken).unwrap_err();
        assert!(error.text.starts_with("expected a c"), "{broken}: {error}");
    }
}

#[test]
fn local_descriptor_octets_preserved() {
    let text = "!/1 a T=1{C=1{MF=t{M{ST=1{L{v=0\r\nc=IN IP4 $ {x\\}\r\n}}}}}}";
    let message = parse(text).unwrap();
    let Transaction::Request { actions, .. } = &transactions(&message)[0] else { panic!() };
    let stream = actions[0].commands[0].descriptors[0].find("Stream", "ST").unwrap();
    assert_eq!(stream.find("Local", "L").unwrap().octets.as_deref(), Some("v=0\r\nc=IN IP4 $ {x}\r\n"));
    assert_eq!(parse(&message.write(Style::Compact)).unwrap(), message);
}

#[test]
fn bracketed_address_is_message_id_not_list() {
    // Guards against a round-trip failure found by fuzzing: a nested list of one name was parsed as a message
    // identifier.
    for text in ["x=[a,[ cCd]]", "x=[ 1.2.3.4 ]", "x=[1.2.3.4]:9", "x=[[1.2.3.4],[::1]]", "x=[a.b]"] {
        let message = parse(&format!("!/1 a T=1{{C=1{{A=t{{{text}}}}}}}")).unwrap();
        assert_eq!(parse(&message.write(Style::Compact)).as_ref(), Ok(&message), "{text}");
    }
}

#[test]
fn depth_and_size_limited() {
    for open in ["{", "[", "T=1{C=1{A=t{", "A{", "x=[["] {
        let text = format!("!/1 a T=1{}", open.repeat(TEXT_MAX / open.len() - 20));
        assert!(parse(&text).is_err());
    }
    assert_eq!(parse(&" ".repeat(TEXT_MAX + 1)).unwrap_err().code, code::PDU_TOO_LARGE);
    let deep = format!("!/1 a T=1{{C=1{{A=t{}{}}}}}", "{x".repeat(40), "}".repeat(40));
    assert!(parse(&deep).unwrap_err().text.contains("nested too deep"));
}

#[test]
fn tpkt_framing_and_invalid_headers() {
    let packet = frame(b"!/1 a K{1}").unwrap();
    for cut in 0..packet.len() {
        assert_eq!(unframe(&packet[..cut]), Ok(None), "{cut}");
    }
    assert_eq!(unframe(&packet), Ok(Some((&b"!/1 a K{1}"[..], packet.len()))));
    assert_eq!(unframe(&[3, 0, 0, 3]), Err(TpktError::Length(3)));
    assert_eq!(unframe(b"GET "), Err(TpktError::Version(b'G')));
    assert_eq!(frame(&[0; 70_000]), Err(TpktError::TooLong(70_000)));
}

fn name() -> impl Strategy<Value = String> {
    "[a-z][a-z0-9/]{0,8}".prop_filter("Local and Remote hold octets", |n| {
        n != "l" && n != "r" && n != "local" && n != "remote"
    })
}

fn item() -> impl Strategy<Value = Item> {
    let leaf = (name(), proptest::option::of("[ -!#-~]{0,12}")).prop_map(|(name, value)| {
        let item = Item::new(name);
        match value {
            Some(value) => item.with(value),
            None => item,
        }
    });
    leaf.prop_recursive(3, 20, 4, |inner| {
        (name(), proptest::collection::vec(inner, 0..4))
            .prop_map(|(name, group)| Item::new(name).with_group(group))
    })
}

fn descriptors() -> impl Strategy<Value = Vec<Item>> {
    proptest::collection::vec(item(), 0..4).prop_map(|mut items| {
        // A descriptor may occur only once in a command, so each gets a unique name.
        for (index, item) in items.iter_mut().enumerate() {
            item.name = format!("d{index}{}", item.name);
        }
        items
    })
}

fn kind() -> impl Strategy<Value = CommandKind> {
    proptest::sample::select(CommandKind::ALL.map(|(kind, ..)| kind).to_vec())
}

fn context() -> impl Strategy<Value = Context> {
    prop_oneof![
        Just(Context::Null),
        Just(Context::Choose),
        Just(Context::All),
        (1u32..1 << 30).prop_map(Context::Id)
    ]
}

fn transaction() -> impl Strategy<Value = Transaction> {
    let command = (kind(), any::<[bool; 2]>(), "[a-z]{1,6}/[$*0-9]", descriptors()).prop_map(
        |(kind, [optional, wildcard], termination, descriptors)| Command {
            kind,
            optional,
            wildcard,
            termination,
            descriptors,
        },
    );
    let action = (context(), proptest::collection::vec(command, 1..3))
        .prop_map(|(context, commands)| Action { context, commands });
    let error = (100u16..600, "[ -!#-~]{0,20}").prop_map(|(code, text)| ErrorDescriptor { code, text });
    let reply = (kind(), "[a-z]{1,6}", descriptors())
        .prop_map(|(kind, termination, descriptors)| CommandReply { kind, termination, descriptors });
    let actions = (context(), proptest::collection::vec(reply, 1..3), proptest::option::of(error.clone()))
        .prop_map(|(context, replies, error)| ActionReply { context, replies, error });
    let body = prop_oneof![
        error.prop_map(ReplyBody::Error),
        proptest::collection::vec(actions, 1..3).prop_map(ReplyBody::Actions)
    ];
    prop_oneof![
        (1u32.., proptest::collection::vec(action, 1..3))
            .prop_map(|(id, actions)| Transaction::Request { id, actions }),
        (1u32.., any::<bool>(), body).prop_map(|(id, immediate_ack, body)| Transaction::Reply {
            id,
            immediate_ack,
            body
        }),
        (1u32..).prop_map(Transaction::Pending),
        proptest::collection::vec((0u32..1 << 31, 0u32..1 << 30), 1..4).prop_map(|all| Transaction::Ack(
            all.into_iter().map(|(first, extra)| (first, first + extra)).collect()
        )),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(4), failure_persistence: None, ..Default::default() })]

    #[test]
    fn write_parse_round_trip(all in proptest::collection::vec(transaction(), 1..4)) {
        let message = Message { version: 1, mid: "<gw.test>:2944".into(), body: Body::Transactions(all) };
        for style in [Style::Compact, Style::Pretty] {
            let text = message.write(style);
            prop_assert_eq!(&parse(&text).map_err(|e| format!("{e}\n{text}")).unwrap(), &message);
        }
    }

    #[test]
    fn arbitrary_text_never_panics(noise in "[ -~\n]{0,200}", tokens in proptest::collection::vec(proptest::sample::select(
        vec!["!/1 a ", "T=1", "{", "}", "C=$", "A=t", ",", "\"", "[", "]", ";", "\n", "=", "L", "ER=4", "K", "1-2"]), 0..60)) {
        for text in [noise.clone(), format!("!/1 a {noise}"), tokens.concat(), format!("!/1 a T=1{{{}", tokens.concat())] {
            if let Ok(message) = parse(&text) {
                prop_assert_eq!(&parse(&message.write(Style::Compact)).unwrap(), &message);
            }
        }
    }
}
