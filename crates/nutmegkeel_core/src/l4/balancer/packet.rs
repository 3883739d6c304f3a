//! Handles clients' packets: those from the fabric, those that other balancers relay, and those that
//! agents return.

use std::net::Ipv4Addr;

use super::search::record_declined;
use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::cache::Place;
use crate::l4::decision::{Cause, Decision};
use crate::l4::flow::{Flow, Head};
use crate::l4::message::{Load, Reason};
use crate::l4::policy::Mechanism;
use crate::l4::route::Service;

impl Balancer {
    pub(super) fn client_packet(&mut self, now: Time, head: &Head) -> Vec<Action> {
        // A first opening begins a new flow, even if the cache has an older flow with the same
        // addresses and ports.
        if head.opens() && head.ack == 0 {
            self.cache.remove(&head.flow);
        }
        self.handle_packet(now, head)
    }

    pub(super) fn handle_packet(&mut self, now: Time, head: &Head) -> Vec<Action> {
        if self.table.version == 0 {
            return self.relay(now, head);
        }
        let route = self.table.routes.get(&head.flow.service).cloned();
        // Guards against a new flow by a route that has changed, and against a search for an open flow
        // whose route is among the changes that have not been read yet.
        if self.is_behind(now) && (head.opens() || route.is_none()) {
            return self.keep(head, Cause::Behind);
        }
        let Some(route) = route else {
            return self.without_route(now, head);
        };
        if head.opens() { self.opening(now, head, &route) } else { self.carry(now, head) }
    }

    /// Handles a packet while neither this balancer nor any other known one has a configuration.
    ///
    /// Guards against open flows that hang when the whole fleet restarts while the store is
    /// unreachable: backend servers and their agents are alive, but clients would wait until the
    /// store is back. A packet of an open flow needs no route, because the agent that holds the
    /// flow reports it. Only an opening needs one.
    pub(super) fn unrouted(&mut self, now: Time, head: &Head) -> Vec<Action> {
        if head.opens() || !self.identity.policy.uses(Mechanism::Unrouted) {
            return self.keep(head, Cause::NoConfiguration);
        }
        self.carry(now, head)
    }

    /// Returns the services whose agents are asked first for a flow: those of its route. Without a
    /// route, no service is preferred and all agents are asked.
    pub(super) fn services(&self, flow: &Flow) -> Vec<Service> {
        let route = self.table.routes.get(&flow.service);
        route.into_iter().flat_map(|route| &route.shares).map(|share| share.service).collect()
    }

    pub(super) fn declined(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        head: &Head,
        reason: Reason,
        load: Load,
    ) -> Vec<Action> {
        self.pool.load_received(now, from, load);
        match reason {
            Reason::Leaving => self.pool.closed(from),
            Reason::Cold => self.pool.room_exhausted(from),
            _ => {}
        }
        if head.opens() && self.has_no_route(&head.flow) {
            return self.reset(head, Cause::NoRoute, 0);
        }
        let route = self.table.routes.get(&head.flow.service).cloned();
        let entry = self.cache.entry(now, head.flow);
        let current = entry.place.as_ref().map(Place::agent);
        let was_asked = entry.place == Some(Place::Asked(from));
        let after_ms = now.since(entry.asked_at);
        if reason == Reason::NotHeld {
            entry.unanswered.remove(&from);
            entry.record_denied(now, from);
        }
        if current.is_none_or(|agent| agent == from) {
            entry.place = None;
            record_declined(entry, from, reason);
        }
        if was_asked {
            self.learn_answer_time(after_ms);
        }
        let log = Action::Log(Decision::Declined { flow: head.flow, agent: from, reason, load });
        let mut actions = match (current, route.filter(|_| head.opens())) {
            (Some(agent), Some(_)) if agent != from => Vec::new(),
            (Some(agent), None) if agent != from => self.carry_to(now, head, agent, false),
            (_, Some(route)) => self.opening(now, head, &route),
            // The opening was sent by an earlier process on this host, which had a configuration.
            (_, None) if head.opens() => self.keep(head, Cause::NoConfiguration),
            (_, None) => self.search(now, head),
        };
        actions.push(log);
        actions
    }

    /// Handles a packet that another balancer relayed.
    pub(super) fn relayed(&mut self, now: Time, head: &Head) -> Vec<Action> {
        self.is_relayed = true;
        let actions = if self.table.version == 0 {
            self.unrouted(now, head)
        } else {
            self.client_packet(now, head)
        };
        self.is_relayed = false;
        actions
    }
}
