//! Whose requests run and whose wait: so many at once, fairly by client.

use std::collections::{BTreeMap, VecDeque};

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It runs.
    Runs,
    /// It waits for its turn.
    Waits,
    /// Its client has as many waiting as it may.
    Refused,
}

/// Requests that run and wait. A client that asks for more than its share waits behind its own requests, not
/// others behind it: turns go round by client.
#[derive(Debug)]
pub struct Turns<C, T> {
    at_once: usize,
    waiting_each: usize,
    running: BTreeMap<C, usize>,
    runs: usize,
    waiting: BTreeMap<C, VecDeque<T>>,
    /// Clients with something waiting, next first.
    order: VecDeque<C>,
}

impl<C: Ord + Clone, T> Turns<C, T> {
    /// So many run at once over all clients, so many wait of each.
    pub fn new(at_once: usize, waiting_each: usize) -> Self {
        Self {
            at_once: at_once.max(1),
            waiting_each,
            running: BTreeMap::new(),
            runs: 0,
            waiting: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// A request of a client; it is handed back with `Runs` and kept with `Waits`.
    pub fn ask(&mut self, client: &C, what: T) -> (Turn, Option<T>) {
        if self.runs < self.at_once && !self.waiting.contains_key(client) {
            self.start(client);
            return (Turn::Runs, Some(what));
        }
        let queue = self.waiting.entry(client.clone()).or_default();
        if queue.len() >= self.waiting_each {
            if queue.is_empty() {
                self.waiting.remove(client);
            }
            return (Turn::Refused, Some(what));
        }
        if queue.is_empty() {
            self.order.push_back(client.clone());
        }
        queue.push_back(what);
        (Turn::Waits, None)
    }

    fn start(&mut self, client: &C) {
        *self.running.entry(client.clone()).or_default() += 1;
        self.runs += 1;
    }

    /// A request of a client is done; the one that runs next, if any.
    pub fn done(&mut self, client: &C) -> Option<(C, T)> {
        let count = self.running.get_mut(client)?;
        *count -= 1;
        if *count == 0 {
            self.running.remove(client);
        }
        self.runs -= 1;
        let next = self.order.pop_front()?;
        let queue = self.waiting.get_mut(&next)?;
        let what = queue.pop_front()?;
        if queue.is_empty() {
            self.waiting.remove(&next);
        } else {
            self.order.push_back(next.clone());
        }
        self.start(&next);
        Some((next, what))
    }

    /// What a client has waiting is of no use any more.
    pub fn forget(&mut self, client: &C) -> Vec<T> {
        self.order.retain(|other| other != client);
        self.waiting.remove(client).map(Vec::from).unwrap_or_default()
    }

    /// Requests that run, and that wait.
    pub fn held(&self) -> (usize, usize) {
        (self.runs, self.waiting.values().map(VecDeque::len).sum())
    }
}
