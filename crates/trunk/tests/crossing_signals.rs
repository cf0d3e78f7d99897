//! Behaviour of one exchange when signals cross each other and when the signalling link fails.

use std::sync::Arc;

use baydrift_trunk::rules::{RouteChoice, Selection, RLC_GRACE_US};
use baydrift_trunk::{
    AuditSettings, CallKey, Cic, End, GroupId, GroupSpec, Output, Setup, Signal, TimerSettings, Trunks,
};

const GROUP: GroupId = GroupId(0);
const SECOND: u64 = 1_000_000;

/// An exchange with one group of four circuits, of which it controls the even ones; audits are disabled.
struct Exchange {
    trunks: Trunks,
    now: u64,
}

impl Exchange {
    fn new() -> Self {
        let spec = GroupSpec {
            own_point: 2,
            far_point: 1,
            first: 0,
            circuits: 4,
            selection: Selection::Opposite,
            reserve: 0,
        };
        let audit = AuditSettings { query_interval: 0, ..AuditSettings::default() };
        let trunks = Trunks::new(vec![spec], TimerSettings::default(), audit).expect("a group");
        Self { trunks, now: SECOND }
    }

    fn seize(&mut self, call: u64) -> Cic {
        let mut out = Vec::new();
        self.trunks.seize(self.now, CallKey(call), GROUP, setup(), RouteChoice::First, &mut out);
        match &out[..] {
            [Output::Send { cic, signal: Signal::Seize(_), .. }] => *cic,
            other => panic!("{other:?}"),
        }
    }

    fn handle(&mut self, cic: Cic, signal: Signal) -> Vec<Output> {
        let mut out = Vec::new();
        self.trunks.handle_signal(self.now, GROUP, cic, signal, &mut out);
        out
    }

    fn tick(&mut self, elapsed: u64) -> Vec<Output> {
        self.now += elapsed;
        let mut out = Vec::new();
        self.trunks.tick(self.now, &mut out);
        out
    }

    fn release(&mut self, call: u64) {
        self.trunks.release(self.now, CallKey(call), 16, &mut Vec::new());
    }

    fn free_circuits(&self) -> usize {
        self.trunks.usage(GROUP).expect("a group").free
    }
}

fn setup() -> Setup {
    Setup { number: Arc::from([5, 5, 5]), reference: Arc::from([]) }
}

fn sent(out: &[Output]) -> Vec<(Cic, &Signal)> {
    let of = |out| match out {
        &Output::Send { cic, ref signal, .. } => Some((cic, signal)),
        _ => None,
    };
    out.iter().filter_map(of).collect()
}

#[test]
fn blocking_rejects_a_crossing_seizure_only_when_repeated() {
    for by_group in [false, true] {
        let send_blocking = |exchange: &mut Exchange, cic| match by_group {
            true => exchange.handle(cic, Signal::GroupBlock(vec![true])),
            false => exchange.handle(cic, Signal::Block),
        };
        // The far end processed the IAM before it sent the blocking: the call proceeds there.
        let mut exchange = Exchange::new();
        let cic = exchange.seize(1);
        let out = send_blocking(&mut exchange, cic);
        let ack = if by_group { Signal::GroupBlockAck(vec![true]) } else { Signal::BlockAck };
        assert_eq!(sent(&out), [(cic, &ack)]);
        assert_eq!(exchange.handle(cic, Signal::Answered), [Output::Answered(CallKey(1))]);
        // The far end blocked the circuit first and repeats the blocking as an answer to the IAM: the call
        // seizes another circuit, and nothing is left to release on this one.
        let mut exchange = Exchange::new();
        let cic = exchange.seize(1);
        send_blocking(&mut exchange, cic);
        let out = send_blocking(&mut exchange, cic);
        let reseized: Vec<_> =
            sent(&out).into_iter().filter(|(_, s)| matches!(s, Signal::Seize(_))).collect();
        assert!(reseized.len() == 1 && reseized[0].0 != cic, "{out:?}");
        assert!(sent(&out).iter().all(|(_, s)| !matches!(s, Signal::Release(_))));
        assert_eq!(exchange.trunks.circuit_of(CallKey(1)), Some((GROUP, reseized[0].0)));
    }
}

#[test]
fn seizure_crossing_a_release_is_not_accepted() {
    // The IAM crossed the REL: the RLC follows, and nothing more is sent.
    let mut exchange = Exchange::new();
    let cic = exchange.seize(1);
    exchange.release(1);
    assert!(exchange.handle(cic, Signal::Seize(setup())).is_empty());
    assert!(exchange.handle(cic, Signal::ReleaseComplete).is_empty());
    assert!(exchange.tick(RLC_GRACE_US).is_empty());
    assert_eq!(exchange.free_circuits(), 4);
    // The RLC was lost: the REL is repeated after RLC_GRACE_US, so that the far end's call does not wait for
    // T1.
    let cic = exchange.seize(2);
    exchange.handle(cic, Signal::Answered);
    exchange.release(2);
    assert!(exchange.handle(cic, Signal::Seize(setup())).is_empty());
    assert!(exchange.tick(RLC_GRACE_US - 1).is_empty());
    let out = exchange.tick(1);
    assert!(matches!(sent(&out)[..], [(at, Signal::Release(_))] if at == cic), "{out:?}");
    exchange.handle(cic, Signal::ReleaseComplete);
    assert_eq!(exchange.free_circuits(), 4);
    // The next IAM is accepted as a normal call.
    assert!(matches!(exchange.handle(cic, Signal::Seize(setup()))[..], [Output::Incoming { .. }]));
}

