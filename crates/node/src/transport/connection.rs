//! One TCP connection: delivers whole messages, writes at once what the socket accepts, and closes without
//! destroying bytes written before.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

use baydrift_call::LinkId;
use baydrift_platform::{setup, Message, MessageDecoder};
use socket2::SockRef;
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::time::Instant;

use super::input::InputSender;
use crate::state::{ConnId, Input};

/// Identifies a connection, and builds the inputs that its reader sends to the core.
pub(super) trait ConnKey: Copy {
    /// A message was received.
    fn message(self, message: Message) -> Input;
    /// An incomplete message was received.
    fn partial(self) -> Input;
    /// The connection ended, or its data cannot be parsed.
    fn closed(self) -> Input;
    /// Whether a message is obsolete when its sender has closed the connection after it.
    fn is_obsolete(self, message: &Message) -> bool;
}

impl ConnKey for LinkId {
    fn message(self, message: Message) -> Input {
        Input::FromCaller(self, message)
    }

    fn partial(self) -> Input {
        Input::CallerPartial(self)
    }

    fn closed(self) -> Input {
        Input::CallerDown(self)
    }

    /// A disconnected caller's set-ups are obsolete; its releases and
    /// announcements of established calls are not.
    fn is_obsolete(self, message: &Message) -> bool {
        setup::is_offer(message)
    }
}

impl ConnKey for ConnId {
    fn message(self, message: Message) -> Input {
        Input::FromServer(self, message)
    }

    fn partial(self) -> Input {
        Input::ServerPartial(self)
    }

    fn closed(self) -> Input {
        Input::ServerDown(self)
    }

    fn is_obsolete(self, _message: &Message) -> bool {
        false
    }
}

/// Size of the read buffer in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Maximum number of bytes that wait for a slow reader; beyond it the connection is closed.
const UNSENT_MAX: usize = 256 * 1024;
/// Time after a local close for pending bytes to be sent and for the peer to close its end.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of bytes that are read and discarded meanwhile.
const DISCARD_MAX: usize = 1 << 20;
/// Interval at which a flush in progress is checked.
const FLUSH_POLL: Duration = Duration::from_millis(5);

thread_local! {
    /// Shared by all connections: no await lies between a read and the copy into a connection's own buffer.
    static BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// Why reading from a connection stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The peer closed it, or it broke.
    Remote,
    /// It was closed locally.
    Local,
}

/// A connection, as shared by the core and its reader.
pub(super) struct Connection {
    stream: TcpStream,
    /// Bytes that the socket has not accepted yet.
    unsent: RefCell<Vec<u8>>,
    /// A flush task is running.
    flushing: Cell<bool>,
    /// Nothing more is written: it was closed locally, or has ended.
    closed: Cell<bool>,
    /// Pending bytes are not written either: the socket accepts no more.
    broken: Cell<bool>,
    close_requested: Notify,
    /// Time of the last write.
    written_at: Cell<Option<Instant>>,
    /// Time within which pending bytes must be written.
    write_timeout: Duration,
    /// Its slot among the callers' descriptors, freed when the socket is closed.
    _slot: Option<OwnedSemaphorePermit>,
}

impl Connection {
    pub(super) fn new(
        stream: TcpStream,
        write_timeout: Duration,
        slot: Option<OwnedSemaphorePermit>,
    ) -> Rc<Self> {
        // Messages are small and each waits for a reply. A failure only adds latency.
        let _ = stream.set_nodelay(true);
        Rc::new(Self {
            stream,
            unsent: RefCell::default(),
            flushing: Cell::new(false),
            closed: Cell::new(false),
            broken: Cell::new(false),
            close_requested: Notify::new(),
            written_at: Cell::new(None),
            write_timeout,
            _slot: slot,
        })
    }

    /// Writes at once what the socket accepts, usually everything; a task flushes the rest.
    pub(super) fn write(self: &Rc<Self>, bytes: &[u8]) {
        if self.closed.get() {
            return;
        }
        self.written_at.set(Some(Instant::now()));
        let sent = if self.unsent.borrow().is_empty() { self.try_write(bytes).unwrap_or(0) } else { 0 };
        if sent == bytes.len() {
            return;
        }
        self.unsent.borrow_mut().extend_from_slice(&bytes[sent..]);
        if self.unsent.borrow().len() > UNSENT_MAX {
            self.broken.set(true);
            return self.close();
        }
        if !self.flushing.replace(true) {
            let conn = self.clone();
            tokio::task::spawn_local(async move { conn.flush().await });
        }
    }

