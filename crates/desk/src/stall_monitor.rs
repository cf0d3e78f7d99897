//! An own stall, seen by whoever drives the desk: what came meanwhile is heard before time passes.

use baydrift::interface::Micros;

use crate::session_layer::SessionLayer;

/// A timer so late means that this process stood still.
pub(crate) const STALLED: Micros = 100_000;
/// After a stall, readers get this long to hand over what came meanwhile.
pub const CATCH_UP: Micros = 5_000;
/// For so long after a stall what is read may have waited all through it.
const CAUGHT_UP: Micros = 50_000;

/// A driver wakes at least this often, timers or not: without one a stall of an idle front would not be seen, and
/// what was read after it would count as offered just now.
const BEAT: Micros = 50_000;

/// Watches one driver's wake-ups.
#[derive(Debug, Default)]
pub struct StallMonitor {
    /// Until when what is read may have waited.
    until: Option<Micros>,
    /// The driver wakes by then, whatever the desk wants.
    beat: Micros,
}

impl StallMonitor {
    /// When the driver wakes at the latest.
    pub fn due(&self, desk: &SessionLayer) -> Micros {
        desk.next_wake().map_or(self.beat, |wake| wake.min(self.beat))
    }

    /// The driver woke at `now`, by a timer or since something came. `true`: it stood still, and shall read for
    /// [`CATCH_UP`] before it lets time pass: guards against timers that fire before what came in time was read.
    pub fn record_wake_up(&mut self, now: Micros, desk: &mut SessionLayer) -> bool {
        let late = now.saturating_sub(self.due(desk));
        let stood_still = late > STALLED && self.beat > 0;
        if stood_still {
            self.until = Some(now + CAUGHT_UP);
            desk.set_input_delay(late + BEAT);
        } else if self.until.is_some_and(|until| now > until) {
            self.until = None;
            desk.set_input_delay(0);
        }
        self.beat = now + BEAT;
        stood_still
    }
}
