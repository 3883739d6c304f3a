//! Flows of agents that this balancer does not reach although another one does.
//!
//! Matters where the network is cut between two hosts only: to this balancer the agent is as silent
//! as one whose host is lost, and its flows would be reset although they could go on.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use super::peers::next_few;
use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::cache::Place;
use crate::l4::decision::Decision;
use crate::l4::flow::Head;
use crate::l4::message::Message;
use crate::l4::policy::Mechanism;

/// Number of balancers that are asked at a time whether they hear an agent. One of them may be cut
/// off too.
const ASKED_AT_A_TIME: usize = 2;

/// Agents per inquiry. At some ten bytes each, the answer fits into a datagram.
const AGENTS_PER_INQUIRY: usize = 64;

impl Balancer {
    /// Asks other balancers whether they hear the agents that have become silent here. Agents
    /// announce themselves to the balancers of their own failure domain, so these are asked.
    pub(super) fn inquire(&mut self, now: Time) -> Vec<Action> {
        if !self.identity.policy.uses(Mechanism::Relay) {
            return Vec::new();
        }
        let due = self.pool.request_inquiries(now);
        if due.is_empty() {
            return Vec::new();
        }
        self.inquiry_turn = self.inquiry_turn.wrapping_add(ASKED_AT_A_TIME);
        let mut domains: BTreeMap<_, Vec<Ipv4Addr>> = BTreeMap::new();
        for agent in due {
            if let Some(domain) = self.pool.domain_of(agent) {
                domains.entry(domain).or_default().push(agent);
            }
        }
        let mut actions = Vec::new();
        for (domain, agents) in domains {
            let peers: Vec<Ipv4Addr> =
                self.peer_states.of_domain(now, domain).map(|(peer, _)| peer).collect();
            for to in next_few(&peers, self.inquiry_turn, ASKED_AT_A_TIME) {
                let inquiry = |part: &[Ipv4Addr]| Message::Inquire { agents: part.to_vec() };
                let parts = agents.chunks(AGENTS_PER_INQUIRY).map(inquiry);
                actions.extend(parts.map(|part| Action::Send(to, part)));
            }
        }
        actions
    }

    /// Reports which of these agents this balancer hears.
    pub(super) fn inquired(&self, now: Time, from: Ipv4Addr, agents: &[Ipv4Addr]) -> Vec<Action> {
        let hears = |agent: &Ipv4Addr| {
            let age_ms = self.pool.heard_ms_ago(now, *agent)?;
            Some((*agent, u32::try_from(age_ms).ok()?))
        };
        let agents: Vec<_> = agents.iter().take(AGENTS_PER_INQUIRY).filter_map(hears).collect();
        if agents.is_empty() {
            return Vec::new();
        }
        vec![Action::Send(from, Message::Hears { agents })]
    }

    /// Records that another balancer hears these agents; each with the time since its last message,
    /// in milliseconds.
    pub(super) fn record_heard_elsewhere(
        &mut self,
        now: Time,
        by: Ipv4Addr,
        agents: &[(Ipv4Addr, u32)],
    ) {
        for (agent, age_ms) in agents {
            self.pool.heard_elsewhere(*agent, by, now.before(u64::from(*age_ms)));
        }
    }

    /// Records that an agent does not hear this balancer. A report that covers a time in which this
    /// process did not run, and sent nothing, shows nothing.
    pub(super) fn record_unheard(&mut self, now: Time, from: Ipv4Addr, silent_ms: u32) {
        if now.since(self.running_since) > u64::from(silent_ms) {
            self.pool.unheard(now, from);
        }
    }

    /// Forwards a packet to the agent that holds its flow, or may hold it. If only another balancer
    /// reaches the agent, the packet is relayed to that one, which looks for the flow itself.
    ///
    /// A relayed packet is not relayed again: two balancers that are cut off from different agents
    /// would pass it to each other.
    pub(super) fn carry_to(
        &mut self,
        now: Time,
        head: &Head,
        agent: Ipv4Addr,
        known: bool,
    ) -> Vec<Action> {
        let detour = self.pool.detour(now, agent).filter(|_| !self.is_relayed);
        let Some(to) = detour else {
            return vec![Action::Forward(agent, self.carry_message(&head.flow, known))];
        };
        // An agent out of reach is asked last, when no other holds the flow.
        self.cache.entry(now, head.flow).place = Some(Place::Held(agent));
        let decision = Decision::Relayed { flow: head.flow, to };
        vec![Action::Forward(to, Message::Relay), Action::Log(decision)]
    }
}
