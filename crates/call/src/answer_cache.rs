//! Cache of final answers: a repeated request gets the same answer as the first.

use std::collections::{BTreeMap, VecDeque};

use baydrift::interface::Micros;

use crate::types::{Final, Session};

/// The final answer of a call that is answered or has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CachedAnswer {
    pub(crate) answer: Final,
    pub(crate) at: Micros,
}

/// Answers by session, bounded in number and age; the oldest are evicted first.
#[derive(Debug)]
pub(crate) struct AnswerCache {
    answers: BTreeMap<Session, CachedAnswer>,
    order: VecDeque<(Micros, Session)>,
    capacity: usize,
    ttl: Micros,
}

impl AnswerCache {
    pub(crate) fn new(capacity: usize, ttl: Micros) -> Self {
        Self { answers: BTreeMap::new(), order: VecDeque::new(), capacity, ttl }
    }

    /// Stores an answer; returns how many others were evicted before they expired.
    pub(crate) fn put(&mut self, now: Micros, session: Session, answer: Final) -> u64 {
        self.expire(now);
        let mut evicted = 0;
        while self.answers.len() >= self.capacity {
            let Some((at, oldest)) = self.order.pop_front() else { break };
            evicted += u64::from(self.remove_stored_at(at, &oldest));
        }
        if self.capacity > 0 {
            self.order.push_back((now, session.clone()));
            self.answers.insert(session, CachedAnswer { answer, at: now });
        }
        evicted
    }

    pub(crate) fn get(&mut self, now: Micros, session: &Session) -> Option<CachedAnswer> {
        self.expire(now);
        self.answers.get(session).copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.answers.len()
    }

    fn expire(&mut self, now: Micros) {
        while self.order.front().is_some_and(|(at, _)| at.saturating_add(self.ttl) <= now) {
            if let Some((at, session)) = self.order.pop_front() {
                self.remove_stored_at(at, &session);
            }
        }
    }

    /// Removes an answer unless a newer one has been stored for the same session.
    fn remove_stored_at(&mut self, at: Micros, session: &Session) -> bool {
        let current = self.answers.get(session).is_some_and(|cached| cached.at == at);
        if current {
            self.answers.remove(session);
        }
        current
    }
}
