//! Scenarios: the fronts, servers, callers, limits and scheduled faults of a run, and their KDL parser.

use baydrift::interface::Micros;
use baydrift_config::{parse_document, ConfigError, Node, Problems};
use baydrift_emulator::NetworkPathSpec;
use serde::{Deserialize, Serialize};

use crate::error::ScenarioError;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const HOUR: u64 = 3_600 * S;
/// Maximum number of fronts: the number of front processes that one machine can run.
const MAX_FRONTS: usize = 512;

/// Routing policy of the fronts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Policy {
    /// The decision module.
    Baydrift,
    /// Plain round robin.
    RoundRobin,
}

/// The scenario of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scenario {
    /// Time during which callers offer calls, in seconds.
    pub seconds: f64,
    /// Seed of all random choices of the run.
    pub seed: u64,
    /// Number of fronts.
    pub fronts: u32,
    /// Watchdog interval (Tw) of the fronts.
    pub watchdog: Micros,
    /// Routing policy of the fronts.
    pub policy: Policy,
    /// Delay before a new pool list reaches the fronts.
    pub list_lag: Micros,
    /// Offered calls per second, over all fronts.
    pub calls_per_s: f64,
    /// Maximum number of redials of a caller.
    pub redials: u32,
    /// Mean wait before a redial.
    pub redial_wait: Micros,
    /// Share of set-ups that callers retransmit at once with the T flag.
    #[serde(rename = "again")]
    pub retransmit_share: f64,
    /// Share of calls that arrive as H.248 text; the others arrive over Diameter.
    #[serde(rename = "text")]
    pub text_share: f64,
    /// Share of H.248 datagrams that are lost, in each direction.
    pub datagrams_lost: f64,
    /// Whether text clients subscribe to overload notices and reduce their rate accordingly.
    #[serde(rename = "heeds")]
    pub honours_overload_notices: bool,
    /// Delay, loss and rate limit of each path between processes while no fault is active.
    pub net: NetworkPathSpec,
    /// Servers.
    pub servers: Servers,
    /// Classes.
    pub classes: Vec<Class>,
    /// Publishers.
    pub publishers: Vec<Publisher>,
    /// Limits on the totals over all fronts.
    pub bounds: Bounds,
    /// Scheduled faults, in order of their start.
    #[serde(rename = "troubles")]
    pub faults: Vec<ScheduledFault>,
}

impl Scenario {
    /// Returns an error if a scheduled fault can only be injected into separate processes.
    pub(crate) fn reject_process_faults(&self) -> Result<(), ScenarioError> {
        match self.faults.iter().find(|fault| fault.kind.needs_processes()) {
            Some(fault) => Err(ScenarioError::NeedsProcesses(fault.kind.clone())),
            None => Ok(()),
        }
    }
}

/// Limits on the totals over all fronts. A total without a limit is reported but not checked.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Bounds {
    /// Maximum number of connections open at one server.
    pub open: Option<usize>,
    /// Maximum number of connections opened to one server within any second.
    pub opened: Option<usize>,
    /// Maximum ratio of set-ups to first offers.
    pub attempts: Option<f64>,
    /// Maximum number of gossip datagrams within any second, divided by the number of fronts.
    #[serde(rename = "words")]
    pub gossip_rate: Option<f64>,
    /// Maximum ratio of set-ups at one server within any second to its rate.
    pub overshoot: Option<f64>,
    /// Maximum number of set-ups that all fronts together send to a cold server within any second.
    pub cold_rate: Option<f64>,
    /// Maximum time from the end of a fault until service has recovered.
    pub back_within: Option<Micros>,
}

