//! Evacuation of failure domains: backend servers in an evacuated domain take no new flows.
//!
//! An order stays in the store until the operator takes it back. Balancers and agents keep all
//! orders of one store revision together and replace them as a whole, by the store's era and
//! revision. It therefore does not matter in which sequence messages arrive, or from which process.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::revision::{Era, Revision};

/// All orders in force at one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// The store's revision.
    pub revision: Revision,
    /// Evacuated failure domains.
    pub domains: BTreeSet<Arc<str>>,
}

/// Change of one failure domain's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The failure domain.
    pub domain: Arc<str>,
    /// Whether it is evacuated now; otherwise it was taken back.
    pub evacuated: bool,
    /// Revision of the orders that changed it.
    pub revision: Revision,
}

/// The newest orders that a process has received, if any.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Latest {
    orders: Option<Orders>,
}

impl Latest {
    /// Applies orders if they are newer than the known ones, and returns what changes.
    ///
    /// Guards against a delayed message that restores an ended order or removes a current one. In
    /// the second case, new flows would go to servers that the operator is about to switch off.
    /// Only orders of a higher revision are applied. If the store is restored from an older copy
    /// and its revisions continue from there, its era is higher.
    pub fn apply(&mut self, orders: &Orders) -> Vec<Change> {
        if self.orders.as_ref().is_some_and(|known| known.revision >= orders.revision) {
            return Vec::new();
        }
        let before = self.orders.replace(orders.clone()).unwrap_or_default();
        let change = |domain: &Arc<str>, evacuated| Change {
            domain: Arc::clone(domain),
            evacuated,
            revision: orders.revision,
        };
        let added = orders.domains.difference(&before.domains).map(|domain| change(domain, true));
        let ended = before.domains.difference(&orders.domains).map(|domain| change(domain, false));
        added.chain(ended).collect()
    }

    /// Returns the newest orders.
    #[must_use]
    pub const fn orders(&self) -> Option<&Orders> {
        self.orders.as_ref()
    }

    /// Returns the revision of the newest orders; zero while none have been received.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.orders.as_ref().map_or(Revision::ZERO, |orders| orders.revision)
    }
}

/// Time for which orders of an earlier era are retained after the store was restored from an older
/// copy, in milliseconds. In this time the operator rewrites the orders that the copy lacks.
pub const REWRITE_MS: u64 = 2_000;

/// Follows the operator's orders in the store.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    orders: Orders,
    /// When the store's current era was first seen, while orders of an earlier era are retained.
    era_changed_at: Option<Time>,
}

impl Follower {
    /// Applies a snapshot of all orders in the store at a revision.
    ///
    /// Guards against an order that stays in force forever: its end was missed, in a part of the
    /// store's history that is no longer available.
    ///
    /// The first snapshot of a later era may lack orders that were given after the store's copy was
    /// made. They are retained until the operator has rewritten them, or until [`REWRITE_MS`] have
    /// passed.
    pub fn apply_snapshot(&mut self, now: Time, as_of: Revision, domains: BTreeSet<Arc<str>>) {
        if as_of < self.orders.revision {
            return;
        }
        self.replace(now, Orders { revision: as_of, domains });
        if !self.awaits_rewrite(now) {
            self.era_changed_at = None;
        }
    }

    /// Applies orders that another process sent, if they are newer than what this process read.
    pub fn apply_remote(&mut self, now: Time, orders: &Orders) {
        if orders.revision > self.orders.revision {
            self.replace(now, orders.clone());
        }
    }

    fn replace(&mut self, now: Time, mut orders: Orders) {
        if orders.revision.era > self.era() && self.orders.revision != Revision::ZERO {
            self.era_changed_at = Some(now);
        }
        if self.awaits_rewrite(now) {
            orders.domains.extend(self.orders.domains.iter().cloned());
        }
        self.orders = orders;
    }

    /// Returns whether orders of an earlier era are retained.
    #[must_use]
    pub const fn retains_earlier_era(&self) -> bool {
        self.era_changed_at.is_some()
    }

    /// Returns whether orders of an earlier era are retained because the operator may still be
    /// rewriting them.
    fn awaits_rewrite(&self, now: Time) -> bool {
        self.era_changed_at.is_some_and(|at| now.since(at) < REWRITE_MS)
    }

    /// Returns whether a new snapshot is due. Orders retained from an earlier era are in the store
    /// only if the operator has rewritten them.
    #[must_use]
    pub fn needs_read(&self, now: Time) -> bool {
        self.era_changed_at.is_some() && !self.awaits_rewrite(now)
    }

    /// Returns the store era of the orders.
    #[must_use]
    pub const fn era(&self) -> Era {
        self.orders.revision.era
    }

    /// Applies the changes that one answer of a watch reports, complete up to the revision `as_of`.
    /// Changes that the known orders already contain are ignored, and so are those after `as_of`,
    /// which the next answer reports again.
    ///
    /// Guards against an evacuation that is moved to another failure domain and followed only by
    /// half: all changes of one transaction of the operator have the same revision. Orders of a
    /// revision are applied as a whole, because other processes accept each revision only once.
    pub fn apply_changes(&mut self, as_of: Revision, changes: Vec<Change>) {
        let known = self.orders.revision;
        let is_new = |change: &Change| change.revision > known && change.revision <= as_of;
        for change in changes.into_iter().filter(is_new) {
            self.orders.revision = self.orders.revision.max(change.revision);
            if change.evacuated {
                self.orders.domains.insert(change.domain);
            } else {
                self.orders.domains.remove(&change.domain);
            }
        }
    }

    /// Returns the orders in force.
    #[must_use]
    pub const fn orders(&self) -> &Orders {
        &self.orders
    }
}
