//! Calls over trunk groups in the session layer: circuits seized for callers, and calls that far ends offer.

use baydrift_call::LinkId;
use baydrift_desk::{
    AdmittedClient, ProcessIdentity, RequestKind, SessionInput, SessionLayer, SessionOutput,
};
use baydrift_diameter::credit::{self, Endpoints, RequestType};
use baydrift_diameter::{code, dict, Avp, Message, Remote};
use baydrift_isup::{cause, CalledNumber, Data, Iam, Message as Signal, MessageType as Isup, Range};
use baydrift_trunk::GroupId;

const OWN: u32 = 11;
const FAR: u32 = 21;

/// Two groups of two circuits to one far end. [`SERVER`] adds a server that is reached by Diameter.
const CONFIG: &str = r#"
front "f.test" realm="test" { listen "127.0.0.1:0"; serves "core.test"; seed 1; }
class "grid" { context "grid@test"; gives-up "3s"; }
publisher "gulf" { realm "gulf.test"; }
client "c1.test" realm="test"
exchange point=11
far-end "gw.test" number=7 point=21 connect="127.0.0.1:1" {
    group "north" first=1 circuits=2
    group "south" first=33 circuits=2
    incoming class="grid" publisher="gulf"
}
"#;
const SERVER: &str = "server \"s0.test\" realm=\"core.test\" number=0 addr=\"127.0.0.1:1\"\n";

struct Harness {
    session_layer: SessionLayer,
    now: u64,
}

impl Harness {
    fn new(config: &str) -> Self {
        let config = baydrift_config::parse("test", config).unwrap_or_else(|e| panic!("{:?}", e.problems));
        let mut harness = Self {
            session_layer: SessionLayer::new(&config, ProcessIdentity::numbered(9), 1)
                .expect("good settings"),
            now: 0,
        };
        let remote = Remote { host: "c1.test".into(), realm: "test".into(), state_id: Some(1) };
        harness.handle(SessionInput::ClientUp {
            link: LinkId(1),
            client: AdmittedClient { remote, relay: false },
        });
        harness
    }

    /// Brings the signalling link up; the far end acknowledges the initial resets.
    fn link_up(&mut self) {
        let out = self.handle(SessionInput::TrunkUp(FAR));
        let resets = signals(&out);
        assert_eq!(
            resets.iter().map(|s| (s.kind, s.cic)).collect::<Vec<_>>(),
            [(Isup::Grs, 1), (Isup::Grs, 33)]
        );
        for reset in resets {
            let range = reset.range().expect("a range");
            let status = vec![false; range.circuits()];
            let ack = Signal::with_range(Isup::Gra, reset.cic, &Range { range: range.range, status });
            self.send(&ack);
        }
    }

    fn handle(&mut self, input: SessionInput) -> Vec<SessionOutput> {
        self.now += 1_000;
        let mut out = Vec::new();
        self.session_layer.handle(self.now, input, &mut out);
        self.session_layer.handle(self.now, SessionInput::Tick, &mut out);
        out
    }

    /// Passes a signal from the far end.
    fn send(&mut self, signal: &Signal) -> Vec<SessionOutput> {
        let message = signal.write().expect("it fits");
        self.handle(SessionInput::TrunkPacket(Data { opc: FAR, dpc: OWN, sls: 0, message }))
    }

    fn request(&mut self, session: &str, kind: RequestType) -> Vec<SessionOutput> {
        let ends = Endpoints {
            origin_host: "c1.test",
            origin_realm: "gulf.test",
            destination_realm: "core.test",
            destination_host: None,
        };
        let mut message = credit::request(ends, session, "grid@test", kind, 0);
        message.push(Avp::text(dict::CALLED_STATION_ID, "5550123"));
        self.handle(SessionInput::ClientRequest { link: LinkId(1), message })
    }

    /// Requests a call and returns the IAM of its set-up.
    fn seize(&mut self, session: &str) -> Signal {
        let out = self.request(session, RequestType::Initial);
        match &signals(&out)[..] {
            [iam] if iam.kind == Isup::Iam => iam.clone(),
            other => panic!("{other:?}"),
        }
    }

    fn free(&self) -> usize {
        let trunks = self.session_layer.signalling_point().trunks();
        (0..2).filter_map(|group| trunks.usage(GroupId(group))).map(|usage| usage.free).sum()
    }
}

fn signals(out: &[SessionOutput]) -> Vec<Signal> {
    let of = |out: &SessionOutput| match out {
        SessionOutput::ToFarEnd(data) if data.dpc == FAR => {
            Some(Signal::read(&data.message).expect("signal of the session layer"))
        }
        _ => None,
    };
    out.iter().filter_map(of).collect()
}

fn kinds(out: &[SessionOutput]) -> Vec<Isup> {
    signals(out).iter().map(|signal| signal.kind).collect()
}

