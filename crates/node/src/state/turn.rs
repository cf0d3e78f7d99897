//! The order in which what has come together is taken.
//!
//! All that a turn brings came before anything that is decided in it. So what takes work back is heard first, then what
//! servers and the list say, and what asks for new work last.

use std::collections::BTreeSet;

use baydrift_platform::{setup, MessageType};

use super::Input;

/// Places in the order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// A caller leaves, gives up, releases, or names what stands.
    Left,
    /// What may be sent where: signals, the list.
    Told,
    /// What became of attempts and connections.
    Happened,
    /// A caller asks for a call.
    Offered,
    /// A caller connects, which may push an idle one out: what that one had sent is taken before.
    Connected,
}

impl Input {
    fn rank(&self) -> Rank {
        match self {
            Self::FromCaller(_, message) if setup::is_offer(message) => Rank::Offered,
            Self::FromCaller(..) | Self::CallerDown(_) | Self::Withdrawn(_) | Self::CallerPart(_) => {
                Rank::Left
            }
            Self::Names(_) | Self::Moved | Self::Stop => Rank::Told,
            Self::CallerUp(..) => Rank::Connected,
            _ => Rank::Happened,
        }
    }

    /// Bytes that it holds, about.
    pub fn size(&self) -> usize {
        match self {
            Self::FromCaller(_, message) | Self::FromServer(_, message) => {
                message.parameters.iter().map(|(_, value)| value.len()).sum()
            }
            Self::Names(bytes) | Self::Peer(_, bytes) => bytes.len(),
            _ => 0,
        }
    }

    /// Whether an attempt may begin by it: a first one, or one more in place of another.
    pub fn may_begin(&self) -> bool {
        self.rank() >= Rank::Happened
    }
}

/// Puts what has come in order. Within a rank the order stays. A set-up whose caller has closed its connection, or given
/// it up, behind it becomes [`Input::Withdrawn`].
pub fn in_order<A: AsRef<Input> + AsMut<Input>>(arrived: &mut [A]) {
    let (mut closed, mut given_up) = (BTreeSet::new(), BTreeSet::new());
    for arrival in arrived.iter_mut().rev() {
        let input = arrival.as_mut();
        match input {
            Input::CallerDown(link) => drop(closed.insert(*link)),
            Input::FromCaller(_, message) if message.kind == MessageType::Release => {
                given_up.insert(message.call);
            }
            Input::FromCaller(link, message) if setup::is_offer(message) => {
                let void = closed.contains(link) || given_up.contains(&message.call);
                *input = if void { Input::Withdrawn(*link) } else { continue };
            }
            _ => {}
        }
    }
    arrived.sort_by_key(|arrival| arrival.as_ref().rank());
}
