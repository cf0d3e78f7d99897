//! `baydrift day` and `baydrift audit`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use baydrift_audit::{read_record, rules, write_record, Terms};
use baydrift_day::{Day, Policy};
use indicatif::{ProgressBar, ProgressStyle};
use miette::{IntoDiagnostic, WrapErr};

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
    /// Writes the record here, for `baydrift audit`.
    #[arg(long)]
    record: Option<PathBuf>,
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
    if args.round_robin {
        day.policy = Policy::RoundRobin;
    }
    Ok(day)
}

pub async fn run(args: Args) -> miette::Result<ExitCode> {
    let day = load(&args)?;
    let bar = ProgressBar::new(day.seconds.ceil() as u64);
    if let Ok(style) = ProgressStyle::with_template("{elapsed} [{bar:30}] {pos}/{len} s, {eta} left; {msg}") {
        bar.set_style(style);
    }
    let outcome = baydrift_day::run(&day, |at, what| {
        bar.set_position(at as u64);
        if !what.is_empty() {
            bar.set_message(what.to_owned());
            tracing::info!(at, what, "trouble");
        }
    })
    .await
    .into_diagnostic()?;
    bar.finish_and_clear();
    if let Some(path) = &args.record {
        let file =
            std::fs::File::create(path).into_diagnostic().wrap_err_with(|| path.display().to_string())?;
        write_record(&outcome.lines, file).into_diagnostic().wrap_err_with(|| path.display().to_string())?;
    }
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
    for (front, snapshot) in outcome.fronts.iter().enumerate() {
        let held: Vec<_> = snapshot.held_back.iter().filter(|(_, n)| *n > 0).collect();
        tracing::info!(front, ?snapshot, "the front's own counts");
        if !held.is_empty() {
            println!("  front {front} held back {held:?}");
        }
    }
    Ok(if outcome.verdict.kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

pub fn audit(path: &Path) -> miette::Result<ExitCode> {
    let file = std::fs::File::open(path).into_diagnostic().wrap_err_with(|| path.display().to_string())?;
    let lines = read_record(std::io::BufReader::new(file)).into_diagnostic()?;
    let verdict = rules(&lines, Terms::default());
    print!("{}", baydrift_day::table(&verdict, &baydrift_audit::service(&lines, &[], &[])));
    Ok(if verdict.kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
