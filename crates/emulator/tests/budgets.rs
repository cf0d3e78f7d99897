//! A budget of a fleet in virtual time: the hard cases, each by itself, and what lending is worth.

use baydrift_budget::{BorrowerConfig, EscrowConfig};
use baydrift_emulator::{
    drawn_troubles, share_budget, BudgetSharing, BudgetSpec, BudgetTrouble, NetworkPathSpec,
};

const S: u64 = 1_000_000;
const LEASE: u64 = 4 * S;

/// 60 fronts, 30 units a second; six fronts want nine tenths of twice as much.
fn fleet(sharing: BudgetSharing) -> BudgetSpec {
    BudgetSpec {
        fronts: 60,
        units: 30,
        terms: EscrowConfig { window: S, lease: LEASE, max_step: S / 10, drift_ppm: 200 },
        seeking: BorrowerConfig { interval: S / 10, fan_out: 3 },
        way: NetworkPathSpec {
            delay: 2_000,
            jitter: 3_000,
            lost: 0.05,
            doubled: 0.02,
            reordered: 0.02,
            rate: 0,
        },
        sharing,
        wanted: (0..60).map(|front| if front % 10 == 0 { 9.0 } else { 0.11 }).collect(),
        span: 20 * S,
        heard_within: S / 2,
        troubles: Vec::new(),
        drift_ppm: 100,
        seed: 7,
    }
}

/// These fronts, each at a time of its own within 100 ms.
fn struck(
    at: u64,
    fronts: impl Iterator<Item = u32>,
    trouble: impl Fn(u32) -> BudgetTrouble,
) -> Vec<(u64, u32, BudgetTrouble)> {
    fronts.map(|front| (at + u64::from(front) * 1_600, front, trouble(front))).collect()
}

fn within_bound(name: &str, spec: &BudgetSpec) -> f64 {
    let tally = share_budget(spec);
    assert!(tally.most <= spec.units as usize, "{name}: {} spent in a window, of {}", tally.most, spec.units);
    assert!(tally.spent > 0 && tally.words > 0, "{name}: {tally:?}");
    tally.used
}

#[test]
fn no_hard_case_passes_the_bound() {
    let all = 0..60_u32;
    let third = || (0..60_u32).filter(|front| front % 3 == 0);
    let half = || (0..60_u32).filter(|front| front % 2 == 0);
    let mut cases = Vec::new();
    for (span, name) in [(S, "1 s"), (10 * S, "10 s"), (20 * S, "longer than any lease")] {
        cases.push((
            format!("a third hears nothing for {name}"),
            struck(3 * S, third(), |_| BudgetTrouble::Deaf(span)),
        ));
        cases.push((
            format!("half hears nothing for {name}"),
            struck(3 * S, half(), |_| BudgetTrouble::Deaf(span)),
        ));
        cases.push((
            format!("all but one hear nothing for {name}"),
            struck(3 * S, 1..60, |_| BudgetTrouble::Deaf(span)),
        ));
        cases.push((
            format!("a third is not heard for {name}"),
            struck(3 * S, third(), |_| BudgetTrouble::Mute(span)),
        ));
    }
    let halves = struck(3 * S, all.clone(), |f| {
        if f % 2 == 0 {
            BudgetTrouble::Deaf(5 * S)
        } else {
            BudgetTrouble::Mute(5 * S)
        }
    });
    cases.push(("one half deaf, the other mute".into(), halves));
    for (span, name) in
        [(LEASE - S / 5, "a little less than"), (LEASE, "as long as"), (LEASE + S / 5, "a little more than")]
    {
        cases.push((
            format!("half stand still for {name} a lease"),
            struck(3 * S, half(), |_| BudgetTrouble::Stops(span)),
        ));
    }
    for by in [5_000_000, -5_000_000] {
        cases.push((
            format!("half of the clocks jump by {by}"),
            struck(3 * S, half(), |_| BudgetTrouble::Jumps(by)),
        ));
        let mut stop_and_jump = struck(3 * S, half(), |_| BudgetTrouble::Stops(S));
        stop_and_jump.extend(struck(3 * S + S / 2, half(), |_| BudgetTrouble::Jumps(by)));
        cases.push((format!("stand still, and clocks jump by {by} meanwhile"), stop_and_jump));
    }
    // The busy ones hold most of it when they die, and are back at once, or never.
    let busy = || (0..60_u32).filter(|front| front % 10 == 0);
    cases.push((
        "holders die and return".into(),
        struck(5 * S, busy(), |_| BudgetTrouble::Dies(Some(50_000))),
    ));
    cases.push(("holders die".into(), struck(5 * S, busy(), |_| BudgetTrouble::Dies(None))));
    cases.push((
        "two thirds restart in 2 s".into(),
        struck(3 * S, 0..40, |f| BudgetTrouble::Dies(Some(u64::from(f) * 50_000))),
    ));
    for (name, troubles) in cases {
        within_bound(&name, &BudgetSpec { troubles, ..fleet(BudgetSharing::Escrow) });
    }
    let lossy =
        NetworkPathSpec { lost: 0.3, doubled: 0.2, reordered: 0.2, ..fleet(BudgetSharing::Escrow).way };
    let restarts = struck(2 * S, 0..40, |f| BudgetTrouble::Dies(Some(u64::from(f) * 50_000)));
    within_bound(
        "with three in ten datagrams lost",
        &BudgetSpec { way: lossy, troubles: restarts, ..fleet(BudgetSharing::Escrow) },
    );
}

