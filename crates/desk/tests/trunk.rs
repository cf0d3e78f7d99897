//! Calls over trunk groups at the desk: circuits seized for callers, and calls that far ends offer.

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

/// Two groups of two circuits lead to one far end; another server is reached by Diameter.
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

struct World {
    desk: SessionLayer,
    now: u64,
}

impl World {
    fn new(config: &str) -> Self {
        let config = baydrift_config::parse("test", config).unwrap_or_else(|e| panic!("{:?}", e.problems));
        let mut w = Self {
            desk: SessionLayer::new(&config, ProcessIdentity::numbered(9), 1).expect("good settings"),
            now: 0,
        };
        let remote = Remote { host: "c1.test".into(), realm: "test".into(), state_id: Some(1) };
        w.hear(SessionInput::ClientUp { link: LinkId(1), client: AdmittedClient { remote, relay: false } });
        w
    }

    /// The signalling link comes up, and the far end answers the resets of a start.
    fn up(&mut self) {
        let out = self.hear(SessionInput::TrunkUp(FAR));
        let resets = signals(&out);
        assert_eq!(
            resets.iter().map(|s| (s.kind, s.cic)).collect::<Vec<_>>(),
            [(Isup::Grs, 1), (Isup::Grs, 33)]
        );
        for reset in resets {
            let range = reset.range().expect("a range");
            let status = vec![false; range.circuits()];
            let ack = Signal::with_range(Isup::Gra, reset.cic, &Range { range: range.range, status });
            self.say(&ack);
        }
    }

    fn hear(&mut self, input: SessionInput) -> Vec<SessionOutput> {
        self.now += 1_000;
        let mut out = Vec::new();
        self.desk.handle(self.now, input, &mut out);
        self.desk.handle(self.now, SessionInput::Tick, &mut out);
        out
    }

    /// The far end says something.
    fn say(&mut self, signal: &Signal) -> Vec<SessionOutput> {
        let message = signal.write().expect("it fits");
        self.hear(SessionInput::TrunkPacket(Data { opc: FAR, dpc: OWN, sls: 0, message }))
    }

    fn ask(&mut self, session: &str, kind: RequestType) -> Vec<SessionOutput> {
        let ends = Endpoints {
            origin_host: "c1.test",
            origin_realm: "gulf.test",
            destination_realm: "core.test",
            destination_host: None,
        };
        let mut message = credit::request(ends, session, "grid@test", kind, 0);
        message.push(Avp::text(dict::CALLED_STATION_ID, "5550123"));
        self.hear(SessionInput::ClientRequest { link: LinkId(1), message })
    }

    /// A set-up that goes out by an IAM.
    fn seize(&mut self, session: &str) -> Signal {
        let out = self.ask(session, RequestType::Initial);
        match &signals(&out)[..] {
            [iam] if iam.kind == Isup::Iam => iam.clone(),
            other => panic!("{other:?}"),
        }
    }

    fn free(&self) -> usize {
        let trunks = self.desk.signalling_point().trunks();
        (0..2).filter_map(|group| trunks.usage(GroupId(group))).map(|usage| usage.free).sum()
    }
}

