//! What fronts say to each other of budgets.

use serde::{Deserialize, Serialize};

/// The most bytes of a word. Guards against datagrams that the fleet's settings do not allow.
pub const WORD_MAX: usize = 64;

/// A budget's name: the same at all fronts, another for each cold start of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetId(pub u64);

/// An ask's name, never used twice: by which front, which of its processes, and its count there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ask {
    /// Ordinal of the front that asks.
    pub front: u32,
    /// Its process: drawn anew at each start. It is compared for equality alone, so none is from the future.
    pub incarnation: u64,
    /// Its count of asks.
    pub number: u32,
}

/// A word between two fronts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Word {
    /// Units are wanted.
    Ask {
        /// Of this budget.
        budget: BudgetId,
        /// The ask.
        ask: Ask,
        /// So many at most.
        wanted: u16,
    },
    /// The loan that an earlier ask brought shall last longer.
    Keep {
        /// Of this budget.
        budget: BudgetId,
        /// This ask.
        ask: Ask,
        /// Count of the ask that brought the loan.
        loan: u32,
    },
    /// An answer: so many are lent, from the moment of the ask on, for the budget's lease.
    Grant {
        /// Of this budget.
        budget: BudgetId,
        /// The ask that it answers.
        ask: Ask,
        /// How many; for a kept loan as before.
        units: u16,
    },
    /// A loan is given back before its end.
    Back {
        /// Of this budget.
        budget: BudgetId,
        /// The ask that brought it.
        ask: Ask,
        /// All its units can be spent again after so many microseconds.
        busy: u64,
    },
}

/// Why a datagram is no word.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum WordError {
    /// Longer than any word.
    #[error("{0} bytes, and at most {WORD_MAX} are a word")]
    Long(usize),
    /// Not a word's form.
    #[error("the bytes are no word of budgets")]
    Form,
}

impl Word {
    /// Its bytes.
    pub fn write(&self) -> Vec<u8> {
        // Fixed numbers into a vector: nothing of it can fail.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// Where it is too long, is of another form, or has bytes left over.
    pub fn read(bytes: &[u8]) -> Result<Self, WordError> {
        if bytes.len() > WORD_MAX {
            return Err(WordError::Long(bytes.len()));
        }
        match postcard::take_from_bytes(bytes) {
            Ok((word, [])) => Ok(word),
            _ => Err(WordError::Form),
        }
    }

    /// The budget that it is of.
    pub fn budget(&self) -> BudgetId {
        match self {
            Self::Ask { budget, .. }
            | Self::Keep { budget, .. }
            | Self::Grant { budget, .. }
            | Self::Back { budget, .. } => *budget,
        }
    }
}
