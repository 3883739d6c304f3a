//! At most once for keyed requests: a claim in the platform's service before the first byte is sent.
//!
//! A claim is created once and never handed over, so a second agent that meets the same key, a
//! restarted one included, cannot run it. Claims travel in groups, one write in flight per agent.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::admission::Id;
use crate::class;
use crate::clock::Time;
use crate::placement::Hop;

/// How long the platform keeps a claim at least, in milliseconds. A key is run at most once if its
/// caller repeats it within this time less the longest deadline ([`crate::class::Target`]).
pub const KEPT_MS: u64 = 3_600_000;
/// Claims in one write at most; the usual bound of a transaction's operations is 128.
pub const GROUP: usize = 64;

/// Name of a claim in the platform's service: the class and the hash of the caller's key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Name(pub Arc<str>);

impl Name {
    /// The claim's name for a caller's `Idempotency-Key` in a class.
    #[must_use]
    pub fn of(class: &class::Name, key: &[u8]) -> Self {
        Self(format!("{class}/{}", blake3::hash(key).to_hex()).into())
    }
}

/// One claim to be written. The owner and the number are its identity: an answer that was lost
/// after the write took effect is resolved by reading the claim back and comparing them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Name of the claim.
    pub name: Name,
    /// The agent that asks.
    pub owner: Hop,
    /// The request it asks for.
    pub id: Id,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Created for this request: it may run.
    Ours,
    /// Exists already for another request: that one may have run.
    Theirs,
    /// The platform did not say. The claim may exist, so this request must not run and a later
    /// one with the same key will be told that it may have run, although none has.
    Unknown,
    /// The platform said that nothing was written.
    NotWritten,
}

/// What to do with a request once its claim is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settled {
    /// Send it to the backend server.
    Run(Id),
    /// Refuse: not run, ask again.
    NotRun(Id),
    /// Refuse: the key was claimed before, that request may have run.
    MayHaveRun(Id),
}

/// The claims of one agent that are not settled.
#[derive(Debug, Default)]
pub struct Ledger {
    waiting: Vec<Claim>,
    in_flight: Vec<Claim>,
    deadlines: BTreeMap<Id, Time>,
}

impl Ledger {
    /// Asks for a claim of a request with this deadline. It goes out with the next group.
    pub fn ask(&mut self, claim: Claim, deadline: Time) {
        self.deadlines.insert(claim.id, deadline);
        self.waiting.push(claim);
    }

    /// The caller gave up on a request: forget that it wants to run.
    pub fn forget(&mut self, id: Id) {
        self.deadlines.remove(&id);
        self.waiting.retain(|claim| claim.id != id);
    }

    /// The next group to write, when no other is in flight.
    pub fn group(&mut self) -> Option<Vec<Claim>> {
        if self.waiting.is_empty() || !self.in_flight.is_empty() {
            return None;
        }
        let rest = self.waiting.split_off(self.waiting.len().min(GROUP));
        self.in_flight = std::mem::replace(&mut self.waiting, rest);
        Some(self.in_flight.clone())
    }

    /// The group in flight was answered, one outcome for each claim in order.
    ///
    /// Guards against an agent that was paused while its claim, or an earlier one of the same key,
    /// lapsed: the agent's own clock is read when it is about to act, and past the request's
    /// deadline nothing is run. Deadlines are counted from the request's arrival and are far
    /// shorter than [`KEPT_MS`]. Without the guard a second request with the same key could claim
    /// and run while the paused one wakes and runs too; the model `at_most_once` shows both.
    pub fn written(&mut self, now: Time, outcomes: &[Outcome]) -> Vec<Settled> {
        let group = std::mem::take(&mut self.in_flight);
        group
            .iter()
            .zip(outcomes)
            .filter_map(|(claim, outcome)| self.settle(now, claim.id, *outcome))
            .collect()
    }

    fn settle(&mut self, now: Time, id: Id, outcome: Outcome) -> Option<Settled> {
        let deadline = self.deadlines.remove(&id)?;
        Some(match outcome {
            Outcome::Ours if now <= deadline => Settled::Run(id),
            Outcome::Ours | Outcome::Unknown | Outcome::NotWritten => Settled::NotRun(id),
            Outcome::Theirs => Settled::MayHaveRun(id),
        })
    }
}
