//! The script of a day, in KDL.

use baydrift::interface::Micros;
use baydrift_config::{parse_document, ConfigError, Node, Problems};
use baydrift_emulator::NetworkPathSpec;
use serde::{Deserialize, Serialize};

use crate::error::DayError;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const HOUR: u64 = 3_600 * S;
/// Fronts of a day; as processes, what the machine carries.
const FRONTS_MOST: usize = 512;

/// Which policy fronts run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Policy {
    /// The decision module.
    Baydrift,
    /// Plain round robin.
    RoundRobin,
}

/// A whole day.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Day {
    /// Callers call for so long.
    pub seconds: f64,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// How many fronts.
    pub fronts: u32,
    /// Tw everywhere.
    pub watchdog: Micros,
    /// What fronts run.
    pub policy: Policy,
    /// What a pool list takes to reach fronts.
    pub list_lag: Micros,
    /// Calls a second, over all fronts.
    pub calls_per_s: f64,
    /// Redials of a caller.
    pub redials: u32,
    /// Mean wait before one.
    pub redial_wait: Micros,
    /// Share of set-ups said twice.
    pub again: f64,
    /// Share of calls that come as H.248 text; the rest by Diameter.
    pub text: f64,
    /// Share of datagrams of text that are lost, each way.
    pub datagrams_lost: f64,
    /// Whether text clients heed notices of overload.
    pub heeds: bool,
    /// What each way between processes does, troubles apart.
    pub net: NetworkPathSpec,
    /// Servers.
    pub servers: Servers,
    /// Classes.
    pub classes: Vec<Class>,
    /// Publishers.
    pub publishers: Vec<Publisher>,
    /// Bounds on what all fronts do together.
    pub bounds: Bounds,
    /// Troubles.
    pub troubles: Vec<Trouble>,
}

impl Day {
    /// Whether it can be played without processes of their own.
    pub(crate) fn without_processes(&self) -> Result<(), DayError> {
        match self.troubles.iter().find(|trouble| trouble.what.needs_processes()) {
            Some(trouble) => Err(DayError::NeedsProcesses(trouble.what.clone())),
            None => Ok(()),
        }
    }
}

/// Bounds on what all fronts do together; what has none is told and not judged.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Bounds {
    /// Connections that one server holds at once.
    pub open: Option<usize>,
    /// Connections opened to one server within any second.
    pub opened: Option<usize>,
    /// Set-ups for each first try.
    pub attempts: Option<f64>,
    /// Datagrams between fronts for each front within any second.
    pub words: Option<f64>,
    /// Set-ups at one server within any second, over what it can do.
    pub overshoot: Option<f64>,
    /// Set-ups that all fronts together may send to a cold server within any second.
    pub cold_rate: Option<f64>,
    /// Time after a fault until service is back.
    pub back_within: Option<Micros>,
}

/// All servers; `rates` has one entry for each.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Servers {
    /// Set-ups a second of each.
    pub rates: Vec<f64>,
    /// Work of a release, in set-ups.
    pub release: f64,
    /// Work of a refusal.
    pub refusal: f64,
    /// A set-up is refused once the wait passes this.
    pub most_wait: Micros,
    /// A cold one's fraction.
    pub cold_from: f64,
    /// Set-ups a second that all fronts together may send to a cold one, where fronts are told.
    pub cold_rate: Option<f64>,
    /// Fronts share that by lending.
    pub lends: bool,
    /// Fronts tell each other who lives.
    pub lives: bool,
    /// Warm after.
    pub ramp: Micros,
    /// Falls over at this multiple ...
    pub fall_multiple: f64,
    /// ... for so long.
    pub fall_time: Micros,
    /// Load is measured this often.
    pub report_period: Micros,
    /// Known so much later.
    pub report_delay: Micros,
    /// Off by up to this fraction.
    pub report_noise: f64,
    /// What is told: wait, busy, rate, queue.
    pub tells: Vec<String>,
    /// One-way delay of the links to them.
    pub link_delay: Micros,
    /// So many of them, the last ones, are reached over trunk groups.
    pub trunked: usize,
    /// Circuits from each front to each of those.
    pub circuits: u16,
    /// Of them, kept back for calls that come there first.
    pub reserve: u16,
    /// How fronts choose a circuit.
    pub sequential: bool,
    /// Calls a second that those offer to fronts, over all of them.
    pub incoming: f64,
}

