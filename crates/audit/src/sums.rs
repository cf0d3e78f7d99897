//! Fleet-wide totals, computed over all fronts from the record.
//!
//! The fleet can do harm although each front keeps every rule: too many connections at a server, too many
//! set-ups at a cold server, too much gossip. A total without a bound is reported and not checked.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::record::{RecordEntry, RecordEvent};

/// The configured capacity of one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerCapacity {
    /// Set-ups per second that it can process while warm.
    pub rate: f64,
    /// Fraction of `rate` that it can process when it starts cold.
    pub cold_from: f64,
    /// Time until a cold server is warm, in microseconds.
    pub ramp: u64,
    /// A cold server collapses when it receives this multiple of what it can process during `fall_time`.
    pub fall_multiple: f64,
    /// Length of the window for `fall_multiple`, in microseconds.
    pub fall_time: u64,
}

/// Bounds on the totals.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SumLimits {
    /// Capacity of each server, by its number.
    pub servers: Vec<ServerCapacity>,
    /// Number of fronts in the fleet.
    pub fronts: u32,
    /// Maximum number of connections open at one server.
    pub open: Option<usize>,
    /// Maximum number of connections opened to one server within any second.
    pub opened: Option<usize>,
    /// Maximum ratio of set-ups to first offers, over the whole record.
    pub attempts: Option<f64>,
    /// Maximum number of gossip datagrams within any second, divided by the number of fronts.
    pub gossip_rate: Option<f64>,
    /// Maximum ratio of set-ups at one server within any second to its rate.
    pub overshoot: Option<f64>,
    /// Maximum time from the end of a fault until service has recovered, in microseconds.
    pub back_within: Option<u64>,
    /// Maximum number of set-ups that all fronts together send to a cold server within any second.
    pub cold_rate: Option<f64>,
}

/// A fault, and when service recovered from it.
#[derive(Debug, Clone, PartialEq)]
pub struct Recovery {
    /// The fault.
    pub what: String,
    /// End of the fault, in microseconds since the record began.
    pub over: u64,
    /// Time from the end of the fault until the share of established calls was within [`NEAR`] of its value
    /// before all faults, in microseconds; `None` if that did not happen before the next fault or the end of
    /// the record.
    pub back: Option<u64>,
}

/// The totals of a record.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sums {
    /// Highest number of connections open at one server.
    pub open: usize,
    /// Highest number of connections opened to one server within a second.
    pub opened: usize,
    /// Ratio of set-ups to first offers.
    pub attempts: f64,
    /// Highest number of gossip datagrams within a second, divided by the number of fronts.
    pub gossip_rate: f64,
    /// Highest ratio of set-ups at one server within a second to its rate.
    pub overshoot: f64,
    /// Highest number of set-ups at a cold server within its `fall_time`, as a fraction of what makes it
    /// collapse.
    pub cold: f64,
    /// Highest number of set-ups to one cold server within a second, by the time at which they entered the
    /// network where that is on record.
    pub cold_peak: usize,
    /// Mean number of set-ups per second at cold servers, over the time that they were cold.
    pub cold_mean: f64,
    /// The recovery from each fault.
    pub recoveries: Vec<Recovery>,
    /// Descriptions of the bounds that were exceeded.
    pub exceeded: Vec<String>,
}

/// Service has recovered when its share is at most this much below the one before all faults.
pub const NEAR: f64 = 0.02;
const SECOND: u64 = 1_000_000;
/// Number of consecutive seconds over which the recovered share is computed.
const RECOVERY_SECONDS: usize = 2;

/// Times of the events within a sliding window.
#[derive(Default)]
struct Window {
    at: VecDeque<u64>,
}

impl Window {
    /// Adds an event, and counts those within `span` before it.
    fn count(&mut self, now: u64, span: u64) -> usize {
        self.at.push_back(now);
        while self.at.front().is_some_and(|at| at + span <= now) {
            self.at.pop_front();
        }
        self.at.len()
    }
}

/// Running totals of one server.
#[derive(Default)]
struct Server {
    open: usize,
    opened: Window,
    set_ups: Window,
    in_fall_time: Window,
    cold_since: Option<u64>,
    cold_second: Window,
}

impl Server {
    /// The start of its warm-up, if it is still cold at this time.
    fn cold(&self, at: u64, ramp: u64) -> Option<u64> {
        self.cold_since.filter(|since| at < since + ramp)
    }
}

