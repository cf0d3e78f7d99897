//! The users' platform as a front node meets it, without I/O.
//!
//! [`message`] has the call messages and their framing, [`setup`] reads what a caller offers, [`report`] the
//! load reports by name, [`list`] the list of signalling servers from its events and [`names`] from DNS.
//!
//! Nothing here panics on input: what cannot be read is a typed [`Fault`] that names what and where.

pub mod fault;
pub mod list;
pub mod message;
pub mod names;
pub mod report;
pub mod setup;

pub use fault::Fault;
pub use list::{Fleet, Line, Listed};
pub use message::{Cause, Code, Frames, Id, Kind, Message};
