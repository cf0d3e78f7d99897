//! Attribute-value pairs (RFC 6733, section 4).

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::dict;
use crate::fault::{result, Fault};

/// Maximum nesting depth of Grouped AVPs; deeper ones are rejected, so that a peer cannot exhaust the stack.
pub const MAX_GROUP_DEPTH: usize = 8;

/// The V bit of the AVP flags: a Vendor-ID follows.
const FLAG_VENDOR: u8 = 0x80;
/// The M bit of the AVP flags.
const FLAG_MANDATORY: u8 = 0x40;
/// The P bit of the AVP flags.
const FLAG_PROTECTED: u8 = 0x20;

/// One AVP. A decoded AVP's data is a slice of the message's buffer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Avp {
    /// AVP Code.
    pub code: u32,
    /// Vendor-ID; 0 if the V bit is not set.
    pub vendor: u32,
    /// The M bit: a receiver that does not support the AVP rejects the message.
    pub mandatory: bool,
    /// The P bit, kept as received.
    pub protected: bool,
    /// The data, without padding.
    pub data: Bytes,
}

impl Avp {
    /// Creates an AVP without Vendor-ID; the M bit is set according to the dictionary.
    pub fn new(code: u32, data: impl Into<Bytes>) -> Self {
        let mandatory = dict::find(0, code).is_some_and(|def| def.mandatory);
        Self { code, vendor: 0, mandatory, protected: false, data: data.into() }
    }

    /// Creates a vendor-specific AVP without the M bit.
    pub fn vendor_specific(vendor: u32, code: u32, data: impl Into<Bytes>) -> Self {
        Self { code, vendor, mandatory: false, protected: false, data: data.into() }
    }

    /// Creates an AVP of type UTF8String, DiameterIdentity or DiameterURI.
    pub fn text(code: u32, text: &str) -> Self {
        Self::new(code, Bytes::copy_from_slice(text.as_bytes()))
    }

    /// Creates an AVP of type Unsigned32 or Enumerated.
    pub fn u32(code: u32, value: u32) -> Self {
        Self::new(code, Bytes::copy_from_slice(&value.to_be_bytes()))
    }

    /// Creates an AVP of type Unsigned64.
    pub fn u64(code: u32, value: u64) -> Self {
        Self::new(code, Bytes::copy_from_slice(&value.to_be_bytes()))
    }

    /// Creates an AVP of type Grouped.
    pub fn group(code: u32, avps: &[Avp]) -> Self {
        let mut data = BytesMut::new();
        avps.iter().for_each(|avp| avp.write(&mut data));
        Self::new(code, data.freeze())
    }

    /// Creates an AVP of type Address (section 4.3.1): address family 1 for IPv4, 2 for IPv6.
    pub fn address(code: u32, address: std::net::IpAddr) -> Self {
        let mut data = BytesMut::new();
        match address {
            std::net::IpAddr::V4(v4) => {
                data.put_u16(1);
                data.put_slice(&v4.octets());
            }
            std::net::IpAddr::V6(v6) => {
                data.put_u16(2);
                data.put_slice(&v6.octets());
            }
        }
        Self::new(code, data.freeze())
    }

    /// The data as UTF-8 text.
    pub fn as_text(&self) -> Option<&str> {
        std::str::from_utf8(&self.data).ok()
    }

    /// The data as Unsigned32.
    pub fn as_u32(&self) -> Option<u32> {
        self.data.as_ref().try_into().ok().map(u32::from_be_bytes)
    }

    /// The data as Unsigned64.
    pub fn as_u64(&self) -> Option<u64> {
        self.data.as_ref().try_into().ok().map(u64::from_be_bytes)
    }

    /// The AVPs inside a Grouped AVP.
    ///
    /// # Errors
    /// 5014 if an AVP's length does not fit into the group.
    pub fn as_group(&self) -> Result<Vec<Avp>, Fault> {
        parse_all(self.data.clone())
    }

    /// Number of bytes that [`Avp::write`] appends.
    pub fn encoded_len(&self) -> usize {
        padded(self.header_len() + self.data.len())
    }

    fn header_len(&self) -> usize {
        if self.vendor == 0 {
            8
        } else {
            12
        }
    }

    /// Appends the encoded AVP with its padding.
    pub fn write(&self, to: &mut BytesMut) {
        let length = self.header_len() + self.data.len();
        let mut flags = 0;
        flags |= if self.vendor == 0 { 0 } else { FLAG_VENDOR };
        flags |= if self.mandatory { FLAG_MANDATORY } else { 0 };
        flags |= if self.protected { FLAG_PROTECTED } else { 0 };
        to.put_u32(self.code);
        to.put_u32(u32::from(flags) << 24 | (length as u32 & 0x00ff_ffff));
        if self.vendor != 0 {
            to.put_u32(self.vendor);
        }
        to.put_slice(&self.data);
        to.put_bytes(0, padded(length) - length);
    }
}

fn padded(length: usize) -> usize {
    length.div_ceil(4) * 4
}

/// Initial capacity of a message's AVP list; enough for most messages.
pub(crate) const TYPICAL_AVP_COUNT: usize = 16;

/// Decodes all AVPs of a message or of a Grouped AVP's data. The padding of the last AVP may be missing.
///
/// # Errors
/// 5014 with a Failed-AVP of the AVP whose length does not fit; its data is left empty.
pub(crate) fn parse_all(mut body: Bytes) -> Result<Vec<Avp>, Fault> {
    let mut avps = Vec::with_capacity(if body.len() > 128 { TYPICAL_AVP_COUNT } else { 0 });
    while !body.is_empty() {
        avps.push(parse(&mut body)?);
    }
    Ok(avps)
}

fn parse(body: &mut Bytes) -> Result<Avp, Fault> {
    let length_fault = |text: &str, avp: Avp| Fault::new(result::INVALID_AVP_LENGTH, text).with(avp);
    if body.len() < 8 {
        let text = format!("{} bytes are left, less than an AVP's header", body.len());
        return Err(length_fault(&text, Avp { mandatory: false, ..Avp::new(0, Bytes::new()) }));
    }
    let code = body.get_u32();
    let flags_and_length = body.get_u32();
    let (flags, length) = ((flags_and_length >> 24) as u8, (flags_and_length & 0x00ff_ffff) as usize);
    let mut avp = Avp {
        code,
        vendor: 0,
        mandatory: flags & FLAG_MANDATORY != 0,
        protected: flags & FLAG_PROTECTED != 0,
        data: Bytes::new(),
    };
    let header = if flags & FLAG_VENDOR != 0 { 12 } else { 8 };
    if flags & FLAG_VENDOR != 0 {
        if body.len() < 4 {
            return Err(length_fault(&format!("AVP {code}: its vendor is missing"), avp));
        }
        avp.vendor = body.get_u32();
    }
    if length < header {
        return Err(length_fault(&format!("AVP {code}: length {length} is less than its header"), avp));
    }
    let size = length - header;
    if size > body.len() {
        let text = format!("AVP {code}: {size} bytes of data announced, {} there", body.len());
        return Err(length_fault(&text, avp));
    }
    avp.data = body.split_to(size);
    let padding = padded(length) - length;
    body.advance(padding.min(body.len()));
    Ok(avp)
}
