//! Every order of events at small size, and planted faults that it finds. The large check is `examples/check.rs`.

mod model;

use baydrift_trunk::AuditSettings;
use model::Ends;
use stateright::{Checker, HasDiscoveries, Model};

fn broken(ends: Ends) -> Vec<&'static str> {
    let checker = ends.checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let mut names: Vec<_> = checker.discoveries().into_keys().collect();
    // What should be seen is a discovery too.
    names.retain(|name| !["both ends seize one circuit", "a call stands"].contains(name));
    assert!(checker.state_count() > 100);
    names
}

#[test]
fn no_order_of_events_breaks_a_property() {
    assert!(broken(Ends::small()).is_empty());
    assert!(broken(Ends { calls: 1, wakes: 2, ..Ends::small() }).is_empty());
    assert!(broken(Ends { losses: 0, doubles: 1, ..Ends::small() }).is_empty());
    assert!(broken(Ends { losses: 0, restarts: 1, calls: 1, ..Ends::small() }).is_empty());
}

#[test]
fn a_planted_fault_in_the_rule_is_found() {
    // Both ends believe that theirs is the higher point code: each waits for the other one to yield.
    let both_control = Ends { points: [(2, 1), (3, 2)], losses: 0, ..Ends::small() };
    assert!(broken(both_control).contains(&"of two that seize one circuit exactly one proceeds on it"));
}

#[test]
fn a_planted_fault_in_the_audit_is_found() {
    // A second look as soon as the first: a seizure that the query passed may still be under way.
    let hasty = AuditSettings { query_interval: 500_000, recheck_after: 0 };
    let hasty = Ends { calls: 1, losses: 0, wakes: 5, reorder: true, audit: hasty, ..Ends::small() };
    let found = broken(hasty);
    assert!(found.contains(&"an audit cuts no live call"), "{found:?}");
}
