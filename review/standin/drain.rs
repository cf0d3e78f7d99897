//! The name server is slow. A signalling server drains, and nothing new may be sent to it later than the grace
//! after the front node was told, or is held to have been told.

use std::sync::atomic::Ordering::SeqCst;

use crate::common::*;

/// From question to answer.
const DELAY_MS: u64 = 700;
const HOLD_MS: u64 = 6_000;
const PAUSE_MS: u64 = 100;
/// Start of the slow time, of the drain, and the stop of the draining process, after the first call.
const SLOW_AT_MS: f64 = 3_000.0;
const DRAIN_AT_MS: f64 = 8_000.0;
const STOP_AT_MS: f64 = 16_000.0;
const END_MS: f64 = 20_000.0;
/// An event counts as told this long after it happened at the latest.
const TOLD_MS: f64 = 1_500.0;
/// `stop-sending-within-s` of the settings, and the slack of the rules on sockets.
const GRACE_MS: f64 = 1_000.0 + 50.0;

pub fn run(record: &Record) -> Res<bool> {
    let dir = TempDir::new("drain")?;
    let one = Server::start(record, "s-one", |_| HOLD_MS)?;
    let two = Server::start(record, "s-two", |_| HOLD_MS)?;
    let list = vec![Listed::new("s-one", one.address, 0), Listed::new("s-two", two.address, 1)];
    let names = NameServer::start(record, list.clone())?;
    let address = free_address()?;
    let mut node =
        Node::start(record, &dir, "n0", address, &config("n0", address, names.address, 0, 1, &list))?;
    let caller = Caller::connect(record, "caller", address)?;
    sleep_ms(500);
    let start = record.now();
    let (mut call, mut event, mut stopped_at) = (0, None, 0.0);
    while record.now() - start < END_MS {
        let at = record.now() - start;
        if trouble() && at >= SLOW_AT_MS && names.delay_ms.swap(DELAY_MS, SeqCst) == 0 {
            record.put("names", &format!("answers take {DELAY_MS} ms from now on"));
        }
        if at >= DRAIN_AT_MS && event.is_none() {
            let serial = names.change(|list| list[0].draining = true);
            event = Some((serial, record.now()));
            record.put("names", &format!("event {serial}: s-one drains"));
        }
        if at >= STOP_AT_MS && stopped_at == 0.0 {
            stopped_at = record.now();
            one.stop();
            let serial = names.change(|list| drop(list.remove(0)));
            record.put("names", &format!("event {serial}: s-one is gone"));
        }
        call += 1;
        caller.call(
            call,
            ["grid-load", "answer-check", "progress-save"][call as usize % 3],
            3_000,
            (call % 2) as u16,
        );
        sleep_ms(PAUSE_MS);
    }
    sleep_ms(1_500);
    if !node.running() {
        return Err("the front node has ended".to_owned());
    }
    let (serial, drained_at) = event.ok_or("no drain")?;
    let sent_at = lock(&names.told).range(serial..).map(|(_, at)| *at).fold(f64::MAX, f64::min);
    let told_at = sent_at.min(drained_at + TOLD_MS);
    let attempts = one.attempts();
    let late: Vec<_> = attempts.iter().filter(|a| a.came > told_at + GRACE_MS).collect();
    let seen = lock(&caller.seen).clone();
    let cut = late
        .iter()
        .filter(|a| a.answered.is_some() && a.end.is_some_and(|(_, end)| end == End::Stopped))
        .count();
    let before = attempts.iter().filter(|a| a.came < drained_at).count();
    let stood = seen.values().filter(|s| s.stands.is_some()).count();
    record.say(&format!(
        "s-one drains at {drained_at:.0} ms; the answer with event {serial} was sent at {sent_at:.0} ms, told at {told_at:.0} ms \
         at the latest; it stops at {stopped_at:.0} ms"
    ));
    record.say(&format!(
        "{call} calls, {stood} stood; s-one got {before} set-ups before the drain, {} later than {GRACE_MS:.0} ms after the notice, \
         the last {:.0} ms after it; {cut} of these stood and were cut when it stopped",
        late.len(),
        late.iter().map(|a| a.came - told_at).fold(0.0, f64::max)
    ));
    if before < 20 {
        return Err("s-one got too few set-ups before the drain for a verdict".to_owned());
    }
    Ok(late.is_empty())
}
