//! State of H.248 text commands (RFC 3525): transactions are executed command by command, a context
//! represents a call and its trunk termination the leg to a server.
//!
//! State is bounded by the configured clients, their open transactions and the calls of the engine.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use baydrift::interface::Micros;
use baydrift_call::{Final, LinkId, ReleaseResult, Request, Session};
use baydrift_config::Config;
use baydrift_exchange::{Exchange, FairQueue, IdAllocator, Settings};
use baydrift_h248::{
    code, Action, ActionReply, Command, CommandKind, CommandReply, Context, ErrorDescriptor, Item, Message,
    ReplyBody, Style, Transaction,
};

/// Transactions that run concurrently, over all clients.
const MAX_RUNNING_TRANSACTIONS: usize = 20_000;
/// Transactions that one client may have queued.
const MAX_QUEUED_PER_CLIENT: usize = 1_000;
/// Longest reply in bytes: one that fits a datagram.
const MAX_REPLY_BYTES: usize = 60_000;
/// Idle time in microseconds after which another address may take over a client's MId.
const CLIENT_IDLE_TIME: Micros = 60_000_000;
/// Least time between two overload notifications to one client, in microseconds (H.248.11).
const OVERLOAD_NOTIFY_INTERVAL: Micros = 100_000;

/// A client admitted by its MId.
#[derive(Debug)]
pub(crate) struct Client {
    pub(crate) mid: Arc<str>,
    pub(crate) realm: String,
    /// Whether it registered by ServiceChange.
    pub(crate) registered: bool,
    /// Leaving by a graceful ServiceChange: new calls are refused.
    pub(crate) draining: bool,
    /// End of the graceful period, when its remaining calls are released.
    pub(crate) drain_deadline: Option<Micros>,
    pub(crate) exchange: Exchange,
    pub(crate) last_received_at: Micros,
    /// RequestID under which it subscribed to `ocp/mg_overload`.
    pub(crate) overload_request: Option<String>,
    pub(crate) overload_notified_at: Option<Micros>,
}

/// A transaction in execution.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) link: LinkId,
    pub(crate) actions: VecDeque<Action>,
    pub(crate) commands: VecDeque<Command>,
    pub(crate) context: Context,
    pub(crate) replies: Vec<ActionReply>,
    pub(crate) started_at: Micros,
    /// Latest caller timeout among its set-ups; 0 if it has none.
    pub(crate) caller_deadline: Micros,
    /// The command that awaits the engine, with its context.
    pub(crate) pending: Option<(Command, u32)>,
}

/// A call as its client sees it.
#[derive(Debug, Clone)]
pub(crate) struct TextCall {
    pub(crate) session: Session,
    pub(crate) since: Micros,
    pub(crate) established: bool,
}

/// The engine's reply to a pending command.
#[derive(Debug, Clone, Copy)]
pub(crate) enum EngineReply {
    Answer(Final),
    Released(ReleaseResult),
}

/// A step that is queued while the engine runs.
#[derive(Debug)]
pub(crate) enum Step {
    /// Continue a transaction.
    Run(LinkId, u32),
    /// The engine replied to a pending command.
    Completed(LinkId, u32, EngineReply),
    /// A call was cut.
    Cut(LinkId, Session),
}

/// The H.248 part of the session layer.
#[derive(Debug)]
pub(crate) struct TextState {
    pub(crate) mid: String,
    pub(crate) allowed: BTreeMap<String, String>,
    pub(crate) clients: BTreeMap<LinkId, Client>,
    pub(crate) by_mid: BTreeMap<String, LinkId>,
    pub(crate) jobs: BTreeMap<(LinkId, u32), Job>,
    pub(crate) pending_requests: BTreeMap<Request, (LinkId, u32)>,
    pub(crate) contexts: BTreeMap<(LinkId, u32), TextCall>,
    pub(crate) ids: IdAllocator,
    pub(crate) queue: FairQueue<LinkId, (LinkId, u32)>,
    pub(crate) steps: VecDeque<Step>,
    pub(crate) seed: u64,
}

