//! The net between a day's processes, in user space on loopback: for each two of them a relay of streams or of
//! datagrams, with each direction's faults its own.
//!
//! A process knows another one by the address of its own relay to it. What a way does to what crosses it is decided by
//! [`NetworkPath`]; a way that is severed holds what a stream carries, as a net does whose packets are lost until it heals, and
//! loses datagrams. New connections hang on a severed way: its listener takes none and its queue is full, so that the
//! first packets of others are dropped and sent again later.

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

/// Connections that wait at a relay's listener while it takes them.
const BACKLOG: i32 = 1_024;
/// Pieces of a stream that a way holds; beyond it the sender is held back, as by TCP. So many that no cut of a day
/// reaches it: what enters the net is on record only once it is read.
const HELD: usize = 4_096;
/// Datagrams that a way holds; what comes beyond is lost and counted as the relay's own fault.
const DATAGRAMS: usize = 4_096;
/// A relay that gives something on so much later than it was due has fallen behind: the driver's own fault.
const BEHIND: Micros = 50_000;

/// The state of one relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Shape {
    /// Nothing passes from the initiator.
    pub(crate) there: bool,
    /// Nothing passes back.
    pub(crate) back: bool,
    /// Connections are closed, and new ones too.
    pub(crate) down: bool,
    /// Counts up with each reset of all connections.
    pub(crate) resets: u64,
}

impl Shape {
    fn severed(&self) -> bool {
        self.there || self.back
    }
}

/// What relays did not do as they should.
#[derive(Debug, Default)]
pub(crate) struct Own {
    /// Pieces that left more than [`BEHIND`] late.
    behind: AtomicU64,
    /// Datagrams for which there was no room.
    dropped: AtomicU64,
}

impl Own {
    fn left(&self, due: Micros, now: Micros) {
        if now > due + BEHIND {
            self.behind.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// In words, if there is anything to say.
    pub(crate) fn faults(&self) -> Option<String> {
        let (behind, dropped) = (self.behind.load(Ordering::Relaxed), self.dropped.load(Ordering::Relaxed));
        (behind + dropped > 0).then(|| {
            format!("relays of the driver fell behind {behind} times by {} ms and had no room for {dropped} datagrams", BEHIND / 1_000)
        })
    }
}

/// Whose set-ups and releases a relay puts on record as they enter it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Between {
    pub(crate) front: u32,
    pub(crate) server: u16,
}

/// What all connections of a relay share.
struct Inside {
    to: SocketAddr,
    spec: NetworkPathSpec,
    seed: u64,
    shape: watch::Receiver<Shape>,
    recorder: Arc<Recorder>,
    between: Option<Between>,
    own: Arc<Own>,
    /// Connections opened through here.
    opened: Arc<AtomicU64>,
}

/// A relay of streams from one process to another; it ends when this is dropped.
pub(crate) struct Streams {
    pub(crate) addr: SocketAddr,
    shape: watch::Sender<Shape>,
    opened: Arc<AtomicU64>,
}

impl Streams {
    pub(crate) async fn start(
        to: SocketAddr,
        spec: NetworkPathSpec,
        seed: u64,
        between: Option<Between>,
        recorder: Arc<Recorder>,
        own: Arc<Own>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (tell, shape) = watch::channel(Shape::default());
        let opened = Arc::new(AtomicU64::new(0));
        let inside = Inside { to, spec, seed, shape, recorder, between, own, opened: opened.clone() };
        tokio::spawn(listen(listener, Arc::new(inside)));
        Ok(Self { addr, shape: tell, opened })
    }

    /// Changes what it does from now on.
    pub(crate) fn shape(&self, change: impl FnOnce(&mut Shape)) {
        self.shape.send_modify(change);
    }

