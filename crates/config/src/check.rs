//! What must fit together.

use std::collections::BTreeMap;

use kdl::KdlDocument;

use crate::reader::{Node, Problems};
use crate::Config;

/// Checks names that must be unique and things that must be there.
pub(crate) fn check(document: &KdlDocument, problems: &Problems, front: &Node<'_>, config: &Config) {
    for kind in ["class", "publisher", "client", "text-client"] {
        unique(document, problems, &[kind], |node| node.entries().iter().find(|e| e.name().is_none()));
    }
    // Servers and far ends are members of one pool.
    let members = ["server", "far-end"];
    unique(document, problems, &members, |node| node.entries().iter().find(|e| e.name().is_none()));
    unique(document, problems, &members, |node| node.entries().iter().find(|e| is(e, "number")));
    unique(document, problems, &["server"], |node| node.entries().iter().find(|e| is(e, "addr")));
    unique(document, problems, &["far-end"], |node| node.entries().iter().find(|e| is(e, "point")));
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
        front.report("text-clients have nowhere to speak", Some("text udp=\"127.0.0.1:2944\""));
    }
    if config.members().next().is_none() {
        front.report("no server is configured", Some("server \"s1.example\" realm=... number=0 addr=..."));
    }
    if config.serves.is_empty() {
        front.report("no realm is served", Some("serves \"core.example\": the Destination-Realm of calls"));
    }
    // Units are whole set-ups: with less than one nothing would ever go to a cold server.
    let lends = config.fleet.as_ref().is_some_and(|fleet| fleet.budget_leases);
    if lends && config.limits.cold_rate.is_none_or(|rate| rate < 1.0) {
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
            if config.members().all(|(_, other, _)| other != *number) {
                front.report(format!("class {}: no server has number {number}", class.name), None);
            }
        }
    }
    if config.members().count() > config.limits.servers {
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

fn is(entry: &kdl::KdlEntry, name: &str) -> bool {
    entry.name().is_some_and(|n| n.value() == name)
}

fn unique<'a>(
    document: &'a KdlDocument,
    problems: &Problems,
    kinds: &[&str],
    key: impl Fn(&'a kdl::KdlNode) -> Option<&'a kdl::KdlEntry>,
) {
    let mut seen: BTreeMap<String, &str> = BTreeMap::new();
    for node in document.nodes().iter().filter(|n| kinds.contains(&n.name().value())) {
        let Some(entry) = key(node) else { continue };
        // Port 0 asks for any: two of them are not the same.
        let any_port = entry.value().as_string().is_some_and(|t| t.ends_with(":0"));
        match seen.get(&entry.value().to_string()) {
            Some(kind) if !any_port => {
                problems.add(entry.span(), format!("another {kind} has {} already", entry.value()), None);
            }
            _ => drop(seen.insert(entry.value().to_string(), node.name().value())),
        }
    }
}
