//! Timers, call arrivals and random choices shared by the callers of either protocol.

use std::collections::BTreeMap;

use baydrift::interface::Micros;
use rand::Rng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

/// Timers in order of due time, those at equal times in order of insertion, and the next arrival of each
/// flow.
#[derive(Debug)]
pub struct CallSchedule<D> {
    timers: BTreeMap<(Micros, u64), D>,
    inserted: u64,
    /// When the next call of each flow arrives; 0 before the first is drawn.
    pub next_arrivals: Vec<Micros>,
}

impl<D> CallSchedule<D> {
    pub fn new(flows: usize) -> Self {
        Self { timers: BTreeMap::new(), inserted: 0, next_arrivals: vec![0; flows] }
    }

    pub fn add(&mut self, at: Micros, due: D) {
        self.inserted += 1;
        self.timers.insert((at, self.inserted), due);
    }

    /// Due time of the next timer or arrival.
    pub fn next_due(&self) -> Micros {
        let due = self.timers.keys().next().map_or(Micros::MAX, |key| key.0);
        self.next_arrivals.iter().copied().min().unwrap_or(Micros::MAX).min(due)
    }

    /// Takes the first timer that is due by now.
    pub fn pop_due(&mut self, now: Micros) -> Option<D> {
        let first = self.timers.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }

    /// Number of calls of a flow that have arrived by now, at `rate` calls per second. Draws the following
    /// arrival.
    pub fn arrivals(&mut self, now: Micros, flow: usize, rate: f64, rng: &mut Pcg64Mcg) -> usize {
        let Some(next) = self.next_arrivals.get_mut(flow) else { return 0 };
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

/// Draws a time from an exponential distribution with the given mean, microseconds.
pub fn sample_exponential(rng: &mut Pcg64Mcg, mean: f64) -> Micros {
    let mean = mean.max(1.0);
    Exp::new(1.0 / mean).map_or(mean as Micros, |exp| exp.sample(rng) as Micros)
}

/// Draws the index of a server, with probability proportional to its weight.
pub fn choose_weighted(rng: &mut Pcg64Mcg, servers: &[(String, f64)]) -> usize {
    let total: f64 = servers.iter().map(|(_, weight)| weight).sum();
    let mut remaining = rng.random::<f64>() * total;
    let is_chosen = |(_, weight): &(String, f64)| {
        remaining -= weight;
        remaining < 0.0
    };
    servers.iter().position(is_chosen).unwrap_or(0)
}
