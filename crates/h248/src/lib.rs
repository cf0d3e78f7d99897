//! H.248.1 (Megaco) messages in the text encoding of RFC 3525, Annex B, without I/O.
//!
//! [`parse`] reads a message with a combinator grammar into a tree of [`Item`]s and converts it to a typed
//! [`Message`]. A syntax error is reported as an [`Error`] with line, column, what was expected, and the
//! error code of RFC 3525 for the reply. [`Message::write`] writes a message in compact or pretty style;
//! parsing the result gives an equal message. [`frame`] and [`unframe`] handle TPKT packets for transport
//! over TCP.
//!
//! Limits: a message has at most [`TEXT_MAX`] bytes and a nesting depth of at most [`DEPTH_MAX`]. Parsing
//! visits each byte a bounded number of times.

mod error;
mod grammar;
mod item;
mod message;
mod read;
mod tpkt;

pub use error::{code, Error, ErrorDescriptor};
pub use grammar::{DEPTH_MAX, TEXT_MAX};
pub use item::{Item, Relation, Style, Value};
pub use message::{
    Action, ActionReply, Body, Command, CommandKind, CommandReply, Context, Message, ReplyBody, Transaction,
};
pub use read::parse;
pub use tpkt::{frame, unframe, TpktError, TPKT_MAX};
