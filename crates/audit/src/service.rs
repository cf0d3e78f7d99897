//! The service level: the value of calls that were established in time and not dropped, divided by the value
//! of all offered calls. A caller's redials count towards its first call.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::record::{RecordEntry, RecordEvent};

/// The value of a class's calls, and its target time.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassConfig {
    /// The class's name.
    pub name: String,
    /// Value of a call that is established within the target time.
    pub worth: f64,
    /// Fraction of that value for a call that is established later.
    pub late_worth: f64,
    /// Target time from the first offer to the answer, in microseconds.
    pub aim: u64,
    /// Factor on the value of a call to the hot number.
    pub hot_worth: f64,
}

/// Value earned and value offered.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Shares {
    /// Number of calls, without redials.
    pub calls: usize,
    /// Value of all offered calls.
    pub offered: f64,
    /// Value earned by established calls.
    pub earned: f64,
}

impl Shares {
    /// The service level; 1 if nothing was offered.
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

/// Percentiles of the time from offer to answer, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Latency {
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub max: u64,
}

/// Service level of a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// All calls.
    pub total: Shares,
    /// By class.
    pub classes: BTreeMap<String, Shares>,
    /// By publisher.
    pub publishers: BTreeMap<String, Shares>,
    /// By publisher and protocol, if the run has two protocols. The name of a text client begins with `<`.
    pub protocols: BTreeMap<String, Shares>,
    /// The lowest service level of all 10 s windows, by time of offer.
    pub worst_window: f64,
    /// Calls that were established and then dropped.
    pub dropped: usize,
    /// Answers with code 2001: established.
    pub established: usize,
    /// Answers with code 3004: refused.
    pub refused: usize,
    /// Answers with any other code: failed.
    pub failed: usize,
    /// Time from the offer to the answer of established calls.
    pub latency: Latency,
}

/// Length of a window, in microseconds.
const WINDOW_US: u64 = 10_000_000;
/// A window with fewer calls is not considered for the worst one.
const MIN_WINDOW_CALLS: usize = 20;

/// One offer of a call: the first one or a redial.
struct Offer {
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
    /// Time from the first offer to the answer, in microseconds.
    established: Option<u64>,
    dropped: bool,
}

/// Computes the service level of a whole record.
pub fn service(lines: &[RecordEntry], classes: &[ClassConfig], publishers: &[String]) -> Service {
    let mut offers: BTreeMap<&str, Offer> = BTreeMap::new();
    let mut calls: BTreeMap<String, Outcome> = BTreeMap::new();
    let mut service_level = Service::default();
    let mut latency = Histogram::<u64>::new(3).ok();
    for entry in lines {
        match &entry.event {
            RecordEvent::Offer { call, first, class, publisher, hot, .. } => {
                let first = first.clone().unwrap_or_else(|| call.clone());
                calls.entry(first.clone()).or_insert(Outcome {
                    class: *class,
                    publisher: *publisher,
                    hot: *hot,
                    at: entry.at,
                    ..Outcome::default()
                });
                offers.insert(call, Offer { first, at: entry.at, answered: false });
            }
            RecordEvent::Answer { call, code, .. } => {
                // The answer to a retransmitted request counts once.
                let offer = offers.get_mut(call.as_str()).filter(|offer| !offer.answered);
                let Some(offer) = offer else { continue };
                offer.answered = true;
                match code {
                    2001 => service_level.established += 1,
                    3004 => service_level.refused += 1,
                    _ => service_level.failed += 1,
                }
                if *code == 2001 {
                    if let Some(latency) = &mut latency {
                        let _ = latency.record(entry.at - offer.at);
                    }
                    if let Some(outcome) = calls.get_mut(&offer.first) {
                        outcome.established.get_or_insert(entry.at - outcome.at);
                    }
                }
            }
            RecordEvent::Dropped { call, .. } => {
                service_level.dropped += 1;
                let outcome = offers.get(call.as_str()).and_then(|offer| calls.get_mut(&offer.first));
                if let Some(outcome) = outcome {
                    outcome.dropped = true;
                }
            }
            _ => {}
        }
    }
    let mut windows: BTreeMap<u64, Shares> = BTreeMap::new();
    let two_protocols =
        calls.keys().any(|name| name.starts_with('<')) && calls.keys().any(|name| !name.starts_with('<'));
    for (name, outcome) in &calls {
        let Some(class) = classes.get(outcome.class) else { continue };
        let offered = class.worth * if outcome.hot { class.hot_worth } else { 1.0 };
        let earned = match outcome.established.filter(|_| !outcome.dropped) {
            Some(after) if after <= class.aim => offered,
            Some(_) => offered * class.late_worth,
            None => 0.0,
        };
        service_level.total.add(offered, earned);
        service_level.classes.entry(class.name.clone()).or_default().add(offered, earned);
        let publisher = publishers.get(outcome.publisher).map_or("other", String::as_str);
        service_level.publishers.entry(publisher.into()).or_default().add(offered, earned);
        if two_protocols {
            let protocol = if name.starts_with('<') { "text" } else { "diameter" };
            let key = format!("{publisher}, {protocol}");
            service_level.protocols.entry(key).or_default().add(offered, earned);
        }
        windows.entry(outcome.at / WINDOW_US).or_default().add(offered, earned);
    }
    let full = windows.values().filter(|shares| shares.calls >= MIN_WINDOW_CALLS);
    service_level.worst_window = full.map(Shares::service).fold(1.0, f64::min);
    if let Some(latency) = latency.filter(|latency| !latency.is_empty()) {
        let at = |q| latency.value_at_quantile(q);
        service_level.latency = Latency { p50: at(0.5), p90: at(0.9), p99: at(0.99), max: latency.max() };
    }
    service_level
}
