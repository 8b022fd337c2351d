use std::{collections::HashMap, fmt};

use serde::Serialize;

/// A position in the text of a bundle. Lines and columns start at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Position {
    /// Line number.
    pub line: u32,
    /// Column number, in characters.
    pub column: u32,
}

/// An error in a bundle, which must be fixed before the bundle can be rolled out.
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
    /// Position of the value.
    pub position: Position,
    /// Path of the value, such as `services[0].timeout_ms`; empty for the entire text.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// How to fix it.
    pub help: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        let key = if self.key.is_empty() { "bundle" } else { &self.key };
        write!(f, "{line}:{column}: {key}: {} ({})", self.message, self.help)
    }
}

/// The faults found so far, and the position of each value in the text.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    found: Vec<Fault>,
    positions: HashMap<String, Position>,
}

impl Faults {
    /// Records the position of the value of `key`.
    pub(crate) fn set_position(&mut self, key: &str, position: Position) {
        self.positions.insert(key.to_owned(), position);
    }

    /// Adds a fault at `key`, unless one was already found at `key` or in a value nested in it.
    ///
    /// A value that could not be read is replaced by a default, which must not cause another fault.
    pub(crate) fn add(&mut self, key: &str, message: impl Into<String>, help: impl Into<String>) {
        if self.has_fault_within(key) {
            return;
        }
        let position = self.position_of(key);
        let key = key.to_owned();
        self.found.push(Fault { position, key, message: message.into(), help: help.into() });
    }

    /// Adds a fault at a position for which no key is known.
    pub(crate) fn add_at(&mut self, position: Position, message: String, help: &str) {
        self.found.push(Fault { position, key: String::new(), message, help: help.to_owned() });
    }

    /// Whether a fault was found at `key` or in a value nested in it.
    pub(crate) fn has_fault_within(&self, key: &str) -> bool {
        self.found.iter().any(|fault| {
            fault.key.strip_prefix(key).is_some_and(|rest| {
                key.is_empty() || rest.is_empty() || rest.starts_with(['.', '['])
            })
        })
    }

    /// Whether a fault was found at `key` itself.
    pub(crate) fn has_fault_at(&self, key: &str) -> bool {
        self.found.iter().any(|fault| fault.key == key)
    }

    /// Returns all faults, sorted by position.
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