/// Model parameters shared by all servers; `rates` has one entry per server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Servers {
    /// Set-ups per second of each server when warm.
    pub rates: Vec<f64>,
    /// Cost of a release, in set-ups.
    pub release: f64,
    /// Cost of a refusal, in set-ups.
    pub refusal: f64,
    /// A set-up is refused if the queueing delay exceeds this.
    #[serde(rename = "most_wait")]
    pub max_wait: Micros,
    /// Fraction of its rate at which a cold server starts.
    pub cold_from: f64,
    /// Set-ups per second that all fronts together may send to a cold server, if the fronts' configuration
    /// limits it.
    pub cold_rate: Option<f64>,
    /// Whether fronts share that budget by leases.
    #[serde(rename = "lends")]
    pub budget_leases: bool,
    /// Whether fronts run the membership protocol.
    #[serde(rename = "lives")]
    pub membership: bool,
    /// Time from the start of a server until it is warm.
    #[serde(rename = "ramp")]
    pub warm_up_time: Micros,
    /// Multiple of its current capacity at which an offered load makes a cold server fail, if it lasts for
    /// `fall_time`.
    pub fall_multiple: f64,
    /// Time that a load of `fall_multiple` must last to make a cold server fail.
    pub fall_time: Micros,
    /// Interval between load measurements.
    pub report_period: Micros,
    /// Delay from a load measurement until it is reported.
    pub report_delay: Micros,
    /// Maximum relative error of a load measurement.
    pub report_noise: f64,
    /// Values in a load report: `wait`, `busy`, `rate`, `queue`.
    #[serde(rename = "tells")]
    pub reported_values: Vec<String>,
    /// One-way delay of the links to the servers.
    pub link_delay: Micros,
    /// Number of servers, the last ones in the list, that are reached over trunk groups.
    pub trunked: usize,
    /// Circuits from each front to each trunked server.
    pub circuits: u16,
    /// Circuits of each group that a front reserves for incoming calls.
    pub reserve: u16,
    /// Whether fronts seize circuits in sequential order; otherwise the two ends select from opposite ends.
    pub sequential: bool,
    /// Calls per second that the trunked servers offer to the fronts, over all servers and fronts.
    pub incoming: f64,
}

/// A class of calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// The class's name.
    pub name: String,
    /// Relative share of the offered calls.
    pub share: f64,
    /// Mean duration of an established call.
    pub hold: Micros,
    /// Target time from the offer to the answer.
    pub aim: Micros,
    /// Time after which a call is given up, over all attempts.
    pub deadline: Micros,
    /// Time after which a caller abandons one attempt.
    #[serde(rename = "gives_up")]
    pub caller_timeout: Micros,
    /// Value of a call that is established within the target time.
    pub worth: f64,
    /// Fraction of that value for a call that is established later.
    pub late_worth: f64,
}

/// A publisher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Publisher {
    /// The publisher's name.
    pub name: String,
    /// Relative share of the offered calls.
    pub share: f64,
    /// Calls per second that count with their full value.
    pub quota: f64,
}

/// A fault and its schedule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// Start of the fault, relative to the start of the run.
    pub at: Micros,
    /// Duration of the fault; ignored by faults without one, such as a reset.
    #[serde(rename = "span")]
    pub duration: Micros,
    /// Kind and target of the fault.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

impl ScheduledFault {
    /// Time from the start of the fault until everything that it stopped is due to be back.
    pub fn time_to_repair(&self) -> Micros {
        match &self.kind {
            FaultKind::Drain { back_after, .. } => self.duration + back_after.unwrap_or(0),
            FaultKind::Die { back_after, .. } => back_after.unwrap_or(0),
            FaultKind::Kill { back_after, start, .. } | FaultKind::Restart { back_after, start, .. } => {
                back_after.map_or(0, |back| back + start.slow)
            }
            FaultKind::Crashing { times, .. } => Micros::from(*times) * 500 * MS,
            FaultKind::Reset { .. } | FaultKind::Cut { .. } => 0,
            _ => self.duration,
        }
    }
}

/// Faults of the next process of a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Start {
    /// Time for which the process is stopped right after its start.
    pub slow: Micros,
    /// Offset of the process's wall clock, in microseconds.
    pub clock_off: i64,
}

/// A resource limit imposed on a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResourceLimit {
    /// Maximum number of open file descriptors, including the process's own.
    Descriptors(u64),
    /// Bytes that the process may allocate in addition to those it already holds.
    Memory(u64),
}

