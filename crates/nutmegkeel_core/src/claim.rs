//! At-most-once execution of requests with an idempotency key: an agent creates a claim in the
//! platform's store before it sends the first byte of the request.
//!
//! A claim is created once and never transferred, so no other agent, nor the same agent after a
//! restart, can run a request with the same key. Claims are written in batches; each agent has at
//! most one batch in flight.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::admission::Id;
use crate::class;
use crate::clock::Time;
use crate::placement::Hop;

/// Minimum time for which the platform keeps a claim, in milliseconds. A request is run at most
/// once if all its repeats arrive within this time less the longest deadline
/// ([`crate::class::Target`]).
pub const RETENTION_MS: u64 = 3_600_000;
/// Maximum number of claims in one write; the usual limit of operations per transaction is 128.
pub const MAX_BATCH: usize = 64;

/// Name of a claim in the platform's store: the class and the hash of the idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Name(pub Arc<str>);

impl Name {
    /// Returns the name of the claim for an `Idempotency-Key` in a class.
    #[must_use]
    pub fn of(class: &class::Name, key: &[u8]) -> Self {
        Self(format!("{class}/{}", blake3::hash(key).to_hex()).into())
    }
}

/// One claim to be written.
///
/// The owner and the request identify who wrote it: after a lost answer the claim is read back,
/// and both are compared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Name of the claim.
    pub name: Name,
    /// The agent that creates the claim.
    pub owner: Hop,
    /// The request that needs the claim.
    pub id: Id,
}

/// Result of writing a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The claim was created for this request, which may run.
    Ours,
    /// The claim exists for another request, which may have run.
    Theirs,
    /// The platform did not answer. The claim may exist, so this request must not run. A later
    /// request with the same key is then answered with "may have run", although none has run.
    Unknown,
    /// The claim was not written.
    NotWritten,
}

/// Decision about a request after the result of its claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settled {
    /// Send it to the backend server.
    Run(Id),
    /// Refuse it: it has not run, and the caller may retry.
    NotRun(Id),
    /// Refuse it: an earlier request has claimed the key and may have run.
    MayHaveRun(Id),
}

/// The claims of one agent that have no result yet.
#[derive(Debug, Default)]
pub struct Ledger {
    waiting: Vec<Claim>,
    in_flight: Vec<Claim>,
    deadlines: BTreeMap<Id, Time>,
}

impl Ledger {
    /// Queues a claim for a request with this deadline. It is written with the next batch.
    pub fn request(&mut self, claim: Claim, deadline: Time) {
        self.deadlines.insert(claim.id, deadline);
        self.waiting.push(claim);
    }

    /// Removes a request that its caller cancelled, so that it does not run.
    pub fn cancel(&mut self, id: Id) {
        self.deadlines.remove(&id);
        self.waiting.retain(|claim| claim.id != id);
    }

    /// Returns the next batch to write, or `None` if another is in flight or no claim waits.
    pub fn next_batch(&mut self) -> Option<Vec<Claim>> {
        if self.waiting.is_empty() || !self.in_flight.is_empty() {
            return None;
        }
        let rest = self.waiting.split_off(self.waiting.len().min(MAX_BATCH));
        self.in_flight = std::mem::replace(&mut self.waiting, rest);
        Some(self.in_flight.clone())
    }

    /// Handles the outcomes of the batch in flight, one for each claim in order.
    ///
    /// Guards against a request that runs twice because its agent was paused for longer than the
    /// platform keeps a claim: a second request with the same key could claim and run, and the
    /// paused agent would run the first one when it resumes. A request is therefore not run after
    /// its deadline, by the clock at the time of this call. Deadlines start with the arrival of the
    /// request and are far shorter than [`RETENTION_MS`]. The model `at_most_once` checks both
    /// cases.
    pub fn written(&mut self, now: Time, outcomes: &[Outcome]) -> Vec<Settled> {
        let batch = std::mem::take(&mut self.in_flight);
        batch
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
