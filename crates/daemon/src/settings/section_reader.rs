use std::{fmt, path::PathBuf};

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// Path of the key, such as `callers.addr`; empty for the whole file.
    pub key: String,
    /// Description of the error.
    pub message: String,
    /// How to correct it.
    pub help: String,
}

/// All errors in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors {
    /// Path of the file.
    pub file: PathBuf,
    /// Errors in the file.
    pub errors: Vec<SettingError>,
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, error) in self.errors.iter().enumerate() {
            if n > 0 {
                writeln!(f)?;
            }
            let key = if error.key.is_empty() { "settings" } else { &error.key };
            write!(f, "{}: {key}: {} ({})", self.file.display(), error.message, error.help)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}

/// Reads the keys of one mapping and collects all errors.
pub(super) struct SectionReader<'a> {
    path: String,
    map: Map<String, Value>,
    known_keys: Vec<&'static str>,
    errors: &'a mut Vec<SettingError>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of the top-level mapping.
    pub(super) fn new(value: Value, errors: &'a mut Vec<SettingError>) -> SectionReader<'a> {
        SectionReader::from_value(String::new(), value, errors)
    }

    /// Creates a reader of the mapping under `key`. A missing mapping is read as an empty one.
    pub(super) fn section(&mut self, key: &'static str) -> SectionReader<'_> {
        let value = self.take(key).unwrap_or_else(|| Value::Object(Map::new()));
        SectionReader::from_value(self.key_path(key), value, self.errors)
    }

    /// Reads a required value.
    pub(super) fn required<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
        help: &str,
    ) -> Option<T> {
        match self.take(key) {
            None => {
                self.add_error(key, "the key is missing", help);
                None
            }
            Some(value) => self.deserialize(key, value, help),
        }
    }

    /// Reads a value, or returns `default` if the key is missing or its value is invalid.
    pub(super) fn optional<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
        default: T,
        help: &str,
    ) -> T {
        match self.take(key) {
            None => default,
            Some(value) => self.deserialize(key, value, help).unwrap_or(default),
        }
    }

    /// Reads an optional number and checks that it lies within bounds.
    pub(super) fn number(
        &mut self,
        key: &'static str,
        default: u32,
        (min, max): (u32, u32),
    ) -> u32 {
        let help = format!("write a whole number from {min} to {max}");
        let value = self.optional(key, default, &help);
        if !(min..=max).contains(&value) {
            self.add_error(key, &format!("{value} is out of range"), &help);
            return default;
        }
        value
    }

    /// Records an error for a key of this mapping.
    pub(super) fn add_error(&mut self, key: &str, message: &str, help: &str) {
        let key = self.key_path(key);
        self.errors.push(SettingError { key, message: message.to_owned(), help: help.to_owned() });
    }

    /// Records an error for each key that was not read.
    pub(super) fn report_unknown_keys(mut self) {
        let unknown_keys: Vec<String> =
            std::mem::take(&mut self.map).into_iter().map(|it| it.0).collect();
        let help = format!("remove it; the known keys are {}", self.known_keys.join(", "));
        for key in unknown_keys {
            self.add_error(&key, "unknown key", &help);
        }
    }

    fn from_value(
        path: String,
        value: Value,
        errors: &'a mut Vec<SettingError>,
    ) -> SectionReader<'a> {
        let map = match value {
            Value::Object(map) => map,
            Value::Null => Map::new(),
            other => {
                let message = format!("expected a mapping, found {other}");
                let help = "write the keys below it, indented".to_owned();
                errors.push(SettingError { key: path.clone(), message, help });
                Map::new()
            }
        };
        SectionReader { path, map, known_keys: Vec::new(), errors }
    }

    fn take(&mut self, key: &'static str) -> Option<Value> {
        self.known_keys.push(key);
        self.map.remove(key)
    }

    fn deserialize<T: DeserializeOwned>(
        &mut self,
        key: &str,
        value: Value,
        help: &str,
    ) -> Option<T> {
        let result = serde_json::from_value(value);
        result.map_err(|err| self.add_error(key, &err.to_string(), help)).ok()
    }

    fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }
}
