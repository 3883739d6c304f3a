//! Which agent a new flow goes to, and in which order agents are asked for a flow.
//!
//! Every balancer of a failure domain computes the same order for a flow, so that a packet which
//! reaches another balancer than the opening did finds its agent among the first ones asked.

mod balance;
mod candidate;
mod evenness;
mod free;
mod inheritance;
mod order;
mod report;
mod signs;
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

/// An agent chosen for a new flow, with what the choice rested on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The agent.
    pub agent: Ipv4Addr,
    /// Its load as last heard.
    pub load: Load,
    /// Age of that load, in milliseconds.
    pub age_ms: u64,
}

/// What a new flow needs.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Its key.
    pub key: Key,
    /// Its service.
    pub service: Service,
    /// What its requests are.
    pub kind: Kind,
    /// Regions that it may go to; empty where it may go to all.
    pub regions: &'a BTreeSet<Arc<str>>,
    /// Failure domain of its client.
    pub domain: &'a str,
    /// Agents that are not to be chosen.
    pub tried: &'a [Ipv4Addr],
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that decisions rest on.
    None,
    /// A new agent, or a new process at its address.
    Appeared,
    /// The agent takes new flows now.
    Opened,
    /// The agent takes no new flows any more.
    Closed,
    /// The announcement is older than what is known.
    Stale,
}

/// What an agent must be told of the balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Telling {
    /// Nothing: it was told lately, and nothing has changed since.
    Nothing,
    /// That this balancer lives.
    Sign,
    /// Who the balancers are.
    Addresses,
}

/// The agents that a balancer knows, by address.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    agents: BTreeMap<Ipv4Addr, Candidate>,
    /// The agents of each service, and those that have none: a flow concerns those of one service, whatever
    /// the size of the fleet.
    members: BTreeMap<Option<Service>, BTreeSet<Ipv4Addr>>,
    /// The own failure domain, whose agents speak to this process themselves. None where all agents do.
    domain: Option<Arc<str>>,
    /// Region of each failure domain.
    regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Failure domains whose agents take no new flows, because the operator has evacuated them.
    evacuated: BTreeSet<Arc<str>>,
    /// How full each failure domain is; none if that is not reckoned.
    balance: Option<Balance>,
}

impl Pool {
    /// A pool of a balancer in this failure domain, which hears of agents elsewhere by summaries.
    #[must_use]
    pub fn open(domain: Arc<str>) -> Self {
        Self { domain: Some(domain), ..Self::default() }
    }

    /// Sets the region of each failure domain.
    pub fn set_regions(&mut self, regions: BTreeMap<Arc<str>, Arc<str>>) {
        self.regions = regions;
    }

    /// Takes in an agent's word about itself.
    pub fn announced(&mut self, now: Time, from: Ipv4Addr, word: Announcement) -> Change {
        let known = self.agents.get_mut(&from);
        let told = known.as_ref().and_then(|known| known.told);
        let slowness = known.as_ref().and_then(|known| known.slowness);
        let least_flows = known.as_ref().map_or(0, |known| known.least_flows);
        let change = known.map_or(Change::Appeared, |known| known.change(now, &word));
        if change == Change::Stale {
            return change;
        }
        if word.state == State::Gone {
            self.remove(from);
            return Change::Closed;
        }
        // A new process knows nothing of what the one before it was told, and its server may be another one.
        let told = told.filter(|_| change != Change::Appeared);
        let slowness = slowness.filter(|_| change != Change::Appeared);
        let inherited = self.inherited(now, from, &word, change);
        let mut candidate = Candidate { slowness, least_flows, ..Candidate::new(now, word, told) };
        candidate.inherit(now, inherited);
        self.insert(from, candidate);
        change
    }

    fn inherited(
        &self,
        now: Time,
        from: Ipv4Addr,
        word: &Announcement,
        change: Change,
    ) -> Option<Inheritance> {
        let known = self.agents.get(&from).filter(|_| self.balance.is_some())?;
        Inheritance::next(now, known, word, change)
    }

    fn insert(&mut self, agent: Ipv4Addr, candidate: Candidate) {
        let service = candidate.announcement.service;
        let before = self.agents.insert(agent, candidate);
        let moved_from = before.map(|before| before.announcement.service);
        if moved_from == Some(service) {
            return;
        }
        if let Some(before) = moved_from {
            self.leave(agent, before);
        }
        self.members.entry(service).or_default().insert(agent);
    }

    fn remove(&mut self, agent: Ipv4Addr) {
        if let Some(candidate) = self.agents.remove(&agent) {
            self.leave(agent, candidate.announcement.service);
        }
    }

    fn leave(&mut self, agent: Ipv4Addr, service: Option<Service>) {
        if let Some(members) = self.members.get_mut(&service) {
            members.remove(&agent);
            if members.is_empty() {
                self.members.remove(&service);
            }
        }
    }

    /// The agents of a service, with what is known of them.
    fn members(&self, service: Option<Service>) -> impl Iterator<Item = (Ipv4Addr, &Candidate)> {
        let members = self.members.get(&service).into_iter().flatten();
        members.filter_map(|agent| Some((*agent, self.agents.get(agent)?)))
    }

