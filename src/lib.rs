//! Call routing and overload control for one front node at a network's edge: baydrift decides at which of a
//! few central signalling servers a call is set up, and which calls are refused when the servers are
//! overloaded.
//!
//! A front keeps one [`Controller`], passes it its input as [`interface::Event`]s with the current time, and
//! carries out the [`interface::Action`]s that it returns. The module performs no input or output, reads no
//! clock and starts no threads; the same events and seed give the same actions.
//!
//! ```
//! use baydrift::interface::*;
//! use baydrift::Controller;
//!
//! let settings = Settings {
//!     fronts: 2,
//!     ordinal: 0,
//!     own_number: None,
//!     classes: vec![Class {
//!         worth: 1.0,
//!         late_worth: 0.2,
//!         aim: 2_000_000,
//!         deadline: 9_000_000,
//!         repeat: Repeat::Safe,
//!         servers: None,
//!     }],
//!     tenants: vec![],
//!     over_share_worth: 1.0,
//!     max_attempts: 4,
//!     may_cancel: true,
//!     may_probe: false,
//!     may_gossip: false,
//!     max_retry_after: 0,
//!     reports: ReportPath::Answers,
//!     subscribe: false,
//!     retransmit_after: 500_000,
//!     retry_holdoff: 300_000,
//!     cold_from: 0.3,
//!     warm_up_time: 12_000_000,
//!     fall_multiple: 2.0,
//!     fall_time: 1_500_000,
//! };
//! let mut controller = Controller::new(settings, 7)?;
//! let mut actions = Vec::new();
//!
//! // The server list comes first, then calls.
//! let entry = |server, number| Entry { server, number, state: ServerState::Ready, started_at: None };
//! controller.handle(0, Event::List(ListKind::Full, vec![entry(11, 0), entry(12, 1)]), &mut actions);
//! let call = Call {
//!     id: 1,
//!     class: 0,
//!     tenant: 0,
//!     number: 555_0100,
//!     caller_timeout: 3_000_000,
//!     first_choice: Some(1),
//!     redial: None,
//!     in_transit: false,
//!     was_dropped: false,
//! };
//! actions.clear();
//! controller.handle(10_000, Event::Call(call), &mut actions);
//!
//! // The front carries the actions out with its own signalling stack and timers.
//! for action in &actions {
//!     match action {
//!         Action::Send { call, server, timeout, .. } => {
//!             println!("set up call {call} at server {server} within {timeout} us")
//!         }
//!         Action::Refuse { call, .. } | Action::Fail(call) => println!("refuse call {call}"),
//!         Action::Timer { at, token, .. } => println!("wake at {at} with {token}"),
//!         other => println!("{other:?}"),
//!     }
//! }
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { call: 1, server: 12, .. })));
//! # Ok::<(), SettingsError>(())
//! ```

#![forbid(unsafe_code)]

pub mod config;
mod first_dialled;
mod gossip;
pub mod interface;
mod measure;
mod policy;
mod state;

pub use policy::Controller;
