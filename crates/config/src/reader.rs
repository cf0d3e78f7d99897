//! Reads KDL nodes and collects all problems, instead of stopping at the first one.

use std::cell::RefCell;
use std::rc::Rc;

use baydrift::interface::Micros;
use kdl::{KdlDocument, KdlNode, KdlValue};
use miette::{Diagnostic, NamedSource, SourceSpan};

/// One problem in a configuration, with its position.
#[derive(Debug, Clone, thiserror::Error, Diagnostic, PartialEq, Eq)]
#[error("{line}:{column}: {text}")]
pub struct Problem {
    /// Description of the problem.
    pub text: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// How to fix it.
    #[help]
    pub hint: Option<String>,
    /// Position in the source text.
    #[label("here")]
    pub span: SourceSpan,
}

/// A configuration that cannot be used, with all its problems.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{name}: {} problem{} in the configuration", problems.len(), if problems.len() == 1 { "" } else { "s" })]
pub struct ConfigError {
    /// Name of the file.
    pub name: String,
    /// Text of the file.
    #[source_code]
    pub source_code: NamedSource<String>,
    /// The problems, sorted by position.
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
    /// Creates an empty collection for a document's text.
    pub fn new(text: &str) -> Self {
        Self { text: text.into(), found: Rc::default() }
    }

    /// Adds a problem at a position.
    pub fn add(&self, span: SourceSpan, text: impl Into<String>, hint: Option<&str>) {
        let before = self.text.get(..span.offset().min(self.text.len())).unwrap_or("");
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        let hint = hint.map(str::to_owned);
        self.found.borrow_mut().push(Problem { text: text.into(), line, column, hint, span });
    }

    /// Returns the collected problems as an error, if there are any.
    ///
    /// # Errors
    /// All problems, sorted by position.
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

/// Parses a KDL document.
///
/// # Errors
/// If the text is not valid KDL.
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
            Err(problems.finish(name).expect_err("a problem was added"))
        }
    }
}

/// Position of a node's name.
pub fn span_of(node: &KdlNode) -> SourceSpan {
    node.name().span()
}

/// A node being read. It records which keys are requested, so that [`Node::reject_unknown_keys`] can report
/// others.
#[derive(Debug)]
pub struct Node<'a> {
    /// The KDL node.
    pub node: &'a KdlNode,
    problems: Problems,
    requested: RefCell<Vec<&'static str>>,
}

impl<'a> Node<'a> {
    /// Wraps a node; its problems are added to `problems`.
    pub fn new(node: &'a KdlNode, problems: &Problems) -> Self {
        Self { node, problems: problems.clone(), requested: RefCell::default() }
    }

    /// Position of the node's name.
    pub fn span(&self) -> SourceSpan {
        span_of(self.node)
    }

    /// Reports a problem with this node.
    pub fn report(&self, text: impl Into<String>, hint: Option<&str>) {
        self.problems.add(self.span(), text, hint);
    }

    /// Reports a problem with one of the node's settings, at the position of that setting.
    pub fn report_at(&self, key: &'static str, text: impl Into<String>, hint: Option<&str>) {
        let span = self.value(key).map_or(self.span(), |(_, span)| span);
        self.problems.add(span, text, hint);
    }

