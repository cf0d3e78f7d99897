//! Test doubles of the users' platform: signalling servers and callers, as the platform's documentation
//! describes them.
//!
//! They implement the wire protocol only, and put the messages on record as events of `baydrift-audit`. All
//! events name front 0.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use baydrift_audit::{RecordEvent, Recorder};
use baydrift_platform::{CallId, Cause, Message, MessageDecoder, MessageType, ParameterCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// Result code in the record for an established call.
const ESTABLISHED: u32 = 2001;
/// Result code in the record for a refused or failed call.
const REJECTED: u32 = 3004;

/// The behaviour of a signalling server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerBehaviour {
    /// Answers as the protocol requires.
    Normal,
    /// Receives messages but sends none, as if its outgoing path were cut.
    Silent,
    /// Answers set-ups with bytes that cannot be decoded.
    Malformed,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A command to the task of a connection.
enum ConnectionCommand {
    Send(Message),
    SendGarbage,
    Close,
}

/// The state that the connections of a server share.
struct Shared {
    number: u16,
    call_duration: Duration,
    recorder: Arc<Recorder>,
    behaviour: Mutex<ServerBehaviour>,
    connections: Mutex<BTreeMap<u64, mpsc::UnboundedSender<ConnectionCommand>>>,
    /// Releases of calls that ended while there was no connection.
    pending_releases: Mutex<Vec<Message>>,
    /// Established calls.
    established: Mutex<BTreeSet<CallId>>,
    set_ups: AtomicU64,
}

/// A signalling server on loopback; it stops with its runtime.
#[derive(Clone)]
pub struct PlatformServer {
    /// Its listening address.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl PlatformServer {
    /// Starts a server that releases each call `call_duration` after it was established.
    ///
    /// # Errors
    /// If the socket cannot be bound.
    pub async fn start(
        number: u16,
        call_duration: Duration,
        recorder: Arc<Recorder>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            number,
            call_duration,
            recorder,
            behaviour: Mutex::new(ServerBehaviour::Normal),
            connections: Mutex::default(),
            pending_releases: Mutex::default(),
            established: Mutex::default(),
            set_ups: AtomicU64::new(0),
        });
        let server = Self { addr, shared: shared.clone() };
        tokio::spawn(async move {
            let mut next = 0;
            while let Ok((stream, _)) = listener.accept().await {
                next += 1;
                tokio::spawn(shared.clone().serve(next, stream));
            }
        });
        Ok(server)
    }

    /// Sets its behaviour from now on.
    pub fn set_behaviour(&self, behaviour: ServerBehaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// Closes all its connections; its calls remain established.
    pub fn close_connections(&self) {
        for connection in lock(&self.shared.connections).values() {
            let _ = connection.send(ConnectionCommand::Close);
        }
    }

    /// Number of set-ups received so far.
    pub fn set_ups(&self) -> u64 {
        self.shared.set_ups.load(Ordering::Relaxed)
    }

    /// Number of established calls.
    pub fn established_calls(&self) -> usize {
        lock(&self.shared.established).len()
    }
}

impl Shared {
    fn put(&self, event: RecordEvent) {
        self.recorder.put(event);
    }

    /// The name of an attempt in the record.
    fn attempt(&self, connection: u64, call: CallId) -> String {
        format!("{}.{connection}.{call}", self.number)
    }

