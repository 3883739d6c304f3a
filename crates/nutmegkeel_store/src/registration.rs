//! A process's entry in the store, under a lease: others find the process by it, and it vanishes
//! when the process does.

use nutmegkeel_core::clock::Time;

use crate::kv::{Committed, Fault, Kept, Lease, Pair, Registry, Write};

/// Life of the lease, in seconds. Others drop a silent process by themselves within 12 s, so a
/// shorter one would only cost renewals.
pub const LEASE_S: u64 = 8;

/// Pause between two renewals, in milliseconds: three fit into a lease, so that one may be lost.
pub const RENEW_MS: u64 = 2_500;

/// An entry that a cheap list lacks is written again only when it is older than this: such a list
/// may be seconds old.
const LIST_AGE_MS: u64 = 6_000;

/// The entry and its lease.
#[derive(Debug)]
pub struct Registration {
    key: String,
    value: Vec<u8>,
    lease: Option<Lease>,
    renewed: Time,
    written: Option<Time>,
}

impl Registration {
    /// An entry that is not written yet.
    #[must_use]
    pub const fn open(key: String, value: Vec<u8>) -> Self {
        Self { key, value, lease: None, renewed: Time::ZERO, written: None }
    }

    /// Does what is due: grants the lease, writes the entry, renews the lease.
    ///
    /// # Errors
    /// When the store does not answer; the next call goes on from there.
    pub fn step(&mut self, store: &dyn Registry, now: Time) -> Result<(), Fault> {
        let lease = match self.lease {
            None => self.grant(store, now)?,
            Some(lease) if now.since(self.renewed) < RENEW_MS => lease,
            Some(lease) => self.renew(store, now, lease)?,
        };
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

    fn grant(&mut self, store: &dyn Registry, now: Time) -> Result<Lease, Fault> {
        let lease = store.grant(LEASE_S)?;
        self.lease = Some(lease);
        self.renewed = now;
        self.written = None;
        Ok(lease)
    }

    fn renew(&mut self, store: &dyn Registry, now: Time, lease: Lease) -> Result<Lease, Fault> {
        match store.keep(lease)? {
            Kept::Renewed => {
                self.renewed = now;
                Ok(lease)
            }
            Kept::Ended => self.grant(store, now),
        }
    }

    /// Writes over whatever is there: the address is this process's, so an older entry is that of
    /// its predecessor.
    fn write(&mut self, store: &dyn Registry, lease: Lease) -> Result<(), Fault> {
        if self.commit(store, lease, 0)? == Committed::Differs {
            let revision = store.get(&self.key)?.map_or(0, |pair| pair.revision);
            self.commit(store, lease, revision)?;
        }
        Ok(())
    }

    fn commit(
        &mut self,
        store: &dyn Registry,
        lease: Lease,
        expected: u64,
    ) -> Result<Committed, Fault> {
        let write = Write {
            key: self.key.clone(),
            value: self.value.clone(),
            expected,
            lease: Some(lease),
        };
        let committed = store.commit(&[write]);
        // The lease may have ended meanwhile: the next step begins with a new one.
        if committed.is_err() {
            self.lease = None;
        }
        committed
    }
}
