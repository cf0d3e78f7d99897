//! Mutated texts for a while: `cargo run --release -p baydrift-h248 --example fuzz -- SECONDS [SEED]`.
//!
//! Each text is read; what is read must write back the same in both styles. Ends with the count, and the longest
//! time that one text took with the text's length.

use std::time::{Duration, Instant};

use baydrift_h248::{parse, Style, TEXT_MAX};

const CORPUS: [&str; 6] = [
    "MEGACO/1 [127.0.0.1]:2944 Transaction = 9998 { Context = $ { Add = trunk/$ { Media { LocalControl { bdc/ctx = \
     \"grid@test\", bdc/num=5550100 } }, Events = 4 { bdc/cut } }, O-W-Subtract = trunk/* { Audit { Statistics } } } }",
    "!/1 <gw.test>:55 P=7{IA,C=12{A=trunk/1}} P=8{C=-{SC=ROOT{ER=510{\"full\"}}}} P=9{ER=403{\"x\"}} PN=10{} K{3,5-9}",
    "!/1 a T=1{C=1{MF=t{M{ST=1{L{v=0\r\nc=IN IP4 $ {x\\}\r\n}}}}}}",
    "!/1 a T=1{C=-{SC=ROOT{SV{MT=RS,RE=\"901 Cold Boot\",DL=5}}}}",
    "!/1 a T=1{C=1{A=t{x=[a,\"b\",[c,d]],y#3,z<4{w>5}}}} ; end",
    "MEGACO/1 [1.2.3.4] Error = 400 { \"no\" }",
];
const PIECES: [&str; 16] =
    ["{", "}", ",", "=", "\"", "[", "]", ";", "\n", "T=", "C=$", "A=t", "L{", "ER=4", "4294967295", "\u{e9}"];

/// xorshift: a run repeats from its seed.
struct Draw(u64);

impl Draw {
    fn below(&mut self, most: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % most.max(1) as u64) as usize
    }
}

fn mutated(draw: &mut Draw) -> String {
    let mut text: Vec<char> = CORPUS[draw.below(CORPUS.len())].chars().collect();
    for _ in 0..1 + draw.below(12) {
        let at = draw.below(text.len());
        match draw.below(6) {
            0 => drop(text.drain(at..(at + draw.below(20)).min(text.len()))),
            1 => drop(text.splice(at..at, PIECES[draw.below(PIECES.len())].chars())),
            2 => drop(text.splice(at..at, PIECES[draw.below(PIECES.len())].repeat(draw.below(40)).chars())),
            3 => {
                let copy: Vec<_> = text[at..(at + draw.below(60)).min(text.len())].to_vec();
                let to = draw.below(text.len());
                text.splice(to..to, copy);
            }
            4 if !text.is_empty() => text[at] = char::from(32 + draw.below(95) as u8),
            _ => {
                let other: Vec<_> = CORPUS[draw.below(CORPUS.len())].chars().collect();
                let from = draw.below(other.len());
                text.truncate(at);
                text.extend(&other[from..]);
            }
        }
    }
    let text: String = text.into_iter().collect();
    match draw.below(2_000) {
        // Now and then one as long as may be.
        0 => text.repeat(TEXT_MAX / text.len().max(1)),
        _ => text,
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let seconds: f64 = args.next().and_then(|a| a.parse().ok()).unwrap_or(10.0);
    let seed: u64 = args.next().and_then(|a| a.parse().ok()).unwrap_or(1);
    let (mut draw, begun) = (Draw(seed.max(1)), Instant::now());
    let (mut count, mut good, mut longest, mut length) = (0u64, 0u64, Duration::ZERO, 0);
    while begun.elapsed().as_secs_f64() < seconds {
        for _ in 0..1_000 {
            let text = mutated(&mut draw);
            let at = Instant::now();
            let read = parse(&text);
            let took = at.elapsed();
            if took > longest {
                (longest, length) = (took, text.len());
            }
            count += 1;
            if let Ok(message) = read {
                good += 1;
                for style in [Style::Compact, Style::Pretty] {
                    let written = message.write(style);
                    // Pretty text is longer: what is too long is refused by its length, and says nothing here.
                    if written.len() > TEXT_MAX {
                        continue;
                    }
                    assert_eq!(parse(&written).as_ref(), Ok(&message), "seed {seed}, text {count}: {text:?}");
                }
            }
        }
    }
    println!("{count} texts, {good} of them messages, longest {longest:?} for {length} bytes, seed {seed}");
}
