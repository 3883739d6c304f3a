//! Determines whether a balancer knows every agent that may hold a flow.

use super::Balancer;
use crate::clock::Time;
use crate::l4::health::ANNOUNCE_MS;

/// Time without a new agent after which a balancer knows all agents, in milliseconds: two
/// announcement intervals and some delay, so that one announcement may be lost.
const DISCOVERY_MS: u64 = 2 * ANNOUNCE_MS + 100;

/// The same when all agents have just started. It is shorter because no flow has lived long enough
/// to be lost by a mistake, and clients of lost flows wait for a reset.
const DISCOVERY_AFTER_START_MS: u64 = ANNOUNCE_MS + 100;

/// Divisor of the number of known agents. In a large fleet, some agent appears at any time. If a
/// larger part than this appears within [`DISCOVERY_MS`], many agents are starting at once and some
/// may still be unknown.
const MASS_START_DIVISOR: usize = 16;

/// Agents that appeared recently.
#[derive(Debug)]
pub(super) struct Discovery {
    /// When a new agent was last seen while others might be unknown.
    last_appeared: Time,
    /// Start of the interval in which `agents` appeared.
    since: Time,
    agents: usize,
    /// Whether all agents were known at some time. After that, an agent that appears is one more to
    /// ask and does not indicate that others are unknown.
    was_complete: bool,
}

impl Discovery {
    /// Creates the state of a balancer that starts and knows no agents.
    pub(super) const fn open(now: Time) -> Self {
        Self { last_appeared: now, since: now, agents: 0, was_complete: false }
    }

    /// Records an agent that appeared while `known` agents are known.
    ///
    /// Guards against clients of lost flows that are reset late or never in a fleet where an agent
    /// restarts every second.
    fn record(&mut self, now: Time, known: usize) {
        if now.since(self.since) > DISCOVERY_MS {
            self.since = now;
            self.agents = 0;
        }
        self.agents += 1;
        if !self.was_complete || self.agents * MASS_START_DIVISOR > known {
            self.last_appeared = now;
        }
    }
}

impl Balancer {
    /// Records an agent that appeared.
    pub(super) fn record_new_agent(&mut self, now: Time) {
        self.discovery.record(now, self.pool.len());
    }

    /// Records that some agents may be unknown, because they may have appeared while this process
    /// received nothing.
    pub(super) const fn reset_discovery(&mut self) {
        self.discovery.was_complete = false;
    }

    /// Records whether all agents are known now.
    ///
    /// While neither agents nor balancers are heard, agents may be restarted without notice. If
    /// balancers are heard, most agents have stopped, and nothing was missed.
    pub(super) fn record_discovery(&mut self, now: Time, is_cut_off: bool, knows_all_agents: bool) {
        if is_cut_off {
            self.reset_discovery();
            if !self.pool.is_empty() && self.peer_states.fresh(now).next().is_none() {
                self.forget_absences(now);
            }
        } else {
            self.discovery.was_complete |= knows_all_agents;
        }
    }

    /// Returns whether no other balancer knows more agents that may hold flows. Guards against
    /// resetting the flows of an agent that does not know this balancer yet but is known to others.
    fn knows_as_many_as_peers(&self, now: Time) -> bool {
        let own = self.pool.holder_count(now);
        self.peer_states
            .fresh(now)
            .map(|(_, state)| state.agents)
            .max()
            .is_none_or(|most| own >= most)
    }

    /// Returns whether agents are still appearing.
    pub(super) fn is_discovering(&self, now: Time) -> bool {
        let span =
            if self.pool.is_recently_started() { DISCOVERY_AFTER_START_MS } else { DISCOVERY_MS };
        now.since(self.discovery.last_appeared) <= span
    }

    /// Returns whether no agent is known to be missing or out of touch.
    pub(super) fn knows_all_agents(&self, now: Time) -> bool {
        !self.is_discovering(now)
            && self.pool.is_conclusive(now)
            && self.knows_as_many_as_peers(now)
    }
}
