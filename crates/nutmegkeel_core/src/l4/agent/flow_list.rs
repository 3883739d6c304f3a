//! Saves the list of open flows in the store, usually by way of a balancer.

use super::{Action, Agent};
use crate::clock::Time;
use crate::l4::handover::Step;
use crate::l4::message::Message;
use crate::l4::policy::Mechanism;

impl Agent {
    /// Saves the list of open flows if it is due.
    pub(super) fn save(&mut self, now: Time) -> Option<Action> {
        if !self.uses(Mechanism::FlowLists) {
            return None;
        }
        let flows = self.table.open_flows();
        if let Some(server) = self.history.server()
            && let Some(checkpoint) = self.recorder.due(now, self.agent_count, server, flows)
        {
            if !self.uses(Mechanism::Collectors) {
                return Some(Action::Save(checkpoint));
            }
            self.handover.begin(checkpoint);
        }
        if !self.handover.is_pending() {
            return None;
        }
        let timeout_ms = self.balancer_states.valid_ms();
        let delegates =
            self.balancer_states.delegates(now, &self.identity.domain, None, timeout_ms);
        let agents = self.agents_in_domain(now);
        match self.handover.step(now, &delegates, self.reaches_store(now), agents)? {
            Step::Delegate(balancer, checkpoint) => {
                Some(Action::Send(balancer, Message::SaveFlows(checkpoint)))
            }
            Step::Write(checkpoint) => Some(Action::Save(checkpoint)),
        }
    }

    /// Returns the estimated number of agents in the own failure domain; balancers report the total
    /// of all domains.
    pub(super) fn agents_in_domain(&self, now: Time) -> u64 {
        self.agent_count.div_ceil(self.balancer_states.domains(now).max(1))
    }

    /// Returns whether a balancer of the own failure domain recently reported that the store
    /// answers.
    #[must_use]
    pub fn reaches_store(&self, now: Time) -> bool {
        self.balancer_states
            .of_domain(now, &self.identity.domain)
            .any(|(_, state)| state.reaches_store)
    }
}
