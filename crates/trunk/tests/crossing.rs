//! Signals that cross each other, and links that are away: what a whole exchange does at each.

use std::sync::Arc;

use baydrift_trunk::rules::{RouteChoice, Selection, COMPLETION_FOLLOWS};
use baydrift_trunk::{
    AuditSettings, CallKey, Cic, End, GroupId, GroupSpec, Output, Setup, Signal, TimerSettings, Trunks,
};

const GROUP: GroupId = GroupId(0);
const S: u64 = 1_000_000;

/// One group of four circuits, of which this end controls the even ones; no audits.
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
        Self { trunks, now: S }
    }

    fn seize(&mut self, call: u64) -> Cic {
        let mut out = Vec::new();
        self.trunks.seize(self.now, CallKey(call), GROUP, setup(), RouteChoice::First, &mut out);
        match &out[..] {
            [Output::Send { cic, signal: Signal::Seize(_), .. }] => *cic,
            other => panic!("{other:?}"),
        }
    }

    fn hear(&mut self, cic: Cic, signal: Signal) -> Vec<Output> {
        let mut out = Vec::new();
        self.trunks.handle_signal(self.now, GROUP, cic, signal, &mut out);
        out
    }

    fn tick(&mut self, later: u64) -> Vec<Output> {
        self.now += later;
        let mut out = Vec::new();
        self.trunks.tick(self.now, &mut out);
        out
    }

    fn release(&mut self, call: u64) {
        self.trunks.release(self.now, CallKey(call), 16, &mut Vec::new());
    }

    fn free(&self) -> usize {
        self.trunks.usage(GROUP).expect("a group").free
    }
}

fn setup() -> Setup {
    Setup { number: Arc::from([5, 5, 5]), reference: Arc::from([]) }
}

fn said(out: &[Output]) -> Vec<(Cic, &Signal)> {
    let of = |out| match out {
        &Output::Send { cic, ref signal, .. } => Some((cic, signal)),
        _ => None,
    };
    out.iter().filter_map(of).collect()
}

#[test]
fn a_blocking_that_crosses_a_seizure_concludes_nothing_until_it_is_said_again() {
    for by_group in [false, true] {
        let blocks = |exchange: &mut Exchange, cic| match by_group {
            true => exchange.hear(cic, Signal::GroupBlock(vec![true])),
            false => exchange.hear(cic, Signal::Block),
        };
        // The far end had read the IAM before: the call goes on there.
        let mut exchange = Exchange::new();
        let cic = exchange.seize(1);
        let out = blocks(&mut exchange, cic);
        let ack = if by_group { Signal::GroupBlockAck(vec![true]) } else { Signal::BlockAck };
        assert_eq!(said(&out), [(cic, &ack)]);
        assert_eq!(exchange.hear(cic, Signal::Answered), [Output::Answered(CallKey(1))]);
        // It had not, and says so by the blocking: the call goes by another circuit, with nothing left on this one.
        let mut exchange = Exchange::new();
        let cic = exchange.seize(1);
        blocks(&mut exchange, cic);
        let out = blocks(&mut exchange, cic);
        let again: Vec<_> = said(&out).into_iter().filter(|(_, s)| matches!(s, Signal::Seize(_))).collect();
        assert!(again.len() == 1 && again[0].0 != cic, "{out:?}");
        assert!(said(&out).iter().all(|(_, s)| !matches!(s, Signal::Release(_))));
        assert_eq!(exchange.trunks.circuit_of(CallKey(1)), Some((GROUP, again[0].0)));
    }
}

#[test]
fn a_seizure_that_meets_a_release_is_not_taken_and_ends_soon() {
    // It crossed the REL: the RLC follows, and nothing more is said.
    let mut exchange = Exchange::new();
    let cic = exchange.seize(1);
    exchange.release(1);
    assert!(exchange.hear(cic, Signal::Seize(setup())).is_empty());
    assert!(exchange.hear(cic, Signal::ReleaseComplete).is_empty());
    assert!(exchange.tick(COMPLETION_FOLLOWS).is_empty());
    assert_eq!(exchange.free(), 4);
    // The RLC was lost: the far end's call waits for this end no longer than that.
    let cic = exchange.seize(2);
    exchange.hear(cic, Signal::Answered);
    exchange.release(2);
    assert!(exchange.hear(cic, Signal::Seize(setup())).is_empty());
    assert!(exchange.tick(COMPLETION_FOLLOWS - 1).is_empty());
    let out = exchange.tick(1);
    assert!(matches!(said(&out)[..], [(at, Signal::Release(_))] if at == cic), "{out:?}");
    exchange.hear(cic, Signal::ReleaseComplete);
    assert_eq!(exchange.free(), 4);
    // The next one is a call like any other.
    assert!(matches!(exchange.hear(cic, Signal::Seize(setup()))[..], [Output::Incoming { .. }]));
}

