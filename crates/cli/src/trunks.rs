//! `baydrift trunks`: simulates two exchanges and the trunk groups between them, in virtual time or on
//! sockets.

use std::process::ExitCode;
use std::time::Duration;

use baydrift::interface::Micros;
use baydrift_day::RoundsSpec;
use baydrift_emulator::{TrunkPair, TrunkPairSpec};
use baydrift_trunk::rules::Selection;
use baydrift_trunk::AuditSettings;
use indicatif::{ProgressBar, ProgressStyle};
use miette::IntoDiagnostic;

const MICROS_PER_SECOND: f64 = 1e6;

#[derive(clap::Args)]
pub struct Args {
    /// Number of trunk groups between the two exchanges.
    #[arg(long, default_value_t = 4)]
    groups: u16,
    /// Circuits in each group, up to 4,095.
    #[arg(long, default_value_t = 62)]
    circuits: u16,
    /// Call rate of both exchanges together, in calls a second.
    #[arg(long, default_value_t = 60.0)]
    calls_per_second: f64,
    /// Mean holding time of a call, in seconds.
    #[arg(long, default_value_t = 3.0)]
    hold: f64,
    /// Time during which calls are offered, in seconds.
    #[arg(long, default_value_t = 600.0)]
    seconds: f64,
    /// Share of signalling messages that are lost, from 0 to 1.
    #[arg(long, default_value_t = 0.001)]
    lost: f64,
    /// Share of signalling messages that are duplicated, from 0 to 1.
    #[arg(long, default_value_t = 0.001)]
    doubled: f64,
    /// Least delay of a signalling message, in milliseconds; the delay varies up to three times this.
    #[arg(long, default_value_t = 10.0)]
    delay_ms: f64,
    /// Both exchanges select circuits in ascending order, instead of from opposite ends of the group.
    #[arg(long)]
    sequential: bool,
    /// Interval between audits of a group, in seconds; 0 disables them.
    #[arg(long, default_value_t = 1.0)]
    audit_every: f64,
    /// Instead of random calls, run this many rounds in which both exchanges seize at the same time.
    #[arg(long)]
    rounds: Option<u64>,
    /// Run the rounds on loopback sockets, with two exchanges and a relay that drops and duplicates packets,
    /// instead of in virtual time. Q.764's timers are divided by 50.
    #[arg(long, requires = "rounds")]
    sockets: bool,
    /// Random seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn micros(seconds: f64) -> Micros {
    (seconds.clamp(0.0, 1e9) * MICROS_PER_SECOND) as Micros
}

fn spec(args: &Args) -> TrunkPairSpec {
    let delay = micros(args.delay_ms / 1e3);
    TrunkPairSpec {
        groups: args.groups,
        circuits: args.circuits,
        selection: if args.sequential { Selection::Sequential } else { Selection::Opposite },
        rates: [args.calls_per_second / 2.0; 2],
        mean_hold: micros(args.hold),
        lost: args.lost.clamp(0.0, 1.0),
        doubled: args.doubled.clamp(0.0, 1.0),
        delay,
        jitter: delay * 2,
        audit: AuditSettings { query_interval: micros(args.audit_every), ..AuditSettings::default() },
        seed: args.seed,
        ..TrunkPairSpec::default()
    }
}

pub async fn run(args: &Args) -> miette::Result<ExitCode> {
    let spec = spec(args);
    if let (Some(count), true) = (args.rounds, args.sockets) {
        return run_on_sockets(args, count).await;
    }
    let two =
        TrunkPair::new(spec).map_err(|(group, error)| miette::miette!("trunk group {group}: {error}"))?;
    let step_count = args.rounds.unwrap_or(args.seconds.ceil() as u64);
    let bar = ProgressBar::new(step_count);
    if let Ok(style) = ProgressStyle::with_template("{elapsed} [{bar:30}] {pos}/{len}, {eta} left") {
        bar.set_style(style);
    }
    let (two, most_stuck) = if args.rounds.is_some() { run_rounds(two, &bar) } else { run_calls(two, &bar) };
    bar.finish_and_clear();
    Ok(print_summary(args, two, most_stuck))
}

/// Divisor of Q.764's timers on sockets.
const TIMER_DIVISOR: u64 = 50;

