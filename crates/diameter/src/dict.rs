//! The AVP dictionary: RFC 6733 (section 4.5), RFC 8506 (section 8), RFC 7683 (section 7), RFC 8583
//! (section 7), and the AVPs of RFC 2865 that they use.

use crate::avp::{Avp, MAX_GROUP_DEPTH};
use crate::fault::{result, Fault};
use crate::message::Message;

/// Data format of an AVP (RFC 6733, sections 4.2 and 4.3); formats that are checked alike share a variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// OctetString.
    Octets,
    /// UTF8String, DiameterIdentity, DiameterURI.
    Text,
    /// Unsigned32, Integer32, Enumerated, Time.
    U32,
    /// Unsigned64, Integer64.
    U64,
    /// Address.
    Address,
    /// Grouped.
    Grouped,
}

/// Definition of one AVP.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Def {
    /// AVP Code.
    pub code: u32,
    /// AVP name.
    pub name: &'static str,
    /// Data format.
    pub kind: Kind,
    /// Whether a sender sets the M bit.
    pub mandatory: bool,
}

/// User-Name.
pub const USER_NAME: u32 = 1;
/// Class.
pub const CLASS: u32 = 25;
/// Session-Timeout.
pub const SESSION_TIMEOUT: u32 = 27;
/// Called-Station-Id.
pub const CALLED_STATION_ID: u32 = 30;
/// Calling-Station-Id.
pub const CALLING_STATION_ID: u32 = 31;
/// Proxy-State.
pub const PROXY_STATE: u32 = 33;
/// Accounting-Session-Id.
pub const ACCT_SESSION_ID: u32 = 44;
/// Acct-Multi-Session-Id.
pub const ACCT_MULTI_SESSION_ID: u32 = 50;
/// Event-Timestamp.
pub const EVENT_TIMESTAMP: u32 = 55;
/// Acct-Interim-Interval.
pub const ACCT_INTERIM_INTERVAL: u32 = 85;
/// Host-IP-Address.
pub const HOST_IP_ADDRESS: u32 = 257;
/// Auth-Application-Id.
pub const AUTH_APPLICATION_ID: u32 = 258;
/// Acct-Application-Id.
pub const ACCT_APPLICATION_ID: u32 = 259;
/// Vendor-Specific-Application-Id.
pub const VENDOR_SPECIFIC_APPLICATION_ID: u32 = 260;
/// Redirect-Host-Usage.
pub const REDIRECT_HOST_USAGE: u32 = 261;
/// Redirect-Max-Cache-Time.
pub const REDIRECT_MAX_CACHE_TIME: u32 = 262;
/// Session-Id.
pub const SESSION_ID: u32 = 263;
/// Origin-Host.
pub const ORIGIN_HOST: u32 = 264;
/// Supported-Vendor-Id.
pub const SUPPORTED_VENDOR_ID: u32 = 265;
/// Vendor-Id.
pub const VENDOR_ID: u32 = 266;
/// Firmware-Revision.
pub const FIRMWARE_REVISION: u32 = 267;
/// Result-Code.
pub const RESULT_CODE: u32 = 268;
/// Product-Name.
pub const PRODUCT_NAME: u32 = 269;
/// Session-Binding.
pub const SESSION_BINDING: u32 = 270;
/// Session-Server-Failover.
pub const SESSION_SERVER_FAILOVER: u32 = 271;
/// Multi-Round-Time-Out.
pub const MULTI_ROUND_TIME_OUT: u32 = 272;
/// Disconnect-Cause.
pub const DISCONNECT_CAUSE: u32 = 273;
/// Auth-Request-Type.
pub const AUTH_REQUEST_TYPE: u32 = 274;
/// Auth-Grace-Period.
pub const AUTH_GRACE_PERIOD: u32 = 276;
/// Auth-Session-State.
pub const AUTH_SESSION_STATE: u32 = 277;
/// Origin-State-Id.
pub const ORIGIN_STATE_ID: u32 = 278;
/// Failed-AVP.
pub const FAILED_AVP: u32 = 279;
/// Proxy-Host.
pub const PROXY_HOST: u32 = 280;
/// Error-Message.
pub const ERROR_MESSAGE: u32 = 281;
/// Route-Record.
pub const ROUTE_RECORD: u32 = 282;
/// Destination-Realm.
pub const DESTINATION_REALM: u32 = 283;
/// Proxy-Info.
pub const PROXY_INFO: u32 = 284;
/// Re-Auth-Request-Type.
pub const RE_AUTH_REQUEST_TYPE: u32 = 285;
/// Accounting-Sub-Session-Id.
pub const ACCOUNTING_SUB_SESSION_ID: u32 = 287;
/// Authorization-Lifetime.
pub const AUTHORIZATION_LIFETIME: u32 = 291;
/// Redirect-Host.
pub const REDIRECT_HOST: u32 = 292;
/// Destination-Host.
pub const DESTINATION_HOST: u32 = 293;
/// Error-Reporting-Host.
pub const ERROR_REPORTING_HOST: u32 = 294;
/// Termination-Cause.
pub const TERMINATION_CAUSE: u32 = 295;
/// Origin-Realm.
pub const ORIGIN_REALM: u32 = 296;
/// Experimental-Result.
pub const EXPERIMENTAL_RESULT: u32 = 297;
/// Experimental-Result-Code.
pub const EXPERIMENTAL_RESULT_CODE: u32 = 298;
/// Inband-Security-Id.
pub const INBAND_SECURITY_ID: u32 = 299;
/// DRMP.
pub const DRMP: u32 = 301;
/// CC-Correlation-Id.
pub const CC_CORRELATION_ID: u32 = 411;
/// CC-Input-Octets.
pub const CC_INPUT_OCTETS: u32 = 412;
/// CC-Money.
pub const CC_MONEY: u32 = 413;
/// CC-Output-Octets.
pub const CC_OUTPUT_OCTETS: u32 = 414;
/// CC-Request-Number.
pub const CC_REQUEST_NUMBER: u32 = 415;
/// CC-Request-Type.
pub const CC_REQUEST_TYPE: u32 = 416;
/// CC-Service-Specific-Units.
pub const CC_SERVICE_SPECIFIC_UNITS: u32 = 417;
/// CC-Session-Failover.
pub const CC_SESSION_FAILOVER: u32 = 418;
/// CC-Sub-Session-Id.
pub const CC_SUB_SESSION_ID: u32 = 419;
/// CC-Time.
pub const CC_TIME: u32 = 420;
/// CC-Total-Octets.
pub const CC_TOTAL_OCTETS: u32 = 421;
/// Check-Balance-Result.
pub const CHECK_BALANCE_RESULT: u32 = 422;
/// Cost-Information.
pub const COST_INFORMATION: u32 = 423;
/// Cost-Unit.
pub const COST_UNIT: u32 = 424;
/// Currency-Code.
pub const CURRENCY_CODE: u32 = 425;
/// Credit-Control.
pub const CREDIT_CONTROL: u32 = 426;
/// Credit-Control-Failure-Handling.
pub const CREDIT_CONTROL_FAILURE_HANDLING: u32 = 427;
/// Direct-Debiting-Failure-Handling.
pub const DIRECT_DEBITING_FAILURE_HANDLING: u32 = 428;
/// Exponent.
pub const EXPONENT: u32 = 429;
/// Final-Unit-Indication.
pub const FINAL_UNIT_INDICATION: u32 = 430;
/// Granted-Service-Unit.
pub const GRANTED_SERVICE_UNIT: u32 = 431;
/// Rating-Group.
pub const RATING_GROUP: u32 = 432;
/// Redirect-Address-Type.
pub const REDIRECT_ADDRESS_TYPE: u32 = 433;
/// Redirect-Server.
pub const REDIRECT_SERVER: u32 = 434;
/// Redirect-Server-Address.
pub const REDIRECT_SERVER_ADDRESS: u32 = 435;
/// Requested-Action.
pub const REQUESTED_ACTION: u32 = 436;
/// Requested-Service-Unit.
pub const REQUESTED_SERVICE_UNIT: u32 = 437;
/// Restriction-Filter-Rule.
pub const RESTRICTION_FILTER_RULE: u32 = 438;
/// Service-Identifier.
pub const SERVICE_IDENTIFIER: u32 = 439;
/// Service-Parameter-Info.
pub const SERVICE_PARAMETER_INFO: u32 = 440;
/// Service-Parameter-Type.
pub const SERVICE_PARAMETER_TYPE: u32 = 441;
/// Service-Parameter-Value.
pub const SERVICE_PARAMETER_VALUE: u32 = 442;
/// Subscription-Id.
pub const SUBSCRIPTION_ID: u32 = 443;
/// Subscription-Id-Data.
pub const SUBSCRIPTION_ID_DATA: u32 = 444;
/// Unit-Value.
pub const UNIT_VALUE: u32 = 445;
/// Used-Service-Unit.
pub const USED_SERVICE_UNIT: u32 = 446;
/// Value-Digits.
pub const VALUE_DIGITS: u32 = 447;
/// Validity-Time.
pub const VALIDITY_TIME: u32 = 448;
/// Final-Unit-Action.
pub const FINAL_UNIT_ACTION: u32 = 449;
/// Subscription-Id-Type.
pub const SUBSCRIPTION_ID_TYPE: u32 = 450;
/// Tariff-Time-Change.
pub const TARIFF_TIME_CHANGE: u32 = 451;
/// Tariff-Change-Usage.
pub const TARIFF_CHANGE_USAGE: u32 = 452;
/// G-S-U-Pool-Identifier.
pub const G_S_U_POOL_IDENTIFIER: u32 = 453;
/// CC-Unit-Type.
pub const CC_UNIT_TYPE: u32 = 454;
/// Multiple-Services-Indicator.
pub const MULTIPLE_SERVICES_INDICATOR: u32 = 455;
/// Multiple-Services-Credit-Control.
pub const MULTIPLE_SERVICES_CREDIT_CONTROL: u32 = 456;
/// G-S-U-Pool-Reference.
pub const G_S_U_POOL_REFERENCE: u32 = 457;
/// User-Equipment-Info.
pub const USER_EQUIPMENT_INFO: u32 = 458;
/// User-Equipment-Info-Type.
pub const USER_EQUIPMENT_INFO_TYPE: u32 = 459;
/// User-Equipment-Info-Value.
pub const USER_EQUIPMENT_INFO_VALUE: u32 = 460;
/// Service-Context-Id.
pub const SERVICE_CONTEXT_ID: u32 = 461;
/// Accounting-Record-Type.
pub const ACCOUNTING_RECORD_TYPE: u32 = 480;
/// Accounting-Realtime-Required.
pub const ACCOUNTING_REALTIME_REQUIRED: u32 = 483;
/// Accounting-Record-Number.
pub const ACCOUNTING_RECORD_NUMBER: u32 = 485;
/// OC-Supported-Features.
pub const OC_SUPPORTED_FEATURES: u32 = 621;
/// OC-Feature-Vector.
pub const OC_FEATURE_VECTOR: u32 = 622;
/// OC-OLR.
pub const OC_OLR: u32 = 623;
/// OC-Sequence-Number.
pub const OC_SEQUENCE_NUMBER: u32 = 624;
/// OC-Validity-Duration.
pub const OC_VALIDITY_DURATION: u32 = 625;
/// OC-Report-Type.
pub const OC_REPORT_TYPE: u32 = 626;
/// OC-Reduction-Percentage.
pub const OC_REDUCTION_PERCENTAGE: u32 = 627;
/// SourceID.
pub const SOURCE_ID: u32 = 649;
/// Load.
pub const LOAD: u32 = 650;
/// Load-Type.
pub const LOAD_TYPE: u32 = 651;
/// Load-Value.
pub const LOAD_VALUE: u32 = 652;
/// User-Equipment-Info-Extension.
pub const USER_EQUIPMENT_INFO_EXTENSION: u32 = 653;
/// Subscription-Id-Extension.
pub const SUBSCRIPTION_ID_EXTENSION: u32 = 659;
/// Subscription-Id-E164.
pub const SUBSCRIPTION_ID_E164: u32 = 661;
/// Redirect-Server-Extension.
pub const REDIRECT_SERVER_EXTENSION: u32 = 665;
/// QoS-Final-Unit-Indication.
pub const QOS_FINAL_UNIT_INDICATION: u32 = 668;