    /// Returns a setting: a property of the node, or the first argument of a child node.
    fn value(&self, key: &'static str) -> Option<(&'a KdlValue, SourceSpan)> {
        self.requested.borrow_mut().push(key);
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

    /// Whether a setting has a value, of any type.
    pub fn has(&self, key: &'static str) -> bool {
        self.value(key).is_some()
    }

    /// The node's first argument, which is its name; `what` describes it for the error message.
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

    /// All child nodes with this name.
    pub fn children(&self, key: &'static str) -> Vec<Node<'a>> {
        self.requested.borrow_mut().push(key);
        let nodes = self.node.children().map_or(&[][..], |c| c.nodes());
        nodes.iter().filter(|n| n.name().value() == key).map(|n| Node::new(n, &self.problems)).collect()
    }

    /// Reads an optional, non-empty string.
    pub fn text(&self, key: &'static str) -> Option<String> {
        let (value, span) = self.value(key)?;
        let text = value.as_string().filter(|text| !text.is_empty());
        if text.is_none() {
            self.problems.add(span, format!("{key} wants a text"), Some("put it in quotes"));
        }
        text.map(str::to_owned)
    }

    /// Reads all arguments of all child nodes with this name as strings.
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

    /// Reads a required string.
    pub fn required_text(&self, key: &'static str) -> String {
        self.required(key, self.text(key)).unwrap_or_default()
    }

    /// Reports a missing required setting. A value of the wrong type is present and was reported before.
    fn required<T>(&self, key: &'static str, value: Option<T>) -> Option<T> {
        if value.is_none() && self.value(key).is_none() {
            self.report(format!("{} lacks {key}", self.node.name().value()), None);
        }
        value
    }

    /// Reads an optional integer within a range.
    pub fn integer(&self, key: &'static str, range: std::ops::RangeInclusive<u64>) -> Option<u64> {
        let (value, span) = self.value(key)?;
        let number = value.as_integer().and_then(|n| u64::try_from(n).ok()).filter(|n| range.contains(n));
        if number.is_none() {
            let text = format!("{key} wants a whole number from {} to {}", range.start(), range.end());
            self.problems.add(span, text, None);
        }
        number
    }

    /// Reads a required integer within a range.
    pub fn required_integer(&self, key: &'static str, range: std::ops::RangeInclusive<u64>) -> u64 {
        let min = *range.start();
        self.required(key, self.integer(key, range)).unwrap_or(min)
    }

    /// Reads an optional number within a range.
    pub fn number(&self, key: &'static str, range: std::ops::RangeInclusive<f64>) -> Option<f64> {
        let (value, span) = self.value(key)?;
        let number = value.as_float().or(value.as_integer().map(|n| n as f64)).filter(|n| range.contains(n));
        if number.is_none() {
            let text = format!("{key} wants a number from {} to {}", range.start(), range.end());
            self.problems.add(span, text, None);
        }
        number
    }

    /// Reads an optional `#true` or `#false`.
    pub fn flag(&self, key: &'static str) -> Option<bool> {
        let (value, span) = self.value(key)?;
        if value.as_bool().is_none() {
            self.problems.add(span, format!("{key} wants #true or #false"), None);
        }
        value.as_bool()
    }

    /// Reads an optional duration with its unit, within a range; the result is in microseconds.
    pub fn time(&self, key: &'static str, range: std::ops::RangeInclusive<Micros>) -> Option<Micros> {
        let (value, span) = self.value(key)?;
        let hint = Some("write it with its unit: \"300ms\", \"1.5s\", \"2m\"");
        let micros = value.as_string().and_then(parse_duration);
        match micros {
            None => self.problems.add(span, format!("{key} wants a time with a unit"), hint),
            Some(value) if !range.contains(&value) => {
                let (min, max) = (format_duration(*range.start()), format_duration(*range.end()));
                self.problems.add(span, format!("{key} wants a time from {min} to {max}"), None);
                return None;
            }
            Some(_) => {}
        }
        micros
    }

    /// Reads an optional IP address with a port.
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

    /// Reads a required IP address with a port.
    pub fn required_addr(&self, key: &'static str) -> std::net::SocketAddr {
        let fallback = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        self.required(key, self.addr(key)).unwrap_or(fallback)
    }

    /// Reports every child node and property whose key was never requested.
    pub fn reject_unknown_keys(self) {
        let requested = self.requested.borrow();
        let mut known: Vec<_> = requested.to_vec();
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

/// Parses a duration such as "300ms" into microseconds; `None` without a number and a known unit.
fn parse_duration(text: &str) -> Option<Micros> {
    let unit_start = text.find(|c: char| c.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(unit_start);
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

/// Formats a duration in the largest of the units s, ms and us that divides it.
fn format_duration(micros: Micros) -> String {
    match micros {
        0 => "0s".into(),
        m if m % 1_000_000 == 0 => format!("{}s", m / 1_000_000),
        m if m % 1_000 == 0 => format!("{}ms", m / 1_000),
        m => format!("{m}us"),
    }
}
