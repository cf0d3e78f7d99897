//! What is said to a front that is wrong, late, doubled or of nobody, and a front that stood still.

use baydrift_fleet::{Fault, Lives, Member, Spec, Terms, DATAGRAM_MAX};
use proptest::prelude::*;

const S: u64 = 1_000_000;
const FRONTS: u32 = 5;

fn front(ordinal: u32, incarnation: u32) -> Lives {
    let spec = Spec { ordinal, fronts: FRONTS, incarnation, seed: 1 };
    Lives::new(Terms::default(), spec, S)
}

/// Fronts that hear all that they say to each other at once, for so long; whoever is not there hears nothing.
fn talk(fronts: &mut [Lives], from: u64, until: u64) -> u64 {
    let mut now = from;
    while now < until {
        now += 50_000;
        let mut said: Vec<(u32, u32, Vec<u8>)> = Vec::new();
        for front in fronts.iter_mut() {
            let own = front.own().ordinal;
            said.extend(front.beat(now).into_iter().map(|(to, word)| (own, to, word)));
        }
        while let Some((by, to, word)) = said.pop() {
            let Some(hears) = fronts.iter_mut().find(|front| front.own().ordinal == to) else { continue };
            hears.hear(now, by, &word).expect("a word of the fleet's");
            said.extend(hears.beat(now).into_iter().map(|(next, word)| (to, next, word)));
        }
    }
    now
}

/// The next word that a front says to front 0, asked for one so often from a time on.
fn word_to_zero(front: &mut Lives, from: u64, every: u64) -> Vec<u8> {
    let said = (0..400).find_map(|n| front.beat(from + n * every).into_iter().find(|(to, _)| *to == 0));
    said.expect("a word").1
}

fn alive(front: &Lives) -> Vec<Member> {
    front.members().filter(|(_, alive, _)| *alive).map(|(member, ..)| member).collect()
}

#[test]
fn what_is_no_word_of_the_fleet_changes_nothing() {
    let mut fronts = [front(0, 100), front(1, 100)];
    let now = talk(&mut fronts, S, 5 * S);
    let [zero, one] = &mut fronts;
    let before = (zero.view(now), alive(zero));
    // A word to this front, as its sender said it.
    let word = word_to_zero(one, now, 10_000);
    assert_eq!(zero.hear(now, 2, &word), Err(Fault::Sender(1)));
    assert_eq!(zero.hear(now, 1, &[]), Err(Fault::Unreadable));
    assert_eq!(zero.hear(now, 1, &[0xff; 40]), Err(Fault::Unreadable));
    assert_eq!(zero.hear(now, 1, &vec![0; DATAGRAM_MAX + 1]), Err(Fault::Unreadable));
    // Of a fleet that has more fronts, and of a process whose incarnation nobody can reach.
    let stranger = Spec { ordinal: 7, fronts: 8, incarnation: 100, seed: 1 };
    let mut stranger = Lives::new(Terms::default(), stranger, S);
    let said = word_to_zero(&mut stranger, S, 100_000);
    assert_eq!(zero.hear(now, 7, &said), Err(Fault::Stranger(7)));
    let mut ahead = front(1, u32::MAX - 5);
    let said = word_to_zero(&mut ahead, S, 100_000);
    assert_eq!(zero.hear(now, 1, &said), Err(Fault::Ahead(u32::MAX - 5)));
    assert_eq!((zero.view(now), alive(zero)), before);
}

#[test]
fn the_same_word_a_hundred_times_is_one() {
    let mut fronts = [front(0, 100), front(1, 100), front(2, 100)];
    let now = talk(&mut fronts, S, 5 * S);
    let [zero, one, _] = &mut fronts;
    let word = word_to_zero(one, now, 10_000);
    let mut answers = 0;
    for _ in 0..100 {
        assert_eq!(zero.hear(now, 1, &word), Ok(()));
        answers += zero.beat(now).len();
    }
    assert_eq!(alive(zero).len(), 2);
    // Each is answered at most once: nothing is made bigger here than it came.
    assert!(answers <= 100, "{answers}");
}

#[test]
fn an_older_process_changes_nothing_and_the_next_takes_its_place() {
    let mut fronts = vec![front(0, 100), front(1, 100), front(2, 100)];
    let now = talk(&mut fronts, S, 5 * S);
    let mut old = fronts.remove(1);
    // Another process under its name, and at last a late word of the one before.
    let spec = Spec { ordinal: 1, fronts: FRONTS, incarnation: 150, seed: 2 };
    fronts.push(Lives::new(Terms::default(), spec, now));
    let now = talk(&mut fronts, now, now + 5 * S);
    assert!(alive(&fronts[0]).contains(&Member { ordinal: 1, incarnation: 150 }));
    let late = word_to_zero(&mut old, now, 10_000);
    assert_eq!(fronts[0].hear(now, 1, &late), Ok(()));
    assert!(alive(&fronts[0]).contains(&Member { ordinal: 1, incarnation: 150 }), "{:?}", alive(&fronts[0]));
}

#[test]
fn a_front_that_stood_still_learns_before_it_believes() {
    let mut fronts = [front(0, 100), front(1, 100), front(2, 100)];
    let now = talk(&mut fronts, S, 8 * S);
    let still = &mut fronts[0];
    assert!(!still.view(now).learns);
    // Nine seconds later, without a turn: longer than any suspicion lasts.
    let woken = now + 9 * S;
    still.beat(woken);
    let view = still.view(woken);
    assert_eq!((view.alive, view.learns, view.age.is_some_and(|age| age >= 9 * S)), (3, true, true));
    talk(&mut fronts, woken, woken + 3 * S);
    let view = fronts[0].view(woken + 3 * S);
    assert_eq!((view.alive, view.learns, view.age.is_some_and(|age| age < 2 * S)), (3, false, true));
}

#[test]
fn a_front_alone_says_that_it_has_heard_nobody() {
    let mut alone = front(3, 7);
    for n in 0..2_000 {
        let words = alone.beat(S + n * 10_000);
        assert!(words.iter().all(|(to, word)| *to < FRONTS && *to != 3 && word.len() <= DATAGRAM_MAX));
        assert!(words.len() <= 1, "no more than one is asked at once");
    }
    let view = alone.view(21 * S);
    assert_eq!((view.alive, view.of, view.known, view.age), (1, FRONTS, 1, None));
}

proptest! {
    #[test]
    fn noise_never_adds_a_front(noise in proptest::collection::vec(any::<u8>(), 0..300), from in 0_u32..FRONTS) {
        let mut front = front(0, 100);
        let _ = front.hear(2 * S, from, &noise);
        front.beat(2 * S);
        prop_assert!(front.members().all(|(member, ..)| member.ordinal < FRONTS));
    }
}
