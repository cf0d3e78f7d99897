//! `baydrift day` runs a scenario and audits its record; `baydrift audit` audits a stored record.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};

use baydrift_audit::{read_record, rules, write_record, RuleLimits};
use baydrift_day::{format_schedule, parse_schedule, Minimizer, Outcome, Policy, Program, Scenario};
use indicatif::{ProgressBar, ProgressStyle};
use miette::{IntoDiagnostic, WrapErr};

use crate::seeds::for_each_seed;

#[derive(clap::Args)]
pub struct Args {
    /// Scenario file.
    #[arg(required_unless_present = "from_bench")]
    script: Option<PathBuf>,
    /// Read a day file of the operators' bench instead of a scenario.
    #[arg(long, conflicts_with = "script")]
    from_bench: Option<PathBuf>,
    /// Scale a bench's day to this call rate, in calls a second, and its servers with it; without it, as in
    /// the file.
    #[arg(long)]
    calls_per_second: Option<f64>,
    /// Maximum number of fronts in a bench's day.
    #[arg(long, default_value_t = 8)]
    fronts: u32,
    /// Duration in seconds, instead of the scenario's.
    #[arg(long)]
    seconds: Option<f64>,
    /// Random seed, instead of the scenario's.
    #[arg(long)]
    seed: Option<u64>,
    /// Use plain round robin instead of the decision module, for comparison.
    #[arg(long)]
    round_robin: bool,
    /// Share of calls made by H.248 text, from 0 to 1, instead of the scenario's.
    #[arg(long)]
    text: Option<f64>,
    /// Make text clients respect overload notices.
    #[arg(long)]
    heeds: bool,
    /// Write the record to this file, for `baydrift audit`. The record of a day that breaks a rule is always
    /// kept.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Run in virtual time, without sockets: the same seed gives the same record, byte for byte.
    #[arg(long = "virtual")]
    in_virtual_time: bool,
    /// Run each front, each server and the list service as a process of its own, connected by an emulated
    /// network with faults.
    #[arg(long, conflicts_with = "in_virtual_time")]
    processes: bool,
    /// Folder for the processes' logs and configurations; without it, a temporary folder that is removed on
    /// success.
    #[arg(long, requires = "processes")]
    logs: Option<PathBuf>,
    /// Run this many seeds, starting from the day's own, on all cores; with --virtual.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Use faults drawn from the seed instead of the scenario's.
    #[arg(long)]
    drawn: bool,
    /// Read the fault schedule from this file instead of the scenario's, in the form that a failed day
    /// prints.
    #[arg(long, conflicts_with = "drawn")]
    troubles: Option<PathBuf>,
    /// Print the fault schedule and exit.
    #[arg(long)]
    schedule: bool,
    /// Reduce the fault schedule of a failed day to a minimal one that still fails. Each trial is run up to
    /// TIMES times; in virtual time once is enough.
    #[arg(long, value_name = "TIMES", num_args = 0..=1, default_missing_value = "1", value_parser = clap::value_parser!(u32).range(1..=20))]
    shorten: Option<u32>,
    /// Run the fronts from another build of the program, and the stand-ins from this one.
    #[arg(long, value_name = "PROGRAM", requires = "processes")]
    fronts_by: Option<PathBuf>,
    /// Draw faults of processes, as --processes does, so that the same seed gives the same schedule in
    /// virtual time.
    #[arg(long, requires = "drawn")]
    fleet: bool,
}

fn load(args: &Args) -> miette::Result<Scenario> {
    let mut day = match (&args.script, &args.from_bench) {
        (Some(path), _) => baydrift_day::parse(&path.display().to_string(), &crate::read_file(path)?)?,
        (None, Some(path)) => {
            let parsed =
                baydrift_day::from_bench(&crate::read_file(path)?, args.calls_per_second, args.fronts);
            let (day, skipped) = parsed.into_diagnostic().wrap_err_with(|| path.display().to_string())?;
            skipped.iter().for_each(|item| eprintln!("note: {item}"));
            day
        }
        (None, None) => miette::bail!("a script or --from-bench is needed"),
    };
    day.seconds = args.seconds.unwrap_or(day.seconds);
    day.seed = args.seed.unwrap_or(day.seed);
    day.honours_overload_notices |= args.heeds;
    day.text_share = args.text.unwrap_or(day.text_share).clamp(0.0, 1.0);
    if let Some(path) = &args.troubles {
        day.faults = parse_schedule(&path.display().to_string(), &crate::read_file(path)?, &day)?;
    }
    if args.round_robin {
        day.policy = Policy::RoundRobin;
    }
    Ok(day)
}

