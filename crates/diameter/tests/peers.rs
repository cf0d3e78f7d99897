//! Peers against each other in one thread and virtual time, the watchdog against its table.

use std::sync::Arc;

use baydrift_diameter::credit::{self, Endpoints, RequestType};
use baydrift_diameter::{
    cause, code, dict, result, Avp, Frame, Local, Message, Micros, Peer, PeerInput, PeerOutput, Reason,
    Remote, Side, State, Watchdog, WatchdogAction, WatchdogEvent, WatchdogState,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const S: Micros = 1_000_000;
const TW: Micros = 6 * S;

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

fn give(peer: &mut Peer, now: Micros, input: PeerInput) -> Vec<PeerOutput> {
    let mut out = Vec::new();
    peer.handle(now, input, &mut out);
    out
}

fn sent(out: &[PeerOutput]) -> Vec<Message> {
    let of = |o: &PeerOutput| match o {
        PeerOutput::Send(_, message) => Some(message.clone()),
        _ => None,
    };
    out.iter().filter_map(of).collect()
}

fn good(message: &Message) -> Frame {
    Frame::Valid(message.clone())
}

/// An open pair: `a` has connected to `b`.
fn pair() -> (Peer, Peer) {
    let (mut a, mut b) = (peer("a.test", Some("b.test")), peer("b.test", None));
    assert_eq!(give(&mut a, 0, PeerInput::Start), [PeerOutput::Connect]);
    let cer = sent(&give(&mut a, 1, PeerInput::Connected)).remove(0);
    let out = give(&mut b, 2, PeerInput::Accepted(cer));
    assert!(out.contains(&PeerOutput::Usable));
    let cea = sent(&out).remove(0);
    let out = give(&mut a, 3, PeerInput::Received(Side::Initiator, good(&cea)));
    let remote = Remote { host: "b.test".into(), realm: "test".into(), state_id: Some(5) };
    assert_eq!(out, [PeerOutput::Up(remote), PeerOutput::Usable]);
    (a, b)
}

#[test]
fn two_peers_open_and_say_good_bye() {
    let (mut a, mut b) = pair();
    assert_eq!((a.state(), b.state()), (State::Open(Side::Initiator), State::Open(Side::Responder)));
    let dpr = sent(&give(&mut b, S, PeerInput::Stop(cause::BUSY))).remove(0);
    let out = give(&mut a, S, PeerInput::Received(Side::Initiator, good(&dpr)));
    assert!(out.contains(&PeerOutput::Draining(cause::BUSY)));
    let dpa = sent(&out).remove(0);
    let out = give(&mut b, S, PeerInput::Received(Side::Responder, good(&dpa)));
    assert!(out.contains(&PeerOutput::Close(Side::Responder, Reason::Disconnected)));
    let out = give(&mut a, S, PeerInput::Disconnected(Side::Initiator));
    assert_eq!(out, [PeerOutput::Down(Reason::Transport)]);
    // The one that connects tries again by its watchdog's timer, and is used only after three answers.
    let due = a.due();
    assert_eq!(give(&mut a, due, PeerInput::Tick), [PeerOutput::Connect]);
}

#[test]
fn a_silent_peer_fails_over_closes_and_comes_back_slowly() {
    let (mut a, _) = pair();
    let mut seen = Vec::new();
    while !seen.iter().any(|o| matches!(o, PeerOutput::Down(_))) {
        let due = a.due();
        seen.extend(give(&mut a, due, PeerInput::Tick));
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
    assert_eq!(sent(&seen).len(), 1);
    // Reconnected: not usable before three watchdogs are answered.
    let due = a.due();
    assert_eq!(give(&mut a, due, PeerInput::Tick), [PeerOutput::Connect]);
    let mut b = peer("b.test", None);
    let cer = sent(&give(&mut a, due, PeerInput::Connected)).remove(0);
    let cea = sent(&give(&mut b, due, PeerInput::Accepted(cer))).remove(0);
    let mut out = give(&mut a, due, PeerInput::Received(Side::Initiator, good(&cea)));
    let mut answered = 0;
    let mut now = due;
    while !out.contains(&PeerOutput::Usable) {
        for dwr in sent(&out) {
            let dwa = sent(&give(&mut b, now, PeerInput::Received(Side::Responder, good(&dwr)))).remove(0);
            answered += 1;
            out = give(&mut a, now, PeerInput::Received(Side::Initiator, good(&dwa)));
        }
        if !out.contains(&PeerOutput::Usable) {
            now = a.due();
            out = give(&mut a, now, PeerInput::Tick);
        }
    }
    assert_eq!(answered, 3);
}

#[test]
fn any_message_brings_a_suspect_back() {
    let (mut a, _) = pair();
    let mut out = Vec::new();
    while !out.contains(&PeerOutput::Suspect) {
        let due = a.due();
        out = give(&mut a, due, PeerInput::Tick);
    }
    let now = a.due() - 1;
    let late = Message::answer(&credit_request(), result::SUCCESS);
    let out = give(&mut a, now, PeerInput::Received(Side::Initiator, good(&late)));
    assert_eq!(out, [PeerOutput::Usable, PeerOutput::Answer(late)]);
}

fn credit_request() -> Message {
    let ends = Endpoints {
        origin_host: "c.test",
        origin_realm: "test",
        destination_realm: "test",
        destination_host: None,
    };
    credit::request(ends, "c;1", "x@test", RequestType::Initial, 0)
}

#[test]
fn both_connect_at_once_and_one_transport_stays() {
    for (x, y) in [("a.test", "b.test"), ("b.test", "a.test")] {
        let (mut a, mut b) = (peer(x, Some(y)), peer(y, Some(x)));
        give(&mut a, 0, PeerInput::Start);
        give(&mut b, 0, PeerInput::Start);
        let cer_a = sent(&give(&mut a, 1, PeerInput::Connected)).remove(0);
        let cer_b = sent(&give(&mut b, 1, PeerInput::Connected)).remove(0);
        let from_a = give(&mut a, 2, PeerInput::Accepted(cer_b));
        let from_b = give(&mut b, 2, PeerInput::Accepted(cer_a));
        // The higher name has closed its own transport and answered the other's.
        let (winner, loser, won) = if x > y { (&mut a, &mut b, &from_a) } else { (&mut b, &mut a, &from_b) };
        assert!(won.contains(&PeerOutput::Close(Side::Initiator, Reason::Election)));
        assert_eq!(winner.state(), State::Open(Side::Responder));
        assert_eq!(loser.state(), State::WaitReturns);
        let cea = sent(won).remove(0);
        let out = give(loser, 3, PeerInput::Received(Side::Initiator, good(&cea)));
        assert!(out.contains(&PeerOutput::Close(Side::Responder, Reason::Election)), "{out:?}");
        assert_eq!(loser.state(), State::Open(Side::Initiator));
        // The echoes of the closed transports change nothing.
        give(winner, 4, PeerInput::Disconnected(Side::Initiator));
        give(loser, 4, PeerInput::Disconnected(Side::Responder));
        assert!(matches!((winner.state(), loser.state()), (State::Open(_), State::Open(_))));
    }
}

#[test]
fn a_second_transport_is_rejected_while_one_is_open() {
    let (_, mut b) = pair();
    let mut other = peer("a.test", Some("b.test"));
    give(&mut other, 0, PeerInput::Start);
    let cer = sent(&give(&mut other, 1, PeerInput::Connected)).remove(0);
    let out = give(&mut b, 5, PeerInput::Accepted(cer));
    assert!(matches!(&out[0], PeerOutput::Reject(m) if m.result() == result::UNABLE_TO_COMPLY));
    assert_eq!(b.state(), State::Open(Side::Responder));
}

#[test]
fn capabilities_must_fit() {
    let cer = || {
        let mut a = peer("a.test", Some("b.test"));
        give(&mut a, 0, PeerInput::Start);
        sent(&give(&mut a, 1, PeerInput::Connected)).remove(0)
    };
    type Case = (fn(&mut Message), u32);
    let cases: [Case; 4] = [
        (|m| m.avps.retain(|a| a.code != dict::AUTH_APPLICATION_ID), result::NO_COMMON_APPLICATION),
        (|m| m.avps.retain(|a| a.code != dict::HOST_IP_ADDRESS), result::MISSING_AVP),
        (|m| m.push(Avp::u32(dict::INBAND_SECURITY_ID, 1)), result::NO_COMMON_SECURITY),
        (|m| m.push(Avp { mandatory: true, ..Avp::vendor_specific(1, 1, vec![]) }), result::AVP_UNSUPPORTED),
    ];
    for (damage, wanted) in cases {
        let mut bad = cer();
        damage(&mut bad);
        let mut b = peer("b.test", None);
        let out = give(&mut b, 2, PeerInput::Accepted(bad));
        assert_eq!(sent(&out)[0].result(), wanted);
        assert_eq!(b.state(), State::Closed);
    }
    // One that connects checks who answers.
    let mut a = peer("a.test", Some("c.test"));
    give(&mut a, 0, PeerInput::Start);
    let cer = sent(&give(&mut a, 1, PeerInput::Connected)).remove(0);
    let cea = sent(&give(&mut peer("b.test", None), 2, PeerInput::Accepted(cer))).remove(0);
    let out = give(&mut a, 3, PeerInput::Received(Side::Initiator, good(&cea)));
    assert!(out.contains(&PeerOutput::Down(Reason::Capabilities(result::UNKNOWN_PEER))), "{out:?}");
}

#[test]
fn a_mute_handshake_is_given_up() {
    let mut a = peer("a.test", Some("b.test"));
    give(&mut a, 0, PeerInput::Start);
    give(&mut a, 1, PeerInput::Connected);
    let due = a.due();
    let out = give(&mut a, due, PeerInput::Tick);
    assert!(out.contains(&PeerOutput::Down(Reason::Timeout)), "{out:?}");
}

#[test]
fn requests_that_are_not_served_are_answered_so() {
    let (mut a, _) = pair();
    let mut ask = |message: Message| {
        let out = give(&mut a, 10, PeerInput::Received(Side::Initiator, good(&message)));
        sent(&out).first().map(Message::result)
    };
    assert_eq!(
        ask(Message::request(code::CREDIT_CONTROL, 16_777_238)),
        Some(result::APPLICATION_UNSUPPORTED)
    );
    assert_eq!(ask(Message::request(999, 4)), Some(result::COMMAND_UNSUPPORTED));
    assert_eq!(ask(Message::request(code::CAPABILITIES, 0)), Some(result::UNABLE_TO_COMPLY));
    let looped = credit_request().with(Avp::text(dict::ROUTE_RECORD, "a.test"));
    assert_eq!(ask(looped), Some(result::LOOP_DETECTED));
    assert_eq!(ask(credit_request()), None);
}

/// RFC 3539, appendix A, row by row where a state can be reached.
#[test]
fn the_watchdog_keeps_its_table() {
    use WatchdogAction as A;
    use WatchdogEvent as E;
    use WatchdogState as W;
    let walk = |events: &[E]| {
        let mut dog = Watchdog::new(TW);
        let (mut actions, mut now) = (Vec::new(), 0);
        for event in events {
            now = if *event == E::Tick { dog.due() } else { now + 1 };
            actions.clear();
            dog.handle(now, 0.5, *event, &mut actions);
        }
        (dog.state(), actions)
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
        let (reached, actions) = walk(&[*before, *then].concat());
        assert_eq!((reached, &actions[..]), (*state, *wanted), "{before:?} {then:?}");
    }
    // Jitter stays within 2 s of Tw.
    for draw in [0.0, 0.3, 1.0] {
        let mut dog = Watchdog::new(TW);
        dog.handle(0, draw, E::ConnectionUp, &mut Vec::new());
        assert!((TW - 2 * S..=TW + 2 * S).contains(&dog.due()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..Default::default() })]

    /// Whatever a stranger sends in whatever order, a peer answers, closes or ignores.
    #[test]
    fn any_messages_leave_a_peer_sound(steps in proptest::collection::vec((0u8..8, any::<u32>(), any::<bool>()), 1..40)) {
        let (mut a, _) = pair();
        let mut now = 10;
        for (step, noise, mine) in steps {
            now += u64::from(noise % 3_000_000);
            let side = if mine { Side::Initiator } else { Side::Responder };
            let mut message = credit_request().with(Avp::new(noise % 700, noise.to_be_bytes().to_vec()));
            (message.header.code, message.header.application) = (250 + noise % 40, noise % 6);
            message.header.flags.request = noise % 3 != 0;
            let input = match step {
                0 => PeerInput::Start,
                1 => PeerInput::Connected,
                2 => PeerInput::ConnectFailed,
                3 => PeerInput::Accepted(message),
                4 => PeerInput::Disconnected(side),
                5 => PeerInput::Tick,
                _ => PeerInput::Received(side, good(&message)),
            };
            let requests = matches!(&input, PeerInput::Received(s, Frame::Valid(m)) if m.header.flags.request && a.side() == Some(*s));
            let out = give(&mut a, now, input);
            if requests {
                let answered = out.iter().filter(|o| matches!(o, PeerOutput::Send(..) | PeerOutput::Request(_))).count();
                prop_assert_eq!(answered, 1, "{:?}", out);
            }
        }
    }
}
