//! Asks many agents for a flow at once, without its packet.
//!
//! Matters after a mass restart, when clients still send on flows that are gone. No agent holds
//! such a flow, so every agent must be asked before its client can be reset. Agents of other
//! failure domains are some milliseconds away, and asking them one by one takes longer than the
//! client's objective.

use std::net::Ipv4Addr;
use std::sync::Arc;

use super::search::{record_declined, record_unanswered};
use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::cache::Place;
use crate::l4::flow::Flow;
use crate::l4::health::Health;
use crate::l4::message::{Load, Message, Reason};
use crate::l4::policy::Mechanism;

/// Part of the objective that asking agents one by one may take, in percent. The rest is for the
/// client's next try.
const SEQUENTIAL_SEARCH_PERCENT: u64 = 25;

impl Balancer {
    /// Asks all remaining agents, if asking them one by one would take too long, or if the flow has no
    /// route. Returns nothing otherwise, or if no remaining agent can answer without the packet.
    ///
    /// Without a route, the agents that the opening was probably offered to are asked before all
    /// others, for each service, and none of them gets the packet of a flow that it does not hold.
    pub(super) fn ask_many(&mut self, now: Time, flow: Flow) -> Vec<Action> {
        if !self.identity.policy.uses(Mechanism::WideSearch) {
            return Vec::new();
        }
        let left = self.left_to_ask(now, flow);
        let is_due = self.has_no_route(&flow) || self.takes_long(flow, left.len());
        if left.is_empty() || !is_due {
            return Vec::new();
        }
        self.record_queries(&flow, left.len());
        let entry = self.cache.entry(now, flow);
        entry.asked_at = now;
        entry.queried.extend(&left);
        left.into_iter().map(|agent| Action::Send(agent, Message::Locate { flow })).collect()
    }

    /// Returns the agents to ask next: all that are left, or for a flow without a route those of the
    /// first ones that are left, if there are any.
    fn left_to_ask(&mut self, now: Time, flow: Flow) -> Vec<Ipv4Addr> {
        let (key, services) = (flow.key(), self.services(&flow));
        let domain = Arc::clone(&self.identity.domain);
        if self.has_no_route(&flow) {
            let first = self.pool.search_first(key, &services, &domain);
            let left = self.left_of(now, flow, first);
            if !left.is_empty() {
                return left;
            }
        }
        let all = self.pool.search(key, &services, &domain);
        self.left_of(now, flow, all)
    }

    /// Returns those of these agents that may hold a flow, have not denied it and are not known to
    /// need the packet.
    fn left_of(&mut self, now: Time, flow: Flow, agents: Vec<Ipv4Addr>) -> Vec<Ipv4Addr> {
        let entry = self.cache.entry(now, flow);
        let is_left = |agent: &Ipv4Addr| {
            let is_there = self.pool.health(now, *agent) <= Some(Health::Late);
            is_there && self.pool.may_hold(now, *agent) && !entry.was_asked(*agent)
        };
        agents.into_iter().filter(is_left).collect()
    }

    /// Returns whether asking this number of agents one by one would take too much of the flow's
    /// objective. False while the answer time or the objective is unknown.
    fn takes_long(&self, flow: Flow, agents: usize) -> bool {
        let Some(route) = self.table.routes.get(&flow.service) else {
            return false;
        };
        let limit_us = route.objective_ms * 1_000 * SEQUENTIAL_SEARCH_PERCENT / 100;
        let agents = u64::try_from(agents).unwrap_or(u64::MAX);
        limit_us > 0 && agents.saturating_mul(self.answer_time_us) > limit_us
    }

    /// Updates the time that an agent takes to answer, from one that was asked alone.
    pub(super) fn learn_answer_time(&mut self, after_ms: u64) {
        /// Divisor of the weight of one answer: with an eighth, one slow host has little influence.
        const SHARE: u64 = 8;
        let sample_us = after_ms * 1_000;
        self.answer_time_us = (self.answer_time_us * (SHARE - 1) + sample_us) / SHARE;
    }

    /// Skips the agents that have not answered in time. They may hold the flow.
    pub(super) fn skip_unanswered(&mut self, now: Time, flow: Flow) {
        let entry = self.cache.entry(now, flow);
        for agent in std::mem::take(&mut entry.queried) {
            record_unanswered(now, entry, agent);
        }
    }

    /// Handles the answer of an agent that only its backend server knows whether the flow is there.
    pub(super) fn unsure(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        flow: Flow,
        load: Load,
    ) -> Vec<Action> {
        self.pool.load_received(now, from, load);
        let entry = self.cache.entry(now, flow);
        let was_asked = entry.place == Some(Place::Asked(from));
        if !entry.queried.remove(&from) && !was_asked {
            return Vec::new();
        }
        if was_asked {
            entry.place = None;
        }
        if entry.was_denied_by(now, from) {
            // Its server has denied the flow to an earlier process on its host.
            record_declined(entry, from, Reason::NotHeld);
        } else {
            entry.ask_again(from);
            entry.unsure.insert(from);
        }
        if entry.queried.is_empty() { self.continue_search(now, flow) } else { Vec::new() }
    }

    /// Recalls the flow's packet, if some agents can be asked only with it. They are asked one by
    /// one: a packet that reaches many servers at once would look like a misrouted flow.
    pub(super) fn recall_packet(&mut self, now: Time, flow: Flow) -> Option<Action> {
        let entry = self.cache.entry(now, flow);
        let is_left = |agent: &Ipv4Addr| !entry.declined.contains(&(*agent, Reason::NotHeld));
        entry.unsure.iter().any(is_left).then_some(Action::RecallFlow(flow))
    }
}
