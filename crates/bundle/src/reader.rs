use compact_str::CompactString;
use serde::{
    Deserialize,
    de::{IntoDeserializer, value::Error as VariantError},
};
use serde_saphyr::{Location, Spanned};

use crate::{
    fault::{Faults, Position},
    node::Node,
};

/// A value in the text and its path.
#[derive(Debug)]
pub(crate) struct Value<'n> {
    pub(crate) key: String,
    node: &'n Spanned<Node>,
}

/// A mapping whose known keys are taken one by one. The remaining keys are unknown.
#[derive(Debug)]
pub(crate) struct Mapping<'n> {
    key: String,
    /// Whether the value is a mapping. If not, no missing keys are reported.
    is_valid: bool,
    remaining: Vec<&'n (Spanned<String>, Spanned<Node>)>,
    known_keys: Vec<&'static str>,
}

/// Reads typed values from a tree of nodes and collects the faults.
///
/// If a value can't be read, the methods add a fault for its key and return a default.
#[derive(Debug)]
pub(crate) struct Reader<'t> {
    lines: Vec<&'t str>,
    pub(crate) faults: Faults,
}

impl<'t> Reader<'t> {
    pub(crate) fn new(text: &'t str) -> Reader<'t> {
        Reader { lines: text.lines().collect(), faults: Faults::default() }
    }

    /// Returns the root value of the text.
    pub(crate) fn root<'n>(&mut self, node: &'n Spanned<Node>) -> Value<'n> {
        self.value_at(String::new(), node)
    }

    /// Reads a mapping.
    pub(crate) fn mapping<'n>(&mut self, value: &Value<'n>) -> Mapping<'n> {
        let key = value.key.clone();
        let (is_valid, remaining) = match &value.node.value {
            Node::Mapping(entries) => (true, entries.iter().collect()),
            _ => {
                self.faults.add(&key, "expected a mapping", "write `key: value` pairs");
                (false, Vec::new())
            }
        };
        Mapping { key, is_valid, remaining, known_keys: Vec::new() }
    }

    /// Takes the value of a required key.
    pub(crate) fn take_required<'n>(
        &mut self,
        mapping: &mut Mapping<'n>,
        name: &'static str,
    ) -> Option<Value<'n>> {
        let value = self.take_optional(mapping, name);
        if value.is_none() && mapping.is_valid {
            let key = join(&mapping.key, name);
            self.faults.add(&key, "the key is missing", format!("add `{name}:`"));
        }
        value
    }

    /// Takes the value of an optional key.
    pub(crate) fn take_optional<'n>(
        &mut self,
        mapping: &mut Mapping<'n>,
        name: &'static str,
    ) -> Option<Value<'n>> {
        mapping.known_keys.push(name);
        let index = mapping.remaining.iter().position(|(key, _)| key.value == name)?;
        let (_, node) = mapping.remaining.remove(index);
        Some(self.value_at(join(&mapping.key, name), node))
    }

    /// Adds a fault for each key that was not taken.
    pub(crate) fn reject_unknown_keys(&mut self, mapping: Mapping<'_>) {
        for (name, _) in mapping.remaining {
            let key = join(&mapping.key, &name.value);
            self.faults.set_position(&key, position(name.referenced));
            let help = format!("use one of: {}", mapping.known_keys.join(", "));
            self.faults.add(&key, "unknown key", help);
        }
    }

    /// Reads a sequence.
    pub(crate) fn sequence<'n>(&mut self, value: &Value<'n>) -> Vec<Value<'n>> {
        let Node::Sequence(nodes) = &value.node.value else {
            self.faults.add(&value.key, "expected a list", "write `[]` or one `- item` per line");
            return Vec::new();
        };
        let indexed = nodes.iter().enumerate();
        indexed.map(|(i, node)| self.value_at(format!("{}[{i}]", value.key), node)).collect()
    }

    /// Reads a string.
    pub(crate) fn string(&mut self, value: &Value<'_>) -> CompactString {
        match self.scalar_text(value) {
            Some(text) => text.into(),
            None => {
                self.faults.add(&value.key, "expected a string", "write a single value");
                CompactString::default()
            }
        }
    }

    /// Reads a whole number.
    pub(crate) fn integer<T: TryFrom<u64> + Default>(&mut self, value: &Value<'_>) -> T {
        let number = self.scalar_text(value).and_then(|text| text.parse::<u64>().ok());
        let number = number.and_then(|number| T::try_from(number).ok());
        number.unwrap_or_else(|| {
            let bits = 8 * size_of::<T>();
            let help = format!("write a whole number of at most {bits} bits in decimal digits");
            self.faults.add(&value.key, "expected a whole number", help);
            T::default()
        })
    }

    /// Reads a record key of 1 to 16 hexadecimal digits.
    pub(crate) fn record_key(&mut self, value: &Value<'_>) -> u64 {
        let text = self.scalar_text(value).unwrap_or_default();
        let digits_only = text.bytes().all(|b| b.is_ascii_hexdigit());
        match u64::from_str_radix(&text, 16) {
            Ok(key) if digits_only => key,
            _ => {
                let help = "write 1 to 16 hexadecimal digits, such as 7fffffffffffffff";
                self.faults.add(&value.key, "expected a record key", help);
                0
            }
        }
    }

    /// Reads an enum value, or returns `fallback` if it can't be read.
    pub(crate) fn enum_value<T: for<'de> Deserialize<'de>>(
        &mut self,
        value: &Value<'_>,
        fallback: T,
    ) -> T {
        let text = self.scalar_text(value).unwrap_or_default();
        T::deserialize(text.into_deserializer()).unwrap_or_else(|e: VariantError| {
            self.faults.add(&value.key, e.to_string(), "write one of the expected values");
            fallback
        })
    }

    fn value_at<'n>(&mut self, key: String, node: &'n Spanned<Node>) -> Value<'n> {
        self.faults.set_position(&key, position(node.referenced));
        Value { key, node }
    }

    fn scalar_text(&self, value: &Value<'_>) -> Option<String> {
        match &value.node.value {
            // The YAML library returns non-finite floats as these strings. For example, the record
            // key 1e66666666666665 is returned as `.inf`.
            Node::String(text) if [".inf", "-.inf", ".nan"].contains(&text.as_str()) => {
                Some(self.source_text(value.node.defined))
            }
            Node::String(text) => Some(text.clone()),
            Node::NonString => Some(self.source_text(value.node.defined)),
            Node::Sequence(_) | Node::Mapping(_) => None,
        }
    }

    fn source_text(&self, location: Location) -> String {
        let position = position(location);
        let line = self.lines.get(position.line as usize - 1).copied().unwrap_or_default();
        line.chars().skip(position.column as usize - 1).take(location.span().len()).collect()
    }
}

/// Converts a location to a position. An unknown location becomes the start of the text.
pub(crate) fn position(location: Location) -> Position {
    let clamp = |n: u64| u32::try_from(n).unwrap_or(u32::MAX).max(1);
    Position { line: clamp(location.line()), column: clamp(location.column()) }
}

fn join(parent: &str, name: &str) -> String {
    if parent.is_empty() { name.to_owned() } else { format!("{parent}.{name}") }
}
