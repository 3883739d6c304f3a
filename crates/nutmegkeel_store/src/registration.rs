//! Registration of a process: an entry in the store by which others find the process. The entry has
//! a lease, so it is deleted after the process has ended.

use nutmegkeel_core::clock::Time;

use crate::kv::{Committed, Expected, Fault, Lease, Pair, Registry, Write};
use crate::lease::Holder;

/// Duration of the lease, in seconds. Other processes detect a failed process by themselves within
/// 12 s, so a shorter lease would only cost more renewals.
pub const LEASE_S: u64 = 8;

/// Interval between two renewals, in milliseconds. Three fit into the duration of the lease, so one
/// may be lost.
pub const RENEW_MS: u64 = 2_500;

/// An entry that is missing from a list is written again only if it was written longer ago than
/// this, in milliseconds, because a list may be some seconds old.
const LIST_AGE_MS: u64 = 6_000;

/// Minimum interval between two writes of a changed value, in milliseconds. Each write has a cost,
/// and a value that is some seconds old is sufficient.
const REWRITE_MS: u64 = 5_000;

/// The entry of a process and its lease.
#[derive(Debug)]
pub struct Registration {
    key: String,
    value: Vec<u8>,
    lease: Holder,
    written: Option<Time>,
}

impl Registration {
    /// Creates an entry that has not been written yet.
    #[must_use]
    pub const fn open(key: String, value: Vec<u8>) -> Self {
        Self { key, value, lease: Holder::open(LEASE_S, RENEW_MS), written: None }
    }

    /// Sets the value of the entry, unless the entry was written less than 5 s ago. The next step
    /// writes the value if it differs.
    pub fn set_value(&mut self, now: Time, value: Vec<u8>) {
        if self.value == value || self.written.is_some_and(|at| now.since(at) < REWRITE_MS) {
            return;
        }
        self.value = value;
        self.written = None;
    }

    /// Grants or renews the lease and writes the entry, each only if due.
    ///
    /// # Errors
    /// If the store does not answer; the next call continues from there.
    pub fn step(&mut self, store: &dyn Registry, now: Time) -> Result<(), Fault> {
        let (lease, is_new) = self.lease.ensure(store, now)?;
        if is_new {
            self.written = None;
        }
        if self.written.is_none() {
            self.write(store, lease)?;
            self.written = Some(now);
        }
        Ok(())
    }

    /// Checks a list of all entries and marks the own entry to be written again if it is missing.
    ///
    /// Guards against a store that deleted the key while the lease is still valid: renewals would
    /// succeed, and no other process would find this one.
    pub fn check_list(&mut self, now: Time, pairs: &[Pair]) {
        let settled = self.written.is_some_and(|written| now.since(written) > LIST_AGE_MS);
        if settled && !pairs.iter().any(|pair| pair.key == self.key) {
            self.written = None;
        }
    }

    /// Writes the entry and replaces any other one.
    ///
    /// The key contains the address of this process, so an older entry was written by its
    /// predecessor. If a delayed write of the predecessor replaces this entry, it is deleted with
    /// the predecessor's lease and then found missing in the next list.
    fn write(&mut self, store: &dyn Registry, lease: Lease) -> Result<(), Fault> {
        let write = Write {
            key: self.key.clone(),
            value: self.value.clone(),
            expected: Expected::Anything,
            lease: Some(lease),
        };
        // The lease may have ended since its last renewal: the next step starts with a new one.
        match store.commit(&[write]).inspect_err(|_| self.lease.forget())? {
            Committed::Written(_) => Ok(()),
            Committed::Differs => Err(Fault::NotSent(format!("`{}` was not written", self.key))),
        }
    }
}
