//! What fronts write to each other of who lives: foca's messages by postcard, each checked before it counts.

use bytes::{Buf, BufMut};
use foca::{Codec, Header, Identity, PostcardCodec};
use serde::{Deserialize, Serialize};

/// Bytes of a datagram at most; one for the kind of message is the carrier's.
pub const DATAGRAM_MAX: usize = 255;
/// An incarnation so far ahead of this process's own is noise: ten days of the tenths of a second that they count.
const AHEAD_MAX: u32 = 10 * 24 * 3_600 * 10;
/// A process that finds itself outbid, since its clock was set back, takes a number so much higher: a minute.
const RENEWED: u32 = 600;

/// One process of a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Which front.
    pub ordinal: u32,
    /// Higher with each start, as far as its clock allows; a process that meets a higher one of its own outbids it.
    pub incarnation: u32,
}

impl Identity for Member {
    type Addr = u32;

    fn renew(&self) -> Option<Self> {
        let incarnation = self.incarnation.checked_add(RENEWED)?;
        Some(Self { incarnation, ..*self })
    }

    fn addr(&self) -> u32 {
        self.ordinal
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}

/// Why a datagram changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// It cannot be read, or is longer than any.
    #[error("it cannot be read")]
    Unreadable,
    /// It names a front that the fleet does not have.
    #[error("it names front {0}, which the fleet does not have")]
    Stranger(u32),
    /// It names an incarnation that no process can have.
    #[error("it names incarnation {0}, out of reach")]
    Ahead(u32),
    /// It does not say what its sender's address says.
    #[error("it says it comes from front {0}")]
    Sender(u32),
}

/// foca's codec, behind checks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wire {
    fronts: u32,
    /// Incarnations beyond it are noise.
    most: u32,
}

impl Wire {
    pub(crate) fn new(fronts: u32, own: u32) -> Self {
        Self { fronts, most: own.saturating_add(AHEAD_MAX) }
    }

    fn check(&self, member: &Member) -> Result<(), Fault> {
        if member.ordinal >= self.fronts {
            return Err(Fault::Stranger(member.ordinal));
        }
        if member.incarnation > self.most {
            return Err(Fault::Ahead(member.incarnation));
        }
        Ok(())
    }
}

impl Codec<Member> for Wire {
    type Error = Fault;

    fn encode_header(&mut self, header: &Header<Member>, buf: impl BufMut) -> Result<(), Fault> {
        PostcardCodec.encode_header(header, buf).map_err(|_| Fault::Unreadable)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Member>, Fault> {
        let header: Header<Member> = PostcardCodec.decode_header(buf).map_err(|_| Fault::Unreadable)?;
        self.check(&header.src)?;
        self.check(&header.dst)?;
        Ok(header)
    }

    fn encode_member(&mut self, member: &foca::Member<Member>, buf: impl BufMut) -> Result<(), Fault> {
        PostcardCodec.encode_member(member, buf).map_err(|_| Fault::Unreadable)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<foca::Member<Member>, Fault> {
        let member: foca::Member<Member> = PostcardCodec.decode_member(buf).map_err(|_| Fault::Unreadable)?;
        self.check(member.id())?;
        Ok(member)
    }
}
