//! M3UA packets (RFC 4666, clause 3): the common header, and DATA with its Protocol Data parameter. Unlike
//! SCTP, TCP has no message boundaries, so packets are framed by the length in the common header.

use bytes::{Buf, BufMut, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use crate::error::Error;
use crate::message::MESSAGE_MAX;

/// Maximum packet length in octets: an ISUP message, the M3UA headers, and room for parameters that are
/// ignored.
pub const PACKET_MAX: usize = 1_024;
/// Length of the common header in octets.
const HEADER_LEN: usize = 8;
/// Message class Transfer, type DATA (3.1.2).
const DATA: (u8, u8) = (1, 1);
/// Message class ASP State Maintenance, type ASP Up (3.5.1).
const ASP_UP: (u8, u8) = (3, 1);
/// Message class ASP State Maintenance, type ASP Up Acknowledgement (3.5.2).
const ASP_UP_ACK: (u8, u8) = (3, 4);
/// Parameter tag of Protocol Data (3.3.1).
const PROTOCOL_DATA: u16 = 0x0210;
/// Service indicator of ISUP (Q.704, 14.2.1).
const ISUP: u8 = 5;
/// Length in octets of OPC, DPC, SI, NI, MP and SLS, which precede the user protocol data.
const ROUTING_LABEL_LEN: usize = 12;

/// Protocol Data: routing label and encoded ISUP message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Data {
    /// Originating point code.
    pub opc: u32,
    /// Destination point code.
    pub dpc: u32,
    /// Signalling link selection: the low bits of the circuit identification code, so that messages of a
    /// circuit stay in order.
    pub sls: u8,
    /// Encoded ISUP message.
    pub message: Vec<u8>,
}

/// One M3UA packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Packet {
    /// DATA for ISUP.
    Data(Data),
    /// ASP Up: the sender is ready for traffic.
    AspUp,
    /// ASP Up Acknowledgement: the receiver of ASP Up is ready too, and traffic may start.
    AspUpAck,
    /// Another message class and type, such as management; not decoded. Also DATA for a user other than ISUP.
    Other(u8, u8),
}

impl Data {
    /// Appends an encoded DATA packet.
    ///
    /// # Errors
    /// The ISUP message is too long.
    pub fn write(&self, to: &mut BytesMut) -> Result<(), Error> {
        if self.message.len() > MESSAGE_MAX {
            return Err(Error::Long(self.message.len()));
        }
        let value = 4 + ROUTING_LABEL_LEN + self.message.len();
        let padding = value.next_multiple_of(4) - value;
        to.reserve(HEADER_LEN + value + padding);
        to.put_slice(&[1, 0, DATA.0, DATA.1]);
        to.put_u32((HEADER_LEN + value + padding) as u32);
        to.put_u16(PROTOCOL_DATA);
        to.put_u16(value as u16);
        to.put_u32(self.opc);
        to.put_u32(self.dpc);
        to.put_slice(&[ISUP, 2, 0, self.sls]);
        to.put_slice(&self.message);
        to.put_bytes(0, padding);
        Ok(())
    }
}

impl Packet {
    /// Appends the encoded packet; all types but DATA are written without parameters.
    ///
    /// # Errors
    /// The ISUP message is too long.
    pub fn write(&self, to: &mut BytesMut) -> Result<(), Error> {
        let (class, kind) = match self {
            Self::Data(data) => return data.write(to),
            Self::AspUp => ASP_UP,
            Self::AspUpAck => ASP_UP_ACK,
            Self::Other(class, kind) => (*class, *kind),
        };
        to.put_slice(&[1, 0, class, kind]);
        to.put_u32(HEADER_LEN as u32);
        Ok(())
    }

    fn read(octets: &[u8]) -> Result<Self, Error> {
        let (class, kind) = (octets[2], octets[3]);
        match (class, kind) {
            DATA => {}
            ASP_UP => return Ok(Self::AspUp),
            ASP_UP_ACK => return Ok(Self::AspUpAck),
            _ => return Ok(Self::Other(class, kind)),
        }
        let mut rest = &octets[HEADER_LEN..];
        while rest.len() >= 4 {
            let tag = u16::from_be_bytes([rest[0], rest[1]]);
            let length = usize::from(u16::from_be_bytes([rest[2], rest[3]]));
            if length < 4 || length > rest.len() {
                return Err(Error::Packet(length));
            }
            if tag == PROTOCOL_DATA {
                let mut value = &rest[4..length];
                if value.len() < ROUTING_LABEL_LEN {
                    return Err(Error::Packet(length));
                }
                let (opc, dpc) = (value.get_u32(), value.get_u32());
                let (service, sls) = (value[0], value[3]);
                if service != ISUP {
                    return Ok(Self::Other(class, kind));
                }
                return Ok(Self::Data(Data { opc, dpc, sls, message: value[4..].to_vec() }));
            }
            rest = &rest[length.next_multiple_of(4).min(rest.len())..];
        }
        Err(Error::Packet(octets.len()))
    }
}

/// Decoder and encoder of packets on a byte stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Codec;

/// Error after which a stream cannot be decoded any further.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// The transport failed.
    #[error("transport: {0}")]
    Io(#[from] std::io::Error),
    /// A packet is malformed, so the start of the next one is unknown.
    #[error(transparent)]
    Packet(#[from] Error),
}

impl Decoder for Codec {
    type Item = Packet;
    type Error = StreamError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<Packet>, StreamError> {
        if from.len() < HEADER_LEN {
            return Ok(None);
        }
        if from[0] != 1 {
            return Err(Error::Version(from[0]).into());
        }
        let length = u32::from_be_bytes([from[4], from[5], from[6], from[7]]) as usize;
        if !(HEADER_LEN..=PACKET_MAX).contains(&length) {
            return Err(Error::Packet(length).into());
        }
        if from.len() < length {
            from.reserve(length - from.len());
            return Ok(None);
        }
        let packet = from.split_to(length);
        Ok(Some(Packet::read(&packet)?))
    }
}

impl Encoder<Packet> for Codec {
    type Error = StreamError;

    fn encode(&mut self, packet: Packet, to: &mut BytesMut) -> Result<(), StreamError> {
        Ok(packet.write(to)?)
    }
}
