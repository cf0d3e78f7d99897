//! TPKT framing (RFC 1006, section 6) of messages over TCP (RFC 3525, Annex D.2).

/// Maximum packet length in octets, including the header of four octets: version, reserved and the length.
pub const TPKT_MAX: usize = 65_535;
const HEADER_LENGTH: usize = 4;
const VERSION: u8 = 3;

/// Framing error. After an error in [`unframe`], the stream cannot be resynchronised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TpktError {
    /// The version is not 3.
    #[error("TPKT version {0}; expected 3")]
    Version(u8),
    /// The packet length is less than that of the header.
    #[error("TPKT length of {0} octets is less than the 4 octets of the header")]
    Length(usize),
    /// The text is too long for a packet.
    #[error("text of {0} octets does not fit in a TPKT packet")]
    TooLong(usize),
}

/// Creates a packet with a text.
///
/// # Errors
/// If the packet would be longer than [`TPKT_MAX`].
pub fn frame(text: &[u8]) -> Result<Vec<u8>, TpktError> {
    let length = u16::try_from(text.len() + HEADER_LENGTH).map_err(|_| TpktError::TooLong(text.len()))?;
    let mut packet = vec![VERSION, 0];
    packet.extend_from_slice(&length.to_be_bytes());
    packet.extend_from_slice(text);
    Ok(packet)
}

/// Returns the text of the first packet of a stream and the length of that packet in octets; `None` if the
/// packet is incomplete.
///
/// # Errors
/// If the stream does not start with a valid packet header.
pub fn unframe(stream: &[u8]) -> Result<Option<(&[u8], usize)>, TpktError> {
    let Some(header) = stream.get(..HEADER_LENGTH) else {
        return match stream.first() {
            Some(version) if *version != VERSION => Err(TpktError::Version(*version)),
            _ => Ok(None),
        };
    };
    if header[0] != VERSION {
        return Err(TpktError::Version(header[0]));
    }
    let length = usize::from(u16::from_be_bytes([header[2], header[3]]));
    if length < HEADER_LENGTH {
        return Err(TpktError::Length(length));
    }
    Ok(stream.get(HEADER_LENGTH..length).map(|text| (text, length)))
}
