//! Troubles drawn by chance, for wide nets: the script's fronts, servers and callers under whatever comes.

use baydrift::interface::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::script::{Day, Party, Start, Trouble, What};

const MS: Micros = 1_000;

/// The day with other troubles, all drawn by its seed: between two and eight, of all kinds, at any time.
pub fn drawn(day: &Day) -> Day {
    let mut rng = Pcg64Mcg::seed_from_u64(day.seed ^ 0xd1ce);
    let count = rng.random_range(2..=8);
    let mut troubles: Vec<_> = (0..count).map(|_| trouble(day, &mut rng)).collect();
    troubles.sort_by_key(|trouble| trouble.at);
    Day { troubles, ..day.clone() }
}

/// The day with other troubles for processes, all drawn by its seed: between eight and twelve, two of them at once,
/// and one in the middle of what another left behind.
pub fn drawn_for_processes(day: &Day) -> Day {
    let mut rng = Pcg64Mcg::seed_from_u64(day.seed ^ 0xf1ee7);
    let count = rng.random_range(8..=12);
    let mut troubles: Vec<_> = (0..count).map(|_| of_processes(day, &mut rng)).collect();
    troubles[1].at = troubles[0].at;
    troubles[3].at = troubles[2].at + troubles[2].span + 50 * MS;
    troubles.sort_by_key(|trouble| trouble.at);
    Day { troubles, ..day.clone() }
}

fn of_processes(day: &Day, rng: &mut Pcg64Mcg) -> Trouble {
    if rng.random_bool(0.4) {
        return trouble(day, rng);
    }
    let server = rng.random_range(0..day.servers.rates.len());
    let front = rng.random_range(0..day.fronts as usize);
    // One that is back at once, or after a while.
    let back = if rng.random_bool(0.5) { 50 * MS } else { rng.random_range(100 * MS..3_000 * MS) };
    let what = match rng.random_range(0..9) {
        0..=2 => What::Kill { front, back_after: Some(back), start: Start::default() },
        3 => What::Restart { front, back_after: Some(back), start: Start::default() },
        4 => What::Crashing { front, times: rng.random_range(2..=3) },
        5 => What::Freeze { server },
        6 => What::Reset { server },
        _ => severed(day, rng),
    };
    let length = (day.seconds * 1e6) as Micros;
    Trouble { at: rng.random_range(0..length.max(1)), span: rng.random_range(50 * MS..3_000 * MS), what }
}

/// Some processes do not hear some others, or neither hears the other.
fn severed(day: &Day, rng: &mut Pcg64Mcg) -> What {
    let fronts = (0..day.fronts as usize).map(Party::Front);
    let servers = (0..day.servers.rates.len()).map(Party::Server);
    let all: Vec<_> = fronts.chain(servers).chain([Party::List]).collect();
    let (from, to): (Vec<_>, Vec<_>) = all.into_iter().partition(|_| rng.random_bool(0.35));
    What::Sever { from, to, one_way: rng.random_bool(0.4) }
}

fn trouble(day: &Day, rng: &mut Pcg64Mcg) -> Trouble {
    let length = (day.seconds * 1e6) as Micros;
    let server = rng.random_range(0..day.servers.rates.len());
    let front = rng.random_range(0..day.fronts as usize);
    let back_after = rng.random_bool(0.8).then(|| rng.random_range(100 * MS..3_000 * MS));
    let what = match rng.random_range(0..16) {
        0 | 1 => {
            let by_list = rng.random_bool(0.7);
            What::Drain { server, by_list, by_dpr: !by_list || rng.random_bool(0.5), back_after }
        }
        2 | 3 => What::Die { server, back_after },
        4 | 5 => What::Hang { server },
        6 => What::Slow { server, factor: rng.random_range(1.5..6.0) },
        7 => What::Pause { server },
        8 => What::LoseAnswers { server, share: rng.random_range(0.05..0.5) },
        9 => What::LinkDown { server },
        10 => What::LinkStalled { server },
        11 => What::Burst { factor: rng.random_range(1.2..2.5) },
        12 => What::Reconnect { front },
        13 => What::Stall { front },
        14 => What::MessagesLost { share: rng.random_range(0.2..1.0) },
        _ => What::Cut { share: rng.random_range(0.1..1.0) },
    };
    let at = rng.random_range(0..length.max(1));
    Trouble { at, span: rng.random_range(50 * MS..3_000 * MS), what }
}
