//! What was wrong with a message or a list.

/// Why something could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// A message's length is out of its bounds.
    #[error("a message claims {0} bytes; {least} to {most} are allowed", least = crate::message::MIN_LENGTH, most = crate::message::MAX_LENGTH)]
    InvalidLength(usize),
    /// No message has this type.
    #[error("unknown message type {0}")]
    UnknownType(u8),
    /// A parameter runs past its message.
    #[error("parameter {code} at byte {at} runs past its message")]
    ParameterOverrun {
        /// Its code.
        code: u8,
        /// Where it begins.
        at: usize,
    },
    /// A parameter that may be there once is there twice.
    #[error("parameter {0} is given twice")]
    DuplicateParameter(u8),
    /// A parameter is missing.
    #[error("parameter {0} is missing")]
    MissingParameter(u8),
    /// A parameter's value is of no use.
    #[error("parameter {code}: {what}")]
    InvalidValue {
        /// Its code.
        code: u8,
        /// What is wrong.
        what: &'static str,
    },
    /// The list's text cannot be read.
    #[error("the list: {0}")]
    InvalidList(String),
    /// A name server's answer cannot be used.
    #[error("the name server's answer: {0}")]
    DnsAnswer(&'static str),
}
