//! What less urgent requests get while more urgent ones could fill all slots.
//!
//! A share of the slots, not aging: aged requests of all urgencies end up with the same rank under a
//! lasting overload, and urgency no longer counts when it matters most.

use crate::l4::route::Urgency;

/// One request in so many goes to a less urgent class, if one waits.
pub const FLOOR_EVERY: u8 = 10;

const CLASSES: usize = Urgency::LEAST as usize + 1;

/// Requests that go before another, by urgency.
#[derive(Debug, Default)]
pub(super) struct Ahead {
    of_class: [usize; CLASSES],
    all: usize,
}

impl Ahead {
    /// Counts one that goes before those asked for later.
    pub(super) const fn add(&mut self, urgency: Urgency) {
        self.of_class[urgency.number() as usize] += 1;
        self.all += 1;
    }

    /// How many go before the next one of a class: all that rank higher, or as many as the floor lets
    /// go before it. Guards against classes that are refused for what is ahead of them, and for which the
    /// floor then finds nobody.
    pub(super) fn of(&self, urgency: Urgency, floor: &Floor) -> usize {
        let own = self.of_class[usize::from(urgency.number())];
        self.all.min(own * usize::from(FLOOR_EVERY) + floor.left())
    }
}

/// Who went lately.
#[derive(Debug, Default)]
pub(super) struct Floor {
    /// Requests in a row that went while a less urgent one waited.
    passed_by: u8,
    /// Number of the last request of each class that went.
    last: [u64; CLASSES],
    count: u64,
}

impl Floor {
    /// Whether a less urgent request goes next.
    pub(super) const fn is_due(&self) -> bool {
        self.passed_by + 1 >= FLOOR_EVERY
    }

    /// When the class last went: the one that compares as least has waited longest.
    pub(super) fn last(&self, urgency: Urgency) -> u64 {
        self.last[usize::from(urgency.number())]
    }

    /// Notes that a class goes by the usual order, and whether it passes a less urgent one by.
    pub(super) fn note(&mut self, urgency: Urgency, passes_by: bool) {
        self.count += 1;
        self.last[usize::from(urgency.number())] = self.count;
        self.passed_by = (self.passed_by + u8::from(passes_by)).min(FLOOR_EVERY);
    }

    /// Notes that a less urgent class goes though a more urgent one waits.
    pub(super) fn note_owed(&mut self, urgency: Urgency) {
        self.note(urgency, false);
        self.passed_by = 0;
    }

    /// Requests that go before a less urgent class is next.
    fn left(&self) -> usize {
        usize::from(FLOOR_EVERY - self.passed_by)
    }
}
