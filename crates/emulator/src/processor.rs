//! A session server's processor, free of time: one line of work, cold starts, and a way to be pushed over.

use std::collections::VecDeque;

use baydrift::interface::{Micros, Report};

/// What a processor is like. Work is counted in set-ups.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessorSpec {
    /// Set-ups a second, warm and with nothing else to do.
    pub rate: f64,
    /// Work of a release.
    pub release_work: f64,
    /// Work of turning a set-up away.
    pub rejection_work: f64,
    /// A set-up is turned away once the wait passes this.
    pub max_wait: Micros,
    /// Fraction of its rate at which a cold one starts.
    pub cold_from: f64,
    /// A cold one is warm after this.
    pub warm_up_time: Micros,
    /// A cold one that is sent this multiple of what it can do at the moment ...
    pub fall_multiple: f64,
    /// ... for so long falls over.
    pub fall_time: Micros,
}

/// A piece of work; the keys are the driver's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Set a call up.
    SetUp(u64),
    /// Release it.
    Release(u64),
    /// Turn a set-up away, naming the wait.
    Reject(u64),
}

/// What became of a set-up that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// It waits for its turn.
    Queued,
    /// It was too much for a cold processor, which has fallen over.
    Overloaded,
}

/// The model. [`Processor::next_completion`] says when work is done, [`Processor::pop_completed`] what.
#[derive(Debug, Clone)]
pub struct Processor {
    spec: ProcessorSpec,
    queue: VecDeque<(Work, f64)>,
    /// Work in the queue, in set-ups.
    backlog: f64,
    done_at: Option<Micros>,
    started: Option<Micros>,
    slow: f64,
    paused_until: Micros,
    /// Set-ups offered, each as the time that it would have taken when it came: decaying over `fall_time`.
    offered: (Micros, f64),
    busy: (Micros, f64),
    set_ups: usize,
}

impl Processor {
    /// A processor; `started` is when a cold one did, `None` for a warm one.
    pub fn new(spec: ProcessorSpec, started: Option<Micros>) -> Self {
        Self {
            spec,
            queue: VecDeque::new(),
            backlog: 0.0,
            done_at: None,
            started,
            slow: 1.0,
            paused_until: 0,
            offered: (0, 0.0),
            busy: (0, 0.0),
            set_ups: 0,
        }
    }

    /// From now on work takes so many times as long.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slow = factor.max(0.01);
    }

    /// It stands still until then.
    pub fn pause(&mut self, until: Micros) {
        self.paused_until = self.paused_until.max(until);
        self.done_at = self.done_at.map(|at| at.max(until));
    }

    /// Set-ups a second that it can do now.
    pub fn rate(&self, now: Micros) -> f64 {
        let warmth = match self.started {
            Some(at) if self.spec.warm_up_time > 0 => {
                let age = now.saturating_sub(at) as f64 / self.spec.warm_up_time as f64;
                self.spec.cold_from + (1.0 - self.spec.cold_from) * age.min(1.0)
            }
            _ => 1.0,
        };
        self.spec.rate * warmth / self.slow
    }

    fn is_cold(&self, now: Micros) -> bool {
        self.started.is_some_and(|at| now.saturating_sub(at) < self.spec.warm_up_time)
    }

    /// Time that new work waits for its turn.
    pub fn wait(&self, now: Micros) -> Micros {
        let work = (self.backlog / self.rate(now) * 1e6) as Micros;
        work + self.paused_until.saturating_sub(now)
    }

    /// A set-up comes.
    pub fn set_up(&mut self, now: Micros, key: u64) -> EnqueueOutcome {
        let window = self.spec.fall_time.max(1) as f64;
        let decay = (-(now.saturating_sub(self.offered.0) as f64) / window).exp();
        // By the rate of its moment: one that turns slow is not pushed over by what it could do before.
        let takes = 1e6 / self.rate(now);
        self.offered = (now, self.offered.1 * decay + takes);
        // The sum settles at the multiple of the window: after one window at the limit it has seen 0.63 of that.
        let limit = self.spec.fall_multiple * window;
        if self.is_cold(now) && self.offered.1 > limit.max(4.0 * takes) {
            return EnqueueOutcome::Overloaded;
        }
        if self.wait(now) > self.spec.max_wait {
            self.push(now, Work::Reject(key), self.spec.rejection_work);
        } else {
            self.push(now, Work::SetUp(key), 1.0);
        }
        EnqueueOutcome::Queued
    }

    /// A release comes.
    pub fn release(&mut self, now: Micros, key: u64) {
        self.push(now, Work::Release(key), self.spec.release_work);
    }

    fn push(&mut self, now: Micros, work: Work, size: f64) {
        self.set_ups += usize::from(matches!(work, Work::SetUp(_)));
        self.queue.push_back((work, size));
        self.backlog += size;
        if self.done_at.is_none() {
            self.start(now);
        }
    }

    fn start(&mut self, now: Micros) {
        let now = now.max(self.paused_until);
        self.done_at =
            self.queue.front().map(|(_, size)| now + (size / self.rate(now) * 1e6).max(1.0) as Micros);
    }

    /// When the next piece of work is done.
    pub fn next_completion(&self) -> Option<Micros> {
        self.done_at
    }

    /// The piece of work that is done by now.
    pub fn pop_completed(&mut self, now: Micros) -> Option<Work> {
        let at = self.done_at.filter(|at| *at <= now)?;
        let (work, size) = self.queue.pop_front()?;
        self.backlog = (self.backlog - size).max(0.0);
        self.set_ups -= usize::from(matches!(work, Work::SetUp(_)));
        let spent = size / self.rate(at) * 1e6;
        let decay = (-(at.saturating_sub(self.busy.0) as f64) / 1e6).exp();
        self.busy = (at, self.busy.1 * decay + spent / 1e6);
        self.start(at);
        Some(work)
    }

    /// All that it could tell of its load.
    pub fn report(&self, now: Micros) -> Report {
        Report {
            busy: Some(self.busy.1.min(1.0)),
            wait_s: Some(self.wait(now) as f64 / 1e6),
            queue: Some(self.set_ups.saturating_sub(1) as f64),
            rate: Some(self.rate(now)),
            ..Report::default()
        }
    }
}
