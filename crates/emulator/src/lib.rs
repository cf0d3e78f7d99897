//! Models of what stands around a front, without I/O, and a world that runs them with real desks and peers in
//! virtual time.
//!
//! [`SessionServer`], [`Callers`] and [`TextCallers`] take what they hear and the time, and say what they want
//! done; `baydrift-standin` puts them on sockets, [`World`] runs them without. Equal seeds give equal runs, to the
//! byte of the record.

mod agenda;
mod budgets;
mod caller;
mod far_end;
mod front;
mod link;
mod lives;
mod offers;
mod processor;
mod queue;
mod ramps;
mod server;
mod text;
mod two_ends;
mod way;
mod world;

pub use budgets::{drawn_troubles, share_budget, BudgetSharing, BudgetSpec, BudgetTally, BudgetTrouble};
pub use caller::{CallerInput, CallerOutput, CallerSpec, Callers};
pub use far_end::{FarEnd, FarEndSpec, FarInput, FarOutput};
pub use link::Fault;
pub use lives::{drawn_lives, who_lives, LivesSpec, LivesTally, LivesTrouble};
pub use offers::{Flow, Offers};
pub use processor::{Processor, ProcessorSpec, Taken, Work};
pub use queue::Queue;
pub use ramps::{ramp, RampSpec, RampStart};
pub use server::{Command, ConnId, ServerInput, ServerOutput, ServerSpec, SessionServer};
pub use text::{said, TextCallers, TextOutput, TextSpec};
pub use two_ends::{Tally, TwoEnds, TwoEndsSpec};
pub use way::{Way, WaySpec, RESENT_AFTER};
pub use world::{Place, Roughness, World, WorldSpec};
