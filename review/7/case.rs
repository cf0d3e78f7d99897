//! A bad client sends the id of an open request of another caller, and takes its own request back. The other
//! caller's request must still get its final answer.

#[path = "../standin-2/common.rs"]
mod common;

use common::{run, set_up, sleep, Caller, Message, Names, Node, Server};

/// How long the usual caller waits.
const WAIT: u64 = 3_000;
/// The slack of the protocol page, and the half second in which an answer only earns nothing.
const SLACK: u64 = 50 + 500;

fn main() {
    run(|record, trouble| {
        let server = Server::start(record, "s-a", 0, "127.0.0.1:0", 300);
        let list = [server.listed(0)];
        let names = Names::start(record, list.to_vec());
        let _node = Node::start(record, &names, &list, 64);
        let usual = Caller::connect(record, "usual caller", _node.addr);
        let mut bad_clients = Vec::new();
        let requests: Vec<u64> = (0x101..0x10b).collect();
        for request in &requests {
            usual.set_up(*request, WAIT);
            sleep(100);
            if trouble {
                let bad = Caller::connect(record, "bad client", _node.addr);
                bad.send(&[set_up(*request, WAIT, "another description")]);
                sleep(50);
                bad.send(&[Message::release(*request, 16)]);
                bad_clients.push(bad);
            }
            sleep(400);
        }
        sleep(WAIT + SLACK);
        let mut broken = Vec::new();
        for request in requests {
            let answers = usual.final_answers(request);
            if answers != 1 {
                broken
                    .push(format!("request {request:x} got {answers} final answers on its open connection"));
            }
        }
        broken
    })
}
