use std::{collections::HashMap, fmt};

use serde::Serialize;

/// A place in a bundle's text; line and column count from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Position {
    /// Line.
    pub line: u32,
    /// Column in characters.
    pub column: u32,
}

/// Something in a bundle that must be corrected before it can be rolled out.
///
/// # Examples
///
/// ```
/// let faults = rosemarybank_bundle::parse("format: 2\nservices: 5\nupstreams: []\n").unwrap_err();
/// let format = faults.iter().find(|it| it.key == "format").unwrap();
/// assert_eq!(format.to_string(), "1:9: format: format 2 is not supported (write `format: 1`)");
/// assert!(faults.iter().any(|it| it.key == "services" && it.position.line == 2));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Where the value stands.
    pub position: Position,
    /// Path of the value, such as `services[0].timeout_ms`; empty for the whole text.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// How to correct it.
    pub help: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        let key = if self.key.is_empty() { "bundle" } else { &self.key };
        write!(f, "{line}:{column}: {key}: {} ({})", self.message, self.help)
    }
}

/// The faults found so far, and the place of every key of the text.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    found: Vec<Fault>,
    positions: HashMap<String, Position>,
}

impl Faults {
    /// Records where the value of `key` stands.
    pub(crate) fn locate(&mut self, key: &str, position: Position) {
        self.positions.insert(key.to_owned(), position);
    }

    /// Adds a fault at `key`, unless `key` or something in it is already faulty: a value that
    /// could not be read was replaced by a default, which must not be reported a second time.
    pub(crate) fn add(&mut self, key: &str, message: impl Into<String>, help: impl Into<String>) {
        if self.is_faulty(key) {
            return;
        }
        let position = self.position_of(key);
        let key = key.to_owned();
        self.found.push(Fault { position, key, message: message.into(), help: help.into() });
    }

    /// Adds a fault at a place that has no readable key.
    pub(crate) fn add_at(&mut self, position: Position, message: String, help: &str) {
        self.found.push(Fault { position, key: String::new(), message, help: help.to_owned() });
    }

    /// Whether a fault was found at `key` or in what it contains.
    pub(crate) fn is_faulty(&self, key: &str) -> bool {
        self.found.iter().any(|fault| {
            fault.key.strip_prefix(key).is_some_and(|rest| {
                key.is_empty() || rest.is_empty() || rest.starts_with(['.', '['])
            })
        })
    }

    /// Whether a fault was found at `key` itself.
    pub(crate) fn is_faulty_itself(&self, key: &str) -> bool {
        self.found.iter().any(|fault| fault.key == key)
    }

    /// All faults in the order of the text; empty when there are none.
    pub(crate) fn into_sorted(mut self) -> Vec<Fault> {
        self.found.sort_by_key(|fault| fault.position);
        self.found
    }

    fn position_of(&self, key: &str) -> Position {
        let mut key = key;
        loop {
            if let Some(&position) = self.positions.get(key) {
                return position;
            }
            match key.rfind(['.', '[']) {
                Some(end) => key = &key[..end],
                None => return Position { line: 1, column: 1 },
            }
        }
    }
}
