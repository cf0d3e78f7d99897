//! Text callers on a socket.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift_audit::Recorder;
use baydrift_emulator::{Offers, TextCallers, TextOutput, TextSpec};
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// Running callers.
pub struct TextCaller {
    _task: tokio::task::JoinHandle<()>,
}

impl TextCaller {
    /// Registers and calls until it is dropped; `offers` may change meanwhile.
    ///
    /// # Errors
    /// Where the socket cannot be bound.
    pub async fn start(
        spec: TextSpec,
        front: SocketAddr,
        offers: watch::Receiver<Offers>,
        recorder: Arc<Recorder>,
        seed: u64,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        socket.connect(front).await?;
        let callers = TextCallers::new(spec, offers.borrow().clone(), seed);
        Ok(Self { _task: tokio::spawn(run(callers, socket, offers, recorder)) })
    }
}

async fn run(
    mut callers: TextCallers,
    socket: UdpSocket,
    mut offers: watch::Receiver<Offers>,
    recorder: Arc<Recorder>,
) {
    let mut out = Vec::new();
    let mut buffer = vec![0u8; 65_536];
    loop {
        if offers.has_changed().unwrap_or(false) {
            callers.offer_so(offers.borrow_and_update().clone());
        }
        let now = recorder.now();
        let wait = Duration::from_micros(callers.due(now).saturating_sub(now));
        tokio::select! {
            received = socket.recv(&mut buffer) => match received {
                Ok(size) => {
                    let text = String::from_utf8_lossy(&buffer[..size]);
                    callers.received(recorder.now(), &text, &mut out);
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            },
            () = tokio::time::sleep(wait) => callers.tick(recorder.now(), &mut out),
        }
        for output in out.drain(..) {
            match output {
                TextOutput::Send(text) => drop(socket.send(text.as_bytes()).await),
                TextOutput::Record(moment) => recorder.put(moment),
            }
        }
    }
}
