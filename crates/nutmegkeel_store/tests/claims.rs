//! Claims when the platform loses answers, is unavailable or already has the key.

use nutmegkeel_core::admission::Id;
use nutmegkeel_core::claim::{Claim, Ledger, Name, Outcome, Settled};
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::member::Instance;
use nutmegkeel_core::placement::Hop;
use nutmegkeel_fake::fleet::address;
use nutmegkeel_fake::store::{CallOutcome, Memory};
use nutmegkeel_store::claims::Writer;

const DEADLINE: Time = Time::from_millis(5_000);

fn claim(agent: u16, request: u64, key: &str) -> Claim {
    Claim {
        name: Name::of(&"intake".into(), key.as_bytes()),
        owner: Hop { address: address(agent), instance: Instance::new(1) },
        id: Id(request),
    }
}

fn write(store: &Memory, claims: &[Claim]) -> Vec<Outcome> {
    Writer::open().write(store, Time::ZERO, claims)
}

#[test]
fn a_batch_of_new_keys_takes_one_write() {
    let store = Memory::default();
    let batch: Vec<Claim> = (0..50).map(|id| claim(1, id, &format!("key {id}"))).collect();

    let outcomes = write(&store, &batch);

    assert_eq!(outcomes, vec![Outcome::Ours; 50]);
    assert_eq!(store.writes(), 1);
}

/// Guards against a request that runs twice: its caller repeats it on a new flow after the first
/// agent died, and the second agent has never seen the key.
#[test]
fn a_key_that_another_agent_claimed_is_theirs() {
    let store = Memory::default();
    write(&store, &[claim(1, 7, "key 1")]);

    let outcomes = write(&store, &[claim(2, 1, "key 2"), claim(2, 2, "key 1")]);

    assert_eq!(outcomes, [Outcome::Ours, Outcome::Theirs]);
}

/// Guards against a request that runs twice: it arrives with the same key on two flows of one
/// agent, and both claims are in one batch.
#[test]
fn a_key_twice_in_one_batch_is_ours_once() {
    let store = Memory::default();

    let outcomes = write(&store, &[claim(1, 1, "key"), claim(1, 2, "key")]);

    assert_eq!(outcomes, [Outcome::Ours, Outcome::Theirs]);
}

/// Guards against a request that is refused although its claim was written, and can never run: the
/// answer to the write was lost. Reading the claim back must show that it is its own.
#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
    let store = Memory::open(vec![CallOutcome::Answered, CallOutcome::AnswerLost]);

    assert_eq!(write(&store, &[claim(1, 1, "key")]), [Outcome::Ours]);
}

#[test]
fn a_lost_call_is_repeated() {
    let store = Memory::open(vec![CallOutcome::Answered, CallOutcome::CallLost]);

    assert_eq!(write(&store, &[claim(1, 1, "key")]), [Outcome::Ours]);
    assert_eq!(store.writes(), 1);
}

/// Guards against a request that runs without a confirmed claim: the platform becomes unavailable
/// between the lost answer and the read. The request must be refused as not run.
#[test]
fn a_claim_in_doubt_does_not_run() {
    let store =
        Memory::open(vec![CallOutcome::Answered, CallOutcome::AnswerLost, CallOutcome::CallLost]);
    let claim = claim(1, 1, "key");
    let mut ledger = Ledger::default();
    ledger.request(claim, DEADLINE);
    let batch = ledger.next_batch().expect("one claim waits");

    let outcomes = write(&store, &batch);
    let settled = ledger.written(Time::from_millis(5), &outcomes);

    assert_eq!(outcomes, [Outcome::Unknown]);
    assert_eq!(settled, [Settled::NotRun(Id(1))]);
}

#[test]
fn a_platform_that_is_down_writes_nothing() {
    let store = Memory::open(vec![CallOutcome::NotSent]);

    assert_eq!(write(&store, &[claim(1, 1, "key")]), [Outcome::NotWritten]);
}

/// Guards against a request that runs twice: its agent is paused between claim and start for so
/// long that the platform removes the claim and another agent claims the key.
#[test]
fn a_claimed_request_does_not_run_after_its_deadline() {
    let mut ledger = Ledger::default();
    ledger.request(claim(1, 1, "key"), DEADLINE);
    ledger.next_batch();

    let settled = ledger.written(DEADLINE.after(1), &[Outcome::Ours]);

    assert_eq!(settled, [Settled::NotRun(Id(1))]);
}

/// Guards against a repeated request that runs again or is reported as not run although the first
/// one with the same key may have run.
#[test]
fn a_key_claimed_before_is_not_run_again() {
    let mut ledger = Ledger::default();
    ledger.request(claim(1, 1, "key"), DEADLINE);
    ledger.next_batch();

    let settled = ledger.written(Time::ZERO, &[Outcome::Theirs]);

    assert_eq!(settled, [Settled::MayHaveRun(Id(1))]);
}

#[test]
fn one_batch_is_in_flight_at_a_time() {
    let mut ledger = Ledger::default();
    ledger.request(claim(1, 1, "one"), DEADLINE);
    assert!(ledger.next_batch().is_some());
    ledger.request(claim(1, 2, "two"), DEADLINE);

    assert_eq!(ledger.next_batch(), None);
    ledger.written(Time::ZERO, &[Outcome::Ours]);
    assert_eq!(ledger.next_batch().map(|batch| batch.len()), Some(1));
}

/// Guards against a request that starts although its caller cancelled it while its claim was in
/// flight.
#[test]
fn a_request_cancelled_during_its_claim_does_not_run() {
    let mut ledger = Ledger::default();
    ledger.request(claim(1, 1, "key"), DEADLINE);
    ledger.next_batch();
    ledger.cancel(Id(1));

    assert_eq!(ledger.written(Time::ZERO, &[Outcome::Ours]), []);
}