/// A class of calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Share of calls.
    pub share: f64,
    /// Mean time that a call stands.
    pub hold: Micros,
    /// Wanted within.
    pub aim: Micros,
    /// Tried for so long.
    pub deadline: Micros,
    /// One try's patience.
    pub gives_up: Micros,
    /// Worth.
    pub worth: f64,
    /// Fraction of it when late.
    pub late_worth: f64,
}

/// A publisher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Publisher {
    /// Its name.
    pub name: String,
    /// Share of calls.
    pub share: f64,
    /// Calls a second that count in full.
    pub quota: f64,
}

/// A trouble and when it comes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Trouble {
    /// When.
    pub at: Micros,
    /// For how long, where that means something.
    pub span: Micros,
    /// What.
    pub what: What,
}

impl Trouble {
    /// Until all that it took away is there again, as far as the script says.
    pub fn lasts(&self) -> Micros {
        match &self.what {
            What::Drain { back_after, .. } => self.span + back_after.unwrap_or(0),
            What::Die { back_after, .. } => back_after.unwrap_or(0),
            What::Kill { back_after, start, .. } | What::Restart { back_after, start, .. } => {
                back_after.map_or(0, |back| back + start.slow)
            }
            What::Crashing { times, .. } => Micros::from(*times) * 500 * MS,
            What::Reset { .. } | What::Cut { .. } => 0,
            _ => self.span,
        }
    }
}

/// What is wrong with a front's next process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Start {
    /// It stands still for so long before it does anything.
    pub slow: Micros,
    /// Its wall clock is so many microseconds off.
    pub clock_off: i64,
}

/// What a process runs short of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Starved {
    /// File descriptors that it may hold, its own among them.
    Descriptors(u64),
    /// Bytes that it may take beyond those that it holds.
    Memory(u64),
}

/// Kinds of trouble.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum What {
    Drain {
        server: usize,
        by_list: bool,
        by_dpr: bool,
        back_after: Option<Micros>,
    },
    Die {
        server: usize,
        back_after: Option<Micros>,
    },
    Hang {
        server: usize,
    },
    Slow {
        server: usize,
        factor: f64,
    },
    Pause {
        server: usize,
    },
    LoseAnswers {
        server: usize,
        share: f64,
    },
    Cut {
        share: f64,
    },
    LinkDown {
        server: usize,
    },
    LinkStalled {
        server: usize,
    },
    Burst {
        factor: f64,
    },
    Hot {
        share: f64,
    },
    Redials {
        times: u32,
        wait: Micros,
    },
    Reconnect {
        front: usize,
    },
    Stall {
        front: usize,
    },
    ListLag {
        lag: Micros,
    },
    MessagesLost {
        share: f64,
    },
    Flood {
        publisher: usize,
        factor: f64,
    },
    /// SIGKILL; another process starts under the same name and addresses, where it is said when.
    Kill {
        front: usize,
        back_after: Option<Micros>,
        start: Start,
    },
    /// SIGTERM; another process starts once that one has ended.
    Restart {
        front: usize,
        back_after: Option<Micros>,
        start: Start,
    },
    /// A front's process runs short of something. One that ends of that has failed.
    Starve {
        front: usize,
        of: Starved,
    },
    /// A front that is killed so many times, each time soon after it served again.
    Crashing {
        front: usize,
        times: u32,
    },
    /// The whole process of a server stands still.
    Freeze {
        server: usize,
    },
    /// Nothing passes from these to those; nor back, unless it is one way only.
    Sever {
        from: Vec<Party>,
        to: Vec<Party>,
        one_way: bool,
    },
    /// All connections of a server are reset.
    Reset {
        server: usize,
    },
}

