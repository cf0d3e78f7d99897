//! H.248 text over real sockets: datagrams and packets, whole, split, lying and from strangers.

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

async fn ask(socket: &UdpSocket, mid: &str, text: &str) -> String {
    socket.send(format!("!/1 <{mid}> {text}").as_bytes()).await.expect("sent");
    hear(socket).await
}

async fn hear(socket: &UdpSocket) -> String {
    let mut buffer = [0u8; 4_096];
    let received = tokio::time::timeout(std::time::Duration::from_secs(20), socket.recv(&mut buffer));
    let size = received.await.expect("in time").expect("received");
    String::from_utf8_lossy(&buffer[..size]).into_owned()
}

#[tokio::test]
async fn a_call_by_datagrams_and_its_reply_said_again() {
    let w = world(1, TEXT).await;
    w.ready().await;
    // The release guard after the start is a span of time, and nothing tells of its end: until then a call by datagram
    // may be one that the process before had out.
    tokio::time::sleep(std::time::Duration::from_millis(310)).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    socket.connect(w.front.addrs().text_udp.unwrap()).await.unwrap();
    assert_eq!(ask(&socket, "t1.test", REGISTER).await, "!/1 <front.test> P=1{C=-{SC=ROOT}}");
    let before = w.set_ups();
    let reply = ask(&socket, "t1.test", &format!("T=2{ADD}")).await;
    assert_eq!(reply, "!/1 <front.test> P=2{IA,C=1{A=trunk/1}}");
    for _ in 0..5 {
        assert_eq!(ask(&socket, "t1.test", &format!("T=2{ADD}")).await, reply);
    }
    assert_eq!(w.set_ups() - before, 1);
    // A stranger, one that takes another's place, and noise.
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    other.connect(w.front.addrs().text_udp.unwrap()).await.unwrap();
    assert!(ask(&other, "t9.test", "T=3{C=1{S=trunk/1}}").await.contains("ER=402"));
    assert!(ask(&other, "t1.test", "T=3{C=1{S=trunk/1}}").await.contains("ER=402"));
    for noise in [&b"\xff\xfe\x00"[..], b"", b"{{{{{{{{", &[b'{'; 60_000]] {
        other.send(noise).await.unwrap();
    }
    // Its acknowledgement ends the copies; some may be under way.
    socket.send(b"!/1 <t1.test> K{2}").await.unwrap();
    let mut said = ask(&socket, "t1.test", "T=4{C=1{S=trunk/1}}").await;
    while said == reply {
        said = hear(&socket).await;
    }
    assert!(said.starts_with("!/1 <front.test> P=4{C=1{S=trunk/1{SA{bdc/dur="), "{said}");
    w.until("nothing held", |s| s.held.calls == 0 && s.held.orphans == 0).await;
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
async fn a_call_by_packets_split_at_every_byte_and_lies_close_the_link() {
    let w = world(1, TEXT).await;
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
    // A length that lies: shorter than its own header, and another protocol.
    for lie in [&[3u8, 0, 0, 2][..], b"GET / HTTP/1.1\r\n\r\n"] {
        let mut liar = TcpStream::connect(addr).await.unwrap();
        liar.write_all(lie).await.unwrap();
        assert!(packet(&mut liar).await.is_none());
    }
    // One that announces more than comes holds only itself up.
    let mut waits = TcpStream::connect(addr).await.unwrap();
    waits.write_all(&[3, 0, 0xff, 0xff, b'!']).await.unwrap();
    stream.write_all(&frame(b"!/1 <t2.test> T=3{C=1{S=trunk/1}}").unwrap()).await.unwrap();
    assert!(packet(&mut stream).await.unwrap().contains("P=3{C=1{S=trunk/1"));
    w.until("nothing held", |s| s.held.calls == 0).await;
}
