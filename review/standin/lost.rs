//! The zone of a signalling server is partitioned for a moment. The front node closes some of its connections to it, and the
//! releases that the signalling server wrote on these are lost; it sends each again on the next connection that is
//! opened. Every call that has ended there has to be released towards its caller.

use crate::common::*;

const HOLD_FROM_MS: u64 = 2_000;
const HOLD_SPAN_MS: u64 = 6_000;
/// Calls come in bursts, half for each signalling server.
const GROUP: u64 = 14;
const PAUSE_MS: u64 = 1_500;
const CUT_AT_MS: f64 = 8_000.0;
/// From the group before the partition to its start.
const CUT_AFTER_GROUP_MS: u64 = 700;
const CUT_MS: u64 = 1_600;
const LAST_CALL_MS: f64 = 14_000.0;
/// A release that could not be sent follows within this time, with the slack of the rules on sockets.
const TOLD_MS: f64 = 8_000.0 + 50.0;

pub fn run(record: &Record) -> Res<bool> {
    let dir = TempDir::new("lost")?;
    let hold = |call: u64| HOLD_FROM_MS + call * 977 % HOLD_SPAN_MS;
    let one = Server::start(record, "s-one", hold)?;
    let two = Server::start(record, "s-two", hold)?;
    let network = Network::start(record, one.address)?;
    let list = vec![
        Listed::new("s-one", network.address, 0).in_zone("dallas"),
        Listed::new("s-two", two.address, 1),
    ];
    let names = NameServer::start(record, list.clone())?;
    let address = free_address()?;
    let mut node =
        Node::start(record, &dir, "n0", address, &config("n0", address, names.address, 0, 5, &list))?;
    let caller = Caller::connect(record, "caller", address)?;
    sleep_ms(500);
    let start = record.now();
    let (mut call, mut cutting) = (0, None);
    while record.now() - start < LAST_CALL_MS {
        if trouble() && record.now() - start >= CUT_AT_MS && cutting.is_none() {
            let network = network.clone();
            cutting = Some(std::thread::spawn(move || {
                sleep_ms(CUT_AFTER_GROUP_MS);
                network.cut_for(CUT_MS)
            }));
        }
        for _ in 0..GROUP {
            call += 1;
            let class = ["grid-load", "answer-check", "progress-save"][call as usize % 3];
            caller.call(call, class, 3_000, (call % 2) as u16);
        }
        sleep_ms(PAUSE_MS);
    }
    if let Some(cutting) = cutting {
        cutting.join().map_err(|_| "the network failed")??;
    }
    sleep_ms(HOLD_FROM_MS + HOLD_SPAN_MS + TOLD_MS as u64 + 1_000);
    if !node.running() {
        return Err("the front node has ended".to_owned());
    }
    let seen = lock(&caller.seen).clone();
    let (mut over, mut late, mut never) = (0, 0, 0);
    for server in [&one, &two] {
        for attempt in server.attempts() {
            let (Some(own), Some((end, End::Written))) = (seen.get(&attempt.call), attempt.end) else {
                continue;
            };
            // Only the attempt whose answer the caller has: another one of the same call concerns no caller.
            if own.stands.as_ref().is_none_or(|(_, at)| *at != server.name) {
                continue;
            }
            over += 1;
            let told = own.over.map(|(at, _)| at);
            if told.is_some_and(|told| told <= end + TOLD_MS) {
                continue;
            }
            (late, never) = (late + u64::from(told.is_some()), never + u64::from(told.is_none()));
            let told = told.map_or("never".to_owned(), |told| format!("at {told:.0} ms"));
            record.say(&format!(
                "call {:016x}: ended at {} at {end:.0} ms, set up there on connection {}; its caller was told {told}",
                attempt.call, server.name, attempt.conn
            ));
        }
    }
    let stood = seen.values().filter(|s| s.stands.is_some()).count();
    record.say(&format!(
        "{call} calls, {stood} stood, {over} were ended by a signalling server; {never} callers were never told, {late} later \
         than {TOLD_MS:.0} ms"
    ));
    if over < 50 {
        return Err("too few calls for a verdict".to_owned());
    }
    Ok(late + never == 0)
}
