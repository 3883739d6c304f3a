//! What an agent learns from the packets of its backend server.

use std::net::Ipv4Addr;

use super::{Action, Agent, reset};
use crate::clock::Time;
use crate::l4::flow::Head;
use crate::l4::message::{Message, Reason};
use crate::l4::note::{Cause, Note, ServerChange};
use crate::l4::policy::Mechanism;
use crate::l4::table::{Outcome, Stage};

impl Agent {
    pub(super) fn answered(&mut self, now: Time, head: &Head) -> Vec<Action> {
        self.unanswered_since = None;
        self.deserted = false;
        let mut actions = vec![Action::ToClient];
        actions.extend(self.responsive(now));
        if self.table.get(&head.flow).is_none() && !head.flags.rst {
            self.table.adopt(now, head);
            actions.push(Action::Note(Note::Adopted { flow: head.flow }));
        }
        if let Some(outcome) = self.table.note_server(now, head) {
            actions.extend(self.learn(now, outcome));
        }
        if let Some(balancer) = self.probes.answered(&head.flow) {
            let message = Message::Holds { flow: head.flow, load: self.load() };
            actions.push(Action::Send(balancer, message));
        }
        actions
    }

    /// Learns from a request: whether the server is to be spared, and its time if it found a slot
    /// free. The others waited at the server: counted as service time, a short burst would make the
    /// agent refuse what it could serve in time.
    fn learn(&mut self, now: Time, outcome: Outcome) -> Vec<Action> {
        let slots = self.beside.server().map_or(0, |server| usize::from(server.slots));
        match outcome {
            Outcome::Answered { after_ms, behind } => {
                self.record.answered();
                self.mute.answered(now);
                let found_slot = behind < slots;
                self.note_answer(now, after_ms, found_slot);
                if found_slot {
                    self.pace.add(after_ms);
                }
                vec![Action::CountAnswer(after_ms)]
            }
            Outcome::Broken { behind }
                if self.is_fault(behind, slots) && self.record.broken(now) =>
            {
                let mut actions = vec![self.changed(ServerChange::Failing)];
                actions.extend(self.announce(now));
                actions
            }
            Outcome::Broken { .. } => Vec::new(),
        }
    }

    /// Whether a request that was broken off shows a fault of the server, if `behind` were in progress when
    /// it came.
    ///
    /// Guards against a crowd that makes whole services look faulty: a full server turns away what its queue
    /// does not hold, and would be spared while its peers drown in its share. A faulty one is rid of its
    /// requests at once, and so never full.
    fn is_fault(&self, behind: usize, slots: usize) -> bool {
        let is_full = self.uses(Mechanism::Room) && behind >= slots;
        self.uses(Mechanism::Outliers) && !is_full
    }

    pub(super) fn bounced(&mut self, now: Time, head: &Head) -> Vec<Action> {
        self.unanswered_since = None;
        self.deserted = false;
        let mut actions = self.responsive(now);
        let probe = self.probes.take(head.tag);
        if let Some(from) = probe.filter(|_| head.opens()) {
            actions.extend(self.turned_away(from, head));
            return actions;
        }
        if let Some(from) = probe {
            self.probes.deny(now, head.flow);
            actions.push(self.decline(from, Reason::NotHeld));
            return actions;
        }
        // Only an open flow's packet carries no probe: the server held the flow and has lost it.
        if let Some(held) = self.table.remove(&head.flow)
            && held.stage == Stage::Open
            && !held.is_over()
        {
            actions.extend(reset(head.flow, held.client_ack, Cause::ServerRestarted));
        }
        actions
    }

    /// The server turned an opening away. Guards against forgetting a flow whose first opening it
    /// took and whose copy it turned away, being full by then: the client would be told that nobody
    /// holds its open flow.
    fn turned_away(&mut self, from: Ipv4Addr, head: &Head) -> Option<Action> {
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
