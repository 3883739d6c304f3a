//! Queue of the requests that wait at an agent for a slot of its backend server.
//!
//! The order matters when many clients reconnect at once, for example within half a second after a
//! power failure, while backend servers are cold. First come, first served would then answer every
//! request late, also those that arrive when the server could answer at once. Requests whose answer
//! can still meet its objective therefore go first. The others use the slots that remain, the one
//! with the least time left first.
//!
//! The opening itself does not wait. The server accepts it at once, and the agent holds the
//! client's first request. A client abandons an opening after 1.4 s and sends a new one, which
//! would be taken for the newest and delay the others. Once it has sent its request, a client waits
//! for the answer until its deadline.

mod contended;
mod floor;
mod rank;
mod refusal;

use std::collections::VecDeque;

use contended::Contended;

use super::flow::{DATA_WINDOW, Flow, Head, follows};
use super::message::Demand;
use super::policy::{Mechanism, Policy};
use crate::clock::Time;

pub use floor::FLOOR_EVERY;
pub use rank::{Capacity, Timeliness};

/// Time that limits the queue under a lasting overload, in milliseconds. The queue keeps as many
/// requests as the slots can serve within it. Most of the objective is then left for the answer.
const OVERLOAD_WAIT_MS: u64 = 100;

/// Longest overload that is expected to end by itself, in milliseconds. Where callers compete for
/// room, the objective of a late request is used instead.
const SHORT_OVERLOAD_MS: u64 = 300;

/// Time that the queue waits for the first request on an accepted opening, in milliseconds. The
/// request normally follows within one round trip.
const FIRST_REQUEST_TIMEOUT_MS: u64 = 300;

/// Longest overload that counts as a burst, in milliseconds. By then all clients of a deployment
/// that lost power have reconnected, and warm servers have served the requests that arrived at
/// once.
const BURST_MS: u64 = 4_000;

/// Longest time for which a client may wait in vain, in percent of the deadline. A server that
/// needs longer for its next answer counts as too slow: it serves so few requests that telling all
/// others at once helps more callers than it harms.
const SILENCE_PERCENT: u64 = 25;

/// A flow whose first request waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The flow.
    pub flow: Flow,
    /// When its opening first reached a balancer.
    pub since: Time,
    /// When the opening was forwarded to the server.
    pub opened: Time,
    /// Objective, deadline and urgency of its requests; both times count from `since`.
    pub demand: Demand,
    /// Whether its client was refused before for lack of room, and now retries.
    pub is_retry: bool,
    /// The request, once it has arrived.
    pub request: Option<Head>,
}

impl Waiting {
    /// Returns whether it should leave the queue: its request has not arrived in time, or an answer
    /// that takes `answer_ms` would miss the deadline.
    fn is_expired(&self, now: Time, answer_ms: u64) -> bool {
        match self.request {
            Some(_) => now.since(self.since) + answer_ms > u64::from(self.demand.deadline_ms),
            None => now.since(self.opened) > FIRST_REQUEST_TIMEOUT_MS,
        }
    }

    /// Returns whether the server is too slow to answer before the deadline, even if this request
    /// goes next and is answered after `earliest_ms`.
    #[must_use]
    pub fn is_unanswerable(&self, now: Time, earliest_ms: u64) -> bool {
        earliest_ms >= self.longest_silence_ms() && self.left_ms(now) < earliest_ms
    }

    /// Returns whether its client would wait for long if it got no answer until its deadline.
    #[must_use]
    pub fn has_long_left(&self, now: Time) -> bool {
        self.left_ms(now) >= self.longest_silence_ms()
    }

    const fn longest_silence_ms(&self) -> u64 {
        self.demand.deadline_ms as u64 * SILENCE_PERCENT / 100
    }

    /// Returns whether an answer that takes `answer_ms` still meets the objective.
    fn is_in_time(&self, now: Time, answer_ms: u64) -> bool {
        now.since(self.since) + answer_ms <= u64::from(self.demand.objective_ms)
    }

    /// Returns the time at which its objective ends.
    const fn due(&self) -> Time {
        self.since.after(self.demand.objective_ms as u64)
    }

    /// Returns the time until its deadline, in milliseconds.
    #[must_use]
    pub fn left_ms(&self, now: Time) -> u64 {
        u64::from(self.demand.deadline_ms).saturating_sub(now.since(self.since))
    }
}

/// Waiting flows in order of their arrival.
#[derive(Debug)]
pub struct Queue {
    newest_first: bool,
    turns_away: bool,
    flows: VecDeque<Waiting>,
    /// Since when more requests arrive than can be served.
    overloaded_since: Option<Time>,
    /// Longest overload that counts as short, in milliseconds.
    short_overload_ms: u64,
    /// State for the order by urgency and share; `None` where callers do not compete for room.
    contended: Option<Contended>,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn open(policy: &Policy) -> Self {
        Self {
            newest_first: policy.uses(Mechanism::NewestFirst),
            turns_away: policy.uses(Mechanism::TurningAway),
            flows: VecDeque::new(),
            overloaded_since: None,
            short_overload_ms: SHORT_OVERLOAD_MS,
            contended: Contended::open(policy),
        }
    }

    /// Inserts a flow in order of arrival. A flow that waited elsewhere before is not put last,
    /// because it would then be taken for the newest.
    pub fn push(&mut self, waiting: Waiting) {
        if self.flows.is_empty() {
            self.overloaded_since = None;
        }
        let is_before = |other: &&Waiting| other.since > waiting.since;
        let newer = self.flows.iter().rev().take_while(is_before).count();
        self.flows.insert(self.flows.len() - newer, waiting);
    }

