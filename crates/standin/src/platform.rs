//! Stand-ins for the users' platform: signalling servers, the name server and callers, as their pages tell.
//!
//! They know the wire alone, and record what crosses it in the moments of `baydrift-audit`; all is one front's.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use baydrift_audit::{RecordEvent, Recorder};
use baydrift_platform::{Cause, Code, Frames, Id, Kind, Message};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// The result that the record's rules take for 'stands', and one for everything else.
const STANDS: u32 = 2001;
const TURNED_AWAY: u32 = 3004;

/// How a stand-in signalling server behaves from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerBehaviour {
    /// As it should.
    Normal,
    /// It reads, and says nothing any more: cut off.
    Silent,
    /// Its answers cannot be read.
    Malformed,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

enum Line {
    Say(Message),
    Noise,
    Break,
}

struct Inside {
    number: u16,
    hold: Duration,
    recorder: Arc<Recorder>,
    manner: Mutex<ServerBehaviour>,
    lines: Mutex<BTreeMap<u64, mpsc::UnboundedSender<Line>>>,
    /// Ends of calls that found no connection.
    owed: Mutex<Vec<Message>>,
    /// Calls that stand.
    standing: Mutex<BTreeSet<Id>>,
    set_ups: AtomicU64,
}

/// A signalling server on loopback; it ends with its runtime.
#[derive(Clone)]
pub struct PlatformServer {
    /// Where it listens.
    pub addr: SocketAddr,
    inside: Arc<Inside>,
}

impl PlatformServer {
    /// Listens; a call stands for `hold`.
    ///
    /// # Errors
    /// Where the socket cannot be bound.
    pub async fn start(number: u16, hold: Duration, recorder: Arc<Recorder>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let inside = Arc::new(Inside {
            number,
            hold,
            recorder,
            manner: Mutex::new(ServerBehaviour::Normal),
            lines: Mutex::default(),
            owed: Mutex::default(),
            standing: Mutex::default(),
            set_ups: AtomicU64::new(0),
        });
        let server = Self { addr, inside: inside.clone() };
        tokio::spawn(async move {
            let mut next = 0;
            while let Ok((stream, _)) = listener.accept().await {
                next += 1;
                tokio::spawn(inside.clone().serve(next, stream));
            }
        });
        Ok(server)
    }

    /// Changes its manner.
    pub fn set_behaviour(&self, manner: ServerBehaviour) {
        *lock(&self.inside.manner) = manner;
    }

    /// Breaks all its connections; its calls stand on.
    pub fn close_connections(&self) {
        for line in lock(&self.inside.lines).values() {
            let _ = line.send(Line::Break);
        }
    }

    /// Set-ups read so far.
    pub fn set_ups(&self) -> u64 {
        self.inside.set_ups.load(Ordering::Relaxed)
    }

    /// Calls that stand.
    pub fn standing(&self) -> usize {
        lock(&self.inside.standing).len()
    }
}

impl Inside {
    fn put(&self, moment: RecordEvent) {
        self.recorder.put(moment);
    }

    fn attempt(&self, line: u64, call: Id) -> String {
        format!("{}.{line}.{call}", self.number)
    }

    async fn serve(self: Arc<Self>, id: u64, stream: TcpStream) {
        let (to_line, mut lines) = mpsc::unbounded_channel();
        let state =
            Message::new(Kind::State, Id::default()).with(Code::REPORT, "idle:1000;circuits:1000;lat_ms:-1");
        let _ = to_line.send(Line::Say(state));
        for owed in lock(&self.owed).drain(..) {
            let _ = to_line.send(Line::Say(owed));
        }
        lock(&self.lines).insert(id, to_line.clone());
        let (mut reader, mut writer) = stream.into_split();
        let (mut frames, mut buffer) = (Frames::default(), vec![0; 4096]);
        let mut open = BTreeSet::new();
        loop {
            tokio::select! {
                read = reader.read(&mut buffer) => match read {
                    Ok(n) if n > 0 => frames.put(&buffer[..n]),
                    _ => break,
                },
                line = lines.recv() => {
                    let bytes = match line {
                        Some(Line::Say(message)) => {
                            let Ok(bytes) = message.to_bytes() else { break };
                            if message.kind == Kind::Answer {
                                // One that was released meanwhile is not answered any more.
                                if !open.remove(&message.call) {
                                    continue;
                                }
                                let attempt = self.attempt(id, message.call);
                                self.put(RecordEvent::Reply { server: self.number, attempt, code: STANDS, lost: false });
                                lock(&self.standing).insert(message.call);
                                tokio::spawn(self.clone().end(id, message.call));
                            }
                            bytes
                        }
                        Some(Line::Noise) => vec![0xff; 40],
                        Some(Line::Break) | None => break,
                    };
                    if writer.write_all(&bytes).await.is_err() {
                        break;
                    }
                }
            }
            while let Ok(Some(message)) = frames.take() {
                self.heard(id, &message, &mut open, &to_line);
            }
        }
        lock(&self.lines).remove(&id);
        for call in open {
            self.put(RecordEvent::Abort { server: self.number, attempt: self.attempt(id, call) });
        }
    }

