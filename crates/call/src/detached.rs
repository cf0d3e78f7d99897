//! Detached attempts: a server may still hold them, but no call needs them, and their release is outstanding.

use std::collections::{BTreeMap, VecDeque};

use baydrift::interface::ServerId;

use crate::types::AttemptId;

/// One attempt to be released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DetachedAttempt {
    pub(crate) attempt: AttemptId,
    pub(crate) class: usize,
}

/// Outstanding releases by server, oldest first, with one bound over all servers.
#[derive(Debug)]
pub(crate) struct DetachedAttempts {
    waiting: BTreeMap<ServerId, VecDeque<DetachedAttempt>>,
    count: usize,
    capacity: usize,
}

impl DetachedAttempts {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { waiting: BTreeMap::new(), count: 0, capacity }
    }

    /// Adds an attempt. Returns `false` if the bound was reached and the server's oldest entry, or this one
    /// if the server has none, was discarded.
    pub(crate) fn put(&mut self, server: ServerId, detached: DetachedAttempt) -> bool {
        let full = self.count >= self.capacity;
        let queue = self.waiting.entry(server).or_default();
        if full && queue.pop_front().is_none() {
            return false;
        }
        queue.push_back(detached);
        self.count += usize::from(!full);
        !full
    }

    /// Takes up to `limit` attempts of a server.
    pub(crate) fn take(&mut self, server: ServerId, limit: usize) -> Vec<DetachedAttempt> {
        let Some(queue) = self.waiting.get_mut(&server) else { return Vec::new() };
        let taken: Vec<_> = queue.drain(..limit.min(queue.len())).collect();
        if queue.is_empty() {
            self.waiting.remove(&server);
        }
        self.count -= taken.len();
        taken
    }

    /// Discards all attempts of a server whose process is gone, and with it the attempts.
    pub(crate) fn forget(&mut self, server: ServerId) {
        self.count -= self.waiting.remove(&server).map_or(0, |queue| queue.len());
    }

    pub(crate) fn servers(&self) -> Vec<ServerId> {
        self.waiting.keys().copied().collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.count
    }
}
