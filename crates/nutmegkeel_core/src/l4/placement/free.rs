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
    /// Otherwise openings would wait or be refused at the first few agents of their order while
    /// other backend servers are idle. Agents are taken in the flow's own order, not by load:
    /// balancers with the same reports would all choose the least busy server and send it many
    /// times its free slots before the next report. A download leaves its failure domain only if
    /// the lower load outweighs the cost of its traffic.
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
        let eligible_state = self.eligible_state(now, need.service);
        let ranked = self
            .members(Some(need.service))
            .filter(|(agent, candidate)| {
                candidate.occupancy(now).free() > 0
                    && !need.tried.contains(agent)
                    && self.accepts(now, candidate, need, eligible_state)
            })
            .map(|(agent, candidate)| {
                (Ranked::of(need.key, agent, candidate, need.domain), candidate)
            })
            .filter(|(ranked, candidate)| {
                ranked.is_local || !is_large || pressure(candidate) < bound
            });
        let free = ranked.max_by_key(|(ranked, _)| *ranked);
        Some(free.map_or(choice, |(ranked, candidate)| candidate.choice(now, ranked.agent)))
    }

    /// Returns whether an agent's backend server is known to have a free slot.
    #[must_use]
    pub fn is_free(&self, now: Time, agent: Ipv4Addr) -> bool {
        self.agents.get(&agent).is_some_and(|candidate| candidate.occupancy(now).free() > 0)
    }

    /// Estimates the earliest answer to a flow's request from the last report of each agent.
    #[must_use]
    pub fn earliest_answer(&self, now: Time, need: &Need, rank: Rank) -> EarliestAnswer {
        let eligible_state = self.eligible_state(now, need.service);
        let members = self.members(Some(need.service));
        let accepting = members.filter(|(agent, candidate)| {
            !need.tried.contains(agent) && self.accepts(now, candidate, need, eligible_state)
        });
        let start = EarliestAnswer { servers: 0, least_ms: u64::MAX };
        accepting.fold(start, |earliest, (_, candidate)| EarliestAnswer {
            servers: earliest.servers + 1,
            least_ms: earliest.least_ms.min(candidate.occupancy(now).least_ms(rank)),
        })
    }

    /// Returns the room of each service in each failure domain, over the backend servers that
    /// accept new flows. A domain without such servers is listed with no room.
    #[must_use]
    pub fn rooms(&self, now: Time) -> BTreeMap<(Service, Arc<str>), Room> {
        let mut rooms: BTreeMap<_, Room> = BTreeMap::new();
        for service in self.members.keys().copied().flatten() {
            let eligible_state = self.eligible_state(now, service);
            for (_, candidate) in self.members(Some(service)) {
                let domain = Arc::clone(&candidate.announcement.domain);
                let room = rooms.entry((service, domain)).or_default();
                if self.accepts_service(now, candidate, service, eligible_state) {
                    room.add(&candidate.occupancy(now));
                }
            }
        }
        rooms
    }

    /// Returns whether an agent accepts a new flow, where `eligible_state` is the state whose
    /// agents get the flows of the service.
    pub(super) fn accepts(
        &self,
        now: Time,
        candidate: &Candidate,
        need: &Need,
        eligible_state: State,
    ) -> bool {
        self.accepts_service(now, candidate, need.service, eligible_state)
            && self.is_allowed(candidate, need)
    }

    fn accepts_service(
        &self,
        now: Time,
        one: &Candidate,
        service: Service,
        eligible_state: State,
    ) -> bool {
        let is_eligible = |state| self.is_eligible(now, one, service, state);
        is_eligible(State::Ready) || is_eligible(eligible_state)
    }
}
