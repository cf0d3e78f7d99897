//! Plays a day on sockets.

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
use crate::cast::{
    callers, class_terms, config_of, far_ends, host_of, linked, server_spec, sessions, sum_terms, texts,
    usual, TOKEN,
};
use crate::course::{Course, Hands, Listed, Pool};
use crate::error::DayError;
use crate::script::{Day, Policy};

/// What a day came to.
#[derive(Debug)]
pub struct Outcome {
    /// The record.
    pub lines: Vec<RecordEntry>,
    /// The rules.
    pub verdict: Verdict,
    /// Service.
    pub service: Service,
    /// What all fronts did together.
    pub sums: Sums,
    /// What each front counted, for comparison; nothing above rests on it.
    pub fronts: Vec<Snapshot>,
    /// What went wrong with processes: ended unasked, or stayed behind. Empty where all ran as they should.
    pub crashed: Vec<String>,
    /// What the driver of processes says of itself: its own faults, and what crossed its net. No fault of the program.
    pub driver: Vec<String>,
}

impl Outcome {
    /// In which ways it failed, as one day's failure is told from another's: the rules that broke, a bound, an end
    /// that nobody asked for.
    pub fn failures(&self) -> BTreeSet<String> {
        let rules = self.verdict.breaches.iter().map(|breach| format!("{:?}", breach.rule));
        let bound = (!self.sums.exceeded.is_empty()).then(|| "a bound".to_owned());
        let crashed = (!self.crashed.is_empty()).then(|| "a process".to_owned());
        rules.chain(bound).chain(crashed).collect()
    }

    /// Whether no rule broke, no bound was passed and no process did what nobody asked of it.
    pub fn good(&self) -> bool {
        self.verdict.passed() && self.sums.exceeded.is_empty() && self.crashed.is_empty()
    }
}

const SECOND: Micros = 1_000_000;

/// A front on a thread and runtime of its own, so that it can stand still alone.
struct FrontThread {
    addrs: Addrs,
    runtime: tokio::runtime::Handle,
    stop: Option<oneshot::Sender<()>>,
    ended: oneshot::Receiver<Option<Snapshot>>,
}

type Fleet = (Vec<(u32, SocketAddr)>, Option<Box<dyn baydrift_call::Policy>>);

fn front_thread(config: Config) -> Result<(FrontThread, oneshot::Sender<Fleet>), DayError> {
    let (tell, told) = std::sync::mpsc::channel();
    let (start, started) = oneshot::channel::<Fleet>();
    let (stop, stopped) = oneshot::channel::<()>();
    let (end, ended) = oneshot::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = match runtime {
            Ok(runtime) => runtime,
            Err(error) => return drop(tell.send(Err(DayError::Io(error)))),
        };
        runtime.block_on(async move {
            let mut bound = match Bound::bind(config).await {
                Ok(bound) => bound,
                Err(error) => return drop(tell.send(Err(error.into()))),
            };
            let _ = tell.send(Ok((bound.addrs(), tokio::runtime::Handle::current())));
            let Ok((fleet, policy)) = started.await else { return };
            bound.set_fleet_addrs(fleet);
            let Ok(front) = bound.start_with_policy(policy) else { return };
            let _ = stopped.await;
            let snapshot = front.snapshot().await;
            front.stop().await;
            let _ = end.send(snapshot);
        });
    });
    let (addrs, runtime) = told.recv().map_err(|_| DayError::Ended)??;
    Ok((FrontThread { addrs, runtime, stop: Some(stop), ended }, start))
}

struct Stage {
    recorder: Arc<Recorder>,
    servers: Vec<Server>,
    /// Far ends, whose places come after the servers', and their names.
    fars: Vec<(FarEnd, String)>,
    /// By place; one for each front to a far end.
    links: BTreeMap<usize, Vec<Link>>,
    fronts: Vec<FrontThread>,
    offers: Vec<watch::Sender<OfferedLoad>>,
    relays: Vec<DatagramRelay>,
    lists: mpsc::UnboundedSender<(Micros, Pool)>,
}

impl Hands for Stage {
    fn command(&mut self, server: usize, command: Command) {
        match server.checked_sub(self.servers.len()) {
            Some(far) => self.fars[far].0.command(command),
            None => self.servers[server].command(command),
        }
    }

    fn link(&mut self, server: usize, fault: LinkFault) {
        let far = server.checked_sub(self.servers.len()).and_then(|far| self.fars.get(far));
        let held = |held| far.map(|(_, client)| RecordEvent::Held { client: client.clone(), held });
        if fault.stalled_back {
            held(true).into_iter().for_each(|moment| self.recorder.put(moment));
        }
        self.links.get(&server).into_iter().flatten().for_each(|link| link.set(fault));
        if !fault.stalled_back {
            held(false).into_iter().for_each(|moment| self.recorder.put(moment));
        }
    }

    fn offer(&mut self, front: usize, offers: &OfferedLoad) {
        if front == 0 {
            self.fars.iter().for_each(|(far, _)| far.offer(offers.factor));
        }
        self.offers[front].send_replace(offers.clone());
    }

