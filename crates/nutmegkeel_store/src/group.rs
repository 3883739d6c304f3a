//! Many keys of many owners, written by one process with few calls.

use std::collections::BTreeMap;

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::revision::{Era, Revision};

use crate::document::{LEASE_S, RENEW_MS};
use crate::kv::{Committed, Expected, Fault, Registry, Write};
use crate::lease::Holder;

/// Writes in one transaction: the users' platform takes 32 entries, and each write comes with the condition
/// that its key has not changed.
const MOST: usize = 16;

/// A value to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// Orders the values of one key.
    pub number: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// What is known of a key in the store.
#[derive(Clone, Copy, Debug)]
struct Known {
    revision: Revision,
    number: u64,
}

/// A writer of all keys with one prefix. Several may be at work at once, as when each believes that the
/// other has died: the conditions of the writes and the numbers in the values keep them apart.
#[derive(Debug)]
pub struct Group {
    prefix: String,
    /// Reads the number out of a value; none if the value cannot be read.
    number: fn(&[u8]) -> Option<u64>,
    /// Lives as long as a [`Document`](crate::document::Document)'s: what a writer that died has written is
    /// still there for as long as it may be of use.
    lease: Holder,
    /// The keys as last read or written; none before the first read.
    known: Option<BTreeMap<String, Known>>,
    /// Era of the store when they were read.
    era: Era,
}

impl Group {
    /// A writer that knows nothing yet.
    #[must_use]
    pub const fn open(prefix: String, number: fn(&[u8]) -> Option<u64>) -> Self {
        Self { prefix, number, lease: Holder::open(LEASE_S, RENEW_MS), known: None, era: Era(0) }
    }

    /// Writes values whose number is higher than that in the store. Returns for each key the number that
    /// the store has now: that of the entry, or a higher one.
    ///
    /// # Errors
    /// When the store does not answer, or others go on writing the same keys. Some values may have been
    /// written.
    pub fn write(
        &mut self,
        store: &dyn Registry,
        now: Time,
        entries: &[Entry],
    ) -> Result<Vec<(String, u64)>, Fault> {
        let mut written = Vec::new();
        for part in entries.chunks(MOST) {
            written.extend(self.write_part(store, now, part)?);
        }
        Ok(written)
    }

    fn write_part(
        &mut self,
        store: &dyn Registry,
        now: Time,
        entries: &[Entry],
    ) -> Result<Vec<(String, u64)>, Fault> {
        if self.commit(store, now, entries)? || self.commit_after_read(store, now, entries)? {
            let number = |entry: &Entry| self.known(&entry.key).map_or(0, |known| known.number);
            return Ok(entries.iter().map(|entry| (entry.key.clone(), number(entry))).collect());
        }
        Err(Fault::NotSent(format!("`{}` is written by others too", self.prefix)))
    }

    /// A key has changed behind this writer's back: a lost answer, or another writer.
    fn commit_after_read(
        &mut self,
        store: &dyn Registry,
        now: Time,
        entries: &[Entry],
    ) -> Result<bool, Fault> {
        self.known = None;
        self.commit(store, now, entries)
    }

    /// Writes what is newer than what is known to be in the store; false if a key was not as known.
    fn commit(
        &mut self,
        store: &dyn Registry,
        now: Time,
        entries: &[Entry],
    ) -> Result<bool, Fault> {
        self.read_once(store)?;
        let newer: Vec<&Entry> = entries.iter().filter(|entry| self.is_newer(entry)).collect();
        if newer.is_empty() {
            return Ok(true);
        }
        let (lease, _) = self.lease.hold(store, now)?;
        let write = |entry: &&Entry| Write {
            key: entry.key.clone(),
            value: entry.value.clone(),
            expected: Expected::unchanged(self.known(&entry.key).map(|known| known.revision)),
            lease: Some(lease),
        };
        let writes: Vec<Write> = newer.iter().map(write).collect();
        // The lease may have ended meanwhile: the next call begins with a new one.
        let committed = store.commit(&writes).inspect_err(|_| self.lease.forget())?;
        let Committed::Written(revision) = committed else {
            return Ok(false);
        };
        let known = self.known.get_or_insert_default();
        for entry in newer {
            known.insert(entry.key.clone(), Known { revision, number: entry.number });
        }
        Ok(true)
    }

    fn read_once(&mut self, store: &dyn Registry) -> Result<(), Fault> {
        if self.known.is_some() && self.era == store.era() {
            return Ok(());
        }
        let pairs = store.list(&self.prefix)?.into_iter();
        let known = pairs.map(|pair| {
            // A value that cannot be read, as one of another version, is replaced by any.
            let number = (self.number)(&pair.value).unwrap_or(0);
            (pair.key, Known { revision: pair.revision, number })
        });
        self.known = Some(known.collect());
        self.era = store.era();
        Ok(())
    }

    fn known(&self, key: &str) -> Option<Known> {
        self.known.as_ref()?.get(key).copied()
    }

    /// Guards against an older list that takes a newer one's place: its owner handed it to a writer that
    /// was slow, and then a newer one to another.
    fn is_newer(&self, entry: &Entry) -> bool {
        self.known(&entry.key).is_none_or(|known| entry.number > known.number)
    }
}