/// A process between which and others the net can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Party {
    /// A front, by its ordinal.
    Front(usize),
    /// A server, by its number.
    Server(usize),
    /// The list service.
    List,
}

impl std::str::FromStr for Party {
    type Err = ();

    /// `front0`, `server2` or `list`.
    fn from_str(text: &str) -> Result<Self, ()> {
        let number = |prefix: &str| text.strip_prefix(prefix)?.parse::<usize>().ok();
        let front = number("front").map(Self::Front);
        front.or(number("server").map(Self::Server)).or((text == "list").then_some(Self::List)).ok_or(())
    }
}

impl std::fmt::Display for Party {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Front(front) => write!(f, "front{front}"),
            Self::Server(server) => write!(f, "server{server}"),
            Self::List => f.write_str("list"),
        }
    }
}

/// Reads a script.
///
/// # Errors
/// All that is wrong, each with its place.
pub fn parse(name: &str, text: &str) -> Result<Day, ConfigError> {
    let (document, problems) = parse_document(name, text)?;
    let mut day = Day {
        seconds: 60.0,
        seed: 1,
        fronts: 1,
        watchdog: S,
        policy: Policy::Baydrift,
        list_lag: 2 * S,
        calls_per_s: 50.0,
        redials: 1,
        redial_wait: S,
        again: 0.0,
        text: 0.0,
        datagrams_lost: 0.0,
        heeds: false,
        net: NetworkPathSpec::default(),
        servers: Servers::default(),
        classes: Vec::new(),
        publishers: Vec::new(),
        bounds: Bounds::default(),
        troubles: Vec::new(),
    };
    for node in document.nodes() {
        let node = Node::new(node, &problems);
        match node.node.name().value() {
            "day" => read_day(&node, &mut day),
            "servers" => read_servers(&node, &mut day.servers),
            "calls" => read_calls(&node, &mut day),
            "net" => day.net = read_net(&node),
            "bounds" => day.bounds = read_bounds(&node),
            "class" => day.classes.push(read_class(&node)),
            "publisher" => day.publishers.push(Publisher {
                name: node.name("the publisher's name"),
                share: node.number("share", 0.0..=1e6).unwrap_or(1.0),
                quota: node.number("quota", 0.0..=1e9).unwrap_or(1e9),
            }),
            _ => day.troubles.extend(read_troubles(&node)),
        }
        node.reject_unknown_keys();
    }
    if day.classes.is_empty() || day.publishers.is_empty() {
        problems.add((0, 0).into(), "a day needs a class and a publisher", None);
    }
    known(&day, &day.troubles, &problems);
    problems.finish(name)?;
    day.troubles.sort_by_key(|trouble| trouble.at);
    Ok(day)
}

/// Reads a schedule by itself: troubles, and nothing else, for a day's fronts and servers.
///
/// # Errors
/// All that is wrong, each with its place.
pub fn parse_troubles(name: &str, text: &str, day: &Day) -> Result<Vec<Trouble>, ConfigError> {
    let (document, problems) = parse_document(name, text)?;
    let mut troubles = Vec::new();
    for node in document.nodes() {
        let node = Node::new(node, &problems);
        troubles.extend(read_troubles(&node));
        node.reject_unknown_keys();
    }
    known(day, &troubles, &problems);
    problems.finish(name)?;
    troubles.sort_by_key(|trouble| trouble.at);
    Ok(troubles)
}

/// Whatever a trouble names is there.
fn known(day: &Day, troubles: &[Trouble], problems: &Problems) {
    let (servers, fronts) = (day.servers.rates.len(), day.fronts as usize);
    for trouble in troubles {
        let out = |party: &Party| match party {
            Party::Front(front) => *front >= fronts,
            Party::Server(server) => *server >= servers,
            Party::List => false,
        };
        if trouble.what.names().iter().any(out) {
            let text = format!("a trouble at {} s names a server or front that is not there", trouble.at / S);
            problems.add((0, 0).into(), text, Some("both count from 0"));
        }
    }
}

