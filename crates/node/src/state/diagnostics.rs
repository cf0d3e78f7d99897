//! Log output for analysing lost calls: the state of each signalling server, once per second.
//!
//! Active only if the log level of this module is debug. Each line has the set-ups sent to a server, the
//! outcomes of attempts there, and the decision module's view of the server.

use std::collections::BTreeMap;

use baydrift::interface::{Micros, Outcome, ServerId};

use super::Node;

/// Interval between two log lines on one server.
const LOG_INTERVAL: Micros = 1_000_000;

/// Set-ups sent and outcomes per server since the last log lines.
#[derive(Debug, Default)]
pub(super) struct AttemptCounts {
    at: Micros,
    sent: BTreeMap<ServerId, u32>,
    ended: BTreeMap<(ServerId, &'static str), u32>,
}

/// Whether the log level of this module is debug.
fn debug_enabled() -> bool {
    tracing::enabled!(tracing::Level::DEBUG)
}

impl AttemptCounts {
    pub(super) fn record_sent(&mut self, server: ServerId) {
        if !debug_enabled() {
            return;
        }
        *self.sent.entry(server).or_default() += 1;
    }

    pub(super) fn record_ended(&mut self, server: ServerId, outcome: Outcome) {
        if !debug_enabled() {
            return;
        }
        let name = match outcome {
            Outcome::Ok => "stands",
            Outcome::Error => "error",
            Outcome::Full => "full",
            Outcome::Timeout => "given up",
            Outcome::ConnectFailed => "not reached",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::Moot => "moot",
        };
        *self.ended.entry((server, name)).or_default() += 1;
    }
}

impl Node {
    /// Logs one line per server and one on the node's resources, at debug level.
    pub(super) fn log_server_views(&mut self) {
        if !debug_enabled() || self.now < self.attempt_counts.at + LOG_INTERVAL {
            return;
        }
        let counts = std::mem::replace(
            &mut self.attempt_counts,
            AttemptCounts { at: self.now, ..AttemptCounts::default() },
        );
        let now = self.now;
        let age_ms = |at: Micros| if at == 0 { -1 } else { (now.saturating_sub(at) / 1_000) as i64 };
        for view in self.engine.server_views() {
            let server = view.server;
            let ended: Vec<_> = counts.ended.iter().filter(|((id, _), _)| *id == server).collect();
            let ended: Vec<_> =
                ended.iter().map(|((_, outcome), count)| format!("{outcome} {count}")).collect();
            tracing::debug!(
                "server view {server:x} number {} {:?}: sent {}, {}; unanswered {}, reject fraction {:.2}, \
                 report with wait {:?} s and {:?} free {} ms ago, observed wait {:.2} s {} ms ago, \
                 warm-up for {:?} ms",
                view.number,
                view.state,
                counts.sent.get(&server).copied().unwrap_or(0),
                if ended.is_empty() { "nothing ended".to_owned() } else { ended.join(", ") },
                view.unanswered,
                view.alpha,
                view.report.0.wait_s,
                view.report.0.free,
                age_ms(view.report.1),
                view.seen.0,
                age_ms(view.seen.1),
                view.cold_since.map(age_ms),
            );
        }
        let [links, conns, in_set_up, established, cached_answers, timers] = self.resource_counts();
        tracing::debug!(
            "resources: {links} callers' connections, {conns} to servers, {in_set_up} calls in set-up, \
             {established} established, {cached_answers} cached answers, {timers} timers; {:?}",
            self.counts
        );
    }
}
