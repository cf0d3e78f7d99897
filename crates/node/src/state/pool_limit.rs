//! Size of the connection pool of a signalling server. The pool itself is managed by `servers`.
//!
//! Several connections limit the damage of an invalid message or a reset to the set-ups on one of them. But
//! the spare connections of all front nodes add up, and a signalling server accepts few. So the limit starts
//! from the number of front nodes and falls further when the server refuses connections.

use baydrift::interface::Micros;

/// Maximum number of connections to one server; further ones hardly reduce the damage of a broken one.
pub(super) const CONNS_PER_SERVER_MAX: usize = 16;
/// Maximum number of connections that all front nodes together keep to one server that has
/// refused none. Servers do not announce their limit; small fleets need several connections
/// per front node and met no refusal at this number.
const FLEET_CONNS_PER_SERVER: usize = 64;
/// Interval at which the limit rises by one connection after a refusal.
const RAISE_INTERVAL: Micros = 10_000_000;

/// Limit on the connections to one server.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolLimit {
    /// Limit from the number of front nodes.
    fleet_max: usize,
    /// Limit from the server's last refusal, and the time of that refusal.
    reduced: Option<(usize, Micros)>,
}

impl PoolLimit {
    /// Creates the limit for each front node of a fleet of this size.
    pub(super) fn for_fleet(fronts: u32) -> Self {
        let fronts = usize::try_from(fronts).unwrap_or(usize::MAX).max(1);
        Self { fleet_max: (FLEET_CONNS_PER_SERVER / fronts).clamp(1, CONNS_PER_SERVER_MAX), reduced: None }
    }

    /// Records that the server refused a connection while `up` others were established: it accepts no more.
    pub(super) fn record_refusal(&mut self, now: Micros, up: usize) {
        self.reduced = Some((up.max(1), now));
    }

    /// Current maximum number of connections.
    pub(super) fn current_max(&self, now: Micros) -> usize {
        let Some((reduced, since)) = self.reduced else { return self.fleet_max };
        let raised = now.saturating_sub(since) / RAISE_INTERVAL;
        reduced.saturating_add(usize::try_from(raised).unwrap_or(usize::MAX)).min(self.fleet_max)
    }

    /// Target number of connections for `busy` set-ups that are unanswered or waiting, at most `share`: one
    /// is spare where the limits allow it, since a connection may break while another one still works.
    pub(super) fn target(&self, now: Micros, busy: usize, share: usize) -> usize {
        let max = self.current_max(now).min(share).max(1);
        (busy + 1).clamp(max.min(2), max)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn target_depends_on_the_fleet_size() {
        let small = PoolLimit::for_fleet(4);
        assert_eq!(
            (
                small.target(0, 0, CONNS_PER_SERVER_MAX),
                small.target(0, 5, CONNS_PER_SERVER_MAX),
                small.target(0, 99, CONNS_PER_SERVER_MAX)
            ),
            (2, 6, 16)
        );
        let large = PoolLimit::for_fleet(300);
        assert_eq!(
            (large.target(0, 0, CONNS_PER_SERVER_MAX), large.target(0, 99, CONNS_PER_SERVER_MAX)),
            (1, 1)
        );
        // A smaller share of the descriptors takes precedence.
        assert_eq!(small.target(0, 99, 3), 3);
        assert_eq!(PoolLimit::for_fleet(0).current_max(0), CONNS_PER_SERVER_MAX);
    }

    #[test]
    fn refusals_lower_the_limit_and_time_raises_it() {
        let mut limit = PoolLimit::for_fleet(4);
        limit.record_refusal(1_000_000, 3);
        assert_eq!(limit.current_max(1_000_000), 3);
        assert_eq!(limit.current_max(1_000_000 + RAISE_INTERVAL), 4);
        assert_eq!(limit.current_max(1_000_000 + 100 * RAISE_INTERVAL), CONNS_PER_SERVER_MAX);
        // No connection was up: one is still dialled.
        limit.record_refusal(2_000_000, 0);
        assert_eq!(limit.target(2_000_000, 9, CONNS_PER_SERVER_MAX), 1);
    }
}
