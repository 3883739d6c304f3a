//! Failure domains that the operator has evacuated: their backend servers take no new flows.
//!
//! An order lies in the store until the operator takes it back. Balancers and agents hold all orders
//! of one moment together and replace them as a whole, by the store's revision, so that it does not
//! matter in which order words arrive, or from whom.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// All orders that were in force at one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// The store's revision.
    pub revision: u64,
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
    pub revision: u64,
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
    /// revision, and the store counts revisions upwards for good, also over restarts of all processes, so
    /// the higher revision is always the later state.
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
    pub fn revision(&self) -> u64 {
        self.orders.as_ref().map_or(0, |orders| orders.revision)
    }
}

/// Follows the operator's orders as the store tells of them.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    orders: Orders,
}

impl Feed {
    /// Takes in all orders that the store holds at a revision.
    ///
    /// Guards against an order that stays in force for good after its end went by unseen, in a part of
    /// the store's history that is gone.
    pub fn read(&mut self, as_of: u64, domains: BTreeSet<Arc<str>>) {
        if as_of >= self.orders.revision {
            self.orders = Orders { revision: as_of, domains };
        }
    }

    /// Takes in that an order was given, or taken back, at a revision. What a read already holds changes
    /// nothing when its history is told again.
    pub fn change(&mut self, revision: u64, domain: Arc<str>, evacuated: bool) {
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
