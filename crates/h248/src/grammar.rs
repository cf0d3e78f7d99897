//! The grammar, by combinators: from text to a tree.

use winnow::ascii::digit1;
use winnow::combinator::{alt, cut_err, delimited, opt, preceded, separated};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::Location;
use winnow::token::{any, one_of, take_while};
use winnow::LocatingSlice;

use crate::error::{code, Error};
use crate::item::{is_safe, Item, Offset, Relation, Value};

/// Longest text that is read.
pub const TEXT_MAX: usize = 64 * 1024;
/// Deepest nesting that is read: messages need 8.
pub const DEPTH_MAX: usize = 24;

pub(crate) type Input<'a> = LocatingSlice<&'a str>;
type Out<T> = winnow::Result<T, winnow::error::ErrMode<ContextError>>;

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

/// `LWSP`: blanks, line ends, and comments from `;` to the line's end.
pub(crate) fn lwsp(input: &mut Input<'_>) -> Out<()> {
    loop {
        take_while(0.., (' ', '\t', '\r', '\n')).void().parse_next(input)?;
        if opt(';').parse_next(input)?.is_none() {
            return Ok(());
        }
        take_while(0.., |c| c != '\n' && c != '\r').void().parse_next(input)?;
    }
}

fn sign<'a>(
    what: char,
    name: &'static str,
) -> impl Parser<Input<'a>, char, winnow::error::ErrMode<ContextError>> {
    delimited(lwsp, what, lwsp).context(expected(name))
}

fn token<'a>(input: &mut Input<'a>) -> Out<&'a str> {
    take_while(1.., |c: char| u8::try_from(c).is_ok_and(is_safe))
        .context(expected("a name"))
        .parse_next(input)
}

/// An `mId` may stand as a value: `<domain>`, `[address]`, with a port. What stands in brackets and is no
/// address is a list.
fn identity(input: &mut Input<'_>) -> Out<String> {
    let inner = |c: char| c.is_ascii_alphanumeric() || ".:-".contains(c);
    let address = take_while(2..=45, inner).verify(|text: &str| is_address(text));
    let name = alt((('<', take_while(1..=64, inner), '>').take(), ('[', address, ']').take()));
    (name, opt((':', digit1)))
        .take()
        .map(str::to_owned)
        .context(expected("a message identifier"))
        .parse_next(input)
}

fn is_address(text: &str) -> bool {
    text.parse::<std::net::IpAddr>().is_ok()
}

/// A list, but for one of a single address: that is written as an identity is, and shall read back the same.
fn list(values: Vec<Value>) -> Value {
    match &values[..] {
        [Value::Token(only)] if is_address(only) => Value::Token(format!("[{only}]")),
        _ => Value::List(values),
    }
}

fn quoted(input: &mut Input<'_>) -> Out<Value> {
    let text = |c: char| c != '"' && (c >= ' ' || c == '\t' || c == '\r' || c == '\n');
    delimited('"', take_while(0.., text), cut_err('"').context(expected("a closing quote")))
        .map(|text: &str| Value::Quoted(text.to_owned()))
        .parse_next(input)
}

fn value(depth: usize) -> impl FnMut(&mut Input<'_>) -> Out<Value> {
    move |input: &mut Input<'_>| {
        if depth > DEPTH_MAX {
            return Err(winnow::error::ErrMode::Cut(too_deep()));
        }
        let items =
            delimited(('[', lwsp), separated(1.., value(depth + 1), sign(',', "a comma")), (lwsp, ']'));
        alt((quoted, identity.map(Value::Token), items.map(list), token.map(|t| Value::Token(t.to_owned()))))
            .context(expected("a value"))
            .parse_next(input)
    }
}

fn too_deep() -> ContextError {
    let mut error = ContextError::new();
    error.push(StrContext::Label("nested too deep"));
    error
}

fn relation(input: &mut Input<'_>) -> Out<Relation> {
    delimited(lwsp, one_of(['=', '#', '<', '>']), lwsp)
        .map(|sign| match sign {
            '=' => Relation::Equal,
            '#' => Relation::Unequal,
            '<' => Relation::Less,
            _ => Relation::Greater,
        })
        .parse_next(input)
}

