//! What crossed the sockets, and what it shows.
//!
//! Stand-ins write a [`RecordEntry`] for each message that they read or send, with one clock. [`rules`] checks the
//! five rules, [`service`] counts service as the users do; both read the record alone, never a front's word.
//!
//! Messages are timed where a stand-in reads or writes them, so two of them that one front sent in order to
//! two servers can be seen in a slightly different distance: [`SLACK`] is what that may be.

mod loss;
mod record;
mod rules;
mod service;
mod sums;
mod verdict;

pub use loss::REPLY_GAP;
pub use record::{monotonic, read_record, write_record, RecordEntry, RecordError, RecordEvent, Recorder};
pub use rules::{rules, RuleLimits, SLACK};
pub use service::{service, ClassConfig, Latency, Service, Shares};
pub use sums::{sums, Recovery, ServerCapacity, SumLimits, Sums, NEAR};
pub use verdict::{Breach, Excuse, Verdict};
