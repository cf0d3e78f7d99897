//! The watchdog algorithm of RFC 3539, section 3.4, with the state transitions of its appendix A.

use crate::Micros;

/// Watchdog states (section 3.4.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchdogState {
    /// INITIAL: not connected since the start.
    Initial,
    /// OKAY: the connection is up.
    Okay,
    /// SUSPECT: a watchdog request is unanswered; failed over, but the transport is still open.
    Suspect,
    /// DOWN: the transport is closed.
    Down,
    /// REOPEN: reconnected; not used before three watchdog answers were received.
    Reopen,
}

/// Input of the watchdog.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchdogEvent {
    /// The capabilities exchange succeeded.
    ConnectionUp,
    /// The transport closed.
    ConnectionDown,
    /// A watchdog answer (DWA) was received.
    Answer,
    /// Any other message was received.
    Other,
    /// The watchdog timer may have expired; has no effect before it is due.
    Tick,
}

/// Action requested by the watchdog.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchdogAction {
    /// Send a DWR.
    SendWatchdog,
    /// Move pending requests to another peer and send no new ones to this one.
    Failover,
    /// Use the peer again.
    Failback,
    /// Close the transport.
    Close,
    /// Try to open a transport.
    AttemptOpen,
}

/// Watchdog answers needed in REOPEN before the peer is used (section 3.4.1).
const REOPEN_ANSWERS: i8 = 3;

/// Watchdog of one peer. The caller passes in the time and the random numbers.
#[derive(Debug, Clone)]
pub struct Watchdog {
    state: WatchdogState,
    /// Tw without jitter.
    interval: Micros,
    /// Largest amount by which an interval is shortened or lengthened.
    jitter: Micros,
    /// Whether a watchdog request is unanswered.
    pending: bool,
    /// Watchdog answers received in REOPEN; -1 after a request went unanswered there.
    answers: i8,
    /// When the timer expires.
    due: Micros,
}

impl Watchdog {
    /// A watchdog in INITIAL, whose first tick requests a connection. RFC 3539 requires an interval (Tw) of
    /// at least 6 s and a jitter of 2 s; tests and closed networks may use shorter ones, with a jitter of at
    /// most a third of the interval.
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

    /// Current state.
    pub fn state(&self) -> WatchdogState {
        self.state
    }

    /// When the next [`WatchdogEvent::Tick`] is needed.
    pub fn due(&self) -> Micros {
        self.due
    }

    /// Handles one event and appends the resulting actions to `out`; `draw` is a random number from 0 to 1
    /// for the jitter.
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
                self.restart_timer(now, draw);
                self.state = Okay;
            }
            (Down, ConnectionUp) => {
                self.answers = 0;
                self.pending = true;
                out.push(SendWatchdog);
                self.restart_timer(now, draw);
                self.state = Reopen;
            }
            (Okay, Answer) => {
                self.pending = false;
                self.restart_timer(now, draw);
            }
            (Okay, Other) => self.restart_timer(now, draw),
            // Appendix A leaves the request pending if another message arrives first. If the peer lost that
            // request, the first idle interval, possibly hours later, would fail over without a new request
            // having been sent. Clearing `pending` here makes that interval send one first.
            (Suspect, Answer | Other) => {
                self.pending = false;
                out.push(Failback);
                self.restart_timer(now, draw);
                self.state = Okay;
            }
            (Reopen, Answer) => {
                self.pending = false;
                self.answers += 1;
                if self.answers >= REOPEN_ANSWERS {
                    out.push(Failback);
                    self.restart_timer(now, draw);
                    self.state = Okay;
                }
            }
            (Okay, Tick) if !self.pending => {
                self.pending = true;
                out.push(SendWatchdog);
                self.restart_timer(now, draw);
            }
            (Okay, Tick) => {
                out.push(Failover);
                self.restart_timer(now, draw);
                self.state = Suspect;
            }
            (Suspect, Tick) => {
                out.push(Close);
                self.restart_timer(now, draw);
                self.state = Down;
            }
            (Reopen, Tick) if !self.pending => {
                self.pending = true;
                out.push(SendWatchdog);
                self.restart_timer(now, draw);
            }
            (Reopen, Tick) if self.answers < 0 => {
                out.push(Close);
                self.restart_timer(now, draw);
                self.state = Down;
            }
            (Reopen, Tick) => {
                self.answers = -1;
                self.restart_timer(now, draw);
            }
            (Initial | Down, Tick) => {
                out.push(AttemptOpen);
                self.restart_timer(now, draw);
            }
            (Okay, ConnectionDown) => {
                out.push(Failover);
                self.restart_timer(now, draw);
                self.state = Down;
            }
            (Suspect | Reopen, ConnectionDown) => {
                self.restart_timer(now, draw);
                self.state = Down;
            }
            // Not connected: there is nothing to receive. REOPEN waits for watchdog answers only.
            (Initial | Down, Answer | Other | ConnectionDown) | (Reopen, Other) => {}
            // Already connected.
            (Okay | Suspect | Reopen, ConnectionUp) => {}
        }
    }

    /// Restarts the timer with jitter (SetWatchdog in appendix A).
    fn restart_timer(&mut self, now: Micros, draw: f64) {
        let jitter = (draw.clamp(0.0, 1.0) * 2.0 - 1.0) * self.jitter as f64;
        self.due = now.saturating_add((self.interval as f64 + jitter).max(1.0) as Micros);
    }
}
