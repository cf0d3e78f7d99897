//! Wire format of membership datagrams: foca's messages encoded by postcard, with members validated on
//! decoding.

use bytes::{Buf, BufMut};
use foca::{Codec, Header, Identity, PostcardCodec};
use serde::{Deserialize, Serialize};

/// Maximum length of a datagram. The transport prepends one byte for the type of message.
pub const MAX_DATAGRAM_BYTES: usize = 255;
/// Maximum lead of a plausible incarnation over this process's own: ten days, in tenths of a second.
const MAX_INCARNATION_LEAD: u32 = 10 * 24 * 3_600 * 10;
/// Increment, in tenths of a second, by which a process renews its incarnation after it has met a higher one
/// of its own front, which happens when its clock was set back: one minute.
const RENEWAL_INCREMENT: u32 = 600;

/// One process of a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Ordinal of the front in its fleet.
    pub ordinal: u32,
    /// Start time of the process in tenths of a second, so that it increases with each start unless the clock
    /// was set back. A process that meets a higher incarnation of its own front renews its own to exceed it.
    pub incarnation: u32,
}

impl Identity for Member {
    type Addr = u32;

    fn renew(&self) -> Option<Self> {
        let incarnation = self.incarnation.checked_add(RENEWAL_INCREMENT)?;
        Some(Self { incarnation, ..*self })
    }

    fn addr(&self) -> u32 {
        self.ordinal
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}

/// Why a datagram was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is malformed or too long.
    #[error("malformed membership datagram")]
    Malformed,
    /// It names an ordinal that the fleet does not have.
    #[error("unknown front {0}: the fleet has no such ordinal")]
    UnknownOrdinal(u32),
    /// It names an incarnation too far ahead of this process's own.
    #[error("implausible incarnation {0}: too far ahead of this process")]
    IncarnationTooHigh(u32),
    /// The front named as its sender is not the one at its source address.
    #[error("sender mismatch: the datagram names front {0}")]
    SenderMismatch(u32),
}

/// foca's postcard codec with validation of members.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ValidatingCodec {
    fronts: u32,
    max_incarnation: u32,
}

impl ValidatingCodec {
    pub(crate) fn new(fronts: u32, own_incarnation: u32) -> Self {
        Self { fronts, max_incarnation: own_incarnation.saturating_add(MAX_INCARNATION_LEAD) }
    }

    fn check(&self, member: &Member) -> Result<(), DatagramError> {
        if member.ordinal >= self.fronts {
            return Err(DatagramError::UnknownOrdinal(member.ordinal));
        }
        if member.incarnation > self.max_incarnation {
            return Err(DatagramError::IncarnationTooHigh(member.incarnation));
        }
        Ok(())
    }
}

impl Codec<Member> for ValidatingCodec {
    type Error = DatagramError;

    fn encode_header(&mut self, header: &Header<Member>, buf: impl BufMut) -> Result<(), DatagramError> {
        PostcardCodec.encode_header(header, buf).map_err(|_| DatagramError::Malformed)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Member>, DatagramError> {
        let header: Header<Member> =
            PostcardCodec.decode_header(buf).map_err(|_| DatagramError::Malformed)?;
        self.check(&header.src)?;
        self.check(&header.dst)?;
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<Member>,
        buf: impl BufMut,
    ) -> Result<(), DatagramError> {
        PostcardCodec.encode_member(member, buf).map_err(|_| DatagramError::Malformed)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<foca::Member<Member>, DatagramError> {
        let member: foca::Member<Member> =
            PostcardCodec.decode_member(buf).map_err(|_| DatagramError::Malformed)?;
        self.check(member.id())?;
        Ok(member)
    }
}
