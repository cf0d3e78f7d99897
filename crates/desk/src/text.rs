//! H.248 text commands as calls: transactions run command by command, a context is a call, its trunk termination
//! the way to a server (RFC 3525).
//!
//! What is kept here is bounded by configured clients, their known transactions and the engine's own calls.

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

/// Transactions that run at once over all clients, and that wait of each.
const TURNS: (usize, usize) = (20_000, 1_000);
/// Longest reply: what fits a datagram.
const REPLY_MAX: usize = 60_000;
/// A client that was silent for so long may be replaced by another that claims its MId.
const SILENT: Micros = 60_000_000;
/// Least time between two words of overload to one client (H.248.11).
const OVERLOAD_EVERY: Micros = 100_000;

/// A client that may speak, by its MId.
#[derive(Debug)]
pub(crate) struct Client {
    pub(crate) mid: Arc<str>,
    pub(crate) realm: String,
    /// Registered by ServiceChange.
    pub(crate) registered: bool,
    /// It leaves: nothing new is taken.
    pub(crate) leaving: bool,
    /// It leaves in grace: by then what it still has is released.
    pub(crate) leaves_at: Option<Micros>,
    pub(crate) exchange: Exchange,
    pub(crate) heard_at: Micros,
    /// It asked for `ocp/mg_overload`, with this RequestID.
    pub(crate) overload: Option<String>,
    pub(crate) overload_told: Option<Micros>,
}

/// A transaction being run.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) link: LinkId,
    pub(crate) actions: VecDeque<Action>,
    pub(crate) commands: VecDeque<Command>,
    pub(crate) context: Context,
    pub(crate) replies: Vec<ActionReply>,
    pub(crate) began: Micros,
    /// When the last caller of its set-ups gives up; 0 without one.
    pub(crate) wanted_until: Micros,
    /// The command that waits for the engine.
    pub(crate) waits: Option<(Command, u32)>,
}

/// A call as its client knows it.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) session: Session,
    pub(crate) since: Micros,
    pub(crate) stands: bool,
}

/// What the engine said to a command that waited.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Told {
    Answer(Final),
    Released(ReleaseResult),
}

/// What is to be done next, outside the engine's own turn.
#[derive(Debug)]
pub(crate) enum Step {
    /// Go on with a transaction.
    Run(LinkId, u32),
    /// A command that waited was answered.
    Told(LinkId, u32, Told),
    /// A call was cut.
    Cut(LinkId, Session),
}

/// The text side of the desk.
#[derive(Debug)]
pub(crate) struct Text {
    pub(crate) mid: String,
    pub(crate) allowed: BTreeMap<String, String>,
    pub(crate) clients: BTreeMap<LinkId, Client>,
    pub(crate) by_mid: BTreeMap<String, LinkId>,
    pub(crate) jobs: BTreeMap<(LinkId, u32), Job>,
    pub(crate) waiting: BTreeMap<Request, (LinkId, u32)>,
    pub(crate) contexts: BTreeMap<(LinkId, u32), Entry>,
    pub(crate) ids: IdAllocator,
    pub(crate) turns: FairQueue<LinkId, (LinkId, u32)>,
    pub(crate) steps: VecDeque<Step>,
    pub(crate) seed: u64,
}

impl Text {
    pub(crate) fn new(config: &Config, seed: u64) -> Self {
        Self {
            mid: format!("<{}>", config.host),
            allowed: config.text_clients.iter().map(|c| (c.mid.clone(), c.realm.clone())).collect(),
            clients: BTreeMap::new(),
            by_mid: BTreeMap::new(),
            jobs: BTreeMap::new(),
            waiting: BTreeMap::new(),
            contexts: BTreeMap::new(),
            ids: IdAllocator::after(0),
            turns: FairQueue::new(TURNS.0, TURNS.1),
            steps: VecDeque::new(),
            seed,
        }
    }

