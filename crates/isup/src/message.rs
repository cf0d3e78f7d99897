//! Encoding and decoding of messages (Q.763, 1.2 to 1.7).

use crate::error::Error;
use crate::format::MessageType;
use crate::params::{param, Compatibility, Param, Range};

/// Maximum message length in octets: the user data of an MTP signal unit without the routing label.
pub const MESSAGE_MAX: usize = 272;
/// Highest circuit identification code.
pub const CIC_MAX: u16 = 0x0fff;
/// Octets before the mandatory fixed part: circuit identification code and message type code.
const HEADER_LEN: usize = 3;

/// One message for one circuit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Circuit identification code, 12 bits.
    pub cic: u16,
    /// Message type.
    pub kind: MessageType,
    /// Mandatory parameters in the order of the format, then optional ones as received.
    pub params: Vec<Param>,
}

impl Message {
    /// Creates a message without parameters.
    pub fn new(kind: MessageType, cic: u16) -> Self {
        Self { cic, kind, params: Vec::new() }
    }

    /// Returns the message with one more parameter.
    pub fn with(mut self, code: u8, octets: impl Into<Vec<u8>>) -> Self {
        self.params.push(Param::new(code, octets));
        self
    }

    /// Contents of the first parameter with this code.
    pub fn find(&self, code: u8) -> Option<&[u8]> {
        self.params.iter().find(|param| param.code == code).map(|param| &*param.octets)
    }

    /// Range and status parameter.
    ///
    /// # Errors
    /// The parameter is missing, or the length of the status does not match the range.
    pub fn range(&self) -> Result<Range, Error> {
        let octets = self.find(param::RANGE_AND_STATUS).ok_or(Error::Missing(param::RANGE_AND_STATUS))?;
        Range::read(octets, self.kind.has_status())
    }

