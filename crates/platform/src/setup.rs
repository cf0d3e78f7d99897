//! What a caller offers, read from a set-up.

use bytes::Bytes;

use baydrift::interface::Micros;

use crate::{Message, MessageType, ParameterCode, PlatformError};

/// A set-up's own figures, checked against nothing but their form and the bounds given.
#[derive(Debug, Clone, PartialEq)]
pub struct SetUp {
    /// The class's name.
    pub class: String,
    /// The tenant's name, where one is named.
    pub tenant: Option<String>,
    /// The number called as it came, and as a number; 0 for none.
    pub number: (Option<Bytes>, u64),
    /// How long the caller waits.
    pub caller_timeout: Micros,
    /// The destination's number.
    pub destination: Option<u16>,
    /// Circuits that the call takes.
    pub width: f64,
    /// It stood, was cut and comes again.
    pub was_dropped: bool,
    /// Dialled again, where callers mark that.
    pub redial: bool,
    /// It stands at this signalling server already.
    pub current_server: Option<String>,
    /// What the signalling server is to get.
    pub description: Bytes,
}

/// A number within its bounds, from text.
fn figure(code: u8, text: &str, least: f64, most: f64) -> Result<f64, PlatformError> {
    let value: f64 =
        text.trim().parse().map_err(|_| PlatformError::InvalidValue { code, what: "no number" })?;
    if value.is_finite() && (least..=most).contains(&value) {
        Ok(value)
    } else {
        Err(PlatformError::InvalidValue { code, what: "out of range" })
    }
}

impl SetUp {
    /// Reads a set-up; one that stands already (`at`) needs neither time nor description.
    ///
    /// # Errors
    /// Names the first parameter that is missing, twice there, or of no use.
    pub fn read(message: &Message, longest_wait: Micros) -> Result<Self, PlatformError> {
        let mut offer = Self {
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
            let wrong =
                PlatformError::InvalidValue { code: ParameterCode::CALLED_NUMBER, what: "no number called" };
            let digits = text.len() <= 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
            offer.number.1 = u64::from_str_radix(text, 16).ok().filter(|_| digits).ok_or(wrong)?;
        }
        if let Some(text) = message.text(ParameterCode::ATTRIBUTES)? {
            text.split(';').filter(|part| !part.is_empty()).try_for_each(|part| offer.figure(part))?;
        }
        if offer.current_server.is_some() {
            return Ok(offer);
        }
        let wait = message
            .text(ParameterCode::TIMEOUT)?
            .ok_or(PlatformError::MissingParameter(ParameterCode::TIMEOUT))?;
        offer.caller_timeout =
            (figure(ParameterCode::TIMEOUT, wait, 1.0, longest_wait as f64 / 1e3)? * 1e3) as Micros;
        message.required(ParameterCode::DESCRIPTION)?;
        Ok(offer)
    }

    /// One of the further figures. Names that are unknown are passed over.
    fn figure(&mut self, part: &str) -> Result<(), PlatformError> {
        let code = ParameterCode::ATTRIBUTES;
        let (name, value) = part
            .split_once(':')
            .ok_or(PlatformError::InvalidValue { code, what: "a figure without value" })?;
        match name.trim() {
            "dest" => self.destination = index(figure(code, value, -1.0, f64::from(u16::MAX))?),
            "width" => self.width = figure(code, value, 0.0, f64::from(u16::MAX))?,
            "via" => {
                figure(code, value, -1.0, f64::from(u16::MAX))?;
            }
            "again" => self.was_dropped = figure(code, value, 0.0, 1.0)? > 0.0,
            "retry" => self.redial = figure(code, value, 0.0, 1.0)? > 0.0,
            "at" => self.current_server = Some(value.trim().to_owned()).filter(|at| !at.is_empty()),
            _ => {}
        }
        Ok(())
    }
}

/// Whether a message asks for a call, other than one that stands already.
pub fn is_offer(message: &Message) -> bool {
    let names = |part: &str| {
        part.split_once(':').is_some_and(|(name, at)| name.trim() == "at" && !at.trim().is_empty())
    };
    let stands = |text: &str| text.split(';').any(names);
    message.kind == MessageType::SetUp
        && !message.text(ParameterCode::ATTRIBUTES).ok().flatten().is_some_and(stands)
}

fn index(value: f64) -> Option<u16> {
    (value >= 0.0).then_some(value as u16)
}
