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
mod membership;
mod network_path;
mod offered_load;
mod processor;
mod server;
mod text;
mod trunk_pair;
mod warm_up;
mod world;

pub use budgets::{
    random_budget_faults, simulate_budget, BudgetFault, BudgetSharing, BudgetSpec, BudgetTally,
};
pub use caller::{CallerInput, CallerOutput, CallerSpec, Callers};
pub use event_queue::EventQueue;
pub use far_end::{FarEnd, FarEndInput, FarEndOutput, FarEndSpec};
pub use link::LinkFault;
pub use membership::{
    random_membership_faults, simulate_membership, MembershipFault, MembershipSpec, MembershipTally,
};
pub use network_path::{NetworkPath, NetworkPathSpec, RETRANSMIT_TIMEOUT};
pub use offered_load::{Flow, OfferedLoad};
pub use processor::{EnqueueOutcome, Processor, ProcessorSpec, Work};
pub use server::{Command, ConnId, ServerInput, ServerOutput, ServerSpec, SessionServer};
pub use text::{datagram_events, TextCallers, TextOutput, TextSpec};
pub use trunk_pair::{TrunkPair, TrunkPairSpec, TrunkTally};
pub use warm_up::{simulate_warm_up, WarmUpSpec, WarmUpStart};
pub use world::{DelayModel, ProcessId, World, WorldSpec};
