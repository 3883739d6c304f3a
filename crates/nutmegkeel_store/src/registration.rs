//! A process's entry in the store, under a lease: others find the process by it, and it vanishes
//! when the process does.

use nutmegkeel_core::clock::Time;

use crate::kv::{Committed, Expected, Fault, Lease, Pair, Registry, Write};
use crate::lease::Holder;

/// Life of the lease, in seconds. Others drop a silent process by themselves within 12 s, so a
/// shorter one would only cost renewals.
pub const LEASE_S: u64 = 8;

/// Pause between two renewals, in milliseconds: three fit into a lease, so that one may be lost.
pub const RENEW_MS: u64 = 2_500;

/// An entry that a cheap list lacks is written again only when it is older than this: such a list
/// may be seconds old.
const LIST_AGE_MS: u64 = 6_000;

/// An entry whose value has changed is written again this much after it was written, in milliseconds: each write
/// is paid for, and a value that is some seconds old still serves.
const REWRITE_MS: u64 = 5_000;

/// The entry and its lease.
#[derive(Debug)]
pub struct Registration {
    key: String,
    value: Vec<u8>,
    lease: Holder,
    written: Option<Time>,
}

impl Registration {
    /// An entry that is not written yet.
    #[must_use]
    pub const fn open(key: String, value: Vec<u8>) -> Self {
        Self { key, value, lease: Holder::open(LEASE_S, RENEW_MS), written: None }
    }

    /// Sets what the entry is to say from now on; it is written again soon if it says something else.
    pub fn set_value(&mut self, now: Time, value: Vec<u8>) {
        if self.value == value || self.written.is_some_and(|at| now.since(at) < REWRITE_MS) {
            return;
        }
        self.value = value;
        self.written = None;
    }

    /// Does what is due: grants the lease, writes the entry, renews the lease.
    ///
    /// # Errors
    /// When the store does not answer; the next call goes on from there.
    pub fn step(&mut self, store: &dyn Registry, now: Time) -> Result<(), Fault> {
        let (lease, is_new) = self.lease.hold(store, now)?;
        if is_new {
            self.written = None;
        }
        if self.written.is_none() {
            self.write(store, lease)?;
            self.written = Some(now);
        }
        Ok(())
    }

    /// Takes in a list of all entries. Guards against a store that took the key away while the lease
    /// runs on: renewals would succeed, and nobody would find this process.
    pub fn listed(&mut self, now: Time, pairs: &[Pair]) {
        let settled = self.written.is_some_and(|written| now.since(written) > LIST_AGE_MS);
        if settled && !pairs.iter().any(|pair| pair.key == self.key) {
            self.written = None;
        }
    }

    /// The address is this process's, so an older entry is that of its predecessor. One that a call of the
    /// predecessor writes late vanishes with its lease, and is missed in the next list.
    fn write(&mut self, store: &dyn Registry, lease: Lease) -> Result<(), Fault> {
        let write = Write {
            key: self.key.clone(),
            value: self.value.clone(),
            expected: Expected::Anything,
            lease: Some(lease),
        };
        // The lease may have ended meanwhile: the next step begins with a new one.
        match store.commit(&[write]).inspect_err(|_| self.lease.forget())? {
            Committed::Written(_) => Ok(()),
            Committed::Differs => Err(Fault::NotSent(format!("`{}` was not written", self.key))),
        }
    }
}
