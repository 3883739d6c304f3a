//! What signs of life tell of agents: who is there, who is gone, and what may be concluded from that.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use super::Pool;
use super::candidate::{Candidate, Sight};
use crate::clock::Time;
use crate::l4::health::{FORGET_MS, Health, LOST_MS, UNREPORTED_MS};
use crate::l4::message::Load;

/// An agent that has announced itself no more often than this has started within one to three seconds:
/// each of its ticks counts while a balancer has not answered it.
const YOUNG: u64 = 10;

impl Pool {
    /// Until when signs of an agent could be seen: one elsewhere speaks for itself only at times, and otherwise
    /// a summary tells how old its last sign is.
    ///
    /// Guards against taking agents for dead, and resetting their flows, when only those who tell of them are
    /// gone, or have just come back and leave some out: an agent is judged by its own silence alone.
    pub(super) fn sight(&self, now: Time, candidate: &Candidate) -> Sight {
        let own = self.domain.as_ref();
        if own.is_none_or(|own| *own == candidate.announcement.domain) {
            return Sight { until: now, is_blind: false };
        }
        let until = candidate.heard.max(candidate.seen);
        match now.since(until) {
            0..=UNREPORTED_MS => Sight { until, is_blind: false },
            blind_ms if blind_ms <= LOST_MS => Sight { until, is_blind: true },
            _ => Sight { until: now, is_blind: false },
        }
    }

    pub(super) fn health_of(&self, now: Time, candidate: &Candidate) -> Health {
        candidate.health(self.sight(now, candidate))
    }

    /// Takes in the load that an agent sent with an answer.
    pub fn heard(&mut self, now: Time, from: Ipv4Addr, load: Load) {
        if let Some(candidate) = self.agents.get_mut(&from) {
            candidate.heard = now;
            candidate.noticed = false;
            candidate.noticed_late = false;
            candidate.load_heard = now;
            candidate.load = load;
            candidate.placed_since = 0;
            candidate.count_missing(now);
        }
    }

    /// Agents that fell silent without notice since the last call.
    pub fn newly_silent(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let is_new = |candidate: &Candidate| {
            !candidate.noticed && self.health_of(now, candidate) == Health::Silent
        };
        let silent = self.find(is_new);
        self.mark(&silent, |candidate| candidate.noticed = true);
        silent
    }

    /// The health of an agent; none if it is not known.
    #[must_use]
    pub fn health(&self, now: Time, agent: Ipv4Addr) -> Option<Health> {
        self.agents.get(&agent).map(|candidate| self.health_of(now, candidate))
    }

    pub(super) fn lately_heard(&self, now: Time) -> impl Iterator<Item = &Candidate> {
        self.agents.values().filter(move |one| self.health_of(now, one) <= Health::Late)
    }

    /// Number of agents heard of lately.
    #[must_use]
    pub fn heard_of(&self, now: Time) -> usize {
        self.lately_heard(now).count()
    }

    /// Agents heard of lately, by failure domain.
    #[must_use]
    pub fn domains(&self, now: Time) -> BTreeMap<Arc<str>, usize> {
        let mut domains = BTreeMap::new();
        for one in self.lately_heard(now) {
            *domains.entry(Arc::clone(&one.announcement.domain)).or_default() += 1;
        }
        domains
    }

    /// Whether less than half of the agents heard of within a minute are heard of now. Then it is
    /// likelier that this process is cut off than that they all died at once.
    #[must_use]
    pub fn is_cut_off(&self, now: Time) -> bool {
        self.heard_of(now) * 2 < self.agents.len() || self.agents.is_empty()
    }

    /// Whether what no agent holds does not exist. An agent that is late or restarting may hold it,
    /// if it ever spoke of a backend server. One that fell silent without notice is dead or cut off, and its flows are lost either way;
    /// unless it is this process that is cut off.
    #[must_use]
    pub fn is_conclusive(&self, now: Time) -> bool {
        let undecided = |candidate: &Candidate| {
            let seen = self.sight(now, candidate);
            candidate.may_hold(seen) && candidate.health(seen) != Health::Fresh
        };
        !self.is_cut_off(now) && !self.agents.values().any(undecided)
    }

    /// Whether every agent known has started only lately, as after a loss of power.
    #[must_use]
    pub fn is_young(&self) -> bool {
        self.agents.values().all(|candidate| candidate.announcement.number <= YOUNG)
    }

    /// Whether an agent may hold flows.
    #[must_use]
    pub fn may_hold(&self, now: Time, agent: Ipv4Addr) -> bool {
        self.agents.get(&agent).is_some_and(|one| one.may_hold(self.sight(now, one)))
    }

    /// Forgets agents that are gone for longer than any flow lives.
    pub fn forget(&mut self, now: Time) {
        let gone = self.find(|candidate| now.since(candidate.heard) >= FORGET_MS);
        gone.into_iter().for_each(|agent| self.remove(agent));
    }

    /// Shifts all waiting by a span in which this process stood still: it could not have heard.
    pub fn forgive(&mut self, span_ms: u64) {
        for candidate in self.agents.values_mut() {
            candidate.heard = candidate.heard.after(span_ms);
            candidate.seen = candidate.seen.after(span_ms);
        }
    }
}