/// Final answers to the client.
fn answers(out: &[SessionOutput]) -> Vec<u32> {
    let of = |out: &SessionOutput| match out {
        SessionOutput::ToClient { message, .. } if message.header.code == code::CREDIT_CONTROL => {
            Some(message.result())
        }
        _ => None,
    };
    out.iter().filter_map(of).collect()
}

fn iam(cic: u16, reference: &str) -> Signal {
    let called = CalledNumber { nature: 3, digits: vec![5, 5, 5] };
    Signal::iam(
        cic,
        &Iam { called, category: 10, continuity: false, reference: reference.as_bytes().to_vec() },
    )
}

#[test]
fn release_of_outgoing_call_frees_its_circuit() {
    let mut harness = Harness::new(CONFIG);
    // Without a link no circuit is available: the call is answered before the caller timeout, and no signal
    // is sent.
    let mut early = harness.request("c1.test;0", RequestType::Initial);
    for _ in 0..30 {
        harness.now += 100_000;
        early.extend(harness.handle(SessionInput::Tick));
    }
    assert!(signals(&early).is_empty() && answers(&early).len() == 1, "{early:?}");
    harness.link_up();
    assert_eq!(harness.free(), 4);
    let sent = harness.seize("c1.test;1");
    let setup = sent.as_iam().expect("an IAM");
    assert_eq!(setup.called.digits, [5, 5, 5, 0, 1, 2, 3]);
    let reference = String::from_utf8(setup.reference).expect("text");
    assert!(reference.starts_with("f.test;9-9;") && reference.ends_with(" c1.test|c1.test;1"), "{reference}");
    assert!(answers(&harness.send(&Signal::acm(sent.cic))).is_empty());
    assert_eq!(answers(&harness.send(&Signal::new(Isup::Anm, sent.cic))), [2001]);
    assert_eq!(harness.free(), 3);
    let out = harness.request("c1.test;1", RequestType::Termination);
    assert_eq!((kinds(&out), answers(&out)), (vec![Isup::Rel], vec![2001]));
    assert_eq!(harness.free(), 3);
    harness.send(&Signal::new(Isup::Rlc, sent.cic));
    assert_eq!(
        (harness.free(), harness.session_layer.held().calls, harness.session_layer.held().orphans),
        (4, 0, 0)
    );
}

#[test]
fn call_is_routed_elsewhere_without_free_circuits() {
    let mut harness = Harness::new(&format!("{CONFIG}{SERVER}"));
    harness.link_up();
    // The far end blocks all circuits, so the engine gets a report of no free ones.
    for first in [1, 33] {
        let range = Range { range: 1, status: vec![true; 2] };
        assert_eq!(kinds(&harness.send(&Signal::with_range(Isup::Cgb, first, &range))), [Isup::Cgba]);
    }
    assert_eq!(harness.free(), 0);
    harness.handle(SessionInput::ServerUp { server: 0, state_id: Some(1) });
    for call in 0..20 {
        let out = harness.request(&format!("c1.test;{call}"), RequestType::Initial);
        let by_diameter = |o: &SessionOutput| {
            matches!(o, SessionOutput::ToServer { server: 0, kind: RequestKind::SetUp, .. })
        };
        assert!(out.iter().any(by_diameter) && signals(&out).is_empty(), "{out:?}");
    }
}

#[test]
fn refusal_ends_attempt_and_frees_circuit() {
    for why in [cause::USER_BUSY, cause::SWITCHING_CONGESTION, cause::NO_CIRCUIT, cause::UNALLOCATED] {
        let mut harness = Harness::new(CONFIG);
        harness.link_up();
        let sent = harness.seize("c1.test;1");
        let out = harness.send(&Signal::with_cause(Isup::Rel, sent.cic, why));
        assert_eq!(kinds(&out)[0], Isup::Rlc, "cause {why}");
        // The attempt is released at the far end; a further attempt, if any, holds a circuit of its own.
        let again = signals(&out).iter().filter(|signal| signal.kind == Isup::Iam).count();
        assert!(again <= 1 && harness.free() == 4 - again, "cause {why}");
    }
}

#[test]
fn call_that_loses_a_dual_seizure_moves_to_another_circuit() {
    let mut harness = Harness::new(CONFIG);
    harness.link_up();
    // This end has the lower point code, so it controls the odd circuits and selects them first.
    let own = [harness.seize("c1.test;1"), harness.seize("c1.test;2")];
    assert!(own.iter().all(|sent| sent.cic % 2 == 1));
    let even = harness.seize("c1.test;3");
    assert_eq!(even.cic % 2, 0);
    // Dual seizure of a circuit that the far end controls.
    let out = harness.send(&iam(even.cic, "their call"));
    let again: Vec<_> = signals(&out).into_iter().filter(|signal| signal.kind == Isup::Iam).collect();
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].cic, even.cic);
    assert_eq!(again[0].as_iam().map(|iam| iam.reference), even.as_iam().map(|iam| iam.reference));
    // Dual seizure of a circuit that this end controls: its call continues, and the far end's IAM is ignored.
    assert!(harness.send(&iam(own[0].cic, "not taken")).is_empty());
    assert_eq!(answers(&harness.send(&Signal::new(Isup::Anm, own[0].cic))), [2001]);
}

