//! Transactions between two ends over a transport that may lose, double, delay and reorder (RFC 3525, section 8
//! and Annex D), without I/O or a clock.
//!
//! [`Exchange`] is one association: each request is executed at most once, its reply kept for LONG-TIMER and said
//! again to a repeat; own requests are repeated with a measured round trip and back-off. [`Turns`] decides whose
//! requests run and whose wait when there are more than may run at once.

mod ids;
mod receive;
mod send;
mod turns;

use std::sync::Arc;

use baydrift::interface::Micros;

pub use ids::Ids;
pub use turns::{Turn, Turns};

use receive::Receiver;
use send::Sender;

/// Times and bounds of an association.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// LONG-TIMER: longer than any copy of a message stays under way (Annex D.1.4: 30 s).
    pub long_timer: Micros,
    /// Normal execution time: a request that takes longer is told to be pending (section 8.2.3).
    pub execution: Micros,
    /// Pendings sent for one request (H.248.8: the limit after which 506 is due).
    pub pendings: u32,
    /// Requests known at once: executing, answered and kept, or acknowledged and remembered by id alone.
    pub known: usize,
    /// First guess of the time until a repeat, before a round trip is measured.
    pub first_repeat: Micros,
    /// A repeat is never later than this after the last.
    pub longest_repeat: Micros,
    /// A reply whose acknowledgement was asked for is never said again later than this after the last copy.
    pub longest_reply_repeat: Micros,
    /// Times that one request is sent before the other end counts as lost ...
    pub sends: u32,
    /// ... and for how long: by a measured round trip of milliseconds the sends alone are over in half a second,
    /// and so often at 20% loss that a living client with all its calls was given up (section 8.2.3: LONG-TIMER).
    pub lost_after: Micros,
    /// Own requests that wait for a reply at once.
    pub open: usize,
    /// Whether the transport keeps order and loses nothing (TCP): no repeats then.
    pub reliable: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            long_timer: 30_000_000,
            execution: 300_000,
            pendings: 20,
            known: 20_000,
            first_repeat: 200_000,
            longest_repeat: 4_000_000,
            longest_reply_repeat: 250_000,
            sends: 7,
            lost_after: 30_000_000,
            open: 10_000,
            reliable: false,
        }
    }
}

/// What came from the other end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Heard {
    /// A request.
    Request(u32),
    /// A reply to one of ours.
    Reply {
        /// Its transaction.
        id: u32,
        /// Its acknowledgement is wanted at once.
        immediate_ack: bool,
    },
    /// One of ours takes its time.
    Pending(u32),
    /// Replies of ours that arrived, as ranges with both ends within.
    Ack(Vec<(u32, u32)>),
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Do {
    /// Execute a request; [`Exchange::answer`] takes its reply.
    Execute(u32),
    /// Send a text as it is: a reply, or an own request.
    Send(Arc<str>),
    /// Send a TransactionPending.
    Pending(u32),
    /// Send a TransactionResponseAck for a reply.
    Ack(u32),
    /// Refuse a request that cannot even be remembered.
    Refuse(u32),
    /// A reply to an own request came, for the first time.
    Delivered(u32),
    /// An own request was sent as often as may be, unanswered: the other end counts as lost.
    Lost(u32),
}

/// What has happened; each only grows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests executed.
    pub executed: u64,
    /// Repeats of requests that were known.
    pub repeats: u64,
    /// Replies said again.
    pub said_again: u64,
    /// Pendings sent.
    pub pendings: u64,
    /// Requests refused at the bound.
    pub refused: u64,
    /// Replies, pendings and acks for ids never sent or long forgotten.
    pub stray: u64,
    /// Own requests sent again.
    pub resent: u64,
}

/// One association.
#[derive(Debug)]
pub struct Exchange {
    receiver: Receiver,
    sender: Sender,
    counts: Counts,
}

impl Exchange {
    /// A new association; `seed` draws the jitter of repeats.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            receiver: Receiver::new(settings),
            sender: Sender::new(settings, seed),
            counts: Counts::default(),
        }
    }

    /// Something came.
    pub fn heard(&mut self, now: Micros, heard: Heard, out: &mut Vec<Do>) {
        match heard {
            Heard::Request(id) => self.receiver.request(now, id, &mut self.counts, out),
            Heard::Ack(ranges) => self.receiver.acknowledged(&ranges, &mut self.counts),
            Heard::Reply { id, immediate_ack } => {
                self.sender.replied(now, id, &mut self.counts, out);
                if immediate_ack {
                    out.push(Do::Ack(id));
                }
            }
            Heard::Pending(id) => self.sender.pending(now, id, &mut self.counts),
        }
    }

    /// The reply to a request that was executed. Only the first counts. Where the text asks for its
    /// acknowledgement at once (section 8.2.3), it is said again until that comes or `again_for` has passed.
    pub fn answer(&mut self, now: Micros, id: u32, text: Arc<str>, again_for: Micros, out: &mut Vec<Do>) {
        self.receiver.answer(now, id, text, again_for, out);
    }

    /// Sends an own request, made by `text` from its new id; `None` when too many are open.
    pub fn send(&mut self, now: Micros, text: impl FnOnce(u32) -> String, out: &mut Vec<Do>) -> Option<u32> {
        self.sender.send(now, text, out)
    }

    /// An own request is of no use any more: it is not said again, so that nobody who hears of it only now carries it
    /// out. A reply that comes all the same is told within LONG-TIMER.
    pub fn quiet(&mut self, now: Micros, id: u32) {
        self.sender.quiet(now, id);
    }

    /// When [`Exchange::tick`] is wanted at the latest.
    pub fn due(&self) -> Option<Micros> {
        self.receiver.due().into_iter().chain(self.sender.due()).min()
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Do>) {
        self.receiver.tick(now, &mut self.counts, out);
        self.sender.tick(now, &mut self.counts, out);
    }

    /// The other end restarted, as it said in request `keep`: its ids start anew, and what it had asked for
    /// before is of no use to it.
    pub fn restart(&mut self, keep: u32) {
        self.receiver.clear_but(keep);
    }

    /// Whether the transport keeps order and loses nothing.
    pub fn is_reliable(&self) -> bool {
        self.receiver.is_reliable()
    }

    /// What has happened.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Requests known, and own ones open.
    pub fn held(&self) -> (usize, usize) {
        (self.receiver.len(), self.sender.len())
    }

    /// The smoothed round trip, once one was measured.
    pub fn round_trip(&self) -> Option<Micros> {
        self.sender.round_trip()
    }
}