fn signals(out: &[SessionOutput]) -> Vec<Signal> {
    let of = |out: &SessionOutput| match out {
        SessionOutput::ToFarEnd(data) if data.dpc == FAR => {
            Some(Signal::read(&data.message).expect("our own"))
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
fn a_call_goes_out_by_a_circuit_and_its_release_frees_it() {
    let mut w = World::new(CONFIG);
    // Without a link no circuit is to be had: its caller is told before it gives up, and nothing is sent.
    let mut early = w.ask("c1.test;0", RequestType::Initial);
    for _ in 0..30 {
        w.now += 100_000;
        early.extend(w.hear(SessionInput::Tick));
    }
    assert!(signals(&early).is_empty() && answers(&early).len() == 1, "{early:?}");
    w.up();
    assert_eq!(w.free(), 4);
    let sent = w.seize("c1.test;1");
    let told = sent.as_iam().expect("an IAM");
    assert_eq!(told.called.digits, [5, 5, 5, 0, 1, 2, 3]);
    let reference = String::from_utf8(told.reference).expect("text");
    assert!(reference.starts_with("f.test;9-9;") && reference.ends_with(" c1.test|c1.test;1"), "{reference}");
    assert!(answers(&w.say(&Signal::acm(sent.cic))).is_empty());
    assert_eq!(answers(&w.say(&Signal::new(Isup::Anm, sent.cic))), [2001]);
    assert_eq!(w.free(), 3);
    let out = w.ask("c1.test;1", RequestType::Termination);
    assert_eq!((kinds(&out), answers(&out)), (vec![Isup::Rel], vec![2001]));
    assert_eq!(w.free(), 3);
    w.say(&Signal::new(Isup::Rlc, sent.cic));
    assert_eq!((w.free(), w.desk.held().calls, w.desk.held().orphans), (4, 0, 0));
}

#[test]
fn a_far_end_without_free_circuits_is_no_line_and_the_call_goes_elsewhere() {
    let mut w = World::new(&format!("{CONFIG}{SERVER}"));
    w.up();
    // All circuits are blocked from there: free lines are none, as the module is told.
    for first in [1, 33] {
        let range = Range { range: 1, status: vec![true; 2] };
        assert_eq!(kinds(&w.say(&Signal::with_range(Isup::Cgb, first, &range))), [Isup::Cgba]);
    }
    assert_eq!(w.free(), 0);
    w.hear(SessionInput::ServerUp { server: 0, state_id: Some(1) });
    for call in 0..20 {
        let out = w.ask(&format!("c1.test;{call}"), RequestType::Initial);
        let by_diameter = |o: &SessionOutput| {
            matches!(o, SessionOutput::ToServer { server: 0, kind: RequestKind::SetUp, .. })
        };
        assert!(out.iter().any(by_diameter) && signals(&out).is_empty(), "{out:?}");
    }
}

#[test]
fn a_refusal_by_its_cause_ends_the_attempt_and_frees_the_circuit() {
    for why in [cause::USER_BUSY, cause::SWITCHING_CONGESTION, cause::NO_CIRCUIT, cause::UNALLOCATED] {
        let mut w = World::new(CONFIG);
        w.up();
        let sent = w.seize("c1.test;1");
        let out = w.say(&Signal::with_cause(Isup::Rel, sent.cic, why));
        assert_eq!(kinds(&out)[0], Isup::Rlc, "cause {why}");
        // The far end has nothing of it any more: what is out now, if anything, is on a circuit of its own.
        let again = signals(&out).iter().filter(|signal| signal.kind == Isup::Iam).count();
        assert!(again <= 1 && w.free() == 4 - again, "cause {why}");
    }
}

#[test]
fn a_call_that_yields_is_set_up_again_on_another_circuit_and_the_far_ends_is_taken() {
    let mut w = World::new(CONFIG);
    w.up();
    // This end has the lower point code: the odd circuits are its own. Its own ones go first.
    let own = [w.seize("c1.test;1"), w.seize("c1.test;2")];
    assert!(own.iter().all(|sent| sent.cic % 2 == 1));
    let even = w.seize("c1.test;3");
    assert_eq!(even.cic % 2, 0);
    // Both ends seized it; the far end controls it.
    let out = w.say(&iam(even.cic, "their call"));
    let again: Vec<_> = signals(&out).into_iter().filter(|signal| signal.kind == Isup::Iam).collect();
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].cic, even.cic);
    assert_eq!(again[0].as_iam().map(|iam| iam.reference), even.as_iam().map(|iam| iam.reference));
    // The other way round: ours goes on, and theirs is as if it had never been.
    assert!(w.say(&iam(own[0].cic, "not taken")).is_empty());
    assert_eq!(answers(&w.say(&Signal::new(Isup::Anm, own[0].cic))), [2001]);
}

#[test]
fn a_far_ends_call_is_admitted_like_others_and_gets_one_answer() {
    let mut w = World::new(&format!("{CONFIG}{SERVER}"));
    w.up();
    w.hear(SessionInput::ServerUp { server: 0, state_id: Some(1) });
    let mut taken = 0;
    for cic in [2, 34] {
        let out = w.say(&iam(cic, "77"));
        assert_eq!(kinds(&out)[0], Isup::Acm);
        let asked: Vec<(Message, _)> = out
            .iter()
            .filter_map(|o| match o {
                SessionOutput::ToServer { server: 0, attempt, message, .. } => {
                    Some((message.clone(), *attempt))
                }
                _ => None,
            })
            .collect();
        let Some((request, attempt)) = asked.into_iter().next() else { continue };
        taken += 1;
        assert_eq!(request.text(dict::CC_CORRELATION_ID), Some("gw.test|77"));
        assert_eq!(request.text(dict::CALLED_STATION_ID), Some("555"));
        let message = credit::answer(&request, 2001, "s0.test", "core.test");
        let out =
            w.hear(SessionInput::ServerAnswer { server: 0, attempt, kind: RequestKind::SetUp, message });
        assert_eq!(kinds(&out), [Isup::Anm]);
        // Its caller is done: the server hears so.
        let out = w.say(&Signal::with_cause(Isup::Rel, cic, cause::NORMAL_CLEARING));
        assert_eq!(kinds(&out), [Isup::Rlc]);
        let released =
            |o: &SessionOutput| matches!(o, SessionOutput::ToServer { kind: RequestKind::Release, .. });
        assert!(out.iter().any(released));
    }
    assert!(taken > 0);
}

#[test]
fn a_far_ends_call_is_refused_with_a_cause_where_nothing_is_to_be_had() {
    // The only way is back over the same groups, whose link is the only one: with all circuits taken by the far end
    // there is no line for any call.
    let mut w = World::new(CONFIG);
    w.up();
    let mut released = 0;
    for cic in [1, 2, 33, 34] {
        let out = w.say(&iam(cic, "x"));
        released += signals(&out).iter().filter(|s| s.kind == Isup::Rel && s.cause().is_some()).count();
    }
    for _ in 0..400 {
        w.now += 10_000;
        released += signals(&w.hear(SessionInput::Tick)).iter().filter(|s| s.kind == Isup::Rel).count();
    }
    assert!(released > 0 && w.desk.held().in_set_up == 0);
    // A far end that may offer no calls.
    let closed = CONFIG.replace("    incoming class=\"grid\" publisher=\"gulf\"\n", "");
    let mut w = World::new(&closed);
    w.up();
    let out = w.say(&iam(2, "x"));
    assert_eq!(signals(&out)[0].cause(), Some(cause::SWITCHING_CONGESTION));
    assert_eq!(w.desk.held().calls, 0);
}

#[test]
fn what_is_out_when_the_link_goes_is_released_when_it_is_back() {
    let mut w = World::new(CONFIG);
    w.up();
    let seized = w.seize("c1.test;1");
    let accepted = w.seize("c1.test;2");
    w.say(&Signal::acm(accepted.cic));
    w.hear(SessionInput::TrunkDown(FAR));
    // Neither is out any more; whether the far end has them is not known.
    assert_eq!(w.desk.held().in_set_up, 2);
    w.now += 400_000;
    w.hear(SessionInput::Tick);
    let out = w.hear(SessionInput::TrunkUp(FAR));
    let released: std::collections::BTreeSet<_> =
        signals(&out).iter().filter(|s| s.kind == Isup::Rel).map(|s| s.cic).collect();
    assert_eq!(released, [seized.cic, accepted.cic].into());
}

#[test]
fn packets_of_strangers_and_broken_ones_change_nothing() {
    let mut w = World::new(CONFIG);
    w.up();
    let good = iam(1, "x").write().expect("it fits");
    for (opc, dpc) in [(22, OWN), (FAR, 12)] {
        assert!(w
            .hear(SessionInput::TrunkPacket(Data { opc, dpc, sls: 0, message: good.clone() }))
            .is_empty());
    }
    for end in 0..good.len() {
        let message = good[..end].to_vec();
        assert!(w.hear(SessionInput::TrunkPacket(Data { opc: FAR, dpc: OWN, sls: 0, message })).is_empty());
    }
    assert_eq!((w.free(), w.desk.held().calls), (4, 0));
    assert_eq!(w.desk.faults(), 2 + good.len() as u64);
}