/// Kinds of faults. Variants and fields appear in records and output in their `Debug` form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum FaultKind {
    /// Drains a server, announced by the pool list, by DPR or by both. The server exits after the fault's
    /// duration.
    Drain { server: usize, by_list: bool, by_dpr: bool, back_after: Option<Micros> },
    /// Ends a server's process; another one starts after `back_after`, cold.
    Die { server: usize, back_after: Option<Micros> },
    /// A server answers nothing, not even watchdogs.
    Hang { server: usize },
    /// All work of a server takes `factor` times as long.
    Slow { server: usize, factor: f64 },
    /// A server's processor stands still.
    Pause { server: usize },
    /// A share of a server's answers is lost.
    LoseAnswers { server: usize, share: f64 },
    /// Drops a share of the established calls at all servers.
    Cut { share: f64 },
    /// Closes the connections over a server's link and refuses new ones.
    LinkDown { server: usize },
    /// Nothing passes from a server to the fronts; nothing is lost.
    LinkStalled { server: usize },
    /// Multiplies the offered load.
    Burst { factor: f64 },
    /// A share of the calls goes to one number.
    Hot { share: f64 },
    /// Changes how often callers redial, and the mean wait before a redial.
    Redials { times: u32, wait: Micros },
    /// A front's caller closes its connection and opens it again.
    Reconnect { front: usize },
    /// A front stands still.
    Stall { front: usize },
    /// Changes the delay before a new pool list reaches the fronts, until the end of the run.
    ListLag { lag: Micros },
    /// A share of the messages between fronts is lost.
    MessagesLost { share: f64 },
    /// Multiplies the calls of one publisher's text clients.
    Flood { publisher: usize, factor: f64 },
    /// Kills a front with SIGKILL. If `back_after` is set, another process starts with the same name and
    /// addresses after that time.
    Kill { front: usize, back_after: Option<Micros>, start: Start },
    /// Ends a front with SIGTERM. If `back_after` is set, another process starts that long after its end.
    Restart { front: usize, back_after: Option<Micros>, start: Start },
    /// Limits a resource of a front's process. The run fails if the process ends because of it.
    Starve { front: usize, of: ResourceLimit },
    /// Kills a front `times` times, each time soon after it serves again.
    Crashing { front: usize, times: u32 },
    /// Stops the whole process of a server.
    Freeze { server: usize },
    /// Partitions the network: nothing passes from the first group to the second, nor back unless `one_way`.
    Sever { from: Vec<Participant>, to: Vec<Participant>, one_way: bool },
    /// Resets all connections of a server.
    Reset { server: usize },
}

/// A process that network faults can separate from others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Participant {
    /// A front, by its ordinal.
    Front(usize),
    /// A server, by its number.
    Server(usize),
    /// The list service.
    List,
}

impl std::str::FromStr for Participant {
    type Err = ();

    /// Parses `front0`, `server2` or `list`.
    fn from_str(text: &str) -> Result<Self, ()> {
        let number = |prefix: &str| text.strip_prefix(prefix)?.parse::<usize>().ok();
        let front = number("front").map(Self::Front);
        front.or(number("server").map(Self::Server)).or((text == "list").then_some(Self::List)).ok_or(())
    }
}

impl std::fmt::Display for Participant {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Front(front) => write!(f, "front{front}"),
            Self::Server(server) => write!(f, "server{server}"),
            Self::List => f.write_str("list"),
        }
    }
}

/// Parses a scenario file.
///
/// # Errors
/// All problems of the file, each with its position.
pub fn parse(name: &str, text: &str) -> Result<Scenario, ConfigError> {
    let (document, problems) = parse_document(name, text)?;
    let mut scenario = Scenario {
        seconds: 60.0,
        seed: 1,
        fronts: 1,
        watchdog: S,
        policy: Policy::Baydrift,
        list_lag: 2 * S,
        calls_per_s: 50.0,
        redials: 1,
        redial_wait: S,
        retransmit_share: 0.0,
        text_share: 0.0,
        datagrams_lost: 0.0,
        honours_overload_notices: false,
        net: NetworkPathSpec::default(),
        servers: Servers::default(),
        classes: Vec::new(),
        publishers: Vec::new(),
        bounds: Bounds::default(),
        faults: Vec::new(),
    };
    for node in document.nodes() {
        let node = Node::new(node, &problems);
        match node.node.name().value() {
            "day" => read_run(&node, &mut scenario),
            "servers" => read_servers(&node, &mut scenario.servers),
            "calls" => read_calls(&node, &mut scenario),
            "net" => scenario.net = read_net(&node),
            "bounds" => scenario.bounds = read_bounds(&node),
            "class" => scenario.classes.push(read_class(&node)),
            "publisher" => scenario.publishers.push(Publisher {
                name: node.name("the publisher's name"),
                share: node.number("share", 0.0..=1e6).unwrap_or(1.0),
                quota: node.number("quota", 0.0..=1e9).unwrap_or(1e9),
            }),
            _ => scenario.faults.extend(read_faults(&node)),
        }
        node.reject_unknown_keys();
    }
    if scenario.classes.is_empty() || scenario.publishers.is_empty() {
        problems.add((0, 0).into(), "a scenario needs at least one class and one publisher", None);
    }
    check_participants(&scenario, &scenario.faults, &problems);
    problems.finish(name)?;
    scenario.faults.sort_by_key(|fault| fault.at);
    Ok(scenario)
}

