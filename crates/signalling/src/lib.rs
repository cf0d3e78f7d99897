//! Conversion between [`baydrift_trunk::Signal`]s and ISUP [`Message`](baydrift_isup::Message)s, and the
//! signalling point of an exchange, without I/O.
//!
//! [`signal_to_message`] and [`message_to_signal`] convert single messages. [`SignallingPoint`] routes
//! packets between far point codes and trunk groups, and handles unrecognized messages by their compatibility
//! information (Q.764, 2.9.5).

mod map;
mod signalling_point;

pub use map::{message_to_signal, signal_to_message, Decoded, MapError};
pub use signalling_point::{SignallingCounts, SignallingError, SignallingPoint};
