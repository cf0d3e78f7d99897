//! The front node of the users' platform: their callers and signalling servers on one side each, the call engine
//! and the decision module in between.
//!
//! [`state`] holds everything that the node knows and decides nothing that the module decides; it does no I/O
//! and reads no clock. [`transport`] puts it on sockets. [`config`] reads what the platform tells a front node at its
//! start.

pub mod config;
pub mod state;
pub mod transport;

pub use config::{Config, ConfigError};
