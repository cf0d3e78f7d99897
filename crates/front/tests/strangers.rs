//! Unknown and misbehaving peers: each is rejected with a specific error, and other calls continue.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use baydrift_diameter::credit::RequestType;
use baydrift_diameter::{dict, result, Avp, Message};
use baydrift_standin::push;
use common::*;
use futures_util::SinkExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Asserts that a call on a new connection succeeds.
async fn assert_call_succeeds(w: &Fixture, name: &str) {
    let mut client = Client::open(w.addr).await;
    client.send(ccr(name, RequestType::Initial)).await;
    assert_eq!(client.answer(name).await.result(), result::SUCCESS);
}

#[tokio::test]
async fn unknown_or_incompatible_peer_is_rejected() {
    let w = fixture(1, "").await;
    w.ready().await;
    let mut no_application = cer("c1.test", "test");
    no_application.avps.retain(|avp| avp.code != dict::AUTH_APPLICATION_ID);
    let cases = [
        (cer("stranger.test", "test"), result::UNKNOWN_PEER),
        (cer("c1.test", "elsewhere"), result::UNKNOWN_PEER),
        (no_application, result::NO_COMMON_APPLICATION),
        (cer("c1.test", "test").with(Avp::u32(dict::INBAND_SECURITY_ID, 1)), result::NO_COMMON_SECURITY),
    ];
    for (message, wanted) in cases {
        let mut client = Client::connect(w.addr).await;
        client.send(message).await;
        assert_eq!(client.read().await.unwrap().result(), wanted);
        assert!(client.read().await.is_none(), "closed after {wanted}");
    }
    // More connections than the client may open.
    let _two = (Client::open(w.addr).await, Client::open(w.addr).await);
    let mut third = Client::connect(w.addr).await;
    third.send(cer("c1.test", "test")).await;
    assert_eq!(third.read().await.unwrap().result(), result::UNABLE_TO_COMPLY);
}

#[tokio::test]
async fn invalid_request_is_answered_and_the_link_stays_open() {
    let w = fixture(1, "").await;
    w.ready().await;
    let mut client = Client::open(w.addr).await;
    let request = |change: &dyn Fn(&mut Message)| {
        let mut message = ccr("c1;bad", RequestType::Initial);
        change(&mut message);
        message
    };
    let set = |m: &mut Message, code: u32, text: &str| {
        m.avps.retain(|avp| avp.code != code);
        m.push(Avp::text(code, text));
    };
    let cases = [
        (request(&|m| set(m, dict::DESTINATION_REALM, "nowhere")), result::REALM_NOT_SERVED, false),
        (request(&|m| set(m, dict::DESTINATION_HOST, "s9.test")), result::UNABLE_TO_DELIVER, false),
        (request(&|m| set(m, dict::SERVICE_CONTEXT_ID, "none")), result::INVALID_AVP_VALUE, true),
        (request(&|m| set(m, dict::ORIGIN_HOST, "c2.test")), result::UNKNOWN_PEER, false),
        (request(&|m| m.avps.retain(|a| a.code != dict::CC_REQUEST_NUMBER)), result::MISSING_AVP, true),
        (
            request(&|m| m.push(Avp { mandatory: true, ..Avp::vendor_specific(99, 1, vec![]) })),
            result::AVP_UNSUPPORTED,
            true,
        ),
        (request(&|m| m.push(Avp::new(dict::CC_TIME, vec![1]))), result::INVALID_AVP_LENGTH, true),
        (request(&|m| m.push(Avp::text(dict::ROUTE_RECORD, "front.test"))), result::LOOP_DETECTED, false),
        (request(&|m| m.header.application = 9), result::APPLICATION_UNSUPPORTED, false),
        (request(&|m| m.header.code = 271), result::COMMAND_UNSUPPORTED, false),
    ];
    let case_count = cases.len();
    for (message, wanted, names_avp) in cases {
        client.send(message).await;
        let answer = client.read().await.unwrap();
        assert_eq!((answer.result(), answer.find(dict::FAILED_AVP).is_some()), (wanted, names_avp));
        assert_eq!(answer.header.flags.error, result::is_protocol_error(wanted));
    }
    client.send(ccr("c1;good", RequestType::Initial)).await;
    assert_eq!(client.answer("c1;good").await.result(), result::SUCCESS);
    assert!(case_count == 10 && w.front.snapshot().await.unwrap().held.tickets == 0);
}

/// Sends bytes, waits until the connection is closed, and returns the bytes received.
async fn raw(addr: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(addr).await.expect("listening");
    let _ = stream.write_all(bytes).await;
    let mut back = Vec::new();
    let read = stream.read_to_end(&mut back);
    let _ = tokio::time::timeout(Duration::from_secs(20), read).await.expect("closed in time");
    back
}

#[tokio::test]
async fn malformed_bytes_close_only_their_own_link() {
    let w = fixture(1, "\nlimits { handshake \"300ms\"; }").await;
    w.ready().await;
    let cases: [&[u8]; 5] = [
        b"GET / HTTP/1.1\r\n\r\n",
        &[2, 0, 0, 20, 0x80, 0, 1, 1],
        &[1, 0xff, 0xff, 0xfc, 0x80, 0, 1, 1],
        &[1, 0, 0, 16],
        &[1],
    ];
    for bytes in cases {
        assert!(raw(w.addr, bytes).await.is_empty());
    }
    // A set reserved bit is answered with an error; then the link is closed, because no CER came.
    let mut reserved = vec![1, 0, 0, 20, 0x84, 0, 1, 1];
    reserved.extend_from_slice(&[0; 12]);
    assert_eq!(raw(w.addr, &reserved).await[0], 1);
    assert_call_succeeds(&w, "c1;after").await;
}

