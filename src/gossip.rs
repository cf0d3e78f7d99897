//! Encoding of the gossip messages between fronts. Their content, recipients and use are decided in
//! `src/policy.rs`.

use crate::interface::{Micros, Report, ServerId};
use crate::measure::valid;

/// First byte of a message: the version of the encoding.
const VERSION: u8 = 1;
/// Unit of encoded ages, in microseconds.
const AGE_UNIT: Micros = 10_000;
/// Encodes an age that is unknown or too large to encode.
const NO_AGE: u8 = 255;
/// Most bytes that the hint on one server takes: key, value bits, two ages and seven values.
const HINT_SIZE_MAX: usize = 21;

/// What one front reports to another about one server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadHint {
    /// The server, as [`server_key`] encodes it.
    pub server_key: u32,
    /// A load report, without circuits.
    pub report: Report,
    /// The report's age; `Micros::MAX` without a report.
    pub age: Micros,
    /// The wait observed from set-up times, in seconds.
    pub observed_wait_s: f64,
    /// Age of that observation; `Micros::MAX` without one.
    pub observed_age: Micros,
    /// Set-ups a second that the server's number carried from the sender while warm, if known.
    pub carried_per_s: Option<f64>,
}

/// Folds a server id to four bytes. A collision within one server list is very unlikely.
pub fn server_key(id: ServerId) -> u32 {
    (id ^ (id >> 32)) as u32
}

/// Encodes the hints that fit into `size_max` bytes; `None` if there are none.
pub fn encode(hints: impl Iterator<Item = LoadHint>, size_max: usize) -> Option<Vec<u8>> {
    let mut out = vec![VERSION];
    for hint in hints {
        if out.len() + HINT_SIZE_MAX > size_max {
            break;
        }
        let age = |age: Micros| (age / AGE_UNIT).min(NO_AGE.into()) as u8;
        let r = &hint.report;
        let values = [r.reduction, r.wait_s, r.queue, r.rate, r.busy, hint.carried_per_s].map(valid);
        let present = values.iter().enumerate().map(|(i, v)| u8::from(v.is_some()) << i).sum();
        out.extend(hint.server_key.to_le_bytes());
        out.extend([present, age(hint.age), age(hint.observed_age)]);
        for value in values.into_iter().flatten().chain([hint.observed_wait_s]) {
            // The upper half of a 32-bit float: the full range, with two to three significant digits.
            out.extend_from_slice(&(value as f32).to_be_bytes()[..2]);
        }
    }
    (out.len() > 1).then_some(out)
}

/// Decodes all hints of a message; `None` if any part of it is malformed.
pub fn decode(payload: &[u8]) -> Option<Vec<LoadHint>> {
    let mut bytes = payload.strip_prefix(&[VERSION])?;
    let mut hints = Vec::new();
    while let Some((&[k0, k1, k2, k3, present, age, observed_age], rest)) = bytes.split_first_chunk() {
        bytes = rest;
        let mut value = || {
            let (&[a, b], rest) = bytes.split_first_chunk()?;
            bytes = rest;
            valid(Some(f32::from_be_bytes([a, b, 0, 0]).into()))
        };
        let mut values = [None; 6];
        for (bit, slot) in values.iter_mut().enumerate() {
            if present >> bit & 1 == 1 {
                *slot = Some(value()?);
            }
        }
        let [reduction, wait_s, queue, rate, busy, carried_per_s] = values;
        let decoded_age = |age: u8| if age == NO_AGE { Micros::MAX } else { Micros::from(age) * AGE_UNIT };
        hints.push(LoadHint {
            server_key: u32::from_le_bytes([k0, k1, k2, k3]),
            report: Report { reduction, wait_s, queue, rate, busy, ..Report::default() },
            age: if present & 31 == 0 { Micros::MAX } else { decoded_age(age) },
            observed_age: decoded_age(observed_age),
            observed_wait_s: value()?,
            carried_per_s,
        });
    }
    bytes.is_empty().then_some(hints)
}
