//! Versioned objects in memory, with a change log for watches.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Serialize;
use serde_json::value::RawValue;

/// Maximum number of changes in the log of [`Store::default`]. A watch from a revision before the
/// log must list again.
const DEFAULT_HISTORY_LIMIT: usize = 10_000;

/// Versioned objects in memory. Each change increments a global revision, which becomes the version
/// of the object.
pub struct Store {
    revision: u64,
    objects: BTreeMap<String, Object>,
    /// Revision and path of each change, oldest first.
    log: VecDeque<(u64, String)>,
    history_limit: usize,
}

/// Value and version of an object.
#[derive(Clone, Debug)]
pub struct Object {
    /// Revision of the last write.
    pub version: u64,
    /// JSON text as written.
    pub value: Box<RawValue>,
}

/// Condition of a write or deletion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Always holds.
    None,
    /// The object has this version.
    Version(u64),
    /// The object does not exist.
    Absent,
}

/// The condition of a write or deletion did not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Version of the object; `None` when it does not exist.
    pub current: Option<u64>,
}

/// Object in the reply to a list or watch call.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// Path of the object.
    pub path: String,
    /// Version of the object, or revision of its deletion.
    pub version: u64,
    /// Value; absent after a deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<Box<RawValue>>,
}

/// The watched revision is older than the change log or newer than the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Compacted;

impl Default for Store {
    fn default() -> Store {
        Store::with_history_limit(DEFAULT_HISTORY_LIMIT)
    }
}

impl Store {
    /// Builds an empty store whose change log keeps up to `history_limit` changes.
    #[must_use]
    pub fn with_history_limit(history_limit: usize) -> Store {
        Store { revision: 0, objects: BTreeMap::new(), log: VecDeque::new(), history_limit }
    }

    /// Revision of the last change; 0 when there was none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns an object.
    #[must_use]
    pub fn get(&self, path: &str) -> Option<&Object> {
        self.objects.get(path)
    }

    /// Writes an object and returns its new version.
    ///
    /// # Errors
    ///
    /// Fails without a change when the condition does not hold.
    pub fn put(
        &mut self,
        path: &str,
        condition: Condition,
        value: Box<RawValue>,
    ) -> Result<u64, Conflict> {
        self.check(path, condition)?;
        let version = self.log_change(path);
        self.objects.insert(path.to_owned(), Object { version, value });
        Ok(version)
    }

    /// Deletes an object and returns the revision of the deletion.
    ///
    /// # Errors
    ///
    /// Fails when the condition does not hold or the object does not exist.
    pub fn delete(&mut self, path: &str, condition: Condition) -> Result<u64, Conflict> {
        self.check(path, condition)?;
        self.objects.remove(path).ok_or(Conflict { current: None })?;
        Ok(self.log_change(path))
    }

    /// Lists the objects whose path has a prefix, in path order.
    #[must_use]
    pub fn list(&self, prefix: &str) -> Vec<Entry> {
        let from_prefix = self.objects.range(prefix.to_owned()..);
        from_prefix
            .take_while(|(path, _)| path.starts_with(prefix))
            .map(|(path, it)| Entry {
                path: path.clone(),
                version: it.version,
                value: Some(it.value.clone()),
            })
            .collect()
    }

    /// Returns the current state of each object whose path has a prefix and that changed after a
    /// revision.
    ///
    /// # Errors
    ///
    /// Fails when `after` is older than the change log or newer than the store.
    pub fn changes(&self, prefix: &str, after: u64) -> Result<Vec<Entry>, Compacted> {
        let oldest_revision = self.revision - self.log.len() as u64;
        if after < oldest_revision || after > self.revision {
            return Err(Compacted);
        }
        let newest_first = self.log.iter().rev().take_while(|(revision, _)| *revision > after);
        let mut seen = BTreeSet::new();
        let mut changes: Vec<_> = newest_first
            .filter(|(_, path)| path.starts_with(prefix) && seen.insert(path.as_str()))
            .map(|(revision, path)| Entry {
                path: path.clone(),
                version: *revision,
                value: self.get(path).map(|it| it.value.clone()),
            })
            .collect();
        changes.reverse();
        Ok(changes)
    }

    /// Clears the change log, so that watches from an older revision must list again.
    pub fn compact(&mut self) {
        self.log.clear();
    }

    fn check(&self, path: &str, condition: Condition) -> Result<(), Conflict> {
        let current = self.get(path).map(|it| it.version);
        let holds = match condition {
            Condition::None => true,
            Condition::Version(version) => current == Some(version),
            Condition::Absent => current.is_none(),
        };
        if holds { Ok(()) } else { Err(Conflict { current }) }
    }

    fn log_change(&mut self, path: &str) -> u64 {
        self.revision += 1;
        self.log.push_back((self.revision, path.to_owned()));
        if self.log.len() > self.history_limit {
            self.log.pop_front();
        }
        self.revision
    }
}
