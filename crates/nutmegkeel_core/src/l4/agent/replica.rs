//! Copies of the configuration that some agents hold for balancers.
//!
//! The load pattern: all balancers are killed while the store is away. Their agents live, servers are idle,
//! and no balancer that starts again has a route by which a new flow could be placed, for as long as the
//! store is away. An agent does not need the configuration itself.

use std::net::Ipv4Addr;

use super::{Action, Agent};
use crate::clock::Time;
use crate::l4::fetch::Holder;
use crate::l4::policy::Mechanism;
use crate::placement::mix;

/// Agents of a failure domain that hold a copy, on the mean: one may be killed with the balancers, and
/// one may be behind. More would only fetch the same text again at each change.
const HOLDERS: u64 = 3;

/// A process that is younger than this fetches no copy, in milliseconds: after a mass restart agents are still
/// being counted, and hosts have more urgent work.
const YOUNG_MS: u64 = 3_000;

/// Pause between two tries to fetch a copy, in milliseconds: a balancer answers within a second or not at all.
const RETRY_MS: u64 = 1_000;

/// What an agent holds, and where there is something newer.
#[derive(Debug, Default)]
pub(super) struct Replica {
    version: u64,
    /// A balancer that has a newer version than any other told of so far, and that version.
    newest: Option<(Ipv4Addr, u64)>,
    asked: Option<Time>,
}

impl Replica {
    /// Version of the copy; zero if there is none.
    pub(super) const fn version(&self) -> u64 {
        self.version
    }

    /// Takes in which version a balancer has in force. Of equals the later word counts, because the
    /// earlier balancer may have gone.
    pub(super) fn note(&mut self, balancer: Ipv4Addr, version: u64) {
        if self.newest.is_none_or(|(_, newest)| version >= newest) {
            self.newest = Some((balancer, version));
        }
    }

    /// Takes in that a copy of this version came.
    pub(super) fn hold(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// The balancer to fetch a newer copy from now, if there is one.
    fn source(&self, now: Time) -> Option<Holder> {
        let (address, version) = self.newest?;
        let is_due = self.asked.is_none_or(|asked| now.since(asked) >= RETRY_MS);
        (version > self.version && is_due).then_some(Holder { address, version })
    }
}

impl Agent {
    /// Fetches a newer copy, if this agent is one of those that hold one. Nobody is elected: a hash of the
    /// address picks some of the agents that a failure domain has by what balancers tell.
    pub(super) fn replicate(&mut self, now: Time) -> Option<Action> {
        let is_old = now.since(self.started) >= YOUNG_MS;
        if !is_old || !self.uses(Mechanism::Replicas) || !self.is_holder(now) {
            return None;
        }
        let holder = self.replica.source(now)?;
        self.replica.asked = Some(now);
        Some(Action::Fetch(holder))
    }

    fn is_holder(&self, now: Time) -> bool {
        let place = mix(u64::from(self.identity.address.to_bits()));
        place % self.agents_at_home(now).max(1) < HOLDERS
    }
}
