//! Evacuation of an agent's own failure domain. The agent is the last process that can refuse an
//! opening before it reaches the backend server.

use std::net::Ipv4Addr;

use super::{Action, Agent};
use crate::clock::Time;
use crate::l4::decision::Decision;
use crate::l4::evacuation::{Latest, Orders};
use crate::l4::message::Message;
use crate::revision::Revision;

/// What an agent knows of the evacuation of its own failure domain.
#[derive(Debug, Default)]
pub(super) struct View {
    latest_orders: Latest,
    /// Newest revision of orders under which a balancer sent an opening here; under that revision
    /// the failure domain was not evacuated.
    newest_offer: Revision,
}

impl View {
    /// Records that a balancer selected this agent under the orders of this revision.
    fn record_offer(&mut self, revision: Revision) {
        self.newest_offer = self.newest_offer.max(revision);
    }

    /// Returns the orders that forbid an opening, unless a balancer selected this agent under later
    /// ones. Under the same revision no balancer can have done so.
    fn forbidden_by(&self, domain: &str) -> Option<&Orders> {
        let orders = self.latest_orders.orders()?;
        let is_latest = orders.revision >= self.newest_offer;
        (is_latest && orders.domains.contains(domain)).then_some(orders)
    }
}

impl Agent {
    /// Applies the orders that a balancer sent.
    pub(super) fn apply_orders(&mut self, now: Time, orders: &Orders) -> Vec<Action> {
        let was_evacuated = self.is_evacuated();
        let before = self.evacuation.latest_orders.revision();
        let changes = self.evacuation.latest_orders.apply(orders).into_iter();
        self.record_taken_back(now, was_evacuated);
        if before != Revision::ZERO && self.evacuation.latest_orders.revision().era > before.era {
            self.recorder.forget_saved();
        }
        changes.map(|change| Action::Log(Decision::Evacuation(change))).collect()
    }

    fn is_evacuated(&self) -> bool {
        self.evacuation.forbidden_by(&self.identity.domain).is_some()
    }

    fn record_taken_back(&mut self, now: Time, was_evacuated: bool) {
        if was_evacuated && !self.is_evacuated() {
            self.taken_back = Some(now);
        }
    }

    /// Returns the orders that forbid an opening which a balancer offered under those of
    /// `revision`.
    ///
    /// Guards against openings from a balancer that missed an evacuation because it was stalled or
    /// partitioned: the failure domain would go on receiving work after all other balancers have
    /// stopped. The later orders decide, so that a domain whose evacuation has ended serves the
    /// first opening of a balancer that knows this.
    pub(super) fn forbidding_orders(&mut self, now: Time, revision: Revision) -> Option<Orders> {
        let was_evacuated = self.is_evacuated();
        self.evacuation.record_offer(revision);
        self.record_taken_back(now, was_evacuated);
        self.evacuation.forbidden_by(&self.identity.domain).cloned()
    }

    /// Sends a balancer the orders that it lacks.
    pub(super) fn send_orders(&self, balancer: Ipv4Addr, orders: Orders) -> Action {
        Action::Send(balancer, Message::Orders(orders))
    }

    /// Sends the newest orders to a balancer that has received none since its start: the store and
    /// the other balancers may be unreachable.
    pub(super) fn send_newest_orders(&self, balancer: Ipv4Addr) -> Option<Action> {
        Some(self.send_orders(balancer, self.evacuation.latest_orders.orders()?.clone()))
    }
}
