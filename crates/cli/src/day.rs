//! `baydrift day` and `baydrift audit`.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};

use baydrift_audit::{read_record, rules, write_record, RuleLimits};
use baydrift_day::{parse_troubles, schedule_text, Day, Outcome, Policy, Program, Shorten};
use indicatif::{ProgressBar, ProgressStyle};
use miette::{IntoDiagnostic, WrapErr};

use crate::seeds::on_all_cores;

#[derive(clap::Args)]
pub struct Args {
    /// The script.
    #[arg(required_unless_present = "from_bench")]
    script: Option<PathBuf>,
    /// A day file of the operators' bench instead of a script.
    #[arg(long, conflicts_with = "script")]
    from_bench: Option<PathBuf>,
    /// Calls a second that a bench's day is scaled to, servers with them; else as in the file.
    #[arg(long)]
    calls_per_second: Option<f64>,
    /// Most fronts of a bench's day.
    #[arg(long, default_value_t = 8)]
    fronts: u32,
    /// Another length than the script's.
    #[arg(long)]
    seconds: Option<f64>,
    /// Another seed than the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// Plain round robin instead of the decision module, for comparison.
    #[arg(long)]
    round_robin: bool,
    /// Another share of calls by H.248 text than the script's.
    #[arg(long)]
    text: Option<f64>,
    /// Text clients heed notices of overload.
    #[arg(long)]
    heeds: bool,
    /// Writes the record here, for `baydrift audit`. A day that breaks a rule always keeps its record.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Plays it in virtual time, without sockets: the same seed gives the same record, to the byte.
    #[arg(long = "virtual")]
    in_virtual_time: bool,
    /// Plays it with each front, each server and the list service as a process of its own, and a net with faults
    /// between them.
    #[arg(long, conflicts_with = "in_virtual_time")]
    processes: bool,
    /// Folder for the processes' logs and configurations; without it one that is removed where all went well.
    #[arg(long, requires = "processes")]
    logs: Option<PathBuf>,
    /// Plays so many seeds, from the day's own on, on all cores; with --virtual or --processes.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Troubles drawn by the seed instead of the script's.
    #[arg(long)]
    drawn: bool,
    /// Troubles by this file instead of the script's: a schedule as a failed day prints it.
    #[arg(long, conflicts_with = "drawn")]
    troubles: Option<PathBuf>,
    /// Prints the schedule and plays nothing.
    #[arg(long)]
    schedule: bool,
    /// Cuts the schedule of a day that fails down to a shortest that still fails. Each trial is played up to so many
    /// times; once is enough in virtual time.
    #[arg(long, value_name = "TIMES", num_args = 0..=1, default_missing_value = "1", value_parser = clap::value_parser!(u32).range(1..=20))]
    shorten: Option<u32>,
    /// Starts the fronts by another build of the program, the stand-ins by this one.
    #[arg(long, value_name = "PROGRAM", requires = "processes")]
    fronts_by: Option<PathBuf>,
    /// Draws faults of processes, as --processes does: the same seed then plays the same schedule in virtual time.
    #[arg(long, requires = "drawn")]
    fleet: bool,
}

fn load(args: &Args) -> miette::Result<Day> {
    let mut day = match (&args.script, &args.from_bench) {
        (Some(path), _) => baydrift_day::parse(&path.display().to_string(), &crate::read(path)?)?,
        (None, Some(path)) => {
            let read = baydrift_day::from_bench(&crate::read(path)?, args.calls_per_second, args.fronts);
            let (day, skipped) = read.into_diagnostic().wrap_err_with(|| path.display().to_string())?;
            skipped.iter().for_each(|what| eprintln!("note: {what}"));
            day
        }
        (None, None) => miette::bail!("a script or --from-bench is needed"),
    };
    day.seconds = args.seconds.unwrap_or(day.seconds);
    day.seed = args.seed.unwrap_or(day.seed);
    day.heeds |= args.heeds;
    day.text = args.text.unwrap_or(day.text).clamp(0.0, 1.0);
    if let Some(path) = &args.troubles {
        day.troubles = parse_troubles(&path.display().to_string(), &crate::read(path)?, &day)?;
    }
    if args.round_robin {
        day.policy = Policy::RoundRobin;
    }
    Ok(day)
}

