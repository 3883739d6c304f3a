//! Minimum share of the slots that less urgent requests get while more urgent ones could fill all.
//!
//! A fixed share is used and not aging. Under a lasting overload, aged requests of all urgencies
//! reach the same rank, and urgency has no effect when it matters most.

use crate::l4::route::Urgency;

/// One in this many requests is taken from a less urgent class, if one waits.
pub const FLOOR_EVERY: u8 = 10;

const CLASSES: usize = Urgency::LEAST as usize + 1;

/// Counts, by urgency, the requests that go before another one.
#[derive(Debug, Default)]
pub(super) struct Ahead {
    of_class: [usize; CLASSES],
    all: usize,
}

impl Ahead {
    /// Counts a request that goes before those queried later.
    pub(super) const fn add(&mut self, urgency: Urgency) {
        self.of_class[urgency.number() as usize] += 1;
        self.all += 1;
    }

    /// Returns how many requests go before the next one of a class: all that rank higher, or fewer
    /// if the floor serves the class earlier.
    ///
    /// Guards against a less urgent class that is refused because of all the requests ahead of it.
    /// The slots that the floor keeps for the class would then find no request to serve.
    pub(super) fn of(&self, urgency: Urgency, floor: &Floor) -> usize {
        let own = self.of_class[usize::from(urgency.number())];
        self.all.min(own * usize::from(FLOOR_EVERY) + floor.remaining())
    }
}

/// Tracks which classes were served, and when a less urgent class is next.
#[derive(Debug, Default)]
pub(super) struct Floor {
    /// Number of consecutive requests that were served while a less urgent one waited.
    skips: u8,
    /// Number of the last request of each class that was served.
    last_served: [u64; CLASSES],
    served: u64,
}

impl Floor {
    /// Returns whether a less urgent request goes next.
    pub(super) const fn is_due(&self) -> bool {
        self.skips + 1 >= FLOOR_EVERY
    }

    /// Returns the number of the last request of the class that was served. The class with the
    /// lowest number has waited longest.
    pub(super) fn last_served(&self, urgency: Urgency) -> u64 {
        self.last_served[usize::from(urgency.number())]
    }

    /// Records a request served in the usual order, and whether a less urgent one waits.
    pub(super) fn record(&mut self, urgency: Urgency, skips_other: bool) {
        self.served += 1;
        self.last_served[usize::from(urgency.number())] = self.served;
        self.skips = (self.skips + u8::from(skips_other)).min(FLOOR_EVERY);
    }

    /// Records a request of a less urgent class that is served although a more urgent one waits.
    pub(super) fn record_floor(&mut self, urgency: Urgency) {
        self.record(urgency, false);
        self.skips = 0;
    }

    /// Returns the number of requests that go before a less urgent class is next.
    fn remaining(&self) -> usize {
        usize::from(FLOOR_EVERY - self.skips)
    }
}
