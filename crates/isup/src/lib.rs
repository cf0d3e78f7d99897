//! ISUP messages (Q.763) between two exchanges, carried in M3UA DATA (RFC 4666) over TCP instead of SCTP.
//!
//! [`Message`] is one message for one circuit: its type, and its parameters as octets in the order of the
//! message format. One table describes the format of every message type (mandatory fixed, mandatory
//! variable and optional part); decoder and encoder share it. A message has at most [`MESSAGE_MAX`] octets,
//! a packet at most [`PACKET_MAX`].

mod build;
mod causes;
mod error;
mod format;
mod m3ua;
mod message;
mod params;

pub use build::{CalledNumber, CircuitState, Iam, Processing};
pub use causes::{cause, Cause};
pub use error::Error;
pub use format::MessageType;
pub use m3ua::{Codec, Data, Packet, StreamError, PACKET_MAX};
pub use message::{Message, CIC_MAX, MESSAGE_MAX};
pub use params::{param, Compatibility, Param, Range};