    fn stall(&mut self, front: usize, span: Micros) {
        let (recorder, ordinal) = (self.recorder.clone(), front as u32);
        self.fronts[front].runtime.spawn(async move {
            recorder.put(RecordEvent::Stall { front: ordinal, us: span });
            // The whole thread of this front stands still, as a stopped process does.
            std::thread::sleep(Duration::from_micros(span));
        });
    }

    fn lose_messages(&mut self, share: f64) {
        self.relays.iter().for_each(|relay| relay.lose(share));
    }

    fn list(&mut self, due: Micros, pool: &Pool) {
        let _ = self.lists.send((due, pool.clone()));
    }

    fn record(&mut self, moment: RecordEvent) {
        self.recorder.put(moment);
    }
}

/// The policy of a front, where it is not the module.
pub(crate) fn policy_of(day: &Day, config: &Config) -> Option<Box<dyn baydrift_call::Policy>> {
    match day.policy {
        Policy::Baydrift => None,
        Policy::RoundRobin => Some(Box::new(RoundRobin::new(config.settings.clone()))),
    }
}

/// What a record came to.
pub(crate) fn outcome(day: &Day, lines: Vec<RecordEntry>, fronts: Vec<Snapshot>) -> Outcome {
    let names: Vec<_> = day.publishers.iter().map(|p| p.name.clone()).collect();
    Outcome {
        verdict: rules(&lines, RuleLimits::default()),
        service: service(&lines, &class_terms(day), &names),
        fronts,
        sums: sums(&lines, &sum_terms(day)),
        crashed: Vec::new(),
        driver: Vec::new(),
        lines,
    }
}

/// How long after the last call its answer may still come.
pub(crate) fn aftermath(day: &Day) -> Micros {
    day.classes.iter().map(|class| class.gives_up).max().unwrap_or(0) + SECOND / 2
}

/// Follows a day's course by the machine's clock until its callers stop; `progress` hears of each second and trouble.
pub(crate) async fn follow(
    day: &Day,
    recorder: &Recorder,
    hands: &mut impl Hands,
    progress: &mut impl FnMut(f64, &str),
) {
    let begin = recorder.now();
    let mut course = Course::new(day, begin);
    let mut second = begin;
    while recorder.now() < course.end() {
        let next = course.next().min(second);
        tokio::time::sleep(Duration::from_micros(next.saturating_sub(recorder.now()))).await;
        let now = recorder.now();
        if now >= second {
            progress((now - begin) as f64 / 1e6, "");
            second += SECOND;
        }
        course.act(now, hands, progress);
    }
    course.close(hands);
}

/// Plays a day; `progress` hears of each second and trouble.
///
/// # Errors
/// Where something cannot start.
pub async fn run(day: &Day, mut progress: impl FnMut(f64, &str)) -> Result<Outcome, DayError> {
    day.without_processes()?;
    let recorder = Arc::new(Recorder::default());
    let mut servers = Vec::new();
    for number in 0..sessions(day) {
        let seed = day.seed * 100 + number as u64;
        servers.push(Server::start(server_spec(day, number), recorder.clone(), seed).await?);
    }
    let mut fars = Vec::new();
    for spec in far_ends(day) {
        let (host, seed) = (spec.host.clone(), day.seed * 100 + u64::from(spec.number));
        fars.push((FarEnd::start(spec, recorder.clone(), seed).await?, host));
    }
    // Where each front finds each server: at the server, or at a link with faults before it.
    let there = |number: usize, front: u32| match number.checked_sub(servers.len()) {
        Some(far) => fars[far].0.addrs[&front],
        None => servers[number].addr,
    };
    let (faulty, mut links) = (linked(day), BTreeMap::<usize, Vec<Link>>::new());
    let mut addrs = vec![Vec::new(); day.fronts as usize];
    for number in 0..day.servers.rates.len() {
        for front in 0..day.fronts {
            let mut addr = there(number, front);
            if faulty.contains(&number) {
                let of_it = links.entry(number).or_default();
                if of_it.is_empty() || number >= servers.len() {
                    let fault = LinkFault { delay: day.servers.link_delay, ..LinkFault::default() };
                    of_it.push(Link::start(addr, fault).await?);
                }
                addr = of_it[of_it.len() - 1].addr;
            }
            addrs[front as usize].push(addr);
        }
    }

    let (mut fronts, mut starts) = (Vec::new(), Vec::new());
    for ordinal in 0..day.fronts {
        let config = config_of(day, ordinal, &addrs[ordinal as usize])?;
        let policy = policy_of(day, &config);
        let (front, start) = front_thread(config)?;
        fronts.push(front);
        starts.push((start, policy));
    }
    // Each pair of fronts speaks over a relay that can lose what they say.
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
    let (lists, pushed) = mpsc::unbounded_channel();
    let pools: Vec<_> = fronts.iter().map(|front| front.addrs.pool).collect();
    tokio::spawn(list_service(recorder.clone(), pools, pushed));

    // Server links come up before the first call does.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let (mut all, mut text_all, mut offers) = (Vec::new(), Vec::new(), Vec::new());
    for (ordinal, front) in fronts.iter().enumerate() {
        let (tell, told) = watch::channel(usual(day));
        let text_addr = front.addrs.text_udp;
        for ((spec, seed), addr) in
            texts(day, ordinal as u32).into_iter().filter_map(|spec| Some((spec, text_addr?)))
        {
            // Text goes by a relay that loses datagrams; the front knows the client by the relay's address.
            let lossy = day.datagrams_lost > 0.0;
            let watched =
                lossy.then(|| RecordedClient { client: spec.mid.clone(), recorder: recorder.clone() });
            let relay = DatagramRelay::start(seed, watched).await?;
            relay.to(addr);
            relay.lose(day.datagrams_lost);
            if lossy {
                recorder.put(RecordEvent::Lossy { client: spec.mid.clone() });
            }
            let (told, recorder) = (told.clone(), recorder.clone());
            text_all.push((TextCaller::start(spec, relay.addr, told, recorder, seed).await?, relay));
        }
        let (spec, seed) = callers(day, ordinal as u32);
        all.push(Caller::start(spec, front.addrs.diameter, told, recorder.clone(), seed));
        offers.push(tell);
    }
    let mut stage = Stage { recorder: recorder.clone(), servers, fars, links, fronts, offers, relays, lists };
    stage.fars.iter().for_each(|(far, _)| far.offer(1.0));
    follow(day, &recorder, &mut stage, &mut progress).await;
    tokio::time::sleep(Duration::from_micros(aftermath(day))).await;
    let lines = recorder.lines();
    drop((all, text_all));
    let mut snapshots = Vec::new();
    for front in &mut stage.fronts {
        if let Some(stop) = front.stop.take() {
            let _ = stop.send(());
        }
    }
    for front in stage.fronts {
        snapshots.push(front.ended.await.ok().flatten().ok_or(DayError::Ended)?);
    }
    Ok(outcome(day, lines, snapshots))
}

