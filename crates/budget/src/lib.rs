//! Rate budgets shared by all fronts of a fleet: a fixed number of events per window, such as set-ups sent to
//! a server in warm-up, new connections to a server, or queries to the name server.
//!
//! A budget consists of *units*. Each unit may be spent once per window and is held by at most one front at
//! any time, even if messages are lost, duplicated or delayed, and if processes stall or restart. The sum
//! over all fronts therefore never exceeds the budget in any window.
//!
//! - [`Share`] assigns each unit to an owning front, computed from the budget's id and the number of fronts
//!   alone.
//! - [`Escrow`] is one front's account: its own units, those lent to other fronts, and those borrowed from
//!   them. Units in transit belong to nobody. A loan expires later on the lender's clock than on the
//!   borrower's.
//! - [`Borrower`] is the borrowing policy: which fronts to ask for units, when, and for how many.
//! - [`BudgetMessage`] is the protocol between fronts, in at most [`MAX_MESSAGE_BYTES`] bytes a message.
//!
//! Nothing here does I/O, reads a clock or starts a thread. Time is a process's monotonic clock in
//! microseconds.

mod borrower;
mod clock;
mod escrow;
mod message;
mod share;

pub use borrower::{Borrower, BorrowerConfig};
pub use clock::StallDetector;
pub use escrow::{Escrow, EscrowConfig, EscrowConfigError, Holdings};
pub use message::{BudgetId, BudgetMessage, MessageError, RequestId, MAX_MESSAGE_BYTES};
pub use share::Share;
