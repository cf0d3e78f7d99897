//! Messages between fronts over UDP; a datagram is accepted only from the address configured for its ordinal.

use std::sync::Arc;

use baydrift::interface::MESSAGE_MAX;
use baydrift_config::Fleet;
use baydrift_desk::SessionInput;
use tokio::net::UdpSocket;
use tracing::debug;

use crate::core::CoreMessage;
use crate::Shared;

/// First bytes of a datagram: name and version of the format.
const MAGIC: [u8; 4] = *b"bdf1";
/// Length of the magic and the sender's ordinal.
const HEADER_BYTES: usize = 8;

pub(crate) fn send(socket: &UdpSocket, config: &Fleet, own: u32, to: u32, payload: &[u8]) {
    let Some((_, addr)) = config.fronts.iter().find(|(ordinal, _)| *ordinal == to) else { return };
    let datagram = [&MAGIC[..], &own.to_be_bytes(), payload].concat();
    // Messages may be lost; one that does not fit into the socket's buffer is dropped.
    if let Err(error) = socket.try_send_to(&datagram, *addr) {
        debug!(%error, to, "message to a front not sent");
    }
}

/// Splits a datagram into the sender's ordinal and the payload; `None` if it is malformed or too long.
fn parse_datagram(datagram: &[u8]) -> Option<(u32, &[u8])> {
    let (head, payload) = datagram.split_at_checked(HEADER_BYTES)?;
    let ordinal = head.strip_prefix(&MAGIC)?;
    let ordinal = u32::from_be_bytes(ordinal.try_into().ok()?);
    (payload.len() <= MESSAGE_MAX).then_some((ordinal, payload))
}

pub(crate) async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    // One byte more than the longest message, so that longer datagrams are detected.
    let mut buffer = [0u8; HEADER_BYTES + MESSAGE_MAX + 1];
    let mut closing = shared.closing.clone();
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buffer) => received,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        let (size, from) = match received {
            Ok(received) => received,
            // An ICMP error from a peer's closed port is reported by the next read and can be ignored.
            Err(error) => {
                debug!(%error, "cannot receive messages between fronts");
                tokio::task::yield_now().await;
                continue;
            }
        };
        let sender =
            shared.config.fleet.as_ref().and_then(|f| f.fronts.iter().find(|(_, addr)| *addr == from));
        match (parse_datagram(&buffer[..size]), sender) {
            (Some((ordinal, payload)), Some((expected, _))) if ordinal == *expected => {
                let input = SessionInput::PeerMessage { from: ordinal, payload: payload.to_vec() };
                // A message is dropped when the core's queue is full, because the next one replaces it.
                let _ = shared.core.try_send(CoreMessage::Desk(input));
            }
            _ => debug!(%from, size, "datagram not from a configured front"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn truncated_and_oversized_datagrams_are_rejected() {
        let good = [&MAGIC[..], &7u32.to_be_bytes(), &[1, 2, 3]].concat();
        assert_eq!(parse_datagram(&good), Some((7, &[1u8, 2, 3][..])));
        for cut in 0..HEADER_BYTES {
            assert_eq!(parse_datagram(&good[..cut]), None);
        }
        let mut other = good.clone();
        other[3] = b'2';
        assert_eq!(parse_datagram(&other), None);
        assert_eq!(parse_datagram(&[&good[..HEADER_BYTES], &[0; MESSAGE_MAX + 1]].concat()), None);
    }
}
