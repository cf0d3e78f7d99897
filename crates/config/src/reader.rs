//! Reading KDL nodes with an eye on all that is wrong, not on the first error alone.

use std::cell::RefCell;
use std::rc::Rc;

use baydrift::interface::Micros;
use kdl::{KdlDocument, KdlNode, KdlValue};
use miette::{Diagnostic, NamedSource, SourceSpan};

/// One thing that is wrong, with its place.
#[derive(Debug, Clone, thiserror::Error, Diagnostic, PartialEq, Eq)]
#[error("{line}:{column}: {text}")]
pub struct Problem {
    /// What.
    pub text: String,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What to do.
    #[help]
    pub hint: Option<String>,
    /// Where.
    #[label("here")]
    pub span: SourceSpan,
}

/// A configuration that cannot be used: all that is wrong with it.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{name}: {} problem{} in the configuration", problems.len(), if problems.len() == 1 { "" } else { "s" })]
pub struct ConfigError {
    /// The file's name.
    pub name: String,
    /// Its text.
    #[source_code]
    pub source_code: NamedSource<String>,
    /// What is wrong, in order of place.
    #[related]
    pub problems: Vec<Problem>,
}

/// Collects problems while a document is read.
#[derive(Debug, Clone)]
pub struct Problems {
    text: Rc<str>,
    found: Rc<RefCell<Vec<Problem>>>,
}

impl Problems {
    /// None yet, for a document's text.
    pub fn new(text: &str) -> Self {
        Self { text: text.into(), found: Rc::default() }
    }

    /// Adds one.
    pub fn add(&self, span: SourceSpan, text: impl Into<String>, hint: Option<&str>) {
        let before = self.text.get(..span.offset().min(self.text.len())).unwrap_or("");
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        let hint = hint.map(str::to_owned);
        self.found.borrow_mut().push(Problem { text: text.into(), line, column, hint, span });
    }

    /// An error, if there were any.
    ///
    /// # Errors
    /// All problems in order of place.
    pub fn finish(self, name: &str) -> Result<(), ConfigError> {
        let mut problems = self.found.take();
        if problems.is_empty() {
            return Ok(());
        }
        problems.sort_by_key(|p| (p.line, p.column));
        let source_code = NamedSource::new(name, self.text.to_string());
        Err(ConfigError { name: name.into(), source_code, problems })
    }
}

/// Parses a document's grammar.
///
/// # Errors
/// Where the text is no KDL.
pub fn parse_document(name: &str, text: &str) -> Result<(KdlDocument, Problems), ConfigError> {
    let problems = Problems::new(text);
    match KdlDocument::parse(text) {
        Ok(document) => Ok((document, problems)),
        Err(error) => {
            for diagnostic in &error.diagnostics {
                let what = diagnostic.message.clone().unwrap_or_else(|| "not KDL".into());
                problems.add(diagnostic.span, what, diagnostic.help.as_deref());
            }
            if error.diagnostics.is_empty() {
                problems.add((0, 0).into(), "not KDL", None);
            }
            Err(problems.finish(name).expect_err("one was added"))
        }
    }
}

/// The place of a node's name.
pub fn span_of(node: &KdlNode) -> SourceSpan {
    node.name().span()
}

/// A node being read: what is never asked for is unknown and reported as such.
#[derive(Debug)]
pub struct Node<'a> {
    /// The node itself.
    pub node: &'a KdlNode,
    problems: Problems,
    asked: RefCell<Vec<&'static str>>,
}

impl<'a> Node<'a> {
    /// Starts to read a node.
    pub fn new(node: &'a KdlNode, problems: &Problems) -> Self {
        Self { node, problems: problems.clone(), asked: RefCell::default() }
    }

    /// Its place.
    pub fn span(&self) -> SourceSpan {
        span_of(self.node)
    }

    /// Adds a problem with this node.
    pub fn report(&self, text: impl Into<String>, hint: Option<&str>) {
        self.problems.add(self.span(), text, hint);
    }

    /// Adds a problem with one of its settings, at that setting's place.
    pub fn report_at(&self, key: &'static str, text: impl Into<String>, hint: Option<&str>) {
        let span = self.value(key).map_or(self.span(), |(_, span)| span);
        self.problems.add(span, text, hint);
    }

    /// A setting: a property of the node, or a child's first argument.
    fn value(&self, key: &'static str) -> Option<(&'a KdlValue, SourceSpan)> {
        self.asked.borrow_mut().push(key);
        if let Some(entry) = self.node.entry(key) {
            return Some((entry.value(), entry.span()));
        }
        let child = self.node.children()?.get(key)?;
        match child.entries().iter().find(|e| e.name().is_none()) {
            Some(entry) => Some((entry.value(), entry.span())),
            None => {
                self.problems.add(span_of(child), format!("{key} needs a value"), None);
                None
            }
        }
    }

    /// Whether a setting is there, in whatever form.
    pub fn has(&self, key: &'static str) -> bool {
        self.value(key).is_some()
    }

    /// The node's first argument, its name.
    pub fn name(&self, what: &str) -> String {
        let first = self.node.entries().iter().find(|e| e.name().is_none());
        match first.map(|e| e.value()) {
            Some(KdlValue::String(text)) if !text.is_empty() => text.clone(),
            _ => {
                self.report(format!("{} needs {what} in quotes", self.node.name().value()), None);
                String::new()
            }
        }
    }

