//! Own requests, retransmitted at intervals derived from the round-trip time until answered (Annex D.1.2).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use baydrift::interface::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::ids::IdAllocator;
use crate::{Counts, ExchangeAction, Settings};

/// An own request that awaits its reply.
#[derive(Debug)]
struct OpenRequest {
    text: Arc<str>,
    sent_at: Micros,
    sends: u32,
    /// Retransmission interval, doubled each time.
    interval: Micros,
    next: Micros,
}

#[derive(Debug)]
pub(crate) struct Sender {
    settings: Settings,
    ids: IdAllocator,
    open: BTreeMap<u32, OpenRequest>,
    due: BTreeSet<(Micros, u32)>,
    /// Smoothed average and deviation of the round-trip time in microseconds (AAD and ADEV of Annex D.1.2).
    round_trip: Option<(f64, f64)>,
    rng: Pcg64Mcg,
}

/// Weight of a new sample in the smoothed average round-trip time.
const AVERAGE_GAIN: f64 = 0.125;
/// Weight of a new sample in the smoothed deviation of the round-trip time.
const DEVIATION_GAIN: f64 = 0.25;
/// Lower bound of the first retransmission interval.
const MIN_RETRANSMIT_INTERVAL: Micros = 10_000;

impl Sender {
    pub(crate) fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // The peer may still know ids of an earlier process: a random first id makes a collision unlikely.
        let ids = IdAllocator::after(rng.random());
        Self { settings, ids, open: BTreeMap::new(), due: BTreeSet::new(), round_trip: None, rng }
    }

    pub(crate) fn send(
        &mut self,
        now: Micros,
        text: impl FnOnce(u32) -> String,
        out: &mut Vec<ExchangeAction>,
    ) -> Option<u32> {
        if self.open.len() >= self.settings.max_open_requests {
            return None;
        }
        let open = &self.open;
        let id = self.ids.next(|id| open.contains_key(&id));
        let text: Arc<str> = text(id).into();
        let interval = self.first_interval();
        let next = now.saturating_add(self.with_jitter(interval));
        self.open.insert(id, OpenRequest { text: text.clone(), sent_at: now, sends: 1, interval, next });
        self.due.insert((next, id));
        out.push(ExchangeAction::Send(text));
        Some(id)
    }

    fn first_interval(&self) -> Micros {
        let interval = match self.round_trip {
            Some((average, deviation)) => (average + 4.0 * deviation) as Micros,
            None => self.settings.initial_retransmit_interval,
        };
        interval.clamp(MIN_RETRANSMIT_INTERVAL, self.settings.max_retransmit_interval)
    }

    /// Varies an interval by up to 10%, so that the retransmissions of many peers do not coincide.
    fn with_jitter(&mut self, interval: Micros) -> Micros {
        (interval as f64 * (0.9 + 0.2 * self.rng.random::<f64>())) as Micros
    }

    pub(crate) fn replied(
        &mut self,
        now: Micros,
        id: u32,
        counts: &mut Counts,
        out: &mut Vec<ExchangeAction>,
    ) {
        let Some(request) = self.open.remove(&id) else {
            counts.stray += 1;
            return;
        };
        self.due.remove(&(request.next, id));
        // Karn's algorithm: the reply to a retransmitted request is ambiguous and gives no sample.
        if request.sends == 1 {
            let sample = now.saturating_sub(request.sent_at) as f64;
            self.round_trip = Some(match self.round_trip {
                None => (sample, sample / 2.0),
                Some((average, deviation)) => {
                    let error = sample - average;
                    (average + AVERAGE_GAIN * error, deviation + DEVIATION_GAIN * (error.abs() - deviation))
                }
            });
        }
        out.push(ExchangeAction::Delivered(id));
    }

    /// The peer has received the request: the next retransmission is postponed by the maximum interval.
    pub(crate) fn pending(&mut self, now: Micros, id: u32, counts: &mut Counts) {
        let Some(request) = self.open.get_mut(&id) else {
            counts.stray += 1;
            return;
        };
        self.due.remove(&(request.next, id));
        request.next = now.saturating_add(self.settings.max_retransmit_interval);
        self.due.insert((request.next, id));
    }

    /// Stops retransmitting a request; it is considered lost after LONG-TIMER.
    pub(crate) fn abandon(&mut self, now: Micros, id: u32) {
        let Some(request) = self.open.get_mut(&id) else { return };
        self.due.remove(&(request.next, id));
        (request.sends, request.next) = (u32::MAX, now.saturating_add(self.settings.long_timer));
        self.due.insert((request.next, id));
    }

    pub(crate) fn next_wake(&self) -> Option<Micros> {
        self.due.first().map(|(at, _)| *at)
    }

    pub(crate) fn tick(&mut self, now: Micros, counts: &mut Counts, out: &mut Vec<ExchangeAction>) {
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, id));
            let Some(mut request) = self.open.remove(&id) else { continue };
            let timed_out = now >= request.sent_at.saturating_add(self.settings.lost_after);
            // Over a reliable transport nothing is retransmitted: the timer only detects that the peer is
            // lost.
            if request.sends >= self.settings.lost_after_sends && timed_out
                || self.settings.reliable && request.sends > 1
            {
                out.push(ExchangeAction::Lost(id));
                continue;
            }
            request.sends += 1;
            request.interval = request.interval.saturating_mul(2).min(self.settings.max_retransmit_interval);
            if self.settings.reliable {
                request.interval = self.settings.long_timer;
            } else {
                counts.requests_resent += 1;
                out.push(ExchangeAction::Send(request.text.clone()));
            }
            request.next = now.saturating_add(self.with_jitter(request.interval));
            self.due.insert((request.next, id));
            self.open.insert(id, request);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn round_trip(&self) -> Option<Micros> {
        self.round_trip.map(|(average, _)| average as Micros)
    }
}
