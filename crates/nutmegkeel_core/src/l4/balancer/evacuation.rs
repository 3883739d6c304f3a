//! Evacuated failure domains at a balancer: it learns of them, passes the word on, and places nothing there.

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::decision::Decision;
use crate::l4::evacuation::Orders;
use crate::l4::message::Roster;

impl Balancer {
    /// Takes in orders from the store or from an agent, and tells the failure domain at once.
    pub(super) fn ordered(&mut self, now: Time, orders: &Orders) -> Vec<Action> {
        let mut actions = self.take_orders(now, orders);
        if !actions.is_empty() {
            actions.extend(self.tell_domain(now));
        }
        actions
    }

    /// Takes in orders that another balancer has. What comes from another failure domain is passed on at
    /// home: the delegates here may be the ones that the store turns away.
    pub(super) fn hear_orders(&mut self, now: Time, word: &Roster, orders: &Orders) -> Vec<Action> {
        if word.domain == self.identity.domain {
            return self.take_orders(now, orders);
        }
        self.ordered(now, orders)
    }

    /// What the orders change. Openings that were kept may have a place now, unless there is no route yet.
    fn take_orders(&mut self, now: Time, orders: &Orders) -> Vec<Action> {
        let was_unknown = self.ledger.orders().is_none();
        let changes = self.ledger.apply(orders);
        if changes.is_empty() && !was_unknown {
            return Vec::new();
        }
        self.pool.set_evacuated(orders.domains.clone());
        let mut actions = if self.table.version > 0 { self.recall(now) } else { Vec::new() };
        actions.extend(changes.into_iter().map(|change| Action::Log(Decision::Evacuation(change))));
        actions
    }
}
