//! Errors in call messages, server lists and DNS answers.

use crate::message::{MAX_LENGTH, MIN_LENGTH};

/// Why an input could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The length of a message, in bytes, is outside [`MIN_LENGTH`] to [`MAX_LENGTH`].
    #[error("message length of {0} bytes; {MIN_LENGTH} to {MAX_LENGTH} are allowed")]
    InvalidLength(usize),
    /// The type byte belongs to no known message type.
    #[error("unknown message type {0}")]
    UnknownType(u8),
    /// A parameter extends past the end of its message.
    #[error("parameter {code} at byte {at} extends past the end of the message")]
    ParameterOverrun {
        /// Parameter code.
        code: u8,
        /// Byte offset of the parameter within the message, without the length field.
        at: usize,
    },
    /// A parameter that may occur at most once occurs twice.
    #[error("parameter {0} occurs twice")]
    DuplicateParameter(u8),
    /// A required parameter is missing.
    #[error("parameter {0} is missing")]
    MissingParameter(u8),
    /// The value of a parameter is malformed or out of range.
    #[error("parameter {code}: {what}")]
    InvalidValue {
        /// Parameter code.
        code: u8,
        /// What is wrong with the value.
        what: &'static str,
    },
    /// The configured server list is malformed.
    #[error("server list: {0}")]
    InvalidList(String),
    /// An answer of the DNS server cannot be used.
    #[error("DNS answer {0}")]
    DnsAnswer(&'static str),
}
