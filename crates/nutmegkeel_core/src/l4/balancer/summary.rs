//! Summaries of agents that balancers of different failure domains exchange.
//!
//! Matters for the number of datagrams: if every agent announced itself to every balancer, there
//! would be one for each pair, most of them between failure domains. Instead, agents announce
//! themselves to the balancers of their own domain. These take turns to send a summary to one
//! balancer of each other domain, which forwards it within that domain. There is no elected sender:
//! a balancer that dies only misses its turns.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::health::SUMMARY_MS;
use crate::l4::message::{Message, Report, Summary};
use crate::l4::placement::Change;
use crate::l4::policy::Mechanism;

/// Agents per datagram. At some 20 bytes each, they fit next to the rest.
pub const REPORTS_PER_DATAGRAM: usize = 48;

/// Number of balancers of a failure domain that send its summary in one slot, each to another
/// receiver. One of them, or its receiver, may be dead.
const SENDERS_PER_SLOT: usize = 2;

impl Balancer {
    /// Sends a summary of the agents of this failure domain to one balancer of each other domain,
    /// if it is this balancer's turn.
    pub(super) fn send_summaries(&mut self, now: Time) -> Vec<Action> {
        let slot = now.millis() / SUMMARY_MS;
        if slot == self.summary_slot || !self.identity.policy.uses(Mechanism::Summaries) {
            return Vec::new();
        }
        self.summary_slot = slot;
        let (local, remote) = self.active_peers(now);
        let rank = local.iter().filter(|peer| **peer < self.identity.address).count();
        let slot = usize::try_from(slot).unwrap_or(usize::MAX);
        let turns = local.len() + 1;
        if (slot + turns - rank) % turns >= SENDERS_PER_SLOT {
            return Vec::new();
        }
        let summaries = datagrams(&self.pool.summary(now, &self.identity.domain));
        let targets = remote.values().filter_map(|peers| peers.get((slot + rank) % peers.len()));
        targets.flat_map(|to| summaries.iter().map(|one| Action::Send(*to, one.clone()))).collect()
    }

    /// Reports agents of this failure domain that have become late to all balancers of the other
    /// domains.
    ///
    /// Guards against openings that go to a dead host in another failure domain until the next
    /// summary. The last copy of an opening follows the first after 600 ms; if that goes to the
    /// dead host too, the client's try is lost.
    pub(super) fn send_late_agents(&mut self, now: Time) -> Vec<Action> {
        let late = self.pool.newly_late(now, &self.identity.domain);
        if late.reports.is_empty()
            || !self.identity.policy.uses(Mechanism::Summaries)
            || !self.watches(now)
        {
            return Vec::new();
        }
        let datagrams = datagrams(&Summary { forwarded: true, ..late });
        let remote =
            self.peer_states.current(now).filter(|(_, state)| state.domain != self.identity.domain);
        remote
            .flat_map(|(to, _)| datagrams.iter().map(move |one| Action::Send(to, one.clone())))
            .collect()
    }

    /// Returns the other balancers with a valid state that are not about to stop: those of this
    /// failure domain, and those of each other domain.
    fn active_peers(&self, now: Time) -> (Vec<Ipv4Addr>, BTreeMap<Arc<str>, Vec<Ipv4Addr>>) {
        let mut domains: BTreeMap<Arc<str>, Vec<Ipv4Addr>> = BTreeMap::new();
        for (peer, state) in self.peer_states.not_leaving(now) {
            domains.entry(Arc::clone(&state.domain)).or_default().push(peer);
        }
        (domains.remove(&self.identity.domain).unwrap_or_default(), domains)
    }

    /// Applies a summary of another failure domain and forwards it within the own one, except for
    /// reports that were just received. Two balancers report all agents in each slot; forwarding
    /// both reports would fill the links of a large domain with duplicates.
    pub(super) fn summary(&mut self, now: Time, summary: &Summary) -> Vec<Action> {
        if summary.domain == self.identity.domain {
            return Vec::new();
        }
        let mut new_reports = Vec::new();
        for report in &summary.reports {
            if !self.pool.is_repeated(now, report) {
                new_reports.push(report.clone());
            }
            let change = self.pool.reported(now, summary, report);
            self.agent_changed(now, report.agent, change);
        }
        if summary.forwarded || new_reports.is_empty() {
            return Vec::new();
        }
        let (domain, services) = (Arc::clone(&summary.domain), summary.services.clone());
        let forwarded = Summary { domain, services, reports: new_reports, forwarded: true };
        let message = Message::Summary(forwarded);
        let local = self.peer_states.of_domain(now, &self.identity.domain);
        local.map(|(peer, _)| Action::Send(peer, message.clone())).collect()
    }

    /// Records a change of an agent.
    pub(super) fn agent_changed(&mut self, now: Time, agent: Ipv4Addr, change: Change) {
        if change == Change::Appeared {
            self.record_new_agent(now);
        }
        self.agent_appeared |= matches!(change, Change::Appeared | Change::Opened);
        self.agents_changed.record(agent, change);
    }
}

/// Splits a summary into datagrams of bounded length.
fn datagrams(summary: &Summary) -> Vec<Message> {
    let message = |reports: &[Report]| {
        let (domain, services) = (Arc::clone(&summary.domain), summary.services.clone());
        let (reports, forwarded) = (reports.to_vec(), summary.forwarded);
        Message::Summary(Summary { domain, services, reports, forwarded })
    };
    summary.reports.chunks(REPORTS_PER_DATAGRAM).map(message).collect()
}
