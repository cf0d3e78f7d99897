//! `baydrift lives`: simulates a fleet's membership protocol, in virtual time.

use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};

use baydrift_emulator::{
    random_membership_faults, simulate_membership, MembershipFault, MembershipSpec, MembershipTally,
    NetworkPathSpec,
};
use baydrift_fleet::MembershipConfig;

use crate::seeds::for_each_seed;

const MICROS_PER_SECOND: u64 = 1_000_000;
/// Time of the fault in each case of the printed table, in microseconds.
const FAULT_TIME: u64 = 30 * MICROS_PER_SECOND;

#[derive(clap::Args)]
pub struct Args {
    /// Number of fronts in the settings.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(2..=1000))]
    fronts: u32,
    /// Simulated time in seconds; faults begin at 30 s.
    #[arg(long, default_value_t = 90, value_parser = clap::value_parser!(u64).range(60..=3600))]
    seconds: u64,
    /// Share of datagrams between fronts that are lost, from 0 to below 1.
    #[arg(long, default_value_t = 0.05, value_parser = parse_share)]
    lost: f64,
    /// Random seed; the first of them with --seeds.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Run this many seeds with random faults instead: crashes, clocks set back, stalls, fronts that cannot
    /// receive or send, network partitions.
    #[arg(long)]
    seeds: Option<u64>,
}

fn parse_share(text: &str) -> Result<f64, String> {
    let share: f64 = text.parse().map_err(|_| format!("{text} is not a number"))?;
    (0.0..1.0)
        .contains(&share)
        .then_some(share)
        .ok_or_else(|| "a share must be at least 0 and below 1".to_owned())
}

fn spec(args: &Args, seed: u64, troubles: Vec<(u64, u32, MembershipFault)>) -> MembershipSpec {
    MembershipSpec {
        fronts: args.fronts,
        config: MembershipConfig::default(),
        way: NetworkPathSpec {
            delay: 2_000,
            jitter: 10_000,
            lost: args.lost,
            doubled: 0.02,
            reordered: 0.02,
            rate: 0,
        },
        duration: args.seconds * MICROS_PER_SECOND,
        faults: troubles,
        seed,
    }
}

fn print_tally(name: &str, args: &Args, fault_end: u64, tally: &MembershipTally) {
    let front_seconds = args.seconds as f64 * f64::from(args.fronts);
    let convergence =
        tally.converged_after(fault_end).map_or("not".to_owned(), |us| format!("{:.1} s", us as f64 / 1e6));
    println!(
        "  {name:<34} all right after {convergence:>7}; {:.2} words and {:.0} bytes a front and second, {} at most; {} looks at whom one wronged",
        tally.messages as f64 / front_seconds,
        tally.bytes as f64 / front_seconds,
        tally.max_message_bytes,
        tally.false_positives
    );
}

pub fn run(args: &Args) -> miette::Result<ExitCode> {
    if let Some(seeds) = args.seeds {
        return run_seeds(args, seeds);
    }
    println!(
        "{} fronts, {:.0}% of datagrams lost, {} s, virtual time; what happens, happens after {} s",
        args.fronts,
        args.lost * 100.0,
        args.seconds,
        FAULT_TIME / MICROS_PER_SECOND
    );
    let fault_on_share = |share: f64, trouble: MembershipFault| {
        let count = (f64::from(args.fronts) * share).round() as u32;
        (0..count.max(1)).map(|front| (FAULT_TIME, front, trouble)).collect::<Vec<_>>()
    };
    let cases = [
        ("all start within a second", 0, Vec::new()),
        ("one dies", FAULT_TIME, fault_on_share(0.0, MembershipFault::Crash(None, 0))),
        (
            "one dies and is back in 50 ms",
            FAULT_TIME,
            fault_on_share(0.0, MembershipFault::Crash(Some(50_000), 0)),
        ),
        (
            "the same, its clock an hour back",
            FAULT_TIME,
            fault_on_share(0.0, MembershipFault::Crash(Some(50_000), -36_000)),
        ),
        ("a third dies", FAULT_TIME, fault_on_share(0.33, MembershipFault::Crash(None, 0))),
        (
            "seven in ten die, back in 50 ms",
            FAULT_TIME,
            fault_on_share(0.7, MembershipFault::Crash(Some(50_000), 0)),
        ),
        (
            "a third stands still for 8 s",
            FAULT_TIME + 8 * MICROS_PER_SECOND,
            fault_on_share(0.33, MembershipFault::Pause(8 * MICROS_PER_SECOND)),
        ),
        (
            "cut in two for 10 s",
            FAULT_TIME + 10 * MICROS_PER_SECOND,
            vec![(FAULT_TIME, args.fronts / 2, MembershipFault::Partition(10 * MICROS_PER_SECOND))],
        ),
    ];
    for (name, fault_end, troubles) in cases {
        print_tally(name, args, fault_end, &simulate_membership(&spec(args, args.seed, troubles)));
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs seeds with random faults on all cores; all faults are over a minute before the end.
fn run_seeds(args: &Args, seeds: u64) -> miette::Result<ExitCode> {
    let faults_until = (args.seconds.saturating_sub(68) * MICROS_PER_SECOND).max(4 * MICROS_PER_SECOND);
    // Seeds that did not converge, datagrams sent, datagrams rejected.
    let totals = Mutex::new((0_u64, 0_u64, 0_u64));
    let started = std::time::Instant::now();
    let threads = for_each_seed(args.seed, seeds, |seed| {
        let tally =
            simulate_membership(&spec(args, seed, random_membership_faults(args.fronts, faults_until, seed)));
        let converged = tally.converged_after(faults_until + 8 * MICROS_PER_SECOND).is_some();
        let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
        totals.0 += u64::from(!converged);
        totals.1 += tally.messages;
        totals.2 += tally.rejected_messages;
        if !converged {
            println!("  seed {seed}: not all beliefs are right at the end");
        }
        Ok(())
    })?;
    let (wrong, words, faults) = totals.into_inner().unwrap_or_else(PoisonError::into_inner);
    println!(
        "{seeds} seeds of {} fronts, {} s each with drawn faults: {wrong} with a wrong belief at the end; {words} words, {faults} turned down; {:.0} s on {threads} threads",
        args.fronts,
        args.seconds,
        started.elapsed().as_secs_f64()
    );
    Ok(if wrong == 0 && words > 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
