//! Exhaustive model checks at small size, and injected faults that they must detect. `examples/check.rs` runs
//! the larger check.

mod model;

use baydrift_trunk::AuditSettings;
use model::TrunkModel;
use stateright::{Checker, HasDiscoveries, Model};

fn violated(model: TrunkModel) -> Vec<&'static str> {
    let checker = model.checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let mut names: Vec<_> = checker.discoveries().into_keys().collect();
    // `sometimes` properties are reported as discoveries when they hold.
    names.retain(|name| !["dual seizure occurs", "a call is established"].contains(name));
    assert!(checker.state_count() > 100);
    names
}

#[test]
fn all_properties_hold() {
    assert!(violated(TrunkModel::small()).is_empty());
    assert!(violated(TrunkModel { calls: 1, timer_expiries: 2, ..TrunkModel::small() }).is_empty());
    assert!(violated(TrunkModel { losses: 0, duplicates: 1, ..TrunkModel::small() }).is_empty());
    assert!(violated(TrunkModel { losses: 0, restarts: 1, calls: 1, ..TrunkModel::small() }).is_empty());
}

#[test]
fn detects_both_ends_controlling_a_circuit() {
    // Each end is configured with the higher point code, so each waits for the other one to yield.
    let both_control = TrunkModel { points: [(2, 1), (3, 2)], losses: 0, ..TrunkModel::small() };
    assert!(violated(both_control).contains(&"dual seizure leaves exactly one call on the circuit"));
}

#[test]
fn detects_audit_without_recheck_delay() {
    // Without a delay before the second query, a seizure that the query overtook may still be in transit.
    let audit = AuditSettings { query_interval: 500_000, recheck_after: 0 };
    let model =
        TrunkModel { calls: 1, losses: 0, timer_expiries: 5, reorder: true, audit, ..TrunkModel::small() };
    let found = violated(model);
    assert!(found.contains(&"an audit cuts no live call"), "{found:?}");
}
