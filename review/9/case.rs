//! One of five signalling servers hangs for some seconds, and goes on. Calls whose end falls into that time must
//! still be released towards their callers.

#[path = "../standin-2/common.rs"]
mod common;

use common::{
    run, serve_alone, sleep, unable, wait_until, Caller, Names, Node, Server, ServerProcess, ANSWER,
};

/// How long it hangs; the pages have 6 s.
const HANGS: u64 = 4_550;
/// How long a call stands.
const HOLD: u64 = 4_500;
/// An end that could not be sent must have come within this time, with the slack of the protocol page.
const TOLD_WITHIN: u64 = 8_000 + 50;

fn main() {
    serve_alone();
    run(|record, trouble| {
        let hangs = ServerProcess::start(record, "s-0", 0, HOLD);
        let others = [1, 2, 3, 4].map(|n| Server::start(record, &format!("s-{n}"), n, "127.0.0.1:0", 5));
        let mut list = vec![hangs.listed(0)];
        list.extend(others.iter().map(|server| server.listed(0)));
        let names = Names::start(record, list.clone());
        let node = Node::start(record, &names, &list, 64);
        let caller = Caller::connect(record, "caller", node.addr);
        let calls: Vec<u64> = (0x201..0x215).collect();
        for call in &calls {
            caller.set_up(*call, 3_000);
            sleep(30);
        }
        if !wait_until(3_000, || calls.iter().all(|call| caller.got(ANSWER, *call).is_some())) {
            unable(record, "not all calls stand");
        }
        sleep(1_500);
        if trouble {
            hangs.stop();
        }
        sleep(HANGS);
        if trouble {
            hangs.go_on();
        }
        sleep(HOLD.saturating_sub(HANGS) + TOLD_WITHIN + 500);
        let mut broken = Vec::new();
        for call in &calls {
            let Some(ended) = hangs.ended_at(*call) else { continue };
            match caller.ended(*call) {
                Some(told) if told <= ended + TOLD_WITHIN => {}
                Some(told) => broken.push(format!("call {call:x} ended at {ended}, told only at {told}")),
                None => {
                    broken.push(format!("call {call:x} ended at {ended} and is left standing at its caller"))
                }
            }
        }
        broken
    })
}
