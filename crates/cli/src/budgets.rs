//! `baydrift budgets`: fleets that share a budget, in virtual time.

use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};

use baydrift_budget::{BorrowerConfig, EscrowConfig};
use baydrift_emulator::{
    random_budget_faults, simulate_budget, BudgetFault, BudgetSharing, BudgetSpec, BudgetTally, WaySpec,
};

use crate::seeds::on_all_cores;

const S: u64 = 1_000_000;

#[derive(clap::Args)]
pub struct Args {
    /// Fronts by the settings.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(2..=1000))]
    fronts: u32,
    /// Units of the budget, each spent once a second.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    units: u32,
    /// Seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// Units wanted a second, over all fronts, as a multiple of the budget.
    #[arg(long, default_value_t = 2.0)]
    wanted: f64,
    /// Share of fronts that carry nine tenths of what is wanted.
    #[arg(long, default_value_t = 0.1)]
    busy: f64,
    /// Share of fronts that are down throughout.
    #[arg(long, default_value_t = 0.33)]
    down: f64,
    /// Share of datagrams between fronts that are lost.
    #[arg(long, default_value_t = 0.05)]
    lost: f64,
    /// A loan lasts so many milliseconds.
    #[arg(long, default_value_t = 4_000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    lease_ms: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Plays so many seeds with drawn faults instead: deaths, standstills, deaf and mute fronts, clocks that jump.
    #[arg(long)]
    seeds: Option<u64>,
}

fn terms(args: &Args) -> EscrowConfig {
    EscrowConfig { lease: args.lease_ms * 1_000, ..EscrowConfig::default() }
}

fn spec(args: &Args, seed: u64, sharing: BudgetSharing) -> BudgetSpec {
    let busy = ((f64::from(args.fronts) * args.busy).round() as u32).clamp(1, args.fronts - 1);
    let all = args.wanted * f64::from(args.units);
    // Busy ones first by place, and places are mixed with what is down by a step that shares no factor with most fleets.
    let wanted = |front: u32| {
        let place = front * 7 % args.fronts;
        if place < busy {
            all * 0.9 / f64::from(busy)
        } else {
            all * 0.1 / f64::from(args.fronts - busy)
        }
    };
    let down = (f64::from(args.fronts) * args.down) as u32;
    let dead = (0..args.fronts).filter(|front| front * 11 % args.fronts < down);
    BudgetSpec {
        fronts: args.fronts,
        units: args.units,
        config: terms(args),
        borrower: BorrowerConfig::default(),
        way: WaySpec {
            delay: 2_000,
            jitter: 3_000,
            lost: args.lost,
            doubled: 0.02,
            reordered: 0.02,
            rate: 0,
        },
        sharing,
        demand: (0..args.fronts).map(wanted).collect(),
        duration: args.seconds * S,
        start_spread: S / 2,
        faults: dead.map(|front| (0, front, BudgetFault::Crash(None))).collect(),
        drift_ppm: 100,
        seed,
    }
}

fn line(name: &str, args: &Args, tally: &BudgetTally) {
    let each = args.seconds as f64 * f64::from(args.fronts);
    println!(
        "  {name:<22} used {:.3} of what could be, {:>4} spent in a window at most, of {}; {:.2} words and {:.0} bytes a front and second",
        tally.utilization,
        tally.max_in_window,
        args.units,
        tally.messages as f64 / each,
        tally.bytes as f64 / each
    );
}

pub fn run(args: &Args) -> miette::Result<ExitCode> {
    if let Err(error) = terms(args).check() {
        eprintln!("baydrift budgets: {error}");
        return Ok(ExitCode::from(2));
    }
    match args.seeds {
        Some(seeds) => many(args, seeds),
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
            let ways = [
                ("fixed shares", BudgetSharing::Fixed),
                ("by the number believed", BudgetSharing::LiveCount),
                ("units lent", BudgetSharing::Escrow),
                ("one that knows all", BudgetSharing::Oracle),
            ];
            let mut over = false;
            for (name, sharing) in ways {
                let tally = simulate_budget(&spec(args, args.seed, sharing));
                line(name, args, &tally);
                over |= sharing == BudgetSharing::Escrow && tally.max_in_window > args.units as usize;
            }
            Ok(if over { ExitCode::FAILURE } else { ExitCode::SUCCESS })
        }
    }
}

/// What drawn faults came to.
#[derive(Default)]
struct Sum {
    over: u64,
    spent: u64,
    used: f64,
    most: usize,
}

/// Drawn faults, on all cores.
fn many(args: &Args, seeds: u64) -> miette::Result<ExitCode> {
    let sum = Mutex::new(Sum::default());
    let began = std::time::Instant::now();
    let threads = on_all_cores(args.seed, seeds, |seed| {
        let mut spec = spec(args, seed, BudgetSharing::Escrow);
        spec.faults = random_budget_faults(args.fronts, spec.duration, spec.config.lease, seed);
        let tally = simulate_budget(&spec);
        let over = tally.max_in_window > args.units as usize;
        let mut sum = sum.lock().unwrap_or_else(PoisonError::into_inner);
        sum.over += u64::from(over);
        sum.spent += tally.spent;
        sum.used += tally.utilization;
        sum.most = sum.most.max(tally.max_in_window);
        if over {
            println!("  seed {seed}: {} units in a window, of {}", tally.max_in_window, args.units);
        }
        Ok(())
    })?;
    let Sum { over, spent, used, most } = sum.into_inner().unwrap_or_else(PoisonError::into_inner);
    println!(
        "{seeds} seeds of {} fronts and {} units, {} s each with drawn faults: {over} over the bound, {most} at most; {spent} spent, {:.3} used on the mean; {:.0} s on {threads} threads",
        args.fronts,
        args.units,
        args.seconds,
        used / seeds.max(1) as f64,
        began.elapsed().as_secs_f64()
    );
    Ok(if over == 0 && spent > 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
