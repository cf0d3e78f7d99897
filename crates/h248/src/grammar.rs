//! Combinator grammar that parses the text encoding into a syntax tree.

use winnow::ascii::digit1;
use winnow::combinator::{alt, cut_err, delimited, opt, preceded, separated};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::Location;
use winnow::token::{any, one_of, take_while};
use winnow::LocatingSlice;

use crate::error::{code, Error};
use crate::item::{is_safe, Item, Offset, Relation, Value};

/// Maximum length of a message text in bytes.
pub const TEXT_MAX: usize = 64 * 1024;
/// Maximum nesting depth; valid messages need 8.
pub const DEPTH_MAX: usize = 24;

pub(crate) type Input<'a> = LocatingSlice<&'a str>;
type ParseResult<T> = winnow::Result<T, winnow::error::ErrMode<ContextError>>;

fn expected(description: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(description))
}

/// `LWSP` of Annex B.2: white space, line ends, and comments from `;` to the end of the line.
pub(crate) fn lwsp(input: &mut Input<'_>) -> ParseResult<()> {
    loop {
        take_while(0.., (' ', '\t', '\r', '\n')).void().parse_next(input)?;
        if opt(';').parse_next(input)?.is_none() {
            return Ok(());
        }
        take_while(0.., |c| c != '\n' && c != '\r').void().parse_next(input)?;
    }
}

fn separator<'a>(
    separator: char,
    description: &'static str,
) -> impl Parser<Input<'a>, char, winnow::error::ErrMode<ContextError>> {
    delimited(lwsp, separator, lwsp).context(expected(description))
}

fn token<'a>(input: &mut Input<'a>) -> ParseResult<&'a str> {
    take_while(1.., |c: char| u8::try_from(c).is_ok_and(is_safe))
        .context(expected("a name"))
        .parse_next(input)
}

/// Parses an `mId`, which may also occur as a value: `<domain>` or `[address]`, with an optional port.
///
/// Text in brackets that is not an address is a list.
fn message_id(input: &mut Input<'_>) -> ParseResult<String> {
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

/// Creates a list value. A list of a single address becomes a token, since its text is the same as that of an
/// `mId` and has to parse to the same value.
fn list(values: Vec<Value>) -> Value {
    match &values[..] {
        [Value::Token(only)] if is_address(only) => Value::Token(format!("[{only}]")),
        _ => Value::List(values),
    }
}

fn quoted(input: &mut Input<'_>) -> ParseResult<Value> {
    let text = |c: char| c != '"' && (c >= ' ' || c == '\t' || c == '\r' || c == '\n');
    delimited('"', take_while(0.., text), cut_err('"').context(expected("a closing quote")))
        .map(|text: &str| Value::Quoted(text.to_owned()))
        .parse_next(input)
}

fn value(depth: usize) -> impl FnMut(&mut Input<'_>) -> ParseResult<Value> {
    move |input: &mut Input<'_>| {
        if depth > DEPTH_MAX {
            return Err(winnow::error::ErrMode::Cut(nesting_error()));
        }
        let values =
            delimited(('[', lwsp), separated(1.., value(depth + 1), separator(',', "a comma")), (lwsp, ']'));
        alt((
            quoted,
            message_id.map(Value::Token),
            values.map(list),
            token.map(|t| Value::Token(t.to_owned())),
        ))
        .context(expected("a value"))
        .parse_next(input)
    }
}

fn nesting_error() -> ContextError {
    let mut error = ContextError::new();
    error.push(StrContext::Label("nested too deep"));
    error
}

fn relation(input: &mut Input<'_>) -> ParseResult<Relation> {
    delimited(lwsp, one_of(['=', '#', '<', '>']), lwsp)
        .map(|sign| match sign {
            '=' => Relation::Equal,
            '#' => Relation::Unequal,
            '<' => Relation::Less,
            _ => Relation::Greater,
        })
        .parse_next(input)
}

/// Parses the octets of a Local or Remote descriptor (`octetString`): all up to the first `}` that is not
/// escaped by a backslash.
fn octets(input: &mut Input<'_>) -> ParseResult<String> {
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

pub(crate) fn item(depth: usize) -> impl FnMut(&mut Input<'_>) -> ParseResult<Item> {
    move |input: &mut Input<'_>| {
        if depth > DEPTH_MAX {
            return Err(winnow::error::ErrMode::Cut(nesting_error()));
        }
        let offset = Offset(input.current_token_start());
        // The group of an error descriptor is a quoted string without a name.
        let text = ('"', take_while(0.., |c| c != '"'), cut_err('"').context(expected("a closing quote")));
        let name = alt((text.take(), token)).parse_next(input)?.to_owned();
        let bare = Item { offset, ..Item::new(name) };
        if bare.is("Local", "L") || bare.is("Remote", "R") {
            preceded(lwsp, '{').context(expected("an opening brace")).parse_next(input)?;
            return Ok(Item { octets: Some(cut_err(octets).parse_next(input)?), ..bare });
        }
        let relation = opt(relation).parse_next(input)?;
        let value = match relation {
            Some(relation) => Some((relation, cut_err(value(depth)).parse_next(input)?)),
            None => None,
        };
        let group = match opt((lwsp, '{', lwsp)).parse_next(input)? {
            Some(_) => {
                let items = separated(0.., item(depth + 1), separator(',', "a comma")).parse_next(input)?;
                cut_err((lwsp, '}').context(expected("a comma or a closing brace"))).parse_next(input)?;
                Some(items)
            }
            None => None,
        };
        Ok(Item { value, group, ..bare })
    }
}

/// Parts of the start line and the items that follow it.
#[derive(Debug)]
pub(crate) struct SyntaxTree {
    pub(crate) version: u32,
    pub(crate) mid: String,
    pub(crate) items: Vec<Item>,
}

fn device_name(input: &mut Input<'_>) -> ParseResult<String> {
    token.map(str::to_owned).parse_next(input)
}

fn message(input: &mut Input<'_>) -> ParseResult<SyntaxTree> {
    lwsp.parse_next(input)?;
    alt((winnow::ascii::Caseless("MEGACO"), "!")).context(expected("MEGACO or !")).parse_next(input)?;
    let version = preceded('/', digit1.try_map(str::parse::<u32>))
        .context(expected("/ and a version"))
        .parse_next(input)?;
    lwsp.parse_next(input)?;
    let mid = alt((message_id, device_name)).context(expected("a message identifier")).parse_next(input)?;
    lwsp.parse_next(input)?;
    let mut items = Vec::new();
    // Transactions are not separated by commas.
    while !input.is_empty() {
        items.push(item(0).parse_next(input)?);
        lwsp.parse_next(input)?;
    }
    Ok(SyntaxTree { version, mid, items })
}

/// Parses a text into its syntax tree.
pub(crate) fn parse_tree(text: &str) -> Result<SyntaxTree, Error> {
    if text.len() > TEXT_MAX {
        let what = format!("{} bytes of text; {TEXT_MAX} are read", text.len());
        return Err(Error::at(text, 0, code::PDU_TOO_LARGE, what));
    }
    let mut input = LocatingSlice::new(text);
    message.parse_next(&mut input).map_err(|error| {
        let offset = input.current_token_start();
        let inner = error.into_inner().unwrap_or_default();
        let contexts: Vec<_> = inner.context().map(ToString::to_string).collect();
        let what = match contexts.first() {
            Some(first) if first.contains("nested") => "nested too deep".into(),
            Some(first) => first.clone(),
            None => "not understood".into(),
        };
        Error::at(text, offset, code::SYNTAX_IN_MESSAGE, what)
    })
}
