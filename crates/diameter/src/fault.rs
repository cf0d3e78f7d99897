//! Result codes, and the errors of a message and of a stream.

use crate::avp::Avp;

/// Result-Code values (RFC 6733, section 7.1; RFC 8506, section 9).
pub mod result {
    /// DIAMETER_SUCCESS.
    pub const SUCCESS: u32 = 2001;
    /// DIAMETER_COMMAND_UNSUPPORTED.
    pub const COMMAND_UNSUPPORTED: u32 = 3001;
    /// DIAMETER_UNABLE_TO_DELIVER.
    pub const UNABLE_TO_DELIVER: u32 = 3002;
    /// DIAMETER_REALM_NOT_SERVED.
    pub const REALM_NOT_SERVED: u32 = 3003;
    /// DIAMETER_TOO_BUSY.
    pub const TOO_BUSY: u32 = 3004;
    /// DIAMETER_LOOP_DETECTED.
    pub const LOOP_DETECTED: u32 = 3005;
    /// DIAMETER_APPLICATION_UNSUPPORTED.
    pub const APPLICATION_UNSUPPORTED: u32 = 3007;
    /// DIAMETER_INVALID_HDR_BITS.
    pub const INVALID_HDR_BITS: u32 = 3008;
    /// DIAMETER_INVALID_AVP_BITS.
    pub const INVALID_AVP_BITS: u32 = 3009;
    /// DIAMETER_UNKNOWN_PEER.
    pub const UNKNOWN_PEER: u32 = 3010;
    /// DIAMETER_END_USER_SERVICE_DENIED (RFC 8506): used when the number called is busy.
    pub const END_USER_SERVICE_DENIED: u32 = 4010;
    /// DIAMETER_ELECTION_LOST.
    pub const ELECTION_LOST: u32 = 4003;
    /// DIAMETER_AVP_UNSUPPORTED.
    pub const AVP_UNSUPPORTED: u32 = 5001;
    /// DIAMETER_UNKNOWN_SESSION_ID.
    pub const UNKNOWN_SESSION_ID: u32 = 5002;
    /// DIAMETER_INVALID_AVP_VALUE.
    pub const INVALID_AVP_VALUE: u32 = 5004;
    /// DIAMETER_MISSING_AVP.
    pub const MISSING_AVP: u32 = 5005;
    /// DIAMETER_RESOURCES_EXCEEDED: used when no circuit is free.
    pub const RESOURCES_EXCEEDED: u32 = 5006;
    /// DIAMETER_AVP_OCCURS_TOO_MANY_TIMES.
    pub const AVP_OCCURS_TOO_MANY_TIMES: u32 = 5009;
    /// DIAMETER_NO_COMMON_APPLICATION.
    pub const NO_COMMON_APPLICATION: u32 = 5010;
    /// DIAMETER_UNSUPPORTED_VERSION.
    pub const UNSUPPORTED_VERSION: u32 = 5011;
    /// DIAMETER_UNABLE_TO_COMPLY.
    pub const UNABLE_TO_COMPLY: u32 = 5012;
    /// DIAMETER_INVALID_BIT_IN_HEADER.
    pub const INVALID_BIT_IN_HEADER: u32 = 5013;
    /// DIAMETER_INVALID_AVP_LENGTH.
    pub const INVALID_AVP_LENGTH: u32 = 5014;
    /// DIAMETER_INVALID_MESSAGE_LENGTH.
    pub const INVALID_MESSAGE_LENGTH: u32 = 5015;
    /// DIAMETER_NO_COMMON_SECURITY.
    pub const NO_COMMON_SECURITY: u32 = 5017;

    /// Whether a Result-Code is a protocol error (3xxx), whose answer has the E bit set (RFC 6733,
    /// section 7.1.3).
    pub fn is_protocol_error(code: u32) -> bool {
        code / 1000 == 3
    }
}

/// An error in one message; the messages after it can still be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text} ({code})")]
pub struct Fault {
    /// Result-Code of the error answer.
    pub code: u32,
    /// Description of the error, for Error-Message and logs.
    pub text: String,
    /// Content of Failed-AVP, if the RFC requires one (RFC 6733, section 7.5). Boxed to keep `Result`s small,
    /// since faults are rare.
    pub failed: Option<Box<Avp>>,
}

impl Fault {
    /// Creates a fault without Failed-AVP.
    pub fn new(code: u32, text: impl Into<String>) -> Self {
        Self { code, text: text.into(), failed: None }
    }

    /// Adds the content of Failed-AVP.
    pub fn with(mut self, failed: Avp) -> Self {
        self.failed = Some(Box::new(failed));
        self
    }
}

/// An error after which a stream cannot be decoded any further.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// The version is not 1, so the length field cannot be trusted (5011).
    #[error(
        "unsupported version {0} in a message header: only version 1 is supported (RFC 6733, section 3)"
    )]
    Version(u8),
    /// The message length is less than a header or not a multiple of 4 (5015).
    #[error("invalid message length {0}: must be at least 20 and a multiple of 4 (RFC 6733, section 3)")]
    Length(usize),
    /// The message is longer than the configured maximum.
    #[error("message length {length} exceeds the maximum of {max} bytes")]
    TooLong {
        /// Length of the message in bytes.
        length: usize,
        /// Configured maximum in bytes.
        max: usize,
    },
    /// The transport failed.
    #[error("transport: {0}")]
    Io(#[from] std::io::Error),
}
