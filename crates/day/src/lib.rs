//! Scripted runs: a scenario defines fronts, servers, callers and scheduled faults. [`run_on_sockets`] plays it on
//! loopback sockets with real fronts, [`run_processes`] with separate processes, [`run_virtual`] in virtual
//! time without sockets; [`Outcome`] is the audit of the run's record.

mod baseline;
mod bench;
mod emulated;
mod error;
mod processes;
mod random;
mod rounds;
mod run;
mod scenario;
mod schedule;
mod table;
mod timeline;
mod topology;

pub use baseline::RoundRobin;
pub use bench::{from_bench, BenchError};
pub use emulated::run_virtual;
pub use error::ScenarioError;
pub use processes::{run_processes, run_stand_in, Program, StandInError};
pub use random::{with_random_faults, with_random_process_faults};
pub use rounds::{run_rounds, RoundsError, RoundsSpec, RoundsTally};
pub use run::{run_on_sockets, Outcome};
pub use scenario::{
    parse, parse_schedule, Bounds, Class, FaultKind, Participant, Policy, Publisher, ResourceLimit, Scenario,
    ScheduledFault, Servers, Start,
};
pub use schedule::{format_schedule, Minimizer};
pub use table::{sums_table, table};
pub use topology::{config_text, config_text_at, FrontAddrs};
