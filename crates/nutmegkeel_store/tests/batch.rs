//! Keys of many owners, written in batches by a few processes.

use nutmegkeel_core::clock::Time;
use nutmegkeel_fake::store::{CallOutcome, Leased};
use nutmegkeel_store::batch::{Entry, Writer};
use nutmegkeel_store::kv::{Renewal, Store};

const PREFIX: &str = "flows/";

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// The number is the value's only byte.
fn writer() -> Writer {
    Writer::open(PREFIX.to_owned(), |value| value.first().map(|byte| u64::from(*byte)))
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

    let written = writer().write(&store, at(0), &entries).expect("the store answers");

    assert_eq!(written.len(), 16);
    assert_eq!((store.writes(), store.grants()), (1, 1));
    assert_eq!(value(&store, 15), Some(1));
}

#[test]
fn more_writes_than_fit_into_one_transaction_take_several() {
    let store = Leased::open(Vec::new());
    let entries: Vec<Entry> = (0..20).map(|owner| entry(owner, 1)).collect();

    let written = writer().write(&store, at(0), &entries).expect("the store answers");

    assert_eq!((written.len(), store.writes()), (20, 2));
}

/// Guards against an older list of flows replacing a newer one, so that clients of a failed host
/// wait for their timeouts: the host passed the older list to a writer that was paused and the
/// newer one to another writer.
#[test]
fn an_older_value_never_replaces_a_newer_one() {
    let store = Leased::open(Vec::new());
    let (mut paused, mut other) = (writer(), writer());
    paused.write(&store, at(0), &[entry(1, 1)]).expect("the store answers");
    other.write(&store, at(1_000), &[entry(1, 3)]).expect("the store answers");

    let written = paused.write(&store, at(2_000), &[entry(1, 2)]).expect("the store answers");

    assert_eq!(value(&store, 1), Some(3));
    assert_eq!(written, vec![(entry(1, 3).key, 3)]);
}

/// Guards against lists of a failure domain that are never written again after one lost answer:
/// from then on the keys have revisions that the writer does not know.
#[test]
fn a_lost_answer_does_not_stop_later_writes() {
    let store = Leased::open(Vec::new());
    let mut writer = writer();
    writer.write(&store, at(0), &[entry(1, 1), entry(2, 1)]).expect("the store answers");
    store.set_outcomes(vec![CallOutcome::AnswerLost]);

    let lost = writer.write(&store, at(1_000), &[entry(1, 2), entry(2, 2)]);
    let next = writer.write(&store, at(2_000), &[entry(1, 3), entry(2, 2)]);

    assert!(lost.is_err());
    assert_eq!(next, Ok(vec![(entry(1, 3).key, 3), (entry(2, 2).key, 2)]));
    assert_eq!((value(&store, 1), value(&store, 2)), (Some(3), Some(2)));
}

/// Guards against one owner that writes its own key and thereby blocks the writes for all others.
#[test]
fn an_owner_that_wrote_by_itself_does_not_stop_the_others() {
    let store = Leased::open(Vec::new());
    let mut writer = writer();
    writer.write(&store, at(0), &[entry(1, 1), entry(2, 1)]).expect("the store answers");
    store.set_outcomes(vec![CallOutcome::AfterConcurrentWrite(entry(1, 2).key, vec![2])]);

    let written = writer.write(&store, at(1_000), &[entry(1, 3), entry(2, 3)]);

    assert!(written.is_ok(), "{written:?}");
    assert_eq!((value(&store, 1), value(&store, 2)), (Some(3), Some(3)));
}

#[test]
fn a_value_that_cannot_be_read_is_replaced() {
    let store = Leased::open(vec![CallOutcome::AfterConcurrentWrite(entry(1, 0).key, Vec::new())]);

    let written = writer().write(&store, at(0), &[entry(1, 1)]);

    assert!(written.is_ok(), "{written:?}");
    assert_eq!(value(&store, 1), Some(1));
}

#[test]
fn an_ended_lease_is_replaced() {
    let store = Leased::open(Vec::new());
    let mut writer = writer();
    writer.write(&store, at(0), &[entry(1, 1)]).expect("the store answers");
    store.set_renewal(Renewal::Ended);

    let written = writer.write(&store, at(50_000), &[entry(1, 2)]);

    assert!(written.is_ok(), "{written:?}");
    assert_eq!(store.grants(), 2);
}

/// Guards against lists that count as written although the store was restored from a copy without
/// them.
#[test]
fn a_writer_reads_again_after_the_store_was_restored() {
    let store = Leased::open(Vec::new());
    let mut writer = writer();
    writer.write(&store, at(0), &[entry(1, 5), entry(2, 5)]).expect("the store answers");
    store.restore(&[(&format!("{PREFIX}1"), &[2])]);

    let written = writer.write(&store, at(100), &[entry(1, 5), entry(2, 5)]);

    assert_eq!(written.expect("the store answers").len(), 2);
    assert_eq!((value(&store, 1), value(&store, 2)), (Some(5), Some(5)));
    assert_eq!(store.grants(), 2);
}
