//! Order of the agents for a flow: which ones a new flow may go to, and which are asked for an open
//! one.

use std::cmp::Reverse;
use std::net::Ipv4Addr;

use super::candidate::{Candidate, Weights};
use super::{Choice, Need, Pool};
use crate::clock::Time;
use crate::l4::route::Service;
use crate::placement::{Key, mix};

/// Number of agents in the client's failure domain that a new flow chooses from. With two, one
/// choice in four is bad at 80% load; with more, a search asks more agents before the right one.
const LOCAL_CANDIDATES: usize = 3;

/// Number of agents in other failure domains that a new flow also chooses from.
const REMOTE_CANDIDATES: usize = 2;

impl Pool {
    /// Chooses the agent with the lowest expected load among the first ones of the flow's order
    /// that have not been tried; if all of these were tried, among all others. Cold agents without
    /// room come last.
    #[must_use]
    pub fn choose(&self, now: Time, need: &Need) -> Option<Choice> {
        let Need { key, service, domain, tried, .. } = *need;
        let eligible_state = self.eligible_state(now, service);
        let accepts = |candidate: &Candidate| self.accepts(now, candidate, need, eligible_state);
        let accepting = || self.members(Some(service)).filter(|(_, candidate)| accepts(candidate));
        let ranked =
            accepting().map(|(agent, candidate)| Ranked::of(key, agent, candidate, domain));
        let weights = Weights::of(need.kind);
        let pressure = |candidate: &Candidate| {
            candidate.pressure(weights, domain) + self.surcharge(service, candidate)
        };
        let untried = |agent: &Ipv4Addr| !tried.contains(agent);
        let first = first_of(ranked).into_iter().filter(untried);
        let first = first.filter_map(|agent| Some((agent, self.agents.get(&agent)?)));
        // Of equal loads the first in the order is taken, so that all balancers agree.
        let first = first.filter(|(_, candidate)| !candidate.is_room_exhausted());
        let first = first.min_by_key(|(_, candidate)| pressure(candidate));
        let least = |(agent, candidate): &(Ipv4Addr, &Candidate)| {
            let ranked = Ranked::of(key, *agent, candidate, domain);
            (candidate.is_room_exhausted(), pressure(candidate), Reverse(ranked))
        };
        let any = || accepting().filter(|(agent, _)| untried(agent)).min_by_key(least);
        let (agent, candidate) = first.or_else(any)?;
        Some(candidate.choice(now, agent))
    }

    /// Returns the agents that are asked first for a flow: those that its opening was offered to
    /// before all others, for each of the given services, or for all services if none is given.
    ///
    /// They include the two agents of other failure domains that openings go to. If the whole own
    /// domain were asked before these, two flows in five would cost a round trip per agent of the
    /// domain while the client waits.
    #[must_use]
    pub fn search_first(&self, key: Key, services: &[Service], domain: &str) -> Vec<Ipv4Addr> {
        let given = services.iter().map(|service| Some(*service));
        let all = self.members.keys().copied().filter(|_| services.is_empty());
        let first = |service| {
            let members = self.members(service);
            first_of(members.map(|(agent, known)| Ranked::of(key, agent, known, domain)))
        };
        given.chain(all).flat_map(first).collect()
    }

    /// Returns all agents in the order in which they are asked for a flow: [`Self::search_first`],
    /// then the other agents of the given services, then all others, because the route may have
    /// changed since the flow was opened.
    ///
    /// The others come in rounds, each with the next agents of the own failure domain and of the
    /// other ones. A flow that was opened while some of the first were away, full or closed went to
    /// one of the next in either order. If the whole own domain were asked before, many agents would
    /// have to be asked for a flow that went to another one.
    #[must_use]
    pub fn search(&self, key: Key, services: &[Service], domain: &str) -> Vec<Ipv4Addr> {
        let first = self.search_first(key, services, domain);
        let is_likely = |candidate: &Candidate| {
            candidate.announcement.service.is_some_and(|service| services.contains(&service))
        };
        let (mut likely, mut unlikely) = (Vec::new(), Vec::new());
        for (agent, known) in self.agents.iter().filter(|(agent, _)| !first.contains(agent)) {
            let ranked = Ranked::of(key, *agent, known, domain);
            if is_likely(known) { likely.push(ranked) } else { unlikely.push(ranked) }
        }
        let rest = [in_rounds(likely), in_rounds(unlikely)].concat();
        first.into_iter().chain(rest).collect()
    }
}

/// Returns agents in rounds of [`LOCAL_CANDIDATES`] of the own failure domain and
/// [`REMOTE_CANDIDATES`] of the others, each in descending order.
fn in_rounds(ranked: Vec<Ranked>) -> Vec<Ipv4Addr> {
    let (mut local, mut remote): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|one| one.is_local);
    local.sort_unstable_by(|one, two| two.cmp(one));
    remote.sort_unstable_by(|one, two| two.cmp(one));
    let (mut local, mut remote) =
        (local.chunks(LOCAL_CANDIDATES), remote.chunks(REMOTE_CANDIDATES));
    let mut rounds = Vec::new();
    loop {
        let next = [local.next(), remote.next()];
        if next.iter().all(Option::is_none) {
            return rounds;
        }
        rounds.extend(next.into_iter().flatten().flatten().map(|one| one.agent));
    }
}

/// Rank of an agent in the order for one key: agents in the client's failure domain first, then by
/// descending hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Ranked {
    pub(super) is_local: bool,
    weight: u64,
    pub(super) agent: Ipv4Addr,
}

impl Ranked {
    pub(super) fn of(key: Key, agent: Ipv4Addr, candidate: &Candidate, domain: &str) -> Self {
        let is_local = *candidate.announcement.domain == *domain;
        let weight = mix(key.number() ^ mix(u64::from(agent.to_bits())));
        Self { is_local, weight, agent }
    }
}

/// Returns the first agents in the client's failure domain, then the first in other domains.
fn first_of(ranked: impl Iterator<Item = Ranked>) -> Vec<Ipv4Addr> {
    let (mut local, mut remote) = (Vec::new(), Vec::new());
    for one in ranked {
        if one.is_local {
            insert_among_first(&mut local, LOCAL_CANDIDATES, one);
        } else {
            insert_among_first(&mut remote, REMOTE_CANDIDATES, one);
        }
    }
    local.into_iter().chain(remote).map(|one| one.agent).collect()
}

/// Inserts into a descending list that keeps its first `most` entries.
fn insert_among_first(first: &mut Vec<Ranked>, most: usize, one: Ranked) {
    let place = first.partition_point(|other| *other > one);
    if place < most {
        first.insert(place, one);
        first.truncate(most);
    }
}
