//! Requests on a server link that await an answer, by hop-by-hop id.

use std::collections::{BTreeMap, VecDeque};

use baydrift_call::AttemptId;

/// Kind of a request to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Sets up a call.
    SetUp,
    /// Releases a call.
    Release,
}

/// Maps outstanding requests to their attempts. At capacity the oldest is dropped, and its answer is ignored.
#[derive(Debug)]
pub struct OutstandingRequests {
    requests: BTreeMap<u32, (AttemptId, RequestKind)>,
    order: VecDeque<u32>,
    capacity: usize,
}

impl OutstandingRequests {
    /// Creates an empty map for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self { requests: BTreeMap::new(), order: VecDeque::new(), capacity: capacity.max(1) }
    }

    /// Records a request that was sent with this hop-by-hop id.
    pub fn sent(&mut self, hop_by_hop: u32, attempt: AttemptId, kind: RequestKind) {
        while self.order.len() >= self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.requests.remove(&oldest);
            }
        }
        self.order.push_back(hop_by_hop);
        self.requests.insert(hop_by_hop, (attempt, kind));
    }

    /// Removes and returns the request that an answer belongs to.
    pub fn answered(&mut self, hop_by_hop: u32) -> Option<(AttemptId, RequestKind)> {
        let found = self.requests.remove(&hop_by_hop);
        while self.order.front().is_some_and(|id| !self.requests.contains_key(id)) {
            self.order.pop_front();
        }
        found
    }

    /// Drops all requests, as when the link goes down.
    pub fn clear(&mut self) {
        self.requests.clear();
        self.order.clear();
    }

    /// Number of outstanding requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is outstanding.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
