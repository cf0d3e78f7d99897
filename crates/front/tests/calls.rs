//! Calls over real sockets: set-up and release, retransmissions, lost connections, drains, hung servers,
//! shutdown.

mod common;

use std::time::Duration;

use baydrift_audit::{rules, RecordEvent, RuleLimits};
use baydrift_diameter::credit::RequestType;
use baydrift_diameter::{code, dict, result, Avp, Message};
use baydrift_standin::Command;
use common::*;

const INITIAL: RequestType = RequestType::Initial;
const TERMINATION: RequestType = RequestType::Termination;

#[tokio::test]
async fn call_is_set_up_updated_and_released() {
    let w = fixture(2, "").await;
    w.ready().await;
    let mut client = Client::open(w.addr).await;
    let state = Avp::group(dict::PROXY_INFO, &[Avp::text(dict::PROXY_HOST, "p.test"), Avp::text(33, "x")]);
    client.send(ccr("c1;1", INITIAL).with(state.clone())).await;
    let cca = client.answer("c1;1").await;
    assert_eq!(cca.result(), result::SUCCESS);
    assert_eq!((cca.text(dict::ORIGIN_HOST), cca.find(dict::PROXY_INFO)), (Some("front.test"), Some(&state)));
    client.send(ccr("c1;1", RequestType::Update)).await;
    assert_eq!(client.answer("c1;1").await.result(), result::SUCCESS);
    client.send(ccr("c1;1", TERMINATION)).await;
    assert_eq!(client.answer("c1;1").await.result(), result::SUCCESS);
    client.send(ccr("c1;1", RequestType::Update)).await;
    assert_eq!(client.answer("c1;1").await.result(), result::UNKNOWN_SESSION_ID);
    w.wait_until("nothing held", |s| s.held.calls == 0 && s.held.orphans == 0 && s.held.tickets == 0).await;
}

#[tokio::test]
async fn retransmitted_request_is_one_call_with_one_answer() {
    let w = fixture(1, "").await;
    w.ready().await;
    let before = w.set_ups();
    // Retransmitted before the answer, on the same connection and, after that one is closed, on a new one.
    let mut first = Client::open(w.addr).await;
    let mut request = ccr("c1;again", INITIAL);
    request.header.end_to_end = 77;
    first.send(request.clone()).await;
    request.header.flags.retransmitted = true;
    first.send(request.clone()).await;
    drop(first);
    let mut second = Client::open(w.addr).await;
    second.send(request.clone()).await;
    let answer = second.answer("c1;again").await;
    assert_eq!((answer.result(), answer.header.end_to_end), (result::SUCCESS, 77));
    // Retransmitted after the answer.
    second.send(request.clone()).await;
    assert_eq!(second.answer("c1;again").await.result(), result::SUCCESS);
    assert_eq!(w.set_ups() - before, 1);
    let snapshot = w.front.snapshot().await.unwrap();
    assert!(snapshot.counts.repeats >= 2, "{snapshot:?}");
}

#[tokio::test]
async fn cancelled_call_is_answered_once_and_its_attempt_released() {
    let w = fixture(1, "").await;
    w.ready().await;
    w.servers[0].command(Command::Slow(20.0));
    let mut client = Client::open(w.addr).await;
    client.send(ccr("c1;1", INITIAL)).await;
    w.wait_until("in set-up", |s| s.held.in_set_up == 1).await;
    client.send(ccr("c1;1", TERMINATION)).await;
    let answers = [client.answer("c1;1").await, client.answer("c1;1").await];
    let results: Vec<_> = answers.iter().map(|a| (a.number(dict::CC_REQUEST_TYPE), a.result())).collect();
    assert_eq!(results, [(Some(1), result::UNABLE_TO_COMPLY), (Some(3), result::SUCCESS)]);
    w.wait_recorded("a release", |m| matches!(m, RecordEvent::Release { .. })).await;
    w.wait_until("nothing held", |s| s.held.calls == 0 && s.held.orphans == 0).await;
}

