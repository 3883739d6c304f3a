//! Determines whether a balancer knows every agent that may hold a flow.

use super::Balancer;
use crate::clock::Time;
use crate::l4::health::ANNOUNCE_MS;

/// Time without a new agent after which a balancer knows all agents, in milliseconds: two
/// announcement intervals and some delay, so that one announcement may be lost.
const SETTLE_MS: u64 = 2 * ANNOUNCE_MS + 100;

/// The same when all agents have just started. It is shorter because no flow has lived long enough
/// to be lost by a mistake, and clients of lost flows wait for a reset.
const SETTLE_YOUNG_MS: u64 = ANNOUNCE_MS + 100;

/// Divisor of the number of known agents. In a large fleet, some agent appears at any time. If a
/// larger part than this appears within [`SETTLE_MS`], many agents are starting at once and some
/// may still be unknown.
const ONE_IN: usize = 16;

/// Agents that appeared recently.
#[derive(Debug)]
pub(super) struct Growth {
    /// When a new agent was last seen while others might be unknown.
    last: Time,
    /// Start of the interval in which `agents` appeared.
    since: Time,
    agents: usize,
    /// Whether all agents were known at some time. After that, an agent that appears is one more to
    /// ask and does not indicate that others are unknown.
    was_settled: bool,
}

impl Growth {
    /// Creates the state of a balancer that starts and knows no agents.
    pub(super) const fn open(now: Time) -> Self {
        Self { last: now, since: now, agents: 0, was_settled: false }
    }

    /// Records an agent that appeared while `known` agents are known.
    ///
    /// Guards against clients of lost flows that are reset late or never in a fleet where an agent
    /// restarts every second.
    fn note(&mut self, now: Time, known: usize) {
        if now.since(self.since) > SETTLE_MS {
            self.since = now;
            self.agents = 0;
        }
        self.agents += 1;
        if !self.was_settled || self.agents * ONE_IN > known {
            self.last = now;
        }
    }
}

impl Balancer {
    /// Records an agent that appeared.
    pub(super) fn note_growth(&mut self, now: Time) {
        self.growth.note(now, self.pool.len());
    }

    /// Records that some agents may be unknown, because they may have appeared while this process
    /// received nothing.
    pub(super) const fn lose_certainty(&mut self) {
        self.growth.was_settled = false;
    }

    /// Records whether all agents are known now.
    pub(super) const fn note_certainty(&mut self, is_cut_off: bool, is_settled: bool) {
        if is_cut_off {
            self.lose_certainty();
        } else {
            self.growth.was_settled |= is_settled;
        }
    }

    /// Returns whether no other balancer receives announcements of more agents. Guards against
    /// resetting the flows of an agent that does not know this balancer yet but is known to others.
    fn has_heard_of_all(&self, now: Time) -> bool {
        let own = self.pool.heard_of(now);
        self.words.fresh(now).map(|(_, word)| word.agents).max().is_none_or(|most| own >= most)
    }

    /// Returns whether agents are still appearing.
    pub(super) fn is_growing(&self, now: Time) -> bool {
        let span = if self.pool.is_young() { SETTLE_YOUNG_MS } else { SETTLE_MS };
        now.since(self.growth.last) <= span
    }

    /// Returns whether every agent that may hold a flow is known and can be asked.
    pub(super) fn is_settled(&self, now: Time) -> bool {
        !self.is_growing(now) && self.pool.is_conclusive(now) && self.has_heard_of_all(now)
    }
}
