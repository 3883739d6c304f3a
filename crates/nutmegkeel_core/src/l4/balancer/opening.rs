//! Places new flows.

use std::sync::Arc;

use super::selection::{Attempt, Selection};
use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::cache::Place;
use crate::l4::decision::{Cause, Decision};
use crate::l4::flow::Head;
use crate::l4::health::Health;
use crate::l4::message::{Admission, Demand, Message, Offer};
use crate::l4::placement::Need;
use crate::l4::policy::Mechanism;
use crate::l4::route::{Kind, Route, Service, Urgency};
use crate::revision::Revision;

/// Time after which an opening that has found no agent is refused, in milliseconds. Its client
/// gives up after 1.4 s.
pub(super) const MAX_OPENING_AGE_MS: u64 = 1_100;

impl Balancer {
    /// Handles an opening. Copies go to the agent of the first one, or two backend servers would
    /// accept the flow; unless that agent has become silent, or the route has changed.
    pub(super) fn opening(&mut self, now: Time, head: &Head, route: &Route) -> Vec<Action> {
        let Some(service) = route.service(&head.flow) else {
            return self.reset(head, Cause::NoAgent, 0);
        };
        let entry = self.cache.entry(now, head.flow);
        if let Some(agent) = entry.place.as_ref().map(Place::agent)
            && self.pool.health(now, agent) == Some(Health::Fresh)
            && self.pool.service(agent) == Some(service)
        {
            let (waited_ms, is_retry) = (now.since(entry.started_at), entry.is_retry == Some(true));
            let offer = self.offer(service, route, Admission::IfInTime, waited_ms);
            // A copy follows the first opening whatever the current orders are, so it must not
            // indicate to the agent that its failure domain is open.
            let offer = Offer { orders: Revision::ZERO, is_retry, ..offer };
            return vec![Action::Forward(agent, Message::Open(offer))];
        }
        if self.latest_orders.orders().is_none() {
            return self.keep(head, Cause::NoConfiguration);
        }
        self.place(now, head, service, route)
    }

    /// Places a new flow at once, also while agents are still appearing.
    ///
    /// Matters after a power loss, when clients and hosts come back within the same half second.
    /// Openings held until all hosts are back would reach the agents together, and all of their
    /// clients would be answered late. Placed at once, each waits at an agent, which serves those
    /// first that can still be in time.
    fn place(&mut self, now: Time, head: &Head, service: Service, route: &Route) -> Vec<Action> {
        let is_retry = self.is_retry(now, head);
        let domain = Arc::clone(&self.identity.domain);
        let need = Need {
            key: head.flow.key(),
            service,
            kind: route.kind,
            regions: &route.regions,
            domain: &domain,
            tried: &[],
        };
        let no_slot_free = self.has_no_free_slot(now, &head.flow, service);
        let entry = self.cache.entry(now, head.flow);
        let (declined, waited_ms) = (entry.declined.clone(), now.since(entry.started_at));
        let tries = declined.len();
        let Some(selection) =
            self.select(now, need, &Attempt { declined, waited_ms, no_slot_free })
        else {
            return self.refuse(now, head, service, route.urgency, tries);
        };
        let Selection { choice, tried, for_idle } = selection;
        let need = Need { tried: &tried, ..need };
        if let Some(shortage) = self.shortage(now, head, route, &need, choice) {
            return self.refuse_for_room(now, head, route.urgency, tries, Some(shortage));
        }
        self.cache.entry(now, head.flow).place = Some(Place::Placed(choice.agent));
        self.pool.placed(choice.agent);
        let is_last = self.pool.open_agents(now, &need) <= tried.len() + 1;
        let admission = if for_idle && !is_last { Admission::IfIdle } else { Admission::IfInTime };
        let decision = Decision::Placed {
            flow: head.flow,
            choice,
            attempt: tries,
            version: self.table.version,
        };
        let offer = self.offer(service, route, admission, waited_ms);
        let offer = Offer { is_retry, ..offer };
        vec![Action::Forward(choice.agent, Message::Open(offer)), Action::Log(decision)]
    }

    /// Handles an opening that no agent accepts. The client is refused at once, unless this
    /// balancer may not know all agents yet.
    fn refuse(
        &mut self,
        now: Time,
        head: &Head,
        service: Service,
        urgency: Urgency,
        tries: usize,
    ) -> Vec<Action> {
        let waited_ms = now.since(self.cache.entry(now, head.flow).started_at);
        if tries == 0 && !self.knows_all_agents(now) && waited_ms <= MAX_OPENING_AGE_MS {
            return self.keep(head, Cause::NoAgent);
        }
        if tries > 0 && self.identity.policy.uses(Mechanism::Room) {
            return self.refuse_for_room(now, head, urgency, tries, None);
        }
        self.cache.remove(&head.flow);
        let cause = match tries {
            0 if self.pool.is_evacuated(now, service) => Cause::Evacuated,
            0 => Cause::NoAgent,
            _ => Cause::AllDeclined,
        };
        self.reset(head, cause, tries)
    }

    fn offer(
        &self,
        service: Service,
        route: &Route,
        admission: Admission,
        waited_ms: u64,
    ) -> Offer {
        let demand = Demand {
            objective_ms: u32::try_from(route.objective_ms).unwrap_or(u32::MAX),
            deadline_ms: u32::try_from(route.deadline_ms).unwrap_or(u32::MAX),
            once: route.kind == Kind::Once,
            urgency: route.urgency,
        };
        let waited_ms = u32::try_from(waited_ms).unwrap_or(u32::MAX);
        Offer {
            service,
            admission,
            demand,
            waited_ms,
            orders: self.latest_orders.revision(),
            cold_per_s: self.table.cold_per_s.get(&service).copied().unwrap_or(0),
            is_retry: false,
            version: self.table.version,
        }
    }
}
