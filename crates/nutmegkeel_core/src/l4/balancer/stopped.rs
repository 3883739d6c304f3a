//! Agents that are silent although their hosts answer, and the clients that wait for them.

use std::net::Ipv4Addr;

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::decision::{Cause, Decision};
use crate::l4::flow::Flow;
use crate::l4::policy::Mechanism;
use crate::l4::route::Kind;
use crate::port::Finding;

/// Minimum time for which a client waits for a stopped agent, in milliseconds. Most processes that
/// are suspended run again sooner.
const MIN_PATIENCE_MS: u64 = 1_000;

/// Time for which a client waits for a stopped agent, and the longest such time, in percent of its
/// deadline. The rest is for its next try.
const PATIENCE_PERCENT: u64 = 25;
const MAX_PATIENCE_PERCENT: u64 = 50;

impl Balancer {
    /// Requests checks of the ports of silent agents.
    ///
    /// Guards against resetting the flows of an agent that is only suspended: its backend server is
    /// well and holds them.
    pub(super) fn check_ports(&mut self, now: Time) -> Vec<Action> {
        if !self.identity.policy.uses(Mechanism::PortChecks) {
            return Vec::new();
        }
        let due = self.pool.request_port_checks(now);
        due.into_iter().map(|agent| Action::CheckPort { agent, asked_at: now }).collect()
    }

    pub(super) fn port_checked(
        &mut self,
        now: Time,
        agent: Ipv4Addr,
        finding: Finding,
    ) -> Vec<Action> {
        self.pool.port_checked(agent, finding);
        let after_ms = now.since(finding.asked_at);
        vec![Action::Log(Decision::PortChecked { process: agent, state: finding.state, after_ms })]
    }

    /// Resets the flows whose clients have waited long enough for a stopped agent and may retry.
    /// Flows without a request, and those of clients that may not retry, are kept.
    pub(super) fn reset_impatient(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let stopped = self.pool.newly_stopped(now);
        if !stopped.is_empty() {
            actions.push(Action::Log(Decision::AgentsStopped { agents: stopped }));
        }
        for (flow, since, seq) in self.cache.waiting_at(&self.pool.stopped(now)) {
            if self.is_over(now, since, &flow) {
                self.cache.remove(&flow);
                actions.extend(self.reset_flow(flow, seq, Cause::AgentStopped, 0));
            }
        }
        actions
    }

    /// Returns whether the client of a flow that was not found yet gains more by another try than
    /// by waiting for a stopped agent.
    pub(super) fn is_impatient(&self, now: Time, flow: &Flow) -> bool {
        self.cache.waits_since(flow).is_some_and(|since| self.is_over(now, since, flow))
    }

    /// Returns whether a client that has waited since this time should try again. One that must not
    /// repeat its request should not: it would lose the answer. Without a route, this is not known.
    fn is_over(&self, now: Time, since: Time, flow: &Flow) -> bool {
        let Some(route) = self.table.routes.get(&flow.service) else {
            return false;
        };
        let percent_ms = |percent: u64| route.deadline_ms * percent / 100;
        let patience_ms =
            percent_ms(PATIENCE_PERCENT).max(MIN_PATIENCE_MS).min(percent_ms(MAX_PATIENCE_PERCENT));
        route.kind != Kind::Once && now.since(since) >= patience_ms
    }
}
