//! Reads a KDL document into a [`Config`].

use baydrift::interface::{Class, Repeat, ReportPath, ServerState, Settings};
use baydrift_call::Limits;
use kdl::KdlDocument;

use crate::check::check;
use crate::reader::{parse_document, ConfigError, Node, Problems};
use crate::trunk::{exchange, far_end};
use crate::{ClassEntry, Client, Config, Fleet, LinkLimits, Pool, Publisher, Server, Text, TextClient};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const HOUR: u64 = 3_600 * S;

/// Names of top-level nodes.
const TOP_LEVEL_NODES: [&str; 14] = [
    "front",
    "limits",
    "policy",
    "class",
    "publisher",
    "client",
    "server",
    "pool",
    "fleet",
    "text",
    "text-client",
    "exchange",
    "far-end",
    "admin",
];

/// Reads and checks a front's configuration; `name` is the file name for error messages.
///
/// # Errors
/// All problems found, each with its line and column.
pub fn parse(name: &str, text: &str) -> Result<Config, ConfigError> {
    let (document, problems) = parse_document(name, text)?;
    for node in document.nodes() {
        if !TOP_LEVEL_NODES.contains(&node.name().value()) {
            let hint = format!("known here: {}", TOP_LEVEL_NODES.join(", "));
            problems.add(
                node.name().span(),
                format!("no setting is called {}", node.name().value()),
                Some(&hint),
            );
        }
    }
    let config = read(&document, &problems);
    problems.finish(name)?;
    config.ok_or_else(|| {
        let problems = Problems::new(text);
        problems.add(
            (0, 0).into(),
            "front is missing",
            Some("front \"front1.example\" realm=\"example\" { ... }"),
        );
        problems.finish(name).expect_err("a problem was added")
    })
}

/// All top-level nodes with this name.
fn all_nodes<'a>(document: &'a KdlDocument, problems: &Problems, name: &str) -> Vec<Node<'a>> {
    let nodes = document.nodes().iter().filter(|node| node.name().value() == name);
    nodes.map(|node| Node::new(node, problems)).collect()
}

/// The top-level node with this name; reports further ones as problems.
fn single_node<'a>(document: &'a KdlDocument, problems: &Problems, name: &str) -> Option<Node<'a>> {
    let mut nodes = all_nodes(document, problems, name);
    for duplicate in nodes.drain(1.min(nodes.len())..) {
        duplicate.report(format!("{name} is defined more than once"), Some("keep one of them"));
    }
    nodes.pop()
}

fn read(document: &KdlDocument, problems: &Problems) -> Option<Config> {
    let classes: Vec<_> = all_nodes(document, problems, "class").into_iter().map(class).collect();
    let publishers: Vec<_> = all_nodes(document, problems, "publisher").into_iter().map(publisher).collect();
    let (limits, links) = limits(single_node(document, problems, "limits"));
    let point = single_node(document, problems, "exchange").map(exchange);
    let far_ends = all_nodes(document, problems, "far-end").into_iter();
    let far_ends = far_ends.map(|node| far_end(node, point.unwrap_or(0), &classes, &publishers)).collect();
    let front = single_node(document, problems, "front")?;
    let policy = single_node(document, problems, "policy");
    let (settings, drain_grace, cold_rate) = settings(&front, policy, &classes, &publishers);
    let config = Config {
        host: front.name("its Origin-Host"),
        realm: front.required_text("realm"),
        listen: front.required_addr("listen"),
        served_realms: front.texts("serves"),
        watchdog: front.time("watchdog", 50 * MS..=HOUR).unwrap_or(6 * S),
        shutdown_timeout: front.time("stop-within", 0..=HOUR).unwrap_or(5 * S),
        seed: front.integer("seed", 0..=u64::MAX),
        limits: Limits { drain_grace, cold_rate, ..limits },
        links,
        clients: all_nodes(document, problems, "client").into_iter().map(client).collect(),
        text: single_node(document, problems, "text").map(text),
        text_clients: all_nodes(document, problems, "text-client").into_iter().map(text_client).collect(),
        servers: all_nodes(document, problems, "server").into_iter().map(server).collect(),
        point,
        far_ends,
        admin: single_node(document, problems, "admin").map(admin),
        pool: single_node(document, problems, "pool").map(pool),
        fleet: single_node(document, problems, "fleet").map(fleet),
        classes,
        publishers,
        settings,
    };
    check(document, problems, &front, &config);
    front.reject_unknown_keys();
    Some(config)
}

