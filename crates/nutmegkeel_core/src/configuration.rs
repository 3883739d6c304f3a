//! The operators' configuration as every process holds it. A revision never goes back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::class;

/// Revision that the platform's service gave to a write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// One class as accepted at a revision. A removed class stays as an entry without a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the class.
    pub name: class::Name,
    /// Revision of the write.
    pub revision: Revision,
    /// The operator's target, or none after removal.
    pub target: Option<class::Target>,
}

/// How much a process knows of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Nothing: it has not read the platform and holds no entry.
    Unknown,
    /// Less than another process, which told this revision.
    Behind(Revision),
    /// All that it has heard of.
    Current,
}

/// All entries known here.
#[derive(Clone, Debug, Default)]
pub struct Book {
    entries: BTreeMap<class::Name, Entry>,
    revision: Revision,
}

impl Book {
    /// The greatest revision known here.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes in an entry; true when it is newer than what was known.
    ///
    /// Guards against a configuration that reverts: peers and platform readers deliver entries in
    /// any order, and an older one must not undo a newer one that is in force.
    pub fn learn(&mut self, entry: Entry) -> bool {
        let known = self.entries.get(&entry.name).map_or(Revision(0), |held| held.revision);
        if entry.revision <= known {
            return false;
        }
        let before = self.revision;
        self.revision = self.revision.max(entry.revision);
        assert!(self.revision >= before, "configuration: revision went back");
        self.entries.insert(entry.name.clone(), entry);
        true
    }

    /// The target in force for a class.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<&class::Target> {
        self.entries.get(name).and_then(|entry| entry.target.as_ref())
    }

    /// Entries newer than `since`, in the order of their revisions.
    #[must_use]
    pub fn newer(&self, since: Revision) -> Vec<Entry> {
        let mut newer: Vec<Entry> =
            self.entries.values().filter(|entry| entry.revision > since).cloned().collect();
        newer.sort_by_key(|entry| entry.revision);
        newer
    }

    /// All entries by name.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }
}