/// The day that is played with a seed.
fn of_seed(args: &Args, day: &Day, seed: u64) -> Day {
    let day = Day { seed, ..day.clone() };
    match (args.drawn, args.processes || args.fleet) {
        (false, _) => day,
        (true, false) => baydrift_day::drawn(&day),
        (true, true) => baydrift_day::drawn_for_processes(&day),
    }
}

/// How to play a day again.
fn again(args: &Args, day: &Day) -> String {
    let mut words = vec!["baydrift day".to_owned()];
    words.extend(args.script.iter().map(|path| path.display().to_string()));
    words.extend(args.from_bench.iter().map(|path| format!("--from-bench {}", path.display())));
    words.extend(args.calls_per_second.map(|rate| format!("--calls-per-second {rate}")));
    words.extend(args.seconds.map(|seconds| format!("--seconds {seconds}")));
    words.extend(args.text.map(|share| format!("--text {share}")));
    words.extend(args.troubles.iter().map(|path| format!("--troubles {}", path.display())));
    words.extend(args.fronts_by.iter().map(|path| format!("--fronts-by {}", path.display())));
    if args.from_bench.is_some() {
        words.push(format!("--fronts {}", args.fronts));
    }
    let flags = [
        (args.round_robin, "--round-robin"),
        (args.heeds, "--heeds"),
        (args.drawn, "--drawn"),
        (args.fleet, "--fleet"),
        (args.in_virtual_time, "--virtual"),
        (args.processes, "--processes"),
    ];
    words.extend(flags.iter().filter(|(set, _)| *set).map(|(_, word)| (*word).to_owned()));
    words.push(format!("--seed {}", day.seed));
    words.join(" ")
}

/// Keeps the record where it was asked for, or where a rule broke; tells where, and how to play the day again.
fn keep(args: &Args, day: &Day, outcome: &Outcome) -> miette::Result<()> {
    let kept = outcome.passed();
    let path = match &args.record {
        Some(path) if args.seeds == 1 => path.clone(),
        _ if kept => return Ok(()),
        _ => {
            let name = args.script.as_deref().and_then(Path::file_stem).unwrap_or("day".as_ref());
            let name =
                format!("baydrift-{}-{}-{}.jsonl", name.to_string_lossy(), day.seed, std::process::id());
            std::env::temp_dir().join(name)
        }
    };
    let file = std::fs::File::create(&path).into_diagnostic().wrap_err_with(|| path.display().to_string())?;
    write_record(&outcome.lines, file).into_diagnostic().wrap_err_with(|| path.display().to_string())?;
    if !kept {
        println!(
            "  a rule broke or a bound was passed: seed {}; the record is {}; again with: {}",
            day.seed,
            path.display(),
            again(args, day)
        );
        print!("{}", schedule_text(&day.troubles));
    }
    Ok(())
}

