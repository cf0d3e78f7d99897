//! A call and an attempt as the engine holds them.

use baydrift::interface::{Call, CallId, Micros, ServerId};

use crate::types::{AttemptId, Request, Session};

/// Requests for one call that can wait for its answer at once; the oldest go unanswered beyond it.
pub(crate) const WAITING_MAX: usize = 4;

/// Where a call is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No attempt is out; the module has it.
    Deciding,
    /// One attempt is out.
    Out(AttemptId),
    /// It stands.
    Standing(AttemptId),
}

/// A call from its offer until it is over.
#[derive(Debug)]
pub(crate) struct Held<P> {
    pub(crate) session: Session,
    /// Requests that wait for the answer; empty once it is given.
    pub(crate) waiting: Vec<Request>,
    pub(crate) phase: Phase,
    pub(crate) class: usize,
    /// The answer must be out by then.
    pub(crate) answer_by: Micros,
    /// Set-ups asked for by the module, carried out or not.
    pub(crate) asked: u16,
    /// Set-ups carried out.
    pub(crate) sent: u32,
    /// When the last attempt ended that may still hold something at its server.
    pub(crate) unsure_at: Option<Micros>,
    /// Set-ups that the guard held back.
    pub(crate) held_back: u8,
    /// `None` once answered.
    pub(crate) payload: Option<P>,
    /// Since when its owner has no link.
    pub(crate) away_since: Option<Micros>,
    /// The module has not heard of it: what it will be told, and since when that waits.
    pub(crate) untold: Option<(Micros, Call)>,
}

impl<P> Held<P> {
    /// A call without requests that wait, nor a payload.
    pub(crate) fn new(session: Session, class: usize, phase: Phase, answer_by: Micros) -> Self {
        Self {
            session,
            waiting: Vec::new(),
            phase,
            class,
            answer_by,
            asked: 0,
            sent: 0,
            unsure_at: None,
            held_back: 0,
            payload: None,
            away_since: None,
            untold: None,
        }
    }
}

/// Where an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its answer is awaited.
    Out,
    /// It stands.
    Standing,
    /// Its call is over; `true` while the module still waits to hear of its end.
    Releasing {
        /// The module is owed an `Ended(Ok)`.
        owed: bool,
    },
}

/// One set-up at one server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) call: CallId,
    pub(crate) index: u16,
    pub(crate) server: ServerId,
    pub(crate) class: usize,
    pub(crate) sent_at: Micros,
    pub(crate) stage: Stage,
    /// Taken over from another process: the module never heard of it.
    pub(crate) adopted: bool,
}
