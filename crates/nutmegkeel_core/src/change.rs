//! One operator's change of one class: a single compare-and-swap, with lost answers resolved.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::class;
use crate::clock::Time;
use crate::configuration::{Entry, Revision};

/// Identity of a change, chosen by the operator's client; a repeat with the same one is harmless.
pub type Id = Arc<str>;

/// Identities of earlier changes kept inside a value.
const REMEMBERED: usize = 16;
/// Pause before the platform is asked again after it failed, in milliseconds.
pub const PAUSE_MS: u64 = 200;

/// What the platform holds for a class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Value {
    /// The target, or none when the class was removed.
    pub target: Option<class::Target>,
    /// Identities of the newest changes, the newest first.
    pub changes: Vec<Id>,
}

/// A value and the revision of its write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The value.
    pub value: Value,
    /// Revision of its write.
    pub revision: Revision,
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Identity of the change.
    pub id: Id,
    /// The class.
    pub class: class::Name,
    /// The new target, or none to remove the class.
    pub target: Option<class::Target>,
    /// The revision that the operator saw, zero for a new class; none to replace whatever is there.
    pub expected: Option<Revision>,
}

/// What the platform said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The class was read; none when it does not exist.
    Read(Option<Stored>),
    /// The compare-and-swap took effect at this revision.
    Swapped(Revision),
    /// The comparison failed; nothing was written.
    Differs,
    /// The call surely did not reach the platform.
    NotSent,
    /// No answer came: the call may have taken effect.
    Lost,
}

/// What the driver does next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Read the class.
    Read,
    /// Write the value if the class is still at this revision (zero: does not exist).
    Swap(Revision, Value),
    /// Wait, then read the class.
    ReadLater(u64),
    /// The change was accepted and is written.
    Accepted(Entry),
    /// Another operator won; nothing of this change was written. Tells the revision it lost to.
    Conflict(Revision),
    /// The platform did not answer in time, and nothing was written.
    NotRun,
    /// The platform did not answer in time, and the change may have been written.
    MayHaveRun,
}

/// A change in progress.
#[derive(Clone, Debug)]
pub struct Change {
    request: Request,
    deadline: Time,
    swapped_at: Option<Revision>,
    in_doubt: bool,
}

impl Change {
    /// Begins a change that must be settled by `deadline`.
    #[must_use]
    pub const fn begin(request: Request, deadline: Time) -> (Self, Action) {
        let change = Self { request, deadline, swapped_at: None, in_doubt: false };
        (change, Action::Read)
    }

    /// The next step after what the platform said.
    pub fn handle(&mut self, now: Time, event: Event) -> Action {
        match event {
            Event::Read(stored) => self.read(stored),
            Event::Swapped(revision) => self.accepted(revision, self.request.target.clone()),
            Event::Differs => Action::Read,
            Event::NotSent => self.again(now),
            Event::Lost => {
                self.in_doubt |= self.swapped_at.is_some();
                self.again(now)
            }
        }
    }

    /// Decides from what is stored.
    ///
    /// Guards against an answer lost after the write took effect: the change's identity inside the
    /// value, or among the earlier ones it remembers, shows that it was written, so it is neither
    /// written twice nor reported as failed.
    fn read(&mut self, stored: Option<Stored>) -> Action {
        let revision = stored.as_ref().map_or(Revision(0), |stored| stored.revision);
        let target = stored.as_ref().and_then(|stored| stored.value.target.clone());
        let changes = stored.map_or_else(Vec::new, |stored| stored.value.changes);
        if changes.contains(&self.request.id) {
            // A later change may stand there already; what is in force is what is stored.
            return self.accepted(revision, target);
        }
        let expected = self.swapped_at.or(self.request.expected);
        if expected.is_some_and(|expected| expected != revision) {
            let forgotten = self.in_doubt && changes.len() >= REMEMBERED;
            return if forgotten { Action::MayHaveRun } else { Action::Conflict(revision) };
        }
        self.swap(revision, changes)
    }

    fn swap(&mut self, revision: Revision, earlier: Vec<Id>) -> Action {
        let mut changes = vec![self.request.id.clone()];
        changes.extend(earlier);
        changes.truncate(REMEMBERED);
        self.swapped_at = Some(revision);
        Action::Swap(revision, Value { target: self.request.target.clone(), changes })
    }

    fn accepted(&self, revision: Revision, target: Option<class::Target>) -> Action {
        Action::Accepted(Entry { name: self.request.class.clone(), revision, target })
    }

    const fn again(&self, now: Time) -> Action {
        if now.after(PAUSE_MS).millis() < self.deadline.millis() {
            return Action::ReadLater(PAUSE_MS);
        }
        if self.in_doubt { Action::MayHaveRun } else { Action::NotRun }
    }
}
