//! Registration of a process in the store.

use nutmegkeel_core::clock::Time;
use nutmegkeel_fake::store::{CallOutcome, Leased};
use nutmegkeel_store::kv::{Renewal, Store};
use nutmegkeel_store::registration::{RENEW_MS, Registration};

fn entry() -> Registration {
    Registration::open("balancers/10.0.0.1".to_owned(), b"value".to_vec())
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

    assert_eq!(store.writes(), 1);
}

#[test]
fn an_entry_of_the_predecessor_is_overwritten() {
    let store = Leased::open(Vec::new());
    entry().step(&store, at(0)).expect("the store answers");

    entry().step(&store, at(10)).expect("the store answers");

    assert_eq!(store.writes(), 2);
}

/// Guards against restarts that cost twice the calls of a first start because the entry of the
/// predecessor still exists.
#[test]
fn a_restart_costs_no_more_calls_than_a_start() {
    let store = Leased::open(Vec::new());
    entry().step(&store, at(0)).expect("the store answers");
    let first = store.calls();

    entry().step(&store, at(10)).expect("the store answers");

    assert_eq!(store.calls() - first, first);
}

/// Guards against a write to the store for each change of the value, which changes with each
/// process that joins or leaves.
#[test]
fn a_value_that_changes_often_is_written_rarely() {
    let store = Leased::open(Vec::new());
    let mut entry = entry();

    for millis in (0..=10_000).step_by(1_000) {
        entry.set_value(at(millis), millis.to_string().into_bytes());
        entry.step(&store, at(millis)).expect("the store answers");
    }

    assert_eq!(store.writes(), 3);
    let pairs = store.list("balancers/").expect("the store answers");
    assert_eq!(pairs[0].value, b"10000");
}

/// Guards against a process that others cannot find after the store was unavailable for longer than
/// its lease. Its entry must be written with a new lease at the first call that is answered.
#[test]
fn an_expired_entry_is_written_again() {
    let store = Leased::open(Vec::new());
    let mut entry = entry();
    entry.step(&store, at(0)).expect("the store answers");
    store.set_renewal(Renewal::Ended);

    entry.step(&store, at(RENEW_MS)).expect("the store answers");

    assert_eq!(store.writes(), 2);
}

/// Guards against a process that others cannot find after the store was restored from a copy
/// without its entry: renewing its lease would succeed because another process has that lease now.
#[test]
fn an_entry_is_written_again_after_the_store_was_restored() {
    let store = Leased::open(Vec::new());
    let mut entry = entry();
    entry.step(&store, at(0)).expect("the store answers");
    store.restore(&[]);

    entry.step(&store, at(100)).expect("the store answers");

    assert_eq!(store.list("balancers/").expect("the store answers").len(), 1);
    assert_eq!(store.grants(), 2);
}

/// Guards against an entry that is missing, or that ends with the lease of the predecessor, because
/// that one was killed between its lease and its entry.
#[test]
fn a_process_killed_between_its_lease_and_its_entry_leaves_nothing_behind() {
    let store = Leased::open(vec![CallOutcome::Answered, CallOutcome::CallLost]);
    let killed = entry().step(&store, at(0));
    let left = store.list("balancers/").expect("the store answers");

    entry().step(&store, at(10)).expect("the store answers");

    assert!(killed.is_err());
    assert_eq!(left.len(), 0);
    assert_eq!(store.list("balancers/").expect("the store answers").len(), 1);
    assert_eq!(store.grants(), 2);
}

#[test]
fn a_write_whose_answer_was_lost_is_tried_again() {
    let store = Leased::open(vec![CallOutcome::Answered, CallOutcome::AnswerLost]);
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

    entry.check_list(at(3_000), &[]);
    entry.step(&store, at(3_000)).expect("the store answers");
    let early = store.writes();
    entry.check_list(at(8_000), &[]);
    entry.step(&store, at(8_000)).expect("the store answers");

    assert_eq!(early, 1, "a cheap list may be seconds old");
    assert_eq!(store.writes(), 2);
}
