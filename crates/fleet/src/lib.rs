//! Membership of a fleet: which fronts are alive, as seen by one of them.
//!
//! The fronts of a fleet are configured by ordinal; which of them are alive is detected at run time. [`foca`]
//! implements SWIM (random probes, suspicion, and updates piggybacked on probes). This crate adds what a
//! fleet of fronts needs beyond that:
//!
//! - the incarnation of a [`Member`], new with each process, so that messages of earlier processes have no
//!   effect;
//! - a wire format that rejects unknown members and implausible incarnations, and stays within 256 bytes a
//!   datagram;
//! - joining while all other fronts may be down, and rejoining after a network partition of any duration;
//! - detection of stalls of the local process, which then reports itself as [learning](View::learning) and
//!   does not declare other members down because of its own stall;
//! - a [`View`] that states how old its information is and whether it can be relied on, beside the number of
//!   members.
//!
//! Nothing here does I/O, reads a clock or starts a thread, and all randomness is seeded:
//! [`Membership::handle`] and [`Membership::poll`] take the time and produce the datagrams to send.

mod membership;
mod wire;

pub use membership::{LocalFront, Membership, MembershipConfig, View};
pub use wire::{DatagramError, Member, MAX_DATAGRAM_BYTES};
