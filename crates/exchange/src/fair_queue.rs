//! Bounded concurrency with a queue per client, served round-robin.

use std::collections::{BTreeMap, VecDeque};

/// What happens to a submitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDecision {
    /// It runs at once.
    Run,
    /// It is queued.
    Queued,
    /// The client's queue is full.
    Refused,
}

/// Limits how many requests run at once over all clients. Queued requests are served round-robin by client,
/// so that a client that submits more than its share delays its own requests and not those of others.
#[derive(Debug)]
pub struct FairQueue<C, T> {
    max_running: usize,
    max_queued_per_client: usize,
    running: BTreeMap<C, usize>,
    total_running: usize,
    queued: BTreeMap<C, VecDeque<T>>,
    /// Clients with queued requests, the next to be served first.
    order: VecDeque<C>,
}

impl<C: Ord + Clone, T> FairQueue<C, T> {
    /// Allows `max_running` requests at once over all clients (at least one), and `max_queued_per_client`
    /// queued requests per client.
    pub fn new(max_running: usize, max_queued_per_client: usize) -> Self {
        Self {
            max_running: max_running.max(1),
            max_queued_per_client,
            running: BTreeMap::new(),
            total_running: 0,
            queued: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Submits a request of a client. The request is handed back unless it was queued.
    pub fn submit(&mut self, client: &C, request: T) -> (QueueDecision, Option<T>) {
        if self.total_running < self.max_running && !self.queued.contains_key(client) {
            self.start(client);
            return (QueueDecision::Run, Some(request));
        }
        let queue = self.queued.entry(client.clone()).or_default();
        if queue.len() >= self.max_queued_per_client {
            if queue.is_empty() {
                self.queued.remove(client);
            }
            return (QueueDecision::Refused, Some(request));
        }
        if queue.is_empty() {
            self.order.push_back(client.clone());
        }
        queue.push_back(request);
        (QueueDecision::Queued, None)
    }

    fn start(&mut self, client: &C) {
        *self.running.entry(client.clone()).or_default() += 1;
        self.total_running += 1;
    }

    /// Ends a running request of a client. Returns the queued request to run next, if any.
    pub fn finish(&mut self, client: &C) -> Option<(C, T)> {
        let count = self.running.get_mut(client)?;
        *count -= 1;
        if *count == 0 {
            self.running.remove(client);
        }
        self.total_running -= 1;
        let next = self.order.pop_front()?;
        let queue = self.queued.get_mut(&next)?;
        let request = queue.pop_front()?;
        if queue.is_empty() {
            self.queued.remove(&next);
        } else {
            self.order.push_back(next.clone());
        }
        self.start(&next);
        Some((next, request))
    }

    /// Removes and returns all queued requests of a client.
    pub fn remove_queued(&mut self, client: &C) -> Vec<T> {
        self.order.retain(|other| other != client);
        self.queued.remove(client).map(Vec::from).unwrap_or_default()
    }

    /// Number of running and of queued requests.
    pub fn counts(&self) -> (usize, usize) {
        (self.total_running, self.queued.values().map(VecDeque::len).sum())
    }
}
