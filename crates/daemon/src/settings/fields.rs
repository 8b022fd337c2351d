use std::{fmt, path::PathBuf};

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// Something in a settings file that must be corrected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the value, such as `callers.addr`; empty for the whole file.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// How to correct it.
    pub remedy: String,
}

/// All faults of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults {
    /// The file.
    pub file: PathBuf,
    /// Its faults.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, fault) in self.faults.iter().enumerate() {
            if n > 0 {
                writeln!(f)?;
            }
            let key = if fault.key.is_empty() { "settings" } else { &fault.key };
            write!(f, "{}: {key}: {} ({})", self.file.display(), fault.message, fault.remedy)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Reads the keys of one mapping and collects every fault on the way.
pub(super) struct Fields<'a> {
    path: String,
    map: Map<String, Value>,
    known: Vec<&'static str>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Fields<'a> {
    /// Takes the top-level mapping.
    pub(super) fn new(value: Value, faults: &'a mut Vec<Fault>) -> Fields<'a> {
        Fields::at(String::new(), value, faults)
    }

    /// Takes the mapping under `key`; a missing one counts as empty.
    pub(super) fn section(&mut self, key: &'static str) -> Fields<'_> {
        let value = self.take(key).unwrap_or_else(|| Value::Object(Map::new()));
        Fields::at(self.path_of(key), value, self.faults)
    }

    /// Reads a value that must be there.
    pub(super) fn required<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
        remedy: &str,
    ) -> Option<T> {
        match self.take(key) {
            None => {
                self.fault(key, "the key is missing", remedy);
                None
            }
            Some(value) => self.read(key, value, remedy),
        }
    }

    /// Reads a value that may be missing.
    pub(super) fn optional<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
        default: T,
        remedy: &str,
    ) -> T {
        match self.take(key) {
            None => default,
            Some(value) => self.read(key, value, remedy).unwrap_or(default),
        }
    }

    /// Reads a number within bounds.
    pub(super) fn number(
        &mut self,
        key: &'static str,
        default: u32,
        (least, most): (u32, u32),
    ) -> u32 {
        let remedy = format!("write a whole number from {least} to {most}");
        let value = self.optional(key, default, &remedy);
        if !(least..=most).contains(&value) {
            self.fault(key, &format!("{value} is out of range"), &remedy);
            return default;
        }
        value
    }

    /// Adds a fault at a key of this mapping.
    pub(super) fn fault(&mut self, key: &str, message: &str, remedy: &str) {
        let key = self.path_of(key);
        self.faults.push(Fault { key, message: message.to_owned(), remedy: remedy.to_owned() });
    }

    /// Reports the keys that were not read.
    pub(super) fn finish(mut self) {
        let left: Vec<String> = std::mem::take(&mut self.map).into_iter().map(|it| it.0).collect();
        let remedy = format!("remove it; the keys here are {}", self.known.join(", "));
        for key in left {
            self.fault(&key, "there is no such key", &remedy);
        }
    }

    fn at(path: String, value: Value, faults: &'a mut Vec<Fault>) -> Fields<'a> {
        let map = match value {
            Value::Object(map) => map,
            Value::Null => Map::new(),
            other => {
                let message = format!("expected a mapping, found {other}");
                let remedy = "write the keys below it, indented".to_owned();
                faults.push(Fault { key: path.clone(), message, remedy });
                Map::new()
            }
        };
        Fields { path, map, known: Vec::new(), faults }
    }

    fn take(&mut self, key: &'static str) -> Option<Value> {
        self.known.push(key);
        self.map.remove(key)
    }

    fn read<T: DeserializeOwned>(&mut self, key: &str, value: Value, remedy: &str) -> Option<T> {
        let read = serde_json::from_value(value);
        read.map_err(|err| self.fault(key, &err.to_string(), remedy)).ok()
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }
}
