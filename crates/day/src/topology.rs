//! The participants of a run: the configuration of the fronts, the servers and the callers of a scenario,
//! the same for all drivers.

use std::fmt::Write as _;
use std::net::SocketAddr;

use baydrift::interface::Report;
use baydrift_audit::{ClassConfig, ServerCapacity, SumLimits};
use baydrift_config::Config;
use baydrift_emulator::{CallerSpec, FarEndSpec, Flow, OfferedLoad, ProcessorSpec, ServerSpec, TextSpec};

use crate::error::ScenarioError;
use crate::scenario::{Bounds, Class, FaultKind, Scenario};

/// Token with which the list service authenticates at the fronts.
pub(crate) const LIST_SERVICE_TOKEN: &str = "list-service-of-the-day";
/// Connections that a front accepts from one client. More than one, so that a reconnecting client is not
/// refused while the front still holds its old connection.
const CLIENT_CONNECTIONS: usize = 4;

/// Listen addresses of a front, and the addresses of its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrontAddrs {
    /// Diameter clients.
    pub clients: SocketAddr,
    /// Pool lists.
    pub pool: SocketAddr,
    /// H.248 text clients.
    pub text: SocketAddr,
    /// Gossip between fronts.
    pub fleet: SocketAddr,
    /// Other fronts, by ordinal.
    pub peers: Vec<(u32, SocketAddr)>,
}

impl Default for FrontAddrs {
    /// Any free ports on 127.0.0.1.
    fn default() -> Self {
        Self::all_on(SocketAddr::from(([127, 0, 0, 1], 0)))
    }
}

impl FrontAddrs {
    fn all_on(addr: SocketAddr) -> Self {
        Self { clients: addr, pool: addr, text: addr, fleet: addr, peers: Vec::new() }
    }

    /// A loopback address of its own for each front of a driver, identified by its process id. On
    /// 127.0.0.1, where all other local connections originate, the port of a killed front could be taken
    /// before the front restarts.
    pub fn for_process(driver: u32, ordinal: u32) -> Self {
        let [high, low] = [driver / 250 % 250, driver % 250].map(|part| part as u8 + 1);
        Self::all_on(SocketAddr::from(([127, high, low, (ordinal % 250) as u8 + 2], 0)))
    }
}

/// The KDL configuration of one front of a scenario, with default addresses.
pub fn config_text(scenario: &Scenario, ordinal: u32, servers: &[SocketAddr], fleet: bool) -> String {
    config_text_at(scenario, ordinal, servers, fleet, &FrontAddrs::default())
}

