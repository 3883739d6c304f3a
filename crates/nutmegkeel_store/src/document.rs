//! A key that one process writes again and again under a lease, and that its successor reads.

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::revision::Revision;

use crate::kv::{self, Expected, Fault, Registry, Write};
use crate::lease::Holder;

/// Life of the lease, in seconds: twice as long as any flow lives, so that the document of a host that
/// comes back is there, and that of one that does not vanishes.
pub(crate) const LEASE_S: u64 = 120;

/// Pause between two renewals, in milliseconds: three fit into a lease.
pub(crate) const RENEW_MS: u64 = 40_000;

/// The key and its lease.
#[derive(Debug)]
pub struct Document {
    key: String,
    /// Revision of the last write known; none if there was none.
    revision: Option<Revision>,
    lease: Holder,
}

impl Document {
    /// A document that is not read yet.
    #[must_use]
    pub const fn open(key: String) -> Self {
        Self { key, revision: None, lease: Holder::open(LEASE_S, RENEW_MS) }
    }

    /// Reads what was written last, by this process or its predecessor.
    ///
    /// # Errors
    /// When the store does not answer.
    pub fn read(&mut self, store: &dyn Registry) -> Result<Option<Vec<u8>>, Fault> {
        let pair = store.get(&self.key)?;
        self.revision = pair.as_ref().map(|pair| pair.revision);
        Ok(pair.map(|pair| pair.value))
    }

    /// Writes over whatever is there.
    ///
    /// # Errors
    /// When the store does not answer; the caller may try again.
    pub fn write(&mut self, store: &dyn Registry, now: Time, value: &[u8]) -> Result<(), Fault> {
        let (lease, _) = self.lease.hold(store, now)?;
        let write = Write {
            key: self.key.clone(),
            value: value.to_vec(),
            expected: Expected::unchanged(self.revision),
            lease: Some(lease),
        };
        // The lease may have ended meanwhile: the next write begins with a new one.
        let revision = kv::overwrite(store, write).inspect_err(|_| self.lease.forget())?;
        self.revision = Some(revision);
        Ok(())
    }

    /// Renews the lease if there is one and that is due.
    ///
    /// # Errors
    /// When the store does not answer.
    pub fn keep(&mut self, store: &dyn Registry, now: Time) -> Result<(), Fault> {
        if !self.lease.is_held() {
            return Ok(());
        }
        self.lease.hold(store, now).map(|_| ())
    }
}
