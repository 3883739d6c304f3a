//! What a balancer looks at each few milliseconds, whatever happens.

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::decision::{Cause, Decision};

impl Balancer {
    /// Tells clients what became certain since: their flow's agent is dead, or nobody holds the flow.
    /// Guards against a client that waits for its own timeout, or for the next of its copies that
    /// come ever more rarely, while the answer is known.
    pub(super) fn review(&mut self, now: Time) -> Vec<Action> {
        let (is_cut_off, is_settled) = (self.pool.is_cut_off(now), self.is_settled(now));
        self.note_certainty(is_cut_off, is_settled);
        let mut actions = self.recall_if_changed(now, is_settled);
        actions.extend(self.introduce_again(now));
        actions.extend(self.collector.due(now).map(Action::Commit));
        actions.extend(self.summarise(now));
        actions.extend(self.tell_late(now));
        actions.extend(self.compare_speeds(now));
        actions.extend(self.rebalance(now));
        if is_cut_off {
            return actions;
        }
        let silent = self.pool.newly_silent(now);
        for agent in &silent {
            for (flow, seq) in self.cache.held_by(*agent) {
                self.cache.remove(&flow);
                actions.extend(self.reset_flow(flow, seq, Cause::AgentDead, 0));
            }
        }
        if !silent.is_empty() {
            actions.push(Action::Log(Decision::AgentsSilent { agents: silent }));
        }
        if is_settled {
            for flow in self.cache.undecided(now) {
                actions.extend(self.decide(now, flow));
            }
        }
        actions
    }

    /// Notes which failure domains begin or cease to be spared.
    fn rebalance(&mut self, now: Time) -> Vec<Action> {
        let levels = self.pool.rebalance(now);
        let abroad = self.pool.sent_abroad();
        let note = |level| Action::Log(Decision::Spared { level, abroad });
        levels.into_iter().map(note).collect()
    }
}