/// Same as [`config_text`], with the given addresses.
pub fn config_text_at(
    scenario: &Scenario,
    ordinal: u32,
    servers: &[SocketAddr],
    fleet: bool,
    addrs: &FrontAddrs,
) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "front \"front{ordinal}.edge.test\" realm=\"edge.test\" {{\n    listen \"{}\"\n    serves \
         \"core.test\"\n    fronts {}\n    ordinal {ordinal}\n    seed {}\n    watchdog \"{}us\"\n    stop-within \
         \"2s\"\n}}",
        addrs.clients,
        scenario.fronts,
        scenario.seed * 1_000 + u64::from(ordinal),
        scenario.watchdog
    );
    let s = &scenario.servers;
    let _ = writeln!(
        text,
        "policy {{\n    cold-from {:.3}\n    ramp \"{}us\"\n    fall-multiple {:.3}\n    fall-time \"{}us\"{}\n}}",
        s.cold_from,
        s.warm_up_time,
        s.fall_multiple,
        s.fall_time,
        s.cold_rate.map_or(String::new(), |rate| format!("\n    cold-rate {rate:.3}"))
    );
    for class in &scenario.classes {
        let _ = writeln!(
            text,
            "class \"{0}\" {{\n    context \"{0}@day.test\"\n    worth {1:.3}\n    late-worth {2:.3}\n    aim \
             \"{3}us\"\n    deadline \"{4}us\"\n    gives-up \"{5}us\"\n}}",
            class.name, class.worth, class.late_worth, class.aim, class.deadline, class.caller_timeout
        );
    }
    for publisher in &scenario.publishers {
        let _ = writeln!(
            text,
            "publisher \"{0}\" quota={1:.3} {{\n    subscription \"{0}:\"\n}}",
            publisher.name, publisher.quota
        );
    }
    let _ =
        writeln!(text, "client \"callers{ordinal}.test\" realm=\"test\" connections={CLIENT_CONNECTIONS}");
    let _ = writeln!(text, "text udp=\"{}\"", addrs.text);
    for publisher in 0..scenario.publishers.len() {
        let _ = writeln!(text, "text-client \"{}\" realm=\"test\"", text_mid(ordinal, publisher));
    }
    if s.trunked > 0 {
        let _ = writeln!(text, "exchange point={}", front_point(ordinal));
    }
    for (number, addr) in servers.iter().enumerate() {
        let host = server_host(number);
        if number >= diameter_server_count(scenario) {
            let selection = if s.sequential { "sequential" } else { "opposite" };
            let _ = writeln!(
                text,
                "far-end \"{host}\" number={number} point={} connect=\"{addr}\" {{\n    group \"to {host}\" \
                 first={FIRST_CIRCUIT} circuits={} reserve={} selection=\"{selection}\"\n    incoming \
                 class=\"{}\" publisher=\"{}\"\n}}",
                far_point(number),
                s.circuits,
                s.reserve,
                scenario.classes.first().map_or("", |c| &c.name),
                scenario.publishers.first().map_or("", |p| &p.name),
            );
            continue;
        }
        let _ = writeln!(text, "server \"{host}\" realm=\"core.test\" number={number} addr=\"{addr}\"");
    }
    let _ = writeln!(text, "pool listen=\"{}\" token=\"{LIST_SERVICE_TOKEN}\"", addrs.pool);
    if fleet {
        // Flags are written only if set, since an older build may read the same configuration (--fronts-by).
        let flag = |set, text| if set { text } else { "" };
        let lends = flag(s.budget_leases, " lends=#true");
        let lives = flag(s.membership, " lives=#true");
        let _ = writeln!(text, "fleet bind=\"{}\"{lends}{lives} {{", addrs.fleet);
        for (peer, addr) in &addrs.peers {
            let _ = writeln!(text, "    front ordinal={peer} addr=\"{addr}\"");
        }
        text.push_str("}\n");
    }
    text
}

/// Identification code of the first circuit of each group.
const FIRST_CIRCUIT: u16 = 1;

/// Number of servers that are reached over Diameter. The others, which follow them in the list, are reached
/// over trunk groups.
pub(crate) fn diameter_server_count(scenario: &Scenario) -> usize {
    scenario.servers.rates.len() - scenario.servers.trunked
}

fn front_point(ordinal: u32) -> u32 {
    1_000 + ordinal
}

/// Point code of a far end. Every other far end has a higher point code than the fronts, and therefore
/// controls the even circuits.
fn far_point(number: usize) -> u32 {
    if number % 2 == 0 {
        500 + number as u32
    } else {
        2_000 + number as u32
    }
}

/// Specifications of the far ends of the trunk groups.
pub(crate) fn far_end_specs(scenario: &Scenario) -> Vec<FarEndSpec> {
    let s = &scenario.servers;
    let share = 1.0 / (s.trunked.max(1) as f64 * f64::from(scenario.fronts));
    let class = scenario.classes.first();
    let spec = |number: usize| FarEndSpec {
        number: number as u16,
        host: server_host(number),
        point_code: far_point(number),
        fronts: (0..scenario.fronts).map(|ordinal| (front_point(ordinal), ordinal)).collect(),
        first_cic: FIRST_CIRCUIT,
        circuits: s.circuits,
        processor: server_spec(scenario, number).processor,
        calls_per_second: s.incoming * share,
        mean_hold: class.map_or(0, |c| c.hold),
        caller_timeout: class.map_or(0, |c| c.caller_timeout),
        flow: (0, 0),
    };
    (diameter_server_count(scenario)..s.rates.len()).map(spec).collect()
}

