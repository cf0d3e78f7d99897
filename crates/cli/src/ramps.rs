//! `baydrift ramps`: what a fleet sends to a server that starts cold, in virtual time.

use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};

use baydrift_emulator::{simulate_warm_up, WarmUpSpec, WarmUpStart};

use crate::seeds::on_all_cores;

/// Starts that one seed plays, one after the other.
const EACH: u32 = 50;

#[derive(clap::Args)]
pub struct Args {
    /// Fronts that run.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u32).range(2..=1000))]
    fronts: u32,
    /// Fronts by the settings, where that is another number.
    #[arg(long, value_parser = clap::value_parser!(u32).range(2..=1000))]
    stated: Option<u32>,
    /// Set-ups a second that a warm server can do.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// What is asked for of that.
    #[arg(long, default_value_t = 0.8)]
    load: f64,
    /// What is asked for in the first 3 s after a start, as a multiple.
    #[arg(long, default_value_t = 1.5)]
    surge: f64,
    /// The busiest front has so many times the traffic of the quietest.
    #[arg(long, default_value_t = 1.0)]
    skew: f64,
    /// Share of fronts that start anew within a second before the server does.
    #[arg(long, default_value_t = 0.0)]
    restarted: f64,
    /// Starts of a server.
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    starts: u32,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn spec(args: &Args, seed: u64) -> WarmUpSpec {
    WarmUpSpec {
        fronts: args.fronts,
        configured_fronts: args.stated.unwrap_or(args.fronts),
        rate: args.rate,
        load: args.load,
        surge: args.surge,
        skew: args.skew,
        restarted: args.restarted,
        cold_from: 0.4,
        warm_up_time: 11_000_000,
        overload_multiple: 2.0,
        overload_window: 1_500_000,
        starts: EACH,
        seed,
    }
}

pub fn run(args: &Args) -> miette::Result<ExitCode> {
    let positive = [args.rate, args.load, args.surge, args.skew].iter().all(|x| x.is_finite() && *x > 0.0);
    if !positive || !(0.0..=1.0).contains(&args.restarted) {
        eprintln!("baydrift ramps: rate, load, surge and skew are above 0, restarted is from 0 to 1");
        return Ok(ExitCode::from(2));
    }
    let began = std::time::Instant::now();
    let all = Mutex::new(Vec::new());
    let threads = on_all_cores(args.seed, u64::from(args.starts.div_ceil(EACH)), |seed| {
        let starts = simulate_warm_up(&spec(args, seed));
        all.lock().unwrap_or_else(PoisonError::into_inner).extend(starts);
        Ok(())
    })?;
    let starts: Vec<WarmUpStart> = all.into_inner().unwrap_or_else(PoisonError::into_inner);
    let mut excess: Vec<_> = starts.iter().map(|start| start.excess).collect();
    excess.sort_by(f64::total_cmp);
    let count = |fits: &dyn Fn(&WarmUpStart) -> bool| starts.iter().filter(|start| fits(start)).count();
    let mean = |of: &dyn Fn(&WarmUpStart) -> f64| starts.iter().map(of).sum::<f64>() / starts.len() as f64;
    let at = |share: f64| excess[((starts.len() - 1) as f64 * share) as usize];
    let (over, far) = (count(&|start| start.over_limit), count(&|start| start.over_wide_limit));
    println!(
        "{} starts, {} fronts of {} by the settings, {} set-ups/s warm, load {}, surge {}, skew {}, {} restarted: over N + 2 roots + 2 in {over}, 3 roots + 3 in {far}; largest excess in roots of N: median {:.2}, nine in ten {:.2}, 99 in 100 {:.2}, 999 in 1,000 {:.2}, worst {:.2}; {:.3} of the budget used, {:.3} of what was asked for served there; {:.0} s on {threads} threads",
        starts.len(), args.fronts, args.stated.unwrap_or(args.fronts), args.rate, args.load, args.surge, args.skew,
        args.restarted, at(0.5), at(0.9), at(0.99), at(0.999), at(1.0), mean(&|s| s.utilization), mean(&|s| s.served_share),
        began.elapsed().as_secs_f64()
    );
    Ok(if over == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
