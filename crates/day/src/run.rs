//! Runs a scenario on loopback sockets, and the outcome of a run, which all drivers share.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use baydrift::interface::Micros;
use baydrift_audit::{
    rules, service, sums, RecordEntry, RecordEvent, Recorder, RuleLimits, Service, Sums, Verdict,
};
use baydrift_config::Config;
use baydrift_emulator::{Command, LinkFault, OfferedLoad};
use baydrift_front::{Addrs, Bound, Snapshot};
use baydrift_standin::{push, Caller, DatagramRelay, FarEnd, Link, RecordedClient, Server, TextCaller};
use tokio::sync::{mpsc, oneshot, watch};

use crate::baseline::RoundRobin;
use crate::error::ScenarioError;
use crate::scenario::{Policy, Scenario};
use crate::timeline::{FaultInjector, ListedState, Pool, Timeline};
use crate::topology::{
    class_configs, diameter_callers, diameter_server_count, front_config, linked_servers, normal_load,
    server_host, server_spec, sum_limits, text_caller_specs, LIST_SERVICE_TOKEN,
};

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// The entries of the record.
    pub lines: Vec<RecordEntry>,
    /// The verdict of the audit rules on the record.
    pub verdict: Verdict,
    /// Service levels, in total, by class and by publisher.
    pub service: Service,
    /// Sums over all fronts, and the bounds that they exceeded.
    pub sums: Sums,
    /// Each front's own counters, for comparison only; no verdict depends on them.
    pub fronts: Vec<Snapshot>,
    /// Processes that exited by themselves, or did not exit when asked to. Empty if there were none.
    pub process_faults: Vec<String>,
    /// Notes of the process driver: traffic, resource usage and its own faults, which are not faults of the
    /// program.
    pub driver_notes: Vec<String>,
}

impl Outcome {
    /// The kinds of failure, for comparing the failures of two runs: broken rules, an exceeded bound, a
    /// faulty process.
    pub fn failures(&self) -> BTreeSet<String> {
        let rules = self.verdict.breaches.iter().map(|breach| format!("{:?}", breach.rule));
        let bound = (!self.sums.exceeded.is_empty()).then(|| "a bound".to_owned());
        let process_faults = (!self.process_faults.is_empty()).then(|| "a process".to_owned());
        rules.chain(bound).chain(process_faults).collect()
    }

    /// Whether no rule broke, no bound was exceeded and no process was faulty.
    pub fn passed(&self) -> bool {
        self.verdict.passed() && self.sums.exceeded.is_empty() && self.process_faults.is_empty()
    }
}

const SECOND: Micros = 1_000_000;
/// Wait before the first call, in which the links to servers come up.
const LINK_SETUP_TIME: Duration = Duration::from_millis(200);

/// A front on its own thread and runtime, so that it can be stalled alone.
struct FrontThread {
    addrs: Addrs,
    runtime: tokio::runtime::Handle,
    stop: Option<oneshot::Sender<()>>,
    ended: oneshot::Receiver<Option<Snapshot>>,
}

/// Addresses of the other fronts by ordinal, and the policy that replaces the router, if any.
type StartOptions = (Vec<(u32, SocketAddr)>, Option<Box<dyn baydrift_call::Policy>>);

/// Starts a front's thread and binds its listeners; the returned sender starts the front itself.
fn front_thread(config: Config) -> Result<(FrontThread, oneshot::Sender<StartOptions>), ScenarioError> {
    let (bound_tx, bound_rx) = std::sync::mpsc::channel();
    let (start, started) = oneshot::channel::<StartOptions>();
    let (stop, stopped) = oneshot::channel::<()>();
    let (end, ended) = oneshot::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = match runtime {
            Ok(runtime) => runtime,
            Err(error) => return drop(bound_tx.send(Err(ScenarioError::Io(error)))),
        };
        runtime.block_on(async move {
            let mut bound = match Bound::bind(config).await {
                Ok(bound) => bound,
                Err(error) => return drop(bound_tx.send(Err(error.into()))),
            };
            let _ = bound_tx.send(Ok((bound.addrs(), tokio::runtime::Handle::current())));
            let Ok((peer_addrs, policy)) = started.await else { return };
            bound.set_fleet_addrs(peer_addrs);
            let Ok(front) = bound.start_with_policy(policy) else { return };
            let _ = stopped.await;
            let snapshot = front.snapshot().await;
            front.stop().await;
            let _ = end.send(snapshot);
        });
    });
    let (addrs, runtime) = bound_rx.recv().map_err(|_| ScenarioError::Ended)??;
    Ok((FrontThread { addrs, runtime, stop: Some(stop), ended }, start))
}

