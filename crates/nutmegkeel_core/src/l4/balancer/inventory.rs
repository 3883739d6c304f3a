//! The list of all agents that may hold flows, which a balancer requests from another one.
//!
//! A balancer that starts, or runs again after a stall, hears the agents that run. It cannot hear
//! one that is just being restarted, and would conclude from the answers of the others that nobody
//! holds a flow of that agent's server.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use super::summary::REPORTS_PER_DATAGRAM;
use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::decision::Decision;
use crate::l4::message::{Inventory, Message};
use crate::l4::placement::Change;

/// Interval between two requests, in milliseconds. A datagram may be lost, and the client of a lost
/// flow waits for the answer.
const REQUEST_INTERVAL_MS: u64 = 100;

/// Time after which a balancer that no other one can inform knows all agents, in milliseconds. An
/// agent that was being restarted when this balancer started is usually back by then, and most
/// clients of lost flows can still try again.
const UNINFORMED_MS: u64 = 3_000;

/// How far this balancer knows the agents that it cannot hear.
#[derive(Debug)]
pub(super) struct Absences {
    /// Whether it knows them.
    are_known: bool,
    /// Since when it has not known them.
    unknown_since: Time,
    /// When the last request was sent.
    requested_at: Option<Time>,
    /// Number of the last request.
    request: u32,
    /// Parts of the answer to it that have arrived.
    received: BTreeSet<u16>,
}

impl Absences {
    /// Creates the state of a balancer that starts.
    pub(super) const fn open(now: Time) -> Self {
        Self {
            are_known: false,
            unknown_since: now,
            requested_at: None,
            request: 0,
            received: BTreeSet::new(),
        }
    }

    pub(super) const fn are_known(&self) -> bool {
        self.are_known
    }
}

impl Balancer {
    /// Returns whether every agent that may hold a flow is known, also those that were away when
    /// this process started.
    pub(super) fn knows_all_holders(&self, now: Time) -> bool {
        self.absences.are_known && self.knows_all_agents(now)
    }

    /// Records that agents may be away that this process has not heard of.
    pub(super) fn forget_absences(&mut self, now: Time) {
        self.absences = Absences { request: self.absences.request, ..Absences::open(now) };
    }

    /// Requests the list from a balancer that has it, or concludes from other evidence that no
    /// unknown agent is away.
    pub(super) fn review_absences(&mut self, now: Time) -> Vec<Action> {
        if self.absences.are_known {
            return Vec::new();
        }
        if self.have_all_restarted(now) || self.has_waited_for_absences(now) {
            return vec![self.record_absences_known(now, None)];
        }
        let is_requested = |at: Time| now.since(at) < REQUEST_INTERVAL_MS;
        if self.absences.requested_at.is_some_and(is_requested) {
            return Vec::new();
        }
        let Some(to) = self.informed_peer(now) else {
            return Vec::new();
        };
        let request = self.absences.request.wrapping_add(1);
        self.absences.request = request;
        self.absences.requested_at = Some(now);
        self.absences.received.clear();
        vec![Action::Send(to, Message::ListAgents { request })]
    }

    /// Returns whether all agents have just started beside servers that started with them, as after
    /// a power failure. An agent that is still unknown then has no flows either.
    fn have_all_restarted(&self, now: Time) -> bool {
        self.knows_all_agents(now) && self.pool.has_started_anew()
    }

    /// Returns whether this process has run for so long that every agent which was away at its start
    /// is back.
    fn has_waited_for_absences(&self, now: Time) -> bool {
        let waited_ms = now.since(self.absences.unknown_since);
        waited_ms >= UNINFORMED_MS && self.knows_all_agents(now)
    }

    /// Returns a balancer that knows all agents; another one with each request, preferably of the
    /// own failure domain. One that is about to stop still answers.
    fn informed_peer(&self, now: Time) -> Option<Ipv4Addr> {
        let (mut local, mut remote) = (Vec::new(), Vec::new());
        for (peer, state) in self.peer_states.current(now) {
            if state.knows_all_agents {
                let is_local = state.domain == self.identity.domain;
                if is_local { local.push(peer) } else { remote.push(peer) }
            }
        }
        let informed = [local, remote].concat();
        let turn = usize::try_from(self.absences.request).unwrap_or(0);
        informed.get(turn.checked_rem(informed.len())?).copied()
    }

    /// Answers a request with all agents that may hold flows, if they are known.
    pub(super) fn list_agents(&self, now: Time, to: Ipv4Addr, request: u32) -> Vec<Action> {
        if !self.absences.are_known {
            return Vec::new();
        }
        let summaries = self.pool.holders(now, REPORTS_PER_DATAGRAM);
        let parts = u16::try_from(summaries.len()).unwrap_or(u16::MAX);
        let answer = |(part, agents)| {
            Action::Send(to, Message::Agents(Inventory { request, part, parts, agents }))
        };
        (0..parts).zip(summaries).map(answer).collect()
    }

    /// Applies a part of the answer to a request. The agents are known once all parts of one answer
    /// have arrived.
    pub(super) fn apply_inventory(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        inventory: &Inventory,
    ) -> Vec<Action> {
        if self.absences.are_known || inventory.request != self.absences.request {
            return Vec::new();
        }
        for report in &inventory.agents.reports {
            let change = self.pool.listed(now, &inventory.agents, report);
            self.agent_appeared |= change == Change::Appeared;
            self.agents_changed.record(report.agent, change);
        }
        self.absences.received.insert(inventory.part);
        if self.absences.received.len() < usize::from(inventory.parts) {
            return Vec::new();
        }
        vec![self.record_absences_known(now, Some(from))]
    }

    fn record_absences_known(&mut self, now: Time, from: Option<Ipv4Addr>) -> Action {
        self.absences.are_known = true;
        let after_ms = now.since(self.absences.unknown_since);
        let agents = self.pool.len();
        Action::Log(Decision::AgentsComplete { from, agents, after_ms })
    }
}
