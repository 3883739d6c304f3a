//! Admission control for one backend server: a concurrency limit and a queue that admits only
//! requests that can finish before their deadline.

use std::collections::{BTreeMap, VecDeque};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::retry;

/// Identifies a request at one agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id(pub u64);

/// Why a request was refused. A refused request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The queue is full, or the request could not finish before its deadline.
    Busy,
    /// The request can no longer finish before its deadline.
    Late,
    /// The backend server is not available.
    Unavailable,
}

/// A decision of the gate about one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// Send it to the backend server now.
    Start(Id),
    /// Refuse it without running it; the caller may retry after this number of milliseconds.
    Refuse(Id, Reason, u64),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    id: Id,
    arrived: Time,
    deadline: Time,
}

/// Counts the requests in progress at the backend server and decides which requests start, wait
/// or are refused.
#[derive(Debug)]
pub struct Gate {
    slots: u32,
    limit_percent: u64,
    ramp_percent: u64,
    running: BTreeMap<Id, Time>,
    queue: VecDeque<Waiting>,
    service: Estimate,
    rng: SmallRng,
}

impl Gate {
    /// Maximum number of queued requests per request that may be in progress.
    const QUEUE_PER_SLOT: usize = 16;
    /// Lower bound of the limit, in percent of the slots.
    const MIN_PERCENT: u64 = 10;
    /// Growth of the limit per request that the backend server did not shed, in percent of the
    /// slots.
    const GROWTH_PERCENT: u64 = 1;

    /// Creates the gate of a backend server with `slots` slots.
    #[must_use]
    pub fn open(slots: u32, seed: u64) -> Self {
        Self {
            slots: slots.max(1),
            limit_percent: 100,
            ramp_percent: 100,
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            service: Estimate::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the share of the slots that a warming backend server may use.
    pub const fn ramp(&mut self, percent: u64) {
        self.ramp_percent = percent;
    }

    /// Number of requests in progress.
    #[must_use]
    pub fn busy(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Number of requests waiting in the queue.
    #[must_use]
    pub fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Number of requests that may be in progress now: at least one, at most the number of slots.
    #[must_use]
    pub fn limit(&self) -> usize {
        let percent = self.limit_percent.min(self.ramp_percent);
        let limit = (u64::from(self.slots) * percent / 100).max(1);
        usize::try_from(limit).unwrap_or(usize::MAX)
    }

    /// Handles a new request: returns a decision, or `None` if the request was queued.
    pub fn arrive(&mut self, now: Time, id: Id, deadline: Time) -> Option<Decision> {
        if self.queue.is_empty() && self.running.len() < self.limit() {
            self.start(now, id);
            return Some(Decision::Start(id));
        }
        let has_room = self.queue.len() < self.limit() * Self::QUEUE_PER_SLOT;
        if !has_room || self.expected_end(now, self.queue.len()) > deadline {
            return Some(self.refuse(id, Reason::Busy));
        }
        self.queue.push_back(Waiting { id, arrived: now, deadline });
        None
    }

    /// Handles the end of a started request; `shed` states whether the backend server rejected it.
    ///
    /// A shed request halves the limit, any other one raises it by a constant step.
    pub fn finish(&mut self, now: Time, id: Id, shed: bool) -> Vec<Decision> {
        let Some(started) = self.running.remove(&id) else {
            return Vec::new();
        };
        if shed {
            self.limit_percent = (self.limit_percent / 2).max(Self::MIN_PERCENT);
        } else {
            self.limit_percent = (self.limit_percent + Self::GROWTH_PERCENT).min(100);
            self.service.add(now.since(started));
        }
        self.start_waiting(now)
    }

    /// Handles a request that its caller cancelled: frees its slot or its place in the queue.
    pub fn cancel(&mut self, now: Time, id: Id) -> Vec<Decision> {
        self.queue.retain(|waiting| waiting.id != id);
        self.running.remove(&id);
        self.start_waiting(now)
    }

    /// Refuses queued requests that can no longer finish in time and starts those that fit.
    pub fn tick(&mut self, now: Time) -> Vec<Decision> {
        self.start_waiting(now)
    }

    /// Returns the arrival time of the oldest queued request.
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

    fn start_waiting(&mut self, now: Time) -> Vec<Decision> {
        let mut decisions = self.refuse_late(now);
        while self.running.len() < self.limit() {
            let Some(waiting) = self.queue.pop_front() else {
                break;
            };
            self.start(now, waiting.id);
            decisions.push(Decision::Start(waiting.id));
        }
        decisions
    }

    /// Refuses queued requests that can no longer finish before their deadline, so that their
    /// callers are answered now and not when the deadline passes.
    fn refuse_late(&mut self, now: Time) -> Vec<Decision> {
        let service_ms = self.service.upper_us() / 1_000;
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
        now.after((self.wait_us(ahead) + self.service.upper_us()) / 1_000)
    }
}

/// Estimate of the service time: smoothed mean and deviation in microseconds, weighted like the
/// round-trip time of TCP (RFC 6298, section 2).
#[derive(Debug)]
pub(crate) struct Estimate {
    mean_us: u64,
    deviation_us: u64,
}

impl Default for Estimate {
    fn default() -> Self {
        Self { mean_us: Self::FIRST_MEAN_US, deviation_us: 0 }
    }
}

impl Estimate {
    /// Mean before the first sample.
    const FIRST_MEAN_US: u64 = 20_000;
    /// A sample has a weight of one eighth in the mean.
    const MEAN_SHIFT: u32 = 3;
    /// A sample has a weight of one quarter in the deviation.
    const DEVIATION_SHIFT: u32 = 2;

    /// Returns the time within which nearly every request is done.
    ///
    /// The mean alone is too short: of the requests that start with only the mean left before
    /// their deadline, half miss it and waste their slot.
    pub(crate) const fn upper_us(&self) -> u64 {
        self.mean_us + 2 * self.deviation_us
    }

    /// Returns the mean service time.
    pub(crate) const fn mean_us(&self) -> u64 {
        self.mean_us
    }

    /// Adds the service time of one request.
    pub(crate) fn add(&mut self, sample_ms: u64) {
        let sample_us = sample_ms * 1_000;
        let difference_us = sample_us.abs_diff(self.mean_us);
        self.deviation_us = smooth(self.deviation_us, difference_us, Self::DEVIATION_SHIFT);
        self.mean_us = smooth(self.mean_us, sample_us, Self::MEAN_SHIFT);
    }
}

const fn smooth(old: u64, sample: u64, shift: u32) -> u64 {
    old - (old >> shift) + (sample >> shift)
}
