//! The client side of a list service that pushes the pool list to a front.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Pushes a list to a front. Returns the HTTP status, or 0 if there was no response.
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
