//! Checks across settings: unique names, required nodes and consistent references.

use std::collections::BTreeMap;

use kdl::KdlDocument;

use crate::reader::{Node, Problems};
use crate::Config;

/// Reports duplicate names and numbers, missing nodes, and settings that contradict each other.
pub(crate) fn check(document: &KdlDocument, problems: &Problems, front: &Node<'_>, config: &Config) {
    for kind in ["class", "publisher", "client", "text-client"] {
        check_unique(document, problems, &[kind], |node| node.entries().iter().find(|e| e.name().is_none()));
    }
    // Servers and far ends are members of the same pool.
    let members = ["server", "far-end"];
    check_unique(document, problems, &members, |node| node.entries().iter().find(|e| e.name().is_none()));
    check_unique(document, problems, &members, |node| node.entries().iter().find(|e| has_name(e, "number")));
    check_unique(document, problems, &["server"], |node| node.entries().iter().find(|e| has_name(e, "addr")));
    check_unique(document, problems, &["far-end"], |node| {
        node.entries().iter().find(|e| has_name(e, "point"))
    });
    if config.point.is_none() && !config.far_ends.is_empty() {
        front.report("far ends need this exchange's own point code", Some("exchange point=11"));
    }
    if config.classes.is_empty() {
        front.report("no class is configured", Some("class \"name\" { context \"name@realm\" }"));
    }
    if config.clients.is_empty() && config.text_clients.is_empty() {
        front.report("no client may connect", Some("client \"gateway.example\" realm=\"example\""));
    }
    if config.text.is_none() && !config.text_clients.is_empty() {
        front.report("text-clients need a text listener", Some("text udp=\"127.0.0.1:2944\""));
    }
    if config.pool_members().next().is_none() {
        front.report("no server is configured", Some("server \"s1.example\" realm=... number=0 addr=..."));
    }
    if config.served_realms.is_empty() {
        front.report("no realm is served", Some("serves \"core.example\": the Destination-Realm of calls"));
    }
    // Leases are in units of one set-up: with a rate below 1, no call would reach a server in warm-up.
    let budget_leases = config.fleet.as_ref().is_some_and(|fleet| fleet.budget_leases);
    if budget_leases && config.limits.cold_rate.is_none_or(|rate| rate < 1.0) {
        front.report("the fleet lends of a cold-rate of 1 or more", Some("policy { cold-rate 28 }"));
    }
    if config.settings.ordinal >= config.settings.fronts {
        front.report_at("ordinal", "ordinal must be less than fronts", Some("ordinals count from 0"));
    }
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for class in &config.classes {
        for context in &class.contexts {
            if let Some(other) = owners.insert(context, &class.name) {
                front.report(format!("context {context:?} belongs to {other} and to {}", class.name), None);
            }
        }
        if class.class.aim > class.class.deadline || class.caller_timeout > class.class.deadline {
            let text = format!("class {}: aim and gives-up must not be after deadline", class.name);
            front.report(text, None);
        }
        for number in class.class.servers.iter().flatten() {
            if config.pool_members().all(|(_, other, _)| other != *number) {
                front.report(format!("class {}: no server has number {number}", class.name), None);
            }
        }
    }
    if config.pool_members().count() > config.limits.servers {
        front.report(format!("more servers than limits allow ({})", config.limits.servers), None);
    }
    if let Some(fleet) = &config.fleet {
        for (ordinal, _) in &fleet.fronts {
            if *ordinal >= config.settings.fronts || *ordinal == config.settings.ordinal {
                front.report(format!("fleet: {ordinal} is no other front's ordinal"), None);
            }
        }
    }
}

fn has_name(entry: &kdl::KdlEntry, name: &str) -> bool {
    entry.name().is_some_and(|n| n.value() == name)
}

/// Reports nodes of these kinds whose `key` entry repeats an earlier one.
fn check_unique<'a>(
    document: &'a KdlDocument,
    problems: &Problems,
    kinds: &[&str],
    key: impl Fn(&'a kdl::KdlNode) -> Option<&'a kdl::KdlEntry>,
) {
    let mut seen: BTreeMap<String, &str> = BTreeMap::new();
    for node in document.nodes().iter().filter(|n| kinds.contains(&n.name().value())) {
        let Some(entry) = key(node) else { continue };
        // Port 0 selects any free port, so two such addresses do not conflict.
        let any_port = entry.value().as_string().is_some_and(|t| t.ends_with(":0"));
        match seen.get(&entry.value().to_string()) {
            Some(kind) if !any_port => {
                problems.add(entry.span(), format!("another {kind} has {} already", entry.value()), None);
            }
            _ => drop(seen.insert(entry.value().to_string(), node.name().value())),
        }
    }
}
