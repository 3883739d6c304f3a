//! Claims of keyed requests when the platform loses answers, is down, or knows the key already.

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
fn a_group_of_new_keys_takes_one_write() {
    let store = Memory::default();
    let group: Vec<Claim> = (0..50).map(|id| claim(1, id, &format!("key {id}"))).collect();

    let outcomes = write(&store, &group);

    assert_eq!(outcomes, vec![Outcome::Ours; 50]);
    assert_eq!(store.writes(), 1);
}

/// A filing runs twice: its caller sent it again on a new flow after the first agent died, and the
/// second agent had never seen the key.
#[test]
fn a_key_that_another_agent_claimed_is_theirs() {
    let store = Memory::default();
    write(&store, &[claim(1, 7, "filing 1")]);

    let outcomes = write(&store, &[claim(2, 1, "filing 2"), claim(2, 2, "filing 1")]);

    assert_eq!(outcomes, [Outcome::Ours, Outcome::Theirs]);
}

/// The same key arrives on two flows of one agent and both requests are in one group.
#[test]
fn a_key_twice_in_one_group_is_ours_once() {
    let store = Memory::default();

    let outcomes = write(&store, &[claim(1, 1, "filing"), claim(1, 2, "filing")]);

    assert_eq!(outcomes, [Outcome::Ours, Outcome::Theirs]);
}

/// A filing is refused although its claim was written, and can never run: the platform's answer
/// was lost after the write took effect. Reading it back shows that the claim is ours.
#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
    let store = Memory::open(vec![CallOutcome::Answered, CallOutcome::AnswerLost]);

    assert_eq!(write(&store, &[claim(1, 1, "filing")]), [Outcome::Ours]);
}

#[test]
fn a_call_that_was_lost_is_made_again() {
    let store = Memory::open(vec![CallOutcome::Answered, CallOutcome::CallLost]);

    assert_eq!(write(&store, &[claim(1, 1, "filing")]), [Outcome::Ours]);
    assert_eq!(store.writes(), 1);
}

/// The platform goes away between the lost answer and the reading back. The claim may exist, so
/// the filing must not run; nobody may say that it did.
#[test]
fn a_claim_in_doubt_does_not_run() {
    let store =
        Memory::open(vec![CallOutcome::Answered, CallOutcome::AnswerLost, CallOutcome::CallLost]);
    let claim = claim(1, 1, "filing");
    let mut ledger = Ledger::default();
    ledger.ask(claim, DEADLINE);
    let group = ledger.group().expect("one claim waits");

    let outcomes = write(&store, &group);
    let settled = ledger.written(Time::from_millis(5), &outcomes);

    assert_eq!(outcomes, [Outcome::Unknown]);
    assert_eq!(settled, [Settled::NotRun(Id(1))]);
}

#[test]
fn a_platform_that_is_down_writes_nothing() {
    let store = Memory::open(vec![CallOutcome::NotSent]);

    assert_eq!(write(&store, &[claim(1, 1, "filing")]), [Outcome::NotWritten]);
}

/// A filing runs twice: its agent was frozen between claim and start for so long that the platform
/// forgot the claim and another agent claimed the key. On waking the first one still held "ours".
#[test]
fn a_claim_that_was_held_too_long_is_not_acted_upon() {
    let mut ledger = Ledger::default();
    ledger.ask(claim(1, 1, "filing"), DEADLINE);
    ledger.group();

    let settled = ledger.written(DEADLINE.after(1), &[Outcome::Ours]);

    assert_eq!(settled, [Settled::NotRun(Id(1))]);
}

/// A caller sends its filing again; the second request with the key finds the first one's claim
/// and must be told that the filing may have run.
#[test]
fn a_key_claimed_before_is_not_run_again() {
    let mut ledger = Ledger::default();
    ledger.ask(claim(1, 1, "filing"), DEADLINE);
    ledger.group();

    let settled = ledger.written(Time::ZERO, &[Outcome::Theirs]);

    assert_eq!(settled, [Settled::MayHaveRun(Id(1))]);
}

#[test]
fn one_group_is_in_flight_at_a_time() {
    let mut ledger = Ledger::default();
    ledger.ask(claim(1, 1, "one"), DEADLINE);
    assert!(ledger.group().is_some());
    ledger.ask(claim(1, 2, "two"), DEADLINE);

    assert_eq!(ledger.group(), None);
    ledger.written(Time::ZERO, &[Outcome::Ours]);
    assert_eq!(ledger.group().map(|group| group.len()), Some(1));
}

/// A caller went away while its claim was in flight; its request must not start any more.
#[test]
fn a_request_given_up_during_its_claim_does_not_run() {
    let mut ledger = Ledger::default();
    ledger.ask(claim(1, 1, "filing"), DEADLINE);
    ledger.group();
    ledger.forget(Id(1));

    assert_eq!(ledger.written(Time::ZERO, &[Outcome::Ours]), []);
}
