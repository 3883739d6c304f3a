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

/// In a large fleet some agent appears at any time. One in so many of those known, within [`SETTLE_MS`], means that
/// many are coming back at once, and that some may not have been heard of yet.
const ONE_IN: usize = 16;

/// Which agents appeared lately.
#[derive(Debug)]
pub(super) struct Growth {
    /// When a balancer that cannot know of all agents yet last heard of a new one.
    last: Time,
    /// Agents that appeared since this time.
    since: Time,
    agents: usize,
    /// Whether all agents were known once: one that appears later is one more to ask, and no sign that there
    /// are others.
    was_settled: bool,
}

impl Growth {
    /// A balancer that starts knows of none.
    pub(super) const fn open(now: Time) -> Self {
        Self { last: now, since: now, agents: 0, was_settled: false }
    }

    /// Notes an agent that appeared among so many.
    ///
    /// Guards against clients of lost flows that are told late, or never, in a fleet where some agent is
    /// restarted each second.
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
    /// Notes an agent that appeared.
    pub(super) fn note_growth(&mut self, now: Time) {
        self.growth.note(now, self.pool.len());
    }

    /// Forgets that all agents were known: some may have come while this process heard of nobody.
    pub(super) const fn lose_certainty(&mut self) {
        self.growth.was_settled = false;
    }

    /// Notes whether all agents are known now.
    pub(super) const fn note_certainty(&mut self, is_cut_off: bool, is_settled: bool) {
        if is_cut_off {
            self.lose_certainty();
        } else {
            self.growth.was_settled |= is_settled;
        }
    }

    /// Whether no other balancer hears of more agents. Guards against resetting the flows of an agent
    /// that has not yet learnt of this balancer: the others know it.
    fn has_heard_of_all(&self, now: Time) -> bool {
        let own = self.pool.recently_seen_count(now);
        self.words.fresh(now).map(|(_, word)| word.agents).max().is_none_or(|most| own >= most)
    }

    /// Whether agents are still appearing.
    pub(super) fn is_growing(&self, now: Time) -> bool {
        let span = if self.pool.is_recently_started() { SETTLE_YOUNG_MS } else { SETTLE_MS };
        now.since(self.growth.last) <= span
    }

    /// Whether every agent that may hold a flow is known and can be asked.
    pub(super) fn is_settled(&self, now: Time) -> bool {
        !self.is_growing(now) && self.pool.is_conclusive(now) && self.has_heard_of_all(now)
    }
}
