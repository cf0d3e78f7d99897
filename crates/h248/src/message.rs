//! Messages, transactions, actions and commands (RFC 3525, sections 6 to 8).

use std::fmt::Write;

use crate::error::ErrorDescriptor;
use crate::item::{write_group, Item, Style};

/// Tokens of Annex B.2 with their short forms.
const TOKENS: &[(&str, &str)] = &[
    ("Add", "A"),
    ("Audit", "AT"),
    ("AuditCapability", "AC"),
    ("AuditValue", "AV"),
    ("Context", "C"),
    ("ContextAudit", "CA"),
    ("Delay", "DL"),
    ("Disconnected", "DC"),
    ("Error", "ER"),
    ("Events", "E"),
    ("Failover", "FL"),
    ("Forced", "FO"),
    ("Graceful", "GR"),
    ("Handoff", "HO"),
    ("ImmAckRequired", "IA"),
    ("LocalControl", "O"),
    ("Media", "M"),
    ("MgcIdToTry", "MG"),
    ("Method", "MT"),
    ("Mode", "MO"),
    ("Modify", "MF"),
    ("Move", "MV"),
    ("Notify", "N"),
    ("ObservedEvents", "OE"),
    ("Packages", "PG"),
    ("Pending", "PN"),
    ("Priority", "PR"),
    ("Profile", "PF"),
    ("Reason", "RE"),
    ("Reply", "P"),
    ("Restart", "RS"),
    ("ServiceChange", "SC"),
    ("ServiceChangeAddress", "AD"),
    ("Services", "SV"),
    ("Signals", "SG"),
    ("Statistics", "SA"),
    ("Stream", "ST"),
    ("Subtract", "S"),
    ("TerminationState", "TS"),
    ("Transaction", "T"),
    ("TransactionResponseAck", "K"),
    ("Topology", "TP"),
    ("Version", "V"),
];

/// A token as a style spells it; other names as they are.
pub(crate) fn spelled(name: &str, style: Style) -> &str {
    // A prefix of the whole command stays in front of its token: it is written apart.
    let known = TOKENS.iter().find(|(long, short)| long.eq_ignore_ascii_case(name) || *short == name);
    match (known, style) {
        (Some((long, _)), Style::Pretty) => long,
        (Some((_, short)), Style::Compact) => short,
        (None, _) => name,
    }
}

/// A ContextID.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Context {
    /// `-`: the null context.
    Null,
    /// `$`: choose one.
    Choose,
    /// `*`: all.
    All,
    /// One.
    Id(u32),
}

impl Context {
    pub(crate) fn text(self) -> String {
        match self {
            Self::Null => "-".into(),
            Self::Choose => "$".into(),
            Self::All => "*".into(),
            Self::Id(id) => id.to_string(),
        }
    }
}

/// Commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum CommandKind {
    Add,
    Modify,
    Move,
    Subtract,
    AuditValue,
    AuditCapability,
    Notify,
    ServiceChange,
}

impl CommandKind {
    /// All, with their tokens.
    pub const ALL: [(Self, &'static str, &'static str); 8] = [
        (Self::Add, "Add", "A"),
        (Self::Modify, "Modify", "MF"),
        (Self::Move, "Move", "MV"),
        (Self::Subtract, "Subtract", "S"),
        (Self::AuditValue, "AuditValue", "AV"),
        (Self::AuditCapability, "AuditCapability", "AC"),
        (Self::Notify, "Notify", "N"),
        (Self::ServiceChange, "ServiceChange", "SC"),
    ];

    /// Its long token.
    pub fn name(self) -> &'static str {
        Self::ALL.iter().find(|(kind, ..)| *kind == self).map_or("", |(_, long, _)| long)
    }
}

/// A command of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// Which.
    pub kind: CommandKind,
    /// `O-`: its failure does not end the transaction.
    pub optional: bool,
    /// `W-`: a wildcarded answer is wanted.
    pub wildcard: bool,
    /// TerminationID.
    pub termination: String,
    /// Its descriptors.
    pub descriptors: Vec<Item>,
}

/// An action of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Action {
    /// Its context.
    pub context: Context,
    /// Its commands, in order.
    pub commands: Vec<Command>,
}

/// A command's reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandReply {
    /// Which command.
    pub kind: CommandKind,
    /// TerminationID.
    pub termination: String,
    /// Its descriptors, an error descriptor among them where it failed.
    pub descriptors: Vec<Item>,
}

/// An action's reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActionReply {
    /// Its context.
    pub context: Context,
    /// Replies of its commands, in order.
    pub replies: Vec<CommandReply>,
    /// What ended it.
    pub error: Option<ErrorDescriptor>,
}

