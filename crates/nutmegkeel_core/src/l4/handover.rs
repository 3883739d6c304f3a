//! Handover of an agent's checkpoint to the store: through a balancer that writes many checkpoints
//! with one call, through another balancer if the first does not answer, and finally with a call of
//! the agent's own.
//!
//! Checkpoints are written all the time. A balancer that dies, stalls or loses its connection to
//! the store must therefore delay one checkpoint by some seconds, not all of them until the fault
//! is detected.

use std::net::Ipv4Addr;

use super::checkpoint::{self, Checkpoint};
use crate::clock::Time;

/// Time after which a balancer that has not confirmed a checkpoint is passed over, in milliseconds.
/// It collects checkpoints for a second, and the store answers within some milliseconds.
const CONFIRM_MS: u64 = 2_000;

/// Maximum number of flows in a checkpoint that fits into one datagram: 21 bytes each in two
/// kilobytes. The agent writes a longer one itself, because every balancer would drop it.
pub const MAX_FLOWS: usize = 80;

/// Maximum time for which a checkpoint waits at a balancer for others to be written with it, in
/// milliseconds. Each agent writes one every 3 s, so in a failure domain of 27 agents a call writes
/// nine on average.
pub const GATHER_MS: u64 = 1_000;

/// What to do with a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send it to a balancer.
    Delegate(Ipv4Addr, Checkpoint),
    /// Write it with a call of the agent's own.
    Write(Checkpoint),
}

/// The checkpoint that is being handed over.
#[derive(Debug, Default)]
pub struct Handover {
    pending: Option<Checkpoint>,
    /// Balancers that were asked, the most recent one last.
    asked: Vec<Ipv4Addr>,
    asked_at: Time,
}

impl Handover {
    /// Starts the handover of a new checkpoint, which replaces an earlier one. A balancer that is
    /// processing the earlier one gets the new one too.
    pub fn begin(&mut self, checkpoint: Checkpoint) {
        self.pending = Some(checkpoint);
        self.asked.clear();
    }

    /// Returns whether a checkpoint is being handed over.
    #[must_use]
    pub const fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the next step, if one is due. `delegates` are the balancers that write for others;
    /// without any the agent writes itself. The checkpoint waits while the store answers none of
    /// them. `agents` is the number of agents in the failure domain.
    pub fn step(
        &mut self,
        now: Time,
        delegates: &[Ipv4Addr],
        reaches_store: bool,
        agents: u64,
    ) -> Option<Step> {
        let checkpoint = self.pending.as_ref()?;
        let is_store_unreachable = !delegates.is_empty() && !reaches_store;
        if checkpoint.flows.len() > MAX_FLOWS || (!would_batch(agents) && !is_store_unreachable) {
            return self.pending.take().map(Step::Write);
        }
        let is_asked = !self.asked.is_empty();
        if is_asked && now.since(self.asked_at) <= CONFIRM_MS {
            return None;
        }
        if is_store_unreachable {
            self.asked.clear();
            return None;
        }
        let next = delegates.iter().find(|delegate| !self.asked.contains(delegate));
        let Some(next) = next else {
            return self.pending.take().map(Step::Write);
        };
        self.asked.push(*next);
        self.asked_at = now;
        Some(Step::Delegate(*next, checkpoint.clone()))
    }

    /// Records that the store has a checkpoint with this number. If the number is higher than that
    /// of the pending one, a process of this host with a clock ahead of this one's wrote it, and
    /// the pending one gets the next number.
    pub fn record_saved(&mut self, number: u64) {
        let Some(checkpoint) = &mut self.pending else {
            return;
        };
        match number.cmp(&checkpoint.number) {
            std::cmp::Ordering::Less => {}
            std::cmp::Ordering::Equal => self.pending = None,
            std::cmp::Ordering::Greater => {
                checkpoint.number = number + 1;
                self.asked.clear();
            }
        }
    }
}

/// Returns whether a balancer would collect at least two checkpoints for a call.
///
/// With only a few agents in each failure domain, a balancer that waits for a second finds no
/// second checkpoint. It saves no call, makes each checkpoint a second older, and is one more
/// process whose failure costs checkpoints.
const fn would_batch(agents: u64) -> bool {
    agents * GATHER_MS >= 2 * checkpoint::MIN_INTERVAL_MS
}
