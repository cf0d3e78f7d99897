//! The format of each message type, shared by decoder and encoder (Q.763, clause 4).

use crate::params::param as p;

/// Message types (Q.763, table 4), named by their acronyms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[allow(missing_docs)]
pub enum MessageType {
    Iam,
    Sam,
    Cot,
    Acm,
    Con,
    Anm,
    Rel,
    Sus,
    Res,
    Rlc,
    Ccr,
    Rsc,
    Blo,
    Ubl,
    Bla,
    Uba,
    Grs,
    Cgb,
    Cgu,
    Cgba,
    Cgua,
    Lpa,
    Gra,
    Cqm,
    Cqr,
    Cpg,
    Ucic,
    Cfn,
}

/// Format of one message type. Lengths are in octets.
pub(crate) struct Format {
    pub(crate) kind: MessageType,
    /// Message type code.
    pub(crate) code: u8,
    /// Mandatory fixed part: parameter code and length.
    pub(crate) fixed: &'static [(u8, usize)],
    /// Mandatory variable part: parameter code, minimum and maximum length.
    pub(crate) variable: &'static [(u8, usize, usize)],
    /// Whether the message may have an optional part.
    pub(crate) optional: bool,
}

const fn format(
    kind: MessageType,
    code: u8,
    fixed: &'static [(u8, usize)],
    variable: &'static [(u8, usize, usize)],
    optional: bool,
) -> Format {
    Format { kind, code, fixed, variable, optional }
}

/// Cause indicators as the only variable parameter.
const CAUSE: &[(u8, usize, usize)] = &[(p::CAUSE, 2, 30)];
/// Range and status without the status subfield: one octet.
const RANGE: &[(u8, usize, usize)] = &[(p::RANGE_AND_STATUS, 1, 1)];
/// Range and status with 1 to 32 octets of status.
const STATUS: &[(u8, usize, usize)] = &[(p::RANGE_AND_STATUS, 2, 33)];
/// Circuit group supervision message type as the only fixed parameter.
const GROUP: &[(u8, usize)] = &[(p::GROUP_SUPERVISION_TYPE, 1)];

pub(crate) const FORMATS: [Format; 28] = [
    format(
        MessageType::Iam,
        0x01,
        &[
            (p::NATURE_OF_CONNECTION, 1),
            (p::FORWARD_CALL, 2),
            (p::CALLING_PARTYS_CATEGORY, 1),
            (p::TRANSMISSION_MEDIUM, 1),
        ],
        &[(p::CALLED_PARTY_NUMBER, 2, 20)],
        true,
    ),
    format(MessageType::Sam, 0x02, &[], &[(p::SUBSEQUENT_NUMBER, 2, 20)], true),
    format(MessageType::Cot, 0x05, &[(p::CONTINUITY, 1)], &[], false),
    format(MessageType::Acm, 0x06, &[(p::BACKWARD_CALL, 2)], &[], true),
    format(MessageType::Con, 0x07, &[(p::BACKWARD_CALL, 2)], &[], true),
    format(MessageType::Anm, 0x09, &[], &[], true),
    format(MessageType::Rel, 0x0c, &[], CAUSE, true),
    format(MessageType::Sus, 0x0d, &[(p::SUSPEND_RESUME, 1)], &[], true),
    format(MessageType::Res, 0x0e, &[(p::SUSPEND_RESUME, 1)], &[], true),
    format(MessageType::Rlc, 0x10, &[], &[], true),
    format(MessageType::Ccr, 0x11, &[], &[], false),
    format(MessageType::Rsc, 0x12, &[], &[], false),
    format(MessageType::Blo, 0x13, &[], &[], false),
    format(MessageType::Ubl, 0x14, &[], &[], false),
    format(MessageType::Bla, 0x15, &[], &[], false),
    format(MessageType::Uba, 0x16, &[], &[], false),
    format(MessageType::Grs, 0x17, &[], RANGE, false),
    format(MessageType::Cgb, 0x18, GROUP, STATUS, false),
    format(MessageType::Cgu, 0x19, GROUP, STATUS, false),
    format(MessageType::Cgba, 0x1a, GROUP, STATUS, false),
    format(MessageType::Cgua, 0x1b, GROUP, STATUS, false),
    format(MessageType::Lpa, 0x24, &[], &[], false),
    format(MessageType::Gra, 0x29, &[], STATUS, false),
    format(MessageType::Cqm, 0x2a, &[], RANGE, false),
    format(MessageType::Cqr, 0x2b, &[], &[(p::RANGE_AND_STATUS, 1, 1), (p::CIRCUIT_STATE, 1, 32)], false),
    format(MessageType::Cpg, 0x2c, &[(p::EVENT, 1)], &[], true),
    format(MessageType::Ucic, 0x2e, &[], &[], false),
    format(MessageType::Cfn, 0x2f, &[], CAUSE, true),
];

impl MessageType {
    /// All message types.
    pub fn all() -> impl Iterator<Item = Self> {
        FORMATS.iter().map(|format| format.kind)
    }

    pub(crate) fn format(self) -> &'static Format {
        // Every type has a row, so the fallback to the first one is never used.
        FORMATS.iter().find(|format| format.kind == self).unwrap_or(&FORMATS[0])
    }

    /// Message type code.
    pub fn code(self) -> u8 {
        self.format().code
    }

    /// Whether the range and status parameter has a status subfield (Q.763, 3.43).
    pub fn has_status(self) -> bool {
        self.format().variable.iter().any(|(code, min, _)| *code == p::RANGE_AND_STATUS && *min > 1)
    }

    pub(crate) fn from_code(code: u8) -> Option<Self> {
        FORMATS.iter().find(|format| format.code == code).map(|format| format.kind)
    }
}