    fn find(&self, is_meant: impl Fn(&Candidate) -> bool) -> Vec<Ipv4Addr> {
        let meant = self.agents.iter().filter(|(_, candidate)| is_meant(candidate));
        meant.map(|(agent, _)| *agent).collect()
    }

    fn mark(&mut self, agents: &[Ipv4Addr], note: impl Fn(&mut Candidate)) {
        for agent in agents {
            if let Some(candidate) = self.agents.get_mut(agent) {
                note(candidate);
            }
        }
    }

    /// Notes a flow that was sent there.
    pub fn placed(&mut self, agent: Ipv4Addr) {
        let Some(candidate) = self.agents.get_mut(&agent) else {
            return;
        };
        candidate.give();
        if let Some(balance) = &mut self.balance {
            balance.sent_to(&candidate.announcement.domain);
        }
    }

    /// An agent that refused because its backend server leaves gets no more openings until it
    /// announces itself again.
    pub fn closed(&mut self, agent: Ipv4Addr) {
        if let Some(candidate) = self.agents.get_mut(&agent)
            && candidate.announcement.state == State::Ready
        {
            candidate.announcement.state = State::Closed;
        }
    }

    /// An agent that refused because its backend server is cold gets openings only if no other has room,
    /// until it says that it has.
    pub fn filled(&mut self, agent: Ipv4Addr) {
        if let Some(candidate) = self.agents.get_mut(&agent) {
            candidate.announcement.room = Some(0);
        }
    }

    /// Service of an agent's backend server, as last announced.
    #[must_use]
    pub fn service(&self, agent: Ipv4Addr) -> Option<Service> {
        self.agents.get(&agent)?.announcement.service
    }

    /// Agents that may take a new flow now.
    #[must_use]
    pub fn open_agents(&self, now: Time, need: &Need) -> usize {
        let state = self.takers(now, need.service);
        let members = self.members(Some(need.service));
        let is_open = |candidate: &Candidate| {
            self.is_in(now, candidate, need.service, state) && self.is_allowed(candidate, need)
        };
        members.filter(|(_, candidate)| is_open(candidate)).count()
    }

    /// Whether a flow may go to an agent's region.
    fn is_allowed(&self, candidate: &Candidate, need: &Need) -> bool {
        let region = || self.regions.get(&candidate.announcement.domain);
        need.regions.is_empty() || region().is_some_and(|region| need.regions.contains(region))
    }

    /// Sets which failure domains are evacuated from now on.
    pub fn set_evacuated(&mut self, domains: BTreeSet<Arc<str>>) {
        self.evacuated = domains;
    }

    /// Whether a service has agents that would take new flows if their failure domain were not evacuated.
    #[must_use]
    pub fn is_evacuated(&self, now: Time, service: Service) -> bool {
        let takes = |candidate: &Candidate| {
            candidate.is_in(self.sight(now, candidate), service, State::Ready)
        };
        self.members(Some(service)).any(|(_, one)| self.is_spared(one) && takes(one))
    }

    /// Whether an agent's failure domain is evacuated.
    fn is_spared(&self, candidate: &Candidate) -> bool {
        self.evacuated.contains(&candidate.announcement.domain)
    }

    fn is_in(&self, now: Time, candidate: &Candidate, service: Service, state: State) -> bool {
        !self.is_spared(candidate) && candidate.is_in(self.sight(now, candidate), service, state)
    }

    fn count(&self, now: Time, service: Service, state: State) -> usize {
        let members = self.members(Some(service));
        members.filter(|(_, candidate)| self.is_in(now, candidate, service, state)).count()
    }

    /// Which agents of a service get its new flows: the healthy ones, unless most are failing. Guards
    /// against sparing a whole service, whose few healthy servers would drown in its load.
    fn takers(&self, now: Time, service: Service) -> State {
        let healthy = self.count(now, service, State::Ready);
        let failing = self.count(now, service, State::Failing);
        if failing > healthy { State::Failing } else { State::Ready }
    }

    /// What an agent must be told of the balancers and of evacuations, if `next` is what there is to tell.
    ///
    /// Guards against answering every announcement with all addresses: after the death of one balancer
    /// the views differ for seconds, and that would be a list for each pair each 300 ms. A list is sent once
    /// when it is new, and again only with the next sign of life.
    #[must_use]
    pub fn telling(&self, agent: Ipv4Addr, next: Sent, pause_ms: u64) -> Telling {
        let Some(candidate) = self.agents.get(&agent) else {
            return Telling::Addresses;
        };
        match candidate.told {
            Some(told) if told.covers(&next, pause_ms) => Telling::Nothing,
            _ if candidate.announcement.balancers == next.digest => Telling::Sign,
            _ => Telling::Addresses,
        }
    }

    /// Notes what an agent was told.
    pub fn note_told(&mut self, agent: Ipv4Addr, told: Sent) {
        if let Some(candidate) = self.agents.get_mut(&agent) {
            candidate.told = Some(told);
        }
    }

    /// Number of agents known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Whether no agent is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }
}
