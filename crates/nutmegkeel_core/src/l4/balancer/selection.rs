//! Selects the agent that an opening is offered to next.

use std::net::Ipv4Addr;

use super::Balancer;
use super::opening::MAX_OPENING_AGE_MS;
use crate::clock::Time;
use crate::l4::message::Reason;
use crate::l4::placement::{Choice, Need};
use crate::l4::policy::Mechanism;

/// Number of agents asked for a free slot before one is asked to let the flow wait. Each costs a
/// round trip.
const IDLE_TRIES: usize = 2;

/// The same while another agent is believed to have a free slot. Reports are older than a request
/// takes, so several in a row may be wrong.
const FREE_TRIES: usize = 4;

/// Maximum number of agents asked for one opening, unless another is believed to have a free slot.
const OPEN_TRIES: usize = 8;

/// Where requests compete for room, number of agents that may report that an answer would come too
/// late before the opening is refused. Guards against packet loss on the entry hosts: under overload
/// each opening would ask eight agents and get the same answer.
const LATE_TRIES: usize = 2;

/// Progress of an opening.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Agents that declined it, and why.
    pub(super) declined: Vec<(Ipv4Addr, Reason)>,
    /// How long its client has waited, in milliseconds.
    pub(super) waited_ms: u64,
    /// Whether asking for a free slot is known to fail.
    pub(super) no_slot_free: bool,
}

/// An agent selected for an opening.
#[derive(Debug)]
pub(super) struct Selection {
    pub(super) choice: Choice,
    /// Agents that were excluded.
    pub(super) tried: Vec<Ipv4Addr>,
    /// Whether the agent is asked for a free slot only.
    pub(super) for_idle: bool,
}

impl Balancer {
    /// Selects the agent for an opening, and whether it is asked for a free slot only. If openings
    /// are placed by room, a free slot is asked for more often while one is believed to exist, and
    /// not at all where none is.
    pub(super) fn select(&self, now: Time, need: Need, attempt: &Attempt) -> Option<Selection> {
        let policy = &self.identity.policy;
        let (tries, by_room) = (attempt.declined.len(), policy.uses(Mechanism::Room));
        let idle_tries = if by_room { FREE_TRIES } else { IDLE_TRIES };
        let for_idle = tries < idle_tries && policy.uses(Mechanism::FreeSlotFirst);
        let selection = self.select_for(now, need, attempt, for_idle);
        if !by_room || !for_idle {
            return selection;
        }
        let is_free = |one: &Selection| self.pool.is_free(now, one.choice.agent);
        let gives_up = attempt.no_slot_free || tries >= IDLE_TRIES || selection.is_none();
        if gives_up && !selection.as_ref().is_some_and(is_free) {
            return self.select_for(now, need, attempt, false);
        }
        selection
    }

    fn select_for(
        &self,
        now: Time,
        need: Need,
        attempt: &Attempt,
        for_idle: bool,
    ) -> Option<Selection> {
        let tried = attempt.excluded(for_idle);
        let need = Need { tried: &tried, ..need };
        let policy = &self.identity.policy;
        let is_unservable = attempt.late() >= LATE_TRIES && policy.uses(Mechanism::Urgency);
        let may_try = attempt.is_within_limits() && !is_unservable;
        let choice = if policy.uses(Mechanism::Room) {
            self.choose_by_room(now, &need, attempt.waited_ms, may_try)
        } else {
            may_try.then(|| self.pool.choose(now, &need)).flatten()
        };
        choice.map(|choice| Selection { choice, tried, for_idle })
    }
}

impl Attempt {
    /// Returns whether the opening has tries and time left.
    pub(super) const fn is_within_limits(&self) -> bool {
        self.declined.len() < OPEN_TRIES && self.waited_ms <= MAX_OPENING_AGE_MS
    }

    /// Returns the number of agents that reported that an answer would come too late.
    fn late(&self) -> usize {
        self.declined.iter().filter(|(_, reason)| *reason == Reason::Late).count()
    }

    /// Returns the agents that are not asked again. One that was only busy may be asked to let the
    /// flow wait.
    fn excluded(&self, for_idle: bool) -> Vec<Ipv4Addr> {
        let left_out = |reason: Reason| for_idle || reason != Reason::Busy;
        let declined = self.declined.iter().filter(|(_, reason)| left_out(*reason));
        declined.map(|(agent, _)| *agent).collect()
    }
}
