//! H.248 text commands in virtual time: calls, retransmissions, crossing messages, and clients that register
//! and leave.

use std::collections::BTreeMap;

use baydrift_call::{AttemptId, LinkId};
use baydrift_desk::{ProcessIdentity, RequestKind, SessionInput, SessionLayer, SessionOutput};
use baydrift_diameter::credit::{self, Endpoints};
use baydrift_diameter::{dict, result, Message};
use baydrift_h248::{parse, Body, ReplyBody, Transaction};

const A: LinkId = LinkId(1 << 32);
const B: LinkId = LinkId(2 << 32);
const MS: u64 = 1_000;

struct Harness {
    session_layer: SessionLayer,
    now: u64,
    /// Set-ups and releases that servers have not answered.
    pending: Vec<(u64, AttemptId, RequestKind, Message)>,
    set_ups: usize,
    /// Messages to clients, by link.
    received: BTreeMap<LinkId, Vec<String>>,
}

impl Harness {
    /// Starts with the start-up period of the process over: see `call_right_after_start_is_refused`.
    fn new() -> Self {
        Self::at(1_000 * MS)
    }

    fn at(now: u64) -> Self {
        let text = r#"
front "f.test" realm="test" { listen "127.0.0.1:0"; serves "core.test"; }
class "grid" { context "grid@test"; gives-up "3s"; }
publisher "gulf" { realm "gulf.test"; }
text udp="127.0.0.1:0"
text-client "<a.test>" realm="gulf.test"
text-client "<b.test>" realm="gulf.test"
server "s0.test" realm="core.test" number=0 addr="127.0.0.1:1"
server "s1.test" realm="core.test" number=1 addr="127.0.0.1:2"
"#;
        let config = baydrift_config::parse("test", text).unwrap_or_else(|e| panic!("{:?}", e.problems));
        let session_layer =
            SessionLayer::new(&config, ProcessIdentity::numbered(9), 1).expect("good settings");
        let mut harness =
            Self { session_layer, now, pending: Vec::new(), set_ups: 0, received: BTreeMap::new() };
        for server in [0, 1] {
            harness.handle(SessionInput::ServerUp { server, state_id: Some(1) });
        }
        harness
    }

