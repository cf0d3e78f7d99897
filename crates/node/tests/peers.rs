//! Messages between front nodes: `run` enables neither budget lending nor membership messages.

mod common;

use baydrift_node::Config;
use baydrift_standin::relay_config;
use common::{server_one, server_two, set_up, Harness, MS, SECOND};

/// With peer messages enabled, front nodes send only those of the decision module. Budget lending has not
/// been tested on the mass days, and in virtual time it keeps a limit at no better service
/// (docs/notes/shared.md), so it stays off.
#[test]
fn enabled_peer_messages_exclude_budget_lending() {
    let text = relay_config(([127, 0, 0, 1], 9).into(), &[server_one(), server_two()])
        .replace("\"balancers\":1", "\"balancers\":3")
        .replace("\"cancelling\":true", "\"cancelling\":true,\"peers\":true");
    let mut harness = Harness::new(&Config::read(text.as_bytes()).expect("a configuration"));
    harness.connect_all();
    harness.caller(1);
    for n in 0..100 {
        harness.caller_sends(1, set_up(n, "3000"));
        harness.advance(100 * MS);
    }
    harness.advance(SECOND);
    assert!(harness.to_peers.len() > 5, "{} messages", harness.to_peers.len());
    // The module's messages begin with their version; those of budgets and membership begin with other bytes.
    assert!(harness.to_peers.iter().all(|(_, payload)| payload.first() == Some(&1)));
    assert!(harness.to_peers.iter().all(|(_, payload)| payload.len() <= 256));
}
