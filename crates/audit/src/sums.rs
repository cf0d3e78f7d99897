//! What no front may be judged by alone: sums over all fronts, from the record of what crossed the sockets.
//!
//! Each front may keep to every rule and the fleet still do harm: connections that fill a server, set-ups that push a
//! cold one, words that nobody needs. A sum without a bound is told and not judged.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::record::{RecordEntry, RecordEvent};

/// What is known of one server beforehand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerCapacity {
    /// Set-ups a second that it can do while warm.
    pub rate: f64,
    /// A cold one starts with this part of it ...
    pub cold_from: f64,
    /// ... and is warm after so long, microseconds.
    pub ramp: u64,
    /// A cold one falls over at so many times what it can do ...
    pub fall_multiple: f64,
    /// ... over so long, microseconds.
    pub fall_time: u64,
}

/// Bounds on the sums.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SumLimits {
    /// By number.
    pub servers: Vec<ServerCapacity>,
    /// Fronts of the fleet.
    pub fronts: u32,
    /// Connections that one server holds at once.
    pub open: Option<usize>,
    /// Connections opened to one server within any second.
    pub opened: Option<usize>,
    /// Set-ups for each first try, over the day.
    pub attempts: Option<f64>,
    /// Datagrams between fronts for each front within any second.
    pub gossip_rate: Option<f64>,
    /// Set-ups at one server within any second, over what it can do.
    pub overshoot: Option<f64>,
    /// Time after the end of a fault until service is back, microseconds.
    pub back_within: Option<u64>,
    /// Set-ups that all fronts together may send to a cold server within any second.
    pub cold_rate: Option<f64>,
}

/// A fault, and when service was back.
#[derive(Debug, Clone, PartialEq)]
pub struct Recovery {
    /// Which.
    pub what: String,
    /// When it was over, microseconds.
    pub over: u64,
    /// After so long the share of calls that stand was within [`NEAR`] of what it was before all faults; `None` where it
    /// was not while the record went on and no other fault began.
    pub back: Option<u64>,
}

/// What the sums came to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sums {
    /// The most connections that one server held at once.
    pub open: usize,
    /// The most that were opened to one within a second.
    pub opened: usize,
    /// Set-ups for each first try.
    pub attempts: f64,
    /// The most datagrams between fronts for each front within a second.
    pub gossip_rate: f64,
    /// The most set-ups at one server within a second, over what it can do.
    pub overshoot: f64,
    /// The most set-ups at a cold server within its fall time, as a part of what pushes it over.
    pub cold: f64,
    /// The most set-ups that went to one cold server within a second, as they entered the net where that is on record.
    pub cold_peak: usize,
    /// Set-ups a second at cold servers, on the mean over the time that they were cold.
    pub cold_mean: f64,
    /// Each fault.
    pub recoveries: Vec<Recovery>,
    /// Bounds that were passed, in words.
    pub exceeded: Vec<String>,
}

/// Service counts as back within this of what it was.
pub const NEAR: f64 = 0.02;
const SECOND: u64 = 1_000_000;
/// Windows of a second that have to be good one after another.
const GOOD: usize = 2;

/// What happened within a span before now.
#[derive(Default)]
struct Window {
    at: VecDeque<u64>,
}

impl Window {
    fn count(&mut self, now: u64, span: u64) -> usize {
        self.at.push_back(now);
        while self.at.front().is_some_and(|at| at + span <= now) {
            self.at.pop_front();
        }
        self.at.len()
    }
}

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
    /// Since when it is cold, if it is at this time.
    fn cold(&self, at: u64, ramp: u64) -> Option<u64> {
        self.cold_since.filter(|since| at < since + ramp)
    }
}

/// First tries of one second: offered, and stood for good.
#[derive(Debug, Clone, Copy, Default)]
struct Second {
    offered: usize,
    stood: usize,
}

