//! Detection of stalls of this process by its driver: after one, queued input is read before timers run.

use baydrift::interface::Micros;

use crate::session_layer::SessionLayer;

/// Lateness of a timer, in microseconds, above which the process counts as stalled.
pub(crate) const STALL_THRESHOLD: Micros = 100_000;
/// Time after a stall, in microseconds, for readers to pass on the input that arrived during it.
pub const CATCH_UP: Micros = 5_000;
/// Time after a stall, in microseconds, during which input may have been queued since the start of the stall.
const INPUT_DELAY_PERIOD: Micros = 50_000;

/// Longest time between two wake-ups of a driver, in microseconds. Without it, a stall of an idle front would
/// go undetected, and input read afterwards would count as just offered.
const MAX_WAKE_INTERVAL: Micros = 50_000;

/// Monitors the wake-ups of a driver.
#[derive(Debug, Default)]
pub struct StallMonitor {
    /// Until when input may have been queued since the stall.
    input_delayed_until: Option<Micros>,
    /// When the driver wakes at the latest, regardless of timers.
    next_beat: Micros,
}

impl StallMonitor {
    /// When the driver is to wake next.
    pub fn due(&self, session_layer: &SessionLayer) -> Micros {
        session_layer.next_wake().map_or(self.next_beat, |wake| wake.min(self.next_beat))
    }

    /// Records a wake-up of the driver at `now`, by a timer or by input. Returns whether the process was
    /// stalled: the driver then reads for [`CATCH_UP`] before it runs timers, so that no timer fires before
    /// input that arrived in time is read.
    pub fn record_wake_up(&mut self, now: Micros, session_layer: &mut SessionLayer) -> bool {
        let late = now.saturating_sub(self.due(session_layer));
        let stalled = late > STALL_THRESHOLD && self.next_beat > 0;
        if stalled {
            self.input_delayed_until = Some(now + INPUT_DELAY_PERIOD);
            session_layer.set_input_delay(late + MAX_WAKE_INTERVAL);
        } else if self.input_delayed_until.is_some_and(|until| now > until) {
            self.input_delayed_until = None;
            session_layer.set_input_delay(0);
        }
        self.next_beat = now + MAX_WAKE_INTERVAL;
        stalled
    }
}
