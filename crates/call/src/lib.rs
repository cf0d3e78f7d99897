//! The call engine: everything between a protocol and the decision module, without I/O, clock or threads.
//!
//! A driver (tokio on sockets, an emulator in virtual time, a test) passes protocol-independent [`Input`]s
//! and the current time to [`Engine::handle`] and carries out the [`Output`]s; [`Engine::next_wake`] is the
//! latest time of the next call. The engine owns the ids of calls and attempts, the state of each call, the
//! deadlines of callers, attempts that still need a release, and the cache of final answers. All routing
//! decisions are made by the [`Policy`], in production the decision module: each [`Input`] is translated to
//! the policy's events by the table below, and each action is carried out unchanged unless it would violate
//! one of the five rules ([`guard`]).
//!
//! # From inputs to the policy's events
//!
//! | input | event | load report |
//! | --- | --- | --- |
//! | new call offered | `Call` | |
//! | repeated request | none: answered from the cache, or together with the first request | |
//! | set-up confirmed | `Established` | separate event: `Probed` with lag 0 |
//! | set-up answered otherwise | `Ended`, by result | included |
//! | no answer before the timeout | `Ended(Timeout)`, then a release | |
//! | server's link suspect, attempt in flight | `Ended(Timeout)`, then a release | |
//! | server's link down, attempt in flight | `Ended(Reset)`, a release once the link is up | |
//! | server's link suspect or down | `List`: draining, until the link is up again | |
//! | set-up nevertheless requested there | `Ended(Moot)` or `Ended(ConnectFailed)` | |
//! | attempt cancelled | `Ended(Cancelled)`, then a release | |
//! | caller releases an established call | on the server's answer or its timeout: `Ended(Ok)` | included |
//! | caller cancels before the answer | `Abandoned`, `Ended(Cancelled)` if an attempt is in flight | |
//! | server clears an established call | `Ended(Ok)`, complete | included |
//! | server clears a call whose answer was lost | `Ended(Ok)`, complete; caller gets `Failed` | included |
//! | established call taken over | none; at its end the load report alone | separate event: `Probed` |
//! | server cuts an established call | `Ended(Reset)`, complete | included |
//! | server gone or restarted with established calls | `Ended(Reset)`, complete, for each | |
//! | unsolicited load report | `Probed` with lag 0 | included |
//! | list, drain announced by the server itself | `List` with the changed entries | |
//!
//! # Ids
//!
//! A [`baydrift::interface::CallId`] is the low half of a 64-bit call counter. When it wraps (after 2^32
//! calls, 71 days at 700 calls per second), ids still in use are skipped, so that no id denotes two calls
//! that are still referenced. The policy's state does not outlive the process, so the counter restarts with
//! it. An [`AttemptId`] is never reused within a process; where servers outlive the front, drivers combine it
//! with a number of their own that identifies the process.
//!
//! # Bounds
//!
//! Each table has a bound in [`Limits`]. At the bound new calls are refused, the oldest cached answers are
//! evicted and the oldest detached attempts are discarded; each case is counted in [`Counts`].

mod active;
mod answer_cache;
mod budgets;
mod detached;
mod engine;
pub mod guard;
pub mod pool;
mod timers;
mod types;

pub use budgets::BudgetSharing;
pub use engine::{Counts, Engine, EngineError, Limits, Policy};
pub use types::{
    AttemptEnd, AttemptId, CallStatus, Final, Input, LinkId, LinkState, Offer, Output, Process, Refusal,
    ReleaseResult, Request, Retransmission, Session,
};
