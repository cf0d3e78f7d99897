//! One TCP connection: whole messages in, bytes out at once where the socket takes them.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use baydrift_call::LinkId;
use baydrift_platform::{Frames, Message};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};

use super::ToCore;
use crate::state::{ConnId, Input};

/// A connection's name, and what its reader tells the core under it.
pub(super) trait Key: Copy {
    /// A message has come.
    fn said(self, message: Message) -> Input;
    /// The rest of a message is missing still; `None` where nobody asks.
    fn part(self) -> Option<Input>;
    /// It has ended, or cannot be read any further.
    fn down(self) -> Input;
}

impl Key for LinkId {
    fn said(self, message: Message) -> Input {
        Input::FromCaller(self, message)
    }

    /// A caller has until its connection must have been of use.
    fn part(self) -> Option<Input> {
        None
    }

    fn down(self) -> Input {
        Input::CallerDown(self)
    }
}

impl Key for ConnId {
    fn said(self, message: Message) -> Input {
        Input::FromServer(self, message)
    }

    fn part(self) -> Option<Input> {
        Some(Input::Part(self))
    }

    fn down(self) -> Input {
        Input::ServerDown(self)
    }
}

/// Bytes read at once.
const READ: usize = 16 * 1024;
/// Bytes that wait for a slow reader at the most; beyond it the connection is closed.
const UNSENT_MAX: usize = 256 * 1024;

thread_local! {
    /// One buffer for all: nothing is awaited between a read and the copy into the connection's own.
    static BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ]);
}

/// The core's end of a connection.
pub(super) struct Line {
    stream: TcpStream,
    unsent: RefCell<Vec<u8>>,
    flushing: Cell<bool>,
    closed: Cell<bool>,
    woken: Notify,
    /// Bytes that wait must be gone within this.
    patience: Duration,
}

impl Line {
    pub(super) fn new(stream: TcpStream, patience: Duration) -> Rc<Self> {
        // Messages are small and each waits for an answer; a failure only makes it slower.
        let _ = stream.set_nodelay(true);
        Rc::new(Self {
            stream,
            unsent: RefCell::default(),
            flushing: Cell::new(false),
            closed: Cell::new(false),
            woken: Notify::new(),
            patience,
        })
    }

    /// Writes now what the socket takes, in one piece as a rule; the rest follows as soon as it can.
    pub(super) fn write(self: &Rc<Self>, bytes: &[u8]) {
        if self.closed.get() {
            return;
        }
        let sent = if self.unsent.borrow().is_empty() { self.try_write(bytes).unwrap_or(0) } else { 0 };
        if sent == bytes.len() {
            return;
        }
        self.unsent.borrow_mut().extend_from_slice(&bytes[sent..]);
        if self.unsent.borrow().len() > UNSENT_MAX {
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
            while !self.unsent.borrow().is_empty() && !self.closed.get() {
                if self.stream.writable().await.is_err() {
                    return;
                }
                let mut unsent = self.unsent.borrow_mut();
                // Guards against a connection that is reset: it is always 'writable'.
                let Ok(sent) = self.try_write(&unsent) else { return };
                unsent.drain(..sent);
            }
        };
        // Guards against a reader that never reads: it holds a bounded buffer for a bounded time.
        if tokio::time::timeout(self.patience, all).await.is_err() {
            self.close();
        }
        self.flushing.set(false);
    }

    /// Whether all is written.
    pub(super) fn is_flushed(&self) -> bool {
        self.closed.get() || self.unsent.borrow().is_empty()
    }

    /// Ends the connection; its reader tells of it and lets go of the socket.
    pub(super) fn close(&self) {
        self.closed.set(true);
        self.woken.notify_one();
    }

    /// Reads until the connection ends or is closed. A full queue to the core holds the sender back.
    pub(super) async fn read<K: Key>(self: Rc<Self>, key: K, core: mpsc::Sender<ToCore>) {
        let mut frames = Frames::default();
        'line: while !self.closed.get() {
            tokio::select! {
                ready = self.stream.readable() => if ready.is_err() { break },
                () = self.woken.notified() => break,
            }
            let read = BUFFER.with_borrow_mut(|buffer| {
                let n = self.stream.try_read(buffer)?;
                frames.put(&buffer[..n]);
                Ok::<_, io::Error>(n)
            });
            match read {
                Ok(0) => break,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(_) => break,
            }
            loop {
                match frames.take() {
                    Ok(Some(message)) => {
                        if core.send(ToCore::State(key.said(message))).await.is_err() || self.closed.get() {
                            break 'line;
                        }
                    }
                    Ok(None) => break,
                    Err(fault) => {
                        tracing::debug!("a connection is closed: {fault}");
                        break 'line;
                    }
                }
            }
            if let Some(part) = key.part().filter(|_| frames.is_part()) {
                if core.send(ToCore::State(part)).await.is_err() {
                    break;
                }
            }
        }
        self.closed.set(true);
        let _ = core.send(ToCore::State(key.down())).await;
    }
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc as std_mpsc;
    use std::time::Duration;

    use tokio::net::TcpListener;

    use super::*;

    /// Guards against a write to a connection that was reset a moment ago, before its reader saw it: the socket is
    /// 'writable' for ever, and a flush that tried again on an error stood the whole node still.
    #[test]
    fn a_write_after_a_reset_holds_up_nobody() {
        let (done, finished) = std_mpsc::channel();
        std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            tokio::task::LocalSet::new().block_on(&runtime, async {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
                let stream =
                    TcpStream::connect(listener.local_addr().expect("its address")).await.expect("up");
                let (peer, _) = listener.accept().await.expect("accepted");
                let line = Line::new(stream, Duration::from_secs(60));
                line.stream.writable().await.expect("it is writable");
                line.write(b"not read");
                peer.readable().await.expect("it has come");
                // What it has not read makes its end a reset.
                drop(peer);
                // Not awaited: nobody may see the reset before the write.
                while line.stream.take_error().expect("its state").is_none() {
                    std::thread::yield_now();
                }
                line.write(b"too late");
                for _ in 0..100 {
                    tokio::task::yield_now().await;
                }
            });
            done.send(()).expect("the test waits");
        });
        assert!(finished.recv_timeout(Duration::from_secs(20)).is_ok(), "the thread stands still");
    }
}
