//! Copies of the configuration that some agents hold for balancers.
//!
//! This matters when all balancers are killed while the store is unavailable. Agents and servers
//! are still running, but a balancer that restarts has no route by which it could place a new flow
//! until the store is back. An agent does not need the configuration itself.

use std::net::Ipv4Addr;

use super::{Action, Agent};
use crate::clock::Time;
use crate::l4::fetch::Holder;
use crate::l4::policy::Mechanism;
use crate::placement::mix;

/// Mean number of agents in a failure domain that hold a copy. One may be killed with the
/// balancers, and one may have an old version. More holders would only fetch the same text again at
/// each change.
const HOLDERS_PER_DOMAIN: u64 = 3;

/// Minimum age of a process that fetches a copy, in milliseconds. After a mass restart agents are
/// still being counted, and hosts have more urgent work.
const MIN_AGE_MS: u64 = 3_000;

/// Interval between two attempts to fetch a copy, in milliseconds. A balancer answers within a
/// second or not at all.
const RETRY_MS: u64 = 1_000;

/// The version that an agent holds, and the balancer that has the newest one.
#[derive(Debug, Default)]
pub(super) struct Replica {
    version: u64,
    /// The balancer that reported the newest version so far, and that version.
    newest: Option<(Ipv4Addr, u64)>,
    asked_at: Option<Time>,
}

impl Replica {
    /// Returns the version of the copy; zero if there is none.
    pub(super) const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the newest version that a balancer has reported; zero if none has.
    pub(super) fn newest_version(&self) -> u64 {
        self.newest.map_or(0, |(_, newest)| newest)
    }

    /// Records the version that a balancer has in force. Of two balancers with the same version the
    /// later one is used, because the earlier one may have stopped.
    pub(super) fn record_version(&mut self, balancer: Ipv4Addr, version: u64) {
        if self.newest.is_none_or(|(_, newest)| version >= newest) {
            self.newest = Some((balancer, version));
        }
    }

    /// Records that a copy of this version was fetched.
    pub(super) fn set_version(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// Returns the balancer to fetch a newer copy from now, if there is one.
    fn source(&self, now: Time) -> Option<Holder> {
        let (address, version) = self.newest?;
        let is_due = self.asked_at.is_none_or(|asked_at| now.since(asked_at) >= RETRY_MS);
        (version > self.version && is_due).then_some(Holder { address, version })
    }
}

impl Agent {
    /// Fetches a newer copy, if this agent is one of the holders. There is no election: a hash of
    /// the address selects some of the agents that the failure domain has according to balancers.
    pub(super) fn fetch_replica(&mut self, now: Time) -> Option<Action> {
        let is_old_enough = now.since(self.started) >= MIN_AGE_MS;
        if !is_old_enough || !self.uses(Mechanism::Replicas) || !self.is_holder(now) {
            return None;
        }
        let holder = self.replica.source(now)?;
        self.replica.asked_at = Some(now);
        Some(Action::Fetch(holder))
    }

    fn is_holder(&self, now: Time) -> bool {
        let hash = mix(u64::from(self.identity.address.to_bits()));
        hash % self.agents_in_domain(now).max(1) < HOLDERS_PER_DOMAIN
    }
}
