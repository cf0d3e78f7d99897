//! Between Diameter and the call engine, without I/O: which request is which call, which answer ends which
//! attempt, what each Result-Code means, and who may connect at all.
//!
//! [`Desk`] owns the [`baydrift_call::Engine`]. A driver hands it messages whose base protocol a
//! [`baydrift_diameter::Peer`] has checked, and sends what comes out. [`Doors`] counts connections before and
//! after their capabilities exchange. [`Transit`] is one server link's memory of requests sent.

mod boot;
mod commands;
mod desk;
mod doors;
mod facts;
mod links;
mod meaning;
mod pool;
mod stalls;
mod text;
mod transit;
mod trunk;

pub use boot::Boot;
pub use desk::{Desk, DeskInput, DeskOutput, Held};
pub use doors::{Doors, Opened};
pub use facts::{number_of, Facts, Table};
pub use links::{local, Asked, ClientLink, LinkOutput, ServerLink};
pub use meaning::{code_of, end_of};
pub use pool::{PoolEntry, PoolError, PoolList};
pub use stalls::{Stalls, CATCH_UP};
pub use transit::{Kind, Transit};
pub use trunk::TrunkGroupView;
