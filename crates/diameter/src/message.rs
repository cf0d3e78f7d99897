//! Diameter messages: header and AVPs (RFC 6733, section 3).

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
    /// P: may be proxied, relayed or redirected.
    pub proxiable: bool,
    /// E: a protocol error.
    pub error: bool,
    /// T: potentially retransmitted after a link failover.
    pub retransmitted: bool,
}

impl Flags {
    pub(crate) fn byte(self) -> u8 {
        u8::from(self.request) << 7
            | u8::from(self.proxiable) << 6
            | u8::from(self.error) << 5
            | u8::from(self.retransmitted) << 4
    }

    /// Returns the flags, and whether a reserved bit is set.
    pub(crate) fn read(byte: u8) -> (Self, bool) {
        let bit = |n: u8| byte >> n & 1 == 1;
        let flags = Self { request: bit(7), proxiable: bit(6), error: bit(5), retransmitted: bit(4) };
        (flags, byte & 0x0f != 0)
    }
}

/// Message header without version and length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Header {
    /// Command flags.
    pub flags: Flags,
    /// Command code.
    pub code: u32,
    /// Application-ID.
    pub application: u32,
    /// Hop-by-Hop Identifier: matches answers to requests on one connection.
    pub hop_by_hop: u32,
    /// End-to-End Identifier: unchanged by agents; identifies a request together with Origin-Host.
    pub end_to_end: u32,
}

/// Length of a message header in bytes.
pub(crate) const HEADER_LEN: usize = 20;

/// A Diameter message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Message header.
    pub header: Header,
    /// AVPs in the order of the message.
    pub avps: Vec<Avp>,
}

impl Message {
    /// Creates a request without AVPs; proxiable unless it belongs to the base protocol (application 0).
    pub fn request(code: u32, application: u32) -> Self {
        let proxiable = application != 0;
        let flags = Flags { request: true, proxiable, ..Flags::default() };
        Self {
            header: Header { flags, code, application, ..Header::default() },
            avps: Vec::with_capacity(TYPICAL_AVP_COUNT),
        }
    }

    /// Creates an answer to a request: the same identifiers, the E bit according to the Result-Code,
    /// Session-Id first, then Result-Code, then the request's Proxy-Info AVPs in their order (section 6.2).
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

    /// Creates the answer to a request with this fault, including Error-Message and Failed-AVP.
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

    /// Returns the message with one more AVP.
    pub fn with(mut self, avp: Avp) -> Self {
        self.push(avp);
        self
    }

    /// First AVP with this code and no vendor.
    pub fn find(&self, code: u32) -> Option<&Avp> {
        self.all(code).next()
    }

    /// All AVPs with this code and no vendor.
    pub fn all(&self, code: u32) -> impl Iterator<Item = &Avp> {
        self.avps.iter().filter(move |avp| avp.code == code && avp.vendor == 0)
    }

    /// First AVP with this code and no vendor, as text.
    pub fn text(&self, code: u32) -> Option<&str> {
        self.find(code)?.as_text()
    }

    /// First AVP with this code and no vendor, as Unsigned32.
    pub fn number(&self, code: u32) -> Option<u32> {
        self.find(code)?.as_u32()
    }

    /// Result-Code; 0 if there is none.
    pub fn result(&self) -> u32 {
        self.number(dict::RESULT_CODE).unwrap_or(0)
    }

    pub(crate) fn parse(header: Header, body: Bytes) -> Result<Self, Fault> {
        Ok(Self { header, avps: parse_all(body)? })
    }

    /// Number of bytes that [`Message::write`] appends.
    pub fn encoded_len(&self) -> usize {
        HEADER_LEN + self.avps.iter().map(Avp::encoded_len).sum::<usize>()
    }

    /// Appends the encoded message.
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
