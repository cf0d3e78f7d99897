//! Plain measuring tools: time in seconds, filters, counts and chance. Nothing here decides anything.

use rand_core::RngCore;

use crate::interface::Micros;

/// A span in seconds.
pub fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// A span in whole microseconds.
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

/// A told value, unless it is none or nonsense.
pub fn sane(value: Option<f64>) -> Option<f64> {
    value.filter(|v| v.is_finite() && *v >= 0.0)
}

/// A number from 0 up to 1.
pub fn chance(rng: &mut impl RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// The part of the way that a first-order lag goes in a time.
pub fn lagged(span_s: f64, lag_s: f64) -> f64 {
    1.0 - (-span_s / lag_s).exp()
}

/// Rate of events a second, with a first-order lag.
#[derive(Debug, Clone, Copy, Default)]
pub struct Meter {
    /// As of the last event, that one included.
    pub rate: f64,
    at: Micros,
}

impl Meter {
    /// The rate by now.
    pub fn read(&self, now: Micros, lag_s: f64) -> f64 {
        self.rate * (-seconds(now.saturating_sub(self.at)) / lag_s).exp()
    }

    /// Counts one event.
    pub fn count(&mut self, now: Micros, lag_s: f64) {
        self.rate = self.read(now, lag_s) + 1.0 / lag_s;
        self.at = now;
    }
}

/// PI controller with a clamped output.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pi {
    pub integral: f64,
}

impl Pi {
    /// One step of `dt_s`. Anti-windup: the integral stays within the output's own range and does not move
    /// further where the output is at its limit already.
    pub fn step(&mut self, error: f64, dt_s: f64, gains: (f64, f64), range: (f64, f64), unwind: f64) -> f64 {
        let speed = if error < 0.0 { unwind } else { 1.0 };
        let next = (self.integral + gains.1 * error * dt_s * speed).clamp(range.0, range.1);
        let output = gains.0 * error + next;
        if (output <= range.1 || error < 0.0) && (output >= range.0 || error > 0.0 || next > 0.0) {
            self.integral = next;
        }
        (gains.0 * error + self.integral).clamp(range.0, range.1)
    }
}