/// The day to run with a seed: as given, or with faults drawn from the seed.
fn day_for_seed(args: &Args, day: &Scenario, seed: u64) -> Scenario {
    let day = Scenario { seed, ..day.clone() };
    match (args.drawn, args.processes || args.fleet) {
        (false, _) => day,
        (true, false) => baydrift_day::with_random_faults(&day),
        (true, true) => baydrift_day::with_random_process_faults(&day),
    }
}

/// The command line that runs a day again.
fn replay_command(args: &Args, day: &Scenario) -> String {
    let mut command = vec!["baydrift day".to_owned()];
    command.extend(args.script.iter().map(|path| path.display().to_string()));
    command.extend(args.from_bench.iter().map(|path| format!("--from-bench {}", path.display())));
    command.extend(args.calls_per_second.map(|rate| format!("--calls-per-second {rate}")));
    command.extend(args.seconds.map(|seconds| format!("--seconds {seconds}")));
    command.extend(args.text.map(|share| format!("--text {share}")));
    command.extend(args.troubles.iter().map(|path| format!("--troubles {}", path.display())));
    command.extend(args.fronts_by.iter().map(|path| format!("--fronts-by {}", path.display())));
    if args.from_bench.is_some() {
        command.push(format!("--fronts {}", args.fronts));
    }
    let flags = [
        (args.round_robin, "--round-robin"),
        (args.heeds, "--heeds"),
        (args.drawn, "--drawn"),
        (args.fleet, "--fleet"),
        (args.in_virtual_time, "--virtual"),
        (args.processes, "--processes"),
    ];
    command.extend(flags.iter().filter(|(set, _)| *set).map(|(_, flag)| (*flag).to_owned()));
    command.push(format!("--seed {}", day.seed));
    command.join(" ")
}

/// Writes the record where `--record` asks for it, or where the day failed; then also prints its path, the
/// command that runs the day again, and the fault schedule.
fn save_record(args: &Args, day: &Scenario, outcome: &Outcome) -> miette::Result<()> {
    let passed = outcome.passed();
    let path = match &args.record {
        Some(path) if args.seeds == 1 => path.clone(),
        _ if passed => return Ok(()),
        _ => {
            let name = args.script.as_deref().and_then(Path::file_stem).unwrap_or("day".as_ref());
            let name =
                format!("baydrift-{}-{}-{}.jsonl", name.to_string_lossy(), day.seed, std::process::id());
            std::env::temp_dir().join(name)
        }
    };
    let file = std::fs::File::create(&path).into_diagnostic().wrap_err_with(|| path.display().to_string())?;
    write_record(&outcome.lines, file).into_diagnostic().wrap_err_with(|| path.display().to_string())?;
    if !passed {
        println!(
            "  a rule broke or a bound was passed: seed {}; the record is {}; again with: {}",
            day.seed,
            path.display(),
            replay_command(args, day)
        );
        print!("{}", format_schedule(&day.faults));
    }
    Ok(())
}

