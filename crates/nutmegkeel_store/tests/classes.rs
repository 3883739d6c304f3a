//! Changes of classes when answers are lost, the platform is unavailable or two operators race.

use std::cell::Cell;

use nutmegkeel_core::change::{Action, Change, Event, Request, Stored, Value};
use nutmegkeel_core::class::Target;
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::configuration::{Entry, Revision};
use nutmegkeel_fake::store::{CallOutcome, Memory};
use nutmegkeel_store::classes::{self, PREFIX};
use nutmegkeel_store::kv::Store;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const DEADLINE_MS: u64 = 5_000;

fn target(leave_within_ms: u64) -> Target {
    Target { leave_within_ms, ..Target::default() }
}

fn request(id: &str, leave_within_ms: u64, expected: Option<u64>) -> Request {
    Request {
        id: id.into(),
        class: "intake".into(),
        target: Some(target(leave_within_ms)),
        expected: expected.map(Revision),
    }
}

fn change(store: &Memory, request: Request) -> Action {
    let clock = Cell::new(0);
    let deadline = Time::from_millis(DEADLINE_MS);
    let now = || Time::from_millis(clock.get());
    classes::change(store, request, deadline, now, |millis| clock.set(clock.get() + millis))
}

fn stored(store: &Memory) -> Vec<Entry> {
    store.set_outcomes(Vec::new());
    classes::read(store).expect("the fake answers")
}

fn concurrent_write(leave_within_ms: u64) -> CallOutcome {
    let value = Value { target: Some(target(leave_within_ms)), changes: vec!["other".into()] };
    let value = serde_json::to_vec(&value).expect("a value is JSON");
    CallOutcome::AfterConcurrentWrite(format!("{PREFIX}intake"), value)
}

#[test]
fn an_accepted_change_is_written() {
    let store = Memory::default();

    let result = change(&store, request("a", 900, Some(0)));

    assert!(matches!(result, Action::Accepted(_)));
    assert_eq!(stored(&store)[0].target, Some(target(900)));
}

/// Guards against a change that is reported as failed although it was written, because the answer
/// was lost. The operator would repeat it and overwrite another operator's change. The identifier
/// in the stored value shows that it was written.
#[test]
fn a_lost_answer_is_resolved_and_written_once() {
    let store = Memory::open(vec![CallOutcome::Answered, CallOutcome::AnswerLost]);

    let result = change(&store, request("a", 900, Some(0)));

    assert!(matches!(result, Action::Accepted(Entry { revision: Revision(1), .. })));
    assert_eq!(store.writes(), 1);
}

/// Guards against a change that silently overwrites another operator's change. One of two
/// concurrent changes must win, and the other must end with a conflict and the revision of the
/// winner.
#[test]
fn one_of_two_concurrent_changes_gets_a_conflict() {
    let store = Memory::open(vec![CallOutcome::Answered, concurrent_write(700)]);

    let result = change(&store, request("a", 900, Some(0)));

    assert_eq!(result, Action::Conflict(Revision(1)));
    assert_eq!(stored(&store)[0].target, Some(target(700)));
}

/// Guards against a written change that is reported as a conflict: its answer was lost, and another
/// change replaced it before it was read back. The target in force is that of the later change.
#[test]
fn a_lost_change_that_was_replaced_counts_as_accepted() {
    let first = request("a", 900, Some(0));
    let (mut state, _) = Change::begin(first, Time::from_millis(1_000));
    let swap = state.handle(Time::ZERO, Event::Read(None));
    assert!(matches!(swap, Action::Swap(Revision(0), _)));
    state.handle(Time::ZERO, Event::Lost);
    let replaced = Stored {
        value: Value { target: Some(target(700)), changes: vec!["other".into(), "a".into()] },
        revision: Revision(2),
    };

    let result = state.handle(Time::ZERO, Event::Read(Some(replaced)));

    let Action::Accepted(entry) = result else { panic!("{result:?}") };
    assert_eq!((entry.revision, entry.target), (Revision(2), Some(target(700))));
}

#[test]
fn a_repeat_with_the_same_identifier_changes_nothing() {
    let store = Memory::default();
    change(&store, request("a", 900, Some(0)));

    let again = change(&store, request("a", 900, Some(0)));

    assert!(matches!(again, Action::Accepted(Entry { revision: Revision(1), .. })));
    assert_eq!(store.writes(), 1);
}

#[test]
fn a_platform_that_stays_down_means_not_run() {
    let store = Memory::open(vec![CallOutcome::NotSent; 100]);

    assert_eq!(change(&store, request("a", 900, Some(0))), Action::NotRun);
}

#[test]
fn a_platform_that_becomes_unavailable_after_the_write_means_may_have_run() {
    let mut outcomes = vec![CallOutcome::Answered, CallOutcome::AnswerLost];
    outcomes.extend(vec![CallOutcome::NotSent; 100]);
    let store = Memory::open(outcomes);

    assert_eq!(change(&store, request("a", 900, Some(0))), Action::MayHaveRun);
}

/// One step of one of two operators and the outcome of its call.
#[derive(Clone, Debug)]
struct Step {
    operator: usize,
    outcome: CallOutcome,
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let outcome = match u8::arbitrary(source) % 6 {
            0 => CallOutcome::NotSent,
            1 => CallOutcome::AnswerLost,
            2 => CallOutcome::CallLost,
            _ => CallOutcome::Answered,
        };
        Self { operator: usize::from(bool::arbitrary(source)), outcome }
    }
}

/// Checks for any interleaving of two operators' calls and any faults that the results are true:
/// an accepted change was written, one that ended with a conflict or "not run" was never written,
/// and with the same expected revision at most one change is accepted.
fn verdicts_are_true(steps: Vec<Step>) -> bool {
    let store = Memory::default();
    let deadline = Time::from_millis(DEADLINE_MS);
    let mut operators = ["a", "b"].map(|id| Change::begin(request(id, 900, Some(0)), deadline));
    let mut now = Time::ZERO;
    for step in steps {
        now = now.after(100);
        let (change, action) = &mut operators[step.operator];
        if is_final(action) {
            continue;
        }
        store.set_outcomes(vec![step.outcome]);
        let event = classes::carry_out(&store, "intake", action.clone(), |_| {});
        if let Some(event) = event {
            *action = change.handle(now, event);
        }
    }
    let written = written_changes(&store);
    let accepted = operators.iter().filter(|(_, action)| matches!(action, Action::Accepted(_)));
    let at_most_one = accepted.count() <= 1;
    let all_true = ["a", "b"].iter().zip(&operators).all(|(id, (_, action))| {
        let is_written = written.iter().any(|change| &**change == *id);
        match action {
            Action::Accepted(_) => is_written,
            Action::Conflict(_) | Action::NotRun => !is_written,
            _ => true,
        }
    });
    at_most_one && all_true
}

const fn is_final(action: &Action) -> bool {
    !matches!(action, Action::Read | Action::ReadLater(_) | Action::Swap(..))
}

fn written_changes(store: &Memory) -> Vec<nutmegkeel_core::change::Id> {
    store.set_outcomes(Vec::new());
    let pair = store.get(&format!("{PREFIX}intake")).expect("the fake answers");
    let value = pair.and_then(|pair| serde_json::from_slice::<Value>(&pair.value).ok());
    value.map_or_else(Vec::new, |value| value.changes)
}

#[test]
fn verdicts_stay_true_when_two_operators_race_and_calls_fail() {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(40, 5)).tests(5_000);
    check.quickcheck(verdicts_are_true as fn(Vec<Step>) -> bool);
}
