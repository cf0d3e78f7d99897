//! The front node of the users' platform, between their callers and their signalling servers, with the call
//! engine and the decision module inside.
//!
//! [`state`] holds all state and leaves every routing decision to the module; it does no I/O
//! and reads no clock. [`transport`] connects it to sockets. [`config`] reads the configuration
//! that the platform passes to a front node at start.

pub mod config;
pub mod state;
pub mod transport;

pub use config::{Config, ConfigError};
