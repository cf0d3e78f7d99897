//! The list service's side: a pushed pool list.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Pushes a list to a front; its status, 0 where there was no answer.
pub async fn push(addr: SocketAddr, token: &str, list: &serde_json::Value) -> u16 {
    let sent = async {
        let stream = TcpStream::connect(addr).await.ok()?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        let request = Request::post("/pool")
            .header("host", addr.to_string())
            .header("authorization", format!("Bearer {token}"))
            .body(Full::new(Bytes::from(list.to_string())))
            .ok()?;
        sender.send_request(request).await.ok().map(|response| response.status().as_u16())
    };
    sent.await.unwrap_or(0)
}
