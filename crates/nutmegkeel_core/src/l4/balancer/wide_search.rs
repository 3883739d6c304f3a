//! Asks many agents for a flow at once, without its packet.
//!
//! The load pattern: after a mass restart clients send on flows that are gone. Nobody holds such a flow, so
//! every agent has to be asked before its client can be told, and with the agents of other failure domains
//! some milliseconds away one after the other takes longer than the client's objective.

use std::net::Ipv4Addr;

use super::search::note_unanswered;
use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::flow::Flow;
use crate::l4::health::Health;
use crate::l4::message::{Load, Message, Reason};
use crate::l4::policy::Mechanism;

/// Part of the objective that asking one agent after the other may take, in percent: the rest is for the
/// client's next try.
const SEARCH_PERCENT: u64 = 25;

impl Balancer {
    /// Asks all agents that are left, if one after the other would take too long; empty if it would not, or
    /// if none is left that may know without the packet.
    pub(super) fn ask_many(&mut self, now: Time, flow: Flow) -> Vec<Action> {
        if !self.identity.policy.uses(Mechanism::WideSearch) {
            return Vec::new();
        }
        let left = self.left_to_ask(now, flow);
        if !self.takes_long(flow, left.len()) {
            return Vec::new();
        }
        let entry = self.cache.entry(now, flow);
        entry.asked = now;
        entry.questions.extend(&left);
        left.into_iter().map(|agent| Action::Send(agent, Message::Locate { flow })).collect()
    }

    /// Agents that may hold a flow, have not denied it and are not known to need the packet.
    fn left_to_ask(&mut self, now: Time, flow: Flow) -> Vec<Ipv4Addr> {
        let Some(services) = self.services(&flow) else {
            return Vec::new();
        };
        let agents = self.pool.search(flow.key(), &services, &self.identity.domain);
        let entry = self.cache.entry(now, flow);
        let is_left = |agent: &Ipv4Addr| {
            let is_there = self.pool.health(now, *agent) <= Some(Health::Late);
            is_there && self.pool.may_hold(now, *agent) && !entry.was_asked(*agent)
        };
        agents.into_iter().filter(is_left).collect()
    }

    /// Whether asking so many agents one after the other would take too much of the flow's objective. Not
    /// while it is unknown how long an answer takes, or what the flow asks for.
    fn takes_long(&self, flow: Flow, agents: usize) -> bool {
        let Some(route) = self.table.routes.get(&flow.service) else {
            return false;
        };
        let limit_us = route.objective_ms * 1_000 * SEARCH_PERCENT / 100;
        let agents = u64::try_from(agents).unwrap_or(u64::MAX);
        limit_us > 0 && agents.saturating_mul(self.answer_us) > limit_us
    }

    /// Learns how long an agent takes to answer, from one that was asked alone.
    pub(super) fn learn_answer_time(&mut self, after_ms: u64) {
        /// An answer counts for an eighth of what is learnt, so that one slow host decides nothing.
        const SHARE: u64 = 8;
        let sample_us = after_ms * 1_000;
        self.answer_us = (self.answer_us * (SHARE - 1) + sample_us) / SHARE;
    }

    /// Goes on without the agents that have not answered in time; they may hold the flow.
    pub(super) fn pass_over_questions(&mut self, now: Time, flow: Flow) {
        let entry = self.cache.entry(now, flow);
        for agent in std::mem::take(&mut entry.questions) {
            note_unanswered(entry, agent);
        }
    }

    /// An agent said that only its backend server knows whether the flow is there.
    pub(super) fn unsure(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        flow: Flow,
        load: Load,
    ) -> Vec<Action> {
        self.pool.load_received(now, from, load);
        let entry = self.cache.entry(now, flow);
        if !entry.questions.remove(&from) {
            return Vec::new();
        }
        entry.unsure.insert(from);
        if entry.questions.is_empty() { self.decide(now, flow) } else { Vec::new() }
    }

    /// Calls for the flow's packet, if agents are left that can be asked only with it. They are asked one
    /// after the other: a packet that many servers get at once would look like a flow that lost its way.
    pub(super) fn call_for_packet(&mut self, now: Time, flow: Flow) -> Option<Action> {
        let entry = self.cache.entry(now, flow);
        let is_left = |agent: &Ipv4Addr| !entry.declined.contains(&(*agent, Reason::NotHeld));
        entry.unsure.iter().any(is_left).then_some(Action::RecallFlow(flow))
    }
}
