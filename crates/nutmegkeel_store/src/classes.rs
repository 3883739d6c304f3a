//! Classes of work in the platform's service: reading them all, and carrying out one change.

use nutmegkeel_core::change::{Action, Change, Event, Request, Stored, Value};
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::configuration::{Entry, Revision};
use nutmegkeel_core::revision;

use crate::kv::{Committed, Expected, Fault, Pair, Store, Write};

/// Keys of classes begin with this.
pub const PREFIX: &str = "nutmegkeel/classes/";

/// All classes as written.
///
/// # Errors
/// When the platform does not answer.
pub fn read(store: &dyn Store) -> Result<Vec<Entry>, Fault> {
    let pairs = store.list(PREFIX)?;
    Ok(pairs.iter().filter_map(entry).collect())
}

/// Carries out a change to its end; the last action is a final one.
///
/// `now` reads the clock and `wait` lets so many milliseconds pass; tests give fakes.
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

/// Carries out one step of a change; none when the action is a final one.
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
        // A read changes nothing, so a lost one is as good as one that was never sent.
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
    // A class that was never written is at revision zero.
    let expected = Some(expected.0).filter(|number| *number > 0);
    let expected = Expected::unchanged(expected.map(revision::Revision::first_era));
    let write = Write { key: key.to_owned(), value, expected, lease: None };
    match store.commit(&[write]) {
        Ok(Committed::Written(revision)) => Event::Swapped(Revision(revision.number)),
        Ok(Committed::Differs) => Event::Differs,
        Err(Fault::NotSent(_)) => Event::NotSent,
        Err(Fault::Lost(_)) => Event::Lost,
    }
}
