//! Bad clients take back hundreds of requests at once; the front node's memory must stay within its limit.

#[path = "../standin-2/common.rs"]
mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

use common::{run, set_up, sleep, Message, Names, Node, Server, ANSWER, RELEASE};

/// `memory_mb` of the configuration: the least that the pages name.
const MEMORY_MB: u64 = 32;
const BAD_CLIENTS: u64 = 8;
/// Requests of a bad client that are sent, and taken back, at once.
const AT_ONCE: u64 = 300;
const SECONDS: u64 = 25;

/// Sends requests and takes them all back 20 ms later, over and over, and reads what it is sent.
fn bad_client(number: u64, to: SocketAddr, sent: &AtomicU64, over: &AtomicBool) {
    let Ok(mut stream) = TcpStream::connect(to) else { return };
    let Ok(mut reader) = stream.try_clone() else { return };
    thread::spawn(move || {
        let mut buffer = vec![0; 65_536];
        while reader.read(&mut buffer).is_ok_and(|n| n > 0) {}
    });
    let mut first = number << 40;
    while !over.load(Ordering::Relaxed) {
        let ids = first..first + AT_ONCE;
        let requests: Vec<u8> = ids.clone().flat_map(|id| set_up(id, 9_000, "offer").bytes()).collect();
        let back: Vec<u8> = ids.flat_map(|id| Message::release(id, 16).bytes()).collect();
        if stream.write_all(&requests).is_err() {
            return;
        }
        sleep(20);
        if stream.write_all(&back).is_err() {
            return;
        }
        sent.fetch_add(AT_ONCE, Ordering::Relaxed);
        first += AT_ONCE;
    }
}

fn main() {
    run(|record, trouble| {
        let servers = [0, 1].map(|n| Server::start(record, &format!("s-{n}"), n, "127.0.0.1:0", 5));
        let list: Vec<_> = servers.iter().map(|server| server.listed(0)).collect();
        let names = Names::start(record, list.clone());
        let mut node = Node::start(record, &names, &list, MEMORY_MB);
        let usual = common::Caller::connect(record, "usual caller", node.addr);
        let (sent, over) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        record.put(format!("platform: the front node holds {} KiB", node.memory_kib()));
        if trouble {
            record.put(format!(
                "{BAD_CLIENTS} bad clients begin, {AT_ONCE} requests at once, taken back at once"
            ));
            for number in 1..=BAD_CLIENTS {
                let (to, sent, over) = (node.addr, sent.clone(), over.clone());
                thread::spawn(move || bad_client(number, to, &sent, &over));
            }
        }
        let (mut asked, mut most, mut broken) = (Vec::new(), 0, Vec::new());
        'run: for tenth in 0..SECONDS * 10 {
            let call = 0x100 + tenth;
            usual.set_up(call, 3_000);
            asked.push(call);
            for _ in 0..10 {
                sleep(10);
                let held = node.memory_kib();
                most = most.max(held);
                if held > MEMORY_MB * 1_024 {
                    let taken_back = sent.load(Ordering::Relaxed);
                    broken.push(format!(
                        "the front node held {held} KiB of anonymous memory, over memory_mb = {MEMORY_MB}, after \
                         {taken_back} requests were taken back: killed for memory"
                    ));
                    // What the platform does then.
                    node.kill();
                    record.put("platform: front node killed");
                    break 'run;
                }
            }
            if tenth % 10 == 9 {
                let taken_back = sent.load(Ordering::Relaxed);
                record.put(format!(
                    "platform: {} KiB held, {taken_back} requests taken back",
                    node.memory_kib()
                ));
            }
            if usual.got(ANSWER, call).is_some() {
                usual.release(call);
            }
        }
        over.store(true, Ordering::Relaxed);
        sleep(200);
        let unanswered =
            asked.iter().filter(|id| usual.got(ANSWER, **id).or(usual.got(RELEASE, **id)).is_none());
        let unanswered = unanswered.count();
        record.put(format!(
            "at most {most} KiB held; requests of the usual caller without answer: {unanswered}"
        ));
        if broken.is_empty() && node.has_exited() {
            broken.push("the front node has ended".to_owned());
        }
        broken
    })
}
