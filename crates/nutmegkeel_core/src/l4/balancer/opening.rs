//! Places new flows.

use std::net::Ipv4Addr;

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::cache::Place;
use crate::l4::flow::Head;
use crate::l4::health::Health;
use crate::l4::message::{Demand, Insistence, Message, Offer, Reason};
use crate::l4::note::{Cause, Note};
use crate::l4::placement::Wish;
use crate::l4::policy::Mechanism;
use crate::l4::route::{Kind, Route, Service};

/// Agents asked for a free slot before one is asked to let the flow wait. Each costs a round trip of
/// 2 ms; at 80% load of two slots a second question finds a free slot three times in ten.
const IDLE_TRIES: usize = 2;

/// Agents asked for one opening at most.
const OPEN_TRIES: usize = 8;

/// Where callers compete for room, agents that may say that an answer would come too late before the opening
/// is refused. Guards against entry hosts that lose packets of others: under an overload each opening
/// would ask eight agents for the same answer.
const LATE_TRIES: usize = 2;

/// An opening that has found no agent within this is refused, in milliseconds: its client gives it up
/// after 1.4 s.
const LONGEST_MS: u64 = 1_100;

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
            let waited_ms = now.since(entry.began);
            let offer = self.offer(service, route, Insistence::IfInTime, waited_ms);
            // A copy follows the first, whatever the orders are now: it must not tell the agent that its
            // failure domain is open.
            let offer = Offer { orders: 0, ..offer };
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
    /// first that can be in time. Measured on three days that end with a loss of power, five seeds each, with fuller lists of
    /// flows: worth 0.749 placed at once, 0.737 held for at most 50 ms, 0.729 for 100 ms, 0.724 for 200 ms.
    fn place(&mut self, now: Time, head: &Head, service: Service, route: &Route) -> Vec<Action> {
        let entry = self.cache.entry(now, head.flow);
        let key = head.flow.key();
        let tries = entry.declined.len();
        let for_idle = tries < IDLE_TRIES && self.identity.policy.uses(Mechanism::FreeSlotFirst);
        let excluded: Vec<Ipv4Addr> = entry
            .declined
            .iter()
            .filter(|(_, reason)| for_idle || *reason != Reason::Busy)
            .map(|(agent, _)| *agent)
            .collect();
        let waited_ms = now.since(entry.began);
        let wish = Wish {
            key,
            service,
            kind: route.kind,
            regions: &route.regions,
            domain: &self.identity.domain,
            tried: &excluded,
        };
        let late = entry.declined.iter().filter(|(_, reason)| *reason == Reason::Late).count();
        let is_hopeless = late >= LATE_TRIES && self.identity.policy.uses(Mechanism::Urgency);
        let may_try = tries < OPEN_TRIES && waited_ms <= LONGEST_MS && !is_hopeless;
        let choice = may_try.then(|| self.pool.choose(now, &wish)).flatten();
        let Some(choice) = choice else {
            return self.refuse(now, head, service, tries);
        };
        entry.place = Some(Place::Placed(choice.agent));
        self.pool.placed(choice.agent);
        let alone = self.pool.open_agents(now, &wish) <= excluded.len() + 1;
        let insistence = if for_idle && !alone { Insistence::IfIdle } else { Insistence::IfInTime };
        let note =
            Note::Placed { flow: head.flow, choice, attempt: tries, version: self.table.version };
        let offer = self.offer(service, route, insistence, waited_ms);
        vec![Action::Forward(choice.agent, Message::Open(offer)), Action::Note(note)]
    }

    /// No agent takes the opening. The client learns it at once, unless this balancer may simply not
    /// have heard of an agent yet.
    fn refuse(&mut self, now: Time, head: &Head, service: Service, tries: usize) -> Vec<Action> {
        let waited_ms = now.since(self.cache.entry(now, head.flow).began);
        if tries == 0 && !self.is_settled(now) && waited_ms <= LONGEST_MS {
            return self.keep(head, Cause::NoAgent);
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
        }
    }
}
