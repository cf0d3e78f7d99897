//! Days: a script names fronts, servers, callers and troubles; [`run_on_sockets`] plays them on loopback
//! sockets with real fronts, [`run_virtual`] plays the same without sockets, and [`Outcome`] is what
//! the record shows.

mod baseline;
mod bench;
mod cast;
mod course;
mod draw;
mod emulated;
mod error;
mod processes;
mod rounds;
mod run;
mod schedule;
mod script;
mod table;

pub use baseline::RoundRobin;
pub use bench::{from_bench, BenchError};
pub use cast::{config_text, config_text_at, Places};
pub use draw::{drawn, drawn_for_processes};
pub use emulated::run_virtual;
pub use error::DayError;
pub use processes::{run_processes, run_stand_in, Program, StandInError};
pub use rounds::{run_rounds, RoundsError, RoundsSpec, RoundsTally};
pub use run::{run_on_sockets, Outcome};
pub use schedule::{schedule_text, Shorten};
pub use script::{
    parse, parse_troubles, Bounds, Class, Day, Party, Policy, Publisher, Servers, Start, Starved, Trouble,
    What,
};
pub use table::{sums_table, table};
