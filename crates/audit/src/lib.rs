//! The record of all messages that crossed the sockets of a run, and its evaluation.
//!
//! Test doubles write a [`RecordEntry`] for each message that they read or send, with one clock. [`rules`]
//! checks the five rules, [`service`] computes the service level and [`sums`] computes fleet-wide totals. All
//! three read the record only, never what a front reports about itself.
//!
//! Messages are time-stamped where a test double reads or writes them. The interval between two messages that
//! one front sent to two servers can therefore differ from the real one, by at most [`SLACK`].

mod datagram_loss;
mod record;
mod rules;
mod service;
mod sums;
mod verdict;

pub use datagram_loss::REPLY_GAP;
pub use record::{monotonic, read_record, write_record, RecordEntry, RecordError, RecordEvent, Recorder};
pub use rules::{rules, RuleLimits, SLACK};
pub use service::{service, ClassConfig, Latency, Service, Shares};
pub use sums::{sums, Recovery, ServerCapacity, SumLimits, Sums, NEAR};
pub use verdict::{Breach, Excuse, Verdict};
