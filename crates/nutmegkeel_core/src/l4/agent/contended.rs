//! Waiting, release and refusal of requests where callers compete for room.

use std::net::Ipv4Addr;

use super::request::Opening;
use super::{Action, Agent};
use crate::clock::Time;
use crate::l4::decision::{Cause, Decision};
use crate::l4::flow::Flow;
use crate::l4::message::Demand;
use crate::l4::policy::Mechanism;
use crate::l4::share::Standing;
use crate::l4::waiting::{Capacity, Waiting};

impl Agent {
    /// Returns whether the requests of a flow may wait at the agent.
    ///
    /// Requests that must run once wait only where they are ordered by urgency. In the server's own
    /// queue they would overtake more urgent ones, and would be rejected late when it is full. The
    /// agent refuses them by a reset while the server does not hold the flow, and then they cannot
    /// have run.
    pub(super) fn may_wait(&self, demand: Demand) -> bool {
        !demand.once || self.uses(Mechanism::Urgency)
    }

    /// Records a request that arrives on a flow by way of a balancer.
    pub(super) fn record_asked(&mut self, now: Time, flow: Flow, from: Ipv4Addr) {
        if !self.uses(Mechanism::FairShares) {
            return;
        }
        let Some(state) = self.balancer_states.get(from) else {
            return;
        };
        self.shares.record_request(
            now,
            *flow.client.ip(),
            &state.domain,
            self.service_time.mean_us(),
        );
    }

    /// Records that a request goes to the server.
    pub(super) fn record_received(&mut self, now: Time, flow: Flow) {
        if self.uses(Mechanism::FairShares) {
            self.shares.record_served(now, *flow.client.ip(), self.service_time.mean_us());
        }
    }

    /// Returns whether the request of an opening can be served. One that cannot is refused before
    /// it costs its client a connection and a round trip.
    pub(super) fn can_serve(&mut self, now: Time, opening: &Opening) -> bool {
        let waiting = opening.waiting(now);
        let capacity = self.capacity();
        !self.is_saturated() || self.waiting.can_serve(now, &capacity, &self.shares, &waiting)
    }

    /// Returns the current capacity of the slots.
    ///
    /// The estimates are at least the service time that the meter measures, because the meter also
    /// works while no slot is free. Guards against a server that became slow while it was full: by
    /// the earlier estimates, clients would be admitted and wait in vain until their deadline.
    pub(super) fn capacity(&self) -> Capacity {
        let measured_us = u64::from(self.meter.service_ms()) * 1_000;
        Capacity {
            slots: self.slots(),
            at_server: u64::from(self.table.load().busy),
            mean_us: self.service_time.mean_us().max(measured_us),
            most_us: self.service_time.upper_us().max(measured_us),
        }
    }

    /// Refuses requests that cannot be served, and releases the others in order as slots become
    /// free.
    pub(super) fn release_in_order(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let capacity = self.capacity();
        for waiting in self.waiting.take_expired(now, capacity.answer_ms()) {
            actions.extend(self.end_late_wait(now, &waiting));
        }
        let table = &self.table;
        let may_refuse = |flow: &Flow| !table.is_open(flow);
        let unservable = self.waiting.take_unservable(now, &capacity, &self.shares, may_refuse);
        for waiting in unservable {
            actions.extend(self.refuse(now, &waiting, Cause::Overload));
        }
        while !self.is_saturated()
            && let Some((waiting, request, standing)) =
                self.waiting.pop_ranked(now, &self.capacity(), &self.shares)
        {
            if standing > Standing::Within {
                let (flow, waited_ms) = (waiting.flow, now.since(waiting.since));
                actions.push(Action::Log(Decision::BeyondShare { flow, standing, waited_ms }));
            }
            actions.extend(self.release_request(now, &waiting, &request));
        }
        actions
    }

    pub(super) fn refuse(&mut self, now: Time, waiting: &Waiting, cause: Cause) -> Vec<Action> {
        let mut actions = self.give_up(now, waiting, cause);
        if waiting.request.is_some() {
            let (flow, urgency) = (waiting.flow, waiting.demand.urgency);
            let waited_ms = now.since(waiting.since);
            actions.push(Action::Log(Decision::GivenUp { flow, cause, urgency, waited_ms }));
        }
        actions
    }
}
