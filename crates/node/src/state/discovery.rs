//! Service discovery: schedules the queries to the name server and validates its answers.

use std::collections::VecDeque;

use baydrift::interface::Micros;
use baydrift_platform::{dns, ListSnapshot};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time from an answer to the next query, so that a change is known well within the permitted 1.5 s. While the
/// answers to later queries are due, it counts from the last query instead: a slow name server is asked as often.
const REFRESH_INTERVAL: Micros = 200_000;
/// Time after which an unanswered query is repeated, since datagrams may be lost.
const RETRY_AFTER: Micros = 150_000;
/// Number of outstanding queries whose answers are still accepted, so that one may take
/// `OUTSTANDING_MAX * RETRY_AFTER` = 4.8 s.
const OUTSTANDING_MAX: usize = 32;
/// Number of consecutive unanswered queries after which the next one is sent from a new
/// port. Guards against a flow that is dropped for good while the name server is reachable
/// (RFC 5452 recommends changing ports in any case).
const QUERIES_PER_PORT: u32 = 4;

/// Outstanding queries and the schedule of the next one.
#[derive(Debug)]
pub(super) struct Discovery {
    rng: Pcg64Mcg,
    /// Ids of the queries whose answers are accepted, oldest first.
    outstanding: VecDeque<u16>,
    /// Time of the last query.
    queried_at: Micros,
    /// Time of the next query.
    due: Micros,
    /// Queries since the last answer.
    unanswered: u32,
}

impl Discovery {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x6e61_6d65_7300),
            outstanding: VecDeque::new(),
            queried_at: 0,
            due: 0,
            unanswered: 0,
        }
    }

    pub(super) fn due(&self) -> Micros {
        self.due
    }

    /// Returns the query that is due, if any, and whether it is to be sent from a new port.
    pub(super) fn next_query(&mut self, now: Micros) -> Option<(Vec<u8>, bool)> {
        if now < self.due {
            return None;
        }
        (self.queried_at, self.due) = (now, now + RETRY_AFTER);
        let id = self.rng.next_u32() as u16;
        if self.outstanding.len() >= OUTSTANDING_MAX {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back(id);
        let new_port = self.unanswered > 0 && self.unanswered % QUERIES_PER_PORT == 0;
        self.unanswered = self.unanswered.wrapping_add(1);
        Some((dns::query(id).ok()?, new_port))
    }

    /// Returns the list in an answer to an outstanding query. Other datagrams are
    /// ignored: the next query is sent when it is due. Answers to earlier and later queries stay valid, since
    /// a name server that is slow answers each with the list of that time.
    pub(super) fn read_answer(&mut self, now: Micros, bytes: &[u8]) -> Option<ListSnapshot> {
        let id = u16::from_be_bytes([*bytes.first()?, *bytes.get(1)?]);
        let Some(position) = self.outstanding.iter().position(|own| *own == id) else {
            tracing::debug!("discovery answer ignored: no query with id {id} is outstanding");
            return None;
        };
        self.outstanding.remove(position);
        match dns::read(bytes, id) {
            Ok(listed) => {
                let answers_last_query = position == self.outstanding.len();
                let interval_from = if answers_last_query { now } else { self.queried_at };
                (self.due, self.unanswered) = (interval_from + REFRESH_INTERVAL, 0);
                Some(listed)
            }
            Err(fault) => {
                tracing::debug!("discovery answer is invalid: {fault}");
                None
            }
        }
    }

    /// Discards the outstanding queries and makes the next one due at once,
    /// since the name server's address changed.
    pub(super) fn name_server_changed(&mut self, now: Micros) {
        self.outstanding.clear();
        (self.due, self.unanswered) = (now, 0);
    }
}
