//! `baydrift`: the call router's command line.

mod budgets;
mod circuits;
mod day;
mod demo;
mod fleet;
mod front;
mod lives;
mod node;
mod ramps;
mod seeds;
mod trunks;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use miette::{IntoDiagnostic, WrapErr};
use tracing_subscriber::EnvFilter;

/// Messages are made by one thread and dropped by another, which the system's allocator is slow at.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// A call router at a network's edge: sets calls up at a few central session servers over Diameter.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Form of the log, on standard error.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log: LogForm,
    /// What is logged: error, warn, info, debug, or a filter such as "baydrift_desk=debug".
    #[arg(long, global = true, default_value = "warn")]
    log_level: String,
    /// Ends with the process of this id, which started it.
    #[arg(long, global = true, hide = true)]
    tied: Option<u32>,
    /// The wall clock is taken for so many microseconds off.
    #[arg(long, global = true, hide = true, allow_negative_numbers = true, default_value = "0")]
    clock_off: i64,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a front until it is told to stop (SIGINT or SIGTERM).
    Front {
        /// Its configuration.
        config: PathBuf,
    },
    /// Runs a front node of the users' platform; configured by the file that RELAY_CONFIG names.
    Node,
    /// Checks a configuration; all that is wrong with it, each with its line.
    Check {
        /// The configuration.
        config: PathBuf,
    },
    /// A front with three stand-in servers and callers, all in this process on loopback.
    Demo(demo::Args),
    /// Plays a scripted day with real fronts on loopback; exit code 1 if a rule broke.
    Day(day::Args),
    /// Checks the rules in a record; exit code 1 if one broke.
    Audit {
        /// The record, as `baydrift day --record` writes it.
        record: PathBuf,
    },
    /// Two exchanges and their trunk groups in virtual time: glare, lost signals, audits; exit code 1 if a circuit
    /// stays busy or a call ends twice.
    Trunks(trunks::Args),
    /// A fleet that shares one budget, in virtual time: what is used of it, or many seeds of drawn faults; exit code 1 if
    /// the sum over all fronts passes the bound.
    Budgets(budgets::Args),
    /// A fleet at a server that starts cold, in virtual time: what all fronts send it together beside what pushes it over;
    /// exit code 1 if any start passes the bound.
    Ramps(ramps::Args),
    /// A fleet that learns who of it lives, in virtual time: how soon and at what cost, or many seeds of drawn faults; exit
    /// code 1 if a belief stays wrong.
    Lives(lives::Args),
    /// One stand-in of a day as a process: what it plays comes on standard input.
    #[command(hide = true)]
    StandIn,
    /// Becomes another build of the program, tied to whom this one is tied to.
    #[command(hide = true)]
    Become {
        /// The other build.
        program: PathBuf,
        /// What it is started with.
        #[arg(last = true)]
        words: Vec<String>,
    },
    /// The fleet as a running front sees it: who of it is believed alive, on how fresh news, and what it has of each shared
    /// budget.
    Fleet(fleet::Args),
    /// The trunk groups of a running front: what circuits are used for, for how long, and the last audit.
    Circuits(circuits::Args),
}

fn main() -> miette::Result<ExitCode> {
    let args = Args::parse();
    if !args.tied.is_none_or(tie) {
        return Ok(ExitCode::FAILURE);
    }
    let filter = EnvFilter::try_new(&args.log_level).into_diagnostic().wrap_err("--log-level")?;
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match args.log {
        LogForm::Text => log.init(),
        LogForm::Json => log.json().init(),
    }
    // Made where it is needed: a front node has one thread, and some commands wait for nothing.
    let runtime = || tokio::runtime::Builder::new_multi_thread().enable_all().build().into_diagnostic();
    match args.command {
        Command::Front { config } => runtime()?.block_on(front::run(&config, args.clock_off)),
        Command::Node => node::run(args.clock_off),
        Command::Check { config } => front::check(&config),
        Command::Demo(args) => runtime()?.block_on(demo::run(args)),
        Command::Day(args) => runtime()?.block_on(day::run(args)),
        Command::Audit { record } => day::audit(&record),
        Command::Trunks(args) => runtime()?.block_on(trunks::run(&args)),
        Command::Budgets(args) => budgets::run(&args),
        Command::Ramps(args) => ramps::run(&args),
        Command::Lives(args) => lives::run(&args),
        Command::StandIn => runtime()?.block_on(day::stand_in()),
        Command::Become { program, words } => {
            use std::os::unix::process::CommandExt;
            let mut other = std::process::Command::new(&program);
            let error = other.args(["--log-level", &args.log_level]).args(words).exec();
            Err(error).into_diagnostic().wrap_err_with(|| format!("cannot become {}", program.display()))
        }
        Command::Fleet(args) => runtime()?.block_on(fleet::run(&args)),
        Command::Circuits(args) => runtime()?.block_on(circuits::run(&args)),
    }
}

/// Asks the system to end this process with the one that started it; `false` where that one is gone already. Guards
/// against processes that a killed driver leaves behind.
fn tie(to: u32) -> bool {
    use rustix::process::{getppid, set_parent_process_death_signal, Signal};
    let tied = set_parent_process_death_signal(Some(Signal::KILL)).is_ok();
    tied && getppid().is_some_and(|parent| parent.as_raw_nonzero().get() == to as i32)
}

/// A file's text, with its name in the error.
fn read(path: &std::path::Path) -> miette::Result<String> {
    std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {}", path.display()))
}
