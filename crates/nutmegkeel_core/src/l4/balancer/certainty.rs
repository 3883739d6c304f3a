//! Whether a balancer knows every agent that may hold a flow.

use super::Balancer;
use crate::clock::Time;
use crate::l4::health::ANNOUNCE_MS;

/// A balancer that has heard of no new agent for so long has heard of all: two announcements of each
/// and some delay, so that one may be lost.
const SETTLE_MS: u64 = 2 * ANNOUNCE_MS + 100;

/// The same when all agents have just started: no flow has lived long enough to be lost by a mistake,
/// and clients of lost flows wait to be told.
const SETTLE_YOUNG_MS: u64 = ANNOUNCE_MS + 100;

impl Balancer {
    /// Whether no other balancer hears of more agents. Guards against resetting the flows of an agent
    /// that has not yet learnt of this balancer: the others know it.
    fn has_heard_of_all(&self, now: Time) -> bool {
        let own = self.pool.heard_of(now);
        self.words.fresh(now).map(|(_, word)| word.agents).max().is_none_or(|most| own >= most)
    }

    /// Whether agents are still appearing.
    pub(super) fn is_growing(&self, now: Time) -> bool {
        let span = if self.pool.is_young() { SETTLE_YOUNG_MS } else { SETTLE_MS };
        now.since(self.grown) <= span
    }

    /// Whether every agent that may hold a flow is known and can be asked.
    pub(super) fn is_settled(&self, now: Time) -> bool {
        !self.is_growing(now) && self.pool.is_conclusive(now) && self.has_heard_of_all(now)
    }
}
