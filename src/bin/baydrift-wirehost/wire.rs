//! Decoding of frames and their fields, which are little-endian and unpadded.

use std::fmt;
use std::io::{self, Read};

/// A malformed input, with the frame and the byte offset of the fault.
#[derive(Debug)]
pub struct WireError {
    frame: u64,
    offset: usize,
    what: String,
}

impl WireError {
    /// Creates an error at a byte offset of a frame.
    pub fn new(frame: u64, offset: usize, what: String) -> Self {
        Self { frame, offset, what }
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "frame {}, byte {}: {}", self.frame, self.offset, self.what)
    }
}

/// The header of a frame, which carries one batch of records.
pub struct Header {
    /// The simulator's clock, in seconds.
    pub clock: f64,
    /// Number of records that follow.
    pub records: u32,
}

/// Reads one frame into `body`; `None` if the input ends between two frames.
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
    // The length counts the bytes after its own field, and so includes the record count.
    let length = fields.u32("length")? as usize;
    let Some(length) = length.checked_sub(4) else {
        return Err(WireError::new(frame, 8, format!("length {length} leaves no room for the record count")));
    };
    let records = fields.u32("record count")?;
    if !clock.is_finite() || clock < 0.0 {
        return Err(WireError::new(frame, 0, format!("clock {clock} is not a finite time of at least 0 s")));
    }
    body.clear();
    // The buffer grows with the received bytes, so that a wrong length cannot allocate memory in advance.
    let got = input.by_ref().take(length as u64).read_to_end(body);
    match got {
        Ok(n) if n == length => Ok(Some(Header { clock, records })),
        Ok(n) => Err(WireError::new(frame, 16 + n, format!("input ends after {n} of {length} bytes"))),
        Err(e) => Err(WireError::new(frame, 16, format!("cannot read: {e}"))),
    }
}

/// Reads fields from a byte slice in order.
pub struct Fields<'a> {
    bytes: &'a [u8],
    offset: usize,
    frame: u64,
}

macro_rules! number {
    ($name:ident, $type:ty) => {
        #[doc = "Reads the next field; `what` names it in an error."]
        pub fn $name(&mut self, what: &str) -> Result<$type, WireError> {
            let raw = self.take(std::mem::size_of::<$type>(), what)?;
            let mut bytes = [0; std::mem::size_of::<$type>()];
            bytes.copy_from_slice(raw);
            Ok(<$type>::from_le_bytes(bytes))
        }
    };
}

impl<'a> Fields<'a> {
    /// Creates a reader of a frame's body.
    pub fn new(bytes: &'a [u8], frame: u64) -> Self {
        Self { bytes, offset: 0, frame }
    }

    /// Whether all bytes have been read.
    pub fn done(&self) -> bool {
        self.offset == self.bytes.len()
    }

    /// Creates an error at the current offset.
    pub fn error(&self, what: String) -> WireError {
        WireError::new(self.frame, self.offset, what)
    }

    /// Reads the next `n` bytes; `what` names them in an error.
    pub fn take(&mut self, n: usize, what: &str) -> Result<&'a [u8], WireError> {
        let end = self.offset.checked_add(n).filter(|end| *end <= self.bytes.len());
        let Some(end) = end else {
            return Err(self.error(format!("the frame ends inside '{what}'")));
        };
        let raw = &self.bytes[self.offset..end];
        self.offset = end;
        Ok(raw)
    }

    number!(u8, u8);
    number!(u16, u16);
    number!(u32, u32);
    number!(u64, u64);
    number!(f32, f32);
    number!(f64, f64);

    /// Reads a server's address and port as one opaque number.
    pub fn server(&mut self, what: &str) -> Result<u64, WireError> {
        let raw = self.take(6, what)?;
        Ok(raw.iter().fold(0, |id, byte| (id << 8) | u64::from(*byte)))
    }
}

/// Appends a server in the encoding that [`Fields::server`] reads.
pub fn put_server(out: &mut Vec<u8>, server: u64) {
    out.extend_from_slice(&server.to_be_bytes()[2..]);
}
