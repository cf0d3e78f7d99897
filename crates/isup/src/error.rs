//! What is wrong with octets that are no message, and where.

/// Why octets cannot be read, or a message cannot be written. Offsets are in octets from the start of the message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It ends before its format does.
    #[error("it ends at octet {0}, within its format")]
    Short(usize),
    /// It is longer than any message may be.
    #[error("{0} octets: longer than any message")]
    Long(usize),
    /// A pointer leads out of the message, or back into what came before it (Q.763, 1.5).
    #[error("the pointer at octet {0} leads nowhere")]
    Pointer(usize),
    /// A parameter's length is not what its definition allows.
    #[error("parameter {code:#04x} at octet {at}: {length} octets are not allowed")]
    Length {
        /// Its code.
        code: u8,
        /// Where it is.
        at: usize,
        /// Its length.
        length: usize,
    },
    /// A parameter that the format needs is not there.
    #[error("parameter {0:#04x} is missing")]
    Missing(u8),
    /// Range and status disagree (Q.763, 3.43).
    #[error("range {range} wants {wanted} octets of status, there are {got}")]
    Status {
        /// The range.
        range: u8,
        /// Octets of status that belong to it.
        wanted: usize,
        /// Octets there are.
        got: usize,
    },
    /// The message's type is none of this crate's (Q.763, table 4): see its compatibility information.
    #[error("message type {0:#04x} is not known")]
    Type(u8),
    /// A circuit identification code of more than 12 bits.
    #[error("circuit {0} has more than 12 bits")]
    Circuit(u16),
    /// A packet's version is not 1 (RFC 4666, 3.1.1).
    #[error("M3UA version {0} is not 1")]
    Version(u8),
    /// A packet's length, or that of a parameter in it, makes no sense.
    #[error("M3UA: {0} octets make no sense here")]
    Packet(usize),
}