/// Parses a fault schedule: a file that holds nothing but faults, for the fronts and servers of `scenario`.
///
/// # Errors
/// All problems of the file, each with its position.
pub fn parse_schedule(
    name: &str,
    text: &str,
    scenario: &Scenario,
) -> Result<Vec<ScheduledFault>, ConfigError> {
    let (document, problems) = parse_document(name, text)?;
    let mut faults = Vec::new();
    for node in document.nodes() {
        let node = Node::new(node, &problems);
        faults.extend(read_faults(&node));
        node.reject_unknown_keys();
    }
    check_participants(scenario, &faults, &problems);
    problems.finish(name)?;
    faults.sort_by_key(|fault| fault.at);
    Ok(faults)
}

/// Reports each fault that refers to a front or server outside the scenario.
fn check_participants(scenario: &Scenario, faults: &[ScheduledFault], problems: &Problems) {
    let (servers, fronts) = (scenario.servers.rates.len(), scenario.fronts as usize);
    for fault in faults {
        let is_unknown = |participant: &Participant| match participant {
            Participant::Front(front) => *front >= fronts,
            Participant::Server(server) => *server >= servers,
            Participant::List => false,
        };
        if fault.kind.participants().iter().any(is_unknown) {
            let text = format!("the fault at {} s refers to an unknown server or front", fault.at / S);
            problems.add((0, 0).into(), text, Some("servers and fronts are numbered from 0"));
        }
    }
}

impl FaultKind {
    /// The processes that the fault refers to.
    pub fn participants(&self) -> Vec<Participant> {
        match self {
            Self::Drain { server, .. }
            | Self::Die { server, .. }
            | Self::Hang { server }
            | Self::Slow { server, .. }
            | Self::Pause { server }
            | Self::LoseAnswers { server, .. }
            | Self::LinkDown { server }
            | Self::Freeze { server }
            | Self::Reset { server }
            | Self::LinkStalled { server } => vec![Participant::Server(*server)],
            Self::Reconnect { front }
            | Self::Stall { front }
            | Self::Kill { front, .. }
            | Self::Restart { front, .. }
            | Self::Starve { front, .. }
            | Self::Crashing { front, .. } => vec![Participant::Front(*front)],
            Self::Sever { from, to, .. } => from.iter().chain(to).copied().collect(),
            _ => Vec::new(),
        }
    }

    /// Whether the fault only changes the behaviour of callers.
    pub fn is_load_change(&self) -> bool {
        matches!(
            self,
            Self::Burst { .. }
                | Self::Hot { .. }
                | Self::Flood { .. }
                | Self::Redials { .. }
                | Self::Reconnect { .. }
        )
    }

    /// Whether the fault needs separate processes, or a network with faults between them.
    pub fn needs_processes(&self) -> bool {
        matches!(
            self,
            Self::Kill { .. }
                | Self::Restart { .. }
                | Self::Starve { .. }
                | Self::Crashing { .. }
                | Self::Freeze { .. }
                | Self::Sever { .. }
                | Self::Reset { .. }
        )
    }
}

impl Default for Servers {
    fn default() -> Self {
        Self {
            rates: vec![50.0; 3],
            release: 0.12,
            refusal: 0.23,
            max_wait: 2_500 * MS,
            cold_from: 0.35,
            cold_rate: None,
            budget_leases: false,
            membership: false,
            warm_up_time: 12 * S,
            fall_multiple: 2.0,
            fall_time: 1_500 * MS,
            report_period: 300 * MS,
            report_delay: 100 * MS,
            report_noise: 0.1,
            reported_values: vec!["wait".into()],
            link_delay: 0,
            trunked: 0,
            circuits: 30,
            reserve: 0,
            sequential: false,
            incoming: 0.0,
        }
    }
}

