//! An answer of a signalling server is lost when the connection is reset under requests. The call stands at
//! that signalling server, since no connection owns a call that stands. It may not run at a second one as well.

use std::sync::atomic::{AtomicU64, Ordering::SeqCst};

use crate::common::*;

const CALLS: u64 = 160;
const PAUSE_MS: u64 = 200;
const HOLD_MS: u64 = 6_000;
/// One answer of this many of one signalling server is lost.
const LOST_ONE_IN: u64 = 10;
/// Slack of the rules on sockets.
const SLACK_MS: f64 = 50.0;

pub fn run(record: &Record) -> Res<bool> {
    let dir = TempDir::new("duplicate")?;
    let one = Server::start(record, "s-one", |_| HOLD_MS)?;
    let two = Server::start(record, "s-two", |_| HOLD_MS)?;
    let answers = AtomicU64::new(0);
    let on = trouble();
    let to_one = proxy(record, "network", one.address, move |message| {
        let lost =
            on && message.kind == ANSWER && answers.fetch_add(1, SeqCst) % LOST_ONE_IN == LOST_ONE_IN - 1;
        if lost {
            Verdict::LoseAndReset
        } else {
            Verdict::Pass
        }
    })?;
    let list = vec![Listed::new("s-one", to_one, 0), Listed::new("s-two", two.address, 1)];
    let names = NameServer::start(record, list.clone())?;
    let address = free_address()?;
    let mut node =
        Node::start(record, &dir, "n0", address, &config("n0", address, names.address, 0, 1, &list))?;
    let caller = Caller::connect(record, "caller", address)?;
    sleep_ms(500);
    for call in 1..=CALLS {
        caller.call(
            call,
            ["grid-load", "answer-check", "progress-save"][call as usize % 3],
            3_000,
            (call % 2) as u16,
        );
        sleep_ms(PAUSE_MS);
    }
    sleep_ms(HOLD_MS + 4_000);
    if !node.running() {
        return Err("the front node has ended".to_owned());
    }
    let (mut broken, mut twice_ms) = (0, 0.0);
    let attempts: Vec<_> = [&one, &two]
        .into_iter()
        .flat_map(|s| s.attempts().into_iter().map(|a| (s.name.clone(), a)))
        .collect();
    for call in 1..=CALLS {
        let mut own: Vec<_> = attempts.iter().filter(|(_, a)| a.call == call).collect();
        own.sort_by(|a, b| a.1.came.total_cmp(&b.1.came));
        for pair in own.windows(2) {
            let ((first_at, first), (second_at, second)) = (pair[0], pair[1]);
            let first_end = first.end.map_or(f64::MAX, |(at, _)| at);
            if first_end <= second.came + SLACK_MS {
                continue;
            }
            let second_end = second.end.map_or(record.now(), |(at, _)| at);
            let overlap = first_end.min(second_end) - second.came;
            broken += 1;
            twice_ms += overlap;
            record.say(&format!(
                "call {call:016x}: stands at {first_at} from {:.0} ms, end {:?}; set up at {second_at} at {:.0} ms, \
                 answered {:?}: twice for {overlap:.0} ms",
                first.answered.unwrap_or(0.0),
                first.end,
                second.came,
                second.answered.map(|at| at.round())
            ));
        }
    }
    let seen = lock(&caller.seen).clone();
    let stood = seen.values().filter(|s| s.stands.is_some()).count();
    let refused = seen.values().filter(|s| s.refused.is_some()).count();
    record.say(&format!(
        "{CALLS} calls: {stood} stood, {refused} refused; {} attempts; {broken} calls had two attempts out at once, for \
         {twice_ms:.0} ms in all",
        attempts.len()
    ));
    if stood * 2 < CALLS as usize {
        return Err("too few calls stood for a verdict".to_owned());
    }
    Ok(broken == 0)
}
