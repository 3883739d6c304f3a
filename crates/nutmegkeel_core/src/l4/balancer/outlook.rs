//! What a balancer says of all that it knows, reckoned once for many messages.
//!
//! The load pattern: after a loss of power every agent and every balancer speaks for the first time within a few
//! hundred milliseconds. Each is answered, and to count all agents and hash all addresses for each answer would
//! take time that grows with the square of the fleet.

use std::net::Ipv4Addr;

use super::Balancer;
use crate::clock::Time;
use crate::l4::roster;

/// How old an outlook may be, in milliseconds: a tenth of the pause between two signs, so that it adds little to how
/// old a sign is when the next one comes.
const FRESH_MS: u64 = 50;

/// The balancers and agents that were heard of at one moment.
#[derive(Debug)]
pub(super) struct Outlook {
    at: Time,
    /// The balancers, this one among them, in ascending order.
    pub(super) balancers: Vec<Ipv4Addr>,
    /// Digest of their addresses.
    pub(super) digest: u64,
    /// Number of agents.
    pub(super) agents: usize,
}

impl Outlook {
    /// Number of the balancers.
    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.balancers.len()).unwrap_or(u32::MAX)
    }
}

impl Balancer {
    /// What this balancer hears of now.
    pub(super) fn outlook(&mut self, now: Time) -> &Outlook {
        let known = self.outlook.take().filter(|known| now.since(known.at) < FRESH_MS);
        let outlook = known.unwrap_or_else(|| self.look(now));
        self.outlook.insert(outlook)
    }

    fn look(&self, now: Time) -> Outlook {
        let balancers = self.known(now);
        let digest = roster::digest(balancers.iter().copied());
        Outlook { at: now, balancers, digest, agents: self.pool.recently_seen_count(now) }
    }
}