fn class(node: Node<'_>) -> ClassEntry {
    let repeat = match node.text("repeat").as_deref() {
        None | Some("safe") => Repeat::Safe,
        Some("never") => Repeat::Never,
        Some("within") => Repeat::Within(node.time("repeat-window", MS..=HOUR).unwrap_or(5 * S)),
        Some(_) => {
            node.report_at("repeat", "repeat is none of safe, within, never", None);
            Repeat::Never
        }
    };
    let servers: Vec<u16> = node
        .children("servers")
        .iter()
        .flat_map(|n| n.node.entries().iter().map(move |e| (n, e)))
        .filter_map(|(n, e)| {
            let number = e.value().as_integer().and_then(|v| u16::try_from(v).ok());
            if number.is_none() {
                n.report("servers wants server numbers", None);
            }
            number
        })
        .collect();
    let deadline = node.time("deadline", 100 * MS..=HOUR).unwrap_or(9 * S);
    let entry = ClassEntry {
        name: node.name("the class's name"),
        contexts: node.texts("context"),
        caller_timeout: node.time("gives-up", 100 * MS..=HOUR).unwrap_or(deadline),
        class: Class {
            worth: node.number("worth", 0.0..=1e6).unwrap_or(1.0),
            late_worth: node.number("late-worth", 0.0..=1.0).unwrap_or(0.0),
            aim: node.time("aim", 10 * MS..=HOUR).unwrap_or(2 * S),
            deadline,
            repeat,
            servers: (!servers.is_empty()).then_some(servers),
        },
    };
    if entry.contexts.is_empty() {
        node.report(
            "class lacks context",
            Some("context \"name@realm\": the Service-Context-Id of its calls"),
        );
    }
    node.reject_unknown_keys();
    entry
}

fn publisher(node: Node<'_>) -> Publisher {
    let publisher = Publisher {
        name: node.name("the publisher's name"),
        quota: node.number("quota", 0.0..=1e9).unwrap_or(f64::MAX),
        realms: node.texts("realm"),
        subscriptions: node.texts("subscription"),
    };
    if publisher.realms.is_empty() && publisher.subscriptions.is_empty() {
        node.report("publisher has neither realm nor subscription", Some("no call would belong to it"));
    }
    node.reject_unknown_keys();
    publisher
}

fn client(node: Node<'_>) -> Client {
    let client = Client {
        host: node.name("its Origin-Host"),
        realm: node.required_text("realm"),
        connections: node.integer("connections", 1..=10_000).unwrap_or(2) as usize,
        relay: node.flag("relay").unwrap_or(false),
    };
    node.reject_unknown_keys();
    client
}

fn text(node: Node<'_>) -> Text {
    let text = Text { udp: node.required_addr("udp"), tcp: node.addr("tcp") };
    node.reject_unknown_keys();
    text
}

fn text_client(node: Node<'_>) -> TextClient {
    let client = TextClient { mid: node.name("its MId"), realm: node.required_text("realm") };
    node.reject_unknown_keys();
    client
}

fn admin(node: Node<'_>) -> std::path::PathBuf {
    let path = node.required_text("socket");
    // The path of a Unix socket is limited by the operating system (108 octets with the final NUL on Linux).
    if path.len() > 100 {
        node.report_at("socket", "a socket's path has at most 100 octets", None);
    }
    node.reject_unknown_keys();
    path.into()
}

pub(crate) fn state(node: &Node<'_>) -> ServerState {
    match node.text("state").as_deref() {
        None | Some("ready") => ServerState::Ready,
        Some("draining") => ServerState::Draining,
        Some("gone") => ServerState::Gone,
        Some(_) => {
            node.report_at("state", "state is none of ready, draining, gone", None);
            ServerState::Gone
        }
    }
}

fn server(node: Node<'_>) -> Server {
    let server = Server {
        host: node.name("its Origin-Host"),
        realm: node.required_text("realm"),
        number: node.required_integer("number", 0..=65_535) as u16,
        addr: node.required_addr("addr"),
        state: state(&node),
    };
    node.reject_unknown_keys();
    server
}

fn pool(node: Node<'_>) -> Pool {
    let pool = Pool { listen: node.required_addr("listen"), token: node.required_text("token") };
    node.reject_unknown_keys();
    pool
}

fn fleet(node: Node<'_>) -> Fleet {
    let fronts = node.children("front").into_iter().map(|child| {
        let entry = (child.required_integer("ordinal", 0..=99_999) as u32, child.required_addr("addr"));
        child.reject_unknown_keys();
        entry
    });
    let budget_leases = node.flag("lends").unwrap_or(false);
    let membership = node.flag("lives").unwrap_or(false);
    let fleet =
        Fleet { fronts: fronts.collect(), bind: node.required_addr("bind"), budget_leases, membership };
    node.reject_unknown_keys();
    fleet
}

