//! Random fault schedules, for runs over many seeds with a scenario's fronts, servers and callers.

use baydrift::interface::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenario::{FaultKind, Participant, Scenario, ScheduledFault, Start};

const MS: Micros = 1_000;

/// Returns the scenario with two to eight random faults instead of its own, determined by its seed: of all
/// kinds that need no separate processes, at any time.
pub fn with_random_faults(scenario: &Scenario) -> Scenario {
    let mut rng = Pcg64Mcg::seed_from_u64(scenario.seed ^ 0xd1ce);
    let count = rng.random_range(2..=8);
    let mut faults: Vec<_> = (0..count).map(|_| random_fault(scenario, &mut rng)).collect();
    faults.sort_by_key(|fault| fault.at);
    Scenario { faults, ..scenario.clone() }
}

/// Returns the scenario with eight to twelve random faults instead of its own, determined by its seed,
/// including those of processes. Two of them start at the same time, and one starts 50 ms after the end of
/// another, while the system still recovers from it.
pub fn with_random_process_faults(scenario: &Scenario) -> Scenario {
    let mut rng = Pcg64Mcg::seed_from_u64(scenario.seed ^ 0xf1ee7);
    let count = rng.random_range(8..=12);
    let mut faults: Vec<_> = (0..count).map(|_| random_process_fault(scenario, &mut rng)).collect();
    faults[1].at = faults[0].at;
    faults[3].at = faults[2].at + faults[2].duration + 50 * MS;
    faults.sort_by_key(|fault| fault.at);
    Scenario { faults, ..scenario.clone() }
}

fn random_process_fault(scenario: &Scenario, rng: &mut Pcg64Mcg) -> ScheduledFault {
    if rng.random_bool(0.4) {
        return random_fault(scenario, rng);
    }
    let server = rng.random_range(0..scenario.servers.rates.len());
    let front = rng.random_range(0..scenario.fronts as usize);
    // Half of the processes restart almost at once, the others after a longer time.
    let back = if rng.random_bool(0.5) { 50 * MS } else { rng.random_range(100 * MS..3_000 * MS) };
    let kind = match rng.random_range(0..9) {
        0..=2 => FaultKind::Kill { front, back_after: Some(back), start: Start::default() },
        3 => FaultKind::Restart { front, back_after: Some(back), start: Start::default() },
        4 => FaultKind::Crashing { front, times: rng.random_range(2..=3) },
        5 => FaultKind::Freeze { server },
        6 => FaultKind::Reset { server },
        _ => random_partition(scenario, rng),
    };
    let run_length = (scenario.seconds * 1e6) as Micros;
    let at = rng.random_range(0..run_length.max(1));
    ScheduledFault { at, duration: rng.random_range(50 * MS..3_000 * MS), kind }
}

/// A partition between two random groups of processes, in one direction or both.
fn random_partition(scenario: &Scenario, rng: &mut Pcg64Mcg) -> FaultKind {
    let fronts = (0..scenario.fronts as usize).map(Participant::Front);
    let servers = (0..scenario.servers.rates.len()).map(Participant::Server);
    let participants: Vec<_> = fronts.chain(servers).chain([Participant::List]).collect();
    let (from, to): (Vec<_>, Vec<_>) = participants.into_iter().partition(|_| rng.random_bool(0.35));
    FaultKind::Sever { from, to, one_way: rng.random_bool(0.4) }
}

fn random_fault(scenario: &Scenario, rng: &mut Pcg64Mcg) -> ScheduledFault {
    let run_length = (scenario.seconds * 1e6) as Micros;
    let server = rng.random_range(0..scenario.servers.rates.len());
    let front = rng.random_range(0..scenario.fronts as usize);
    let back_after = rng.random_bool(0.8).then(|| rng.random_range(100 * MS..3_000 * MS));
    let kind = match rng.random_range(0..16) {
        0 | 1 => {
            let by_list = rng.random_bool(0.7);
            FaultKind::Drain { server, by_list, by_dpr: !by_list || rng.random_bool(0.5), back_after }
        }
        2 | 3 => FaultKind::Die { server, back_after },
        4 | 5 => FaultKind::Hang { server },
        6 => FaultKind::Slow { server, factor: rng.random_range(1.5..6.0) },
        7 => FaultKind::Pause { server },
        8 => FaultKind::LoseAnswers { server, share: rng.random_range(0.05..0.5) },
        9 => FaultKind::LinkDown { server },
        10 => FaultKind::LinkStalled { server },
        11 => FaultKind::Burst { factor: rng.random_range(1.2..2.5) },
        12 => FaultKind::Reconnect { front },
        13 => FaultKind::Stall { front },
        14 => FaultKind::MessagesLost { share: rng.random_range(0.2..1.0) },
        _ => FaultKind::Cut { share: rng.random_range(0.1..1.0) },
    };
    let at = rng.random_range(0..run_length.max(1));
    ScheduledFault { at, duration: rng.random_range(50 * MS..3_000 * MS), kind }
}