/// First offers of one second, and how many of them were established and not dropped.
#[derive(Debug, Clone, Copy, Default)]
struct Second {
    offered: usize,
    established: usize,
}

/// Computes the totals of a whole record.
pub fn sums(lines: &[RecordEntry], limits: &SumLimits) -> Sums {
    let mut sums = Sums::default();
    let mut servers: BTreeMap<u16, Server> = BTreeMap::new();
    let mut gossip = Window::default();
    let (mut firsts, mut set_ups) = (0_usize, 0_usize);
    let (mut sent, mut at_cold, mut cold_for) = (BTreeSet::new(), 0_usize, 0_u64);
    let last = lines.last().map_or(0, |entry| entry.at);
    let ramp = |number: u16| limits.servers.get(usize::from(number)).map_or(0, |can| can.ramp);
    for entry in lines {
        let at = entry.at;
        // A set-up that was held back in transit counts at the time when it was sent, since the front decided
        // then.
        if let RecordEvent::Sent { server: number, call: Some(_), attempt, .. }
        | RecordEvent::Entered { server: number, attempt }
        | RecordEvent::SetUp { server: number, attempt, .. } = &entry.event
        {
            let server = servers.entry(*number).or_default();
            if server.cold(at, ramp(*number)).is_some() && sent.insert(attempt.as_str()) {
                sums.cold_peak = sums.cold_peak.max(server.cold_second.count(at, SECOND));
            }
        }
        match &entry.event {
            RecordEvent::Offer { first: None, .. } => firsts += 1,
            RecordEvent::LinkUp { server, .. } => {
                let server = servers.entry(*server).or_default();
                server.open += 1;
                sums.open = sums.open.max(server.open);
                sums.opened = sums.opened.max(server.opened.count(at, SECOND));
            }
            RecordEvent::LinkDown { server, .. } => {
                let server = servers.entry(*server).or_default();
                server.open = server.open.saturating_sub(1);
            }
            RecordEvent::GossipSent { .. } => {
                let each = gossip.count(at, SECOND) as f64 / f64::from(limits.fronts.max(1));
                sums.gossip_rate = sums.gossip_rate.max(each);
            }
            RecordEvent::ServerStarted { server: number, cold } => {
                let server = servers.entry(*number).or_default();
                (server.cold_since, server.in_fall_time) = (cold.then_some(at), Window::default());
                cold_for += if *cold { ramp(*number).min(last - at) } else { 0 };
            }
            RecordEvent::SetUp { server: number, .. } => {
                set_ups += 1;
                let Some(can) = limits.servers.get(usize::from(*number)) else { continue };
                let server = servers.entry(*number).or_default();
                let over = server.set_ups.count(at, SECOND) as f64 / can.rate.max(1e-9);
                sums.overshoot = sums.overshoot.max(over);
                let Some(since) = server.cold(at, can.ramp) else { continue };
                at_cold += 1;
                let count = server.in_fall_time.count(at, can.fall_time) as f64;
                let elapsed = server.in_fall_time.at.front().map_or(0, |first| first.saturating_sub(since));
                let warmth = can.cold_from + (1.0 - can.cold_from) * elapsed as f64 / can.ramp.max(1) as f64;
                let limit = can.rate * warmth * can.fall_multiple * can.fall_time as f64 / SECOND as f64;
                sums.cold = sums.cold.max(count / limit.max(1e-9));
            }
            _ => {}
        }
    }
    sums.cold_mean = at_cold as f64 * SECOND as f64 / cold_for.max(1) as f64;
    sums.attempts = set_ups as f64 / firsts.max(1) as f64;
    sums.recoveries = recoveries(lines);
    check_bounds(&mut sums, limits);
    sums
}

