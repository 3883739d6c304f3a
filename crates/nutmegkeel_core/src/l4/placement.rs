//! Selects the agent of a new flow, and the order in which agents are asked for an open flow.
//!
//! All balancers of a failure domain compute the same order for a flow. A balancer that gets a
//! packet of a flow whose opening went through another one therefore finds the flow's agent among
//! the first that it asks.

mod balance;
mod candidate;
mod evenness;
mod free;
mod inheritance;
mod liveness;
mod order;
mod reach;
mod report;
mod uneven;

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

use balance::Balance;
use candidate::Candidate;
use inheritance::Inheritance;

use super::message::{Announcement, Load, State};
use super::roster::Sent;
use super::route::{Kind, Service};
use crate::clock::Time;
use crate::placement::Key;

pub use balance::Level;
pub use evenness::Evenness;
pub use uneven::{Slowness, Verdict};

/// An agent chosen for a new flow, with the load that the choice is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Address of the agent.
    pub agent: Ipv4Addr,
    /// Load of the agent as last received.
    pub load: Load,
    /// Age of that load, in milliseconds.
    pub age_ms: u64,
}

/// Requirements of a new flow.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Key of the flow.
    pub key: Key,
    /// Service of the flow.
    pub service: Service,
    /// Kind of its requests.
    pub kind: Kind,
    /// Regions that the flow may go to; empty if it may go to all.
    pub regions: &'a BTreeSet<Arc<str>>,
    /// Failure domain of the client.
    pub domain: &'a str,
    /// Agents that must not be chosen.
    pub tried: &'a [Ipv4Addr],
}

/// Effect of an announcement on what is known of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that decisions depend on has changed.
    None,
    /// The agent is new, or a new process runs at its address.
    Appeared,
    /// The agent accepts new flows from now on.
    Opened,
    /// The agent no longer accepts new flows.
    Closed,
    /// The announcement is older than the last one applied.
    Stale,
}

/// What to send to an agent about the balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notification {
    /// Nothing: the agent has received the same information recently.
    Nothing,
    /// A heartbeat of this balancer.
    Heartbeat,
    /// The addresses of all balancers.
    Addresses,
}

/// Agents known to a balancer, by address.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    agents: BTreeMap<Ipv4Addr, Candidate>,
    /// Agents by service, including those without one. Decisions on a flow visit only the agents of
    /// its service, whatever the size of the fleet.
    members: BTreeMap<Option<Service>, BTreeSet<Ipv4Addr>>,
    /// Failure domain of this balancer. Its agents announce themselves here; others are known from
    /// summaries. `None` if all agents announce themselves here.
    domain: Option<Arc<str>>,
    /// Region of each failure domain.
    regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Failure domains that the operator has evacuated. Their agents get no new flows.
    evacuated: BTreeSet<Arc<str>>,
    /// Utilization of each failure domain; `None` if domains are not balanced.
    balance: Option<Balance>,
}

impl Pool {
    /// Creates the pool of a balancer in this failure domain, which learns of agents in other
    /// domains from summaries.
    #[must_use]
    pub fn open(domain: Arc<str>) -> Self {
        Self { domain: Some(domain), ..Self::default() }
    }

    /// Sets the region of each failure domain.
    pub fn set_regions(&mut self, regions: BTreeMap<Arc<str>, Arc<str>>) {
        self.regions = regions;
    }

