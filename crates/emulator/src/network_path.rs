//! One direction of a network path between two processes: loss, delay, duplication, reordering and a rate
//! limit. Performs no I/O and reads no clock, so that relays on sockets and links in virtual time share it.

use baydrift::interface::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Conditions of a network path. The default is a path without delay or faults.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct NetworkPathSpec {
    /// One-way delay, microseconds.
    pub delay: Micros,
    /// Upper bound of the random delay added to `delay`, drawn for each transmission, microseconds.
    pub jitter: Micros,
    /// Share of transmissions lost, 0 to 1. Bytes of a stream are retransmitted after [`RETRANSMIT_TIMEOUT`].
    pub lost: f64,
    /// Share of datagrams delivered twice, 0 to 1.
    pub doubled: f64,
    /// Share of datagrams delayed so that later ones may overtake them, 0 to 1.
    pub reordered: f64,
    /// Rate limit, bytes per second; 0 for none.
    pub rate: u64,
}

/// Delay of lost bytes of a stream, microseconds: the minimum retransmission timeout of common TCP
/// implementations (200 ms, which RFC 6298 allows).
pub const RETRANSMIT_TIMEOUT: Micros = 200_000;
/// Additional delay of a reordered datagram, microseconds.
const REORDER_DELAY: Micros = 30_000;
/// Datagrams that would queue longer than this for a rate-limited path are dropped, microseconds.
const MAX_QUEUE_DELAY: Micros = 500_000;

/// State of a network path in one direction.
#[derive(Debug)]
pub struct NetworkPath {
    spec: NetworkPathSpec,
    rng: Pcg64Mcg,
    /// When everything sent so far has left a rate-limited path.
    free_at: Micros,
    /// When the latest bytes of the stream arrive.
    last_arrival: Micros,
}

impl NetworkPath {
    /// Creates a path whose random decisions derive from `seed`.
    pub fn new(spec: NetworkPathSpec, seed: u64) -> Self {
        Self { spec, rng: Pcg64Mcg::seed_from_u64(seed), free_at: 0, last_arrival: 0 }
    }

    fn departure(&mut self, now: Micros, size: usize) -> Micros {
        let transmission_time =
            (size as u64).saturating_mul(1_000_000).checked_div(self.spec.rate).unwrap_or(0);
        self.free_at = self.free_at.max(now) + transmission_time;
        self.free_at
    }

    fn latency(&mut self) -> Micros {
        let jitter = if self.spec.jitter > 0 { self.rng.random_range(0..=self.spec.jitter) } else { 0 };
        self.spec.delay + jitter
    }

    fn occurs(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random::<f64>() < share
    }

    /// Arrival times of a datagram of `size` bytes sent now: none if it is lost, two if it is duplicated.
    pub fn datagram(&mut self, now: Micros, size: usize) -> Vec<Micros> {
        if self.occurs(self.spec.lost) || self.free_at > now + MAX_QUEUE_DELAY {
            return Vec::new();
        }
        let departure = self.departure(now, size);
        let reorder_delay = if self.occurs(self.spec.reordered) { REORDER_DELAY } else { 0 };
        let mut arrivals = vec![departure + self.latency() + reorder_delay];
        if self.occurs(self.spec.doubled) {
            arrivals.push(departure + self.latency());
        }
        arrivals
    }

    /// Arrival time of `size` bytes of a stream sent now; never before that of earlier bytes.
    pub fn stream(&mut self, now: Micros, size: usize) -> Micros {
        let departure = self.departure(now, size);
        let retransmission = if self.occurs(self.spec.lost) { RETRANSMIT_TIMEOUT } else { 0 };
        self.last_arrival = self.last_arrival.max(departure + self.latency() + retransmission);
        self.last_arrival
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn path(spec: NetworkPathSpec) -> NetworkPath {
        NetworkPath::new(spec, 7)
    }

    #[test]
    fn default_path_delivers_immediately() {
        let mut path = path(NetworkPathSpec::default());
        assert_eq!(path.datagram(5, 100), [5]);
        assert_eq!(path.stream(6, 100), 6);
    }

    #[test]
    fn loss_and_duplication_rates_hold_and_streams_stay_ordered() {
        let spec = NetworkPathSpec { lost: 0.2, doubled: 0.1, jitter: 5_000, ..NetworkPathSpec::default() };
        let mut path = path(spec);
        let all: Vec<_> = (0..10_000).map(|i| path.datagram(i * 10, 100).len()).collect();
        let (none, two) = (all.iter().filter(|n| **n == 0).count(), all.iter().filter(|n| **n == 2).count());
        assert!((1_800..2_200).contains(&none), "{none} of 10,000 lost");
        assert!((700..900).contains(&two), "{two} of 10,000 duplicated");
        let mut last = 0;
        for i in 0..1_000 {
            let due = path.stream(200_000 + i * 10, 100);
            assert!(due >= last);
            last = due;
        }
        assert!(last > 200_000 + RETRANSMIT_TIMEOUT, "some bytes were retransmitted");
    }

    #[test]
    fn rate_limit_spaces_datagrams_and_full_queue_drops() {
        let mut path = path(NetworkPathSpec { rate: 1_000, ..NetworkPathSpec::default() });
        assert_eq!(path.datagram(0, 100), [100_000]);
        assert_eq!(path.datagram(0, 100), [200_000]);
        for _ in 0..4 {
            path.datagram(0, 100);
        }
        assert_eq!(path.datagram(0, 100), [0; 0], "the queue already holds half a second");
    }
}