    /// Runs one connection until it ends.
    async fn serve(self: Arc<Self>, id: u64, stream: TcpStream) {
        let (to_connection, mut commands) = mpsc::unbounded_channel();
        let state = Message::new(MessageType::LoadReport, CallId::default())
            .with(ParameterCode::LOAD_REPORT, "idle:1000;circuits:1000;lat_ms:-1");
        let _ = to_connection.send(ConnectionCommand::Send(state));
        for release in lock(&self.pending_releases).drain(..) {
            let _ = to_connection.send(ConnectionCommand::Send(release));
        }
        lock(&self.connections).insert(id, to_connection.clone());
        let (mut reader, mut writer) = stream.into_split();
        let (mut frames, mut buffer) = (MessageDecoder::default(), vec![0; 4096]);
        let mut open = BTreeSet::new();
        loop {
            tokio::select! {
                read = reader.read(&mut buffer) => match read {
                    Ok(n) if n > 0 => frames.push(&buffer[..n]),
                    _ => break,
                },
                command = commands.recv() => {
                    let bytes = match command {
                        Some(ConnectionCommand::Send(message)) => {
                            let Ok(bytes) = message.to_bytes() else { break };
                            if message.kind == MessageType::Answer {
                                // A call that was released meanwhile is no longer answered.
                                if !open.remove(&message.call) {
                                    continue;
                                }
                                let attempt = self.attempt(id, message.call);
                                let server = self.number;
                                let reply = RecordEvent::Reply { server, attempt, code: ESTABLISHED, lost: false };
                                self.put(reply);
                                lock(&self.established).insert(message.call);
                                tokio::spawn(self.clone().release_after_call(id, message.call));
                            }
                            bytes
                        }
                        Some(ConnectionCommand::SendGarbage) => vec![0xff; 40],
                        Some(ConnectionCommand::Close) | None => break,
                    };
                    if writer.write_all(&bytes).await.is_err() {
                        break;
                    }
                }
            }
            while let Ok(Some(message)) = frames.next_message() {
                self.handle(id, &message, &mut open, &to_connection);
            }
        }
        lock(&self.connections).remove(&id);
        for call in open {
            self.put(RecordEvent::Abort { server: self.number, attempt: self.attempt(id, call) });
        }
    }

    /// Handles one received message. `open` are the set-ups of this connection that are not answered yet.
    fn handle(
        &self,
        id: u64,
        message: &Message,
        open: &mut BTreeSet<CallId>,
        connection: &mpsc::UnboundedSender<ConnectionCommand>,
    ) {
        let (server, call) = (self.number, message.call);
        let behaviour = *lock(&self.behaviour);
        let send = |message| {
            if behaviour != ServerBehaviour::Silent {
                let _ = connection.send(ConnectionCommand::Send(message));
            }
        };
        match message.kind {
            MessageType::SetUp => {
                self.set_ups.fetch_add(1, Ordering::Relaxed);
                let (attempt, name) = (self.attempt(id, call), format!("caller|{call}"));
                self.put(RecordEvent::SetUp { server, front: 0, call: name, attempt, redirected: false });
                open.insert(call);
                if behaviour == ServerBehaviour::Malformed {
                    let _ = connection.send(ConnectionCommand::SendGarbage);
                    return;
                }
                let mut description = b"from ".to_vec();
                description.extend(
                    message.required(ParameterCode::DESCRIPTION).map(|d| d.to_vec()).unwrap_or_default(),
                );
                send(Message::new(MessageType::Answer, call).with(ParameterCode::DESCRIPTION, description));
            }
            MessageType::Release => {
                open.remove(&call);
                lock(&self.established).remove(&call);
                self.put(RecordEvent::Release { server, attempt: self.attempt(id, call) });
            }
            MessageType::HealthCheck => send(Message::health_check_passed(call)),
            _ => {}
        }
    }

    /// Releases an established call at the end of its duration: on its connection, else on another one, else
    /// on the next one that is opened.
    async fn release_after_call(self: Arc<Self>, id: u64, call: CallId) {
        tokio::time::sleep(self.call_duration).await;
        if *lock(&self.behaviour) == ServerBehaviour::Silent || !lock(&self.established).remove(&call) {
            return;
        }
        let message = Message::release(call, Cause::NORMAL)
            .with(ParameterCode::LOAD_REPORT, "idle:1000;circuits:1000;lat_ms:12");
        let connections = lock(&self.connections);
        match connections.get(&id).or_else(|| connections.values().next()) {
            Some(connection) => drop(connection.send(ConnectionCommand::Send(message))),
            None => lock(&self.pending_releases).push(message),
        }
    }
}