/// Sums over a whole record.
pub fn sums(lines: &[RecordEntry], terms: &SumLimits) -> Sums {
    let mut seen = Sums::default();
    let mut servers: BTreeMap<u16, Server> = BTreeMap::new();
    let mut words = Window::default();
    let (mut firsts, mut set_ups) = (0_usize, 0_usize);
    let (mut sent, mut at_cold, mut cold_for) = (BTreeSet::new(), 0_usize, 0_u64);
    let last = lines.last().map_or(0, |line| line.at);
    let ramp = |number: u16| terms.servers.get(usize::from(number)).map_or(0, |can| can.ramp);
    for line in lines {
        let at = line.at;
        // What a way held is counted as it entered it: that was when it was decided.
        if let RecordEvent::Sent { server: number, call: Some(_), attempt, .. }
        | RecordEvent::Entered { server: number, attempt }
        | RecordEvent::SetUp { server: number, attempt, .. } = &line.event
        {
            let server = servers.entry(*number).or_default();
            if server.cold(at, ramp(*number)).is_some() && sent.insert(attempt.as_str()) {
                seen.cold_peak = seen.cold_peak.max(server.cold_second.count(at, SECOND));
            }
        }
        match &line.event {
            RecordEvent::Offer { first: None, .. } => firsts += 1,
            RecordEvent::LinkUp { server, .. } => {
                let server = servers.entry(*server).or_default();
                server.open += 1;
                seen.open = seen.open.max(server.open);
                seen.opened = seen.opened.max(server.opened.count(at, SECOND));
            }
            RecordEvent::LinkDown { server, .. } => {
                let server = servers.entry(*server).or_default();
                server.open = server.open.saturating_sub(1);
            }
            RecordEvent::GossipSent { .. } => {
                let each = words.count(at, SECOND) as f64 / f64::from(terms.fronts.max(1));
                seen.gossip_rate = seen.gossip_rate.max(each);
            }
            RecordEvent::ServerStarted { server: number, cold } => {
                let server = servers.entry(*number).or_default();
                (server.cold_since, server.in_fall_time) = (cold.then_some(at), Window::default());
                cold_for += if *cold { ramp(*number).min(last - at) } else { 0 };
            }
            RecordEvent::SetUp { server: number, .. } => {
                set_ups += 1;
                let Some(can) = terms.servers.get(usize::from(*number)) else { continue };
                let server = servers.entry(*number).or_default();
                let over = server.set_ups.count(at, SECOND) as f64 / can.rate.max(1e-9);
                seen.overshoot = seen.overshoot.max(over);
                let Some(since) = server.cold(at, can.ramp) else { continue };
                at_cold += 1;
                let count = server.in_fall_time.count(at, can.fall_time) as f64;
                let begin = server.in_fall_time.at.front().map_or(0, |first| first.saturating_sub(since));
                let warmth = can.cold_from + (1.0 - can.cold_from) * begin as f64 / can.ramp.max(1) as f64;
                let limit = can.rate * warmth * can.fall_multiple * can.fall_time as f64 / SECOND as f64;
                seen.cold = seen.cold.max(count / limit.max(1e-9));
            }
            _ => {}
        }
    }
    seen.cold_mean = at_cold as f64 * SECOND as f64 / cold_for.max(1) as f64;
    seen.attempts = set_ups as f64 / firsts.max(1) as f64;
    seen.recoveries = recoveries(lines);
    judge(&mut seen, terms);
    seen
}

