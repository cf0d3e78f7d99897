//! Datagrams that are invalid, late, duplicated or from unknown fronts, and stalls of the local process.

use baydrift_fleet::{DatagramError, LocalFront, Member, Membership, MembershipConfig, MAX_DATAGRAM_BYTES};
use proptest::prelude::*;

const S: u64 = 1_000_000;
const FRONTS: u32 = 5;

fn front(ordinal: u32, incarnation: u32) -> Membership {
    let local = LocalFront { ordinal, fronts: FRONTS, incarnation, seed: 1 };
    Membership::new(MembershipConfig::default(), local, S)
}

/// Runs the fronts until `until`, delivering all datagrams between them at once. Those to absent fronts are
/// dropped.
fn run(fronts: &mut [Membership], start: u64, until: u64) -> u64 {
    let mut now = start;
    while now < until {
        now += 50_000;
        let mut in_transit: Vec<(u32, u32, Vec<u8>)> = Vec::new();
        for front in fronts.iter_mut() {
            let sender = front.local_member().ordinal;
            in_transit.extend(front.poll(now).into_iter().map(|(to, datagram)| (sender, to, datagram)));
        }
        while let Some((from, to, datagram)) = in_transit.pop() {
            let Some(receiver) = fronts.iter_mut().find(|front| front.local_member().ordinal == to) else {
                continue;
            };
            receiver.handle(now, from, &datagram).expect("a valid datagram");
            in_transit.extend(receiver.poll(now).into_iter().map(|(next, datagram)| (to, next, datagram)));
        }
    }
    now
}

/// The next datagram that a front sends to front 0, polled at intervals of `every` from `from` on.
fn datagram_to_zero(front: &mut Membership, from: u64, every: u64) -> Vec<u8> {
    let sent = (0..400).find_map(|n| front.poll(from + n * every).into_iter().find(|(to, _)| *to == 0));
    sent.expect("a datagram").1
}

fn alive(front: &Membership) -> Vec<Member> {
    front.members().filter(|(_, alive, _)| *alive).map(|(member, ..)| member).collect()
}

#[test]
fn invalid_datagrams_have_no_effect() {
    let mut fronts = [front(0, 100), front(1, 100)];
    let now = run(&mut fronts, S, 5 * S);
    let [zero, one] = &mut fronts;
    let before = (zero.view(now), alive(zero));
    // A valid datagram, received from another address than its sender's.
    let datagram = datagram_to_zero(one, now, 10_000);
    assert_eq!(zero.handle(now, 2, &datagram), Err(DatagramError::SenderMismatch(1)));
    assert_eq!(zero.handle(now, 1, &[]), Err(DatagramError::Malformed));
    assert_eq!(zero.handle(now, 1, &[0xff; 40]), Err(DatagramError::Malformed));
    assert_eq!(zero.handle(now, 1, &vec![0; MAX_DATAGRAM_BYTES + 1]), Err(DatagramError::Malformed));
    // From a larger fleet, and from a process with an implausible incarnation.
    let stranger = LocalFront { ordinal: 7, fronts: 8, incarnation: 100, seed: 1 };
    let mut stranger = Membership::new(MembershipConfig::default(), stranger, S);
    let datagram = datagram_to_zero(&mut stranger, S, 100_000);
    assert_eq!(zero.handle(now, 7, &datagram), Err(DatagramError::UnknownOrdinal(7)));
    let mut ahead = front(1, u32::MAX - 5);
    let datagram = datagram_to_zero(&mut ahead, S, 100_000);
    assert_eq!(zero.handle(now, 1, &datagram), Err(DatagramError::IncarnationTooHigh(u32::MAX - 5)));
    assert_eq!((zero.view(now), alive(zero)), before);
}

#[test]
fn duplicate_datagrams_are_answered_at_most_once_each() {
    let mut fronts = [front(0, 100), front(1, 100), front(2, 100)];
    let now = run(&mut fronts, S, 5 * S);
    let [zero, one, _] = &mut fronts;
    let datagram = datagram_to_zero(one, now, 10_000);
    let mut responses = 0;
    for _ in 0..100 {
        assert_eq!(zero.handle(now, 1, &datagram), Ok(()));
        responses += zero.poll(now).len();
    }
    assert_eq!(alive(zero).len(), 2);
    // At most one response per datagram, so that traffic is not amplified.
    assert!(responses <= 100, "{responses}");
}

#[test]
fn newer_process_replaces_older_one() {
    let mut fronts = vec![front(0, 100), front(1, 100), front(2, 100)];
    let now = run(&mut fronts, S, 5 * S);
    let mut old = fronts.remove(1);
    // A newer process of the same front joins; then a late datagram of the older process arrives.
    let local = LocalFront { ordinal: 1, fronts: FRONTS, incarnation: 150, seed: 2 };
    fronts.push(Membership::new(MembershipConfig::default(), local, now));
    let now = run(&mut fronts, now, now + 5 * S);
    assert!(alive(&fronts[0]).contains(&Member { ordinal: 1, incarnation: 150 }));
    let late = datagram_to_zero(&mut old, now, 10_000);
    assert_eq!(fronts[0].handle(now, 1, &late), Ok(()));
    assert!(alive(&fronts[0]).contains(&Member { ordinal: 1, incarnation: 150 }), "{:?}", alive(&fronts[0]));
}

#[test]
fn stalled_front_is_learning_before_it_declares_members_down() {
    let mut fronts = [front(0, 100), front(1, 100), front(2, 100)];
    let now = run(&mut fronts, S, 8 * S);
    let stalled = &mut fronts[0];
    assert!(!stalled.view(now).learning);
    // Not polled for nine seconds, which is longer than any suspicion lasts.
    let resumed = now + 9 * S;
    stalled.poll(resumed);
    let view = stalled.view(resumed);
    assert_eq!((view.alive, view.learning, view.age.is_some_and(|age| age >= 9 * S)), (3, true, true));
    run(&mut fronts, resumed, resumed + 3 * S);
    let view = fronts[0].view(resumed + 3 * S);
    assert_eq!((view.alive, view.learning, view.age.is_some_and(|age| age < 2 * S)), (3, false, true));
}

#[test]
fn isolated_front_knows_no_other_member() {
    let mut alone = front(3, 7);
    for n in 0..2_000 {
        let datagrams = alone.poll(S + n * 10_000);
        assert!(datagrams
            .iter()
            .all(|(to, datagram)| *to < FRONTS && *to != 3 && datagram.len() <= MAX_DATAGRAM_BYTES));
        assert!(datagrams.len() <= 1, "at most one join request per poll");
    }
    let view = alone.view(21 * S);
    assert_eq!((view.alive, view.total, view.known, view.age), (1, FRONTS, 1, None));
}

proptest! {
    #[test]
    fn noise_adds_no_unknown_member(
        noise in proptest::collection::vec(any::<u8>(), 0..300),
        from in 0_u32..FRONTS,
    ) {
        let mut front = front(0, 100);
        let _ = front.handle(2 * S, from, &noise);
        front.poll(2 * S);
        prop_assert!(front.members().all(|(member, ..)| member.ordinal < FRONTS));
    }
}
