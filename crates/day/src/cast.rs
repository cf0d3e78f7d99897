//! Who plays: the fronts' configuration, servers and callers of a day, the same on sockets and in virtual time.

use std::fmt::Write as _;
use std::net::SocketAddr;

use baydrift::interface::Report;
use baydrift_audit::{ClassConfig, ServerCapacity, SumLimits};
use baydrift_config::Config;
use baydrift_emulator::{CallerSpec, FarEndSpec, Flow, Offers, ProcessorSpec, ServerSpec, TextSpec};

use crate::error::DayError;
use crate::script::{Bounds, Day, What};

/// The list service's word at the fronts.
pub(crate) const TOKEN: &str = "list-service-of-the-day";
/// More than one so that a reconnecting client never meets its own ghost.
const CONNECTIONS: usize = 4;

/// Where a front listens, and the other fronts as it finds them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Places {
    /// Clients.
    pub clients: SocketAddr,
    /// The pool list.
    pub pool: SocketAddr,
    /// Text clients.
    pub text: SocketAddr,
    /// Messages between fronts.
    pub fleet: SocketAddr,
    /// Other fronts.
    pub others: Vec<(u32, SocketAddr)>,
}

impl Default for Places {
    /// On loopback, wherever there is room.
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::on(any)
    }
}

impl Places {
    fn on(any: SocketAddr) -> Self {
        Self { clients: any, pool: any, text: any, fleet: any, others: Vec::new() }
    }

    /// An address of the loopback range for each front of a driver. Guards against a port that is another's by the time
    /// at which a killed front is back: 127.0.0.1 is where connections of everything on the machine begin.
    pub fn of_process(driver: u32, ordinal: u32) -> Self {
        let [high, low] = [driver / 250 % 250, driver % 250].map(|part| part as u8 + 1);
        Self::on(SocketAddr::from(([127, high, low, (ordinal % 250) as u8 + 2], 0)))
    }
}

/// The configuration of one front of a day, as an operator would write it.
pub fn config_text(day: &Day, ordinal: u32, servers: &[SocketAddr], fleet: bool) -> String {
    config_text_at(day, ordinal, servers, fleet, &Places::default())
}

/// As [`config_text`], at chosen places.
pub fn config_text_at(
    day: &Day,
    ordinal: u32,
    servers: &[SocketAddr],
    fleet: bool,
    places: &Places,
) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "front \"front{ordinal}.edge.test\" realm=\"edge.test\" {{\n    listen \"{}\"\n    serves \
         \"core.test\"\n    fronts {}\n    ordinal {ordinal}\n    seed {}\n    watchdog \"{}us\"\n    stop-within \
         \"2s\"\n}}",
        places.clients,
        day.fronts,
        day.seed * 1_000 + u64::from(ordinal),
        day.watchdog
    );
    let s = &day.servers;
    let _ = writeln!(
        text,
        "policy {{\n    cold-from {:.3}\n    ramp \"{}us\"\n    fall-multiple {:.3}\n    fall-time \"{}us\"{}\n}}",
        s.cold_from,
        s.ramp,
        s.fall_multiple,
        s.fall_time,
        s.cold_rate.map_or(String::new(), |rate| format!("\n    cold-rate {rate:.3}"))
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
    let _ = writeln!(text, "text udp=\"{}\"", places.text);
    for publisher in 0..day.publishers.len() {
        let _ = writeln!(text, "text-client \"{}\" realm=\"test\"", text_mid(ordinal, publisher));
    }
    if s.trunked > 0 {
        let _ = writeln!(text, "exchange point={}", front_point(ordinal));
    }
    for (number, addr) in servers.iter().enumerate() {
        let host = host_of(number);
        if number >= sessions(day) {
            let selection = if s.sequential { "sequential" } else { "opposite" };
            let _ = writeln!(
                text,
                "far-end \"{host}\" number={number} point={} connect=\"{addr}\" {{\n    group \"to {host}\" \
                 first={FIRST_CIRCUIT} circuits={} reserve={} selection=\"{selection}\"\n    incoming \
                 class=\"{}\" publisher=\"{}\"\n}}",
                far_point(number),
                s.circuits,
                s.reserve,
                day.classes.first().map_or("", |c| &c.name),
                day.publishers.first().map_or("", |p| &p.name),
            );
            continue;
        }
        let _ = writeln!(text, "server \"{host}\" realm=\"core.test\" number={number} addr=\"{addr}\"");
    }
    let _ = writeln!(text, "pool listen=\"{}\" token=\"{TOKEN}\"", places.pool);
    if fleet {
        // Said only where it is so: an older build reads the same configuration (--fronts-by).
        let said = |so, what| if so { what } else { "" };
        let (lends, lives) =
            (said(day.servers.lends, " lends=#true"), said(day.servers.lives, " lives=#true"));
        let _ = writeln!(text, "fleet bind=\"{}\"{lends}{lives} {{", places.fleet);
        for (other, addr) in &places.others {
            let _ = writeln!(text, "    front ordinal={other} addr=\"{addr}\"");
        }
        text.push_str("}\n");
    }
    text
}

/// Circuits have their codes from this one on.
const FIRST_CIRCUIT: u16 = 1;

/// Servers that are reached by Diameter; the others, which come after them, over trunk groups.
pub(crate) fn sessions(day: &Day) -> usize {
    day.servers.rates.len() - day.servers.trunked
}