const fn def(code: u32, name: &'static str, kind: Kind, mandatory: bool) -> Def {
    Def { code, name, kind, mandatory }
}

/// All definitions, sorted by code for binary search.
const DEFS: &[Def] = &[
    def(USER_NAME, "User-Name", Kind::Text, true),
    def(CLASS, "Class", Kind::Octets, true),
    def(SESSION_TIMEOUT, "Session-Timeout", Kind::U32, true),
    def(CALLED_STATION_ID, "Called-Station-Id", Kind::Text, true),
    def(CALLING_STATION_ID, "Calling-Station-Id", Kind::Text, true),
    def(PROXY_STATE, "Proxy-State", Kind::Octets, true),
    def(ACCT_SESSION_ID, "Accounting-Session-Id", Kind::Octets, true),
    def(ACCT_MULTI_SESSION_ID, "Acct-Multi-Session-Id", Kind::Text, true),
    def(EVENT_TIMESTAMP, "Event-Timestamp", Kind::U32, true),
    def(ACCT_INTERIM_INTERVAL, "Acct-Interim-Interval", Kind::U32, true),
    def(HOST_IP_ADDRESS, "Host-IP-Address", Kind::Address, true),
    def(AUTH_APPLICATION_ID, "Auth-Application-Id", Kind::U32, true),
    def(ACCT_APPLICATION_ID, "Acct-Application-Id", Kind::U32, true),
    def(VENDOR_SPECIFIC_APPLICATION_ID, "Vendor-Specific-Application-Id", Kind::Grouped, true),
    def(REDIRECT_HOST_USAGE, "Redirect-Host-Usage", Kind::U32, true),
    def(REDIRECT_MAX_CACHE_TIME, "Redirect-Max-Cache-Time", Kind::U32, true),
    def(SESSION_ID, "Session-Id", Kind::Text, true),
    def(ORIGIN_HOST, "Origin-Host", Kind::Text, true),
    def(SUPPORTED_VENDOR_ID, "Supported-Vendor-Id", Kind::U32, true),
    def(VENDOR_ID, "Vendor-Id", Kind::U32, true),
    def(FIRMWARE_REVISION, "Firmware-Revision", Kind::U32, false),
    def(RESULT_CODE, "Result-Code", Kind::U32, true),
    def(PRODUCT_NAME, "Product-Name", Kind::Text, false),
    def(SESSION_BINDING, "Session-Binding", Kind::U32, true),
    def(SESSION_SERVER_FAILOVER, "Session-Server-Failover", Kind::U32, true),
    def(MULTI_ROUND_TIME_OUT, "Multi-Round-Time-Out", Kind::U32, true),
    def(DISCONNECT_CAUSE, "Disconnect-Cause", Kind::U32, true),
    def(AUTH_REQUEST_TYPE, "Auth-Request-Type", Kind::U32, true),
    def(AUTH_GRACE_PERIOD, "Auth-Grace-Period", Kind::U32, true),
    def(AUTH_SESSION_STATE, "Auth-Session-State", Kind::U32, true),
    def(ORIGIN_STATE_ID, "Origin-State-Id", Kind::U32, true),
    def(FAILED_AVP, "Failed-AVP", Kind::Grouped, true),
    def(PROXY_HOST, "Proxy-Host", Kind::Text, true),
    def(ERROR_MESSAGE, "Error-Message", Kind::Text, false),
    def(ROUTE_RECORD, "Route-Record", Kind::Text, true),
    def(DESTINATION_REALM, "Destination-Realm", Kind::Text, true),
    def(PROXY_INFO, "Proxy-Info", Kind::Grouped, true),
    def(RE_AUTH_REQUEST_TYPE, "Re-Auth-Request-Type", Kind::U32, true),
    def(ACCOUNTING_SUB_SESSION_ID, "Accounting-Sub-Session-Id", Kind::U64, true),
    def(AUTHORIZATION_LIFETIME, "Authorization-Lifetime", Kind::U32, true),
    def(REDIRECT_HOST, "Redirect-Host", Kind::Text, true),
    def(DESTINATION_HOST, "Destination-Host", Kind::Text, true),
    def(ERROR_REPORTING_HOST, "Error-Reporting-Host", Kind::Text, false),
    def(TERMINATION_CAUSE, "Termination-Cause", Kind::U32, true),
    def(ORIGIN_REALM, "Origin-Realm", Kind::Text, true),
    def(EXPERIMENTAL_RESULT, "Experimental-Result", Kind::Grouped, true),
    def(EXPERIMENTAL_RESULT_CODE, "Experimental-Result-Code", Kind::U32, true),
    def(INBAND_SECURITY_ID, "Inband-Security-Id", Kind::U32, true),
    def(DRMP, "DRMP", Kind::U32, false),
    def(CC_CORRELATION_ID, "CC-Correlation-Id", Kind::Octets, false),
    def(CC_INPUT_OCTETS, "CC-Input-Octets", Kind::U64, true),
    def(CC_MONEY, "CC-Money", Kind::Grouped, true),
    def(CC_OUTPUT_OCTETS, "CC-Output-Octets", Kind::U64, true),
    def(CC_REQUEST_NUMBER, "CC-Request-Number", Kind::U32, true),
    def(CC_REQUEST_TYPE, "CC-Request-Type", Kind::U32, true),
    def(CC_SERVICE_SPECIFIC_UNITS, "CC-Service-Specific-Units", Kind::U64, true),
    def(CC_SESSION_FAILOVER, "CC-Session-Failover", Kind::U32, true),
    def(CC_SUB_SESSION_ID, "CC-Sub-Session-Id", Kind::U64, true),
    def(CC_TIME, "CC-Time", Kind::U32, true),
    def(CC_TOTAL_OCTETS, "CC-Total-Octets", Kind::U64, true),
    def(CHECK_BALANCE_RESULT, "Check-Balance-Result", Kind::U32, true),
    def(COST_INFORMATION, "Cost-Information", Kind::Grouped, true),
    def(COST_UNIT, "Cost-Unit", Kind::Text, true),
    def(CURRENCY_CODE, "Currency-Code", Kind::U32, true),
    def(CREDIT_CONTROL, "Credit-Control", Kind::U32, true),
    def(CREDIT_CONTROL_FAILURE_HANDLING, "Credit-Control-Failure-Handling", Kind::U32, true),
    def(DIRECT_DEBITING_FAILURE_HANDLING, "Direct-Debiting-Failure-Handling", Kind::U32, true),
    def(EXPONENT, "Exponent", Kind::U32, true),
    def(FINAL_UNIT_INDICATION, "Final-Unit-Indication", Kind::Grouped, true),
    def(GRANTED_SERVICE_UNIT, "Granted-Service-Unit", Kind::Grouped, true),
    def(RATING_GROUP, "Rating-Group", Kind::U32, true),
    def(REDIRECT_ADDRESS_TYPE, "Redirect-Address-Type", Kind::U32, true),
    def(REDIRECT_SERVER, "Redirect-Server", Kind::Grouped, true),
    def(REDIRECT_SERVER_ADDRESS, "Redirect-Server-Address", Kind::Text, true),
    def(REQUESTED_ACTION, "Requested-Action", Kind::U32, true),
    def(REQUESTED_SERVICE_UNIT, "Requested-Service-Unit", Kind::Grouped, true),
    def(RESTRICTION_FILTER_RULE, "Restriction-Filter-Rule", Kind::Octets, true),
    def(SERVICE_IDENTIFIER, "Service-Identifier", Kind::U32, true),
    def(SERVICE_PARAMETER_INFO, "Service-Parameter-Info", Kind::Grouped, false),
    def(SERVICE_PARAMETER_TYPE, "Service-Parameter-Type", Kind::U32, false),
    def(SERVICE_PARAMETER_VALUE, "Service-Parameter-Value", Kind::Octets, false),
    def(SUBSCRIPTION_ID, "Subscription-Id", Kind::Grouped, true),
    def(SUBSCRIPTION_ID_DATA, "Subscription-Id-Data", Kind::Text, true),
    def(UNIT_VALUE, "Unit-Value", Kind::Grouped, true),
    def(USED_SERVICE_UNIT, "Used-Service-Unit", Kind::Grouped, true),
    def(VALUE_DIGITS, "Value-Digits", Kind::U64, true),
    def(VALIDITY_TIME, "Validity-Time", Kind::U32, true),
    def(FINAL_UNIT_ACTION, "Final-Unit-Action", Kind::U32, true),
    def(SUBSCRIPTION_ID_TYPE, "Subscription-Id-Type", Kind::U32, true),
    def(TARIFF_TIME_CHANGE, "Tariff-Time-Change", Kind::U32, true),
    def(TARIFF_CHANGE_USAGE, "Tariff-Change-Usage", Kind::U32, true),
    def(G_S_U_POOL_IDENTIFIER, "G-S-U-Pool-Identifier", Kind::U32, true),
    def(CC_UNIT_TYPE, "CC-Unit-Type", Kind::U32, true),
    def(MULTIPLE_SERVICES_INDICATOR, "Multiple-Services-Indicator", Kind::U32, true),
    def(MULTIPLE_SERVICES_CREDIT_CONTROL, "Multiple-Services-Credit-Control", Kind::Grouped, true),
    def(G_S_U_POOL_REFERENCE, "G-S-U-Pool-Reference", Kind::Grouped, true),
    def(USER_EQUIPMENT_INFO, "User-Equipment-Info", Kind::Grouped, false),
    def(USER_EQUIPMENT_INFO_TYPE, "User-Equipment-Info-Type", Kind::U32, false),
    def(USER_EQUIPMENT_INFO_VALUE, "User-Equipment-Info-Value", Kind::Octets, false),
    def(SERVICE_CONTEXT_ID, "Service-Context-Id", Kind::Text, true),
    def(ACCOUNTING_RECORD_TYPE, "Accounting-Record-Type", Kind::U32, true),
    def(ACCOUNTING_REALTIME_REQUIRED, "Accounting-Realtime-Required", Kind::U32, true),
    def(ACCOUNTING_RECORD_NUMBER, "Accounting-Record-Number", Kind::U32, true),
    def(OC_SUPPORTED_FEATURES, "OC-Supported-Features", Kind::Grouped, false),
    def(OC_FEATURE_VECTOR, "OC-Feature-Vector", Kind::U64, false),
    def(OC_OLR, "OC-OLR", Kind::Grouped, false),
    def(OC_SEQUENCE_NUMBER, "OC-Sequence-Number", Kind::U64, false),
    def(OC_VALIDITY_DURATION, "OC-Validity-Duration", Kind::U32, false),
    def(OC_REPORT_TYPE, "OC-Report-Type", Kind::U32, false),
    def(OC_REDUCTION_PERCENTAGE, "OC-Reduction-Percentage", Kind::U32, false),
    def(SOURCE_ID, "SourceID", Kind::Text, false),
    def(LOAD, "Load", Kind::Grouped, false),
    def(LOAD_TYPE, "Load-Type", Kind::U32, false),
    def(LOAD_VALUE, "Load-Value", Kind::U64, false),
    def(USER_EQUIPMENT_INFO_EXTENSION, "User-Equipment-Info-Extension", Kind::Grouped, false),
    def(SUBSCRIPTION_ID_EXTENSION, "Subscription-Id-Extension", Kind::Grouped, false),
    def(SUBSCRIPTION_ID_E164, "Subscription-Id-E164", Kind::Text, false),
    def(REDIRECT_SERVER_EXTENSION, "Redirect-Server-Extension", Kind::Grouped, false),
    def(QOS_FINAL_UNIT_INDICATION, "QoS-Final-Unit-Indication", Kind::Grouped, false),
];

