//! Openings of a service that is short of room: where there is some left, and which are refused at once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::decision::{Cause, Decision};
use crate::l4::flow::{Flow, Head, OPENING_TIMEOUT_MS};
use crate::l4::placement::{Choice, Need};
use crate::l4::policy::Mechanism;
use crate::l4::room::{CROWD_MS, Crowds, Rank, Returns, Shortage};
use crate::l4::route::{Route, Service, Table, Urgency};
use crate::l4::status;

/// What a balancer knows of want of room besides the agents' reports.
#[derive(Debug, Default)]
pub(super) struct Memory {
    crowds: Crowds,
    returns: Returns,
    /// Degrees of urgency among the routes of each service.
    degrees: BTreeMap<Service, BTreeSet<Urgency>>,
}

impl Memory {
    /// Takes in the routes in force.
    pub(super) fn configured(&mut self, table: &Table) {
        self.degrees.clear();
        for route in table.routes.values() {
            for share in &route.shares {
                self.degrees.entry(share.service).or_default().insert(route.urgency);
            }
        }
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.crowds.expire(now);
        self.returns.expire(now);
    }

    /// How much of what waits is taken to go before a request. Which requests wait where is not known, so
    /// each degree is taken to have the same part.
    fn rank(&self, service: Service, urgency: Urgency) -> Rank {
        let count = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        self.degrees.get(&service).map_or(Rank::FIRST, |degrees| Rank {
            above: count(degrees.range(..urgency).count()),
            degrees: count(degrees.len().max(1)),
        })
    }
}

impl Balancer {
    /// The agent for an opening where openings go by room. One that is past the usual limits of tries and
    /// time goes on as long as a slot is believed free, and its client waits.
    pub(super) fn choose_by_room(
        &self,
        now: Time,
        need: &Need,
        waited_ms: u64,
        may_try: bool,
    ) -> Option<Choice> {
        let choice = self.pool.choose_free(now, need)?;
        let goes_on = waited_ms <= OPENING_TIMEOUT_MS && self.pool.is_free(now, choice.agent);
        (may_try || goes_on).then_some(choice)
    }

    /// Whether it is in vain to ask agents for a free slot for this flow.
    ///
    /// Guards against a crowd in which every opening is handed back twice before it may wait: three times
    /// the messages, when hosts are busiest.
    pub(super) fn asks_in_vain(&self, now: Time, flow: &Flow, service: Service) -> bool {
        self.memory.crowds.is_certain(now, (flow.service, service))
    }

    /// Whether a first opening comes of a client that was refused; asked once for each flow.
    pub(super) fn returns(&mut self, now: Time, head: &Head) -> bool {
        if !self.identity.policy.uses(Mechanism::Room) {
            return false;
        }
        if let Some(returns) = self.cache.entry(now, head.flow).returns {
            return returns;
        }
        // A copy may come of an opening that was refused: that is no return.
        let returns = head.ack == 0 && self.memory.returns.claim(now, &head.flow);
        self.cache.entry(now, head.flow).returns = Some(returns);
        returns
    }

    /// Why an opening must be refused now, though an agent could be asked; none if it need not be.
    ///
    /// Guards against requests that wait until their deadline in vain and keep slots from others. Only what
    /// the agents' own reports rule out is refused, and not before the crowd has lasted: a shorter one is
    /// worked off. A client that was refused is not refused again here when it comes back.
    pub(super) fn shortage(
        &mut self,
        now: Time,
        head: &Head,
        route: &Route,
        need: &Need,
        choice: Choice,
    ) -> Option<Shortage> {
        if !self.identity.policy.uses(Mechanism::Room) {
            return None;
        }
        let place = (head.flow.service, need.service);
        if self.pool.is_free(now, choice.agent) {
            self.memory.crowds.note_free(place);
            return None;
        }
        let lasted_ms = self.memory.crowds.note_full(now, place);
        let entry = self.cache.entry(now, head.flow);
        let waited_ms = now.since(entry.began);
        if lasted_ms <= CROWD_MS || entry.returns == Some(true) {
            return None;
        }
        let rank = if self.identity.policy.uses(Mechanism::Urgency) {
            self.memory.rank(need.service, route.urgency)
        } else {
            Rank::FIRST
        };
        let soonest = self.pool.soonest(now, need, rank);
        let left_ms = route.deadline_ms.saturating_sub(waited_ms);
        // An agent that this balancer has not heard of yet may have room.
        let is_ruled_out = soonest.servers > 0 && soonest.least_ms > left_ms;
        let (servers, least_ms) = (soonest.servers, soonest.least_ms);
        (is_ruled_out && self.is_settled(now)).then_some(Shortage {
            servers,
            least_ms,
            left_ms,
            lasted_ms,
        })
    }

    /// Refuses an opening for want of room, and remembers its caller.
    pub(super) fn refuse_for_room(
        &mut self,
        now: Time,
        head: &Head,
        urgency: Urgency,
        asked: usize,
        shortage: Option<Shortage>,
    ) -> Vec<Action> {
        self.memory.returns.refused(now, &head.flow);
        self.cache.remove(&head.flow);
        let cause = if shortage.is_some() { Cause::NoRoom } else { Cause::AllDeclined };
        let note = Decision::Refused { flow: head.flow, cause, urgency, asked, shortage };
        let reset = self.reset(head, cause, asked);
        let reset = reset.into_iter().filter(|action| matches!(action, Action::Reset { .. }));
        reset.chain([Action::Log(note)]).collect()
    }

    /// The room of each service by failure domain, where openings go by it.
    #[must_use]
    pub fn rooms(&self, now: Time) -> Vec<status::Room> {
        if !self.identity.policy.uses(Mechanism::Room) {
            return Vec::new();
        }
        let rooms = self.pool.rooms(now).into_iter();
        rooms
            .map(|((service, domain), room)| status::Room {
                service: service.number(),
                route: self.route_of(service),
                domain,
                servers: room.servers,
                doubtful: room.doubtful,
                slots: room.slots,
                free: room.free,
                wait_ms: room.wait_ms(),
            })
            .collect()
    }

    /// The first route that names a service, by which operators know it.
    fn route_of(&self, service: Service) -> Option<Arc<str>> {
        let names = |route: &&Route| route.shares.iter().any(|share| share.service == service);
        self.table.routes.values().find(names).map(|route| Arc::clone(&route.name))
    }
}