impl What {
    /// The processes that a trouble names.
    pub fn names(&self) -> Vec<Party> {
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
            | Self::LinkStalled { server } => vec![Party::Server(*server)],
            Self::Reconnect { front }
            | Self::Stall { front }
            | Self::Kill { front, .. }
            | Self::Restart { front, .. }
            | Self::Starve { front, .. }
            | Self::Crashing { front, .. } => vec![Party::Front(*front)],
            Self::Sever { from, to, .. } => from.iter().chain(to).copied().collect(),
            _ => Vec::new(),
        }
    }

    /// Whether it is callers that change, and nothing fails.
    pub fn is_demand(&self) -> bool {
        matches!(
            self,
            Self::Burst { .. }
                | Self::Hot { .. }
                | Self::Flood { .. }
                | Self::Redials { .. }
                | Self::Reconnect { .. }
        )
    }

    /// Whether it needs processes of their own, or a net between them.
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
            most_wait: 2_500 * MS,
            cold_from: 0.35,
            cold_rate: None,
            lends: false,
            lives: false,
            ramp: 12 * S,
            fall_multiple: 2.0,
            fall_time: 1_500 * MS,
            report_period: 300 * MS,
            report_delay: 100 * MS,
            report_noise: 0.1,
            tells: vec!["wait".into()],
            link_delay: 0,
            trunked: 0,
            circuits: 30,
            reserve: 0,
            sequential: false,
            incoming: 0.0,
        }
    }
}

fn read_day(node: &Node<'_>, day: &mut Day) {
    day.seconds = node.number("seconds", 0.1..=86_400.0).unwrap_or(day.seconds);
    day.seed = node.integer("seed", 0..=u64::MAX).unwrap_or(day.seed);
    day.fronts = node.integer("fronts", 1..=FRONTS_MOST as u64).unwrap_or(1) as u32;
    day.watchdog = node.time("watchdog", 50 * MS..=HOUR).unwrap_or(day.watchdog);
    day.list_lag = node.time("list-lag", 0..=HOUR).unwrap_or(day.list_lag);
    match node.text("policy").as_deref() {
        None | Some("baydrift") => {}
        Some("round-robin") => day.policy = Policy::RoundRobin,
        Some(_) => node.report_at("policy", "policy is none of baydrift, round-robin", None),
    }
}

fn read_servers(node: &Node<'_>, servers: &mut Servers) {
    let rate = node.number("rate", 0.1..=1e6).unwrap_or(50.0);
    servers.rates = vec![rate; node.integer("count", 1..=256).unwrap_or(3) as usize];
    servers.release = node.number("release", 0.0..=10.0).unwrap_or(servers.release);
    servers.refusal = node.number("refusal", 0.0..=10.0).unwrap_or(servers.refusal);
    servers.cold_rate = node.number("cold-rate", 0.1..=1e6);
    servers.lends = node.flag("lends").unwrap_or(false);
    servers.lives = node.flag("lives").unwrap_or(false);
    if servers.lends && servers.cold_rate.is_none() {
        node.report_at("lends", "fronts lend of a cold-rate, which is missing", Some("cold-rate=28"));
    }
    servers.cold_from = node.number("cold-from", 0.01..=1.0).unwrap_or(servers.cold_from);
    servers.fall_multiple = node.number("fall-multiple", 0.1..=100.0).unwrap_or(servers.fall_multiple);
    servers.report_noise = node.number("report-noise", 0.0..=1.0).unwrap_or(servers.report_noise);
    let times = [
        ("most-wait", &mut servers.most_wait),
        ("ramp", &mut servers.ramp),
        ("fall-time", &mut servers.fall_time),
        ("report-period", &mut servers.report_period),
        ("report-delay", &mut servers.report_delay),
        ("link-delay", &mut servers.link_delay),
    ];
    for (key, to) in times {
        *to = node.time(key, 0..=HOUR).unwrap_or(*to);
    }
    servers.trunked = node.integer("trunked", 0..=servers.rates.len() as u64).unwrap_or(0) as usize;
    servers.circuits = node.integer("circuits", 1..=4_000).unwrap_or(u64::from(servers.circuits)) as u16;
    let most = u64::from(servers.circuits) - 1;
    servers.reserve = node.integer("reserve", 0..=most).unwrap_or(0) as u16;
    servers.sequential = node.flag("sequential").unwrap_or(false);
    servers.incoming = node.number("incoming", 0.0..=1e6).unwrap_or(0.0);
    if let Some(tells) = node.text("tells") {
        servers.tells = tells.split_whitespace().map(str::to_owned).collect();
        if let Some(other) =
            servers.tells.iter().find(|t| !["wait", "busy", "rate", "queue"].contains(&t.as_str()))
        {
            node.report_at("tells", format!("{other} is none of wait, busy, rate, queue"), None);
        }
    }
}

