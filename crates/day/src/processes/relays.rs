//! The network between the processes of a run, emulated in user space on loopback: one stream or datagram
//! relay for each pair of processes, with separate faults for each direction.
//!
//! A process reaches another one at the address of the relay between them. [`NetworkPath`] determines delay and loss
//! in one direction. A severed direction queues stream data, like a network that loses packets until it
//! heals, and drops datagrams. New connections to a severed relay hang: the listener accepts none and its
//! backlog is full, so the kernel drops the SYN packets and the clients retransmit them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use baydrift::interface::Micros;
use baydrift_audit::{RecordEvent, Recorder};
use baydrift_diameter::credit::{Ccr, RequestType};
use baydrift_diameter::{dict, Codec, Frame};
use baydrift_emulator::{NetworkPath, NetworkPathSpec};
use bytes::BytesMut;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio_util::codec::Decoder;

/// Backlog of a relay's listener, in connections.
const LISTEN_BACKLOG: i32 = 1_024;
/// Chunks of a stream queued in one direction; once the queue is full the relay stops reading, which applies
/// TCP back pressure. Large enough that no fault of a run fills it, because sent requests are recorded only
/// when read.
const MAX_QUEUED_CHUNKS: usize = 4_096;
/// Datagrams queued by one relay; any beyond that are dropped and counted as a fault of the relay itself.
const MAX_QUEUED_DATAGRAMS: usize = 4_096;
/// Data forwarded later than this after its due time, in microseconds, counts as a fault of the driver.
const LATE_FORWARD_US: Micros = 50_000;

/// The faults currently applied by one stream relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct RelayState {
    /// Nothing passes from the connecting process to the listening one.
    pub(crate) forward_severed: bool,
    /// Nothing passes from the listening process to the connecting one.
    pub(crate) backward_severed: bool,
    /// Existing and new connections are closed.
    pub(crate) down: bool,
    /// Incremented to reset all connections.
    pub(crate) resets: u64,
}

impl RelayState {
    fn severed(&self) -> bool {
        self.forward_severed || self.backward_severed
    }
}

/// Counts of the relays' own faults, which invalidate a run's timing.
#[derive(Debug, Default)]
pub(crate) struct RelayFaults {
    /// Chunks and datagrams forwarded more than [`LATE_FORWARD_US`] after they were due.
    late: AtomicU64,
    /// Datagrams dropped because the queue was full.
    dropped: AtomicU64,
}

impl RelayFaults {
    fn record_forward(&self, due: Micros, now: Micros) {
        if now > due + LATE_FORWARD_US {
            self.late.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// A description of the faults for the driver's output; `None` if there were none.
    pub(crate) fn summary(&self) -> Option<String> {
        let (late, dropped) = (self.late.load(Ordering::Relaxed), self.dropped.load(Ordering::Relaxed));
        (late + dropped > 0).then(|| {
            format!(
                "relays of the driver fell behind {late} times by {} ms and had no room for {dropped} \
                 datagrams",
                LATE_FORWARD_US / 1_000
            )
        })
    }
}

/// The link whose set-ups, releases and connections a relay records.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RecordedLink {
    pub(crate) front: u32,
    pub(crate) server: u16,
}

/// Shared state of all connections of one relay.
struct RelayContext {
    to: SocketAddr,
    spec: NetworkPathSpec,
    seed: u64,
    state: watch::Receiver<RelayState>,
    recorder: Arc<Recorder>,
    recorded_link: Option<RecordedLink>,
    faults: Arc<RelayFaults>,
    /// Number of connections opened through this relay.
    opened: Arc<AtomicU64>,
}

/// A TCP relay from one process to another. It stops when this handle is dropped.
pub(crate) struct StreamRelay {
    pub(crate) addr: SocketAddr,
    state: watch::Sender<RelayState>,
    opened: Arc<AtomicU64>,
}

impl StreamRelay {
    pub(crate) async fn start(
        to: SocketAddr,
        spec: NetworkPathSpec,
        seed: u64,
        recorded_link: Option<RecordedLink>,
        recorder: Arc<Recorder>,
        faults: Arc<RelayFaults>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (state_tx, state) = watch::channel(RelayState::default());
        let opened = Arc::new(AtomicU64::new(0));
        let context =
            RelayContext { to, spec, seed, state, recorder, recorded_link, faults, opened: opened.clone() };
        tokio::spawn(accept_connections(listener, Arc::new(context)));
        Ok(Self { addr, state: state_tx, opened })
    }

