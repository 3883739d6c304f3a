//! A process's entry in the store.

use std::sync::Mutex;
use std::time::Duration;

use nutmegkeel_core::clock::Time;
use nutmegkeel_fake::store::{Fate, Memory};
use nutmegkeel_store::kv::{
    Committed, Fault, Kept, Lease, Pair, Registry, Snapshot, Store, Watched, Write,
};
use nutmegkeel_store::registration::{RENEW_MS, Registration};

/// The fake store with a lease that can be made to end.
struct Leased {
    memory: Memory,
    kept: Mutex<Kept>,
}

impl Leased {
    fn open(fates: Vec<Fate>) -> Self {
        Self { memory: Memory::open(fates), kept: Mutex::new(Kept::Renewed) }
    }

    fn end_lease(&self) {
        *self.kept.lock().expect("nobody panicked") = Kept::Ended;
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
        self.memory.grant(seconds)
    }
}

impl Registry for Leased {
    fn list_recent(&self, prefix: &str) -> Result<Vec<Pair>, Fault> {
        self.memory.list(prefix)
    }

    fn snapshot(&self, key: &str) -> Result<Snapshot, Fault> {
        Ok(Snapshot { pair: self.memory.get(key)?, as_of: 0 })
    }

    fn keep(&self, _lease: Lease) -> Result<Kept, Fault> {
        Ok(*self.kept.lock().expect("nobody panicked"))
    }

    fn watch(&self, _prefix: &str, after: u64, _wait: Duration) -> Result<Watched, Fault> {
        Ok(Watched::Until(after, Vec::new()))
    }
}

fn entry() -> Registration {
    Registration::open("balancers/10.0.0.1".to_owned(), b"osu".to_vec())
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn an_entry_is_written_once() {
    let store = Leased::open(Vec::new());
    let mut entry = entry();

    for millis in [0, 1_000, 2_000] {
        entry.step(&store, at(millis)).expect("the store answers");
    }

    assert_eq!(store.memory.writes(), 1);
}

#[test]
fn an_entry_of_the_process_before_is_written_over() {
    let store = Leased::open(Vec::new());
    entry().step(&store, at(0)).expect("the store answers");

    entry().step(&store, at(10)).expect("the store answers");

    assert_eq!(store.memory.writes(), 2);
}

/// The store was down longer than the lease. Others find the process again by its entry, which is
/// written with a new lease at the first call that is answered.
#[test]
fn an_entry_that_lapsed_is_written_again() {
    let store = Leased::open(Vec::new());
    let mut entry = entry();
    entry.step(&store, at(0)).expect("the store answers");
    store.end_lease();

    entry.step(&store, at(RENEW_MS)).expect("the store answers");

    assert_eq!(store.memory.writes(), 2);
}

#[test]
fn a_write_whose_answer_was_lost_is_tried_again() {
    let store = Leased::open(vec![Fate::Answered, Fate::AnswerLost]);
    let mut entry = entry();

    let lost = entry.step(&store, at(0));
    let again = entry.step(&store, at(1_000));

    assert!(lost.is_err());
    assert!(again.is_ok());
}

#[test]
fn an_entry_missing_from_a_list_is_written_again_but_not_at_once() {
    let store = Leased::open(Vec::new());
    let mut entry = entry();
    entry.step(&store, at(0)).expect("the store answers");

    entry.listed(at(3_000), &[]);
    entry.step(&store, at(3_000)).expect("the store answers");
    let early = store.memory.writes();
    entry.listed(at(8_000), &[]);
    entry.step(&store, at(8_000)).expect("the store answers");

    assert_eq!(early, 1, "a cheap list may be seconds old");
    assert_eq!(store.memory.writes(), 2);
}
