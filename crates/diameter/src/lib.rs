//! Diameter as RFC 6733 has it, without I/O: bytes and time in, bytes and events out.
//!
//! [`Codec`] is a `tokio-util` decoder and encoder whose AVPs are slices of what was read. [`Peer`] is the
//! peer state machine of section 5.6 with the watchdog of RFC 3539 ([`Watchdog`]) in it. [`credit`] reads
//! and writes the messages of credit control (RFC 8506), [`load`] the load reports that ride on answers.
//!
//! What is wrong with a message is a [`Fault`], which holds the answer that the RFC asks for; what is wrong
//! with a stream, so that nothing after it can be read, is a [`StreamError`].

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

/// Time in whole microseconds, as the decision module counts it.
pub use baydrift::interface::Micros;
