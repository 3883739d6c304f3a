//! A key that one process overwrites repeatedly.

use nutmegkeel_core::clock::Time;
use nutmegkeel_fake::store::{CallOutcome, Leased};
use nutmegkeel_store::document::Document;
use nutmegkeel_store::kv::{Renewal, Store};

const KEY: &str = "flows/10.0.0.1";

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn document() -> Document {
    Document::open(KEY.to_owned())
}

fn value(store: &Leased) -> Option<Vec<u8>> {
    store.get(KEY).expect("the store answers").map(|pair| pair.value)
}

#[test]
fn a_successor_reads_what_was_written_last() {
    let store = Leased::open(Vec::new());
    let mut first = document();
    first.write(&store, at(0), b"one").expect("the store answers");
    first.write(&store, at(3_000), b"two").expect("the store answers");

    let read = document().read(&store);

    assert_eq!(read, Ok(Some(b"two".to_vec())));
}

/// Guards against a host whose lists are never written: it restarts while the store is unavailable,
/// so it has not read the list of its predecessor.
#[test]
fn a_document_that_was_never_read_is_overwritten() {
    let store = Leased::open(Vec::new());
    document().write(&store, at(0), b"old").expect("the store answers");

    document().write(&store, at(0), b"new").expect("the store answers");

    assert_eq!(value(&store), Some(b"new".to_vec()));
}

/// Guards against writes that fail forever after a lost answer: that write took effect, so the key
/// has a revision that the document does not know.
#[test]
fn a_lost_answer_does_not_stop_later_writes() {
    let store = Leased::open(Vec::new());
    let mut document = document();
    document.write(&store, at(0), b"one").expect("the store answers");
    store.set_outcomes(vec![CallOutcome::AnswerLost]);

    let lost = document.write(&store, at(3_000), b"two");
    let next = document.write(&store, at(6_000), b"three");

    assert!(lost.is_err());
    assert_eq!(next, Ok(()));
    assert_eq!(value(&store), Some(b"three".to_vec()));
}

/// Guards against leases for agents that have nothing to store.
#[test]
fn a_document_that_was_never_written_takes_no_lease() {
    let store = Leased::open(Vec::new());

    let renewed = document().renew(&store, at(50_000));

    assert_eq!(renewed, Ok(()));
    assert_eq!(store.grants(), 0);
}

#[test]
fn an_ended_lease_is_replaced() {
    let store = Leased::open(Vec::new());
    let mut document = document();
    document.write(&store, at(0), b"one").expect("the store answers");
    store.set_renewal(Renewal::Ended);

    let renewed = document.renew(&store, at(50_000));

    assert_eq!(renewed, Ok(()));
    assert_eq!(store.grants(), 2);
}
