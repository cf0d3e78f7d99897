//! Many seeds on all cores.

use std::sync::atomic::{AtomicU64, Ordering};

/// Plays so many seeds from the first on, each on whichever thread is free; the first error ends its thread and is told.
/// How many threads there were.
pub fn on_all_cores(
    first: u64,
    seeds: u64,
    play: impl Fn(u64) -> miette::Result<()> + Sync,
) -> miette::Result<usize> {
    let next = AtomicU64::new(first);
    let end = first.saturating_add(seeds);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let failed = std::thread::scope(|scope| {
        let work = || -> miette::Result<()> {
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= end {
                    return Ok(());
                }
                play(seed)?;
            }
        };
        let all: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        all.into_iter().find_map(|thread| thread.join().ok()?.err())
    });
    failed.map_or(Ok(threads), Err)
}
