//! Call messages: a length, a type, the call's id and parameters; and how they are cut from a stream.

use bytes::{Buf, Bytes, BytesMut};

use crate::PlatformError;

/// Bytes of type and id: the least that a length may say.
pub const MIN_LENGTH: usize = 9;
/// The most that a length may say: no message holds more than 16 KiB.
pub const MAX_LENGTH: usize = 16 * 1024;

/// A call's id on the wire. Opaque.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CallId(pub [u8; 8]);

impl std::fmt::Display for CallId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The types of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageType {
    /// A call is offered.
    SetUp,
    /// Means nothing.
    Progress,
    /// The call stands.
    Answer,
    /// Refused, given up or over, by its cause.
    Release,
    /// A release was heard; means nothing.
    ReleaseAck,
    /// Does the connection work?
    HealthCheck,
    /// It does, or not, by its cause.
    HealthCheckResult,
    /// News of a group.
    LoadReport,
}

impl MessageType {
    const ALL: [(u8, Self); 8] = [
        (1, Self::SetUp),
        (6, Self::Progress),
        (9, Self::Answer),
        (12, Self::Release),
        (16, Self::ReleaseAck),
        (52, Self::HealthCheck),
        (53, Self::HealthCheckResult),
        (43, Self::LoadReport),
    ];

    fn read(code: u8) -> Result<Self, PlatformError> {
        let known = Self::ALL.iter().find(|(own, _)| *own == code);
        known.map(|(_, kind)| *kind).ok_or(PlatformError::UnknownType(code))
    }

    fn code(self) -> u8 {
        Self::ALL.iter().find(|(_, kind)| *kind == self).map_or(0, |(code, _)| *code)
    }
}

/// The parameters that a front node knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParameterCode;

impl ParameterCode {
    /// The class, by name.
    pub const CLASS: u8 = 129;
    /// How long the sender waits, in milliseconds.
    pub const TIMEOUT: u8 = 132;
    /// The tenant, by name.
    pub const TENANT: u8 = 135;
    /// The number called.
    pub const CALLED_NUMBER: u8 = 141;
    /// Further figures of a set-up.
    pub const ATTRIBUTES: u8 = 144;
    /// A word on a refusal.
    pub const NOTE: u8 = 150;
    /// A load report.
    pub const LOAD_REPORT: u8 = 156;
    /// The cause, one byte.
    pub const CAUSE: u8 = 171;
    /// The description, any bytes.
    pub const DESCRIPTION: u8 = 174;
}

/// The causes that mean something here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cause;

impl Cause {
    /// A test passed.
    pub const PASSED: u8 = 1;
    /// The call came to its end, or the set-up is given up.
    pub const NORMAL: u8 = 16;
    /// Error: the number was busy.
    pub const BUSY: u8 = 17;
    /// Full; towards a caller: refused, trying again is harmless.
    pub const NO_CIRCUIT: u8 = 34;
    /// Reset or cut; towards a caller: failed.
    pub const TEMPORARY: u8 = 41;
    /// Error.
    pub const RESOURCE: u8 = 47;
    /// Towards a caller: what it sent cannot be used.
    pub const INVALID: u8 = 95;
    /// Moot: it never left.
    pub const TIMER: u8 = 102;
}

/// One message, its parameters as they came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Its type.
    pub kind: MessageType,
    /// The call that it is about.
    pub call: CallId,
    /// ParameterCode and value of each parameter, in order.
    pub parameters: Vec<(u8, Bytes)>,
}

impl Message {
    /// A message without parameters.
    pub fn new(kind: MessageType, call: CallId) -> Self {
        Self { kind, call, parameters: Vec::new() }
    }

    /// The same with one parameter more.
    #[must_use]
    pub fn with(mut self, code: u8, value: impl Into<Bytes>) -> Self {
        self.parameters.push((code, value.into()));
        self
    }

    /// A release.
    pub fn release(call: CallId, cause: u8) -> Self {
        Self::new(MessageType::Release, call).with(ParameterCode::CAUSE, vec![cause])
    }

    /// The word that a connection works.
    pub fn health_check_passed(call: CallId) -> Self {
        Self::new(MessageType::HealthCheckResult, call).with(ParameterCode::CAUSE, vec![Cause::PASSED])
    }

    /// The message's bytes.
    ///
    /// # Errors
    /// As [`Message::write`].
    pub fn to_bytes(&self) -> Result<Vec<u8>, PlatformError> {
        let mut bytes = Vec::new();
        self.write(&mut bytes).map(|()| bytes)
    }

