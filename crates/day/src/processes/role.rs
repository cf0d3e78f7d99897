//! The protocol between the driver and a stand-in's process, as lines of JSON on the process's standard input
//! and output, and the main loop of that process.
//!
//! The process exits when its standard input ends. Each event of the record is written before its effects can
//! be observed, so that killing the process loses no event.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use baydrift::interface::Micros;
use baydrift_audit::{RecordEntry, Recorder};
use baydrift_emulator::Command;
use baydrift_standin::{Restart, Server};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::sync::mpsc;

use crate::run::list_service;
use crate::scenario::Scenario;
use crate::timeline::Pool;
use crate::topology::server_spec;

/// The stand-in that a process runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Role {
    /// A session server; `restart` has the listening address and Origin-State-Id of a restarted server
    /// process.
    Server {
        number: usize,
        #[serde(rename = "again")]
        restart: Option<(SocketAddr, u32)>,
    },
    /// The list service, which pushes pool lists to the fronts' listeners.
    List { fronts: Vec<SocketAddr> },
}

/// The first line on standard input.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct StandInSpec {
    /// Start of the record on the monotonic clock of the machine, which all processes share.
    pub(crate) origin: u64,
    pub(crate) day: Scenario,
    pub(crate) role: Role,
}

/// Every further line on standard input.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum DriverCommand {
    /// A fault for a server to apply.
    Command(Command),
    /// A list for the list service to push at the time `due`.
    List { due: Micros, pool: Pool },
}

/// A line on standard output.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum StandInMessage {
    /// The stand-in has started; the address where it listens, if it listens.
    Ready(Option<SocketAddr>),
    /// An entry of the record.
    #[serde(rename = "Line")]
    Record(RecordEntry),
}

/// A fatal error of a stand-in's process.
#[derive(Debug, thiserror::Error)]
pub enum StandInError {
    /// A line on standard input is not a valid message.
    #[error("standard input, line {line}: {error}")]
    InvalidLine {
        /// Line number, from 1.
        line: usize,
        /// The parse error.
        error: serde_json::Error,
    },
    /// Standard input ended before the first line.
    #[error("standard input ended before the stand-in's specification (line 1)")]
    MissingSpec,
    /// A socket cannot be bound, or standard input cannot be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

fn send(message: &StandInMessage) {
    let mut out = std::io::stdout().lock();
    // Ignores write errors: if the driver has exited, standard input ends and so does this process.
    let _ = serde_json::to_writer(&mut out, message).map_err(std::io::Error::from).and_then(|()| {
        out.write_all(b"\n")?;
        out.flush()
    });
}

/// The stand-in running in this process.
enum RunningStandIn {
    Server(Server),
    List(mpsc::UnboundedSender<(Micros, Pool)>),
}

/// Runs the stand-in given by the first line on standard input until standard input ends.
///
/// # Errors
/// If a line cannot be parsed, a socket cannot be bound, or standard input cannot be read.
pub async fn run_stand_in() -> Result<(), StandInError> {
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    let first = lines.next_line().await?.ok_or(StandInError::MissingSpec)?;
    let spec: StandInSpec =
        serde_json::from_str(&first).map_err(|error| StandInError::InvalidLine { line: 1, error })?;
    let recorder =
        Arc::new(Recorder::forwarding(spec.origin, |entry| send(&StandInMessage::Record(entry.clone()))));
    let stand_in = match spec.role {
        Role::Server { number, restart } => {
            let server_spec = server_spec(&spec.day, number);
            let state_id = restart.map_or(1, |(_, state_id)| state_id);
            let seed = spec.day.seed * 100 + number as u64 + 1_000_003 * u64::from(state_id - 1);
            let restart = restart.map(|(addr, state_id)| Restart { addr, state_id });
            let server = Server::start_at(server_spec, recorder, seed, restart).await?;
            send(&StandInMessage::Ready(Some(server.addr)));
            RunningStandIn::Server(server)
        }
        Role::List { fronts } => {
            let (lists, pending_lists) = mpsc::unbounded_channel();
            tokio::spawn(list_service(recorder, fronts.into_iter().map(Some).collect(), pending_lists));
            send(&StandInMessage::Ready(None));
            RunningStandIn::List(lists)
        }
    };
    let mut line_number = 1;
    while let Some(text) = lines.next_line().await? {
        line_number += 1;
        let command = serde_json::from_str(&text)
            .map_err(|error| StandInError::InvalidLine { line: line_number, error })?;
        match (command, &stand_in) {
            (DriverCommand::Command(command), RunningStandIn::Server(server)) => server.command(command),
            (DriverCommand::List { due, pool }, RunningStandIn::List(lists)) => drop(lists.send((due, pool))),
            (command, _) => {
                tracing::warn!(order = ?command, "ignored a command for another kind of stand-in")
            }
        }
    }
    Ok(())
}
