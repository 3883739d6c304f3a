//! How much more a service can take, reckoned from what its agents last said.
//!
//! The load pattern: a crowd asks for more than all slots can do. Openings wait or are refused at the few
//! agents that they were offered to while servers elsewhere are idle; and what cannot be answered within its
//! deadline anywhere takes the time of requests that can.

mod crowd;
mod returns;

pub use crowd::{CROWD_MS, Crowds, Shortage};
pub use returns::{REMEMBERED, REMEMBERED_MS, Returns};

use super::health::{ANNOUNCE_MS, SUMMARY_MS};

/// A report older than this shows no room, in milliseconds: one announcement and one summary with some delay.
pub const BELIEVED_MS: u64 = ANNOUNCE_MS + SUMMARY_MS + 100;

/// A longer time of service is not believed, in milliseconds: no request has more time.
const LONGEST_SERVICE_MS: u64 = 10_000;

/// What is known of one backend server that may take a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// Requests that it works on at once; less than it has while it is cold.
    pub slots: u16,
    /// Requests in progress and waiting, as reported.
    pub busy: u16,
    /// Openings that were sent there since.
    pub placed: u16,
    /// How long a slot works on a request, in milliseconds; zero while that is not known.
    pub service_ms: u16,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// Openings that it may be given because it is cold or slow; none where nothing bounds them.
    pub bound: Option<u32>,
}

/// How much of what waits at a server goes before a request, because it is more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Degrees of urgency among the routes of the service that are above the request's.
    pub above: u64,
    /// All degrees among them; one at least.
    pub degrees: u64,
}

impl Rank {
    /// Of a request that nothing goes before.
    pub const FIRST: Self = Self { above: 0, degrees: 1 };
}

impl Known {
    /// Whether its report is recent enough to show room.
    #[must_use]
    pub const fn is_believed(&self) -> bool {
        self.age_ms <= BELIEVED_MS
    }

    /// Slots believed free. A report that is old shows none, or all balancers would go by it long after the
    /// server filled up.
    #[must_use]
    pub fn free(&self) -> u32 {
        if !self.is_believed() {
            return 0;
        }
        let taken = u32::from(self.busy) + u32::from(self.placed);
        let free = u32::from(self.slots).saturating_sub(taken);
        self.bound.map_or(free, |bound| free.min(bound))
    }

    /// Time until an answer to one more request, in milliseconds, which no order of service shortens: what
    /// the slots work on, and the part of what waits that goes before it. Zero where it is not known.
    ///
    /// Agents serve first what can be in time, and the newest of it, so what else waits is no reason to
    /// refuse a new request. A stale report counts with the work that may have been done since.
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

    /// Work that it has beyond its slots, in milliseconds of one slot.
    fn backlog_ms(&self) -> u64 {
        let taken = u64::from(self.busy) + u64::from(self.placed);
        taken.saturating_sub(u64::from(self.slots)) * self.service_ms().unwrap_or_default()
    }

    /// Guards against a server that says hours and, with others like it, would have everybody refused.
    fn service_ms(&self) -> Option<u64> {
        let service_ms = u64::from(self.service_ms);
        (1..=LONGEST_SERVICE_MS).contains(&service_ms).then_some(service_ms)
    }
}

/// Room of several backend servers of a service together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Servers that take new flows.
    pub servers: u32,
    /// Those among them whose report is too old to show room.
    pub doubtful: u32,
    /// Their slots.
    pub slots: u32,
    /// Slots believed free.
    pub free: u32,
    backlog_ms: u64,
}

impl Room {
    /// Adds a server.
    pub fn add(&mut self, known: &Known) {
        self.servers += 1;
        self.doubtful += u32::from(!known.is_believed());
        self.slots += u32::from(known.slots);
        self.free += known.free();
        self.backlog_ms += known.backlog_ms();
    }

    /// Expected time until a slot comes free for one more request if the first come is the first served, in
    /// milliseconds; zero while one is free, and while the time of service is not known.
    #[must_use]
    pub fn wait_ms(&self) -> u64 {
        if self.free > 0 { 0 } else { self.backlog_ms / u64::from(self.slots.max(1)) }
    }
}
