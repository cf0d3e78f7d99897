//! Identity of a process of a front, distinct from all other processes with the same host name.

use std::fmt;

use baydrift::interface::Micros;

/// 2020-01-01 in Unix time, in microseconds. Tenths of a second since then exceed the values that earlier
/// versions sent (seconds since 1970) and fit 32 bits until 2033.
const EPOCH_US: Micros = 1_577_836_800_000_000;
const TENTH_SECOND_US: Micros = 100_000;

/// Identity of a process of a front.
///
/// The random part distinguishes two processes that start within the same second, or after the wall clock
/// stepped back. With the start time alone both had the same Session-Ids, and a late message about an attempt
/// of the first was taken for one of the second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// Origin-State-Id (RFC 6733, section 8.16): tenths of a second since 2020 by the wall clock at the
    /// start. It decreases if that clock is set back; nothing else depends on it.
    pub state_id: u32,
    /// Random number drawn at the start, unique to the process; part of every Session-Id and loan id.
    pub incarnation: u64,
}

impl ProcessIdentity {
    /// Identity of a process that starts at this Unix time, in microseconds, with a random incarnation.
    pub fn started_at(unix: Micros, incarnation: u64) -> Self {
        let tenths = unix.saturating_sub(EPOCH_US) / TENTH_SECOND_US;
        Self { state_id: u32::try_from(tenths).unwrap_or(u32::MAX), incarnation }
    }

    /// Identity of the `n`-th process of a simulated front.
    pub fn numbered(n: u32) -> Self {
        Self { state_id: n, incarnation: u64::from(n) }
    }
}

/// Formats the part of a Session-Id that identifies the process: the high 32 bits of RFC 6733, section 8.8,
/// and the incarnation.
impl fmt::Display for ProcessIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.state_id, self.incarnation)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn identities_are_unique_and_state_ids_increase() {
        let now = 1_796_173_540_000_000;
        assert_ne!(
            ProcessIdentity::started_at(now, 1).to_string(),
            ProcessIdentity::started_at(now, 2).to_string()
        );
        assert!(
            ProcessIdentity::started_at(now + TENTH_SECOND_US, 1).state_id
                > ProcessIdentity::started_at(now, 1).state_id
        );
        // Greater than the seconds since 1970 that earlier versions sent.
        assert!(ProcessIdentity::started_at(now, 1).state_id > 1_796_173_540);
        // Clocks at 1970 and in the far future saturate.
        assert_eq!(
            (
                ProcessIdentity::started_at(0, 1).state_id,
                ProcessIdentity::started_at(Micros::MAX, 1).state_id
            ),
            (0, u32::MAX)
        );
    }
}
