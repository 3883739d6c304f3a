//! A lease that one process holds: granted when there is none, renewed while it is used.

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::revision::Era;

use crate::kv::{Fault, Kept, Lease, Registry};

/// The lease of one process.
#[derive(Debug)]
pub struct Holder {
    seconds: u64,
    renew_ms: u64,
    lease: Option<Lease>,
    /// Era of the store in which it was granted.
    era: Era,
    renewed: Time,
}

impl Holder {
    /// A holder of a lease that lives for `seconds` and is renewed each `renew_ms`.
    #[must_use]
    pub const fn open(seconds: u64, renew_ms: u64) -> Self {
        Self { seconds, renew_ms, lease: None, era: Era(0), renewed: Time::ZERO }
    }

    /// The lease, renewed if that is due. The flag says that it is a new one: what was written under
    /// an earlier one is gone, or will be.
    ///
    /// Guards against a store that came back from an older copy: it does not know a lease that it granted later,
    /// and may have given its number to somebody else since.
    ///
    /// # Errors
    /// When the store does not answer.
    pub fn hold(&mut self, store: &dyn Registry, now: Time) -> Result<(Lease, bool), Fault> {
        let is_lost = self.era != store.era();
        match self.lease.filter(|_| !is_lost) {
            None => self.grant(store, now),
            Some(lease) if now.since(self.renewed) < self.renew_ms => Ok((lease, false)),
            Some(lease) => match store.keep(lease)? {
                Kept::Renewed => {
                    self.renewed = now;
                    Ok((lease, false))
                }
                Kept::Ended => self.grant(store, now),
            },
        }
    }

    /// Whether there is a lease, as far as this process knows.
    #[must_use]
    pub const fn is_held(&self) -> bool {
        self.lease.is_some()
    }

    /// Forgets the lease: it may have ended. The next call begins with a new one.
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
