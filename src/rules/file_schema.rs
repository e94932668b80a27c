//! Checks JSON with comments against tables of fields.

use std::collections::HashMap;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::base::findings::{FileFinding, TextPosition, closest_name};

/// One field that an object may have.
#[derive(Debug)]
pub(crate) struct FieldRule {
    /// Key in the file.
    pub(crate) name: &'static str,
    /// What the value must be.
    pub(crate) kind: FieldKind,
    /// Whether the key must be there.
    pub(crate) required: bool,
}

/// What a value must be.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FieldKind {
    /// Text of 1 to this many bytes.
    Text(usize),
    /// A name: letters, digits, `-`, `_`, `.`.
    Name,
    /// An `IP:port` pair.
    Address,
    /// Hexadecimal digits, this many.
    Hex(usize),
    /// A whole number in a closed range.
    Integer(u64, u64),
    /// `true` or `false`.
    Flag,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// An object of these fields.
    Object(&'static [FieldRule]),
    /// A list of objects of these fields.
    List(&'static [FieldRule]),
    /// A list of `IP:port` pairs.
    Addresses,
}

/// A parsed file with its findings and the offsets of its values.
#[derive(Debug)]
pub(crate) struct CheckedFile<'a> {
    file: &'a str,
    text: &'a str,
    /// Byte offsets by path, such as `services[2].name`.
    offsets: HashMap<String, usize>,
    /// The faults found so far.
    pub(crate) findings: Vec<FileFinding>,
}

impl<'a> CheckedFile<'a> {
    /// Parses `text` and checks it against `rules`.
    pub(crate) fn open(file: &'a str, text: &'a str, rules: &'static [FieldRule]) -> Self {
        let mut checked = Self { file, text, offsets: HashMap::new(), findings: Vec::new() };
        match parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()) {
            Err(error) => checked.add(error.range().start, &error.kind().to_string()),
            Ok(parsed) => match &parsed.value {
                Some(Value::Object(object)) => checked.object(object, rules, ""),
                Some(other) => checked.add(other.start(), "expected an object"),
                None => checked.add(0, "the file is empty; expected an object"),
            },
        }
        checked
    }

    /// Adds a finding at a path, or at the start where the path is unknown.
    pub(crate) fn add_at(&mut self, path: &str, text: &str) {
        let offset = self.offsets.get(path).copied().unwrap_or(0);
        self.add(offset, text);
    }

    fn add(&mut self, offset: usize, text: &str) {
        self.findings.push(FileFinding {
            file: self.file.to_owned(),
            position: TextPosition::of(self.text, offset),
            text: text.to_owned(),
        });
    }

    fn object(&mut self, object: &Object<'_>, rules: &'static [FieldRule], path: &str) {
        let mut seen: Vec<&str> = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let rule = rules.iter().find(|rule| rule.name == name);
            if seen.contains(&name) {
                self.add(property.start(), &format!("key `{name}` stands twice"));
            }
            match rule {
                None => self.unknown(property.start(), name, rules),
                Some(rule) => {
                    seen.push(rule.name);
                    let path = join(path, name);
                    self.value(&property.value, rule.kind, &path);
                }
            }
        }
        let missing = rules.iter().filter(|rule| rule.required && !seen.contains(&rule.name));
        for rule in missing {
            self.add(object.start(), &format!("key `{}` is missing", rule.name));
        }
    }

    fn unknown(&mut self, offset: usize, name: &str, rules: &'static [FieldRule]) {
        let hint = match closest_name(name, rules.iter().map(|rule| rule.name)) {
            Some(known) => format!("unknown key `{name}`; did you mean `{known}`?"),
            None => format!("unknown key `{name}`"),
        };
        self.add(offset, &hint);
    }

    fn value(&mut self, value: &Value<'_>, kind: FieldKind, path: &str) {
        self.offsets.insert(path.to_owned(), value.start());
        match (kind, value) {
            (FieldKind::Object(rules), Value::Object(object)) => self.object(object, rules, path),
            (FieldKind::List(rules), Value::Array(array)) => {
                for (index, element) in array.elements.iter().enumerate() {
                    let path = format!("{path}[{index}]");
                    self.value(element, FieldKind::Object(rules), &path);
                }
            }
            (FieldKind::Addresses, Value::Array(array)) => {
                for (index, element) in array.elements.iter().enumerate() {
                    let path = format!("{path}[{index}]");
                    self.value(element, FieldKind::Address, &path);
                }
            }
            _ => {
                if let Some(wrong) = scalar_fault(kind, value) {
                    self.add(value.start(), &wrong);
                }
            }
        }
    }
}

/// Returns what is wrong with a scalar, if anything is.
fn scalar_fault(kind: FieldKind, value: &Value<'_>) -> Option<String> {
    let text = match value {
        Value::StringLit(literal) => Some(literal.value.as_ref()),
        _ => None,
    };
    let number = match value {
        Value::NumberLit(literal) => literal.value.parse().ok(),
        _ => None,
    };
    let (good, wanted) = match kind {
        FieldKind::Text(limit) => (
            text.is_some_and(|text| !text.is_empty() && text.len() <= limit),
            format!("text of 1 to {limit} bytes"),
        ),
        FieldKind::Name => {
            (text.is_some_and(is_name), "a name of letters, digits, `-`, `_`, `.`".to_owned())
        }
        FieldKind::Address => (
            text.is_some_and(|text| text.parse::<std::net::SocketAddr>().is_ok()),
            "an address such as \"10.0.0.7:9000\"".to_owned(),
        ),
        FieldKind::Hex(digits) => (
            text.is_some_and(|text| {
                text.len() == digits && text.bytes().all(|byte| byte.is_ascii_hexdigit())
            }),
            format!("{digits} hexadecimal digits"),
        ),
        FieldKind::Integer(least, most) => (
            number.is_some_and(|number: u64| (least..=most).contains(&number)),
            format!("a whole number from {least} to {most}"),
        ),
        FieldKind::Flag => (matches!(value, Value::BooleanLit(_)), "true or false".to_owned()),
        FieldKind::Choice(words) => (
            text.is_some_and(|text| words.contains(&text)),
            format!("one of: {}", words.join(", ")),
        ),
        FieldKind::Object(_) => (false, "an object".to_owned()),
        FieldKind::List(_) | FieldKind::Addresses => (false, "a list".to_owned()),
    };
    (!good).then(|| format!("expected {wanted}"))
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !text.is_empty() && text.len() <= 64 && text.bytes().all(allowed)
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

/// Returns the keys at the top of a file, for telling its kind.
pub(crate) fn top_keys(text: &str) -> Vec<String> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    match parsed.map(|parsed| parsed.value) {
        Ok(Some(Value::Object(object))) => {
            object.properties.iter().map(|property| property.name.as_str().to_owned()).collect()
        }
        _ => Vec::new(),
    }
}
