//! What operators ask a running front, on a Unix socket: one line in, one JSON document out.
//!
//! Who may ask is who may open the file: it is made for its owner alone. Bounds: [`CONNECTIONS`] at once, a line of
//! [`LINE`] octets, [`PATIENCE`] for all of it.

use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use baydrift::interface::Micros;
use baydrift_desk::{Desk, TrunkGroupView};
use baydrift_trunk::Processing;
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{oneshot, Semaphore};
use tracing::{debug, warn};

use crate::core::ToCore;
use crate::Shared;

const CONNECTIONS: usize = 8;
const LINE: u64 = 256;
const PATIENCE: Duration = Duration::from_secs(10);
/// Longest answer that is read: all circuits of 250 groups, each busy.
const ANSWER: u64 = 64 * 1024 * 1024;

/// A bound socket; its file goes with it.
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
    /// Binds the path. A file that a killed front left is replaced; one that a running front listens on is not, nor
    /// is a file that is no socket.
    pub(crate) fn bind(path: &Path) -> std::io::Result<Self> {
        let left = std::os::unix::net::UnixStream::connect(path);
        let dead = matches!(&left, Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused);
        // A file that is no socket refuses connections too.
        if dead && std::fs::symlink_metadata(path)?.file_type().is_socket() {
            std::fs::remove_file(path)?;
        }
        let listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
        Ok(Self { listener, path: path.to_owned() })
    }
}

pub(crate) async fn serve(shared: Arc<Shared>, socket: Socket) {
    let room = Arc::new(Semaphore::new(CONNECTIONS));
    let mut closing = shared.closing.clone();
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        let accepted = tokio::select! {
            accepted = socket.listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let shared = shared.clone();
                tokio::spawn(async move {
                    if !matches!(tokio::time::timeout(PATIENCE, answer(&shared, stream)).await, Ok(Ok(()))) {
                        debug!("an operator's connection ended early");
                    }
                    drop(permit);
                });
            }
            Err(error) => {
                warn!(%error, "operators' socket");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn answer(shared: &Shared, stream: UnixStream) -> std::io::Result<()> {
    let (from, mut to) = stream.into_split();
    let mut line = String::new();
    BufReader::new(from).take(LINE).read_line(&mut line).await?;
    let said = match line.trim() {
        "circuits" => from_core(shared, ToCore::Circuits).await,
        "fleet" => from_core(shared, ToCore::Fleet).await,
        other => json!({"error": format!("{other:?} is not known here; known: circuits, fleet")}),
    };
    to.write_all(format!("{said}\n").as_bytes()).await?;
    to.shutdown().await
}

async fn from_core(shared: &Shared, question: impl FnOnce(oneshot::Sender<Value>) -> ToCore) -> Value {
    let (tell, told) = oneshot::channel();
    let asked = shared.core.send(question(tell)).await;
    let told = if asked.is_ok() { told.await.ok() } else { None };
    told.unwrap_or_else(|| json!({"error": "the front stops"}))
}

/// Who of the fleet is believed alive, how far that may be relied on, and what this front has of each shared budget.
pub(crate) fn fleet(desk: &Desk, now: Micros) -> Value {
    let lives = desk.lives().map(|lives| {
        let (view, own) = (lives.view(now), lives.local_member());
        let members = lives.members().map(|(member, alive, since)| {
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
    json!({"lives": lives, "budgets": budgets.collect::<Vec<_>>()})
}

/// All groups, and their circuits that are not plainly idle.
pub(crate) fn circuits(desk: &Desk, now: Micros) -> Value {
    let groups: Vec<_> = desk.trunk_groups().iter().map(|group| of_group(desk, now, group)).collect();
    let counts = desk.office().trunks().counts();
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

fn of_group(desk: &Desk, now: Micros, group: &TrunkGroupView) -> Value {
    let TrunkGroupView { far_end, point, name, id, view } = group;
    let trunks = desk.office().trunks();
    let circuits = (view.first..view.first.saturating_add(view.circuits)).filter_map(|cic| {
        let circuit = trunks.view(*id, cic)?;
        let told = circuit.state;
        let plain = told.processing == Processing::Idle && !told.locally_blocked && !told.remotely_blocked;
        let state = match told.processing {
            Processing::Transient => "clearing",
            Processing::Unequipped => "unequipped",
            Processing::IncomingBusy => "incoming",
            Processing::OutgoingBusy => "outgoing",
            Processing::Idle => "idle",
        };
        (!plain).then(|| {
            json!({
                "cic": cic,
                "state": state,
                "age_ms": now.saturating_sub(circuit.since) / 1_000,
                "blocked_here": told.locally_blocked,
                "blocked_there": told.remotely_blocked,
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

/// Why a front could not be asked.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// Its socket.
    #[error("{}: {error}; is the front running, with admin socket=... in its configuration?", path.display())]
    Io {
        /// Where.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// What it answered is no answer.
    #[error("the front's answer: {0}")]
    Answer(String),
}

/// Asks a running front.
///
/// # Errors
/// Where it does not answer, or says that it does not know the question.
pub async fn query_admin(path: &Path, question: &str) -> Result<Value, AdminError> {
    let asked = async {
        let mut stream = UnixStream::connect(path).await?;
        stream.write_all(format!("{question}\n").as_bytes()).await?;
        let mut said = String::new();
        stream.take(ANSWER).read_to_string(&mut said).await?;
        Ok(said)
    };
    let asked = match tokio::time::timeout(PATIENCE, asked).await {
        Ok(asked) => asked,
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    };
    let said = asked.map_err(|error| AdminError::Io { path: path.to_owned(), error })?;
    let said: Value = serde_json::from_str(&said).map_err(|error| AdminError::Answer(error.to_string()))?;
    match said.get("error") {
        Some(error) => Err(AdminError::Answer(error.to_string())),
        None => Ok(said),
    }
}
