//! `baydrift lives`: fleets that learn who of them lives, in virtual time.

use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};

use baydrift_emulator::{
    random_membership_faults, simulate_membership, MembershipFault, MembershipSpec, MembershipTally, WaySpec,
};
use baydrift_fleet::MembershipConfig;

use crate::seeds::on_all_cores;

const S: u64 = 1_000_000;
/// What is told in the table happens then.
const AT: u64 = 30 * S;

#[derive(clap::Args)]
pub struct Args {
    /// Fronts by the settings.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(2..=1000))]
    fronts: u32,
    /// Seconds; what happens does so after 30.
    #[arg(long, default_value_t = 90, value_parser = clap::value_parser!(u64).range(60..=3600))]
    seconds: u64,
    /// Share of datagrams between fronts that are lost.
    #[arg(long, default_value_t = 0.05, value_parser = share)]
    lost: f64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Plays so many seeds with drawn faults instead: deaths, clocks set back, standstills, deaf and mute fronts, cuts.
    #[arg(long)]
    seeds: Option<u64>,
}

fn share(text: &str) -> Result<f64, String> {
    let share: f64 = text.parse().map_err(|_| format!("{text} is no number"))?;
    (0.0..1.0).contains(&share).then_some(share).ok_or_else(|| "a share is from 0 up to 1".to_owned())
}

fn spec(args: &Args, seed: u64, troubles: Vec<(u64, u32, MembershipFault)>) -> MembershipSpec {
    MembershipSpec {
        fronts: args.fronts,
        config: MembershipConfig::default(),
        way: WaySpec {
            delay: 2_000,
            jitter: 10_000,
            lost: args.lost,
            doubled: 0.02,
            reordered: 0.02,
            rate: 0,
        },
        duration: args.seconds * S,
        faults: troubles,
        seed,
    }
}

fn line(name: &str, args: &Args, at: u64, tally: &MembershipTally) {
    let each = args.seconds as f64 * f64::from(args.fronts);
    let after = tally.converged_after(at).map_or("not".to_owned(), |us| format!("{:.1} s", us as f64 / 1e6));
    println!(
        "  {name:<34} all right after {after:>7}; {:.2} words and {:.0} bytes a front and second, {} at most; {} looks at whom one wronged",
        tally.messages as f64 / each,
        tally.bytes as f64 / each,
        tally.max_message_bytes,
        tally.false_positives
    );
}

pub fn run(args: &Args) -> miette::Result<ExitCode> {
    if let Some(seeds) = args.seeds {
        return many(args, seeds);
    }
    println!(
        "{} fronts, {:.0}% of datagrams lost, {} s, virtual time; what happens, happens after {} s",
        args.fronts,
        args.lost * 100.0,
        args.seconds,
        AT / S
    );
    let some = |share: f64, trouble: MembershipFault| {
        let count = (f64::from(args.fronts) * share).round() as u32;
        (0..count.max(1)).map(|front| (AT, front, trouble)).collect::<Vec<_>>()
    };
    let cases = [
        ("all start within a second", 0, Vec::new()),
        ("one dies", AT, some(0.0, MembershipFault::Crash(None, 0))),
        ("one dies and is back in 50 ms", AT, some(0.0, MembershipFault::Crash(Some(50_000), 0))),
        ("the same, its clock an hour back", AT, some(0.0, MembershipFault::Crash(Some(50_000), -36_000))),
        ("a third dies", AT, some(0.33, MembershipFault::Crash(None, 0))),
        ("seven in ten die, back in 50 ms", AT, some(0.7, MembershipFault::Crash(Some(50_000), 0))),
        ("a third stands still for 8 s", AT + 8 * S, some(0.33, MembershipFault::Pause(8 * S))),
        ("cut in two for 10 s", AT + 10 * S, vec![(AT, args.fronts / 2, MembershipFault::Partition(10 * S))]),
    ];
    for (name, over, troubles) in cases {
        line(name, args, over, &simulate_membership(&spec(args, args.seed, troubles)));
    }
    Ok(ExitCode::SUCCESS)
}

/// Drawn faults, on all cores; all of them are over a minute before the end.
fn many(args: &Args, seeds: u64) -> miette::Result<ExitCode> {
    let within = (args.seconds.saturating_sub(68) * S).max(4 * S);
    let sum = Mutex::new((0_u64, 0_u64, 0_u64));
    let began = std::time::Instant::now();
    let threads = on_all_cores(args.seed, seeds, |seed| {
        let tally =
            simulate_membership(&spec(args, seed, random_membership_faults(args.fronts, within, seed)));
        let right = tally.converged_after(within + 8 * S).is_some();
        let mut sum = sum.lock().unwrap_or_else(PoisonError::into_inner);
        sum.0 += u64::from(!right);
        sum.1 += tally.messages;
        sum.2 += tally.rejected_messages;
        if !right {
            println!("  seed {seed}: not all beliefs are right at the end");
        }
        Ok(())
    })?;
    let (wrong, words, faults) = sum.into_inner().unwrap_or_else(PoisonError::into_inner);
    println!(
        "{seeds} seeds of {} fronts, {} s each with drawn faults: {wrong} with a wrong belief at the end; {words} words, {faults} turned down; {:.0} s on {threads} threads",
        args.fronts,
        args.seconds,
        began.elapsed().as_secs_f64()
    );
    Ok(if wrong == 0 && words > 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
