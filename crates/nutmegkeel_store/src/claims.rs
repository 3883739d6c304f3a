//! Claims of requests with an idempotency key in the platform's store, written in batches.

use nutmegkeel_core::claim::{Claim, Outcome, RETENTION_MS};
use nutmegkeel_core::clock::Time;
use serde::{Deserialize, Serialize};

use crate::kv::{Committed, Expected, Fault, Lease, Store, Write};

/// Prefix of the keys of claims.
pub const PREFIX: &str = "nutmegkeel/claims/";

/// Stored value of a claim, which identifies the request that created it.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Value {
    owner: String,
    instance: u32,
    request: u64,
}

/// Writes claims under a lease of its own, so that each is kept for at least [`RETENTION_MS`] and
/// at most twice as long.
#[derive(Debug, Default)]
pub struct Writer {
    lease: Option<(Lease, Time)>,
}

impl Writer {
    /// Creates a writer that has no lease yet.
    #[must_use]
    pub const fn open() -> Self {
        Self { lease: None }
    }

    /// Writes a batch and returns one outcome for each claim in order.
    ///
    /// The batch is one transaction. If a key already exists or the answer is lost, each claim is
    /// resolved separately.
    pub fn write(&mut self, store: &dyn Store, now: Time, claims: &[Claim]) -> Vec<Outcome> {
        let Ok(lease) = self.lease(store, now) else {
            return vec![Outcome::NotWritten; claims.len()];
        };
        if !has_duplicates(claims) {
            let writes: Vec<Write> = claims.iter().map(|claim| write(claim, lease)).collect();
            match store.commit(&writes) {
                Ok(Committed::Written(_)) => return vec![Outcome::Ours; claims.len()],
                Err(Fault::NotSent(_)) => return vec![Outcome::NotWritten; claims.len()],
                Ok(Committed::Differs) | Err(Fault::Lost(_) | Fault::Unusable(_)) => {}
            }
        }
        claims.iter().map(|claim| resolve(store, claim, lease)).collect()
    }

    fn lease(&mut self, store: &dyn Store, now: Time) -> Result<Lease, Fault> {
        if let Some((lease, granted)) = self.lease
            && now.since(granted) < RETENTION_MS
        {
            return Ok(lease);
        }
        let lease = store.grant(2 * RETENTION_MS / 1_000)?;
        self.lease = Some((lease, now));
        Ok(lease)
    }
}

fn has_duplicates(claims: &[Claim]) -> bool {
    let names: std::collections::BTreeSet<_> = claims.iter().map(|claim| &claim.name).collect();
    names.len() < claims.len()
}

fn key(claim: &Claim) -> String {
    format!("{PREFIX}{}", claim.name.0)
}

fn value(claim: &Claim) -> Value {
    Value {
        owner: claim.owner.address.to_string(),
        instance: claim.owner.instance.number(),
        request: claim.id.0,
    }
}

fn write(claim: &Claim, lease: Lease) -> Write {
    let value = serde_json::to_vec(&value(claim)).unwrap_or_default();
    Write { key: key(claim), value, expected: Expected::Absent, lease: Some(lease) }
}

/// Resolves one claim whose batch did not commit or got no answer: reads the claim back and creates
/// it if it does not exist. The stored value shows whether this request or another one created it.
fn resolve(store: &dyn Store, claim: &Claim, lease: Lease) -> Outcome {
    match store.get(&key(claim)) {
        Ok(Some(pair)) => compare_owner(claim, &pair.value),
        Ok(None) => create(store, claim, lease),
        Err(_) => Outcome::Unknown,
    }
}

fn create(store: &dyn Store, claim: &Claim, lease: Lease) -> Outcome {
    match store.commit(&[write(claim, lease)]) {
        Ok(Committed::Written(_)) => Outcome::Ours,
        // The write without an answer, or that of another agent, took effect after the read.
        Ok(Committed::Differs) | Err(Fault::Lost(_) | Fault::Unusable(_)) => {
            match store.get(&key(claim)) {
                Ok(Some(pair)) => compare_owner(claim, &pair.value),
                Ok(None) | Err(_) => Outcome::Unknown,
            }
        }
        Err(Fault::NotSent(_)) => Outcome::Unknown,
    }
}

fn compare_owner(claim: &Claim, stored: &[u8]) -> Outcome {
    match serde_json::from_slice::<Value>(stored) {
        Ok(found) if found == value(claim) => Outcome::Ours,
        _ => Outcome::Theirs,
    }
}