    /// Applies an agent's announcement.
    pub fn announced(&mut self, now: Time, from: Ipv4Addr, announcement: Announcement) -> Change {
        let known = self.agents.get_mut(&from);
        let last_sent = known.as_ref().and_then(|known| known.last_sent);
        let slowness = known.as_ref().and_then(|known| known.slowness);
        let min_flows = known.as_ref().map_or(0, |known| known.min_flows);
        let reach = known.as_ref().map(|known| known.reach);
        let appeared_at = known.as_ref().map(|known| known.appeared_at);
        let change = known.map_or(Change::Appeared, |known| known.change(now, &announcement));
        if change == Change::Stale {
            return change;
        }
        if announcement.state == State::Gone {
            self.remove(from);
            return Change::Closed;
        }
        // A new process has not received what was sent to its predecessor, and it may have another
        // backend server.
        let last_sent = last_sent.filter(|_| change != Change::Appeared);
        let slowness = slowness.filter(|_| change != Change::Appeared);
        let reach = reach.filter(|_| change != Change::Appeared).unwrap_or_default();
        let appeared_at = appeared_at.filter(|_| change != Change::Appeared).unwrap_or(now);
        let inherited = self.inherited(now, from, &announcement, change);
        let mut candidate = Candidate {
            slowness,
            min_flows,
            reach,
            appeared_at,
            ..Candidate::new(now, announcement, last_sent)
        };
        candidate.inherit(now, inherited);
        self.insert(from, candidate);
        change
    }

    fn inherited(
        &self,
        now: Time,
        from: Ipv4Addr,
        announcement: &Announcement,
        change: Change,
    ) -> Option<Inheritance> {
        let known = self.agents.get(&from).filter(|_| self.balance.is_some())?;
        Inheritance::next(now, known, announcement, change)
    }

    fn insert(&mut self, agent: Ipv4Addr, candidate: Candidate) {
        let service = candidate.announcement.service;
        let before = self.agents.insert(agent, candidate);
        let moved_from = before.map(|before| before.announcement.service);
        if moved_from == Some(service) {
            return;
        }
        if let Some(before) = moved_from {
            self.remove_member(agent, before);
        }
        self.members.entry(service).or_default().insert(agent);
    }

    fn remove(&mut self, agent: Ipv4Addr) {
        if let Some(candidate) = self.agents.remove(&agent) {
            self.remove_member(agent, candidate.announcement.service);
        }
    }

    fn remove_member(&mut self, agent: Ipv4Addr, service: Option<Service>) {
        if let Some(members) = self.members.get_mut(&service) {
            members.remove(&agent);
            if members.is_empty() {
                self.members.remove(&service);
            }
        }
    }

    /// Returns the agents of a service.
    fn members(&self, service: Option<Service>) -> impl Iterator<Item = (Ipv4Addr, &Candidate)> {
        let members = self.members.get(&service).into_iter().flatten();
        members.filter_map(|agent| Some((*agent, self.agents.get(agent)?)))
    }

    fn find_agents(&self, matches: impl Fn(&Candidate) -> bool) -> Vec<Ipv4Addr> {
        let matching = self.agents.iter().filter(|(_, candidate)| matches(candidate));
        matching.map(|(agent, _)| *agent).collect()
    }

    fn update(&mut self, agents: &[Ipv4Addr], apply: impl Fn(&mut Candidate)) {
        for agent in agents {
            if let Some(candidate) = self.agents.get_mut(agent) {
                apply(candidate);
            }
        }
    }

    /// Records that a flow was sent to an agent.
    pub fn placed(&mut self, agent: Ipv4Addr) {
        let Some(candidate) = self.agents.get_mut(&agent) else {
            return;
        };
        candidate.record_placed();
        if let Some(balance) = &mut self.balance {
            balance.record_opening(&candidate.announcement.domain);
        }
    }

    /// Stops sending openings to an agent that declined one because its backend server is leaving,
    /// until the agent's next announcement.
    pub fn closed(&mut self, agent: Ipv4Addr) {
        if let Some(candidate) = self.agents.get_mut(&agent)
            && candidate.announcement.state == State::Ready
        {
            candidate.announcement.state = State::Closed;
        }
    }

    /// Records that an agent declined an opening because its backend server is cold. Until it
    /// reports room, it gets openings only if no other agent has room.
    pub fn room_exhausted(&mut self, agent: Ipv4Addr) {
        if let Some(candidate) = self.agents.get_mut(&agent) {
            candidate.announcement.room = Some(0);
        }
    }

