//! Free slots of backend servers as known to a balancer, and the choice of an agent that has some.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use super::candidate::{Candidate, Weights};
use super::order::Ranked;
use super::{Choice, Need, Pool};
use crate::clock::Time;
use crate::l4::message::State;
use crate::l4::room::{Rank, Room};
use crate::l4::route::{Kind, Service};

/// Estimate of the earliest answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarliestAnswer {
    /// Number of backend servers that may accept the request and have not declined it.
    pub servers: usize,
    /// Minimum time until the answer, in milliseconds, in any order of service.
    pub least_ms: u64,
}

impl Pool {
    /// Chooses an agent as [`Self::choose`] does. If that agent has no known free slot, returns the
    /// first agent in the flow's own order that has one.
    ///
    /// Without it, openings wait or are refused at the first few agents of their order while other
    /// backend servers are idle. Agents are taken in the flow's own order, not by load: balancers
    /// with the same reports would all choose the least busy server and send it many times its free
    /// slots before the next report. A download leaves its failure domain only if the lower load
    /// outweighs the cost of its traffic.
    #[must_use]
    pub fn choose_free(&self, now: Time, need: &Need) -> Option<Choice> {
        let choice = self.choose(now, need)?;
        if self.is_free(now, choice.agent) {
            return Some(choice);
        }
        let is_large = need.kind == Kind::Download;
        let weights = Weights::of(need.kind);
        let pressure = |candidate: &Candidate| candidate.pressure(weights, need.domain);
        let bound = self.agents.get(&choice.agent).map_or(u64::MAX, pressure);
        let takers = self.takers(now, need.service);
        let ranked = self
            .members(Some(need.service))
            .filter(|(agent, candidate)| {
                candidate.known(now).free() > 0
                    && !need.tried.contains(agent)
                    && self.takes(now, candidate, need, takers)
            })
            .map(|(agent, candidate)| {
                (Ranked::of(need.key, agent, candidate, need.domain), candidate)
            })
            .filter(|(ranked, candidate)| ranked.near || !is_large || pressure(candidate) < bound);
        let free = ranked.max_by_key(|(ranked, _)| *ranked);
        Some(free.map_or(choice, |(ranked, candidate)| candidate.choice(now, ranked.agent)))
    }

    /// Returns whether an agent's backend server is known to have a free slot.
    #[must_use]
    pub fn is_free(&self, now: Time, agent: Ipv4Addr) -> bool {
        self.agents.get(&agent).is_some_and(|candidate| candidate.known(now).free() > 0)
    }

    /// Estimates the earliest answer to a flow's request from the last report of each agent.
    #[must_use]
    pub fn earliest_answer(&self, now: Time, need: &Need, rank: Rank) -> EarliestAnswer {
        let takers = self.takers(now, need.service);
        let members = self.members(Some(need.service));
        let asked = members.filter(|(agent, candidate)| {
            !need.tried.contains(agent) && self.takes(now, candidate, need, takers)
        });
        let start = EarliestAnswer { servers: 0, least_ms: u64::MAX };
        asked.fold(start, |soonest, (_, candidate)| EarliestAnswer {
            servers: soonest.servers + 1,
            least_ms: soonest.least_ms.min(candidate.known(now).least_ms(rank)),
        })
    }

    /// Returns the room of each service in each failure domain, over the backend servers that
    /// accept new flows. A domain without such servers is listed with no room.
    #[must_use]
    pub fn rooms(&self, now: Time) -> BTreeMap<(Service, Arc<str>), Room> {
        let mut rooms: BTreeMap<_, Room> = BTreeMap::new();
        for service in self.members.keys().copied().flatten() {
            let takers = self.takers(now, service);
            for (_, candidate) in self.members(Some(service)) {
                let domain = Arc::clone(&candidate.announcement.domain);
                let room = rooms.entry((service, domain)).or_default();
                if self.takes_any(now, candidate, service, takers) {
                    room.add(&candidate.known(now));
                }
            }
        }
        rooms
    }

    /// Returns whether an agent accepts a new flow, where `takers` is the state that gets the flows
    /// of the service.
    pub(super) fn takes(
        &self,
        now: Time,
        candidate: &Candidate,
        need: &Need,
        takers: State,
    ) -> bool {
        self.takes_any(now, candidate, need.service, takers) && self.is_allowed(candidate, need)
    }

    fn takes_any(&self, now: Time, one: &Candidate, service: Service, takers: State) -> bool {
        let is_in = |state| self.is_in(now, one, service, state);
        is_in(State::Ready) || is_in(takers)
    }
}
