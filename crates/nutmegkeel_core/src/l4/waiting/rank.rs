//! The order in which requests that wait go on, where callers compete for room.

use super::Waiting;
use crate::clock::Time;
use crate::l4::route::Urgency;
use crate::l4::share::Standing;

/// What the slots of the backend server can do.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Requests that the server works on at once.
    pub slots: u64,
    /// Requests that it has.
    pub at_server: u64,
    /// Time for which a request takes a slot, on the mean, in microseconds.
    pub mean_us: u64,
    /// Time within which nearly every request is done, in microseconds.
    pub most_us: u64,
}

impl Capacity {
    /// Time until the server begins with a request that goes behind `ahead` others from here, in
    /// milliseconds.
    #[must_use]
    pub fn start_ms(&self, ahead: usize) -> u64 {
        let at_server = (self.at_server + 1).saturating_sub(self.slots.max(1));
        let ahead = u64::try_from(ahead).unwrap_or(u64::MAX).saturating_add(at_server);
        ahead.saturating_mul(self.mean_us) / self.slots.max(1) / 1_000
    }

    /// Time of an answer on the mean, in milliseconds.
    #[must_use]
    pub const fn answer_ms(&self) -> u64 {
        self.mean_us / 1_000
    }

    /// Time of nearly every answer, in milliseconds.
    #[must_use]
    pub const fn most_ms(&self) -> u64 {
        self.most_us / 1_000
    }
}

/// Whether the answer to a request can be in time if it goes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// It is, even if it takes as long as nearly every answer.
    InTime,
    /// It is not, and if the request does not go now, there will be no answer at all.
    LastChance,
    /// It may be.
    Possible,
    /// It is late in any case.
    Late,
}

impl Timeliness {
    /// How a request that has waited until `now` stands.
    #[must_use]
    pub fn of(now: Time, waiting: &Waiting, capacity: &Capacity) -> Self {
        let most_ms = capacity.start_ms(0) + capacity.most_ms();
        if waiting.is_in_time(now, most_ms) {
            Self::InTime
        } else if waiting.left_ms(now) <= most_ms + capacity.answer_ms() {
            Self::LastChance
        } else if waiting.is_in_time(now, 0) {
            Self::Possible
        } else {
            Self::Late
        }
    }

    /// Guards against urgent requests that reach their deadline behind less urgent ones: the last chance
    /// is grouped with what can be in time, and there urgency decides.
    const fn group(self) -> Group {
        match self {
            Self::InTime | Self::LastChance => Group::Now,
            Self::Possible => Group::Soon,
            Self::Late => Group::Leftover,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Now,
    Soon,
    Leftover,
}

/// What comes before the share of the caller; those that compare as less go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Class {
    group: Group,
    pub(super) urgency: Urgency,
    timeliness: Timeliness,
}

impl Class {
    pub(super) const fn new(urgency: Urgency, timeliness: Timeliness) -> Self {
        Self { group: timeliness.group(), urgency, timeliness }
    }

    /// Whether the one that came last goes first: only what can still be in time gains by it.
    pub(super) const fn may_reverse(&self) -> bool {
        matches!(self.timeliness, Timeliness::InTime | Timeliness::Possible)
    }
}

/// The whole order; those that compare as less go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) class: Class,
    pub(super) standing: Standing,
    pub(super) turn: u64,
}
