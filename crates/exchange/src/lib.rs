//! At-most-once transactions between two peers over a transport that may lose, duplicate, delay and reorder
//! messages (RFC 3525, section 8 and Annex D), without I/O or a clock.
//!
//! [`Exchange`] is one association. Each request of the peer is executed at most once; its reply is kept for
//! LONG-TIMER and sent again for each duplicate of the request. Own requests are retransmitted at intervals
//! derived from the measured round-trip time, with exponential back-off. [`FairQueue`] decides which clients'
//! requests run and which are queued when there are more than may run at once.

mod fair_queue;
mod ids;
mod receive;
mod send;

use std::sync::Arc;

use baydrift::interface::Micros;

pub use fair_queue::{FairQueue, QueueDecision};
pub use ids::IdAllocator;

use receive::Receiver;
use send::Sender;

/// Timers and limits of an association.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// LONG-TIMER: exceeds the time that any copy of a message can be in transit (Annex D.1.4: 30 s).
    pub long_timer: Micros,
    /// Normal execution time: the peer is sent a TransactionPending for a request that takes longer (section
    /// 8.2.3).
    pub execution_time: Micros,
    /// Maximum number of pendings sent for one request (H.248.8: error 506 is due after this limit).
    pub max_pendings: u32,
    /// Maximum number of known requests: executing, answered with the reply kept, or acknowledged with only
    /// the id kept.
    pub max_known_requests: usize,
    /// Initial retransmission interval, used until a round-trip time was measured.
    pub initial_retransmit_interval: Micros,
    /// Upper bound of the retransmission interval.
    pub max_retransmit_interval: Micros,
    /// Upper bound of the retransmission interval of a reply whose acknowledgement was requested.
    pub max_reply_retransmit_interval: Micros,
    /// Number of times that a request must have been sent unanswered before the peer is considered lost. Both
    /// this and `lost_after` must be reached.
    pub lost_after_sends: u32,
    /// Time since the first send before the peer is considered lost (section 8.2.3: LONG-TIMER). With a
    /// round-trip time of milliseconds the number of sends alone is reached within half a second, which at
    /// 20% loss happened so often that a live client was given up together with all its calls.
    pub lost_after: Micros,
    /// Maximum number of own requests that await a reply.
    pub max_open_requests: usize,
    /// Whether the transport is ordered and lossless (TCP), so that nothing is retransmitted.
    pub reliable: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            long_timer: 30_000_000,
            execution_time: 300_000,
            max_pendings: 20,
            max_known_requests: 20_000,
            initial_retransmit_interval: 200_000,
            max_retransmit_interval: 4_000_000,
            max_reply_retransmit_interval: 250_000,
            lost_after_sends: 7,
            lost_after: 30_000_000,
            max_open_requests: 10_000,
            reliable: false,
        }
    }
}

/// A message received from the peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeInput {
    /// A request, by its transaction id.
    Request(u32),
    /// A reply to an own request.
    Reply {
        /// Transaction id.
        id: u32,
        /// The peer requests an immediate acknowledgement.
        immediate_ack: bool,
    },
    /// The peer is still executing an own request.
    Pending(u32),
    /// Acknowledged own replies, as inclusive ranges of transaction ids.
    Ack(Vec<(u32, u32)>),
}

/// An action that the caller must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeAction {
    /// Execute a request, then pass its reply to [`Exchange::reply`].
    Execute(u32),
    /// Send a message unchanged: a reply or an own request.
    Send(Arc<str>),
    /// Send a TransactionPending.
    Pending(u32),
    /// Send a TransactionResponseAck for a reply.
    Ack(u32),
    /// Refuse a request for which there is no room.
    Refuse(u32),
    /// The first reply to an own request has arrived.
    Delivered(u32),
    /// An own request remained unanswered: the peer is considered lost.
    Lost(u32),
}

/// Cumulative event counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests executed.
    pub executed: u64,
    /// Duplicates of known requests.
    pub duplicates: u64,
    /// Replies sent again.
    pub replies_resent: u64,
    /// Pendings sent.
    pub pendings: u64,
    /// Requests refused for lack of room.
    pub refused: u64,
    /// Replies, pendings and acknowledgements for ids that were never sent or are no longer known.
    pub stray: u64,
    /// Own requests sent again.
    pub requests_resent: u64,
}

/// One association with a peer.
#[derive(Debug)]
pub struct Exchange {
    receiver: Receiver,
    sender: Sender,
    counts: Counts,
}

impl Exchange {
    /// Creates an association. `seed` determines the first transaction id and the jitter of retransmissions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            receiver: Receiver::new(settings),
            sender: Sender::new(settings, seed),
            counts: Counts::default(),
        }
    }

    /// Handles a message of the peer.
    pub fn handle(&mut self, now: Micros, input: ExchangeInput, out: &mut Vec<ExchangeAction>) {
        match input {
            ExchangeInput::Request(id) => self.receiver.request(now, id, &mut self.counts, out),
            ExchangeInput::Ack(ranges) => self.receiver.acknowledged(&ranges, &mut self.counts),
            ExchangeInput::Reply { id, immediate_ack } => {
                self.sender.replied(now, id, &mut self.counts, out);
                if immediate_ack {
                    out.push(ExchangeAction::Ack(id));
                }
            }
            ExchangeInput::Pending(id) => self.sender.pending(now, id, &mut self.counts),
        }
    }

    /// Sends the reply to an executed request; only the first reply counts. If the reply requests an
    /// immediate acknowledgement (section 8.2.3), it is retransmitted until that arrives or `retransmit_for`
    /// has passed.
    pub fn reply(
        &mut self,
        now: Micros,
        id: u32,
        text: Arc<str>,
        retransmit_for: Micros,
        out: &mut Vec<ExchangeAction>,
    ) {
        self.receiver.reply(now, id, text, retransmit_for, out);
    }

    /// Sends an own request, which `text` builds from its new id. Returns the id, or `None` if too many are
    /// open.
    pub fn send(
        &mut self,
        now: Micros,
        text: impl FnOnce(u32) -> String,
        out: &mut Vec<ExchangeAction>,
    ) -> Option<u32> {
        self.sender.send(now, text, out)
    }

    /// Stops retransmitting an own request whose result is no longer wanted, so that a peer that has not
    /// received it yet does not execute it. A reply that arrives within LONG-TIMER is still reported.
    pub fn abandon(&mut self, now: Micros, id: u32) {
        self.sender.abandon(now, id);
    }

    /// Latest time at which [`Exchange::tick`] must be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.receiver.next_wake().into_iter().chain(self.sender.next_wake()).min()
    }

    /// Handles all timers that are due at `now`.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<ExchangeAction>) {
        self.receiver.tick(now, &mut self.counts, out);
        self.sender.tick(now, &mut self.counts, out);
    }

    /// Resets the receiving side after the peer has announced its restart in request `keep`: its ids start
    /// anew, and it no longer needs the replies to earlier requests.
    pub fn peer_restarted(&mut self, keep: u32) {
        self.receiver.clear_except(keep);
    }

    /// Whether the transport is ordered and lossless.
    pub fn is_reliable(&self) -> bool {
        self.receiver.is_reliable()
    }

    /// The event counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of known requests of the peer and of open own requests.
    pub fn open_counts(&self) -> (usize, usize) {
        (self.receiver.len(), self.sender.len())
    }

    /// The smoothed round-trip time, once one was measured.
    pub fn round_trip(&self) -> Option<Micros> {
        self.sender.round_trip()
    }
}