    /// Records a packet of a flow's request, or returns false if the flow does not wait here. Of
    /// several packets, it keeps the one with the latest data.
    pub fn record_request(&mut self, head: &Head) -> bool {
        let waiting = self.flows.iter_mut().find(|waiting| waiting.flow == head.flow);
        let Some(waiting) = waiting else {
            return false;
        };
        let is_before = |known: Head| follows(known.next_seq(), head.next_seq(), DATA_WINDOW);
        if !waiting.request.is_some_and(is_before) {
            waiting.request = Some(*head);
        }
        true
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: &Flow) {
        self.flows.retain(|waiting| waiting.flow != *flow);
    }

    /// Removes and returns the request that goes next. `answer_ms` is the time within which nearly
    /// every request is answered.
    ///
    /// During a short overload, which every service at high load has at times, the oldest request
    /// goes first that meets its objective if it is answered within `answer_ms`. Newest first would
    /// make some requests late without need. During a longer overload, the newest request goes
    /// first, because first come, first served would answer every request just before its
    /// objective, or late. Next comes the newest request whose objective has not ended, since most
    /// answers take less than `answer_ms`.
    ///
    /// Requests that are late in any case go last, the oldest first. Guards against clients that
    /// wait until their deadline without an answer: a request that is sent again after its flow was
    /// lost would stay behind all newer ones for as long as a backlog lasts. A late answer is worth
    /// the same at any time before the deadline, and the oldest request has the least time left.
    pub fn pop(&mut self, now: Time, answer_ms: u64) -> Option<(Waiting, Head)> {
        let has_request = |waiting: &Waiting| waiting.request.is_some();
        let in_time =
            |waiting: &Waiting| has_request(waiting) && waiting.is_in_time(now, answer_ms);
        let may_be_in_time = |waiting: &Waiting| has_request(waiting) && waiting.is_in_time(now, 0);
        let oldest_first = self.is_short_overload(now) || !self.newest_first;
        let timely = if oldest_first { self.flows.iter().position(in_time) } else { None };
        let possible = || self.flows.iter().rposition(may_be_in_time);
        let late = || self.flows.iter().position(has_request);
        let next = timely.or_else(possible).or_else(late)?;
        let waiting = self.flows.remove(next)?;
        let request = waiting.request?;
        Some((waiting, request))
    }

    /// Removes and returns the flows whose request has not arrived in time, or whose answer would
    /// miss the deadline if it takes `answer_ms`.
    pub fn take_expired(&mut self, now: Time, answer_ms: u64) -> Vec<Waiting> {
        let is_expired = |waiting: &Waiting| waiting.is_expired(now, answer_ms);
        let mut expired = VecDeque::new();
        // This runs with every packet, so the queue is rebuilt only when a flow leaves it.
        if self.flows.iter().any(is_expired) {
            (expired, self.flows) = self.flows.drain(..).partition(is_expired);
        }
        self.update_overload(now, answer_ms);
        expired.into()
    }

    /// Removes and returns the requests that the server is too slow to answer before their deadline,
    /// given the time until the answer to the request that goes next.
    pub fn take_unanswerable(&mut self, now: Time, earliest_ms: u64) -> Vec<Waiting> {
        let is_unanswerable = |waiting: &Waiting| {
            waiting.request.is_some() && waiting.is_unanswerable(now, earliest_ms)
        };
        let mut unanswerable = VecDeque::new();
        if self.flows.iter().any(is_unanswerable) {
            (unanswerable, self.flows) = self.flows.drain(..).partition(is_unanswerable);
        }
        unanswerable.into()
    }

    /// Removes and returns the oldest requests beyond what the slots can serve, once an overload
    /// lasts longer than a burst.
    ///
    /// During a burst it removes none. A refused client retries at once, so hundreds of clients
    /// would use up their attempts within a second while servers still work on the burst.
    pub fn take_excess(&mut self, now: Time, slots: u64, request_us: u64) -> Vec<Waiting> {
        let is_burst = self.overloaded_since.is_none_or(|since| now.since(since) <= BURST_MS);
        if is_burst || !self.turns_away {
            return Vec::new();
        }
        let room = slots * OVERLOAD_WAIT_MS * 1_000 / request_us.max(1);
        let room = usize::try_from(room.max(slots)).unwrap_or(usize::MAX);
        let excess = self.flows.len().saturating_sub(room);
        self.flows.drain(..excess).collect()
    }

    /// Removes and returns the flows whose request has arrived.
    pub fn take_requests(&mut self) -> Vec<Waiting> {
        let has_request = |waiting: &Waiting| waiting.request.is_some();
        let (requests, others): (VecDeque<_>, _) = self.flows.drain(..).partition(has_request);
        self.flows = others;
        requests.into()
    }

    /// Removes and returns all flows.
    pub fn take_all(&mut self) -> Vec<Waiting> {
        self.flows.drain(..).collect()
    }

    /// Returns the number of flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether no flow waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns whether there is no overload, or only one that may end by itself.
    fn is_short_overload(&self, now: Time) -> bool {
        self.overloaded_since.is_none_or(|since| now.since(since) <= self.short_overload_ms)
    }

    /// Records the start of an overload, which is when the oldest request is late. It ends when a
    /// flow is added to an empty queue.
    fn update_overload(&mut self, now: Time, answer_ms: u64) {
        if self.is_contended() {
            self.update_contended_overload(now, answer_ms);
            return;
        }
        if self.flows.front().is_some_and(|oldest| !oldest.is_in_time(now, answer_ms)) {
            self.overloaded_since.get_or_insert(now);
        }
    }
}