pub(crate) fn text_mid(ordinal: u32, publisher: usize) -> String {
    format!("<p{publisher}.text{ordinal}.test>")
}

pub(crate) fn server_host(number: usize) -> String {
    format!("s{number}.core.test")
}

/// The parsed configuration of one front.
pub(crate) fn front_config(
    scenario: &Scenario,
    ordinal: u32,
    servers: &[SocketAddr],
) -> Result<Config, ScenarioError> {
    let text = config_text(scenario, ordinal, servers, scenario.fronts > 1);
    baydrift_config::parse("front.kdl", &text).map_err(|error| {
        let problems: Vec<_> = error.problems.iter().map(ToString::to_string).collect();
        ScenarioError::Config(Box::new(error), problems.join("; "))
    })
}

/// Servers that are reached through a relay, because their link has a delay or a scheduled fault.
pub(crate) fn linked_servers(scenario: &Scenario) -> std::collections::BTreeSet<usize> {
    let delayed = (scenario.servers.link_delay > 0).then_some(0..scenario.servers.rates.len());
    let faulty = scenario.faults.iter().filter_map(|fault| match fault.kind {
        FaultKind::LinkDown { server } | FaultKind::LinkStalled { server } => Some(server),
        _ => None,
    });
    faulty.chain(delayed.into_iter().flatten()).collect()
}

/// The load that callers offer while no fault changes it.
pub(crate) fn normal_load(scenario: &Scenario) -> OfferedLoad {
    OfferedLoad {
        redials: scenario.redials,
        redial_wait: scenario.redial_wait,
        retransmit_share: scenario.retransmit_share,
        honours_overload_notices: scenario.honours_overload_notices,
        ..OfferedLoad::default()
    }
}

/// The Diameter callers of a front, and their seed.
pub(crate) fn diameter_callers(scenario: &Scenario, ordinal: u32) -> (CallerSpec, u64) {
    let spec = caller_spec(scenario, ordinal);
    let flows = scale_flows(&spec.flows, 1.0 - scenario.text_share);
    (CallerSpec { flows, ..spec }, scenario.seed * 10_000 + u64::from(ordinal))
}

/// The text callers of a front, one client per publisher, and their seeds.
pub(crate) fn text_caller_specs(scenario: &Scenario, ordinal: u32) -> Vec<(TextSpec, u64)> {
    let spec = caller_spec(scenario, ordinal);
    let publishers = if scenario.text_share > 0.0 { scenario.publishers.len() } else { 0 };
    let seed = scenario.seed * 10_000 + u64::from(ordinal) + 5_000;
    let client = |publisher: usize| {
        let mut flows = scale_flows(&spec.flows, scenario.text_share);
        flows.retain(|flow| flow.publisher == publisher);
        let (mid, servers) = (text_mid(ordinal, publisher), spec.servers.clone());
        (TextSpec { mid, front: ordinal, servers, flows }, seed + 100 * publisher as u64)
    };
    (0..publishers).map(client).collect()
}

/// Class parameters of the service figures.
pub(crate) fn class_configs(scenario: &Scenario) -> Vec<ClassConfig> {
    let config = |c: &Class| ClassConfig {
        name: c.name.clone(),
        worth: c.worth,
        late_worth: c.late_worth,
        aim: c.aim,
        hot_worth: 0.1,
    };
    scenario.classes.iter().map(config).collect()
}