    fn handle(&mut self, input: SessionInput) {
        self.now += MS;
        let mut out = Vec::new();
        self.session_layer.handle(self.now, input, &mut out);
        self.session_layer.handle(self.now, SessionInput::Tick, &mut out);
        for output in out {
            match output {
                SessionOutput::ToServer { server, attempt, kind, message, .. } => {
                    self.set_ups += usize::from(kind == RequestKind::SetUp);
                    self.pending.push((server, attempt, kind, message));
                }
                SessionOutput::Text { link, text } => {
                    self.received.entry(link).or_default().push(text.to_string())
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, link: LinkId, mid: &str, text: &str) -> Vec<String> {
        self.handle(SessionInput::Text {
            link,
            reliable: false,
            bytes: format!("!/1 <{mid}> {text}").into_bytes(),
        });
        self.received.remove(&link).unwrap_or_default()
    }

    fn a(&mut self, text: &str) -> Vec<String> {
        self.send(A, "a.test", text)
    }

    /// Advances the time in small steps.
    fn advance(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.now += 20 * MS;
            self.handle(SessionInput::Tick);
        }
    }

    /// Servers answer all pending requests.
    fn answer(&mut self, code: u32) -> Vec<String> {
        for (server, attempt, kind, message) in std::mem::take(&mut self.pending) {
            let message = credit::answer(&message, code, "s", "core.test");
            self.handle(SessionInput::ServerAnswer { server, attempt, kind, message });
        }
        self.received.remove(&A).unwrap_or_default()
    }

    fn registered() -> Self {
        let mut harness = Self::new();
        let received = harness.a("T=1{C=-{SC=ROOT{SV{MT=RS}}}}");
        assert_eq!(received, ["!/1 <f.test> P=1{C=-{SC=ROOT}}"]);
        harness
    }
}

/// Guards against a duplicate set-up after a restart: a datagram may be a retransmission of a request to the
/// previous, killed process, whose set-up may still be at a server.
#[test]
fn call_right_after_start_is_refused() {
    let mut harness = Harness::at(0);
    harness.a("T=1{C=-{SC=ROOT{SV{MT=RS}}}}");
    assert_eq!((errors(&harness.a(&add(2)).concat()), harness.set_ups), (vec![510], 0));
    harness.advance(300 * MS);
    harness.a(&add(3));
    assert_eq!(harness.set_ups, 1);
}

fn add(id: u32) -> String {
    format!("T={id}{{C=${{A=trunk/${{M{{O{{bdc/ctx=\"grid@test\",bdc/num=555,bdc/srv=s1.test}}}}}}}}}}")
}

/// Error codes in a message, in order.
fn errors(text: &str) -> Vec<u16> {
    let Body::Transactions(all) = parse(text).unwrap_or_else(|e| panic!("{e}: {text}")).body else {
        return vec![];
    };
    let mut codes = Vec::new();
    for transaction in all {
        match transaction {
            Transaction::Reply { body: ReplyBody::Error(error), .. } => codes.push(error.code),
            Transaction::Reply { body: ReplyBody::Actions(actions), .. } => {
                let items = actions.iter().flat_map(|a| &a.replies).flat_map(|r| &r.descriptors);
                let errors = items.filter(|item| item.is("Error", "ER"));
                codes.extend(errors.filter_map(|item| item.text()?.parse::<u16>().ok()));
            }
            _ => {}
        }
    }
    codes
}

#[test]
fn call_is_set_up_audited_and_subtracted() {
    let mut harness = Harness::registered();
    assert!(harness.a(&add(2)).is_empty(), "the reply waits for the final answer");
    let (server, _, _, message) = &harness.pending[0];
    assert_eq!((*server, message.text(dict::CALLED_STATION_ID)), (1, Some("555")));
    assert_eq!(message.text(dict::CC_CORRELATION_ID), Some("<a.test>|<a.test>;9-9;1"));
    assert_eq!(harness.answer(result::SUCCESS), ["!/1 <f.test> P=2{IA,C=1{A=trunk/1}}"]);
    harness.a("K{2}");
    harness.advance(100 * MS);
    let received = harness.a("T=3{C=1{AV=trunk/1{AT{SA}}}}");
    assert!(received[0].starts_with("!/1 <f.test> P=3{C=1{AV=trunk/1{SA{bdc/dur="), "{received:?}");
    let received = harness.a("T=4{C=1{S=trunk/1}}");
    assert!(received[0].starts_with("!/1 <f.test> P=4{C=1{S=trunk/1{SA{bdc/dur="), "{received:?}");
    harness.answer(result::SUCCESS);
    assert_eq!(harness.session_layer.held().calls, 0);
    assert_eq!(errors(&harness.a("T=5{C=1{S=trunk/1}}")[0]), [411]);
}

#[test]
fn retransmitted_request_gets_the_same_answer() {
    let mut harness = Harness::registered();
    harness.a(&add(2));
    // During the attempt: pending. After the answer: the same answer. After its acknowledgement: nothing.
    assert_eq!(harness.a(&add(2)), ["!/1 <f.test> PN=2{}"]);
    let reply = harness.answer(result::SUCCESS);
    assert_eq!(harness.a(&add(2)), reply);
    assert!(harness.a("K{1-4294967295}").is_empty());
    assert!(harness.a(&add(2)).is_empty());
    assert_eq!((harness.set_ups, harness.session_layer.held().calls), (1, 1));
}

#[test]
fn slow_transaction_is_pending_and_requests_ack() {
    let mut harness = Harness::registered();
    harness.a(&add(2));
    harness.advance(700 * MS);
    let received = harness.received.remove(&A).unwrap();
    assert!(received.len() >= 2 && received.iter().all(|s| s == "!/1 <f.test> PN=2{}"), "{received:?}");
    assert_eq!(harness.answer(result::SUCCESS), ["!/1 <f.test> P=2{IA,C=1{A=trunk/1}}"]);
}

#[test]
fn caller_timeout_gives_one_answer_and_late_one_is_ignored() {
    let mut harness = Harness::registered();
    harness.a(&add(2));
    harness.pending.truncate(1);
    let late = harness.pending.clone();
    // No server answers.
    harness.advance(3_200 * MS);
    let mut replies: Vec<_> =
        harness.received.remove(&A).unwrap().into_iter().filter(|s| s.contains("P=2")).collect();
    // The answer is retransmitted until it is acknowledged, but it is always the same.
    replies.dedup();
    assert_eq!(replies.len(), 1);
    assert!(matches!(errors(&replies[0])[..], [500 | 510]), "{replies:?}");
    harness.pending = late;
    assert!(harness.answer(result::SUCCESS).is_empty());
    assert_eq!(errors(&harness.a("T=9{C=1{S=trunk/1}}")[0]), [411]);
}

#[test]
fn input_delay_shortens_caller_timeout() {
    let mut harness = Harness::registered();
    // Read after a stall of 2 s, which leaves 1 s of the caller timeout of 3 s.
    harness.session_layer.set_input_delay(2_000 * MS);
    harness.a(&add(2));
    harness.session_layer.set_input_delay(0);
    let before = harness.now;
    while harness.received.get(&A).is_none_or(|received| received.iter().all(|text| !text.contains("P=2"))) {
        harness.advance(20 * MS);
        assert!(harness.now - before < 1_000 * MS, "answered within the caller timeout");
    }
}

#[test]
fn subtract_crosses_the_answer() {
    let mut harness = Harness::registered();
    harness.a(&add(2));
    let received = harness.a("T=3{C=1{S=trunk/1}}");
    // The set-up is answered once, as failed, and the Subtract succeeds.
    let codes: Vec<_> = received.iter().map(|text| errors(text)).collect();
    assert_eq!(codes, [vec![500], vec![]], "{received:?}");
    let late = harness.answer(result::SUCCESS);
    assert!(late.is_empty(), "{late:?}");
    assert_eq!(harness.session_layer.held().calls, 0);
}

#[test]
fn failed_command_ends_transaction_unless_optional() {
    let mut harness = Harness::registered();
    let one = "C=${A=trunk/${M{O{bdc/ctx=\"grid@test\"}}}}";
    let mut received = harness.a(&format!("T=2{{{one},{one},{one},{one},{one}}}"));
    for code in [result::SUCCESS, result::SUCCESS] {
        received.extend(harness.answer(code));
    }
    assert!(received.is_empty());
    // All servers refuse the third call.
    for _ in 0..5 {
        received.extend(harness.answer(result::TOO_BUSY));
    }
    assert_eq!(received.len(), 1, "{received:?}");
    let Body::Transactions(all) = parse(&received[0]).unwrap().body else { panic!() };
    let Transaction::Reply { body: ReplyBody::Actions(actions), .. } = &all[0] else { panic!() };
    // Two calls are established, the third has the error, and the rest is not executed.
    assert_eq!(actions.len(), 3);
    assert_eq!(errors(&received[0]), [510]);
    assert_eq!(harness.session_layer.held().calls, 2);
    // After a failed optional command (O-), the rest is executed.
    let optional = one.replace("A=", "O-A=");
    let bad = optional.replace("grid@test", "none");
    let received = harness.a(&format!("T=3{{{bad},{optional}}}"));
    assert!(received.is_empty());
    let received = harness.answer(result::SUCCESS);
    assert_eq!(errors(&received[0]), [449]);
    assert_eq!(harness.session_layer.held().calls, 3);
}

#[test]
fn unauthorized_messages_get_402_and_have_no_effect() {
    let mut harness = Harness::new();
    assert_eq!(errors(&harness.send(B, "stranger.test", &add(1))[0]), [402]);
    // Before ServiceChange: 505.
    assert_eq!(errors(&harness.a(&add(1))[0]), [505]);
    harness.a("T=2{C=-{SC=ROOT{SV{MT=RS}}}}");
    harness.a(&add(3));
    harness.answer(result::SUCCESS);
    // A second address with the same MId, and one address with a second MId.
    assert_eq!(errors(&harness.send(B, "a.test", "T=4{C=1{S=trunk/1}}")[0]), [402]);
    assert_eq!(errors(&harness.send(A, "b.test", "T=5{C=1{S=trunk/1}}")[0]), [402]);
    // Transaction ids and contexts of two clients are independent.
    harness.send(B, "b.test", "T=3{C=-{SC=ROOT{SV{MT=RS}}}}");
    assert_eq!(errors(&harness.send(B, "b.test", "T=4{C=1{S=trunk/1}}")[0]), [411]);
    assert_eq!(harness.session_layer.held().calls, 1);
}

#[test]
fn client_restart_releases_calls_and_resets_ids() {
    let mut harness = Harness::registered();
    for id in 2..1_002 {
        harness.a(&add(id));
        harness.answer(result::SUCCESS);
        harness.advance(20 * MS);
        harness.answer(result::SUCCESS);
    }
    let held = harness.session_layer.held().calls;
    assert!(held > 900, "{held}");
    harness.pending.clear();
    // Transaction ids start over as well: an id that was answered seconds ago now stands for another call.
    harness.a("T=1{C=-{SC=ROOT{SV{MT=RS}}}}");
    assert_eq!(
        harness.session_layer.held().calls,
        held,
        "a retransmitted ServiceChange is answered from the cache"
    );
    harness.a("T=5000{C=-{SC=ROOT{SV{MT=RS}}}}");
    assert_eq!(harness.session_layer.held().calls, 0);
    let before = harness.set_ups;
    harness.a(&add(1_001));
    assert_eq!(harness.set_ups, before + 1);
}

#[test]
fn cut_is_notified_until_acknowledged() {
    let mut harness = Harness::registered();
    harness.a(&add(2));
    let attempt = harness.pending[0].1;
    harness.answer(result::SUCCESS);
    harness.a("K{2}");
    let ends = Endpoints {
        origin_host: "s1.test",
        origin_realm: "core.test",
        destination_realm: "test",
        destination_host: None,
    };
    let message = credit::abort(ends, &format!("f.test;9-9;{}", attempt.0));
    harness.handle(SessionInput::ServerRequest { server: 1, message });
    let received = harness.received.remove(&A).unwrap();
    let Body::Transactions(all) = parse(&received[0]).unwrap().body else { panic!() };
    let Transaction::Request { id, actions } = &all[0] else { panic!() };
    assert_eq!(actions[0].commands[0].descriptors[0].items()[0].name, "bdc/cut");
    harness.advance(400 * MS);
    assert!(harness.received.remove(&A).unwrap().iter().all(|again| *again == received[0]));
    harness.a(&format!("P={id}{{IA,C=1{{N=trunk/1}}}}"));
    harness.received.clear();
    harness.advance(2_000 * MS);
    assert!(harness.received.is_empty(), "{:?}", harness.received);
}

#[test]
fn refusal_notifies_overload_to_subscriber() {
    let mut harness = Harness::registered();
    assert_eq!(errors(&harness.a("T=2{C=-{MF=ROOT{E=9{x/y}}}}")[0]), [512]);
    assert_eq!(harness.a("T=3{C=-{MF=ROOT{E=9{ocp/mg_overload}}}}"), ["!/1 <f.test> P=3{C=-{MF=ROOT}}"]);
    harness.a(&add(4));
    let mut received = Vec::new();
    for _ in 0..5 {
        received.extend(harness.answer(result::TOO_BUSY));
    }
    assert!(received.iter().any(|text| text.contains("N=ROOT{OE=9{ocp/mg_overload}}")), "{received:?}");
}

#[test]
fn invalid_commands_get_error_codes() {
    let mut harness = Harness::registered();
    harness.a(&add(2));
    harness.answer(result::SUCCESS);
    let cases = [
        ("C=1{MV=trunk/1}", 501),
        ("C=1{S=trunk/9}", 435),
        ("C=7{S=trunk/7}", 411),
        ("C=1{A=trunk/${M{O{bdc/ctx=\"grid@test\"}}}}", 510),
        ("C=-{A=trunk/$}", 411),
        ("C=${A=trunk/${M{O{bdc/ctx=\"none\"}}}}", 449),
        ("C=1{MF=trunk/1{M{O{MO=SR}}}}", 444),
        ("C=-{SC=ROOT{SV{MT=Dance}}}", 449),
        ("C=-{SC=trunk/1{SV{MT=FO}}}", 501),
        ("C=1{N=trunk/1{OE=1{x}}}", 443),
    ];
    for (place, (text, code)) in cases.iter().enumerate() {
        let received = harness.a(&format!("T={}{{{text}}}", 100 + place));
        assert_eq!(errors(&received[0]), [*code], "{text}");
    }
    // Malformed text: an error reply to its transaction, or else to the sender.
    assert_eq!(errors(&harness.a("T=200{C=1{Sing=a}}")[0]), [443]);
    assert!(harness.a("T=201{{{{")[0].starts_with("!/1 <f.test> ER=400{"));
    assert_eq!(harness.session_layer.held().calls, 1);
}

#[test]
fn leaving_client_gets_no_new_calls_and_lost_one_is_released() {
    let mut harness = Harness::registered();
    harness.a(&add(2));
    harness.answer(result::SUCCESS);
    harness.a("T=3{C=-{SC=ROOT{SV{MT=GR,DL=5}}}}");
    assert_eq!(errors(&harness.a(&add(4))[0]), [510]);
    assert_eq!(harness.session_layer.held().calls, 1);
    // After the graceful period its calls are released, and it must register again.
    harness.advance(5_100 * MS);
    assert_eq!(harness.session_layer.held().calls, 0);
    harness.answer(result::SUCCESS);
    assert_eq!(errors(&harness.a(&add(5))[0]), [505]);
    harness.a("T=6{C=-{SC=ROOT{SV{MT=DC}}}}");
    harness.a(&add(7));
    harness.answer(result::SUCCESS);
    assert_eq!(harness.session_layer.held().calls, 1);
    harness.handle(SessionInput::TextClosed(A));
    harness.advance(31_000 * MS);
    harness.answer(result::SUCCESS);
    assert_eq!((harness.session_layer.held().calls, harness.session_layer.held().orphans), (0, 0));
}
