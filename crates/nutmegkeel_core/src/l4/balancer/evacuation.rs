//! Applies evacuation orders: learns of them, forwards them, and places no flows in evacuated
//! failure domains.

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::decision::Decision;
use crate::l4::evacuation::Orders;
use crate::l4::message::Gossip;

impl Balancer {
    /// Applies orders from the store or from an agent, and forwards them to the failure domain at
    /// once.
    pub(super) fn ordered(&mut self, now: Time, orders: &Orders) -> Vec<Action> {
        let mut actions = self.apply_orders(now, orders);
        if !actions.is_empty() {
            actions.extend(self.notify_domain(now));
        }
        actions
    }

    /// Applies orders received from another balancer. Orders from another failure domain are
    /// forwarded within the own one, because the store may be unreachable for the delegates here.
    pub(super) fn apply_peer_orders(
        &mut self,
        now: Time,
        gossip: &Gossip,
        orders: &Orders,
    ) -> Vec<Action> {
        if gossip.domain == self.identity.domain {
            return self.apply_orders(now, orders);
        }
        self.ordered(now, orders)
    }

    /// Applies orders and returns the resulting actions. Kept openings may be placeable now, unless
    /// there is no route yet.
    fn apply_orders(&mut self, now: Time, orders: &Orders) -> Vec<Action> {
        let was_unknown = self.latest_orders.orders().is_none();
        let changes = self.latest_orders.apply(orders);
        if changes.is_empty() && !was_unknown {
            return Vec::new();
        }
        self.pool.set_evacuated(orders.domains.clone());
        let mut actions = if self.table.version > 0 { self.recall(now) } else { Vec::new() };
        actions.extend(changes.into_iter().map(|change| Action::Log(Decision::Evacuation(change))));
        actions
    }
}
