//! Handling of packets from the backend server.

use std::net::Ipv4Addr;

use super::{Action, Agent, reset};
use crate::clock::Time;
use crate::l4::decision::{Cause, Decision, ServerChange};
use crate::l4::flow::Head;
use crate::l4::message::{Message, Reason};
use crate::l4::policy::Mechanism;
use crate::l4::table::{Outcome, Stage};

impl Agent {
    pub(super) fn handle_server_packet(&mut self, now: Time, head: &Head) -> Vec<Action> {
        self.unanswered_since = None;
        self.last_sent_at = now;
        self.record_heard(now);
        let mut actions = vec![Action::ToClient];
        actions.extend(self.mark_responsive(now));
        if self.table.get(&head.flow).is_none() && !head.flags.rst {
            self.table.adopt(now, head);
            actions.push(Action::Log(Decision::Adopted { flow: head.flow }));
        }
        if let Some(outcome) = self.table.record_server(now, head) {
            actions.extend(self.apply_outcome(now, outcome));
        }
        if let Some(balancer) = self.probes.take_answered(&head.flow) {
            let message = Message::Holds { flow: head.flow, load: self.load() };
            actions.push(Action::Send(balancer, message));
        }
        actions
    }

    /// Applies the outcome of a request: it shows whether the server is failing, and its service
    /// time if the request found a free slot. Other requests waited at the server. If their wait
    /// counted as service time, a short burst would make the agent refuse requests that it can
    /// serve in time.
    fn apply_outcome(&mut self, now: Time, outcome: Outcome) -> Vec<Action> {
        let slots = self.history.server().map_or(0, |server| usize::from(server.slots));
        match outcome {
            Outcome::Answered { after_ms, behind } => {
                self.outliers.record_answered();
                let found_slot = behind < slots;
                self.record_answer(now, after_ms, found_slot);
                if found_slot {
                    self.service_time.add(after_ms);
                }
                vec![Action::CountAnswer(after_ms)]
            }
            Outcome::Broken { behind }
                if self.is_fault(behind, slots) && self.outliers.record_broken(now) =>
            {
                let mut actions = vec![self.log_change(ServerChange::Failing)];
                actions.extend(self.announce(now));
                actions
            }
            Outcome::Broken { .. } => Vec::new(),
        }
    }

    /// Returns whether a broken request shows a fault of the server, given that `behind` requests
    /// were in progress when it arrived.
    ///
    /// Guards against an overload that makes whole services look faulty. A full server rejects
    /// requests that do not fit into its queue; if it were spared, its peers would be overloaded
    /// with its share. A faulty server finishes its requests at once, and so is never full.
    fn is_fault(&self, behind: usize, slots: usize) -> bool {
        let is_full = self.uses(Mechanism::Room) && behind >= slots;
        self.uses(Mechanism::Outliers) && !is_full
    }

    pub(super) fn bounced(&mut self, now: Time, head: &Head) -> Vec<Action> {
        self.unanswered_since = None;
        self.record_heard(now);
        let mut actions = self.mark_responsive(now);
        let probe = self.probes.take(head.tag);
        if let Some(from) = probe.filter(|_| head.opens()) {
            actions.extend(self.handle_rejected_opening(from, head));
            return actions;
        }
        if let Some(from) = probe {
            self.probes.deny(now, head.flow);
            actions.push(self.decline(from, Reason::NotHeld));
            return actions;
        }
        // Only a packet of an open flow carries no probe number: the server held the flow and has
        // lost it.
        if let Some(held) = self.table.remove(&head.flow)
            && held.stage == Stage::Open
            && !held.is_over()
        {
            actions.extend(reset(now, head.flow, &held, Cause::ServerRestarted));
        }
        actions
    }

    /// Handles an opening that the server rejected.
    ///
    /// Guards against forgetting a flow whose opening the server accepted, while it rejected a copy
    /// of that opening because it was full by then: the client would learn that nobody holds its
    /// open flow.
    fn handle_rejected_opening(&mut self, from: Ipv4Addr, head: &Head) -> Option<Action> {
        match self.table.get(&head.flow)?.stage {
            Stage::Opening(None) => {
                self.waiting.remove(&head.flow);
                self.table.remove(&head.flow);
                Some(self.decline(from, Reason::Full))
            }
            Stage::Opening(Some(_)) | Stage::Open => None,
        }
    }
}
