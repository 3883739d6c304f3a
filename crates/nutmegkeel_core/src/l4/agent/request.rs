//! Admission of openings, and release of requests to the backend server.

use std::net::Ipv4Addr;

use super::{Action, Agent, reset};
use crate::clock::Time;
use crate::l4::decision::{Cause, Decision};
use crate::l4::flow::Head;
use crate::l4::message::{Admission, Offer, Reason};
use crate::l4::policy::Mechanism;
use crate::l4::table::Arrival;
use crate::l4::waiting::{Capacity, Waiting};

/// Number of requests that may queue at the backend server before others wait at the agent: one to
/// take the next free slot, and one because an opening turns into a request only a round trip
/// later.
const QUEUED_AT_SERVER: u16 = 2;

/// An opening that a balancer sent.
#[derive(Debug)]
pub(super) struct Opening {
    pub(super) from: Ipv4Addr,
    pub(super) head: Head,
    pub(super) offer: Offer,
    /// When it first reached a balancer.
    pub(super) since: Time,
}

impl Opening {
    const fn arrival(&self) -> Arrival {
        Arrival { since: self.since, is_retry: self.offer.is_retry }
    }

    /// Returns the place that its request would have in the queue.
    pub(super) const fn waiting(&self, now: Time) -> Waiting {
        let Offer { demand, is_retry, .. } = self.offer;
        let (flow, since) = (self.head.flow, self.since);
        Waiting { flow, since, opened: now, demand, is_retry, request: None }
    }
}

impl Agent {
    /// Handles an opening. The server accepts it at once; its first request may have to wait for a
    /// slot.
    pub(super) fn open_flow(&mut self, now: Time, opening: &Opening) -> Vec<Action> {
        let (flow, demand) = (opening.head.flow, opening.offer.demand);
        let known = self.table.get(&flow);
        let is_copy = known.is_some_and(|held| held.opened_with == opening.head.seq);
        if let Some(reason) = self.refusal(now, opening, is_copy) {
            return vec![self.decline(opening.from, reason)];
        }
        if let Some(orders) = self.forbidding_orders(now, opening.offer.orders).filter(|_| !is_copy)
        {
            let refusal = self.decline(opening.from, Reason::Evacuated);
            return vec![self.send_orders(opening.from, orders), refusal];
        }
        self.budget.set_rate(opening.offer.cold_per_s);
        if !is_copy && self.room(now) == Some(0) {
            return vec![self.decline(opening.from, Reason::Cold)];
        }
        let action = self.forward_opening(now, flow, opening.from);
        if is_copy {
            return vec![action];
        }
        self.budget.record(now);
        self.waiting.remove(&flow);
        self.refused.remove(&flow);
        let (seq, version) = (opening.head.seq, opening.offer.version);
        self.table.open(now, flow, seq, version, demand, opening.arrival());
        self.record_asked(now, flow, opening.from);
        if self.may_wait(demand) && self.is_saturated() {
            self.waiting.push(opening.waiting(now));
            self.table.set_waiting(flow, true);
        } else {
            self.table.admit(now, flow);
            self.record_received(now, flow);
        }
        vec![action, self.log_accepted(flow)]
    }

    /// Returns why an opening is refused, if it is. What the agent observes takes precedence over
    /// what the balancer assumed: a draining server accepts nothing from the heartbeat on that
    /// reports it, and a server of another service, at a reused address, never receives the packet.
    fn refusal(&mut self, now: Time, opening: &Opening, is_copy: bool) -> Option<Reason> {
        let Some(server) = self.history.server() else {
            return Some(Reason::Leaving);
        };
        if server.service != opening.offer.service {
            return Some(Reason::WrongService);
        }
        if !self.is_open(now) {
            return Some(Reason::Leaving);
        }
        if is_copy {
            return None;
        }
        let (busy, slots) = (self.load().busy, server.slots.max(1));
        let Offer { demand, admission, .. } = opening.offer;
        let is_full = if self.waiting.is_contended() {
            admission == Admission::IfInTime && !self.can_serve(now, opening)
        } else {
            !demand.once && self.expected_ms() > u64::from(demand.deadline_ms)
        };
        let is_late = is_full || self.is_unanswerable(now, opening);
        match admission {
            Admission::IfIdle if busy >= slots => Some(Reason::Busy),
            Admission::IfInTime if is_late => Some(Reason::Late),
            _ => None,
        }
    }