/// Limits on the totals over all fronts.
pub(crate) fn sum_limits(scenario: &Scenario) -> SumLimits {
    let s = &scenario.servers;
    let capacity = |rate: &f64| ServerCapacity {
        rate: *rate,
        cold_from: s.cold_from,
        ramp: s.warm_up_time,
        fall_multiple: s.fall_multiple,
        fall_time: s.fall_time,
    };
    let Bounds { open, opened, attempts, gossip_rate, overshoot, back_within, cold_rate } = scenario.bounds;
    let servers = s.rates.iter().map(capacity).collect();
    SumLimits {
        servers,
        fronts: scenario.fronts,
        open,
        opened,
        attempts,
        gossip_rate,
        overshoot,
        back_within,
        cold_rate,
    }
}

/// Returns the flows with their rates multiplied by `share`.
pub(crate) fn scale_flows(flows: &[Flow], share: f64) -> Vec<Flow> {
    flows.iter().map(|flow| Flow { rate: flow.rate * share, ..flow.clone() }).collect()
}

pub(crate) fn server_spec(scenario: &Scenario, number: usize) -> ServerSpec {
    let s = &scenario.servers;
    let has = |name: &str| s.reported_values.iter().any(|value| value == name);
    // One function per combination, since the reported values are fixed for a run.
    let report_filter: fn(Report) -> Report = match (has("wait"), has("busy"), has("rate"), has("queue")) {
        (true, ..) => |r| Report { wait_s: r.wait_s, ..Report::default() },
        (_, true, _, true) => |r| Report { busy: r.busy, queue: r.queue, ..Report::default() },
        (_, true, ..) => |r| Report { busy: r.busy, ..Report::default() },
        (_, _, true, true) => |r| Report { rate: r.rate, queue: r.queue, ..Report::default() },
        (_, _, true, _) => |r| Report { rate: r.rate, ..Report::default() },
        (_, _, _, true) => |r| Report { queue: r.queue, ..Report::default() },
        _ => |_| Report::default(),
    };
    ServerSpec {
        host: server_host(number),
        realm: "core.test".into(),
        number: number as u16,
        processor: ProcessorSpec {
            rate: s.rates[number],
            release_work: s.release,
            rejection_work: s.refusal,
            max_wait: s.max_wait,
            cold_from: s.cold_from,
            warm_up_time: s.warm_up_time,
            fall_multiple: s.fall_multiple,
            fall_time: s.fall_time,
        },
        report_period: s.report_period,
        report_delay: s.report_delay,
        report_noise: s.report_noise,
        reported_values: report_filter,
        max_connections: 1_024,
        watchdog: scenario.watchdog * 4,
        fronts: (0..scenario.fronts).map(|ordinal| (format!("front{ordinal}.edge.test"), ordinal)).collect(),
    }
}

pub(crate) fn caller_spec(scenario: &Scenario, ordinal: u32) -> CallerSpec {
    let total = |sum: f64| if sum > 0.0 { sum } else { 1.0 };
    let classes = total(scenario.classes.iter().map(|c| c.share).sum());
    let publishers = total(scenario.publishers.iter().map(|p| p.share).sum());
    let mut flows = Vec::new();
    for (class, c) in scenario.classes.iter().enumerate() {
        for (publisher, p) in scenario.publishers.iter().enumerate() {
            let share = c.share / classes * p.share / publishers / f64::from(scenario.fronts);
            flows.push(Flow {
                class,
                publisher,
                context: format!("{}@day.test", c.name),
                subscription: format!("{}:caller", p.name),
                rate: scenario.calls_per_s * share,
                hold: c.hold,
                caller_timeout: c.caller_timeout,
            });
        }
    }
    CallerSpec {
        host: format!("callers{ordinal}.test"),
        realm: "test".into(),
        front: (ordinal, format!("front{ordinal}.edge.test"), "edge.test".into()),
        destination_realm: "core.test".into(),
        // The first choice of calls is weighted by the rate of the servers, as in planned routes.
        servers: scenario
            .servers
            .rates
            .iter()
            .enumerate()
            .map(|(number, rate)| (server_host(number), *rate))
            .collect(),
        flows,
        watchdog: scenario.watchdog * 4,
    }
}
