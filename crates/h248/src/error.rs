//! Error codes of RFC 3525 and H.248.8, and parse errors with their position.

/// Error codes of RFC 3525 and H.248.8.
pub mod code {
    /// Syntax error in message.
    pub const SYNTAX_IN_MESSAGE: u16 = 400;
    /// Protocol error.
    pub const PROTOCOL: u16 = 401;
    /// Unauthorized.
    pub const UNAUTHORIZED: u16 = 402;
    /// Syntax error in TransactionRequest.
    pub const SYNTAX_IN_TRANSACTION: u16 = 403;
    /// Version not supported.
    pub const VERSION: u16 = 406;
    /// The transaction refers to an unknown ContextID.
    pub const UNKNOWN_CONTEXT: u16 = 411;
    /// Syntax error in Action.
    pub const SYNTAX_IN_ACTION: u16 = 422;
    /// Unknown TerminationID.
    pub const UNKNOWN_TERMINATION: u16 = 430;
    /// No TerminationID matched a wildcard.
    pub const NO_MATCH: u16 = 431;
    /// TerminationID is not in the specified context.
    pub const NOT_IN_CONTEXT: u16 = 435;
    /// Syntax error in Command.
    pub const SYNTAX_IN_COMMAND: u16 = 442;
    /// Unsupported or unknown Command.
    pub const UNKNOWN_COMMAND: u16 = 443;
    /// Unsupported or unknown Descriptor.
    pub const UNKNOWN_DESCRIPTOR: u16 = 444;
    /// Unsupported or unknown Property.
    pub const UNKNOWN_PROPERTY: u16 = 445;
    /// Descriptor not legal in this Command.
    pub const ILLEGAL_DESCRIPTOR: u16 = 447;
    /// Descriptor appears twice in a Command.
    pub const DUPLICATE_DESCRIPTOR: u16 = 448;
    /// Unsupported or unknown parameter or property value.
    pub const UNKNOWN_VALUE: u16 = 449;
    /// Internal software failure.
    pub const INTERNAL: u16 = 500;
    /// Not implemented.
    pub const NOT_IMPLEMENTED: u16 = 501;
    /// Transaction request received before a ServiceChange reply.
    pub const BEFORE_SERVICE_CHANGE: u16 = 505;
    /// Insufficient resources.
    pub const INSUFFICIENT_RESOURCES: u16 = 510;
    /// Unequipped to detect the requested event.
    pub const UNKNOWN_EVENT: u16 = 512;
    /// Response exceeds the maximum transport PDU size.
    pub const PDU_TOO_LARGE: u16 = 533;
}

/// Parse error: why a text is not a valid message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {text} ({code})")]
pub struct Error {
    /// Error code for the reply.
    pub code: u16,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in bytes, counted from 1.
    pub column: usize,
    /// What was expected, or what is invalid. Sent to the peer as part of the error descriptor.
    pub text: String,
    /// TransactionID of the request with the error, if it could be parsed; the reply to it carries the code.
    pub transaction: Option<u32>,
}

impl Error {
    /// Creates an error at a byte offset of the text.
    pub(crate) fn at(text: &str, offset: usize, code: u16, message: impl Into<String>) -> Self {
        let before = text.as_bytes().get(..offset.min(text.len())).unwrap_or_default();
        let line = before.iter().filter(|b| **b == b'\n').count() + 1;
        let column = before.iter().rev().take_while(|b| **b != b'\n').count() + 1;
        Self { code, line, column, text: message.into(), transaction: None }
    }

    /// Converts the error to the error descriptor that reports it.
    pub fn descriptor(&self) -> ErrorDescriptor {
        ErrorDescriptor { code: self.code, text: format!("{}:{}: {}", self.line, self.column, self.text) }
    }
}

/// Error descriptor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorDescriptor {
    /// Error code.
    pub code: u16,
    /// Error text.
    pub text: String,
}

impl ErrorDescriptor {
    /// Creates an error descriptor.
    pub fn new(code: u16, text: impl Into<String>) -> Self {
        Self { code, text: text.into() }
    }
}
