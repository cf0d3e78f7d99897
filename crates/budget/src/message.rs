//! Messages that fronts exchange about shared budgets.

use serde::{Deserialize, Serialize};

/// Maximum length of an encoded message. Keeps datagrams within what the fleet's configuration allows.
pub const MAX_MESSAGE_BYTES: usize = 64;

/// Identifies a budget. The same at all fronts, and different for each cold start of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetId(pub u64);

/// Identifies a request and is never reused: the front, the incarnation of its process, and a sequence
/// number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "Ask")]
pub struct RequestId {
    /// Ordinal of the requesting front.
    pub front: u32,
    /// Incarnation of its process, drawn anew at each start. It is only compared for equality, never ordered.
    pub incarnation: u64,
    /// Sequence number within that process.
    pub number: u32,
}

/// A message between two fronts. Postcard encodes variants and fields by position, so their order must not
/// change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "Word")]
pub enum BudgetMessage {
    /// Asks for a loan of units.
    #[serde(rename = "Ask")]
    Request {
        /// Budget to borrow from.
        budget: BudgetId,
        /// Id of this request.
        request: RequestId,
        /// Maximum number of units.
        wanted: u16,
    },
    /// Asks to extend the loan that an earlier request opened.
    #[serde(rename = "Keep")]
    Renew {
        /// Budget of the loan.
        budget: BudgetId,
        /// Id of this request.
        request: RequestId,
        /// Sequence number of the request that opened the loan.
        loan: u32,
    },
    /// Response to either kind of request: the units are lent for the budget's lease, counted from the
    /// request.
    Grant {
        /// Budget of the loan.
        budget: BudgetId,
        /// Id of the request that this answers.
        request: RequestId,
        /// Number of units lent; for a renewed loan the same as before.
        units: u16,
    },
    /// Returns a loan before it expires.
    #[serde(rename = "Back")]
    Return {
        /// Budget of the loan.
        budget: BudgetId,
        /// Id of the request that opened the loan.
        request: RequestId,
        /// Microseconds until all returned units can be spent again.
        busy: u64,
    },
}

/// Why a datagram is not a valid budget message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The datagram exceeds [`MAX_MESSAGE_BYTES`]; carries its length.
    #[error("budget message of {0} bytes exceeds the maximum of {MAX_MESSAGE_BYTES}")]
    TooLong(usize),
    /// The bytes do not decode to exactly one message.
    #[error("malformed budget message")]
    Malformed,
}

impl BudgetMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Serialising fixed-size numbers into a vector cannot fail.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// If the datagram is too long, malformed, or has trailing bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong(bytes.len()));
        }
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Ok(message),
            _ => Err(MessageError::Malformed),
        }
    }

    /// The budget that the message is about.
    pub fn budget(&self) -> BudgetId {
        match self {
            Self::Request { budget, .. }
            | Self::Renew { budget, .. }
            | Self::Grant { budget, .. }
            | Self::Return { budget, .. } => *budget,
        }
    }
}
