//! `baydrift trunks`: two exchanges and the groups between them, in virtual time.

use std::process::ExitCode;
use std::time::Duration;

use baydrift::interface::Micros;
use baydrift_day::{rounds, RoundsSpec};
use baydrift_emulator::{TrunkPair, TrunkPairSpec};
use baydrift_trunk::rules::Selection;
use baydrift_trunk::AuditSettings;
use indicatif::{ProgressBar, ProgressStyle};
use miette::IntoDiagnostic;

const S: f64 = 1e6;

#[derive(clap::Args)]
pub struct Args {
    /// Trunk groups between both ends.
    #[arg(long, default_value_t = 4)]
    groups: u16,
    /// Circuits of a group, up to 4,095.
    #[arg(long, default_value_t = 62)]
    circuits: u16,
    /// Calls a second, from both ends together.
    #[arg(long, default_value_t = 60.0)]
    calls_per_second: f64,
    /// Mean time that a call stands, seconds.
    #[arg(long, default_value_t = 3.0)]
    hold: f64,
    /// Callers call for so long, seconds.
    #[arg(long, default_value_t = 600.0)]
    seconds: f64,
    /// Share of signals lost.
    #[arg(long, default_value_t = 0.001)]
    lost: f64,
    /// Share of signals that come twice.
    #[arg(long, default_value_t = 0.001)]
    doubled: f64,
    /// A signal takes at least so many milliseconds, and up to three times as long.
    #[arg(long, default_value_t = 10.0)]
    delay_ms: f64,
    /// Both ends choose circuits from the lowest up.
    #[arg(long)]
    sequential: bool,
    /// Seconds between a group's audits; 0 for none.
    #[arg(long, default_value_t = 1.0)]
    audit_every: f64,
    /// Instead of callers, so many rounds in which both ends seize at the same moment.
    #[arg(long)]
    rounds: Option<u64>,
    /// The rounds on loopback sockets, with two exchanges and a relay that loses and doubles packets, instead of in
    /// virtual time. Q.764's timers are fifty times shorter than there.
    #[arg(long, requires = "rounds")]
    sockets: bool,
    /// Seed of all that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn micros(seconds: f64) -> Micros {
    (seconds.clamp(0.0, 1e9) * S) as Micros
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
        return on_sockets(args, count).await;
    }
    let two =
        TrunkPair::new(spec).map_err(|(group, error)| miette::miette!("trunk group {group}: {error}"))?;
    let steps = args.rounds.unwrap_or(args.seconds.ceil() as u64);
    let bar = ProgressBar::new(steps);
    if let Ok(style) = ProgressStyle::with_template("{elapsed} [{bar:30}] {pos}/{len}, {eta} left") {
        bar.set_style(style);
    }
    let (two, most) = if args.rounds.is_some() { play_rounds(two, &bar) } else { play(two, &bar) };
    bar.finish_and_clear();
    Ok(show(args, two, most))
}

/// How many times shorter Q.764's timers are on sockets.
const HURRY: u64 = 50;

async fn on_sockets(args: &Args, count: u64) -> miette::Result<ExitCode> {
    let bar = ProgressBar::new(count);
    if let Ok(style) = ProgressStyle::with_template("{elapsed} [{bar:30}] {pos}/{len} rounds, {eta} left") {
        bar.set_style(style);
    }
    let spec = RoundsSpec {
        rounds: count,
        circuits: args.circuits,
        selection: if args.sequential { Selection::Sequential } else { Selection::Opposite },
        lost: args.lost.clamp(0.0, 1.0),
        doubled: args.doubled.clamp(0.0, 1.0),
        patience: Duration::from_millis(300),
        hurry: HURRY,
        seed: args.seed,
    };
    let tally = rounds(&spec, |round| bar.set_position(round)).await.into_diagnostic()?;
    bar.finish_and_clear();
    let counts = [tally.states[0].counts, tally.states[1].counts];
    let sum = |of: fn(&baydrift_trunk::Counts) -> u64| of(&counts[0]) + of(&counts[1]);
    println!("two exchanges on loopback: {count} rounds, {} circuits, seed {}", args.circuits, args.seed);
    println!(
        "  answered {:?}, gave up {}, otherwise ended {:?}; longest round {:.0} ms",
        tally.answered,
        tally.gave_up,
        tally.ended,
        tally.longest.as_secs_f64() * 1e3
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
        Some(after) => {
            println!("  every circuit idle at both ends {:.2} s after the last round", after.as_secs_f64())
        }
        None => println!("  circuits still busy: {:?}", tally.states.each_ref().map(|state| &state.usage)),
    }
    tally.violations.iter().for_each(|what| println!("  NEVER: {what}"));
    let kept = tally.violations.is_empty() && tally.idle_after.is_some();
    Ok(if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Rounds in which both ends seize at the same moment; each ends before the next begins, or after a minute.
fn play_rounds(mut two: TrunkPair, bar: &ProgressBar) -> (TrunkPair, usize) {
    let mut most = 0;
    for _ in 0..bar.length().unwrap_or(0) {
        two.offer_both();
        let until = two.now() + micros(60.0);
        if two.run_until_idle(until).is_none() {
            most = most.max(two.busy());
        }
        bar.inc(1);
    }
    (two, most)
}

/// Callers at both ends; the most circuits that were stuck at the end of any minute.
fn play(mut two: TrunkPair, bar: &ProgressBar) -> (TrunkPair, usize) {
    two.start_callers();
    let mut most = 0;
    for second in 1..=bar.length().unwrap_or(0) {
        two.run_until(micros(second as f64));
        if second % 60 == 0 {
            most = most.max(two.stuck_circuits(micros(10.0)));
        }
        bar.inc(1);
    }
    two.stop_callers();
    (two, most)
}

fn show(args: &Args, mut two: TrunkPair, most: usize) -> ExitCode {
    let stuck = two.stuck_circuits(micros(10.0));
    let closed = two.now();
    // Calls that stand may end, and what is stuck be found.
    let free = two.run_until_idle(closed + micros(1_800.0));
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
    println!("  stuck for 10 s or more: {stuck} when calls ended, {most} at most");
    match free {
        Some(at) => println!("  every circuit idle at both ends {:.1} s later", (at - closed) as f64 / S),
        None => println!("  {} circuits still busy half an hour later", two.busy()),
    }
    tally.violations.iter().for_each(|what| println!("  NEVER: {what}"));
    if tally.violations.is_empty() && free.is_some() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