fn read_run(node: &Node<'_>, scenario: &mut Scenario) {
    scenario.seconds = node.number("seconds", 0.1..=86_400.0).unwrap_or(scenario.seconds);
    scenario.seed = node.integer("seed", 0..=u64::MAX).unwrap_or(scenario.seed);
    scenario.fronts = node.integer("fronts", 1..=MAX_FRONTS as u64).unwrap_or(1) as u32;
    scenario.watchdog = node.time("watchdog", 50 * MS..=HOUR).unwrap_or(scenario.watchdog);
    scenario.list_lag = node.time("list-lag", 0..=HOUR).unwrap_or(scenario.list_lag);
    match node.text("policy").as_deref() {
        None | Some("baydrift") => {}
        Some("round-robin") => scenario.policy = Policy::RoundRobin,
        Some(_) => node.report_at("policy", "policy must be baydrift or round-robin", None),
    }
}

fn read_servers(node: &Node<'_>, servers: &mut Servers) {
    let rate = node.number("rate", 0.1..=1e6).unwrap_or(50.0);
    servers.rates = vec![rate; node.integer("count", 1..=256).unwrap_or(3) as usize];
    servers.release = node.number("release", 0.0..=10.0).unwrap_or(servers.release);
    servers.refusal = node.number("refusal", 0.0..=10.0).unwrap_or(servers.refusal);
    servers.cold_rate = node.number("cold-rate", 0.1..=1e6);
    servers.budget_leases = node.flag("lends").unwrap_or(false);
    servers.membership = node.flag("lives").unwrap_or(false);
    if servers.budget_leases && servers.cold_rate.is_none() {
        node.report_at("lends", "lends needs a cold-rate", Some("cold-rate=28"));
    }
    servers.cold_from = node.number("cold-from", 0.01..=1.0).unwrap_or(servers.cold_from);
    servers.fall_multiple = node.number("fall-multiple", 0.1..=100.0).unwrap_or(servers.fall_multiple);
    servers.report_noise = node.number("report-noise", 0.0..=1.0).unwrap_or(servers.report_noise);
    let times = [
        ("most-wait", &mut servers.max_wait),
        ("ramp", &mut servers.warm_up_time),
        ("fall-time", &mut servers.fall_time),
        ("report-period", &mut servers.report_period),
        ("report-delay", &mut servers.report_delay),
        ("link-delay", &mut servers.link_delay),
    ];
    for (key, value) in times {
        *value = node.time(key, 0..=HOUR).unwrap_or(*value);
    }
    servers.trunked = node.integer("trunked", 0..=servers.rates.len() as u64).unwrap_or(0) as usize;
    servers.circuits = node.integer("circuits", 1..=4_000).unwrap_or(u64::from(servers.circuits)) as u16;
    let max_reserve = u64::from(servers.circuits) - 1;
    servers.reserve = node.integer("reserve", 0..=max_reserve).unwrap_or(0) as u16;
    servers.sequential = node.flag("sequential").unwrap_or(false);
    servers.incoming = node.number("incoming", 0.0..=1e6).unwrap_or(0.0);
    if let Some(values) = node.text("tells") {
        servers.reported_values = values.split_whitespace().map(str::to_owned).collect();
        if let Some(unknown) =
            servers.reported_values.iter().find(|t| !["wait", "busy", "rate", "queue"].contains(&t.as_str()))
        {
            node.report_at("tells", format!("{unknown} is none of wait, busy, rate, queue"), None);
        }
    }
}

fn read_calls(node: &Node<'_>, scenario: &mut Scenario) {
    scenario.calls_per_s = node.number("per-second", 0.1..=1e6).unwrap_or(scenario.calls_per_s);
    scenario.redials = node.integer("redials", 0..=100).unwrap_or(u64::from(scenario.redials)) as u32;
    scenario.redial_wait = node.time("redial-wait", MS..=HOUR).unwrap_or(scenario.redial_wait);
    scenario.retransmit_share = node.number("again", 0.0..=1.0).unwrap_or(scenario.retransmit_share);
    scenario.text_share = node.number("text", 0.0..=1.0).unwrap_or(scenario.text_share);
    scenario.honours_overload_notices = node.flag("heeds").unwrap_or(false);
    scenario.datagrams_lost = node.number("datagrams-lost", 0.0..=0.9).unwrap_or(scenario.datagrams_lost);
}

