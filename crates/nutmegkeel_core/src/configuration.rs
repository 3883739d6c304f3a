//! The operators' configuration as each process holds it. Its revision never decreases.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::class;

/// Revision that the platform's store assigned to a write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// One class as written at a revision. A removed class stays as an entry without a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the class.
    pub name: class::Name,
    /// Revision of the write.
    pub revision: Revision,
    /// The operator's target, or `None` after removal.
    pub target: Option<class::Target>,
}

/// Whether a process has the whole configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Unknown: the process has not read the platform and holds no entry.
    Unknown,
    /// No: another process has reported this higher revision.
    Behind(Revision),
    /// Yes, up to the highest revision that was reported to it.
    Current,
}

/// All entries that this process holds, by the name of the class.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: BTreeMap<class::Name, Entry>,
    revision: Revision,
}

impl Table {
    /// Returns the highest revision of all entries.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Applies an entry and returns true if it is newer than the one held.
    ///
    /// Guards against a configuration that reverts: entries from peers and from the platform
    /// arrive in any order, and an older one must not replace a newer one that is in force.
    pub fn apply(&mut self, entry: Entry) -> bool {
        let known = self.entries.get(&entry.name).map_or(Revision(0), |held| held.revision);
        if entry.revision <= known {
            return false;
        }
        let before = self.revision;
        self.revision = self.revision.max(entry.revision);
        assert!(self.revision >= before, "configuration: revision decreased");
        self.entries.insert(entry.name.clone(), entry);
        true
    }

    /// Returns the target in force for a class.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<&class::Target> {
        self.entries.get(name).and_then(|entry| entry.target.as_ref())
    }

    /// Returns the entries newer than `since`, ordered by revision.
    #[must_use]
    pub fn newer(&self, since: Revision) -> Vec<Entry> {
        let mut newer: Vec<Entry> =
            self.entries.values().filter(|entry| entry.revision > since).cloned().collect();
        newer.sort_by_key(|entry| entry.revision);
        newer
    }

    /// Returns all entries, ordered by name.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }
}
