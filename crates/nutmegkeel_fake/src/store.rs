//! In-memory key-value service that can fail calls, lose answers or let another client write first.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use nutmegkeel_core::l4::watch::Timeouts;
use nutmegkeel_core::revision::{Era, Revision};
use nutmegkeel_store::kv::{
    Committed, Fault, Lease, Pair, Registry, Renewal, Snapshot, Store, Watched, Write,
};

/// Outcome of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call succeeds.
    Answered,
    /// The call is not sent, and the client knows it.
    NotSent,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call is lost in transit; to the client this looks like a lost answer.
    CallLost,
    /// Another client writes this key and value just before the call.
    AfterConcurrentWrite(String, Vec<u8>),
}

#[derive(Debug, Default)]
struct State {
    pairs: BTreeMap<String, Pair>,
    revision: u64,
    outcomes: Vec<CallOutcome>,
    writes: u64,
    calls: u64,
    era: Era,
}

/// In-memory key-value service. Calls have the given outcomes in order; all later ones succeed.
#[derive(Debug, Default)]
pub struct Memory {
    state: Mutex<State>,
}

impl Memory {
    /// Creates an empty service whose next calls have these outcomes.
    #[must_use]
    pub fn open(mut outcomes: Vec<CallOutcome>) -> Self {
        outcomes.reverse();
        Self { state: Mutex::new(State { outcomes, ..State::default() }) }
    }

    /// Returns the number of writes that took effect.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.state().writes
    }

    /// Returns the number of calls so far, including failed ones.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Sets the outcomes of the next calls.
    pub fn set_outcomes(&self, mut outcomes: Vec<CallOutcome>) {
        outcomes.reverse();
        self.state().outcomes = outcomes;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn call<T>(&self, effect: impl FnOnce(&mut State) -> T) -> Result<T, Fault> {
        let mut state = self.state();
        state.calls += 1;
        let outcome = state.outcomes.pop().unwrap_or(CallOutcome::Answered);
        match outcome {
            CallOutcome::Answered => Ok(effect(&mut state)),
            CallOutcome::NotSent => Err(Fault::NotSent("fake".to_owned())),
            CallOutcome::CallLost => Err(Fault::Lost("fake".to_owned())),
            CallOutcome::AnswerLost => {
                effect(&mut state);
                Err(Fault::Lost("fake".to_owned()))
            }
            CallOutcome::AfterConcurrentWrite(key, value) => {
                state.put(key, value);
                Ok(effect(&mut state))
            }
        }
    }
}

impl State {
    fn put(&mut self, key: String, value: Vec<u8>) {
        self.revision += 1;
        let revision = Revision { era: self.era, number: self.revision };
        let pair = Pair { key: key.clone(), value, revision };
        self.pairs.insert(key, pair);
    }

    fn commit(&mut self, writes: &[Write]) -> Committed {
        let held = |key: &str| self.pairs.get(key).map_or(0, |pair| pair.revision.number);
        let differs = |write: &Write| {
            write.expected.number().is_some_and(|expected| held(&write.key) != expected)
        };
        if writes.iter().any(differs) {
            return Committed::Differs;
        }
        for write in writes {
            self.put(write.key.clone(), write.value.clone());
        }
        self.writes += 1;
        Committed::Written(Revision { era: self.era, number: self.revision })
    }
}

impl Store for Memory {
    fn get(&self, key: &str) -> Result<Option<Pair>, Fault> {
        self.call(|state| state.pairs.get(key).cloned())
    }

    fn list(&self, prefix: &str) -> Result<Vec<Pair>, Fault> {
        self.call(|state| {
            let matching = state.pairs.values().filter(|pair| pair.key.starts_with(prefix));
            matching.cloned().collect()
        })
    }

    fn commit(&self, writes: &[Write]) -> Result<Committed, Fault> {
        self.call(|state| state.commit(writes))
    }

    fn grant(&self, _seconds: u64) -> Result<Lease, Fault> {
        self.call(|_| Lease(1))
    }
}

/// In-memory key-value service with leases that tests can end.
#[derive(Debug)]
pub struct Leased {
    memory: Memory,
    renewal: Mutex<Renewal>,
    grants: Mutex<u64>,
}

impl Leased {
    /// Creates an empty service whose next calls have these outcomes.
    #[must_use]
    pub fn open(outcomes: Vec<CallOutcome>) -> Self {
        Self {
            memory: Memory::open(outcomes),
            renewal: Mutex::new(Renewal::Renewed),
            grants: Mutex::new(0),
        }
    }

    /// Sets the outcomes of the next calls.
    pub fn set_outcomes(&self, outcomes: Vec<CallOutcome>) {
        self.memory.set_outcomes(outcomes);
    }

    /// Sets the result of all later lease renewals.
    pub fn set_renewal(&self, renewal: Renewal) {
        *lock(&self.renewal) = renewal;
    }

    /// Returns the number of writes that took effect.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.memory.writes()
    }

    /// Returns the number of calls so far, excluding lease renewals.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.memory.calls()
    }

    /// Restores the service from a backup that holds only `keys`, each with its value. All other
    /// keys are lost, a new era begins, and revisions start over.
    pub fn restore(&self, keys: &[(&str, &[u8])]) {
        let mut state = self.memory.state();
        state.era.0 += 1;
        state.pairs.clear();
        state.revision = 0;
        for (key, value) in keys {
            state.put((*key).to_owned(), value.to_vec());
        }
    }

    /// Returns the number of leases granted.
    #[must_use]
    pub fn grants(&self) -> u64 {
        *lock(&self.grants)
    }
}

impl Store for Leased {
    fn get(&self, key: &str) -> Result<Option<Pair>, Fault> {
        self.memory.get(key)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Pair>, Fault> {
        self.memory.list(prefix)
    }

    fn commit(&self, writes: &[Write]) -> Result<Committed, Fault> {
        self.memory.commit(writes)
    }

    fn grant(&self, seconds: u64) -> Result<Lease, Fault> {
        let lease = self.memory.grant(seconds)?;
        *lock(&self.grants) += 1;
        Ok(lease)
    }
}

impl Registry for Leased {
    fn list_recent(&self, prefix: &str) -> Result<Vec<Pair>, Fault> {
        self.memory.list(prefix)
    }

    fn snapshot_recent(&self, prefix: &str) -> Result<Snapshot, Fault> {
        self.snapshot(prefix)
    }

    fn snapshot(&self, prefix: &str) -> Result<Snapshot, Fault> {
        Ok(Snapshot { pairs: self.memory.list(prefix)?, as_of: Revision::ZERO })
    }

    fn renew(&self, _lease: Lease) -> Result<Renewal, Fault> {
        Ok(*lock(&self.renewal))
    }

    fn era(&self) -> Era {
        self.memory.state().era
    }

    fn watch(&self, _prefix: &str, after: Revision, _timeouts: Timeouts) -> Result<Watched, Fault> {
        Ok(Watched::Until(after, Vec::new()))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