/// Looks up the definition of an AVP. Vendor-specific AVPs have none.
pub fn find(vendor: u32, code: u32) -> Option<&'static Def> {
    if vendor != 0 {
        return None;
    }
    DEFS.binary_search_by_key(&code, |def| def.code).ok().map(|at| &DEFS[at])
}

/// Checks every AVP of a message, including the contents of Grouped AVPs: an AVP with the M bit must be
/// known, and the data must have the length and format of its definition.
///
/// # Errors
/// 5001, 5004 or 5014 for the first AVP that fails, with Failed-AVP as in RFC 6733, section 7.5.
pub fn check(message: &Message) -> Result<(), Fault> {
    message.avps.iter().try_for_each(|avp| check_avp(avp, 1))
}

fn check_avp(avp: &Avp, depth: usize) -> Result<(), Fault> {
    let Some(def) = find(avp.vendor, avp.code) else {
        if avp.mandatory {
            let text = format!("AVP {} of vendor {} is mandatory and not known here", avp.code, avp.vendor);
            return Err(Fault::new(result::AVP_UNSUPPORTED, text).with(avp.clone()));
        }
        return Ok(());
    };
    let min_len = match def.kind {
        Kind::U32 => 4,
        Kind::U64 => 8,
        Kind::Address => 6,
        Kind::Octets | Kind::Text | Kind::Grouped => 0,
    };
    let exact = matches!(def.kind, Kind::U32 | Kind::U64);
    if avp.data.len() < min_len || exact && avp.data.len() != min_len {
        let text = format!("{}: {} bytes of data, {min_len} wanted", def.name, avp.data.len());
        // Failed-AVP has the offending AVP with zero-filled data of the minimum length (section 7.5).
        let failed = Avp { data: vec![0; min_len].into(), ..avp.clone() };
        return Err(Fault::new(result::INVALID_AVP_LENGTH, text).with(failed));
    }
    match def.kind {
        Kind::Text if avp.as_text().is_none() => {
            let text = format!("{}: not UTF-8", def.name);
            Err(Fault::new(result::INVALID_AVP_VALUE, text).with(avp.clone()))
        }
        Kind::Grouped if depth >= MAX_GROUP_DEPTH => {
            let text = format!("{}: groups nested deeper than {MAX_GROUP_DEPTH}", def.name);
            Err(Fault::new(result::INVALID_AVP_VALUE, text)
                .with(Avp { data: Default::default(), ..avp.clone() }))
        }
        // Failed-AVP quotes the AVP that a peer rejected, which may be unknown or malformed.
        Kind::Grouped if avp.code == FAILED_AVP => Ok(()),
        Kind::Grouped => avp.as_group()?.iter().try_for_each(|inner| check_avp(inner, depth + 1)),
        _ => Ok(()),
    }
}

/// Returns an AVP that must occur exactly once.
///
/// # Errors
/// 5005 with a zero-filled example in Failed-AVP if it is missing, 5009 if it occurs more than once.
pub fn require(message: &Message, code: u32) -> Result<&Avp, Fault> {
    let mut all = message.all(code);
    let name = find(0, code).map_or("AVP", |def| def.name);
    let Some(first) = all.next() else {
        let min_len = match find(0, code).map(|def| def.kind) {
            Some(Kind::U32) => 4,
            Some(Kind::U64) => 8,
            _ => 0,
        };
        let example = Avp::new(code, vec![0; min_len]);
        return Err(Fault::new(result::MISSING_AVP, format!("{name} is missing")).with(example));
    };
    match all.next() {
        Some(second) => {
            let fault = Fault::new(result::AVP_OCCURS_TOO_MANY_TIMES, format!("{name} comes more than once"));
            Err(fault.with(second.clone()))
        }
        None => Ok(first),
    }
}