fn read_net(node: &Node<'_>) -> NetworkPathSpec {
    let share = |key| node.number(key, 0.0..=0.9).unwrap_or(0.0);
    NetworkPathSpec {
        delay: node.time("delay", 0..=10 * S).unwrap_or(0),
        jitter: node.time("jitter", 0..=10 * S).unwrap_or(0),
        lost: share("lost"),
        doubled: share("doubled"),
        reordered: share("reordered"),
        rate: node.integer("bytes-per-second", 0..=u64::MAX / 2).unwrap_or(0),
    }
}

fn read_bounds(node: &Node<'_>) -> Bounds {
    let whole = |key| node.integer(key, 0..=1_000_000).map(|n| n as usize);
    let number = |key| node.number(key, 0.0..=1e6);
    Bounds {
        open: whole("open-connections"),
        opened: whole("new-connections-per-second"),
        attempts: number("attempts"),
        gossip_rate: number("datagrams-per-second"),
        overshoot: number("overshoot"),
        cold_rate: number("cold-rate"),
        back_within: node.time("back-within", 0..=HOUR),
    }
}

fn read_class(node: &Node<'_>) -> Class {
    let deadline = node.time("deadline", 100 * MS..=HOUR).unwrap_or(9 * S);
    Class {
        name: node.name("the class's name"),
        share: node.number("share", 0.0..=1e6).unwrap_or(1.0),
        hold: node.time("hold", MS..=HOUR).unwrap_or(5 * S),
        aim: node.time("aim", MS..=HOUR).unwrap_or(2 * S),
        caller_timeout: node.time("gives-up", 100 * MS..=HOUR).unwrap_or(3 * S),
        worth: node.number("worth", 0.0..=1e6).unwrap_or(1.0),
        late_worth: node.number("late-worth", 0.0..=1.0).unwrap_or(0.2),
        deadline,
    }
}

/// Reads a list of process names separated by spaces.
fn read_participants(node: &Node<'_>, key: &'static str) -> Vec<Participant> {
    let text = node.required_text(key);
    let mut participants = Vec::new();
    for name in text.split_whitespace() {
        match name.parse() {
            Ok(participant) => participants.push(participant),
            Err(()) => {
                node.report(
                    format!("{key}: {name} is not a process name"),
                    Some("front0, server2 or list, separated by spaces"),
                );
            }
        }
    }
    participants
}

/// Reads a fault, or one fault per front if the fronts are given as a range: `fronts="0-6"`.
fn read_faults(node: &Node<'_>) -> Vec<ScheduledFault> {
    let Some(fault) = read_fault(node) else { return Vec::new() };
    let Some(range) = node.text("fronts") else { return vec![fault] };
    let fronts = range.split_once('-').and_then(|(a, b)| Some(a.parse::<usize>().ok()?..=b.parse().ok()?));
    let Some(fronts) = fronts.filter(|fronts| !fronts.is_empty() && *fronts.end() < MAX_FRONTS) else {
        node.report_at("fronts", "fronts must be a range of front numbers", Some("fronts=\"0-6\""));
        return Vec::new();
    };
    let for_front = |front: usize| {
        let kind = match fault.kind.clone() {
            FaultKind::Kill { back_after, start, .. } => FaultKind::Kill { front, back_after, start },
            FaultKind::Restart { back_after, start, .. } => FaultKind::Restart { front, back_after, start },
            FaultKind::Starve { of, .. } => FaultKind::Starve { front, of },
            FaultKind::Stall { .. } => FaultKind::Stall { front },
            FaultKind::Reconnect { .. } => FaultKind::Reconnect { front },
            FaultKind::Crashing { times, .. } => FaultKind::Crashing { front, times },
            other => {
                node.report_at("fronts", "this fault does not apply to fronts", None);
                other
            }
        };
        ScheduledFault { kind, ..fault.clone() }
    };
    fronts.map(for_front).collect()
}