    /// Encodes the message.
    ///
    /// # Errors
    /// A mandatory parameter is missing, a parameter has an invalid length, the circuit identification code
    /// has more than 12 bits, or the message is too long.
    pub fn write(&self) -> Result<Vec<u8>, Error> {
        if self.cic > CIC_MAX {
            return Err(Error::Circuit(self.cic));
        }
        let format = self.kind.format();
        let mut octets = vec![self.cic as u8, (self.cic >> 8) as u8, format.code];
        let require = |code| self.find(code).ok_or(Error::Missing(code));
        for (code, length) in format.fixed {
            let contents = require(*code)?;
            check_length(*code, octets.len(), contents.len(), *length, *length)?;
            octets.extend_from_slice(contents);
        }
        let pointers = octets.len();
        octets.resize(pointers + format.variable.len() + usize::from(format.optional), 0);
        for (index, (code, min, max)) in format.variable.iter().enumerate() {
            let contents = require(*code)?;
            check_length(*code, octets.len(), contents.len(), *min, *max)?;
            octets[pointers + index] = pointer(octets.len(), pointers + index)?;
            octets.push(contents.len() as u8);
            octets.extend_from_slice(contents);
        }
        let mandatory = |code: u8| {
            format.fixed.iter().any(|f| f.0 == code) || format.variable.iter().any(|v| v.0 == code)
        };
        let optional: Vec<_> = self.params.iter().filter(|param| !mandatory(param.code)).collect();
        if let (Some(first), false) = (optional.first(), format.optional) {
            return Err(Error::Length { code: first.code, at: octets.len(), length: first.octets.len() });
        }
        if !optional.is_empty() {
            let at = pointers + format.variable.len();
            octets[at] = pointer(octets.len(), at)?;
            for param in optional {
                check_length(param.code, octets.len(), param.octets.len(), 0, 255)?;
                octets.extend_from_slice(&[param.code, param.octets.len() as u8]);
                octets.extend_from_slice(&param.octets);
            }
            octets.push(param::END_OF_OPTIONAL);
        }
        if octets.len() > MESSAGE_MAX {
            return Err(Error::Long(octets.len()));
        }
        Ok(octets)
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// The kind of error and its offset. For [`Error::Type`], [`Message::read_unknown`] returns the sender's
    /// instructions for handling the unknown message.
    pub fn read(octets: &[u8]) -> Result<Self, Error> {
        if octets.len() > MESSAGE_MAX {
            return Err(Error::Long(octets.len()));
        }
        let (cic, code) = read_header(octets)?;
        let kind = MessageType::from_code(code).ok_or(Error::Type(code))?;
        let format = kind.format();
        let mut message = Self::new(kind, cic);
        let mut at = HEADER_LEN;
        for (code, length) in format.fixed {
            let contents = octets.get(at..at + length).ok_or(Error::Short(octets.len()))?;
            message.params.push(Param::new(*code, contents));
            at += length;
        }
        let pointers = at;
        let parts = pointers + format.variable.len() + usize::from(format.optional);
        if octets.len() < parts {
            return Err(Error::Short(octets.len()));
        }
        for (index, (code, min, max)) in format.variable.iter().enumerate() {
            let start =
                resolve_pointer(octets, pointers + index, parts)?.ok_or(Error::Pointer(pointers + index))?;
            let contents = read_counted(octets, start)?;
            check_length(*code, start, contents.len(), *min, *max)?;
            message.params.push(Param::new(*code, contents));
        }
        if format.optional {
            if let Some(start) = resolve_pointer(octets, parts - 1, parts)? {
                read_optional(octets, start, &mut message.params)?;
            }
        }
        if message.find(param::RANGE_AND_STATUS).is_some() {
            message.range()?;
        }
        Ok(message)
    }

    /// Decodes a message of unknown type: circuit identification code, message type code, and the
    /// compatibility information, if its single pointer leads to an optional part that contains it (Q.764,
    /// 2.9.5.2).
    ///
    /// # Errors
    /// The message is shorter than its header.
    pub fn read_unknown(octets: &[u8]) -> Result<(u16, u8, Option<Compatibility>), Error> {
        let (cic, code) = read_header(octets)?;
        let mut params = Vec::new();
        let start = resolve_pointer(octets, HEADER_LEN, HEADER_LEN + 1).ok().flatten();
        let read = start.map(|start| read_optional(octets, start, &mut params));
        let compatibility = params.iter().find(|param| param.code == param::MESSAGE_COMPATIBILITY);
        let indicators = compatibility.filter(|_| read.is_some()).and_then(|param| param.octets.first());
        Ok((cic, code, indicators.map(|octet| Compatibility::read(*octet))))
    }
}

/// Decodes circuit identification code and message type code.
fn read_header(octets: &[u8]) -> Result<(u16, u8), Error> {
    match octets {
        [low, high, code, ..] => {
            let cic = u16::from_le_bytes([*low, *high]);
            // The upper four bits are spare; ignored in case a sender sets them.
            Ok((cic & CIC_MAX, *code))
        }
        _ => Err(Error::Short(octets.len())),
    }
}

/// Checks the length of a parameter's contents.
fn check_length(code: u8, at: usize, length: usize, min: usize, max: usize) -> Result<(), Error> {
    if (min..=max).contains(&length) {
        Ok(())
    } else {
        Err(Error::Length { code, at, length })
    }
}

/// Value of the pointer at offset `from` to offset `to`; it counts from its own octet (Q.763, 1.5).
fn pointer(to: usize, from: usize) -> Result<u8, Error> {
    u8::try_from(to - from).map_err(|_| Error::Long(to))
}

/// Offset that the pointer at `at` points to; `None` for 0. It must not be before `parts`, the end of the
/// pointers.
fn resolve_pointer(octets: &[u8], at: usize, parts: usize) -> Result<Option<usize>, Error> {
    let pointer = *octets.get(at).ok_or(Error::Short(octets.len()))?;
    if pointer == 0 {
        return Ok(None);
    }
    let to = at + usize::from(pointer);
    if to < parts || to >= octets.len() {
        return Err(Error::Pointer(at));
    }
    Ok(Some(to))
}

/// Contents of a parameter whose length octet is at `at`.
fn read_counted(octets: &[u8], at: usize) -> Result<&[u8], Error> {
    let length = usize::from(*octets.get(at).ok_or(Error::Short(octets.len()))?);
    octets.get(at + 1..at + 1 + length).ok_or(Error::Short(octets.len()))
}

/// Appends the parameters of the optional part, which starts at `at`.
fn read_optional(octets: &[u8], mut at: usize, params: &mut Vec<Param>) -> Result<(), Error> {
    loop {
        let code = *octets.get(at).ok_or(Error::Short(octets.len()))?;
        if code == param::END_OF_OPTIONAL {
            return Ok(());
        }
        let contents = read_counted(octets, at + 1)?;
        params.push(Param::new(code, contents));
        at += 2 + contents.len();
    }
}
