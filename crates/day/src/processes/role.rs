//! What a stand-in's process is told and tells: lines of JSON on its standard input and output.
//!
//! It ends when its input does. Each moment of the record is written out before what it tells of goes on, so that a
//! process which is killed takes nothing of the record with it.

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

use crate::cast::server_spec;
use crate::course::Pool;
use crate::run::list_service;
use crate::script::Day;

/// Which part a process plays.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Role {
    /// A session server; `again` for a later process of it: where it listens, and its origin state.
    Server { number: usize, again: Option<(SocketAddr, u32)> },
    /// The list service, which pushes to fronts' listeners.
    List { fronts: Vec<SocketAddr> },
}

/// The first line that it is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// The record's begin, on the machine's clock.
    pub(crate) origin: u64,
    pub(crate) day: Day,
    pub(crate) role: Role,
}

/// Every later line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Order {
    /// A server's trouble.
    Command(Command),
    /// The list service pushes this list at a time.
    List { due: Micros, pool: Pool },
}

/// What it tells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Word {
    /// It serves: where, if anywhere.
    Ready(Option<SocketAddr>),
    /// A line of the record.
    Line(RecordEntry),
}

/// Why a stand-in's process ends.
#[derive(Debug, thiserror::Error)]
pub enum StandInError {
    /// A line that it was told is none of its words.
    #[error("standard input, line {line}: {error}")]
    Told {
        /// From 1.
        line: usize,
        /// Why.
        error: serde_json::Error,
    },
    /// Nothing was told at all.
    #[error("standard input ended before it said what to play")]
    Nothing,
    /// It cannot listen, or standard input cannot be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

fn say(word: &Word) {
    let mut out = std::io::stdout().lock();
    // A driver that is gone reads nothing more; this process ends with its input.
    let _ = serde_json::to_writer(&mut out, word).map_err(std::io::Error::from).and_then(|()| {
        out.write_all(b"\n")?;
        out.flush()
    });
}

enum Part {
    Server(Server),
    List(mpsc::UnboundedSender<(Micros, Pool)>),
}

/// Plays one part of a day until standard input ends.
///
/// # Errors
/// The first line that cannot be read, or a socket that cannot be had.
pub async fn run_stand_in() -> Result<(), StandInError> {
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    let first = lines.next_line().await?.ok_or(StandInError::Nothing)?;
    let hello: Hello = serde_json::from_str(&first).map_err(|error| StandInError::Told { line: 1, error })?;
    let recorder = Arc::new(Recorder::forwarding(hello.origin, |line| say(&Word::Line(line.clone()))));
    let part = match hello.role {
        Role::Server { number, again } => {
            let spec = server_spec(&hello.day, number);
            let state_id = again.map_or(1, |(_, state_id)| state_id);
            let seed = hello.day.seed * 100 + number as u64 + 1_000_003 * u64::from(state_id - 1);
            let again = again.map(|(addr, state_id)| Restart { addr, state_id });
            let server = Server::start_at(spec, recorder, seed, again).await?;
            say(&Word::Ready(Some(server.addr)));
            Part::Server(server)
        }
        Role::List { fronts } => {
            let (lists, pushed) = mpsc::unbounded_channel();
            tokio::spawn(list_service(recorder, fronts.into_iter().map(Some).collect(), pushed));
            say(&Word::Ready(None));
            Part::List(lists)
        }
    };
    let mut count = 1;
    while let Some(text) = lines.next_line().await? {
        count += 1;
        let order = serde_json::from_str(&text).map_err(|error| StandInError::Told { line: count, error })?;
        match (order, &part) {
            (Order::Command(command), Part::Server(server)) => server.command(command),
            (Order::List { due, pool }, Part::List(lists)) => drop(lists.send((due, pool))),
            (order, _) => tracing::warn!(?order, "an order for another part"),
        }
    }
    Ok(())
}
