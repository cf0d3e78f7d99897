//! One message as octets, and back (Q.763, 1.2 to 1.7).

use crate::error::Error;
use crate::format::MessageType;
use crate::params::{param, Compatibility, Param, Range};

/// Longest message: what an MTP signal unit carries without its label.
pub const MESSAGE_MAX: usize = 272;
/// Highest circuit identification code.
pub const CIC_MAX: u16 = 0x0fff;
/// Octets before the mandatory fixed part: circuit and type.
const HEADER_LEN: usize = 3;

/// One message on one circuit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Circuit identification code, 12 bits.
    pub cic: u16,
    /// Its type.
    pub kind: MessageType,
    /// Its parameters: mandatory ones in the order of the format, then optional ones as they came.
    pub params: Vec<Param>,
}

impl Message {
    /// A message without parameters yet.
    pub fn new(kind: MessageType, cic: u16) -> Self {
        Self { cic, kind, params: Vec::new() }
    }

    /// With one more parameter.
    pub fn with(mut self, code: u8, octets: impl Into<Vec<u8>>) -> Self {
        self.params.push(Param::new(code, octets));
        self
    }

    /// The first parameter of a code.
    pub fn find(&self, code: u8) -> Option<&[u8]> {
        self.params.iter().find(|param| param.code == code).map(|param| &*param.octets)
    }

    /// Its range and status.
    ///
    /// # Errors
    /// Where there is none, or the status is of another length than the range.
    pub fn range(&self) -> Result<Range, Error> {
        let octets = self.find(param::RANGE_AND_STATUS).ok_or(Error::Missing(param::RANGE_AND_STATUS))?;
        Range::read(octets, self.kind.has_status())
    }

    /// As octets.
    ///
    /// # Errors
    /// Where a mandatory parameter is missing, one has a length that it may not have, or all are too long.
    pub fn write(&self) -> Result<Vec<u8>, Error> {
        if self.cic > CIC_MAX {
            return Err(Error::Circuit(self.cic));
        }
        let format = self.kind.format();
        let mut octets = vec![self.cic as u8, (self.cic >> 8) as u8, format.code];
        let need = |code| self.find(code).ok_or(Error::Missing(code));
        for (code, length) in format.fixed {
            let contents = need(*code)?;
            check(*code, octets.len(), contents.len(), *length, *length)?;
            octets.extend_from_slice(contents);
        }
        let pointers = octets.len();
        octets.resize(pointers + format.variable.len() + usize::from(format.optional), 0);
        for (place, (code, least, most)) in format.variable.iter().enumerate() {
            let contents = need(*code)?;
            check(*code, octets.len(), contents.len(), *least, *most)?;
            octets[pointers + place] = pointer(octets.len(), pointers + place)?;
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
                check(param.code, octets.len(), param.octets.len(), 0, 255)?;
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

    /// From octets.
    ///
    /// # Errors
    /// What is wrong, and at which octet. A type that is not known is an error of its own: [`Message::read_unknown`]
    /// tells what its sender wants done with it.
    pub fn read(octets: &[u8]) -> Result<Self, Error> {
        if octets.len() > MESSAGE_MAX {
            return Err(Error::Long(octets.len()));
        }
        let (cic, code) = head(octets)?;
        let kind = MessageType::of(code).ok_or(Error::Type(code))?;
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
        for (place, (code, least, most)) in format.variable.iter().enumerate() {
            let start = follow(octets, pointers + place, parts)?.ok_or(Error::Pointer(pointers + place))?;
            let contents = counted(octets, start)?;
            check(*code, start, contents.len(), *least, *most)?;
            message.params.push(Param::new(*code, contents));
        }
        if format.optional {
            if let Some(start) = follow(octets, parts - 1, parts)? {
                read_optional(octets, start, &mut message.params)?;
            }
        }
        if message.find(param::RANGE_AND_STATUS).is_some() {
            message.range()?;
        }
        Ok(message)
    }

    /// Circuit and code of a message whose type is not known, and what its sender wants done with it, where its one
    /// pointer leads to message compatibility information (Q.764, 2.9.5.2).
    ///
    /// # Errors
    /// Where there is no head.
    pub fn read_unknown(octets: &[u8]) -> Result<(u16, u8, Option<Compatibility>), Error> {
        let (cic, code) = head(octets)?;
        let mut params = Vec::new();
        let start = follow(octets, HEADER_LEN, HEADER_LEN + 1).ok().flatten();
        let read = start.map(|start| read_optional(octets, start, &mut params));
        let told = params.iter().find(|param| param.code == param::MESSAGE_COMPATIBILITY);
        let told = told.filter(|_| read.is_some()).and_then(|param| param.octets.first());
        Ok((cic, code, told.map(|octet| Compatibility::read(*octet))))
    }
}

fn head(octets: &[u8]) -> Result<(u16, u8), Error> {
    match octets {
        [low, high, code, ..] => {
            let cic = u16::from_le_bytes([*low, *high]);
            // The four bits above are spare: guards against a sender that uses them.
            Ok((cic & CIC_MAX, *code))
        }
        _ => Err(Error::Short(octets.len())),
    }
}

fn check(code: u8, at: usize, length: usize, least: usize, most: usize) -> Result<(), Error> {
    if (least..=most).contains(&length) {
        Ok(())
    } else {
        Err(Error::Length { code, at, length })
    }
}

/// A pointer counts from its own octet (Q.763, 1.5).
fn pointer(to: usize, from: usize) -> Result<u8, Error> {
    u8::try_from(to - from).map_err(|_| Error::Long(to))
}

/// Where a pointer leads; nowhere for 0. No part begins before all pointers are over.
fn follow(octets: &[u8], at: usize, parts: usize) -> Result<Option<usize>, Error> {
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

fn counted(octets: &[u8], at: usize) -> Result<&[u8], Error> {
    let length = usize::from(*octets.get(at).ok_or(Error::Short(octets.len()))?);
    octets.get(at + 1..at + 1 + length).ok_or(Error::Short(octets.len()))
}

fn read_optional(octets: &[u8], mut at: usize, params: &mut Vec<Param>) -> Result<(), Error> {
    loop {
        let code = *octets.get(at).ok_or(Error::Short(octets.len()))?;
        if code == param::END_OF_OPTIONAL {
            return Ok(());
        }
        let contents = counted(octets, at + 1)?;
        params.push(Param::new(code, contents));
        at += 2 + contents.len();
    }
}
