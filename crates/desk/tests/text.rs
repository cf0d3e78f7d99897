//! H.248 text commands on the same engine: calls, repeats, crossings and clients that come and go, in virtual time.

use std::collections::BTreeMap;

use baydrift_call::{AttemptId, LinkId};
use baydrift_desk::{ProcessIdentity, RequestKind, SessionInput, SessionLayer, SessionOutput};
use baydrift_diameter::credit::{self, Endpoints};
use baydrift_diameter::{dict, result, Message};
use baydrift_h248::{parse, Body, ReplyBody, Transaction};

const A: LinkId = LinkId(1 << 32);
const B: LinkId = LinkId(2 << 32);
const MS: u64 = 1_000;

struct World {
    desk: SessionLayer,
    now: u64,
    /// Set-ups and releases at servers, not yet answered.
    asked: Vec<(u64, AttemptId, RequestKind, Message)>,
    set_ups: usize,
    /// What was said to clients, by link.
    said: BTreeMap<LinkId, Vec<String>>,
}

impl World {
    /// Long after the start of the process: see `a_call_right_after_the_start_is_refused`.
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
        let desk = SessionLayer::new(&config, ProcessIdentity::numbered(9), 1).expect("good settings");
        let mut w = Self { desk, now, asked: Vec::new(), set_ups: 0, said: BTreeMap::new() };
        for server in [0, 1] {
            w.hear(SessionInput::ServerUp { server, state_id: Some(1) });
        }
        w
    }

    fn hear(&mut self, input: SessionInput) {
        self.now += MS;
        let mut out = Vec::new();
        self.desk.handle(self.now, input, &mut out);
        self.desk.handle(self.now, SessionInput::Tick, &mut out);
        for output in out {
            match output {
                SessionOutput::ToServer { server, attempt, kind, message, .. } => {
                    self.set_ups += usize::from(kind == RequestKind::SetUp);
                    self.asked.push((server, attempt, kind, message));
                }
                SessionOutput::Text { link, text } => {
                    self.said.entry(link).or_default().push(text.to_string())
                }
                _ => {}
            }
        }
    }

    fn say(&mut self, link: LinkId, mid: &str, text: &str) -> Vec<String> {
        self.hear(SessionInput::Text {
            link,
            reliable: false,
            bytes: format!("!/1 <{mid}> {text}").into_bytes(),
        });
        self.said.remove(&link).unwrap_or_default()
    }

    fn a(&mut self, text: &str) -> Vec<String> {
        self.say(A, "a.test", text)
    }

    /// Lets time pass in small steps.
    fn pass(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.now += 20 * MS;
            self.hear(SessionInput::Tick);
        }
    }

    /// Servers answer all that was asked of them.
    fn answer(&mut self, code: u32) -> Vec<String> {
        for (server, attempt, kind, message) in std::mem::take(&mut self.asked) {
            let message = credit::answer(&message, code, "s", "core.test");
            self.hear(SessionInput::ServerAnswer { server, attempt, kind, message });
        }
        self.said.remove(&A).unwrap_or_default()
    }

    fn registered() -> Self {
        let mut w = Self::new();
        let said = w.a("T=1{C=-{SC=ROOT{SV{MT=RS}}}}");
        assert_eq!(said, ["!/1 <f.test> P=1{C=-{SC=ROOT}}"]);
        w
    }
}

