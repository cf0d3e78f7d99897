//! What callers of either protocol share: when calls are due, and what is drawn.

use std::collections::BTreeMap;

use baydrift::interface::Micros;
use rand::Rng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

/// Times by when they are due, equal ones in the order of setting; and each flow's next call.
#[derive(Debug)]
pub struct CallSchedule<D> {
    due: BTreeMap<(Micros, u64), D>,
    set: u64,
    /// When each flow's next call is due; 0 before the first.
    pub next: Vec<Micros>,
}

impl<D> CallSchedule<D> {
    pub fn new(flows: usize) -> Self {
        Self { due: BTreeMap::new(), set: 0, next: vec![0; flows] }
    }

    pub fn add(&mut self, at: Micros, due: D) {
        self.set += 1;
        self.due.insert((at, self.set), due);
    }

    pub fn next_due(&self) -> Micros {
        let due = self.due.keys().next().map_or(Micros::MAX, |key| key.0);
        self.next.iter().copied().min().unwrap_or(Micros::MAX).min(due)
    }

    pub fn pop_due(&mut self, now: Micros) -> Option<D> {
        let first = self.due.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }

    /// How many calls of a flow fall due by now, at so many a second; the next one's time is drawn.
    pub fn arrivals(&mut self, now: Micros, flow: usize, rate: f64, rng: &mut Pcg64Mcg) -> usize {
        let Some(next) = self.next.get_mut(flow) else { return 0 };
        if rate <= 0.0 {
            *next = now + 100_000;
            return 0;
        }
        if *next == 0 {
            *next = now + sample_exponential(rng, 1e6 / rate);
        }
        let mut calls = 0;
        while *next <= now {
            calls += 1;
            *next += sample_exponential(rng, 1e6 / rate).max(1);
        }
        calls
    }
}

/// A time of an exponential distribution.
pub fn sample_exponential(rng: &mut Pcg64Mcg, mean: f64) -> Micros {
    let mean = mean.max(1.0);
    Exp::new(1.0 / mean).map_or(mean as Micros, |exp| exp.sample(rng) as Micros)
}

/// A server by weight.
pub fn choose_weighted(rng: &mut Pcg64Mcg, servers: &[(String, f64)]) -> usize {
    let total: f64 = servers.iter().map(|(_, weight)| weight).sum();
    let mut left = rng.random::<f64>() * total;
    let over = |(_, weight): &(String, f64)| {
        left -= weight;
        left < 0.0
    };
    servers.iter().position(over).unwrap_or(0)
}
