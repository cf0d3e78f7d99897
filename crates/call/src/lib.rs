//! The call engine: everything between a protocol and the decision module, without I/O, clock or threads.
//!
//! A driver (tokio on sockets, an emulator in virtual time, a test) feeds [`Engine::handle`] neutral
//! [`Input`]s with the time and carries out the [`Output`]s; [`Engine::next_wake`] says when to come back.
//! The engine owns call and attempt ids, the state of each call, callers' deadlines, attempts that still need a
//! release, and the memory of answered requests. It decides nothing that the module decides: each [`Input`]
//! becomes the module's events as the table says, and each action is carried out as it stands, unless it
//! would break one of the five rules ([`guard`]).
//!
//! # From protocol moments to the module's events
//!
//! | moment | event | load report |
//! | --- | --- | --- |
//! | new call offered | `Call` | |
//! | same request again | none: answered from memory, or with the first | |
//! | set-up stands | `Stands` | own event: `Probed` with lag 0 |
//! | set-up answered otherwise | `Ended`, by result | in it |
//! | no answer in time | `Ended(Timeout)`, then a release | |
//! | server's link suspect, attempt out | `Ended(Timeout)`, then a release | |
//! | server's link down, attempt out | `Ended(Reset)`, a release once it is up | |
//! | server's link suspect or down | `List`: draining, until it is up again | |
//! | set-up asked for all the same | `Ended(Moot)` or `Ended(ConnectFailed)` | |
//! | attempt called off | `Ended(Cancelled)`, then a release | |
//! | caller releases a standing call | at the server's word or its time-out: `Ended(Ok)` | in it |
//! | caller gives up before the answer | `Abandoned`, `Ended(Cancelled)` if one is out | |
//! | server ends a standing call | `Ended(Ok)`, complete | in it |
//! | server ends a call whose answer was lost | `Ended(Ok)`, complete; the caller is told that it failed | in it |
//! | call taken over that stands already | none; its end: a report alone, as unasked news | own event: `Probed` |
//! | server cuts a standing call | `Ended(Reset)`, complete | in it |
//! | server gone or restarted with standing calls | `Ended(Reset)`, complete, each | |
//! | unasked news of load | `Probed` with lag 0 | in it |
//! | list, drain by the peer itself | `List` with what changed | |
//!
//! # Ids
//!
//! A [`baydrift::interface::CallId`] is the low half of a 64-bit count of calls; at its wrap (after 2^32
//! calls, 71 days at 700 a second) ids still held are passed over, so no id means two calls that anything
//! can still name. Nothing of the module outlives the process, so at a restart the count starts anew.
//! An [`AttemptId`] is never used twice by one process; drivers put a boot's own number beside it where
//! servers outlive the front.
//!
//! # Bounds
//!
//! Each table has a bound in [`Limits`]; at it new calls are refused, oldest memories forgotten, and
//! oldest orphans given up, each counted in [`Counts`].

mod engine;
pub mod guard;
mod held;
mod memory;
mod orphans;
pub mod pool;
mod shared;
mod timers;
mod types;

pub use engine::{Counts, Engine, EngineError, Limits, Policy};
pub use shared::BudgetSharing;
pub use types::{
    AttemptEnd, AttemptId, CallStatus, Final, Input, LinkId, LinkState, Offer, Output, Process, Refusal,
    ReleaseResult, Request, Retransmission, Session,
};
