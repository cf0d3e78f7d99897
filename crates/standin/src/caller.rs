//! Diameter callers behind one client connection, on a TCP socket.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift::interface::Micros;
use baydrift_audit::Recorder;
use baydrift_diameter::Codec;
use baydrift_emulator::{CallerInput, CallerOutput, CallerSpec, Callers, OfferedLoad};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::codec::Framed;

/// A running task with the callers of one client.
pub struct Caller {
    task: tokio::task::JoinHandle<()>,
}

impl Caller {
    /// Connects and offers calls until the offers end and all calls are over. `offers` may change meanwhile.
    pub fn start(
        spec: CallerSpec,
        front: SocketAddr,
        offers: watch::Receiver<OfferedLoad>,
        recorder: Arc<Recorder>,
        seed: u64,
    ) -> Self {
        let callers = Callers::new(spec, offers.borrow().clone(), seed);
        Self { task: tokio::spawn(run(callers, front, offers, recorder)) }
    }

    /// Waits until all calls are over.
    pub async fn ended(self) {
        let _ = self.task.await;
    }
}

type Connection = Framed<TcpStream, Codec>;

async fn connect(front: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(front).await.ok()?;
    let _ = stream.set_nodelay(true);
    Some(Framed::new(stream, Codec::default()))
}

async fn run(
    mut callers: Callers,
    front: SocketAddr,
    mut offers: watch::Receiver<OfferedLoad>,
    recorder: Arc<Recorder>,
) {
    let mut connection: Option<Connection> = None;
    let mut outputs = Vec::new();
    let mut input = Some(CallerInput::Tick);
    loop {
        if offers.has_changed().unwrap_or(false) {
            callers.set_offered_load(offers.borrow_and_update().clone());
        }
        if let Some(input) = input.take() {
            callers.handle(recorder.now(), input, &mut outputs);
        }
        let mut reconnect = false;
        for output in outputs.drain(..) {
            match output {
                CallerOutput::Connect => reconnect = true,
                CallerOutput::Send(message) => {
                    if let Some(connection) = &mut connection {
                        let _ = connection.feed(message).await;
                    }
                }
                CallerOutput::Close => {
                    if let Some(mut connection) = connection.take() {
                        let _ = connection.flush().await;
                        if callers.is_finished() {
                            let _ = tokio::time::timeout(Duration::from_millis(500), connection.next()).await;
                        }
                    }
                }
                CallerOutput::Record(moment) => recorder.put(moment),
            }
        }
        if callers.is_finished() {
            return;
        }
        if reconnect {
            connection = connect(front).await;
            input = Some(if connection.is_some() { CallerInput::Connected } else { CallerInput::Closed });
            continue;
        }
        let flushed = match &mut connection {
            Some(connection) => connection.flush().await.is_ok(),
            None => true,
        };
        if !flushed {
            connection = None;
            input = Some(CallerInput::Closed);
            continue;
        }
        input = Some(next(&callers, &mut connection, &recorder).await);
    }
}

/// Waits for the next input: a frame, the end of the connection or a timer.
async fn next(callers: &Callers, connection: &mut Option<Connection>, recorder: &Recorder) -> CallerInput {
    const MAX_WAIT_US: Micros = 1_000_000;
    let now = recorder.now();
    let wait = Duration::from_micros(callers.due(now).saturating_sub(now).min(MAX_WAIT_US));
    let frame = async {
        match connection {
            Some(connection) => connection.next().await,
            None => std::future::pending().await,
        }
    };
    let frame = tokio::select! {
        frame = frame => frame,
        () = tokio::time::sleep(wait) => return CallerInput::Tick,
    };
    match frame {
        Some(Ok(frame)) => CallerInput::Received(frame),
        _ => {
            *connection = None;
            CallerInput::Closed
        }
    }
}
