//! One end of ISUP trunk groups (Q.764): circuits, their timers, blocking, reset and audits, without I/O,
//! clock or threads.
//!
//! [`Trunks`] owns all trunk groups of an exchange. It takes signals from far ends and requests from call
//! control, and returns [`Output`]s: signals to send and events of calls. The decisions are pure functions in
//! [`rules`]: circuit selection, dual seizure (glare), reattempt after a lost dual seizure, detection of
//! stuck circuits, and which end's blocking state applies.
//!
//! Memory is bounded: the number of circuits is configured, a call holds one circuit, and each group has at
//! most one audit query outstanding.

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
    CallKey, Cic, CircuitView, End, GroupId, GroupView, Maintenance, Output, Processing, ReportedState,
    Setup, Signal, Usage,
};