/// What a reply says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplyBody {
    /// The whole transaction failed.
    Error(ErrorDescriptor),
    /// Replies of its actions, in order.
    Actions(Vec<ActionReply>),
}

/// One of a message's transactions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transaction {
    /// TransactionRequest.
    Request {
        /// TransactionID.
        id: u32,
        /// Its actions.
        actions: Vec<Action>,
    },
    /// TransactionReply.
    Reply {
        /// TransactionID.
        id: u32,
        /// An acknowledgement is wanted at once.
        immediate_ack: bool,
        /// What it says.
        body: ReplyBody,
    },
    /// TransactionPending.
    Pending(u32),
    /// TransactionResponseAck: ranges, both ends within.
    Ack(Vec<(u32, u32)>),
}

/// What a message carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// The last message could not be read.
    Error(ErrorDescriptor),
    /// Transactions.
    Transactions(Vec<Transaction>),
}

/// A message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Version.
    pub version: u32,
    /// mId of its sender.
    pub mid: String,
    /// What it carries.
    pub body: Body,
}

pub(crate) fn error_item(error: &ErrorDescriptor) -> Item {
    // A quoted string has no quotes in it.
    let text = error.text.replace('"', "'");
    let quoted = Item::new(format!("\"{text}\""));
    Item::new("Error").with(error.code.to_string()).grouping(vec![quoted])
}

fn command_item(
    kind: CommandKind,
    prefix: &str,
    termination: &str,
    descriptors: &[Item],
    style: Style,
) -> Item {
    let name = format!("{prefix}{}", spelled(kind.name(), style));
    let item = Item::new(name).with(termination);
    if descriptors.is_empty() {
        item
    } else {
        item.grouping(descriptors.to_vec())
    }
}

impl Transaction {
    fn write(&self, style: Style, to: &mut String) {
        let eq = if style == Style::Pretty { " = " } else { "=" };
        let name = |long| spelled(long, style);
        match self {
            Self::Request { id, actions } => {
                let _ = write!(to, "{}{eq}{id}", name("Transaction"));
                let action = |action: &Action| {
                    let commands = action.commands.iter().map(|c| {
                        let prefix = match (c.optional, c.wildcard) {
                            (true, true) => "O-W-",
                            (true, false) => "O-",
                            (false, true) => "W-",
                            (false, false) => "",
                        };
                        command_item(c.kind, prefix, &c.termination, &c.descriptors, style)
                    });
                    Item::new("Context").with(action.context.text()).grouping(commands.collect())
                };
                write_group(&actions.iter().map(action).collect::<Vec<_>>(), style, 0, to);
            }
            Self::Reply { id, immediate_ack, body } => {
                let _ = write!(to, "{}{eq}{id}", name("Reply"));
                let mut items = Vec::new();
                items.extend(immediate_ack.then(|| Item::new("ImmAckRequired")));
                match body {
                    ReplyBody::Error(error) => items.push(error_item(error)),
                    ReplyBody::Actions(actions) => items.extend(actions.iter().map(|action| {
                        let replies = action.replies.iter();
                        let mut inner: Vec<_> = replies
                            .map(|r| command_item(r.kind, "", &r.termination, &r.descriptors, style))
                            .collect();
                        inner.extend(action.error.as_ref().map(error_item));
                        Item::new("Context").with(action.context.text()).grouping(inner)
                    })),
                }
                write_group(&items, style, 0, to);
            }
            Self::Pending(id) => {
                let _ = write!(to, "{}{eq}{id}{{}}", name("Pending"));
            }
            Self::Ack(ranges) => {
                let range = |(from, to): &(u32, u32)| {
                    Item::new(if from == to { from.to_string() } else { format!("{from}-{to}") })
                };
                to.push_str(name("TransactionResponseAck"));
                write_group(&ranges.iter().map(range).collect::<Vec<_>>(), style, 0, to);
            }
        }
    }
}

impl Message {
    /// The message as text.
    pub fn write(&self, style: Style) -> String {
        let mut to = String::new();
        let start = if style == Style::Pretty { "MEGACO" } else { "!" };
        let _ = write!(to, "{start}/{} {}", self.version, self.mid);
        let separate = |to: &mut String| to.push(if style == Style::Pretty { '\n' } else { ' ' });
        match &self.body {
            Body::Error(error) => {
                separate(&mut to);
                error_item(error).write(style, 0, &mut to);
            }
            Body::Transactions(transactions) => transactions.iter().for_each(|transaction| {
                separate(&mut to);
                transaction.write(style, &mut to);
            }),
        }
        to
    }
}
