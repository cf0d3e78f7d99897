//! The admin socket of a running front: a Unix socket that takes one command line and returns one JSON
//! document.
//!
//! Access is controlled by the permissions of the socket file, which only its owner may open. Limits:
//! [`MAX_CONNECTIONS`] at once, a command line of [`MAX_COMMAND_BYTES`], [`REQUEST_TIMEOUT`] for the whole
//! request.

use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use baydrift::interface::Micros;
use baydrift_desk::{SessionLayer, TrunkGroupView};
use baydrift_trunk::Processing;
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{oneshot, Semaphore};
use tracing::{debug, warn};

use crate::core::CoreMessage;
use crate::Shared;

/// Concurrent connections; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 8;
/// Longest command line, in bytes.
const MAX_COMMAND_BYTES: u64 = 256;
/// Time limit of a request, on both sides.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest answer that a client reads, in bytes: enough for all circuits of 250 groups, each busy.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// A bound admin socket; dropping it removes its file.
#[derive(Debug)]
pub(crate) struct Socket {
    listener: UnixListener,
    path: PathBuf,
}

impl Drop for Socket {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

impl Socket {
    /// Binds the path. The stale socket of a killed front is replaced. The socket of a running front and a
    /// file that is not a socket are left alone, and binding fails.
    pub(crate) fn bind(path: &Path) -> std::io::Result<Self> {
        let connected = std::os::unix::net::UnixStream::connect(path);
        let refused =
            matches!(&connected, Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused);
        // Connecting to a file that is not a socket is refused too.
        if refused && std::fs::symlink_metadata(path)?.file_type().is_socket() {
            std::fs::remove_file(path)?;
        }
        let listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
        Ok(Self { listener, path: path.to_owned() })
    }
}

pub(crate) async fn serve(shared: Arc<Shared>, socket: Socket) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut closing = shared.closing.clone();
    loop {
        let Ok(permit) = slots.clone().acquire_owned().await else { return };
        let accepted = tokio::select! {
            accepted = socket.listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let shared = shared.clone();
                tokio::spawn(async move {
                    if !matches!(
                        tokio::time::timeout(REQUEST_TIMEOUT, answer(&shared, stream)).await,
                        Ok(Ok(()))
                    ) {
                        debug!("admin connection ended early");
                    }
                    drop(permit);
                });
            }
            Err(error) => {
                warn!(%error, "cannot accept an admin connection");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn answer(shared: &Shared, stream: UnixStream) -> std::io::Result<()> {
    let (from, mut to) = stream.into_split();
    let mut line = String::new();
    BufReader::new(from).take(MAX_COMMAND_BYTES).read_line(&mut line).await?;
    let answer = match line.trim() {
        "circuits" => from_core(shared, CoreMessage::Circuits).await,
        "fleet" => from_core(shared, CoreMessage::Fleet).await,
        other => json!({"error": format!("{other:?} is not known here; known: circuits, fleet")}),
    };
    to.write_all(format!("{answer}\n").as_bytes()).await?;
    to.shutdown().await
}

/// Requests a document from the core.
async fn from_core(shared: &Shared, request: impl FnOnce(oneshot::Sender<Value>) -> CoreMessage) -> Value {
    let (reply, response) = oneshot::channel();
    let sent = shared.core.send(request(reply)).await;
    let document = if sent.is_ok() { response.await.ok() } else { None };
    document.unwrap_or_else(|| json!({"error": "the front stops"}))
}

/// Membership of the fleet as this front sees it, how current that view is, and this front's part of each
/// shared budget.
pub(crate) fn fleet(desk: &SessionLayer, now: Micros) -> Value {
    let membership = desk.membership().map(|membership| {
        let (view, own) = (membership.view(now), membership.local_member());
        let members = membership.members().map(|(member, alive, since)| {
            json!({
                "ordinal": member.ordinal,
                "incarnation": member.incarnation,
                "alive": alive,
                "for_ms": now.saturating_sub(since) / 1_000,
            })
        });
        json!({
            "ordinal": own.ordinal,
            "incarnation": own.incarnation,
            "alive": view.alive,
            "of": view.total,
            "known": view.known,
            "age_ms": view.age.map(|age| age / 1_000),
            "learns": view.learning,
            "members": members.collect::<Vec<_>>(),
        })
    });
    let budgets = desk.holdings().map(|(server, has)| {
        json!({
            "server": server,
            "here": has.spendable(),
            "free": has.free,
            "spent": has.spent,
            "barred": has.withheld,
            "lent": has.lent,
            "borrowed": has.borrowed_free + has.borrowed_spent,
        })
    });
    json!({"lives": membership, "budgets": budgets.collect::<Vec<_>>()})
}

/// All trunk groups with their usage, and their circuits that are not idle and unblocked.
pub(crate) fn circuits(desk: &SessionLayer, now: Micros) -> Value {
    let groups: Vec<_> = desk.trunk_groups().iter().map(|group| group_document(desk, now, group)).collect();
    let counts = desk.signalling_point().trunks().counts();
    json!({
        "groups": groups,
        "seized": counts.seized,
        "seized_there": counts.incoming,
        "glare_won": counts.glare_won,
        "glare_lost": counts.glare_lost,
        "resets": counts.resets,
        "stuck": counts.stuck,
        "queries": counts.queries,
        "queries_lost": counts.queries_lost,
    })
}

/// One trunk group.
fn group_document(desk: &SessionLayer, now: Micros, group: &TrunkGroupView) -> Value {
    let TrunkGroupView { far_end, point, name, id, view } = group;
    let trunks = desk.signalling_point().trunks();
    let circuits = (view.first..view.first.saturating_add(view.circuits)).filter_map(|cic| {
        let circuit = trunks.view(*id, cic)?;
        let state = circuit.state;
        let idle = state.processing == Processing::Idle && !state.locally_blocked && !state.remotely_blocked;
        let processing = match state.processing {
            Processing::Transient => "clearing",
            Processing::Unequipped => "unequipped",
            Processing::IncomingBusy => "incoming",
            Processing::OutgoingBusy => "outgoing",
            Processing::Idle => "idle",
        };
        (!idle).then(|| {
            json!({
                "cic": cic,
                "state": processing,
                "age_ms": now.saturating_sub(circuit.since) / 1_000,
                "blocked_here": state.locally_blocked,
                "blocked_there": state.remotely_blocked,
                "call": circuit.call.map(|call| call.0),
            })
        })
    });
    let circuits: Vec<_> = circuits.collect();
    json!({
        "far_end": &**far_end,
        "point": point,
        "group": name,
        "reachable": view.reachable,
        "first": view.first,
        "circuits": view.circuits,
        "free": view.usage.free,
        "blocked": view.usage.blocked,
        "outgoing": view.usage.outgoing,
        "incoming": view.usage.incoming,
        "clearing": view.usage.clearing,
        "last_audit_ms_ago": view.audited_at.map(|at| now.saturating_sub(at) / 1_000),
        "not_idle": circuits,
    })
}

/// Why a query on the admin socket failed.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// The socket could not be used.
    #[error("{}: {error}; is the front running, with admin socket=... in its configuration?", path.display())]
    Io {
        /// Path of the socket.
        path: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The answer is not valid JSON, or reports an error.
    #[error("the front's answer: {0}")]
    Answer(String),
}

/// Sends a command to a running front's admin socket and returns the answer.
///
/// # Errors
/// If the front does not answer in time, or answers with an error, such as for an unknown command.
pub async fn query_admin(path: &Path, command: &str) -> Result<Value, AdminError> {
    let request = async {
        let mut stream = UnixStream::connect(path).await?;
        stream.write_all(format!("{command}\n").as_bytes()).await?;
        let mut answer = String::new();
        stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer).await?;
        Ok(answer)
    };
    let answer = match tokio::time::timeout(REQUEST_TIMEOUT, request).await {
        Ok(answer) => answer,
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    };
    let answer = answer.map_err(|error| AdminError::Io { path: path.to_owned(), error })?;
    let answer: Value =
        serde_json::from_str(&answer).map_err(|error| AdminError::Answer(error.to_string()))?;
    match answer.get("error") {
        Some(error) => Err(AdminError::Answer(error.to_string())),
        None => Ok(answer),
    }
}
