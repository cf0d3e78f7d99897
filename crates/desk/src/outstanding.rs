//! What one server link has sent and not heard of: from hop-by-hop ids back to attempts.

use std::collections::{BTreeMap, VecDeque};

use baydrift_call::AttemptId;

/// What a request asks of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Set a call up.
    SetUp,
    /// Release it.
    Release,
}

/// Requests without their answer; at the bound the oldest is forgotten, and its answer counts as unasked.
#[derive(Debug)]
pub struct OutstandingRequests {
    out: BTreeMap<u32, (AttemptId, RequestKind)>,
    order: VecDeque<u32>,
    most: usize,
}

impl OutstandingRequests {
    /// None yet; room for so many.
    pub fn new(most: usize) -> Self {
        Self { out: BTreeMap::new(), order: VecDeque::new(), most: most.max(1) }
    }

    /// A request was sent under this hop-by-hop id.
    pub fn sent(&mut self, hop_by_hop: u32, attempt: AttemptId, kind: RequestKind) {
        while self.order.len() >= self.most {
            if let Some(oldest) = self.order.pop_front() {
                self.out.remove(&oldest);
            }
        }
        self.order.push_back(hop_by_hop);
        self.out.insert(hop_by_hop, (attempt, kind));
    }

    /// What an answer belongs to; each is found once.
    pub fn answered(&mut self, hop_by_hop: u32) -> Option<(AttemptId, RequestKind)> {
        let found = self.out.remove(&hop_by_hop);
        while self.order.front().is_some_and(|id| !self.out.contains_key(id)) {
            self.order.pop_front();
        }
        found
    }

    /// The link is gone, and all answers with it.
    pub fn clear(&mut self) {
        self.out.clear();
        self.order.clear();
    }

    /// Requests without their answer.
    pub fn len(&self) -> usize {
        self.out.len()
    }

    /// Whether all were answered.
    pub fn is_empty(&self) -> bool {
        self.out.is_empty()
    }
}