/// Many seeds, each in virtual time; the worst is what counts.
fn net(args: &Args, day: &Day) -> miette::Result<ExitCode> {
    let bar = ProgressBar::new(args.seeds);
    if let Ok(style) = ProgressStyle::with_template("{elapsed} [{bar:30}] {pos}/{len} seeds, {eta} left") {
        bar.set_style(style);
    }
    let sum = Mutex::new(Net::default());
    let began = std::time::Instant::now();
    let threads = on_all_cores(day.seed, args.seeds, |seed| {
        let day = of_seed(args, day, seed);
        let outcome = baydrift_day::run_virtual(&day, |_, _| {}).into_diagnostic()?;
        let mut sum = sum.lock().unwrap_or_else(PoisonError::into_inner);
        sum.add(&outcome);
        if !outcome.passed() {
            keep(args, &day, &outcome)?;
            print!("{}", baydrift_day::table(&outcome.verdict, &outcome.service));
        }
        bar.inc(1);
        Ok(())
    });
    bar.finish_and_clear();
    let threads = threads?;
    let sum = sum.into_inner().unwrap_or_else(PoisonError::into_inner);
    println!("{sum}, in {:.0} s on {threads} threads", began.elapsed().as_secs_f64());
    Ok(if sum.broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// What many days came to.
#[derive(Default)]
struct Net {
    days: u64,
    broken: u64,
    calls: usize,
    answered: usize,
    set_ups: usize,
    held_back: u64,
    excused: BTreeMap<&'static str, usize>,
    service: f64,
    worst: Option<f64>,
}

impl Net {
    fn add(&mut self, outcome: &Outcome) {
        let verdict = &outcome.verdict;
        self.days += 1;
        self.broken += u64::from(!outcome.passed());
        self.calls += verdict.calls;
        self.answered += verdict.answered;
        self.set_ups += verdict.set_ups;
        self.held_back += outcome.fronts.iter().flat_map(|f| &f.held_back).map(|(_, n)| n).sum::<u64>();
        for (why, count) in &verdict.excused {
            *self.excused.entry(why.name()).or_default() += count;
        }
        let service = outcome.service.total.service();
        self.service += service;
        self.worst = Some(self.worst.map_or(service, |worst| worst.min(service)));
    }
}

impl std::fmt::Display for Net {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mean = self.service / self.days.max(1) as f64;
        write!(
            f,
            "{} days in virtual time, {} with a rule broken: {} calls, {} answered, {} set-ups, {} held back; \
             excused {:?}; service {mean:.3} on average, {:.3} at worst",
            self.days,
            self.broken,
            self.calls,
            self.answered,
            self.set_ups,
            self.held_back,
            self.excused,
            self.worst.unwrap_or(1.0)
        )
    }
}

pub async fn run(args: Args) -> miette::Result<ExitCode> {
    let day = load(&args)?;
    if args.in_virtual_time && args.seeds != 1 {
        return net(&args, &day);
    }
    let day = of_seed(&args, &day, day.seed);
    if args.schedule {
        print!("{}", schedule_text(&day.troubles));
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
    let logs = logs(&args)?;
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
    keep(&args, &day, &outcome)?;
    for (front, snapshot) in outcome.fronts.iter().enumerate() {
        let held: Vec<_> = snapshot.held_back.iter().filter(|(_, n)| *n > 0).collect();
        tracing::info!(front, ?snapshot, "the front's own counts");
        if !held.is_empty() {
            println!("  front {front} held back {held:?}");
        }
    }
    outcome.driver_notes.iter().for_each(|what| println!("  the driver: {what}"));
    outcome.process_faults.iter().for_each(|what| println!("  {what}"));
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

/// Plays a day as the arguments say.
async fn play(
    args: &Args,
    day: &Day,
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

/// Cuts the schedule of a day that failed down to a shortest that fails in a way that this one did, and prints it.
async fn shorten(
    args: &Args,
    day: &Day,
    outcome: &Outcome,
    times: u32,
    logs: Option<&Path>,
) -> miette::Result<()> {
    let ways = outcome.failures();
    let mut cut = Shorten::new(day.troubles.clone());
    while let Some(troubles) = cut.trial() {
        let trial = Day { troubles, ..day.clone() };
        let mut failed = false;
        for _ in 0..if args.in_virtual_time { 1 } else { times } {
            let played = play(args, &trial, logs, |_, _| {}).await?;
            failed = !ways.is_disjoint(&played.failures());
            if failed {
                break;
            }
        }
        cut.told(failed);
        eprintln!(
            "trial {}: {} of {} troubles still fail",
            cut.trials(),
            cut.kept().len(),
            day.troubles.len()
        );
    }
    println!("  a shortest schedule that fails so ({}), after {} trials:", list(&ways), cut.trials());
    print!("{}", schedule_text(cut.kept()));
    Ok(())
}

fn list(ways: &BTreeSet<String>) -> String {
    ways.iter().cloned().collect::<Vec<_>>().join(", ")
}

/// Where the processes of this day write, if it has any.
fn logs(args: &Args) -> miette::Result<Option<PathBuf>> {
    if !args.processes {
        return Ok(None);
    }
    let own = || std::env::temp_dir().join(format!("baydrift-day-{}", std::process::id()));
    let logs = args.logs.clone().unwrap_or_else(own);
    std::fs::create_dir_all(&logs).into_diagnostic().wrap_err_with(|| logs.display().to_string())?;
    Ok(Some(logs))
}

/// Plays one part of a day as a process, as the driver of the day tells it.
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