/// The list is pushed again so often to whoever may have missed it, a front that has started anew above all; one that
/// has it turns it down.
const PUSHED_AGAIN: Duration = Duration::from_millis(400);

/// Pushes each list to every front when its time has come, and the last one again and again.
pub(crate) async fn list_service(
    recorder: Arc<Recorder>,
    fronts: Vec<Option<SocketAddr>>,
    mut lists: mpsc::UnboundedReceiver<(Micros, Pool)>,
) {
    let mut version = 0u64;
    let mut last: Option<Pool> = None;
    let taken: Taken = Arc::default();
    loop {
        let next = tokio::select! {
            next = lists.recv() => next,
            () = tokio::time::sleep(PUSHED_AGAIN), if last.is_some() => {
                last.iter().for_each(|pool| push_to_all(&recorder, &fronts, version, pool, &taken));
                continue;
            }
        };
        let Some((due, pool)) = next else { return };
        tokio::time::sleep(Duration::from_micros(due.saturating_sub(recorder.now()))).await;
        version += 1;
        push_to_all(&recorder, &fronts, version, &pool, &taken);
        last = Some(pool);
    }
}

/// By front: the newest list that it is known to have taken, and when that was heard.
type Taken = Arc<Mutex<BTreeMap<usize, (u64, Micros)>>>;

/// Each front is pushed to by itself; who takes the list was told, and when is on record.
fn push_to_all(
    recorder: &Arc<Recorder>,
    fronts: &[Option<SocketAddr>],
    version: u64,
    pool: &Pool,
    taken: &Taken,
) {
    let now = recorder.now();
    let servers: Vec<_> = pool
        .iter()
        .enumerate()
        .map(|(number, (state, started))| {
            let ago = started.map(|at| now.saturating_sub(at) / 1_000);
            serde_json::json!({"host": host_of(number), "state": state, "started_ms_ago": ago})
        })
        .collect();
    let list = serde_json::json!({"version": version, "full": true, "servers": servers});
    for (front, addr) in fronts.iter().enumerate() {
        let Some(addr) = addr else { continue };
        let (recorder, states, list, addr) = (recorder.clone(), pool.clone(), list.clone(), *addr);
        let last = taken.clone();
        tokio::spawn(async move {
            let begun = recorder.now();
            if push(addr, TOKEN, &list).await == 200 {
                let taken = recorder.now();
                let mut last = last.lock().unwrap_or_else(PoisonError::into_inner);
                let (newest, since) = last.get(&front).copied().unwrap_or_default();
                if version < newest {
                    // Heard of only after a newer one, which the front took later.
                    return;
                }
                last.insert(front, (version, taken));
                let begun = begun.max(since);
                for (server, (state, _)) in states.iter().enumerate() {
                    let (server, front, ready) = (server as u16, front as u32, *state == Listed::Ready);
                    // When within that time it was told nobody saw: what it must not do any more counts from the
                    // end, and what it may do again from the begin.
                    let at = if ready { begun } else { taken };
                    recorder.add(RecordEntry {
                        at,
                        event: RecordEvent::ReadinessReported { server, front, ready, by_list: true },
                    });
                }
            }
        });
    }
}
