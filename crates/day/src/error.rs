//! Errors of a run.

use baydrift_config::ConfigError;
use baydrift_front::FrontError;

/// Reasons why a scenario cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The configuration generated for a front is invalid, because of a value in the scenario.
    #[error("the fronts' configuration: {0}: {1}")]
    Config(Box<ConfigError>, String),
    /// A front cannot start.
    #[error(transparent)]
    Front(#[from] FrontError),
    /// A stand-in cannot start.
    #[error("a stand-in: {0}")]
    Io(#[from] std::io::Error),
    /// A front or another process ended before the end of the run.
    #[error("a front ended before the end of the run")]
    Ended,
    /// The scenario has a fault that needs separate processes.
    #[error("{0:?} is a fault of processes: play the day with --processes")]
    NeedsProcesses(crate::scenario::FaultKind),
    /// A process did not start: a fault of the driver, of its environment or of the program.
    #[error("{name} did not start: {why}")]
    Start {
        /// The process.
        name: String,
        /// The reason.
        why: String,
    },
}
