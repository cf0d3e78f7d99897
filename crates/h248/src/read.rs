//! Conversion of the syntax tree to a typed message.

use crate::error::{code, Error, ErrorDescriptor};
use crate::grammar::{parse_tree, SyntaxTree};
use crate::item::{Item, Relation, Value};
use crate::message::{
    canonical, Action, ActionReply, Body, Command, CommandKind, CommandReply, Context, Message, ReplyBody,
    Scope, Transaction,
};

/// Parses a message.
///
/// # Errors
/// If the text is not a valid message. The error has the position, what was expected, and the code for the
/// reply.
pub fn parse(text: &str) -> Result<Message, Error> {
    let SyntaxTree { version, mid, items } = parse_tree(text)?;
    let reader = Reader { text };
    if version == 0 || version > 3 {
        return Err(Error::at(text, 0, code::VERSION, format!("version {version} is not spoken")));
    }
    let body = match &items[..] {
        [] => return Err(Error::at(text, text.len(), code::SYNTAX_IN_MESSAGE, "expected a transaction")),
        [only] if only.is("Error", "ER") => {
            Body::Error(reader.error_descriptor(only, code::SYNTAX_IN_MESSAGE)?)
        }
        items => {
            Body::Transactions(items.iter().map(|item| reader.transaction(item)).collect::<Result<_, _>>()?)
        }
    };
    Ok(Message { version, mid, body })
}

struct Reader<'a> {
    text: &'a str,
}

