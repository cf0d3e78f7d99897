//! Adapter that runs decision modules on the simulator's wire protocol: it reads frames from standard input
//! and writes one reply per frame to standard output.
//!
//! It only translates; all decisions are made by the library.

#![forbid(unsafe_code)]

mod host;
mod wire;

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn run() -> Result<(), wire::WireError> {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 20, io::stdout().lock());
    let mut host = host::Host::default();
    let mut frame = Vec::new();
    let mut reply = Vec::new();
    let mut index = 0u64;
    while let Some(header) = wire::read_frame(&mut input, &mut frame, index)? {
        reply.clear();
        let count = host.batch(&header, &frame, index, &mut reply)?;
        let length = u32::try_from(reply.len()).unwrap_or(u32::MAX);
        let sent = output
            .write_all(&count.to_le_bytes())
            .and_then(|()| output.write_all(&length.to_le_bytes()))
            .and_then(|()| output.write_all(&reply))
            .and_then(|()| output.flush());
        sent.map_err(|e| wire::WireError::new(index, 0, format!("cannot write the reply: {e}")))?;
        index += 1;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("baydrift-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