#[test]
fn link_outage_longer_than_t5_and_t17_blocks_no_circuit() {
    let mut exchange = Exchange::new();
    let released = exchange.seize(1);
    exchange.handle(released, Signal::Answered);
    exchange.release(1);
    let (answered, seized) = (exchange.seize(2), exchange.seize(3));
    exchange.handle(answered, Signal::Answered);
    let mut out = Vec::new();
    exchange.trunks.set_reachable(exchange.now, GROUP, false, &mut out);
    assert!(out.contains(&Output::Ended(CallKey(3), End::Unreachable)));
    let TimerSettings { t5, t17, .. } = TimerSettings::default();
    for _ in 0..(t5 + t17) / SECOND + 60 {
        assert!(exchange.tick(SECOND).is_empty(), "nothing is sent while the far end is unreachable");
    }
    out.clear();
    exchange.trunks.set_reachable(exchange.now, GROUP, true, &mut out);
    // Unanswered releases are repeated at once, and the established call is kept.
    let repeated = exchange.tick(0);
    let mut circuits: Vec<_> =
        sent(&repeated).into_iter().map(|(cic, signal)| (cic, signal.clone())).collect();
    circuits.sort_by_key(|(cic, _)| *cic);
    assert_eq!(circuits.len(), 2, "{repeated:?}");
    for (cic, signal) in circuits {
        assert!(matches!(signal, Signal::Release(_)) && [released, seized].contains(&cic), "{signal:?}");
        exchange.handle(cic, Signal::ReleaseComplete);
    }
    assert!(!repeated.iter().any(|output| matches!(output, Output::Report { .. })));
    assert_eq!((exchange.free_circuits(), exchange.trunks.calls()), (3, 1));
}

#[test]
fn usage_counts_match_circuit_states() {
    use baydrift_trunk::Processing;
    let mut exchange = Exchange::new();
    // A linear congruential generator suffices: every kind of signal has to meet every state.
    let mut state = 1u64;
    let mut random_below = |limit: u64| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % limit
    };
    let mut seen = std::collections::BTreeSet::new();
    for call in 0..20_000 {
        let cic = random_below(5) as Cic;
        let bits = (0..1 + random_below(3)).map(|_| random_below(2) == 1).collect::<Vec<_>>();
        let signal = match random_below(20) {
            0 | 1 => Signal::Seize(setup()),
            2 | 3 => Signal::Accepted,
            4 | 5 => Signal::Answered,
            6 | 7 => Signal::Release(16),
            8..=10 => Signal::ReleaseComplete,
            11 => Signal::Reset,
            12 => Signal::Block,
            13 => Signal::Unblock,
            14 => Signal::GroupReset(1 + random_below(4) as u16),
            15 => Signal::GroupBlock(bits),
            16 => Signal::GroupUnblock(bits),
            17 if random_below(50) == 0 => Signal::Unequipped,
            18 => Signal::GroupResetAck(bits),
            _ => Signal::Progress,
        };
        exchange.handle(cic, signal);
        let mut out = Vec::new();
        match random_below(6) {
            0 | 1 => exchange.trunks.seize(
                exchange.now,
                CallKey(call),
                GROUP,
                setup(),
                RouteChoice::First,
                &mut out,
            ),
            2 => exchange.release(call.saturating_sub(random_below(6))),
            3 => exchange.trunks.block(exchange.now, GROUP, cic, random_below(3) == 0, &mut out),
            4 if random_below(40) == 0 => exchange.trunks.reset(exchange.now, GROUP, &mut out),
            _ => drop(exchange.tick(random_below(30) * SECOND)),
        }
        let usage = exchange.trunks.usage(GROUP).expect("a group");
        let mut counted = baydrift_trunk::Usage::default();
        for cic in 0..4 {
            let reported = exchange.trunks.view(GROUP, cic).expect("a circuit").state;
            seen.insert(format!("{:?}", reported.processing));
            let blocked = reported.locally_blocked || reported.remotely_blocked;
            *match reported.processing {
                Processing::Idle if !blocked => &mut counted.free,
                Processing::Idle | Processing::Unequipped => &mut counted.blocked,
                Processing::OutgoingBusy => &mut counted.outgoing,
                Processing::IncomingBusy => &mut counted.incoming,
                Processing::Transient => &mut counted.clearing,
            } += 1;
        }
        assert_eq!(usage, counted, "after {call} steps");
    }
    assert_eq!(seen.len(), 5, "{seen:?}");
}
