//! A lease of one process, granted when needed and renewed while it is used.

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::revision::Era;

use crate::kv::{Fault, Lease, Registry, Renewal};

/// The lease of one process.
#[derive(Debug)]
pub struct Holder {
    seconds: u64,
    renew_ms: u64,
    lease: Option<Lease>,
    /// Era of the store in which the lease was granted.
    era: Era,
    renewed: Time,
}

impl Holder {
    /// Creates a holder without a lease. Its leases last for `seconds` and are renewed every
    /// `renew_ms`.
    #[must_use]
    pub const fn open(seconds: u64, renew_ms: u64) -> Self {
        Self { seconds, renew_ms, lease: None, era: Era(0), renewed: Time::ZERO }
    }

    /// Returns the lease, renewed or newly granted if needed. The flag is true for a new lease:
    /// keys written under an earlier one are deleted or will be.
    ///
    /// Guards against the renewal of a lease of another process after the store was restored from
    /// an older copy: the store has lost leases granted after that copy and may assign their
    /// identifiers again. A lease of another era is therefore never renewed.
    ///
    /// # Errors
    /// If the store does not answer.
    pub fn ensure(&mut self, store: &dyn Registry, now: Time) -> Result<(Lease, bool), Fault> {
        let is_outdated = self.era != store.era();
        match self.lease.filter(|_| !is_outdated) {
            None => self.grant(store, now),
            Some(lease) if now.since(self.renewed) < self.renew_ms => Ok((lease, false)),
            Some(lease) => match store.renew(lease)? {
                Renewal::Renewed => {
                    self.renewed = now;
                    Ok((lease, false))
                }
                Renewal::Ended => self.grant(store, now),
            },
        }
    }

    /// Returns whether this process holds a lease as far as it knows.
    #[must_use]
    pub const fn is_held(&self) -> bool {
        self.lease.is_some()
    }

    /// Drops the lease because it may have ended. The next call requests a new one.
    pub const fn forget(&mut self) {
        self.lease = None;
    }

    fn grant(&mut self, store: &dyn Registry, now: Time) -> Result<(Lease, bool), Fault> {
        let lease = store.grant(self.seconds)?;
        self.lease = Some(lease);
        self.era = store.era();
        self.renewed = now;
        Ok((lease, true))
    }
}