async fn run_on_sockets(args: &Args, count: u64) -> miette::Result<ExitCode> {
    let bar = ProgressBar::new(count);
    if let Ok(style) = ProgressStyle::with_template("{elapsed} [{bar:30}] {pos}/{len} rounds, {eta} left") {
        bar.set_style(style);
    }
    let spec = RoundsSpec {
        rounds: count,
        circuits: args.circuits,
        selection: if args.sequential { Selection::Sequential } else { Selection::Opposite },
        lost: args.lost.clamp(0.0, 1.0),
        duplicated: args.doubled.clamp(0.0, 1.0),
        caller_timeout: Duration::from_millis(300),
        timer_divisor: TIMER_DIVISOR,
        seed: args.seed,
    };
    let tally = baydrift_day::run_rounds(&spec, |round| bar.set_position(round)).await.into_diagnostic()?;
    bar.finish_and_clear();
    let counts = [tally.states[0].counts, tally.states[1].counts];
    let sum = |of: fn(&baydrift_trunk::Counts) -> u64| of(&counts[0]) + of(&counts[1]);
    println!("two exchanges on loopback: {count} rounds, {} circuits, seed {}", args.circuits, args.seed);
    println!(
        "  answered {:?}, gave up {}, otherwise ended {:?}; longest round {:.0} ms",
        tally.answered,
        tally.timed_out,
        tally.ended,
        tally.longest_round.as_secs_f64() * 1e3
    );
    println!(
        "  {} seizures, {} of them met one of the far end: {} went on, {} yielded; {} found stuck, {} reset, {} queries",
        sum(|c| c.seized),
        sum(|c| c.glare_won) + sum(|c| c.glare_lost),
        sum(|c| c.glare_won),
        sum(|c| c.glare_lost),
        sum(|c| c.stuck),
        sum(|c| c.resets),
        sum(|c| c.queries)
    );
    match tally.idle_after {
        Some(elapsed) => {
            println!("  every circuit idle at both ends {:.2} s after the last round", elapsed.as_secs_f64())
        }
        None => println!("  circuits still busy: {:?}", tally.states.each_ref().map(|state| &state.usage)),
    }
    tally.violations.iter().for_each(|violation| println!("  NEVER: {violation}"));
    let passed = tally.violations.is_empty() && tally.idle_after.is_some();
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs rounds in which both exchanges seize at the same time. A round ends when all circuits are idle, or
/// after a minute. Returns the most circuits that were still busy at the end of a round.
fn run_rounds(mut two: TrunkPair, bar: &ProgressBar) -> (TrunkPair, usize) {
    let mut most_stuck = 0;
    for _ in 0..bar.length().unwrap_or(0) {
        two.offer_both();
        let until = two.now() + micros(60.0);
        if two.run_until_idle(until).is_none() {
            most_stuck = most_stuck.max(two.busy());
        }
        bar.inc(1);
    }
    (two, most_stuck)
}

/// Offers random calls at both exchanges. Returns the most circuits that were stuck at the end of any minute.
fn run_calls(mut two: TrunkPair, bar: &ProgressBar) -> (TrunkPair, usize) {
    two.start_callers();
    let mut most_stuck = 0;
    for second in 1..=bar.length().unwrap_or(0) {
        two.run_until(micros(second as f64));
        if second % 60 == 0 {
            most_stuck = most_stuck.max(two.stuck_circuits(micros(10.0)));
        }
        bar.inc(1);
    }
    two.stop_callers();
    (two, most_stuck)
}

fn print_summary(args: &Args, mut two: TrunkPair, most_stuck: usize) -> ExitCode {
    let stuck = two.stuck_circuits(micros(10.0));
    let offering_ended = two.now();
    // Leaves time for established calls to end and for the audits to find stuck circuits.
    let idle_at = two.run_until_idle(offering_ended + micros(1_800.0));
    let tally = two.tally();
    let counts = [two.counts(0), two.counts(1)];
    let sum = |of: fn(&baydrift_trunk::Counts) -> u64| of(&counts[0]) + of(&counts[1]);
    println!("two ends, emulated: {} groups of {} circuits, seed {}", args.groups, args.circuits, args.seed);
    for end in 0..2 {
        println!(
            "  end {end}: {} calls, {} answered, {} gave up, otherwise ended {:?}",
            tally.offered[end], tally.answered[end], tally.caller_timeouts[end], tally.ended[end]
        );
    }
    let (seized, glare) = (sum(|c| c.seized), sum(|c| c.glare_won) + sum(|c| c.glare_lost));
    println!(
        "  {seized} seizures, {glare} met one of the far end ({:.3}%): {} went on, {} yielded",
        100.0 * glare as f64 / seized.max(1) as f64,
        sum(|c| c.glare_won),
        sum(|c| c.glare_lost)
    );
    println!(
        "  {} signals, {} of audits ({:.1}%), {} queries unanswered; {} circuits found stuck, {} reset, {} standing calls cut",
        tally.signals,
        tally.audit_signals,
        100.0 * tally.audit_signals as f64 / tally.signals.max(1) as f64,
        sum(|c| c.queries_lost),
        tally.stuck,
        sum(|c| c.resets),
        tally.dropped
    );
    println!("  stuck for 10 s or more: {stuck} when calls ended, {most_stuck} at most");
    match idle_at {
        Some(at) => println!(
            "  every circuit idle at both ends {:.1} s later",
            (at - offering_ended) as f64 / MICROS_PER_SECOND
        ),
        None => println!("  {} circuits still busy half an hour later", two.busy()),
    }
    tally.violations.iter().for_each(|violation| println!("  NEVER: {violation}"));
    if tally.violations.is_empty() && idle_at.is_some() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
