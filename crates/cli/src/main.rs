//! `baydrift`: the command line of the call router.

mod budgets;
mod circuits;
mod day;
mod demo;
mod fleet;
mod front;
mod membership;
mod node;
mod seeds;
mod trunks;
mod warm_up;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use miette::{IntoDiagnostic, WrapErr};
use tracing_subscriber::EnvFilter;

/// Messages are allocated on one thread and freed on another, which is slow with the system's allocator.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// A call router at the network edge: sets up calls at a few central session servers over Diameter.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Format of the log, which is written to standard error.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log: LogFormat,
    /// Log level (error, warn, info or debug) or a filter such as "baydrift_desk=debug".
    #[arg(long, global = true, default_value = "warn")]
    log_level: String,
    /// Id of the parent process; this process is killed when that one ends.
    #[arg(long = "tied", value_name = "TIED", global = true, hide = true)]
    parent_pid: Option<u32>,
    /// Offset that is added to the wall clock, in microseconds.
    #[arg(long = "clock-off", value_name = "CLOCK_OFF", global = true, hide = true)]
    #[arg(allow_negative_numbers = true, default_value = "0")]
    clock_offset: i64,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Run a front until SIGINT or SIGTERM.
    Front {
        /// Configuration file.
        config: PathBuf,
    },
    /// Run a front node of the users' platform, configured by the file that RELAY_CONFIG names.
    Node,
    /// Check a configuration and report every error with its line.
    Check {
        /// Configuration file.
        config: PathBuf,
    },
    /// Run a front with three stand-in servers and callers, all in this process on loopback.
    Demo(demo::Args),
    /// Run a scenario with real fronts on loopback; exit code 1 if a rule was broken.
    Day(day::Args),
    /// Audit a record against the rules; exit code 1 if one was broken.
    Audit {
        /// Record file, as `baydrift day --record` writes it.
        record: PathBuf,
    },
    /// Simulate two exchanges and their trunk groups in virtual time: glare, lost signalling, audits; exit
    /// code 1 if a circuit stays busy or a call ends twice.
    Trunks(trunks::Args),
    /// Simulate a fleet that shares one budget, in virtual time: its utilisation, or many seeds with random
    /// faults; exit code 1 if the sum over all fronts exceeds the budget.
    Budgets(budgets::Args),
    /// Simulate a fleet at a server that is warming up, in virtual time: the load from all fronts together
    /// against what overloads the server; exit code 1 if any start exceeds the bound.
    #[command(name = "ramps")]
    WarmUp(warm_up::Args),
    /// Simulate the membership protocol of a fleet, in virtual time: time to converge and traffic, or many
    /// seeds with random faults; exit code 1 if a front's view stays wrong.
    #[command(name = "lives")]
    Membership(membership::Args),
    /// Run one stand-in of a day as a process; its role is read from standard input.
    #[command(hide = true)]
    StandIn,
    /// Replace this process by another build of the program, which keeps the tie to the parent process.
    #[command(name = "become", hide = true)]
    Exec {
        /// Program file of the other build.
        program: PathBuf,
        /// Arguments of the other build.
        #[arg(last = true, value_name = "WORDS")]
        arguments: Vec<String>,
    },
    /// Show the fleet as a running front sees it: the members believed alive, the age of that information,
    /// and the front's part of each shared budget.
    Fleet(fleet::Args),
    /// Show the trunk groups of a running front: the use of their circuits, its duration, and the last audit.
    Circuits(circuits::Args),
}

fn main() -> miette::Result<ExitCode> {
    let args = Args::parse();
    if !args.parent_pid.is_none_or(tie_to_parent) {
        return Ok(ExitCode::FAILURE);
    }
    let filter = EnvFilter::try_new(&args.log_level).into_diagnostic().wrap_err("--log-level")?;
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match args.log {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
    // Built only on demand: a front node runs on a single thread, and some commands do no asynchronous work.
    let runtime = || tokio::runtime::Builder::new_multi_thread().enable_all().build().into_diagnostic();
    match args.command {
        Command::Front { config } => runtime()?.block_on(front::run(&config, args.clock_offset)),
        Command::Node => node::run(args.clock_offset),
        Command::Check { config } => front::check(&config),
        Command::Demo(args) => runtime()?.block_on(demo::run(args)),
        Command::Day(args) => runtime()?.block_on(day::run(args)),
        Command::Audit { record } => day::audit(&record),
        Command::Trunks(args) => runtime()?.block_on(trunks::run(&args)),
        Command::Budgets(args) => budgets::run(&args),
        Command::WarmUp(args) => warm_up::run(&args),
        Command::Membership(args) => membership::run(&args),
        Command::StandIn => runtime()?.block_on(day::stand_in()),
        Command::Exec { program, arguments } => {
            use std::os::unix::process::CommandExt;
            let mut command = std::process::Command::new(&program);
            let error = command.args(["--log-level", &args.log_level]).args(arguments).exec();
            Err(error).into_diagnostic().wrap_err_with(|| format!("cannot execute {}", program.display()))
        }
        Command::Fleet(args) => runtime()?.block_on(fleet::run(&args)),
        Command::Circuits(args) => runtime()?.block_on(circuits::run(&args)),
    }
}

/// Makes the kernel kill this process when its parent ends, so that a killed driver leaves no process behind.
/// `false` if that fails or the process with this id is no longer the parent.
fn tie_to_parent(parent_pid: u32) -> bool {
    use rustix::process::{getppid, set_parent_process_death_signal, Signal};
    let tied = set_parent_process_death_signal(Some(Signal::KILL)).is_ok();
    tied && getppid().is_some_and(|parent| parent.as_raw_nonzero().get() == parent_pid as i32)
}

/// Reads a file as text; an error names the file.
fn read_file(path: &std::path::Path) -> miette::Result<String> {
    std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {}", path.display()))
}
