//! Model of a session server's processor: one FIFO queue of work, a cold start, and failure under overload
//! while cold. Reads no clock.

use std::collections::VecDeque;

use baydrift::interface::{Micros, Report};

/// Parameters of a [`Processor`]. Work is measured in units of one set-up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessorSpec {
    /// Set-ups per second when warm and doing nothing else.
    pub rate: f64,
    /// Work of a release, in set-ups.
    pub release_work: f64,
    /// Work of rejecting a set-up, in set-ups.
    pub rejection_work: f64,
    /// Queueing delay above which set-ups are rejected, microseconds.
    pub max_wait: Micros,
    /// Fraction of `rate` that a cold processor starts with.
    pub cold_from: f64,
    /// Time in which a cold processor warms up to `rate`, microseconds.
    pub warm_up_time: Micros,
    /// A cold processor fails when it is offered this multiple of its current rate over `fall_time`.
    pub fall_multiple: f64,
    /// Time constant of the average of the offered load, microseconds.
    pub fall_time: Micros,
}

/// An item of work, with a key chosen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Sets up a call.
    SetUp(u64),
    /// Releases a call.
    Release(u64),
    /// Rejects a set-up and reports the wait.
    Reject(u64),
}

/// Result of offering a set-up to a [`Processor`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// The set-up, or its rejection, is queued.
    Queued,
    /// The set-up overloaded the cold processor, which has failed.
    Overloaded,
}

/// The processor model. [`Processor::next_completion`] gives the time of the next completion;
/// [`Processor::pop_completed`] takes the completed work.
#[derive(Debug, Clone)]
pub struct Processor {
    spec: ProcessorSpec,
    queue: VecDeque<(Work, f64)>,
    /// Total work in the queue, in set-ups.
    backlog: f64,
    completes_at: Option<Micros>,
    started: Option<Micros>,
    slowdown: f64,
    paused_until: Micros,
    /// Time of the last set-up offered, and the sum of the processing times of the set-ups offered, each at
    /// the rate when it was offered. The sum decays exponentially with time constant `fall_time`.
    offered_work: (Micros, f64),
    /// Time of the last completion, and the busy time in seconds, decaying with a time constant of 1 s.
    busy_time: (Micros, f64),
    /// Number of set-ups in the queue.
    queued_set_ups: usize,
}

impl Processor {
    /// Creates a processor; `started` is the start time of a cold one, `None` for a warm one.
    pub fn new(spec: ProcessorSpec, started: Option<Micros>) -> Self {
        Self {
            spec,
            queue: VecDeque::new(),
            backlog: 0.0,
            completes_at: None,
            started,
            slowdown: 1.0,
            paused_until: 0,
            offered_work: (0, 0.0),
            busy_time: (0, 0.0),
            queued_set_ups: 0,
        }
    }

    /// Multiplies the processing time of work by `factor` from now on.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(0.01);
    }

    /// Suspends processing until the given time.
    pub fn pause(&mut self, until: Micros) {
        self.paused_until = self.paused_until.max(until);
        self.completes_at = self.completes_at.map(|at| at.max(until));
    }

    /// Current capacity, set-ups per second.
    pub fn rate(&self, now: Micros) -> f64 {
        let rate_fraction = match self.started {
            Some(at) if self.spec.warm_up_time > 0 => {
                let age = now.saturating_sub(at) as f64 / self.spec.warm_up_time as f64;
                self.spec.cold_from + (1.0 - self.spec.cold_from) * age.min(1.0)
            }
            _ => 1.0,
        };
        self.spec.rate * rate_fraction / self.slowdown
    }

    fn is_cold(&self, now: Micros) -> bool {
        self.started.is_some_and(|at| now.saturating_sub(at) < self.spec.warm_up_time)
    }

    /// Queueing delay of new work, microseconds.
    pub fn wait(&self, now: Micros) -> Micros {
        let work = (self.backlog / self.rate(now) * 1e6) as Micros;
        work + self.paused_until.saturating_sub(now)
    }

    /// Offers a set-up.
    pub fn set_up(&mut self, now: Micros, key: u64) -> EnqueueOutcome {
        let window = self.spec.fall_time.max(1) as f64;
        let decay = (-(now.saturating_sub(self.offered_work.0) as f64) / window).exp();
        // Uses the rate when each set-up was offered, so that a processor that becomes slow does not fail
        // from load that it could handle before.
        let set_up_time = 1e6 / self.rate(now);
        self.offered_work = (now, self.offered_work.1 * decay + set_up_time);
        // At a constant load the sum converges to the load's multiple of the window; it reaches 63% of that
        // after one window.
        let limit = self.spec.fall_multiple * window;
        if self.is_cold(now) && self.offered_work.1 > limit.max(4.0 * set_up_time) {
            return EnqueueOutcome::Overloaded;
        }
        if self.wait(now) > self.spec.max_wait {
            self.enqueue(now, Work::Reject(key), self.spec.rejection_work);
        } else {
            self.enqueue(now, Work::SetUp(key), 1.0);
        }
        EnqueueOutcome::Queued
    }

    /// Queues a release.
    pub fn release(&mut self, now: Micros, key: u64) {
        self.enqueue(now, Work::Release(key), self.spec.release_work);
    }

    fn enqueue(&mut self, now: Micros, work: Work, size: f64) {
        self.queued_set_ups += usize::from(matches!(work, Work::SetUp(_)));
        self.queue.push_back((work, size));
        self.backlog += size;
        if self.completes_at.is_none() {
            self.start_next(now);
        }
    }

    fn start_next(&mut self, now: Micros) {
        let now = now.max(self.paused_until);
        self.completes_at =
            self.queue.front().map(|(_, size)| now + (size / self.rate(now) * 1e6).max(1.0) as Micros);
    }

    /// Time at which the next item of work completes.
    pub fn next_completion(&self) -> Option<Micros> {
        self.completes_at
    }

    /// Takes the next item of work that has completed by now.
    pub fn pop_completed(&mut self, now: Micros) -> Option<Work> {
        let at = self.completes_at.filter(|at| *at <= now)?;
        let (work, size) = self.queue.pop_front()?;
        self.backlog = (self.backlog - size).max(0.0);
        self.queued_set_ups -= usize::from(matches!(work, Work::SetUp(_)));
        let spent = size / self.rate(at) * 1e6;
        let decay = (-(at.saturating_sub(self.busy_time.0) as f64) / 1e6).exp();
        self.busy_time = (at, self.busy_time.1 * decay + spent / 1e6);
        self.start_next(at);
        Some(work)
    }

    /// All load values that the processor can measure.
    pub fn report(&self, now: Micros) -> Report {
        Report {
            busy: Some(self.busy_time.1.min(1.0)),
            wait_s: Some(self.wait(now) as f64 / 1e6),
            queue: Some(self.queued_set_ups.saturating_sub(1) as f64),
            rate: Some(self.rate(now)),
            ..Report::default()
        }
    }
}
