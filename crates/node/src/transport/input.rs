//! The queue of inputs from the tasks to the core, bounded in number and in memory.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};

use super::connection::Connection;
use crate::state::Input;

/// Maximum memory of the messages that wait or are being processed, in bytes; readers wait when it is used up. It is
/// more than one batch holds.
const QUEUE_BYTES: usize = 3 << 20;

/// An input from a task to the core; with the connection, if it announces a new one.
pub(super) struct Arrival {
    pub(super) input: Input,
    pub(super) conn: Option<Rc<Connection>>,
    /// When it was received.
    pub(super) at: Instant,
    /// Its share of [`QUEUE_BYTES`].
    _bytes: Option<OwnedSemaphorePermit>,
}

impl Arrival {
    pub(super) fn new(input: Input, conn: Option<Rc<Connection>>) -> Self {
        Self { input, conn, at: Instant::now(), _bytes: None }
    }
}

impl From<Input> for Arrival {
    fn from(input: Input) -> Self {
        Self::new(input, None)
    }
}

impl AsRef<Input> for Arrival {
    fn as_ref(&self) -> &Input {
        &self.input
    }
}

impl AsMut<Input> for Arrival {
    fn as_mut(&mut self) -> &mut Input {
        &mut self.input
    }
}

/// The core is gone.
#[derive(Debug)]
pub(super) struct CoreGone;

/// The sending end of the queue.
#[derive(Clone)]
pub(super) struct InputSender {
    queue: mpsc::Sender<Arrival>,
    bytes: Arc<Semaphore>,
}

/// Creates a queue of at most this many inputs.
pub(super) fn input_queue(capacity: usize) -> (InputSender, mpsc::Receiver<Arrival>) {
    let (queue, inputs) = mpsc::channel(capacity);
    (InputSender { queue, bytes: Arc::new(Semaphore::new(QUEUE_BYTES)) }, inputs)
}

impl InputSender {
    /// Sends an input once the queue has room for it.
    pub(super) async fn send(&self, arrival: impl Into<Arrival>) -> Result<(), CoreGone> {
        let mut arrival = arrival.into();
        let size = u32::try_from(arrival.input.size().min(QUEUE_BYTES)).unwrap_or(u32::MAX);
        if size > 0 {
            arrival._bytes = Some(self.reserve(size).await?);
        }
        self.queue.send(arrival).await.map_err(|_| CoreGone)
    }

    /// Waits for room for a message of this size. Where there is room it does not yield to the runtime, so that
    /// a reader hands over as many messages at once as without the limit.
    async fn reserve(&self, size: u32) -> Result<OwnedSemaphorePermit, CoreGone> {
        match self.bytes.clone().try_acquire_many_owned(size) {
            Ok(permit) => Ok(permit),
            Err(_) => self.bytes.clone().acquire_many_owned(size).await.map_err(|_| CoreGone),
        }
    }
}
