//! Agents whose probes went unanswered: whether they have ended, or only do not run.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::clock::Time;
use crate::member::Instance;
use crate::port::{Finding, Monitor, State};

/// Interval between two checks of the port of an agent whose host answers, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 2_000;

/// Time for which an agent that was declared dead keeps its flows while its port is open, in
/// milliseconds. No caller waits longer for an answer.
const KEPT_MS: u64 = 10_000;

/// Longest usual gap between two steps, in milliseconds. A longer one means that this process did not
/// run, and heard of no agent meanwhile.
const STALL_MS: u64 = 1_000;

/// What to do about a silent agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Check its port, and report the result with the time of this request.
    Check(SocketAddr),
    /// It has ended, or is out of reach: its flows are lost.
    Ended(SocketAddr, Instance),
}

/// An agent that is suspect or declared dead.
#[derive(Clone, Copy, Debug)]
struct Agent {
    instance: Instance,
    declared_at: Option<Time>,
    port: Monitor,
}

/// Silent agents.
///
/// Guards against resets of all flows of an agent that is only suspended: it is declared dead, gets
/// no new flows, and still holds its open ones.
#[derive(Clone, Debug, Default)]
pub struct Silent {
    agents: BTreeMap<SocketAddr, Agent>,
    /// When the last step was.
    stepped_at: Time,
}

impl Silent {
    /// Records that an agent is suspect. Its port is checked from now on, so that a result is known
    /// when it is declared dead.
    pub fn suspect(&mut self, address: SocketAddr, instance: Instance) {
        let known = self.agents.get(&address).map(|agent| agent.instance);
        if known != Some(instance) {
            let port = Monitor::open(CHECK_INTERVAL_MS);
            self.agents.insert(address, Agent { instance, declared_at: None, port });
        }
    }

    /// Records that an agent was declared dead because it is silent.
    pub fn declare_dead(&mut self, now: Time, address: SocketAddr, instance: Instance) {
        self.suspect(address, instance);
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.declared_at.get_or_insert(now);
        }
    }

    /// Returns whether an instance was declared dead and is not known to have ended.
    #[must_use]
    pub fn is_declared(&self, address: SocketAddr, instance: Instance) -> bool {
        let agent = self.agents.get(&address);
        agent.is_some_and(|agent| agent.instance == instance && agent.declared_at.is_some())
    }

    /// Records that an agent was heard, or has left.
    pub fn remove(&mut self, address: SocketAddr) {
        self.agents.remove(&address);
    }

    /// Records the result of a check.
    pub fn port_checked(&mut self, address: SocketAddr, finding: Finding) {
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.port.record(finding);
        }
    }

    /// Returns what is to be done now.
    pub fn step(&mut self, now: Time) -> Vec<Step> {
        let gap_ms = now.since(self.stepped_at);
        self.stepped_at = now;
        if gap_ms > STALL_MS {
            self.agents.values_mut().for_each(|agent| agent.extend_timeouts(gap_ms));
        }
        let due = self.agents.iter_mut().filter_map(|(address, agent)| {
            agent.port.request(now).then_some(Step::Check(*address))
        });
        let mut steps: Vec<Step> = due.collect();
        let ended = self.agents.extract_if(.., |_, agent| agent.has_ended(now));
        steps.extend(ended.map(|(address, agent)| Step::Ended(address, agent.instance)));
        steps
    }
}

impl Agent {
    /// Extends its timeouts by a period in which this process did not run.
    fn extend_timeouts(&mut self, span_ms: u64) {
        self.declared_at = self.declared_at.map(|at| at.after(span_ms));
        self.port.extend(span_ms);
    }

    /// Returns whether the flows of the agent are lost: it was declared dead, and its port is closed
    /// or its host does not answer.
    fn has_ended(&self, now: Time) -> bool {
        let Some(declared_at) = self.declared_at else {
            return false;
        };
        let is_open = self.port.is_host_up(now) && self.port.state(now) != Some(State::Closed);
        let is_unknown = self.port.state(now).is_none() && self.port.is_pending(now);
        let is_kept = now.since(declared_at) <= KEPT_MS;
        !is_kept || !(is_open || is_unknown)
    }
}
