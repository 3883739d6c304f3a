//! Openings that wait at an agent for a slot of its backend server.
//!
//! The load pattern: after a loss of power all clients come back within half a second, while backend
//! servers are cold. First come, first served would answer every one of them late, those too that
//! come when the server could answer at once. So once the oldest has waited too long, the newest goes
//! first, and the others follow when the burst is over, while their clients still wait.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use super::flow::{Flow, Packet};
use crate::clock::Time;

/// Waiting longer than this means that more comes than can be served: half of the tightest time
/// within which answers are wanted (200 ms). From then on the newest goes first.
const PATIENCE_MS: u64 = 100;

/// An opening waits no longer than this, wherever: its client gives it up after 1.4 s, and a slot
/// that is given to nobody is lost to others. Without this limit the queues stay full of openings
/// that nobody waits for, long after a burst.
pub const LONGEST_MS: u64 = 1_100;

/// More work than can be served for longer than this is no burst: all clients of a deployment that was
/// dark are back within half a second, and servers are cold for two seconds and work off the rest.
const BURST_MS: u64 = 4_000;

/// One opening.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Its flow.
    pub flow: Flow,
    /// Sequence number of the opening.
    pub seq: u32,
    /// The balancer that sent it.
    pub from: Ipv4Addr,
    /// When it first came to a balancer.
    pub since: Time,
    /// The packet.
    pub packet: Packet,
}

/// Openings in order of their arrival.
#[derive(Debug, Default)]
pub struct Queue {
    openings: VecDeque<Waiting>,
    /// Since when more comes than can be served.
    pressed: Option<Time>,
}

impl Queue {
    /// Adds an opening behind those that came before it. One that waited elsewhere keeps its place:
    /// put last, it would pass for the newest at every agent that it is handed to.
    pub fn push(&mut self, opening: Waiting) {
        let is_before = |other: &&Waiting| other.since > opening.since;
        let newer = self.openings.iter().rev().take_while(is_before).count();
        self.openings.insert(self.openings.len() - newer, opening);
    }

    /// Takes out the openings that will not be served in time: the oldest beyond what the slots can
    /// serve, once more has come than can be served for longer than a burst lasts. During a burst
    /// nobody is turned away: a client that is refused comes back at once with a new opening, and
    /// hundreds use up their tries within a second while servers work the burst off.
    pub fn take_hopeless(&mut self, now: Time, slots: u64, request_us: u64) -> Vec<Waiting> {
        if self.pressed.is_none_or(|since| now.since(since) <= BURST_MS) {
            return Vec::new();
        }
        let room = slots * PATIENCE_MS * 1_000 / request_us.max(1);
        let room = usize::try_from(room.max(slots)).unwrap_or(usize::MAX);
        let excess = self.openings.len().saturating_sub(room);
        self.openings.drain(..excess).collect()
    }

    /// Notes whether more comes than can be served: the oldest has lost its patience.
    fn note_pressure(&mut self, now: Time) {
        let oldest = self.openings.front();
        if oldest.is_none_or(|oldest| now.since(oldest.since) <= PATIENCE_MS) {
            self.pressed = None;
        } else {
            self.pressed.get_or_insert(now);
        }
    }

    /// Whether an opening waits already; its copies bring nothing new.
    #[must_use]
    pub fn contains(&self, flow: &Flow) -> bool {
        self.openings.iter().any(|opening| opening.flow == *flow)
    }

    /// Takes out the opening that goes next.
    pub fn pop(&mut self, now: Time) -> Option<Waiting> {
        let oldest = self.openings.front()?;
        if now.since(oldest.since) > PATIENCE_MS {
            self.openings.pop_back()
        } else {
            self.openings.pop_front()
        }
    }

    /// Takes out the openings that have waited too long.
    pub fn take_late(&mut self, now: Time) -> Vec<Waiting> {
        let is_late = |opening: &Waiting| now.since(opening.since) > LONGEST_MS;
        let (late, kept): (VecDeque<_>, VecDeque<_>) = self.openings.drain(..).partition(is_late);
        self.openings = kept;
        self.note_pressure(now);
        late.into()
    }

    /// Takes out all openings.
    pub fn take_all(&mut self) -> Vec<Waiting> {
        self.openings.drain(..).collect()
    }

    /// Number of openings.
    #[must_use]
    pub fn len(&self) -> usize {
        self.openings.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.openings.is_empty()
    }
}
