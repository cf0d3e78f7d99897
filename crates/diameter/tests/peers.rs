//! Pairs of peer state machines in virtual time, and the watchdog against the transitions of RFC 3539.

use std::sync::Arc;

use baydrift_diameter::credit::{self, Endpoints, RequestType};
use baydrift_diameter::{
    cause, code, dict, result, Avp, Frame, Local, Message, Micros, Peer, PeerInput, PeerOutput, Reason,
    Remote, Side, State, Watchdog, WatchdogAction, WatchdogEvent, WatchdogState,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECOND: Micros = 1_000_000;
const TW: Micros = 6 * SECOND;

fn local(host: &str) -> Arc<Local> {
    Arc::new(Local {
        host: host.into(),
        realm: "test".into(),
        addresses: vec!["127.0.0.1".parse().unwrap()],
        vendor: 0,
        product: "test".into(),
        state_id: 5,
        applications: vec![4],
        commands: vec![(4, code::CREDIT_CONTROL), (4, code::ABORT_SESSION)],
    })
}

fn peer(host: &str, expect: Option<&str>) -> Peer {
    Peer::new(local(host), expect.map(|host| (host.into(), "test".into())), TW, 1, 3)
}

fn handle(peer: &mut Peer, now: Micros, input: PeerInput) -> Vec<PeerOutput> {
    let mut out = Vec::new();
    peer.handle(now, input, &mut out);
    out
}

fn sent_messages(out: &[PeerOutput]) -> Vec<Message> {
    let of = |o: &PeerOutput| match o {
        PeerOutput::Send(_, message) => Some(message.clone()),
        _ => None,
    };
    out.iter().filter_map(of).collect()
}

fn valid_frame(message: &Message) -> Frame {
    Frame::Valid(message.clone())
}

/// Two open peers: `a` has connected to `b`.
fn open_pair() -> (Peer, Peer) {
    let (mut a, mut b) = (peer("a.test", Some("b.test")), peer("b.test", None));
    assert_eq!(handle(&mut a, 0, PeerInput::Start), [PeerOutput::Connect]);
    let cer = sent_messages(&handle(&mut a, 1, PeerInput::Connected)).remove(0);
    let out = handle(&mut b, 2, PeerInput::Accepted(cer));
    assert!(out.contains(&PeerOutput::Usable));
    let cea = sent_messages(&out).remove(0);
    let out = handle(&mut a, 3, PeerInput::Received(Side::Initiator, valid_frame(&cea)));
    let remote = Remote { host: "b.test".into(), realm: "test".into(), state_id: Some(5) };
    assert_eq!(out, [PeerOutput::Up(remote), PeerOutput::Usable]);
    (a, b)
}

#[test]
fn connect_and_disconnect_by_dpr() {
    let (mut a, mut b) = open_pair();
    assert_eq!((a.state(), b.state()), (State::Open(Side::Initiator), State::Open(Side::Responder)));
    let dpr = sent_messages(&handle(&mut b, SECOND, PeerInput::Stop(cause::BUSY))).remove(0);
    let out = handle(&mut a, SECOND, PeerInput::Received(Side::Initiator, valid_frame(&dpr)));
    assert!(out.contains(&PeerOutput::Draining(cause::BUSY)));
    let dpa = sent_messages(&out).remove(0);
    let out = handle(&mut b, SECOND, PeerInput::Received(Side::Responder, valid_frame(&dpa)));
    assert!(out.contains(&PeerOutput::Close(Side::Responder, Reason::Disconnected)));
    let out = handle(&mut a, SECOND, PeerInput::Disconnected(Side::Initiator));
    assert_eq!(out, [PeerOutput::Down(Reason::Transport)]);
    // The connecting peer reconnects when its watchdog timer expires.
    let due = a.due();
    assert_eq!(handle(&mut a, due, PeerInput::Tick), [PeerOutput::Connect]);
}

#[test]
fn unresponsive_peer_fails_over_and_reopens() {
    let (mut a, _) = open_pair();
    let mut seen = Vec::new();
    while !seen.iter().any(|o| matches!(o, PeerOutput::Down(_))) {
        let due = a.due();
        seen.extend(handle(&mut a, due, PeerInput::Tick));
    }
    let kinds: Vec<_> = seen.iter().filter(|o| !matches!(o, PeerOutput::Send(..))).collect();
    assert_eq!(
        kinds,
        [
            &PeerOutput::Suspect,
            &PeerOutput::Close(Side::Initiator, Reason::Watchdog),
            &PeerOutput::Down(Reason::Watchdog)
        ]
    );
    assert_eq!(sent_messages(&seen).len(), 1);
    // After the reconnection, the peer is not usable until three watchdog requests are answered.
    let due = a.due();
    assert_eq!(handle(&mut a, due, PeerInput::Tick), [PeerOutput::Connect]);
    let mut b = peer("b.test", None);
    let cer = sent_messages(&handle(&mut a, due, PeerInput::Connected)).remove(0);
    let cea = sent_messages(&handle(&mut b, due, PeerInput::Accepted(cer))).remove(0);
    let mut out = handle(&mut a, due, PeerInput::Received(Side::Initiator, valid_frame(&cea)));
    let mut answered = 0;
    let mut now = due;
    while !out.contains(&PeerOutput::Usable) {
        for dwr in sent_messages(&out) {
            let dwa =
                sent_messages(&handle(&mut b, now, PeerInput::Received(Side::Responder, valid_frame(&dwr))))
                    .remove(0);
            answered += 1;
            out = handle(&mut a, now, PeerInput::Received(Side::Initiator, valid_frame(&dwa)));
        }
        if !out.contains(&PeerOutput::Usable) {
            now = a.due();
            out = handle(&mut a, now, PeerInput::Tick);
        }
    }
    assert_eq!(answered, 3);
}

#[test]
fn any_message_ends_suspect_state() {
    let (mut a, _) = open_pair();
    let mut out = Vec::new();
    while !out.contains(&PeerOutput::Suspect) {
        let due = a.due();
        out = handle(&mut a, due, PeerInput::Tick);
    }
    let now = a.due() - 1;
    let late = Message::answer(&credit_request(), result::SUCCESS);
    let out = handle(&mut a, now, PeerInput::Received(Side::Initiator, valid_frame(&late)));
    assert_eq!(out, [PeerOutput::Usable, PeerOutput::Answer(late)]);
}

fn credit_request() -> Message {
    let endpoints = Endpoints {
        origin_host: "c.test",
        origin_realm: "test",
        destination_realm: "test",
        destination_host: None,
    };
    credit::request(endpoints, "c;1", "x@test", RequestType::Initial, 0)
}

#[test]
fn simultaneous_connect_keeps_one_transport() {
    for (x, y) in [("a.test", "b.test"), ("b.test", "a.test")] {
        let (mut a, mut b) = (peer(x, Some(y)), peer(y, Some(x)));
        handle(&mut a, 0, PeerInput::Start);
        handle(&mut b, 0, PeerInput::Start);
        let cer_a = sent_messages(&handle(&mut a, 1, PeerInput::Connected)).remove(0);
        let cer_b = sent_messages(&handle(&mut b, 1, PeerInput::Connected)).remove(0);
        let from_a = handle(&mut a, 2, PeerInput::Accepted(cer_b));
        let from_b = handle(&mut b, 2, PeerInput::Accepted(cer_a));
        // The peer with the higher name closes its own transport and answers the CER on the other.
        let (winner, loser, won) = if x > y { (&mut a, &mut b, &from_a) } else { (&mut b, &mut a, &from_b) };
        assert!(won.contains(&PeerOutput::Close(Side::Initiator, Reason::Election)));
        assert_eq!(winner.state(), State::Open(Side::Responder));
        assert_eq!(loser.state(), State::WaitReturns);
        let cea = sent_messages(won).remove(0);
        let out = handle(loser, 3, PeerInput::Received(Side::Initiator, valid_frame(&cea)));
        assert!(out.contains(&PeerOutput::Close(Side::Responder, Reason::Election)), "{out:?}");
        assert_eq!(loser.state(), State::Open(Side::Initiator));
        // The close notifications of the closed transports have no effect.
        handle(winner, 4, PeerInput::Disconnected(Side::Initiator));
        handle(loser, 4, PeerInput::Disconnected(Side::Responder));
        assert!(matches!((winner.state(), loser.state()), (State::Open(_), State::Open(_))));
    }
}

#[test]
fn second_transport_is_rejected_while_open() {
    let (_, mut b) = open_pair();
    let mut other = peer("a.test", Some("b.test"));
    handle(&mut other, 0, PeerInput::Start);
    let cer = sent_messages(&handle(&mut other, 1, PeerInput::Connected)).remove(0);
    let out = handle(&mut b, 5, PeerInput::Accepted(cer));
    assert!(matches!(&out[0], PeerOutput::Reject(m) if m.result() == result::UNABLE_TO_COMPLY));
    assert_eq!(b.state(), State::Open(Side::Responder));
}

#[test]
fn capabilities_exchange_rejects_mismatches() {
    let cer = || {
        let mut a = peer("a.test", Some("b.test"));
        handle(&mut a, 0, PeerInput::Start);
        sent_messages(&handle(&mut a, 1, PeerInput::Connected)).remove(0)
    };
    type Case = (fn(&mut Message), u32);
    let cases: [Case; 4] = [
        (|m| m.avps.retain(|a| a.code != dict::AUTH_APPLICATION_ID), result::NO_COMMON_APPLICATION),
        (|m| m.avps.retain(|a| a.code != dict::HOST_IP_ADDRESS), result::MISSING_AVP),
        (|m| m.push(Avp::u32(dict::INBAND_SECURITY_ID, 1)), result::NO_COMMON_SECURITY),
        (|m| m.push(Avp { mandatory: true, ..Avp::vendor_specific(1, 1, vec![]) }), result::AVP_UNSUPPORTED),
    ];
    for (corrupt, wanted) in cases {
        let mut bad = cer();
        corrupt(&mut bad);
        let mut b = peer("b.test", None);
        let out = handle(&mut b, 2, PeerInput::Accepted(bad));
        assert_eq!(sent_messages(&out)[0].result(), wanted);
        assert_eq!(b.state(), State::Closed);
    }
    // The connecting peer checks the Origin-Host of the CEA.
    let mut a = peer("a.test", Some("c.test"));
    handle(&mut a, 0, PeerInput::Start);
    let cer = sent_messages(&handle(&mut a, 1, PeerInput::Connected)).remove(0);
    let cea = sent_messages(&handle(&mut peer("b.test", None), 2, PeerInput::Accepted(cer))).remove(0);
    let out = handle(&mut a, 3, PeerInput::Received(Side::Initiator, valid_frame(&cea)));
    assert!(out.contains(&PeerOutput::Down(Reason::Capabilities(result::UNKNOWN_PEER))), "{out:?}");
}

#[test]
fn handshake_without_cea_times_out() {
    let mut a = peer("a.test", Some("b.test"));
    handle(&mut a, 0, PeerInput::Start);
    handle(&mut a, 1, PeerInput::Connected);
    let due = a.due();
    let out = handle(&mut a, due, PeerInput::Tick);
    assert!(out.contains(&PeerOutput::Down(Reason::Timeout)), "{out:?}");
}

#[test]
fn unsupported_requests_get_error_answers() {
    let (mut a, _) = open_pair();
    let mut result_of = |message: Message| {
        let out = handle(&mut a, 10, PeerInput::Received(Side::Initiator, valid_frame(&message)));
        sent_messages(&out).first().map(Message::result)
    };
    assert_eq!(
        result_of(Message::request(code::CREDIT_CONTROL, 16_777_238)),
        Some(result::APPLICATION_UNSUPPORTED)
    );
    assert_eq!(result_of(Message::request(999, 4)), Some(result::COMMAND_UNSUPPORTED));
    assert_eq!(result_of(Message::request(code::CAPABILITIES, 0)), Some(result::UNABLE_TO_COMPLY));
    let looped = credit_request().with(Avp::text(dict::ROUTE_RECORD, "a.test"));
    assert_eq!(result_of(looped), Some(result::LOOP_DETECTED));
    assert_eq!(result_of(credit_request()), None);
}

/// The rows of RFC 3539, appendix A, that can be reached.
#[test]
fn watchdog_transitions() {
    use WatchdogAction as A;
    use WatchdogEvent as E;
    use WatchdogState as W;
    let run = |events: &[E]| {
        let mut watchdog = Watchdog::new(TW);
        let (mut actions, mut now) = (Vec::new(), 0);
        for event in events {
            now = if *event == E::Tick { watchdog.due() } else { now + 1 };
            actions.clear();
            watchdog.handle(now, 0.5, *event, &mut actions);
        }
        (watchdog.state(), actions)
    };
    let okay = [E::ConnectionUp];
    let pending = [E::ConnectionUp, E::Tick];
    let suspect = [E::ConnectionUp, E::Tick, E::Tick];
    let down = [E::ConnectionUp, E::ConnectionDown];
    let reopen = [E::ConnectionUp, E::ConnectionDown, E::ConnectionUp];
    type Row<'a> = (&'a [E], &'a [E], W, &'a [A]);
    let cases: &[Row<'_>] = &[
        (&[], &[E::Tick], W::Initial, &[A::AttemptOpen]),
        (&[], &okay, W::Okay, &[]),
        (&okay, &[E::Answer], W::Okay, &[]),
        (&okay, &[E::Other], W::Okay, &[]),
        (&okay, &[E::Tick], W::Okay, &[A::SendWatchdog]),
        (&pending, &[E::Tick], W::Suspect, &[A::Failover]),
        (&pending, &[E::Answer, E::Tick], W::Okay, &[A::SendWatchdog]),
        (&pending, &[E::Other, E::Tick], W::Suspect, &[A::Failover]),
        (&suspect, &[E::Answer], W::Okay, &[A::Failback]),
        (&suspect, &[E::Other], W::Okay, &[A::Failback]),
        (&suspect, &[E::Tick], W::Down, &[A::Close]),
        (&okay, &[E::ConnectionDown], W::Down, &[A::Failover]),
        (&suspect, &[E::ConnectionDown], W::Down, &[]),
        (&down, &[E::Tick], W::Down, &[A::AttemptOpen]),
        (&down, &[E::ConnectionUp], W::Reopen, &[A::SendWatchdog]),
        (&reopen, &[E::Other], W::Reopen, &[]),
        (&reopen, &[E::Answer, E::Tick], W::Reopen, &[A::SendWatchdog]),
        (&reopen, &[E::Answer, E::Answer, E::Answer], W::Okay, &[A::Failback]),
        (&reopen, &[E::Tick], W::Reopen, &[]),
        (&reopen, &[E::Tick, E::Tick], W::Down, &[A::Close]),
        (&reopen, &[E::ConnectionDown], W::Down, &[]),
    ];
    for (before, then, state, wanted) in cases {
        let (reached, actions) = run(&[*before, *then].concat());
        assert_eq!((reached, &actions[..]), (*state, *wanted), "{before:?} {then:?}");
    }
    // Jitter stays within 2 s of Tw.
    for draw in [0.0, 0.3, 1.0] {
        let mut watchdog = Watchdog::new(TW);
        watchdog.handle(0, draw, E::ConnectionUp, &mut Vec::new());
        assert!((TW - 2 * SECOND..=TW + 2 * SECOND).contains(&watchdog.due()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Default::default()
    })]

    /// Arbitrary inputs in any order: every request on the open transport is answered or delivered exactly
    /// once.
    #[test]
    fn arbitrary_inputs_answer_each_request_once(
        steps in proptest::collection::vec((0u8..8, any::<u32>(), any::<bool>()), 1..40),
    ) {
        let (mut a, _) = open_pair();
        let mut now = 10;
        for (step, random, initiator) in steps {
            now += u64::from(random % 3_000_000);
            let side = if initiator { Side::Initiator } else { Side::Responder };
            let mut message = credit_request().with(Avp::new(random % 700, random.to_be_bytes().to_vec()));
            (message.header.code, message.header.application) = (250 + random % 40, random % 6);
            message.header.flags.request = random % 3 != 0;
            let input = match step {
                0 => PeerInput::Start,
                1 => PeerInput::Connected,
                2 => PeerInput::ConnectFailed,
                3 => PeerInput::Accepted(message),
                4 => PeerInput::Disconnected(side),
                5 => PeerInput::Tick,
                _ => PeerInput::Received(side, valid_frame(&message)),
            };
            let is_request = matches!(
                &input,
                PeerInput::Received(s, Frame::Valid(m)) if m.header.flags.request && a.side() == Some(*s)
            );
            let out = handle(&mut a, now, input);
            if is_request {
                let answered = out
                    .iter()
                    .filter(|o| matches!(o, PeerOutput::Send(..) | PeerOutput::Request(_)))
                    .count();
                prop_assert_eq!(answered, 1, "{:?}", out);
            }
        }
    }
}
