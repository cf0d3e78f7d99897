//! Days: a script names fronts, servers, callers and troubles; [`run`] plays them on loopback sockets with real
//! fronts, and [`Outcome`] is what the record shows.

mod baseline;
mod bench;
mod run;
mod script;
mod table;

pub use baseline::RoundRobin;
pub use bench::{from_bench, BenchError};
pub use run::{config_text, run, DayError, Outcome};
pub use script::{parse, Class, Day, Policy, Publisher, Servers, Trouble, What};
pub use table::table;
