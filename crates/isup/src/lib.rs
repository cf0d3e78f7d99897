//! ISUP between two exchanges: messages by Q.763, carried in M3UA DATA by RFC 4666, here over TCP in place of SCTP.
//!
//! [`Message`] is one message on one circuit: its type, and parameters as octets in the order of their format.
//! The format of each type (mandatory fixed, mandatory variable, optional) stands once, in a table that reader and
//! writer share. Bounds: a message of at most [`MESSAGE_MAX`] octets, a packet of at most [`PACKET_MAX`].

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
