//! When the name server is asked, and which of its answers count.

use baydrift::interface::Micros;
use baydrift_platform::{dns, ListSnapshot};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time from an answer to the next question: a change is known well within the 1.5 s at which it counts as told.
const EVERY: Micros = 200_000;
/// A question unanswered for so long is asked again: answers get lost.
const AGAIN: Micros = 150_000;
/// Questions whose answers still count: a slow answer is as good as a quick one.
const OPEN_MAX: usize = 4;
/// Questions without an answer, one after the other, before the next goes out from another port. Guards against a way
/// that has gone quiet for good where the name server has not (RFC 5452 wants ports that change in any case).
const QUIET: u32 = 4;

/// The asking.
#[derive(Debug)]
pub(super) struct Names {
    rng: Pcg64Mcg,
    open: Vec<u16>,
    due: Micros,
    /// Questions since the last answer.
    unanswered: u32,
}

impl Names {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x6e61_6d65_7300),
            open: Vec::new(),
            due: 0,
            unanswered: 0,
        }
    }

    pub(super) fn due(&self) -> Micros {
        self.due
    }

    /// The query, where one is due, and whether it goes out from another port.
    pub(super) fn ask(&mut self, now: Micros) -> Option<(Vec<u8>, bool)> {
        if now < self.due {
            return None;
        }
        self.due = now + AGAIN;
        let id = self.rng.next_u32() as u16;
        if self.open.len() >= OPEN_MAX {
            self.open.remove(0);
        }
        self.open.push(id);
        let anew = self.unanswered > 0 && self.unanswered % QUIET == 0;
        self.unanswered = self.unanswered.wrapping_add(1);
        Some((dns::query(id).ok()?, anew))
    }

    /// The list in an answer, if it is an answer to a question of ours. Any other changes nothing: the next
    /// question goes out when it is due.
    pub(super) fn read(&mut self, now: Micros, bytes: &[u8]) -> Option<ListSnapshot> {
        let id = u16::from_be_bytes([*bytes.first()?, *bytes.get(1)?]);
        if !self.open.contains(&id) {
            return None;
        }
        match dns::read(bytes, id) {
            Ok(listed) => {
                self.open.clear();
                (self.due, self.unanswered) = (now + EVERY, 0);
                Some(listed)
            }
            Err(fault) => {
                tracing::debug!("{fault}");
                self.open.retain(|open| *open != id);
                None
            }
        }
    }

    /// The name server has moved: it is asked at once, and what was asked before counts no longer.
    pub(super) fn moved(&mut self, now: Micros) {
        self.open.clear();
        (self.due, self.unanswered) = (now, 0);
    }
}
