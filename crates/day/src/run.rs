//! Plays a day.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift::interface::{Micros, Report};
use baydrift_audit::{rules, service, ClassTerms, Line, Moment, Recorder, Service, Terms, Verdict};
use baydrift_config::{Config, ConfigError};
use baydrift_front::{Addrs, Bound, FrontError, Snapshot};
use baydrift_standin::{
    push, Caller, CallerSpec, Command, Datagrams, Fault, Flow, Link, Offers, ProcessorSpec, Server,
    ServerSpec, TextCaller, TextSpec,
};
use tokio::sync::{mpsc, oneshot, watch};

use crate::baseline::RoundRobin;
use crate::script::{Day, Policy, Trouble, What};

/// Why a day cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum DayError {
    /// A front's configuration is not good: a fault of the script's figures.
    #[error("the fronts' configuration: {0}: {1}")]
    Config(Box<ConfigError>, String),
    /// A front cannot start.
    #[error(transparent)]
    Front(#[from] FrontError),
    /// A stand-in cannot start.
    #[error("a stand-in: {0}")]
    Io(#[from] std::io::Error),
    /// A front's thread ended by itself.
    #[error("a front ended before its time")]
    Ended,
}

/// What a day came to.
#[derive(Debug)]
pub struct Outcome {
    /// The record.
    pub lines: Vec<Line>,
    /// The rules.
    pub verdict: Verdict,
    /// Service.
    pub service: Service,
    /// What each front counted, for comparison; nothing above rests on it.
    pub fronts: Vec<Snapshot>,
}

const TOKEN: &str = "list-service-of-the-day";
const SECOND: Micros = 1_000_000;
/// More than one so that a reconnecting client never meets its own ghost.
const CONNECTIONS: usize = 4;

/// The configuration of one front of a day, as an operator would write it.
pub fn config_text(day: &Day, ordinal: u32, servers: &[SocketAddr], fleet: bool) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "front \"front{ordinal}.edge.test\" realm=\"edge.test\" {{\n    listen \"127.0.0.1:0\"\n    serves \
         \"core.test\"\n    fronts {}\n    ordinal {ordinal}\n    seed {}\n    watchdog \"{}us\"\n    stop-within \
         \"2s\"\n}}",
        day.fronts,
        day.seed * 1_000 + u64::from(ordinal),
        day.watchdog
    );
    let s = &day.servers;
    let _ = writeln!(
        text,
        "policy {{\n    cold-from {:.3}\n    ramp \"{}us\"\n    fall-multiple {:.3}\n    fall-time \"{}us\"\n}}",
        s.cold_from, s.ramp, s.fall_multiple, s.fall_time
    );
    for class in &day.classes {
        let _ = writeln!(
            text,
            "class \"{0}\" {{\n    context \"{0}@day.test\"\n    worth {1:.3}\n    late-worth {2:.3}\n    aim \
             \"{3}us\"\n    deadline \"{4}us\"\n    gives-up \"{5}us\"\n}}",
            class.name, class.worth, class.late_worth, class.aim, class.deadline, class.gives_up
        );
    }
    for publisher in &day.publishers {
        let _ = writeln!(
            text,
            "publisher \"{0}\" quota={1:.3} {{\n    subscription \"{0}:\"\n}}",
            publisher.name, publisher.quota
        );
    }
    let _ = writeln!(text, "client \"callers{ordinal}.test\" realm=\"test\" connections={CONNECTIONS}");
    text.push_str("text udp=\"127.0.0.1:0\"\n");
    for publisher in 0..day.publishers.len() {
        let _ = writeln!(text, "text-client \"{}\" realm=\"test\"", text_mid(ordinal, publisher));
    }
    for (number, addr) in servers.iter().enumerate() {
        let host = host_of(number);
        let _ = writeln!(text, "server \"{host}\" realm=\"core.test\" number={number} addr=\"{addr}\"");
    }
    let _ = writeln!(text, "pool listen=\"127.0.0.1:0\" token=\"{TOKEN}\"");
    if fleet {
        text.push_str("fleet bind=\"127.0.0.1:0\"\n");
    }
    text
}

fn text_mid(ordinal: u32, publisher: usize) -> String {
    format!("<p{publisher}.text{ordinal}.test>")
}