    /// The value of a parameter that may be there once.
    ///
    /// # Errors
    /// When it is there twice: which of the two counts nobody can tell.
    pub fn optional(&self, code: u8) -> Result<Option<&Bytes>, PlatformError> {
        let mut values = self.parameters.iter().filter(|(own, _)| *own == code);
        match (values.next(), values.next()) {
            (_, Some(_)) => Err(PlatformError::DuplicateParameter(code)),
            (found, None) => Ok(found.map(|(_, value)| value)),
        }
    }

    /// The value of a parameter that must be there.
    ///
    /// # Errors
    /// When it is missing, or there twice.
    pub fn required(&self, code: u8) -> Result<&Bytes, PlatformError> {
        self.optional(code)?.ok_or(PlatformError::MissingParameter(code))
    }

    /// The value of a text parameter.
    ///
    /// # Errors
    /// When it is there twice or is no text.
    pub fn text(&self, code: u8) -> Result<Option<&str>, PlatformError> {
        let text = |value| {
            std::str::from_utf8(value).map_err(|_| PlatformError::InvalidValue { code, what: "no text" })
        };
        self.optional(code)?.map(|value| text(value)).transpose()
    }

    /// The cause.
    ///
    /// # Errors
    /// When it is missing, there twice, or not one byte.
    pub fn cause(&self) -> Result<u8, PlatformError> {
        match self.required(ParameterCode::CAUSE)?[..] {
            [cause] => Ok(cause),
            _ => Err(PlatformError::InvalidValue { code: ParameterCode::CAUSE, what: "not one byte" }),
        }
    }

    /// Appends the message's bytes.
    ///
    /// # Errors
    /// When it would hold more than a message may.
    pub fn write(&self, out: &mut Vec<u8>) -> Result<(), PlatformError> {
        let size = MIN_LENGTH + self.parameters.iter().map(|(_, value)| 3 + value.len()).sum::<usize>();
        if size > MAX_LENGTH {
            return Err(PlatformError::InvalidLength(size));
        }
        out.extend_from_slice(&(size as u16).to_be_bytes());
        out.push(self.kind.code());
        out.extend_from_slice(&self.call.0);
        for (code, value) in &self.parameters {
            out.push(*code);
            out.extend_from_slice(&(value.len() as u16).to_be_bytes());
            out.extend_from_slice(value);
        }
        Ok(())
    }

    fn read(mut body: Bytes) -> Result<Self, PlatformError> {
        let size = body.len();
        if size < MIN_LENGTH {
            return Err(PlatformError::InvalidLength(size));
        }
        let kind = MessageType::read(body.get_u8())?;
        let mut id = [0; 8];
        body.copy_to_slice(&mut id);
        let mut parameters = Vec::new();
        while body.has_remaining() {
            let at = size - body.len();
            let code = body.get_u8();
            if body.len() < 2 {
                return Err(PlatformError::ParameterOverrun { code, at });
            }
            let length = usize::from(body.get_u16());
            if length > body.len() {
                return Err(PlatformError::ParameterOverrun { code, at });
            }
            parameters.push((code, body.split_to(length)));
        }
        Ok(Self { kind, call: CallId(id), parameters })
    }
}

/// Cuts messages from the bytes of one connection. Holds at most one message and what came with one read.
#[derive(Debug, Default)]
pub struct MessageDecoder {
    held: BytesMut,
}

impl MessageDecoder {
    /// Takes what was read.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole message.
    ///
    /// # Errors
    /// When the stream cannot be read any further; nothing after this is of use. A length that is out of
    /// bounds is seen before any of the message has come.
    pub fn next_message(&mut self) -> Result<Option<Message>, PlatformError> {
        let Some(head) = self.held.get(..2) else {
            if self.held.is_empty() {
                // An idle connection holds nothing.
                self.held = BytesMut::new();
            }
            return Ok(None);
        };
        let length = usize::from(u16::from_be_bytes([head[0], head[1]]));
        if !(MIN_LENGTH..=MAX_LENGTH).contains(&length) {
            return Err(PlatformError::InvalidLength(length));
        }
        if let Some(code) = self.held.get(2) {
            MessageType::read(*code)?;
        }
        if self.held.len() < 2 + length {
            return Ok(None);
        }
        self.held.advance(2);
        // Copied, so that a description that is kept does not keep all that was read with it.
        let body = Bytes::copy_from_slice(&self.held[..length]);
        self.held.advance(length);
        Message::read(body).map(Some)
    }

    /// Whether part of a message is held.
    pub fn has_partial_message(&self) -> bool {
        !self.held.is_empty()
    }
}