/// The participants of a run on sockets.
struct SocketRun {
    recorder: Arc<Recorder>,
    servers: Vec<Server>,
    /// Far ends of trunk groups and their names; their numbers follow those of `servers`.
    far_ends: Vec<(FarEnd, String)>,
    /// Links with faults, by server number; to a far end there is one for each front.
    links: BTreeMap<usize, Vec<Link>>,
    fronts: Vec<FrontThread>,
    offers: Vec<watch::Sender<OfferedLoad>>,
    relays: Vec<DatagramRelay>,
    lists: mpsc::UnboundedSender<(Micros, Pool)>,
}

impl FaultInjector for SocketRun {
    fn command(&mut self, server: usize, command: Command) {
        match server.checked_sub(self.servers.len()) {
            Some(far) => self.far_ends[far].0.command(command),
            None => self.servers[server].command(command),
        }
    }

    fn set_link_fault(&mut self, server: usize, fault: LinkFault) {
        let far = server.checked_sub(self.servers.len()).and_then(|far| self.far_ends.get(far));
        let held = |held| far.map(|(_, client)| RecordEvent::Held { client: client.clone(), held });
        if fault.stalled_back {
            held(true).into_iter().for_each(|event| self.recorder.put(event));
        }
        self.links.get(&server).into_iter().flatten().for_each(|link| link.set(fault));
        if !fault.stalled_back {
            held(false).into_iter().for_each(|event| self.recorder.put(event));
        }
    }

    fn set_offered_load(&mut self, front: usize, offers: &OfferedLoad) {
        if front == 0 {
            self.far_ends.iter().for_each(|(far, _)| far.offer(offers.factor));
        }
        self.offers[front].send_replace(offers.clone());
    }

    fn stall(&mut self, front: usize, span: Micros) {
        let (recorder, ordinal) = (self.recorder.clone(), front as u32);
        self.fronts[front].runtime.spawn(async move {
            recorder.put(RecordEvent::Stall { front: ordinal, us: span });
            // Blocks the whole thread of this front, like a stopped process.
            std::thread::sleep(Duration::from_micros(span));
        });
    }

    fn lose_messages(&mut self, share: f64) {
        self.relays.iter().for_each(|relay| relay.lose(share));
    }

    fn publish_list(&mut self, due: Micros, pool: &Pool) {
        let _ = self.lists.send((due, pool.clone()));
    }

    fn record(&mut self, event: RecordEvent) {
        self.recorder.put(event);
    }
}

/// The policy of a front, if it is not the router under test.
pub(crate) fn policy_of(day: &Scenario, config: &Config) -> Option<Box<dyn baydrift_call::Policy>> {
    match day.policy {
        Policy::Baydrift => None,
        Policy::RoundRobin => Some(Box::new(RoundRobin::new(config.settings.clone()))),
    }
}

/// Evaluates a record.
pub(crate) fn outcome(day: &Scenario, lines: Vec<RecordEntry>, fronts: Vec<Snapshot>) -> Outcome {
    let names: Vec<_> = day.publishers.iter().map(|p| p.name.clone()).collect();
    Outcome {
        verdict: rules(&lines, RuleLimits::default()),
        service: service(&lines, &class_configs(day), &names),
        fronts,
        sums: sums(&lines, &sum_limits(day)),
        process_faults: Vec::new(),
        driver_notes: Vec::new(),
        lines,
    }
}

/// How long to wait after the last call for outstanding answers: the longest caller time-out and a margin.
pub(crate) fn settle_time(day: &Scenario) -> Micros {
    day.classes.iter().map(|class| class.caller_timeout).max().unwrap_or(0) + SECOND / 2
}

/// Executes the schedule of a run in real time until its callers stop; `progress` is called once a second and
/// for each fault.
pub(crate) async fn drive_schedule(
    day: &Scenario,
    recorder: &Recorder,
    hands: &mut impl FaultInjector,
    progress: &mut impl FnMut(f64, &str),
) {
    let begin = recorder.now();
    let mut course = Timeline::new(day, begin);
    let mut second = begin;
    while recorder.now() < course.end() {
        let next = course.next_due().min(second);
        tokio::time::sleep(Duration::from_micros(next.saturating_sub(recorder.now()))).await;
        let now = recorder.now();
        if now >= second {
            progress((now - begin) as f64 / 1e6, "");
            second += SECOND;
        }
        course.apply_due(now, hands, progress);
    }
    course.stop_calls(hands);
}