    /// Changes the applied faults.
    pub(crate) fn update(&self, change: impl FnOnce(&mut RelayState)) {
        self.state.send_modify(change);
    }

    /// Number of connections opened so far.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }
}

async fn accept_connections(listener: TcpListener, context: Arc<RelayContext>) {
    let mut state = context.state.clone();
    let mut filler: Option<TcpStream> = None;
    let local_addr_of = |filler: &Option<TcpStream>| filler.as_ref().and_then(|f| f.local_addr().ok());
    let mut filler_addrs = Vec::new();
    let mut count = 0;
    loop {
        let severed = state.borrow_and_update().severed();
        if severed && filler.is_none() {
            // With a backlog of 0, one connection from the relay itself fills the queue, so that further
            // clients hang in connection set-up until the relay heals.
            let _ = rustix::net::listen(&listener, 0);
            if let Ok(addr) = listener.local_addr() {
                filler = TcpStream::connect(addr).await.ok();
                filler_addrs.extend(local_addr_of(&filler));
            }
        } else if !severed && filler.take().is_some() {
            let _ = rustix::net::listen(&listener, LISTEN_BACKLOG);
        }
        tokio::select! {
            accepted = listener.accept(), if !severed => {
                let Ok((stream, from)) = accepted else { continue };
                if let Some(index) = filler_addrs.iter().position(|filler| *filler == from) {
                    filler_addrs.remove(index);
                    continue;
                }
                if state.borrow().down {
                    continue;
                }
                count += 1;
                tokio::spawn(relay_connection(stream, context.clone(), count));
            }
            changed = state.changed() => if changed.is_err() { return },
        }
    }
}

/// Relays one connection until either end closes it and all queued data has been delivered.
async fn relay_connection(near: TcpStream, context: Arc<RelayContext>, count: u64) {
    context.opened.fetch_add(1, Ordering::Relaxed);
    let mut state = context.state.clone();
    let resets = state.borrow_and_update().resets;
    let Ok(far) = TcpStream::connect(context.to).await else {
        // Nothing listens at the target: resets the connection, as if it had been refused.
        let _ = near.set_zero_linger();
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    if let Some(RecordedLink { front, server }) = context.recorded_link {
        context.recorder.put(RecordEvent::LinkUp { server, front });
    }
    let link = |salt: u64| NetworkPath::new(context.spec, context.seed ^ count.rotate_left(20) ^ salt);
    let request_recorder = context.recorded_link.map(|recorded_link| RequestRecorder {
        recorded_link,
        codec: Codec::default(),
        bytes: BytesMut::new(),
    });
    let mut reset_state = state.clone();
    let forward =
        relay_direction(&near, &far, link(1), &context, |state| state.forward_severed, request_recorder);
    let backward = relay_direction(&far, &near, link(2), &context, |state| state.backward_severed, None);
    let finished = async {
        tokio::pin!(forward, backward);
        tokio::select! {
            _ = &mut forward => {}
            ended = &mut backward => {
                // If the far end closed, the near end has been notified. If the near end is gone, the data
                // still queued for the far end has to be delivered.
                if ended == StreamEnd::PeerGone {
                    forward.await;
                }
            }
        }
    };
    tokio::select! {
        () = finished => {}
        _ = async { reset_state.wait_for(|state| state.down || state.resets != resets).await.is_ok() } => {
            let _ = (near.set_zero_linger(), far.set_zero_linger());
        }
    }
    // Recorded before the front can notice. If a server dies while a set-up is on its way, nobody reads that
    // set-up, and the end of the connection is all that the front learns.
    if let Some(RecordedLink { front, server }) = context.recorded_link {
        context.recorder.put(RecordEvent::Disconnected { server, front });
        context.recorder.put(RecordEvent::LinkDown { server, front });
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    /// All data and the end of the stream were forwarded.
    Forwarded,
    /// The receiving end is gone.
    PeerGone,
}

/// Relays one direction of a connection: chunks are forwarded in order, each at its due time, and only while
/// the direction is not severed.
async fn relay_direction(
    from: &TcpStream,
    to: &TcpStream,
    mut link: NetworkPath,
    context: &RelayContext,
    severed: fn(&RelayState) -> bool,
    mut request_recorder: Option<RequestRecorder>,
) -> StreamEnd {
    let (queue, mut queued) = mpsc::channel::<(Micros, Vec<u8>)>(MAX_QUEUED_CHUNKS);
    let recorder = &context.recorder;
    let reader = async move {
        let mut buffer = vec![0u8; 16 * 1024];
        loop {
            let size = read(from, &mut buffer).await;
            let now = recorder.now();
            if let Some(request_recorder) = &mut request_recorder {
                request_recorder.record(&buffer[..size], recorder);
            }
            let due = link.stream(now, size);
            if queue.send((due, buffer[..size].to_vec())).await.is_err() || size == 0 {
                return;
            }
        }
    };
    let mut state = context.state.clone();
    let writer = async {
        while let Some((due, bytes)) = queued.recv().await {
            let was_severed = severed(&state.borrow());
            let now = recorder.now();
            if due > now {
                tokio::time::sleep(Duration::from_micros(due - now)).await;
            }
            let healed = async { state.wait_for(|state| !severed(state)).await.is_ok() };
            if !healed.await {
                return StreamEnd::PeerGone;
            }
            if !was_severed {
                context.faults.record_forward(due.max(now), recorder.now());
            }
            if bytes.is_empty() {
                return StreamEnd::Forwarded;
            }
            if !write(to, &bytes).await {
                return StreamEnd::PeerGone;
            }
        }
        StreamEnd::PeerGone
    };
    tokio::pin!(reader, writer);
    tokio::select! {
        () = &mut reader => writer.await,
        ended = &mut writer => ended,
    }
}

/// Reads available bytes and returns their count; 0 once the connection has ended.
async fn read(from: &TcpStream, buffer: &mut [u8]) -> usize {
    loop {
        if from.readable().await.is_err() {
            return 0;
        }
        match from.try_read(buffer) {
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            done => return done.unwrap_or(0),
        }
    }
}

/// Writes all bytes; returns `false` if the connection failed.
async fn write(to: &TcpStream, mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        if to.writable().await.is_err() {
            return false;
        }
        match to.try_write(bytes) {
            Ok(size) => bytes = &bytes[size..],
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
    true
}

/// Records the requests of a front to a server when they enter the relay. A set-up queued by a severed
/// direction was sent at that time, and the front may have abandoned it long before it is delivered.
struct RequestRecorder {
    recorded_link: RecordedLink,
    codec: Codec,
    bytes: BytesMut,
}

impl RequestRecorder {
    fn record(&mut self, bytes: &[u8], recorder: &Recorder) {
        let RecordedLink { front, server } = self.recorded_link;
        if bytes.is_empty() {
            return recorder.put(RecordEvent::Disconnected { server, front });
        }
        self.bytes.extend_from_slice(bytes);
        while let Ok(Some(frame)) = self.codec.decode(&mut self.bytes) {
            let Frame::Valid(message) = frame else { continue };
            let Ok(ccr) = Ccr::read(&message) else { continue };
            let attempt = ccr.session.to_owned();
            let call = (ccr.request_type == RequestType::Initial)
                .then(|| message.text(dict::CC_CORRELATION_ID).unwrap_or("").to_owned());
            recorder.put(RecordEvent::Sent { server, front, call, attempt });
        }
    }
}

/// A UDP relay between two fronts, each of which reaches the other at the relay's address.
pub(crate) struct GossipRelay {
    pub(crate) addr: SocketAddr,
    ends: watch::Sender<Option<[SocketAddr; 2]>>,
    severed: watch::Sender<[bool; 2]>,
    lost: watch::Sender<f64>,
    datagrams: Arc<AtomicU64>,
}

impl GossipRelay {
    pub(crate) async fn start(
        spec: NetworkPathSpec,
        seed: u64,
        fronts: [u32; 2],
        recorder: Arc<Recorder>,
        faults: Arc<RelayFaults>,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let addr = socket.local_addr()?;
        let (ends, known_ends) = watch::channel(None);
        let (severed, severed_now) = watch::channel([false; 2]);
        let (lost, loss_share) = watch::channel(0.0);
        let datagrams = Arc::new(AtomicU64::new(0));
        let received_count = datagrams.clone();
        tokio::spawn(async move {
            // One per sender, first and second front; `losing` adds the loss of the fault schedule.
            let mut links = [NetworkPath::new(spec, seed), NetworkPath::new(spec, seed ^ 0x5eed)];
            let mut extra_loss = NetworkPath::new(NetworkPathSpec::default(), seed);
            let mut current_loss = 0.0;
            let mut queued: BTreeMap<(Micros, u64), (SocketAddr, Vec<u8>)> = BTreeMap::new();
            let (mut buffer, mut sequence) = (vec![0u8; 65_536], 0);
            let mut ends_changed: watch::Receiver<Option<[SocketAddr; 2]>> = known_ends.clone();
            loop {
                let next = queued.keys().next().map_or(Micros::MAX, |key| key.0);
                let wait = Duration::from_micros(next.saturating_sub(recorder.now()).min(3_600_000_000));
                tokio::select! {
                    received = socket.recv_from(&mut buffer) => {
                        let (Ok((size, sender)), Some(ends)) = (received, *known_ends.borrow()) else {
                            continue;
                        };
                        let Some(side) = ends.iter().position(|end| *end == sender) else { continue };
                        received_count.fetch_add(1, Ordering::Relaxed);
                        let (from, to) = (fronts[side], fronts[1 - side]);
                        recorder.put(RecordEvent::GossipSent { from, to, bytes: size });
                        if *loss_share.borrow() != current_loss {
                            current_loss = *loss_share.borrow();
                            let spec = NetworkPathSpec { lost: current_loss, ..NetworkPathSpec::default() };
                            extra_loss = NetworkPath::new(spec, seed ^ sequence);
                        }
                        let now = recorder.now();
                        if severed_now.borrow()[side] || extra_loss.datagram(now, size).is_empty() {
                            continue;
                        }
                        for due in links[side].datagram(now, size) {
                            if queued.len() >= MAX_QUEUED_DATAGRAMS {
                                faults.dropped.fetch_add(1, Ordering::Relaxed);
                                continue;
                            }
                            sequence += 1;
                            queued.insert((due, sequence), (ends[1 - side], buffer[..size].to_vec()));
                        }
                    }
                    () = tokio::time::sleep(wait), if !queued.is_empty() => {}
                    changed = ends_changed.changed() => if changed.is_err() { return },
                }
                let now = recorder.now();
                while let Some(entry) = queued.first_entry().filter(|entry| entry.key().0 <= now) {
                    faults.record_forward(entry.key().0, now);
                    let (to, bytes) = entry.remove();
                    let _ = socket.send_to(&bytes, to).await;
                }
            }
        });
        Ok(Self { addr, ends, severed, lost, datagrams })
    }

    /// Sets the addresses of the two fronts.
    pub(crate) fn between(&self, first: SocketAddr, second: SocketAddr) {
        self.ends.send_replace(Some([first, second]));
    }

    /// Severs or heals a direction: 0 is from the first front, 1 from the second.
    pub(crate) fn sever(&self, side: usize, severed: bool) {
        self.severed.send_modify(|all| all[side] = severed);
    }

    /// Sets the share of datagrams lost in addition to the network's own loss.
    pub(crate) fn lose(&self, share: f64) {
        self.lost.send_replace(share);
    }

    /// Number of datagrams received so far.
    pub(crate) fn datagrams(&self) -> u64 {
        self.datagrams.load(Ordering::Relaxed)
    }
}