impl TextState {
    pub(crate) fn new(config: &Config, seed: u64) -> Self {
        Self {
            mid: format!("<{}>", config.host),
            allowed: config.text_clients.iter().map(|c| (c.mid.clone(), c.realm.clone())).collect(),
            clients: BTreeMap::new(),
            by_mid: BTreeMap::new(),
            jobs: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            contexts: BTreeMap::new(),
            ids: IdAllocator::after(0),
            queue: FairQueue::new(MAX_RUNNING_TRANSACTIONS, MAX_QUEUED_PER_CLIENT),
            steps: VecDeque::new(),
            seed,
        }
    }

    /// Checks that a client may use this link. The first message binds the link to the client's MId.
    pub(crate) fn admit(
        &mut self,
        now: Micros,
        link: LinkId,
        mid: &str,
        reliable: bool,
    ) -> Result<(), ErrorDescriptor> {
        if let Some(client) = self.clients.get_mut(&link) {
            if *client.mid != *mid {
                return Err(ErrorDescriptor::new(code::UNAUTHORIZED, "this address speaks for another"));
            }
            client.last_received_at = now;
            return Ok(());
        }
        // "*" in the configuration admits any client, for closed networks and demonstrations.
        let Some(realm) = self.allowed.get(mid).or_else(|| self.allowed.get("*")) else {
            return Err(ErrorDescriptor::new(code::UNAUTHORIZED, "not known here"));
        };
        if let Some(other) = self.by_mid.get(mid).and_then(|link| self.clients.get(link)) {
            // A client cannot take over the MId of another that is active.
            if now < other.last_received_at.saturating_add(CLIENT_IDLE_TIME) {
                return Err(ErrorDescriptor::new(
                    code::UNAUTHORIZED,
                    "another address speaks for this client",
                ));
            }
        }
        let settings = Settings { reliable, ..Settings::default() };
        let client = Client {
            mid: Arc::from(mid),
            realm: realm.clone(),
            registered: false,
            draining: false,
            drain_deadline: None,
            exchange: Exchange::new(settings, self.seed ^ link.0),
            last_received_at: now,
            overload_request: None,
            overload_notified_at: None,
        };
        self.clients.insert(link, client);
        self.by_mid.insert(mid.to_owned(), link);
        Ok(())
    }

    /// The context of the call with this session.
    pub(crate) fn context_for_session(&self, link: LinkId, session: &Session) -> Option<u32> {
        let mut of_link = self.contexts.range((link, 0)..=(link, u32::MAX));
        // A session id ends with the context id.
        let id = session.id.rsplit(';').next().and_then(|id| id.parse::<u32>().ok());
        match id {
            Some(id) => self.contexts.get(&(link, id)).filter(|e| e.session == *session).map(|_| id),
            None => of_link.find(|(_, call)| call.session == *session).map(|((_, id), _)| *id),
        }
    }

    /// Allocates a context id that the client does not use.
    pub(crate) fn new_context(&mut self, link: LinkId) -> u32 {
        let contexts = &self.contexts;
        // The two highest ids mean CHOOSE and ALL.
        self.ids.next(|id| id >= 0xffff_fffe || contexts.contains_key(&(link, id)))
    }

    /// Encodes a message with this front's MId.
    pub(crate) fn message(&self, transaction: Transaction) -> String {
        let body = baydrift_h248::Body::Transactions(vec![transaction]);
        Message { version: 1, mid: self.mid.clone(), body }.write(Style::Compact)
    }

