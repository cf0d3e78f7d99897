//! The tree that all text commands share: a name, perhaps a value, perhaps a group of more.

use std::fmt::Write;

use crate::message::Place;

/// How a name and its value stand to each other (`INEQUAL` and `EQUAL` of Annex B.2).
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

/// A value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// A token: no quotes, none of the separators in it.
    Token(String),
    /// A quoted string.
    Quoted(String),
    /// `[a, b]`, or `{a, b}` where a sub-list stands for one value.
    List(Vec<Value>),
}

impl Value {
    /// Its text, quoted or not.
    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Token(text) | Self::Quoted(text) => Some(text),
            Self::List(_) => None,
        }
    }
}

/// A name with what belongs to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its name, as it was written.
    pub name: String,
    /// Its value.
    pub value: Option<(Relation, Value)>,
    /// What it groups; `None` without braces.
    pub group: Option<Vec<Item>>,
    /// The octets of a Local or Remote descriptor, kept as they came, without escapes.
    pub octets: Option<String>,
    /// Where it was read; no part of what it says.
    pub offset: Offset,
}

/// A place in a text. All places are equal, so that what is written reads back the same.
#[derive(Debug, Clone, Copy, Default)]
pub struct Offset(pub usize);

impl PartialEq for Offset {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Offset {}

/// How to write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Style {
    /// Short tokens, no space that is not needed.
    Compact,
    /// Long tokens, a line for each item.
    Pretty,
}

impl Item {
    /// A bare name.
    pub fn new(name: impl Into<String>) -> Self {
        Self { name: name.into(), value: None, group: None, octets: None, offset: Offset::default() }
    }

    /// With a value after `=`: a token where it can be one, else quoted.
    pub fn with(mut self, value: impl Into<String>) -> Self {
        let text = value.into();
        let plain = !text.is_empty() && text.bytes().all(is_safe);
        self.value = Some((Relation::Equal, if plain { Value::Token(text) } else { Value::Quoted(text) }));
        self
    }

    /// With a group.
    pub fn with_group(mut self, group: Vec<Item>) -> Self {
        self.group = Some(group);
        self
    }

    /// The text of its value.
    pub fn text(&self) -> Option<&str> {
        self.value.as_ref().and_then(|(_, value)| value.text())
    }

    /// Whether it has one of these names, whatever the case (Annex B.1: tokens are case-insensitive).
    pub fn is(&self, long: &str, short: &str) -> bool {
        self.name.eq_ignore_ascii_case(long) || self.name.eq_ignore_ascii_case(short)
    }

    /// What it groups, nothing without braces.
    pub fn items(&self) -> &[Item] {
        self.group.as_deref().unwrap_or_default()
    }

    /// The first item of a name in its group.
    pub fn find(&self, long: &str, short: &str) -> Option<&Item> {
        self.items().iter().find(|item| item.is(long, short))
    }

    pub(crate) fn write(&self, style: Style, depth: usize, place: Place, to: &mut String) {
        to.push_str(place.spelled(&self.name, style));
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
            write_group(group, style, depth, place.inside(&self.name), to);
        }
    }
}

pub(crate) fn write_group(group: &[Item], style: Style, depth: usize, place: Place, to: &mut String) {
    let line = |to: &mut String, depth: usize| {
        if style == Style::Pretty {
            to.push('\n');
            (0..depth).for_each(|_| to.push_str("  "));
        }
    };
    if style == Style::Pretty {
        to.push(' ');
    }
    to.push('{');
    for (nth, item) in group.iter().enumerate() {
        if nth > 0 {
            to.push(',');
        }
        line(to, depth + 1);
        item.write(style, depth + 1, place, to);
    }
    if !group.is_empty() {
        line(to, depth);
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
            for (place, value) in values.iter().enumerate() {
                if place > 0 {
                    to.push(',');
                }
                write_value(value, to);
            }
            to.push(']');
        }
    }
}

/// `SafeChar` of Annex B.2, and the few more that identifiers and addresses need.
pub(crate) fn is_safe(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"+-&!_/'?@^`~*$\\()%|.".contains(&byte)
}
