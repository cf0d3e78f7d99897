//! Protocols of the users' platform towards a front node, without I/O.
//!
//! [`message`] has the call messages and their framing, [`setup`] the parameters of a set-up, [`report`] the
//! load reports, whose field names are configured, [`server_list`] the configured list of signalling servers
//! and its versions, and [`dns`] the same list as DNS records.
//!
//! No input causes a panic: malformed input is reported as a [`PlatformError`] that names the field and the
//! defect.

pub mod dns;
pub mod error;
pub mod message;
pub mod report;
pub mod server_list;
pub mod setup;

pub use error::PlatformError;
pub use message::{CallId, Cause, Message, MessageDecoder, MessageType, ParameterCode};
pub use server_list::{ListSnapshot, ListedServer, ServerList};
