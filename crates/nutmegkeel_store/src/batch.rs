//! Keys of many owners, written by one process in batches.

use std::collections::BTreeMap;

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::revision::{Era, Revision};

use crate::document::{LEASE_S, RENEW_MS};
use crate::kv::{Committed, Expected, Fault, Registry, Write};
use crate::lease::Holder;

/// Maximum number of writes in one transaction. The users' platform accepts 32 entries, and each
/// write needs a second one for the condition that its key has not changed.
const MAX_WRITES: usize = 16;

/// A value to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// Sequence number of the value, which orders the values of one key.
    pub number: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// State of a key as last read or written.
#[derive(Clone, Copy, Debug)]
struct Known {
    revision: Revision,
    number: u64,
}

/// Writer of the keys with one prefix.
///
/// Several writers may be active at once, for instance when each considers the other dead. The
/// conditions of the writes and the sequence numbers in the values keep them consistent.
#[derive(Debug)]
pub struct Writer {
    prefix: String,
    /// Decodes the sequence number of a value; `None` if the value cannot be decoded.
    number: fn(&[u8]) -> Option<u64>,
    /// Has the duration of the lease of a [`Document`](crate::document::Document), so that the
    /// values of a writer that died stay for as long as they can be used.
    lease: Holder,
    /// State of the keys; `None` before the first read.
    known: Option<BTreeMap<String, Known>>,
    /// Era of the store at the time of the last read.
    era: Era,
}

impl Writer {
    /// Creates a writer that has not read the store yet.
    #[must_use]
    pub const fn open(prefix: String, number: fn(&[u8]) -> Option<u64>) -> Self {
        Self { prefix, number, lease: Holder::open(LEASE_S, RENEW_MS), known: None, era: Era(0) }
    }

    /// Writes the values whose number is higher than that in the store.
    ///
    /// Returns for each key the number that is now in the store: that of the entry or a higher one.
    ///
    /// # Errors
    /// If the store does not answer, or if another writer changed the same keys at the same time.
    /// Some values may have been written.
    pub fn write(
        &mut self,
        store: &dyn Registry,
        now: Time,
        entries: &[Entry],
    ) -> Result<Vec<(String, u64)>, Fault> {
        let mut written = Vec::new();
        for batch in entries.chunks(MAX_WRITES) {
            written.extend(self.write_batch(store, now, batch)?);
        }
        Ok(written)
    }

    fn write_batch(
        &mut self,
        store: &dyn Registry,
        now: Time,
        entries: &[Entry],
    ) -> Result<Vec<(String, u64)>, Fault> {
        if self.commit(store, now, entries)? || self.commit_after_read(store, now, entries)? {
            let number = |entry: &Entry| self.known(&entry.key).map_or(0, |known| known.number);
            return Ok(entries.iter().map(|entry| (entry.key.clone(), number(entry))).collect());
        }
        Err(Fault::NotSent(format!(
            "keys with prefix `{}` were changed by another writer",
            self.prefix
        )))
    }

    /// Reads the keys again and commits. Needed if a key is not in the known state because an
    /// answer was lost or another writer changed it.
    fn commit_after_read(
        &mut self,
        store: &dyn Registry,
        now: Time,
        entries: &[Entry],
    ) -> Result<bool, Fault> {
        self.known = None;
        self.commit(store, now, entries)
    }

    /// Writes the values that are newer than the known ones; returns false, and writes nothing, if
    /// a key was not in the known state.
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
        let (lease, _) = self.lease.ensure(store, now)?;
        let write = |entry: &&Entry| Write {
            key: entry.key.clone(),
            value: entry.value.clone(),
            expected: Expected::unchanged(self.known(&entry.key).map(|known| known.revision)),
            lease: Some(lease),
        };
        let writes: Vec<Write> = newer.iter().map(write).collect();
        // The lease may have ended since its last renewal: the next call starts with a new one.
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
            // Any value may replace one that cannot be decoded, such as one of another version.
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

    /// Returns whether a value is newer than the known one.
    ///
    /// Guards against an older value replacing a newer one: the owner may have passed the older one
    /// to a slow writer and then the newer one to another writer.
    fn is_newer(&self, entry: &Entry) -> bool {
        self.known(&entry.key).is_none_or(|known| entry.number > known.number)
    }
}
