//! How an agent's list of open flows reaches the store: by a balancer that writes many lists with one
//! call, by another one if that is silent, and at last by the agent's own call.
//!
//! The load pattern: lists come all the time, so a balancer that dies, stands still or is cut off from the
//! store must cost one list some seconds, not all lists until somebody notices.

use std::net::Ipv4Addr;

use super::checkpoint::{self, Checkpoint};
use crate::clock::Time;

/// A balancer that has not confirmed a list within this is passed over, in milliseconds: it gathers lists for
/// a second, and the store answers within some milliseconds.
const CONFIRM_MS: u64 = 2_000;

/// Flows of a list that fits into one datagram: 21 bytes each in two kilobytes. A longer list is written by the
/// agent itself, because every balancer would drop it.
pub const LONGEST: usize = 80;

/// Lists wait at a balancer at most so long for others to go with them, in milliseconds: a list is written
/// each 3 s, so one of a failure domain of 27 agents goes with eight others on the mean.
pub const GATHER_MS: u64 = 1_000;

/// What to do with a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Hand it to a balancer.
    Deposit(Ipv4Addr, Checkpoint),
    /// Write it with a call of one's own.
    Write(Checkpoint),
}

/// The list that is on its way.
#[derive(Debug, Default)]
pub struct Handover {
    list: Option<Checkpoint>,
    /// Balancers that were asked, the last one at the end.
    asked: Vec<Ipv4Addr>,
    asked_at: Time,
}

impl Handover {
    /// Takes in a new list, which makes an earlier one needless. A balancer that is at work on that one
    /// gets the new one too.
    pub fn begin(&mut self, list: Checkpoint) {
        self.list = Some(list);
        self.asked.clear();
    }

    /// Whether a list is on its way.
    #[must_use]
    pub const fn is_pending(&self) -> bool {
        self.list.is_some()
    }

    /// What to do now. `delegates` are the balancers that write for others, none if none is known; the
    /// list waits while the store answers none of them. `agents` are those of the failure domain.
    pub fn step(
        &mut self,
        now: Time,
        delegates: &[Ipv4Addr],
        reaches_store: bool,
        agents: u64,
    ) -> Option<Step> {
        let list = self.list.as_ref()?;
        let is_away = !delegates.is_empty() && !reaches_store;
        if list.flows.len() > LONGEST || (!gathers(agents) && !is_away) {
            return self.list.take().map(Step::Write);
        }
        let is_asked = !self.asked.is_empty();
        if is_asked && now.since(self.asked_at) <= CONFIRM_MS {
            return None;
        }
        if is_away {
            self.asked.clear();
            return None;
        }
        let next = delegates.iter().find(|delegate| !self.asked.contains(delegate));
        let Some(next) = next else {
            return self.list.take().map(Step::Write);
        };
        self.asked.push(*next);
        self.asked_at = now;
        Some(Step::Deposit(*next, list.clone()))
    }

    /// Takes in that the store has a list with this number. If it is later than the one on its way, a
    /// process of this host wrote it whose clock was ahead: the list gets a number behind it.
    pub fn written(&mut self, number: u64) {
        let Some(list) = &mut self.list else {
            return;
        };
        match number.cmp(&list.number) {
            std::cmp::Ordering::Less => {}
            std::cmp::Ordering::Equal => self.list = None,
            std::cmp::Ordering::Greater => {
                list.number = number + 1;
                self.asked.clear();
            }
        }
    }
}

/// Whether a balancer would find other lists to write with one.
///
/// The load pattern: a few agents in each failure domain. A balancer that waits for a second finds no
/// second list, so it saves no call, makes each list a second older, and is one more process whose death
/// costs lists.
const fn gathers(agents: u64) -> bool {
    agents * GATHER_MS >= 2 * checkpoint::PAUSE_MS
}
