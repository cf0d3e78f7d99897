//! Messages between fronts: datagrams, each from a configured address that fits its ordinal.

use std::sync::Arc;

use baydrift::interface::MESSAGE_MAX;
use baydrift_config::Fleet;
use baydrift_desk::SessionInput;
use tokio::net::UdpSocket;
use tracing::debug;

use crate::core::ToCore;
use crate::Shared;

/// What a datagram starts with: name and version of the format.
const MAGIC: [u8; 4] = *b"bdf1";
const HEAD: usize = 8;

pub(crate) fn send(socket: &UdpSocket, config: &Fleet, own: u32, to: u32, payload: &[u8]) {
    let Some((_, addr)) = config.fronts.iter().find(|(ordinal, _)| *ordinal == to) else { return };
    let datagram = [&MAGIC[..], &own.to_be_bytes(), payload].concat();
    // Messages may be lost: one for which there is no room is.
    if let Err(error) = socket.try_send_to(&datagram, *addr) {
        debug!(%error, to, "message to a front lost");
    }
}

/// The sender's ordinal and what it says; `None` for what is no message of a front's.
fn read(datagram: &[u8]) -> Option<(u32, &[u8])> {
    let (head, payload) = datagram.split_at_checked(HEAD)?;
    let ordinal = head.strip_prefix(&MAGIC)?;
    let ordinal = u32::from_be_bytes(ordinal.try_into().ok()?);
    (payload.len() <= MESSAGE_MAX).then_some((ordinal, payload))
}

pub(crate) async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    // One byte more than any message has, so that longer ones show.
    let mut buffer = [0u8; HEAD + MESSAGE_MAX + 1];
    let mut closing = shared.closing.clone();
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buffer) => received,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        let (size, from) = match received {
            Ok(received) => received,
            // A peer's closed port shows as an error of the next read: no reason to stop.
            Err(error) => {
                debug!(%error, "messages between fronts");
                tokio::task::yield_now().await;
                continue;
            }
        };
        let known =
            shared.config.fleet.as_ref().and_then(|f| f.fronts.iter().find(|(_, addr)| *addr == from));
        match (read(&buffer[..size]), known) {
            (Some((ordinal, payload)), Some((expected, _))) if ordinal == *expected => {
                let input = SessionInput::PeerMessage { from: ordinal, payload: payload.to_vec() };
                // The next message is as good as this one.
                let _ = shared.core.try_send(ToCore::Desk(input));
            }
            _ => debug!(%from, size, "a datagram that is no front's"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_whole_messages_are_read() {
        let good = [&MAGIC[..], &7u32.to_be_bytes(), &[1, 2, 3]].concat();
        assert_eq!(read(&good), Some((7, &[1u8, 2, 3][..])));
        for cut in 0..HEAD {
            assert_eq!(read(&good[..cut]), None);
        }
        let mut other = good.clone();
        other[3] = b'2';
        assert_eq!(read(&other), None);
        assert_eq!(read(&[&good[..HEAD], &[0; MESSAGE_MAX + 1]].concat()), None);
    }
}
