//! Cause indicators (Q.763, 3.12) with the cause values of Q.850.

/// Cause values that this project sends or evaluates.
#[allow(missing_docs)]
pub mod cause {
    pub const UNALLOCATED: u8 = 1;
    pub const NORMAL_CLEARING: u8 = 16;
    pub const USER_BUSY: u8 = 17;
    pub const NO_ANSWER: u8 = 19;
    pub const CALL_REJECTED: u8 = 21;
    pub const NORMAL_UNSPECIFIED: u8 = 31;
    pub const NO_CIRCUIT: u8 = 34;
    pub const NETWORK_OUT_OF_ORDER: u8 = 38;
    pub const TEMPORARY_FAILURE: u8 = 41;
    pub const SWITCHING_CONGESTION: u8 = 42;
    pub const CIRCUIT_NOT_AVAILABLE: u8 = 44;
    pub const MESSAGE_TYPE_UNKNOWN: u8 = 97;
    pub const PARAMETER_UNKNOWN_DISCARDED: u8 = 99;
    pub const RECOVERY_ON_TIMER_EXPIRY: u8 = 102;
    pub const PROTOCOL_ERROR: u8 = 111;
}

/// Cause indicators: location and cause value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cause {
    /// Location (0: user, 2: public network serving the local user, 10: network beyond an interworking
    /// point).
    pub location: u8,
    /// Cause value.
    pub value: u8,
}

impl Cause {
    /// Creates a cause located in the public network.
    pub fn new(value: u8) -> Self {
        Self { location: 2, value }
    }

    /// Encodes the parameter's contents, with the ITU-T coding standard.
    pub fn octets(self) -> Vec<u8> {
        vec![0x80 | self.location & 0x0f, 0x80 | self.value & 0x7f]
    }

    /// Decodes the parameter's contents. If the extension bit of the first octet is 0, octet 1a precedes the
    /// cause value.
    pub fn read(octets: &[u8]) -> Option<Self> {
        let location = octets.first()? & 0x0f;
        let at = if octets[0] & 0x80 == 0 { 2 } else { 1 };
        Some(Self { location, value: octets.get(at)? & 0x7f })
    }
}
