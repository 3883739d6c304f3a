//! Known balancers and agents, computed once for many messages.
//!
//! Matters after a power loss, when every agent and every balancer sends its first message within a
//! few hundred milliseconds. Each is answered; counting all agents and hashing all addresses for
//! each answer would take time that grows with the square of the fleet's size.

use std::net::Ipv4Addr;

use super::Balancer;
use crate::clock::Time;
use crate::l4::roster;

/// Maximum age in milliseconds: a tenth of the interval of gossip, so that it adds little to the
/// age of a message when the next one arrives.
const MAX_AGE_MS: u64 = 50;

/// The balancers and agents known at one time.
#[derive(Debug)]
pub(super) struct Snapshot {
    at: Time,
    /// The balancers, including this one, in ascending order.
    pub(super) balancers: Vec<Ipv4Addr>,
    /// Digest of their addresses.
    pub(super) digest: u64,
    /// Number of agents that may hold flows.
    pub(super) agents: usize,
}

impl Snapshot {
    /// Returns the number of balancers.
    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.balancers.len()).unwrap_or(u32::MAX)
    }
}

impl Balancer {
    /// Returns the balancers and agents that are known now.
    pub(super) fn snapshot(&mut self, now: Time) -> &Snapshot {
        let known = self.snapshot.take().filter(|known| now.since(known.at) < MAX_AGE_MS);
        let snapshot = known.unwrap_or_else(|| self.take_snapshot(now));
        self.snapshot.insert(snapshot)
    }

    fn take_snapshot(&self, now: Time) -> Snapshot {
        let balancers = self.known(now);
        let digest = roster::digest(balancers.iter().copied());
        Snapshot { at: now, balancers, digest, agents: self.pool.holder_count(now) }
    }
}
