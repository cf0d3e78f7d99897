//! Parameter codes (Q.763, table 5), and the contents of those parameters that are decoded.

use crate::error::Error;

/// Parameter codes.
#[allow(missing_docs)]
pub mod param {
    pub const END_OF_OPTIONAL: u8 = 0x00;
    pub const TRANSMISSION_MEDIUM: u8 = 0x02;
    pub const CALLED_PARTY_NUMBER: u8 = 0x04;
    pub const SUBSEQUENT_NUMBER: u8 = 0x05;
    pub const NATURE_OF_CONNECTION: u8 = 0x06;
    pub const FORWARD_CALL: u8 = 0x07;
    pub const CALLING_PARTYS_CATEGORY: u8 = 0x09;
    pub const CALLING_PARTY_NUMBER: u8 = 0x0a;
    pub const CONTINUITY: u8 = 0x10;
    pub const BACKWARD_CALL: u8 = 0x11;
    pub const CAUSE: u8 = 0x12;
    pub const GROUP_SUPERVISION_TYPE: u8 = 0x15;
    pub const RANGE_AND_STATUS: u8 = 0x16;
    pub const USER_TO_USER: u8 = 0x20;
    pub const SUSPEND_RESUME: u8 = 0x22;
    pub const EVENT: u8 = 0x24;
    pub const CIRCUIT_STATE: u8 = 0x26;
    pub const AUTOMATIC_CONGESTION_LEVEL: u8 = 0x27;
    pub const MESSAGE_COMPATIBILITY: u8 = 0x38;
    pub const PARAMETER_COMPATIBILITY: u8 = 0x39;
    pub const HOP_COUNTER: u8 = 0x3d;
}

/// One parameter: code and contents, without length or pointer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Param {
    /// Parameter code.
    pub code: u8,
    /// Contents.
    pub octets: Vec<u8>,
}

impl Param {
    /// Creates a parameter.
    pub fn new(code: u8, octets: impl Into<Vec<u8>>) -> Self {
        Self { code, octets: octets.into() }
    }
}

/// Range and status (Q.763, 3.43): a range of circuits that starts at the message's circuit, and, for some
/// message types, one status bit for each circuit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    /// One less than the number of circuits.
    pub range: u8,
    /// One bit for each circuit, in order; empty for message types without a status (GRS, CQM, CQR).
    pub status: Vec<bool>,
}

impl Range {
    /// Creates a range without status.
    pub fn without_status(range: u8) -> Self {
        Self { range, status: Vec::new() }
    }

    /// Number of circuits in the range.
    pub fn circuits(&self) -> usize {
        usize::from(self.range) + 1
    }

    /// Encodes the parameter's contents.
    pub fn octets(&self) -> Vec<u8> {
        let mut octets = vec![self.range];
        for bits in self.status.chunks(8) {
            octets.push(bits.iter().enumerate().fold(0, |octet, (bit, set)| octet | u8::from(*set) << bit));
        }
        octets
    }

    /// Decodes the parameter's contents; `with_status` if the message type has a status subfield.
    ///
    /// # Errors
    /// The contents are empty, or the length of the status does not match the range.
    pub fn read(octets: &[u8], with_status: bool) -> Result<Self, Error> {
        let Some((range, status)) = octets.split_first() else { return Err(Error::Short(0)) };
        let circuits = usize::from(*range) + 1;
        let wanted = if with_status { circuits.div_ceil(8) } else { 0 };
        if status.len() != wanted {
            return Err(Error::Status { range: *range, wanted, got: status.len() });
        }
        let bits = if with_status { circuits } else { 0 };
        let status = (0..bits).map(|bit| status[bit / 8] >> (bit % 8) & 1 == 1).collect();
        Ok(Self { range: *range, status })
    }
}

/// Compatibility information (Q.763, 3.33 and 3.41; Q.764, 2.9.5): how to handle an unknown message or
/// parameter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Compatibility {
    /// Release the call.
    pub release: bool,
    /// Send a notification (CFN) to the originator.
    pub notify: bool,
    /// Discard the message.
    pub discard_message: bool,
    /// Discard the parameter; only meaningful in parameter compatibility information.
    pub discard_parameter: bool,
}

impl Compatibility {
    /// Decodes the first octet of the instruction indicators.
    pub fn read(octet: u8) -> Self {
        let bit = |index: u8| octet >> index & 1 == 1;
        Self { release: bit(1), notify: bit(2), discard_message: bit(3), discard_parameter: bit(4) }
    }
}
