//! Requests that wait at an agent for a slot of its backend server.
//!
//! The load pattern: after a loss of power all clients come back within half a second, while backend
//! servers are cold. First come, first served would answer every one of them late, those too that
//! come when the server could answer at once. So those go first whose
//! answer can still be within its objective, and the others follow in the slots that these leave, the one
//! with the least time first.
//!
//! The opening itself does not wait: the server accepts it at once, and the client's first request is
//! what the agent keeps. A client gives an opening up after 1.4 s and comes back with a new one, which
//! would pass for the newest and put the others behind it; a request it waits for as long as it can.

mod contended;
mod floor;
mod rank;
mod refusal;

use std::collections::VecDeque;

use contended::Contended;

use super::flow::{DATA_REACH, Flow, Head, follows};
use super::message::Demand;
use super::policy::{Mechanism, Policy};
use crate::clock::Time;

pub use floor::FLOOR_EVERY;
pub use rank::{Capacity, Timeliness};

/// Under a lasting overload only what the slots can serve within this may wait, in milliseconds: most of
/// an objective is left for the answer then.
const PATIENCE_MS: u64 = 100;

/// Some being late for no longer than this is a crowding that passes by itself, in milliseconds. Where
/// callers compete for room, the objective of what is late takes its place.
const CROWDING_MS: u64 = 300;

/// A client's first request follows its accepted opening within a round trip; one that has not come
/// by then is not waited for, in milliseconds.
const FOLLOW_UP_MS: u64 = 300;

/// More work than can be served for longer than this is no burst, in milliseconds: all clients of a
/// deployment that was dark are back by then, and warm servers have worked off what came at once.
const BURST_MS: u64 = 4_000;

/// A flow whose first request waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The flow.
    pub flow: Flow,
    /// When its opening first came to a balancer.
    pub since: Time,
    /// When the opening was handed to the server.
    pub opened: Time,
    /// What its requests ask for, counted from then on.
    pub demand: Demand,
    /// Whether its client comes back after a refusal for want of room.
    pub returns: bool,
    /// The request, once it has come.
    pub request: Option<Head>,
}

impl Waiting {
    /// Whether it need not wait any more: the request has not come, or an answer that takes
    /// `answer_ms` would come too late.
    fn is_over(&self, now: Time, answer_ms: u64) -> bool {
        match self.request {
            Some(_) => now.since(self.since) + answer_ms > u64::from(self.demand.deadline_ms),
            None => now.since(self.opened) > FOLLOW_UP_MS,
        }
    }

    /// Whether an answer that takes `answer_ms` is still within its objective.
    fn is_in_time(&self, now: Time, answer_ms: u64) -> bool {
        now.since(self.since) + answer_ms <= u64::from(self.demand.objective_ms)
    }

    /// When its objective is over.
    const fn due(&self) -> Time {
        self.since.after(self.demand.objective_ms as u64)
    }

    /// Time until its deadline, in milliseconds.
    fn left_ms(&self, now: Time) -> u64 {
        u64::from(self.demand.deadline_ms).saturating_sub(now.since(self.since))
    }
}

/// Flows in order of their arrival.
#[derive(Debug)]
pub struct Queue {
    newest_first: bool,
    turns_away: bool,
    flows: VecDeque<Waiting>,
    /// Since when more comes than can be served.
    pressed: Option<Time>,
    /// Pressure for no longer than this is a crowding, in milliseconds.
    crowding_ms: u64,
    /// What is needed where callers compete for room; none elsewhere.
    contended: Option<Contended>,
}

impl Queue {
    /// An empty queue.
    #[must_use]
    pub fn open(policy: &Policy) -> Self {
        Self {
            newest_first: policy.uses(Mechanism::NewestFirst),
            turns_away: policy.uses(Mechanism::TurningAway),
            flows: VecDeque::new(),
            pressed: None,
            crowding_ms: CROWDING_MS,
            contended: Contended::open(policy),
        }
    }

    /// Adds a flow behind those that came before it. One that waited elsewhere keeps its place: put
    /// last, it would pass for the newest.
    pub fn push(&mut self, waiting: Waiting) {
        if self.flows.is_empty() {
            self.pressed = None;
        }
        let is_before = |other: &&Waiting| other.since > waiting.since;
        let newer = self.flows.iter().rev().take_while(is_before).count();
        self.flows.insert(self.flows.len() - newer, waiting);
    }

