//! Callers of the text protocol, on a UDP socket.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift_audit::Recorder;
use baydrift_emulator::{OfferedLoad, TextCallers, TextOutput, TextSpec};
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// A running task with the text callers of one client.
pub struct TextCaller {
    _task: tokio::task::JoinHandle<()>,
}

impl TextCaller {
    /// Registers and offers calls. `offers` may change meanwhile; the task ends with the runtime.
    ///
    /// # Errors
    /// Where the socket cannot be bound.
    pub async fn start(
        spec: TextSpec,
        front: SocketAddr,
        offers: watch::Receiver<OfferedLoad>,
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
    mut offers: watch::Receiver<OfferedLoad>,
    recorder: Arc<Recorder>,
) {
    let mut outputs = Vec::new();
    let mut buffer = vec![0u8; 65_536];
    loop {
        if offers.has_changed().unwrap_or(false) {
            callers.set_offered_load(offers.borrow_and_update().clone());
        }
        let now = recorder.now();
        let wait = Duration::from_micros(callers.due(now).saturating_sub(now));
        tokio::select! {
            received = socket.recv(&mut buffer) => match received {
                Ok(size) => {
                    let text = String::from_utf8_lossy(&buffer[..size]);
                    callers.received(recorder.now(), &text, &mut outputs);
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            },
            () = tokio::time::sleep(wait) => callers.tick(recorder.now(), &mut outputs),
        }
        for output in outputs.drain(..) {
            match output {
                TextOutput::Send(text) => drop(socket.send(text.as_bytes()).await),
                TextOutput::Record(moment) => recorder.put(moment),
            }
        }
    }
}
