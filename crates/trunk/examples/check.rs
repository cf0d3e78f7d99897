//! The large check: two circuits, up to three calls, a loss, a copy and a restart, in order and out of order.
//!
//! `cargo run --release -p baydrift-trunk --example check -- [MOST_STATES]`

#[path = "../tests/model/mod.rs"]
mod model;

use model::Ends;
use stateright::{Checker, HasDiscoveries, Model};

fn main() {
    let most = std::env::args().nth(1).and_then(|most| most.parse().ok()).unwrap_or(3_000_000);
    let base = Ends { circuits: 2, calls: 3, ..Ends::small() };
    let cases = [
        ("one lost", Ends { losses: 1, wakes: 1, ..base.clone() }),
        ("one doubled", Ends { losses: 0, doubles: 1, wakes: 1, ..base.clone() }),
        ("one restart", Ends { losses: 0, restarts: 1, wakes: 1, ..base.clone() }),
        (
            "out of order, one lost, one doubled",
            Ends { doubles: 1, reorder: true, wakes: 0, calls: 2, ..base.clone() },
        ),
    ];
    let mut failed = false;
    for (name, ends) in cases {
        let began = std::time::Instant::now();
        let threads = std::thread::available_parallelism().map_or(1, usize::from);
        let checker = ends.checker().threads(threads).target_state_count(most);
        // Depth first: what waits is one path a thread, not a whole width of states.
        let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_dfs().join();
        println!(
            "{name}: {} states, {} unique, depth {}, {} s{}",
            checker.state_count(),
            checker.unique_state_count(),
            checker.max_depth(),
            began.elapsed().as_secs(),
            if checker.state_count() >= most { " (bounded, not complete)" } else { "" }
        );
        for (property, path) in checker.discoveries() {
            if !["both ends seize one circuit", "a call stands"].contains(&property) {
                failed = true;
                println!("  BROKEN {property}: {:?}", path.into_actions());
            }
        }
    }
    std::process::exit(i32::from(failed));
}