    /// Connections so far.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }
}

async fn listen(listener: TcpListener, inside: Arc<Inside>) {
    let mut shape = inside.shape.clone();
    let mut filler: Option<TcpStream> = None;
    let own_end = |filler: &Option<TcpStream>| filler.as_ref().and_then(|f| f.local_addr().ok());
    let mut fillers = Vec::new();
    let mut count = 0;
    loop {
        let severed = shape.borrow_and_update().severed();
        if severed && filler.is_none() {
            // One connection of its own fills the queue: whoever connects now hangs until the way heals.
            let _ = rustix::net::listen(&listener, 0);
            if let Ok(addr) = listener.local_addr() {
                filler = TcpStream::connect(addr).await.ok();
                fillers.extend(own_end(&filler));
            }
        } else if !severed && filler.take().is_some() {
            let _ = rustix::net::listen(&listener, BACKLOG);
        }
        tokio::select! {
            accepted = listener.accept(), if !severed => {
                let Ok((stream, from)) = accepted else { continue };
                if let Some(place) = fillers.iter().position(|filler| *filler == from) {
                    fillers.remove(place);
                    continue;
                }
                if shape.borrow().down {
                    continue;
                }
                count += 1;
                tokio::spawn(carry(stream, inside.clone(), count));
            }
            changed = shape.changed() => if changed.is_err() { return },
        }
    }
}

/// One connection, until either end is gone and has heard all that was on its way.
async fn carry(near: TcpStream, inside: Arc<Inside>, count: u64) {
    inside.opened.fetch_add(1, Ordering::Relaxed);
    let mut shape = inside.shape.clone();
    let resets = shape.borrow_and_update().resets;
    let Ok(far) = TcpStream::connect(inside.to).await else {
        // Nothing listens there: as if the connection had been refused.
        let _ = near.set_zero_linger();
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    if let Some(Between { front, server }) = inside.between {
        inside.recorder.put(RecordEvent::LinkUp { server, front });
    }
    let way = |salt: u64| NetworkPath::new(inside.spec, inside.seed ^ count.rotate_left(20) ^ salt);
    let tap = inside.between.map(|between| Tap { between, codec: Codec::default(), bytes: BytesMut::new() });
    let mut broken = shape.clone();
    let there = pump(&near, &far, way(1), &inside, |shape| shape.there, tap);
    let back = pump(&far, &near, way(2), &inside, |shape| shape.back, None);
    let over = async {
        tokio::pin!(there, back);
        tokio::select! {
            _ = &mut there => {}
            ended = &mut back => {
                // The far end has closed, and the near one heard of it; or the near one is gone, and the far one is
                // still to hear what was on its way.
                if ended == Ended::Gone {
                    there.await;
                }
            }
        }
    };
    tokio::select! {
        () = over => {}
        _ = async { broken.wait_for(|shape| shape.down || shape.resets != resets).await.is_ok() } => {
            let _ = (near.set_zero_linger(), far.set_zero_linger());
        }
    }
    // On record before the front hears of it. Guards against a server that dies with a set-up on its way there: nobody
    // reads it any more, and its connection's end is all that its front is told.
    if let Some(Between { front, server }) = inside.between {
        inside.recorder.put(RecordEvent::Disconnected { server, front });
        inside.recorder.put(RecordEvent::LinkDown { server, front });
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// All was given on, the end included.
    Closed,
    /// Whoever should get it is gone.
    Gone,
}

/// One direction: pieces leave when the way says, in order, and only while nothing severs it.
async fn pump(
    from: &TcpStream,
    to: &TcpStream,
    mut way: NetworkPath,
    inside: &Inside,
    severed: fn(&Shape) -> bool,
    mut tap: Option<Tap>,
) -> Ended {
    let (hold, mut held) = mpsc::channel::<(Micros, Vec<u8>)>(HELD);
    let recorder = &inside.recorder;
    let reader = async move {
        let mut buffer = vec![0u8; 16 * 1024];
        loop {
            let size = read(from, &mut buffer).await;
            let now = recorder.now();
            if let Some(tap) = &mut tap {
                tap.take(&buffer[..size], recorder);
            }
            let due = way.stream(now, size);
            if hold.send((due, buffer[..size].to_vec())).await.is_err() || size == 0 {
                return;
            }
        }
    };
    let mut shape = inside.shape.clone();
    let writer = async {
        while let Some((due, bytes)) = held.recv().await {
            let was_severed = severed(&shape.borrow());
            let now = recorder.now();
            if due > now {
                tokio::time::sleep(Duration::from_micros(due - now)).await;
            }
            let heals = async { shape.wait_for(|shape| !severed(shape)).await.is_ok() };
            if !heals.await {
                return Ended::Gone;
            }
            if !was_severed {
                inside.own.left(due.max(now), recorder.now());
            }
            if bytes.is_empty() {
                return Ended::Closed;
            }
            if !write(to, &bytes).await {
                return Ended::Gone;
            }
        }
        Ended::Gone
    };
    tokio::pin!(reader, writer);
    tokio::select! {
        () = &mut reader => writer.await,
        ended = &mut writer => ended,
    }
}

/// Bytes that came; none once the connection has ended.
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

/// Whether all of it was taken.
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

/// Reads what a front sends to a server as it enters the net: a set-up that a severed way gives on late was sent when
/// it came here, and may have been given up long before it arrives.
struct Tap {
    between: Between,
    codec: Codec,
    bytes: BytesMut,
}

impl Tap {
    fn take(&mut self, bytes: &[u8], recorder: &Recorder) {
        let Between { front, server } = self.between;
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

/// A relay of datagrams between two fronts, each of which knows the other by its address.
pub(crate) struct Datagrams {
    pub(crate) addr: SocketAddr,
    ends: watch::Sender<Option<[SocketAddr; 2]>>,
    severed: watch::Sender<[bool; 2]>,
    lost: watch::Sender<f64>,
    carried: Arc<AtomicU64>,
}

impl Datagrams {
    pub(crate) async fn start(
        spec: NetworkPathSpec,
        seed: u64,
        fronts: [u32; 2],
        recorder: Arc<Recorder>,
        own: Arc<Own>,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let addr = socket.local_addr()?;
        let (ends, known) = watch::channel(None);
        let (severed, cut) = watch::channel([false; 2]);
        let (lost, share) = watch::channel(0.0);
        let carried = Arc::new(AtomicU64::new(0));
        let counts = carried.clone();
        tokio::spawn(async move {
            // By direction: from the first end, from the second; with what the day's troubles lose on top.
            let mut ways = [NetworkPath::new(spec, seed), NetworkPath::new(spec, seed ^ 0x5eed)];
            let mut losing = NetworkPath::new(NetworkPathSpec::default(), seed);
            let mut lost_now = 0.0;
            let mut held: BTreeMap<(Micros, u64), (SocketAddr, Vec<u8>)> = BTreeMap::new();
            let (mut buffer, mut order) = (vec![0u8; 65_536], 0);
            let mut gone: watch::Receiver<Option<[SocketAddr; 2]>> = known.clone();
            loop {
                let next = held.keys().next().map_or(Micros::MAX, |key| key.0);
                let wait = Duration::from_micros(next.saturating_sub(recorder.now()).min(3_600_000_000));
                tokio::select! {
                    received = socket.recv_from(&mut buffer) => {
                        let (Ok((size, from)), Some(ends)) = (received, *known.borrow()) else { continue };
                        let Some(side) = ends.iter().position(|end| *end == from) else { continue };
                        counts.fetch_add(1, Ordering::Relaxed);
                        recorder.put(RecordEvent::GossipSent { from: fronts[side], to: fronts[1 - side], bytes: size });
                        if *share.borrow() != lost_now {
                            lost_now = *share.borrow();
                            losing = NetworkPath::new(NetworkPathSpec { lost: lost_now, ..NetworkPathSpec::default() }, seed ^ order);
                        }
                        let now = recorder.now();
                        if cut.borrow()[side] || losing.datagram(now, size).is_empty() {
                            continue;
                        }
                        for due in ways[side].datagram(now, size) {
                            if held.len() >= DATAGRAMS {
                                own.dropped.fetch_add(1, Ordering::Relaxed);
                                continue;
                            }
                            order += 1;
                            held.insert((due, order), (ends[1 - side], buffer[..size].to_vec()));
                        }
                    }
                    () = tokio::time::sleep(wait), if !held.is_empty() => {}
                    changed = gone.changed() => if changed.is_err() { return },
                }
                let now = recorder.now();
                while let Some(entry) = held.first_entry().filter(|entry| entry.key().0 <= now) {
                    own.left(entry.key().0, now);
                    let (to, bytes) = entry.remove();
                    let _ = socket.send_to(&bytes, to).await;
                }
            }
        });
        Ok(Self { addr, ends, severed, lost, carried })
    }

    /// Relays between these two.
    pub(crate) fn between(&self, first: SocketAddr, second: SocketAddr) {
        self.ends.send_replace(Some([first, second]));
    }

    /// Severs a direction: 0 from the first, 1 from the second.
    pub(crate) fn sever(&self, side: usize, severed: bool) {
        self.severed.send_modify(|all| all[side] = severed);
    }

    /// Loses this share from now on, beside what the way does.
    pub(crate) fn lose(&self, share: f64) {
        self.lost.send_replace(share);
    }

    /// Datagrams so far.
    pub(crate) fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }
}