fn host_of(number: usize) -> String {
    format!("s{number}.core.test")
}

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
            bound.set_fleet(fleet);
            let Ok(front) = bound.start_with(policy) else { return };
            let _ = stopped.await;
            let snapshot = front.snapshot().await;
            front.stop().await;
            let _ = end.send(snapshot);
        });
    });
    let (addrs, runtime) = told.recv().map_err(|_| DayError::Ended)??;
    Ok((FrontThread { addrs, runtime, stop: Some(stop), ended }, start))
}

/// What the list service knows; it reaches fronts later.
#[derive(Clone)]
struct Pool {
    states: Vec<(&'static str, Option<Micros>)>,
}

struct Stage {
    recorder: Arc<Recorder>,
    servers: Vec<Server>,
    links: BTreeMap<usize, Link>,
    fronts: Vec<FrontThread>,
    offers: Vec<watch::Sender<Offers>>,
    relays: Vec<Datagrams>,
    usual: Offers,
    pool: Pool,
    lists: mpsc::UnboundedSender<(Micros, Pool)>,
    lag: Micros,
    link_delay: Micros,
}

/// Plays a day; `progress` hears of each second and trouble.
///
/// # Errors
/// Where something cannot start.
pub async fn run(day: &Day, mut progress: impl FnMut(f64, &str)) -> Result<Outcome, DayError> {
    let recorder = Arc::new(Recorder::default());
    let mut servers = Vec::new();
    for number in 0..day.servers.rates.len() {
        let seed = day.seed * 100 + number as u64;
        servers.push(Server::start(server_spec(day, number), recorder.clone(), seed).await?);
    }
    let link_delay = day.servers.link_delay;
    let linked: std::collections::BTreeSet<usize> = day
        .troubles
        .iter()
        .filter_map(|t| match t.what {
            What::LinkDown { server } | What::LinkStalled { server } => Some(server),
            _ => None,
        })
        .chain((link_delay > 0).then_some(0..servers.len()).into_iter().flatten())
        .collect();
    let mut links = BTreeMap::new();
    for number in linked {
        let fault = Fault { delay: Duration::from_micros(link_delay), ..Fault::default() };
        links.insert(number, Link::start(servers[number].addr, fault).await?);
    }
    let addrs: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(number, s)| links.get(&number).map_or(s.addr, |link| link.addr))
        .collect();

