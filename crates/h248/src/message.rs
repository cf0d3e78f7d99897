//! Messages, transactions, actions and commands (RFC 3525, sections 6 to 8).

use std::fmt::Write;

use crate::error::ErrorDescriptor;
use crate::item::{write_group, Item, Style};

/// Tokens of Annex B.2 with their short forms, by what groups them: a parameter of an event may be called "E"
/// and is no Events descriptor.
const TOP: &[(&str, &str)] = &[
    ("Context", "C"),
    ("Error", "ER"),
    ("ImmAckRequired", "IA"),
    ("Pending", "PN"),
    ("Reply", "P"),
    ("Transaction", "T"),
    ("TransactionResponseAck", "K"),
];
const DESCRIPTORS: &[(&str, &str)] = &[
    ("Audit", "AT"),
    ("DigitMap", "DM"),
    ("Error", "ER"),
    ("EventBuffer", "EB"),
    ("Events", "E"),
    ("Media", "M"),
    ("Modem", "MD"),
    ("Mux", "MX"),
    ("ObservedEvents", "OE"),
    ("Packages", "PG"),
    ("Services", "SV"),
    ("Signals", "SG"),
    ("Statistics", "SA"),
];
const STREAM: &[(&str, &str)] = &[
    ("Local", "L"),
    ("LocalControl", "O"),
    ("Remote", "R"),
    ("Statistics", "SA"),
    ("Stream", "ST"),
    ("TerminationState", "TS"),
];
const SERVICES: &[(&str, &str)] = &[
    ("Delay", "DL"),
    ("Method", "MT"),
    ("MgcIdToTry", "MG"),
    ("Profile", "PF"),
    ("Reason", "RE"),
    ("ServiceChangeAddress", "AD"),
    ("Version", "V"),
];
const CONTROL: &[(&str, &str)] = &[("Mode", "MO"), ("ReserveGroup", "RG"), ("ReserveValue", "RV")];

/// Where an item stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Place {
    Top,
    Context,
    Command,
    Stream,
    Services,
    Control,
    Audit,
    Other,
}

impl Place {
    fn tokens(self) -> &'static [(&'static str, &'static str)] {
        match self {
            Self::Top => TOP,
            Self::Command | Self::Audit => DESCRIPTORS,
            Self::Stream => STREAM,
            Self::Services => SERVICES,
            Self::Control => CONTROL,
            Self::Context | Self::Other => &[],
        }
    }

    /// Where the items that one here groups stand.
    pub(crate) fn inside(self, name: &str) -> Self {
        match (self, name) {
            (Self::Top, "Context") => Self::Context,
            (Self::Context, _) => Self::Command,
            (Self::Command, "Media") | (Self::Stream, "Stream") => Self::Stream,
            (Self::Command, "Services") => Self::Services,
            (Self::Command, "Audit") => Self::Audit,
            (Self::Stream, "LocalControl") => Self::Control,
            _ => Self::Other,
        }
    }

    /// The long form of a token here; other names as they are.
    pub(crate) fn long(self, name: &str) -> &str {
        let is = |token: &str| token.eq_ignore_ascii_case(name);
        self.tokens().iter().find(|(long, short)| is(long) || is(short)).map_or(name, |(long, _)| long)
    }

    /// A long token as a style spells it.
    pub(crate) fn spelled(self, name: &str, style: Style) -> &str {
        let known = self.tokens().iter().find(|(long, _)| *long == name && style == Style::Compact);
        known.map_or(name, |(_, short)| short)
    }
}

/// An item and all that it groups, with tokens in their long form.
pub(crate) fn canonical(item: Item, place: Place) -> Item {
    let name = place.long(&item.name).to_owned();
    let inside = place.inside(&name);
    let group = item.group.map(|group| group.into_iter().map(|item| canonical(item, inside)).collect());
    Item { name, group, ..item }
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
    Item::new("Error").with(error.code.to_string()).with_group(vec![quoted])
}

fn command_item(
    kind: CommandKind,
    prefix: &str,
    termination: &str,
    descriptors: &[Item],
    style: Style,
) -> Item {
    let token = CommandKind::ALL.iter().find(|(other, ..)| *other == kind);
    let token = token.map_or("", |(_, long, short)| if style == Style::Compact { short } else { long });
    let name = format!("{prefix}{token}");
    let item = Item::new(name).with(termination);
    if descriptors.is_empty() {
        item
    } else {
        item.with_group(descriptors.to_vec())
    }
}

impl Transaction {
    fn write(&self, style: Style, to: &mut String) {
        let eq = if style == Style::Pretty { " = " } else { "=" };
        let name = |long| Place::Top.spelled(long, style);
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
                    Item::new("Context").with(action.context.text()).with_group(commands.collect())
                };
                write_group(&actions.iter().map(action).collect::<Vec<_>>(), style, 0, Place::Top, to);
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
                        Item::new("Context").with(action.context.text()).with_group(inner)
                    })),
                }
                write_group(&items, style, 0, Place::Top, to);
            }
            Self::Pending(id) => {
                let _ = write!(to, "{}{eq}{id}{{}}", name("Pending"));
            }
            Self::Ack(ranges) => {
                let range = |(from, to): &(u32, u32)| {
                    Item::new(if from == to { from.to_string() } else { format!("{from}-{to}") })
                };
                to.push_str(name("TransactionResponseAck"));
                write_group(&ranges.iter().map(range).collect::<Vec<_>>(), style, 0, Place::Top, to);
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
                error_item(error).write(style, 0, Place::Top, &mut to);
            }
            Body::Transactions(transactions) => transactions.iter().for_each(|transaction| {
                separate(&mut to);
                transaction.write(style, &mut to);
            }),
        }
        to
    }
}
