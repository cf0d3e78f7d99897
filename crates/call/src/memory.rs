//! Memory of answered calls: whoever asks again gets the same answer.

use std::collections::{BTreeMap, VecDeque};

use baydrift::interface::Micros;

use crate::types::{Final, Session};

/// What is remembered of a call that is over or answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Answered {
    pub(crate) answer: Final,
    pub(crate) at: Micros,
}

/// Bounded in number and age; the oldest go first.
#[derive(Debug)]
pub(crate) struct Memory {
    known: BTreeMap<Session, Answered>,
    order: VecDeque<(Micros, Session)>,
    most: usize,
    keep: Micros,
}

impl Memory {
    pub(crate) fn new(most: usize, keep: Micros) -> Self {
        Self { known: BTreeMap::new(), order: VecDeque::new(), most, keep }
    }

    /// Remembers an answer. How many had to be forgotten before their time.
    pub(crate) fn put(&mut self, now: Micros, session: Session, answer: Final) -> u64 {
        self.expire(now);
        let mut lost = 0;
        while self.known.len() >= self.most {
            let Some((at, oldest)) = self.order.pop_front() else { break };
            lost += u64::from(self.drop_if(at, &oldest));
        }
        if self.most > 0 {
            self.order.push_back((now, session.clone()));
            self.known.insert(session, Answered { answer, at: now });
        }
        lost
    }

    pub(crate) fn get(&mut self, now: Micros, session: &Session) -> Option<Answered> {
        self.expire(now);
        self.known.get(session).copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.known.len()
    }

    fn expire(&mut self, now: Micros) {
        while self.order.front().is_some_and(|(at, _)| at.saturating_add(self.keep) <= now) {
            if let Some((at, session)) = self.order.pop_front() {
                self.drop_if(at, &session);
            }
        }
    }

    /// Guards against dropping a newer answer under the same name.
    fn drop_if(&mut self, at: Micros, session: &Session) -> bool {
        let ours = self.known.get(session).is_some_and(|known| known.at == at);
        if ours {
            self.known.remove(session);
        }
        ours
    }
}
