//! Errors of decoding and encoding.

/// Why octets cannot be decoded or a message cannot be encoded. Offsets are in octets from the start of the
/// message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The message ends before its format is complete.
    #[error("message truncated at octet {0}")]
    Short(usize),
    /// The message is longer than the maximum length.
    #[error("message too long: {0} octets")]
    Long(usize),
    /// A pointer is missing, or points outside the message or before the end of the pointers (Q.763, 1.5).
    #[error("invalid pointer at octet {0}")]
    Pointer(usize),
    /// A parameter's length is outside the range of the message format.
    #[error("parameter {code:#04x} at octet {at}: invalid length of {length} octets")]
    Length {
        /// Parameter code.
        code: u8,
        /// Offset of the parameter.
        at: usize,
        /// Length of the contents in octets.
        length: usize,
    },
    /// A mandatory parameter is missing.
    #[error("parameter {0:#04x} is missing")]
    Missing(u8),
    /// The status does not match the range (Q.763, 3.43).
    #[error("range {range} requires {wanted} octets of status, got {got}")]
    Status {
        /// Value of the range field.
        range: u8,
        /// Octets required for this range.
        wanted: usize,
        /// Octets present.
        got: usize,
    },
    /// The message type is not supported (Q.763, table 4); the message's compatibility information tells
    /// how to handle it.
    #[error("unknown message type {0:#04x}")]
    Type(u8),
    /// The circuit identification code has more than 12 bits.
    #[error("circuit identification code {0} exceeds 12 bits")]
    Circuit(u16),
    /// The M3UA version is not 1 (RFC 4666, 3.1.1).
    #[error("unsupported M3UA version {0}, only 1 is supported")]
    Version(u8),
    /// The length of an M3UA packet, or of a parameter in it, is invalid.
    #[error("invalid M3UA length of {0} octets")]
    Packet(usize),
}
