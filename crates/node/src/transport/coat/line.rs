//! One TCP connection: whole messages in, bytes out at once where the socket takes them, and an end that destroys
//! nothing that was written before it.

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
use tokio::sync::{mpsc, Notify, OwnedSemaphorePermit};
use tokio::time::Instant;

use super::Arrival;
use crate::state::{ConnId, Input};

/// A connection's name, and what its reader tells the core under it.
pub(super) trait Key: Copy {
    /// A message has come.
    fn said(self, message: Message) -> Input;
    /// The rest of a message is missing still.
    fn part(self) -> Input;
    /// It has ended, or cannot be read any further.
    fn down(self) -> Input;
    /// Whether a message means nothing any more, its sender having closed the connection behind it.
    fn is_void(self, message: &Message) -> bool;
}

impl Key for LinkId {
    fn said(self, message: Message) -> Input {
        Input::FromCaller(self, message)
    }

    fn part(self) -> Input {
        Input::CallerPart(self)
    }

    fn down(self) -> Input {
        Input::CallerDown(self)
    }

    /// A caller that has left wants no call set up; what it releases, and which calls stand, is still heard.
    fn is_void(self, message: &Message) -> bool {
        setup::is_offer(message)
    }
}

impl Key for ConnId {
    fn said(self, message: Message) -> Input {
        Input::FromServer(self, message)
    }

    fn part(self) -> Input {
        Input::Part(self)
    }

    fn down(self) -> Input {
        Input::ServerDown(self)
    }

    fn is_void(self, _message: &Message) -> bool {
        false
    }
}

/// Bytes read at once.
const READ: usize = 16 * 1024;
/// Bytes that wait for a slow reader at the most; beyond it the connection is closed.
const UNSENT_MAX: usize = 256 * 1024;
/// A connection that is closed here still has so long to take what was written to it, and to close its own end.
const LINGER: Duration = Duration::from_millis(300);
/// Bytes that are read and thrown away meanwhile at the most.
const DISCARD_MAX: usize = 1 << 20;
/// Pause between looks at a flush that is under way.
const FLUSH_LOOK: Duration = Duration::from_millis(5);

thread_local! {
    /// One buffer for all: nothing is awaited between a read and the copy into the connection's own.
    static BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ]);
}

/// Why a connection is read no further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The other side has closed it, or it broke.
    Theirs,
    /// It is closed here.
    Ours,
}

/// The core's end of a connection.
pub(super) struct Line {
    stream: TcpStream,
    unsent: RefCell<Vec<u8>>,
    flushing: Cell<bool>,
    /// Nothing further is written: it was closed here, or has ended.
    closed: Cell<bool>,
    /// What waits is not written either: the socket takes nothing any more.
    broken: Cell<bool>,
    woken: Notify,
    written_at: Cell<Option<Instant>>,
    /// Bytes that wait must be gone within this.
    patience: Duration,
    /// Its share of the descriptors, given back with the socket.
    _slot: Option<OwnedSemaphorePermit>,
}

impl Line {
    pub(super) fn new(stream: TcpStream, patience: Duration, slot: Option<OwnedSemaphorePermit>) -> Rc<Self> {
        // Messages are small and each waits for an answer; a failure only makes it slower.
        let _ = stream.set_nodelay(true);
        Rc::new(Self {
            stream,
            unsent: RefCell::default(),
            flushing: Cell::new(false),
            closed: Cell::new(false),
            broken: Cell::new(false),
            woken: Notify::new(),
            written_at: Cell::new(None),
            patience,
            _slot: slot,
        })
    }

    /// Writes now what the socket takes, in one piece as a rule; the rest follows as soon as it can.
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
            let line = self.clone();
            tokio::task::spawn_local(async move { line.flush().await });
        }
    }

    /// What the socket took; an error is the connection's end, which the reader sees as well and tells of.
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
                // Guards against a connection that is reset: it is always 'writable'.
                let Ok(sent) = self.try_write(&unsent) else { return self.broken.set(true) };
                unsent.drain(..sent);
            }
        };
        // Guards against a reader that never reads: it holds a bounded buffer for a bounded time.
        if tokio::time::timeout(self.patience, all).await.is_err() {
            self.broken.set(true);
            self.close();
        }
        self.flushing.set(false);
    }

    /// Whether all is written that can be.
    fn is_flushed(&self) -> bool {
        self.broken.get() || self.unsent.borrow().is_empty()
    }

    /// Ends the connection; its reader lets go of the socket, once what was written has had time to leave.
    pub(super) fn close(&self) {
        self.closed.set(true);
        self.woken.notify_one();
    }

    /// Reads until the connection ends or is closed, tells the core, and lets go of it. A full queue to the core holds
    /// the sender back.
    pub(super) async fn read<K: Key>(self: Rc<Self>, key: K, core: mpsc::Sender<Arrival>) {
        let end = self.read_all(key, &core).await;
        self.closed.set(true);
        let _ = core.send(key.down().into()).await;
        if end == End::Ours {
            self.part().await;
        }
    }

    async fn read_all<K: Key>(&self, key: K, core: &mpsc::Sender<Arrival>) -> End {
        let mut frames = MessageDecoder::default();
        while !self.closed.get() {
            let ready = tokio::select! {
                ready = self.stream.ready(Interest::READABLE) => ready,
                () = self.woken.notified() => return End::Ours,
            };
            let Ok(ready) = ready else { return End::Theirs };
            // Guards against a caller that has closed behind more than one read holds: it is gone now, not when all of
            // it has been read.
            let gone = Ready::is_read_closed(ready);
            match self.read_some(&mut frames) {
                Ok(0) => return End::Theirs,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(_) => return End::Theirs,
            }
            loop {
                match frames.next_message() {
                    Ok(Some(message)) if gone && key.is_void(&message) => {}
                    Ok(Some(message)) => {
                        if core.send(key.said(message).into()).await.is_err() || self.closed.get() {
                            return End::Ours;
                        }
                    }
                    Ok(None) => break,
                    Err(fault) => {
                        tracing::debug!("a connection is closed: {fault}");
                        return End::Ours;
                    }
                }
            }
            if frames.has_partial_message() && core.send(key.part().into()).await.is_err() {
                return End::Ours;
            }
        }
        End::Ours
    }

    fn read_some(&self, frames: &mut MessageDecoder) -> io::Result<usize> {
        BUFFER.with_borrow_mut(|buffer| {
            let n = self.stream.try_read(buffer)?;
            frames.push(&buffer[..n]);
            Ok(n)
        })
    }

    /// Closes as the other side can bear it. Guards against the reset that a close with unread bytes is: it takes
    /// answers along that were written already and not read yet. So: no more is sent, what still comes is read and
    /// thrown away for a bounded time, and one that was written to lately is left to close its own end first.
    async fn part(&self) {
        let lately = self.written_at.get().is_some_and(|at| at.elapsed() < LINGER) && !self.broken.get();
        let orderly = async {
            while !self.is_flushed() {
                tokio::time::sleep(FLUSH_LOOK).await;
            }
            // A failure is one that the next read shows as well.
            let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
            let mut left = DISCARD_MAX;
            loop {
                let read = BUFFER.with_borrow_mut(|buffer| self.stream.try_read(buffer));
                match read {
                    Ok(0) => return,
                    Ok(n) if n < left => left -= n,
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock && lately => {
                        if self.stream.readable().await.is_err() {
                            return;
                        }
                    }
                    _ => return,
                }
            }
        };
        let _ = tokio::time::timeout(LINGER, orderly).await;
    }
}