fn judge(seen: &mut Sums, terms: &SumLimits) {
    let mut passed = Vec::new();
    let mut hold = |what: &str, was: f64, bound: Option<f64>| {
        if let Some(bound) = bound.filter(|bound| was > *bound) {
            passed.push(format!("{what}: {was:.2}, and at most {bound:.2}"));
        }
    };
    hold("connections open at one server", seen.open as f64, terms.open.map(|n| n as f64));
    hold("connections opened to one server in a second", seen.opened as f64, terms.opened.map(|n| n as f64));
    hold("set-ups for each first try", seen.attempts, terms.attempts);
    hold("datagrams a front in a second", seen.gossip_rate, terms.gossip_rate);
    hold("set-ups at one server in a second, over what it can do", seen.overshoot, terms.overshoot);
    hold("set-ups at a cold server in a second", seen.cold_peak as f64, terms.cold_rate);
    // Whether or not it fell: it may have been saved by work that came late.
    hold("set-ups at a cold server, of what pushes it over", seen.cold, Some(1.0));
    for Recovery { what, over, back } in &seen.recoveries {
        let Some(within) = terms.back_within else { break };
        if back.is_some_and(|back| back > within) {
            let took = back.unwrap_or_default() as f64 / 1e6;
            passed.push(format!(
                "service was back {took:.1} s after {what} was over at {:.1} s, and at most {:.1} s",
                *over as f64 / 1e6,
                within as f64 / 1e6
            ));
        }
    }
    seen.exceeded = passed;
}

/// By second: how many first tries stood and were not cut.
fn seconds(lines: &[RecordEntry]) -> BTreeMap<u64, Second> {
    let mut first_of: BTreeMap<&str, (&str, u64)> = BTreeMap::new();
    let (mut stood, mut cut) = (BTreeSet::new(), BTreeSet::new());
    for line in lines {
        match &line.event {
            RecordEvent::Offer { call, first, .. } => {
                let own = (call.as_str(), line.at);
                let first = first.as_deref().and_then(|first| first_of.get(first).copied()).unwrap_or(own);
                first_of.insert(call, first);
            }
            RecordEvent::Answer { call, code: 2001, .. } => {
                stood.extend(first_of.get(call.as_str()).map(|first| first.0));
            }
            RecordEvent::Dropped { call, .. } => cut.extend(first_of.get(call.as_str()).map(|first| first.0)),
            _ => {}
        }
    }
    let mut all: BTreeMap<u64, Second> = BTreeMap::new();
    for (call, (first, at)) in &first_of {
        if call == first {
            let second = all.entry(at / SECOND).or_default();
            second.offered += 1;
            second.stood += usize::from(stood.contains(first) && !cut.contains(first));
        }
    }
    all
}

/// When service was back after each fault. Whole seconds: what a second's calls came to is known by when they were
/// offered.
fn recoveries(lines: &[RecordEntry]) -> Vec<Recovery> {
    let seconds = seconds(lines);
    let faults = lines.iter().filter_map(|line| match &line.event {
        RecordEvent::Fault { what, over } => Some((line.at, what, *over)),
        _ => None,
    });
    let mut faults: Vec<_> = faults.collect();
    faults.sort_by_key(|fault| fault.2);
    let Some(first) = faults.iter().map(|fault| fault.0).min() else { return Vec::new() };
    let share = |all: &[Second]| {
        let offered: usize = all.iter().map(|s| s.offered).sum();
        (offered > 0).then(|| all.iter().map(|s| s.stood).sum::<usize>() as f64 / offered as f64)
    };
    let before: Vec<_> = seconds.range(..first / SECOND).map(|(_, second)| *second).collect();
    let Some(before) = share(&before) else { return Vec::new() };
    let last = seconds.keys().next_back().copied().unwrap_or(0);
    // Guards against a fault that is over as it begins and is on record a moment later: it is not the next one.
    let back = |began: u64, over: u64| {
        let next = faults.iter().map(|fault| fault.0).filter(|at| *at > over.max(began)).min();
        // The last second of a record is no whole one.
        let end = next.map_or(last, |at| at / SECOND);
        let from = over.div_ceil(SECOND);
        (from..end.saturating_sub(GOOD as u64 - 1)).find(|at| {
            let all: Vec<_> = seconds.range(*at..*at + GOOD as u64).map(|(_, s)| *s).collect();
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
