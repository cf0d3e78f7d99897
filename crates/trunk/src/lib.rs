//! Trunk groups at one end, by Q.764, without I/O, clock or threads: circuits with their timers, and what is decided
//! about them.
//!
//! [`Trunks`] owns all groups of an exchange. It hears signals of far ends and wishes of the call side, and says by
//! [`Output`]s what to send and what became of calls. Decisions, which are pure functions, stand in [`rules`]: which
//! circuit, whose call proceeds when both ends seize one, what the other call does, when a circuit counts as stuck
//! and who is believed.
//!
//! What can grow: circuits are as many as configured, a call holds one circuit, an audit has one query out a group.

mod audit;
mod circuit;
mod group;
pub mod route;
pub mod rules;
mod timers;
mod trunks;
mod types;

pub use audit::AuditSettings;
pub use group::{GroupSpec, SpecError, CIRCUITS_MAX};
pub use timers::TimerSettings;
pub use trunks::{Counts, Trunks};
pub use types::{
    CallKey, Cic, End, GroupId, GroupView, Maintenance, Output, Processing, Setup, Signal, Told, Usage, View,
};
