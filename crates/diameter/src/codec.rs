//! Decoding a byte stream into messages, and encoding messages.

use bytes::{Buf, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use crate::fault::{result, Fault, StreamError};
use crate::message::{Flags, Header, Message, HEADER_LEN};

/// Result of decoding one message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// A well-formed message.
    Valid(Message),
    /// A malformed message of which the header was decoded, so that it can be answered; without its AVPs.
    Invalid(Message, Fault),
}

/// Decoder and encoder of messages up to a maximum length. The decoder buffers at most one message in
/// addition to one read of the transport.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Maximum message length in bytes, received or sent; at most 2^24 - 1, the limit of the length field.
    pub max_message: usize,
}

impl Default for Codec {
    fn default() -> Self {
        Self { max_message: 64 * 1024 }
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = StreamError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<Frame>, StreamError> {
        // Version and length are checked before any memory is reserved for the message.
        let Some(start) = from.get(..4) else { return Ok(None) };
        if start[0] != 1 {
            return Err(StreamError::Version(start[0]));
        }
        let length = usize::from(start[1]) << 16 | usize::from(start[2]) << 8 | usize::from(start[3]);
        if length < HEADER_LEN || length % 4 != 0 {
            return Err(StreamError::Length(length));
        }
        if length > self.max_message {
            return Err(StreamError::TooLong { length, max: self.max_message });
        }
        if from.len() < length {
            from.reserve(length - from.len());
            return Ok(None);
        }
        let mut body = from.split_to(length).freeze();
        body.advance(4);
        let flags_and_code = body.get_u32();
        let (flags, reserved) = Flags::read((flags_and_code >> 24) as u8);
        let header = Header {
            flags,
            code: flags_and_code & 0x00ff_ffff,
            application: body.get_u32(),
            hop_by_hop: body.get_u32(),
            end_to_end: body.get_u32(),
        };
        let header_only = Message { header, avps: Vec::new() };
        if reserved {
            let fault = Fault::new(result::INVALID_BIT_IN_HEADER, "a reserved command flag is set");
            return Ok(Some(Frame::Invalid(header_only, fault)));
        }
        if flags.request && flags.error || !flags.request && flags.retransmitted {
            let fault = Fault::new(result::INVALID_HDR_BITS, "command flags that exclude each other are set");
            return Ok(Some(Frame::Invalid(header_only, fault)));
        }
        Ok(Some(match Message::parse(header, body) {
            Ok(message) => Frame::Valid(message),
            Err(fault) => Frame::Invalid(header_only, fault),
        }))
    }
}

impl Encoder<Message> for Codec {
    type Error = StreamError;

    fn encode(&mut self, message: Message, to: &mut BytesMut) -> Result<(), StreamError> {
        let length = message.encoded_len();
        if length > self.max_message {
            return Err(StreamError::TooLong { length, max: self.max_message });
        }
        message.write(to);
        Ok(())
    }
}
