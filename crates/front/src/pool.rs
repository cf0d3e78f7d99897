//! The pool list, pushed over HTTP by a list service: `POST /pool` with a token and a JSON body.

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

use crate::core::ToCore;
use crate::link::accept;
use crate::Shared;

/// Connections of list services at once; more wait.
const CONNECTIONS: usize = 8;
/// Longest list.
const BODY: usize = 256 * 1024;
/// A connection may be idle, or a body under way, for so long.
const PATIENCE: Duration = Duration::from_secs(10);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    host: String,
    state: String,
    #[serde(default)]
    started_ms_ago: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct List {
    version: u64,
    #[serde(default)]
    full: bool,
    servers: Vec<Line>,
}

fn read(body: &[u8]) -> Result<PoolList, String> {
    let list: List = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let mut servers = Vec::new();
    for line in list.servers {
        let state = match line.state.as_str() {
            "ready" => ServerState::Ready,
            "draining" => ServerState::Draining,
            "gone" => ServerState::Gone,
            other => {
                return Err(format!("server {}: state {other:?} is none of ready, draining, gone", line.host))
            }
        };
        let started_ago = line.started_ms_ago.map(|ms| ms.saturating_mul(1_000));
        servers.push(PoolEntry { host: line.host, state, started_ago });
    }
    Ok(PoolList { version: list.version, full: list.full, servers })
}

pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let room = Arc::new(Semaphore::new(CONNECTIONS));
    let mut closing = shared.closing.clone();
    while let Some((stream, _, permit)) = accept(&listener, &room, &mut closing).await {
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| answer(&shared, request));
            let mut http = hyper::server::conn::http1::Builder::new();
            http.timer(TokioTimer::new()).header_read_timeout(PATIENCE).max_buf_size(16 * 1024);
            if let Err(error) = http.serve_connection(TokioIo::new(stream), service).await {
                debug!(%error, "list service's connection");
            }
            drop(permit);
        });
    }
}

async fn answer(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    let (status, text) = take(shared, request).await;
    if !status.is_success() {
        warn!(%status, text, "pool list");
    }
    let mut response = Response::new(Full::new(Bytes::from(text + "\n")));
    *response.status_mut() = status;
    Ok(response)
}

async fn take(shared: &Arc<Shared>, request: Request<Incoming>) -> (StatusCode, String) {
    let token = shared.config.pool.as_ref().map_or("", |pool| pool.token.as_str());
    let shown = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    if shown.and_then(|value| value.strip_prefix("Bearer ")) != Some(token) {
        return (StatusCode::UNAUTHORIZED, "no valid token was shown".into());
    }
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/pool") => {}
        (_, "/pool") => return (StatusCode::METHOD_NOT_ALLOWED, "lists are posted".into()),
        (_, path) => return (StatusCode::NOT_FOUND, format!("nothing is at {path}")),
    }
    let body = Limited::new(request.into_body(), BODY).collect();
    let body = match tokio::time::timeout(PATIENCE, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return (StatusCode::PAYLOAD_TOO_LARGE, format!("body: {error}")),
        Err(_) => return (StatusCode::REQUEST_TIMEOUT, "the body did not come in time".into()),
    };
    let list = match read(&body) {
        Ok(list) => list,
        Err(text) => return (StatusCode::BAD_REQUEST, text),
    };
    let (reply, told) = oneshot::channel();
    if shared.core.send(ToCore::Pool(list, reply)).await.is_err() {
        return (StatusCode::SERVICE_UNAVAILABLE, "the front stops".into());
    }
    match told.await {
        Ok(Ok(())) => (StatusCode::OK, "taken".into()),
        Ok(Err(error @ PoolError::Outdated { .. })) => (StatusCode::CONFLICT, error.to_string()),
        Ok(Err(error)) => (StatusCode::UNPROCESSABLE_ENTITY, error.to_string()),
        Err(_) => (StatusCode::SERVICE_UNAVAILABLE, "the front stops".into()),
    }
}
