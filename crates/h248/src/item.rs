//! Syntax tree of the text encoding: an item is a name with an optional value and an optional group of items.

use std::fmt::Write;

use crate::message::Scope;

/// Relation between a name and its value (`EQUAL` and `INEQUAL` of Annex B.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// `=`.
    Equal,
    /// `#`.
    Unequal,
    /// `<`.
    Less,
    /// `>`.
    Greater,
}

/// Value of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// Token without quotes and separators.
    Token(String),
    /// Quoted string.
    Quoted(String),
    /// List of values, `[a, b]`.
    List(Vec<Value>),
}

impl Value {
    /// Text of a token or quoted string; `None` for a list.
    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Token(text) | Self::Quoted(text) => Some(text),
            Self::List(_) => None,
        }
    }
}

/// Name with its value, group or octets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Name.
    pub name: String,
    /// Relation and value.
    pub value: Option<(Relation, Value)>,
    /// Items in braces; `None` without braces.
    pub group: Option<Vec<Item>>,
    /// Octets of a Local or Remote descriptor, unescaped.
    pub octets: Option<String>,
    /// Position in the parsed text; not part of the content.
    pub offset: Offset,
}

/// Byte offset in a text.
///
/// All offsets compare equal, so that items compare by content: a message that is written and parsed again
/// equals the original.
#[derive(Debug, Clone, Copy, Default)]
pub struct Offset(pub usize);

impl PartialEq for Offset {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Offset {}

/// Output style of the writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Style {
    /// Short tokens and minimal white space.
    Compact,
    /// Long tokens and one line per item.
    Pretty,
}

impl Item {
    /// Creates an item of a name only.
    pub fn new(name: impl Into<String>) -> Self {
        Self { name: name.into(), value: None, group: None, octets: None, offset: Offset::default() }
    }

    /// Sets the value with relation `=`: as a token if the text is a valid one, else as a quoted string.
    pub fn with(mut self, value: impl Into<String>) -> Self {
        let text = value.into();
        let is_token = !text.is_empty() && text.bytes().all(is_safe);
        self.value = Some((Relation::Equal, if is_token { Value::Token(text) } else { Value::Quoted(text) }));
        self
    }

    /// Sets the group.
    pub fn with_group(mut self, group: Vec<Item>) -> Self {
        self.group = Some(group);
        self
    }

    /// Text of the value; `None` without a value and for a list.
    pub fn text(&self) -> Option<&str> {
        self.value.as_ref().and_then(|(_, value)| value.text())
    }

    /// Whether the name is one of the two forms of a token, ignoring case (Annex B.1: tokens are
    /// case-insensitive).
    pub fn is(&self, long: &str, short: &str) -> bool {
        self.name.eq_ignore_ascii_case(long) || self.name.eq_ignore_ascii_case(short)
    }

    /// Items of the group; empty without a group.
    pub fn items(&self) -> &[Item] {
        self.group.as_deref().unwrap_or_default()
    }

    /// First item of the group whose name is one of the two forms of a token.
    pub fn find(&self, long: &str, short: &str) -> Option<&Item> {
        self.items().iter().find(|item| item.is(long, short))
    }

    pub(crate) fn write(&self, style: Style, depth: usize, scope: Scope, to: &mut String) {
        to.push_str(scope.spelling(&self.name, style));
        if let Some((relation, value)) = &self.value {
            let sign = match relation {
                Relation::Equal => '=',
                Relation::Unequal => '#',
                Relation::Less => '<',
                Relation::Greater => '>',
            };
            let _ = match style {
                Style::Compact => write!(to, "{sign}"),
                Style::Pretty => write!(to, " {sign} "),
            };
            write_value(value, to);
        }
        if let Some(octets) = &self.octets {
            to.push('{');
            octets.chars().for_each(|c| match c {
                '}' => to.push_str("\\}"),
                c => to.push(c),
            });
            to.push('}');
        }
        if let Some(group) = &self.group {
            write_group(group, style, depth, scope.inside(&self.name), to);
        }
    }
}

pub(crate) fn write_group(group: &[Item], style: Style, depth: usize, scope: Scope, to: &mut String) {
    let break_line = |to: &mut String, depth: usize| {
        if style == Style::Pretty {
            to.push('\n');
            (0..depth).for_each(|_| to.push_str("  "));
        }
    };
    if style == Style::Pretty {
        to.push(' ');
    }
    to.push('{');
    for (index, item) in group.iter().enumerate() {
        if index > 0 {
            to.push(',');
        }
        break_line(to, depth + 1);
        item.write(style, depth + 1, scope, to);
    }
    if !group.is_empty() {
        break_line(to, depth);
    }
    to.push('}');
}

fn write_value(value: &Value, to: &mut String) {
    match value {
        Value::Token(text) => to.push_str(text),
        Value::Quoted(text) => {
            to.push('"');
            to.push_str(text);
            to.push('"');
        }
        Value::List(values) => {
            to.push('[');
            for (index, value) in values.iter().enumerate() {
                if index > 0 {
                    to.push(',');
                }
                write_value(value, to);
            }
            to.push(']');
        }
    }
}

/// Whether a byte may occur in a token: `SafeChar` of Annex B.2, and further characters of identifiers and
/// addresses.
pub(crate) fn is_safe(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"+-&!_/'?@^`~*$\\()%|.".contains(&byte)
}
