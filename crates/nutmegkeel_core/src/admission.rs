//! Limits of one backend server: slots, open flows, and a queue that admits only what can finish.

use std::collections::{BTreeMap, VecDeque};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::retry;

/// Number of a request at one agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id(pub u64);

/// Why a request was refused. None of these has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The queue is full, or the request could not finish before its deadline.
    Busy,
    /// Its deadline passed while it waited.
    Late,
    /// The backend server is leaving or not there.
    Unavailable,
}

/// What the gate decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// Send it to the backend server now.
    Start(Id),
    /// Final answer: not run, ask again after so many milliseconds.
    Refuse(Id, Reason, u64),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    id: Id,
    arrived: Time,
    deadline: Time,
}

/// Counts what was sent to the backend server and decides what starts, waits or is refused.
#[derive(Debug)]
pub struct Gate {
    slots: u32,
    limit_percent: u64,
    ramp_percent: u64,
    running: BTreeMap<Id, Time>,
    queue: VecDeque<Waiting>,
    service: Pace,
    rng: SmallRng,
}

impl Gate {
    /// A queue holds at most so many requests per slot.
    const QUEUE_PER_SLOT: usize = 16;
    /// The limit never falls below this share of the slots.
    const LEAST_PERCENT: u64 = 10;
    /// Growth of the limit with each answer that was not shed.
    const GROW_PERCENT: u64 = 1;

    /// A gate before a backend server with `slots` slots.
    #[must_use]
    pub fn open(slots: u32, seed: u64) -> Self {
        Self {
            slots: slots.max(1),
            limit_percent: 100,
            ramp_percent: 100,
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            service: Pace::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the share of the slots that a warming backend server may use.
    pub const fn ramp(&mut self, percent: u64) {
        self.ramp_percent = percent;
    }

    /// Requests in progress.
    #[must_use]
    pub fn busy(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Requests waiting.
    #[must_use]
    pub fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Requests that may be in progress now; at least one, at most the slots.
    #[must_use]
    pub fn limit(&self) -> usize {
        let percent = self.limit_percent.min(self.ramp_percent);
        let limit = (u64::from(self.slots) * percent / 100).max(1);
        usize::try_from(limit).unwrap_or(usize::MAX)
    }

    /// A request arrives. Decides at once, or returns nothing while the request waits.
    pub fn arrive(&mut self, now: Time, id: Id, deadline: Time) -> Option<Decision> {
        if self.queue.is_empty() && self.running.len() < self.limit() {
            self.start(now, id);
            return Some(Decision::Start(id));
        }
        let room = self.queue.len() < self.limit() * Self::QUEUE_PER_SLOT;
        if !room || self.expected_end(now, self.queue.len()) > deadline {
            return Some(self.refuse(id, Reason::Busy));
        }
        self.queue.push_back(Waiting { id, arrived: now, deadline });
        None
    }

    /// A request that started is over. `shed` says that the backend server turned it away.
    pub fn finish(&mut self, now: Time, id: Id, shed: bool) -> Vec<Decision> {
        let Some(started) = self.running.remove(&id) else {
            return Vec::new();
        };
        if shed {
            self.limit_percent = (self.limit_percent / 2).max(Self::LEAST_PERCENT);
        } else {
            self.limit_percent = (self.limit_percent + Self::GROW_PERCENT).min(100);
            self.service.learn(now.since(started));
        }
        self.pull(now)
    }

    /// The caller gave up: frees the slot or the place in the queue.
    pub fn cancel(&mut self, now: Time, id: Id) -> Vec<Decision> {
        self.queue.retain(|waiting| waiting.id != id);
        self.running.remove(&id);
        self.pull(now)
    }

    /// Refuses what waits and can no longer finish in time, and starts what can.
    pub fn tick(&mut self, now: Time) -> Vec<Decision> {
        self.pull(now)
    }

    /// Time of arrival of the request that has waited longest.
    #[must_use]
    pub fn oldest(&self) -> Option<Time> {
        self.queue.front().map(|waiting| waiting.arrived)
    }

    fn start(&mut self, now: Time, id: Id) {
        self.running.insert(id, now);
        assert!(
            self.running.len() <= self.slots as usize,
            "admission: {} requests in progress at {} slots",
            self.running.len(),
            self.slots
        );
    }

    fn pull(&mut self, now: Time) -> Vec<Decision> {
        let mut decisions = self.give_up_late(now);
        while self.running.len() < self.limit() {
            let Some(waiting) = self.queue.pop_front() else {
                break;
            };
            self.start(now, waiting.id);
            decisions.push(Decision::Start(waiting.id));
        }
        decisions
    }

    /// A request that cannot finish any more gets its final answer now, not at its deadline.
    fn give_up_late(&mut self, now: Time) -> Vec<Decision> {
        let service_ms = self.service.most_us() / 1_000;
        let (late, waiting): (VecDeque<_>, VecDeque<_>) =
            self.queue.drain(..).partition(|waiting| now.after(service_ms) > waiting.deadline);
        self.queue = waiting;
        late.into_iter().map(|waiting| self.refuse(waiting.id, Reason::Late)).collect()
    }

    fn refuse(&mut self, id: Id, reason: Reason) -> Decision {
        let wait_ms = self.wait_us(self.queue.len()) / 1_000;
        Decision::Refuse(id, reason, retry::pause(&mut self.rng, wait_ms))
    }

    fn wait_us(&self, ahead: usize) -> u64 {
        let turns = (ahead as u64 + 1).div_ceil(self.limit() as u64);
        turns * self.service.mean_us
    }

    fn expected_end(&self, now: Time, ahead: usize) -> Time {
        now.after((self.wait_us(ahead) + self.service.most_us()) / 1_000)
    }
}

/// Smoothed service time and its smoothed deviation, in microseconds, weighted as TCP weights its
/// round trips (RFC 6298, section 2).
#[derive(Debug)]
pub(crate) struct Pace {
    mean_us: u64,
    deviation_us: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self { mean_us: Self::FIRST_MEAN_US, deviation_us: 0 }
    }
}

impl Pace {
    /// First guess of the service time.
    const FIRST_MEAN_US: u64 = 20_000;
    /// Weight of the newest sample in the mean: one eighth.
    const MEAN_SHIFT: u32 = 3;
    /// Weight of the newest sample in the deviation: one quarter.
    const DEVIATION_SHIFT: u32 = 2;

    /// A time within which nearly every request is done. The mean alone is not enough: of the
    /// requests that start with just the mean left, half miss their deadline and waste their slot.
    pub(crate) const fn most_us(&self) -> u64 {
        self.mean_us + 2 * self.deviation_us
    }

    /// The time of a request, on the mean.
    pub(crate) const fn mean_us(&self) -> u64 {
        self.mean_us
    }

    pub(crate) fn learn(&mut self, sample_ms: u64) {
        let sample_us = sample_ms * 1_000;
        let off_us = sample_us.abs_diff(self.mean_us);
        self.deviation_us = smooth(self.deviation_us, off_us, Self::DEVIATION_SHIFT);
        self.mean_us = smooth(self.mean_us, sample_us, Self::MEAN_SHIFT);
    }
}

const fn smooth(old: u64, sample: u64, shift: u32) -> u64 {
    old - (old >> shift) + (sample >> shift)
}