impl Reader<'_> {
    fn error_at<T>(&self, item: &Item, code: u16, what: impl Into<String>) -> Result<T, Error> {
        Err(Error::at(self.text, item.offset.0, code, what))
    }

    /// Text of the value after `=`.
    fn value<'i>(&self, item: &'i Item, code: u16) -> Result<&'i str, Error> {
        match &item.value {
            Some((Relation::Equal, value)) => match value.text() {
                Some(text) => Ok(text),
                None => self.error_at(item, code, format!("{} wants one value", item.name)),
            },
            _ => self.error_at(item, code, format!("{} wants = and a value", item.name)),
        }
    }

    fn id(&self, item: &Item) -> Result<u32, Error> {
        let text = self.value(item, code::SYNTAX_IN_TRANSACTION)?;
        // TransactionID 0 is reserved (RFC 3525, section 8.1).
        match text.parse::<u32>() {
            Ok(id) if id > 0 => Ok(id),
            _ => self.error_at(item, code::SYNTAX_IN_TRANSACTION, format!("{text} is no TransactionID")),
        }
    }

    fn transaction(&self, item: &Item) -> Result<Transaction, Error> {
        if item.is("Transaction", "T") {
            let id = self.id(item)?;
            let in_transaction = |error: Error| Error { transaction: Some(id), ..error };
            if item.items().is_empty() {
                return self
                    .error_at(item, code::SYNTAX_IN_TRANSACTION, "a transaction has an action")
                    .map_err(in_transaction);
            }
            let actions = item.items().iter().map(|item| self.action(item)).collect::<Result<_, _>>();
            Ok(Transaction::Request { id, actions: actions.map_err(in_transaction)? })
        } else if item.is("Reply", "P") {
            self.reply(item)
        } else if item.is("Pending", "PN") {
            Ok(Transaction::Pending(self.id(item)?))
        } else if item.is("TransactionResponseAck", "K") {
            item.items().iter().map(|item| self.range(item)).collect::<Result<_, _>>().map(Transaction::Ack)
        } else if item.is("Segment", "SM") || item.is("MessageSegment", "MS") {
            self.error_at(item, code::NOT_IMPLEMENTED, "segments are not taken")
        } else {
            self.error_at(item, code::SYNTAX_IN_MESSAGE, format!("{} is no transaction", item.name))
        }
    }

    /// TransactionID or range of them. A range whose last id is less than its first one is rejected.
    fn range(&self, item: &Item) -> Result<(u32, u32), Error> {
        let (first, last) = item.name.split_once('-').unwrap_or((&item.name, &item.name));
        match (first.parse::<u32>(), last.parse::<u32>()) {
            (Ok(first), Ok(last)) if first <= last && item.value.is_none() => Ok((first, last)),
            _ => {
                self.error_at(item, code::SYNTAX_IN_TRANSACTION, format!("{} is no range of ids", item.name))
            }
        }
    }

    fn context(&self, item: &Item) -> Result<Context, Error> {
        if !item.is("Context", "C") {
            return self.error_at(
                item,
                code::SYNTAX_IN_ACTION,
                format!("expected a context, not {}", item.name),
            );
        }
        match self.value(item, code::SYNTAX_IN_ACTION)? {
            "-" => Ok(Context::Null),
            "$" => Ok(Context::Choose),
            "*" => Ok(Context::All),
            text => match text.parse::<u32>() {
                // 0 is the null context; 0xfffffffe and 0xffffffff are the wildcards choose and all
                // (Annex A).
                Ok(id) if id > 0 && id < 0xffff_fffe => Ok(Context::Id(id)),
                _ => self.error_at(item, code::SYNTAX_IN_ACTION, format!("{text} is no ContextID")),
            },
        }
    }

    fn action(&self, item: &Item) -> Result<Action, Error> {
        let context = self.context(item)?;
        // Properties of the context itself (topology, priority) may precede the commands; they are ignored.
        let is_command = |item: &&Item| {
            !(item.is("Topology", "TP") || item.is("Priority", "PR") || item.is("Emergency", "EG"))
        };
        let commands = item.items().iter().filter(is_command).map(|item| self.command(item));
        Ok(Action { context, commands: commands.collect::<Result<_, _>>()? })
    }

    fn kind(&self, item: &Item, name: &str) -> Result<CommandKind, Error> {
        let known = CommandKind::ALL
            .iter()
            .find(|(_, long, short)| name.eq_ignore_ascii_case(long) || name.eq_ignore_ascii_case(short));
        match known {
            Some((kind, ..)) => Ok(*kind),
            None => self.error_at(item, code::UNKNOWN_COMMAND, format!("{name} is no command")),
        }
    }

    fn command(&self, item: &Item) -> Result<Command, Error> {
        let strip = |name: &str, prefix: &str| {
            name.get(..2).filter(|start| start.eq_ignore_ascii_case(prefix)).map(|_| name[2..].to_owned())
        };
        let (optional, name) = match strip(&item.name, "O-") {
            Some(rest) => (true, rest),
            None => (false, item.name.clone()),
        };
        let (wildcard, name) = match strip(&name, "W-") {
            Some(rest) => (true, rest),
            None => (false, name),
        };
        let kind = self.kind(item, &name)?;
        let termination = self.value(item, code::SYNTAX_IN_COMMAND)?.to_owned();
        let descriptors = self.descriptors(item);
        for (index, descriptor) in descriptors.iter().enumerate() {
            let is_same = |other: &Item| other.name.eq_ignore_ascii_case(&descriptor.name);
            if descriptors[..index].iter().any(is_same) {
                let what = format!("{} appears twice", descriptor.name);
                return self.error_at(descriptor, code::DUPLICATE_DESCRIPTOR, what);
            }
        }
        Ok(Command { kind, optional, wildcard, termination, descriptors })
    }

    /// Descriptors of a command, with tokens in their long form.
    fn descriptors(&self, item: &Item) -> Vec<Item> {
        item.items().iter().map(|item| canonical(item.clone(), Scope::Command)).collect()
    }

    fn reply(&self, item: &Item) -> Result<Transaction, Error> {
        let id = self.id(item)?;
        let (mut immediate_ack, mut actions, mut error) = (false, Vec::new(), None);
        for inner in item.items() {
            if inner.is("ImmAckRequired", "IA") {
                immediate_ack = true;
            } else if inner.is("Error", "ER") {
                error = Some(self.error_descriptor(inner, code::SYNTAX_IN_TRANSACTION)?);
            } else {
                actions.push(self.action_reply(inner)?);
            }
        }
        let body = match (error, actions.is_empty()) {
            (Some(error), true) => ReplyBody::Error(error),
            (None, _) => ReplyBody::Actions(actions),
            (Some(_), false) => {
                return self.error_at(
                    item,
                    code::SYNTAX_IN_TRANSACTION,
                    "a reply is an error or actions, not both",
                );
            }
        };
        Ok(Transaction::Reply { id, immediate_ack, body })
    }

    fn action_reply(&self, item: &Item) -> Result<ActionReply, Error> {
        let context = self.context(item)?;
        let (mut replies, mut error) = (Vec::new(), None);
        for inner in item.items() {
            if inner.is("Error", "ER") {
                error = Some(self.error_descriptor(inner, code::SYNTAX_IN_ACTION)?);
                continue;
            }
            let kind = self.kind(inner, &inner.name)?;
            let termination = self.value(inner, code::SYNTAX_IN_COMMAND)?.to_owned();
            replies.push(CommandReply { kind, termination, descriptors: self.descriptors(inner) });
        }
        Ok(ActionReply { context, replies, error })
    }

    fn error_descriptor(&self, item: &Item, syntax_code: u16) -> Result<ErrorDescriptor, Error> {
        let text = self.value(item, syntax_code)?;
        let Ok(code) = text.parse::<u16>() else {
            return self.error_at(item, syntax_code, format!("{text} is no error code"));
        };
        let text = item.items().first().map(|inner| inner.name.trim_matches('"').to_owned());
        Ok(ErrorDescriptor { code, text: text.unwrap_or_default() })
    }
}

impl Value {
    /// Whether the value has the choose wildcard `$`.
    pub fn is_choose(&self) -> bool {
        self.text().is_some_and(|text| text.contains('$'))
    }
}
