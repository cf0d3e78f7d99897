//! Messages: header and AVPs (RFC 6733, section 3).

use bytes::{BufMut, Bytes, BytesMut};

use crate::avp::{parse_all, Avp, TYPICAL_AVP_COUNT};
use crate::dict;
use crate::fault::{result, Fault};

/// Command codes.
pub mod code {
    /// Capabilities-Exchange.
    pub const CAPABILITIES: u32 = 257;
    /// Credit-Control (RFC 8506).
    pub const CREDIT_CONTROL: u32 = 272;
    /// Abort-Session.
    pub const ABORT_SESSION: u32 = 274;
    /// Device-Watchdog.
    pub const WATCHDOG: u32 = 280;
    /// Disconnect-Peer.
    pub const DISCONNECT: u32 = 282;
}

/// Command flags.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Flags {
    /// R: a request.
    pub request: bool,
    /// P: may be proxied.
    pub proxiable: bool,
    /// E: a protocol error.
    pub error: bool,
    /// T: perhaps sent before, by a connection that was lost.
    pub retransmitted: bool,
}

impl Flags {
    pub(crate) fn byte(self) -> u8 {
        u8::from(self.request) << 7
            | u8::from(self.proxiable) << 6
            | u8::from(self.error) << 5
            | u8::from(self.retransmitted) << 4
    }

    /// The flags, and whether a reserved bit is set.
    pub(crate) fn read(byte: u8) -> (Self, bool) {
        let bit = |n: u8| byte >> n & 1 == 1;
        let flags = Self { request: bit(7), proxiable: bit(6), error: bit(5), retransmitted: bit(4) };
        (flags, byte & 0x0f != 0)
    }
}

/// A message's header without its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Header {
    /// Command flags.
    pub flags: Flags,
    /// Command code.
    pub code: u32,
    /// Application-ID.
    pub application: u32,
    /// Changed on each hop; matches answers to requests there.
    pub hop_by_hop: u32,
    /// Kept from end to end; with Origin-Host it names a request.
    pub end_to_end: u32,
}

/// Bytes of a header.
pub(crate) const HEADER_LEN: usize = 20;

/// A message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Its header.
    pub header: Header,
    /// Its AVPs, in their order.
    pub avps: Vec<Avp>,
}

impl Message {
    /// A request without AVPs.
    pub fn request(code: u32, application: u32) -> Self {
        let proxiable = application != 0;
        let flags = Flags { request: true, proxiable, ..Flags::default() };
        Self {
            header: Header { flags, code, application, ..Header::default() },
            avps: Vec::with_capacity(TYPICAL_AVP_COUNT),
        }
    }

    /// An answer to a request: the same ids, the E bit by the result, Session-Id first, then Result-Code;
    /// Proxy-Info comes back in its order (section 6.2).
    pub fn answer(request: &Message, result_code: u32) -> Self {
        let flags = Flags {
            request: false,
            error: result::is_protocol_error(result_code),
            retransmitted: false,
            ..request.header.flags
        };
        let mut answer =
            Self { header: Header { flags, ..request.header }, avps: Vec::with_capacity(TYPICAL_AVP_COUNT) };
        answer.avps.extend(request.find(dict::SESSION_ID).cloned());
        answer.push(Avp::u32(dict::RESULT_CODE, result_code));
        answer.avps.extend(request.all(dict::PROXY_INFO).cloned());
        answer
    }

    /// The answer that a fault asks for, with Error-Message and Failed-AVP.
    pub fn error_answer(request: &Message, fault: &Fault, host: &str, realm: &str) -> Self {
        let mut answer = Self::answer(request, fault.code);
        answer.push(Avp::text(dict::ORIGIN_HOST, host));
        answer.push(Avp::text(dict::ORIGIN_REALM, realm));
        answer.push(Avp::text(dict::ERROR_MESSAGE, &fault.text));
        if let Some(failed) = &fault.failed {
            answer.push(Avp::group(dict::FAILED_AVP, std::slice::from_ref(failed)));
        }
        answer
    }

    /// Appends an AVP.
    pub fn push(&mut self, avp: Avp) {
        self.avps.push(avp);
    }

    /// The same with one more AVP.
    pub fn with(mut self, avp: Avp) -> Self {
        self.push(avp);
        self
    }

    /// The first AVP of a base code.
    pub fn find(&self, code: u32) -> Option<&Avp> {
        self.all(code).next()
    }

    /// All AVPs of a base code.
    pub fn all(&self, code: u32) -> impl Iterator<Item = &Avp> {
        self.avps.iter().filter(move |avp| avp.code == code && avp.vendor == 0)
    }

    /// The text of the first AVP of a base code.
    pub fn text(&self, code: u32) -> Option<&str> {
        self.find(code)?.as_text()
    }

    /// The number in the first AVP of a base code.
    pub fn number(&self, code: u32) -> Option<u32> {
        self.find(code)?.as_u32()
    }

    /// The Result-Code; 0 where there is none.
    pub fn result(&self) -> u32 {
        self.number(dict::RESULT_CODE).unwrap_or(0)
    }

    pub(crate) fn parse(header: Header, body: Bytes) -> Result<Self, Fault> {
        Ok(Self { header, avps: parse_all(body)? })
    }

    /// Bytes that [`Message::write`] appends.
    pub fn encoded_len(&self) -> usize {
        HEADER_LEN + self.avps.iter().map(Avp::encoded_len).sum::<usize>()
    }

    /// Appends the message.
    pub fn write(&self, to: &mut BytesMut) {
        let length = self.encoded_len();
        to.reserve(length);
        to.put_u32(1 << 24 | (length as u32 & 0x00ff_ffff));
        to.put_u32(u32::from(self.header.flags.byte()) << 24 | (self.header.code & 0x00ff_ffff));
        to.put_u32(self.header.application);
        to.put_u32(self.header.hop_by_hop);
        to.put_u32(self.header.end_to_end);
        self.avps.iter().for_each(|avp| avp.write(to));
    }
}