fn limits(node: Option<Node<'_>>) -> (Limits, LinkLimits) {
    let mut limits = Limits::default();
    let mut links = LinkLimits {
        connections: 1_024,
        half_open: 64,
        handshake: 5 * S,
        message_bytes: 64 * 1024,
        queue: 8_192,
        write: 5 * S,
    };
    let Some(node) = node else { return (limits, links) };
    let set_count = |target: &mut usize, key, range| {
        if let Some(value) = node.integer(key, range) {
            *target = value as usize;
        }
    };
    set_count(&mut limits.calls, "calls", 1..=10_000_000);
    set_count(&mut limits.in_set_up_per_link, "calls-in-set-up-per-link", 1..=1_000_000);
    set_count(&mut limits.cached_answers, "remembered-answers", 0..=10_000_000);
    set_count(&mut limits.detached_attempts, "orphans", 0..=10_000_000);
    set_count(&mut limits.servers, "servers", 1..=10_000);
    set_count(&mut links.connections, "connections", 1..=100_000);
    set_count(&mut links.half_open, "half-open", 1..=100_000);
    set_count(&mut links.message_bytes, "message-bytes", 256..=16_777_215);
    set_count(&mut links.queue, "queue", 16..=1_000_000);
    let set_duration = |target: &mut u64, key, range| {
        if let Some(value) = node.time(key, range) {
            *target = value;
        }
    };
    set_duration(&mut limits.cached_answer_ttl, "remember-for", 0..=24 * HOUR);
    set_duration(&mut limits.release_timeout, "release-timeout", MS..=HOUR);
    set_duration(&mut limits.client_absence, "away", 0..=24 * HOUR);
    set_duration(&mut links.handshake, "handshake", MS..=HOUR);
    set_duration(&mut links.write, "write", MS..=HOUR);
    node.reject_unknown_keys();
    (limits, links)
}

/// Returns the module's settings, the drain grace period, and the engine's rate limit for servers in warm-up.
fn settings(
    front: &Node<'_>,
    policy: Option<Node<'_>>,
    classes: &[ClassEntry],
    publishers: &[Publisher],
) -> (Settings, u64, Option<f64>) {
    let mut settings = Settings {
        // If `fronts` is invalid, the maximum is assumed, so that the ordinals are not reported as well.
        fronts: front.integer("fronts", 1..=100_000).unwrap_or(if front.has("fronts") { 100_000 } else { 1 })
            as u32,
        ordinal: front.integer("ordinal", 0..=99_999).unwrap_or(0) as u32,
        own_number: None,
        classes: classes.iter().map(|c| c.class.clone()).collect(),
        tenants: publishers.iter().map(|p| baydrift::interface::Tenant { quota_per_s: p.quota }).collect(),
        over_share_worth: 1.0,
        max_attempts: 5,
        may_cancel: true,
        may_probe: false,
        may_gossip: true,
        max_retry_after: 0,
        reports: ReportPath::Answers,
        subscribe: false,
        // Diameter over TCP: TCP retransmits below the application, which sees no retransmissions.
        retransmit_after: 0,
        retry_holdoff: 300 * MS,
        cold_from: 0.33,
        warm_up_time: 13 * S,
        fall_multiple: 2.0,
        fall_time: 1_500 * MS,
    };
    let mut drain_grace = S;
    let Some(node) = policy else { return (settings, drain_grace, None) };
    if let Some(value) = node.integer("max-attempts", 1..=5) {
        settings.max_attempts = value as u32;
    }
    let durations = [
        ("release-guard", 300 * MS..=60 * S, &mut settings.retry_holdoff),
        ("ramp", 0..=HOUR, &mut settings.warm_up_time),
        ("fall-time", MS..=HOUR, &mut settings.fall_time),
        ("max-retry-after", 0..=HOUR, &mut settings.max_retry_after),
        ("grace", 0..=S, &mut drain_grace),
    ];
    for (key, range, target) in durations {
        if let Some(value) = node.time(key, range) {
            *target = value;
        }
    }
    let numbers = [
        ("over-share-worth", 0.0..=1.0, &mut settings.over_share_worth),
        ("cold-from", 0.01..=1.0, &mut settings.cold_from),
        ("fall-multiple", 0.1..=100.0, &mut settings.fall_multiple),
    ];
    for (key, range, target) in numbers {
        if let Some(value) = node.number(key, range) {
            *target = value;
        }
    }
    let cold_rate = node.number("cold-rate", 0.1..=1e6);
    node.reject_unknown_keys();
    (settings, drain_grace, cold_rate)
}
