//! Between [`baydrift_trunk::Signal`]s and [`baydrift_isup::Message`]s, and an exchange's end of its signalling links,
//! without I/O.
//!
//! [`message`] and [`signal`] translate. [`SignallingPoint`] knows which far point each group leads to, turns packets into
//! signals and back, and answers what is not known by its compatibility information (Q.764, 2.9.5).

mod map;
mod office;

pub use map::{message, signal, MapError, Meant};
pub use office::{SignallingCounts, SignallingError, SignallingPoint};
