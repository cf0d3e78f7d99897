//! TPKT (RFC 1006, section 6): text over TCP in packets that tell their length (RFC 3525, Annex D.2).

/// Longest packet: version, reserved, and two octets of length that count themselves.
pub const TPKT_MAX: usize = 65_535;
const HEAD: usize = 4;
const VERSION: u8 = 3;

/// Why nothing more can be read from a stream of packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TpktError {
    /// Another version than 3.
    #[error("version {0} where a packet starts: TPKT has 3")]
    Version(u8),
    /// A length that is less than the header's own.
    #[error("a packet of {0} octets: its header alone has 4")]
    Length(usize),
    /// More text than a packet holds.
    #[error("{0} octets of text do not fit a packet")]
    TooLong(usize),
}

/// A packet around a text.
///
/// # Errors
/// Where the text is too long for one.
pub fn frame(text: &[u8]) -> Result<Vec<u8>, TpktError> {
    let length = u16::try_from(text.len() + HEAD).map_err(|_| TpktError::TooLong(text.len()))?;
    let mut packet = vec![VERSION, 0];
    packet.extend_from_slice(&length.to_be_bytes());
    packet.extend_from_slice(text);
    Ok(packet)
}

/// The text of the first packet and how many octets it took; `None` while it is not all there.
///
/// # Errors
/// Where no packet starts.
pub fn unframe(stream: &[u8]) -> Result<Option<(&[u8], usize)>, TpktError> {
    let Some(head) = stream.get(..HEAD) else {
        return match stream.first() {
            Some(version) if *version != VERSION => Err(TpktError::Version(*version)),
            _ => Ok(None),
        };
    };
    if head[0] != VERSION {
        return Err(TpktError::Version(head[0]));
    }
    let length = usize::from(u16::from_be_bytes([head[2], head[3]]));
    if length < HEAD {
        return Err(TpktError::Length(length));
    }
    Ok(stream.get(HEAD..length).map(|text| (text, length)))
}