    let (mut fronts, mut starts) = (Vec::new(), Vec::new());
    for ordinal in 0..day.fronts {
        let text = config_text(day, ordinal, &addrs, day.fronts > 1);
        let config = baydrift_config::parse("front.kdl", &text).map_err(|error| {
            let all: Vec<_> = error.problems.iter().map(ToString::to_string).collect();
            DayError::Config(Box::new(error), all.join("; "))
        })?;
        let policy: Option<Box<dyn baydrift_call::Policy>> = match day.policy {
            Policy::Baydrift => None,
            Policy::RoundRobin => Some(Box::new(RoundRobin::new(config.settings.clone()))),
        };
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
            let relay = Datagrams::start(day.seed ^ u64::from(a << 8 | b)).await?;
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
    let usual = Offers {
        redials: day.redials,
        redial_wait: day.redial_wait,
        again: day.again,
        heeds: day.heeds,
        ..Offers::default()
    };
    let (mut callers, mut texts, mut offers) = (Vec::new(), Vec::new(), Vec::new());
    for (ordinal, front) in fronts.iter().enumerate() {
        let (tell, told) = watch::channel(usual.clone());
        let spec = caller_spec(day, ordinal as u32, front.addrs.diameter);
        let seed = day.seed * 10_000 + ordinal as u64;
        let text_addr = front.addrs.text_udp.filter(|_| day.text > 0.0);
        for (publisher, addr) in
            (0..day.publishers.len()).filter_map(|publisher| Some((publisher, text_addr?)))
        {
            // Each publisher has a client of its own. Text goes by a relay that loses datagrams; the front knows
            // the client by the relay's address.
            let seed = seed + 5_000 + 100 * publisher as u64;
            let relay = Datagrams::start(seed).await?;
            let mut flows = scaled(&spec.flows, day.text);
            flows.retain(|flow| flow.publisher == publisher);
            let spec = TextSpec {
                mid: text_mid(ordinal as u32, publisher),
                front: (ordinal as u32, relay.addr),
                servers: spec.servers.clone(),
                flows,
            };
            relay.to(addr);
            relay.lose(day.datagrams_lost);
            if day.datagrams_lost > 0.0 {
                recorder.put(Moment::Lossy { client: spec.mid.clone() });
            }
            texts.push((TextCaller::start(spec, told.clone(), recorder.clone(), seed).await?, relay));
        }
        let spec = CallerSpec { flows: scaled(&spec.flows, 1.0 - day.text), ..spec };
        callers.push(Caller::start(spec, told, recorder.clone(), seed));
        offers.push(tell);
    }
    let pool = Pool { states: vec![("ready", None); servers.len()] };
    let mut stage = Stage {
        recorder: recorder.clone(),
        servers,
        links,
        fronts,
        offers,
        relays,
        usual,
        pool,
        lists,
        lag: day.list_lag,
        link_delay,
    };
    stage.play(day, &mut progress).await;

    for offers in &stage.offers {
        offers.send_modify(|offers| offers.factor = 0.0);
    }
    let patience = day.classes.iter().map(|class| class.gives_up).max().unwrap_or(0);
    tokio::time::sleep(Duration::from_micros(patience + SECOND / 2)).await;
    let lines = recorder.lines();
    drop((callers, texts));
    let mut snapshots = Vec::new();
    for front in &mut stage.fronts {
        if let Some(stop) = front.stop.take() {
            let _ = stop.send(());
        }
    }
    for front in stage.fronts {
        snapshots.push(front.ended.await.ok().flatten().ok_or(DayError::Ended)?);
    }
    let terms: Vec<_> = day
        .classes
        .iter()
        .map(|c| ClassTerms {
            name: c.name.clone(),
            worth: c.worth,
            late_worth: c.late_worth,
            aim: c.aim,
            hot_worth: 0.1,
        })
        .collect();
    let names: Vec<_> = day.publishers.iter().map(|p| p.name.clone()).collect();
    Ok(Outcome {
        verdict: rules(&lines, Terms::default()),
        service: service(&lines, &terms, &names),
        fronts: snapshots,
        lines,
    })
}

/// The same flows at a share of their rates.
fn scaled(flows: &[Flow], share: f64) -> Vec<Flow> {
    flows.iter().map(|flow| Flow { rate: flow.rate * share, ..flow.clone() }).collect()
}

fn server_spec(day: &Day, number: usize) -> ServerSpec {
    let s = &day.servers;
    let has = |what: &str| s.tells.iter().any(|tell| tell == what);
    // A table of functions, since what is told is fixed for a run.
    let tells: fn(Report) -> Report = match (has("wait"), has("busy"), has("rate"), has("queue")) {
        (true, ..) => |r| Report { wait_s: r.wait_s, ..Report::default() },
        (_, true, _, true) => |r| Report { busy: r.busy, queue: r.queue, ..Report::default() },
        (_, true, ..) => |r| Report { busy: r.busy, ..Report::default() },
        (_, _, true, true) => |r| Report { rate: r.rate, queue: r.queue, ..Report::default() },
        (_, _, true, _) => |r| Report { rate: r.rate, ..Report::default() },
        (_, _, _, true) => |r| Report { queue: r.queue, ..Report::default() },
        _ => |_| Report::default(),
    };
    ServerSpec {
        host: host_of(number),
        realm: "core.test".into(),
        number: number as u16,
        processor: ProcessorSpec {
            rate: s.rates[number],
            release: s.release,
            refusal: s.refusal,
            most_wait: s.most_wait,
            cold_from: s.cold_from,
            ramp: s.ramp,
            fall_multiple: s.fall_multiple,
            fall_time: s.fall_time,
        },
        report_period: s.report_period,
        report_delay: s.report_delay,
        report_noise: s.report_noise,
        tells,
        connections: 1_024,
        watchdog: day.watchdog * 4,
        fronts: (0..day.fronts).map(|o| (format!("front{o}.edge.test"), o)).collect(),
    }
}

fn caller_spec(day: &Day, ordinal: u32, addr: SocketAddr) -> CallerSpec {
    let total = |all: f64| if all > 0.0 { all } else { 1.0 };
    let classes = total(day.classes.iter().map(|c| c.share).sum());
    let publishers = total(day.publishers.iter().map(|p| p.share).sum());
    let mut flows = Vec::new();
    for (class, c) in day.classes.iter().enumerate() {
        for (publisher, p) in day.publishers.iter().enumerate() {
            let share = c.share / classes * p.share / publishers / f64::from(day.fronts);
            flows.push(Flow {
                class,
                publisher,
                context: format!("{}@day.test", c.name),
                subscription: format!("{}:caller", p.name),
                rate: day.calls_per_s * share,
                hold: c.hold,
                patience: c.gives_up,
            });
        }
    }
    CallerSpec {
        host: format!("callers{ordinal}.test"),
        realm: "test".into(),
        front: (ordinal, format!("front{ordinal}.edge.test"), "edge.test".into(), addr),
        to_realm: "core.test".into(),
        // A call's first choice follows what servers can do, as routes are planned.
        servers: day
            .servers
            .rates
            .iter()
            .enumerate()
            .map(|(number, rate)| (host_of(number), *rate))
            .collect(),
        flows,
        watchdog: day.watchdog * 4,
    }
}

/// Pushes each list to every front when its time has come.
async fn list_service(
    recorder: Arc<Recorder>,
    fronts: Vec<Option<SocketAddr>>,
    mut lists: mpsc::UnboundedReceiver<(Micros, Pool)>,
) {
    let mut version = 0u64;
    while let Some((due, pool)) = lists.recv().await {
        tokio::time::sleep(Duration::from_micros(due.saturating_sub(recorder.now()))).await;
        version += 1;
        let now = recorder.now();
        let servers: Vec<_> = pool
            .states
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
            let (recorder, states, list, addr) = (recorder.clone(), pool.states.clone(), list.clone(), *addr);
            tokio::spawn(async move {
                if push(addr, TOKEN, &list).await == 200 {
                    for (server, (state, _)) in states.iter().enumerate() {
                        let (server, front, ready) = (server as u16, front as u32, *state == "ready");
                        recorder.put(Moment::Told { server, front, ready, by_list: true });
                    }
                }
            });
        }
    }
}

