//! Large model check: two circuits, up to three calls, and one lost signal, duplicate or restart, with
//! ordered and reordered signals.
//!
//! `cargo run --release -p baydrift-trunk --example check -- [MAX_STATES]`

#[path = "../tests/model/mod.rs"]
mod model;

use model::TrunkModel;
use stateright::{Checker, HasDiscoveries, Model};

fn main() {
    let max_states = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(3_000_000);
    let base = TrunkModel { circuits: 2, calls: 3, ..TrunkModel::small() };
    let cases = [
        ("one lost", TrunkModel { losses: 1, timer_expiries: 1, ..base.clone() }),
        ("one duplicated", TrunkModel { losses: 0, duplicates: 1, timer_expiries: 1, ..base.clone() }),
        ("one restart", TrunkModel { losses: 0, restarts: 1, timer_expiries: 1, ..base.clone() }),
        (
            "reordered, one lost, one duplicated",
            TrunkModel { duplicates: 1, reorder: true, timer_expiries: 0, calls: 2, ..base.clone() },
        ),
    ];
    let mut failed = false;
    for (name, model) in cases {
        let began = std::time::Instant::now();
        let threads = std::thread::available_parallelism().map_or(1, usize::from);
        let checker = model.checker().threads(threads).target_state_count(max_states);
        // Depth-first search keeps one pending path per thread instead of the whole frontier in memory.
        let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_dfs().join();
        println!(
            "{name}: {} states, {} unique, depth {}, {} s{}",
            checker.state_count(),
            checker.unique_state_count(),
            checker.max_depth(),
            began.elapsed().as_secs(),
            if checker.state_count() >= max_states { " (bounded, not complete)" } else { "" }
        );
        for (property, path) in checker.discoveries() {
            if !["dual seizure occurs", "a call is established"].contains(&property) {
                failed = true;
                println!("  VIOLATED {property}: {:?}", path.into_actions());
            }
        }
    }
    std::process::exit(i32::from(failed));
}