    fn heard(&self, id: u64, message: &Message, open: &mut BTreeSet<Id>, line: &mpsc::UnboundedSender<Line>) {
        let (server, call) = (self.number, message.call);
        let manner = *lock(&self.manner);
        let say = |message| {
            if manner != ServerBehaviour::Silent {
                let _ = line.send(Line::Say(message));
            }
        };
        match message.kind {
            Kind::SetUp => {
                self.set_ups.fetch_add(1, Ordering::Relaxed);
                let (attempt, name) = (self.attempt(id, call), format!("caller|{call}"));
                self.put(RecordEvent::SetUp { server, front: 0, call: name, attempt, redirected: false });
                open.insert(call);
                if manner == ServerBehaviour::Malformed {
                    let _ = line.send(Line::Noise);
                    return;
                }
                let mut description = b"from ".to_vec();
                description.extend(message.must(Code::DESCRIPTION).map(|d| d.to_vec()).unwrap_or_default());
                say(Message::new(Kind::Answer, call).with(Code::DESCRIPTION, description));
            }
            Kind::Release => {
                open.remove(&call);
                lock(&self.standing).remove(&call);
                self.put(RecordEvent::Release { server, attempt: self.attempt(id, call) });
            }
            Kind::Test => say(Message::tested(call)),
            _ => {}
        }
    }

    /// The call's own end, on its connection, or on another, or on the next.
    async fn end(self: Arc<Self>, id: u64, call: Id) {
        tokio::time::sleep(self.hold).await;
        if *lock(&self.manner) == ServerBehaviour::Silent || !lock(&self.standing).remove(&call) {
            return;
        }
        let message =
            Message::release(call, Cause::NORMAL).with(Code::REPORT, "idle:1000;circuits:1000;lat_ms:12");
        let lines = lock(&self.lines);
        match lines.get(&id).or_else(|| lines.values().next()) {
            Some(line) => drop(line.send(Line::Say(message))),
            None => lock(&self.owed).push(message),
        }
    }
}

/// What a caller's set-up came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SetUpOutcome {
    /// It stands, with this description.
    Established(Vec<u8>),
    /// Refused or failed, with this cause.
    Rejected(u8),
    /// Its connection ended first.
    Disconnected,
}

#[derive(Default)]
struct Waiting {
    answers: BTreeMap<Id, oneshot::Sender<SetUpOutcome>>,
    ends: BTreeMap<Id, oneshot::Sender<u8>>,
}

/// A caller's connection.
pub struct PlatformCaller {
    recorder: Arc<Recorder>,
    to_wire: mpsc::UnboundedSender<Vec<u8>>,
    waiting: Arc<Mutex<Waiting>>,
}

impl PlatformCaller {
    /// Connects to a front node.
    ///
    /// # Errors
    /// Where it is not there.
    pub async fn connect(to: SocketAddr, recorder: Arc<Recorder>) -> std::io::Result<Self> {
        let (mut reader, mut writer) = TcpStream::connect(to).await?.into_split();
        let (to_wire, mut from_caller) = mpsc::unbounded_channel::<Vec<u8>>();
        let waiting = Arc::new(Mutex::new(Waiting::default()));
        let (heard, record) = (waiting.clone(), recorder.clone());
        tokio::spawn(async move {
            let (mut frames, mut buffer) = (Frames::default(), vec![0; 4096]);
            loop {
                tokio::select! {
                    read = reader.read(&mut buffer) => match read {
                        Ok(n) if n > 0 => frames.put(&buffer[..n]),
                        _ => break,
                    },
                    bytes = from_caller.recv() => {
                        let Some(bytes) = bytes else { break };
                        if writer.write_all(&bytes).await.is_err() {
                            break;
                        }
                    }
                }
                while let Ok(Some(message)) = frames.take() {
                    hear(&record, &heard, &message);
                }
            }
            for (_, waits) in std::mem::take(&mut lock(&heard).answers) {
                let _ = waits.send(SetUpOutcome::Disconnected);
            }
        });
        Ok(Self { recorder, to_wire, waiting })
    }

    /// Sends bytes as they are.
    pub fn send(&self, bytes: Vec<u8>) {
        let _ = self.to_wire.send(bytes);
    }

    /// Offers a call; its answer, and, where it stands, the cause of its end.
    pub fn offer(
        &self,
        set_up: &Message,
        wait: Duration,
    ) -> (oneshot::Receiver<SetUpOutcome>, oneshot::Receiver<u8>) {
        let ((answer, answered), (end, ended)) = (oneshot::channel(), oneshot::channel());
        {
            let mut waiting = lock(&self.waiting);
            waiting.answers.insert(set_up.call, answer);
            waiting.ends.insert(set_up.call, end);
        }
        self.recorder.put(RecordEvent::Offer {
            front: 0,
            call: format!("caller|{}", set_up.call),
            first: None,
            class: 0,
            publisher: 0,
            hot: false,
            caller_timeout_us: wait.as_micros() as u64,
        });
        if let Ok(bytes) = set_up.to_bytes() {
            self.send(bytes);
        }
        (answered, ended)
    }
}

fn hear(recorder: &Recorder, waiting: &Mutex<Waiting>, message: &Message) {
    let name = format!("caller|{}", message.call);
    let mut waiting = lock(waiting);
    let cause = message.cause().unwrap_or_default();
    let told = match message.kind {
        Kind::Answer => {
            SetUpOutcome::Established(message.must(Code::DESCRIPTION).map(|d| d.to_vec()).unwrap_or_default())
        }
        Kind::Release => SetUpOutcome::Rejected(cause),
        _ => return,
    };
    match waiting.answers.remove(&message.call) {
        Some(waits) => {
            let code = if message.kind == Kind::Answer { STANDS } else { TURNED_AWAY };
            recorder.put(RecordEvent::Answer { front: 0, call: name, code });
            let _ = waits.send(told);
        }
        // A second answer that is another one shows as a breach.
        None if message.kind == Kind::Answer => {
            recorder.put(RecordEvent::Answer { front: 0, call: name, code: STANDS })
        }
        None => {
            recorder.put(RecordEvent::Dropped { front: 0, call: name });
            if let Some(waits) = waiting.ends.remove(&message.call) {
                let _ = waits.send(cause);
            }
        }
    }
}