    /// Returns the service of an agent's backend server, as last announced.
    #[must_use]
    pub fn service(&self, agent: Ipv4Addr) -> Option<Service> {
        self.agents.get(&agent)?.announcement.service
    }

    /// Returns the number of agents that may accept this flow now.
    #[must_use]
    pub fn open_agents(&self, now: Time, need: &Need) -> usize {
        let state = self.eligible_state(now, need.service);
        let members = self.members(Some(need.service));
        let is_open = |candidate: &Candidate| {
            self.is_eligible(now, candidate, need.service, state)
                && self.is_allowed(candidate, need)
        };
        members.filter(|(_, candidate)| is_open(candidate)).count()
    }

    /// Returns whether a flow may go to the region of an agent.
    fn is_allowed(&self, candidate: &Candidate, need: &Need) -> bool {
        let region = || self.regions.get(&candidate.announcement.domain);
        need.regions.is_empty() || region().is_some_and(|region| need.regions.contains(region))
    }

    /// Replaces the set of evacuated failure domains.
    pub fn set_evacuated(&mut self, domains: BTreeSet<Arc<str>>) {
        self.evacuated = domains;
    }

    /// Returns whether a service has agents that would accept new flows if their failure domain
    /// were not evacuated.
    #[must_use]
    pub fn is_evacuated(&self, now: Time, service: Service) -> bool {
        let accepts = |candidate: &Candidate| {
            candidate.is_fresh_in(self.visibility(now, candidate), service, State::Ready)
        };
        self.members(Some(service)).any(|(_, one)| self.is_in_evacuated_domain(one) && accepts(one))
    }

    fn is_in_evacuated_domain(&self, candidate: &Candidate) -> bool {
        self.evacuated.contains(&candidate.announcement.domain)
    }

    fn is_eligible(
        &self,
        now: Time,
        candidate: &Candidate,
        service: Service,
        state: State,
    ) -> bool {
        !self.is_in_evacuated_domain(candidate)
            && candidate.is_fresh_in(self.visibility(now, candidate), service, state)
    }

    fn eligible_count(&self, now: Time, service: Service, state: State) -> usize {
        let members = self.members(Some(service));
        members.filter(|(_, candidate)| self.is_eligible(now, candidate, service, state)).count()
    }

    /// Returns the state whose agents get the new flows of a service: healthy ones, unless more
    /// agents are failing than healthy. If most of a service is failing, its few healthy servers
    /// could not take the whole load.
    fn eligible_state(&self, now: Time, service: Service) -> State {
        let healthy = self.eligible_count(now, service, State::Ready);
        let failing = self.eligible_count(now, service, State::Failing);
        if failing > healthy { State::Failing } else { State::Ready }
    }

    /// Returns what to send to an agent about the balancers and evacuations, where `next` is the
    /// current information.
    ///
    /// The whole list of addresses is sent once when it changes, and again only with the next
    /// heartbeat. After the death of a balancer, views differ for seconds; a list in reply to every
    /// announcement would then cost one list per pair of processes every 300 ms.
    #[must_use]
    pub fn notification(&self, agent: Ipv4Addr, next: Sent, pause_ms: u64) -> Notification {
        let Some(candidate) = self.agents.get(&agent) else {
            return Notification::Addresses;
        };
        match candidate.last_sent {
            Some(last_sent) if last_sent.covers(&next, pause_ms) => Notification::Nothing,
            _ if candidate.announcement.balancers == next.digest => Notification::Heartbeat,
            _ => Notification::Addresses,
        }
    }

    /// Records what was sent to an agent.
    pub fn record_sent(&mut self, agent: Ipv4Addr, sent: Sent) {
        if let Some(candidate) = self.agents.get_mut(&agent) {
            candidate.last_sent = Some(sent);
        }
    }

    /// Returns the number of known agents.
    #[must_use]
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Returns whether no agent is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }
}
