//! H.248.1 text commands as RFC 3525 has them (Annex B), without I/O.
//!
//! [`parse`] reads a message with a combinator grammar into a tree of [`Item`]s and then into typed
//! [`Message`]s; what is wrong is an [`Error`] with line, column, what was expected, and the code that RFC 3525
//! answers it with. [`Message::write`] writes it back, compact or pretty; what is written reads back the same.
//!
//! Bounds: a message has at most [`TEXT_MAX`] bytes and nests at most [`DEPTH_MAX`] deep. Parsing looks at each
//! byte a bounded number of times.

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
