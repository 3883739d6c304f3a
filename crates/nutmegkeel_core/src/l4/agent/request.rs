//! Which openings an agent takes, and when requests go on to the backend server.

use std::net::Ipv4Addr;

use super::{Action, Agent, reset};
use crate::clock::Time;
use crate::l4::flow::Head;
use crate::l4::message::{Insistence, Offer, Reason};
use crate::l4::note::{Cause, Note};
use crate::l4::policy::Mechanism;
use crate::l4::waiting::Waiting;

/// Requests that may wait at the backend server itself before others wait at the agent: one to take the
/// next slot, and one more because an opening becomes a request only a round trip later.
const AHEAD: u16 = 2;

/// An opening as a balancer sent it.
#[derive(Debug)]
pub(super) struct Opening {
    pub(super) from: Ipv4Addr,
    pub(super) head: Head,
    pub(super) offer: Offer,
    /// When it first came to a balancer.
    pub(super) since: Time,
}

impl Agent {
    /// The server accepts the opening at once; the first request may have to wait for a slot.
    pub(super) fn open_flow(&mut self, now: Time, opening: &Opening) -> Vec<Action> {
        let (flow, demand) = (opening.head.flow, opening.offer.demand);
        let known = self.table.get(&flow);
        let is_copy = known.is_some_and(|held| held.opened_with == opening.head.seq);
        if let Some(reason) = self.refusal(now, opening, is_copy) {
            return vec![self.decline(opening.from, reason)];
        }
        if let Some(orders) = self.evacuated_since(now, opening.offer.orders).filter(|_| !is_copy) {
            let refusal = self.decline(opening.from, Reason::Evacuated);
            return vec![self.teach(opening.from, orders), refusal];
        }
        self.budget.set_rate(opening.offer.cold_per_s);
        if !is_copy && self.room(now) == Some(0) {
            return vec![self.decline(opening.from, Reason::Cold)];
        }
        let action = self.hand_over(now, flow, opening.from);
        if is_copy {
            return vec![action];
        }
        self.budget.give(now);
        self.waiting.remove(&flow);
        self.refused.remove(&flow);
        self.table.open(now, flow, opening.head.seq, demand);
        self.note_asked(now, flow, opening.from);
        if self.may_wait(demand) && self.is_saturated() {
            let (since, returns) = (opening.since, opening.offer.returns);
            let waiting = Waiting { flow, since, opened: now, demand, returns, request: None };
            self.waiting.push(waiting);
            self.table.set_waiting(flow, true);
        } else {
            self.table.admit(now, flow);
            self.note_received(now, flow);
        }
        vec![action, self.accepted(flow)]
    }

