//! `baydrift node`: runs a front node of the users' platform.

use std::process::ExitCode;

use baydrift_node::{transport, Config};
use miette::IntoDiagnostic;

/// Exit code for an invalid configuration or environment.
const EXIT_CONFIGURATION_ERROR: u8 = 2;

/// Runs the node until SIGTERM has been handled.
pub fn run(clock_offset: i64) -> miette::Result<ExitCode> {
    // The platform gives a front node one core and little memory, so everything runs on this thread.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    let node = async { transport::run(Config::path()?, clock_offset).await };
    Ok(match tokio::task::LocalSet::new().block_on(&runtime, node) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("baydrift node: {error}");
            ExitCode::from(EXIT_CONFIGURATION_ERROR)
        }
    })
}
