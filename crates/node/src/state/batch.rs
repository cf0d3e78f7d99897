//! Processing order of inputs that arrived together.
//!
//! All inputs of a batch arrived before any decision made while the batch is processed. So withdrawals are
//! processed first, then the server list and events from servers, and requests for new work last.

use std::collections::BTreeSet;

use baydrift_platform::{setup, MessageType};

use super::Input;

/// Processing priority; lower ranks come first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// A caller disconnects, cancels, releases, or announces an established call.
    Withdrawal,
    /// Signals and discovery answers, which determine where set-ups may be sent.
    Control,
    /// Progress of attempts and connections.
    ServerEvent,
    /// A caller sends a set-up.
    NewCall,
    /// A caller connects, which may close an idle connection: messages from that one are processed before.
    NewConnection,
}

impl Input {
    fn rank(&self) -> Rank {
        match self {
            Self::FromCaller(_, message) if setup::is_offer(message) => Rank::NewCall,
            Self::FromCaller(..) | Self::CallerDown(_) | Self::Withdrawn(_) | Self::CallerPartial(_) => {
                Rank::Withdrawal
            }
            Self::DiscoveryAnswer(_) | Self::NameServerChanged | Self::Stop => Rank::Control,
            Self::CallerUp(..) => Rank::NewConnection,
            _ => Rank::ServerEvent,
        }
    }

    /// Approximate size of the payload in bytes.
    pub fn size(&self) -> usize {
        match self {
            Self::FromCaller(_, message) | Self::FromServer(_, message) => message.memory_size(),
            Self::DiscoveryAnswer(bytes) | Self::Peer(_, bytes) => bytes.len(),
            _ => 0,
        }
    }

    /// Whether the input may start an attempt, be it a first one or a retry.
    pub fn may_start_attempt(&self) -> bool {
        self.rank() >= Rank::ServerEvent
    }
}

/// Sorts a batch by priority; the sort is stable. A set-up becomes [`Input::Withdrawn`] if a later input of
/// the batch closes its connection, or releases its call on that connection.
pub fn sort_batch<A: AsRef<Input> + AsMut<Input>>(batch: &mut [A]) {
    let (mut closed, mut released) = (BTreeSet::new(), BTreeSet::new());
    for entry in batch.iter_mut().rev() {
        let input = entry.as_mut();
        match input {
            Input::CallerDown(link) => drop(closed.insert(*link)),
            Input::FromCaller(link, message) if message.kind == MessageType::Release => {
                released.insert((*link, message.call));
            }
            Input::FromCaller(link, message) if setup::is_offer(message) => {
                let obsolete = closed.contains(link) || released.contains(&(*link, message.call));
                *input = if obsolete { Input::Withdrawn(*link) } else { continue };
            }
            _ => {}
        }
    }
    batch.sort_by_cached_key(|entry| entry.as_ref().rank());
}
