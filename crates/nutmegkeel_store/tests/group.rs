//! Many keys of many owners, written by few processes.

use nutmegkeel_core::clock::Time;
use nutmegkeel_fake::store::{CallOutcome, Leased};
use nutmegkeel_store::group::{Entry, Group};
use nutmegkeel_store::kv::{Kept, Store};

const PREFIX: &str = "flows/";

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// The number is the value's only byte.
fn group() -> Group {
    Group::open(PREFIX.to_owned(), |value| value.first().map(|byte| u64::from(*byte)))
}

fn entry(owner: usize, number: u8) -> Entry {
    Entry { key: format!("{PREFIX}{owner}"), number: number.into(), value: vec![number] }
}

fn value(store: &Leased, owner: usize) -> Option<u8> {
    let pair = store.get(&entry(owner, 0).key).expect("the store answers")?;
    pair.value.first().copied()
}

#[test]
fn many_owners_share_one_write_and_one_lease() {
    let store = Leased::open(Vec::new());
    let entries: Vec<Entry> = (0..16).map(|owner| entry(owner, 1)).collect();

    let written = group().write(&store, at(0), &entries).expect("the store answers");

    assert_eq!(written.len(), 16);
    assert_eq!((store.writes(), store.grants()), (1, 1));
    assert_eq!(value(&store, 15), Some(1));
}

#[test]
fn more_than_one_transaction_takes_are_written_with_several() {
    let store = Leased::open(Vec::new());
    let entries: Vec<Entry> = (0..20).map(|owner| entry(owner, 1)).collect();

    let written = group().write(&store, at(0), &entries).expect("the store answers");

    assert_eq!((written.len(), store.writes()), (20, 2));
}

/// Clients of a host that lost power wait for their timeouts: its newest list of flows was replaced by an
/// older one. The host had handed the older one to a writer that stood still, and the newer one to another.
#[test]
fn an_older_value_never_replaces_a_newer_one() {
    let store = Leased::open(Vec::new());
    let (mut paused, mut other) = (group(), group());
    paused.write(&store, at(0), &[entry(1, 1)]).expect("the store answers");
    other.write(&store, at(1_000), &[entry(1, 3)]).expect("the store answers");

    let written = paused.write(&store, at(2_000), &[entry(1, 2)]).expect("the store answers");

    assert_eq!(value(&store, 1), Some(3));
    assert_eq!(written, vec![(entry(1, 3).key, 3)]);
}

/// The lists of a whole failure domain are never written again: one answer of the store was lost, and from
/// then on no key is as the writer knows it.
#[test]
fn a_lost_answer_does_not_stop_later_writes() {
    let store = Leased::open(Vec::new());
    let mut group = group();
    group.write(&store, at(0), &[entry(1, 1), entry(2, 1)]).expect("the store answers");
    store.set_outcomes(vec![CallOutcome::AnswerLost]);

    let lost = group.write(&store, at(1_000), &[entry(1, 2), entry(2, 2)]);
    let next = group.write(&store, at(2_000), &[entry(1, 3), entry(2, 2)]);

    assert!(lost.is_err());
    assert_eq!(next, Ok(vec![(entry(1, 3).key, 3), (entry(2, 2).key, 2)]));
    assert_eq!((value(&store, 1), value(&store, 2)), (Some(3), Some(2)));
}

/// One owner that writes by itself must not keep the others' lists out of the store.
#[test]
fn an_owner_that_wrote_by_itself_does_not_stop_the_others() {
    let store = Leased::open(Vec::new());
    let mut group = group();
    group.write(&store, at(0), &[entry(1, 1), entry(2, 1)]).expect("the store answers");
    store.set_outcomes(vec![CallOutcome::AfterConcurrentWrite(entry(1, 2).key, vec![2])]);

    let written = group.write(&store, at(1_000), &[entry(1, 3), entry(2, 3)]);

    assert!(written.is_ok(), "{written:?}");
    assert_eq!((value(&store, 1), value(&store, 2)), (Some(3), Some(3)));
}

#[test]
fn a_value_that_cannot_be_read_is_replaced() {
    let store = Leased::open(vec![CallOutcome::AfterConcurrentWrite(entry(1, 0).key, Vec::new())]);

    let written = group().write(&store, at(0), &[entry(1, 1)]);

    assert!(written.is_ok(), "{written:?}");
    assert_eq!(value(&store, 1), Some(1));
}

#[test]
fn an_ended_lease_is_replaced() {
    let store = Leased::open(Vec::new());
    let mut group = group();
    group.write(&store, at(0), &[entry(1, 1)]).expect("the store answers");
    store.set_renewal(Kept::Ended);

    let written = group.write(&store, at(50_000), &[entry(1, 2)]);

    assert!(written.is_ok(), "{written:?}");
    assert_eq!(store.grants(), 2);
}

/// Guards against lists that are taken for written though the store came back from a copy without them.
#[test]
fn a_group_reads_anew_when_the_store_is_back_from_a_copy() {
    let store = Leased::open(Vec::new());
    let mut group = group();
    group.write(&store, at(0), &[entry(1, 5), entry(2, 5)]).expect("the store answers");
    store.restore(&[(&format!("{PREFIX}1"), &[2])]);

    let written = group.write(&store, at(100), &[entry(1, 5), entry(2, 5)]);

    assert_eq!(written.expect("the store answers").len(), 2);
    assert_eq!((value(&store, 1), value(&store, 2)), (Some(5), Some(5)));
    assert_eq!(store.grants(), 2);
}