/// The outcome of a caller's set-up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SetUpOutcome {
    /// Established, with this session description.
    Established(Vec<u8>),
    /// Refused or failed, with this cause code.
    Rejected(u8),
    /// The connection ended before an answer.
    Disconnected,
}

/// The receivers of the answers and releases that are still awaited.
#[derive(Default)]
struct Waiting {
    answers: BTreeMap<CallId, oneshot::Sender<SetUpOutcome>>,
    ends: BTreeMap<CallId, oneshot::Sender<u8>>,
}

/// A caller's connection to a front node.
pub struct PlatformCaller {
    recorder: Arc<Recorder>,
    to_wire: mpsc::UnboundedSender<Vec<u8>>,
    waiting: Arc<Mutex<Waiting>>,
}

impl PlatformCaller {
    /// Connects to a front node.
    ///
    /// # Errors
    /// If the connection is refused or fails.
    pub async fn connect(to: SocketAddr, recorder: Arc<Recorder>) -> std::io::Result<Self> {
        let (mut reader, mut writer) = TcpStream::connect(to).await?.into_split();
        let (to_wire, mut from_caller) = mpsc::unbounded_channel::<Vec<u8>>();
        let waiting = Arc::new(Mutex::new(Waiting::default()));
        let (awaited, record) = (waiting.clone(), recorder.clone());
        tokio::spawn(async move {
            let (mut frames, mut buffer) = (MessageDecoder::default(), vec![0; 4096]);
            loop {
                tokio::select! {
                    read = reader.read(&mut buffer) => match read {
                        Ok(n) if n > 0 => frames.push(&buffer[..n]),
                        _ => break,
                    },
                    bytes = from_caller.recv() => {
                        let Some(bytes) = bytes else { break };
                        if writer.write_all(&bytes).await.is_err() {
                            break;
                        }
                    }
                }
                while let Ok(Some(message)) = frames.next_message() {
                    handle(&record, &awaited, &message);
                }
            }
            for (_, receiver) in std::mem::take(&mut lock(&awaited).answers) {
                let _ = receiver.send(SetUpOutcome::Disconnected);
            }
        });
        Ok(Self { recorder, to_wire, waiting })
    }

    /// Sends raw bytes.
    pub fn send(&self, bytes: Vec<u8>) {
        let _ = self.to_wire.send(bytes);
    }

    /// Offers a call. The first receiver yields the outcome, the second one the cause of an established
    /// call's release.
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

/// Handles a message from the front: passes it to its receiver and puts it on record.
fn handle(recorder: &Recorder, waiting: &Mutex<Waiting>, message: &Message) {
    let name = format!("caller|{}", message.call);
    let mut waiting = lock(waiting);
    let cause = message.cause().unwrap_or_default();
    let outcome = match message.kind {
        MessageType::Answer => SetUpOutcome::Established(
            message.required(ParameterCode::DESCRIPTION).map(|d| d.to_vec()).unwrap_or_default(),
        ),
        MessageType::Release => SetUpOutcome::Rejected(cause),
        _ => return,
    };
    match waiting.answers.remove(&message.call) {
        Some(receiver) => {
            let code = if message.kind == MessageType::Answer { ESTABLISHED } else { REJECTED };
            recorder.put(RecordEvent::Answer { front: 0, call: name, code });
            let _ = receiver.send(outcome);
        }
        // A second answer is put on record, where a different result shows as a breach of rule 1.
        None if message.kind == MessageType::Answer => {
            recorder.put(RecordEvent::Answer { front: 0, call: name, code: ESTABLISHED })
        }
        None => {
            recorder.put(RecordEvent::Dropped { front: 0, call: name });
            if let Some(receiver) = waiting.ends.remove(&message.call) {
                let _ = receiver.send(cause);
            }
        }
    }
}
