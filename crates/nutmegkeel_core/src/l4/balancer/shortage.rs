//! Handles openings of a service that is short of room: finds remaining room and refuses openings
//! that cannot be served.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::decision::{Cause, Decision};
use crate::l4::flow::{Flow, Head, OPENING_TIMEOUT_MS};
use crate::l4::placement::{Choice, Need};
use crate::l4::policy::Mechanism;
use crate::l4::room::{CONGESTION_TOLERANCE_MS, Congestion, Rank, Retries, Shortage};
use crate::l4::route::{Route, Service, Table, Urgency};
use crate::l4::status;

/// Known shortage of room, beyond what the agents report.
#[derive(Debug, Default)]
pub(super) struct Tracker {
    congestion: Congestion,
    retries: Retries,
    /// Degrees of urgency among the routes of each service.
    degrees: BTreeMap<Service, BTreeSet<Urgency>>,
}

impl Tracker {
    /// Applies the routes in force.
    pub(super) fn configured(&mut self, table: &Table) {
        self.degrees.clear();
        for route in table.routes.values() {
            for share in &route.shares {
                self.degrees.entry(share.service).or_default().insert(route.urgency);
            }
        }
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.congestion.expire(now);
        self.retries.expire(now);
    }

    /// Estimates which part of the waiting requests is served before a request. It is unknown which
    /// requests wait where, so each degree of urgency is assumed to have the same part.
    fn rank(&self, service: Service, urgency: Urgency) -> Rank {
        let count = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        self.degrees.get(&service).map_or(Rank::FIRST, |degrees| Rank {
            above: count(degrees.range(..urgency).count()),
            degrees: count(degrees.len().max(1)),
        })
    }
}

impl Balancer {
    /// Chooses the agent for an opening by room. An opening that has exceeded the usual limits of
    /// tries and time goes on as long as a slot is believed to be free and its client still waits.
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

    /// Returns whether asking agents for a free slot is known to fail for this flow.
    ///
    /// Guards against an overload in which every opening is returned twice before it may wait,
    /// which takes three times as many messages when hosts are busiest.
    pub(super) fn has_no_free_slot(&self, now: Time, flow: &Flow, service: Service) -> bool {
        self.shortage.congestion.is_confirmed(now, (flow.service, service))
    }

    /// Returns whether a first opening comes from a client that was refused before. Looked up once
    /// per flow.
    pub(super) fn is_retry(&mut self, now: Time, head: &Head) -> bool {
        if !self.identity.policy.uses(Mechanism::Room) {
            return false;
        }
        if let Some(is_retry) = self.cache.entry(now, head.flow).is_retry {
            return is_retry;
        }
        // A copy of a refused opening is not a retry by its client.
        let is_retry = head.ack == 0 && self.shortage.retries.claim(now, &head.flow);
        self.cache.entry(now, head.flow).is_retry = Some(is_retry);
        is_retry
    }

    /// Returns why an opening must be refused now, although an agent could be asked; none if it
    /// need not be refused.
    ///
    /// Guards against requests that wait until their deadline without success and occupy slots that
    /// others need. An opening is refused only if the agents' own reports rule it out, and only
    /// once the overload has lasted for some time, because a shorter one clears by itself. A client
    /// that was refused is not refused again here when it retries.
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
            self.shortage.congestion.record_free(place);
            return None;
        }
        let lasted_ms = self.shortage.congestion.record_full(now, place);
        let entry = self.cache.entry(now, head.flow);
        let waited_ms = now.since(entry.started_at);
        if lasted_ms <= CONGESTION_TOLERANCE_MS || entry.is_retry == Some(true) {
            return None;
        }
        let rank = if self.identity.policy.uses(Mechanism::Urgency) {
            self.shortage.rank(need.service, route.urgency)
        } else {
            Rank::FIRST
        };
        let soonest = self.pool.earliest_answer(now, need, rank);
        let left_ms = route.deadline_ms.saturating_sub(waited_ms);
        // An agent that is still unknown here may have room.
        let is_ruled_out = soonest.servers > 0 && soonest.least_ms > left_ms;
        let (servers, least_ms) = (soonest.servers, soonest.least_ms);
        (is_ruled_out && self.knows_all_agents(now)).then_some(Shortage {
            servers,
            least_ms,
            left_ms,
            lasted_ms,
        })
    }

    /// Refuses an opening for lack of room, and records its caller.
    pub(super) fn refuse_for_room(
        &mut self,
        now: Time,
        head: &Head,
        urgency: Urgency,
        asked: usize,
        shortage: Option<Shortage>,
    ) -> Vec<Action> {
        self.shortage.retries.refused(now, &head.flow);
        self.cache.remove(&head.flow);
        let cause = if shortage.is_some() { Cause::NoRoom } else { Cause::AllDeclined };
        let decision = Decision::Refused { flow: head.flow, cause, urgency, asked, shortage };
        let reset = self.reset(head, cause, asked);
        let reset = reset.into_iter().filter(|action| matches!(action, Action::Reset { .. }));
        reset.chain([Action::Log(decision)]).collect()
    }

    /// Returns the room of each service by failure domain, if openings are placed by room.
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

    /// Returns the name of the first route that uses a service. Operators know the service by this
    /// name.
    fn route_of(&self, service: Service) -> Option<Arc<str>> {
        let names = |route: &&Route| route.shares.iter().any(|share| share.service == service);
        self.table.routes.values().find(names).map(|route| Arc::clone(&route.name))
    }
}