/// Runs a scenario on loopback sockets; `progress` is called once a second and for each fault.
///
/// # Errors
/// If a participant cannot start, or the scenario needs processes.
pub async fn run_on_sockets(
    day: &Scenario,
    mut progress: impl FnMut(f64, &str),
) -> Result<Outcome, ScenarioError> {
    day.reject_process_faults()?;
    let recorder = Arc::new(Recorder::default());
    let mut servers = Vec::new();
    for number in 0..diameter_server_count(day) {
        let seed = day.seed * 100 + number as u64;
        servers.push(Server::start(server_spec(day, number), recorder.clone(), seed).await?);
    }
    let mut far_ends = Vec::new();
    for spec in crate::topology::far_end_specs(day) {
        let (host, seed) = (spec.host.clone(), day.seed * 100 + u64::from(spec.number));
        far_ends.push((FarEnd::start(spec, recorder.clone(), seed).await?, host));
    }
    // The address at which each front reaches each server: its own, or that of a link with faults in between.
    let server_addr = |number: usize, front: u32| match number.checked_sub(servers.len()) {
        Some(far) => far_ends[far].0.addrs[&front],
        None => servers[number].addr,
    };
    let (linked_servers, mut links) = (linked_servers(day), BTreeMap::<usize, Vec<Link>>::new());
    let mut addrs = vec![Vec::new(); day.fronts as usize];
    for number in 0..day.servers.rates.len() {
        for front in 0..day.fronts {
            let mut addr = server_addr(number, front);
            if linked_servers.contains(&number) {
                let server_links = links.entry(number).or_default();
                if server_links.is_empty() || number >= servers.len() {
                    let fault = LinkFault { delay: day.servers.link_delay, ..LinkFault::default() };
                    server_links.push(Link::start(addr, fault).await?);
                }
                addr = server_links[server_links.len() - 1].addr;
            }
            addrs[front as usize].push(addr);
        }
    }

    let (mut fronts, mut starts) = (Vec::new(), Vec::new());
    for ordinal in 0..day.fronts {
        let config = front_config(day, ordinal, &addrs[ordinal as usize])?;
        let policy = policy_of(day, &config);
        let (front, start) = front_thread(config)?;
        fronts.push(front);
        starts.push((start, policy));
    }
    // Each pair of fronts communicates over a relay that can lose datagrams.
    let fleet: Vec<_> =
        fronts.iter().enumerate().filter_map(|(i, f)| f.addrs.fleet.map(|addr| (i as u32, addr))).collect();
    let (mut relays, mut others) = (Vec::new(), vec![Vec::new(); fronts.len()]);
    for (place, (a, a_addr)) in fleet.iter().enumerate() {
        for (b, b_addr) in &fleet[place + 1..] {
            let relay = DatagramRelay::start(day.seed ^ u64::from(a << 8 | b), None).await?;
            relay.between(*a_addr, *b_addr);
            others[*a as usize].push((*b, relay.addr));
            others[*b as usize].push((*a, relay.addr));
            relays.push(relay);
        }
    }
    for ((start, policy), others) in starts.into_iter().zip(others) {
        let _ = start.send((others, policy));
    }
    let (lists, pending_lists) = mpsc::unbounded_channel();
    let pools: Vec<_> = fronts.iter().map(|front| front.addrs.pool).collect();
    tokio::spawn(list_service(recorder.clone(), pools, pending_lists));

    tokio::time::sleep(LINK_SETUP_TIME).await;
    let (mut session_callers, mut text_callers, mut offers) = (Vec::new(), Vec::new(), Vec::new());
    for (ordinal, front) in fronts.iter().enumerate() {
        let (offers_tx, offers_rx) = watch::channel(normal_load(day));
        let text_addr = front.addrs.text_udp;
        for ((spec, seed), addr) in
            text_caller_specs(day, ordinal as u32).into_iter().filter_map(|spec| Some((spec, text_addr?)))
        {
            // Text clients use a relay that can lose datagrams; the front sees the relay's address as the
            // client's.
            let lossy = day.datagrams_lost > 0.0;
            let recorded =
                lossy.then(|| RecordedClient { client: spec.mid.clone(), recorder: recorder.clone() });
            let relay = DatagramRelay::start(seed, recorded).await?;
            relay.to(addr);
            relay.lose(day.datagrams_lost);
            if lossy {
                recorder.put(RecordEvent::Lossy { client: spec.mid.clone() });
            }
            let (offers_rx, recorder) = (offers_rx.clone(), recorder.clone());
            text_callers.push((TextCaller::start(spec, relay.addr, offers_rx, recorder, seed).await?, relay));
        }
        let (spec, seed) = diameter_callers(day, ordinal as u32);
        session_callers.push(Caller::start(spec, front.addrs.diameter, offers_rx, recorder.clone(), seed));
        offers.push(offers_tx);
    }
    let mut run =
        SocketRun { recorder: recorder.clone(), servers, far_ends, links, fronts, offers, relays, lists };
    run.far_ends.iter().for_each(|(far, _)| far.offer(1.0));
    drive_schedule(day, &recorder, &mut run, &mut progress).await;
    tokio::time::sleep(Duration::from_micros(settle_time(day))).await;
    let lines = recorder.lines();
    drop((session_callers, text_callers));
    let mut snapshots = Vec::new();
    for front in &mut run.fronts {
        if let Some(stop) = front.stop.take() {
            let _ = stop.send(());
        }
    }
    for front in run.fronts {
        snapshots.push(front.ended.await.ok().flatten().ok_or(ScenarioError::Ended)?);
    }
    Ok(outcome(day, lines, snapshots))
}

