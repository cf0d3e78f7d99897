//! What tells one process of a front from all others under its name.

use std::fmt;

use baydrift::interface::Micros;

/// 2020-01-01 in Unix time: tenths of a second since then are more than what earlier versions told (seconds since
/// 1970) and fit 32 bits until 2033.
const EPOCH: Micros = 1_577_836_800_000_000;
const TENTH: Micros = 100_000;

/// One process of a front.
///
/// Guards against two processes that start within the same second, or after the wall clock stepped back: by the second
/// alone both had the same Session-Ids, and a late word on the first one's attempt was taken for the second's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// Its Origin-State-Id (RFC 6733, section 8.16): tenths of a second since 2020, by the wall clock at its start. Goes
    /// back where that clock does; nothing else rests on it.
    pub state_id: u32,
    /// Drawn by chance at its start, so no two processes share it; part of every Session-Id and loan's name.
    pub incarnation: u64,
}

impl ProcessIdentity {
    /// A process that starts at this Unix time, in microseconds, with a number drawn by chance.
    pub fn started_at(unix: Micros, incarnation: u64) -> Self {
        let tenths = unix.saturating_sub(EPOCH) / TENTH;
        Self { state_id: u32::try_from(tenths).unwrap_or(u32::MAX), incarnation }
    }

    /// The `n`-th process of a model's front.
    pub fn numbered(n: u32) -> Self {
        Self { state_id: n, incarnation: u64::from(n) }
    }
}

/// As it stands in a Session-Id: the high part, as RFC 6733, section 8.8, has it, and the drawn number.
impl fmt::Display for ProcessIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.state_id, self.incarnation)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_processes_of_one_moment_differ_and_later_ones_tell_more() {
        let now = 1_796_173_540_000_000;
        assert_ne!(
            ProcessIdentity::started_at(now, 1).to_string(),
            ProcessIdentity::started_at(now, 2).to_string()
        );
        assert!(
            ProcessIdentity::started_at(now + TENTH, 1).state_id
                > ProcessIdentity::started_at(now, 1).state_id
        );
        // More than the seconds since 1970 that an earlier version told.
        assert!(ProcessIdentity::started_at(now, 1).state_id > 1_796_173_540);
        // A clock that says 1970, or the far future: still a number.
        assert_eq!(
            (
                ProcessIdentity::started_at(0, 1).state_id,
                ProcessIdentity::started_at(Micros::MAX, 1).state_id
            ),
            (0, u32::MAX)
        );
    }
}
