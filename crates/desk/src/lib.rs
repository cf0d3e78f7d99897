//! The session layer: maps Diameter requests, H.248 text commands and trunk circuits to calls of the engine
//! and back, without I/O.
//!
//! It decides which request belongs to which call, which answer ends which attempt, what each Result-Code
//! means and which peers may connect.
//!
//! [`SessionLayer`] owns the [`baydrift_call::Engine`]. A driver passes it messages whose base protocol a
//! [`baydrift_diameter::Peer`] has checked, and sends the resulting outputs. [`Admission`] counts connections
//! before and after their capabilities exchange. [`OutstandingRequests`] maps the answers on one server link
//! to attempts.

mod admission;
mod classification;
mod commands;
mod links;
mod outstanding;
mod pool;
mod process_identity;
mod result_codes;
mod session_layer;
mod stall_monitor;
mod text;
mod trunk;

pub use admission::{Admission, AdmittedClient};
pub use classification::{number_of, CallAttributes, CallClassifier};
pub use links::{local_capabilities, ClientLink, LinkOutput, SendDecision, ServerLink};
pub use outstanding::{OutstandingRequests, RequestKind};
pub use pool::{PoolEntry, PoolError, PoolList};
pub use process_identity::ProcessIdentity;
pub use result_codes::{attempt_end, result_code};
pub use session_layer::{Held, SessionInput, SessionLayer, SessionOutput};
pub use stall_monitor::{StallMonitor, CATCH_UP};
pub use trunk::TrunkGroupView;
