//! Runs a simulation for many seeds, in parallel on all cores.

use std::sync::atomic::{AtomicU64, Ordering};

/// Calls `run` once for each of the `count` seeds from `first` on, each on the next free thread. Returns the
/// number of threads.
///
/// # Errors
/// An error of `run` ends its thread, not the others; the first in thread order is returned after all threads
/// ended.
pub fn for_each_seed(
    first: u64,
    count: u64,
    run: impl Fn(u64) -> miette::Result<()> + Sync,
) -> miette::Result<usize> {
    let next_seed = AtomicU64::new(first);
    let end = first.saturating_add(count);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let error = std::thread::scope(|scope| {
        let worker = || -> miette::Result<()> {
            loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= end {
                    return Ok(());
                }
                run(seed)?;
            }
        };
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(worker)).collect();
        workers.into_iter().find_map(|worker| worker.join().ok()?.err())
    });
    error.map_or(Ok(threads), Err)
}
