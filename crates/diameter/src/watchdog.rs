//! The watchdog of RFC 3539, section 3.4: its states, and its table of appendix A as it stands there.

use crate::Micros;

/// States of section 3.4.1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchdogState {
    /// Never connected yet.
    Initial,
    /// Up.
    Okay,
    /// One watchdog unanswered: failed over, but not closed.
    Suspect,
    /// Closed.
    Down,
    /// Connected anew: three answers are wanted before it is used.
    Reopen,
}

/// What the watchdog hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchdogEvent {
    /// Capabilities were exchanged.
    ConnectionUp,
    /// The transport is gone.
    ConnectionDown,
    /// A watchdog answer.
    Answer,
    /// Any other message.
    Other,
    /// Its timer may be due.
    Tick,
}

/// What the watchdog wants done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchdogAction {
    /// Send a DWR.
    SendWatchdog,
    /// What is out goes elsewhere; nothing new is sent.
    Failover,
    /// The peer is used again.
    Failback,
    /// Close the transport.
    Close,
    /// Try to connect.
    AttemptOpen,
}

/// Answers wanted in REOPEN before the peer is used.
const REOPEN_ANSWERS: i8 = 3;

/// One peer's watchdog. Time and chance are given; nothing is read.
#[derive(Debug, Clone)]
pub struct Watchdog {
    state: WatchdogState,
    /// Tw without jitter.
    interval: Micros,
    /// Most that a draw takes off or adds.
    jitter: Micros,
    pending: bool,
    answers: i8,
    due: Micros,
}

impl Watchdog {
    /// A watchdog in INITIAL, whose first tick asks for a connection. RFC 3539 asks for an interval of 6 s or more and a jitter of 2 s; in tests and
    /// closed networks both are smaller, the jitter a third of the interval at most.
    pub fn new(interval: Micros) -> Self {
        let interval = interval.max(3);
        Self {
            state: WatchdogState::Initial,
            interval,
            jitter: (interval / 3).min(2_000_000),
            pending: false,
            answers: 0,
            due: 0,
        }
    }

    /// Its state.
    pub fn state(&self) -> WatchdogState {
        self.state
    }

    /// When [`WatchdogEvent::Tick`] is wanted.
    pub fn due(&self) -> Micros {
        self.due
    }

    /// Takes one event; `draw` is chance in 0 to 1, for the jitter.
    pub fn handle(&mut self, now: Micros, draw: f64, event: WatchdogEvent, out: &mut Vec<WatchdogAction>) {
        use WatchdogAction::{AttemptOpen, Close, Failback, Failover, SendWatchdog};
        use WatchdogEvent::{Answer, ConnectionDown, ConnectionUp, Other, Tick};
        use WatchdogState::{Down, Initial, Okay, Reopen, Suspect};
        if event == Tick && now < self.due {
            return;
        }
        match (self.state, event) {
            (Initial, ConnectionUp) => {
                self.pending = false;
                self.set(now, draw);
                self.state = Okay;
            }
            (Down, ConnectionUp) => {
                self.answers = 0;
                self.pending = true;
                out.push(SendWatchdog);
                self.set(now, draw);
                self.state = Reopen;
            }
            (Okay, Answer) => {
                self.pending = false;
                self.set(now, draw);
            }
            (Okay, Other) => self.set(now, draw),
            // The table leaves the watchdog pending where another message came first. If the peer swallowed it,
            // the first quiet interval, hours later, would then fail over a peer that was asked nothing since:
            // it is asked anew instead.
            (Suspect, Answer | Other) => {
                self.pending = false;
                out.push(Failback);
                self.set(now, draw);
                self.state = Okay;
            }
            (Reopen, Answer) => {
                self.pending = false;
                self.answers += 1;
                if self.answers >= REOPEN_ANSWERS {
                    out.push(Failback);
                    self.set(now, draw);
                    self.state = Okay;
                }
            }
            (Okay, Tick) if !self.pending => {
                self.pending = true;
                out.push(SendWatchdog);
                self.set(now, draw);
            }
            (Okay, Tick) => {
                out.push(Failover);
                self.set(now, draw);
                self.state = Suspect;
            }
            (Suspect, Tick) => {
                out.push(Close);
                self.set(now, draw);
                self.state = Down;
            }
            (Reopen, Tick) if !self.pending => {
                self.pending = true;
                out.push(SendWatchdog);
                self.set(now, draw);
            }
            (Reopen, Tick) if self.answers < 0 => {
                out.push(Close);
                self.set(now, draw);
                self.state = Down;
            }
            (Reopen, Tick) => {
                self.answers = -1;
                self.set(now, draw);
            }
            (Initial | Down, Tick) => {
                out.push(AttemptOpen);
                self.set(now, draw);
            }
            (Okay, ConnectionDown) => {
                out.push(Failover);
                self.set(now, draw);
                self.state = Down;
            }
            (Suspect | Reopen, ConnectionDown) => {
                self.set(now, draw);
                self.state = Down;
            }
            // Nothing is heard from one that is not connected, and no connection comes up twice.
            (Initial | Down, Answer | Other | ConnectionDown) | (Reopen, Other) => {}
            (Okay | Suspect | Reopen, ConnectionUp) => {}
        }
    }

    fn set(&mut self, now: Micros, draw: f64) {
        let jitter = (draw.clamp(0.0, 1.0) * 2.0 - 1.0) * self.jitter as f64;
        self.due = now.saturating_add((self.interval as f64 + jitter).max(1.0) as Micros);
    }
}
