//! Load reports in answers: one [`Report`] from three kinds of AVP.
//!
//! - Load (RFC 8583, section 7): Load-Value ranges from 0 (fully loaded) to 65535 (no load).
//! - OC-OLR (RFC 7683, section 7.3): the share by which the server asks each client to reduce
//!   its traffic.
//! - Server-Report, a Grouped AVP under the documentation enterprise number: values that neither of the other
//!   two can carry.

use baydrift::interface::{Micros, Report};

use crate::avp::Avp;
use crate::dict;
use crate::message::Message;

/// The enterprise number for documentation (RFC 5612).
pub const VENDOR: u32 = 32_473;
/// Server-Report: Grouped; contains the six values from [`WAIT`] to [`IN_WORK`].
pub const SERVER_REPORT: u32 = 1;
/// Waiting time at the server's processor: Unsigned32, microseconds.
pub const WAIT: u32 = 2;
/// Set-ups queued at the server's processor: Unsigned32.
pub const QUEUE: u32 = 3;
/// Rate of new set-ups that the server can accept from all clients: Unsigned32, thousandths per second.
pub const RATE: u32 = 4;
/// Free circuits at the server: Unsigned32.
pub const FREE_CIRCUITS: u32 = 5;
/// Total circuits at the server: Unsigned32.
pub const CIRCUITS: u32 = 6;
/// Set-ups in progress at the server: Unsigned32.
pub const IN_WORK: u32 = 7;
/// Retry-After: Unsigned32, milliseconds; how long a rejected caller should wait before the next attempt.
pub const RETRY_AFTER: u32 = 8;

/// Standard load reports that a server includes in its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Sources {
    /// Load (RFC 8583).
    pub load: bool,
    /// OC-OLR (RFC 7683).
    pub olr: bool,
}

/// Reads the load report in a message; malformed AVPs are ignored.
pub fn read(message: &Message) -> Report {
    let mut report = Report::default();
    for avp in &message.avps {
        match (avp.vendor, avp.code) {
            (0, dict::LOAD) => report.busy = read_load(avp).or(report.busy),
            (0, dict::OC_OLR) => report.reduction = read_olr(avp).or(report.reduction),
            (VENDOR, SERVER_REPORT) => read_server(avp, &mut report),
            _ => {}
        }
    }
    report
}

/// First AVP with this vendor and code inside a Grouped AVP.
fn find_in_group(avp: &Avp, vendor: u32, code: u32) -> Option<Avp> {
    avp.as_group().ok()?.into_iter().find(|avp| avp.vendor == vendor && avp.code == code)
}

/// Highest Load-Value: no load (RFC 8583).
const LOAD_VALUE_MAX: f64 = 65_535.0;

fn read_load(avp: &Avp) -> Option<f64> {
    let value = find_in_group(avp, 0, dict::LOAD_VALUE)?.as_u64()?;
    (value <= 65_535).then(|| 1.0 - value as f64 / LOAD_VALUE_MAX)
}

fn read_olr(avp: &Avp) -> Option<f64> {
    let percent = find_in_group(avp, 0, dict::OC_REDUCTION_PERCENTAGE)?.as_u32()?;
    // A validity duration of 0 ends the overload condition (RFC 7683, section 7.5).
    let ended = find_in_group(avp, 0, dict::OC_VALIDITY_DURATION).and_then(|a| a.as_u32()) == Some(0);
    (percent <= 100).then(|| if ended { 0.0 } else { f64::from(percent) / 100.0 })
}

fn read_server(avp: &Avp, report: &mut Report) {
    for avp in avp.as_group().unwrap_or_default() {
        let Some(value) = avp.as_u32().filter(|_| avp.vendor == VENDOR).map(f64::from) else { continue };
        match avp.code {
            WAIT => report.wait_s = Some(value / 1e6),
            QUEUE => report.queue = Some(value),
            RATE => report.rate = Some(value / 1e3),
            FREE_CIRCUITS => report.free = Some(value),
            CIRCUITS => report.circuits = Some(value),
            IN_WORK => report.in_flight = Some(value),
            _ => {}
        }
    }
}

/// Appends the values of a report to an answer, each in its AVP.
pub fn write(report: &Report, host: &str, sequence: u64, message: &mut Message) {
    if let Some(busy) = report.busy {
        let value = (1.0 - busy.clamp(0.0, 1.0)) * LOAD_VALUE_MAX;
        message.push(Avp::group(
            dict::LOAD,
            &[
                Avp::u32(dict::LOAD_TYPE, 0),
                Avp::u64(dict::LOAD_VALUE, value.round() as u64),
                Avp::text(dict::SOURCE_ID, host),
            ],
        ));
    }
    if let Some(share) = report.reduction {
        message.push(Avp::group(
            dict::OC_OLR,
            &[
                Avp::u64(dict::OC_SEQUENCE_NUMBER, sequence),
                Avp::u32(dict::OC_REPORT_TYPE, 0),
                Avp::u32(dict::OC_REDUCTION_PERCENTAGE, (share.clamp(0.0, 1.0) * 100.0).round() as u32),
                Avp::u32(dict::OC_VALIDITY_DURATION, 2),
            ],
        ));
    }
    let to_u32 = |value: f64, unit: f64| (value * unit).clamp(0.0, f64::from(u32::MAX)) as u32;
    let values = [
        (WAIT, report.wait_s, 1e6),
        (QUEUE, report.queue, 1.0),
        (RATE, report.rate, 1e3),
        (FREE_CIRCUITS, report.free, 1.0),
        (CIRCUITS, report.circuits, 1.0),
        (IN_WORK, report.in_flight, 1.0),
    ];
    let value_avps: Vec<_> = values
        .iter()
        .filter_map(|(code, value, unit)| value.map(|v| vendor_u32(*code, to_u32(v, *unit))))
        .collect();
    if !value_avps.is_empty() {
        let group = Avp::group(SERVER_REPORT, &value_avps);
        message.push(Avp { vendor: VENDOR, mandatory: false, ..group });
    }
}

fn vendor_u32(code: u32, value: u32) -> Avp {
    Avp::vendor_specific(VENDOR, code, value.to_be_bytes().to_vec())
}

/// Creates a Retry-After AVP for an answer that rejects a set-up.
pub fn retry_after(span: Micros) -> Avp {
    vendor_u32(RETRY_AFTER, (span / 1_000).min(u64::from(u32::MAX)) as u32)
}

/// Reads the Retry-After AVP of an answer.
pub fn read_retry_after(message: &Message) -> Option<Micros> {
    let avp = message.avps.iter().find(|avp| (avp.vendor, avp.code) == (VENDOR, RETRY_AFTER))?;
    avp.as_u32().map(|ms| u64::from(ms) * 1_000)
}
