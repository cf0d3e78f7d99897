//! Load reports on answers, from three sources in one [`Report`].
//!
//! - Load (RFC 8583, section 7): Load-Value runs from 0, fully loaded, to 65535, not loaded at all.
//! - OC-OLR (RFC 7683, section 7.3): the share of traffic that the server asks each sender to hold back.
//! - Server-Report, a grouped AVP under the documentation enterprise number: what neither of them tells.

use baydrift::interface::{Micros, Report};

use crate::avp::Avp;
use crate::dict;
use crate::message::Message;

/// The enterprise number for documentation (RFC 5612).
pub const VENDOR: u32 = 32_473;
/// Server-Report: Grouped, of the six below.
pub const SERVER_REPORT: u32 = 1;
/// Wait at the processor, Unsigned32, microseconds.
pub const WAIT: u32 = 2;
/// Set-ups waiting at the processor, Unsigned32.
pub const QUEUE: u32 = 3;
/// New set-ups that it can take from all senders, Unsigned32, thousandths a second.
pub const RATE: u32 = 4;
/// Free lines towards the server, Unsigned32.
pub const FREE_LINES: u32 = 5;
/// Lines in all, Unsigned32.
pub const LINES: u32 = 6;
/// Set-ups in work, Unsigned32.
pub const IN_WORK: u32 = 7;
/// Retry-After, Unsigned32, milliseconds: advice to a caller that was refused.
pub const RETRY_AFTER: u32 = 8;

/// Which reports a server writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Sources {
    /// Load.
    pub load: bool,
    /// OC-OLR.
    pub olr: bool,
}

/// Reads all that a message says of its sender's load; what is malformed says nothing.
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

fn inner(avp: &Avp, vendor: u32, code: u32) -> Option<Avp> {
    avp.as_group().ok()?.into_iter().find(|avp| avp.vendor == vendor && avp.code == code)
}

/// Highest Load-Value: not loaded at all.
const UNLOADED: f64 = 65_535.0;

fn read_load(avp: &Avp) -> Option<f64> {
    let value = inner(avp, 0, dict::LOAD_VALUE)?.as_u64()?;
    (value <= 65_535).then(|| 1.0 - value as f64 / UNLOADED)
}

fn read_olr(avp: &Avp) -> Option<f64> {
    let percent = inner(avp, 0, dict::OC_REDUCTION_PERCENTAGE)?.as_u32()?;
    // No validity left means that the overload is over (section 7.5).
    let over = inner(avp, 0, dict::OC_VALIDITY_DURATION).and_then(|a| a.as_u32()) == Some(0);
    (percent <= 100).then(|| if over { 0.0 } else { f64::from(percent) / 100.0 })
}

fn read_server(avp: &Avp, report: &mut Report) {
    for avp in avp.as_group().unwrap_or_default() {
        let Some(value) = avp.as_u32().filter(|_| avp.vendor == VENDOR).map(f64::from) else { continue };
        match avp.code {
            WAIT => report.wait_s = Some(value / 1e6),
            QUEUE => report.queue = Some(value),
            RATE => report.rate = Some(value / 1e3),
            FREE_LINES => report.free = Some(value),
            LINES => report.circuits = Some(value),
            IN_WORK => report.in_flight = Some(value),
            _ => {}
        }
    }
}

/// Appends a report to an answer, each value in the AVP that is meant for it.
pub fn write(report: &Report, host: &str, sequence: u64, message: &mut Message) {
    if let Some(busy) = report.busy {
        let value = (1.0 - busy.clamp(0.0, 1.0)) * UNLOADED;
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
    let whole = |value: f64, unit: f64| (value * unit).clamp(0.0, f64::from(u32::MAX)) as u32;
    let values = [
        (WAIT, report.wait_s, 1e6),
        (QUEUE, report.queue, 1.0),
        (RATE, report.rate, 1e3),
        (FREE_LINES, report.free, 1.0),
        (LINES, report.circuits, 1.0),
        (IN_WORK, report.in_flight, 1.0),
    ];
    let told: Vec<_> = values
        .iter()
        .filter_map(|(code, value, unit)| value.map(|v| vendor_u32(*code, whole(v, *unit))))
        .collect();
    if !told.is_empty() {
        let group = Avp::group(SERVER_REPORT, &told);
        message.push(Avp { vendor: VENDOR, mandatory: false, ..group });
    }
}

fn vendor_u32(code: u32, value: u32) -> Avp {
    Avp::of_vendor(VENDOR, code, value.to_be_bytes().to_vec())
}

/// Advice to stay away, for an answer that refuses.
pub fn retry_after(span: Micros) -> Avp {
    vendor_u32(RETRY_AFTER, (span / 1_000).min(u64::from(u32::MAX)) as u32)
}

/// The advice in an answer.
pub fn read_retry_after(message: &Message) -> Option<Micros> {
    let avp = message.avps.iter().find(|avp| (avp.vendor, avp.code) == (VENDOR, RETRY_AFTER))?;
    avp.as_u32().map(|ms| u64::from(ms) * 1_000)
}
