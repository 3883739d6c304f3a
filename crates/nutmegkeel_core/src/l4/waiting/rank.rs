//! Rank of a waiting request, where callers compete for room.

use super::Waiting;
use crate::clock::Time;
use crate::l4::route::Urgency;
use crate::l4::share::Standing;

/// Number of slots of the backend server, how many requests it has, and its service times.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Number of requests that the server works on at once.
    pub slots: u64,
    /// Number of requests in progress at the server.
    pub at_server: u64,
    /// Mean time for which a request occupies a slot, in microseconds.
    pub mean_us: u64,
    /// Time within which nearly every request is done, in microseconds.
    pub most_us: u64,
}

impl Capacity {
    /// Returns the time until the server starts on a request with `ahead` others before it in the
    /// queue, in milliseconds.
    #[must_use]
    pub fn start_ms(&self, ahead: usize) -> u64 {
        let at_server = (self.at_server + 1).saturating_sub(self.slots.max(1));
        let ahead = u64::try_from(ahead).unwrap_or(u64::MAX).saturating_add(at_server);
        ahead.saturating_mul(self.mean_us) / self.slots.max(1) / 1_000
    }

    /// Returns the time until the answer to a request that goes next, in milliseconds, if each takes
    /// the mean time.
    #[must_use]
    pub fn earliest_ms(&self) -> u64 {
        self.start_ms(0).saturating_add(self.answer_ms())
    }

    /// Returns the mean time of an answer, in milliseconds.
    #[must_use]
    pub const fn answer_ms(&self) -> u64 {
        self.mean_us / 1_000
    }

    /// Returns the time within which nearly every answer is done, in milliseconds.
    #[must_use]
    pub const fn most_ms(&self) -> u64 {
        self.most_us / 1_000
    }
}

/// Whether the answer to a request can be in time if it goes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// It is in time even if it takes as long as nearly every answer does.
    InTime,
    /// It may be late, and there is no answer before the deadline if the request does not go now.
    LastChance,
    /// It is in time if it takes less than nearly every answer does.
    Possible,
    /// It is late in any case.
    Late,
}

impl Timeliness {
    /// Returns the timeliness at `now` of a request that waits.
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

    /// Returns the group that is ranked before urgency.
    ///
    /// Guards against urgent requests that reach their deadline behind less urgent ones. A request
    /// with its last chance is in the same group as those that can be in time, so that urgency
    /// decides between them.
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

/// Part of the rank that comes before the caller's standing; lower values go first.
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

    /// Returns whether the newest request of the class may go first. Only requests that can still
    /// be in time gain by it.
    pub(super) const fn may_reverse(&self) -> bool {
        matches!(self.timeliness, Timeliness::InTime | Timeliness::Possible)
    }
}

/// Rank of a request; lower values go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) class: Class,
    pub(super) standing: Standing,
    pub(super) order: u64,
}
