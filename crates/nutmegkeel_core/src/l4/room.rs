//! Estimates how many more requests a service can accept, from the last reports of its agents.
//!
//! Under overload, requests exceed the slots of a service. Without an estimate, openings wait or
//! are refused at the few agents that they are offered to while other servers are idle, and
//! requests that no server can answer before their deadline use the time of those that could be
//! answered.

mod congestion;
mod retries;

pub use congestion::{CONGESTION_TOLERANCE_MS, Congestion, Shortage};
pub use retries::{MAX_CALLERS, RETENTION_MS, Retries};

use super::health::{ANNOUNCE_MS, SUMMARY_MS};

/// Age up to which a report shows room, in milliseconds: one announcement interval, one summary
/// interval and some delay.
pub const MAX_REPORT_AGE_MS: u64 = ANNOUNCE_MS + SUMMARY_MS + 100;

/// Longest plausible service time, in milliseconds. No request has a longer deadline.
const MAX_SERVICE_MS: u64 = 10_000;

/// Last reported state of one backend server that may accept a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests that it processes at once; fewer than its slots while it is cold.
    pub slots: u16,
    /// Requests in progress and waiting, as reported.
    pub busy: u16,
    /// Openings sent to it since the report.
    pub placed: u16,
    /// Time that a slot works on a request, in milliseconds; zero if it is not known.
    pub service_ms: u16,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// Maximum number of openings while it is cold or slow; `None` if there is no such limit.
    pub bound: Option<u32>,
}

/// Share of the requests waiting at a server that are served before a request because they are more
/// urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Degrees of urgency above that of the request among the routes of the service.
    pub above: u64,
    /// All degrees of urgency among them; at least one.
    pub degrees: u64,
}

impl Rank {
    /// Rank of a request that no other is served before.
    pub const FIRST: Self = Self { above: 0, degrees: 1 };
}

impl Occupancy {
    /// Returns whether the report is recent enough to show room.
    #[must_use]
    pub const fn is_recent(&self) -> bool {
        self.age_ms <= MAX_REPORT_AGE_MS
    }

    /// Returns the number of slots known to be free. An old report shows none; otherwise all
    /// balancers would use it long after the server filled up.
    #[must_use]
    pub fn free(&self) -> u32 {
        if !self.is_recent() {
            return 0;
        }
        let taken = u32::from(self.busy) + u32::from(self.placed);
        let free = u32::from(self.slots).saturating_sub(taken);
        self.bound.map_or(free, |bound| free.min(bound))
    }

    /// Returns the minimum time until one more request is answered, in milliseconds, in any order
    /// of service: the requests in progress and the share of waiting requests that is more urgent.
    /// Zero if it is not known.
    ///
    /// Agents first serve requests that can be answered in time, the newest of them first. Other
    /// waiting requests are therefore no reason to refuse a new one. For an old report, the work
    /// that may have been done since is subtracted.
    #[must_use]
    pub fn least_ms(&self, rank: Rank) -> u64 {
        let Some(service_ms) = self.service_ms() else {
            return 0;
        };
        let (slots, busy) = (u64::from(self.slots.max(1)), u64::from(self.busy));
        let at_work = busy.min(slots);
        let before = (busy - at_work) * rank.above / rank.degrees.max(1);
        let done = slots * self.age_ms / service_ms;
        (at_work + before).saturating_sub(done) / slots * service_ms
    }

    /// Returns the work beyond its slots, in milliseconds of one slot.
    fn backlog_ms(&self) -> u64 {
        let taken = u64::from(self.busy) + u64::from(self.placed);
        taken.saturating_sub(u64::from(self.slots)) * self.service_ms().unwrap_or_default()
    }

    /// Returns the service time if it is known and plausible. Servers that report hours would
    /// otherwise cause all openings to be refused.
    fn service_ms(&self) -> Option<u64> {
        let service_ms = u64::from(self.service_ms);
        (1..=MAX_SERVICE_MS).contains(&service_ms).then_some(service_ms)
    }
}

/// Combined room of several backend servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Number of servers that accept new flows.
    pub servers: u32,
    /// Number of those servers whose report is too old to show room.
    pub doubtful: u32,
    /// Number of slots of the servers.
    pub slots: u32,
    /// Number of slots known to be free.
    pub free: u32,
    backlog_ms: u64,
}

impl Room {
    /// Adds a server.
    pub fn add(&mut self, occupancy: &Occupancy) {
        self.servers += 1;
        self.doubtful += u32::from(!occupancy.is_recent());
        self.slots += u32::from(occupancy.slots);
        self.free += occupancy.free();
        self.backlog_ms += occupancy.backlog_ms();
    }

    /// Returns the expected time until a slot becomes free for one more request in first-come,
    /// first-served order, in milliseconds; zero if one is free or the service time is not known.
    #[must_use]
    pub fn wait_ms(&self) -> u64 {
        if self.free > 0 { 0 } else { self.backlog_ms / u64::from(self.slots.max(1)) }
    }
}
