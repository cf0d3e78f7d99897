//! Fuzzer for the parser and the writer.
//!
//! Usage: `cargo run --release -p baydrift-h248 --example fuzz -- SECONDS [SEED]`.
//!
//! Parses mutated messages for the given time. Each message that parses has to survive a round trip in both
//! styles. Prints the number of texts and the longest parse time, with the length of that text.

use std::time::{Duration, Instant};

use baydrift_h248::{parse, Style, TEXT_MAX};

/// Valid messages that mutations start from.
const CORPUS: [&str; 6] = [
    "MEGACO/1 [127.0.0.1]:2944 Transaction = 9998 { Context = $ { Add = trunk/$ { Media { LocalControl { bdc/ctx = \
     \"grid@test\", bdc/num=5550100 } }, Events = 4 { bdc/cut } }, O-W-Subtract = trunk/* { Audit { Statistics } } } }",
    "!/1 <gw.test>:55 P=7{IA,C=12{A=trunk/1}} P=8{C=-{SC=ROOT{ER=510{\"full\"}}}} P=9{ER=403{\"x\"}} PN=10{} K{3,5-9}",
    "!/1 a T=1{C=1{MF=t{M{ST=1{L{v=0\r\nc=IN IP4 $ {x\\}\r\n}}}}}}",
    "!/1 a T=1{C=-{SC=ROOT{SV{MT=RS,RE=\"901 Cold Boot\",DL=5}}}}",
    "!/1 a T=1{C=1{A=t{x=[a,\"b\",[c,d]],y#3,z<4{w>5}}}} ; end",
    "MEGACO/1 [1.2.3.4] Error = 400 { \"no\" }",
];
/// Fragments that mutations insert.
const PIECES: [&str; 16] =
    ["{", "}", ",", "=", "\"", "[", "]", ";", "\n", "T=", "C=$", "A=t", "L{", "ER=4", "4294967295", "\u{e9}"];

/// Xorshift random number generator, so that a run can be repeated from its seed.
struct XorShift(u64);

impl XorShift {
    /// Random number from 0 to `limit`, exclusive.
    fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % limit.max(1) as u64) as usize
    }
}

fn mutated_text(rng: &mut XorShift) -> String {
    let mut text: Vec<char> = CORPUS[rng.below(CORPUS.len())].chars().collect();
    for _ in 0..1 + rng.below(12) {
        let at = rng.below(text.len());
        match rng.below(6) {
            0 => drop(text.drain(at..(at + rng.below(20)).min(text.len()))),
            1 => drop(text.splice(at..at, PIECES[rng.below(PIECES.len())].chars())),
            2 => drop(text.splice(at..at, PIECES[rng.below(PIECES.len())].repeat(rng.below(40)).chars())),
            3 => {
                let copy: Vec<_> = text[at..(at + rng.below(60)).min(text.len())].to_vec();
                let to = rng.below(text.len());
                text.splice(to..to, copy);
            }
            4 if !text.is_empty() => text[at] = char::from(32 + rng.below(95) as u8),
            _ => {
                let other: Vec<_> = CORPUS[rng.below(CORPUS.len())].chars().collect();
                let from = rng.below(other.len());
                text.truncate(at);
                text.extend(&other[from..]);
            }
        }
    }
    let text: String = text.into_iter().collect();
    match rng.below(2_000) {
        // Occasionally a text close to the maximum length.
        0 => text.repeat(TEXT_MAX / text.len().max(1)),
        _ => text,
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let seconds: f64 = args.next().and_then(|a| a.parse().ok()).unwrap_or(10.0);
    let seed: u64 = args.next().and_then(|a| a.parse().ok()).unwrap_or(1);
    let (mut rng, started) = (XorShift(seed.max(1)), Instant::now());
    let (mut count, mut valid, mut longest, mut length) = (0u64, 0u64, Duration::ZERO, 0);
    while started.elapsed().as_secs_f64() < seconds {
        for _ in 0..1_000 {
            let text = mutated_text(&mut rng);
            let parse_start = Instant::now();
            let parsed = parse(&text);
            let duration = parse_start.elapsed();
            if duration > longest {
                (longest, length) = (duration, text.len());
            }
            count += 1;
            if let Ok(message) = parsed {
                valid += 1;
                for style in [Style::Compact, Style::Pretty] {
                    let written = message.write(style);
                    // Pretty style may exceed the maximum length, which the parser rejects.
                    if written.len() > TEXT_MAX {
                        continue;
                    }
                    assert_eq!(parse(&written).as_ref(), Ok(&message), "seed {seed}, text {count}: {text:?}");
                }
            }
        }
    }
    println!("{count} texts, {valid} of them messages, longest {longest:?} for {length} bytes, seed {seed}");
}
