//! The users' platform as a front node meets it, without I/O.
//!
//! [`message`] has the call messages and their framing, [`setup`] reads what a caller offers, [`report`] the
//! load reports by name, [`list`] the list of signalling servers from its events and [`names`] from DNS.
//!
//! Nothing here panics on input: what cannot be read is a typed [`PlatformError`] that names what and where.

pub mod dns;
pub mod error;
pub mod message;
pub mod report;
pub mod server_list;
pub mod setup;

pub use error::PlatformError;
pub use message::{CallId, Cause, Message, MessageDecoder, MessageType, ParameterCode};
pub use server_list::{ListSnapshot, ListedServer, ServerList};
