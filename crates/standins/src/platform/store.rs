//! Objects with versions, and the log of their changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Serialize;
use serde_json::value::RawValue;

/// Changes that [`Store::default`] keeps for watches; an older position must list again.
const KEPT_CHANGES: usize = 10_000;

/// Versioned objects in memory. Each change raises one global revision, which is also the
/// version of the object that it wrote.
pub struct Store {
    revision: u64,
    objects: BTreeMap<String, Object>,
    /// Revision and path of each change, oldest first.
    log: VecDeque<(u64, String)>,
    kept_changes: usize,
}

/// Value and version of an object.
#[derive(Clone, Debug)]
pub struct Object {
    /// Revision of the change that wrote it.
    pub version: u64,
    /// JSON text, as it was written.
    pub value: Box<RawValue>,
}

/// Condition of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Always holds.
    None,
    /// The object has this version.
    Version(u64),
    /// There is no such object.
    Absent,
}

/// The condition of a change did not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Version of the object; `None` when there is no such object.
    pub current: Option<u64>,
}

/// One entry of a list or watch reply.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// Path of the object.
    pub path: String,
    /// Version of the object, or revision of its removal.
    pub version: u64,
    /// Value; absent after a removal.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<Box<RawValue>>,
}

/// The watched position is older than the log, or newer than the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Compacted;

impl Default for Store {
    fn default() -> Store {
        Store::with_history_limit(KEPT_CHANGES)
    }
}

impl Store {
    /// Builds an empty store that keeps this number of changes for watches.
    #[must_use]
    pub fn with_history_limit(kept_changes: usize) -> Store {
        Store { revision: 0, objects: BTreeMap::new(), log: VecDeque::new(), kept_changes }
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
    /// Fails when the condition does not hold; nothing is changed then.
    pub fn put(
        &mut self,
        path: &str,
        condition: Condition,
        value: Box<RawValue>,
    ) -> Result<u64, Conflict> {
        self.check(path, condition)?;
        let version = self.record(path);
        self.objects.insert(path.to_owned(), Object { version, value });
        Ok(version)
    }

    /// Removes an object and returns the revision of the removal.
    ///
    /// # Errors
    ///
    /// Fails when the condition does not hold or there is no such object.
    pub fn delete(&mut self, path: &str, condition: Condition) -> Result<u64, Conflict> {
        self.check(path, condition)?;
        self.objects.remove(path).ok_or(Conflict { current: None })?;
        Ok(self.record(path))
    }

    /// Lists the objects below a prefix in path order.
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

    /// Returns the present state of every object below a prefix that changed after a revision.
    ///
    /// # Errors
    ///
    /// Fails when the log does not reach back to `after`, or `after` has not happened yet.
    pub fn changes(&self, prefix: &str, after: u64) -> Result<Vec<Entry>, Compacted> {
        let oldest_position = self.revision - self.log.len() as u64;
        if after < oldest_position || after > self.revision {
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

    /// Forgets all changes up to the present, so that older positions must list again.
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

    fn record(&mut self, path: &str) -> u64 {
        self.revision += 1;
        self.log.push_back((self.revision, path.to_owned()));
        if self.log.len() > self.kept_changes {
            self.log.pop_front();
        }
        self.revision
    }
}