/// Guards against a call by datagram that was said to the process before this one, which was killed, too: it may be
/// out at a server still.
#[test]
fn a_call_right_after_the_start_is_refused() {
    let mut w = World::at(0);
    w.a("T=1{C=-{SC=ROOT{SV{MT=RS}}}}");
    assert_eq!((errors(&w.a(&add(2)).concat()), w.set_ups), (vec![510], 0));
    w.pass(300 * MS);
    w.a(&add(3));
    assert_eq!(w.set_ups, 1);
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
fn a_call_is_set_up_audited_and_subtracted() {
    let mut w = World::registered();
    assert!(w.a(&add(2)).is_empty(), "the reply is the final answer");
    let (server, _, _, message) = &w.asked[0];
    assert_eq!((*server, message.text(dict::CALLED_STATION_ID)), (1, Some("555")));
    assert_eq!(message.text(dict::CC_CORRELATION_ID), Some("<a.test>|<a.test>;9-9;1"));
    assert_eq!(w.answer(result::SUCCESS), ["!/1 <f.test> P=2{IA,C=1{A=trunk/1}}"]);
    w.a("K{2}");
    w.pass(100 * MS);
    let said = w.a("T=3{C=1{AV=trunk/1{AT{SA}}}}");
    assert!(said[0].starts_with("!/1 <f.test> P=3{C=1{AV=trunk/1{SA{bdc/dur="), "{said:?}");
    let said = w.a("T=4{C=1{S=trunk/1}}");
    assert!(said[0].starts_with("!/1 <f.test> P=4{C=1{S=trunk/1{SA{bdc/dur="), "{said:?}");
    w.answer(result::SUCCESS);
    assert_eq!(w.desk.held().calls, 0);
    assert_eq!(errors(&w.a("T=5{C=1{S=trunk/1}}")[0]), [411]);
}

#[test]
fn a_lost_reply_never_makes_a_second_attempt_or_another_answer() {
    let mut w = World::registered();
    w.a(&add(2));
    // While the attempt is out: pending. After the answer: the same. After its acknowledgement: nothing.
    assert_eq!(w.a(&add(2)), ["!/1 <f.test> PN=2{}"]);
    let reply = w.answer(result::SUCCESS);
    assert_eq!(w.a(&add(2)), reply);
    assert!(w.a("K{1-4294967295}").is_empty());
    assert!(w.a(&add(2)).is_empty());
    assert_eq!((w.set_ups, w.desk.held().calls), (1, 1));
}

#[test]
fn what_takes_long_is_pending_and_wants_its_acknowledgement() {
    let mut w = World::registered();
    w.a(&add(2));
    w.pass(700 * MS);
    let said = w.said.remove(&A).unwrap();
    assert!(said.len() >= 2 && said.iter().all(|s| s == "!/1 <f.test> PN=2{}"), "{said:?}");
    assert_eq!(w.answer(result::SUCCESS), ["!/1 <f.test> P=2{IA,C=1{A=trunk/1}}"]);
}

#[test]
fn patience_ends_with_one_answer_and_a_late_one_changes_nothing() {
    let mut w = World::registered();
    w.a(&add(2));
    w.asked.truncate(1);
    let late = w.asked.clone();
    // Nobody answers, wherever it is set up.
    w.pass(3_200 * MS);
    let mut replies: Vec<_> = w.said.remove(&A).unwrap().into_iter().filter(|s| s.contains("P=2")).collect();
    // Said again until it is acknowledged, but one answer.
    replies.dedup();
    assert_eq!(replies.len(), 1);
    assert!(matches!(errors(&replies[0])[..], [500 | 510]), "{replies:?}");
    w.asked = late;
    assert!(w.answer(result::SUCCESS).is_empty());
    assert_eq!(errors(&w.a("T=9{C=1{S=trunk/1}}")[0]), [411]);
}

#[test]
fn what_waited_while_the_front_stood_still_is_answered_by_its_callers_clock() {
    let mut w = World::registered();
    // Read after a stall of 2 s: a second of patience is left at worst.
    w.desk.set_input_delay(2_000 * MS);
    w.a(&add(2));
    w.desk.set_input_delay(0);
    let before = w.now;
    while w.said.get(&A).is_none_or(|said| said.iter().all(|text| !text.contains("P=2"))) {
        w.pass(20 * MS);
        assert!(w.now - before < 1_000 * MS, "answered by its caller's clock");
    }
}

#[test]
fn a_subtract_crosses_the_answer() {
    let mut w = World::registered();
    w.a(&add(2));
    let said = w.a("T=3{C=1{S=trunk/1}}");
    // The set-up is answered once, as failed, and the subtraction is done.
    let codes: Vec<_> = said.iter().map(|text| errors(text)).collect();
    assert_eq!(codes, [vec![500], vec![]], "{said:?}");
    let late = w.answer(result::SUCCESS);
    assert!(late.is_empty(), "{late:?}");
    assert_eq!(w.desk.held().calls, 0);
}

#[test]
fn of_five_calls_in_a_transaction_the_third_is_refused() {
    let mut w = World::registered();
    let one = "C=${A=trunk/${M{O{bdc/ctx=\"grid@test\"}}}}";
    let mut said = w.a(&format!("T=2{{{one},{one},{one},{one},{one}}}"));
    for code in [result::SUCCESS, result::SUCCESS] {
        said.extend(w.answer(code));
    }
    assert!(said.is_empty());
    // The third: no server takes it.
    for _ in 0..5 {
        said.extend(w.answer(result::TOO_BUSY));
    }
    assert_eq!(said.len(), 1, "{said:?}");
    let Body::Transactions(all) = parse(&said[0]).unwrap().body else { panic!() };
    let Transaction::Reply { body: ReplyBody::Actions(actions), .. } = &all[0] else { panic!() };
    // Two stand and are named, the third tells why, the rest was not run.
    assert_eq!(actions.len(), 3);
    assert_eq!(errors(&said[0]), [510]);
    assert_eq!(w.desk.held().calls, 2);
    // With O- in front the rest is run all the same.
    let optional = one.replace("A=", "O-A=");
    let bad = optional.replace("grid@test", "none");
    let said = w.a(&format!("T=3{{{bad},{optional}}}"));
    assert!(said.is_empty());
    let said = w.answer(result::SUCCESS);
    assert_eq!(errors(&said[0]), [449]);
    assert_eq!(w.desk.held().calls, 3);
}

#[test]
fn those_who_do_not_belong_hear_402_and_touch_nothing() {
    let mut w = World::new();
    assert_eq!(errors(&w.say(B, "stranger.test", &add(1))[0]), [402]);
    // Before ServiceChange: 505.
    assert_eq!(errors(&w.a(&add(1))[0]), [505]);
    w.a("T=2{C=-{SC=ROOT{SV{MT=RS}}}}");
    w.a(&add(3));
    w.answer(result::SUCCESS);
    // Another address claims the same MId, and one address two MIds.
    assert_eq!(errors(&w.say(B, "a.test", "T=4{C=1{S=trunk/1}}")[0]), [402]);
    assert_eq!(errors(&w.say(A, "b.test", "T=5{C=1{S=trunk/1}}")[0]), [402]);
    // The same ids of two clients are two transactions, and contexts are each client's own.
    w.say(B, "b.test", "T=3{C=-{SC=ROOT{SV{MT=RS}}}}");
    assert_eq!(errors(&w.say(B, "b.test", "T=4{C=1{S=trunk/1}}")[0]), [411]);
    assert_eq!(w.desk.held().calls, 1);
}

#[test]
fn a_restart_releases_a_thousand_calls_and_old_ids_are_new() {
    let mut w = World::registered();
    for id in 2..1_002 {
        w.a(&add(id));
        w.answer(result::SUCCESS);
        w.pass(20 * MS);
        w.answer(result::SUCCESS);
    }
    let held = w.desk.held().calls;
    assert!(held > 900, "{held}");
    w.asked.clear();
    // Its ids start anew as well: id 2 was answered seconds ago, and is another call now.
    w.a("T=1{C=-{SC=ROOT{SV{MT=RS}}}}");
    assert_eq!(w.desk.held().calls, held, "an old ServiceChange said again is answered from memory");
    w.a("T=5000{C=-{SC=ROOT{SV{MT=RS}}}}");
    assert_eq!(w.desk.held().calls, 0);
    let before = w.set_ups;
    w.a(&add(1_001));
    assert_eq!(w.set_ups, before + 1);
}

#[test]
fn a_cut_is_notified_until_it_is_acknowledged() {
    let mut w = World::registered();
    w.a(&add(2));
    let attempt = w.asked[0].1;
    w.answer(result::SUCCESS);
    w.a("K{2}");
    let ends = Endpoints {
        origin_host: "s1.test",
        origin_realm: "core.test",
        destination_realm: "test",
        destination_host: None,
    };
    let message = credit::abort(ends, &format!("f.test;9-9;{}", attempt.0));
    w.hear(SessionInput::ServerRequest { server: 1, message });
    let said = w.said.remove(&A).unwrap();
    let Body::Transactions(all) = parse(&said[0]).unwrap().body else { panic!() };
    let Transaction::Request { id, actions } = &all[0] else { panic!() };
    assert_eq!(actions[0].commands[0].descriptors[0].items()[0].name, "bdc/cut");
    w.pass(400 * MS);
    assert!(w.said.remove(&A).unwrap().iter().all(|again| *again == said[0]));
    w.a(&format!("P={id}{{IA,C=1{{N=trunk/1}}}}"));
    w.said.clear();
    w.pass(2_000 * MS);
    assert!(w.said.is_empty(), "{:?}", w.said);
}

#[test]
fn a_refusal_tells_of_overload_where_it_was_asked_for() {
    let mut w = World::registered();
    assert_eq!(errors(&w.a("T=2{C=-{MF=ROOT{E=9{x/y}}}}")[0]), [512]);
    assert_eq!(w.a("T=3{C=-{MF=ROOT{E=9{ocp/mg_overload}}}}"), ["!/1 <f.test> P=3{C=-{MF=ROOT}}"]);
    w.a(&add(4));
    let mut said = Vec::new();
    for _ in 0..5 {
        said.extend(w.answer(result::TOO_BUSY));
    }
    assert!(said.iter().any(|text| text.contains("N=ROOT{OE=9{ocp/mg_overload}}")), "{said:?}");
}

#[test]
fn commands_that_make_no_sense_get_their_code() {
    let mut w = World::registered();
    w.a(&add(2));
    w.answer(result::SUCCESS);
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
        let said = w.a(&format!("T={}{{{text}}}", 100 + place));
        assert_eq!(errors(&said[0]), [*code], "{text}");
    }
    // A text that is none: its transaction hears of it, else its sender.
    assert_eq!(errors(&w.a("T=200{C=1{Sing=a}}")[0]), [443]);
    assert!(w.a("T=201{{{{")[0].starts_with("!/1 <f.test> ER=400{"));
    assert_eq!(w.desk.held().calls, 1);
}

#[test]
fn a_client_that_leaves_takes_nothing_new_and_one_that_is_lost_leaves_nothing() {
    let mut w = World::registered();
    w.a(&add(2));
    w.answer(result::SUCCESS);
    w.a("T=3{C=-{SC=ROOT{SV{MT=GR,DL=5}}}}");
    assert_eq!(errors(&w.a(&add(4))[0]), [510]);
    assert_eq!(w.desk.held().calls, 1);
    // Its grace is over: what it has is released, and it has to register anew.
    w.pass(5_100 * MS);
    assert_eq!(w.desk.held().calls, 0);
    w.answer(result::SUCCESS);
    assert_eq!(errors(&w.a(&add(5))[0]), [505]);
    w.a("T=6{C=-{SC=ROOT{SV{MT=DC}}}}");
    w.a(&add(7));
    w.answer(result::SUCCESS);
    assert_eq!(w.desk.held().calls, 1);
    w.hear(SessionInput::TextClosed(A));
    w.pass(31_000 * MS);
    w.answer(result::SUCCESS);
    assert_eq!((w.desk.held().calls, w.desk.held().orphans), (0, 0));
}
