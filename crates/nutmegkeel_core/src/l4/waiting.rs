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

/// Openings that may wait, for each slot: at 90 ms for each request, what a slot can serve within
/// [`LONGEST_MS`].
const PER_SLOT: usize = 12;

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
}

impl Queue {
    /// Whether there is room beside a backend server with so many slots.
    #[must_use]
    pub fn has_room(&self, slots: usize) -> bool {
        self.openings.len() < slots * PER_SLOT
    }

    /// Adds an opening.
    pub fn push(&mut self, opening: Waiting) {
        self.openings.push_back(opening);
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
