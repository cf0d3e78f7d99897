//! Reads far ends, which are reached over trunk groups, and their groups from KDL.

use std::net::SocketAddr;

use baydrift::interface::ServerState;
use baydrift_trunk::rules::Selection;
use baydrift_trunk::{GroupSpec, CIRCUITS_MAX};

use crate::reader::Node;
use crate::{ClassEntry, Publisher};

/// A signalling point code has 14 bits (Q.704, 2.2.3).
const POINT_MAX: u64 = 0x3fff;
/// Highest circuit identification code (CIC).
const CIC_MAX: u64 = CIRCUITS_MAX as u64 - 1;

/// Which end opens the connection of a signalling link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dial {
    /// This end connects to the address.
    Connect(SocketAddr),
    /// The far end connects to the address on this end.
    Listen(SocketAddr),
}

/// A trunk group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrunkGroup {
    /// Name of the group for operators.
    pub name: String,
    /// Its point codes, circuits and selection rule.
    pub spec: GroupSpec,
}

/// Class and publisher of the calls that come from a far end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Incoming {
    /// Index of the class.
    pub class: usize,
    /// Index of the publisher; equal to the number of publishers if there is none.
    pub publisher: usize,
}

/// An exchange at the far end of trunk groups: a member of the server pool that is reached over circuits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FarEnd {
    /// Its name, by which callers request it as first choice.
    pub host: String,
    /// Its number, which is also its id in the module.
    pub number: u16,
    /// Its state until the pool list changes it.
    pub state: ServerState,
    /// Its signalling point code.
    pub point: u32,
    /// How its signalling link is opened.
    pub dial: Dial,
    /// Its trunk groups, at least one.
    pub groups: Vec<TrunkGroup>,
    /// Class and publisher of calls that it sets up; `None` rejects such calls.
    pub incoming: Option<Incoming>,
}

/// Reads this exchange's own point code.
pub(crate) fn exchange(node: Node<'_>) -> u32 {
    let point = node.required_integer("point", 0..=POINT_MAX) as u32;
    node.reject_unknown_keys();
    point
}

/// Reads a far end with its trunk groups.
pub(crate) fn far_end(
    node: Node<'_>,
    own_point: u32,
    classes: &[ClassEntry],
    publishers: &[Publisher],
) -> FarEnd {
    let point = node.required_integer("point", 0..=POINT_MAX) as u32;
    let dial = match (node.addr("connect"), node.addr("listen")) {
        (Some(addr), None) => Dial::Connect(addr),
        (None, Some(addr)) => Dial::Listen(addr),
        _ => {
            let hint = "connect=\"192.0.2.1:2905\", or listen= where the far end connects";
            node.report("a far end has one of connect and listen", Some(hint));
            Dial::Connect(([127, 0, 0, 1], 0).into())
        }
    };
    if point == own_point {
        let text = format!("point {point} is this exchange's own: the rule for dual seizure needs two");
        node.report_at("point", text, None);
    }
    let children = node.children("group");
    if children.is_empty() {
        node.report("a far end has a group at least", Some("group \"north\" first=1 circuits=30"));
    }
    let groups: Vec<_> = children.into_iter().map(|child| group(child, own_point, point)).collect();
    for (index, group) in groups.iter().enumerate() {
        let overlaps = |other: &&TrunkGroup| {
            let (a, b) = (&other.spec, &group.spec);
            a.first < b.first.saturating_add(b.circuits) && b.first < a.first.saturating_add(a.circuits)
        };
        if let Some(other) = groups[..index].iter().find(overlaps) {
            let text = format!("groups {} and {} have circuits of one code", other.name, group.name);
            node.report(text, Some("a circuit's code is its own among all groups to one far end"));
        }
    }
    let incoming =
        node.children("incoming").into_iter().map(|child| incoming(child, classes, publishers)).next();
    let far_end = FarEnd {
        host: node.name("its name"),
        number: node.required_integer("number", 0..=65_535) as u16,
        state: crate::front::state(&node),
        point,
        dial,
        groups,
        incoming,
    };
    node.reject_unknown_keys();
    far_end
}

fn group(node: Node<'_>, own_point: u32, far_point: u32) -> TrunkGroup {
    let selection = match node.text("selection").as_deref() {
        None | Some("opposite") => Selection::Opposite,
        Some("sequential") => Selection::Sequential,
        Some(_) => {
            node.report_at("selection", "selection is none of opposite, sequential", None);
            Selection::Opposite
        }
    };
    let first = node.integer("first", 0..=CIC_MAX).unwrap_or(1) as u16;
    let circuits = node.required_integer("circuits", 1..=CIC_MAX + 1) as u16;
    if u64::from(first) + u64::from(circuits) > CIC_MAX + 1 {
        node.report_at("circuits", format!("circuits beyond code {CIC_MAX}"), None);
    }
    let reserve = node.integer("reserve", 0..=CIC_MAX).unwrap_or(0) as usize;
    if reserve >= usize::from(circuits) && circuits > 0 {
        node.report_at("reserve", "all circuits are kept back for first choices", Some("less than circuits"));
    }
    let group = TrunkGroup {
        name: node.name("the group's name"),
        spec: GroupSpec { own_point, far_point, first, circuits, selection, reserve },
    };
    node.reject_unknown_keys();
    group
}

fn incoming(node: Node<'_>, classes: &[ClassEntry], publishers: &[Publisher]) -> Incoming {
    let class = node.required_text("class");
    let class = classes.iter().position(|c| c.name == class).unwrap_or_else(|| {
        node.report_at("class", format!("no class is called {class}"), None);
        0
    });
    let publisher = node.text("publisher").map_or(publishers.len(), |name| {
        publishers.iter().position(|p| p.name == name).unwrap_or_else(|| {
            node.report_at("publisher", format!("no publisher is called {name}"), None);
            0
        })
    });
    node.reject_unknown_keys();
    Incoming { class, publisher }
}