fn read_calls(node: &Node<'_>, day: &mut Day) {
    day.calls_per_s = node.number("per-second", 0.1..=1e6).unwrap_or(day.calls_per_s);
    day.redials = node.integer("redials", 0..=100).unwrap_or(u64::from(day.redials)) as u32;
    day.redial_wait = node.time("redial-wait", MS..=HOUR).unwrap_or(day.redial_wait);
    day.again = node.number("again", 0.0..=1.0).unwrap_or(day.again);
    day.text = node.number("text", 0.0..=1.0).unwrap_or(day.text);
    day.heeds = node.flag("heeds").unwrap_or(false);
    day.datagrams_lost = node.number("datagrams-lost", 0.0..=0.9).unwrap_or(day.datagrams_lost);
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
        words: number("datagrams-per-second"),
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
        gives_up: node.time("gives-up", 100 * MS..=HOUR).unwrap_or(3 * S),
        worth: node.number("worth", 0.0..=1e6).unwrap_or(1.0),
        late_worth: node.number("late-worth", 0.0..=1.0).unwrap_or(0.2),
        deadline,
    }
}

/// Processes by name, apart by blanks.
fn parties(node: &Node<'_>, key: &'static str) -> Vec<Party> {
    let text = node.required_text(key);
    let mut all = Vec::new();
    for word in text.split_whitespace() {
        match word.parse() {
            Ok(party) => all.push(party),
            Err(()) => {
                node.report(
                    format!("{key}: {word} is no process"),
                    Some("front0, server2 or list, apart by blanks"),
                );
            }
        }
    }
    all
}

/// A trouble; many, where fronts are named as a range: `fronts="0-6"`.
fn read_troubles(node: &Node<'_>) -> Vec<Trouble> {
    let Some(trouble) = read_trouble(node) else { return Vec::new() };
    let Some(range) = node.text("fronts") else { return vec![trouble] };
    let ends = range.split_once('-').and_then(|(a, b)| Some(a.parse::<usize>().ok()?..=b.parse().ok()?));
    let Some(fronts) = ends.filter(|fronts| !fronts.is_empty() && *fronts.end() < FRONTS_MOST) else {
        node.report_at("fronts", "fronts is no range", Some("fronts=\"0-6\""));
        return Vec::new();
    };
    let of = |front: usize| {
        let what = match trouble.what.clone() {
            What::Kill { back_after, start, .. } => What::Kill { front, back_after, start },
            What::Restart { back_after, start, .. } => What::Restart { front, back_after, start },
            What::Starve { of, .. } => What::Starve { front, of },
            What::Stall { .. } => What::Stall { front },
            What::Reconnect { .. } => What::Reconnect { front },
            What::Crashing { times, .. } => What::Crashing { front, times },
            other => {
                node.report_at("fronts", "this trouble is not of fronts", None);
                other
            }
        };
        Trouble { what, ..trouble.clone() }
    };
    fronts.map(of).collect()
}

