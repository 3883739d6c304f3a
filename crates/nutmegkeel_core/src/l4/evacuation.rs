//! Failure domains that the operator has evacuated: their backend servers take no new flows.
//!
//! An order lies in the store until the operator takes it back. Balancers and agents hold all orders
//! of one moment together and replace them as a whole, by the store's era and revision, so that it does not
//! matter in which order words arrive, or from whom.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::revision::{Era, Revision};

/// All orders that were in force at one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// The store's revision.
    pub revision: Revision,
    /// The failure domains that are evacuated.
    pub domains: BTreeSet<Arc<str>>,
}

/// How one failure domain's order changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The failure domain.
    pub domain: Arc<str>,
    /// Whether it is evacuated now; taken back otherwise.
    pub evacuated: bool,
    /// Revision of the orders that say so.
    pub revision: Revision,
}

/// The newest orders that a process has heard of; none while it has heard of none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    orders: Option<Orders>,
}

impl Ledger {
    /// Takes in orders, and says what they change.
    ///
    /// Guards against an order that comes back, or is forgotten, because an old word took a slow way:
    /// new flows would go to servers that the operator is about to switch off. Orders hold at their
    /// revision, which only rises: where the store comes back from an older copy and counts from there, its era
    /// does.
    pub fn take(&mut self, orders: &Orders) -> Vec<Change> {
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

    /// The newest orders.
    #[must_use]
    pub const fn orders(&self) -> Option<&Orders> {
        self.orders.as_ref()
    }

    /// Revision of the newest orders; zero while none have been heard of.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.orders.as_ref().map_or(Revision::ZERO, |orders| orders.revision)
    }
}

/// After the store came back from an older copy, orders that the copy lacks are held for so long, in milliseconds:
/// the operator writes them again meanwhile.
pub const REWRITE_MS: u64 = 2_000;

/// Follows the operator's orders as the store tells of them.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    orders: Orders,
    /// When the store was first seen in its present era, while orders of an earlier one are held.
    returned: Option<Time>,
}

impl Feed {
    /// Takes in all orders that the store holds at a revision.
    ///
    /// Guards against an order that stays in force for good after its end went by unseen, in a part of
    /// the store's history that is gone.
    ///
    /// The first image of a later era may lack orders that were given after the store's copy was made. They hold
    /// on until the operator has written them again, or [`REWRITE_MS`] have passed.
    pub fn read(&mut self, now: Time, as_of: Revision, domains: BTreeSet<Arc<str>>) {
        if as_of < self.orders.revision {
            return;
        }
        self.replace(now, Orders { revision: as_of, domains });
        if !self.awaits_rewrite(now) {
            self.returned = None;
        }
    }

    /// Takes in orders that this process heard of elsewhere, and that may be later than what it read itself.
    pub fn hear(&mut self, now: Time, orders: &Orders) {
        if orders.revision > self.orders.revision {
            self.replace(now, orders.clone());
        }
    }

    fn replace(&mut self, now: Time, mut orders: Orders) {
        if orders.revision.era > self.era() && self.orders.revision != Revision::ZERO {
            self.returned = Some(now);
        }
        if self.awaits_rewrite(now) {
            orders.domains.extend(self.orders.domains.iter().cloned());
        }
        self.orders = orders;
    }

    /// Whether orders of an earlier era are held.
    #[must_use]
    pub const fn holds_on(&self) -> bool {
        self.returned.is_some()
    }

    /// Whether orders of an earlier era are held because the operator may still be writing them again.
    fn awaits_rewrite(&self, now: Time) -> bool {
        self.returned.is_some_and(|returned| now.since(returned) < REWRITE_MS)
    }

    /// Whether it is time to read all orders anew: what is held from an earlier era is not in the store unless
    /// the operator wrote it again.
    #[must_use]
    pub fn needs_read(&self, now: Time) -> bool {
        self.returned.is_some() && !self.awaits_rewrite(now)
    }

    /// The era of the store that the orders are of.
    #[must_use]
    pub const fn era(&self) -> Era {
        self.orders.revision.era
    }

    /// Takes in that an order was given, or taken back, at a revision. What a read already holds changes
    /// nothing when its history is told again.
    pub fn change(&mut self, revision: Revision, domain: Arc<str>, evacuated: bool) {
        if revision <= self.orders.revision {
            return;
        }
        self.orders.revision = revision;
        if evacuated {
            self.orders.domains.insert(domain);
        } else {
            self.orders.domains.remove(&domain);
        }
    }

    /// The orders in force.
    #[must_use]
    pub const fn orders(&self) -> &Orders {
        &self.orders
    }
}
