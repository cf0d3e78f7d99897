//! Load that the callers of either protocol offer.

use baydrift::interface::Micros;

/// Calls of one class from one publisher.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Index of the class.
    pub class: usize,
    /// Index of the publisher.
    pub publisher: usize,
    /// Service-Context-Id.
    pub context: String,
    /// Subscription-Id-Data.
    pub subscription: String,
    /// Arrival rate, calls per second.
    pub rate: f64,
    /// Mean holding time of an established call, microseconds.
    pub hold: Micros,
    /// Time after which a caller abandons an unanswered set-up, microseconds.
    pub caller_timeout: Micros,
}

/// Parameters of the offered load that can change during a run.
#[derive(Debug, Clone, PartialEq)]
pub struct OfferedLoad {
    /// Factor on all arrival rates; 0 stops new calls.
    pub factor: f64,
    /// Share of calls to the single hot number, 0 to 1.
    pub hot_number_share: f64,
    /// Share of set-ups that are retransmitted immediately with the T flag, 0 to 1.
    pub retransmit_share: f64,
    /// Maximum number of redials by a caller whose call was rejected, timed out or dropped.
    pub redials: u32,
    /// Mean wait before a redial, microseconds.
    pub redial_wait: Micros,
    /// Index of a publisher whose text clients call more often, and the factor on their rates.
    pub flood: Option<(usize, f64)>,
    /// Whether text clients subscribe to overload notices and honour them.
    pub honours_overload_notices: bool,
    /// Each change of this value makes the callers close and reopen their connection once.
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
