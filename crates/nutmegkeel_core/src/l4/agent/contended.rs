//! How requests wait, go on and are refused where callers compete for room.

use std::net::Ipv4Addr;

use super::request::Opening;
use super::{Action, Agent};
use crate::clock::Time;
use crate::l4::flow::{Flow, Head, OPENING_ENDS_MS};
use crate::l4::message::{Demand, Offer};
use crate::l4::note::{Cause, Note};
use crate::l4::policy::Mechanism;
use crate::l4::share::Standing;
use crate::l4::waiting::{Capacity, Waiting};

impl Agent {
    /// Whether the requests of a flow may wait here.
    ///
    /// Those that must run once wait only where urgency orders what waits. In the server's own queue
    /// they would pass by more urgent ones, and be turned away late when it is full. From here they are
    /// refused by a reset while the server does not hold the flow: then they cannot have run.
    pub(super) fn may_wait(&self, demand: Demand) -> bool {
        !demand.once || self.uses(Mechanism::Urgency)
    }

    /// Notes that a request comes, on a flow by way of a balancer.
    pub(super) fn note_asked(&mut self, now: Time, flow: Flow, from: Ipv4Addr) {
        if !self.uses(Mechanism::FairShares) {
            return;
        }
        let Some(word) = self.words.get(from) else {
            return;
        };
        self.shares.ask(now, *flow.client.ip(), &word.domain, self.pace.mean_us());
    }

    /// Notes that the server gets a request.
    pub(super) fn note_received(&mut self, now: Time, flow: Flow) {
        if self.uses(Mechanism::FairShares) {
            self.shares.receive(now, *flow.client.ip(), self.pace.mean_us());
        }
    }

    /// Whether the request of an opening could be served. One that cannot is refused before it costs
    /// its client a connection and a round trip.
    pub(super) fn bears(&mut self, now: Time, opening: &Opening) -> bool {
        let (flow, since) = (opening.head.flow, opening.since);
        let Offer { demand, returns, .. } = opening.offer;
        let waiting = Waiting { flow, since, opened: now, demand, returns, request: None };
        let capacity = self.capacity();
        !self.is_saturated() || self.waiting.bears(now, &capacity, &self.shares, &waiting)
    }

    /// What the slots can do now.
    ///
    /// Guards against taking a full server for as fast as it was when a slot was last free: its clients would be
    /// let in, and wait until their deadline in vain. The meter shows the time of service also while none is.
    pub(super) fn capacity(&self) -> Capacity {
        let measured_us = u64::from(self.meter.service_ms()) * 1_000;
        Capacity {
            slots: self.slots(),
            at_server: u64::from(self.table.load().busy),
            mean_us: self.pace.mean_us().max(measured_us),
            most_us: self.pace.upper_us().max(measured_us),
        }
    }

    /// Gives up what cannot be served, and lets the first in order go on as slots come free.
    pub(super) fn release_in_order(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let capacity = self.capacity();
        for waiting in self.waiting.take_late(now, capacity.answer_ms()) {
            actions.extend(self.refuse(now, &waiting, Cause::Late));
        }
        let table = &self.table;
        let may_refuse = |flow: &Flow| !table.is_open(flow);
        let unservable = self.waiting.take_unservable(now, &capacity, &self.shares, may_refuse);
        for waiting in unservable {
            actions.extend(self.refuse(now, &waiting, Cause::Overload));
        }
        while !self.is_saturated()
            && let Some((waiting, request, standing)) =
                self.waiting.next(now, &self.capacity(), &self.shares)
        {
            if standing > Standing::Within {
                let (flow, waited_ms) = (waiting.flow, now.since(waiting.since));
                actions.push(Action::Note(Note::BeyondShare { flow, standing, waited_ms }));
            }
            actions.extend(self.let_go(now, &waiting, &request));
        }
        actions
    }

    fn refuse(&mut self, now: Time, waiting: &Waiting, cause: Cause) -> Vec<Action> {
        let mut actions = self.give_up(now, waiting, cause);
        if let Some(request) = &waiting.request {
            if self.table.get(&waiting.flow).is_none() {
                self.refused.insert(now, request);
            }
            let (flow, urgency) = (waiting.flow, waiting.demand.urgency);
            let waited_ms = now.since(waiting.since);
            actions.push(Action::Note(Note::GivenUp { flow, cause, urgency, waited_ms }));
        }
        actions
    }

    /// Puts a request back whose opening no longer keeps a place. Guards against requests that pass by
    /// all that wait, because their client or the path to it was slow: they would go to the server's own
    /// queue, more the more is lost under the load.
    pub(super) fn wait_again(&mut self, now: Time, head: &Head) -> bool {
        let demand = self.table.demand(&head.flow).filter(|_| self.is_saturated());
        let Some(demand) = demand.filter(|_| self.waiting.is_contended()) else {
            return false;
        };
        // When the opening came is not known any more; its client waited no longer than this for its answer.
        let (flow, since, request) = (head.flow, now.before(OPENING_ENDS_MS), Some(*head));
        let returns = false;
        self.waiting.push(Waiting { flow, since, opened: now, demand, returns, request });
        true
    }
}
