//! What the front node does not do: budgets lent between front nodes, and words on who lives, are off in `run`.

mod common;

use baydrift_node::Config;
use baydrift_standin::relay_config;
use common::{server_one, server_two, set_up, Harness, MS, SECOND};

/// Front nodes may speak to each other here, and still say only what the decision module does. Lending has not been played
/// on the mass days, and in virtual time it keeps a bound at no better service (docs/notes/shared.md): off until it is.
#[test]
fn front_nodes_that_may_speak_lend_nothing() {
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
    // The module's messages begin with the version of its words, those of budgets and of who lives with bytes of their own.
    assert!(harness.to_peers.iter().all(|(_, payload)| payload.first() == Some(&1)));
    assert!(harness.to_peers.iter().all(|(_, payload)| payload.len() <= 256));
}
