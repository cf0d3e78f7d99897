//! How a message between fronts is written in bytes. What is told, to whom and what it counts for is
//! decided in `src/policy.rs`.

use crate::interface::{Micros, Report, ServerId};
use crate::measure::sane;

/// First byte of a message: how the rest is written.
const VERSION: u8 = 1;
/// Unit of ages.
const AGE: Micros = 10_000;
/// An age that is not told, or too old to tell.
const NO_AGE: u8 = 255;
/// Most bytes that a word on one server takes: name, kinds, two ages and seven values.
const WORD_MAX: usize = 21;

/// What one front tells another of one server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Word {
    /// The server, as [`key`] names it.
    pub key: u32,
    /// A load report, without lines.
    pub report: Report,
    /// Its age; `Micros::MAX` where there is none.
    pub age: Micros,
    /// Wait seen by set-up times, in seconds.
    pub seen_wait_s: f64,
    /// Its age; `Micros::MAX` where there is none.
    pub seen_age: Micros,
    /// Set-ups a second that its number took from the teller while warm, where that is known.
    pub took: Option<f64>,
}

/// Names a server in four bytes by a fold of its id; two of one list differ in it but for great bad luck.
pub fn key(id: ServerId) -> u32 {
    (id ^ (id >> 32)) as u32
}

/// A message of these words; those past its size are left out. Nothing where there are none.
pub fn write(words: impl Iterator<Item = Word>, most: usize) -> Option<Vec<u8>> {
    let mut out = vec![VERSION];
    for word in words {
        if out.len() + WORD_MAX > most {
            break;
        }
        let age = |age: Micros| (age / AGE).min(NO_AGE.into()) as u8;
        let r = &word.report;
        let told = [r.hold_back, r.wait_s, r.queue, r.rate, r.busy, word.took].map(sane);
        let kinds = told.iter().enumerate().map(|(i, v)| u8::from(v.is_some()) << i).sum();
        out.extend(word.key.to_le_bytes());
        out.extend([kinds, age(word.age), age(word.seen_age)]);
        for value in told.into_iter().flatten().chain([word.seen_wait_s]) {
            // The upper half of a 32-bit float: its range, two to three digits.
            out.extend_from_slice(&(value as f32).to_be_bytes()[..2]);
        }
    }
    (out.len() > 1).then_some(out)
}

/// All words of a message, or nothing where any of it is wrong.
pub fn read(payload: &[u8]) -> Option<Vec<Word>> {
    let mut bytes = payload.strip_prefix(&[VERSION])?;
    let mut words = Vec::new();
    while let Some((&[k0, k1, k2, k3, kinds, age, seen_age], rest)) = bytes.split_first_chunk() {
        bytes = rest;
        let mut value = || {
            let (&[a, b], rest) = bytes.split_first_chunk()?;
            bytes = rest;
            sane(Some(f32::from_be_bytes([a, b, 0, 0]).into()))
        };
        let mut told = [None; 6];
        for (kind, place) in told.iter_mut().enumerate() {
            if kinds >> kind & 1 == 1 {
                *place = Some(value()?);
            }
        }
        let [hold_back, wait_s, queue, rate, busy, took] = told;
        let at = |age: u8| if age == NO_AGE { Micros::MAX } else { Micros::from(age) * AGE };
        words.push(Word {
            key: u32::from_le_bytes([k0, k1, k2, k3]),
            report: Report { hold_back, wait_s, queue, rate, busy, ..Report::default() },
            age: if kinds & 31 == 0 { Micros::MAX } else { at(age) },
            seen_age: at(seen_age),
            seen_wait_s: value()?,
            took,
        });
    }
    bytes.is_empty().then_some(words)
}
