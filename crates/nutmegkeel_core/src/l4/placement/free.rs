//! The room of backend servers, as a balancer knows it, and the choice of one that has some.

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

/// The soonest that one of several backend servers can answer a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Soonest {
    /// Backend servers that may take it and have not declined it.
    pub servers: usize,
    /// Time until the answer, in milliseconds; no order of service shortens it.
    pub least_ms: u64,
}

impl Pool {
    /// As [`Self::choose`]; if that one is believed to have no free slot, the first of the flow's own order
    /// that is believed to have one.
    ///
    /// Guards against openings that wait, or are refused, at the few agents that their flow's order begins
    /// with while backend servers elsewhere are idle. The order is the flow's own, not that of the loads:
    /// balancers with the same reports would all pick the least busy server, and fill it many times over
    /// before the next report. A download goes to another failure domain only if that is worth its bytes.
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

    /// Whether an agent's backend server is believed to have a free slot.
    #[must_use]
    pub fn is_free(&self, now: Time, agent: Ipv4Addr) -> bool {
        self.agents.get(&agent).is_some_and(|candidate| candidate.known(now).free() > 0)
    }

    /// The soonest answer to a flow's request, by what each agent last said.
    #[must_use]
    pub fn soonest(&self, now: Time, need: &Need, rank: Rank) -> Soonest {
        let takers = self.takers(now, need.service);
        let members = self.members(Some(need.service));
        let asked = members.filter(|(agent, candidate)| {
            !need.tried.contains(agent) && self.takes(now, candidate, need, takers)
        });
        let start = Soonest { servers: 0, least_ms: u64::MAX };
        asked.fold(start, |soonest, (_, candidate)| Soonest {
            servers: soonest.servers + 1,
            least_ms: soonest.least_ms.min(candidate.known(now).least_ms(rank)),
        })
    }

    /// The room of each service in each failure domain, as far as its backend servers take new flows: one
    /// that has none left there shows none, not what was last known.
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

    /// Whether an agent takes a new flow, if `takers` are those that get the service's.
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