    /// Children of a name.
    pub fn children(&self, key: &'static str) -> Vec<Node<'a>> {
        self.asked.borrow_mut().push(key);
        let nodes = self.node.children().map_or(&[][..], |c| c.nodes());
        nodes.iter().filter(|n| n.name().value() == key).map(|n| Node::new(n, &self.problems)).collect()
    }

    /// A text, if it is there.
    pub fn text(&self, key: &'static str) -> Option<String> {
        let (value, span) = self.value(key)?;
        let text = value.as_string().filter(|text| !text.is_empty());
        if text.is_none() {
            self.problems.add(span, format!("{key} wants a text"), Some("put it in quotes"));
        }
        text.map(str::to_owned)
    }

    /// All arguments of children of a name, as texts.
    pub fn texts(&self, key: &'static str) -> Vec<String> {
        let mut all = Vec::new();
        for child in self.children(key) {
            for entry in child.node.entries() {
                match entry.value().as_string() {
                    Some(text) => all.push(text.to_owned()),
                    None => self.problems.add(
                        entry.span(),
                        format!("{key} wants texts"),
                        Some("put it in quotes"),
                    ),
                }
            }
        }
        all
    }

    /// A text that must be there.
    pub fn required_text(&self, key: &'static str) -> String {
        self.required(key, self.text(key)).unwrap_or_default()
    }

    /// What must be there; a value of the wrong form was reported already.
    fn required<T>(&self, key: &'static str, value: Option<T>) -> Option<T> {
        if value.is_none() && self.value(key).is_none() {
            self.report(format!("{} lacks {key}", self.node.name().value()), None);
        }
        value
    }

    /// A whole number in a range.
    pub fn integer(&self, key: &'static str, range: std::ops::RangeInclusive<u64>) -> Option<u64> {
        let (value, span) = self.value(key)?;
        let number = value.as_integer().and_then(|n| u64::try_from(n).ok()).filter(|n| range.contains(n));
        if number.is_none() {
            let text = format!("{key} wants a whole number from {} to {}", range.start(), range.end());
            self.problems.add(span, text, None);
        }
        number
    }

    /// A whole number that must be there.
    pub fn required_integer(&self, key: &'static str, range: std::ops::RangeInclusive<u64>) -> u64 {
        let least = *range.start();
        self.required(key, self.integer(key, range)).unwrap_or(least)
    }

    /// A number in a range.
    pub fn number(&self, key: &'static str, range: std::ops::RangeInclusive<f64>) -> Option<f64> {
        let (value, span) = self.value(key)?;
        let number = value.as_float().or(value.as_integer().map(|n| n as f64)).filter(|n| range.contains(n));
        if number.is_none() {
            let text = format!("{key} wants a number from {} to {}", range.start(), range.end());
            self.problems.add(span, text, None);
        }
        number
    }

    /// `#true` or `#false`.
    pub fn flag(&self, key: &'static str) -> Option<bool> {
        let (value, span) = self.value(key)?;
        if value.as_bool().is_none() {
            self.problems.add(span, format!("{key} wants #true or #false"), None);
        }
        value.as_bool()
    }

    /// A span of time with its unit, in a range.
    pub fn time(&self, key: &'static str, range: std::ops::RangeInclusive<Micros>) -> Option<Micros> {
        let (value, span) = self.value(key)?;
        let hint = Some("write it with its unit: \"300ms\", \"1.5s\", \"2m\"");
        let micros = value.as_string().and_then(micros_of);
        match micros {
            None => self.problems.add(span, format!("{key} wants a time with a unit"), hint),
            Some(at) if !range.contains(&at) => {
                let (least, most) = (in_words(*range.start()), in_words(*range.end()));
                self.problems.add(span, format!("{key} wants a time from {least} to {most}"), None);
                return None;
            }
            Some(_) => {}
        }
        micros
    }

    /// An address with a port, on loopback or not.
    pub fn addr(&self, key: &'static str) -> Option<std::net::SocketAddr> {
        let text = self.text(key)?;
        let addr = text.parse().ok();
        if addr.is_none() {
            self.report_at(
                key,
                format!("{key} wants an address and a port, not {text:?}"),
                Some("\"127.0.0.1:3868\""),
            );
        }
        addr
    }

    /// An address that must be there.
    pub fn required_addr(&self, key: &'static str) -> std::net::SocketAddr {
        let none = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        self.required(key, self.addr(key)).unwrap_or(none)
    }

    /// Reports every child and property that was never asked for.
    pub fn reject_unknown_keys(self) {
        let asked = self.asked.borrow();
        let mut known: Vec<_> = asked.to_vec();
        known.sort_unstable();
        known.dedup();
        let hint = if known.is_empty() { None } else { Some(format!("known here: {}", known.join(", "))) };
        let owner = self.node.name().value();
        let nodes = self.node.children().map_or(&[][..], |c| c.nodes());
        let children = nodes.iter().map(|n| (n.name().value(), span_of(n)));
        let names = self.node.entries().iter().filter_map(|e| e.name().map(|n| (n.value(), e.span())));
        for (name, span) in children.chain(names) {
            if !known.contains(&name) {
                self.problems.add(span, format!("{owner} knows no {name}"), hint.as_deref());
            }
        }
    }
}

/// "300ms" and the like in microseconds; `None` without a number and a unit.
fn micros_of(text: &str) -> Option<Micros> {
    let at = text.find(|c: char| c.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(at);
    let number: f64 = number.trim().parse().ok()?;
    let unit = match unit {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "m" | "min" => 6e7,
        "h" => 3.6e9,
        _ => return None,
    };
    (number.is_finite() && number >= 0.0).then_some((number * unit) as Micros)
}

fn in_words(micros: Micros) -> String {
    match micros {
        0 => "0s".into(),
        m if m % 1_000_000 == 0 => format!("{}s", m / 1_000_000),
        m if m % 1_000 == 0 => format!("{}ms", m / 1_000),
        m => format!("{m}us"),
    }
}