/// Runs many seeds in virtual time on all cores; fails if any of them fails.
fn run_seeds(args: &Args, day: &Scenario) -> miette::Result<ExitCode> {
    let bar = ProgressBar::new(args.seeds);
    if let Ok(style) = ProgressStyle::with_template("{elapsed} [{bar:30}] {pos}/{len} seeds, {eta} left") {
        bar.set_style(style);
    }
    let summary = Mutex::new(SeedSummary::default());
    let started = std::time::Instant::now();
    let threads = for_each_seed(day.seed, args.seeds, |seed| {
        let day = day_for_seed(args, day, seed);
        let outcome = baydrift_day::run_virtual(&day, |_, _| {}).into_diagnostic()?;
        let mut summary = summary.lock().unwrap_or_else(PoisonError::into_inner);
        summary.add(&outcome);
        if !outcome.passed() {
            save_record(args, &day, &outcome)?;
            print!("{}", baydrift_day::table(&outcome.verdict, &outcome.service));
        }
        bar.inc(1);
        Ok(())
    });
    bar.finish_and_clear();
    let threads = threads?;
    let summary = summary.into_inner().unwrap_or_else(PoisonError::into_inner);
    println!("{summary}, in {:.0} s on {threads} threads", started.elapsed().as_secs_f64());
    Ok(if summary.failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Totals over many seeds.
#[derive(Default)]
struct SeedSummary {
    days: u64,
    failed: u64,
    calls: usize,
    answered: usize,
    set_ups: usize,
    held_back: u64,
    excused: BTreeMap<&'static str, usize>,
    service_total: f64,
    service_worst: Option<f64>,
}

impl SeedSummary {
    fn add(&mut self, outcome: &Outcome) {
        let verdict = &outcome.verdict;
        self.days += 1;
        self.failed += u64::from(!outcome.passed());
        self.calls += verdict.calls;
        self.answered += verdict.answered;
        self.set_ups += verdict.set_ups;
        self.held_back += outcome.fronts.iter().flat_map(|f| &f.held_back).map(|(_, n)| n).sum::<u64>();
        for (reason, count) in &verdict.excused {
            *self.excused.entry(reason.name()).or_default() += count;
        }
        let service = outcome.service.total.service();
        self.service_total += service;
        self.service_worst = Some(self.service_worst.map_or(service, |worst| worst.min(service)));
    }
}

impl std::fmt::Display for SeedSummary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mean = self.service_total / self.days.max(1) as f64;
        write!(
            f,
            "{} days in virtual time, {} with a rule broken: {} calls, {} answered, {} set-ups, {} held back; \
             excused {:?}; service {mean:.3} on average, {:.3} at worst",
            self.days,
            self.failed,
            self.calls,
            self.answered,
            self.set_ups,
            self.held_back,
            self.excused,
            self.service_worst.unwrap_or(1.0)
        )
    }
}

