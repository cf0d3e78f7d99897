//! Service as the users count it: the worth of calls that stood in time and were not cut, over the worth
//! offered; a caller's further tries belong to its first.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::record::{RecordEntry, RecordEvent};

/// What a class is worth, and when.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassConfig {
    /// Its name.
    pub name: String,
    /// Worth of a call that stands within the aim.
    pub worth: f64,
    /// Fraction of it for one that stands later.
    pub late_worth: f64,
    /// Microseconds, from the first try.
    pub aim: u64,
    /// Fraction of the worth of a call to the hot number.
    pub hot_worth: f64,
}

/// Worth earned over worth offered.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Shares {
    /// Calls, first tries only.
    pub calls: usize,
    /// Worth offered.
    pub offered: f64,
    /// Worth earned.
    pub earned: f64,
}

impl Shares {
    /// Service; 1 where nothing was offered.
    pub fn service(&self) -> f64 {
        if self.offered > 0.0 {
            self.earned / self.offered
        } else {
            1.0
        }
    }

    fn add(&mut self, offered: f64, earned: f64) {
        self.calls += 1;
        self.offered += offered;
        self.earned += earned;
    }
}

/// Percentiles of the time from offer to answer, microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Latency {
    /// Median.
    pub p50: u64,
    /// 90%.
    pub p90: u64,
    /// 99%.
    pub p99: u64,
    /// The longest.
    pub max: u64,
}

/// Service of a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// All calls.
    pub total: Shares,
    /// By class.
    pub classes: BTreeMap<String, Shares>,
    /// By publisher.
    pub publishers: BTreeMap<String, Shares>,
    /// By publisher and protocol, where there are two: a text client's name begins with `<`.
    pub protocols: BTreeMap<String, Shares>,
    /// The worst 10 s, by when calls were offered.
    pub worst_window: f64,
    /// Calls that stood and were cut.
    pub dropped: usize,
    /// Answers: stands.
    pub established: usize,
    /// Answers: refused.
    pub refused: usize,
    /// Answers: failed.
    pub failed: usize,
    /// From offer to "it stands".
    pub latency: Latency,
}

/// s of a window; a window needs so many calls to count.
const WINDOW: (u64, usize) = (10_000_000, 20);

struct Try {
    first: String,
    at: u64,
    answered: bool,
}

#[derive(Default)]
struct Outcome {
    class: usize,
    publisher: usize,
    hot: bool,
    at: u64,
    /// Microseconds after the first offer.
    stood: Option<u64>,
    cut: bool,
}

/// Counts a whole record.
pub fn service(lines: &[RecordEntry], classes: &[ClassConfig], publishers: &[String]) -> Service {
    let mut tries: BTreeMap<&str, Try> = BTreeMap::new();
    let mut calls: BTreeMap<String, Outcome> = BTreeMap::new();
    let mut seen = Service::default();
    let mut latency = Histogram::<u64>::new(3).ok();
    for line in lines {
        match &line.event {
            RecordEvent::Offer { call, first, class, publisher, hot, .. } => {
                let first = first.clone().unwrap_or_else(|| call.clone());
                calls.entry(first.clone()).or_insert(Outcome {
                    class: *class,
                    publisher: *publisher,
                    hot: *hot,
                    at: line.at,
                    ..Outcome::default()
                });
                tries.insert(call, Try { first, at: line.at, answered: false });
            }
            RecordEvent::Answer { call, code, .. } => {
                // The same answer again, to a repeat, counts once.
                let tried = tries.get_mut(call.as_str()).filter(|tried| !tried.answered);
                let Some(tried) = tried else { continue };
                tried.answered = true;
                match code {
                    2001 => seen.established += 1,
                    3004 => seen.refused += 1,
                    _ => seen.failed += 1,
                }
                if *code == 2001 {
                    if let Some(latency) = &mut latency {
                        let _ = latency.record(line.at - tried.at);
                    }
                    if let Some(outcome) = calls.get_mut(&tried.first) {
                        outcome.stood.get_or_insert(line.at - outcome.at);
                    }
                }
            }
            RecordEvent::Dropped { call, .. } => {
                seen.dropped += 1;
                let outcome = tries.get(call.as_str()).and_then(|tried| calls.get_mut(&tried.first));
                if let Some(outcome) = outcome {
                    outcome.cut = true;
                }
            }
            _ => {}
        }
    }
    let mut windows: BTreeMap<u64, Shares> = BTreeMap::new();
    let both =
        calls.keys().any(|name| name.starts_with('<')) && calls.keys().any(|name| !name.starts_with('<'));
    for (name, outcome) in &calls {
        let Some(class) = classes.get(outcome.class) else { continue };
        let offered = class.worth * if outcome.hot { class.hot_worth } else { 1.0 };
        let earned = match outcome.stood.filter(|_| !outcome.cut) {
            Some(after) if after <= class.aim => offered,
            Some(_) => offered * class.late_worth,
            None => 0.0,
        };
        seen.total.add(offered, earned);
        seen.classes.entry(class.name.clone()).or_default().add(offered, earned);
        let publisher = publishers.get(outcome.publisher).map_or("other", String::as_str);
        seen.publishers.entry(publisher.into()).or_default().add(offered, earned);
        if both {
            let protocol = if name.starts_with('<') { "text" } else { "diameter" };
            let key = format!("{publisher}, {protocol}");
            seen.protocols.entry(key).or_default().add(offered, earned);
        }
        windows.entry(outcome.at / WINDOW.0).or_default().add(offered, earned);
    }
    let full = windows.values().filter(|shares| shares.calls >= WINDOW.1);
    seen.worst_window = full.map(Shares::service).fold(1.0, f64::min);
    if let Some(latency) = latency.filter(|latency| !latency.is_empty()) {
        let at = |q| latency.value_at_quantile(q);
        seen.latency = Latency { p50: at(0.5), p90: at(0.9), p99: at(0.99), max: latency.max() };
    }
    seen
}
