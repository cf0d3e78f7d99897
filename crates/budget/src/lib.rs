//! Budgets that all fronts of a fleet spend together: so many of something in a window, such as set-ups at a cold server,
//! new connections of a server or questions to the name server.
//!
//! A budget is a number of *units*. Each unit may be spent once in a window; wherever it is, and whatever is lost, doubled,
//! late, stopped or started anew, it is in one front's hand at most. So the sum over all fronts never passes the bound, in
//! no window, not by one.
//!
//! - [`Share`] says which front is whose home: it follows from the budget's name and the number of fronts alone.
//! - [`Escrow`] is one front's hand: own units, units lent to others and borrowed from them. What is on its way belongs to
//!   nobody. A loan ends by the lender's clock later than by the borrower's.
//! - [`Seeker`] decides whom to ask for units, when, and for how many.
//! - [`Word`] is what fronts say to each other, in at most [`WORD_MAX`] bytes.
//!
//! Nothing here does I/O, reads a clock or starts a thread. Time is a process's monotonic clock in microseconds.

mod clock;
mod escrow;
mod seek;
mod share;
mod word;

pub use clock::Steps;
pub use escrow::{Escrow, Holdings, Terms, TermsError};
pub use seek::{Seeker, Seeking};
pub use share::Share;
pub use word::{Ask, BudgetId, Word, WordError, WORD_MAX};