/// Descriptors that a starved front may hold unless it is said.
const DESCRIPTORS: u64 = 24;

fn read_start(node: &Node<'_>) -> Start {
    let signed = |key| node.time(key, 0..=HOUR).unwrap_or(0).min(HOUR) as i64;
    Start {
        slow: node.time("slow", 0..=HOUR).unwrap_or(0),
        clock_off: signed("clock-ahead") - signed("clock-behind"),
    }
}

fn read_trouble(node: &Node<'_>) -> Option<Trouble> {
    let server = || node.integer("server", 0..=255).unwrap_or(0) as usize;
    let front = || node.integer("front", 0..=FRONTS_MOST as u64 - 1).unwrap_or(0) as usize;
    let back_after = || node.time("back-after", 0..=HOUR);
    let share = || node.number("share", 0.0..=1.0).unwrap_or(1.0);
    let factor = || node.number("factor", 0.0..=100.0).unwrap_or(2.0);
    let what = match node.node.name().value() {
        "drain" => {
            let by = node.text("by").unwrap_or_else(|| "both".into());
            if !["list", "dpr", "both"].contains(&by.as_str()) {
                node.report_at("by", "by is none of list, dpr, both", None);
            }
            What::Drain {
                server: server(),
                by_list: by != "dpr",
                by_dpr: by != "list",
                back_after: back_after(),
            }
        }
        "die" => What::Die { server: server(), back_after: back_after() },
        "hang" => What::Hang { server: server() },
        "slow" => What::Slow { server: server(), factor: factor() },
        "pause" => What::Pause { server: server() },
        "lose-answers" => What::LoseAnswers { server: server(), share: share() },
        "cut" => What::Cut { share: share() },
        "link-down" => What::LinkDown { server: server() },
        "link-stalled" => What::LinkStalled { server: server() },
        "burst" => What::Burst { factor: factor() },
        "hot" => What::Hot { share: share() },
        "redials" => What::Redials {
            times: node.integer("times", 0..=100).unwrap_or(10) as u32,
            wait: node.time("wait", MS..=HOUR).unwrap_or(100 * MS),
        },
        "reconnect" => What::Reconnect { front: front() },
        "stall" => What::Stall { front: front() },
        "list-lag" => What::ListLag { lag: node.time("lag", 0..=HOUR).unwrap_or(10 * S) },
        "flood" => {
            let publisher = node.integer("publisher", 0..=255).unwrap_or(0) as usize;
            What::Flood { publisher, factor: factor() }
        }
        "messages-lost" => What::MessagesLost { share: share() },
        "kill" => What::Kill { front: front(), back_after: back_after(), start: read_start(node) },
        "restart" => What::Restart { front: front(), back_after: back_after(), start: read_start(node) },
        "descriptors" => {
            let most = node.integer("most", 8..=1_000_000).unwrap_or(DESCRIPTORS);
            What::Starve { front: front(), of: Starved::Descriptors(most) }
        }
        "memory" => {
            let more = node.integer("more-kb", 0..=1 << 30).unwrap_or(0) << 10;
            What::Starve { front: front(), of: Starved::Memory(more) }
        }
        "crashing" => {
            What::Crashing { front: front(), times: node.integer("times", 1..=20).unwrap_or(3) as u32 }
        }
        "freeze" => What::Freeze { server: server() },
        "reset" => What::Reset { server: server() },
        "sever" => What::Sever {
            from: parties(node, "from"),
            to: parties(node, "to"),
            one_way: node.flag("one-way").unwrap_or(false),
        },
        other => {
            node.report(format!("no trouble or setting is called {other}"), None);
            return None;
        }
    };
    let at = node.time("at", 0..=24 * HOUR);
    if at.is_none() && !node.has("at") {
        node.report("when? at is missing", Some("at=\"10s\""));
    }
    Some(Trouble { at: at.unwrap_or(0), span: node.time("for", 0..=HOUR).unwrap_or(3 * S), what })
}
