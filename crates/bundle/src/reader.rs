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

/// A value of the text and its path.
#[derive(Debug)]
pub(crate) struct Item<'n> {
    pub(crate) key: String,
    node: &'n Spanned<Node>,
}

/// A mapping whose keys are taken one after the other, so that the rest is known to be unknown.
#[derive(Debug)]
pub(crate) struct Map<'n> {
    key: String,
    /// Whether the value is a mapping at all; if not, its keys are not reported as missing.
    readable: bool,
    rest: Vec<&'n (Spanned<String>, Spanned<Node>)>,
    known: Vec<&'static str>,
}

/// Reads typed values out of a tree of nodes and collects the faults.
///
/// Every method gives a default when the value cannot be read, after adding a fault for its key.
#[derive(Debug)]
pub(crate) struct Reader<'t> {
    lines: Vec<&'t str>,
    pub(crate) faults: Faults,
}

impl<'t> Reader<'t> {
    pub(crate) fn new(text: &'t str) -> Reader<'t> {
        Reader { lines: text.lines().collect(), faults: Faults::default() }
    }

    /// The root of the text.
    pub(crate) fn root<'n>(&mut self, node: &'n Spanned<Node>) -> Item<'n> {
        self.item(String::new(), node)
    }

    /// Reads a mapping.
    pub(crate) fn map<'n>(&mut self, item: &Item<'n>) -> Map<'n> {
        let key = item.key.clone();
        let (readable, rest) = match &item.node.value {
            Node::Map(entries) => (true, entries.iter().collect()),
            _ => {
                self.faults.add(&key, "expected a mapping", "write `key: value` pairs");
                (false, Vec::new())
            }
        };
        Map { key, readable, rest, known: Vec::new() }
    }

    /// Takes a key that must be there.
    pub(crate) fn required<'n>(
        &mut self,
        map: &mut Map<'n>,
        name: &'static str,
    ) -> Option<Item<'n>> {
        let item = self.optional(map, name);
        if item.is_none() && map.readable {
            let key = join(&map.key, name);
            self.faults.add(&key, "the key is missing", format!("add `{name}:`"));
        }
        item
    }

    /// Takes a key that may be absent.
    pub(crate) fn optional<'n>(
        &mut self,
        map: &mut Map<'n>,
        name: &'static str,
    ) -> Option<Item<'n>> {
        map.known.push(name);
        let at = map.rest.iter().position(|(key, _)| key.value == name)?;
        let (_, node) = map.rest.remove(at);
        Some(self.item(join(&map.key, name), node))
    }

    /// Reports the keys that were not taken.
    pub(crate) fn finish(&mut self, map: Map<'_>) {
        for (name, _) in map.rest {
            let key = join(&map.key, &name.value);
            self.faults.locate(&key, position(name.referenced));
            let help = format!("use one of: {}", map.known.join(", "));
            self.faults.add(&key, "unknown key", help);
        }
    }

    /// Reads a sequence.
    pub(crate) fn list<'n>(&mut self, item: &Item<'n>) -> Vec<Item<'n>> {
        let Node::List(nodes) = &item.node.value else {
            self.faults.add(&item.key, "expected a list", "write `[]` or one `- item` a line");
            return Vec::new();
        };
        let keyed = nodes.iter().enumerate();
        keyed.map(|(i, node)| self.item(format!("{}[{i}]", item.key), node)).collect()
    }

    /// Reads a text.
    pub(crate) fn text(&mut self, item: &Item<'_>) -> CompactString {
        match self.scalar(item) {
            Some(text) => text.into(),
            None => {
                self.faults.add(&item.key, "expected a text", "write a single value");
                CompactString::default()
            }
        }
    }

    /// Reads a whole number.
    pub(crate) fn number<T: TryFrom<u64> + Default>(&mut self, item: &Item<'_>) -> T {
        let number = self.scalar(item).and_then(|text| text.parse::<u64>().ok());
        let number = number.and_then(|number| T::try_from(number).ok());
        number.unwrap_or_else(|| {
            let bits = 8 * size_of::<T>();
            let help = format!("write a whole number of at most {bits} bits in decimal digits");
            self.faults.add(&item.key, "expected a whole number", help);
            T::default()
        })
    }

    /// Reads a record key of 1 to 16 hexadecimal digits.
    pub(crate) fn hex(&mut self, item: &Item<'_>) -> u64 {
        let text = self.scalar(item).unwrap_or_default();
        let digits_only = text.bytes().all(|b| b.is_ascii_hexdigit());
        match u64::from_str_radix(&text, 16) {
            Ok(key) if digits_only => key,
            _ => {
                let help = "write 1 to 16 hexadecimal digits, such as 7fffffffffffffff";
                self.faults.add(&item.key, "expected a record key", help);
                0
            }
        }
    }

    /// Reads one of the words of an enum; `fallback` stands in for an unreadable one.
    pub(crate) fn word<T: for<'de> Deserialize<'de>>(&mut self, item: &Item<'_>, fallback: T) -> T {
        let text = self.scalar(item).unwrap_or_default();
        T::deserialize(text.into_deserializer()).unwrap_or_else(|e: VariantError| {
            self.faults.add(&item.key, e.to_string(), "write one of the expected words");
            fallback
        })
    }

    fn item<'n>(&mut self, key: String, node: &'n Spanned<Node>) -> Item<'n> {
        self.faults.locate(&key, position(node.referenced));
        Item { key, node }
    }

    fn scalar(&self, item: &Item<'_>) -> Option<String> {
        match &item.node.value {
            // The library gives floats that are not finite as these texts, so the record key
            // 1e66666666666665 arrives as `.inf`.
            Node::Text(text) if [".inf", "-.inf", ".nan"].contains(&text.as_str()) => {
                Some(self.source(item.node.defined))
            }
            Node::Text(text) => Some(text.clone()),
            Node::Plain => Some(self.source(item.node.defined)),
            Node::List(_) | Node::Map(_) => None,
        }
    }

    fn source(&self, at: Location) -> String {
        let position = position(at);
        let line = self.lines.get(position.line as usize - 1).copied().unwrap_or_default();
        line.chars().skip(position.column as usize - 1).take(at.span().len()).collect()
    }
}

/// The position of a location; the start of the text when the location is unknown.
pub(crate) fn position(at: Location) -> Position {
    let clamp = |n: u64| u32::try_from(n).unwrap_or(u32::MAX).max(1);
    Position { line: clamp(at.line()), column: clamp(at.column()) }
}

fn join(parent: &str, name: &str) -> String {
    if parent.is_empty() { name.to_owned() } else { format!("{parent}.{name}") }
}
