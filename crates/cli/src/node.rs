//! `baydrift node`: a front node of the users' platform.

use std::process::ExitCode;

use baydrift_node::{transport, Config};
use miette::IntoDiagnostic;

/// Exit code where configuration or environment is of no use.
const UNUSABLE: u8 = 2;

/// Runs until it is told to stop.
pub fn run(clock_off: i64) -> miette::Result<ExitCode> {
    // One core and little memory: one thread, and one that runs all.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    let node = async { transport::run(Config::path()?, clock_off).await };
    Ok(match tokio::task::LocalSet::new().block_on(&runtime, node) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("baydrift node: {error}");
            ExitCode::from(UNUSABLE)
        }
    })
}
