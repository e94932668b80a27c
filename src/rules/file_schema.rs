//! Validation of JSON files with comments against a schema of fields.

use std::collections::HashMap;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::base::findings::{FileFinding, TextPosition, closest_name};

/// Schema of one field of an object.
#[derive(Debug)]
pub(crate) struct FieldSchema {
    /// Key of the field.
    pub(crate) name: &'static str,
    /// Type of the value.
    pub(crate) kind: FieldKind,
    /// Whether the field must be present.
    pub(crate) required: bool,
}

/// Type of a value.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FieldKind {
    /// Text of at least 1 byte and at most the given number of bytes.
    Text(usize),
    /// Name of 1 to 64 letters, digits, `-`, `_` and `.`.
    Name,
    /// Address as `IP:port`.
    Address,
    /// Given number of hexadecimal digits.
    Hex(usize),
    /// Whole number in a range that includes both bounds.
    Integer(u64, u64),
    /// `true` or `false`.
    Flag,
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// Object with the given fields.
    Object(&'static [FieldSchema]),
    /// List of objects with the given fields.
    List(&'static [FieldSchema]),
    /// List of addresses as `IP:port`.
    Addresses,
}

/// Parsed file with its findings and the offsets of its values.
#[derive(Debug)]
pub(crate) struct CheckedFile<'a> {
    file: &'a str,
    text: &'a str,
    /// Byte offsets of the values by their path, such as `services[2].name`.
    offsets: HashMap<String, usize>,
    /// Errors found so far.
    pub(crate) findings: Vec<FileFinding>,
}

impl<'a> CheckedFile<'a> {
    /// Parses `text` and checks it against the schema `fields`.
    pub(crate) fn open(file: &'a str, text: &'a str, fields: &'static [FieldSchema]) -> Self {
        let mut checked = Self { file, text, offsets: HashMap::new(), findings: Vec::new() };
        match parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()) {
            Err(error) => checked.add(error.range().start, &error.kind().to_string()),
            Ok(parsed) => match &parsed.value {
                Some(Value::Object(object)) => checked.check_object(object, fields, ""),
                Some(other) => checked.add(other.start(), "expected an object"),
                None => checked.add(0, "the file is empty; expected an object"),
            },
        }
        checked
    }

    /// Adds a finding at a path, or at the start of the file if the path is unknown.
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

    fn check_object(&mut self, object: &Object<'_>, fields: &'static [FieldSchema], path: &str) {
        let mut seen: Vec<&str> = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let field = fields.iter().find(|field| field.name == name);
            if seen.contains(&name) {
                self.add(property.start(), &format!("duplicate key `{name}`"));
            }
            match field {
                None => self.add_unknown(property.start(), name, fields),
                Some(field) => {
                    seen.push(field.name);
                    let path = join_path(path, name);
                    self.check_value(&property.value, field.kind, &path);
                }
            }
        }
        let missing = fields.iter().filter(|field| field.required && !seen.contains(&field.name));
        for field in missing {
            self.add(object.start(), &format!("key `{}` is missing", field.name));
        }
    }

    fn add_unknown(&mut self, offset: usize, name: &str, fields: &'static [FieldSchema]) {
        let message = match closest_name(name, fields.iter().map(|field| field.name)) {
            Some(known) => format!("unknown key `{name}`; did you mean `{known}`?"),
            None => format!("unknown key `{name}`"),
        };
        self.add(offset, &message);
    }

    fn check_value(&mut self, value: &Value<'_>, kind: FieldKind, path: &str) {
        self.offsets.insert(path.to_owned(), value.start());
        match (kind, value) {
            (FieldKind::Object(fields), Value::Object(object)) => {
                self.check_object(object, fields, path);
            }
            (FieldKind::List(fields), Value::Array(array)) => {
                for (index, element) in array.elements.iter().enumerate() {
                    let path = format!("{path}[{index}]");
                    self.check_value(element, FieldKind::Object(fields), &path);
                }
            }
            (FieldKind::Addresses, Value::Array(array)) => {
                for (index, element) in array.elements.iter().enumerate() {
                    let path = format!("{path}[{index}]");
                    self.check_value(element, FieldKind::Address, &path);
                }
            }
            _ => {
                if let Some(message) = scalar_error(kind, value) {
                    self.add(value.start(), &message);
                }
            }
        }
    }
}

/// Returns a message if a value that is not a list or an object has the wrong type.
fn scalar_error(kind: FieldKind, value: &Value<'_>) -> Option<String> {
    let text = match value {
        Value::StringLit(literal) => Some(literal.value.as_ref()),
        _ => None,
    };
    let number = match value {
        Value::NumberLit(literal) => literal.value.parse().ok(),
        _ => None,
    };
    let (valid, expected) = match kind {
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
        FieldKind::Integer(min, max) => (
            number.is_some_and(|number: u64| (min..=max).contains(&number)),
            format!("a whole number from {min} to {max}"),
        ),
        FieldKind::Flag => (matches!(value, Value::BooleanLit(_)), "true or false".to_owned()),
        FieldKind::Choice(words) => (
            text.is_some_and(|text| words.contains(&text)),
            format!("one of: {}", words.join(", ")),
        ),
        FieldKind::Object(_) => (false, "an object".to_owned()),
        FieldKind::List(_) | FieldKind::Addresses => (false, "a list".to_owned()),
    };
    (!valid).then(|| format!("expected {expected}"))
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !text.is_empty() && text.len() <= 64 && text.bytes().all(allowed)
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

/// Returns the top-level keys of a file, by which its kind is recognised.
pub(crate) fn top_keys(text: &str) -> Vec<String> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    match parsed.map(|parsed| parsed.value) {
        Ok(Some(Value::Object(object))) => {
            object.properties.iter().map(|property| property.name.as_str().to_owned()).collect()
        }
        _ => Vec::new(),
    }
}
