//! H.248 text over real sockets: datagrams and TPKT packets, split and malformed ones, and unknown senders.

mod common;

use baydrift_h248::{frame, unframe};
use common::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

const TEXT: &str =
    "\ntext udp=\"127.0.0.1:0\" tcp=\"127.0.0.1:0\"\ntext-client \"<t1.test>\" realm=\"test\"\n\
                    text-client \"<t2.test>\" realm=\"test\"";
const REGISTER: &str = "T=1{C=-{SC=ROOT{SV{MT=RS}}}}";
const ADD: &str = "{C=${A=trunk/${M{O{bdc/ctx=\"grid@test\"}}}}}";

async fn request(socket: &UdpSocket, mid: &str, text: &str) -> String {
    socket.send(format!("!/1 <{mid}> {text}").as_bytes()).await.expect("sent");
    receive(socket).await
}

async fn receive(socket: &UdpSocket) -> String {
    let mut buffer = [0u8; 4_096];
    let received = tokio::time::timeout(std::time::Duration::from_secs(20), socket.recv(&mut buffer));
    let size = received.await.expect("in time").expect("received");
    String::from_utf8_lossy(&buffer[..size]).into_owned()
}

#[tokio::test]
async fn call_over_udp_repeats_its_reply() {
    let w = fixture(1, TEXT).await;
    w.ready().await;
    // Waits out the retry hold-off of 300 ms after a start, whose end is not reported: until then a call by
    // datagram may be one that a previous process had in flight.
    tokio::time::sleep(std::time::Duration::from_millis(310)).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    socket.connect(w.front.addrs().text_udp.unwrap()).await.unwrap();
    assert_eq!(request(&socket, "t1.test", REGISTER).await, "!/1 <front.test> P=1{C=-{SC=ROOT}}");
    let before = w.set_ups();
    let reply = request(&socket, "t1.test", &format!("T=2{ADD}")).await;
    assert_eq!(reply, "!/1 <front.test> P=2{IA,C=1{A=trunk/1}}");
    for _ in 0..5 {
        assert_eq!(request(&socket, "t1.test", &format!("T=2{ADD}")).await, reply);
    }
    assert_eq!(w.set_ups() - before, 1);
    // An unknown sender, one that uses another client's MId, and garbage.
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    other.connect(w.front.addrs().text_udp.unwrap()).await.unwrap();
    assert!(request(&other, "t9.test", "T=3{C=1{S=trunk/1}}").await.contains("ER=402"));
    assert!(request(&other, "t1.test", "T=3{C=1{S=trunk/1}}").await.contains("ER=402"));
    for noise in [&b"\xff\xfe\x00"[..], b"", b"{{{{{{{{", &[b'{'; 60_000]] {
        other.send(noise).await.unwrap();
    }
    // The acknowledgement ends the repetition of the reply; some copies may still be in flight.
    socket.send(b"!/1 <t1.test> K{2}").await.unwrap();
    let mut reply_to_subtract = request(&socket, "t1.test", "T=4{C=1{S=trunk/1}}").await;
    while reply_to_subtract == reply {
        reply_to_subtract = receive(&socket).await;
    }
    assert!(
        reply_to_subtract.starts_with("!/1 <front.test> P=4{C=1{S=trunk/1{SA{bdc/dur="),
        "{reply_to_subtract}"
    );
    w.wait_until("nothing held", |s| s.held.calls == 0 && s.held.orphans == 0).await;
}

async fn packet(stream: &mut TcpStream) -> Option<String> {
    let mut buffer = Vec::new();
    loop {
        if let Some((text, _)) = unframe(&buffer).expect("a packet") {
            return Some(String::from_utf8_lossy(text).into_owned());
        }
        let mut byte = [0u8; 1];
        let read = tokio::time::timeout(std::time::Duration::from_secs(20), stream.read(&mut byte));
        match read.await.expect("in time") {
            Ok(1) => buffer.push(byte[0]),
            _ => return None,
        }
    }
}

#[tokio::test]
async fn split_packets_are_joined_and_malformed_ones_close_the_link() {
    let w = fixture(1, TEXT).await;
    w.ready().await;
    let addr = w.front.addrs().text_tcp.unwrap();
    let mut stream = TcpStream::connect(addr).await.unwrap();
    for byte in frame(format!("!/1 <t2.test> {REGISTER}").as_bytes()).unwrap() {
        stream.write_all(&[byte]).await.unwrap();
        tokio::task::yield_now().await;
    }
    assert_eq!(packet(&mut stream).await.unwrap(), "!/1 <front.test> P=1{C=-{SC=ROOT}}");
    stream.write_all(&frame(format!("!/1 <t2.test> T=2{ADD}").as_bytes()).unwrap()).await.unwrap();
    assert_eq!(packet(&mut stream).await.unwrap(), "!/1 <front.test> P=2{C=1{A=trunk/1}}");
    // A length shorter than the packet's own header, and another protocol.
    for malformed in [&[3u8, 0, 0, 2][..], b"GET / HTTP/1.1\r\n\r\n"] {
        let mut other = TcpStream::connect(addr).await.unwrap();
        other.write_all(malformed).await.unwrap();
        assert!(packet(&mut other).await.is_none());
    }
    // An incomplete packet delays only its own connection.
    let mut incomplete = TcpStream::connect(addr).await.unwrap();
    incomplete.write_all(&[3, 0, 0xff, 0xff, b'!']).await.unwrap();
    stream.write_all(&frame(b"!/1 <t2.test> T=3{C=1{S=trunk/1}}").unwrap()).await.unwrap();
    assert!(packet(&mut stream).await.unwrap().contains("P=3{C=1{S=trunk/1"));
    w.wait_until("nothing held", |s| s.held.calls == 0).await;
}
