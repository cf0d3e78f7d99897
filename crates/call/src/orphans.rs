//! Attempts that may stand at a server with no call behind them, and still need a release.

use std::collections::{BTreeMap, VecDeque};

use baydrift::interface::ServerId;

use crate::types::AttemptId;

/// One attempt to be released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Orphan {
    pub(crate) attempt: AttemptId,
    pub(crate) class: usize,
}

/// Waiting releases by server, oldest first; bounded over all servers.
#[derive(Debug)]
pub(crate) struct Orphans {
    waiting: BTreeMap<ServerId, VecDeque<Orphan>>,
    count: usize,
    most: usize,
}

impl Orphans {
    pub(crate) fn new(most: usize) -> Self {
        Self { waiting: BTreeMap::new(), count: 0, most }
    }

    /// Adds one; `false` when the oldest of that server, or this one, had to be given up for it.
    pub(crate) fn put(&mut self, server: ServerId, orphan: Orphan) -> bool {
        let full = self.count >= self.most;
        let queue = self.waiting.entry(server).or_default();
        if full && queue.pop_front().is_none() {
            return false;
        }
        queue.push_back(orphan);
        self.count += usize::from(!full);
        !full
    }

    /// Takes up to so many of a server's.
    pub(crate) fn take(&mut self, server: ServerId, most: usize) -> Vec<Orphan> {
        let Some(queue) = self.waiting.get_mut(&server) else { return Vec::new() };
        let taken: Vec<_> = queue.drain(..most.min(queue.len())).collect();
        if queue.is_empty() {
            self.waiting.remove(&server);
        }
        self.count -= taken.len();
        taken
    }

    /// Forgets a server's: its process has forgotten them too.
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
