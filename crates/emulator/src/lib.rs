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
mod membership;
mod offers;
mod processor;
mod queue;
mod server;
mod text;
mod trunk_pair;
mod warm_up;
mod way;
mod world;

pub use budgets::{
    random_budget_faults, simulate_budget, BudgetFault, BudgetSharing, BudgetSpec, BudgetTally,
};
pub use caller::{CallerInput, CallerOutput, CallerSpec, Callers};
pub use far_end::{FarEnd, FarEndInput, FarEndOutput, FarEndSpec};
pub use link::Fault;
pub use membership::{
    random_membership_faults, simulate_membership, MembershipFault, MembershipSpec, MembershipTally,
};
pub use offers::{Flow, Offers};
pub use processor::{Processor, ProcessorSpec, Taken, Work};
pub use queue::Queue;
pub use server::{Command, ConnId, ServerInput, ServerOutput, ServerSpec, SessionServer};
pub use text::{datagram_events, TextCallers, TextOutput, TextSpec};
pub use trunk_pair::{TrunkPair, TrunkPairSpec, TrunkTally};
pub use warm_up::{simulate_warm_up, WarmUpSpec, WarmUpStart};
pub use way::{Way, WaySpec, RESENT_AFTER};
pub use world::{Place, Roughness, World, WorldSpec};
