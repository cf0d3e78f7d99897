//! Credit control (RFC 8506) used for calls: an initial CCR sets up a call, a termination CCR releases it,
//! and an ASR aborts it.

use crate::avp::Avp;
use crate::dict;
use crate::fault::{result, Fault};
use crate::message::{code, Message};

/// Application-Id of Diameter Credit-Control (section 1.3).
pub const APPLICATION: u32 = 4;

/// CC-Request-Type (section 8.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestType {
    /// INITIAL_REQUEST: sets up the call.
    Initial,
    /// UPDATE_REQUEST.
    Update,
    /// TERMINATION_REQUEST: releases the call.
    Termination,
    /// EVENT_REQUEST.
    Event,
}

impl RequestType {
    /// Enumerated value in the AVP.
    pub fn value(self) -> u32 {
        match self {
            Self::Initial => 1,
            Self::Update => 2,
            Self::Termination => 3,
            Self::Event => 4,
        }
    }

    fn from_value(value: u32) -> Option<Self> {
        [Self::Initial, Self::Update, Self::Termination, Self::Event].into_iter().find(|t| t.value() == value)
    }
}

/// Fields of a CCR that a call router needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ccr<'a> {
    /// Session-Id.
    pub session: &'a str,
    /// Origin-Host.
    pub origin_host: &'a str,
    /// Origin-Realm.
    pub origin_realm: &'a str,
    /// Destination-Realm.
    pub destination_realm: &'a str,
    /// Destination-Host.
    pub destination_host: Option<&'a str>,
    /// Service-Context-Id.
    pub service_context: &'a str,
    /// CC-Request-Type.
    pub request_type: RequestType,
    /// CC-Request-Number.
    pub request_number: u32,
    /// Called-Station-Id.
    pub called: Option<&'a str>,
}

impl<'a> Ccr<'a> {
    /// Reads a CCR; every AVP that section 3.1 requires must occur exactly once and be well-formed.
    ///
    /// # Errors
    /// 5005, 5009 or 5004 with Failed-AVP.
    pub fn read(message: &'a Message) -> Result<Self, Fault> {
        let text = |code| -> Result<&'a str, Fault> {
            let avp = dict::require(message, code)?;
            avp.as_text().ok_or_else(|| Fault::new(result::INVALID_AVP_VALUE, "not UTF-8").with(avp.clone()))
        };
        let session = text(dict::SESSION_ID)?;
        if session.is_empty() {
            let fault = Fault::new(result::INVALID_AVP_VALUE, "Session-Id is empty");
            return Err(fault.with(Avp::text(dict::SESSION_ID, "")));
        }
        let application = dict::require(message, dict::AUTH_APPLICATION_ID)?;
        if application.as_u32() != Some(APPLICATION) {
            let fault = Fault::new(result::INVALID_AVP_VALUE, "Auth-Application-Id is not 4");
            return Err(fault.with(application.clone()));
        }
        let kind = dict::require(message, dict::CC_REQUEST_TYPE)?;
        let request_type = kind.as_u32().and_then(RequestType::from_value).ok_or_else(|| {
            Fault::new(result::INVALID_AVP_VALUE, "CC-Request-Type is none of 1 to 4").with(kind.clone())
        })?;
        let number = dict::require(message, dict::CC_REQUEST_NUMBER)?;
        Ok(Self {
            session,
            origin_host: text(dict::ORIGIN_HOST)?,
            origin_realm: text(dict::ORIGIN_REALM)?,
            destination_realm: text(dict::DESTINATION_REALM)?,
            destination_host: message.text(dict::DESTINATION_HOST),
            service_context: text(dict::SERVICE_CONTEXT_ID)?,
            request_type,
            request_number: number.as_u32().unwrap_or(0),
            called: message.text(dict::CALLED_STATION_ID),
        })
    }

    /// Subscription-Id-Data of the first Subscription-Id.
    pub fn subscription(message: &Message) -> Option<String> {
        let group = message.find(dict::SUBSCRIPTION_ID)?.as_group().ok()?;
        let data = group.iter().find(|avp| (avp.vendor, avp.code) == (0, dict::SUBSCRIPTION_ID_DATA))?;
        data.as_text().map(str::to_owned)
    }
}

/// Origin and destination of a request.
#[derive(Debug, Clone, Copy)]
pub struct Endpoints<'a> {
    /// Origin-Host.
    pub origin_host: &'a str,
    /// Origin-Realm.
    pub origin_realm: &'a str,
    /// Destination-Realm.
    pub destination_realm: &'a str,
    /// Destination-Host.
    pub destination_host: Option<&'a str>,
}

/// Creates a CCR with the AVPs that section 3.1 requires.
pub fn request(
    endpoints: Endpoints<'_>,
    session: &str,
    context: &str,
    kind: RequestType,
    number: u32,
) -> Message {
    let mut message = Message::request(code::CREDIT_CONTROL, APPLICATION)
        .with(Avp::text(dict::SESSION_ID, session))
        .with(Avp::text(dict::ORIGIN_HOST, endpoints.origin_host))
        .with(Avp::text(dict::ORIGIN_REALM, endpoints.origin_realm))
        .with(Avp::text(dict::DESTINATION_REALM, endpoints.destination_realm))
        .with(Avp::u32(dict::AUTH_APPLICATION_ID, APPLICATION))
        .with(Avp::text(dict::SERVICE_CONTEXT_ID, context))
        .with(Avp::u32(dict::CC_REQUEST_TYPE, kind.value()))
        .with(Avp::u32(dict::CC_REQUEST_NUMBER, number));
    if let Some(host) = endpoints.destination_host {
        message.push(Avp::text(dict::DESTINATION_HOST, host));
    }
    message
}

/// Creates a CCA to a CCR (section 3.2), which repeats application, request type and request number.
pub fn answer(request: &Message, result_code: u32, host: &str, realm: &str) -> Message {
    answer_with_origin(
        request,
        result_code,
        &[Avp::text(dict::ORIGIN_HOST, host), Avp::text(dict::ORIGIN_REALM, realm)],
    )
}

/// As [`answer`], with already encoded Origin-Host and Origin-Realm AVPs.
pub fn answer_with_origin(request: &Message, result_code: u32, origin: &[Avp; 2]) -> Message {
    let mut answer = Message::answer(request, result_code);
    answer.avps.extend(origin.iter().cloned());
    for code in [dict::AUTH_APPLICATION_ID, dict::CC_REQUEST_TYPE, dict::CC_REQUEST_NUMBER] {
        answer.avps.extend(request.find(code).cloned());
    }
    answer
}

/// Creates an ASR (RFC 6733, section 8.5.1).
pub fn abort(endpoints: Endpoints<'_>, session: &str) -> Message {
    let mut message = Message::request(code::ABORT_SESSION, APPLICATION)
        .with(Avp::text(dict::SESSION_ID, session))
        .with(Avp::text(dict::ORIGIN_HOST, endpoints.origin_host))
        .with(Avp::text(dict::ORIGIN_REALM, endpoints.origin_realm))
        .with(Avp::text(dict::DESTINATION_REALM, endpoints.destination_realm));
    if let Some(host) = endpoints.destination_host {
        message.push(Avp::text(dict::DESTINATION_HOST, host));
    }
    message.push(Avp::u32(dict::AUTH_APPLICATION_ID, APPLICATION));
    message
}
