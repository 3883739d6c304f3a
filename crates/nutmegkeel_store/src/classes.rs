//! Classes of work in the platform's store: reads all of them and carries out changes.

use nutmegkeel_core::change::{Action, Change, Event, Request, Stored, Value};
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::configuration::{Entry, Revision};
use nutmegkeel_core::revision;

use crate::kv::{Committed, Expected, Fault, Pair, Store, Write};

/// Prefix of the keys of classes.
pub const PREFIX: &str = "nutmegkeel/classes/";

/// Reads all classes. Values that cannot be decoded are skipped.
///
/// # Errors
/// If the platform does not answer.
pub fn read(store: &dyn Store) -> Result<Vec<Entry>, Fault> {
    let pairs = store.list(PREFIX)?;
    Ok(pairs.iter().filter_map(entry).collect())
}

/// Carries out a change and returns its final action.
///
/// `now` reads the clock and `wait` sleeps for a number of milliseconds; tests pass fakes.
pub fn change(
    store: &dyn Store,
    request: Request,
    deadline: Time,
    now: impl Fn() -> Time,
    wait: impl Fn(u64),
) -> Action {
    let class = request.class.clone();
    let (mut change, mut action) = Change::begin(request, deadline);
    while let Some(event) = carry_out(store, &class, action.clone(), &wait) {
        action = change.handle(now(), event);
    }
    action
}

/// Carries out one step of a change; returns `None` if the action is final.
pub fn carry_out(
    store: &dyn Store,
    class: &str,
    action: Action,
    wait: impl Fn(u64),
) -> Option<Event> {
    let key = format!("{PREFIX}{class}");
    match action {
        Action::Read => Some(get(store, &key)),
        Action::ReadLater(millis) => {
            wait(millis);
            Some(get(store, &key))
        }
        Action::Swap(expected, value) => Some(swap(store, &key, expected, &value)),
        Action::Accepted(_) | Action::Conflict(_) | Action::NotRun | Action::MayHaveRun => None,
    }
}

fn entry(pair: &Pair) -> Option<Entry> {
    let name = pair.key.strip_prefix(PREFIX)?;
    let value: Value = serde_json::from_slice(&pair.value).ok()?;
    Some(Entry {
        name: name.into(),
        revision: Revision(pair.revision.number),
        target: value.target,
    })
}

fn get(store: &dyn Store, key: &str) -> Event {
    match store.get(key) {
        Ok(pair) => Event::Read(pair.and_then(|pair| stored(&pair))),
        // A read has no effect, so one without an answer is handled like one that was not sent.
        Err(_) => Event::NotSent,
    }
}

fn stored(pair: &Pair) -> Option<Stored> {
    let value = serde_json::from_slice(&pair.value).ok()?;
    Some(Stored { value, revision: Revision(pair.revision.number) })
}

fn swap(store: &dyn Store, key: &str, expected: Revision, value: &Value) -> Event {
    let Ok(value) = serde_json::to_vec(value) else {
        return Event::NotSent;
    };
    // Revision zero means that the class does not exist.
    let expected = Some(expected.0).filter(|number| *number > 0);
    let expected = Expected::unchanged(expected.map(revision::Revision::first_era));
    let write = Write { key: key.to_owned(), value, expected, lease: None };
    match store.commit(&[write]) {
        Ok(Committed::Written(revision)) => Event::Swapped(Revision(revision.number)),
        Ok(Committed::Differs) => Event::Differs,
        Err(Fault::NotSent(_)) => Event::NotSent,
        Err(Fault::Lost(_) | Fault::Unusable(_)) => Event::Lost,
    }
}