#[test]
fn an_outage_longer_than_t5_and_t17_blocks_nothing() {
    let mut exchange = Exchange::new();
    let released = exchange.seize(1);
    exchange.hear(released, Signal::Answered);
    exchange.release(1);
    let (standing, seized) = (exchange.seize(2), exchange.seize(3));
    exchange.hear(standing, Signal::Answered);
    let mut out = Vec::new();
    exchange.trunks.set_reachable(exchange.now, GROUP, false, &mut out);
    assert!(out.contains(&Output::Ended(CallKey(3), End::Unreachable)));
    let TimerSettings { t5, t17, .. } = TimerSettings::default();
    for _ in 0..(t5 + t17) / S + 60 {
        assert!(exchange.tick(S).is_empty(), "nobody hears it");
    }
    out.clear();
    exchange.trunks.set_reachable(exchange.now, GROUP, true, &mut out);
    // What was unanswered is said at once, and the call that stood stands.
    let again = exchange.tick(0);
    let mut circuits: Vec<_> = said(&again).into_iter().map(|(cic, signal)| (cic, signal.clone())).collect();
    circuits.sort_by_key(|(cic, _)| *cic);
    assert_eq!(circuits.len(), 2, "{again:?}");
    for (cic, signal) in circuits {
        assert!(matches!(signal, Signal::Release(_)) && [released, seized].contains(&cic), "{signal:?}");
        exchange.hear(cic, Signal::ReleaseComplete);
    }
    assert!(!again.iter().any(|output| matches!(output, Output::Report { .. })));
    assert_eq!((exchange.free(), exchange.trunks.calls()), (3, 1));
}

#[test]
fn what_is_counted_is_what_the_circuits_are_used_for() {
    use baydrift_trunk::Processing;
    let mut exchange = Exchange::new();
    // A small generator is enough: what counts is that every kind of signal meets every state.
    let mut state = 1u64;
    let mut draw = |below: u64| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % below
    };
    let mut seen = std::collections::BTreeSet::new();
    for call in 0..20_000 {
        let cic = draw(5) as Cic;
        let bits = (0..1 + draw(3)).map(|_| draw(2) == 1).collect::<Vec<_>>();
        let signal = match draw(20) {
            0 | 1 => Signal::Seize(setup()),
            2 | 3 => Signal::Accepted,
            4 | 5 => Signal::Answered,
            6 | 7 => Signal::Release(16),
            8..=10 => Signal::ReleaseComplete,
            11 => Signal::Reset,
            12 => Signal::Block,
            13 => Signal::Unblock,
            14 => Signal::GroupReset(1 + draw(4) as u16),
            15 => Signal::GroupBlock(bits),
            16 => Signal::GroupUnblock(bits),
            17 if draw(50) == 0 => Signal::Unequipped,
            18 => Signal::GroupResetAck(bits),
            _ => Signal::Progress,
        };
        exchange.hear(cic, signal);
        let mut out = Vec::new();
        match draw(6) {
            0 | 1 => exchange.trunks.seize(
                exchange.now,
                CallKey(call),
                GROUP,
                setup(),
                RouteChoice::First,
                &mut out,
            ),
            2 => exchange.release(call.saturating_sub(draw(6))),
            3 => exchange.trunks.block(exchange.now, GROUP, cic, draw(3) == 0, &mut out),
            4 if draw(40) == 0 => exchange.trunks.reset(exchange.now, GROUP, &mut out),
            _ => drop(exchange.tick(draw(30) * S)),
        }
        let usage = exchange.trunks.usage(GROUP).expect("a group");
        let mut counted = baydrift_trunk::Usage::default();
        for cic in 0..4 {
            let told = exchange.trunks.view(GROUP, cic).expect("a circuit").state;
            seen.insert(format!("{:?}", told.processing));
            let blocked = told.locally_blocked || told.remotely_blocked;
            *match told.processing {
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
