//! What the node believed, second by second, for whoever asks the log why a call was lost.
//!
//! Off unless the log is at debug for this module; then one line a server and second: what was sent there, how it
//! ended, and what the module made of it.

use std::collections::BTreeMap;

use baydrift::interface::{Micros, Outcome, ServerId};

use super::Node;

const EVERY: Micros = 1_000_000;

/// What was seen of servers in this second.
#[derive(Debug, Default)]
pub(super) struct Seen {
    at: Micros,
    sent: BTreeMap<ServerId, u32>,
    ended: BTreeMap<(ServerId, &'static str), u32>,
}

/// Whether the log asks for beliefs.
fn wanted() -> bool {
    tracing::enabled!(tracing::Level::DEBUG)
}

impl Seen {
    pub(super) fn sent(&mut self, server: ServerId) {
        if !wanted() {
            return;
        }
        *self.sent.entry(server).or_default() += 1;
    }

    pub(super) fn ended(&mut self, server: ServerId, how: Outcome) {
        if !wanted() {
            return;
        }
        let name = match how {
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
    /// One line a server and second, where the log asks for them.
    pub(super) fn tell_beliefs(&mut self) {
        if !wanted() || self.now < self.belief.at + EVERY {
            return;
        }
        let seen = std::mem::replace(&mut self.belief, Seen { at: self.now, ..Seen::default() });
        let now = self.now;
        let age_ms = |at: Micros| if at == 0 { -1 } else { (now.saturating_sub(at) / 1_000) as i64 };
        for belief in self.engine.server_views() {
            let server = belief.server;
            let ended: Vec<_> = seen.ended.iter().filter(|((id, _), _)| *id == server).collect();
            let ended: Vec<_> = ended.iter().map(|((_, how), count)| format!("{how} {count}")).collect();
            tracing::debug!(
                "belief {server:x} number {} {:?}: sent {}, {}; out {}, alpha {:.2}, report {:?} s and {:?} free {} ms ago, \
                 seen {:.2} s {} ms ago, cold {:?} ms",
                belief.number,
                belief.state,
                seen.sent.get(&server).copied().unwrap_or(0),
                if ended.is_empty() { "nothing ended".to_owned() } else { ended.join(", ") },
                belief.unanswered,
                belief.alpha,
                belief.report.0.wait_s,
                belief.report.0.free,
                age_ms(belief.report.1),
                belief.seen.0,
                age_ms(belief.seen.1),
                belief.cold_since.map(age_ms),
            );
        }
        let [links, conns, in_set_up, stand, remembered, timers] = self.held();
        tracing::debug!(
            "held: {links} callers' connections, {conns} to servers, {in_set_up} in set-up, {stand} stand, \
             {remembered} remembered, {timers} timers; {:?}",
            self.counts
        );
    }
}
