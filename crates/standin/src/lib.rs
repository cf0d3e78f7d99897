//! Test doubles on loopback: the models of `baydrift-emulator` on sockets, a list service, a name server, a
//! signalling platform, and relays that inject faults. Servers, callers and watched relays put their messages
//! on record.

mod caller;
mod far_end;
mod link;
mod list_service;
mod name_server;
mod packet_relay;
mod platform;
mod server;
mod text;

pub use baydrift_emulator::{
    CallerSpec, Command, EnqueueOutcome, Flow, LinkFault, OfferedLoad, Processor, ProcessorSpec, ServerSpec,
    TextSpec, Work,
};
pub use caller::Caller;
pub use far_end::FarEnd;
pub use link::{DatagramRelay, Link, RecordedClient};
pub use list_service::push;
pub use name_server::{list_answer, relay_config, Listed, NameServer};
pub use packet_relay::PacketRelay;
pub use platform::{PlatformCaller, PlatformServer, ServerBehaviour, SetUpOutcome};
pub use server::{Restart, Server};
pub use text::TextCaller;