/// What is still to be done.
enum Then {
    Begin(Trouble),
    End(What),
    Listed(usize, &'static str, bool),
}

impl Stage {
    async fn play(&mut self, day: &Day, progress: &mut impl FnMut(f64, &str)) {
        let begin = self.recorder.now();
        let end = begin + (day.seconds * 1e6) as Micros;
        let mut plan: BTreeMap<(Micros, usize), Then> = BTreeMap::new();
        for (order, trouble) in day.troubles.iter().enumerate() {
            plan.insert((begin + trouble.at, order), Then::Begin(trouble.clone()));
        }
        let mut order = plan.len();
        let mut second = begin;
        while self.recorder.now() < end {
            let next = plan.keys().next().map_or(end, |key| key.0).min(second).min(end);
            tokio::time::sleep(Duration::from_micros(next.saturating_sub(self.recorder.now()))).await;
            let now = self.recorder.now();
            if now >= second {
                progress((now - begin) as f64 / 1e6, "");
                second += SECOND;
            }
            while let Some(entry) = plan.first_entry().filter(|entry| entry.key().0 <= now) {
                for (at, then) in self.act(now, entry.remove(), begin, progress) {
                    order += 1;
                    plan.insert((at, order), then);
                }
            }
        }
    }

    fn act(
        &mut self,
        now: Micros,
        then: Then,
        begin: Micros,
        progress: &mut impl FnMut(f64, &str),
    ) -> Vec<(Micros, Then)> {
        match then {
            Then::Begin(trouble) => {
                progress((now - begin) as f64 / 1e6, &format!("{:?}", trouble.what));
                self.begin(now, &trouble)
            }
            Then::End(what) => {
                self.finish(&what);
                Vec::new()
            }
            Then::Listed(server, state, started) => {
                self.pool.states[server] = (state, started.then_some(now));
                let _ = self.lists.send((now + self.lag, self.pool.clone()));
                Vec::new()
            }
        }
    }

