//! Why a day cannot be played.

use baydrift_config::ConfigError;
use baydrift_front::FrontError;

/// Why a day cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum DayError {
    /// A front's configuration is not good: a fault of the script's figures.
    #[error("the fronts' configuration: {0}: {1}")]
    Config(Box<ConfigError>, String),
    /// A front cannot start.
    #[error(transparent)]
    Front(#[from] FrontError),
    /// A stand-in cannot start.
    #[error("a stand-in: {0}")]
    Io(#[from] std::io::Error),
    /// A front's thread ended by itself.
    #[error("a front ended before its time")]
    Ended,
    /// The script names a trouble that only processes can have.
    #[error("{0:?} is a trouble of processes: play the day with --processes")]
    NeedsProcesses(crate::script::What),
    /// A process of the day did not start as it should: a fault of the driver or its surroundings, or of the program.
    #[error("{name} did not start: {why}")]
    Start {
        /// Which.
        name: String,
        /// Why.
        why: String,
    },
}
