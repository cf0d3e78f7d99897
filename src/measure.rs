//! Helpers for measuring: time conversion, filters, rates, a PI controller and random numbers.

use rand_core::RngCore;

use crate::interface::Micros;

/// Converts a time span to seconds.
pub fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// Converts seconds to whole microseconds, rounding down.
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

/// Drops a reported value that is negative or not finite.
pub fn valid(value: Option<f64>) -> Option<f64> {
    value.filter(|v| v.is_finite() && *v >= 0.0)
}

/// Draws a uniform random number in [0, 1).
pub fn uniform(rng: &mut impl RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// The fraction of a step that a first-order low-pass filter follows within a time span.
pub fn low_pass_step(span_s: f64, time_constant_s: f64) -> f64 {
    1.0 - (-span_s / time_constant_s).exp()
}

/// Rate of events a second, smoothed by a first-order low-pass filter.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateMeter {
    /// The rate at the last event, that event included.
    pub rate: f64,
    at: Micros,
}

impl RateMeter {
    /// The rate at `now`.
    pub fn read(&self, now: Micros, time_constant_s: f64) -> f64 {
        self.rate * (-seconds(now.saturating_sub(self.at)) / time_constant_s).exp()
    }

    /// Counts one event.
    pub fn count(&mut self, now: Micros, time_constant_s: f64) {
        self.rate = self.read(now, time_constant_s) + 1.0 / time_constant_s;
        self.at = now;
    }
}

/// PI controller with a clamped output.
#[derive(Debug, Clone, Copy, Default)]
pub struct PiController {
    pub integral: f64,
}

impl PiController {
    /// Advances the controller by `dt_s` and returns its output. Anti-windup: the integral stays within the
    /// output range and does not grow further while the output is at its limit.
    ///
    /// `gains` holds the proportional and the integral gain (1/s); a negative error moves the integral
    /// `unwind_factor` times as fast.
    pub fn step(
        &mut self,
        error: f64,
        dt_s: f64,
        gains: (f64, f64),
        range: (f64, f64),
        unwind_factor: f64,
    ) -> f64 {
        let speed = if error < 0.0 { unwind_factor } else { 1.0 };
        let next = (self.integral + gains.1 * error * dt_s * speed).clamp(range.0, range.1);
        let output = gains.0 * error + next;
        if (output <= range.1 || error < 0.0) && (output >= range.0 || error > 0.0 || next > 0.0) {
            self.integral = next;
        }
        (gains.0 * error + self.integral).clamp(range.0, range.1)
    }
}
