//! One direction between two processes: what is lost, late, doubled, out of order or too much. Without I/O or clock:
//! the same decisions serve relays on sockets and links in virtual time.

use baydrift::interface::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// What a way does to what crosses it. The default is a way without faults.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct NetworkPathSpec {
    /// One way, microseconds.
    pub delay: Micros,
    /// More than that by up to so much, drawn for each.
    pub jitter: Micros,
    /// Share that is lost, 0 to 1. A stream's bytes come again after [`RETRANSMIT_TIMEOUT`].
    pub lost: f64,
    /// Share of datagrams that come twice.
    pub doubled: f64,
    /// Share of datagrams that later ones may overtake.
    pub reordered: f64,
    /// Bytes a second; 0 for no limit.
    pub rate: u64,
}

/// What a stream waits for bytes that were lost: the least time after which a TCP sender sends again (RFC 6298 allows
/// 200 ms and more; common systems use 200 ms).
pub const RETRANSMIT_TIMEOUT: Micros = 200_000;
/// A datagram that is overtaken comes so much later.
const OVERTAKEN_BY: Micros = 30_000;
/// What waits for a way with a rate longer than this is lost, as in a full queue.
const QUEUE: Micros = 500_000;

/// A way in use.
#[derive(Debug)]
pub struct NetworkPath {
    spec: NetworkPathSpec,
    rng: Pcg64Mcg,
    /// When what was sent so far has left, for a way with a rate.
    free_at: Micros,
    /// When the last bytes of the stream arrive.
    last: Micros,
}

impl NetworkPath {
    /// A way whose chance comes from `seed`.
    pub fn new(spec: NetworkPathSpec, seed: u64) -> Self {
        Self { spec, rng: Pcg64Mcg::seed_from_u64(seed), free_at: 0, last: 0 }
    }

    fn leaves(&mut self, now: Micros, size: usize) -> Micros {
        let took = (size as u64).saturating_mul(1_000_000).checked_div(self.spec.rate).unwrap_or(0);
        self.free_at = self.free_at.max(now) + took;
        self.free_at
    }

    fn late(&mut self) -> Micros {
        let jitter = if self.spec.jitter > 0 { self.rng.random_range(0..=self.spec.jitter) } else { 0 };
        self.spec.delay + jitter
    }

    fn happens(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random::<f64>() < share
    }

    /// When a datagram of this size that is sent now arrives: not at all, once or twice.
    pub fn datagram(&mut self, now: Micros, size: usize) -> Vec<Micros> {
        if self.happens(self.spec.lost) || self.free_at > now + QUEUE {
            return Vec::new();
        }
        let leaves = self.leaves(now, size);
        let overtaken = if self.happens(self.spec.reordered) { OVERTAKEN_BY } else { 0 };
        let mut arrives = vec![leaves + self.late() + overtaken];
        if self.happens(self.spec.doubled) {
            arrives.push(leaves + self.late());
        }
        arrives
    }

    /// When bytes of a stream that are sent now arrive: never before those sent earlier.
    pub fn stream(&mut self, now: Micros, size: usize) -> Micros {
        let leaves = self.leaves(now, size);
        let again = if self.happens(self.spec.lost) { RETRANSMIT_TIMEOUT } else { 0 };
        self.last = self.last.max(leaves + self.late() + again);
        self.last
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn way(spec: NetworkPathSpec) -> NetworkPath {
        NetworkPath::new(spec, 7)
    }

    #[test]
    fn a_way_without_faults_passes_all_at_once_and_in_order() {
        let mut way = way(NetworkPathSpec::default());
        assert_eq!(way.datagram(5, 100), [5]);
        assert_eq!(way.stream(6, 100), 6);
    }

    #[test]
    fn shares_are_met_and_a_stream_stays_in_order() {
        let spec = NetworkPathSpec { lost: 0.2, doubled: 0.1, jitter: 5_000, ..NetworkPathSpec::default() };
        let mut way = way(spec);
        let all: Vec<_> = (0..10_000).map(|i| way.datagram(i * 10, 100).len()).collect();
        let (none, two) = (all.iter().filter(|n| **n == 0).count(), all.iter().filter(|n| **n == 2).count());
        assert!((1_800..2_200).contains(&none), "{none} of 10,000 lost");
        assert!((700..900).contains(&two), "{two} doubled");
        let mut last = 0;
        for i in 0..1_000 {
            let due = way.stream(200_000 + i * 10, 100);
            assert!(due >= last);
            last = due;
        }
        assert!(last > 200_000 + RETRANSMIT_TIMEOUT, "some were sent again");
    }

    #[test]
    fn a_rate_spaces_what_crosses_and_a_full_queue_loses() {
        let mut way = way(NetworkPathSpec { rate: 1_000, ..NetworkPathSpec::default() });
        assert_eq!(way.datagram(0, 100), [100_000]);
        assert_eq!(way.datagram(0, 100), [200_000]);
        for _ in 0..4 {
            way.datagram(0, 100);
        }
        assert_eq!(way.datagram(0, 100), [0; 0], "half a second waits already");
    }
}