    /// Returns the expected time until one more request is answered: the number of rounds through
    /// the slots, each as long as nearly every request takes. Requests that wait at the agent do
    /// not count, because the newest goes first.
    fn expected_ms(&self) -> u64 {
        let at_server = u64::from(self.table.load().busy);
        (at_server + 1).div_ceil(self.slots()) * self.service_time.upper_us() / 1_000
    }

    /// Returns whether the server is too slow to answer the request of an opening before its
    /// deadline.
    fn is_unanswerable(&self, now: Time, opening: &Opening) -> bool {
        opening.waiting(now).is_unanswerable(now, self.earliest_answer_ms())
    }

    /// Returns the expected time until the answer to a request that goes next, in milliseconds; zero
    /// while the server has a free slot.
    ///
    /// A free slot is always tried. Guards against a server that gets no requests because it was
    /// slow, and so cannot show that it no longer is.
    fn earliest_answer_ms(&self) -> u64 {
        let Capacity { slots, at_server, mean_us, most_us } = self.capacity();
        if at_server < slots {
            return 0;
        }
        let mean_us = mean_us.max(self.meter.round_ms(slots) * 1_000);
        Capacity { slots, at_server, mean_us, most_us }.earliest_ms()
    }

    pub(super) fn slots(&self) -> u64 {
        self.history.server().map_or(1, |server| u64::from(server.slots.max(1)))
    }

    /// Returns whether the backend server has no free slot and its own queue is full enough. While
    /// this process leaves, waiting requests go to the server's own queue, because no other process
    /// has them.
    pub(super) fn is_saturated(&self) -> bool {
        let slots = self.history.server().map_or(0, |server| server.slots);
        let waits_here = self.uses(Mechanism::AgentQueue) && !self.leaving;
        waits_here && self.table.load().busy >= slots + QUEUED_AT_SERVER
    }

    /// Accepts a client's packet of a flow that the server holds. Its request goes to the server if
    /// a slot is free, and otherwise waits at the agent, where the newest can go first. The
    /// server's own queue is answered in the order of arrival, which makes all requests late.
    pub(super) fn accept(&mut self, now: Time, head: &Head, from: Ipv4Addr) -> Vec<Action> {
        if self.table.is_waiting(&head.flow) {
            return self.wait(now, head);
        }
        let begun = self.table.begins(head);
        if begun.is_some() {
            self.record_asked(now, head.flow, from);
        }
        let waits = begun.filter(|demand| self.may_wait(*demand) && self.is_saturated());
        let Some(demand) = waits else {
            if begun.is_some() {
                self.record_received(now, head.flow);
            }
            self.table.record_client(now, head);
            return vec![Action::ToServer(0)];
        };
        let (flow, request) = (head.flow, Some(*head));
        let Arrival { since, is_retry } = self.table.arrival(now, &flow);
        self.waiting.push(Waiting { flow, since, opened: now, demand, is_retry, request });
        self.table.set_waiting(flow, true);
        self.wait(now, head)
    }

    /// Handles a client's packet of a flow whose request waits. A packet that ends the flow is
    /// passed to the server, which then frees its resources.
    fn wait(&mut self, now: Time, head: &Head) -> Vec<Action> {
        let is_request = head.len > 0;
        if head.flags.rst || (head.flags.fin && !is_request) {
            self.waiting.remove(&head.flow);
            self.table.set_waiting(head.flow, false);
            self.table.record_client(now, head);
            return vec![Action::Forget(head.flow), Action::ToServer(0)];
        }
        if !is_request && self.table.is_open(&head.flow) {
            self.table.record_client(now, head);
            return vec![Action::ToServer(0)];
        }
        self.table.record_waiting(now, head);
        if is_request && !self.waiting.record_request(head) && !self.requeue(now, head) {
            self.table.admit(now, head.flow);
            self.table.record_client(now, head);
            return vec![Action::ToServer(0)];
        }
        let decision = Decision::Kept { flow: head.flow, cause: Cause::AllBusy };
        if is_request { vec![Action::Keep(*head), Action::Log(decision)] } else { Vec::new() }
    }

    /// Queues a request again whose opening no longer has a place in the queue.
    ///
    /// Guards against requests that overtake all waiting ones because their client or its network
    /// path is slow. They would go to the server's own queue, and the more so the more packets are
    /// lost under load.
    fn requeue(&mut self, now: Time, head: &Head) -> bool {
        let Some(demand) = self.table.demand(&head.flow).filter(|_| self.is_saturated()) else {
            return false;
        };
        let (flow, request) = (head.flow, Some(*head));
        let Arrival { since, is_retry } = self.table.arrival(now, &flow);
        self.waiting.push(Waiting { flow, since, opened: now, demand, is_retry, request });
        true
    }

