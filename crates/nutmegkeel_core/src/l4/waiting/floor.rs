//! What less urgent requests get while more urgent ones could fill all slots.
//!
//! A share of the slots, not aging: aged requests of all urgencies end up with the same rank under a
//! lasting overload, and urgency no longer counts when it matters most.

use crate::l4::route::Urgency;

/// One request in so many goes to a less urgent class, if one waits.
pub const FLOOR_EVERY: u8 = 10;

const CLASSES: usize = Urgency::LEAST as usize + 1;

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

    /// Notes the class that goes, and whether it passes a less urgent one by.
    pub(super) fn note(&mut self, urgency: Urgency, passes_by: bool) {
        self.count += 1;
        self.last[usize::from(urgency.number())] = self.count;
        self.passed_by = if passes_by { self.passed_by.saturating_add(1) } else { 0 };
    }
}