/// Default limit on the open file descriptors of a front under a `descriptors` fault.
const DEFAULT_DESCRIPTORS: u64 = 24;

fn read_start(node: &Node<'_>) -> Start {
    let offset = |key| node.time(key, 0..=HOUR).unwrap_or(0).min(HOUR) as i64;
    Start {
        slow: node.time("slow", 0..=HOUR).unwrap_or(0),
        clock_off: offset("clock-ahead") - offset("clock-behind"),
    }
}

fn read_fault(node: &Node<'_>) -> Option<ScheduledFault> {
    let server = || node.integer("server", 0..=255).unwrap_or(0) as usize;
    let front = || node.integer("front", 0..=MAX_FRONTS as u64 - 1).unwrap_or(0) as usize;
    let back_after = || node.time("back-after", 0..=HOUR);
    let share = || node.number("share", 0.0..=1.0).unwrap_or(1.0);
    let factor = || node.number("factor", 0.0..=100.0).unwrap_or(2.0);
    let kind = match node.node.name().value() {
        "drain" => {
            let by = node.text("by").unwrap_or_else(|| "both".into());
            if !["list", "dpr", "both"].contains(&by.as_str()) {
                node.report_at("by", "by is none of list, dpr, both", None);
            }
            FaultKind::Drain {
                server: server(),
                by_list: by != "dpr",
                by_dpr: by != "list",
                back_after: back_after(),
            }
        }
        "die" => FaultKind::Die { server: server(), back_after: back_after() },
        "hang" => FaultKind::Hang { server: server() },
        "slow" => FaultKind::Slow { server: server(), factor: factor() },
        "pause" => FaultKind::Pause { server: server() },
        "lose-answers" => FaultKind::LoseAnswers { server: server(), share: share() },
        "cut" => FaultKind::Cut { share: share() },
        "link-down" => FaultKind::LinkDown { server: server() },
        "link-stalled" => FaultKind::LinkStalled { server: server() },
        "burst" => FaultKind::Burst { factor: factor() },
        "hot" => FaultKind::Hot { share: share() },
        "redials" => FaultKind::Redials {
            times: node.integer("times", 0..=100).unwrap_or(10) as u32,
            wait: node.time("wait", MS..=HOUR).unwrap_or(100 * MS),
        },
        "reconnect" => FaultKind::Reconnect { front: front() },
        "stall" => FaultKind::Stall { front: front() },
        "list-lag" => FaultKind::ListLag { lag: node.time("lag", 0..=HOUR).unwrap_or(10 * S) },
        "flood" => {
            let publisher = node.integer("publisher", 0..=255).unwrap_or(0) as usize;
            FaultKind::Flood { publisher, factor: factor() }
        }
        "messages-lost" => FaultKind::MessagesLost { share: share() },
        "kill" => FaultKind::Kill { front: front(), back_after: back_after(), start: read_start(node) },
        "restart" => FaultKind::Restart { front: front(), back_after: back_after(), start: read_start(node) },
        "descriptors" => {
            let most = node.integer("most", 8..=1_000_000).unwrap_or(DEFAULT_DESCRIPTORS);
            FaultKind::Starve { front: front(), of: ResourceLimit::Descriptors(most) }
        }
        "memory" => {
            let more = node.integer("more-kb", 0..=1 << 30).unwrap_or(0) << 10;
            FaultKind::Starve { front: front(), of: ResourceLimit::Memory(more) }
        }
        "crashing" => {
            FaultKind::Crashing { front: front(), times: node.integer("times", 1..=20).unwrap_or(3) as u32 }
        }
        "freeze" => FaultKind::Freeze { server: server() },
        "reset" => FaultKind::Reset { server: server() },
        "sever" => FaultKind::Sever {
            from: read_participants(node, "from"),
            to: read_participants(node, "to"),
            one_way: node.flag("one-way").unwrap_or(false),
        },
        other => {
            node.report(format!("unknown setting or fault {other}"), None);
            return None;
        }
    };
    let at = node.time("at", 0..=24 * HOUR);
    if at.is_none() && !node.has("at") {
        node.report("at is missing: the time at which the fault starts", Some("at=\"10s\""));
    }
    let duration = node.time("for", 0..=HOUR).unwrap_or(3 * S);
    Some(ScheduledFault { at: at.unwrap_or(0), duration, kind })
}