    /// Releases waiting requests to the server as slots become free, and resets clients as soon as
    /// their request cannot be answered in time. A draining server still serves the flows that it
    /// has accepted.
    pub(super) fn release(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.waiting.is_empty() {
            return actions;
        }
        if self.history.server().is_none() {
            for waiting in self.waiting.take_all() {
                actions.extend(self.give_up(now, &waiting, Cause::ServerDead));
            }
            return actions;
        }
        for waiting in self.waiting.take_unanswerable(now, self.earliest_answer_ms()) {
            actions.extend(self.end_late_wait(now, &waiting));
        }
        if self.waiting.is_contended() {
            actions.extend(self.release_in_order(now));
            return actions;
        }
        for waiting in self.waiting.take_expired(now, self.service_time.mean_us() / 1_000) {
            actions.extend(self.end_late_wait(now, &waiting));
        }
        for waiting in self.waiting.take_excess(now, self.slots(), self.service_time.mean_us()) {
            actions.extend(self.end_wait(now, &waiting, Cause::Late));
        }
        while !self.is_saturated()
            && let Some((waiting, request)) =
                self.waiting.pop(now, self.service_time.upper_us() / 1_000)
        {
            actions.extend(self.release_request(now, &waiting, &request));
        }
        actions
    }

    /// Ends the wait of a request whose answer would miss the deadline. On an open flow it goes to
    /// the server, which rejects what it has no room for, if the client would otherwise wait for
    /// long without an answer.
    pub(super) fn end_late_wait(&mut self, now: Time, waiting: &Waiting) -> Vec<Action> {
        let flow = waiting.flow;
        if self.table.is_open(&flow) && waiting.has_long_left(now) {
            let (waited_ms, left_ms) = (now.since(waiting.since), waiting.left_ms(now));
            let decision = Decision::PassedOn { flow, waited_ms, left_ms };
            let mut actions = vec![Action::Log(decision)];
            actions.extend(self.end_wait(now, waiting, Cause::Late));
            return actions;
        }
        if self.waiting.is_contended() {
            self.refuse(now, waiting, Cause::Late)
        } else {
            self.give_up(now, waiting, Cause::Late)
        }
    }

    /// Passes a request that waited to the server.
    pub(super) fn release_request(
        &mut self,
        now: Time,
        waiting: &Waiting,
        request: &Head,
    ) -> Vec<Action> {
        self.table.admit(now, waiting.flow);
        self.table.record_client(now, request);
        self.record_received(now, waiting.flow);
        let (urgency, waited_ms) = (waiting.demand.urgency, now.since(waiting.since));
        vec![Action::CountWait { urgency, waited_ms }, Action::Release(waiting.flow)]
    }

    /// Ends the wait of a request without a free slot. On an open flow the request goes to the
    /// server, which rejects what it has no room for, and so shows that the request has not run.
    pub(super) fn end_wait(&mut self, now: Time, waiting: &Waiting, cause: Cause) -> Vec<Action> {
        match waiting.request.filter(|_| self.table.is_open(&waiting.flow)) {
            Some(request) => self.release_request(now, waiting, &request),
            None => self.give_up(now, waiting, cause),
        }
    }

    /// Drops a waiting request that never reached the server. If the server has not seen the end of
    /// the handshake, or has ended, the client gets a reset. On an open flow of a running server
    /// nothing is sent, because a reset would break the flow, and the server would work on the
    /// request after its client has gone, in place of one that it can answer.
    pub(super) fn give_up(&mut self, now: Time, waiting: &Waiting, cause: Cause) -> Vec<Action> {
        let Some(request) = &waiting.request else {
            return Vec::new();
        };
        let flow = waiting.flow;
        let mut actions = vec![Action::Forget(flow)];
        if self.table.is_open(&flow) && self.history.server().is_some() {
            self.table.set_waiting(flow, false);
            let waited_ms = now.since(waiting.since);
            actions.push(Action::Log(Decision::Expired { flow, waited_ms }));
        } else if let Some(held) = self.table.remove(&flow) {
            self.refused.insert(now, request, cause);
            actions.extend(reset(now, flow, &held, cause));
        }
        actions
    }
}
