//! Callers behind one client connection, on a socket.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift::interface::Micros;
use baydrift_audit::Recorder;
use baydrift_diameter::Codec;
use baydrift_emulator::{CallerInput, CallerOutput, CallerSpec, Callers, Offers};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::codec::Framed;

/// Running callers.
pub struct Caller {
    task: tokio::task::JoinHandle<()>,
}

impl Caller {
    /// Connects and calls until offers end and all calls are over; `offers` may change meanwhile.
    pub fn start(
        spec: CallerSpec,
        front: SocketAddr,
        offers: watch::Receiver<Offers>,
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

type Wire = Framed<TcpStream, Codec>;

async fn connect(front: SocketAddr) -> Option<Wire> {
    let stream = TcpStream::connect(front).await.ok()?;
    let _ = stream.set_nodelay(true);
    Some(Framed::new(stream, Codec::default()))
}

async fn run(
    mut callers: Callers,
    front: SocketAddr,
    mut offers: watch::Receiver<Offers>,
    recorder: Arc<Recorder>,
) {
    let mut wire: Option<Wire> = None;
    let mut out = Vec::new();
    let mut input = Some(CallerInput::Tick);
    loop {
        if offers.has_changed().unwrap_or(false) {
            callers.offer_so(offers.borrow_and_update().clone());
        }
        if let Some(input) = input.take() {
            callers.handle(recorder.now(), input, &mut out);
        }
        let mut connects = false;
        for output in out.drain(..) {
            match output {
                CallerOutput::Connect => connects = true,
                CallerOutput::Send(message) => {
                    if let Some(wire) = &mut wire {
                        let _ = wire.feed(message).await;
                    }
                }
                CallerOutput::Close => {
                    if let Some(mut wire) = wire.take() {
                        let _ = wire.flush().await;
                        if callers.is_over() {
                            let _ = tokio::time::timeout(Duration::from_millis(500), wire.next()).await;
                        }
                    }
                }
                CallerOutput::Record(moment) => recorder.put(moment),
            }
        }
        if callers.is_over() {
            return;
        }
        if connects {
            wire = connect(front).await;
            input = Some(if wire.is_some() { CallerInput::Connected } else { CallerInput::Closed });
            continue;
        }
        let flushed = match &mut wire {
            Some(wire) => wire.flush().await.is_ok(),
            None => true,
        };
        if !flushed {
            wire = None;
            input = Some(CallerInput::Closed);
            continue;
        }
        input = Some(next(&callers, &mut wire, &recorder).await);
    }
}

/// What callers hear next.
async fn next(callers: &Callers, wire: &mut Option<Wire>, recorder: &Recorder) -> CallerInput {
    const LOOK: Micros = 1_000_000;
    let now = recorder.now();
    let wait = Duration::from_micros(callers.due(now).saturating_sub(now).min(LOOK));
    let frame = async {
        match wire {
            Some(wire) => wire.next().await,
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
            *wire = None;
            CallerInput::Closed
        }
    }
}