    fn begin(&mut self, now: Micros, trouble: &Trouble) -> Vec<(Micros, Then)> {
        let Trouble { span, what, .. } = trouble;
        let over = now + span;
        let mut then = Vec::new();
        match what {
            What::Drain { server, by_list, by_dpr, back_after } => {
                let (by_dpr, back_after) = (*by_dpr, *back_after);
                self.servers[*server].command(Command::Drain { by_dpr, stop_after: *span, back_after });
                if *by_list {
                    then.push((now, Then::Listed(*server, "draining", false)));
                }
                then.push((over, Then::Listed(*server, "gone", false)));
                then.extend(back_after.map(|back| (over + back, Then::Listed(*server, "ready", true))));
            }
            What::Die { server, back_after } => {
                self.servers[*server].command(Command::Die(*back_after));
                then.push((now, Then::Listed(*server, "gone", false)));
                then.extend(back_after.map(|back| (now + back, Then::Listed(*server, "ready", true))));
            }
            What::Hang { server } => self.servers[*server].command(Command::Hang(true)),
            What::Slow { server, factor } => self.servers[*server].command(Command::Slow(*factor)),
            What::Pause { server } => self.servers[*server].command(Command::Pause(*span)),
            What::LoseAnswers { server, share } => {
                self.servers[*server].command(Command::LoseAnswers(*share))
            }
            What::Cut { share } => self.servers.iter().for_each(|s| s.command(Command::Cut(*share))),
            What::LinkDown { server } => self.link(*server, Fault { down: true, ..Fault::default() }),
            // Only the way back: what the front sent is then timed at the server as it was sent.
            What::LinkStalled { server } => {
                self.link(*server, Fault { stalled_back: true, ..Fault::default() });
                self.each_front(|front| Moment::Mute { server: *server as u16, front });
            }
            What::Burst { factor } => self.offers(|offers| offers.factor = *factor),
            What::Hot { share } => self.offers(|offers| offers.hot = *share),
            What::Redials { times, wait } => {
                self.offers(|offers| (offers.redials, offers.redial_wait) = (*times, *wait));
            }
            What::Reconnect { front } => self.offers[*front].send_modify(|offers| offers.reconnects += 1),
            What::Stall { front } => {
                let (recorder, span, ordinal) = (self.recorder.clone(), *span, *front as u32);
                self.fronts[*front].runtime.spawn(async move {
                    recorder.put(Moment::Stall { front: ordinal, us: span });
                    // The whole thread of this front stands still, as a stopped process does.
                    std::thread::sleep(Duration::from_micros(span));
                });
            }
            What::ListLag { lag } => self.lag = *lag,
            What::Flood { publisher, factor } => {
                self.offers(|offers| offers.flood = Some((*publisher, *factor)))
            }
            What::MessagesLost { share } => self.relays.iter().for_each(|relay| relay.lose(*share)),
        }
        then.push((over, Then::End(what.clone())));
        then
    }

    fn finish(&mut self, what: &What) {
        match what {
            What::Hang { server } => self.servers[*server].command(Command::Hang(false)),
            What::Slow { server, .. } => self.servers[*server].command(Command::Slow(1.0)),
            What::LoseAnswers { server, .. } => self.servers[*server].command(Command::LoseAnswers(0.0)),
            What::LinkDown { server } => self.link(*server, Fault::default()),
            What::LinkStalled { server } => {
                self.link(*server, Fault::default());
                self.each_front(|front| Moment::Speaks { server: *server as u16, front });
            }
            What::Burst { .. } => self.offers(|offers| offers.factor = 1.0),
            What::Hot { .. } => self.offers(|offers| offers.hot = 0.0),
            What::Flood { .. } => self.offers(|offers| offers.flood = None),
            What::MessagesLost { .. } => self.relays.iter().for_each(|relay| relay.lose(0.0)),
            What::Redials { .. } => {
                let (times, wait) = (self.usual.redials, self.usual.redial_wait);
                self.offers(|offers| (offers.redials, offers.redial_wait) = (times, wait));
            }
            _ => {}
        }
    }

    fn each_front(&self, moment: impl Fn(u32) -> Moment) {
        (0..self.fronts.len() as u32).for_each(|front| self.recorder.put(moment(front)));
    }

    fn link(&self, server: usize, fault: Fault) {
        if let Some(link) = self.links.get(&server) {
            link.set(Fault { delay: Duration::from_micros(self.link_delay), ..fault });
        }
    }

    fn offers(&self, change: impl Fn(&mut Offers)) {
        self.offers.iter().for_each(|offers| offers.send_modify(&change));
    }
}
