//! Own requests: repeated by a measured round trip until they are answered (Annex D.1.2).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use baydrift::interface::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::ids::Ids;
use crate::{Counts, Do, Settings};

#[derive(Debug)]
struct Open {
    text: Arc<str>,
    sent_at: Micros,
    sends: u32,
    /// Time until the next repeat, doubled at each.
    wait: Micros,
    next: Micros,
}

#[derive(Debug)]
pub(crate) struct Sender {
    settings: Settings,
    ids: Ids,
    open: BTreeMap<u32, Open>,
    due: BTreeSet<(Micros, u32)>,
    /// Average and deviation of the round trip (AAD and ADEV of Annex D.1.2), microseconds.
    measured: Option<(f64, f64)>,
    rng: Pcg64Mcg,
}

/// Weights of a new sample in average and deviation.
const GAINS: (f64, f64) = (0.125, 0.25);

impl Sender {
    pub(crate) fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // Ids of an earlier process may still be known at the other end: a drawn start makes a clash unlikely.
        let ids = Ids::after(rng.random());
        Self { settings, ids, open: BTreeMap::new(), due: BTreeSet::new(), measured: None, rng }
    }

    pub(crate) fn send(
        &mut self,
        now: Micros,
        text: impl FnOnce(u32) -> String,
        out: &mut Vec<Do>,
    ) -> Option<u32> {
        if self.open.len() >= self.settings.open {
            return None;
        }
        let open = &self.open;
        let id = self.ids.next(|id| open.contains_key(&id));
        let text: Arc<str> = text(id).into();
        let wait = self.first_wait();
        let next = now.saturating_add(self.jittered(wait));
        self.open.insert(id, Open { text: text.clone(), sent_at: now, sends: 1, wait, next });
        self.due.insert((next, id));
        out.push(Do::Send(text));
        Some(id)
    }

    fn first_wait(&self) -> Micros {
        let wait = match self.measured {
            Some((average, deviation)) => (average + 4.0 * deviation) as Micros,
            None => self.settings.first_repeat,
        };
        wait.clamp(10_000, self.settings.longest_repeat)
    }

    /// Repeats of many ends shall not fall together.
    fn jittered(&mut self, wait: Micros) -> Micros {
        (wait as f64 * (0.9 + 0.2 * self.rng.random::<f64>())) as Micros
    }

    pub(crate) fn replied(&mut self, now: Micros, id: u32, counts: &mut Counts, out: &mut Vec<Do>) {
        let Some(open) = self.open.remove(&id) else {
            counts.stray += 1;
            return;
        };
        self.due.remove(&(open.next, id));
        // A reply to what was sent twice tells of no round trip (Karn).
        if open.sends == 1 {
            let sample = now.saturating_sub(open.sent_at) as f64;
            self.measured = Some(match self.measured {
                None => (sample, sample / 2.0),
                Some((average, deviation)) => {
                    let error = sample - average;
                    (average + GAINS.0 * error, deviation + GAINS.1 * (error.abs() - deviation))
                }
            });
        }
        out.push(Do::Delivered(id));
    }

    /// The other end has it: it is not repeated before LONG-TIMER's share has passed.
    pub(crate) fn pending(&mut self, now: Micros, id: u32, counts: &mut Counts) {
        let Some(open) = self.open.get_mut(&id) else {
            counts.stray += 1;
            return;
        };
        self.due.remove(&(open.next, id));
        open.next = now.saturating_add(self.settings.longest_repeat);
        self.due.insert((open.next, id));
    }

    /// Whoever asked wants it no more: it is said no further time, and given up after LONG-TIMER.
    pub(crate) fn quiet(&mut self, now: Micros, id: u32) {
        let Some(open) = self.open.get_mut(&id) else { return };
        self.due.remove(&(open.next, id));
        (open.sends, open.next) = (u32::MAX, now.saturating_add(self.settings.long_timer));
        self.due.insert((open.next, id));
    }

    pub(crate) fn due(&self) -> Option<Micros> {
        self.due.first().map(|(at, _)| *at)
    }

    pub(crate) fn tick(&mut self, now: Micros, counts: &mut Counts, out: &mut Vec<Do>) {
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, id));
            let Some(mut open) = self.open.remove(&id) else { continue };
            // Over TCP the one repeat that is due only tells that the other end is lost.
            let long = now >= open.sent_at.saturating_add(self.settings.lost_after);
            if open.sends >= self.settings.sends && long || self.settings.reliable && open.sends > 1 {
                out.push(Do::Lost(id));
                continue;
            }
            open.sends += 1;
            open.wait = open.wait.saturating_mul(2).min(self.settings.longest_repeat);
            if self.settings.reliable {
                open.wait = self.settings.long_timer;
            } else {
                counts.resent += 1;
                out.push(Do::Send(open.text.clone()));
            }
            open.next = now.saturating_add(self.jittered(open.wait));
            self.due.insert((open.next, id));
            self.open.insert(id, open);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn round_trip(&self) -> Option<Micros> {
        self.measured.map(|(average, _)| average as Micros)
    }
}