    /// Why an opening is not taken. What the agent sees itself goes before what a balancer believed:
    /// a server that leaves takes nothing from the moment its heartbeat says so, and one of another
    /// service, at an address used again, never sees the packet.
    fn refusal(&mut self, now: Time, opening: &Opening, is_copy: bool) -> Option<Reason> {
        let Some(server) = self.beside.server() else {
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
        let Offer { demand, insistence, .. } = opening.offer;
        let is_late = if self.waiting.is_contended() {
            insistence == Insistence::IfInTime && !self.bears(now, opening)
        } else {
            !demand.once && self.expected_ms() > u64::from(demand.deadline_ms)
        };
        match insistence {
            Insistence::IfIdle if busy >= slots => Some(Reason::Busy),
            Insistence::IfInTime if is_late => Some(Reason::Late),
            _ => None,
        }
    }

    /// Expected time from now to the answer of one more request: turns of the slots, each as long as
    /// nearly every request. Requests that wait here do not count, because the newest goes first.
    fn expected_ms(&self) -> u64 {
        let at_server = u64::from(self.table.load().busy);
        (at_server + 1).div_ceil(self.slots()) * self.pace.upper_us() / 1_000
    }

    pub(super) fn slots(&self) -> u64 {
        self.beside.server().map_or(1, |server| u64::from(server.slots.max(1)))
    }

    /// Whether the backend server has no slot left and enough to go on with. When this process ends,
    /// what waits goes to the server's own queue: nobody else has it.
    pub(super) fn is_saturated(&self) -> bool {
        let slots = self.beside.server().map_or(0, |server| server.slots);
        let waits_here = self.uses(Mechanism::AgentQueue) && !self.leaving;
        waits_here && self.table.load().busy >= slots + AHEAD
    }

    /// Takes a client's packet of a flow that the server holds: requests go on while the server has
    /// slots, and wait here otherwise, where the newest can go first; in the server's own queue they
    /// are answered in the order of their arrival, and all of them late.
    pub(super) fn take(&mut self, now: Time, head: &Head, from: Ipv4Addr) -> Vec<Action> {
        if self.table.is_waiting(&head.flow) {
            return self.wait(now, head);
        }
        let begun = self.table.begins(head);
        if begun.is_some() {
            self.note_asked(now, head.flow, from);
        }
        let waits = begun.filter(|demand| self.may_wait(*demand) && self.is_saturated());
        let Some(demand) = waits else {
            if begun.is_some() {
                self.note_received(now, head.flow);
            }
            self.table.note_client(now, head);
            return vec![Action::ToServer(0)];
        };
        let (flow, since, request) = (head.flow, now, Some(*head));
        let returns = false;
        self.waiting.push(Waiting { flow, since, opened: now, demand, returns, request });
        self.table.set_waiting(flow, true);
        self.wait(now, head)
    }

    /// A client's packet of a flow whose request waits. One that ends the flow goes on to the server,
    /// which frees what it holds for it.
    fn wait(&mut self, now: Time, head: &Head) -> Vec<Action> {
        let is_request = head.len > 0;
        if head.flags.rst || (head.flags.fin && !is_request) {
            self.waiting.remove(&head.flow);
            self.table.set_waiting(head.flow, false);
            self.table.note_client(now, head);
            return vec![Action::Forget(head.flow), Action::ToServer(0)];
        }
        if !is_request && self.table.is_open(&head.flow) {
            self.table.note_client(now, head);
            return vec![Action::ToServer(0)];
        }
        self.table.note_waiting(now, head);
        if is_request && !self.waiting.note_request(head) && !self.wait_again(now, head) {
            // Nobody waited for it any more: it came too long after the opening.
            self.table.admit(now, head.flow);
            self.table.note_client(now, head);
            return vec![Action::ToServer(0)];
        }
        let note = Note::Kept { flow: head.flow, cause: Cause::AllBusy };
        if is_request { vec![Action::Keep(*head), Action::Note(note)] } else { Vec::new() }
    }

    /// Lets requests that wait go to the server as slots come free, and tells clients at once when
    /// theirs has no chance any more. A server that drains still serves the flows it has accepted.
    pub(super) fn release(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.waiting.is_empty() {
            return actions;
        }
        if self.beside.server().is_none() {
            for waiting in self.waiting.take_all() {
                actions.extend(self.give_up(now, &waiting, Cause::ServerDead));
            }
            return actions;
        }
        if self.waiting.is_contended() {
            actions.extend(self.release_in_order(now));
            return actions;
        }
        for waiting in self.waiting.take_late(now, self.pace.mean_us() / 1_000) {
            actions.extend(self.give_up(now, &waiting, Cause::Late));
        }
        for waiting in self.waiting.take_hopeless(now, self.slots(), self.pace.mean_us()) {
            match waiting.request.filter(|_| self.table.is_open(&waiting.flow)) {
                // The server says itself that it has not run what it has no room for.
                Some(request) => actions.extend(self.let_go(now, &waiting, &request)),
                None => actions.extend(self.give_up(now, &waiting, Cause::Late)),
            }
        }
        while !self.is_saturated()
            && let Some((waiting, request)) = self.waiting.pop(now, self.pace.upper_us() / 1_000)
        {
            actions.extend(self.let_go(now, &waiting, &request));
        }
        actions
    }

    /// Hands a request that waited to the server.
    pub(super) fn let_go(&mut self, now: Time, waiting: &Waiting, request: &Head) -> Vec<Action> {
        self.table.admit(now, waiting.flow);
        self.table.note_client(now, request);
        self.note_received(now, waiting.flow);
        let (urgency, waited_ms) = (waiting.demand.urgency, now.since(waiting.since));
        vec![Action::CountWait { urgency, waited_ms }, Action::Release(waiting.flow)]
    }

    /// Gives a request up that waits and never reached the server. If the server has not seen the end
    /// of the handshake, or is gone, the client is told by a reset. On a flow that is open nothing is
    /// sent: a reset would break a flow of a server that is well, and the client's time is over.
    pub(super) fn give_up(&mut self, now: Time, waiting: &Waiting, cause: Cause) -> Vec<Action> {
        if waiting.request.is_none() {
            return Vec::new();
        }
        let flow = waiting.flow;
        let mut actions = vec![Action::Forget(flow)];
        if self.table.is_open(&flow) && cause == Cause::Late {
            self.table.set_waiting(flow, false);
            let waited_ms = now.since(waiting.since);
            actions.push(Action::Note(Note::Expired { flow, waited_ms }));
        } else if let Some(held) = self.table.remove(&flow) {
            actions.extend(reset(flow, held.client_ack, cause));
        }
        actions
    }
}