#[test]
fn slivers_and_one_front_with_all_the_traffic() {
    let slivers =
        BudgetSpec { fronts: 300, units: 20, wanted: vec![0.2; 300], ..fleet(BudgetSharing::Escrow) };
    within_bound("300 fronts share 20", &slivers);
    let one = |sharing| {
        let wanted = (0..300).map(|front| if front == 17 { 60.0 } else { 0.0 }).collect();
        BudgetSpec { fronts: 300, units: 30, wanted, ..fleet(sharing) }
    };
    let lent = within_bound("one with all the traffic", &one(BudgetSharing::Escrow));
    let fixed = share_budget(&one(BudgetSharing::Fixed)).used;
    assert!(fixed < 0.05 && lent > 0.6, "fixed {fixed:.3}, lent {lent:.3}");
}

#[test]
fn drawn_faults_never_pass_the_bound() {
    for seed in 0..40 {
        let spec = fleet(BudgetSharing::Escrow);
        let troubles = drawn_troubles(spec.fronts, spec.span, LEASE, seed);
        within_bound(&format!("seed {seed}"), &BudgetSpec { seed, troubles, ..spec });
    }
}

/// Why shares do not go by belief: the model catches it.
#[test]
fn shares_by_the_number_believed_pass_the_bound() {
    // Half of the fleet is heard by nobody for a while: all others take their parts too.
    let troubles = struck(4 * S, (0..60).filter(|f| f % 2 == 1), |_| BudgetTrouble::Mute(4 * S));
    let wanted = vec![4.0; 60];
    let spec = BudgetSpec { units: 120, troubles, wanted, ..fleet(BudgetSharing::Believed) };
    let tally = share_budget(&spec);
    assert!(tally.most > spec.units as usize, "{} of {}", tally.most, spec.units);
    within_bound("the same with units lent", &BudgetSpec { sharing: BudgetSharing::Escrow, ..spec });
}

#[test]
fn lending_uses_more_of_a_budget_than_fixed_shares_and_less_than_one_that_knows_all() {
    let dead = struck(0, (0..60).filter(|f| f % 3 == 1), |_| BudgetTrouble::Dies(None));
    let used = |sharing| share_budget(&BudgetSpec { troubles: dead.clone(), ..fleet(sharing) }).used;
    let (fixed, lent, all) =
        (used(BudgetSharing::Fixed), used(BudgetSharing::Escrow), used(BudgetSharing::KnowsAll));
    assert!(fixed + 0.2 < lent && lent < all, "fixed {fixed:.3}, lent {lent:.3}, knows all {all:.3}");
}
