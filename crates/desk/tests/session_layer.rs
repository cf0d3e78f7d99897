//! The session layer without sockets: classification of requests, admission of clients, and answers.

use baydrift::interface::{Note, Outcome, ServerState};
use baydrift_call::{AttemptId, Final, LinkId, Refusal};
use baydrift_config::Config;
use baydrift_desk::{
    attempt_end, local_capabilities, number_of, result_code, Admission, AdmittedClient, CallClassifier,
    LinkOutput, OutstandingRequests, PoolEntry, PoolError, PoolList, ProcessIdentity, RequestKind,
    SendDecision, ServerLink, SessionInput, SessionLayer, SessionOutput,
};
use baydrift_diameter::credit::{self, Ccr, Endpoints, RequestType};
use baydrift_diameter::{code, dict, load, result, Avp, Frame, Local, Message, PeerInput, Remote, Side};

fn config() -> Config {
    let text = r#"
front "f.test" realm="test" { listen "127.0.0.1:0"; serves "core.test"; }
class "grid" { context "grid@test"; gives-up "3s"; }
class "check" { context "check@test"; gives-up "2s"; }
publisher "gulf" { realm "gulf.test"; }
publisher "pecos" { subscription "pecos:"; }
client "c1.test" realm="test" connections=1
client "relay.test" realm="test" relay=#true
server "s0.test" realm="core.test" number=0 addr="127.0.0.1:1"
server "s1.test" realm="core.test" number=1 addr="127.0.0.1:2"
limits { connections 3; half-open 2; }
"#;
    baydrift_config::parse("test", text).unwrap_or_else(|e| panic!("{:?}", e.problems))
}

fn ccr(session: &str, kind: RequestType) -> Message {
    let ends = Endpoints {
        origin_host: "c1.test",
        origin_realm: "gulf.test",
        destination_realm: "core.test",
        destination_host: Some("s1.test"),
    };
    let mut message = credit::request(ends, session, "check@test", kind, 0);
    (message.header.hop_by_hop, message.header.end_to_end) = (3, 4);
    message
}

struct Harness {
    session_layer: SessionLayer,
    now: u64,
}

impl Harness {
    fn new() -> Self {
        let mut harness = Self {
            session_layer: SessionLayer::new(&config(), ProcessIdentity::numbered(9), 1)
                .expect("good settings"),
            now: 0,
        };
        for server in [0, 1] {
            harness.handle(SessionInput::ServerUp { server, state_id: Some(1) });
        }
        let remote = Remote { host: "c1.test".into(), realm: "test".into(), state_id: Some(1) };
        harness.handle(SessionInput::ClientUp {
            link: LinkId(1),
            client: AdmittedClient { remote, relay: false },
        });
        harness
    }

    fn handle(&mut self, input: SessionInput) -> Vec<SessionOutput> {
        self.now += 1_000;
        let mut out = Vec::new();
        self.session_layer.handle(self.now, input, &mut out);
        self.session_layer.handle(self.now, SessionInput::Tick, &mut out);
        out
    }

    fn request(&mut self, message: Message) -> Vec<SessionOutput> {
        self.handle(SessionInput::ClientRequest { link: LinkId(1), message })
    }

