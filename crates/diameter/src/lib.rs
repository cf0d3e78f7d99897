//! Diameter base protocol (RFC 6733) without I/O: the driver passes in messages and the time, and carries out
//! the resulting actions.
//!
//! [`Codec`] is a `tokio-util` decoder and encoder; decoded AVPs are slices of the receive buffer. [`Peer`]
//! is the peer state machine of section 5.6, including the watchdog of RFC 3539 ([`Watchdog`]). [`credit`]
//! reads and writes credit-control messages (RFC 8506), [`load`] the load reports carried in answers.
//!
//! A [`Fault`] is an error in one message and holds the contents of the error answer that the RFC requires. A
//! [`StreamError`] is an error after which the rest of the stream cannot be decoded.

mod avp;
mod codec;
pub mod credit;
pub mod dict;
mod fault;
pub mod load;
mod message;
mod peer;
mod watchdog;

pub use avp::{Avp, MAX_GROUP_DEPTH};
pub use codec::{Codec, Frame};
pub use fault::{result, Fault, StreamError};
pub use message::{code, Flags, Header, Message};
pub use peer::{
    cause, read_capabilities, wins_election, Local, Peer, PeerInput, PeerOutput, Reason, Remote, Side, State,
    HANDSHAKE_TIMEOUT,
};
pub use watchdog::{Watchdog, WatchdogAction, WatchdogEvent, WatchdogState};

/// Time in microseconds, as in the `baydrift` crate.
pub use baydrift::interface::Micros;
