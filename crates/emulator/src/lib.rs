//! Models of the components around a front, without I/O, and a simulation that runs them together with
//! production session layers and Diameter peers in virtual time.
//!
//! [`SessionServer`], [`Callers`] and [`TextCallers`] take an input and the current time, and return the
//! actions to perform; `baydrift-standin` runs them on sockets, [`World`] runs them without. Equal seeds give
//! runs with identical records, byte for byte.

mod budgets;
mod call_schedule;
mod caller;
mod event_queue;
mod far_end;
mod front;
mod link;
mod lives;
mod network_path;
mod offered_load;
mod processor;
mod ramps;
mod server;
mod text;
mod two_ends;
mod world;

pub use budgets::{drawn_troubles, share_budget, BudgetSharing, BudgetSpec, BudgetTally, BudgetTrouble};
pub use caller::{CallerInput, CallerOutput, CallerSpec, Callers};
pub use event_queue::EventQueue;
pub use far_end::{FarEnd, FarEndSpec, FarInput, FarOutput};
pub use link::LinkFault;
pub use lives::{drawn_lives, who_lives, LivesSpec, LivesTally, LivesTrouble};
pub use network_path::{NetworkPath, NetworkPathSpec, RETRANSMIT_TIMEOUT};
pub use offered_load::{Flow, OfferedLoad};
pub use processor::{EnqueueOutcome, Processor, ProcessorSpec, Work};
pub use ramps::{ramp, RampSpec, RampStart};
pub use server::{Command, ConnId, ServerInput, ServerOutput, ServerSpec, SessionServer};
pub use text::{said, TextCallers, TextOutput, TextSpec};
pub use two_ends::{Tally, TwoEnds, TwoEndsSpec};
pub use world::{DelayModel, ProcessId, World, WorldSpec};
