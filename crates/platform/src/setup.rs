//! Decoding of set-up messages.

use bytes::Bytes;

use baydrift::interface::Micros;

use crate::{Message, MessageType, ParameterCode, PlatformError};

/// Maximum length of the attributes in bytes, many times that of all known ones. Guards against the time that
/// thousands of short ones take.
const ATTRIBUTES_MAX: usize = 1_024;

/// Parameters of a set-up, validated for format and range only.
///
/// Whether the class and the tenant are configured is not checked here.
#[derive(Debug, Clone, PartialEq)]
pub struct SetUp {
    /// Name of the class.
    pub class: String,
    /// Name of the tenant, if the set-up has one.
    pub tenant: Option<String>,
    /// Called number: the parameter as received, and its numeric value, 0 if there is none.
    pub number: (Option<Bytes>, u64),
    /// How long the caller waits for the answer.
    pub caller_timeout: Micros,
    /// Number of the preferred signalling server.
    pub destination: Option<u16>,
    /// Number of circuits that the call occupies.
    pub width: f64,
    /// The call was established before and was dropped.
    pub was_dropped: bool,
    /// The caller redials; only meaningful where callers mark redials.
    pub redial: bool,
    /// Name of the signalling server at which the call is established already.
    pub current_server: Option<String>,
    /// Session description for the signalling server.
    pub description: Bytes,
}

/// Parses a number and checks that it lies between `min` and `max`, both inclusive.
fn parse_number(code: u8, text: &str, min: f64, max: f64) -> Result<f64, PlatformError> {
    let value: f64 =
        text.trim().parse().map_err(|_| PlatformError::InvalidValue { code, what: "not a number" })?;
    if value.is_finite() && (min..=max).contains(&value) {
        Ok(value)
    } else {
        Err(PlatformError::InvalidValue { code, what: "out of range" })
    }
}

impl SetUp {
    /// Decodes a set-up. A call that is established already (attribute `at`) needs neither a timeout nor a
    /// description.
    ///
    /// # Errors
    /// If a parameter is missing, occurs twice or has an invalid value; the error names the first such
    /// parameter.
    pub fn read(message: &Message, max_timeout: Micros) -> Result<Self, PlatformError> {
        let mut setup = Self {
            class: message
                .text(ParameterCode::CLASS)?
                .ok_or(PlatformError::MissingParameter(ParameterCode::CLASS))?
                .to_owned(),
            tenant: message.text(ParameterCode::TENANT)?.map(str::to_owned),
            number: (message.optional(ParameterCode::CALLED_NUMBER)?.cloned(), 0),
            caller_timeout: 0,
            destination: None,
            width: 1.0,
            was_dropped: false,
            redial: false,
            current_server: None,
            description: message.optional(ParameterCode::DESCRIPTION)?.cloned().unwrap_or_default(),
        };
        if let Some(text) = message.text(ParameterCode::CALLED_NUMBER)?.filter(|text| !text.is_empty()) {
            let invalid = PlatformError::InvalidValue {
                code: ParameterCode::CALLED_NUMBER,
                what: "not a called number of up to 16 hexadecimal digits",
            };
            let digits = text.len() <= 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
            setup.number.1 = u64::from_str_radix(text, 16).ok().filter(|_| digits).ok_or(invalid)?;
        }
        if let Some(text) = message.text(ParameterCode::ATTRIBUTES)? {
            if text.len() > ATTRIBUTES_MAX {
                return Err(PlatformError::InvalidValue {
                    code: ParameterCode::ATTRIBUTES,
                    what: "too long",
                });
            }
            text.split(';')
                .filter(|part| !part.is_empty())
                .try_for_each(|part| setup.apply_attribute(part))?;
        }
        if setup.current_server.is_some() {
            return Ok(setup);
        }
        let timeout = message
            .text(ParameterCode::TIMEOUT)?
            .ok_or(PlatformError::MissingParameter(ParameterCode::TIMEOUT))?;
        setup.caller_timeout =
            (parse_number(ParameterCode::TIMEOUT, timeout, 1.0, max_timeout as f64 / 1e3)? * 1e3) as Micros;
        message.required(ParameterCode::DESCRIPTION)?;
        Ok(setup)
    }

    /// Applies one attribute. Unknown attributes are ignored.
    fn apply_attribute(&mut self, part: &str) -> Result<(), PlatformError> {
        let code = ParameterCode::ATTRIBUTES;
        let (name, value) = part
            .split_once(':')
            .ok_or(PlatformError::InvalidValue { code, what: "an attribute without a value" })?;
        match name.trim() {
            "dest" => self.destination = server_number(parse_number(code, value, -1.0, f64::from(u16::MAX))?),
            "width" => self.width = parse_number(code, value, 0.0, f64::from(u16::MAX))?,
            "via" => {
                parse_number(code, value, -1.0, f64::from(u16::MAX))?;
            }
            "again" => self.was_dropped = parse_number(code, value, 0.0, 1.0)? > 0.0,
            "retry" => self.redial = parse_number(code, value, 0.0, 1.0)? > 0.0,
            "at" => self.current_server = Some(value.trim().to_owned()).filter(|at| !at.is_empty()),
            _ => {}
        }
        Ok(())
    }
}

/// Whether a message is a set-up of a new call, that is, of one not yet established at a server. Attributes that are
/// too long are not searched: such a set-up is invalid.
pub fn is_offer(message: &Message) -> bool {
    let names_server = |part: &str| {
        part.split_once(':').is_some_and(|(name, at)| name.trim() == "at" && !at.trim().is_empty())
    };
    let is_established = |text: &str| text.len() <= ATTRIBUTES_MAX && text.split(';').any(names_server);
    message.kind == MessageType::SetUp
        && !message.text(ParameterCode::ATTRIBUTES).ok().flatten().is_some_and(is_established)
}

/// Converts a server number; negative values mean none.
fn server_number(value: f64) -> Option<u16> {
    (value >= 0.0).then_some(value as u16)
}