#[tokio::test]
async fn connections_without_cer_do_not_block_others() {
    let w = fixture(1, "\nlimits { half-open 20; handshake \"1s\"; }").await;
    w.ready().await;
    let mut idle = Vec::new();
    for _ in 0..1_000 {
        idle.push(TcpStream::connect(w.addr).await.expect("listening"));
    }
    w.wait_until("half-open connections within the limit", |s| s.connections.1 <= 20).await;
    w.wait_until("no half-open connection", |s| s.connections.1 == 0).await;
    assert_call_succeeds(&w, "c1;after").await;
    drop(idle);
}

#[tokio::test]
async fn slow_sender_is_served_and_delays_no_other_client() {
    let w = fixture(1, "").await;
    w.ready().await;
    let slow = tokio::spawn(async move {
        let mut client = Client::open(w.addr).await;
        let mut bytes = bytes::BytesMut::new();
        let mut request = ccr("c1;slow", RequestType::Initial);
        request.header.hop_by_hop = 900;
        request.write(&mut bytes);
        for byte in bytes {
            client.transport.get_mut().write_all(&[byte]).await.expect("sent");
            tokio::task::yield_now().await;
        }
        let result = client.answer("c1;slow").await.result();
        assert_call_succeeds(&w, "c1;beside").await;
        result
    });
    assert_eq!(slow.await.unwrap(), result::SUCCESS);
}

#[tokio::test]
async fn client_that_does_not_read_is_disconnected() {
    let w = fixture(1, "\nlimits { queue 64; write \"300ms\"; calls-in-set-up-per-link 50; }").await;
    w.ready().await;
    let mut flood = Client::open(w.addr).await;
    // Requests that are answered at once, while the client reads no answers.
    let mut sent = 0u32;
    loop {
        let mut message = ccr("c1;flood", RequestType::Update);
        message.header.hop_by_hop = sent;
        message.push(Avp::group(dict::PROXY_INFO, &[Avp::text(dict::PROXY_HOST, &"x".repeat(8_000))]));
        let done = tokio::time::timeout(Duration::from_secs(5), flood.transport.send(message)).await;
        if !matches!(done, Ok(Ok(()))) {
            break;
        }
        sent += 1;
        assert!(sent < 1_000_000, "the front never stopped reading");
    }
    let snapshot = w.wait_until("the link is closed", |s| s.connections.0 == 0).await;
    assert!(snapshot.held.tickets == 0, "{snapshot:?}");
    assert_call_succeeds(&w, "c1;after").await;
    // Calls in set-up have a separate limit per link; calls beyond it are counted as rejected by it.
    w.servers[0].command(baydrift_standin::Command::Slow(50.0));
    let mut many = Client::open(w.addr).await;
    for n in 0..60 {
        many.send(ccr(&format!("c1;m{n}"), RequestType::Initial)).await;
    }
    w.wait_until("the limit of calls in set-up", |s| s.counts.bound > 0).await;
}

#[tokio::test]
async fn pool_list_is_accepted_whole_or_rejected_with_a_status() {
    let w = fixture(2, "\npool listen=\"127.0.0.1:0\" token=\"t\"").await;
    w.ready().await;
    let pool = w.front.addrs().pool.expect("configured");
    let list = |version: u64, host: &str, state: &str| serde_json::json!({"version": version, "servers": [{"host": host, "state": state}]});
    assert_eq!(push(pool, "wrong", &list(1, "s0.test", "draining")).await, 401);
    assert_eq!(push(pool, "t", &list(1, "s0.test", "resting")).await, 400);
    assert_eq!(push(pool, "t", &list(1, "s7.test", "draining")).await, 422);
    assert_eq!(push(pool, "t", &serde_json::json!({"x": "y".repeat(400_000)})).await, 413);
    // s1 needs a list that names it: until then it may have started together with this front, and is warmed
    // up.
    assert_eq!(push(pool, "t", &list(3, "s1.test", "ready")).await, 200);
    assert_eq!(push(pool, "t", &list(5, "s0.test", "draining")).await, 200);
    assert_eq!(push(pool, "t", &list(4, "s0.test", "ready")).await, 409);
    let mut client = Client::open(w.addr).await;
    for n in 0..10 {
        let name = format!("c1;{n}");
        let message = ccr(&name, RequestType::Initial).with(Avp::text(dict::DESTINATION_HOST, "s0.test"));
        client.send(message).await;
        assert_eq!(client.answer(&name).await.result(), result::SUCCESS);
    }
    let lines = w.recorder.lines();
    let after = lines
        .iter()
        .rev()
        .take_while(|l| !matches!(l.event, baydrift_audit::RecordEvent::SetUp { server: 0, .. }));
    let others =
        after.filter(|l| matches!(l.event, baydrift_audit::RecordEvent::SetUp { server: 1, .. })).count();
    assert!(others >= 10, "{others}");
}
