//! A key that one process overwrites repeatedly under a lease and that its successor reads.

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::revision::Revision;

use crate::kv::{self, Expected, Fault, Registry, Write};
use crate::lease::Holder;

/// Duration of the lease, in seconds. It is twice the longest lifetime of a flow, so that a host
/// that comes back finds its document, and that of a host that does not is removed.
pub(crate) const LEASE_S: u64 = 120;

/// Interval between two renewals, in milliseconds; three fit into the duration of the lease.
pub(crate) const RENEW_MS: u64 = 40_000;

/// A key and its lease.
#[derive(Debug)]
pub struct Document {
    key: String,
    /// Revision of the last known write; `None` if there was none.
    revision: Option<Revision>,
    lease: Holder,
}

impl Document {
    /// Creates a document that has not been read yet.
    #[must_use]
    pub const fn open(key: String) -> Self {
        Self { key, revision: None, lease: Holder::open(LEASE_S, RENEW_MS) }
    }

    /// Reads the value that this process or its predecessor wrote last.
    ///
    /// # Errors
    /// If the store does not answer.
    pub fn read(&mut self, store: &dyn Registry) -> Result<Option<Vec<u8>>, Fault> {
        let pair = store.get(&self.key)?;
        self.revision = pair.as_ref().map(|pair| pair.revision);
        Ok(pair.map(|pair| pair.value))
    }

    /// Writes the value and replaces any earlier one.
    ///
    /// # Errors
    /// If the store does not answer; the caller may try again.
    pub fn write(&mut self, store: &dyn Registry, now: Time, value: &[u8]) -> Result<(), Fault> {
        let (lease, _) = self.lease.ensure(store, now)?;
        let write = Write {
            key: self.key.clone(),
            value: value.to_vec(),
            expected: Expected::unchanged(self.revision),
            lease: Some(lease),
        };
        // The lease may have ended since its last renewal: the next write starts with a new one.
        let revision = kv::overwrite(store, write).inspect_err(|_| self.lease.forget())?;
        self.revision = Some(revision);
        Ok(())
    }

    /// Renews the lease if there is one and its renewal is due.
    ///
    /// # Errors
    /// If the store does not answer.
    pub fn renew(&mut self, store: &dyn Registry, now: Time) -> Result<(), Fault> {
        if !self.lease.is_held() {
            return Ok(());
        }
        self.lease.ensure(store, now).map(|_| ())
    }
}
