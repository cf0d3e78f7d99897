//! Shared budgets of cold servers: the engine's set-ups stay within them, independent of the policy.

mod common;

use baydrift::interface::{Entry, ListKind, ServerState};
use baydrift_call::{BudgetSharing, Input, Limits, LinkState, Output, Process};
use common::{set_ups, settings, Harness, MS, S};

fn sharing(ordinal: u32, units: u32) -> BudgetSharing {
    BudgetSharing { units, fronts: 2, ordinal, incarnation: u64::from(ordinal) + 1 }
}

/// Lists server 0 as started now and server 1 as gone.
fn start_cold(harness: &mut Harness) {
    let started = Entry { server: 0, number: 0, state: ServerState::Ready, started_at: Some(harness.now) };
    let gone = Entry { server: 1, number: 1, state: ServerState::Gone, started_at: None };
    harness.input(Input::List(ListKind::Delta, vec![started, gone]));
}

fn budget_messages(out: &[Output<u32>]) -> Vec<(u32, Vec<u8>)> {
    let messages = out.iter().filter_map(|output| match output {
        Output::SendToPeer { to, payload } if payload.first() == Some(&0xb0) => Some((*to, payload.clone())),
        _ => None,
    });
    messages.collect()
}

/// Confirms all set-ups at once.
fn confirm_all(harness: &mut Harness, out: &[Output<u32>]) {
    for output in out {
        if let Output::SetUp { attempt, .. } = output {
            harness.confirm(*attempt);
        }
    }
}

/// Offers calls every 20 ms for one second and, if `connected`, delivers messages between the fronts; returns
/// the set-ups of each front.
fn run_one_second(fronts: &mut [Harness; 2], offers: [bool; 2], first: u32, connected: bool) -> [usize; 2] {
    let mut sent = [0; 2];
    for step in 0..50 {
        for at in 0..2 {
            let mut out = fronts[at].advance(20 * MS);
            if offers[at] {
                out.extend(fronts[at].offer(first + step));
            }
            sent[at] += set_ups(&out);
            confirm_all(&mut fronts[at], &out);
            let mut messages: Vec<_> =
                budget_messages(&out).into_iter().map(|message| (at, message)).collect();
            while let Some((from, (to, payload))) = messages.pop() {
                assert_eq!(to as usize, 1 - from);
                if connected {
                    let out = fronts[1 - from].input(Input::Peer { from: from as u32, payload });
                    messages.extend(budget_messages(&out).into_iter().map(|message| (1 - from, message)));
                }
            }
        }
    }
    sent
}

fn two_fronts(units: u32) -> [Harness; 2] {
    [0, 1].map(|ordinal| {
        let mut harness = Harness::new(Limits::default());
        harness.engine.enable_budget_sharing(sharing(ordinal, units));
        // Units that a previous process may have lent or spent have expired.
        harness.advance(6 * S);
        start_cold(&mut harness);
        harness
    })
}

#[test]
fn cold_server_gets_own_share_and_borrowed_units() {
    // This front's share is five of ten units. Without messages it sends no more than these per second.
    let mut alone = two_fronts(10);
    for n in 0..3 {
        let sent = run_one_second(&mut alone, [true, false], 100 * (n + 1), false);
        assert!(sent[0] <= 5, "{sent:?}");
    }
    // The other front has no demand and lends all of its five units but the one it always keeps.
    let mut both = two_fronts(10);
    run_one_second(&mut both, [true, false], 1_000, true);
    run_one_second(&mut both, [true, false], 2_000, true);
    let sent = run_one_second(&mut both, [true, false], 3_000, true);
    assert!((6..=9).contains(&sent[0]), "{sent:?}");
    // With full demand at both fronts the total stays within ten per second.
    for n in 4..8 {
        let sent = run_one_second(&mut both, [true, true], 1_000 * n, true);
        assert!(sent[0] + sent[1] <= 10, "{sent:?}");
    }
}

#[test]
fn restarted_front_withholds_units_of_previous_process() {
    let mut harness = Harness::new(Limits::default());
    harness.engine.enable_budget_sharing(sharing(0, 10));
    harness.advance(100 * MS);
    start_cold(&mut harness);
    let sent = |harness: &mut Harness, first: u32| -> usize {
        let one = |n| {
            let mut out = harness.advance(20 * MS);
            out.extend(harness.offer(first + n));
            confirm_all(harness, &out);
            set_ups(&out)
        };
        (0..50).map(one).sum()
    };
    // Nothing for one second, then the one unit of five that is never lent; all of them only after a lease.
    assert_eq!(sent(&mut harness, 100), 0);
    assert!((1..=2).contains(&sent(&mut harness, 200)));
}

#[test]
fn invalid_messages_are_ignored_and_none_sent_without_sharing() {
    let mut harness =
        two_fronts(10)[0..1].iter().map(|_| Harness::new(Limits::default())).next().expect("one");
    let mut out = harness.advance(10 * S);
    start_cold(&mut harness);
    for n in 0..50 {
        out.extend(harness.offer(n));
        out.extend(harness.advance(20 * MS));
    }
    assert!(budget_messages(&out).is_empty());
    let mut shares = two_fronts(10);
    for payload in [vec![0xb0], vec![0xb0; 257], vec![0xb0, 9, 9, 9], vec![]] {
        let out = shares[0].input(Input::Peer { from: 1, payload });
        assert!(budget_messages(&out).is_empty());
    }
    assert!(run_one_second(&mut shares, [true, false], 1, true)[0] <= 10);
}

#[test]
fn server_restarted_during_warm_up_is_cold_from_second_start() {
    let mut harness = Harness::new(Limits::default());
    let ramp = settings().warm_up_time;
    let start = |harness: &mut Harness| {
        harness.link(0, LinkState::Down);
        harness.link(0, LinkState::Up(Process::New));
    };
    start(&mut harness);
    harness.advance(ramp * 3 / 4);
    start(&mut harness);
    // Warm by the first start, still cold by the second.
    harness.advance(ramp / 2);
    assert!(harness.engine.is_cold(0));
    harness.advance(ramp);
    assert!(!harness.engine.is_cold(0));
    // One start, reported by the list and then observed on the link: the listed time counts.
    let list = Entry { server: 0, number: 0, state: ServerState::Ready, started_at: Some(harness.now) };
    harness.input(Input::List(ListKind::Delta, vec![list]));
    harness.advance(ramp / 4);
    start(&mut harness);
    harness.advance(ramp * 3 / 4 + 10 * MS);
    assert!(!harness.engine.is_cold(0));
}