/// Interval at which the current list is pushed again, for fronts that missed it, such as a restarted one; a
/// front that has it already rejects it.
const REPUSH_INTERVAL: Duration = Duration::from_millis(400);

/// Pushes each list to every front when it is due, and repeats the latest one periodically.
pub(crate) async fn list_service(
    recorder: Arc<Recorder>,
    fronts: Vec<Option<SocketAddr>>,
    mut lists: mpsc::UnboundedReceiver<(Micros, Pool)>,
) {
    let mut version = 0u64;
    let mut last: Option<Pool> = None;
    let accepted: Accepted = Arc::default();
    loop {
        let next = tokio::select! {
            next = lists.recv() => next,
            () = tokio::time::sleep(REPUSH_INTERVAL), if last.is_some() => {
                last.iter().for_each(|pool| push_to_all(&recorder, &fronts, version, pool, &accepted));
                continue;
            }
        };
        let Some((due, pool)) = next else { return };
        tokio::time::sleep(Duration::from_micros(due.saturating_sub(recorder.now()))).await;
        version += 1;
        push_to_all(&recorder, &fronts, version, &pool, &accepted);
        last = Some(pool);
    }
}

/// By front: the newest list version that it is known to have accepted, and when the acceptance was received.
type Accepted = Arc<Mutex<BTreeMap<usize, (u64, Micros)>>>;

/// Pushes a list to each front independently and records the readiness reported to each front that accepts
/// it.
fn push_to_all(
    recorder: &Arc<Recorder>,
    fronts: &[Option<SocketAddr>],
    version: u64,
    pool: &Pool,
    accepted: &Accepted,
) {
    let now = recorder.now();
    let servers: Vec<_> = pool
        .iter()
        .enumerate()
        .map(|(number, (state, started))| {
            let ago = started.map(|at| now.saturating_sub(at) / 1_000);
            serde_json::json!({"host": server_host(number), "state": state, "started_ms_ago": ago})
        })
        .collect();
    let list = serde_json::json!({"version": version, "full": true, "servers": servers});
    for (front, addr) in fronts.iter().enumerate() {
        let Some(addr) = addr else { continue };
        let (recorder, states, list, addr) = (recorder.clone(), pool.clone(), list.clone(), *addr);
        let last = accepted.clone();
        tokio::spawn(async move {
            let begun = recorder.now();
            if push(addr, LIST_SERVICE_TOKEN, &list).await == 200 {
                let accepted = recorder.now();
                let mut last = last.lock().unwrap_or_else(PoisonError::into_inner);
                let (newest, since) = last.get(&front).copied().unwrap_or_default();
                if version < newest {
                    // This acceptance arrived after that of a newer list.
                    return;
                }
                last.insert(front, (version, accepted));
                let begun = begun.max(since);
                for (server, (state, _)) in states.iter().enumerate() {
                    let (server, front, ready) = (server as u16, front as u32, *state == ListedState::Ready);
                    // The front received the list at an unknown time between `begun` and `accepted`: a
                    // withdrawal takes effect for the audit at the end of that interval, a readiness at its
                    // start.
                    let at = if ready { begun } else { accepted };
                    recorder.add(RecordEntry {
                        at,
                        event: RecordEvent::ReadinessReported { server, front, ready, by_list: true },
                    });
                }
            }
        });
    }
}