/// Lists the bounds that are exceeded.
fn check_bounds(sums: &mut Sums, limits: &SumLimits) {
    let mut exceeded = Vec::new();
    let mut check = |what: &str, value: f64, bound: Option<f64>| {
        if let Some(bound) = bound.filter(|bound| value > *bound) {
            exceeded.push(format!("{what}: {value:.2}, and at most {bound:.2}"));
        }
    };
    check("connections open at one server", sums.open as f64, limits.open.map(|n| n as f64));
    check(
        "connections opened to one server in a second",
        sums.opened as f64,
        limits.opened.map(|n| n as f64),
    );
    check("set-ups for each first try", sums.attempts, limits.attempts);
    check("datagrams a front in a second", sums.gossip_rate, limits.gossip_rate);
    check("set-ups at one server in a second, over what it can do", sums.overshoot, limits.overshoot);
    check("set-ups at a cold server in a second", sums.cold_peak as f64, limits.cold_rate);
    // Checked even if the server did not collapse: set-ups that arrived late may have prevented it.
    check("set-ups at a cold server, of what pushes it over", sums.cold, Some(1.0));
    for Recovery { what, over, back } in &sums.recoveries {
        let Some(within) = limits.back_within else { break };
        if back.is_some_and(|back| back > within) {
            let took = back.unwrap_or_default() as f64 / 1e6;
            exceeded.push(format!(
                "service was back {took:.1} s after {what} was over at {:.1} s, and at most {:.1} s",
                *over as f64 / 1e6,
                within as f64 / 1e6
            ));
        }
    }
    sums.exceeded = exceeded;
}

/// Counts, for each second, the first offers and those that were established and not dropped.
fn seconds(lines: &[RecordEntry]) -> BTreeMap<u64, Second> {
    let mut first_of: BTreeMap<&str, (&str, u64)> = BTreeMap::new();
    let (mut established, mut dropped) = (BTreeSet::new(), BTreeSet::new());
    for entry in lines {
        match &entry.event {
            RecordEvent::Offer { call, first, .. } => {
                let own = (call.as_str(), entry.at);
                let first = first.as_deref().and_then(|first| first_of.get(first).copied()).unwrap_or(own);
                first_of.insert(call, first);
            }
            RecordEvent::Answer { call, code: 2001, .. } => {
                established.extend(first_of.get(call.as_str()).map(|first| first.0));
            }
            RecordEvent::Dropped { call, .. } => {
                dropped.extend(first_of.get(call.as_str()).map(|first| first.0))
            }
            _ => {}
        }
    }
    let mut all: BTreeMap<u64, Second> = BTreeMap::new();
    for (call, (first, at)) in &first_of {
        if call == first {
            let second = all.entry(at / SECOND).or_default();
            second.offered += 1;
            second.established += usize::from(established.contains(first) && !dropped.contains(first));
        }
    }
    all
}

/// Computes when service recovered from each fault, in whole seconds: the outcome of a call counts for the
/// second in which it was offered.
fn recoveries(lines: &[RecordEntry]) -> Vec<Recovery> {
    let seconds = seconds(lines);
    let faults = lines.iter().filter_map(|entry| match &entry.event {
        RecordEvent::Fault { what, over } => Some((entry.at, what, *over)),
        _ => None,
    });
    let mut faults: Vec<_> = faults.collect();
    faults.sort_by_key(|fault| fault.2);
    let Some(first) = faults.iter().map(|fault| fault.0).min() else { return Vec::new() };
    let share = |all: &[Second]| {
        let offered: usize = all.iter().map(|s| s.offered).sum();
        (offered > 0).then(|| all.iter().map(|s| s.established).sum::<usize>() as f64 / offered as f64)
    };
    let before: Vec<_> = seconds.range(..first / SECOND).map(|(_, second)| *second).collect();
    let Some(before) = share(&before) else { return Vec::new() };
    let last = seconds.keys().next_back().copied().unwrap_or(0);
    // A fault that ends as it begins can be recorded slightly after its end; it must not count as the next
    // fault.
    let back = |began: u64, over: u64| {
        let next = faults.iter().map(|fault| fault.0).filter(|at| *at > over.max(began)).min();
        // The last second of a record is incomplete.
        let end = next.map_or(last, |at| at / SECOND);
        let from = over.div_ceil(SECOND);
        (from..end.saturating_sub(RECOVERY_SECONDS as u64 - 1)).find(|at| {
            let all: Vec<_> = seconds.range(*at..*at + RECOVERY_SECONDS as u64).map(|(_, s)| *s).collect();
            share(&all).is_some_and(|share| share >= before - NEAR)
        })
    };
    let recovery = |(began, what, over): &(u64, &String, u64)| Recovery {
        what: (*what).clone(),
        over: *over,
        back: back(*began, *over).map(|second| (second * SECOND).saturating_sub(*over)),
    };
    faults.iter().map(recovery).collect()
}
