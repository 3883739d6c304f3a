//! Whether an agent's own failure domain is evacuated: the agent is the last to see an opening before
//! the backend server does.

use std::net::Ipv4Addr;

use super::{Action, Agent};
use crate::clock::Time;
use crate::l4::decision::Decision;
use crate::l4::evacuation::{Latest, Orders};
use crate::l4::message::Message;
use crate::revision::Revision;

/// What an agent knows of the evacuation of its own failure domain.
#[derive(Debug, Default)]
pub(super) struct Standing {
    ledger: Latest,
    /// Newest revision of orders by which a balancer sent an opening here: the failure domain was not
    /// evacuated then.
    offered: Revision,
}

impl Standing {
    /// Takes in that a balancer chose this agent by the orders of this revision.
    fn note_offer(&mut self, revision: Revision) {
        self.offered = self.offered.max(revision);
    }

    /// The orders that forbid an opening, unless a balancer chose this agent by later ones. By those of the
    /// same revision none can have done so.
    fn forbidden_by(&self, domain: &str) -> Option<&Orders> {
        let orders = self.ledger.orders()?;
        let is_latest = orders.revision >= self.offered;
        (is_latest && orders.domains.contains(domain)).then_some(orders)
    }
}

impl Agent {
    /// Takes in the orders that a balancer told.
    pub(super) fn ordered(&mut self, now: Time, orders: &Orders) -> Vec<Action> {
        let was_evacuated = self.is_evacuated();
        let before = self.evacuation.ledger.revision();
        let changes = self.evacuation.ledger.apply(orders).into_iter();
        self.note_return(now, was_evacuated);
        if before != Revision::ZERO && self.evacuation.ledger.revision().era > before.era {
            self.keeper.forget_saved();
        }
        changes.map(|change| Action::Log(Decision::Evacuation(change))).collect()
    }

    fn is_evacuated(&self) -> bool {
        self.evacuation.forbidden_by(&self.identity.domain).is_some()
    }

    fn note_return(&mut self, now: Time, was_evacuated: bool) {
        if was_evacuated && !self.is_evacuated() {
            self.taken_back = Some(now);
        }
    }

    /// The orders that forbid an opening which a balancer offered by those of `revision`.
    ///
    /// Guards against openings from a balancer that has not heard of an evacuation, because it stood
    /// still or was cut off: the failure domain would go on getting work after everybody else has
    /// stopped. The later orders decide, so that a domain that was taken back serves with the first
    /// opening of a balancer that knows it.
    pub(super) fn evacuated_since(&mut self, now: Time, revision: Revision) -> Option<Orders> {
        let was_evacuated = self.is_evacuated();
        self.evacuation.note_offer(revision);
        self.note_return(now, was_evacuated);
        self.evacuation.forbidden_by(&self.identity.domain).cloned()
    }

    /// Teaches a balancer the orders that it lacks.
    pub(super) fn teach(&self, balancer: Ipv4Addr, orders: Orders) -> Action {
        Action::Send(balancer, Message::Orders(orders))
    }

    /// Tells the newest orders to a balancer that has heard of none since its start: the store, and the
    /// other balancers, may be away.
    pub(super) fn teach_newest(&self, balancer: Ipv4Addr) -> Option<Action> {
        Some(self.teach(balancer, self.evacuation.ledger.orders()?.clone()))
    }
}
