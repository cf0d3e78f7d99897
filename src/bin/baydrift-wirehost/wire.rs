//! Frames and fields: little-endian, unpadded.

use std::fmt;
use std::io::{self, Read};

/// What was wrong with the input, and where.
#[derive(Debug)]
pub struct WireError {
    frame: u64,
    offset: usize,
    what: String,
}

impl WireError {
    /// An error at a byte of a frame.
    pub fn new(frame: u64, offset: usize, what: String) -> Self {
        Self { frame, offset, what }
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "frame {}, byte {}: {}", self.frame, self.offset, self.what)
    }
}

/// The head of a batch.
pub struct Header {
    /// Clock, in seconds.
    pub clock: f64,
    /// How many records follow.
    pub records: u32,
}

/// Reads one frame; `None` when input ends at a frame's edge.
pub fn read_frame(
    input: &mut impl Read,
    body: &mut Vec<u8>,
    frame: u64,
) -> Result<Option<Header>, WireError> {
    let mut head = [0u8; 16];
    let mut got = 0;
    while got < head.len() {
        match input.read(&mut head[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err(WireError::new(frame, got, "input ends inside the header".into())),
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(WireError::new(frame, got, format!("cannot read: {e}"))),
        }
    }
    let mut fields = Fields::new(&head, frame);
    let clock = fields.f64("clock")?;
    // The length counts the bytes after its own field, so the record count too.
    let length = fields.u32("length")? as usize;
    let Some(length) = length.checked_sub(4) else {
        return Err(WireError::new(frame, 8, format!("length {length} leaves no room for the record count")));
    };
    let records = fields.u32("record count")?;
    if !clock.is_finite() || clock < 0.0 {
        return Err(WireError::new(frame, 0, format!("the clock reads {clock}")));
    }
    body.clear();
    // Grows with what arrives, so that a wrong length cannot claim memory up front.
    let got = input.by_ref().take(length as u64).read_to_end(body);
    match got {
        Ok(n) if n == length => Ok(Some(Header { clock, records })),
        Ok(n) => Err(WireError::new(frame, 16 + n, format!("input ends after {n} of {length} bytes"))),
        Err(e) => Err(WireError::new(frame, 16, format!("cannot read: {e}"))),
    }
}

/// Takes fields off a byte slice in order.
pub struct Fields<'a> {
    bytes: &'a [u8],
    at: usize,
    frame: u64,
}

macro_rules! number {
    ($name:ident, $type:ty) => {
        #[doc = "The next field, named for the error message."]
        pub fn $name(&mut self, what: &str) -> Result<$type, WireError> {
            let raw = self.take(std::mem::size_of::<$type>(), what)?;
            let mut bytes = [0; std::mem::size_of::<$type>()];
            bytes.copy_from_slice(raw);
            Ok(<$type>::from_le_bytes(bytes))
        }
    };
}

impl<'a> Fields<'a> {
    /// Fields of a frame's bytes.
    pub fn new(bytes: &'a [u8], frame: u64) -> Self {
        Self { bytes, at: 0, frame }
    }

    /// Whether all is read.
    pub fn done(&self) -> bool {
        self.at == self.bytes.len()
    }

    /// An error at this place.
    pub fn error(&self, what: String) -> WireError {
        WireError::new(self.frame, self.at, what)
    }

    /// The next `n` bytes.
    pub fn take(&mut self, n: usize, what: &str) -> Result<&'a [u8], WireError> {
        let end = self.at.checked_add(n).filter(|end| *end <= self.bytes.len());
        let Some(end) = end else {
            return Err(self.error(format!("the frame ends inside '{what}'")));
        };
        let raw = &self.bytes[self.at..end];
        self.at = end;
        Ok(raw)
    }

    number!(u8, u8);
    number!(u16, u16);
    number!(u32, u32);
    number!(u64, u64);
    number!(f32, f32);
    number!(f64, f64);

    /// A server's address and port, as one opaque number.
    pub fn server(&mut self, what: &str) -> Result<u64, WireError> {
        let raw = self.take(6, what)?;
        Ok(raw.iter().fold(0, |id, byte| (id << 8) | u64::from(*byte)))
    }
}

/// Appends a server as it was read.
pub fn put_server(out: &mut Vec<u8>, server: u64) {
    out.extend_from_slice(&server.to_be_bytes()[2..]);
}
