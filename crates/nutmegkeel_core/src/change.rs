//! State machine of one change of one class: a compare-and-swap that resolves lost answers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::class;
use crate::clock::Time;
use crate::configuration::{Entry, Revision};

/// Identifies a change. The operator's client chooses it, and a repeated request with the same
/// identifier has no further effect.
pub type Id = Arc<str>;

/// Maximum number of change identifiers kept in a value.
const MAX_CHANGES: usize = 16;
/// Pause before the next attempt after a failed call to the platform, in milliseconds.
pub const RETRY_PAUSE_MS: u64 = 200;

/// The value that the platform stores for a class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Value {
    /// The target, or `None` if the class was removed.
    pub target: Option<class::Target>,
    /// Identifiers of the latest changes, newest first.
    pub changes: Vec<Id>,
}

/// A value and the revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The value.
    pub value: Value,
    /// Revision of the write.
    pub revision: Revision,
}

/// The change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Identifier of the change.
    pub id: Id,
    /// Name of the class.
    pub class: class::Name,
    /// The new target, or `None` to remove the class.
    pub target: Option<class::Target>,
    /// The revision that the operator saw, zero for a new class; `None` to replace any revision.
    pub expected: Option<Revision>,
}

/// Result of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The class was read; `None` if it does not exist.
    Read(Option<Stored>),
    /// The compare-and-swap took effect at this revision.
    Swapped(Revision),
    /// The comparison failed; nothing was written.
    Differs,
    /// The call did not reach the platform.
    NotSent,
    /// No answer arrived; the call may have taken effect.
    Lost,
}

/// The next step, carried out by the driver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Read the class.
    Read,
    /// Write the value if the class is still at this revision (zero: the class does not exist).
    Swap(Revision, Value),
    /// Wait for this number of milliseconds, then read the class.
    ReadLater(u64),
    /// The change was written.
    Accepted(Entry),
    /// Another change at this revision was written first; nothing of this one was written.
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
    /// Begins a change that must end by `deadline`.
    #[must_use]
    pub const fn begin(request: Request, deadline: Time) -> (Self, Action) {
        let change = Self { request, deadline, swapped_at: None, in_doubt: false };
        (change, Action::Read)
    }

    /// Returns the next step after the result of a call.
    pub fn handle(&mut self, now: Time, event: Event) -> Action {
        match event {
            Event::Read(stored) => self.read(stored),
            Event::Swapped(revision) => self.accepted(revision, self.request.target.clone()),
            Event::Differs => Action::Read,
            Event::NotSent => self.retry(now),
            Event::Lost => {
                self.in_doubt |= self.swapped_at.is_some();
                self.retry(now)
            }
        }
    }

    /// Handles the result of a read.
    ///
    /// Guards against a change that is written twice or reported as failed because the answer to
    /// its write was lost: the stored value holds the identifiers of the latest changes, which show
    /// that it was written.
    fn read(&mut self, stored: Option<Stored>) -> Action {
        let revision = stored.as_ref().map_or(Revision(0), |stored| stored.revision);
        let target = stored.as_ref().and_then(|stored| stored.value.target.clone());
        let changes = stored.map_or_else(Vec::new, |stored| stored.value.changes);
        if changes.contains(&self.request.id) {
            // A later change may have replaced this one; the stored target is the one in force.
            return self.accepted(revision, target);
        }
        let expected = self.swapped_at.or(self.request.expected);
        if expected.is_some_and(|expected| expected != revision) {
            let forgotten = self.in_doubt && changes.len() >= MAX_CHANGES;
            return if forgotten { Action::MayHaveRun } else { Action::Conflict(revision) };
        }
        self.swap(revision, changes)
    }

    fn swap(&mut self, revision: Revision, earlier: Vec<Id>) -> Action {
        let mut changes = vec![self.request.id.clone()];
        changes.extend(earlier);
        changes.truncate(MAX_CHANGES);
        self.swapped_at = Some(revision);
        Action::Swap(revision, Value { target: self.request.target.clone(), changes })
    }

    fn accepted(&self, revision: Revision, target: Option<class::Target>) -> Action {
        Action::Accepted(Entry { name: self.request.class.clone(), revision, target })
    }

    const fn retry(&self, now: Time) -> Action {
        if now.after(RETRY_PAUSE_MS).millis() < self.deadline.millis() {
            return Action::ReadLater(RETRY_PAUSE_MS);
        }
        if self.in_doubt { Action::MayHaveRun } else { Action::NotRun }
    }
}
