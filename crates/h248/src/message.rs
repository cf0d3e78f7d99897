//! Messages, transactions, actions and commands (RFC 3525, sections 6 to 8).

use std::fmt::Write;

use crate::error::ErrorDescriptor;
use crate::item::{write_group, Item, Style};

/// Tokens at the top level, as long and short form of Annex B.2.
///
/// Tokens are kept per scope, because a name is a token only where the grammar expects it: a parameter of an
/// event may be called "E" without being an Events descriptor.
const TOP: &[(&str, &str)] = &[
    ("Context", "C"),
    ("Error", "ER"),
    ("ImmAckRequired", "IA"),
    ("Pending", "PN"),
    ("Reply", "P"),
    ("Transaction", "T"),
    ("TransactionResponseAck", "K"),
];
/// Descriptors of a command.
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
/// Parts of Media and Stream descriptors.
const STREAM: &[(&str, &str)] = &[
    ("Local", "L"),
    ("LocalControl", "O"),
    ("Remote", "R"),
    ("Statistics", "SA"),
    ("Stream", "ST"),
    ("TerminationState", "TS"),
];
/// Parameters of a ServiceChange descriptor.
const SERVICES: &[(&str, &str)] = &[
    ("Delay", "DL"),
    ("Method", "MT"),
    ("MgcIdToTry", "MG"),
    ("Profile", "PF"),
    ("Reason", "RE"),
    ("ServiceChangeAddress", "AD"),
    ("Version", "V"),
];
/// Properties of a LocalControl descriptor.
const CONTROL: &[(&str, &str)] = &[("Mode", "MO"), ("ReserveGroup", "RG"), ("ReserveValue", "RV")];

/// Scope of an item in a message, which determines the tokens that apply to its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scope {
    Top,
    Context,
    Command,
    Stream,
    Services,
    Control,
    Audit,
    Other,
}

impl Scope {
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

    /// Scope of the items in the group of an item with this long name.
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

    /// Long form of a token of this scope; other names are returned unchanged.
    pub(crate) fn long(self, name: &str) -> &str {
        let is = |token: &str| token.eq_ignore_ascii_case(name);
        self.tokens().iter().find(|(long, short)| is(long) || is(short)).map_or(name, |(long, _)| long)
    }

    /// Form of a long token in a style; other names are returned unchanged.
    pub(crate) fn spelling(self, name: &str, style: Style) -> &str {
        let known = self.tokens().iter().find(|(long, _)| *long == name && style == Style::Compact);
        known.map_or(name, |(_, short)| short)
    }
}

/// Replaces all tokens of an item and its group by their long form.
pub(crate) fn canonical(item: Item, scope: Scope) -> Item {
    let name = scope.long(&item.name).to_owned();
    let inner = scope.inside(&name);
    let group = item.group.map(|group| group.into_iter().map(|item| canonical(item, inner)).collect());
    Item { name, group, ..item }
}

/// ContextID.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Context {
    /// Null context, `-`.
    Null,
    /// Choose wildcard, `$`: the gateway creates a context.
    Choose,
    /// All wildcard, `*`.
    All,
    /// A specific context.
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

/// Commands of RFC 3525, section 7.2.
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
    /// All commands, each with its long and its short token.
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

    /// Long token.
    pub fn name(self) -> &'static str {
        Self::ALL.iter().find(|(kind, ..)| *kind == self).map_or("", |(_, long, _)| long)
    }
}

/// Command of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// Command name.
    pub kind: CommandKind,
    /// Prefix `O-`: a failure of the command does not end the transaction.
    pub optional: bool,
    /// Prefix `W-`: a wildcarded response is requested.
    pub wildcard: bool,
    /// TerminationID.
    pub termination: String,
    /// Descriptors, with tokens in their long form.
    pub descriptors: Vec<Item>,
}

/// Action of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Action {
    /// Context that the action applies to.
    pub context: Context,
    /// Commands, in order.
    pub commands: Vec<Command>,
}

/// Reply to a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandReply {
    /// Command name.
    pub kind: CommandKind,
    /// TerminationID.
    pub termination: String,
    /// Descriptors; an error descriptor among them if the command failed.
    pub descriptors: Vec<Item>,
}

/// Reply to an action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActionReply {
    /// Context that the action applies to.
    pub context: Context,
    /// Replies to the commands, in order.
    pub replies: Vec<CommandReply>,
    /// Error that ended the action.
    pub error: Option<ErrorDescriptor>,
}

/// Content of a transaction reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplyBody {
    /// The whole transaction failed.
    Error(ErrorDescriptor),
    /// Replies to the actions, in order.
    Actions(Vec<ActionReply>),
}

/// Transaction of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transaction {
    /// TransactionRequest.
    Request {
        /// TransactionID.
        id: u32,
        /// Actions, in order.
        actions: Vec<Action>,
    },
    /// TransactionReply.
    Reply {
        /// TransactionID.
        id: u32,
        /// `ImmAckRequired`: the sender requests an immediate acknowledgement.
        immediate_ack: bool,
        /// Content.
        body: ReplyBody,
    },
    /// TransactionPending, with its TransactionID.
    Pending(u32),
    /// TransactionResponseAck: ranges of TransactionIDs, first and last, both inclusive.
    Ack(Vec<(u32, u32)>),
}

/// Body of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Message-level error: the message received could not be parsed.
    Error(ErrorDescriptor),
    /// Transactions, in order.
    Transactions(Vec<Transaction>),
}

/// Megaco message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Protocol version.
    pub version: u32,
    /// Message identifier (`mId`) of the sender.
    pub mid: String,
    /// Body.
    pub body: Body,
}

pub(crate) fn error_item(error: &ErrorDescriptor) -> Item {
    // The grammar has no escape for a quote within a quoted string.
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
        let equal = if style == Style::Pretty { " = " } else { "=" };
        let name = |long| Scope::Top.spelling(long, style);
        match self {
            Self::Request { id, actions } => {
                let _ = write!(to, "{}{equal}{id}", name("Transaction"));
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
                write_group(&actions.iter().map(action).collect::<Vec<_>>(), style, 0, Scope::Top, to);
            }
            Self::Reply { id, immediate_ack, body } => {
                let _ = write!(to, "{}{equal}{id}", name("Reply"));
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
                write_group(&items, style, 0, Scope::Top, to);
            }
            Self::Pending(id) => {
                let _ = write!(to, "{}{equal}{id}{{}}", name("Pending"));
            }
            Self::Ack(ranges) => {
                let range = |(first, last): &(u32, u32)| {
                    Item::new(if first == last { first.to_string() } else { format!("{first}-{last}") })
                };
                to.push_str(name("TransactionResponseAck"));
                write_group(&ranges.iter().map(range).collect::<Vec<_>>(), style, 0, Scope::Top, to);
            }
        }
    }
}

impl Message {
    /// Writes the message as text.
    pub fn write(&self, style: Style) -> String {
        let mut to = String::new();
        let start = if style == Style::Pretty { "MEGACO" } else { "!" };
        let _ = write!(to, "{start}/{} {}", self.version, self.mid);
        let separate = |to: &mut String| to.push(if style == Style::Pretty { '\n' } else { ' ' });
        match &self.body {
            Body::Error(error) => {
                separate(&mut to);
                error_item(error).write(style, 0, Scope::Top, &mut to);
            }
            Body::Transactions(transactions) => transactions.iter().for_each(|transaction| {
                separate(&mut to);
                transaction.write(style, &mut to);
            }),
        }
        to
    }
}
