//! `baydrift ramps`: simulates the load that a fleet sends to a server during its warm-up, in virtual time.

use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};

use baydrift_emulator::{simulate_warm_up, WarmUpSpec, WarmUpStart};

use crate::seeds::for_each_seed;

/// Server starts that one seed simulates, one after the other.
const STARTS_PER_SEED: u32 = 50;

#[derive(clap::Args)]
pub struct Args {
    /// Number of running fronts.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u32).range(2..=1000))]
    fronts: u32,
    /// Number of fronts in the settings, where it differs from --fronts.
    #[arg(long = "stated", value_name = "STATED", value_parser = clap::value_parser!(u32).range(2..=1000))]
    configured_fronts: Option<u32>,
    /// Capacity of a warm server, in set-ups a second.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Offered load as a multiple of the capacity.
    #[arg(long, default_value_t = 0.8)]
    load: f64,
    /// Factor on the offered load in the first 3 s after a start.
    #[arg(long, default_value_t = 1.5)]
    surge: f64,
    /// Ratio of traffic between the busiest front and the least busy one.
    #[arg(long, default_value_t = 1.0)]
    skew: f64,
    /// Share of fronts that restart in the last second before the server does, from 0 to 1.
    #[arg(long, default_value_t = 0.0)]
    restarted: f64,
    /// Number of server starts to simulate, rounded up to a multiple of 50.
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    starts: u32,
    /// The first random seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn spec(args: &Args, seed: u64) -> WarmUpSpec {
    WarmUpSpec {
        fronts: args.fronts,
        configured_fronts: args.configured_fronts.unwrap_or(args.fronts),
        rate: args.rate,
        load: args.load,
        surge: args.surge,
        skew: args.skew,
        restarted: args.restarted,
        cold_from: 0.4,
        warm_up_time: 11_000_000,
        overload_multiple: 2.0,
        overload_window: 1_500_000,
        starts: STARTS_PER_SEED,
        seed,
    }
}

pub fn run(args: &Args) -> miette::Result<ExitCode> {
    let all_positive =
        [args.rate, args.load, args.surge, args.skew].iter().all(|value| value.is_finite() && *value > 0.0);
    if !all_positive || !(0.0..=1.0).contains(&args.restarted) {
        eprintln!(
            "baydrift ramps: --rate, --load, --surge and --skew must be above 0, --restarted from 0 to 1"
        );
        return Ok(ExitCode::from(2));
    }
    let started = std::time::Instant::now();
    let results = Mutex::new(Vec::new());
    let threads = for_each_seed(args.seed, u64::from(args.starts.div_ceil(STARTS_PER_SEED)), |seed| {
        let starts = simulate_warm_up(&spec(args, seed));
        results.lock().unwrap_or_else(PoisonError::into_inner).extend(starts);
        Ok(())
    })?;
    let starts: Vec<WarmUpStart> = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    let mut excess: Vec<_> = starts.iter().map(|start| start.excess).collect();
    excess.sort_by(f64::total_cmp);
    let count = |matches: &dyn Fn(&WarmUpStart) -> bool| starts.iter().filter(|start| matches(start)).count();
    let mean =
        |value: &dyn Fn(&WarmUpStart) -> f64| starts.iter().map(value).sum::<f64>() / starts.len() as f64;
    let quantile = |share: f64| excess[((starts.len() - 1) as f64 * share) as usize];
    let (over, far_over) = (count(&|start| start.over_limit), count(&|start| start.over_wide_limit));
    println!(
        "{} starts, {} fronts of {} by the settings, {} set-ups/s warm, load {}, surge {}, skew {}, {} restarted: over N + 2 roots + 2 in {over}, 3 roots + 3 in {far_over}; largest excess in roots of N: median {:.2}, nine in ten {:.2}, 99 in 100 {:.2}, 999 in 1,000 {:.2}, worst {:.2}; {:.3} of the budget used, {:.3} of what was asked for served there; {:.0} s on {threads} threads",
        starts.len(),
        args.fronts,
        args.configured_fronts.unwrap_or(args.fronts),
        args.rate,
        args.load,
        args.surge,
        args.skew,
        args.restarted,
        quantile(0.5),
        quantile(0.9),
        quantile(0.99),
        quantile(0.999),
        quantile(1.0),
        mean(&|start| start.utilization),
        mean(&|start| start.served_share),
        started.elapsed().as_secs_f64()
    );
    Ok(if over == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
