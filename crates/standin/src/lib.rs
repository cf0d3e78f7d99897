//! What stands around a front on loopback, written from public specifications, seeded, and recorded.

mod agenda;
mod caller;
mod link;
mod list;
mod model;
mod server;
mod text;

pub use caller::{Caller, CallerSpec, Flow, Offers};
pub use link::{Datagrams, Fault, Link};
pub use list::push;
pub use model::{Processor, ProcessorSpec, Taken, Work};
pub use server::{Command, Server, ServerSpec};
pub use text::{TextCaller, TextSpec};
