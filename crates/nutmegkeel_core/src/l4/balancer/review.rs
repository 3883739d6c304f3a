//! Periodic checks of a balancer, independent of the events that it handles.

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::decision::{Cause, Decision};

impl Balancer {
    /// Resets flows whose agent is now known to be dead, or that no agent holds. Guards against a
    /// client that waits for its own timeout, or for its next retransmission, which become less
    /// frequent, although the answer is known.
    pub(super) fn review(&mut self, now: Time) -> Vec<Action> {
        let (is_cut_off, knows_all_agents) =
            (self.pool.is_cut_off(now), self.knows_all_agents(now));
        self.record_discovery(now, is_cut_off, knows_all_agents);
        let mut actions = self.recall_if_changed(now, knows_all_agents);
        actions.extend(self.repeat_introduction(now));
        actions.extend(self.review_absences(now));
        actions.extend(self.collector.due(now).map(Action::Commit));
        actions.extend(self.send_summaries(now));
        actions.extend(self.send_late_agents(now));
        actions.extend(self.compare_speeds(now));
        actions.extend(self.rebalance(now));
        if is_cut_off {
            return actions;
        }
        actions.extend(self.check_ports(now));
        actions.extend(self.inquire(now));
        actions.extend(self.reset_impatient(now));
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
        if knows_all_agents {
            let has_stopped = self.pool.has_stopped(now);
            let mut undecided = self.cache.undecided(now);
            undecided.retain(|flow| !has_stopped || self.is_impatient(now, flow));
            for flow in undecided {
                actions.extend(self.continue_search(now, flow));
            }
        }
        actions
    }

    /// Logs which failure domains begin or cease to be spared.
    fn rebalance(&mut self, now: Time) -> Vec<Action> {
        let levels = self.pool.rebalance(now);
        let sent_remote = self.pool.sent_remote();
        let log = |level| Action::Log(Decision::Spared { level, sent_remote });
        levels.into_iter().map(log).collect()
    }
}
