//! A budget for cold servers that fronts share: what goes out at the engine is within it, whatever the module wants.

mod common;

use baydrift::interface::{Entry, ListKind, ServerState};
use baydrift_call::{Input, Limits, LinkState, Output, Process, Sharing};
use common::{set_ups, settings, World, MS, S};

fn sharing(ordinal: u32, units: u32) -> Sharing {
    Sharing { units, fronts: 2, ordinal, incarnation: u64::from(ordinal) + 1 }
}

/// Server 0 starts now, as the list tells; server 1 is gone.
fn cold(w: &mut World) {
    let started = Entry { server: 0, number: 0, state: ServerState::Ready, started_at: Some(w.now) };
    let gone = Entry { server: 1, number: 1, state: ServerState::Gone, started_at: None };
    w.input(Input::List(ListKind::Delta, vec![started, gone]));
}

fn told(out: &[Output<u32>]) -> Vec<(u32, Vec<u8>)> {
    let told = out.iter().filter_map(|output| match output {
        Output::Tell { to, payload } if payload.first() == Some(&0xb0) => Some((*to, payload.clone())),
        _ => None,
    });
    told.collect()
}

/// The server answers at once.
fn answer(w: &mut World, out: &[Output<u32>]) {
    for output in out {
        if let Output::SetUp { attempt, .. } = output {
            w.stands(*attempt);
        }
    }
}

/// Calls for one second, 20 ms apart, and words between the two as they come; set-ups of each.
fn second(worlds: &mut [World; 2], offers: [bool; 2], first: u32, words: bool) -> [usize; 2] {
    let mut sent = [0; 2];
    for step in 0..50 {
        for at in 0..2 {
            let mut out = worlds[at].pass(20 * MS);
            if offers[at] {
                out.extend(worlds[at].offer(first + step));
            }
            sent[at] += set_ups(&out);
            answer(&mut worlds[at], &out);
            let mut said: Vec<_> = told(&out).into_iter().map(|word| (at, word)).collect();
            while let Some((from, (to, payload))) = said.pop() {
                assert_eq!(to as usize, 1 - from);
                if words {
                    let out = worlds[1 - from].input(Input::Peer { from: from as u32, payload });
                    said.extend(told(&out).into_iter().map(|word| (1 - from, word)));
                }
            }
        }
    }
    sent
}

fn two(units: u32) -> [World; 2] {
    [0, 1].map(|ordinal| {
        let mut w = World::new(Limits::default());
        w.engine.shares(sharing(ordinal, units));
        // What a process before may have lent or spent is over.
        w.pass(6 * S);
        cold(&mut w);
        w
    })
}

#[test]
fn a_cold_server_is_sent_this_fronts_part_and_more_where_another_lends() {
    // Five of ten are at home here. Without words no more than these go out in a second.
    let mut alone = two(10);
    for n in 0..3 {
        let sent = second(&mut alone, [true, false], 100 * (n + 1), false);
        assert!(sent[0] <= 5, "{sent:?}");
    }
    // The other front wants none and lends what it does not keep: one of five.
    let mut both = two(10);
    second(&mut both, [true, false], 1_000, true);
    second(&mut both, [true, false], 2_000, true);
    let sent = second(&mut both, [true, false], 3_000, true);
    assert!((6..=9).contains(&sent[0]), "{sent:?}");
    // Both want all: never over the ten in a second, by however much either would send.
    for n in 4..8 {
        let sent = second(&mut both, [true, true], 1_000 * n, true);
        assert!(sent[0] + sent[1] <= 10, "{sent:?}");
    }
}

#[test]
fn a_process_that_has_just_started_spends_nothing_that_the_one_before_may_have_lent() {
    let mut w = World::new(Limits::default());
    w.engine.shares(sharing(0, 10));
    w.pass(100 * MS);
    cold(&mut w);
    let sent = |w: &mut World, first: u32| -> usize {
        let one = |n| {
            let mut out = w.pass(20 * MS);
            out.extend(w.offer(first + n));
            answer(w, &out);
            set_ups(&out)
        };
        (0..50).map(one).sum()
    };
    // A second long nothing; then the one of five that a home never lends; all only after a lease.
    assert_eq!(sent(&mut w, 100), 0);
    assert!((1..=2).contains(&sent(&mut w, 200)));
}

#[test]
fn noise_between_fronts_changes_nothing_and_no_word_is_said_where_nothing_is_shared() {
    let mut w = two(10)[0..1].iter().map(|_| World::new(Limits::default())).next().expect("one");
    let mut out = w.pass(10 * S);
    cold(&mut w);
    for n in 0..50 {
        out.extend(w.offer(n));
        out.extend(w.pass(20 * MS));
    }
    assert!(told(&out).is_empty());
    let mut shares = two(10);
    for payload in [vec![0xb0], vec![0xb0; 257], vec![0xb0, 9, 9, 9], vec![]] {
        let out = shares[0].input(Input::Peer { from: 1, payload });
        assert!(told(&out).is_empty());
    }
    assert!(second(&mut shares, [true, false], 1, true)[0] <= 10);
}

#[test]
fn a_server_that_starts_twice_within_a_ramp_is_cold_from_its_second_start() {
    let mut w = World::new(Limits::default());
    let ramp = settings().warm_up_time;
    let start = |w: &mut World| {
        w.link(0, LinkState::Down);
        w.link(0, LinkState::Up(Process::New));
    };
    start(&mut w);
    w.pass(ramp * 3 / 4);
    start(&mut w);
    // Warm by the first start, cold by the second.
    w.pass(ramp / 2);
    assert!(w.engine.is_cold(0));
    w.pass(ramp);
    assert!(!w.engine.is_cold(0));
    // One start, told by the list first and seen on the link after it: the list's counts.
    let list = Entry { server: 0, number: 0, state: ServerState::Ready, started_at: Some(w.now) };
    w.input(Input::List(ListKind::Delta, vec![list]));
    w.pass(ramp / 4);
    start(&mut w);
    w.pass(ramp * 3 / 4 + 10 * MS);
    assert!(!w.engine.is_cold(0));
}
