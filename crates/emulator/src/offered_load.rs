//! What callers of either protocol are told to offer.

use baydrift::interface::Micros;

/// Calls of one class from one publisher.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Index of its class.
    pub class: usize,
    /// Index of its publisher.
    pub publisher: usize,
    /// Service-Context-Id.
    pub context: String,
    /// Subscription-Id-Data.
    pub subscription: String,
    /// Calls a second.
    pub rate: f64,
    /// Mean time that a call stands.
    pub hold: Micros,
    /// A try is given up after so long.
    pub caller_timeout: Micros,
}

/// What can change while callers call.
#[derive(Debug, Clone, PartialEq)]
pub struct OfferedLoad {
    /// Factor on all rates; 0 ends them.
    pub factor: f64,
    /// Share of calls that go to one number.
    pub hot_number_share: f64,
    /// Share of set-ups that are said again with the T flag at once.
    pub retransmit_share: f64,
    /// Redials of each caller that was refused, failed or cut.
    pub redials: u32,
    /// Mean wait before a redial.
    pub redial_wait: Micros,
    /// A publisher whose text clients call so many times as often.
    pub flood: Option<(usize, f64)>,
    /// Whether text clients ask for notices of overload, and heed them.
    pub honours_overload_notices: bool,
    /// The connection is closed once, whenever this changes, and opened again.
    pub reconnects: u32,
}

impl Default for OfferedLoad {
    fn default() -> Self {
        Self {
            factor: 1.0,
            hot_number_share: 0.0,
            retransmit_share: 0.0,
            redials: 2,
            redial_wait: 1_000_000,
            flood: None,
            honours_overload_notices: false,
            reconnects: 0,
        }
    }
}
