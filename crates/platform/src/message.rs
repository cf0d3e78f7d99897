//! Call messages and their framing on a byte stream.
//!
//! A message is a two-byte length, a type byte, an eight-byte call id and any number of parameters. Each
//! parameter is a code byte, a two-byte length and a value. Integers are big-endian; the length of a message
//! does not include the length field itself.
//!
//! Of a message with more than [`PARAMETERS_MAX`] parameters only those are decoded that a front node evaluates.

use bytes::{Buf, Bytes, BytesMut};

use crate::PlatformError;

/// Minimum message length in bytes: type and call id, without parameters.
pub const MIN_LENGTH: usize = 9;
/// Maximum message length in bytes.
pub const MAX_LENGTH: usize = 16 * 1024;

/// Opaque call identifier, displayed in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CallId(pub [u8; 8]);

impl std::fmt::Display for CallId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Message types.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageType {
    /// Offers a call.
    SetUp,
    /// Progress indication; has no effect.
    Progress,
    /// The call is established.
    Answer,
    /// The call is refused, cancelled or cleared, depending on the cause.
    Release,
    /// Acknowledges a release; has no effect.
    ReleaseAck,
    /// Health check of a connection.
    HealthCheck,
    /// Response to a health check; the cause gives the result.
    HealthCheckResult,
    /// Load report of a signalling server.
    LoadReport,
}

impl MessageType {
    /// All message types with their codes on the wire.
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
        let found = Self::ALL.iter().find(|(known, _)| *known == code);
        found.map(|(_, kind)| *kind).ok_or(PlatformError::UnknownType(code))
    }

    fn code(self) -> u8 {
        Self::ALL.iter().find(|(_, kind)| *kind == self).map_or(0, |(code, _)| *code)
    }
}

/// Codes of the parameters that a front node evaluates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParameterCode;

impl ParameterCode {
    /// Name of the class.
    pub const CLASS: u8 = 129;
    /// How long the sender waits for the answer, in milliseconds.
    pub const TIMEOUT: u8 = 132;
    /// Name of the tenant.
    pub const TENANT: u8 = 135;
    /// Called number, in hexadecimal digits.
    pub const CALLED_NUMBER: u8 = 141;
    /// Further attributes of a set-up, as `name:value` pairs separated by semicolons.
    pub const ATTRIBUTES: u8 = 144;
    /// Detail on the reason of a refusal.
    pub const NOTE: u8 = 150;
    /// Load report, see [`crate::report`].
    pub const LOAD_REPORT: u8 = 156;
    /// Cause, one byte, see [`Cause`].
    pub const CAUSE: u8 = 171;
    /// Session description, opaque bytes.
    pub const DESCRIPTION: u8 = 174;

    /// All of them.
    const ALL: [u8; 9] = [
        Self::CLASS,
        Self::TIMEOUT,
        Self::TENANT,
        Self::CALLED_NUMBER,
        Self::ATTRIBUTES,
        Self::NOTE,
        Self::LOAD_REPORT,
        Self::CAUSE,
        Self::DESCRIPTION,
    ];
}

/// Maximum number of parameters that are decoded whatever their code. Guards against messages of thousands of short
/// parameters, each of which takes many times its size in memory.
const PARAMETERS_MAX: usize = 32;
/// Number of parameters of one code that are decoded beyond that: two show that it occurs more than once, which is
/// invalid.
const COPIES_MAX: usize = 2;

/// Cause values that a front node distinguishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cause;

impl Cause {
    /// A health check passed.
    pub const PASSED: u8 = 1;
    /// Normal clearing of a call, or cancellation of a set-up.
    pub const NORMAL: u8 = 16;
    /// The called number is busy; counts as an error.
    pub const BUSY: u8 = 17;
    /// The server has no free circuit. Towards a caller: refused, and safe to retry.
    pub const NO_CIRCUIT: u8 = 34;
    /// Temporary failure: the call was reset or cut. Towards a caller: the call failed.
    pub const TEMPORARY: u8 = 41;
    /// Resource unavailable; counts as an error.
    pub const RESOURCE: u8 = 47;
    /// Towards a caller: its message is invalid.
    pub const INVALID: u8 = 95;
    /// A timer expired before the set-up was sent on; counts as never sent.
    pub const TIMER: u8 = 102;
}

/// A message with its parameters in the order received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Message type.
    pub kind: MessageType,
    /// Call that the message belongs to; all zero for messages about the connection or the server.
    pub call: CallId,
    /// Parameters as pairs of code and value.
    pub parameters: Vec<(u8, Bytes)>,
}

impl Message {
    /// Creates a message without parameters.
    pub fn new(kind: MessageType, call: CallId) -> Self {
        Self { kind, call, parameters: Vec::new() }
    }

    /// Appends a parameter.
    #[must_use]
    pub fn with(mut self, code: u8, value: impl Into<Bytes>) -> Self {
        self.parameters.push((code, value.into()));
        self
    }

    /// Creates a release with a cause.
    pub fn release(call: CallId, cause: u8) -> Self {
        Self::new(MessageType::Release, call).with(ParameterCode::CAUSE, vec![cause])
    }

    /// Creates the response to a health check that passed.
    pub fn health_check_passed(call: CallId) -> Self {
        Self::new(MessageType::HealthCheckResult, call).with(ParameterCode::CAUSE, vec![Cause::PASSED])
    }

    /// Encodes the message.
    ///
    /// # Errors
    /// See [`Message::write`].
    pub fn to_bytes(&self) -> Result<Vec<u8>, PlatformError> {
        let mut bytes = Vec::new();
        self.write(&mut bytes).map(|()| bytes)
    }

