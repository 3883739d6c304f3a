//! A key-value service in memory that can be down, lose answers, or let a rival write first.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use nutmegkeel_core::l4::watch::Timeouts;
use nutmegkeel_core::revision::{Era, Revision};
use nutmegkeel_store::kv::{
    Committed, Fault, Lease, Pair, Registry, Renewal, Snapshot, Store, Watched, Write,
};

/// How one call goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is answered.
    Answered,
    /// It does not reach the service.
    NotSent,
    /// It reaches the service, and the answer is lost.
    AnswerLost,
    /// It is lost on its way, and the client cannot tell.
    CallLost,
    /// A rival's value is written just before it.
    AfterRival(String, Vec<u8>),
}

#[derive(Debug, Default)]
struct State {
    pairs: BTreeMap<String, Pair>,
    revision: u64,
    fates: Vec<Fate>,
    writes: u64,
    calls: u64,
    era: Era,
}

/// The fake. Calls meet the given fates in order, and all later ones are answered.
#[derive(Debug, Default)]
pub struct Memory {
    state: Mutex<State>,
}

impl Memory {
    /// An empty service whose next calls meet these fates.
    #[must_use]
    pub fn open(mut fates: Vec<Fate>) -> Self {
        fates.reverse();
        Self { state: Mutex::new(State { fates, ..State::default() }) }
    }

    /// Writes that took effect.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.state().writes
    }

    /// Calls so far, whatever became of them.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Lets the next calls meet these fates.
    pub fn set_fates(&self, mut fates: Vec<Fate>) {
        fates.reverse();
        self.state().fates = fates;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn call<T>(&self, effect: impl FnOnce(&mut State) -> T) -> Result<T, Fault> {
        let mut state = self.state();
        state.calls += 1;
        let fate = state.fates.pop().unwrap_or(Fate::Answered);
        match fate {
            Fate::Answered => Ok(effect(&mut state)),
            Fate::NotSent => Err(Fault::NotSent("fake".to_owned())),
            Fate::CallLost => Err(Fault::Lost("fake".to_owned())),
            Fate::AnswerLost => {
                effect(&mut state);
                Err(Fault::Lost("fake".to_owned()))
            }
            Fate::AfterRival(key, value) => {
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

/// The fake with leases, which can be made to end.
#[derive(Debug)]
pub struct Leased {
    memory: Memory,
    kept: Mutex<Renewal>,
    grants: Mutex<u64>,
}

impl Leased {
    /// An empty service whose next calls meet these fates.
    #[must_use]
    pub fn open(fates: Vec<Fate>) -> Self {
        Self {
            memory: Memory::open(fates),
            kept: Mutex::new(Renewal::Renewed),
            grants: Mutex::new(0),
        }
    }

    /// Lets the next calls meet these fates.
    pub fn set_fates(&self, fates: Vec<Fate>) {
        self.memory.set_fates(fates);
    }

    /// What renewals find from now on.
    pub fn set_kept(&self, kept: Renewal) {
        *lock(&self.kept) = kept;
    }

    /// Writes that took effect.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.memory.writes()
    }

    /// Calls so far, but for renewals.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.memory.calls()
    }

    /// Comes back from a copy that it made when only `keys` were written, each with its value: all else is gone, and
    /// revisions are counted on from there.
    pub fn restore(&self, keys: &[(&str, &[u8])]) {
        let mut state = self.memory.state();
        state.era.0 += 1;
        state.pairs.clear();
        state.revision = 0;
        for (key, value) in keys {
            state.put((*key).to_owned(), value.to_vec());
        }
    }

    /// Leases granted.
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
        Ok(*lock(&self.kept))
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