    /// Encodes the reply to a transaction; one that exceeds [`MAX_REPLY_BYTES`] becomes an error.
    pub(crate) fn reply(&self, id: u32, immediate_ack: bool, body: ReplyBody) -> Arc<str> {
        let text = self.message(Transaction::Reply { id, immediate_ack, body });
        if text.len() <= MAX_REPLY_BYTES {
            return text.into();
        }
        let error = ErrorDescriptor::new(code::PDU_TOO_LARGE, "the reply does not fit a datagram");
        self.message(Transaction::Reply { id, immediate_ack, body: ReplyBody::Error(error) }).into()
    }

    /// The RequestID for an overload notification, if the client subscribed and one is due.
    pub(crate) fn overload_due(&mut self, now: Micros, link: LinkId) -> Option<String> {
        let client = self.clients.get_mut(&link)?;
        let request = client.overload_request.clone()?;
        if client.overload_notified_at.is_some_and(|at| now < at.saturating_add(OVERLOAD_NOTIFY_INTERVAL)) {
            return None;
        }
        client.overload_notified_at = Some(now);
        Some(request)
    }

    /// Removes a client with its transactions and contexts.
    pub(crate) fn drop_client(&mut self, link: LinkId) {
        self.discard_work(link);
        if let Some(client) = self.clients.remove(&link) {
            if self.by_mid.get(&*client.mid) == Some(&link) {
                self.by_mid.remove(&*client.mid);
            }
        }
    }

    /// Discards the transactions, pending requests and contexts of a client, as after its restart.
    pub(crate) fn discard_work(&mut self, link: LinkId) {
        let queued = self.queue.remove_queued(&link);
        let jobs: Vec<_> = self.jobs.keys().copied().filter(|key| key.0 == link).collect();
        for key in jobs {
            self.jobs.remove(&key);
            // A transaction that was only queued holds no slot.
            let was_running = !queued.contains(&key);
            if let Some((_, (link, id))) = was_running.then(|| self.queue.finish(&link)).flatten() {
                self.steps.push_back(Step::Run(link, id));
            }
        }
        self.pending_requests.retain(|_, key| key.0 != link);
        self.contexts.retain(|key, _| key.0 != link);
    }
}

impl Job {
    pub(crate) fn new(link: LinkId, actions: Vec<Action>, started_at: Micros) -> Self {
        Self {
            link,
            actions: actions.into(),
            commands: VecDeque::new(),
            context: Context::Null,
            replies: Vec::new(),
            started_at,
            caller_deadline: 0,
            pending: None,
        }
    }

    /// Appends the reply to a command to that of its action.
    pub(crate) fn push_reply(&mut self, kind: CommandKind, termination: &str, descriptors: Vec<Item>) {
        let context = self.context;
        if let Some(action) = self.replies.last_mut() {
            action.context = context;
            action.replies.push(CommandReply { kind, termination: termination.to_owned(), descriptors });
        }
    }

    /// Records a failed command; unless it is optional, the rest of the transaction is skipped.
    pub(crate) fn fail(&mut self, command: &Command, error: ErrorDescriptor) {
        let text = error.text.replace('"', "'");
        let item = Item::new("Error")
            .with(error.code.to_string())
            .with_group(vec![Item::new(format!("\"{text}\""))]);
        self.push_reply(command.kind, &command.termination, vec![item]);
        if !command.optional {
            self.commands.clear();
            self.actions.clear();
        }
    }
}

/// The value of a property such as `bdc/ctx` in the LocalControl descriptor of a command's Media.
pub(crate) fn property<'a>(command: &'a Command, name: &str) -> Option<&'a str> {
    let media = command.descriptors.iter().find(|item| item.is("Media", "M"))?;
    let stream = media.find("Stream", "ST").unwrap_or(media);
    let control = stream.find("LocalControl", "O").or_else(|| media.find("LocalControl", "O"))?;
    control.items().iter().find(|item| item.name.eq_ignore_ascii_case(name))?.text()
}

/// Whether a termination is a trunk, not one of the caller's side.
pub(crate) fn is_trunk(termination: &str) -> bool {
    termination.split('/').next().is_some_and(|kind| kind.eq_ignore_ascii_case("trunk"))
}
