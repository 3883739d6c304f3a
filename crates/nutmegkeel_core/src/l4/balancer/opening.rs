//! Places new flows.

use std::sync::Arc;

use super::selection::{Attempt, Selection};
use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::cache::Place;
use crate::l4::decision::{Cause, Decision};
use crate::l4::flow::Head;
use crate::l4::health::Health;
use crate::l4::message::{Demand, Insistence, Message, Offer};
use crate::l4::placement::Need;
use crate::l4::policy::Mechanism;
use crate::l4::route::{Kind, Route, Service, Urgency};
use crate::revision::Revision;

/// An opening that has found no agent within this is refused, in milliseconds: its client gives it up
/// after 1.4 s.
pub(super) const LONGEST_MS: u64 = 1_100;

impl Balancer {
    /// The copies of an opening go where the first went, or two backend servers would accept it;
    /// unless that agent fell silent, or the route has moved since.
    pub(super) fn opening(&mut self, now: Time, head: &Head, route: &Route) -> Vec<Action> {
        let Some(service) = route.service(&head.flow) else {
            return self.reset(head, Cause::NoAgent, 0);
        };
        let entry = self.cache.entry(now, head.flow);
        if let Some(agent) = entry.place.as_ref().map(Place::agent)
            && self.pool.health(now, agent) == Some(Health::Fresh)
            && self.pool.service(agent) == Some(service)
        {
            let (waited_ms, returns) = (now.since(entry.began), entry.returns == Some(true));
            let offer = self.offer(service, route, Insistence::IfInTime, waited_ms);
            // A copy follows the first, whatever the orders are now: it must not tell the agent that its
            // failure domain is open.
            let offer = Offer { orders: Revision::ZERO, returns, ..offer };
            return vec![Action::Forward(agent, Message::Open(offer))];
        }
        if self.ledger.orders().is_none() {
            return self.keep(head, Cause::NoConfiguration);
        }
        self.place(now, head, service, route)
    }

    /// Places a new flow at once, also while agents are still appearing.
    ///
    /// The load pattern: after a loss of power clients come back within half a second, and so do hosts.
    /// Openings that are held until all hosts are back go to agents in the same moment, and every
    /// client among them is answered late. Placed at once, each waits at an agent, where those go
    /// first that can be in time.
    fn place(&mut self, now: Time, head: &Head, service: Service, route: &Route) -> Vec<Action> {
        let returns = self.returns(now, head);
        let domain = Arc::clone(&self.identity.domain);
        let need = Need {
            key: head.flow.key(),
            service,
            kind: route.kind,
            regions: &route.regions,
            domain: &domain,
            tried: &[],
        };
        let in_vain = self.asks_in_vain(now, &head.flow, service);
        let entry = self.cache.entry(now, head.flow);
        let (declined, waited_ms) = (entry.declined.clone(), now.since(entry.began));
        let tries = declined.len();
        let Some(selection) = self.select(now, need, &Attempt { declined, waited_ms, in_vain })
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
        let alone = self.pool.open_agents(now, &need) <= tried.len() + 1;
        let insistence = if for_idle && !alone { Insistence::IfIdle } else { Insistence::IfInTime };
        let note = Decision::Placed {
            flow: head.flow,
            choice,
            attempt: tries,
            version: self.table.version,
        };
        let offer = self.offer(service, route, insistence, waited_ms);
        let offer = Offer { returns, ..offer };
        vec![Action::Forward(choice.agent, Message::Open(offer)), Action::Log(note)]
    }

    /// No agent takes the opening. The client learns it at once, unless this balancer may simply not
    /// have heard of an agent yet.
    fn refuse(
        &mut self,
        now: Time,
        head: &Head,
        service: Service,
        urgency: Urgency,
        tries: usize,
    ) -> Vec<Action> {
        let waited_ms = now.since(self.cache.entry(now, head.flow).began);
        if tries == 0 && !self.is_settled(now) && waited_ms <= LONGEST_MS {
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
        insistence: Insistence,
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
            insistence,
            demand,
            waited_ms,
            orders: self.ledger.revision(),
            cold_per_s: self.table.cold_per_s.get(&service).copied().unwrap_or(0),
            returns: false,
        }
    }
}
