//! HTTP endpoint to which a list service pushes the pool list: `POST /pool` with a bearer token and a JSON
//! body.

use std::sync::Arc;
use std::time::Duration;

use baydrift::interface::ServerState;
use baydrift_desk::{PoolEntry, PoolError, PoolList};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, Semaphore};
use tracing::{debug, warn};

use crate::core::CoreMessage;
use crate::link::accept;
use crate::Shared;

/// Concurrent connections of list services; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 8;
/// Longest request body, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// Time limit for reading a request's header, and for its body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A server in the JSON body.
#[derive(Deserialize)]
#[serde(rename = "Line", deny_unknown_fields)]
struct ListedServer {
    host: String,
    state: String,
    #[serde(default)]
    started_ms_ago: Option<u64>,
}

/// The JSON body.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct List {
    version: u64,
    #[serde(default)]
    full: bool,
    servers: Vec<ListedServer>,
}

fn parse_list(body: &[u8]) -> Result<PoolList, String> {
    let list: List = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let mut servers = Vec::new();
    for server in list.servers {
        let state = match server.state.as_str() {
            "ready" => ServerState::Ready,
            "draining" => ServerState::Draining,
            "gone" => ServerState::Gone,
            other => {
                return Err(format!(
                    "server {}: state {other:?} is none of ready, draining, gone",
                    server.host
                ))
            }
        };
        let started_ago = server.started_ms_ago.map(|ms| ms.saturating_mul(1_000));
        servers.push(PoolEntry { host: server.host, state, started_ago });
    }
    Ok(PoolList { version: list.version, full: list.full, servers })
}

pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut closing = shared.closing.clone();
    while let Some((stream, _, permit)) = accept(&listener, &slots, &mut closing).await {
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| answer(&shared, request));
            let mut http = hyper::server::conn::http1::Builder::new();
            http.timer(TokioTimer::new()).header_read_timeout(READ_TIMEOUT).max_buf_size(16 * 1024);
            if let Err(error) = http.serve_connection(TokioIo::new(stream), service).await {
                debug!(%error, "connection of a list service failed");
            }
            drop(permit);
        });
    }
}

async fn answer(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    let (status, text) = handle_request(shared, request).await;
    if !status.is_success() {
        warn!(%status, text, "pool list request rejected");
    }
    let mut response = Response::new(Full::new(Bytes::from(text + "\n")));
    *response.status_mut() = status;
    Ok(response)
}

/// Checks a request and passes its list to the core; returns the status and text of the response.
async fn handle_request(shared: &Arc<Shared>, request: Request<Incoming>) -> (StatusCode, String) {
    let token = shared.config.pool.as_ref().map_or("", |pool| pool.token.as_str());
    let authorization = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    if authorization.and_then(|value| value.strip_prefix("Bearer ")) != Some(token) {
        return (StatusCode::UNAUTHORIZED, "no valid token was shown".into());
    }
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/pool") => {}
        (_, "/pool") => return (StatusCode::METHOD_NOT_ALLOWED, "lists are posted".into()),
        (_, path) => return (StatusCode::NOT_FOUND, format!("nothing is at {path}")),
    }
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
    let body = match tokio::time::timeout(READ_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return (StatusCode::PAYLOAD_TOO_LARGE, format!("body: {error}")),
        Err(_) => return (StatusCode::REQUEST_TIMEOUT, "the body did not come in time".into()),
    };
    let list = match parse_list(&body) {
        Ok(list) => list,
        Err(text) => return (StatusCode::BAD_REQUEST, text),
    };
    let (reply, result) = oneshot::channel();
    if shared.core.send(CoreMessage::Pool(list, reply)).await.is_err() {
        return (StatusCode::SERVICE_UNAVAILABLE, "the front stops".into());
    }
    match result.await {
        Ok(Ok(())) => (StatusCode::OK, "taken".into()),
        Ok(Err(error @ PoolError::Outdated { .. })) => (StatusCode::CONFLICT, error.to_string()),
        Ok(Err(error)) => (StatusCode::UNPROCESSABLE_ENTITY, error.to_string()),
        Err(_) => (StatusCode::SERVICE_UNAVAILABLE, "the front stops".into()),
    }
}