#[tokio::test]
async fn hung_server_is_avoided_and_used_again_after_recovery() {
    let w = fixture(2, "").await;
    w.ready().await;
    let mut client = Client::open(w.addr).await;
    w.servers[0].command(Command::Hang(true));
    for n in 0..12 {
        let message = ccr(&format!("c1;{n}"), INITIAL).with(Avp::text(dict::DESTINATION_HOST, "s0.test"));
        client.send(message).await;
    }
    // All calls are answered in time, through the other server.
    for _ in 0..12 {
        let answer = client.read().await.unwrap();
        assert_eq!(answer.result(), result::SUCCESS, "{answer:?}");
    }
    w.wait_recorded("an unanswered watchdog", |m| matches!(m, RecordEvent::Unresponsive { server: 0, .. }))
        .await;
    w.servers[0].command(Command::Hang(false));
    let mut n = 100;
    let used = |w: &Fixture| {
        let lines = w.recorder.lines();
        let last = lines
            .iter()
            .rev()
            .find(|l| matches!(l.event, RecordEvent::Unresponsive { .. }))
            .map_or(0, |l| l.at);
        lines.iter().any(|l| l.at > last && matches!(l.event, RecordEvent::SetUp { server: 0, .. }))
    };
    while !used(&w) {
        let message = ccr(&format!("c1;{n}"), INITIAL).with(Avp::text(dict::DESTINATION_HOST, "s0.test"));
        client.send(message).await;
        client.answer(&format!("c1;{n}")).await;
        n += 1;
        assert!(n < 2_000, "never used again");
    }
    let verdict = rules(&w.recorder.lines(), RuleLimits::default());
    assert_eq!((verdict.breaches_of(2), verdict.breaches_of(5)), (0, 0), "{:?}", verdict.breaches);
}

#[tokio::test]
async fn server_draining_by_dpr_gets_no_new_calls_and_can_release_old_ones() {
    let w = fixture(2, "").await;
    w.ready().await;
    let mut client = Client::open(w.addr).await;
    let to_first =
        |n: u32| ccr(&format!("c1;{n}"), INITIAL).with(Avp::text(dict::DESTINATION_HOST, "s0.test"));
    client.send(to_first(1)).await;
    assert_eq!(client.answer("c1;1").await.result(), result::SUCCESS);
    w.servers[0].command(Command::Drain { by_dpr: true, stop_after: 60_000_000, back_after: None });
    w.wait_recorded("the DPA", |m| {
        matches!(m, RecordEvent::ReadinessReported { server: 0, ready: false, .. })
    })
    .await;
    let before = w.set_ups();
    for n in 2..22 {
        client.send(to_first(n)).await;
        assert_eq!(client.answer(&format!("c1;{n}")).await.result(), result::SUCCESS);
    }
    let lines = w.recorder.lines();
    let set_ups = lines.iter().filter(|l| matches!(l.event, RecordEvent::SetUp { server: 1, .. })).count();
    assert!(w.set_ups() - before == 20 && set_ups >= 20);
    // The call established there before can still be released.
    client.send(ccr("c1;1", TERMINATION)).await;
    client.answer("c1;1").await;
    w.wait_recorded("its release", |m| matches!(m, RecordEvent::Release { server: 0, .. })).await;
}

#[tokio::test]
async fn dropped_call_is_reported_to_the_client() {
    let w = fixture(1, "").await;
    w.ready().await;
    let mut client = Client::open(w.addr).await;
    client.send(ccr("c1;1", INITIAL)).await;
    assert_eq!(client.answer("c1;1").await.result(), result::SUCCESS);
    w.servers[0].command(Command::Cut(1.0));
    let asr = client.read().await.unwrap();
    assert_eq!((asr.header.code, asr.text(dict::SESSION_ID)), (code::ABORT_SESSION, Some("c1;1")));
    client.send(Message::answer(&asr, result::SUCCESS)).await;
    w.wait_until("nothing held", |s| s.held.calls == 0 && s.counts.cut == 1).await;
}

#[tokio::test]
async fn shutdown_answers_pending_calls_drops_established_ones_and_sends_dpr() {
    let w = fixture(1, "").await;
    w.ready().await;
    let mut client = Client::open(w.addr).await;
    client.send(ccr("c1;established", INITIAL)).await;
    assert_eq!(client.answer("c1;established").await.result(), result::SUCCESS);
    w.servers[0].command(Command::Slow(50.0));
    client.send(ccr("c1;pending", INITIAL)).await;
    w.wait_until("in set-up", |s| s.held.in_set_up == 1).await;
    let Fixture { front, recorder, .. } = w;
    let stopping = tokio::spawn(front.stop());
    assert_eq!(client.answer("c1;pending").await.result(), result::TOO_BUSY);
    let asr = client.read().await.unwrap();
    assert_eq!((asr.header.code, asr.text(dict::SESSION_ID)), (code::ABORT_SESSION, Some("c1;established")));
    let dpr = client.read().await.unwrap();
    assert_eq!(dpr.header.code, code::DISCONNECT);
    client.send(Message::answer(&dpr, result::SUCCESS)).await;
    assert!(client.read().await.is_none());
    tokio::time::timeout(Duration::from_secs(10), stopping).await.expect("in time").unwrap();
    let released = |l: &baydrift_audit::RecordEntry| matches!(l.event, RecordEvent::Release { .. });
    assert!(recorder.lines().iter().filter(|l| released(l)).count() >= 2);
}