/// The octets of a Local or Remote descriptor: all up to `}` that no backslash escapes (`octetString`).
fn octets(input: &mut Input<'_>) -> Out<String> {
    let mut text = String::new();
    loop {
        let c = any.context(expected("a closing brace")).parse_next(input)?;
        match c {
            '}' => return Ok(text),
            '\\' => match opt('}').parse_next(input)? {
                Some(brace) => text.push(brace),
                None => text.push('\\'),
            },
            c => text.push(c),
        }
    }
}

pub(crate) fn item(depth: usize) -> impl FnMut(&mut Input<'_>) -> Out<Item> {
    move |input: &mut Input<'_>| {
        if depth > DEPTH_MAX {
            return Err(winnow::error::ErrMode::Cut(too_deep()));
        }
        let offset = Offset(input.current_token_start());
        // Error descriptors group a bare string.
        let text = ('"', take_while(0.., |c| c != '"'), cut_err('"').context(expected("a closing quote")));
        let name = alt((text.take(), token)).parse_next(input)?.to_owned();
        let plain = Item { offset, ..Item::new(name) };
        if plain.is("Local", "L") || plain.is("Remote", "R") {
            preceded(lwsp, '{').context(expected("an opening brace")).parse_next(input)?;
            return Ok(Item { octets: Some(cut_err(octets).parse_next(input)?), ..plain });
        }
        let related = opt(relation).parse_next(input)?;
        let value = match related {
            Some(relation) => Some((relation, cut_err(value(depth)).parse_next(input)?)),
            None => None,
        };
        let group = match opt((lwsp, '{', lwsp)).parse_next(input)? {
            Some(_) => {
                let items = separated(0.., item(depth + 1), sign(',', "a comma")).parse_next(input)?;
                cut_err((lwsp, '}').context(expected("a comma or a closing brace"))).parse_next(input)?;
                Some(items)
            }
            None => None,
        };
        Ok(Item { value, group, ..plain })
    }
}

/// The start line's parts and the items after it.
#[derive(Debug)]
pub(crate) struct Tree {
    pub(crate) version: u32,
    pub(crate) mid: String,
    pub(crate) items: Vec<Item>,
}

fn device(input: &mut Input<'_>) -> Out<String> {
    token.map(str::to_owned).parse_next(input)
}

fn message(input: &mut Input<'_>) -> Out<Tree> {
    lwsp.parse_next(input)?;
    alt((winnow::ascii::Caseless("MEGACO"), "!")).context(expected("MEGACO or !")).parse_next(input)?;
    let version = preceded('/', digit1.try_map(str::parse::<u32>))
        .context(expected("/ and a version"))
        .parse_next(input)?;
    lwsp.parse_next(input)?;
    let mid = alt((identity, device)).context(expected("a message identifier")).parse_next(input)?;
    lwsp.parse_next(input)?;
    let mut items = Vec::new();
    // Transactions follow each other without commas.
    while !input.is_empty() {
        items.push(item(0).parse_next(input)?);
        lwsp.parse_next(input)?;
    }
    Ok(Tree { version, mid, items })
}

/// A text's tree.
pub(crate) fn tree(text: &str) -> Result<Tree, Error> {
    if text.len() > TEXT_MAX {
        let what = format!("{} bytes of text; {TEXT_MAX} are read", text.len());
        return Err(Error::at(text, 0, code::PDU_TOO_LARGE, what));
    }
    let mut input = LocatingSlice::new(text);
    message.parse_next(&mut input).map_err(|error| {
        let offset = input.current_token_start();
        let inner = error.into_inner().unwrap_or_default();
        let told: Vec<_> = inner.context().map(ToString::to_string).collect();
        let what = match told.first() {
            Some(first) if first.contains("nested") => "nested too deep".into(),
            Some(first) => first.clone(),
            None => "not understood".into(),
        };
        Error::at(text, offset, code::SYNTAX_IN_MESSAGE, what)
    })
}