    /// Whether a client may speak by this link; it is bound to its MId by its first message.
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
            client.heard_at = now;
            return Ok(());
        }
        // "*" stands for any client: an operator's choice, for closed networks and demonstrations.
        let Some(realm) = self.allowed.get(mid).or_else(|| self.allowed.get("*")) else {
            return Err(ErrorDescriptor::new(code::UNAUTHORIZED, "not known here"));
        };
        if let Some(other) = self.by_mid.get(mid).and_then(|link| self.clients.get(link)) {
            // Guards against one client that takes another's place: the first to speak keeps it while it does.
            if now < other.heard_at.saturating_add(SILENT) {
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
            leaving: false,
            leaves_at: None,
            exchange: Exchange::new(settings, self.seed ^ link.0),
            heard_at: now,
            overload: None,
            overload_told: None,
        };
        self.clients.insert(link, client);
        self.by_mid.insert(mid.to_owned(), link);
        Ok(())
    }

    /// The context of a call's session.
    pub(crate) fn context_of(&self, link: LinkId, session: &Session) -> Option<u32> {
        let mut of_link = self.contexts.range((link, 0)..=(link, u32::MAX));
        // A session ends with its context's id.
        let id = session.id.rsplit(';').next().and_then(|id| id.parse::<u32>().ok());
        match id {
            Some(id) => self.contexts.get(&(link, id)).filter(|e| e.session == *session).map(|_| id),
            None => of_link.find(|(_, entry)| entry.session == *session).map(|((_, id), _)| *id),
        }
    }

    pub(crate) fn new_context(&mut self, link: LinkId) -> u32 {
        let contexts = &self.contexts;
        // The highest two ids mean choose and all.
        self.ids.next(|id| id >= 0xffff_fffe || contexts.contains_key(&(link, id)))
    }

    /// A message of this end, as text.
    pub(crate) fn message(&self, transaction: Transaction) -> String {
        let body = baydrift_h248::Body::Transactions(vec![transaction]);
        Message { version: 1, mid: self.mid.clone(), body }.write(Style::Compact)
    }

    /// A whole transaction's reply.
    pub(crate) fn reply(&self, id: u32, immediate_ack: bool, body: ReplyBody) -> Arc<str> {
        let text = self.message(Transaction::Reply { id, immediate_ack, body });
        if text.len() <= REPLY_MAX {
            return text.into();
        }
        let error = ErrorDescriptor::new(code::PDU_TOO_LARGE, "the reply does not fit a datagram");
        self.message(Transaction::Reply { id, immediate_ack, body: ReplyBody::Error(error) }).into()
    }

    /// Whether a client is due a word of overload, and which RequestID it is sent under.
    pub(crate) fn overload_due(&mut self, now: Micros, link: LinkId) -> Option<String> {
        let client = self.clients.get_mut(&link)?;
        let request = client.overload.clone()?;
        if client.overload_told.is_some_and(|at| now < at.saturating_add(OVERLOAD_EVERY)) {
            return None;
        }
        client.overload_told = Some(now);
        Some(request)
    }

    /// A client is gone, with all that it had asked for and all its contexts.
    pub(crate) fn drop_client(&mut self, link: LinkId) {
        self.forget_work(link);
        if let Some(client) = self.clients.remove(&link) {
            if self.by_mid.get(&*client.mid) == Some(&link) {
                self.by_mid.remove(&*client.mid);
            }
        }
    }

    /// A client restarted: what it had asked for is of no use to it.
    pub(crate) fn forget_work(&mut self, link: LinkId) {
        let waited = self.turns.remove_queued(&link);
        let jobs: Vec<_> = self.jobs.keys().copied().filter(|key| key.0 == link).collect();
        for key in jobs {
            self.jobs.remove(&key);
            // What only waited holds no turn.
            let ran = !waited.contains(&key);
            if let Some((_, (link, id))) = ran.then(|| self.turns.finish(&link)).flatten() {
                self.steps.push_back(Step::Run(link, id));
            }
        }
        self.waiting.retain(|_, key| key.0 != link);
        self.contexts.retain(|key, _| key.0 != link);
    }
}

impl Job {
    pub(crate) fn new(link: LinkId, actions: Vec<Action>, began: Micros) -> Self {
        Self {
            link,
            actions: actions.into(),
            commands: VecDeque::new(),
            context: Context::Null,
            replies: Vec::new(),
            began,
            wanted_until: 0,
            waits: None,
        }
    }

    /// Adds a command's reply to its action's.
    pub(crate) fn put(&mut self, kind: CommandKind, termination: &str, descriptors: Vec<Item>) {
        let context = self.context;
        if let Some(action) = self.replies.last_mut() {
            action.context = context;
            action.replies.push(CommandReply { kind, termination: termination.to_owned(), descriptors });
        }
    }

    /// A command failed: unless it was optional the rest of the transaction is not run.
    pub(crate) fn fail(&mut self, command: &Command, error: ErrorDescriptor) {
        let text = error.text.replace('"', "'");
        let item = Item::new("Error")
            .with(error.code.to_string())
            .with_group(vec![Item::new(format!("\"{text}\""))]);
        self.put(command.kind, &command.termination, vec![item]);
        if !command.optional {
            self.commands.clear();
            self.actions.clear();
        }
    }
}

/// The text of a property of Media's LocalControl in a command: `bdc/ctx` and the like.
pub(crate) fn property<'a>(command: &'a Command, name: &str) -> Option<&'a str> {
    let media = command.descriptors.iter().find(|item| item.is("Media", "M"))?;
    let stream = media.find("Stream", "ST").unwrap_or(media);
    let control = stream.find("LocalControl", "O").or_else(|| media.find("LocalControl", "O"))?;
    control.items().iter().find(|item| item.name.eq_ignore_ascii_case(name))?.text()
}

/// The name of a trunk termination; `None` for a termination of the caller's own side.
pub(crate) fn is_trunk(termination: &str) -> bool {
    termination.split('/').next().is_some_and(|kind| kind.eq_ignore_ascii_case("trunk"))
}
