//! `baydrift budgets`: simulates a fleet of fronts that shares one budget, in virtual time.

use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};

use baydrift_budget::{BorrowerConfig, EscrowConfig};
use baydrift_emulator::{
    random_budget_faults, simulate_budget, BudgetFault, BudgetSharing, BudgetSpec, BudgetTally,
    NetworkPathSpec,
};

use crate::seeds::for_each_seed;

const MICROS_PER_SECOND: u64 = 1_000_000;

#[derive(clap::Args)]
pub struct Args {
    /// Number of fronts in the settings.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(2..=1000))]
    fronts: u32,
    /// Units in the budget; each can be spent once a second.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    units: u32,
    /// Simulated time in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// Demand over all fronts in units a second, as a multiple of the budget.
    #[arg(long, default_value_t = 2.0)]
    wanted: f64,
    /// Share of fronts that account for nine tenths of the demand, from 0 to 1.
    #[arg(long, default_value_t = 0.1)]
    busy: f64,
    /// Share of fronts that are down for the whole run, from 0 to 1.
    #[arg(long, default_value_t = 0.33)]
    down: f64,
    /// Share of datagrams between fronts that are lost, from 0 to 1.
    #[arg(long, default_value_t = 0.05)]
    lost: f64,
    /// Lease of a loan, in milliseconds.
    #[arg(long, default_value_t = 4_000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    lease_ms: u64,
    /// Random seed; the first of them with --seeds.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Run this many seeds with random faults instead: crashes, stalls, fronts that cannot receive or send,
    /// clock steps.
    #[arg(long)]
    seeds: Option<u64>,
}

fn escrow_config(args: &Args) -> EscrowConfig {
    EscrowConfig { lease: args.lease_ms * 1_000, ..EscrowConfig::default() }
}

fn spec(args: &Args, seed: u64, sharing: BudgetSharing) -> BudgetSpec {
    let busy = ((f64::from(args.fronts) * args.busy).round() as u32).clamp(1, args.fronts - 1);
    let demand = args.wanted * f64::from(args.units);
    // The steps 7 and 11 are coprime to most fleet sizes, so that both busy and idle fronts are among those
    // that are down.
    let wanted = |front: u32| {
        let rank = front * 7 % args.fronts;
        if rank < busy {
            demand * 0.9 / f64::from(busy)
        } else {
            demand * 0.1 / f64::from(args.fronts - busy)
        }
    };
    let down = (f64::from(args.fronts) * args.down) as u32;
    let dead = (0..args.fronts).filter(|front| front * 11 % args.fronts < down);
    BudgetSpec {
        fronts: args.fronts,
        units: args.units,
        config: escrow_config(args),
        borrower: BorrowerConfig::default(),
        way: NetworkPathSpec {
            delay: 2_000,
            jitter: 3_000,
            lost: args.lost,
            doubled: 0.02,
            reordered: 0.02,
            rate: 0,
        },
        sharing,
        demand: (0..args.fronts).map(wanted).collect(),
        duration: args.seconds * MICROS_PER_SECOND,
        start_spread: MICROS_PER_SECOND / 2,
        faults: dead.map(|front| (0, front, BudgetFault::Crash(None))).collect(),
        drift_ppm: 100,
        seed,
    }
}

fn print_tally(name: &str, args: &Args, tally: &BudgetTally) {
    let front_seconds = args.seconds as f64 * f64::from(args.fronts);
    println!(
        "  {name:<22} used {:.3} of what could be, {:>4} spent in a window at most, of {}; {:.2} words and {:.0} bytes a front and second",
        tally.utilization,
        tally.max_in_window,
        args.units,
        tally.messages as f64 / front_seconds,
        tally.bytes as f64 / front_seconds
    );
}

pub fn run(args: &Args) -> miette::Result<ExitCode> {
    if let Err(error) = escrow_config(args).check() {
        eprintln!("baydrift budgets: {error}");
        return Ok(ExitCode::from(2));
    }
    match args.seeds {
        Some(seeds) => run_seeds(args, seeds),
        None => {
            println!(
                "{} fronts, {:.0}% of them down, {} units a second, {:.1} of it wanted, nine tenths by {:.0}% of the fronts, {} s, virtual time",
                args.fronts,
                args.down * 100.0,
                args.units,
                args.wanted,
                args.busy * 100.0,
                args.seconds
            );
            let modes = [
                ("fixed shares", BudgetSharing::Fixed),
                ("by the number believed", BudgetSharing::LiveCount),
                ("units lent", BudgetSharing::Escrow),
                ("one that knows all", BudgetSharing::Oracle),
            ];
            let mut exceeded = false;
            for (name, sharing) in modes {
                let tally = simulate_budget(&spec(args, args.seed, sharing));
                print_tally(name, args, &tally);
                exceeded |= sharing == BudgetSharing::Escrow && tally.max_in_window > args.units as usize;
            }
            Ok(if exceeded { ExitCode::FAILURE } else { ExitCode::SUCCESS })
        }
    }
}

/// Totals over all seeds.
#[derive(Default)]
struct SeedTotals {
    exceeded: u64,
    spent: u64,
    used: f64,
    most: usize,
}

/// Runs seeds with random faults on all cores.
fn run_seeds(args: &Args, seeds: u64) -> miette::Result<ExitCode> {
    let totals = Mutex::new(SeedTotals::default());
    let started = std::time::Instant::now();
    let threads = for_each_seed(args.seed, seeds, |seed| {
        let mut spec = spec(args, seed, BudgetSharing::Escrow);
        spec.faults = random_budget_faults(args.fronts, spec.duration, spec.config.lease, seed);
        let tally = simulate_budget(&spec);
        let exceeded = tally.max_in_window > args.units as usize;
        let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
        totals.exceeded += u64::from(exceeded);
        totals.spent += tally.spent;
        totals.used += tally.utilization;
        totals.most = totals.most.max(tally.max_in_window);
        if exceeded {
            println!("  seed {seed}: {} units in a window, of {}", tally.max_in_window, args.units);
        }
        Ok(())
    })?;
    let SeedTotals { exceeded, spent, used, most } =
        totals.into_inner().unwrap_or_else(PoisonError::into_inner);
    println!(
        "{seeds} seeds of {} fronts and {} units, {} s each with drawn faults: {exceeded} over the bound, {most} at most; {spent} spent, {:.3} used on the mean; {:.0} s on {threads} threads",
        args.fronts,
        args.units,
        args.seconds,
        used / seeds.max(1) as f64,
        started.elapsed().as_secs_f64()
    );
    Ok(if exceeded == 0 && spent > 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