    /// Notes a packet of a flow's request, of several the one with the last data; false if the flow does
    /// not wait here.
    pub fn note_request(&mut self, head: &Head) -> bool {
        let waiting = self.flows.iter_mut().find(|waiting| waiting.flow == head.flow);
        let Some(waiting) = waiting else {
            return false;
        };
        let is_before = |known: Head| follows(known.next_seq(), head.next_seq(), DATA_REACH);
        if !waiting.request.is_some_and(is_before) {
            waiting.request = Some(*head);
        }
        true
    }

    /// Forgets a flow.
    pub fn remove(&mut self, flow: &Flow) {
        self.flows.retain(|waiting| waiting.flow != *flow);
    }

    /// Takes out the request that goes next, if nearly every answer takes `answer_ms` at most.
    ///
    /// First come those whose answer is within its objective even then. At a short crowding, which comes
    /// and goes with every service at high load, the oldest of them: newest first would make some late
    /// there that need not be. When more comes than can be served for longer, the newest: first come, first
    /// served would answer everyone at the last moment, or late. Next comes the newest of those whose
    /// objective is not over, since most answers take less.
    ///
    /// What is late in any case comes last, and the oldest of it first. Guards against clients that wait
    /// until their deadline in vain, because a request that came back from a lost flow is behind all that
    /// came after it for as long as a backlog lasts: an answer to it is worth the same whenever it comes,
    /// and it has the least time left.
    pub fn pop(&mut self, now: Time, answer_ms: u64) -> Option<(Waiting, Head)> {
        let came = |waiting: &Waiting| waiting.request.is_some();
        let in_time = |waiting: &Waiting| came(waiting) && waiting.is_in_time(now, answer_ms);
        let may_be = |waiting: &Waiting| came(waiting) && waiting.is_in_time(now, 0);
        let oldest_first = self.is_short(now) || !self.newest_first;
        let timely = if oldest_first { self.flows.iter().position(in_time) } else { None };
        let hopeful = || self.flows.iter().rposition(may_be);
        let late = || self.flows.iter().position(came);
        let next = timely.or_else(hopeful).or_else(late)?;
        let waiting = self.flows.remove(next)?;
        let request = waiting.request?;
        Some((waiting, request))
    }

    /// Takes out those who need not wait any more, if an answer takes `answer_ms`.
    pub fn take_late(&mut self, now: Time, answer_ms: u64) -> Vec<Waiting> {
        let is_over = |waiting: &Waiting| waiting.is_over(now, answer_ms);
        let mut late = VecDeque::new();
        // Asked with every packet: the queue is rebuilt only when somebody leaves it.
        if self.flows.iter().any(is_over) {
            (late, self.flows) = self.flows.drain(..).partition(is_over);
        }
        self.note_pressure(now, answer_ms);
        late.into()
    }

    /// Takes out the requests that will not be served in time: the oldest beyond what the slots can
    /// serve, once more has come than can be served for longer than a burst lasts. During a burst
    /// nobody is turned away: a client that is refused comes back at once, and hundreds use up their
    /// tries within a second while servers work the burst off.
    pub fn take_hopeless(&mut self, now: Time, slots: u64, request_us: u64) -> Vec<Waiting> {
        let is_burst = self.pressed.is_none_or(|since| now.since(since) <= BURST_MS);
        if is_burst || !self.turns_away {
            return Vec::new();
        }
        let room = slots * PATIENCE_MS * 1_000 / request_us.max(1);
        let room = usize::try_from(room.max(slots)).unwrap_or(usize::MAX);
        let excess = self.flows.len().saturating_sub(room);
        self.flows.drain(..excess).collect()
    }

    /// Takes out all.
    pub fn take_all(&mut self) -> Vec<Waiting> {
        self.flows.drain(..).collect()
    }

    /// Number of flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Whether pressure, if there is any, may be a crowding that passes by itself.
    fn is_short(&self, now: Time) -> bool {
        self.pressed.is_none_or(|since| now.since(since) <= self.crowding_ms)
    }

    /// Notes whether more comes than can be served: the oldest is late, and nobody has found the queue
    /// empty since.
    fn note_pressure(&mut self, now: Time, answer_ms: u64) {
        if self.is_contended() {
            self.note_contention(now, answer_ms);
            return;
        }
        if self.flows.front().is_some_and(|oldest| !oldest.is_in_time(now, answer_ms)) {
            self.pressed.get_or_insert(now);
        }
    }
}