    fn set_up(&mut self, session: &str) -> (u64, AttemptId, Message) {
        match &self.request(ccr(session, RequestType::Initial))[..] {
            [SessionOutput::ToServer { server, attempt, kind: RequestKind::SetUp, message, .. }] => {
                (*server, *attempt, message.clone())
            }
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn requests_are_classified_by_configuration() {
    let classifier = CallClassifier::new(&config());
    let facts = |change: &dyn Fn(&mut Message)| {
        let mut message = ccr("c1.test;1", RequestType::Initial);
        change(&mut message);
        let read = Ccr::read(&message).expect("complete");
        classifier.classify(&message, &read).map_err(|fault| fault.code)
    };
    let plain = facts(&|_| {}).unwrap();
    assert_eq!(
        (plain.class, plain.tenant, plain.first_choice, plain.caller_timeout),
        (1, 0, Some(1), 2_000_000)
    );
    let subscribed = |data: &str| {
        Avp::group(dict::SUBSCRIPTION_ID, &[Avp::u32(dict::SUBSCRIPTION_ID_TYPE, 4), Avp::text(444, data)])
    };
    assert_eq!(facts(&|m| m.push(subscribed("pecos:7"))).unwrap().tenant, 1);
    assert_eq!(facts(&|m| m.push(subscribed("other:7"))).unwrap().tenant, 0);
    let set = |code: u32, text: &'static str| {
        move |m: &mut Message| {
            m.avps.retain(|avp| avp.code != code);
            m.push(Avp::text(code, text));
        }
    };
    assert_eq!(facts(&set(dict::ORIGIN_REALM, "nobody")).unwrap().tenant, 2);
    assert_eq!(facts(&set(dict::DESTINATION_HOST, "f.test")).unwrap().first_choice, None);
    assert_eq!(facts(&set(dict::DESTINATION_HOST, "s9.test")), Err(result::UNABLE_TO_DELIVER));
    assert_eq!(facts(&set(dict::DESTINATION_REALM, "x")), Err(result::REALM_NOT_SERVED));
    assert_eq!(facts(&set(dict::SERVICE_CONTEXT_ID, "x")), Err(result::INVALID_AVP_VALUE));
    assert_eq!((number_of(""), number_of("0"), number_of("5550100")), (0, 1, 5_550_100));
    assert!(number_of("sip:a") != number_of("sip:b") && number_of(&"9".repeat(40)) > 0);
}

#[test]
fn result_codes_map_to_outcomes() {
    let answer = |code| credit::answer(&ccr("s", RequestType::Initial), code, "s0.test", "core.test");
    assert_eq!(attempt_end(&answer(result::SUCCESS)), None);
    let cases = [
        (result::TOO_BUSY, Outcome::Full, Note::ProcessorFull(2_500_000)),
        (result::RESOURCES_EXCEEDED, Outcome::Full, Note::NoLine),
        (result::END_USER_SERVICE_DENIED, Outcome::Error, Note::NumberBusy),
        (result::UNABLE_TO_DELIVER, Outcome::Moot, Note::None),
        (result::UNABLE_TO_COMPLY, Outcome::Error, Note::None),
        (0, Outcome::Error, Note::None),
    ];
    for (code, outcome, note) in cases {
        let mut message = answer(code);
        let report = baydrift::interface::Report { wait_s: Some(2.5), ..Default::default() };
        load::write(&report, "s0.test", 1, &mut message);
        let end = attempt_end(&message).unwrap();
        assert_eq!((end.outcome, end.note, end.report.wait_s), (outcome, note, Some(2.5)), "{code}");
    }
    let refused = Final::Refused { retry_after: 0, why: Refusal::ByPolicy };
    let codes = [Final::Established, refused, Final::Failed].map(|answer| result_code(answer).0);
    assert_eq!(codes, [result::SUCCESS, result::TOO_BUSY, result::UNABLE_TO_COMPLY]);
}

/// An established link to server 1.
fn link_up(config: &Config) -> ServerLink {
    let server = config.servers.iter().find(|server| server.number == 1).expect("server 1 is configured");
    let capabilities = local_capabilities(config, [127, 0, 0, 1].into(), 1);
    let mut link = ServerLink::new(server, capabilities, config.watchdog, 1, 1);
    let mut out = Vec::new();
    link.handle(0, PeerInput::Start, &mut out);
    link.handle(0, PeerInput::Connected, &mut out);
    let cer = out.iter().find_map(|output| match output {
        LinkOutput::Send(_, message) => Some(message.clone()),
        _ => None,
    });
    let cer = cer.expect("a capabilities exchange");
    let mut cea = Message::answer(&cer, result::SUCCESS)
        .with(Avp::text(dict::ORIGIN_HOST, "s1.test"))
        .with(Avp::text(dict::ORIGIN_REALM, "core.test"));
    // The other AVPs are those of the front's own CER.
    let origin = [dict::ORIGIN_HOST, dict::ORIGIN_REALM];
    cea.avps.extend(cer.avps.iter().filter(|avp| !origin.contains(&avp.code)).cloned());
    link.handle(0, PeerInput::Received(Side::Initiator, Frame::Valid(cea)), &mut out);
    assert!(link.side().is_some(), "{out:?}");
    link
}

/// Guards against a set-up that is sent seconds late because the process stalled while it was queued between
/// the session layer and its link.
#[test]
fn set_up_queued_during_a_stall_expires() {
    let mut harness = Harness::new();
    let mut link = link_up(&config());
    let (server, attempt, message) = harness.set_up("c1.test;1");
    assert_eq!(server, 1);
    let request =
        |link: &mut ServerLink, now, kind| link.request(now, 1_000, (attempt, kind), message.clone());
    assert!(matches!(request(&mut link, 100_000, RequestKind::SetUp), SendDecision::Send(..)));
    // A release is sent however late it is.
    assert!(matches!(request(&mut link, 4_500_000, RequestKind::Release), SendDecision::Send(..)));
    let SendDecision::Expired(input) = request(&mut link, 102_000, RequestKind::SetUp) else {
        panic!("the set-up was sent")
    };
    assert_eq!(input, SessionInput::SetUpNotSent(attempt));
    // The set-up was not sent: the call gets a new attempt with a new id at once, and nothing is released.
    let out = harness.handle(input);
    let [SessionOutput::ToServer { attempt: next, kind: RequestKind::SetUp, .. }] = &out[..] else {
        panic!("{out:?}")
    };
    assert_ne!(*next, attempt);
    // A repeated report, of an attempt that has ended, has no effect.
    assert_eq!(harness.handle(SessionInput::SetUpNotSent(attempt)), []);
}

#[test]
fn set_up_has_new_session_and_keeps_caller_avps() {
    let mut harness = Harness::new();
    let extra = Avp { mandatory: false, ..Avp::vendor_specific(77, 5, vec![1, 2]) };
    let out = harness.request(
        ccr("c1.test;1", RequestType::Initial).with(extra.clone()).with(Avp::text(dict::ROUTE_RECORD, "p")),
    );
    let [SessionOutput::ToServer { server: 1, attempt, message, .. }] = &out[..] else { panic!("{out:?}") };
    assert_eq!(message.text(dict::SESSION_ID), Some(format!("f.test;9-9;{}", attempt.0).as_str()));
    assert_eq!(message.text(dict::DESTINATION_HOST), Some("s1.test"));
    assert_eq!(message.text(dict::CC_CORRELATION_ID), Some("c1.test|c1.test;1"));
    assert!(message.avps.contains(&extra));
    let route: Vec<_> = message.all(dict::ROUTE_RECORD).filter_map(Avp::as_text).collect();
    assert_eq!(route, ["p", "c1.test"]);
    assert_eq!(dict::check(message), Ok(()));
    assert!(Ccr::read(message).is_ok());
}

#[test]
fn abort_matches_only_sessions_of_this_process() {
    let mut harness = Harness::new();
    let (server, attempt, message) = harness.set_up("c1.test;1");
    let cca = credit::answer(&message, result::SUCCESS, "s1.test", "core.test");
    let out = harness.handle(SessionInput::ServerAnswer {
        server,
        attempt,
        kind: RequestKind::SetUp,
        message: cca,
    });
    assert!(
        matches!(&out[..], [SessionOutput::ToClient { message, .. }] if message.result() == result::SUCCESS)
    );
    let ends = Endpoints {
        origin_host: "s1.test",
        origin_realm: "core.test",
        destination_realm: "test",
        destination_host: None,
    };
    let codes = |out: &[SessionOutput]| -> Vec<u32> {
        out.iter()
            .map(|o| match o {
                SessionOutput::Reply { message, .. } => message.result(),
                SessionOutput::ToClient { message, .. } => message.header.code,
                other => panic!("{other:?}"),
            })
            .collect()
    };
    for foreign in ["f.test;9-8;1", "f.test;9;1", "other;9-9;1", "f.test;9-9;x", "", ";;;"] {
        let message = credit::abort(ends, foreign);
        assert_eq!(
            codes(&harness.handle(SessionInput::ServerRequest { server, message })),
            [result::UNKNOWN_SESSION_ID]
        );
    }
    let message = credit::abort(ends, &format!("f.test;9-9;{}", attempt.0));
    let out = harness.handle(SessionInput::ServerRequest { server, message });
    assert_eq!(codes(&out), [result::SUCCESS, code::ABORT_SESSION]);
    assert_eq!(harness.session_layer.held().calls, 0);
}

#[test]
fn client_down_drops_its_pending_requests() {
    let mut harness = Harness::new();
    harness.set_up("c1.test;1");
    assert_eq!(harness.session_layer.held().tickets, 1);
    // The number of pending requests of one repeated call is bounded.
    for _ in 0..50 {
        harness.request(ccr("c1.test;1", RequestType::Initial));
    }
    assert!(harness.session_layer.held().tickets <= 4, "{:?}", harness.session_layer.held());
    harness.handle(SessionInput::ClientDown(LinkId(1)));
    assert_eq!(harness.session_layer.held().tickets, 0);
}

#[test]
fn admission_checks_identity_and_limits() {
    let local = Local {
        host: "f.test".into(),
        realm: "test".into(),
        addresses: vec![],
        vendor: 0,
        product: "x".into(),
        state_id: 1,
        applications: vec![4],
        commands: vec![],
    };
    let cer = |host: &str, realm: &str| {
        Message::request(code::CAPABILITIES, 0)
            .with(Avp::text(dict::ORIGIN_HOST, host))
            .with(Avp::text(dict::ORIGIN_REALM, realm))
            .with(Avp::address(dict::HOST_IP_ADDRESS, [127, 0, 0, 1].into()))
            .with(Avp::u32(dict::VENDOR_ID, 0))
            .with(Avp::text(dict::PRODUCT_NAME, "x"))
            .with(Avp::u32(dict::AUTH_APPLICATION_ID, 4))
    };
    let mut admission = Admission::new(&config());
    assert!(admission.accept(LinkId(1)) && admission.accept(LinkId(2)));
    assert!(!admission.accept(LinkId(3)), "the limit of two half-open connections is reached");
    let code = |result: Result<AdmittedClient, baydrift_diameter::Fault>| {
        result.map(|o| o.relay).map_err(|f| f.code)
    };
    assert_eq!(code(admission.admit(LinkId(1), &cer("nobody", "test"), &local)), Err(result::UNKNOWN_PEER));
    assert_eq!(code(admission.admit(LinkId(1), &cer("c1.test", "else"), &local)), Err(result::UNKNOWN_PEER));
    assert_eq!(code(admission.admit(LinkId(1), &cer("c1.test", "test"), &local)), Ok(false));
    assert_eq!(
        code(admission.admit(LinkId(2), &cer("c1.test", "test"), &local)),
        Err(result::UNABLE_TO_COMPLY)
    );
    assert_eq!(code(admission.admit(LinkId(2), &cer("relay.test", "test"), &local)), Ok(true));
    assert!(admission.accept(LinkId(3)));
    assert!(!admission.accept(LinkId(4)), "the limit of three connections is reached");
    (1..=4).for_each(|link| admission.close(LinkId(link)));
    assert_eq!(admission.count(), (0, 0));
}

#[test]
fn server_list_with_invalid_entry_is_rejected_whole() {
    let mut harness = Harness::new();
    let mut push = |version, hosts: &[&str]| {
        let entry =
            |host: &&str| PoolEntry { host: (*host).into(), state: ServerState::Draining, started_ago: None };
        let list = PoolList { version, full: false, servers: hosts.iter().map(entry).collect() };
        harness.session_layer.apply_pool_list(harness.now, &list, &mut Vec::new())
    };
    assert_eq!(push(3, &["s0.test", "s9.test"]), Err(PoolError::Unknown("s9.test".into())));
    assert_eq!(push(3, &["s0.test", "s0.test"]), Err(PoolError::Duplicate("s0.test".into())));
    assert_eq!(push(3, &["s1.test"]), Ok(()));
    assert_eq!(push(3, &["s0.test"]), Err(PoolError::Outdated { got: 3, known: 3 }));
    assert_eq!(
        harness.set_up("c1.test;1").0,
        0,
        "the first choice drains; the rejected list had no effect on the other"
    );
}

#[test]
fn oldest_outstanding_request_is_dropped_at_capacity() {
    let mut outstanding = OutstandingRequests::new(2);
    (1..=3).for_each(|id| outstanding.sent(id, AttemptId(u64::from(id)), RequestKind::SetUp));
    assert_eq!((outstanding.len(), outstanding.answered(1)), (2, None));
    assert_eq!(outstanding.answered(3), Some((AttemptId(3), RequestKind::SetUp)));
    assert_eq!(outstanding.answered(3), None);
    outstanding.clear();
    assert!(outstanding.is_empty());
}