    /// Returns the number of bytes written; an error ends the connection,
    /// which its reader notices and reports.
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.stream.try_write(bytes) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(0),
            done => done,
        }
    }

    async fn flush(self: Rc<Self>) {
        let all = async {
            while !self.is_flushed() {
                if self.stream.writable().await.is_err() {
                    return;
                }
                let mut unsent = self.unsent.borrow_mut();
                // Guards against a busy loop on a reset connection, which is always writable.
                let Ok(sent) = self.try_write(&unsent) else { return self.broken.set(true) };
                if sent == unsent.len() {
                    // Frees the buffer, which may have grown large.
                    *unsent = Vec::new();
                } else {
                    unsent.drain(..sent);
                }
            }
        };
        // Guards against a peer that never reads: the buffer is bounded in size and time.
        if tokio::time::timeout(self.write_timeout, all).await.is_err() {
            self.broken.set(true);
            self.close();
        }
        self.flushing.set(false);
    }

    /// Whether everything that can be written is written.
    fn is_flushed(&self) -> bool {
        self.broken.get() || self.unsent.borrow().is_empty()
    }

    /// Closes the connection; its reader drops the socket once pending bytes have had time to be sent.
    pub(super) fn close(&self) {
        self.closed.set(true);
        self.close_requested.notify_one();
    }

    /// Reads until the connection ends or is closed, reports that to the core, and drops the socket. A full
    /// queue to the core applies backpressure to the peer.
    pub(super) async fn read<K: ConnKey>(self: Rc<Self>, key: K, core: InputSender) {
        let end = self.read_all(key, &core).await;
        self.closed.set(true);
        let _ = core.send(key.closed()).await;
        if end == End::Local {
            self.close_gracefully().await;
        }
    }

    async fn read_all<K: ConnKey>(&self, key: K, core: &InputSender) -> End {
        let mut frames = MessageDecoder::default();
        while !self.closed.get() {
            let ready = tokio::select! {
                ready = self.stream.ready(Interest::READABLE) => ready,
                () = self.close_requested.notified() => return End::Local,
            };
            let Ok(ready) = ready else { return End::Remote };
            // Guards against a caller that has closed after sending more than one read returns: its set-ups
            // are obsolete now, not only when everything has been read.
            let peer_closed = Ready::is_read_closed(ready);
            match self.read_some(&mut frames) {
                Ok(0) => return End::Remote,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(_) => return End::Remote,
            }
            loop {
                match frames.next_message() {
                    Ok(Some(message)) if peer_closed && key.is_obsolete(&message) => {}
                    Ok(Some(message)) => {
                        if core.send(key.message(message)).await.is_err() || self.closed.get() {
                            return End::Local;
                        }
                    }
                    Ok(None) => break,
                    Err(fault) => {
                        tracing::debug!("a connection is closed, its data is invalid: {fault}");
                        return End::Local;
                    }
                }
            }
            if frames.has_partial_message() && core.send(key.partial()).await.is_err() {
                return End::Local;
            }
        }
        End::Local
    }

    fn read_some(&self, frames: &mut MessageDecoder) -> io::Result<usize> {
        BUFFER.with_borrow_mut(|buffer| {
            let n = self.stream.try_read(buffer)?;
            frames.push(&buffer[..n]);
            Ok(n)
        })
    }

    /// Closes gracefully. Guards against the reset that a close with unread bytes causes, which destroys
    /// answers that the peer has not read yet. So the write side is shut down, received bytes are discarded
    /// for a bounded time, and if anything was written recently, the peer may close its end first.
    async fn close_gracefully(&self) {
        let recent =
            self.written_at.get().is_some_and(|at| at.elapsed() < LINGER_TIMEOUT) && !self.broken.get();
        let orderly = async {
            while !self.is_flushed() {
                tokio::time::sleep(FLUSH_POLL).await;
            }
            // A failure also shows in the next read.
            let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
            let mut left = DISCARD_MAX;
            loop {
                let read = BUFFER.with_borrow_mut(|buffer| self.stream.try_read(buffer));
                match read {
                    Ok(0) => return,
                    Ok(n) if n < left => left -= n,
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock && recent => {
                        if self.stream.readable().await.is_err() {
                            return;
                        }
                    }
                    _ => return,
                }
            }
        };
        let _ = tokio::time::timeout(LINGER_TIMEOUT, orderly).await;
    }
}
