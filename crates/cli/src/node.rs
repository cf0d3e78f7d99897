//! `baydrift node`: a front node of the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use baydrift_node::{coat, Config, ConfigError};
use miette::IntoDiagnostic;

/// Exit code where configuration or environment is of no use.
const UNUSABLE: u8 = 2;

/// Runs until it is told to stop.
pub fn run() -> miette::Result<ExitCode> {
    let started = Config::from_environment().and_then(|config| {
        let path = std::env::var_os("RELAY_CONFIG").map(PathBuf::from).ok_or(ConfigError::Unnamed)?;
        Ok((config, path))
    });
    let (config, path) = match started {
        Ok(started) => started,
        Err(error) => {
            eprintln!("baydrift node: {error}");
            return Ok(ExitCode::from(UNUSABLE));
        }
    };
    // One core and little memory: one thread, and one that runs all.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    let local = tokio::task::LocalSet::new();
    match local.block_on(&runtime, coat::run(config, path)) {
        Ok(()) => Ok(ExitCode::SUCCESS),
        Err(error) => {
            eprintln!("baydrift node: {error}");
            Ok(ExitCode::from(UNUSABLE))
        }
    }
}