    /// Value of a parameter that may occur at most once.
    ///
    /// # Errors
    /// If it occurs twice, since the protocol does not define which value applies.
    pub fn optional(&self, code: u8) -> Result<Option<&Bytes>, PlatformError> {
        let mut values = self.parameters.iter().filter(|(candidate, _)| *candidate == code);
        match (values.next(), values.next()) {
            (_, Some(_)) => Err(PlatformError::DuplicateParameter(code)),
            (found, None) => Ok(found.map(|(_, value)| value)),
        }
    }

    /// Value of a required parameter.
    ///
    /// # Errors
    /// If it is missing or occurs twice.
    pub fn required(&self, code: u8) -> Result<&Bytes, PlatformError> {
        self.optional(code)?.ok_or(PlatformError::MissingParameter(code))
    }

    /// Value of an optional text parameter.
    ///
    /// # Errors
    /// If it occurs twice or is not valid UTF-8.
    pub fn text(&self, code: u8) -> Result<Option<&str>, PlatformError> {
        let text = |value| {
            std::str::from_utf8(value)
                .map_err(|_| PlatformError::InvalidValue { code, what: "not valid UTF-8" })
        };
        self.optional(code)?.map(|value| text(value)).transpose()
    }

    /// Value of the cause parameter.
    ///
    /// # Errors
    /// If it is missing, occurs twice, or is not one byte long.
    pub fn cause(&self) -> Result<u8, PlatformError> {
        match self.required(ParameterCode::CAUSE)?[..] {
            [cause] => Ok(cause),
            _ => Err(PlatformError::InvalidValue { code: ParameterCode::CAUSE, what: "not one byte" }),
        }
    }

    /// Memory that the parameters take, in bytes.
    pub fn memory_size(&self) -> usize {
        self.parameters.iter().map(|(_, value)| size_of::<(u8, Bytes)>() + value.len()).sum()
    }

    /// Appends the encoded message to `out`.
    ///
    /// # Errors
    /// If the message is longer than [`MAX_LENGTH`].
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
        let call = CallId(id);
        let parameters = match count_parameters(&body, size)? {
            0..=PARAMETERS_MAX => Parameters(body).collect(),
            _ => evaluated_parameters(body),
        };
        Ok(Self { kind, call, parameters })
    }
}

/// Counts the parameters in the rest of a message of this size.
///
/// # Errors
/// If one is longer than the message.
fn count_parameters(body: &Bytes, size: usize) -> Result<usize, PlatformError> {
    let (mut count, mut rest) = (0, &body[..]);
    while let [code, tail @ ..] = rest {
        let overrun = PlatformError::ParameterOverrun { code: *code, at: size - rest.len() };
        let [high, low, value @ ..] = tail else { return Err(overrun) };
        let length = usize::from(u16::from_be_bytes([*high, *low]));
        rest = value.get(length..).ok_or(overrun)?;
        count += 1;
    }
    Ok(count)
}

/// Decodes the parameters that a front node evaluates, each at most [`COPIES_MAX`] times.
fn evaluated_parameters(body: Bytes) -> Vec<(u8, Bytes)> {
    let mut kept: Vec<(u8, Bytes)> = Vec::new();
    for (code, value) in Parameters(body).filter(|(code, _)| ParameterCode::ALL.contains(code)) {
        if kept.iter().filter(|(other, _)| *other == code).count() < COPIES_MAX {
            // Copied: it would otherwise keep the whole message alive.
            kept.push((code, Bytes::copy_from_slice(&value)));
        }
    }
    kept
}

/// The parameters in the rest of a message, whose lengths have been checked.
struct Parameters(Bytes);

impl Iterator for Parameters {
    type Item = (u8, Bytes);

    fn next(&mut self) -> Option<Self::Item> {
        if self.0.len() < 3 {
            return None;
        }
        let code = self.0.get_u8();
        let length = usize::from(self.0.get_u16()).min(self.0.len());
        Some((code, self.0.split_to(length)))
    }
}

/// Decodes messages from the byte stream of one connection.
///
/// Buffers at most one incomplete message plus the bytes of one read.
#[derive(Debug, Default)]
pub struct MessageDecoder {
    buffer: BytesMut,
}

impl MessageDecoder {
    /// Appends bytes received on the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes the next complete message; `None` if more bytes are needed.
    ///
    /// # Errors
    /// If the message is malformed. Framing is lost then, so the connection must be closed. An invalid length
    /// or type is reported as soon as its bytes have arrived.
    pub fn next_message(&mut self) -> Result<Option<Message>, PlatformError> {
        let Some(header) = self.buffer.get(..2) else {
            if self.buffer.is_empty() {
                // Frees the buffer, so that an idle connection uses no memory for it.
                self.buffer = BytesMut::new();
            }
            return Ok(None);
        };
        let length = usize::from(u16::from_be_bytes([header[0], header[1]]));
        if !(MIN_LENGTH..=MAX_LENGTH).contains(&length) {
            return Err(PlatformError::InvalidLength(length));
        }
        if let Some(code) = self.buffer.get(2) {
            MessageType::read(*code)?;
        }
        if self.buffer.len() < 2 + length {
            return Ok(None);
        }
        self.buffer.advance(2);
        // Copied: a description that is retained would otherwise keep the whole receive buffer alive.
        let body = Bytes::copy_from_slice(&self.buffer[..length]);
        self.buffer.advance(length);
        Message::read(body).map(Some)
    }

    /// Whether bytes of an incomplete message are buffered.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }
}