fn front_point(ordinal: u32) -> u32 {
    1_000 + ordinal
}

/// Every other far end has the higher point code, and with it the even circuits.
fn far_point(number: usize) -> u32 {
    if number % 2 == 0 {
        500 + number as u32
    } else {
        2_000 + number as u32
    }
}

/// The far ends of a day.
pub(crate) fn far_ends(day: &Day) -> Vec<FarEndSpec> {
    let s = &day.servers;
    let share = 1.0 / (s.trunked.max(1) as f64 * f64::from(day.fronts));
    let class = day.classes.first();
    let of = |number: usize| FarEndSpec {
        number: number as u16,
        host: host_of(number),
        point_code: far_point(number),
        fronts: (0..day.fronts).map(|ordinal| (front_point(ordinal), ordinal)).collect(),
        first_cic: FIRST_CIRCUIT,
        circuits: s.circuits,
        processor: server_spec(day, number).processor,
        calls_per_second: s.incoming * share,
        mean_hold: class.map_or(0, |c| c.hold),
        caller_timeout: class.map_or(0, |c| c.gives_up),
        flow: (0, 0),
    };
    (sessions(day)..s.rates.len()).map(of).collect()
}

pub(crate) fn text_mid(ordinal: u32, publisher: usize) -> String {
    format!("<p{publisher}.text{ordinal}.test>")
}

pub(crate) fn host_of(number: usize) -> String {
    format!("s{number}.core.test")
}

/// One front's configuration, checked.
pub(crate) fn config_of(day: &Day, ordinal: u32, servers: &[SocketAddr]) -> Result<Config, DayError> {
    let text = config_text(day, ordinal, servers, day.fronts > 1);
    baydrift_config::parse("front.kdl", &text).map_err(|error| {
        let all: Vec<_> = error.problems.iter().map(ToString::to_string).collect();
        DayError::Config(Box::new(error), all.join("; "))
    })
}

/// Servers that are reached over a link with faults.
pub(crate) fn linked(day: &Day) -> std::collections::BTreeSet<usize> {
    let delayed = (day.servers.link_delay > 0).then_some(0..day.servers.rates.len());
    let named = day.troubles.iter().filter_map(|t| match t.what {
        What::LinkDown { server } | What::LinkStalled { server } => Some(server),
        _ => None,
    });
    named.chain(delayed.into_iter().flatten()).collect()
}

/// What callers offer when there is no trouble.
pub(crate) fn usual(day: &Day) -> Offers {
    Offers {
        redials: day.redials,
        redial_wait: day.redial_wait,
        again: day.again,
        heeds: day.heeds,
        ..Offers::default()
    }
}

/// The Diameter callers of a front, and their seed.
pub(crate) fn callers(day: &Day, ordinal: u32) -> (CallerSpec, u64) {
    let spec = caller_spec(day, ordinal);
    let flows = scaled(&spec.flows, 1.0 - day.text);
    (CallerSpec { flows, ..spec }, day.seed * 10_000 + u64::from(ordinal))
}

/// The text callers of a front, one client a publisher, and their seeds.
pub(crate) fn texts(day: &Day, ordinal: u32) -> Vec<(TextSpec, u64)> {
    let spec = caller_spec(day, ordinal);
    let publishers = if day.text > 0.0 { day.publishers.len() } else { 0 };
    let seed = day.seed * 10_000 + u64::from(ordinal) + 5_000;
    let of = |publisher: usize| {
        let mut flows = scaled(&spec.flows, day.text);
        flows.retain(|flow| flow.publisher == publisher);
        let (mid, servers) = (text_mid(ordinal, publisher), spec.servers.clone());
        (TextSpec { mid, front: ordinal, servers, flows }, seed + 100 * publisher as u64)
    };
    (0..publishers).map(of).collect()
}

/// What calls are worth.
pub(crate) fn class_terms(day: &Day) -> Vec<ClassConfig> {
    let of = |c: &crate::script::Class| ClassConfig {
        name: c.name.clone(),
        worth: c.worth,
        late_worth: c.late_worth,
        aim: c.aim,
        hot_worth: 0.1,
    };
    day.classes.iter().map(of).collect()
}

/// What all fronts may do together.
pub(crate) fn sum_terms(day: &Day) -> SumLimits {
    let s = &day.servers;
    let of = |rate: &f64| ServerCapacity {
        rate: *rate,
        cold_from: s.cold_from,
        ramp: s.ramp,
        fall_multiple: s.fall_multiple,
        fall_time: s.fall_time,
    };
    let Bounds { open, opened, attempts, words, overshoot, back_within, cold_rate } = day.bounds;
    let servers = s.rates.iter().map(of).collect();
    SumLimits {
        servers,
        fronts: day.fronts,
        open,
        opened,
        attempts,
        gossip_rate: words,
        overshoot,
        back_within,
        cold_rate,
    }
}

/// The same flows at a share of their rates.
pub(crate) fn scaled(flows: &[Flow], share: f64) -> Vec<Flow> {
    flows.iter().map(|flow| Flow { rate: flow.rate * share, ..flow.clone() }).collect()
}

pub(crate) fn server_spec(day: &Day, number: usize) -> ServerSpec {
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

pub(crate) fn caller_spec(day: &Day, ordinal: u32) -> CallerSpec {
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
        front: (ordinal, format!("front{ordinal}.edge.test"), "edge.test".into()),
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