pub async fn run(args: Args) -> miette::Result<ExitCode> {
    let day = load(&args)?;
    if args.in_virtual_time && args.seeds != 1 {
        return run_seeds(&args, &day);
    }
    let day = day_for_seed(&args, &day, day.seed);
    if args.schedule {
        print!("{}", format_schedule(&day.faults));
        return Ok(ExitCode::SUCCESS);
    }
    let bar = ProgressBar::new(day.seconds.ceil() as u64);
    if let Ok(style) = ProgressStyle::with_template("{elapsed} [{bar:30}] {pos}/{len} s, {eta} left; {msg}") {
        bar.set_style(style);
    }
    let progress = |at: f64, what: &str| {
        bar.set_position(at as u64);
        if !what.is_empty() {
            bar.set_message(what.to_owned());
            tracing::info!(at, what, "trouble");
        }
    };
    let logs = create_log_folder(&args)?;
    let outcome = play(&args, &day, logs.as_deref(), progress).await?;
    bar.finish_and_clear();
    let policy = if day.policy == Policy::RoundRobin { "round robin" } else { "baydrift" };
    println!(
        "{policy}: {} fronts, {} servers, {:.1} calls/s for {:.0} s, seed {}",
        day.fronts,
        day.servers.rates.len(),
        day.calls_per_s,
        day.seconds,
        day.seed
    );
    print!("{}", baydrift_day::table(&outcome.verdict, &outcome.service));
    if args.processes || day.fronts > 1 || !outcome.sums.exceeded.is_empty() {
        print!("{}", baydrift_day::sums_table(&outcome.sums));
    }
    save_record(&args, &day, &outcome)?;
    for (front, snapshot) in outcome.fronts.iter().enumerate() {
        let held: Vec<_> = snapshot.held_back.iter().filter(|(_, n)| *n > 0).collect();
        tracing::info!(front, ?snapshot, "counters of the front");
        if !held.is_empty() {
            println!("  front {front} held back {held:?}");
        }
    }
    outcome.driver_notes.iter().for_each(|fault| println!("  the driver: {fault}"));
    outcome.process_faults.iter().for_each(|crash| println!("  {crash}"));
    let good = outcome.passed();
    if let Some(times) = args.shorten.filter(|_| !good) {
        shorten(&args, &day, &outcome, times, logs.as_deref()).await?;
    }
    match logs.filter(|_| args.logs.is_none()) {
        Some(logs) if good => std::fs::remove_dir_all(&logs).into_diagnostic()?,
        Some(logs) => println!("  the processes' logs and configurations are in {}", logs.display()),
        None => {}
    }
    Ok(if good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs a day in virtual time, as processes or on loopback sockets, as the arguments select.
async fn play(
    args: &Args,
    day: &Scenario,
    logs: Option<&Path>,
    progress: impl FnMut(f64, &str),
) -> miette::Result<Outcome> {
    let outcome = if args.in_virtual_time {
        baydrift_day::run_virtual(day, progress)
    } else if let Some(logs) = logs {
        let program = Program {
            path: std::env::current_exe().into_diagnostic()?,
            front_program: args.fronts_by.clone(),
            log_dir: logs.to_owned(),
            log_level: "warn".to_owned(),
        };
        baydrift_day::run_processes(day, program, progress).await
    } else {
        baydrift_day::run_on_sockets(day, progress).await
    };
    outcome.into_diagnostic()
}

/// Reduces the fault schedule of a failed day to a minimal one that still causes one of the same failures,
/// and prints it.
async fn shorten(
    args: &Args,
    day: &Scenario,
    outcome: &Outcome,
    times: u32,
    logs: Option<&Path>,
) -> miette::Result<()> {
    let failures = outcome.failures();
    let mut shortening = Minimizer::new(day.faults.clone());
    while let Some(troubles) = shortening.trial() {
        let trial = Scenario { faults: troubles, ..day.clone() };
        let mut failed = false;
        for _ in 0..if args.in_virtual_time { 1 } else { times } {
            let trial_outcome = play(args, &trial, logs, |_, _| {}).await?;
            failed = !failures.is_disjoint(&trial_outcome.failures());
            if failed {
                break;
            }
        }
        shortening.record_trial(failed);
        eprintln!(
            "trial {}: {} of {} faults still fail",
            shortening.trials(),
            shortening.minimal().len(),
            day.faults.len()
        );
    }
    println!(
        "  a shortest schedule that fails so ({}), after {} trials:",
        join_failures(&failures),
        shortening.trials()
    );
    print!("{}", format_schedule(shortening.minimal()));
    Ok(())
}

fn join_failures(failures: &BTreeSet<String>) -> String {
    failures.iter().cloned().collect::<Vec<_>>().join(", ")
}

/// Creates the folder for logs and configurations of the processes; `None` without `--processes`.
fn create_log_folder(args: &Args) -> miette::Result<Option<PathBuf>> {
    if !args.processes {
        return Ok(None);
    }
    let temporary = || std::env::temp_dir().join(format!("baydrift-day-{}", std::process::id()));
    let logs = args.logs.clone().unwrap_or_else(temporary);
    std::fs::create_dir_all(&logs).into_diagnostic().wrap_err_with(|| logs.display().to_string())?;
    Ok(Some(logs))
}

/// Runs one participant of a day in this process; the driver sends its role on standard input.
pub async fn stand_in() -> miette::Result<ExitCode> {
    Ok(match baydrift_day::run_stand_in().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("baydrift stand-in: {error}");
            ExitCode::from(2)
        }
    })
}

pub fn audit(path: &Path) -> miette::Result<ExitCode> {
    let file = std::fs::File::open(path).into_diagnostic().wrap_err_with(|| path.display().to_string())?;
    let lines = match read_record(std::io::BufReader::new(file)) {
        Ok(lines) => lines,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return Ok(ExitCode::from(2));
        }
    };
    let verdict = rules(&lines, RuleLimits::default());
    print!("{}", baydrift_day::table(&verdict, &baydrift_audit::service(&lines, &[], &[])));
    Ok(if verdict.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