#[test]
fn incoming_call_is_set_up_and_answered_once() {
    let mut harness = Harness::new(&format!("{CONFIG}{SERVER}"));
    harness.link_up();
    harness.handle(SessionInput::ServerUp { server: 0, state_id: Some(1) });
    let mut taken = 0;
    for cic in [2, 34] {
        let out = harness.send(&iam(cic, "77"));
        assert_eq!(kinds(&out)[0], Isup::Acm);
        let set_ups: Vec<(Message, _)> = out
            .iter()
            .filter_map(|o| match o {
                SessionOutput::ToServer { server: 0, attempt, message, .. } => {
                    Some((message.clone(), *attempt))
                }
                _ => None,
            })
            .collect();
        let Some((request, attempt)) = set_ups.into_iter().next() else { continue };
        taken += 1;
        assert_eq!(request.text(dict::CC_CORRELATION_ID), Some("gw.test|77"));
        assert_eq!(request.text(dict::CALLED_STATION_ID), Some("555"));
        let message = credit::answer(&request, 2001, "s0.test", "core.test");
        let out = harness.handle(SessionInput::ServerAnswer {
            server: 0,
            attempt,
            kind: RequestKind::SetUp,
            message,
        });
        assert_eq!(kinds(&out), [Isup::Anm]);
        // The far end clears the call: the server gets a release.
        let out = harness.send(&Signal::with_cause(Isup::Rel, cic, cause::NORMAL_CLEARING));
        assert_eq!(kinds(&out), [Isup::Rlc]);
        let released =
            |o: &SessionOutput| matches!(o, SessionOutput::ToServer { kind: RequestKind::Release, .. });
        assert!(out.iter().any(released));
    }
    assert!(taken > 0);
}

#[test]
fn incoming_call_is_refused_with_a_cause_without_circuits() {
    // The only route is back over the same groups; once the far end has seized all circuits, none is free.
    let mut harness = Harness::new(CONFIG);
    harness.link_up();
    let mut released = 0;
    for cic in [1, 2, 33, 34] {
        let out = harness.send(&iam(cic, "x"));
        released += signals(&out).iter().filter(|s| s.kind == Isup::Rel && s.cause().is_some()).count();
    }
    for _ in 0..400 {
        harness.now += 10_000;
        released +=
            signals(&harness.handle(SessionInput::Tick)).iter().filter(|s| s.kind == Isup::Rel).count();
    }
    assert!(released > 0 && harness.session_layer.held().in_set_up == 0);
    // A far end that is not allowed to offer calls.
    let closed = CONFIG.replace("    incoming class=\"grid\" publisher=\"gulf\"\n", "");
    let mut harness = Harness::new(&closed);
    harness.link_up();
    let out = harness.send(&iam(2, "x"));
    assert_eq!(signals(&out)[0].cause(), Some(cause::SWITCHING_CONGESTION));
    assert_eq!(harness.session_layer.held().calls, 0);
}

#[test]
fn attempts_cut_off_by_link_failure_are_released_on_recovery() {
    let mut harness = Harness::new(CONFIG);
    harness.link_up();
    let seized = harness.seize("c1.test;1");
    let accepted = harness.seize("c1.test;2");
    harness.send(&Signal::acm(accepted.cic));
    harness.handle(SessionInput::TrunkDown(FAR));
    // The calls remain in set-up; whether the far end still has the attempts is unknown.
    assert_eq!(harness.session_layer.held().in_set_up, 2);
    harness.now += 400_000;
    harness.handle(SessionInput::Tick);
    let out = harness.handle(SessionInput::TrunkUp(FAR));
    let released: std::collections::BTreeSet<_> =
        signals(&out).iter().filter(|s| s.kind == Isup::Rel).map(|s| s.cic).collect();
    assert_eq!(released, [seized.cic, accepted.cic].into());
}

#[test]
fn invalid_packets_have_no_effect() {
    let mut harness = Harness::new(CONFIG);
    harness.link_up();
    let good = iam(1, "x").write().expect("it fits");
    for (opc, dpc) in [(22, OWN), (FAR, 12)] {
        assert!(harness
            .handle(SessionInput::TrunkPacket(Data { opc, dpc, sls: 0, message: good.clone() }))
            .is_empty());
    }
    for end in 0..good.len() {
        let message = good[..end].to_vec();
        assert!(harness
            .handle(SessionInput::TrunkPacket(Data { opc: FAR, dpc: OWN, sls: 0, message }))
            .is_empty());
    }
    assert_eq!((harness.free(), harness.session_layer.held().calls), (4, 0));
    assert_eq!(harness.session_layer.faults(), 2 + good.len() as u64);
}
